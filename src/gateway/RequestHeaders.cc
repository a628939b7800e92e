#include "gateway/RequestHeaders.h"

#include "http/HeaderNameList.h"
#include "http/HttpTypes.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace peridotsail {

namespace {

const char* const kHopByHopHeaders[] = { "Connection",
                                         "Keep-Alive",
                                         "Proxy-Authenticate",
                                         "Proxy-Authorization",
                                         "Proxy-Connection",
                                         "TE",
                                         "Trailer",
                                         "Transfer-Encoding",
                                         "Upgrade",
                                         "Content-Length",
                                         "Expect" };

bool
IsHopByHopHeader(std::string_view aName)
{
  return std::any_of(
    std::begin(kHopByHopHeaders),
    std::end(kHopByHopHeaders),
    [&](const char* aHopByHop) { return EqualIgnoreCase(aName, aHopByHop); });
}

HeaderNameList
ListedByConnection(const HeaderFields& aHeaders)
{
  std::vector<std::string_view> values;
  for (const HeaderField header : aHeaders) {
    if (EqualIgnoreCase(header.name_, "Connection")) {
      values.push_back(header.value_);
    }
  }
  return HeaderNameList(values);
}

}

HeaderFields
EndToEndHeaders(const HeaderFields& aHeaders)
{
  // Headers that the Connection header lists are hop-by-hop.
  const HeaderNameList listed = ListedByConnection(aHeaders);
  HeaderFields endToEnd;
  for (const HeaderField header : aHeaders) {
    if (!IsHopByHopHeader(header.name_) && !listed.Has(header.name_)) {
      endToEnd.Add(header.name_, header.value_);
    }
  }
  return endToEnd;
}

std::string
CookieValue(const HeaderFields& aHeaders, const std::string& aName)
{
  for (const HeaderField header : aHeaders) {
    if (!EqualIgnoreCase(header.name_, "Cookie")) {
      continue;
    }
    std::string_view rest = header.value_;
    while (!rest.empty()) {
      const std::size_t end = std::min(rest.find(';'), rest.size());
      std::string_view pair = rest.substr(0, end);
      rest.remove_prefix(std::min(end + 1, rest.size()));
      while (!pair.empty() && pair.front() == ' ') {
        pair.remove_prefix(1);
      }
      const std::size_t equals = pair.find('=');
      if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
        return std::string(pair.substr(equals + 1));
      }
    }
  }
  return "";
}

std::string
HostWithoutPort(const std::string& aHost)
{
  return aHost.substr(0, aHost.rfind(':'));
}

}
