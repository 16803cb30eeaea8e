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
    auto at = [&](double q) {
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
  std::vector<std::string> edges;
  int64_t speedPercent = 100, timeoutMs = 3000, seed = 1;
  if (is("play", 2)) program.addresses("edges", edges, 1);
  s.integer("speedPercent", 1, 100000, speedPercent);
  s.integer("timeoutMs", 100, 60000, timeoutMs);
  s.integer("seed", 0, 1LL << 50, seed);
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
  std::vector<Line> lines(day->size());
  upstream::Fetcher fetcher;
  std::vector<pollfd> none;
  auto startMs = neighbour::steadyMs();
  auto firstMs = day->empty() ? 0 : day->front().atMs;
  size_t next = 0;
  std::map<uint64_t, int64_t> sinceMs;
  while (next < day->size() || fetcher.open() > 0) {
    auto nowMs = neighbour::steadyMs();
    for (; next < day->size() && ((*day)[next].atMs - firstMs) * 100 / speedPercent <= nowMs - startMs; ++next) {
      const auto& r = (*day)[next];
      upstream::Fetch fetch;
      fetch.id = next;
      // Which edge is asked, and what bodies hold, follows from the record and the seed alone.
      auto choice = neighbour::hash(std::to_string(seed) + "\n" + std::to_string(next) + "\n" + r.target);
      fetch.address = edges[choice % edges.size()];
      fetch.method = r.method;
      fetch.target = r.target;
      fetch.timeoutMs = timeoutMs;
      fetch.isWrite = r.method != "GET" && r.method != "HEAD";
      fetch.headers = {{"Host", r.host}};
      // Writes are told apart by a name; reads of one object stay alike, so that the copies kept of it do too.
      auto name = "replay-" + std::to_string(seed) + "-" + std::to_string(next);
      if (fetch.isWrite) fetch.headers.emplace_back("X-Request-Id", name);
      if (r.hasKey) fetch.headers.emplace_back("Idempotency-Key", name);
      fetch.body.assign(static_cast<size_t>(r.bodyBytes), 'r');
      sinceMs[next] = nowMs;
      fetcher.start(std::move(fetch));
    }
    for (auto& f : fetcher.run(none, 2)) {
      auto code = caller::header(f.headers, "dykestage-code");
      auto& line = lines[f.id];
      line.status =
          f.fault != upstream::Fault::kNone ? "lost" : std::to_string(f.status) + (code.empty() ? "" : "/" + code);
      line.tookMs = neighbour::steadyMs() - sinceMs[f.id];
      line.bodyHash = neighbour::hash(f.body);
    }
  }
  std::ofstream out(words[2]);
  for (size_t i = 0; i < lines.size(); ++i)
    out << lines[i].status << " " << lines[i].tookMs << " " << lines[i].bodyHash << " " << (*day)[i].method << " "
        << (*day)[i].host << " " << (*day)[i].target << "\n";
  if (!out) {
    std::cerr << "replay: cannot write " << words[2] << "\n";
    return 2;
  }
  print(lines);
  return 0;
}
