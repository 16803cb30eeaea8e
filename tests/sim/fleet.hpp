// Sim: a whole deployment on one machine, as real processes, for tests and trials only. Links between sites
// are delayed, and cut, by forwarders of the fleet's own.
#pragma once
#include <sys/types.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "operator/program.hpp"

namespace dykestage::sim {

/// Passes streams on with a delay by where they come from and go to; any pair of machines can be cut.
/// Machines are IP numbers of the loopback range. Example:
///   Links links;
///   links.open("127.1.1.1:9000", "127.1.1.1:8000");   // advertised, real
///   links.delay("127.1.1.1", "127.2.1.1", 500);
///   links.run();
class Links {
 public:
  Links() = default;
  ~Links();
  Links(const Links&) = delete;
  auto operator=(const Links&) -> Links& = delete;
  auto open(const std::string& advertised, const std::string& real) -> void;
  auto delay(const std::string& from, const std::string& to, int64_t us) -> void;
  auto run() -> void;
  /// Stops all bytes from one machine to another, also on open streams. Example: `links.cut(a, b, true);`
  auto cut(const std::string& from, const std::string& to, bool isCut) -> void;

 private:
  struct Listener {
    int fd;
    std::string machine, real;
  };
  auto loop() -> void;
  std::vector<Listener> listeners_;
  std::map<std::pair<std::string, std::string>, int64_t> delays_;
  std::mutex mutex_;  // guards cuts_ only: the fleet's thread sets, the links' thread reads
  std::set<std::pair<std::string, std::string>> cuts_;
  std::atomic<bool> isStopping_{false};
  std::thread thread_;
};

/// Example:
///   Fleet fleet(Fleet::read("props/cooperative.json", "build/bin", "run"));
///   fleet.startAll();
///   fleet.kill("registry-2");
class Fleet {
 public:
  struct Upstream {
    std::string service, kind;
    int count = 1;
    int64_t capacity = 1, delayMs = 2, bytes = 600;
  };
  struct Props {
    std::string programs, folder;  // where the programs are, where settings, data and logs go
    std::vector<std::string> sites;
    int64_t linkUs = 0;  // between sites, one way
    int registries = 5, shields = 3, edges = 8;
    int64_t boundMs = 2000;
    int64_t port = 0;  // first of ten on each machine; 0 looks for free ones
    std::vector<Upstream> upstreams;
    bool hasMishaps = false;  // daemons are started with tests/mishap, which makes their machine fail when told to
    std::string registryExtra, shieldExtra, edgeExtra,
        originExtra;  // more settings, as JSON members with leading commas
  };
  /// Reads a deployment's file. Example: `Fleet::take(program.settings(), faults)`
  static auto take(op::Program& program) -> Props;
  /// A port from which on ten are free on the fleet's machines. Example: `props.port = Fleet::freePort();`
  static auto freePort() -> int64_t;
  explicit Fleet(Props props);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  auto operator=(const Fleet&) -> Fleet& = delete;

  auto startAll() -> void;
  auto start(const std::string& name) -> void;
  /// Sends a signal; kill waits for the end. Example: `fleet.kill("edge-1");`
  auto kill(const std::string& name, int signal = 9) -> void;
  auto signal(const std::string& name, int signal) -> void;
  auto isRunning(const std::string& name) -> bool;
  /// Its process id; -1 while it does not run. Example: `readStatus(fleet.processId("edge-1"))`
  auto processId(const std::string& name) const -> pid_t { return nodes_.at(name).pid; }
  /// True once a process has a handler for a signal. Example: `if (fleet.catches(name, SIGHUP)) ...`
  auto catches(const std::string& name, int signal) const -> bool;
  /// Empties a registry's data folder. Example: `fleet.wipe("registry-3");`
  auto wipe(const std::string& name) const -> void;
  /// Makes the machine under a process fail, from now on (tests/mishap); no orders end it.
  /// Example: `fleet.mishap("registry-2", "stallMs 3000\n");`
  auto mishap(const std::string& name, const std::string& orders) const -> void;
  auto links() -> Links& { return links_; }
  /// The IP number of a process's machine. Example: `fleet.machine("edge-1")`
  auto machine(const std::string& name) const -> std::string { return nodes_.at(name).ip; }
  /// HTTP addresses by program. Example: `fleet.https("edge")`
  auto https(const std::string& kind) const -> std::vector<std::string>;
  auto http(const std::string& name) const -> std::string { return nodes_.at(name).http; }
  /// Where a daemon tells its status. Example: `fleet.status("shield-1")`
  auto status(const std::string& name) const -> std::string;
  auto names(const std::string& kind) const -> std::vector<std::string>;
  auto site(const std::string& name) const -> std::string { return nodes_.at(name).site; }
  auto service(const std::string& name) const -> std::string { return nodes_.at(name).service; }
  /// The file in which an origin keeps its account. Example: `fleet.account("origin-shop-store-1")`
  auto account(const std::string& name) const -> std::string;
  /// Waits until every daemon says ready; false when the time runs out. Example: `fleet.awaitReady(20000)`
  auto awaitReady(int64_t mostMs) -> bool;

 private:
  struct Node {
    std::string kind, name, site, ip, http, service;
    std::string settings;
    pid_t pid = -1;
  };
  auto add(Node node, const std::string& settings) -> void;
  Props props_;
  Links links_;
  std::map<std::string, Node> nodes_;
  std::vector<std::string> order_;
};

}  // namespace dykestage::sim
