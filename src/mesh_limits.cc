#include "mesh_limits_p.h"

#include <algorithm>

namespace magnoliaarch {
namespace {

// Fraction of the configured retry budget that the nodes use. The rest is a margin for two cases. The number of nodes
// may change, and a retried request may call another service, where its calls count as retries too. A fraction of 0.5
// was too high: when each retried request at one service made 1.4 calls to another, the retries at the called service
// exceeded their limit.
constexpr double kUsableBudgetShare = 0.35;

}  // namespace

void MeshRetryBudget::Expire(TimePoint now) {
  while (!m_requests.empty() && now - m_requests.front() > m_window) {
    m_requests.pop_front();
  }
  while (!m_retries.empty() && now - m_retries.front().first > m_window) {
    m_used_cost -= m_retries.front().second;
    m_retries.pop_front();
  }
}

void MeshRetryBudget::OnRequest(TimePoint now) {
  m_requests.push_back(now);
  Expire(now);
}

bool MeshRetryBudget::Take(TimePoint now, double cost, std::size_t nodes) {
  Expire(now);
  const double slack = m_slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double allowed = kUsableBudgetShare * (m_ratio * static_cast<double>(m_requests.size()) + slack);
  if (m_used_cost + cost > allowed) {
    return false;
  }
  m_retries.emplace_back(now, cost);
  m_used_cost += cost;
  return true;
}

}  // namespace magnoliaarch
