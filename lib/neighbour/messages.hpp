// Neighbour: the letters that dykestage's processes send each other.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "base/body.hpp"
#include "core/state.hpp"
#include "tempo/tempo.hpp"

namespace dykestage::neighbour {

enum LetterKind : uint8_t {
  kTempo = 1,
  kHello = 2,
  kHave = 3,
  kPoll = 4,
  kFeed = 5,
  kAsk = 6,
  kReply = 7,
  kClaims = 8,
  kClaimed = 9,
  kKeyAsk = 10,
  kKeyTold = 11,
  kPing = 12,
  kPong = 13,
  kGather = 14,
  kSendRequest = 15,
  kSendGrant = 16,
  kWithdrawal = 17,
  kRateRequest = 18,
  kRateGrant = 19
};

/// What an edge saw of the old and the new revision's traffic, by rollout, since it started.
using Samples = std::map<std::string, std::pair<policy::Sample, policy::Sample>>;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Registry to registry: protocol messages of one step.
struct Bundle {
  uint32_t slot = 0;
  std::vector<tempo::Message> messages;
  DYKESTAGE_FIELDS(slot, messages)
};

/// A replica of the core: the life of its disk, and where it is reached.
struct Replica {
  uint64_t incarnation = 0;
  std::string address;
  auto operator==(const Replica&) const -> bool = default;
  DYKESTAGE_FIELDS(incarnation, address)
};

/// Registry to registry: who the sender is, and which membership of the core it knows.
struct Hello {
  uint32_t slot = 0;  // among the initial replicas; 0: it joins a core that there is
  uint64_t incarnation = 0;
  std::string address;
  uint32_t epoch = 0;                   // of `members`
  std::map<uint32_t, Replica> members;  // by slot; empty before the bootstrap, or before the first snapshot
  bool isMember = false;
  bool isLeaving = false;                 // it is about to stop
  bool isCaughtUp = false;                // a learner that holds a recent snapshot of this epoch on its disk
  std::map<uint32_t, uint64_t> proposed;  // the first members, once this node has synced them
  bool isBootstrapped = false;
  DYKESTAGE_FIELDS(slot, incarnation, address, epoch, members, isMember, isLeaving, isCaughtUp, proposed,
                   isBootstrapped)
};

/// Registry to registry, before there is a list of all: whom it has heard itself, and in which life; or the list, from
/// whoever has one.
struct Gather {
  uint64_t life = 0;
  std::map<std::string, uint64_t> heard;  // address → life
  bool mayForm = false;
  bool isDone = false;
  std::vector<std::string> addresses;  // by slot, once it is done
  DYKESTAGE_FIELDS(life, heard, mayForm, isDone, addresses)
};

/// Registry to registry: what its pollers have, and the beats it heard, as ages.
struct Have {
  std::map<std::string, std::pair<uint64_t, std::pair<core::Revision, int64_t>>>
      members;                                                // name → incarnation, revision, age
  std::map<std::string, int64_t> beats;                       // instance → age
  std::map<std::string, std::map<std::string, bool>> probes;  // instance → shield → answers
  std::map<std::string, Samples> samples;                     // by edge
  std::map<std::string, std::vector<std::string>> silent;     // by watcher
  DYKESTAGE_FIELDS(members, beats, probes, samples, silent)
};

/// A data node's (or agent's) question for news. The answer names the same nonce.
struct Poll {
  uint64_t nonce = 0;
  std::string name;
  core::Member member;
  core::Revision revision;             // in force at the data node
  core::Revision has;                  // held by the asker, for which only news is wanted
  std::map<std::string, bool> probes;  // shields: instance → answers
  Samples samples;                     // edges
  std::vector<std::string> silent;     // watched neighbours that do not answer
  bool isNeighbour = false;            // an agent asking another agent
  DYKESTAGE_FIELDS(nonce, name, member, revision, has, probes, samples, silent, isNeighbour)
};

/// News, with the age of the frame as the giver knows it and how long it held the question.
struct Feed {
  uint64_t nonce = 0;
  int64_t ageMs = 0;
  int64_t heldMs = 0;
  bool isMember = false;
  std::vector<std::string> registries;  // where the registries are, as far as the publisher knows
  core::News news;
  DYKESTAGE_FIELDS(nonce, ageMs, heldMs, isMember, registries, news)
};

/// Why an edge asks this node for an object.
enum class FetchCause : uint8_t {
  kOwner,  // it owns the object
  kLocal,  // the edge itself: the answers are too large to be passed on over its link
  kMoved,  // another node has turned the request away
  kHedge,  // another node has not answered yet
};

inline constexpr size_t kFetchCauses = 4;

/// A caller's request on its way from edge to shield. Times are what remains, never wall clocks.
struct Ask {
  uint64_t id = 0;
  uint32_t attempt = 0;  // which of the edge's fetch requests for this try
  uint64_t life = 0;     // of the edge: a later life at the same address uses the same ids
  std::string service;
  core::UpstreamKind kind = core::UpstreamKind::kApplication;
  std::string method, target;
  Headers headers;
  Body body;
  int64_t remainingMs = 0;
  int64_t keepMs = 0;
  uint64_t purges = 0;                 // purge number in force at the edge when it asked
  bool isShared = false;               // may be answered from the shared cache
  bool isExtra = false;                // an extra try
  bool isWrite = false;                // runs once at most
  std::string key;                     // Idempotency-Key
  std::string pool;                    // of upstreams; the service itself, where no route names one
  int64_t tries = 3;                   // sends to upstreams that are granted to the receiver
  int64_t reserve = 0;                 // sends of the same try that the edge has granted to nobody yet
  std::vector<std::string> upstreams;  // that are known to have been sent it already
  int64_t rank = 0;                    // 0 is highest
  std::string tryId;                   // the caller's name for this try; upstreams answer with it
  bool mayWait = false;                // for its turn within a pool's rate: no other node is asked after this one
  uint64_t configuration = 0;          // the revision by which the edge chose the pool
  FetchCause cause = FetchCause::kOwner;
  DYKESTAGE_FIELDS(id, attempt, life, service, kind, method, target, headers, body, remainingMs, keepMs, purges,
                   isShared, isExtra, isWrite, key, pool, tries, reserve, upstreams, rank, tryId, mayWait,
                   configuration, cause)
};

/// A shield's answer to an Ask.
struct Reply {
  uint64_t id = 0;
  uint32_t attempt = 0;  // of the Ask
  uint64_t life = 0;
  uint32_t code = 0;        // result code; 0: an upstream's whole answer
  bool isUntouched = true;  // no byte of the request went to an upstream
  uint32_t status = 0;
  Headers headers;
  Body body;
  int64_t ageMs = 0;  // since the request to the upstream
  int64_t heldMs = 0;
  int64_t keepMs = 0;                  // 0: not to be kept
  uint64_t purges = 0;                 // purge number when the fill began
  bool isFetched = false;              // an upstream was asked for it
  int64_t retryMs = 0;                 // turned away: when to come back; 0: not known
  int64_t sends = 0;                   // made of those that were granted; what is left goes back to the edge
  std::vector<std::string> upstreams;  // of a failure: those that were sent the request
  DYKESTAGE_FIELDS(id, attempt, life, code, isUntouched, status, headers, body, ageMs, heldMs, keepMs, purges,
                   isFetched, retryMs, sends, upstreams)
};

/// Edge to shield: nobody waits for the answer to an Ask any more, since its client has left. What has not been sent to
/// an upstream is not sent; reads that run are broken off. Sent again until a Reply to the Ask comes; it may arrive
/// before the Ask, or more than once.
struct Withdrawal {
  uint64_t id = 0;  // of the Ask
  uint32_t attempt = 0;
  uint64_t life = 0;  // of the edge
  auto operator==(const Withdrawal&) const -> bool = default;
  DYKESTAGE_FIELDS(id, attempt, life)
};

/// Shield to edge: the sends that were granted with an Ask are used up, and one more is wanted. Asking again for the
/// same total changes nothing.
struct SendRequest {
  uint64_t id = 0;  // of the Ask
  uint32_t attempt = 0;
  uint64_t life = 0;     // of the edge
  uint64_t waiting = 0;  // the shield's own id of the request
  uint64_t shieldLife = 0;
  int64_t wanted = 0;                  // sends in all for this Ask
  std::vector<std::string> upstreams;  // that have been sent it so far
  DYKESTAGE_FIELDS(id, attempt, life, waiting, shieldLife, wanted, upstreams)
};

/// The answer: how many sends the shield may have made for its Ask in all. No more than before is a refusal.
struct SendGrant {
  uint64_t waiting = 0;
  uint64_t shieldLife = 0;
  int64_t granted = 0;
  int64_t reserve = 0;
  std::vector<std::string> upstreams;  // known to have been sent it by any node
  DYKESTAGE_FIELDS(waiting, shieldLife, granted, reserve, upstreams)
};

/// Shield to shield: requests wait here for the sender's part of an origin's rate; the receiver may spare some of its
/// own. It is not answered if it spares nothing.
struct RateRequest {
  uint64_t life = 0;  // of the sender
  std::string pool;
  int64_t permits = 1;
  DYKESTAGE_FIELDS(life, pool, permits)
};

/// The answer: the receiver may send so many requests more, soon, and the sender so many fewer.
struct RateGrant {
  uint64_t life = 0;  // of the receiver
  std::string pool;
  int64_t permits = 0;
  DYKESTAGE_FIELDS(life, pool, permits)
};

/// Shield to registry, by way of its agent: claims of Idempotency-Keys before writes leave, and keys given back.
/// Sent again while unanswered, to another registry each time: a claim is the same one however often it comes.
struct Claims {
  uint64_t nonce = 0;
  uint32_t attempt = 0;
  std::string shield;
  uint64_t life = 0;
  std::vector<core::KeyClaim> keys;
  DYKESTAGE_FIELDS(nonce, attempt, shield, life, keys)
};

/// The answer, once the claims are ordered: who holds each key.
struct Claimed {
  uint64_t nonce = 0, life = 0;
  std::vector<core::KeyHeld> keys;
  DYKESTAGE_FIELDS(nonce, life, keys)
};

/// Shield to shield: what became of a key that the other holds.
struct KeyAsk {
  uint64_t nonce = 0;
  uint64_t life = 0;  // of the asker
  std::string key;
  uint64_t number = 0;  // of the claim by which it is held
  DYKESTAGE_FIELDS(nonce, life, key, number)
};

/// The answer; without an outcome it is not known any more.
struct KeyTold {
  uint64_t nonce = 0, life = 0;
  std::optional<Reply> outcome;
  DYKESTAGE_FIELDS(nonce, life, outcome)
};

}  // namespace dykestage::neighbour
