#include "policy/rollout.hpp"

#include <algorithm>
#include <cmath>

namespace dykestage::policy {

namespace {
auto limitMs(size_t bucket) -> double { return std::pow(1.25, static_cast<double>(bucket)); }

auto text(double value) -> std::string {
  auto tenths = std::lround(value * 10);
  return std::to_string(tenths / 10) + "." + std::to_string(std::abs(tenths % 10));
}
}  // namespace

auto Sample::add(int64_t tookMs, bool isError, bool isFetched, double load) -> void {
  ++requests;
  errors += isError;
  fetches += isFetched;
  loadMille += static_cast<uint64_t>(std::clamp(load, 0.0, 1000.0) * 1000);
  size_t bucket = 0;
  while (bucket + 1 < kBuckets && static_cast<double>(tookMs) > limitMs(bucket)) ++bucket;
  ++took[bucket];
}

auto Sample::quantileMs(int64_t permille) const -> double {
  uint64_t sum = 0;
  for (auto n : took) sum += n;
  auto wanted = static_cast<double>(sum) * static_cast<double>(permille) / 1000.0;
  double seen = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    if (took[i] > 0 && seen + static_cast<double>(took[i]) >= wanted) {
      // Within the bucket the times are taken to be spread evenly.
      auto low = i == 0 ? 0.0 : limitMs(i - 1);
      return low + (limitMs(i) - low) * (wanted - seen) / static_cast<double>(took[i]);
    }
    seen += static_cast<double>(took[i]);
  }
  return 0;
}

auto Sample::since(const Sample& before) const -> Sample {
  if (requests < before.requests) return *this;
  auto step = *this;
  step.requests -= before.requests;
  step.errors -= std::min(before.errors, step.errors);
  step.fetches -= std::min(before.fetches, step.fetches);
  step.loadMille -= std::min(before.loadMille, step.loadMille);
  for (size_t i = 0; i < kBuckets; ++i) step.took[i] -= std::min(before.took[i], step.took[i]);
  return step;
}

auto Sample::join(const Sample& other) -> void {
  requests += other.requests, errors += other.errors, fetches += other.fetches, loadMille += other.loadMille;
  for (size_t i = 0; i < kBuckets; ++i) took[i] += other.took[i];
}

auto Sample::write(Writer& w) const -> void {
  w.put(requests).put(errors).put(fetches).put(loadMille);
  for (auto n : took) w.put(n);
}

auto Sample::read(Reader& r) -> void {
  r.read(requests), r.read(errors), r.read(fetches), r.read(loadMille);
  for (auto& n : took) r.read(n);
}

auto judge(const Sample& old, const Sample& next, const SetPoints& points, int64_t passedMs, bool isLast, int64_t keepMs) -> Judgement {
  auto least = static_cast<uint64_t>(points.leastSample);
  auto hasEnough = next.requests >= least && old.requests >= least;
  if (!hasEnough) {
    if (passedMs >= points.longestMs) return {Verdict::kFallBack, "too few requests to judge by: " + std::to_string(next.requests) + " new, " + std::to_string(old.requests) + " old"};
    return {Verdict::kHold, "too few requests yet"};
  }
  auto share = [](uint64_t part, uint64_t whole) { return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole); };
  auto oldErrors = 1000 * share(old.errors, old.requests), newErrors = 1000 * share(next.errors, next.requests);
  if (newErrors > oldErrors + static_cast<double>(points.errorsPermille))
    return {Verdict::kFallBack, "errors: " + text(newErrors) + " of 1000, old " + text(oldErrors)};
  auto oldMs = old.quantileMs(points.quantilePermille), newMs = next.quantileMs(points.quantilePermille);
  auto mostMs = oldMs * (1 + static_cast<double>(points.latencyPercent) / 100) + static_cast<double>(points.latencyMs);
  if (newMs > mostMs) return {Verdict::kFallBack, "latency: " + text(newMs) + " ms, old " + text(oldMs) + " ms"};
  auto oldLoad = share(old.fetches, old.requests), newLoad = share(next.fetches, next.requests);
  // Shares of small samples waver: two standard errors are left to chance, four while copies may expire in bursts.
  auto variance = [](double share, uint64_t n) { return std::max(0.01, share * (1 - std::min(1.0, share))) / static_cast<double>(n); };
  auto chance = std::sqrt(variance(oldLoad, old.requests) + variance(newLoad, next.requests));
  auto settledMs = std::min(keepMs, points.longestMs / 2);
  auto isSettled = passedMs >= settledMs;
  if (newLoad > oldLoad * (1 + static_cast<double>(points.loadPercent) / 100) + (isSettled ? 2 : 4) * chance)
    return {Verdict::kFallBack, "origin load: " + text(100 * newLoad) + " fetches per 100 requests, old " + text(100 * oldLoad)};
  if (!isSettled) return {Verdict::kHold, "copies of before are still in use"};
  if (passedMs < points.stepMs) return {Verdict::kHold, "the step is not over"};
  return {isLast ? Verdict::kFinish : Verdict::kWiden, "near the set points: " + text(newMs) + " ms against " + text(oldMs) + " ms, errors " + text(newErrors) +
                                                           " against " + text(oldErrors) + " of 1000, fetches " + text(100 * newLoad) + " against " +
                                                           text(100 * oldLoad) + " per 100"};
}

}  // namespace dykestage::policy
