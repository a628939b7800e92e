#include "regions/RegionDemandMessages.h"

#include "base/BoundedJson.h"
#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace peridotsail {

using nlohmann::json;

namespace {

constexpr const char* kKind = "kind";
constexpr const char* kDemand = "region-demand";
constexpr const char* kPlan = "region-plan";
// A message is a map of services, each with a list of numbers or of lists.
constexpr int kMaxDepth = 5;
constexpr std::size_t kMaxNameBytes = 200;
// Services of one datagram.
constexpr std::size_t kMaxServices = 64;
// A datagram is closed when its services have about this many bytes, so that it
// fits a packet together with the other fields.
constexpr std::size_t kMaxServiceBytes = 1000;
// Fixed-point numbers take 3 to 5 bytes, floating-point numbers 9.
constexpr double kSlotUnit = 0.01;
constexpr double kShareUnit = 0.0001;
constexpr std::int64_t kMaxSlotUnits = 1'000'000'000;
constexpr std::int64_t kMaxMilliseconds = 24LL * 3600 * 1000;
constexpr std::size_t kMaxHosts = 100'000;
// Fields of a demand before those of the regions.
constexpr std::size_t kDemandFields = 3;
// Rounded shares add up to 1 with this error.
constexpr double kMaxShareError = 0.01;

std::int64_t
ToUnits(double aValue, double aUnit)
{
  const double units = std::round(aValue / aUnit);
  return static_cast<std::int64_t>(
    std::clamp(units, 0.0, static_cast<double>(kMaxSlotUnits)));
}

std::int64_t
ReadInteger(const json& aValue, std::int64_t aMax)
{
  if (!aValue.is_number_integer()) {
    throw std::range_error("not an integer");
  }
  const auto value = aValue.get<std::int64_t>();
  if (value < 0 || value > aMax) {
    throw std::range_error("out of range");
  }
  return value;
}

double
ReadUnits(const json& aValue, double aUnit)
{
  return static_cast<double>(ReadInteger(aValue, kMaxSlotUnits)) * aUnit;
}

Duration
ReadMilliseconds(const json& aValue)
{
  return std::chrono::milliseconds(ReadInteger(aValue, kMaxMilliseconds));
}

const json&
ReadList(const json& aValue, std::size_t aSize)
{
  if (!aValue.is_array() || aValue.size() != aSize) {
    throw std::range_error("not a list of the expected size");
  }
  return aValue;
}

const json&
ReadServices(const json& aMessage)
{
  const json& services = aMessage.at("services");
  if (!services.is_object() || services.size() > kMaxServices) {
    throw std::range_error("services");
  }
  for (const auto& [name, row] : services.items()) {
    if (name.size() > kMaxNameBytes) {
      throw std::range_error("name");
    }
  }
  return services;
}

json
SharesToJson(const RegionShares& aShares)
{
  json row = json::array();
  for (const double share : aShares) {
    row.push_back(ToUnits(share, kShareUnit));
  }
  return row;
}

RegionShares
ReadShares(const json& aRow, std::size_t aRegions)
{
  RegionShares shares;
  double sum = 0;
  for (const json& share : ReadList(aRow, aRegions)) {
    shares.push_back(ReadUnits(share, kShareUnit));
    sum += shares.back();
  }
  if (std::abs(sum - 1) > kMaxShareError) {
    throw std::range_error("shares");
  }
  return shares;
}

json
DemandToJson(const ServiceDemand& aDemand)
{
  json row = { ToUnits(aDemand.movable_, kSlotUnit),
               ToMilliseconds(aDemand.targetLatency_),
               ToUnits(aDemand.requests_, kSlotUnit) };
  for (const double fixed : aDemand.fixed_) {
    row.push_back(ToUnits(fixed, kSlotUnit));
  }
  return row;
}

ServiceDemand
ReadDemand(const json& aRow, std::size_t aRegions)
{
  const json& row = ReadList(aRow, aRegions + kDemandFields);
  ServiceDemand demand;
  demand.movable_ = ReadUnits(row[0], kSlotUnit);
  demand.targetLatency_ = ReadMilliseconds(row[1]);
  demand.requests_ = ReadUnits(row[2], kSlotUnit);
  for (std::size_t region = 0; region < aRegions; ++region) {
    demand.fixed_.push_back(ReadUnits(row[region + kDemandFields], kSlotUnit));
  }
  return demand;
}

std::string
ToBytes(const json& aMessage)
{
  std::string bytes;
  json::to_cbor(aMessage, bytes);
  return bytes;
}

// Splits the services into parts that fit a datagram each; there is at least
// one part.
std::vector<json>
SplitServices(const json& aServices)
{
  std::vector<json> parts(1, json::object());
  std::size_t bytes = 0;
  for (const auto& [name, row] : aServices.items()) {
    if (name.size() > kMaxNameBytes) {
      continue;
    }
    const std::size_t size = name.size() + 2 + ToBytes(row).size();
    const bool full =
      bytes + size > kMaxServiceBytes || parts.back().size() >= kMaxServices;
    if (full && !parts.back().empty()) {
      parts.push_back(json::object());
      bytes = 0;
    }
    parts.back()[name] = row;
    bytes += size;
  }
  return parts;
}

std::optional<json>
DecodeMap(const std::string& aBytes)
{
  std::optional<json> message = DecodeBoundedCbor(aBytes, kMaxDepth);
  if (!message || !message->is_object()) {
    return std::nullopt;
  }
  return message;
}

DemandReport
ReadReport(const json& aMessage, std::size_t aRegions)
{
  DemandReport report;
  report.regional_ = aMessage.at("regional").get<bool>();
  report.sequence_ = aMessage.at("seq").get<std::uint64_t>();
  report.wantsPlan_ = aMessage.at("ask").get<bool>();
  report.hosts_ =
    static_cast<std::size_t>(ReadInteger(aMessage.at("hosts"), kMaxHosts));
  for (const json& way : ReadList(aMessage.at("ways"), aRegions)) {
    report.roundTrips_.push_back(ReadMilliseconds(way));
  }
  for (const auto& [name, row] : ReadServices(aMessage).items()) {
    const json& fields = ReadList(row, report.regional_ ? 2 : 1);
    report.services_.emplace(name, ReadDemand(fields[0], aRegions));
    if (report.regional_ && !fields[1].empty()) {
      report.shares_.emplace(name, ReadShares(fields[1], aRegions));
    }
  }
  return report;
}

PlanMessage
ReadPlan(const json& aMessage, std::size_t aRegions)
{
  PlanMessage message;
  message.plan_.version_ = aMessage.at("version").get<std::uint64_t>();
  message.plan_.age_ = ReadMilliseconds(aMessage.at("age"));
  for (const auto& [name, row] : ReadServices(aMessage).items()) {
    const json& fields = ReadList(row, 2);
    ServicePlan plan;
    plan.shares_ = ReadShares(fields[0], aRegions);
    for (const json& open : ReadList(fields[1], aRegions)) {
      plan.overflow_.push_back(ReadInteger(open, 1) == 1);
    }
    message.plan_.services_.emplace(name, std::move(plan));
  }
  return message;
}

}

RegionMessageCodec::RegionMessageCodec(const std::vector<std::string>& aRegions)
  : regions_(aRegions.size())
{
  std::string names;
  for (const std::string& region : aRegions) {
    names += region + '\n';
  }
  regionsHash_ = StableHash(names);
}

std::vector<std::string>
RegionMessageCodec::Encode(const DemandReport& aReport) const
{
  json services = json::object();
  for (const auto& [name, demand] : aReport.services_) {
    json row = json::array({ DemandToJson(demand) });
    if (aReport.regional_) {
      const auto shares = aReport.shares_.find(name);
      row.push_back(shares == aReport.shares_.end()
                      ? json::array()
                      : SharesToJson(shares->second));
    }
    services[name] = std::move(row);
  }
  json ways = json::array();
  for (std::size_t region = 0; region < regions_; ++region) {
    ways.push_back(region < aReport.roundTrips_.size()
                     ? ToMilliseconds(aReport.roundTrips_[region])
                     : 0);
  }
  std::vector<std::string> datagrams;
  for (json& part : SplitServices(services)) {
    datagrams.push_back(ToBytes({ { kKind, kDemand },
                                  { "regions", regionsHash_ },
                                  { "region", aReport.region_ },
                                  { "regional", aReport.regional_ },
                                  { "seq", aReport.sequence_ },
                                  { "ask", datagrams.empty() },
                                  { "hosts", aReport.hosts_ },
                                  { "ways", ways },
                                  { "services", std::move(part) } }));
  }
  return datagrams;
}

std::vector<std::string>
RegionMessageCodec::Encode(const PlanMessage& aPlan) const
{
  json services = json::object();
  for (const auto& [name, plan] : aPlan.plan_.services_) {
    json overflow = json::array();
    for (const bool open : plan.overflow_) {
      overflow.push_back(open ? 1 : 0);
    }
    services[name] = json::array({ SharesToJson(plan.shares_), overflow });
  }
  std::vector<std::string> datagrams;
  for (json& part : SplitServices(services)) {
    datagrams.push_back(ToBytes({ { kKind, kPlan },
                                  { "regions", regionsHash_ },
                                  { "region", aPlan.region_ },
                                  { "version", aPlan.plan_.version_ },
                                  { "age", ToMilliseconds(aPlan.plan_.age_) },
                                  { "services", std::move(part) } }));
  }
  return datagrams;
}

bool
RegionMessageCodec::IsRegionMessage(const std::string& aBytes)
{
  const std::optional<json> message = DecodeMap(aBytes);
  if (!message) {
    return false;
  }
  const auto kind = message->find(kKind);
  return kind != message->end() && (*kind == kDemand || *kind == kPlan);
}

std::optional<RegionMessage>
RegionMessageCodec::Decode(const std::string& aBytes) const
{
  try {
    const std::optional<json> message = DecodeMap(aBytes);
    if (!message ||
        message->at("regions").get<std::uint64_t>() != regionsHash_) {
      return std::nullopt;
    }
    const auto region = static_cast<std::size_t>(ReadInteger(
      message->at("region"), static_cast<std::int64_t>(regions_) - 1));
    if (message->at(kKind) == kDemand) {
      DemandReport report = ReadReport(*message, regions_);
      report.region_ = region;
      return report;
    }
    if (message->at(kKind) == kPlan) {
      PlanMessage plan = ReadPlan(*message, regions_);
      plan.region_ = region;
      return plan;
    }
    return std::nullopt;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::range_error&) {
    return std::nullopt;
  }
}

}
