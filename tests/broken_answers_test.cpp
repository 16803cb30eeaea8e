// Answers that break the rules of HTTP: nothing of them is used, their connection is not kept, and the process goes on.
#include <catch2/catch.hpp>

#include <chrono>
#include <random>
#include <thread>

#include "caller/headers.hpp"
#include "neighbour/post.hpp"
#include "sim/raw_upstream.hpp"
#include "sim/spoilt_answers.hpp"
#include "upstream/fetcher.hpp"

using namespace dykestage;
using namespace dykestage::sim;
using upstream::Fault;

namespace {
constexpr int64_t kTimeoutMs = 20000;
const std::string kFields = "X-Try: 1\r\nX-Seal: s\r\n";

auto fetchFrom(const std::string& address, bool isWrite = false) -> upstream::Fetch {
  upstream::Fetch fetch;
  fetch.address = address;
  fetch.method = isWrite ? "POST" : "GET";
  if (isWrite) fetch.body = "order";
  fetch.isWrite = isWrite;
  fetch.tryHeader = "X-Try";
  fetch.tryId = "1";
  fetch.sealHeader = "X-Seal";
  fetch.timeoutMs = kTimeoutMs;
  fetch.connectMs = kTimeoutMs;
  return fetch;
}

auto finish(upstream::Fetcher& fetcher) -> upstream::Fetched {
  std::vector<pollfd> none;
  for (auto untilMs = neighbour::steadyMs() + 2 * kTimeoutMs; neighbour::steadyMs() < untilMs;)
    for (auto& one : fetcher.run(none, 1000))
      return std::move(one);
  FAIL("it does not end");
  return {};
}

auto fetched(upstream::Fetcher& fetcher, upstream::Fetch fetch) -> upstream::Fetched {
  fetcher.start(std::move(fetch));
  return finish(fetcher);
}

}  // namespace

TEST_CASE("An answer whose first field is folded ends no process") {
  for (const std::string fold : {" folded: x\r\n", "\tfolded: x\r\n", " \r\n"}) {
    RawUpstream upstream([&](int, int request, const std::string&) {
      auto sound =
          countedAnswer(kFields + "X-Last: " + std::string(static_cast<size_t>(request) * 100, 'x') + "\r\n", "ok");
      return request % 2 == 1 ? sound : "HTTP/1.1 200 OK\r\n" + fold + sound.substr(sound.find('\n') + 1);
    });
    upstream::Fetcher fetcher;
    for (auto i = 0; i < 40; ++i) {
      CHECK(fetched(fetcher, fetchFrom(upstream.at())).fault == Fault::kNone);
      CHECK(fetched(fetcher, fetchFrom(upstream.at())).fault == Fault::kNotWhole);
    }
  }
}
