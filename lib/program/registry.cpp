// registry: a core node. Orders and keeps the control plane's state; serves operators, upstreams and agents.
#include "program/registry.hpp"

#include <glog/logging.h>
#include <poll.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <thread>
#include <variant>

#include "agent/link.hpp"
#include "caller/pending_answers.hpp"
#include "core/gathering.hpp"
#include "core/registry.hpp"
#include "disk/ring.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"
#include "policy/process_limits.hpp"
#include "program/overload.hpp"

namespace dykestage::program {

namespace {
struct Synced {
  uint64_t number;
  double fill;
  int64_t tookUs;
};
using Input = std::variant<neighbour::Letter, caller::Request, Synced>;

// Half of the memory is for the state itself, its snapshots and what is written to disk.
constexpr size_t kStatePart = 2;

constexpr uint32_t kMostFaults = 14;  // of 30 replicas, the most that there are slots for

auto steadyUs() -> int64_t {
  return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
}  // namespace

// NOLINTNEXTLINE(readability-function-size): split with its module in issue 17
auto runRegistry(op::Program& program, op::Door& door) -> int {
  auto& s = program.settings();
  core::Registry::Props props;
  disk::Props diskProps;
  std::string http, name, listen, address;
  std::vector<std::string> registries;
  int64_t slot = 0, beatMs = 0, faults = 0, graceMs = 0, boundMs = 2000, ringFiles = 4, ringBytes = 8 << 20,
          bodyBytes = 8 << 20, threads = 2, memoryBytes = 256 << 20, openFiles = 4096;
  s.text("name", name);
  auto hasSlot = s.integer("slot", 1, 30, slot);
  program.address("http", http);
  program.address("listen", listen, false);
  program.address("address", address, false);
  // With an address alone the list only names seeds, and may be one of some.
  auto gathers = !hasSlot && !address.empty();
  program.addresses("registries", registries, gathers ? 1 : 3);
  s.text("data", diskProps.folder, true);
  s.integer("boundMs", 400, 60000, boundMs);
  s.integer("beatMs", 1, 600000, beatMs);
  s.integer("graceMs", 0, 600000, graceMs);
  s.flag("mayForm", props.mayForm);
  s.flag("servesStale", props.servesStale);
  props.beatMissMs = std::max(boundMs * 3 / 2, 3 * beatMs);
  props.memberMissMs = boundMs * 5 / 2;
  s.integer("beatMissMs", 200, 600000, props.beatMissMs);
  s.integer("memberMissMs", 200, 600000, props.memberMissMs);
  s.integer("batchMs", 0, 100, props.batchMs);
  props.core.idleMs = boundMs / 20;
  props.core.suspectMs = boundMs / 8;
  s.integer("promiseMs", 1, 1000, props.core.promiseMs);
  s.integer("slowMs", 1, 10000, props.core.slowMs);
  s.integer("recoveryMs", 10, 60000, props.core.recoveryMs);
  s.integer("suspectMs", 10, 60000, props.core.suspectMs);
  s.integer("ringFiles", 3, 64, ringFiles);
  s.integer("ringBytes", 1 << 20, 1 << 30, ringBytes);
  s.integer("bodyBytes", 1 << 10, 64 << 20, bodyBytes);
  s.integer("threads", 1, 16, threads);
  s.integer("memoryBytes", 1 << 24, 1LL << 40, memoryBytes);
  s.integer("openFiles", 64, 1 << 24, openFiles);
  if (!hasSlot && !gathers) {
    // All registries sort the same list and so agree on the slots.
    std::sort(registries.begin(), registries.end());
    auto own = std::find(registries.begin(), registries.end(), listen);
    if (own == registries.end())
      s.fault("slot", "is missing, and so is address, and listen is not among registries");
    else
      slot = own - registries.begin() + 1;
  }
  auto count = static_cast<int64_t>(registries.size());
  if (hasSlot && (slot < 1 || slot > count))
    s.fault("slot", "must be the place of this registry in registries, from 1");
  auto hasFaults = s.integer("faults", 1, gathers ? 14 : std::max<int64_t>(1, (count - 1) / 2), faults);
  program.ready();

  auto seat = [&props](const std::vector<std::string>& list) {
    for (size_t i = 0; i < list.size(); ++i)
      props.addresses[static_cast<tempo::Slot>(i + 1)] = list[i];
  };
  if (!gathers) seat(registries);
  props.slot = static_cast<tempo::Slot>(slot);
  // Everything below follows from the freshness bound.
  props.boundMs = boundMs;
  props.staleMs = boundMs * 3 / 4;
  props.tickMs = boundMs / 8;
  props.contactMs = boundMs * 3 / 8;
  props.holdMs = boundMs / 10;
  diskProps.files = static_cast<uint32_t>(ringFiles);
  diskProps.fileBytes = static_cast<uint64_t>(ringBytes);

  std::string reason;
  auto ring = disk::Ring::open(diskProps, reason);
  if (!ring) {
    LOG(ERROR) << "disk: " << reason;
    return 3;
  }
  auto found = ring->take();
  if (reason = core::DiskFrame::refusal(found.frame); !reason.empty()) {
    LOG(ERROR) << "disk: " << reason << ".";
    return 3;
  }
  if (auto saved = core::DiskFrame::from(found.frame); !saved.addresses.empty()) {
    // The core is what it was formed as: a later list that is shorter, or sorted otherwise, seats nobody elsewhere.
    if (!gathers && (saved.addresses != props.addresses || saved.slot != props.slot))
      LOG(WARNING) << "registry: The disk's list of registries holds, not the settings'.";
    props.addresses = saved.addresses;
    props.slot = saved.slot;
  }
  if (found.tornBytes) LOG(INFO) << "disk: Dropped a torn tail of " << found.tornBytes << " bytes.";

  const auto own = !address.empty() || props.addresses.empty() ? address : props.addresses.at(props.slot);
  props.address = own;
  if (gathers) props.contacts = registries;
  neighbour::Inbox<Input> inbox(16000);
  neighbour::Inbox<core::DiskJob> jobs(16000);
  neighbour::Post::Props postProps{listen.empty() ? own : listen, own};
  postProps.silenceMs = boundMs / 2;
  auto post = neighbour::Post::open(
      postProps, [&](neighbour::Letter l) { inbox.push(std::move(l)); }, reason);
  if (!post) {
    LOG(ERROR) << "post: " << reason;
    return 3;
  }
  const auto limits = policy::processLimitsOf(
      {static_cast<size_t>(memoryBytes) / kStatePart, static_cast<size_t>(openFiles), static_cast<size_t>(bodyBytes)});
  const auto memory = policy::accountOf(limits);
  returnLargeBlocks();
  auto [ip, port] = op::splitAddress(http);
  auto face =
      std::make_unique<caller::Face>(caller::Face::Props{ip, port, static_cast<int>(threads), limits.bodyBytes, nullptr,
                                                         0, memory, limits.connections, policy::kSocketBufferBytes},
                                     [&](caller::Request r) {
                                       auto stream = r.stream;
                                       auto method = r.method;
                                       if (!inbox.push(std::move(r)))
                                         stream->answer(caller::codeAnswer(caller::kEdgeFull, 1), method, false);
                                     });

  // Until there is a list of all registries, operators and upstreams are turned away.
  caller::PendingAnswers writing(memory);
  if (props.addresses.empty() && found.frame.empty() && props.mayForm) {
    LOG(INFO) << "registry: Gathering from " << registries.size() << " seeds.";
    core::Gathering gathering({own, registries, agent::freshIncarnation(), boundMs, props.mayForm},
                              neighbour::steadyMs());
    while (!gathering.addresses() && !gathering.isLeftOut()) {
      std::vector<pollfd> fds = {{inbox.fd(), POLLIN, 0}, {op::Program::stopFd(), POLLIN, 0}};
      writing.pollFor(fds);
      ::poll(fds.data(), fds.size(),
             static_cast<int>(std::clamp<int64_t>(gathering.dueMs() - neighbour::steadyMs(), 0, boundMs / 8)));
      if (op::Program::isStopping()) {
        LOG(INFO) << "registry: Stopped.";
        std::_Exit(0);
      }
      auto nowMs = neighbour::steadyMs();
      for (auto& input : inbox.take()) {
        if (auto* letter = std::get_if<neighbour::Letter>(&input); letter && letter->kind == neighbour::kGather) {
          Reader r(letter->body);
          auto gather = r.get<neighbour::Gather>();
          if (r.done()) gathering.take(letter->from, std::move(gather), nowMs);
        }
        if (auto* request = std::get_if<caller::Request>(&input)) {
          auto stream = request->stream;
          auto method = request->method;
          auto keep = request->keep;
          auto entered = door.enter(std::move(*request));
          auto* asked = std::get_if<caller::Request>(&entered);
          auto answer = asked ? door.leave(asked->token, caller::codeAnswer(caller::kNotMember, 1))
                              : std::get<caller::Answer>(entered);
          stream->answer(answer, method, keep);
          writing.add(stream);
        }
      }
      gathering.tick(nowMs);
      for (auto& sent : gathering.output())
        post->send(sent.to, neighbour::kGather, Writer().put(sent.letter).take());
      writing.flush(nowMs);
      post->prune(nowMs);
    }
    if (gathering.isLeftOut()) {
      LOG(WARNING) << "registry: The core was bootstrapped without " << own << ": it joins as a learner.";
      props.contacts.assign(gathering.known().begin(), gathering.known().end());
    } else {
      const auto& list = *gathering.addresses();
      seat(list);
      props.slot = static_cast<tempo::Slot>(std::find(list.begin(), list.end(), own) - list.begin() + 1);
      LOG(INFO) << "registry: Gathered " << list.size() << " registries.";
    }
  }
  // A minority of the replicas may fail, or fewer if the settings say so; the replicas themselves are ordered state.
  props.core.faults = hasFaults ? static_cast<uint32_t>(faults) : kMostFaults;
  // Registries tell their promises, and learners are answered, several times as often.
  auto expect = [&](const std::string& registry) {
    if (registry == own) return;
    post->expect(registry, props.boundMs / 4);
    post->warm(registry);
  };
  for (const auto& [other, address] : props.addresses)
    expect(address);
  for (const auto& contact : props.contacts)
    expect(contact);
  props.addToStatus = [&](op::StatusPage& page) { addMemory(page, *memory, *face, writing); };
  OverloadLog overloadLog("registry");
  int64_t toldMs = 0;
  core::Registry registry(props, found.frame, found.writes, agent::freshIncarnation());
  registry.synced(0, ring->fill(), 0, neighbour::steadyMs());

  // The disk has a thread of its own: a stalled disk holds back what rests on it, and nothing else.
  std::atomic<bool> isBroken{false};
  std::thread diskThread([&] {
    for (;;) {
      pollfd fd{jobs.fd(), POLLIN, 0};
      ::poll(&fd, 1, 100);
      auto list = jobs.take();
      if (list.empty()) continue;
      // Group commit: everything that waits is synced at once.
      uint64_t last = 0;
      auto startUs = steadyUs();
      auto isWell = true;
      for (auto& job : list) {
        if (!job.writes.empty()) isWell = isWell && ring->append(job.writes);
        if (!job.frame.empty() && isWell && !ring->saveFrame(job.frame)) {
          // On a full disk the ring, whose room is its own, goes on as long as it can.
          LOG(ERROR) << "disk: " << ring->reason() << (job.mustHaveFrame ? "." : "; going on without a new frame.");
          isWell = !job.mustHaveFrame;
        }
        last = job.number;
      }
      isWell = isWell && ring->sync();
      if (!isWell) {
        LOG(ERROR) << "disk: " << ring->reason();
        isBroken = true;
        return;
      }
      inbox.push(Synced{last, ring->fill(), steadyUs() - startUs});
    }
  });

  LOG(INFO) << "registry: " << own << " serves " << ip << ":" << face->port() << ".";

  MemoryReturn memoryReturn(limits.accountBytes / 4);
  std::vector<std::string> expected;  // the members that are to be heard regularly
  auto stopAtMs = int64_t{-1}, handOverUntilMs = int64_t{-1};
  for (;;) {
    std::vector<pollfd> fds = {{inbox.fd(), POLLIN, 0}};
    // Once it is stopping, the signal's descriptor stays readable and tells nothing more.
    if (stopAtMs < 0) fds.push_back({op::Program::stopFd(), POLLIN, 0});
    writing.pollFor(fds);
    auto dueMs = std::min(registry.dueMs(), stopAtMs < 0 ? std::numeric_limits<int64_t>::max() : stopAtMs);
    ::poll(fds.data(), fds.size(),
           static_cast<int>(std::clamp<int64_t>(dueMs - neighbour::steadyMs(), 0, boundMs / 8)));
    auto nowMs = neighbour::steadyMs();
    for (auto& input : inbox.take()) {
      if (auto* letter = std::get_if<neighbour::Letter>(&input)) {
        post->heard(letter->from);
        registry.take(letter->from, letter->kind, letter->body, nowMs);
      }
      if (auto* request = std::get_if<caller::Request>(&input)) {
        auto stream = request->stream;
        auto method = request->method;
        auto keep = request->keep;
        auto entered = door.enter(std::move(*request));
        if (auto* own = std::get_if<caller::Request>(&entered)) registry.take(*own, nowMs);
        if (auto* answer = std::get_if<caller::Answer>(&entered)) {
          stream->answer(*answer, method, keep);
          writing.add(stream);
        }
      }
      if (auto* synced = std::get_if<Synced>(&input))
        registry.synced(synced->number, synced->fill, synced->tookUs, nowMs);
    }
    registry.tick(nowMs);
    if (auto members = registry.members(); members != expected) {
      expected = std::move(members);
      for (const auto& member : expected)
        expect(member);
    }
    auto out = registry.output();
    for (auto& job : out.jobs)
      if (!jobs.push(std::move(job))) isBroken = true;
    for (auto& letter : out.letters) {
      if (letter.isAnswer)
        post->sendWhenUp(letter.to, letter.kind, letter.body);
      else
        post->send(letter.to, letter.kind, letter.body);
    }
    for (auto& a : out.answers) {
      a.stream->answer(caller::drawn(memory, door.leave(a.token, std::move(a.answer))), a.method, a.keep);
      writing.add(a.stream);
    }
    writing.flush(nowMs);
    memoryReturn.observe(memory->usedBytes());
    if (nowMs - toldMs > boundMs / 2) {
      toldMs = nowMs;
      overloadLog.tell(face->figures(), writing.shed());
    }
    post->prune(nowMs);
    if (program.reread(nowMs)) {
      std::vector<std::string> fresh;
      program.addresses("registries", fresh, 1);
      if (gathers && program.isWell()) registry.setContacts(fresh);
      LOG(INFO) << "registry: Settings have changed; all but the contacts take effect at the next start.";
    }
    if (isBroken) {
      LOG(ERROR) << "registry: Stopping, since the disk can't be relied on.";
      std::_Exit(3);
    }
    // Answers under way get a little of the grace; the state is safe at any moment.
    if (op::Program::isStopping() && stopAtMs < 0) {
      stopAtMs = nowMs + props.boundMs / 4;
      handOverUntilMs = nowMs + graceMs * 8 / 10;
      registry.leave();
    }
    // A learner that is there takes this replica's place first.
    auto mayHandOver = nowMs < handOverUntilMs && registry.mayHandOver(nowMs);
    if (stopAtMs >= 0 && nowMs >= stopAtMs && !mayHandOver) break;
    if (stopAtMs >= 0 && nowMs >= stopAtMs) stopAtMs = nowMs + props.boundMs / 40;
  }
  LOG(INFO) << "registry: Stopped.";
  // The disk thread is not waited for: its disk may stall for longer than the grace, and whatever is not synced was
  // told to nobody.
  std::_Exit(0);
}

}  // namespace dykestage::program
