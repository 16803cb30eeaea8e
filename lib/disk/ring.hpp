// Storage: a registry's write-ahead log in a ring of preallocated files, and the checkpoints that cut it.
//
// Each record is checksummed, numbered, and says up to which number the log was synced when it was written. So a torn
// tail (never synced, never relied on) is told apart from damage to what was synced. Two checkpoints are kept in turn;
// one is written beside, synced, and renamed into place. All calls block, and belong to one thread.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dykestage::disk {

/// Owns a file descriptor, and closes it. Example: `Fd fd(::open(path, O_RDONLY)); if (fd) ...`
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  ~Fd() { reset(); }
  Fd(const Fd&) = delete;
  auto operator=(const Fd&) -> Fd& = delete;
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  auto operator=(Fd&& other) noexcept -> Fd& {
    reset();
    fd_ = std::exchange(other.fd_, -1);
    return *this;
  }
  /// The number, or -1. Example: `::fdatasync(fd.get());`
  auto get() const -> int { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  auto reset() -> void;
  int fd_;
};

/// Where a log is kept, and how large it may become. What is on a disk keeps its sizes: these must not change.
struct Props {
  std::string folder;
  uint32_t files = 4;             // of the ring
  uint64_t fileBytes = 8u << 20;  // of each; the largest record is a little smaller
};

/// The log of one registry, and its checkpoints (frames).
/// Example:
///   std::string reason;
///   auto ring = disk::Ring::open({"data"}, reason);
///   if (!ring) LOG(FATAL) << reason;
///   ring->append({"a", "b"}) && ring->sync();
class Ring {
 public:
  /// What was found at opening. Blank means a disk that never held anything.
  struct Found {
    bool isBlank = true;
    std::string frame;                // the newest checkpoint
    std::vector<std::string> writes;  // after it, in order
    uint64_t tornBytes = 0;           // of records that were never synced; they are wiped
  };
  /// Opens or creates the files; nothing when the disk is damaged, with the reason.
  /// Example: `auto ring = Ring::open({"data"}, reason); if (!ring) return fail(reason);`
  static auto open(Props props, std::string& reason) -> std::optional<Ring>;
  /// Hands over what was found. Example: `auto found = ring->take();`
  auto take() -> Found { return std::exchange(found_, {}); }
  /// Writes records behind the last one; false when there is no room or the disk refuses.
  /// Example: `if (!ring.append(writes)) ring.reason();`
  auto append(const std::vector<std::string>& writes) -> bool;
  /// Syncs what was appended; false when the disk refuses. After a failure nothing is known of what it holds, and every
  /// later call fails until the log is opened anew. Example: `if (!ring.sync()) stop(ring.reason());`
  auto sync() -> bool;
  /// Saves a checkpoint that covers everything appended so far, synced, and frees the files behind it. When it fails
  /// the earlier one holds, and the log goes on as long as it has room. Example: `ring.saveFrame(node.save());`
  auto saveFrame(const std::string& frame) -> bool;
  /// How full the ring is, 0 to 1. Example: `if (ring.fill() > 0.5) saveFrame();`
  auto fill() const -> double;
  /// Why the last call failed. Example: `LOG(ERROR) << ring.reason();`
  auto reason() const -> const std::string& { return reason_; }

 private:
  explicit Ring(Props props) : props_(std::move(props)) {}
  struct Place {  // where a record ends, and the next one may begin
    uint32_t file = 0;
    uint64_t offset = 0;
  };
  auto load() -> bool;
  auto loadCheckpoint() -> bool;
  auto openFiles() -> bool;
  auto loadFile(uint32_t index) -> void;
  auto lastRecord() const -> std::optional<Place>;
  auto collectRecords() -> bool;
  auto wipeTornTail() -> bool;
  auto noteKeptRecords() -> void;
  auto fail(const std::string& what) -> bool;
  auto path(const std::string& name) const -> std::string { return props_.folder + "/" + name; }
  auto startFile(uint32_t index) -> bool;

  struct Record {  // as read back
    uint64_t sequence = 0;
    uint64_t syncedBefore = 0;  // all up to here were synced when it was written
    std::string body;
    uint32_t file = 0;
    uint64_t offset = 0;
  };
  struct File {
    Fd fd;
    uint64_t first = 0;  // sequence of its first record, 0 when free
    uint64_t last = 0;
  };
  auto isNeeded(const File& file) const -> bool;

  Props props_;
  std::vector<File> files_;
  std::vector<Record> records_;  // while the log is opened
  uint32_t at_ = 0;              // file being written
  uint64_t offset_ = 0;          // in it
  uint64_t next_ = 1;            // next sequence
  uint64_t synced_ = 0;          // all up to here are synced
  uint64_t checkpointNext_ = 1;  // first sequence that the newest checkpoint doesn't cover
  uint64_t checkpoints_ = 0;     // written so far
  bool isBroken_ = false;
  Found found_;
  std::string reason_;
};

}  // namespace dykestage::disk
