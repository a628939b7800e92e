#pragma once

// Reads the platform's host list, EndpointSlice JSON over HTTP. The list is
// eventually consistent.
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

// An entry of the host list. Addresses consist of IP address and port, or are
// empty if the list does not contain them.
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

// Parses an EndpointSliceList document. Skips malformed entries. Returns
// nullopt if the document as a whole is malformed.
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

  // Reads the hosts of a service, sorted by name. aService is "peridotsail" for
  // the entry hosts, or the name of a pool.
  void Read(const std::string& aService, Callback aCallback);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
