#pragma once

// Reads and filters the headers of requests and responses on the data path.

#include "http/HeaderFields.h"

#include <string>

namespace peridotsail {

// Returns the end-to-end headers: without the hop-by-hop headers, those that
// the Connection header lists, and the body length, which is set anew.
HeaderFields
EndToEndHeaders(const HeaderFields& aHeaders);

// Returns the value of a cookie, or an empty string.
std::string
CookieValue(const HeaderFields& aHeaders, const std::string& aName);

std::string
HostWithoutPort(const std::string& aHost);

}
