#pragma once

// The names of the headers by which callers, hosts and backend servers tell
// each other about a request. The platform's adapter supplies them.

#include <string>

namespace peridotsail {

struct GatewayHeaders
{
  // Names one attempt of a caller; backend servers repeat it.
  std::string requestId_;
  // Milliseconds that the sender still waits.
  std::string deadline_;
  // The cookie that names the object of a request.
  std::string objectCookie_;
  // Proves that a backend server made the answer.
  std::string signature_;
  // The customer, set by the host.
  std::string customer_;
  // The backend server that the request is meant for.
  std::string expectedInstance_;
  // Running and waiting requests, and slots.
  std::string load_;
  // States that the request was not run.
  std::string notExecuted_;
  // In a backend server's answers: it leaves and wants no further requests.
  std::string leaving_;
  // The word before the key in Authorization.
  std::string keyScheme_;
};

}
