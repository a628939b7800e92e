#pragma once

// Carries the messages about allowances between hosts, as CBOR in datagrams: a
// lost one costs tokens, never gives one too many. Traffic thread only;
// included by .cc files.
//
//   AllowanceChannel channel(context, datagrams, owners, allowances, version,
//                            viewAge);
//   channel.Admit(customer, callback);

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
  // aVersion gives the version of the configuration in force.
  AllowanceChannel(asio::io_context& aContext,
                   PeerDatagrams& aDatagrams,
                   AllowanceOwners& aOwners,
                   CustomerAllowances& aAllowances,
                   std::function<std::uint64_t()> aVersion,
                   std::function<Duration(TimePoint)> aViewAge);

  void Admit(const GatewayCustomer& aCustomer,
             AllowanceGate::Callback aCallback);
  // Returns the token of a request that did not run.
  void ReturnToken(const std::string& aCustomer);

private:
  GateHooks MakeHooks(std::function<Duration(TimePoint)> aViewAge);
  bool OnDatagram(const std::string& aBytes, const std::string& aFrom);
  std::optional<AllowanceMessage> AnswerOf(const AllowanceMessage& aMessage,
                                           TimePoint aNow);
  void Send(const AllowanceMessage& aMessage, const std::string& aAddress);
  // Sees to it that the gate's next timeout is noticed. A timer that runs
  // earlier is left as it is: most answers come long before it.
  void SetTimer();

  PeerDatagrams& datagrams_;
  std::function<std::uint64_t()> version_;
  AllowanceGate gate_;
  AllowanceLoans loans_;
  asio::steady_timer timer_;
  std::optional<TimePoint> timerAt_;
};

}
