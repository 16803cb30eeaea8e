#include "caller/codes.hpp"

#include <map>

namespace dykestage::caller {

namespace {
struct Row {
  int status;
  const char* text;
  bool isTurnedAway;
};
const std::map<uint32_t, Row> kRows = {
    {kOk, {200, "done", false}},
    {kInvalid, {400, "the input has faults", false}},
    {kConflict, {409, "another change won", false}},
    {kChangeUnknown, {504, "the outcome is not known yet; ask by the change's id", false}},
    {kNotMember, {503, "this registry takes no part now", true}},
    {kNoSuchChange, {404, "no such change is remembered", false}},
    {kNoSuchPage, {404, "no such page", false}},
    {kRolloutRuns, {409, "a rollout of this template is under way", false}},
    {kIdReused, {409, "the change id stands for another change", false}},
    {kNoService, {404, "no service is configured for this host and path", false}},
    {kNotCurrent, {503, "this node is not current", true}},
    {kEdgeFull, {503, "this edge is full", true}},
    {kShieldFull, {503, "the shield is full", true}},
    {kOriginRate, {503, "the origin's agreed rate is used up", true}},
    {kNoUpstream, {503, "no upstream can take this now", true}},
    {kNoShield, {503, "no shield can be reached", true}},
    {kDeadline, {504, "the time ran out", true}},
    {kUnknown, {504, "the outcome is unknown: it may have run", false}},
    {kNotWhole, {502, "the upstream's answer was not whole", false}},
    {kAnswerTooLarge, {502, "the upstream's answer is too large", false}},
    {kRequestTooLarge, {413, "the request is too large", false}},
    {kMisdirected, {502, "the upstream is not the one meant", true}},
    {kKeyReused, {422, "the Idempotency-Key belongs to another request", false}},
    {kEmptying, {503, "this process is about to stop", true}},
    {kBadRequest, {400, "the request is malformed", false}},
    {kRefused, {403, "the path's policy refuses the request", false}},
    {kPolicyFailed, {500, "the path's policy failed", false}},
    {kNoClaim, {503, "the key could not be claimed in time", true}},
    {kRequestTimeout, {408, "the rest of the request did not come in time", true}},
    {kClientLeft, {504, "the client has closed its half of the connection", false}},
    {kOverloaded, {503, "this process holds as much as its memory allows", true}},
    {kUpstreamLost, {502, "the upstream failed; the read may have run", false}},
};
}  // namespace

auto allCodes() -> std::vector<uint32_t> {
  std::vector<uint32_t> list;
  for (const auto& [code, row] : kRows)
    list.push_back(code);
  return list;
}

auto statusOf(uint32_t code) -> int {
  auto it = kRows.find(code);
  return it == kRows.end() ? 500 : it->second.status;
}

auto textOf(uint32_t code) -> std::string {
  auto it = kRows.find(code);
  return it == kRows.end() ? "unknown code" : it->second.text;
}

auto isTurnedAway(uint32_t code) -> bool {
  auto it = kRows.find(code);
  return it != kRows.end() && it->second.isTurnedAway;
}

auto promisesUnrun(uint32_t code) -> bool {
  auto status = statusOf(code);
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace dykestage::caller
