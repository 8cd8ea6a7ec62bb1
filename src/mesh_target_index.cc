#include "mesh_target_index_p.h"

#include <algorithm>

namespace magnoliaarch {

const std::string& TargetGroup::Draw(double random) const {
  const auto found = std::upper_bound(cumulative_room.begin(), cumulative_room.end(), random * Room());
  const auto index = std::min<std::size_t>(static_cast<std::size_t>(found - cumulative_room.begin()), nodes.size() - 1);
  return nodes[index];
}

void TargetIndex::Add(const std::string& service, const std::string& domain, const std::string& node, double room) {
  std::vector<TargetGroup>& groups = m_groups[service];
  auto group =
      std::find_if(groups.begin(), groups.end(), [&](const TargetGroup& other) { return other.domain == domain; });
  if (group == groups.end()) {
    groups.push_back(TargetGroup{domain, {}, {}});
    group = std::prev(groups.end());
  }
  const double before = group->Room();
  group->nodes.push_back(node);
  group->cumulative_room.push_back(before + room);
}

const std::vector<TargetGroup>* TargetIndex::Find(const std::string& service) const {
  const auto groups = m_groups.find(service);
  return groups != m_groups.end() ? &groups->second : nullptr;
}

}  // namespace magnoliaarch
