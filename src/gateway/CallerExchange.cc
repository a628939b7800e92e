#include "gateway/CallerExchange.h"

#include "http/BeastTypes.h"
#include "http/MessageWriter.h"

namespace peridotsail::detail {

namespace {

bool
BodyAllowed(const std::string& aMethod, int aStatus)
{
  return aMethod != "HEAD" && aStatus >= 200 && aStatus != 204 &&
         aStatus != 304;
}

}

std::string
SerializeHead(CallerResponse& aResponse, const std::string& aMethod)
{
  const auto status = static_cast<http::status>(aResponse.status_);
  std::string head = "HTTP/1.1 " + std::to_string(aResponse.status_) + ' ';
  head.append(ToView(http::obsolete_reason(status))).append("\r\n");
  for (const HeaderField field : aResponse.headers_) {
    AppendField(head, field.name_, field.value_);
  }
  if (BodyAllowed(aMethod, aResponse.status_)) {
    AppendField(head,
                "Content-Length",
                std::to_string(aResponse.body_ ? aResponse.body_->Size() : 0));
  } else {
    aResponse.body_.reset();
  }
  if (aResponse.close_) {
    AppendField(head, "Connection", "close");
  }
  return head + "\r\n";
}

}
