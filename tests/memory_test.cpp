// The account of memory, who is shed, and how a process parts its machine: inputs in, decisions compared. Then the HTTP
// server and the client of upstreams with an account of their own, over real sockets.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <catch2/catch.hpp>

#include <mutex>
#include <thread>

#include "base/body.hpp"
#include "base/memory_account.hpp"
#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "caller/pending_answers.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"
#include "policy/cache.hpp"
#include "policy/process_limits.hpp"
#include "policy/shedding.hpp"
#include "sim/misbehaving_clients.hpp"
#include "upstream/desk.hpp"
#include "upstream/fetcher.hpp"

using namespace dykestage;

namespace {
constexpr size_t kKb = 1 << 10;

auto accountOf(size_t totalKb, size_t reserveKb, size_t smallKb = 32) -> std::shared_ptr<MemoryAccount> {
  return std::make_shared<MemoryAccount>(MemoryAccount::Options{totalKb * kKb, reserveKb * kKb, smallKb * kKb});
}

// Answers on a thread of its own, as a program's loop does.
class Server {
 public:
  Server(std::function<caller::Answer(const caller::Request&)> handle, caller::Face::Props props)
      : memory_(props.memory), face_(std::move(props), [this](caller::Request r) { inbox_.push(std::move(r)); }) {
    loop_ = std::thread([this, handle = std::move(handle)] { run(handle); });
  }
  ~Server() {
    isOver_ = true;
    loop_.join();
  }
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;
  auto at() const -> std::string { return "127.0.0.1:" + std::to_string(face_.port()); }
  auto face() -> caller::Face& { return face_; }
  auto shed() const -> uint64_t { return shed_; }

 private:
  auto run(const std::function<caller::Answer(const caller::Request&)>& handle) -> void {
    caller::PendingAnswers pending(memory_);
    while (!isOver_) {
      std::vector<pollfd> fds = {{inbox_.fd(), POLLIN, 0}};
      pending.pollFor(fds);
      ::poll(fds.data(), fds.size(), 10);
      for (auto& request : inbox_.take()) {
        request.stream->answer(handle(request), request.method, request.keep);
        pending.add(request.stream);
      }
      pending.flush(neighbour::steadyMs());
      shed_ = pending.shed();
    }
  }
  std::shared_ptr<MemoryAccount> memory_;
  neighbour::Inbox<caller::Request> inbox_{1024};
  caller::Face face_;
  std::atomic<bool> isOver_{false};
  std::atomic<uint64_t> shed_{0};
  std::thread loop_;
};

auto propsWith(const std::shared_ptr<MemoryAccount>& memory, size_t bodyBytes = 1 << 20) -> caller::Face::Props {
  caller::Face::Props props;
  props.threads = 1;
  props.bodyBytes = bodyBytes;
  props.memory = memory;
  return props;
}

auto fetchFrom(const std::string& at, const std::string& method, std::string body = "") -> upstream::Fetched {
  upstream::Fetch fetch;
  fetch.address = at;
  fetch.method = method;
  fetch.body = std::move(body);
  fetch.timeoutMs = 5000;
  return upstream::fetchOnce(fetch);
}

// Waits until something holds; false when it does not within a generous time.
template <typename Condition>
auto holdsSoon(const Condition& condition) -> bool {
  auto untilMs = neighbour::steadyMs() + 10000;
  while (neighbour::steadyMs() < untilMs) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

// The fetches that end first.
auto endedOf(upstream::Fetcher& fetcher) -> std::vector<upstream::Fetched> {
  std::vector<upstream::Fetched> ended;
  std::vector<pollfd> none;
  CHECK(holdsSoon([&] {
    ended = fetcher.run(none, 10);
    return !ended.empty();
  }));
  return ended;
}

constexpr auto kNothing = [] {};
}  // namespace

TEST_CASE("An account is parted: large holders leave the reserve to small ones") {
  auto account = accountOf(100, 40);
  CHECK(account->largestBytes() == 60 * kKb);
  CHECK(account->draw(MemoryUse::kRequests, 0, 60 * kKb));
  CHECK(account->largeRoomBytes() == 0);
  CHECK_FALSE(account->draw(MemoryUse::kAnswers, 0, 33 * kKb));
  CHECK(account->draw(MemoryUse::kAnswers, 0, 32 * kKb));
  CHECK_FALSE(account->hasRoom(0, 32 * kKb));
  CHECK(account->hasRoom(0, 8 * kKb));
  // What one has already counts: it may not stay small by asking often.
  CHECK_FALSE(account->draw(MemoryUse::kAnswers, 32 * kKb, 1));
  CHECK(account->refusals() == 2);
  CHECK(account->usedBytes() == 92 * kKb);
  CHECK(account->usedBytes(MemoryUse::kAnswers) == 32 * kKb);
  account->giveBack(MemoryUse::kRequests, 60 * kKb);
  CHECK(account->largeRoomBytes() == 28 * kKb);
}

TEST_CASE("Sizes that would overflow are refused") {
  auto account = accountOf(100, 40);
  CHECK(account->draw(MemoryUse::kRequests, 0, 10));
  CHECK_FALSE(account->draw(MemoryUse::kRequests, 0, SIZE_MAX - 5));
  CHECK(account->usedBytes() == 10);
}

TEST_CASE("Threads that draw at the same time never have more than there is") {
  auto account = accountOf(64, 0, 64);
  std::atomic<size_t> most{0};
  std::vector<std::thread> threads;
  for (auto i = 0; i < 4; ++i)
    threads.emplace_back([&] {
      for (auto turn = 0; turn < 20000; ++turn) {
        MemoryGrant grant(account, MemoryUse::kRequests);
        if (grant.grow(20 * kKb) && account->usedBytes() > most) most = account->usedBytes();
      }
    });
  for (auto& thread : threads)
    thread.join();
  CHECK(most <= 64 * kKb);
  CHECK(account->usedBytes() == 0);
}

TEST_CASE("A body is held once, and what was drawn for it goes back with the last reference") {
  auto account = accountOf(100, 0);
  MemoryGrant grant(account, MemoryUse::kRequests);
  REQUIRE(grant.grow(10));
  Body body("0123456789", std::move(grant));
  auto part = body.slice(2, 3);
  CHECK(part == "234");
  CHECK(part.data() == body.data() + 2);
  auto copy = body;
  CHECK(copy.data() == body.data());
  body = {};
  copy = {};
  CHECK(account->usedBytes() == 10);
  part = {};
  CHECK(account->usedBytes() == 0);
  CHECK(Body("abc").slice(9, 2).empty());
}

TEST_CASE("A body is written and read as a string is") {
  auto bytes = Writer().put(Body("body").slice(1, 2)).take();
  CHECK(bytes == Writer().put(std::string("od")).take());
  Reader reader(bytes);
  CHECK(reader.get<Body>() == "od");
  CHECK(reader.done());
}

TEST_CASE("A body from elsewhere is drawn for once, or not at all") {
  auto account = accountOf(100, 50, 1);
  Body body(std::string(40 * kKb, 'x'));
  CHECK(body.draw(account, MemoryUse::kPeers));
  CHECK(body.draw(account, MemoryUse::kPeers));
  CHECK(account->usedBytes(MemoryUse::kPeers) == 40 * kKb);
  Body other(std::string(40 * kKb, 'x'));
  CHECK_FALSE(other.draw(account, MemoryUse::kPeers));
  CHECK(account->usedBytes() == 40 * kKb);
}

TEST_CASE("Bytes of an unknown size grow in few steps, never past their limit") {
  std::string bytes;
  auto moves = 0;
  const char* place = bytes.data();
  for (auto i = 0; i < 1024; ++i) {
    appendTo(bytes, std::string(4 * kKb, 'x'), 5 << 20);
    if (std::exchange(place, static_cast<const char*>(bytes.data())) != bytes.data()) ++moves;
  }
  CHECK(bytes.size() == 4 << 20);
  CHECK(bytes.capacity() <= 5 << 20);
  CHECK(moves <= 10);
}

TEST_CASE("Who holds most for the least progress is shed first, and only whoever is slow") {
  const policy::ShedRules rules{1000, 1000};
  const std::vector<policy::Holding> holdings = {
      {5000, 10, 0},     // slow
      {9000, 9000, 0},   // moves well
      {9000, 10, 0},     // slow, and holds more
      {20000, 0, 9500},  // began a moment ago
      {0, 0, 0},         // holds nothing
      {9000, 500, 0},    // slow, but faster than the others
  };
  CHECK(policy::chooseToShed(holdings, rules, SIZE_MAX, 10000) == std::vector<size_t>{2, 0, 5});
  CHECK(policy::chooseToShed(holdings, rules, 9001, 10000) == std::vector<size_t>{2, 0});
  CHECK(policy::chooseToShed(holdings, rules, 0, 10000).empty());
}

TEST_CASE("Progress is what moved of late: whoever was fast once and stopped is slow") {
  policy::Progress progress;
  progress.start(0);
  progress.add(100000, 10);
  CHECK(progress.bytesPerS(500) == 100000);
  CHECK(progress.bytesPerS(2000) == 0);
  progress.add(100, 2500);
  CHECK(progress.bytesPerS(2600) == 100);
  progress.add(200, 3600);
  CHECK(progress.bytesPerS(3600) == Approx(300));
  CHECK(progress.bytesPerS(4100) == Approx(200));
  CHECK(progress.sinceMs() == 0);
}

TEST_CASE("Free memory is handed back once, when a crowd has left") {
  MemoryReturn memoryReturn(1500);
  CHECK_FALSE(memoryReturn.observe(1400));
  CHECK_FALSE(memoryReturn.observe(0));
  CHECK_FALSE(memoryReturn.observe(4000));
  CHECK_FALSE(memoryReturn.observe(1001));
  CHECK(memoryReturn.observe(1000));
  CHECK_FALSE(memoryReturn.observe(10));
}

TEST_CASE("A process parts its machine's memory and descriptors") {
  constexpr size_t kMb = 1 << 20;
  auto edge = policy::processLimitsOf({260 * kMb, 4100, 64 * kMb});
  CHECK(edge.bodyBytes == 64 * kMb);
  CHECK(edge.accountBytes < 160 * kMb);
  CHECK(2 * edge.connections + edge.upstreams + 512 <= 4100);
  CHECK(edge.accountBytes + (edge.connections + edge.upstreams / 2) * policy::kSocketBufferBytes < 235 * kMb);
  // Each connection's small request finds room beside any large ones.
  CHECK(edge.reserveBytes >= edge.connections * 32 * kKb);
  // In calm the largest body fits beside a full cache; on a small machine the cache keeps a quarter until it is in the
  // way.
  CHECK(edge.roomBytes == edge.bodyBytes);
  auto half = policy::processLimitsOf({128 * kMb, 4100, 64 * kMb});
  CHECK(half.roomBytes < half.bodyBytes);
  CHECK(half.accountBytes - half.reserveBytes - half.roomBytes >= half.accountBytes / 4);
  auto manyPeers = policy::processLimitsOf({260 * kMb, 4100, 64 * kMb, 800});
  CHECK(2 * manyPeers.connections + manyPeers.upstreams + 2400 <= 4100);
  CHECK(manyPeers.connections > 100);
  auto small = policy::processLimitsOf({16 * kMb, 64, 64 * kMb});
  CHECK(small.bodyBytes < 16 * kMb);
  CHECK(small.connections >= 8);
  auto account = policy::accountOf(edge);
  CHECK(account->hasRoom(0, 64 * kMb));
}

TEST_CASE("A cache gives way, what was used least recently first") {
  policy::Cache cache(1 << 20);
  for (auto i = 0; i < 4; ++i) {
    policy::Copy copy;
    copy.body = std::string(100 * kKb, 'x');
    copy.keepMs = 1000;
    CHECK(cache.put("s", "/" + std::to_string(i), {}, copy, {}));
  }
  CHECK(cache.get("s", "/0", {}, 10));
  cache.evict(150 * kKb);
  CHECK(cache.size() == 2);
  CHECK(cache.get("s", "/0", {}, 10));
  cache.evict(SIZE_MAX);
  CHECK(cache.size() == 0);
  CHECK(cache.bytes() == 0);
}

TEST_CASE("A cache leaves room for what clients send, and no more than that") {
  auto memory = accountOf(1000, 200);
  policy::Cache cache(1 << 20);
  for (auto i = 0; i < 6; ++i) {
    policy::Copy copy;
    copy.body = std::string(100 * kKb, 'x');
    REQUIRE(copy.body.draw(memory, MemoryUse::kAnswers));
    copy.keepMs = 1000;
    CHECK(cache.put("s", "/" + std::to_string(i), {}, copy, {}));
  }
  cache.leaveRoom(*memory, 200 * kKb);
  CHECK(cache.size() == 6);
  cache.leaveRoom(*memory, 400 * kKb);
  CHECK(cache.size() == 4);
  CHECK(memory->largeRoomBytes() == 400 * kKb);
}

TEST_CASE("A body for which there is no room is refused with when to come back, and frees what it held") {
  auto memory = accountOf(600, 200);
  std::atomic<int> taken{0};
  Server server(
      [&](const caller::Request&) {
        ++taken;
        return caller::Answer{200, {}, "done"};
      },
      propsWith(memory));
  auto idleBytes = memory->usedBytes();
  auto announced = fetchFrom(server.at(), "POST", std::string(500 * kKb, 'x'));
  CHECK(announced.status == 503);
  CHECK(caller::header(announced.headers, "retry-after") == "0.5");
  CHECK(caller::header(announced.headers, "dykestage-code") == std::to_string(caller::kOverloaded));
  sim::MisbehavingClients chunked(server.at());
  sim::Misbehaviour client;
  client.head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  client.block = sim::chunksOf(10 * kKb, 1);
  client.blocks = 50;
  client.tail = "0\r\n\r\n";
  chunked.add(client);
  chunked.run(5000, kNothing);
  CHECK(chunked.statuses() == std::vector<int>{503});
  CHECK(taken == 0);
  CHECK(server.face().figures().overloaded >= 2);
  chunked.leave();
  CHECK(holdsSoon([&] { return memory->usedBytes() == idleBytes; }));
  CHECK(fetchFrom(server.at(), "POST", std::string(300 * kKb, 'x')).status == 200);
  CHECK(taken == 1);
}

TEST_CASE("A request that holds memory and does not move makes room for others") {
  auto memory = accountOf(600, 200);
  Server server([](const caller::Request&) { return caller::Answer{200, {}, "done"}; }, propsWith(memory));
  sim::MisbehavingClients stuck(server.at());
  sim::Misbehaviour client;
  client.head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300001\r\n\r\n";
  client.block = std::string(300000, 'x');
  client.blocks = 1;
  stuck.add(client);
  stuck.run(5000, kNothing);
  CHECK(stuck.statuses() == std::vector<int>{0});
  CHECK(holdsSoon([&] { return fetchFrom(server.at(), "POST", std::string(300 * kKb, 'x')).status == 200; }));
  stuck.stay(200, kNothing);
  CHECK(stuck.statuses() == std::vector<int>{503});
  CHECK(server.face().figures().shed == 1);
}

TEST_CASE("Small requests find room beside large ones that hold all that they may") {
  auto memory = accountOf(600, 200);
  Server server([](const caller::Request& r) { return caller::Answer{200, {}, r.body}; }, propsWith(memory));
  MemoryGrant large(memory, MemoryUse::kAnswers);
  REQUIRE(large.grow(400 * kKb));
  CHECK(fetchFrom(server.at(), "POST", std::string(60 * kKb, 'x')).status == 503);
  CHECK(fetchFrom(server.at(), "POST", std::string(16 * kKb, 'x')).status == 200);
}

TEST_CASE("A head of very many small fields is drawn for what it takes, not for what it measures") {
  auto memory = accountOf(2000, 500);
  Server server([](const caller::Request&) { return caller::Answer{200, {}, "done"}; }, propsWith(memory));
  sim::MisbehavingClients crowd(server.at());
  sim::Misbehaviour client;
  client.head = "GET / HTTP/1.1\r\nHost: a\r\n";
  for (auto i = 0; i < 10000; ++i)
    client.head += "a:\r\n";
  client.head += "\r\n";
  crowd.add(client);
  crowd.run(5000, kNothing);
  CHECK(crowd.statuses() == std::vector<int>{503});
}

TEST_CASE("A connection too many ends the one that has been idle for longest, or is closed at once") {
  auto props = propsWith(accountOf(2000, 500));
  props.connections = 2;
  Server server([](const caller::Request&) { return caller::Answer{200, {}, "done"}; }, std::move(props));
  sim::MisbehavingClients idle(server.at());
  idle.add({});
  idle.run(1000, kNothing);
  idle.stay(600, kNothing);
  sim::MisbehavingClients busy(server.at());
  sim::Misbehaviour client;
  client.head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx";
  busy.add(client);
  busy.stay(100, kNothing);  // no time yet to be slow
  CHECK(fetchFrom(server.at(), "GET").status == 200);
  CHECK(server.face().figures().idleClosed == 1);
  sim::MisbehavingClients other(server.at());
  other.add(client);
  other.stay(100, kNothing);
  CHECK(fetchFrom(server.at(), "GET").status != 200);
  CHECK(server.face().figures().closedAtOnce >= 1);
  CHECK(server.face().streams() <= 2);
}

TEST_CASE("Clients that read nothing make room for a new connection, however little memory they hold") {
  const Body page(std::string(8 << 20, 'x'));
  auto props = propsWith(accountOf(20000, 1000));
  props.socketBytes = 32 << 10;
  props.connections = 2;
  Server server([&](const caller::Request&) { return caller::Answer{200, {}, page}; }, std::move(props));
  sim::MisbehavingClients silent(server.at());
  sim::Misbehaviour client;
  client.head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  client.readBytes = 0;
  silent.add(client);
  silent.add(client);
  silent.run(1000, kNothing);
  CHECK(holdsSoon([&] { return fetchFrom(server.at(), "GET").status == 200; }));
  CHECK(server.face().figures().shed >= 1);
}

TEST_CASE("A client that reads nothing is given up on once memory is short, and one that reads is not") {
  auto memory = accountOf(20000, 1000);
  auto answer = [&](const caller::Request&) {
    MemoryGrant grant(memory, MemoryUse::kAnswers);
    std::string bytes(8 << 20, 'x');
    if (!grant.grow(bytes.size())) return caller::codeAnswer(caller::kOverloaded, 1);
    return caller::Answer{200, {}, Body(std::move(bytes), std::move(grant))};
  };
  auto props = propsWith(memory);
  props.socketBytes = 32 << 10;
  Server server(answer, std::move(props));
  sim::MisbehavingClients silent(server.at());
  sim::Misbehaviour client;
  client.head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  client.readBytes = 0;
  silent.add(client);
  silent.add(client);
  silent.run(1000, kNothing);
  CHECK(holdsSoon([&] { return fetchFrom(server.at(), "GET").status == 200; }));
  CHECK(server.shed() >= 1);
}

TEST_CASE("A client that asks again and again and reads nothing is closed after a few answers") {
  auto memory = accountOf(100000, 1000);
  const Body page(std::string(4 << 20, 'x'));
  std::atomic<int> taken{0};
  auto props = propsWith(memory);
  props.socketBytes = 32 << 10;
  Server server(
      [&](const caller::Request&) {
        ++taken;
        return caller::Answer{200, {}, page};
      },
      std::move(props));
  sim::MisbehavingClients crowd(server.at());
  sim::Misbehaviour client;
  client.block = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  client.blocks = 1;
  client.readBytes = 0;
  crowd.add(client);
  // One after the other, so that none is sent ahead.
  for (auto i = 0; i < 40; ++i) {
    crowd.stay(10, kNothing);
    crowd.again();
  }
  CHECK(taken <= 20);
}

TEST_CASE("An answer for which there is no room is not read until there is") {
  Server origin(
      [](const caller::Request&) {
        return caller::Answer{200, {}, std::string(300 * kKb, 'x')};
      },
      propsWith(nullptr));
  auto memory = accountOf(400, 50);
  upstream::Fetcher fetcher;
  fetcher.limitMemory(memory, 32 << 10);
  auto held = std::make_unique<MemoryGrant>(memory, MemoryUse::kRequests);
  REQUIRE(held->grow(300 * kKb));
  upstream::Fetch fetch;
  fetch.id = 1;
  fetch.address = origin.at();
  fetch.timeoutMs = 10000;
  fetcher.start(fetch);
  std::vector<pollfd> none;
  auto untilMs = neighbour::steadyMs() + 500;
  while (neighbour::steadyMs() < untilMs)
    CHECK(fetcher.run(none, 10).empty());
  CHECK(memory->usedBytes() <= 400 * kKb);
  held.reset();
  auto ended = endedOf(fetcher);
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().fault == upstream::Fault::kNone);
  CHECK(ended.front().body.size() == 300 * kKb);
  CHECK(memory->usedBytes(MemoryUse::kAnswers) == 300 * kKb);
  ended.clear();
  CHECK(memory->usedBytes() == 0);
}

TEST_CASE("An answer that never finds room ends with its time, as one that may have run") {
  Server origin(
      [](const caller::Request&) {
        return caller::Answer{200, {}, std::string(300 * kKb, 'x')};
      },
      propsWith(nullptr));
  auto memory = accountOf(200, 50);
  upstream::Fetcher fetcher;
  fetcher.limitMemory(memory, 32 << 10);
  upstream::Fetch fetch;
  fetch.id = 1;
  fetch.address = origin.at();
  fetch.timeoutMs = 300;
  fetch.isWrite = true;
  fetch.method = "POST";
  fetcher.start(fetch);
  auto ended = endedOf(fetcher);
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().fault == upstream::Fault::kTimeout);
  CHECK_FALSE(ended.front().isUntouched);
  ended.clear();
  CHECK(memory->usedBytes() == 0);
}
