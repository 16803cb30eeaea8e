// hollow: figures for docs/CAPACITY.md, from many hollow data nodes in virtual time. One line of JSON a run.
#include <glog/logging.h>
#include <malloc.h>

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "caller/edge.hpp"
#include "neighbour/post.hpp"
#include "operator/program.hpp"
#include "sim/fleet.hpp"
#include "sim/hollow.hpp"
#include "upstream/fetcher.hpp"
#include "upstream/shield.hpp"

using namespace dykestage;

namespace {
// ---- runs ---------------------------------------------------------------------------------------------

class Line {
 public:
  auto put(const std::string& key, double value) -> Line& {
    text_ << (isFirst_ ? "{" : ",") << "\"" << key << "\":" << std::setprecision(9) << value;
    isFirst_ = false;
    return *this;
  }
  auto put(const std::string& key, const std::string& value) -> Line& {
    text_ << (isFirst_ ? "{" : ",") << "\"" << key << "\":\"" << value << "\"";
    isFirst_ = false;
    return *this;
  }
  auto print() -> void { std::cout << text_.str() << "}\n" << std::flush; }

 private:
  std::ostringstream text_;
  bool isFirst_ = true;
};

auto kindName(uint8_t kind) -> std::string {
  switch (kind) {
    case neighbour::kTempo:
      return "tempo";
    case neighbour::kHello:
      return "hello";
    case neighbour::kHave:
      return "have";
    case neighbour::kFeed:
      return "feed";
    default:
      return "other";
  }
}

auto runOnce(const std::string& what, const sim::Hollow::Props& props) -> void {
  auto f = sim::Hollow(props).run();
  auto s = static_cast<double>(std::max<int64_t>(1, f.spanMs)) / 1000;
  auto per = [&](auto value) { return static_cast<double>(value) / s; };
  Line line;
  line.put("what", what).put("nodes", static_cast<double>(props.nodes)).put("seed", static_cast<double>(props.seed));
  line.put("registries", static_cast<double>(props.registries))
      .put("regions", static_cast<double>(props.regions))
      .put("boundMs", static_cast<double>(props.boundMs));
  line.put("upstreams", static_cast<double>(props.upstreams))
      .put("routes", static_cast<double>(props.routes))
      .put("spanMs", static_cast<double>(f.spanMs));
  line.put("purgesPerS", props.purgesPerS)
      .put("changesPerS", props.changesPerS)
      .put("restartsPerS", props.restartsPerS);
  line.put("formMs", static_cast<double>(f.formMs));
  line.put("formAgentBytesIn", static_cast<double>(f.formAgent.bytesIn))
      .put("formAgentCpuMs", static_cast<double>(f.formAgent.cpuNs) / 1e6);
  line.put("formRegistryBytesOut", static_cast<double>(f.formRegistry.bytesOut))
      .put("formRegistryCpuMs", static_cast<double>(f.formRegistry.cpuNs) / 1e6);
  auto tally = [&](const std::string& role, const sim::Tally& t) {
    line.put(role + "LettersOutPerS", per(t.lettersOut)).put(role + "LettersInPerS", per(t.lettersIn));
    line.put(role + "BytesOutPerS", per(t.bytesOut)).put(role + "BytesInPerS", per(t.bytesIn));
    line.put(role + "LoopsPerS", per(t.loops)).put(role + "CpuPercent", per(t.cpuNs) / 1e7);
  };
  tally("agent", f.agentMean);
  tally("agentMost", f.agentMost);
  tally("proxy", f.proxyMean);
  tally("registry", f.registryMean);
  tally("registryMost", f.registryMost);
  line.put("agentWithNeighboursCpuPercent",
           per(f.agentMean.cpuNs) / 1e7 + per(f.agentMean.loops) * f.neighboursUs / 1e4);
  std::map<std::string, double> bytes;
  for (const auto& [kind, sum] : f.registryOut)
    bytes[kindName(kind)] += per(sum.second) / static_cast<double>(props.registries);
  for (const auto& [name, value] : bytes)
    line.put("registry" + name + "BytesPerS", value);
  line.put("syncsPerS", f.syncsPerS).put("diskBytesPerS", f.diskBytesPerS).put("neighboursUs", f.neighboursUs);
  auto reach = [&](const std::string& name, const sim::Reach& r) {
    if (r.sent == 0) return;
    line.put(name + "Sent", static_cast<double>(r.sent))
        .put(name + "Acknowledged", static_cast<double>(r.acknowledged));
    line.put(name + "LastP50Ms", static_cast<double>(r.lastP50Ms))
        .put(name + "LastMaxMs", static_cast<double>(r.lastMaxMs));
    line.put(name + "AckP50Ms", static_cast<double>(r.ackP50Ms))
        .put(name + "AckMaxMs", static_cast<double>(r.ackMaxMs));
  };
  reach("purges", f.purges);
  reach("changes", f.changes);
  line.put("membersSeenMs", static_cast<double>(f.membersSeenMs))
      .put("notCurrent", static_cast<double>(f.notCurrent))
      .put("current", static_cast<double>(f.current));
  line.put("followNeighbours", static_cast<double>(f.followNeighbours))
      .put("lettersLost", static_cast<double>(f.lettersLost));
  line.print();
}

// ---- frames -------------------------------------------------------------------------------------------

auto timedUs(int64_t times, const auto& what) -> double {
  auto sinceNs = sim::threadNs();
  for (int64_t i = 0; i < times; ++i)
    what();
  return static_cast<double>(sim::threadNs() - sinceNs) / 1000 / static_cast<double>(times);
}

// Bytes, copies and letters of one frame: what a process holds once, and copies at each change.
auto frameOnce(const std::string& axis, int64_t run, int64_t members, int64_t upstreams, int64_t routes, int64_t purges)
    -> void {
  auto frame = sim::hollowFrame(members, upstreams, routes, purges);
  std::vector<std::shared_ptr<core::Frame>> copies;
  copies.reserve(16);
  auto before = ::mallinfo2();
  auto copyUs = timedUs(16, [&] { copies.push_back(std::make_shared<core::Frame>(frame)); });
  auto after = ::mallinfo2();
  copies.clear();
  auto has = frame.revision;
  auto whole = Writer().put(core::newsSince(frame, {})).take();
  auto without = [&](auto change) {
    auto since = has;
    change(since);
    return core::newsSince(frame, since);
  };
  auto membersNews = without([](auto& r) { r.members = 0; });
  auto upstreamsNews = without([](auto& r) { r.upstreams = 0; });
  auto purgeNews = without([](auto& r) { r.purges = r.purges > 0 ? r.purges - 1 : 0; });
  auto readUs = timedUs(8, [&] { Reader(whole).get<core::News>(); });
  auto onePurge = purgeNews;
  auto purgeUs = timedUs(8, [&] {
    auto next = std::make_shared<core::Frame>(frame);
    ++onePurge.revision.purges;
    core::join(*next, onePurge);
  });
  std::vector<std::string> names;
  for (const auto& [name, member] : frame.members)
    names.push_back(name);
  auto neighboursUs = timedUs(4, [&] { neighbour::rendezvous("edge-0001", names); });
  std::vector<uint64_t> hashes;
  for (const auto& name : names)
    hashes.push_back(neighbour::hash(name));
  auto heaviestUs = timedUs(200, [&] { neighbour::heaviest(neighbour::hash("/objects/1/cover-7"), hashes, 3); });
  // What an edge that fetches itself does with a frame in which only purges are new.
  auto cache = std::make_shared<policy::Cache>(16 << 20);
  caller::Edge::Props edgeProps;
  edgeProps.name = "edge-0001", edgeProps.fetches = true;
  caller::Edge edge(edgeProps, cache);
  upstream::Shield::Props shieldProps;
  shieldProps.name = "edge-0001", shieldProps.kind = "proxy";
  upstream::Shield shield(shieldProps, cache);
  std::vector<std::shared_ptr<core::Frame>> frames;
  for (uint64_t i = 0; i < 9; ++i) {
    frames.push_back(std::make_shared<core::Frame>(frame));
    frames.back()->revision.purges += i;
    frames.back()->purges.push_back(
        {frames.back()->revision.purges, "host-1.example", "/objects/1/cover-" + std::to_string(i), ""});
  }
  size_t at = 0;
  auto takeFrameUs = timedUs(1, [&] { edge.takeFrame({frames[0], 1}, 1), shield.takeFrame({frames[0], 1}, 1); });
  takeFrameUs = timedUs(8, [&] {
    ++at;
    edge.takeFrame({frames[at], 1}, 1);
    shield.takeFrame({frames[at], 1}, 1);
  });
  auto size = axis == "members" || axis == "target" ? members
              : axis == "upstreams"                 ? upstreams
              : axis == "routes"                    ? routes
                                                    : purges;
  Line line;
  line.put("what", "frame-" + axis).put("nodes", static_cast<double>(size)).put("seed", static_cast<double>(run));
  line.put("frameBytes", static_cast<double>(after.uordblks + after.hblkhd - before.uordblks - before.hblkhd) / 16);
  line.put("copyUs", copyUs).put("purgeUs", purgeUs).put("readUs", readUs).put("neighboursUs", neighboursUs);
  line.put("heaviestUs", heaviestUs).put("takeFrameUs", takeFrameUs);
  line.put("wholeBytes", static_cast<double>(whole.size()));
  line.put("membersNewsBytes", static_cast<double>(Writer().put(membersNews).take().size()));
  line.put("upstreamsNewsBytes", static_cast<double>(Writer().put(upstreamsNews).take().size()));
  line.put("purgeNewsBytes", static_cast<double>(Writer().put(purgeNews).take().size()));
  line.print();
}

// A cache of so many small objects: what it holds beyond their bodies.
auto cacheOnce(int64_t run, int64_t objects) -> void {
  constexpr int64_t kBody = 1000;
  auto before = ::mallinfo2();
  policy::Cache cache(size_t{1} << 40);
  auto putUs = timedUs(1, [&] {
    for (int64_t i = 0; i < objects; ++i) {
      policy::Copy copy;
      copy.headers = {
          {"Content-Type", "image/webp"}, {"Cache-Control", "max-age=600"}, {"ETag", "\"" + std::to_string(i) + "\""}};
      copy.body = std::string(kBody, 'x');
      copy.keepMs = 600000;
      cache.put("host-1.example", "/objects/1/cover-" + std::to_string(i), {}, std::move(copy),
                {"label-" + std::to_string(i % 1000)});
    }
  });
  auto after = ::mallinfo2();
  auto held = static_cast<double>(after.uordblks + after.hblkhd - before.uordblks - before.hblkhd);
  Line line;
  line.put("what", "frame-cache").put("nodes", static_cast<double>(objects)).put("seed", static_cast<double>(run));
  line.put("overheadBytes", held / static_cast<double>(objects) - kBody)
      .put("putUs", putUs / static_cast<double>(objects));
  line.print();
}

// ---- real processes -----------------------------------------------------------------------------------

struct Usage {
  double rssKb = 0, cpuNs = 0, descriptors = 0, threads = 0;
  int count = 0;
};

auto countOf(const std::string& folder) -> double {
  std::error_code error;
  auto list = std::filesystem::directory_iterator(folder, error);
  return error ? 0 : static_cast<double>(std::distance(list, std::filesystem::directory_iterator()));
}

// This process's children, by program.
auto usage() -> std::map<std::string, Usage> {
  std::map<std::string, Usage> all;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator("/proc", error)) {
    auto folder = entry.path().string();
    std::string name, key, line;
    pid_t parent = 0;
    Usage one;
    std::ifstream status(folder + "/status");
    while (std::getline(status, line)) {
      std::istringstream in(line);
      in >> key;
      if (key == "Name:") in >> name;
      if (key == "PPid:") in >> parent;
      if (key == "VmRSS:") in >> one.rssKb;
      if (key == "Threads:") in >> one.threads;
    }
    if (parent != ::getpid()) continue;
    one.descriptors = countOf(folder + "/fd");
    for (const auto& task : std::filesystem::directory_iterator(folder + "/task", error)) {
      double ns = 0;
      std::ifstream(task.path().string() + "/schedstat") >> ns;
      one.cpuNs += ns;
    }
    auto& sum = all[name];
    sum.rssKb += one.rssKb, sum.cpuNs += one.cpuNs, sum.descriptors += one.descriptors, sum.threads += one.threads,
        ++sum.count;
  }
  return all;
}

auto syncsOf(sim::Fleet& fleet) -> double {
  double syncs = 0;
  for (const auto& address : fleet.https("registry")) {
    upstream::Fetch fetch;
    fetch.address = address;
    fetch.target = "/status";
    auto json = op::parse(upstream::fetchOnce(fetch).body);
    if (const auto* item = json ? cJSON_GetObjectItemCaseSensitive(json.get(), "syncs") : nullptr)
      syncs += item->valuedouble;
  }
  return syncs;
}

// A fleet of real processes without traffic, edges that fetch themselves; purges at a rate if wanted.
auto processesOnce(const std::string& what, int64_t run, const sim::Hollow::Props& props) -> bool {
  sim::Fleet::Props of;
  of.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
  of.folder = "run/hollow-" + std::to_string(::getpid());
  std::filesystem::remove_all(of.folder);
  of.sites = {"a", "b", "c", "d"};
  of.linkUs = 500;
  of.registries = static_cast<int>(props.registries);
  of.shields = 0;
  of.edges = static_cast<int>(props.nodes);
  of.boundMs = props.boundMs;
  of.edgeExtra = ",\"fetches\":true,\"threads\":1";
  of.registryExtra = ",\"servesStale\":true";
  sim::Fleet fleet(of);
  fleet.startAll();
  if (!fleet.awaitReady(60000)) {
    std::cerr << "hollow: the fleet did not become ready\n";
    return false;
  }
  ::usleep(static_cast<useconds_t>(props.settleMs * 1000));
  auto before = usage();
  auto syncs = syncsOf(fleet);
  auto sinceMs = neighbour::steadyMs();
  upstream::Fetcher fetcher;
  std::vector<pollfd> none;
  std::map<uint64_t, int64_t> sentMs;
  std::vector<int64_t> tookMs;
  uint64_t sent = 0;
  auto registries = fleet.https("registry");
  for (auto nowMs = sinceMs; nowMs - sinceMs < props.spanMs; nowMs = neighbour::steadyMs()) {
    if (props.purgesPerS > 0 &&
        static_cast<double>(sent) < static_cast<double>(nowMs - sinceMs) * props.purgesPerS / 1000) {
      upstream::Fetch fetch;
      fetch.id = ++sent;
      fetch.address = registries[sent % registries.size()];
      fetch.method = "POST";
      fetch.target = "/purge";
      fetch.body = "{\"host\":\"host-1.example\",\"path\":\"/objects/1/object-" + std::to_string(sent) + "\"}";
      fetch.timeoutMs = 10000;
      sentMs[sent] = nowMs;
      fetcher.start(std::move(fetch));
    }
    for (auto& f : fetcher.run(none, 20))
      if (f.status == 200) tookMs.push_back(neighbour::steadyMs() - sentMs[f.id]);
  }
  auto seconds = static_cast<double>(neighbour::steadyMs() - sinceMs) / 1000;
  auto after = usage();
  std::sort(tookMs.begin(), tookMs.end());
  for (const auto& [name, sum] : after) {
    Line line;
    line.put("what", what + "-" + name)
        .put("nodes", static_cast<double>(props.nodes))
        .put("seed", static_cast<double>(run));
    line.put("rssKb", sum.rssKb / sum.count)
        .put("descriptors", sum.descriptors / sum.count)
        .put("threads", sum.threads / sum.count);
    line.put("cpuPercent", (sum.cpuNs - before[name].cpuNs) / sum.count / seconds / 1e7);
    if (name == "registry") line.put("syncsPerSReal", (syncsOf(fleet) - syncs) / sum.count / seconds);
    if (name == "registry" && !tookMs.empty())
      line.put("purgesSent", static_cast<double>(sent))
          .put("purgesAckP50Ms", static_cast<double>(tookMs[tookMs.size() / 2]))
          .put("purgesAckMaxMs", static_cast<double>(tookMs.back()));
    line.print();
  }
  return true;
}

// ---- the report ---------------------------------------------------------------------------------------

struct Point {
  double least = 0, mean = 0, most = 0;
  int runs = 0;
};
using Series = std::map<double, Point>;  // by size

struct Fit {
  double base = 0, slope = 0, errorPercent = 0;  // errorPercent: largest residual, of the largest value
};

// Least squares over the sizes up to one. Example: `fitOf(series, 320)`
auto fitOf(const Series& series, double upTo) -> Fit {
  double n = 0, sx = 0, sy = 0, sxx = 0, sxy = 0, top = 0;
  for (const auto& [x, p] : series) {
    if (x > upTo) continue;
    ++n, sx += x, sy += p.mean, sxx += x * x, sxy += x * p.mean, top = std::max(top, std::abs(p.mean));
  }
  Fit fit;
  if (n < 2) return fit;
  fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  fit.base = (sy - fit.slope * sx) / n;
  for (const auto& [x, p] : series)
    if (x <= upTo && top > 0)
      fit.errorPercent = std::max(fit.errorPercent, 100 * std::abs(p.mean - fit.base - fit.slope * x) / top);
  return fit;
}

// How steeply it grows between the two largest sizes: 1 is a line, 2 a square. Example: `exponentOf(series)`
auto exponentOf(const Series& series) -> double {
  if (series.size() < 2) return 0;
  const auto& [x, p] = *series.rbegin();
  const auto& [y, q] = *std::next(series.rbegin());
  return p.mean > 0 && q.mean > 0 ? std::log(p.mean / q.mean) / std::log(x / y) : 0;
}

auto shortly(double value) -> std::string {
  std::ostringstream out;
  auto magnitude = std::abs(value);
  if (magnitude >= 100)
    out << std::fixed << std::setprecision(0) << value;
  else
    out << std::setprecision(magnitude >= 10 ? 3 : 2) << value;
  return out.str();
}

// Points with their range, the line that fits them, and a budget if there is one.
auto plot(const std::string& file, const std::string& title, const std::string& unit, const Series& series,
          const Fit& fit, double budget) -> void {
  constexpr double width = 420, height = 240, left = 64, bottom = 36, top = 28, right = 12;
  auto mostX = series.rbegin()->first;
  auto mostY = std::max(budget, fit.base + fit.slope * mostX);
  for (const auto& [x, p] : series)
    mostY = std::max(mostY, p.most);
  mostY *= 1.05;
  auto atX = [&](double x) { return left + (width - left - right) * x / mostX; };
  auto atY = [&](double y) { return height - bottom - (height - top - bottom) * std::max(0.0, y) / mostY; };
  std::ofstream svg(file);
  svg << std::fixed << std::setprecision(1);
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
      << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"8\" y=\"16\" font-size=\"12\">" << title
      << ", " << unit << "</text>\n"
      << "<path d=\"M" << left << " " << top << "V" << height - bottom << "H" << width - right
      << "\" fill=\"none\" stroke=\"black\"/>\n";
  for (int i = 0; i <= 4; ++i)
    svg << "<text x=\"" << left - 4 << "\" y=\"" << atY(mostY * i / 4) + 4 << "\" text-anchor=\"end\">"
        << shortly(mostY * i / 4) << "</text>\n";
  for (const auto& [x, p] : series) {
    svg << "<text x=\"" << atX(x) << "\" y=\"" << height - bottom + 14 << "\" text-anchor=\"middle\">" << shortly(x)
        << "</text>\n"
        << "<path d=\"M" << atX(x) << " " << atY(p.least) << "V" << atY(p.most) << "\" stroke=\"#1f5fa8\"/>\n"
        << "<circle cx=\"" << atX(x) << "\" cy=\"" << atY(p.mean) << "\" r=\"3\" fill=\"#1f5fa8\"/>\n";
  }
  svg << "<path d=\"M" << atX(0) << " " << atY(fit.base) << "L" << atX(mostX) << " "
      << atY(fit.base + fit.slope * mostX) << "\" stroke=\"#888\" stroke-dasharray=\"4 3\"/>\n";
  if (budget > 0)
    svg << "<path d=\"M" << left << " " << atY(budget) << "H" << width - right << "\" stroke=\"#b02020\"/>\n<text x=\""
        << width - right << "\" y=\"" << atY(budget) - 3 << "\" text-anchor=\"end\" fill=\"#b02020\">budget "
        << shortly(budget) << "</text>\n";
  svg << "</svg>\n";
}

struct Shown {
  std::string key, unit;
  double budget = 0;
};

auto report(const std::vector<std::string>& files, const std::string& plots) -> int {
  std::map<std::string, std::map<std::string, Series>> all;  // by what, then by figure
  for (const auto& file : files) {
    std::ifstream in(file);
    for (std::string text; std::getline(in, text);) {
      auto json = op::parse(text);
      if (!json) continue;
      const auto* what = cJSON_GetObjectItemCaseSensitive(json.get(), "what");
      const auto* nodes = cJSON_GetObjectItemCaseSensitive(json.get(), "nodes");
      if (!cJSON_IsString(what) || !cJSON_IsNumber(nodes)) continue;
      // Rows named so are told by their rate, all others by their number of nodes.
      auto isByRate = std::string(what->valuestring).ends_with("-rate");
      const auto* size = isByRate ? cJSON_GetObjectItemCaseSensitive(json.get(), "purgesPerS") : nodes;
      for (const auto* item = json->child; item; item = item->next) {
        if (!cJSON_IsNumber(item)) continue;
        auto& p = all[what->valuestring][item->string][size->valuedouble];
        auto v = item->valuedouble;
        p.least = p.runs ? std::min(p.least, v) : v;
        p.most = p.runs ? std::max(p.most, v) : v;
        p.mean = (p.mean * p.runs + v) / (p.runs + 1);
        ++p.runs;
      }
    }
  }
  const std::vector<Shown> shown = {{"agentLettersOutPerS", "letters/s"},
                                    {"agentBytesOutPerS", "B/s"},
                                    {"agentBytesInPerS", "B/s", 3000},
                                    {"agentCpuPercent", "% of a core"},
                                    {"agentWithNeighboursCpuPercent", "% of a core", 3},
                                    {"proxyCpuPercent", "% of a core", 3},
                                    {"agentLoopsPerS", "wake-ups/s"},
                                    {"neighboursUs", "us"},
                                    {"registryLettersInPerS", "letters/s"},
                                    {"registryBytesInPerS", "B/s"},
                                    {"registryBytesOutPerS", "B/s"},
                                    {"registryfeedBytesPerS", "B/s"},
                                    {"registryhaveBytesPerS", "B/s"},
                                    {"registrytempoBytesPerS", "B/s"},
                                    {"registryCpuPercent", "% of a core", 100},
                                    {"syncsPerS", "syncs/s"},
                                    {"diskBytesPerS", "B/s"},
                                    {"purgesLastP50Ms", "ms"},
                                    {"purgesLastMaxMs", "ms", 3900},
                                    {"purgesAckP50Ms", "ms"},
                                    {"purgesAckMaxMs", "ms", 3900},
                                    {"changesLastMaxMs", "ms", 11000},
                                    {"changesAckMaxMs", "ms", 11000},
                                    {"membersSeenMs", "ms"},
                                    {"notCurrent", "nodes"},
                                    {"current", "nodes"},
                                    {"followNeighbours", "nodes"},
                                    {"formAgentBytesIn", "B"},
                                    {"formAgentCpuMs", "ms"},
                                    {"formRegistryBytesOut", "B"},
                                    {"formRegistryCpuMs", "ms"},
                                    {"frameBytes", "B"},
                                    {"copyUs", "us"},
                                    {"purgeUs", "us"},
                                    {"readUs", "us"},
                                    {"takeFrameUs", "us"},
                                    {"heaviestUs", "us"},
                                    {"overheadBytes", "B"},
                                    {"putUs", "us"},
                                    {"wholeBytes", "B"},
                                    {"membersNewsBytes", "B"},
                                    {"upstreamsNewsBytes", "B"},
                                    {"purgeNewsBytes", "B"},
                                    {"rssKb", "KB"},
                                    {"cpuPercent", "% of a core"},
                                    {"descriptors", "open"},
                                    {"threads", "threads"},
                                    {"syncsPerSReal", "syncs/s"}};
  for (const auto& [what, figures] : all) {
    std::cout << "\n### " << what
              << "\n\n| figure | points: size: mean (least to most) | base + slope x size | largest residual | "
                 "exponent at the end | largest size, foretold from the smaller |\n|---|---|---|---|---|---|\n";
    for (const auto& one : shown) {
      auto it = figures.find(one.key);
      if (it == figures.end()) continue;
      const auto& series = it->second;
      if (std::all_of(series.begin(), series.end(), [](const auto& p) { return p.second.most < 0; }))
        continue;  // did not happen
      auto largest = series.rbegin()->first;
      auto fit = fitOf(series, largest);
      auto foretold = series.size() < 4 ? std::string("-") : shortly([&] {
        auto smaller = fitOf(series, std::prev(series.end(), 2)->first);
        return smaller.base + smaller.slope * largest;
      }());
      std::string points;
      for (const auto& [x, p] : series)
        points += (points.empty() ? "" : "; ") + shortly(x) + ": " + shortly(p.mean) +
                  (p.least == p.most ? "" : " (" + shortly(p.least) + " to " + shortly(p.most) + ")");
      std::cout << "| " << one.key << ", " << one.unit << " | " << points << " | " << shortly(fit.base) << " + "
                << shortly(fit.slope) << " n | " << shortly(fit.errorPercent) << "% | " << shortly(exponentOf(series))
                << " | " << foretold << " |\n";
      if (!plots.empty() && series.size() >= 4)
        plot(plots + "/" + what + "-" + one.key + ".svg", what + ": " + one.key, one.unit, series, fit, one.budget);
    }
  }
  return 0;
}
}  // namespace

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv,
                                    "hollow: figures for docs/CAPACITY.md, one line of JSON a run\n"
                                    "  hollow run            hollow nodes in virtual time, as the settings say\n"
                                    "  hollow frames         one frame at many sizes: bytes, copies, letters\n"
                                    "  hollow processes      real processes without traffic, from /proc\n"
                                    "  hollow report FILE..  fits and plots of such lines");
  auto& s = program.settings();
  sim::Hollow::Props props;
  std::string what = "idle", plots, scenario;
  int64_t runs = 3, first = 1;
  s.text("what", what);  // names the row in the report
  s.integer("runs", 1, 100, runs);
  s.integer("first", 0, 1 << 30, first);
  s.integer("nodes", 1, 5000, props.nodes);
  s.integer("registries", 3, 30, props.registries);
  s.integer("faults", 1, 14, props.faults);
  s.integer("regions", 1, 100, props.regions);
  s.integer("zones", 1, 1000, props.zones);
  s.integer("boundMs", 400, 60000, props.boundMs);
  s.integer("upstreams", 0, 10000, props.upstreams);
  s.integer("routes", 0, 100000, props.routes);
  s.integer("joinMs", 0, 600000, props.joinMs);
  s.integer("settleMs", 0, 600000, props.settleMs);
  s.integer("spanMs", 100, 3600000, props.spanMs);
  s.number("purgesPerS", 0, 1000, props.purgesPerS);
  s.number("changesPerS", 0, 1000, props.changesPerS);
  s.number("restartsPerS", 0, 1000, props.restartsPerS);
  s.flag("losesZone", props.losesZone);
  s.flag("cutsRegions", props.cutsRegions);
  s.text("plots", plots);
  program.ready();
  FLAGS_minloglevel = google::GLOG_ERROR;
  auto words = program.words();
  if (words.size() == 1 && words[0] == "run") {
    for (auto seed = first; seed < first + runs; ++seed) {
      props.seed = static_cast<uint64_t>(seed);
      runOnce(what, props);
    }
    return 0;
  }
  if (words.size() == 1 && words[0] == "processes") {
    auto isWell = true;
    for (auto run = first; run < first + runs; ++run)
      isWell = processesOnce(what, run, props) && isWell;
    return isWell ? 0 : 1;
  }
  if (words.size() == 1 && words[0] == "frames") {
    for (auto run = first; run < first + runs; ++run) {
      for (auto n : {20, 80, 320, 1300})
        frameOnce("members", run, n, 0, 0, 0);
      for (auto n : {20, 45, 90, 180})
        frameOnce("upstreams", run, 0, n, 0, 0);
      for (auto n : {50, 200, 800, 3200})
        frameOnce("routes", run, 0, 0, n, 0);
      for (auto n : {125, 500, 1000, 2000})
        frameOnce("purges", run, 0, 0, 0, n);
      frameOnce("target", run, 1300, 180, 1000, 2000);
      for (auto n : {1000, 4000, 16000, 64000})
        cacheOnce(run, n);
    }
    return 0;
  }
  if (words.size() > 1 && words[0] == "report") return report({words.begin() + 1, words.end()}, plots);
  std::cerr << "hollow: say run, frames, processes, or report and files\n";
  return 2;
}
