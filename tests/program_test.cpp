// What all programs share: signals that come while a process starts.
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <filesystem>
#include <string>

namespace {
const std::string kSettings = R"({"instance": "o", "service": "shop", "kind": "store", "site": "north",
  "http": "127.0.0.1:0", "registries": ["127.0.0.1:1"]})";

auto startChecking(const std::string& settings) -> pid_t {
  auto program = (std::filesystem::canonical("/proc/self/exe").parent_path() / "origin").string();
  auto flag = "--settings=" + settings;
  std::string check = "--check";
  char* arguments[] = {program.data(), flag.data(), check.data(), nullptr};
  pid_t process = -1;
  REQUIRE(::posix_spawn(&process, program.c_str(), nullptr, nullptr, arguments, environ) == 0);
  return process;
}
}  // namespace

// Guards against a process that is ended by the news of other settings, since these came while it still read its first
// ones.
TEST_CASE("SIGHUP does not end a process that still reads its settings") {
  auto pipe = (std::filesystem::temp_directory_path() / ("dykestage-settings-" + std::to_string(::getpid()))).string();
  REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
  auto process = startChecking(pipe);
  auto settings = ::open(pipe.c_str(), O_WRONLY);  // returns once the process has opened its file
  REQUIRE(settings >= 0);
  ::kill(process, SIGHUP);
  REQUIRE(::write(settings, kSettings.data(), kSettings.size()) == static_cast<ssize_t>(kSettings.size()));
  ::close(settings);
  int status = 0;
  REQUIRE(::waitpid(process, &status, 0) == process);
  std::filesystem::remove(pipe);
  CHECK_FALSE(WIFSIGNALED(status));
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
}
