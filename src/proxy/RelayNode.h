#pragma once

// Relays requests to other hosts and accepts relayed requests, using peer
// messages. Used on the traffic thread.
//
//   RelayNode relays(ioContext, hooks);
//   relays.Start(request, "h2", head, done);                // the source
//   hooks.onRequest_ = [](RelayedRequest relayed) { ... };  // the destination
//
// A lost message ends the relay: immediately when the sequence number of a
// later chunk reveals the gap, otherwise at the deadline.

#include "base/BootClock.h"
#include "memory/MemoryPool.h"
#include "peer/PeerMessage.h"
#include "proxy/IncomingRequest.h"
#include "proxy/RelayAllowance.h"
#include "proxy/RelayMessages.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotsail {

// A request that another host relayed to this one.
struct RelayedRequest
{
  IncomingRequestPtr request_;
  std::string fromHost_;
  std::string fromRegion_;
  std::string customer_;
  std::string route_;
  TimePoint deadline_;
  bool atMostOnce_ = false;
  // Refuses the request instead of responding; it must not have been executed.
  std::function<void(ErrorKind)> refuse_;
  // Sets the allowance that limits the bytes of the response.
  std::function<void(RelayAllowancePtr)> setAllowance_;
};

struct RelayHooks
{
  // Sends a message; returns false when there is no link to the host.
  std::function<bool(const std::string& aHost, PeerMessage aMessage)> send_;
  std::function<void(RelayedRequest)> onRequest_;
  // Accounts for bodies on their way. Null if nothing does.
  MemoryPool* memory_ = nullptr;
};

struct RelayResult
{
  // Set when the response was not forwarded completely.
  std::optional<Error> error_;
  ExecutionState execution_ = ExecutionState::NotRun;
  bool callerDisconnected_ = false;
  // The destination refused the request before executing it.
  bool refused_ = false;
  // Part of the request body has been read from the caller and cannot be read
  // again.
  bool bodyConsumed_ = false;
  // The execution state that the response itself reported.
  std::optional<ExecutionState> reportedState_;
  int status_ = 0;
  // Body bytes in both directions.
  std::uint64_t bytes_ = 0;
};

class RelayNode
{
public:
  using Done = std::function<void(const RelayResult&)>;

  RelayNode(boost::asio::io_context& aContext, RelayHooks aHooks);
  ~RelayNode();
  RelayNode(const RelayNode&) = delete;
  RelayNode& operator=(const RelayNode&) = delete;

  // Relays the request and sets aHead.id_. The relay fails when the response
  // head does not arrive by the deadline, or when the relay makes no progress
  // for the progress timeout. aAllowance limits the bytes of the request; null
  // means no shift cap.
  void Start(IncomingRequestPtr aRequest,
             const std::string& aHost,
             RelayRequestHead aHead,
             TimePoint aDeadline,
             Done aDone,
             RelayAllowancePtr aAllowance = nullptr);
  void OnMessage(const PeerHello& aFrom, const PeerMessage& aMessage);
  // Ends all relays to and from the peer.
  void OnLinkDown(const PeerHello& aPeer);
  // The number of unfinished relays, as source and as destination.
  std::size_t InFlight() const;

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

}
