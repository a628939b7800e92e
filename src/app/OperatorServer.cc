#include "app/OperatorServer.h"

#include "base/Hash.h"
#include "proxy/Refusal.h"

namespace peridotsail {

namespace {

HttpServerOptions
ServerOptions(const OperatorOptions& aOptions)
{
  HttpServerOptions options;
  options.maxInputBytes_ = aOptions.maxInputBytes_;
  return options;
}

}

OperatorServer::OperatorServer(boost::asio::io_context& aContext,
                               OperatorOptions aOptions,
                               const Metrics& aMetrics)
  : options_(std::move(aOptions))
  , metrics_(aMetrics)
  , server_(aContext,
            ServerOptions(options_),
            [this](const HttpRequest& aRequest, auto aReply) {
              Handle(aRequest, aReply);
            })
{
}

void
OperatorServer::Add(const std::string& aMethod,
                    const std::string& aPath,
                    HttpServer::Handler aHandler)
{
  handlers_[{ aMethod, aPath }] = std::move(aHandler);
}

bool
OperatorServer::Listen(Error& aError)
{
  return server_.Listen(options_.listen_, aError);
}

bool
OperatorServer::IsAuthenticated(const HttpRequest& aRequest) const
{
  const std::string* header = FindHeader(aRequest.headers_, "Authorization");
  return header != nullptr &&
         EqualConstantTime(*header, "Bearer " + options_.token_);
}

void
OperatorServer::Handle(const HttpRequest& aRequest,
                       const std::shared_ptr<HttpReply>& aReply)
{
  const std::string path(PathOf(aRequest.target_));
  if (aRequest.method_ == "GET" && path == "/metrics") {
    aReply->Send({ 200,
                   { { "Content-Type", "text/plain; version=0.0.4" } },
                   metrics_.Render() });
    return;
  }
  if (!IsAuthenticated(aRequest)) {
    aReply->Send(ProblemResponse(ErrorKind::OperatorUnauthenticated, ""));
    return;
  }
  const auto found = handlers_.find({ aRequest.method_, path });
  if (found == handlers_.end()) {
    aReply->Send(ProblemResponse(ErrorKind::RouteNotFound, ""));
    return;
  }
  found->second(aRequest, aReply);
}

HttpResponse
ProblemResponse(ErrorKind aKind, const std::string& aDetail)
{
  return { ErrorResponseFor(aKind).httpStatus_,
           { { "Content-Type", "application/problem+json" } },
           ProblemJson(MakeRefusal(aKind, aDetail)) };
}

}
