// Real processes, small: failures under load, callers' and origins' accounts compared.
#include <catch2/catch.hpp>
#include <unistd.h>

#include <filesystem>
#include <iostream>

#include "sim/fleet.hpp"
#include "sim/load.hpp"

using namespace dykestage;
using namespace dykestage::sim;

namespace {
struct Trial {
  explicit Trial(const std::string& name, int64_t port) : folder(std::filesystem::temp_directory_path() / ("dykestage-" + name + "-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(folder);
    Fleet::Props props;
    props.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
    props.folder = folder;
    props.sites = {"north", "south"};
    props.linkUs = 500;
    props.shields = 2;
    props.edges = 2;
    props.port = port;
    props.upstreams = {{"shop", "store", 2, 1, 3, 800}, {"till", "application", 2, 1, 3, 200}};
    fleet = std::make_unique<Fleet>(props);
    fleet->startAll();
  }
  ~Trial() {
    fleet.reset();
    std::filesystem::remove_all(folder);
  }
  auto post(const std::string& target, const std::string& body) -> upstream::Fetched {
    upstream::Fetched answer;
    for (const auto& address : fleet->https("registry")) {
      upstream::Fetch fetch;
      fetch.address = address;
      fetch.method = "POST";
      fetch.target = target;
      fetch.body = body;
      fetch.timeoutMs = 8000;
      answer = upstream::fetchOnce(fetch);
      if (answer.fault == upstream::Fault::kNone && answer.status != 503) return answer;
    }
    return answer;
  }
  auto load(int64_t seconds, const std::function<void(int64_t)>& during) -> Report {
    Load::Props props;
    for (const auto& name : fleet->names("edge")) props.edges.emplace_back(fleet->http(name), fleet->site(name));
    for (const auto& name : fleet->names("origin")) props.accounts[name] = fleet->account(name);
    props.agreedRates = {{"shop", 200}};
    props.kinds = {{"read", "shop.test", "shop", "GET", "/items/", 400, 5, false},
                   {"list", "till.test", "till", "GET", "/list/", 50, 3, false},
                   {"buy", "till.test", "till", "POST", "/buy/", 50, 2, true}};
    props.perSecond = 60;
    props.seconds = seconds;
    return Load(props).run(during);
  }
  std::string folder;
  std::unique_ptr<Fleet> fleet;
};

constexpr auto kServices = R"({"services": {
  "shop": {"hosts": ["shop.test"], "originRate": 200, "paths": [{"prefix": "/", "kind": "store", "keepMs": 2000}]},
  "till": {"hosts": ["till.test"], "paths": [{"prefix": "/", "kind": "application"}]}}})";
}  // namespace

TEST_CASE("A registry, a shield and an upstream are killed in turn under load") {
  Trial trial("kills", 23000);
  REQUIRE(trial.fleet->awaitReady(60000));
  auto taken = trial.post("/configuration", kServices);
  INFO(taken.body);
  REQUIRE(taken.status == 200);
  auto step = 0;
  auto report = trial.load(24, [&](int64_t passedMs) {
    auto when = [&](int at, int64_t ms) { return step == at && passedMs >= ms ? ++step : 0; };
    if (when(0, 3000)) trial.fleet->kill("registry-1");
    if (when(1, 6000)) trial.fleet->kill("shield-1");
    if (when(2, 9000)) trial.fleet->start("shield-1");
    if (when(3, 10000)) trial.fleet->start("registry-1");
    if (when(4, 13000)) trial.fleet->kill("origin-till-application-1");
    if (when(5, 15000)) trial.fleet->kill("edge-1");
    if (when(6, 17000)) trial.fleet->start("edge-1");
    if (when(7, 18000)) trial.fleet->start("origin-till-application-1");
  });
  INFO(report.text());
  CHECK(report.faults.empty());
  CHECK(step == 8);
  uint64_t asked = 0, well = 0;
  for (auto& [name, count] : report.kinds) asked += count.asked, well += count.well;
  CHECK(asked > 1300);
  CHECK(well > asked * 9 / 10);
  // Everything is served again at the end.
  uint64_t lastAsked = 0, lastWell = 0;
  for (auto i = report.slices.size() - 20; i < report.slices.size(); ++i) lastAsked += report.slices[i].first, lastWell += report.slices[i].second;
  CHECK(lastWell == lastAsked);
  std::cout << report.text();
}
