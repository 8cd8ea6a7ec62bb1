// Multiplexes many timers onto one timer of the event loop.

#ifndef MAGNOLIAARCH_SRC_MESH_TIMER_P_H_
#define MAGNOLIAARCH_SRC_MESH_TIMER_P_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// 0 means no timer.
using TimerId = std::uint64_t;

class TimerQueue {
 public:
  explicit TimerQueue(asio::io_context& context) : m_timer(context) {}

  TimerId At(TimePoint at, std::function<void()> task) {
    const TimerId id = ++m_last_id;
    m_tasks.emplace(std::make_pair(at, id), std::move(task));
    m_times.emplace(id, at);
    Arm();
    return id;
  }

  void Cancel(TimerId id) {
    const auto it = m_times.find(id);
    if (it != m_times.end()) {
      m_tasks.erase({it->second, id});
      m_times.erase(it);
    }
  }

 private:
  // If the first task is later than the armed time, the timer stays armed: one spurious wake-up is cheaper than arming
  // it again.
  void Arm() {
    if (m_tasks.empty()) {
      return;
    }
    const TimePoint first = m_tasks.begin()->first.first;
    if (m_armed && m_armed_at <= first) {
      return;
    }
    m_armed = true;
    m_armed_at = first;
    m_timer.expires_after(std::max(Duration(0), first - BootClock::now()));
    m_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Run();
      }
    });
  }

  void Run() {
    m_armed = false;
    // Also if a task throws, so that the tasks after it still run.
    const absl::Cleanup arm = [this] { Arm(); };
    const TimePoint now = BootClock::now();
    while (!m_tasks.empty() && m_tasks.begin()->first.first <= now) {
      auto node = m_tasks.extract(m_tasks.begin());
      m_times.erase(node.key().second);
      node.mapped()();
    }
  }

  asio::steady_timer m_timer;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_tasks;
  std::unordered_map<TimerId, TimePoint> m_times;
  TimerId m_last_id = 0;
  bool m_armed = false;
  TimePoint m_armed_at;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TIMER_P_H_
