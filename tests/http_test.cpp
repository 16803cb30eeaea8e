// The HTTP face and the fetcher over real sockets: what passes whole, what is refused, what is not an answer.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>
#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <mutex>
#include <optional>
#include <thread>

#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "core/registry.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"
#include "sim/raw_upstream.hpp"
#include "upstream/fetcher.hpp"

using namespace dykestage;
using namespace dykestage::caller;

namespace {
// Answers on a thread of its own, as a program's loop does.
struct Server {
  explicit Server(std::function<Answer(const Request&)> handle, size_t bodyBytes = 8u << 20)
      : face({"127.0.0.1", 0, 2, bodyBytes}, [this](Request r) { inbox.push(std::move(r)); }) {
    loop = std::thread([this, handle] {
      std::vector<std::shared_ptr<Stream>> writing;
      while (!isOver) {
        std::vector<pollfd> fds = {{inbox.fd(), POLLIN, 0}};
        for (auto& s : writing)
          fds.push_back({s->fd(), POLLOUT, 0});
        ::poll(fds.data(), fds.size(), 20);
        for (auto& r : inbox.take()) {
          r.stream->answer(handle(r), r.method, r.keep);
          writing.push_back(r.stream);
        }
        std::erase_if(writing, [](auto& s) { return s->flush(); });
      }
    });
  }
  ~Server() {
    isOver = true;
    loop.join();
  }
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;
  auto at() const -> std::string { return "127.0.0.1:" + std::to_string(face.port()); }
  neighbour::Inbox<Request> inbox{1024};
  Face face;
  std::atomic<bool> isOver{false};
  std::thread loop;
};

auto fetch(const std::string& at, const std::string& method, const std::string& target, upstream::Headers headers = {},
           const std::string& body = "", size_t answerBytes = 16u << 20) -> upstream::Fetched {
  upstream::Fetch f;
  f.address = at;
  f.method = method;
  f.target = target;
  f.headers = std::move(headers);
  f.body = body;
  f.timeoutMs = 20000;
  f.connectMs = 5000;
  f.answerBytes = answerBytes;
  return upstream::fetchOnce(f);
}

auto connectTo(const std::string& at) -> disk::Fd {
  disk::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(std::stoi(at.substr(at.rfind(':') + 1))));
  ::inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
  REQUIRE(::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  timeval limit{20, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  return fd;
}

// Sends bytes as they are and reads until the stream ends.
auto raw(const std::string& at, const std::string& bytes) -> std::string {
  auto fd = connectTo(at);
  REQUIRE(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  std::string all;
  char buffer[4096];
  for (ssize_t n = 0; (n = ::recv(fd.get(), buffer, sizeof buffer, 0)) > 0;)
    all.append(buffer, static_cast<size_t>(n));
  return all;
}

// An upstream that writes fixed bytes to whoever connects, then closes.
struct Liar {
  explicit Liar(std::string bytes) : listening(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    REQUIRE(::bind(listening.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(::listen(listening.get(), 16) == 0);
    socklen_t size = sizeof at;
    ::getsockname(listening.get(), reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    loop = std::thread([this, bytes] {
      for (;;) {
        disk::Fd fd(::accept(listening.get(), nullptr, nullptr));
        if (!fd) return;
        ++connections;
        char buffer[4096];
        (void)!::recv(fd.get(), buffer, sizeof buffer, 0);
        (void)!::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        ::shutdown(fd.get(), SHUT_WR);
        while (::recv(fd.get(), buffer, sizeof buffer, 0) > 0) {
        }
      }
    });
  }
  ~Liar() {
    ::shutdown(listening.get(), SHUT_RDWR);
    loop.join();
  }
  Liar(const Liar&) = delete;
  auto operator=(const Liar&) -> Liar& = delete;
  auto at() const -> std::string { return "127.0.0.1:" + std::to_string(port); }
  disk::Fd listening;
  int port = 0;
  std::atomic<int> connections{0};
  std::thread loop;
};
}  // namespace

TEST_CASE("Requests and answers pass whole") {
  Request seen;
  Server server([&](const Request& r) {
    seen = r;
    seen.stream.reset();
    if (r.target == "/none") return Answer{204, {{"X-A", "1"}}, ""};
    if (r.target == "/same") return Answer{304, {{"ETag", "\"e\""}, {"Content-Length", "77"}}, ""};
    return Answer{200,
                  {{"X-A", "1"}, {"X-A", "2"}, {"Set-Cookie", "a=1"}, {"Set-Cookie", "b=2"}, {"sTrAnGe", "kept"}},
                  "to " + r.target + ": " + r.body};
  });
  auto answer = fetch(server.at(), "POST", "/a%2Fb/../c?x=1&y=%20&x=2",
                      {{"X-Twice", "one"}, {"X-Twice", "two"}, {"cOoKiE", "k=v; l"}, {"X-Empty", ""}}, "body");
  CHECK(answer.fault == upstream::Fault::kNone);
  CHECK(answer.body == "to /a%2Fb/../c?x=1&y=%20&x=2: body");
  auto count = [](const Headers& headers, const std::string& name, const std::string& value) {
    return std::count(headers.begin(), headers.end(), std::pair{name, value});
  };
  CHECK(count(seen.headers, "X-Twice", "one") == 1);
  CHECK(count(seen.headers, "X-Twice", "two") == 1);
  CHECK(count(seen.headers, "cOoKiE", "k=v; l") == 1);
  CHECK(count(seen.headers, "X-Empty", "") == 1);
  CHECK(count(answer.headers, "X-A", "1") == 1);
  CHECK(count(answer.headers, "X-A", "2") == 1);
  CHECK(count(answer.headers, "Set-Cookie", "b=2") == 1);
  CHECK(count(answer.headers, "sTrAnGe", "kept") == 1);

  auto head = fetch(server.at(), "HEAD", "/h");
  CHECK(head.status == 200);
  CHECK(head.body.empty());
  CHECK(header(head.headers, "content-length") == "7");
  auto none = fetch(server.at(), "GET", "/none");
  CHECK(none.status == 204);
  CHECK_FALSE(has(none.headers, "content-length"));
  auto same = fetch(server.at(), "GET", "/same", {{"If-None-Match", "\"a\""}});
  CHECK(same.status == 304);
  CHECK(header(same.headers, "content-length") == "77");
  CHECK(same.fault == upstream::Fault::kNone);
  for (auto method : {"PUT", "DELETE", "PATCH", "OPTIONS"}) {
    auto other = fetch(server.at(), method, "/m", {}, "x");
    CHECK(other.status == 200);
    CHECK(seen.method == method);
  }
}

TEST_CASE("Large bodies pass up to the limit, both ways, and are refused above it") {
  Server server([](const Request& r) { return Answer{200, {}, r.body}; }, 4u << 20);
  std::string most(4u << 20, 'x');
  most[12345] = 'y';
  auto answer = fetch(server.at(), "POST", "/", {}, most);
  CHECK(answer.status == 200);
  CHECK(answer.body == most);
  auto over = fetch(server.at(), "POST", "/", {}, most + "z");
  // The refusal may come while the body is still on its way; then the stream ends under the sender.
  if (over.fault == upstream::Fault::kNone) CHECK(over.status == 413);
  CHECK(over.status != 200);
  auto head = raw(server.at(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4194305\r\n\r\n");
  CHECK(head.rfind("HTTP/1.1 413 ", 0) == 0);
  CHECK(head.find("Dykestage-Code: 3012") != std::string::npos);
  auto answerOver = fetch(server.at(), "POST", "/", {}, most, 1u << 20);
  CHECK(answerOver.fault == upstream::Fault::kTooLarge);
}

TEST_CASE("Chunked requests are read; what readers could understand differently is refused") {
  Server server([](const Request& r) { return Answer{200, {}, "[" + r.body + "]"}; });
  auto chunked = raw(server.at(),
                     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: "
                     "close\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
  CHECK(chunked.find("[abcdefg]") != std::string::npos);
  for (auto bad : {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                   "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n X: folded\r\n\r\n",
                   "GARBAGE\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
                   "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;x\x01\r\na\r\n0\r\n\r\n",
                   "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Trailer: 1\r\n\r\n",
                   "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer\r\n\r\n"}) {
    auto answer = raw(server.at(), bad);
    INFO(bad);
    CHECK(answer.rfind("HTTP/1.1 400 ", 0) == 0);
  }
  // Two requests in one write: the second is not lost in silence, the stream is closed after the first.
  auto ahead = raw(server.at(), "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(ahead.find("Connection: close") != std::string::npos);
  CHECK(ahead.find("HTTP/1.1 200", 5) == std::string::npos);
  auto waits =
      raw(server.at(),
          "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
  CHECK(waits.find("[ok]") != std::string::npos);
}

TEST_CASE("What is not an upstream's whole answer is not an answer") {
  using upstream::Fault;
  struct Row {
    const char* name;
    std::string bytes;
    Fault fault;
  };
  std::vector<Row> rows = {
      {"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Fault::kNone},
      {"whole in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Fault::kNone},
      {"cut", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", Fault::kNotWhole},
      {"cut in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", Fault::kNotWhole},
      {"chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", Fault::kNotWhole},
      {"no length", "HTTP/1.1 200 OK\r\n\r\nok", Fault::kNotWhole},
      {"old and without an end", "HTTP/1.0 200 OK\r\n\r\nok", Fault::kNotWhole},
      {"garbage", "\x16\x03\x01garbage\r\n\r\n", Fault::kNotWhole},
      {"cut in the head", "HTTP/1.1 200 OK\r\nContent-Le", Fault::kNotWhole},
      {"nothing", "", Fault::kLost},
  };
  for (auto& row : rows) {
    Liar liar(row.bytes);
    auto answer = fetch(liar.at(), "GET", "/");
    INFO(row.name);
    CHECK(static_cast<int>(answer.fault) == static_cast<int>(row.fault));
    CHECK_FALSE(answer.isUntouched);
  }
}

TEST_CASE("A write meets a dead stream once, and is not sent again by the library") {
  // The first answer keeps the stream; the second request would ride on it while it is already closed.
  Liar liar("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  upstream::Fetcher fetcher;
  std::vector<pollfd> none;
  for (uint64_t i = 1; i <= 5; ++i) {
    upstream::Fetch f;
    f.id = i;
    f.address = liar.at();
    f.method = "POST";
    f.body = "x";
    f.isWrite = true;
    f.timeoutMs = 10000;
    fetcher.start(f);
    auto untilMs = neighbour::steadyMs() + 20000;
    std::vector<upstream::Fetched> ended;
    while (ended.empty() && neighbour::steadyMs() < untilMs)
      ended = fetcher.run(none, 20);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].status == 200);
  }
  CHECK(liar.connections == 5);
  // Nobody listens: nothing left, and that is known.
  auto dead = connectTo(liar.at());
  upstream::Fetch f;
  f.address = "127.0.0.1:1";
  f.method = "POST";
  f.isWrite = true;
  auto answer = upstream::fetchOnce(f);
  CHECK(answer.fault == upstream::Fault::kNotSent);
  CHECK(answer.isUntouched);
}

TEST_CASE("Letters go over lines that are up, and are refused by lines that are not") {
  std::string reason;
  neighbour::Inbox<neighbour::Letter> inbox(16);
  auto a = neighbour::Post::open(
      {"127.0.0.1:0"}, [&](neighbour::Letter l) { inbox.push(std::move(l)); }, reason);
  auto b = neighbour::Post::open(
      {"127.0.0.1:0"}, [](neighbour::Letter) {}, reason);
  REQUIRE(a);
  REQUIRE(b);
  CHECK_FALSE(b->send("127.0.0.1:1", 1, "x"));
  auto untilMs = neighbour::steadyMs() + 20000;
  auto isSent = false;
  while (!isSent && neighbour::steadyMs() < untilMs) {
    isSent = b->send(a->address(), 9, "hello");
    pollfd fd{inbox.fd(), POLLIN, 0};
    ::poll(&fd, 1, 20);
  }
  REQUIRE(isSent);
  std::vector<neighbour::Letter> got;
  while (got.empty() && neighbour::steadyMs() < untilMs) {
    pollfd fd{inbox.fd(), POLLIN, 0};
    ::poll(&fd, 1, 20);
    got = inbox.take();
  }
  REQUIRE(got.size() == 1);
  CHECK(got[0].kind == 9);
  CHECK(got[0].from == b->address());
  CHECK(got[0].body == "hello");
}

TEST_CASE("A fetch that was held up before its first byte does not leave on knowledge that is too old") {
  std::atomic<int> seen{0};
  Face face({"127.0.0.1", 0, 1, 1 << 16}, [&](Request r) {
    ++seen;
    r.stream->answer({200, {}, "ran"}, r.method, r.keep);
  });
  for (auto isWrite : {true, false})
    for (auto isLate : {true, false}) {
      upstream::Fetcher fetcher;
      upstream::Fetch fetch;
      fetch.address = "127.0.0.1:" + std::to_string(face.port());
      fetch.method = isWrite ? "POST" : "GET";
      fetch.isWrite = isWrite;
      fetch.timeoutMs = 20000;
      fetch.connectMs = 20000;
      fetch.actUntilMs = neighbour::steadyMs() + (isLate ? 30 : 60000);
      auto before = seen.load();
      fetcher.start(fetch);
      while (isLate && neighbour::steadyMs() < fetch.actUntilMs) {
      }  // the process is stalled with the fetch begun
      std::vector<pollfd> none;
      std::vector<upstream::Fetched> ended;
      while (ended.empty())
        ended = fetcher.run(none, 50);
      CHECK(ended[0].fault == (isLate ? upstream::Fault::kNotSent : upstream::Fault::kNone));
      CHECK(ended[0].isUntouched == isLate);
      CHECK(seen.load() - before == (isLate ? 0 : 1));
    }
}

TEST_CASE("The first answer of a process that has just started reaches whoever asked") {
  std::string reason;
  neighbour::Inbox<neighbour::Letter> answers(16), questions(16);
  auto asker = neighbour::Post::open(
      {"127.0.0.1:0"}, [&](neighbour::Letter l) { answers.push(std::move(l)); }, reason);
  auto started = neighbour::Post::open(
      {"127.0.0.1:0"}, [&](neighbour::Letter l) { questions.push(std::move(l)); }, reason);
  REQUIRE(asker);
  REQUIRE(started);
  auto untilMs = neighbour::steadyMs() + 20000;
  while (!asker->send(started->address(), neighbour::kPoll, "question") && neighbour::steadyMs() < untilMs)
    ::usleep(1000);
  auto next = [&](auto& inbox) {
    std::vector<neighbour::Letter> got;
    while (got.empty() && neighbour::steadyMs() < untilMs) {
      pollfd fd{inbox.fd(), POLLIN, 0};
      ::poll(&fd, 1, 20);
      got = inbox.take();
    }
    return got;
  };
  auto asked = next(questions);
  REQUIRE(asked.size() == 1);
  // There is no line back yet: it is opened by the answer itself.
  REQUIRE_FALSE(started->isUp(asked[0].from));
  started->sendWhenUp(asked[0].from, neighbour::kFeed, "answer");
  auto answered = next(answers);
  REQUIRE(answered.size() == 1);
  CHECK(answered[0].body == "answer");
}

TEST_CASE("An answer waits for its line no longer than until that is dialled anew") {
  std::atomic<int64_t> nowMs{0};
  std::string reason;
  neighbour::Inbox<neighbour::Letter> inbox(16);
  neighbour::Post::Props props{"127.0.0.1:0"};
  props.nowMs = [&nowMs] { return nowMs.load(); };
  auto post = neighbour::Post::open(
      props, [](neighbour::Letter) {}, reason);
  REQUIRE(post);
  auto gone = neighbour::Post::open(
      {"127.0.0.1:0"}, [](neighbour::Letter) {}, reason);
  REQUIRE(gone);
  auto peer = gone->address();
  gone.reset();
  post->sendWhenUp(peer, neighbour::kFeed, "old");
  nowMs = 1000;
  post->warm(peer);
  auto back = neighbour::Post::open(
      {peer}, [&](neighbour::Letter l) { inbox.push(std::move(l)); }, reason);
  REQUIRE(back);
  post->sendWhenUp(peer, neighbour::kFeed, "new");
  std::vector<neighbour::Letter> got;
  for (auto untilMs = neighbour::steadyMs() + 20000; got.empty() && neighbour::steadyMs() < untilMs;) {
    pollfd fd{inbox.fd(), POLLIN, 0};
    ::poll(&fd, 1, 20);
    got = inbox.take();
  }
  REQUIRE(got.size() == 1);
  CHECK(got[0].body == "new");
}

TEST_CASE("Letters and records of another version are turned away, and nothing of them is read") {
  neighbour::Inbox<neighbour::Letter> inbox(16);
  std::string reason;
  auto post = neighbour::Post::open(
      {"127.0.0.1:0"}, [&](neighbour::Letter l) { inbox.push(std::move(l)); }, reason);
  REQUIRE(post);
  nng_socket line;
  REQUIRE(nng_push0_open(&line) == 0);
  REQUIRE(nng_dial(line, ("tcp://" + post->address()).c_str(), nullptr, 0) == 0);
  for (auto version : {neighbour::kWireVersion - 1, neighbour::kWireVersion + 1, int{neighbour::kWireVersion}}) {
    auto bytes = Writer()
                     .put(static_cast<uint16_t>(version))
                     .put(neighbour::Letter{neighbour::kAsk, "x", "of version " + std::to_string(version)})
                     .take();
    REQUIRE(nng_send(line, bytes.data(), bytes.size(), 0) == 0);
  }
  std::vector<neighbour::Letter> got;
  for (auto untilMs = neighbour::steadyMs() + 20000; got.empty() && neighbour::steadyMs() < untilMs;) {
    pollfd fd{inbox.fd(), POLLIN, 0};
    ::poll(&fd, 1, 100);
    got = inbox.take();
  }
  nng_close(line);
  REQUIRE(got.size() == 1);  // letters of one line come in their order
  CHECK(got[0].body == "of version " + std::to_string(neighbour::kWireVersion));

  core::DiskFrame frame;
  CHECK(core::DiskFrame::refusal("").empty());
  CHECK(core::DiskFrame::refusal(Writer().put(frame).take()).empty());
  frame.version = core::DiskFrame::kVersion + 1;
  auto why = core::DiskFrame::refusal(Writer().put(frame).take());
  CHECK(why.find("version " + std::to_string(frame.version)) != std::string::npos);
  CHECK(why.find("reads " + std::to_string(core::DiskFrame::kVersion)) != std::string::npos);
}

namespace {
using Upstream = sim::RawUpstream;

auto valueOf(const std::string& head, const std::string& name) -> std::string {
  auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  at += name.size() + 4;
  return head.substr(at, head.find("\r\n", at) - at);
}

auto sealed(const std::string& id, const std::string& body) -> std::string {
  return "HTTP/1.1 200 OK\r\nX-Try: " + id + "\r\nX-Seal: s\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

auto askFor(const Upstream& upstream, const std::string& id) -> upstream::Fetch {
  upstream::Fetch f;
  f.address = upstream.at();
  f.headers = {{"X-Try", id}};
  f.tryHeader = "X-Try";
  f.tryId = id;
  f.sealHeader = "X-Seal";
  f.timeoutMs = 20000;
  f.connectMs = 5000;
  return f;
}

auto finish(upstream::Fetcher& fetcher, size_t count = 1) -> std::vector<upstream::Fetched> {
  std::vector<upstream::Fetched> all;
  std::vector<pollfd> none;
  for (auto untilMs = neighbour::steadyMs() + 30000; all.size() < count && neighbour::steadyMs() < untilMs;)
    for (auto& one : fetcher.run(none, 1000))
      all.push_back(std::move(one));
  REQUIRE(all.size() == count);
  return all;
}

auto sleepMs(int64_t ms) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

auto waitUntil(const std::function<bool()>& isSo) -> bool {
  auto untilMs = neighbour::steadyMs() + 20000;
  while (!isSo() && neighbour::steadyMs() < untilMs)
    sleepMs(5);
  return isSo();
}

auto readSome(const disk::Fd& fd, size_t least = 1) -> std::string {
  std::string all;
  char buffer[4096];
  for (ssize_t n = 0; all.size() < least && (n = ::recv(fd.get(), buffer, sizeof buffer, 0)) > 0;)
    all.append(buffer, static_cast<size_t>(n));
  return all;
}

auto sendAll(const disk::Fd& fd, const std::string& bytes) -> void {
  REQUIRE(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
}
}  // namespace

TEST_CASE("An answer to another request is not taken, and its stream is not used again") {
  using upstream::Fault;
  SECTION("a whole surplus answer right behind the first, or a moment later") {
    for (auto isLate : {false, true}) {
      Upstream upstream([&](int connection, int, const std::string& head) {
        auto id = valueOf(head, "X-Try");
        return sealed(id, "for " + id) + (connection == 1 && !isLate ? sealed(id, "again") : "");
      });
      if (isLate) upstream.afterwards = [](int connection) { return connection == 1 ? sealed("1", "again") : ""; };
      upstream::Fetcher fetcher;
      for (auto id : {"1", "2", "3"}) {
        fetcher.start(askFor(upstream, id));
        auto ended = finish(fetcher);
        CHECK(ended[0].fault == Fault::kNone);
        CHECK(ended[0].body == std::string("for ") + id);
        CHECK(ended[0].sends == 1);
        sleepMs(60);
      }
      CHECK(upstream.connections == 2);
    }
  }
  SECTION("in the place of the next one due") {
    Upstream upstream([&](int connection, int request, const std::string& head) {
      auto id = valueOf(head, "X-Try");
      return (connection == 1 && request == 2 ? sealed("1", "surplus") : "") + sealed(id, "for " + id);
    });
    upstream::Fetcher fetcher;
    fetcher.start(askFor(upstream, "1"));
    CHECK(finish(fetcher)[0].body == "for 1");
    fetcher.start(askFor(upstream, "2"));
    auto mixed = finish(fetcher)[0];
    CHECK(mixed.fault == Fault::kMixed);
    CHECK(mixed.body.empty());
    CHECK_FALSE(mixed.isUntouched);
    CHECK(upstream.connections == 1);
    CHECK(waitUntil([&] { return upstream.closed == 1; }));
    fetcher.start(askFor(upstream, "3"));
    CHECK(finish(fetcher)[0].body == "for 3");
    CHECK(upstream.connections == 2);
  }
  SECTION("without the id, whatever its status") {
    for (auto bytes : {"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok",
                       "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}) {
      Upstream upstream([&](int, int, const std::string&) { return std::string(bytes); });
      upstream::Fetcher fetcher;
      fetcher.start(askFor(upstream, "1"));
      CHECK(finish(fetcher)[0].fault == Fault::kMixed);
    }
  }
  SECTION("a provisional answer needs no id") {
    Upstream upstream([&](int, int, const std::string& head) {
      return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
             sealed(valueOf(head, "X-Try"), "ok");
    });
    upstream::Fetcher fetcher;
    fetcher.start(askFor(upstream, "1"));
    auto answer = finish(fetcher)[0];
    CHECK(answer.fault == Fault::kNone);
    CHECK(answer.status == 200);
    CHECK_FALSE(caller::has(answer.headers, "link"));
  }
}

TEST_CASE("Bytes after a whole answer never reach the next request") {
  using upstream::Fault;
  std::vector<std::string> firsts = {
      "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 204 No Content\r\nX-Try: 1\r\nX-Seal: s\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nX-Try: 1\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"};
  std::vector<std::string> extras = {"garbage", "\r\n\r\n", std::string(40000, 'g'), sealed("2", "forged early"),
                                     "HTTP/1.1 2"};
  for (const auto& first : firsts)
    for (const auto& extra : extras) {
      Upstream upstream([&](int connection, int, const std::string& head) {
        return connection == 1 ? first + extra : sealed(valueOf(head, "X-Try"), "true");
      });
      upstream::Fetcher fetcher;
      auto askAgain = [&](const std::string& id) {
        auto asked = askFor(upstream, id);
        if (first.find(" 304 ") != std::string::npos) asked.headers.emplace_back("If-None-Match", "\"a\"");
        return asked;
      };
      fetcher.start(askAgain("1"));
      CHECK(finish(fetcher)[0].fault == Fault::kNone);
      sleepMs(10);  // all of it has come
      fetcher.start(askAgain("2"));
      auto answer = finish(fetcher)[0];
      INFO(first << "+" << extra.substr(0, 20));
      // On a stream whose surplus was read with the answer, the upstream answers as before: that is not for us.
      if (answer.fault == Fault::kNone) CHECK(answer.body == "true");
      CHECK((answer.fault == Fault::kNone || answer.fault == Fault::kMixed));
    }
  // They come while the next request is under way.
  for (std::string extra : {"garbage", "garbage\r\n", "\r\n\r\n", "\r\n"}) {
    Upstream upstream([&](int connection, int request, const std::string& head) {
      return (connection == 1 && request == 2 ? extra : "") + sealed(valueOf(head, "X-Try"), "true");
    });
    upstream::Fetcher fetcher;
    fetcher.start(askFor(upstream, "1"));
    CHECK(finish(fetcher)[0].fault == Fault::kNone);
    fetcher.start(askFor(upstream, "2"));
    auto answer = finish(fetcher)[0];
    INFO(extra);
    CHECK(answer.fault != Fault::kNone);
    fetcher.start(askFor(upstream, "3"));
    CHECK(finish(fetcher)[0].body == "true");
    CHECK(upstream.connections == 2);
  }
}

TEST_CASE("A success is whole with its seal, in the encoding asked for, and framed in one way") {
  using upstream::Fault;
  struct Row {
    std::string head;
    Fault fault;
    int status;
  };
  std::vector<Row> rows = {
      {"200 OK\r\nX-Seal: s\r\nContent-Length: 2", Fault::kNone, 200},
      {"200 OK\r\nContent-Length: 2", Fault::kNotWhole, 200},
      {"404 Not Found\r\nContent-Length: 2", Fault::kNone, 404},
      {"206 Partial Content\r\nX-Seal: s\r\nContent-Range: bytes 0-1/9\r\nContent-Length: 2", Fault::kNone, 206},
      {"416 Range Not Satisfiable\r\nContent-Range: bytes */9\r\nContent-Length: 2", Fault::kNone, 416},
      {"200 OK\r\nX-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2", Fault::kNotWhole, 200},
      {"200 OK\r\nX-Seal: s\r\nContent-Encoding: identity\r\nContent-Length: 2", Fault::kNone, 200},
      {"500 Error\r\nContent-Encoding: gzip\r\nContent-Length: 2", Fault::kNone, 500},
      {"200 OK\r\nX-Seal: s\r\nContent-Length: 2\r\nContent-Length: 3", Fault::kNotWhole, 200},
  };
  for (const auto& row : rows) {
    Upstream upstream([&](int, int, const std::string&) {
      return "HTTP/1.1 " + row.head + "\r\nX-Try: 1\r\nConnection: close\r\n\r\nok";
    });
    upstream::Fetcher fetcher;
    auto f = askFor(upstream, "1");
    f.timeoutMs = 1000;  // one of them leaves open what is still to come
    if (row.status == 206) f.headers.emplace_back("Range", "bytes=0-1");
    fetcher.start(f);
    auto answer = finish(fetcher)[0];
    INFO(row.head);
    CHECK(answer.status == row.status);
    if (row.head.find("Length: 3") == std::string::npos)
      CHECK(static_cast<int>(answer.fault) == static_cast<int>(row.fault));
    CHECK((answer.fault == Fault::kNone) == (row.fault == Fault::kNone));
    if (answer.fault == Fault::kNone) CHECK(answer.body == "ok");
  }
  Upstream gzip([](int, int, const std::string&) {
    return std::string(
        "HTTP/1.1 200 OK\r\nX-Try: 1\r\nX-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\n\x1f\x8bx");
  });
  upstream::Fetcher fetcher;
  auto f = askFor(gzip, "1");
  f.headers.emplace_back("Accept-Encoding", "gzip");
  fetcher.start(f);
  auto asked = finish(fetcher)[0];
  CHECK(asked.fault == Fault::kNone);
  CHECK(asked.body == "\x1f\x8bx");
}

TEST_CASE("Targets reach the upstream to the byte, and nothing is added to what is accepted") {
  std::string line, head;
  Upstream upstream([&](int, int, const std::string& h) {
    head = h;
    line = h.substr(0, h.find("\r\n"));
    return sealed("1", "ok");
  });
  upstream::Fetcher fetcher;
  for (std::string target :
       {"/", "/a?", "/a?x=1&&y=%zz", "/a#b", "//a/../b/./c", "/%2f%2F", "/a;b?c?d", "/\xc3\xa4", "/@x:1/", "*"}) {
    auto f = askFor(upstream, "1");
    f.target = target;
    fetcher.start(f);
    CHECK(finish(fetcher)[0].status == 200);
    CHECK(line == "GET " + target + " HTTP/1.1");
    CHECK(caller::lower(head).find("accept-encoding") == std::string::npos);
  }
}

TEST_CASE("Fetches to one upstream wait for their turn, and end untouched when it does not come") {
  using upstream::Fault;
  std::atomic<int> running{0}, most{0}, seen{0};
  std::atomic<bool> isHeld{true};
  Upstream upstream([&](int, int, const std::string& head) {
    ++seen;
    most = std::max(most.load(), ++running);
    while (isHeld)
      sleepMs(5);
    --running;
    return sealed(valueOf(head, "X-Try"), "ok");
  });
  upstream::Fetcher fetcher;
  fetcher.limit(2, 0);
  for (auto id : {1, 2, 3, 4, 5}) {
    auto f = askFor(upstream, std::to_string(id));
    f.id = static_cast<uint64_t>(id);
    if (id == 3) f.timeoutMs = 300;
    fetcher.start(f);
  }
  CHECK(fetcher.open() == 5);
  auto startMs = neighbour::steadyMs();
  auto late = finish(fetcher)[0];
  CHECK(late.id == 3);
  CHECK(late.fault == Fault::kNotSent);
  CHECK(late.isUntouched);
  CHECK(late.sends == 0);
  CHECK(neighbour::steadyMs() - startMs >= 250);
  fetcher.cancel(4);
  CHECK(fetcher.open() == 3);
  isHeld = false;
  auto served = finish(fetcher, 3);
  for (const auto& one : served) {
    CHECK(one.fault == Fault::kNone);
    CHECK(one.id != 4);
  }
  CHECK(seen == 4 - 1);
  CHECK(most <= 2);

  // Kept streams make room for fresh ones.
  for (auto i = 0; i < 4; ++i) {
    auto f = askFor(upstream, "w");
    f.method = "POST";
    f.isWrite = true;
    fetcher.start(f);
  }
  for (const auto& one : finish(fetcher, 4))
    CHECK(one.fault == Fault::kNone);
  CHECK(most <= 2);
  CHECK(upstream.connections - upstream.closed <= 2);

  // All together have a limit, too.
  Upstream other([](int, int, const std::string& head) { return sealed(valueOf(head, "X-Try"), "ok"); });
  upstream::Fetcher few;
  few.limit(0, 1);
  for (auto i = 0; i < 6; ++i)
    few.start(askFor(i % 2 ? upstream : other, std::to_string(i)));
  for (const auto& one : finish(few, 6))
    CHECK(one.fault == Fault::kNone);
}

TEST_CASE("A fetch that is cancelled closes its stream, and others take its turn") {
  std::atomic<int> seen{0};
  std::atomic<bool> isHeld{true};
  Upstream upstream([&](int, int, const std::string& head) {
    auto id = valueOf(head, "X-Try");
    ++seen;
    while (id == "1" && isHeld)
      sleepMs(5);
    return sealed(id, "ok");
  });
  upstream::Fetcher fetcher;
  fetcher.limit(1, 0);
  for (auto id : {1, 2}) {
    auto f = askFor(upstream, std::to_string(id));
    f.id = static_cast<uint64_t>(id);
    fetcher.start(f);
  }
  std::vector<pollfd> none;
  while (seen == 0)
    CHECK(fetcher.run(none, 10).empty());
  fetcher.cancel(1);
  auto ended = finish(fetcher);
  isHeld = false;
  CHECK(ended[0].id == 2);
  CHECK(ended[0].body == "ok");
  CHECK(fetcher.open() == 0);
  CHECK(upstream.connections == 2);
}

TEST_CASE("A fetch is kept from leaving only while no byte of it has left") {
  std::atomic<int> seen{0};
  std::atomic<bool> isHeld{true};
  Upstream upstream([&](int, int, const std::string& head) {
    ++seen;
    while (isHeld)
      sleepMs(5);
    return sealed(valueOf(head, "X-Try"), "ok");
  });
  upstream::Fetcher fetcher;
  fetcher.limit(1, 0);
  for (auto id : {1, 2}) {
    auto f = askFor(upstream, std::to_string(id));
    f.id = static_cast<uint64_t>(id);
    fetcher.start(f);
  }
  std::vector<pollfd> none;
  while (seen == 0)
    CHECK(fetcher.run(none, 10).empty());
  CHECK_FALSE(fetcher.cancelUnsent(1));
  CHECK(fetcher.cancelUnsent(2));
  CHECK_FALSE(fetcher.cancelUnsent(2));
  CHECK_FALSE(fetcher.cancelUnsent(7));
  isHeld = false;
  auto ended = finish(fetcher);
  CHECK(ended[0].id == 1);
  CHECK(ended[0].body == "ok");
  CHECK(fetcher.open() == 0);
  CHECK(seen == 1);
}

TEST_CASE("Kept streams are used as long as the upstream tells, and a read that met a dead one tells so") {
  using upstream::Fault;
  Upstream upstream([&](int, int request, const std::string& head) {
    if (valueOf(head, "X-Try") == "die" && request > 1) return std::string("close");
    auto bytes = sealed(valueOf(head, "X-Try"), "ok");
    return bytes.insert(bytes.find("X-Seal"), "Keep-Alive: timeout=1, max=9\r\n");
  });
  upstream::Fetcher fetcher;
  auto ask = [&](const std::string& id) {
    fetcher.start(askFor(upstream, id));
    auto answer = finish(fetcher)[0];
    CHECK(answer.fault == Fault::kNone);
    return answer.sends;
  };
  CHECK(ask("1") == 1);
  CHECK(ask("2") == 1);
  CHECK(upstream.connections == 1);
  sleepMs(1100);
  CHECK(ask("3") == 1);
  CHECK(upstream.connections == 2);
  CHECK(ask("die") == 2);
  CHECK(upstream.connections == 3);

  Upstream silent([&](int, int, const std::string& head) { return sealed(valueOf(head, "X-Try"), "ok"); });
  upstream::Fetcher brief;
  brief.keepFor(1000);
  for (auto id : {"1", "2"}) {
    brief.start(askFor(silent, id));
    CHECK(finish(brief)[0].fault == Fault::kNone);
  }
  CHECK(silent.connections == 1);
  sleepMs(1100);
  brief.start(askFor(silent, "3"));
  CHECK(finish(brief)[0].fault == Fault::kNone);
  CHECK(silent.connections == 2);
}

TEST_CASE("A fetcher sleeps until its next time limit, however long it may wait") {
  std::atomic<bool> isHeld{true};
  Upstream upstream([&](int, int, const std::string&) {
    while (isHeld)
      sleepMs(5);
    return std::string("close");
  });
  upstream::Fetcher fetcher;
  auto f = askFor(upstream, "1");
  f.timeoutMs = 200;
  fetcher.start(f);
  std::vector<pollfd> none;
  auto startMs = neighbour::steadyMs();
  auto rounds = 0;
  std::vector<upstream::Fetched> ended;
  for (; ended.empty() && rounds < 100; ++rounds)
    ended = fetcher.run(none, 15000);
  isHeld = false;
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].fault == upstream::Fault::kTimeout);
  CHECK(neighbour::steadyMs() - startMs < 10000);
  CHECK(rounds < 20);
}

TEST_CASE("Chunked requests arrive to the byte, however the reads cut them") {
  Server server([](const Request& r) { return Answer{200, {}, "[" + r.body + "]"}; }, 1u << 16);
  std::string bytes =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3;x=\"y\"\r\na\r\n\r\n0004 "
      "\r\ndefg\r\n0\r\nX-T: 1\r\n\r\n";
  for (size_t cut = 0; cut < bytes.size(); cut += 1) {
    auto fd = connectTo(server.at());
    auto on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sendAll(fd, bytes.substr(0, cut));
    sleepMs(2);
    sendAll(fd, bytes.substr(cut));
    auto answer = readSome(fd, 1u << 20);
    INFO(cut);
    CHECK(answer.find("[a\r\ndefg]") != std::string::npos);
  }
  auto head = std::string("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (std::string bad : {"-1\r\n", "+3\r\nabc\r\n", " 3\r\nabc\r\n", "0x3\r\nabc\r\n", "3\nabc\r\n", "3\r\nabcd\r\n",
                          "\r\n", "3 3\r\nabc\r\n", "1000000000000000\r\n", "3\rX\nabc", "g\r\n"}) {
    INFO(bad);
    CHECK(raw(server.at(), head + bad).rfind("HTTP/1.1 400 ", 0) == 0);
  }
  CHECK(raw(server.at(), head + "10001\r\n").rfind("HTTP/1.1 413 ", 0) == 0);
  CHECK(raw(server.at(),
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n")
            .rfind("HTTP/1.1 400 ", 0) == 0);
  CHECK(raw(server.at(), "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n").rfind("HTTP/1.1 400 ", 0) == 0);
}

TEST_CASE("Limits of a face change while it runs") {
  Server server([](const Request& r) { return Answer{200, {}, std::to_string(r.body.size())}; });
  auto status = [&](const std::string& bytes) { return raw(server.at(), bytes).substr(9, 3); };
  auto request = [](size_t headerBytes, size_t bodyBytes) {
    return "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Fill: " + std::string(headerBytes, 'x') +
           "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
  };
  CHECK(status(request(9000, 9000)) == "200");
  server.face.limit(8000, 16000, 3000, 15000);
  CHECK(status(request(9000, 9000)) == "413");
  CHECK(status(request(7000, 15000)) == "200");
  CHECK(status(request(7000, 16001)) == "413");
  server.face.limit(16000, 20000, 3000, 15000);
  CHECK(status(request(9000, 16001)) == "200");
}

TEST_CASE("A face ends streams that are idle or stall, and no others") {
  std::atomic<bool> isHeld{false};
  Server server([&](const Request& r) {
    while (isHeld)
      sleepMs(5);
    return Answer{200, {}, "[" + r.body + "]"};
  });
  server.face.limit(64 << 10, 8 << 20, 1000, 3000);
  auto idle = connectTo(server.at());
  auto served = connectTo(server.at());
  sendAll(served, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  auto answer = readSome(served);
  CHECK(answer.find("\r\nKeep-Alive: timeout=2\r\n") != std::string::npos);
  auto half = connectTo(server.at());
  sendAll(half, "GET / HTTP/1.1\r\nHost:");
  auto stalled = connectTo(server.at());
  sendAll(stalled, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123");
  auto startMs = neighbour::steadyMs();
  // A body that comes slowly is waited for.
  auto slow = connectTo(server.at());
  sendAll(slow, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\nConnection: close\r\n\r\n");
  for (auto i = 0; i < 8; ++i) {
    sleepMs(400);
    sendAll(slow, std::to_string(i));
  }
  CHECK(readSome(slow, 1u << 20).find("[01234567]") != std::string::npos);
  // A request that is given up on gets its final answer.
  for (const auto* fd : {&half, &stalled}) {
    auto refusal = readSome(*fd, 1u << 20);
    CHECK(refusal.rfind("HTTP/1.1 408 ", 0) == 0);
    CHECK(refusal.find("\r\nConnection: close\r\n") != std::string::npos);
  }
  CHECK(readSome(idle).empty());
  CHECK(readSome(served).empty());
  CHECK(neighbour::steadyMs() - startMs >= 2900);
  CHECK(neighbour::steadyMs() - startMs < 15000);
  CHECK(waitUntil([&] { return server.face.streams() == 0; }));
  // A request that runs for longer than all of these is waited for.
  server.face.limit(64 << 10, 8 << 20, 100, 100);
  isHeld = true;
  auto runs = connectTo(server.at());
  sendAll(runs, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  sleepMs(2500);
  isHeld = false;
  CHECK(readSome(runs).rfind("HTTP/1.1 200 ", 0) == 0);
}

TEST_CASE("A face tells when a caller is gone while its request runs") {
  std::vector<std::shared_ptr<Stream>> held, gone;
  std::mutex both;
  auto count = [&](auto& list) {
    std::lock_guard lock(both);
    return list.size();
  };
  Face face(
      {"127.0.0.1", 0, 1, 1 << 16},
      [&](Request r) {
        if (r.target == "/now") return r.stream->answer({200, {}, "ok"}, r.method, r.keep);
        std::lock_guard lock(both);
        held.push_back(r.stream);
      },
      [&](std::shared_ptr<Stream> s) {
        std::lock_guard lock(both);
        gone.push_back(std::move(s));
      });
  auto at = "127.0.0.1:" + std::to_string(face.port());
  {
    auto answered = connectTo(at);
    sendAll(answered, "GET /now HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(readSome(answered).rfind("HTTP/1.1 200 ", 0) == 0);
    auto waits = connectTo(at);
    sendAll(waits, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(waitUntil([&] { return count(held) == 1; }));
    CHECK(count(gone) == 0);
  }
  CHECK(waitUntil([&] { return count(gone) == 1; }));
  CHECK(waitUntil([&] { return face.streams() == 0; }));
  std::lock_guard lock(both);
  CHECK(gone.size() == 1);
  CHECK(gone[0] == held[0]);
  held[0]->answer({200, {}, "to nobody"}, "GET", true);
}

TEST_CASE("A face that drains answers what runs, ends what is idle, and accepts nobody") {
  std::atomic<bool> isHeld{true};
  Server server([&](const Request& r) {
    while (r.target == "/held" && isHeld)
      sleepMs(5);
    return Answer{200, {}, "ok"};
  });
  auto idle = connectTo(server.at());
  auto later = connectTo(server.at());
  for (const auto* fd : {&idle, &later}) {
    sendAll(*fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(readSome(*fd).find("Connection: close") == std::string::npos);
  }
  auto runs = connectTo(server.at());
  sendAll(runs, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
  sleepMs(50);
  server.face.drain(3000);  // long enough for a busy machine to send what follows
  auto isRefused = [&] {
    disk::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(server.face.port());
    ::inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
    return ::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) != 0;
  };
  CHECK(waitUntil(isRefused));
  // A kept stream may still bring a request; its answer says that it was the last.
  sendAll(later, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
  sleepMs(4000);
  isHeld = false;
  for (const auto* fd : {&runs, &later}) {
    auto answer = readSome(*fd, 1u << 20);
    CHECK(answer.rfind("HTTP/1.1 200 ", 0) == 0);
    CHECK(answer.find("\r\nConnection: close\r\n") != std::string::npos);
  }
  CHECK(readSome(idle).empty());
  // The end is no reset, whatever the caller had sent meanwhile.
  sendAll(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  char byte = 0;
  CHECK(::recv(idle.get(), &byte, 1, 0) == 0);
  CHECK(waitUntil([&] { return server.face.streams() == 0; }));
}

TEST_CASE("A request that crosses the end of an idle stream is left unread, so that its caller may send it again") {
  std::atomic<int> taken{0};
  Server server([&](const Request&) {
    ++taken;
    return Answer{200, {}, "ok"};
  });
  server.face.limit(64 << 10, 8 << 20, 1000, 50);
  auto idle = connectTo(server.at());
  CHECK(readSome(idle).empty());
  sendAll(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(waitUntil([&] {
    pollfd fd{idle.get(), POLLERR, 0};
    ::poll(&fd, 1, 0);
    return (fd.revents & POLLERR) != 0;  // bytes that nobody has read end a connection with a reset
  }));
  CHECK(taken == 0);
}

TEST_CASE("Limits of time leave room for what is under way") {
  std::atomic<int> taken{0};
  auto take = [&](Request r) {
    ++taken;
    r.stream->answer({200, {}, "ok"}, r.method, r.keep);
  };
  Face face({"127.0.0.1", 0, 1, 1 << 16, nullptr, 5000}, take);
  face.limit(64 << 10, 8 << 20, 50, 50);
  auto at = "127.0.0.1:" + std::to_string(face.port());
  auto idle = connectTo(at);
  auto half = connectTo(at);
  sendAll(half, "GET / HTTP/1.1\r\nHost:");
  for (auto i = 0; i < 4; ++i) {
    sleepMs(100);
    face.limit(64 << 10, 8 << 20, 50, 50);  // streams are looked at anew
  }
  sendAll(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  sendAll(half, " a\r\n\r\n");
  for (const auto* fd : {&idle, &half})
    CHECK(readSome(*fd).rfind("HTTP/1.1 200 ", 0) == 0);
  CHECK(taken == 2);
}

TEST_CASE("A stream tells that its client has left, however it ends the connection") {
  enum class End { kClose, kReset, kHalf };
  std::mutex guard;
  std::shared_ptr<Stream> open;
  Face face({"127.0.0.1", 0, 1, 1 << 16}, [&](Request r) {
    std::lock_guard lock(guard);
    open = r.stream;
  });
  auto at = "127.0.0.1:" + std::to_string(face.port());
  auto stream = [&] {
    std::lock_guard lock(guard);
    return open;
  };
  for (auto end : {End::kClose, End::kReset, End::kHalf}) {
    auto client = connectTo(at);
    sendAll(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(waitUntil([&] { return stream() != nullptr; }));
    sleepMs(50);
    CHECK_FALSE(stream()->hasLeft());
    linger hard{1, 0};
    if (end == End::kReset) ::setsockopt(client.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    if (end == End::kHalf)
      ::shutdown(client.get(), SHUT_WR);
    else
      client = disk::Fd();
    CHECK(waitUntil([&] { return stream()->hasLeft(); }));
    // Whoever has closed its own half alone still reads the answer.
    stream()->answer({504, {}, "ended"}, "GET", false);
    if (end == End::kHalf) CHECK(readSome(client).rfind("HTTP/1.1 504 ", 0) == 0);
    std::lock_guard lock(guard);
    open.reset();
  }
}

TEST_CASE("A face that refuses answers each request itself, and hands over none") {
  std::atomic<int> taken{0};
  auto take = [&](Request r) {
    ++taken;
    r.stream->answer({200, {}, "ok"}, r.method, r.keep);
  };
  Face face({"127.0.0.1", 0, 1, 1 << 16}, take);
  auto at = "127.0.0.1:" + std::to_string(face.port());
  auto kept = connectTo(at);
  sendAll(kept, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(readSome(kept).rfind("HTTP/1.1 200 ", 0) == 0);
  face.refuse();
  sendAll(kept, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  auto refusal = readSome(kept, 1u << 20);
  CHECK(refusal.rfind("HTTP/1.1 503 ", 0) == 0);
  CHECK(refusal.find("\r\nRetry-After: ") != std::string::npos);
  CHECK(refusal.find("\r\nConnection: close\r\n") != std::string::npos);
  CHECK(taken == 1);
}

namespace {
// A machine that answers no attempt to connect: its queue of new connections is full.
struct SilentMachine {
  SilentMachine() : listening(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    auto* at = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    REQUIRE(::bind(listening.get(), at, size) == 0);
    REQUIRE(::listen(listening.get(), 0) == 0);
    REQUIRE(::getsockname(listening.get(), at, &size) == 0);
    for (auto i = 0; i < 4; ++i) {
      waiting.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      (void)::connect(waiting.back().get(), at, sizeof address);  // under way, or refused: the queue is full
    }
  }
  auto at() const -> std::string { return "127.0.0.1:" + std::to_string(ntohs(address.sin_port)); }

  sockaddr_in address{};
  disk::Fd listening;
  std::vector<disk::Fd> waiting;
};

// Runs one fetch to its end.
auto fetchFrom(upstream::Fetcher& fetcher, const std::string& address, int64_t timeoutMs, bool isWrite) -> void {
  upstream::Fetch fetch;
  fetch.id = 1, fetch.address = address, fetch.target = "/", fetch.timeoutMs = fetch.connectMs = timeoutMs;
  fetch.method = isWrite ? "POST" : "GET";
  fetch.isWrite = isWrite;
  fetcher.start(std::move(fetch));
  std::vector<pollfd> none;
  for (auto untilMs = neighbour::steadyMs() + 10000; neighbour::steadyMs() < untilMs;)
    if (!fetcher.run(none, 20).empty()) return;
  FAIL("the fetch has not ended");
}
}  // namespace

TEST_CASE("Ending connections to an upstream that left ends no connection of anybody else") {
  enum class End { kAnnounced, kKept, kCut, kTimeout, kRefused, kUnreached, kCancelled, kWritten };
  auto end = GENERATE(End::kAnnounced, End::kKept, End::kCut, End::kTimeout, End::kRefused, End::kUnreached,
                      End::kCancelled, End::kWritten);
  INFO("end " << static_cast<int>(end));
  std::optional<Upstream> left(std::in_place, [&](int, int, const std::string&) -> std::string {
    if (end == End::kTimeout || end == End::kCancelled) sleepMs(300);
    if (end == End::kCut) return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut";
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n") +
           (end == End::kAnnounced ? "Connection: close\r\n" : "") + "\r\nok";
  });
  auto address = left->at();
  SilentMachine silent;
  if (end == End::kUnreached) address = silent.at();
  Server server([](const Request&) { return Answer{200, {}, "ok"}; });
  upstream::Fetcher fetcher;
  if (end == End::kRefused) left.reset();
  if (end == End::kCancelled) {
    upstream::Fetch fetch;
    fetch.id = 1, fetch.address = address, fetch.target = "/", fetch.timeoutMs = fetch.connectMs = 5000;
    fetch.method = "GET";
    fetcher.start(std::move(fetch));
    std::vector<pollfd> none;
    for (auto i = 0; i < 5; ++i)
      fetcher.run(none, 20);
    fetcher.cancel(1);
  } else {
    fetchFrom(fetcher, address, end == End::kTimeout || end == End::kUnreached ? 100 : 5000, end == End::kWritten);
  }
  left.reset();  // the upstream has gone, with its connections
  // Clients take whatever numbers are free.
  std::vector<disk::Fd> clients;
  for (auto i = 0; i < 8; ++i)
    clients.push_back(connectTo(server.at()));
  fetcher.drop(address);
  for (const auto& client : clients) {
    sendAll(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(readSome(client).rfind("HTTP/1.1 200 ", 0) == 0);
  }
}

TEST_CASE("What a slow reader leaves is counted, and is whole in the end") {
  std::string body(24u << 20, 'x');
  for (size_t i = 0; i < body.size(); i += 997)
    body[i] = static_cast<char>('a' + i % 26);
  std::shared_ptr<Stream> stream;
  std::atomic<bool> isAnswered{false};
  Face face({"127.0.0.1", 0, 1, 1 << 16}, [&](Request r) {
    stream = r.stream;
    if (r.target == "/moved")
      stream->answer(Answer{200, {}, body}, r.method, r.keep);
    else {
      Answer kept{200, {}, body};
      stream->answer(kept, r.method, r.keep);
    }
    isAnswered = true;
  });
  for (std::string target : {"/moved", "/copied"}) {
    isAnswered = false;
    auto fd = connectTo("127.0.0.1:" + std::to_string(face.port()));
    sendAll(fd, "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(waitUntil([&] { return isAnswered.load(); }));
    CHECK(stream->pending() > 1u << 20);
    std::string got;
    std::thread reader([&] { got = readSome(fd, body.size() + 100); });
    CHECK(waitUntil([&] { return stream->flush(); }));
    CHECK(stream->pending() == 0);
    ::shutdown(stream->fd(), SHUT_WR);
    reader.join();
    CHECK(got.substr(got.find("\r\n\r\n") + 4) == body);
  }
}

TEST_CASE("A code's answer tells the wait in seconds, with fractions where there are any") {
  auto told = [](const Answer& answer) { return header(answer.headers, "Retry-After"); };
  CHECK(told(codeAnswer(kNoUpstream, 0)) == "1");
  CHECK(told(codeAnswer(kNoUpstream, 3)) == "3");
  CHECK(told(codeAnswerMs(kNoUpstream, 2000)) == "2");
  CHECK(told(codeAnswerMs(kNoUpstream, 250)) == "0.25");
  CHECK(told(codeAnswerMs(kNoUpstream, 1005)) == "1.005");
  CHECK(told(codeAnswerMs(kNoUpstream, 0)) == "0.001");
  CHECK(told(codeAnswerMs(kBadRequest, 250)).empty());
}
