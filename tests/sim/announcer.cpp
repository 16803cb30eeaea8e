#include "sim/announcer.hpp"

#include <chrono>
#include <utility>

#include "upstream/fetcher.hpp"

namespace dykestage::sim {

namespace {
constexpr std::chrono::milliseconds kBeat{300};
}  // namespace

Announcer::Announcer(std::vector<std::string> registries, const std::string& instance, const std::string& service,
                     const std::string& address)
    : registries_(std::move(registries)),
      announcement_(R"({"instance": ")" + instance + R"(", "service": ")" + service + R"(", "address": ")" + address +
                    R"(", "site": "north", "capacity": 200, "state": "working"})"),
      thread_([this] { announce(); }) {}

Announcer::~Announcer() {
  isOver_ = true;
  thread_.join();
}

auto Announcer::announce() -> void {
  for (size_t i = 0; !isOver_; ++i) {
    upstream::Fetch beat;
    beat.address = registries_[i % registries_.size()];
    beat.method = "POST";
    beat.target = "/announce";
    beat.body = announcement_;
    if (upstream::fetchOnce(beat).status == 200) isTaken_ = true;
    std::this_thread::sleep_for(kBeat);
  }
}

}  // namespace dykestage::sim
