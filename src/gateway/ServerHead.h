#pragma once

// The head of a request as it goes to a backend server. Included by .cc files.

#include "gateway/CallerConnection.h"
#include "gateway/GatewayHeaders.h"

#include <string>

namespace peridotsail::detail {

struct ServerHeadFields
{
  std::string serverId_;
  // Empty for a request without a customer.
  std::string customer_;
  // What is left until the caller gives up.
  Duration timeLeft_{};
  std::size_t bodyBytes_ = 0;
};

// The caller's method, target and end-to-end headers, without its key and with
// the fields that the host sets itself.
std::string
MakeServerHead(const CallerRequest& aRequest,
               const GatewayHeaders& aNames,
               const ServerHeadFields& aFields);

}
