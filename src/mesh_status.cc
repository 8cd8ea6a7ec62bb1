#include "mesh_status_p.h"

#include <nlohmann/json.hpp>

#include "duration_p.h"
#include "mesh_rollout_p.h"

namespace magnoliaarch {
namespace {

constexpr double kMillion = 1e6;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

nlohmann::json DescribeTable(const TableState& state) {
  nlohmann::json ranges = nlohmann::json::array();
  for (const proto::KeyRange& range : state.table.ranges()) {
    ranges.push_back({{"first", range.first()},
                      {"last", range.last()},
                      {"owner", range.owner().node()},
                      {"fence", range.fence()},
                      {"successor", range.successor().node()}});
  }
  return ranges;
}

nlohmann::json DescribeRollout(const proto::RolloutRecord& record, const std::vector<RolloutEvidenceRow>* rows) {
  nlohmann::json evidence = nlohmann::json::array();
  if (rows != nullptr) {
    for (const RolloutEvidenceRow& row : *rows) {
      evidence.push_back({{"route", row.route},
                          {"version", row.candidate ? record.to() : "others"},
                          {"answers", row.tally.answers},
                          {"failures", row.tally.failures},
                          {"mean_ms", row.tally.MeanSeconds() * 1000}});
    }
  }
  return {{"service", record.service()},
          {"to", record.to()},
          {"phase", NameOf(record.phase())},
          {"step", record.step()},
          {"share", record.share_ppm() / kMillion},
          {"canaries", record.canaries()},
          {"reason", record.reason()},
          {"evidence", evidence}};
}

void SetByteGauges(const char* name,
                   const char* help,
                   const ByteCount& bytes,
                   MetricLabels labels,
                   MetricsRegistry* metrics) {
  labels.emplace_back("direction", "sent");
  metrics->GetGauge(name, help, labels).Set(static_cast<double>(bytes.sent));
  labels.back().second = "received";
  metrics->GetGauge(name, help, labels).Set(static_cast<double>(bytes.received));
}

}  // namespace

void SetGauges(const NodeStatus& status, const MeshView& view, MetricsRegistry* metrics) {
  const auto set = [metrics](const char* name, const char* help, double value) {
    metrics->GetGauge(name, help).Set(value);
  };
  const auto count = [&set](const char* name, const char* help, std::uint64_t value) {
    set(name, help, static_cast<double>(value));
  };
  set("magnolia_mesh_view_age_seconds", "Time since the replica was last known to be complete.",
      Seconds(status.view_age));
  count("magnolia_mesh_config_version", "Version of the configuration in force.", status.config_version);
  for (const auto& [kind, calls] : status.store_calls) {
    metrics->GetGauge("magnolia_mesh_store_calls", "Calls to the store by kind.", {{"kind", std::string(kind)}})
        .Set(static_cast<double>(calls));
  }
  count("magnolia_mesh_store_relayed", "Calls to the store through other nodes.", status.store_relayed);
  set("magnolia_mesh_store_reachable", "Whether the last call reached the store.", status.store_reachable ? 1 : 0);
  set("magnolia_mesh_lease_left_seconds", "Time for which the node may vouch for grants.", Seconds(status.lease_left));
  set("magnolia_mesh_coordinator", "Whether this node is the coordinator.", status.is_coordinator ? 1 : 0);
  count("magnolia_mesh_requests_open", "Requests of callers in progress.", status.requests_open);
  count("magnolia_mesh_gate_running", "Requests at the target.", status.target_running);
  count("magnolia_mesh_gate_queued", "Requests that wait for the target.", status.target_queued);
  set("magnolia_mesh_gate_service_seconds", "Mean time of a request at the target.", Seconds(status.target_service));
  count("magnolia_mesh_peer_connections", "Connections to other nodes.", status.peer_connections);
  SetByteGauges("magnolia_mesh_store_bytes", "Bytes exchanged with the store.", status.store_bytes, {}, metrics);
  SetByteGauges("magnolia_mesh_peer_bytes", "Bytes exchanged with other nodes, framing included.", status.peer_bytes,
                {}, metrics);
  for (const auto& [path, bytes] : status.message_bytes) {
    SetByteGauges("magnolia_mesh_message_bytes", "Bytes of messages between nodes by path, without framing.", bytes,
                  {{"path", path}}, metrics);
  }
  for (const auto& [service, state] : view.RolloutRecords()) {
    metrics
        ->GetGauge("magnolia_mesh_rollout_phase", "Phase of the roll-out: 0 exposing to 4 rolled back.",
                   {{"service", service}})
        .Set(state.record.phase());
    metrics
        ->GetGauge("magnolia_mesh_rollout_share", "Share of the requests that the version may get while exposed.",
                   {{"service", service}})
        .Set(state.record.share_ppm() / kMillion);
  }
  count("magnolia_mesh_memory_total_bytes", "Memory budget for what is held for others.", status.memory_total);
  count("magnolia_mesh_memory_used_bytes", "Bytes charged to the memory budget.", status.memory.used);
  count("magnolia_mesh_memory_peak_bytes", "Most bytes that were charged at a time.", status.memory.peak);
  count("magnolia_mesh_memory_refused", "Growths that found no room in the memory budget.", status.memory.refused);
  count("magnolia_mesh_memory_evicted", "Holders without progress that were evicted.", status.memory.evicted);
  count("magnolia_mesh_caller_connections", "Open connections of callers.", status.caller_connections);
  count("magnolia_mesh_log_dropped", "Log lines dropped because standard output took none.", status.log_dropped);
}

std::string StatusPage(const NodeStatus& status, const MeshView& view) {
  nlohmann::json page;
  page["node"] = status.node;
  page["incarnation"] = std::to_string(status.incarnation);
  page["ready"] = status.ready;
  page["config"] = status.config_version;
  page["revision"] = view.Revision();
  page["view_age_ms"] = Milliseconds(status.view_age);
  page["lease_left_ms"] = Milliseconds(status.lease_left);
  page["store_reachable"] = status.store_reachable;
  page["store_calls"] = nlohmann::json::object();
  for (const auto& [kind, calls] : status.store_calls) {
    page["store_calls"][std::string(kind)] = calls;
  }
  page["store_relayed"] = status.store_relayed;
  page["coordinator"] = view.Coordinator().has_value() ? view.Coordinator()->node() : "";
  page["target"] = status.target_state;
  page["members"] = nlohmann::json::array();
  for (const auto& [node, member] : view.Members()) {
    page["members"].push_back({{"node", node},
                               {"domain", member.domain()},
                               {"service", member.service()},
                               {"evacuated", view.IsEvacuated(member.domain())}});
  }
  page["rollouts"] = nlohmann::json::array();
  for (const auto& [service, state] : view.RolloutRecords()) {
    const auto rows = status.rollout_evidence.find(service);
    page["rollouts"].push_back(
        DescribeRollout(state.record, rows != status.rollout_evidence.end() ? &rows->second : nullptr));
  }
  const auto config = view.Config();
  page["services"] = nlohmann::json::array();
  if (config != nullptr) {
    for (const auto& [name, service] : config->services) {
      page["services"].push_back({{"service", name}, {"keyed", service.sharded}});
      const TableState* table = view.Table(name);
      if (table != nullptr) {
        page["keys"][name] = DescribeTable(*table);
      }
    }
  }
  return page.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}  // namespace magnoliaarch
