// Caller: bodies that come in chunks (RFC 9112, 7.1).
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "caller/field_syntax.hpp"

namespace dykestage::caller {

/// Takes a chunked body apart, however the reads cut it. It holds one line of framing at most.
/// Example: `for (Chunks::Step step; (step = chunks.next(bytes, limits)).state == Chunks::State::kData;)
/// keep(step.data);`
class Chunks {
 public:
  enum class State : uint8_t { kMore, kData, kDone, kBad, kTooLarge };
  struct Limits {
    size_t bodyBytes = 0, trailerBytes = 0;
  };
  struct Step {
    State state = State::kMore;
    std::string_view data = {};  // of the body, for kData
  };
  /// Takes what belongs together off the front of `bytes`: a piece of the body, or framing up to the next piece.
  auto next(std::string_view& bytes, const Limits& limits) -> Step;

 private:
  enum class Part : uint8_t { kSize, kData, kDataEnd, kTrailers };
  auto takeData(std::string_view& bytes) -> Step;
  auto addToLine(char c, const Limits& limits) -> State;
  auto addToTrailer(char c, const Limits& limits) -> State;
  auto endLine(const Limits& limits) -> State;
  auto endTrailer(bool isEmpty) -> State;
  auto readSize(const std::string& line, const Limits& limits) -> State;

  Part part_ = Part::kSize;
  std::string line_;
  FieldLineCheck trailer_;
  size_t left_ = 0, bodyBytes_ = 0, trailerBytes_ = 0;
};

}  // namespace dykestage::caller
