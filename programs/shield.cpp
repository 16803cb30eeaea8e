// shield: the only program that touches upstreams. Shared cache, origin rate, extra tries.
#include <glog/logging.h>
#include <poll.h>

#include <variant>

#include "agent/link.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"
#include "operator/program.hpp"
#include "upstream/desk.hpp"
#include "upstream/shield.hpp"

using namespace dykestage;

namespace {
using Input = std::variant<caller::Request, neighbour::Letter, caller::HeldFrame>;

auto statusPage(const upstream::Shield& shield, bool isReady) -> std::string {
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
  return page.take() + "\n";
}
}  // namespace

// NOLINTNEXTLINE(readability-function-size): its loop is that of runEdge, split with it in issue 17
auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, "shield: passes requests to upstreams");
  auto& s = program.settings();
  upstream::Shield::Props props;
  std::string status, address, listen, agentAt;
  int64_t boundMs = 2000, requests = 4000, cacheBytes = 256 << 20, answerBytes = 8 << 20, keyMs = 600000, keys = 100000,
          keyBytes = 64 << 20;
  s.text("name", props.name, true);
  s.text("site", props.site, true);
  program.address("status", status);
  program.address("address", address);
  program.address("listen", listen, false);
  program.address("agent", agentAt);
  s.integer("boundMs", 400, 60000, boundMs);
  s.integer("requests", 1, 1000000, requests);
  s.integer("cacheBytes", 1 << 20, 1LL << 40, cacheBytes);
  s.integer("answerBytes", 1 << 10, 64 << 20, answerBytes);
  s.integer("keyMs", 1000, 86400000, keyMs);
  s.integer("keys", 1, 10000000, keys);
  s.integer("keyBytes", 1 << 10, 1LL << 40, keyBytes);
  program.ready();
  props.boundMs = boundMs;
  props.staleMs = boundMs * 3 / 4;
  props.probeMs = boundMs / 2;
  props.easeMs = boundMs * 5 / 2;
  props.requests = static_cast<size_t>(requests);
  props.cacheBytes = static_cast<size_t>(cacheBytes);
  props.answerBytes = static_cast<size_t>(answerBytes);
  props.keyMs = keyMs;
  props.keys = static_cast<size_t>(keys);
  props.keyBytes = static_cast<size_t>(keyBytes);

  neighbour::Inbox<Input> inbox(16000);
  std::string reason;
  neighbour::Post::Props postProps{listen.empty() ? address : listen, address};
  postProps.maxBytes = static_cast<size_t>(answerBytes) * 2 + (1 << 20);
  auto post = neighbour::Post::open(
      postProps, [&](neighbour::Letter l) { inbox.push(std::move(l)); }, reason);
  if (!post) {
    LOG(ERROR) << "shield: " << reason;
    return 3;
  }
  props.address = post->address();
  props.life = agent::freshIncarnation();
  upstream::Shield shield(props);
  upstream::Fetcher fetcher;
  agent::Link link(
      {props.name, {"shield", props.site, post->address(), "", props.life}, agentAt, boundMs},
      [&](caller::HeldFrame f) { inbox.push(std::move(f)); }, [&](neighbour::Letter l) { inbox.push(std::move(l)); });
  auto [ip, port] = op::splitAddress(status);
  auto pages = std::make_unique<caller::Face>(caller::Face::Props{ip, port, 1, 1 << 16},
                                              [&](caller::Request r) { inbox.push(std::move(r)); });
  LOG(INFO) << "shield: " << props.name << " at " << post->address() << ", status at port " << pages->port() << ".";

  upstream::Desk desk(shield, fetcher, *post, link, {"", boundMs, {}, {}});
  std::vector<std::shared_ptr<caller::Stream>> writing;
  auto stopAtMs = int64_t{-1};
  int64_t warmedMs = 0;
  for (;;) {
    std::vector<pollfd> fds = {{inbox.fd(), POLLIN, 0}};
    for (auto& stream : writing)
      fds.push_back({stream->fd(), POLLOUT, 0});
    auto ended = fetcher.run(fds, 5);
    auto nowMs = neighbour::steadyMs();
    for (auto& fetched : ended)
      shield.takeFetched(fetched, nowMs);
    for (auto& input : inbox.take()) {
      if (auto* letter = std::get_if<neighbour::Letter>(&input)) desk.take(*letter, nowMs);
      if (auto* held = std::get_if<caller::HeldFrame>(&input)) {
        shield.takeFrame(*held, nowMs);
        link.tell({shield.revision(), shield.probes(), {}});
      }
      if (auto* request = std::get_if<caller::Request>(&input)) {
        auto isReady = shield.isReady(nowMs);
        auto refusal = isReady ? caller::kOk : stopAtMs >= 0 ? caller::kEmptying : caller::kNotCurrent;
        auto answer = caller::pageAnswer(request->target, refusal, [&] { return statusPage(shield, isReady); });
        request->stream->answer(answer, request->method, request->keep);
        writing.push_back(request->stream);
      }
    }
    shield.tick(nowMs);
    desk.flush(nowMs);
    std::erase_if(writing, [](auto& stream) { return stream->flush(); });
    if (nowMs - warmedMs > boundMs / 20) {
      warmedMs = nowMs;
      desk.warm();
      post->prune(nowMs);
    }
    if (op::Program::isStopping() && stopAtMs < 0) {
      LOG(INFO) << "shield: Emptying.";
      shield.empty();
      stopAtMs = nowMs + boundMs / 2;
    }
    // What is under way ends within its deadline; then the rest of the grace is not needed.
    if (stopAtMs >= 0 && (nowMs >= stopAtMs + 2 * boundMs || (nowMs >= stopAtMs && desk.isIdle()))) break;
  }
  LOG(INFO) << "shield: Stopped.";
  return 0;
}
