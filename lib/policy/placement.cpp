#include "policy/placement.hpp"

#include <algorithm>
#include <cmath>

#include "neighbour/post.hpp"

namespace dykestage::policy {

namespace {
constexpr double kUnknownMs = 50;  // where nothing is known of a whole pool
constexpr double kColdFactor = 2;
constexpr double kSmooth = 0.15;
constexpr int64_t kSlotsPerNode = 8;     // with as many a node, told load is enough to go by
constexpr int64_t kSlotsPerKeeper = 48;  // that one node keeps, about
}  // namespace

auto Health::left(uint64_t id, int64_t nowMs) -> void {
  ++open;
  since.emplace(nowMs, id);
}

auto Health::ended(uint64_t id, int64_t leftMs, int64_t took, double waitedMs, bool isWell, int64_t nowMs) -> void {
  open = std::max(0, open - 1);
  since.erase({leftMs, id});
  if (!isWell) return;
  failures = 0;
  auto sampleMs = std::max(static_cast<double>(took) - waitedMs, static_cast<double>(took) / 4);
  if (nowMs < coldUntilMs) sampleMs /= kColdFactor;
  tookMs = tookMs <= 0 ? sampleMs : (1 - kSmooth) * tookMs + kSmooth * sampleMs;
}

auto expect(const Candidate& candidate, double poolMs, const PlacementProps& props, int64_t nowMs) -> Placement {
  const auto& h = *candidate.health;
  auto slots = static_cast<double>(std::max<int64_t>(1, candidate.upstream->capacity));
  auto baseMs = h.tookMs > 0 ? h.tookMs : poolMs > 0 ? poolMs : kUnknownMs;
  if (nowMs < h.coldUntilMs) baseMs *= kColdFactor;
  // A request that takes far too long has lost its answer, more likely than it still holds a slot.
  auto lostMs = static_cast<int64_t>(3 * baseMs);
  auto own = static_cast<int>(
      std::count_if(h.since.begin(), h.since.end(), [&](const auto& one) { return nowMs - one.first <= lostMs; }));
  // What has not been answered for long tells of trouble before any answer does.
  if (!h.since.empty()) {
    auto oldestMs = static_cast<double>(nowMs - h.since.begin()->first);
    if (oldestMs > 2 * baseMs) baseMs = oldestMs;
  }
  // Between two tellings, what others send is taken for what it was; without any, for nothing. Where no others send,
  // what it tells shows which of this node's own requests are over there, though their answers are lost.
  auto isTold = h.toldMs >= 0 && nowMs - h.toldMs < props.loadMs;
  auto newer = static_cast<int>(
      std::count_if(h.since.begin(), h.since.end(), [&](const auto& one) { return one.first >= h.toldMs; }));
  auto busy = !isTold        ? own
              : props.isKept ? std::min(own, h.told + newer)
                             : std::max(own, h.told + h.open - h.openWhenTold);
  Placement p;
  p.waitMs = std::max(0.0, busy + 1 - slots) * baseMs / slots;
  auto share = std::min(1.0, busy / slots);
  p.expectedMs = baseMs * (1 + 0.3 * share * share) + p.waitMs;
  if (candidate.upstream->site != props.site) p.expectedMs *= props.farFactor;
  return p;
}

auto poolMean(const std::vector<Candidate>& candidates) -> double {
  auto sum = 0.0;
  auto count = 0;
  for (const auto& one : candidates)
    if (one.health->tookMs > 0) sum += one.health->tookMs, ++count;
  return count ? sum / count : 0;
}

auto choose(const std::vector<Candidate>& candidates, const std::set<std::string>& tried, const PlacementProps& props,
            uint64_t dice, int64_t nowMs) -> std::optional<Placement> {
  std::vector<std::pair<Placement, double>> weighted;
  auto sum = 0.0;
  auto poolMs = poolMean(candidates);
  auto isShunned = [&](const Candidate& one) { return one.health->shunUntilMs > nowMs; };
  // Where every one is shunned, shunning helps nobody: one that answers now and then is better than none.
  auto isPanic = std::all_of(candidates.begin(), candidates.end(),
                             [&](const auto& one) { return tried.count(*one.name) || isShunned(one); });
  for (size_t i = 0; i < candidates.size(); ++i) {
    const auto& one = candidates[i];
    if (tried.count(*one.name) || (isShunned(one) && !isPanic)) continue;
    if (props.connections > 0 && one.health->open >= props.connections) continue;
    auto placement = expect(one, poolMs, props, nowMs);
    placement.index = i;
    if (props.isFreeOnly && placement.waitMs > 0) continue;
    auto weight = std::pow(1000 / (1 + placement.expectedMs), 3);
    weighted.emplace_back(placement, weight);
    sum += weight;
  }
  if (weighted.empty()) return std::nullopt;
  auto at = sum * static_cast<double>(dice % 1000003) / 1000003.0;
  for (const auto& [placement, weight] : weighted) {
    at -= weight;
    if (at <= 0) return placement;
  }
  return weighted.back().first;
}

auto dispatchOf(const core::Frame& frame, const std::string& pool, const std::vector<uint64_t>& fetchers) -> Dispatch {
  Dispatch dispatch;
  int64_t slots = 0;
  for (const auto& [name, upstream] : frame.upstreams)
    if (upstream.service == pool && !upstream.isEmptying && !upstream.isHeld) slots += upstream.capacity;
  if (slots == 0 || fetchers.size() < 2 || slots >= kSlotsPerNode * static_cast<int64_t>(fetchers.size()))
    return dispatch;
  auto count = static_cast<size_t>((slots + kSlotsPerKeeper - 1) / kSlotsPerKeeper);
  dispatch.nodes = neighbour::heaviest(neighbour::hash("pool\n" + pool), fetchers, count);
  dispatch.slots.resize(dispatch.nodes.size());
  std::vector<uint64_t> names;
  for (auto at : dispatch.nodes)
    names.push_back(fetchers[at]);
  for (const auto& [name, upstream] : frame.upstreams) {
    if (upstream.service != pool || upstream.isEmptying || upstream.isHeld) continue;
    auto keeper = neighbour::heaviest(neighbour::hash(name), names, 1).front();
    dispatch.keepers[name] = keeper;
    dispatch.slots[keeper] += upstream.capacity;
  }
  return dispatch;
}

}  // namespace dykestage::policy
