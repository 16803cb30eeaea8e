#include "agent/link.hpp"

#include <glog/logging.h>
#include <poll.h>

#include <random>

namespace dykestage::agent {

Link::Link(Props props, std::function<void(caller::HeldFrame)> take, std::function<void(neighbour::Letter)> takeLetter)
    : props_(std::move(props)), take_(std::move(take)), takeLetter_(std::move(takeLetter)) {
  thread_ = std::thread([this] { run(); });
}

Link::~Link() {
  isStopping_ = true;
  thread_.join();
}

auto Link::tell(Told told) -> void {
  told_.push(std::move(told));
}

auto Link::pass(neighbour::Letter letter) -> void {
  passed_.push(std::move(letter));
}

auto Link::run() -> void {
  std::string reason;
  auto post = neighbour::Post::open(
      {"127.0.0.1:0"}, [this](neighbour::Letter l) { letters_.push(std::move(l)); }, reason);
  if (!post) {
    LOG(ERROR) << "link: " << reason;
    return;
  }
  // A question is held a tenth of the bound; a fifth without an answer means that it is lost.
  Follower follower(props_.name, props_.boundMs / 5, freshIncarnation());
  follower.be(props_.member);
  Told told;
  while (!isStopping_) {
    pollfd fds[] = {{letters_.fd(), POLLIN, 0}, {told_.fd(), POLLIN, 0}, {passed_.fd(), POLLIN, 0}};
    ::poll(fds, 3, static_cast<int>(props_.boundMs / 40));
    for (auto& one : told_.take())
      told = std::move(one);
    auto nowMs = neighbour::steadyMs();
    for (auto& letter : letters_.take()) {
      if (letter.kind != neighbour::kFeed) {
        if (takeLetter_) takeLetter_(std::move(letter));
        continue;
      }
      Reader r(letter.body);
      auto feed = r.get<neighbour::Feed>();
      if (r.done() && follower.take(feed, nowMs)) take_(follower.held());
    }
    for (auto& letter : passed_.take()) {
      // One that surely did not leave comes back.
      if (!post->send(props_.agent, letter.kind, letter.body) && takeLetter_) takeLetter_(std::move(letter));
    }
    auto poll = follower.tick({props_.agent}, 1, told, nowMs);
    if (poll ? !post->send(poll->first, neighbour::kPoll, Writer().put(poll->second).take())
             : follower.isAsking() && !post->isUp(props_.agent))
      follower.lost(nowMs);
  }
}

auto freshIncarnation() -> uint64_t {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 31 ^ device()) | 1;
}

}  // namespace dykestage::agent
