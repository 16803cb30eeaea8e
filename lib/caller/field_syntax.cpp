#include "caller/field_syntax.hpp"

#include <algorithm>

namespace dykestage::caller {

namespace {
constexpr unsigned char kDelete = 0x7f;

auto isTokenByte(unsigned char c) -> bool {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  auto isAlphanumeric = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
  return isAlphanumeric || kMarks.find(static_cast<char>(c)) != std::string_view::npos;
}

auto isValueByte(unsigned char c) -> bool {
  return (c >= ' ' || c == '\t') && c != kDelete;
}
}  // namespace

auto isToken(std::string_view text) -> bool {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenByte);
}

auto isFieldValue(std::string_view text) -> bool {
  return std::all_of(text.begin(), text.end(), isValueByte);
}

auto isTarget(std::string_view text) -> bool {
  auto isTargetByte = [](unsigned char c) { return c > ' ' && c != kDelete; };
  return !text.empty() && std::all_of(text.begin(), text.end(), isTargetByte);
}

auto trimmed(std::string_view text) -> std::string_view {
  auto from = text.find_first_not_of(" \t");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

auto FieldLineCheck::add(char c) -> bool {
  if (part_ == Part::kValue) return isValueByte(static_cast<unsigned char>(c));
  if (c == ':' && part_ == Part::kName) {
    part_ = Part::kValue;
    return true;
  }
  part_ = Part::kName;
  return isTokenByte(static_cast<unsigned char>(c));
}

auto areFields(const neighbour::Headers& headers) -> bool {
  return std::all_of(headers.begin(), headers.end(),
                     [](const auto& field) { return isToken(field.first) && isFieldValue(field.second); });
}

}  // namespace dykestage::caller
