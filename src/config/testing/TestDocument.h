#pragma once

// Documents with a given number of customers for tests and benchmarks.

#include "base/Hash.h"

#include <nlohmann/json.hpp>
#include <string>

namespace peridotsail::testing {

// Each customer has one key "k<n>" with the secret "secret<n>". The sections
// that do not depend on the customers have the size of the current deployment.
inline nlohmann::json
MakeDocument(int aCustomers, int aServers = 44)
{
  using nlohmann::json;
  json document = { { "format", 1 } };
  for (const std::string region : { "eu-west", "ap-east", "sa-south" }) {
    document["regions"].push_back(
      { { "name", region },
        { "failure_domains", { region + "-a", region + "-b" } },
        { "slots", 3 },
        { "capacity_per_second", 900 } });
  }
  document["pools"].push_back({ { "name", "inbox" } });
  document["routes"].push_back(
    { { "name", "inbox" }, { "prefix", "/inbox" }, { "pool", "inbox" } });
  for (int i = 0; i < aServers; ++i) {
    document["backend_servers"].push_back(
      { { "name", "inbox-" + std::to_string(i) },
        { "pool", "inbox" },
        { "region", "eu-west" },
        { "failure_domain", "eu-west-a" },
        { "address", "127.0.0.1:" + std::to_string(9000 + i) },
        { "slots", 3 },
        { "connections", 400 } });
  }
  for (int i = 0; i < aCustomers; ++i) {
    const std::string number = std::to_string(i);
    document["customers"].push_back({ { "name", "customer-" + number },
                                      { "rate_per_second", 50 },
                                      { "burst", 100 } });
    document["keys"].push_back({ { "id", "k" + number },
                                 { "customer", "customer-" + number },
                                 { "sha256", Sha256Hex("secret" + number) },
                                 { "withdrawn", false } });
  }
  return document;
}

}
