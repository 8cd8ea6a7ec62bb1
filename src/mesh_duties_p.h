// Decides which nodes carry the duties that the mesh shares out, and how often nodes report. Every node decides from
// its own replica; does no I/O.

#ifndef MAGNOLIAARCH_SRC_MESH_DUTIES_P_H_
#define MAGNOLIAARCH_SRC_MESH_DUTIES_P_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "magnoliaarch/types.h"
#include "mesh_view_p.h"

namespace magnoliaarch {

// Period of the reports of each node. Grows with the number of nodes, so that the coordinator receives a bounded number
// of reports a second.
Duration ReportPeriod(std::size_t nodes);
// A node that has not heard from the coordinator for this long acts as if there were none.
Duration CoordinatorTimeout(std::size_t nodes);
// Minimum time between two pushes of replica changes to the same node, so that the coordinator sends a bounded number
// of pushes a second. Zero below 100 nodes, where one push in flight to each node is bound enough.
Duration MinPushInterval(std::size_t nodes);

// Whether the node is one of those of its failure domain that watch the store for the others while no coordinator keeps
// the replicas up to date.
bool WatchesForDomain(const MeshView& view, const proto::MeshMember& self);
// Whether some node's host has at least twice the processor share of this node's. False if shares are not known.
bool HasStrongerHost(const MeshView& view, const proto::MeshMember& self);

// Which node hands out the tokens of which workspace. In small deployments this is the coordinator; in larger ones the
// workspaces are spread over several nodes, of which those on the strongest hosts come first.
class TokenDuties {
 public:
  // Follows the view. Returns whether the assignment may have changed.
  bool Update(const MeshView& view);
  // Returns the node for a workspace, by its position in the configuration; empty if there is none now.
  const std::string& NodeFor(std::size_t workspace) const;

 private:
  std::uint64_t m_membership_sequence = 0;
  std::uint64_t m_config_version = 0;
  std::vector<std::string> m_nodes;  // by workspace
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_DUTIES_P_H_
