// Clients and upstreams that keep to no limit, against real processes whose limits the tests lower. Checked is only
// what does not depend on speed: the process lives, its resident memory and its descriptors stay under the limits that
// it was given, an ordinary request is answered afterwards, and what was refused has not run.
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "neighbour/post.hpp"
#include "operator/program.hpp"
#include "sim/announcer.hpp"
#include "sim/fleet.hpp"
#include "sim/misbehaving_clients.hpp"
#include "sim/process_figures.hpp"
#include "upstream/fetcher.hpp"

using namespace dykestage;
using namespace dykestage::sim;

namespace {
constexpr size_t kMb = 1 << 20;
constexpr int64_t kReadyMs = 60000;
constexpr int64_t kServedMs = 20000;  // in which an ordinary request has to be served, with as many tries as it takes
constexpr int64_t kCrowdMs = 20000;   // in which a crowd may send what it is allowed to send
constexpr int64_t kGiveUpMs = 10000;  // of all routes

constexpr size_t kEdgeBytes = 96 * kMb;
constexpr size_t kEdgeFiles = 1200;
constexpr size_t kBodyBytes = 4 * kMb;
constexpr size_t kAnswerBytes = 3 * kMb + kMb / 2;
constexpr size_t kRegistryBytes = 256 * kMb;  // of the machines that registries run on, and a registry's default

struct Limits {
  size_t memoryBytes = kEdgeBytes, openFiles = kEdgeFiles, bodyBytes = kBodyBytes;
  auto edgeExtra() const -> std::string {
    return R"(,"fetches":true,"threads":1,"cacheBytes":16777216,"memoryBytes":)" + std::to_string(memoryBytes) +
           R"(,"openFiles":)" + std::to_string(openFiles) + R"(,"bodyBytes":)" + std::to_string(bodyBytes);
  }
};

// What the kernel holds for the sockets of a machine: sent and not acknowledged, arrived and not read.
auto queuedBytes(const std::string& machine) -> size_t {
  in_addr address{};
  ::inet_pton(AF_INET, machine.c_str(), &address);
  std::ifstream table("/proc/net/tcp");
  std::string line, number, local, remote, state, queues;
  std::getline(table, line);
  size_t bytes = 0;
  while (std::getline(table, line)) {
    std::istringstream(line) >> number >> local >> remote >> state >> queues;
    constexpr auto kListening = "0A";
    if (state == kListening || std::stoul(local, nullptr, 16) != address.s_addr) continue;
    auto colon = queues.find(':');
    bytes += std::stoul(queues.substr(0, colon), nullptr, 16) + std::stoul(queues.substr(colon + 1), nullptr, 16);
  }
  return bytes;
}

// A small deployment with one edge that fetches itself.
class Deployment {
 public:
  explicit Deployment(const Limits& limits, size_t answerBytes = 800, int64_t delayMs = 3)
      : limits_(limits),
        folder_(std::filesystem::temp_directory_path() / ("dykestage-overload-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(folder_);
    Fleet::Props props;
    props.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
    props.folder = folder_;
    props.sites = {"north"};
    props.registries = 3;
    props.shields = 0;
    props.edges = 1;
    props.edgeExtra = limits.edgeExtra();
    auto bytes = static_cast<int64_t>(answerBytes);
    props.upstreams = {{"shop", "store", 1, 100, delayMs, bytes},
                       {"till", "application", 1, 100, delayMs, bytes},
                       {"desk", "application", 1, 100, 3, 200}};
    fleet_ = std::make_unique<Fleet>(props);
    fleet_->startAll();
    REQUIRE(fleet_->awaitReady(kReadyMs));
    REQUIRE(order(routing()).status == 200);
    REQUIRE(isServed());
  }
  ~Deployment() {
    fleet_.reset();
    std::filesystem::remove_all(folder_);
  }
  Deployment(const Deployment&) = delete;
  auto operator=(const Deployment&) -> Deployment& = delete;

  auto fleet() -> Fleet& { return *fleet_; }
  auto edge() const -> std::string { return fleet_->http("edge-1"); }

  auto order(const std::string& body) const -> upstream::Fetched {
    return untilServed(fleet_->https("registry"), "POST", "/routing", body);
  }
  // An ordinary client's read and write, tried again as such a client would.
  auto isServed() const -> bool {
    auto read = untilServed({edge()}, "GET", "/ordinary/list", "", "desk.test");
    auto write = untilServed({edge()}, "POST", "/ordinary/order", "one", "desk.test");
    return read.status == 200 && write.status == 200;
  }
  // What ran at the upstreams of a service: the ids of requests.
  auto runsOf(const std::string& origin) const -> std::string {
    return op::readFile(fleet_->account(origin)).value_or("");
  }

  static auto routing(const std::string& source = "{}") -> std::string {
    auto route = [](const std::string& name, const std::string& host, const std::string& kind,
                    const std::string& pool) {
      return "\"" + name + R"(": {"host": ")" + host + R"(", "prefix": "/)" + name + R"(/", "kind": ")" + kind +
             R"(", "giveUpMs": )" + std::to_string(kGiveUpMs) +
             R"(, "tries": 1, "keepMs": 60000, "shares": [{"pool": ")" + pool + R"(", "weight": 1}]})";
    };
    return R"({"version": 2, "base": 0, "whole": true, "routes": {)" +
           route("items", "shop.test", "cacheable", "shop") + "," + route("pages", "till.test", "readOnly", "till") +
           "," + route("buy", "till.test", "writing", "till") + "," +
           route("ordinary", "desk.test", "writing", "desk") + "," + route("flood", "flood.test", "readOnly", "flood") +
           R"(}, "pools": {"shop": {}, "till": {}, "desk": {}, "flood": {}},
              "limits": {"headerBytes": 65536, "bodyBytes": 67108864, "headerMs": 10000, "idleMs": 30000, "source": )" +
           source + "}}";
  }

 private:
  static auto untilServed(const std::vector<std::string>& addresses, const std::string& method,
                          const std::string& target, const std::string& body, const std::string& host = "")
      -> upstream::Fetched {
    auto untilMs = neighbour::steadyMs() + kServedMs;
    upstream::Fetched answer;
    for (size_t i = 0; neighbour::steadyMs() < untilMs; ++i) {
      upstream::Fetch fetch;
      fetch.address = addresses[i % addresses.size()];
      fetch.method = method;
      fetch.target = target;
      if (!host.empty()) fetch.headers.emplace_back("Host", host);
      fetch.body = body;
      fetch.timeoutMs = 5000;
      answer = upstream::fetchOnce(fetch);
      if (answer.fault == upstream::Fault::kNone && answer.status == 200) break;
      ::usleep(100000);
    }
    return answer;
  }

  Limits limits_;
  std::string folder_;
  std::unique_ptr<Fleet> fleet_;
};

// Watches one process of a deployment.
class Watch {
 public:
  Watch(Deployment& deployment, const std::string& name)
      : deployment_(deployment), name_(name), process_(deployment.fleet().processId(name)) {}
  auto sample() -> void {
    descriptors_ = std::max(descriptors_, descriptorsOf(process_));
    auto residentBytes = residentMemoryOf(process_);
    usedBytes_ = std::max(usedBytes_, residentBytes + queuedBytes(deployment_.fleet().machine(name_)));
  }
  auto sampler() {
    return [this] { sample(); };
  }
  // The process lives and has stayed within its limits; an ordinary request is answered.
  auto check(size_t memoryBytes, size_t openFiles) -> void {
    sample();
    auto isServed = deployment_.isServed();
    auto isAlive = deployment_.fleet().isRunning(name_);
    auto peakBytes = peakMemoryOf(process_);
    std::cout << Catch::getResultCapture().getCurrentTestName() << ": " << name_ << " at most " << peakBytes / kMb
              << " MiB, with the kernel's queues " << usedBytes_ / kMb << ", of " << memoryBytes / kMb << ", "
              << descriptors_ << " descriptors of " << openFiles << "\n";
    CHECK(isAlive);
    CHECK(isServed);
    CHECK(peakBytes <= memoryBytes);
    CHECK(usedBytes_ <= memoryBytes);
    CHECK(descriptors_ <= openFiles);
  }
  // What it holds falls to `bytes` once nobody is left.
  auto checkReleased(size_t bytes) const -> void {
    auto untilMs = neighbour::steadyMs() + kServedMs;
    auto residentBytes = [&] { return residentMemoryOf(process_); };
    while (residentBytes() > bytes && neighbour::steadyMs() < untilMs)
      ::usleep(50000);
    std::cout << "  afterwards " << residentBytes() / kMb << " MiB\n";
    CHECK(residentBytes() <= bytes);
  }

 private:
  Deployment& deployment_;
  std::string name_;
  pid_t process_;
  size_t descriptors_ = 0, usedBytes_ = 0;
};

// An upstream whose answers never end.
class EndlessUpstream {
 public:
  EndlessUpstream(const std::vector<std::string>& registries, const std::string& service)
      : listening_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    socklen_t size = sizeof at;
    REQUIRE(::bind(listening_.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(::listen(listening_.get(), 256) == 0);
    ::getsockname(listening_.get(), reinterpret_cast<sockaddr*>(&at), &size);
    announcer_ =
        std::make_unique<Announcer>(registries, "endless", service, "127.0.0.1:" + std::to_string(ntohs(at.sin_port)));
    serving_ = std::thread([this] { serve(); });
  }
  ~EndlessUpstream() {
    isOver_ = true;
    serving_.join();
  }
  EndlessUpstream(const EndlessUpstream&) = delete;
  auto operator=(const EndlessUpstream&) -> EndlessUpstream& = delete;
  auto isTaken() const -> bool { return announcer_->isTaken(); }

 private:
  auto serve() -> void {
    std::vector<std::pair<disk::Fd, bool>> connections;  // and whether a request has come
    const auto chunk = chunksOf(64 << 10, 1);
    while (!isOver_) {
      std::vector<pollfd> fds = {{listening_.get(), POLLIN, 0}};
      for (const auto& [socket, isAsked] : connections)
        fds.push_back({socket.get(), static_cast<short>(isAsked ? POLLOUT : POLLIN), 0});
      ::poll(fds.data(), fds.size(), 20);
      for (size_t i = 1; i < fds.size(); ++i) {
        auto& [socket, isAsked] = connections[i - 1];
        char buffer[4096];
        if (!isAsked && fds[i].revents != 0) {
          auto n = ::recv(socket.get(), buffer, sizeof buffer, MSG_DONTWAIT);
          if (n <= 0) socket = disk::Fd();
          if (n <= 0) continue;
          isAsked = true;
          const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
          (void)!::send(socket.get(), head.data(), head.size(), MSG_NOSIGNAL);
        } else if (fds[i].revents != 0) {
          if (!sendChunk(socket.get(), chunk)) socket = disk::Fd();
        }
      }
      std::erase_if(connections, [](const auto& one) { return !one.first; });
      disk::Fd next(::accept4(listening_.get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (next) connections.emplace_back(std::move(next), false);
    }
  }
  // A chunk leaves whole, or the connection ends.
  static auto sendChunk(int socket, const std::string& chunk) -> bool {
    timeval limit{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    auto n = ::send(socket, chunk.data(), chunk.size(), MSG_NOSIGNAL);
    return n == static_cast<ssize_t>(chunk.size());
  }

  disk::Fd listening_;
  std::unique_ptr<Announcer> announcer_;
  std::atomic<bool> isOver_{false};
  std::thread serving_;
};

auto headOf(const std::string& method, const std::string& target, const std::string& host, const std::string& more = "",
            const std::string& id = "") -> std::string {
  return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" +
         (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + more + "\r\n";
}

auto chunkedPost(size_t chunkBytes, size_t chunksPerBlock, uint64_t blocks, const std::string& target = "/buy/1")
    -> Misbehaviour {
  Misbehaviour client;
  client.head = headOf("POST", target, "till.test", "Transfer-Encoding: chunked\r\n");
  client.block = chunksOf(chunkBytes, chunksPerBlock);
  client.blocks = blocks;
  return client;
}

auto slowReader(const std::string& target, const std::string& host) -> Misbehaviour {
  Misbehaviour client;
  client.head = headOf("GET", target, host);
  client.readBytes = 64;
  client.readEveryMs = 500;
  return client;
}

// One body, whole, and what becomes of it.
auto statusOfWhole(const std::string& address, const Misbehaviour& client, Watch& watch) -> int {
  MisbehavingClients one(address);
  one.add(client);
  auto untilMs = neighbour::steadyMs() + kServedMs;
  while (one.statuses().front() == 0 && neighbour::steadyMs() < untilMs)
    one.stay(50, watch.sampler());
  return one.statuses().front();
}
}  // namespace

TEST_CASE("Chunked bodies in large chunks, held short of their end") {
  Deployment deployment{Limits{}};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  for (auto i = 0; i < 60; ++i)
    crowd.add(chunkedPost(64 << 10, 1, 56));
  crowd.run(kCrowdMs, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kEdgeBytes * 2 / 3);
}

TEST_CASE("Chunked bodies in very small chunks, held short of their end") {
  Deployment deployment{Limits{}};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  for (auto i = 0; i < 60; ++i)
    crowd.add(chunkedPost(8, 8192, 32));
  crowd.run(kCrowdMs, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kEdgeBytes * 2 / 3);
}

TEST_CASE("Many bodies of a middling size, a byte short of their length") {
  Deployment deployment{Limits{}};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  Misbehaviour client;
  constexpr size_t kSent = 300 << 10;
  client.head = headOf("POST", "/buy/1", "till.test", "Content-Length: " + std::to_string(kSent + 1) + "\r\n");
  client.block = std::string(kSent, 'x');
  client.blocks = 1;
  for (auto i = 0; i < 400; ++i)
    crowd.add(client);
  crowd.run(kCrowdMs, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kEdgeBytes * 2 / 3);
}

TEST_CASE("Bodies far over the limit, announced or just sent") {
  Deployment deployment{Limits{}};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  Misbehaviour announced;
  announced.head = headOf("POST", "/buy/1", "till.test", "Content-Length: 1073741824\r\n");
  announced.block = std::string(64 << 10, 'x');
  announced.blocks = 128;
  for (auto i = 0; i < 40; ++i) {
    crowd.add(announced);
    crowd.add(chunkedPost(16 << 10, 4, Misbehaviour::kEndless));
  }
  crowd.run(kCrowdMs, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kEdgeBytes * 2 / 3);
}

TEST_CASE("Whole large writes at once: what is refused has not run") {
  Deployment deployment{Limits{}};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  constexpr size_t kBlocks = 62;  // of 64 KiB
  constexpr auto kClients = 40;
  auto idOf = [](int i) { return "whole-" + std::to_string(i) + "-"; };
  for (auto i = 0; i < kClients; ++i) {
    Misbehaviour client;
    auto isChunked = i % 2 == 0;
    auto framing = isChunked ? std::string("Transfer-Encoding: chunked\r\n")
                             : "Content-Length: " + std::to_string(kBlocks << 16) + "\r\n";
    client.head = headOf("POST", "/buy/" + std::to_string(i), "till.test", framing, idOf(i));
    client.block = isChunked ? chunksOf(64 << 10, 1) : std::string(64 << 10, 'x');
    client.blocks = kBlocks;
    if (isChunked) client.tail = "0\r\n\r\n";
    crowd.add(client);
  }
  crowd.run(kCrowdMs, watch.sampler());
  crowd.stay(kGiveUpMs / 5, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  auto statuses = crowd.statuses();
  auto runs = deployment.runsOf("origin-till-application-1");
  for (auto i = 0; i < kClients; ++i) {
    auto status = statuses[static_cast<size_t>(i)];
    auto isPromise = status == 408 || status == 421 || status == 429 || status == 503;
    INFO(idOf(i) << " " << status);
    if (isPromise) CHECK(runs.find(idOf(i)) == std::string::npos);
  }
}

TEST_CASE("One body of exactly the limit is served in calm, with a length and in chunks") {
  const Limits limits{160 * kMb, kEdgeFiles, 64 * kMb};
  Deployment deployment{limits};
  Watch watch(deployment, "edge-1");
  constexpr size_t kBlockBytes = 64 << 10;
  Misbehaviour withLength;
  withLength.head = headOf("POST", "/buy/length", "till.test", "Content-Length: " + std::to_string(64 * kMb) + "\r\n");
  withLength.block = std::string(kBlockBytes, 'x');
  withLength.blocks = 64 * kMb / kBlockBytes;
  auto inChunks = chunkedPost(kBlockBytes, 1, 64 * kMb / kBlockBytes, "/buy/chunks");
  inChunks.tail = "0\r\n\r\n";
  CHECK(statusOfWhole(deployment.edge(), withLength, watch) == 200);
  CHECK(statusOfWhole(deployment.edge(), inChunks, watch) == 200);
  watch.check(limits.memoryBytes, limits.openFiles);
  watch.checkReleased(limits.memoryBytes * 2 / 3);
}

TEST_CASE("Long answers read slowly, from the cache") {
  Deployment deployment{Limits{}, kAnswerBytes};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  for (auto i = 0; i < 200; ++i)
    crowd.add(slowReader("/items/" + std::to_string(i), "shop.test"));
  crowd.stay(12000, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kEdgeBytes * 2 / 3);
}

TEST_CASE("One long answer of the cache read slowly by many, whole and in ranges") {
  Deployment deployment{Limits{}, kAnswerBytes};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  crowd.add(slowReader("/items/1", "shop.test"));
  crowd.stay(1000, watch.sampler());
  for (auto i = 0; i < 100; ++i) {
    auto reader = slowReader("/items/1", "shop.test");
    if (i % 2 == 0) reader.head = headOf("GET", "/items/1", "shop.test", "Range: bytes=1-\r\n");
    crowd.add(reader);
  }
  crowd.stay(6000, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kEdgeBytes * 2 / 3);
}

TEST_CASE("Long answers read slowly, of a route that keeps nothing") {
  Deployment deployment{Limits{}, kAnswerBytes};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  for (auto i = 0; i < 200; ++i)
    crowd.add(slowReader("/pages/" + std::to_string(i), "till.test"));
  crowd.stay(12000, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kEdgeBytes * 2 / 3);
}

TEST_CASE("Heads of very many small fields") {
  Deployment deployment{Limits{}, 800, 2000};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  std::string fields;
  while (fields.size() < 60000)
    fields += "a:\r\n";
  Misbehaviour client;
  client.head = headOf("GET", "/pages/1", "till.test", fields);
  for (auto i = 0; i < 100; ++i)
    crowd.add(client);
  crowd.run(kCrowdMs, watch.sampler());
  crowd.stay(2000, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kEdgeBytes * 2 / 3);
}

TEST_CASE("Connections that say nothing") {
  const Limits limits{kEdgeBytes, 300, kBodyBytes};
  Deployment deployment{limits};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  MisbehavingClients statusCrowd(deployment.fleet().status("edge-1"));
  for (auto i = 0; i < 400; ++i) {
    crowd.add({});
    if (i % 4 == 0) statusCrowd.add({});
  }
  crowd.run(kCrowdMs, watch.sampler());
  watch.check(limits.memoryBytes, limits.openFiles);
}

TEST_CASE("Upstreams whose answers do not end") {
  Deployment deployment{Limits{}};
  EndlessUpstream endless(deployment.fleet().https("registry"), "flood");
  auto untilMs = neighbour::steadyMs() + kServedMs;
  while (!endless.isTaken() && neighbour::steadyMs() < untilMs)
    ::usleep(50000);
  REQUIRE(endless.isTaken());
  ::usleep(1000000);
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  for (auto i = 0; i < 60; ++i) {
    Misbehaviour client;
    client.head = headOf("GET", "/flood/" + std::to_string(i), "flood.test");
    crowd.add(client);
  }
  crowd.stay(6000, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kEdgeBytes * 2 / 3);
}

TEST_CASE("Crowds of all kinds at once") {
  Deployment deployment{Limits{}, kAnswerBytes};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  Misbehaviour shortBody, smallFields;
  shortBody.head = headOf("POST", "/buy/1", "till.test", "Content-Length: 300001\r\n");
  shortBody.block = std::string(300000, 'x');
  shortBody.blocks = 1;
  smallFields.head = headOf("GET", "/pages/1", "till.test");
  smallFields.head.resize(smallFields.head.size() - 2);
  for (auto i = 0; i < 14000; ++i)
    smallFields.head += "a:\r\n";
  smallFields.head += "\r\n";
  for (auto i = 0; i < 20; ++i) {
    crowd.add(chunkedPost(64 << 10, 1, 56));
    crowd.add(chunkedPost(16 << 10, 4, Misbehaviour::kEndless));
    crowd.add(shortBody);
    crowd.add(smallFields);
    crowd.add(slowReader("/pages/" + std::to_string(i), "till.test"));
    crowd.add(slowReader("/items/" + std::to_string(i), "shop.test"));
    for (auto silent = 0; silent < 10; ++silent)
      crowd.add({});
  }
  crowd.stay(8000, watch.sampler());
  watch.check(kEdgeBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kEdgeBytes * 2 / 3);
}

TEST_CASE("Bodies held short of their end at a registry") {
  Deployment deployment{Limits{}};
  Watch watch(deployment, "registry-1");
  MisbehavingClients crowd(deployment.fleet().http("registry-1"));
  for (auto i = 0; i < 60; ++i)
    crowd.add(chunkedPost(64 << 10, 1, 112, "/routing"));
  crowd.run(kCrowdMs, watch.sampler());
  watch.check(kRegistryBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kRegistryBytes / 2);
}

TEST_CASE("A body of very many JSON values at a registry") {
  Deployment deployment{Limits{}};
  Watch watch(deployment, "registry-1");
  MisbehavingClients crowd(deployment.fleet().http("registry-1"));
  std::string values = "[0";
  while (values.size() < 7 * kMb)
    values += ",0";
  Misbehaviour client;
  client.head = headOf("POST", "/routing", "any", "Content-Length: " + std::to_string(values.size() + 1) + "\r\n");
  client.block = values + "]";
  client.blocks = 1;
  crowd.add(client);
  crowd.run(kCrowdMs, watch.sampler());
  crowd.stay(2000, watch.sampler());
  watch.check(kRegistryBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kRegistryBytes / 2);
}

TEST_CASE("The configuration read slowly by many at a registry") {
  Deployment deployment{Limits{}};
  auto change = Deployment::routing("\"" + std::string(2 * kMb, 's') + "\"");
  change.replace(change.find("\"version\": 2, \"base\": 0"), 23, "\"version\": 4, \"base\": 2");
  REQUIRE(deployment.order(change).status == 200);
  Watch watch(deployment, "registry-1");
  MisbehavingClients crowd(deployment.fleet().http("registry-1"));
  for (auto i = 0; i < 150; ++i)
    crowd.add(slowReader("/routing", "any"));
  crowd.stay(4000, watch.sampler());
  watch.check(kRegistryBytes, kEdgeFiles);
  crowd.leave();
  watch.checkReleased(kRegistryBytes / 2);
}

// The sizes of a machine of the users' site, by hand: `overload_test "[.full]"`.
TEST_CASE("Crowds at the size of a machine", "[.full]") {
  const Limits limits{260 * kMb, 4100, 64 * kMb};
  Deployment deployment{limits, 2 * kMb};
  Watch watch(deployment, "edge-1");
  MisbehavingClients crowd(deployment.edge());
  SECTION("60 chunked bodies of 24 MiB, held short of their end") {
    for (auto i = 0; i < 60; ++i)
      crowd.add(chunkedPost(64 << 10, 16, 24));
    crowd.run(2 * kCrowdMs, watch.sampler());
  }
  SECTION("600 chunked bodies of 0.9 MB held") {
    for (auto i = 0; i < 600; ++i)
      crowd.add(chunkedPost(9000, 100, 1));
    crowd.run(2 * kCrowdMs, watch.sampler());
  }
  SECTION("40 chunked bodies without end") {
    for (auto i = 0; i < 40; ++i)
      crowd.add(chunkedPost(64 << 10, 4, Misbehaviour::kEndless));
    crowd.run(2 * kCrowdMs, watch.sampler());
  }
  SECTION("400 slow readers of objects of 2 MiB") {
    for (auto i = 0; i < 400; ++i)
      crowd.add(slowReader("/items/" + std::to_string(i), "shop.test"));
    crowd.stay(kCrowdMs, watch.sampler());
  }
  SECTION("300 slow readers of a route that keeps nothing") {
    for (auto i = 0; i < 300; ++i)
      crowd.add(slowReader("/pages/" + std::to_string(i), "till.test"));
    crowd.stay(kCrowdMs, watch.sampler());
  }
  SECTION("4,300 connections that say nothing") {
    for (auto i = 0; i < 4300; ++i)
      crowd.add({});
    crowd.run(2 * kCrowdMs, watch.sampler());
  }
  watch.check(limits.memoryBytes, limits.openFiles);
  crowd.leave();
  watch.checkReleased(limits.memoryBytes / 2);
}
