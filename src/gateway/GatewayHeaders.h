#pragma once

// Names of the request and response headers that callers, hosts and backend
// servers exchange. The platform's adapter provides them.

#include <string>

namespace peridotsail {

struct GatewayHeaders
{
  // Identifies one attempt of a caller; backend servers echo it.
  std::string requestId_;
  // The time in milliseconds for which the sender still waits.
  std::string deadline_;
  // The cookie that identifies the object of a request, for session affinity.
  std::string objectCookie_;
  // Present in a response that a backend server created.
  std::string signature_;
  // The customer, set by the host.
  std::string customer_;
  // The backend server for which the request is intended.
  std::string expectedInstance_;
  // The server's load: running and queued requests, and slots.
  std::string load_;
  // States that the server did not execute the request.
  std::string notExecuted_;
  // Sent by a backend server that is shutting down and accepts no further
  // requests.
  std::string leaving_;
  // The authentication scheme in the Authorization header, before the key.
  std::string keyScheme_;
};

}
