#include "caller/own_answers.hpp"

#include <algorithm>

#include "caller/codes.hpp"

namespace dykestage::caller {

auto pageAnswer(const std::string& target, uint32_t refusal, const std::function<std::string()>& status) -> Answer {
  if (target == "/ready") return refusal == kOk ? Answer{200, {}, "ready\n"} : codeAnswerMs(refusal, 1000);
  if (target == "/status") return {200, {{"Content-Type", "application/json"}}, status()};
  return codeAnswerMs(kNoSuchPage, 0);
}

auto codeAnswerMs(uint32_t code, int64_t retryAfterMs, const std::string& detail) -> Answer {
  Answer answer;
  answer.status = statusOf(code);
  answer.headers.emplace_back("Content-Type", "application/json");
  answer.headers.emplace_back("Dykestage-Code", std::to_string(code));
  if (isTurnedAway(code)) {
    auto waitMs = std::max<int64_t>(1, retryAfterMs);
    auto seconds = std::to_string(waitMs / 1000);
    if (waitMs % 1000 != 0) {
      seconds += "." + std::to_string(1000 + waitMs % 1000).substr(1);
      seconds.erase(seconds.find_last_not_of('0') + 1);
    }
    answer.headers.emplace_back("Retry-After", seconds);
  }
  answer.headers.emplace_back("Cache-Control", "no-store");
  answer.body = "{\"code\":" + std::to_string(code) + ",\"text\":\"" + textOf(code) + "\"" + detail + "}\n";
  return answer;
}

auto codeAnswer(uint32_t code, int64_t retryAfterS, const std::string& detail) -> Answer {
  return codeAnswerMs(code, std::max<int64_t>(1, retryAfterS) * 1000, detail);
}

}  // namespace dykestage::caller
