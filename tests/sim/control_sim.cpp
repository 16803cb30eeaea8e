#include "sim/control_sim.hpp"

#include <algorithm>
#include <cstdlib>

#include "caller/codes.hpp"
#include "operator/configuration.hpp"

namespace dykestage::sim {

namespace {
constexpr int64_t kBoundMs = 2000;
constexpr int64_t kCallerMs = 1000;              // a caller waits no longer before it moves on
constexpr int64_t kNoticeMs = kBoundMs * 2 / 5;  // a registry out of contact turns calls away from then on
constexpr int64_t kHeldMs = kBoundMs * 2 / 5;    // and holds none longer than this
constexpr int64_t kNewsMs = kBoundMs * 3 / 4;    // a data node is current within this
constexpr int64_t kAcknowledgedWithinMs = 4000;  // of calm
constexpr int64_t kFirstOrderMs = 2000, kCalmMs = 3000;
constexpr int64_t kNewsAgainMs = kBoundMs / 2;  // after a restart of all registries, from the first one in contact
constexpr int64_t kHeardMs = kBoundMs / 2;      // a node that reaches the registries for so long is heard
constexpr int64_t kSlowWayMs = 300;
constexpr int64_t kMark = 10000;  // idleMs of the limits is this and the number of the order
const std::vector<std::string> kRegistries = {"r1", "r2", "r3"};

auto number(const cJSON* in, const char* key) -> uint64_t {
  const auto* item = cJSON_GetObjectItemCaseSensitive(in, key);
  return cJSON_IsNumber(item) ? static_cast<uint64_t>(item->valuedouble) : 0;
}

class ControlSim : public SystemSim {
 public:
  explicit ControlSim(const ControlProps& props) : SystemSim(base(props)), control_(props) {}
  auto runAll() -> ControlVerdict {
    auto system = run();
    verdictOf_.faults = std::move(system.faults);
    verdictOf_.history = std::move(system.history);
    return std::move(verdictOf_);
  }

 private:
  struct Order {
    uint64_t base = 0, version = 0;
    std::string body;
    int64_t sentMs = 0;
    int open = 0;  // sends that wait for an answer
    // What its operator knows, and whether any registry has given it a clear answer, lost on its way or not.
    bool isAcknowledged = false, isRefused = false, isRepeated = false, isAnswered = false;
    auto isOver() const -> bool { return isAcknowledged || isRefused; }
  };
  using Then = std::function<void(const caller::Answer&)>;

  static auto base(const ControlProps& props) -> Props {
    Props made;
    made.seed = props.seed;
    made.faultsMs = props.endMs - 8000;
    made.healMs = 8000;
    made.wayMs = 20;
    made.syncMs = 8;
    made.hasProxies = true;  // lines keep their order
    made.keepHistory = props.keepHistory;
    made.dials = true;
    made.dropsAnswers = props.mutation == ControlMutation::kAnswersDropped;
    if (props.mutation == ControlMutation::kNoRedial) made.silenceMs = 0;
    return made;
  }

  auto populate() -> void override {
    for (tempo::Slot slot = 1; slot <= kRegistries.size(); ++slot) {
      auto core = std::make_unique<Core>();
      core->name = kRegistries[slot - 1];
      core->slot = slot;
      cores_[core->name] = std::move(core);
    }
    for (auto name : {"shield-1", "shield-2"}) {
      auto node = std::make_unique<Node>();
      node->name = name;
      node->kind = "shield";
      nodes_[node->name] = std::move(node);
    }
  }
  auto coreProps(const Core& core) const -> core::Registry::Props override {
    auto props = SystemSim::coreProps(core);
    props.core.replicas = 3;
    props.core.faults = 1;
    props.servesStale = true;
    return props;
  }
  auto judge() -> void override;
  auto plan() -> void override;
  auto call(const std::string& registry, const std::string& method, const std::string& target, const std::string& body,
            Then then) -> void;
  auto handOver(const std::string& registry, const std::string& method, const std::string& target,
                const std::string& body, int64_t sentMs, Then then) -> void;
  auto judgeCall(const std::string& registry, int64_t sentMs, int status) -> void;
  auto order() -> void;
  auto newOrder(uint64_t base, uint64_t version) -> void;
  auto post(size_t index, int sends) -> void;
  auto told(size_t index, const caller::Answer& answer) -> void;
  auto read(const std::string& registry) -> void;
  auto lookAtNews() -> void;
  auto lookAtReturn() -> void;
  auto judgeAcknowledgement(const std::string& name, uint64_t version) -> void;
  auto feelContact() -> void;
  auto begin(const ControlTrouble& trouble) -> void;
  auto end() -> void;
  auto cutFrom(const std::string& registry, const std::vector<std::string>& others, bool isOut, bool isIn) -> void;
  auto anyRegistry() -> std::string { return kRegistries[static_cast<size_t>(pick(0, 2))]; }
  auto isInContact(const std::string& registry) const -> bool;

  ControlProps control_;
  ControlVerdict verdictOf_;
  std::vector<Order> orders_;
  uint64_t known_ = 0;                          // the newest version that the operators know to be in force
  uint64_t acknowledged_ = 0;                   // the newest version acknowledged
  std::map<uint64_t, size_t> winners_;          // base → order
  std::map<uint64_t, size_t> inForce_;          // version → order, as reads showed it
  std::map<std::string, int64_t> outSinceMs_;   // registries out of contact
  std::map<std::string, int64_t> newsSinceMs_;  // data nodes → since when they reach a majority
  std::map<std::string, caller::Answer> firstReads_;
  std::string lastAcknowledger_ = "r1", troubled_;
  int64_t troubleMs_ = 0;
  bool isReturning_ = false;     // all registries were killed, and some node has had no news since
  int64_t contactAgainMs_ = -1;  // since when one of them is in contact again
};

// ---- contact ---------------------------------------------------------------------------------------------

auto ControlSim::isInContact(const std::string& registry) const -> bool {
  return std::any_of(kRegistries.begin(), kRegistries.end(), [&](const auto& other) {
    const auto& core = *cores_.at(other);
    return other != registry && core.isUp && core.frozenUntilMs <= nowMs_ && !isCut(registry, other) &&
           !isCut(other, registry);
  });
}

auto ControlSim::feelContact() -> void {
  for (const auto& name : kRegistries) {
    const auto& core = *cores_.at(name);
    if (!core.isUp || core.frozenUntilMs > nowMs_ || isInContact(name))
      outSinceMs_.erase(name);
    else
      outSinceMs_.try_emplace(name, nowMs_);
  }
  for (auto& [name, node] : nodes_) {
    auto reached = std::count_if(kRegistries.begin(), kRegistries.end(), [&, n = name](const auto& registry) {
      const auto& core = *cores_.at(registry);
      return core.isUp && core.frozenUntilMs <= nowMs_ && !isCut(n, registry) && !isCut(registry, n);
    });
    if (reached < 2)
      newsSinceMs_[name] = nowMs_;
    else
      newsSinceMs_.try_emplace(name, nowMs_);
  }
}

// A data node that reaches two registries leaves a publisher that is out of contact before its own news is too old.
auto ControlSim::lookAtNews() -> void {
  for (auto& [name, node] : nodes_) {
    if (nowMs_ - newsSinceMs_[name] < kCalmMs) continue;
    auto ageMs = nowMs_ - node->agentFollows->held().asOfMs;
    verdictOf_.oldestNewsMs = std::max(verdictOf_.oldestNewsMs, ageMs);
    if (ageMs > kNewsMs)
      return fault(name + " reaches two registries, and its news is " + std::to_string(ageMs) + " ms old, from " +
                   node->agentFollows->target());
  }
}

// After a restart of all registries every data node has news soon after the first of them is in contact.
auto ControlSim::lookAtReturn() -> void {
  if (!isReturning_) return;
  auto isBack = std::any_of(cores_.begin(), cores_.end(), [&](const auto& one) {
    return one.second->isUp && one.second->registry->hasContact(nowMs_);
  });
  if (isBack && contactAgainMs_ < 0) contactAgainMs_ = nowMs_;
  if (contactAgainMs_ < 0) return;
  auto lacks = std::find_if(nodes_.begin(), nodes_.end(),
                            [&](const auto& one) { return one.second->agentFollows->held().asOfMs < contactAgainMs_; });
  if (lacks == nodes_.end()) {
    isReturning_ = false;
    return;
  }
  verdictOf_.newsAgainMs = std::max(verdictOf_.newsAgainMs, nowMs_ - contactAgainMs_);
  if (nowMs_ - contactAgainMs_ <= kNewsAgainMs) return;
  isReturning_ = false;
  fault(lacks->first + " has had no news for " + std::to_string(kNewsAgainMs) +
        " ms since a registry is in contact again");
}

// Data nodes that go on with what they know are bound by an acknowledgement: whoever is heard has it in force by then.
auto ControlSim::judgeAcknowledgement(const std::string& name, uint64_t version) -> void {
  for (auto& [node, one] : nodes_) {
    if (nowMs_ - newsSinceMs_[node] < kHeardMs) continue;
    auto inForce = one->inForce.frame->routing.version;
    if (inForce < version)
      fault(name + " was acknowledged while " + node + ", which the registries hear, acts on version " +
            std::to_string(inForce));
  }
}

// ---- calls -----------------------------------------------------------------------------------------------

// What reaches a frozen process is worked on when it thaws; what reaches none is lost.
auto ControlSim::call(const std::string& registry, const std::string& method, const std::string& target,
                      const std::string& body, Then then) -> void {
  auto sentMs = nowMs_;
  auto life = cores_.at(registry)->life;
  auto give = [=, this] {
    if (cores_.at(registry)->life == life) handOver(registry, method, target, body, sentMs, then);
  };
  if (!isBefore(cores_.at(registry)->frozenUntilMs, give)) give();
}

auto ControlSim::handOver(const std::string& registry, const std::string& method, const std::string& target,
                          const std::string& body, int64_t sentMs, Then then) -> void {
  auto startMs = nowMs_;
  auto isOut = outSinceMs_.count(registry) != 0;
  if (control_.mutation == ControlMutation::kAcknowledgesAll && isOut && method == "POST") {
    caller::Answer answer;
    answer.status = 200;
    return then(answer);
  }
  auto isAnswered = std::make_shared<bool>(false);
  auto isMute = control_.mutation == ControlMutation::kSilence && isOut;
  http(registry, method, target, body, [=, this](const caller::Answer& answer) {
    if (isMute) return;
    *isAnswered = true;
    if (startMs == sentMs) judgeCall(registry, sentMs, answer.status);
    if (nowMs_ - sentMs <= kCallerMs) then(answer);  // else the caller has moved on
  });
  // A call at a registry that stays out of contact is answered soon.
  at(nowMs_ + kHeldMs + 1, [=, this] {
    auto since = outSinceMs_.find(registry);
    if (*isAnswered || since == outSinceMs_.end() || since->second > startMs) return;
    fault(registry + " out of contact holds " + method + " " + target + " for over " + std::to_string(kHeldMs) + " ms");
  });
}

auto ControlSim::judgeCall(const std::string& registry, int64_t sentMs, int status) -> void {
  auto since = outSinceMs_.find(registry);
  auto isTurnedAway = status == 503 && nowMs_ == sentMs;
  if (isTurnedAway) ++verdictOf_.turnedAway;
  if (since == outSinceMs_.end()) {
    if (isTurnedAway && nowMs_ - troubleMs_ > kCalmMs) ++verdictOf_.heldInContact;
    return;
  }
  if (sentMs >= since->second) verdictOf_.longestHeldMs = std::max(verdictOf_.longestHeldMs, nowMs_ - sentMs);
  if (!isTurnedAway) verdictOf_.noticedMs = std::max(verdictOf_.noticedMs, sentMs - since->second);
  if (!isTurnedAway && sentMs - since->second > kNoticeMs)
    fault(registry + ", out of contact for " + std::to_string(sentMs - since->second) + " ms, answers " +
          std::to_string(status) + " after " + std::to_string(nowMs_ - sentMs) + " ms");
}

// ---- operators -------------------------------------------------------------------------------------------

auto ControlSim::order() -> void {
  auto underWay = std::count_if(orders_.begin(), orders_.end(), [](const auto& o) { return !o.isOver(); });
  if (static_cast<size_t>(underWay) >= control_.ordersUnderWay) return;
  auto version = known_ + static_cast<uint64_t>(pick(1, 3));
  newOrder(known_, version);
  if (known_ == 0 || pick(1, 3) > 1) return;
  // Rivals on the same base, some under the same number.
  for (auto rivals = pick(1, 3); rivals > 0; --rivals)
    newOrder(known_, pick(1, 3) == 1 ? version : known_ + static_cast<uint64_t>(pick(1, 5)));
}

auto ControlSim::newOrder(uint64_t base, uint64_t version) -> void {
  auto mark = std::to_string(kMark + static_cast<int64_t>(orders_.size()));
  auto isWhole = base == 0 || pick(0, 1) == 1;
  Order made;
  made.base = base;
  made.version = version;
  made.sentMs = nowMs_;
  made.body = R"({"version":)" + std::to_string(version) + R"(,"base":)" + std::to_string(base) + R"(,"whole":)" +
              (isWhole ? "true" : "false");
  if (isWhole)
    made.body +=
        R"(,"routes":{"view":{"host":"shop.test","prefix":"/view/","kind":"readOnly","giveUpMs":1000,"targetMs":100,)"
        R"("rank":1,"shares":[{"pool":"till","weight":1}],"tries":2,"keepMs":0}},"pools":{"till":{"probe":"/health"}})";
  made.body += R"(,"limits":{"headerBytes":1000,"bodyBytes":1000,"headerMs":1000,"idleMs":)" + mark + "}}";
  orders_.push_back(std::move(made));
  auto index = orders_.size() - 1;
  post(index, 0);
  at(nowMs_ + kAcknowledgedWithinMs, [this, index] {
    auto isCalm = nowMs_ - troubleMs_ > kCalmMs + kAcknowledgedWithinMs;
    if (isCalm && !orders_[index].isAnswered)
      fault("order " + std::to_string(index) + " has no clear answer after " + std::to_string(kAcknowledgedWithinMs) +
            " ms of calm");
  });
}

// An order is sent until it has a clear answer; now and then to two registries at once.
auto ControlSim::post(size_t index, int sends) -> void {
  if (orders_[index].isOver() || sends > 60) return;
  auto isAnswered = std::make_shared<bool>(false);
  auto again = [=, this](int64_t pauseMs) {
    if (std::exchange(*isAnswered, true)) return;
    at(nowMs_ + pauseMs, [=, this] { post(index, sends + 1); });
  };
  auto copies = pick(1, 5) == 1 ? 2 : 1;
  for (auto i = 0; i < copies; ++i) {
    auto registry = anyRegistry();
    call(registry, "POST", "/routing", orders_[index].body, [=, this](const caller::Answer& answer) {
      if (answer.status == 200) lastAcknowledger_ = registry;
      if (answer.status < 500) orders_[index].isAnswered = true;
      if (pick(1, 100) <= control_.lostAnswerPercent) return;
      if (answer.status >= 500) return again(pick(20, 200));
      *isAnswered = true;
      told(index, answer);
    });
  }
  at(nowMs_ + kCallerMs, [again] { again(1); });
}

auto ControlSim::told(size_t index, const caller::Answer& answer) -> void {
  auto& one = orders_[index];
  auto name =
      "order " + std::to_string(index) + " (" + std::to_string(one.base) + " to " + std::to_string(one.version) + ")";
  auto status = answer.status;
  if (status == 409 && control_.mutation == ControlMutation::kLoserTaken) status = 200;
  if (status == 200 && one.isRepeated && control_.mutation == ControlMutation::kRepeatRefused) status = 409;
  say(name + " is answered " + std::to_string(status));
  if (status == 409) {
    ++verdictOf_.refused;
    if (one.isAcknowledged) fault(name + " was acknowledged and is refused when it is sent again");
    if (auto it = inForce_.find(one.version); it != inForce_.end() && it->second == index)
      fault(name + " was in force and is refused");
    one.isRefused = true;
    return;
  }
  if (status != 200) return fault(name + " is valid and was answered " + std::to_string(status) + " " + answer.body);
  if (one.isRefused) fault(name + " was refused and is acknowledged later");
  auto [winner, isFirst] = winners_.emplace(one.base, index);
  if (!isFirst && winner->second != index)
    fault(name + " and order " + std::to_string(winner->second) + " were both acknowledged");
  if (!one.isAcknowledged) {
    ++verdictOf_.acknowledged;
    verdictOf_.longestAckMs = std::max(verdictOf_.longestAckMs, nowMs_ - one.sentMs);
    judgeAcknowledgement(name, one.version);
  }
  one.isAcknowledged = true;
  acknowledged_ = std::max(acknowledged_, one.version);
  known_ = std::max(known_, one.version);
}

// A read shows whatever was acknowledged before it was sent.
auto ControlSim::read(const std::string& registry) -> void {
  auto needed = acknowledged_;
  call(registry, "GET", "/routing", "", [=, this](const caller::Answer& real) {
    if (real.status != 200) return;
    auto& first = firstReads_[registry];
    if (first.status != 200) first = real;
    const auto& answer = control_.mutation == ControlMutation::kStaleRead ? first : real;
    ++verdictOf_.reads;
    auto json = op::parse(answer.body);
    auto version = number(json.get(), "version");
    if (version < needed)
      return fault(registry + " shows version " + std::to_string(version) + ", " + std::to_string(needed) +
                   " was acknowledged before");
    if (version == 0) return;
    auto idleMs = number(cJSON_GetObjectItemCaseSensitive(json.get(), "limits"), "idleMs");
    auto index = static_cast<size_t>(idleMs) - static_cast<size_t>(kMark);
    if (index >= orders_.size() || orders_[index].version != version) return fault("a read shows what nobody sent");
    if (orders_[index].isRefused) fault("order " + std::to_string(index) + " was refused and is in force");
    if (auto [it, isNew] = inForce_.emplace(version, index); !isNew && it->second != index)
      fault("two configurations under the number " + std::to_string(version));
    known_ = std::max(known_, version);
  });
  // The product's own page of the configuration is as new: each change that was acknowledged is one revision.
  auto least = winners_.size();
  call(registry, "GET", "/configuration", "", [=, this](const caller::Answer& answer) {
    if (answer.status != 200) return;
    auto json = op::parse(answer.body);
    if (number(json.get(), "revision") < least)
      fault(registry + " shows revision " + std::to_string(number(json.get(), "revision")) + " after " +
            std::to_string(least) + " changes were acknowledged");
  });
}

// ---- troubles --------------------------------------------------------------------------------------------

auto ControlSim::cutFrom(const std::string& registry, const std::vector<std::string>& others, bool isOut, bool isIn)
    -> void {
  for (const auto& other : others) {
    if (other == registry) continue;
    if (isOut) cuts_.insert({registry, other});
    if (isIn) cuts_.insert({other, registry});
  }
}

auto ControlSim::begin(const ControlTrouble& trouble) -> void {
  troubled_ = trouble.registry == "leader" ? lastAcknowledger_ : trouble.registry;
  auto name = troubled_;
  auto untilMs = nowMs_ + trouble.forMs;
  say("trouble " + std::to_string(static_cast<int>(trouble.kind)) + " at " + name + " for " +
      std::to_string(trouble.forMs) + " ms");
  for (auto ms = nowMs_; ms <= untilMs; ms += 50)
    at(ms, [this] { troubleMs_ = nowMs_; });
  auto all = kRegistries;
  switch (trouble.kind) {
    case Trouble::kSilentCut:
      cutFrom(name, all, true, true);
      break;
    case Trouble::kOutboundCut:
      cutFrom(name, all, true, false);
      break;
    case Trouble::kInboundCut:
      cutFrom(name, all, false, true);
      break;
    case Trouble::kResetCut:
      cutFrom(name, all, true, true);
      downLines_ = cuts_;
      break;
    case Trouble::kLonelyCut:
      for (auto& [node, one] : nodes_)
        all.push_back(node);
      cutFrom(name, all, true, true);
      break;
    case Trouble::kNodeCut:
      cutFrom(name, all, true, true);
      break;
    case Trouble::kFreeze:
      cores_.at(name)->frozenUntilMs = untilMs;
      break;
    case Trouble::kRestartInCut:
      cutFrom(name, all, true, true);
      at(nowMs_ + trouble.forMs / 3, [this, name] { stopCore(name, pick(0, 1) == 1); });
      at(nowMs_ + trouble.forMs / 2, [this, name] { startCore(name); });
      break;
    case Trouble::kAllKilled:
      isReturning_ = true;
      contactAgainMs_ = -1;
      for (const auto& registry : kRegistries) {
        stopCore(registry, false);
        at(untilMs, [this, registry] { startCore(registry); });
      }
      break;
    case Trouble::kSlowNode:
      slowMs_[name] = kSlowWayMs;
      break;
    case Trouble::kPowerLoss:
    case Trouble::kWipe:
      stopCore(name);
      if (trouble.kind == Trouble::kWipe) {
        cores_.at(name)->frame.clear();
        cores_.at(name)->writes.clear();
      }
      at(untilMs, [this, name] { startCore(name); });
      break;
  }
  at(untilMs, [this] { end(); });
}

auto ControlSim::end() -> void {
  say("healed");
  cuts_.clear();
  downLines_.clear();
  slowMs_.clear();
  for (const auto& name : kRegistries)
    startCore(name);
}

auto ControlSim::plan() -> void {
  for (int64_t ms = 0; ms < control_.endMs; ms += 5)
    at(ms, [this] { feelContact(); });
  for (int64_t ms = 6000; ms < control_.endMs; ms += 50)
    at(ms, [this] { lookAtNews(); });
  for (int64_t ms = 6000; ms < control_.endMs; ms += 10)
    at(ms, [this] { lookAtReturn(); });
  at(kFirstOrderMs, [this] { newOrder(0, 1); });
  for (auto ms = kFirstOrderMs + 1000; ms < control_.endMs - 6000; ms += control_.orderEveryMs)
    at(ms, [this] { order(); });
  for (auto ms = kFirstOrderMs + 1000; ms < control_.endMs; ms += 110)
    at(ms + pick(0, 50), [this] { read(anyRegistry()); });
  // What was answered is sent again, however long ago that was.
  for (auto ms = kFirstOrderMs + 2000; ms < control_.endMs; ms += 130)
    at(ms, [this] {
      auto index = static_cast<size_t>(pick(0, static_cast<int64_t>(orders_.size()) - 1));
      if (!orders_[index].isOver()) return;
      ++verdictOf_.repeats;
      orders_[index].isRepeated = true;
      call(anyRegistry(), "POST", "/routing", orders_[index].body, [this, index](const caller::Answer& answer) {
        if (answer.status < 500) told(index, answer);
      });
    });
  for (const auto& trouble : control_.troubles)
    at(trouble.atMs, [this, trouble] { begin(trouble); });
}

auto ControlSim::judge() -> void {
  for (size_t index = 0; index < orders_.size(); ++index)
    if (!orders_[index].isAnswered && nowMs_ > control_.endMs - 100)
      fault("order " + std::to_string(index) + " has no clear answer at the end");
  for (auto& [name, core] : cores_)
    if (!core->isUp || !core->registry->isReady(nowMs_)) fault(name + " is not back at the end");
}
}  // namespace

auto runControl(const ControlProps& props) -> ControlVerdict {
  return ControlSim(props).runAll();
}

}  // namespace dykestage::sim
