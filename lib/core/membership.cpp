#include "core/membership.hpp"

#include <glog/logging.h>

#include <algorithm>

namespace dykestage::core {

using neighbour::Hello;

namespace {
// A learner's snapshot is renewed while it waits, and counts for twice that time.
constexpr int64_t kSnapshotBounds = 2;
// A member that is silent for this many bounds is replaced by a learner, if there is one.
constexpr int64_t kReplaceBounds = 1;

auto lists(const Hello& hello, uint64_t incarnation) -> bool {
  return std::any_of(hello.members.begin(), hello.members.end(),
                     [&](const auto& one) { return one.second.incarnation == incarnation; });
}

auto lists(const tempo::Node& node, uint64_t incarnation) -> bool {
  return std::any_of(node.members().begin(), node.members().end(),
                     [&](const auto& one) { return one.second == incarnation; });
}

auto majorityOf(size_t members) -> size_t {
  return members / 2 + 1;
}
}  // namespace

// ---- hellos -------------------------------------------------------------------------------------------

auto Membership::helloEveryMs(const tempo::Node& node) const -> int64_t {
  return node.isMember() ? options_.boundMs / 4 : options_.boundMs / 10;
}

auto Membership::isCaughtUp(const tempo::Node& node, int64_t nowMs) const -> bool {
  auto isFresh = nowMs - snapshotMs_ < 2 * kSnapshotBounds * options_.boundMs;
  return !node.isMember() && !saved_.wasMember && isFresh && snapshotEpoch_ == node.epoch();
}

auto Membership::hello(const tempo::Node& node, int64_t nowMs) const -> Hello {
  Hello hello;
  hello.slot = options_.slot;
  hello.incarnation = node.incarnation();
  hello.address = options_.address;
  hello.epoch = node.epoch();
  hello.isMember = node.isMember();
  hello.isLeaving = isLeaving_;
  hello.isCaughtUp = isCaughtUp(node, nowMs);
  hello.isBootstrapped = node.isMember() || saved_.isBootstrapped;
  hello.proposed = saved_.proposed;
  for (const auto& [slot, incarnation] : node.members()) {
    auto address = node.addresses().find(slot);
    hello.members[slot] = {incarnation, address == node.addresses().end() ? "" : address->second};
  }
  return hello;
}

auto Membership::newestMembership(const tempo::Node& node) const -> const Hello* {
  const Hello* newest = nullptr;
  for (const auto& [address, peer] : peers_) {
    const auto& hello = peer.hello;
    if (hello.members.empty() || hello.epoch < node.epoch()) continue;
    if (!newest || hello.epoch > newest->epoch) newest = &hello;
  }
  return newest;
}

auto Membership::addresses(const tempo::Node& node) const -> std::vector<std::string> {
  std::vector<std::string> list;
  for (const auto& [slot, address] : node.addresses())
    if (!address.empty()) list.push_back(address);
  return list;
}

// Whoever may know a core: the members as known here, in the newest membership heard of, the initial replicas, and the
// contacts of the settings, since all members may have been replaced meanwhile.
auto Membership::helloTargets(const tempo::Node& node) const -> std::set<std::string> {
  std::set<std::string> targets(options_.contacts.begin(), options_.contacts.end());
  for (const auto& address : addresses(node))
    targets.insert(address);
  if (node.members().empty())
    for (const auto& [slot, address] : options_.initial)
      targets.insert(address);
  if (const auto* newest = newestMembership(node))
    for (const auto& [slot, member] : newest->members)
      targets.insert(member.address);
  targets.erase(options_.address);
  targets.erase("");
  return targets;
}

auto Membership::onHello(const Hello& hello, const tempo::Node& node, int64_t nowMs) -> void {
  if (hello.address.empty() || hello.address == options_.address) return;
  auto& peer = peers_[hello.address];
  if (peer.hello.incarnation != hello.incarnation) peer.sinceMs = nowMs;
  peer.hello = hello;
  peer.heardMs = nowMs;
  // Learners, and replicas of an earlier membership, are told the present one at once.
  auto knowsLess = !hello.isMember || hello.epoch < node.epoch();
  if (knowsLess && !node.members().empty()) out_.hellos.push_back({hello.address, this->hello(node, nowMs)});
  catchUp(hello, node, nowMs);
  if (!node.isMember()) bootstrap(node);
}

// Asks for a snapshot where that is needed to become a member, or to be ready to.
auto Membership::catchUp(const Hello& hello, const tempo::Node& node, int64_t nowMs) -> void {
  if (hello.members.empty() || hello.epoch < node.epoch()) return;
  auto isListed = lists(hello, node.incarnation());
  if (!isListed && !hello.isMember) return;
  if (node.isMember() && (hello.epoch == node.epoch() || !isListed)) return;
  auto isOld = hello.epoch > node.epoch() || nowMs - snapshotMs_ >= kSnapshotBounds * options_.boundMs;
  if (!isOld && !isListed) return;
  // A replaced replica keeps its state until the later membership has confirmed.
  if (saved_.wasMember && !isListed) return;
  if (nowMs - requestedMs_ < options_.boundMs / 10) return;
  requestedMs_ = nowMs;
  out_.snapshotRequests.push_back(hello.address);
}

auto Membership::onSnapshotSynced(uint32_t epoch, int64_t nowMs) -> void {
  snapshotEpoch_ = epoch;
  snapshotMs_ = nowMs;
  helloMs_ = kNever;  // said at once
}

// ---- bootstrap ----------------------------------------------------------------------------------------

// Every initial replica must be blank, and must have synced the same list of incarnations.
auto Membership::bootstrap(const tempo::Node& node) -> void {
  if (!node.members().empty() || options_.slot == 0 || saved_.isBootstrapped) return;
  std::vector<const Hello*> others;
  for (const auto& [slot, address] : options_.initial) {
    if (slot == options_.slot) continue;
    auto peer = peers_.find(address);
    if (peer == peers_.end()) continue;
    const auto& hello = peer->second.hello;
    // The bootstrap ended elsewhere, with the list that this node proposed as well.
    auto isSame = !saved_.proposed.empty() && hello.isMember && hello.epoch == 0 && hello.proposed == saved_.proposed;
    if (isSame) {
      out_.isBootstrapped = saved_.isBootstrapped = true;
      return;
    }
    others.push_back(&hello);
  }
  if (!options_.mayBootstrap || others.size() + 1 < options_.initial.size()) return;
  if (saved_.proposed.empty()) {
    std::map<tempo::Slot, uint64_t> proposed{{options_.slot, node.incarnation()}};
    for (const auto* other : others) {
      if (other->isBootstrapped || other->isMember || other->slot == 0) return;
      proposed[other->slot] = other->incarnation;
    }
    if (proposed.size() != options_.initial.size()) return;
    saved_.proposed = std::move(proposed);
    out_.mustSave = true;
    return;
  }
  auto isAgreed =
      std::all_of(others.begin(), others.end(), [&](const auto* other) { return other->proposed == saved_.proposed; });
  if (isAgreed) out_.isBootstrapped = saved_.isBootstrapped = true;
}

// ---- replacement --------------------------------------------------------------------------------------

auto Membership::isLearner(const Peer& peer, const tempo::Node& node, int64_t nowMs) const -> bool {
  auto isHeard = nowMs - peer.heardMs < options_.boundMs / 2;
  return isHeard && !peer.hello.isMember && !lists(node, peer.hello.incarnation);
}

// The slot that a learner may take: that of an earlier incarnation at its own address, else that of a member which is
// about to leave, else that of the member which has been silent for longest. 0: none.
auto Membership::vacantSlot(const Peer& learner, const tempo::Node& node, int64_t nowMs) const -> tempo::Slot {
  tempo::Slot leaving = 0, silent = 0;
  int64_t longestMs = kReplaceBounds * options_.boundMs;
  for (const auto& [slot, incarnation] : node.members()) {
    const auto& address = node.addresses().at(slot);
    auto isAlive = (node.alive() & tempo::Node::bit(slot)) != 0;
    if (address == learner.hello.address) return isAlive ? 0 : slot;
    auto peer = peers_.find(address);
    auto isOwn = slot == node.slot();
    auto isLeaving =
        isOwn ? isLeaving_
              : peer != peers_.end() && peer->second.hello.incarnation == incarnation && peer->second.hello.isLeaving;
    if (isLeaving) leaving = slot;
    // A blank disk at the address of a silent member takes that slot itself.
    auto isTaken = peer != peers_.end() && isLearner(peer->second, node, nowMs);
    if (isAlive || isTaken || node.silentMs(slot, nowMs) < longestMs) continue;
    longestMs = node.silentMs(slot, nowMs);
    silent = slot;
  }
  return leaving ? leaving : silent;
}

// One replacement at a time. The first living member proposes; should it not hear the learner, the next does a little
// later. A proposal that comes twice changes nothing.
auto Membership::proposeReplacement(const tempo::Node& node, int64_t nowMs) -> void {
  size_t alive = 0, before = 0;
  for (const auto& [slot, incarnation] : node.members()) {
    if (!(node.alive() & tempo::Node::bit(slot))) continue;
    ++alive;
    if (slot < node.slot()) ++before;
  }
  if (alive < majorityOf(node.members().size()) || !node.isCurrent()) return;
  auto isPending = proposedEpoch_ == node.epoch() && nowMs - proposedMs_ < options_.boundMs / 2;
  if (isPending) return;
  for (const auto& [address, peer] : peers_) {
    if (!isLearner(peer, node, nowMs) || !peer.hello.isCaughtUp || peer.hello.epoch != node.epoch()) continue;
    if (nowMs - peer.sinceMs < static_cast<int64_t>(before) * options_.boundMs / 4) continue;
    auto slot = vacantSlot(peer, node, nowMs);
    if (slot == 0) continue;
    proposedMs_ = nowMs;
    proposedEpoch_ = node.epoch();
    LOG(INFO) << "core: Replacing incarnation " << node.members().at(slot) << " in slot " << slot << " by "
              << peer.hello.incarnation << " at " << address << ".";
    out_.replacement = tempo::Replacement{slot, node.members().at(slot), peer.hello.incarnation, address};
    return;
  }
}

// How many of the newest membership have said that they are in it; nothing while this replica may still be one of them.
auto Membership::confirmationsOfReplacement(const tempo::Node& node) const -> Confirmations {
  Confirmations confirmations;
  if (!saved_.wasMember) return confirmations;
  const auto* newest = newestMembership(node);
  if (!newest || lists(*newest, node.incarnation())) return confirmations;
  if (node.isMember() && newest->epoch == node.epoch()) return confirmations;
  for (const auto& [slot, member] : newest->members) {
    auto peer = peers_.find(member.address);
    if (peer == peers_.end()) continue;
    const auto& hello = peer->second.hello;
    auto isIn = hello.incarnation == member.incarnation && hello.isMember && hello.epoch >= newest->epoch;
    if (!isIn) continue;
    ++confirmations.count;
    if (slot == formerSlot_) confirmations.hasSuccessor = true;
  }
  confirmations.isMajority = confirmations.count >= majorityOf(newest->members.size());
  return confirmations;
}

auto Membership::isReplaced(const tempo::Node& node) const -> bool {
  return confirmationsOfReplacement(node).isMajority;
}

auto Membership::restartAsLearner() -> void {
  saved_ = {};
  saved_.isBootstrapped = true;  // there is a core: never bootstrap another one
  options_.slot = 0;
  helloMs_ = requestedMs_ = snapshotMs_ = kNever;
}

auto Membership::mayHandOver(const tempo::Node& node, int64_t nowMs) const -> bool {
  if (!isLeaving_ || !saved_.wasMember) return false;
  auto confirmations = confirmationsOfReplacement(node);
  if (confirmations.isMajority && confirmations.hasSuccessor) return false;
  if (!node.isMember()) return true;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& one) { return isLearner(one.second, node, nowMs); });
}

// ---- time ---------------------------------------------------------------------------------------------

auto Membership::tick(const tempo::Node& node, int64_t nowMs) -> void {
  if (node.isMember()) formerSlot_ = node.slot();
  if (node.isMember() && !saved_.wasMember) {
    saved_.wasMember = true;
    out_.mustSave = true;
  }
  if (nowMs - helloMs_ >= helloEveryMs(node)) {
    helloMs_ = nowMs;
    auto own = hello(node, nowMs);
    for (const auto& target : helloTargets(node))
      out_.hellos.push_back({target, own});
  }
  if (node.isMember()) proposeReplacement(node, nowMs);
  // Learners that are gone are forgotten.
  std::erase_if(peers_, [&](const auto& one) { return nowMs - one.second.heardMs > 10 * options_.boundMs; });
}

}  // namespace dykestage::core
