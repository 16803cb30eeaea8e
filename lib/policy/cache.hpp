// Policy: what may be kept, for how long; how much may be asked of an origin; which upstream to place on.
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

namespace dykestage::policy {

using neighbour::Headers;

/// A whole answer that may be given again.
struct Copy {
  int status = 200;
  Headers headers;
  std::string body;
  int64_t bornMs = 0;  // when the request to the origin left, on this node's steady clock
  int64_t keepMs = 0;
  uint64_t purges = 0;            // purge number when the fill began
  std::vector<std::string> vary;  // names of the request headers that it depends on
};

/// What an answer allows: how long it may be kept, on which request headers it depends, its labels.
struct Terms {
  int64_t keepMs = 0;
  std::vector<std::string> vary;
  std::vector<std::string> labels;
};
/// Reads an answer's terms, within the path's own keep time.
/// Example: `auto terms = termsOf(200, headers, path.keepMs); if (terms.keepMs > 0) cache.put(...);`
auto termsOf(int status, const Headers& headers, int64_t pathKeepMs, const std::string& labelsName = "Dykestage-Labels")
    -> Terms;
/// True when a request may be answered from a shared copy. Example: `isShareable("GET", headers)`
auto isShareable(const std::string& method, const Headers& headers) -> bool;

/// What a request has of the headers that an answer varies on; two requests with the same may share the answer.
/// Example: `if (variantOf(copy.vary, mine) == variantOf(copy.vary, theirs)) ...`
auto variantOf(const std::vector<std::string>& vary, const Headers& request) -> std::string;

/// A bounded cache that drops the least recently used copies first.
/// Example:
///   Cache cache(64 << 20);
///   cache.put("shop", "/cover/7", requestHeaders, copy, labels);
///   if (auto* copy = cache.get("shop", "/cover/7", requestHeaders, nowMs)) ...
class Cache {
 public:
  explicit Cache(size_t boundBytes) : boundBytes_(boundBytes) {}
  /// The copy that fits a request and is still within its keep time; null otherwise. Where a route's traffic is
  /// split, a copy belongs to the pool that it came from.
  auto get(const std::string& service, const std::string& target, const Headers& request, int64_t nowMs,
           const std::string& pool = "") -> std::shared_ptr<const Copy>;
  /// Keeps a copy unless a purge that it missed has been in force since its fill began; false then.
  auto put(const std::string& service, const std::string& target, const Headers& request,
           std::shared_ptr<const Copy> copy, const std::vector<std::string>& labels, const std::string& pool = "")
      -> bool;
  auto put(const std::string& service, const std::string& target, const Headers& request, Copy copy,
           const std::vector<std::string>& labels) -> bool {
    return put(service, target, request, std::make_shared<const Copy>(std::move(copy)), labels);
  }
  /// Brings purges in force, in order; a gap in their numbers empties the cache.
  /// Example: `cache.purge(frame.purges, frame.revision.purges, frame.purgeFloor);`
  auto purge(const std::vector<core::Purge>& purges, uint64_t upTo, uint64_t floor) -> void;
  /// True when a fill begun at `since` may have read what a purge meant to remove.
  auto isPurgedSince(uint64_t since, const std::string& service, const std::string& target,
                     const std::vector<std::string>& labels) const -> bool;
  /// The same before the answer is there: its labels are not known, so that any label of the service counts.
  /// Example: `if (cache.mayBePurgedSince(leader.purges, service, target)) fetchAnew();`
  auto mayBePurgedSince(uint64_t since, const std::string& service, const std::string& target) const -> bool;
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
  auto isPurged(uint64_t since, const std::string& service,
                const std::function<bool(const core::Purge&)>& concerns) const -> bool;

  size_t boundBytes_;
  size_t bytes_ = 0;
  Items items_;
  std::map<std::string, std::vector<std::string>> vary_;   // base → names
  std::map<std::string, std::set<std::string>> labelled_;  // label → keys
  std::vector<core::Purge> log_;                           // purges still known by number
  uint64_t purges_ = 0, floor_ = 0;
};

/// Extra tries of one service: at most a share of its traffic over ten seconds, plus an allowance.
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

/// How many shields an origin's rate is split among.
///
/// A split that gives this shield less takes effect at once; one that gives it more only after the old split
/// has run out everywhere. The freshness bound tells when: a shield that has not learned of the new split by
/// then turns requests away. A shield that has just come takes no part before the others have made room.
/// Example: `split.set(shields.size(), false, nowMs); if (!split.isSettled(nowMs)) turnAway();`
class Split {
 public:
  explicit Split(int64_t leaseMs) : leaseMs_(leaseMs) {}
  /// `isListed`: an earlier life of this shield was among them when this one came, so that the others left its part
  /// to it all the time. Example: `split.set(8, member.replaced != 0, nowMs);`
  auto set(size_t shields, bool isListed, int64_t nowMs) -> void;
  /// The number to divide by now. Example: `rate / split.count(nowMs)`
  auto count(int64_t nowMs) -> size_t;
  auto isSettled(int64_t nowMs) const -> bool { return sinceMs_ >= 0 && (wasListed_ || nowMs - sinceMs_ >= leaseMs_); }

 private:
  int64_t leaseMs_;
  int64_t sinceMs_ = -1;
  bool wasListed_ = false;
  std::vector<std::pair<int64_t, size_t>> seen_;  // until when a count was in force
  size_t now_ = 0;
};

/// How an origin's agreed rate is judged: over any window, with so much above it.
struct RateBounds {
  double windowS = 5;
  double over = 1.0;  // times the rate
  double slack = 0;   // and so many requests
  /// What one of `nodes` may use of a rate, a second, so that all together stay within the bounds: each may gather a
  /// fifth of a second of its share, one request at least. Example: `bounds.share(540, 8)`
  auto share(double ratePerS, size_t nodes) const -> double;
};

/// This shield's share of an origin's agreed rate. It starts empty and gathers little, so that any window of
/// 5 s stays near the rate. Example: `rate.set(300.0 / split.count(now), now); if (!rate.take(now)) turnAway();`
class RateShare {
 public:
  /// Requests a second allowed from now on; 0 or less: no limit.
  auto set(double share, int64_t nowMs) -> void;
  auto take(int64_t nowMs) -> bool;
  /// True while one may be taken. Example: `if (rate.has(nowMs)) hedge();`
  auto has(int64_t nowMs) -> bool;

 private:
  auto settle(int64_t nowMs) -> void;
  double share_ = 0, tokens_ = 0;
  int64_t filledMs_ = -1;
};

}  // namespace dykestage::policy
