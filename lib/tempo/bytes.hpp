// Bytes: the one way in which dykestage writes values into bytes and reads them back.
#pragma once
#include <bit>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace dykestage {

/// Appends values to a byte string, little end first.
/// Example: `Writer w; w.put(uint32_t{7}).put(std::string("x")); send(w.take());`
class Writer {
 public:
  template <std::integral T>
  auto put(T value) -> Writer& {
    for (size_t i = 0; i < sizeof(T); ++i)
      out_.push_back(static_cast<char>(static_cast<uint64_t>(value) >> (8 * i)));
    return *this;
  }
  auto put(double value) -> Writer& { return put(std::bit_cast<uint64_t>(value)); }
  template <typename T>
  requires std::is_enum_v<T>
  auto put(T value) -> Writer& { return put(static_cast<std::underlying_type_t<T>>(value)); }
  template <typename T>
  auto put(const std::optional<T>& maybe) -> Writer& {
    put(maybe.has_value());
    return maybe ? put(*maybe) : *this;
  }
  auto put(const std::string& text) -> Writer& { return putText(text); }
  /// The same for text that is held elsewhere. Example: `w.putText(body.view());`
  auto putText(std::string_view text) -> Writer& {
    put(static_cast<uint32_t>(text.size()));
    out_ += text;
    return *this;
  }
  template <typename T>
  auto put(const std::vector<T>& list) -> Writer& {
    put(static_cast<uint32_t>(list.size()));
    for (const auto& one : list)
      put(one);
    return *this;
  }
  template <typename K, typename V>
  auto put(const std::map<K, V>& map) -> Writer& {
    put(static_cast<uint32_t>(map.size()));
    for (const auto& [key, value] : map)
      put(key).put(value);
    return *this;
  }
  template <typename A, typename B>
  auto put(const std::pair<A, B>& pair) -> Writer& {
    return put(pair.first).put(pair.second);
  }
  template <typename T>
  requires requires(const T& t, Writer& w) { t.write(w); }
  auto put(const T& value) -> Writer& {
    value.write(*this);
    return *this;
  }
  /// Hands over what was written. Example: `auto bytes = w.take();`
  auto take() -> std::string { return std::move(out_); }
  /// Bytes so far. Example: `if (w.size() > limit) ...`
  auto size() const -> size_t { return out_.size(); }

 private:
  std::string out_;
};

/// Reads what a Writer wrote; a short or damaged input makes `ok()` false, never a fault.
/// Example: `Reader r(bytes); auto n = r.get<uint32_t>(); if (!r.ok()) return std::nullopt;`
class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  template <typename T>
  auto get() -> T {
    T value{};
    read(value);
    return value;
  }
  template <std::integral T>
  auto read(T& value) -> void {
    uint64_t sum = 0;
    if (!has(sizeof(T))) return;
    for (size_t i = 0; i < sizeof(T); ++i)
      sum |= static_cast<uint64_t>(static_cast<uint8_t>(in_[at_ + i])) << (8 * i);
    at_ += sizeof(T);
    value = static_cast<T>(sum);
  }
  auto read(double& value) -> void { value = std::bit_cast<double>(get<uint64_t>()); }
  template <typename T>
  requires std::is_enum_v<T>
  auto read(T& value) -> void { value = static_cast<T>(get<std::underlying_type_t<T>>()); }
  template <typename T>
  auto read(std::optional<T>& maybe) -> void {
    maybe.reset();
    if (get<bool>()) read(maybe.emplace());
  }
  auto read(std::string& text) -> void {
    auto size = get<uint32_t>();
    if (!has(size)) return;
    text.assign(in_.substr(at_, size));
    at_ += size;
  }
  template <typename T>
  auto read(std::vector<T>& list) -> void {
    auto size = get<uint32_t>();
    list.clear();
    for (uint32_t i = 0; i < size && ok_; ++i) {
      T one{};
      read(one);
      list.push_back(std::move(one));
    }
  }
  template <typename K, typename V>
  auto read(std::map<K, V>& map) -> void {
    auto size = get<uint32_t>();
    map.clear();
    for (uint32_t i = 0; i < size && ok_; ++i) {
      K key{};
      read(key);
      read(map[key]);
    }
  }
  template <typename A, typename B>
  auto read(std::pair<A, B>& pair) -> void {
    read(pair.first);
    read(pair.second);
  }
  template <typename T>
  requires requires(T& t, Reader& r) { t.read(r); }
  auto read(T& value) -> void { value.read(*this); }
  /// True while everything asked for was there. Example: `if (!r.ok()) return turnAway();`
  auto ok() const -> bool { return ok_; }
  /// True when all bytes are used up. Example: `CHECK(r.done());`
  auto done() const -> bool { return ok_ && at_ == in_.size(); }

 private:
  auto has(size_t size) -> bool {
    if (in_.size() - at_ < size) ok_ = false;
    return ok_;
  }
  std::string_view in_;
  size_t at_ = 0;
  bool ok_ = true;
};

/// Declares `write` and `read` for a struct by listing its fields once.
/// Example: `struct Pair { int a, b; DYKESTAGE_FIELDS(a, b) };`
#define DYKESTAGE_FIELDS(...)                                \
  auto write(::dykestage::Writer& w) const->void {           \
    [&](const auto&... f) { (w.put(f), ...); }(__VA_ARGS__); \
  }                                                          \
  auto read(::dykestage::Reader& r)->void {                  \
    [&](auto&... f) { (r.read(f), ...); }(__VA_ARGS__);      \
  }

}  // namespace dykestage
