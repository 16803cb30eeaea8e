#include "caller/chunks.hpp"

#include <utility>

namespace dykestage::caller {

namespace {
constexpr size_t kMostLineBytes = 256;  // of a chunk's size with its extensions
constexpr size_t kMostSizeDigits = 15;
constexpr size_t kLineEndBytes = 3;  // with the last byte before it
}  // namespace

auto Chunks::next(std::string_view& bytes, const Limits& limits) -> Step {
  while (!bytes.empty()) {
    if (part_ == Part::kData) return takeData(bytes);
    auto c = bytes.front();
    bytes.remove_prefix(1);
    if (auto state = addToLine(c, limits); state != State::kMore) return {state};
    if (c != '\n') continue;
    if (auto state = endLine(limits); state != State::kMore) return {state};
  }
  return {State::kMore};
}

auto Chunks::takeData(std::string_view& bytes) -> Step {
  auto piece = bytes.substr(0, left_);
  bytes.remove_prefix(piece.size());
  left_ -= piece.size();
  bodyBytes_ += piece.size();
  if (left_ == 0) part_ = Part::kDataEnd;
  return {State::kData, piece};
}

auto Chunks::addToLine(char c, const Limits& limits) -> State {
  auto isBad = line_.empty() ? c == '\n' : line_.back() == '\r' && c != '\n';
  if (isBad) return State::kBad;
  line_ += c;
  // Of a trailer nothing is kept but how it ends.
  if (part_ == Part::kTrailers && line_.size() > kLineEndBytes) line_.erase(0, 1);
  if (c == '\n') return State::kMore;
  if (part_ == Part::kTrailers) return addToTrailer(c, limits);
  return line_.size() > kMostLineBytes ? State::kBad : State::kMore;
}

auto Chunks::addToTrailer(char c, const Limits& limits) -> State {
  if (++trailerBytes_ > limits.trailerBytes) return State::kTooLarge;
  return c == '\r' || trailer_.add(c) ? State::kMore : State::kBad;
}

auto Chunks::endTrailer(bool isEmpty) -> State {
  if (isEmpty) return State::kDone;
  auto check = std::exchange(trailer_, {});
  return check.isWhole() ? State::kMore : State::kBad;
}

auto Chunks::endLine(const Limits& limits) -> State {
  if (line_.size() < 2 || line_[line_.size() - 2] != '\r') return State::kBad;
  line_.resize(line_.size() - 2);
  auto line = std::exchange(line_, {});
  if (part_ == Part::kTrailers) return endTrailer(line.empty());
  if (part_ == Part::kSize) return readSize(line, limits);
  part_ = Part::kSize;
  return line.empty() ? State::kMore : State::kBad;
}

auto Chunks::readSize(const std::string& line, const Limits& limits) -> State {
  auto digits = line.find_first_not_of("0123456789abcdefABCDEF");
  if (digits == std::string::npos) digits = line.size();
  // Behind it stands nothing, or what an extension says: nobody has to read that.
  auto rest = line.find_first_not_of(" \t", digits);
  if (digits == 0 || digits > kMostSizeDigits || (rest != std::string::npos && line[rest] != ';') ||
      !isFieldValue(line))
    return State::kBad;
  left_ = std::stoull(line.substr(0, digits), nullptr, 16);
  if (bodyBytes_ + left_ > limits.bodyBytes) return State::kTooLarge;
  part_ = left_ == 0 ? Part::kTrailers : Part::kData;
  return State::kMore;
}

}  // namespace dykestage::caller
