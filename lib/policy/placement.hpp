// Policy: which upstream of a pool a request goes to. Pure: what is known of each upstream goes in, a choice comes out.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/state.hpp"

namespace dykestage::policy {

/// How one upstream does, as this node sees it: by its own requests, and by the load that answers tell.
struct Health {
  double tookMs = 0;                             // smoothed time of a request without waiting; 0: none has ended yet
  int open = 0;                                  // own requests under way
  int told = 0;                                  // all nodes' requests running and waiting there, as it told last
  int openWhenTold = 0;                          // own ones at that moment
  int64_t toldMs = -1;                           // when; -1: it does not tell
  int failures = 0;                              // in a row
  int64_t shunUntilMs = 0;                       // passed over until then
  int64_t coldUntilMs = 0;                       // slow from its start until then
  std::set<std::pair<int64_t, uint64_t>> since;  // own requests under way: when they left, their ids
  /// A request leaves for it. Example: `health.left(id, nowMs);`
  auto left(uint64_t id, int64_t nowMs) -> void;
  /// A request's outcome is there. `waitedMs` is what it was expected to wait for a slot. Example: `health.ended(id,
  /// leftMs, 60, 0, true, nowMs);`
  auto ended(uint64_t id, int64_t leftMs, int64_t tookMs, double waitedMs, bool isWell, int64_t nowMs) -> void;
};

/// One upstream that may be chosen.
struct Candidate {
  const std::string* name = nullptr;
  const core::Upstream* upstream = nullptr;
  Health* health = nullptr;
};

struct Placement {
  size_t index = 0;       // of the candidate
  double expectedMs = 0;  // until its answer
  double waitMs = 0;      // of that, for a slot
};

struct PlacementProps {
  std::string site;
  int64_t loadMs = 500;     // told load counts for so long
  int64_t connections = 0;  // own ones to one upstream at most; 0: no limit
  double farFactor = 1.1;   // how much longer an upstream of another site seems
  bool isKept = false;      // no other node sends to them
  bool isFreeOnly = false;  // only those with a free slot
};

/// When an answer from an upstream may be expected, in ms. Example: `expect(candidate, 60, props, nowMs).expectedMs`
auto expect(const Candidate& candidate, double poolMs, const PlacementProps& props, int64_t nowMs) -> Placement;
/// The mean time of a pool's requests, over the upstreams that are known; 0: none. Example: `poolMean(candidates)`
auto poolMean(const std::vector<Candidate>& candidates) -> double;
/// Chooses among candidates, the likelier the sooner the answer is expected; none if all are shunned or full.
/// `dice` is any number. Example: `if (auto at = choose(candidates, tried, props, dice, nowMs))
/// send(candidates[at->index]);`
auto choose(const std::vector<Candidate>& candidates, const std::set<std::string>& tried, const PlacementProps& props,
            uint64_t dice, int64_t nowMs) -> std::optional<Placement>;

/// Who sends a pool's requests to its upstreams. Where there are few slots a node, nodes that choose for themselves
/// find queues at one upstream and free slots at another; so a few nodes, by rendezvous hashing, each keep some of the
/// upstreams to themselves and know what runs there, and the others ask them.
struct Dispatch {
  std::vector<size_t> nodes;              // places among the fetchers; none: every node for itself
  std::vector<int64_t> slots;             // that each of them keeps
  std::map<std::string, size_t> keepers;  // upstream → place in `nodes`
};
/// Example: `auto dispatch = dispatchOf(frame, "till", fetcherHashes); if (!dispatch.nodes.empty())
/// ask(dispatch.nodes[0]);`
auto dispatchOf(const core::Frame& frame, const std::string& pool, const std::vector<uint64_t>& fetchers) -> Dispatch;

}  // namespace dykestage::policy
