// Targets by service and failure domain, for choices whose cost does not depend on the number of members.

#ifndef MAGNOLIAARCH_SRC_MESH_TARGET_INDEX_P_H_
#define MAGNOLIAARCH_SRC_MESH_TARGET_INDEX_P_H_

#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliaarch {

// Targets of one service in one failure domain that accept requests.
struct TargetGroup {
  std::string domain;
  std::vector<std::string> nodes;
  std::vector<double> cumulative_room;  // sum of the room of the nodes up to and including this one

  double Room() const { return cumulative_room.empty() ? 0 : cumulative_room.back(); }
  // Returns a node with a probability in proportion to its room. `random` is from 0 to 1; the group must not be empty.
  const std::string& Draw(double random) const;
};

class TargetIndex {
 public:
  void Clear() { m_groups.clear(); }
  // `room` must be above 0.
  void Add(const std::string& service, const std::string& domain, const std::string& node, double room);
  // Returns the groups of a service, in no order; null if it has no target.
  const std::vector<TargetGroup>* Find(const std::string& service) const;

 private:
  std::unordered_map<std::string, std::vector<TargetGroup>> m_groups;  // by service
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TARGET_INDEX_P_H_
