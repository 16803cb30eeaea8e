// Core: the control plane's state, which ordered commands change, and the frames of it that nodes receive.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tempo/tempo.hpp"

namespace dykestage::core {

enum class UpstreamKind : uint8_t { kStore = 0, kApplication = 1 };

/// A path of a service: requests whose target starts with `prefix` go to upstreams of `kind`.
struct Path {
  std::string prefix;
  UpstreamKind kind = UpstreamKind::kApplication;
  int64_t keepMs = 0;  // how long a read may be kept; 0: not at all
  DYKESTAGE_FIELDS(prefix, kind, keepMs)
};

/// A configured service.
struct Service {
  std::vector<std::string> hosts;
  std::vector<Path> paths;
  int64_t deadlineMs = 1000;
  int64_t originRate = 0;  // requests a second over all shields; 0: no limit
  int64_t triesPercent = 20;
  int64_t triesAllowance = 10;
  DYKESTAGE_FIELDS(hosts, paths, deadlineMs, originRate, triesPercent, triesAllowance)
};

/// One upstream instance. `isHeld` while its address may still be known to some node as another service's.
struct Upstream {
  std::string service, address, site;
  UpstreamKind kind = UpstreamKind::kApplication;
  int64_t capacity = 1;
  bool isEmptying = false;
  bool isHeld = false;
  DYKESTAGE_FIELDS(service, address, site, kind, capacity, isEmptying, isHeld)
};

/// A node of the data plane (or its agent), as it joined.
struct Member {
  std::string kind, site, address;  // "edge" or "shield"; address between own processes
  std::string agent;                // where its agent listens
  uint64_t incarnation = 0;
  auto operator==(const Member&) const -> bool = default;
  DYKESTAGE_FIELDS(kind, site, address, agent, incarnation)
};

/// A purge: one path of a service, or one label of a service.
struct Purge {
  uint64_t number = 0;
  std::string service, path, label;
  DYKESTAGE_FIELDS(number, service, path, label)
};

/// How far a holder is in each part of a frame. Every number only grows.
struct Revision {
  uint64_t configuration = 0, purges = 0, upstreams = 0, members = 0;
  auto operator==(const Revision&) const -> bool = default;
  /// True when nothing here is older than there. Example: `if (mine.covers(theirs)) ...`
  auto covers(const Revision& o) const -> bool {
    return configuration >= o.configuration && purges >= o.purges && upstreams >= o.upstreams && members >= o.members;
  }
  DYKESTAGE_FIELDS(configuration, purges, upstreams, members)
};

/// What a data node knows of the control plane. Parts that the asker had already are left out on the wire.
struct Frame {
  Revision revision;
  std::map<std::string, Service> services;
  std::vector<Purge> purges;   // newest ones, in order
  uint64_t purgeFloor = 0;     // purges up to here are no longer listed
  std::map<std::string, Upstream> upstreams;
  std::map<std::string, Member> members;
  DYKESTAGE_FIELDS(revision, services, purges, purgeFloor, upstreams, members)
};

/// The parts of a frame that changed since a revision. Example: `auto news = newsSince(frame, asker);`
struct News {
  Revision revision;
  std::optional<std::map<std::string, Service>> services;
  std::vector<Purge> purges;
  uint64_t purgeFloor = 0;
  std::optional<std::map<std::string, Upstream>> upstreams;
  std::optional<std::map<std::string, Member>> members;
  DYKESTAGE_FIELDS(revision, services, purges, purgeFloor, upstreams, members)
};
auto newsSince(const Frame& frame, const Revision& since) -> News;
/// Joins news to a frame; false when it would slide back. Example: `if (!join(frame, news)) return;`
auto join(Frame& frame, const News& news) -> bool;

// ---- operations ---------------------------------------------------------------------------------------

enum class OpKind : uint8_t { kTick, kConfigure, kPurge, kAnnounce, kSignOff, kRelease, kJoin, kLeave, kClaim };

/// One operation inside a command. Fields that a kind does not use stay empty.
struct Op {
  OpKind kind = OpKind::kTick;
  std::string changeId;                                      // kConfigure, kPurge: names the submission
  uint64_t base = 0;                                         // kConfigure: revision it builds on
  std::map<std::string, std::optional<Service>> services;    // kConfigure: set, or retire
  bool isWhole = false;                                      // kConfigure: what is not named is retired
  Purge purge;                                               // kPurge
  std::string name;                                          // instance, member or duty
  Upstream upstream;                                         // kAnnounce
  Member member;                                             // kJoin
  uint64_t incarnation = 0;                                  // kLeave; kClaim: the holder
  uint64_t term = 0;                                         // kSignOff, kLeave, kRelease, kClaim
  DYKESTAGE_FIELDS(kind, changeId, base, services, isWhole, purge, name, upstream, member, incarnation, term)
  /// The partitions it touches, as bits. Example: `node.submit(op.parts(), ...)`
  auto parts() const -> uint8_t;
};

enum class Outcome : uint8_t { kDone = 0, kConflict = 1, kOldTerm = 2, kNoChange = 3, kUnknown = 4 };

struct OpResult {
  Outcome outcome = Outcome::kDone;
  Revision revision;  // that everyone must have before it is acknowledged
  DYKESTAGE_FIELDS(outcome, revision)
};

/// The one duty that exists today: watching beats and deriving sign-offs.
inline const std::string kWatchDuty = "watch";

struct Duty {
  uint64_t term = 0;
  uint64_t holder = 0;  // a registry's incarnation
  DYKESTAGE_FIELDS(term, holder)
};

/// The replicated state. Each operation reads and writes only the partitions that it names.
class State : public tempo::Machine {
 public:
  auto apply(const tempo::Command& command, tempo::Stamp stamp) -> std::string override;
  auto save(uint8_t part) const -> std::string override;
  auto load(uint8_t part, const std::string& frame) -> void override;

  /// What data nodes are sent. Example: `newsSince(state.frame(), revision)`
  auto frame() const -> const Frame& { return frame_; }
  /// The result of a change by its id, while remembered. Example: `state.changed("c-17")`
  auto changed(const std::string& changeId) const -> std::optional<OpResult>;
  /// Who holds a duty. Example: `state.duty(kWatchDuty).holder == me`
  auto duty(const std::string& name) const -> Duty;
  /// The number of ticks executed, and each registry's last one. Example: `state.ticks()`
  auto ticks() const -> uint64_t { return ticks_; }
  auto lastTick(uint64_t incarnation) const -> uint64_t;

 private:
  auto applyOp(const Op& op) -> OpResult;
  auto configure(const Op& op) -> OpResult;
  auto announce(const Op& op) -> OpResult;
  auto remember(const std::string& changeId, const OpResult& result) -> void;

  Frame frame_;
  std::map<std::string, std::string> owners_;  // address → the service that had it last
  std::map<std::string, OpResult> changes_;
  std::vector<std::string> changeOrder_;
  std::map<std::string, Duty> duties_;
  uint64_t ticks_ = 0;
  std::map<uint64_t, uint64_t> lastTicks_;
};

/// The ops of a command's payload. Example: `auto ops = readOps(command.payload);`
auto readOps(const std::string& payload) -> std::vector<Op>;

}  // namespace dykestage::core
