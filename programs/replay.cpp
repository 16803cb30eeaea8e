// replay: plays a recorded day against a fleet, at a chosen speed, and reports; compares two reports.
#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>

#include "caller/face.hpp"
#include "caller/record.hpp"
#include "neighbour/post.hpp"
#include "operator/program.hpp"
#include "upstream/fetcher.hpp"

using namespace dykestage;

namespace {
// What one request of the record came to.
struct Line {
  std::string request, status;
  int64_t tookMs = 0;
  uint64_t bodyHash = 0;
};

auto readReport(const std::string& path) -> std::optional<std::vector<Line>> {
  std::ifstream in(path);
  if (!in) return std::nullopt;
  std::vector<Line> lines;
  Line line;
  std::string method, host, target;
  while (in >> line.status >> line.tookMs >> line.bodyHash >> method >> host >> target) {
    line.request = method + " " + host + " " + target;
    lines.push_back(line);
  }
  return lines;
}

auto print(const std::vector<Line>& lines) -> void {
  std::map<std::string, std::vector<int64_t>> byStatus;
  for (const auto& l : lines)
    byStatus[l.status].push_back(l.tookMs);
  std::cout << "status     count      p50      p95      p99      max\n";
  for (auto& [status, took] : byStatus) {
    std::sort(took.begin(), took.end());
    auto at = [&, &took = took](double q) {
      return took[std::min(took.size() - 1, static_cast<size_t>(q * static_cast<double>(took.size())))];
    };
    std::cout << std::left << std::setw(8) << status << std::right << std::setw(8) << took.size() << std::setw(9)
              << at(0.5) << std::setw(9) << at(0.95) << std::setw(9) << at(0.99) << std::setw(9) << took.back() << "\n";
  }
}

auto compare(const std::vector<Line>& a, const std::vector<Line>& b) -> int {
  if (a.size() != b.size()) std::cout << "the reports have " << a.size() << " and " << b.size() << " requests\n";
  uint64_t status = 0, body = 0, shown = 0;
  std::vector<double> ratios;
  for (size_t i = 0; i < std::min(a.size(), b.size()); ++i) {
    if (a[i].request != b[i].request) {
      std::cout << "request " << i + 1 << " differs: the reports are of different records\n";
      return 1;
    }
    if (a[i].status != b[i].status) {
      ++status;
      if (shown++ < 10)
        std::cout << "request " << i + 1 << " " << a[i].request << ": " << a[i].status << " and " << b[i].status
                  << "\n";
    } else if (a[i].bodyHash != b[i].bodyHash) {
      ++body;
    }
    ratios.push_back((1.0 + static_cast<double>(b[i].tookMs)) / (1.0 + static_cast<double>(a[i].tookMs)));
  }
  std::sort(ratios.begin(), ratios.end());
  std::cout << "answers with another status: " << status << ", with another body: " << body << "\n";
  if (!ratios.empty())
    std::cout << "time taken, second by first: median " << ratios[ratios.size() / 2] << ", 95% within "
              << ratios[ratios.size() * 95 / 100] << "\n";
  return status == 0 ? 0 : 1;
}

/// How a record is played.
struct PlayOptions {
  std::vector<std::string> edges;
  int64_t speedPercent = 100;
  int64_t timeoutMs = 3000;
  int64_t seed = 1;
};

// Which edge is asked, and what bodies hold, follows from the record and the seed alone.
auto fetchFor(const caller::Recorded& request, size_t index, const PlayOptions& options) -> upstream::Fetch {
  auto seed = std::to_string(options.seed);
  auto choice = neighbour::hash(seed + "\n" + std::to_string(index) + "\n" + request.target);
  // Writes are told apart by a name; reads of one object stay alike, so that the copies kept of it do too.
  auto name = "replay-" + seed + "-" + std::to_string(index);
  upstream::Fetch fetch;
  fetch.id = index;
  fetch.address = options.edges[choice % options.edges.size()];
  fetch.method = request.method;
  fetch.target = request.target;
  fetch.timeoutMs = options.timeoutMs;
  fetch.isWrite = request.method != "GET" && request.method != "HEAD";
  fetch.headers = {{"Host", request.host}};
  if (fetch.isWrite) fetch.headers.emplace_back("X-Request-Id", name);
  if (request.hasKey) fetch.headers.emplace_back("Idempotency-Key", name);
  fetch.body = std::string(static_cast<size_t>(request.bodyBytes), 'r');
  return fetch;
}

auto lineFor(const upstream::Fetched& fetched, int64_t tookMs) -> Line {
  auto code = caller::header(fetched.headers, "dykestage-code");
  Line line;
  line.status = fetched.fault != upstream::Fault::kNone
                    ? "lost"
                    : std::to_string(fetched.status) + (code.empty() ? "" : "/" + code);
  line.tookMs = tookMs;
  line.bodyHash = neighbour::hash(fetched.body);
  return line;
}

// Sends each request at its recorded time, by the speed, and waits for all of them to end.
auto play(const std::vector<caller::Recorded>& day, const PlayOptions& options) -> std::vector<Line> {
  std::vector<Line> lines(day.size());
  upstream::Fetcher fetcher;
  std::vector<pollfd> none;
  auto startMs = neighbour::steadyMs();
  auto firstMs = day.empty() ? 0 : day.front().atMs;
  size_t next = 0;
  std::map<uint64_t, int64_t> sinceMs;
  while (next < day.size() || fetcher.open() > 0) {
    auto nowMs = neighbour::steadyMs();
    auto isDue = [&](int64_t atMs) { return (atMs - firstMs) * 100 / options.speedPercent <= nowMs - startMs; };
    for (; next < day.size() && isDue(day[next].atMs); ++next) {
      sinceMs[next] = nowMs;
      fetcher.start(fetchFor(day[next], next, options));
    }
    for (const auto& fetched : fetcher.run(none, 2))
      lines[fetched.id] = lineFor(fetched, neighbour::steadyMs() - sinceMs[fetched.id]);
  }
  return lines;
}

auto writeReport(const std::string& path, const std::vector<caller::Recorded>& day, const std::vector<Line>& lines)
    -> bool {
  std::ofstream out(path);
  for (size_t i = 0; i < lines.size(); ++i)
    out << lines[i].status << " " << lines[i].tookMs << " " << lines[i].bodyHash << " " << day[i].method << " "
        << day[i].host << " " << day[i].target << "\n";
  return static_cast<bool>(out);
}
}  // namespace

auto main(int argc, char** argv) -> int {
  constexpr auto kWords =
      "replay: plays a recorded day\n"
      "  replay play RECORD REPORT     plays a record, writes a report\n"
      "  replay show REPORT            counts and times of a report\n"
      "  replay compare REPORT REPORT  differences between two";
  auto program = op::Program::start(argc, argv, kWords);
  auto& s = program.settings();
  const auto words = program.words();
  auto is = [&](const char* word, size_t count) { return words.size() == count + 1 && words[0] == word; };
  PlayOptions options;
  if (is("play", 2)) program.addresses("edges", options.edges, 1);
  s.integer("speedPercent", 1, 100000, options.speedPercent);
  s.integer("timeoutMs", 100, 60000, options.timeoutMs);
  s.integer("seed", 0, 1LL << 50, options.seed);
  program.ready();
  if (is("show", 1) || is("compare", 2)) {
    auto first = readReport(words[1]), second = readReport(words.back());
    if (!first || !second) {
      std::cerr << "replay: cannot read the report\n";
      return 2;
    }
    if (is("compare", 2)) return compare(*first, *second);
    print(*first);
    return 0;
  }
  if (!is("play", 2)) {
    std::cerr << kWords << "\n";
    return 2;
  }
  std::string reason;
  auto day = caller::readRecord(words[1], reason);
  if (!day) {
    std::cerr << "replay: " << reason << "\n";
    return 2;
  }
  auto lines = play(*day, options);
  if (!writeReport(words[2], *day, lines)) {
    std::cerr << "replay: cannot write " << words[2] << "\n";
    return 2;
  }
  print(lines);
  return 0;
}
