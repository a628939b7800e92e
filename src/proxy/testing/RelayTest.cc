#include "proxy/RelayMessages.h"
#include "proxy/RelayNode.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace peridotsail;

namespace {

// A caller's request with a body of given pieces, which records the response.
class FakeRequest : public IncomingRequest
{
public:
  FakeRequest(boost::asio::io_context& aContext,
              std::vector<std::string> aPieces)
    : context_(aContext)
    , pieces_(std::move(aPieces))
  {
    head_.method_ = "POST";
    head_.target_ = "/x";
    head_.hasBody_ = true;
  }

  const RequestHead& Head() const override { return head_; }

  void ReadBody(ReadCallback aCallback) override
  {
    const std::string bytes = pieces_[next_++];
    boost::asio::post(context_, [this, bytes, aCallback] {
      aCallback(BodyPiece{ bytes, next_ == pieces_.size() }, {});
    });
  }

  void SendHead(ResponseHead aHead, WriteCallback aCallback) override
  {
    headSent_ = true;
    status_ = aHead.status_;
    boost::asio::post(context_, [aCallback] { aCallback(true); });
  }

  void SendBody(BodyPiece aPiece, WriteCallback aCallback) override
  {
    received_ += aPiece.bytes_;
    ended_ = aPiece.last_;
    boost::asio::post(context_, [aCallback] { aCallback(true); });
  }

  void Abort() override { aborted_ = true; }
  void GiveUp() { NotifyCancelled(); }

  boost::asio::io_context& context_;
  RequestHead head_;
  std::vector<std::string> pieces_;
  std::size_t next_ = 0;
  int status_ = 0;
  std::string received_;
  bool ended_ = false;
  bool aborted_ = false;
};

// Two relay nodes on one io_context, with a fault for each message.
struct Network
{
  enum class Fault
  {
    None,
    Lose,
    Double,
  };

  Network()
    : source_(context_, HooksFor("h1", "h2"))
    , destination_(context_, HooksFor("h2", "h1"))
  {
  }

  RelayHooks HooksFor(const std::string& aSelf, const std::string& aOther)
  {
    RelayHooks hooks;
    hooks.send_ = [this, aSelf, aOther](const std::string& aHost,
                                        const PeerMessage& aMessage) {
      if (aHost != aOther || linkDown_) {
        return false;
      }
      const Fault fault = fault_ ? fault_(sent_++) : Fault::None;
      const int copies = fault == Fault::Lose     ? 0
                         : fault == Fault::Double ? 2
                                                  : 1;
      for (int i = 0; i < copies; ++i) {
        boost::asio::post(context_, [this, aSelf, aOther, aMessage] {
          (aOther == "h1" ? source_ : destination_)
            .OnMessage({ aSelf, "r", "d", "1" }, aMessage);
        });
      }
      return true;
    };
    hooks.onRequest_ = [this](const RelayedRequest& aRelayed) {
      if (refusal_) {
        aRelayed.refuse_(*refusal_);
        return;
      }
      ++runs_;
      aRelayed.setAllowance_(std::move(responseAllowance_));
      Echo(aRelayed.request_);
    };
    return hooks;
  }

  // Answers with the request's body, piece by piece.
  void Echo(const IncomingRequestPtr& aRequest)
  {
    aRequest->SendHead({ 200, {}, std::nullopt }, [this, aRequest](bool aOk) {
      if (aOk) {
        EchoNext(aRequest);
      }
    });
  }

  void EchoNext(const IncomingRequestPtr& aRequest)
  {
    aRequest->ReadBody(
      [this, aRequest](std::optional<BodyPiece> aPiece, const Error&) {
        if (!aPiece) {
          return;
        }
        const bool last = aPiece->last_;
        aRequest->SendBody(*aPiece, [this, aRequest, last](bool aOk) {
          if (aOk && !last) {
            EchoNext(aRequest);
          }
        });
      });
  }

  boost::asio::io_context context_;
  std::function<Fault(int aNumber)> fault_;
  std::optional<ErrorKind> refusal_;
  RelayAllowancePtr responseAllowance_;
  bool linkDown_ = false;
  int sent_ = 0;
  int runs_ = 0;
  RelayNode source_;
  RelayNode destination_;
};

std::vector<std::string>
LargeBody()
{
  std::vector<std::string> pieces;
  for (char c = 'a'; c <= 'z'; ++c) {
    pieces.emplace_back(32 * 1024, c);
  }
  return pieces;
}

}

// Guards the flow control: a body of three windows must arrive whole.
TEST_CASE("a large body travels in both directions")
{
  Network network;
  const auto request =
    std::make_shared<FakeRequest>(network.context_, LargeBody());
  std::optional<RelayResult> result;
  RelayRequestHead head;
  head.head_ = request->Head();
  network.source_.Start(request,
                        "h2",
                        head,
                        BootClock::now() + std::chrono::minutes(5),
                        [&](const RelayResult& aResult) { result = aResult; });
  network.context_.run();
  REQUIRE(result);
  CHECK_FALSE(result->error_);
  std::string whole;
  for (const std::string& piece : LargeBody()) {
    whole += piece;
  }
  CHECK(request->received_ == whole);
  CHECK(request->ended_);
  CHECK(network.source_.InFlight() + network.destination_.InFlight() == 0);
}

// Guards against answers with gaps or repetitions, and against a second run by
// a doubled message: with any one message lost or doubled the caller gets the
// whole answer or an error, and "not-run" is never stated after a run.
TEST_CASE("one lost or doubled message never gives a wrong answer")
{
  for (const Network::Fault fault :
       { Network::Fault::Lose, Network::Fault::Double }) {
    for (int number = 0; number < 12; ++number) {
      INFO("fault " << static_cast<int>(fault) << " at message " << number);
      Network network;
      network.fault_ = [&](int aNumber) {
        return aNumber == number ? fault : Network::Fault::None;
      };
      const auto request = std::make_shared<FakeRequest>(
        network.context_, std::vector<std::string>{ "one", "two", "three" });
      std::optional<RelayResult> result;
      RelayRequestHead head;
      head.head_ = request->Head();
      network.source_.Start(
        request,
        "h2",
        head,
        BootClock::now() + std::chrono::milliseconds(100),
        [&](const RelayResult& aResult) { result = aResult; });
      while (!result && network.context_.run_one() > 0) {
      }
      REQUIRE(result);
      CHECK(network.runs_ <= 1);
      if (result->error_) {
        CHECK_FALSE(request->ended_);
        CHECK(std::string("onetwothree").rfind(request->received_, 0) == 0);
        CHECK(
          (result->execution_ != ExecutionState::NotRun || network.runs_ == 0));
      } else {
        CHECK(request->received_ == "onetwothree");
      }
    }
  }
}

TEST_CASE("without a link the request is stated as not run")
{
  Network network;
  network.linkDown_ = true;
  const auto request = std::make_shared<FakeRequest>(
    network.context_, std::vector<std::string>{ "" });
  std::optional<RelayResult> result;
  network.source_.Start(request,
                        "h2",
                        {},
                        BootClock::now() + std::chrono::minutes(5),
                        [&](const RelayResult& aResult) { result = aResult; });
  REQUIRE(result);
  CHECK(result->execution_ == ExecutionState::NotRun);
  CHECK(result->error_->kind_ == ErrorKind::PeerUnreachable);
}

// Guards the decoders: random and truncated bytes are never accepted as
// something that crashes.
TEST_CASE("malformed relay messages are dropped")
{
  std::mt19937 random(7);
  RelayRequestHead head;
  head.head_.headers_ = { { "A", "b" } };
  const std::string valid = Encode(head);
  CHECK(DecodeRelayRequestHead(valid)->head_.headers_.size() == 1);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = valid;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(random() % (bytes.size() + 1));
    DecodeRelayRequestHead(bytes);
    DecodeRelayResponseHead(bytes);
    DecodeRelayBodyPiece(bytes);
    DecodeRelayCredit(bytes);
    DecodeRelayEnd(bytes);
  }
  for (std::size_t size = 0; size < valid.size(); ++size) {
    CHECK_FALSE(DecodeRelayRequestHead(valid.substr(0, size)));
  }
}

// Guards invariant 1 on the data path: both directions of a relay that is
// larger than the caps' burst wait for tokens and still arrive whole.
TEST_CASE("a relay under shift caps sends only bytes that have tokens")
{
  constexpr double kMbit = 8;
  constexpr double kBytesPerSecond = kMbit * 125'000;
  auto configuration = std::make_shared<Configuration>();
  configuration->regions_ = { { "n", {}, 1, 0 }, { "s", {}, 1, 0 } };
  configuration->shiftCaps_ = { { "n", "s", kMbit }, { "s", "n", kMbit } };
  const TimePoint start = BootClock::now();
  Network network;
  const auto allow = [&](const std::string& aFrom, const std::string& aTo) {
    auto steering = std::make_shared<HostSteering>(aFrom);
    steering->SetConfiguration(configuration, start - std::chrono::seconds(1));
    steering->SetSlot(1, TimePoint::max(), start - std::chrono::seconds(1));
    auto reservation = steering->Caps().Reserve(aTo, 1000, BootClock::now());
    REQUIRE(reservation);
    return std::make_pair(
      steering, std::make_shared<RelayAllowance>(steering, *reservation));
  };
  auto [source, allowance] = allow("n", "s");
  auto [destination, responseAllowance] = allow("s", "n");
  network.responseAllowance_ = std::move(responseAllowance);
  const auto request =
    std::make_shared<FakeRequest>(network.context_, LargeBody());
  std::optional<RelayResult> result;
  RelayRequestHead head;
  head.head_ = request->Head();
  network.source_.Start(
    request,
    "h2",
    head,
    BootClock::now() + std::chrono::minutes(5),
    [&](const RelayResult& aResult) { result = aResult; },
    std::move(allowance));
  network.context_.run();
  REQUIRE(result);
  CHECK_FALSE(result->error_);
  const double size = 26 * 32 * 1024;
  CHECK(static_cast<double>(request->received_.size()) == size);
  const double bound =
    kBytesPerSecond * (1 + ToSeconds(BootClock::now() - start));
  for (const auto& steering : { source, destination }) {
    const ShiftPairStatus status = steering->Caps().Status().front();
    CHECK(status.sentBytes_ > size);
    CHECK(status.sentBytes_ <= bound);
    CHECK(status.heldBytes_ <= kBytesPerSecond / 2);
  }
}

// Guards invariant 6: a request that the destination refused is known as not
// run, with the destination's reason.
TEST_CASE("a relay that the destination refuses was not run")
{
  Network network;
  network.refusal_ = ErrorKind::RegionFull;
  const auto request =
    std::make_shared<FakeRequest>(network.context_, LargeBody());
  std::optional<RelayResult> result;
  RelayRequestHead head;
  head.head_ = request->Head();
  network.source_.Start(request,
                        "h2",
                        head,
                        BootClock::now() + std::chrono::minutes(5),
                        [&](const RelayResult& aResult) { result = aResult; });
  network.context_.run();
  REQUIRE(result);
  REQUIRE(result->error_);
  CHECK(result->error_->kind_ == ErrorKind::RegionFull);
  CHECK(result->execution_ == ExecutionState::NotRun);
  CHECK(result->refused_);
  CHECK(network.runs_ == 0);
  CHECK(network.source_.InFlight() + network.destination_.InFlight() == 0);
}
