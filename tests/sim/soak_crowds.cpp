#include "sim/soak_crowds.hpp"

#include <algorithm>

#include "sim/process_figures.hpp"

namespace dykestage::sim {

namespace {
constexpr int64_t kLookMs = 200;
constexpr size_t kKb = 1 << 10;

struct Kind {
  const char* name;
  bool isForRegistry;
  int clients;
  Misbehaviour behaviour;
};

auto post(const std::string& target, const std::string& framing, std::string block, uint64_t blocks) -> Misbehaviour {
  Misbehaviour client;
  client.head = "POST " + target + " HTTP/1.1\r\nHost: till.test\r\n" + framing + "\r\n";
  client.block = std::move(block);
  client.blocks = blocks;
  return client;
}

auto get(const std::string& target, const std::string& fields) -> Misbehaviour {
  Misbehaviour client;
  client.head = "GET " + target + " HTTP/1.1\r\nHost: shop.test\r\n" + fields + "\r\n";
  return client;
}

auto repeated(const std::string& text, size_t bytes) -> std::string {
  std::string all;
  while (all.size() < bytes)
    all += text;
  return all;
}

auto kinds() -> const std::vector<Kind>& {
  static const std::string chunked = "Transfer-Encoding: chunked\r\n";
  static const std::vector<Kind> list = {
      {"large chunks", false, 60, post("/buy/1", chunked, chunksOf(64 * kKb, 1), 56)},
      {"small chunks", false, 20, post("/buy/1", chunked, chunksOf(8, 8192), 16)},
      {"endless bodies", false, 20, post("/buy/1", chunked, chunksOf(16 * kKb, 4), Misbehaviour::kEndless)},
      {"short bodies", false, 100, post("/buy/1", "Content-Length: 300001\r\n", std::string(300000, 'x'), 1)},
      {"announced bodies", false, 40, post("/buy/1", "Content-Length: 1073741824\r\n", std::string(64 * kKb, 'x'), 64)},
      {"small fields", false, 60, get("/items/1", repeated("a:\r\n", 60000))},
      {"silence", false, 200, {}},
      {"registry bodies", true, 30, post("/routing", chunked, chunksOf(64 * kKb, 1), 112)},
      {"registry values", true, 2,
       post("/routing", "Content-Length: 4000000\r\n", "[" + repeated("0,", 4000000 - 2) + "0", 1)},
  };
  return list;
}
}  // namespace

auto SoakCrowds::edgeExtra(const Props& props) -> std::string {
  return R"(,"cacheBytes":16777216,"bodyBytes":4194304,"memoryBytes":)" + std::to_string(props.edgeBytes) +
         R"(,"openFiles":)" + std::to_string(props.edgeFiles);
}

auto SoakCrowds::begin(int64_t nowMs) -> void {
  const auto& kind = kinds()[random_() % kinds().size()];
  auto names = fleet_.names(kind.isForRegistry ? "registry" : "edge");
  ++counts_[kind.name];
  Crowd crowd{MisbehavingClients(fleet_.http(names[random_() % names.size()])), nowMs + props_.stayMs};
  for (auto i = 0; i < kind.clients; ++i)
    crowd.clients.add(kind.behaviour);
  crowds_.push_back(std::move(crowd));
}

auto SoakCrowds::step(int64_t nowMs) -> void {
  std::erase_if(crowds_, [&](const auto& crowd) { return nowMs >= crowd.untilMs; });
  if (nowMs >= nextMs_) {
    nextMs_ = nowMs + props_.gapMs;
    begin(nowMs);
  }
  for (auto& crowd : crowds_)
    crowd.clients.actNow();
  if (nowMs < lookMs_) return;
  lookMs_ = nowMs + kLookMs;
  look();
}

auto SoakCrowds::look() -> void {
  for (const auto& name : fleet_.names("edge"))
    lookAt(name, props_.edgeBytes, props_.edgeFiles);
  for (const auto& name : fleet_.names("registry"))
    lookAt(name, props_.registryBytes, props_.registryFiles);
}

auto SoakCrowds::lookAt(const std::string& name, size_t memoryBytes, size_t openFiles) -> void {
  auto process = fleet_.processId(name);
  if (process <= 0 || told_[name] == process) return;
  auto peakBytes = peakMemoryOf(process);
  auto descriptors = descriptorsOf(process);
  if (peakBytes <= memoryBytes && descriptors <= openFiles) return;
  told_[name] = process;
  faults_.push_back(name + " had " + std::to_string(peakBytes >> 20) + " MiB of " + std::to_string(memoryBytes >> 20) +
                    " and " + std::to_string(descriptors) + " descriptors of " + std::to_string(openFiles));
}

}  // namespace dykestage::sim
