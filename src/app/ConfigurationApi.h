#pragma once

// The operators' paths for configurations, in JSON. Handlers run on the
// operator thread and ask the agent on the platform thread.
//
//   GET  /config            {"version","hash","document"} in force on this host
//   POST /config            {"expect","author","document"}
//   GET  /config/history    {"versions":[{"version","author","attempt"}]}
//   GET  /config/status     {"version","hash","hosts":[{"host","version",
//                           "confirmed"}]}
//   POST /config/withdraw   {"id","author"}
//   GET  /config/withdrawal?id=<id>   {"committed","disseminated"}
//
// A commit answers 200 with {"result":"committed" or "unchanged","version"}; a
// lost race answers 409 with the problem members and {"stored":{"version",
// "author","document"}}.

#include "app/ConfigurationAgent.h"
#include "app/OperatorServer.h"
#include "base/EventLoopThread.h"

namespace peridotsail {

class ConfigurationApi
{
public:
  ConfigurationApi(EventLoopThread& aOperator,
                   EventLoopThread& aPlatform,
                   ConfigurationAgent& aAgent,
                   StoreClient& aStore);

  void AddTo(OperatorServer& aServer);

private:
  using Reply = std::shared_ptr<HttpReply>;

  // Runs the task on the platform thread, or answers with an error.
  void Ask(const Reply& aReply, EventLoopThread::Task aTask);
  // Sends from the operator thread.
  void Answer(const Reply& aReply, HttpResponse aResponse);
  void Show(const Reply& aReply);
  void Apply(const HttpRequest& aRequest, const Reply& aReply);
  void History(const Reply& aReply);
  void Status(const Reply& aReply);
  void Withdraw(const HttpRequest& aRequest, const Reply& aReply);
  void Withdrawal(const HttpRequest& aRequest, const Reply& aReply);

  EventLoopThread& operator_;
  EventLoopThread& platform_;
  ConfigurationAgent& agent_;
  StoreClient& store_;
};

}
