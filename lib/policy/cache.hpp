// Policy: which responses may be cached and for how long, the cache itself, and the retry budgets of services and
// pools. Pure: the time is an argument, in ms of the steady clock.
#pragma once
#include <algorithm>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/state.hpp"
#include "neighbour/messages.hpp"
#include "policy/rate.hpp"

namespace dykestage::policy {

using neighbour::Headers;

/// A cache entry: a whole response that may be given again, to any client.
struct Copy {
  int status = 200;
  Headers headers;
  Body body;
  int64_t bornMs = 0;             // when the request to the origin left, on this node's steady clock
  int64_t keepMs = 0;             // its TTL, from then on
  uint64_t purges = 0;            // purge number when the fetch that filled it began
  std::vector<std::string> vary;  // names of the request headers that it depends on
};

/// What a response allows: its TTL (0: it may not be cached), on which request headers it depends, its labels.
struct Terms {
  int64_t keepMs = 0;
  std::vector<std::string> vary;
  std::vector<std::string> labels;
};
/// Reads a response's terms, after Cache-Control, Vary and Set-Cookie, within the TTL of the path.
/// Example: `auto terms = termsOf(200, headers, path.keepMs); if (terms.keepMs > 0) cache.put(...);`
auto termsOf(int status, const Headers& headers, int64_t pathKeepMs, const std::string& labelsName = "Dykestage-Labels")
    -> Terms;
/// True when a request may be answered from a shared cache entry. Example: `isShareable("GET", headers)`
auto isShareable(const std::string& method, const Headers& headers) -> bool;

/// What a request has of the headers that a response varies on; two requests with the same may share the response.
/// Example: `if (variantOf(copy.vary, mine) == variantOf(copy.vary, theirs)) ...`
auto variantOf(const std::vector<std::string>& vary, const Headers& request) -> std::string;

/// A cache of bounded size that drops the least recently used entries first.
/// Example:
///   Cache cache(64 << 20);
///   cache.put("shop", "/cover/7", requestHeaders, copy, labels);
///   if (auto* copy = cache.get("shop", "/cover/7", requestHeaders, nowMs)) ...
class Cache {
 public:
  explicit Cache(size_t boundBytes) : boundBytes_(boundBytes) {}
  /// The entry that fits a request and is still within its TTL; null otherwise. Where a route's traffic is split, an
  /// entry belongs to the pool that it came from.
  auto get(const std::string& service, const std::string& target, const Headers& request, int64_t nowMs,
           const std::string& pool = "") -> std::shared_ptr<const Copy>;
  /// Stores an entry; false when a purge that it missed came into force since its fetch began, when a newer one is
  /// there, or when it is larger than a quarter of the cache.
  auto put(const std::string& service, const std::string& target, const Headers& request,
           std::shared_ptr<const Copy> copy, const std::vector<std::string>& labels, const std::string& pool = "")
      -> bool;
  auto put(const std::string& service, const std::string& target, const Headers& request, Copy copy,
           const std::vector<std::string>& labels) -> bool {
    return put(service, target, request, std::make_shared<const Copy>(std::move(copy)), labels);
  }
  /// Brings purges in force, in order; a gap in their numbers empties the cache. A purge of a host also counts for the
  /// service that has this host.
  /// Example: `cache.purge(frame.purges, frame.revision.purges, frame.purgeFloor, frame.services);`
  auto purge(const std::vector<core::Purge>& purges, uint64_t upTo, uint64_t floor, const core::Services& services = {})
      -> void;
  /// True when a fill begun at `since` may have read what a purge meant to remove.
  auto isPurgedSince(uint64_t since, const std::string& service, const std::string& target,
                     const std::vector<std::string>& labels) const -> bool;
  /// The same before the answer is there: its labels are not known, so that any label of the service counts.
  /// Example: `if (cache.mayBePurgedSince(leader.purges, service, target)) fetchAnew();`
  auto mayBePurgedSince(uint64_t since, const std::string& service, const std::string& target) const -> bool;
  /// Drops the entries that were least recently used, until at least so many bytes went. Example: `cache.evict(1 <<
  /// 20);`
  auto evict(size_t bytes) -> void;
  /// Gives way to what clients send: drops entries until large holders may draw so much, as far as that helps.
  /// Example: `cache.leaveRoom(*memory, mostBodyBytes);`
  auto leaveRoom(const MemoryAccount& memory, size_t bytes) -> void;
  auto purges() const -> uint64_t { return purges_; }
  auto bytes() const -> size_t { return bytes_; }
  auto size() const -> size_t { return items_.size(); }

 private:
  struct Item {
    std::string key, base;  // base: service and target, without what it varies on
    std::shared_ptr<const Copy> copy;
    std::vector<std::string> labels;
    size_t bytes = 0;
  };
  struct PurgeInForce {
    core::Purge purge;
    std::vector<std::string> scopes;  // the services and hosts under which it counts; none: all
    auto counts(const std::string& service) const -> bool;
  };
  struct ByKey {};
  struct ByBase {};
  struct ByUse {};
  using Items = boost::multi_index_container<
      Item, boost::multi_index::indexed_by<
                boost::multi_index::hashed_unique<boost::multi_index::tag<ByKey>,
                                                  boost::multi_index::member<Item, std::string, &Item::key>>,
                boost::multi_index::ordered_non_unique<boost::multi_index::tag<ByBase>,
                                                       boost::multi_index::member<Item, std::string, &Item::base>>,
                boost::multi_index::sequenced<boost::multi_index::tag<ByUse>>>>;
  auto drop(Items::iterator it) -> void;
  auto dropBase(const std::string& base) -> void;
  auto purgeLabel(const PurgeInForce& inForce) -> void;
  auto purgePath(const PurgeInForce& inForce) -> void;
  auto forgetOldPurges() -> void;
  auto isPurged(uint64_t since, const std::string& service,
                const std::function<bool(const core::Purge&)>& concerns) const -> bool;

  size_t boundBytes_;
  size_t bytes_ = 0;
  Items items_;
  std::map<std::string, std::vector<std::string>> vary_;   // base → names
  std::map<std::string, std::set<std::string>> labelled_;  // label → keys
  std::vector<PurgeInForce> log_;                          // purges still known by number
  uint64_t purges_ = 0, floor_ = 0;
};

/// The retry budget of one service or pool: retries and hedges in a sliding window are at most a share of its requests
/// plus an allowance.
/// Example: `if (budget.mayTry(nowMs)) { budget.tried(nowMs); askAgain(); }`
class TryBudget {
 public:
  explicit TryBudget(double share, double allowance, int64_t windowMs = 10000)
      : share_(share), allowance_(allowance), sliceMs_(std::max<int64_t>(1, windowMs / 100)) {}
  auto asked(int64_t nowMs) -> void { at(nowMs).asked += 1; }
  auto tried(int64_t nowMs) -> void { at(nowMs).tried += 1; }
  auto mayTry(int64_t nowMs) -> bool;
  /// Sets what the configuration says now. Example: `budget.set(0.1, 2);`
  auto set(double share, double allowance) -> void { share_ = share, allowance_ = allowance; }

 private:
  struct Slice {
    int64_t number = -1;
    double asked = 0, tried = 0;
  };
  auto at(int64_t nowMs) -> Slice&;
  double share_, allowance_;
  int64_t sliceMs_;
  Slice slices_[101];
};

/// What all nodes together may try beyond the first time, of a pool that says nothing of its own.
struct TryBounds {
  double share = 0.2;     // of the requests for it
  double allowance = 10;  // and so many more
  int64_t windowMs = 10000;
};

/// The budgets of all services and pools at one node: its part of what may be tried, shared among the nodes of its
/// kind. Example: `TryBudgets budgets("edge", 0.25, {}); if (budgets.of(frame, "shop").mayTry(nowMs)) ...`
class TryBudgets {
 public:
  TryBudgets(std::string kind, double part, TryBounds bounds) : kind_(std::move(kind)), part_(part), bounds_(bounds) {}
  auto of(const core::Frame& frame, const std::string& service) -> TryBudget&;
  /// The same for a pool whose upstreams few nodes keep: `partOfAllowance` is this node's, of what its kind may use.
  auto of(const core::Frame& frame, const std::string& service, double partOfAllowance) -> TryBudget&;

 private:
  std::string kind_;
  double part_;
  TryBounds bounds_;
  std::map<std::string, TryBudget> budgets_;
};

}  // namespace dykestage::policy
