// The ring: what was synced comes back, what was torn is dropped, what is damaged is told.
#include <fcntl.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include "disk/ring.hpp"

using namespace dykestage::disk;

namespace {
struct Folder {
  Folder() {
    auto name = (std::filesystem::temp_directory_path() / "dykestage-disk-XXXXXX").string();
    path = ::mkdtemp(name.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
  Folder(const Folder&) = delete;
  auto operator=(const Folder&) -> Folder& = delete;
  std::string path;
};

auto open(const Folder& folder, uint32_t files = 3, uint64_t bytes = 1 << 16) -> Ring {
  std::string reason;
  auto ring = Ring::open({folder.path, files, bytes}, reason);
  INFO(reason);
  REQUIRE(ring);
  return std::move(*ring);
}

// Where some text stands in a ring file.
auto find(const std::string& file, const std::string& text) -> std::streamoff {
  std::ifstream in(file, std::ios::binary);
  std::string all((std::istreambuf_iterator<char>(in)), {});
  auto at = all.find(text);
  REQUIRE(at != std::string::npos);
  return static_cast<std::streamoff>(at);
}

auto overwrite(const std::string& file, std::streamoff at, const std::string& bytes) -> void {
  std::fstream out(file, std::ios::binary | std::ios::in | std::ios::out);
  out.seekp(at);
  out << bytes;
}
}  // namespace

TEST_CASE("A blank disk says so; what was synced comes back in order") {
  Folder folder;
  {
    auto ring = open(folder);
    CHECK(ring.take().isBlank);
    REQUIRE(ring.append({"one", "two"}));
    REQUIRE(ring.sync());
    REQUIRE(ring.append({"three"}));
    REQUIRE(ring.sync());
  }
  auto ring = open(folder);
  auto found = ring.take();
  CHECK_FALSE(found.isBlank);
  CHECK(found.writes == std::vector<std::string>{"one", "two", "three"});
}

TEST_CASE("A frame cuts the ring, and the ring goes round many times") {
  Folder folder;
  std::string last;
  {
    auto ring = open(folder);
    for (auto i = 0; i < 4000; ++i) {
      last = "record " + std::to_string(i) + std::string(100, 'x');
      if (ring.fill() > 0.5) REQUIRE(ring.saveFrame("frame before " + std::to_string(i)));
      REQUIRE(ring.append({last}));
      REQUIRE(ring.sync());
    }
  }
  auto ring = open(folder);
  auto found = ring.take();
  CHECK(found.frame.rfind("frame before ", 0) == 0);
  REQUIRE_FALSE(found.writes.empty());
  CHECK(found.writes.back() == last);
  auto first = std::stoi(found.frame.substr(13));
  CHECK(found.writes.size() == static_cast<size_t>(4000 - first));
  CHECK(found.writes.front().rfind("record " + std::to_string(first), 0) == 0);
}

TEST_CASE("Without frames the ring fills up and says so, and loses nothing") {
  Folder folder;
  size_t kept = 0;
  {
    auto ring = open(folder);
    while (ring.append({std::string(1000, 'y')}) && ring.sync())
      ++kept;
    CHECK(ring.reason() == "the ring is full");
    CHECK(kept > 150);
  }
  CHECK(open(folder).take().writes.size() >= kept);
}

TEST_CASE("A torn tail is dropped, and what comes after it is kept") {
  Folder folder;
  {
    auto ring = open(folder);
    REQUIRE(ring.append({"kept-1", "kept-2"}));
    REQUIRE(ring.sync());
    REQUIRE(ring.append({"torn-3", "torn-4"}));  // never synced: the power goes
  }
  // The blocks of an unsynced write reach the disk in any order: the first is lost, the second is there.
  overwrite(folder.path + "/ring-0", find(folder.path + "/ring-0", "torn-3"), "??????");
  {
    auto ring = open(folder);
    auto found = ring.take();
    CHECK(found.writes == std::vector<std::string>{"kept-1", "kept-2"});
    CHECK(found.tornBytes > 0);
    REQUIRE(ring.append({"new-3"}));
    REQUIRE(ring.sync());
  }
  CHECK(open(folder).take().writes == std::vector<std::string>{"kept-1", "kept-2", "new-3"});
}

TEST_CASE("Damage to what was synced is told, not passed over") {
  Folder folder;
  {
    auto ring = open(folder);
    for (auto text : {"first", "second", "third"}) {
      REQUIRE(ring.append({text}));
      REQUIRE(ring.sync());
    }
  }
  overwrite(folder.path + "/ring-0", find(folder.path + "/ring-0", "second"), "??????");
  std::string reason;
  CHECK_FALSE(Ring::open({folder.path, 3, 1 << 16}, reason));
  CHECK(reason.find("record 2") != std::string::npos);
}

TEST_CASE("A newest frame that can't be read is damage, once its ring has moved on") {
  Folder folder;
  {
    auto ring = open(folder);
    REQUIRE(ring.append({"a"}));
    REQUIRE(ring.sync());
    REQUIRE(ring.saveFrame("frame one"));
    REQUIRE(ring.append({"b"}));
    REQUIRE(ring.sync());
  }
  overwrite(folder.path + "/frame-1", find(folder.path + "/frame-1", "frame one"), "?????????");
  std::string reason;
  CHECK_FALSE(Ring::open({folder.path, 3, 1 << 16}, reason));
  CHECK(reason.find("damage") != std::string::npos);
}

TEST_CASE("Restarts take no room") {
  Folder folder;
  for (auto i = 0; i < 20; ++i) {
    auto ring = open(folder);
    CHECK(ring.take().writes.size() == static_cast<size_t>(i));
    REQUIRE(ring.append({"start " + std::to_string(i)}));
    REQUIRE(ring.sync());
  }
  auto ring = open(folder);
  CHECK(ring.fill() < 0.1);
  CHECK(ring.take().writes.size() == 20);
}
