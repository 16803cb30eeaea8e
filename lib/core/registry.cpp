#include "core/registry.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <bit>
#include <limits>

#include "neighbour/post.hpp"
#include "operator/configuration.hpp"

namespace dykestage::core {

using namespace caller;
using neighbour::Bundle;
using neighbour::Have;
using neighbour::Poll;

namespace {
constexpr size_t kFiguresKept = 512;
constexpr double kCheckpointFill = 0.5;  // of the log, from which on a checkpoint is wanted

auto keep(std::deque<int64_t>& list, int64_t value) -> void {
  list.push_back(value);
  if (list.size() > kFiguresKept) list.pop_front();
}

auto quantile(const std::deque<int64_t>& list, size_t permille) -> double {
  if (list.empty()) return 0;
  std::vector<int64_t> sorted(list.begin(), list.end());
  std::sort(sorted.begin(), sorted.end());
  return static_cast<double>(sorted[std::min(sorted.size() - 1, sorted.size() * permille / 1000)]);
}

auto jsonAnswer(const std::string& body) -> Answer {
  return {200, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, body + "\n"};
}

auto revisionDetail(const OpResult& result) -> std::string {
  return ",\"revision\":" + std::to_string(result.revision.configuration);
}
auto rolloutDetail(const OpResult& result) -> std::string {
  return ",\"rollout\":\"" + result.rollout + "\"";
}

auto diskFrame(const std::string& bytes, uint64_t fresh) -> DiskFrame {
  auto frame = DiskFrame::from(bytes);
  if (bytes.empty()) frame.incarnation = fresh;
  return frame;
}

auto membershipOptions(const Registry::Props& props) -> Membership::Options {
  auto own = props.addresses.find(props.slot);
  auto address = props.address.empty() && own != props.addresses.end() ? own->second : props.address;
  return {props.slot, address, props.addresses, props.contacts, props.boundMs, props.mayForm};
}

auto hearsMajority(const tempo::Node& node) -> bool {
  return static_cast<size_t>(std::popcount(node.alive())) * 2 > node.members().size();
}

auto versionDetail(uint64_t version) -> std::string {
  return ",\"version\":" + std::to_string(version);
}
auto unknownAnswer(const std::string& detail = "") -> Answer {
  return codeAnswer(kChangeUnknown, 0, detail);
}
auto faultsAnswer(const std::vector<op::Fault>& faults) -> Answer {
  return codeAnswer(kInvalid, 0, ",\"faults\":" + op::writeFaults(faults));
}
}  // namespace

auto DiskFrame::from(const std::string& bytes) -> DiskFrame {
  return bytes.empty() ? DiskFrame{} : Reader(bytes).get<DiskFrame>();
}

auto DiskFrame::refusal(const std::string& bytes) -> std::string {
  if (bytes.empty()) return "";
  auto version = Reader(bytes).get<uint32_t>();
  if (version == kVersion) return "";
  return "the records are of version " + std::to_string(version) + ", this release reads " + std::to_string(kVersion);
}

Registry::Registry(Props props, const std::string& frame, const std::vector<std::string>& writes,
                   uint64_t freshIncarnation)
    : props_(std::move(props)),
      disk_(diskFrame(frame, freshIncarnation)),
      node_(std::make_unique<tempo::Node>(props_.core, props_.slot, disk_.incarnation, state_)),
      membership_(membershipOptions(props_), disk_.membership),
      giver_(props_.holdMs),
      life_(freshIncarnation) {
  if (!disk_.node.empty()) node_->load(disk_.node);
  for (const auto& write : writes)
    node_->replay(write);
  node_->replayed();
  taken_ = published_ = std::make_shared<Frame>(state_.frame());
  disk_.slot = props_.slot;
  disk_.addresses = props_.addresses;
  if (frame.empty()) saveFrame(true);
  LOG(INFO) << "core: Slot " << node_->slot() << ", incarnation " << disk_.incarnation
            << (frame.empty() ? ", blank disk." : ", disk read.");
}

auto Registry::isReady(int64_t nowMs) const -> bool {
  return node_->isMember() && ageMs(nowMs) < props_.staleMs;
}

// What was submitted within the bound has been ordered, which takes a majority; and a majority is heard, so that
// silence is noticed before the next submission fails.
auto Registry::hasContact(int64_t nowMs) const -> bool {
  if (!isReady(nowMs) || ageMs(nowMs) >= props_.contactMs) return false;
  return hearsMajority(*node_);
}

// ---- steps and the disk -------------------------------------------------------------------------------

auto Registry::saveFrame(bool isNeeded) -> void {
  disk_.node = node_->members().empty() ? std::string() : node_->save();
  disk_.membership = membership_.saved();
  DiskJob job{nextJob_++, {}, Writer().put(disk_).take(), isNeeded};
  lastJob_ = frameJob_ = job.number;
  out_.jobs.push_back(std::move(job));
}

// Gathers what the node asks for; it leaves when the writes of this step and all before are synced.
auto Registry::collect(int64_t nowMs) -> void {
  auto made = node_->take();
  if (made.frameTaken) {
    saveFrame(true);
    snapshotJob_ = lastJob_;
    snapshotEpoch_ = node_->epoch();
  } else if (!made.writes.empty()) {
    DiskJob job{nextJob_++, std::move(made.writes), {}, false};
    lastJob_ = job.number;
    out_.jobs.push_back(std::move(job));
  }
  Step step;
  step.job = lastJob_;
  std::map<std::string, Bundle> bundles;
  for (auto& send : made.sends) {
    // Whoever is ahead is asked where it was heard: the slot may be at another address in the epoch that is known here.
    const auto& known = send.message.kind == tempo::Kind::kFrameAsk ? heardFrom_ : node_->addresses();
    auto address = known.find(send.to);
    if (address == known.end()) continue;
    auto& bundle = bundles[address->second];
    bundle.slot = node_->slot();
    bundle.messages.push_back(std::move(send.message));
  }
  for (auto& [address, bundle] : bundles)
    step.letters.push_back({address, neighbour::kTempo, Writer().put(bundle).take()});
  step.answers = std::move(made.answers);
  if (ran_.empty() || state_.frame().revision != ran_.back().first) ran_.emplace_back(state_.frame().revision, nowMs);
  while (ran_.size() > 1 && nowMs - ran_[1].second > 2 * longestAckMs())
    ran_.pop_front();
  if (state_.frame().revision != taken_->revision) taken_ = step.published = std::make_shared<Frame>(state_.frame());
  if (!step.letters.empty() || !step.answers.empty() || step.published) steps_.push_back(std::move(step));
  if (wantsFrame_ && node_->isMember() && nowMs - frameTriedMs_ > props_.boundMs / 2) {
    wantsFrame_ = false;
    frameTriedMs_ = nowMs;
    saveFrame(false);
  }
  release(nowMs);
}

auto Registry::synced(uint64_t number, double fill, int64_t tookUs, int64_t nowMs) -> void {
  nowMs_ = nowMs;
  if (number > 0) {
    ++syncs_;
    keep(syncsUs_, tookUs);
  }
  syncedJob_ = std::max(syncedJob_, number);
  if (snapshotJob_ != 0 && syncedJob_ >= snapshotJob_) {
    snapshotJob_ = 0;
    membership_.onSnapshotSynced(snapshotEpoch_, nowMs);
  }
  auto isStart = number == 0;
  auto isWanted = fill > kCheckpointFill && (isStart || number >= frameJob_);
  // A log that was found full takes no write before a checkpoint has freed it.
  if (isStart && isWanted)
    saveFrame(false);
  else if (isWanted)
    wantsFrame_ = true;
  release(nowMs);
}

auto Registry::release(int64_t nowMs) -> void {
  while (!steps_.empty() && steps_.front().job <= syncedJob_) {
    auto step = std::move(steps_.front());
    steps_.pop_front();
    if (step.published) {
      published_ = step.published;
      noteMembers(nowMs);
    }
    for (auto& letter : step.letters)
      out_.letters.push_back(std::move(letter));
    for (auto& [reply, answer] : step.pages)
      reply(answer);
    for (auto& answer : step.answers) {
      auto it = running_.find(answer.id);
      if (it == running_.end()) continue;
      auto pending = std::move(it->second);
      running_.erase(it);
      keep(commitsMs_, nowMs - runningSinceMs_.at(answer.id));
      runningSinceMs_.erase(answer.id);
      if (answer.isVoid) {  // surely did not run: it is submitted again in the new epoch
        for (auto& one : pending)
          submit(std::move(one.op), std::move(one.done));
        continue;
      }
      auto results = Reader(answer.result).get<std::vector<OpResult>>();
      for (size_t i = 0; i < pending.size(); ++i)
        pending[i].done(i < results.size() ? &results[i] : nullptr, nowMs);
    }
    if (step.published) feed(nowMs);
  }
}

// ---- submissions --------------------------------------------------------------------------------------

auto Registry::submit(Op op, Done done) -> void {
  if (batch_.empty()) batchSinceMs_ = nowMs_;
  batch_.push_back({std::move(op), std::move(done)});
}

auto Registry::flushBatch(int64_t nowMs) -> void {
  if (batch_.empty() || nowMs - batchSinceMs_ < props_.batchMs || !node_->isMember()) return;
  // Nobody should have to wait for an order of a registry that can't end it.
  if (!node_->isCurrent()) {
    if (nowMs - batchSinceMs_ < props_.answerMs) return;
    for (auto& one : std::exchange(batch_, {}))
      one.done(nullptr, nowMs);
    return;
  }
  // Operations that touch the same partitions travel as one command.
  std::map<uint8_t, std::vector<Pending>> groups;
  for (auto& one : std::exchange(batch_, {}))
    groups[one.op.parts()].push_back(std::move(one));
  for (auto& [parts, group] : groups) {
    std::vector<Op> ops;
    for (auto& one : group)
      ops.push_back(one.op);
    auto id = node_->submit(parts, Writer().put(ops).take(), nowMs);
    running_[id] = std::move(group);
    runningSinceMs_[id] = nowMs;
  }
}

auto Registry::answer(const Who& who, const Answer& answer) -> void {
  out_.answers.push_back({who.stream, who.method, who.keep, answer, who.token});
}

// Whoever waits longer is given the late answer; what was submitted goes on.
auto Registry::within(int64_t forMs, const Who& who, Answer late) -> Reply {
  auto waiter = std::make_shared<Waiter>(Waiter{who, nowMs_ + forMs, std::move(late), false});
  waiters_.push_back(waiter);
  return [this, waiter](const Answer& a) {
    if (!std::exchange(waiter->isAnswered, true)) answer(waiter->who, a);
  };
}

// A submission that is under way here already is not submitted again: whoever repeats it is answered together with
// the first. Returns nothing then, else what answers all of them.
auto Registry::joined(const std::string& key, const Who& who, const std::string& detail) -> Reply {
  auto [it, isFirst] = underWay_.try_emplace(key);
  it->second.push_back(within(props_.boundMs * 9 / 20, who, unknownAnswer(detail)));
  if (!isFirst) return {};
  return [this, key](const Answer& a) {
    auto node = underWay_.extract(key);
    if (node)
      for (auto& reply : node.mapped())
        reply(a);
  };
}

// A page of what ran here: it may rest on something that is not synced yet, and leaves once it is.
auto Registry::page(Reply reply, const Answer& answer) -> void {
  Step step;
  step.job = lastJob_;
  step.pages.emplace_back(std::move(reply), answer);
  steps_.push_back(std::move(step));
}

auto Registry::json(const Who& who, const std::string& body) -> void {
  answer(who, jsonAnswer(body));
}

auto Registry::invalid(const Who& who, const std::vector<op::Fault>& faults) -> void {
  answer(who, faultsAnswer(faults));
}

// An operator's change: submitted, and answered once it is acknowledged. `detail` goes with every answer; `again`, if
// there is one, is tried when another change won; `told` adds what the result tells.
auto Registry::change(Op op, const std::string& body, Reply reply, std::string detail, std::function<void()> again,
                      std::function<std::string(const OpResult&)> told) -> void {
  op.print = neighbour::hash(body);
  auto id = op.changeId;
  auto mostMs = op.kind == OpKind::kPurge ? callAckMs() : longestAckMs();
  submit(std::move(op), [this, reply, id, detail, again, told, mostMs](const OpResult* result, int64_t nowMs) {
    // What ran here may not be synced here: whoever asks again learns it from a later order.
    if (!result) return reply(unknownAnswer(detail));
    auto known = std::optional(*result);
    if (known->outcome == Outcome::kIdReused) return reply(codeAnswer(kIdReused, 0, detail));
    if (known->outcome == Outcome::kRolloutRuns) return reply(codeAnswer(kRolloutRuns, 0, rolloutDetail(*known)));
    if (known->outcome == Outcome::kConflict) {
      ++conflicts_;
      if (again) return again();
      return reply(codeAnswer(kConflict, 0, detail + revisionDetail(*known)));
    }
    acknowledge(known->revision, mostMs, nowMs,
                [reply, detail, text = told(*known)] { reply(jsonAnswer("{\"code\":0" + detail + text + "}")); });
  });
}

// Without a base of its own a change is checked again against what won.
auto Registry::configure(const std::string& body, Who who, int tries) -> void {
  std::vector<op::Fault> faults;
  auto op = op::readConfiguration(body, published_->services, faults, state_.tenants());
  if (!op) return invalid(who, faults);
  auto hasBase = op::namesBase(body);
  if (!hasBase) op->base = published_->revision.configuration;
  if (op->changeId.empty()) op->changeId = "r" + std::to_string(life_) + "-" + std::to_string(++changeNumber_);
  op::Json id(cJSON_CreateString(op->changeId.c_str()), cJSON_Delete);
  std::function<void()> again;
  if (!hasBase && tries > 0) again = [this, body, who, tries] { configure(body, who, tries - 1); };
  auto detail = ",\"change\":" + op::print(id.get());
  change(std::move(*op), body, within(props_.answerMs, who, unknownAnswer(detail)), detail, again, revisionDetail);
}

auto Registry::submitTemplate(const std::string& body, Who who) -> void {
  std::vector<op::Fault> faults;
  auto op = op::readTemplate(body, faults);
  if (!op) return invalid(who, faults);
  change(std::move(*op), body, within(props_.answerMs, who, unknownAnswer()), "", {}, [](const OpResult& result) {
    return revisionDetail(result) + (result.rollout.empty() ? "" : rolloutDetail(result));
  });
}

auto Registry::setTenants(const std::string& body, Who who, int tries) -> void {
  std::vector<op::Fault> faults;
  auto op = op::readTenants(body, state_, faults);
  if (!op) return invalid(who, faults);
  auto hasBase = op::namesBase(body);
  if (!hasBase) op->base = state_.frame().revision.configuration;
  std::function<void()> again;
  if (!hasBase && tries > 0) again = [this, body, who, tries] { setTenants(body, who, tries - 1); };
  change(std::move(*op), body, within(props_.answerMs, who, unknownAnswer()), "", again, revisionDetail);
}

// Whoever sends the very same routing again joins the first, here and in the order.
auto Registry::setRouting(const std::string& body, Who who) -> void {
  std::vector<op::Fault> faults;
  auto op = op::readRouting(body, faults);
  if (!op) return invalid(who, faults);
  auto version = op->routing.version;
  auto reply =
      joined("routing " + std::to_string(version) + " " + std::to_string(op->print), who, versionDetail(version));
  if (reply) orderRouting(std::move(*op), reply, false);
}

// What a change names can be checked only against the routing at its base. One that this registry has not run yet is
// read first; one that is over has lost, unless it is this very change that was taken.
auto Registry::orderRouting(Op op, Reply reply, bool hasRead) -> void {
  const auto& now = state_.frame().routing;
  auto version = op.routing.version;
  if (!state_.taken(version, op.print)) {
    if (op.base != now.version && !op.isWhole && !hasRead) {
      Op read;
      read.kind = OpKind::kRead;
      return submit(std::move(read), [this, op, reply, version](const OpResult* result, int64_t) {
        if (!result) return reply(unknownAnswer(versionDetail(version)));
        orderRouting(op, reply, true);
      });
    }
    // Not checked against its base, it must not be ordered: its base may come into force meanwhile.
    if (op.base > now.version && !op.isWhole) return page(reply, codeAnswer(kNotCurrent, 1));
    if (op.base != now.version && !op.isWhole) {
      ++conflicts_;
      return page(reply, codeAnswer(kConflict, 0, versionDetail(now.version)));
    }
    std::vector<op::Fault> faults;
    if (!op::checkRouting(op, now, faults)) return page(reply, faultsAnswer(faults));
  }
  submit(std::move(op), [this, reply, version](const OpResult* result, int64_t nowMs) {
    if (!result || result->outcome == Outcome::kUndecided) return reply(unknownAnswer(versionDetail(version)));
    if (result->outcome == Outcome::kConflict) {
      ++conflicts_;
      return reply(codeAnswer(kConflict, 0, versionDetail(result->version)));
    }
    acknowledge(result->revision, longestAckMs(), nowMs,
                [reply, version] { reply(jsonAnswer("{\"code\":0" + versionDetail(version) + "}")); });
  });
}

// A linearizable read: whatever was acknowledged before it came is ordered before it.
auto Registry::afterRead(const Who& who, std::function<Answer()> make) -> void {
  Op read;
  read.kind = OpKind::kRead;
  submit(std::move(read),
         [this, make = std::move(make), reply = within(props_.boundMs * 9 / 20, who, codeAnswer(kNotCurrent, 1))](
             const OpResult* result, int64_t) {
           if (result) page(reply, make());
         });
}

// A large page is written once for all whose reads are executed together.
auto Registry::showFrame(const std::string& path, const Who& who, std::function<std::string()> write) -> void {
  afterRead(who, [this, path, write = std::move(write)] {
    const auto& revision = state_.frame().revision;
    auto known = pages_.find(path);
    if (known == pages_.end() || known->second.revision != revision)
      known = pages_.insert_or_assign(path, FramePage{revision, jsonAnswer(write()).body}).first;
    auto answer = jsonAnswer("");
    answer.body = known->second.body;
    return answer;
  });
}

auto Registry::showRouting(Who who) -> void {
  showFrame("/routing", who, [this] { return op::writeRouting(state_.frame().routing, state_.sources()); });
}

// A purge with an id can be sent again and joins the first; one without is another purge each time.
auto Registry::purge(const std::string& body, Who who) -> void {
  std::vector<op::Fault> faults;
  auto op = op::readPurge(body, faults);
  if (!op) return invalid(who, faults);
  auto reply = op->changeId.empty()
                   ? within(props_.boundMs * 9 / 20, who, unknownAnswer())
                   : joined("purge " + std::to_string(neighbour::hash(body)) + " " + op->changeId, who, "");
  if (!reply) return;
  change(std::move(*op), body, reply, "", {},
         [](const OpResult& result) { return ",\"purge\":" + std::to_string(result.revision.purges); });
}

auto Registry::announce(const std::string& body, Who who) -> void {
  std::vector<op::Fault> faults;
  auto op = op::readAnnouncement(body, faults);
  if (!op) return invalid(who, faults);
  auto stands = [](const std::string& state) { return R"({"code":0,"state":")" + state + R"("})"; };
  auto it = published_->upstreams.find(op->name);
  auto isKnown = it != published_->upstreams.end();
  auto number = op->upstream.number;
  if (isKnown && number > 0 && number < it->second.number) return json(who, stands("late"));
  auto isGone = op->kind == OpKind::kDeregister;
  if (!isGone) beats_[op->name] = nowMs_;
  if (isKnown && !isGone && !op->upstream.isEmptying) {
    // A beat that changes nothing is no command. How long it stays cold changes with each beat: the first counts.
    // "Emptying" is ordered each time: what this registry knows may be an earlier such state that is over.
    auto known = it->second;
    known.isHeld = op->upstream.isHeld;
    known.coldMs = op->upstream.coldMs;
    known.number = number;
    known.revision = op->upstream.revision;
    if (Writer().put(known).take() == Writer().put(op->upstream).take())
      return json(who, stands(it->second.isHeld ? "held" : "known"));
  }
  if (isKnown) op->base = it->second.revision;
  // An upstream waits no longer than a second.
  auto reply = within(props_.boundMs * 2 / 5, who, unknownAnswer());
  auto isLeaving = isGone || op->upstream.isEmptying;
  submit(*op, [this, reply, stands, isGone, isLeaving, number, name = op->name](const OpResult* result, int64_t nowMs) {
    if (!result) return reply(unknownAnswer());
    if (result->outcome == Outcome::kConflict) return reply(codeAnswer(kNotCurrent, 1));
    if (isGone) beats_.erase(name);
    auto known = state_.frame().upstreams.find(name);
    auto isListed = known != state_.frame().upstreams.end();
    auto text = std::string(isGone ? "gone" : "taken");
    if (!isGone && result->outcome == Outcome::kNoChange)
      text = !isListed || number < known->second.number ? "late" : known->second.isHeld ? "held" : "known";
    // Whoever leaves serves on for a while from this answer: by then no node may send to it. Nodes that stop acting on
    // old knowledge are no danger; those that go on have to have heard.
    if (!isLeaving || !props_.servesStale) return reply(jsonAnswer(stands(text)));
    Revision left;
    left.upstreams = isListed ? known->second.revision : state_.frame().revision.upstreams;
    acknowledge(left, callAckMs(), nowMs, [reply, answer = jsonAnswer(stands(text))] { reply(answer); });
  });
}

auto Registry::take(const Request& request, int64_t nowMs) -> void {
  nowMs_ = nowMs;
  Who who{request.stream, request.method, request.keep, request.token};
  auto path = request.target.substr(0, request.target.find('?'));
  auto isGet = request.method == "GET" || request.method == "HEAD";
  auto isPost = request.method == "POST";
  if (isGet && path == "/ready") {
    if (isReady(nowMs)) return json(who, "{\"ready\":true}");
    return answer(who, codeAnswer(node_->isMember() ? kNotCurrent : kNotMember, 1));
  }
  if (isGet && path == "/status") return json(who, statusPage(nowMs));
  if (!hasContact(nowMs)) return answer(who, codeAnswer(node_->isMember() ? kNotCurrent : kNotMember, 1));
  if (!node_->isCurrent()) return answer(who, codeAnswer(kNotCurrent, 1));
  if (running_.size() + batch_.size() + acks_.size() > props_.waiting) return answer(who, codeAnswer(kEdgeFull, 1));
  if (isGet) return show(path, who);
  if (isPost && path == "/routing") return setRouting(request.body, who);
  if (isPost && path == "/configuration") return configure(request.body, who, 5);
  if (isPost && path == "/templates") return submitTemplate(request.body, who);
  if (isPost && path == "/tenants") return setTenants(request.body, who, 5);
  if (isPost && path == "/purge") return purge(request.body, who);
  if (isPost && path == "/announce") return announce(request.body, who);
  answer(who, codeAnswer(kNoSuchPage, 0));
}

// Pages of ordered state, each read in its place in the order.
auto Registry::show(const std::string& path, const Who& who) -> void {
  const std::string rollouts = "/rollouts", changes = "/changes/";
  if (path == "/routing") return showRouting(who);
  if (path == "/configuration") return showFrame(path, who, [this] { return op::writeConfiguration(state_.frame()); });
  if (path == "/roster") return showFrame(path, who, [this] { return op::writeRoster(state_.frame()); });
  if (path == "/templates") return afterRead(who, [this] { return jsonAnswer(op::writeTemplates(state_)); });
  if (path.starts_with(rollouts)) {
    auto wanted = path.size() > rollouts.size() ? path.substr(rollouts.size() + 1) : "";
    return afterRead(who, [this, wanted] { return rolloutsAnswer(wanted); });
  }
  if (path.starts_with(changes))
    return afterRead(who, [this, id = path.substr(changes.size())] { return changeAnswer(id); });
  answer(who, codeAnswer(kNoSuchPage, 0));
}

auto Registry::rolloutsAnswer(const std::string& wanted) const -> Answer {
  std::string list;
  for (const auto& [id, rollout] : state_.rollouts())
    if (wanted.empty() || wanted == id) list += (list.empty() ? "" : ",") + op::writeRollout(id, rollout);
  if (!wanted.empty() && list.empty()) return codeAnswer(kNoSuchChange, 0);
  return jsonAnswer(wanted.empty() ? "[" + list + "]" : list);
}

auto Registry::changeAnswer(const std::string& id) const -> Answer {
  auto result = state_.changed(id);
  if (!result) return codeAnswer(kNoSuchChange, 0);
  return jsonAnswer("{\"code\":0" + revisionDetail(*result) + ",\"purge\":" + std::to_string(result->revision.purges) +
                    "}");
}

// ---- acknowledgement ----------------------------------------------------------------------------------

// Notes since when each member is listed under its present incarnation.
auto Registry::noteMembers(int64_t nowMs) -> void {
  const auto& members = published_->members;
  std::erase_if(listedSinceMs_, [&](const auto& one) { return !members.count(one.first); });
  for (const auto& [name, member] : members) {
    auto [it, isNew] = listedSinceMs_.try_emplace(name, member.incarnation, nowMs);
    if (!isNew && it->second.first != member.incarnation) it->second = {member.incarnation, nowMs};
  }
}

// Whether acknowledgements wait for a member. One that no registry has heard for a while is out of contact; silence
// before this registry was in contact itself, and before the member was listed, says nothing. One that is heard under
// another incarnation than the listed one has ended.
auto Registry::isAwaited(const std::string& name, const Member& member, int64_t nowMs) const -> bool {
  auto listed = listedSinceMs_.find(name);
  auto sinceMs = std::max(contactSinceMs_, listed == listedSinceMs_.end() ? 0 : listed->second.second);
  auto heard = heard_.find(name);
  if (heard != heard_.end()) {
    auto isSame = heard->second.incarnation == member.incarnation;
    if (!isSame && heard->second.heardMs > sinceMs) return false;
    if (isSame) sinceMs = std::max(sinceMs, heard->second.heardMs);
  }
  return nowMs - sinceMs <= silentMs();
}

// The newest revision that every member acts on, or every one that is awaited.
auto Registry::leastInForce(bool isOfAwaited, int64_t nowMs) const -> Revision {
  constexpr auto kAny = std::numeric_limits<uint64_t>::max();
  Revision least{kAny, kAny, kAny, kAny};
  for (const auto& [name, member] : published_->members) {
    if (isOfAwaited && !isAwaited(name, member, nowMs)) continue;
    auto heard = heard_.find(name);
    if (heard == heard_.end() || heard->second.incarnation != member.incarnation) return {};
    const auto& revision = heard->second.revision;
    least.configuration = std::min(least.configuration, revision.configuration);
    least.purges = std::min(least.purges, revision.purges);
    least.upstreams = std::min(least.upstreams, revision.upstreams);
    least.members = std::min(least.members, revision.members);
  }
  return least;
}

// A change is acknowledged when every node has it that may still act on what it had before. Nodes that stop acting once
// their knowledge is old are waited for until then. Nodes that go on with what they know are waited for as long as they
// are heard: an acknowledgement then binds nobody but those who were out of contact, and who have as long to catch up
// as a change may take.
auto Registry::acknowledge(const Revision& revision, int64_t mostMs, int64_t nowMs, std::function<void()> done)
    -> void {
  acks_.push_back({revision, std::min(nowMs, ranMs(revision)), mostMs, std::move(done)});
  checkAcks(nowMs);
}

// When a revision ran here: whoever repeats a change waits from then on, not from its repetition.
auto Registry::ranMs(const Revision& revision) const -> int64_t {
  auto it = std::find_if(ran_.begin(), ran_.end(), [&](const auto& one) { return one.first.covers(revision); });
  return it == ran_.end() ? nowMs_ : it->second;
}

// Once for all that has come in since the last tick: it looks at each member.
auto Registry::checkAcks(int64_t nowMs) -> void {
  if (acks_.empty()) return;
  auto inForce = leastInForce(props_.servesStale, nowMs);
  auto waiting = std::exchange(acks_, {});
  for (auto& ack : waiting) {
    auto isOver = nowMs - ack.sinceMs > ack.mostMs || inForce.covers(ack.revision);
    if (!isOver) {
      acks_.push_back(std::move(ack));
      continue;
    }
    ++acked_;
    ack.done();
  }
}

// ---- agents -------------------------------------------------------------------------------------------

auto Registry::onPoll(const std::string& from, Poll poll, int64_t nowMs) -> void {
  auto& heard = heard_[poll.name];
  hasNewsOfMembers_ = hasNewsOfMembers_ || !(heard.revision == poll.revision);
  heard = {poll.member.incarnation, poll.revision, nowMs, poll.probes, poll.samples, true, poll.silent};
  auto it = published_->members.find(poll.name);
  auto isMember = it != published_->members.end() && it->second == poll.member;
  if (!isMember && isReady(nowMs)) {
    auto& triedMs = joinTriedMs_[poll.name];
    if (triedMs == 0 || nowMs - triedMs > props_.boundMs / 4) {
      triedMs = nowMs;
      LOG(INFO) << "core: " << poll.name << " wants to join as " << poll.member.kind << ".";
      Op op;
      op.kind = OpKind::kJoin;
      op.name = poll.name;
      op.member = poll.member;
      submit(std::move(op), [](const OpResult*, int64_t) {});
    }
  }
  giver_.take(from, std::move(poll), nowMs);
  feed(nowMs);
}

auto Registry::feed(int64_t nowMs) -> void {
  for (auto& [to, feed] : giver_.give(*published_, asOfMs_, nowMs)) {
    feed.registries = membership_.addresses(*node_);
    out_.letters.push_back({to, neighbour::kFeed, Writer().put(feed).take(), true});
  }
}

// ---- letters ------------------------------------------------------------------------------------------

auto Registry::take(const std::string& from, uint8_t kind, const std::string& body, int64_t nowMs) -> void {
  nowMs_ = nowMs;
  Reader r(body);
  if (kind == neighbour::kTempo) {
    auto bundle = r.get<Bundle>();
    if (r.done()) onBundle(from, bundle, nowMs);
  } else if (kind == neighbour::kHello) {
    auto hello = r.get<neighbour::Hello>();
    if (!r.done()) return;
    membership_.onHello(hello, *node_, nowMs);
    followMembership(nowMs);
  } else if (kind == neighbour::kHave) {
    auto have = r.get<Have>();
    if (!r.done()) return;
    for (const auto& [name, told] : have.members) {
      auto& heard = heard_[name];
      auto heardMs = nowMs - told.second.second;
      const auto& revision = told.second.first;
      if (heard.incarnation == told.first) {
        // Ages wander by a millisecond on the way; what one life has in force only grows.
        if (revision.covers(heard.revision)) heard.revision = revision;
        heard.heardMs = std::max(heard.heardMs, heardMs);
      } else if (heardMs > heard.heardMs) {
        heard = {told.first, revision, heardMs, heard.probes, heard.samples, false, {}};
      }
    }
    for (const auto& [name, age] : have.beats)
      beats_[name] = std::max(beats_[name], nowMs - age);
    for (const auto& [name, told] : have.probes)
      heard_[name].probes = told;
    for (const auto& [name, told] : have.samples)
      heard_[name].samples = told;
    for (const auto& [name, told] : have.silent)
      heard_[name].silent = told;
  } else if (kind == neighbour::kClaims) {
    auto claims = r.get<neighbour::Claims>();
    if (r.done() && isReady(nowMs)) onClaims(from, std::move(claims));
  } else if (kind == neighbour::kGather) {
    // Whoever still gathers is told the list, or the present members once there are any.
    auto gather = r.get<neighbour::Gather>();
    const auto& known = node_->members().empty() ? props_.addresses : node_->addresses();
    if (!r.done() || gather.isDone || known.empty()) return;
    neighbour::Gather list;
    list.isDone = true;
    for (const auto& [slot, address] : known)
      list.addresses.push_back(address);
    out_.letters.push_back({from, neighbour::kGather, Writer().put(list).take(), true});
  } else if (kind == neighbour::kPoll) {
    auto poll = r.get<Poll>();
    if (r.done()) onPoll(from, std::move(poll), nowMs);
  }
}

// Keys are claimed by order. A registry that can't have it ordered says nothing: the shield asks another one.
auto Registry::onClaims(const std::string& from, neighbour::Claims claims) -> void {
  if (running_.size() + batch_.size() > props_.waiting) return;
  Op op;
  op.kind = OpKind::kKeys;
  op.name = claims.shield;
  op.incarnation = claims.life;
  op.keys = std::move(claims.keys);
  submit(std::move(op), [this, from, nonce = claims.nonce, life = claims.life](const OpResult* result, int64_t) {
    if (result)
      out_.letters.push_back(
          {from, neighbour::kClaimed, Writer().put(neighbour::Claimed{nonce, life, result->keys}).take(), true});
  });
}

// ---- membership ---------------------------------------------------------------------------------------

auto Registry::onBundle(const std::string& from, const Bundle& bundle, int64_t nowMs) -> void {
  if (bundle.slot != 0) heardFrom_[bundle.slot] = from;
  for (const auto& message : bundle.messages) {
    if (message.kind == tempo::Kind::kFrameAsk)
      sendSnapshot(from);
    else
      node_->receive(bundle.slot, message, nowMs);
  }
  collect(nowMs);
}

// What ran here may rest on something that is not synced yet; the snapshot leaves once it is.
auto Registry::sendSnapshot(const std::string& to) -> void {
  if (node_->members().empty()) return;
  tempo::Message snapshot;
  snapshot.kind = tempo::Kind::kFrame;
  snapshot.from = node_->incarnation();
  snapshot.epoch = node_->epoch();
  snapshot.frame = node_->save();
  Step step;
  step.job = lastJob_;
  step.letters.push_back({to, neighbour::kTempo, Writer().put(Bundle{node_->slot(), {snapshot}}).take(), true});
  steps_.push_back(std::move(step));
}

// Does what the membership asks for. Its hellos tell what is saved: they leave once that is synced.
auto Registry::followMembership(int64_t nowMs) -> void {
  auto made = membership_.output();
  if (made.isBootstrapped) {
    LOG(INFO) << "core: Bootstrapped with " << props_.addresses.size() << " replicas.";
    node_->form(membership_.saved().proposed, props_.addresses);
  }
  if (made.isBootstrapped || made.mustSave) saveFrame(true);
  // A learner's hellos promise nothing that is not synced; they need not wait for its disk.
  auto isPromise = node_->isMember() || !membership_.saved().proposed.empty();
  Step step;
  step.job = isPromise ? lastJob_ : 0;
  for (const auto& [to, hello] : made.hellos)
    step.letters.push_back({to, neighbour::kHello, Writer().put(hello).take()});
  for (const auto& to : made.snapshotRequests) {
    tempo::Message request;
    request.kind = tempo::Kind::kFrameAsk;
    request.from = node_->incarnation();
    step.letters.push_back({to, neighbour::kTempo, Writer().put(Bundle{node_->slot(), {request}}).take()});
  }
  if (!step.letters.empty()) steps_.push_back(std::move(step));
  if (made.replacement) node_->replace(*made.replacement, nowMs);
  collect(nowMs);
}

// Fencing: whoever finds that it was replaced while it was away drops its former self, and joins as a learner.
auto Registry::restartAsLearner(int64_t nowMs) -> void {
  auto former = std::to_string(disk_.incarnation);
  LOG(WARNING) << "core: Incarnation " << former << " was replaced while it was away; it goes on as a learner.";
  for (auto& one : std::exchange(batch_, {}))
    one.done(nullptr, nowMs);
  runningSinceMs_.clear();
  for (auto& [id, pending] : std::exchange(running_, {}))
    for (auto& one : pending)
      one.done(nullptr, nowMs);
  batch_.clear();  // what was tried again
  disk_.incarnation = neighbour::hash(former + " replaced in epoch " + std::to_string(node_->epoch()));
  state_ = State();
  props_.slot = 0;
  props_.addresses.clear();
  disk_.slot = 0;
  disk_.addresses.clear();
  node_ = std::make_unique<tempo::Node>(props_.core, 0, disk_.incarnation, state_);
  membership_.restartAsLearner();
  asOfMs_ = -1;
  snapshotJob_ = 0;
  ran_.clear();
  taken_ = published_ = std::make_shared<Frame>();
  saveFrame(true);
}

// ---- the watch duty -----------------------------------------------------------------------------------

// NOLINTNEXTLINE(readability-function-size): split with its module in issue 17
auto Registry::watch(int64_t nowMs) -> void {
  auto duty = state_.duty(kWatchDuty);
  // The duty is vacant when its holder's ticks stop being executed while others' go on.
  auto silence = static_cast<uint64_t>(props_.boundMs / props_.tickMs) * node_->members().size();
  auto isReplaced = std::none_of(node_->members().begin(), node_->members().end(),
                                 [&](const auto& one) { return one.second == duty.holder; });
  auto isVacant = duty.term == 0 || isReplaced || state_.ticks() > state_.lastTick(duty.holder) + silence;
  if (isVacant && !watches() && nowMs - claimMs_ > props_.boundMs) {
    claimMs_ = nowMs;
    Op op;
    op.kind = OpKind::kClaim;
    op.name = kWatchDuty;
    op.term = duty.term + 1;
    op.incarnation = disk_.incarnation;
    submit(std::move(op), [term = duty.term + 1](const OpResult* result, int64_t) {
      if (result && result->outcome == Outcome::kDone) LOG(INFO) << "core: Won the watch, term " << term << ".";
    });
  }
  if (!watches()) {
    watchSinceMs_ = -1;
    watched_.clear();  // a later term begins its steps anew
    return;
  }
  if (watchSinceMs_ < 0) watchSinceMs_ = nowMs;
  if (nowMs - watchedMs_ < props_.tickMs) return;
  watchedMs_ = nowMs;
  auto decide = [&](OpKind kind, const std::string& name, uint64_t incarnation) {
    Op op;
    op.kind = kind;
    op.name = name;
    op.incarnation = incarnation;
    op.term = duty.term;
    submit(std::move(op), [](const OpResult*, int64_t) {});
  };
  // Silence counts from the moment at which this holder could have heard: not before it won the watch, and not
  // before it saw the entry. Beats heard by other registries come a little after the entry itself.
  std::set<std::string> listed;
  auto silent = [&](const std::string& entry, int64_t heardMs) {
    listed.insert(entry);
    auto sinceMs = listedMs_.try_emplace(entry, nowMs).first->second;
    return nowMs - std::max({watchSinceMs_, sinceMs, heardMs});
  };
  auto shields = countOf(*published_, "shield");
  auto inForce = leastInForce(false, nowMs);
  std::set<std::string> stillHeld;
  for (const auto& [name, upstream] : published_->upstreams) {
    auto beat = beats_.find(name);
    auto silentMs = silent("upstream " + name, beat == beats_.end() ? 0 : beat->second);
    auto failing = int64_t{0};
    for (const auto& [member, heard] : heard_) {
      auto probe = heard.probes.find(name);
      if (published_->members.count(member) && probe != heard.probes.end() && !probe->second) ++failing;
    }
    auto isFailing = shields > 0 && failing * 2 > shields;
    if (silentMs > props_.beatMissMs || (isFailing && silentMs > props_.beatMissMs / 2)) {
      LOG(INFO) << "core: Signing off upstream " << name << ", silent for " << silentMs << " ms"
                << (isFailing ? ", probes fail." : ".");
      ++signOffs_;
      decide(OpKind::kSignOff, name, 0);
    }
    if (upstream.isHeld) {
      stillHeld.insert(name);
      auto since = heldSinceMs_.try_emplace(name, nowMs).first->second;
      Revision needed;
      needed.upstreams = published_->revision.upstreams;
      if (nowMs - since > heldMs() || (nowMs > since && inForce.covers(needed))) decide(OpKind::kRelease, name, 0);
    }
  }
  std::erase_if(heldSinceMs_, [&](const auto& one) { return !stillHeld.count(one.first); });
  for (const auto& [name, member] : published_->members) {
    auto it = heard_.find(name);
    // Whoever is heard under a new life is about to join in place of the old one; that is no silence.
    auto silentMs = silent("member " + name + " " + std::to_string(member.incarnation),
                           it == heard_.end() ? 0 : it->second.heardMs);
    // Two watchers who find it silent as well are half the proof.
    auto watchers = std::count_if(heard_.begin(), heard_.end(), [&, &name = name](const auto& one) {
      const auto& silent = one.second.silent;
      return nowMs - one.second.heardMs < props_.boundMs &&
             std::find(silent.begin(), silent.end(), name) != silent.end();
    });
    if (silentMs > props_.memberMissMs || (watchers >= 2 && silentMs > props_.memberMissMs / 2)) {
      LOG(INFO) << "core: Signing off " << member.kind << " " << name << ", silent for " << silentMs
                << " ms, watched in vain by " << watchers << ".";
      decide(OpKind::kLeave, name, member.incarnation);
    }
  }
  std::erase_if(listedMs_, [&](const auto& one) { return !listed.count(one.first); });
  for (const auto& [id, rollout] : state_.rollouts())
    if (rollout.state == policy::Verdict::kHold) judge(id, rollout, duty.term, nowMs);
  std::erase_if(watched_, [&](const auto& one) {
    auto it = state_.rollouts().find(one.first);
    return it == state_.rollouts().end() || it->second.state != policy::Verdict::kHold;
  });
  std::erase_if(beats_, [&](const auto& one) { return nowMs - one.second > 10 * props_.beatMissMs; });
}

// Compares what edges saw of both revisions since the step began, and submits a decision. What was decided, and
// by which figures, is ordered state; what is being watched is not, so that a new holder begins the step anew.
auto Registry::judge(const std::string& id, const Rollout& rollout, uint64_t term, int64_t nowMs) -> void {
  auto [it, isNew] = watched_.try_emplace(id);
  auto& watched = it->second;
  if (isNew || watched.step != rollout.step) {
    watched = Watched{rollout.step, nowMs, {}, false};
    for (const auto& [name, heard] : heard_)
      if (auto seen = heard.samples.find(id); seen != heard.samples.end())
        watched.before[name] = {heard.incarnation, seen->second};
    return;
  }
  if (watched.isDeciding) return;
  policy::Sample old, next;
  for (const auto& [name, heard] : heard_) {
    auto seen = heard.samples.find(id);
    if (seen == heard.samples.end()) continue;
    auto before = watched.before.find(name);
    auto isSame = before != watched.before.end() && before->second.first == heard.incarnation;
    old.join(isSame ? seen->second.first.since(before->second.second.first) : seen->second.first);
    next.join(isSame ? seen->second.second.since(before->second.second.second) : seen->second.second);
  }
  const auto& points = rollout.next.points;
  auto isLast = rollout.step + 1 >= points.stepsPermille.size();
  int64_t keepMs = 0;
  for (const auto& [name, service] : state_.frame().services) {
    if (service.rollout != id) continue;
    for (const auto& path : service.paths)
      keepMs = std::max(keepMs, path.keepMs);
    for (const auto& path : service.next.front().paths)
      keepMs = std::max(keepMs, path.keepMs);
  }
  auto judged = policy::judge(old, next, points, nowMs - watched.sinceMs, isLast, keepMs);
  if (judged.verdict == policy::Verdict::kHold) return;
  watched.isDeciding = true;
  LOG(INFO) << "rollout: " << id << " step " << rollout.step + 1 << ": " << judged.why << ".";
  Op op;
  op.kind = OpKind::kDecide;
  op.name = id;
  op.term = term;
  op.decision = {rollout.step, points.stepsPermille[rollout.step], judged.verdict, judged.why, term, old, next};
  submit(std::move(op), [this, id](const OpResult*, int64_t) {
    if (auto it = watched_.find(id); it != watched_.end()) it->second.isDeciding = false;
  });
}

// ---- time ---------------------------------------------------------------------------------------------

auto Registry::tick(int64_t nowMs) -> void {
  nowMs_ = nowMs;
  membership_.tick(*node_, nowMs);
  followMembership(nowMs);
  if (membership_.isReplaced(*node_) && !membership_.isLeaving()) restartAsLearner(nowMs);
  if (node_->isMember()) {
    // What a registry submits that hears no majority, the others would have to recover.
    if (nowMs - tickedMs_ >= props_.tickMs && node_->isCurrent() && hearsMajority(*node_)) {
      tickedMs_ = nowMs;
      Op op;
      op.kind = OpKind::kTick;
      op.incarnation = disk_.incarnation;
      op.atMs = nowMs;
      // Everything acknowledged before the tick was submitted is ordered before it.
      submit(std::move(op), [this, nowMs](const OpResult* result, int64_t) {
        if (result) asOfMs_ = std::max(asOfMs_, nowMs);
      });
    }
    if (isReady(nowMs) && node_->isCurrent()) watch(nowMs);
    // What nodes have in force is what acknowledgements wait for: news of it is told at once.
    if (nowMs - haveMs_ >= haveEveryMs()) {
      haveMs_ = nowMs;
      hasNewsOfMembers_ = false;
      Have have;
      for (const auto& [name, heard] : heard_)
        if (nowMs - heard.heardMs < props_.boundMs) {
          have.members[name] = {heard.incarnation, {heard.revision, nowMs - heard.heardMs}};
          if (heard.isOwn && !heard.probes.empty()) have.probes[name] = heard.probes;
          if (heard.isOwn && !heard.samples.empty()) have.samples[name] = heard.samples;
          if (heard.isOwn) have.silent[name] = heard.silent;
        }
      for (const auto& [name, beatMs] : beats_)
        if (nowMs - beatMs < props_.boundMs) have.beats[name] = nowMs - beatMs;
      auto body = Writer().put(have).take();
      for (const auto& [slot, address] : node_->addresses())
        if (slot != node_->slot()) out_.letters.push_back({address, neighbour::kHave, body});
    }
    flushBatch(nowMs);
    node_->tick(nowMs);
  }
  collect(nowMs);
  checkAcks(nowMs);
  feed(nowMs);
  for (auto it = runningSinceMs_.begin(); it != runningSinceMs_.end();) {
    if (nowMs - it->second < props_.answerMs) {
      ++it;
      continue;
    }
    auto pending = std::move(running_.at(it->first));
    running_.erase(it->first);
    it = runningSinceMs_.erase(it);
    for (auto& one : pending)
      one.done(nullptr, nowMs);
  }
  watchContact(nowMs);
  answerLate(nowMs);
  std::erase_if(heard_, [&](const auto& one) { return nowMs - one.second.heardMs > 20 * props_.memberMissMs; });
}

// Whoever waits is answered when its time is over, or when contact has been lost since it came: what was submitted
// goes on, and the caller asks another registry meanwhile.
auto Registry::answerLate(int64_t nowMs) -> void {
  auto isOut = !hasContact(nowMs);
  std::erase_if(waiters_, [&](const auto& waiter) {
    if (!waiter->isAnswered && (isOut || nowMs >= waiter->untilMs)) {
      waiter->isAnswered = true;
      answer(waiter->who, waiter->late);
    }
    return waiter->isAnswered;
  });
}

auto Registry::watchContact(int64_t nowMs) -> void {
  auto hasContactNow = hasContact(nowMs);
  if (std::exchange(hadContact_, hasContactNow) == hasContactNow) return;
  if (hasContactNow) contactSinceMs_ = nowMs;
  LOG(INFO) << "core: " << (hasContactNow ? "In contact with a majority." : "Out of contact with a majority")
            << (hasContactNow ? "" : ", last ordered " + std::to_string(ageMs(nowMs)) + " ms ago.");
}

auto Registry::dueMs() const -> int64_t {
  auto due = std::min(membership_.dueMs(*node_), giver_.dueMs());
  auto by = [&](int64_t atMs) { due = std::min(due, atMs); };
  if (node_->isMember()) {
    by(node_->dueMs());
    if (node_->isCurrent() && hearsMajority(*node_)) by(tickedMs_ + props_.tickMs);
    by(haveMs_ + haveEveryMs());
    if (!batch_.empty()) by(batchSinceMs_ + (node_->isCurrent() ? props_.batchMs : props_.answerMs));
  }
  for (const auto& ack : acks_)
    by(ack.sinceMs + ack.mostMs + 1);
  for (const auto& waiter : waiters_)
    by(waiter->untilMs);
  if (!waiters_.empty()) by(asOfMs_ + props_.contactMs);
  for (const auto& [id, sinceMs] : runningSinceMs_)
    by(sinceMs + props_.answerMs);
  return due;
}

auto Registry::statusPage(int64_t nowMs) const -> std::string {
  auto f = node_->figures();
  auto duty = state_.duty(kWatchDuty);
  op::StatusPage page("registry");
  auto number = [&](const char* key, double value) { page.number(key, value); };
  page.text("life", std::to_string(disk_.incarnation));
  page.flag("ready", isReady(nowMs));
  page.flag("member", node_->isMember());
  page.flag("contact", hasContact(nowMs));
  page.flag("watches", watches());
  number("slot", node_->slot());
  number("epoch", node_->epoch());
  number("ageMs", static_cast<double>(std::min<int64_t>(ageMs(nowMs), 1 << 30)));
  number("watchTerm", static_cast<double>(duty.term));
  page.revision(published_->revision);
  number("fast", static_cast<double>(f.fast));
  number("slow", static_cast<double>(f.slow));
  number("recovered", static_cast<double>(f.recovered));
  number("executed", static_cast<double>(f.executed));
  number("voided", static_cast<double>(f.voided));
  number("framesTaken", static_cast<double>(f.frames));
  number("pending", static_cast<double>(f.pending));
  number("unsynced", static_cast<double>(lastJob_ - syncedJob_));
  number("commitP50Ms", quantile(commitsMs_, 500));
  number("commitP99Ms", quantile(commitsMs_, 990));
  number("syncs", static_cast<double>(syncs_));
  number("syncP50Us", quantile(syncsUs_, 500));
  number("syncP99Us", quantile(syncsUs_, 990));
  number("signOffs", static_cast<double>(signOffs_));
  number("keys", static_cast<double>(state_.keys()));
  number("conflicts", static_cast<double>(conflicts_));
  number("acknowledged", static_cast<double>(acked_));
  if (props_.addToStatus) props_.addToStatus(page);
  return page.take();
}

}  // namespace dykestage::core
