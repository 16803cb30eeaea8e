// Rehearsals of machines that are cut off, restarted, flapping or frozen.
#include "sim/rehearsal.hpp"

#include <signal.h>

#include <algorithm>

namespace dykestage::sim {

// A proxy and the agent beside it, or a registry.
auto Rehearsal::machineOf(const std::string& name) -> std::vector<std::string> {
  std::vector<std::string> list;
  for (auto kind : {"registry", "agent", "shield", "edge"})
    for (auto& other : fleet_->names(kind))
      if (fleet_->machine(other) == fleet_->machine(name)) list.push_back(other);
  return list;
}

// One machine is cut off: wholly, or only what it sends, or only what it is sent. Seeds go through kinds and ways.
auto Rehearsal::cutOff() -> void {
  static const char* kinds[] = {"edge", "shield", "registry"};
  static const char* ways[] = {"wholly", "what it sends", "what it is sent"};
  auto kind = kinds[props_.seed % 3];
  auto way = props_.seed / 3 % 3;
  auto lost = any(kind);
  verdict_.notes.push_back(lost + " cut off, " + ways[way]);
  std::vector<std::string> machines;
  for (auto other : {"registry", "shield", "edge"})
    for (auto& name : fleet_->names(other))
      if (fleet_->machine(name) != fleet_->machine(lost)) machines.push_back(fleet_->machine(name));
  auto cut = [this, lost, machines, way](bool isCut) {
    for (const auto& other : machines) {
      if (way != 2) fleet_->links().cut(fleet_->machine(lost), other, isCut);
      if (way != 1) fleet_->links().cut(other, fleet_->machine(lost), isCut);
    }
  };
  Steps steps;
  steps.list.push_back({3500, [cut] { cut(true); }});
  steps.list.push_back({6000, [this, lost] {
                          auto at = pick(5);
                          while (fleet_->names("registry")[at] == lost)
                            at = pick(5);
                          submitBeside(930, at);
                        }});
  steps.list.push_back({11500, [cut] { cut(false); }});
  verdict_.faultAtMs = 3500;
  verdict_.healedAtMs = 11500;
  verdict_.report = load(24, std::ref(steps));
  auto least = std::string(kind) == "edge" ? 0.6 : 0.75;
  if (verdict_.report.share(3500, 11500) < least)
    verdict_.faults.push_back("one machine cut off stops more than its part");
}

// Machines are restarted in turn: a registry, an agent and a proxy go at once and come back after a while.
auto Rehearsal::machines() -> void {
  auto registries = fleet_->names("registry");
  std::vector<std::string> proxies;
  for (auto kind : {"shield", "edge"})
    for (auto& name : fleet_->names(kind))
      proxies.push_back(name);
  std::shuffle(registries.begin(), registries.end(), random_);
  std::shuffle(proxies.begin(), proxies.end(), random_);
  Steps steps;
  int64_t t = 3000;
  for (size_t i = 0; i < proxies.size(); ++i) {
    auto names = machineOf(proxies[i]);
    names.push_back(registries[i % registries.size()]);
    steps.list.push_back({t, [this, names] {
                            for (auto& name : names)
                              fleet_->kill(name);
                          }});
    steps.list.push_back({t + 1500, [this, names] {
                            for (auto& name : names)
                              fleet_->start(name);
                          }});
    t += 5000;
  }
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = t - 3500;
  verdict_.report = load(t / 1000 + 8, std::ref(steps));
  if (verdict_.report.share(3000, t) < 0.9)
    verdict_.faults.push_back("machines restarted in turn cost more than a tenth of the requests");
}

// One process of each kind comes and goes several times a second.
auto Rehearsal::flapping() -> void {
  std::vector<std::string> names = {any("registry"), any("shield"), any("edge"), any("agent")};
  Steps steps;
  for (auto t = 3000; t < 11000; t += 600)
    steps.list.push_back({t, [this, names, t] {
                            for (auto& name : names)
                              t / 600 % 2 ? fleet_->kill(name) : fleet_->start(name);
                          }});
  steps.list.push_back({11000, [this, names] {
                          for (auto& name : names)
                            fleet_->start(name);
                        }});
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 11000;
  verdict_.report = load(22, std::ref(steps));
}

// All shields at once, twice, with slow writes with keys under way; callers repeat whatever they lost.
auto Rehearsal::shieldHerd() -> void {
  repeatsKeyed_ = true;
  for (auto& name : fleet_->names("origin"))
    if (fleet_->service(name) == "till") stand(name, R"({"delayMs": 150})");
  Steps steps;
  for (auto t : {4000, 8000}) {
    steps.list.push_back({t, [this] {
                            for (auto& name : fleet_->names("shield"))
                              fleet_->kill(name);
                          }});
    steps.list.push_back({t + 300, [this] {
                            for (auto& name : fleet_->names("shield"))
                              fleet_->start(name);
                          }});
  }
  verdict_.faultAtMs = 4000;
  verdict_.healedAtMs = 8300;
  verdict_.report = load(20, std::ref(steps));
}

// The registry that watches is frozen while an upstream vanishes: another one takes the duty over.
auto Rehearsal::freezeHolder() -> void {
  std::string name;
  Steps steps;
  steps.list.push_back({3500, [&] {
                          name = holder();
                          if (name.empty())
                            verdict_.faults.push_back("nobody holds the watch");
                          else
                            fleet_->signal(name, SIGSTOP);
                          fleet_->kill("origin-till-application-2");
                        }});
  steps.list.push_back({11500, [&] {
                          auto next = holder();
                          if (next.empty() || next == name) verdict_.faults.push_back("nobody took the watch over");
                          if (!name.empty()) fleet_->signal(name, SIGCONT);
                        }});
  verdict_.faultAtMs = 3500;
  verdict_.healedAtMs = 11500;
  verdict_.report = load(20, std::ref(steps));
  if (listed().count("origin-till-application-2")) verdict_.faults.push_back("a vanished upstream was not signed off");
}

// All shields are frozen past the bound, with writes under way, and thawed.
auto Rehearsal::freezeShields() -> void {
  repeatsKeyed_ = true;
  Steps steps;
  steps.list.push_back({4000, [this] {
                          for (auto& name : fleet_->names("shield"))
                            fleet_->signal(name, SIGSTOP);
                        }});
  steps.list.push_back({5000, [this] { submitBeside(945, pick(5)); }});
  steps.list.push_back({8000, [this] {
                          for (auto& name : fleet_->names("shield"))
                            fleet_->signal(name, SIGCONT);
                        }});
  verdict_.faultAtMs = 4000;
  verdict_.healedAtMs = 8000;
  verdict_.report = load(20, std::ref(steps));
}

// Agents alone are frozen, one beside a shield and one beside an edge; a configuration changes meanwhile.
auto Rehearsal::freezeAgents() -> void {
  std::vector<std::string> names = {"agent-shield-1", "agent-edge-1"};
  Steps steps;
  steps.list.push_back({3500, [this, names] {
                          for (auto& name : names)
                            fleet_->signal(name, SIGSTOP);
                        }});
  steps.list.push_back({5000, [this] { submitBeside(946, pick(5)); }});
  steps.list.push_back({9500, [this, names] {
                          for (auto& name : names)
                            fleet_->signal(name, SIGCONT);
                        }});
  verdict_.faultAtMs = 3500;
  verdict_.healedAtMs = 9500;
  verdict_.report = load(18, std::ref(steps));
  if (verdict_.report.share(3500, 9500) < 0.75)
    verdict_.faults.push_back("two frozen agents stop more than their proxies' part");
}

}  // namespace dykestage::sim
