#include "app/LookupCommand.h"

#include "base/BoundedJson.h"
#include "http/HttpClient.h"
#include "proxy/RequestPipeline.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace peridotsail {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(5);

void
PrintTable(const nlohmann::json& aAnswer)
{
  std::cout << "configuration " << aAnswer.value("config_version", 0)
            << ", valid for " << aAnswer.value("ttl_seconds", 0) << " s\n";
  for (const nlohmann::json& host :
       aAnswer.value("hosts", nlohmann::json::array())) {
    std::cout << host.value("name", "") << '\t' << host.value("region", "")
              << '\t' << host.value("failure_domain", "") << '\t'
              << host.value("address", "") << '\n';
  }
}

}

std::optional<HttpResponse>
CallAndWait(const Address& aAddress,
            const HttpRequest& aRequest,
            std::string& aReason)
{
  boost::asio::io_context context;
  HttpClient client(context, {});
  std::optional<HttpResponse> response;
  client.Call(aAddress,
              aRequest,
              kCallTimeout,
              [&](std::optional<HttpResponse> aResponse, const Error& aError) {
                response = std::move(aResponse);
                aReason = aError.detail_;
              });
  context.run();
  return response;
}

int
RunLookup(const std::string& aHost, const std::string& aBlock, bool aJson)
{
  const auto address = ParseAddress(aHost);
  if (!address) {
    std::cerr << "peridotsail: --host is not an IP address with a port\n";
    return 2;
  }
  HttpRequest request;
  request.target_ = std::string(kLookupPath) + "?block=" + aBlock;
  std::string reason;
  const auto response = CallAndWait(*address, request, reason);
  if (!response || response->status_ != 200) {
    std::cerr << "peridotsail: the host does not answer: "
              << (response ? response->body_ : reason) << '\n';
    return 1;
  }
  const auto answer = ParseBoundedJson(response->body_);
  if (!answer.is_object()) {
    std::cerr << "peridotsail: the answer is malformed\n";
    return 1;
  }
  if (aJson) {
    std::cout << answer.dump(2) << '\n';
  } else {
    PrintTable(answer);
  }
  return 0;
}

}
