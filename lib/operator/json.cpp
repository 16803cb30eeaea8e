#include "operator/json.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>
#include <utility>

#include "base/host_name.hpp"

namespace dykestage::op {

namespace {
// Each value of a text takes far more memory than its text.
constexpr std::ptrdiff_t kMostValues = 200000;

auto hasTooManyValues(std::string_view text) -> bool {
  auto isBeforeValue = [](char c) { return c == ',' || c == '[' || c == '{'; };
  return std::count_if(text.begin(), text.end(), isBeforeValue) > kMostValues;
}
}  // namespace

auto parse(std::string_view text) -> Json {
  // The library stops at the first NUL: a text that holds one is no JSON.
  auto isBad = text.find('\0') != std::string_view::npos || hasTooManyValues(text);
  if (isBad) return Json(nullptr, cJSON_Delete);
  const char* end = nullptr;
  Json json(cJSON_ParseWithLengthOpts(text.data(), text.size(), &end, false), cJSON_Delete);
  if (!json) return json;
  auto rest = std::string_view(end, static_cast<size_t>(text.data() + text.size() - end));
  if (rest.find_first_not_of(" \t\r\n") != std::string_view::npos) json.reset();
  return json;
}

auto print(const cJSON* json) -> std::string {
  std::unique_ptr<char, decltype(&cJSON_free)> text(cJSON_PrintUnformatted(json), cJSON_free);
  return text ? text.get() : "";
}

auto writeFaults(const std::vector<Fault>& faults) -> std::string {
  Json list(cJSON_CreateArray(), cJSON_Delete);
  for (const auto& fault : faults) {
    auto* item = appendObject(list.get());
    addText(item, "place", fault.place);
    addText(item, "what", fault.what);
  }
  return print(list.get());
}

Fields::Fields(const cJSON* json, std::string place, std::vector<Fault>& faults)
    : json_(json), place_(std::move(place)), faults_(faults) {
  if (!cJSON_IsObject(json)) {
    faults_.push_back({place_.empty() ? "the whole" : place_, "must be an object"});
    json_ = nullptr;
    return;
  }
  std::set<std::string> keys;
  for (const auto* item = json_->child; item; item = item->next)
    if (!keys.insert(item->string).second) fault(item->string, "stands twice");
}

auto Fields::fault(const std::string& key, const std::string& what) -> void {
  faults_.push_back({place_.empty() ? key : place_ + "." + key, what});
}

auto Fields::raw(const std::string& key) -> const cJSON* {
  seen_.push_back(key);
  return json_ ? cJSON_GetObjectItemCaseSensitive(json_, key.c_str()) : nullptr;
}

auto Fields::integer(const std::string& key, int64_t low, int64_t high, int64_t& into) -> bool {
  const auto* item = raw(key);
  if (!item) return false;
  if (!isWholeNumber(item) || item->valuedouble < static_cast<double>(low) ||
      item->valuedouble > static_cast<double>(high)) {
    fault(key, wholeNumberRule(low, high));
    return true;
  }
  into = static_cast<int64_t>(item->valuedouble);
  return true;
}

auto Fields::number(const std::string& key, double low, double high, double& into) -> bool {
  const auto* item = raw(key);
  if (!item) return false;
  if (!cJSON_IsNumber(item) || !(item->valuedouble >= low && item->valuedouble <= high))
    fault(key, "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
  else
    into = item->valuedouble;
  return true;
}

auto Fields::text(const std::string& key, std::string& into, bool needed) -> bool {
  const auto* item = raw(key);
  if (!item) {
    if (needed) fault(key, "is missing");
    return false;
  }
  if (!cJSON_IsString(item) || (needed && !*item->valuestring)) {
    fault(key, "must be a text that is not empty");
    return true;
  }
  into = item->valuestring;
  return true;
}

auto Fields::flag(const std::string& key, bool& into) -> bool {
  const auto* item = raw(key);
  if (!item) return false;
  if (!cJSON_IsBool(item))
    fault(key, "must be true or false");
  else
    into = cJSON_IsTrue(item);
  return true;
}

auto Fields::texts(const std::string& key, std::vector<std::string>& into) -> bool {
  const auto* list = raw(key);
  if (!list) return false;
  if (!cJSON_IsArray(list)) {
    fault(key, "must be a list of texts");
    return true;
  }
  into.clear();
  auto index = 0;
  for (const auto* item = list->child; item; item = item->next, ++index) {
    if (!cJSON_IsString(item) || !*item->valuestring)
      fault(key + "[" + std::to_string(index) + "]", "must be a text that is not empty");
    else
      into.emplace_back(item->valuestring);
  }
  return true;
}

auto Fields::host(const std::string& key, std::string& into) -> bool {
  if (!text(key, into)) return false;
  auto written = std::exchange(into, canonicalHost(into));
  if (into.empty() && !written.empty()) fault(key, kHostRule);
  return true;
}

auto Fields::hosts(const std::string& key, std::vector<std::string>& into) -> bool {
  if (!texts(key, into)) return false;
  for (size_t i = 0; i < into.size(); ++i) {
    into[i] = canonicalHost(into[i]);
    if (into[i].empty()) fault(key + "[" + std::to_string(i) + "]", kHostRule);
  }
  return true;
}

auto Fields::neededInteger(const std::string& key, int64_t low, int64_t high, int64_t& into) -> void {
  if (!integer(key, low, high, into)) fault(key, "is missing");
}

auto Fields::close() -> void {
  if (!json_) return;
  for (const auto* item = json_->child; item; item = item->next)
    if (std::find(seen_.begin(), seen_.end(), item->string) == seen_.end()) fault(item->string, "is not known");
}

auto isWholeNumber(const cJSON* item) -> bool {
  return cJSON_IsNumber(item) && std::floor(item->valuedouble) == item->valuedouble;
}

auto wholeNumberRule(int64_t low, int64_t high) -> std::string {
  return "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high);
}

auto isAddress(const std::string& text) -> bool {
  auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  in_addr address{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1) return false;
  auto port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5 ||
      !std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; }))
    return false;
  auto number = std::stoi(port);
  return number >= 1 && number <= 65535;
}

auto isName(const std::string& text) -> bool {
  constexpr size_t kMaxLength = 64;
  auto isAllowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
  return !text.empty() && text.size() <= kMaxLength && std::all_of(text.begin(), text.end(), isAllowed);
}

auto makeObject() -> Json {
  return Json(cJSON_CreateObject(), cJSON_Delete);
}

auto addText(cJSON* to, const char* key, const std::string& value) -> void {
  cJSON_AddStringToObject(to, key, value.c_str());
}

auto addTexts(cJSON* to, const char* key, const std::vector<std::string>& values) -> void {
  auto* list = cJSON_AddArrayToObject(to, key);
  for (const auto& value : values)
    cJSON_AddItemToArray(list, cJSON_CreateString(value.c_str()));
}

auto addObject(cJSON* to, const std::string& key) -> cJSON* {
  return cJSON_AddObjectToObject(to, key.c_str());
}

auto appendObject(cJSON* list) -> cJSON* {
  auto* item = cJSON_CreateObject();
  cJSON_AddItemToArray(list, item);
  return item;
}

}  // namespace dykestage::op
