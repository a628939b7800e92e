#pragma once

// A thread for one duty: an io_context and a bounded ring of tasks from other
// threads.
//
//   DutyThread traffic("traffic", 4096);
//   traffic.Start();
//   if (!traffic.Post([] { ... })) { /* the ring is full: message lost */ }
//   traffic.Stop();

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace peridotsail {

class DutyThread
{
public:
  using Task = std::function<void()>;

  DutyThread(std::string aName, std::size_t aRingCapacity);
  ~DutyThread();
  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  boost::asio::io_context& Context();
  void Start();
  // Stops the io_context and joins the thread. Pending tasks are dropped.
  void Stop();
  // Runs the task on this thread; returns false when the ring is full. Safe
  // from any thread.
  bool Post(Task aTask);
  // Runs the task on this thread and waits for its end. Must not be called
  // from this thread. Does nothing after Stop.
  void RunAndWait(const Task& aTask);
  // The number of tasks that were lost because the ring was full.
  std::size_t Rejected() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
