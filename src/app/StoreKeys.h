#pragma once

// Store keys under which the configuration is kept.

namespace peridotsail {

constexpr char kConfigurationKey[] = "peridotsail/config";
// Followed by the version number.
constexpr char kConfigurationHistoryPrefix[] = "peridotsail/config/history/";

}
