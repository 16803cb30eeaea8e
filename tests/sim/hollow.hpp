// Sim: a control plane of many hollow data nodes in virtual time. Registries, followers and givers are the real ones
// and letters are really encoded; what a proxy and its agent do besides (traffic, sockets) is left out. Counts only:
// what it finds is for docs/CAPACITY.md.
#pragma once
#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "agent/feed.hpp"
#include "core/registry.hpp"
#include "sim/timeline.hpp"

namespace dykestage::sim {

/// What one process sent, took and did in the measured span.
struct Tally {
  uint64_t lettersOut = 0, lettersIn = 0, bytesOut = 0, bytesIn = 0;  // on the network, not over loopback
  uint64_t loops = 0;                                                 // wake-ups of its thread
  int64_t cpuNs = 0;                                                  // of its thread inside its own code
};

/// How long changes took to reach the last node, and until they were acknowledged, from their submission.
struct Reach {
  uint64_t sent = 0, acknowledged = 0;
  int64_t lastP50Ms = -1, lastMaxMs = -1, ackP50Ms = -1, ackMaxMs = -1;
};

struct HollowFigures {
  int64_t nodes = 0, spanMs = 0, formMs = -1;                         // formMs: until every node knew every node
  Tally agentMean, agentMost, proxyMean, registryMean, registryMost;  // of one process
  Tally formAgent, formRegistry;                                      // the same while all joined, in all
  std::map<uint8_t, std::pair<uint64_t, uint64_t>>
      registryOut;                          // by kind of letter: letters and bytes of all registries
  double syncsPerS = 0, diskBytesPerS = 0;  // of one registry
  double neighboursUs = 0;                  // one choice of neighbours, which a real agent makes at each wake-up
  Reach purges, changes;
  int64_t membersSeenMs = -1;  // after a loss or the last restart: until all that live had the right list
  int64_t notCurrent = 0;  // nodes whose frame was over 3/4 of the bound old at some look in the last half of the span
  int64_t current = 0;     // nodes that were current at the end
  int64_t followNeighbours = 0;
  int64_t lettersLost = 0;  // for a line that was down or cut
};

/// Example: `auto f = Hollow({.nodes = 80, .purgesPerS = 23}).run();`
class Hollow : Timeline {
 public:
  struct Props {
    uint64_t seed = 1;
    int64_t nodes = 20, registries = 5, faults = 2;
    int64_t regions = 1, zones = 4;
    int64_t boundMs = 3900;
    int64_t upstreams = 0, routes = 20;
    int64_t joinMs = 0;  // over which the nodes start
    int64_t settleMs = 4000, spanMs = 10000;
    double purgesPerS = 0, changesPerS = 0, restartsPerS = 0;
    bool losesZone = false, cutsRegions = false;
  };
  explicit Hollow(Props props);
  ~Hollow();
  Hollow(const Hollow&) = delete;
  auto operator=(const Hollow&) -> Hollow& = delete;
  auto run() -> HollowFigures;

 private:
  struct Core;
  struct Node;
  struct Change {
    int64_t sentMs = -1, ackMs = -1, lastMs = -1;
  };
  struct Input {
    std::string from;
    uint8_t kind = 0;
    std::string body;
  };
  auto delayMs(int64_t regionA, int64_t regionB) const -> int64_t;
  auto isCut(int64_t regionA, int64_t regionB) const -> bool;
  auto post(Tally& tally, int64_t region, const std::string& from, const std::string& to, uint8_t kind,
            std::string body) -> bool;
  auto wake(Core& core) -> void;
  auto loop(Core& core) -> void;
  auto http(Core& core, const std::string& target, const std::string& body,
            std::function<void(const caller::Answer&)> then) -> void;
  auto start(Node& node) -> void;
  auto stop(Node& node) -> void;
  auto wake(Node& node, bool isProxy) -> void;
  auto agentLoop(Node& node) -> void;
  auto proxyLoop(Node& node) -> void;
  auto took(Node& node, const core::Revision& before) -> void;
  auto beat(int64_t place) -> void;
  auto purge() -> void;
  auto change() -> void;
  auto restart() -> void;
  auto begin() -> void;
  auto look() -> void;
  auto end() -> void;
  auto anyCore() -> Core&;
  auto reach(const std::map<uint64_t, Change>& list) const -> Reach;

  Props props_;
  HollowFigures figures_;
  std::map<std::string, std::unique_ptr<Core>> cores_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::vector<Core*> coreList_;
  std::vector<Node*> nodeList_;
  std::map<const void*, std::function<void(const caller::Answer&)>> pages_;
  std::set<int64_t> cutRegions_;
  std::map<uint64_t, Change> purges_, changes_;
  uint64_t nextLife_ = 1000, nextPurge_ = 1, version_ = 1, ordered_ = 0;
  int64_t alive_ = 0, formedAtMs_ = -1, lossMs_ = -1, beginMs_ = -1;
  bool isSpread_ = false;  // while nodes form, all are near, so that they join together
  int64_t neighboursNs_ = 0;
};

/// A frame as it would be with so many members, upstreams, routes and listed purges. Example: `hollowFrame(1300, 180,
/// 1000, 2000)`
auto hollowFrame(int64_t members, int64_t upstreams, int64_t routes, int64_t purges) -> core::Frame;
/// Processor time of the calling thread in ns. Example: `auto tookNs = threadNs() - sinceNs;`
auto threadNs() -> int64_t;
/// Bytes that a letter takes on the wire: 8 of nng, and 52 of IP and TCP for each segment begun of 1,400 bytes.
/// Example: `wireBytes(letter.size())`
auto wireBytes(size_t bytes) -> uint64_t;

}  // namespace dykestage::sim
