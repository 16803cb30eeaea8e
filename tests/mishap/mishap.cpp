// Mishap: a library that rehearsals preload into a daemon, to make the machine under it fail. Test only: no program
// links it. It is steered by a file, named in DYKESTAGE_MISHAP, of lines "key value":
//
//   hold 1       writes and renames in the data folder reach the disk with the sync, and are lost with the process
//   torn 1       the first half of each held write reaches the disk at once
//   dropSync 1   syncs say that all is well and do nothing: the guard taken out, to show that the runs bite
//   stallMs N    each sync takes N ms
//   fail WHAT    create, write, or sync fails ...
//   error N      ... with this error number (28: no space, 5: input/output)
//   clockMs N    the wall clock is off by N ms
//   connectMs N  the process is held up for N ms in each connect(2)
//
// Only paths under DYKESTAGE_MISHAP_DATA are touched. Example: `LD_PRELOAD=libmishap.so DYKESTAGE_MISHAP=f registry`
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace {
struct Orders {
  bool isHolding = false, isTearing = false, dropsSync = false;
  long stallMs = 0, clockMs = 0, connectMs = 0, error = 28;
  std::string fail;
};

struct Open {
  std::string path;
  std::vector<std::pair<off_t, std::string>> held;
};

template <typename F>
auto real(const char* name) -> F {
  return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name));
}

auto steadyMs() -> long {
  timespec t{};
  ::syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

auto readOrders() -> Orders {
  Orders orders;
  const auto* path = ::getenv("DYKESTAGE_MISHAP");
  auto fd = path ? static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC)) : -1;
  if (fd < 0) return orders;
  char text[1024] = {};
  auto size = ::syscall(SYS_read, fd, text, sizeof text - 1);
  ::syscall(SYS_close, fd);
  std::string all(text, size > 0 ? static_cast<size_t>(size) : 0);
  for (size_t at = 0; at < all.size();) {
    auto end = std::min(all.find('\n', at), all.size());
    auto line = all.substr(at, end - at);
    at = end + 1;
    auto space = line.find(' ');
    if (space == std::string::npos) continue;
    auto key = line.substr(0, space), value = line.substr(space + 1);
    auto number = std::atol(value.c_str());
    if (key == "hold") orders.isHolding = number != 0;
    if (key == "torn") orders.isTearing = number != 0;
    if (key == "dropSync") orders.dropsSync = number != 0;
    if (key == "stallMs") orders.stallMs = number;
    if (key == "clockMs") orders.clockMs = number;
    if (key == "connectMs") orders.connectMs = number;
    if (key == "error") orders.error = number;
    if (key == "fail") orders.fail = value;
  }
  return orders;
}

// The clock and connects are asked often: their orders are read anew every 20 ms at most.
auto recentOrders() -> Orders {
  static thread_local Orders orders;
  static thread_local long readMs = -1000;
  auto nowMs = steadyMs();
  if (nowMs - readMs >= 20) {
    orders = readOrders();
    readMs = nowMs;
  }
  return orders;
}

std::mutex lock;
auto files() -> std::map<int, Open>& {
  static auto* all = new std::map<int, Open>;
  return *all;
}
auto renames() -> std::vector<std::pair<std::string, std::string>>& {
  static auto* all = new std::vector<std::pair<std::string, std::string>>;
  return *all;
}

auto isOurs(const char* path) -> bool {
  const auto* folder = ::getenv("DYKESTAGE_MISHAP_DATA");
  return folder && path && std::strncmp(path, folder, std::strlen(folder)) == 0;
}

auto mustFail(const Orders& orders, const char* what) -> bool {
  if (orders.fail != what) return false;
  errno = static_cast<int>(orders.error);
  return true;
}

auto openAs(const char* name, const char* path, int flags, mode_t mode) -> int {
  auto call = real<int (*)(const char*, int, ...)>(name);
  if (!isOurs(path)) return call(path, flags, mode);
  if ((flags & O_CREAT) && mustFail(readOrders(), "create")) return -1;
  auto fd = call(path, flags, mode);
  std::lock_guard guard(lock);
  if (fd >= 0) files()[fd] = {path, {}};
  return fd;
}

auto writeAs(const char* name, int fd, const void* data, size_t size, off_t offset) -> ssize_t {
  auto call = real<ssize_t (*)(int, const void*, size_t, off_t)>(name);
  std::lock_guard guard(lock);
  auto it = files().find(fd);
  if (it == files().end()) return call(fd, data, size, offset);
  auto orders = readOrders();
  if (mustFail(orders, "write")) return -1;
  if (!orders.isHolding) return call(fd, data, size, offset);
  if (orders.isTearing) call(fd, data, size / 2, offset);
  it->second.held.emplace_back(offset, std::string(static_cast<const char*>(data), size));
  return static_cast<ssize_t>(size);
}

auto syncAs(const char* name, int fd) -> int {
  auto call = real<int (*)(int)>(name);
  {
    std::lock_guard guard(lock);
    if (!files().count(fd)) return call(fd);
  }
  auto startMs = steadyMs();
  auto orders = readOrders();
  while (steadyMs() - startMs < orders.stallMs) {
    timespec ten{0, 10000000};
    ::nanosleep(&ten, nullptr);
    orders = readOrders();
  }
  if (mustFail(orders, "sync")) return -1;
  if (orders.dropsSync) return 0;
  std::lock_guard guard(lock);
  for (const auto& [offset, bytes] : std::exchange(files()[fd].held, {}))
    if (::syscall(SYS_pwrite64, fd, bytes.data(), bytes.size(), offset) != static_cast<long>(bytes.size())) return -1;
  // A folder's sync makes its renames last.
  for (auto& [from, to] : renames())
    if (to.substr(0, to.rfind('/')) == files()[fd].path)
      real<int (*)(const char*, const char*)>("rename")(from.c_str(), to.c_str()), to.clear();
  std::erase_if(renames(), [](const auto& one) { return one.second.empty(); });
  return call(fd);
}

auto holdUp(long ms) -> void {
  timespec t{ms / 1000, ms % 1000 * 1000000};
  ::nanosleep(&t, nullptr);
}
}  // namespace

extern "C" {
int open(const char* path, int flags, ...) {
  va_list list;
  va_start(list, flags);
  auto mode = (flags & O_CREAT) ? va_arg(list, mode_t) : 0;
  va_end(list);
  return openAs("open", path, flags, mode);
}
int open64(const char* path, int flags, ...) {
  va_list list;
  va_start(list, flags);
  auto mode = (flags & O_CREAT) ? va_arg(list, mode_t) : 0;
  va_end(list);
  return openAs("open64", path, flags, mode);
}
ssize_t pwrite(int fd, const void* data, size_t size, off_t offset) {
  return writeAs("pwrite", fd, data, size, offset);
}
ssize_t pwrite64(int fd, const void* data, size_t size, off64_t offset) {
  return writeAs("pwrite64", fd, data, size, offset);
}
int fsync(int fd) {
  return syncAs("fsync", fd);
}
int fdatasync(int fd) {
  return syncAs("fdatasync", fd);
}
int close(int fd) {
  {
    std::lock_guard guard(lock);
    files().erase(fd);
  }
  return real<int (*)(int)>("close")(fd);
}
int rename(const char* from, const char* to) noexcept {
  if (isOurs(to) && readOrders().isHolding) {
    std::lock_guard guard(lock);
    renames().emplace_back(from, to);
    return 0;
  }
  return real<int (*)(const char*, const char*)>("rename")(from, to);
}
int connect(int fd, const sockaddr* to, socklen_t size) {
  if (auto ms = recentOrders().connectMs; ms > 0) holdUp(ms);
  return real<int (*)(int, const sockaddr*, socklen_t)>("connect")(fd, to, size);
}
int clock_gettime(clockid_t clock, timespec* t) noexcept {
  auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, t));
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    auto ms = recentOrders().clockMs;
    t->tv_sec += ms / 1000;
  }
  return result;
}
int gettimeofday(timeval* t, void*) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  t->tv_sec = now.tv_sec;
  t->tv_usec = now.tv_nsec / 1000;
  return 0;
}
time_t time(time_t* at) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (at) *at = now.tv_sec;
  return now.tv_sec;
}
}
