// Sim: what the stand-ins share: bodies that prove whose answer they are and that they are whole.
#pragma once
#include <string>

#include "neighbour/post.hpp"

namespace dykestage::sim {

/// A body that names its service, target and request, and ends with a sum over all before.
/// Example: `provenBody("shop", "/cover/7", "r-17", 2000)`
inline auto provenBody(const std::string& service, const std::string& target, const std::string& request, size_t bytes)
    -> std::string {
  auto body = service + "|" + target + "|" + request + "|";
  auto seed = neighbour::hash(service + target);
  while (body.size() < bytes)
    body += static_cast<char>('a' + (seed = seed * 6364136223846793005ull + 1) % 26);
  return body + "|" + std::to_string(neighbour::hash(body));
}

/// True when a body is whole and answers this service and target (and request, when given).
/// Example: `isProven(body, "shop", "/cover/7", "")`
inline auto isProven(const std::string& body, const std::string& service, const std::string& target,
                     const std::string& request) -> bool {
  auto bar = body.rfind('|');
  if (bar == std::string::npos || body.substr(bar + 1) != std::to_string(neighbour::hash(body.substr(0, bar))))
    return false;
  auto head = service + "|" + target + "|" + (request.empty() ? "" : request + "|");
  return body.rfind(head, 0) == 0;
}

}  // namespace dykestage::sim
