#include "base/host_name.hpp"

namespace dykestage {

namespace {
constexpr std::string_view kBlanks = " \t";

auto withoutBlanks(std::string_view text) -> std::string_view {
  auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

// The colons of an IPv6 address stand between brackets (RFC 3986, 3.2.2).
auto withoutPort(std::string_view text) -> std::string_view {
  auto afterAddress = text.starts_with('[') ? text.find(']') : 0;
  return text.substr(0, text.find(':', afterAddress));
}

auto withoutFinalDot(std::string_view name) -> std::string_view {
  return name.size() > 1 && name.ends_with('.') ? name.substr(0, name.size() - 1) : name;
}

auto isUpper(char c) -> bool {
  return c >= 'A' && c <= 'Z';
}
}  // namespace

auto canonicalHost(std::string_view written) -> std::string {
  std::string name(withoutFinalDot(withoutPort(withoutBlanks(written))));
  for (auto& c : name)
    if (isUpper(c)) c = static_cast<char>(c - 'A' + 'a');
  return name;
}

}  // namespace dykestage
