// measure: figures of the core, with real processes: submissions at several depths and batch times.
#include <algorithm>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <map>

#include "neighbour/post.hpp"
#include "operator/program.hpp"
#include "sim/fleet.hpp"
#include "upstream/fetcher.hpp"

using namespace dykestage;

namespace {
auto statusOf(const std::string& address) -> op::Json {
  upstream::Fetch fetch;
  fetch.address = address;
  fetch.target = "/status";
  return op::parse(upstream::fetchOnce(fetch).body);
}

auto number(const op::Json& json, const char* key) -> double {
  const auto* item = json ? cJSON_GetObjectItemCaseSensitive(json.get(), key) : nullptr;
  return cJSON_IsNumber(item) ? item->valuedouble : 0;
}

struct Sums {
  double fast = 0, slow = 0, executed = 0, syncs = 0, commitP50 = 0, commitP99 = 0, syncP50 = 0;
};

auto sumsOf(sim::Fleet& fleet) -> Sums {
  Sums sums;
  auto all = fleet.https("registry");
  for (const auto& address : all) {
    auto json = statusOf(address);
    sums.fast += number(json, "fast"), sums.slow += number(json, "slow"), sums.syncs += number(json, "syncs");
    sums.executed = std::max(sums.executed, number(json, "executed"));
    sums.commitP50 += number(json, "commitP50Ms") / static_cast<double>(all.size());
    sums.commitP99 = std::max(sums.commitP99, number(json, "commitP99Ms"));
    sums.syncP50 += number(json, "syncP50Us") / static_cast<double>(all.size());
  }
  return sums;
}
}  // namespace

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, "measure: submissions to the core, at several depths and batch times");
  auto& s = program.settings();
  std::string folder = "run/measure";
  int64_t count = 600, runs = 3, faults = 2;
  s.text("folder", folder);
  s.integer("count", 10, 100000, count);
  s.integer("runs", 1, 100, runs);
  s.integer("faults", 1, 2, faults);
  program.ready();
  std::cout << "batch ms  depth  run  acked/s  ack p50  ack p99  commit p50  commit p99  sync p50 us  "
               "submissions/command  fast share\n";
  for (int64_t batchMs : {0, 2, 10})
    for (int64_t depth : {1, 40})
      for (int64_t run = 1; run <= runs; ++run) {
        std::filesystem::remove_all(folder);
        sim::Fleet::Props props;
        props.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
        props.folder = folder;
        props.sites = {"a", "b", "c", "d"};
        props.linkUs = 500;
        props.shields = 1;
        props.edges = 2;
        props.registryExtra = ",\"batchMs\":" + std::to_string(batchMs) + ",\"faults\":" + std::to_string(faults);
        sim::Fleet fleet(props);
        fleet.startAll();
        if (!fleet.awaitReady(60000)) {
          std::cerr << "measure: the fleet did not become ready\n";
          return 1;
        }
        auto registries = fleet.https("registry");
        auto before = sumsOf(fleet);
        upstream::Fetcher fetcher;
        std::map<uint64_t, int64_t> since;
        std::vector<int64_t> took;
        std::vector<pollfd> none;
        auto startMs = neighbour::steadyMs();
        int64_t sent = 0, wanted = depth == 1 ? std::min<int64_t>(count, 100) : count;
        while (static_cast<int64_t>(took.size()) < wanted && neighbour::steadyMs() - startMs < 60000) {
          while (sent < wanted && static_cast<int64_t>(since.size()) < depth) {
            upstream::Fetch fetch;
            fetch.id = static_cast<uint64_t>(sent);
            fetch.address = registries[static_cast<size_t>(sent) % registries.size()];
            fetch.method = "POST";
            fetch.target = "/purge";
            fetch.body = "{\"service\":\"s\",\"path\":\"/" + std::to_string(sent++) + "\"}";
            fetch.timeoutMs = 10000;
            since[fetch.id] = neighbour::steadyMs();
            fetcher.start(std::move(fetch));
          }
          for (auto& f : fetcher.run(none, 1)) {
            if (f.status != 200) {
              std::cerr << "measure: a submission failed: " << f.body << "\n";
              return 1;
            }
            took.push_back(neighbour::steadyMs() - since[f.id]);
            since.erase(f.id);
          }
        }
        auto tookMs = neighbour::steadyMs() - startMs;
        auto after = sumsOf(fleet);
        std::sort(took.begin(), took.end());
        if (took.empty()) return 1;
        auto decided = after.fast + after.slow - before.fast - before.slow;
        // Ticks are commands of three partitions, and are among the commands counted here.
        std::cout << std::fixed << std::setprecision(0) << std::setw(8) << batchMs << std::setw(7) << depth
                  << std::setw(5) << run << std::setw(9)
                  << 1000.0 * static_cast<double>(took.size()) / static_cast<double>(std::max<int64_t>(1, tookMs))
                  << std::setw(9) << took[took.size() / 2] << std::setw(9) << took[took.size() * 99 / 100]
                  << std::setprecision(1) << std::setw(12) << after.commitP50 << std::setw(12) << after.commitP99
                  << std::setw(13) << after.syncP50 << std::setw(21)
                  << static_cast<double>(took.size()) / (after.executed - before.executed) << std::setprecision(2)
                  << std::setw(12) << (decided > 0 ? (after.fast - before.fast) / decided : 0) << "\n"
                  << std::flush;
      }
  return 0;
}
