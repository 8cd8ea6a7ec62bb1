#include "mesh_limits_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

// A node holds tokens for this many seconds of its average demand.
constexpr double kTokenReserveS = 1.0;
// A node without demand holds kMinReserveTokens for its next requests, unless the reserves of all nodes together would
// exceed the share of the burst given by the second constant. Without that limit many idle nodes could hold all tokens
// and leave none for the nodes that have requests.
constexpr double kMinReserveTokens = 2;
constexpr double kMaxReserveShareOfBurst = 0.35;
// Share of the burst that a pool may hold even if the nodes hold the rest.
constexpr double kMinPoolShareOfBurst = 0.5;
// Share of its part of the burst up to which a node adds tokens itself, but one token at least. The nodes that still
// have a pool can use the whole burst in the meantime.
constexpr double kLocalShareOfBurst = 0.5;
// Time constant of the average demand, in seconds.
constexpr double kDemandDecayS = 1.0;
// A node gets at most this many equal shares of the pool per request, so that tokens are left for other nodes.
constexpr double kMaxEqualSharesPerGrant = 3;
constexpr Duration kDeniedRequestPause = std::chrono::milliseconds(250);
// Fraction of the configured retry budget that the nodes use. The rest is a margin for two cases. The number of nodes
// may change, and a retried request may call another service, where its calls count as retries too. A fraction of 0.5
// was too high: when each retried request at one service made 1.4 calls to another, the retries at the called service
// exceeded their limit.
constexpr double kUsableBudgetShare = 0.35;

}  // namespace

void TokenPool::SetLimits(TimePoint now, const MeshConfig& config) {
  std::vector<Bucket> buckets;
  for (const MeshWorkspace& workspace : config.workspaces) {
    Bucket bucket{workspace.name, workspace.rate, workspace.burst, workspace.burst * m_initial_fill, 0, now, {}};
    for (const Bucket& old : m_buckets) {
      if (old.name == workspace.name) {
        bucket.tokens = std::min(old.tokens, workspace.burst);
        bucket.held_by_nodes = old.held_by_nodes;
        bucket.updated_at = old.updated_at;
      }
    }
    buckets.push_back(std::move(bucket));
  }
  m_buckets = std::move(buckets);
}

void TokenPool::Reset(TimePoint now, std::size_t workspace) {
  if (workspace < m_buckets.size()) {
    Bucket& bucket = m_buckets[workspace];
    Refill(now, &bucket);
    bucket.tokens = std::min(bucket.tokens, bucket.burst * m_initial_fill);
  }
}

void TokenPool::SetShareInTouch(TimePoint now, double share) {
  if (share == m_share_in_touch) {
    return;
  }
  for (Bucket& bucket : m_buckets) {
    Refill(now, &bucket);
  }
  m_share_in_touch = share;
}

void TokenPool::Refill(TimePoint now, Bucket* bucket) const {
  const double elapsed = Seconds(now - bucket->updated_at);
  bucket->updated_at = now;
  // Nodes hold tokens for kTokenReserveS of their demand and return the others.
  bucket->held_by_nodes *= std::exp(-elapsed / kTokenReserveS);
  const double room = std::max(bucket->burst - bucket->held_by_nodes, bucket->burst * kMinPoolShareOfBurst);
  const double refilled = bucket->tokens + bucket->rate * m_share_in_touch * elapsed;
  bucket->tokens = std::max(bucket->tokens, std::min(room, refilled));
}

void TokenPool::Return(TimePoint now, std::size_t workspace, double tokens) {
  if (workspace < m_buckets.size() && tokens > 0) {
    Bucket& bucket = m_buckets[workspace];
    Refill(now, &bucket);
    bucket.tokens = std::min(bucket.burst, bucket.tokens + tokens);
    bucket.held_by_nodes = std::max(0.0, bucket.held_by_nodes - tokens);
    bucket.use.returned += tokens;
  }
}

double TokenPool::Take(TimePoint now, std::size_t workspace, double wanted, std::size_t nodes) {
  if (workspace >= m_buckets.size() || wanted <= 0) {
    return 0;
  }
  Bucket& bucket = m_buckets[workspace];
  Refill(now, &bucket);
  const double max_given =
      std::max(1.0, bucket.tokens * kMaxEqualSharesPerGrant / static_cast<double>(std::max<std::size_t>(nodes, 1)));
  const double given = std::floor(std::min({wanted, max_given, bucket.tokens}));
  if (given <= 0) {
    return 0;
  }
  bucket.tokens -= given;
  // The first token is usually for a request that waits for it, so the node does not hold it.
  bucket.held_by_nodes += given - 1;
  bucket.use.given += given;
  return given;
}

std::vector<TokenUse> TokenPool::CollectUse() {
  std::vector<TokenUse> all;
  for (Bucket& bucket : m_buckets) {
    TokenUse use = std::exchange(bucket.use, {});
    if (use.given + use.returned > 0) {
      use.workspace = bucket.name;
      use.tokens = bucket.tokens;
      all.push_back(std::move(use));
    }
  }
  return all;
}

void TokenHolder::SetLimits(TimePoint now, const MeshConfig& config, std::size_t nodes) {
  std::vector<WorkspaceTokens> workspace_tokens;
  for (const MeshWorkspace& workspace : config.workspaces) {
    WorkspaceTokens state{workspace.name, workspace.rate, workspace.burst, 0, 0, 0, now, 0, {}, false, {}};
    for (const WorkspaceTokens& old : m_workspace_tokens) {
      if (old.name == workspace.name) {
        state = old;
        // Tokens that were received under a higher limit are reduced to this node's share of the lower one.
        if (workspace.rate < old.rate || workspace.burst < old.burst) {
          state.tokens = std::min(old.tokens, workspace.burst / static_cast<double>(std::max<std::size_t>(nodes, 1)));
        }
        state.rate = workspace.rate;
        state.burst = workspace.burst;
      }
    }
    workspace_tokens.push_back(std::move(state));
  }
  m_workspace_tokens = std::move(workspace_tokens);
}

void TokenHolder::UpdateDemand(TimePoint now, WorkspaceTokens& state) {
  const double elapsed = Seconds(now - state.updated_at);
  if (elapsed < 0.05) {
    return;
  }
  const double decay = std::exp(-elapsed / kDemandDecayS);
  state.demand_per_s = state.demand_per_s * decay + state.arrived_requests / elapsed * (1 - decay);
  state.arrived_requests = 0;
  state.updated_at = now;
}

bool TokenHolder::Take(TimePoint now, std::size_t workspace) {
  if (workspace >= m_workspace_tokens.size()) {
    return true;
  }
  WorkspaceTokens& state = m_workspace_tokens[workspace];
  if (state.rate <= 0) {
    return true;
  }
  state.arrived_requests += 1;
  UpdateDemand(now, state);
  if (state.fractions_admit && state.tokens < 1 && state.tokens > std::uniform_real_distribution<>(0, 1)(m_random)) {
    state.tokens = 0;
    state.use.admitted += 1;
    return true;
  }
  if (state.tokens < 1) {
    state.unmet_requests += 1;
    state.use.denied += 1;
    return false;
  }
  state.tokens -= 1;
  state.use.admitted += 1;
  return true;
}

void TokenHolder::Add(std::size_t workspace, double tokens) {
  if (workspace < m_workspace_tokens.size()) {
    m_workspace_tokens[workspace].tokens += tokens;
    m_workspace_tokens[workspace].use.received += tokens;
    m_workspace_tokens[workspace].fractions_admit = false;
  }
}

void TokenHolder::Refund(std::size_t workspace) {
  if (workspace < m_workspace_tokens.size() && m_workspace_tokens[workspace].rate > 0) {
    m_workspace_tokens[workspace].tokens += 1;
    m_workspace_tokens[workspace].use.refunded += 1;
  }
}

std::vector<TokenUse> TokenHolder::CollectUse() {
  std::vector<TokenUse> all;
  for (WorkspaceTokens& state : m_workspace_tokens) {
    TokenUse use = std::exchange(state.use, {});
    if (use.denied + use.refunded > 0) {
      use.workspace = state.name;
      use.tokens = state.tokens;
      all.push_back(std::move(use));
    }
  }
  return all;
}

double TokenHolder::Reserve(const WorkspaceTokens& state, std::size_t nodes) {
  const auto node_count = static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double reserve = std::min(kMinReserveTokens, std::floor(state.burst * kMaxReserveShareOfBurst / node_count));
  return std::max(reserve, std::floor(state.demand_per_s * kTokenReserveS));
}

std::vector<std::pair<std::size_t, double>> TokenHolder::TakeSurplus(TimePoint now,
                                                                     std::size_t nodes,
                                                                     const Filter& selects) {
  std::vector<std::pair<std::size_t, double>> surplus;
  for (std::size_t i = 0; i < m_workspace_tokens.size(); ++i) {
    WorkspaceTokens& state = m_workspace_tokens[i];
    if (state.rate <= 0 || !selects(i)) {
      continue;
    }
    UpdateDemand(now, state);
    const double excess = std::floor(state.tokens - Reserve(state, nodes));
    if (excess >= 1) {
      state.tokens -= excess;
      surplus.emplace_back(i, excess);
    }
  }
  return surplus;
}

std::vector<std::pair<std::size_t, double>> TokenHolder::TokensToRequest(TimePoint now,
                                                                         std::size_t nodes,
                                                                         const Filter& selects) {
  std::vector<std::pair<std::size_t, double>> wanted;
  for (std::size_t i = 0; i < m_workspace_tokens.size(); ++i) {
    WorkspaceTokens& state = m_workspace_tokens[i];
    if (state.rate <= 0 || now < state.request_paused_until || !selects(i)) {
      continue;
    }
    UpdateDemand(now, state);
    const double missing = Reserve(state, nodes) + std::exchange(state.unmet_requests, 0) - state.tokens;
    if (missing >= 1) {
      wanted.emplace_back(i, std::ceil(missing));
    }
  }
  return wanted;
}

void TokenHolder::OnTokensDenied(TimePoint now, std::size_t workspace) {
  if (workspace < m_workspace_tokens.size()) {
    m_workspace_tokens[workspace].request_paused_until = now + kDeniedRequestPause;
  }
}

bool TokenHolder::IsAtLimit(TimePoint now, std::size_t workspace) const {
  return workspace < m_workspace_tokens.size() && now < m_workspace_tokens[workspace].request_paused_until;
}

void TokenHolder::RefillLocally(Duration elapsed, std::size_t nodes, const Filter& selects) {
  const auto node_count = static_cast<double>(std::max<std::size_t>(nodes, 1));
  for (std::size_t i = 0; i < m_workspace_tokens.size(); ++i) {
    WorkspaceTokens& state = m_workspace_tokens[i];
    if (state.rate > 0 && selects(i)) {
      const double part = state.burst / node_count;
      const double most = std::max(kLocalShareOfBurst * part, std::min(part, 1.0));
      state.fractions_admit = part < 1;
      const double tokens =
          std::min(state.tokens + state.rate * Seconds(elapsed) / node_count, std::max(state.tokens, most));
      state.use.refilled += tokens - state.tokens;
      state.tokens = tokens;
    }
  }
}

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
