// The tokens of workspaces that a node holds and requests. Does no I/O.

#ifndef MAGNOLIAARCH_SRC_MESH_TOKEN_HOLDER_P_H_
#define MAGNOLIAARCH_SRC_MESH_TOKEN_HOLDER_P_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "magnoliaarch/types.h"
#include "mesh.pb.h"
#include "mesh_model_p.h"
#include "mesh_token_pool_p.h"

namespace magnoliaarch {

// Units of tokens and of parts of a limit in messages.
inline constexpr double kMilliPerToken = 1000;
inline constexpr double kMicroPerPart = 1e6;

// Admits requests with tokens from the node that hands them out. When that node has not answered for a while, this one
// refills at its own part of the limit. What the holder has is on that node's ledger. It must be dropped when the
// node's authority ends, because the others then hand it out again.
class TokenHolder {
 public:
  // Selects workspaces, by their position in the configuration.
  using Filter = std::function<bool(std::size_t workspace)>;

  // Forgets which requests wait.
  void SetLimits(TimePoint now, const MeshConfig& config);
  // Takes a token. Always succeeds for workspaces without a limit.
  bool Take(TimePoint now, std::size_t workspace);
  // Changes the number of requests that wait for a token of the workspace.
  void AddWaiting(std::size_t workspace, int count);
  // Gives back the token, taken at `taken_at`, of a request that was not executed. The token returns to the pool.
  void Refund(TimePoint now, std::size_t workspace, TimePoint taken_at);
  // Adds what this node's parts of the limits bring. All tokens and parts are dropped at `authority_end`.
  void Refill(TimePoint now, TimePoint authority_end);
  // Another node hands out the workspace's tokens now, and must learn what this one has.
  void OnSourceChanged(std::size_t workspace);
  // Whether a call to the node that hands out the selected workspaces' tokens is due.
  bool NeedsCall(TimePoint now, std::size_t nodes, const Filter& selects) const;
  // The entries of such a call: one for each selected workspace with a limit. Tokens that are returned in them are no
  // longer held. `nodes`: number of nodes that share the limits.
  std::vector<proto::TenantDemand> BeginCall(TimePoint now, std::size_t nodes, const Filter& selects);
  // Books the answer to `demand`, an entry of the call with this sequence number.
  void OnGrant(TimePoint now,
               std::uint64_t sequence,
               const proto::TenantDemand& demand,
               const proto::TokenGrant& grant);
  bool IsAtLimit(TimePoint now, std::size_t workspace) const;
  // Returns and clears what was counted for the workspaces that lacked tokens or got some back.
  std::vector<TokenUse> CollectUse();

 private:
  struct WorkspaceTokens {
    std::string name;
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    double part = 0;
    std::deque<TimePoint> refunds;  // when each of these tokens was taken
    double demand_per_s = 0;        // requests per second, moving average
    double arrived_requests = 0;    // since the last update of the average
    TimePoint updated_at;
    TimePoint refilled_at;
    TimePoint promised_until{};  // this node does not refill itself before
    bool call_answered = true;   // the last one
    std::uint64_t answered_sequence = 0;
    int waiting = 0;  // requests that wait for a token
    TimePoint request_paused_until{};
    bool reported = false;  // the pool knows that this node holds nothing
    TimePoint reported_at{};
    TokenUse use;
  };
  void RefillOne(TimePoint now, WorkspaceTokens* state) const;
  static void UpdateDemand(TimePoint now, WorkspaceTokens* state);
  static double DemandAt(TimePoint now, const WorkspaceTokens& state);
  // The part of the limit that this node's demand calls for.
  static double Wish(TimePoint now, const WorkspaceTokens& state, std::size_t nodes);
  // Tokens that the node holds for its next requests.
  static double Reserve(TimePoint now, const WorkspaceTokens& state, std::size_t nodes);
  static double Missing(TimePoint now, const WorkspaceTokens& state, std::size_t nodes);
  // Takes the tokens that go back to the pool.
  static double TakeReturned(TimePoint now, std::size_t nodes, WorkspaceTokens* state);
  proto::TenantDemand BeginCallFor(TimePoint now, std::size_t nodes, WorkspaceTokens* state) const;

  std::vector<WorkspaceTokens> m_workspace_tokens;
  TimePoint m_authority_end = TimePoint::max();
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TOKEN_HOLDER_P_H_
