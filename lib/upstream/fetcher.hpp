// Upstream: HTTP requests to upstreams (and by the tools) over libcurl, many at a time on one thread.
#pragma once
#include <curl/curl.h>
#include <poll.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "neighbour/messages.hpp"

namespace dykestage::upstream {

using neighbour::Headers;

struct Fetch {
  uint64_t id = 0;
  std::string address;  // ip:port
  std::string method = "GET", target = "/";
  Headers headers;
  std::string body;
  int64_t timeoutMs = 1000;
  int64_t connectMs = 250;
  bool isWrite = false;       // goes out once on a fresh stream, or not at all
  size_t answerBytes = 8u << 20;
  std::string tryHeader, tryId, sealHeader;
  int64_t actUntilMs = 0;     // looked at again when the first byte is about to leave; 0: no limit
};

enum class Fault : uint8_t { kNone, kNotSent, kLost, kTimeout, kNotWhole, kTooLarge, kMixed };

struct Fetched {
  uint64_t id = 0;
  Fault fault = Fault::kNone;
  bool isUntouched = false;  // no byte of the request left
  int status = 0;
  Headers headers;
  std::string body;
  int64_t tookMs = 0;
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
  /// Waits for news on fetches or on `extra`, at most `waitMs`; returns what has ended.
  auto run(std::vector<pollfd>& extra, int64_t waitMs) -> std::vector<Fetched>;
  /// Ends the idle streams to an address that has passed to somebody else. Example: `fetcher.drop(address);`
  auto drop(const std::string& address) -> void;
  /// Fetches under way. Example: `if (fetcher.open() == 0) stop();`
  auto open() const -> size_t { return calls_.size(); }

 private:
  struct Call;
  using Easy = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
  CURLM* multi_;
  std::map<curl_socket_t, std::string> sockets_;  // open ones, by address
  std::map<CURL*, std::unique_ptr<Call>> calls_;
};

/// One fetch, waited for. Example: `auto answer = fetchOnce({.address = at, .target = "/ready"});`
auto fetchOnce(Fetch fetch) -> Fetched;

}  // namespace dykestage::upstream
