// Policy: small policies in Lua, chosen per path. A script can refuse a request or shorten its keep time; it
// can't do anything else, and never for long.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace dykestage::policy {

/// What a script says of a request.
struct Ruling {
  bool isRefused = false;
  std::optional<int64_t> keepMs;
};

/// A compiled script. It defines `decide(request)`, where request has method, host and target, and returns nil,
/// or a table with `refuse = true` or `keepMs = n`. It may use string.sub/len/lower/upper/byte, math, and
/// has(text, part), starts(text, head): nothing whose time or memory can't be bounded.
/// Example:
///   std::string reason;
///   auto script = Script::compile("function decide(r) return {keepMs = 0} end", reason);
///   auto ruling = script->run("GET", "shop.test", "/a", reason);
class Script {
 public:
  static constexpr int kInstructions = 20000;
  static constexpr size_t kBytes = 256u << 10;
  static constexpr size_t kTextBytes = 4096;

  /// Nothing when the text is no script that defines decide, with the reason.
  static auto compile(const std::string& text, std::string& reason) -> std::optional<Script>;
  /// Nothing when the script fails, runs too long or wants too much memory; the caller goes on without it.
  auto run(const std::string& method, const std::string& host, const std::string& target, std::string& reason)
      -> std::optional<Ruling>;

 private:
  struct State;
  struct Close {
    auto operator()(State* state) const -> void;
  };
  std::unique_ptr<State, Close> state_;
};

}  // namespace dykestage::policy
