#include "caller/record.hpp"

#include <algorithm>

#include "operator/json.hpp"

namespace dykestage::caller {

auto line(const Recorded& one) -> std::string {
  op::Json json(cJSON_CreateObject(), cJSON_Delete);
  cJSON_AddNumberToObject(json.get(), "atMs", static_cast<double>(one.atMs));
  cJSON_AddStringToObject(json.get(), "method", one.method.c_str());
  cJSON_AddStringToObject(json.get(), "host", one.host.c_str());
  cJSON_AddStringToObject(json.get(), "target", one.target.c_str());
  if (one.bodyBytes > 0) cJSON_AddNumberToObject(json.get(), "bodyBytes", static_cast<double>(one.bodyBytes));
  if (one.hasKey) cJSON_AddBoolToObject(json.get(), "hasKey", true);
  return op::print(json.get());
}

auto Recorder::add(const Recorded& one) -> bool {
  auto text = line(one) + "\n";
  if (!out_ || bytes_ + static_cast<int64_t>(text.size()) > boundBytes_) return false;
  bytes_ += static_cast<int64_t>(text.size());
  out_ << text;
  return static_cast<bool>(out_);
}

auto readRecord(const std::string& path, std::string& reason) -> std::optional<std::vector<Recorded>> {
  std::ifstream in(path);
  if (!in) {
    reason = "cannot read " + path;
    return std::nullopt;
  }
  std::vector<Recorded> day;
  std::string text;
  for (size_t number = 1; std::getline(in, text); ++number) {
    if (text.empty()) continue;
    std::vector<op::Fault> faults;
    Recorded one;
    auto json = op::parse(text);
    if (!json) {
      reason = "line " + std::to_string(number) + " is not JSON";
      return std::nullopt;
    }
    op::Fields f(json.get(), "", faults);
    if (!f.integer("atMs", 0, 1LL << 50, one.atMs)) f.fault("atMs", "is missing");
    f.text("method", one.method, true);
    f.text("host", one.host, true);
    if (f.text("target", one.target, true) && !one.target.empty() && one.target[0] != '/')
      f.fault("target", "must start with /");
    f.integer("bodyBytes", 0, 64 << 20, one.bodyBytes);
    f.flag("hasKey", one.hasKey);
    f.close();
    if (!faults.empty()) {
      reason = "line " + std::to_string(number) + ": " + faults.front().place + " " + faults.front().what;
      return std::nullopt;
    }
    day.push_back(std::move(one));
  }
  // Edges append, and several records may have been joined: time decides, then the order in the file.
  std::stable_sort(day.begin(), day.end(), [](const auto& a, const auto& b) { return a.atMs < b.atMs; });
  return day;
}

}  // namespace dykestage::caller
