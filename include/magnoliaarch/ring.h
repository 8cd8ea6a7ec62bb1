// Bounded queue for passing items between threads.

#ifndef MAGNOLIAARCH_RING_H_
#define MAGNOLIAARCH_RING_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// FIFO queue of fixed capacity for any number of producers and one consumer. A full ring rejects new items, so that
// overload is reported to the producer instead of increasing memory use. The wake hook, if set, is called on the
// producer's thread after an item was added to an empty ring.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity, std::function<void()> wake = nullptr)
      : m_capacity(capacity), m_wake(std::move(wake)) {}

  // Sets the wake hook. Must be called before producers start.
  void SetWake(std::function<void()> wake) { m_wake = std::move(wake); }

  // Adds an item. Returns false if the ring is full or closed; the item is then not moved from.
  bool TryPush(T&& item) {
    bool was_empty = false;
    {
      std::lock_guard lock(m_mutex);
      if (m_closed || m_items.size() >= m_capacity) {
        return false;
      }
      was_empty = m_items.empty();
      m_items.push_back(std::move(item));
    }
    m_ready.notify_one();
    if (was_empty && m_wake) {
      m_wake();
    }
    return true;
  }

  // Removes and returns the oldest item, or returns nothing if the ring is empty.
  std::optional<T> TryPop() {
    std::lock_guard lock(m_mutex);
    return PopLocked();
  }

  // Removes and returns the oldest item, waiting for one up to the timeout. Returns nothing after the timeout or if the
  // ring is closed and empty.
  std::optional<T> PopFor(Duration timeout) {
    std::unique_lock lock(m_mutex);
    m_ready.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
    return PopLocked();
  }

  // Rejects new items and wakes the consumer. Items already in the ring can still be popped.
  void Close() {
    {
      std::lock_guard lock(m_mutex);
      m_closed = true;
    }
    m_ready.notify_all();
  }

  bool IsClosed() const {
    std::lock_guard lock(m_mutex);
    return m_closed;
  }

  std::size_t Size() const {
    std::lock_guard lock(m_mutex);
    return m_items.size();
  }

 private:
  std::optional<T> PopLocked() {
    if (m_items.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(m_items.front()));
    m_items.pop_front();
    return item;
  }

  const std::size_t m_capacity;
  std::function<void()> m_wake;
  mutable std::mutex m_mutex;
  std::condition_variable m_ready;
  std::deque<T> m_items;
  bool m_closed = false;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_RING_H_
