// Policy: judging a rollout. A new template revision serves a slice of the traffic; what its callers see is
// compared with what the old revision's callers see over the same time.
#pragma once
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "tempo/bytes.hpp"

namespace dykestage::policy {

/// What an edge saw of one revision's traffic. All numbers only grow, so that any two moments can be compared.
struct Sample {
  static constexpr size_t kBuckets = 40;
  uint64_t requests = 0, errors = 0, fetches = 0;
  uint64_t loadMille = 0;                 // sum of the loads that upstreams reported, in thousandths
  std::array<uint64_t, kBuckets> took{};  // by time taken; bucket limits grow by a quarter each
  /// Counts one answered request. Example: `sample.add(12, false, true, 0.4);`
  auto add(int64_t tookMs, bool isError, bool isFetched, double load) -> void;
  /// The time that a share of requests stayed within. Example: `sample.quantileMs(950)`
  auto quantileMs(int64_t permille) const -> double;
  /// What came since an earlier moment. Example: `auto step = now.since(atStart);`
  auto since(const Sample& before) const -> Sample;
  auto join(const Sample& other) -> void;
  auto write(Writer& w) const -> void;
  auto read(Reader& r) -> void;
};

/// How a rollout goes on: its steps and the set points that it must stay near.
struct SetPoints {
  std::vector<int64_t> stepsPermille = {50, 200, 500};  // below 1000: somebody is left to compare with
  int64_t leastSample = 100;                            // requests of the new revision in a step before it is judged
  int64_t stepMs = 3000;                                // least length of a step
  int64_t longestMs = 30000;                            // a step with too few requests falls back after this time
  int64_t quantilePermille = 950;
  int64_t latencyPercent = 30;  // the new quantile may be this much above the old one
  int64_t latencyMs = 10;       // and this much besides
  int64_t errorsPermille = 10;  // errors may be this much above the old share
  int64_t loadPercent = 25;     // requests to the origin per request may be this much above the old
  DYKESTAGE_FIELDS(stepsPermille, leastSample, stepMs, longestMs, quantilePermille, latencyPercent, latencyMs,
                   errorsPermille, loadPercent)
};

enum class Verdict : uint8_t { kHold = 0, kWiden = 1, kFallBack = 2, kFinish = 3 };

struct Judgement {
  Verdict verdict = Verdict::kHold;
  std::string why;
};

/// Judges one step; after the last one the new revision serves all. Copies kept for `keepMs` expire in bursts, so
/// that fetches are compared closely only once such a time has passed; before that only what chance and bursts
/// can't explain counts. Example: `auto j = judge(oldStep, newStep, points, passedMs, isLast, 5000);`
auto judge(const Sample& old, const Sample& next, const SetPoints& points, int64_t passedMs, bool isLast,
           int64_t keepMs) -> Judgement;

}  // namespace dykestage::policy
