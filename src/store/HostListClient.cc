#include "store/HostListClient.h"

#include "base/BoundedJson.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

namespace peridotsail {

using nlohmann::json;

namespace {

// EndpointSlice label that contains the region.
constexpr char kRegionLabel[] = "topology.kubernetes.io/region";

std::string
ReadString(const json& aObject, const char* aField)
{
  const auto found = aObject.find(aField);
  const bool isString = found != aObject.end() && found->is_string();
  return isString ? found->get<std::string>() : "";
}

bool
ReadBool(const json& aObject, const char* aField)
{
  const auto found = aObject.find(aField);
  return found != aObject.end() && found->is_boolean() && found->get<bool>();
}

std::map<std::string, int>
ReadPorts(const json& aSlice)
{
  std::map<std::string, int> ports;
  for (const json& port : aSlice.value("ports", json::array())) {
    if (port.is_object() && port.contains("port") &&
        port["port"].is_number_integer()) {
      ports[ReadString(port, "name")] = port["port"].get<int>();
    }
  }
  return ports;
}

std::string
FormatAddress(const std::string& aIp,
              const std::map<std::string, int>& aPorts,
              const char* aPort)
{
  const auto found = aPorts.find(aPort);
  if (found == aPorts.end()) {
    return "";
  }
  const std::string ip =
    aIp.find(':') == std::string::npos ? aIp : "[" + aIp + "]";
  return ip + ":" + std::to_string(found->second);
}

std::optional<ListedHost>
ReadEndpoint(const json& aEndpoint,
             const std::string& aRegion,
             const std::map<std::string, int>& aPorts)
{
  if (!aEndpoint.is_object()) {
    return std::nullopt;
  }
  const json addresses = aEndpoint.value("addresses", json::array());
  if (!addresses.is_array() || addresses.empty() || !addresses[0].is_string()) {
    return std::nullopt;
  }
  const std::string ip = addresses[0].get<std::string>();
  const json conditions = aEndpoint.value("conditions", json::object());
  ListedHost host;
  host.name_ = ReadString(aEndpoint, "hostname");
  host.region_ = aRegion;
  host.failureDomain_ = ReadString(aEndpoint, "zone");
  host.callersAddress_ = FormatAddress(ip, aPorts, "callers");
  host.peersAddress_ = FormatAddress(ip, aPorts, "peers");
  host.operatorsAddress_ = FormatAddress(ip, aPorts, "operators");
  host.leaving_ = conditions.is_object() && ReadBool(conditions, "terminating");
  if (host.name_.empty()) {
    return std::nullopt;
  }
  return host;
}

void
ReadSlice(const json& aSlice, std::vector<ListedHost>& aHosts)
{
  if (!aSlice.is_object()) {
    return;
  }
  const json metadata = aSlice.value("metadata", json::object());
  const json labels = metadata.is_object()
                        ? metadata.value("labels", json::object())
                        : json::object();
  const std::string region =
    labels.is_object() ? ReadString(labels, kRegionLabel) : "";
  const std::map<std::string, int> ports = ReadPorts(aSlice);
  for (const json& endpoint : aSlice.value("endpoints", json::array())) {
    if (const auto host = ReadEndpoint(endpoint, region, ports)) {
      aHosts.push_back(*host);
    }
  }
}

}

bool
ListedHost::operator==(const ListedHost& aOther) const
{
  const auto fields = [](const ListedHost& aHost) {
    return std::tie(aHost.name_,
                    aHost.region_,
                    aHost.failureDomain_,
                    aHost.callersAddress_,
                    aHost.peersAddress_,
                    aHost.operatorsAddress_,
                    aHost.leaving_);
  };
  return fields(*this) == fields(aOther);
}

std::optional<std::vector<ListedHost>>
ParseHostList(const std::string& aText)
{
  const json list = ParseBoundedJson(aText);
  if (!list.is_object() || !list.contains("items") ||
      !list["items"].is_array()) {
    return std::nullopt;
  }
  std::vector<ListedHost> hosts;
  try {
    for (const json& slice : list["items"]) {
      ReadSlice(slice, hosts);
    }
  } catch (const json::exception&) {
    // A field has a type that the EndpointSlice schema does not permit.
    return std::nullopt;
  }
  std::sort(hosts.begin(),
            hosts.end(),
            [](const ListedHost& aLeft, const ListedHost& aRight) {
              return aLeft.name_ < aRight.name_;
            });
  return hosts;
}

struct HostListClient::Impl
{
  Impl(boost::asio::io_context& aContext, HostListOptions aOptions)
    : client_(aContext, {})
    , options_(std::move(aOptions))
  {
  }

  HttpClient client_;
  HostListOptions options_;
};

HostListClient::HostListClient(boost::asio::io_context& aContext,
                               HostListOptions aOptions)
  : impl_(std::make_unique<Impl>(aContext, std::move(aOptions)))
{
}

HostListClient::~HostListClient() = default;

void
HostListClient::Read(const std::string& aService, Callback aCallback)
{
  HttpRequest request;
  request.target_ =
    "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices"
    "?labelSelector=kubernetes.io/service-name=" +
    aService;
  const Duration timeout = impl_->options_.timeout_;
  impl_->client_.Call(
    impl_->options_.address_,
    request,
    HttpTimeouts{ timeout, timeout },
    [callback = std::move(aCallback)](std::optional<HttpResponse> aResponse,
                                      const Error& aError,
                                      const HttpTransfer&) {
      if (!aResponse) {
        callback(std::nullopt, aError);
        return;
      }
      auto hosts = aResponse->status_ == 200 ? ParseHostList(aResponse->body_)
                                             : std::nullopt;
      if (!hosts) {
        callback(
          std::nullopt,
          { ErrorKind::Internal, "the host list response is malformed" });
        return;
      }
      callback(std::move(hosts), {});
    });
}

}
