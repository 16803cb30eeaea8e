// Caller: look-up in the headers of requests and answers.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "neighbour/messages.hpp"

namespace dykestage::caller {

using neighbour::Headers;

/// The value of a header, by any spelling of its name; empty when it is not there.
/// Example: `if (header(request.headers, "Authorization").empty()) ...`
auto header(const Headers& headers, const std::string& name) -> std::string;
/// True when a header is there. Example: `has(headers, "Range")`
auto has(const Headers& headers, const std::string& name) -> bool;
/// Lower case of ASCII. Example: `lower("Host") == "host"`
auto lower(std::string text) -> std::string;
/// The parts of a comma list, trimmed and in lower case. Example: `listOf("no-store, private")`
auto listOf(const std::string& value) -> std::vector<std::string>;
/// Headers without those that belong to one stream only, and without what Connection names.
/// Example: `ask.headers = endToEnd(request.headers);`
auto endToEnd(const Headers& headers) -> Headers;
/// True for two spellings of one name. Example: `isSameName(name, "content-length")`
auto isSameName(std::string_view a, std::string_view b) -> bool;

}  // namespace dykestage::caller
