#include "sim/kept_clients.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "operator/program.hpp"

namespace dykestage::sim {

namespace http = boost::beast::http;

namespace {
constexpr int64_t kReconnectMs = 50;
constexpr size_t kReadBytes = 65536;
constexpr uint64_t kMostBodyBytes = 16u << 20;
constexpr int64_t kApplicationPaths = 50;

// Ways to write the hosts of the soak's routes: all are the same host.
constexpr std::array kStoreHosts = {"shop.test", "Shop.Test", "SHOP.test:80", "shop.test."};
constexpr std::array kApplicationHosts = {"till.test", "TILL.TEST", "till.test:8080"};

auto connecting(const std::string& address) -> disk::Fd {
  auto [ip, port] = op::splitAddress(address);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
  disk::Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int one = 1;
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (::connect(socket.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS)
    return disk::Fd();
  return socket;
}

auto isUp(int socket) -> bool {
  int fault = 0;
  socklen_t size = sizeof fault;
  sockaddr_in peer{};
  socklen_t peerSize = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &fault, &size) == 0 && fault == 0 &&
         ::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &peerSize) == 0;
}

auto hasFailed(int socket) -> bool {
  int fault = 0;
  socklen_t size = sizeof fault;
  return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &fault, &size) != 0 || fault != 0;
}
}  // namespace

KeptClients::KeptClients(Props props) : props_(std::move(props)), random_(props_.seed) {
  for (size_t edge = 0; edge < props_.edges.size(); ++edge)
    for (auto i = 0; i < props_.perEdge; ++i) {
      Client client;
      client.home = client.edge = edge;
      client.nextMs = static_cast<int64_t>(random_() % static_cast<uint64_t>(props_.gapMs + 1));
      clients_.push_back(std::move(client));
    }
}

auto KeptClients::polled() const -> std::vector<pollfd> {
  std::vector<pollfd> fds;
  for (const auto& client : clients_) {
    if (client.socket.get() < 0) continue;
    auto wantsToWrite = !client.isConnected || !client.unwritten.empty();
    fds.push_back({client.socket.get(), static_cast<short>(wantsToWrite ? POLLIN | POLLOUT : POLLIN), 0});
  }
  return fds;
}

auto KeptClients::openRequests() const -> size_t {
  size_t count = 0;
  for (const auto& client : clients_)
    count += client.open.has_value();
  return count;
}

auto KeptClients::step(int64_t nowMs) -> std::vector<EndedAsk> {
  for (auto& client : clients_) {
    if (client.socket.get() < 0) {
      if (!isFinishing_ && nowMs >= client.nextMs) connect(client, nowMs);
      continue;
    }
    if (!client.isConnected) {
      if (hasFailed(client.socket.get())) {
        disconnect(client, nowMs, true);
        continue;
      }
      client.isConnected = isUp(client.socket.get());
      if (!client.isConnected) continue;
    }
    if (!client.open && !isFinishing_ && nowMs >= client.nextMs) ask(client, nowMs);
    auto isAlive = write(client, nowMs);
    isAlive = read(client) && isAlive;
    isAlive = parse(client, nowMs, !isAlive) && isAlive;
    if (!isAlive) {
      disconnect(client, nowMs, false);
    } else if (client.open && nowMs - client.open->sentMs >= props_.giveUpMs) {
      end(client, AskEnd::kSilent, nowMs);
      disconnect(client, nowMs, false);
    }
  }
  return std::exchange(ended_, {});
}

auto KeptClients::connect(Client& client, int64_t nowMs) -> void {
  client.socket = connecting(props_.edges[client.edge].address);
  client.isConnected = false;
  client.parser.reset();
  client.unread.clear();
  client.unwritten.clear();
  if (client.socket.get() < 0) disconnect(client, nowMs, true);
}

// Back to the same edge as long as it listens, else to any other.
auto KeptClients::disconnect(Client& client, int64_t nowMs, bool isRefused) -> void {
  if (client.open) end(client, client.unwritten.empty() ? AskEnd::kCut : AskEnd::kUnsent, nowMs);
  client.socket = disk::Fd();
  client.isConnected = false;
  client.edge = isRefused ? random_() % props_.edges.size() : client.home;
  client.nextMs = nowMs + kReconnectMs;
}

auto KeptClients::ask(Client& client, int64_t nowMs) -> void {
  constexpr auto kKinds = 4;
  auto pick = random_() % kKinds;
  EndedAsk next;
  next.kind = pick < 2 ? AskKind::kObject : pick == 2 ? AskKind::kList : AskKind::kWrite;
  next.edge = props_.edges[client.edge].name;
  next.sentMs = nowMs;
  auto isObject = next.kind == AskKind::kObject;
  auto isWrite = next.kind == AskKind::kWrite;
  auto paths = static_cast<uint64_t>(isObject ? props_.objects : kApplicationPaths);
  next.target = (isObject ? "/items/" : isWrite ? "/buy/" : "/list/") + std::to_string(random_() % paths);
  if (!isObject) next.id = "k" + std::to_string(props_.seed) + "-" + std::to_string(nextId_++);
  std::string host =
      isObject ? kStoreHosts[random_() % kStoreHosts.size()] : kApplicationHosts[random_() % kApplicationHosts.size()];
  auto body = isWrite ? "body of " + next.id : std::string();
  client.unwritten = (isWrite ? "POST " : "GET ") + next.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
  if (!next.id.empty()) client.unwritten += "X-Request-Id: " + next.id + "\r\n";
  if (isWrite) client.unwritten += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  client.unwritten += "\r\n" + body;
  client.open = std::move(next);
}

// False once the connection is no more.
auto KeptClients::write(Client& client, int64_t nowMs) -> bool {
  while (!client.unwritten.empty()) {
    auto size = ::send(client.socket.get(), client.unwritten.data(), client.unwritten.size(), MSG_NOSIGNAL);
    if (size < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    client.unwritten.erase(0, static_cast<size_t>(size));
    if (client.open) client.open->sentMs = nowMs;
  }
  return true;
}

auto KeptClients::read(Client& client) -> bool {
  std::array<char, kReadBytes> buffer{};
  for (;;) {
    auto size = ::recv(client.socket.get(), buffer.data(), buffer.size(), 0);
    if (size == 0) return false;
    if (size < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    client.unread.append(buffer.data(), static_cast<size_t>(size));
  }
}

// Takes what has come of an answer; false when the connection is of no more use. What comes with no request open is
// kept, and makes the next answer one that is not its own.
auto KeptClients::parse(Client& client, int64_t nowMs, bool isOver) -> bool {
  if (!client.open) return true;
  if (!client.parser) {
    client.parser = std::make_unique<Parser>();
    client.parser->body_limit(kMostBodyBytes);
    client.parser->eager(true);
  }
  boost::system::error_code fault;
  if (!client.unread.empty()) {
    auto taken = client.parser->put(boost::asio::buffer(client.unread), fault);
    client.unread.erase(0, taken);
    if (fault == http::error::need_more) fault = {};
  }
  if (isOver && !fault && client.parser->got_some()) client.parser->put_eof(fault);
  if (fault) return false;
  if (!client.parser->is_done()) return true;
  auto message = client.parser->release();
  client.parser.reset();
  client.open->status = static_cast<int>(message.result_int());
  client.open->code = std::string(message["Dykestage-Code"]);
  client.open->hasRetryAfter = message.count(http::field::retry_after) != 0;
  auto isKept = message.keep_alive();
  client.open->body = std::move(message.body());
  end(client, AskEnd::kAnswered, nowMs);
  return isKept;
}

auto KeptClients::end(Client& client, AskEnd how, int64_t nowMs) -> void {
  client.open->end = how;
  client.open->endedMs = nowMs;
  ended_.push_back(std::move(*client.open));
  client.open.reset();
  client.nextMs = nowMs + props_.gapMs / 2 + static_cast<int64_t>(random_() % static_cast<uint64_t>(props_.gapMs + 1));
}

}  // namespace dykestage::sim
