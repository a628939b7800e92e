#pragma once

// Reads the platform's lagging host list: EndpointSlice JSON over HTTP.
//
//   HostListClient list(ioContext, options);
//   list.Read("peridotsail", [](auto hosts, const Error& error) { ... });

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail {

// One entry of the list. Addresses are IP addresses with ports; those that the
// list does not name are empty.
struct ListedHost
{
  std::string name_;
  std::string region_;
  std::string failureDomain_;
  std::string callersAddress_;
  std::string peersAddress_;
  std::string operatorsAddress_;
  bool leaving_ = false;

  bool operator==(const ListedHost& aOther) const;
};

struct HostListOptions
{
  Address address_;
  Duration timeout_ = std::chrono::seconds(2);
};

// Parses an EndpointSliceList document. Malformed entries are left out;
// returns nothing when the whole document is malformed.
std::optional<std::vector<ListedHost>>
ParseHostList(const std::string& aText);

class HostListClient
{
public:
  using Callback =
    std::function<void(std::optional<std::vector<ListedHost>>, const Error&)>;

  HostListClient(boost::asio::io_context& aContext, HostListOptions aOptions);
  ~HostListClient();
  HostListClient(const HostListClient&) = delete;
  HostListClient& operator=(const HostListClient&) = delete;

  // aService is "peridotsail" for the entry hosts or a pool's name. Hosts come
  // sorted by name.
  void Read(const std::string& aService, Callback aCallback);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
