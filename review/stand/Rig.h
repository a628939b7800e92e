#pragma once

// What the cases share: the command line, the configuration and a caller.
//
//   <program> <folder of the case> <temporary folder> <peridotsail> <trouble>
//
// A case exits with 0 if the rule held, 1 if it was broken, and 2 if the case
// could not run.

#include "Host.h"
#include "Record.h"
#include "Store.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace peridotsail::review {

enum class Result
{
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
};

struct CaseArguments
{
  std::string folder_;
  std::string temporary_;
  std::string program_;
  bool trouble_ = true;
};

// Writes the result to the record and returns the exit code.
int
Finish(Record& aRecord, Result aResult, const std::string& aWhy);

// The main function of a case: runs aCase and ends the process with its result
// and without waiting for the threads of the stand-ins.
[[noreturn]] void
RunCase(int aCount,
        char** aValues,
        const std::function<int(const CaseArguments&, Record&)>& aCase);

constexpr char kHostHeader[] = "post.example";

struct Tenant
{
  std::string name_ = "sese880";
  std::string key_ = "9anu6wsjnbanfqasnmgk";
  double ratePerSecond_ = 1000;
  double burst_ = 1000;
};

struct RouteOptions
{
  std::string name_;
  // "safe", "unsafe" or "upload".
  std::string kind_;
  std::string service_;
  // 0: no time limit.
  int timeoutMs_ = 0;
  int maxAttempts_ = 2;
};

// A rule for the requests under "/NAME/".
nlohmann::json
MakeRoute(const RouteOptions& aOptions);

// A configuration with these routes and their services.
nlohmann::json
MakeConfiguration(const nlohmann::json& aRoutes,
                  const std::vector<Tenant>& aTenants);

struct CallOptions
{
  std::string method_ = "GET";
  std::string path_;
  std::string id_;
  std::string body_;
  std::string key_ = Tenant().key_;
  int deadlineMs_ = 3000;
};

std::string
MakeRequest(const CallOptions& aOptions);

// A kept connection of a caller.
class Caller
{
public:
  Caller(const Host& aHost, Record& aRecord);
  // Sends the request, on a new connection if there is none. Returns the
  // status, or nullopt if the connection ended without an answer.
  std::optional<int> Call(const CallOptions& aOptions);
  bool IsConnected() const { return socket_.IsOpen(); }

private:
  const Host& host_;
  Record& record_;
  Socket socket_;
  std::unique_ptr<MessageReader> reader_;
};

}
