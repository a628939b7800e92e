#include "gateway/ServerExchange.h"

#include <catch2/catch.hpp>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

using namespace peridotsail;
using namespace peridotsail::detail;

namespace {

constexpr Duration kConnectLimit = std::chrono::milliseconds(200);
// A hanging test ends after this time.
constexpr int kGenerousMs = 20000;
constexpr std::size_t kFillers = 4;

// A port whose queue of new connections is full.
class FullPort
{
public:
  explicit FullPort(asio::io_context& aContext)
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
      // The library's own call would wait until the connection is let in.
      const tcp::endpoint to = acceptor_.local_endpoint();
      static_cast<void>(
        connect(fillers_.back().native_handle(), to.data(), to.size()));
    }
  }

  Address At() const
  {
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
  }

  // Takes the waiting connections, so that the next one is let in.
  void MakeRoom(asio::io_context& aContext)
  {
    fillers_.clear();
    for (;;) {
      tcp::socket socket(aContext);
      ErrorCode error;
      acceptor_.accept(socket, error);
      if (error) {
        return;
      }
      taken_.push_back(std::move(socket));
    }
  }

  // Waits until the kernel has let in a further connection.
  bool WaitForNext()
  {
    pollfd waiting{ acceptor_.native_handle(), POLLIN, 0 };
    return poll(&waiting, 1, kGenerousMs) == 1;
  }

private:
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> fillers_;
  std::vector<tcp::socket> taken_;
};

}

// Guards against a request that runs twice after its host was frozen while it
// connected: when the host goes on, the connection is open and its time limit
// is over, and both are told at once. The request is sent; then it must not be
// called not run, which would send it to a second server.
TEST_CASE("A request that was sent is not called not run by a connect timeout")
{
  asio::io_context context;
  FullPort port(context);
  InstanceRecord record;
  record.id_ = "i-1";
  record.address_ = port.At();
  const auto instance = std::make_shared<Instance>(record);
  ServerConnections connections(context, {});
  const GatewayHeaders headers;
  ServerRequest request;
  request.instance_ = instance;
  request.requestId_ = "r1";
  request.head_ = "POST / HTTP/1.1\r\n\r\n";
  request.body_ = std::make_shared<const std::string>();
  request.connectLimit_ = kConnectLimit;
  std::optional<ExchangeOutcome> outcome;
  const auto exchange = std::make_shared<ServerExchange>(
    connections, headers, request, [&](const ServerExchangeResult& aResult) {
      outcome = aResult.outcome_;
    });
  exchange->Start();
  asio::io_context otherContext;
  asio::steady_timer limitIsOver(otherContext, ToSteady(kConnectLimit));
  context.poll();
  port.MakeRoom(context);
  REQUIRE(port.WaitForNext());
  limitIsOver.wait();
  context.restart();
  context.poll();
  context.restart();
  context.poll();
  if (exchange->Sent()) {
    CHECK(outcome != ExchangeOutcome::NotRun);
  } else {
    CHECK(outcome == ExchangeOutcome::NotRun);
  }
  exchange->Cancel();
}
