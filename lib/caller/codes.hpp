// Caller: the numbered result codes. The table for people is docs/codes.md.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace dykestage::caller {

enum Code : uint32_t {
  kOk = 0,
  kInvalid = 2001,        // the input has faults; nothing was done
  kConflict = 2002,       // another change won
  kChangeUnknown = 2003,  // the outcome of a submission is not known yet; ask by its id
  kNotMember = 2004,      // this registry does not take part (yet)
  kNoSuchChange = 2005,
  kNoSuchPage = 2006,
  kRolloutRuns = 2007,  // a rollout of this template is under way; nothing was done
  kIdReused = 2008,     // the change id stands for another change; nothing was done
  kNoService = 3001,    // no configured service has this host and path
  kNotCurrent = 3002,   // this node's knowledge is too old to act on
  kEdgeFull = 3003,
  kShieldFull = 3004,
  kOriginRate = 3005,  // the origin's agreed rate is used up
  kNoUpstream = 3006,
  kNoShield = 3007,
  kDeadline = 3008,  // a read's time ran out
  kUnknown = 3009,   // a write may or may not have run
  kNotWhole = 3010,  // the upstream's answer was cut, malformed, or without an end
  kAnswerTooLarge = 3011,
  kRequestTooLarge = 3012,
  kMisdirected = 3013,  // the upstream says that it is not the one meant
  kKeyReused = 3014,    // the Idempotency-Key came with another request before
  kEmptying = 3015,     // this process is about to stop
  kBadRequest = 3016,
  kRefused = 3018,         // the path's policy refuses the request
  kNoClaim = 3020,         // the key of a write could not be claimed in time; it did not leave
  kPolicyFailed = 3019,    // the path's policy failed, and the path's own settings held; a header, not an answer
  kRequestTimeout = 3021,  // the rest of the request did not come in time; nothing was done
  kClientLeft = 3022,      // its client closed the connection before the answer; nobody reads this, as a rule
  kOverloaded = 3023,      // this process holds as much for clients as its memory allows; nothing was done
  kUpstreamLost = 3017,    // a read's upstream failed and no further try was allowed
};

/// Every code that there is. Example: `for (auto code : allCodes()) table += textOf(code);`
auto allCodes() -> std::vector<uint32_t>;
/// The HTTP status of a code. Example: `statusOf(kOriginRate) == 503`
auto statusOf(uint32_t code) -> int;
/// A short sentence for a code. Example: `textOf(kNoUpstream)`
auto textOf(uint32_t code) -> std::string;
/// True for codes that say "come back": they carry Retry-After. Example: `if (isTurnedAway(code)) ...`
auto isTurnedAway(uint32_t code) -> bool;
/// True for codes whose status promises that the request has not run and never will (408, 421, 429, 503).
/// Example: `if (mayHaveRun && promisesUnrun(code)) code = kUpstreamLost;`
auto promisesUnrun(uint32_t code) -> bool;

}  // namespace dykestage::caller
