#pragma once

// `peridotsail lookup`: asks an entry host which hosts to use, as a caller
// would, and prints the answer.

#include "http/HttpTypes.h"

#include <optional>
#include <string>

namespace peridotsail {

// Exit codes: 0 for an answer, 1 when the host does not answer, 2 for a wrong
// argument.
int
RunLookup(const std::string& aHost, const std::string& aBlock, bool aJson);

// Makes one call and waits for the answer. Returns nothing and sets aReason on
// a failure.
std::optional<HttpResponse>
CallAndWait(const Address& aAddress,
            const HttpRequest& aRequest,
            std::string& aReason);

}
