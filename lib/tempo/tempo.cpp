#include "tempo/tempo.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

namespace dykestage::tempo {

namespace {
enum class Write : uint8_t { kCommand, kShare, kClock };

constexpr uint32_t kTriesOfOneRecoverer = 2;

template <typename F>
auto eachPart(uint8_t parts, F&& f) -> void {
  for (uint8_t part = 0; part < kParts; ++part)
    if (parts & (1u << part)) f(part);
}
}  // namespace

auto Ranges::add(uint64_t first, uint64_t last) -> void {
  auto it = ranges_.upper_bound(first);
  if (it != ranges_.begin() && std::prev(it)->second + 1 >= first) --it;
  while (it != ranges_.end() && it->first <= last + 1) {
    first = std::min(first, it->first);
    last = std::max(last, it->second);
    it = ranges_.erase(it);
  }
  ranges_[first] = last;
}

auto Ranges::join(const Ranges& other) -> void {
  for (const auto& [first, last] : other.ranges_)
    add(first, last);
}

auto Ranges::has(uint64_t n) const -> bool {
  auto it = ranges_.upper_bound(n);
  return it != ranges_.begin() && std::prev(it)->second >= n;
}

Node::Node(Props props, Slot slot, Incarnation incarnation, Machine& machine)
    : props_(props), mostFaults_(props.faults), slot_(slot), incarnation_(incarnation), machine_(machine) {}

auto Node::form(const std::map<Slot, Incarnation>& members, const std::map<Slot, std::string>& addresses) -> void {
  adoptMembers(members, addresses);
}

// The slot, the number of replicas and how many of them may fail follow from who the members are.
auto Node::adoptMembers(std::map<Slot, Incarnation> members, std::map<Slot, std::string> addresses) -> void {
  for (const auto& [slot, incarnation] : members) {
    auto former = members_.find(slot);
    if (former == members_.end() || former->second == incarnation) continue;
    // A successor is not believed alive, or current, before it is heard.
    heardMs_[slot] = tickedMs_ - props_.suspectMs;
    alive_ &= ~bit(slot);
    peers_.erase(slot);
  }
  members_ = std::move(members);
  addresses_ = std::move(addresses);
  slot_ = slotOf(incarnation_);
  if (members_.empty()) return;
  props_.replicas = static_cast<uint32_t>(members_.size());
  props_.faults = std::min(mostFaults_, (props_.replicas - 1) / 2);
}

auto Node::isMember() const -> bool {
  auto it = members_.find(slot_);
  return it != members_.end() && it->second == incarnation_;
}

auto Node::silentMs(Slot slot, int64_t nowMs) const -> int64_t {
  auto heard = heardMs_.find(slot);
  return heard == heardMs_.end() ? 0 : nowMs - heard->second;
}

auto Node::slotOf(Incarnation incarnation) const -> Slot {
  for (const auto& [slot, inc] : members_)
    if (inc == incarnation) return slot;
  return 0;
}

auto Node::others() const -> std::vector<Slot> {
  std::vector<Slot> list;
  for (const auto& [slot, inc] : members_)
    if (slot != slot_) list.push_back(slot);
  return list;
}

// ---- submission and commit (§3.1, appendix B) ---------------------------------------------------------

auto Node::place() const -> uint32_t {
  auto quorum = bit(slot_);
  auto count = 1u;
  // Usable replicas come first, then living ones, starting behind this one so that load is spread.
  auto take = [&](auto&& isWanted) {
    for (uint32_t i = 1; i <= props_.replicas && count < fastSize(); ++i) {
      auto slot = (slot_ - 1 + i) % props_.replicas + 1;
      if ((quorum & bit(slot)) || !members_.count(slot) || !isWanted(slot)) continue;
      quorum |= bit(slot);
      ++count;
    }
  };
  take([&](Slot slot) { return isUsable(slot); });
  take([&](Slot slot) { return (alive_ & bit(slot)) != 0; });
  take([](Slot) { return true; });
  return quorum;
}

auto Node::submit(uint8_t parts, std::string payload, int64_t nowMs, uint8_t kind) -> Id {
  Command command{Id{incarnation_, nextNumber_++}, epoch_, parts, place(), kind, std::move(payload)};
  auto& e = entry(command.id, nowMs);
  e.command = command;
  e.isOwn = true;
  noteCommand(command);
  // MPropose to the fast quorum with Clock+1; MPayload to the others. Self-addressed ones act at once.
  eachPart(parts, [&](uint8_t part) {
    auto stamp = parts_[part].clock + 1;
    e.shares[part].phase = Phase::kPropose;
    e.shares[part].stamp = propose(part, command.id, stamp);
    e.shares[part].proposal = e.shares[part].stamp;
    e.shares[part].acks[slot_] = e.shares[part].stamp;
    note(command.id, e, part);
    for (auto slot : others()) {
      auto inQuorum = (command.quorum & bit(slot)) != 0;
      auto m = make(inQuorum ? Kind::kPropose : Kind::kPayload, command.id, part);
      m.command = command;
      m.stamp = e.shares[part].stamp;
      send(slot, std::move(m));
    }
  });
  // MBump: a proposal at one partition bumps the co-located clocks of the command's other partitions.
  Stamp highest = 0;
  eachPart(parts, [&](uint8_t part) { highest = std::max(highest, e.shares[part].proposal); });
  eachPart(parts, [&](uint8_t part) { bump(part, highest); });
  eachPart(parts, [&](uint8_t part) { decide(command.id, e, part, nowMs); });
  execute();
  return command.id;
}

auto Node::replace(const Replacement& replacement, int64_t nowMs) -> Id {
  return submit(kAllParts, Writer().put(replacement).take(), nowMs, kReplaceReplica);
}

auto Node::entry(const Id& id, int64_t nowMs) -> Entry& {
  auto [it, isNew] = entries_.try_emplace(id);
  if (isNew) it->second.sinceMs = nowMs;
  return it->second;
}

auto Node::isDone(const Id& id) const -> bool {
  auto it = done_.find(id.origin);
  return it != done_.end() && it->second.has(id.number);
}

// MPayload's effect: the command becomes known. Null when it is executed already.
auto Node::learn(const Command& command, int64_t nowMs) -> Entry* {
  if (isDone(command.id)) return nullptr;
  auto& e = entry(command.id, nowMs);
  if (!e.command) {
    e.command = command;
    e.sinceMs = nowMs;
    noteCommand(command);
    eachPart(command.parts, [&](uint8_t part) {
      if (e.shares[part].phase == Phase::kStart) e.shares[part].phase = Phase::kPayload;
      note(command.id, e, part);
    });
    finish(command.id, e);
    if (isDone(command.id)) return nullptr;
  }
  return &e;
}

auto Node::propose(uint8_t part, const Id& id, Stamp least) -> Stamp {
  auto& p = parts_[part];
  auto stamp = std::max(least, p.clock + 1);
  p.own[stamp] = p.open[stamp] = id;  // attached; every other stamp passed over becomes detached
  p.clock = stamp;
  return stamp;
}

auto Node::bump(uint8_t part, Stamp stamp) -> void {
  if (stamp <= parts_[part].clock) return;
  parts_[part].clock = stamp;
  out_.writes.push_back(Writer().put(Write::kClock).put(part).put(stamp).take());
}

auto Node::onPropose(Slot from, const Message& m, int64_t nowMs) -> void {
  auto* e = learn(*m.command, nowMs);
  if (!e || e->final) return;
  auto& share = e->shares[m.part];
  auto inQuorum = (m.command->quorum & bit(slot_)) != 0;
  if (share.phase != Phase::kPayload || share.ballot != 0) return;
  if (!share.proposal) {
    share.proposal = propose(m.part, m.id, m.stamp);
    share.stamp = share.proposal;
    // A replica outside the fast quorum proposes too (appendix B) but stays in the payload phase, so
    // that recovery never takes it for a member that the fast path could have rested on.
    if (m.kind == Kind::kPropose && inQuorum) share.phase = Phase::kPropose;
    note(m.id, *e, m.part);
    eachPart(e->command->parts, [&](uint8_t part) { bump(part, share.proposal); });
  }
  auto ack = make(Kind::kProposeAck, m.id, m.part);
  ack.stamp = share.proposal;
  ack.promises.push_back(promise(m.part, leastAcked(m.part)));
  send(from, std::move(ack));
}

// The coordinator's choice between the fast path, the slow path and more waiting.
auto Node::decide(const Id& id, Entry& e, uint8_t part, int64_t nowMs) -> void {
  auto& share = e.shares[part];
  if (!e.isOwn || e.final || share.decided || share.phase != Phase::kPropose || share.ballot != 0 || share.committed)
    return;
  uint32_t seen = 0;
  Stamp highest = 0;
  for (const auto& [slot, stamp] : share.acks) {
    if (e.command->quorum & bit(slot)) seen |= bit(slot);
    highest = std::max(highest, stamp);
  }
  if (seen == e.command->quorum) {
    highest = 0;
    uint32_t count = 0;
    for (const auto& [slot, stamp] : share.acks)
      if (seen & bit(slot)) highest = std::max(highest, stamp);
    for (const auto& [slot, stamp] : share.acks)
      if ((seen & bit(slot)) && stamp == highest) ++count;
    share.decided = true;
    if (count >= props_.faults) {
      ++figures_.fast;
      broadcastCommit(id, e, part, highest, nowMs);
      return;
    }
  } else {
    auto missing = e.command->quorum & ~seen;
    auto isWaitOver = (missing & alive_) == 0 || nowMs - e.sinceMs >= props_.slowMs;
    if (share.acks.size() < majority() || !isWaitOver) return;
    share.decided = true;
  }
  ++figures_.slow;
  auto m = make(Kind::kConsensus, id, part);
  m.command = e.command;
  m.stamp = highest;
  m.ballot = slot_;
  share.proposing = slot_;
  sendAll(m);
  onConsensus(slot_, m, nowMs);
}

auto Node::broadcastCommit(const Id& id, Entry& e, uint8_t part, Stamp stamp, int64_t nowMs) -> void {
  auto m = make(Kind::kCommit, id, part);
  m.stamp = stamp;
  bump(part, stamp);
  m.promises = std::move(e.shares[part].promises);
  m.promises.push_back(promise(part, leastAcked(part)));
  sendAll(m);
  commit(id, part, stamp, nowMs);
}

auto Node::commit(const Id& id, uint8_t part, Stamp stamp, int64_t nowMs) -> void {
  if (isDone(id)) return;
  auto& e = entry(id, nowMs);
  if (e.shares[part].committed) return;
  e.shares[part].committed = stamp;
  note(id, e, part);
  bump(part, stamp);
  finish(id, e);
}

// The multi-partition maximum (§4): once every partition's stamp is known, the highest is the command's.
auto Node::finish(const Id& id, Entry& e) -> void {
  if (e.final || !e.command) return;
  Stamp highest = 0;
  auto isWhole = true;
  eachPart(e.command->parts, [&](uint8_t part) {
    if (!e.shares[part].committed) isWhole = false;
    highest = std::max(highest, e.shares[part].committed);
  });
  if (!isWhole) return;
  e.final = highest;
  eachPart(e.command->parts, [&](uint8_t part) {
    bump(part, highest);
    parts_[part].open.erase(e.shares[part].proposal);
    parts_[part].queue.insert({highest, id});
    for (auto& [slot, known] : parts_[part].known)
      std::erase_if(known.attached, [&](const auto& one) { return one.second == id; });
  });
}

auto Node::onConsensus(Slot from, const Message& m, int64_t nowMs) -> void {
  auto* e = learn(*m.command, nowMs);
  if (!e || e->shares[m.part].committed) {
    if (from != slot_) answerAsk(from, m.id);
    return;
  }
  auto& share = e->shares[m.part];
  if (share.ballot > m.ballot) {
    auto nack = make(Kind::kRecNack, m.id, m.part);
    nack.ballot = share.ballot;
    if (from != slot_) send(from, std::move(nack));
    return;
  }
  share.stamp = m.stamp;
  share.ballot = share.accepted = m.ballot;
  bump(m.part, m.stamp);
  note(m.id, *e, m.part);
  auto ack = make(Kind::kConsensusAck, m.id, m.part);
  ack.ballot = m.ballot;
  if (from == slot_)
    onConsensusAck(slot_, ack, nowMs);
  else
    send(from, std::move(ack));
}

auto Node::onConsensusAck(Slot from, const Message& m, int64_t nowMs) -> void {
  auto it = entries_.find(m.id);
  if (it == entries_.end()) return;
  auto& share = it->second.shares[m.part];
  if (share.ballot != m.ballot || share.proposing != m.ballot || share.committed) return;
  share.consensusAcks |= bit(from);
  auto need = static_cast<int>(props_.faults) + 1 - props_.breakSlowQuorum;
  if (std::popcount(share.consensusAcks) >= need) broadcastCommit(m.id, it->second, m.part, share.stamp, nowMs);
}

// ---- recovery (§5, appendix B) ------------------------------------------------------------------------

// The nominated recoverer; after some tries in vain it is another one's turn.
auto Node::leader(uint8_t part, uint32_t tries) const -> Slot {
  std::vector<Slot> usable, living;
  for (const auto& [slot, inc] : members_) {
    if (isUsable(slot)) usable.push_back(slot);
    if (alive_ & bit(slot)) living.push_back(slot);
  }
  const auto& candidates = usable.empty() ? living : usable;
  return candidates.empty() ? slot_ : candidates[(part + tries / kTriesOfOneRecoverer) % candidates.size()];
}

auto Node::recover(const Id& id, Entry& e, uint8_t part, int64_t nowMs) -> void {
  auto& share = e.shares[part];
  auto r = props_.replicas;
  if (share.recovering == 0 || share.ballot != share.recovering) {
    // Ballots above r are for recovery only; the lowest r are the initial coordinators' own.
    auto base = std::max<Ballot>(share.ballot, 1);
    share.recovering = slot_ + r * ((base - 1) / r + 1);
    share.recAcks.clear();
    share.consensusAcks = 0;
    share.proposing = 0;
    ++figures_.recovered;
  }
  auto m = make(share.proposing == share.recovering ? Kind::kConsensus : Kind::kRec, id, part);
  m.command = e.command;
  m.ballot = share.recovering;
  m.stamp = share.stamp;
  sendAll(m);
  if (m.kind == Kind::kRec) onRec(slot_, m, nowMs);
}

auto Node::onRec(Slot from, const Message& m, int64_t nowMs) -> void {
  auto* e = learn(*m.command, nowMs);
  // A replica that knows this partition's stamp answers with it and never joins the ballot, even while the
  // command waits for its other partitions: else a coordinator past its fast path would seem not to be.
  if (!e || e->shares[m.part].committed) {
    if (from != slot_) answerAsk(from, m.id);
    return;
  }
  auto& share = e->shares[m.part];
  auto isAgain = share.ballot == m.ballot && share.accepted < m.ballot;
  if (share.ballot >= m.ballot && !isAgain) {
    auto nack = make(Kind::kRecNack, m.id, m.part);
    nack.ballot = share.ballot;
    if (from != slot_ && share.ballot > m.ballot) send(from, std::move(nack));
    return;
  }
  if (share.ballot == 0) {
    if (share.phase == Phase::kPayload) {
      if (!share.proposal) share.proposal = propose(m.part, m.id, 0);
      share.stamp = share.proposal;
      share.phase = Phase::kRecoverR;
    } else if (share.phase == Phase::kPropose) {
      share.phase = Phase::kRecoverP;
    }
  }
  share.ballot = m.ballot;
  note(m.id, *e, m.part);
  auto ack = make(Kind::kRecAck, m.id, m.part);
  ack.stamp = share.stamp;
  ack.phase = share.phase;
  ack.accepted = share.accepted;
  ack.ballot = m.ballot;
  if (from == slot_)
    onRecAck(slot_, ack, nowMs);
  else
    send(from, std::move(ack));
}

auto Node::onRecAck(Slot from, const Message& m, int64_t nowMs) -> void {
  auto it = entries_.find(m.id);
  if (it == entries_.end() || it->second.shares[m.part].committed || !it->second.command) return;
  auto& e = it->second;
  auto& share = e.shares[m.part];
  if (share.ballot != m.ballot || share.recovering != m.ballot || share.proposing == m.ballot) return;
  share.recAcks[from] = {m.stamp, m.phase, m.accepted};
  if (share.recAcks.size() < props_.replicas - props_.faults) return;
  Stamp stamp = 0;
  Ballot accepted = 0;
  for (const auto& [slot, ack] : share.recAcks)
    if (ack.accepted > accepted) {
      accepted = ack.accepted;
      stamp = ack.stamp;
    }
  if (accepted == 0) {
    auto initial = slotOf(m.id.origin);
    auto couldNotBeFast = false;
    auto inQuorum = [&](Slot slot) { return (e.command->quorum & bit(slot)) != 0; };
    for (const auto& [slot, ack] : share.recAcks)
      if (inQuorum(slot) && (slot == initial || ack.phase == Phase::kRecoverR)) couldNotBeFast = true;
    for (const auto& [slot, ack] : share.recAcks)
      if (couldNotBeFast || inQuorum(slot)) stamp = std::max(stamp, ack.stamp);
  }
  share.proposing = m.ballot;
  share.consensusAcks = 0;
  auto consensus = make(Kind::kConsensus, m.id, m.part);
  consensus.command = e.command;
  consensus.stamp = stamp;
  consensus.ballot = m.ballot;
  sendAll(consensus);
  onConsensus(slot_, consensus, nowMs);
}

// ---- messages and time --------------------------------------------------------------------------------

auto Node::receive(Slot from, const Message& m, int64_t nowMs) -> void {
  if (m.part >= kParts) return;
  // A process that stood still has missed whatever was dropped meanwhile.
  if (tickedMs_ > 0 && nowMs - tickedMs_ >= props_.suspectMs) beginCatchUp();
  dispatch(from, m, nowMs);
  execute();
}

// NOLINTNEXTLINE(readability-function-size): split with its module in issue 17
auto Node::dispatch(Slot from, const Message& m, int64_t nowMs) -> void {
  if (m.kind == Kind::kFrame) return takeFrame(m.frame);
  if (m.kind == Kind::kFrameAsk) {
    auto reply = make(Kind::kFrame, {}, 0);
    reply.frame = save();
    send(from, std::move(reply));
    return;
  }
  if (!isMember()) return;
  // Only the seated life of a slot is heard; an epoch that is ahead is reached through a frame.
  if (m.epoch > epoch_) {
    askFrame(from, nowMs);
    return;
  }
  auto seat = members_.find(from);
  if (seat == members_.end() || seat->second != m.from) return;
  heardMs_[from] = nowMs;
  if (m.epoch < epoch_) {  // let it see the new epoch and ask for a frame
    if (from != slot_ && m.kind != Kind::kPromises) send(from, make(Kind::kPromises, {}, 0));
    return;
  }
  auto needsCommand =
      m.kind == Kind::kPropose || m.kind == Kind::kPayload || m.kind == Kind::kConsensus || m.kind == Kind::kRec;
  if (needsCommand && (!m.command || m.command->id != m.id || m.command->epoch != epoch_)) return;
  switch (m.kind) {
    case Kind::kPropose:
    case Kind::kPayload:
      if (m.stamp)
        onPropose(from, m, nowMs);
      else
        learn(*m.command, nowMs);
      break;
    case Kind::kProposeAck: {
      for (const auto& p : m.promises)
        takePromise(p);
      auto it = entries_.find(m.id);
      if (it == entries_.end() || !it->second.isOwn) break;
      it->second.shares[m.part].acks[from] = m.stamp;
      for (const auto& p : m.promises)
        it->second.shares[m.part].promises.push_back(p);
      decide(m.id, it->second, m.part, nowMs);
      break;
    }
    case Kind::kCommit: {
      auto before = parts_[m.part].clock;
      commit(m.id, m.part, m.stamp, nowMs);
      for (const auto& p : m.promises)
        takePromise(p);
      // Whoever told the commit waits for it to be stable: a clock that it moved is told at once, not a period later.
      if (parts_[m.part].clock > before) {
        auto told = make(Kind::kPromises, {}, 0);
        told.promises.push_back(promise(m.part, parts_[m.part].acked[from]));
        send(from, std::move(told));
      }
      break;
    }
    case Kind::kConsensus:
      onConsensus(from, m, nowMs);
      break;
    case Kind::kConsensusAck:
      onConsensusAck(from, m, nowMs);
      break;
    case Kind::kRec:
      onRec(from, m, nowMs);
      break;
    case Kind::kRecAck:
      onRecAck(from, m, nowMs);
      break;
    case Kind::kRecNack: {
      auto it = entries_.find(m.id);
      if (it == entries_.end() || it->second.shares[m.part].committed || !it->second.command) break;
      auto& share = it->second.shares[m.part];
      if (leader(m.part, it->second.tries) != slot_ || share.ballot >= m.ballot) break;
      share.ballot = m.ballot;
      note(m.id, it->second, m.part);
      recover(m.id, it->second, m.part, nowMs);
      break;
    }
    case Kind::kCommitAsk:
      answerAsk(from, m.id);
      break;
    case Kind::kPromises:
      onPromises(from, m, nowMs);
      break;
    default:
      break;
  }
}

auto Node::answerAsk(Slot from, const Id& id) -> void {
  auto it = entries_.find(id);
  if (it == entries_.end()) {
    if (isDone(id)) {  // forgotten here: the promise's floor tells the asker to take a frame
      auto m = make(Kind::kPromises, {}, 0);
      for (uint8_t part = 0; part < kParts; ++part)
        m.promises.push_back(promise(part, parts_[part].clock));
      send(from, std::move(m));
    }
    return;
  }
  if (!it->second.command || it->second.command->epoch != epoch_) return;
  auto payload = make(Kind::kPayload, id, 0);
  payload.command = it->second.command;
  send(from, std::move(payload));
  eachPart(it->second.command->parts, [&](uint8_t part) {
    if (!it->second.shares[part].committed) return;
    auto m = make(Kind::kCommit, id, part);
    m.stamp = it->second.shares[part].committed;
    send(from, std::move(m));
  });
}

auto Node::onPromises(Slot from, const Message& m, int64_t nowMs) -> void {
  for (uint8_t part = 0; part < kParts && part < m.have.size(); ++part)
    parts_[part].acked[from] = m.have[part];
  auto isBehind = false;
  for (const auto& p : m.promises) {
    if (p.part < kParts && !parts_[p.part].ran(p.floor)) isBehind = true;
    takePromise(p);
  }
  if (isBehind) askFrame(from, nowMs);
  if (m.have.size() < kParts) return;  // not one of the regular ones, which tell of their sender
  peers_[from] = {m.hears, m.isCurrent};
  if (!catchUp_ || catchUp_->targets.count(from)) return;
  for (const auto& p : m.promises)
    if (p.part < kParts) catchUp_->targets[from][p.part] = p.executed;
}

// ---- who is current -----------------------------------------------------------------------------------

// A replica that hears this one as well and has caught up: others need not be waited for.
auto Node::isUsable(Slot slot) const -> bool {
  if (slot == slot_) return isCurrent();
  auto peer = peers_.find(slot);
  return (alive_ & bit(slot)) && peer != peers_.end() && peer->second.isCurrent && (peer->second.hears & bit(slot_));
}

auto Node::beginCatchUp() -> void {
  catchUp_.emplace();
}

auto Node::endCatchUp() -> void {
  if (!catchUp_ || catchUp_->targets.size() + 1 < majority()) return;
  for (const auto& [slot, executed] : catchUp_->targets)
    for (uint8_t part = 0; part < kParts; ++part)
      if (parts_[part].executed < executed[part]) return;
  catchUp_.reset();
  idledMs_ = promisedMs_ = 0;  // the others are told at once
}

// Who is believed alive; whoever is heard again has yet to say that it is current.
auto Node::listen(int64_t nowMs) -> void {
  if (tickedMs_ > 0 && nowMs - tickedMs_ >= props_.suspectMs) beginCatchUp();
  auto before = alive_;
  alive_ = bit(slot_);
  for (auto slot : others())
    if (nowMs - heardMs_.try_emplace(slot, nowMs).first->second < props_.suspectMs) alive_ |= bit(slot);
  for (auto slot : others())
    if (!(before & bit(slot)) || !(alive_ & bit(slot))) peers_.erase(slot);
  if (static_cast<uint32_t>(std::popcount(alive_)) < majority()) beginCatchUp();
  endCatchUp();
}

auto Node::askFrame(Slot from, int64_t nowMs) -> void {
  if (nowMs - frameAskedMs_ < props_.askMs) return;
  frameAskedMs_ = nowMs;
  send(from, make(Kind::kFrameAsk, {}, 0));
}

// Where a promise must start for every usable replica to be able to join it to what it has; the others are told theirs
// one by one, so that acknowledgements carry no list of what somebody missed.
auto Node::leastAcked(uint8_t part) const -> Stamp {
  auto least = parts_[part].clock;
  for (auto slot : others()) {
    auto it = parts_[part].acked.find(slot);
    if (isUsable(slot)) least = std::min(least, it == parts_[part].acked.end() ? 0 : it->second);
  }
  return least;
}

auto Node::promise(uint8_t part, Stamp from) const -> Promise {
  const auto& p = parts_[part];
  Promise made{part, slot_, incarnation_, std::min(from, p.clock), p.clock, p.executed, p.floor, {}};
  for (auto it = p.own.upper_bound(made.from); it != p.own.end(); ++it)
    made.attached.push_back(*it);
  return made;
}

auto Node::takePromise(const Promise& p) -> void {
  if (p.part >= kParts) return;
  auto& part = parts_[p.part];
  auto seat = members_.find(p.slot);
  if (seat == members_.end() || seat->second != p.incarnation) return;
  // Commands at or below the floor may be missing from the list: only one who has executed them may count it.
  if (!part.ran(p.floor)) return;
  auto& known = part.known[p.slot];
  known.executed = std::max(known.executed, p.executed);
  if (p.from > known.upTo || p.upTo <= known.upTo) return;
  for (const auto& [stamp, id] : p.attached) {
    if (stamp <= known.upTo || isDone(id)) continue;
    auto it = entries_.find(id);
    if (it == entries_.end() || !it->second.final) known.attached[stamp] = id;
  }
  known.upTo = p.upTo;
}

auto Node::tick(int64_t nowMs) -> void {
  if (!isMember()) return;
  listen(nowMs);
  tickedMs_ = nowMs;
  for (auto& [id, e] : entries_) {
    if (e.executed || e.final || !e.command || e.command->epoch != epoch_) continue;
    eachPart(e.command->parts, [&, &id = id, &e = e](uint8_t part) { decide(id, e, part, nowMs); });
    if (nowMs - e.sinceMs < props_.recoveryMs || nowMs - e.triedMs < props_.recoveryMs) continue;
    e.triedMs = nowMs;
    auto tries = e.tries++;
    auto m = make(Kind::kPayload, id, 0);
    m.command = e.command;
    sendAll(m);
    eachPart(e.command->parts, [&, &id = id, &e = e](uint8_t part) {
      if (!e.shares[part].committed && leader(part, tries) == slot_) recover(id, e, part, nowMs);
    });
  }
  // Commits that others' promises name and that did not come by themselves are asked for.
  std::set<Id> missing;
  for (auto& part : parts_)
    for (auto& [slot, known] : part.known)
      for (const auto& [stamp, id] : known.attached)
        missing.insert(id);
  for (const auto& id : missing) {
    auto& e = entry(id, nowMs);
    if (nowMs - e.sinceMs < props_.askMs || nowMs - e.askedMs < props_.askMs) continue;
    e.askedMs = nowMs;
    sendAll(make(Kind::kCommitAsk, id, 0));
  }
  if (nowMs - promisedMs_ >= props_.promiseMs) {
    auto isIdle = nowMs - idledMs_ >= props_.idleMs;
    if (isIdle) idledMs_ = nowMs;
    for (auto slot : others()) {
      if (!isIdle && !waits(slot)) continue;
      promisedMs_ = nowMs;
      auto m = make(Kind::kPromises, {}, 0);
      m.hears = alive_;
      m.isCurrent = isCurrent();
      for (uint8_t part = 0; part < kParts; ++part) {
        auto& known = parts_[part].known[slot];
        m.promises.push_back(promise(part, parts_[part].acked[slot]));
        m.have.push_back(known.upTo);
        known.told = known.upTo;
      }
      send(slot, std::move(m));
    }
  }
  execute();
  if (nowMs - forgotMs_ < 5 * props_.promiseMs) return;
  forgotMs_ = nowMs;
  forget();
}

// A living replica waits for promises that it lacks, as far as known here, and to hear which of its own have come.
auto Node::waits(Slot slot) const -> bool {
  if (!(alive_ & bit(slot))) return false;
  return std::any_of(parts_.begin(), parts_.end(), [&](const PartState& part) {
    auto acked = part.acked.find(slot);
    auto known = part.known.find(slot);
    return (acked == part.acked.end() ? 0 : acked->second) < part.clock ||
           (known != part.known.end() && known->second.upTo != known->second.told);
  });
}

auto Node::dueMs() const -> int64_t {
  if (!isMember()) return std::numeric_limits<int64_t>::max();
  auto slots = others();
  auto hasOpen = std::any_of(entries_.begin(), entries_.end(), [](const auto& one) { return !one.second.executed; });
  auto isBusy = hasOpen || std::any_of(slots.begin(), slots.end(), [&](Slot slot) { return waits(slot); });
  return isBusy ? std::max(promisedMs_, tickedMs_) + props_.promiseMs : idledMs_ + props_.idleMs;
}

// ---- execution at stability (§3.2) --------------------------------------------------------------------

auto Node::stable(uint8_t part) const -> Stamp {
  const auto& p = parts_[part];
  std::vector<Stamp> highest;
  for (const auto& [slot, inc] : members_) {
    if (slot == slot_) {
      // Attached promises of one's own count once their command is committed.
      auto own = p.open.empty() ? p.clock : p.open.begin()->first - 1;
      highest.push_back(own);
      continue;
    }
    auto it = p.known.find(slot);
    if (it == p.known.end())
      highest.push_back(0);
    else
      highest.push_back(it->second.attached.empty()
                            ? it->second.upTo
                            : std::min(it->second.upTo, it->second.attached.begin()->first - 1));
  }
  if (highest.size() < props_.replicas) return 0;
  std::sort(highest.begin(), highest.end());
  return std::max(highest[props_.replicas / 2], p.executed);
}

auto Node::execute() -> void {
  if (isReplaying_ || !isMember()) return;
  auto isMoving = true;
  while (isMoving && isMember()) {  // a replacement may end its own membership
    isMoving = false;
    std::array<Stamp, kParts> stableUpTo{};
    for (uint8_t part = 0; part < kParts; ++part)
      stableUpTo[part] = stable(part);
    auto isRunnable = [&](const std::pair<Stamp, Id>& head) {
      auto ready = true;
      eachPart(entries_.at(head.second).command->parts, [&](uint8_t part) {
        auto isStable = head.first <= stableUpTo[part] || props_.breakStability;
        if (!isStable || *parts_[part].queue.begin() != head) ready = false;
      });
      return ready;
    };
    auto oldEpoch = epoch_;
    for (uint8_t part = 0; part < kParts && epoch_ == oldEpoch; ++part) {
      while (!parts_[part].queue.empty() && epoch_ == oldEpoch && isRunnable(*parts_[part].queue.begin())) {
        isMoving = true;
        auto [stamp, id] = *parts_[part].queue.begin();
        auto& e = entries_.at(id);
        eachPart(e.command->parts, [&, stamp = stamp, id = id](uint8_t q) {
          parts_[q].queue.erase({stamp, id});
          parts_[q].last = {stamp, id};
        });
        e.executed = true;
        done_[id.origin].add(id.number);
        doneStamps_[id] = stamp;
        ++figures_.executed;
        Answer answer{id, false, {}};
        if (e.command->kind == kReplaceReplica) {
          Reader r(e.command->payload);
          auto replacement = r.get<Replacement>();
          if (r.done()) change(stamp, replacement);
        } else {
          answer.result = machine_.apply(*e.command, stamp);
        }
        if (e.isOwn) out_.answers.push_back(std::move(answer));
      }
    }
    for (uint8_t part = 0; part < kParts && epoch_ == oldEpoch; ++part) {
      auto& p = parts_[part];
      auto upTo = p.queue.empty() ? stableUpTo[part] : std::min(stableUpTo[part], p.queue.begin()->first - 1);
      p.executed = std::max(p.executed, upTo);
    }
  }
}

auto Node::executedUpTo(uint8_t part) const -> Stamp {
  return parts_[part].executed;
}

auto Node::executedStamp(const Id& id) const -> std::optional<Stamp> {
  auto it = doneStamps_.find(id);
  return it == doneStamps_.end() ? std::nullopt : std::optional(it->second);
}

// A replica change: everything of the old epoch stamped above the boundary is void, everywhere alike; the
// new life starts with its clock at the boundary and counts only for commands of the new epoch.
// A restarted node may hold commands of the new epoch already; those stay.
auto Node::change(Stamp stamp, const Replacement& replacement) -> void {
  auto slot = replacement.slot;
  auto holder = members_.find(slot);
  auto isValid = holder != members_.end() && holder->second == replacement.replaced && replacement.successor != 0 &&
                 slotOf(replacement.successor) == 0;
  if (!isValid) return;
  auto members = members_;
  auto addresses = addresses_;
  members[slot] = replacement.successor;
  addresses[slot] = replacement.address;
  adoptMembers(std::move(members), std::move(addresses));
  ++epoch_;
  boundary_ = stamp;
  for (auto& p : parts_) {
    p.executed = std::max(p.executed, stamp);
    p.acked.erase(slot);
    // Promises above the boundary are told again, without what is void now.
    for (const auto& [other, inc] : members_) {
      auto executed = other == slot ? stamp : p.known[other].executed;
      p.known[other] = Known{stamp, executed, {}};
    }
    p.clock = std::max(p.clock, stamp);
  }
  dropVoid();
}

// Forgets every command of an epoch that is over and that did not run in it.
auto Node::dropVoid() -> void {
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& e = it->second;
    if (e.executed || (e.command && e.command->epoch >= epoch_)) {
      ++it;
      continue;
    }
    for (auto& p : parts_)
      p.queue.erase({e.final, it->first});
    if (e.isOwn && !isDone(it->first)) {
      ++figures_.voided;
      out_.answers.push_back({it->first, true, {}});
    }
    it = entries_.erase(it);
  }
  for (auto& p : parts_)
    std::erase_if(p.own, [&](const auto& one) { return !isDone(one.second) && !entries_.count(one.second); });
  findOpen();
}

// Which of the node's own promises still wait for a commit, after a change of many entries.
auto Node::findOpen() -> void {
  for (auto& p : parts_) {
    p.open.clear();
    for (const auto& [stamp, id] : p.own) {
      auto it = entries_.find(id);
      if (!isDone(id) && (it == entries_.end() || !it->second.final)) p.open[stamp] = id;
    }
  }
}

// Executed commands are forgotten once every replica has executed them, or when too many are kept; whoever
// is behind the floor takes a frame.
auto Node::forget() -> void {
  Stamp least[kParts];
  for (uint8_t part = 0; part < kParts; ++part) {
    least[part] = parts_[part].executed;
    for (auto slot : others())
      least[part] = std::min(least[part], parts_[part].known[slot].executed);
  }
  auto drop = [&](auto it) {
    eachPart(it->second.command->parts, [&](uint8_t part) {
      auto& p = parts_[part];
      p.own.erase(it->second.shares[part].proposal);
      p.floor = std::max(p.floor, {doneStamps_[it->first], it->first});
    });
    doneStamps_.erase(it->first);
    return entries_.erase(it);
  };
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto isOld = it->second.executed;
    if (isOld)
      eachPart(it->second.command->parts, [&](uint8_t part) {
        if (doneStamps_[it->first] > least[part]) isOld = false;
      });
    it = isOld ? drop(it) : std::next(it);
  }
  if (doneStamps_.size() <= props_.keepCommands) return;
  std::vector<std::pair<Stamp, Id>> oldest;
  for (const auto& [id, stamp] : doneStamps_)
    oldest.push_back({stamp, id});
  std::sort(oldest.begin(), oldest.end());
  oldest.resize(oldest.size() / 2);
  for (const auto& [stamp, id] : oldest)
    if (auto it = entries_.find(id); it != entries_.end()) drop(it);
}

// ---- what lasts ---------------------------------------------------------------------------------------

auto Node::noteCommand(const Command& command) -> void {
  if (!isReplaying_) out_.writes.push_back(Writer().put(Write::kCommand).put(command).take());
}

auto Node::note(const Id& id, const Entry& e, uint8_t part) -> void {
  if (isReplaying_) return;
  const auto& s = e.shares[part];
  out_.writes.push_back(Writer()
                            .put(Write::kShare)
                            .put(id)
                            .put(part)
                            .put(s.phase)
                            .put(s.stamp)
                            .put(s.proposal)
                            .put(s.ballot)
                            .put(s.accepted)
                            .put(s.committed)
                            .put(parts_[part].clock)
                            .take());
}

auto Node::replay(const std::string& write) -> bool {
  isReplaying_ = true;
  Reader r(write);
  auto kind = r.get<Write>();
  if (kind == Write::kCommand) {
    auto command = r.get<Command>();
    if (!r.done()) return false;
    if (command.id.origin == incarnation_) nextNumber_ = std::max(nextNumber_, command.id.number + 1);
    if (isDone(command.id)) return true;
    auto& e = entry(command.id, 0);
    e.command = command;
    finish(command.id, e);
    return true;
  }
  if (kind == Write::kShare) {
    auto id = r.get<Id>();
    auto part = r.get<uint8_t>();
    Share s;
    r.read(s.phase);
    r.read(s.stamp);
    r.read(s.proposal);
    r.read(s.ballot);
    r.read(s.accepted);
    r.read(s.committed);
    auto clock = r.get<Stamp>();
    if (!r.done() || part >= kParts) return false;
    parts_[part].clock = std::max(parts_[part].clock, clock);
    if (isDone(id)) return true;
    if (s.proposal) parts_[part].own[s.proposal] = id;
    auto& e = entry(id, 0);
    e.shares[part] = s;
    finish(id, e);
    return true;
  }
  auto part = r.get<uint8_t>();
  auto clock = r.get<Stamp>();
  if (!r.done() || part >= kParts) return false;
  parts_[part].clock = std::max(parts_[part].clock, clock);
  return true;
}

auto Node::replayed() -> void {
  isReplaying_ = false;
  out_ = {};
  if (isMember()) beginCatchUp();
  findOpen();
  execute();
  out_.answers.clear();
}

auto Node::save() const -> std::string {
  Writer w;
  w.put(epoch_).put(boundary_).put(members_).put(addresses_).put(done_).put(incarnation_).put(nextNumber_);
  for (const auto& p : parts_)
    w.put(p.clock).put(p.executed).put(p.last).put(p.own);
  for (uint8_t part = 0; part < kParts; ++part)
    w.put(machine_.save(part));
  // What is not executed yet goes along, so that the log behind the frame can be dropped.
  uint32_t count = 0;
  Writer rest;
  for (const auto& [id, e] : entries_) {
    if (e.executed) continue;
    ++count;
    rest.put(id).put(e.command);
    for (const auto& s : e.shares)
      rest.put(s.phase).put(s.stamp).put(s.proposal).put(s.ballot).put(s.accepted).put(s.committed);
  }
  return w.put(count).take() + rest.take();
}

auto Node::load(const std::string& frame) -> bool {
  return readFrame(frame, true);
}

// NOLINTNEXTLINE(readability-function-size): split with its module in issue 17
auto Node::readFrame(const std::string& frame, bool own) -> bool {
  Reader r(frame);
  auto epoch = r.get<uint32_t>();
  auto boundary = r.get<Stamp>();
  auto members = r.get<std::map<Slot, Incarnation>>();
  auto addresses = r.get<std::map<Slot, std::string>>();
  auto done = r.get<std::map<Incarnation, Ranges>>();
  auto source = r.get<Incarnation>();
  auto nextNumber = r.get<uint64_t>();
  std::array<PartState, kParts> parts;
  for (auto& p : parts) {
    r.read(p.clock);
    r.read(p.executed);
    r.read(p.last);
    r.read(p.own);
  }
  std::array<std::string, kParts> states;
  for (auto& state : states)
    r.read(state);
  auto count = r.get<uint32_t>();
  if (!r.ok() || (own && source != incarnation_) || (!own && epoch < epoch_)) return false;
  auto isNewEpoch = epoch != epoch_;
  // Each partition is taken if the frame is ahead there. Taken one by one they still fit together: what runs
  // in several partitions runs in all of them at once, so that whoever has run it is ahead in all of them.
  std::array<bool, kParts> isTaken{};
  for (uint8_t part = 0; part < kParts; ++part)
    isTaken[part] =
        own || isNewEpoch || parts[part].executed > parts_[part].executed || parts[part].last > parts_[part].last;
  if (std::none_of(isTaken.begin(), isTaken.end(), [](bool taken) { return taken; })) return false;
  epoch_ = epoch;
  boundary_ = boundary;
  adoptMembers(std::move(members), std::move(addresses));
  for (const auto& [origin, numbers] : done)
    done_[origin].join(numbers);
  for (uint8_t part = 0; part < kParts; ++part) {
    auto& mine = parts_[part];
    if (own) {
      mine.clock = parts[part].clock;
      mine.own = parts[part].own;
    }
    if (isTaken[part]) {
      machine_.load(part, states[part]);
      mine.executed = std::max(mine.executed, parts[part].executed);
      mine.last = std::max(mine.last, parts[part].last);
    }
    // A blank life starts its clock at the boundary of the change that seated it.
    mine.clock = std::max({mine.clock, boundary_, mine.executed});
    // Whatever ran is dropped from the attached promises below, so that the floor stands at the last of it.
    mine.floor = std::max(mine.floor, mine.last);
    std::erase_if(mine.own, [&](const auto& one) { return isDone(one.second); });
    if (isNewEpoch && !own) {
      mine.known.clear();
      mine.acked.clear();
    }
    for (auto& [slot, known] : mine.known)
      std::erase_if(known.attached, [&](const auto& one) { return isDone(one.second); });
  }
  if (own) {
    nextNumber_ = nextNumber;
    for (uint32_t i = 0; i < count && r.ok(); ++i) {
      auto id = r.get<Id>();
      auto& e = entry(id, 0);
      r.read(e.command);
      for (auto& s : e.shares) {
        r.read(s.phase);
        r.read(s.stamp);
        r.read(s.proposal);
        r.read(s.ballot);
        r.read(s.accepted);
        r.read(s.committed);
      }
      finish(id, e);
    }
    return r.done();
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& e = it->second;
    if (!isDone(it->first)) {
      ++it;
      continue;
    }
    // Executed elsewhere: the result is not known here, and the submitter asks by its change id.
    if (!e.executed && e.isOwn) out_.answers.push_back({it->first, false, {}});
    for (auto& p : parts_)
      p.queue.erase({e.final, it->first});
    it = entries_.erase(it);
  }
  if (isNewEpoch) dropVoid();
  findOpen();
  doneStamps_.clear();
  return true;
}

auto Node::takeFrame(const std::string& frame) -> void {
  auto wasMember = isMember();
  if (!readFrame(frame, false)) return;
  if (!wasMember) beginCatchUp();
  ++figures_.frames;
  out_.frameTaken = true;
  execute();
}

// ---- sending ------------------------------------------------------------------------------------------

auto Node::make(Kind kind, const Id& id, uint8_t part) const -> Message {
  Message m;
  m.kind = kind;
  m.from = incarnation_;
  m.epoch = epoch_;
  m.part = part;
  m.id = id;
  return m;
}

auto Node::sendAll(const Message& message) -> void {
  for (auto slot : others())
    send(slot, message);
}

auto Node::take() -> Output {
  return std::exchange(out_, {});
}

auto Node::explain() const -> std::string {
  auto text = "epoch " + std::to_string(epoch_) + " boundary " + std::to_string(boundary_);
  for (uint8_t part = 0; part < kParts; ++part) {
    const auto& p = parts_[part];
    text += "; part " + std::to_string(part) + " clock " + std::to_string(p.clock) + " stable " +
            std::to_string(stable(part)) + " executed " + std::to_string(p.executed) + " floor " +
            std::to_string(p.floor.first) + " queued " + std::to_string(p.queue.size());
    for (const auto& [slot, known] : p.known) {
      text += " " + std::to_string(slot) + "≤" + std::to_string(known.upTo);
      if (!known.attached.empty()) {
        const auto& [stamp, id] = *known.attached.begin();
        text += "(waits " + std::to_string(stamp) + " for " + std::to_string(id.origin) + "." +
                std::to_string(id.number) + ")";
      }
    }
  }
  for (const auto& [id, e] : entries_) {
    if (e.executed) continue;
    text += "; pending " + std::to_string(id.origin) + "." + std::to_string(id.number) + (e.command ? "" : " unknown") +
            " final " + std::to_string(e.final);
    for (const auto& s : e.shares)
      text += " [" + std::to_string(static_cast<int>(s.phase)) + " ballot " + std::to_string(s.ballot) + " stamp " +
              std::to_string(s.stamp) + " committed " + std::to_string(s.committed) + "]";
    break;
  }
  return text;
}

auto Node::figures() const -> Figures {
  auto figures = figures_;
  figures.pending = entries_.size() - doneStamps_.size();
  return figures;
}

}  // namespace dykestage::tempo
