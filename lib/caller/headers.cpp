#include "caller/headers.hpp"

#include <strings.h>

#include <algorithm>

namespace dykestage::caller {

auto isSameName(std::string_view a, std::string_view b) -> bool {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

auto lower(std::string text) -> std::string {
  for (auto& c : text)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c + 32);
  return text;
}

auto header(const Headers& headers, const std::string& name) -> std::string {
  for (const auto& [key, value] : headers)
    if (isSameName(key, name)) return value;
  return "";
}

auto has(const Headers& headers, const std::string& name) -> bool {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& one) { return isSameName(one.first, name); });
}

auto listOf(const std::string& value) -> std::vector<std::string> {
  std::vector<std::string> list;
  for (size_t at = 0; at <= value.size();) {
    auto comma = std::min(value.find(',', at), value.size());
    auto part = value.substr(at, comma - at);
    auto from = part.find_first_not_of(" \t");
    if (from != std::string::npos) list.push_back(lower(part.substr(from, part.find_last_not_of(" \t") - from + 1)));
    at = comma + 1;
  }
  return list;
}

auto endToEnd(const Headers& headers) -> Headers {
  std::vector<std::string> dropped = {
      "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te",    "trailer",
      "transfer-encoding", "upgrade",    "proxy-connection",   "content-length",      "expect"};
  for (const auto& [name, value] : headers)
    if (isSameName(name, "connection"))
      for (auto& one : listOf(value))
        dropped.push_back(one);
  Headers kept;
  for (const auto& one : headers)
    if (std::find(dropped.begin(), dropped.end(), lower(one.first)) == dropped.end()) kept.push_back(one);
  return kept;
}

}  // namespace dykestage::caller
