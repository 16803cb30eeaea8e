#include "sim/misbehaving_clients.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

#include "neighbour/post.hpp"
#include "operator/program.hpp"

namespace dykestage::sim {

namespace {
constexpr int64_t kStepMs = 5;
constexpr int64_t kStillMs = 500;  // without a byte sent: nobody takes any more
constexpr size_t kStartBytes = 64;
constexpr int kWritesPerStep = 16;

auto connected(const std::string& address) -> disk::Fd {
  auto [ip, port] = op::splitAddress(address);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
  disk::Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (::connect(socket.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS)
    return disk::Fd();
  return socket;
}

auto statusOf(const std::string& start) -> int {
  constexpr size_t kStatusAt = 9;  // behind "HTTP/1.1 "
  auto status = 0;
  if (start.size() >= kStatusAt + 3) std::from_chars(start.data() + kStatusAt, start.data() + kStatusAt + 3, status);
  return status;
}

auto isBlocked() -> bool {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN || errno == EINPROGRESS;
}
}  // namespace

auto chunksOf(size_t chunkBytes, size_t chunks) -> std::string {
  char size[20];
  auto* end = std::to_chars(size, size + sizeof size, chunkBytes, 16).ptr;
  auto chunk = std::string(size, end) + "\r\n" + std::string(chunkBytes, 'x') + "\r\n";
  std::string all;
  all.reserve(chunk.size() * chunks);
  for (size_t i = 0; i < chunks; ++i)
    all += chunk;
  return all;
}

auto MisbehavingClients::add(const Misbehaviour& behaviour) -> void {
  Client client;
  client.behaviour = behaviour;
  client.socket = connected(address_);
  client.isOver = client.socket.get() < 0;
  client.unsent = behaviour.head;
  client.blocksLeft = behaviour.blocks;
  clients_.push_back(std::move(client));
}

auto MisbehavingClients::statuses() const -> std::vector<int> {
  std::vector<int> list;
  for (const auto& client : clients_)
    list.push_back(statusOf(client.start));
  return list;
}

auto MisbehavingClients::again() -> void {
  for (auto& client : clients_) {
    client.blocksLeft = client.behaviour.blocks;
    client.isTailSent = false;
  }
}

auto MisbehavingClients::beginRun(int64_t mostMs) -> int64_t {
  return neighbour::steadyMs() + mostMs;
}

// False once nobody sends any more, or the time is over.
auto MisbehavingClients::step(int64_t untilMs) -> bool {
  auto hasSent = act(kStepMs);
  auto nowMs = neighbour::steadyMs();
  if (hasSent || stillSinceMs_ == 0) stillSinceMs_ = nowMs;
  auto isStill = nowMs - stillSinceMs_ >= kStillMs;
  if (isStill) stillSinceMs_ = 0;
  return !isStill && nowMs < untilMs;
}

auto MisbehavingClients::stepUntil(int64_t untilMs) -> bool {
  act(kStepMs);
  return neighbour::steadyMs() < untilMs;
}

auto MisbehavingClients::hasMore(Client& client) -> bool {
  if (!client.unsent.empty()) return true;
  if (client.blocksLeft > 0) {
    if (client.blocksLeft != Misbehaviour::kEndless) --client.blocksLeft;
    client.unsent = client.behaviour.block;
  } else if (!client.isTailSent) {
    client.isTailSent = true;
    client.unsent = client.behaviour.tail;
  }
  return !client.unsent.empty();
}

auto MisbehavingClients::act(int64_t waitMs) -> bool {
  std::vector<pollfd> fds;
  auto nowMs = neighbour::steadyMs();
  for (auto& client : clients_) {
    short events = 0;
    if (!client.isOver && hasMore(client)) events |= POLLOUT;
    auto mayRead = client.behaviour.readBytes > 0 && nowMs >= client.readMs + client.behaviour.readEveryMs;
    if (!client.isOver && mayRead) events |= POLLIN;
    fds.push_back({events != 0 ? client.socket.get() : -1, events, 0});
  }
  ::poll(fds.data(), fds.size(), static_cast<int>(waitMs));
  auto hasSent = false;
  nowMs = neighbour::steadyMs();
  for (size_t i = 0; i < clients_.size(); ++i) {
    if (fds[i].revents & POLLOUT) hasSent = write(clients_[i]) || hasSent;
    if (fds[i].revents & POLLIN) read(clients_[i], nowMs);
    if (fds[i].revents & (POLLERR | POLLNVAL)) clients_[i].isOver = true;
  }
  return hasSent;
}

auto MisbehavingClients::write(Client& client) -> bool {
  auto hasSent = false;
  for (auto i = 0; i < kWritesPerStep && hasMore(client); ++i) {
    auto n = ::send(client.socket.get(), client.unsent.data(), client.unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0) {
      if (!isBlocked()) client.isOver = true;
      break;
    }
    client.unsent.erase(0, static_cast<size_t>(n));
    hasSent = true;
  }
  return hasSent;
}

auto MisbehavingClients::read(Client& client, int64_t nowMs) -> void {
  client.readMs = nowMs;
  std::string buffer(client.behaviour.readBytes, '\0');
  auto n = ::recv(client.socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (n == 0 || (n < 0 && !isBlocked())) client.isOver = true;
  if (n <= 0 || client.start.size() >= kStartBytes) return;
  client.start.append(buffer, 0, std::min(static_cast<size_t>(n), kStartBytes - client.start.size()));
}

}  // namespace dykestage::sim
