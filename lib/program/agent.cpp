// agent: stands beside one proxy, keeps the link to the control plane and feeds the proxy over loopback.
#include "program/agent.hpp"

#include <glog/logging.h>
#include <poll.h>

#include "agent/feed.hpp"
#include "agent/link.hpp"
#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "caller/pending_answers.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"

namespace dykestage::program {

namespace {
using neighbour::Letter;
using neighbour::Post;

constexpr size_t kNeighbours = 3;
constexpr size_t kMessagesQueued = 4096, kPagesQueued = 64;

struct Settings {
  std::string name, address, listen, loopback, status;
  std::vector<std::string> seeds;
  int64_t boundMs = 2000, graceMs = 0;
};

auto readSettings(op::Program& program) -> Settings {
  auto& s = program.settings();
  Settings settings;
  s.text("name", settings.name, true);
  program.address("address", settings.address);
  program.address("listen", settings.listen, false);
  program.address("loopback", settings.loopback);
  program.address("status", settings.status);
  program.addresses("seeds", settings.seeds, 1);
  s.integer("boundMs", 400, 60000, settings.boundMs);
  s.integer("graceMs", 0, 600000, settings.graceMs);
  program.ready();
  return settings;
}

struct Neighbour {
  std::string name, address;
};

// The few agents that this one knows: it watches them, and asks them when no registry answers.
auto neighboursOf(const core::Frame& frame, const std::string& name) -> std::vector<Neighbour> {
  std::vector<std::string> names;
  for (const auto& [other, member] : frame.members)
    if (other != name && !member.agent.empty()) names.push_back(other);
  auto order = neighbour::rendezvous(name, names);
  if (order.size() > kNeighbours) order.resize(kNeighbours);
  std::vector<Neighbour> list;
  for (const auto& other : order)
    list.push_back({other, frame.members.at(other).agent});
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

/// An agent's event loop: messages, status requests and time go in; what they lead to leaves at once.
class AgentLoop {
 public:
  AgentLoop(op::Program& program, Settings settings)
      : program_(program),
        settings_(std::move(settings)),
        follower_(settings_.name, settings_.boundMs / 5, agent::freshIncarnation()),
        toProxy_(settings_.boundMs / 10),
        toNeighbours_(settings_.boundMs / 10),
        order_(registriesOf(settings_.name, {}, settings_.seeds)) {}

  /// Opens all addresses; false with a line in the log when one can't be used.
  auto open() -> bool;
  /// Runs until the process is to stop.
  auto run() -> void;

 private:
  auto wait() -> void;
  auto mustStop(int64_t nowMs) -> bool;
  auto answerPages(int64_t nowMs) -> void;
  auto onMessage(const Letter& message, int64_t nowMs) -> void;
  auto onFeed(const Letter& message, int64_t nowMs) -> void;
  auto onClaims(const Letter& message) -> void;
  auto onPoll(const Letter& message, int64_t nowMs) -> void;
  auto publish(int64_t nowMs) -> void;
  auto follow(int64_t nowMs) -> void;
  auto ask(const std::vector<std::string>& targets, int64_t nowMs) -> void;
  auto watchNeighbours(const std::vector<Neighbour>& neighbours, int64_t nowMs) -> void;
  auto takeSettings(int64_t nowMs) -> void;

  op::Program& program_;
  Settings settings_;
  neighbour::Inbox<Letter> inbox_{kMessagesQueued};
  neighbour::Inbox<caller::Request> pages_{kPagesQueued};
  std::unique_ptr<Post> outer_, inner_;  // to other machines, and to the proxy over loopback
  std::unique_ptr<caller::Face> face_;
  caller::PendingAnswers writing_;
  agent::Follower follower_;
  agent::Giver toProxy_, toNeighbours_;
  agent::Told told_;
  std::map<std::string, int64_t> pongMs_;  // watched agents, by address
  std::vector<std::string> registries_;    // that there are now
  std::vector<std::string> order_;         // in which they are asked
  std::string target_, proxyAt_;
  int64_t proxyMs_ = -1, pingedMs_ = 0, stopAtMs_ = -1;
};

auto AgentLoop::open() -> bool {
  std::string reason;
  auto take = [this](Letter message) { inbox_.push(std::move(message)); };
  Post::Props outer{settings_.listen.empty() ? settings_.address : settings_.listen, settings_.address};
  outer.silenceMs = settings_.boundMs / 2;
  outer_ = Post::open(outer, take, reason);
  if (outer_) inner_ = Post::open({settings_.loopback}, take, reason);
  if (!inner_) {
    LOG(ERROR) << "agent: " << reason;
    return false;
  }
  LOG(INFO) << "agent: " << settings_.name << " at " << outer_->address() << ", feeding at " << inner_->address()
            << ".";
  auto [ip, port] = op::splitAddress(settings_.status);
  face_ = std::make_unique<caller::Face>(
      caller::Face::Props{ip, port, 1, caller::kPageBodyBytes, nullptr, 0, nullptr, caller::kPageConnections},
      [this](caller::Request request) {
        auto stream = request.stream;
        auto method = request.method;
        if (!pages_.push(std::move(request))) stream->answer(caller::codeAnswer(caller::kEdgeFull, 1), method, false);
      });
  return true;
}

auto AgentLoop::run() -> void {
  for (;;) {
    wait();
    auto nowMs = neighbour::steadyMs();
    if (mustStop(nowMs)) return;
    answerPages(nowMs);
    for (const auto& message : inbox_.take())
      onMessage(message, nowMs);
    publish(nowMs);
    follow(nowMs);
    outer_->prune(nowMs);
    inner_->prune(nowMs);
    takeSettings(nowMs);
  }
}

auto AgentLoop::wait() -> void {
  std::vector<pollfd> fds = {{inbox_.fd(), POLLIN, 0}, {pages_.fd(), POLLIN, 0}};
  if (stopAtMs_ < 0) fds.push_back({op::Program::stopFd(), POLLIN, 0});
  writing_.pollFor(fds);
  ::poll(fds.data(), fds.size(), static_cast<int>(settings_.boundMs / 40));
}

// A proxy that empties at the same time is fed until it is gone.
auto AgentLoop::mustStop(int64_t nowMs) -> bool {
  if (op::Program::isStopping() && stopAtMs_ < 0) stopAtMs_ = nowMs + settings_.graceMs * 9 / 10;
  return stopAtMs_ >= 0 && (nowMs >= stopAtMs_ || nowMs - proxyMs_ > settings_.boundMs / 2);
}

auto AgentLoop::answerPages(int64_t nowMs) -> void {
  for (auto& request : pages_.take()) {
    const auto& held = follower_.held();
    auto isReady = held.isCurrent(nowMs, settings_.boundMs * 3 / 4);
    auto refusal = isReady ? caller::kOk : caller::kNotCurrent;
    auto answer =
        caller::pageAnswer(request.target, refusal, [&] { return statusPage(held, target_, nowMs, isReady); });
    request.stream->answer(answer, request.method, request.keep);
    writing_.add(request.stream);
  }
  writing_.flush(nowMs);
}

auto AgentLoop::onMessage(const Letter& message, int64_t nowMs) -> void {
  outer_->noteHeard(message.from);
  switch (message.kind) {
    case neighbour::kFeed:
      return onFeed(message, nowMs);
    case neighbour::kPoll:
      return onPoll(message, nowMs);
    case neighbour::kClaims:
      return onClaims(message);
    case neighbour::kClaimed:
      if (!proxyAt_.empty()) inner_->sendWhenUp(proxyAt_, message.kind, message.body);
      return;
    case neighbour::kPing:
      outer_->sendWhenUp(message.from, neighbour::kPong, "");
      return;
    case neighbour::kPong:
      pongMs_[message.from] = nowMs;
      return;
    default:
      return;
  }
}

auto AgentLoop::onFeed(const Letter& message, int64_t nowMs) -> void {
  Reader reader(message.body);
  auto feed = reader.get<neighbour::Feed>();
  if (reader.done()) follower_.take(feed, nowMs);
  if (follower_.registries() == registries_) return;
  registries_ = follower_.registries();
  order_ = registriesOf(settings_.name, registries_, settings_.seeds);
}

// The proxy's claims of keys go on to a registry, a different one with each attempt.
auto AgentLoop::onClaims(const Letter& message) -> void {
  Reader reader(message.body);
  auto claims = reader.get<neighbour::Claims>();
  if (!reader.done() || claims.shield != settings_.name) return;
  inner_->warm(message.from);
  proxyAt_ = message.from;
  outer_->send(follower_.registryFor(order_, claims.attempt), message.kind, message.body);
}

auto AgentLoop::onPoll(const Letter& message, int64_t nowMs) -> void {
  Reader reader(message.body);
  auto poll = reader.get<neighbour::Poll>();
  if (!reader.done()) return;
  (poll.isNeighbour ? outer_ : inner_)->warm(message.from);
  if (poll.isNeighbour) return toNeighbours_.take(message.from, std::move(poll), nowMs);
  if (poll.name != settings_.name) return;
  // The proxy says who it is; the agent speaks for it, and only while it is there.
  poll.member.agent = outer_->address();
  told_.revision = poll.revision;
  told_.probes = poll.probes;
  told_.samples = poll.samples;
  proxyMs_ = nowMs;
  follower_.be(poll.member);
  toProxy_.take(message.from, std::move(poll), nowMs);
}

auto AgentLoop::publish(int64_t nowMs) -> void {
  const auto& held = follower_.held();
  for (auto& [to, feed] : toProxy_.give(*held.frame, held.asOfMs, nowMs))
    inner_->sendWhenUp(to, neighbour::kFeed, Writer().put(feed).take());
  for (auto& [to, feed] : toNeighbours_.give(*held.frame, held.asOfMs, nowMs)) {
    feed.registries = registries_;
    outer_->sendWhenUp(to, neighbour::kFeed, Writer().put(feed).take());
  }
}

auto AgentLoop::follow(int64_t nowMs) -> void {
  if (proxyMs_ < 0 || nowMs - proxyMs_ >= settings_.boundMs) return;
  auto neighbours = neighboursOf(*follower_.held().frame, settings_.name);
  auto targets = order_;
  for (const auto& one : neighbours)
    targets.push_back(one.address);
  if (nowMs - pingedMs_ >= settings_.boundMs / 4) watchNeighbours(neighbours, nowMs);
  ask(targets, nowMs);
  for (const auto& at : targets)
    outer_->warm(at);
}

auto AgentLoop::ask(const std::vector<std::string>& targets, int64_t nowMs) -> void {
  auto poll = follower_.tick(targets, order_.size(), told_, nowMs);
  if (!poll) {
    if (follower_.isAsking() && !outer_->isUp(follower_.target())) follower_.lost(nowMs);
    return;
  }
  auto& [to, question] = *poll;
  question.isNeighbour = std::find(order_.begin(), order_.end(), to) == order_.end();
  if (to != target_) LOG(INFO) << "agent: Asking " << to << ".";
  target_ = to;
  if (!outer_->send(to, neighbour::kPoll, Writer().put(question).take())) follower_.lost(nowMs);
}

auto AgentLoop::watchNeighbours(const std::vector<Neighbour>& neighbours, int64_t nowMs) -> void {
  pingedMs_ = nowMs;
  std::map<std::string, int64_t> watched;
  told_.silent.clear();
  for (const auto& [name, at] : neighbours) {
    auto seen = pongMs_.find(at);
    watched[at] = seen == pongMs_.end() ? nowMs : seen->second;
    // Whoever is cut off itself tells nothing of others.
    auto isSilent = nowMs - watched[at] > settings_.boundMs;
    if (isSilent && follower_.held().isCurrent(nowMs, settings_.boundMs / 2)) told_.silent.push_back(name);
    outer_->send(at, neighbour::kPing, "");
  }
  pongMs_ = std::move(watched);
}

auto AgentLoop::takeSettings(int64_t nowMs) -> void {
  if (!program_.reread(nowMs)) return;
  std::vector<std::string> seeds;
  program_.addresses("seeds", seeds, 1);
  if (!program_.isWell() || seeds == settings_.seeds) return;
  LOG(INFO) << "agent: " << seeds.size() << " seeds are new.";
  settings_.seeds = std::move(seeds);
  order_ = registriesOf(settings_.name, registries_, settings_.seeds);
}
}  // namespace

auto runAgent(op::Program& program) -> int {
  AgentLoop loop(program, readSettings(program));
  if (!loop.open()) return 3;
  loop.run();
  LOG(INFO) << "agent: Stopped.";
  return 0;
}

}  // namespace dykestage::program
