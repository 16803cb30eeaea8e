// edge: takes callers' requests, answers from its cache or asks a shield.
#include "program/edge.hpp"

#include <glog/logging.h>
#include <poll.h>

#include <variant>

#include "agent/link.hpp"
#include "caller/edge.hpp"
#include "caller/record.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"

namespace dykestage::program {

namespace {
struct Page {
  caller::Request request;
};
using Input = std::variant<caller::Request, Page, neighbour::Letter, caller::HeldFrame>;

auto statusPage(const caller::Edge& edge, bool isReady) -> std::string {
  auto f = edge.figures();
  op::StatusPage page("edge");
  auto number = [&](const char* key, uint64_t value) { page.number(key, static_cast<double>(value)); };
  page.flag("ready", isReady);
  page.revision(edge.revision());
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
  return page.take() + "\n";
}
}  // namespace

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

  neighbour::Inbox<Input> inbox(16000);
  std::string reason;
  neighbour::Post::Props postProps{listen.empty() ? address : listen, address};
  postProps.maxBytes = static_cast<size_t>(bodyBytes) * 2 + (1 << 20);
  auto post = neighbour::Post::open(postProps, [&](neighbour::Letter l) { inbox.push(std::move(l)); }, reason);
  if (!post) {
    LOG(ERROR) << "edge: " << reason;
    return 3;
  }
  props.life = agent::freshIncarnation();
  caller::Edge edge(props);
  agent::Link link({props.name, {"edge", props.site, post->address(), "", props.life}, agentAt, boundMs},
                   [&](caller::HeldFrame f) { inbox.push(std::move(f)); });
  auto open = [&](const std::string& at, int count, auto wrap) {
    auto [ip, port] = op::splitAddress(at);
    return std::make_unique<caller::Face>(caller::Face::Props{ip, port, count, static_cast<size_t>(bodyBytes)}, [&inbox, wrap](caller::Request r) {
      auto stream = r.stream;
      auto method = r.method;
      if (!inbox.push(wrap(std::move(r)))) stream->answer(caller::codeAnswer(caller::kEdgeFull, 1), method, false);
    });
  };
  auto face = open(http, static_cast<int>(threads), [](caller::Request r) { return Input(std::move(r)); });
  auto pages = open(status, 1, [](caller::Request r) { return Input(Page{std::move(r)}); });
  LOG(INFO) << "edge: " << props.name << " serves port " << face->port() << ", status at port " << pages->port() << ".";

  std::vector<std::shared_ptr<caller::Stream>> writing;
  auto stopAtMs = int64_t{-1};
  int64_t warmedMs = 0;
  for (;;) {
    std::vector<pollfd> fds = {{inbox.fd(), POLLIN, 0}};
    for (auto& stream : writing) fds.push_back({stream->fd(), POLLOUT, 0});
    ::poll(fds.data(), fds.size(), 5);
    auto nowMs = neighbour::steadyMs();
    auto isReady = edge.isCurrent(nowMs) && stopAtMs < 0;
    for (auto& input : inbox.take()) {
      if (auto* request = std::get_if<caller::Request>(&input)) {
        if (recorder && !recorder->add({nowMs - recordSinceMs, request->method, caller::header(request->headers, "host"), request->target,
                                        static_cast<int64_t>(request->body.size()), caller::has(request->headers, "idempotency-key")})) {
          LOG(INFO) << "edge: The record ends here.";
          recorder.reset();
        }
        edge.take(std::move(*request), nowMs);
      }
      if (auto* letter = std::get_if<neighbour::Letter>(&input)) {
        Reader r(letter->body);
        auto reply = r.get<neighbour::Reply>();
        if (letter->kind == neighbour::kReply && r.done()) edge.takeReply(letter->from, reply, nowMs);
      }
      if (auto* held = std::get_if<caller::HeldFrame>(&input)) {
        edge.takeFrame(*held, nowMs);
        link.tell({edge.revision(), {}, edge.samples()});
      }
      if (auto* page = std::get_if<Page>(&input)) {
        auto& r = page->request;
        auto refusal = isReady ? caller::kOk : stopAtMs >= 0 ? caller::kEmptying : caller::kNotCurrent;
        auto answer = caller::pageAnswer(r.target, refusal, [&] { return statusPage(edge, isReady); });
        r.stream->answer(answer, r.method, r.keep);
        writing.push_back(r.stream);
      }
    }
    edge.tick(nowMs);
    // An ask that did not leave is a new input, which may ask elsewhere.
    for (auto out = edge.output(); !out.asks.empty() || !out.answers.empty(); out = edge.output()) {
      for (auto& a : out.asks)
        if (!post->send(a.to, neighbour::kAsk, Writer().put(a.ask).take())) edge.unsent(a.ask.id, nowMs);
      for (auto& a : out.answers) {
        a.stream->answer(caller::Edge::atLast(a, neighbour::steadyMs()), a.method, a.keep && stopAtMs < 0);
        writing.push_back(a.stream);
      }
    }
    // Only now is it known which asks have left: lines that are down end what went over them.
    if (nowMs - warmedMs > boundMs / 20) {
      warmedMs = nowMs;
      for (const auto& at : edge.shields()) {
        if (!post->isUp(at)) edge.lost(at, nowMs);
        post->warm(at);
      }
      post->prune(nowMs);
    }
    std::erase_if(writing, [](auto& stream) { return stream->flush(); });
    if (program.reread(nowMs)) LOG(INFO) << "edge: Settings have changed; they take effect at the next start.";
    if (op::Program::isStopping() && stopAtMs < 0) {
      // Not ready from now on; whoever still comes is served while the platform looks elsewhere.
      LOG(INFO) << "edge: Emptying.";
      stopAtMs = nowMs + 2 * boundMs;
    }
    if (stopAtMs >= 0 && (nowMs >= stopAtMs + boundMs / 2 || (nowMs >= stopAtMs && edge.open() == 0 && writing.empty()))) break;
  }
  LOG(INFO) << "edge: Stopped.";
  return 0;
}

}  // namespace dykestage::program
