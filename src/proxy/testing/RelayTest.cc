#include "proxy/RelayMessages.h"
#include "proxy/RelayNode.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace peridotsail;

namespace {

// A caller's request whose body consists of given chunks. Records the response.
class FakeRequest : public IncomingRequest
{
public:
  FakeRequest(boost::asio::io_context& aContext,
              std::vector<std::string> aChunks)
    : context_(aContext)
    , chunks_(std::move(aChunks))
  {
    head_.method_ = "POST";
    head_.target_ = "/x";
    head_.hasBody_ = true;
  }

  const RequestHead& Head() const override { return head_; }

  void ReadBody(ReadCallback aCallback) override
  {
    const std::string bytes = chunks_[next_++];
    boost::asio::post(context_, [this, bytes, aCallback] {
      aCallback(BodyChunk{ bytes, next_ == chunks_.size() }, {});
    });
  }

  void SendHead(ResponseHead aHead, WriteCallback aCallback) override
  {
    headSent_ = true;
    status_ = aHead.status_;
    boost::asio::post(context_, [aCallback] { aCallback(true); });
  }

  void SendBody(BodyChunk aChunk, WriteCallback aCallback) override
  {
    received_ += aChunk.bytes_;
    ended_ = aChunk.last_;
    boost::asio::post(context_, [aCallback] { aCallback(true); });
  }

  void Abort() override { aborted_ = true; }
  void Cancel() { NotifyCancelled(); }

  boost::asio::io_context& context_;
  RequestHead head_;
  std::vector<std::string> chunks_;
  std::size_t next_ = 0;
  int status_ = 0;
  std::string received_;
  bool ended_ = false;
  bool aborted_ = false;
};

// Two relay nodes on one io_context, with a fault chosen for each message.
struct Network
{
  enum class Fault
  {
    None,
    Lose,
    Duplicate,
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
      const int copies = fault == Fault::Lose        ? 0
                         : fault == Fault::Duplicate ? 2
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

  // Responds with the body of the request, chunk by chunk.
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
      [this, aRequest](std::optional<BodyChunk> aChunk, const Error&) {
        if (!aChunk) {
          return;
        }
        const bool last = aChunk->last_;
        aRequest->SendBody(*aChunk, [this, aRequest, last](bool aOk) {
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
MakeLargeBody()
{
  std::vector<std::string> chunks;
  for (char c = 'a'; c <= 'z'; ++c) {
    chunks.emplace_back(32 * 1024, c);
  }
  return chunks;
}

}

// Checks the flow control with a body that is larger than three windows.
TEST_CASE("a large body is relayed completely in both directions")
{
  Network network;
  const auto request =
    std::make_shared<FakeRequest>(network.context_, MakeLargeBody());
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
  std::string expected;
  for (const std::string& chunk : MakeLargeBody()) {
    expected += chunk;
  }
  CHECK(request->received_ == expected);
  CHECK(request->ended_);
  CHECK(network.source_.InFlight() + network.destination_.InFlight() == 0);
}

// With any single message lost or duplicated, the caller must get the complete
// response or an error, the request must not be executed twice, and "not-run"
// must never be reported after an execution.
TEST_CASE("one lost or duplicated message never causes a wrong response")
{
  for (const Network::Fault fault :
       { Network::Fault::Lose, Network::Fault::Duplicate }) {
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

TEST_CASE("without a link the request is reported as not run")
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

// Random and truncated bytes must not crash the decoders.
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
    DecodeRelayBodyChunk(bytes);
    DecodeRelayCredit(bytes);
    DecodeRelayEnd(bytes);
  }
  for (std::size_t size = 0; size < valid.size(); ++size) {
    CHECK_FALSE(DecodeRelayRequestHead(valid.substr(0, size)));
  }
}

// Checks invariant 1 on the data path: a body that is larger than the burst of
// the shift caps waits for tokens in both directions and still arrives
// complete.
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
    std::make_shared<FakeRequest>(network.context_, MakeLargeBody());
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

// Checks invariant 6: a request that the destination refused is reported as not
// run, with the destination's error kind.
TEST_CASE("a request that the destination refuses is reported as not run")
{
  Network network;
  network.refusal_ = ErrorKind::RegionFull;
  const auto request =
    std::make_shared<FakeRequest>(network.context_, MakeLargeBody());
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
