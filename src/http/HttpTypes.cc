#include "http/HttpTypes.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace peridotsail {

namespace {

std::string
DecodePercent(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned value = 0;
    if (aText[i] == '%' && i + 2 < aText.size()) {
      const char* begin = aText.data() + i + 1;
      const auto parsed = std::from_chars(begin, begin + 2, value, 16);
      if (parsed.ptr == begin + 2) {
        decoded.push_back(static_cast<char>(value));
        i += 2;
        continue;
      }
    }
    decoded.push_back(aText[i] == '+' ? ' ' : aText[i]);
  }
  return decoded;
}

}

bool
EqualIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals({ aLeft.data(), aLeft.size() },
                               { aRight.data(), aRight.size() });
}

bool
LessIgnoreCase::operator()(std::string_view aLeft,
                           std::string_view aRight) const
{
  return boost::beast::iless()({ aLeft.data(), aLeft.size() },
                               { aRight.data(), aRight.size() });
}

const std::string*
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (EqualIgnoreCase(header.name_, aName)) {
      return &header.value_;
    }
  }
  return nullptr;
}

std::string
AddressText(const Address& aAddress)
{
  return aAddress.ip_ + ":" + std::to_string(aAddress.port_);
}

std::optional<Address>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Address address;
  const std::string_view port = aText.substr(colon + 1);
  const auto parsed =
    std::from_chars(port.data(), port.data() + port.size(), address.port_);
  if (port.empty() || parsed.ec != std::errc() ||
      parsed.ptr != port.data() + port.size()) {
    return std::nullopt;
  }
  std::string_view ip = aText.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  address.ip_ = std::string(ip);
  boost::system::error_code error;
  boost::asio::ip::make_address(address.ip_, error);
  if (error) {
    return std::nullopt;
  }
  return address;
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
EncodeQueryValue(std::string_view aText)
{
  std::string encoded;
  for (const unsigned char byte : aText) {
    const bool unreserved = std::isalnum(byte) != 0 || byte == '-' ||
                            byte == '_' || byte == '.' || byte == '/';
    if (unreserved) {
      encoded.push_back(static_cast<char>(byte));
    } else {
      char hex[4];
      std::snprintf(hex, sizeof(hex), "%%%02X", byte);
      encoded += hex;
    }
  }
  return encoded;
}

std::optional<std::string>
QueryParameter(std::string_view aTarget, std::string_view aName)
{
  const std::size_t queryStart = aTarget.find('?');
  if (queryStart == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view rest = aTarget.substr(queryStart + 1);
  while (!rest.empty()) {
    const std::string_view parameter = rest.substr(0, rest.find('&'));
    const std::size_t separator = parameter.find('=');
    if (parameter.substr(0, separator) == aName) {
      return separator == std::string_view::npos
               ? std::string()
               : DecodePercent(parameter.substr(separator + 1));
    }
    rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
  }
  return std::nullopt;
}

bool
IsValidStatus(int aStatus)
{
  constexpr int kMinStatus = 100;
  constexpr int kMaxStatus = 599;
  return aStatus >= kMinStatus && aStatus <= kMaxStatus;
}

}
