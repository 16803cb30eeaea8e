#include "upstream/fetcher.hpp"

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <set>

#include "caller/field_syntax.hpp"
#include "caller/headers.hpp"
#include "neighbour/post.hpp"

namespace dykestage::upstream {

namespace {
constexpr size_t kSmallUploadBytes = 16u << 10;  // the least that libcurl allows for its buffer
constexpr size_t kResumeBytes = 32u << 10;       // for which there must be room before a paused answer is read on
struct List {
  curl_slist* head = nullptr;
  ~List() { curl_slist_free_all(head); }
  List() = default;
  List(const List&) = delete;
  auto operator=(const List&) -> List& = delete;
  auto add(const std::string& line) -> void { head = curl_slist_append(head, line.c_str()); }
};

// What `Keep-Alive: timeout=5, max=100` says, in ms; -1: nothing.
auto keepMsOf(const Headers& headers) -> int64_t {
  for (const auto& one : caller::listOf(caller::header(headers, "keep-alive"))) {
    if (one.rfind("timeout=", 0) != 0) continue;
    auto digits = one.substr(8, 9);
    if (!digits.empty() && digits.find_first_not_of("0123456789") == std::string::npos)
      return std::stoll(digits) * 1000;
  }
  return -1;
}

// The other end of a connection, as ip:port; empty where there is none.
auto peerOf(int socket) -> std::string {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  char ip[INET_ADDRSTRLEN] = {};
  if (::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET) return "";
  if (!::inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof ip)) return "";
  return std::string(ip) + ":" + std::to_string(ntohs(peer.sin_port));
}

auto termsOf(const Fetch& fetch) -> AnswerTerms {
  AnswerTerms terms;
  terms.isHead = fetch.method == "HEAD";
  terms.isConditional = caller::has(fetch.headers, "if-none-match") || caller::has(fetch.headers, "if-modified-since");
  terms.hasRange = caller::has(fetch.headers, "range");
  terms.range = caller::rangeOf(caller::header(fetch.headers, "range"));
  return terms;
}

// A name or a value that would end its line adds lines, or a request, of its own.
auto isSendable(const Fetch& fetch) -> bool {
  auto isOneLine = [](const auto& field) {
    return caller::isFieldValue(field.first) && caller::isFieldValue(field.second);
  };
  return caller::isToken(fetch.method) && caller::isTarget(fetch.target) &&
         std::all_of(fetch.headers.begin(), fetch.headers.end(), isOneLine);
}

auto notSent(uint64_t id, int64_t tookMs) -> Fetched {
  Fetched unsent;
  unsent.id = id;
  unsent.fault = Fault::kNotSent;
  unsent.isUntouched = true;
  unsent.tookMs = tookMs;
  return unsent;
}

// True if an answer names the request that it answers, and no other.
auto isAnswerTo(const Fetch& fetch, const Headers& headers) -> bool {
  if (fetch.tryHeader.empty()) return true;
  auto isOther = [&](const auto& field) {
    return caller::isSameName(field.first, fetch.tryHeader) && field.second != fetch.tryId;
  };
  return caller::has(headers, fetch.tryHeader) && std::none_of(headers.begin(), headers.end(), isOther);
}

// What a success must be beyond its framing: in the encoding asked for, and sealed.
auto isSound(const Fetch& fetch, const Fetched& result) -> bool {
  if (result.status < 200 || result.status > 299) return true;
  auto encoding = caller::lower(caller::header(result.headers, "content-encoding"));
  if (!encoding.empty() && encoding != "identity" && caller::header(fetch.headers, "accept-encoding").empty())
    return false;
  return fetch.sealHeader.empty() || !caller::header(result.headers, fetch.sealHeader).empty();
}
}  // namespace

struct Fetcher::Call {
  Call(Fetcher* of, Fetch what, int64_t sinceMs)
      : fetcher(of),
        easy(curl_easy_init(), curl_easy_cleanup),
        fetch(std::move(what)),
        reader(termsOf(fetch), fetch.answerBytes),
        grant(of->memory_, MemoryUse::kAnswers),
        startMs(sinceMs),
        untilMs(neighbour::steadyMs() + fetch.timeoutMs) {
    result.id = fetch.id;
  }
  Fetcher* fetcher;
  // Of this transfer alone: libcurl 7.88 keeps a pointer to the last field that it has read over the end of a transfer,
  // and goes on from there when the next answer's first field is folded.
  Easy easy;
  Fetch fetch;
  List lines;
  Fetched result;
  AnswerReader reader;
  std::string body;
  MemoryGrant grant;  // for it
  bool hasStray = false, isMixed = false;
  int64_t startMs;
  int64_t untilMs;  // libcurl's own time limit begins only when it first runs the transfer
};

Fetcher::Fetcher() : multi_(curl_multi_init()), events_(::epoll_create1(EPOLL_CLOEXEC)) {
  auto onSocket = +[](CURL*, curl_socket_t socket, int what, void* at, void* known) -> int {
    auto& fetcher = *static_cast<Fetcher*>(at);
    if (what == CURL_POLL_REMOVE) {
      ::epoll_ctl(fetcher.events_.get(), EPOLL_CTL_DEL, socket, nullptr);
      return 0;
    }
    epoll_event event{};
    if (what & CURL_POLL_IN) event.events |= EPOLLIN;
    if (what & CURL_POLL_OUT) event.events |= EPOLLOUT;
    event.data.fd = socket;
    ::epoll_ctl(fetcher.events_.get(), known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    if (!known) curl_multi_assign(fetcher.multi_, socket, &fetcher);
    return 0;
  };
  auto onTimer = +[](CURLM*, long waitMs, void* at) -> int {
    static_cast<Fetcher*>(at)->dueMs_ = waitMs < 0 ? -1 : neighbour::steadyMs() + waitMs;
    return 0;
  };
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, onSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, onTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 256L);
  curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

Fetcher::~Fetcher() {
  for (auto& [easy, call] : calls_)
    curl_multi_remove_handle(multi_, easy);
  calls_.clear();
  curl_multi_cleanup(multi_);
}

auto Fetcher::limit(size_t perHost, size_t total) -> void {
  perHost_ = perHost;
  total_ = total;
  // So many fetches have their turn at most; libcurl, too, then ends idle streams rather than go above.
  curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(perHost));
  curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS, static_cast<long>(total));
}

auto Fetcher::hasRoom(const std::string& address) const -> bool {
  if (total_ > 0 && calls_.size() >= total_) return false;
  auto busy = busy_.find(address);
  return perHost_ == 0 || busy == busy_.end() || busy->second < perHost_;
}

auto Fetcher::start(Fetch fetch) -> void {
  auto nowMs = neighbour::steadyMs();
  if (!isSendable(fetch)) {
    refused_.push_back(notSent(fetch.id, 0));
    return;
  }
  if (hasRoom(fetch.address)) return send(std::move(fetch), nowMs, false);
  Waiting one{nextPlace_++, fetch.id, fetch.address, nowMs, nowMs + std::max<int64_t>(1, fetch.timeoutMs), nullptr};
  one.fetch = std::make_shared<Fetch>(std::move(fetch));
  waiting_.insert(std::move(one));
}

// Gives turns to those that wait for an address, or, where room for all was short, to the first that can have one.
auto Fetcher::admit(const std::string& address, int64_t nowMs) -> void {
  auto go = [&](const Waiting& one) {
    auto fetch = std::move(*one.fetch);
    fetch.timeoutMs = std::max<int64_t>(1, one.untilMs - nowMs);
    send(std::move(fetch), one.startMs, false);
  };
  auto& list = waiting_.get<ByAddress>();
  for (auto at = list.lower_bound(address); at != list.end() && at->address == address && hasRoom(address);) {
    go(*at);
    at = list.erase(at);
  }
  if (total_ == 0) return;
  auto& places = waiting_.get<ByPlace>();
  for (auto at = places.begin(); at != places.end() && calls_.size() < total_;) {
    if (!hasRoom(at->address)) {
      ++at;
      continue;
    }
    go(*at);
    at = places.erase(at);
  }
}

auto Fetcher::send(Fetch fetch, int64_t startMs, bool isFresh) -> void {
  auto call = std::make_unique<Call>(this, std::move(fetch), startMs);
  auto* easy = call->easy.get();
  ++busy_[call->fetch.address];
  setOptions(*call, isFresh);
  setMethod(*call);
  setHeaders(*call);
  setSocketCallbacks(*call);
  setAnswerCallbacks(*call);
  calls_[easy] = std::move(call);
  curl_multi_add_handle(multi_, easy);
}

auto Fetcher::setOptions(const Call& call, bool isFresh) -> void {
  auto* easy = call.easy.get();
  const auto& f = call.fetch;
  // The target goes out as it is: what libcurl makes of a URL may lose some of it.
  curl_easy_setopt(easy, CURLOPT_URL, ("http://" + f.address + "/").c_str());
  curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, f.target.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<int64_t>(1, f.timeoutMs)));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(std::max<int64_t>(1, std::min(f.connectMs, f.timeoutMs))));
  auto told = keepMs_.find(f.address);
  auto idleMs = told == keepMs_.end() ? idleMs_ : told->second * 4 / 5;
  // libcurl counts begun seconds only once they are full: 4 stands for less than 5.
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(std::max<int64_t>(0, idleMs / 1000 - 1)));
  // libcurl sends again by itself when a reused stream turns out to be dead: a write never rides on one.
  if (f.isWrite || isFresh) curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  if (f.isWrite) curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
}

auto Fetcher::setMethod(const Call& call) -> void {
  auto* easy = call.easy.get();
  const auto& f = call.fetch;
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
}

auto Fetcher::setHeaders(Call& call) -> void {
  auto hasType = false, hasAccept = false, hasAgent = false;
  std::string line;
  for (const auto& [name, value] : call.fetch.headers) {
    line.assign(name).append(value.empty() ? ";" : ": ").append(value);
    call.lines.add(line);
    hasType = hasType || caller::isSameName(name, "content-type");
    hasAccept = hasAccept || caller::isSameName(name, "accept");
    hasAgent = hasAgent || caller::isSameName(name, "user-agent");
  }
  call.lines.add("Expect:");
  if (!hasType) call.lines.add("Content-Type:");
  if (!hasAccept) call.lines.add("Accept:");
  if (!hasAgent) call.lines.add("User-Agent:");
  curl_easy_setopt(call.easy.get(), CURLOPT_HTTPHEADER, call.lines.head);
}

auto Fetcher::setSocketCallbacks(Call& call) -> void {
  auto* easy = call.easy.get();
  auto onOpen = +[](void* at, curlsocktype, curl_sockaddr* to) -> curl_socket_t {
    auto fd = ::socket(to->family, to->socktype | SOCK_CLOEXEC, to->protocol);
    char ip[INET_ADDRSTRLEN] = {};
    const auto* in = reinterpret_cast<const sockaddr_in*>(&to->addr);
    if (fd >= 0 && to->family == AF_INET && ::inet_ntop(AF_INET, &in->sin_addr, ip, sizeof ip))
      static_cast<Fetcher*>(at)->sockets_[fd].address = std::string(ip) + ":" + std::to_string(ntohs(in->sin_port));
    return fd;
  };
  auto onClose = +[](void* at, curl_socket_t socket) -> int {
    auto& fetcher = *static_cast<Fetcher*>(at);
    if (auto known = fetcher.sockets_.find(socket); known != fetcher.sockets_.end()) {
      fetcher.kept_.erase(known->second.keptAs);
      fetcher.sockets_.erase(known);
    }
    return ::close(socket);
  };
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, onOpen);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, onClose);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  // The last point before bytes leave: the stream is up, the request is not sent. A fetch that waited for its turn,
  // or whose process was frozen, goes no further once its time is over or what it rests on is too old. Nor does it go
  // out on a kept stream on which bytes have come since the last answer: they belong to no request.
  auto onReady = +[](void* at, char*, char*, int, int ownPort) -> int {
    auto& call = *static_cast<Call*>(at);
    auto actUntilMs = call.fetch.actUntilMs;
    auto nowMs = neighbour::steadyMs();
    if (nowMs >= call.untilMs || (actUntilMs > 0 && nowMs >= actUntilMs)) return CURL_PREREQFUNC_ABORT;
    auto kept = call.fetcher->kept_.find({call.fetch.address, ownPort});
    char byte = 0;
    if (kept != call.fetcher->kept_.end() && ::recv(kept->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
      call.hasStray = true;
      return CURL_PREREQFUNC_ABORT;
    }
    ++call.result.sends;
    return CURL_PREREQFUNC_OK;
  };
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onReady);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &call);
  limitSockets(easy, call.fetch);
}

// What an answer means is for the AnswerReader to say: libcurl is to hand on what it reads, and its chunks too.
auto Fetcher::setAnswerCallbacks(Call& call) -> void {
  auto* easy = call.easy.get();
  // Returning less than was given ends the transfer and closes its stream.
  auto onLine = +[](char* data, size_t size, size_t count, void* at) -> size_t {
    return takeLine(*static_cast<Call*>(at), {data, size * count}) ? size * count : 0;
  };
  auto onBody = +[](char* data, size_t size, size_t count, void* at) -> size_t {
    auto& call = *static_cast<Call*>(at);
    return call.fetcher->takeBody(call, {data, size * count});
  };
  curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
}

// Few bytes are queued in the kernel for a connection, and few in libcurl for a small request.
auto Fetcher::limitSockets(CURL* easy, const Fetch& fetch) -> void {
  if (socketBytes_ <= 0) return;
  auto onSocket = +[](void* at, curl_socket_t socket, curlsocktype) -> int {
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, at, sizeof(int));
    return CURL_SOCKOPT_OK;
  };
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, onSocket);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &socketBytes_);
  if (fetch.body.size() <= kSmallUploadBytes)
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, static_cast<long>(kSmallUploadBytes));
}

// Takes a line of a head; false when nothing more of the answer is wanted.
auto Fetcher::takeLine(Call& call, std::string_view line) -> bool {
  using State = AnswerReader::State;
  if (call.reader.state() != State::kHead) return false;
  auto state = call.reader.addLine(line);
  const auto& head = call.reader.head();
  if (head.state() == AnswerHead::State::kDone) call.isMixed = !isAnswerTo(call.fetch, head.headers());
  return !call.isMixed && state != State::kBad && state != State::kTooLarge;
}

// Takes bytes that follow a head; what libcurl is to be told.
auto Fetcher::takeBody(Call& call, std::string_view piece) -> size_t {
  if (!call.grant.grow(piece.size())) {
    paused_.insert(call.easy.get());
    return CURL_WRITEFUNC_PAUSE;
  }
  using State = AnswerReader::State;
  auto state = call.reader.addBody(piece, call.body);
  return state == State::kBody || state == State::kWhole ? piece.size() : 0;
}

// Goes on reading answers for which there is room again.
auto Fetcher::resume() -> void {
  for (auto* easy : std::exchange(paused_, {})) {
    const auto& call = *calls_.at(easy);
    if (memory_->hasRoom(call.grant.bytes(), kResumeBytes))
      curl_easy_pause(easy, CURLPAUSE_CONT);  // may pause again
    else
      paused_.insert(easy);
  }
}

auto Fetcher::remove(CURL* easy) -> Fetch {
  paused_.erase(easy);
  auto node = calls_.extract(easy);
  auto& call = *node.mapped();
  curl_multi_remove_handle(multi_, easy);
  auto busy = busy_.find(call.fetch.address);
  if (--busy->second == 0) busy_.erase(busy);
  return std::move(call.fetch);
}

auto Fetcher::cancel(uint64_t id) -> void {
  std::erase_if(refused_, [&](const Fetched& one) { return one.id == id; });
  auto& places = waiting_.get<ByPlace>();
  for (auto at = places.begin(); at != places.end();)
    at = at->id == id ? places.erase(at) : std::next(at);
  std::vector<std::pair<CURL*, std::string>> found;
  for (const auto& [easy, call] : calls_)
    if (call->fetch.id == id) found.emplace_back(easy, call->fetch.address);
  for (const auto& [easy, address] : found) {
    remove(easy);
    admit(address, neighbour::steadyMs());
  }
}

auto Fetcher::cancelUnsent(uint64_t id) -> bool {
  auto isSent = std::any_of(calls_.begin(), calls_.end(), [&](const auto& one) {
    return one.second->fetch.id == id && one.second->result.sends > 0;
  });
  if (isSent) return false;
  auto before = open();
  cancel(id);
  return open() < before;
}

auto Fetcher::act(curl_socket_t socket, int events) -> void {
  auto running = 0;
  if (socket == CURL_SOCKET_TIMEOUT) dueMs_ = -1;  // libcurl tells anew
  curl_multi_socket_action(multi_, socket, events, &running);
}

auto Fetcher::end(CURL* easy, CURLcode code) -> Fetched {
  auto& call = *calls_.at(easy);
  auto& result = call.result;
  long sent = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
  result.status = call.reader.head().status();
  result.tookMs = neighbour::steadyMs() - call.startMs;
  result.isUntouched = sent == 0;
  if (call.reader.isWhole()) result.headers = call.reader.takeHeaders();
  result.fault = faultOf(call, code);
  if (code == CURLE_OK) noteConnection(easy, result);
  if (result.fault != Fault::kNone) {
    result.headers.clear();
    return std::move(result);
  }
  call.grant.shrinkTo(call.body.size());
  result.body = Body(std::move(call.body), std::move(call.grant));
  return std::move(result);
}

auto Fetcher::faultOf(const Call& call, CURLcode code) -> Fault {
  using State = AnswerReader::State;
  if (call.isMixed) return Fault::kMixed;
  if (call.reader.state() == State::kTooLarge) return Fault::kTooLarge;
  if (call.reader.state() == State::kBad) return Fault::kNotWhole;
  if (code == CURLE_OK)
    return call.reader.isWhole() && isSound(call.fetch, call.result) ? Fault::kNone : Fault::kNotWhole;
  if (call.result.isUntouched) return Fault::kNotSent;
  if (code == CURLE_OPERATION_TIMEDOUT) return Fault::kTimeout;
  long status = 0;  // as libcurl read it: something came that looked like an answer
  curl_easy_getinfo(call.easy.get(), CURLINFO_RESPONSE_CODE, &status);
  auto hasBegun = code == CURLE_PARTIAL_FILE || code == CURLE_WEIRD_SERVER_REPLY ||
                  code == CURLE_UNSUPPORTED_PROTOCOL || status != 0;
  return hasBegun ? Fault::kNotWhole : Fault::kLost;
}

// What is known of a connection over which an answer has come. It is kept only if the answer ended where libcurl takes
// the next one to begin.
auto Fetcher::noteConnection(CURL* easy, const Fetched& result) -> void {
  const auto& call = *calls_.at(easy);
  if (auto keepMs = keepMsOf(result.headers); keepMs >= 0)
    keepMs_[call.fetch.address] = keepMs;
  else
    keepMs_.erase(call.fetch.address);
  curl_socket_t socket = CURL_SOCKET_BAD;
  long ownPort = 0;
  curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &socket);
  curl_easy_getinfo(easy, CURLINFO_LOCAL_PORT, &ownPort);
  auto known = sockets_.find(socket);
  if (known == sockets_.end()) return;
  known->second.keptAs = {call.fetch.address, static_cast<int>(ownPort)};
  kept_[known->second.keptAs] = socket;
  auto isKept = result.fault == Fault::kNone && !call.reader.hasSurplus();
  if (!isKept && peerOf(socket) == call.fetch.address) ::shutdown(socket, SHUT_RDWR);
}

auto Fetcher::ended() -> std::vector<Fetched> {
  auto list = std::exchange(refused_, {});
  auto left = 0;
  std::vector<std::string> freed;
  while (auto* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) continue;
    auto* easy = message->easy_handle;
    const auto& call = *calls_.at(easy);
    auto startMs = call.startMs;
    // Nothing of it has left: it goes out on a stream of its own, in the time that is left.
    if (call.hasStray && call.result.sends == 0) {
      auto fetch = remove(easy);
      fetch.timeoutMs -= neighbour::steadyMs() - startMs;
      send(std::move(fetch), startMs, true);
      continue;
    }
    list.push_back(end(easy, message->data.result));
    auto fetch = remove(easy);
    if (!waiting_.empty()) freed.push_back(fetch.address);
  }
  if (waiting_.empty()) return list;
  auto nowMs = neighbour::steadyMs();
  auto& ends = waiting_.get<ByEnd>();
  for (auto at = ends.begin(); at != ends.end() && at->untilMs <= nowMs; at = ends.erase(at)) {
    list.push_back(notSent(at->id, nowMs - at->startMs));
  }
  for (const auto& address : freed)
    admit(address, nowMs);
  return list;
}

auto Fetcher::run(std::vector<pollfd>& extra, int64_t waitMs) -> std::vector<Fetched> {
  for (auto& one : extra)
    one.revents = 0;
  if (!paused_.empty()) resume();
  if (dueMs_ >= 0 && neighbour::steadyMs() >= dueMs_) act(CURL_SOCKET_TIMEOUT, 0);
  auto list = ended();
  if (!list.empty()) return list;
  auto untilMs = dueMs_;
  if (!waiting_.empty()) {
    auto firstMs = waiting_.get<ByEnd>().begin()->untilMs;
    untilMs = untilMs < 0 ? firstMs : std::min(untilMs, firstMs);
  }
  if (untilMs >= 0) waitMs = std::clamp<int64_t>(untilMs - neighbour::steadyMs(), 0, waitMs);
  std::vector<pollfd> fds;
  fds.reserve(extra.size() + 1);
  fds.assign(extra.begin(), extra.end());
  fds.push_back({events_.get(), POLLIN, 0});
  ::poll(fds.data(), fds.size(), static_cast<int>(waitMs));
  for (size_t i = 0; i < extra.size(); ++i)
    extra[i].revents = fds[i].revents;
  if (fds.back().revents & POLLIN) {
    epoll_event events[64];
    auto count = ::epoll_wait(events_.get(), events, 64, 0);
    for (auto i = 0; i < count; ++i) {
      auto seen = events[i].events;
      act(events[i].data.fd, (seen & EPOLLIN ? CURL_CSELECT_IN : 0) | (seen & EPOLLOUT ? CURL_CSELECT_OUT : 0) |
                                 (seen & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0));
    }
  }
  if (dueMs_ >= 0 && neighbour::steadyMs() >= dueMs_) act(CURL_SOCKET_TIMEOUT, 0);
  return ended();
}

auto Fetcher::drop(const std::string& address) -> void {
  keepMs_.erase(address);
  std::set<curl_socket_t> busy;
  for (auto& [easy, call] : calls_) {
    curl_socket_t active = CURL_SOCKET_BAD;
    curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &active);
    busy.insert(active);
  }
  // libcurl does not tell of every connection that it ends. The number of one that it has ended may belong to anybody
  // by now, a client's connection above all: only what is still connected to the address is ended, the rest is
  // forgotten.
  std::erase_if(sockets_, [&](const auto& known) {
    const auto& [socket, one] = known;
    if (one.address != address || busy.count(socket)) return false;
    if (peerOf(socket) != address) return true;
    ::shutdown(socket, SHUT_RDWR);
    return false;
  });
}

auto fetchOnce(Fetch fetch) -> Fetched {
  Fetcher fetcher;
  auto untilMs = neighbour::steadyMs() + fetch.timeoutMs + 1000;
  auto id = fetch.id;
  fetcher.start(std::move(fetch));
  std::vector<pollfd> none;
  while (neighbour::steadyMs() < untilMs) {
    auto ended = fetcher.run(none, 50);
    if (!ended.empty()) return std::move(ended.front());
  }
  Fetched lost;
  lost.id = id;
  lost.fault = Fault::kTimeout;
  return lost;
}

}  // namespace dykestage::upstream
