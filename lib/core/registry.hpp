// Core: one registry. A state machine on the control thread: letters, HTTP requests, ended disk jobs and time
// go in; letters, answers and disk jobs come out.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "agent/feed.hpp"
#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "core/membership.hpp"
#include "core/state.hpp"
#include "neighbour/messages.hpp"
#include "operator/configuration.hpp"
#include "tempo/tempo.hpp"

namespace dykestage::core {

/// Work for the disk thread: writes, then perhaps a frame, synced as one.
struct DiskJob {
  uint64_t number = 0;
  std::vector<std::string> writes;
  std::string frame;
  bool mustHaveFrame = false;  // else the ring goes on without it as long as it has room
};

/// What a registry's disk holds besides the writes behind it.
struct DiskFrame {
  /// Grows by one whenever a record's fields change, here, in the state or in the ordering's writes.
  static constexpr uint32_t kVersion = 4;
  uint32_t version = kVersion;
  uint64_t incarnation = 0;
  Membership::Saved membership;
  tempo::Slot slot = 0;                          // among the initial replicas
  std::map<tempo::Slot, std::string> addresses;  // of the initial replicas: later settings don't change them
  std::string node;
  DYKESTAGE_FIELDS(version, incarnation, membership, slot, addresses, node)
  /// Why a disk's frame can't be read by this release; empty: it can. Example: `if (auto why =
  /// DiskFrame::refusal(frame); !why.empty()) exit(3);`
  static auto refusal(const std::string& bytes) -> std::string;
  /// Reads a disk's frame; a blank disk's has no addresses. Example: `auto saved = DiskFrame::from(found.frame);`
  static auto from(const std::string& bytes) -> DiskFrame;
};

class Registry {
 public:
  struct Props {
    tempo::Props core;
    std::function<void(op::StatusPage&)> addToStatus = {};  // what the program around it has to tell
    tempo::Slot slot = 1;                          // among the initial replicas; 0: it joins a core that there is
    std::map<tempo::Slot, std::string> addresses;  // of the initial replicas
    std::string address;                           // its own; empty: as `addresses` has it
    std::vector<std::string> contacts;             // where a core may be found
    int64_t boundMs = 2000;                        // the freshness bound
    int64_t staleMs = 1500;                        // 3/4 of it
    int64_t contactMs = 750;                       // 3/8 of it: without a majority for so long, calls are turned away
    int64_t tickMs = 250;                          // 1/8 of it
    bool servesStale = false;  // data nodes go on with what they know: who lacks a change is not waited for as long
    int64_t holdMs = 200;      // 1/10: how long a question for news is held
    int64_t batchMs = 2;
    int64_t beatMissMs = 3000;    // silence after which an upstream is signed off
    int64_t memberMissMs = 5000;  // silence after which a data node is signed off
    int64_t answerMs = 5000;      // after it a submission's outcome is called unknown
    size_t waiting = 4000;        // submissions under way
    bool mayForm = true;          // else a blank disk only joins a core that there is
  };
  struct Output {
    struct Sent {
      std::string to;
      uint8_t kind;
      std::string body;
      bool isAnswer = false;  // to a peer that has just asked: it waits for a line that is still coming up
    };
    struct Answered {
      std::shared_ptr<caller::Stream> stream;
      std::string method;
      bool keep;
      caller::Answer answer;
      std::string token = {};  // of the request
    };
    std::vector<Sent> letters;
    std::vector<Answered> answers;
    std::vector<DiskJob> jobs;
  };

  /// Starts from what the disk held; a blank disk is a new life.
  /// Example: `Registry registry(props, found.frame, found.writes, freshIncarnation);`
  Registry(Props props, const std::string& frame, const std::vector<std::string>& writes, uint64_t freshIncarnation);

  /// Takes a letter from another process. Example: `registry.take(letter.from, letter.kind, letter.body, nowMs);`
  auto take(const std::string& from, uint8_t kind, const std::string& body, int64_t nowMs) -> void;
  /// Takes an operator's or upstream's request. Example: `registry.take(request, nowMs);`
  auto take(const caller::Request& request, int64_t nowMs) -> void;
  /// A disk job has been synced. Example: `registry.synced(job.number, ring.fill(), tookUs, nowMs);`
  auto synced(uint64_t number, double fill, int64_t tookUs, int64_t nowMs) -> void;
  auto tick(int64_t nowMs) -> void;
  /// Other places where a core may be found. Example: on new settings `registry.setContacts(seeds);`
  auto setContacts(std::vector<std::string> contacts) -> void { membership_.setContacts(std::move(contacts)); }
  /// Says that this registry is about to stop, so that a learner takes its place first. Example: on SIGTERM
  /// `registry.leave();`
  auto leave() -> void { membership_.leave(); }
  /// True while a learner may still take the place of this leaving registry. Example: `if
  /// (!registry.mayHandOver(nowMs)) stop();`
  auto mayHandOver(int64_t nowMs) const -> bool { return membership_.mayHandOver(*node_, nowMs); }
  /// When time has to pass here at the latest, if nothing comes in before. Example: `poll(fds, registry.dueMs() -
  /// nowMs)`
  auto dueMs() const -> int64_t;
  auto output() -> Output {
    pages_.clear();
    return std::exchange(out_, {});
  }
  /// Ready to serve operators, upstreams and agents. Example: `registry.isReady(nowMs)`
  auto isReady(int64_t nowMs) const -> bool;
  /// True while a majority is known to have ordered something of this registry within the contact bound, and is heard.
  /// Whoever asks a registry out of contact is turned away at once. Example: `if (!registry.hasContact(nowMs)) ...`
  auto hasContact(int64_t nowMs) const -> bool;
  auto incarnation() const -> uint64_t { return disk_.incarnation; }
  /// Whether it is a replica, or a learner that may become one. Example: `registry.isMember()`
  auto isMember() const -> bool { return node_->isMember(); }
  auto isLearner() const -> bool { return !isMember() && !membership_.saved().wasMember; }
  /// Which membership of the core it knows, and where those members are. Example: `registry.epoch()`
  auto epoch() const -> uint32_t { return node_->epoch(); }
  auto members() const -> std::vector<std::string> { return membership_.addresses(*node_); }

 private:
  using Done = std::function<void(const OpResult*, int64_t nowMs)>;  // null: the outcome is not known
  struct Pending {
    Op op;
    Done done;
  };
  using Reply = std::function<void(const caller::Answer&)>;  // answers a request, or all that wait for the same
  struct Step {                                              // what may leave once a disk job is synced
    uint64_t job = 0;
    std::vector<Output::Sent> letters;
    std::vector<tempo::Answer> answers;
    std::vector<std::pair<Reply, caller::Answer>> pages;
    std::shared_ptr<const Frame> published;
  };
  struct Heard {
    uint64_t incarnation = 0;
    Revision revision;
    int64_t heardMs = 0;
    std::map<std::string, bool> probes;
    neighbour::Samples samples;
    bool isOwn = false;               // it asks this registry
    std::vector<std::string> silent;  // the neighbours that it watches in vain
  };
  struct Watched {  // a running rollout's step, as this holder of the duty saw it begin
    uint32_t step = 0;
    int64_t sinceMs = 0;
    std::map<std::string, std::pair<uint64_t, std::pair<policy::Sample, policy::Sample>>>
        before;  // by edge, with its life
    bool isDeciding = false;
  };
  struct Ack {
    Revision revision;
    int64_t sinceMs = 0;
    int64_t mostMs = 0;  // it is not waited for longer than this
    std::function<void()> done;
  };
  struct Who {  // where an HTTP answer goes
    std::shared_ptr<caller::Stream> stream;
    std::string method;
    bool keep = true;
    std::string token = {};
  };

  struct Waiter {  // is told that the outcome is not known if it is not known in time
    Who who;
    int64_t untilMs = 0;
    caller::Answer late;
    bool isAnswered = false;
  };

  auto submit(Op op, Done done) -> void;
  auto flushBatch(int64_t nowMs) -> void;
  auto collect(int64_t nowMs) -> void;
  auto release(int64_t nowMs) -> void;
  auto saveFrame(bool isNeeded) -> void;
  auto followMembership(int64_t nowMs) -> void;
  auto restartAsLearner(int64_t nowMs) -> void;
  auto sendSnapshot(const std::string& to) -> void;
  auto onBundle(const std::string& from, const neighbour::Bundle& bundle, int64_t nowMs) -> void;
  auto onPoll(const std::string& from, neighbour::Poll poll, int64_t nowMs) -> void;
  auto feed(int64_t nowMs) -> void;
  auto onClaims(const std::string& from, neighbour::Claims claims) -> void;
  auto watch(int64_t nowMs) -> void;
  auto judge(const std::string& id, const Rollout& rollout, uint64_t term, int64_t nowMs) -> void;
  auto submitTemplate(const std::string& body, Who who) -> void;
  auto setTenants(const std::string& body, Who who, int tries) -> void;
  auto checkAcks(int64_t nowMs) -> void;
  auto isAwaited(const std::string& name, const Member& member, int64_t nowMs) const -> bool;
  auto leastInForce(bool isOfAwaited, int64_t nowMs) const -> Revision;
  auto noteMembers(int64_t nowMs) -> void;
  auto acknowledge(const Revision& revision, int64_t mostMs, int64_t nowMs, std::function<void()> done) -> void;
  auto configure(const std::string& body, Who who, int tries) -> void;
  auto setRouting(const std::string& body, Who who) -> void;
  auto orderRouting(Op op, Reply reply, bool hasRead) -> void;
  auto showFrame(const std::string& path, const Who& who, std::function<std::string()> write) -> void;
  auto showRouting(Who who) -> void;
  auto afterRead(const Who& who, std::function<caller::Answer()> make) -> void;
  auto show(const std::string& path, const Who& who) -> void;
  auto rolloutsAnswer(const std::string& wanted) const -> caller::Answer;
  auto changeAnswer(const std::string& id) const -> caller::Answer;
  auto answerLate(int64_t nowMs) -> void;
  auto watchContact(int64_t nowMs) -> void;
  auto announce(const std::string& body, Who who) -> void;
  auto purge(const std::string& body, Who who) -> void;
  auto within(int64_t forMs, const Who& who, caller::Answer late) -> Reply;
  auto joined(const std::string& key, const Who& who, const std::string& detail) -> Reply;
  auto ranMs(const Revision& revision) const -> int64_t;
  auto heldMs() const -> int64_t {
    return props_.staleMs + props_.tickMs / 4;
  }  // whoever lacks it by then has stopped acting
  // How long acknowledgements wait for nodes that are heard and still lack what is acknowledged. A change of the
  // configuration that is sent again goes on waiting where it was; each copy of a purge or of an upstream's call is
  // waited for anew, so that its wait ends within one call.
  auto longestAckMs() const -> int64_t { return props_.servesStale ? props_.boundMs : heldMs(); }
  auto callAckMs() const -> int64_t { return props_.servesStale ? props_.boundMs * 3 / 8 : heldMs(); }
  auto silentMs() const -> int64_t { return props_.boundMs / 2; }  // then a node counts as out of contact
  auto haveEveryMs() const -> int64_t { return hasNewsOfMembers_ ? props_.batchMs : props_.boundMs / 10; }
  auto answer(const Who& who, const caller::Answer& answer) -> void;
  auto page(Reply reply, const caller::Answer& answer) -> void;
  auto json(const Who& who, const std::string& body) -> void;
  auto invalid(const Who& who, const std::vector<op::Fault>& faults) -> void;
  auto change(Op op, const std::string& body, Reply reply, std::string detail, std::function<void()> again,
              std::function<std::string(const OpResult&)> told) -> void;
  auto statusPage(int64_t nowMs) const -> std::string;
  auto ageMs(int64_t nowMs) const -> int64_t { return asOfMs_ < 0 ? 1LL << 40 : nowMs - asOfMs_; }
  auto watches() const -> bool { return state_.duty(kWatchDuty).holder == disk_.incarnation; }

  Props props_;
  DiskFrame disk_;
  State state_;
  std::unique_ptr<tempo::Node> node_;
  Membership membership_;
  Output out_;
  struct FramePage {
    Revision revision;
    Body body;
  };
  std::map<std::string, FramePage> pages_;  // by path, written since the last output

  uint64_t nextJob_ = 1, lastJob_ = 0, syncedJob_ = 0, frameJob_ = 0;
  std::deque<Step> steps_;
  bool wantsFrame_ = false;
  int64_t frameTriedMs_ = -1'000'000;
  std::shared_ptr<const Frame> published_ = std::make_shared<Frame>();
  std::shared_ptr<const Frame> taken_ = published_;
  int64_t asOfMs_ = -1;

  std::vector<Pending> batch_;
  int64_t batchSinceMs_ = 0;
  std::map<tempo::Id, std::vector<Pending>> running_;
  std::map<tempo::Id, int64_t> runningSinceMs_;
  int64_t tickedMs_ = -1'000'000;
  std::map<std::string, Heard> heard_;
  std::map<std::string, int64_t> beats_;     // instance → when last heard
  std::map<std::string, int64_t> listedMs_;  // upstreams and members in the frame → since when, here
  std::map<std::string, Watched> watched_;
  std::map<std::string, int64_t> heldSinceMs_;
  std::map<std::string, int64_t> joinTriedMs_;
  std::map<std::string, std::pair<uint64_t, int64_t>> listedSinceMs_;  // member → its incarnation, and since when
  int64_t contactSinceMs_ = 0;                                         // what was silent before counts for nothing
  std::vector<Ack> acks_;
  std::vector<std::shared_ptr<Waiter>> waiters_;
  std::map<std::string, std::vector<Reply>> underWay_;  // submissions that whoever repeats them joins
  std::deque<std::pair<Revision, int64_t>> ran_;        // when each revision ran here, back to ackMs() ago
  int64_t nowMs_ = 0;                                   // of the input under way
  agent::Giver giver_;
  std::map<tempo::Slot, std::string> heardFrom_;  // where the last messages of a slot came from
  uint64_t snapshotJob_ = 0;                      // the disk job of the newest snapshot taken; 0: it is synced
  uint32_t snapshotEpoch_ = 0;
  int64_t haveMs_ = 0, claimMs_ = 0, watchSinceMs_ = -1, watchedMs_ = 0;
  bool hasNewsOfMembers_ = false, hadContact_ = false;
  uint64_t life_, changeNumber_ = 0;         // of this process, not of its disk: ids given here are never given again
  std::deque<int64_t> commitsMs_, syncsUs_;  // the last few, for the status page
  uint64_t syncs_ = 0;
  uint64_t signOffs_ = 0, conflicts_ = 0, acked_ = 0;
};

}  // namespace dykestage::core
