// The retry budget, which all nodes enforce together. Does no I/O.

#ifndef MAGNOLIAARCH_SRC_MESH_LIMITS_P_H_
#define MAGNOLIAARCH_SRC_MESH_LIMITS_P_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// Limits the retries of one service. The budget of the whole service is `slack` retries plus `ratio` retries per
// request in the window. Each node uses at most an equal share of the slack, plus the ratio applied to its own
// requests, so that all nodes together stay within the budget.
class MeshRetryBudget {
 public:
  MeshRetryBudget(double ratio, double slack, Duration window) : m_ratio(ratio), m_slack(slack), m_window(window) {}
  void OnRequest(TimePoint now);
  // Takes `cost` from the budget if available. A retry that makes calls of its own costs more than 1.
  bool Take(TimePoint now, double cost, std::size_t nodes);

 private:
  void Expire(TimePoint now);
  double m_ratio;
  double m_slack;
  Duration m_window;
  std::deque<TimePoint> m_requests;
  std::deque<std::pair<TimePoint, double>> m_retries;
  double m_used_cost = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_LIMITS_P_H_
