#pragma once

// Relays requests to other hosts and accepts relayed requests, over messages
// between hosts. Runs on the traffic thread.
//
//   RelayNode relays(ioContext, hooks);
//   relays.Start(request, "h2", head, done);       // the source
//   hooks.onRequest_ = [](RelayedRequest relayed) { ... }; // the destination
//
// A message that is lost ends the relay: at once when a later piece shows the
// gap, else at the deadline.

#include "base/BootClock.h"
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
  bool once_ = false;
  // Ends the relay instead of an answer: the request was not run.
  std::function<void(ErrorKind)> refuse_;
  // Sets the allowance that the bytes of the response need.
  std::function<void(RelayAllowancePtr)> setAllowance_;
};

struct RelayHooks
{
  // Returns false when there is no link to the host.
  std::function<bool(const std::string& aHost, PeerMessage aMessage)> send_;
  std::function<void(RelayedRequest)> onRequest_;
};

struct RelayResult
{
  // Set when the response was not passed on whole.
  std::optional<Error> error_;
  ExecutionState execution_ = ExecutionState::NotRun;
  bool callerDisconnected_ = false;
  // The destination refused the request before it ran.
  bool refused_ = false;
  // A part of the caller's body was read and cannot be sent again.
  bool bodyTaken_ = false;
  // The execution state that the response itself stated.
  std::optional<ExecutionState> stated_;
  int status_ = 0;
  // Body bytes of both directions.
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

  // Relays the request; aHead.id_ is set here. The response head must arrive
  // by the deadline, and afterwards no pause may be longer than the progress
  // limit. The bytes of the request need the allowance; null for no cap.
  void Start(IncomingRequestPtr aRequest,
             const std::string& aHost,
             RelayRequestHead aHead,
             TimePoint aDeadline,
             Done aDone,
             RelayAllowancePtr aAllowance = nullptr);
  void OnMessage(const PeerHello& aFrom, const PeerMessage& aMessage);
  // Ends all relays on the link.
  void OnLinkDown(const PeerHello& aPeer);
  // Relays in both directions that are not finished.
  std::size_t InFlight() const;

  struct Impl;

private:
  std::shared_ptr<Impl> impl_;
};

}
