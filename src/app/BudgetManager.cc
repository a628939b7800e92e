#include "app/BudgetManager.h"

#include "app/SlotLeaseManager.h"
#include "base/EventLog.h"
#include "base/Hash.h"
#include "http/BeastTypes.h"

#include <algorithm>
#include <cmath>

namespace peridotsail {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kMetricsInterval = std::chrono::milliseconds(250);
// Expected round-trip times, which set how early a host requests a loan. The
// regions of the deployment are 20 to 55 ms apart.
constexpr Duration kRoundTripInRegion = std::chrono::milliseconds(2);
constexpr Duration kRoundTripToRegion = std::chrono::milliseconds(110);

SharedBudgetOptions
MakeOptions()
{
  // The random start keeps replies to an earlier process of this host from
  // matching. 15 hexadecimal digits leave room to count up without overflow.
  SharedBudgetOptions options;
  options.firstId_ = 1 + std::stoull(RandomId().substr(0, 15), nullptr, 16);
  return options;
}

std::string
ToText(const std::vector<std::uint8_t>& aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

}

BudgetManager::BudgetManager(boost::asio::io_context& aContext,
                             PeerHello aSelf,
                             Metrics& aMetrics,
                             Send aSend)
  : self_(std::move(aSelf))
  , metrics_(aMetrics)
  , send_(std::move(aSend))
  , timer_(aContext)
  , budgets_(MakeOptions(), BootClock::now())
{
}

void
BudgetManager::Start()
{
  Tick();
}

void
BudgetManager::Tick()
{
  SendRequests();
  SetMetrics();
  timer_.expires_after(detail::ToSteady(kTickInterval));
  timer_.async_wait([this](auto aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
BudgetManager::SetConfiguration(const Configuration& aConfiguration)
{
  std::vector<NamedLimits> limits;
  for (const CustomerConfig& customer : aConfiguration.customers_) {
    limits.push_back(
      { customer.name_, customer.ratePerSecond_, customer.burst_ });
  }
  // Before version 1 no host has a configuration, so none enforces older
  // limits.
  const bool isFirst = aConfiguration.version_ == 1;
  budgets_.SetLimits(
    limits, MakeSlotLayout(aConfiguration), isFirst, BootClock::now());
}

void
BudgetManager::SetSlot(const SlotValidity& aSlot)
{
  budgets_.SetSlot(aSlot, BootClock::now());
}

void
BudgetManager::OnLink(const PeerHello& aPeer, bool aUp)
{
  if (aUp) {
    linkedPeers_[aPeer.hostName_] = aPeer;
  } else {
    linkedPeers_.erase(aPeer.hostName_);
  }
  const auto distance = [this](const PeerHello& aOther) {
    if (aOther.region_ != self_.region_) {
      return 2;
    }
    return aOther.failureDomain_ == self_.failureDomain_ ? 0 : 1;
  };
  std::vector<BudgetPeer> peers;
  for (int wanted = 0; wanted <= 2; ++wanted) {
    for (const auto& [name, peer] : linkedPeers_) {
      if (distance(peer) == wanted) {
        peers.push_back(
          { name, wanted == 2 ? kRoundTripToRegion : kRoundTripInRegion });
      }
    }
  }
  budgets_.SetPeers(peers);
}

void
BudgetManager::OnMessage(const PeerHello& aFrom, const PeerMessage& aMessage)
{
  const auto* data =
    reinterpret_cast<const std::uint8_t*>(aMessage.payload_.data());
  const std::size_t size = aMessage.payload_.size();
  const TimePoint now = BootClock::now();
  if (aMessage.type_ == PeerMessageType::TokenRequest) {
    if (const auto request = DecodeTokenRequest(data, size)) {
      const TokenGrant grant = budgets_.Lend(aFrom.hostName_, *request, now);
      send_(aFrom.hostName_,
            { PeerMessageType::TokenGrant, ToText(EncodeTokenGrant(grant)) });
      return;
    }
  } else if (const auto grant = DecodeTokenGrant(data, size)) {
    budgets_.Accept(aFrom.hostName_, *grant, now);
    return;
  }
  LogEvent(Event::PeerMessageMalformed, { { "peer", aFrom.hostName_ } });
}

std::optional<Refusal>
BudgetManager::Admit(const std::string& aCustomer)
{
  const TimePoint now = BootClock::now();
  const bool admitted = budgets_.TryTake(aCustomer, 1, now);
  SendRequests();
  if (admitted) {
    return std::nullopt;
  }
  Refusal refusal = MakeRefusal(ErrorKind::RateExceeded);
  if (SharedBudget* budget = budgets_.Find(aCustomer)) {
    const double seconds = ToSeconds(budget->RetryAfter(1, now));
    refusal.retryAfterSeconds_ =
      std::max(1, static_cast<int>(std::ceil(seconds)));
  }
  return refusal;
}

void
BudgetManager::SendRequests()
{
  for (auto& [peer, request] : budgets_.Borrow(BootClock::now())) {
    send_(
      peer,
      { PeerMessageType::TokenRequest, ToText(EncodeTokenRequest(request)) });
  }
}

void
BudgetManager::SetMetrics()
{
  const TimePoint now = BootClock::now();
  if (now - lastMetrics_ < kMetricsInterval) {
    return;
  }
  lastMetrics_ = now;
  budgets_.ForEach([&](SharedBudget& aBudget) {
    const std::string label = "customer=\"" + aBudget.Name() + "\"";
    metrics_
      .Gauge("peridotsail_budget_tokens",
             "Tokens of the customer's budget on this host.",
             label)
      .Set(aBudget.Level(now));
    metrics_
      .Gauge("peridotsail_budget_rate",
             "Refill rate of the customer's budget on this host, per second.",
             label)
      .Set(aBudget.Rate(now));
  });
}

}
