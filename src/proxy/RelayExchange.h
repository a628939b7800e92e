#pragma once

// The two ends of one relay. Parts of RelayNode; included by its .cc files.

#include "http/BeastTypes.h"
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

// The sending host's name and incarnation and the relay's id.
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

// The host that relays a caller's request.
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
  void OnBody(RelayBodyPiece aPiece);
  void OnCredit(std::uint64_t aBytes);
  // The destination refused the request; it was not run.
  void OnRefused(ErrorKind aKind);
  // Ends the relay; the destination is told so.
  void Fail(const Error& aError);
  // Call before Start.
  void SetAllowance(RelayAllowancePtr aAllowance)
  {
    allowance_ = std::move(aAllowance);
  }
  const std::string& Host() const { return host_; }

private:
  void PumpRequestBody();
  void SendPiece(BodyPiece aPiece);
  void DeliverNext();
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
  RelayAllowancePtr allowance_;
  // The rest of a piece that waits for tokens of the shift cap.
  std::optional<BodyPiece> unsent_;
  bool bodyPumping_ = false;
  bool bodyEnded_ = false;
  bool headReceived_ = false;
  bool headDelivered_ = false;
  bool delivering_ = false;
  bool finished_ = false;
};

// The host that runs a relayed request.
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
  void SendBody(BodyPiece aPiece, WriteCallback aCallback) override;
  void Abort() override;

  void OnBody(RelayBodyPiece aPiece);
  void OnCredit(std::uint64_t aBytes);
  // The source gave up or the link is down.
  void OnSourceGone();
  // Ends the relay of a request that was not run.
  void Refuse(ErrorKind aKind);
  void SetAllowance(RelayAllowancePtr aAllowance)
  {
    allowance_ = std::move(aAllowance);
  }
  // Drops the callbacks, which hold this object, at the end of the node.
  void Discard()
  {
    const ReadCallback reading = std::exchange(reading_, nullptr);
    const WriteCallback head = std::exchange(headCallback_, nullptr);
    const WriteCallback body = std::exchange(pendingCallback_, nullptr);
  }
  const PeerHello& From() const { return from_; }
  RelayKey Key() const;

private:
  void DeliverBody();
  // Sends what waits for credit or for tokens of the shift cap.
  void FlushPending();
  // Each returns false when it has to wait.
  bool FlushHead();
  bool FlushBody();
  void RetryLater();
  void End(std::optional<ErrorKind> aRefusal);
  void Remove();
  void Later(std::function<void()> aTask);

  std::shared_ptr<RelayNode::Impl> node_;
  PeerHello from_;
  RelayRequestHead head_;
  RelaySender sender_;
  RelayReceiver receiver_;
  ReadCallback reading_;
  RelayAllowancePtr allowance_;
  asio::steady_timer timer_;
  // The encoded head that waits for tokens, and how many of its bytes have
  // some.
  std::optional<std::string> pendingHead_;
  std::size_t headCovered_ = 0;
  WriteCallback headCallback_;
  std::optional<BodyPiece> pending_;
  WriteCallback pendingCallback_;
  bool bodyEnded_ = false;
  bool gone_ = false;
};

}

}
