#include "upstream/shield.hpp"

#include <algorithm>
#include <cstdlib>

#include "caller/codes.hpp"
#include "neighbour/post.hpp"

namespace dykestage::upstream {

using namespace caller;
using neighbour::Ask;
using neighbour::Reply;

namespace {
constexpr uint64_t kProbeBit = 1ull << 63;
constexpr int64_t kLeastMs = 20;  // less time than this is not worth a try
}  // namespace

auto Shield::edges() const -> std::vector<std::string> {
  std::vector<std::string> list;
  for (const auto& [name, member] : held_.frame->members)
    if (member.kind == "edge") list.push_back(member.address);
  return list;
}

auto Shield::shields() const -> std::vector<std::string> {
  std::vector<std::string> list;
  for (const auto& [name, member] : held_.frame->members)
    if (member.kind == "shield" && name != props_.name) list.push_back(member.address);
  return list;
}

auto Shield::budget(const std::string& service) -> policy::TryBudget& {
  auto& budget = budgets_.try_emplace(service, 0.0, 0.0).first->second;
  auto it = held_.frame->services.find(service);
  if (it == held_.frame->services.end()) return budget;
  auto shields = std::count_if(held_.frame->members.begin(), held_.frame->members.end(), [](const auto& m) { return m.second.kind == "shield"; });
  budget.set(static_cast<double>(it->second.triesPercent) / 100 * props_.triesPart,
             static_cast<double>(it->second.triesAllowance) * props_.triesPart / static_cast<double>(std::max<int64_t>(1, shields)));
  return budget;
}

auto Shield::refuse(const std::string& from, uint64_t id, uint32_t code) -> void {
  ++figures_.turnedAway;
  Reply reply;
  reply.id = id;
  reply.code = code;
  out_.replies.push_back({from, std::move(reply)});
}

auto Shield::take(const std::string& from, Ask ask, int64_t nowMs) -> void {
  ++figures_.asks;
  auto id = ask.id;
  if (!held_.isCurrent(nowMs, props_.staleMs)) return refuse(from, id, kNotCurrent);
  if (isEmptying_) return refuse(from, id, kEmptying);
  auto service = held_.frame->services.find(ask.service);
  if (service == held_.frame->services.end()) return refuse(from, id, kNoService);
  // Before the other shields have made room, a new one has no part in any origin's rate.
  auto isLimited = service->second.originRate > 0 || std::any_of(service->second.next.begin(), service->second.next.end(), [](const auto& s) { return s.originRate > 0; });
  if (isLimited && !split_.isSettled(nowMs)) return refuse(from, id, kNotCurrent);
  if (ask.remainingMs <= kLeastMs) return refuse(from, id, kDeadline);
  if (!ask.isExtra) budget(ask.service).asked(nowMs);
  Waiting w;
  w.from = from;
  w.startMs = nowMs;
  w.untilMs = nowMs + ask.remainingMs;
  w.isWrite = isWrite(ask.method);
  if (ask.isShared) {
    const auto* copy = cache_.get(ask.service, ask.target, ask.headers, nowMs);
    if (copy && nowMs - copy->bornMs < ask.keepMs) {
      ++figures_.hits;
      Reply reply;
      reply.id = id;
      reply.status = static_cast<uint32_t>(copy->status);
      reply.headers = copy->headers;
      reply.body = copy->body;
      reply.ageMs = nowMs - copy->bornMs;
      reply.keepMs = copy->keepMs;
      reply.purges = copy->purges;
      out_.replies.push_back({from, std::move(reply)});
      return;
    }
    w.joinKey = ask.service + "\n" + ask.target;
  }
  if (w.isWrite && !ask.key.empty()) w.memoryKey = ask.service + "\n" + ask.key;
  auto joinKey = w.joinKey, memoryKey = w.memoryKey;
  auto print = neighbour::hash(ask.method + "\n" + ask.target + "\n" + ask.body);
  if (!memoryKey.empty()) {
    if (!remembers(nowMs)) return refuse(from, id, kNotCurrent);
    auto it = memory_.find(memoryKey);
    if (it != memory_.end()) {
      if (it->second.print != print) return refuse(from, id, kKeyReused);
      if (it->second.isDone) {
        auto reply = it->second.reply;
        reply.id = id;
        out_.replies.push_back({from, std::move(reply)});
        return;
      }
      if (it->second.running == 0) {  // another shield was about to run it, and has not said how it ended
        Reply reply;
        reply.id = id;
        reply.code = kUnknown;
        reply.isUntouched = false;
        out_.replies.push_back({from, std::move(reply)});
        return;
      }
    } else if (memory_.size() >= props_.keys) {
      return refuse(from, id, kShieldFull);  // what is remembered is never pushed out early
    }
  }
  w.ask = std::move(ask);
  auto place = waiting_.add(std::move(w));
  if (!place) return refuse(from, id, kShieldFull);
  auto join = [&](uint64_t leader) {
    auto* l = waiting_.get(leader);
    if (!l) return false;
    ++figures_.joins;
    l->followers.push_back(*place);
    return true;
  };
  if (!memoryKey.empty()) {
    auto [it, isFirst] = memory_.try_emplace(memoryKey, Memory{print, *place, false, {}, nowMs});
    if (!isFirst && join(it->second.running)) return;
    it->second.running = *place;
    if (isFirst) memoryOrder_.emplace_back(nowMs, memoryKey);
    return findWitness(*place, nowMs);
  }
  if (!joinKey.empty()) {
    auto [it, isFirst] = joins_.try_emplace(joinKey, *place);
    if (!isFirst) {
      // A fetch that began before a purge of the object is not joined.
      auto* leader = waiting_.get(it->second);
      auto isOld = leader && cache_.purges() > leader->purges;
      if (leader && !isOld && join(it->second)) return;
      it->second = *place;
    }
  }
  dispatch(*place, false, nowMs);
}

// Before a write with a key leaves, the shield that a repeated one would come to next is told. While there are
// other shields and none of them answers, the write does not leave.
auto Shield::findWitness(uint64_t id, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  std::vector<std::string> names;
  for (const auto& [name, member] : held_.frame->members)
    if (member.kind == "shield" && name != props_.name && !w.witnessTried.count(name)) names.push_back(name);
  if (names.empty()) {
    w.witnessMs = -1;
    return w.witnessTried.empty() ? dispatch(id, false, nowMs) : giveUp(id, kNoWitness, nowMs);
  }
  auto name = neighbour::rendezvous(w.ask.service + "\n" + w.ask.key, names).front();
  w.witness = held_.frame->members.at(name).address;
  w.witnessTried[name] = w.witness;
  w.witnessMs = nowMs;
  neighbour::Witness witness{id, w.memoryKey, memory_.at(w.memoryKey).print, std::nullopt};
  out_.letters.push_back({w.witness, neighbour::kWitness, Writer().put(witness).take()});
}

// A shield that has just started takes no part in keys before the others have told theirs, or before the bound has
// passed without them.
auto Shield::remembers(int64_t nowMs) const -> bool {
  if (split_.isSettled(nowMs)) return true;
  auto others = shields();
  return std::all_of(others.begin(), others.end(), [&](const auto& at) { return toldKeys_.count(at) != 0; });
}

auto Shield::takeMemoryAsk(const std::string& from) -> void {
  neighbour::Keys keys;
  for (const auto& [key, memory] : memory_) keys.keys.emplace_back(key, memory.print);
  out_.letters.push_back({from, neighbour::kMemory, Writer().put(keys).take()});
}

auto Shield::takeMemory(const std::string& from, const neighbour::Keys& told, int64_t nowMs) -> void {
  toldKeys_.insert(from);
  for (const auto& [key, print] : told.keys)
    if (memory_.try_emplace(key, Memory{print, 0, false, {}, nowMs}).second) memoryOrder_.emplace_back(nowMs, key);
}

auto Shield::takeWitness(const std::string& from, const neighbour::Witness& told, int64_t nowMs) -> void {
  if (!told.outcome && !remembers(nowMs)) return;  // the asker finds another witness
  auto [it, isNew] = memory_.try_emplace(told.key, Memory{told.print, 0, false, {}, nowMs});
  auto& memory = it->second;
  if (isNew) memoryOrder_.emplace_back(nowMs, told.key);
  if (told.outcome) {
    if (memory.running != 0 || memory.isDone) return;
    // What surely did not run is free again.
    if (told.outcome->code != kOk && told.outcome->isUntouched) {
      memory_.erase(it);
    } else {
      memory.isDone = true;
      memory.reply = *told.outcome;
    }
    return;
  }
  neighbour::Witnessed answer{told.nonce, !isNew, memory.print == told.print, std::nullopt};
  if (memory.isDone) answer.outcome = memory.reply;
  out_.letters.push_back({from, neighbour::kWitnessed, Writer().put(answer).take()});
}

auto Shield::takeWitnessed(const neighbour::Witnessed& answer, int64_t nowMs) -> void {
  auto* w = waiting_.get(answer.nonce);
  if (!w || w->witnessMs < 0) return;
  w->witnessMs = -1;
  if (!answer.isKnown) return dispatch(answer.nonce, false, nowMs);
  // Somebody has run this key, or is running it: it does not run here.
  Reply reply;
  if (!answer.isSame) {
    reply.code = kKeyReused;
  } else if (answer.outcome) {
    reply = *answer.outcome;
  } else {
    reply.code = kUnknown;
    reply.isUntouched = false;
  }
  w->witnessTried.clear();  // what is known there is not ours to change
  finish(answer.nonce, std::move(reply), nullptr, nowMs);
}

auto Shield::unwitnessed(const std::string& to, int64_t nowMs) -> void {
  for (auto id : waiting_.ids()) {
    auto* w = waiting_.get(id);
    if (w && w->witnessMs >= 0 && w->witness == to) findWitness(id, nowMs);
  }
}

auto Shield::dispatch(uint64_t id, bool isExtra, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  // What was held (in an inbox, or by a frozen process) is looked at again before anything leaves.
  if (!held_.isCurrent(nowMs, props_.staleMs)) return giveUp(id, kNotCurrent, nowMs);
  auto left = w.untilMs - nowMs;
  if (left <= kLeastMs) return giveUp(id, kDeadline, nowMs);
  auto service = held_.frame->services.find(w.ask.service);
  if (service == held_.frame->services.end()) return giveUp(id, kNoService, nowMs);
  std::map<std::string, core::Upstream> candidates;
  for (const auto& [name, upstream] : held_.frame->upstreams)
    if (upstream.service == w.ask.service && upstream.kind == w.ask.kind && !upstream.isEmptying && !upstream.isHeld)
      candidates.emplace(name, upstream);
  dice_ = dice_ * 6364136223846793005ull + 1442695040888963407ull;
  auto chosen = policy::place(candidates, health_, props_.site, w.tried, props_.easeMs, nowMs, dice_ >> 33);
  if (!chosen) return giveUp(id, kNoUpstream, nowMs);
  auto& rate = rates_[w.ask.service];
  // While a rollout runs, the lower of both revisions' rates holds for the origin.
  auto originRate = service->second.originRate;
  for (const auto& next : service->second.next)
    if (next.originRate > 0) originRate = originRate > 0 ? std::min(originRate, next.originRate) : next.originRate;
  rate.set(static_cast<double>(originRate) / static_cast<double>(split_.count(nowMs)), nowMs);
  if (!rate.take(nowMs)) {
    ++figures_.rateTurnedAway;
    return giveUp(id, kOriginRate, nowMs);
  }
  const auto& upstream = candidates.at(*chosen);
  w.tried.insert(*chosen);
  w.instance = *chosen;
  w.fetchedMs = nowMs;
  w.purges = cache_.purges();
  w.isSent = true;
  ++w.tries;
  ++health_[*chosen].open;
  ++figures_.fetches;
  if (isExtra) {
    ++figures_.extras;
    budget(w.ask.service).tried(nowMs);
  }
  Fetch fetch;
  fetch.id = id;
  fetch.address = upstream.address;
  fetch.method = w.ask.method;
  fetch.target = w.ask.target;
  fetch.headers = w.ask.headers;
  fetch.headers.emplace_back("Dykestage-Service", w.ask.service);
  fetch.headers.emplace_back("Dykestage-Instance", *chosen);
  if (isExtra || w.ask.isExtra) fetch.headers.emplace_back("Dykestage-Extra", "1");
  fetch.body = w.ask.body;
  fetch.isWrite = w.isWrite;
  fetch.answerBytes = props_.answerBytes;
  // A read leaves time for one more try; a write has all there is.
  fetch.timeoutMs = w.isWrite || w.tries > 1 ? left - kLeastMs / 2 : left * 6 / 10;
  fetch.connectMs = std::max<int64_t>(kLeastMs, left / 4);
  out_.fetches.push_back(std::move(fetch));
}

auto Shield::judge(const std::string& instance, const Fetched& f, int64_t nowMs) -> void {
  auto it = health_.find(instance);
  if (it == health_.end()) return;
  auto& h = it->second;
  h.open = std::max(0, h.open - 1);
  if (f.fault == Fault::kNone && f.status != 421) {
    h.failures = 0;
    h.tookMs = 0.9 * h.tookMs + 0.1 * static_cast<double>(f.tookMs);
    auto load = header(f.headers, "dykestage-load");
    if (!load.empty()) h.load = std::clamp(std::atof(load.c_str()), 0.0, 100.0);
    return;
  }
  if (f.fault == Fault::kTimeout) h.tookMs = 0.7 * h.tookMs + 0.3 * static_cast<double>(f.tookMs);
  ++h.failures;
  if (h.failures >= 2 || f.isUntouched || f.status == 421) h.shunUntilMs = nowMs + std::min<int64_t>(props_.boundMs, 250LL << std::min(h.failures, 4));
}

auto Shield::takeFetched(const Fetched& f, int64_t nowMs) -> void {
  if (f.id & kProbeBit) {
    auto it = probing_.find(f.id);
    if (it == probing_.end()) return;
    auto isWell = f.fault == Fault::kNone && f.status == 200;
    probes_[it->second] = isWell;
    auto& h = health_.try_emplace(it->second, policy::Health{.sinceMs = nowMs}).first->second;
    if (!isWell) h.shunUntilMs = std::max(h.shunUntilMs, nowMs + props_.probeMs * 3 / 2);
    probing_.erase(it);
    return;
  }
  auto* w = waiting_.get(f.id);
  if (!w) return;
  judge(w->instance, f, nowMs);
  w->wasTouched = w->wasTouched || !f.isUntouched;
  w->isSent = false;
  if (f.fault == Fault::kNotSent) {
    // Nothing left for this upstream: another may be taken, for a write as well.
    if (w->tries < 4) return dispatch(f.id, false, nowMs);
    return giveUp(f.id, kNoUpstream, nowMs);
  }
  if (f.fault == Fault::kNone && f.status == 421) return retryOr(f.id, kMisdirected, nowMs);
  if (f.fault == Fault::kNone && !w->isWrite && f.status == 503 && w->tries < 2 && budget(w->ask.service).mayTry(nowMs))
    return dispatch(f.id, true, nowMs);
  if (f.fault != Fault::kNone) {
    auto code = f.fault == Fault::kTooLarge ? kAnswerTooLarge : f.fault == Fault::kNotWhole ? kNotWhole : f.fault == Fault::kTimeout ? kDeadline : kUpstreamLost;
    return retryOr(f.id, code, nowMs);
  }
  Reply reply;
  reply.status = static_cast<uint32_t>(f.status);
  reply.headers = endToEnd(f.headers);
  if (w->ask.method == "HEAD" || f.status == 304)
    for (const auto& [name, value] : f.headers)
      if (lower(name) == "content-length") reply.headers.emplace_back(name, value);
  reply.body = f.body;
  reply.isUntouched = false;
  reply.isFetched = true;
  reply.ageMs = nowMs - w->fetchedMs;
  reply.purges = w->purges;
  auto terms = policy::termsOf(f.status, f.headers, w->ask.keepMs);
  if (!w->ask.isShared || terms.keepMs <= 0) return finish(f.id, std::move(reply), nullptr, nowMs);
  reply.keepMs = terms.keepMs;
  policy::Copy copy{f.status, reply.headers, f.body, w->fetchedMs, terms.keepMs, w->purges, terms.vary};
  cache_.put(w->ask.service, w->ask.target, w->ask.headers, copy, terms.labels);
  finish(f.id, std::move(reply), &copy, nowMs);
}

auto Shield::retryOr(uint64_t id, uint32_t code, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  auto mayTry = !w.isWrite && w.tries < 3 && code != kAnswerTooLarge && w.untilMs - nowMs > kLeastMs && budget(w.ask.service).mayTry(nowMs);
  if (mayTry) return dispatch(id, true, nowMs);
  giveUp(id, code, nowMs);
}

auto Shield::giveUp(uint64_t id, uint32_t code, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  if (w.isWrite && w.wasTouched && code != kNotWhole && code != kAnswerTooLarge && code != kMisdirected) code = kUnknown;
  if (code == kUnknown)
    ++figures_.unknown;
  else
    ++figures_.turnedAway;
  Reply reply;
  reply.code = code;
  reply.isUntouched = !w.wasTouched;
  finish(id, std::move(reply), nullptr, nowMs);
}

auto Shield::finish(uint64_t id, Reply reply, const policy::Copy* copy, int64_t nowMs) -> void {
  auto w = waiting_.take(id);
  if (auto it = joins_.find(w->joinKey); it != joins_.end() && it->second == id) joins_.erase(it);
  auto isKeyed = !w->memoryKey.empty();
  if (isKeyed) {
    auto it = memory_.find(w->memoryKey);
    if (it != memory_.end() && it->second.running == id) {
      // What surely did not run may be tried again under the same key.
      if (reply.code != kOk && reply.isUntouched) {
        memory_.erase(it);
      } else {
        it->second.isDone = true;
        it->second.reply = reply;
      }
      for (const auto& [name, address] : w->witnessTried)
        out_.letters.push_back({address, neighbour::kWitness, Writer().put(neighbour::Witness{id, w->memoryKey, 0, reply}).take()});
    }
  }
  auto own = copy ? policy::variantOf(copy->vary, w->ask.headers) : std::string();
  for (auto follower : w->followers) {
    auto* f = waiting_.get(follower);
    if (!f) continue;
    if (isKeyed || reply.code != kOk || (copy && policy::variantOf(copy->vary, f->ask.headers) == own && nowMs - copy->bornMs < copy->keepMs)) {
      auto taken = waiting_.take(follower);
      auto shared = reply;
      shared.isFetched = false;  // one fetch, however many joined it
      this->reply(*taken, shared, nowMs);
    } else {
      f->joinKey.clear();
      dispatch(follower, false, nowMs);
    }
  }
  this->reply(*w, std::move(reply), nowMs);
}

auto Shield::reply(const Waiting& w, Reply reply, int64_t nowMs) -> void {
  reply.id = w.ask.id;
  reply.heldMs = nowMs - w.startMs;
  out_.replies.push_back({w.from, std::move(reply)});
}

auto Shield::takeFrame(const HeldFrame& held, int64_t nowMs) -> void {
  auto before = held_.frame;
  held_ = held;
  if (before == held_.frame) return;
  cache_.purge(held_.frame->purges, held_.frame->revision.purges, held_.frame->purgeFloor);
  auto shields = std::count_if(held_.frame->members.begin(), held_.frame->members.end(), [](const auto& m) { return m.second.kind == "shield"; });
  if (held_.frame->members.count(props_.name)) split_.set(static_cast<size_t>(shields), nowMs);
  // Streams to an address that no longer is what it was are ended while idle.
  for (const auto& [name, upstream] : before->upstreams) {
    auto it = held_.frame->upstreams.find(name);
    if (it == held_.frame->upstreams.end() || it->second.address != upstream.address || it->second.service != upstream.service) {
      out_.drops.push_back(upstream.address);
      health_.erase(name);
      probes_.erase(name);
    }
  }
}

auto Shield::probe() -> void {
  for (const auto& [name, upstream] : held_.frame->upstreams) {
    if (upstream.isHeld) continue;
    auto isBusy = std::any_of(probing_.begin(), probing_.end(), [&](const auto& one) { return one.second == name; });
    if (isBusy) continue;
    Fetch fetch;
    fetch.id = kProbeBit | nextProbe_++;
    fetch.address = upstream.address;
    fetch.target = "/health";
    fetch.headers = {{"Host", upstream.address}, {"Dykestage-Service", upstream.service}, {"Dykestage-Instance", name}};
    fetch.timeoutMs = props_.probeMs * 3 / 4;
    fetch.connectMs = props_.probeMs / 2;
    fetch.answerBytes = 4096;
    probing_[fetch.id] = name;
    out_.fetches.push_back(std::move(fetch));
  }
}

auto Shield::tick(int64_t nowMs) -> void {
  if (!remembers(nowMs) && nowMs - keysAskedMs_ >= props_.boundMs / 20) {
    keysAskedMs_ = nowMs;
    for (const auto& at : shields())
      if (!toldKeys_.count(at)) out_.letters.push_back({at, neighbour::kMemoryAsk, ""});
  }
  if (nowMs - probedMs_ >= props_.probeMs && held_.isCurrent(nowMs, props_.staleMs)) {
    probedMs_ = nowMs;
    probe();
  }
  for (auto id : waiting_.ids()) {
    auto* w = waiting_.get(id);
    if (w && w->witnessMs >= 0 && nowMs - w->witnessMs >= props_.boundMs / 20) {
      findWitness(id, nowMs);  // that one is slow: the next one
      w = waiting_.get(id);
    }
    // A fetch ends by its own timeout; this ends the asks that joined another one.
    if (w && !w->isSent && nowMs >= w->untilMs) giveUp(id, w->isWrite && w->witnessMs < 0 ? kUnknown : kDeadline, nowMs);
  }
  size_t over = 0;
  while (over < memoryOrder_.size() && nowMs - memoryOrder_[over].first >= props_.keyMs) {
    auto it = memory_.find(memoryOrder_[over].second);
    if (it != memory_.end() && (it->second.isDone || it->second.running == 0) && nowMs - it->second.sinceMs >= props_.keyMs) memory_.erase(it);
    ++over;
  }
  memoryOrder_.erase(memoryOrder_.begin(), memoryOrder_.begin() + static_cast<std::ptrdiff_t>(over));
}

}  // namespace dykestage::upstream
