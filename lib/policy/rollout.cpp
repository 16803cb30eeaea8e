#include "policy/rollout.hpp"

#include <algorithm>
#include <cmath>

namespace dykestage::policy {

namespace {
auto limitMs(size_t bucket) -> double {
  return std::pow(1.25, static_cast<double>(bucket));
}

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
  while (bucket + 1 < kBuckets && static_cast<double>(tookMs) > limitMs(bucket))
    ++bucket;
  ++took[bucket];
}

auto Sample::quantileMs(int64_t permille) const -> double {
  uint64_t sum = 0;
  for (auto n : took)
    sum += n;
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
  for (size_t i = 0; i < kBuckets; ++i)
    step.took[i] -= std::min(before.took[i], step.took[i]);
  return step;
}

auto Sample::join(const Sample& other) -> void {
  requests += other.requests, errors += other.errors, fetches += other.fetches, loadMille += other.loadMille;
  for (size_t i = 0; i < kBuckets; ++i)
    took[i] += other.took[i];
}

auto Sample::write(Writer& w) const -> void {
  w.put(requests).put(errors).put(fetches).put(loadMille);
  for (auto n : took)
    w.put(n);
}

auto Sample::read(Reader& r) -> void {
  r.read(requests), r.read(errors), r.read(fetches), r.read(loadMille);
  for (auto& n : took)
    r.read(n);
}

auto judge(const Sample& old, const Sample& next, const SetPoints& points, int64_t passedMs, bool isLast,
           int64_t keepMs) -> Judgement {
  auto least = static_cast<uint64_t>(points.leastSample);
  auto hasEnough = next.requests >= least && old.requests >= least;
  if (!hasEnough) {
    if (passedMs >= points.longestMs)
      return {Verdict::kFallBack, "too few requests to judge by: " + std::to_string(next.requests) + " new, " +
                                      std::to_string(old.requests) + " old"};
    return {Verdict::kHold, "too few requests yet"};
  }
  auto share = [](uint64_t part, uint64_t whole) {
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
  };
  // Figures of small samples waver, and they are looked at again and again: what three standard errors explain is
  // no drift yet. A step that is beyond its set points by less than that holds, and falls back only at its end.
  auto error = [](double share, uint64_t n) {
    auto size = static_cast<double>(std::max<uint64_t>(1, n));
    auto p = std::clamp(share, 1 / size, 1.0);
    return std::sqrt(std::max(0.01 / size, p * (1 - p)) / size);
  };
  auto oldErrors = share(old.errors, old.requests), newErrors = share(next.errors, next.requests);
  auto mostErrors = oldErrors + static_cast<double>(points.errorsPermille) / 1000;
  auto errorsChance = 3 * std::hypot(error(oldErrors, old.requests), error(mostErrors, next.requests));
  auto oldMs = old.quantileMs(points.quantilePermille), newMs = next.quantileMs(points.quantilePermille);
  auto mostMs = oldMs * (1 + static_cast<double>(points.latencyPercent) / 100) + static_cast<double>(points.latencyMs);
  // The quantile that the new one surely reaches.
  auto quantile = static_cast<double>(points.quantilePermille) / 1000;
  auto surely =
      std::max(0.0, quantile - 3 * std::hypot(error(1 - quantile, next.requests), error(1 - quantile, old.requests)));
  auto surelyMs = next.quantileMs(static_cast<int64_t>(1000 * surely));
  auto oldLoad = share(old.fetches, old.requests), newLoad = share(next.fetches, next.requests);
  auto mostLoad = oldLoad * (1 + static_cast<double>(points.loadPercent) / 100);
  auto loadChance = std::hypot(error(oldLoad, old.requests), error(newLoad, next.requests));
  auto settledMs = std::min(keepMs, points.longestMs / 2);
  auto isSettled = passedMs >= settledMs;
  auto isOver = passedMs >= points.longestMs;
  auto errorsText = "errors: " + text(1000 * newErrors) + " of 1000, old " + text(1000 * oldErrors);
  auto latencyText = "latency: " + text(newMs) + " ms, old " + text(oldMs) + " ms";
  auto loadText = "origin load: " + text(100 * newLoad) + " fetches per 100 requests, old " + text(100 * oldLoad);
  if (newErrors > mostErrors + (isOver ? 0 : errorsChance)) return {Verdict::kFallBack, errorsText};
  if ((isOver ? newMs : surelyMs) > mostMs) return {Verdict::kFallBack, latencyText};
  // While copies of before may still expire in bursts, more is left to chance.
  if (newLoad > mostLoad + (isOver ? 0 : isSettled ? 3 : 5) * loadChance) return {Verdict::kFallBack, loadText};
  if (newErrors > mostErrors) return {Verdict::kHold, errorsText + ", which may be chance"};
  if (newMs > mostMs) return {Verdict::kHold, latencyText + ", which may be chance"};
  if (newLoad > mostLoad + 2 * loadChance) return {Verdict::kHold, loadText + ", which may be chance"};
  if (!isSettled) return {Verdict::kHold, "copies of before are still in use"};
  if (passedMs < points.stepMs) return {Verdict::kHold, "the step is not over"};
  return {isLast ? Verdict::kFinish : Verdict::kWiden,
          "near the set points: " + text(newMs) + " ms against " + text(oldMs) + " ms, errors " +
              text(1000 * newErrors) + " against " + text(1000 * oldErrors) + " of 1000, fetches " +
              text(100 * newLoad) + " against " + text(100 * oldLoad) + " per 100"};
}

}  // namespace dykestage::policy
