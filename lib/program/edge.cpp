// edge: takes callers' requests, answers from its cache or asks a shield.
#include "program/edge.hpp"

#include <glog/logging.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <variant>

#include "agent/link.hpp"
#include "caller/edge.hpp"
#include "caller/pending_answers.hpp"
#include "caller/record.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"
#include "policy/link_share.hpp"
#include "policy/process_limits.hpp"
#include "program/overload.hpp"
#include "upstream/desk.hpp"

namespace dykestage::program {

namespace {
auto statusPage(const caller::Edge& edge, const upstream::Shield* shield, bool isReady, int64_t nowMs,
                const std::function<void(op::StatusPage&)>& addMore) -> std::string {
  auto f = edge.figures();
  op::StatusPage page("edge");
  auto number = [&](const char* key, uint64_t value) { page.number(key, static_cast<double>(value)); };
  page.flag("ready", isReady);
  page.revision(edge.revision());
  page.number("ageMs", static_cast<double>(edge.ageMs(nowMs)));
  number("requests", f.requests);
  number("hits", f.hits);
  number("joins", f.joins);
  number("asks", f.asks);
  number("extras", f.extras);
  number("turnedAway", f.turnedAway);
  number("unknown", f.unknown);
  number("refused", f.refused);
  number("policyFailures", f.policyFailures);
  number("open", edge.open());
  number("cacheBytes", edge.cache().bytes());
  number("cacheCopies", edge.cache().size());
  if (shield) {
    auto s = shield->figures();
    number("fetches", s.fetches);
    number("fetchesExtra", s.extras);
    number("fetchesTurnedAway", s.turnedAway);
    number("rateTurnedAway", s.rateTurnedAway);
    number("fetchesOpen", shield->open());
  }
  addMore(page);
  return page.take() + "\n";
}

// Tells in the log what requests without an answer, and fetches of objects, came from since it told last.
class FigureLog {
 public:
  auto tell(const caller::Edge::Figures& edge, const upstream::Shield::Figures& shield) -> void {
    auto left = edge.clientsLeft - edge_.clientsLeft;
    auto late = shield.sentLate - shield_.sentLate, repeated = shield.repeatedLate - shield_.repeatedLate;
    if (left + late + repeated > 0)
      LOG(INFO) << "edge: Clients that left: " << left << "; sent to upstreams after a long wait: " << late
                << ", again: " << repeated << ".";
    tellFetches(shield);
    edge_ = edge;
    shield_ = shield;
  }

 private:
  auto tellFetches(const upstream::Shield::Figures& shield) const -> void {
    static constexpr std::array<const char*, neighbour::kFetchCauses> kNames = {"as owner", "for its own clients",
                                                                                "moved here", "again"};
    std::string list;
    for (size_t i = 0; i < kNames.size(); ++i)
      if (auto count = shield.objectFetches[i] - shield_.objectFetches[i]; count > 0)
        list += (list.empty() ? "" : ", ") + std::to_string(count) + " " + kNames[i];
    auto refused = shield.rateTurnedAway - shield_.rateTurnedAway;
    if (!list.empty() || refused > 0)
      LOG(INFO) << "edge: Objects fetched: " << (list.empty() ? "none" : list) << "; refused for the rate: " << refused
                << ".";
  }

  caller::Edge::Figures edge_;
  upstream::Shield::Figures shield_;
};

// When a process that was told to stop does what. A request that has come before the drain is worked on until shortly
// before the process is killed; later ones would have to be broken off too soon, and are turned away.
struct StopTimes {
  int64_t drainMs;        // nobody new is accepted, and nothing new is begun
  int64_t earliestEndMs;  // the process ends once nothing is left to be done
  int64_t lastAnswerMs;   // whatever is under way is answered
  int64_t latestEndMs;    // it ends, whatever is left
};

constexpr int64_t kMostDrainDelayMs = 3000;

auto stopTimesOf(int64_t nowMs, int64_t graceMs) -> StopTimes {
  return {nowMs + std::min(graceMs / 2, kMostDrainDelayMs), nowMs + graceMs * 2 / 3, nowMs + graceMs * 92 / 100,
          nowMs + graceMs * 97 / 100};
}

// Bulk answers take four fifths of the link, and leave in bursts of at most 1/100 of the bound: what is written in
// between (heartbeats, news, acknowledgements) then waits about as long, and not for every answer before it.
constexpr double kBulkPart = 0.8;
constexpr double kBytesPerMbit = 125000;

auto linkShareOf(double linkMbps, int64_t boundMs) -> std::shared_ptr<policy::LinkShare> {
  if (linkMbps <= 0) return nullptr;
  policy::LinkShare::Props props;
  props.bytesPerS = linkMbps * kBytesPerMbit * kBulkPart;
  props.burstBytes = props.bytesPerS * static_cast<double>(boundMs) / 1000 / 100;
  return std::make_shared<policy::LinkShare>(props);
}
/// What the settings say.
struct Settings {
  caller::Edge::Props edge;
  policy::RateBounds rate;
  policy::MachineLimits machine;
  std::string http, status;     // addresses: where clients and pages are served,
  std::string address, listen;  // towards other processes, as they are told and as it listens,
  std::string agent;            // and of the agent beside it
  std::string readyPath = "/ready";
  std::string record;  // a file for the requests that come; empty: none
  int64_t recordBytes = 64 << 20;
  int64_t boundMs = 2000, graceMs = 6000;
  int64_t threads = 2;
  double linkMbps = 0;  // 0: no limit
};

auto readHeaderNames(op::Program& program, caller::HeaderNames& names) -> void {
  auto fields = program.part("headers");
  if (!fields) return;
  fields->text("try", names.tryId);
  fields->text("timeLeft", names.timeLeft);
  fields->text("instance", names.instance);
  fields->text("service", names.service);
  fields->text("extra", names.extra);
  fields->text("load", names.load);
  fields->text("labels", names.labels);
  fields->text("notRun", names.notRun);
  fields->text("seal", names.seal);
  fields->close();
}

auto readBudgets(op::Program& program, Settings& settings) -> void {
  if (auto budget = program.part("budget")) {
    auto& tries = settings.edge.tries;
    budget->number("share", 0, 1, tries.share);
    budget->number("allowance", 0, 1e6, tries.allowance);
    budget->integer("windowMs", 100, 600000, tries.windowMs);
    budget->close();
  }
  int64_t windowMs = 5000;
  if (auto ceiling = program.part("ceiling")) {
    ceiling->integer("windowMs", 100, 600000, windowMs);
    ceiling->number("over", 1, 10, settings.rate.over);
    ceiling->number("slack", 0, 1e6, settings.rate.slack);
    ceiling->close();
  }
  settings.rate.windowS = static_cast<double>(windowMs) / 1000;
}

// What follows from the settings, above all from the freshness bound.
auto derive(Settings& settings) -> void {
  auto& edge = settings.edge;
  edge.staleMs = settings.boundMs * 3 / 4;
  edge.suspectMs = settings.boundMs / 8;
  edge.retryMs = settings.boundMs / 20;
  if (settings.linkMbps > 0)
    edge.linkBytes = static_cast<size_t>(settings.linkMbps * 125 * static_cast<double>(settings.boundMs) / 100);
}

auto readSettings(op::Program& program) -> Settings {
  Settings settings;
  auto& fields = program.settings();
  auto size = [&](const char* key, int64_t low, int64_t high, size_t& into) {
    auto value = static_cast<int64_t>(into);
    fields.integer(key, low, high, value);
    into = static_cast<size_t>(value);
  };
  fields.text("name", settings.edge.name, true);
  fields.text("site", settings.edge.site, true);
  program.address("http", settings.http);
  program.address("status", settings.status);
  program.address("address", settings.address);
  program.address("listen", settings.listen, false);
  program.address("agent", settings.agent);
  fields.integer("boundMs", 400, 60000, settings.boundMs);
  size("requests", 1, 1000000, settings.edge.requests);
  size("cacheBytes", 1 << 20, 1LL << 40, settings.edge.cacheBytes);
  size("bodyBytes", 1 << 10, 64 << 20, settings.machine.bodyBytes);
  size("memoryBytes", 1 << 24, 1LL << 40, settings.machine.memoryBytes);
  size("openFiles", 64, 1 << 24, settings.machine.openFiles);
  fields.integer("threads", 1, 64, settings.threads);
  fields.number("linkMbps", 0.01, 1e6, settings.linkMbps);
  fields.flag("fetches", settings.edge.fetches);
  fields.flag("servesStale", settings.edge.servesStale);
  fields.text("readyPath", settings.readyPath);
  settings.graceMs = 3 * settings.boundMs;
  fields.integer("graceMs", 100, 600000, settings.graceMs);
  readHeaderNames(program, settings.edge.names);
  readBudgets(program, settings);
  fields.text("record", settings.record);
  fields.integer("recordBytes", 1 << 10, 1LL << 40, settings.recordBytes);
  program.ready();
  derive(settings);
  return settings;
}

/// The program's one thread: requests, messages, frames and ended fetches go into the state machines, what follows goes
/// out. An edge that fetches itself holds a shield's machine too; both share one cache.
class EdgeLoop {
 public:
  EdgeLoop(op::Program& program, Settings settings);
  /// False, with the reason in the log, when an address can't be had.
  auto open() -> bool;
  /// Returns once the process was told to stop and its time is over.
  auto run() -> void;

 private:
  struct Page {
    caller::Request request;
  };
  using Input = std::variant<caller::Request, Page, neighbour::Letter, caller::HeldFrame>;

  auto openShield() -> void;
  auto serve(const std::string& at, caller::Face::Props props, std::function<Input(caller::Request)> wrap)
      -> std::unique_ptr<caller::Face>;
  auto wait() -> std::vector<upstream::Fetched>;
  auto onInput(Input& input, int64_t nowMs) -> void;
  auto onRequest(caller::Request request, int64_t nowMs) -> void;
  auto onMessage(const neighbour::Letter& message, int64_t nowMs) -> void;
  auto onReply(const neighbour::Letter& message, int64_t nowMs) -> void;
  auto onFrame(const caller::HeldFrame& held, int64_t nowMs) -> void;
  auto answerPage(const caller::Request& request, int64_t nowMs) -> void;
  auto handOut(int64_t nowMs) -> void;
  auto handOutOnce(int64_t nowMs) -> bool;
  auto keepLines(int64_t nowMs) -> void;
  auto tell(int64_t nowMs) -> void;
  auto relieve() -> void;
  auto beginStop(int64_t nowMs) -> void;
  auto mustStop(int64_t nowMs) -> bool;
  auto isAtRest() const -> bool { return edge_->open() == 0 && (!desk_ || desk_->isIdle()); }

  op::Program& program_;
  Settings settings_;
  policy::ProcessLimits limits_;
  std::shared_ptr<MemoryAccount> memory_;
  std::shared_ptr<policy::Cache> cache_;
  std::shared_ptr<policy::LinkShare> linkShare_;
  std::optional<caller::Recorder> recorder_;
  int64_t recordSinceMs_ = 0;
  caller::PendingAnswers writing_;
  MemoryReturn memoryReturn_;
  neighbour::Inbox<Input> inbox_{16000};
  upstream::Fetcher fetcher_;
  std::unique_ptr<neighbour::Post> post_;
  std::optional<caller::Edge> edge_;
  std::optional<upstream::Shield> shield_;
  std::unique_ptr<agent::Link> link_;
  std::optional<upstream::Desk> desk_;
  std::unique_ptr<caller::Face> face_, pages_;
  OverloadLog overloadLog_{"edge"};
  FigureLog figureLog_;
  uint64_t refusalsSeen_ = 0;
  std::optional<StopTimes> stopping_;
  bool isDraining_ = false, isRefusing_ = false;
  int64_t warmedMs_ = 0, toldMs_ = 0;
};

EdgeLoop::EdgeLoop(op::Program& program, Settings settings)
    : program_(program),
      settings_(std::move(settings)),
      limits_(policy::processLimitsOf(settings_.machine)),
      memory_(policy::accountOf(limits_)),
      cache_(std::make_shared<policy::Cache>(settings_.edge.cacheBytes)),
      linkShare_(linkShareOf(settings_.linkMbps, settings_.boundMs)),
      writing_(memory_),
      memoryReturn_(limits_.accountBytes / 4) {
  if (!settings_.record.empty()) recorder_.emplace(settings_.record, settings_.recordBytes);
  recordSinceMs_ = neighbour::steadyMs();
}

auto EdgeLoop::open() -> bool {
  std::string reason;
  neighbour::Post::Props postProps{settings_.listen.empty() ? settings_.address : settings_.listen, settings_.address};
  postProps.maxBytes = limits_.bodyBytes * 2 + (1 << 20);
  post_ = neighbour::Post::open(
      postProps, [this](neighbour::Letter l) { inbox_.push(std::move(l)); }, reason);
  if (!post_) {
    LOG(ERROR) << "edge: " << reason;
    return false;
  }
  auto& props = settings_.edge;
  props.life = agent::freshIncarnation();
  edge_.emplace(props, cache_);
  fetcher_.limit(0, limits_.upstreams);
  fetcher_.limitMemory(memory_, policy::kSocketBufferBytes);
  auto kind = props.fetches ? "proxy" : "edge";
  agent::Link::Props linkProps{
      props.name, {kind, props.site, post_->address(), "", props.life}, settings_.agent, settings_.boundMs};
  link_ = std::make_unique<agent::Link>(
      linkProps, [this](caller::HeldFrame f) { inbox_.push(std::move(f)); },
      [this](neighbour::Letter l) { inbox_.push(std::move(l)); });
  if (props.fetches) openShield();
  caller::Face::Props clients;
  clients.threads = static_cast<int>(settings_.threads);
  clients.bodyBytes = limits_.bodyBytes;
  clients.link = linkShare_;
  clients.connections = limits_.connections;
  face_ = serve(settings_.http, clients, [](caller::Request r) { return Input(std::move(r)); });
  caller::Face::Props pages;
  pages.threads = 1;
  pages.bodyBytes = caller::kPageBodyBytes;
  pages.connections = caller::kPageConnections;
  pages_ = serve(settings_.status, pages, [](caller::Request r) { return Input(Page{std::move(r)}); });
  LOG(INFO) << "edge: " << props.name << " serves port " << face_->port() << ", status at port " << pages_->port()
            << ".";
  return true;
}

auto EdgeLoop::openShield() -> void {
  const auto& props = settings_.edge;
  upstream::Shield::Props own;
  own.name = props.name;
  own.site = props.site;
  own.address = post_->address();
  own.kind = "proxy";
  own.boundMs = settings_.boundMs;
  own.staleMs = props.staleMs;
  own.probeMs = 0;  // answers and their loads tell how upstreams do
  own.easeMs = settings_.boundMs * 5 / 2;
  own.connectMs = settings_.boundMs / 20;
  own.requests = props.requests;
  own.answerBytes = limits_.bodyBytes;
  own.servesStale = props.servesStale;
  own.names = props.names;
  own.tries = props.tries;
  own.rate = settings_.rate;
  own.life = props.life;
  own.keyBytes = std::min(own.keyBytes, limits_.reserveBytes / 2);
  shield_.emplace(own, cache_);
  upstream::Desk::Props desk;
  desk.self = post_->address();
  desk.boundMs = settings_.boundMs;
  desk.link = linkShare_;
  desk.reply = [this](const neighbour::Reply& r) { edge_->takeReply(post_->address(), r, neighbour::steadyMs()); };
  desk.sendRequest = [this](const neighbour::SendRequest& r) { edge_->takeSendRequest(post_->address(), r); };
  desk.memory = memory_;
  desk_.emplace(*shield_, fetcher_, *post_, *link_, desk);
}

auto EdgeLoop::serve(const std::string& at, caller::Face::Props props, std::function<Input(caller::Request)> wrap)
    -> std::unique_ptr<caller::Face> {
  std::tie(props.ip, props.port) = op::splitAddress(at);
  props.slackMs = 2 * settings_.boundMs;
  props.memory = memory_;
  props.socketBytes = policy::kSocketBufferBytes;
  return std::make_unique<caller::Face>(props, [this, wrap = std::move(wrap)](caller::Request r) {
    auto stream = r.stream;
    auto method = r.method;
    if (!inbox_.push(wrap(std::move(r)))) stream->answer(caller::codeAnswer(caller::kEdgeFull, 1), method, false);
  });
}

auto EdgeLoop::run() -> void {
  for (;;) {
    auto ended = wait();
    auto nowMs = neighbour::steadyMs();
    for (auto& fetched : ended)
      shield_->takeFetched(fetched, nowMs);
    for (auto& input : inbox_.take())
      onInput(input, nowMs);
    edge_->tick(nowMs);
    if (shield_) shield_->tick(nowMs);
    handOut(nowMs);
    keepLines(nowMs);
    tell(nowMs);
    writing_.flush(nowMs);
    relieve();
    if (program_.reread(nowMs)) LOG(INFO) << "edge: Settings have changed; they take effect at the next start.";
    if (op::Program::isStopping() && !stopping_) beginStop(nowMs);
    if (stopping_ && mustStop(nowMs)) return;
  }
}

auto EdgeLoop::wait() -> std::vector<upstream::Fetched> {
  std::vector<pollfd> fds = {{inbox_.fd(), POLLIN, 0}};
  // Deadlines are looked at every few ms while anything waits.
  auto waitMs = isAtRest() ? settings_.boundMs / 40 : settings_.boundMs / 200;
  // A socket that could take more is no reason to wake before the link has room for it.
  auto roomMs = linkShare_ && !writing_.isEmpty() ? linkShare_->waitMs(neighbour::steadyMs()) : 0;
  if (roomMs > 0) waitMs = std::min(waitMs, roomMs);
  if (roomMs == 0) writing_.pollFor(fds);
  if (settings_.edge.fetches) return fetcher_.run(fds, waitMs);
  ::poll(fds.data(), fds.size(), static_cast<int>(waitMs));
  return {};
}

auto EdgeLoop::onInput(Input& input, int64_t nowMs) -> void {
  if (auto* request = std::get_if<caller::Request>(&input)) onRequest(std::move(*request), nowMs);
  if (auto* message = std::get_if<neighbour::Letter>(&input)) onMessage(*message, nowMs);
  if (auto* held = std::get_if<caller::HeldFrame>(&input)) onFrame(*held, nowMs);
  if (auto* page = std::get_if<Page>(&input)) answerPage(page->request, nowMs);
}

auto EdgeLoop::onRequest(caller::Request request, int64_t nowMs) -> void {
  auto isRecorded =
      !recorder_ ||
      recorder_->add({nowMs - recordSinceMs_, request.method, caller::header(request.headers, "host"), request.target,
                      static_cast<int64_t>(request.body.size()), caller::has(request.headers, "idempotency-key")});
  if (!isRecorded) {
    LOG(INFO) << "edge: The record ends here.";
    recorder_.reset();
  }
  edge_->take(std::move(request), nowMs);
}

auto EdgeLoop::onMessage(const neighbour::Letter& message, int64_t nowMs) -> void {
  if (message.kind == neighbour::kReply) return onReply(message, nowMs);
  if (message.kind == neighbour::kPong) return edge_->heard(message.from, nowMs);
  if (message.kind == neighbour::kSendRequest) {
    Reader reader(message.body);
    auto sendRequest = reader.get<neighbour::SendRequest>();
    if (reader.done()) edge_->takeSendRequest(message.from, sendRequest);
    return;
  }
  if (desk_) desk_->take(message, nowMs);
}

// Another node's answer for which there is no room is lost: whatever it answered may have run.
auto EdgeLoop::onReply(const neighbour::Letter& message, int64_t nowMs) -> void {
  Reader reader(message.body);
  auto reply = reader.get<neighbour::Reply>();
  if (!reader.done()) return;
  if (!reply.body.draw(memory_, MemoryUse::kPeers)) {
    reply.code = caller::kAnswerTooLarge;
    reply.isUntouched = false;
    reply.headers.clear();
    reply.body = {};
  }
  edge_->takeReply(message.from, reply, nowMs);
}

auto EdgeLoop::onFrame(const caller::HeldFrame& held, int64_t nowMs) -> void {
  if (held.frame->revision.configuration != edge_->revision().configuration)
    LOG(INFO) << "edge: Configuration " << held.frame->revision.configuration
              << " is in force; idle connections end after " << held.frame->routing.limits.idleMs << " ms.";
  edge_->takeFrame(held, nowMs);
  if (shield_) shield_->takeFrame(held, nowMs);
  settings_.machine.peers = edge_->shields().size();
  face_->limitConnections(policy::processLimitsOf(settings_.machine).connections);
  const auto& allowed = edge_->limits();
  auto bodyBytes = std::min<int64_t>(allowed.bodyBytes, static_cast<int64_t>(limits_.bodyBytes));
  face_->limit(static_cast<size_t>(allowed.headerBytes), static_cast<size_t>(bodyBytes), allowed.headerMs,
               allowed.idleMs);
  link_->tell({edge_->revision(), {}, edge_->samples()});
}

auto EdgeLoop::answerPage(const caller::Request& request, int64_t nowMs) -> void {
  auto isReady = edge_->isCurrent(nowMs) && !stopping_;
  auto refusal = isReady ? caller::kOk : stopping_ ? caller::kEmptying : caller::kNotCurrent;
  auto target = request.target == settings_.readyPath ? "/ready" : request.target;
  auto addMore = [&](op::StatusPage& page) { addMemory(page, *memory_, *face_, writing_); };
  auto answer = caller::pageAnswer(
      target, refusal, [&] { return statusPage(*edge_, shield_ ? &*shield_ : nullptr, isReady, nowMs, addMore); });
  request.stream->answer(answer, request.method, request.keep);
  writing_.add(request.stream);
}

// A fetch request that did not leave, or that this very process answers, is a new input.
auto EdgeLoop::handOut(int64_t nowMs) -> void {
  while (handOutOnce(nowMs)) {
  }
}

// True when there was anything.
auto EdgeLoop::handOutOnce(int64_t nowMs) -> bool {
  auto out = edge_->output();
  for (auto& asked : out.asks) {
    if (asked.isSelf && shield_)
      shield_->take(asked.to, std::move(asked.ask), nowMs);
    else if (!post_->send(asked.to, neighbour::kAsk, Writer().put(asked.ask).take()))
      edge_->unsent(asked.ask, nowMs);
  }
  for (auto& withdrawn : out.withdrawals) {
    if (withdrawn.isSelf && shield_)
      shield_->takeWithdrawal(withdrawn.to, withdrawn.withdrawal, nowMs);
    else
      post_->send(withdrawn.to, neighbour::kWithdrawal, Writer().put(withdrawn.withdrawal).take());
  }
  for (auto& granted : out.grants) {
    if (granted.isSelf && shield_)
      shield_->takeSendGrant(granted.grant, nowMs);
    else
      post_->send(granted.to, neighbour::kSendGrant, Writer().put(granted.grant).take());
  }
  for (auto& answered : out.answers) {
    const auto& answer = caller::Edge::atLast(answered, neighbour::steadyMs());
    answered.stream->answer(answer, answered.method, answered.keep && !stopping_);
    writing_.add(answered.stream);
  }
  auto hasFlushed = desk_ && desk_->flush(nowMs);
  return hasFlushed || !out.asks.empty() || !out.grants.empty() || !out.withdrawals.empty() || !out.answers.empty();
}

// Only now is it known which fetch requests have left: lines that are down end what went over them.
auto EdgeLoop::keepLines(int64_t nowMs) -> void {
  if (nowMs - warmedMs_ <= settings_.boundMs / 20) return;
  warmedMs_ = nowMs;
  for (const auto& at : edge_->shields()) {
    if (!post_->isUp(at)) edge_->lost(at, nowMs);
    post_->warm(at);
  }
  if (desk_) desk_->warm();
  post_->prune(nowMs);
}

auto EdgeLoop::tell(int64_t nowMs) -> void {
  if (nowMs - toldMs_ <= settings_.boundMs / 2) return;
  toldMs_ = nowMs;
  std::string list;
  for (auto [code, count] : edge_->refusals())
    list += (list.empty() ? "" : ", ") + std::to_string(code) + " " + std::to_string(count) + " times";
  if (!list.empty()) LOG(INFO) << "edge: Own answers: " << list << ".";
  if (shield_) figureLog_.tell(edge_->figures(), shield_->figures());
  overloadLog_.tell(face_->figures(), writing_.shed());
}

// Memory goes back once a crowd has left; while there is too little, the cache and whoever hardly moves give way.
auto EdgeLoop::relieve() -> void {
  memoryReturn_.observe(memory_->usedBytes());
  auto refusals = memory_->refusals();
  auto wasRefused = std::exchange(refusalsSeen_, refusals) != refusals;
  cache_->leaveRoom(*memory_, wasRefused ? limits_.bodyBytes : limits_.roomBytes);
  if (wasRefused) face_->relieve();
}

// Not ready from now on; whoever still comes is served while the platform looks elsewhere.
auto EdgeLoop::beginStop(int64_t nowMs) -> void {
  LOG(INFO) << "edge: Emptying.";
  if (shield_) shield_->empty();  // other nodes ask elsewhere; its own callers are served on
  stopping_ = stopTimesOf(nowMs, settings_.graceMs);
  edge_->turnAwayFrom(stopping_->drainMs);
  edge_->endBy(stopping_->lastAnswerMs);
}

auto EdgeLoop::mustStop(int64_t nowMs) -> bool {
  // The platform has found it not ready by now, or ends it soon: nobody new is taken.
  if (!isDraining_ && nowMs >= stopping_->drainMs) {
    isDraining_ = true;
    face_->drain(settings_.boundMs / 4);
  }
  // What the process still holds when it ends is lost. Not sooner: the ends of idle connections would wait behind it.
  if (nowMs >= stopping_->earliestEndMs && linkShare_) linkShare_->lift();
  auto isDone = isAtRest() && writing_.isEmpty();
  if (nowMs < stopping_->latestEndMs && (nowMs < stopping_->earliestEndMs || !isDone)) return false;
  // One more round answers what the HTTP server has handed over; what it still reads it refuses itself.
  if (isRefusing_) return true;
  isRefusing_ = true;
  face_->refuse();
  return false;
}
}  // namespace

auto runEdge(op::Program& program) -> int {
  auto settings = readSettings(program);
  returnLargeBlocks();
  EdgeLoop loop(program, std::move(settings));
  if (!loop.open()) return 3;
  loop.run();
  LOG(INFO) << "edge: Stopped.";
  return 0;
}

}  // namespace dykestage::program
