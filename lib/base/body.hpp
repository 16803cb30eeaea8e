// Base: the bytes of a body, held once however many parts of a process refer to them.
#pragma once
#include <algorithm>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

#include "base/memory_account.hpp"

namespace dykestage {

/// Immutable bytes with shared ownership. Copying and slicing copy nothing; the memory, and what was drawn for it, goes
/// back with the last reference. Example: `answer.body = copy->body.slice(first, count);`
class Body {
 public:
  Body() = default;
  Body(std::string bytes) : Body(std::move(bytes), MemoryGrant()) {}
  Body(const char* text) : Body(std::string(text)) {}
  /// `grant` is what was drawn for these bytes.
  Body(std::string bytes, MemoryGrant grant) {
    if (bytes.empty() && grant.bytes() == 0) return;
    held_ = std::make_shared<Held>(Held{std::move(bytes), std::move(grant)});
    view_ = held_->bytes;
  }

  auto view() const -> std::string_view { return view_; }
  auto str() const -> std::string { return std::string(view_); }
  operator std::string_view() const { return view_; }
  operator std::string() const { return str(); }
  auto size() const -> size_t { return view_.size(); }
  auto empty() const -> bool { return view_.empty(); }
  auto data() const -> const char* { return view_.data(); }
  auto back() const -> char { return view_.back(); }
  auto find(std::string_view wanted, size_t from = 0) const -> size_t { return view_.find(wanted, from); }
  auto substr(size_t from, size_t count = std::string_view::npos) const -> std::string {
    return std::string(view_.substr(std::min(from, size()), count));
  }
  auto startsWith(std::string_view start) const -> bool { return view_.starts_with(start); }
  /// A part of it that holds on to the same bytes. Example: `body.slice(100, 20)`
  auto slice(size_t from, size_t count) const -> Body {
    auto part = *this;
    part.view_ = view_.substr(std::min(from, size()), count);
    return part;
  }
  /// Draws for bytes that came from elsewhere; false where there is no room. What was drawn for already is not drawn
  /// for again. Example: `if (!reply.body.draw(account, MemoryUse::kPeers)) return refuse();`
  auto draw(const std::shared_ptr<MemoryAccount>& account, MemoryUse use) -> bool {
    if (!held_ || held_->grant.bytes() > 0) return true;
    MemoryGrant grant(account, use);
    if (!grant.grow(held_->bytes.size())) return false;
    held_->grant = std::move(grant);
    return true;
  }

  auto operator==(std::string_view other) const -> bool { return view_ == other; }
  auto operator==(const char* other) const -> bool { return view_ == other; }
  auto operator==(const std::string& other) const -> bool { return view_ == other; }
  auto operator==(const Body& other) const -> bool { return view_ == other.view_; }
  friend auto operator+(std::string left, const Body& right) -> std::string { return left.append(right.view_); }
  friend auto operator+(const Body& left, const std::string& right) -> std::string { return left.str() + right; }
  friend auto operator<<(std::ostream& out, const Body& body) -> std::ostream& { return out << body.view_; }

  /// Serialized as a string is.
  template <typename Writer>
  auto write(Writer& writer) const -> void {
    writer.putText(view_);
  }
  template <typename Reader>
  auto read(Reader& reader) -> void {
    std::string bytes;
    reader.read(bytes);
    *this = Body(std::move(bytes));
  }

 private:
  struct Held {
    std::string bytes;
    MemoryGrant grant;
  };
  std::shared_ptr<Held> held_;
  std::string_view view_;
};

/// Appends to bytes whose final size is not known, `mostBytes` at most, with few copies of what is there: room that is
/// reserved and not used costs no memory. Example: `appendTo(body, piece, limitBytes);`
inline auto appendTo(std::string& bytes, std::string_view piece, size_t mostBytes) -> void {
  constexpr size_t kLargeBytes = 128 << 10;
  constexpr size_t kGrowth = 8;
  auto wanted = bytes.size() + piece.size();
  if (wanted > bytes.capacity() && wanted > kLargeBytes)
    bytes.reserve(std::max(wanted, std::min(mostBytes, kGrowth * bytes.capacity())));
  bytes.append(piece);
}

}  // namespace dykestage
