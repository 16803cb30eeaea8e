// Rehearsals of upstreams that come, go, slow down and lie.
#include "sim/rehearsal.hpp"

#include <signal.h>

#include <algorithm>
#include <sstream>

namespace dykestage::sim {

auto Rehearsal::listed() -> std::set<std::string> {
  std::set<std::string> names;
  auto roster = get("/roster");
  const auto* all = cJSON_GetObjectItemCaseSensitive(roster.get(), "upstreams");
  if (!all) verdict_.faults.push_back("the roster can't be read");
  for (const auto* one = all ? all->child : nullptr; one; one = one->next)
    names.insert(one->string);
  return names;
}

auto Rehearsal::lastServedMs(const std::string& origin) -> int64_t {
  std::istringstream lines(op::readFile(fleet_->account(origin)).value_or(""));
  std::string line;
  int64_t last = 0;
  while (std::getline(lines, line))
    last = std::max<int64_t>(last, std::atoll(line.c_str()));
  return last;
}

// A release: one after the other, each upstream empties, ends, and comes back as a new instance at its address.
auto Rehearsal::release() -> void {
  auto names = fleet_->names("origin");
  Steps steps;
  int64_t t = 3000;
  for (const auto& name : names) {
    steps.list.push_back({t, [this, name] { stand(name, R"({"emptying": true})"); }});
    steps.list.push_back({t + 2200, [this, name] { fleet_->kill(name, SIGTERM); }});
    steps.list.push_back({t + 2400, [this, name] {
                            fleet_->start(name);
                            stand(name, "{\"instance\": \"" + name + "-next\"}");
                          }});
    t += 3500;
  }
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = t;
  verdict_.report = load(t / 1000 + 8, std::ref(steps));
  if (verdict_.report.share(3000, t) < 0.98)
    verdict_.faults.push_back("a release cost more than a fiftieth of the requests");
  auto all = listed();
  for (const auto& name : names)
    if (!all.count(name + "-next") || all.count(name))
      verdict_.faults.push_back("the roster does not have the new instance of " + name + " alone");
}

// Upstreams vanish for good, one of each kind, without a word; another crashes and returns at once.
auto Rehearsal::vanish() -> void {
  auto gone = {std::string("origin-till-application-2"), std::string("origin-shop-store-2")};
  Steps steps;
  steps.list.push_back({3000, [&] {
                          for (auto& name : gone)
                            fleet_->kill(name);
                        }});
  steps.list.push_back({9000, [this] {
                          fleet_->kill("origin-till-application-1");
                          fleet_->start("origin-till-application-1");
                        }});
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 9500;
  verdict_.report = load(20, std::ref(steps));
  if (verdict_.report.share(6500, 9000) < 0.99)
    verdict_.faults.push_back("requests still fail long after upstreams vanished");
  auto all = listed();
  for (const auto& name : gone)
    if (all.count(name)) verdict_.faults.push_back(name + " was not signed off");
}

// One upstream of each kind slows down to where it can't answer in time, and then recovers.
auto Rehearsal::slow() -> void {
  auto names = {std::string("origin-till-application-1"), std::string("origin-shop-store-1")};
  Steps steps;
  steps.list.push_back({3000, [&] {
                          for (auto& name : names)
                            stand(name, R"({"delayMs": 700})");
                        }});
  steps.list.push_back({11000, [&] {
                          for (auto& name : names)
                            stand(name, R"({"delayMs": 3})");
                        }});
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 11000;
  verdict_.report = load(18, std::ref(steps));
  if (verdict_.report.share(5000, 11000) < 0.9)
    verdict_.faults.push_back("a slow upstream costs more than a tenth of the requests");
}

// Announcements that are garbled, incomplete or impossible are refused with their places, and change nothing.
auto Rehearsal::liar() -> void {
  auto rosterText = [this] {
    auto json = get("/roster");
    const auto* all = cJSON_GetObjectItemCaseSensitive(json.get(), "upstreams");
    return all ? op::print(all) : std::string();
  };
  auto before = rosterText();
  std::vector<std::string> bad = {
      "",
      "{",
      "[]",
      "null",
      "\x01\x02\xff",
      R"({"instance": 7})",
      R"({"instance": "x"})",
      R"({"instance": "x", "service": "shop", "kind": "store", "address": "not an address", "site": "north"})",
      R"({"instance": "x", "service": "shop", "kind": "store", "address": "host.name:80", "site": "north"})",
      R"({"instance": "x", "service": "shop", "kind": "palace", "address": "127.0.0.1:99", "site": "north"})",
      R"({"instance": "x", "service": "shop", "kind": "store", "address": "127.0.0.1:99999", "site": "north"})",
      R"({"instance": "x", "service": "shop", "kind": "store", "address": "127.0.0.1:99", "site": "north", "capacity": -3})",
      R"({"instance": "x", "service": "shop", "kind": "store", "address": "127.0.0.1:99", "site": "north", "state": "cheerful"})",
      R"({"instance": "x", "service": "shop", "kind": "store", "address": "127.0.0.1:99", "site": "north", "more": 1})",
      "{\"instance\": \"" + std::string(100000, 'x') + "\"}"};
  Steps steps;
  for (auto t = 2000; t < 8000; t += 200)
    steps.list.push_back({t, [this, &bad] {
                            const auto& body = bad[pick(bad.size())];
                            auto answer = post("/announce", body, pick(5));
                            if (answer.status != 400 || answer.body.find("\"faults\":[{") == std::string::npos)
                              verdict_.faults.push_back("a bad announcement got " + std::to_string(answer.status) +
                                                        " " + answer.body + " for " + body.substr(0, 120));
                          }});
  verdict_.faultAtMs = 2000;
  verdict_.healedAtMs = 8000;
  verdict_.report = load(11, std::ref(steps));
  if (rosterText() != before) verdict_.faults.push_back("a bad announcement changed the roster");
  if (verdict_.report.share(2000, 8000) < 0.99) verdict_.faults.push_back("bad announcements cost requests");
}

// An upstream's beats are lost though it serves well: it is signed off, and comes back with its next beat. Another
// beats on while its health fails for every shield.
auto Rehearsal::silentBeats() -> void {
  Steps steps;
  steps.list.push_back({3000, [this] {
                          stand("origin-till-application-1", R"({"silent": true})");
                          stand("origin-till-application-2", R"({"deaf": true})");
                        }});
  steps.list.push_back({10000, [this] {
                          stand("origin-till-application-1", R"({"silent": false})");
                          stand("origin-till-application-2", R"({"deaf": false})");
                        }});
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 10000;
  verdict_.report = load(16, std::ref(steps));
  if (verdict_.report.share(3000, 10000) < 0.97) verdict_.faults.push_back("lost beats cost requests");
}

}  // namespace dykestage::sim
