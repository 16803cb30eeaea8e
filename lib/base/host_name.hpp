// Base: the canonical form of a host's name. Names are brought into it where they enter a process, from operators,
// clients, peers and disks; everything behind compares, hashes and stores that form alone.
#pragma once
#include <string>
#include <string_view>

namespace dykestage {

/// The canonical form of a host as an operator or a client wrote it: lower case (RFC 9110, 4.2.3), without a port, the
/// dot of a fully qualified name, and blanks around it. Canonical names stay as they are.
/// Example: `canonicalHost("Shop.Example.:8080") == "shop.example"`
auto canonicalHost(std::string_view written) -> std::string;

}  // namespace dykestage
