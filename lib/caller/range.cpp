#include "caller/range.hpp"

#include <algorithm>
#include <string_view>

namespace dykestage::caller {

namespace {
constexpr size_t kMostDigits = 15;

auto numberOf(std::string_view text) -> std::optional<uint64_t> {
  auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
  if (text.empty() || text.size() > kMostDigits || !std::all_of(text.begin(), text.end(), isDigit)) return std::nullopt;
  return std::stoull(std::string(text));
}
}  // namespace

auto rangeOf(const std::string& value) -> std::optional<Range> {
  constexpr std::string_view kUnit = "bytes=";
  if (!value.starts_with(kUnit)) return std::nullopt;
  auto text = std::string_view(value).substr(kUnit.size());
  auto dash = text.find('-');
  if (dash == std::string_view::npos) return std::nullopt;
  auto first = numberOf(text.substr(0, dash));
  if (!first) return std::nullopt;
  Range range{*first, std::nullopt};
  auto lastText = text.substr(dash + 1);
  if (lastText.empty()) return range;
  range.last = numberOf(lastText);
  if (!range.last || *range.last < range.first) return std::nullopt;
  return range;
}

auto headerOf(const Range& range) -> std::string {
  return "bytes=" + std::to_string(range.first) + "-" + (range.last ? std::to_string(*range.last) : "");
}

auto contentRangeOf(const std::string& value) -> std::optional<ContentRange> {
  constexpr std::string_view kUnit = "bytes ";
  if (!value.starts_with(kUnit)) return std::nullopt;
  auto text = std::string_view(value).substr(kUnit.size());
  auto dash = text.find('-');
  auto slash = text.find('/');
  if (dash == std::string_view::npos || slash == std::string_view::npos || dash > slash) return std::nullopt;
  auto first = numberOf(text.substr(0, dash));
  auto last = numberOf(text.substr(dash + 1, slash - dash - 1));
  if (!first || !last || *last < *first) return std::nullopt;
  auto wholeText = text.substr(slash + 1);
  if (wholeText == "*") return ContentRange{*first, *last};
  auto whole = numberOf(wholeText);
  if (!whole || *last >= *whole) return std::nullopt;
  return ContentRange{*first, *last};
}

auto slice(Answer whole, const Range& range) -> Answer {
  auto size = whole.body.size();
  std::erase_if(whole.headers, [](const auto& h) {
    auto n = lower(h.first);
    return n == "content-length" || n == "content-range";
  });
  if (range.first >= size) {
    whole.status = 416;
    whole.headers.emplace_back("Content-Range", "bytes */" + std::to_string(size));
    whole.body = {};
    return whole;
  }
  auto last = std::min(range.last.value_or(size - 1), size - 1);
  whole.status = 206;
  whole.headers.emplace_back("Content-Range", "bytes " + std::to_string(range.first) + "-" + std::to_string(last) +
                                                  "/" + std::to_string(size));
  whole.body = whole.body.slice(range.first, last - range.first + 1);
  return whole;
}

}  // namespace dykestage::caller
