// How blank registries find each other: one list comes out or none, whatever is lost, late or wiped.
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>

#include "core/gathering.hpp"
#include "core/registry.hpp"

using namespace dykestage;
using core::Gathering;
using neighbour::Gather;
using List = std::vector<std::string>;

namespace {
constexpr int64_t kBoundMs = 2000, kEveryMs = kBoundMs / 40;

auto named(size_t i) -> std::string {
  return "10.0.0." + std::to_string(i + 1) + ":9000";
}
auto names(size_t count) -> List {
  List list;
  for (size_t i = 0; i < count; ++i)
    list.push_back(named(i));
  return list;
}

// Processes that gather or have a list, and lines between them, each in order, with delays and losses.
class Room {
 public:
  struct Process {
    std::unique_ptr<Gathering> gathering;  // none: it is down
    List list;                             // once it has one; then it answers as a registry does
    bool wasLeftOut = false;
  };
  Room(List seeds, uint32_t seed) : seeds_(std::move(seeds)), random_(seed) {}
  int lossPercent = 0;
  int64_t delayMs = 1;

  auto start(const std::string& name, bool mayForm = true) -> void {
    processes_[name] = {
        std::make_unique<Gathering>(Gathering::Props{name, seeds_, ++lives_, kBoundMs, mayForm}, nowMs_), {}, false};
  }
  auto has(const std::string& name, List list) -> void { processes_[name].list = std::move(list); }
  auto stop(const std::string& name) -> void { processes_[name] = {}; }
  auto at(const std::string& name) -> Process& { return processes_[name]; }
  auto roll(int below) -> int { return std::uniform_int_distribution<int>(0, below - 1)(random_); }

  auto run(int64_t forMs) -> void {
    for (auto untilMs = nowMs_ + forMs; nowMs_ < untilMs; nowMs_ += 5) {
      for (auto& [line, letters] : lines_)
        while (!letters.empty() && letters.front().first <= nowMs_) {
          auto letter = std::move(letters.front().second);
          letters.pop_front();
          arrive(line.first, line.second, letter);
        }
      for (auto& [name, process] : processes_) {
        if (!process.gathering) continue;
        process.gathering->tick(nowMs_);
        for (auto& sent : process.gathering->output())
          send(name, sent.to, sent.letter);
        look(process);
      }
    }
  }
  /// All lists that were ever settled.
  std::set<List> lists;

 private:
  auto look(Process& process) -> void {
    process.wasLeftOut = process.gathering->isLeftOut();
    if (!process.gathering->addresses()) return;
    process.list = *process.gathering->addresses();
    process.gathering.reset();
    lists.insert(process.list);
  }
  auto send(const std::string& from, const std::string& to, const Gather& letter) -> void {
    if (roll(100) < lossPercent) return;
    auto& line = lines_[{from, to}];
    auto atMs = nowMs_ + 1 + roll(static_cast<int>(delayMs));
    line.emplace_back(line.empty() ? atMs : std::max(atMs, line.back().first), letter);
  }
  auto arrive(const std::string& from, const std::string& to, const Gather& letter) -> void {
    auto& process = processes_[to];
    if (process.gathering) {
      process.gathering->take(from, letter, nowMs_);
      look(process);
    } else if (!process.list.empty() && !letter.isDone) {
      send(to, from, {0, {}, false, true, process.list});
    }
  }

  List seeds_;
  std::mt19937 random_;
  int64_t nowMs_ = 0;
  uint64_t lives_ = 0;
  std::map<std::string, Process> processes_;
  std::map<std::pair<std::string, std::string>, std::deque<std::pair<int64_t, Gather>>> lines_;
};
}  // namespace

TEST_CASE("three find each other, whatever the order of their letters") {
  // All orders of the six letters of a round; each arrives before the next one leaves.
  std::vector<std::pair<size_t, size_t>> order = {{0, 1}, {0, 2}, {1, 0}, {1, 2}, {2, 0}, {2, 1}};
  do {
    std::vector<Gathering> all;
    for (size_t i = 0; i < 3; ++i)
      all.emplace_back(Gathering::Props{named(i), names(3), i + 1, kBoundMs, true}, 0);
    for (int64_t nowMs = 0; nowMs <= kBoundMs; nowMs += kEveryMs) {
      std::map<std::pair<size_t, size_t>, Gather> letters;
      for (size_t i = 0; i < 3; ++i) {
        all[i].tick(nowMs);
        for (auto& sent : all[i].output())
          for (size_t j = 0; j < 3; ++j)
            if (sent.to == named(j)) letters[{i, j}] = sent.letter;
      }
      for (const auto& way : order)
        if (letters.count(way)) all[way.second].take(named(way.first), letters[way], nowMs);
      if (nowMs < kBoundMs / 2) {
        for (const auto& one : all)
          REQUIRE_FALSE(one.addresses());
      }
    }
    for (const auto& one : all)
      REQUIRE(one.addresses() == names(3));
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("five with three seeds find each other through losses and delays") {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Room room(names(3), seed);
    room.lossPercent = 20;
    room.delayMs = 100;
    for (const auto& name : names(5))
      room.start(name);
    room.run(60000);
    CHECK(room.lists == std::set<List>{names(5)});
    for (const auto& name : names(5))
      CHECK(room.at(name).list == names(5));
  }
}

TEST_CASE("whoever comes after the list is settled has no seat, and goes on") {
  Room room(names(3), 1);
  for (const auto& name : names(3))
    room.start(name);
  room.run(3000);
  CHECK(room.at(named(0)).list == names(3));
  room.start(named(3));
  room.run(5000);
  CHECK(room.at(named(3)).wasLeftOut);
  CHECK(room.at(named(3)).gathering);
  CHECK(room.lists == std::set<List>{names(3)});
}

TEST_CASE("a fourth that comes before the list is settled is in it") {
  Room room(names(3), 1);
  for (const auto& name : names(3))
    room.start(name);
  room.run(800);
  room.start(named(3));
  room.run(3000);
  CHECK(room.lists == std::set<List>{names(4)});
  CHECK(room.at(named(3)).list == names(4));
}

TEST_CASE("a wiped one learns the list from the one seed that is up") {
  Room room(List{named(4), named(7)}, 1);  // other and fewer ones than those of the first start
  room.has(named(4), names(5));
  room.start(named(1), false);
  room.run(1000);
  CHECK(room.at(named(1)).list == names(5));
}

TEST_CASE("wiped ones alone never settle a list, nor does a new one with wiped seeds") {
  Room room(names(3), 1);
  for (const auto& name : names(3))
    room.start(name, false);
  room.start(named(3), true);
  room.run(60000);
  CHECK(room.lists.empty());
}

TEST_CASE("two alone settle no list, nor do those who miss a seed") {
  Room two(names(2), 1);
  for (const auto& name : names(2))
    two.start(name);
  two.run(20000);
  CHECK(two.lists.empty());
  Room missing(names(3), 1);
  for (size_t i : {0, 1, 3, 4})
    missing.start(named(i));
  missing.run(20000);
  CHECK(missing.lists.empty());
}

TEST_CASE("two lists never come out: late ones, lost and late letters, restarts of blank ones") {
  size_t settled = 0, leftOut = 0;
  for (uint32_t seed = 1; seed <= 1500; ++seed) {
    INFO("seed " << seed);
    Room room(names(3), seed);
    room.lossPercent = room.roll(60);
    room.delayMs = 1 + room.roll(1500);
    auto count = 3 + static_cast<size_t>(room.roll(4));
    std::vector<int64_t> startMs;
    for (size_t i = 0; i < count; ++i)
      startMs.push_back(int64_t{100} * room.roll(60));
    for (int64_t nowMs = 0; nowMs < 30000; nowMs += 100) {
      for (size_t i = 0; i < count; ++i) {
        if (startMs[i] == nowMs) room.start(named(i));
        if (startMs[i] < nowMs && nowMs < 15000 && room.roll(300) == 0 && room.at(named(i)).gathering)
          room.start(named(i));
      }
      room.run(100);
    }
    REQUIRE(room.lists.size() <= 1);
    settled += room.lists.size();
    for (const auto& name : names(count)) {
      auto& process = room.at(name);
      if (!process.list.empty()) REQUIRE(std::count(process.list.begin(), process.list.end(), name) == 1);
      leftOut += process.wasLeftOut && process.list.empty();
    }
  }
  // The histories reach both ends.
  CHECK(settled > 500);
  CHECK(leftOut > 20);
}

TEST_CASE("a registry tells its list to whoever gathers, and to nobody who has one") {
  core::Registry::Props props;
  for (size_t i = 0; i < 3; ++i)
    props.addresses[static_cast<tempo::Slot>(i + 1)] = named(i);
  core::Registry registry(props, "", {}, 7);
  registry.output();
  Gather asked;
  registry.take(named(8), neighbour::kGather, Writer().put(asked).take(), 100);
  auto out = registry.output();
  REQUIRE(out.letters.size() == 1);
  CHECK(out.letters[0].to == named(8));
  CHECK(out.letters[0].kind == neighbour::kGather);
  auto told = Reader(out.letters[0].body).get<Gather>();
  CHECK(told.isDone);
  CHECK(told.addresses == names(3));
  registry.take(named(8), neighbour::kGather, Writer().put(told).take(), 200);
  CHECK(registry.output().letters.empty());
}
