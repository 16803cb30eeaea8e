#include "neighbour/post.hpp"

#include <glog/logging.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>
#include <chrono>

namespace dykestage::neighbour {

namespace {
constexpr int64_t kIdleMs = 60000;
constexpr int64_t kRedialMs = 100, kMostRedialMs = 800;
constexpr int64_t kHeardRedialMs = 400;  // to a peer that speaks: over a congested link its line takes a while
}  // namespace

auto Post::open(Props props, std::function<void(Letter)> take, std::string& reason) -> std::unique_ptr<Post> {
  std::unique_ptr<Post> post(new Post(std::move(props)));
  post->take_ = std::move(take);
  auto fail = [&](const char* what, int code) {
    reason = std::string(what) + " " + post->props_.address + ": " + nng_strerror(code);
    return nullptr;
  };
  if (auto code = nng_pull0_open(&post->pull_)) return fail("cannot open", code);
  nng_socket_set_size(post->pull_, NNG_OPT_RECVMAXSZ, post->props_.maxBytes);
  nng_socket_set_int(post->pull_, NNG_OPT_RECVBUF, 1024);
  nng_listener listener;
  if (auto code = nng_listen(post->pull_, ("tcp://" + post->props_.address).c_str(), &listener, 0))
    return fail("cannot listen on", code);
  if (post->props_.address.ends_with(":0")) {
    nng_sockaddr at;
    if (auto code = nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &at))
      return fail("cannot learn the port of", code);
    auto port = at.s_in.sa_port;  // network order
    post->props_.address = post->props_.address.substr(0, post->props_.address.size() - 1) +
                           std::to_string((port >> 8 | port << 8) & 0xffff);
  }
  if (post->props_.advertise.empty()) post->props_.advertise = post->props_.address;
  auto* self = post.get();
  post->reader_ = std::thread([self] {
    for (;;) {
      nng_msg* raw = nullptr;
      if (nng_recvmsg(self->pull_, &raw, 0) != 0) return;
      std::unique_ptr<nng_msg, decltype(&nng_msg_free)> message(raw, nng_msg_free);
      Reader r({static_cast<const char*>(nng_msg_body(raw)), nng_msg_len(raw)});
      auto version = r.get<uint16_t>();
      if (version != kWireVersion) {
        if (self->strangers_.insert(version).second)
          LOG(WARNING) << "post: Letters of wire version " << version << " are turned away; this process speaks "
                       << kWireVersion << ".";
        continue;
      }
      auto letter = r.get<Letter>();
      if (r.done()) self->take_(std::move(letter));
    }
  });
  return post;
}

Post::~Post() {
  lines_.clear();
  nng_close(pull_);
  if (reader_.joinable()) reader_.join();
}

auto Post::line(const std::string& to) -> Line* {
  auto& held = lines_[to];
  auto nowMs = props_.nowMs();
  auto redialMs = kRedialMs;
  if (held && silence_.isSilent(to, nowMs)) {
    silence_.forget(to);
    held.reset();
  }
  if (held && held->pipes > 0) held->redialMs = kRedialMs, held->dialedMs = nowMs;
  if (held && held->pipes <= 0 && nowMs - held->dialedMs >= held->redialMs) {
    redialMs = std::min(2 * held->redialMs, kMostRedialMs);
    held.reset();
  }
  if (!held) held = dial(to, redialMs);
  if (held) held->usedMs = nowMs;
  return held.get();
}

auto Post::dial(const std::string& to, int64_t redialMs) const -> std::unique_ptr<Line> {
  auto made = std::make_unique<Line>();
  if (nng_push0_open(&made->socket) != 0) return nullptr;
  nng_socket_set_int(made->socket, NNG_OPT_SENDBUF, props_.queued);
  nng_socket_set_ms(made->socket, NNG_OPT_RECONNMINT, 50);
  nng_socket_set_ms(made->socket, NNG_OPT_RECONNMAXT, 400);
  auto count = [](nng_pipe, nng_pipe_ev event, void* at) {
    *static_cast<std::atomic<int>*>(at) += event == NNG_PIPE_EV_ADD_POST ? 1 : -1;
  };
  nng_pipe_notify(made->socket, NNG_PIPE_EV_ADD_POST, count, &made->pipes);
  nng_pipe_notify(made->socket, NNG_PIPE_EV_REM_POST, count, &made->pipes);
  // Lines leave from this process's own IP number, so that the other side can tell machines apart.
  auto local = props_.address.substr(0, props_.address.rfind(':'));
  if (nng_dial(made->socket, ("tcp://" + local + ";" + to).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) return nullptr;
  made->dialedMs = props_.nowMs();
  made->redialMs = redialMs;
  return made;
}

auto Post::heard(const std::string& from) -> void {
  silence_.heard(from);
  auto& held = lines_[from];
  auto isDown = !held || held->pipes <= 0;
  // A dial that began before the peer spoke may wait for a machine that was down then. One that began since is not
  // given up for the next thing that the peer says: what waits on it would be lost each time.
  auto isOld = held && !held->isToHeard && props_.nowMs() - held->dialedMs >= kRedialMs;
  if (isDown && (!held || isOld)) {
    held = dial(from, kHeardRedialMs);
    if (held) held->isToHeard = true;
  }
  line(from);
}

auto Post::isUp(const std::string& to) -> bool {
  auto it = lines_.find(to);
  return it != lines_.end() && it->second && it->second->pipes > 0;
}

auto Post::send(const std::string& to, uint8_t kind, const std::string& body) -> bool {
  auto* line = this->line(to);
  // Nothing is left waiting for a line to come up: it would leave long after it was given up on.
  if (!line || line->pipes <= 0) return false;
  return pass(*line, to, kind, body);
}

auto Post::sendWhenUp(const std::string& to, uint8_t kind, const std::string& body) -> void {
  if (auto* line = this->line(to)) pass(*line, to, kind, body);
}

// A line that is not up keeps the letter in its queue until it is, or until it is closed.
auto Post::pass(const Line& line, const std::string& to, uint8_t kind, const std::string& body) -> bool {
  // As a Letter is written; the body, which may be large, is copied once.
  auto head = Writer().put(kWireVersion).put(kind).put(props_.advertise).put(static_cast<uint32_t>(body.size())).take();
  if (head.size() + body.size() > props_.maxBytes) return false;
  nng_msg* raw = nullptr;
  if (nng_msg_alloc(&raw, head.size() + body.size()) != 0) return false;
  auto* bytes = static_cast<char*>(nng_msg_body(raw));
  std::copy(body.begin(), body.end(), std::copy(head.begin(), head.end(), bytes));
  silence_.sent(to, props_.nowMs());
  if (nng_sendmsg(line.socket, raw, NNG_FLAG_NONBLOCK) == 0) return true;
  nng_msg_free(raw);
  return false;
}

auto Post::prune(int64_t nowMs) -> void {
  std::erase_if(lines_, [&](const auto& one) {
    return !one.second || (one.second->pipes <= 0 && nowMs - one.second->usedMs > kIdleMs);
  });
}

auto steadyMs() -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

namespace {
auto mix(uint64_t h) -> uint64_t {
  h ^= h >> 33, h *= 0xff51afd7ed558ccdull, h ^= h >> 33, h *= 0xc4ceb9fe1a85ec53ull, h ^= h >> 33;
  return h;
}
}  // namespace

auto hash(std::string_view text) -> uint64_t {
  return hash({text});
}

auto hash(std::initializer_list<std::string_view> texts) -> uint64_t {
  uint64_t h = 14695981039346656037ull;
  for (auto text : texts)
    for (unsigned char c : text)
      h = (h ^ c) * 1099511628211ull;
  return mix(h);  // since the plain sum keeps near names near
}

auto heaviest(uint64_t key, const std::vector<uint64_t>& names, size_t count) -> std::vector<size_t> {
  std::vector<std::pair<uint64_t, size_t>> best;  // rising
  for (size_t i = 0; i < names.size(); ++i) {
    std::pair one{mix(key ^ names[i]), i};
    if (best.size() == count && (count == 0 || one < best.front())) continue;
    if (best.size() == count) best.erase(best.begin());
    best.insert(std::upper_bound(best.begin(), best.end(), one), one);
  }
  std::vector<size_t> places;
  for (auto it = best.rbegin(); it != best.rend(); ++it)
    places.push_back(it->second);
  return places;
}

auto rendezvous(const std::string& key, std::vector<std::string> names) -> std::vector<std::string> {
  std::sort(names.begin(), names.end(), [&](const auto& a, const auto& b) {
    auto x = hash(key + "\n" + a), y = hash(key + "\n" + b);
    return x != y ? x > y : a < b;
  });
  return names;
}

}  // namespace dykestage::neighbour
