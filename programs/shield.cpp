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

/// What the settings say.
struct Settings {
  upstream::Shield::Props props;
  std::string status;           // addresses: of its status page,
  std::string address, listen;  // towards other processes, as they are told and as it listens,
  std::string agent;            // and of the agent beside it
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
  program.ready();
  props.staleMs = props.boundMs * 3 / 4;
  props.probeMs = props.boundMs / 2;
  props.easeMs = props.boundMs * 5 / 2;
  return settings;
}
}  // namespace

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, "shield: passes requests to upstreams");
  auto settings = readSettings(program);
  auto& props = settings.props;
  const auto boundMs = props.boundMs;

  neighbour::Inbox<Input> inbox(16000);
  std::string reason;
  neighbour::Post::Props postProps{settings.listen.empty() ? settings.address : settings.listen, settings.address};
  postProps.maxBytes = props.answerBytes * 2 + (1 << 20);
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
      {props.name, {"shield", props.site, post->address(), "", props.life}, settings.agent, boundMs},
      [&](caller::HeldFrame f) { inbox.push(std::move(f)); }, [&](neighbour::Letter l) { inbox.push(std::move(l)); });
  auto [ip, port] = op::splitAddress(settings.status);
  auto pages = std::make_unique<caller::Face>(
      caller::Face::Props{ip, port, 1, caller::kPageBodyBytes, nullptr, 0, nullptr, caller::kPageConnections},
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
