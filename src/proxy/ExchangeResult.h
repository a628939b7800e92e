#pragma once

// The outcome of one attempt to run a request on a backend server.

#include "base/BootClock.h"
#include "base/ErrorKind.h"

#include <optional>

namespace peridotsail {

struct ExchangeResult
{
  // Set when the response was not passed on whole.
  std::optional<Error> error_;
  ExecutionState execution_ = ExecutionState::NotRun;
  // Part of the request body was taken from the caller.
  bool bodyTaken_ = false;
  // No connection could be opened.
  bool connectFailed_ = false;
  // The server stated that it did not run the request.
  bool shed_ = false;
  // Set when the connection went silent: the time at which it was opened.
  std::optional<TimePoint> stalledConnectionOpenedAt_;
  // The connection ended during the request.
  bool connectionLost_ = false;
  bool callerDisconnected_ = false;
  bool reusedConnection_ = false;
  // Status of the response; 0 when none was received.
  int status_ = 0;
};

}
