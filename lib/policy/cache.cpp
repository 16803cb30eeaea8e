#include "policy/cache.hpp"

#include <algorithm>

#include "base/host_name.hpp"
#include "caller/face.hpp"

namespace dykestage::policy {

using caller::has;
using caller::header;
using caller::listOf;
using caller::lower;

namespace {
constexpr size_t kMaxPurges = 4000;  // known by number; of older ones it is only known that there were some
constexpr size_t kItemBytes = 512;   // of an item besides its body, key and headers, about

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

namespace {
auto isCacheableStatus(int status) -> bool {
  return status == 200 || status == 301 || status == 404 || status == 410;
}

// The seconds of a max-age or s-maxage; none when it is no number.
auto ageOf(const std::string& directive) -> std::optional<int64_t> {
  constexpr size_t kMaxDigits = 9;
  auto digits = directive.substr(directive.find('=') + 1);
  auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
  if (digits.empty() || digits.size() > kMaxDigits || !std::all_of(digits.begin(), digits.end(), isDigit))
    return std::nullopt;
  return std::stoll(digits);
}

// The TTL that Cache-Control leaves, header after header; s-maxage counts before max-age.
class CacheControl {
 public:
  explicit CacheControl(int64_t keepMs) : keepMs_(keepMs) {}
  auto add(const std::string& value) -> void {
    for (const auto& directive : listOf(value))
      addDirective(directive);
  }
  auto keepMs() const -> int64_t { return keepMs_; }

 private:
  auto addDirective(const std::string& directive) -> void {
    if (directive == "no-store" || directive == "private" || directive == "no-cache") keepMs_ = 0;
    auto isForShared = directive.starts_with("s-maxage=");
    if (!isForShared && (!directive.starts_with("max-age=") || hasShared_)) return;
    auto ageS = ageOf(directive);
    keepMs_ = ageS ? std::min<int64_t>(keepMs_, *ageS * 1000) : 0;
    hasShared_ = hasShared_ || isForShared;
  }
  int64_t keepMs_;
  bool hasShared_ = false;
};

auto append(std::vector<std::string>& to, const std::vector<std::string>& list) -> void {
  to.insert(to.end(), list.begin(), list.end());
}
}  // namespace

auto termsOf(int status, const Headers& headers, int64_t pathKeepMs, const std::string& labelsName) -> Terms {
  Terms terms;
  if (!isCacheableStatus(status) || has(headers, "set-cookie")) return terms;
  CacheControl control(pathKeepMs);
  auto labels = lower(labelsName);
  for (const auto& [name, value] : headers) {
    auto key = lower(name);
    if (key == "vary") append(terms.vary, listOf(value));
    if (key == "cache-control") control.add(value);
    if (key == labels) {
      auto list = value;
      std::replace(list.begin(), list.end(), ' ', ',');
      append(terms.labels, listOf(list));
    }
  }
  auto variesOnAll = std::find(terms.vary.begin(), terms.vary.end(), "*") != terms.vary.end();
  std::sort(terms.vary.begin(), terms.vary.end());
  terms.keepMs = variesOnAll ? 0 : control.keepMs();
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

auto Cache::dropBase(const std::string& base) -> void {
  auto& byBase = items_.get<ByBase>();
  for (auto it = byBase.find(base); it != byBase.end(); it = byBase.find(base))
    drop(items_.project<0>(it));
}

auto Cache::put(const std::string& service, const std::string& target, const Headers& request,
                std::shared_ptr<const Copy> kept, const std::vector<std::string>& labels, const std::string& pool)
    -> bool {
  const auto& copy = *kept;
  if (copy.keepMs <= 0 || isPurgedSince(copy.purges, service, target, labels)) return false;
  auto base = baseOf(service, target);
  auto known = vary_.find(base);
  if (known != vary_.end() && known->second != copy.vary) dropBase(base);
  Item item;
  item.base = base;
  item.key = keyOf(base, pool) + variantOf(copy.vary, request);
  item.bytes = kItemBytes + copy.body.size() + 2 * item.key.size();
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
  if (bytes_ > boundBytes_) evict(bytes_ - boundBytes_);
  return true;
}

auto Cache::leaveRoom(const MemoryAccount& memory, size_t bytes) -> void {
  auto roomBytes = memory.largeRoomBytes();
  if (bytes_ > 0 && roomBytes < bytes) evict(bytes - roomBytes);
}

auto Cache::evict(size_t bytes) -> void {
  auto leastBytes = bytes_ - std::min(bytes, bytes_);
  while (bytes_ > leastBytes)
    drop(items_.project<0>(items_.get<ByUse>().begin()));
}

namespace {
// Purges that were ordered before names of hosts were canonical name them as they were written.
auto scopesOf(const core::Purge& purge, const core::Services& services) -> std::vector<std::string> {
  if (purge.service.empty()) return {};
  auto host = canonicalHost(purge.service);
  std::vector<std::string> scopes = {purge.service};
  if (host != purge.service) scopes.push_back(host);
  for (const auto& [name, service] : services) {
    auto hasHost = std::find(service.hosts.begin(), service.hosts.end(), host) != service.hosts.end();
    if (hasHost && std::find(scopes.begin(), scopes.end(), name) == scopes.end()) scopes.push_back(name);
  }
  return scopes;
}
}  // namespace

auto Cache::PurgeInForce::counts(const std::string& service) const -> bool {
  return scopes.empty() || std::find(scopes.begin(), scopes.end(), service) != scopes.end();
}

auto Cache::purge(const std::vector<core::Purge>& purges, uint64_t upTo, uint64_t floor, const core::Services& services)
    -> void {
  if (floor > purges_) {  // some purges can no longer be known: no entry is sure
    while (!items_.empty())
      drop(items_.begin());
    floor_ = std::max(floor_, floor);
  }
  for (const auto& purge : purges) {
    if (purge.number <= purges_) continue;
    log_.push_back({purge, scopesOf(purge, services)});
    if (purge.label.empty())
      purgePath(log_.back());
    else
      purgeLabel(log_.back());
  }
  purges_ = std::max(purges_, upTo);
  forgetOldPurges();
}

auto Cache::purgeLabel(const PurgeInForce& inForce) -> void {
  auto labelled = labelled_.find(lower(inForce.purge.label));
  if (labelled == labelled_.end()) return;
  auto keys = labelled->second;  // dropping an item changes the set
  for (const auto& key : keys) {
    auto item = items_.get<ByKey>().find(key);
    if (item == items_.get<ByKey>().end()) continue;
    if (inForce.counts(item->base.substr(0, item->base.find('\n')))) drop(items_.project<0>(item));
  }
}

auto Cache::purgePath(const PurgeInForce& inForce) -> void {
  auto& byBase = items_.get<ByBase>();
  const auto& path = inForce.purge.path;
  for (const auto& scope : inForce.scopes)
    for (const auto& from : {baseOf(scope, path), baseOf(scope, path + "?")}) {
      for (auto it = byBase.lower_bound(from); it != byBase.end() && it->base.starts_with(from);) {
        auto next = std::next(it);
        if (isAt(it->base.substr(scope.size() + 1), path)) drop(items_.project<0>(it));
        it = next;
      }
    }
}

auto Cache::forgetOldPurges() -> void {
  if (log_.size() <= kMaxPurges) return;
  auto half = kMaxPurges / 2;
  floor_ = log_[half].purge.number;
  log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(half) + 1);
}

auto Cache::isPurged(uint64_t since, const std::string& service,
                     const std::function<bool(const core::Purge&)>& concerns) const -> bool {
  if (since >= purges_) return false;
  if (since < floor_) return true;
  for (auto it = log_.rbegin(); it != log_.rend() && it->purge.number > since; ++it)
    if (it->counts(service) && concerns(it->purge)) return true;
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

}  // namespace dykestage::policy
