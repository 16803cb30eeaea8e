// Caller: ranges of bytes, as requests ask for them and answers name them (RFC 9110, 14).
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "caller/stream.hpp"

namespace dykestage::caller {

/// One range of bytes; without a last one it goes to the end.
struct Range {
  uint64_t first = 0;
  std::optional<uint64_t> last;
};
/// Reads a single range that names its first byte; nothing for other forms. Example: `rangeOf("bytes=5-9")`
auto rangeOf(const std::string& value) -> std::optional<Range>;
/// The header's value for a range. Example: `headerOf({5, 9}) == "bytes=5-9"`
auto headerOf(const Range& range) -> std::string;

/// What a Content-Range says of the part that was sent.
struct ContentRange {
  uint64_t first = 0, last = 0;
  auto size() const -> uint64_t { return last - first + 1; }
};
/// Reads the Content-Range of a 206; nothing where it is not sound. Example: `contentRangeOf("bytes 5-9/20")`
auto contentRangeOf(const std::string& value) -> std::optional<ContentRange>;

/// The part of a whole answer that a range asks for (206), or 416.
/// Example: `auto part = slice(std::move(whole), range);`
auto slice(Answer whole, const Range& range) -> Answer;

}  // namespace dykestage::caller
