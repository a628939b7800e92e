#include "proxy/RequestPipeline.h"

#include "proxy/RequestHandler.h"

namespace peridotsail {

RequestPipeline::Impl::Impl(boost::asio::io_context& aContext,
                            PipelineOptions aOptions,
                            PipelineHooks aHooks,
                            RelayNode& aRelays,
                            Metrics& aMetrics)
  : connections_(aContext, {})
  , options_(aOptions)
  , hooks_(std::move(aHooks))
  , relays_(aRelays)
  , metrics_(aMetrics)
  , requests_(aMetrics.Counter("peridotsail_requests_total",
                               "Requests received from callers and peers."))
  , inFlightGauge_(aMetrics.Gauge("peridotsail_requests_in_flight",
                                  "Requests that are not finished."))
  , latency_(aMetrics.Latency("peridotsail_request_seconds",
                              "Time from the request's head to the end of its "
                              "answer, for requests that were run."))
{
}

void
RequestPipeline::Impl::CountRefusal(ErrorKind aKind)
{
  metrics_
    .Counter("peridotsail_refused_total",
             "Requests refused, by error kind.",
             "kind=\"" + std::string(NameOf(aKind)) + "\"")
    .Add(1);
}

RequestPipeline::RequestPipeline(boost::asio::io_context& aContext,
                                 PipelineOptions aOptions,
                                 PipelineHooks aHooks,
                                 RelayNode& aRelays,
                                 Metrics& aMetrics)
  : impl_(std::make_shared<Impl>(aContext,
                                 aOptions,
                                 std::move(aHooks),
                                 aRelays,
                                 aMetrics))
{
}

RequestPipeline::~RequestPipeline() = default;

void
RequestPipeline::Handle(IncomingRequestPtr aRequest)
{
  std::make_shared<detail::RequestHandler>(impl_, std::move(aRequest))->Start();
}

void
RequestPipeline::HandleRelayed(const RelayedRequest& aRelayed)
{
  std::make_shared<detail::RequestHandler>(impl_, aRelayed.request_)
    ->StartRelayed(aRelayed);
}

std::size_t
RequestPipeline::InFlight() const
{
  return impl_->inFlight_;
}

}
