#include "sim/soak_operators.hpp"

#include <algorithm>
#include <array>
#include <memory>

#include "neighbour/post.hpp"
#include "operator/json.hpp"

namespace dykestage::sim {

namespace {
constexpr int64_t kBoundMs = 2000;  // within which an acknowledged purge counts
constexpr int64_t kCallMs = 1000;   // silence after which an order goes to another registry
constexpr int64_t kAgainMs = 100;
constexpr int64_t kReadBackMs = 10000;  // that a registry is given to answer at the end
constexpr int64_t kLabelShare = 8;      // one purge in so many goes by label
constexpr std::array kHosts = {"shop.test", "SHOP.test", "Shop.Test", "shop.test:80"};

auto numberIn(const std::string& body, const char* key) -> int64_t {
  auto json = op::parse(body);
  const auto* item = json ? cJSON_GetObjectItemCaseSensitive(json.get(), key) : nullptr;
  return cJSON_IsNumber(item) ? static_cast<int64_t>(item->valuedouble) : -1;
}

auto targetMsIn(const std::string& body) -> int64_t {
  auto json = op::parse(body);
  const auto* routes = json ? cJSON_GetObjectItemCaseSensitive(json.get(), "routes") : nullptr;
  const auto* list = cJSON_GetObjectItemCaseSensitive(routes, "list");
  const auto* target = cJSON_GetObjectItemCaseSensitive(list, "targetMs");
  return cJSON_IsNumber(target) ? static_cast<int64_t>(target->valuedouble) : -1;
}

// A registry's answer that leaves open whether the order was taken: another one is asked.
auto isUnclear(const upstream::Fetched& answer) -> bool {
  return answer.fault != upstream::Fault::kNone || answer.status >= 500 || answer.status == 408 || answer.status == 429;
}
}  // namespace

SoakOperators::SoakOperators(Fleet& fleet, Props props)
    : fleet_(fleet), props_(std::move(props)), random_(props_.seed), registries_(fleet.https("registry")) {}

auto SoakOperators::openOrders() const -> size_t {
  return orders_.size();
}

auto SoakOperators::order(Order order) -> void {
  order.registry = random_() % registries_.size();
  auto id = nextId_++;
  auto& placed = orders_.emplace(id, std::move(order)).first->second;
  send(id, placed);
}

auto SoakOperators::send(uint64_t id, Order& order) -> void {
  upstream::Fetch fetch;
  fetch.id = id;
  fetch.address = order.address.empty() ? registries_[order.registry] : order.address;
  fetch.method = order.method;
  fetch.target = order.target;
  fetch.body = order.body;
  fetch.timeoutMs = kCallMs;
  order.isUnderWay = true;
  fetcher_.start(std::move(fetch));
}

auto SoakOperators::routingBody(uint64_t version, uint64_t base, int64_t targetMs, bool isWhole) const -> std::string {
  auto list =
      R"("list": {"host": "TILL.test", "prefix": "/list/", "kind": "readOnly", "giveUpMs": 1000, "targetMs": )" +
      std::to_string(targetMs) + R"(, "rank": 1, "tries": 2, "shares": [{"pool": "till", "weight": 1}]})";
  auto head = R"({"version": )" + std::to_string(version) + R"(, "base": )" + std::to_string(base);
  if (!isWhole) return head + R"(, "routes": {)" + list + "}}";
  return head + R"(, "whole": true, "routes": {)" + list + R"(,
    "items": {"host": "Shop.test", "prefix": "/items/", "kind": "cacheable", "giveUpMs": 1000, "rank": 2, "tries": 2,
              "keepMs": 20000, "shares": [{"pool": "shop", "weight": 1}]},
    "buy": {"host": "till.test", "prefix": "/buy/", "kind": "writing", "giveUpMs": 1000, "tries": 2,
            "shares": [{"pool": "till", "weight": 1}]}},
    "pools": {"shop": {}, "till": {}}, "limits": {"idleMs": 5000, "headerMs": 3000}})";
}

auto SoakOperators::configure(int64_t mostMs) -> bool {
  auto untilMs = neighbour::steadyMs() + mostMs;
  Order first;
  first.target = "/routing";
  first.body = routingBody(2, 0, 100, true);
  first.take = [this](const upstream::Fetched& answer) {
    if (answer.status == 200) version_ = 2;
    return answer.status == 200;
  };
  order(std::move(first));
  isFinishing_ = true;
  std::vector<pollfd> none;
  while (!orders_.empty() && neighbour::steadyMs() < untilMs)
    run(none, 10, neighbour::steadyMs());
  isFinishing_ = false;
  for (auto& author : authors_)
    author.base = version_;
  ordered_[version_] = "100";
  return version_ == 2;
}

auto SoakOperators::run(std::vector<pollfd>& fds, int64_t waitMs, int64_t nowMs) -> void {
  if (!isFinishing_) {
    for (size_t author = 0; author < authors_.size(); ++author)
      if (!authors_[author].isBusy && nowMs >= authors_[author].nextMs) change(author, nowMs);
    if (!isPurging_ && nowMs >= nextPurgeMs_) beginPurge(nowMs);
    if (nowMs >= nextReadMs_) read();
  }
  for (auto& [id, order] : orders_)
    if (!order.isUnderWay && nowMs >= order.againMs) send(id, order);
  for (auto& answer : fetcher_.run(fds, waitMs)) {
    auto found = orders_.find(answer.id);
    if (found == orders_.end()) continue;
    if (!isUnclear(answer) && found->second.take(answer)) {
      orders_.erase(found);
      continue;
    }
    found->second.isUnderWay = false;
    found->second.registry = (found->second.registry + 1) % registries_.size();
    found->second.againMs = nowMs + kAgainMs;
  }
}

// Both authors number their changes apart, so that a version names one content.
auto SoakOperators::change(size_t author, int64_t nowMs) -> void {
  auto& own = authors_[author];
  own.isBusy = true;
  own.nextMs = nowMs + props_.changeGapMs;
  if (random_() % 2 == 0) own.base = std::max(own.base, version_);
  auto version = own.base + 2 + (own.base + author) % 2;
  auto targetMs = static_cast<int64_t>(random_() % 900 + 1);
  Order change;
  change.target = "/routing";
  change.body = routingBody(version, own.base, targetMs, random_() % 4 == 0);
  change.take = [this, author, version, targetMs](const upstream::Fetched& answer) {
    auto& mine = authors_[author];
    mine.isBusy = false;
    if (answer.status == 200) {
      ++changes_;
      ordered_[version] = std::to_string(targetMs);
      version_ = std::max(version_, version);
      mine.base = version;
      return true;
    }
    auto current = numberIn(answer.body, "version");
    if (answer.status != 409 || current < 0 || current == static_cast<int64_t>(version))
      faults_.push_back("a change was refused: " + answer.body);
    if (current >= 0) mine.base = std::max(mine.base, static_cast<uint64_t>(current));
    if (mine.base < version_) mine.base = version_;
    return true;
  };
  order(std::move(change));
}

// The objects change at every upstream first; what is purged then must not be seen in an older edition.
auto SoakOperators::beginPurge(int64_t nowMs) -> void {
  isPurging_ = true;
  nextPurgeMs_ = nowMs + props_.purgeGapMs;
  auto edition = ++edition_;
  auto waiting = std::make_shared<size_t>(0);
  for (const auto& name : fleet_.names("origin")) {
    if (fleet_.service(name) != props_.store) continue;
    ++*waiting;
    Order told;
    told.address = fleet_.http(name);
    told.target = "/stand";
    told.body = R"({"edition": )" + std::to_string(edition) + R"(, "labels": "spring"})";
    told.take = [this, waiting, edition](const upstream::Fetched& answer) {
      if (answer.status != 200) faults_.push_back("an upstream's stand-in did not take an edition: " + answer.body);
      if (--*waiting == 0) purge(edition);
      return true;
    };
    order(std::move(told));
  }
}

auto SoakOperators::purge(int64_t edition) -> void {
  auto isLabel = random_() % kLabelShare == 0;
  auto target = "/items/" + std::to_string(random_() % static_cast<uint64_t>(props_.objects));
  std::string host = kHosts[random_() % kHosts.size()];
  Order order;
  order.target = "/purge";
  order.body = R"({"change": "purge-)" + std::to_string(edition) + R"(", )" +
               (isLabel ? R"("label": "spring"})" : R"("host": ")" + host + R"(", "path": ")" + target + R"("})");
  order.take = [this, isLabel, target, edition](const upstream::Fetched& answer) {
    isPurging_ = false;
    if (answer.status != 200) {
      faults_.push_back("a purge was refused: " + answer.body);
      return true;
    }
    ++purges_;
    auto atMs = neighbour::steadyMs();
    if (!isLabel) purged_[target].push_back({atMs, edition});
    for (int64_t i = 0; isLabel && i < props_.objects; ++i)
      purged_["/items/" + std::to_string(i)].push_back({atMs, edition});
    return true;
  };
  if (props_.sendsPurges) return this->order(std::move(order));
  upstream::Fetched acknowledged;
  acknowledged.status = 200;
  order.take(acknowledged);
}

// Any registry may be asked; one that can't be sure of the newest version says so.
auto SoakOperators::read() -> void {
  nextReadMs_ = neighbour::steadyMs() + props_.readGapMs;
  Order order;
  order.method = "GET";
  order.target = "/routing";
  auto owed = version_;
  order.take = [this, owed](const upstream::Fetched& answer) {
    ++reads_;
    auto version = numberIn(answer.body, "version");
    if (answer.status != 200 || version < static_cast<int64_t>(owed))
      faults_.push_back("a registry answered version " + std::to_string(version) + " when " + std::to_string(owed) +
                        " had been acknowledged before it was asked, status " + std::to_string(answer.status));
    return true;
  };
  this->order(std::move(order));
}

auto SoakOperators::owed(const std::string& target, int64_t sentMs) const -> int64_t {
  int64_t edition = 0;
  auto purged = purged_.find(target);
  if (purged == purged_.end()) return edition;
  for (const auto& one : purged->second)
    if (sentMs > one.atMs + kBoundMs) edition = std::max(edition, one.edition);
  return edition;
}

auto SoakOperators::readBack() -> void {
  for (const auto& address : registries_) {
    auto untilMs = neighbour::steadyMs() + kReadBackMs;
    upstream::Fetch fetch;
    fetch.address = address;
    fetch.target = "/routing";
    fetch.timeoutMs = kCallMs;
    auto answer = upstream::fetchOnce(fetch);
    while (isUnclear(answer) && neighbour::steadyMs() < untilMs)
      answer = upstream::fetchOnce(fetch);
    auto version = numberIn(answer.body, "version");
    if (answer.status != 200 || version < static_cast<int64_t>(version_)) {
      faults_.push_back("the registry at " + address + " has version " + std::to_string(version) + " at the end, " +
                        std::to_string(version_) + " was acknowledged");
      continue;
    }
    auto said = ordered_.find(static_cast<uint64_t>(version));
    if (said != ordered_.end() && said->second != std::to_string(targetMsIn(answer.body)))
      faults_.push_back("version " + std::to_string(version) + " at the end is not what was sent under its number");
  }
}

}  // namespace dykestage::sim
