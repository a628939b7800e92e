#pragma once

// Conversions between the plain HTTP types and Boost.Beast. Included by .cc
// files only, because Beast headers are slow to compile.

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "http/HttpTypes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <chrono>
#include <sys/socket.h>

namespace peridotsail::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// The largest unparsed part of a message: a head, a chunk line or trailers.
// Buffers with this maximum make read operations fail beyond it.
constexpr std::size_t kMaxUnparsedBytes = 128 << 10;

inline std::string_view
ToView(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

inline tcp::endpoint
ToEndpoint(const Address& aAddress)
{
  return { asio::ip::make_address(aAddress.ip_), aAddress.port_ };
}

inline std::chrono::steady_clock::duration
ToSteady(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
    aDuration);
}

// Returns true if nothing is to be read from an idle connection: the peer
// neither closed it nor sent data, which would belong to no request.
inline bool
HasNothingToRead(tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t got =
    recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Returns whether an error of the connection has not been reported yet, such as
// a reset that followed the end of the peer's data.
inline bool
HasPendingError(tcp::socket& aSocket)
{
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(
           aSocket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
         error != 0;
}

// Binds the acceptor to the address and starts listening. Returns false and
// sets aError on failure.
inline bool
OpenAcceptor(tcp::acceptor& aAcceptor,
             const Address& aAddress,
             int aBacklog,
             Error& aError)
{
  const tcp::endpoint endpoint = ToEndpoint(aAddress);
  ErrorCode error;
  aAcceptor.open(endpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(aBacklog, error);
  }
  if (error) {
    aError = { ErrorKind::Internal,
               "cannot listen on " + AddressText(aAddress) + ": " +
                 error.message() };
  }
  return !error;
}

template<typename Fields>
HttpHeaders
ToHeaders(const Fields& aFields)
{
  HttpHeaders headers;
  for (const auto& field : aFields) {
    headers.push_back({ std::string(ToView(field.name_string())),
                        std::string(ToView(field.value())) });
  }
  return headers;
}

template<typename Message>
void
SetHeaders(Message& aMessage, const HttpHeaders& aHeaders)
{
  for (const HttpHeader& header : aHeaders) {
    aMessage.insert(header.name_, header.value_);
  }
}

template<typename Body>
void
SetMethod(http::request<Body>& aRequest, const std::string& aMethod)
{
  const http::verb verb = http::string_to_verb(aMethod);
  if (verb == http::verb::unknown) {
    aRequest.method_string(aMethod);
  } else {
    aRequest.method(verb);
  }
}

}
