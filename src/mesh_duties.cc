#include "mesh_duties_p.h"

#include <algorithm>
#include <tuple>

namespace magnoliaarch {
namespace {

constexpr Duration kMinReportPeriod = std::chrono::milliseconds(400);
constexpr int kMaxReportsPerSecond = 200;
constexpr Duration kMinCoordinatorTimeout = std::chrono::milliseconds(1000);
constexpr int kMaxPushesPerSecond = 2000;
// Pushes are retried with this period, so that shorter intervals would be rounded up to it.
constexpr Duration kShortestPushInterval = std::chrono::milliseconds(50);
constexpr Duration kSecond = std::chrono::seconds(1);
// Nodes of each failure domain that watch the store for the others.
constexpr std::size_t kWatchersPerDomain = 3;
// Nodes for each node that hands out tokens.
constexpr std::size_t kNodesPerTokenNode = 16;

const std::string kNoNode;

// Combines two hashes; the results for different nodes are independent of each other.
std::uint64_t Mix(std::uint32_t node, std::uint32_t workspace) {
  std::uint64_t mixed = (std::uint64_t{node} << 32U) | workspace;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

// The strongest hosts' nodes come first; nodes of equal hosts are ordered by their hashes.
bool RanksBefore(const proto::MeshMember& a, const proto::MeshMember& b) {
  return std::make_tuple(b.cpu_milli(), NodeHash(a.node()), a.node()) <
         std::make_tuple(a.cpu_milli(), NodeHash(b.node()), b.node());
}

}  // namespace

Duration ReportPeriod(std::size_t nodes) {
  return std::max(kMinReportPeriod, kSecond * static_cast<int>(nodes) / kMaxReportsPerSecond);
}

Duration CoordinatorTimeout(std::size_t nodes) {
  return std::max(kMinCoordinatorTimeout, ReportPeriod(nodes) * 5 / 2);
}

Duration MinPushInterval(std::size_t nodes) {
  const Duration interval = kSecond * static_cast<int>(nodes) / kMaxPushesPerSecond;
  return interval < kShortestPushInterval ? Duration(0) : interval;
}

bool WatchesForDomain(const MeshView& view, const proto::MeshMember& self) {
  std::size_t before = 0;
  for (const auto& [node, member] : view.Members()) {
    if (member.domain() == self.domain() && node != self.node() && RanksBefore(member, self) &&
        ++before >= kWatchersPerDomain) {
      return false;
    }
  }
  return true;
}

bool HasStrongerHost(const MeshView& view, const proto::MeshMember& self) {
  return self.cpu_milli() > 0 && std::any_of(view.Members().begin(), view.Members().end(), [&](const auto& entry) {
           return entry.second.cpu_milli() >= 2 * self.cpu_milli();
         });
}

bool TokenDuties::Update(const MeshView& view) {
  const auto config = view.Config();
  const std::uint64_t config_version = config != nullptr ? config->version : 0;
  if (m_membership_sequence == view.MembershipSequence() && m_config_version == config_version) {
    return false;
  }
  m_membership_sequence = view.MembershipSequence();
  m_config_version = config_version;
  m_nodes.assign(config != nullptr ? config->workspaces.size() : 0, kNoNode);
  std::vector<const proto::MeshMember*> members;
  for (const auto& [node, member] : view.Members()) {
    members.push_back(&member);
  }
  const std::size_t wanted = (members.size() + kNodesPerTokenNode - 1) / kNodesPerTokenNode;
  if (wanted <= 1) {
    // With a single node the coordinator's record names it, so that all nodes agree even if their replicas differ.
    const auto& coordinator = view.Coordinator();
    if (coordinator.has_value() && view.FindMember(coordinator->node()) != nullptr) {
      std::fill(m_nodes.begin(), m_nodes.end(), coordinator->node());
    }
    return true;
  }
  std::partial_sort(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(wanted), members.end(),
                    [](const auto* a, const auto* b) { return RanksBefore(*a, *b); });
  members.resize(wanted);
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    // Rendezvous hashing: if a node comes or goes, only its own workspaces move.
    const std::uint32_t workspace = NodeHash(config->workspaces[i].name);
    const auto best = std::max_element(members.begin(), members.end(), [&](const auto* a, const auto* b) {
      return Mix(NodeHash(a->node()), workspace) < Mix(NodeHash(b->node()), workspace);
    });
    m_nodes[i] = (*best)->node();
  }
  return true;
}

const std::string& TokenDuties::NodeFor(std::size_t workspace) const {
  return workspace < m_nodes.size() ? m_nodes[workspace] : kNoNode;
}

}  // namespace magnoliaarch
