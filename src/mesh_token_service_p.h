// Hands out the tokens of those workspaces that this node is responsible for.

#ifndef MAGNOLIAARCH_SRC_MESH_TOKEN_SERVICE_P_H_
#define MAGNOLIAARCH_SRC_MESH_TOKEN_SERVICE_P_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "mesh.pb.h"
#include "mesh_duties_p.h"
#include "mesh_token_pool_p.h"
#include "mesh_view_p.h"

namespace magnoliaarch {

class TokenService {
 public:
  // `has_authority`: whether the store certainly keeps this node's lease. Without it another node may hand out the same
  // tokens.
  TokenService(
      std::function<const MeshView&()> view,
      std::string node,
      std::function<bool(TimePoint)> has_authority = [](TimePoint) { return true; });

  // Follows changes of the members, the coordinator and the limits.
  void OnViewChanged(TimePoint now);
  // Answers a node's request for tokens. An answer without a version says that the configurations or the members
  // differ, or that this node does not hand out the tokens of a workspace of the request, or not any more.
  proto::TokenReply OnTokenCall(TimePoint now, const proto::TokenCall& call);
  // What this node's pool gave out since the last call, for the log.
  std::vector<TokenUse> CollectUse() { return m_pool.CollectUse(); }
  // Returns the node that hands out a workspace's tokens; empty if there is none now.
  const std::string& NodeFor(std::size_t workspace) const { return m_duties.NodeFor(workspace); }

 private:
  const std::function<const MeshView&()> m_view;
  const std::string m_node;
  const std::function<bool(TimePoint)> m_has_authority;
  TokenDuties m_duties;
  TokenPool m_pool;
  std::uint64_t m_pool_version = 0;
  bool m_lost_authority = false;
  std::set<std::string> m_own_workspaces;  // names of the workspaces that this node is responsible for
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TOKEN_SERVICE_P_H_
