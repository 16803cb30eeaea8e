#include "policy/cache.hpp"

#include <algorithm>
#include <cmath>

#include "caller/face.hpp"

namespace dykestage::policy {

using caller::has;
using caller::header;
using caller::listOf;
using caller::lower;

namespace {
auto baseOf(const std::string& service, const std::string& target) -> std::string {
  return service + "\n" + target;
}

auto keyOf(const std::string& base, const std::string& pool) -> std::string {
  return pool.empty() ? base : base + "\n@" + pool;
}

// A purge of a path means that path with every query.
auto isAt(const std::string& target, const std::string& path) -> bool {
  return target == path ||
         (target.size() > path.size() && target.compare(0, path.size(), path) == 0 && target[path.size()] == '?');
}
}  // namespace

auto variantOf(const std::vector<std::string>& vary, const Headers& request) -> std::string {
  std::string variant;  // a line a header: a value can't hold the end of a line
  for (const auto& name : vary)
    for (const auto& [other, value] : request)
      if (lower(other) == name) variant += "\n" + name + "=" + value;
  return variant;
}

auto isShareable(const std::string& method, const Headers& headers) -> bool {
  if (method != "GET" || has(headers, "authorization") || has(headers, "range") || has(headers, "cookie")) return false;
  for (const auto& name : {"if-none-match", "if-modified-since", "if-match", "if-unmodified-since", "if-range"})
    if (has(headers, name)) return false;
  auto wishes = listOf(header(headers, "cache-control"));
  return std::none_of(wishes.begin(), wishes.end(),
                      [](const auto& w) { return w == "no-store" || w == "no-cache" || w == "max-age=0"; });
}

auto termsOf(int status, const Headers& headers, int64_t pathKeepMs, const std::string& labelsName) -> Terms {
  Terms terms;
  if (status != 200 && status != 404 && status != 410 && status != 301) return terms;
  if (has(headers, "set-cookie")) return terms;
  auto keepMs = pathKeepMs;
  auto isShared = false;
  auto labels = lower(labelsName);
  for (const auto& [name, value] : headers) {
    auto n = lower(name);
    if (n == "vary")
      for (auto& one : listOf(value))
        terms.vary.push_back(one);
    if (n == labels) {
      auto list = value;
      std::replace(list.begin(), list.end(), ' ', ',');
      for (auto& one : listOf(list))
        terms.labels.push_back(one);
    }
    if (n != "cache-control") continue;
    for (const auto& wish : listOf(value)) {
      if (wish == "no-store" || wish == "private" || wish == "no-cache") keepMs = 0;
      auto isOwn = wish.rfind("s-maxage=", 0) == 0;
      if (!isOwn && (wish.rfind("max-age=", 0) != 0 || isShared)) continue;
      auto digits = wish.substr(wish.find('=') + 1);
      if (digits.empty() || digits.size() > 9 ||
          !std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; }))
        keepMs = 0;
      else
        keepMs = std::min<int64_t>(keepMs, std::stoll(digits) * 1000);
      isShared = isShared || isOwn;
    }
  }
  if (std::find(terms.vary.begin(), terms.vary.end(), "*") != terms.vary.end()) keepMs = 0;
  std::sort(terms.vary.begin(), terms.vary.end());
  terms.keepMs = keepMs;
  return terms;
}

auto Cache::get(const std::string& service, const std::string& target, const Headers& request, int64_t nowMs,
                const std::string& pool) -> std::shared_ptr<const Copy> {
  auto base = baseOf(service, target);
  auto vary = vary_.find(base);
  auto& byKey = items_.get<ByKey>();
  auto it = byKey.find(vary == vary_.end() ? keyOf(base, pool) : keyOf(base, pool) + variantOf(vary->second, request));
  if (it == byKey.end()) return nullptr;
  if (nowMs - it->copy->bornMs >= it->copy->keepMs) {
    drop(items_.project<0>(it));
    return nullptr;
  }
  auto& byUse = items_.get<ByUse>();
  byUse.relocate(byUse.end(), items_.project<ByUse>(it));
  return it->copy;
}

auto Cache::drop(Items::iterator it) -> void {
  bytes_ -= it->bytes;
  auto base = it->base;
  for (const auto& label : it->labels) {
    auto held = labelled_.find(label);
    if (held == labelled_.end()) continue;
    held->second.erase(it->key);
    if (held->second.empty()) labelled_.erase(held);
  }
  items_.erase(it);
  if (items_.get<ByBase>().count(base) == 0) vary_.erase(base);
}

auto Cache::put(const std::string& service, const std::string& target, const Headers& request,
                std::shared_ptr<const Copy> kept, const std::vector<std::string>& labels, const std::string& pool)
    -> bool {
  const auto& copy = *kept;
  if (copy.keepMs <= 0 || isPurgedSince(copy.purges, service, target, labels)) return false;
  auto base = baseOf(service, target);
  auto known = vary_.find(base);
  if (known != vary_.end() && known->second != copy.vary) {
    auto& byBase = items_.get<ByBase>();
    while (true) {
      auto it = byBase.find(base);
      if (it == byBase.end()) break;
      drop(items_.project<0>(it));
    }
  }
  Item item;
  item.base = base;
  item.key = keyOf(base, pool) + variantOf(copy.vary, request);
  item.bytes = 512 + copy.body.size() + 2 * item.key.size();
  for (const auto& [name, value] : copy.headers)
    item.bytes += name.size() + value.size();
  if (item.bytes > boundBytes_ / 4) return false;
  for (const auto& label : labels)
    item.labels.push_back(label);
  if (auto old = items_.get<ByKey>().find(item.key); old != items_.get<ByKey>().end()) {
    if (old->copy->bornMs > copy.bornMs) return false;  // what is here is newer
    drop(items_.project<0>(old));
  }
  vary_[base] = copy.vary;
  for (const auto& label : item.labels)
    labelled_[label].insert(item.key);
  bytes_ += item.bytes;
  item.copy = std::move(kept);
  items_.insert(std::move(item));
  while (bytes_ > boundBytes_)
    drop(items_.project<0>(items_.get<ByUse>().begin()));
  return true;
}

auto Cache::purge(const std::vector<core::Purge>& purges, uint64_t upTo, uint64_t floor) -> void {
  if (floor > purges_) {  // some purges can no longer be known: nothing kept is sure
    while (!items_.empty())
      drop(items_.begin());
    floor_ = std::max(floor_, floor);
  }
  for (const auto& purge : purges) {
    if (purge.number <= purges_) continue;
    if (!purge.label.empty()) {
      auto it = labelled_.find(lower(purge.label));
      if (it != labelled_.end()) {
        auto keys = it->second;
        for (const auto& key : keys) {
          auto item = items_.get<ByKey>().find(key);
          auto isMeant = item != items_.get<ByKey>().end() &&
                         (purge.service.empty() || item->base.rfind(purge.service + "\n", 0) == 0);
          if (isMeant) drop(items_.project<0>(item));
        }
      }
    } else {
      auto& byBase = items_.get<ByBase>();
      for (const auto& from : {baseOf(purge.service, purge.path), baseOf(purge.service, purge.path + "?")})
        for (auto it = byBase.lower_bound(from); it != byBase.end() && it->base.compare(0, from.size(), from) == 0;) {
          auto next = std::next(it);
          if (isAt(it->base.substr(purge.service.size() + 1), purge.path)) drop(items_.project<0>(it));
          it = next;
        }
    }
    log_.push_back(purge);
  }
  purges_ = std::max(purges_, upTo);
  constexpr size_t kLog = 4000;
  if (log_.size() > kLog) {
    floor_ = log_[kLog / 2].number;
    log_.erase(log_.begin(), log_.begin() + kLog / 2 + 1);
  }
}

auto Cache::isPurged(uint64_t since, const std::string& service,
                     const std::function<bool(const core::Purge&)>& concerns) const -> bool {
  if (since >= purges_) return false;
  if (since < floor_) return true;
  for (auto it = log_.rbegin(); it != log_.rend() && it->number > since; ++it)
    if ((it->service.empty() || it->service == service) && concerns(*it)) return true;
  return false;
}

auto Cache::isPurgedSince(uint64_t since, const std::string& service, const std::string& target,
                          const std::vector<std::string>& labels) const -> bool {
  return isPurged(since, service, [&](const auto& purge) {
    return purge.label.empty() ? isAt(target, purge.path)
                               : std::find(labels.begin(), labels.end(), lower(purge.label)) != labels.end();
  });
}

auto Cache::mayBePurgedSince(uint64_t since, const std::string& service, const std::string& target) const -> bool {
  return isPurged(since, service, [&](const auto& purge) { return !purge.label.empty() || isAt(target, purge.path); });
}

auto TryBudgets::of(const core::Frame& frame, const std::string& service) -> TryBudget& {
  return of(frame, service, 1 / static_cast<double>(std::max<int64_t>(1, core::countOf(frame, kind_))));
}

auto TryBudgets::of(const core::Frame& frame, const std::string& service, double partOfAllowance) -> TryBudget& {
  auto& budget = budgets_.try_emplace(service, 0.0, 0.0, bounds_.windowMs).first->second;
  auto it = frame.services.find(service);
  auto bounds = it == frame.services.end() ? bounds_
                                           : TryBounds{static_cast<double>(it->second.triesPercent) / 100,
                                                       static_cast<double>(it->second.triesAllowance)};
  budget.set(bounds.share * part_, bounds.allowance * part_ * partOfAllowance);
  return budget;
}

auto TryBudget::at(int64_t nowMs) -> Slice& {
  auto number = nowMs / sliceMs_;
  auto& slice = slices_[number % 101];
  if (slice.number != number) slice = {number, 0, 0};
  return slice;
}

auto TryBudget::mayTry(int64_t nowMs) -> bool {
  auto number = nowMs / sliceMs_;
  double asked = 0, tried = 0;
  for (const auto& slice : slices_) {
    if (slice.number > number - 101) tried += slice.tried;
    // Traffic counts over the last half only, so that the bound holds for windows that begin later.
    if (slice.number > number - 50) asked += slice.asked;
  }
  return tried + 1 <= share_ * asked + allowance_;
}

auto Split::set(size_t shields, bool isListed, int64_t nowMs) -> void {
  if (sinceMs_ < 0) {
    sinceMs_ = nowMs;
    wasListed_ = isListed;
  }
  if (shields == now_) return;
  if (now_ > 0) seen_.emplace_back(nowMs, now_);
  now_ = shields;
}

auto Split::count(int64_t nowMs) -> size_t {
  std::erase_if(seen_, [&](const auto& one) { return nowMs - one.first >= leaseMs_; });
  auto most = std::max<size_t>(1, now_);
  // Whoever took over an earlier life's part can't know who has left of late and may still act: it leaves room for a
  // quarter of all, one at least.
  if (wasListed_ && nowMs - sinceMs_ < leaseMs_) most += std::max<size_t>(1, most / 4);
  for (const auto& [untilMs, count] : seen_)
    most = std::max(most, count);
  return most;
}

auto RateBounds::share(double ratePerS, size_t nodes) const -> double {
  if (ratePerS <= 0) return 0;
  auto count = static_cast<double>(std::max<size_t>(1, nodes));
  // What is above the rate pays for what nodes gather, and for requests that arrive closer together than they left.
  auto spare = (over - 1) * ratePerS * windowS + slack - std::max(count, ratePerS / 5);
  auto factor = over > 1 || slack > 0 ? std::clamp(1 + spare / 2 / (ratePerS * windowS), 0.5, over) : 1.0;
  return ratePerS * factor / count;
}

auto RateShare::set(double share, int64_t nowMs) -> void {
  settle(nowMs);
  if (share_ <= 0) tokens_ = std::max(1.0, share / 5);
  share_ = share;
}

auto RateShare::settle(int64_t nowMs) -> void {
  auto passedMs = filledMs_ < 0 ? 0 : std::max<int64_t>(0, nowMs - filledMs_);
  filledMs_ = nowMs;
  // A fifth of a second of the share may gather: a window of 5 s then holds at most 4% above it.
  tokens_ = std::min(std::max(1.0, share_ / 5), tokens_ + share_ * static_cast<double>(passedMs) / 1000.0);
}

auto RateShare::has(int64_t nowMs) -> bool {
  if (share_ <= 0) return true;
  settle(nowMs);
  return tokens_ >= 1;
}

auto RateShare::take(int64_t nowMs) -> bool {
  if (!has(nowMs)) return false;
  if (share_ > 0) tokens_ -= 1;
  return true;
}

}  // namespace dykestage::policy
