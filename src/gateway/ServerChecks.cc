#include "gateway/ServerChecks.h"

#include <utility>

namespace peridotsail::detail {

namespace {

// A healthy server accepts a connection within this time: three round trips to
// another region.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

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
  TimePoint startedAt_;
  bool repeat_ = false;
  bool finished_ = false;
};

ServerChecks::ServerChecks(ServerConnections& aConnections,
                           std::function<void(const Result&)> aOnChecked)
  : connections_(aConnections)
  , onChecked_(std::move(aOnChecked))
{
}

// Pending handlers see that their attempts have finished.
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
    StartAttempt(aInstance);
  } else {
    running->second->repeat_ = true;
  }
}

void
ServerChecks::StartAttempt(const InstancePtr& aInstance)
{
  const auto attempt =
    std::make_shared<Attempt>(connections_.Context(), aInstance);
  running_[aInstance.get()] = attempt;
  attempt->startedAt_ = BootClock::now();
  attempt->connection_ = connections_.Create(aInstance);
  attempt->timer_.expires_after(ToSteady(kConnectTimeout));
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
    aAttempt->connection_->Configure(connections_.Options().tcpUserTimeout_);
    connections_.Return(
      std::move(aAttempt->connection_), Duration::zero(), now);
  } else {
    ErrorCode ignored;
    aAttempt->connection_->socket_.close(ignored);
  }
  if (aAttempt->repeat_) {
    StartAttempt(instance);
  }
  onChecked_({ instance, aAlive, aAttempt->startedAt_ });
}

}
