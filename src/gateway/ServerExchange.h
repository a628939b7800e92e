#pragma once

// Sends one request to one backend server and reads the whole answer. Traffic
// thread only; included by .cc files.
//
// The whole answer is read before any of it goes to the caller, so that an
// answer which ends early never looks complete.

#include "gateway/GatewayHeaders.h"
#include "gateway/ServerConnections.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotsail {

enum class ExchangeOutcome
{
  // A whole answer that the server made for this request.
  Answered,
  // No byte of the request left this host, or the server stated that it did not
  // run the request.
  NotRun,
  // The connection ended or went silent; the request may have run.
  ConnectionLost,
  // The server's bytes are no answer to this request; it may have run.
  BrokenAnswer,
};

std::string_view
NameOf(ExchangeOutcome aOutcome);

struct ServerAnswer
{
  int status_ = 0;
  HttpHeaders headers_;
  std::string body_;
};

struct ServerExchangeResult
{
  ExchangeOutcome outcome_ = ExchangeOutcome::ConnectionLost;
  ServerAnswer answer_;
  // The connection could not be opened.
  bool unreachable_ = false;
  // What was seen, for the log.
  std::string reason_;
};

namespace detail {

struct ServerRequest
{
  InstancePtr instance_;
  std::string requestId_;
  std::string head_;
  // Shared with later attempts.
  std::shared_ptr<const std::string> body_;
  bool isHead_ = false;
  Duration connectLimit_ = std::chrono::milliseconds(600);
};

class ServerExchange : public std::enable_shared_from_this<ServerExchange>
{
public:
  using Done = std::function<void(ServerExchangeResult)>;

  ServerExchange(ServerConnections& aConnections,
                 const GatewayHeaders& aHeaders,
                 ServerRequest aRequest,
                 Done aDone);
  void Start();
  // Closes the connection, which ends the work at the server. The callback does
  // not run afterwards.
  void Cancel();
  // Whether a byte of the request may have left this host.
  bool Sent() const { return sent_; }

private:
  using Parser = http::response_parser<http::string_body>;

  void Connect();
  void Send();
  void Read();
  void OnRead(const ErrorCode& aError);
  bool Parse();
  bool OnWholeAnswer();
  bool IsOwnAnswer(const Parser::value_type& aMessage);
  void Judge(const Parser::value_type& aMessage);
  void ReportLoad(const Parser::value_type& aMessage);
  // Whether the server leaves or asks for a rest.
  void ReportState(const Parser::value_type& aMessage);
  // Counts the bytes of the answer that are held; false when they are too many.
  bool CountHeld();
  void KeepConnection(const Parser::value_type& aMessage);
  void Finish(ExchangeOutcome aOutcome, std::string aReason);
  void NewParser();
  void Leave(bool aRan);

  ServerConnections& connections_;
  const GatewayHeaders& headers_;
  ServerRequest request_;
  Done done_;
  ServerConnectionPtr connection_;
  asio::steady_timer connectTimer_;
  std::optional<Parser> parser_;
  ServerExchangeResult result_;
  // The queue at the server when the request was sent, and when that was.
  double waitingAtStart_ = 0;
  TimePoint startedAt_;
  // Bytes of the answer so far, as counted at the connections.
  std::size_t held_ = 0;
  bool sent_ = false;
  bool written_ = false;
  bool finished_ = false;
  // An answer to another request came on this connection.
  bool foreignAnswer_ = false;
};

}

}
