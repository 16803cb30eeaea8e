// Caller: what an edge does with callers' requests. A state machine: requests, replies, frames and time go
// in; answers and asks come out.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "core/state.hpp"
#include "neighbour/messages.hpp"
#include "policy/cache.hpp"
#include "policy/script.hpp"
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
  std::string service;
  core::Path path;
  int64_t deadlineMs = 1000;
  std::string rollout;   // the one that this service takes part in, if any
  bool isNext = false;   // the request falls into the slice of the new revision
};
/// Finds the service and path for a request; a stable hash of the target tells the slice, so that one object
/// is always served under one revision. Example: `Paths paths(frame); if (auto found = paths.find("shop.example", "/a")) ...`
class Paths {
 public:
  explicit Paths(std::shared_ptr<const core::Frame> frame);
  auto find(const std::string& host, const std::string& target) const -> std::optional<Found>;

 private:
  std::shared_ptr<const core::Frame> frame_;
  std::unordered_map<std::string, core::Services::const_iterator> byHost_;
};
class Edge {
 public:
  struct Props {
    std::string name, site;
    uint64_t life = 1;            // of this process, as its member entry has it
    int64_t staleMs = 1500;       // age of the frame from which requests are turned away
    size_t requests = 4000;       // under way at a time
    size_t cacheBytes = 64u << 20;
    double triesPart = 0.25;      // part of a service's extra tries that the edges may use
    int64_t suspectMs = 250;      // silence of a shield that owes replies, after which others come first; 1/8 of the bound
    int64_t hedgePercent = 40;    // of its time that a read waits before another shield is asked as well
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
    };
    std::vector<Answered> answers;
    std::vector<Asked> asks;
  };
  struct Figures {
    uint64_t requests = 0, hits = 0, joins = 0, asks = 0, extras = 0, turnedAway = 0, unknown = 0, refused = 0, policyFailures = 0;
  };

  explicit Edge(Props props) : props_(std::move(props)), waiting_(props_.requests), cache_(props_.cacheBytes) {}

  /// Takes a caller's request. Example: `edge.take(request, nowMs); post(edge.output());`
  auto take(Request request, int64_t nowMs) -> void;
  /// Takes a shield's reply. Example: `edge.takeReply(letter.from, reply, nowMs);`
  auto takeReply(const std::string& from, const neighbour::Reply& reply, int64_t nowMs) -> void;
  /// An ask that surely did not leave. Example: `if (!post->send(...)) edge.unsent(ask.id, nowMs);`
  auto unsent(uint64_t id, int64_t nowMs) -> void;
  /// A shield that can't be reached any more. Example: `edge.lost(address, nowMs);`
  auto lost(const std::string& shield, int64_t nowMs) -> void;
  /// Puts a newer frame, or newer knowledge of its age, in force. Example: `edge.takeFrame(held, nowMs);`
  auto takeFrame(const HeldFrame& held, int64_t nowMs) -> void;
  /// Ends what has run out of time. Example: every 10 ms `edge.tick(nowMs);`
  auto tick(int64_t nowMs) -> void;
  /// Hands over answers and asks. Example: `auto out = edge.output();`
  auto output() -> Output { return std::exchange(out_, {}); }
  /// What is left of an answer at the moment at which it leaves: a process that was held up since it decided does
  /// not hand out a copy on old knowledge. Example: `stream->answer(Edge::atLast(a, steadyMs()), a.method, a.keep);`
  static auto atLast(const Output::Answered& answered, int64_t nowMs) -> const Answer&;
  /// Where the shields of the frame are. Example: `for (auto& at : edge.shields()) post->warm(at);`
  auto shields() const -> std::vector<std::string>;
  auto isCurrent(int64_t nowMs) const -> bool { return held_.isCurrent(nowMs, props_.staleMs); }
  auto revision() const -> core::Revision { return held_.frame->revision; }
  auto figures() const -> Figures { return figures_; }
  /// What rollouts are judged by. Example: `link.tell({edge.revision(), {}, edge.samples()});`
  auto samples() const -> const neighbour::Samples& { return samples_; }
  auto open() const -> size_t { return waiting_.size(); }
  auto cache() const -> const policy::Cache& { return cache_; }

 private:
  struct Waiting {
    Request request;
    std::string service;
    core::Path path;
    int64_t startMs = 0, untilMs = 0, askedMs = 0, firstAskedMs = 0;
    uint64_t purges = 0;  // in force when it was first asked for
    std::string shield;
    std::set<std::string> tried;
    bool isWrite = false, isShared = false, wasSent = false, isHedged = false;
    uint32_t refusal = kNoShield;  // why the last shield did not take it
    std::string joinKey;
    std::vector<uint64_t> followers;
    std::string rollout;
    bool isNext = false, isFetched = false, hasPolicyFailed = false;
    double load = 0;
  };
  auto rule(const std::string& policy, const Request& request) -> std::optional<policy::Ruling>;
  auto measure(const std::string& rollout, bool isNext, int64_t tookMs, int status, bool isFetched, double load) -> void;
  auto ask(uint64_t id, bool isExtra, int64_t nowMs) -> void;
  auto giveUp(uint64_t id, uint32_t code, int64_t nowMs) -> void;
  auto finish(uint64_t id, const Answer& answer, const policy::Copy* copy, int64_t nowMs) -> void;
  auto answer(Waiting& waiting, Answer answer, int64_t nowMs) -> void;
  auto isSilent(const std::string& shield, int64_t nowMs) const -> bool;

  Props props_;
  HeldFrame held_;
  Paths paths_{held_.frame};  // of the configuration in force
  policy::Slab<Waiting> waiting_;
  policy::Cache cache_;
  std::map<std::string, uint64_t> joins_;
  policy::TryBudgets budgets_{"edge", props_.triesPart};
  neighbour::Samples samples_;
  std::map<std::string, std::optional<policy::Script>> scripts_;  // by text; none: it does not compile here
  struct Owing {  // a shield that has been asked and has not replied since
    int64_t sinceMs = 0, lastAskedMs = 0;
  };
  std::map<std::string, Owing> owing_;  // by address
  Output out_;
  Figures figures_;
};

/// True for methods that change something. Example: `isWrite("POST")`
auto isWrite(const std::string& method) -> bool;

}  // namespace dykestage::caller
