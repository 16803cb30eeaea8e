// Caller: the HTTP face of a process, built on Pistache.
//
// Pistache accepts, reads and parses. Its response writer keeps one value per header name, always sends a
// body with its length, and addresses answers by descriptor number; so answers are written here, to a
// descriptor of the face's own that can never come to mean another caller's stream.
#pragma once
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "disk/ring.hpp"
#include "neighbour/messages.hpp"

namespace dykestage::caller {

using neighbour::Headers;

/// The value of a header, by any spelling of its name; empty when it is not there.
/// Example: `if (header(request.headers, "Authorization").empty()) ...`
auto header(const Headers& headers, const std::string& name) -> std::string;
/// True when a header is there. Example: `has(headers, "Range")`
auto has(const Headers& headers, const std::string& name) -> bool;
/// Lower case of ASCII. Example: `lower("Host") == "host"`
auto lower(std::string text) -> std::string;
/// The parts of a comma list, trimmed and in lower case. Example: `listOf("no-store, private")`
auto listOf(const std::string& value) -> std::vector<std::string>;
/// Headers without those that belong to one stream only, and without what Connection names.
/// Example: `ask.headers = endToEnd(request.headers);`
auto endToEnd(const Headers& headers) -> Headers;

/// What is sent back. A Content-Length among the headers counts only where no body goes out (HEAD, 304).
struct Answer {
  int status = 200;
  Headers headers;
  std::string body;
};

/// A caller's stream. One request at a time is open on it.
class Stream {
 public:
  explicit Stream(int fd);
  /// Writes an answer; what the caller does not take at once waits here. Example: `stream->answer(a, "GET", true);`
  auto answer(const Answer& answer, const std::string& method, bool keep) -> void;
  /// Goes on writing; true when nothing waits. Example: `if (!stream->flush()) pollFor(stream->fd(), POLLOUT);`
  auto flush() -> bool;
  /// For poll(2). Example: `pollfd{stream->fd(), POLLOUT, 0}`
  auto fd() const -> int { return fd_.get(); }
  /// Ends the stream without an answer, for stand-ins that fail on purpose. Example: `stream->cut();`
  auto cut() -> void;
  /// Sends a few bytes outside of any answer (100 Continue). Example: `stream->note("HTTP/1.1 100 ...");`
  auto note(const std::string& bytes) -> void;

  std::atomic<bool> isOpen{false};     // a request waits for its answer
  std::atomic<bool> mustClose{false};  // the stream ends with the next answer

 private:
  disk::Fd fd_;
  std::string waiting_;
  bool closesAfter_ = false;
};

struct Request {
  std::string method, target;
  Headers headers;
  std::string body;
  bool keep = true;
  std::shared_ptr<Stream> stream;
  std::string token = {};  // of the door that it came through; goes with its answer
};

/// An endpoint. `take` is called on Pistache's threads.
/// Example: `Face face({"127.0.0.1", 8080, 2, 8 << 20}, [&](Request r) { inbox.push(std::move(r)); });`
class Face {
 public:
  struct Props {
    std::string ip = "127.0.0.1";
    uint16_t port = 0;
    int threads = 2;
    size_t bodyBytes = 8u << 20;
  };
  Face(Props props, std::function<void(Request)> take);
  ~Face();
  /// The port in use. Example: `face.port()`
  auto port() const -> uint16_t;

 private:
  class Handler;
  struct Endpoint;
  std::unique_ptr<Endpoint> endpoint_;
};

/// What a data node's status address answers; `refusal` is 0 while it is ready, `status` makes the status page.
/// Example: `pageAnswer(r.target, isReady ? kOk : kNotCurrent, [&] { return statusPage(edge); })`
auto pageAnswer(const std::string& target, uint32_t refusal, const std::function<std::string()>& status) -> Answer;

/// A JSON answer for a result code. Example: `stream->answer(turnAway(kNoUpstream, 1), "GET", true);`
auto codeAnswer(uint32_t code, int64_t retryAfterS, const std::string& detail = "") -> Answer;

}  // namespace dykestage::caller
