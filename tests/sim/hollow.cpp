#include "sim/hollow.hpp"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <string>

#include "neighbour/post.hpp"

namespace dykestage::sim {

namespace {
constexpr size_t kNeighbours = 3;  // as the agent has it

auto pack(const auto& value) -> std::string {
  return Writer().put(value).take();
}

auto nameOf(int64_t place) -> std::string {
  auto number = std::to_string(place);
  return "edge-" + std::string(4 - std::min<size_t>(4, number.size()), '0') + number;
}
auto addressOf(int64_t place, int port) -> std::string {
  return "10." + std::to_string(100 + place / 250 % 100) + "." + std::to_string(place / 250) + "." +
         std::to_string(place % 250 + 1) + ":" + std::to_string(port);
}
auto siteOf(int64_t zone) -> std::string {
  return "zone-" + std::to_string(zone);
}

auto routeJson(int64_t place) -> std::string {
  auto p = std::to_string(place);
  return "\"route-" + p + "\":{\"host\":\"host-" + p + ".example\",\"prefix\":\"/objects/" + p +
         "/\",\"kind\":\"cacheable\",\"giveUpMs\":4000,\"targetMs\":500,\"rank\":1,\"shares\":[{\"pool\":\"pool-" +
         std::to_string(place % 20) + "\",\"weight\":1}],\"tries\":2,\"keepMs\":20000,\"source\":{}}";
}

auto announcement(int64_t place, uint64_t number) -> std::string {
  return "{\"instance\":\"upstream-" + std::to_string(place) + "\",\"service\":\"pool-" + std::to_string(place % 20) +
         "\",\"address\":\"" + addressOf(10000 + place, 8000) + "\",\"site\":\"" + siteOf(place % 38) +
         "\",\"capacity\":32,\"state\":\"working\",\"number\":" + std::to_string(number) + "}";
}

auto join(Tally& sum, const Tally& one) -> void {
  sum.lettersOut += one.lettersOut, sum.lettersIn += one.lettersIn, sum.bytesOut += one.bytesOut,
      sum.bytesIn += one.bytesIn;
  sum.loops += one.loops, sum.cpuNs += one.cpuNs;
}
auto raise(Tally& most, const Tally& one) -> void {
  most.lettersOut = std::max(most.lettersOut, one.lettersOut), most.lettersIn = std::max(most.lettersIn, one.lettersIn);
  most.bytesOut = std::max(most.bytesOut, one.bytesOut), most.bytesIn = std::max(most.bytesIn, one.bytesIn);
  most.loops = std::max(most.loops, one.loops), most.cpuNs = std::max(most.cpuNs, one.cpuNs);
}
auto share(Tally sum, uint64_t count) -> Tally {
  if (count == 0) return sum;
  sum.lettersOut /= count, sum.lettersIn /= count, sum.bytesOut /= count, sum.bytesIn /= count, sum.loops /= count,
      sum.cpuNs /= static_cast<int64_t>(count);
  return sum;
}
}  // namespace

auto threadNs() -> int64_t {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return t.tv_sec * 1'000'000'000 + t.tv_nsec;
}

auto wireBytes(size_t bytes) -> uint64_t {
  return bytes + 8 + 52 * ((bytes + 8 + 1399) / 1400);
}

auto hollowFrame(int64_t members, int64_t upstreams, int64_t routes, int64_t purges) -> core::Frame {
  core::Frame frame;
  for (int64_t i = 0; i < members; ++i)
    frame.members[nameOf(i)] = {"proxy", siteOf(i % 38), addressOf(i, 7000), addressOf(i, 7001), 1u << 30, 0};
  for (int64_t i = 0; i < upstreams; ++i) {
    core::Upstream u;
    u.service = "pool-" + std::to_string(i % 20), u.address = addressOf(10000 + i, 8000), u.site = siteOf(i % 38);
    frame.upstreams["upstream-" + std::to_string(i)] = u;
  }
  for (int64_t i = 0; i < 20 && routes > 0; ++i)
    frame.routing.pools["pool-" + std::to_string(i)] = {};
  for (int64_t i = 0; i < routes; ++i) {
    auto p = std::to_string(i);
    core::Route route;
    route.host = "host-" + p + ".example", route.prefix = "/objects/" + p + "/",
    route.shares = {{"pool-" + std::to_string(i % 20), 1}}, route.revision = 1;
    frame.routing.routes["route-" + p] = route;
  }
  for (int64_t i = 1; i <= purges; ++i)
    frame.purges.push_back({static_cast<uint64_t>(i), "host-1.example", "/objects/1/cover-" + std::to_string(i), ""});
  frame.revision = {1, static_cast<uint64_t>(purges), 1, 1};
  return frame;
}

struct Hollow::Core {
  std::string name;
  int64_t region = 0;
  std::unique_ptr<core::Registry> registry;
  std::vector<Input> letters;
  std::vector<caller::Request> requests;
  std::vector<uint64_t> synced;
  bool isWoken = false;
  int64_t dueMs = -1, syncedMs = 0;
  uint64_t jobs = 0, diskBytes = 0;
  Tally tally;
};

// An agent and the control thread of the proxy beside it; same loops as lib/program/agent.cpp and lib/agent/link.cpp.
struct Hollow::Node {
  std::string name;
  int64_t place = 0, region = 0, zone = 0, startedMs = 0;
  uint64_t life = 0, version = 0;  // version: of the routing in force
  bool isUp = false;
  core::Member member;
  std::unique_ptr<agent::Follower> agentFollows, proxyFollows;
  std::unique_ptr<agent::Giver> toProxy, toNeighbours;
  agent::Told agentTold, proxyTold;
  std::vector<Input> letters, loopback;
  std::vector<std::string> order;
  std::vector<std::pair<std::string, std::string>> neighbours;  // chosen anew when members change
  uint64_t neighboursAt = 0;
  std::map<std::string, int64_t> pongMs;
  int64_t proxyMs = -1, pingedMs = -1'000'000;
  bool isWoken = false, isProxyWoken = false, knowsAll = false, wasOld = false, isShifted = false;
  Tally tally, proxyTally;
  auto agentAt() const -> std::string { return "agent:" + name; }
};

Hollow::Hollow(Props props) : Timeline(props.seed), props_(props) {}
Hollow::~Hollow() = default;

// ---- the wire -----------------------------------------------------------------------------------------

// Regions lie on a line, 5 ms and 8 ms a step apart, one way: 85 ms between the ends of eleven. Assumed, not measured.
auto Hollow::delayMs(int64_t a, int64_t b) const -> int64_t {
  return a == b || !isSpread_ ? 1 : 5 + 8 * std::abs(a - b);
}
auto Hollow::isCut(int64_t a, int64_t b) const -> bool {
  return cutRegions_.count(a) != cutRegions_.count(b);
}

auto Hollow::post(Tally& tally, int64_t region, const std::string& from, const std::string& to, uint8_t kind,
                  std::string body) -> bool {
  auto bytes = wireBytes(Writer().put(neighbour::kWireVersion).put(neighbour::Letter{kind, from, body}).take().size());
  auto name = to.substr(to.find(':') + 1);
  auto core = cores_.find(name);
  auto node = nodes_.find(name);
  if (core == cores_.end() && (node == nodes_.end() || !node->second->isUp)) {
    ++figures_.lettersLost;
    return false;
  }
  ++tally.lettersOut;
  tally.bytesOut += bytes;
  auto there = core != cores_.end() ? core->second->region : node->second->region;
  auto life = core != cores_.end() ? 0 : node->second->life;
  // Nodes that joined together would ask in step for ever; those of a real fleet do not.
  auto shiftMs = int64_t{0};
  if (core != cores_.end() && kind == neighbour::kPoll && isSpread_)
    if (auto& asker = *nodes_.at(from.substr(from.find(':') + 1)); !std::exchange(asker.isShifted, true))
      shiftMs = pick(0, props_.boundMs / 14);
  at(nowMs_ + shiftMs + delayMs(region, there),
     [this, region, there, name, life, bytes, input = Input{from, kind, std::move(body)}]() mutable {
       if (isCut(region, there)) {
         ++figures_.lettersLost;
         return;
       }
       if (auto core = cores_.find(name); core != cores_.end()) {
         ++core->second->tally.lettersIn;
         core->second->tally.bytesIn += bytes;
         core->second->letters.push_back(std::move(input));
         return wake(*core->second);
       }
       auto& node = *nodes_.at(name);
       if (!node.isUp || node.life != life) return;
       ++node.tally.lettersIn;
       node.tally.bytesIn += bytes;
       node.letters.push_back(std::move(input));
       wake(node, false);
     });
  return true;
}

// ---- registries ---------------------------------------------------------------------------------------

auto Hollow::wake(Core& core) -> void {
  if (std::exchange(core.isWoken, true)) return;
  at(nowMs_, [this, &core] { loop(core); });
}

// One wake-up takes all that has come, as the real loop does.
auto Hollow::loop(Core& core) -> void {
  core.isWoken = false;
  auto letters = std::exchange(core.letters, {});
  auto requests = std::exchange(core.requests, {});
  auto synced = std::exchange(core.synced, {});
  auto sinceNs = threadNs();
  for (auto& l : letters)
    core.registry->take(l.from, l.kind, l.body, nowMs_);
  for (auto& r : requests)
    core.registry->take(r, nowMs_);
  for (auto number : synced)
    core.registry->synced(number, 0.1, 1000, nowMs_);
  core.registry->tick(nowMs_);
  auto out = core.registry->output();
  core.tally.cpuNs += threadNs() - sinceNs;
  ++core.tally.loops;
  // Jobs that wait together are synced together; a sync takes 2 ms.
  if (!out.jobs.empty()) {
    auto doneMs = std::max(core.syncedMs, nowMs_ + 2);
    if (doneMs != core.syncedMs) ++core.jobs;
    core.syncedMs = doneMs;
    for (auto& job : out.jobs) {
      for (const auto& w : job.writes)
        core.diskBytes += w.size();
      core.diskBytes += job.frame.size();
    }
    at(doneMs, [this, &core, number = out.jobs.back().number] {
      core.synced.push_back(number);
      wake(core);
    });
  }
  for (auto& l : out.letters) {
    auto before = core.tally.bytesOut;
    post(core.tally, core.region, "core:" + core.name, l.to, l.kind, std::move(l.body));
    auto& [count, bytes] = figures_.registryOut[l.kind];
    ++count, bytes += core.tally.bytesOut - before;
  }
  for (auto& a : out.answers) {
    auto page = pages_.extract(a.stream.get());
    if (page) page.mapped()(a.answer);
  }
  auto dueMs = std::clamp(core.registry->dueMs(), nowMs_ + 1, nowMs_ + props_.boundMs / 8);
  if (core.dueMs > nowMs_ && core.dueMs <= dueMs) return;
  core.dueMs = dueMs;
  at(dueMs, [this, &core, dueMs] {
    if (core.dueMs == dueMs) wake(core);
  });
}

auto Hollow::anyCore() -> Core& {
  return *coreList_[static_cast<size_t>(pick(0, static_cast<int64_t>(coreList_.size()) - 1))];
}

auto Hollow::http(Core& core, const std::string& target, const std::string& body,
                  std::function<void(const caller::Answer&)> then) -> void {
  caller::Request request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  request.stream = std::make_shared<caller::Stream>(-1);
  pages_[request.stream.get()] = [stream = request.stream, then = std::move(then)](const caller::Answer& a) {
    then(a);
  };
  core.requests.push_back(std::move(request));
  wake(core);
}

// ---- data nodes ---------------------------------------------------------------------------------------

auto Hollow::start(Node& node) -> void {
  node.isUp = true;
  node.startedMs = nowMs_;
  ++alive_;
  node.life = nextLife_++;
  node.member = {"proxy", siteOf(node.zone), addressOf(node.place, 7000), "", node.life, 0};
  node.agentFollows = std::make_unique<agent::Follower>(node.name, props_.boundMs / 5, nextLife_ * 100000);
  node.proxyFollows = std::make_unique<agent::Follower>(node.name, props_.boundMs / 5, nextLife_ * 100000 + 50000);
  node.proxyFollows->be(node.member);
  node.toProxy = std::make_unique<agent::Giver>(props_.boundMs / 10);
  node.toNeighbours = std::make_unique<agent::Giver>(props_.boundMs / 10);
  node.agentTold = node.proxyTold = {};
  node.letters.clear(), node.loopback.clear(), node.neighbours.clear(), node.pongMs.clear();
  node.neighboursAt = node.version = 0, node.proxyMs = -1, node.pingedMs = -1'000'000, node.knowsAll = false,
  node.wasOld = false;
  std::vector<std::string> seeds;
  for (const auto* core : coreList_)
    seeds.push_back("core:" + core->name);
  node.order = neighbour::rendezvous(node.name, seeds);
  // The loops come round at least each 1/40 of the bound.
  auto again = std::make_shared<std::function<void()>>();
  *again = [this, &node, life = node.life, weak = std::weak_ptr(again)] {
    if (!node.isUp || node.life != life) return;
    wake(node, true);
    wake(node, false);
    if (auto self = weak.lock()) at(nowMs_ + props_.boundMs / 40, [self] { (*self)(); });
  };
  at(nowMs_ + (isSpread_ ? 0 : pick(0, props_.joinMs)), [again] { (*again)(); });
}

auto Hollow::stop(Node& node) -> void {
  if (!std::exchange(node.isUp, false)) return;
  --alive_;
}

auto Hollow::wake(Node& node, bool isProxy) -> void {
  if (std::exchange(isProxy ? node.isProxyWoken : node.isWoken, true)) return;
  at(nowMs_, [this, &node, isProxy] {
    (isProxy ? node.isProxyWoken : node.isWoken) = false;
    if (node.isUp) isProxy ? proxyLoop(node) : agentLoop(node);
  });
}

auto Hollow::agentLoop(Node& node) -> void {
  auto letters = std::exchange(node.letters, {});
  struct Out {
    std::string to;
    uint8_t kind;
    std::string body;
  };
  std::vector<Out> outer, inner;
  auto hadMembers = node.agentFollows->held().frame->revision.members;
  auto sinceNs = threadNs();
  for (auto& l : letters) {
    Reader r(l.body);
    if (l.kind == neighbour::kFeed) {
      auto feed = r.get<neighbour::Feed>();
      if (r.done()) node.agentFollows->take(feed, nowMs_);
    } else if (l.kind == neighbour::kPing) {
      outer.push_back({l.from, neighbour::kPong, ""});
    } else if (l.kind == neighbour::kPong) {
      node.pongMs[l.from] = nowMs_;
    } else if (l.kind == neighbour::kPoll) {
      auto poll = r.get<neighbour::Poll>();
      if (poll.isNeighbour) {
        node.toNeighbours->take(l.from, std::move(poll), nowMs_);
        continue;
      }
      poll.member.agent = node.agentAt();
      node.agentTold.revision = poll.revision;
      node.proxyMs = nowMs_;
      node.agentFollows->be(poll.member);
      node.toProxy->take(l.from, std::move(poll), nowMs_);
    }
  }
  const auto& held = node.agentFollows->held();
  for (auto& [to, feed] : node.toProxy->give(*held.frame, held.asOfMs, nowMs_))
    inner.push_back({to, neighbour::kFeed, pack(feed)});
  for (auto& [to, feed] : node.toNeighbours->give(*held.frame, held.asOfMs, nowMs_))
    outer.push_back({to, neighbour::kFeed, pack(feed)});
  if (node.proxyMs >= 0 && nowMs_ - node.proxyMs < props_.boundMs) {
    if (node.neighboursAt != held.frame->revision.members) {
      // A real agent does this at each wake-up; here it is done, and timed, when it can come out otherwise.
      node.neighboursAt = held.frame->revision.members;
      auto chooseNs = threadNs();
      std::vector<std::string> names;
      for (const auto& [other, member] : held.frame->members)
        if (other != node.name && !member.agent.empty()) names.push_back(other);
      auto chosen = neighbour::rendezvous(node.name, names);
      if (chosen.size() > kNeighbours) chosen.resize(kNeighbours);
      node.neighbours.clear();
      for (const auto& other : chosen)
        node.neighbours.emplace_back(other, held.frame->members.at(other).agent);
      auto tookNs = threadNs() - chooseNs;
      sinceNs += tookNs;
      neighboursNs_ = tookNs;
    }
    auto targets = node.order;
    for (auto& [other, at] : node.neighbours)
      targets.push_back(at);
    if (nowMs_ - node.pingedMs >= props_.boundMs / 4) {
      node.pingedMs = nowMs_;
      std::map<std::string, int64_t> watched;
      node.agentTold.silent.clear();
      for (auto& [other, at] : node.neighbours) {
        auto seen = node.pongMs.find(at);
        watched[at] = seen == node.pongMs.end() ? nowMs_ : seen->second;
        if (nowMs_ - watched[at] > props_.boundMs && held.isCurrent(nowMs_, props_.boundMs / 2))
          node.agentTold.silent.push_back(other);
        outer.push_back({at, neighbour::kPing, ""});
      }
      node.pongMs = std::move(watched);
    }
    if (auto poll = node.agentFollows->tick(targets, node.order.size(), node.agentTold, nowMs_)) {
      poll->second.isNeighbour = std::find(node.order.begin(), node.order.end(), poll->first) == node.order.end();
      outer.push_back({poll->first, neighbour::kPoll, pack(poll->second)});
    }
  }
  node.tally.cpuNs += threadNs() - sinceNs;
  ++node.tally.loops;
  for (auto& l : inner) {
    node.loopback.push_back({node.agentAt(), l.kind, std::move(l.body)});
    wake(node, true);
  }
  for (auto& l : outer)
    if (!post(node.tally, node.region, node.agentAt(), l.to, l.kind, std::move(l.body)) && l.kind == neighbour::kPoll)
      node.agentFollows->lost(nowMs_);
  // Who is listed is right once it is as many as live.
  const auto& frame = *node.agentFollows->held().frame;
  if (frame.revision.members != hadMembers || !node.knowsAll) {
    auto knows = static_cast<int64_t>(frame.members.size()) == alive_;
    if (knows && !node.knowsAll) {
      if (lossMs_ >= 0) figures_.membersSeenMs = std::max(figures_.membersSeenMs, nowMs_ - lossMs_);
    }
    node.knowsAll = knows;
  }
}

auto Hollow::proxyLoop(Node& node) -> void {
  auto letters = std::exchange(node.loopback, {});
  auto before = node.proxyFollows->held().frame->revision;
  auto sinceNs = threadNs();
  for (auto& l : letters) {
    Reader r(l.body);
    auto feed = r.get<neighbour::Feed>();
    if (r.done() && node.proxyFollows->take(feed, nowMs_))
      node.proxyTold.revision = node.proxyFollows->held().frame->revision;
  }
  std::string body;
  if (auto poll = node.proxyFollows->tick({node.agentAt()}, 1, node.proxyTold, nowMs_)) body = pack(poll->second);
  node.proxyTally.cpuNs += threadNs() - sinceNs;
  ++node.proxyTally.loops;
  if (!body.empty()) {
    ++node.proxyTally.lettersOut;
    node.proxyTally.bytesOut += body.size();
    node.letters.push_back({"proxy:" + node.name, neighbour::kPoll, std::move(body)});
    wake(node, false);
  }
  took(node, before);
}

// A node acts on something new from now on: changes that it was up for reach it now.
auto Hollow::took(Node& node, const core::Revision& before) -> void {
  const auto& frame = *node.proxyFollows->held().frame;
  if (isCut(node.region, 0)) return;
  for (auto it = purges_.upper_bound(before.purges); it != purges_.end() && it->first <= frame.revision.purges; ++it)
    if (node.startedMs < it->second.sentMs || it->second.sentMs < 0) it->second.lastMs = nowMs_;
  auto had = std::exchange(node.version, frame.routing.version);
  for (auto it = changes_.upper_bound(had); it != changes_.end() && it->first <= frame.routing.version; ++it)
    if (node.startedMs < it->second.sentMs) it->second.lastMs = nowMs_;
}

// ---- what happens -------------------------------------------------------------------------------------

auto Hollow::beat(int64_t place) -> void {
  http(*coreList_[static_cast<size_t>(place) % coreList_.size()], "/announce",
       announcement(place, static_cast<uint64_t>(nowMs_) + 1), [](const caller::Answer&) {});
  at(nowMs_ + 500, [this, place] { beat(place); });
}

// Purges are numbered in their order; the answer tells the number. Until then a node may have it already.
auto Hollow::purge() -> void {
  auto sentMs = nowMs_;
  auto number = nextPurge_++;
  auto label = "object-" + std::to_string(random_() % 1'500'000'000ull);
  auto body = "{\"host\":\"host-" + std::to_string(number % 20) + ".example\",\"path\":\"/objects/" +
              std::to_string(number % 20) + "/" + label + "\"}";
  ++figures_.purges.sent;
  http(anyCore(), "/purge", body, [this, sentMs](const caller::Answer& a) {
    auto found = a.body.find("\"purge\":");
    if (a.status != 200 || found == std::string::npos) return;
    auto& change = purges_[std::strtoull(a.body.substr(found + 8).c_str(), nullptr, 10)];
    change.sentMs = sentMs;
    change.ackMs = nowMs_;
  });
  // Numbers are listed ahead so that the nodes' taking of them is noted.
  purges_.try_emplace(++ordered_);
  at(nowMs_ + std::max<int64_t>(1, static_cast<int64_t>(1000 / props_.purgesPerS)), [this] { purge(); });
}

auto Hollow::change() -> void {
  auto version = ++version_;
  auto place = static_cast<int64_t>(version) % std::max<int64_t>(1, props_.routes);
  auto route = routeJson(place);
  route.replace(route.find("\"rank\":1"), 8, "\"rank\":" + std::to_string(2 + version % 7));
  auto body = "{\"version\":" + std::to_string(version) + ",\"base\":" + std::to_string(version - 1) +
              ",\"whole\":false,\"routes\":{" + route + "}}";
  changes_[version].sentMs = nowMs_;
  ++figures_.changes.sent;
  http(anyCore(), "/routing", body, [this, version](const caller::Answer& a) {
    if (a.status == 200) changes_[version].ackMs = nowMs_;
  });
  at(nowMs_ + std::max<int64_t>(1, static_cast<int64_t>(1000 / props_.changesPerS)), [this] { change(); });
}

auto Hollow::restart() -> void {
  auto& node = *nodeList_[static_cast<size_t>(pick(0, props_.nodes - 1))];
  if (node.isUp) {
    stop(node);
    at(nowMs_ + 1000, [this, &node] {
      start(node);
      lossMs_ = nowMs_;
      figures_.membersSeenMs = -1;
    });
  }
  at(nowMs_ + std::max<int64_t>(1, static_cast<int64_t>(1000 / props_.restartsPerS)), [this] { restart(); });
}

auto Hollow::begin() -> void {
  beginMs_ = nowMs_;
  for (auto* core : coreList_)
    core->tally = {}, core->jobs = core->diskBytes = 0;
  for (auto* node : nodeList_)
    node->tally = node->proxyTally = {};
  figures_.registryOut.clear();
  figures_.lettersLost = 0;
  auto first = [&](double perS) { return nowMs_ + pick(1, std::max<int64_t>(1, static_cast<int64_t>(1000 / perS))); };
  if (props_.purgesPerS > 0) at(first(props_.purgesPerS), [this] { purge(); });
  if (props_.changesPerS > 0) at(first(props_.changesPerS), [this] { change(); });
  if (props_.restartsPerS > 0) at(first(props_.restartsPerS), [this] { restart(); });
  if (props_.losesZone) {
    lossMs_ = nowMs_;
    for (auto* node : nodeList_)
      if (node->zone == 1) stop(*node);
    for (auto* node : nodeList_)
      node->knowsAll = false;
  }
  // Two regions, one of them with a registry.
  if (props_.cutsRegions) cutRegions_ = {props_.regions - 3, props_.regions - 2};
  at(nowMs_ + props_.spanMs / 2, [this] { look(); });
}

auto Hollow::look() -> void {
  for (auto* node : nodeList_)
    if (node->isUp && !node->proxyFollows->held().isCurrent(nowMs_, props_.boundMs * 3 / 4)) node->wasOld = true;
  at(nowMs_ + 50, [this] { look(); });
}

auto Hollow::reach(const std::map<uint64_t, Change>& list) const -> Reach {
  Reach reach;
  std::vector<int64_t> last, ack;
  for (const auto& [number, change] : list) {
    if (change.ackMs < 0 || change.sentMs < 0) continue;
    ack.push_back(change.ackMs - change.sentMs);
    if (change.lastMs >= 0) last.push_back(change.lastMs - change.sentMs);
  }
  std::sort(last.begin(), last.end());
  std::sort(ack.begin(), ack.end());
  reach.acknowledged = ack.size();
  if (!last.empty()) reach.lastP50Ms = last[last.size() / 2], reach.lastMaxMs = last.back();
  if (!ack.empty()) reach.ackP50Ms = ack[ack.size() / 2], reach.ackMaxMs = ack.back();
  return reach;
}

auto Hollow::end() -> void {
  auto& f = figures_;
  f.nodes = props_.nodes;
  f.spanMs = nowMs_ - beginMs_;
  uint64_t up = 0;
  for (auto* node : nodeList_) {
    if (!node->isUp) continue;
    ++up;
    join(f.agentMean, node->tally);
    raise(f.agentMost, node->tally);
    join(f.proxyMean, node->proxyTally);
    if (node->wasOld) ++f.notCurrent;
    if (node->proxyFollows->held().isCurrent(nowMs_, props_.boundMs * 3 / 4)) ++f.current;
    if (node->agentFollows->target().rfind("agent:", 0) == 0) ++f.followNeighbours;
  }
  f.agentMean = share(f.agentMean, up);
  f.proxyMean = share(f.proxyMean, up);
  for (auto* core : coreList_) {
    join(f.registryMean, core->tally);
    raise(f.registryMost, core->tally);
    f.syncsPerS += static_cast<double>(core->jobs) * 1000 / static_cast<double>(f.spanMs * props_.registries);
    f.diskBytesPerS += static_cast<double>(core->diskBytes) * 1000 / static_cast<double>(f.spanMs * props_.registries);
  }
  f.registryMean = share(f.registryMean, static_cast<uint64_t>(props_.registries));
  f.neighboursUs = static_cast<double>(neighboursNs_) / 1000;
  auto sent = std::pair{f.purges.sent, f.changes.sent};
  f.purges = reach(purges_);
  f.changes = reach(changes_);
  f.purges.sent = sent.first, f.changes.sent = sent.second;
}

auto Hollow::run() -> HollowFigures {
  for (int64_t i = 0; i < props_.registries; ++i) {
    auto core = std::make_unique<Core>();
    core->name = "r" + std::to_string(i + 1);
    core->region = i * props_.regions / props_.registries;
    coreList_.push_back(core.get());
    cores_[core->name] = std::move(core);
  }
  for (int64_t i = 0; i < props_.registries; ++i) {
    core::Registry::Props props;
    props.slot = static_cast<tempo::Slot>(i + 1);
    for (int64_t j = 0; j < props_.registries; ++j)
      props.addresses[static_cast<tempo::Slot>(j + 1)] = "core:" + coreList_[static_cast<size_t>(j)]->name;
    // As the registry's program sets them, from the bound.
    auto boundMs = props_.boundMs;
    props.boundMs = boundMs;
    props.staleMs = boundMs * 3 / 4;
    props.tickMs = boundMs / 8;
    props.holdMs = boundMs / 10;
    props.beatMissMs = boundMs * 3 / 2;
    props.memberMissMs = boundMs * 5 / 2;
    props.servesStale = true;
    props.core.idleMs = boundMs / 20;
    props.core.suspectMs = boundMs / 8;
    if (props_.regions > 1) {  // settings for far replicas: longer than the way there and back
      props.core.slowMs = 250;
      props.core.askMs = 250;
      props.core.recoveryMs = 1000;
    }
    props.core.replicas = static_cast<uint32_t>(props_.registries);
    props.core.faults = static_cast<uint32_t>(props_.faults);
    coreList_[static_cast<size_t>(i)]->registry =
        std::make_unique<core::Registry>(props, "", std::vector<std::string>{}, nextLife_++);
    wake(*coreList_[static_cast<size_t>(i)]);
  }
  for (int64_t i = 0; i < props_.nodes; ++i) {
    auto node = std::make_unique<Node>();
    node->name = nameOf(i);
    node->place = i;
    node->zone = i % props_.zones;
    node->region = node->zone * props_.regions / props_.zones;
    nodeList_.push_back(node.get());
    nodes_[node->name] = std::move(node);
  }
  auto always = [] { return true; };
  auto isFormed = [&] {
    return std::all_of(coreList_.begin(), coreList_.end(), [&](auto* core) { return core->registry->isReady(nowMs_); });
  };
  pass(60000, [&] { return !isFormed(); });
  // The first routing, then all nodes at once.
  std::string pools, routes;
  for (int64_t i = 0; i < 20; ++i)
    pools += (i ? ",\"pool-" : "\"pool-") + std::to_string(i) + "\":{\"source\":{}}";
  for (int64_t i = 0; i < props_.routes; ++i)
    routes += (i ? "," : "") + routeJson(i);
  at(nowMs_ + 1,
     [this, body = "{\"version\":1,\"base\":0,\"whole\":true,\"routes\":{" + routes + "},\"pools\":{" + pools +
                   "},\"limits\":{}}"] { http(*coreList_.front(), "/routing", body, [](const caller::Answer&) {}); });
  for (int64_t i = 0; i < props_.upstreams; ++i)
    at(nowMs_ + 200 + i % 2, [this, i] { beat(i); });
  auto sinceMs = nowMs_ + 500;
  at(sinceMs, [this] {
    for (auto* node : nodeList_)
      start(*node);
  });
  auto knowAll = [&] {
    return alive_ == props_.nodes &&
           std::all_of(nodeList_.begin(), nodeList_.end(), [](auto* n) { return n->knowsAll; });
  };
  for (auto untilMs = nowMs_ + 100; !knowAll() && untilMs < sinceMs + 60000; untilMs += 100)
    pass(untilMs, always);
  if (!knowAll()) return figures_;
  figures_.formMs = nowMs_ - sinceMs;
  for (auto* node : nodeList_)
    join(figures_.formAgent, node->tally);
  figures_.formAgent = share(figures_.formAgent, static_cast<uint64_t>(props_.nodes));
  for (auto* core : coreList_)
    join(figures_.formRegistry, core->tally);
  figures_.formRegistry = share(figures_.formRegistry, static_cast<uint64_t>(props_.registries));
  isSpread_ = true;
  pass(nowMs_ + props_.settleMs, always);
  at(nowMs_, [this] { begin(); });
  pass(nowMs_ + props_.spanMs, always);
  end();
  return figures_;
}

}  // namespace dykestage::sim
