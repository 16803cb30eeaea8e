// Caller: what an edge does with callers' requests. A state machine: requests, replies, frames and time go
// in; answers and asks come out.
#pragma once
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "caller/names.hpp"
#include "caller/range.hpp"
#include "core/state.hpp"
#include "neighbour/messages.hpp"
#include "policy/cache.hpp"
#include "policy/placement.hpp"
#include "policy/script.hpp"
#include "policy/sends.hpp"
#include "policy/slab.hpp"

namespace dykestage::caller {

/// A frame as a data node holds it: what it says, and the latest moment (own steady clock) at which the core
/// is known to have agreed.
struct HeldFrame {
  std::shared_ptr<const core::Frame> frame = std::make_shared<core::Frame>();
  int64_t asOfMs = -1;
  /// True while the node may act on it. Example: `if (!held.isCurrent(nowMs, 1500)) turnAway(kNotCurrent);`
  auto isCurrent(int64_t nowMs, int64_t limitMs) const -> bool { return asOfMs >= 0 && nowMs - asOfMs < limitMs; }
};

/// Where a request belongs.
struct Found {
  std::string service;  // under which copies are kept: a service, or the host of a route
  std::string pool;     // upstreams that it may go to; the service itself, where no route names a pool
  core::Path path;
  int64_t deadlineMs = 1000;
  std::string rollout;                 // the one that this service takes part in, if any
  bool isNext = false;                 // the request falls into the slice of the new revision
  const core::Route* route = nullptr;  // of the frame in force; none: a service
};
/// Finds the route, or the service and path, for a request; a stable hash of the target tells the pool or the slice,
/// so that one object is always served under one of them.
/// Example: `Paths paths(frame); if (auto found = paths.find("shop.example", "/a")) ...`
class Paths {
 public:
  explicit Paths(std::shared_ptr<const core::Frame> frame);
  auto find(const std::string& host, const std::string& target) const -> std::optional<Found>;

 private:
  std::shared_ptr<const core::Frame> frame_;
  std::unordered_map<std::string, core::Services::const_iterator> byHost_;
  std::unordered_map<std::string, const core::Route*> routes_;  // by host and prefix
};

class Edge {
 public:
  struct Props {
    std::string name, site;
    uint64_t life = 1;       // of this process, as its member entry has it
    int64_t staleMs = 1500;  // age of the frame from which requests are turned away
    size_t requests = 4000;  // under way at a time
    size_t cacheBytes = 64u << 20;
    double triesPart = 0.25;  // part of a service's extra tries that the edges may use
    int64_t suspectMs = 250;  // silence of a shield that owes replies, after which others come first; 1/8 of the bound
    int64_t hedgePercent = 40;    // of its time that a read waits before another shield is asked as well
    bool fetches = false;         // this process fetches itself, beside this machine
    bool servesStale = false;     // out of touch with the core it goes on with what it knows
    int64_t retryMs = 100;        // when to come back, where nothing better is known; 1/20 of the bound
    size_t zoneBytes = 32 << 10;  // answers that are larger on average are shared within a site only
    size_t linkBytes = SIZE_MAX;  // and those that hold a link for longer than 1/100 of the bound, not between nodes
    HeaderNames names;
    policy::TryBounds tries;  // of pools
  };
  struct Output {
    struct Answered {
      std::shared_ptr<Stream> stream;
      std::string method;
      bool keep;
      Answer answer;
      int64_t untilMs = 0;  // a kept copy: it may be handed out before this moment, and not later; 0: no limit
    };
    struct Asked {
      std::string to;
      neighbour::Ask ask;
      bool isSelf = false;  // the fetcher in this very process
    };
    struct Granted {
      std::string to;
      neighbour::SendGrant grant;
      bool isSelf = false;
    };
    struct Withdrawn {
      std::string to;
      neighbour::Withdrawal withdrawal;
      bool isSelf = false;
    };
    std::vector<Answered> answers;
    std::vector<Asked> asks;
    std::vector<Granted> grants;
    std::vector<Withdrawn> withdrawals;
  };
  struct Figures {
    uint64_t requests = 0, hits = 0, joins = 0, asks = 0, extras = 0, turnedAway = 0, unknown = 0, refused = 0,
             policyFailures = 0;
    uint64_t clientsLeft = 0;  // whose request had no answer yet
  };

  /// A process that fetches itself keeps one cache for both. Example: `Edge edge(props, cache); Shield shield(props2,
  /// cache);`
  explicit Edge(Props props, std::shared_ptr<policy::Cache> cache = nullptr)
      : props_(std::move(props)),
        waiting_(props_.requests),
        isCacheOwn_(!cache),
        cache_(cache ? std::move(cache) : std::make_shared<policy::Cache>(props_.cacheBytes)) {}

  /// Takes a caller's request. Example: `edge.take(request, nowMs); post(edge.output());`
  auto take(Request request, int64_t nowMs) -> void;
  /// Takes a shield's reply. Example: `edge.takeReply(letter.from, reply, nowMs);`
  auto takeReply(const std::string& from, const neighbour::Reply& reply, int64_t nowMs) -> void;
  /// A shield wants to send a request to one more upstream. Example: `edge.takeSendRequest(letter.from, request);`
  auto takeSendRequest(const std::string& from, const neighbour::SendRequest& request) -> void;
  /// A shield that has not answered yet for an object is alive and at work on it. Example: `edge.heard(letter.from,
  /// nowMs);`
  auto heard(const std::string& shield, int64_t nowMs) -> void;
  /// An ask that surely did not leave. Example: `if (!post->send(...)) edge.unsent(ask, nowMs);`
  auto unsent(const neighbour::Ask& ask, int64_t nowMs) -> void;
  /// A shield that can't be reached any more. Example: `edge.lost(address, nowMs);`
  auto lost(const std::string& shield, int64_t nowMs) -> void;
  /// Puts a newer frame, or newer knowledge of its age, in force. Example: `edge.takeFrame(held, nowMs);`
  auto takeFrame(const HeldFrame& held, int64_t nowMs) -> void;
  /// Ends what has run out of time. Example: every 10 ms `edge.tick(nowMs);`
  auto tick(int64_t nowMs) -> void;
  /// This process ends soon: whatever is under way, and whatever still comes, has its answer by then.
  /// Example: on SIGTERM `edge.endBy(nowMs + graceMs * 85 / 100);`
  auto endBy(int64_t untilMs) -> void;
  /// What can't be answered from the cache is turned away from a moment on: a process that ends soon begins nothing
  /// that it may have to break off. Example: on SIGTERM `edge.turnAwayFrom(nowMs + 3000);`
  auto turnAwayFrom(int64_t fromMs) -> void { turnAwayFromMs_ = fromMs; }
  /// Hands over answers and asks. Example: `auto out = edge.output();`
  auto output() -> Output { return std::exchange(out_, {}); }
  /// What is left of an answer at the moment at which it leaves: a process that was held up since it decided does
  /// not hand out a copy on old knowledge. Example: `stream->answer(Edge::atLast(a, steadyMs()), a.method, a.keep);`
  static auto atLast(const Output::Answered& answered, int64_t nowMs) -> const Answer&;
  /// Where the shields of the frame are. Example: `for (auto& at : edge.shields()) post->warm(at);`
  auto shields() const -> std::vector<std::string>;
  /// True while it may act on what it knows; what serves stale may from the first configuration on.
  auto isCurrent(int64_t nowMs) const -> bool {
    return props_.servesStale ? held_.asOfMs >= 0 && held_.frame->revision.configuration > 0
                              : held_.isCurrent(nowMs, props_.staleMs);
  }
  /// The knowledge's age, ms; -1: none yet. Example: `page.number("ageMs", edge.ageMs(nowMs));`
  auto ageMs(int64_t nowMs) const -> int64_t { return held_.asOfMs < 0 ? -1 : nowMs - held_.asOfMs; }
  /// What callers may send, as the configuration has it. Example: `face->limit(edge.limits());`
  auto limits() const -> const core::Limits& { return held_.frame->routing.limits; }
  auto revision() const -> core::Revision { return held_.frame->revision; }
  auto figures() const -> Figures { return figures_; }
  /// How many requests ended with each result code since the last call. Example: `for (auto [code, count] :
  /// edge.refusals()) ...`
  auto refusals() -> std::map<uint32_t, uint64_t> { return std::exchange(refusals_, {}); }
  /// What rollouts are judged by. Example: `link.tell({edge.revision(), {}, edge.samples()});`
  auto samples() const -> const neighbour::Samples& { return samples_; }
  auto open() const -> size_t { return waiting_.size(); }
  auto cache() const -> const policy::Cache& { return *cache_; }

 private:
  static constexpr int64_t kServiceTries = 3;  // upstreams that a request without a route may be sent to
  struct Waiting {
    Request request;
    std::string service, pool;
    core::Path path;
    std::optional<Range> range;
    std::string routeKey;        // host and prefix, for the size of its answers
    uint64_t configuration = 0;  // the revision by which its pool was chosen
    int64_t rank = 0, retryMs = 0;
    policy::SendAccount sends{kServiceTries};
    std::vector<std::string> attemptAddresses;  // of the shields asked, by attempt
    std::set<std::string> upstreams;            // known to have been sent it
    std::string tryId;
    int64_t startMs = 0, untilMs = 0, askedMs = 0, firstAskedMs = 0;
    uint64_t purges = 0;          // in force when it was first asked for
    std::set<std::string> tried;  // names of shields
    bool isWrite = false, isShared = false, wasSent = false, isHedged = false;
    uint32_t refusal = kNoShield;  // why the last shield did not take it
    std::string joinKey;
    std::vector<uint64_t> followers;
    std::string rollout;
    bool isNext = false, isFetched = false, hasPolicyFailed = false;
    bool hasLeft = false;            // its client
    std::optional<uint64_t> leader;  // whose answer it waits for
    double load = 0;
  };
  auto rule(const std::string& policy, const Request& request) -> std::optional<policy::Ruling>;
  auto measure(const std::string& rollout, bool isNext, int64_t tookMs, int status, bool isFetched, double load)
      -> void;
  auto ask(uint64_t id, bool isExtra, int64_t nowMs) -> void;
  auto isForOwnLink(const Waiting& waiting) const -> bool;
  auto causeOf(const Waiting& waiting, bool isExtra) const -> neighbour::FetchCause;
  static auto isPastEnd(const Waiting& waiting, const Answer& answer) -> bool;
  static auto leaveRangeToUpstream(Waiting& waiting) -> void;
  auto fail(uint64_t id, const std::string& from, const neighbour::Reply& reply, int64_t nowMs) -> void;
  auto giveUp(uint64_t id, uint32_t code, int64_t nowMs) -> void;
  auto finish(uint64_t id, const Answer& answer, const policy::Copy* copy, int64_t nowMs) -> void;
  auto answer(Waiting& waiting, Answer answer, int64_t nowMs) -> void;
  auto cut(Answer whole, const Range& range) const -> Answer;
  auto identify(Answer& answer, const std::string& tryId) const -> void;
  auto isSilent(const std::string& shield, int64_t nowMs) const -> bool;
  auto isOwnerSilent(const std::string& shield, int64_t nowMs) const -> bool;
  auto order(const Waiting& waiting, uint64_t id, int64_t nowMs) const -> std::vector<size_t>;
  auto turnAway(const Request& request, uint32_t code, int64_t retryMs) -> void;
  auto onClientLeft(uint64_t id, int64_t nowMs) -> void;
  auto leaveLeader(uint64_t id, int64_t nowMs) -> void;
  auto withdraw(uint64_t id, int64_t nowMs) -> void;
  auto withdrawAttempt(uint64_t id, uint32_t attempt, const std::string& address, int64_t untilMs, int64_t nowMs)
      -> void;
  auto repeatWithdrawals(int64_t nowMs) -> void;

  Props props_;
  HeldFrame held_;
  Paths paths_{held_.frame};  // of the configuration in force
  struct Fetcher {            // a member that fetches
    std::string name, address;
    bool isNear = false;
  };
  std::vector<Fetcher> fetchers_;
  std::vector<uint64_t> fetcherHashes_;
  std::optional<size_t> self_;                          // among them
  std::map<std::string, policy::Dispatch> dispatches_;  // of pools
  std::map<std::string, int64_t> awayUntilMs_;          // fetchers that said that they are about to stop, by address
  policy::Slab<Waiting> waiting_;
  bool isCacheOwn_;
  std::shared_ptr<policy::Cache> cache_;
  std::map<std::string, uint64_t> joins_;
  std::map<std::string, double> sizes_;  // of answers, smoothed, by route
  policy::TryBudgets budgets_{props_.fetches ? "proxy" : "edge", props_.triesPart, props_.tries};
  neighbour::Samples samples_;
  std::map<std::string, std::optional<policy::Script>> scripts_;  // by text; none: it does not compile here
  struct Owing {  // a shield that has been asked and has not replied since
    int64_t sinceMs = 0, lastAskedMs = 0;
    int64_t aliveMs = -1;  // when it last showed that it is at work
  };
  std::map<std::string, Owing> owing_;  // by address
  struct Withdrawing {                  // a withdrawal that has not been answered yet
    std::string to;
    int64_t sentMs = 0;
    int64_t untilMs = 0;  // the request's own time; nothing is sent for it later
  };
  std::map<std::pair<uint64_t, uint32_t>, Withdrawing> withdrawing_;  // by request and attempt
  Output out_;
  Figures figures_;
  std::map<uint32_t, uint64_t> refusals_;
  int64_t endMs_ = std::numeric_limits<int64_t>::max();
  int64_t turnAwayFromMs_ = std::numeric_limits<int64_t>::max();
};

/// True for methods that change something. Example: `isWrite("POST")`
auto isWrite(const std::string& method) -> bool;

}  // namespace dykestage::caller
