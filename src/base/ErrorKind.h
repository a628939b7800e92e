#pragma once

// The closed list of error kinds. Every refusal that a caller, an operator or a
// peer sees has one of these kinds; the table in ErrorKind.cc gives the answer.
//
//   const ErrorAnswer& answer = AnswerFor(ErrorKind::RateExceeded);
//   response.result(answer.httpStatus_);

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peridotsail {

enum class ErrorKind
{
  BadRequest,
  Unauthenticated,
  KeyWithdrawn,
  RouteNotFound,
  MethodNotAllowed,
  HeaderTooLarge,
  BodyTooLarge,
  RateExceeded,
  IdempotencyKeyRequired,
  IdempotencyKeyReused,
  RequestInProgress,
  OutcomeUnknown,
  QueueFull,
  NoBackendServer,
  ShiftCapReached,
  RegionFull,
  DeadlineExceeded,
  BackendFailed,
  BackendStalled,
  RequestQuarantined,
  HostIsolated,
  HostDraining,
  ConfigurationMissing,
  PeerUnreachable,
  StoreUnreachable,
  ConfigurationInvalid,
  VersionConflict,
  OperatorUnauthenticated,
  Internal,
};

constexpr std::size_t kErrorKindCount =
  static_cast<std::size_t>(ErrorKind::Internal) + 1;

// Whether a backend server ran the request that the answer is for.
enum class ExecutionState
{
  // No byte of the request was handed to a backend server, or the backend
  // server stated that it did not run it.
  NotRun,
  // The request may have run.
  Unknown,
  // The request ran and this is its outcome.
  Complete,
};

// The answer that belongs to an error kind.
struct ErrorAnswer
{
  ErrorKind kind_;
  // Machine-readable name, in lower case with hyphens.
  std::string_view name_;
  int httpStatus_;
  // What is stated about execution when the failing code knows nothing better.
  ExecutionState execution_;
  // Suggested wait before asking again; 0 means that asking again does not
  // help.
  int retryAfterSeconds_;
  // One sentence for the caller.
  std::string_view sentence_;
};

// A failure with the details of one occurrence.
struct Error
{
  ErrorKind kind_ = ErrorKind::Internal;
  // One sentence; empty means the sentence of the table.
  std::string detail_;
};

const ErrorAnswer&
AnswerFor(ErrorKind aKind);

std::string_view
NameOf(ErrorKind aKind);

std::string_view
NameOf(ExecutionState aState);

// The kind with this machine-readable name, or nothing.
std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName);

}
