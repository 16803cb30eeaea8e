#include "sim/rehearsal.hpp"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <sstream>
#include <thread>

#include "neighbour/post.hpp"

namespace dykestage::sim {

namespace {
auto services(int64_t rate, int64_t deadlineMs = 1000) -> std::string {
  return R"({"services": {"shop": {"hosts": ["shop.test"], "originRate": )" + std::to_string(rate) +
         R"(, "deadlineMs": )" + std::to_string(deadlineMs) +
         R"(, "paths": [{"prefix": "/", "kind": "store", "keepMs": 2000}]},
      "till": {"hosts": ["till.test"], "paths": [{"prefix": "/", "kind": "application"}]}}})";
}
}  // namespace

Rehearsal::Rehearsal(Props props) : props_(std::move(props)), random_(props_.seed) {
  std::filesystem::remove_all(props_.folder);
  Fleet::Props fleet;
  fleet.programs = props_.programs;
  fleet.folder = props_.folder;
  fleet.sites = {"north", "east", "south"};
  fleet.linkUs = 500;
  fleet.shields = props_.shields;
  fleet.edges = props_.edges;
  fleet.port = props_.port;
  fleet.hasMishaps = props_.hasMishaps;
  fleet.upstreams = {{"shop", "store", props_.stores, 1, 3, 800},
                     {"till", "application", props_.applications, 1, 3, 200}};
  // A tenant whose application is much slower than its store, for rollouts to choose between.
  if (props_.hasTenant) {
    fleet.upstreams.push_back({"bazaar", "store", 2, 1, 3, 600});
    fleet.upstreams.push_back({"bazaar", "application", 2, 1, 120, 600});
  }
  fleet_ = std::make_unique<Fleet>(fleet);
  // What is not synced is lost with the process, as with power.
  if (props_.hasMishaps)
    for (const auto& name : fleet_->names("registry"))
      fleet_->mishap(name, props_.dropsSync ? "hold 1\ndropSync 1\n" : "hold 1\n");
  fleet_->startAll();
  if (!fleet_->awaitReady(60000)) verdict_.faults.push_back("the fleet did not become ready");
}

auto Rehearsal::post(const std::string& target, const std::string& body, size_t from) -> upstream::Fetched {
  upstream::Fetched answer;
  auto registries = fleet_->https("registry");
  for (size_t i = 0; i < registries.size(); ++i) {
    upstream::Fetch fetch;
    fetch.address = registries[(from + i) % registries.size()];
    fetch.method = "POST";
    fetch.target = target;
    fetch.body = body;
    fetch.timeoutMs = 8000;
    answer = upstream::fetchOnce(fetch);
    if (answer.fault == upstream::Fault::kNone && answer.status != 503) return answer;
  }
  return answer;
}

auto Rehearsal::stand(const std::string& origin, const std::string& body) -> void {
  upstream::Fetch fetch;
  fetch.address = fleet_->http(origin);
  fetch.method = "POST";
  fetch.target = "/stand";
  fetch.body = body;
  auto answer = upstream::fetchOnce(fetch);
  // One that has just been started is not listening yet.
  for (auto i = 0; i < 100 && answer.fault == upstream::Fault::kNotSent; ++i, ::usleep(20000))
    answer = upstream::fetchOnce(fetch);
  if (answer.status != 200) verdict_.faults.push_back("a stand-in refused " + body);
}

auto Rehearsal::configure() -> void {
  auto answer = post("/configuration", services(agreedRate_));
  if (answer.status != 200) verdict_.faults.push_back("the first configuration was not taken: " + answer.body);
}

auto Rehearsal::submitBeside(int64_t deadlineMs, size_t registry, std::function<void()> then) -> void {
  beside_.push_back(std::async(std::launch::async, [this, deadlineMs, registry, then] {
    auto startMs = neighbour::steadyMs();
    auto answer = post("/configuration", services(agreedRate_, deadlineMs), registry);
    then();
    if (answer.status != 200) return "a configuration was not acknowledged: " + answer.body;
    return "+acknowledged after " + std::to_string(neighbour::steadyMs() - startMs) + " ms";
  }));
}

auto Rehearsal::load(int64_t seconds, const std::function<void(int64_t)>& during) -> Report {
  Load::Props props;
  for (const auto& name : fleet_->names("edge"))
    props.edges.push_back({fleet_->http(name), fleet_->site(name), fleet_->status(name)});
  for (const auto& name : fleet_->names("origin"))
    props.accounts[name] = fleet_->account(name);
  props.agreedRates = {{"shop", agreedRate_}};
  props.kinds = kinds_;
  if (props.kinds.empty()) {
    props.kinds.push_back({"read", "shop.test", "shop", "GET", "/items/", 300, 5, false});
    props.kinds.push_back({"list", "till.test", "till", "GET", "/list/", 50, 3, false});
    props.kinds.push_back({"buy", "till.test", "till", "POST", "/buy/", 50, 2, true});
  }
  props.perSecond = props_.perSecond;
  props.seconds = seconds;
  props.seed = static_cast<int64_t>(props_.seed);
  props.retriesAtOnce = retriesAtOnce_;
  props.repeatsKeyed = repeatsKeyed_;
  return Load(props).run(during);
}

auto Rehearsal::any(const std::string& kind) -> std::string {
  auto names = fleet_->names(kind);
  return names[pick(names.size())];
}

auto Rehearsal::cutApart(const std::vector<std::string>& a, const std::vector<std::string>& b, bool isCut) -> void {
  for (const auto& x : a)
    for (const auto& y : b) {
      fleet_->links().cut(fleet_->machine(x), fleet_->machine(y), isCut);
      fleet_->links().cut(fleet_->machine(y), fleet_->machine(x), isCut);
    }
}

auto Rehearsal::revisionOf(const std::string& name, const char* key) -> int64_t {
  upstream::Fetch fetch;
  fetch.address = fleet_->status(name);
  fetch.target = "/status";
  fetch.timeoutMs = 300;
  auto answer = upstream::fetchOnce(fetch);
  auto json = op::parse(answer.body);
  const auto* item = json ? cJSON_GetObjectItemCaseSensitive(json.get(), key) : nullptr;
  return cJSON_IsNumber(item) ? static_cast<int64_t>(item->valuedouble) : -1;
}

// Single processes of every kind, one after the other.
auto Rehearsal::kills() -> void {
  Steps steps;
  std::vector<std::string> kinds = {"registry", "shield", "edge", "agent", "origin"};
  std::shuffle(kinds.begin(), kinds.end(), random_);
  int64_t t = 3000;
  for (const auto& kind : kinds) {
    auto name = any(kind);
    verdict_.notes.push_back(std::to_string(t) + " ms kill " + name);
    steps.list.push_back({t, [this, name] { fleet_->kill(name); }});
    steps.list.push_back({t + 2500, [this, name] { fleet_->start(name); }});
    t += 4500;
  }
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = t - 2000;
  verdict_.report = load(t / 1000 + 8, std::ref(steps));
}

// All proxies and agents at once.
auto Rehearsal::herd() -> void {
  Steps steps;
  steps.list.push_back({4000, [this] {
                          for (auto kind : {"edge", "shield", "agent"})
                            for (auto& name : fleet_->names(kind))
                              fleet_->kill(name);
                        }});
  steps.list.push_back({5000, [this] {
                          for (auto kind : {"agent", "shield", "edge"})
                            for (auto& name : fleet_->names(kind))
                              fleet_->start(name);
                        }});
  verdict_.faultAtMs = 4000;
  verdict_.healedAtMs = 5000;
  verdict_.report = load(24, std::ref(steps));
}

// Every process is stopped with its grace and started again, machine after machine.
auto Rehearsal::rolling() -> void {
  std::vector<std::string> names;
  for (auto kind : {"registry", "shield", "edge"})
    for (auto& name : fleet_->names(kind))
      names.push_back(name);
  std::shuffle(names.begin(), names.end(), random_);
  size_t at = 0;
  auto state = 0;
  int64_t sinceMs = 0;
  verdict_.faultAtMs = 2000;
  verdict_.report = load(static_cast<int64_t>(names.size()) * 7 + 10, [&](int64_t passedMs) {
    if (at >= names.size() || passedMs < 2000) return;
    const auto& name = names[at];
    if (state == 0) {
      fleet_->signal(name, SIGTERM);
      fleet_->signal(name, SIGTERM);  // a second one is harmless
      state = 1;
      sinceMs = passedMs;
    } else if (state == 1 && !fleet_->isRunning(name)) {
      if (passedMs - sinceMs > 6500) verdict_.faults.push_back(name + " took longer than the grace");
      fleet_->start(name);
      state = 2;
      sinceMs = passedMs;
    } else if (state == 1 && passedMs - sinceMs > 8000) {
      verdict_.faults.push_back(name + " does not stop");
      fleet_->kill(name);
    } else if (state == 2 && passedMs - sinceMs > 2500) {
      state = 0;
      ++at;
      verdict_.healedAtMs = passedMs;
    }
  });
  if (at < names.size()) verdict_.faults.push_back("not every process was restarted");
}

// Every process loses power right after a configuration was acknowledged.
auto Rehearsal::blackout() -> void {
  int64_t acknowledged = 0;
  Steps steps;
  steps.list.push_back({4000, [this, &acknowledged] {
                          auto answer = post("/configuration", services(agreedRate_, 900), pick(5));
                          if (answer.status == 200) acknowledged = 2;
                          for (auto kind : {"registry", "edge", "shield", "agent"})
                            for (auto& name : fleet_->names(kind))
                              fleet_->kill(name);
                        }});
  steps.list.push_back({5500, [this] {
                          for (auto kind : {"registry", "agent", "shield", "edge"})
                            for (auto& name : fleet_->names(kind))
                              fleet_->start(name);
                        }});
  verdict_.faultAtMs = 4000;
  verdict_.healedAtMs = 5500;
  verdict_.report = load(24, std::ref(steps));
  if (acknowledged == 0) verdict_.faults.push_back("the configuration was not acknowledged before the power went");
  for (auto& name : fleet_->names("edge"))
    if (revisionOf(name, "configuration") < acknowledged)
      verdict_.faults.push_back("acknowledged configuration lost at " + name);
}

// A registry loses its disk right after an acknowledgement; then another one does.
auto Rehearsal::wipe() -> void {
  auto names = fleet_->names("registry");
  std::shuffle(names.begin(), names.end(), random_);
  Steps steps;
  for (auto i = 0; i < 3; ++i) {
    auto name = names[static_cast<size_t>(i)];
    auto t = 3000 + i * 6000;
    verdict_.notes.push_back(std::to_string(t) + " ms wipe " + name);
    steps.list.push_back({t, [this, name, i] {
                            submitBeside(900 + i, pick(5), [this, name] {
                              fleet_->kill(name);
                              fleet_->wipe(name);
                            });
                          }});
    steps.list.push_back({t + 2500, [this, name] { fleet_->start(name); }});
  }
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 3000 + 2 * 6000 + 2500;
  verdict_.report = load(28, std::ref(steps));
  for (auto& name : fleet_->names("registry")) {
    if (revisionOf(name, "configuration") != 4) verdict_.faults.push_back("configuration lost at " + name);
    if (revisionOf(name, "epoch") != 3) verdict_.faults.push_back(name + " does not know all three replica changes");
  }
}

// Two registries, with part of the proxies, are cut from the rest.
auto Rehearsal::split() -> void {
  auto registries = fleet_->names("registry");
  std::shuffle(registries.begin(), registries.end(), random_);
  std::vector<std::string> minor(registries.begin(), registries.begin() + 2),
      rest(registries.begin() + 2, registries.end());
  auto lost = any("edge");
  minor.push_back(lost);
  for (auto kind : {"edge", "shield"})
    for (auto& name : fleet_->names(kind))
      if (name != lost) rest.push_back(name);
  Steps steps;
  steps.list.push_back({4000, [this, minor, rest] { cutApart(minor, rest, true); }});
  steps.list.push_back({7000, [this, rest] {
                          auto at = 0u;
                          auto names = fleet_->names("registry");
                          while (std::find(rest.begin(), rest.end(), names[at]) == rest.end())
                            ++at;
                          submitBeside(950, at);
                        }});
  steps.list.push_back({11000, [this, minor, rest] { cutApart(minor, rest, false); }});
  verdict_.faultAtMs = 4000;
  verdict_.healedAtMs = 11000;
  verdict_.report = load(24, std::ref(steps));
  for (auto kind : {"registry", "edge", "shield"})
    for (auto& name : fleet_->names(kind))
      if (revisionOf(name, "configuration") != 2)
        verdict_.faults.push_back("configuration not in force at " + name + " after the heal");
}

// No proxy reaches any registry: nodes stop when what they know is too old, and come back.
auto Rehearsal::coreAway() -> void {
  std::vector<std::string> proxies;
  for (auto kind : {"edge", "shield"})
    for (auto& name : fleet_->names(kind))
      proxies.push_back(name);
  Steps steps;
  steps.list.push_back({4000, [this, proxies] { cutApart(proxies, fleet_->names("registry"), true); }});
  steps.list.push_back({10000, [this, proxies] { cutApart(proxies, fleet_->names("registry"), false); }});
  verdict_.faultAtMs = 4000;
  verdict_.healedAtMs = 10000;
  verdict_.report = load(26, std::ref(steps));
  // Well into the cut nothing may be served any more: a configuration could be in force that nobody here has.
  if (verdict_.report.share(6500, 10000) > 0)
    verdict_.faults.push_back("nodes acted on knowledge older than the bound");
}

// Processes are frozen for longer than the bound, and thawed; a configuration changes meanwhile.
auto Rehearsal::freeze() -> void {
  std::vector<std::string> names = {any("shield"), any("edge"), any("registry")};
  Steps steps;
  steps.list.push_back({4000, [this, names] {
                          for (auto& name : names)
                            fleet_->signal(name, SIGSTOP);
                        }});
  steps.list.push_back({6000, [this, names] {
                          auto at = 0u;
                          while (fleet_->names("registry")[at] == names[2])
                            ++at;
                          submitBeside(940, at);
                        }});
  steps.list.push_back({9500, [this, names] {
                          for (auto& name : names)
                            fleet_->signal(name, SIGCONT);
                        }});
  verdict_.faultAtMs = 4000;
  verdict_.healedAtMs = 9500;
  verdict_.report = load(24, std::ref(steps));
}

// Upstreams run and lose the answer, or hand out garbage, cut, endless and over-long answers.
auto Rehearsal::upstreams() -> void {
  Steps steps;
  auto bad = R"({"lose": 8, "garbage": 4, "cut": 6, "endless": 4, "long": 4, "error": 2})";
  steps.list.push_back({3000, [this, bad] {
                          for (auto& name : fleet_->names("origin"))
                            stand(name, bad);
                        }});
  steps.list.push_back({15000, [this] {
                          for (auto& name : fleet_->names("origin"))
                            stand(name, R"({"lose": 0, "garbage": 0, "cut": 0, "endless": 0, "long": 0, "error": 0})");
                        }});
  verdict_.faultAtMs = 3000;
  verdict_.healedAtMs = 15000;
  verdict_.report = load(22, std::ref(steps));
}

// An upstream says that it is emptying: nothing reaches it more than 2 s after that was taken.
auto Rehearsal::emptied() -> void {
  auto name = "origin-till-application-1";
  int64_t takenMs = -1;
  auto second = std::string("origin-shop-store-1");
  Steps steps;
  steps.list.push_back({4000, [&] {
                          stand(name, R"({"emptying": true})");
                          stand(second, R"({"emptying": true})");
                          takenMs = neighbour::steadyMs() + 700;  // its next beat tells; a beat takes 0.5 s at most
                        }});
  verdict_.faultAtMs = 4000;
  verdict_.healedAtMs = 4000;
  verdict_.report = load(14, std::ref(steps));
  for (auto& origin : {std::string(name), second}) {
    auto last = lastServedMs(origin);
    verdict_.notes.push_back(origin + ": last request " + std::to_string(last - takenMs) +
                             " ms after it was known to be leaving");
    if (last - takenMs > 2000) verdict_.faults.push_back("requests reached " + origin + " too late");
  }
}

// An upstream's process passes to another service at the same address.
auto Rehearsal::reused() -> void {
  auto name = std::string("origin-till-application-1");
  Steps steps;
  steps.list.push_back({4000, [&] { stand(name, R"({"service": "shop-next", "instance": "origin-next-1"})"); }});
  verdict_.faultAtMs = 4000;
  verdict_.healedAtMs = 4000;
  verdict_.report = load(16, std::ref(steps));
  std::istringstream lines(op::readFile(fleet_->account(name)).value_or(""));
  std::string line;
  while (std::getline(lines, line))
    if (line.find("shop-next") != std::string::npos) {
      verdict_.faults.push_back("a request ran for a service that no configuration has");
      break;
    }
  auto roster = get("/roster");
  const auto* all = cJSON_GetObjectItemCaseSensitive(roster.get(), "upstreams");
  const auto* next = all ? cJSON_GetObjectItemCaseSensitive(all, "origin-next-1") : nullptr;
  const auto* state = next ? cJSON_GetObjectItemCaseSensitive(next, "state") : nullptr;
  if (!cJSON_IsString(state) || std::string(state->valuestring) != "working")
    verdict_.faults.push_back("the address did not become usable again");
  if (all && cJSON_GetObjectItemCaseSensitive(all, name.c_str()))
    verdict_.faults.push_back("the old entry is still there");
}

// Whoever asked two seconds after a purge's acknowledgement must have got what came after it.
auto Rehearsal::judgeReads(const Purged& acked) -> uint64_t {
  uint64_t late = 0, checked = 0;
  for (const auto& read : verdict_.report.reads) {
    auto purges = acked.find(read.target);
    if (purges == acked.end()) continue;
    for (const auto& [atMs, needed] : purges->second)
      if (read.askedMs > atMs + 2000) {
        ++checked;
        if (read.edition < needed) ++late;
      }
  }
  if (late > 0)
    verdict_.faults.push_back(std::to_string(late) + " reads came from before a purge acknowledged more than 2 s ago");
  return checked;
}

// Purges, one by one and in storms, while fills run; the origin's content changes before each.
auto Rehearsal::purges() -> void {
  Purged acked;
  int64_t edition = 0;
  auto startMs = neighbour::steadyMs();
  std::vector<int64_t> tookMs;
  auto purge = [&](int64_t count) {
    ++edition;
    for (auto& name : fleet_->names("origin"))
      if (fleet_->service(name) == "shop")
        stand(name, "{\"edition\": " + std::to_string(edition) + ", \"labels\": \"spring\"}");
    // A storm: many purges at once, over all registries.
    upstream::Fetcher fetcher;
    std::map<uint64_t, std::string> open;
    for (int64_t i = 0; i < count; ++i) {
      auto target = "/items/" + std::to_string(pick(300));
      upstream::Fetch fetch;
      fetch.id = static_cast<uint64_t>(i);
      fetch.address = fleet_->https("registry")[pick(5)];
      fetch.method = "POST";
      fetch.target = "/purge";
      fetch.body = R"({"service": "shop", "path": ")" + target + "\"}";
      fetch.timeoutMs = 8000;
      open[fetch.id] = target;
      fetcher.start(std::move(fetch));
    }
    auto sentMs = neighbour::steadyMs();
    std::vector<pollfd> none;
    while (!open.empty() && neighbour::steadyMs() - sentMs < 8000)
      for (auto& f : fetcher.run(none, 10)) {
        if (f.status == 200) {
          acked[open[f.id]].push_back({neighbour::steadyMs() - startMs, edition});
          tookMs.push_back(neighbour::steadyMs() - sentMs);
        } else {
          verdict_.faults.push_back("a purge was not acknowledged: " + f.body);
        }
        open.erase(f.id);
      }
  };
  Steps steps;
  for (auto i = 0; i < 8; ++i)
    steps.list.push_back({2000 + i * 1000, [&, i] { purge(i % 4 == 3 ? 200 : 3); }});
  verdict_.faultAtMs = 2000;
  verdict_.healedAtMs = 10000;
  startMs = neighbour::steadyMs();
  verdict_.report = load(16, std::ref(steps));
  auto checked = judgeReads(acked);
  std::sort(tookMs.begin(), tookMs.end());
  verdict_.notes.push_back("checked " + std::to_string(checked) + " reads against " + std::to_string(tookMs.size()) +
                           " purges; a purge was acknowledged in " +
                           std::to_string(tookMs.empty() ? 0 : tookMs[tookMs.size() / 2]) + " ms, at most " +
                           std::to_string(tookMs.empty() ? 0 : tookMs.back()) + " ms");
  if (checked < 100) verdict_.faults.push_back("too few reads to judge");
}

// Operators race each other at all registries, some with invalid input; what is acknowledged is in force
// everywhere within 2 s, and no node slides back.
auto Rehearsal::races() -> void {
  std::map<std::string, int64_t> seen;
  std::vector<std::pair<int64_t, int64_t>> acked;  // at, revision
  uint64_t won = 0, lost = 0, refused = 0, polls = 0;
  std::vector<int64_t> tookMs;
  auto startMs = neighbour::steadyMs();
  int64_t round = 0, nextMs = 2000;
  verdict_.faultAtMs = 2000;
  verdict_.healedAtMs = 12000;
  auto watch = [&] {
    for (auto kind : {"edge", "shield"})
      for (auto& name : fleet_->names(kind)) {
        auto atMs = neighbour::steadyMs() - startMs;
        auto revision = revisionOf(name, "configuration");
        if (revision < 0) continue;
        ++polls;
        if (revision < seen[name])
          verdict_.faults.push_back(name + " slid back from " + std::to_string(seen[name]) + " to " +
                                    std::to_string(revision));
        seen[name] = std::max(seen[name], revision);
        for (auto& [ackMs, acknowledged] : acked)
          if (atMs > ackMs + 2000 && revision < acknowledged)
            verdict_.faults.push_back(name + " lacks revision " + std::to_string(acknowledged));
      }
  };
  verdict_.report = load(16, [&](int64_t passedMs) {
    if (passedMs < nextMs || passedMs > 12000) return;
    nextMs = passedMs + 300;
    auto base = revisionOf(any("registry"), "configuration");
    upstream::Fetcher fetcher;
    for (uint64_t i = 0; i < 5; ++i) {
      upstream::Fetch fetch;
      fetch.id = i;
      fetch.address = fleet_->https("registry")[i];
      fetch.method = "POST";
      fetch.target = "/configuration";
      fetch.timeoutMs = 8000;
      auto deadline = std::to_string(800 + round * 5 + static_cast<int64_t>(i));
      fetch.body = R"({"base": )" + std::to_string(base) +
                   R"(, "services": {"shop": {"hosts": ["shop.test"], "originRate": 200, "deadlineMs": )" + deadline +
                   R"(, "paths": [{"prefix": ")" + (i == 4 ? "" : "/") + R"(", "kind": "store", "keepMs": 2000}]}}})";
      fetcher.start(std::move(fetch));
    }
    auto sentMs = neighbour::steadyMs();
    size_t ended = 0, winners = 0;
    std::vector<pollfd> none;
    while (ended < 5 && neighbour::steadyMs() - sentMs < 8000)
      for (auto& f : fetcher.run(none, 10)) {
        ++ended;
        auto json = op::parse(f.body);
        const auto* revision = json ? cJSON_GetObjectItemCaseSensitive(json.get(), "revision") : nullptr;
        if (f.status == 200 && f.id == 4) verdict_.faults.push_back("an invalid configuration was acknowledged");
        if (f.status == 200 && cJSON_IsNumber(revision)) {
          ++winners;
          acked.emplace_back(neighbour::steadyMs() - startMs, static_cast<int64_t>(revision->valuedouble));
          tookMs.push_back(neighbour::steadyMs() - sentMs);
        }
        if (f.status == 409) ++lost;
        if (f.status == 400) ++refused;
      }
    won += winners;
    if (winners > 1) verdict_.faults.push_back("two racing changes were both acknowledged");
    ++round;
    watch();
  });
  ::usleep(2100000);
  watch();
  std::sort(tookMs.begin(), tookMs.end());
  verdict_.notes.push_back("rounds " + std::to_string(round) + ", won " + std::to_string(won) + ", lost " +
                           std::to_string(lost) + ", refused " + std::to_string(refused) + ", looks " +
                           std::to_string(polls) + "; acknowledged in " +
                           std::to_string(tookMs.empty() ? 0 : tookMs[tookMs.size() / 2]) + " ms, at most " +
                           std::to_string(tookMs.empty() ? 0 : tookMs.back()) + " ms");
  if (won == 0 || lost == 0 || refused == 0) verdict_.faults.push_back("the race did not race");
}

// Callers who retry at once, on an origin whose agreed rate is far too low, with a shield lost and found.
auto Rehearsal::impatient() -> void {
  retriesAtOnce_ = true;
  agreedRate_ = 30;
  auto answer = post("/configuration", services(agreedRate_));
  if (answer.status != 200) verdict_.faults.push_back("the rate was not taken");
  props_.perSecond = 250;
  ::usleep(2500000);  // the former rate may still be in the windows
  for (auto& name : fleet_->names("origin"))
    std::filesystem::resize_file(fleet_->account(name), 0);
  auto shield = any("shield");
  Steps steps;
  steps.list.push_back({5000, [this, shield] { fleet_->kill(shield); }});
  steps.list.push_back({12000, [this, shield] { fleet_->start(shield); }});
  verdict_.faultAtMs = 5000;
  verdict_.healedAtMs = -1;
  verdict_.report = load(22, std::ref(steps));
}

auto Rehearsal::get(const std::string& target) -> op::Json {
  for (const auto& address : fleet_->https("registry")) {
    upstream::Fetch fetch;
    fetch.address = address;
    fetch.target = target;
    fetch.timeoutMs = 1000;
    auto answer = upstream::fetchOnce(fetch);
    if (answer.status == 200) return op::parse(answer.body);
  }
  return op::parse("{}");
}

auto Rehearsal::holder() -> std::string {
  for (const auto& name : fleet_->names("registry")) {
    upstream::Fetch fetch;
    fetch.address = fleet_->http(name);
    fetch.target = "/status";
    fetch.timeoutMs = 300;
    if (upstream::fetchOnce(fetch).body.find("\"watches\":true") != std::string::npos) return name;
  }
  return "";
}

// Template changes of each kind, one after the other, each judged by what callers saw; the good one with the
// holder of the duty killed midway.
auto Rehearsal::rollouts() -> void {
  kinds_ = {{"read", "bazaar.test", "bazaar", "GET", "/items/", 60, 1, false}};
  props_.perSecond = 150;
  auto shape = [](const std::string& kind, const std::string& keepMs, int64_t deadlineMs, int64_t least) {
    return R"({"name": "retail", "template": {"parameters": {"keep": {"low": 0, "high": 60000, "default": 4000}},
      "service": {"deadlineMs": )" +
           std::to_string(deadlineMs) + R"(, "paths": [{"prefix": "/", "kind": ")" + kind + "\"" + keepMs + R"(}]},
      "rollout": {"stepsPermille": [200, 500], "leastSample": )" +
           std::to_string(least) + R"(, "stepMs": 2000, "longestMs": 8000, "latencyMs": 15}}})";
  };
  auto keep = std::string(R"(, "keepMs": {"parameter": "keep"})");
  auto must = [&](const upstream::Fetched& answer, const std::string& what) {
    if (answer.status != 200) verdict_.faults.push_back(what + ": " + answer.body);
  };
  must(post("/templates", shape("store", keep, 1000, 50)), "the first template");
  must(post("/tenants",
            R"({"tenants": {"bazaar": {"template": "retail", "hosts": ["bazaar.test"], "values": {"keep": 5000}}}})"),
       "the tenant");
  if (post("/tenants", R"({"tenants": {"b": {"template": "retail", "hosts": ["b"], "values": {"keep": 60001}}}})")
          .status != 400)
    verdict_.faults.push_back("a value out of bounds was taken");
  struct Change {
    std::string name, body, expected;
    bool killsHolder;
  };
  std::vector<Change> changes = {{"good", shape("store", keep, 900, 50), "finished", true},
                                 {"slows", shape("application", "", 900, 50), "fallen back", false},
                                 {"errs", shape("application", "", 60, 50), "fallen back", false},
                                 {"presses the origin", shape("store", "", 900, 50), "fallen back", false},
                                 {"little traffic", shape("store", keep, 800, 100000), "fallen back", true}};
  size_t at = 0;
  std::string running, killed;
  int64_t nextMs = 6000, sinceMs = 0, killedMs = 0, lookedMs = 0;
  verdict_.faultAtMs = 6000;
  verdict_.report = load(110, [&](int64_t passedMs) {
    if (at >= changes.size() || passedMs < nextMs || passedMs - lookedMs < 200) return;
    lookedMs = passedMs;
    const auto& change = changes[at];
    if (running.empty()) {
      auto answer = post("/templates", change.body);
      auto json = op::parse(answer.body);
      const auto* id = json ? cJSON_GetObjectItemCaseSensitive(json.get(), "rollout") : nullptr;
      if (!cJSON_IsString(id)) {
        verdict_.faults.push_back(change.name + " started no rollout: " + answer.body);
        ++at;
        return;
      }
      running = id->valuestring;
      sinceMs = passedMs;
      if (post("/templates", change.body).status != 409)
        verdict_.faults.push_back("a change during a rollout was not refused");
      return;
    }
    if (change.killsHolder && killed.empty() && passedMs - sinceMs > 1200) {
      killed = holder();
      killedMs = passedMs;
      if (!killed.empty()) fleet_->kill(killed);
    }
    if (!killed.empty() && passedMs - killedMs > 3000) fleet_->start(killed);
    auto json = get("/rollouts/" + running);
    const auto* state = cJSON_GetObjectItemCaseSensitive(json.get(), "state");
    auto text = cJSON_IsString(state) ? std::string(state->valuestring) : "";
    if (passedMs - sinceMs > 30000) verdict_.faults.push_back(change.name + " did not end");
    if (text == "running" && passedMs - sinceMs <= 30000) return;
    if (text.empty()) return;
    const auto* decisions = cJSON_GetObjectItemCaseSensitive(json.get(), "decisions");
    const auto* last = cJSON_GetArrayItem(decisions, cJSON_GetArraySize(decisions) - 1);
    const auto* why = last ? cJSON_GetObjectItemCaseSensitive(last, "why") : nullptr;
    verdict_.notes.push_back(change.name + ": " + text + " after " + std::to_string(passedMs - sinceMs) + " ms; " +
                             (cJSON_IsString(why) ? why->valuestring : ""));
    if (text != change.expected) verdict_.faults.push_back(change.name + " ended as " + text);
    if (!killed.empty()) fleet_->start(killed);
    killed.clear();
    running.clear();
    ++at;
    nextMs = passedMs + 3000;
    verdict_.healedAtMs = passedMs + 2000;
  });
  if (at < changes.size()) verdict_.faults.push_back("not every change was tried");
}

auto Rehearsal::all() -> const std::vector<Cause>& {
  static const std::vector<Cause> list = {
      {"kills", &Rehearsal::kills},
      {"herd", &Rehearsal::herd},
      {"shieldHerd", &Rehearsal::shieldHerd},
      {"rolling", &Rehearsal::rolling},
      {"machines", &Rehearsal::machines},
      {"flapping", &Rehearsal::flapping},
      {"blackout", &Rehearsal::blackout},
      {"powerLoss", &Rehearsal::powerLoss, true},
      {"wipe", &Rehearsal::wipe},
      {"fullDisk", &Rehearsal::fullDisk, true},
      {"stalledDisk", &Rehearsal::stalledDisk, true},
      {"clocks", &Rehearsal::clocks, true},
      {"heldUp", &Rehearsal::heldUp, true},
      {"split", &Rehearsal::split},
      {"coreAway", &Rehearsal::coreAway},
      {"cutOff", &Rehearsal::cutOff},
      {"freeze", &Rehearsal::freeze},
      {"freezeHolder", &Rehearsal::freezeHolder},
      {"freezeShields", &Rehearsal::freezeShields},
      {"freezeAgents", &Rehearsal::freezeAgents},
      {"upstreams", &Rehearsal::upstreams},
      {"emptied", &Rehearsal::emptied},
      {"reused", &Rehearsal::reused},
      {"release", &Rehearsal::release},
      {"vanish", &Rehearsal::vanish},
      {"slow", &Rehearsal::slow},
      {"liar", &Rehearsal::liar},
      {"silentBeats", &Rehearsal::silentBeats},
      {"purges", &Rehearsal::purges},
      {"storm", &Rehearsal::storm},
      {"races", &Rehearsal::races},
      {"growth", &Rehearsal::growth},
      {"impatient", &Rehearsal::impatient},
      {"rollouts", &Rehearsal::rollouts},
  };
  return list;
}

auto Rehearsal::names() -> std::vector<std::string> {
  std::vector<std::string> list;
  for (const auto& one : all())
    list.push_back(one.name);
  return list;
}

auto Rehearsal::run(const std::string& name, Props props) -> Verdict {
  auto it = std::find_if(all().begin(), all().end(), [&](const auto& one) { return one.name == name; });
  if (it == all().end()) return {.name = name, .faults = {"no such rehearsal"}};
  props.hasTenant = name == "rollouts";
  props.hasMishaps = it->hasMishaps;
  Rehearsal r(std::move(props));
  r.verdict_.name = name;
  r.verdict_.seed = r.props_.seed;
  r.configure();
  (r.*(it->cause))();
  for (auto& one : r.beside_) {
    auto text = one.get();
    if (text.starts_with("+"))
      r.verdict_.notes.push_back(text.substr(1));
    else
      r.verdict_.faults.push_back(text);
  }
  auto& v = r.verdict_;
  for (auto& fault : v.report.faults)
    v.faults.push_back(fault);
  if (v.healedAtMs >= 0) {
    v.backMs = v.report.backAfterMs(v.healedAtMs);
    if (v.backMs < 0 || v.backMs > 15000) v.faults.push_back("service was not back 15 s after the failure");
    v.during = v.report.share(v.faultAtMs, std::max(v.healedAtMs, v.faultAtMs + 1000));
  }
  return std::move(r.verdict_);
}

}  // namespace dykestage::sim
