// Tests which ends of a response count as complete, over real sockets: the
// server sends its response while the request may still be being written.

#include "gateway/ServerExchange.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>

using namespace peridotsail;
using namespace peridotsail::detail;

namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(20);
// More than the kernel buffers on both sides of a connection.
constexpr std::size_t kLongBody = 24 << 20;
constexpr int kReceiveBuffer = 16 << 10;
// The part of a request that a server reads which answers early.
constexpr std::size_t kHeadPart = 200;
constexpr char kHead[] = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\n";

enum class ServerEnd
{
  KeepOpen,
  // Ends its side of the connection and leaves the other one open.
  Shutdown,
  Reset,
  // Ends its side of the connection, then resets the connection.
  ShutdownAndReset,
};

struct ServerScript
{
  std::string response_;
  ServerEnd end_ = ServerEnd::KeepOpen;
  // Whether the response is sent before the body has been read.
  bool early_ = false;
};

// Answers one request.
class OneShotServer
{
public:
  OneShotServer(asio::io_context& aContext, ServerScript aScript)
    : acceptor_(aContext)
    , socket_(aContext)
    , script_(std::move(aScript))
  {
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any.protocol());
    acceptor_.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBuffer));
    acceptor_.bind(any);
    acceptor_.listen();
  }

  Address ListenAddress() const
  {
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
  }

  // aSize is the size of the whole request.
  void Start(std::size_t aSize)
  {
    request_.resize(script_.early_ ? std::min(kHeadPart, aSize) : aSize);
    acceptor_.async_accept(socket_, [this](ErrorCode aError) {
      REQUIRE_FALSE(aError);
      asio::async_read(socket_,
                       asio::buffer(request_),
                       [this](ErrorCode, std::size_t) { Respond(); });
    });
  }

private:
  void Respond()
  {
    ErrorCode ignored;
    asio::write(socket_, asio::buffer(script_.response_), ignored);
    if (script_.end_ == ServerEnd::Shutdown ||
        script_.end_ == ServerEnd::ShutdownAndReset) {
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
    if (script_.end_ == ServerEnd::Reset ||
        script_.end_ == ServerEnd::ShutdownAndReset) {
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      socket_.close(ignored);
    }
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  ServerScript script_;
  std::string request_;
};

// Returns nullopt if the exchange does not end.
std::optional<ServerExchangeResult>
Exchange(const ServerScript& aScript, std::size_t aBodySize)
{
  asio::io_context context;
  OneShotServer server(context, aScript);
  InstanceRecord record;
  record.id_ = "i-1";
  record.address_ = server.ListenAddress();
  MemoryPool memory({}, nullptr);
  ServerConnections connections(context, {}, memory);
  GatewayHeaders headers;
  headers.requestId_ = "Id";
  headers.signature_ = "Signature";
  headers.load_ = "Load";
  headers.notExecuted_ = "Not-Run";
  headers.leaving_ = "Leaving";
  ServerRequest request;
  request.instance_ = std::make_shared<Instance>(record);
  request.requestId_ = "r1";
  request.head_ =
    "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(aBodySize) +
    "\r\n\r\n";
  const auto body = std::make_shared<BlockBuffer>();
  body->Append(std::string(aBodySize, 'x').data(), aBodySize);
  request.body_ = body;
  server.Start(request.head_.size() + aBodySize);
  std::optional<ServerExchangeResult> result;
  const auto exchange = std::make_shared<ServerExchange>(
    connections, headers, request, [&](ServerExchangeResult aResult) {
      result = std::move(aResult);
    });
  exchange->Start();
  const TimePoint end = BootClock::now() + kTestTimeout;
  // An idle context has nothing left that could end the exchange.
  while (!result && BootClock::now() < end && !context.stopped()) {
    context.run_one_for(std::chrono::milliseconds(100));
  }
  if (!result) {
    exchange->Cancel();
  }
  return result;
}

}

// Guards against forwarding a part of a response as a complete one. The error
// of a reset is reported to the first operation that meets it: to the write, if
// the request is still being written. The read then ends like that of a
// connection which the server closed in an orderly way.
TEST_CASE("A response without a length is complete only after an orderly end")
{
  struct Row
  {
    const char* name_;
    ServerScript script_;
    std::size_t bodySize_;
    ExchangeOutcome outcome_;
  };
  const std::string head = kHead;
  const std::string open = head + "\r\npart";
  const std::string sized = head + "Content-Length: 4\r\n\r\npart";
  const std::string chunked =
    head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n";
  const std::string other = "HTTP/1.1 200 OK\r\nId: r0\r\n\r\npart";
  const auto answered = ExchangeOutcome::Answered;
  const auto lost = ExchangeOutcome::ConnectionLost;
  const Row rows[] = {
    { "reset during the upload",
      { open, ServerEnd::Reset, true },
      kLongBody,
      lost },
    { "end during the upload",
      { open, ServerEnd::Shutdown, true },
      kLongBody,
      lost },
    { "end and reset during the upload",
      { open, ServerEnd::ShutdownAndReset, true },
      kLongBody,
      lost },
    { "reset after the upload", { open, ServerEnd::Reset }, 4, lost },
    { "end and reset after the upload",
      { open, ServerEnd::ShutdownAndReset },
      4,
      lost },
    { "end after the upload", { open, ServerEnd::Shutdown }, 4, answered },
    { "end after a long upload",
      { open, ServerEnd::Shutdown },
      kLongBody,
      answered },
    { "length, during the upload", { sized, {}, true }, kLongBody, answered },
    { "length and reset during the upload",
      { sized, ServerEnd::Reset, true },
      kLongBody,
      answered },
    { "chunks, during the upload", { chunked, {}, true }, kLongBody, answered },
    { "response to another request", { other, ServerEnd::Shutdown }, 4, lost },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    const auto result = Exchange(row.script_, row.bodySize_);
    CHECK(result.has_value());
    if (result) {
      CHECK(NameOf(result->outcome_) == NameOf(row.outcome_));
    }
  }
}

// Guards against forwarding a status that is not one of HTTP, and against
// waiting for more after a change of the protocol that nobody asked for.
TEST_CASE("A response with an invalid status is not forwarded")
{
  struct Row
  {
    const char* status_;
    ExchangeOutcome outcome_;
  };
  const auto answered = ExchangeOutcome::Answered;
  const auto invalid = ExchangeOutcome::InvalidResponse;
  const Row rows[] = {
    { "000 Trouble", invalid }, { "000", invalid },
    { "001 Low", invalid },     { "099 Low", invalid },
    { "600 High", invalid },    { "999 High", invalid },
    { "101 Switch", invalid },  { "599 Known", answered },
    { "200 OK", answered },
  };
  for (const Row& row : rows) {
    for (const char* framing : { "Content-Length: 2\r\n", "" }) {
      INFO(row.status_ << ", " << framing);
      const std::string response = std::string("HTTP/1.1 ") + row.status_ +
                                   "\r\nId: r1\r\nSignature: s\r\n" + framing +
                                   "\r\nok";
      const auto result = Exchange({ response, ServerEnd::Shutdown }, 4);
      REQUIRE(result.has_value());
      CHECK(NameOf(result->outcome_) == NameOf(row.outcome_));
    }
  }
  const std::string hints = "HTTP/1.1 103 Early Hints\r\n\r\n";
  const auto result = Exchange(
    { hints + kHead + "Content-Length: 2\r\n\r\nok", ServerEnd::KeepOpen }, 4);
  REQUIRE(result.has_value());
  CHECK(NameOf(result->outcome_) == NameOf(answered));
}
