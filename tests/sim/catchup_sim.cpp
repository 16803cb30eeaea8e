#include "sim/catchup_sim.hpp"

#include <algorithm>
#include <cmath>

#include "neighbour/messages.hpp"
#include "neighbour/post.hpp"

namespace dykestage::sim {

namespace {
constexpr int kCalmChanges = 20;  // before the absence
constexpr int64_t kLongestRunMs = 600000;
constexpr int64_t kRetryMs = 200;  // between tries of an order that was turned away
constexpr int64_t kTickEveryMs = 5;
}  // namespace

struct CatchUpSim::Host {
  tempo::Slot slot = 0;
  uint64_t life = 0;  // of the process
  bool isUp = false;
  int64_t frozenUntilMs = 0;
  double busyUntilMs = 0;
  bool isWorking = false;
  std::deque<core::Registry::Output::Sent> letters;  // `to` holds the sender; they wait for the processor
  std::map<tempo::Slot, int64_t> lastArrivalMs;
  int64_t syncedMs = 0;
  std::string frame;
  std::vector<std::string> writes;
  uint64_t writeBytes = 0;
  std::unique_ptr<core::Registry> registry;
};

CatchUpSim::CatchUpSim(Props props) : Timeline(props.seed), props_(props) {}
CatchUpSim::~CatchUpSim() = default;

auto CatchUpSim::addressOf(tempo::Slot slot) const -> std::string {
  return "10.0.0." + std::to_string(slot) + ":9000";
}

auto CatchUpSim::propsOf(tempo::Slot slot) const -> core::Registry::Props {
  core::Registry::Props props;
  props.slot = slot;
  for (tempo::Slot other = 1; other <= props_.replicas; ++other)
    props.addresses[other] = addressOf(other);
  props.core.replicas = props_.replicas;
  props.core.faults = (props_.replicas - 1) / 2;
  props.servesStale = true;
  return props;
}

// ---- machines -----------------------------------------------------------------------------------------

auto CatchUpSim::start(Host& host) -> void {
  host.isUp = true;
  host.life = nextLife_++;
  host.syncedMs = nowMs_;
  host.busyUntilMs = static_cast<double>(nowMs_);
  host.isWorking = false;
  host.letters.clear();
  host.registry = std::make_unique<core::Registry>(propsOf(host.slot), host.frame, host.writes, nextLife_++);
  host.registry->synced(0, static_cast<double>(host.writeBytes) / static_cast<double>(props_.ringBytes), 0, nowMs_);
  flush(host);
  tick(host.slot, host.life);
}

auto CatchUpSim::stop(Host& host) -> void {
  host.isUp = false;
  host.life = nextLife_++;
  host.registry.reset();
}

auto CatchUpSim::tick(tempo::Slot slot, uint64_t life) -> void {
  auto& host = *hosts_.at(slot);
  if (host.life != life) return;
  auto again = [this, slot, life] { tick(slot, life); };
  if (isBefore(host.frozenUntilMs, again)) return;
  if (isBefore(static_cast<int64_t>(std::ceil(host.busyUntilMs)), again)) return;
  host.registry->tick(nowMs_);
  flush(host);
  at(nowMs_ + kTickEveryMs, again);
}

auto CatchUpSim::costMs(const std::string& body, uint8_t kind) const -> double {
  double messages = 1;
  if (kind == neighbour::kTempo) {
    Reader reader(body);
    reader.get<uint32_t>();  // the slot
    messages = reader.get<uint32_t>();
  }
  return static_cast<double>(body.size()) / static_cast<double>(props_.bytesPerMs) +
         messages / static_cast<double>(props_.messagesPerMs);
}

auto CatchUpSim::flush(Host& host) -> void {
  auto out = host.registry->output();
  for (auto& job : out.jobs)
    flushDisk(host, std::move(job));
  for (const auto& letter : out.letters)
    deliver(host, letter);
  for (auto& answered : out.answers) {
    auto found = pages_.extract(answered.stream.get());
    if (found) found.mapped()(answered.answer);
  }
}

auto CatchUpSim::flushDisk(Host& host, core::DiskJob job) -> void {
  host.syncedMs = std::max(host.syncedMs, nowMs_) + (host.syncedMs > nowMs_ ? 0 : props_.syncMs);
  at(host.syncedMs, [this, slot = host.slot, life = host.life, job = std::move(job)] {
    auto& host = *hosts_.at(slot);
    if (host.life != life) return;
    for (const auto& write : job.writes) {
      host.writes.push_back(write);
      host.writeBytes += write.size();
    }
    if (!job.frame.empty()) {
      host.frame = job.frame;
      host.writes.clear();
      host.writeBytes = 0;
    }
    result_.largestRingBytes = std::max(result_.largestRingBytes, host.writeBytes);
    auto fill = static_cast<double>(host.writeBytes) / static_cast<double>(props_.ringBytes);
    host.registry->synced(job.number, fill, props_.syncMs * 1000, nowMs_);
    flush(host);
  });
}

auto CatchUpSim::deliver(Host& from, const core::Registry::Output::Sent& letter) -> void {
  from.busyUntilMs =
      std::max(from.busyUntilMs, static_cast<double>(nowMs_)) + costMs(letter.body, letter.kind);  // to write it
  if (letter.body.size() > neighbour::Post::Props{}.maxBytes) {
    ++result_.droppedLetters;
    return;
  }
  auto to = slots_.find(letter.to);
  if (to == slots_.end()) return;
  auto& target = *hosts_.at(to->second);
  if (!target.isUp) return;
  auto isDeaf = to->second == 1 && backMs_ >= 0 && nowMs_ < backMs_ + props_.deafForMs;
  if (isDeaf) return;
  if (to->second == 1 && backMs_ >= 0 && result_.catchUpMs < 0) result_.catchUpBytes += letter.body.size();
  auto& lastMs = target.lastArrivalMs[from.slot];
  lastMs = std::max(lastMs, static_cast<int64_t>(std::ceil(from.busyUntilMs)) + pick(1, props_.wayMs));
  at(lastMs, [this, slot = target.slot, life = target.life, letter, sender = addressOf(from.slot)] {
    auto& host = *hosts_.at(slot);
    if (host.life != life) return;
    host.letters.push_back({sender, letter.kind, letter.body});
    if (!std::exchange(host.isWorking, true)) work(slot, life);
  });
}

// A processor takes one letter after the other.
auto CatchUpSim::work(tempo::Slot slot, uint64_t life) -> void {
  auto& host = *hosts_.at(slot);
  if (host.life != life) return;
  auto again = [this, slot, life] { work(slot, life); };
  if (isBefore(host.frozenUntilMs, again)) return;
  if (isBefore(static_cast<int64_t>(std::ceil(host.busyUntilMs)), again)) return;
  while (!host.letters.empty() && host.busyUntilMs <= static_cast<double>(nowMs_)) {
    auto letter = std::move(host.letters.front());
    host.letters.pop_front();
    host.busyUntilMs = std::max(host.busyUntilMs, static_cast<double>(nowMs_) - 1) + costMs(letter.body, letter.kind);
    host.registry->take(letter.to, letter.kind, letter.body, nowMs_);
    flush(host);
  }
  host.isWorking = !host.letters.empty();
  if (host.isWorking) at(static_cast<int64_t>(std::ceil(host.busyUntilMs)), again);
}

// ---- the operator -------------------------------------------------------------------------------------

auto CatchUpSim::post(tempo::Slot slot, const std::string& target, const std::string& body,
                      std::function<void(const caller::Answer&)> then) -> void {
  auto& host = *hosts_.at(slot);
  if (!host.isUp || host.frozenUntilMs > nowMs_) return;
  caller::Request request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  request.stream = std::make_shared<caller::Stream>(-1);
  pages_[request.stream.get()] = std::move(then);
  host.registry->take(request, nowMs_);
  flush(host);
}

auto CatchUpSim::changeBody(uint64_t version) const -> std::string {
  return R"({"version":)" + std::to_string(version) + R"(,"base":)" + std::to_string(version - 1) +
         R"(,"whole":true,"routes":{},"pools":{},"limits":{"headerBytes":8192,"bodyBytes":65536,"headerMs":)" +
         std::to_string(1000 + version) + R"(,"idleMs":5000,"source":")" + std::string(props_.changeBytes, 'x') +
         "\"}}";
}

auto CatchUpSim::sendChange() -> void {
  // Orders go to the registries that stay.
  auto slot = static_cast<tempo::Slot>(2 + turn_++ % (props_.replicas - 1));
  tryChange(slot, nowMs_);
}

auto CatchUpSim::tryChange(tempo::Slot slot, int64_t sinceMs) -> void {
  auto version = version_;
  post(slot, "/routing", changeBody(version), [this, version, slot, sinceMs](const caller::Answer& answer) {
    if (version != version_) return;
    if (answer.status != 200) {
      at(nowMs_ + kRetryMs, [this, slot, sinceMs] { tryChange(slot, sinceMs); });
      return;
    }
    auto tookMs = nowMs_ - sinceMs;
    auto& longest = lostMs_ < 0    ? result_.longestCalmAckMs
                    : backMs_ >= 0 ? result_.longestCatchUpAckMs
                                   : result_.longestAwayAckMs;
    auto isFirst = lostMs_ >= 0 && sinceMs >= lostMs_ && result_.firstAckAfterLossMs < 0;
    if (isFirst) result_.firstAckAfterLossMs = nowMs_ - lostMs_;
    if (!(lostMs_ >= 0 && backMs_ < 0 && sinceMs < lostMs_ + 1000) && !(backMs_ >= 0 && sinceMs < backMs_))
      longest = std::max(longest, tookMs);
    if (lostMs_ >= 0 && backMs_ < 0) ++result_.changes;
    ++version_;
    if (version == static_cast<uint64_t>(kCalmChanges)) at(nowMs_, [this] { leave(); });
    if (lostMs_ >= 0 && backMs_ < 0 && result_.changes == props_.changes) at(nowMs_, [this] { comeBack(); });
    if (backMs_ >= 0 && nowMs_ > backMs_ + props_.afterMs) return;
    at(nowMs_ + props_.changeEveryMs, [this] { sendChange(); });
  });
}

// ---- the absence --------------------------------------------------------------------------------------

auto CatchUpSim::leave() -> void {
  lostMs_ = nowMs_;
  auto& host = *hosts_.at(1);
  if (props_.absence == Absence::kFreeze)
    host.frozenUntilMs = nowMs_ + kLongestRunMs;
  else
    stop(host);
}

auto CatchUpSim::comeBack() -> void {
  backMs_ = nowMs_;
  endMs_ = nowMs_ + props_.afterMs + 2000;
  auto& host = *hosts_.at(1);
  if (props_.absence == Absence::kFreeze) {
    host.frozenUntilMs = nowMs_;
    tick(host.slot, host.life);
    if (!host.letters.empty()) work(host.slot, host.life);
  } else {
    if (props_.absence == Absence::kWipe) {
      host.frame.clear();
      host.writes.clear();
      host.writeBytes = 0;
    }
    start(host);
  }
  awaitCurrent();
}

auto CatchUpSim::isCurrent(const Host& host) const -> bool {
  return host.isUp && host.registry->isReady(nowMs_);
}

auto CatchUpSim::awaitCurrent() -> void {
  if (isCurrent(*hosts_.at(1))) {
    result_.catchUpMs = nowMs_ - backMs_;
    return;
  }
  at(nowMs_ + kTickEveryMs, [this] { awaitCurrent(); });
}

auto CatchUpSim::run() -> CatchUpResult {
  for (tempo::Slot slot = 1; slot <= props_.replicas; ++slot) {
    hosts_[slot] = std::make_unique<Host>();
    hosts_[slot]->slot = slot;
    slots_[addressOf(slot)] = slot;
  }
  for (auto& [slot, host] : hosts_)
    at(0, [this, at = host.get()] { start(*at); });
  at(3000, [this] { sendChange(); });
  pass(kLongestRunMs, [this] { return endMs_ < 0 || nowMs_ < endMs_; });
  result_.stateBytes = hosts_.at(2)->frame.size();
  return result_;
}

}  // namespace dykestage::sim
