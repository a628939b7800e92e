#include "gateway/ServerHead.h"

#include "gateway/RequestHeaders.h"
#include "http/MessageWriter.h"

#include <algorithm>
#include <array>

namespace peridotsail::detail {

std::string
MakeServerHead(const CallerRequest& aRequest,
               const GatewayHeaders& aNames,
               const ServerHeadFields& aFields)
{
  std::string head =
    aRequest.method_ + ' ' + aRequest.target_ + " HTTP/1.1\r\n";
  const std::array<std::string_view, 4> replaced{ aNames.deadline_,
                                                  aNames.expectedInstance_,
                                                  aNames.customer_,
                                                  "Authorization" };
  for (const HeaderField header : EndToEndHeaders(aRequest.headers_)) {
    const bool isReplaced = std::any_of(
      replaced.begin(), replaced.end(), [&](std::string_view aName) {
        return EqualIgnoreCase(header.name_, aName);
      });
    if (!isReplaced) {
      AppendField(head, header.name_, header.value_);
    }
  }
  AppendField(
    head, aNames.deadline_, std::to_string(ToMilliseconds(aFields.timeLeft_)));
  AppendField(head, aNames.expectedInstance_, aFields.serverId_);
  if (!aFields.customer_.empty()) {
    AppendField(head, aNames.customer_, aFields.customer_);
  }
  const bool hasBody = aFields.bodyBytes_ > 0 ||
                       aRequest.headers_.Has("Content-Length") ||
                       aRequest.headers_.Has("Transfer-Encoding");
  if (hasBody) {
    AppendField(head, "Content-Length", std::to_string(aFields.bodyBytes_));
  }
  return head + "\r\n";
}

}
