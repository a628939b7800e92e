#pragma once

// HTTP message and address types that do not depend on the HTTP library.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

struct HttpHeader
{
  std::string name_;
  std::string value_;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header with this name, compared
// case-insensitively, or null.
const std::string*
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

bool
EqualIgnoreCase(std::string_view aLeft, std::string_view aRight);

// Orders header names, case-insensitively.
struct LessIgnoreCase
{
  bool operator()(std::string_view aLeft, std::string_view aRight) const;
};

struct HttpRequest
{
  std::string method_ = "GET";
  std::string target_ = "/";
  HttpHeaders headers_;
  std::string body_;
};

struct HttpResponse
{
  int status_ = 200;
  HttpHeaders headers_;
  std::string body_;
};

// Returns whether a response can have this status. An HTTP library may parse
// any three digits.
bool
IsValidStatus(int aStatus);

// An IP address and a port.
struct Address
{
  std::string ip_;
  std::uint16_t port_ = 0;
};

// Parses "127.0.0.1:80" or "[::1]:80"; names are not resolved.
std::optional<Address>
ParseAddress(std::string_view aText);

// Formats an IPv4 address so that ParseAddress can read it.
std::string
AddressText(const Address& aAddress);

// Returns the path of a request target, without its query.
std::string_view
PathOf(std::string_view aTarget);

// Encodes the value of a query parameter.
std::string
EncodeQueryValue(std::string_view aText);

// Returns the decoded value of a query parameter, or nothing.
std::optional<std::string>
QueryParameter(std::string_view aTarget, std::string_view aName);

}
