// Caller: a client's connection, as far as answers are written to it.
#pragma once
#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "base/body.hpp"
#include "caller/headers.hpp"
#include "disk/ring.hpp"
#include "policy/link_share.hpp"
#include "policy/shedding.hpp"

namespace dykestage::caller {

/// What is sent back. A Content-Length among the headers counts only where no body goes out (HEAD, 304).
struct Answer {
  int status = 200;
  Headers headers;
  Body body;
};

/// What a face lets callers send, and how long it waits for them; may change while it runs. 0: no limit of time.
struct Limits {
  std::atomic<size_t> headerBytes{64u << 10}, bodyBytes{8u << 20};
  std::atomic<int64_t> headerMs{60000}, idleMs{60000};
  std::atomic<bool> isDraining{false}, isRefusing{false};
  std::atomic<int64_t> drainIdleMs{0};
  int64_t slackMs = 0;                      // beyond each limit of time, for what is under way. Set before streams come
  std::shared_ptr<policy::LinkShare> link;  // that answers may take; null: no limit. Set before streams come
};

/// A caller's stream. One request at a time is open on it. The face's thread and the program's both write answers.
class Stream {
 public:
  explicit Stream(int fd, std::shared_ptr<const Limits> limits = nullptr);
  /// Writes an answer; what the client does not take at once waits here, and its body is not copied.
  /// Example: `stream->answer(a, "GET", true);`
  auto answer(const Answer& answer, const std::string& method, bool keep) -> void;
  /// Goes on writing; true when nothing waits. Example: `if (!stream->flush()) pollFor(stream->fd(), POLLOUT);`
  auto flush() -> bool;
  /// Bytes of memory held for a caller that reads slowly. Example: `if (stream->pending() > mostBytes) stream->cut();`
  auto pending() const -> size_t { return pending_.load(); }
  /// For poll(2). Example: `pollfd{stream->fd(), POLLOUT, 0}`
  auto fd() const -> int { return fd_.get(); }
  /// How the answers that wait have moved since the first of them had to wait. Example: `chooseToShed(holdings, ...)`
  auto holding(int64_t nowMs) -> policy::Holding;
  /// Ends the stream without an answer, and frees what waits: stand-ins that fail on purpose, callers that don't read.
  /// Example: `stream->cut();`
  auto cut() -> void;
  /// Sends a few bytes outside of any answer (100 Continue). Example: `stream->note("HTTP/1.1 100 ...");`
  auto note(const std::string& bytes) -> void;
  /// True when a request is open, so that bytes that come now were sent ahead: the stream then ends with the answer.
  /// Example: `if (stream->isAhead()) return;`
  auto isAhead() -> bool;
  /// Ends our half if no request is open and nothing waits; the caller's half stays readable.
  /// Example: `stream->close(nowMs);`
  auto close(int64_t nowMs) -> void;
  /// When our half ended, -1 while it has not; when the last answer was all written. In ms of the steady clock.
  /// Example: `if (stream->closedMs() >= 0) ...`
  auto closedMs() const -> int64_t { return closedMs_.load(); }
  auto answeredMs() const -> int64_t { return answeredMs_.load(); }
  /// How long the last answer said that the stream may rest; 0: nothing. Example: `std::max(idleMs, s.toldIdleMs())`
  auto toldIdleMs() const -> int64_t { return toldIdleMs_.load(); }

  /// The client has closed the connection, or its half of it, so that nobody waits for an answer any more.
  /// Example: `if (stream->hasLeft()) return;`
  auto hasLeft() const -> bool { return hasLeft_.load(); }
  auto markLeft() -> void { hasLeft_.store(true); }

  std::atomic<bool> isOpen{false};     // a request waits for its answer
  std::atomic<bool> mustClose{false};  // the stream ends with the next answer

 private:
  struct Waiting {  // an answer
    std::string head;
    Body body;
    auto size() const -> size_t { return head.size() + body.size(); }
  };
  static auto headOf(const Answer& answer, bool isHead, bool hasBody) -> std::string;
  auto send() -> void;
  auto sendPiece(const Waiting& piece) -> ssize_t;
  auto isPaced(size_t bytes) const -> bool;
  auto drop() -> void;
  auto end(int64_t nowMs) -> void;

  disk::Fd fd_;
  std::shared_ptr<const Limits> limits_;
  std::mutex writes_;  // guards what follows
  std::deque<Waiting> waiting_;
  size_t sent_ = 0;            // of the first one
  policy::Progress progress_;  // while answers wait
  bool closesAfter_ = false;
  std::atomic<bool> hasLeft_{false};
  std::atomic<size_t> pending_{0};
  std::atomic<int64_t> closedMs_{-1}, answeredMs_{-1}, toldIdleMs_{0};
};

}  // namespace dykestage::caller
