#pragma once

// A thread that runs an io_context and executes tasks that other threads post
// through a bounded ring.
//
//   EventLoopThread traffic("traffic", 4096);
//   traffic.Start();
//   if (!traffic.Post([] { ... })) { /* the ring is full: task dropped */ }
//   traffic.Stop();

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace peridotsail {

class EventLoopThread
{
public:
  using Task = std::function<void()>;

  EventLoopThread(std::string aName, std::size_t aRingCapacity);
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  boost::asio::io_context& Context();
  void Start();
  // Stops the io_context and joins the thread. Pending tasks are dropped.
  void Stop();
  // Runs the task on this thread. Returns false and drops the task if the ring
  // is full. Thread-safe.
  bool Post(Task aTask);
  // Runs the task on this thread and waits until it has finished. Must not be
  // called from this thread. Does nothing after Stop.
  void RunAndWait(const Task& aTask);
  // Returns the number of tasks that were dropped because the ring was full.
  std::size_t Rejected() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
