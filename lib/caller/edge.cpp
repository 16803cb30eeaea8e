#include "caller/edge.hpp"

#include <algorithm>
#include <cstdlib>

#include "base/host_name.hpp"
#include "caller/field_syntax.hpp"
#include "neighbour/post.hpp"

namespace dykestage::caller {

using neighbour::Ask;
using neighbour::Reply;

namespace {
constexpr size_t kMostAsked = 3;                   // fetchers, for one request
constexpr size_t kMostForwardedBytes = 256 << 10;  // of a body that another node may fetch with

// This node knows the service, since it asked: a fetcher that does not is behind in its configuration, and its refusal
// says nothing about the request.
auto ownCodeOf(const Reply& reply) -> uint32_t {
  return reply.code == kNoService ? kNotCurrent : reply.code;
}

// What is left of a reply whose answer is broken.
auto notWholeOf(const Reply& reply) -> Reply {
  Reply rest;
  rest.id = reply.id;
  rest.attempt = reply.attempt;
  rest.life = reply.life;
  rest.code = kNotWhole;
  rest.isUntouched = false;
  rest.upstreams = reply.upstreams;
  return rest;
}

// An upstream's answer as another process hands it on; one of an earlier release may have read it less strictly.
auto isSoundAnswer(const Reply& reply) -> bool {
  constexpr uint32_t kLeastFinal = 200;
  constexpr uint32_t kMostFinal = 599;
  return reply.status >= kLeastFinal && reply.status <= kMostFinal && areFields(reply.headers);
}
}  // namespace

auto isWrite(const std::string& method) -> bool {
  return method != "GET" && method != "HEAD" && method != "OPTIONS" && method != "TRACE";
}

Paths::Paths(std::shared_ptr<const core::Frame> frame) : frame_(std::move(frame)) {
  for (auto it = frame_->services.begin(); it != frame_->services.end(); ++it)
    for (const auto& host : it->second.hosts)
      byHost_.try_emplace(canonicalHost(host), it);
  for (const auto& [name, route] : frame_->routing.routes)
    routes_.try_emplace(canonicalHost(route.host) + route.prefix, &route);
}

auto Paths::find(const std::string& host, const std::string& target) const -> std::optional<Found> {
  auto name = canonicalHost(host);
  // The longest prefix first: prefixes end with a slash.
  auto path = target.substr(0, target.find('?'));
  for (auto end = path.rfind('/'); !routes_.empty() && end != std::string::npos;
       end = end == 0 ? std::string::npos : path.rfind('/', end - 1)) {
    auto at = routes_.find(name + path.substr(0, end + 1));
    if (at == routes_.end()) continue;
    const auto& route = *at->second;
    Found found;
    found.service = name;
    found.route = &route;
    found.path = {route.prefix, core::UpstreamKind::kAny, route.kind == core::RouteKind::kCacheable ? route.keepMs : 0,
                  ""};
    found.deadlineMs = route.giveUpMs;
    int64_t sum = 0;
    for (const auto& share : route.shares)
      sum += share.weight;
    auto place =
        sum > 0 ? static_cast<int64_t>(neighbour::hash(route.prefix + "\n" + path) % static_cast<uint64_t>(sum)) : 0;
    for (const auto& share : route.shares) {
      place -= share.weight;
      if (place >= 0) continue;
      found.pool = share.pool;
      break;
    }
    return found;
  }
  auto it = byHost_.find(name);
  if (it == byHost_.end()) return std::nullopt;
  const auto& [service, stable] = *it->second;
  Found found;
  found.service = found.pool = service;
  found.rollout = stable.rollout;
  auto slot = neighbour::hash(stable.rollout + "\n" + service + "\n" + path) % 1000;
  found.isNext = !stable.next.empty() && static_cast<int64_t>(slot) < stable.slicePermille;
  const auto& props = found.isNext ? stable.next.front() : stable;
  const core::Path* best = nullptr;
  for (const auto& one : props.paths)
    if (target.rfind(one.prefix, 0) == 0 && (!best || one.prefix.size() > best->prefix.size())) best = &one;
  if (!best) return std::nullopt;
  found.path = *best;
  found.deadlineMs = props.deadlineMs;
  return found;
}

auto Edge::shields() const -> std::vector<std::string> {
  std::vector<std::string> list;
  for (const auto& one : fetchers_)
    if (one.name != props_.name) list.push_back(one.address);
  return list;
}

auto Edge::turnAway(const Request& request, uint32_t code, int64_t retryMs) -> void {
  ++figures_.turnedAway;
  ++refusals_[code];
  out_.answers.push_back(
      {request.stream, request.method, request.keep, codeAnswerMs(code, retryMs > 0 ? retryMs : props_.retryMs)});
}

// NOLINTNEXTLINE(readability-function-size): split with its module in issue 17
auto Edge::take(Request request, int64_t nowMs) -> void {
  ++figures_.requests;
  if (request.stream && request.stream->hasLeft()) {
    ++figures_.clientsLeft;
    return turnAway(request, kClientLeft, 0);
  }
  // News comes soon, but not at once: whoever came back sooner would be turned away again.
  if (!isCurrent(nowMs)) return turnAway(request, kNotCurrent, 4 * props_.retryMs);
  if (request.target.empty() || request.target[0] != '/') return turnAway(request, kBadRequest, 0);
  auto found = paths_.find(header(request.headers, "host"), request.target);
  if (!found) return turnAway(request, kNoService, 0);
  const auto& service = found->service;
  auto& path = found->path;
  auto hasPolicyFailed = false;
  if (!path.policy.empty()) {
    auto ruling = rule(path.policy, request);
    hasPolicyFailed = !ruling;
    if (ruling && ruling->isRefused) {
      ++figures_.refused;
      out_.answers.push_back({request.stream, request.method, request.keep, codeAnswer(kRefused, 0)});
      return;
    }
    if (ruling && ruling->keepMs) path.keepMs = std::min(path.keepMs, *ruling->keepMs);
  }
  Waiting w;
  w.service = service;
  w.pool = found->pool;
  w.configuration = held_.frame->revision.configuration;
  w.path = path;
  w.startMs = nowMs;
  w.untilMs = nowMs + found->deadlineMs;
  w.rollout = found->rollout;
  w.isNext = found->isNext;
  w.hasPolicyFailed = hasPolicyFailed;
  if (!props_.names.tryId.empty()) w.tryId = header(request.headers, props_.names.tryId);
  if (!props_.names.timeLeft.empty())
    if (auto left = header(request.headers, props_.names.timeLeft); !left.empty())
      w.untilMs = std::min(w.untilMs, nowMs + std::max<int64_t>(1, std::atoll(left.c_str())));
  w.untilMs = std::min(w.untilMs, std::max(nowMs + 1, endMs_));
  if (found->route) {
    w.isWrite = found->route->kind == core::RouteKind::kWriting;
    w.sends = policy::SendAccount(std::max<int64_t>(1, found->route->tries));
    w.rank = found->route->rank;
    w.routeKey = service + found->route->prefix;
    w.isShared = path.keepMs > 0;
    if (w.isShared && request.method == "GET" && has(request.headers, "range"))
      w.range = rangeOf(header(request.headers, "range"));
    if (w.range) std::erase_if(request.headers, [](const auto& h) { return lower(h.first) == "range"; });
    w.isShared = w.isShared && policy::isShareable(request.method, request.headers);
  } else {
    w.isWrite = isWrite(request.method);
    w.isShared = path.kind == core::UpstreamKind::kStore && path.keepMs > 0 &&
                 policy::isShareable(request.method, request.headers);
  }
  budgets_.of(*held_.frame, w.pool).asked(nowMs);
  auto isRangePastEnd = false;
  if (w.isShared) {
    auto copy = cache_->get(service, request.target, request.headers, nowMs, found->route ? w.pool : "");
    auto isHit = copy && nowMs - copy->bornMs < path.keepMs;
    isRangePastEnd = isHit && w.range && copy->status == 200 && w.range->first >= copy->body.size();
    if (isHit && !isRangePastEnd) {
      ++figures_.hits;
      Answer answer{copy->status, copy->headers, copy->body};
      answer.headers.emplace_back("Age", std::to_string((nowMs - copy->bornMs) / 1000));
      if (hasPolicyFailed) answer.headers.emplace_back("Dykestage-Policy", std::to_string(kPolicyFailed));
      if (w.range && answer.status == 200) answer = cut(std::move(answer), *w.range);
      identify(answer, w.tryId);
      measure(found->rollout, found->isNext, 0, answer.status, false, 0);
      auto untilMs = copy->bornMs + path.keepMs + props_.staleMs;
      if (!props_.servesStale) untilMs = std::min(untilMs, held_.asOfMs + props_.staleMs);
      out_.answers.push_back({request.stream, request.method, request.keep, std::move(answer), untilMs});
      return;
    }
    if (!isRangePastEnd) w.joinKey = service + "\n" + request.target + "\n" + w.pool;
  }
  if (nowMs >= turnAwayFromMs_) return turnAway(request, kEmptying, 0);
  w.purges = cache_->purges();
  auto joinKey = w.joinKey;
  if (waiting_.size() >= props_.requests) return turnAway(request, kEdgeFull, 0);
  w.request = std::move(request);
  if (isRangePastEnd) leaveRangeToUpstream(w);
  auto id = waiting_.add(std::move(w));
  if (!joinKey.empty()) {
    auto [it, isFirst] = joins_.try_emplace(joinKey, *id);
    if (!isFirst) {
      // Nobody joins what was asked for before a purge that may concern it.
      auto* leader = waiting_.get(it->second);
      if (leader && !cache_->mayBePurgedSince(leader->purges, service, leader->request.target)) {
        ++figures_.joins;
        leader->followers.push_back(*id);
        waiting_.get(*id)->leader = it->second;
        return;
      }
      it->second = *id;
    }
  }
  ask(*id, false, nowMs);
}

auto Edge::atLast(const Output::Answered& answered, int64_t nowMs) -> const Answer& {
  static const auto late = codeAnswer(kNotCurrent, 1);
  return answered.untilMs == 0 || nowMs < answered.untilMs ? answered.answer : late;
}

// Whom to ask, best first. A kept object and a key belong to one fetcher, whoever asks; the rest stays on this machine
// where it can, else near.
auto Edge::order(const Waiting& w, uint64_t id, int64_t nowMs) const -> std::vector<size_t> {
  constexpr size_t kMost = 3;
  auto key = header(w.request.headers, "idempotency-key");
  auto isOwned = w.isShared || (w.isWrite && !key.empty());
  std::vector<size_t> list;
  auto size = sizes_.find(w.routeKey);
  auto isSized = w.isShared && !w.routeKey.empty() && size != sizes_.end();
  auto isNearOnly = isSized && size->second > static_cast<double>(props_.zoneBytes);
  if (isForOwnLink(w) && self_ && !w.tried.count(props_.name)) return {*self_};
  // A large body is not handed on: every node on its way would hold it too.
  if (w.request.body.size() > kMostForwardedBytes && self_)
    return w.tried.count(props_.name) ? std::vector<size_t>() : std::vector<size_t>{*self_};
  auto hashed =
      neighbour::hash(isOwned ? w.service + "\n" + (w.isShared ? w.request.target : key) : std::to_string(id));
  auto dispatch = dispatches_.find(w.pool);
  if (!isOwned && !w.routeKey.empty() && dispatch != dispatches_.end() && !dispatch->second.nodes.empty()) {
    const auto& [nodes, slots, keepers] = dispatch->second;
    int64_t sum = 0;
    for (auto one : slots)
      sum += one;
    auto at = static_cast<int64_t>(hashed % static_cast<uint64_t>(std::max<int64_t>(1, sum)));
    size_t first = 0;
    while (first + 1 < nodes.size() && at >= slots[first])
      at -= slots[first++];
    for (size_t i = 0; i < nodes.size(); ++i)
      list.push_back(nodes[(first + i) % nodes.size()]);
    // Should all of them be away, the next ones by weight are the same for everybody.
    for (auto one : neighbour::heaviest(neighbour::hash("pool\n" + w.pool), fetcherHashes_, nodes.size() + kMost))
      list.push_back(one);
  }
  if (!isOwned && self_) list.push_back(*self_);
  std::vector<size_t> near;
  if (isNearOnly || !isOwned) {
    std::vector<uint64_t> hashes;
    std::vector<size_t> places;
    for (size_t i = 0; i < fetchers_.size(); ++i)
      if (fetchers_[i].isNear) hashes.push_back(fetcherHashes_[i]), places.push_back(i);
    for (auto at : neighbour::heaviest(hashed, hashes, kMost))
      near.push_back(places[at]);
  }
  for (auto at : near)
    list.push_back(at);
  for (auto at : neighbour::heaviest(hashed, fetcherHashes_, kMost + w.tried.size()))
    list.push_back(at);
  if (self_) list.push_back(*self_);
  std::vector<size_t> kept;
  for (auto at : list)
    if (!w.tried.count(fetchers_[at].name) && std::find(kept.begin(), kept.end(), at) == kept.end()) kept.push_back(at);
  auto isPassedOver = [&](const std::string& address) {
    return w.isShared ? isOwnerSilent(address, nowMs) : isSilent(address, nowMs);
  };
  std::stable_sort(kept.begin(), kept.end(), [&](auto a, auto b) {
    return isPassedOver(fetchers_[a].address) < isPassedOver(fetchers_[b].address);
  });
  return kept;
}

// Over a narrow link one node can't hand a large answer to many: each fetches it, within its part of the rate.
auto Edge::isForOwnLink(const Waiting& w) const -> bool {
  auto size = sizes_.find(w.routeKey);
  return w.isShared && !w.routeKey.empty() && size != sizes_.end() &&
         size->second > static_cast<double>(props_.linkBytes);
}

auto Edge::causeOf(const Waiting& w, bool isExtra) const -> neighbour::FetchCause {
  if (isExtra) return neighbour::FetchCause::kHedge;
  if (w.tried.size() > 1) return neighbour::FetchCause::kMoved;
  return isForOwnLink(w) ? neighbour::FetchCause::kLocal : neighbour::FetchCause::kOwner;
}

auto Edge::ask(uint64_t id, bool isExtra, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  auto order = this->order(w, id, nowMs);
  if (order.empty() && w.sends.openCount() > 0) return;  // whoever is at work on it goes on
  if (order.empty()) return giveUp(id, w.refusal, nowMs);
  if (nowMs >= w.untilMs) return giveUp(id, kDeadline, nowMs);
  // A write has one owner at a time, and all that is left goes with it. Of a read the edge keeps what it does not hand
  // on at once: for a second shield, should the first stay silent, or for the first one, should it ask for more.
  auto granted = w.isWrite ? w.sends.left() : 1;
  auto attempt = w.sends.open(granted);
  if (!attempt) return giveUp(id, w.refusal, nowMs);
  const auto& fetcher = fetchers_[order.front()];
  w.tried.insert(fetcher.name);
  w.attemptAddresses.push_back(fetcher.address);
  w.wasSent = true;
  w.askedMs = nowMs;
  if (w.firstAskedMs == 0) w.firstAskedMs = nowMs;
  auto isSelf = order.front() == self_;
  if (!isSelf) {
    auto& owing = owing_[fetcher.address];
    if (owing.sinceMs == 0) owing.sinceMs = nowMs;
    owing.lastAskedMs = nowMs;
  }
  Ask ask;
  ask.id = id;
  ask.attempt = *attempt;
  ask.life = props_.life;
  ask.service = w.service;
  ask.pool = w.pool;
  ask.configuration = w.configuration;
  ask.kind = w.path.kind;
  ask.method = w.request.method;
  ask.target = w.request.target;
  ask.headers = endToEnd(w.request.headers);
  if (!props_.names.timeLeft.empty())
    std::erase_if(ask.headers, [&](const auto& h) { return lower(h.first) == lower(props_.names.timeLeft); });
  ask.body = w.request.body;
  ask.remainingMs = w.untilMs - nowMs;
  ask.keepMs = w.path.keepMs;
  ask.purges = held_.frame->revision.purges;
  ask.isShared = w.isShared;
  ask.isExtra = isExtra;
  ask.isWrite = w.isWrite;
  ask.tries = granted;
  ask.reserve = w.sends.left();
  ask.upstreams.assign(w.upstreams.begin(), w.upstreams.end());
  ask.rank = w.rank;
  ask.cause = causeOf(w, isExtra);
  ask.tryId = w.tryId;
  // Of an object its owner alone spends the rate: another node would fetch it besides.
  ask.mayWait = w.isShared || order.size() == 1 || w.tried.size() >= std::min<size_t>(fetchers_.size(), kMostAsked);
  if (w.isWrite) ask.key = header(w.request.headers, "idempotency-key");
  ++figures_.asks;
  if (isExtra) {
    ++figures_.extras;
    budgets_.of(*held_.frame, w.pool).tried(nowMs);
  }
  out_.asks.push_back({fetcher.address, std::move(ask), isSelf});
}

// A frozen or cut-off shield keeps its lines up and says nothing. One that owes replies comes last, until it
// replies, or until it has been left alone for a while.
auto Edge::isSilent(const std::string& shield, int64_t nowMs) const -> bool {
  if (auto away = awayUntilMs_.find(shield); away != awayUntilMs_.end() && nowMs < away->second) return true;
  auto it = owing_.find(shield);
  return it != owing_.end() && it->second.sinceMs != 0 && nowMs - it->second.sinceMs >= props_.suspectMs &&
         nowMs - it->second.lastAskedMs < 8 * props_.suspectMs;
}

// An object's owner that waits for its origin's rate, or for a slow upstream, is not silent: another node would only
// fetch the object besides.
auto Edge::isOwnerSilent(const std::string& shield, int64_t nowMs) const -> bool {
  if (!isSilent(shield, nowMs)) return false;
  auto it = owing_.find(shield);
  return it == owing_.end() || it->second.aliveMs < 0 || nowMs - it->second.aliveMs >= props_.suspectMs;
}

auto Edge::heard(const std::string& shield, int64_t nowMs) -> void {
  if (auto owing = owing_.find(shield); owing != owing_.end()) owing->second.aliveMs = nowMs;
}

auto Edge::unsent(const Ask& unsentAsk, int64_t nowMs) -> void {
  auto* w = waiting_.get(unsentAsk.id);
  if (!w || !w->sends.close(unsentAsk.attempt, 0)) return;
  w->wasSent = w->sends.openCount() > 0;
  ask(unsentAsk.id, unsentAsk.isExtra, nowMs);
}

auto Edge::takeSendRequest(const std::string& from, const neighbour::SendRequest& request) -> void {
  if (request.life != props_.life) return;
  neighbour::SendGrant grant;
  grant.waiting = request.waiting;
  grant.shieldLife = request.shieldLife;
  // A request that has ended here grants nothing more, and its shield learns that at once.
  if (auto* w = waiting_.get(request.id)) {
    w->upstreams.insert(request.upstreams.begin(), request.upstreams.end());
    grant.granted = w->sends.raise(request.attempt, request.wanted);
    grant.reserve = w->sends.left();
    grant.upstreams.assign(w->upstreams.begin(), w->upstreams.end());
  }
  out_.grants.push_back({from, std::move(grant), self_ && from == fetchers_[*self_].address});
}

auto Edge::lost(const std::string& shield, int64_t nowMs) -> void {
  for (auto id : waiting_.ids()) {
    auto* w = waiting_.get(id);
    if (!w) continue;
    auto wasAsked = false;
    for (uint32_t attempt = 0; attempt < w->attemptAddresses.size(); ++attempt)
      if (w->attemptAddresses[attempt] == shield) wasAsked = w->sends.closeUnknown(attempt) || wasAsked;
    if (!wasAsked) continue;
    if (w->isWrite)
      giveUp(id, kUnknown, nowMs);
    else if (w->sends.openCount() > 0)
      continue;  // another shield is at work on it
    else if (w->sends.left() > 0 && budgets_.of(*held_.frame, w->pool).mayTry(nowMs))
      ask(id, true, nowMs);
    else
      giveUp(id, kUpstreamLost, nowMs);
  }
}

auto Edge::takeFrame(const HeldFrame& held, int64_t nowMs) -> void {
  auto isNew = held.frame != held_.frame;
  auto hasNewPaths = held.frame->revision.configuration != held_.frame->revision.configuration;
  auto hasNewUpstreams = held.frame->revision.upstreams != held_.frame->revision.upstreams;
  auto hasNewMembers = held.frame->revision.members != held_.frame->revision.members;
  auto before = hasNewMembers ? shields() : std::vector<std::string>();
  held_ = held;
  if (!isNew) return;
  if (hasNewPaths) paths_ = Paths(held_.frame);
  cache_->purge(held_.frame->purges, held_.frame->revision.purges, held_.frame->purgeFloor, held_.frame->services);
  if (hasNewMembers) {
    fetchers_.clear();
    fetcherHashes_.clear();
    self_.reset();
    for (const auto& [name, member] : held_.frame->members) {
      if (!core::fetches(member)) continue;
      if (props_.fetches && name == props_.name) self_ = fetchers_.size();
      fetchers_.push_back({name, member.address, member.site == props_.site});
      fetcherHashes_.push_back(neighbour::hash(name));
    }
  }
  if (hasNewMembers || hasNewPaths || hasNewUpstreams) {
    dispatches_.clear();
    if (props_.fetches)
      for (const auto& [name, pool] : held_.frame->routing.pools)
        dispatches_[name] = policy::dispatchOf(*held_.frame, name, fetcherHashes_);
  }
  if (hasNewMembers) awayUntilMs_.clear();
  scripts_.clear();
  std::set<std::string> running;
  for (const auto& [name, service] : held_.frame->services)
    running.insert(service.rollout);
  std::erase_if(samples_, [&](const auto& one) { return !running.count(one.first); });
  if (before.empty()) return;
  auto list = shields();
  std::set<std::string> after(list.begin(), list.end());
  for (const auto& shield : before)
    if (!after.count(shield)) lost(shield, nowMs);
}

auto Edge::takeReply(const std::string& from, const Reply& reply, int64_t nowMs) -> void {
  if (reply.life != props_.life) return;  // meant for an earlier life at this address
  owing_.erase(from);
  withdrawing_.erase({reply.id, reply.attempt});
  auto* w = waiting_.get(reply.id);
  if (!w) return;
  auto isFirst = w->sends.close(reply.attempt, reply.sends);
  auto isBroken = reply.code == kOk && !isSoundAnswer(reply);
  if (reply.code != kOk || isBroken) {
    if (isFirst) fail(reply.id, from, isBroken ? notWholeOf(reply) : reply, nowMs);
    return;
  }
  Answer answer{static_cast<int>(reply.status), reply.headers, reply.body};
  w->isFetched = reply.isFetched;
  if (!w->rollout.empty()) w->load = std::atof(header(reply.headers, props_.names.load).c_str());
  if (!w->routeKey.empty() && answer.status == 200) {
    auto& size = sizes_.try_emplace(w->routeKey, static_cast<double>(answer.body.size())).first->second;
    size = 0.9 * size + 0.1 * static_cast<double>(answer.body.size());
  }
  auto ageMs = reply.ageMs + std::max<int64_t>(0, nowMs - w->firstAskedMs - reply.heldMs);
  auto terms = policy::termsOf(answer.status, answer.headers, w->path.keepMs, props_.names.labels);
  if (!w->isShared || terms.keepMs <= 0 || reply.keepMs <= 0) return finish(reply.id, answer, nullptr, nowMs);
  auto copy = std::make_shared<const policy::Copy>(policy::Copy{answer.status, answer.headers, answer.body,
                                                                nowMs - ageMs, std::min(terms.keepMs, reply.keepMs),
                                                                reply.purges, terms.vary});
  // What was fetched by this very process is in the one cache already.
  // What is shared within the site stays with the node that it belongs to there: one copy a site.
  auto isLarge =
      !w->routeKey.empty() && answer.body.size() > props_.zoneBytes && answer.body.size() <= props_.linkBytes;
  auto isKept = (!isCacheOwn_ && self_ && from == fetchers_[*self_].address) || (isLarge && props_.fetches);
  if (!isKept)
    cache_->put(w->service, w->request.target, w->request.headers, copy, terms.labels,
                w->routeKey.empty() ? "" : w->pool);
  answer.headers.emplace_back("Age", std::to_string(ageMs / 1000));
  finish(reply.id, answer, copy.get(), nowMs);
}

auto Edge::fail(uint64_t id, const std::string& from, const Reply& reply, int64_t nowMs) -> void {
  auto* w = waiting_.get(id);
  auto code = ownCodeOf(reply);
  w->upstreams.insert(reply.upstreams.begin(), reply.upstreams.end());
  w->retryMs = reply.retryMs;
  if (code == kEmptying) awayUntilMs_[from] = nowMs + 4 * props_.suspectMs;
  auto isOtherAtWork = w->sends.openCount() > 0;
  if (reply.isUntouched && !isOtherAtWork) w->wasSent = false;
  // What a shield turned away untouched may go to another one; that costs the upstreams nothing.
  auto mayMove = reply.isUntouched && isTurnedAway(code) && code != kDeadline && w->sends.left() > 0;
  // A pool without an upstream that can take it now has none elsewhere either; other reasons are a fetcher's own.
  auto isPools = props_.fetches && (code == kNoUpstream || (w->isShared && code == kOriginRate));
  if (mayMove && !isPools && w->tried.size() < std::min<size_t>(fetchers_.size(), kMostAsked)) {
    w->refusal = code;
    return ask(id, false, nowMs);
  }
  if (!isOtherAtWork) giveUp(id, code, nowMs);
}

auto Edge::giveUp(uint64_t id, uint32_t code, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  // A write that was handed on may have run, whatever became of the answer.
  auto isOpen = isTurnedAway(code) || code == kDeadline || code == kUpstreamLost;
  if (w.isWrite && w.wasSent && isOpen) code = kUnknown;
  if (!w.isWrite && w.wasSent && promisesUnrun(code)) code = kUpstreamLost;
  ++refusals_[code];
  if (code == kUnknown)
    ++figures_.unknown;
  else
    ++figures_.turnedAway;
  // A read that ran nowhere is turned away: its caller may come back.
  if (code == kDeadline && !w.wasSent) code = kNoShield;
  finish(id, codeAnswerMs(code, w.retryMs > 0 ? w.retryMs : props_.retryMs), nullptr, nowMs);
}

// Only an upstream can refuse a range past the end: a failure that this node makes must not bear an upstream's seal.
auto Edge::isPastEnd(const Waiting& w, const Answer& answer) -> bool {
  return w.range && answer.status == 200 && w.range->first >= answer.body.size() &&
         header(answer.headers, "dykestage-code").empty();
}

auto Edge::leaveRangeToUpstream(Waiting& w) -> void {
  w.request.headers.emplace_back("Range", headerOf(*w.range));
  w.range.reset();
  w.isShared = false;
  w.joinKey.clear();
  w.tried.clear();
}

// Ends a request, and those that joined it: they share a copy that may be shared, or the same refusal; an
// answer meant for one caller alone sends them on their own way.
auto Edge::finish(uint64_t id, const Answer& answer, const policy::Copy* copy, int64_t nowMs) -> void {
  auto w = waiting_.take(id);
  if (auto it = joins_.find(w->joinKey); it != joins_.end() && it->second == id) joins_.erase(it);
  auto isRefusal = !header(answer.headers, "dykestage-code").empty();
  auto own = copy ? policy::variantOf(copy->vary, w->request.headers) : std::string();
  for (auto follower : std::exchange(w->followers, {})) {
    auto* f = waiting_.get(follower);
    if (!f) continue;
    f->leader.reset();
    if (copy && isPastEnd(*f, answer)) {
      leaveRangeToUpstream(*f);
      ask(follower, false, nowMs);
    } else if (isRefusal || (copy && policy::variantOf(copy->vary, f->request.headers) == own &&
                             nowMs - copy->bornMs < copy->keepMs)) {
      auto taken = waiting_.take(follower);
      this->answer(*taken, answer, nowMs);
    } else {
      f->joinKey.clear();
      ask(follower, false, nowMs);
    }
  }
  auto mayAskAgain =
      !w->hasLeft && nowMs < w->untilMs && w->sends.left() > 0 && budgets_.of(*held_.frame, w->pool).mayTry(nowMs);
  if (isPastEnd(*w, answer) && mayAskAgain) {
    leaveRangeToUpstream(*w);
    if (auto again = waiting_.add(std::move(*w))) return ask(*again, true, nowMs);
  }
  this->answer(*w, answer, nowMs);
}

auto Edge::measure(const std::string& rollout, bool isNext, int64_t tookMs, int status, bool isFetched, double load)
    -> void {
  if (rollout.empty()) return;
  auto& [old, next] = samples_[rollout];
  (isNext ? next : old).add(tookMs, status >= 500, isFetched, load);
}

// A policy that fails, or that does not end, leaves the path's own settings in force.
auto Edge::rule(const std::string& text, const Request& request) -> std::optional<policy::Ruling> {
  std::string reason;
  auto it = scripts_.find(text);
  if (it == scripts_.end()) it = scripts_.emplace(text, policy::Script::compile(text, reason)).first;
  auto host = canonicalHost(header(request.headers, "host"));
  auto ruling = it->second ? it->second->run(request.method, host, request.target, reason) : std::nullopt;
  if (!ruling) {
    ++figures_.policyFailures;
    if (it->second) scripts_.erase(it);  // what it left behind goes too
  }
  return ruling;
}

auto Edge::answer(Waiting& w, Answer answer, int64_t nowMs) -> void {
  if (w.hasPolicyFailed) answer.headers.emplace_back("Dykestage-Policy", std::to_string(kPolicyFailed));
  measure(w.rollout, w.isNext, nowMs - w.startMs, answer.status, w.isFetched, w.load);
  if (w.range && answer.status == 200 && header(answer.headers, "dykestage-code").empty())
    answer = cut(std::move(answer), *w.range);
  identify(answer, w.tryId);
  out_.answers.push_back({w.request.stream, w.request.method, w.request.keep, std::move(answer)});
}

// The seal vouches for the status that the upstream gave: a 416 of this node's own goes without it.
auto Edge::cut(Answer whole, const Range& range) const -> Answer {
  auto part = slice(std::move(whole), range);
  if (part.status == 416 && !props_.names.seal.empty())
    std::erase_if(part.headers, [&](const auto& h) { return lower(h.first) == lower(props_.names.seal); });
  return part;
}

// An answer that was fetched for one caller and shared with another bears the id of the one that gets it.
auto Edge::identify(Answer& answer, const std::string& tryId) const -> void {
  if (props_.names.tryId.empty() || tryId.empty()) return;
  for (auto& [name, value] : answer.headers)
    if (lower(name) == lower(props_.names.tryId)) value = tryId;
}

auto Edge::endBy(int64_t untilMs) -> void {
  endMs_ = untilMs;
  for (auto id : waiting_.ids()) {
    auto* w = waiting_.get(id);
    w->untilMs = std::min(w->untilMs, untilMs);
  }
}

// ---- clients that leave -----------------------------------------------------------------------------------
//
// A request whose client has left is withdrawn wherever it waits, unless others wait for the same answer. A write with
// an Idempotency-Key goes on: its client may come back for the outcome.

auto Edge::onClientLeft(uint64_t id, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  w.hasLeft = true;
  ++figures_.clientsLeft;
  if (w.isWrite && has(w.request.headers, "idempotency-key")) return;
  if (w.leader) return leaveLeader(id, nowMs);
  if (w.followers.empty()) withdraw(id, nowMs);
}

// Ends a request that joined another one; the other one ends too if only this one waited for it.
auto Edge::leaveLeader(uint64_t id, int64_t nowMs) -> void {
  auto leaderId = *waiting_.get(id)->leader;
  withdraw(id, nowMs);
  auto* leader = waiting_.get(leaderId);
  if (!leader) return;
  std::erase(leader->followers, id);
  if (leader->hasLeft && leader->followers.empty()) withdraw(leaderId, nowMs);
}

auto Edge::withdraw(uint64_t id, int64_t nowMs) -> void {
  auto w = waiting_.take(id);
  if (auto it = joins_.find(w->joinKey); it != joins_.end() && it->second == id) joins_.erase(it);
  for (uint32_t attempt = 0; attempt < w->attemptAddresses.size(); ++attempt)
    if (w->sends.isOpen(attempt)) withdrawAttempt(id, attempt, w->attemptAddresses[attempt], w->untilMs, nowMs);
  ++refusals_[kClientLeft];
  // Nobody reads it, as a rule. A client that has closed its own half alone learns that it has ended.
  out_.answers.push_back({w->request.stream, w->request.method, false, codeAnswer(kClientLeft, 0)});
}

auto Edge::withdrawAttempt(uint64_t id, uint32_t attempt, const std::string& address, int64_t untilMs, int64_t nowMs)
    -> void {
  auto isSame = [&](const Output::Asked& one) { return one.ask.id == id && one.ask.attempt == attempt; };
  if (std::erase_if(out_.asks, isSame) > 0) return;  // it has not left yet
  auto isSelf = self_ && address == fetchers_[*self_].address;
  out_.withdrawals.push_back({address, {id, attempt, props_.life}, isSelf});
  if (!isSelf) withdrawing_[{id, attempt}] = {address, nowMs, untilMs};
}

// A withdrawal may be lost like any message. Its request is over once its time is, whatever became of it.
auto Edge::repeatWithdrawals(int64_t nowMs) -> void {
  std::erase_if(withdrawing_, [&](const auto& one) { return nowMs >= one.second.untilMs; });
  for (auto& [key, withdrawing] : withdrawing_) {
    if (nowMs - withdrawing.sentMs < props_.retryMs) continue;
    withdrawing.sentMs = nowMs;
    out_.withdrawals.push_back({withdrawing.to, {key.first, key.second, props_.life}, false});
  }
}

auto Edge::tick(int64_t nowMs) -> void {
  repeatWithdrawals(nowMs);
  for (auto id : waiting_.ids()) {
    auto* w = waiting_.get(id);
    if (!w) continue;
    if (!w->hasLeft && w->request.stream && w->request.stream->hasLeft()) {
      onClientLeft(id, nowMs);
      continue;
    }
    if (nowMs >= w->untilMs) {
      giveUp(id, kDeadline, nowMs);
      continue;
    }
    auto isLate = w->wasSent && (nowMs - w->startMs) * 100 >= (w->untilMs - w->startMs) * props_.hedgePercent;
    // An owner that waits for its origin's rate is no slower than another node would be.
    auto isOwnerAlive =
        w->isShared && !w->attemptAddresses.empty() && !isOwnerSilent(w->attemptAddresses.back(), nowMs);
    if (w->isWrite || w->isHedged || !isLate || isOwnerAlive || w->sends.left() <= 0 ||
        w->tried.size() >= std::min<size_t>(fetchers_.size(), kMostAsked) ||
        !budgets_.of(*held_.frame, w->pool).mayTry(nowMs))
      continue;
    w->isHedged = true;
    ask(id, true, nowMs);
  }
}

}  // namespace dykestage::caller
