#include "caller/request.hpp"

#include <pistache/http_defs.h>

#include <algorithm>

#include "caller/field_syntax.hpp"

namespace dykestage::caller {

namespace {
constexpr size_t kFieldBytes = 320;  // in the request, its fetch request and its fetch, each with room to grow
constexpr size_t kHeadForms = 4;     // in which its text is kept

auto isMethod(std::string_view name) -> bool {
#define METHOD(_, text) \
  if (name == (text)) return true;
  HTTP_METHODS
#undef METHOD
  return false;
}
}  // namespace

auto readHead(std::string_view head, Request& request, bool& isOld) -> bool {
  auto end = head.find("\r\n");
  auto line = head.substr(0, end);
  auto first = line.find(' '), last = line.rfind(' ');
  if (first == std::string_view::npos || last <= first + 1) return false;
  auto method = line.substr(0, first), target = line.substr(first + 1, last - first - 1),
       version = line.substr(last + 1);
  isOld = version == "HTTP/1.0";
  if (!isMethod(method) || (!isOld && version != "HTTP/1.1")) return false;
  if (!isTarget(target)) return false;
  request.method = method;
  request.target = target;
  request.headers.reserve(16);
  for (auto at = end + 2; at < head.size();) {
    auto next = head.find("\r\n", at);
    if (next == std::string_view::npos || next == at) break;
    line = head.substr(at, next - at);
    at = next + 2;
    auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    auto name = line.substr(0, colon);
    if (std::any_of(name.begin(), name.end(), [](unsigned char c) { return c <= ' ' || c >= 127; })) return false;
    auto value = trimmed(line.substr(colon + 1));
    if (!isFieldValue(value)) return false;
    request.headers.emplace_back(name, value);
  }
  return true;
}

auto costOf(std::string_view head) -> size_t {
  auto lines = static_cast<size_t>(std::count(head.begin(), head.end(), '\n'));
  return kHeadForms * head.size() + kFieldBytes * lines;
}

}  // namespace dykestage::caller
