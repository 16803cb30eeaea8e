// Neighbour: the letters that dykestage's processes send each other.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "core/state.hpp"
#include "tempo/tempo.hpp"

namespace dykestage::neighbour {

enum LetterKind : uint8_t { kTempo = 1, kHello = 2, kHave = 3, kPoll = 4, kFeed = 5, kAsk = 6, kReply = 7, kWitness = 8, kWitnessed = 9, kMemoryAsk = 10, kMemory = 11, kPing = 12, kPong = 13 };

/// What an edge saw of the old and the new revision's traffic, by rollout, since it started.
using Samples = std::map<std::string, std::pair<policy::Sample, policy::Sample>>;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Registry to registry: protocol messages of one step.
struct Bundle {
  uint32_t slot = 0;
  std::vector<tempo::Message> messages;
  DYKESTAGE_FIELDS(slot, messages)
};

/// Registry to registry, before and while being a member: which life sits in which slot, as far as known.
struct Hello {
  uint32_t slot = 0;
  uint64_t incarnation = 0;
  uint32_t epoch = 0;
  bool isMember = false;
  std::map<uint32_t, uint64_t> proposed;  // the first members, once this node has synced them
  bool isFormed = false;
  DYKESTAGE_FIELDS(slot, incarnation, epoch, isMember, proposed, isFormed)
};

/// Registry to registry: what its pollers have, and the beats it heard, as ages.
struct Have {
  std::map<std::string, std::pair<uint64_t, std::pair<core::Revision, int64_t>>> members;  // name → incarnation, revision, age
  std::map<std::string, int64_t> beats;                                                    // instance → age
  std::map<std::string, std::map<std::string, bool>> probes;                               // instance → shield → answers
  std::map<std::string, Samples> samples;                                                  // by edge
  std::map<std::string, std::vector<std::string>> silent;                                  // by watcher
  DYKESTAGE_FIELDS(members, beats, probes, samples, silent)
};

/// A data node's (or agent's) question for news. The answer names the same nonce.
struct Poll {
  uint64_t nonce = 0;
  std::string name;
  core::Member member;
  core::Revision revision;  // in force at the data node
  core::Revision has;       // held by the asker, for which only news is wanted
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
  core::News news;
  DYKESTAGE_FIELDS(nonce, ageMs, heldMs, isMember, news)
};

/// A caller's request on its way from edge to shield. Times are what remains, never wall clocks.
struct Ask {
  uint64_t id = 0;
  std::string service;
  core::UpstreamKind kind = core::UpstreamKind::kApplication;
  std::string method, target;
  Headers headers;
  std::string body;
  int64_t remainingMs = 0;
  int64_t keepMs = 0;
  uint64_t purges = 0;   // purge number in force at the edge when it asked
  bool isShared = false; // may be answered from the shared cache
  bool isExtra = false;  // an extra try
  std::string key;       // Idempotency-Key
  DYKESTAGE_FIELDS(id, service, kind, method, target, headers, body, remainingMs, keepMs, purges, isShared, isExtra, key)
};

/// A shield's answer to an Ask.
struct Reply {
  uint64_t id = 0;
  uint32_t code = 0;      // result code; 0: an upstream's whole answer
  bool isUntouched = true; // no byte of the request went to an upstream
  uint32_t status = 0;
  Headers headers;
  std::string body;
  int64_t ageMs = 0;      // since the request to the upstream
  int64_t heldMs = 0;
  int64_t keepMs = 0;     // 0: not to be kept
  uint64_t purges = 0;    // purge number when the fill began
  bool isFetched = false; // an upstream was asked for it
  DYKESTAGE_FIELDS(id, code, isUntouched, status, headers, body, ageMs, heldMs, keepMs, purges, isFetched)
};

/// Shield to shield: a write with a key is about to leave, or has ended with this outcome. Whoever has been told
/// will not run the key again.
struct Witness {
  uint64_t nonce = 0;
  std::string key;  // service and key
  uint64_t print = 0;
  std::optional<Reply> outcome;
  DYKESTAGE_FIELDS(nonce, key, print, outcome)
};

/// The answer: whether the key was known already, and its outcome if that is known as well.
struct Witnessed {
  uint64_t nonce = 0;
  bool isKnown = false;
  bool isSame = true;  // the key stood for the same request
  std::optional<Reply> outcome;
  DYKESTAGE_FIELDS(nonce, isKnown, isSame, outcome)
};

/// A shield's keys, for one that has just started and remembers nothing.
struct Keys {
  std::vector<std::pair<std::string, uint64_t>> keys;  // service and key → what request it stood for
  DYKESTAGE_FIELDS(keys)
};

}  // namespace dykestage::neighbour
