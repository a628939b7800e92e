#pragma once

// A bounded ring buffer that passes items from any number of producer threads
// to one consumer thread.
//
//   Ring<Task> ring(1024, [&] { post(ioContext, drain); });
//   if (!ring.Push(task)) { ++dropped; }      // any thread
//   for (Task& task : ring.PopAll()) { ... }  // consumer thread

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <functional>
#include <iterator>
#include <mutex>
#include <utility>
#include <vector>

namespace peridotsail {

template<typename T>
class Ring
{
public:
  // aWake is called on the producer thread after each push into an empty ring.
  Ring(std::size_t aCapacity, std::function<void()> aWake)
    : items_(aCapacity)
    , wake_(std::move(aWake))
  {
  }

  // Returns false and drops the item if the ring is full.
  bool Push(T aItem)
  {
    bool wasEmpty = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (items_.full()) {
        ++rejected_;
        return false;
      }
      wasEmpty = items_.empty();
      items_.push_back(std::move(aItem));
    }
    if (wasEmpty && wake_) {
      wake_();
    }
    return true;
  }

  // Removes and returns all items in the order in which they were pushed.
  std::vector<T> PopAll()
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<T> popped(std::make_move_iterator(items_.begin()),
                          std::make_move_iterator(items_.end()));
    items_.clear();
    return popped;
  }

  // Returns the number of items that were dropped because the ring was full.
  std::size_t Rejected() const
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    return rejected_;
  }

private:
  mutable std::mutex mutex_;
  boost::circular_buffer<T> items_;
  std::size_t rejected_ = 0;
  std::function<void()> wake_;
};

}
