// The log of a registry under losses of power at any moment: what was synced comes back, and the log goes on.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>

#include "core/registry.hpp"
#include "disk/ring.hpp"

using namespace dykestage::disk;
namespace filesystem = std::filesystem;

namespace {
constexpr uint32_t kRingFiles = 4;
constexpr uint64_t kFileBytes = 1 << 14;
constexpr int kLosses = 12;
constexpr uint64_t kSeeds = 300;

auto contentOf(const filesystem::path& path) -> std::string {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

auto write(const filesystem::path& path, const std::string& bytes) -> void {
  std::ofstream(path, std::ios::binary) << bytes;
}

/// A folder that can lose power: of what was written since the last sync, parts are there and parts are missing.
class LossyFolder {
 public:
  explicit LossyFolder(uint64_t seed) : random_(seed) {
    auto name = (filesystem::temp_directory_path() / "dykestage-loss-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~LossyFolder() { filesystem::remove_all(path_); }
  LossyFolder(const LossyFolder&) = delete;
  auto operator=(const LossyFolder&) -> LossyFolder& = delete;

  auto path() const -> const std::string& { return path_; }
  auto pick(size_t low, size_t high) -> size_t { return low + random_() % (high - low + 1); }
  /// All that stands in files whose names begin so lasts from now on.
  auto noteSynced(const std::string& prefix) -> void {
    for (const auto& entry : filesystem::directory_iterator(path_)) {
      auto name = entry.path().filename().string();
      if (name.starts_with(prefix)) synced_[name] = contentOf(entry.path());
    }
  }
  auto losePower() -> void {
    for (const auto& entry : filesystem::directory_iterator(path_)) {
      auto now = contentOf(entry.path());
      write(entry.path(), afterLoss(synced_[entry.path().filename().string()], now));
    }
  }

 private:
  /// Takes stretches of any length from before and after, or everything from before.
  auto afterLoss(std::string before, const std::string& now) -> std::string {
    before.resize(now.size());
    if (pick(0, 3) == 0) return before;
    for (size_t at = 0; at < now.size();) {
      auto length = std::min(pick(1, 600), now.size() - at);
      if (pick(0, 1) == 1) before.replace(at, length, now, at, length);
      at += length;
    }
    return before;
  }

  std::mt19937_64 random_;
  std::string path_;
  std::map<std::string, std::string> synced_;  // by file name
};

/// Writes numbered records and checkpoints, and knows which of them must come back.
class Writer {
 public:
  explicit Writer(LossyFolder& folder) : folder_(folder) {}

  /// Opens the log after a loss and checks what came back.
  auto open() -> void {
    std::string reason;
    ring_ = Ring::open({folder_.path(), kRingFiles, kFileBytes}, reason);
    INFO(reason);
    REQUIRE(ring_);
    folder_.noteSynced("");
    auto found = ring_->take();
    next_ = found.frame.empty() ? 0 : std::stoull(found.frame);
    CHECK(next_ >= checkpointed_);
    for (const auto& record : found.writes)
      REQUIRE(std::stoull(record) == next_++);
    REQUIRE(next_ >= synced_);
  }
  /// Writes a batch as the registry does: records, at times a checkpoint, and a sync for all.
  auto step(bool isSynced) -> void {
    std::vector<std::string> records;
    for (auto count = folder_.pick(0, 6); count > 0; --count) {
      auto record = std::to_string(next_++) + " ";
      record.resize(folder_.pick(20, folder_.pick(0, 9) == 0 ? 1500 : 300), 'x');
      records.push_back(record);
    }
    if (!records.empty()) must(ring_->append(records));
    if (ring_->fill() > 0.5 || folder_.pick(0, 15) == 0) {
      must(ring_->saveFrame(std::to_string(next_)));
      folder_.noteSynced("frame-");
      checkpointed_ = next_;
    }
    if (!isSynced) return;
    must(ring_->sync());
    folder_.noteSynced("ring-");
    synced_ = next_;
  }
  auto close() -> void { ring_.reset(); }

 private:
  auto must(bool isWell) -> void {
    INFO(ring_->reason());
    REQUIRE(isWell);
  }
  LossyFolder& folder_;
  std::optional<Ring> ring_;
  uint64_t next_ = 0, synced_ = 0, checkpointed_ = 0;
};
}  // namespace

TEST_CASE("A log goes on after any loss of power, and keeps what was synced") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    LossyFolder folder(seed);
    Writer writer(folder);
    for (auto loss = 0; loss < kLosses; ++loss) {
      writer.open();
      for (auto steps = folder.pick(0, 60); steps > 0; --steps)
        writer.step(true);
      for (auto steps = folder.pick(1, 3); steps > 0; --steps)
        writer.step(false);
      writer.close();
      folder.losePower();
    }
  }
}

TEST_CASE("A ring file that was begun when power was lost, and holds no record, has room") {
  constexpr size_t kRecordBytes = 1000, kFileHeadBytes = 20;
  LossyFolder folder(1);
  std::string reason;
  auto second = folder.path() + "/ring-1";
  {
    auto ring = Ring::open({folder.path(), kRingFiles, kFileBytes}, reason);
    REQUIRE(ring);
    while (contentOf(second).at(0) == '\0') {
      REQUIRE(ring->sync());
      REQUIRE(ring->append({std::string(kRecordBytes, 'x')}));
    }
  }
  auto begun = contentOf(second).substr(0, kFileHeadBytes);
  write(second, begun + std::string(kFileBytes - kFileHeadBytes, '\0'));
  auto ring = Ring::open({folder.path(), kRingFiles, kFileBytes}, reason);
  REQUIRE(ring);
  CHECK(ring->append({std::string(kRecordBytes, 'y')}));
  CHECK(ring->reason().empty());
}

TEST_CASE("A registry that finds its log full begins with a checkpoint, which makes room") {
  LossyFolder folder(1);
  std::string reason;
  dykestage::core::Registry::Props props;
  props.addresses = {{1, "127.0.0.1:1"}, {2, "127.0.0.1:2"}, {3, "127.0.0.1:3"}};
  dykestage::core::Registry blank(props, "", {}, 7);
  auto first = blank.output().jobs;
  REQUIRE(first.size() == 1);
  {
    auto ring = Ring::open({folder.path(), kRingFiles, kFileBytes}, reason);
    REQUIRE(ring);
    REQUIRE(ring->saveFrame(first.front().frame));
    while (ring->append({std::string(100, 'x')}) && ring->sync())
      continue;
    REQUIRE(ring->reason() == "the ring is full");
  }
  auto ring = Ring::open({folder.path(), kRingFiles, kFileBytes}, reason);
  REQUIRE(ring);
  dykestage::core::Registry again(props, ring->take().frame, {}, 8);
  again.synced(0, ring->fill(), 0, 0);
  again.tick(0);
  auto jobs = again.output().jobs;
  REQUIRE_FALSE(jobs.empty());
  REQUIRE_FALSE(jobs.front().frame.empty());
  REQUIRE(ring->saveFrame(jobs.front().frame));
  CHECK(ring->append({std::string(1000, 'y')}));
}
