// Sim: registers a fake upstream with the registries, again and again, on a thread of its own.
#pragma once
#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace dykestage::sim {

/// Example: `Announcer announcer(fleet.https("registry"), "raw-1", "raw", upstream.at());`
class Announcer {
 public:
  Announcer(std::vector<std::string> registries, const std::string& instance, const std::string& service,
            const std::string& address);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  auto operator=(const Announcer&) -> Announcer& = delete;
  /// True once a registry has acknowledged it.
  auto isTaken() const -> bool { return isTaken_; }

 private:
  auto announce() -> void;

  std::vector<std::string> registries_;
  std::string announcement_;
  std::atomic<bool> isOver_{false}, isTaken_{false};
  std::thread thread_;
};

}  // namespace dykestage::sim
