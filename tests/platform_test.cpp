// The users' platform: its settings and calls in the product's words, and back.
#include <unistd.h>
#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "caller/codes.hpp"
#include "core/registry.hpp"
#include "core/state.hpp"
#include "operator/configuration.hpp"
#include "platform/door.hpp"
#include "platform/settings.hpp"

using namespace dykestage;
using namespace dykestage::platform;

namespace {
const std::string kEdgeFile =
    "nodeName=edge-1\nzone=east\nip=10.1.0.35\nlistenOn.front=10.1.0.35:8144\nlistenOn.readyCheck=10.1.0.35:8140\n"
    "internalPorts=7660,7675\nseedNodes=10.2.0.39:8146,10.1.0.32:8146, "
    "10.3.0.23:8146\nfirstBoot=true\nlimits.ramMb=256\n"
    "limits.openFiles=4100\nlimits.bandwidthMbps=1000.0\nlimits.cpuFraction=0.2\nbeatEveryMs=1500\nbounds."
    "applyWithinMs=2000\nbounds.purgeWithinMs=1800\n"
    "bounds.drainWithinMs=2500\nbounds.gracePeriodS=6\nbounds.retryRatio=0.2\nbounds.retryPeriodS=10\nbounds."
    "retryExtra=56\n"
    "bounds.ceilingPeriodS=5\nbounds.ceilingOvershoot=1.1\nnot.known.to=anyone\nno line at all\n";
const std::string kRegistryFile =
    "nodeName=core-1\r\nip=10.1.0.32\r\nlistenOn.control=10.1.0.32:8146\r\ninternalPorts=7660,7675\r\ndataFolder=/data/"
    "x\r\n"
    "seedNodes=10.2.0.39:8146,10.1.0.32:8146,10.3.0.23:8146\r\nfirstBoot=false\r\nlimits.diskSpaceMb="
    "256\r\nbeatEveryMs=1500\r\n"
    "bounds.applyWithinMs=2000\r\n";

const std::string kPut =
    R"({"configVersion":"0000000a","routeList":[{"name":"r-1","site":"a.example","pathStart":"/lo/","kind":"cacheable","giveUpMs":800,)"
    R"("targetMs":80,"rank":2,"shares":[{"service":"huvo","shareWeight":90},{"service":"wuno","shareWeight":10}],"tries":2,"cacheForS":2.5},)"
    R"({"name":"r-2","site":"a.example","pathStart":"/pu/","kind":"read_only","giveUpMs":700,"targetMs":150,"rank":1,"service":"huvo","tries":1},)"
    R"({"name":"r-3","site":"b.example","pathStart":"/","kind":"writing","giveUpMs":900,"targetMs":400,"rank":0,"service":"wuno","tries":1}],)"
    R"("services":[{"name":"huvo","healthPath":"/health-check","maxConnections":110,"protocol":"h1","tls":false,"ratePerS":920.5},)"
    R"({"name":"wuno","healthPath":"/up","maxConnections":7,"protocol":"h1","tls":false}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerWaitMs":3000,"idleCloseMs":15000}})";

auto same(const std::string& a, const std::string& b) -> bool {
  auto left = op::parse(a), right = op::parse(b);
  return left && right && cJSON_Compare(left.get(), right.get(), true);
}

auto entered(const std::string& method, const std::string& target, const std::string& body,
             const std::string& ifMatch = "") -> caller::Request {
  caller::Request request;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!ifMatch.empty()) request.headers.emplace_back("If-Match", ifMatch);
  auto result = Door().enter(request);
  REQUIRE(std::holds_alternative<caller::Request>(result));
  return std::get<caller::Request>(result);
}

auto changed(std::string text, const std::string& from, const std::string& to) -> std::string {
  auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

// Why the product refuses a change on top of what there is; empty: it takes it.
auto faultsOf(const caller::Request& request, const core::Routing& now = {}) -> std::string {
  std::vector<op::Fault> faults;
  auto op = op::readRouting(request.body, faults);
  if (op) op::checkRouting(*op, now, faults);
  return faults.empty() ? "" : faults.front().place + " " + faults.front().what;
}

auto apply(core::State& state, const caller::Request& request) -> core::OpResult {
  INFO(request.body);
  REQUIRE(faultsOf(request, state.frame().routing).empty());
  std::vector<op::Fault> faults;
  auto op = *op::readRouting(request.body, faults);
  auto payload = Writer().put(std::vector<core::Op>{op}).take();
  return Reader(state.apply({{1, 1}, 0, op.parts(), 0, tempo::kPlain, payload}, 1))
      .get<std::vector<core::OpResult>>()
      .at(0);
}

auto readBack(const core::State& state) -> std::string {
  auto request = entered("GET", "/config", "");
  CHECK(request.method == "GET");
  CHECK(request.target == "/routing");
  auto answer = Door().leave(request.token, {200, {}, op::writeRouting(state.frame().routing, state.sources())});
  CHECK(answer.status == 200);
  return answer.body;
}
}  // namespace

TEST_CASE("The settings file becomes the settings of an edge, an agent and a registry") {
  auto edge = readLines(kEdgeFile);
  CHECK(same(render("edge", edge),
             R"({"name":"edge-1","boundMs":1800,"site":"east","http":"10.1.0.35:8144","status":"10.1.0.35:8140",
    "readyPath":"/readiness","address":"10.1.0.35:7660","agent":"127.0.0.1:7662","fetches":true,"servesStale":true,"threads":1,
    "cacheBytes":67108864,"bodyBytes":67108864,"memoryBytes":268435456,"openFiles":4100,"requests":1025,"linkMbps":1000,"graceMs":6000,
    "budget":{"share":0.2,"allowance":56,"windowMs":10000},"ceiling":{"windowMs":5000,"over":1.1,"slack":5},
    "headers":{"try":"Try-Id","timeLeft":"Time-Left","instance":"Intended-Server","load":"Server-Load","labels":"Object-Labels",
               "notRun":"Not-Run","seal":"Server-Seal"}})"));
  CHECK(same(render("agent", edge),
             R"({"name":"edge-1","boundMs":1800,"address":"10.1.0.35:7661","loopback":"127.0.0.1:7662",
    "status":"10.1.0.35:7663","seeds":["10.1.0.32:7660","10.2.0.39:7660","10.3.0.23:7660"],"graceMs":6000})"));
  CHECK(same(render("registry", readLines(kRegistryFile)), R"({"name":"core-1","boundMs":2000,"http":"10.1.0.32:8146",
    "registries":["10.1.0.32:7660","10.2.0.39:7660","10.3.0.23:7660"],"address":"10.1.0.32:7660","data":"/data/x","mayForm":false,"servesStale":true,
    "beatMs":1500,"ringBytes":4473924,"threads":1,"bodyBytes":8388608})"));
}

TEST_CASE("What the settings file lacks is left out, so that the program names it") {
  CHECK(same(render("agent", readLines("ip=10.1.0.35\n")), R"({"seeds":[]})"));
  CHECK(same(render("registry", {}),
             R"({"registries":[],"mayForm":false,"servesStale":true,"threads":1,"bodyBytes":8388608})"));
}

TEST_CASE("The settings file is read again each time, and its fields are what the environment's file says then") {
  auto path = std::filesystem::temp_directory_path() / ("dykestage-platform-" + std::to_string(::getpid()));
  std::ofstream(path) << kEdgeFile;
  ::setenv("DYKESTAGE_CONFIG", path.c_str(), 1);
  auto source = platform::source("agent");
  auto first = source();
  REQUIRE(first);
  std::ofstream(path) << changed(kEdgeFile, "10.2.0.39:8146", "10.9.0.9:8146");
  auto second = source();
  REQUIRE(second);
  CHECK(second->find("10.9.0.9:7660") != std::string::npos);
  CHECK(first->find("10.9.0.9:7660") == std::string::npos);
  std::filesystem::remove(path);
  CHECK(!source());
}

TEST_CASE("A whole configuration becomes a whole routing") {
  auto request = entered("PUT", "/config", kPut, "00000005");
  CHECK(request.method == "POST");
  CHECK(request.target == "/routing");
  std::vector<op::Fault> faults;
  auto op = op::readRouting(request.body, faults);
  REQUIRE(op);
  CHECK(op->isWhole);
  CHECK(op->base == 5);
  CHECK(op->routing.version == 10);
  const auto& route = *op->routing.routes.at("r-1");
  CHECK(route.host == "a.example");
  CHECK(route.prefix == "/lo/");
  CHECK(route.kind == core::RouteKind::kCacheable);
  CHECK(route.giveUpMs == 800);
  CHECK(route.targetMs == 80);
  CHECK(route.rank == 2);
  CHECK(route.tries == 2);
  CHECK(route.keepMs == 2500);
  REQUIRE(route.shares.size() == 2);
  CHECK(route.shares[0].pool == "huvo");
  CHECK(route.shares[0].weight == 90);
  CHECK(op->routing.routes.at("r-2")->kind == core::RouteKind::kReadOnly);
  REQUIRE(op->routing.routes.at("r-2")->shares.size() == 1);
  CHECK(op->routing.routes.at("r-2")->shares[0].pool == "huvo");
  CHECK(op->routing.routes.at("r-3")->kind == core::RouteKind::kWriting);
  CHECK(op->routing.pools.at("huvo")->probe == "/health-check");
  CHECK(op->routing.pools.at("huvo")->connections == 110);
  CHECK(op->routing.pools.at("huvo")->ratePerS == 920.5);
  CHECK(op->routing.pools.at("wuno")->ratePerS == 0);
  REQUIRE(op->routing.limits);
  CHECK(op->routing.limits->headerBytes == 16384);
  CHECK(op->routing.limits->idleMs == 15000);
}

TEST_CASE("A configuration read back is the one that was sent, and named items change alone") {
  core::State state;
  CHECK(same(
      readBack(state),
      R"({"configVersion":"00000000","routeList":[],"services":[],"limits":)" +
          std::string(R"({"maxHeaderBytes":65536,"maxBodyBytes":8388608,"headerWaitMs":10000,"idleCloseMs":60000}})")));
  CHECK(apply(state, entered("PUT", "/config", kPut, "0")).outcome == core::Outcome::kDone);
  CHECK(same(readBack(state), kPut));

  auto patch = entered(
      "PATCH", "/config",
      R"({"configVersion":"00000f0c","addOrReplace":{"routeList":[{"name":"r-2","site":"c.example","pathStart":"/pu/",)"
      R"("kind":"read_only","giveUpMs":1,"targetMs":1,"rank":1,"service":"neu","tries":1}],"services":[{"name":"neu","healthPath":"/h"}]},)"
      R"("remove":{"routeList":["r-3"],"services":["wuno-not-there"]}})",
      "\"0000000a\"");
  CHECK(patch.method == "POST");
  CHECK(patch.target == "/routing");
  CHECK(apply(state, patch).outcome == core::Outcome::kDone);
  auto expected = changed(kPut, "0000000a", "00000f0c");
  expected = changed(
      expected,
      R"({"name":"r-2","site":"a.example","pathStart":"/pu/","kind":"read_only","giveUpMs":700,"targetMs":150,"rank":1,"service":"huvo","tries":1},)",
      R"({"name":"r-2","site":"c.example","pathStart":"/pu/","kind":"read_only","giveUpMs":1,"targetMs":1,"rank":1,"service":"neu","tries":1})");
  expected = changed(
      expected,
      R"({"name":"r-3","site":"b.example","pathStart":"/","kind":"writing","giveUpMs":900,"targetMs":400,"rank":0,"service":"wuno","tries":1})",
      "");
  expected = changed(expected, R"({"name":"wuno","healthPath")",
                     R"({"name":"neu","healthPath":"/h"},{"name":"wuno","healthPath")");
  CHECK(same(readBack(state), expected));
}

TEST_CASE("A routing set in the product's words is read back in the platform's") {
  core::State state;
  caller::Request own;
  own.body =
      R"({"version": 3, "whole": true, "routes": {"a": {"host": "h.test", "prefix": "/a/", "kind": "readOnly", "giveUpMs": 800, "keepMs": 2500,
    "shares": [{"pool": "p", "weight": 9}]}}, "pools": {"p": {"probe": "/up", "connections": 11}}})";
  apply(state, own);
  auto back = readBack(state);
  CHECK(back.find(R"("pathStart":"/a/")") != std::string::npos);
  CHECK(back.find(R"("kind":"read_only")") != std::string::npos);
  CHECK(back.find(R"("cacheForS":2.5)") != std::string::npos);
  CHECK(back.find(R"("shares":[{"service":"p","shareWeight":9}])") != std::string::npos);
  CHECK(back.find(R"("healthPath":"/up")") != std::string::npos);
  // What is read back can be sent.
  CHECK(faultsOf(entered("PUT", "/config", changed(back, "00000003", "00000004"), "3")).empty());
}

TEST_CASE("Every kind of invalid configuration is refused by the product") {
  auto refused = [](const std::string& body, const std::string& ifMatch = "5") {
    INFO(body);
    CHECK(!faultsOf(entered("PUT", "/config", body, ifMatch)).empty());
  };
  REQUIRE(faultsOf(entered("PUT", "/config", kPut, "5")).empty());
  refused(changed(kPut, R"("service":"wuno","tries")", R"("service":"nobody","tries")"));
  refused(changed(kPut, R"({"service":"wuno","shareWeight":10})", R"({"service":"nobody","shareWeight":10})"));
  refused(
      changed(changed(kPut, R"("shareWeight":90)", R"("shareWeight":0)"), R"("shareWeight":10)", R"("shareWeight":0)"));
  refused(changed(kPut, R"("shareWeight":90)", R"("shareWeight":-90)"));
  refused(changed(kPut, R"({"service":"huvo","shareWeight":90},{"service":"wuno","shareWeight":10})", ""));
  refused(changed(kPut, R"([{"service":"huvo","shareWeight":90},{"service":"wuno","shareWeight":10}])", "7"));
  refused(changed(kPut, R"("service":"huvo","tries":1)", R"("tries":1)"));
  refused(changed(kPut, R"("giveUpMs":800)", R"("giveUpMs":0)"));
  refused(changed(kPut, R"("giveUpMs":800)", R"("giveUpMs":"800")"));
  refused(changed(kPut, R"("giveUpMs":800,)", ""));
  refused(changed(kPut, R"("targetMs":80)", R"("targetMs":60800)"));
  refused(changed(kPut, R"("kind":"writing")", R"("kind":"sometimes")"));
  refused(changed(kPut, R"("kind":"writing",)", ""));
  refused(changed(kPut, R"("name":"r-2",)", ""));
  refused(changed(kPut, R"("name":"r-2")", R"("name":"r-1")"));
  refused(changed(kPut, R"("name":"r-2")", R"("name":17)"));
  refused(changed(kPut, R"("cacheForS":2.5)", R"("cacheForS":-1)"));
  refused(changed(kPut, R"("0000000a")", R"("00000005")"));
  refused(changed(kPut, R"("0000000a")", R"("00000004")"));
  refused(changed(kPut, R"("0000000a")", R"("version ten")"));
  refused(changed(kPut, R"("0000000a")", "10"));
  refused(changed(kPut, R"("configVersion":"0000000a",)", ""));
  refused(changed(kPut, "routeList", "routeLost"));
  refused(changed(kPut, R"("services":[{)", R"("else":[{)"));
  refused(changed(kPut, R"("limits")", R"("else")"));
  refused(changed(kPut, R"("maxHeaderBytes":16384)", R"("maxHeaderBytes":"much")"));
  refused(changed(
      kPut, R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerWaitMs":3000,"idleCloseMs":15000})",
      R"("limits":4)"));
  refused(kPut, "whatever");
  refused("[" + kPut + "]");
  refused("");
  refused("{");
  refused("{}");
  for (size_t size : {kPut.size() - 1, kPut.size() / 2, size_t{1}})
    refused(kPut.substr(0, size));

  core::State state;
  REQUIRE(apply(state, entered("PUT", "/config", kPut, "0")).outcome == core::Outcome::kDone);
  auto refusedPatch = [&](const std::string& body) {
    INFO(body);
    CHECK(!faultsOf(entered("PATCH", "/config", body, "0000000a"), state.frame().routing).empty());
  };
  refusedPatch(R"({"configVersion":"0000000b","remove":{"services":["wuno"]}})");
  refusedPatch(R"({"configVersion":"0000000b","remove":{"routeList":"r-1"}})");
  refusedPatch(R"({"configVersion":"0000000b","remove":{"routeList":[1]}})");
  refusedPatch(R"({"configVersion":"0000000b","remove":["r-1"]})");
  refusedPatch(R"({"configVersion":"0000000b","addOrReplace":["r-1"]})");
  refusedPatch(R"({"configVersion":"0000000b","addOrReplace":{"routeList":{}}})");
  refusedPatch(R"({"configVersion":"0000000b","addOrReplace":{"routeList":["r-1"]}})");
  refusedPatch(R"({"configVersion":"0000000a","remove":{"routeList":["r-1"]}})");
  refusedPatch(R"({"remove":{"routeList":["r-1"]}})");
}

TEST_CASE("Another version in place is 412 for a configuration; other answers keep their status") {
  auto put = entered("PUT", "/config", kPut, "5").token, clear = entered("POST", "/clear", R"({"label":"x"})").token;
  auto beat = entered("PUT", "/servers/i-1", "{}").token;
  CHECK(Door().leave(put, caller::codeAnswer(caller::kConflict, 0)).status == 412);
  CHECK(Door().leave(put, caller::codeAnswer(caller::kInvalid, 0)).status == 400);
  CHECK(Door().leave(put, caller::codeAnswer(caller::kChangeUnknown, 0)).status == 504);
  CHECK(Door().leave(put, caller::codeAnswer(caller::kNotMember, 1)).status == 503);
  CHECK(Door().leave(put, {200, {}, R"({"code":0})"}).status == 200);
  CHECK(Door().leave(clear, caller::codeAnswer(caller::kIdReused, 0)).status == 409);
  CHECK(Door().leave(beat, {200, {}, R"({"code":0,"state":"taken"})"}).body.find("beatAddress") == std::string::npos);
  CHECK(Door().leave(entered("GET", "/config", "").token, caller::codeAnswer(caller::kNotCurrent, 1)).status == 503);
}

TEST_CASE("Beats, leaving and clearing become announcements and purges") {
  auto beat = entered(
      "PUT", "/servers/i-7f3a91c2",
      R"({"service":"huvo","address":"10.128.0.9:8080","zone":"east","configVersion":"v1","capacity":32,"state":"accepting","coldLeftMs":250.4,"callCount":0})");
  CHECK(beat.method == "POST");
  CHECK(beat.target == "/announce");
  std::vector<op::Fault> faults;
  auto op = op::readAnnouncement(beat.body, faults);
  INFO(op::writeFaults(faults));
  REQUIRE(op);
  CHECK(op->name == "i-7f3a91c2");
  CHECK(op->upstream.service == "huvo");
  CHECK(op->upstream.address == "10.128.0.9:8080");
  CHECK(op->upstream.site == "east");
  CHECK(op->upstream.capacity == 32);
  CHECK(op->upstream.coldMs == 250);
  CHECK(op->upstream.number == 1);
  CHECK(!op->upstream.isEmptying);
  auto emptying = op::readAnnouncement(
      entered("PUT", "/servers/i-1",
              R"({"service":"s","address":"10.0.0.9:80","zone":"z","capacity":1,"state":"emptying","callCount":41})")
          .body,
      faults);
  REQUIRE(emptying);
  CHECK(emptying->upstream.isEmptying);
  CHECK(emptying->upstream.number == 42);
  auto gone = op::readAnnouncement(entered("DELETE", "/servers/i-1", "").body, faults);
  REQUIRE(gone);
  CHECK(gone->name == "i-1");
  CHECK(gone->kind == core::OpKind::kDeregister);
  CHECK(faults.empty());
  CHECK(!op::readAnnouncement(
      entered("PUT", "/servers/i-1", R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"asleep"})").body,
      faults));
  CHECK(!op::readAnnouncement(entered("PUT", "/servers/i-1", "no JSON").body, faults));

  faults.clear();
  auto object = entered("POST", "/clear", R"({"site":"a.example","path":"/lo/2f"})");
  CHECK(object.method == "POST");
  CHECK(object.target == "/purge");
  auto purge = op::readPurge(object.body, faults);
  REQUIRE(purge);
  CHECK(purge->purge.service == "a.example");
  CHECK(purge->purge.path == "/lo/2f");
  auto label = op::readPurge(entered("POST", "/clear", R"({"label":"t03"})").body, faults);
  REQUIRE(label);
  CHECK(label->purge.label == "t03");
  CHECK(!op::readPurge(entered("POST", "/clear", R"({"site":"a.example"})").body, faults));
  CHECK(!op::readPurge(entered("POST", "/clear", "{").body, faults));
}

TEST_CASE("The product's own calls pass as they are") {
  for (auto [method, target] : {std::pair{"POST", "/routing"},
                                {"GET", "/status"},
                                {"GET", "/configuration"},
                                {"POST", "/announce"},
                                {"POST", "/config"}}) {
    auto request = entered(method, target, R"({"a": 1})");
    CHECK(request.method == method);
    CHECK(request.target == target);
    CHECK(request.body == R"({"a": 1})");
    CHECK(request.token.empty());
  }
}

TEST_CASE("Nothing outside platform/ knows the platform's names") {
  const std::filesystem::path root(SOURCE_FOLDER);
  std::vector<std::string> names;
  std::ifstream in(root / "platform/names");
  for (std::string name; std::getline(in, name);)
    if (!name.empty()) names.push_back(name);
  REQUIRE(names.size() > 40);
  auto files = 0;
  for (const auto* folder : {"lib", "programs", "tests"})
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
      if (!entry.is_regular_file() || entry.path().filename() == "platform_test.cpp") continue;
      auto text = op::readFile(entry.path());
      REQUIRE(text);
      ++files;
      for (const auto& name : names) {
        INFO(entry.path() << " names " << name);
        CHECK(text->find(name) == std::string::npos);
      }
    }
  CHECK(files > 60);
}
