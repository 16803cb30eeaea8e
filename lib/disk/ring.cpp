#include "disk/ring.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "tempo/bytes.hpp"

namespace dykestage::disk {

namespace {
constexpr uint64_t kFileMagic = 0x31676e6972796b64;        // start of every ring file
constexpr uint64_t kCheckpointMagic = 0x31656d6172666b64;  // start of every checkpoint
constexpr size_t kFileHead = 20, kRecordHead = 24;

auto crc(const std::string& bytes) -> uint32_t {
  boost::crc_32_type sum;
  sum.process_bytes(bytes.data(), bytes.size());
  return sum.checksum();
}

auto writeAll(int fd, const std::string& bytes, uint64_t offset) -> bool {
  for (size_t done = 0; done < bytes.size();) {
    auto n = ::pwrite(fd, bytes.data() + done, bytes.size() - done, static_cast<off_t>(offset + done));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

auto readAll(int fd, uint64_t size) -> std::string {
  std::string bytes(size, '\0');
  size_t done = 0;
  while (done < size) {
    auto n = ::pread(fd, bytes.data() + done, size - done, static_cast<off_t>(done));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    done += static_cast<size_t>(n);
  }
  bytes.resize(done);
  return bytes;
}

auto syncFolder(const std::string& folder) -> bool {
  Fd fd(::open(folder.c_str(), O_RDONLY | O_DIRECTORY));
  return fd && ::fsync(fd.get()) == 0;
}
}  // namespace

auto Fd::reset() -> void {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

auto Ring::fail(const std::string& what) -> bool {
  reason_ = what + (errno ? std::string(": ") + std::strerror(errno) : "");
  return false;
}

auto Ring::open(Props props, std::string& reason) -> std::optional<Ring> {
  Ring ring(std::move(props));
  if (ring.load()) return ring;
  reason = ring.reason_;
  return std::nullopt;
}

auto Ring::load() -> bool {
  std::error_code error;
  std::filesystem::create_directories(props_.folder, error);
  errno = 0;
  if (error) return fail("cannot make the data folder " + props_.folder);
  if (!loadCheckpoint() || !openFiles()) return false;
  for (uint32_t i = 0; i < props_.files; ++i)
    loadFile(i);
  std::sort(records_.begin(), records_.end(), [](const auto& a, const auto& b) { return a.sequence < b.sequence; });
  auto last = lastRecord();
  if (!collectRecords() || !wipeTornTail()) return false;
  noteKeptRecords();
  records_.clear();
  if (!found_.writes.empty()) found_.isBlank = false;
  synced_ = next_ - 1;
  // Without any record writing may go on in any file.
  if (!last) return startFile(0);
  at_ = last->file;
  offset_ = last->offset;
  return true;
}

auto Ring::openFiles() -> bool {
  for (uint32_t i = 0; i < props_.files; ++i) {
    auto name = path("ring-" + std::to_string(i));
    File file{Fd(::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600))};
    if (!file.fd) return fail("cannot open " + name);
    if (auto code = ::posix_fallocate(file.fd.get(), 0, static_cast<off_t>(props_.fileBytes)); code != 0) {
      errno = code;
      return fail("no room for " + name);
    }
    if (::fsync(file.fd.get()) != 0) return fail("cannot sync " + name);
    files_.push_back(std::move(file));
  }
  return syncFolder(props_.folder) || fail("cannot sync the data folder");
}

auto Ring::lastRecord() const -> std::optional<Place> {
  std::optional<Place> last;
  auto expected = checkpointNext_;
  for (const auto& record : records_) {
    if (record.sequence > expected) break;
    last = Place{record.file, record.offset + kRecordHead + record.body.size()};
    if (record.sequence == expected) ++expected;
  }
  return last;
}

// The records from the checkpoint on must follow one another without a gap. A gap is a torn tail only when nothing
// after it was written in the knowledge that the missing record had been synced.
auto Ring::collectRecords() -> bool {
  next_ = checkpointNext_;
  for (auto& record : records_) {
    if (record.sequence < checkpointNext_) continue;
    if (record.sequence == next_) {
      found_.writes.push_back(std::move(record.body));
      ++next_;
      continue;
    }
    if (record.syncedBefore >= next_) {
      errno = 0;
      return fail("damage: synced record " + std::to_string(next_) + " cannot be read");
    }
    found_.tornBytes += record.body.size() + kRecordHead;
  }
  return true;
}

// A torn record is wiped, so that it can never stand beside a later one of the same number.
auto Ring::wipeTornTail() -> bool {
  const std::string zeros(kRecordHead, '\0');
  for (const auto& record : records_)
    if (record.sequence >= next_ && !writeAll(files_[record.file].fd.get(), zeros, record.offset))
      return fail("cannot wipe the torn tail");
  for (const auto& file : files_)
    if (::fdatasync(file.fd.get()) != 0) return fail("cannot sync the ring");
  return true;
}

// A file's head may be of an earlier round, and what was wiped does not count: its kept records tell up to where it
// reaches.
auto Ring::noteKeptRecords() -> void {
  for (auto& file : files_) {
    if (file.first > next_) file.first = 0;
    file.last = file.first == 0 ? 0 : file.first - 1;
  }
  for (const auto& record : records_) {
    auto& file = files_[record.file];
    if (record.sequence < next_) file.last = std::max(file.last, record.sequence);
  }
}

auto Ring::loadCheckpoint() -> bool {
  uint64_t best = 0;
  auto sawAny = false;
  for (const auto& item : std::filesystem::directory_iterator(props_.folder)) {
    auto name = item.path().filename().string();
    if (name.rfind("frame-", 0) != 0 || name.find(".new") != std::string::npos) continue;
    sawAny = true;
    std::ifstream in(item.path(), std::ios::binary);
    std::stringstream bytes;
    bytes << in.rdbuf();
    Reader r(bytes.view());
    auto magic = r.get<uint64_t>();
    auto number = r.get<uint64_t>();
    auto next = r.get<uint64_t>();
    auto sum = r.get<uint32_t>();
    auto body = r.get<std::string>();
    if (!r.done() || magic != kCheckpointMagic || sum != crc(body) || number < best) continue;
    best = number;
    checkpoints_ = number;
    checkpointNext_ = next;
    found_.frame = std::move(body);
    found_.isBlank = false;
  }
  errno = 0;
  if (sawAny && best == 0) return fail("damage: no frame can be read");
  return true;
}

auto Ring::loadFile(uint32_t index) -> void {
  auto& file = files_[index];
  auto bytes = readAll(file.fd.get(), props_.fileBytes);
  Reader head(std::string_view(bytes).substr(0, kFileHead));
  auto magic = head.get<uint64_t>();
  auto first = head.get<uint64_t>();
  auto sum = head.get<uint32_t>();
  if (magic != kFileMagic || sum != crc(Writer().put(first).take())) return;
  file.first = first;
  // Every offset is tried, so that records behind a damaged one are still seen.
  for (auto at = kFileHead; at + kRecordHead <= bytes.size();) {
    Reader r(std::string_view(bytes).substr(at, kRecordHead));
    auto size = r.get<uint32_t>();
    auto check = r.get<uint32_t>();
    auto sequence = r.get<uint64_t>();
    auto syncedBefore = r.get<uint64_t>();
    auto isPlausible = sequence >= first && sequence <= first + props_.fileBytes &&
                       size <= bytes.size() - at - kRecordHead && sequence != 0;
    if (isPlausible) {
      auto body = bytes.substr(at + kRecordHead, size);
      if (check == crc(Writer().put(sequence).put(syncedBefore).take() + body)) {
        records_.push_back({sequence, syncedBefore, std::move(body), index, at});
        at += kRecordHead + size;
        continue;
      }
    }
    // Free space is zeros; skip it quickly.
    auto next = bytes.find_first_not_of('\0', at + 1);
    if (next == std::string::npos) break;
    at = std::max(at + 1, next > 32 ? next - 32 : next);
  }
}

auto Ring::startFile(uint32_t index) -> bool {
  auto& file = files_[index];
  auto head = Writer().put(kFileMagic).put(next_).put(crc(Writer().put(next_).take())).take();
  errno = 0;
  if (!writeAll(file.fd.get(), head, 0)) return fail("cannot start a ring file");
  file.first = next_;
  file.last = next_ - 1;
  at_ = index;
  offset_ = kFileHead;
  return true;
}

auto Ring::append(const std::vector<std::string>& writes) -> bool {
  if (isBroken_) return false;
  errno = 0;
  std::string run;
  auto runAt = offset_;
  auto writeRun = [&] {
    if (run.empty()) return true;
    auto ok = writeAll(files_[at_].fd.get(), run, runAt);
    run.clear();
    return ok;
  };
  for (const auto& body : writes) {
    auto record = Writer()
                      .put(static_cast<uint32_t>(body.size()))
                      .put(crc(Writer().put(next_).put(synced_).take() + body))
                      .put(next_)
                      .put(synced_)
                      .take() +
                  body;
    if (record.size() + kFileHead > props_.fileBytes) return fail("a record is larger than a ring file");
    if (offset_ + record.size() > props_.fileBytes) {
      if (!writeRun()) return isBroken_ = true, fail("cannot write to the ring");
      if (::fdatasync(files_[at_].fd.get()) != 0) return isBroken_ = true, fail("cannot sync the ring");
      auto next = (at_ + 1) % props_.files;
      if (isNeeded(files_[next])) return fail("the ring is full");
      if (!startFile(next)) return isBroken_ = true, false;
      runAt = offset_;
    }
    run += record;
    offset_ += record.size();
    files_[at_].last = next_++;
  }
  if (!writeRun()) return isBroken_ = true, fail("cannot write to the ring");
  return true;
}

auto Ring::sync() -> bool {
  errno = 0;
  if (isBroken_) return false;
  // After a failed sync nothing is known of what the disk holds: the ring stays broken until a restart.
  if (::fdatasync(files_[at_].fd.get()) != 0) return isBroken_ = true, fail("cannot sync the ring");
  synced_ = next_ - 1;
  return true;
}

auto Ring::saveFrame(const std::string& frame) -> bool {
  errno = 0;
  if (isBroken_) return false;
  auto number = checkpoints_ + 1;
  auto name = path("frame-" + std::to_string(number % 2));
  auto bytes = Writer().put(kCheckpointMagic).put(number).put(next_).put(crc(frame)).put(frame).take();
  {
    Fd fd(::open((name + ".new").c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!fd || !writeAll(fd.get(), bytes, 0) || ::fsync(fd.get()) != 0) return fail("cannot write a frame");
  }
  if (::rename((name + ".new").c_str(), name.c_str()) != 0 || !syncFolder(props_.folder))
    return fail("cannot place a frame");
  checkpoints_ = number;
  checkpointNext_ = next_;
  synced_ = next_ - 1;
  return true;
}

// A file that was begun when power was lost may hold no record at all: its last one is then the one before its first.
auto Ring::isNeeded(const File& file) const -> bool {
  return file.first != 0 && file.last >= std::max(file.first, checkpointNext_);
}

auto Ring::fill() const -> double {
  auto held = 0u;
  for (uint32_t i = 0; i < props_.files; ++i)
    if (i != at_ && isNeeded(files_[i])) ++held;
  return (held * static_cast<double>(props_.fileBytes) + static_cast<double>(offset_)) /
         (static_cast<double>(props_.files) * static_cast<double>(props_.fileBytes));
}

}  // namespace dykestage::disk
