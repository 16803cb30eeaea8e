#include "upstream/shield.hpp"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <optional>

#include "base/host_name.hpp"
#include "caller/codes.hpp"
#include "neighbour/post.hpp"

namespace dykestage::upstream {

using namespace caller;
using neighbour::Ask;
using neighbour::Reply;

namespace {
constexpr uint64_t kProbeBit = 1ull << 63;
constexpr int64_t kLeastMs = 20;              // less time than this is not worth a try
constexpr int64_t kSignsOfLifePerBound = 16;  // to an edge whose request is not answered yet

// A route's copies belong to the pool that they came from; a service's need no such mark.
auto poolKey(const Ask& ask) -> std::string {
  return ask.kind == core::UpstreamKind::kAny ? ask.pool : "";
}
}  // namespace

auto Shield::edges() const -> std::vector<std::string> {
  return core::addressesOf(*held_.frame, "edge");
}

auto Shield::shields() const -> std::vector<std::string> {
  return core::addressesOf(*held_.frame, props_.kind, props_.name);
}

auto Shield::give(const std::string& from, const Ask& ask, Reply reply) -> void {
  reply.id = ask.id;
  reply.attempt = ask.attempt;
  reply.life = ask.life;
  out_.replies.push_back({from, std::move(reply)});
}

auto Shield::refuse(const std::string& from, const Ask& ask, uint32_t code) -> void {
  ++figures_.turnedAway;
  Reply reply;
  reply.code = code;
  give(from, ask, std::move(reply));
}

// A request that was held up on its way here, or comes from an edge that is behind, may have been given to its pool by
// a configuration that is over. Where the present one sends it elsewhere it is left untouched.
auto Shield::isOverruled(const Ask& ask) -> bool {
  auto isRoutes = ask.kind == core::UpstreamKind::kAny;
  if (!isRoutes || ask.configuration >= held_.frame->revision.configuration) return false;
  if (!paths_) paths_.emplace(held_.frame);
  auto found = paths_->find(ask.service, ask.target);
  if (!found || !found->route) return true;
  const auto& shares = found->route->shares;
  return std::none_of(shares.begin(), shares.end(),
                      [&](const auto& share) { return share.pool == ask.pool && share.weight > 0; });
}

auto Shield::take(const std::string& from, Ask ask, int64_t nowMs) -> void {
  ++figures_.asks;
  if (!mayAct(nowMs)) return refuse(from, ask, kNotCurrent);
  if (isEmptying_ && from != props_.address) return refuse(from, ask, kEmptying);
  if (ask.kind == core::UpstreamKind::kAny) ask.service = canonicalHost(ask.service);  // an older edge's is as it came
  if (ask.pool.empty()) ask.pool = ask.service;
  auto* view = viewOf(ask);
  if (!view) return refuse(from, ask, kNoService);
  if (from != props_.address && isOverruled(ask)) return refuse(from, ask, kNotCurrent);
  // Before the other shields have made room, a new one has no part in any origin's rate.
  if (view->ratePerS > 0 && !split_.isSettled(nowMs)) return refuse(from, ask, kNotCurrent);
  if (ask.remainingMs <= kLeastMs) return refuse(from, ask, kDeadline);
  if (!ask.isExtra) budgetOf(ask).asked(nowMs);
  Waiting w;
  w.from = from;
  w.startMs = nowMs;
  w.untilMs = nowMs + ask.remainingMs;
  w.isWrite = ask.isWrite || (ask.kind != core::UpstreamKind::kAny && isWrite(ask.method));
  if (ask.isShared) {
    auto copy = cache_->get(ask.service, ask.target, ask.headers, nowMs, poolKey(ask));
    if (copy && nowMs - copy->bornMs < ask.keepMs) {
      ++figures_.hits;
      Reply reply;
      reply.status = static_cast<uint32_t>(copy->status);
      reply.headers = copy->headers;
      reply.body = copy->body;
      reply.ageMs = nowMs - copy->bornMs;
      reply.keepMs = copy->keepMs;
      reply.purges = copy->purges;
      return give(from, ask, std::move(reply));
    }
    w.joinKey = ask.service + "\n" + ask.target + "\n" + ask.pool;
  }
  if (w.isWrite && !ask.key.empty()) w.memoryKey = ask.service + "\n" + ask.key;
  auto joinKey = w.joinKey, memoryKey = w.memoryKey;
  auto print = memoryKey.empty() ? 0 : neighbour::hash({ask.method, "\n", ask.target, "\n", ask.body});
  if (!memoryKey.empty()) {
    auto it = memory_.find(memoryKey);
    if (it != memory_.end()) {
      if (it->second.print != print) return refuse(from, ask, kKeyReused);
      if (it->second.running == 0) return give(from, ask, it->second.reply);
    }
  }
  if (waiting_.size() >= props_.requests) return refuse(from, ask, kShieldFull);
  // One that arrives again is worked on already, or has been answered: its sends are granted once.
  if (from != props_.address && !seen_.add(keyOf(from, ask), nowMs)) return;
  w.tried.insert(ask.upstreams.begin(), ask.upstreams.end());
  w.ask = std::move(ask);
  auto key = keyOf(w.from, w.ask);
  auto place = waiting_.add(std::move(w));
  taken_[key] = *place;
  auto join = [&](uint64_t leader) {
    auto* l = waiting_.get(leader);
    if (!l) return false;
    ++figures_.joins;
    l->followers.push_back(*place);
    waiting_.get(*place)->leader = leader;
    return true;
  };
  if (!memoryKey.empty()) {
    auto [it, isFirst] = memory_.try_emplace(memoryKey, Memory{print, *place, {}, nowMs, {}});
    if (!isFirst && join(it->second.running)) return;
    it->second.running = *place;
    return claim(*place, nowMs);
  }
  if (!joinKey.empty()) {
    auto [it, isFirst] = joins_.try_emplace(joinKey, *place);
    if (!isFirst) {
      // A fetch that began before a purge of the object is not joined.
      auto* leader = waiting_.get(it->second);
      auto isOld = leader && cache_->mayBePurgedSince(leader->purges, leader->ask.service, leader->ask.target);
      if (leader && !isOld && join(it->second)) return;
      it->second = *place;
    }
  }
  dispatch(*place, false, nowMs);
}

auto Shield::outputAfter(const std::function<bool(const Output::Told&)>& send, int64_t nowMs) -> Output {
  auto out = output();
  for (size_t i = 0; i < out.letters.size(); ++i) {
    if (send(out.letters[i])) continue;
    unreached(out.letters[i].to, nowMs);
    auto more = output();
    std::move(more.letters.begin(), more.letters.end(), std::back_inserter(out.letters));
    std::move(more.fetches.begin(), more.fetches.end(), std::back_inserter(out.fetches));
    std::move(more.cancels.begin(), more.cancels.end(), std::back_inserter(out.cancels));
    std::move(more.sendRequests.begin(), more.sendRequests.end(), std::back_inserter(out.sendRequests));
    std::move(more.replies.begin(), more.replies.end(), std::back_inserter(out.replies));
    std::move(more.claims.begin(), more.claims.end(), std::back_inserter(out.claims));
  }
  return out;
}

auto Shield::output() -> Output {
  if (!gathered_.empty()) {
    neighbour::Claims letter{++nextNonce_, 0, props_.name, props_.life, std::exchange(gathered_, {})};
    out_.claims.push_back(letter);
    unanswered_[letter.nonce] = {letter, gatheredMs_, gatheredMs_};
  }
  return std::exchange(out_, {});
}

// The other one goes out only where there is room for it at once.
auto Shield::mayHedgeNow(const Waiting& w, int64_t nowMs) -> bool {
  auto* view = viewOf(w.ask);
  if (!view || (view->ratePerS > 0 && !rates_[w.ask.pool].has(nowMs))) return false;
  auto props = placementOf(*view, nowMs);
  props.isFreeOnly = true;
  const auto& list = view->kept.empty() ? view->candidates : view->kept;
  return policy::choose(list, w.tried, props, 0, nowMs).has_value();
}

auto Shield::hedge(uint64_t id, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  w.isHedged = true;
  if (!mayHedgeNow(w, nowMs)) return;
  if (w.tries < w.ask.tries)
    dispatch(id, true, nowMs);
  else
    requestSend(id, SendPurpose::kHedge, nowMs);
}

// ---- sends ------------------------------------------------------------------------------------------------
//
// A try's sends are granted by the edge that took it from its client. A shield that has used its own asks for one
// more; until that is granted nothing leaves, whatever becomes of the messages.

auto Shield::requestSend(uint64_t id, SendPurpose purpose, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  w.requested = purpose;
  w.requestedMs = nowMs;
  neighbour::SendRequest request;
  request.id = w.ask.id;
  request.attempt = w.ask.attempt;
  request.life = w.ask.life;
  request.waiting = id;
  request.shieldLife = props_.life;
  request.wanted = w.ask.tries + 1;
  request.upstreams.assign(w.tried.begin(), w.tried.end());
  out_.sendRequests.push_back({w.from, std::move(request)});
}

auto Shield::takeSendGrant(const neighbour::SendGrant& grant, int64_t nowMs) -> void {
  auto* w = grant.shieldLife == props_.life ? waiting_.get(grant.waiting) : nullptr;
  if (!w) return;
  w->ask.tries = std::max(w->ask.tries, grant.granted);
  w->ask.reserve = grant.reserve;
  w->tried.insert(grant.upstreams.begin(), grant.upstreams.end());
  if (w->requested == SendPurpose::kNone || !w->isWanted()) return;
  if (w->tries >= w->ask.tries) return sendNotGranted(grant.waiting, nowMs);
  if (!budgetOf(w->ask).mayTry(nowMs)) return sendNotGranted(grant.waiting, nowMs);
  auto isRetry = std::exchange(w->requested, SendPurpose::kNone) == SendPurpose::kRetry;
  if (isRetry) {
    w->held.reset();
    return dispatch(grant.waiting, true, nowMs);
  }
  if (w->open == 1 && mayHedgeNow(*w, nowMs)) dispatch(grant.waiting, true, nowMs);
}

// Without a further send the outcome of the last one is final; beside a fetch under way nothing changes.
auto Shield::sendNotGranted(uint64_t id, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  w.ask.reserve = 0;
  if (std::exchange(w.requested, SendPurpose::kNone) != SendPurpose::kRetry) return;
  if (!w.held) return giveUp(id, w.failure, nowMs);
  auto reply = *std::exchange(w.held, std::nullopt);
  finish(id, std::move(reply), nullptr, nowMs);
}

// Of a pool that few nodes keep, the allowance is theirs: a third each time, since within one window it may pass to
// another keeper and back.
auto Shield::budgetOf(const Ask& ask) -> policy::TryBudget& {
  auto* view = ask.kind == core::UpstreamKind::kAny ? viewOf(ask) : nullptr;
  if (!view || view->keepers == 0) return budgets_.of(*held_.frame, ask.pool);
  return budgets_.of(*held_.frame, ask.pool, view->kept.empty() ? 0 : 1.0 / 3 / static_cast<double>(view->keepers));
}

// What is known of the pool that an ask is for; null when it is not configured.
auto Shield::viewOf(const Ask& ask) -> PoolView* {
  auto it = views_.find({ask.pool, ask.kind});
  return it == views_.end() ? nullptr : &it->second;
}

auto Shield::placementOf(const PoolView& view, int64_t nowMs) -> policy::PlacementProps {
  policy::PlacementProps props;
  props.site = props_.site;
  props.loadMs = props_.boundMs / 4;
  props.isKept = !view.kept.empty();
  auto nodes = view.kept.empty() ? static_cast<int64_t>(split_.count(nowMs)) : 1;
  if (view.connections > 0) props.connections = std::max<int64_t>(1, view.connections * 9 / 10 / nodes);
  return props;
}

// A route's request waits here, not in an upstream's queue, until an upstream has a slot: the highest rank first, then
// the first come.
auto Shield::queue(uint64_t id, bool isExtra, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  w.isNextExtra = isExtra;
  w.isQueued = true;
  auto pool = w.ask.pool;
  queues_[pool].emplace(w.ask.rank, w.startMs, id);
  drain(pool, nowMs);
}

auto Shield::drain(const std::string& pool, int64_t nowMs) -> void {
  auto it = queues_.find(pool);
  if (it == queues_.end()) return;
  // What it gives up on may bring something back into the queue: a moment's entries are looked at once.
  auto entries = it->second;
  auto isNoneFree = false;
  for (const auto& entry : entries) {
    auto id = std::get<2>(entry);
    auto* w = waiting_.get(id);
    auto leave = [&] {
      it->second.erase(entry);
      if (w) w->isQueued = false;
    };
    if (!w || !w->isQueued) {
      leave();
      continue;
    }
    auto fail = [&](uint32_t code) {
      leave();
      giveUp(id, code, nowMs);
    };
    auto* view = viewOf(w->ask);
    auto left = w->untilMs - nowMs;
    if (!mayAct(nowMs) || !view) {
      fail(view ? kNotCurrent : kNoService);
      continue;
    }
    if (left <= kLeastMs) {
      fail(kDeadline);
      continue;
    }
    const auto& list = view->kept.empty() ? view->candidates : view->kept;
    auto poolMs = policy::poolMean(list);
    auto heldMs = static_cast<double>(nowMs - std::max(w->startMs, w->fetchedMs));
    // What is known of others' load may be wrong: then nothing waits here for longer than a request takes.
    auto mustGo = view->kept.empty() && heldMs > std::max(poolMs, 20.0);
    // Those behind one that found no free slot find none either; whoever runs out of time is looked at.
    if (isNoneFree && w->tried.empty() && !mustGo && static_cast<double>(left) > 2 * poolMs) continue;
    auto props = placementOf(*view, nowMs);
    dice_ = dice_ * 6364136223846793005ull + 1442695040888963407ull;
    auto find = [&](const std::vector<policy::Candidate>& list,
                    bool isFreeOnly) -> std::optional<std::pair<policy::Candidate, policy::Placement>> {
      props.isFreeOnly = isFreeOnly;
      auto at = policy::choose(list, w->tried, props, dice_ >> 33, nowMs);
      return at ? std::optional(std::pair{list[at->index], *at}) : std::nullopt;
    };
    auto found = find(list, true);
    auto any = found ? found : find(list, false);
    if (!any && !view->kept.empty()) any = found = find(view->candidates, false);  // what it keeps is lost
    if (!any) {
      fail(kNoUpstream);
      continue;
    }
    isNoneFree = isNoneFree || (!found && w->tried.empty());
    if (!found && mustGo) found = any;
    if (any->second.expectedMs - any->second.waitMs > static_cast<double>(left) * 1.5) {
      w->retryMs = static_cast<int64_t>(poolMs);
      fail(kNoUpstream);
      continue;
    }
    if (!found) continue;
    if (!rateOf(pool, *view, nowMs).take(nowMs)) {
      borrowRate(pool, nowMs);
      // A third of its time is waited for its turn, by whoever has nobody else to be asked.
      if (w->ask.mayWait && 3 * (nowMs - w->startMs) < w->untilMs - w->startMs) continue;
      ++figures_.rateTurnedAway;
      fail(kOriginRate);
      continue;
    }
    leave();
    send(id, found->first, found->second, w->isNextExtra, nowMs);
  }
}

auto Shield::dispatch(uint64_t id, bool isExtra, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  if (w.ask.kind == core::UpstreamKind::kAny && w.open == 0) return queue(id, isExtra, nowMs);
  // While another fetch is under way, one that can't leave ends nothing.
  auto fail = [&](uint32_t code) {
    if (w.open == 0) giveUp(id, code, nowMs);
  };
  // What was held (in an inbox, or by a frozen process) is looked at again before anything leaves.
  if (!mayAct(nowMs)) return fail(kNotCurrent);
  auto left = w.untilMs - nowMs;
  if (left <= kLeastMs) return fail(kDeadline);
  auto* view = viewOf(w.ask);
  if (!view) return fail(kNoService);
  dice_ = dice_ * 6364136223846793005ull + 1442695040888963407ull;
  auto props = placementOf(*view, nowMs);
  props.isFreeOnly = w.open > 0;
  const auto& list = view->kept.empty() ? view->candidates : view->kept;
  auto chosen = policy::choose(list, w.tried, props, dice_ >> 33, nowMs);
  if (!chosen) return fail(kNoUpstream);
  if (!rateOf(w.ask.pool, *view, nowMs).take(nowMs)) {
    ++figures_.rateTurnedAway;
    return fail(kOriginRate);
  }
  send(id, list[chosen->index], *chosen, isExtra, nowMs);
}

auto Shield::send(uint64_t id, const policy::Candidate& candidate, const policy::Placement& placement, bool isExtra,
                  int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  auto left = w.untilMs - nowMs;
  auto fetchId = ++nextFetch_;
  candidate.health->left(fetchId, nowMs);
  fetching_[fetchId] = {id, *candidate.name, w.ask.pool, nowMs, placement.waitMs, cache_->purges()};
  w.tried.insert(*candidate.name);
  w.fetchedMs = nowMs;
  w.expectedMs = placement.expectedMs;
  w.purges = std::min(w.open > 0 ? w.purges : cache_->purges(), cache_->purges());
  ++w.open;
  ++w.tries;
  ++figures_.fetches;
  if (nowMs - w.startMs > props_.boundMs / 4) ++(w.tries > 1 ? figures_.repeatedLate : figures_.sentLate);
  auto cause = static_cast<size_t>(w.tries > 1 ? neighbour::FetchCause::kHedge : w.ask.cause);
  if (w.ask.isShared && cause < figures_.objectFetches.size()) ++figures_.objectFetches[cause];
  if (isExtra) {
    ++figures_.extras;
    budgetOf(w.ask).tried(nowMs);
  }
  const auto& names = props_.names;
  Fetch fetch;
  fetch.id = fetchId;
  fetch.address = candidate.upstream->address;
  fetch.method = w.ask.method;
  fetch.target = w.ask.target;
  fetch.headers = w.ask.headers;
  // In place of what a client sent under the same name: an upstream may read either of two.
  auto add = [&](const std::string& name, const std::string& value) {
    if (name.empty()) return;
    std::erase_if(fetch.headers, [&](const auto& h) { return lower(h.first) == lower(name); });
    fetch.headers.emplace_back(name, value);
  };
  add(names.service, w.ask.pool);
  add(names.instance, *candidate.name);
  add(names.timeLeft, std::to_string(left));
  if (isExtra || w.ask.isExtra) add(names.extra, "1");
  fetch.body = w.ask.body;
  fetch.isWrite = w.isWrite;
  fetch.answerBytes = props_.answerBytes;
  fetch.tryHeader = names.tryId;
  fetch.tryId = w.ask.tryId;
  fetch.sealHeader = names.seal;
  // A read of a service leaves time for one more try; a route's is tried elsewhere beside, not instead.
  auto isRoute = w.ask.kind == core::UpstreamKind::kAny;
  fetch.timeoutMs = isRoute || w.isWrite || w.tries > 1 ? left - kLeastMs / 4 : left * 6 / 10;
  // What was read before a purge is not handed out longer than the bound after it.
  if (w.ask.isShared) fetch.timeoutMs = std::min(fetch.timeoutMs, props_.boundMs);
  if (!props_.servesStale) fetch.actUntilMs = held_.asOfMs + props_.staleMs;
  fetch.connectMs = isRoute ? std::min(props_.connectMs, left) : std::max<int64_t>(kLeastMs, left / 4);
  out_.fetches.push_back(std::move(fetch));
}

auto Shield::isNotRun(const Fetched& f) const -> bool {
  return f.fault == Fault::kNone &&
         (f.status == 421 || (!props_.names.notRun.empty() && f.status >= 400 && has(f.headers, props_.names.notRun)));
}

auto Shield::judge(const Fetching& fetching, const Fetched& f, bool isNotRun, int64_t nowMs) -> void {
  auto it = health_.find(fetching.instance);
  if (it == health_.end()) return;
  auto& h = it->second;
  auto isWell = f.fault == Fault::kNone && !isNotRun;
  h.ended(f.id, fetching.leftMs, f.tookMs, fetching.waitMs, isWell && f.status < 500, nowMs);
  if (f.fault == Fault::kNone) {
    auto load = header(f.headers, props_.names.load);
    if (std::count(load.begin(), load.end(), ',') == 2) {
      // The request that it answers with it is over.
      h.told = std::max(0, std::atoi(load.c_str()) + std::atoi(load.c_str() + load.find(',') + 1) - 1);
    } else if (!load.empty()) {
      auto upstream = held_.frame->upstreams.find(fetching.instance);
      auto slots = upstream == held_.frame->upstreams.end() ? 1 : upstream->second.capacity;
      h.told = static_cast<int>(std::clamp(std::atof(load.c_str()), 0.0, 100.0) * static_cast<double>(slots));
    }
    if (!load.empty()) h.toldMs = nowMs, h.openWhenTold = h.open;
  }
  if (isWell) return;
  if (isNotRun && f.status != 421) {
    // It is full: others come first for as long as one of its slots takes to be free again, about.
    h.shunUntilMs = std::max(h.shunUntilMs,
                             nowMs + std::min<int64_t>(props_.boundMs / 10, static_cast<int64_t>(h.tookMs) / 2 + 10));
    return;
  }
  ++h.failures;
  if (h.failures >= 2 || f.isUntouched || isNotRun)
    h.shunUntilMs = nowMs + std::min<int64_t>(props_.boundMs, 250LL << std::min(h.failures, 4));
}

auto Shield::takeFetched(const Fetched& f, int64_t nowMs) -> void {
  auto under = fetching_.find(f.id);
  auto pool = under == fetching_.end() ? "" : under->second.pool;
  settle(f, nowMs);
  if (!pool.empty()) drain(pool, nowMs);
}

auto Shield::settle(const Fetched& f, int64_t nowMs) -> void {
  if (f.id & kProbeBit) {
    auto it = probing_.find(f.id);
    if (it == probing_.end()) return;
    auto isWell = f.fault == Fault::kNone && f.status == 200;
    probes_[it->second] = isWell;
    auto& h = health_[it->second];
    if (!isWell) h.shunUntilMs = std::max(h.shunUntilMs, nowMs + props_.probeMs * 3 / 2);
    probing_.erase(it);
    return;
  }
  auto found = fetching_.find(f.id);
  if (found == fetching_.end()) return;
  auto fetching = std::move(found->second);
  fetching_.erase(found);
  auto notRun = isNotRun(f);
  judge(fetching, f, notRun, nowMs);
  auto id = fetching.waiting;
  auto* w = waiting_.get(id);
  if (!w) return;
  // The library has sent it again by itself, when a kept connection had died under a read: arrivals like any other.
  for (auto resend = 1; resend < f.sends; ++resend)
    budgetOf(w->ask).tried(nowMs);
  --w->open;
  w->wasTouched = w->wasTouched || !(f.isUntouched || notRun);
  if (w->open > 0 && (f.fault != Fault::kNone || notRun || f.status >= 500)) return;  // the other one may still be well
  if (!w->isWanted()) return settleUnwanted(id, fetching, f, nowMs);
  auto isRoute = w->ask.kind == core::UpstreamKind::kAny;
  if (f.fault == Fault::kNotSent) {
    // Nothing left for this upstream: another may be taken, for a write as well.
    --w->tries;
    if (++w->unsent < 4) return dispatch(id, false, nowMs);
    return giveUp(id, kNoUpstream, nowMs);
  }
  if (f.fault == Fault::kNone && notRun && (isRoute || f.status == 421))
    return retryOr(id, f.status == 421 && !isRoute ? kMisdirected : kNoUpstream, nowMs);
  // Statuses that promise to callers that nothing ran are passed on only when the upstream promises it.
  auto isPromise = f.status == 408 || f.status == 421 || f.status == 429 || f.status == 503;
  if (f.fault == Fault::kNone && isRoute && w->isWrite && isPromise && !props_.names.notRun.empty())
    return giveUp(id, kUnknown, nowMs);
  auto mayAgain =
      f.fault == Fault::kNone && !w->isWrite && (isRoute ? f.status >= 500 && f.status != 504 : f.status == 503);
  constexpr int64_t kMostAfterAnswer = 2;
  if (mayAgain && w->tries < kMostAfterAnswer && budgetOf(w->ask).mayTry(nowMs)) {
    if (w->tries < w->ask.tries) return dispatch(id, true, nowMs);
    if (w->ask.reserve > 0) {
      w->held = replyOf(*w, fetching, f, nowMs);
      return requestSend(id, SendPurpose::kRetry, nowMs);
    }
  }
  if (f.fault != Fault::kNone) {
    auto code = f.fault == Fault::kTooLarge                               ? kAnswerTooLarge
                : f.fault == Fault::kNotWhole || f.fault == Fault::kMixed ? kNotWhole
                : f.fault == Fault::kTimeout                              ? kDeadline
                                                                          : kUpstreamLost;
    return retryOr(id, code, nowMs);
  }
  answered(id, replyOf(*w, fetching, f, nowMs), fetching, f, nowMs);
}

auto Shield::replyOf(const Waiting& w, const Fetching& fetching, const Fetched& f, int64_t nowMs) -> Reply {
  Reply reply;
  reply.status = static_cast<uint32_t>(f.status);
  reply.headers = endToEnd(f.headers);
  if (w.ask.method == "HEAD" || f.status == 304)
    for (const auto& [name, value] : f.headers)
      if (lower(name) == "content-length") reply.headers.emplace_back(name, value);
  reply.body = f.body;
  reply.isUntouched = false;
  reply.isFetched = true;
  reply.ageMs = nowMs - fetching.leftMs;
  reply.purges = fetching.purges;
  return reply;
}

// An upstream's answer ends the request; it is kept if it may be.
auto Shield::answered(uint64_t id, Reply reply, const Fetching& fetching, const Fetched& f, int64_t nowMs) -> void {
  auto* w = waiting_.get(id);
  auto isRoute = w->ask.kind == core::UpstreamKind::kAny;
  auto terms = policy::termsOf(f.status, f.headers, w->ask.keepMs, props_.names.labels);
  // A pool's refusals and errors are not kept.
  if (!w->ask.isShared || terms.keepMs <= 0 || (isRoute && f.status != 200))
    return finish(id, std::move(reply), nullptr, nowMs);
  reply.keepMs = terms.keepMs;
  auto copy = std::make_shared<const policy::Copy>(
      policy::Copy{f.status, reply.headers, f.body, fetching.leftMs, terms.keepMs, fetching.purges, terms.vary});
  cache_->put(w->ask.service, w->ask.target, w->ask.headers, copy, terms.labels, poolKey(w->ask));
  finish(id, std::move(reply), copy.get(), nowMs);
}

auto Shield::retryOr(uint64_t id, uint32_t code, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  // A write may go on only while it surely ran nowhere.
  auto mayRun = !w.isWrite || (w.ask.kind == core::UpstreamKind::kAny && !w.wasTouched);
  constexpr int64_t kMostAfterFailure = 3;
  auto mayTry = mayRun && w.tries < kMostAfterFailure && code != kAnswerTooLarge && w.untilMs - nowMs > kLeastMs &&
                budgetOf(w.ask).mayTry(nowMs);
  if (mayTry && w.tries < w.ask.tries) return dispatch(id, true, nowMs);
  if (mayTry && w.ask.reserve > 0) {
    w.failure = code;
    w.held.reset();
    return requestSend(id, SendPurpose::kRetry, nowMs);
  }
  giveUp(id, code, nowMs);
}

auto Shield::giveUp(uint64_t id, uint32_t code, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  if (w.isWrite && w.wasTouched && code != kNotWhole && code != kAnswerTooLarge && code != kMisdirected)
    code = kUnknown;
  if (!w.isWrite && (w.wasTouched || w.open > 0) && promisesUnrun(code)) code = kUpstreamLost;
  if (code == kUnknown)
    ++figures_.unknown;
  else
    ++figures_.turnedAway;
  // A fetch still under way may yet run.
  if (w.isWrite && w.open > 0) code = kUnknown;
  Reply reply;
  reply.code = code;
  reply.isUntouched = !w.wasTouched && w.open == 0 && code != kUnknown;
  reply.retryMs = w.retryMs;
  finish(id, std::move(reply), nullptr, nowMs);
}

// Takes a request out of what waits.
auto Shield::release(uint64_t id) -> Waiting {
  auto w = *waiting_.take(id);
  taken_.erase(keyOf(w.from, w.ask));
  return w;
}

auto Shield::finish(uint64_t id, Reply reply, const policy::Copy* copy, int64_t nowMs) -> void {
  auto w = std::make_optional(release(id));
  if (auto it = joins_.find(w->joinKey); it != joins_.end() && it->second == id) joins_.erase(it);
  auto isKeyed = !w->memoryKey.empty();
  if (isKeyed) {
    claiming_.erase(w->claim);
    auto isUnrun = reply.code != kOk && reply.isUntouched;
    if (w->claim != 0 && isUnrun) giveBack(w->memoryKey, w->claim, nowMs);
    auto it = memory_.find(w->memoryKey);
    if (it != memory_.end() && it->second.running == id) {
      for (const auto& [from, nonce, life] : std::exchange(it->second.asking, {}))
        out_.letters.push_back(
            {from, neighbour::kKeyTold, Writer().put(neighbour::KeyTold{nonce, life, reply}).take()});
      // What surely did not run is free again; what another shield ran is remembered only if it went well.
      if (isUnrun || (w->claim == 0 && reply.code != kOk)) {
        memory_.erase(it);
      } else {
        it->second.running = 0;
        it->second.reply = reply;
        it->second.sinceMs = nowMs;
        memoryBytes_ += reply.body.size();
        memoryOrder_.emplace_back(nowMs, w->memoryKey);
      }
    }
  }
  auto own = copy ? policy::variantOf(copy->vary, w->ask.headers) : std::string();
  if (w->isWithdrawn && !isKeyed && reply.code != kOk) return promote(w->followers, nowMs);
  for (auto follower : w->followers) {
    auto* f = waiting_.get(follower);
    if (!f) continue;
    if (isKeyed || reply.code != kOk ||
        (copy && policy::variantOf(copy->vary, f->ask.headers) == own && nowMs - copy->bornMs < copy->keepMs)) {
      auto taken = release(follower);
      auto shared = reply;
      shared.isFetched = false;  // one fetch, however many joined it
      this->reply(taken, shared, nowMs);
    } else {
      f->leader.reset();
      f->joinKey.clear();
      dispatch(follower, false, nowMs);
    }
  }
  this->reply(*w, std::move(reply), nowMs);
}

auto Shield::reply(const Waiting& w, Reply reply, int64_t nowMs) -> void {
  if (w.isWithdrawn) return;  // its edge has been answered
  reply.heldMs = nowMs - w.startMs;
  reply.sends = w.tries;
  if (reply.code != kOk) reply.upstreams.assign(w.tried.begin(), w.tried.end());
  give(w.from, w.ask, std::move(reply));
}

auto Shield::takeFrame(const HeldFrame& held, int64_t nowMs) -> void {
  auto before = held_.frame;
  held_ = held;
  if (before == held_.frame) return;
  paths_.reset();
  withdrawOfEndedEdges(*before, nowMs);
  cache_->purge(held_.frame->purges, held_.frame->revision.purges, held_.frame->purgeFloor, held_.frame->services);
  if (auto own = held_.frame->members.find(props_.name); own != held_.frame->members.end())
    split_.set(static_cast<size_t>(core::countOf(*held_.frame, props_.kind)), own->second.replaced != 0, nowMs);
  peers_ = core::addressesOf(*held_.frame, props_.kind, props_.name);
  // Streams to an address that no longer is what it was are ended while idle.
  for (const auto& [name, upstream] : before->upstreams) {
    auto it = held_.frame->upstreams.find(name);
    if (it == held_.frame->upstreams.end() || it->second.address != upstream.address ||
        it->second.service != upstream.service) {
      out_.drops.push_back(upstream.address);
      health_.erase(name);
      probes_.erase(name);
    }
  }
  views_.clear();
  for (const auto& [name, service] : held_.frame->services) {
    // While a rollout runs, the lower of both revisions' rates holds for the origin.
    auto rate = service.originRate;
    for (const auto& next : service.next)
      if (next.originRate > 0) rate = rate > 0 ? std::min(rate, next.originRate) : next.originRate;
    for (auto kind : {core::UpstreamKind::kStore, core::UpstreamKind::kApplication})
      views_[{name, kind}].ratePerS = static_cast<double>(rate);
  }
  for (const auto& [name, pool] : held_.frame->routing.pools)
    views_[{name, core::UpstreamKind::kAny}] = {{}, {}, 0, pool.connections, pool.ratePerS};
  for (const auto& [name, upstream] : held_.frame->upstreams) {
    auto [health, isNew] = health_.try_emplace(name);
    if (isNew && upstream.coldMs > 0) health->second.coldUntilMs = nowMs + upstream.coldMs;
    if (isNew && upstream.coldMs == 0 && upstream.kind != core::UpstreamKind::kAny && before->revision.upstreams > 0)
      health->second.coldUntilMs = nowMs + props_.easeMs;
    if (upstream.isEmptying || upstream.isHeld) continue;
    for (auto kind : {upstream.kind, core::UpstreamKind::kAny})
      if (auto view = views_.find({upstream.service, kind}); view != views_.end()) {
        view->second.candidates.push_back({&name, &upstream, &health->second});
        break;
      }
  }
  // Of pools with few slots, some upstreams are this node's to keep.
  std::vector<uint64_t> hashes;
  std::optional<size_t> self;
  for (const auto& [name, member] : held_.frame->members) {
    if (!core::fetches(member)) continue;
    if (name == props_.name) self = hashes.size();
    hashes.push_back(neighbour::hash(name));
  }
  for (const auto& [name, pool] : held_.frame->routing.pools) {
    auto& view = views_.at({name, core::UpstreamKind::kAny});
    auto dispatch = policy::dispatchOf(*held_.frame, name, hashes);
    view.keepers = dispatch.nodes.size();
    auto place = std::find(dispatch.nodes.begin(), dispatch.nodes.end(), self.value_or(hashes.size()));
    if (!self || place == dispatch.nodes.end()) continue;
    for (const auto& candidate : view.candidates)
      if (dispatch.keepers.at(*candidate.name) == static_cast<size_t>(place - dispatch.nodes.begin()))
        view.kept.push_back(candidate);
  }
}

auto Shield::probe() -> void {
  for (const auto& [name, upstream] : held_.frame->upstreams) {
    if (upstream.isHeld) continue;
    auto isBusy =
        std::any_of(probing_.begin(), probing_.end(), [&name = name](const auto& one) { return one.second == name; });
    if (isBusy) continue;
    Fetch fetch;
    fetch.id = kProbeBit | nextProbe_++;
    fetch.address = upstream.address;
    auto pool = held_.frame->routing.pools.find(upstream.service);
    fetch.target = pool == held_.frame->routing.pools.end() ? "/health" : pool->second.probe;
    fetch.headers = {{"Host", upstream.address}};
    if (!props_.names.service.empty()) fetch.headers.emplace_back(props_.names.service, upstream.service);
    if (!props_.names.instance.empty()) fetch.headers.emplace_back(props_.names.instance, name);
    fetch.timeoutMs = props_.probeMs * 3 / 4;
    if (!props_.servesStale) fetch.actUntilMs = held_.asOfMs + props_.staleMs;
    fetch.connectMs = props_.probeMs / 2;
    fetch.answerBytes = 4096;
    probing_[fetch.id] = name;
    out_.fetches.push_back(std::move(fetch));
  }
}

// An edge takes a node that owes it answers and says nothing for silent. That an object waits here, for a slot or a
// rate, or takes long, is no reason to ask another node for it.
auto Shield::showAlive(const Waiting& w, int64_t nowMs) -> void {
  auto everyMs = props_.boundMs / kSignsOfLifePerBound;
  if (w.from == props_.address || !w.ask.isShared || w.isWithdrawn || nowMs - w.startMs < everyMs) return;
  auto [shown, isFirst] = shownAliveMs_.try_emplace(w.from, nowMs);
  if (!isFirst && nowMs - shown->second < everyMs) return;
  shown->second = nowMs;
  out_.letters.push_back({w.from, neighbour::kPong, ""});
}

auto Shield::tick(int64_t nowMs) -> void {
  // A claim that is not answered goes to another registry; one that nobody waits for any more goes nowhere.
  for (auto it = unanswered_.begin(); it != unanswered_.end();) {
    auto& [letter, firstMs, sentMs] = it->second;
    auto isWanted = std::any_of(letter.keys.begin(), letter.keys.end(),
                                [&](const auto& k) { return k.isReturn || claiming_.count(k.number); });
    if (!isWanted || nowMs - firstMs >= props_.boundMs) {
      it = unanswered_.erase(it);
      continue;
    }
    if (nowMs - sentMs >= props_.boundMs / 20) {
      sentMs = nowMs;
      ++letter.attempt;
      out_.claims.push_back(letter);
    }
    ++it;
  }
  if (props_.probeMs > 0 && nowMs - probedMs_ >= props_.probeMs && mayAct(nowMs)) {
    probedMs_ = nowMs;
    probe();
  }
  for (const auto& [pool, entries] : queues_)
    if (!entries.empty()) drain(pool, nowMs);
  for (auto id : waiting_.ids()) {
    auto* w = waiting_.get(id);
    if (w) showAlive(*w, nowMs);
    if (w && w->claimMs >= 0 && (nowMs - w->claimMs >= props_.boundMs / 4 || nowMs >= w->untilMs)) {
      giveUp(id, kNoClaim, nowMs);
      continue;
    }
    if (w && w->requested != SendPurpose::kNone && nowMs - w->requestedMs >= props_.connectMs) {
      sendNotGranted(id, nowMs);
      w = waiting_.get(id);
    }
    // A fetch ends by its own timeout; this ends the asks that joined another one, or asked another shield.
    if (w && w->open == 0 && !w->isQueued && nowMs >= w->untilMs) {
      giveUp(id, w->isWrite ? kUnknown : kDeadline, nowMs);
      continue;
    }
    // A read that takes far longer than it should goes to another upstream beside the first.
    auto mayHedge = w && w->isWanted() && w->ask.kind == core::UpstreamKind::kAny && !w->isWrite && !w->isHedged &&
                    w->open == 1 && w->tries < w->ask.tries + w->ask.reserve;
    if (!mayHedge || static_cast<double>(nowMs - w->fetchedMs) <
                         std::max(2.5 * w->expectedMs, static_cast<double>(props_.connectMs) / 2))
      continue;
    if (static_cast<double>(w->untilMs - nowMs) < w->expectedMs || !budgetOf(w->ask).mayTry(nowMs)) continue;
    hedge(id, nowMs);
  }
  forget(nowMs);
}

}  // namespace dykestage::upstream
