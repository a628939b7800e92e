#pragma once

// Answers of the system's own: refusals in application/problem+json and small
// JSON documents.

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
  // Seconds; the table's value when absent, no header when 0.
  std::optional<int> retryAfterSeconds_;
};

// A refusal with the execution state of the table.
Refusal
MakeRefusal(ErrorKind aKind, std::string aDetail = "");

// The body of the refusal.
std::string
ProblemJson(const Refusal& aRefusal);

// Sends the refusal when no head was sent yet, and aborts otherwise. aDone runs
// when the answer has been written or the receiver is gone.
void
SendRefusal(const IncomingRequestPtr& aRequest,
            const Refusal& aRefusal,
            std::function<void()> aDone);

// Sends a complete response with a small body.
void
SendDocument(const IncomingRequestPtr& aRequest,
             ResponseHead aHead,
             std::string aBody,
             std::function<void()> aDone);

}
