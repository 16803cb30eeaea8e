// Upstream: HTTP requests to upstreams (and by the tools) over libcurl, many at a time on one thread.
#pragma once
#include <curl/curl.h>
#include <poll.h>

#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/body.hpp"
#include "disk/ring.hpp"
#include "neighbour/messages.hpp"
#include "upstream/answer_reader.hpp"

namespace dykestage::upstream {

struct Fetch {
  uint64_t id = 0;
  std::string address;  // ip:port
  std::string method = "GET", target = "/";
  Headers headers;
  Body body;
  int64_t timeoutMs = 1000;
  int64_t connectMs = 250;
  bool isWrite = false;  // goes out once on a fresh stream, or not at all
  size_t answerBytes = 8u << 20;
  int64_t actUntilMs = 0;  // looked at again when the first byte is about to leave; 0: no limit
  std::string tryHeader,
      tryId;               // a header and its value that each answer to this request carries; empty: any answer will do
  std::string sealHeader;  // a header without which a 2xx is not whole; empty: none
};

enum class Fault : uint8_t {
  kNone,
  kNotSent,
  kLost,
  kTimeout,
  kNotWhole,
  kTooLarge,
  kMixed,  // the answer belongs to another request; this one may have run
};

struct Fetched {
  uint64_t id = 0;
  Fault fault = Fault::kNone;
  bool isUntouched = false;  // no byte of the request left
  int status = 0;
  Headers headers;
  Body body;
  int64_t tookMs = 0;
  int sends = 0;  // how often the request was about to leave: again when a kept stream had died under a read
};

/// Runs fetches. Example:
///   Fetcher fetcher;
///   fetcher.start(fetch);
///   for (auto& done : fetcher.run(extraFds, 10)) machine.take(done);
class Fetcher {
 public:
  Fetcher();
  ~Fetcher();
  Fetcher(const Fetcher&) = delete;
  auto operator=(const Fetcher&) -> Fetcher& = delete;
  /// Begins a fetch. Example: `fetcher.start({.id = 7, .address = "127.0.0.1:80"});`
  auto start(Fetch fetch) -> void;
  /// Ends a fetch whose outcome nobody waits for any more; its stream closes, and nothing is reported.
  /// Example: `fetcher.cancel(7);`
  auto cancel(uint64_t id) -> void;
  /// The same for a fetch of which no byte has left yet; false, and nothing is done, if it is past that.
  /// Example: `if (fetcher.cancelUnsent(7)) machine.take(notSent(7));`
  auto cancelUnsent(uint64_t id) -> bool;
  /// The most streams at a time to one address, and to all; 0: no limit. A fetch waits for its turn, and ends as
  /// kNotSent when its time runs out before. Example: `fetcher.limit(100, 900);`
  auto limit(size_t perHost, size_t total) -> void;
  /// From where answers are drawn before they are read: one for which there is no room is not read on, so that its
  /// upstream waits, until there is or its time runs out. Example: `fetcher.limitMemory(memory, 64 << 10);`
  auto limitMemory(std::shared_ptr<MemoryAccount> memory, int socketBytes) -> void {
    memory_ = std::move(memory);
    socketBytes_ = socketBytes;
  }
  /// How long a kept stream may have been idle to be used again, where the upstream doesn't tell (of what it tells,
  /// 80% are used); counts in whole seconds. Example: `fetcher.keepFor(5000);`
  auto keepFor(int64_t idleMs) -> void { idleMs_ = idleMs; }
  /// Waits for news on fetches or on `extra`, at most `waitMs`; returns what has ended. It wakes by itself for whatever
  /// time limit comes first, so `waitMs` may be long.
  auto run(std::vector<pollfd>& extra, int64_t waitMs) -> std::vector<Fetched>;
  /// Ends the idle streams to an address that has passed to somebody else. Example: `fetcher.drop(address);`
  auto drop(const std::string& address) -> void;
  /// Fetches under way, those that wait for their turn included. Example: `if (fetcher.open() == 0) stop();`
  auto open() const -> size_t { return calls_.size() + waiting_.size() + refused_.size(); }

 private:
  struct Call;
  using Easy = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
  struct Waiting {
    uint64_t place;  // in the order of arrival
    uint64_t id;
    std::string address;
    int64_t startMs, untilMs;
    std::shared_ptr<Fetch> fetch;
  };
  struct Socket {
    std::string address;
    std::pair<std::string, int> keptAs;  // its key in kept_, once it has carried a whole answer
  };
  struct ByPlace {};
  struct ByAddress {};
  struct ByEnd {};
  using WaitingList = boost::multi_index_container<
      Waiting,
      boost::multi_index::indexed_by<
          boost::multi_index::ordered_unique<boost::multi_index::tag<ByPlace>,
                                             boost::multi_index::member<Waiting, uint64_t, &Waiting::place>>,
          boost::multi_index::ordered_unique<
              boost::multi_index::tag<ByAddress>,
              boost::multi_index::composite_key<Waiting,
                                                boost::multi_index::member<Waiting, std::string, &Waiting::address>,
                                                boost::multi_index::member<Waiting, uint64_t, &Waiting::place>>>,
          boost::multi_index::ordered_non_unique<boost::multi_index::tag<ByEnd>,
                                                 boost::multi_index::member<Waiting, int64_t, &Waiting::untilMs>>>>;
  auto send(Fetch fetch, int64_t startMs, bool isFresh) -> void;
  auto setOptions(const Call& call, bool isFresh) -> void;
  static auto setMethod(const Call& call) -> void;
  static auto setHeaders(Call& call) -> void;
  auto setSocketCallbacks(Call& call) -> void;
  static auto setAnswerCallbacks(Call& call) -> void;
  auto hasRoom(const std::string& address) const -> bool;
  auto admit(const std::string& address, int64_t nowMs) -> void;
  auto act(curl_socket_t socket, int events) -> void;
  auto end(CURL* easy, CURLcode code) -> Fetched;
  static auto faultOf(const Call& call, CURLcode code) -> Fault;
  auto noteConnection(CURL* easy, const Fetched& result) -> void;
  auto remove(CURL* easy) -> Fetch;
  auto ended() -> std::vector<Fetched>;
  auto limitSockets(CURL* easy, const Fetch& fetch) -> void;
  static auto takeLine(Call& call, std::string_view line) -> bool;
  auto takeBody(Call& call, std::string_view piece) -> size_t;
  auto resume() -> void;

  CURLM* multi_;
  disk::Fd events_;  // epoll(7), of the streams in use
  int64_t dueMs_ = -1, idleMs_ = 5000;
  size_t perHost_ = 0, total_ = 0;
  uint64_t nextPlace_ = 0;
  WaitingList waiting_;
  std::vector<Fetched> refused_;  // never begun, since their heads would not be one head; not yet returned
  std::unordered_map<std::string, size_t> busy_;     // fetches that have their turn, by address
  std::unordered_map<std::string, int64_t> keepMs_;  // what upstreams told, by address
  std::map<curl_socket_t, Socket> sockets_;          // open ones
  std::map<std::pair<std::string, int>, curl_socket_t>
      kept_;  // by address and own port: what libcurl tells of a stream
  std::unordered_map<CURL*, std::unique_ptr<Call>> calls_;
  std::shared_ptr<MemoryAccount> memory_;
  int socketBytes_ = 0;     // that the kernel may queue of an answer; 0: as the system has it
  std::set<CURL*> paused_;  // whose answers find no room
};

/// One fetch, waited for. Example: `auto answer = fetchOnce({.address = at, .target = "/ready"});`
auto fetchOnce(Fetch fetch) -> Fetched;

}  // namespace dykestage::upstream
