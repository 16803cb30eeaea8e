#include "sim/core_sim.hpp"

#include <algorithm>
#include <utility>

namespace dykestage::sim {

using namespace tempo;

// Remembers, per partition, which commands ran in what order. What a machine does counts once the step is
// synced: before that nobody has seen it, and a crash undoes it.
class CoreSim::TestMachine : public Machine {
 public:
  auto apply(const Command& command, Stamp stamp) -> std::string override {
    Applied one{command.id, stamp, {}};
    for (uint8_t part = 0; part < kParts; ++part)
      if (command.parts & (1u << part)) one.places.push_back({part, counts[part]++});
    applied.push_back(std::move(one));
    return command.payload;
  }
  auto save(uint8_t part) const -> std::string override { return Writer().put(counts[part]).take(); }
  auto load(uint8_t part, const std::string& frame) -> void override { counts[part] = Reader(frame).get<uint64_t>(); }
  std::array<uint64_t, kParts> counts{};
  std::vector<Applied> applied;
};

struct CoreSim::Host {
  Slot slot = 0;
  Incarnation incarnation = 0;
  uint64_t life = 0;
  bool isUp = false;
  int64_t frozenUntilMs = 0, stalledUntilMs = 0, fullUntilMs = 0;
  std::unique_ptr<TestMachine> machine;
  std::unique_ptr<Node> node;
  std::string frame;                // synced
  std::vector<std::string> writes;  // synced
  std::map<Id, int> waiting;        // own submissions → tries left
  int64_t helloMs = 0;
  int64_t syncedMs = 0;  // when the last started sync ends
};

// Compares what ran with the one true history.
auto CoreSim::compare(Slot slot, const std::vector<Applied>& list) -> void {
  auto name = [](const Id& id) { return std::to_string(id.origin) + "." + std::to_string(id.number); };
  for (const auto& one : list) {
    auto [it, isNew] = stamps_.try_emplace(one.id, one.stamp);
    if (!isNew && it->second != one.stamp) fault("two stamps for one command");
    for (auto [part, index] : one.places) {
      auto& canon = canon_[part];
      if (index < canon.size()) {
        if (canon[index] != one.id)
          fault("replicas execute in different orders: partition " + std::to_string(part) + " place " +
                std::to_string(index) + " holds " + name(canon[index]) + " at " +
                std::to_string(stamps_[canon[index]]) + ", node " + std::to_string(slot) + " ran " + name(one.id) +
                " at " + std::to_string(one.stamp));
        continue;
      }
      if (index > canon.size()) fault("a gap in the history");
      if (std::find(canon.begin(), canon.end(), one.id) != canon.end()) fault("a command ran twice");
      canon.push_back(one.id);
    }
  }
}

auto coreMixes() -> const std::map<std::string, Faults>& {
  static const std::map<std::string, Faults> all = {
      {"none", {}},
      {"loss and repetition", {.lossPercent = 5, .repeatPercent = 5}},
      {"splits and one-way cuts", {.splits = true, .oneWayCuts = true}},
      {"crashes", {.crashes = true}},
      {"wiped disks", {.wipes = true}},
      {"stalls and freezes", {.stalls = true, .freezes = true}},
      {"full disks", {.fullDisks = true}},
      {"blackouts", {.crashes = true, .blackouts = true}},
      {"all without wipes", {5, 5, true, true, true, false, true, true, true}},
      {"all", {5, 5, true, true, true, true, true, true, true, true}},
  };
  return all;
}

CoreSim::CoreSim(Props props) : Timeline(props.seed), props_(props) {}
CoreSim::~CoreSim() = default;

auto CoreSim::fault(const std::string& what) -> void {
  verdict_.faults.push_back(std::to_string(nowMs_) + " ms: " + what);
  say("FAULT " + what);
}
auto CoreSim::say(const std::string& what) -> void {
  if (props_.keepHistory) verdict_.history.push_back(std::to_string(nowMs_) + " ms " + what);
}

auto CoreSim::start(Slot slot) -> void {
  auto& h = *hosts_.at(slot);
  if (h.isUp) return;
  h.isUp = true;
  ++h.life;
  h.frozenUntilMs = h.stalledUntilMs = 0;
  h.syncedMs = nowMs_;
  h.machine = std::make_unique<TestMachine>();
  h.node = std::make_unique<Node>(props_.core, slot, h.incarnation, *h.machine);
  if (!h.frame.empty() && !h.node->load(h.frame)) fault("a synced frame was refused");
  for (const auto& w : h.writes)
    if (!h.node->replay(w)) fault("a synced write was refused");
  h.node->replayed();
  say("start " + std::to_string(slot) + " life " + std::to_string(h.incarnation));
  beat(slot, h.life);
}

auto CoreSim::crash(Slot slot) -> void {
  auto& h = *hosts_.at(slot);
  if (!h.isUp) return;
  say("crash " + std::to_string(slot));
  h.isUp = false;
  ++h.life;
  outstanding_ -= static_cast<int>(h.waiting.size());  // their outcome stays unknown
  h.waiting.clear();
  const auto f = h.node->figures();
  verdict_.fast += f.fast, verdict_.slow += f.slow, verdict_.recovered += f.recovered, verdict_.frames += f.frames;
  h.node.reset();
}

auto CoreSim::wipe(Slot slot) -> void {
  crash(slot);
  auto& h = *hosts_.at(slot);
  h.frame.clear();
  h.writes.clear();
  h.incarnation = nextIncarnation_++;
  say("wipe " + std::to_string(slot));
}

auto CoreSim::flush(Host& h) -> void {
  auto out = std::make_shared<Output>(h.node->take());
  if (out->writes.empty() && out->sends.empty() && out->answers.empty() && !out->frameTaken &&
      h.machine->applied.empty())
    return;
  // On a full disk a registry stops at its next write, with nothing of that step told to anybody.
  if (h.fullUntilMs > nowMs_ && (!out->writes.empty() || out->frameTaken)) {
    auto slot = h.slot;
    auto untilMs = h.fullUntilMs;
    at(nowMs_, [this, slot, untilMs] {
      crash(slot);
      at(untilMs, [this, slot] { start(slot); });
    });
    return;
  }
  auto life = h.life;
  auto applied = std::make_shared<std::vector<Applied>>(std::exchange(h.machine->applied, {}));
  auto frame = std::make_shared<std::string>(out->frameTaken ? h.node->save() : std::string());
  // Steps sync in order; sends and answers leave when their step, and all before it, are synced.
  auto isQuiet = out->writes.empty() && frame->empty();
  auto doneMs = std::max({h.syncedMs, h.stalledUntilMs, isQuiet ? nowMs_ : nowMs_ + pick(1, 3)});
  h.syncedMs = doneMs;
  auto slot = h.slot;
  auto release = [this, out, slot, life] {
    auto& h = *hosts_.at(slot);
    if (h.life != life) return;
    for (auto& s : out->sends)
      deliver(slot, s.to, s.message);
    for (auto& a : out->answers) {
      auto it = h.waiting.find(a.id);
      if (it == h.waiting.end()) continue;
      auto tries = it->second;
      h.waiting.erase(it);
      auto& sub = submitted_[a.id];
      if (a.isVoid) {
        ++verdict_.voided;
        --outstanding_;
        if (stamps_.count(a.id)) fault("a voided command ran");
        submit(slot, sub.parts, tries - 1);
      } else {
        sub.answeredMs = nowMs_;
        --outstanding_;
        ++verdict_.answered;
        verdict_.latenciesMs.push_back(nowMs_ - sub.fromMs);
      }
    }
  };
  auto sync = [this, out, frame, applied, slot, life] {
    auto& h = *hosts_.at(slot);
    if (h.life != life) return;
    if (!frame->empty()) {
      h.frame = *frame;
      h.writes.clear();
    } else {
      for (auto& w : out->writes)
        h.writes.push_back(w);
    }
    compare(slot, *applied);
  };
  if (props_.faults.dropSync) release();
  at(doneMs, [this, sync, release] {
    sync();
    if (!props_.faults.dropSync) release();
  });
}

auto CoreSim::deliver(Slot from, Slot to, const Message& message) -> void {
  auto copies = 1 + (chance(props_.faults.repeatPercent) && !isHealed_ ? 1 : 0);
  for (auto i = 0; i < copies; ++i) {
    if (!isHealed_ && chance(props_.faults.lossPercent)) continue;
    auto bytes = Writer().put(message).take();
    at(nowMs_ + pick(1, isHealed_ ? 2 : 12), [this, from, to, bytes] {
      if (cuts_.count({from, to})) return;
      auto& h = *hosts_.at(to);
      if (!h.isUp) return;
      if (h.frozenUntilMs > nowMs_) {
        at(h.frozenUntilMs, [this, from, to, bytes] {
          auto& h = *hosts_.at(to);
          if (!h.isUp) return;
          h.node->receive(from, Reader(bytes).get<Message>(), nowMs_);
          flush(h);
        });
        return;
      }
      Reader r(bytes);
      auto m = r.get<Message>();
      if (!r.done()) fault("a message did not read back");
      h.node->receive(from, m, nowMs_);
      flush(h);
    });
  }
}

auto CoreSim::beat(Slot slot, uint64_t life) -> void {
  auto& h = *hosts_.at(slot);
  if (h.life != life || !h.isUp) return;
  if (isBefore(h.frozenUntilMs, [this, slot, life] { beat(slot, life); })) return;
  if (!h.node->isMember() && nowMs_ - h.helloMs >= 100) {
    h.helloMs = nowMs_;
    // A blank life says hello; a member that hears it seats it, and sends a frame once it is seated.
    for (auto& [s, other] : hosts_) {
      if (s == slot || !other->isUp || !other->node->isMember() || cuts_.count({slot, s}) || cuts_.count({s, slot}))
        continue;
      auto seat = other->node->members().find(slot);
      if (seat->second == h.incarnation) {
        Message ask;
        ask.kind = Kind::kFrameAsk;
        ask.from = h.incarnation;
        deliver(slot, s, ask);
      } else if (h.incarnation > seat->second) {
        ++verdict_.changes;
        other->node->replace({slot, seat->second, h.incarnation, ""}, nowMs_);
        flush(*other);
      }
      break;
    }
  }
  h.node->tick(nowMs_);
  flush(h);
  // Frames of one's own now and then, so that the log is cut behind them.
  if (chance(1) && h.node->isMember() && h.syncedMs <= nowMs_ && h.fullUntilMs <= nowMs_) {
    h.frame = h.node->save();
    h.writes.clear();
  }
  at(nowMs_ + 5, [this, slot, life] { beat(slot, life); });
}

auto CoreSim::submit(Slot slot, uint8_t parts, int tries) -> void {
  auto& h = *hosts_.at(slot);
  if (!h.isUp || !h.node->isMember() || h.frozenUntilMs > nowMs_ || tries <= 0) {
    ++verdict_.unanswered;
    return;
  }
  auto id = h.node->submit(parts, "payload", nowMs_);
  submitted_[id] = {nowMs_, -1, parts};
  h.waiting[id] = tries;
  ++outstanding_;
  flush(h);
}

auto CoreSim::plan() -> void {
  const auto& f = props_.faults;
  auto r = static_cast<int>(props_.core.replicas);
  for (auto i = 0; i < props_.commands; ++i) {
    auto parts = static_cast<uint8_t>(chance(30) ? pick(1, kAllParts) : 1 << pick(0, kParts - 1));
    at(pick(50, static_cast<int>(props_.faultsMs + 500)),
       [this, parts, r] { submit(static_cast<Slot>(pick(1, r)), parts, 5); });
  }
  // At most f replicas are down, wiped or frozen at a time; splits and cuts come on top of that.
  auto down = [this] {
    uint32_t count = 0;
    for (auto& [s, h] : hosts_)
      if (!h->isUp || h->frozenUntilMs > nowMs_ || !h->node->isMember()) ++count;
    return count;
  };
  for (int64_t t = 200; t < props_.faultsMs; t += 200) {
    at(t + pick(0, 150), [this, f, r, down] {
      std::vector<int> kinds;
      if (f.splits) kinds.push_back(0);
      if (f.oneWayCuts) kinds.push_back(1);
      if (f.crashes) kinds.push_back(2);
      if (f.wipes) kinds.push_back(3);
      if (f.stalls) kinds.push_back(4);
      if (f.freezes) kinds.push_back(5);
      if (f.blackouts) kinds.push_back(6);
      if (f.fullDisks) kinds.push_back(7);
      if (kinds.empty()) return;
      auto slot = static_cast<Slot>(pick(1, r));
      auto mayFall = down() < props_.core.faults && hosts_.at(slot)->isUp;
      switch (kinds[static_cast<size_t>(pick(0, static_cast<int>(kinds.size()) - 1))]) {
        case 0: {
          auto side = pick(1, (1 << r) - 2);
          for (auto a = 1; a <= r; ++a)
            for (auto b = 1; b <= r; ++b)
              if (((side >> (a - 1)) & 1) != ((side >> (b - 1)) & 1)) cuts_.insert({a, b});
          say("split " + std::to_string(side));
          at(nowMs_ + pick(100, 600), [this] { cuts_.clear(); });
          break;
        }
        case 1: {
          auto to = static_cast<Slot>(pick(1, r));
          if (to == slot) break;
          cuts_.insert({slot, to});
          say("cut " + std::to_string(slot) + " to " + std::to_string(to));
          at(nowMs_ + pick(100, 600), [this, slot, to] { cuts_.erase({slot, to}); });
          break;
        }
        case 2:
          if (!mayFall) break;
          crash(slot);
          at(nowMs_ + pick(20, 500), [this, slot] { start(slot); });
          break;
        case 3:
          // One wiped disk at a time: a replica change has to end before the next disk is lost.
          if (down() != 0) break;
          wipe(slot);
          at(nowMs_ + pick(20, 200), [this, slot] { start(slot); });
          break;
        case 4:
          hosts_.at(slot)->stalledUntilMs = nowMs_ + pick(50, 800);
          say("stall " + std::to_string(slot));
          break;
        case 5:
          if (!mayFall) break;
          hosts_.at(slot)->frozenUntilMs = nowMs_ + pick(50, 800);
          say("freeze " + std::to_string(slot));
          break;
        case 7:
          if (!mayFall) break;
          hosts_.at(slot)->fullUntilMs = nowMs_ + pick(50, 800);
          say("full " + std::to_string(slot));
          break;
        case 6:  // all lose power at once; what was not synced is lost everywhere
          say("blackout");
          for (Slot each = 1; each <= static_cast<Slot>(r); ++each) {
            crash(each);
            at(nowMs_ + pick(20, 400), [this, each] { start(each); });
          }
          break;
      }
    });
  }
  at(props_.faultsMs + 700, [this] {
    say("heal");
    isHealed_ = true;
    cuts_.clear();
    for (auto& [slot, h] : hosts_) {
      h->frozenUntilMs = h->stalledUntilMs = h->fullUntilMs = 0;
      start(slot);
    }
  });
}

auto CoreSim::check() -> void {
  for (auto& [slot, h] : hosts_) {
    if (h->isUp) say("node " + std::to_string(slot) + " " + h->node->explain());
    if (!h->isUp || !h->node->isMember()) {
      fault("node " + std::to_string(slot) + " is not back after the heal");
      continue;
    }
    for (uint8_t part = 0; part < kParts; ++part)
      if (h->machine->counts[part] != canon_[part].size())
        fault("node " + std::to_string(slot) + " lags after the heal at partition " + std::to_string(part));
    const auto f = h->node->figures();
    verdict_.fast += f.fast, verdict_.slow += f.slow, verdict_.recovered += f.recovered, verdict_.frames += f.frames;
  }
  if (outstanding_ != 0) fault(std::to_string(outstanding_) + " submissions are unanswered after the heal");
  std::array<std::map<Id, size_t>, kParts> index;
  for (uint8_t part = 0; part < kParts; ++part)
    for (size_t i = 0; i < canon_[part].size(); ++i)
      index[part][canon_[part][i]] = i;
  for (uint8_t part = 0; part < kParts; ++part) {
    // Real-time order: whoever was submitted after an answer stands behind it.
    std::vector<std::pair<int64_t, size_t>> ended;
    for (auto& [id, s] : submitted_) {
      if (!(s.parts & (1u << part)) || s.answeredMs < 0) continue;
      if (!index[part].count(id)) {
        fault("an acknowledged command is lost");
        continue;
      }
      ended.push_back({s.answeredMs, index[part][id]});
    }
    std::sort(ended.begin(), ended.end());
    for (auto& [id, s] : submitted_) {
      if (!(s.parts & (1u << part)) || !index[part].count(id)) continue;
      for (auto& [endMs, i] : ended) {
        if (endMs >= s.fromMs) break;
        if (i > index[part][id]) fault("real-time order is broken");
      }
    }
    verdict_.executed += canon_[part].size();
  }
}

auto CoreSim::run() -> Verdict {
  std::map<Slot, Incarnation> members;
  for (Slot slot = 1; slot <= props_.core.replicas; ++slot)
    members[slot] = slot;
  for (auto& [slot, incarnation] : members) {
    auto h = std::make_unique<Host>();
    h->slot = slot;
    h->incarnation = incarnation;
    hosts_[slot] = std::move(h);
  }
  for (auto& [slot, h] : hosts_) {
    // The first formation is synced before anything is said.
    TestMachine blank;
    Node first(props_.core, slot, h->incarnation, blank);
    first.form(members);
    h->frame = first.save();
    at(0, [this, s = slot] { start(s); });
  }
  plan();
  pass(props_.faultsMs + props_.healMs, [this] { return verdict_.faults.size() < 20; });
  check();
  return std::move(verdict_);
}

}  // namespace dykestage::sim
