#include "sim/process_figures.hpp"

#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace dykestage::sim {

namespace {
constexpr size_t kKb = 1 << 10;

// The number behind a key of /proc/PID/status.
auto statusNumber(pid_t process, const std::string& wanted) -> size_t {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string key, rest; status >> key && std::getline(status, rest);)
    if (key == wanted) return std::stoull(rest);
  return 0;
}
}  // namespace

auto residentMemoryOf(pid_t process) -> size_t {
  return statusNumber(process, "VmRSS:") * kKb;
}

auto peakMemoryOf(pid_t process) -> size_t {
  return statusNumber(process, "VmHWM:") * kKb;
}

auto descriptorsOf(pid_t process) -> size_t {
  std::error_code fault;
  size_t count = 0;
  std::filesystem::directory_iterator at("/proc/" + std::to_string(process) + "/fd", fault);
  for (; !fault && at != std::filesystem::directory_iterator(); at.increment(fault))
    ++count;
  return count;
}

}  // namespace dykestage::sim
