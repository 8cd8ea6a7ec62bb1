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
#include "mesh_limits_p.h"
#include "mesh_view_p.h"

namespace magnoliaarch {

class TokenService {
 public:
  TokenService(std::function<const MeshView&()> view, std::string node);

  // Follows changes of the members, the coordinator and the limits.
  void OnViewChanged(TimePoint now);
  // Share of the nodes that can reach this node, from 0 to 1.
  void SetShareInTouch(TimePoint now, double share) { m_pool.SetShareInTouch(now, share); }
  // Answers a node's request for tokens. An answer without a version says that the configurations differ, or that this
  // node is not responsible for a workspace of the request.
  proto::TokenReply OnTokenCall(TimePoint now, const proto::TokenCall& call);
  // What this node's pool gave out since the last call, for the log.
  std::vector<TokenUse> CollectUse() { return m_pool.CollectUse(); }
  // Returns the node that hands out a workspace's tokens; empty if there is none now.
  const std::string& NodeFor(std::size_t workspace) const { return m_duties.NodeFor(workspace); }

 private:
  const std::function<const MeshView&()> m_view;
  const std::string m_node;
  TokenDuties m_duties;
  TokenPool m_pool;
  std::uint64_t m_pool_version = 0;
  std::set<std::string> m_own_workspaces;  // names of the workspaces that this node is responsible for
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TOKEN_SERVICE_P_H_
