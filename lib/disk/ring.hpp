// Disk: a ring of preallocated files that holds the core's writes, and frames that cut it.
// Records are checksummed and say up to where the ring was synced when they were written, so that a torn
// tail (never synced, never relied on) is told apart from damage to what was synced.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dykestage::disk {

/// Owns a file descriptor. Example: `Fd fd(::open(path, O_RDONLY)); if (fd) ...`
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

struct Props {
  std::string folder;
  uint32_t files = 4;
  uint64_t fileBytes = 8u << 20;
};

/// The log of one core node, and its frames.
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
    std::string frame;
    std::vector<std::string> writes;  // after the frame, in order
    uint64_t tornBytes = 0;
  };
  /// Opens or creates the files; nothing when the disk is damaged, with the reason.
  static auto open(Props props, std::string& reason) -> std::optional<Ring>;
  /// Hands over what was found. Example: `auto found = ring->take();`
  auto take() -> Found { return std::exchange(found_, {}); }
  /// Writes records behind the last one; false when there is no room or the disk refuses.
  /// Example: `if (!ring.append(writes)) ring.reason();`
  auto append(const std::vector<std::string>& writes) -> bool;
  /// Makes what was appended last. Example: `ring.sync();`
  auto sync() -> bool;
  /// Saves a frame that covers everything appended so far and frees the files behind it.
  /// Example: `ring.saveFrame(node.save());`
  auto saveFrame(const std::string& frame) -> bool;
  /// How full the ring is, 0 to 1. Example: `if (ring.fill() > 0.5) saveFrame();`
  auto fill() const -> double;
  /// Why the last call failed. Example: `LOG(ERROR) << ring.reason();`
  auto reason() const -> const std::string& { return reason_; }

 private:
  explicit Ring(Props props) : props_(std::move(props)) {}
  auto load() -> bool;
  auto loadFrame() -> bool;
  auto loadFile(uint32_t index) -> void;
  auto fail(const std::string& what) -> bool;
  auto path(const std::string& name) const -> std::string { return props_.folder + "/" + name; }
  auto startFile(uint32_t index) -> bool;

  struct Piece {  // one record as read back
    uint64_t sequence, syncedBefore;
    std::string body;
    uint32_t file;
    uint64_t offset;
  };
  struct File {
    Fd fd;
    uint64_t first = 0;  // sequence of its first record, 0 when free
    uint64_t last = 0;
  };
  Props props_;
  std::vector<File> files_;
  std::vector<Piece> pieces_;
  uint32_t at_ = 0;         // file being written
  uint64_t offset_ = 0;     // in it
  uint64_t next_ = 1;       // next sequence
  uint64_t synced_ = 0;     // all up to here are synced
  uint64_t frameNext_ = 1;  // first sequence that the newest frame doesn't cover
  uint64_t frames_ = 0;
  bool isBroken_ = false;
  Found found_;
  std::string reason_;
};

}  // namespace dykestage::disk
