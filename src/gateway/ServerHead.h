#pragma once

// Builds the head of a request to a backend server. Included by .cc files.

#include "gateway/CallerConnection.h"
#include "gateway/GatewayHeaders.h"

#include <string>

namespace peridotsail::detail {

struct ServerHeadFields
{
  std::string serverId_;
  // Empty for a request without a customer.
  std::string customer_;
  // The time left until the caller's deadline.
  Duration timeLeft_{};
  std::size_t bodyBytes_ = 0;
};

// Returns the request line and headers: the caller's method, target and
// end-to-end headers without its key, and the headers that the host sets
// itself.
std::string
MakeServerHead(const CallerRequest& aRequest,
               const GatewayHeaders& aNames,
               const ServerHeadFields& aFields);

}
