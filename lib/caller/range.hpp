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

/// The part of a whole answer that a range asks for (206), or 416.
/// Example: `auto part = slice(std::move(whole), range);`
auto slice(Answer whole, const Range& range) -> Answer;

}  // namespace dykestage::caller
