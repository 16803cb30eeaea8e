#include "upstream/answer_reader.hpp"

#include <algorithm>

#include "base/body.hpp"

namespace dykestage::upstream {

namespace {
constexpr size_t kMostHeadBytes = 64u << 10;  // provisional answers included
constexpr size_t kMostTrailerBytes = 64u << 10;
}  // namespace

auto AnswerReader::addLine(std::string_view line) -> State {
  if (state_ != State::kHead) return state_;
  headBytes_ += line.size();
  if (headBytes_ > kMostHeadBytes) return state_ = State::kTooLarge;
  switch (head_.add(line)) {
    case AnswerHead::State::kMore:
      return state_;
    case AnswerHead::State::kBad:
      return state_ = State::kBad;
    case AnswerHead::State::kDone:
      return state_ = beginBody();
  }
  return state_;
}

auto AnswerReader::beginBody() -> State {
  leftBytes_ = head_.length();
  switch (head_.framing()) {
    case Framing::kNone:
      return State::kWhole;
    case Framing::kUntilClose:
      return State::kBad;
    case Framing::kChunked:
      return State::kBody;
    case Framing::kLength:
      break;
  }
  if (leftBytes_ > mostBodyBytes_) return State::kTooLarge;
  return leftBytes_ == 0 ? State::kWhole : State::kBody;
}

auto AnswerReader::addBody(std::string_view bytes, std::string& body) -> State {
  if (state_ == State::kBody) {
    if (head_.framing() == Framing::kChunked)
      addChunked(bytes, body);
    else
      addCounted(bytes, body);
  } else if (state_ == State::kWhole) {
    hasSurplus_ = hasSurplus_ || !bytes.empty();
  }
  return state_;
}

auto AnswerReader::addCounted(std::string_view bytes, std::string& body) -> void {
  if (body.empty()) body.reserve(leftBytes_);
  auto taken = std::min<uint64_t>(leftBytes_, bytes.size());
  body.append(bytes.substr(0, taken));
  leftBytes_ -= taken;
  hasSurplus_ = taken < bytes.size();
  if (leftBytes_ == 0) state_ = State::kWhole;
}

auto AnswerReader::addChunked(std::string_view bytes, std::string& body) -> void {
  using Chunk = caller::Chunks::State;
  const caller::Chunks::Limits limits{mostBodyBytes_, kMostTrailerBytes};
  for (;;) {
    auto step = chunks_.next(bytes, limits);
    if (step.state == Chunk::kMore) return;
    if (step.state == Chunk::kData) {
      appendTo(body, step.data, mostBodyBytes_);
      continue;
    }
    if (step.state == Chunk::kDone) state_ = State::kWhole;
    if (step.state == Chunk::kBad) state_ = State::kBad;
    if (step.state == Chunk::kTooLarge) state_ = State::kTooLarge;
    hasSurplus_ = !bytes.empty();
    return;
  }
}

}  // namespace dykestage::upstream
