// Tempo: orders commands among the core nodes by timestamps that become stable.
// After "Efficient Replication via Timestamp Stability" (Enes, Baquero, Gotsman, Sutra; EuroSys '21).
// docs/design.md says what was kept, what was changed, and why.
//
// The package is pure: it takes inputs (messages, submissions, the passing of time) and returns what
// to write, what to send and what to answer. The caller must sync the writes of one step, and of every
// step before it, before any send or answer of that step leaves.
#pragma once
#include <array>
#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tempo/bytes.hpp"

namespace dykestage::tempo {

using Slot = uint32_t;         // a replica's fixed seat, 1..r
using Incarnation = uint64_t;  // one life of a replica's disk
using Stamp = uint64_t;
using Ballot = uint64_t;

/// The partitions of the control plane's state. Every core node holds a replica of each.
enum Part : uint8_t { kConfiguration = 0, kUpstreams = 1, kMembers = 2, kKeys = 3 };
inline constexpr size_t kParts = 4;
inline constexpr uint8_t kAllParts = (1u << kParts) - 1;

/// Names a command for ever: the disk life that coordinated it, and a number never used again there.
struct Id {
  Incarnation origin = 0;
  uint64_t number = 0;
  auto operator<=>(const Id&) const = default;
  DYKESTAGE_FIELDS(origin, number)
};

/// A command: the partitions that it touches, the fast quorum named at submission, and its payload.
struct Command {
  Id id;
  uint32_t epoch = 0;   // number of replica changes its coordinator had executed
  uint8_t parts = 0;    // bit per partition
  uint32_t quorum = 0;  // bit per slot, the same for each partition as replicas share machines
  uint8_t kind = 0;     // kPlain or kReplaceReplica
  std::string payload;
  DYKESTAGE_FIELDS(id, epoch, parts, quorum, kind, payload)
};
inline constexpr uint8_t kPlain = 0;
inline constexpr uint8_t kReplaceReplica = 1;

/// The payload of a kReplaceReplica command: from its place in the order on, the successor is the replica in the slot.
/// It changes nothing unless the slot still holds the replaced incarnation and the successor is in no slot yet.
struct Replacement {
  Slot slot = 0;
  Incarnation replaced = 0;
  Incarnation successor = 0;
  std::string address;  // of the successor, opaque to this package
  DYKESTAGE_FIELDS(slot, replaced, successor, address)
};

enum class Phase : uint8_t { kStart, kPayload, kPropose, kRecoverR, kRecoverP };

/// What a replica says of its own timestamps in (from, upTo]: those attached to commands, by name; all
/// others are detached and will never be proposed.
struct Promise {
  uint8_t part = 0;
  Slot slot = 0;
  Incarnation incarnation = 0;
  Stamp from = 0;
  Stamp upTo = 0;
  Stamp executed = 0;          // every command stamped up to here has been executed there
  std::pair<Stamp, Id> floor;  // commands up to this place in the order may be forgotten there
  std::vector<std::pair<Stamp, Id>> attached;
  DYKESTAGE_FIELDS(part, slot, incarnation, from, upTo, executed, floor, attached)
};

enum class Kind : uint8_t {
  kPropose,
  kPayload,
  kProposeAck,
  kCommit,
  kConsensus,
  kConsensusAck,
  kRec,
  kRecAck,
  kRecNack,
  kCommitAsk,
  kPromises,
  kFrameAsk,
  kFrame
};

/// One message of the protocol. Fields that a kind does not use stay empty.
struct Message {
  Kind kind = Kind::kPromises;
  Incarnation from = 0;
  uint32_t epoch = 0;
  uint8_t part = 0;
  Id id;
  Stamp stamp = 0;
  Ballot ballot = 0;
  Ballot accepted = 0;
  Phase phase = Phase::kStart;
  std::optional<Command> command;
  std::vector<Promise> promises;
  std::vector<Stamp> have;  // kPromises: the receiver's promises known here, per partition
  std::string frame;        // kFrame
  uint32_t hears = 0;       // kPromises: bit per slot that the sender has heard lately
  bool isCurrent = false;   // kPromises: the sender has caught up with what it hears
  DYKESTAGE_FIELDS(kind, from, epoch, part, id, stamp, ballot, accepted, phase, command, promises, have, frame, hears,
                   isCurrent)
};

struct Send {
  Slot to = 0;
  Message message;
};

/// The outcome of a command submitted here: its result, or void when a replica change overtook it.
struct Answer {
  Id id;
  bool isVoid = false;
  std::string result;
};

/// What one or more steps ask of the caller, in order: sync `writes`, then send and answer.
struct Output {
  std::vector<std::string> writes;
  std::vector<Send> sends;
  std::vector<Answer> answers;
  bool frameTaken = false;  // a frame replaced the executed state: the caller must save it before sending
};

/// The replicated state that commands change. It must be deterministic.
class Machine {
 public:
  virtual ~Machine() = default;
  /// Applies one command and returns its result. Example: `auto result = machine.apply(command, stamp);`
  virtual auto apply(const Command& command, Stamp stamp) -> std::string = 0;
  /// One partition's state as bytes. Example: `auto frame = machine.save(kMembers);`
  virtual auto save(uint8_t part) const -> std::string = 0;
  /// Replaces one partition's state. Example: `machine.load(kMembers, frame);`
  virtual auto load(uint8_t part, const std::string& frame) -> void = 0;
};

/// Settings of the protocol; times follow from the freshness bound (see docs/settings.md).
struct Props {
  uint32_t replicas = 5;     // follows the members once they are known
  uint32_t faults = 2;       // at most; never more than a minority of the replicas
  int64_t promiseMs = 20;    // between promises to a replica that lacks some, or that waits to hear what is known here
  int64_t idleMs = 100;      // between promises when nothing waits for them; below suspectMs
  int64_t slowMs = 40;       // wait for a whole fast quorum before a majority is enough
  int64_t recoveryMs = 250;  // wait before a command is recovered
  int64_t askMs = 40;        // wait before a missing commit is asked for
  int64_t suspectMs = 250;   // silence after which a replica is believed dead
  size_t keepCommands = 4096;
  // Rule breakers for the proof that the checker bites; all off in any real run.
  int breakSlowQuorum = 0;      // replies too few in a slow quorum
  bool breakStability = false;  // executes at commit instead of at stability
};

/// A set of numbers kept as ranges. Example: `Ranges r; r.add(3); r.has(3) == true;`
class Ranges {
 public:
  auto add(uint64_t n) -> void { add(n, n); }
  auto add(uint64_t first, uint64_t last) -> void;
  auto has(uint64_t n) const -> bool;
  /// Takes in all numbers of another set. Example: `mine.join(theirs);`
  auto join(const Ranges& other) -> void;
  DYKESTAGE_FIELDS(ranges_)
 private:
  std::map<uint64_t, uint64_t> ranges_;  // first → last
};

/// One core node: a replica of every partition.
/// Example:
///   Node node(props, slot, incarnation, machine);
///   node.form({{1, a}, {2, b}, {3, c}});
///   auto id = node.submit(1u << kConfiguration, payload, nowMs);
///   auto out = node.take();   // sync out.writes, then send out.sends
class Node {
 public:
  Node(Props props, Slot slot, Incarnation incarnation, Machine& machine);

  /// Starts the first epoch with its members, and their addresses if replicas are to be replaced at other ones.
  /// Example: `node.form(members, addresses);`
  auto form(const std::map<Slot, Incarnation>& members, const std::map<Slot, std::string>& addresses = {}) -> void;
  /// True once this node's incarnation is one of the members. Example: `if (!node.isMember()) sayHello();`
  auto isMember() const -> bool;
  /// The members of the current epoch. Example: `node.members().at(2)`
  auto members() const -> const std::map<Slot, Incarnation>& { return members_; }
  /// Where the members of the current epoch are reached. Example: `node.addresses().at(2)`
  auto addresses() const -> const std::map<Slot, std::string>& { return addresses_; }
  /// How long nothing has been heard of a member, in ms. Example: `if (node.silentMs(2, nowMs) > limitMs) ...`
  auto silentMs(Slot slot, int64_t nowMs) const -> int64_t;
  auto epoch() const -> uint32_t { return epoch_; }
  auto slot() const -> Slot { return slot_; }
  auto incarnation() const -> Incarnation { return incarnation_; }

  /// Coordinates a command; the answer comes later under the returned id.
  /// Example: `auto id = node.submit(kAllParts, payload, nowMs);`
  auto submit(uint8_t parts, std::string payload, int64_t nowMs, uint8_t kind = kPlain) -> Id;
  /// Coordinates the replacement of a replica. Example: `node.replace({2, gone, fresh, "10.0.0.4:7000"}, nowMs);`
  auto replace(const Replacement& replacement, int64_t nowMs) -> Id;
  /// Takes a message. Example: `node.receive(from, message, nowMs);`
  auto receive(Slot from, const Message& message, int64_t nowMs) -> void;
  /// Lets time pass: promises, retries, recovery. Example: every few ms `node.tick(nowMs);`
  auto tick(int64_t nowMs) -> void;
  /// When time has to pass here at the latest. Example: `wait(node.dueMs() - nowMs); node.tick(nowMs);`
  auto dueMs() const -> int64_t;
  /// The slots believed alive: seated lives heard within suspectMs. Example: `if (node.alive() & Node::bit(2)) ...`
  auto alive() const -> uint32_t { return alive_; }
  /// True when this node hears a majority and has run what that had run when it was heard first. Until then nothing
  /// should be submitted here: others would have to wait for it.
  /// Example: `if (node.isCurrent()) node.submit(...);`
  auto isCurrent() const -> bool { return !catchUp_; }
  /// Hands over what there is to write, send and answer. Example: `auto out = node.take();`
  auto take() -> Output;

  /// Everything a restart needs besides later writes. Example: `disk.frame(node.save());`
  auto save() const -> std::string;
  /// Rebuilds from a frame, then from each later write in order. Example: `node.load(frame); node.replay(w);`
  auto load(const std::string& frame) -> bool;
  auto replay(const std::string& write) -> bool;
  /// Ends the rebuilding: drops what is known to be executed. Example: `node.replayed();`
  auto replayed() -> void;

  /// Figures for status pages. Example: `node.figures().fast`
  struct Figures {
    uint64_t fast = 0, slow = 0, recovered = 0, executed = 0, voided = 0, frames = 0, pending = 0;
  };
  auto figures() const -> Figures;
  /// The clock of a partition, and the stamp up to which all was executed. Example: `node.executedUpTo(kMembers)`
  auto clock(uint8_t part) const -> Stamp { return parts_[part].clock; }
  auto executedUpTo(uint8_t part) const -> Stamp;
  auto stable(uint8_t part) const -> Stamp;
  /// The stamps of executed commands still remembered, for checkers. Example: `node.executedStamp(id)`
  auto executedStamp(const Id& id) const -> std::optional<Stamp>;
  /// One line on each partition, for histories and status pages. Example: `LOG(INFO) << node.explain();`
  auto explain() const -> std::string;
  /// Moves a clock for tests of the paper's examples. Example: `node.setClock(kMembers, 10);`
  auto setClock(uint8_t part, Stamp stamp) -> void { bump(part, stamp); }

  static auto bit(Slot slot) -> uint32_t { return 1u << slot; }

 private:
  struct RecAckSeen {
    Stamp stamp;
    Phase phase;
    Ballot accepted;
  };
  struct Share {  // a command's state at one partition
    Phase phase = Phase::kStart;
    Stamp stamp = 0;
    Stamp proposal = 0;  // own attached promise
    Ballot ballot = 0, accepted = 0;
    Stamp committed = 0;
    std::map<Slot, Stamp> acks;
    std::vector<Promise> promises;  // of the acks, passed on with the commit
    std::map<Slot, RecAckSeen> recAcks;
    uint32_t consensusAcks = 0;
    Ballot proposing = 0;   // ballot at which this node sent consensus
    Ballot recovering = 0;  // ballot of this node's own recovery
    bool decided = false;   // this node, as coordinator, chose a path
  };
  struct Entry {
    std::optional<Command> command;
    std::array<Share, kParts> shares;
    Stamp final = 0;  // 0: not committed everywhere yet
    bool executed = false;
    bool isOwn = false;
    int64_t sinceMs = 0, askedMs = 0, triedMs = 0;
    uint32_t tries = 0;  // of recovery
  };
  struct Peer {  // what another replica last said of itself since it is heard
    uint32_t hears = 0;
    bool isCurrent = false;
  };
  struct CatchUp {  // how far each replica heard since the beginning had run then
    std::map<Slot, std::array<Stamp, kParts>> targets;
  };
  struct Known {  // promises of one replica in one partition
    Stamp upTo = 0;
    Stamp executed = 0;
    std::map<Stamp, Id> attached;  // not committed here yet
    Stamp told = 0;                // upTo as that replica was last told that it is known here
  };
  struct PartState {
    Stamp clock = 0;
    Stamp executed = 0;          // everything up to here has run
    std::pair<Stamp, Id> last;   // the last that ran; others of its stamp may still have to
    std::pair<Stamp, Id> floor;  // what is forgotten lies at or before this place
    std::map<Stamp, Id> own;     // attached promises given here and not forgotten
    std::map<Stamp, Id> open;    // those whose command is not committed here yet
    std::map<Slot, Known> known;
    std::map<Slot, Stamp> acked;  // own promises known at others
    std::set<std::pair<Stamp, Id>> queue;
    /// True when everything up to a place in the order has run. Example: `if (!part.ran(p.floor)) askFrame();`
    auto ran(const std::pair<Stamp, Id>& place) const -> bool { return place.first <= executed || place <= last; }
  };

  auto entry(const Id& id, int64_t nowMs) -> Entry&;
  auto isDone(const Id& id) const -> bool;
  auto learn(const Command& command, int64_t nowMs) -> Entry*;
  auto propose(uint8_t part, const Id& id, Stamp least) -> Stamp;
  auto bump(uint8_t part, Stamp stamp) -> void;
  auto decide(const Id& id, Entry& e, uint8_t part, int64_t nowMs) -> void;
  auto commit(const Id& id, uint8_t part, Stamp stamp, int64_t nowMs) -> void;
  auto broadcastCommit(const Id& id, Entry& e, uint8_t part, Stamp stamp, int64_t nowMs) -> void;
  auto finish(const Id& id, Entry& e) -> void;
  auto recover(const Id& id, Entry& e, uint8_t part, int64_t nowMs) -> void;
  auto onPropose(Slot from, const Message& m, int64_t nowMs) -> void;
  auto onConsensus(Slot from, const Message& m, int64_t nowMs) -> void;
  auto onRec(Slot from, const Message& m, int64_t nowMs) -> void;
  auto onRecAck(Slot from, const Message& m, int64_t nowMs) -> void;
  auto onConsensusAck(Slot from, const Message& m, int64_t nowMs) -> void;
  auto dispatch(Slot from, const Message& m, int64_t nowMs) -> void;
  auto askFrame(Slot from, int64_t nowMs) -> void;
  auto onPromises(Slot from, const Message& m, int64_t nowMs) -> void;
  auto answerAsk(Slot from, const Id& id) -> void;
  auto takePromise(const Promise& p) -> void;
  auto promise(uint8_t part, Stamp from) const -> Promise;
  auto takeFrame(const std::string& frame) -> void;
  auto readFrame(const std::string& frame, bool own) -> bool;
  auto execute() -> void;
  auto change(Stamp stamp, const Replacement& replacement) -> void;
  auto adoptMembers(std::map<Slot, Incarnation> members, std::map<Slot, std::string> addresses) -> void;
  auto dropVoid() -> void;
  auto forget() -> void;
  auto findOpen() -> void;
  auto note(const Id& id, const Entry& e, uint8_t part) -> void;
  auto noteCommand(const Command& command) -> void;
  auto send(Slot to, Message message) -> void { out_.sends.push_back({to, std::move(message)}); }
  auto sendAll(const Message& message) -> void;
  auto leastAcked(uint8_t part) const -> Stamp;
  auto waits(Slot slot) const -> bool;
  auto make(Kind kind, const Id& id, uint8_t part) const -> Message;
  auto others() const -> std::vector<Slot>;
  auto slotOf(Incarnation incarnation) const -> Slot;
  auto fastSize() const -> uint32_t { return props_.replicas / 2 + props_.faults; }
  auto majority() const -> uint32_t { return props_.replicas / 2 + 1; }
  auto place() const -> uint32_t;
  auto leader(uint8_t part, uint32_t tries) const -> Slot;
  auto listen(int64_t nowMs) -> void;
  auto beginCatchUp() -> void;
  auto endCatchUp() -> void;
  auto isUsable(Slot slot) const -> bool;

  Props props_;
  uint32_t mostFaults_;  // as the settings have it
  Slot slot_;            // 0: it is no member
  Incarnation incarnation_;
  Machine& machine_;
  std::map<Slot, Incarnation> members_;
  std::map<Slot, std::string> addresses_;
  uint32_t epoch_ = 0;
  Stamp boundary_ = 0;
  uint32_t alive_ = ~0u;
  std::map<Slot, int64_t> heardMs_;
  std::map<Slot, Peer> peers_;
  std::optional<CatchUp> catchUp_;
  uint64_t nextNumber_ = 1;
  std::array<PartState, kParts> parts_;
  std::map<Id, Entry> entries_;
  std::map<Incarnation, Ranges> done_;
  std::map<Id, Stamp> doneStamps_;
  int64_t promisedMs_ = 0, idledMs_ = 0, tickedMs_ = 0, forgotMs_ = 0;
  int64_t frameAskedMs_ = -1'000'000;
  bool isReplaying_ = false;
  Figures figures_;
  Output out_;
};

}  // namespace dykestage::tempo
