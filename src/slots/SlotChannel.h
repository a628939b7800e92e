#pragma once

// Connects the decisions about slots of backend servers with the datagrams
// between hosts and a timer. Traffic thread only; included by .cc files.
//
//   SlotChannel channel(context, name, region, options, hooks, metrics);
//   channel.SetHosts(hosts);
//   channel.Acquire(ticket, query, callback);
//   channel.OnDatagram(bytes, from);

#include "base/Metrics.h"
#include "slots/SlotGate.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

namespace peridotsail::detail {

struct SlotChannelHooks
{
  std::function<void(const std::string& aBytes, const std::string& aAddress)>
    send_;
  // Receives the loads of servers that owners know.
  std::function<void(const std::string& aServer, const ReportedLoad&)> onLoad_;
};

class SlotChannel
{
public:
  SlotChannel(boost::asio::io_context& aContext,
              const std::string& aSelf,
              const std::string& aRegion,
              SlotQueueOptions aOptions,
              SlotChannelHooks aHooks,
              Metrics& aMetrics);

  // Sets the registered hosts.
  void SetHosts(const std::vector<SlotHost>& aHosts);
  // See SlotGate.
  std::uint64_t NewTicket() { return gate_.NewTicket(); }
  void Acquire(std::uint64_t aTicket,
               SlotQuery aQuery,
               SlotGate::Callback aCallback);
  void Cancel(std::uint64_t aTicket);
  void Release(const SlotGrant& aGrant, const SlotUsage& aUsage);
  // Handles a message from the host at the address; returns false if it is of
  // another type.
  bool OnDatagram(const std::string& aBytes, const std::string& aFrom);

private:
  SlotGateHooks MakeGateHooks();
  void Send(const SlotMessage& aMessage, const std::string& aAddress);
  void OnOutcome(int aRank, const SlotOutcome& aOutcome);
  // Starts the timer if anything is pending.
  void ScheduleTimer();
  void OnTimer();

  SlotChannelHooks hooks_;
  Metrics& metrics_;
  MetricGauge& waiting_;
  MetricLatency& wait_;
  MetricCounter& messages_;
  SlotOwners owners_;
  SlotGrants grants_;
  SlotGate gate_;
  boost::asio::steady_timer timer_;
  bool timerPending_ = false;
};

}
