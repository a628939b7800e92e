#pragma once

// Reads and filters the headers of requests and responses on the data path.

#include "http/HttpTypes.h"

#include <string>

namespace peridotsail {

// Returns the end-to-end headers: without the hop-by-hop headers, those that
// the Connection header lists, and the body length, which is set anew.
HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders);

// Returns the value of a cookie, or an empty string.
std::string
CookieValue(const HttpHeaders& aHeaders, const std::string& aName);

// Returns the value of a header, or an empty string.
std::string
HeaderOrEmpty(const HttpHeaders& aHeaders, const std::string& aName);

std::string
HostWithoutPort(const std::string& aHost);

}
