#pragma once

// The outcome of one attempt to execute a request on a backend server.

#include "base/BootClock.h"
#include "base/ErrorKind.h"

#include <optional>

namespace peridotsail {

struct ExchangeResult
{
  // Set when the response was not forwarded completely.
  std::optional<Error> error_;
  ExecutionState execution_ = ExecutionState::NotRun;
  // Part of the request body has been read from the caller and cannot be read
  // again.
  bool bodyConsumed_ = false;
  // No connection could be opened.
  bool connectFailed_ = false;
  // The server reported that it did not execute the request.
  bool shed_ = false;
  // When the connection was opened; set only if it stalled.
  std::optional<TimePoint> stalledConnectionOpenedAt_;
  // The connection was lost during the request.
  bool connectionLost_ = false;
  bool callerDisconnected_ = false;
  bool reusedConnection_ = false;
  // Status code of the response, or 0 if none was received.
  int status_ = 0;
};

}
