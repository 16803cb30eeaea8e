// Admin formats: rollouts, with the figures that each decision rests on.
#include <cmath>

#include "operator/configuration.hpp"

namespace dykestage::op {

namespace {
constexpr int64_t kWholePermille = 1000;

// A verdict, as what was decided and as the state that the rollout is left in.
constexpr std::array kDecisionNames = {"hold", "widen", "fall back", "finish"};
constexpr std::array kStateNames = {"running", "widen", "fallen back", "finished"};

// The new revision's share of the traffic.
auto sliceOf(const core::Rollout& rollout) -> int64_t {
  if (rollout.state == policy::Verdict::kFinish) return kWholePermille;
  if (rollout.state == policy::Verdict::kFallBack) return 0;
  return rollout.next.points.stepsPermille[rollout.step];
}

auto addSample(cJSON* to, const char* key, const policy::Sample& sample, int64_t quantilePermille) -> void {
  auto* item = addObject(to, key);
  addNumber(item, "requests", sample.requests);
  addNumber(item, "errors", sample.errors);
  addNumber(item, "fetches", sample.fetches);
  addNumber(item, "quantileMs", std::round(10 * sample.quantileMs(quantilePermille)) / 10);
}

auto addDecision(cJSON* list, const core::Decision& decision, int64_t quantilePermille) -> void {
  auto* item = appendObject(list);
  addNumber(item, "step", decision.step + 1);
  addNumber(item, "slicePermille", decision.slicePermille);
  addText(item, "verdict", nameOf(decision.verdict, kDecisionNames));
  addText(item, "why", decision.why);
  addSample(item, "old", decision.old, quantilePermille);
  addSample(item, "new", decision.next, quantilePermille);
}
}  // namespace

auto writeRollout(const std::string& id, const core::Rollout& rollout) -> std::string {
  auto json = makeObject();
  addText(json.get(), "rollout", id);
  addText(json.get(), "template", rollout.shape);
  addNumber(json.get(), "from", rollout.from);
  addNumber(json.get(), "to", rollout.to);
  addText(json.get(), "state", nameOf(rollout.state, kStateNames));
  addNumber(json.get(), "step", rollout.step + 1);
  addNumber(json.get(), "slicePermille", sliceOf(rollout));
  auto* list = cJSON_AddArrayToObject(json.get(), "decisions");
  for (const auto& decision : rollout.decisions)
    addDecision(list, decision, rollout.next.points.quantilePermille);
  return print(json.get());
}

}  // namespace dykestage::op
