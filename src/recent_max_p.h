// The largest of the values seen lately.

#ifndef MAGNOLIAARCH_SRC_RECENT_MAX_P_H_
#define MAGNOLIAARCH_SRC_RECENT_MAX_P_H_

#include <algorithm>
#include <utility>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// A value counts for one to two windows after it was seen.
class RecentMax {
 public:
  explicit RecentMax(Duration window) : m_window(window) {}

  // Adds a value and returns the largest of those that count, this one included.
  Duration Update(TimePoint now, Duration value) {
    if (now - m_window_start >= m_window) {
      const bool adjacent = now - m_window_start < 2 * m_window;
      m_previous = adjacent ? m_current : Duration(0);
      m_current = Duration(0);
      m_window_start = now;
    }
    m_current = std::max(m_current, value);
    return std::max(m_previous, m_current);
  }

 private:
  Duration m_window;
  TimePoint m_window_start;
  Duration m_previous{};
  Duration m_current{};
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_RECENT_MAX_P_H_
