#pragma once

// A request in the pipeline of a caller's connection, with its response once it
// is known. Included by the .cc files of the connection only.

#include "gateway/CallerConnection.h"

namespace peridotsail::detail {

class CallerConnection::PendingRequest : public CallerExchange
{
public:
  PendingRequest(std::weak_ptr<CallerConnection> aConnection,
                 CallerRequest aRequest)
    : connection_(std::move(aConnection))
    , request_(std::move(aRequest))
  {
  }

  const CallerRequest& Request() const override { return request_; }

  bool IsFront() const override
  {
    const auto connection = connection_.lock();
    return connection && !connection->pipeline_.empty() &&
           connection->pipeline_.front().get() == this;
  }

  void Respond(CallerResponse aResponse) override
  {
    if (response_) {
      return;
    }
    response_ = std::move(aResponse);
    callbacks_ = {};
    request_.headers_ = {};
    request_.body_.reset();
    if (const auto connection = connection_.lock()) {
      connection->WriteNextResponse();
    }
  }

  std::weak_ptr<CallerConnection> connection_;
  CallerRequest request_;
  RequestCallbacks callbacks_;
  std::optional<CallerResponse> response_;
};

}
