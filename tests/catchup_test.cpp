// How a registry that was away comes back: off the path of acknowledgements, in time bounded by the state's size.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "core/state.hpp"
#include "disk/ring.hpp"
#include "neighbour/post.hpp"
#include "neighbour/silence.hpp"
#include "sim/catchup_sim.hpp"

using namespace dykestage;

namespace {
constexpr int64_t kLimitMs = 500;

// A machine that lost power: it took a connection, and its kernel never answers on it again.
class DarkPeer {
 public:
  DarkPeer() {
    listener_ = disk::Fd(::socket(AF_INET, SOCK_STREAM, 0));
    int on = 1;
    ::setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener_.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(::listen(listener_.get(), 4) == 0);
    socklen_t size = sizeof at;
    ::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
  }
  auto address() const -> std::string { return "127.0.0.1:" + std::to_string(port_); }
  /// Takes the connection as nng's pull socket does, and listens no more.
  auto acceptAndGoDark() -> void {
    connection_ = disk::Fd(::accept(listener_.get(), nullptr, nullptr));
    const char greeting[8] = {0, 'S', 'P', 0, 0, 0x51, 0, 0};
    REQUIRE(::write(connection_.get(), greeting, sizeof greeting) == sizeof greeting);
    listener_ = disk::Fd();
  }

 private:
  disk::Fd listener_, connection_;
  uint16_t port_ = 0;
};

// Waits for another thread's doing; the tests' own clock stands still meanwhile.
template <typename F>
auto eventually(F&& isSo) -> bool {
  for (int turn = 0; turn < 4000; ++turn) {
    if (isSo()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}
}  // namespace

TEST_CASE("a peer is silent once it owes a sign of life for the limit") {
  neighbour::SilenceWatch watch(0);
  watch.expect("peer", kLimitMs);
  CHECK_FALSE(watch.isSilent("peer", 100000));  // nothing was sent
  watch.sent("peer", 1000);
  watch.sent("peer", 1400);  // later letters do not put the limit off
  CHECK_FALSE(watch.isSilent("peer", 1499));
  CHECK(watch.isSilent("peer", 1500));
  watch.heard("peer");
  CHECK_FALSE(watch.isSilent("peer", 9000));
  watch.sent("peer", 9000);
  CHECK_FALSE(watch.isSilent("peer", 9499));
  CHECK(watch.isSilent("peer", 9500));
  // Without a limit nobody is called silent.
  watch.sent("another", 1000);
  CHECK_FALSE(watch.isSilent("another", 100000));
}

TEST_CASE("letters reach a machine that comes back after a loss of power") {
  std::atomic<int64_t> nowMs{0};
  std::string reason;
  neighbour::Post::Props props{"127.0.0.1:0"};
  props.nowMs = [&nowMs] { return nowMs.load(); };
  auto post = neighbour::Post::open(
      props, [](neighbour::Letter) {}, reason);
  REQUIRE(post);
  DarkPeer dark;
  auto peer = dark.address();
  // A registry opens lines to the others while they gather, before it knows that they are to be expected.
  auto isExpectedFirst = GENERATE(true, false);
  if (isExpectedFirst) post->expect(peer, kLimitMs);
  post->warm(peer);
  if (!isExpectedFirst) post->expect(peer, kLimitMs);
  dark.acceptAndGoDark();
  REQUIRE(eventually([&] { return post->isUp(peer); }));
  REQUIRE(post->send(peer, 1, "lost"));

  std::atomic<int> arrived{0};
  auto back = neighbour::Post::open(
      {peer}, [&](neighbour::Letter) { ++arrived; }, reason);
  REQUIRE(back);
  nowMs = kLimitMs;
  CHECK_FALSE(post->send(peer, 1, "redials"));
  REQUIRE(eventually([&] { return post->isUp(peer); }));
  CHECK(post->send(peer, 1, "arrives"));
  CHECK(eventually([&] { return arrived == 1; }));
}

TEST_CASE("no order waits for a registry that came back and hears nobody") {
  auto result = sim::CatchUpSim({.changes = 20, .deafForMs = 5000}).run();
  CHECK(result.changes == 20);
  CHECK(result.longestCatchUpAckMs < 200);
  CHECK(result.catchUpMs >= 5000);  // it is not taken for current before it hears
  CHECK(result.catchUpMs < 6000);
}

TEST_CASE("changes go on while a registry catches up, however it was away") {
  for (auto absence : {sim::Absence::kPowerLoss, sim::Absence::kWipe, sim::Absence::kFreeze}) {
    INFO("absence " << static_cast<int>(absence));
    auto result = sim::CatchUpSim({.changes = 1000, .absence = absence}).run();
    CHECK(result.changes == 1000);
    CHECK(result.catchUpMs >= 0);
    CHECK(result.catchUpMs < 2500);
    CHECK(result.longestCatchUpAckMs < 1000);
    CHECK(result.firstAckAfterLossMs < 1000);
    CHECK(result.droppedLetters == 0);
  }
}

namespace {
auto order(core::State& state, const core::Op& op, uint64_t number) -> core::OpResult {
  tempo::Command command;
  command.id = {1, number};
  command.parts = op.parts();
  command.payload = Writer().put(std::vector<core::Op>{op}).take();
  return Reader(state.apply(command, number)).get<std::vector<core::OpResult>>().front();
}
}  // namespace

TEST_CASE("the log stays within half of its room through 10,000 changes") {
  auto result = sim::CatchUpSim({.changes = 10000}).run();
  CHECK(result.changes == 10000);
  CHECK(result.catchUpMs >= 0);
  CHECK(result.largestRingBytes < sim::CatchUpSim::Props{}.ringBytes * 6 / 10);
}

namespace {
namespace files = std::filesystem;

struct DataFolder {
  DataFolder() {
    auto name = (files::temp_directory_path() / "dykestage-catchup-XXXXXX").string();
    path = ::mkdtemp(name.data());
  }
  DataFolder(const DataFolder&) = delete;
  auto operator=(const DataFolder&) -> DataFolder& = delete;
  ~DataFolder() { files::remove_all(path); }
  files::path path;
};

auto openRing(const files::path& folder) -> disk::Ring {
  std::string reason;
  auto ring = disk::Ring::open({folder.string(), 3, 1 << 16}, reason);
  INFO(reason);
  REQUIRE(ring);
  return std::move(*ring);
}

// What a disk tells after a start: the snapshot's text and the writes behind it.
auto contents(const files::path& folder) -> std::string {
  auto ring = openRing(folder);
  auto found = ring.take();
  auto all = found.frame;
  for (const auto& write : found.writes)
    all += write;
  return all;
}
}  // namespace

TEST_CASE("a loss of power between a snapshot's rename and the folder's sync loses nothing") {
  DataFolder before, after;
  {
    auto ring = openRing(before.path);
    REQUIRE(ring.append({"a"}));
    REQUIRE(ring.saveFrame("A"));
    REQUIRE(ring.append({"b"}));
    REQUIRE(ring.saveFrame("AB"));
    REQUIRE(ring.append({"c"}));
    REQUIRE(ring.sync());
    files::copy(before.path, after.path, files::copy_options::recursive);
  }
  {
    auto ring = openRing(after.path);
    ring.take();
    REQUIRE(ring.saveFrame("ABC"));
  }
  // The rename and the new file may each be kept or lost by itself.
  CHECK(contents(after.path) == "ABC");
  CHECK(contents(before.path) == "ABc");
  files::copy_file(after.path / "frame-1", before.path / "frame-1.new");
  CHECK(contents(before.path) == "ABc");
  files::remove(before.path / "frame-1");  // the replaced name is gone, the new one not yet there
  CHECK(contents(before.path) == "ABc");
}

TEST_CASE("a snapshot that was written in part is never taken for a whole one") {
  DataFolder folder;
  {
    auto ring = openRing(folder.path);
    REQUIRE(ring.append({"a"}));
    REQUIRE(ring.saveFrame("A"));
    REQUIRE(ring.append({"b"}));
    REQUIRE(ring.saveFrame("AB" + std::string(5000, 'x')));
  }
  auto newest = folder.path / "frame-0";
  auto size = files::file_size(newest);
  for (auto kept : {size - 1, size / 2, uintmax_t{30}, uintmax_t{0}}) {
    files::resize_file(newest, kept);
    CHECK(contents(folder.path) == "Ab");
  }
}

TEST_CASE("a snapshot that finds no room leaves the log whole, and a later one succeeds") {
  DataFolder folder;
  auto blocked = folder.path / "frame-0.new";
  {
    auto ring = openRing(folder.path);
    REQUIRE(ring.append({"a"}));
    REQUIRE(ring.saveFrame("A"));
    files::create_directory(blocked);  // stands for a disk that takes no new file
    REQUIRE(ring.append({"b"}));
    CHECK_FALSE(ring.saveFrame("AB"));
    REQUIRE(ring.append({"c"}));
    REQUIRE(ring.sync());
  }
  CHECK(contents(folder.path) == "Abc");
  files::remove(blocked);
  {
    auto ring = openRing(folder.path);
    ring.take();
    REQUIRE(ring.saveFrame("ABC"));
  }
  CHECK(contents(folder.path) == "ABC");
}

TEST_CASE("a leader that stood still through two changes of leader decides nothing") {
  core::State state;
  uint64_t number = 0;
  core::Op upstream;
  upstream.kind = core::OpKind::kAnnounce;
  upstream.name = "u-1";
  upstream.upstream.address = "10.1.0.1:80";
  upstream.upstream.service = "shop";
  upstream.upstream.number = 1;
  order(state, upstream, ++number);
  REQUIRE(state.frame().upstreams.count("u-1") == 1);
  for (uint64_t term : {1, 2, 3}) {
    core::Op claim;
    claim.kind = core::OpKind::kClaim;
    claim.name = core::kWatchDuty;
    claim.term = term;
    claim.incarnation = 100 + term;
    CHECK(order(state, claim, ++number).outcome == core::Outcome::kDone);
  }
  core::Op signOff;
  signOff.kind = core::OpKind::kSignOff;
  signOff.name = "u-1";
  for (uint64_t term : {1, 2}) {
    signOff.term = term;
    CHECK(order(state, signOff, ++number).outcome == core::Outcome::kOldTerm);
    CHECK(state.frame().upstreams.count("u-1") == 1);
  }
  signOff.term = 3;
  CHECK(order(state, signOff, ++number).outcome == core::Outcome::kDone);
  CHECK(state.frame().upstreams.count("u-1") == 0);
}
