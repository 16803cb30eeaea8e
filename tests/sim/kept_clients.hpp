// Sim: clients that hold their connections open and go on using them until the process on the other side is gone, also
// one that says that it is not ready any more. Each request's end is told exactly, for the soak to judge.
#pragma once
#include <poll.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "disk/ring.hpp"

namespace dykestage::sim {

/// What a kept client asks for.
enum class AskKind : uint8_t {
  kObject,  // a cacheable read of the store
  kList,    // a read of the application
  kWrite,   // a write that may run once
};

/// How a request ended for its client.
enum class AskEnd : uint8_t {
  kAnswered,  // with a whole answer
  kCut,       // the connection ended before a whole answer
  kUnsent,    // the connection ended before the whole request was written
  kSilent,    // nothing came until the client gave up
};

/// One request, once it has ended.
struct EndedAsk {
  AskKind kind = AskKind::kObject;
  AskEnd end = AskEnd::kAnswered;
  std::string edge, target, id;
  int64_t sentMs = 0, endedMs = 0;  // of the steady clock
  int status = 0;
  std::string code;  // of an answer of the system's own; empty: an upstream's
  bool hasRetryAfter = false;
  std::string body;

  /// True for an answer that promises that the request has not run. Example: `if (ask.isPromise()) ...`
  auto isPromise() const -> bool { return status == 408 || status == 421 || status == 429 || status == 503; }
};

/// Example:
///   KeptClients clients({edges, 4, 100, 7});
///   auto polled = clients.polled();
///   for (auto& ended : clients.step(steadyMs())) judge(ended);
class KeptClients {
 public:
  struct Edge {
    std::string name, address;
  };
  struct Props {
    std::vector<Edge> edges;
    int perEdge = 4;
    int64_t gapMs = 100;  // between an answer and the next request
    uint64_t seed = 1;
    int64_t giveUpMs = 5000;  // a client ends a connection on which nothing has come for so long
    int64_t objects = 100;    // paths of cacheable objects
  };
  explicit KeptClients(Props props);

  /// What to poll for. Example: `auto fds = clients.polled();`
  auto polled() const -> std::vector<pollfd>;
  /// Reads, writes and connects what can be; returns the requests that ended.
  auto step(int64_t nowMs) -> std::vector<EndedAsk>;
  /// No further requests; what is open goes on to its end. Example: `clients.finish();`
  auto finish() -> void { isFinishing_ = true; }
  auto openRequests() const -> size_t;

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  struct Client {
    size_t home = 0;  // the edge that it goes back to as long as it listens
    size_t edge = 0;
    disk::Fd socket;
    bool isConnected = false;
    std::string unwritten, unread;
    std::unique_ptr<Parser> parser;
    std::optional<EndedAsk> open;
    int64_t nextMs = 0;
  };
  auto connect(Client& client, int64_t nowMs) -> void;
  auto disconnect(Client& client, int64_t nowMs, bool isRefused) -> void;
  auto ask(Client& client, int64_t nowMs) -> void;
  auto write(Client& client, int64_t nowMs) -> bool;
  auto read(Client& client) -> bool;
  auto parse(Client& client, int64_t nowMs, bool isOver) -> bool;
  auto end(Client& client, AskEnd how, int64_t nowMs) -> void;

  Props props_;
  std::mt19937_64 random_;
  std::vector<Client> clients_;
  std::vector<EndedAsk> ended_;
  uint64_t nextId_ = 1;
  bool isFinishing_ = false;
};

}  // namespace dykestage::sim
