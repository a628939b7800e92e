#include "gateway/ServerExchange.h"

#include <catch2/catch.hpp>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

using namespace peridotsail;
using namespace peridotsail::detail;

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
// The time after which a hanging test fails.
constexpr int kTestTimeoutMs = 20000;
constexpr std::size_t kFillers = 4;

// A listening port whose accept queue is full.
class FullBacklog
{
public:
  explicit FullBacklog(asio::io_context& aContext)
    : acceptor_(aContext)
  {
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen(0);
    acceptor_.non_blocking(true);
    for (std::size_t i = 0; i < kFillers; ++i) {
      fillers_.emplace_back(aContext);
      fillers_.back().open(any.protocol());
      fillers_.back().native_non_blocking(true);
      // The library's connect would block until the connection is accepted.
      const tcp::endpoint to = acceptor_.local_endpoint();
      static_cast<void>(
        connect(fillers_.back().native_handle(), to.data(), to.size()));
    }
  }

  Address ListenAddress() const
  {
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
  }

  // Accepts the pending connections, so that the next one is accepted by the
  // kernel.
  void AcceptPending(asio::io_context& aContext)
  {
    fillers_.clear();
    for (;;) {
      tcp::socket socket(aContext);
      ErrorCode error;
      acceptor_.accept(socket, error);
      if (error) {
        return;
      }
      accepted_.push_back(std::move(socket));
    }
  }

  // Waits until the kernel has accepted another connection.
  bool WaitForConnection()
  {
    pollfd waiting{ acceptor_.native_handle(), POLLIN, 0 };
    return poll(&waiting, 1, kTestTimeoutMs) == 1;
  }

private:
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> fillers_;
  std::vector<tcp::socket> accepted_;
};

}

// Guards against a request that is executed twice after its host was suspended
// while it connected: when the host resumes, the connection is open and its
// connect timeout has expired, and both events are delivered together. If the
// request was sent, it must not be reported as not executed, since it would
// then be sent to a second server.
TEST_CASE("A connect timeout does not report a sent request as not executed")
{
  asio::io_context context;
  FullBacklog port(context);
  InstanceRecord record;
  record.id_ = "i-1";
  record.address_ = port.ListenAddress();
  const auto instance = std::make_shared<Instance>(record);
  MemoryPool memory({}, nullptr);
  ServerConnections connections(context, {}, memory);
  const GatewayHeaders headers;
  ServerRequest request;
  request.instance_ = instance;
  request.requestId_ = "r1";
  request.head_ = "POST / HTTP/1.1\r\n\r\n";
  request.body_ = std::make_shared<const BlockBuffer>();
  request.connectTimeout_ = kConnectTimeout;
  std::optional<ExchangeOutcome> outcome;
  const auto exchange = std::make_shared<ServerExchange>(
    connections, headers, request, [&](const ServerExchangeResult& aResult) {
      outcome = aResult.outcome_;
    });
  exchange->Start();
  asio::io_context otherContext;
  asio::steady_timer connectTimeout(otherContext, ToSteady(kConnectTimeout));
  context.poll();
  port.AcceptPending(context);
  REQUIRE(port.WaitForConnection());
  connectTimeout.wait();
  context.restart();
  context.poll();
  context.restart();
  context.poll();
  if (exchange->WasSent()) {
    CHECK(outcome != ExchangeOutcome::NotExecuted);
  } else {
    CHECK(outcome == ExchangeOutcome::NotExecuted);
  }
  exchange->Cancel();
}

// Guards against requests of a crowd that use up the descriptors, one for each
// that waits for its server, and against servers that are blamed for it.
TEST_CASE("A request beyond the limit of connections is not sent")
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  InstanceRecord record;
  record.id_ = "i-1";
  record.address_ = { "127.0.0.1", acceptor.local_endpoint().port() };
  const auto instance = std::make_shared<Instance>(record);
  MemoryPool memory({}, nullptr);
  ServerConnectionOptions options;
  options.maxOpen_ = [] { return std::size_t{ 2 }; };
  ServerConnections connections(context, options, memory);
  const GatewayHeaders headers;
  std::vector<ServerExchangeResult> results;
  std::vector<std::shared_ptr<ServerExchange>> exchanges;
  const auto start = [&] {
    ServerRequest request;
    request.instance_ = instance;
    request.requestId_ = "r" + std::to_string(exchanges.size());
    request.head_ = "GET / HTTP/1.1\r\n\r\n";
    request.body_ = std::make_shared<const BlockBuffer>();
    exchanges.push_back(std::make_shared<ServerExchange>(
      connections, headers, request, [&](ServerExchangeResult aResult) {
        results.push_back(std::move(aResult));
      }));
    exchanges.back()->Start();
    context.restart();
    context.poll();
  };
  start();
  start();
  CHECK(connections.Open() == 2);
  start();
  REQUIRE(results.size() == 1);
  CHECK(results[0].outcome_ == ExchangeOutcome::NotExecuted);
  CHECK(results[0].noConnection_);
  CHECK_FALSE(results[0].unreachable_);
  CHECK(connections.Open() == 2);
  // An idle connection to another server gives way.
  exchanges[0]->Cancel();
  exchanges.erase(exchanges.begin());
  context.restart();
  context.poll();
  const auto other = std::make_shared<Instance>(InstanceRecord());
  connections.Return(
    connections.Create(other), Duration::zero(), BootClock::now());
  CHECK(connections.Open() == 2);
  start();
  CHECK(results.size() == 1);
  CHECK(connections.Open() == 2);
  for (const auto& exchange : exchanges) {
    exchange->Cancel();
  }
}
