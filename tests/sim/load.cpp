#include "sim/load.hpp"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <iomanip>
#include <sstream>

#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "sim/standin.hpp"

namespace dykestage::sim {

auto Load::take(op::Program& program) -> Props {
  Props props;
  auto& s = program.settings();
  s.integer("perSecond", 1, 20000, props.perSecond);
  s.integer("seconds", 1, 3600, props.seconds);
  s.integer("seed", 0, 1LL << 50, props.seed);
  s.integer("timeoutMs", 100, 60000, props.timeoutMs);
  s.flag("retriesAtOnce", props.retriesAtOnce);
  s.flag("repeatsKeyed", props.repeatsKeyed);
  std::string targets;
  s.text("targets", targets, true);
  auto text = op::readFile(targets);
  auto json = op::parse(text.value_or(""));
  if (!json) {
    s.fault("targets", "must be a file that the fleet wrote");
  } else {
    const auto* edges = cJSON_GetObjectItemCaseSensitive(json.get(), "edges");
    for (const auto* e = edges ? edges->child : nullptr; e; e = e->next) {
      const auto* address = cJSON_GetObjectItemCaseSensitive(e, "address");
      const auto* site = cJSON_GetObjectItemCaseSensitive(e, "site");
      const auto* status = cJSON_GetObjectItemCaseSensitive(e, "status");
      if (cJSON_IsString(address) && cJSON_IsString(site) && cJSON_IsString(status))
        props.edges.push_back({address->valuestring, site->valuestring, status->valuestring});
    }
    const auto* accounts = cJSON_GetObjectItemCaseSensitive(json.get(), "accounts");
    for (const auto* a = accounts ? accounts->child : nullptr; a; a = a->next)
      if (cJSON_IsString(a)) props.accounts[a->string] = a->valuestring;
    if (props.edges.empty()) s.fault("targets", "names no edges");
  }
  if (const auto* rates = s.raw("agreedRates"))
    for (const auto* r = rates->child; r; r = r->next)
      if (cJSON_IsNumber(r)) props.agreedRates[r->string] = static_cast<int64_t>(r->valuedouble);
  const auto* kinds = s.raw("kinds");
  if (!cJSON_IsArray(kinds) || !kinds->child) s.fault("kinds", "must be a list with at least one kind");
  for (const auto* k = cJSON_IsArray(kinds) ? kinds->child : nullptr; k; k = k->next) {
    Kind kind;
    std::vector<op::Fault> faults;
    op::Fields f(k, "kinds", faults);
    f.text("name", kind.name, true);
    f.text("host", kind.host, true);
    f.text("service", kind.service, true);
    f.text("method", kind.method);
    f.text("prefix", kind.prefix, true);
    f.integer("range", 1, 1000000000, kind.range);
    f.integer("weight", 1, 1000000, kind.weight);
    f.flag("hasKey", kind.hasKey);
    f.close();
    for (const auto& fault : faults)
      s.fault(fault.place, fault.what);
    props.kinds.push_back(kind);
  }
  return props;
}

auto Load::ask(Open open) -> void {
  const auto& kind = props_.kinds[open.kind];
  auto nowMs = neighbour::steadyMs();
  std::vector<std::string> edges;
  for (const auto& edge : props_.edges) {
    auto ready = ready_.find(edge.address);
    if (shunned_[edge.address] <= nowMs && (ready == ready_.end() || ready->second)) edges.push_back(edge.address);
  }
  if (edges.empty()) edges.push_back(props_.edges[random_() % props_.edges.size()].address);
  open.edge = edges[random_() % edges.size()];
  upstream::Fetch fetch;
  fetch.id = nextId_++;
  fetch.address = open.edge;
  fetch.method = kind.method;
  fetch.target = open.target;
  fetch.timeoutMs = props_.timeoutMs;
  fetch.isWrite = kind.method != "GET";
  fetch.headers = {{"Host", kind.host}};
  if (fetch.isWrite) {
    fetch.headers.emplace_back("X-Request-Id", open.id);
    if (kind.hasKey) fetch.headers.emplace_back("Idempotency-Key", open.id);
    fetch.headers.emplace_back("Content-Type", "text/plain");
    fetch.body = "body of " + open.id;
  }
  open_[fetch.id] = std::move(open);
  fetcher_.start(std::move(fetch));
}

auto Load::askReady(int64_t nowMs) -> void {
  if (nowMs - readyMs_ < 1000) return;
  readyMs_ = nowMs;
  for (const auto& edge : props_.edges) {
    upstream::Fetch fetch;
    fetch.id = nextId_++;
    fetch.address = edge.status;
    fetch.target = "/ready";
    fetch.timeoutMs = 900;
    readyAsks_[fetch.id] = edge.address;
    fetcher_.start(std::move(fetch));
  }
}

auto Load::run(const std::function<void(int64_t)>& during) -> Report {
  Report report;
  std::vector<size_t> wheel;
  for (size_t i = 0; i < props_.kinds.size(); ++i)
    for (int64_t n = 0; n < props_.kinds[i].weight; ++n)
      wheel.push_back(i);
  auto startMs = neighbour::steadyMs();
  auto endMs = startMs + props_.seconds * 1000;
  int64_t sent = 0;
  std::vector<pollfd> none;
  for (;;) {
    auto nowMs = neighbour::steadyMs();
    auto isOver = nowMs >= endMs;
    if (isOver && (open_.empty() || nowMs > endMs + props_.timeoutMs + 2000)) break;
    during(nowMs - startMs);
    auto dueCount = std::min(nowMs - startMs, props_.seconds * 1000) * props_.perSecond / 1000;
    for (; !isOver && sent < dueCount; ++sent) {
      auto i = wheel[random_() % wheel.size()];
      const auto& kind = props_.kinds[i];
      Open open{i,
                kind.prefix + std::to_string(random_() % static_cast<uint64_t>(kind.range)),
                "w" + std::to_string(props_.seed) + "-" + std::to_string(sent),
                "",
                nowMs,
                nowMs - startMs,
                0};
      ask(std::move(open));
    }
    askReady(nowMs);
    for (auto& f : fetcher_.run(none, 2)) {
      if (auto ask = readyAsks_.find(f.id); ask != readyAsks_.end()) {
        ready_[ask->second] = f.fault == upstream::Fault::kNone && f.status == 200;
        readyAsks_.erase(ask);
        continue;
      }
      auto it = open_.find(f.id);
      if (it == open_.end()) continue;
      auto open = std::move(it->second);
      open_.erase(it);
      const auto& kind = props_.kinds[open.kind];
      auto& count = report.kinds[kind.name];
      auto isWrite = kind.method != "GET";
      auto codeText = caller::header(f.headers, "dykestage-code");
      auto code = codeText.empty() ? 0 : std::strtoull(codeText.c_str(), nullptr, 10);
      auto nowMs = neighbour::steadyMs();
      if (f.fault != upstream::Fault::kNone) shunned_[open.edge] = nowMs + 500;
      // A caller goes to another node when a connection can't be made at all; nothing has left then.
      if (f.fault == upstream::Fault::kNotSent && open.tries < 5) {
        ++open.tries;
        ask(std::move(open));
        continue;
      }
      auto isBusy = f.fault == upstream::Fault::kNone && (f.status == 503 || f.status == 429);
      if (isBusy && props_.retriesAtOnce && open.tries < 3) {
        ++open.tries;
        ++report.codes[code];
        ask(std::move(open));
        continue;
      }
      auto isLost = f.fault != upstream::Fault::kNone || code == caller::kUnknown;
      if (isLost && kind.hasKey && props_.repeatsKeyed && open.tries < 4) {
        ++open.tries;
        open.wasUnknown = true;
        if (code != 0) ++report.codes[code];
        ask(std::move(open));
        continue;
      }
      ++count.asked;
      auto slice = static_cast<size_t>(open.atMs / 100);
      if (report.slices.size() <= slice) report.slices.resize(slice + 1);
      ++report.slices[slice].first;
      auto end = End::kUnknown;
      if (f.fault != upstream::Fault::kNone) {
        ++count.unreached;
        end = End::kUnknown;
      } else if (code != 0) {
        ++report.codes[code];
        if (isBusy && caller::header(f.headers, "retry-after").empty()) ++count.withoutRetryAfter;
        if (code == caller::kUnknown) {
          ++count.unknown;
          end = End::kUnknown;
        } else if (isBusy) {
          ++count.turnedAway;
          end = open.wasUnknown ? End::kUnknown : End::kBusy;
        } else {
          ++count.broken;
          end = End::kUnknown;
        }
      } else if (f.status == 200) {
        auto isRight = isProven(f.body, kind.service, open.target, isWrite ? open.id : "");
        isRight ? ++count.well : ++count.wrong;
        if (isRight) ++report.slices[slice].second;
        if (isRight && !isWrite) {
          auto mark = f.body.find("|e");
          if (mark != std::string::npos)
            report.reads.push_back({open.atMs, open.target, std::atoll(f.body.substr(mark + 2).c_str())});
        }
        count.tookMs.push_back(nowMs - open.sinceMs);
        end = End::kWell;
      } else {
        ++count.other;
        end = isBusy ? End::kBusy : End::kUnknown;
      }
      if (isWrite) writes_[open.id] = end;
    }
  }
  for (const auto& [id, open] : open_)
    if (props_.kinds[open.kind].method != "GET") writes_[open.id] = End::kUnknown;
  std::vector<std::string> accounts;
  for (const auto& [origin, file] : props_.accounts)
    accounts.push_back(op::readFile(file).value_or(""));
  judgeAccounts(report, writes_, accounts, props_.agreedRates);
  return report;
}

namespace {
/// A line of an origin's account.
struct Run {
  int64_t atMs = 0;
  std::string service, method, target, id, what;
};

auto readRuns(const std::string& account) -> std::vector<Run> {
  std::vector<Run> runs;
  std::istringstream lines(account);
  Run run;
  while (lines >> run.atMs >> run.service >> run.method >> run.target >> run.id >> run.what)
    runs.push_back(run);
  return runs;
}
}  // namespace

auto runsOf(const std::string& account) -> std::map<std::string, int> {
  std::map<std::string, int> counts;
  for (const auto& run : readRuns(account))
    if (run.id != "-") ++counts[run.id];
  return counts;
}

auto judgeAccounts(Report& report, const std::map<std::string, End>& writes, const std::vector<std::string>& accounts,
                   const std::map<std::string, int64_t>& agreedRates) -> void {
  std::map<std::string, int> ran;
  struct Times {
    std::vector<int64_t> all, extra;
  };
  std::map<std::string, Times> services;
  for (const auto& account : accounts)
    for (const auto& run : readRuns(account)) {
      if (run.id != "-") ++ran[run.id];
      services[run.service].all.push_back(run.atMs);
      if (run.what == "extra") services[run.service].extra.push_back(run.atMs);
    }
  report.writes = writes.size();
  for (const auto& [id, end] : writes) {
    auto it = ran.find(id);
    auto times = it == ran.end() ? 0 : it->second;
    report.ran += times > 0;
    if (times > 1) ++report.ranTwice;
    if (times > 0 && end == End::kBusy) ++report.busyButRan;
    if (times == 0 && end == End::kWell) ++report.wellButNotRan;
  }
  for (auto& [service, times] : services) {
    std::sort(times.all.begin(), times.all.end());
    std::sort(times.extra.begin(), times.extra.end());
    auto most = [](const std::vector<int64_t>& list, int64_t windowMs, auto&& judge) {
      std::deque<int64_t> window;
      for (auto at : list) {
        window.push_back(at);
        while (at - window.front() >= windowMs)
          window.pop_front();
        judge(at, window.size());
      }
    };
    auto agreed = agreedRates.find(service);
    if (agreed != agreedRates.end())
      most(times.all, 5000, [&](int64_t, size_t n) {
        report.worstRate =
            std::max(report.worstRate, static_cast<double>(n) / (5.0 * static_cast<double>(agreed->second)));
      });
    most(times.extra, 10000, [&, &times = times](int64_t at, size_t n) {
      auto low = std::lower_bound(times.all.begin(), times.all.end(), at - 10000);
      auto high = std::upper_bound(times.all.begin(), times.all.end(), at);
      auto allowed = 0.2 * static_cast<double>(high - low) + 10;
      report.worstExtraShare = std::max(report.worstExtraShare, static_cast<double>(n) / allowed);
    });
  }
  auto never = [&](uint64_t count, const char* what) {
    if (count > 0) report.faults.push_back(std::to_string(count) + " " + what);
  };
  uint64_t wrong = 0, bare = 0;
  for (const auto& [name, count] : report.kinds)
    wrong += count.wrong, bare += count.withoutRetryAfter;
  never(report.ranTwice, "writes ran twice");
  never(report.busyButRan, "writes were called busy and ran");
  never(accounts.empty() ? 0 : report.wellButNotRan, "writes were answered and are in no account");
  never(wrong, "answers were not whole, or somebody else's");
  never(bare, "refusals had no Retry-After");
  if (report.worstRate > 1.1)
    report.faults.push_back("an origin got " + std::to_string(report.worstRate) + " of its agreed rate over 5 s");
  if (report.worstExtraShare > 1)
    report.faults.push_back("extra tries were " + std::to_string(report.worstExtraShare) +
                            " of what is allowed over 10 s");
}

auto Report::backAfterMs(int64_t fromMs) const -> int64_t {
  auto wellSlices = 0;
  for (auto i = static_cast<size_t>(std::max<int64_t>(0, fromMs / 100)); i < slices.size(); ++i) {
    wellSlices = slices[i].first == slices[i].second ? wellSlices + 1 : 0;
    if (wellSlices == 10) return std::max<int64_t>(0, (static_cast<int64_t>(i) - 9) * 100 - fromMs);
  }
  return -1;
}

auto Report::share(int64_t fromMs, int64_t toMs) const -> double {
  uint64_t asked = 0, well = 0;
  for (auto i = static_cast<size_t>(std::max<int64_t>(0, fromMs / 100));
       i < slices.size() && static_cast<int64_t>(i) * 100 < toMs; ++i)
    asked += slices[i].first, well += slices[i].second;
  return asked == 0 ? 0 : static_cast<double>(well) / static_cast<double>(asked);
}

auto Report::text() const -> std::string {
  std::ostringstream out;
  out << std::left << std::setw(14) << "kind" << std::right;
  for (const auto* head : {"asked", "well", "away", "unknown", "broken", "other", "lost", "wrong", "p50", "p99", "max"})
    out << std::setw(9) << head;
  out << "\n";
  for (const auto& [name, c] : kinds) {
    auto took = c.tookMs;
    std::sort(took.begin(), took.end());
    auto at = [&](double q) {
      return took.empty() ? 0
                          : took[std::min(took.size() - 1, static_cast<size_t>(q * static_cast<double>(took.size())))];
    };
    out << std::left << std::setw(14) << name << std::right << std::setw(9) << c.asked << std::setw(9) << c.well
        << std::setw(9) << c.turnedAway << std::setw(9) << c.unknown << std::setw(9) << c.broken << std::setw(9)
        << c.other << std::setw(9) << c.unreached << std::setw(9) << c.wrong << std::setw(9) << at(0.5) << std::setw(9)
        << at(0.99) << std::setw(9) << at(1) << "\n";
  }
  for (const auto& [code, count] : codes)
    out << "code " << code << " " << caller::textOf(static_cast<uint32_t>(code)) << ": " << count << "\n";
  out << "writes " << writes << ", ran " << ran << ", ran twice " << ranTwice << ", busy but ran " << busyButRan
      << ", answered but in no account " << wellButNotRan << "\n";
  out << "worst origin rate over 5 s: " << worstRate
      << " of the agreed one; worst extra tries over 10 s: " << worstExtraShare << " of the allowed\n";
  out << "not well by tenth of a second:";
  for (size_t i = 0; i < slices.size(); ++i)
    if (slices[i].first != slices[i].second)
      out << " " << i << ":" << slices[i].first - slices[i].second << "/" << slices[i].first;
  out << "\n";
  for (const auto& fault : faults)
    out << "NEVER: " << fault << "\n";
  return out.str();
}

}  // namespace dykestage::sim
