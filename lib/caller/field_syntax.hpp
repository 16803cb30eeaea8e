// Caller: the syntax of header fields (RFC 9110, 5.1 and 5.5).
#pragma once
#include <cstdint>
#include <string_view>

#include "neighbour/messages.hpp"

namespace dykestage::caller {

/// True for what may be a field's name. Example: `isToken("Content-Length")`
auto isToken(std::string_view text) -> bool;
/// True for what may be a field's value: no control byte but the tab. Example: `isFieldValue("text/plain")`
auto isFieldValue(std::string_view text) -> bool;
/// Without the blanks and tabs around it. Example: `trimmed(" 5 ") == "5"`
auto trimmed(std::string_view text) -> std::string_view;
/// True if every field has a sound name and a sound value. Example: `if (!areFields(reply.headers)) reject();`
auto areFields(const neighbour::Headers& headers) -> bool;

}  // namespace dykestage::caller
