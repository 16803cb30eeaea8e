// Upstream: what joins a shield's machine to its letters and fetches, in a process of its own or beside an edge.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "agent/link.hpp"
#include "neighbour/post.hpp"
#include "upstream/fetcher.hpp"
#include "upstream/reply_queue.hpp"
#include "upstream/shield.hpp"

namespace dykestage::upstream {

/// Example:
///   Desk desk(shield, fetcher, *post, link, {});
///   if (!desk.take(letter, nowMs)) handleItself(letter);
///   desk.flush(nowMs);
class Desk {
 public:
  struct Props {
    std::string self;  // address whose replies stay in this process; empty: none
    int64_t boundMs = 2000;
    std::shared_ptr<policy::LinkShare> link = nullptr;   // that replies to other processes may take; null: no limit
    std::function<void(const neighbour::Reply&)> reply;  // takes those
    std::function<void(const neighbour::SendRequest&)> sendRequest;  // and those
    std::shared_ptr<MemoryAccount> memory =
        nullptr;  // from which the bodies of fetch requests are drawn; null: no limit
  };
  Desk(Shield& shield, Fetcher& fetcher, neighbour::Post& post, agent::Link& link, Props props)
      : shield_(shield),
        fetcher_(fetcher),
        post_(post),
        link_(link),
        props_(std::move(props)),
        replies_({props_.boundMs / 4, props_.link}) {}
  /// Takes a letter that is meant for shields; false when it is another's.
  auto take(const neighbour::Letter& letter, int64_t nowMs) -> bool;
  /// Sends and starts what the machine asks for; true when there was anything. Example: `while (desk.flush(nowMs)) ...`
  auto flush(int64_t nowMs) -> bool;
  /// Keeps lines to other processes open. Example: each 1/20 of the bound `desk.warm();`
  auto warm() -> void;
  auto isIdle() const -> bool { return shield_.open() == 0 && replies_.isEmpty(); }

 private:
  auto takeAsk(const neighbour::Letter& letter, int64_t nowMs) -> void;
  auto cancel(const Shield::Output::Cancelled& cancelled, int64_t nowMs) -> void;
  auto sendReplies(int64_t nowMs) -> void;

  Shield& shield_;
  Fetcher& fetcher_;
  neighbour::Post& post_;
  agent::Link& link_;
  Props props_;
  ReplyQueue replies_;
};

}  // namespace dykestage::upstream
