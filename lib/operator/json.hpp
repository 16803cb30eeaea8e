// Admin formats: JSON values, and reading the fields of an object so that every fault is reported with its place.
#pragma once
#include <cjson/cJSON.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dykestage::op {

/// Owns a parsed JSON value. Example: `auto json = parse(text); if (!json) ...`
using Json = std::unique_ptr<cJSON, decltype(&cJSON_Delete)>;
/// Parses text; null when it is no JSON, when something stands behind it, or when it holds more than 200,000 values.
/// Example: `parse("{}")`
auto parse(std::string_view text) -> Json;
/// Prints compactly. Example: `print(json.get())`
auto print(const cJSON* json) -> std::string;

/// A fault of an input and where it stands. Example: `{"services.shop.paths[0].prefix", "must start with /"}`
struct Fault {
  std::string place, what;
};
/// Faults as a JSON list of places. Example: `writeFaults(faults)`
auto writeFaults(const std::vector<Fault>& faults) -> std::string;

/// The largest number that JSON readers keep exactly.
inline constexpr auto kMaxExactInteger = int64_t{1} << 53;

/// Reads fields of a JSON object, collects every fault, and finds unknown keys.
/// Example:
///   Fields f(json, "services.shop", faults);
///   f.integer("deadlineMs", 10, 60000, service.deadlineMs);
///   f.close();
class Fields {
 public:
  Fields(const cJSON* json, std::string place, std::vector<Fault>& faults);
  /// Each takes a field when it is there; false when it is missing. Wrong types and ranges become faults.
  auto integer(const std::string& key, int64_t low, int64_t high, int64_t& into) -> bool;
  auto number(const std::string& key, double low, double high, double& into) -> bool;
  auto text(const std::string& key, std::string& into, bool needed = false) -> bool;
  auto flag(const std::string& key, bool& into) -> bool;
  auto texts(const std::string& key, std::vector<std::string>& into) -> bool;
  /// Names of hosts, in their canonical form whatever they were written like. Example: `f.host("host", host);`
  auto host(const std::string& key, std::string& into) -> bool;
  auto hosts(const std::string& key, std::vector<std::string>& into) -> bool;
  /// A field that must be there: its absence is a fault. Example: `f.neededInteger("low", 0, 100, parameter.low);`
  auto neededInteger(const std::string& key, int64_t low, int64_t high, int64_t& into) -> void;
  /// The raw value, for objects and lists. Example: `if (auto* list = f.raw("paths")) ...`
  auto raw(const std::string& key) -> const cJSON*;
  /// Adds a fault at a key. Example: `f.fault("kind", "must be store or application");`
  auto fault(const std::string& key, const std::string& what) -> void;
  /// Where the object stands in the input; empty: it is the whole input.
  auto place() const -> const std::string& { return place_; }
  /// Reports the keys that nothing asked for. Example: `f.close();`
  auto close() -> void;

 private:
  const cJSON* json_;
  std::string place_;
  std::vector<Fault>& faults_;
  std::vector<std::string> seen_;
};

/// True for a number without a fraction. Example: `isWholeNumber(item)`
auto isWholeNumber(const cJSON* item) -> bool;
/// "must be a whole number from 1 to 20", as faults say it. Example: `f.fault("tries", wholeNumberRule(1, 20));`
auto wholeNumberRule(int64_t low, int64_t high) -> std::string;
/// True for "ip:port" with a numeric IPv4 address. Example: `isAddress("127.0.0.1:80")`
auto isAddress(const std::string& text) -> bool;
/// True for names that services, tenants, templates and upstream instances may have. Example: `isName("shop-2")`
auto isName(const std::string& text) -> bool;
/// What a fault says of a name that is none.
inline constexpr auto kNameRule = "a name has letters, digits, - _ . only, at most 64";

/// What a fault says of a host without a name, as in ":80".
inline constexpr auto kHostRule = "must name a host";

/// The name of an enumerator, of which the first is 0. Example: `addText(json, "kind", nameOf(route.kind,
/// kKindNames));`
template <typename Enum, size_t count>
auto nameOf(Enum value, const std::array<const char*, count>& names) -> const char* {
  return names.at(static_cast<size_t>(value));
}

/// An empty JSON object. Example: `auto json = makeObject();`
auto makeObject() -> Json;
/// Adds a member to an object. Example: `addNumber(json.get(), "version", routing.version);`
template <typename Number>
auto addNumber(cJSON* to, const char* key, Number value) -> void {
  cJSON_AddNumberToObject(to, key, static_cast<double>(value));
}
auto addText(cJSON* to, const char* key, const std::string& value) -> void;
auto addTexts(cJSON* to, const char* key, const std::vector<std::string>& values) -> void;
/// Adds an empty object and returns it, as a member or as the next item of a list.
/// Example: `auto* item = appendObject(list);`
auto addObject(cJSON* to, const std::string& key) -> cJSON*;
auto appendObject(cJSON* list) -> cJSON*;

}  // namespace dykestage::op
