#include "base/ErrorKind.h"

#include <array>

namespace peridotsail {

namespace {

using Kind = ErrorKind;
using Run = ExecutionState;

// Indexed by ErrorKind; ErrorKindTest checks the order.
constexpr std::array<ErrorResponse, kErrorKindCount> kErrorResponses{ {
  { Kind::BadRequest,
    "bad-request",
    400,
    Run::NotRun,
    0,
    "The request is malformed." },
  { Kind::Unauthenticated,
    "unauthenticated",
    401,
    Run::NotRun,
    0,
    "The route requires a valid key." },
  { Kind::KeyWithdrawn,
    "key-withdrawn",
    401,
    Run::NotRun,
    0,
    "The key has been withdrawn." },
  { Kind::RouteNotFound,
    "route-not-found",
    404,
    Run::NotRun,
    0,
    "No route matches the path." },
  { Kind::MethodNotAllowed,
    "method-not-allowed",
    405,
    Run::NotRun,
    0,
    "The route does not accept this method." },
  { Kind::HeaderTooLarge,
    "header-too-large",
    431,
    Run::NotRun,
    0,
    "The request header is too large." },
  { Kind::BodyTooLarge,
    "body-too-large",
    413,
    Run::NotRun,
    0,
    "The request body is larger than the route accepts." },
  { Kind::RateExceeded,
    "rate-exceeded",
    429,
    Run::NotRun,
    1,
    "The customer's rate and burst are used up." },
  { Kind::IdempotencyKeyRequired,
    "idempotency-key-required",
    400,
    Run::NotRun,
    0,
    "The route requires an Idempotency-Key header." },
  { Kind::IdempotencyKeyReused,
    "idempotency-key-reused",
    422,
    Run::NotRun,
    0,
    "The idempotency key was used for a different request." },
  { Kind::RequestInProgress,
    "request-in-progress",
    409,
    Run::Unknown,
    1,
    "A request with this idempotency key is still running." },
  { Kind::OutcomeUnknown,
    "outcome-unknown",
    409,
    Run::Unknown,
    0,
    "The request may have run; its outcome is not known." },
  { Kind::QueueFull,
    "queue-full",
    503,
    Run::NotRun,
    1,
    "The backend servers are busy and the queue is full." },
  { Kind::NoBackendServer,
    "no-backend-server",
    503,
    Run::NotRun,
    2,
    "No backend server can serve the request." },
  { Kind::ShiftCapReached,
    "shift-cap-reached",
    503,
    Run::NotRun,
    1,
    "The cap on traffic between the regions is reached." },
  { Kind::RegionFull,
    "region-full",
    503,
    Run::NotRun,
    1,
    "The region has no free capacity." },
  { Kind::DeadlineExceeded,
    "deadline-exceeded",
    504,
    Run::Unknown,
    1,
    "The request's deadline has passed." },
  { Kind::BackendFailed,
    "backend-failed",
    502,
    Run::Unknown,
    1,
    "The backend server failed during the request." },
  { Kind::BackendStalled,
    "backend-stalled",
    504,
    Run::Unknown,
    1,
    "The connection to the backend server made no progress." },
  { Kind::RequestQuarantined,
    "request-quarantined",
    422,
    Run::NotRun,
    0,
    "Backend servers failed each time they ran this request." },
  { Kind::HostIsolated,
    "host-isolated",
    503,
    Run::NotRun,
    1,
    "The host cannot confirm that keys are still valid." },
  { Kind::HostDraining,
    "host-draining",
    503,
    Run::NotRun,
    1,
    "The host is shutting down." },
  { Kind::ConfigurationMissing,
    "configuration-missing",
    503,
    Run::NotRun,
    1,
    "The host has no configuration yet." },
  { Kind::PeerUnreachable,
    "peer-unreachable",
    503,
    Run::NotRun,
    1,
    "The host that must handle the request cannot be reached." },
  { Kind::StoreUnreachable,
    "store-unreachable",
    503,
    Run::NotRun,
    2,
    "The key-value store cannot be reached." },
  { Kind::ConfigurationInvalid,
    "configuration-invalid",
    422,
    Run::NotRun,
    0,
    "The configuration document is not valid." },
  { Kind::VersionConflict,
    "version-conflict",
    409,
    Run::NotRun,
    0,
    "The configuration has changed since the expected version." },
  { Kind::OperatorUnauthenticated,
    "operator-unauthenticated",
    401,
    Run::NotRun,
    0,
    "The operators' port requires an operator's token." },
  { Kind::Internal,
    "internal",
    500,
    Run::Unknown,
    0,
    "An internal error occurred." },
  { Kind::HostOverloaded,
    "host-overloaded",
    503,
    Run::NotRun,
    1,
    "The host has no memory for the request." },
} };

}

const ErrorResponse&
ErrorResponseFor(ErrorKind aKind)
{
  return kErrorResponses[static_cast<std::size_t>(aKind)];
}

std::string_view
NameOf(ErrorKind aKind)
{
  return ErrorResponseFor(aKind).name_;
}

std::string_view
NameOf(ExecutionState aState)
{
  constexpr std::array<std::string_view, 3> kNames{ "not-run",
                                                    "unknown",
                                                    "complete" };
  return kNames[static_cast<std::size_t>(aState)];
}

std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName)
{
  for (const ErrorResponse& response : kErrorResponses) {
    if (response.name_ == aName) {
      return response.kind_;
    }
  }
  return std::nullopt;
}

}
