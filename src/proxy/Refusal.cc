#include "proxy/Refusal.h"

#include <nlohmann/json.hpp>

namespace peridotsail {

Refusal
MakeRefusal(ErrorKind aKind, std::string aDetail)
{
  Refusal refusal;
  refusal.error_ = { aKind, std::move(aDetail) };
  refusal.execution_ = ErrorResponseFor(aKind).execution_;
  return refusal;
}

std::string
ProblemJson(const Refusal& aRefusal)
{
  const ErrorResponse& answer = ErrorResponseFor(aRefusal.error_.kind_);
  const std::string detail = aRefusal.error_.detail_.empty()
                               ? std::string(answer.sentence_)
                               : aRefusal.error_.detail_;
  const nlohmann::ordered_json body{
    { "type", "about:blank" },
    { "title", std::string(answer.sentence_) },
    { "status", answer.httpStatus_ },
    { "detail", detail },
    { "kind", std::string(answer.name_) },
    { "execution", std::string(NameOf(aRefusal.execution_)) }
  };
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void
SendRefusal(const IncomingRequestPtr& aRequest,
            const Refusal& aRefusal,
            std::function<void()> aDone)
{
  if (aRequest->HeadSent()) {
    aRequest->Abort();
    aDone();
    return;
  }
  const ErrorResponse& answer = ErrorResponseFor(aRefusal.error_.kind_);
  ResponseHead head;
  head.status_ = answer.httpStatus_;
  head.headers_ = { { "Content-Type", "application/problem+json" },
                    { "Execution-State",
                      std::string(NameOf(aRefusal.execution_)) } };
  const int retryAfter =
    aRefusal.retryAfterSeconds_.value_or(answer.retryAfterSeconds_);
  if (retryAfter > 0) {
    head.headers_.push_back({ "Retry-After", std::to_string(retryAfter) });
  }
  SendSmallResponse(
    aRequest, std::move(head), ProblemJson(aRefusal), std::move(aDone));
}

void
SendSmallResponse(const IncomingRequestPtr& aRequest,
                  ResponseHead aHead,
                  std::string aBody,
                  std::function<void()> aDone)
{
  aHead.contentLength_ = aBody.size();
  aRequest->SendHead(
    std::move(aHead),
    [aRequest, body = std::move(aBody), done = std::move(aDone)](bool aOk) {
      if (!aOk) {
        done();
        return;
      }
      aRequest->SendBody({ body, true }, [done](bool) { done(); });
    });
}

}
