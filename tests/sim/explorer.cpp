#include "sim/explorer.hpp"

#include <algorithm>

#include "neighbour/post.hpp"

namespace dykestage::sim {

using tempo::Command;
using tempo::Message;
using tempo::Node;
using tempo::Slot;
using tempo::Stamp;

namespace {
constexpr int64_t kSettleStepMs = 25;

auto mix(uint64_t seed, uint64_t value) -> uint64_t {
  seed ^= value + 0x9e3779b97f4a7c15ull + (seed << 6) + (seed >> 2);
  seed *= 0xff51afd7ed558ccdull;
  return seed ^ (seed >> 33);
}

auto hashOf(const std::vector<Message>& messages) -> uint64_t {
  return neighbour::hash(Writer().put(messages).take());
}
}  // namespace

// What a Node calls its machine. A Node keeps a reference to it, so that copies of a Node share it; whoever calls a
// Node says first whose state it is.
class Cluster::Dispatcher : public tempo::Machine {
 public:
  explicit Dispatcher(ApplyFunction apply) : apply_(std::move(apply)) {}
  auto of(core::State& state) -> Dispatcher& {
    state_ = &state;
    return *this;
  }
  auto apply(const Command& command, Stamp stamp) -> std::string override {
    return apply_ ? apply_(*state_, command, stamp) : state_->apply(command, stamp);
  }
  auto save(uint8_t part) const -> std::string override { return state_->save(part); }
  auto load(uint8_t part, const std::string& frame) -> void override { state_->load(part, frame); }

 private:
  ApplyFunction apply_;
  core::State* state_ = nullptr;
};

Cluster::Cluster(Settings settings, const std::map<Slot, tempo::Incarnation>& members)
    : settings_(std::make_shared<const Settings>(std::move(settings))),
      dispatcher_(std::make_shared<Dispatcher>(settings_->apply)) {
  for (const auto& [slot, incarnation] : members) {
    auto replica = std::make_shared<Replica>();
    replica->state = std::make_shared<core::State>();
    replica->node = std::make_shared<Node>(settings_->core, slot, incarnation, dispatcher_->of(*replica->state));
    replica->node->form(members);
    replica->frame = replica->node->save();
    replicas_[slot] = std::move(replica);
  }
}

// A replica is copied before it changes: other clusters may still hold it as it is.
auto Cluster::change(Slot slot, uint64_t input) -> Replica& {
  auto next = std::make_shared<Replica>(*replicas_.at(slot));
  next->state = std::make_shared<core::State>(*next->state);
  next->node = std::make_shared<Node>(*next->node);
  next->history = mix(next->history, input);
  dispatcher_->of(*next->state);
  replicas_[slot] = next;
  return *next;
}

// Syncs at once, then hands on what the step sends, as one bundle for each receiver.
auto Cluster::flush(Slot slot) -> void {
  auto& replica = const_cast<Replica&>(*replicas_.at(slot));
  dispatcher_->of(*replica.state);
  auto out = replica.node->take();
  if (out.frameTaken) {
    replica.frame = replica.node->save();
    replica.writes.clear();
  }
  replica.writes.insert(replica.writes.end(), out.writes.begin(), out.writes.end());
  std::map<Slot, std::vector<Message>> bundles;
  for (auto& send : out.sends)
    bundles[send.to].push_back(std::move(send.message));
  for (auto& [to, bundle] : bundles)
    if (replicas_.count(to))
      messages_[{slot, to}].push_back(std::make_shared<const std::vector<Message>>(std::move(bundle)));
  for (const auto& answer : out.answers) {
    auto it = replica.waiting.find(answer.id);
    if (it == replica.waiting.end()) continue;
    auto results = Reader(answer.result).get<std::vector<core::OpResult>>();
    if (answer.isVoid || results.empty())
      ++lostAnswers_;
    else
      outcomes_.push_back({it->second, results.front()});
    replica.waiting.erase(it);
  }
}

auto Cluster::submit(Slot slot, const core::Op& op) -> size_t {
  auto number = submissions_++;
  auto payload = Writer().put(std::vector<core::Op>{op}).take();
  auto& replica = change(slot, mix(neighbour::hash(payload), number));
  replica.waiting[replica.node->submit(op.parts(), payload, replica.nowMs)] = number;
  flush(slot);
  return number;
}

auto Cluster::give(Line line) -> void {
  auto bundle = messages_.at(line).front();
  auto& replica = change(line.second, mix(hashOf(*bundle), line.first));
  for (const auto& message : *bundle)
    replica.node->receive(line.first, message, replica.nowMs);
  flush(line.second);
}

auto Cluster::deliver(Line line) -> void {
  give(line);
  messages_.at(line).pop_front();
}

auto Cluster::repeat(Line line) -> void {
  give(line);
}

auto Cluster::lose(Line line) -> void {
  messages_.at(line).pop_front();
}

auto Cluster::passTime(Slot slot, int64_t ms) -> void {
  auto& replica = change(slot, mix(static_cast<uint64_t>(ms), 0));
  replica.nowMs += ms;
  replica.node->tick(replica.nowMs);
  flush(slot);
}

auto Cluster::restart(Slot slot) -> void {
  auto& replica = change(slot, ~0ull);
  lostAnswers_ += replica.waiting.size();
  replica.waiting.clear();
  replica.state = std::make_shared<core::State>();
  auto incarnation = replica.node->incarnation();
  replica.node = std::make_shared<Node>(settings_->core, slot, incarnation, dispatcher_->of(*replica.state));
  replica.node->load(replica.frame);
  for (const auto& write : replica.writes)
    replica.node->replay(write);
  replica.node->replayed();
  // What was on its way to the process that ended is lost with its connections.
  for (auto& [line, queue] : messages_)
    if (line.second == slot) queue.clear();
  flush(slot);
}

auto Cluster::settle(int rounds) -> bool {
  for (auto round = 0; round < rounds; ++round) {
    for (auto open = lines(); !open.empty(); open = lines())
      for (const auto& line : open)
        deliver(line);
    auto areEven = std::all_of(replicas_.begin(), replicas_.end(), [&](const auto& one) {
      return one.second->state->frame().revision == replicas_.begin()->second->state->frame().revision;
    });
    if (outcomes_.size() + lostAnswers_ >= submissions_ && areEven) return true;
    for (auto slot : slots())
      passTime(slot, kSettleStepMs);
  }
  return false;
}

auto Cluster::lines() const -> std::vector<Line> {
  std::vector<Line> list;
  for (const auto& [line, queue] : messages_)
    if (!queue.empty()) list.push_back(line);
  return list;
}

auto Cluster::slots() const -> std::vector<Slot> {
  std::vector<Slot> list;
  for (const auto& [slot, replica] : replicas_)
    list.push_back(slot);
  return list;
}

auto Cluster::node(Slot slot) const -> const Node& {
  return *replicas_.at(slot)->node;
}
auto Cluster::state(Slot slot) const -> const core::State& {
  return *replicas_.at(slot)->state;
}

auto Cluster::fingerprint() const -> uint64_t {
  uint64_t sum = lostAnswers_;
  for (const auto& [slot, replica] : replicas_)
    sum = mix(sum, replica->history);
  for (const auto& [line, queue] : messages_) {
    sum = mix(sum, mix(line.first, line.second));
    for (const auto& bundle : queue)
      sum = mix(sum, hashOf(*bundle));
  }
  return sum;
}

// ---- the search ------------------------------------------------------------------------------------------

namespace {
struct Trail {
  std::shared_ptr<const Trail> before;
  std::string step;
};

struct Visit {
  Cluster cluster;
  ExplorerBudget left;
  std::shared_ptr<const Trail> trail;
};

auto nameOf(const char* what, Cluster::Line line) -> std::string {
  return std::string(what) + " " + std::to_string(line.first) + "→" + std::to_string(line.second);
}

auto fingerprintOf(const Visit& visit) -> uint64_t {
  const auto& left = visit.left;
  auto sum = visit.cluster.fingerprint();
  for (auto value : {left.losses, left.repetitions, left.timeouts, left.restarts})
    sum = mix(sum, static_cast<uint64_t>(value));
  return sum;
}

auto stepsOf(const std::shared_ptr<const Trail>& trail) -> std::vector<std::string> {
  std::vector<std::string> steps;
  for (auto at = trail; at; at = at->before)
    steps.push_back(at->step);
  std::reverse(steps.begin(), steps.end());
  return steps;
}

// Every state that one step leads to.
auto successors(const Visit& visit, const ExplorerProps& props) -> std::vector<Visit> {
  std::vector<Visit> list;
  auto add = [&](const std::string& step, int ExplorerBudget::*spent, const std::function<void(Cluster&)>& act) {
    if (spent && visit.left.*spent <= 0) return;
    Visit next{visit.cluster, visit.left, std::make_shared<const Trail>(Trail{visit.trail, step})};
    if (spent) --(next.left.*spent);
    act(next.cluster);
    list.push_back(std::move(next));
  };
  auto lines = visit.cluster.lines();
  for (const auto& line : lines) {
    add(nameOf("deliver", line), nullptr, [&](Cluster& c) { c.deliver(line); });
    add(nameOf("lose", line), &ExplorerBudget::losses, [&](Cluster& c) { c.lose(line); });
    add(nameOf("repeat", line), &ExplorerBudget::repetitions, [&](Cluster& c) { c.repeat(line); });
  }
  for (auto slot : visit.cluster.slots()) {
    add("timeout " + std::to_string(slot), &ExplorerBudget::timeouts,
        [&](Cluster& c) { c.passTime(slot, props.timeoutMs); });
    add("restart " + std::to_string(slot), &ExplorerBudget::restarts, [&](Cluster& c) { c.restart(slot); });
  }
  return list;
}

// Whatever a state says that is wrong, at once or once everything has settled.
auto faultOf(const Visit& visit, const ExplorerProps& props, ExplorerReport& report) -> std::string {
  if (auto why = props.invariant ? props.invariant(visit.cluster) : ""; !why.empty()) return why;
  if (!visit.cluster.lines().empty()) return "";
  ++report.ends;
  auto end = visit.cluster;
  if (!end.settle(props.settleRounds))
    return "operations are unanswered, or replicas differ, long after the last fault";
  if (auto why = props.invariant ? props.invariant(end) : ""; !why.empty()) return why;
  return props.atEnd ? props.atEnd(end) : "";
}
}  // namespace

auto explore(const Cluster& start, const ExplorerProps& props) -> ExplorerReport {
  ExplorerReport report;
  std::unordered_set<uint64_t> seen;
  std::vector<Visit> open = {{start, props.budget, nullptr}};
  seen.insert(fingerprintOf(open.back()));
  while (!open.empty() && report.states < props.mostStates) {
    auto visit = std::move(open.back());
    open.pop_back();
    ++report.states;
    report.violation = faultOf(visit, props, report);
    if (!report.violation.empty()) {
      report.trace = stepsOf(visit.trail);
      return report;
    }
    for (auto& next : successors(visit, props))
      if (seen.insert(fingerprintOf(next)).second) open.push_back(std::move(next));
  }
  report.isExhaustive = open.empty();
  return report;
}

}  // namespace dykestage::sim
