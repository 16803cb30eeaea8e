#include "upstream/fetcher.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>

#include "caller/face.hpp"
#include "neighbour/post.hpp"

namespace dykestage::upstream {

namespace {
constexpr size_t kHeadBytes = 64u << 10;
struct List {
  curl_slist* head = nullptr;
  ~List() { curl_slist_free_all(head); }
  auto add(const std::string& line) -> void { head = curl_slist_append(head, line.c_str()); }
};
}  // namespace

struct Fetcher::Call {
  Call() : easy(curl_easy_init(), curl_easy_cleanup) {}
  Easy easy;
  Fetch fetch;
  List lines;
  Fetched result;
  size_t headBytes = 0;
  bool isTooLarge = false, isMalformed = false;
  int64_t startMs = 0;
};

Fetcher::Fetcher() : multi_(curl_multi_init()) {
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 256L);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

Fetcher::~Fetcher() {
  for (auto& [easy, call] : calls_) curl_multi_remove_handle(multi_, easy);
  calls_.clear();
  curl_multi_cleanup(multi_);
}

auto Fetcher::start(Fetch fetch) -> void {
  auto call = std::make_unique<Call>();
  auto* easy = call->easy.get();
  call->fetch = std::move(fetch);
  call->result.id = call->fetch.id;
  call->startMs = neighbour::steadyMs();
  const auto& f = call->fetch;
  auto url = "http://" + f.address + f.target;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<int64_t>(1, f.timeoutMs)));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::max<int64_t>(1, std::min(f.connectMs, f.timeoutMs))));
  curl_easy_setopt(easy, CURLOPT_PRIVATE, call.get());
  if (f.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (f.method == "GET" && f.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
  } else {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, f.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(f.body.size()));
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, f.method.c_str());
  }
  if (f.isWrite) {
    // libcurl sends again by itself when a reused stream turns out to be dead: a write never rides on one.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  auto hasType = false, hasAccept = false, hasAgent = false;
  for (const auto& [name, value] : f.headers) {
    call->lines.add(value.empty() ? name + ";" : name + ": " + value);
    auto n = caller::lower(name);
    hasType = hasType || n == "content-type";
    hasAccept = hasAccept || n == "accept";
    hasAgent = hasAgent || n == "user-agent";
  }
  call->lines.add("Expect:");
  if (!hasType) call->lines.add("Content-Type:");
  if (!hasAccept) call->lines.add("Accept:");
  if (!hasAgent) call->lines.add("User-Agent:");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->lines.head);
  auto onOpen = +[](void* at, curlsocktype, curl_sockaddr* to) -> curl_socket_t {
    auto fd = ::socket(to->family, to->socktype | SOCK_CLOEXEC, to->protocol);
    char ip[INET_ADDRSTRLEN] = {};
    const auto* in = reinterpret_cast<const sockaddr_in*>(&to->addr);
    if (fd >= 0 && to->family == AF_INET && ::inet_ntop(AF_INET, &in->sin_addr, ip, sizeof ip))
      (*static_cast<std::map<curl_socket_t, std::string>*>(at))[fd] = std::string(ip) + ":" + std::to_string(ntohs(in->sin_port));
    return fd;
  };
  auto onClose = +[](void* at, curl_socket_t socket) -> int {
    static_cast<std::map<curl_socket_t, std::string>*>(at)->erase(socket);
    return ::close(socket);
  };
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, onOpen);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &sockets_);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, onClose);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &sockets_);
  auto onHead = +[](char* data, size_t size, size_t count, void* at) -> size_t {
    auto& call = *static_cast<Call*>(at);
    std::string line(data, size * count);
    call.headBytes += line.size();
    if (call.headBytes > kHeadBytes) {
      call.isTooLarge = true;
      return 0;
    }
    if (line.rfind("HTTP/", 0) == 0) {
      call.result.headers.clear();  // a provisional answer came before
      return size * count;
    }
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.pop_back();
    if (line.empty()) return size * count;
    auto colon = line.find(':');
    if (colon == std::string::npos || colon == 0 || line[0] == ' ' || line[0] == '\t') {
      call.isMalformed = true;
      return 0;
    }
    auto from = line.find_first_not_of(" \t", colon + 1);
    call.result.headers.emplace_back(line.substr(0, colon), from == std::string::npos ? "" : line.substr(from));
    return size * count;
  };
  auto onBody = +[](char* data, size_t size, size_t count, void* at) -> size_t {
    auto& call = *static_cast<Call*>(at);
    if (call.result.body.size() + size * count > call.fetch.answerBytes) {
      call.isTooLarge = true;
      return 0;
    }
    call.result.body.append(data, size * count);
    return size * count;
  };
  // The last point before bytes leave: the stream is up, the request is not sent. A fetch that waited for its turn,
  // or whose process was frozen, goes no further once what it rests on is too old.
  auto onReady = +[](void* at, char*, char*, int, int) -> int {
    auto untilMs = static_cast<Call*>(at)->fetch.actUntilMs;
    return untilMs > 0 && neighbour::steadyMs() >= untilMs ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
  };
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onReady);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, call.get());
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHead);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, call.get());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, call.get());
  curl_multi_add_handle(multi_, easy);
  calls_[easy] = std::move(call);
}

auto Fetcher::run(std::vector<pollfd>& extra, int64_t waitMs) -> std::vector<Fetched> {
  std::vector<curl_waitfd> fds;
  for (const auto& one : extra) {
    short events = 0;
    if (one.events & POLLIN) events |= CURL_WAIT_POLLIN;
    if (one.events & POLLOUT) events |= CURL_WAIT_POLLOUT;
    fds.push_back({one.fd, events, 0});
  }
  int running = 0, ready = 0;
  curl_multi_perform(multi_, &running);
  auto left = 0;
  auto* first = curl_multi_info_read(multi_, &left);
  if (!first) {
    curl_multi_poll(multi_, fds.data(), static_cast<unsigned>(fds.size()), static_cast<int>(waitMs), &ready);
    curl_multi_perform(multi_, &running);
    first = curl_multi_info_read(multi_, &left);
  }
  std::vector<Fetched> ended;
  for (auto* message = first; message; message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) continue;
    auto* easy = message->easy_handle;
    auto code = message->data.result;
    auto& call = *calls_.at(easy);
    auto& result = call.result;
    long status = 0, sent = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    result.status = static_cast<int>(status);
    result.tookMs = neighbour::steadyMs() - call.startMs;
    auto isBare = status == 204 || status == 304 || call.fetch.method == "HEAD";
    auto isChunked = caller::lower(caller::header(result.headers, "transfer-encoding")) == "chunked";
    // An answer without a length and without chunks ends where the stream ends: whole and cut look alike.
    auto hasEnd = isBare || isChunked || caller::has(result.headers, "content-length");
    if (call.isTooLarge)
      result.fault = Fault::kTooLarge;
    else if (call.isMalformed)
      result.fault = Fault::kNotWhole;
    else if (code == CURLE_OK)
      result.fault = hasEnd && status >= 200 ? Fault::kNone : Fault::kNotWhole;
    else if (sent == 0)
      result.fault = Fault::kNotSent;
    else if (code == CURLE_OPERATION_TIMEDOUT)
      result.fault = Fault::kTimeout;
    else if (code == CURLE_PARTIAL_FILE || code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL || status != 0)
      result.fault = Fault::kNotWhole;
    else
      result.fault = Fault::kLost;
    result.isUntouched = sent == 0;
    curl_multi_remove_handle(multi_, easy);
    ended.push_back(std::move(result));
    calls_.erase(easy);
  }
  for (size_t i = 0; i < extra.size(); ++i) {
    extra[i].revents = 0;
    if (fds[i].revents & CURL_WAIT_POLLIN) extra[i].revents |= POLLIN;
    if (fds[i].revents & CURL_WAIT_POLLOUT) extra[i].revents |= POLLOUT;
  }
  return ended;
}

auto Fetcher::drop(const std::string& address) -> void {
  std::vector<curl_socket_t> busy;
  for (auto& [easy, call] : calls_) {
    curl_socket_t active = CURL_SOCKET_BAD;
    curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &active);
    busy.push_back(active);
  }
  for (const auto& [socket, to] : sockets_)
    if (to == address && std::find(busy.begin(), busy.end(), socket) == busy.end()) ::shutdown(socket, SHUT_RDWR);
}

auto fetchOnce(Fetch fetch) -> Fetched {
  Fetcher fetcher;
  auto untilMs = neighbour::steadyMs() + fetch.timeoutMs + 1000;
  auto id = fetch.id;
  fetcher.start(std::move(fetch));
  std::vector<pollfd> none;
  while (neighbour::steadyMs() < untilMs) {
    auto ended = fetcher.run(none, 50);
    if (!ended.empty()) return ended.front();
  }
  Fetched lost;
  lost.id = id;
  lost.fault = Fault::kTimeout;
  return lost;
}

}  // namespace dykestage::upstream
