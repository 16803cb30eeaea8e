// edge: takes callers' requests, answers from its cache or asks a shield.
#include "program/edge.hpp"

#include <glog/logging.h>
#include <poll.h>

#include <algorithm>
#include <array>
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
struct Page {
  caller::Request request;
};
using Input = std::variant<caller::Request, Page, neighbour::Letter, caller::HeldFrame>;

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

// Another node's answer for which there is no room is lost: whatever it answered may have run.
auto takeReply(caller::Edge& edge, const neighbour::Letter& letter, const std::shared_ptr<MemoryAccount>& memory,
               int64_t nowMs) -> void {
  Reader r(letter.body);
  auto reply = r.get<neighbour::Reply>();
  if (!r.done()) return;
  if (!reply.body.draw(memory, MemoryUse::kPeers)) {
    reply.code = caller::kAnswerTooLarge;
    reply.isUntouched = false;
    reply.headers.clear();
    reply.body = {};
  }
  edge.takeReply(letter.from, reply, nowMs);
}

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
}  // namespace

// NOLINTNEXTLINE(readability-function-size): split with its module in issue 17
auto runEdge(op::Program& program) -> int {
  auto& s = program.settings();
  caller::Edge::Props props;
  std::string http, status, recordAt, address, listen, agentAt;
  int64_t boundMs = 2000, requests = 4000, cacheBytes = 64 << 20, bodyBytes = 8 << 20, threads = 2;
  s.text("name", props.name, true);
  s.text("site", props.site, true);
  program.address("http", http);
  program.address("status", status);
  program.address("address", address);
  program.address("listen", listen, false);
  program.address("agent", agentAt);
  s.integer("boundMs", 400, 60000, boundMs);
  s.integer("requests", 1, 1000000, requests);
  s.integer("cacheBytes", 1 << 20, 1LL << 40, cacheBytes);
  s.integer("bodyBytes", 1 << 10, 64 << 20, bodyBytes);
  s.integer("threads", 1, 64, threads);
  auto fetches = false;
  int64_t graceMs = 3 * boundMs, rateWindowMs = 5000;
  std::string readyPath = "/ready";
  int64_t memoryBytes = 1 << 30, openFiles = 4096;
  auto linkMbps = 0.0;
  s.number("linkMbps", 0.01, 1e6, linkMbps);
  policy::RateBounds rate;
  s.integer("memoryBytes", 1 << 24, 1LL << 40, memoryBytes);
  s.integer("openFiles", 64, 1 << 24, openFiles);
  s.flag("fetches", fetches);
  s.flag("servesStale", props.servesStale);
  s.text("readyPath", readyPath);
  s.integer("graceMs", 100, 600000, graceMs);
  if (auto h = program.part("headers")) {
    auto& names = props.names;
    for (auto [key, name] : std::initializer_list<std::pair<const char*, std::string*>>{{"try", &names.tryId},
                                                                                        {"timeLeft", &names.timeLeft},
                                                                                        {"instance", &names.instance},
                                                                                        {"service", &names.service},
                                                                                        {"extra", &names.extra},
                                                                                        {"load", &names.load},
                                                                                        {"labels", &names.labels},
                                                                                        {"notRun", &names.notRun},
                                                                                        {"seal", &names.seal}})
      h->text(key, *name);
    h->close();
  }
  if (auto b = program.part("budget")) {
    b->number("share", 0, 1, props.tries.share);
    b->number("allowance", 0, 1e6, props.tries.allowance);
    b->integer("windowMs", 100, 600000, props.tries.windowMs);
    b->close();
  }
  if (auto c = program.part("ceiling")) {
    c->integer("windowMs", 100, 600000, rateWindowMs);
    c->number("over", 1, 10, rate.over);
    c->number("slack", 0, 1e6, rate.slack);
    c->close();
  }
  int64_t recordBytes = 64 << 20;
  s.text("record", recordAt);
  s.integer("recordBytes", 1 << 10, 1LL << 40, recordBytes);
  program.ready();
  std::optional<caller::Recorder> recorder;
  if (!recordAt.empty()) recorder.emplace(recordAt, recordBytes);
  auto recordSinceMs = neighbour::steadyMs();
  props.staleMs = boundMs * 3 / 4;
  props.suspectMs = boundMs / 8;
  props.requests = static_cast<size_t>(requests);
  props.cacheBytes = static_cast<size_t>(cacheBytes);
  props.fetches = fetches;
  props.retryMs = boundMs / 20;
  if (linkMbps > 0) props.linkBytes = static_cast<size_t>(linkMbps * 125 * static_cast<double>(boundMs) / 100);
  rate.windowS = static_cast<double>(rateWindowMs) / 1000;

  policy::MachineLimits machine{static_cast<size_t>(memoryBytes), static_cast<size_t>(openFiles),
                                static_cast<size_t>(bodyBytes)};
  const auto limits = policy::processLimitsOf(machine);
  const auto memory = policy::accountOf(limits);
  bodyBytes = static_cast<int64_t>(limits.bodyBytes);
  returnLargeBlocks();

  neighbour::Inbox<Input> inbox(16000);
  std::string reason;
  neighbour::Post::Props postProps{listen.empty() ? address : listen, address};
  postProps.maxBytes = static_cast<size_t>(bodyBytes) * 2 + (1 << 20);
  auto post = neighbour::Post::open(
      postProps, [&](neighbour::Letter l) { inbox.push(std::move(l)); }, reason);
  if (!post) {
    LOG(ERROR) << "edge: " << reason;
    return 3;
  }
  props.life = agent::freshIncarnation();
  // An edge that fetches itself holds a shield's machine too; both share one cache.
  auto cache = std::make_shared<policy::Cache>(props.cacheBytes);
  caller::Edge edge(props, cache);
  upstream::Fetcher fetcher;
  fetcher.limit(0, limits.upstreams);
  fetcher.limitMemory(memory, policy::kSocketBufferBytes);
  std::optional<upstream::Shield> shield;
  if (fetches) {
    upstream::Shield::Props own;
    own.name = props.name;
    own.site = props.site;
    own.address = post->address();
    own.kind = "proxy";
    own.boundMs = boundMs;
    own.staleMs = boundMs * 3 / 4;
    own.probeMs = 0;  // answers and their loads tell how upstreams do
    own.easeMs = boundMs * 5 / 2;
    own.connectMs = boundMs / 20;
    own.requests = props.requests;
    own.answerBytes = static_cast<size_t>(bodyBytes);
    own.servesStale = props.servesStale;
    own.names = props.names;
    own.tries = props.tries;
    own.rate = rate;
    own.life = props.life;
    own.keyBytes = std::min(own.keyBytes, limits.reserveBytes / 2);
    shield.emplace(own, cache);
  }
  agent::Link link(
      {props.name, {fetches ? "proxy" : "edge", props.site, post->address(), "", props.life}, agentAt, boundMs},
      [&](caller::HeldFrame f) { inbox.push(std::move(f)); }, [&](neighbour::Letter l) { inbox.push(std::move(l)); });
  auto linkShare = linkShareOf(linkMbps, boundMs);
  std::optional<upstream::Desk> desk;
  if (shield)
    desk.emplace(*shield, fetcher, *post, link,
                 upstream::Desk::Props{
                     post->address(), boundMs, linkShare,
                     [&](const neighbour::Reply& r) { edge.takeReply(post->address(), r, neighbour::steadyMs()); },
                     [&](const neighbour::SendRequest& r) { edge.takeSendRequest(post->address(), r); }, memory});
  auto open = [&](const std::string& at, int count, std::shared_ptr<policy::LinkShare> share, size_t connections,
                  size_t mostBodyBytes, auto wrap) {
    auto [ip, port] = op::splitAddress(at);
    return std::make_unique<caller::Face>(caller::Face::Props{ip, port, count, mostBodyBytes, share, 2 * boundMs,
                                                              memory, connections, policy::kSocketBufferBytes},
                                          [&inbox, wrap](caller::Request r) {
                                            auto stream = r.stream;
                                            auto method = r.method;
                                            if (!inbox.push(wrap(std::move(r))))
                                              stream->answer(caller::codeAnswer(caller::kEdgeFull, 1), method, false);
                                          });
  };
  auto face = open(http, static_cast<int>(threads), linkShare, limits.connections, limits.bodyBytes,
                   [](caller::Request r) { return Input(std::move(r)); });
  auto pages = open(status, 1, nullptr, caller::kPageConnections, caller::kPageBodyBytes,
                    [](caller::Request r) { return Input(Page{std::move(r)}); });
  LOG(INFO) << "edge: " << props.name << " serves port " << face->port() << ", status at port " << pages->port() << ".";

  caller::PendingAnswers writing(memory);
  OverloadLog overloadLog("edge");
  uint64_t refusalsSeen = 0;
  MemoryReturn memoryReturn(limits.accountBytes / 4);
  std::optional<StopTimes> stopping;
  auto isDraining = false, isRefusing = false;
  int64_t warmedMs = 0, toldMs = 0;
  FigureLog figureLog;
  for (;;) {
    std::vector<pollfd> fds = {{inbox.fd(), POLLIN, 0}};
    // Deadlines are looked at every few ms while anything waits.
    auto isIdle = edge.open() == 0 && (!desk || desk->isIdle());
    auto waitMs = isIdle ? boundMs / 40 : boundMs / 200;
    // A socket that could take more is no reason to wake before the link has room for it.
    auto roomMs = linkShare && !writing.isEmpty() ? linkShare->waitMs(neighbour::steadyMs()) : 0;
    if (roomMs > 0) waitMs = std::min(waitMs, roomMs);
    if (roomMs == 0) writing.pollFor(fds);
    std::vector<upstream::Fetched> ended;
    if (fetches)
      ended = fetcher.run(fds, waitMs);
    else
      ::poll(fds.data(), fds.size(), static_cast<int>(waitMs));
    auto nowMs = neighbour::steadyMs();
    for (auto& fetched : ended)
      shield->takeFetched(fetched, nowMs);
    auto isReady = edge.isCurrent(nowMs) && !stopping;
    for (auto& input : inbox.take()) {
      if (auto* request = std::get_if<caller::Request>(&input)) {
        if (recorder &&
            !recorder->add({nowMs - recordSinceMs, request->method, caller::header(request->headers, "host"),
                            request->target, static_cast<int64_t>(request->body.size()),
                            caller::has(request->headers, "idempotency-key")})) {
          LOG(INFO) << "edge: The record ends here.";
          recorder.reset();
        }
        edge.take(std::move(*request), nowMs);
      }
      if (auto* letter = std::get_if<neighbour::Letter>(&input)) {
        if (letter->kind == neighbour::kReply) {
          takeReply(edge, *letter, memory, nowMs);
        } else if (letter->kind == neighbour::kPong) {
          edge.heard(letter->from, nowMs);
        } else if (letter->kind == neighbour::kSendRequest) {
          Reader r(letter->body);
          auto sendRequest = r.get<neighbour::SendRequest>();
          if (r.done()) edge.takeSendRequest(letter->from, sendRequest);
        } else if (desk) {
          desk->take(*letter, nowMs);
        }
      }
      if (auto* held = std::get_if<caller::HeldFrame>(&input)) {
        if (held->frame->revision.configuration != edge.revision().configuration)
          LOG(INFO) << "edge: Configuration " << held->frame->revision.configuration
                    << " is in force; idle connections end after " << held->frame->routing.limits.idleMs << " ms.";
        edge.takeFrame(*held, nowMs);
        if (shield) shield->takeFrame(*held, nowMs);
        machine.peers = edge.shields().size();
        face->limitConnections(policy::processLimitsOf(machine).connections);
        const auto& allowed = edge.limits();
        face->limit(static_cast<size_t>(allowed.headerBytes),
                    static_cast<size_t>(std::min(allowed.bodyBytes, bodyBytes)), allowed.headerMs, allowed.idleMs);
        link.tell({edge.revision(), {}, edge.samples()});
      }
      if (auto* page = std::get_if<Page>(&input)) {
        auto& r = page->request;
        auto refusal = isReady ? caller::kOk : stopping ? caller::kEmptying : caller::kNotCurrent;
        auto target = r.target == readyPath ? "/ready" : r.target;
        auto answer = caller::pageAnswer(target, refusal, [&] {
          return statusPage(edge, shield ? &*shield : nullptr, isReady, nowMs,
                            [&](op::StatusPage& page) { addMemory(page, *memory, *face, writing); });
        });
        r.stream->answer(answer, r.method, r.keep);
        writing.add(r.stream);
      }
    }
    edge.tick(nowMs);
    if (shield) shield->tick(nowMs);
    // An ask that did not leave, or that this very process answers, is a new input.
    for (auto isMore = true; isMore;) {
      auto out = edge.output();
      isMore = !out.asks.empty() || !out.grants.empty() || !out.withdrawals.empty();
      for (auto& a : out.asks) {
        if (a.isSelf && shield)
          shield->take(a.to, std::move(a.ask), nowMs);
        else if (!post->send(a.to, neighbour::kAsk, Writer().put(a.ask).take()))
          edge.unsent(a.ask, nowMs);
      }
      for (auto& w : out.withdrawals) {
        if (w.isSelf && shield)
          shield->takeWithdrawal(w.to, w.withdrawal, nowMs);
        else
          post->send(w.to, neighbour::kWithdrawal, Writer().put(w.withdrawal).take());
      }
      for (auto& g : out.grants) {
        if (g.isSelf && shield)
          shield->takeSendGrant(g.grant, nowMs);
        else
          post->send(g.to, neighbour::kSendGrant, Writer().put(g.grant).take());
      }
      for (auto& a : out.answers) {
        a.stream->answer(caller::Edge::atLast(a, neighbour::steadyMs()), a.method, a.keep && !stopping);
        writing.add(a.stream);
      }
      isMore = (desk && desk->flush(nowMs)) || isMore || !out.answers.empty();
    }
    // Only now is it known which asks have left: lines that are down end what went over them.
    if (nowMs - warmedMs > boundMs / 20) {
      warmedMs = nowMs;
      for (const auto& at : edge.shields()) {
        if (!post->isUp(at)) edge.lost(at, nowMs);
        post->warm(at);
      }
      if (desk) desk->warm();
      post->prune(nowMs);
    }
    if (nowMs - toldMs > boundMs / 2) {
      toldMs = nowMs;
      std::string list;
      for (auto [code, count] : edge.refusals())
        list += (list.empty() ? "" : ", ") + std::to_string(code) + " " + std::to_string(count) + " times";
      if (!list.empty()) LOG(INFO) << "edge: Own answers: " << list << ".";
      if (shield) figureLog.tell(edge.figures(), shield->figures());
      overloadLog.tell(face->figures(), writing.shed());
    }
    writing.flush(nowMs);
    memoryReturn.observe(memory->usedBytes());
    auto wasRefused = std::exchange(refusalsSeen, memory->refusals()) != memory->refusals();
    cache->leaveRoom(*memory, wasRefused ? limits.bodyBytes : limits.roomBytes);
    if (wasRefused) face->relieve();
    if (program.reread(nowMs)) LOG(INFO) << "edge: Settings have changed; they take effect at the next start.";
    if (op::Program::isStopping() && !stopping) {
      // Not ready from now on; whoever still comes is served while the platform looks elsewhere.
      LOG(INFO) << "edge: Emptying.";
      if (shield) shield->empty();  // other nodes ask elsewhere; its own callers are served on
      stopping = stopTimesOf(nowMs, graceMs);
      edge.turnAwayFrom(stopping->drainMs);
      edge.endBy(stopping->lastAnswerMs);
    }
    if (!stopping) continue;
    // The platform has found it not ready by now, or ends it soon: nobody new is taken.
    if (!isDraining && nowMs >= stopping->drainMs) {
      isDraining = true;
      face->drain(boundMs / 4);
    }
    // What the process still holds when it ends is lost. Not sooner: the ends of idle connections would wait behind it.
    if (nowMs >= stopping->earliestEndMs && linkShare) linkShare->lift();
    auto isDone = edge.open() == 0 && writing.isEmpty() && (!desk || desk->isIdle());
    if (nowMs < stopping->latestEndMs && (nowMs < stopping->earliestEndMs || !isDone)) continue;
    // One more round answers what the face has handed over; what it still reads it refuses itself.
    if (isRefusing) break;
    isRefusing = true;
    face->refuse();
  }
  LOG(INFO) << "edge: Stopped.";
  return 0;
}

}  // namespace dykestage::program
