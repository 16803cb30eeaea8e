// Caller: the HTTP face of a process, built on Pistache.
//
// Pistache runs the threads, watches the streams and reads them. Its endpoint is left out: it wakes every thread twice
// a second, ends streams by times that can't be changed while it runs, and can't stop accepting alone. So are its
// parser, which spoils a chunked body when a read ends between the two bytes of a line end, and its response writer,
// which keeps one value per header name, always sends a body with its length, and addresses answers by descriptor
// number. Answers are written here, to a descriptor of the face's own that can never come to mean another caller's
// stream.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "base/memory_account.hpp"
#include "caller/headers.hpp"
#include "caller/own_answers.hpp"
#include "caller/request.hpp"
#include "caller/stream.hpp"

namespace dykestage::caller {

/// An endpoint. `take` is called on Pistache's threads. `takeGone` too, when a caller has ended its half of a stream
/// while its request runs: most have gone altogether then, though one that still reads looks the same.
/// Example: `Face face({"127.0.0.1", 8080, 2, 8 << 20}, [&](Request r) { inbox.push(std::move(r)); });`
class Face {
 public:
  struct Props {
    std::string ip = "127.0.0.1";
    uint16_t port = 0;
    int threads = 2;
    size_t bodyBytes = 8u << 20;
    std::shared_ptr<policy::LinkShare> link = nullptr;  // that answers may take; null: no limit
    int64_t slackMs = 0;  // beyond each limit of time: how long bytes may be under way to or from a caller
    std::shared_ptr<MemoryAccount> memory = nullptr;  // from which all that is read is drawn; null: no limit
    size_t connections = 0;  // at a time; one more ends the one that has been idle for longest. 0: no limit
    int socketBytes = 0;     // that the kernel may queue for a connection, each way; 0: as the system has it
  };
  /// What was done about clients because memory or connections were short, since the start.
  struct Figures {
    uint64_t overloaded = 0;    // requests refused with kOverloaded, nothing of them having run
    uint64_t shed = 0;          // of these, requests that came too slowly while memory was short
    uint64_t idleClosed = 0;    // idle connections ended early for a new one
    uint64_t closedAtOnce = 0;  // connections closed before anything was read from them
  };
  using TakeGone = std::function<void(std::shared_ptr<Stream>)>;
  Face(Props props, std::function<void(Request)> take, TakeGone takeGone = {});
  ~Face();
  Face(const Face&) = delete;
  auto operator=(const Face&) -> Face& = delete;
  /// The port in use. Example: `face.port()`
  auto port() const -> uint16_t;
  /// Sets limits for what comes from now on: the most bytes of a request's head and body; how long a head may take,
  /// and a body may pause; how long a stream may be idle (callers are told a second less, in Keep-Alive). 0 ms: no
  /// limit of time. A request that is not whole in time is answered 408. Example: `face.limit(16 << 10, 64 << 20, 3000,
  /// 15000);`
  auto limit(size_t headerBytes, size_t bodyBytes, int64_t headerMs, int64_t idleMs) -> void;
  /// Sets how many connections there may be from now on; those that are there stay. Example:
  /// `face.limitConnections(800);`
  auto limitConnections(size_t connections) -> void;
  /// Stops accepting. Answers say from now on that the stream ends, and streams without a request end when they have
  /// been idle for `idleMs`. Not undone. Example: `face.drain(1000);`
  auto drain(int64_t idleMs = 1000) -> void;
  /// The face answers whatever it reads from now on itself, with kEmptying: nobody takes requests any more. Not undone.
  /// Example: `face.refuse(); answerAll(inbox.take()); exit();`
  auto refuse() -> void;
  /// Ends requests that hold memory and hardly move, as far as there are any. Any thread may call it.
  /// Example: `if (memory->refusals() != seen) face.relieve();`
  auto relieve() -> void;
  auto figures() const -> Figures;
  /// Streams that are still there. Example: `if (face.streams() == 0) stop();`
  auto streams() const -> size_t;

 private:
  class Handler;
  class Transport;
  struct Shared;
  struct Reactor;
  std::shared_ptr<Shared> shared_;
  std::unique_ptr<Reactor> reactor_;
};

}  // namespace dykestage::caller
