// Status of a node for its operators: metric gauges, and a JSON page with its state and the owners of all key ranges.

#ifndef MAGNOLIAARCH_SRC_MESH_STATUS_P_H_
#define MAGNOLIAARCH_SRC_MESH_STATUS_P_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "byte_count_p.h"
#include "magnoliaarch/metrics.h"
#include "magnoliaarch/types.h"
#include "memory_budget_p.h"
#include "mesh_rollout_evidence_p.h"
#include "mesh_view_p.h"

namespace magnoliaarch {

struct NodeStatus {
  std::string node;
  std::uint64_t incarnation = 0;
  bool ready = false;
  bool is_coordinator = false;
  std::uint64_t config_version = 0;
  Duration view_age{};
  Duration lease_left{};  // time for which the lease still covers key grants
  bool store_reachable = false;
  std::map<std::string_view, std::uint64_t> store_calls;  // by kind of call
  std::uint64_t store_relayed = 0;
  std::string target_state;
  std::size_t requests_open = 0;
  std::size_t target_running = 0;
  std::size_t target_queued = 0;
  Duration target_service{};  // mean service time of the target
  std::size_t peer_connections = 0;
  ByteCount store_bytes;
  ByteCount peer_bytes;                            // between nodes, framing included
  std::map<std::string, ByteCount> message_bytes;  // between nodes by request path, without framing
  std::uint64_t log_dropped = 0;
  std::map<std::string, std::vector<RolloutEvidenceRow>> rollout_evidence;  // by service; at the coordinator only
  MemoryBudget::Stats memory;
  std::size_t memory_total = 0;
  std::size_t caller_connections = 0;
};

void SetGauges(const NodeStatus& status, const MeshView& view, MetricsRegistry* metrics);
std::string StatusPage(const NodeStatus& status, const MeshView& view);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_STATUS_P_H_
