// Core: who the replicas are. Bootstrap from blank disks, learners, replacement of replicas, and fencing of replaced
// ones.
//
// A pure state machine beside the ordering: hellos and time go in; hellos, requests for snapshots and proposals of
// replacements come out. A replacement itself is an ordered command (tempo::Replacement) that the old members decide.
// docs/control-safety.md tells why memberships that follow each other keep what was acknowledged.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "neighbour/messages.hpp"
#include "tempo/tempo.hpp"

namespace dykestage::core {

class Membership {
 public:
  struct Options {
    tempo::Slot slot = 0;                        // among the initial replicas; 0: it joins a core that there is
    std::string address;                         // its own, towards other registries
    std::map<tempo::Slot, std::string> initial;  // of all initial replicas
    std::vector<std::string> contacts;           // where a core may be found; the settings may change them
    int64_t boundMs = 2000;                      // the freshness bound; all times follow from it
    bool mayBootstrap = true;                    // else a blank disk only joins a core that there is
  };
  /// What has to last of it.
  struct Saved {
    std::map<tempo::Slot, uint64_t> proposed;  // the first members, once this node has proposed them
    bool isBootstrapped = false;
    bool wasMember = false;  // under the incarnation of this disk
    DYKESTAGE_FIELDS(proposed, isBootstrapped, wasMember)
  };
  struct Output {
    struct Sent {
      std::string to;
      neighbour::Hello hello;
    };
    std::vector<Sent> hellos;                       // they leave once what was saved before is synced
    std::vector<std::string> snapshotRequests;      // addresses to ask for a snapshot
    bool mustSave = false;                          // `saved()` has changed
    bool isBootstrapped = false;                    // the proposed members are the first members
    std::optional<tempo::Replacement> replacement;  // to submit
  };

  Membership(Options options, Saved saved) : options_(std::move(options)), saved_(std::move(saved)) {}

  /// Takes a hello of another registry. Example: `membership.onHello(hello, node, nowMs);`
  auto onHello(const neighbour::Hello& hello, const tempo::Node& node, int64_t nowMs) -> void;
  /// Lets time pass. Example: `membership.tick(node, nowMs);`
  auto tick(const tempo::Node& node, int64_t nowMs) -> void;
  /// When time has to pass here at the latest, in ms. Example: `wait(membership.dueMs(node) - nowMs);`
  auto dueMs(const tempo::Node& node) const -> int64_t { return helloMs_ + helloEveryMs(node); }
  auto output() -> Output { return std::exchange(out_, {}); }
  auto saved() const -> const Saved& { return saved_; }

  /// A snapshot of the node's epoch has been taken, and synced on the own disk.
  auto onSnapshotSynced(uint32_t epoch, int64_t nowMs) -> void;
  /// Other places where a core may be found. Example: on new settings `membership.setContacts(seeds);`
  auto setContacts(std::vector<std::string> contacts) -> void { options_.contacts = std::move(contacts); }
  /// Says that this replica is about to stop, so that a learner takes its place first. Example: on SIGTERM
  /// `membership.leave();`
  auto leave() -> void {
    isLeaving_ = true;
    helloMs_ = kNever;
  }
  auto isLeaving() const -> bool { return isLeaving_; }
  /// True while a learner may still take the place of this leaving replica. Example: `if (!m.mayHandOver(node, nowMs))
  /// stop();`
  auto mayHandOver(const tempo::Node& node, int64_t nowMs) const -> bool;
  /// True once this replica was replaced and a majority of a later membership has confirmed that it runs without it:
  /// nothing depends on its disk any more. Example: `if (membership.isReplaced(node)) restartAsLearner();`
  auto isReplaced(const tempo::Node& node) const -> bool;
  /// Forgets the former membership: the node goes on as a learner under another incarnation.
  auto restartAsLearner() -> void;
  /// The registries' addresses, as far as known here. Example: `feed.registries = membership.addresses(node);`
  auto addresses(const tempo::Node& node) const -> std::vector<std::string>;

 private:
  static constexpr int64_t kNever = -1'000'000;
  struct Peer {
    neighbour::Hello hello;
    int64_t heardMs = 0;
    int64_t sinceMs = 0;  // since when this incarnation has been heard
  };

  auto helloEveryMs(const tempo::Node& node) const -> int64_t;
  auto hello(const tempo::Node& node, int64_t nowMs) const -> neighbour::Hello;
  auto helloTargets(const tempo::Node& node) const -> std::set<std::string>;
  auto isLearner(const Peer& peer, const tempo::Node& node, int64_t nowMs) const -> bool;
  auto isCaughtUp(const tempo::Node& node, int64_t nowMs) const -> bool;
  auto catchUp(const neighbour::Hello& hello, const tempo::Node& node, int64_t nowMs) -> void;
  auto bootstrap(const tempo::Node& node) -> void;
  auto proposeReplacement(const tempo::Node& node, int64_t nowMs) -> void;
  auto vacantSlot(const Peer& learner, const tempo::Node& node, int64_t nowMs) const -> tempo::Slot;
  struct Confirmations {
    size_t count = 0;
    bool isMajority = false;
    bool hasSuccessor = false;  // the one in this replica's former slot is among them
  };
  auto confirmationsOfReplacement(const tempo::Node& node) const -> Confirmations;
  auto newestMembership(const tempo::Node& node) const -> const neighbour::Hello*;

  Options options_;
  Saved saved_;
  std::map<std::string, Peer> peers_;  // by address
  bool isLeaving_ = false;
  tempo::Slot formerSlot_ = 0;
  int64_t helloMs_ = kNever, requestedMs_ = kNever, proposedMs_ = kNever;
  uint32_t proposedEpoch_ = 0;
  int64_t snapshotMs_ = kNever;  // when the newest snapshot was synced
  uint32_t snapshotEpoch_ = 0;
  Output out_;
};

}  // namespace dykestage::core
