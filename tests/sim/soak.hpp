// Sim: the soak. A fleet of real processes under clients that keep their connections, with series of signals, restarts
// and changes that overlap; judged by what clients got, what upstreams ran, and what operators were told.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/fleet.hpp"
#include "sim/kept_clients.hpp"
#include "sim/soak_crowds.hpp"
#include "sim/soak_operators.hpp"
#include "sim/soak_troubles.hpp"

namespace dykestage::sim {

/// A defect that the soak must find: a check that was never seen to fail proves nothing.
enum class SoakDefect : uint8_t {
  kNone,
  kHiddenKills,   // processes are killed, and taken for untroubled
  kUnsentPurges,  // purges are taken for acknowledged, and never sent
  kLostMajority,  // most of the registries' disks are lost at once
};

class Soak {
 public:
  struct Props {
    std::string folder, programs;
    uint64_t seed = 1;
    int64_t spanMs = 20000;  // of troubles; the return to service comes on top
    SoakDefect defect = SoakDefect::kNone;
    int processes = 0;           // about so many in all; 0: a small fleet of a size that the seed picks
    bool hasCrowds = false;      // of clients that keep to no limit, at edges and registries
    bool spoilsAnswers = false;  // some of the upstreams' answers are broken
    bool losesAll = false;  // everything ends at once and a disk is lost: in the middle, and after an acknowledgement
  };
  struct Verdict {
    uint64_t seed = 0;
    std::string shape;  // of the fleet
    int processes = 0;
    uint64_t requests = 0, well = 0, refused = 0, cut = 0, unsent = 0, silent = 0;
    uint64_t judgedReads = 0;  // of objects that had been purged
    int changes = 0, purges = 0, reads = 0;
    int64_t backMs = -1;  // from the end of the troubles until a second was served wholly
    std::map<std::string, int> troubles;
    std::vector<std::string> faults;
    /// One line for people. Example: `std::cout << verdict.line() << "\n";`
    auto line() const -> std::string;
  };
  /// The most processes that a soak starts on this machine: as many as its cores bear, within half of its memory, and a
  /// few hundred. Example: `props.processes = Soak::mostProcesses();`
  static auto mostProcesses() -> int;
  /// Runs one. Example: `auto verdict = Soak::run({folder, programs, 17});`
  static auto run(const Props& props) -> Verdict;

 private:
  explicit Soak(const Props& props);
  auto play() -> void;
  auto playTroubles(int64_t untilMs) -> void;
  auto loseAllAtAcknowledgement() -> void;
  auto awaitService() -> void;
  auto step() -> void;
  auto judge(const EndedAsk& ask) -> void;
  auto judgeAnswer(const EndedAsk& ask) -> void;
  auto judgeObject(const EndedAsk& ask) -> void;
  auto judgeCuts() -> void;
  auto judgeLate() -> void;
  auto judgeRuns() -> void;
  auto fault(const std::string& what) -> void;

  Props props_;
  Verdict verdict_;
  bool fetchesItself_ = false;  // edges that fetch themselves, in place of edges and shields
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<KeptClients> clients_;
  std::unique_ptr<SoakOperators> operators_;
  std::unique_ptr<SoakTroubles> troubles_;
  std::unique_ptr<SoakCrowds> crowds_;
  std::vector<EndedAsk> cuts_;
  std::map<std::string, int> promised_, answered_;  // ids of writes
  uint64_t unansweredInTime_ = 0, late_ = 0;
  std::vector<std::pair<int64_t, bool>> recent_;  // when requests ended, and whether well
};

}  // namespace dykestage::sim
