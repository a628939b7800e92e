#include "gateway/ServerChecks.h"

#include <utility>

namespace peridotsail::detail {

namespace {

// A connection that takes longer is not opened by a server that is well: three
// ways to another region and back.
constexpr Duration kConnectLimit = std::chrono::milliseconds(400);

}

struct ServerChecks::Attempt
{
  Attempt(asio::io_context& aContext, InstancePtr aInstance)
    : instance_(std::move(aInstance))
    , timer_(aContext)
  {
  }

  InstancePtr instance_;
  ServerConnectionPtr connection_;
  asio::steady_timer timer_;
  TimePoint begunAt_;
  bool again_ = false;
  bool finished_ = false;
};

ServerChecks::ServerChecks(ServerConnections& aConnections,
                           std::function<void(const Result&)> aOnChecked)
  : connections_(aConnections)
  , onChecked_(std::move(aOnChecked))
{
}

// The handlers that are still to come find their attempts finished.
ServerChecks::~ServerChecks()
{
  for (const auto& [instance, attempt] : running_) {
    attempt->finished_ = true;
  }
}

void
ServerChecks::Check(const InstancePtr& aInstance)
{
  const auto running = running_.find(aInstance.get());
  if (running == running_.end()) {
    Begin(aInstance);
  } else {
    running->second->again_ = true;
  }
}

void
ServerChecks::Begin(const InstancePtr& aInstance)
{
  const auto attempt =
    std::make_shared<Attempt>(connections_.Context(), aInstance);
  running_[aInstance.get()] = attempt;
  attempt->begunAt_ = BootClock::now();
  attempt->connection_ = connections_.MakeNew(aInstance);
  attempt->timer_.expires_after(ToSteady(kConnectLimit));
  attempt->timer_.async_wait([this, attempt](ErrorCode aError) {
    if (!aError && !attempt->finished_) {
      Finish(attempt, false);
    }
  });
  attempt->connection_->socket_.async_connect(
    ToEndpoint(aInstance->Record().address_),
    [this, attempt](ErrorCode aError) {
      if (!attempt->finished_) {
        Finish(attempt, !aError);
      }
    });
}

void
ServerChecks::Finish(const std::shared_ptr<Attempt>& aAttempt, bool aAlive)
{
  const InstancePtr instance = aAttempt->instance_;
  const TimePoint now = BootClock::now();
  aAttempt->finished_ = true;
  aAttempt->timer_.cancel();
  running_.erase(instance.get());
  if (aAlive) {
    aAttempt->connection_->Configure(connections_.Options().silenceLimit_);
    connections_.Return(
      std::move(aAttempt->connection_), Duration::zero(), now);
  } else {
    ErrorCode ignored;
    aAttempt->connection_->socket_.close(ignored);
  }
  if (aAttempt->again_) {
    Begin(instance);
  }
  onChecked_({ instance, aAlive, aAttempt->begunAt_ });
}

}
