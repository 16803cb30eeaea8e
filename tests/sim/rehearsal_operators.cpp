// Rehearsals of operators with much to say: configurations that grow by thousands, storms of purges.
#include "sim/rehearsal.hpp"

#include <algorithm>

#include "neighbour/post.hpp"

namespace dykestage::sim {

namespace {
auto manyServices(int64_t count, int64_t paths, const std::string& tag) -> std::string {
  std::string text;
  for (int64_t i = 0; i < count; ++i) {
    auto name = tag + std::to_string(i);
    text += (i ? ",\"" : "\"") + name + R"(": {"hosts": [")" + name + R"(.test"], "paths": [)";
    for (int64_t p = 0; p < paths; ++p)
      text += (p ? "," : "") + std::string(R"({"prefix": "/p)") + std::to_string(p) +
              R"(/", "kind": "store", "keepMs": 1000})";
    text += "]}";
  }
  return text;
}
}  // namespace

// Thousands of services and paths come in parts, change, race, arrive with a fault among them, and go again.
auto Rehearsal::growth() -> void {
  int64_t revision = 1;
  std::vector<int64_t> tookMs;
  auto submit = [&](const std::string& body, int expected) {
    auto startMs = neighbour::steadyMs();
    auto answer = post("/configuration", body, pick(5));
    if (answer.status != expected)
      verdict_.faults.push_back("expected " + std::to_string(expected) + ", got " + std::to_string(answer.status) +
                                " " + answer.body.substr(0, 200));
    if (answer.status == 200) {
      tookMs.push_back(neighbour::steadyMs() - startMs);
      ++revision;
    }
  };
  Steps steps;
  for (auto i = 0; i < 5; ++i)
    steps.list.push_back(
        {3000 + i * 1000,
         [&, i] { submit("{\"services\": {" + manyServices(400, 3, "part" + std::to_string(i) + "-") + "}}", 200); }});
  steps.list.push_back(
      {8500, [&] {
         // One fault among thousands: nothing of it holds.
         submit("{\"services\": {" + manyServices(2000, 2, "bad-") + R"(,"bad": {"hosts": [], "paths": []}}})", 400);
       }});
  steps.list.push_back({9500, [&] {
                          // Two change all of it at once on the same revision: one wins.
                          auto base = std::to_string(revisionOf(any("registry"), "configuration"));
                          auto body = [&](const char* tag) {
                            return "{\"base\": " + base + ", \"services\": {" + manyServices(1000, 2, tag) + "}}";
                          };
                          std::vector<std::future<upstream::Fetched>> racing;
                          for (auto tag : {"left-", "right-"})
                            racing.push_back(std::async(std::launch::async, [this, text = body(tag), tag] {
                              return post("/configuration", text, tag[0] == 'l' ? 0 : 1);
                            }));
                          auto won = 0;
                          for (auto& one : racing)
                            won += one.get().status == 200;
                          revision += won;
                          if (won != 1)
                            verdict_.faults.push_back(std::to_string(won) + " of two racing changes were acknowledged");
                        }});
  steps.list.push_back({12000, [&] { submit(R"({"services": {"part0-0": null, "part0-1": null}})", 200); }});
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 13000;
  verdict_.report = load(20, std::ref(steps));
  for (auto kind : {"edge", "shield"})
    for (auto& name : fleet_->names(kind))
      if (revisionOf(name, "configuration") != revision)
        verdict_.faults.push_back(name + " does not have revision " + std::to_string(revision));
  std::sort(tookMs.begin(), tookMs.end());
  verdict_.notes.push_back("configurations of 400 services acknowledged in " +
                           std::to_string(tookMs.empty() ? 0 : tookMs[tookMs.size() / 2]) + " ms, at most " +
                           std::to_string(tookMs.empty() ? 0 : tookMs.back()) + " ms");
  if (verdict_.report.share(3000, 13000) < 0.95)
    verdict_.faults.push_back("growth cost more than a twentieth of the requests");
}

// Thousands of purges within seconds, by path and by label, with a split in the middle; fills run all the while.
auto Rehearsal::storm() -> void {
  Purged acked;
  int64_t edition = 0;
  uint64_t asked = 0, taken = 0;
  auto startMs = neighbour::steadyMs();
  upstream::Fetcher fetcher;
  std::map<uint64_t, std::pair<std::string, int64_t>> open;
  std::vector<pollfd> none;
  auto registries = fleet_->names("registry");
  std::vector<std::string> minor = {registries[3], registries[4], "edge-1"}, rest;
  for (auto kind : {"registry", "edge", "shield"})
    for (auto& name : fleet_->names(kind))
      if (std::find(minor.begin(), minor.end(), name) == minor.end()) rest.push_back(name);
  auto isCut = false;
  int64_t sentMs = 0;
  verdict_.faultAtMs = 2000;
  verdict_.healedAtMs = 9000;
  startMs = neighbour::steadyMs();
  verdict_.report = load(18, [&](int64_t passedMs) {
    if (passedMs >= 4000 && passedMs < 7000 && !isCut) cutApart(minor, rest, isCut = true);
    if (passedMs >= 7000 && isCut) cutApart(minor, rest, isCut = false);
    if (passedMs >= 2000 && passedMs < 9000 && passedMs - sentMs >= 100) {
      sentMs = passedMs;
      ++edition;
      for (auto& name : fleet_->names("origin"))
        if (fleet_->service(name) == "shop")
          stand(name, "{\"edition\": " + std::to_string(edition) + ", \"labels\": \"spring\"}");
      for (auto i = 0; i < 40; ++i) {
        upstream::Fetch fetch;
        fetch.id = ++asked;
        fetch.address = fleet_->https("registry")[pick(3)];
        fetch.method = "POST";
        fetch.target = "/purge";
        fetch.timeoutMs = 9000;
        auto target = "/items/" + std::to_string(pick(300));
        fetch.body = R"({"service": "shop", "path": ")" + target + "\"}";
        if (i == 0) {
          target.clear();
          fetch.body = R"({"service": "shop", "label": "spring"})";
        }
        open[fetch.id] = {target, edition};
        fetcher.start(std::move(fetch));
      }
    }
    for (auto& f : fetcher.run(none, 0)) {
      auto [target, needed] = open[f.id];
      open.erase(f.id);
      if (f.status != 200) continue;  // not acknowledged: nothing is promised
      ++taken;
      auto atMs = neighbour::steadyMs() - startMs;
      if (!target.empty()) {
        acked[target].push_back({atMs, needed});
      } else {
        for (auto i = 0; i < 300; ++i)
          acked["/items/" + std::to_string(i)].push_back({atMs, needed});
      }
    }
  });
  auto checked = judgeReads(acked);
  verdict_.notes.push_back(std::to_string(taken) + " of " + std::to_string(asked) + " purges acknowledged; " +
                           std::to_string(checked) + " reads checked");
  if (taken < asked * 9 / 10) verdict_.faults.push_back("more than a tenth of the purges was not acknowledged");
  if (checked < 1000) verdict_.faults.push_back("too few reads to judge");
}

}  // namespace dykestage::sim
