// Operator: how operators and upstreams speak to a registry. The product's own way passes through; another front
// translates.
#pragma once
#include <string>
#include <utility>
#include <variant>

#include "caller/face.hpp"

namespace dykestage::op {

class Door {
 public:
  /// An answer given at once, or the product's own request; its `token` comes back with its answer.
  using Entered = std::variant<caller::Answer, caller::Request>;
  virtual ~Door() = default;
  /// A request comes in. Example: `auto entered = door.enter(std::move(request));`
  virtual auto enter(caller::Request request) -> Entered { return request; }
  /// An answer goes out. Example: `stream->answer(door.leave(token, answer), method, keep);`
  virtual auto leave(const std::string& token, caller::Answer answer) -> caller::Answer {
    (void)token;
    return answer;
  }
};

}  // namespace dykestage::op
