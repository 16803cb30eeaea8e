// Sim: a fake upstream whose answers are raw bytes, so that they may break any rule of HTTP.
#pragma once
#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>

#include "disk/ring.hpp"

namespace dykestage::sim {

/// Answers each request on each connection as a function says; the bytes go out as they are. It reads heads only.
/// Example: `RawUpstream upstream([](int, int, const std::string&) { return "HTTP/1.1 000 \r\n\r\n"; });`
class RawUpstream {
 public:
  /// Connections and the requests of one count from 1. "close" as the answer closes the connection without one.
  using Handle = std::function<std::string(int connection, int request, const std::string& head)>;
  /// Listens on a free port of `ip`; throws std::runtime_error where that is not possible.
  explicit RawUpstream(Handle handle, const std::string& ip = "127.0.0.1");
  ~RawUpstream();
  RawUpstream(const RawUpstream&) = delete;
  auto operator=(const RawUpstream&) -> RawUpstream& = delete;
  /// Where it listens, as ip:port.
  auto at() const -> const std::string& { return address_; }

  std::function<std::string(int connection)> afterwards;  // sent a moment after an answer
  std::atomic<bool> closesAfterAnswer{false};
  std::atomic<int> connections{0}, closed{0};  // accepted so far; closed by the other end so far

 private:
  struct Serving {  // a connection's thread
    std::atomic<bool> isOver{false};
    std::thread thread;
  };
  auto accept() -> void;
  auto joinEnded() -> void;
  auto serve(int number, int connection) -> void;
  auto answerAll(int number, int connection, int& request, std::string& read) -> bool;

  Handle handle_;
  disk::Fd listening_;
  std::string address_;
  std::atomic<bool> isOver_{false};
  std::list<Serving> serving_;
  std::thread accepting_;
};

}  // namespace dykestage::sim
