// Core: canonical names of hosts in the replicated state. Records of releases that kept names as they were written are
// brought into the canonical form as they are read: commands, snapshots, and frames of other processes.
#pragma once
#include "core/state.hpp"

namespace dykestage::core {

/// Brings the names of a service's hosts, also of its next revision, into their canonical form.
/// Example: `canonicalizeHosts(service);`
auto canonicalizeHosts(Service& service) -> void;
/// The same for all services, routes or tenants. Example: `canonicalizeHosts(frame.routing.routes);`
auto canonicalizeHosts(Services& services) -> void;
auto canonicalizeHosts(std::map<std::string, Route>& routes) -> void;
auto canonicalizeHosts(std::map<std::string, Tenant>& tenants) -> void;

/// The name under which a key is held, of one that may stand under a host with its final dot. The letters stay: they
/// may be those of a service. Example: `canonicalKey("shop.example.\nk1") == "shop.example\nk1"`
auto canonicalKey(const std::string& key) -> std::string;
/// Brings keys that are held under their canonical names. Example: `canonicalizeKeys(keys_);`
auto canonicalizeKeys(std::map<std::string, KeyHeld>& keys) -> void;

}  // namespace dykestage::core
