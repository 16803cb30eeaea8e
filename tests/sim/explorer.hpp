// Sim: an exhaustive search over the orders, losses and repetitions of messages among a few replicas. It drives the
// product's own state machines (tempo::Node with core::State) without a clock of its own: every reachable state of a
// small case is visited once, and each is checked.
#pragma once
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/state.hpp"
#include "tempo/tempo.hpp"

namespace dykestage::sim {

/// What the search may do besides delivering messages; each number is a budget for one whole run.
struct ExplorerBudget {
  int losses = 0;       // messages lost on their way
  int repetitions = 0;  // messages that arrive twice
  int timeouts = 0;     // timers of one replica that fire early, so that it recovers others' commands
  int restarts = 0;     // replicas that start again from what they have synced
};

/// The state machine that a replica runs: by default core::State as it is; a mutation replaces `apply`.
using ApplyFunction = std::function<std::string(core::State&, const tempo::Command&, tempo::Stamp)>;

/// The replicas of a core and the messages between them, as one value that can be copied.
/// Example:
///   Cluster cluster(settings, {{1, 11}, {2, 12}, {3, 13}});
///   cluster.submit(1, op);
///   cluster.deliver({1, 2});
class Cluster {
 public:
  /// The way from one replica to another. Messages on one way keep their order.
  using Line = std::pair<tempo::Slot, tempo::Slot>;
  /// The answer to an operation, as its submitter has seen it.
  struct Outcome {
    size_t submission = 0;
    core::OpResult result;
  };
  struct Settings {
    tempo::Props core;
    ApplyFunction apply;  // empty: core::State as it is
  };

  Cluster(Settings settings, const std::map<tempo::Slot, tempo::Incarnation>& members);

  /// Submits an operation at a replica; returns its number, by which outcomes name it.
  auto submit(tempo::Slot slot, const core::Op& op) -> size_t;
  /// Delivers the first message of a way.
  auto deliver(Line line) -> void;
  /// Delivers the first message of a way and leaves it there, to arrive again.
  auto repeat(Line line) -> void;
  /// Loses the first message of a way.
  auto lose(Line line) -> void;
  /// Lets so much time pass at one replica, whose timers then fire.
  auto passTime(tempo::Slot slot, int64_t ms) -> void;
  /// Restarts a replica from what it has synced; its submissions lose their answers.
  auto restart(tempo::Slot slot) -> void;
  /// Delivers everything in turn and lets time pass until nothing is open, without further faults.
  /// Returns false when operations are still unanswered after `rounds`.
  auto settle(int rounds) -> bool;

  /// The ways that have a message, in a fixed order.
  auto lines() const -> std::vector<Line>;
  auto slots() const -> std::vector<tempo::Slot>;
  auto node(tempo::Slot slot) const -> const tempo::Node&;
  auto state(tempo::Slot slot) const -> const core::State&;
  auto outcomes() const -> const std::vector<Outcome>& { return outcomes_; }
  auto submissions() const -> size_t { return submissions_; }
  /// Equal for two clusters only if they behave alike from now on (up to collisions of a 64-bit hash): each replica is
  /// known by all that it was given, in order.
  auto fingerprint() const -> uint64_t;

 private:
  class Dispatcher;
  struct Replica {
    std::shared_ptr<core::State> state;
    std::shared_ptr<tempo::Node> node;
    std::string frame;                // synced
    std::vector<std::string> writes;  // synced
    int64_t nowMs = 0;
    uint64_t history = 0;  // a hash of all inputs in their order
    std::map<tempo::Id, size_t> waiting;
  };
  auto change(tempo::Slot slot, uint64_t input) -> Replica&;
  auto flush(tempo::Slot slot) -> void;
  auto give(Line line) -> void;

  std::shared_ptr<const Settings> settings_;
  std::shared_ptr<Dispatcher> dispatcher_;
  std::map<tempo::Slot, std::shared_ptr<const Replica>> replicas_;
  std::map<Line, std::deque<std::shared_ptr<const std::vector<tempo::Message>>>> messages_;
  std::vector<Outcome> outcomes_;
  size_t submissions_ = 0, lostAnswers_ = 0;
};

/// Visits every state that is reachable from a start, within a budget of faults.
/// Example:
///   auto report = explore(cluster, {.losses = 1}, {.invariant = check, .atEnd = checkEnd, .mostStates = 200000});
struct ExplorerProps {
  ExplorerBudget budget;
  /// What is wrong with a state on the way; empty: nothing.
  std::function<std::string(const Cluster&)> invariant;
  /// What is wrong with a state in which everything has settled; empty: nothing.
  std::function<std::string(const Cluster&)> atEnd;
  size_t mostStates = 1'000'000;
  int64_t timeoutMs = 300;  // that passes when a timer fires early
  int settleRounds = 200;
};

struct ExplorerReport {
  size_t states = 0;               // different states visited
  size_t ends = 0;                 // of them those without a message under way, each of which was let settle
  bool isExhaustive = false;       // false: the bound on states was reached
  std::string violation;           // the first one; empty: none
  std::vector<std::string> trace;  // the steps that lead to it
};

auto explore(const Cluster& start, const ExplorerProps& props) -> ExplorerReport;

}  // namespace dykestage::sim
