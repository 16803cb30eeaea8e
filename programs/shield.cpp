// shield: the only program that touches upstreams. Shared cache, origin rate, extra tries.
#include <glog/logging.h>
#include <poll.h>

#include <variant>

#include "agent/link.hpp"
#include "caller/pending_answers.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"
#include "operator/program.hpp"
#include "policy/process_limits.hpp"
#include "upstream/desk.hpp"
#include "upstream/shield.hpp"

using namespace dykestage;

namespace {
auto statusPage(const upstream::Shield& shield, const MemoryAccount& memory, bool isReady) -> std::string {
  auto f = shield.figures();
  op::StatusPage page("shield");
  auto number = [&](const char* key, uint64_t value) { page.number(key, static_cast<double>(value)); };
  page.flag("ready", isReady);
  page.revision(shield.revision());
  number("asks", f.asks);
  number("hits", f.hits);
  number("joins", f.joins);
  number("fetches", f.fetches);
  number("extras", f.extras);
  number("turnedAway", f.turnedAway);
  number("rateTurnedAway", f.rateTurnedAway);
  number("unknown", f.unknown);
  number("open", shield.open());
  number("memoryBytes", memory.totalBytes());
  number("memoryUsed", memory.usedBytes());
  return page.take() + "\n";
}

/// What the settings say.
struct Settings {
  upstream::Shield::Props props;
  std::string status;           // addresses: of its status page,
  std::string address, listen;  // towards other processes, as they are told and as it listens,
  std::string agent;            // and of the agent beside it
  policy::MachineLimits machine;
};

auto readSettings(op::Program& program) -> Settings {
  Settings settings;
  auto& props = settings.props;
  auto& fields = program.settings();
  auto size = [&](const char* key, int64_t low, int64_t high, size_t& into) {
    auto value = static_cast<int64_t>(into);
    fields.integer(key, low, high, value);
    into = static_cast<size_t>(value);
  };
  fields.text("name", props.name, true);
  fields.text("site", props.site, true);
  program.address("status", settings.status);
  program.address("address", settings.address);
  program.address("listen", settings.listen, false);
  program.address("agent", settings.agent);
  fields.integer("boundMs", 400, 60000, props.boundMs);
  size("requests", 1, 1000000, props.requests);
  size("cacheBytes", 1 << 20, 1LL << 40, props.cacheBytes);
  size("answerBytes", 1 << 10, 64 << 20, props.answerBytes);
  fields.integer("keyMs", 1000, 86400000, props.keyMs);
  size("keys", 1, 10000000, props.keys);
  size("keyBytes", 1 << 10, 1LL << 40, props.keyBytes);
  size("memoryBytes", 1 << 24, 1LL << 40, settings.machine.memoryBytes);
  size("openFiles", 64, 1 << 24, settings.machine.openFiles);
  program.ready();
  settings.machine.bodyBytes = props.answerBytes;
  props.staleMs = props.boundMs * 3 / 4;
  props.probeMs = props.boundMs / 2;
  props.easeMs = props.boundMs * 5 / 2;
  return settings;
}

/// The program's one thread: messages, frames and ended fetches go into the state machine, what follows goes out.
class ShieldLoop {
 public:
  explicit ShieldLoop(Settings settings)
      : settings_(std::move(settings)),
        limits_(policy::processLimitsOf(settings_.machine)),
        memory_(policy::accountOf(limits_)),
        cache_(std::make_shared<policy::Cache>(settings_.props.cacheBytes)),
        writing_(memory_),
        memoryReturn_(limits_.accountBytes / 4) {}
  /// False, with the reason in the log, when an address can't be had.
  auto open() -> bool;
  /// Returns once the process was told to stop and nothing is left to be done.
  auto run() -> void;

 private:
  using Input = std::variant<caller::Request, neighbour::Letter, caller::HeldFrame>;
  auto onInput(Input& input, int64_t nowMs) -> void;
  auto answerPage(const caller::Request& request, int64_t nowMs) -> void;
  auto mustStop(int64_t nowMs) -> bool;

  Settings settings_;
  policy::ProcessLimits limits_;
  std::shared_ptr<MemoryAccount> memory_;
  std::shared_ptr<policy::Cache> cache_;
  caller::PendingAnswers writing_;
  MemoryReturn memoryReturn_;
  neighbour::Inbox<Input> inbox_{16000};
  upstream::Fetcher fetcher_;
  std::unique_ptr<neighbour::Post> post_;
  std::optional<upstream::Shield> shield_;
  std::unique_ptr<agent::Link> link_;
  std::unique_ptr<caller::Face> pages_;
  std::optional<upstream::Desk> desk_;
  uint64_t refusalsSeen_ = 0;
  int64_t stopAtMs_ = -1;
  int64_t warmedMs_ = 0;
};

auto ShieldLoop::open() -> bool {
  auto& props = settings_.props;
  props.answerBytes = limits_.bodyBytes;
  props.keyBytes = std::min(props.keyBytes, limits_.accountBytes / 4);
  std::string reason;
  neighbour::Post::Props postProps{settings_.listen.empty() ? settings_.address : settings_.listen, settings_.address};
  postProps.maxBytes = props.answerBytes * 2 + (1 << 20);
  post_ = neighbour::Post::open(
      postProps, [this](neighbour::Letter l) { inbox_.push(std::move(l)); }, reason);
  if (!post_) {
    LOG(ERROR) << "shield: " << reason;
    return false;
  }
  props.address = post_->address();
  props.life = agent::freshIncarnation();
  shield_.emplace(props, cache_);
  // A shield has no clients: what these would have of the descriptors goes to upstreams.
  fetcher_.limit(0, limits_.upstreams + limits_.connections);
  fetcher_.limitMemory(memory_, policy::kSocketBufferBytes);
  agent::Link::Props linkProps{
      props.name, {"shield", props.site, post_->address(), "", props.life}, settings_.agent, props.boundMs};
  link_ = std::make_unique<agent::Link>(
      linkProps, [this](caller::HeldFrame f) { inbox_.push(std::move(f)); },
      [this](neighbour::Letter l) { inbox_.push(std::move(l)); });
  auto [ip, port] = op::splitAddress(settings_.status);
  caller::Face::Props pageProps{ip, port, 1, caller::kPageBodyBytes};
  pageProps.connections = caller::kPageConnections;
  pages_ = std::make_unique<caller::Face>(pageProps, [this](caller::Request r) { inbox_.push(std::move(r)); });
  upstream::Desk::Props deskProps;
  deskProps.boundMs = props.boundMs;
  deskProps.memory = memory_;
  desk_.emplace(*shield_, fetcher_, *post_, *link_, deskProps);
  LOG(INFO) << "shield: " << props.name << " at " << post_->address() << ", status at port " << pages_->port() << ".";
  return true;
}

auto ShieldLoop::run() -> void {
  const auto boundMs = settings_.props.boundMs;
  for (;;) {
    std::vector<pollfd> fds = {{inbox_.fd(), POLLIN, 0}};
    writing_.pollFor(fds);
    auto ended = fetcher_.run(fds, 5);
    auto nowMs = neighbour::steadyMs();
    for (auto& fetched : ended)
      shield_->takeFetched(fetched, nowMs);
    for (auto& input : inbox_.take())
      onInput(input, nowMs);
    shield_->tick(nowMs);
    desk_->flush(nowMs);
    auto wasRefused = std::exchange(refusalsSeen_, memory_->refusals()) != memory_->refusals();
    cache_->leaveRoom(*memory_, wasRefused ? limits_.bodyBytes : limits_.roomBytes);
    memoryReturn_.observe(memory_->usedBytes());
    writing_.flush(nowMs);
    if (nowMs - warmedMs_ > boundMs / 20) {
      warmedMs_ = nowMs;
      desk_->warm();
      post_->prune(nowMs);
    }
    if (mustStop(nowMs)) return;
  }
}

auto ShieldLoop::onInput(Input& input, int64_t nowMs) -> void {
  if (auto* letter = std::get_if<neighbour::Letter>(&input)) desk_->take(*letter, nowMs);
  if (auto* held = std::get_if<caller::HeldFrame>(&input)) {
    shield_->takeFrame(*held, nowMs);
    link_->tell({shield_->revision(), shield_->probes(), {}});
  }
  if (auto* request = std::get_if<caller::Request>(&input)) answerPage(*request, nowMs);
}

auto ShieldLoop::answerPage(const caller::Request& request, int64_t nowMs) -> void {
  auto isReady = shield_->isReady(nowMs);
  auto refusal = isReady ? caller::kOk : stopAtMs_ >= 0 ? caller::kEmptying : caller::kNotCurrent;
  auto answer = caller::pageAnswer(request.target, refusal, [&] { return statusPage(*shield_, *memory_, isReady); });
  request.stream->answer(answer, request.method, request.keep);
  writing_.add(request.stream);
}

// What is under way ends within its deadline; then the rest of the grace is not needed.
auto ShieldLoop::mustStop(int64_t nowMs) -> bool {
  const auto boundMs = settings_.props.boundMs;
  if (op::Program::isStopping() && stopAtMs_ < 0) {
    LOG(INFO) << "shield: Emptying.";
    shield_->empty();
    stopAtMs_ = nowMs + boundMs / 2;
  }
  return stopAtMs_ >= 0 && (nowMs >= stopAtMs_ + 2 * boundMs || (nowMs >= stopAtMs_ && desk_->isIdle()));
}
}  // namespace

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, "shield: passes requests to upstreams");
  auto settings = readSettings(program);
  returnLargeBlocks();
  ShieldLoop loop(std::move(settings));
  if (!loop.open()) return 3;
  loop.run();
  LOG(INFO) << "shield: Stopped.";
  return 0;
}
