// Caller: the answers that a process gives itself.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "caller/stream.hpp"

namespace dykestage::caller {

/// Of a status address: who asks there sends next to nothing, and few ask at a time.
inline constexpr size_t kPageBodyBytes = 64 << 10;
inline constexpr size_t kPageConnections = 32;

/// What a data node's status address answers; `refusal` is 0 while it is ready, `status` makes the status page.
/// Example: `pageAnswer(r.target, isReady ? kOk : kNotCurrent, [&] { return statusPage(edge); })`
auto pageAnswer(const std::string& target, uint32_t refusal, const std::function<std::string()>& status) -> Answer;

/// A JSON answer for a result code; those that turn a caller away tell it when to come back, in seconds with up to
/// three decimals. Example: `stream->answer(codeAnswerMs(kNoUpstream, 250), "GET", true);`
auto codeAnswerMs(uint32_t code, int64_t retryAfterMs, const std::string& detail = "") -> Answer;
/// The same by whole seconds. Example: `stream->answer(codeAnswer(kNoUpstream, 1), "GET", true);`
auto codeAnswer(uint32_t code, int64_t retryAfterS, const std::string& detail = "") -> Answer;

}  // namespace dykestage::caller
