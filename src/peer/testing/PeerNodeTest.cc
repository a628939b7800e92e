#include "peer/PeerNode.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>

using namespace peridotsail;

namespace {

constexpr std::chrono::seconds kTestTimeout(60);

// A node on its own thread that records received messages and link changes.
class TestNode
{
public:
  TestNode(const std::string& aName,
           std::uint16_t aPort,
           const std::string& aToken)
    : thread_(aName, 1024)
  {
    PeerOptions options;
    options.self_ = { aName, "north", "north-a", "1" };
    options.listen_ = { "127.0.0.1", aPort };
    options.token_ = aToken;
    PeerHooks hooks;
    hooks.onMessage_ = [this](const PeerHello& aFrom,
                              const PeerMessage& aMessage) {
      Record(aFrom.hostName_ + ":" + aMessage.payload_);
    };
    hooks.onLink_ = [this](const PeerHello& aPeer, bool aUp) {
      Record(aPeer.hostName_ + (aUp ? " up" : " down"));
    };
    node_ = std::make_unique<PeerNode>(thread_, options, hooks);
    Error error;
    INFO(error.detail_);
    REQUIRE(node_->Listen(error));
    thread_.Start();
  }

  ~TestNode()
  {
    thread_.RunAndWait([this] { node_->Close(); });
    thread_.Stop();
  }

  bool WaitFor(const std::string& aText)
  {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kTestTimeout, [&] {
      return std::find(seen_.begin(), seen_.end(), aText) != seen_.end();
    });
  }

  EventLoopThread thread_;
  std::unique_ptr<PeerNode> node_;

private:
  void Record(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    seen_.push_back(aText);
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> seen_;
};

// Ports below the ephemeral range, so that no outgoing connection can use them.
constexpr std::uint16_t kPort1 = 18701;
constexpr std::uint16_t kPort2 = 18702;

}

TEST_CASE("malformed frames are not decoded")
{
  const PeerMessage message{ PeerMessageType::Gossip, std::string("\0x", 2) };
  const std::string bytes = EncodePeerMessage(message);
  CHECK(DecodePeerMessage(bytes)->payload_ == message.payload_);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodePeerMessage(bytes.substr(0, size)));
  }
  CHECK_FALSE(DecodePeerMessage(
    EncodePeerMessage({ static_cast<PeerMessageType>(999), "" })));
  CHECK_FALSE(DecodePeerMessage(std::string(kMaxPeerMessageBytes + 1, 'a')));
  CHECK_FALSE(DecodeHello("\xa0"));
}

// A link must be reopened after the peer has restarted.
TEST_CASE("messages arrive, and the link is reopened after a peer restarts")
{
  TestNode first("h1", kPort1, "secret");
  auto second = std::make_unique<TestNode>("h2", kPort2, "secret");
  first.node_->SetPeers({ { "h2", { "127.0.0.1", kPort2 } } });
  REQUIRE(first.WaitFor("h2 up"));
  REQUIRE(second->WaitFor("h1 up"));
  CHECK(first.node_->Send("h2", { PeerMessageType::Gossip, "hello" }));
  CHECK(second->WaitFor("h1:hello"));
  CHECK(second->node_->Send("h1", { PeerMessageType::Gossip, "back" }));
  CHECK(first.WaitFor("h2:back"));
  CHECK_FALSE(first.node_->Send("h9", { PeerMessageType::Gossip, "" }));
  second.reset();
  REQUIRE(first.WaitFor("h2 down"));
  second = std::make_unique<TestNode>("h2", kPort2, "secret");
  REQUIRE(second->WaitFor("h1 up"));
}

// Processes that do not know the shared secret must not get a link.
TEST_CASE("a host with another token gets no link")
{
  TestNode first("h1", kPort1, "secret");
  TestNode second("h2", kPort2, "other");
  TestNode third("h3", kPort2 + 1, "secret");
  first.node_->SetPeers({ { "h2", { "127.0.0.1", kPort2 } },
                          { "h3", { "127.0.0.1", kPort2 + 1 } } });
  REQUIRE(first.WaitFor("h3 up"));
  CHECK(first.node_->LinkedPeers() == std::vector<std::string>{ "h3" });
}
