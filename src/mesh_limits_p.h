// Limits that are enforced by all nodes together: workspace rates and the retry budget. Does no I/O.

#ifndef MAGNOLIAARCH_SRC_MESH_LIMITS_P_H_
#define MAGNOLIAARCH_SRC_MESH_LIMITS_P_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "magnoliaarch/types.h"
#include "mesh_model_p.h"

namespace magnoliaarch {

// Tokens of a workspace that passed through a node or a pool since the last report, for the log.
struct TokenUse {
  std::string workspace;
  double admitted = 0;  // requests that took a token
  double refunded = 0;  // of these, refused without having run
  double denied = 0;    // requests that found no token
  double received = 0;  // from the node that hands them out
  double refilled = 0;  // added by this node itself
  double given = 0;     // by the pool
  double returned = 0;  // to the pool
  double tokens = 0;    // held now
};

// Hands out the tokens of each workspace to the nodes that request them. The tokens in the pool and those that nodes
// hold stay within the burst in total, and the pool refills at the rate, so the nodes together cannot exceed the limit.
class TokenPool {
 public:
  // `initial_fill`: share of the burst that a new pool starts with. A new coordinator does not know what its
  // predecessor has handed out.
  explicit TokenPool(double initial_fill) : m_initial_fill(initial_fill) {}
  void SetLimits(TimePoint now, const MeshConfig& config);
  // Reduces a workspace's tokens to the initial fill, when this pool takes it over from another. A pool that only lost
  // the workspace for a moment keeps what it had left.
  void Reset(TimePoint now, std::size_t workspace);
  // Share of the nodes that can request tokens from this pool, from 0 to 1. The pool refills at this share of each
  // rate, because the other nodes admit requests from their own shares.
  void SetShareInTouch(TimePoint now, double share);
  // Takes back tokens that a node did not use.
  void Return(TimePoint now, std::size_t workspace, double tokens);
  // Takes up to `wanted` tokens for one of `nodes` nodes. Returns the number taken.
  double Take(TimePoint now, std::size_t workspace, double wanted, std::size_t nodes);
  // Returns and clears what was counted for the workspaces whose tokens moved.
  std::vector<TokenUse> CollectUse();

 private:
  struct Bucket {
    std::string name;
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    double held_by_nodes = 0;  // estimate: tokens handed out that are neither used nor returned
    TimePoint updated_at;
    TokenUse use{};
  };
  void Refill(TimePoint now, Bucket* bucket) const;
  double m_initial_fill;
  double m_share_in_touch = 1;
  std::vector<Bucket> m_buckets;  // by position in the configuration
};

// The tokens that a node holds and requests.
class TokenHolder {
 public:
  // Selects workspaces, by their position in the configuration.
  using Filter = std::function<bool(std::size_t workspace)>;

  explicit TokenHolder(std::uint64_t seed = 1) : m_random(static_cast<std::uint32_t>(seed)) {}
  void SetLimits(TimePoint now, const MeshConfig& config, std::size_t nodes);
  // Takes a token. Always succeeds for workspaces without a limit.
  bool Take(TimePoint now, std::size_t workspace);
  void Add(std::size_t workspace, double tokens);
  // Gives back the token of a request that was not executed.
  void Refund(std::size_t workspace);
  // Removes the tokens that this node is not going to need soon from the selected workspaces, and returns them as pairs
  // of workspace and count. Tokens that stay at a node without requests are missing elsewhere.
  std::vector<std::pair<std::size_t, double>> TakeSurplus(TimePoint now, std::size_t nodes, const Filter& selects);
  // Tokens to request for the selected workspaces, as pairs of workspace and count. `nodes`: number of nodes that share
  // the limit.
  std::vector<std::pair<std::size_t, double>> TokensToRequest(
      TimePoint now,
      std::size_t nodes,
      const Filter& selects = [](std::size_t) { return true; });
  // There were no tokens: the workspace is at its limit. Pauses further requests for a short time.
  void OnTokensDenied(TimePoint now, std::size_t workspace);
  bool IsAtLimit(TimePoint now, std::size_t workspace) const;
  // Adds tokens at this node's equal share of the selected workspaces' limits, while nobody hands them out. If a node's
  // share of the burst is less than one request, a fraction of a token admits a request with that probability.
  void RefillLocally(
      Duration elapsed,
      std::size_t nodes,
      const Filter& selects = [](std::size_t) { return true; });
  // Returns and clears what was counted for the workspaces that lacked tokens or got some back.
  std::vector<TokenUse> CollectUse();

 private:
  struct WorkspaceTokens {
    std::string name;
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    double demand_per_s = 0;      // requests per second, moving average
    double arrived_requests = 0;  // since the last update of the average
    TimePoint updated_at;
    double unmet_requests = 0;  // requests without a token since the last call of TokensToRequest
    TimePoint request_paused_until{};
    bool fractions_admit = false;  // a fraction of a token admits a request with that probability
    TokenUse use{};
  };
  void UpdateDemand(TimePoint now, WorkspaceTokens& state);
  // Tokens that the node holds for its next requests.
  static double Reserve(const WorkspaceTokens& state, std::size_t nodes);
  std::vector<WorkspaceTokens> m_workspace_tokens;
  std::minstd_rand m_random;
};

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
