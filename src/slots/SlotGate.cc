#include "slots/SlotGate.h"

#include <algorithm>

namespace peridotsail {

namespace {

// Names of hosts that were unresponsive are forgotten beyond this number.
constexpr std::size_t kMaxUnresponsive = 20000;

Duration
Until(TimePoint aTime, TimePoint aNow)
{
  return std::max<Duration>(Duration::zero(), aTime - aNow);
}

}

SlotGate::SlotGate(SlotOwners& aOwners,
                   SlotGrants& aGrants,
                   SlotGateOptions aOptions,
                   SlotGateHooks aHooks,
                   std::uint64_t aSeed)
  : owners_(aOwners)
  , grants_(aGrants)
  , options_(aOptions)
  , hooks_(std::move(aHooks))
  , random_(aSeed)
{
}

void
SlotGate::Acquire(std::uint64_t aTicket,
                  SlotQuery aQuery,
                  TimePoint aNow,
                  Callback aCallback)
{
  if (tickets_.size() >= options_.maxPending_) {
    aCallback({});
    return;
  }
  const SlotServer server = aQuery.server_;
  Ticket& ticket = tickets_[aTicket];
  ticket.query_ = std::move(aQuery);
  ticket.callback_ = std::move(aCallback);
  ticket.startedAt_ = aNow;
  if (!Ask(aTicket, server, SlotMode::Wait, aNow)) {
    Finish(aTicket, {}, aNow);
  }
}

bool
SlotGate::IsUnresponsive(const std::string& aOwner, TimePoint aNow) const
{
  const auto found = unresponsiveUntil_.find(aOwner);
  return found != unresponsiveUntil_.end() && aNow < found->second;
}

bool
SlotGate::Ask(std::uint64_t aTicket,
              const SlotServer& aServer,
              SlotMode aMode,
              TimePoint aNow)
{
  Ticket& ticket = tickets_.at(aTicket);
  ticket.seen_.insert(aServer.id_);
  const SlotHost* owner = owners_.OwnerOf(aServer.id_);
  if (owner == nullptr || IsUnresponsive(owner->name_, aNow)) {
    return false;
  }
  PendingAsk ask;
  ask.id_ = random_();
  ask.server_ = aServer;
  ask.owner_ = owner->name_;
  ask.address_ = owners_.IsSelf(*owner) ? "" : owner->address_;
  ask.mode_ = aMode;
  ask.sentAt_ = aNow;
  ticketOfAsk_[ask.id_] = aTicket;
  ticket.asks_.push_back(ask);
  // May end the ticket, if this host is the owner.
  SendAsk(ticket, ask, aNow);
  return true;
}

void
SlotGate::SendAsk(const Ticket& aTicket, const PendingAsk& aAsk, TimePoint aNow)
{
  SlotAsk message;
  message.id_ = aAsk.id_;
  message.server_ = aAsk.server_.id_;
  message.slots_ = aAsk.server_.slots_;
  message.rank_ = std::clamp(aTicket.query_.rank_, 0, kLowestRank);
  message.customer_ = aTicket.query_.customer_;
  message.route_ = aTicket.query_.route_;
  message.toAim_ = Until(aTicket.query_.aim_, aNow);
  message.timeLeft_ = Until(aTicket.query_.deadline_, aNow);
  message.serviceTime_ = aAsk.server_.serviceTime_;
  message.mode_ = aAsk.mode_;
  if (!aAsk.address_.empty()) {
    hooks_.send_(aAsk.address_, message);
    return;
  }
  SlotReplies replies;
  grants_.Ask("", message, aNow, replies);
  Deliver(replies, aNow);
}

void
SlotGate::Deliver(const SlotReplies& aReplies, TimePoint aNow)
{
  for (const SlotReply& reply : aReplies) {
    if (reply.host_.empty()) {
      Accept(reply.answer_, "", aNow);
    } else {
      hooks_.send_(reply.host_, reply.answer_);
    }
  }
}

void
SlotGate::Accept(const SlotAnswer& aAnswer,
                 const std::string& aFrom,
                 TimePoint aNow)
{
  const auto known = ticketOfAsk_.find(aAnswer.id_);
  if (known == ticketOfAsk_.end()) {
    // The request needs no slot any more. A copy of a grant that is in use has
    // no effect.
    if (aAnswer.state_ == SlotState::Granted && held_.count(aAnswer.id_) == 0) {
      SendRelease({ aAnswer.id_, aAnswer.server_, aFrom }, {}, aNow);
    }
    return;
  }
  const std::uint64_t ticketId = known->second;
  Ticket& ticket = tickets_.at(ticketId);
  const auto ask = std::find_if(
    ticket.asks_.begin(), ticket.asks_.end(), [&](const PendingAsk& aAsk) {
      return aAsk.id_ == aAnswer.id_;
    });
  if (ask->address_ != aFrom) {
    return;
  }
  if (hooks_.onLoad_) {
    hooks_.onLoad_(ask->server_.id_, aAnswer.load_);
  }
  if (aAnswer.state_ == SlotState::Queued) {
    OnQueued(ticketId, *ask, aAnswer, aNow);
    return;
  }
  const SlotGrant grant{ ask->id_, ask->server_.id_, ask->address_ };
  const SlotMode mode = ask->mode_;
  RemoveAsk(ticket, aAnswer.id_);
  if (aAnswer.state_ == SlotState::Refused) {
    OnRefused(ticketId, mode, aAnswer, aNow);
    return;
  }
  held_.insert(grant.id_);
  SlotOutcome outcome;
  outcome.result_ = SlotResult::Granted;
  outcome.grant_ = grant;
  Finish(ticketId, std::move(outcome), aNow);
}

void
SlotGate::OnQueued(std::uint64_t aTicket,
                   PendingAsk& aAsk,
                   const SlotAnswer& aAnswer,
                   TimePoint aNow)
{
  const Ticket& ticket = tickets_.at(aTicket);
  aAsk.queued_ = true;
  aAsk.repeated_ = false;
  aAsk.sentAt_ = aNow;
  const TimePoint answered = aNow + aAnswer.wait_ + aAsk.server_.serviceTime_;
  if (answered > ticket.query_.aim_ && ticket.asks_.size() == 1) {
    Probe(aTicket, SlotMode::IfHalfIdle, aNow);
  }
}

// A request that still waits in a queue goes elsewhere only if there is
// capacity to spare; a refused one takes any free slot.
void
SlotGate::OnRefused(std::uint64_t aTicket,
                    SlotMode aMode,
                    const SlotAnswer& aAnswer,
                    TimePoint aNow)
{
  Ticket& ticket = tickets_.at(aTicket);
  if (aMode == SlotMode::Wait) {
    ticket.refused_ = true;
    ticket.retryAfter_ = aAnswer.wait_;
    ticket.ahead_ = aAnswer.ahead_;
  }
  if (ticket.asks_.empty()) {
    Probe(aTicket, SlotMode::IfFree, aNow);
  } else if (!ticket.refused_) {
    Probe(aTicket, SlotMode::IfHalfIdle, aNow);
  }
  FinishIfUnanswered(aTicket, aNow);
}

void
SlotGate::Probe(std::uint64_t aTicket, SlotMode aMode, TimePoint aNow)
{
  while (true) {
    const auto found = tickets_.find(aTicket);
    if (found == tickets_.end()) {
      return;
    }
    Ticket& ticket = found->second;
    if (!ticket.query_.next_ || ticket.probes_ >= options_.maxProbes_) {
      return;
    }
    ++ticket.probes_;
    const auto server = ticket.query_.next_(ticket.seen_);
    if (!server || Ask(aTicket, *server, aMode, aNow)) {
      return;
    }
  }
}

void
SlotGate::FinishIfUnanswered(std::uint64_t aTicket, TimePoint aNow)
{
  const auto found = tickets_.find(aTicket);
  if (found == tickets_.end() || !found->second.asks_.empty()) {
    return;
  }
  SlotOutcome outcome;
  outcome.result_ =
    found->second.refused_ ? SlotResult::Refused : SlotResult::NoOwner;
  outcome.retryAfter_ = found->second.retryAfter_;
  outcome.ahead_ = found->second.ahead_;
  Finish(aTicket, std::move(outcome), aNow);
}

void
SlotGate::Finish(std::uint64_t aTicket, SlotOutcome aOutcome, TimePoint aNow)
{
  const auto found = tickets_.find(aTicket);
  if (found == tickets_.end()) {
    return;
  }
  const Callback callback = std::move(found->second.callback_);
  aOutcome.waited_ = aNow - found->second.startedAt_;
  Cancel(aTicket, aNow);
  callback(aOutcome);
}

void
SlotGate::Cancel(std::uint64_t aTicket, TimePoint aNow)
{
  const auto found = tickets_.find(aTicket);
  if (found == tickets_.end()) {
    return;
  }
  // Releases at this host can grant slots to other tickets.
  const Ticket ticket = std::move(found->second);
  tickets_.erase(found);
  for (const PendingAsk& ask : ticket.asks_) {
    ticketOfAsk_.erase(ask.id_);
  }
  for (const PendingAsk& ask : ticket.asks_) {
    SendRelease({ ask.id_, ask.server_.id_, ask.address_ }, {}, aNow);
  }
}

void
SlotGate::Release(const SlotGrant& aGrant,
                  const SlotUsage& aUsage,
                  TimePoint aNow)
{
  held_.erase(aGrant.id_);
  SendRelease(aGrant, aUsage, aNow);
}

void
SlotGate::SendRelease(const SlotGrant& aGrant,
                      const SlotUsage& aUsage,
                      TimePoint aNow)
{
  SlotRelease message;
  message.id_ = aGrant.id_;
  message.server_ = aGrant.server_;
  message.executed_ = aUsage.executed_;
  message.serviceTime_ = aUsage.duration_;
  message.load_ = aUsage.load_;
  if (!aGrant.address_.empty()) {
    hooks_.send_(aGrant.address_, message);
    return;
  }
  SlotReplies replies;
  grants_.Release("", message, aNow, replies);
  Deliver(replies, aNow);
}

void
SlotGate::RemoveAsk(Ticket& aTicket, std::uint64_t aId)
{
  ticketOfAsk_.erase(aId);
  const auto ask =
    std::find_if(aTicket.asks_.begin(),
                 aTicket.asks_.end(),
                 [&](const PendingAsk& aAsk) { return aAsk.id_ == aId; });
  if (ask != aTicket.asks_.end()) {
    aTicket.asks_.erase(ask);
  }
}

void
SlotGate::OnTimer(TimePoint aNow)
{
  std::vector<std::pair<std::uint64_t, std::uint64_t>> silent;
  for (auto& [id, ticket] : tickets_) {
    for (PendingAsk& ask : ticket.asks_) {
      if (ask.address_.empty()) {
        continue;
      }
      const Duration age = aNow - ask.sentAt_;
      if (ask.queued_) {
        if (age >= options_.renewInterval_) {
          ask.queued_ = false;
          ask.sentAt_ = aNow;
          SendAsk(ticket, ask, aNow);
        }
      } else if (age >= options_.timeout_) {
        silent.emplace_back(id, ask.id_);
      } else if (age >= options_.repeatAfter_ && !ask.repeated_) {
        ask.repeated_ = true;
        SendAsk(ticket, ask, aNow);
      }
    }
  }
  for (const auto& [ticket, ask] : silent) {
    OnSilent(ticket, ask, aNow);
  }
}

void
SlotGate::OnSilent(std::uint64_t aTicket, std::uint64_t aId, TimePoint aNow)
{
  const auto found = tickets_.find(aTicket);
  if (found == tickets_.end()) {
    return;
  }
  Ticket& ticket = found->second;
  const auto ask =
    std::find_if(ticket.asks_.begin(),
                 ticket.asks_.end(),
                 [&](const PendingAsk& aAsk) { return aAsk.id_ == aId; });
  if (ask == ticket.asks_.end()) {
    return;
  }
  if (unresponsiveUntil_.size() > kMaxUnresponsive) {
    unresponsiveUntil_.clear();
  }
  if (!IsUnresponsive(ask->owner_, aNow) && hooks_.onSilent_) {
    hooks_.onSilent_(ask->owner_, ask->server_.id_);
  }
  unresponsiveUntil_[ask->owner_] = aNow + options_.unresponsiveBackoff_;
  // If the owner grants the slot later, it is free at once.
  const SlotGrant grant{ aId, ask->server_.id_, ask->address_ };
  RemoveAsk(ticket, aId);
  SendRelease(grant, {}, aNow);
  FinishIfUnanswered(aTicket, aNow);
}

void
SlotGate::OnHostsChanged(TimePoint aNow)
{
  std::vector<std::pair<std::uint64_t, PendingAsk>> moved;
  for (auto& [id, ticket] : tickets_) {
    for (const PendingAsk& ask : ticket.asks_) {
      const SlotHost* owner = owners_.OwnerOf(ask.server_.id_);
      const bool gone =
        !ask.address_.empty() && !owners_.HasAddress(ask.address_);
      if (gone && owner != nullptr && owner->name_ != ask.owner_) {
        moved.emplace_back(id, ask);
      }
    }
  }
  for (const auto& [id, ask] : moved) {
    const auto found = tickets_.find(id);
    if (found == tickets_.end()) {
      continue;
    }
    RemoveAsk(found->second, ask.id_);
    SendRelease({ ask.id_, ask.server_.id_, ask.address_ }, {}, aNow);
    if (!Ask(id, ask.server_, ask.mode_, aNow)) {
      FinishIfUnanswered(id, aNow);
    }
  }
}

}
