#include "caller/pending_answers.hpp"

#include <algorithm>

#include "caller/codes.hpp"
#include "caller/own_answers.hpp"
#include "policy/shedding.hpp"

namespace dykestage::caller {

namespace {
constexpr int64_t kLookMs = 100;  // between two looks for slow clients
constexpr size_t kShedPart = 4;   // of what large holders may have, shed at a time
constexpr int64_t kOverloadedRetryMs = 500;
constexpr size_t kShortBytes = 32 << 10;
}  // namespace

auto PendingAnswers::pollFor(std::vector<pollfd>& fds) const -> void {
  for (const auto& stream : streams_)
    fds.push_back({stream->fd(), POLLOUT, 0});
}

auto PendingAnswers::flush(int64_t nowMs) -> void {
  std::stable_sort(streams_.begin(), streams_.end(),
                   [](const auto& a, const auto& b) { return a->pending() < b->pending(); });
  std::erase_if(streams_, [](const auto& stream) { return stream->flush(); });
  if (memory_) shedSlowest(nowMs);
}

auto PendingAnswers::shedSlowest(int64_t nowMs) -> void {
  auto refusals = memory_->refusals();
  if (refusals == refusalsSeen_ || nowMs - lookedMs_ < kLookMs) return;
  refusalsSeen_ = refusals;
  lookedMs_ = nowMs;
  std::vector<policy::Holding> holdings;
  for (const auto& stream : streams_)
    holdings.push_back(stream->holding(nowMs));
  for (auto at : policy::chooseToShed(holdings, {}, memory_->largestBytes() / kShedPart, nowMs)) {
    streams_[at]->cut();
    ++shed_;
  }
}

auto drawn(const std::shared_ptr<MemoryAccount>& memory, Answer answer) -> Answer {
  auto isShort = answer.body.size() <= kShortBytes;
  if (isShort || answer.body.draw(memory, MemoryUse::kAnswers)) return answer;
  return codeAnswerMs(kOverloaded, kOverloadedRetryMs);
}

}  // namespace dykestage::caller
