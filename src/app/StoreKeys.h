#pragma once

// The store's keys of the configuration.

namespace peridotsail {

constexpr char kConfigurationKey[] = "peridotsail/config";
// Followed by the version's number.
constexpr char kConfigurationHistoryPrefix[] = "peridotsail/config/history/";

}
