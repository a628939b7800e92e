#pragma once

// Maintains links to the peers of this host: WebSocket connections that carry
// PeerMessage frames. Of two hosts, the one with the smaller name opens the
// link. A link on which no message has arrived for some seconds is closed and
// reopened, because a connection can fail without reporting an error.
//
//   PeerNode node(peerThread, options, hooks);
//   Error error;
//   if (!node.Listen(error)) { ... }
//   node.SetPeers({ { "h2", address } });
//   if (!node.Send("h2", { type, payload })) { /* not sent */ }

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "base/EventLoopThread.h"
#include "http/HttpTypes.h"
#include "peer/PeerMessage.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridotsail {

struct PeerOptions
{
  PeerHello self_;
  Address listen_;
  // Secret shared by all hosts, sent when a link is opened.
  std::string token_;
  Duration pingInterval_ = std::chrono::seconds(1);
  // A link on which no message arrives for longer is closed.
  Duration silenceTimeout_ = std::chrono::seconds(5);
  // Interval between attempts to open a link.
  Duration retryInterval_ = std::chrono::milliseconds(500);
  // Messages are rejected while more bytes than this are unsent on the link.
  std::size_t maxUnsentBytes_ = 8 << 20;
};

struct PeerAddress
{
  std::string hostName_;
  Address address_;
};

// Called on the peer thread.
struct PeerHooks
{
  std::function<void(const PeerHello& aFrom, PeerMessage aMessage)> onMessage_;
  std::function<void(const PeerHello& aPeer, bool aUp)> onLink_;
};

class PeerNode
{
public:
  PeerNode(EventLoopThread& aThread, PeerOptions aOptions, PeerHooks aHooks);
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  // Starts listening. Must be called before the thread starts.
  bool Listen(Error& aError);
  // Sets the hosts to maintain links with. Thread-safe.
  void SetPeers(std::vector<PeerAddress> aPeers);
  // Queues the message for sending. Returns false when there is no link or the
  // queue is full; true does not guarantee delivery. Thread-safe.
  bool Send(const std::string& aHostName, PeerMessage aMessage);
  // Returns the sorted names of the peers with an open link. Thread-safe.
  std::vector<std::string> LinkedPeers() const;
  // Stops listening and closes all links. Must be called on the peer thread.
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
