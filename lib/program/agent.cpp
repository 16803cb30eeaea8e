// agent: stands beside one proxy, keeps the link to the control plane and feeds the proxy over loopback.
#include "program/agent.hpp"

#include <glog/logging.h>
#include <poll.h>

#include "agent/feed.hpp"
#include "agent/link.hpp"
#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"

namespace dykestage::program {

namespace {
constexpr size_t kNeighbours = 3;

// The few agents that this one knows: it watches them, and asks them when no registry answers. Names, addresses.
auto neighboursOf(const core::Frame& frame, const std::string& name)
    -> std::vector<std::pair<std::string, std::string>> {
  std::vector<std::string> names;
  for (const auto& [other, member] : frame.members)
    if (other != name && !member.agent.empty()) names.push_back(other);
  auto order = neighbour::rendezvous(name, names);
  if (order.size() > kNeighbours) order.resize(kNeighbours);
  std::vector<std::pair<std::string, std::string>> list;
  for (const auto& other : order)
    list.emplace_back(other, frame.members.at(other).agent);
  return list;
}

// The registries to ask: those that there are now as far as known, then those that the settings name.
auto registriesOf(const std::string& name, const std::vector<std::string>& known, const std::vector<std::string>& seeds)
    -> std::vector<std::string> {
  auto order = neighbour::rendezvous(name, known);
  for (const auto& seed : neighbour::rendezvous(name, seeds))
    if (std::find(known.begin(), known.end(), seed) == known.end()) order.push_back(seed);
  return order;
}

auto statusPage(const caller::HeldFrame& held, const std::string& target, int64_t nowMs, bool isReady) -> std::string {
  op::StatusPage page("agent");
  page.flag("ready", isReady);
  page.text("asks", target);
  page.number("ageMs", static_cast<double>(held.asOfMs < 0 ? -1 : nowMs - held.asOfMs));
  page.revision(held.frame->revision);
  return page.take() + "\n";
}
}  // namespace

// NOLINTNEXTLINE(readability-function-size): split with its module in issue 17
auto runAgent(op::Program& program) -> int {
  auto& s = program.settings();
  std::string name, address, listen, loopback, status;
  std::vector<std::string> seeds;
  int64_t boundMs = 2000, graceMs = 0;
  s.text("name", name, true);
  program.address("address", address);
  program.address("listen", listen, false);
  program.address("loopback", loopback);
  program.address("status", status);
  program.addresses("seeds", seeds, 1);
  s.integer("boundMs", 400, 60000, boundMs);
  s.integer("graceMs", 0, 600000, graceMs);
  program.ready();

  neighbour::Inbox<neighbour::Letter> inbox(4096);
  std::string reason;
  auto take = [&](neighbour::Letter l) { inbox.push(std::move(l)); };
  neighbour::Post::Props outerProps{listen.empty() ? address : listen, address};
  outerProps.silenceMs = boundMs / 2;
  auto outer = neighbour::Post::open(outerProps, take, reason);
  auto inner = outer ? neighbour::Post::open({loopback}, take, reason) : nullptr;
  if (!inner) {
    LOG(ERROR) << "agent: " << reason;
    return 3;
  }
  LOG(INFO) << "agent: " << name << " at " << outer->address() << ", feeding at " << inner->address() << ".";
  neighbour::Inbox<caller::Request> pages(64);
  auto [ip, port] = op::splitAddress(status);
  caller::Face face({ip, port, 1, 1 << 16}, [&](caller::Request r) {
    auto stream = r.stream;
    auto method = r.method;
    if (!pages.push(std::move(r))) stream->answer(caller::codeAnswer(caller::kEdgeFull, 1), method, false);
  });
  std::vector<std::shared_ptr<caller::Stream>> writing;
  agent::Follower follower(name, boundMs / 5, agent::freshIncarnation());
  agent::Giver toProxy(boundMs / 10), toNeighbours(boundMs / 10);
  core::Member member;
  agent::Told told;
  int64_t proxyMs = -1, pingedMs = 0;
  std::map<std::string, int64_t> pongMs;  // watched agents, by address
  std::vector<std::string> registries;    // that there are now
  auto order = registriesOf(name, registries, seeds);
  std::string target, proxyAt;
  auto stopAtMs = int64_t{-1};
  for (;;) {
    std::vector<pollfd> fds = {{inbox.fd(), POLLIN, 0}, {pages.fd(), POLLIN, 0}};
    if (stopAtMs < 0) fds.push_back({op::Program::stopFd(), POLLIN, 0});
    for (auto& stream : writing)
      fds.push_back({stream->fd(), POLLOUT, 0});
    ::poll(fds.data(), fds.size(), static_cast<int>(boundMs / 40));
    auto nowMs = neighbour::steadyMs();
    // A proxy that empties at the same time is fed until it is gone.
    if (op::Program::isStopping() && stopAtMs < 0) stopAtMs = nowMs + graceMs * 9 / 10;
    if (stopAtMs >= 0 && (nowMs >= stopAtMs || nowMs - proxyMs > boundMs / 2)) break;
    for (auto& r : pages.take()) {
      const auto& held = follower.held();
      auto isReady = held.isCurrent(nowMs, boundMs * 3 / 4);
      auto refusal = isReady ? caller::kOk : caller::kNotCurrent;
      auto answer = caller::pageAnswer(r.target, refusal, [&] { return statusPage(held, target, nowMs, isReady); });
      r.stream->answer(answer, r.method, r.keep);
      writing.push_back(r.stream);
    }
    std::erase_if(writing, [](auto& stream) { return stream->flush(); });
    for (auto& letter : inbox.take()) {
      outer->noteHeard(letter.from);
      Reader r(letter.body);
      if (letter.kind == neighbour::kFeed) {
        auto feed = r.get<neighbour::Feed>();
        if (r.done()) follower.take(feed, nowMs);
        if (follower.registries() == registries) continue;
        registries = follower.registries();
        order = registriesOf(name, registries, seeds);
      } else if (letter.kind == neighbour::kPing) {
        outer->warm(letter.from);
        outer->sendWhenUp(letter.from, neighbour::kPong, "");
      } else if (letter.kind == neighbour::kPong) {
        pongMs[letter.from] = nowMs;
      } else if (letter.kind == neighbour::kClaims) {
        auto claims = r.get<neighbour::Claims>();
        if (!r.done() || claims.shield != name) continue;
        inner->warm(letter.from);
        proxyAt = letter.from;
        outer->send(follower.registryFor(order, claims.attempt), letter.kind, letter.body);
      } else if (letter.kind == neighbour::kClaimed) {
        if (!proxyAt.empty()) inner->sendWhenUp(proxyAt, letter.kind, letter.body);
      } else if (letter.kind == neighbour::kPoll) {
        auto poll = r.get<neighbour::Poll>();
        if (!r.done()) continue;
        (poll.isNeighbour ? outer : inner)->warm(letter.from);
        if (poll.isNeighbour) {
          toNeighbours.take(letter.from, std::move(poll), nowMs);
          continue;
        }
        if (poll.name != name) continue;
        // The proxy says who it is; the agent speaks for it, and only while it is there.
        poll.member.agent = outer->address();
        member = poll.member;
        told.revision = poll.revision;
        told.probes = poll.probes;
        told.samples = poll.samples;
        proxyMs = nowMs;
        follower.be(member);
        toProxy.take(letter.from, std::move(poll), nowMs);
      }
    }
    const auto& held = follower.held();
    for (auto& [to, feed] : toProxy.give(*held.frame, held.asOfMs, nowMs))
      inner->sendWhenUp(to, neighbour::kFeed, Writer().put(feed).take());
    for (auto& [to, feed] : toNeighbours.give(*held.frame, held.asOfMs, nowMs)) {
      feed.registries = registries;
      outer->sendWhenUp(to, neighbour::kFeed, Writer().put(feed).take());
    }
    if (proxyMs >= 0 && nowMs - proxyMs < boundMs) {
      auto targets = order;
      auto neighbours = neighboursOf(*held.frame, name);
      for (auto& [other, at] : neighbours)
        targets.push_back(at);
      if (nowMs - pingedMs >= boundMs / 4) {
        pingedMs = nowMs;
        std::map<std::string, int64_t> watched;
        told.silent.clear();
        for (auto& [other, at] : neighbours) {
          auto seen = pongMs.find(at);
          watched[at] = seen == pongMs.end() ? nowMs : seen->second;
          // Whoever is cut off itself tells nothing of others.
          if (nowMs - watched[at] > boundMs && held.isCurrent(nowMs, boundMs / 2)) told.silent.push_back(other);
          outer->send(at, neighbour::kPing, "");
        }
        pongMs = std::move(watched);
      }
      if (auto poll = follower.tick(targets, order.size(), told, nowMs)) {
        poll->second.isNeighbour = std::find(order.begin(), order.end(), poll->first) == order.end();
        if (poll->first != target) LOG(INFO) << "agent: Asking " << poll->first << ".";
        target = poll->first;
        if (!outer->send(poll->first, neighbour::kPoll, Writer().put(poll->second).take())) follower.lost(nowMs);
      } else if (follower.isAsking() && !outer->isUp(follower.target())) {
        follower.lost(nowMs);
      }
      for (const auto& at : targets)
        outer->warm(at);
    }
    outer->prune(nowMs);
    inner->prune(nowMs);
    if (program.reread(nowMs)) {
      std::vector<std::string> fresh;
      program.addresses("seeds", fresh, 1);
      if (program.isWell() && fresh != seeds) {
        LOG(INFO) << "agent: " << fresh.size() << " seeds are new.";
        seeds = std::move(fresh);
        order = registriesOf(name, registries, seeds);
      }
    }
  }
  LOG(INFO) << "agent: Stopped.";
  return 0;
}

}  // namespace dykestage::program
