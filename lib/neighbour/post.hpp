// Neighbour: messages between the system's own processes, over nng.
//
// Every process listens on one PULL socket and keeps a PUSH line to each process that it talks to. Neither
// kind of socket ever sends a message again by itself; ids and retries are the business of the caller.
#pragma once
#include <nng/nng.h>

#include <atomic>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "neighbour/silence.hpp"
#include "tempo/bytes.hpp"

namespace dykestage::neighbour {

/// Of the letters between processes, told at the head of each. It grows by one whenever a letter's fields change:
/// letters of another version are turned away whole, so that nothing is misread. Example: `Writer().put(kWireVersion)`
inline constexpr uint16_t kWireVersion = 6;

/// What a letter holds; the kinds are listed in messages.hpp.
struct Letter {
  uint8_t kind = 0;
  std::string from;  // where answers go
  std::string body;
  DYKESTAGE_FIELDS(kind, from, body)
};

/// The steady clock in milliseconds. Example: `auto ageMs = steadyMs() - sinceMs;`
auto steadyMs() -> int64_t;

class Post {
 public:
  struct Props {
    std::string address;          // where it listens, ip:port; port 0 takes a free one
    std::string advertise;        // what others are told; empty: the address itself
    size_t maxBytes = 24u << 20;  // of one letter
    int queued = 4096;            // letters that may wait on one line
    std::function<int64_t()> nowMs = steadyMs;
    int64_t silenceMs = 0;  // a line is dialled anew when its other side answers nothing for so long; 0: never
  };
  /// Opens the listening side; letters go to `take` on a thread of the post's own.
  /// Example: `auto post = Post::open({"127.0.0.1:0"}, [&](Letter l) { inbox.push(std::move(l)); }, reason);`
  static auto open(Props props, std::function<void(Letter)> take, std::string& reason) -> std::unique_ptr<Post>;
  ~Post();
  Post(const Post&) = delete;
  auto operator=(const Post&) -> Post& = delete;

  /// Where this process can be reached. Example: `post->address()`
  auto address() const -> const std::string& { return props_.advertise; }
  /// Passes a letter; false when it surely did not leave. Only one thread may call this.
  /// Example: `if (!post->send(to, kAsk, body)) tryNext();`
  auto send(const std::string& to, uint8_t kind, const std::string& body) -> bool;
  /// Passes an answer to a peer that has just asked. A line that is still coming up is waited for: whoever was
  /// restarted has no line to anybody yet, and would lose its first answer to each. What waits is dropped with the line
  /// when that is dialled anew, so that nothing leaves long after it was made.
  /// Example: `post->sendWhenUp(question.from, kFeed, body);`
  auto sendWhenUp(const std::string& to, uint8_t kind, const std::string& body) -> void;
  /// Opens a line ahead of its first letter; one that does not come up is dialled anew, since what was sent to a
  /// machine without power is not sent again for a second. Example: `post->warm(shield.address);`
  auto warm(const std::string& to) -> void { line(to); }
  /// Names a peer that speaks at least every `limitMs` while it is well: a connection on which it stays silent for
  /// longer than that after something was sent is closed and dialled anew. Example: `post->expect(registry, 500);`
  auto expect(const std::string& peer, int64_t limitMs) -> void { silence_.expect(peer, limitMs); }
  /// A letter came from there, so that its line is opened for the answer, without delay if it is down.
  /// Example: `post->heard(letter.from);`
  auto heard(const std::string& from) -> void;
  /// The same without opening a line. Example: `post->noteHeard(letter.from);`
  auto noteHeard(const std::string& from) -> void { silence_.heard(from); }
  /// True while a line is connected. Example: `if (!post->isUp(address)) ...`
  auto isUp(const std::string& to) -> bool;
  /// Closes the lines that are not named and have long been idle. Example: `post->prune(nowMs);`
  auto prune(int64_t nowMs) -> void;

 private:
  struct Line {
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    std::atomic<int> pipes{0};
    int64_t usedMs = 0, dialedMs = 0, redialMs = 0;
    bool isToHeard = false;  // dialled because the peer spoke
    Line() = default;
    Line(const Line&) = delete;
    auto operator=(const Line&) -> Line& = delete;
    ~Line() { nng_close(socket); }
  };
  explicit Post(Props props) : props_(std::move(props)), silence_(props_.silenceMs) {}
  auto line(const std::string& to) -> Line*;
  auto pass(const Line& line, const std::string& to, uint8_t kind, const std::string& body) -> bool;
  auto dial(const std::string& to, int64_t redialMs) const -> std::unique_ptr<Line>;

  Props props_;
  nng_socket pull_ = NNG_SOCKET_INITIALIZER;
  std::function<void(Letter)> take_;
  std::map<std::string, std::unique_ptr<Line>> lines_;
  SilenceWatch silence_;
  std::set<uint16_t> strangers_;  // other versions heard, each told once in the log
  std::thread reader_;
};

/// Orders names by their weight for a key, heaviest first (rendezvous hashing).
/// Example: `auto owner = rendezvous("shop/cover/7", shields).front();`
auto rendezvous(const std::string& key, std::vector<std::string> names) -> std::vector<std::string>;
/// The places of the `count` heaviest of the names for a key, heaviest first, from hashes made before: one look at
/// each. Example: `for (auto at : heaviest(hash("shop/cover/7"), nameHashes, 3)) ask(members[at]);`
auto heaviest(uint64_t key, const std::vector<uint64_t>& names, size_t count) -> std::vector<size_t>;
/// A stable 64-bit hash. Example: `hash("tenant-7") % 100`
auto hash(std::string_view text) -> uint64_t;
/// The hash of texts as if they stood in one. Example: `hash({method, "\n", body})`
auto hash(std::initializer_list<std::string_view> texts) -> uint64_t;

}  // namespace dykestage::neighbour
