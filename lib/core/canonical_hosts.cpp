#include "core/canonical_hosts.hpp"

#include "base/host_name.hpp"

namespace dykestage::core {

namespace {
auto canonicalizeEach(std::vector<std::string>& hosts) -> void {
  for (auto& host : hosts)
    host = canonicalHost(host);
}
}  // namespace

auto canonicalizeHosts(Service& service) -> void {
  canonicalizeEach(service.hosts);
  for (auto& next : service.next)
    canonicalizeHosts(next);
}

auto canonicalizeHosts(Services& services) -> void {
  for (auto& [name, service] : services)
    canonicalizeHosts(service);
}

auto canonicalizeHosts(std::map<std::string, Route>& routes) -> void {
  for (auto& [name, route] : routes)
    route.host = canonicalHost(route.host);
}

auto canonicalizeHosts(std::map<std::string, Tenant>& tenants) -> void {
  for (auto& [name, tenant] : tenants)
    canonicalizeEach(tenant.hosts);
}

auto canonicalKey(const std::string& key) -> std::string {
  auto end = key.find('\n');
  auto hasFinalDot = end != std::string::npos && end > 1 && key[end - 1] == '.';
  return hasFinalDot ? key.substr(0, end - 1) + key.substr(end) : key;
}

auto canonicalizeKeys(std::map<std::string, KeyHeld>& keys) -> void {
  std::map<std::string, KeyHeld> canonical;
  for (auto& [key, held] : keys)
    canonical.emplace(canonicalKey(key), std::move(held));
  keys = std::move(canonical);
}

auto canonicalizeHosts(Op& op) -> void {
  for (auto& [name, service] : op.services)
    if (service) canonicalizeHosts(*service);
  for (auto& [name, route] : op.routing.routes)
    if (route) route->host = canonicalHost(route->host);
  for (auto& [name, tenant] : op.tenants)
    if (tenant) canonicalizeEach(tenant->hosts);
  for (auto& claim : op.keys)
    claim.key = canonicalKey(claim.key);
}

}  // namespace dykestage::core
