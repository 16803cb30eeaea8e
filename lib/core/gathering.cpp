#include "core/gathering.hpp"

#include <algorithm>

namespace dykestage::core {

Gathering::Gathering(Props props, int64_t nowMs)
    : props_(std::move(props)),
      known_(props_.seeds.begin(), props_.seeds.end()),
      changedMs_(nowMs),
      sentMs_(nowMs - props_.boundMs) {
  known_.insert(props_.address);
  heard_[props_.address] = props_.life;
}

auto Gathering::take(const std::string& from, neighbour::Gather letter, int64_t nowMs) -> void {
  if (settled_ || from == props_.address) return;
  if (letter.isDone) {
    auto& list = letter.addresses;
    if (std::find(list.begin(), list.end(), props_.address) != list.end())
      settled_ = std::move(list);
    else
      isLeftOut_ = true;
    return;
  }
  auto before = known_.size();
  known_.insert(from);
  for (const auto& [address, life] : letter.heard)
    known_.insert(address);
  if (std::exchange(heard_[from], letter.life) != letter.life || known_.size() != before) changedMs_ = nowMs;
  letters_[from] = std::move(letter);
}

// Everybody known was heard and told the very same, and all seeds are as blank as this one.
auto Gathering::agree() const -> bool {
  if (known_.size() < kLeast || heard_.size() != known_.size()) return false;
  auto isSame =
      std::all_of(letters_.begin(), letters_.end(), [&](const auto& one) { return one.second.heard == heard_; });
  return isSame && std::all_of(props_.seeds.begin(), props_.seeds.end(),
                               [&](const auto& seed) { return seed == props_.address || letters_.at(seed).mayForm; });
}

auto Gathering::tick(int64_t nowMs) -> void {
  if (!settled_ && !isLeftOut_ && props_.mayForm && nowMs - changedMs_ >= props_.boundMs / 2 && agree())
    settled_.emplace(known_.begin(), known_.end());
  if (settled_ || nowMs < dueMs()) return;
  sentMs_ = nowMs;
  for (const auto& address : known_)
    if (address != props_.address) out_.push_back({address, {props_.life, heard_, props_.mayForm, false, {}}});
}

}  // namespace dykestage::core
