#pragma once

// `peridotsail lookup`: looks up the entry hosts for a client block, as a
// caller does, and prints them.

#include "http/HttpTypes.h"

#include <optional>
#include <string>

namespace peridotsail {

// Returns the exit code: 0 on success, 1 if the lookup fails, 2 for an invalid
// argument.
int
RunLookup(const std::string& aHost, const std::string& aBlock, bool aJson);

// Sends one request and waits for the response. On failure, returns nothing and
// sets aReason.
std::optional<HttpResponse>
CallAndWait(const Address& aAddress,
            const HttpRequest& aRequest,
            std::string& aReason);

}
