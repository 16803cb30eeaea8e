// origin: a stand-in for an upstream, for tests and trials. Announces itself, beats, answers, keeps an account
// of what it ran, and fails in the ways that it is told to.
#include <glog/logging.h>
#include <poll.h>

#include <algorithm>
#include <fstream>
#include <random>

#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"
#include "operator/program.hpp"
#include "sim/spoilt_answers.hpp"
#include "sim/standin.hpp"
#include "upstream/fetcher.hpp"

using namespace dykestage;

namespace {
// What the stand-in is told to do, by POST /stand.
struct Mode {
  int64_t delayMs = 2;
  int64_t bytes = 600;
  int64_t loseShare = 0;     // of 100: runs, then cuts the stream without an answer
  int64_t garbageShare = 0;  // answers bytes that are no HTTP
  int64_t cutShare = 0;      // answers less than the length that it names
  int64_t endlessShare = 0;  // answers without a length, ending with the stream
  int64_t longShare = 0;     // answers more than the length that it names
  int64_t errorShare = 0;    // answers 500
  int64_t spoiltShare = 0;   // answers what no strict reader takes for an answer
  bool isSilent = false;     // no beats
  bool isEmptying = false;
  bool isDeaf = false;  // health fails
  int64_t edition = 0;  // named in the bodies of reads
  std::string labels;
  std::string cacheControl;
};

struct Due {
  int64_t atMs;
  caller::Request request;
  std::string id;
  int64_t edition;  // when it came
  int share;        // 0..99: how it fails, if at all
};
}  // namespace

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, "origin: a stand-in for an upstream");
  auto& s = program.settings();
  std::string instance, service, kind, site, http, accountPath;
  std::vector<std::string> registries;
  int64_t capacity = 1, beatMs = 500, seed = 1;
  Mode mode;
  s.text("instance", instance, true);
  s.text("service", service, true);
  s.text("kind", kind, true);
  s.text("site", site, true);
  program.address("http", http);
  program.addresses("registries", registries, 1);
  s.integer("capacity", 1, 100000, capacity);
  s.integer("beatMs", 50, 60000, beatMs);
  s.integer("delayMs", 0, 60000, mode.delayMs);
  s.integer("bytes", 0, 64 << 20, mode.bytes);
  s.integer("spoilt", 0, 100, mode.spoiltShare);
  s.text("account", accountPath);
  s.integer("seed", 0, 1LL << 50, seed);
  program.ready();

  neighbour::Inbox<caller::Request> inbox(16000);
  auto [ip, port] = op::splitAddress(http);
  caller::Face face({ip, port, 2, 64u << 20}, [&](caller::Request r) {
    auto stream = r.stream;
    if (!inbox.push(std::move(r))) stream->cut();
  });
  auto address = ip + ":" + std::to_string(face.port());
  LOG(INFO) << "origin: " << instance << " of " << service << " at " << address << ".";
  upstream::Fetcher fetcher;
  std::mt19937_64 random(static_cast<uint64_t>(seed));
  std::vector<Due> due;
  // Each line is written before the request is answered, so that the account outlives the process.
  std::ofstream account(accountPath, std::ios::app);
  std::vector<std::shared_ptr<caller::Stream>> writing;
  uint64_t nextId = 1, misdirected = 0;
  int64_t beatAtMs = 0;
  size_t registry = neighbour::hash(instance) % registries.size();

  auto page = [&](const caller::Request& r, int64_t nowMs) -> std::optional<caller::Answer> {
    if (r.target == "/health") return mode.isDeaf ? caller::Answer{500, {}, ""} : caller::Answer{200, {}, "well\n"};
    if (r.target == "/stand/misdirected") return caller::Answer{200, {}, std::to_string(misdirected) + "\n"};
    if (r.target == "/stand" && r.method == "POST") {
      std::vector<op::Fault> faults;
      auto json = op::parse(r.body);
      op::Fields f(json.get(), "", faults);
      auto next = mode;
      f.integer("delayMs", 0, 60000, next.delayMs);
      f.integer("bytes", 0, 64 << 20, next.bytes);
      f.integer("lose", 0, 100, next.loseShare);
      f.integer("garbage", 0, 100, next.garbageShare);
      f.integer("cut", 0, 100, next.cutShare);
      f.integer("endless", 0, 100, next.endlessShare);
      f.integer("long", 0, 100, next.longShare);
      f.integer("error", 0, 100, next.errorShare);
      f.integer("spoilt", 0, 100, next.spoiltShare);
      f.flag("silent", next.isSilent);
      f.flag("emptying", next.isEmptying);
      f.flag("deaf", next.isDeaf);
      f.integer("edition", 0, 1LL << 50, next.edition);
      f.text("labels", next.labels);
      f.text("cacheControl", next.cacheControl);
      f.text("service", service);
      f.text("instance", instance);
      f.close();
      if (!faults.empty())
        return caller::codeAnswer(caller::kInvalid, 0, ",\"place\":\"" + faults.front().place + "\"");
      mode = next;
      beatAtMs = nowMs;
      return caller::Answer{200, {}, "done\n"};
    }
    return std::nullopt;
  };

  while (!op::Program::isStopping()) {
    std::vector<pollfd> fds = {{inbox.fd(), POLLIN, 0}};
    for (auto& stream : writing)
      fds.push_back({stream->fd(), POLLOUT, 0});
    for (auto& answer : fetcher.run(fds, due.empty() ? 20 : 1))
      if (answer.fault != upstream::Fault::kNone || answer.status != 200) registry = (registry + 1) % registries.size();
    auto nowMs = neighbour::steadyMs();
    for (auto& r : inbox.take()) {
      if (auto answer = page(r, nowMs)) {
        r.stream->answer(*answer, r.method, r.keep);
        writing.push_back(r.stream);
        continue;
      }
      auto forService = caller::header(r.headers, "dykestage-service"),
           forInstance = caller::header(r.headers, "dykestage-instance");
      if (forService != service || forInstance != instance) {
        ++misdirected;
        r.stream->answer({421, {}, "not the one meant\n"}, r.method, r.keep);
        writing.push_back(r.stream);
        continue;
      }
      auto id = caller::header(r.headers, "x-request-id");
      account << nowMs << " " << service << " " << r.method << " " << r.target << " " << (id.empty() ? "-" : id) << " "
              << (caller::has(r.headers, "dykestage-extra") ? "extra" : "first") << "\n"
              << std::flush;
      due.push_back({nowMs + mode.delayMs, std::move(r), id, mode.edition, static_cast<int>(random() % 100)});
    }
    auto isDue = [&](const Due& d) { return d.atMs <= nowMs; };
    for (auto& d : due) {
      if (!isDue(d)) continue;
      auto& stream = *d.request.stream;
      auto body = sim::provenBody(service, d.request.target, d.id.empty() ? "e" + std::to_string(d.edition) : d.id,
                                  static_cast<size_t>(mode.bytes));
      auto share = d.share;
      auto falls = [&](int64_t part) {
        auto isHit = share >= 0 && share < part;
        share -= static_cast<int>(part);
        return isHit;
      };
      auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      if (falls(mode.loseShare)) {
        stream.cut();
      } else if (falls(mode.garbageShare)) {
        stream.note("\x16\x03garbage without end\r\n\r\n" + body);
        stream.cut();
      } else if (falls(mode.cutShare)) {
        stream.note(head + body.substr(0, body.size() / 2));
        stream.cut();
      } else if (falls(mode.endlessShare)) {
        stream.note("HTTP/1.1 200 OK\r\n\r\n" + body);
        stream.cut();
      } else if (falls(mode.spoiltShare)) {
        stream.note(sim::brokenAnswer("X-Spoilt: 1\r\n", body, random));
        stream.cut();
      } else if (falls(mode.longShare)) {
        stream.note(head + body + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
        stream.cut();
      } else {
        caller::Answer answer{falls(mode.errorShare) ? 500 : 200,
                              {{"Content-Type", "text/plain"},
                               {"Dykestage-Load", std::to_string(static_cast<double>(due.size()) /
                                                                 (16.0 * static_cast<double>(capacity)))}},
                              body};
        if (!mode.labels.empty()) answer.headers.emplace_back("Dykestage-Labels", mode.labels);
        if (!mode.cacheControl.empty()) answer.headers.emplace_back("Cache-Control", mode.cacheControl);
        stream.answer(answer, d.request.method, d.request.keep);
        writing.push_back(d.request.stream);
      }
    }
    std::erase_if(due, isDue);
    std::erase_if(writing, [](auto& stream) { return stream->flush(); });
    if (nowMs >= beatAtMs && !mode.isSilent) {
      beatAtMs = nowMs + beatMs;
      upstream::Fetch beat;
      beat.id = nextId++;
      beat.address = registries[registry];
      beat.method = "POST";
      beat.target = "/announce";
      beat.timeoutMs = beatMs * 2;
      beat.body = "{\"instance\":\"" + instance + "\",\"service\":\"" + service + "\",\"kind\":\"" + kind +
                  "\",\"address\":\"" + address + "\",\"site\":\"" + site +
                  "\",\"capacity\":" + std::to_string(capacity) + ",\"state\":\"" +
                  (mode.isEmptying ? "emptying" : "working") + "\"}";
      fetcher.start(std::move(beat));
    }
  }
  LOG(INFO) << "origin: Stopped.";
  return 0;
}
