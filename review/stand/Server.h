#pragma once

// A stand-in for an instance of a service: registers itself in the store, works
// on as many requests at a time as it has slots, queues a few more and sheds
// the rest, and signs its answers. What it does with a request can be replaced
// by a hook.

#include "Record.h"
#include "Store.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace peridotsail::review {

struct ServerOptions
{
  std::string id_;
  std::string service_;
  std::string zone_;
  std::string ip_ = "127.0.0.1";
  int slots_ = 3;
  int queue_ = 9;
  Milliseconds work_{ 100 };
  // How long the server is cold after its start.
  Milliseconds cold_{ 0 };
};

class Server
{
public:
  // Handles a request instead of the server. Returns false if the connection
  // is to be closed.
  using Hook = std::function<bool(const Socket&, const Message&)>;

  Server(ServerOptions aOptions, Store& aStore, Record& aRecord);
  // Registers the server. Returns false if no port is free.
  bool Start(Hook aHook = nullptr);
  // Removes the server's entry from the store, as a server does that leaves
  // without reporting it before. It goes on serving.
  void Leave();
  const ServerOptions& Options() const { return options_; }
  // Whether the server began to work on the request.
  bool HasRun(const std::string& aRequestId);
  // When the server began to work on the request, as the record counts; nullopt
  // if it did not.
  std::optional<long> RanAt(const std::string& aRequestId);
  // An answer to the request, complete and signed.
  static std::string SignedAnswer(const Message& aRequest,
                                  const std::string& aBody);

private:
  void Serve(const Socket& aSocket);
  // Returns false if the connection is to be closed.
  bool Handle(const Socket& aSocket, const Message& aRequest);
  // Waits for a slot. Returns false if the queue is full.
  bool TakeSlot();
  // Writes the entry whenever more than its sequence changes.
  void Register();

  ServerOptions options_;
  Store& store_;
  Record& record_;
  Hook hook_;
  int port_ = 0;
  std::int64_t born_ = 0;
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int waiting_ = 0;
  // The requests that the server has run, and when.
  std::map<std::string, long> ran_;
};

}
