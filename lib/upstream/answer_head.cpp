#include "upstream/answer_head.hpp"

#include <algorithm>

#include "caller/field_syntax.hpp"
#include "caller/headers.hpp"

namespace dykestage::upstream {

namespace {
constexpr std::string_view kLineEnd = "\r\n";
constexpr size_t kMostLengthDigits = 18;  // fits 64 bits
constexpr int kContinue = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kLeastFinal = 200;
constexpr int kNoContent = 204;
constexpr int kPartialContent = 206;
constexpr int kNotModified = 304;
constexpr int kMostFinal = 599;

auto areDigits(std::string_view text) -> bool {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}
}  // namespace

auto AnswerHead::add(std::string_view line) -> State {
  if (state_ != State::kMore) return state_;
  auto isSound = line.ends_with(kLineEnd);
  if (isSound) line.remove_suffix(kLineEnd.size());
  if (!isSound || !addContent(line)) state_ = State::kBad;
  return state_;
}

auto AnswerHead::addContent(std::string_view line) -> bool {
  if (!hasStatusLine_) return addStatusLine(line);
  if (line.empty()) return endHead();
  return addField(line);
}

// HTTP/1.x SP 3DIGIT SP [reason]
auto AnswerHead::addStatusLine(std::string_view line) -> bool {
  constexpr std::string_view kNow = "HTTP/1.1 ";
  constexpr std::string_view kOld = "HTTP/1.0 ";
  constexpr size_t kStatusDigits = 3;
  isOld_ = line.starts_with(kOld);
  if (!isOld_ && !line.starts_with(kNow)) return false;
  line.remove_prefix(kNow.size());
  auto digits = line.substr(0, kStatusDigits);
  if (digits.size() < kStatusDigits || !areDigits(digits)) return false;
  line.remove_prefix(kStatusDigits);
  if (!line.starts_with(' ') || !caller::isFieldValue(line)) return false;
  status_ = std::stoi(std::string(digits));
  hasStatusLine_ = true;
  // Nobody asked for another protocol.
  return status_ >= kContinue && status_ <= kMostFinal && status_ != kSwitchingProtocols;
}

// A folded line goes on from the one before: what that said is then something else to whoever does not unfold it.
auto AnswerHead::addField(std::string_view line) -> bool {
  auto colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  auto name = line.substr(0, colon);
  auto value = caller::trimmed(line.substr(colon + 1));
  if (!caller::isToken(name) || !caller::isFieldValue(value)) return false;
  if (caller::isSameName(name, "content-length") && !addLength(value)) return false;
  if (caller::isSameName(name, "transfer-encoding")) {
    if (isChunked_ || !caller::isSameName(value, "chunked")) return false;
    isChunked_ = true;
  }
  headers_.emplace_back(name, value);
  return true;
}

auto AnswerHead::addLength(std::string_view value) -> bool {
  if (!areDigits(value) || value.size() > kMostLengthDigits) return false;
  auto length = std::stoull(std::string(value));
  if (length_ && *length_ != length) return false;
  length_ = length;
  return true;
}

auto AnswerHead::isProvisional() const -> bool {
  return status_ < kLeastFinal;
}

auto AnswerHead::endHead() -> bool {
  if (isChunked_ && (length_ || isOld_)) return false;
  if (isProvisional()) {
    if (isChunked_ || length_) return false;
    *this = AnswerHead(terms_);
    return true;
  }
  if (status_ == kNoContent && (isChunked_ || length_.value_or(0) > 0)) return false;
  if (status_ == kNotModified && !terms_.isConditional) return false;
  if (status_ == kPartialContent && !isPartSound()) return false;
  framing_ = framingOf();
  state_ = State::kDone;
  return true;
}

// A part is what was asked for, or the client would take it for something else.
auto AnswerHead::isPartSound() const -> bool {
  constexpr std::string_view kField = "content-range";
  if (!terms_.hasRange) return false;
  auto isContentRange = [&](const auto& field) { return caller::isSameName(field.first, kField); };
  auto count = std::count_if(headers_.begin(), headers_.end(), isContentRange);
  // Several parts name their ranges in the body.
  if (count == 0) return !terms_.range;
  auto part = caller::contentRangeOf(caller::header(headers_, std::string(kField)));
  if (count > 1 || !part) return false;
  if (length_ && !terms_.isHead && *length_ != part->size()) return false;
  if (!terms_.range) return true;
  return part->first == terms_.range->first && part->last <= terms_.range->last.value_or(part->last);
}

auto AnswerHead::framingOf() const -> Framing {
  if (terms_.isHead || status_ == kNoContent || status_ == kNotModified) return Framing::kNone;
  if (isChunked_) return Framing::kChunked;
  return length_ ? Framing::kLength : Framing::kUntilClose;
}

}  // namespace dykestage::upstream
