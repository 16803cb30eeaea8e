// Sim: callers at a deployment's rate and mix, and the comparison of what they got with what origins ran.
#pragma once
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "operator/program.hpp"
#include "upstream/fetcher.hpp"

namespace dykestage::sim {

/// One kind of request in a deployment's mix.
struct Kind {
  std::string name, host, service, method = "GET", prefix;
  int64_t range = 100;  // targets are prefix + 0..range-1
  int64_t weight = 1;
  bool hasKey = false;  // sends an Idempotency-Key
};

/// What came back for one kind.
struct Count {
  uint64_t asked = 0, well = 0, turnedAway = 0, unknown = 0, broken = 0, other = 0, unreached = 0, wrong = 0,
           withoutRetryAfter = 0;
  std::vector<int64_t> tookMs;
};

struct Report {
  std::map<std::string, Count> kinds;
  std::map<uint64_t, uint64_t> codes;
  std::vector<std::pair<uint64_t, uint64_t>> slices;  // per 100 ms: asked, well
  struct Read {
    int64_t askedMs;
    std::string target;
    int64_t edition;
  };
  std::vector<Read> reads;  // of stores' bodies, with the edition that they name
  uint64_t writes = 0, ranTwice = 0, busyButRan = 0, wellButNotRan = 0, ran = 0;
  double worstRate = 0;             // most requests at one service in any 5 s, over its agreed rate (when given)
  double worstExtraShare = 0;       // most extra tries in any 10 s, over what is allowed
  std::vector<std::string> faults;  // what must never happen, and did
  /// How long after `fromMs` the first stretch of a second without a bad answer began; -1: never.
  /// Example: `report.backAfterMs(6000)`
  auto backAfterMs(int64_t fromMs) const -> int64_t;
  /// The share served well from one moment to another. Example: `report.share(0, 5000)`
  auto share(int64_t fromMs, int64_t toMs) const -> double;
  /// A table for people. Example: `std::cout << report.text();`
  auto text() const -> std::string;
};

/// How a write ended for its caller.
enum class End { kWell, kBusy, kUnknown };

/// How often each request that has an id ran, by an origin's account. Example: `if (runsOf(text).count("w1")) ...`
auto runsOf(const std::string& account) -> std::map<std::string, int>;

/// Judges a report by origins' accounts (one line a request: when, service, method, target, id, first or extra).
/// Example: `judgeAccounts(report, {{"w1", End::kBusy}}, {text}, {{"shop", 200}});`
auto judgeAccounts(Report& report, const std::map<std::string, End>& writes, const std::vector<std::string>& accounts,
                   const std::map<std::string, int64_t>& agreedRates) -> void;

class Load {
 public:
  struct Props {
    struct Edge {
      std::string address, site, status;
    };
    std::vector<Edge> edges;
    std::vector<Kind> kinds;
    int64_t perSecond = 400, seconds = 10, seed = 1, timeoutMs = 3000;
    bool retriesAtOnce = false;                   // callers that ask again at once when turned away
    bool repeatsKeyed = false;                    // callers that repeat a keyed write whose outcome they don't know
    std::map<std::string, std::string> accounts;  // origin's name → file that it writes
    std::map<std::string, int64_t> agreedRates;   // service → requests a second
  };
  /// Reads the settings of a load. Example: `auto props = Load::take(program);`
  static auto take(op::Program& program) -> Props;
  explicit Load(Props props) : props_(std::move(props)), random_(static_cast<uint64_t>(props_.seed)) {}
  /// Drives the load; `during` is called all the while with the time passed. Example: `load.run([](int64_t) {})`
  auto run(const std::function<void(int64_t)>& during) -> Report;

 private:
  struct Open {
    size_t kind = 0;
    std::string target, id, edge;
    int64_t sinceMs = 0, atMs = 0;
    int tries = 0;
    bool wasUnknown = false;  // an earlier try may have run
  };
  auto ask(Open open) -> void;
  Props props_;
  std::mt19937_64 random_;
  upstream::Fetcher fetcher_;
  std::map<uint64_t, Open> open_;
  std::map<std::string, int64_t> shunned_;
  // Like the platform, asks each edge every second whether it is ready, and hands callers to those that are.
  auto askReady(int64_t nowMs) -> void;
  std::map<uint64_t, std::string> readyAsks_;
  std::map<std::string, bool> ready_;
  int64_t readyMs_ = 0;
  uint64_t nextId_ = 1;
  std::map<std::string, End> writes_;
};

}  // namespace dykestage::sim
