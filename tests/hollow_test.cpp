// The hollow fleet at a small size: it forms, changes reach every node, and losses are noticed. Counts only.
#include <catch2/catch.hpp>

#include "sim/hollow.hpp"

using namespace dykestage::sim;

TEST_CASE("A hollow fleet forms and says nothing but questions and answers while idle") {
  auto f = Hollow({.nodes = 12, .registries = 3, .faults = 1, .settleMs = 1000, .spanMs = 4000}).run();
  REQUIRE(f.formMs >= 0);
  CHECK(f.current == 12);
  CHECK(f.notCurrent == 0);
  CHECK(f.lettersLost == 0);
  // An agent asks about every tenth of the bound, and watches three others each quarter of it.
  CHECK(f.agentMean.lettersOut >= 4000 / 390);
  CHECK(f.agentMean.lettersOut <= 4 * 4000 / 390 + 2 * 3 * 5);
  CHECK(f.agentMean.bytesOut > 0);
  CHECK(f.registryMean.lettersIn > 0);
  CHECK(f.syncsPerS > 0);
}

TEST_CASE("Purges and changes of the routing reach every hollow node and are acknowledged") {
  auto f = Hollow({.nodes = 12, .settleMs = 1000, .spanMs = 6000, .purgesPerS = 5, .changesPerS = 0.5}).run();
  CHECK(f.purges.sent >= 25);
  CHECK(f.purges.acknowledged >= f.purges.sent - 2);
  CHECK(f.changes.sent >= 2);
  CHECK(f.changes.acknowledged >= f.changes.sent - 1);
  CHECK(f.purges.lastMaxMs >= 0);
  CHECK(f.purges.lastMaxMs < 1000);
  CHECK(f.changes.lastMaxMs >= 0);
  CHECK(f.changes.lastMaxMs < 1000);
}

TEST_CASE("Far registries order as well, and the same seed gives the same counts") {
  Hollow::Props props{.nodes = 11, .regions = 11, .zones = 11, .settleMs = 1000, .spanMs = 4000, .purgesPerS = 3};
  auto f = Hollow(props).run(), again = Hollow(props).run();
  CHECK(f.purges.acknowledged >= f.purges.sent - 2);
  CHECK(f.purges.lastMaxMs < 3900);
  CHECK(f.notCurrent == 0);
  CHECK(f.agentMean.bytesIn == again.agentMean.bytesIn);
  CHECK(f.registryMean.lettersOut == again.registryMean.lettersOut);
}

TEST_CASE("A lost zone and restarts are noticed by all that live") {
  auto lost = Hollow({.nodes = 12, .zones = 4, .settleMs = 1000, .spanMs = 14000, .losesZone = true}).run();
  CHECK(lost.membersSeenMs > 0);
  CHECK(lost.membersSeenMs < 3900 * 5 / 2 + 1500);
  CHECK(lost.current == 9);
  auto restarted = Hollow({.nodes = 12, .settleMs = 1000, .spanMs = 6000, .restartsPerS = 0.5}).run();
  CHECK(restarted.membersSeenMs >= 0);
  CHECK(restarted.membersSeenMs < 3900);
  CHECK(restarted.current >= 11);
}

TEST_CASE("Cut regions stop being current, the others go on") {
  auto f =
      Hollow({.nodes = 22, .regions = 11, .zones = 11, .settleMs = 1000, .spanMs = 10000, .cutsRegions = true}).run();
  CHECK(f.current == 18);
  CHECK(f.lettersLost > 0);
}

TEST_CASE("A hollow frame has what was asked for") {
  auto frame = hollowFrame(5, 4, 3, 2);
  CHECK(frame.members.size() == 5);
  CHECK(frame.upstreams.size() == 4);
  CHECK(frame.routing.routes.size() == 3);
  CHECK(frame.purges.size() == 2);
  CHECK(wireBytes(100) == 160);
}
