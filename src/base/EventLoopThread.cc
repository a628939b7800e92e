#include "base/EventLoopThread.h"

#include "base/Ring.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <optional>
#include <pthread.h>
#include <thread>

namespace peridotsail {

struct EventLoopThread::Impl
{
  using WorkGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  Impl(std::string aName, std::size_t aRingCapacity)
    : name_(std::move(aName))
    , guard_(boost::asio::make_work_guard(context_))
    , ring_(aRingCapacity,
            [this] { boost::asio::post(context_, [this] { Drain(); }); })
  {
  }

  void Drain()
  {
    for (Task& task : ring_.PopAll()) {
      task();
    }
  }

  std::string name_;
  boost::asio::io_context context_{ 1 };
  WorkGuard guard_;
  Ring<Task> ring_;
  std::thread thread_;
};

EventLoopThread::EventLoopThread(std::string aName, std::size_t aRingCapacity)
  : impl_(std::make_unique<Impl>(std::move(aName), aRingCapacity))
{
}

EventLoopThread::~EventLoopThread()
{
  Stop();
}

boost::asio::io_context&
EventLoopThread::Context()
{
  return impl_->context_;
}

void
EventLoopThread::Start()
{
  impl_->thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), impl_->name_.substr(0, 15).c_str());
    impl_->context_.run();
  });
}

void
EventLoopThread::Stop()
{
  impl_->context_.stop();
  if (impl_->thread_.joinable()) {
    impl_->thread_.join();
  }
}

bool
EventLoopThread::Post(Task aTask)
{
  return impl_->ring_.Push(std::move(aTask));
}

void
EventLoopThread::RunAndWait(const Task& aTask)
{
  if (impl_->context_.stopped()) {
    return;
  }
  std::promise<void> done;
  boost::asio::post(impl_->context_, [&] {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

std::size_t
EventLoopThread::Rejected() const
{
  return impl_->ring_.Rejected();
}

}
