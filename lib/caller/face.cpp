#include "caller/face.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pistache/peer.h>
#include <pistache/reactor.h>
#include <pistache/transport.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <system_error>

#include "caller/chunks.hpp"
#include "caller/codes.hpp"
#include "neighbour/post.hpp"

namespace dykestage::caller {

namespace {
constexpr auto kStreamData = "dykestage";
constexpr int64_t kSweepMs = 1000, kDrainSweepMs = 100;
constexpr int64_t kLingerMs = 1000;  // after our half ended, for the caller to end its own or to go on sending
constexpr int64_t kMostLingerMs = 10000;
constexpr int64_t kToldSlackMs = 500;  // on the way, for a caller who uses all of the time that it was told
constexpr size_t kPieceBytes = 64u << 10;
constexpr size_t kConnectionBytes = 4 << 10;  // of a connection itself, about
constexpr int64_t kOverloadedRetryMs = 500;
constexpr int64_t kRelieveMs = 100;    // between two looks for requests that don't move
constexpr int64_t kLeastIdleMs = 500;  // of a connection that is ended for a new one
constexpr size_t kShedPart = 4;        // of what large holders may have, shed at a time
}  // namespace

struct Face::Shared {
  std::shared_ptr<Limits> limits = std::make_shared<Limits>();
  std::function<void(Request)> take;
  TakeGone takeGone;
  disk::Fd listening;
  uint16_t port = 0;
  std::atomic<size_t> streams{0};
  std::atomic<int> accepting{0};  // threads that do
  std::vector<int> timers;        // of all threads, set before they run
  Props props;
  std::atomic<size_t> connections{0};  // at a time; 0: no limit
  std::atomic<uint64_t> overloaded{0}, shed{0}, idleClosed{0}, closedAtOnce{0};
  std::atomic<int64_t> relievedMs{0};
  std::atomic<uint64_t> reliefs{0};  // asked for so far
  auto sweepNow() -> void {
    itimerspec soon{{0, 0}, {0, 1}};
    for (auto timer : timers)
      ::timerfd_settime(timer, 0, &soon, nullptr);
  }
  auto relieve(int64_t nowMs) -> void {
    auto lastMs = relievedMs.load();
    if (nowMs - lastMs < kRelieveMs || !relievedMs.compare_exchange_strong(lastMs, nowMs)) return;
    ++reliefs;
    sweepNow();
  }
};

namespace {
// A request as far as it has been read.
struct Reading {
  Reading(int fd, const Face::Props& props, const std::shared_ptr<const Limits>& limits, int64_t nowMs)
      : stream(std::make_shared<Stream>(fd, limits)),
        connectionGrant(props.memory, MemoryUse::kConnections),
        grant(props.memory, MemoryUse::kRequests),
        openedMs(nowMs),
        lastMs(nowMs) {}
  enum class Part { kHead, kLength, kChunks };
  std::shared_ptr<Stream> stream;
  MemoryGrant connectionGrant, grant;  // for the connection; for what has been read of the request
  Part part = Part::kHead;
  std::string head;
  Request request;
  std::string body;
  size_t left = 0;  // of a body with a length
  Chunks chunks;
  int64_t openedMs, lastMs, sinceMs = 0;  // the stream, its last bytes, the request's first ones
  auto isIdle() const -> bool { return part == Part::kHead && head.empty(); }
  policy::Progress progress;
  auto holding(int64_t nowMs) const -> policy::Holding {
    return {grant.bytes(), progress.bytesPerS(nowMs), progress.sinceMs()};
  }
  // Forgets the request, and frees what it holds.
  auto release() -> void {
    part = Part::kHead;
    std::string().swap(head);
    std::string().swap(body);
    request = {};
    chunks = {};
    left = 0;
    grant.release();
  }
};
}  // namespace

class Face::Handler : public Pistache::Tcp::Handler {
 public:
  PROTOTYPE_OF(Pistache::Tcp::Handler, Handler)
  explicit Handler(std::shared_ptr<Shared> shared) : shared_(std::move(shared)) {}

  // Answers a request that is not taken any further, and ends its stream.
  static auto refuse(Reading& reading, uint32_t code) -> void {
    auto& stream = *reading.stream;
    reading.release();
    stream.mustClose.store(true);
    stream.isOpen.store(true);
    stream.answer(codeAnswerMs(code, code == kOverloaded ? kOverloadedRetryMs : 0), "GET", false);
  }

 private:
  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    ++shared_->streams;
    auto reading = std::make_shared<Reading>(peer->fd(), shared_->props, shared_->limits, neighbour::steadyMs());
    (void)reading->connectionGrant.grow(kConnectionBytes);  // makeRoom() has looked
    peer->putData(kStreamData, reading);
  }

  void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    --shared_->streams;
    auto reading = std::static_pointer_cast<Reading>(peer->getData(kStreamData));
    reading->stream->markLeft();
    if (shared_->takeGone && reading->stream->isOpen.load()) shared_->takeGone(reading->stream);
  }

  void onInput(const char* buffer, size_t length, const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    auto reading = std::static_pointer_cast<Reading>(peer->getData(kStreamData));
    reading->lastMs = neighbour::steadyMs();
    // What was sent ahead is not read; a caller that does so is told by the close to send again.
    if (reading->stream->isAhead() || reading->stream->mustClose.load()) return;
    try {
      read(*reading, {buffer, length}, peer->fd());
    } catch (const std::exception&) {  // no memory for it, above all; nothing was handed over
      refuseOverloaded(*reading);
    }
  }

  // Whoever holds memory and hardly moves is looked for at once, so that the next one finds room.
  auto refuseOverloaded(Reading& reading) -> void {
    ++shared_->overloaded;
    refuse(reading, kOverloaded);
    shared_->relieve(reading.lastMs);
  }

  auto read(Reading& reading, std::string_view bytes, int fd) -> void {
    if (reading.part != Reading::Part::kHead) return readBody(reading, bytes, fd, bytes.size());
    if (reading.head.empty()) {
      reading.sinceMs = reading.lastMs;
      reading.progress.start(reading.lastMs);
    }
    reading.progress.add(bytes.size(), reading.lastMs);
    auto isWhole = reading.head.empty();  // most heads come in one piece and are read where they are
    auto from = std::max<size_t>(reading.head.size(), 3) - 3;
    if (!isWhole && !reading.grant.grow(bytes.size())) return refuseOverloaded(reading);
    if (!isWhole) reading.head.append(bytes);
    auto all = isWhole ? bytes : std::string_view(reading.head);
    auto end = all.find("\r\n\r\n", from);
    if (std::min(end, all.size()) > shared_->limits->headerBytes.load()) return refuse(reading, kRequestTooLarge);
    if (end == std::string_view::npos) {
      if (isWhole && !reading.grant.grow(bytes.size())) return refuseOverloaded(reading);
      if (isWhole) reading.head = bytes;
      return;
    }
    auto rest = bytes.substr(bytes.size() - (all.size() - end - 4));
    if (!takeHead(reading, all.substr(0, end + 4), rest.empty())) return;
    reading.head.clear();
    readBody(reading, rest, fd, bytes.size());
  }

  auto takeHead(Reading& reading, std::string_view head, bool isBodyToCome) -> bool {
    if (!reading.grant.grow(costOf(head))) {
      refuseOverloaded(reading);
      return false;
    }
    auto& request = reading.request;
    auto isOld = false;
    auto isBad = !readHead(head, request, isOld);
    auto isChunked = false, hasLength = false, isClose = false, isKept = false, waits = false;
    std::string_view size;
    for (const auto& [name, value] : request.headers) {
      if (isSameName(name, "content-length")) {
        isBad = isBad || hasLength || value.empty() || value.size() > 18 ||
                value.find_first_not_of("0123456789") != std::string::npos;
        hasLength = true;
        size = value;
      } else if (isSameName(name, "transfer-encoding")) {
        isBad = isBad || isChunked || !isSameName(value, "chunked");
        isChunked = true;
      } else if (isSameName(name, "connection")) {
        for (const auto& one : listOf(value)) {
          isClose = isClose || one == "close";
          isKept = isKept || one == "keep-alive";
        }
      } else if (isSameName(name, "expect")) {
        waits = isSameName(value, "100-continue");
      }
    }
    if (isBad || (isChunked && hasLength)) {
      refuse(reading, kBadRequest);
      return false;
    }
    reading.left = hasLength ? std::stoull(std::string(size)) : 0;
    if (reading.left > shared_->limits->bodyBytes.load()) {
      refuse(reading, kRequestTooLarge);
      return false;
    }
    if (shared_->props.memory && !shared_->props.memory->hasRoom(reading.grant.bytes(), reading.left)) {
      refuseOverloaded(reading);
      return false;
    }
    if (waits && isBodyToCome) reading.stream->note("HTTP/1.1 100 Continue\r\n\r\n");
    request.keep = isOld ? isKept : !isClose;
    reading.part = isChunked ? Reading::Part::kChunks : Reading::Part::kLength;
    return true;
  }

  auto readBody(Reading& reading, std::string_view bytes, int fd, size_t readBytes) -> void {
    auto isOver =
        reading.part == Reading::Part::kChunks ? readChunks(reading, bytes) : readLength(reading, bytes, fd, readBytes);
    if (!isOver) return;
    if (!bytes.empty()) reading.stream->mustClose.store(true);
    auto request = std::exchange(reading.request, {});
    request.stream = reading.stream;
    // What was drawn for the request stays drawn for as long as anybody holds its body.
    auto grant = std::exchange(reading.grant, MemoryGrant(shared_->props.memory, MemoryUse::kRequests));
    request.body = Body(std::exchange(reading.body, {}), std::move(grant));
    reading.release();
    if (shared_->limits->isRefusing.load()) return refuse(reading, kEmptying);
    reading.stream->isOpen.store(true);
    shared_->take(std::move(request));
  }

  // Keeps a piece of a body; false, and the request is refused, where there is no room for it.
  auto keep(Reading& reading, std::string_view piece, size_t mostBytes) -> bool {
    if (!reading.grant.grow(piece.size())) {
      refuseOverloaded(reading);
      return false;
    }
    reading.progress.add(piece.size(), reading.lastMs);
    appendTo(reading.body, piece, mostBytes);
    return true;
  }

  // True once the body is whole; what follows it is left in `bytes`.
  auto readChunks(Reading& reading, std::string_view& bytes) -> bool {
    const Chunks::Limits limits{shared_->limits->bodyBytes.load(), shared_->limits->headerBytes.load()};
    for (;;) {
      auto step = reading.chunks.next(bytes, limits);
      switch (step.state) {
        case Chunks::State::kMore:
          return false;
        case Chunks::State::kDone:
          return true;
        case Chunks::State::kData:
          if (!keep(reading, step.data, limits.bodyBytes)) return false;
          break;
        case Chunks::State::kBad:
          refuse(reading, kBadRequest);
          return false;
        case Chunks::State::kTooLarge:
          refuse(reading, kRequestTooLarge);
          return false;
      }
    }
  }

  auto readLength(Reading& reading, std::string_view& bytes, int fd, size_t readBytes) -> bool {
    auto wholeBytes = reading.body.size() + reading.left;
    auto piece = bytes.substr(0, reading.left);
    if (!keep(reading, piece, wholeBytes)) return false;
    bytes.remove_prefix(piece.size());
    reading.left -= piece.size();
    // Pistache reads small pieces; when one was full, more is likely to wait.
    while (reading.left > 0 && readBytes == Pistache::Const::MaxBuffer) {
      static thread_local std::vector<char> buffer(kPieceBytes);
      auto n = ::recv(fd, buffer.data(), std::min(reading.left, buffer.size()), MSG_DONTWAIT);
      if (n <= 0) break;
      if (!keep(reading, {buffer.data(), static_cast<size_t>(n)}, wholeBytes)) return false;
      reading.left -= static_cast<size_t>(n);
    }
    return reading.left == 0;
  }

  std::shared_ptr<Shared> shared_;
};

// One a thread: Pistache's, with a look after streams that have waited too long, and accepting on the thread that
// will read.
class Face::Transport : public Pistache::Tcp::Transport {
 public:
  Transport(std::shared_ptr<Shared> shared, const std::shared_ptr<Face::Handler>& handler)
      : Pistache::Tcp::Transport(handler),
        shared_(std::move(shared)),
        handler_(handler),
        timer_(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {}
  ~Transport() override {
    for (const auto& [fd, peer] : peers)
      ::close(fd);
  }
  Transport(const Transport&) = delete;
  auto operator=(const Transport&) -> Transport& = delete;

  auto clone() const -> std::shared_ptr<Pistache::Aio::Handler> override {
    return std::make_shared<Transport>(shared_, std::make_shared<Face::Handler>(*handler_));
  }

  void registerPoller(Pistache::Polling::Epoll& poller) override {
    Pistache::Tcp::Transport::registerPoller(poller);
    for (auto fd : {shared_->listening.get(), timer_.get()})
      poller.addFd(fd, Pistache::Flags<Pistache::Polling::NotifyOn>(Pistache::Polling::NotifyOn::Read), tagOf(fd),
                   Pistache::Polling::Mode::Level);
    shared_->timers.push_back(timer_.get());
    ++shared_->accepting;
  }

  void onReady(const Pistache::Aio::FdSet& fds) override {
    auto isTimer = false, isAccept = false;
    std::vector<Pistache::Polling::Event> others;
    for (const auto& one : fds) {
      if (one.getTag() == tagOf(timer_.get()))
        isTimer = true;
      else if (isAccepting_ && one.getTag() == tagOf(shared_->listening.get()))
        isAccept = true;
    }
    if (!isTimer && !isAccept) return Pistache::Tcp::Transport::onReady(fds);
    // Reads are reported once: none of this round may be left out. They go first, so that none meets a stream that
    // the sweep has ended.
    for (const auto& one : fds) {
      if (one.getTag() == tagOf(timer_.get()) || one.getTag() == tagOf(shared_->listening.get())) continue;
      Pistache::Polling::Event event(one.getTag());
      if (one.isReadable()) event.flags.setFlag(Pistache::Polling::NotifyOn::Read);
      if (one.isWritable()) event.flags.setFlag(Pistache::Polling::NotifyOn::Write);
      if (one.isHangup()) event.flags.setFlag(Pistache::Polling::NotifyOn::Hangup);
      others.push_back(event);
    }
    if (!others.empty()) Pistache::Tcp::Transport::onReady(Pistache::Aio::FdSet(std::move(others)));
    if (isAccept) accept();
    if (isTimer) sweep();
  }

 private:
  static auto tagOf(int fd) -> Pistache::Polling::Tag { return Pistache::Polling::Tag(static_cast<uint64_t>(fd)); }

  auto arm(int64_t waitMs) -> void {
    itimerspec at{{0, 0}, {waitMs / 1000, waitMs % 1000 * 1000000}};
    ::timerfd_settime(timer_.get(), 0, &at, nullptr);
    isArmed_ = true;
  }

  auto accept() -> void {
    for (auto i = 0; i < 64; ++i) {  // then others' turn
      sockaddr_in from{};
      socklen_t size = sizeof from;
      auto fd =
          ::accept4(shared_->listening.get(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0 && (errno == EMFILE || errno == ENFILE)) ::usleep(1000);  // it stays ready: no spinning
      if (fd < 0) return;
      if (!makeRoom()) {
        ++shared_->closedAtOnce;
        ::close(fd);
        continue;
      }
      handleNewPeer(Pistache::Tcp::Peer::Create(fd, Pistache::Address::fromUnix(&from)));
      if (!isArmed_) arm(kSweepMs);
    }
  }

  // True when there may be one connection more. The one that has been idle for longest makes room for it, else the one
  // that holds most and hardly moves.
  auto makeRoom() -> bool {
    const auto& memory = shared_->props.memory;
    if (memory && !memory->hasRoom(0, kConnectionBytes)) return false;
    auto most = shared_->connections.load();
    if (most == 0 || shared_->streams.load() < most) return true;
    auto nowMs = neighbour::steadyMs();
    if (auto idle = longestIdle(nowMs)) {
      ++shared_->idleClosed;
      end(idle);
      return true;
    }
    auto slowest = slowestOf(nowMs);
    if (!slowest) return false;
    ++shared_->shed;
    std::static_pointer_cast<Reading>(slowest->getData(kStreamData))->stream->cut();
    end(slowest);
    return true;
  }

  auto slowestOf(int64_t nowMs) const -> std::shared_ptr<Pistache::Tcp::Peer> {
    std::vector<std::shared_ptr<Pistache::Tcp::Peer>> candidates;
    std::vector<policy::Holding> holdings;
    for (const auto& [fd, peer] : peers) {
      const auto reading = std::static_pointer_cast<Reading>(peer->getData(kStreamData));
      if (reading->stream->isOpen.load()) continue;  // its request runs, and has a time of its own
      holdings.push_back(reading->isIdle() ? reading->stream->holding(nowMs) : reading->holding(nowMs));
      candidates.push_back(peer);
    }
    auto chosen = policy::chooseToShed(holdings, {}, 1, nowMs);
    return chosen.empty() ? nullptr : candidates[chosen.front()];
  }

  auto longestIdle(int64_t nowMs) const -> std::shared_ptr<Pistache::Tcp::Peer> {
    std::shared_ptr<Pistache::Tcp::Peer> longest;
    auto longestSinceMs = nowMs - kLeastIdleMs;
    for (const auto& [fd, peer] : peers) {
      const auto reading = std::static_pointer_cast<Reading>(peer->getData(kStreamData));
      const auto& stream = *reading->stream;
      auto isIdle = reading->isIdle() && !stream.isOpen.load() && stream.pending() == 0;
      auto sinceMs = std::max(reading->openedMs, stream.answeredMs());
      if (!isIdle || sinceMs > longestSinceMs) continue;
      longest = peer;
      longestSinceMs = sinceMs;
    }
    return longest;
  }

  auto end(const std::shared_ptr<Pistache::Tcp::Peer>& peer) -> void {
    --shared_->streams;
    removePeer(peer);
  }

  // Refuses requests that hold memory and hardly move.
  auto relieve(int64_t nowMs) -> void {
    auto reliefs = shared_->reliefs.load();
    if (!shared_->props.memory || std::exchange(reliefsSeen_, reliefs) == reliefs) return;
    std::vector<std::shared_ptr<Reading>> readings;
    std::vector<policy::Holding> holdings;
    for (const auto& [fd, peer] : peers) {
      auto reading = std::static_pointer_cast<Reading>(peer->getData(kStreamData));
      if (reading->isIdle()) continue;
      holdings.push_back(reading->holding(nowMs));
      readings.push_back(std::move(reading));
    }
    auto wantedBytes = shared_->props.memory->largestBytes() / kShedPart;
    for (auto at : policy::chooseToShed(holdings, {}, wantedBytes, nowMs)) {
      ++shared_->overloaded;
      ++shared_->shed;
      Face::Handler::refuse(*readings[at], kOverloaded);
    }
  }

  // Ends what has waited too long. It runs on the thread that reads, so no request can be read meanwhile.
  auto sweep() -> void {
    uint64_t count = 0;
    (void)!::read(timer_.get(), &count, sizeof count);
    if (shared_->limits->isDraining.load() && isAccepting_) stopAccepting();
    auto nowMs = neighbour::steadyMs();
    relieve(nowMs);
    std::erase_if(lingering_, [&](const Lingering& one) { return nowMs >= one.untilMs; });
    auto nextMs = longestSweepMs();
    std::vector<std::shared_ptr<Pistache::Tcp::Peer>> ended;
    for (const auto& [fd, peer] : peers) {
      auto dueMs = look(fd, peer, nowMs);
      if (dueMs < 0) ended.push_back(peer);
      nextMs = std::min(nextMs, std::max<int64_t>(0, dueMs));
    }
    for (const auto& peer : ended)
      end(peer);
    isArmed_ = false;
    if (!peers.empty() || !lingering_.empty())
      arm(std::max(nextMs, shared_->limits->isDraining.load() ? kDrainSweepMs : kSweepMs));
  }

  auto stopAccepting() -> void {
    accept();
    isAccepting_ = false;
    reactor()->removeFd(key(), shared_->listening.get());
    if (--shared_->accepting == 0) ::shutdown(shared_->listening.get(), SHUT_RDWR);  // others are refused
  }

  auto longestSweepMs() const -> int64_t {
    if (shared_->limits->isDraining.load()) return 0;
    auto headerMs = shared_->limits->headerMs.load();
    return headerMs > 0 ? headerMs / 2 : int64_t{60000};
  }

  // Ends a stream whose time is over. Returns how long until it has to be looked at again; below 0: it is to be
  // removed.
  auto look(int fd, const std::shared_ptr<Pistache::Tcp::Peer>& peer, int64_t nowMs) -> int64_t {
    constexpr int64_t kNever = 60000, kRemove = -1;
    auto reading = std::static_pointer_cast<Reading>(peer->getData(kStreamData));
    auto& stream = *reading->stream;
    if (auto closedMs = stream.closedMs(); closedMs >= 0) {
      auto isOver = nowMs >= std::max(closedMs, reading->lastMs) + kLingerMs || nowMs >= closedMs + kMostLingerMs;
      return isOver ? kRemove : 0;
    }
    if (stream.isOpen.load() || stream.pending() > 0) return kNever;
    auto untilMs = reading->isIdle() ? idleUntilMs(*reading) : wholeUntilMs(*reading);
    if (!untilMs) return kNever;
    if (nowMs < *untilMs) return *untilMs - nowMs;
    // What has come but is not read yet will be, in this thread's next round.
    auto unread = 0;
    if (::ioctl(fd, FIONREAD, &unread) == 0 && unread > 0) return kNever;
    if (!reading->isIdle()) {
      Face::Handler::refuse(*reading, kRequestTimeout);
      return 0;
    }
    stream.close(nowMs);
    if (stream.closedMs() < 0) return 0;
    // A request that crosses the end is not read: its caller may then send it again elsewhere. The descriptor stays for
    // a while, so that the end does not become a reset.
    lingering_.push_back({reading->stream, nowMs + kLingerMs});
    return kRemove;
  }

  // Until when a stream without a request may rest.
  auto idleUntilMs(const Reading& reading) const -> std::optional<int64_t> {
    const auto& limits = *shared_->limits;
    const auto& stream = *reading.stream;
    auto sinceMs = std::max(reading.openedMs, stream.answeredMs());
    auto idleMs = limits.idleMs.load();
    if (limits.isDraining.load()) {
      auto drainMs = limits.drainIdleMs.load();
      return sinceMs + (idleMs > 0 ? std::min(idleMs, drainMs) : drainMs);
    }
    if (idleMs <= 0) return std::nullopt;
    // A limit that was lowered meanwhile does not take back what the caller was told.
    auto toldMs = stream.toldIdleMs();
    if (toldMs > 0) idleMs = std::max(idleMs, toldMs + kToldSlackMs);
    return sinceMs + idleMs + limits.slackMs;
  }

  // Until when a request whose first bytes have come must be whole, or its body go on.
  auto wholeUntilMs(const Reading& reading) const -> std::optional<int64_t> {
    auto headerMs = shared_->limits->headerMs.load();
    if (headerMs <= 0) return std::nullopt;
    auto sinceMs = reading.part == Reading::Part::kHead ? reading.sinceMs : reading.lastMs;
    return sinceMs + headerMs + shared_->limits->slackMs;
  }

  struct Lingering {  // a stream that has ended, and is read no more
    std::shared_ptr<Stream> stream;
    int64_t untilMs;
  };

  std::shared_ptr<Shared> shared_;
  std::shared_ptr<Face::Handler> handler_;
  disk::Fd timer_;
  std::vector<Lingering> lingering_;
  bool isArmed_ = false, isAccepting_ = true;
  uint64_t reliefsSeen_ = 0;
};

struct Face::Reactor {
  std::shared_ptr<Pistache::Aio::Reactor> reactor = Pistache::Aio::Reactor::create();
};

Face::Face(Props props, std::function<void(Request)> take, TakeGone takeGone)
    : shared_(std::make_shared<Shared>()), reactor_(std::make_unique<Reactor>()) {
  shared_->take = std::move(take);
  shared_->takeGone = std::move(takeGone);
  shared_->limits->bodyBytes.store(props.bodyBytes);
  shared_->limits->link = props.link;
  shared_->limits->slackMs = props.slackMs;
  shared_->props = props;
  shared_->connections.store(props.connections);
  shared_->listening = disk::Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  auto listening = shared_->listening.get();
  auto on = 1;
  ::setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ::setsockopt(listening, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);  // accepted streams inherit it
  if (props.socketBytes > 0)
    for (auto direction : {SO_SNDBUF, SO_RCVBUF})
      ::setsockopt(listening, SOL_SOCKET, direction, &props.socketBytes, sizeof props.socketBytes);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(props.port);
  socklen_t size = sizeof at;
  if (::inet_pton(AF_INET, props.ip.c_str(), &at.sin_addr) != 1 ||
      ::bind(listening, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(listening, 1024) != 0 ||
      ::getsockname(listening, reinterpret_cast<sockaddr*>(&at), &size) != 0)
    throw std::system_error(errno, std::generic_category(),
                            "can't listen at " + props.ip + ":" + std::to_string(props.port));
  shared_->port = ntohs(at.sin_port);
  reactor_->reactor->init(Pistache::Aio::AsyncContext(static_cast<size_t>(props.threads)));
  reactor_->reactor->addHandler(std::make_shared<Transport>(shared_, std::make_shared<Handler>(shared_)));
  reactor_->reactor->run();
}

Face::~Face() {
  reactor_->reactor->shutdown();
}

auto Face::port() const -> uint16_t {
  return shared_->port;
}

auto Face::limit(size_t headerBytes, size_t bodyBytes, int64_t headerMs, int64_t idleMs) -> void {
  auto& limits = *shared_->limits;
  limits.headerBytes.store(headerBytes);
  limits.bodyBytes.store(bodyBytes);
  limits.headerMs.store(headerMs);
  limits.idleMs.store(idleMs);
  shared_->sweepNow();
}

auto Face::limitConnections(size_t connections) -> void {
  shared_->connections.store(connections);
}

auto Face::drain(int64_t idleMs) -> void {
  shared_->limits->drainIdleMs.store(idleMs);
  shared_->limits->isDraining.store(true);
  shared_->sweepNow();
}

auto Face::refuse() -> void {
  shared_->limits->isRefusing.store(true);
}

auto Face::relieve() -> void {
  shared_->relieve(neighbour::steadyMs());
}

auto Face::figures() const -> Figures {
  return {shared_->overloaded.load(), shared_->shed.load(), shared_->idleClosed.load(), shared_->closedAtOnce.load()};
}

auto Face::streams() const -> size_t {
  return shared_->streams.load();
}

}  // namespace dykestage::caller
