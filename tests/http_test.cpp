// The HTTP face and the fetcher over real sockets: what passes whole, what is refused, what is not an answer.
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "core/registry.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"
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
        for (auto& s : writing) fds.push_back({s->fd(), POLLOUT, 0});
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
  auto at() const -> std::string { return "127.0.0.1:" + std::to_string(face.port()); }
  neighbour::Inbox<Request> inbox{1024};
  Face face;
  std::atomic<bool> isOver{false};
  std::thread loop;
};

auto fetch(const std::string& at, const std::string& method, const std::string& target, upstream::Headers headers = {}, const std::string& body = "",
           size_t answerBytes = 16u << 20) -> upstream::Fetched {
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
  for (ssize_t n = 0; (n = ::recv(fd.get(), buffer, sizeof buffer, 0)) > 0;) all.append(buffer, static_cast<size_t>(n));
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
    return Answer{200, {{"X-A", "1"}, {"X-A", "2"}, {"Set-Cookie", "a=1"}, {"Set-Cookie", "b=2"}, {"sTrAnGe", "kept"}}, "to " + r.target + ": " + r.body};
  });
  auto answer = fetch(server.at(), "POST", "/a%2Fb/../c?x=1&y=%20&x=2", {{"X-Twice", "one"}, {"X-Twice", "two"}, {"cOoKiE", "k=v; l"}, {"X-Empty", ""}}, "body");
  CHECK(answer.fault == upstream::Fault::kNone);
  CHECK(answer.body == "to /a%2Fb/../c?x=1&y=%20&x=2: body");
  auto count = [](const Headers& headers, const std::string& name, const std::string& value) { return std::count(headers.begin(), headers.end(), std::pair{name, value}); };
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
  auto same = fetch(server.at(), "GET", "/same");
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
  auto chunked = raw(server.at(), "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
  CHECK(chunked.find("[abcdefg]") != std::string::npos);
  for (auto bad : {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                   "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n X: folded\r\n\r\n", "GARBAGE\r\n\r\n",
                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"}) {
    auto answer = raw(server.at(), bad);
    INFO(bad);
    CHECK(answer.rfind("HTTP/1.1 400 ", 0) == 0);
  }
  // Two requests in one write: the second is not lost in silence, the stream is closed after the first.
  auto ahead = raw(server.at(), "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(ahead.find("Connection: close") != std::string::npos);
  CHECK(ahead.find("HTTP/1.1 200", 5) == std::string::npos);
  auto waits = raw(server.at(), "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
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
    while (ended.empty() && neighbour::steadyMs() < untilMs) ended = fetcher.run(none, 20);
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
  auto a = neighbour::Post::open({"127.0.0.1:0"}, [&](neighbour::Letter l) { inbox.push(std::move(l)); }, reason);
  auto b = neighbour::Post::open({"127.0.0.1:0"}, [](neighbour::Letter) {}, reason);
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
      while (ended.empty()) ended = fetcher.run(none, 50);
      CHECK(ended[0].fault == (isLate ? upstream::Fault::kNotSent : upstream::Fault::kNone));
      CHECK(ended[0].isUntouched == isLate);
      CHECK(seen.load() - before == (isLate ? 0 : 1));
    }
}

TEST_CASE("Letters and records of another version are turned away, and nothing of them is read") {
  neighbour::Inbox<neighbour::Letter> inbox(16);
  std::string reason;
  auto post = neighbour::Post::open({"127.0.0.1:0"}, [&](neighbour::Letter l) { inbox.push(std::move(l)); }, reason);
  REQUIRE(post);
  nng_socket line;
  REQUIRE(nng_push0_open(&line) == 0);
  REQUIRE(nng_dial(line, ("tcp://" + post->address()).c_str(), nullptr, 0) == 0);
  for (auto version : {neighbour::kWireVersion - 1, neighbour::kWireVersion + 1, int{neighbour::kWireVersion}}) {
    auto bytes = Writer().put(static_cast<uint16_t>(version)).put(neighbour::Letter{neighbour::kAsk, "x", "of version " + std::to_string(version)}).take();
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
