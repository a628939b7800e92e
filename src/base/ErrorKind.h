#pragma once

// The complete list of error kinds. Every error that a caller, an operator or a
// peer receives has one of these kinds; the table in ErrorKind.cc defines the
// response for each.
//
//   const ErrorResponse& response = ErrorResponseFor(ErrorKind::RateExceeded);
//   reply.result(response.httpStatus_);

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
  HostOverloaded,
};

constexpr std::size_t kErrorKindCount =
  static_cast<std::size_t>(ErrorKind::HostOverloaded) + 1;

// Whether a backend server ran the request, as stated in the response.
enum class ExecutionState
{
  // No byte of the request was sent to a backend server, or the backend server
  // stated that it did not run the request.
  NotRun,
  // The request may have run.
  Unknown,
  // The request ran, and the response is its outcome.
  Complete,
};

// The response for an error kind.
struct ErrorResponse
{
  ErrorKind kind_;
  // Machine-readable name, in lower case with hyphens.
  std::string_view name_;
  int httpStatus_;
  // Default execution state, unless the failing code knows it more precisely.
  ExecutionState execution_;
  // Suggested delay before a retry; 0 means that a retry does not help.
  int retryAfterSeconds_;
  // A one-sentence description for the caller.
  std::string_view sentence_;
};

// An error with details of the particular occurrence.
struct Error
{
  ErrorKind kind_ = ErrorKind::Internal;
  // One sentence; if empty, the description in the table applies.
  std::string detail_;
};

const ErrorResponse&
ErrorResponseFor(ErrorKind aKind);

std::string_view
NameOf(ErrorKind aKind);

std::string_view
NameOf(ExecutionState aState);

// Returns the kind with this machine-readable name, or nullopt.
std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName);

}
