#pragma once

// Runs one request on one backend server: sends the head and the body, and
// passes the response on, with back pressure in both directions. Included by
// .cc files of the proxy.
//
// The execution state of the result is NotRun only when no byte of the request
// was handed to the connection or the server stated that it did not run it.

#include "proxy/BackendConnections.h"
#include "proxy/ExchangeResult.h"
#include "proxy/IncomingRequest.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>

namespace peridotsail::detail {

struct ExchangeOptions
{
  std::string serverAddress_;
  // The response head must have arrived by then.
  TimePoint deadline_;
  // An exchange in which the caller makes no progress for longer is ended. The
  // limits for the server are those of ConnectionHealth.
  Duration progressLimit_ = std::chrono::seconds(10);
  Duration connectLimit_ = std::chrono::seconds(2);
  // Bytes; a larger body ends the exchange with body-too-large.
  std::uint64_t maxBodyBytes_ = 1 << 20;
  // An idle connection may be closed by the server at the moment at which it
  // is used again, after which it is unknown whether the request ran. A
  // request that must not run twice uses a new connection.
  bool reuseConnection_ = true;
  // Asked immediately before the first byte; empty means always.
  std::function<bool()> mayStart_;
  // A response that takes longer makes the connection suspect.
  std::optional<Duration> responseLimit_;
};

class BackendExchange : public std::enable_shared_from_this<BackendExchange>
{
public:
  using Done = std::function<void(const ExchangeResult&)>;

  // aHead is sent instead of the caller's own head; it holds no key.
  BackendExchange(BackendConnections& aConnections,
                  IncomingRequestPtr aRequest,
                  RequestHead aHead,
                  ExchangeOptions aOptions,
                  Done aDone);

  void Start();
  // Closes the connection, which cancels the request at the server.
  void Cancel(const Error& aError);

private:
  using Request = http::request<http::buffer_body>;
  using RequestSerializer = http::request_serializer<http::buffer_body>;
  using ResponseParser = http::response_parser<http::buffer_body>;

  void Connect();
  void SendHead();
  void PumpRequestBody();
  void WriteRequestPiece(BodyPiece aPiece);
  void ReadHead();
  void OnResponseHead(const ErrorCode& aError);
  void ForwardHead();
  void PumpResponseBody();
  void ForwardPiece(const ErrorCode& aError);
  void Complete();
  void Fail(const Error& aError);
  void FailConnection(const ErrorCode& aError);
  void ArmTimer();
  void OnTimer();
  void Progress(ConnectionPhase aPhase);

  BackendConnections& connections_;
  IncomingRequestPtr incoming_;
  RequestHead head_;
  ExchangeOptions options_;
  Done done_;
  ExchangeResult result_;
  BackendConnectionPtr connection_;
  asio::steady_timer timer_;
  TimePoint lastProgress_;
  Request request_;
  std::optional<RequestSerializer> serializer_;
  std::optional<ResponseParser> parser_;
  std::string outgoing_;
  std::array<char, 32 << 10> piece_{};
  std::uint64_t bodyBytes_ = 0;
  bool headReceived_ = false;
  bool requestSent_ = false;
  bool finished_ = false;
};

// The caller's headers without the key, the hop-by-hop headers and the length.
HttpHeaders
ForwardableHeaders(const HttpHeaders& aHeaders);

}
