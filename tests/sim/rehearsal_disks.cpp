// Rehearsals of disks, clocks and moments that fail; tests/mishap makes them.
#include "sim/rehearsal.hpp"

#include <signal.h>

#include <algorithm>

#include "neighbour/post.hpp"

namespace dykestage::sim {

// Three times, right after a configuration was acknowledged, processes lose power with all that was not synced:
// all of them, the registry that acknowledged, or all of them and one of the disks. Now and then the last write is
// torn in the middle.
auto Rehearsal::powerLoss() -> void {
  auto registries = fleet_->names("registry");
  if (props_.seed % 2 == 0)
    for (const auto& name : registries)
      fleet_->mishap(name, props_.dropsSync ? "hold 1\ntorn 1\ndropSync 1\n" : "hold 1\ntorn 1\n");
  int64_t acknowledged = 1;
  std::vector<std::string> down;
  Steps steps;
  for (auto i = 0; i < 3; ++i) {
    auto t = 3000 + i * 7000;
    steps.list.push_back({t, [&, i] {
                            auto at = pick(5);
                            auto answer = post("/configuration",
                                               std::string(R"({"services": {"extra)") + std::to_string(i) +
                                                   R"(": {"hosts": ["e)" + std::to_string(i) +
                                                   R"(.test"], "paths": [{"prefix": "/", "kind": "store"}]}}})",
                                               at);
                            verdict_.notes.push_back(answer.body.substr(0, 90));
                            if (answer.status == 200)
                              ++acknowledged;
                            else
                              verdict_.faults.push_back("a configuration was not acknowledged: " + answer.body);
                            auto how = (props_.seed + static_cast<uint64_t>(i)) % 3;
                            down = {registries[at]};
                            if (how != 1) {
                              down.clear();
                              for (auto kind : {"registry", "agent", "shield", "edge"})
                                for (auto& name : fleet_->names(kind))
                                  down.push_back(name);
                            }
                            for (auto& name : down)
                              fleet_->kill(name);
                            if (how == 2) fleet_->wipe(registries[pick(5)]);
                            static const char* said[] = {"all", "the acknowledging registry", "all, and one disk"};
                            verdict_.notes.push_back(std::string("power lost: ") + said[how]);
                          }});
    steps.list.push_back({t + 1500, [&] {
                            for (auto& name : down)
                              fleet_->start(name);
                          }});
  }
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 3000 + 14000 + 1500;
  verdict_.report = load(38, std::ref(steps));
  auto configuration = get("/configuration");
  const auto* services = cJSON_GetObjectItemCaseSensitive(configuration.get(), "services");
  for (auto i = 0; i < 3; ++i)
    if (!services || !cJSON_GetObjectItemCaseSensitive(services, ("extra" + std::to_string(i)).c_str()))
      verdict_.faults.push_back("what was acknowledged in round " + std::to_string(i + 1) + " is lost");
  for (auto kind : {"edge", "registry"})
    for (auto& name : fleet_->names(kind))
      if (auto has = revisionOf(name, "configuration"); has < acknowledged)
        verdict_.faults.push_back("acknowledged configuration " + std::to_string(acknowledged) + " lost at " + name +
                                  ", which has " + std::to_string(has));
}

// Disks of two registries are full or broken, at a write, at a sync, at the creation of a file; then they have room
// again and their registries are started again.
auto Rehearsal::fullDisk() -> void {
  auto names = fleet_->names("registry");
  std::shuffle(names.begin(), names.end(), random_);
  static const char* fails[] = {"write", "sync"};
  Steps steps;
  for (auto i = 0; i < 2; ++i) {
    auto name = names[static_cast<size_t>(i)];
    auto error = pick(2) ? "28" : "5";
    steps.list.push_back({3000 + i * 1500, [this, name, i, error] {
                            fleet_->mishap(name, std::string("hold 1\nfail ") +
                                                     fails[(props_.seed + static_cast<uint64_t>(i)) % 2] + "\nerror " +
                                                     error + "\n");
                          }});
    steps.list.push_back({8000 + i * 500, [this, name] {
                            if (fleet_->isRunning(name)) verdict_.faults.push_back(name + " goes on without its disk");
                            // Started on a disk that still refuses, it says so and stops again.
                            fleet_->mishap(name, "hold 1\nfail create\nerror 28\n");
                            fleet_->start(name);
                          }});
    steps.list.push_back({10000 + i * 500, [this, name] {
                            if (fleet_->isRunning(name))
                              verdict_.faults.push_back(name + " started on a disk that refuses");
                            fleet_->mishap(name, "hold 1\n");
                            fleet_->start(name);
                          }});
  }
  for (auto i = 0; i < 5; ++i)
    steps.list.push_back({2500 + i * 2000, [this, i] { submitBeside(900 + i, pick(5)); }});
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 10500;
  verdict_.report = load(24, std::ref(steps));
  if (verdict_.report.share(3000, 10500) < 0.95)
    verdict_.faults.push_back("two full disks of five stopped more than a twentieth of the requests");
}

// One disk stalls for seconds, then two at once. A registry whose disk stalls still ends within its grace.
auto Rehearsal::stalledDisk() -> void {
  auto names = fleet_->names("registry");
  std::shuffle(names.begin(), names.end(), random_);
  Steps steps;
  steps.list.push_back({3000, [this, names] { fleet_->mishap(names[0], "hold 1\nstallMs 60000\n"); }});
  steps.list.push_back({4000, [this] { submitBeside(910, pick(5)); }});
  steps.list.push_back({6000, [this, names] { fleet_->mishap(names[1], "hold 1\nstallMs 4000\n"); }});
  steps.list.push_back({7000, [this] { submitBeside(911, pick(5)); }});
  steps.list.push_back({7500, [this, names] { fleet_->signal(names[0], SIGTERM); }});
  steps.list.push_back({10000, [this, names] { fleet_->mishap(names[1], "hold 1\n"); }});
  steps.list.push_back({14000, [this, names] {
                          if (fleet_->isRunning(names[0]))
                            verdict_.faults.push_back(names[0] + " took longer than the grace");
                          fleet_->kill(names[0]);
                          fleet_->mishap(names[0], "hold 1\n");
                          fleet_->start(names[0]);
                        }});
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 14000;
  verdict_.report = load(24, std::ref(steps));
}

// Wall clocks of every process jump by hours, both ways, each by itself, under load.
auto Rehearsal::clocks() -> void {
  std::vector<std::string> names;
  for (auto kind : {"registry", "agent", "shield", "edge"})
    for (auto& name : fleet_->names(kind))
      names.push_back(name);
  Steps steps;
  for (auto t = 3000; t < 11000; t += 250)
    steps.list.push_back({t, [this, names] {
                            for (auto i = 0; i < 4; ++i) {
                              auto hours = static_cast<int64_t>(pick(200)) - 100;
                              fleet_->mishap(names[pick(names.size())],
                                             "hold 1\nclockMs " +
                                                 std::to_string(hours * 3600000 + static_cast<int64_t>(pick(3600000))) +
                                                 "\n");
                            }
                          }});
  steps.list.push_back({5000, [this] { submitBeside(905, pick(5)); }});
  steps.list.push_back({9000, [this] { submitBeside(906, pick(5)); }});
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 11000;
  verdict_.report = load(16, std::ref(steps));
  if (verdict_.report.share(3000, 11000) < 0.99) verdict_.faults.push_back("clocks that jump stopped requests");
}

// A shield is held up for seconds as it connects to an upstream, and that upstream leaves meanwhile: what the shield
// was about to send does not leave after all.
auto Rehearsal::heldUp() -> void {
  auto origins = {std::string("origin-till-application-1"), std::string("origin-shop-store-1")};
  int64_t takenMs = -1;
  Steps steps;
  steps.list.push_back({4000, [&] {
                          for (auto& name : fleet_->names("shield"))
                            fleet_->mishap(name, "connectMs 3500\n");
                        }});
  steps.list.push_back({4200, [&] {
                          for (auto& name : origins)
                            stand(name, R"({"emptying": true})");
                          takenMs = neighbour::steadyMs() + 700;
                        }});
  steps.list.push_back({8500, [&] {
                          for (auto& name : fleet_->names("shield"))
                            fleet_->mishap(name, "");
                        }});
  verdict_.faultAtMs = 4000;
  verdict_.healedAtMs = 8500;
  verdict_.report = load(18, std::ref(steps));
  for (auto& origin : origins)
    if (auto late = lastServedMs(origin) - takenMs; late > 2000)
      verdict_.faults.push_back("a request reached " + origin + " " + std::to_string(late) +
                                " ms after it was known to be leaving");
}

}  // namespace dykestage::sim
