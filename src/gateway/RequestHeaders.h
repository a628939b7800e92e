#pragma once

// What the data path reads from the headers of requests and answers, and what
// it passes on.

#include "http/HttpTypes.h"

#include <string>

namespace peridotsail {

// The headers without those that concern one connection only: the known ones,
// those that Connection names, and the body's length, which is set anew.
HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders);

// The value of a cookie, or empty.
std::string
CookieValue(const HttpHeaders& aHeaders, const std::string& aName);

// The value of a header, or empty.
std::string
HeaderOr(const HttpHeaders& aHeaders, const std::string& aName);

std::string
HostWithoutPort(const std::string& aHost);

}
