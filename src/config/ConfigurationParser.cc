#include "config/ConfigurationParser.h"

#include "base/BoundedJson.h"
#include "config/JsonReader.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <set>
#include <utility>

namespace peridotsail {

namespace {

using detail::JsonObjectReader;
using Faults = std::vector<ConfigurationFault>;
using Names = std::set<std::string>;

constexpr std::int64_t kFormat = 1;
constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxConnections = 100'000;
constexpr std::int64_t kMaxWarmUpSeconds = 3600;
constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr std::int64_t kMaxBodyBytes = 1LL << 40;

// Adds a fault if the name is already used in the same list.
void
RequireUnique(JsonObjectReader& aReader,
              const char* aField,
              const std::string& aName,
              Names& aNames)
{
  if (!aName.empty() && !aNames.insert(aName).second) {
    aReader.AddFault(aField, "'" + aName + "' is used twice");
  }
}

void
RequireExists(JsonObjectReader& aReader,
              const char* aField,
              const std::string& aName,
              const Names& aNames)
{
  if (!aName.empty() && aNames.count(aName) == 0) {
    aReader.AddFault(aField, "'" + aName + "' does not exist");
  }
}

bool
IsAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || colon + 1 == aText.size() ||
      aText.size() - colon > 6) {
    return false;
  }
  const std::string port = aText.substr(colon + 1);
  if (port.find_first_not_of("0123456789") != std::string::npos ||
      std::stoi(port) < 1 || std::stoi(port) > 65535) {
    return false;
  }
  std::string ip = aText.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(ip, error);
  return !error;
}

bool
IsSha256Hex(const std::string& aText)
{
  return aText.size() == 64 &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Reads the sections in dependency order, so that each one refers only to those
// already read.
class DocumentReader
{
public:
  DocumentReader(const nlohmann::json& aDocument, Faults& aFaults)
    : root_(aDocument, "", aFaults)
  {
  }

  Configuration Read()
  {
    root_.Integer("format", kFormat, kFormat);
    ReadRegions();
    ReadPools();
    ReadBackendServers();
    ReadRoutes();
    ReadCustomers();
    ReadKeys();
    ReadShiftCaps();
    ReadDrains();
    root_.RejectUnknownFields();
    return std::move(result_);
  }

private:
  void ReadRegions()
  {
    for (JsonObjectReader& reader : root_.Objects("regions")) {
      RegionConfig region;
      region.name_ = reader.Name("name");
      RequireUnique(reader, "name", region.name_, regions_);
      region.failureDomains_ = reader.Strings("failure_domains", true);
      for (const std::string& domain : region.failureDomains_) {
        RequireUnique(reader, "failure_domains", domain, failureDomains_);
        domainRegions_.insert({ domain, region.name_ });
      }
      region.slots_ = static_cast<int>(reader.Integer("slots", 1, kMaxSlots));
      region.capacityPerSecond_ = reader.Number("capacity_per_second", 0);
      reader.RejectUnknownFields();
      result_.regions_.push_back(std::move(region));
    }
    if (result_.regions_.empty()) {
      root_.AddFault("regions", "must contain at least one region");
    }
  }

  void ReadPools()
  {
    for (JsonObjectReader& reader : root_.Objects("pools")) {
      PoolConfig pool;
      pool.name_ = reader.Name("name");
      RequireUnique(reader, "name", pool.name_, pools_);
      pool.healthPath_ = reader.StringOr("health_path", pool.healthPath_);
      pool.loadPath_ = reader.StringOr("load_path", pool.loadPath_);
      RequirePath(reader, "health_path", pool.healthPath_);
      RequirePath(reader, "load_path", pool.loadPath_);
      pool.warmUp_ = std::chrono::seconds(
        reader.Integer("warm_up_seconds", 0, kMaxWarmUpSeconds, 0));
      reader.RejectUnknownFields();
      result_.pools_.push_back(std::move(pool));
    }
  }

  void ReadBackendServers()
  {
    for (JsonObjectReader& reader : root_.Objects("backend_servers")) {
      BackendServerConfig server;
      server.name_ = reader.Name("name");
      RequireUnique(reader, "name", server.name_, backendServers_);
      server.pool_ = reader.Name("pool");
      RequireExists(reader, "pool", server.pool_, pools_);
      server.region_ = reader.Name("region");
      RequireExists(reader, "region", server.region_, regions_);
      server.failureDomain_ = reader.Name("failure_domain");
      if (!server.failureDomain_.empty() &&
          domainRegions_.count({ server.failureDomain_, server.region_ }) ==
            0) {
        reader.AddFault("failure_domain",
                        "'" + server.failureDomain_ +
                          "' does not exist in the region");
      }
      server.address_ = reader.String("address");
      if (!server.address_.empty() && !IsAddress(server.address_)) {
        reader.AddFault("address", "is not an IP address with a port");
      }
      server.slots_ = static_cast<int>(reader.Integer("slots", 1, kMaxSlots));
      server.connections_ = static_cast<int>(
        reader.Integer("connections", 1, kMaxConnections, 400));
      reader.RejectUnknownFields();
      result_.backendServers_.push_back(std::move(server));
    }
  }

  void ReadRoutes()
  {
    Names prefixes;
    for (JsonObjectReader& reader : root_.Objects("routes")) {
      RouteConfig route;
      route.name_ = reader.Name("name");
      RequireUnique(reader, "name", route.name_, routes_);
      route.prefix_ = reader.String("prefix");
      RequirePath(reader, "prefix", route.prefix_);
      RequireUnique(reader, "prefix", route.prefix_, prefixes);
      route.methods_ = reader.Strings("methods", false);
      route.pool_ = reader.Name("pool");
      RequireExists(reader, "pool", route.pool_, pools_);
      route.open_ = reader.Boolean("open", false);
      route.idempotent_ = reader.Boolean("idempotent", true);
      if (route.open_ && !route.idempotent_) {
        reader.AddFault("idempotent", "must be true on an open route");
      }
      route.timeout_ = std::chrono::milliseconds(
        reader.Integer("timeout_ms", 1, kMaxTimeoutMs, 10'000));
      route.maxBodyBytes_ = static_cast<std::uint64_t>(
        reader.Integer("max_body_bytes", 0, kMaxBodyBytes, 1 << 20));
      reader.RejectUnknownFields();
      result_.routes_.push_back(std::move(route));
    }
  }

  void ReadCustomers()
  {
    for (JsonObjectReader& reader : root_.Objects("customers")) {
      CustomerConfig customer;
      customer.name_ = reader.Name("name");
      RequireUnique(reader, "name", customer.name_, customers_);
      customer.ratePerSecond_ = reader.Number("rate_per_second");
      customer.burst_ = reader.Number("burst");
      reader.RejectUnknownFields();
      result_.customers_.push_back(std::move(customer));
    }
  }

  void ReadKeys()
  {
    Names ids;
    for (JsonObjectReader& reader : root_.Objects("keys")) {
      KeyConfig key;
      key.id_ = reader.Name("id");
      RequireUnique(reader, "id", key.id_, ids);
      if (key.id_.find('.') != std::string::npos) {
        // Callers present a key as "<id>.<secret>".
        reader.AddFault("id", "must not contain '.'");
      }
      key.customer_ = reader.Name("customer");
      RequireExists(reader, "customer", key.customer_, customers_);
      key.sha256_ = reader.String("sha256");
      if (!key.sha256_.empty() && !IsSha256Hex(key.sha256_)) {
        reader.AddFault("sha256", "is not 64 lower-case hexadecimal digits");
      }
      key.withdrawn_ = reader.Boolean("withdrawn", false);
      reader.RejectUnknownFields();
      result_.keys_.push_back(std::move(key));
    }
  }

  void ReadShiftCaps()
  {
    Names pairs;
    for (JsonObjectReader& reader : root_.Objects("shift_caps")) {
      ShiftCapConfig cap;
      cap.from_ = reader.Name("from");
      RequireExists(reader, "from", cap.from_, regions_);
      cap.to_ = reader.Name("to");
      RequireExists(reader, "to", cap.to_, regions_);
      if (!cap.to_.empty() && cap.from_ == cap.to_) {
        reader.AddFault("to", "is the same region as 'from'");
      }
      if (!cap.from_.empty() && !cap.to_.empty()) {
        RequireUnique(reader, "to", cap.from_ + " to " + cap.to_, pairs);
      }
      cap.mbitPerSecond_ = reader.Number("mbit_per_second");
      reader.RejectUnknownFields();
      result_.shiftCaps_.push_back(std::move(cap));
    }
  }

  void ReadDrains()
  {
    Names seen;
    for (JsonObjectReader& reader : root_.Objects("drains")) {
      DrainConfig drain;
      const std::string kind = reader.Name("kind");
      drain.name_ = reader.Name("name");
      if (kind == NameOf(DrainKind::BackendServer)) {
        drain.kind_ = DrainKind::BackendServer;
        RequireExists(reader, "name", drain.name_, backendServers_);
      } else if (kind == NameOf(DrainKind::Region)) {
        drain.kind_ = DrainKind::Region;
        RequireExists(reader, "name", drain.name_, regions_);
      } else if (!kind.empty() && kind != NameOf(DrainKind::Host)) {
        reader.AddFault("kind", "is not host, backend_server or region");
      }
      RequireUnique(reader, "name", kind + " " + drain.name_, seen);
      reader.RejectUnknownFields();
      result_.drains_.push_back(std::move(drain));
    }
  }

  static void RequirePath(JsonObjectReader& aReader,
                          const char* aField,
                          const std::string& aPath)
  {
    if (!aPath.empty() && aPath.front() != '/') {
      aReader.AddFault(aField, "does not start with '/'");
    }
  }

  JsonObjectReader root_;
  Configuration result_;
  Names regions_;
  Names failureDomains_;
  std::set<std::pair<std::string, std::string>> domainRegions_;
  Names pools_;
  Names backendServers_;
  Names routes_;
  Names customers_;
};

}

std::optional<Configuration>
ParseConfiguration(std::string_view aText, Faults& aFaults)
{
  aFaults.clear();
  if (aText.size() > kMaxDocumentBytes) {
    aFaults.push_back({ "", "the document is larger than 900000 bytes" });
    return std::nullopt;
  }
  const nlohmann::json document = ParseBoundedJson(aText);
  if (document.is_discarded()) {
    aFaults.push_back({ "", "the document is not valid JSON" });
    return std::nullopt;
  }
  Configuration result = DocumentReader(document, aFaults).Read();
  if (!aFaults.empty()) {
    return std::nullopt;
  }
  return result;
}

std::string
DescribeFaults(const Faults& aFaults)
{
  std::string text;
  for (const ConfigurationFault& fault : aFaults) {
    if (!text.empty()) {
      text += "; ";
    }
    text += fault.path_.empty() ? "document" : fault.path_;
    text += ": " + fault.message_;
  }
  return text;
}

}
