// Sim: the operators of the soak. Two of them change the routing on top of the same versions, one purges objects that
// have changed, and one reads back what is in force. Orders without a clear answer go out again, to any registry.
#pragma once
#include <poll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "sim/fleet.hpp"
#include "upstream/fetcher.hpp"

namespace dykestage::sim {

class SoakOperators {
 public:
  struct Props {
    uint64_t seed = 1;
    std::string store;  // the service whose objects are changed and purged
    int64_t objects = 100;
    bool sendsPurges = true;  // else they are taken for acknowledged: a defect on purpose
    int64_t changeGapMs = 400, purgeGapMs = 200, readGapMs = 250;
  };
  SoakOperators(Fleet& fleet, Props props);

  /// Orders the first routing and waits until it is acknowledged; false when it is not.
  /// Example: `if (!operators.configure(20000)) ...`
  auto configure(int64_t mostMs) -> bool;
  /// Begins what is due, and waits for answers or for events on `fds`. Example: `operators.run(fds, 5, steadyMs());`
  auto run(std::vector<pollfd>& fds, int64_t waitMs, int64_t nowMs) -> void;
  /// No further orders; those without a clear answer still go out again.
  auto finish() -> void { isFinishing_ = true; }
  auto openOrders() const -> size_t;
  /// The edition that a read sent at a moment must have at least. Example: `if (edition < operators.owed("/a",
  /// sentMs))`
  auto owed(const std::string& target, int64_t sentMs) const -> int64_t;
  /// Compares what each registry has in force with what was acknowledged. Example: `operators.readBack();`
  auto readBack() -> void;
  auto faults() const -> const std::vector<std::string>& { return faults_; }
  auto changes() const -> int { return changes_; }
  auto purges() const -> int { return purges_; }
  auto reads() const -> int { return reads_; }

 private:
  struct Order {
    std::string address;  // of an upstream; empty: any registry
    std::string method = "POST", target, body;
    std::function<bool(const upstream::Fetched&)> take;  // false: there is no clear answer
    size_t registry = 0;
    int64_t againMs = 0;
    bool isUnderWay = false;
  };
  struct Author {
    uint64_t base = 0;
    bool isBusy = false;
    int64_t nextMs = 0;
  };
  struct Acknowledged {
    int64_t atMs = 0, edition = 0;
  };
  auto order(Order order) -> void;
  auto send(uint64_t id, Order& order) -> void;
  auto change(size_t author, int64_t nowMs) -> void;
  auto beginPurge(int64_t nowMs) -> void;
  auto purge(int64_t edition) -> void;
  auto read() -> void;
  auto routingBody(uint64_t version, uint64_t base, int64_t targetMs, bool isWhole) const -> std::string;

  Fleet& fleet_;
  Props props_;
  std::mt19937_64 random_;
  upstream::Fetcher fetcher_;
  std::vector<std::string> registries_;
  std::map<uint64_t, Order> orders_;
  uint64_t nextId_ = 1;
  std::vector<Author> authors_{2};
  uint64_t version_ = 0;                     // the newest one that was acknowledged
  std::map<uint64_t, std::string> ordered_;  // by version: what the acknowledged ones said
  int64_t edition_ = 0, nextPurgeMs_ = 0, nextReadMs_ = 0;
  bool isPurging_ = false, isFinishing_ = false;
  std::map<std::string, std::vector<Acknowledged>> purged_;
  std::vector<std::string> faults_;
  int changes_ = 0, purges_ = 0, reads_ = 0;
};

}  // namespace dykestage::sim
