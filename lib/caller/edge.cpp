#include "caller/edge.hpp"

#include <algorithm>
#include <cstdlib>

#include "neighbour/post.hpp"

namespace dykestage::caller {

using neighbour::Ask;
using neighbour::Reply;

auto isWrite(const std::string& method) -> bool { return method != "GET" && method != "HEAD" && method != "OPTIONS" && method != "TRACE"; }

Paths::Paths(std::shared_ptr<const core::Frame> frame) : frame_(std::move(frame)) {
  for (auto it = frame_->services.begin(); it != frame_->services.end(); ++it)
    for (const auto& host : it->second.hosts) byHost_.try_emplace(lower(host), it);
}

auto Paths::find(const std::string& host, const std::string& target) const -> std::optional<Found> {
  auto it = byHost_.find(lower(host.substr(0, host.find(':'))));
  if (it == byHost_.end()) return std::nullopt;
  const auto& [service, stable] = *it->second;
  Found found;
  found.service = service;
  found.rollout = stable.rollout;
  auto slot = neighbour::hash(stable.rollout + "\n" + service + "\n" + target.substr(0, target.find('?'))) % 1000;
  found.isNext = !stable.next.empty() && static_cast<int64_t>(slot) < stable.slicePermille;
  const auto& props = found.isNext ? stable.next.front() : stable;
  const core::Path* best = nullptr;
  for (const auto& path : props.paths)
    if (target.rfind(path.prefix, 0) == 0 && (!best || path.prefix.size() > best->prefix.size())) best = &path;
  if (!best) return std::nullopt;
  found.path = *best;
  found.deadlineMs = props.deadlineMs;
  return found;
}

auto Edge::shields() const -> std::vector<std::string> { return core::addressesOf(*held_.frame, "shield"); }

auto Edge::take(Request request, int64_t nowMs) -> void {
  ++figures_.requests;
  auto turnAway = [&](uint32_t code) {
    ++figures_.turnedAway;
    out_.answers.push_back({request.stream, request.method, request.keep, codeAnswer(code, 1)});
  };
  if (!isCurrent(nowMs)) return turnAway(kNotCurrent);
  if (request.target.empty() || request.target[0] != '/') return turnAway(kBadRequest);
  auto found = paths_.find(header(request.headers, "host"), request.target);
  if (!found) return turnAway(kNoService);
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
  w.path = path;
  w.startMs = nowMs;
  w.untilMs = nowMs + found->deadlineMs;
  w.rollout = found->rollout;
  w.isNext = found->isNext;
  w.hasPolicyFailed = hasPolicyFailed;
  w.isWrite = isWrite(request.method);
  w.isShared = path.kind == core::UpstreamKind::kStore && path.keepMs > 0 && policy::isShareable(request.method, request.headers);
  if (w.isShared) {
    const auto* copy = cache_.get(service, request.target, request.headers, nowMs);
    if (copy && nowMs - copy->bornMs < path.keepMs) {
      ++figures_.hits;
      Answer answer{copy->status, copy->headers, copy->body};
      answer.headers.emplace_back("Age", std::to_string((nowMs - copy->bornMs) / 1000));
      if (hasPolicyFailed) answer.headers.emplace_back("Dykestage-Policy", std::to_string(kPolicyFailed));
      measure(found->rollout, found->isNext, 0, answer.status, false, 0);
      auto untilMs = std::min(held_.asOfMs + props_.staleMs, copy->bornMs + path.keepMs + props_.staleMs);
      out_.answers.push_back({request.stream, request.method, request.keep, std::move(answer), untilMs});
      return;
    }
    w.joinKey = service + "\n" + request.target;
  }
  w.purges = cache_.purges();
  auto joinKey = w.joinKey;
  auto stream = request.stream;
  auto method = request.method;
  auto keep = request.keep;
  w.request = std::move(request);
  auto id = waiting_.add(std::move(w));
  if (!id) {
    ++figures_.turnedAway;
    out_.answers.push_back({stream, method, keep, codeAnswer(kEdgeFull, 1)});
    return;
  }
  budgets_.of(*held_.frame, service).asked(nowMs);
  if (!joinKey.empty()) {
    auto [it, isFirst] = joins_.try_emplace(joinKey, *id);
    if (!isFirst) {
      // Nobody joins what was asked for before a purge that may concern it.
      auto* leader = waiting_.get(it->second);
      if (leader && !cache_.mayBePurgedSince(leader->purges, service, leader->request.target)) {
        ++figures_.joins;
        leader->followers.push_back(*id);
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

auto Edge::ask(uint64_t id, bool isExtra, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  std::vector<std::string> names;
  for (const auto& [name, member] : held_.frame->members)
    if (member.kind == "shield" && !w.tried.count(name)) names.push_back(name);
  if (names.empty()) return giveUp(id, w.refusal, nowMs);
  if (nowMs >= w.untilMs) return giveUp(id, kDeadline, nowMs);
  // A kept object and a key belong to one shield, whoever asks; the rest stays near.
  auto key = header(w.request.headers, "idempotency-key");
  std::vector<std::string> order;
  if (w.isShared)
    order = neighbour::rendezvous(w.service + "\n" + w.request.target, names);
  else if (w.isWrite && !key.empty())
    order = neighbour::rendezvous(w.service + "\n" + key, names);
  else {
    order = neighbour::rendezvous(std::to_string(id), names);
    std::stable_sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
      const auto& members = held_.frame->members;
      return (members.at(a).site == props_.site) > (members.at(b).site == props_.site);
    });
  }
  const auto& members = held_.frame->members;
  std::stable_sort(order.begin(), order.end(),
                   [&](const auto& a, const auto& b) { return isSilent(members.at(a).address, nowMs) < isSilent(members.at(b).address, nowMs); });
  const auto& member = members.at(order.front());
  w.tried.insert(order.front());
  w.shield = member.address;
  w.wasSent = true;
  w.askedMs = nowMs;
  if (w.firstAskedMs == 0) w.firstAskedMs = nowMs;
  auto& owing = owing_[member.address];
  if (owing.sinceMs == 0) owing.sinceMs = nowMs;
  owing.lastAskedMs = nowMs;
  Ask ask;
  ask.id = id;
  ask.life = props_.life;
  ask.service = w.service;
  ask.kind = w.path.kind;
  ask.method = w.request.method;
  ask.target = w.request.target;
  ask.headers = endToEnd(w.request.headers);
  ask.body = w.request.body;
  ask.remainingMs = w.untilMs - nowMs;
  ask.keepMs = w.path.keepMs;
  ask.purges = held_.frame->revision.purges;
  ask.isShared = w.isShared;
  ask.isExtra = isExtra;
  if (w.isWrite) ask.key = key;
  ++figures_.asks;
  if (isExtra) {
    ++figures_.extras;
    budgets_.of(*held_.frame, w.service).tried(nowMs);
  }
  out_.asks.push_back({w.shield, std::move(ask)});
}

// A frozen or cut-off shield keeps its lines up and says nothing. One that owes replies comes last, until it
// replies, or until it has been left alone for a while.
auto Edge::isSilent(const std::string& shield, int64_t nowMs) const -> bool {
  auto it = owing_.find(shield);
  return it != owing_.end() && it->second.sinceMs != 0 && nowMs - it->second.sinceMs >= props_.suspectMs &&
         nowMs - it->second.lastAskedMs < 8 * props_.suspectMs;
}

auto Edge::unsent(uint64_t id, int64_t nowMs) -> void {
  auto* w = waiting_.get(id);
  if (!w) return;
  w->wasSent = false;
  ask(id, false, nowMs);
}

auto Edge::lost(const std::string& shield, int64_t nowMs) -> void {
  for (auto id : waiting_.ids()) {
    auto* w = waiting_.get(id);
    if (!w || w->shield != shield || !w->wasSent) continue;
    if (w->isWrite)
      giveUp(id, kUnknown, nowMs);
    else if (budgets_.of(*held_.frame, w->service).mayTry(nowMs))
      ask(id, true, nowMs);
    else
      giveUp(id, kUpstreamLost, nowMs);
  }
}

auto Edge::takeFrame(const HeldFrame& held, int64_t nowMs) -> void {
  auto before = shields();
  auto isNew = held.frame != held_.frame;
  auto hasNewPaths = held.frame->revision.configuration != held_.frame->revision.configuration;
  held_ = held;
  if (!isNew) return;
  if (hasNewPaths) paths_ = Paths(held_.frame);
  cache_.purge(held_.frame->purges, held_.frame->revision.purges, held_.frame->purgeFloor);
  scripts_.clear();
  std::set<std::string> running;
  for (const auto& [name, service] : held_.frame->services) running.insert(service.rollout);
  std::erase_if(samples_, [&](const auto& one) { return !running.count(one.first); });
  auto after = shields();
  for (const auto& shield : before)
    if (std::find(after.begin(), after.end(), shield) == after.end()) lost(shield, nowMs);
}

auto Edge::takeReply(const std::string& from, const Reply& reply, int64_t nowMs) -> void {
  if (reply.life != props_.life) return;  // meant for an earlier life at this address
  owing_.erase(from);
  auto* w = waiting_.get(reply.id);
  if (!w) return;
  if (reply.code != kOk) {
    // What a shield turned away untouched may go to another one; that costs the upstreams nothing.
    auto mayMove = reply.isUntouched && isTurnedAway(reply.code) && reply.code != kDeadline;
    if (mayMove && w->tried.size() < shields().size()) {
      w->wasSent = false;
      w->refusal = reply.code;
      return ask(reply.id, false, nowMs);
    }
    if (reply.isUntouched) w->wasSent = false;
    return giveUp(reply.id, reply.code, nowMs);
  }
  Answer answer{static_cast<int>(reply.status), reply.headers, reply.body};
  w->isFetched = reply.isFetched;
  w->load = std::atof(header(reply.headers, "dykestage-load").c_str());
  auto ageMs = reply.ageMs + std::max<int64_t>(0, nowMs - w->firstAskedMs - reply.heldMs);
  auto terms = policy::termsOf(answer.status, answer.headers, w->path.keepMs);
  if (!w->isShared || terms.keepMs <= 0 || reply.keepMs <= 0) return finish(reply.id, answer, nullptr, nowMs);
  policy::Copy copy{answer.status, answer.headers, answer.body, nowMs - ageMs, std::min(terms.keepMs, reply.keepMs), reply.purges, terms.vary};
  cache_.put(w->service, w->request.target, w->request.headers, copy, terms.labels);
  answer.headers.emplace_back("Age", std::to_string(ageMs / 1000));
  finish(reply.id, answer, &copy, nowMs);
}

auto Edge::giveUp(uint64_t id, uint32_t code, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  // A write that was handed on may have run, whatever became of the answer.
  if (w.isWrite && w.wasSent && (isTurnedAway(code) || code == kDeadline)) code = kUnknown;
  if (code == kUnknown)
    ++figures_.unknown;
  else
    ++figures_.turnedAway;
  finish(id, codeAnswer(code, 1), nullptr, nowMs);
}

// Ends a request, and those that joined it: they share a copy that may be shared, or the same refusal; an
// answer meant for one caller alone sends them on their own way.
auto Edge::finish(uint64_t id, const Answer& answer, const policy::Copy* copy, int64_t nowMs) -> void {
  auto w = waiting_.take(id);
  if (auto it = joins_.find(w->joinKey); it != joins_.end() && it->second == id) joins_.erase(it);
  auto isRefusal = !header(answer.headers, "dykestage-code").empty();
  auto own = copy ? policy::variantOf(copy->vary, w->request.headers) : std::string();
  for (auto follower : w->followers) {
    auto* f = waiting_.get(follower);
    if (!f) continue;
    if (isRefusal || (copy && policy::variantOf(copy->vary, f->request.headers) == own && nowMs - copy->bornMs < copy->keepMs)) {
      auto taken = waiting_.take(follower);
      this->answer(*taken, answer, nowMs);
    } else {
      f->joinKey.clear();
      ask(follower, false, nowMs);
    }
  }
  this->answer(*w, answer, nowMs);
}

auto Edge::measure(const std::string& rollout, bool isNext, int64_t tookMs, int status, bool isFetched, double load) -> void {
  if (rollout.empty()) return;
  auto& [old, next] = samples_[rollout];
  (isNext ? next : old).add(tookMs, status >= 500, isFetched, load);
}

// A policy that fails, or that does not end, leaves the path's own settings in force.
auto Edge::rule(const std::string& text, const Request& request) -> std::optional<policy::Ruling> {
  std::string reason;
  auto it = scripts_.find(text);
  if (it == scripts_.end()) it = scripts_.emplace(text, policy::Script::compile(text, reason)).first;
  auto ruling = it->second ? it->second->run(request.method, header(request.headers, "host"), request.target, reason) : std::nullopt;
  if (!ruling) {
    ++figures_.policyFailures;
    if (it->second) scripts_.erase(it);  // what it left behind goes too
  }
  return ruling;
}

auto Edge::answer(Waiting& w, Answer answer, int64_t nowMs) -> void {
  if (w.hasPolicyFailed) answer.headers.emplace_back("Dykestage-Policy", std::to_string(kPolicyFailed));
  measure(w.rollout, w.isNext, nowMs - w.startMs, answer.status, w.isFetched, w.load);
  out_.answers.push_back({w.request.stream, w.request.method, w.request.keep, std::move(answer)});
}

auto Edge::tick(int64_t nowMs) -> void {
  for (auto id : waiting_.ids()) {
    auto* w = waiting_.get(id);
    if (!w) continue;
    if (nowMs >= w->untilMs) {
      giveUp(id, kDeadline, nowMs);
      continue;
    }
    auto isLate = w->wasSent && (nowMs - w->startMs) * 100 >= (w->untilMs - w->startMs) * props_.hedgePercent;
    if (w->isWrite || w->isHedged || !isLate || w->tried.size() >= shields().size() || !budgets_.of(*held_.frame, w->service).mayTry(nowMs)) continue;
    w->isHedged = true;
    ask(id, true, nowMs);
  }
}

}  // namespace dykestage::caller
