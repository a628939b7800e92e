#include "http/FramingLimit.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace peridotsail;

namespace {

// A server that echoes the body, on its own thread.
class EchoServer
{
public:
  EchoServer()
    : server_(context_,
              Options(),
              [](const HttpRequest& aRequest, auto aReply) {
                if (aRequest.target_ == "/stream") {
                  aReply->Begin(200, {});
                  aReply->Write("one\n");
                  aReply->Write("two\n");
                  aReply->End();
                } else if (aRequest.target_ == "/lost") {
                  aReply->Abort();
                } else {
                  aReply->Send({ 200, { { "X-Echo", "1" } }, aRequest.body_ });
                }
              })
  {
    Error error;
    REQUIRE(server_.Listen({ "127.0.0.1", 0 }, error));
    address_ = { "127.0.0.1", server_.Port() };
    thread_ = std::thread([this] { context_.run(); });
  }

  ~EchoServer()
  {
    context_.stop();
    thread_.join();
  }

  static HttpServerOptions Options()
  {
    HttpServerOptions options;
    options.maxBodyBytes_ = 1000;
    options.maxHeaderBytes_ = 1000;
    return options;
  }

  // Sends raw bytes and returns everything that the server sends back.
  std::string SendRaw(const std::string& aBytes)
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(
      { boost::asio::ip::make_address("127.0.0.1"), address_.port_ });
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(aBytes), ignored);
    std::string response;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), ignored);
    return response;
  }

  Address address_;

private:
  boost::asio::io_context context_;
  HttpServer server_;
  std::thread thread_;
};

}

TEST_CASE("Addresses and targets are parsed strictly")
{
  CHECK(ParseAddress("127.0.0.1:80")->port_ == 80);
  CHECK(ParseAddress("[::1]:80")->ip_ == "::1");
  for (const char* invalid : { "",
                               ":80",
                               "127.0.0.1",
                               "127.0.0.1:",
                               "name:80",
                               "127.0.0.1:70000",
                               "127.0.0.1:8x" }) {
    INFO(invalid);
    CHECK_FALSE(ParseAddress(invalid));
  }
  CHECK(PathOf("/a/b?c=d") == "/a/b");
  CHECK(QueryParameter("/a?x=1&block=10.0.0.0%2F24", "block") == "10.0.0.0/24");
  CHECK_FALSE(QueryParameter("/a?x=1", "y"));
}

// Covers connection reuse, streams and connections that are lost before the
// response.
TEST_CASE("The client receives responses, streams and errors")
{
  EchoServer server;
  boost::asio::io_context context;
  HttpClient client(context, {});
  int responses = 0;
  for (int i = 0; i < 3; ++i) {
    client.Call(server.address_,
                { "POST", "/", {}, "hello" },
                std::chrono::seconds(20),
                [&](auto aResponse, const Error&) {
                  REQUIRE(aResponse);
                  CHECK(aResponse->body_ == "hello");
                  CHECK(*FindHeader(aResponse->headers_, "x-echo") == "1");
                  ++responses;
                });
    context.run();
    context.restart();
  }
  CHECK(responses == 3);
  bool failed = false;
  client.Call(server.address_,
              { "POST", "/lost", {}, "" },
              std::chrono::seconds(20),
              [&](auto aResponse, const Error&) { failed = !aResponse; });
  std::string streamed;
  bool ended = false;
  HttpStreamHooks hooks;
  hooks.onChunk_ = [&](std::string_view aChunk) { streamed += aChunk; };
  hooks.onEnd_ = [&](const Error&) { ended = true; };
  const auto stream = client.Stream(server.address_,
                                    { "GET", "/stream", {}, "" },
                                    std::chrono::seconds(20),
                                    std::chrono::seconds(20),
                                    hooks);
  context.run();
  CHECK(failed);
  CHECK(streamed == "one\ntwo\n");
  CHECK(ended);
}

// Guards against a large response that is cut off by a timeout although it
// makes progress, as behind a slow link, and against a stalled one that is
// waited for.
TEST_CASE("A response is received as long as it makes progress")
{
  constexpr Duration kTimeout = std::chrono::milliseconds(500);
  constexpr Duration kInterval = std::chrono::milliseconds(100);
  constexpr int kChunks = 12;
  struct Row
  {
    const char* name_;
    std::size_t chunkBytes_;
    // Chunks after which the server sends nothing more.
    int stallAfter_;
    HttpTimeouts timeouts_;
    bool received_;
  };
  const HttpTimeouts byProgress{ kTimeout, kTimeout };
  const HttpTimeouts total{ kTimeout, Duration::zero() };
  const Row rows[] = {
    { "a slow transfer", 2 * kMinProgressBytes, kChunks, byProgress, true },
    { "a slow transfer with a limit on the call",
      2 * kMinProgressBytes,
      kChunks,
      total,
      false },
    { "a transfer that stalls", 2 * kMinProgressBytes, 6, byProgress, false },
    { "a transfer of a few bytes at a time", 8, kChunks, byProgress, false },
    { "no response", 2 * kMinProgressBytes, -1, byProgress, false },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context);
    std::shared_ptr<HttpReply> reply;
    int sent = 0;
    const std::function<void()> sendNext = [&] {
      if (sent == row.stallAfter_ && sent < kChunks) {
        return;
      }
      if (sent == kChunks) {
        reply->End();
        return;
      }
      ++sent;
      reply->Write(std::string(row.chunkBytes_, 'x'));
      timer.expires_after(kInterval);
      timer.async_wait([&](const boost::system::error_code& aError) {
        if (!aError) {
          sendNext();
        }
      });
    };
    HttpServer server(
      context, {}, [&](const HttpRequest&, std::shared_ptr<HttpReply> aReply) {
        reply = std::move(aReply);
        if (row.stallAfter_ >= 0) {
          reply->Begin(200, {});
          sendNext();
        }
      });
    Error error;
    REQUIRE(server.Listen({ "127.0.0.1", 0 }, error));
    HttpClient client(context, {});
    std::optional<bool> received;
    HttpTransfer measured;
    client.Call({ "127.0.0.1", server.Port() },
                {},
                row.timeouts_,
                [&](const std::optional<HttpResponse>& aResponse,
                    const Error&,
                    const HttpTransfer& aTransfer) {
                  received = aResponse.has_value();
                  measured = aTransfer;
                  timer.cancel();
                  server.Close();
                });
    while (!received) {
      context.run_one();
    }
    CHECK(*received == row.received_);
    CHECK((measured.receivedBytes_ > 0) == (row.stallAfter_ >= 0));
    CHECK(measured.duration_ >= measured.firstByteAfter_);
  }
}

// Guards against memory growth and crashes caused by malformed input.
TEST_CASE("Malformed and oversized requests get an error status")
{
  struct Row
  {
    std::string bytes_;
    const char* status_;
  };
  const Row rows[] = {
    { "nonsense\r\n\r\n", "HTTP/1.1 400" },
    { "GET / HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n",
      "HTTP/1.1 431" },
    { "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" +
        std::string(5000, 'a'),
      "HTTP/1.1 413" },
    { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "HTTP/1.1 400" },
  };
  EchoServer server;
  for (const Row& row : rows) {
    INFO(row.bytes_.substr(0, 60));
    CHECK(server.SendRaw(row.bytes_).rfind(row.status_, 0) == 0);
  }
  CHECK(server.SendRaw("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
          .rfind("HTTP/1.1 200", 0) == 0);
}

// Guards against a server whose response never ends, for example a store in
// trouble: the client's memory would grow until the timeout of the call.
TEST_CASE("The client gives up responses with endless framing")
{
  constexpr std::size_t kPieceBytes = std::size_t{ 64 } << 10;
  // More than the client may keep and the kernel buffers together.
  constexpr std::size_t kMaxSentBytes = 64 << 20;
  const std::string chunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& begin : { std::string("HTTP/1.1 200 OK\r\nX: "),
                                    chunkedHead + "400;x=",
                                    chunkedHead + "0\r\nX: " }) {
    INFO(begin);
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
      context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    std::size_t sent = 0;
    std::thread server([&] {
      boost::asio::ip::tcp::socket socket(context);
      boost::system::error_code error;
      acceptor.accept(socket);
      boost::asio::write(socket, boost::asio::buffer(begin), error);
      const std::string piece(kPieceBytes, 'x');
      while (!error && sent < kMaxSentBytes) {
        boost::asio::write(socket, boost::asio::buffer(piece), error);
        sent += kPieceBytes;
      }
    });
    HttpClient client(context, {});
    bool failed = false;
    client.Call({ "127.0.0.1", acceptor.local_endpoint().port() },
                { "GET", "/", {}, "" },
                std::chrono::seconds(20),
                [&](auto aResponse, const Error&) { failed = !aResponse; });
    context.run();
    server.join();
    CHECK(failed);
    CHECK(sent < kMaxSentBytes);
  }
}

// Guards against taking a part of a response for a complete one, for example of
// a store whose process was killed: its kernel resets the connection.
TEST_CASE("A response without a length is complete only after an orderly end")
{
  const std::string response = "HTTP/1.1 200 OK\r\n\r\npart";
  for (const bool reset : { false, true }) {
    INFO(reset);
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(
      context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    std::atomic<bool> received{ false };
    std::promise<void> respond;
    std::thread server([&] {
      boost::asio::ip::tcp::socket socket(context);
      boost::system::error_code error;
      acceptor.accept(socket);
      std::string request;
      boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
      received = true;
      respond.get_future().wait();
      boost::asio::write(socket, boost::asio::buffer(response), error);
      socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
      socket.set_option(boost::asio::socket_base::linger(reset, 0), error);
      socket.close(error);
    });
    HttpClient client(context, {});
    std::optional<bool> complete;
    client.Call(
      { "127.0.0.1", acceptor.local_endpoint().port() },
      { "GET", "/", {}, "" },
      std::chrono::seconds(20),
      [&](auto aResponse, const Error&) { complete = aResponse.has_value(); });
    while (!received) {
      context.run_one_for(std::chrono::milliseconds(1));
    }
    // Both the end and the reset arrive before the client reads.
    respond.set_value();
    server.join();
    context.run();
    REQUIRE(complete);
    CHECK(*complete == !reset);
  }
}

// Guards against chunk lines and trailers of a request that grow without bound.
TEST_CASE("The server refuses requests with endless framing")
{
  constexpr std::size_t kBufferBytes = 128 << 10;
  EchoServer server;
  for (const char* begin : { "400;x=", "0\r\nX: " }) {
    INFO(begin);
    const std::string head =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    // As much as the server reads, so that nothing is left that would reset the
    // connection.
    const std::string framing =
      begin + std::string(kBufferBytes - std::string(begin).size(), 'x');
    CHECK(server.SendRaw(head + framing).rfind("HTTP/1.1 400", 0) == 0);
  }
}

// Guards against a limit that refuses valid messages or misses endless ones.
TEST_CASE("Framing is limited in proportion to the body")
{
  struct Row
  {
    const char* name_;
    std::size_t parsed_;
    std::size_t unparsed_;
    std::size_t body_;
    bool exceeded_;
  };
  const Row rows[] = {
    { "a large head", 64 << 10, 0, 0, false },
    { "an endless head", 0, 200 << 10, 0, true },
    { "a body in one piece", 16 << 20, 0, 16 << 20, false },
    { "chunks of one byte", 6 << 20, 0, 1 << 20, false },
    { "a long extension at each byte", 240000, 0, 4, true },
    { "an endless chunk line after a body", 1 << 20, 10 << 20, 1 << 20, true },
  };
  for (const Row& row : rows) {
    INFO(row.name_);
    detail::FramingLimit limit;
    limit.OnParsed(row.parsed_);
    CHECK(limit.IsExceeded(row.unparsed_, row.body_) == row.exceeded_);
  }
}
