// Agent: the proxy's side of the loopback: a control thread that follows the agent beside it.
#pragma once
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "agent/feed.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"

namespace dykestage::agent {

/// Example:
///   Link link({"edge-1", member, "127.0.0.1:7001", 2000}, [&](HeldFrame f) { inbox.push(f); });
///   link.tell({edge.revision(), {}, {}});
class Link {
 public:
  struct Props {
    std::string name;
    core::Member member;
    std::string agent;  // its loopback address
    int64_t boundMs = 2000;
  };
  /// `takeLetter` gets the registries' letters to the proxy, if it has any use for them.
  Link(Props props, std::function<void(caller::HeldFrame)> take,
       std::function<void(neighbour::Letter)> takeLetter = {});
  ~Link();
  Link(const Link&) = delete;
  auto operator=(const Link&) -> Link& = delete;
  /// What the proxy acts on now; told to the core with the next question. Example: `link.tell({revision, probes, {}});`
  auto tell(Told told) -> void;
  /// Passes a letter to a registry, by way of the agent; one that surely did not leave comes back. Example:
  /// `link.pass({neighbour::kClaims, "", body});`
  auto pass(neighbour::Letter letter) -> void;

 private:
  auto run() -> void;
  Props props_;
  std::function<void(caller::HeldFrame)> take_;
  std::function<void(neighbour::Letter)> takeLetter_;
  neighbour::Inbox<neighbour::Letter> letters_{1024}, passed_{4096};
  neighbour::Inbox<Told> told_{1024};
  std::atomic<bool> isStopping_{false};
  std::thread thread_;
};

/// A random number for a life of a process or disk. Example: `member.incarnation = freshIncarnation();`
auto freshIncarnation() -> uint64_t;

}  // namespace dykestage::agent
