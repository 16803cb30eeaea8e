// Core: how blank registries that are told only a few addresses (seeds) agree on the list of all. A state machine:
// letters and time go in, letters come out, the list is the result.
//
// Everybody tells everybody known whom it has heard directly, and in which life. A list is settled by whoever has
// heard all known say the very same for long enough; it never changes its mind. Two lists would share a seed, which
// told both, the smaller one first; so whoever settled the smaller one is in the larger one, and never told that.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "neighbour/messages.hpp"

namespace dykestage::core {

class Gathering {
 public:
  struct Props {
    std::string address;  // own, as others reach it
    std::vector<std::string> seeds;
    uint64_t life = 0;  // of this process, not 0
    int64_t boundMs = 2000;
    bool mayForm = true;  // else it only takes a list that others have
  };
  struct Sent {
    std::string to;
    neighbour::Gather letter;
  };
  /// Fewer registries than this settle no list: a core survives the loss of one at least.
  static constexpr size_t kLeast = 3;

  /// Example: `Gathering gathering({address, seeds, life, 2000, true}, nowMs);`
  Gathering(Props props, int64_t nowMs);

  /// Takes a letter. Example: `gathering.take(letter.from, told, nowMs);`
  auto take(const std::string& from, neighbour::Gather letter, int64_t nowMs) -> void;
  /// Time passes. Example: `gathering.tick(nowMs);`
  auto tick(int64_t nowMs) -> void;
  /// When time has to pass here at the latest, in ms. Example: `poll(fds, gathering.dueMs() - nowMs)`
  auto dueMs() const -> int64_t { return sentMs_ + props_.boundMs / 40; }
  /// Hands over the letters to send. Example: `for (auto& sent : gathering.output()) ...`
  auto output() -> std::vector<Sent> { return std::exchange(out_, {}); }
  /// The list, sorted, once it is settled; the own address is in it. Example: `if (auto list = gathering.addresses())
  /// ...`
  auto addresses() const -> const std::optional<std::vector<std::string>>& { return settled_; }
  /// Everybody heard of, itself included. Example: `props.contacts = gathering.known();`
  auto known() const -> const std::set<std::string>& { return known_; }
  /// True once a list without the own address was settled elsewhere: it joins that core as a learner.
  /// Example: `if (gathering.isLeftOut()) LOG(WARNING) << ...`
  auto isLeftOut() const -> bool { return isLeftOut_; }

 private:
  auto agree() const -> bool;

  Props props_;
  std::set<std::string> known_;
  std::map<std::string, uint64_t> heard_;             // in which life, itself included
  std::map<std::string, neighbour::Gather> letters_;  // the latest of each other
  std::optional<std::vector<std::string>> settled_;
  bool isLeftOut_ = false;
  int64_t changedMs_, sentMs_;
  std::vector<Sent> out_;
};

}  // namespace dykestage::core
