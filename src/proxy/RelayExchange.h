#pragma once

// The two endpoints of a relay. Internal to RelayNode.

#include "http/BeastTypes.h"
#include "proxy/RelayMemory.h"
#include "proxy/RelayNode.h"
#include "proxy/RelayStream.h"

#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace peridotsail {

namespace detail {

class RelaySource;
class RelayDestination;

// The source host's name and incarnation, and the ID of the relay.
using RelayKey = std::tuple<std::string, std::string, std::uint64_t>;

}

struct RelayNode::Impl : public std::enable_shared_from_this<Impl>
{
  Impl(boost::asio::io_context& aContext, RelayHooks aHooks)
    : context_(aContext)
    , hooks_(std::move(aHooks))
  {
  }

  bool Send(const std::string& aHost,
            PeerMessageType aType,
            std::string aPayload)
  {
    return hooks_.send_(aHost, { aType, std::move(aPayload) });
  }

  void OnHead(const PeerHello& aFrom, const std::string& aPayload);
  void OnBody(const PeerHello& aFrom, const std::string& aPayload);
  void OnCredit(const PeerHello& aFrom, const std::string& aPayload);
  void OnEnd(const PeerHello& aFrom, const std::string& aPayload);
  void Accept(const PeerHello& aFrom, const RelayRequestHead& aHead);
  std::shared_ptr<detail::RelaySource> FindSource(const PeerHello& aFrom,
                                                  std::uint64_t aId) const;
  std::shared_ptr<detail::RelayDestination> FindDestination(
    const PeerHello& aFrom,
    std::uint64_t aId) const;

  boost::asio::io_context& context_;
  RelayHooks hooks_;
  std::uint64_t lastId_ = 0;
  std::map<std::uint64_t, std::shared_ptr<detail::RelaySource>> sources_;
  std::map<detail::RelayKey, std::shared_ptr<detail::RelayDestination>>
    destinations_;
};

namespace detail {

// The endpoint on the host that relays a caller's request.
class RelaySource : public std::enable_shared_from_this<RelaySource>
{
public:
  RelaySource(std::shared_ptr<RelayNode::Impl> aNode,
              IncomingRequestPtr aRequest,
              std::string aHost,
              RelayRequestHead aHead,
              TimePoint aDeadline,
              RelayNode::Done aDone);

  void Start();
  void OnHead(RelayResponseHead aHead);
  void OnBody(RelayBodyChunk aChunk);
  void OnCredit(std::uint64_t aBytes);
  // The destination refused the request without executing it.
  void OnRefused(ErrorKind aKind);
  // Ends the relay and notifies the destination.
  void Fail(const Error& aError);
  // Must be called before Start.
  void SetAllowance(RelayAllowancePtr aAllowance)
  {
    allowance_ = std::move(aAllowance);
  }
  const std::string& Host() const { return host_; }

private:
  void ForwardRequestBody();
  void SendChunk(BodyChunk aChunk);
  void DeliverNextChunk();
  // Accounts for what waits in both directions and for aMore bytes. Returns
  // false if the relay must not buffer more.
  bool MayHold(std::size_t aMore);
  void Complete();
  void Finish();
  void ArmTimer();
  void OnTimer();

  std::shared_ptr<RelayNode::Impl> node_;
  IncomingRequestPtr incoming_;
  std::string host_;
  RelayRequestHead head_;
  TimePoint deadline_;
  RelayNode::Done done_;
  RelayResult result_;
  asio::steady_timer timer_;
  TimePoint lastProgress_;
  RelaySender sender_;
  RelayReceiver receiver_;
  RelayMemory memory_;
  RelayAllowancePtr allowance_;
  // The rest of a chunk that waits for tokens of the shift cap.
  std::optional<BodyChunk> unsentChunk_;
  bool readingBody_ = false;
  bool bodyEnded_ = false;
  bool headReceived_ = false;
  bool headDelivered_ = false;
  bool writing_ = false;
  bool finished_ = false;
};

// The endpoint on the host that executes a relayed request.
class RelayDestination
  : public IncomingRequest
  , public std::enable_shared_from_this<RelayDestination>
{
public:
  RelayDestination(std::shared_ptr<RelayNode::Impl> aNode,
                   PeerHello aFrom,
                   RelayRequestHead aHead);

  const RequestHead& Head() const override { return head_.head_; }
  void ReadBody(ReadCallback aCallback) override;
  void SendHead(ResponseHead aHead, WriteCallback aCallback) override;
  void SendBody(BodyChunk aChunk, WriteCallback aCallback) override;
  void Abort() override;

  void OnBody(RelayBodyChunk aChunk);
  void OnCredit(std::uint64_t aBytes);
  // The source cancelled the relay, or the link to it was lost.
  void OnSourceDisconnected();
  // Ends the relay of a request that was not executed.
  void Refuse(ErrorKind aKind);
  void SetAllowance(RelayAllowancePtr aAllowance)
  {
    allowance_ = std::move(aAllowance);
  }
  // Drops the callbacks when the node is destroyed, because they own this
  // object.
  void DropCallbacks()
  {
    const ReadCallback readCallback = std::exchange(readCallback_, nullptr);
    const WriteCallback head = std::exchange(headCallback_, nullptr);
    const WriteCallback body = std::exchange(chunkCallback_, nullptr);
  }
  const PeerHello& From() const { return from_; }
  RelayKey Key() const;

private:
  void DeliverBody();
  // Sends data that waits for credit or for tokens of the shift cap.
  void FlushPending();
  // Both return false when they must wait for tokens.
  bool FlushHead();
  bool FlushBody();
  void RetryLater();
  void EndRelay(std::optional<ErrorKind> aRefusal);
  void Remove();
  void Post(std::function<void()> aTask);

  std::shared_ptr<RelayNode::Impl> node_;
  PeerHello from_;
  RelayRequestHead head_;
  RelaySender sender_;
  RelayReceiver receiver_;
  RelayMemory memory_;
  ReadCallback readCallback_;
  RelayAllowancePtr allowance_;
  asio::steady_timer timer_;
  // The encoded head that waits for tokens, and the number of its bytes for
  // which tokens have been acquired.
  std::optional<std::string> pendingHead_;
  std::size_t headBytesAcquired_ = 0;
  WriteCallback headCallback_;
  std::optional<BodyChunk> pendingChunk_;
  WriteCallback chunkCallback_;
  bool bodyEnded_ = false;
  bool ended_ = false;
};

}

}
