#include "sim/fleet.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <deque>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "neighbour/post.hpp"
#include "upstream/fetcher.hpp"

namespace dykestage::sim {

namespace {
auto nowUs() -> int64_t {
  return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

auto socketAt(const std::string& address, sockaddr_in& at) -> int {
  auto [ip, port] = op::splitAddress(address);
  at = {};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}
}  // namespace

Links::~Links() {
  isStopping_ = true;
  if (thread_.joinable()) thread_.join();
  for (auto& l : listeners_)
    ::close(l.fd);
}

auto Links::open(const std::string& advertised, const std::string& real) -> void {
  sockaddr_in at{};
  auto fd = socketAt(advertised, at);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0)
    throw std::runtime_error("links: cannot listen on " + advertised);
  listeners_.push_back({fd, op::splitAddress(advertised).first, real});
}

auto Links::delay(const std::string& from, const std::string& to, int64_t us) -> void {
  delays_[{from, to}] = us;
}
auto Links::run() -> void {
  thread_ = std::thread([this] { loop(); });
}

auto Links::cut(const std::string& from, const std::string& to, bool isCut) -> void {
  std::lock_guard guard(mutex_);
  if (isCut)
    cuts_.insert({from, to});
  else
    cuts_.erase({from, to});
}

auto Links::loop() -> void {
  struct Way {  // one direction of a passed stream
    std::deque<std::pair<int64_t, std::string>> waiting;
    size_t bytes = 0;
    bool isEnded = false;
  };
  struct Stream {
    int fds[2] = {-1, -1};
    std::string machines[2];
    Way ways[2];  // ways[i]: bytes read from fds[i], on their way to fds[1-i]
    bool isOver = false;
  };
  std::vector<std::unique_ptr<Stream>> streams;
  while (!isStopping_) {
    std::set<std::pair<std::string, std::string>> cuts;
    {
      std::lock_guard guard(mutex_);
      cuts = cuts_;
    }
    std::vector<pollfd> fds;
    for (auto& l : listeners_)
      fds.push_back({l.fd, POLLIN, 0});
    auto now = nowUs();
    auto waitUs = int64_t{5000};
    for (auto& s : streams)
      for (auto i = 0; i < 2; ++i) {
        short events = 0;
        auto isCut = cuts.count({s->machines[i], s->machines[1 - i]}) != 0;
        if (!s->ways[i].isEnded && s->ways[i].bytes < (4u << 20) && !isCut) events |= POLLIN;
        const auto& back = s->ways[1 - i];
        if (!back.waiting.empty() && !cuts.count({s->machines[1 - i], s->machines[i]})) {
          if (back.waiting.front().first <= now)
            events |= POLLOUT;
          else
            waitUs = std::min(waitUs, back.waiting.front().first - now);
        }
        fds.push_back({s->fds[i], events, 0});
      }
    timespec wait{0, waitUs * 1000};
    ::ppoll(fds.data(), fds.size(), &wait, nullptr);
    now = nowUs();
    auto at = listeners_.size();
    for (auto& s : streams) {
      for (auto i = 0; i < 2; ++i) {
        auto events = fds[at + static_cast<size_t>(i)].revents;
        auto& way = s->ways[i];
        if (events & POLLIN) {
          char buffer[65536];
          auto n = ::read(s->fds[i], buffer, sizeof buffer);
          if (n > 0) {
            auto found = delays_.find({s->machines[i], s->machines[1 - i]});
            way.waiting.emplace_back(now + (found == delays_.end() ? 0 : found->second),
                                     std::string(buffer, static_cast<size_t>(n)));
            way.bytes += static_cast<size_t>(n);
          } else if (n == 0 || errno != EAGAIN) {
            way.isEnded = true;
          }
        }
        if (events & (POLLERR | POLLNVAL)) s->isOver = true;
      }
      for (auto i = 0; i < 2; ++i) {
        auto& way = s->ways[i];
        if (cuts.count({s->machines[i], s->machines[1 - i]})) continue;
        while (!way.waiting.empty() && way.waiting.front().first <= now) {
          auto& bytes = way.waiting.front().second;
          auto n = ::send(s->fds[1 - i], bytes.data(), bytes.size(), MSG_NOSIGNAL);
          if (n < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN && errno != EINPROGRESS) s->isOver = true;
            break;
          }
          way.bytes -= static_cast<size_t>(n);
          if (static_cast<size_t>(n) == bytes.size())
            way.waiting.pop_front();
          else
            bytes.erase(0, static_cast<size_t>(n));
        }
        if (way.isEnded && way.waiting.empty()) s->isOver = true;
      }
      at += 2;
    }
    for (size_t i = 0; i < listeners_.size(); ++i) {
      if (!(fds[i].revents & POLLIN)) continue;
      sockaddr_in from{};
      socklen_t size = sizeof from;
      auto fd = ::accept4(listeners_[i].fd, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) continue;
      int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      char ip[INET_ADDRSTRLEN];
      ::inet_ntop(AF_INET, &from.sin_addr, ip, sizeof ip);
      sockaddr_in to{};
      auto other = socketAt(listeners_[i].real, to);
      if (::connect(other, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        ::close(other);
        continue;
      }
      auto s = std::make_unique<Stream>();
      s->fds[0] = fd, s->fds[1] = other;
      s->machines[0] = ip, s->machines[1] = listeners_[i].machine;
      streams.push_back(std::move(s));
    }
    std::erase_if(streams, [](auto& s) {
      if (!s->isOver) return false;
      ::close(s->fds[0]);
      ::close(s->fds[1]);
      return true;
    });
  }
  for (auto& s : streams)
    ::close(s->fds[0]), ::close(s->fds[1]);
}

auto Fleet::take(op::Program& program) -> Props {
  Props props;
  auto& s = program.settings();
  int64_t registries = props.registries, shields = props.shields, edges = props.edges;
  props.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
  s.text("programs", props.programs);
  s.text("folder", props.folder, true);
  s.texts("sites", props.sites);
  if (props.sites.empty()) s.fault("sites", "must name at least one site");
  s.integer("linkUs", 0, 1000000, props.linkUs);
  s.integer("registries", 3, 9, registries);
  s.integer("shields", 1, 20, shields);
  s.integer("edges", 1, 50, edges);
  s.integer("boundMs", 400, 60000, props.boundMs);
  s.integer("port", 0, 60000, props.port);
  props.registries = static_cast<int>(registries), props.shields = static_cast<int>(shields),
  props.edges = static_cast<int>(edges);
  if (const auto* list = s.raw("upstreams"); cJSON_IsArray(list)) {
    for (const auto* item = list->child; item; item = item->next) {
      Upstream u;
      std::vector<op::Fault> faults;
      op::Fields f(item, "upstreams", faults);
      int64_t count = 1;
      f.text("service", u.service, true);
      f.text("kind", u.kind, true);
      f.integer("count", 1, 100, count);
      f.integer("capacity", 1, 100000, u.capacity);
      f.integer("delayMs", 0, 60000, u.delayMs);
      f.integer("bytes", 0, 64 << 20, u.bytes);
      f.close();
      for (const auto& fault : faults)
        s.fault(fault.place, fault.what);
      u.count = static_cast<int>(count);
      props.upstreams.push_back(u);
    }
  } else {
    s.fault("upstreams", "must be a list");
  }
  return props;
}

Fleet::Fleet(Props props) : props_(std::move(props)) {
  std::filesystem::create_directories(props_.folder);
  if (props_.port == 0) props_.port = freePort();
  auto text = [](const std::string& value) { return "\"" + value + "\""; };
  auto at = [&](const std::string& ip, int64_t offset) { return ip + ":" + std::to_string(props_.port + offset); };
  auto list = [&](const std::vector<std::string>& values) {
    std::string joined;
    for (const auto& v : values)
      joined += (joined.empty() ? "" : ",") + text(v);
    return "[" + joined + "]";
  };
  // Each process has a machine, that is a loopback IP number: 127.kind.site.index. Its real port is one above
  // the advertised one, where a forwarder of the fleet listens.
  auto place = [&](int kind, int index) {
    auto site = index % static_cast<int>(props_.sites.size());
    return std::pair{props_.sites[static_cast<size_t>(site)],
                     "127." + std::to_string(kind) + "." + std::to_string(site + 1) + "." + std::to_string(index + 1)};
  };
  std::vector<std::string> registries, https;
  for (auto i = 0; i < props_.registries; ++i) {
    auto ip = place(10, i).second;
    registries.push_back(at(ip, 0));
    https.push_back(at(ip, 2));
  }
  auto common = ",\"boundMs\":" + std::to_string(props_.boundMs);
  std::vector<std::pair<std::string, std::string>> machines;  // ip, site
  for (auto i = 0; i < props_.registries; ++i) {
    auto [site, ip] = place(10, i);
    auto name = "registry-" + std::to_string(i + 1);
    machines.emplace_back(ip, site);
    links_.open(at(ip, 0), at(ip, 1));
    add({"registry", name, site, ip, at(ip, 2), "", "", -1},
        "{\"name\":" + text(name) + ",\"slot\":" + std::to_string(i + 1) + ",\"registries\":" + list(registries) +
            ",\"listen\":" + text(at(ip, 1)) + ",\"http\":" + text(at(ip, 2)) +
            ",\"data\":" + text(props_.folder + "/" + name) + common + props_.registryExtra + "}");
  }
  std::vector<std::string> seeds(registries.begin(), registries.begin() + 3);
  auto addProxy = [&](const std::string& kind, int number, int index, const std::string& extra) {
    auto [site, ip] = place(number, index);
    auto name = kind + "-" + std::to_string(index + 1);
    machines.emplace_back(ip, site);
    links_.open(at(ip, 0), at(ip, 1));
    links_.open(at(ip, 4), at(ip, 5));
    add({"agent", "agent-" + name, site, ip, "", "", "", -1},
        "{\"name\":" + text(name) + ",\"address\":" + text(at(ip, 4)) + ",\"listen\":" + text(at(ip, 5)) +
            ",\"loopback\":" + text(at(ip, 6)) + ",\"status\":" + text(at(ip, 7)) + ",\"seeds\":" + list(seeds) +
            common + "}");
    add({kind, name, site, ip, kind == "edge" ? at(ip, 2) : "", "", "", -1},
        "{\"name\":" + text(name) + ",\"site\":" + text(site) + (kind == "edge" ? ",\"http\":" + text(at(ip, 2)) : "") +
            ",\"status\":" + text(at(ip, 3)) + ",\"address\":" + text(at(ip, 0)) + ",\"listen\":" + text(at(ip, 1)) +
            ",\"agent\":" + text(at(ip, 6)) + common + extra + "}");
  };
  for (auto i = 0; i < props_.shields; ++i)
    addProxy("shield", 20, i, props_.shieldExtra);
  for (auto i = 0; i < props_.edges; ++i)
    addProxy("edge", 30, i, props_.edgeExtra);
  auto number = 0;
  for (const auto& u : props_.upstreams)
    for (auto i = 0; i < u.count; ++i, ++number) {
      auto [site, ip] = place(40, number);
      auto name = "origin-" + u.service + "-" + u.kind + "-" + std::to_string(i + 1);
      add({"origin", name, site, ip, at(ip, 2), u.service, "", -1},
          "{\"instance\":" + text(name) + ",\"service\":" + text(u.service) + ",\"kind\":" + text(u.kind) +
              ",\"site\":" + text(site) + ",\"http\":" + text(at(ip, 2)) + ",\"registries\":" + list(https) +
              ",\"capacity\":" + std::to_string(u.capacity) + ",\"delayMs\":" + std::to_string(u.delayMs) +
              ",\"bytes\":" + std::to_string(u.bytes) + ",\"seed\":" + std::to_string(number + 1) +
              ",\"account\":" + text(account(name)) + props_.originExtra + "}");
    }
  for (const auto& [a, siteA] : machines)
    for (const auto& [b, siteB] : machines)
      if (siteA != siteB) links_.delay(a, b, props_.linkUs);
  links_.run();
}

auto Fleet::freePort() -> int64_t {
  // Below the range from which the system itself gives ports to outgoing streams.
  for (int64_t attempt = 0; attempt < 500; ++attempt) {
    auto base = 11000 + (static_cast<int64_t>(::getpid()) * 7 + attempt * 13) % 2000 * 10;
    auto isFree = true;
    for (auto offset = 0; offset < 10 && isFree; ++offset) {
      sockaddr_in at{};
      auto fd = socketAt("127.10.1.1:" + std::to_string(base + offset), at);
      isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && ::listen(fd, 1) == 0;
      ::close(fd);
    }
    if (isFree) return base;
  }
  throw std::runtime_error("fleet: no free ports");
}

auto Fleet::add(Node node, const std::string& settings) -> void {
  node.settings = props_.folder + "/" + node.name + ".json";
  std::ofstream(node.settings) << settings << "\n";
  order_.push_back(node.name);
  nodes_[node.name] = std::move(node);
}

Fleet::~Fleet() {
  for (auto& [name, node] : nodes_)
    if (node.pid > 0) ::kill(node.pid, SIGKILL);
  for (auto& [name, node] : nodes_)
    if (node.pid > 0) ::waitpid(node.pid, nullptr, 0);
}

auto Fleet::startAll() -> void {
  for (const auto& name : order_)
    start(name);
}

auto Fleet::start(const std::string& name) -> void {
  auto& node = nodes_.at(name);
  if (node.pid > 0) return;
  auto program = props_.programs + "/" + node.kind;
  auto settings = "--settings=" + node.settings;
  auto log = props_.folder + "/" + name + ".log";
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
  char* argv[] = {program.data(), settings.data(), nullptr};
  std::vector<std::string> more;
  if (props_.hasMishaps && node.kind != "origin")
    more = {"LD_PRELOAD=" + props_.programs + "/libmishap.so",
            "DYKESTAGE_MISHAP=" + props_.folder + "/" + name + ".mishap",
            "DYKESTAGE_MISHAP_DATA=" + props_.folder + "/" + name};
  std::vector<char*> environment;
  for (auto** one = environ; *one; ++one)
    environment.push_back(*one);
  for (auto& one : more)
    environment.push_back(one.data());
  environment.push_back(nullptr);
  if (::posix_spawn(&node.pid, program.c_str(), &actions, nullptr, argv, environment.data()) != 0) node.pid = -1;
  ::posix_spawn_file_actions_destroy(&actions);
  if (node.pid < 0) throw std::runtime_error("fleet: cannot start " + program);
}

auto Fleet::signal(const std::string& name, int signal) -> void {
  auto& node = nodes_.at(name);
  if (node.pid > 0) ::kill(node.pid, signal);
}

auto Fleet::kill(const std::string& name, int signal) -> void {
  auto& node = nodes_.at(name);
  if (node.pid <= 0) return;
  ::kill(node.pid, signal);
  ::waitpid(node.pid, nullptr, 0);
  node.pid = -1;
}

auto Fleet::isRunning(const std::string& name) -> bool {
  auto& node = nodes_.at(name);
  if (node.pid <= 0) return false;
  if (::waitpid(node.pid, nullptr, WNOHANG) == 0) return true;
  node.pid = -1;
  return false;
}

auto Fleet::catches(const std::string& name, int signal) const -> bool {
  std::ifstream status("/proc/" + std::to_string(nodes_.at(name).pid) + "/status");
  for (std::string key, value; status >> key && std::getline(status, value);)
    if (key == "SigCgt:") return ((std::stoull(value, nullptr, 16) >> (signal - 1)) & 1) != 0;
  return false;
}

auto Fleet::mishap(const std::string& name, const std::string& orders) const -> void {
  auto path = props_.folder + "/" + name + ".mishap";
  std::ofstream(path + ".new") << orders;
  std::filesystem::rename(path + ".new", path);
}

auto Fleet::wipe(const std::string& name) const -> void {
  std::filesystem::remove_all(props_.folder + "/" + name);
}

auto Fleet::status(const std::string& name) const -> std::string {
  const auto& node = nodes_.at(name);
  return node.kind == "registry" ? node.http : node.ip + ":" + std::to_string(props_.port + 3);
}

auto Fleet::names(const std::string& kind) const -> std::vector<std::string> {
  std::vector<std::string> list;
  for (const auto& name : order_)
    if (nodes_.at(name).kind == kind) list.push_back(name);
  return list;
}

auto Fleet::https(const std::string& kind) const -> std::vector<std::string> {
  std::vector<std::string> list;
  for (const auto& name : names(kind))
    list.push_back(nodes_.at(name).http);
  return list;
}

auto Fleet::account(const std::string& name) const -> std::string {
  return props_.folder + "/" + name + ".account";
}

auto Fleet::awaitReady(int64_t mostMs) -> bool {
  auto untilMs = neighbour::steadyMs() + mostMs;
  std::vector<std::string> waiting;
  for (const auto& [name, node] : nodes_) {
    if (node.pid <= 0) continue;
    if (node.kind == "registry" || node.kind == "edge" || node.kind == "shield") waiting.push_back(status(name));
  }
  while (!waiting.empty() && neighbour::steadyMs() < untilMs) {
    std::erase_if(waiting, [](const auto& address) {
      upstream::Fetch fetch;
      fetch.address = address;
      fetch.target = "/ready";
      fetch.timeoutMs = 500;
      auto answer = upstream::fetchOnce(fetch);
      return answer.fault == upstream::Fault::kNone && answer.status == 200;
    });
    if (!waiting.empty()) ::usleep(50000);
  }
  return waiting.empty();
}

}  // namespace dykestage::sim
