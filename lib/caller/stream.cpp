#include "caller/stream.hpp"

#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "neighbour/post.hpp"

namespace dykestage::caller {

namespace {
// A client that goes on asking and reads nothing is closed after so many answers.
constexpr size_t kMostWaiting = 16;

auto reasonOf(int status) -> const char* {
  switch (status) {
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 206:
      return "Partial Content";
    case 304:
      return "Not Modified";
    default:
      return status < 400 ? "OK" : "Error";
  }
}
}  // namespace

Stream::Stream(int fd, std::shared_ptr<const Limits> limits) : fd_(::dup(fd)), limits_(std::move(limits)) {}

auto Stream::note(const std::string& bytes) -> void {
  (void)!::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

auto Stream::cut() -> void {
  std::lock_guard lock(writes_);
  ::shutdown(fd_.get(), SHUT_RDWR);
  drop();
}

auto Stream::drop() -> void {
  waiting_.clear();
  sent_ = 0;
  pending_.store(0);
}

auto Stream::headOf(const Answer& answer, bool isHead, bool hasBody) -> std::string {
  std::string head;
  head.reserve(512);
  head.append("HTTP/1.1 ")
      .append(std::to_string(answer.status))
      .append(" ")
      .append(reasonOf(answer.status))
      .append("\r\n");
  auto hasLength = false;
  for (const auto& [name, value] : answer.headers) {
    auto isLength = isSameName(name, "content-length");
    if (isLength && !(isHead || answer.status == 304)) continue;
    hasLength = hasLength || isLength;
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (hasBody && !hasLength) head.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n");
  return head;
}

auto Stream::answer(const Answer& answer, const std::string& method, bool keep) -> void {
  std::lock_guard lock(writes_);
  if (!isOpen.load()) return;  // each request has one answer
  keep = keep && !mustClose.load() && !(limits_ && limits_->isDraining.load()) && waiting_.size() < kMostWaiting;
  auto isBare = answer.status == 204 || answer.status == 304 || answer.status < 200;
  auto isHead = method == "HEAD";
  Waiting waiting{headOf(answer, isHead, !isBare), isBare || isHead ? Body() : answer.body};
  // Callers that heed it send nothing in the second in which their stream may end.
  auto keepS = keep && limits_ ? limits_->idleMs.load() / 1000 - 1 : 0;
  toldIdleMs_.store(std::max<int64_t>(0, keepS * 1000));
  if (keepS > 0) waiting.head.append("Keep-Alive: timeout=").append(std::to_string(keepS)).append("\r\n");
  if (!keep) waiting.head.append("Connection: close\r\n");
  waiting.head.append("\r\n");
  if (!keep) mustClose.store(true);
  closesAfter_ = !keep;
  answeredMs_.store(neighbour::steadyMs());  // before the stream counts as idle: the sweep runs on another thread
  isOpen.store(false);                       // the next request may come before the last byte is taken
  if (waiting_.empty()) progress_.start(answeredMs_.load());
  waiting_.push_back(std::move(waiting));
  send();
}

auto Stream::isPaced(size_t bytes) const -> bool {
  return limits_ && limits_->link && limits_->link->isLimited() && !limits_->link->isSmall(bytes);
}

auto Stream::flush() -> bool {
  if (pending_.load() == 0) return true;
  std::lock_guard lock(writes_);
  send();
  return waiting_.empty();
}

// Writes what the socket takes at once of an answer, within the answers' part of the link; -1 when it takes nothing
// now.
auto Stream::sendPiece(const Waiting& piece) -> ssize_t {
  auto wanted = piece.size() - sent_;
  auto hasToPace = isPaced(piece.size());
  auto granted = hasToPace ? limits_->link->grant(wanted, neighbour::steadyMs()) : wanted;
  if (granted == 0) {
    errno = EAGAIN;
    return -1;
  }
  auto headAt = std::min(sent_, piece.head.size());
  auto headBytes = std::min(piece.head.size() - headAt, granted);
  auto bodyAt = sent_ - headAt;
  iovec pieces[2] = {{const_cast<char*>(piece.head.data()) + headAt, headBytes},
                     {const_cast<char*>(piece.body.data()) + bodyAt, granted - headBytes}};
  msghdr message{};
  message.msg_iov = pieces;
  message.msg_iovlen = granted > headBytes ? 2 : 1;
  auto n = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
  auto fault = errno;
  if (hasToPace) limits_->link->restore(granted - static_cast<size_t>(std::max<ssize_t>(n, 0)));
  errno = fault;
  return n;
}

auto Stream::send() -> void {
  size_t movedBytes = 0;
  while (!waiting_.empty()) {
    auto& first = waiting_.front();
    if (sent_ == first.size()) {
      waiting_.pop_front();
      sent_ = 0;
      continue;
    }
    auto n = sendPiece(first);
    if (n > 0) {
      sent_ += static_cast<size_t>(n);
      movedBytes += static_cast<size_t>(n);
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    drop();  // the client is gone
    ::shutdown(fd_.get(), SHUT_RDWR);
  }
  auto nowMs = neighbour::steadyMs();
  if (waiting_.empty()) {
    answeredMs_.store(nowMs);
    if (closesAfter_) end(nowMs);
  } else {
    progress_.add(movedBytes, nowMs);
  }
  size_t pending = 0;
  for (const auto& one : waiting_)
    pending += one.size();
  pending_.store(pending - sent_);
}

auto Stream::holding(int64_t nowMs) -> policy::Holding {
  std::lock_guard lock(writes_);
  return {pending_.load(), progress_.bytesPerS(nowMs), progress_.sinceMs()};
}

auto Stream::isAhead() -> bool {
  std::lock_guard lock(writes_);
  if (isOpen.load()) mustClose.store(true);
  return isOpen.load();
}

auto Stream::close(int64_t nowMs) -> void {
  std::lock_guard lock(writes_);
  if (isOpen.load() || !waiting_.empty()) return;
  mustClose.store(true);
  end(nowMs);
}

auto Stream::end(int64_t nowMs) -> void {
  if (closedMs_.load() >= 0) return;
  ::shutdown(fd_.get(), SHUT_WR);
  closedMs_.store(nowMs);
}

}  // namespace dykestage::caller
