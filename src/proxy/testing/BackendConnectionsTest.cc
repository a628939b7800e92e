#include "proxy/BackendConnections.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <poll.h>

using namespace peridotsail;
using namespace peridotsail::detail;

namespace {

// The time after which a hanging test fails.
constexpr int kTestTimeoutMs = 20000;

}

// Guards against an answer that a server writes without being asked, such as an
// earlier refusal once more, which the next request of the connection would
// take for its own.
TEST_CASE("A connection with unexpected bytes is not reused")
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const std::string address =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  BackendConnections connections(context, {});
  BackendConnectionPtr connection = connections.Create(address);
  tcp::socket& socket = connection->stream_.socket();
  socket.connect(acceptor.local_endpoint());
  const int handle = socket.native_handle();
  tcp::socket server = acceptor.accept();
  const auto waitForInput = [handle] {
    pollfd waiting{ handle, POLLIN, 0 };
    return poll(&waiting, 1, kTestTimeoutMs) == 1;
  };
  bool reused = false;

  SECTION("nothing was sent")
  {
    reused = true;
  }
  SECTION("bytes that were not read")
  {
    asio::write(server, asio::buffer("HTTP/1.1 503 Busy\r\n\r\n", 21));
    REQUIRE(waitForInput());
  }
  SECTION("bytes that were read with the last response")
  {
    connection->buffer_.commit(
      asio::buffer_copy(connection->buffer_.prepare(4), asio::buffer("HTTP")));
  }
  SECTION("the server has closed it")
  {
    server.close();
    REQUIRE(waitForInput());
  }
  connections.Return(std::move(connection));
  CHECK((connections.TakeIdle(address) != nullptr) == reused);
}
