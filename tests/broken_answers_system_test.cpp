// Broken answers in a deployment of real processes: what clients are told, what is cached and shared, and that every
// process goes on. The console, health probes and replies of other processes too.
#include <sys/wait.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>

#include "caller/headers.hpp"
#include "neighbour/post.hpp"
#include "sim/announcer.hpp"
#include "sim/fleet.hpp"
#include "sim/raw_upstream.hpp"
#include "sim/spoilt_answers.hpp"
#include "upstream/fetcher.hpp"

using namespace dykestage;
using namespace dykestage::sim;
using upstream::Fault;

namespace {
constexpr int64_t kReadyMs = 60000;
constexpr int64_t kServedMs = 20000;  // with as many tries as it takes
constexpr int64_t kPauseUs = 20000;
constexpr int kBadGateway = 502;
const std::string kSound = "the upstream's own body\r\n";

auto programs() -> std::filesystem::path {
  return std::filesystem::canonical("/proc/self/exe").parent_path();
}

// Of a head: the path, and the request's id.
auto targetOf(const std::string& head) -> std::string {
  auto from = head.find(' ') + 1;
  return head.substr(from, head.find(' ', from) - from);
}

auto request(const std::string& address, const std::string& method, const std::string& target,
             const std::string& body = "") -> upstream::Fetched {
  upstream::Fetch fetch;
  fetch.address = address;
  fetch.method = method;
  fetch.target = target;
  fetch.headers = {{"Host", "raw.test"}};
  fetch.body = body;
  fetch.timeoutMs = 5000;
  return upstream::fetchOnce(fetch);
}

// A deployment with edges that fetch themselves, or beside shields, in front of a fake upstream. What the upstream
// sends for a target under /spoilt is set; everything else is answered soundly.
class Deployment {
 public:
  explicit Deployment(bool fetchesItself)
      : folder_(std::filesystem::temp_directory_path() / ("dykestage-broken-" + std::to_string(::getpid()))),
        upstream_([this](int, int, const std::string& head) { return answerTo(targetOf(head)); }) {
    std::filesystem::remove_all(folder_);
    Fleet::Props props;
    props.programs = programs();
    props.folder = folder_;
    props.sites = {"north"};
    props.registries = 3;
    props.shields = fetchesItself ? 0 : 1;
    props.edges = 1;
    if (fetchesItself) props.edgeExtra = R"(,"fetches":true)";
    fleet_ = std::make_unique<Fleet>(props);
    fleet_->startAll();
    REQUIRE(fleet_->awaitReady(kReadyMs));
    announcer_ = std::make_unique<Announcer>(fleet_->https("registry"), "raw-1", "raw", upstream_.at());
    REQUIRE(isServed([&] { return request(fleet_->http("registry-1"), "POST", "/routing", routing()); }));
    for (const auto& name : fleet_->names("edge"))
      processes_[name] = fleet_->processId(name);
    for (const auto& name : fleet_->names("shield"))
      processes_[name] = fleet_->processId(name);
    serveOrdinary();
  }
  ~Deployment() {
    announcer_.reset();
    fleet_.reset();
    std::filesystem::remove_all(folder_);
  }
  Deployment(const Deployment&) = delete;
  auto operator=(const Deployment&) -> Deployment& = delete;

  auto edge() const -> std::string { return fleet_->http("edge-1"); }
  auto answerWith(const std::string& bytes) -> void {
    std::lock_guard lock(mutex_);
    spoilt_ = bytes;
  }
  // How often requests for a target have come.
  auto runsOf(const std::string& target) -> int {
    std::lock_guard lock(mutex_);
    return runs_[target];
  }
  // An ordinary read is served: the upstream is not passed over any more.
  auto serveOrdinary() const -> void {
    CHECK(isServed([&] { return request(edge(), "GET", "/read/ordinary"); }));
  }
  auto checkProcesses() -> void {
    for (const auto& [name, process] : processes_) {
      INFO(name);
      CHECK(fleet_->isRunning(name));
      CHECK(fleet_->processId(name) == process);
    }
  }
  // Asks until the request has come to the upstream: an upstream that has failed is passed over for a while.
  auto answerOnceRun(const std::string& method, const std::string& target) -> upstream::Fetched {
    upstream::Fetched answer;
    for (auto untilMs = neighbour::steadyMs() + kServedMs; neighbour::steadyMs() < untilMs;) {
      answer = request(edge(), method, target, method == "POST" ? "order" : "");
      if (runsOf(target) > 0) return answer;
      ::usleep(kPauseUs);
    }
    FAIL("nothing of it came to the upstream");
    return answer;
  }

 private:
  template <typename Ask>
  static auto isServed(const Ask& ask) -> bool {
    for (auto untilMs = neighbour::steadyMs() + kServedMs; neighbour::steadyMs() < untilMs;) {
      auto answer = ask();
      if (answer.fault == Fault::kNone && answer.status == 200) return true;
      ::usleep(kPauseUs);
    }
    return false;
  }
  static auto routing() -> std::string {
    auto route = [](const std::string& name, const std::string& kind) {
      return "\"" + name + R"(": {"host": "raw.test", "prefix": "/)" + name + R"(/", "kind": ")" + kind +
             R"(", "giveUpMs": 3000, "tries": 1, "keepMs": 60000, "shares": [{"pool": "raw", "weight": 1}]})";
    };
    return R"({"version": 2, "base": 0, "whole": true, "routes": {)" + route("object", "cacheable") + "," +
           route("read", "readOnly") + "," + route("write", "writing") + R"(}, "pools": {"raw": {}},
           "limits": {"headerBytes": 65536, "bodyBytes": 65536, "headerMs": 10000, "idleMs": 30000}})";
  }
  auto answerTo(const std::string& target) -> std::string {
    std::lock_guard lock(mutex_);
    ++runs_[target];
    return target.find("/spoilt") != std::string::npos ? spoilt_ : countedAnswer("X-Sound: 1\r\n", kSound);
  }

  std::string folder_;
  std::mutex mutex_;  // guards what follows up to the upstream: its threads write
  std::string spoilt_;
  std::map<std::string, int> runs_;
  RawUpstream upstream_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<Announcer> announcer_;
  std::map<std::string, pid_t> processes_;
};

// Of the many ways some that differ in what reads them.
auto someSpoilt() -> std::vector<SpoiltAnswer> {
  const std::vector<std::string> names = {
      "length 0x20",      "length +",       "length 99999999999999999999999",
      "chunked twice",    "name with ",     "first field folded by a blank",
      "HTTP/1.1 000",     "HTTP/1.1 999",   "206 that nobody",
      "head ended early", "value with 0x1", "chunked by the name Transfer-Encoding "};
  const std::string body(725, 'b');
  std::vector<SpoiltAnswer> some;
  for (const auto& one : spoiltHeads("X-Spoilt: 1\r\n", body))
    for (const auto& name : names)
      if (one.name.find(name) != std::string::npos) {
        some.push_back(one);
        break;
      }
  for (const auto& one : spoiltBodies("X-Spoilt: 1\r\n", body))
    if (one.name.find("64z") != std::string::npos || one.name.starts_with("trailer X")) some.push_back(one);
  return some;
}

auto checkDeployment(bool fetchesItself) -> void {
  Deployment deployment(fetchesItself);
  auto count = 0;
  for (const auto& [name, bytes] : someSpoilt()) {
    INFO(name);
    auto number = std::to_string(++count);
    deployment.answerWith(bytes);
    for (const std::string kind : {"read", "write", "object"}) {
      INFO(kind);
      auto target = "/" + kind + "/spoilt/" + number;
      auto answer = deployment.answerOnceRun(kind == "write" ? "POST" : "GET", target);
      CHECK(answer.fault == Fault::kNone);
      CHECK(answer.status == kBadGateway);
      CHECK_FALSE(caller::has(answer.headers, "X-Spoilt"));
      if (kind == "write") CHECK(deployment.runsOf(target) == 1);
      deployment.serveOrdinary();
    }
    // What was spoilt was not kept: the same object is fetched again.
    deployment.answerWith(countedAnswer("X-Sound: 1\r\n", kSound));
    auto again = request(deployment.edge(), "GET", "/object/spoilt/" + number);
    CHECK(again.status == 200);
    CHECK(again.body == kSound);
    deployment.checkProcesses();
  }
}
}  // namespace

TEST_CASE("Clients are told 502 of a broken answer, and every process goes on, at an edge that fetches itself") {
  checkDeployment(true);
}

TEST_CASE("Clients are told 502 of a broken answer, and every process goes on, at an edge beside a shield") {
  checkDeployment(false);
}

TEST_CASE("A broken answer is not shared with requests that wait for the same object") {
  Deployment deployment(true);
  deployment.answerWith("HTTP/1.1 200 OK\r\nContent-Length: 6 0\r\n\r\n" + std::string(60, 'b'));
  upstream::Fetcher fetcher;
  constexpr uint64_t kRequests = 8;
  for (uint64_t id = 1; id <= kRequests; ++id) {
    upstream::Fetch fetch;
    fetch.id = id;
    fetch.address = deployment.edge();
    fetch.target = "/object/spoilt/shared";
    fetch.headers = {{"Host", "raw.test"}};
    fetch.timeoutMs = kServedMs;
    fetcher.start(std::move(fetch));
  }
  std::vector<pollfd> none;
  for (uint64_t ended = 0; ended < kRequests;)
    for (const auto& answer : fetcher.run(none, 100)) {
      ++ended;
      CHECK(answer.fault == Fault::kNone);
      CHECK(answer.status >= 500);
      CHECK(answer.body.find("bbbb") == std::string::npos);
    }
  deployment.checkProcesses();
}

TEST_CASE("The console does not take a broken answer for a registry's") {
  struct Row {
    std::string words, bytes;
  };
  const std::string body = "{\"code\":0}\n";
  for (const auto& row : std::vector<Row>{
           {"show", "HTTP/1.1 200 OK\r\nContent-Length: 1 1\r\n\r\n" + body},
           {"show", "HTTP/1.1 200 OK\r\n folded: x\r\nContent-Length: 11\r\n\r\n" + body},
           {"show", "HTTP/1.1 999 OK\r\nContent-Length: 11\r\n\r\n" + body},
           {"purge raw /x", "HTTP/1.1 200 OK\r\nX Name: x\r\nContent-Length: 11\r\n\r\n" + body},
       }) {
    INFO(row.words << ": " << row.bytes);
    RawUpstream registry([&](int, int, const std::string&) { return row.bytes; });
    auto settings = std::filesystem::temp_directory_path() / ("dykestage-console-" + std::to_string(::getpid()));
    std::ofstream(settings) << R"({"registries":[")" << registry.at() << R"("]})";
    auto command = programs().string() + "/console --settings=" + settings.string() + " " + row.words + " 2>&1";
    auto* pipe = ::popen(command.c_str(), "r");
    REQUIRE(pipe);
    std::array<char, 4096> buffer{};
    std::string text;
    while (auto count = std::fread(buffer.data(), 1, buffer.size(), pipe))
      text.append(buffer.data(), count);
    auto status = ::pclose(pipe);
    std::filesystem::remove(settings);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 1);
    CHECK(text.find("\"code\"") == std::string::npos);
    if (row.words != "show") CHECK(text.find("the outcome is unknown") != std::string::npos);
  }
}
