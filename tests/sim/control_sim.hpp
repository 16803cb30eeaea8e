// Sim: the control side alone, in virtual time: three registries and two data nodes, operators with up to eight orders
// under way whose answers get lost, readers at every registry, and long cuts, freezes and restarts of one registry
// after another. A checker judges every answer.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/system_sim.hpp"

namespace dykestage::sim {

/// What happens to one registry.
enum class Trouble {
  kSilentCut,     // nothing passes between it and the other registries
  kOutboundCut,   // the others do not hear it
  kInboundCut,    // it does not hear the others
  kResetCut,      // as a silent cut, and senders see that their connections are down
  kLonelyCut,     // a silent cut from registries and data nodes alike; clients still reach it
  kFreeze,        // its process stands still; what came in meanwhile is worked on when it thaws
  kRestartInCut,  // a silent cut, and its process is restarted in the middle of it
  kPowerLoss,     // it is down, and comes back with what it had synced
  kWipe,          // it is down, and comes back with an empty disk
  kNodeCut,       // a silent cut of a data node from all registries
  kAllKilled,     // all registries are killed at once, and come back with their disks
  kSlowNode       // each message to and from a data node takes kSlowWayMs longer
};

struct ControlTrouble {
  Trouble kind = Trouble::kSilentCut;
  int64_t atMs = 0, forMs = 0;
  std::string registry = "r1";  // "leader": whoever acknowledged last
};

/// A mutation of what callers are told, which the checker must catch.
enum class ControlMutation {
  kNone,
  kStaleRead,        // a read is answered with what that registry showed first
  kLoserTaken,       // who lost is told that its change was taken
  kRepeatRefused,    // who repeats a change that was taken is told that it lost
  kSilence,          // a registry out of contact holds its calls instead of turning them away
  kAcknowledgesAll,  // a registry acknowledges orders at once, without the others
  kNoRedial,         // silent connections are kept, and stay stuck after a cut
  kAnswersDropped    // the first answer on a line that is still coming up is lost
};

struct ControlProps {
  uint64_t seed = 1;
  std::vector<ControlTrouble> troubles;
  int lostAnswerPercent = 0;   // of answers to operators
  int64_t orderEveryMs = 400;  // between the orders of the operators
  size_t ordersUnderWay = 8;   // at most
  int64_t endMs = 40000;
  ControlMutation mutation = ControlMutation::kNone;
  bool keepHistory = false;
};

struct ControlVerdict {
  std::vector<std::string> faults, history;
  uint64_t acknowledged = 0, refused = 0, repeats = 0, reads = 0, turnedAway = 0;
  int64_t longestHeldMs = 0;   // a call at a registry out of contact
  int64_t noticedMs = 0;       // the longest from a cut until calls are turned away at once
  int64_t oldestNewsMs = 0;    // at a data node that reaches a majority of the registries
  int64_t newsAgainMs = 0;     // from the first contact after a restart of all registries until all nodes have news
  int64_t longestAckMs = 0;    // of an order, from its first sending
  uint64_t heldInContact = 0;  // calls turned away by a registry that is in contact with all others
};

/// Example: `auto v = runControl({.seed = 3, .troubles = {{Trouble::kSilentCut, 6000, 20000, "r2"}}});`
auto runControl(const ControlProps& props) -> ControlVerdict;

}  // namespace dykestage::sim
