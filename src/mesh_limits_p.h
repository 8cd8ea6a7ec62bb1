// Limits that all nodes keep together: workspace rates and the budget of repeated sends. Pure decisions.

#ifndef MAGNOLIAARCH_SRC_MESH_LIMITS_P_H_
#define MAGNOLIAARCH_SRC_MESH_LIMITS_P_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "magnoliaarch/types.h"
#include "mesh_model_p.h"

namespace magnoliaarch {

// The coordinator's side: hands the tokens of each workspace to the nodes that lack them. All tokens that are ever
// handed out stay within rate and burst, so no exchange between nodes can exceed the limit.
class TokenPool {
 public:
  // `fill` is the share of the burst that a new pool starts with; a successor does not know what its predecessor gave.
  explicit TokenPool(double initial_fill) : m_initial_fill(initial_fill) {}
  void SetLimits(TimePoint now, const MeshConfig& config);
  // Tokens for a node that lacks this many.
  double Take(TimePoint now, std::size_t workspace, double wanted, std::size_t nodes);

 private:
  struct Bucket {
    std::string name;
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    TimePoint updated_at;
  };
  double m_initial_fill;
  std::vector<Bucket> m_buckets;  // by position in the configuration
};

// A node's side: tokens in hand and what to ask for.
class TokenHolder {
 public:
  void SetLimits(TimePoint now, const MeshConfig& config, std::size_t nodes);
  // Takes a token. Always granted for workspaces without a limit.
  bool Take(TimePoint now, std::size_t workspace);
  void Add(std::size_t workspace, double tokens);
  // Tokens to ask the coordinator for, by workspace, on one of this many nodes.
  std::vector<std::pair<std::size_t, double>> TokensToRequest(TimePoint now, std::size_t nodes);
  // The coordinator had none: the workspace is at its limit, and asking again at once gets nothing.
  void OnTokensDenied(TimePoint now, std::size_t workspace);
  bool IsAtLimit(TimePoint now, std::size_t workspace) const;
  // While no coordinator answers, tokens come from this node's equal part of each limit.
  void RefillWithoutCoordinator(TimePoint now, Duration elapsed, std::size_t nodes);

 private:
  struct WorkspaceTokens {
    std::string name;
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    double demand_per_s = 0;      // requests a second, average
    double arrived_requests = 0;  // since the average was updated
    TimePoint updated_at;
    double unmet_requests = 0;  // requests that found no token since the last ask
    TimePoint request_paused_until{};
  };
  void UpdateDemand(TimePoint now, WorkspaceTokens& state);
  std::vector<WorkspaceTokens> m_workspace_tokens;
};

// The budget of sends beyond the first of each request, for one service. Each node keeps within its part of the slack
// and within the ratio of its own requests, so that the sum of all nodes keeps within the whole.
class MeshRetryBudget {
 public:
  MeshRetryBudget(double ratio, double slack, Duration window) : m_ratio(ratio), m_slack(slack), m_window(window) {}
  void OnRequest(TimePoint now);
  // Takes this much of the budget if it is there. A run that makes calls of its own costs more than 1.
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
