// Upstream: the head of an answer, read strictly (RFC 9110 and 9112). Nothing here does I/O.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "caller/range.hpp"
#include "neighbour/messages.hpp"

namespace dykestage::upstream {

using neighbour::Headers;

/// How the end of a body is found.
enum class Framing : uint8_t {
  kNone,        // there is no body
  kLength,      // after a number of bytes
  kChunked,     // with the last chunk
  kUntilClose,  // with the connection: whole and cut look alike
};

/// What a request lets its answer be.
struct AnswerTerms {
  bool isHead = false;                                // asked by HEAD: no body follows
  bool isConditional = false;                         // may be answered 304
  bool hasRange = false;                              // may be answered 206
  std::optional<caller::Range> range = std::nullopt;  // what was asked for, if it is a single range
};

/// Reads a head line by line and decides what the answer is and where its body ends. Whatever another reader could
/// understand differently is refused: a head that is not known to be sound says nothing.
/// Example: `while (head.add(nextLine()) == AnswerHead::State::kMore) {}`
class AnswerHead {
 public:
  enum class State : uint8_t { kMore, kDone, kBad };
  explicit AnswerHead(const AnswerTerms& terms = {}) : terms_(terms) {}
  /// Takes one line as it was received, its end included. Heads of provisional answers are read and dropped.
  auto add(std::string_view line) -> State;
  auto state() const -> State { return state_; }
  /// From the status line on; 0 before it, and after a provisional answer.
  auto status() const -> int { return status_; }
  auto framing() const -> Framing { return framing_; }
  /// Of the body, for Framing::kLength.
  auto length() const -> uint64_t { return length_.value_or(0); }
  auto headers() const -> const Headers& { return headers_; }
  /// The headers of a head that is done, which are then no longer here.
  auto takeHeaders() -> Headers { return std::move(headers_); }

 private:
  auto addContent(std::string_view line) -> bool;
  auto addStatusLine(std::string_view line) -> bool;
  auto addField(std::string_view line) -> bool;
  auto addLength(std::string_view value) -> bool;
  auto endHead() -> bool;
  auto isPartSound() const -> bool;
  auto framingOf() const -> Framing;
  auto isProvisional() const -> bool;

  AnswerTerms terms_;
  State state_ = State::kMore;
  bool hasStatusLine_ = false, isOld_ = false, isChunked_ = false;
  int status_ = 0;
  std::optional<uint64_t> length_;
  Framing framing_ = Framing::kNone;
  Headers headers_;
};

}  // namespace dykestage::upstream
