// history: seeded histories in virtual time, many at once, judged by the simulators' checkers.
#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include "operator/program.hpp"
#include "sim/core_sim.hpp"
#include "sim/system_sim.hpp"

using namespace dykestage;

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv,
                                    "history: seeded histories in virtual time\n"
                                    "  history core [MIX ...]     the ordering alone\n"
                                    "  history system [MIX ...]   registries, agents, edges and shields, or proxies\n"
                                    "  with --set=tell=true the first failing seed of a mix is told in full");
  auto& s = program.settings();
  int64_t seeds = 100, first = 1, threads = 4;
  s.integer("seeds", 1, 1000000, seeds);
  s.integer("first", 0, 1LL << 50, first);
  s.integer("threads", 1, 64, threads);
  auto tells = false;
  s.flag("tell", tells);
  program.ready();
  auto words = program.words();
  auto isCore = !words.empty() && words[0] == "core";
  if (words.empty() || (!isCore && words[0] != "system")) {
    std::cerr << "history: say core or system\n";
    return 2;
  }
  FLAGS_minloglevel = google::GLOG_FATAL;
  std::vector<std::string> names(words.begin() + 1, words.end());
  if (names.empty()) {
    for (const auto& [name, faults] : sim::coreMixes())
      if (isCore) names.push_back(name);
    for (const auto& [name, props] : sim::SystemSim::mixes())
      if (!isCore) names.push_back(name);
  }
  auto isWell = true;
  for (const auto& name : names) {
    if (isCore ? !sim::coreMixes().count(name) : !sim::SystemSim::mixes().count(name)) {
      std::cerr << "history: no such mix: " << name << "\n";
      return 2;
    }
    std::atomic<int64_t> next{first};
    std::mutex lock;
    std::vector<std::string> faults;
    int64_t failed = 0, backMs = 0;
    uint64_t asked = 0, well = 0, looks = 0, denied = 0;
    auto work = [&] {
      for (auto seed = next++; seed < first + seeds; seed = next++) {
        std::vector<std::string> found;
        uint64_t a = 0, w = 0, l = 0, d = 0;
        int64_t back = 0;
        if (isCore) {
          auto v = sim::CoreSim({.seed = static_cast<uint64_t>(seed), .faults = sim::coreMixes().at(name)}).run();
          found = v.faults, a = v.answered + v.unanswered, w = v.answered;
        } else {
          auto props = sim::SystemSim::mixes().at(name);
          props.seed = static_cast<uint64_t>(seed);
          auto v = sim::runSystem(props);
          found = v.faults, a = v.asked, w = v.well, back = v.backMs, l = v.looks, d = v.denied;
        }
        std::lock_guard guard(lock);
        asked += a, well += w, looks += l, denied += d, backMs = std::max(backMs, back);
        if (!found.empty()) {
          ++failed;
          faults.push_back("seed " + std::to_string(seed) + ": " + found.front());
        }
      }
    };
    std::vector<std::thread> list;
    for (int64_t i = 0; i < threads; ++i)
      list.emplace_back(work);
    for (auto& thread : list)
      thread.join();
    std::cout << name << ": " << failed << " of " << seeds << " seeds failed, "
              << 100 * well / std::max<uint64_t>(1, asked) << "% served well";
    if (!isCore)
      std::cout << ", back in " << backMs << " ms at most, looked at " << looks << " times, " << denied << " denied";
    std::cout << "\n";
    for (const auto& fault : faults)
      std::cout << "  " << fault << "\n";
    if (tells && !isCore && !faults.empty()) {
      auto props = sim::SystemSim::mixes().at(name);
      props.seed = std::stoull(faults.front().substr(5));
      props.keepHistory = true;
      for (const auto& line : sim::runSystem(props).history)
        std::cout << "    " << line << "\n";
    }
    std::cout << std::flush;
    isWell = isWell && failed == 0;
  }
  return isWell ? 0 : 1;
}
