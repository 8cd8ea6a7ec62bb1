#include "mesh_limits_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

// Time for which a node keeps tokens in hand, of its average demand.
constexpr double kHoldS = 1.0;
// A node without demand keeps this many for the next request, as long as all nodes together keep no more than this
// share of the burst. On many nodes they would hold all of it, and those with requests would find none.
constexpr double kLeastHold = 2;
constexpr double kReserveShare = 0.35;
// Time constant of the demand average.
constexpr double kDemandDecayS = 1.0;
// One node gets at most this many equal parts of a pool at a time, so that others find some left.
constexpr double kMostParts = 3;
constexpr Duration kLimitPause = std::chrono::milliseconds(250);
// Part of the whole budget that nodes plan with. The rest covers nodes that come and go, and the calls of repeated
// runs, which count as repeats at the service that is called: with half of the budget in use at two services, 1.4 calls
// a run took the second one over its bound.
constexpr double kBudgetShare = 0.35;

}  // namespace

void TokenPool::SetLimits(TimePoint now, const MeshConfig& config) {
  std::vector<Bucket> buckets;
  for (const MeshWorkspace& workspace : config.workspaces) {
    Bucket bucket{workspace.name, workspace.rate, workspace.burst, workspace.burst * m_fill, now};
    for (const Bucket& old : m_buckets) {
      if (old.name == workspace.name) {
        bucket.tokens = std::min(old.tokens, workspace.burst);
        bucket.at = old.at;
      }
    }
    buckets.push_back(std::move(bucket));
  }
  m_buckets = std::move(buckets);
}

double TokenPool::Take(TimePoint now, std::size_t workspace, double wanted, std::size_t nodes) {
  if (workspace >= m_buckets.size() || wanted <= 0) {
    return 0;
  }
  Bucket& bucket = m_buckets[workspace];
  bucket.tokens = std::min(bucket.burst, bucket.tokens + bucket.rate * Seconds(now - bucket.at));
  bucket.at = now;
  const double part = std::max(1.0, bucket.tokens * kMostParts / static_cast<double>(std::max<std::size_t>(nodes, 1)));
  const double given = std::floor(std::min({wanted, part, bucket.tokens}));
  if (given <= 0) {
    return 0;
  }
  bucket.tokens -= given;
  return given;
}

void TokenHolder::SetLimits(TimePoint now, const MeshConfig& config, std::size_t nodes) {
  std::vector<Hold> holds;
  for (const MeshWorkspace& workspace : config.workspaces) {
    Hold hold{workspace.name, workspace.rate, workspace.burst, 0, 0, 0, now, 0, {}};
    for (const Hold& old : m_holds) {
      if (old.name == workspace.name) {
        hold = old;
        // Tokens of a higher limit do not count under a lower one.
        if (workspace.rate < old.rate || workspace.burst < old.burst) {
          hold.tokens = std::min(old.tokens, workspace.burst / static_cast<double>(std::max<std::size_t>(nodes, 1)));
        }
        hold.rate = workspace.rate;
        hold.burst = workspace.burst;
      }
    }
    holds.push_back(std::move(hold));
  }
  m_holds = std::move(holds);
}

void TokenHolder::Update(TimePoint now, Hold& hold) {
  const double passed = Seconds(now - hold.at);
  if (passed < 0.05) {
    return;
  }
  const double factor = std::exp(-passed / kDemandDecayS);
  hold.demand = hold.demand * factor + hold.arrived / passed * (1 - factor);
  hold.arrived = 0;
  hold.at = now;
}

bool TokenHolder::Take(TimePoint now, std::size_t workspace) {
  if (workspace >= m_holds.size()) {
    return true;
  }
  Hold& hold = m_holds[workspace];
  if (hold.rate <= 0) {
    return true;
  }
  hold.arrived += 1;
  Update(now, hold);
  if (hold.tokens < 1) {
    hold.unmet += 1;
    return false;
  }
  hold.tokens -= 1;
  return true;
}

void TokenHolder::Add(std::size_t workspace, double tokens) {
  if (workspace < m_holds.size()) {
    m_holds[workspace].tokens += tokens;
  }
}

std::vector<std::pair<std::size_t, double>> TokenHolder::Wanted(TimePoint now, std::size_t nodes) {
  const auto parts = static_cast<double>(std::max<std::size_t>(nodes, 1));
  std::vector<std::pair<std::size_t, double>> wanted;
  for (std::size_t i = 0; i < m_holds.size(); ++i) {
    Hold& hold = m_holds[i];
    if (hold.rate <= 0 || now < hold.paused_until) {
      continue;
    }
    Update(now, hold);
    const double reserve = std::min(kLeastHold, std::floor(hold.burst * kReserveShare / parts));
    const double lacking =
        std::max(reserve, std::floor(hold.demand * kHoldS)) + std::exchange(hold.unmet, 0) - hold.tokens;
    if (lacking >= 1) {
      wanted.emplace_back(i, std::ceil(lacking));
    }
  }
  return wanted;
}

void TokenHolder::OnNoneGiven(TimePoint now, std::size_t workspace) {
  if (workspace < m_holds.size()) {
    m_holds[workspace].paused_until = now + kLimitPause;
  }
}

bool TokenHolder::IsAtLimit(TimePoint now, std::size_t workspace) const {
  return workspace < m_holds.size() && now < m_holds[workspace].paused_until;
}

void TokenHolder::OnWithoutCoordinator(TimePoint /*now*/, Duration passed, std::size_t nodes) {
  const auto parts = static_cast<double>(std::max<std::size_t>(nodes, 1));
  for (Hold& hold : m_holds) {
    if (hold.rate > 0) {
      hold.tokens =
          std::min(hold.tokens + hold.rate * Seconds(passed) / parts, std::max(hold.tokens, hold.burst / parts));
    }
  }
}

void RepeatBudget::Expire(TimePoint now) {
  while (!m_requests.empty() && now - m_requests.front() > m_window) {
    m_requests.pop_front();
  }
  while (!m_repeats.empty() && now - m_repeats.front().first > m_window) {
    m_repeated -= m_repeats.front().second;
    m_repeats.pop_front();
  }
}

void RepeatBudget::OnRequest(TimePoint now) {
  m_requests.push_back(now);
  Expire(now);
}

bool RepeatBudget::Take(TimePoint now, double cost, std::size_t nodes) {
  Expire(now);
  const double slack = m_slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double allowed = kBudgetShare * (m_ratio * static_cast<double>(m_requests.size()) + slack);
  if (m_repeated + cost > allowed) {
    return false;
  }
  m_repeats.emplace_back(now, cost);
  m_repeated += cost;
  return true;
}

}  // namespace magnoliaarch
