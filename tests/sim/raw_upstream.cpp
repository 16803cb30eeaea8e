#include "sim/raw_upstream.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <stdexcept>

namespace dykestage::sim {

namespace {
constexpr int kBacklog = 64;
constexpr int kPollMs = 20;
constexpr std::chrono::milliseconds kAfterwards{20};

auto send(int number, const std::string& bytes) -> void {
  (void)!::send(number, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}
}  // namespace

RawUpstream::RawUpstream(Handle handle, const std::string& ip)
    : handle_(std::move(handle)), listening_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  socklen_t size = sizeof at;
  if (::bind(listening_.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(listening_.get(), kBacklog) != 0 ||
      ::getsockname(listening_.get(), reinterpret_cast<sockaddr*>(&at), &size) != 0)
    throw std::runtime_error("the fake upstream cannot listen on " + ip);
  address_ = ip + ":" + std::to_string(ntohs(at.sin_port));
  accepting_ = std::thread([this] { accept(); });
}

RawUpstream::~RawUpstream() {
  isOver_ = true;
  ::shutdown(listening_.get(), SHUT_RDWR);
  accepting_.join();
  for (auto& one : serving_)
    one.thread.join();
}

// A thread that has ended keeps its stack until it is joined.
auto RawUpstream::joinEnded() -> void {
  for (auto one = serving_.begin(); one != serving_.end();) {
    if (!one->isOver) {
      ++one;
      continue;
    }
    one->thread.join();
    one = serving_.erase(one);
  }
}

auto RawUpstream::accept() -> void {
  for (;;) {
    auto number = ::accept4(listening_.get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (number < 0) return;
    joinEnded();
    auto& serving = serving_.emplace_back();
    serving.thread = std::thread([this, number, connection = ++connections, &serving] {
      serve(number, connection);
      serving.isOver = true;
    });
  }
}

auto RawUpstream::serve(int number, int connection) -> void {
  disk::Fd fd(number);
  std::string read;
  for (auto request = 0; !isOver_;) {
    pollfd ready{number, POLLIN, 0};
    if (::poll(&ready, 1, kPollMs) == 0) continue;
    char buffer[4096];
    auto count = ::recv(number, buffer, sizeof buffer, 0);
    if (count <= 0) break;
    read.append(buffer, static_cast<size_t>(count));
    if (!answerAll(number, connection, request, read)) return;
  }
  ++closed;
}

// Answers whatever has come whole; false when the connection is to end.
auto RawUpstream::answerAll(int number, int connection, int& request, std::string& read) -> bool {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  for (auto end = read.find(kHeadEnd); end != std::string::npos; end = read.find(kHeadEnd)) {
    auto bytes = handle_(connection, ++request, read.substr(0, end + 2));
    read.erase(0, end + kHeadEnd.size());
    if (bytes == "close") return false;
    send(number, bytes);
    if (closesAfterAnswer) return false;
    if (!afterwards) continue;
    std::this_thread::sleep_for(kAfterwards);
    send(number, afterwards(connection));
  }
  return true;
}

}  // namespace dykestage::sim
