#include "caller/face.hpp"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>

#include "caller/codes.hpp"

namespace dykestage::caller {

namespace Http = Pistache::Http;

namespace {
constexpr size_t kHeadBytes = 64u << 10;
constexpr auto kStreamData = "dykestage";

auto isSame(const std::string& a, const std::string& b) -> bool {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

auto reasonOf(int status) -> std::string {
  switch (status) {
    case 200: return "OK";
    case 204: return "No Content";
    case 304: return "Not Modified";
    default: return status < 400 ? "OK" : "Error";
  }
}

// Picks the header lines out of a head that Pistache has accepted; false for lines that readers could
// understand differently (folds, space before the colon, no colon, control bytes).
auto readHead(const std::string& head, std::string& target, Headers& headers) -> bool {
  auto end = head.find("\r\n");
  auto line = head.substr(0, end);
  auto first = line.find(' '), last = line.rfind(' ');
  if (first == std::string::npos || last <= first) return false;
  target = line.substr(first + 1, last - first - 1);
  for (auto at = end + 2; at < head.size();) {
    auto next = head.find("\r\n", at);
    if (next == std::string::npos || next == at) break;
    line = head.substr(at, next - at);
    at = next + 2;
    auto colon = line.find(':');
    if (colon == std::string::npos || colon == 0) return false;
    auto name = line.substr(0, colon);
    if (std::any_of(name.begin(), name.end(), [](unsigned char c) { return c <= ' ' || c >= 127; })) return false;
    auto from = line.find_first_not_of(" \t", colon + 1);
    auto value = from == std::string::npos ? "" : line.substr(from, line.find_last_not_of(" \t") - from + 1);
    if (std::any_of(value.begin(), value.end(), [](unsigned char c) { return (c < ' ' && c != '\t') || c == 127; })) return false;
    headers.emplace_back(std::move(name), std::move(value));
  }
  return true;
}
}  // namespace

auto lower(std::string text) -> std::string {
  for (auto& c : text)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c + 32);
  return text;
}

auto header(const Headers& headers, const std::string& name) -> std::string {
  for (const auto& [key, value] : headers)
    if (isSame(key, name)) return value;
  return "";
}

auto has(const Headers& headers, const std::string& name) -> bool {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& one) { return isSame(one.first, name); });
}

auto listOf(const std::string& value) -> std::vector<std::string> {
  std::vector<std::string> list;
  for (size_t at = 0; at <= value.size();) {
    auto comma = std::min(value.find(',', at), value.size());
    auto part = value.substr(at, comma - at);
    auto from = part.find_first_not_of(" \t");
    if (from != std::string::npos) list.push_back(lower(part.substr(from, part.find_last_not_of(" \t") - from + 1)));
    at = comma + 1;
  }
  return list;
}

auto endToEnd(const Headers& headers) -> Headers {
  std::vector<std::string> dropped = {"connection",       "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
                                      "transfer-encoding", "upgrade",    "proxy-connection",   "content-length",      "expect"};
  for (const auto& [name, value] : headers)
    if (isSame(name, "connection"))
      for (auto& one : listOf(value)) dropped.push_back(one);
  Headers kept;
  for (const auto& one : headers)
    if (std::find(dropped.begin(), dropped.end(), lower(one.first)) == dropped.end()) kept.push_back(one);
  return kept;
}

Stream::Stream(int fd) : fd_(::dup(fd)) {}

auto Stream::note(const std::string& bytes) -> void {
  (void)!::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

auto Stream::cut() -> void { ::shutdown(fd_.get(), SHUT_RDWR); }

auto Stream::answer(const Answer& answer, const std::string& method, bool keep) -> void {
  if (!isOpen.load()) return;  // each request has one answer
  keep = keep && !mustClose.load();
  std::string bytes = "HTTP/1.1 " + std::to_string(answer.status) + " " + reasonOf(answer.status) + "\r\n";
  auto isBare = answer.status == 204 || answer.status == 304 || answer.status < 200;
  auto isHead = method == "HEAD";
  for (const auto& [name, value] : answer.headers) {
    if (isSame(name, "content-length") && !(isHead || answer.status == 304)) continue;
    bytes += name + ": " + value + "\r\n";
  }
  if (!isBare && !isHead) bytes += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
  if (isHead && !has(answer.headers, "content-length") && !isBare) bytes += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
  if (!keep) bytes += "Connection: close\r\n";
  bytes += "\r\n";
  if (!isBare && !isHead) bytes += answer.body;
  waiting_ += bytes;
  closesAfter_ = !keep;
  if (keep) isOpen.store(false);  // the next request may come before the last byte is taken
  flush();
}

auto Stream::flush() -> bool {
  size_t done = 0;
  while (done < waiting_.size()) {
    auto n = ::send(fd_.get(), waiting_.data() + done, waiting_.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      done += static_cast<size_t>(n);
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    waiting_.clear();  // the caller is gone
    ::shutdown(fd_.get(), SHUT_RDWR);
    return true;
  }
  waiting_.erase(0, done);
  if (waiting_.empty() && closesAfter_) ::shutdown(fd_.get(), SHUT_WR);
  return waiting_.empty();
}

class Face::Handler : public Http::Handler {
 public:
  HTTP_PROTOTYPE(Handler)
  Handler(size_t bodyBytes, std::function<void(Request)> take) : bodyBytes_(bodyBytes), take_(std::move(take)) {}
  void onRequest(const Http::Request&, Http::ResponseWriter) override {}  // requests are taken in onInput

 private:
  struct Reading {
    explicit Reading(int fd) : stream(std::make_shared<Stream>(fd)) {}
    std::shared_ptr<Stream> stream;
    std::string head;
    size_t headBytes = 0, seenBytes = 0;
  };

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    peer->putData(ParserData, std::make_shared<Http::RequestParser>(bodyBytes_ + kHeadBytes));
    peer->putData(kStreamData, std::make_shared<Reading>(peer->fd()));
  }

  void onInput(const char* buffer, size_t length, const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    auto reading = std::static_pointer_cast<Reading>(peer->getData(kStreamData));
    auto& stream = *reading->stream;
    // Pistache drops what follows a request in one read; a caller that sends ahead is told by the close to
    // send again.
    if (stream.isOpen.load()) {
      stream.mustClose.store(true);
      return;
    }
    if (stream.mustClose.load()) return;
    auto parser = getParser(peer);
    auto refuse = [&](uint32_t code) {
      stream.mustClose.store(true);
      stream.isOpen.store(true);
      stream.answer(codeAnswer(code, 0), "GET", false);
    };
    reading->seenBytes += length;
    std::string fed;  // what the parser is given
    if (reading->headBytes == 0) {
      reading->head.append(buffer, length);
      auto end = reading->head.find("\r\n\r\n");
      if (end == std::string::npos) {
        if (reading->head.size() > kHeadBytes) refuse(kRequestTooLarge);
        return;
      }
      reading->headBytes = end + 4;
      auto rest = reading->head.substr(end + 4);
      reading->head.resize(end + 4);
      std::string target;
      Headers headers;
      if (!readHead(reading->head, target, headers)) return refuse(kBadRequest);
      auto lengths = std::count_if(headers.begin(), headers.end(), [](const auto& h) { return isSame(h.first, "content-length"); });
      auto isChunked = has(headers, "transfer-encoding");
      if (lengths > 1 || (isChunked && lengths > 0) || (isChunked && lower(header(headers, "transfer-encoding")) != "chunked"))
        return refuse(kBadRequest);
      auto size = header(headers, "content-length");
      if ((lengths > 0 && size.empty()) || size.size() > 18 || !std::all_of(size.begin(), size.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return refuse(kBadRequest);
      if (!size.empty() && std::stoull(size) > bodyBytes_) return refuse(kRequestTooLarge);
      if (lower(header(headers, "expect")) == "100-continue" && rest.empty()) stream.note("HTTP/1.1 100 Continue\r\n\r\n");
      // Pistache parses many headers by their meaning and refuses what it doesn't know, such as a cookie without
      // a value. Those are not this face's business: the parser gets the method and what frames the body.
      auto line = reading->head.substr(0, reading->head.find("\r\n"));
      fed = line.substr(0, line.find(' ')) + " /" + line.substr(line.rfind(' ')) + "\r\n";
      if (lengths > 0) fed += "Content-Length: " + size + "\r\n";
      if (isChunked) fed += "Transfer-Encoding: chunked\r\n";
      fed += "\r\n" + rest;
    } else {
      fed.assign(buffer, length);
    }
    try {
      if (!parser->feed(fed.data(), fed.size())) return refuse(kRequestTooLarge);
      if (parser->parse() != Http::Private::State::Done) return;
      Request request;
      request.method = Http::methodString(parser->request.method());
      request.body = parser->request.body();
      auto version = parser->request.version();
      if (!readHead(reading->head, request.target, request.headers)) return refuse(kBadRequest);
      if (request.body.size() > bodyBytes_) return refuse(kRequestTooLarge);
      auto connection = listOf(header(request.headers, "connection"));
      auto isNamed = [&](const char* what) { return std::find(connection.begin(), connection.end(), what) != connection.end(); };
      request.keep = version == Http::Version::Http11 ? !isNamed("close") : isNamed("keep-alive");
      auto isPlain = !has(request.headers, "transfer-encoding");
      if (isPlain && reading->seenBytes > reading->headBytes + request.body.size()) stream.mustClose.store(true);
      request.stream = reading->stream;
      parser->reset();
      reading->head.clear();
      reading->headBytes = reading->seenBytes = 0;
      stream.isOpen.store(true);
      take_(std::move(request));
    } catch (const std::exception&) {
      refuse(kBadRequest);
    }
  }

  size_t bodyBytes_;
  std::function<void(Request)> take_;
};

struct Face::Endpoint {
  explicit Endpoint(const Pistache::Address& address) : http(address) {}
  Http::Endpoint http;
};

Face::Face(Props props, std::function<void(Request)> take) {
  Pistache::Address address(props.ip, Pistache::Port(props.port));
  endpoint_ = std::make_unique<Endpoint>(address);
  auto options = Http::Endpoint::options()
                     .threads(props.threads)
                     .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay | Pistache::Tcp::Options::CloseOnExec)
                     .backlog(1024)
                     .maxRequestSize(props.bodyBytes + kHeadBytes);
  endpoint_->http.init(options);
  endpoint_->http.setHandler(std::make_shared<Handler>(props.bodyBytes, std::move(take)));
  endpoint_->http.serveThreaded();
}

Face::~Face() { endpoint_->http.shutdown(); }

auto Face::port() const -> uint16_t { return static_cast<uint16_t>(endpoint_->http.getPort()); }

auto pageAnswer(const std::string& target, uint32_t refusal, const std::function<std::string()>& status) -> Answer {
  if (target == "/ready") return refusal == kOk ? Answer{200, {}, "ready\n"} : codeAnswer(refusal, 1);
  if (target == "/status") return {200, {{"Content-Type", "application/json"}}, status()};
  return codeAnswer(kNoSuchPage, 0);
}

auto codeAnswer(uint32_t code, int64_t retryAfterS, const std::string& detail) -> Answer {
  Answer answer;
  answer.status = statusOf(code);
  answer.headers.emplace_back("Content-Type", "application/json");
  answer.headers.emplace_back("Dykestage-Code", std::to_string(code));
  if (isTurnedAway(code)) answer.headers.emplace_back("Retry-After", std::to_string(std::max<int64_t>(1, retryAfterS)));
  answer.headers.emplace_back("Cache-Control", "no-store");
  answer.body = "{\"code\":" + std::to_string(code) + ",\"text\":\"" + textOf(code) + "\"" + detail + "}\n";
  return answer;
}

}  // namespace dykestage::caller
