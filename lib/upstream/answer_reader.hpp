// Upstream: one answer, its head and its body as they come from the wire. Nothing here does I/O.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "caller/chunks.hpp"
#include "upstream/answer_head.hpp"

namespace dykestage::upstream {

/// Decides what an answer's bytes mean: the one reader of answers, whatever carries the bytes here.
/// Example: `if (reader.addLine(line) == AnswerReader::State::kBad) closeConnection();`
class AnswerReader {
 public:
  enum class State : uint8_t { kHead, kBody, kWhole, kBad, kTooLarge };
  /// `mostBodyBytes` is the largest body that is taken.
  AnswerReader(const AnswerTerms& terms, size_t mostBodyBytes) : head_(terms), mostBodyBytes_(mostBodyBytes) {}
  /// Takes a line of the head, its end included.
  auto addLine(std::string_view line) -> State;
  /// Takes what follows the head, framing included, and appends what is of the body.
  auto addBody(std::string_view bytes, std::string& body) -> State;
  auto state() const -> State { return state_; }
  auto isWhole() const -> bool { return state_ == State::kWhole; }
  /// Bytes came after the answer's end: they belong to no request.
  auto hasSurplus() const -> bool { return hasSurplus_; }
  auto head() const -> const AnswerHead& { return head_; }
  auto takeHeaders() -> Headers { return head_.takeHeaders(); }

 private:
  auto beginBody() -> State;
  auto addCounted(std::string_view bytes, std::string& body) -> void;
  auto addChunked(std::string_view bytes, std::string& body) -> void;

  AnswerHead head_;
  size_t mostBodyBytes_;
  State state_ = State::kHead;
  size_t headBytes_ = 0;
  uint64_t leftBytes_ = 0;  // of a body with a length
  caller::Chunks chunks_;
  bool hasSurplus_ = false;
};

}  // namespace dykestage::upstream
