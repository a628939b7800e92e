#pragma once

// Exchanges allowance messages between hosts as CBOR in UDP datagrams. A lost
// datagram can lose tokens but never create one. Traffic thread only; included
// by .cc files.
//
//   AllowanceChannel channel(context, datagrams, owners, allowances, metrics,
//                            version, viewAge);
//   channel.Admit(customer, caller, callback);

#include "base/Metrics.h"
#include "gateway/AllowanceGate.h"
#include "gateway/AllowanceLoans.h"
#include "gateway/PeerDatagrams.h"
#include "http/BeastTypes.h"

#include <functional>
#include <optional>
#include <string>

namespace peridotsail::detail {

class AllowanceChannel
{
public:
  // aVersion returns the version of the active configuration.
  AllowanceChannel(asio::io_context& aContext,
                   PeerDatagrams& aDatagrams,
                   AllowanceOwners& aOwners,
                   CustomerAllowances& aAllowances,
                   Metrics& aMetrics,
                   std::function<std::uint64_t()> aVersion,
                   std::function<Duration(TimePoint)> aViewAge);

  void Admit(const GatewayCustomer& aCustomer,
             const ReturningCaller& aCaller,
             AllowanceGate::Callback aCallback);
  // Returns the token of a request that was admitted but not executed.
  void ReturnToken(const std::string& aCustomer);
  // Call after the owners of the shares or the configuration have changed.
  void OnOwnersChanged();

private:
  GateHooks MakeHooks(std::function<Duration(TimePoint)> aViewAge);
  bool OnDatagram(const std::string& aBytes, const std::string& aFrom);
  std::optional<AllowanceMessage> HandleMessage(
    const AllowanceMessage& aMessage,
    TimePoint aNow);
  void Send(const AllowanceMessage& aMessage, const std::string& aAddress);
  // Schedules the timer for the gate's next timeout. An earlier pending timer
  // is kept, since most replies arrive long before it fires.
  void ScheduleTimer();
  // Adds what became of returning callers to the metrics.
  void CountReturns();

  PeerDatagrams& datagrams_;
  std::function<std::uint64_t()> version_;
  AllowanceGate gate_;
  AllowanceLoans loans_;
  MetricCounter& returnsKept_;
  MetricCounter& returnsEarly_;
  ReturnCounts counted_;
  asio::steady_timer timer_;
  std::optional<TimePoint> timerDueAt_;
};

}
