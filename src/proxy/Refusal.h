#pragma once

// Responses that the entry host generates itself: refusals in
// application/problem+json and other small responses.

#include "base/ErrorKind.h"
#include "proxy/IncomingRequest.h"

#include <functional>
#include <optional>
#include <string>

namespace peridotsail {

struct Refusal
{
  Error error_;
  ExecutionState execution_ = ExecutionState::NotRun;
  // Defaults to the value in the table of error kinds. With 0 the Retry-After
  // header is omitted.
  std::optional<int> retryAfterSeconds_;
};

// Creates a refusal with the execution state in the table of error kinds.
Refusal
MakeRefusal(ErrorKind aKind, std::string aDetail = "");

// Returns the refusal's response body.
std::string
ProblemJson(const Refusal& aRefusal);

// Sends the refusal, or aborts the response if its head has already been sent.
// Calls aDone when the response has been written or the receiver has
// disconnected.
void
SendRefusal(const IncomingRequestPtr& aRequest,
            const Refusal& aRefusal,
            std::function<void()> aDone);

// Sends a complete response whose body fits into memory.
void
SendSmallResponse(const IncomingRequestPtr& aRequest,
                  ResponseHead aHead,
                  std::string aBody,
                  std::function<void()> aDone);

}
