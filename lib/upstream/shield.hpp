// Upstream: what a shield does with edges' asks. A state machine: asks, ended fetches, frames and time go in;
// replies and fetches come out. Shields are the only ones that touch upstreams.
#pragma once
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "caller/edge.hpp"
#include "policy/cache.hpp"
#include "policy/placement.hpp"
#include "policy/sends.hpp"
#include "policy/slab.hpp"
#include "upstream/fetcher.hpp"

namespace dykestage::upstream {

class Shield {
 public:
  struct Props {
    std::string name, site;
    std::string address;     // its own, towards other processes
    int64_t boundMs = 2000;  // the freshness bound; everything below follows from it
    int64_t staleMs = 1500;  // 3/4 of it
    size_t requests = 4000;
    size_t cacheBytes = 256u << 20;
    size_t answerBytes = 8u << 20;
    double triesPart = 0.75;  // part of a service's extra tries that the shields may use
    int64_t probeMs = 1000;   // 0: no probes
    int64_t easeMs = 5000;    // a new upstream of a service is taken for cold so long
    uint64_t life = 1;        // of this process, as its member entry has it
    int64_t keyMs = 600000;   // how long a key is held, and an outcome remembered under it
    size_t keys = 100000;     // outcomes remembered, and their bytes; the oldest go first
    size_t keyBytes = 64u << 20;
    bool servesStale = false;     // out of touch with the core it goes on with what it knows
    std::string kind = "shield";  // of its member entry
    caller::HeaderNames names;
    policy::TryBounds tries;  // of pools
    int64_t connectMs = 100;  // a connection that is not up by then goes to another upstream; 1/20 of the bound
    policy::RateBounds rate;
  };
  struct Output {
    struct Replied {
      std::string to;
      neighbour::Reply reply;
    };
    struct Requested {
      std::string to;
      neighbour::SendRequest request;
    };
    std::vector<Replied> replies;
    std::vector<Requested> sendRequests;  // to edges
    std::vector<Fetch> fetches;
    struct Cancelled {
      uint64_t fetch = 0;
      bool isOnlyUnsent = false;  // it ends only if no byte of it has left, and is then reported as not sent
    };
    std::vector<Cancelled> cancels;
    std::vector<std::string> drops;  // addresses whose idle streams must end
    struct Told {
      std::string to;
      uint8_t kind;
      std::string body;
    };
    std::vector<Told> letters;              // to other shields
    std::vector<neighbour::Claims> claims;  // to a registry, by way of the agent
  };
  struct Figures {
    uint64_t asks = 0, hits = 0, joins = 0, fetches = 0, extras = 0, turnedAway = 0, unknown = 0, rateTurnedAway = 0,
             queued = 0, withdrawn = 0;
    /// Sends of requests that had waited here for longer than 1/4 of the bound: first ones and repeated ones.
    uint64_t sentLate = 0, repeatedLate = 0;
    uint64_t rateBorrowed = 0, rateLent = 0;
    /// Fetches of objects that nodes share, by neighbour::FetchCause.
    std::array<uint64_t, neighbour::kFetchCauses> objectFetches{};
  };

  explicit Shield(Props props, std::shared_ptr<policy::Cache> cache = nullptr)
      : props_(std::move(props)),
        waiting_(props_.requests),
        cache_(cache ? std::move(cache) : std::make_shared<policy::Cache>(props_.cacheBytes)),
        split_(props_.boundMs),
        seen_(kSeenBounds * props_.boundMs) {}

  /// Takes an ask; `from` is where the reply goes. Example: `shield.take(letter.from, ask, nowMs);`
  auto take(const std::string& from, neighbour::Ask ask, int64_t nowMs) -> void;
  /// An edge's answer to a request for one more send. Example: `shield.takeSendGrant(grant, nowMs);`
  auto takeSendGrant(const neighbour::SendGrant& grant, int64_t nowMs) -> void;
  /// An edge withdraws a fetch request: its client has left. Example: `shield.takeWithdrawal(letter.from, w, nowMs);`
  auto takeWithdrawal(const std::string& from, const neighbour::Withdrawal& withdrawal, int64_t nowMs) -> void;
  /// Takes an ended fetch. Example: `for (auto& f : fetcher.run(fds, 10)) shield.takeFetched(f, nowMs);`
  auto takeFetched(const Fetched& fetched, int64_t nowMs) -> void;
  /// Puts a newer frame, or newer knowledge of its age, in force. Example: `shield.takeFrame(held, nowMs);`
  auto takeFrame(const caller::HeldFrame& held, int64_t nowMs) -> void;
  /// Who holds the keys that were claimed. Example: `shield.takeClaimed(claimed, nowMs);`
  auto takeClaimed(const neighbour::Claimed& claimed, int64_t nowMs) -> void;
  /// Claims that surely did not leave: their writes are turned away at once, so that edges ask another shield.
  /// Example: `if (letter.kind == kClaims) shield.unclaimed(claims, nowMs);`
  auto unclaimed(const neighbour::Claims& claims, int64_t nowMs) -> void;
  /// Another shield's requests wait for its part of an origin's rate. Example: `shield.takeRateRequest(from, r,
  /// nowMs);`
  auto takeRateRequest(const std::string& from, const neighbour::RateRequest& request, int64_t nowMs) -> void;
  /// Another shield spares some of its part. Example: `shield.takeRateGrant(grant, nowMs);`
  auto takeRateGrant(const neighbour::RateGrant& grant, int64_t nowMs) -> void;
  /// Another shield asks what became of a key held here. Example: `shield.takeKeyAsk(letter.from, ask, nowMs);`
  auto takeKeyAsk(const std::string& from, const neighbour::KeyAsk& ask, int64_t nowMs) -> void;
  /// What the holder of a key says. Example: `shield.takeKeyTold(told, nowMs);`
  auto takeKeyTold(const neighbour::KeyTold& told, int64_t nowMs) -> void;
  /// A letter to another shield surely did not leave. Example: `if (!post->send(...)) shield.unreached(to, nowMs);`
  auto unreached(const std::string& to, int64_t nowMs) -> void;
  /// Lets time pass: probes, deadlines of joined asks. Example: every 10 ms `shield.tick(nowMs);`
  auto tick(int64_t nowMs) -> void;
  /// From now on new asks are turned away. Example: on SIGTERM `shield.empty();`
  auto empty() -> void { isEmptying_ = true; }
  auto output() -> Output;
  /// Sends the letters to other shields and hands over the rest; one that did not leave is a new input, and what
  /// follows from it is handed over too.
  /// Example: `auto out = shield.outputAfter([&](auto& l) { return post->send(l.to, l.kind, l.body); }, nowMs);`
  auto outputAfter(const std::function<bool(const Output::Told&)>& send, int64_t nowMs) -> Output;
  auto isReady(int64_t nowMs) const -> bool { return !isEmptying_ && mayAct(nowMs) && split_.isSettled(nowMs); }
  /// True while it may act on what it knows. Example: `if (!shield.mayAct(nowMs)) turnAway(kNotCurrent);`
  auto mayAct(int64_t nowMs) const -> bool {
    return props_.servesStale ? held_.asOfMs >= 0 && held_.frame->revision.configuration > 0
                              : held_.isCurrent(nowMs, props_.staleMs);
  }
  auto revision() const -> core::Revision { return held_.frame->revision; }
  /// Which upstreams answered their last probe. Example: `poll.probes = shield.probes();`
  auto probes() const -> const std::map<std::string, bool>& { return probes_; }
  auto edges() const -> std::vector<std::string>;
  auto shields() const -> std::vector<std::string>;
  auto figures() const -> Figures { return figures_; }
  auto open() const -> size_t { return waiting_.size(); }

 private:
  static constexpr int64_t kSeenBounds = 2;  // asks are known again for so many freshness bounds
  /// What an edge is asked to grant one more send for.
  enum class SendPurpose : uint8_t { kNone, kRetry, kHedge };
  struct Waiting {
    std::string from;
    neighbour::Ask ask;
    int64_t startMs = 0, untilMs = 0, fetchedMs = 0;
    uint64_t purges = 0;
    std::set<std::string> tried;
    bool isWrite = false, wasTouched = false, isQueued = false, isNextExtra = false;
    int open = 0;  // fetches under way
    int tries = 0, unsent = 0;
    int64_t retryMs = 0;  // when to come back, if it is turned away
    bool isHedged = false;
    SendPurpose requested = SendPurpose::kNone;
    int64_t requestedMs = 0;
    uint32_t failure = 0;                  // how the last send ended: the outcome, should the edge grant no other
    std::optional<neighbour::Reply> held;  // the same, where an upstream's answer tells it
    double expectedMs = 0;                 // of the fetch that left last
    std::string joinKey, memoryKey;
    uint64_t claim = 0;     // number of its claim of the key, under way or won
    int64_t claimMs = -1;   // since when the answer is waited for
    std::string asksKeyOf;  // address of the shield that holds the key and is asked
    std::vector<uint64_t> followers;
    std::optional<uint64_t> leader;  // whose fetch it waits for
    bool isWithdrawn = false;        // its client has left, and its edge has been answered
    /// True while anybody waits for its answer.
    auto isWanted() const -> bool { return !isWithdrawn || !followers.empty(); }
  };
  struct Memory {  // of one Idempotency-Key
    uint64_t print = 0;
    uint64_t running = 0;  // 0: it has ended
    neighbour::Reply reply;
    int64_t sinceMs = 0;
    struct Asking {
      std::string from;
      uint64_t nonce, life;
    };
    std::vector<Asking> asking;  // other shields that wait for the outcome
  };
  struct Unanswered {
    neighbour::Claims letter;
    int64_t firstMs = 0, sentMs = 0;
  };
  auto claim(uint64_t id, int64_t nowMs) -> void;
  auto giveBack(const std::string& key, uint64_t number, int64_t nowMs) -> void;
  auto forget(int64_t nowMs) -> void;
  struct Fetching {  // one fetch under way
    uint64_t waiting = 0;
    std::string instance, pool;
    int64_t leftMs = 0;
    double waitMs = 0;
    uint64_t purges = 0;
  };
  struct PoolView {  // of the frame in force
    std::vector<policy::Candidate> candidates;
    std::vector<policy::Candidate> kept;  // of them, those that this node keeps to itself; none: it chooses among all
    size_t keepers = 0;                   // nodes that keep the pool's upstreams; 0: every node for itself
    int64_t connections = 0;
    double ratePerS = 0;
  };
  auto isOverruled(const neighbour::Ask& ask) -> bool;
  auto viewOf(const neighbour::Ask& ask) -> PoolView*;
  auto budgetOf(const neighbour::Ask& ask) -> policy::TryBudget&;
  auto mayHedgeNow(const Waiting& waiting, int64_t nowMs) -> bool;
  auto hedge(uint64_t id, int64_t nowMs) -> void;
  auto requestSend(uint64_t id, SendPurpose purpose, int64_t nowMs) -> void;
  auto sendNotGranted(uint64_t id, int64_t nowMs) -> void;
  auto replyOf(const Waiting& waiting, const Fetching& fetching, const Fetched& fetched, int64_t nowMs)
      -> neighbour::Reply;
  auto answered(uint64_t id, neighbour::Reply reply, const Fetching& fetching, const Fetched& fetched, int64_t nowMs)
      -> void;
  auto dispatch(uint64_t id, bool isExtra, int64_t nowMs) -> void;
  auto send(uint64_t id, const policy::Candidate& candidate, const policy::Placement& placement, bool isExtra,
            int64_t nowMs) -> void;
  auto queue(uint64_t id, bool isExtra, int64_t nowMs) -> void;
  auto drain(const std::string& pool, int64_t nowMs) -> void;
  auto rateOf(const std::string& pool, const PoolView& view, int64_t nowMs) -> policy::RateShare&;
  auto showAlive(const Waiting& waiting, int64_t nowMs) -> void;
  auto borrowRate(const std::string& pool, int64_t nowMs) -> void;
  auto placementOf(const PoolView& view, int64_t nowMs) -> policy::PlacementProps;
  auto retryOr(uint64_t id, uint32_t code, int64_t nowMs) -> void;
  auto giveUp(uint64_t id, uint32_t code, int64_t nowMs) -> void;
  auto finish(uint64_t id, neighbour::Reply reply, const policy::Copy* copy, int64_t nowMs) -> void;
  auto reply(const Waiting& waiting, neighbour::Reply reply, int64_t nowMs) -> void;
  auto give(const std::string& from, const neighbour::Ask& ask, neighbour::Reply reply) -> void;
  auto refuse(const std::string& from, const neighbour::Ask& ask, uint32_t code) -> void;
  auto settle(const Fetched& fetched, int64_t nowMs) -> void;
  auto settleUnwanted(uint64_t id, const Fetching& fetching, const Fetched& fetched, int64_t nowMs) -> void;
  /// An edge's name for a fetch request.
  static auto keyOf(const std::string& from, const neighbour::Ask& ask) -> policy::SeenRequests::Key {
    return {from, ask.life, ask.id, ask.attempt};
  }
  auto withdraw(uint64_t id, int64_t nowMs) -> void;
  auto confirmWithdrawal(const std::string& from, const neighbour::Ask& ask) -> void;
  auto leaveLeader(uint64_t id, int64_t nowMs) -> void;
  auto endUnwanted(uint64_t id, int64_t nowMs) -> void;
  auto cancelFetches(uint64_t id, bool isOnlyUnsent, int64_t nowMs) -> void;
  auto withdrawOfEndedEdges(const core::Frame& before, int64_t nowMs) -> void;
  auto release(uint64_t id) -> Waiting;
  auto promote(const std::vector<uint64_t>& followers, int64_t nowMs) -> void;
  auto probe() -> void;
  auto judge(const Fetching& fetching, const Fetched& fetched, bool isNotRun, int64_t nowMs) -> void;
  auto isNotRun(const Fetched& fetched) const -> bool;

  Props props_;
  caller::HeldFrame held_;
  std::optional<caller::Paths> paths_;  // of it, once they are needed
  bool isEmptying_ = false;
  policy::Slab<Waiting> waiting_;
  std::shared_ptr<policy::Cache> cache_;
  policy::Split split_;
  policy::SeenRequests seen_;
  std::map<policy::SeenRequests::Key, uint64_t> taken_;  // what waits, by its edge's name for it
  std::map<std::pair<std::string, core::UpstreamKind>, PoolView> views_;
  std::map<std::string, std::set<std::tuple<int64_t, int64_t, uint64_t>>> queues_;  // by pool: rank, arrival, id
  std::map<uint64_t, Fetching> fetching_;
  uint64_t nextFetch_ = 0;
  std::map<std::string, policy::RateShare> rates_;
  struct Borrowing {  // of other nodes' parts of a rate
    int64_t askedMs = -1;
    int64_t pauseMs = 0;  // until the next node is asked; it grows while none spares anything
  };
  std::map<std::string, Borrowing> borrowing_;  // by pool
  std::vector<std::string> peers_;              // addresses of the nodes that the rates are divided among
  policy::TryBudgets budgets_{props_.kind, props_.triesPart, props_.tries};
  std::map<std::string, policy::Health> health_;
  std::map<std::string, uint64_t> joins_;
  std::map<std::string, int64_t> shownAliveMs_;  // by edge
  std::map<std::string, Memory> memory_;
  std::deque<std::pair<int64_t, std::string>> memoryOrder_;
  size_t memoryBytes_ = 0;
  uint64_t nextClaim_ = 0, nextNonce_ = 0;
  std::vector<core::KeyClaim> gathered_;  // for the next letter
  int64_t gatheredMs_ = 0;
  std::map<uint64_t, Unanswered> unanswered_;  // by nonce
  std::map<uint64_t, uint64_t> claiming_;      // number of a claim → the request that waits for it
  std::set<uint64_t> unrun_;                   // own claims under which surely nothing ran, perhaps still held
  std::map<std::string, bool> probes_;
  std::map<uint64_t, std::string> probing_;
  uint64_t nextProbe_ = 0;
  int64_t probedMs_ = 0;
  uint64_t dice_ = 0;
  Output out_;
  Figures figures_;
};

}  // namespace dykestage::upstream
