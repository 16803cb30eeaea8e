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
/// True for what may be a request's target: not empty, no blank and no control byte. Example: `isTarget("/health")`
auto isTarget(std::string_view text) -> bool;
/// Without the blanks and tabs around it. Example: `trimmed(" 5 ") == "5"`
auto trimmed(std::string_view text) -> std::string_view;
/// Checks a field line without its end, byte by byte, and keeps nothing of it.
/// Example: `for (char c : line) if (!check.add(c)) reject(); if (!check.isWhole()) reject();`
class FieldLineCheck {
 public:
  /// False when the byte may not stand where it stands.
  auto add(char c) -> bool;
  /// True once a name and its colon have come.
  auto isWhole() const -> bool { return part_ == Part::kValue; }

 private:
  enum class Part : uint8_t { kStart, kName, kValue };
  Part part_ = Part::kStart;
};

/// True if every field has a sound name and a sound value. Example: `if (!areFields(reply.headers)) reject();`
auto areFields(const neighbour::Headers& headers) -> bool;

}  // namespace dykestage::caller
