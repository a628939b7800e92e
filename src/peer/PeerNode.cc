#include "peer/PeerNode.h"

#include "base/EventLog.h"
#include "base/Hash.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>
#include <set>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace peridotsail {

namespace {

using Handle = websocketpp::connection_hdl;
using ErrorCode = websocketpp::lib::error_code;

struct ServerConfig : public websocketpp::config::asio
{
  static const size_t max_message_size = // NOLINT
    kMaxPeerMessageBytes + 1024;
};

struct ClientConfig : public websocketpp::config::asio_client
{
  static const size_t max_message_size = // NOLINT
    kMaxPeerMessageBytes + 1024;
};

using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;

constexpr char kTokenHeader[] = "X-Peer-Token";

// One connection, which either side may have opened.
struct Link
{
  Handle handle_;
  bool outgoing_ = false;
  TimePoint lastReceived_;
  // Empty until the peer's hello has arrived.
  PeerHello peer_;
};

using LinkPtr = std::shared_ptr<Link>;

}

struct PeerNode::Impl : public std::enable_shared_from_this<Impl>
{
  Impl(EventLoopThread& aThread, PeerOptions aOptions, PeerHooks aHooks)
    : thread_(aThread)
    , options_(std::move(aOptions))
    , hooks_(std::move(aHooks))
    , timer_(aThread.Context())
  {
  }

  void Configure();
  template<typename Endpoint>
  void ConfigureEndpoint(Endpoint& aEndpoint, bool aOutgoing);
  void OnOpen(const Handle& aHandle, bool aOutgoing);
  void OnClose(const Handle& aHandle);
  void OnMessage(const Handle& aHandle, const std::string& aBytes);
  void OnHello(const LinkPtr& aLink, const PeerMessage& aMessage);
  bool IsTokenValid(const Handle& aHandle);
  void Connect(const PeerAddress& aPeer);
  void Tick();
  void CloseSilentLinks(TimePoint aNow);
  void OpenMissingLinks();
  bool SendOn(const LinkPtr& aLink, const PeerMessage& aMessage);
  void CloseLink(const LinkPtr& aLink);
  void SetLinked(const std::string& aName, bool aLinked);

  EventLoopThread& thread_;
  PeerOptions options_;
  PeerHooks hooks_;
  boost::asio::steady_timer timer_;
  Server server_;
  Client client_;
  bool closed_ = false;
  std::vector<PeerAddress> peers_;
  std::map<Handle, LinkPtr, std::owner_less<Handle>> links_;
  std::map<std::string, LinkPtr> linksByName_;
  // Peers to which a connection is currently being opened.
  std::set<std::string> connecting_;
  std::map<Handle, std::string, std::owner_less<Handle>> connectingHandles_;

  mutable std::mutex linkedMutex_;
  std::set<std::string> linked_;
};

void
PeerNode::Impl::Configure()
{
  server_.init_asio(&thread_.Context());
  client_.init_asio(&thread_.Context());
  ConfigureEndpoint(server_, false);
  ConfigureEndpoint(client_, true);
  server_.set_reuse_addr(true);
  server_.set_validate_handler(
    [this](const Handle& aHandle) { return IsTokenValid(aHandle); });
}

template<typename Endpoint>
void
PeerNode::Impl::ConfigureEndpoint(Endpoint& aEndpoint, bool aOutgoing)
{
  aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
  aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
  aEndpoint.set_open_handler(
    [this, aOutgoing](const Handle& aHandle) { OnOpen(aHandle, aOutgoing); });
  aEndpoint.set_close_handler(
    [this](const Handle& aHandle) { OnClose(aHandle); });
  aEndpoint.set_fail_handler(
    [this](const Handle& aHandle) { OnClose(aHandle); });
  aEndpoint.set_message_handler(
    [this](const Handle& aHandle,
           const typename Endpoint::message_ptr& aMessage) {
      OnMessage(aHandle, aMessage->get_payload());
    });
}

bool
PeerNode::Impl::IsTokenValid(const Handle& aHandle)
{
  ErrorCode error;
  const auto connection = server_.get_con_from_hdl(aHandle, error);
  return connection != nullptr &&
         EqualConstantTime(connection->get_request_header(kTokenHeader),
                           options_.token_);
}

void
PeerNode::Impl::OnOpen(const Handle& aHandle, bool aOutgoing)
{
  auto link = std::make_shared<Link>();
  link->handle_ = aHandle;
  link->outgoing_ = aOutgoing;
  link->lastReceived_ = BootClock::now();
  links_[aHandle] = link;
  SendOn(link, { PeerMessageType::Hello, EncodeHello(options_.self_) });
}

void
PeerNode::Impl::OnClose(const Handle& aHandle)
{
  const auto connecting = connectingHandles_.find(aHandle);
  if (connecting != connectingHandles_.end()) {
    connecting_.erase(connecting->second);
    connectingHandles_.erase(connecting);
  }
  const auto found = links_.find(aHandle);
  if (found == links_.end()) {
    return;
  }
  const LinkPtr link = found->second;
  links_.erase(found);
  const auto registered = linksByName_.find(link->peer_.hostName_);
  if (registered == linksByName_.end() || registered->second != link) {
    return;
  }
  linksByName_.erase(registered);
  SetLinked(link->peer_.hostName_, false);
  LogEvent(Event::PeerDisconnected, { { "peer", link->peer_.hostName_ } });
  hooks_.onLink_(link->peer_, false);
}

void
PeerNode::Impl::OnMessage(const Handle& aHandle, const std::string& aBytes)
{
  const auto found = links_.find(aHandle);
  if (found == links_.end()) {
    return;
  }
  const LinkPtr link = found->second;
  link->lastReceived_ = BootClock::now();
  std::optional<PeerMessage> message = DecodePeerMessage(aBytes);
  if (!message) {
    LogEvent(Event::PeerMessageMalformed,
             { { "peer", link->peer_.hostName_ }, { "bytes", aBytes.size() } });
    return;
  }
  if (message->type_ == PeerMessageType::Hello) {
    OnHello(link, *message);
  } else if (message->type_ != PeerMessageType::Ping &&
             !link->peer_.hostName_.empty()) {
    hooks_.onMessage_(link->peer_, std::move(*message));
  }
}

void
PeerNode::Impl::OnHello(const LinkPtr& aLink, const PeerMessage& aMessage)
{
  const std::optional<PeerHello> hello = DecodeHello(aMessage.payload_);
  const bool repeated = !aLink->peer_.hostName_.empty();
  if (!hello || repeated || hello->hostName_ == options_.self_.hostName_) {
    LogEvent(Event::PeerMessageMalformed, { { "type", "hello" } });
    CloseLink(aLink);
    return;
  }
  aLink->peer_ = *hello;
  // A newer link replaces an older one to the same peer, because the peer may
  // already have lost the older connection.
  const auto existing = linksByName_.find(hello->hostName_);
  if (existing != linksByName_.end()) {
    CloseLink(existing->second);
  }
  linksByName_[hello->hostName_] = aLink;
  SetLinked(hello->hostName_, true);
  LogEvent(Event::PeerConnected,
           { { "peer", hello->hostName_ }, { "region", hello->region_ } });
  hooks_.onLink_(*hello, true);
}

void
PeerNode::Impl::CloseLink(const LinkPtr& aLink)
{
  // OnClose is called directly because WebSocket++ calls it only after the
  // closing handshake, which an unresponsive peer never completes.
  const Handle handle = aLink->handle_;
  OnClose(handle);
  ErrorCode ignored;
  if (aLink->outgoing_) {
    client_.close(handle, websocketpp::close::status::going_away, "", ignored);
  } else {
    server_.close(handle, websocketpp::close::status::going_away, "", ignored);
  }
}

bool
PeerNode::Impl::SendOn(const LinkPtr& aLink, const PeerMessage& aMessage)
{
  const std::string bytes = EncodePeerMessage(aMessage);
  if (bytes.size() > kMaxPeerMessageBytes) {
    return false;
  }
  ErrorCode error;
  const auto send = [&](auto& aEndpoint) {
    const auto connection = aEndpoint.get_con_from_hdl(aLink->handle_, error);
    if (connection == nullptr || error ||
        connection->get_buffered_amount() > options_.maxUnsentBytes_) {
      return false;
    }
    error = connection->send(bytes, websocketpp::frame::opcode::binary);
    return !error;
  };
  return aLink->outgoing_ ? send(client_) : send(server_);
}

void
PeerNode::Impl::Connect(const PeerAddress& aPeer)
{
  const std::string ip = aPeer.address_.ip_.find(':') == std::string::npos
                           ? aPeer.address_.ip_
                           : "[" + aPeer.address_.ip_ + "]";
  ErrorCode error;
  const auto connection = client_.get_connection(
    "ws://" + ip + ":" + std::to_string(aPeer.address_.port_) + "/", error);
  if (error) {
    return;
  }
  connection->append_header(kTokenHeader, options_.token_);
  connecting_.insert(aPeer.hostName_);
  connectingHandles_[connection->get_handle()] = aPeer.hostName_;
  client_.connect(connection);
}

void
PeerNode::Impl::Tick()
{
  if (closed_) {
    return;
  }
  const TimePoint now = BootClock::now();
  for (const auto& [name, link] : linksByName_) {
    SendOn(link, { PeerMessageType::Ping, "" });
  }
  CloseSilentLinks(now);
  OpenMissingLinks();
  timer_.expires_after(
    std::min(options_.pingInterval_, options_.retryInterval_));
  timer_.async_wait([self = shared_from_this()](auto aError) {
    if (!aError) {
      self->Tick();
    }
  });
}

void
PeerNode::Impl::CloseSilentLinks(TimePoint aNow)
{
  std::vector<LinkPtr> silent;
  for (const auto& [handle, link] : links_) {
    if (aNow - link->lastReceived_ > options_.silenceTimeout_) {
      silent.push_back(link);
    }
  }
  for (const LinkPtr& link : silent) {
    CloseLink(link);
  }
}

void
PeerNode::Impl::OpenMissingLinks()
{
  for (const PeerAddress& peer : peers_) {
    const bool weConnect = options_.self_.hostName_ < peer.hostName_;
    if (weConnect && linksByName_.count(peer.hostName_) == 0 &&
        connecting_.count(peer.hostName_) == 0) {
      Connect(peer);
    }
  }
}

void
PeerNode::Impl::SetLinked(const std::string& aName, bool aLinked)
{
  const std::lock_guard<std::mutex> lock(linkedMutex_);
  if (aLinked) {
    linked_.insert(aName);
  } else {
    linked_.erase(aName);
  }
}

PeerNode::PeerNode(EventLoopThread& aThread,
                   PeerOptions aOptions,
                   PeerHooks aHooks)
  : impl_(
      std::make_shared<Impl>(aThread, std::move(aOptions), std::move(aHooks)))
{
  impl_->Configure();
}

PeerNode::~PeerNode() = default;

bool
PeerNode::Listen(Error& aError)
{
  try {
    const boost::asio::ip::tcp::endpoint endpoint(
      boost::asio::ip::make_address(impl_->options_.listen_.ip_),
      impl_->options_.listen_.port_);
    impl_->server_.listen(endpoint);
    impl_->server_.start_accept();
  } catch (const std::exception& error) {
    aError = { ErrorKind::Internal,
               "cannot listen on the peer port " +
                 std::to_string(impl_->options_.listen_.port_) + ": " +
                 error.what() };
    return false;
  }
  impl_->Tick();
  return true;
}

void
PeerNode::SetPeers(std::vector<PeerAddress> aPeers)
{
  impl_->thread_.Post([impl = impl_, peers = std::move(aPeers)]() mutable {
    impl->peers_ = std::move(peers);
    impl->OpenMissingLinks();
  });
}

bool
PeerNode::Send(const std::string& aHostName, PeerMessage aMessage)
{
  {
    const std::lock_guard<std::mutex> lock(impl_->linkedMutex_);
    if (impl_->linked_.count(aHostName) == 0) {
      return false;
    }
  }
  return impl_->thread_.Post(
    [impl = impl_, aHostName, message = std::move(aMessage)] {
      const auto found = impl->linksByName_.find(aHostName);
      if (found != impl->linksByName_.end()) {
        impl->SendOn(found->second, message);
      }
    });
}

std::vector<std::string>
PeerNode::LinkedPeers() const
{
  const std::lock_guard<std::mutex> lock(impl_->linkedMutex_);
  return { impl_->linked_.begin(), impl_->linked_.end() };
}

void
PeerNode::Close()
{
  impl_->closed_ = true;
  impl_->timer_.cancel();
  ErrorCode ignored;
  impl_->server_.stop_listening(ignored);
  std::vector<LinkPtr> links;
  for (const auto& [handle, link] : impl_->links_) {
    links.push_back(link);
  }
  for (const LinkPtr& link : links) {
    impl_->CloseLink(link);
  }
}

}
