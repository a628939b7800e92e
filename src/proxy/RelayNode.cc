#include "proxy/RelayNode.h"

#include "base/EventLog.h"
#include "proxy/RelayExchange.h"

namespace peridotsail {

using namespace detail;

namespace {

void
LogMalformed(const PeerHello& aFrom, const char* aType)
{
  LogEvent(Event::PeerMessageMalformed,
           { { "peer", aFrom.hostName_ }, { "type", aType } });
}

}

std::shared_ptr<RelaySource>
RelayNode::Impl::FindSource(const PeerHello& aFrom, std::uint64_t aId) const
{
  const auto found = sources_.find(aId);
  const bool matches =
    found != sources_.end() && found->second->Host() == aFrom.hostName_;
  return matches ? found->second : nullptr;
}

std::shared_ptr<RelayDestination>
RelayNode::Impl::FindDestination(const PeerHello& aFrom,
                                 std::uint64_t aId) const
{
  const auto found =
    destinations_.find({ aFrom.hostName_, aFrom.incarnation_, aId });
  return found == destinations_.end() ? nullptr : found->second;
}

void
RelayNode::Impl::Accept(const PeerHello& aFrom, const RelayRequestHead& aHead)
{
  auto destination =
    std::make_shared<RelayDestination>(shared_from_this(), aFrom, aHead);
  // A duplicated head must not execute the request a second time.
  if (!destinations_.emplace(destination->Key(), destination).second) {
    LogMalformed(aFrom, "relay-head");
    return;
  }
  RelayedRequest relayed;
  relayed.request_ = destination;
  relayed.fromHost_ = aFrom.hostName_;
  relayed.fromRegion_ = aFrom.region_;
  relayed.customer_ = aHead.customer_;
  relayed.route_ = aHead.route_;
  relayed.deadline_ =
    BootClock::now() + std::chrono::milliseconds(aHead.remainingMs_);
  relayed.atMostOnce_ = aHead.atMostOnce_;
  relayed.refuse_ = [destination](ErrorKind aKind) {
    destination->Refuse(aKind);
  };
  relayed.setAllowance_ = [destination](RelayAllowancePtr aAllowance) {
    destination->SetAllowance(std::move(aAllowance));
  };
  hooks_.onRequest_(std::move(relayed));
}

void
RelayNode::Impl::OnHead(const PeerHello& aFrom, const std::string& aPayload)
{
  const auto direction = DecodeRelayHeadDirection(aPayload);
  if (direction == RelayDirection::Request) {
    if (const auto head = DecodeRelayRequestHead(aPayload)) {
      Accept(aFrom, *head);
      return;
    }
  } else if (direction == RelayDirection::Response) {
    if (auto head = DecodeRelayResponseHead(aPayload)) {
      // A response to a finished relay is dropped; IDs are never reused.
      if (const auto source = FindSource(aFrom, head->id_)) {
        source->OnHead(std::move(*head));
      }
      return;
    }
  }
  LogMalformed(aFrom, "relay-head");
}

void
RelayNode::Impl::OnBody(const PeerHello& aFrom, const std::string& aPayload)
{
  auto chunk = DecodeRelayBodyChunk(aPayload);
  if (!chunk) {
    LogMalformed(aFrom, "relay-body");
    return;
  }
  if (chunk->direction_ == RelayDirection::Request) {
    if (const auto destination = FindDestination(aFrom, chunk->id_)) {
      destination->OnBody(std::move(*chunk));
    }
  } else if (const auto source = FindSource(aFrom, chunk->id_)) {
    source->OnBody(std::move(*chunk));
  }
}

void
RelayNode::Impl::OnCredit(const PeerHello& aFrom, const std::string& aPayload)
{
  const auto credit = DecodeRelayCredit(aPayload);
  if (!credit || credit->bytes_ > kRelayWindowBytes) {
    LogMalformed(aFrom, "relay-credit");
    return;
  }
  if (credit->direction_ == RelayDirection::Request) {
    if (const auto source = FindSource(aFrom, credit->id_)) {
      source->OnCredit(credit->bytes_);
    }
  } else if (const auto destination = FindDestination(aFrom, credit->id_)) {
    destination->OnCredit(credit->bytes_);
  }
}

void
RelayNode::Impl::OnEnd(const PeerHello& aFrom, const std::string& aPayload)
{
  const auto end = DecodeRelayEnd(aPayload);
  if (!end) {
    LogMalformed(aFrom, "relay-end");
    return;
  }
  if (end->direction_ == RelayDirection::Request) {
    if (const auto destination = FindDestination(aFrom, end->id_)) {
      destination->OnSourceDisconnected();
    }
  } else if (const auto source = FindSource(aFrom, end->id_)) {
    if (end->refusal_) {
      source->OnRefused(*end->refusal_);
      return;
    }
    source->Fail(
      { ErrorKind::BackendFailed, "the relayed response ended early" });
  }
}

RelayNode::RelayNode(boost::asio::io_context& aContext, RelayHooks aHooks)
  : impl_(std::make_shared<Impl>(aContext, std::move(aHooks)))
{
}

RelayNode::~RelayNode()
{
  // Breaks the reference cycle between the node and its relays.
  const auto destinations = std::move(impl_->destinations_);
  impl_->destinations_.clear();
  for (const auto& [key, destination] : destinations) {
    destination->DropCallbacks();
  }
}

void
RelayNode::Start(IncomingRequestPtr aRequest,
                 const std::string& aHost,
                 RelayRequestHead aHead,
                 TimePoint aDeadline,
                 Done aDone,
                 RelayAllowancePtr aAllowance)
{
  aHead.id_ = ++impl_->lastId_;
  aHead.remainingMs_ = ToMilliseconds(aDeadline - BootClock::now());
  auto source = std::make_shared<RelaySource>(
    impl_, std::move(aRequest), aHost, aHead, aDeadline, std::move(aDone));
  source->SetAllowance(std::move(aAllowance));
  impl_->sources_[aHead.id_] = source;
  source->Start();
}

void
RelayNode::OnMessage(const PeerHello& aFrom, const PeerMessage& aMessage)
{
  switch (aMessage.type_) {
    case PeerMessageType::RelayHead:
      impl_->OnHead(aFrom, aMessage.payload_);
      break;
    case PeerMessageType::RelayBody:
      impl_->OnBody(aFrom, aMessage.payload_);
      break;
    case PeerMessageType::RelayCredit:
      impl_->OnCredit(aFrom, aMessage.payload_);
      break;
    case PeerMessageType::RelayEnd:
      impl_->OnEnd(aFrom, aMessage.payload_);
      break;
    default:
      break;
  }
}

void
RelayNode::OnLinkDown(const PeerHello& aPeer)
{
  const auto sources = impl_->sources_;
  for (const auto& [id, source] : sources) {
    if (source->Host() == aPeer.hostName_) {
      source->Fail({ ErrorKind::PeerUnreachable,
                     "the link to " + aPeer.hostName_ + " was lost" });
    }
  }
  const auto destinations = impl_->destinations_;
  for (const auto& [key, destination] : destinations) {
    if (destination->From().hostName_ == aPeer.hostName_) {
      destination->OnSourceDisconnected();
    }
  }
}

std::size_t
RelayNode::InFlight() const
{
  return impl_->sources_.size() + impl_->destinations_.size();
}

}
