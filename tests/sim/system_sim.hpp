// Sim: the whole system's state machines in virtual time: registries with their disks, agents' feeds, edges,
// shields, upstreams, operators and callers, under seeded failures, with a checker.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent/feed.hpp"
#include "caller/edge.hpp"
#include "core/registry.hpp"
#include "neighbour/silence.hpp"
#include "sim/timeline.hpp"
#include "upstream/shield.hpp"

namespace dykestage::sim {

struct SystemVerdict {
  std::vector<std::string> faults;
  uint64_t asked = 0, well = 0, busy = 0, unknown = 0, writesRan = 0, configurations = 0, purges = 0, conflicts = 0,
           looks = 0, readsJudged = 0;
  uint64_t denied = 0;         // proper requests that were called wrong
  int64_t backMs = -1;         // from the heal until every node is current and a second is served well
  std::vector<int64_t> ackMs;  // of configurations, routings and purges
  std::vector<std::string> history;
};

/// One seeded history of the product's own deployments: edges and shields before five registries.
/// Example: `auto v = runSystem({.seed = 3, .crashes = true});`
class SystemSim : protected Timeline {
 public:
  /// A guard taken out on purpose, from outside: what the simulator does instead of what programs do. The checker
  /// must catch each.
  enum class Broken {
    kNothing,
    kAge,         // nodes act on knowledge however old
    kSecondSend,  // a stream is found dead and the write is sent again
    kUntouched,   // a lost answer is taken for a request that never left
    kCut,         // a cut answer is taken for a whole one
    kUpstreams,   // shields never learn of upstreams that leave
    kPurges,      // proxies take revisions without the purges in them
    kTries,       // each fetch is made two times more
    kSync,        // disks say that they have synced and have not
    kLoser,       // who lost a race is told that it won
    // Of deployments of proxies:
    kInstance,  // shields never learn of upstreams that leave, and requests do not say which one they are for
    kFirst,     // nodes stay with the first routing that they took
    kBack,      // now and then a node takes an earlier frame for the newest
    kInvalid,   // who sent something invalid is told that it was taken
    kRefused,   // who was taken is told that it has lost
    kKeep,      // copies are kept for ever
    kRate,      // nodes know of no pool's rate
    kDenied,    // nodes lack a route that every routing has
    kMixUp,     // nodes and readers get a routing otherwise than it was sent
    kMute,      // operators hear nothing after the heal
    kGone,      // nodes that went down stay away
    kUnheeded   // nodes never learn that a client has left
  };
  struct Props {
    uint64_t seed = 1;
    bool crashes = false, wipes = false, cuts = false, oneWayCuts = false, freezes = false, coreCuts = false,
         lossyUpstreams = false, stalls = false;
    bool herds = false;      // all shields at once, or all proxies
    bool blackouts = false;  // all registries lose power at once
    int64_t rate = 60;       // the store's agreed rate
    Broken broken = Broken::kNothing;
    int64_t faultsMs = 9000, healMs = 9000;
    int64_t wayMs = 4, syncMs = 2;  // at most, from machine to machine and to the disk
    int64_t silenceMs = 1000;       // after which registries and agents dial a silent peer anew; 0: never
    bool keepHistory = false;
    // Proxies (an edge and a shield in one process) before three registries, fed by routing: see ProxySim.
    bool hasProxies = false;
    bool nodeCuts = false;  // one node from all others, and perhaps from upstreams
    bool fullDisks = false;
    bool rolling = false;         // machines are restarted in turn
    bool longCuts = false;        // one registry is cut off from the others for 18 to 21 s, also one way
    int lostAnswerPercent = 0;    // of answers to operators, who then send the same order again
    bool dials = false;           // a line between two machines takes a way there and back to come up
    bool dropsAnswers = false;    // a seeded defect: answers do not wait for their line
    int64_t changeEveryMs = 600;  // between changes of the routing
    bool clientsLeave = false;    // some clients close their connections before the answer, and upstreams are slow
    bool wipedBlackouts = false;  // when all lose power, a registry's disk is lost at the same moment
    bool upstreams = false;       // upstreams start, empty, crash, and their addresses pass to another pool
  };
  explicit SystemSim(const Props& props);
  virtual ~SystemSim();
  SystemSim(const SystemSim&) = delete;
  auto operator=(const SystemSim&) -> SystemSim& = delete;
  /// The mixes of failures that are run, by name. Example: `auto props = SystemSim::mixes().at("herds");`
  static auto mixes() -> const std::map<std::string, Props>&;
  auto run() -> SystemVerdict;

 protected:
  struct Core {
    std::string name;
    tempo::Slot slot = 0;
    uint64_t life = 0;
    bool isUp = false;
    int64_t frozenUntilMs = 0, stalledUntilMs = 0, fullUntilMs = 0, syncedMs = 0;
    std::string frame;
    std::vector<std::string> writes;
    std::deque<core::DiskJob> unsynced;
    std::unique_ptr<core::Registry> registry;
  };
  // A proxy with the agent beside it.
  struct Node {
    std::string name, kind, site = "site";
    uint64_t life = 0;
    bool isUp = false, isDraining = false;
    int64_t frozenUntilMs = 0;
    core::Member member;
    std::unique_ptr<agent::Follower> agentFollows, proxyFollows;
    std::unique_ptr<agent::Giver> toProxy, toNeighbours;
    agent::Told agentTold, proxyTold;
    bool hasProxySpoken = false;
    std::unique_ptr<caller::Edge> edge;  // a node of kind "proxy" has both machines
    std::unique_ptr<upstream::Shield> shield;
    caller::HeldFrame inForce;
    std::map<std::string, core::Upstream> everSeen;  // for a guard that is taken out
    core::Revision seen;                             // the highest that it was seen to act on
    auto revision() const -> core::Revision { return edge ? edge->revision() : shield->revision(); }
    auto address() const -> std::string { return "data:" + name; }
    auto seeds() const -> std::vector<std::string>;
  };
  // What deployments differ in.
  virtual auto populate() -> void;
  virtual auto plan() -> void;
  virtual auto coreProps(const Core& core) const -> core::Registry::Props;
  virtual auto startMachines(Node& node) -> void;
  /// The frame that a node puts in force; another one where a guard is taken out.
  virtual auto frameFor(Node& node, caller::HeldFrame held) -> caller::HeldFrame;
  virtual auto fetch(const std::string& node, const upstream::Fetch& fetch) -> void;
  /// A fetch is broken off, or kept from leaving.
  virtual auto cancel(const std::string& node, const upstream::Shield::Output::Cancelled& cancelled) -> void {
    (void)node;
    (void)cancelled;
  }
  virtual auto answered(const caller::Stream* stream, const caller::Answer& answer) -> void;
  virtual auto cutOffCallers(const std::string& node) -> void;
  virtual auto judge() -> void;

  auto fault(const std::string& what) -> void;
  auto say(const std::string& what) -> void;
  auto isCut(const std::string& from, const std::string& to) const -> bool { return cuts_.count({from, to}) != 0; }
  /// False when the message surely did not leave. An answer waits for a line that is still coming up.
  auto send(const std::string& fromMachine, const std::string& from, const std::string& to, uint8_t kind,
            const std::string& body, bool isAnswer = false) -> bool;
  auto lifeOf(const std::string& machine) const -> uint64_t;
  /// When the line from one address to another is up; it is opened if it is not. Both ends must run and reach each
  /// other; none: nobody is there.
  auto openLine(const std::string& from, const std::string& to) -> std::optional<int64_t>;
  auto arrival(const std::string& from, const std::string& to, int64_t arrivesMs) -> int64_t;
  auto take(const std::string& to, const std::string& from, uint8_t kind, const std::string& body) -> void;
  auto startCore(const std::string& name) -> void;
  // Without power what was not synced is lost; where only the process ends, some of it is on the disk all the same.
  auto stopCore(const std::string& name, bool isPowerLost = true) -> void;
  auto flush(Core& core) -> void;
  auto write(Core& core, const core::DiskJob& job) -> bool;
  auto coreTick(const std::string& name, uint64_t life) -> void;
  auto startNode(const std::string& name) -> void;
  auto stopNode(const std::string& name) -> void;
  auto flush(Node& node) -> void;
  auto flushBoth(Node& node) -> void;
  auto nodeTick(const std::string& name, uint64_t life) -> void;
  auto fetched(const std::string& node, uint64_t life, const upstream::Fetched& fetched) -> void;
  auto http(const std::string& core, const std::string& method, const std::string& target, const std::string& body,
            std::function<void(const caller::Answer&)> then) -> void;
  auto ask(bool isWrite, const std::string& again) -> void;
  // The caller of a write that may have run, or was turned away, asks again under the same key, a few times.
  auto repeat(const std::string& id) -> void;
  auto submit() -> void;
  auto configure(const std::string& registry, uint64_t base) -> void;
  auto look() -> void;
  auto announce() -> void;
  auto judgeTries() -> void;

  Props props_;
  uint64_t nextLife_ = 1, nextRequest_ = 1;
  std::map<std::string, std::unique_ptr<Core>> cores_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::pair<std::string, std::string>> downLines_;  // of the cuts: senders see that the line is down
  std::map<std::pair<std::string, std::string>, int64_t> lastArrivalsMs_;  // by line
  struct Line {
    uint64_t fromLife = 0, toLife = 0;
    int64_t upMs = 0;
  };
  std::map<std::pair<std::string, std::string>, Line> lines_;  // by the addresses of both ends
  std::map<std::string, int64_t> slowMs_;  // machine → what its link adds to the way of each message
  // Connections in the middle of a cut, by the addresses of both ends → since when. They try again after pauses that
  // double, and pass nothing on before a try gets through.
  std::map<std::pair<std::string, std::string>, int64_t> stuckSinceMs_;
  std::map<std::string, neighbour::SilenceWatch> silence_;  // by the address that sends
  bool isHealed_ = false;

  // Origins: one store and two applications; what they ran.
  int64_t edition_ = 0;
  std::map<std::string, int> ran_;
  std::vector<int64_t> storeFetches_;
  bool isLeaving_ = false;       // the second application says that it is emptying
  int64_t leavingKnownMs_ = -1;  // since when a registry has taken that
  bool isGone_ = false,
       isReused_ = false;  // the third application's address passes to a service that is not configured
  std::map<std::string, std::vector<int64_t>> asks_, extras_;  // by service
  // Callers and operators.
  struct Open {
    bool isWrite = false;
    std::string id, target, edge;
    int64_t atMs = 0;
    bool isAgain = false;
  };
  std::map<const caller::Stream*, Open> open_;
  std::map<std::string, int> repeats_;  // of writes whose outcome was not known
  std::map<std::string, char> writes_;  // id → w(ell), b(usy), u(nknown)
  std::map<const caller::Stream*, std::function<void(const caller::Answer&)>> pages_;
  std::vector<std::pair<int64_t, uint64_t>> acked_;                         // at, configuration
  int64_t deadlines_ = 0;                                                   // no two configurations are alike
  std::map<uint64_t, int64_t> ackedDeadlines_;                              // what it said
  std::map<std::string, std::vector<std::pair<int64_t, int64_t>>> purged_;  // target → at, edition
  std::map<int64_t, std::pair<uint64_t, uint64_t>> seconds_;                // second → asked, well
  SystemVerdict verdict_;
};

/// Runs one seeded history of the deployment that the props name. Example: `auto v = runSystem({.seed = 3, .crashes =
/// true});`
auto runSystem(const SystemSim::Props& props) -> SystemVerdict;

}  // namespace dykestage::sim
