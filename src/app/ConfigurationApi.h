#pragma once

// The configuration endpoints on the operators' port, in JSON. Handlers run on
// the operator thread and call the agent on the platform thread.
//
//   GET  /config            {"version","hash","document"} in force on this host
//   POST /config            {"expect","author","document"}
//   GET  /config/history    {"versions":[{"version","author","attempt"}]}
//   GET  /config/status     {"version","hash","hosts":[{"host","version",
//                           "confirmed"}]}
//   POST /config/withdraw   {"id","author"}
//   GET  /config/withdrawal?id=<id>   {"committed","disseminated"}
//
// A commit returns 200 with {"result":"committed" or "unchanged","version"}. A
// version conflict returns 409 with the problem members and
// {"stored":{"version","author","document"}}.

#include "app/ConfigurationAgent.h"
#include "app/OperatorServer.h"
#include "base/EventLoopThread.h"

namespace peridotsail {

class ConfigurationApi
{
public:
  ConfigurationApi(EventLoopThread& aOperatorThread,
                   EventLoopThread& aPlatformThread,
                   ConfigurationAgent& aAgent,
                   StoreClient& aStore);

  void AddTo(OperatorServer& aServer);

private:
  using Reply = std::shared_ptr<HttpReply>;

  // Runs the task on the platform thread. Sends an error if the ring is full.
  void PostToPlatform(const Reply& aReply, EventLoopThread::Task aTask);
  // Sends the response from the operator thread.
  void SendResponse(const Reply& aReply, HttpResponse aResponse);
  void Show(const Reply& aReply);
  void Apply(const HttpRequest& aRequest, const Reply& aReply);
  void History(const Reply& aReply);
  void Status(const Reply& aReply);
  void Withdraw(const HttpRequest& aRequest, const Reply& aReply);
  void Withdrawal(const HttpRequest& aRequest, const Reply& aReply);

  EventLoopThread& operatorThread_;
  EventLoopThread& platformThread_;
  ConfigurationAgent& agent_;
  StoreClient& store_;
};

}
