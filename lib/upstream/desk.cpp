#include "upstream/desk.hpp"

#include "caller/codes.hpp"

namespace dykestage::upstream {

auto Desk::take(const neighbour::Letter& letter, int64_t nowMs) -> bool {
  Reader r(letter.body);
  switch (letter.kind) {
    case neighbour::kAsk:
      takeAsk(letter, nowMs);
      return true;
    case neighbour::kWithdrawal: {
      post_.warm(letter.from);
      auto withdrawal = r.get<neighbour::Withdrawal>();
      if (!r.done()) return true;
      replies_.withdraw(letter.from, withdrawal);
      shield_.takeWithdrawal(letter.from, withdrawal, nowMs);
      return true;
    }
    case neighbour::kRateRequest: {
      post_.warm(letter.from);
      auto request = r.get<neighbour::RateRequest>();
      if (r.done()) shield_.takeRateRequest(letter.from, request, nowMs);
      return true;
    }
    case neighbour::kRateGrant: {
      auto grant = r.get<neighbour::RateGrant>();
      if (r.done()) shield_.takeRateGrant(grant, nowMs);
      return true;
    }
    case neighbour::kSendGrant: {
      auto grant = r.get<neighbour::SendGrant>();
      if (r.done()) shield_.takeSendGrant(grant, nowMs);
      return true;
    }
    case neighbour::kClaimed: {
      auto claimed = r.get<neighbour::Claimed>();
      if (r.done()) shield_.takeClaimed(claimed, nowMs);
      return true;
    }
    case neighbour::kClaims: {
      auto claims = r.get<neighbour::Claims>();
      if (r.done()) shield_.unclaimed(claims, nowMs);
      return true;
    }
    case neighbour::kKeyAsk: {
      post_.warm(letter.from);
      auto ask = r.get<neighbour::KeyAsk>();
      if (r.done()) shield_.takeKeyAsk(letter.from, ask, nowMs);
      return true;
    }
    case neighbour::kKeyTold: {
      post_.warm(letter.from);
      auto told = r.get<neighbour::KeyTold>();
      if (r.done()) shield_.takeKeyTold(told, nowMs);
      return true;
    }
  }
  return false;
}

// A fetch request for whose body there is no room goes elsewhere: nothing of it has left this process.
auto Desk::takeAsk(const neighbour::Letter& letter, int64_t nowMs) -> void {
  post_.warm(letter.from);
  Reader r(letter.body);
  auto ask = r.get<neighbour::Ask>();
  if (!r.done()) return;
  if (ask.body.draw(props_.memory, MemoryUse::kPeers)) return shield_.take(letter.from, std::move(ask), nowMs);
  neighbour::Reply refusal;
  refusal.id = ask.id;
  refusal.attempt = ask.attempt;
  refusal.life = ask.life;
  refusal.code = caller::kShieldFull;
  replies_.add(letter.from, refusal, nowMs);
}

auto Desk::flush(int64_t nowMs) -> bool {
  auto out = shield_.outputAfter([&](const auto& l) { return post_.send(l.to, l.kind, l.body); }, nowMs);
  for (auto& claims : out.claims)
    link_.pass({neighbour::kClaims, "", Writer().put(claims).take()});
  for (auto& address : out.drops)
    fetcher_.drop(address);
  for (auto& fetch : out.fetches)
    fetcher_.start(std::move(fetch));
  for (const auto& cancelled : out.cancels)
    cancel(cancelled, nowMs);
  // One that does not leave is not granted, and the shield goes on without.
  for (auto& r : out.sendRequests) {
    if (!props_.self.empty() && r.to == props_.self)
      props_.sendRequest(r.request);
    else
      post_.send(r.to, neighbour::kSendRequest, Writer().put(r.request).take());
  }
  for (auto& r : out.replies) {
    if (!props_.self.empty() && r.to == props_.self)
      props_.reply(r.reply);
    else
      replies_.add(r.to, r.reply, nowMs);
  }
  sendReplies(nowMs);
  return !out.cancels.empty() || !out.claims.empty() || !out.fetches.empty() || !out.replies.empty() ||
         !out.sendRequests.empty();
}

auto Desk::cancel(const Shield::Output::Cancelled& cancelled, int64_t nowMs) -> void {
  if (!cancelled.isOnlyUnsent) return fetcher_.cancel(cancelled.fetch);
  if (!fetcher_.cancelUnsent(cancelled.fetch)) return;
  Fetched unsent;
  unsent.id = cancelled.fetch;
  unsent.fault = Fault::kNotSent;
  unsent.isUntouched = true;
  shield_.takeFetched(unsent, nowMs);
}

auto Desk::sendReplies(int64_t nowMs) -> void {
  auto isUp = [this](const std::string& to) {
    post_.warm(to);
    return post_.isUp(to);
  };
  auto send = [this](const std::string& to, const std::string& body) {
    return post_.send(to, neighbour::kReply, body);
  };
  replies_.flush({isUp, send}, nowMs);
}

auto Desk::warm() -> void {
  for (const auto& at : shield_.edges())
    post_.warm(at);
  for (const auto& at : shield_.shields())
    post_.warm(at);
}

}  // namespace dykestage::upstream
