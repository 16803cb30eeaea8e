#include "sim/soak.hpp"

#include <sys/sysinfo.h>

#include <algorithm>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sstream>

#include "neighbour/post.hpp"
#include "operator/program.hpp"
#include "sim/load.hpp"
#include "sim/standin.hpp"

namespace dykestage::sim {

namespace {
// As the users' pages have them.
constexpr int64_t kInTouchMs = 3000;
constexpr int64_t kLostSlackMs = 200;
constexpr int64_t kGiveUpMs = 1000;     // of the soak's routes
constexpr int64_t kLateMs = 500;        // past it
constexpr uint64_t kFewLate = 8;        // so many and a quarter may not be later
constexpr int64_t kRecoveryMs = 15000;  // then a quarter at least is served
constexpr int kSpoiltPercent = 4;
constexpr int kMostProcesses = 200;
constexpr int kProcessesPerCore = 12;
constexpr uint64_t kProcessBytes = 32u << 20;
constexpr size_t kMostFaultsTold = 12;
constexpr int64_t kReadyMs = 60000;
constexpr int64_t kSettledMs = 1000;
constexpr int64_t kAcknowledgedMs = 4000;  // for which a change is waited for

struct Shape {
  int registries = 3, shields = 2, edges = 3, stores = 2, applications = 3;
};

auto smallShape(std::mt19937_64& random, bool fetchesItself) -> Shape {
  Shape shape;
  shape.registries = random() % 2 == 0 ? 3 : 5;
  shape.shields = fetchesItself ? 0 : 2 + static_cast<int>(random() % 2);
  shape.edges = 3 + static_cast<int>(random() % 3);
  return shape;
}

// Each edge and shield has an agent beside it.
auto fullShape(int processes, bool fetchesItself) -> Shape {
  Shape shape;
  shape.registries = 5;
  shape.stores = 4;
  shape.applications = 6;
  auto machines = std::max(4, (processes - shape.registries - shape.stores - shape.applications) / 2);
  shape.shields = fetchesItself ? 0 : std::max(2, machines / 5);
  shape.edges = machines - shape.shields;
  return shape;
}

auto fleetOf(const Shape& shape, const Soak::Props& props, bool fetchesItself) -> Fleet::Props {
  Fleet::Props fleet;
  fleet.programs = props.programs;
  fleet.folder = props.folder;
  fleet.sites = {"north", "east", "south"};
  fleet.linkUs = 500;
  fleet.registries = shape.registries;
  fleet.shields = shape.shields;
  fleet.edges = shape.edges;
  if (fetchesItself) fleet.edgeExtra = R"(,"fetches":true)";
  if (props.hasCrowds) fleet.edgeExtra += SoakCrowds::edgeExtra({});
  if (props.spoilsAnswers) fleet.originExtra = R"(,"spoilt":)" + std::to_string(kSpoiltPercent);
  fleet.upstreams = {{"shop", "store", shape.stores, 8, 3, 800},
                     {"till", "application", shape.applications, 8, 60, 200}};
  return fleet;
}
}  // namespace

auto Soak::mostProcesses() -> int {
  struct sysinfo machine {};
  ::sysinfo(&machine);
  auto half = static_cast<uint64_t>(machine.totalram) * machine.mem_unit / 2;
  auto cores = static_cast<uint64_t>(std::max(1, ::get_nprocs()));
  return static_cast<int>(std::min<uint64_t>({kMostProcesses, half / kProcessBytes, cores * kProcessesPerCore}));
}

auto Soak::run(const Props& props) -> Verdict {
  Soak soak(props);
  soak.play();
  return soak.verdict_;
}

Soak::Soak(const Props& props) : props_(props) {
  verdict_.seed = props.seed;
  std::filesystem::remove_all(props.folder);
  std::mt19937_64 random(props.seed);
  fetchesItself_ = random() % 2 == 0;
  auto shape = props.processes > 0 ? fullShape(props.processes, fetchesItself_) : smallShape(random, fetchesItself_);
  auto upstreams = shape.stores + shape.applications;
  verdict_.processes = shape.registries + 2 * (shape.shields + shape.edges) + upstreams;
  verdict_.shape = std::to_string(shape.registries) + "+" + std::to_string(shape.shields) + "+" +
                   std::to_string(shape.edges) + (fetchesItself_ ? "p" : "");
  fleet_ = std::make_unique<Fleet>(fleetOf(shape, props, fetchesItself_));
  KeptClients::Props clients;
  for (const auto& name : fleet_->names("edge"))
    clients.edges.push_back({name, fleet_->http(name)});
  clients.seed = props.seed;
  clients.perEdge = props.processes > 0 ? 2 : 4;
  clients.gapMs = props.processes > 0 ? 200 : 60;
  clients_ = std::make_unique<KeptClients>(clients);
  SoakOperators::Props operators;
  operators.seed = props.seed;
  operators.store = "shop";
  operators.sendsPurges = props.defect != SoakDefect::kUnsentPurges;
  operators.objects = clients.objects;
  operators_ = std::make_unique<SoakOperators>(*fleet_, operators);
}

auto Soak::fault(const std::string& what) -> void {
  verdict_.faults.push_back(what);
}

auto Soak::play() -> void {
  fleet_->startAll();
  if (!fleet_->awaitReady(kReadyMs)) return fault("the fleet did not become ready");
  if (!operators_->configure(kReadyMs)) return fault("the first routing was not acknowledged");
  auto startMs = neighbour::steadyMs();
  SoakTroubles::Props troubles;
  troubles.seed = props_.seed;
  troubles.startMs = startMs + kSettledMs;
  troubles.spanMs = props_.spanMs;
  troubles.series = props_.processes > 0 ? 12 : 6;
  troubles.spared = "shop";
  troubles.hidesKills = props_.defect == SoakDefect::kHiddenKills;
  if (props_.defect == SoakDefect::kLostMajority) troubles.disksLost = fleet_->names("registry").size() / 2 + 1;
  troubles_ = std::make_unique<SoakTroubles>(*fleet_, troubles);
  if (props_.hasCrowds) {
    SoakCrowds::Props crowds;
    crowds.seed = props_.seed;
    crowds_ = std::make_unique<SoakCrowds>(*fleet_, crowds);
  }
  if (props_.losesAll) {
    playTroubles(startMs + kSettledMs + props_.spanMs / 2);
    troubles_->loseAll(neighbour::steadyMs());
  }
  playTroubles(startMs + kSettledMs + props_.spanMs);
  if (props_.losesAll) loseAllAtAcknowledgement();
  awaitService();
  operators_->finish();
  clients_->finish();
  auto untilMs = neighbour::steadyMs() + 2 * kGiveUpMs + kInTouchMs;
  while ((clients_->openRequests() > 0 || operators_->openOrders() > 0) && neighbour::steadyMs() < untilMs) {
    step();
    troubles_->step(neighbour::steadyMs());
  }
  operators_->readBack();
  judgeCuts();
  judgeLate();
  judgeRuns();
  for (const auto& list : {operators_->faults(), troubles_->faults()})
    verdict_.faults.insert(verdict_.faults.end(), list.begin(), list.end());
  verdict_.troubles = troubles_->counts();
  if (crowds_) {
    verdict_.faults.insert(verdict_.faults.end(), crowds_->faults().begin(), crowds_->faults().end());
    for (const auto& [kind, count] : crowds_->counts())
      verdict_.troubles["crowd of " + kind] = count;
  }
  verdict_.changes = operators_->changes();
  verdict_.purges = operators_->purges();
  verdict_.reads = operators_->reads();
}

auto Soak::playTroubles(int64_t untilMs) -> void {
  while (neighbour::steadyMs() < untilMs) {
    step();
    troubles_->step(neighbour::steadyMs());
    if (crowds_) crowds_->step(neighbour::steadyMs());
  }
}

// Strikes as soon as one more change is acknowledged, and waits until everything has been started again.
auto Soak::loseAllAtAcknowledgement() -> void {
  auto changes = operators_->changes();
  auto untilMs = neighbour::steadyMs() + kAcknowledgedMs;
  while (operators_->changes() == changes && neighbour::steadyMs() < untilMs) {
    step();
    troubles_->step(neighbour::steadyMs());
  }
  troubles_->loseAll(neighbour::steadyMs());
  while (troubles_->hasDown()) {
    step();
    troubles_->step(neighbour::steadyMs());
  }
}

// All is well again once every request of a second was served; at the latest when the time for it is over a quarter is.
auto Soak::awaitService() -> void {
  if (crowds_) crowds_->finish();
  auto healedMs = neighbour::steadyMs();
  for (;;) {
    troubles_->heal(neighbour::steadyMs());
    step();
    auto nowMs = neighbour::steadyMs();
    std::erase_if(recent_, [&](const auto& one) { return one.first < nowMs - kSettledMs; });
    auto well = std::count_if(recent_.begin(), recent_.end(), [](const auto& one) { return one.second; });
    auto all = static_cast<std::ptrdiff_t>(recent_.size());
    if (nowMs - healedMs >= kSettledMs && all > 0 && well == all) {
      verdict_.backMs = nowMs - kSettledMs - healedMs;
      return;
    }
    if (nowMs - healedMs < kRecoveryMs + kSettledMs) continue;
    if (well * 4 < all || all == 0)
      fault("less than a quarter is served " + std::to_string(kRecoveryMs / 1000) + " s after all troubles");
    return;
  }
}

auto Soak::step() -> void {
  constexpr int64_t kStepMs = 3;
  auto fds = clients_->polled();
  operators_->run(fds, kStepMs, neighbour::steadyMs());
  for (const auto& ended : clients_->step(neighbour::steadyMs()))
    judge(ended);
}

auto Soak::judge(const EndedAsk& ask) -> void {
  ++verdict_.requests;
  auto isServed = ask.end == AskEnd::kAnswered && ask.status == 200 && ask.code.empty();
  recent_.emplace_back(ask.endedMs, isServed);
  auto isTroubled = troubles_ && troubles_->wasTroubled(ask.edge, ask.sentMs - kInTouchMs, ask.endedMs);
  auto tookMs = ask.endedMs - ask.sentMs;
  if (!isTroubled && ask.end != AskEnd::kUnsent && tookMs > kGiveUpMs) {
    ++unansweredInTime_;
    if (tookMs > kGiveUpMs + kLateMs) ++late_;
  }
  switch (ask.end) {
    case AskEnd::kUnsent:
      ++verdict_.unsent;
      return;
    case AskEnd::kSilent:
      ++verdict_.silent;
      return;
    case AskEnd::kCut:
      ++verdict_.cut;
      if (!isTroubled) cuts_.push_back(ask);
      return;
    case AskEnd::kAnswered:
      judgeAnswer(ask);
      return;
  }
}

auto Soak::judgeAnswer(const EndedAsk& ask) -> void {
  auto isWrite = ask.kind == AskKind::kWrite;
  if (isWrite && ask.isPromise()) promised_[ask.id] = ask.status;
  if (ask.isPromise()) {
    ++verdict_.refused;
    if (!ask.hasRetryAfter && (ask.status == 429 || ask.status == 503))
      fault(ask.edge + " refused without Retry-After, code " + ask.code);
  }
  if (!ask.code.empty() && (ask.status == 404 || ask.status == 400))
    fault(ask.edge + " denied a proper request, code " + ask.code);
  if (ask.status != 200 || !ask.code.empty()) return;
  auto service = ask.kind == AskKind::kObject ? "shop" : "till";
  if (!isProven(ask.body, service, ask.target, ask.id))
    return fault(ask.edge + " answered " + ask.target + " " + ask.id + " with what is not its whole answer");
  ++verdict_.well;
  if (isWrite) answered_[ask.id] = ask.status;
  if (ask.kind == AskKind::kObject) judgeObject(ask);
}

auto Soak::judgeObject(const EndedAsk& ask) -> void {
  auto owed = operators_->owed(ask.target, ask.sentMs);
  if (owed == 0) return;
  ++verdict_.judgedReads;
  auto mark = ask.body.find("|e");
  auto edition = mark == std::string::npos ? 0 : std::strtoll(ask.body.c_str() + mark + 2, nullptr, 10);
  if (edition < owed)
    fault(ask.edge + " served edition " + std::to_string(edition) + " of " + ask.target + ", purged before edition " +
          std::to_string(owed));
}

// A process that nothing has happened to but signals answers whatever it has read: what was sent well before its end,
// and whatever an upstream ran.
auto Soak::judgeCuts() -> void {
  std::map<std::string, int> ran;
  for (const auto& name : fleet_->names("origin"))
    for (const auto& [id, count] : runsOf(op::readFile(fleet_->account(name)).value_or("")))
      ran[id] += count;
  for (const auto& ask : cuts_) {
    auto hasRun = !ask.id.empty() && ran.count(ask.id) != 0;
    auto tookMs = ask.endedMs - ask.sentMs;
    if (hasRun || tookMs > kLostSlackMs)
      fault(ask.edge + " ended a connection after " + std::to_string(tookMs) + " ms without an answer to " +
            ask.target + " " + ask.id + (hasRun ? ", which ran" : ""));
  }
}

auto Soak::judgeLate() -> void {
  if (late_ >= kFewLate && late_ * 4 > unansweredInTime_)
    fault(std::to_string(late_) + " of " + std::to_string(unansweredInTime_) +
          " requests that had no answer in time had none half a second later");
}

auto Soak::judgeRuns() -> void {
  std::map<std::string, End> writes;
  for (const auto& [id, status] : promised_)
    writes[id] = End::kBusy;
  for (const auto& [id, status] : answered_)
    writes[id] = End::kWell;
  std::vector<std::string> accounts;
  for (const auto& name : fleet_->names("origin"))
    accounts.push_back(op::readFile(fleet_->account(name)).value_or(""));
  Report report;
  judgeAccounts(report, writes, accounts, {});
  for (const auto& what : report.faults)
    fault(what);
}

auto Soak::Verdict::line() const -> std::string {
  std::ostringstream out;
  out << "seed " << seed << ", " << shape << ", " << processes << " processes: " << requests << " requests, " << well
      << " well, " << refused << " refused, " << cut << " cut, " << unsent << " unsent, " << silent << " silent; "
      << judgedReads << " reads after " << purges << " purges, " << changes << " changes, " << reads
      << " reads of the routing; back after " << backMs << " ms;";
  for (const auto& [what, count] : troubles)
    out << " " << what << " " << count << ",";
  out << " " << faults.size() << " faults";
  for (size_t i = 0; i < std::min(faults.size(), kMostFaultsTold); ++i)
    out << "\n    FAULT " << faults[i];
  return out.str();
}

}  // namespace dykestage::sim
