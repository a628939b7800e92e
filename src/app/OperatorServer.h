#pragma once

// The HTTP server on the operators' port. The metrics need no authentication;
// all other paths require the operators' token. Runs on the operator thread.
//
//   OperatorServer server(ioContext, options, metrics);
//   server.Add("GET", "/status", [](const HttpRequest&, auto reply) { ... });

#include "base/Metrics.h"
#include "http/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace peridotsail {

struct OperatorOptions
{
  Address listen_;
  // Sent as "Authorization: Bearer <token>".
  std::string token_;
  // The memory for requests that are being read.
  std::size_t maxInputBytes_ = HttpServerOptions().maxInputBytes_;
};

class OperatorServer
{
public:
  OperatorServer(boost::asio::io_context& aContext,
                 OperatorOptions aOptions,
                 const Metrics& aMetrics);

  // Registers a handler for a path that requires the token. Call before Listen.
  void Add(const std::string& aMethod,
           const std::string& aPath,
           HttpServer::Handler aHandler);
  bool Listen(Error& aError);

private:
  void Handle(const HttpRequest& aRequest,
              const std::shared_ptr<HttpReply>& aReply);
  bool IsAuthenticated(const HttpRequest& aRequest) const;

  OperatorOptions options_;
  const Metrics& metrics_;
  std::map<std::pair<std::string, std::string>, HttpServer::Handler> handlers_;
  HttpServer server_;
};

// Returns the same problem response that callers get for an error kind.
HttpResponse
ProblemResponse(ErrorKind aKind, const std::string& aDetail);

}
