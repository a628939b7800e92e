#pragma once

// The links between this host and its peers: WebSocket connections that carry
// PeerMessage frames. Of two hosts, the one with the smaller name opens the
// link. A link without any message for some seconds is closed and opened anew,
// because a connection can go silent without an error.
//
//   PeerNode node(peerThread, options, hooks);
//   Error error;
//   if (!node.Listen(error)) { ... }
//   node.SetPeers({ { "h2", address } });
//   if (!node.Send("h2", { type, payload })) { /* no link: message lost */ }

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
  // Shared secret of all hosts; sent when a link is opened.
  std::string token_;
  Duration pingInterval_ = std::chrono::seconds(1);
  // A link without a message for longer is closed.
  Duration silence_ = std::chrono::seconds(5);
  // Time between attempts to open a link.
  Duration retryInterval_ = std::chrono::milliseconds(500);
  // A link with more unsent bytes rejects messages.
  std::size_t maxUnsentBytes_ = 8 << 20;
};

struct PeerAddress
{
  std::string hostName_;
  Address address_;
};

// Run on the peer thread.
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

  // Opens the port; call before the thread starts.
  bool Listen(Error& aError);
  // The hosts to have links with. Safe from any thread.
  void SetPeers(std::vector<PeerAddress> aPeers);
  // Queues the message for sending; returns false when there is no link or a
  // queue is full. A true result does not mean delivery. Safe from any thread.
  bool Send(const std::string& aHostName, PeerMessage aMessage);
  // Names of the peers with an open link, sorted. Safe from any thread.
  std::vector<std::string> LinkedPeers() const;
  // Closes the port and all links. Call on the peer thread.
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
