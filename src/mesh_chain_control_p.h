// Connects the admission along call chains and the evidence about targets to a node's requests, target and reports.

#ifndef MAGNOLIAARCH_SRC_MESH_CHAIN_CONTROL_P_H_
#define MAGNOLIAARCH_SRC_MESH_CHAIN_CONTROL_P_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "magnoliaarch/metrics.h"
#include "mesh.pb.h"
#include "mesh_chain_p.h"
#include "mesh_evidence_p.h"
#include "mesh_ingress_p.h"
#include "mesh_log_p.h"
#include "mesh_reports_p.h"
#include "mesh_target_p.h"
#include "mesh_view_p.h"

namespace magnoliaarch {

struct ChainControlHooks {
  // Whether load control is in force. Without it nothing is learnt and nothing is changed.
  std::function<bool()> in_force;
  std::function<const MeshView&()> view;
  // Sets the slots of the local target that only inner calls may take.
  std::function<void(std::uint32_t slots)> set_inner_slots;
};

class ChainControl {
 public:
  ChainControl(MeshLog& log, MetricsRegistry& metrics, std::uint64_t seed, ChainControlHooks hooks);

  void Connect(MeshIngressHooks* ingress);
  void Connect(MeshTargetHooks* target);
  ReportExtension Extension();
  // Must be called periodically.
  void OnTick(TimePoint now);

 private:
  void OnSendEnded(const EndedSend& send);
  bool IsInner(const proto::MeshRequest& request);
  void CountHosts(TimePoint now);
  void OnInnerCallEnded(const EndedRequest& ended);
  void OnShareChanged(const std::string& service, const CalledServiceState& state);
  std::optional<Duration> RefuseNew(const proto::MeshRequest& request, TimePoint now);

  MeshLog& m_log;
  MetricsRegistry& m_metrics;
  ChainControlHooks m_hooks;
  ChainAdmission m_chains;
  InnerRoutes m_called_routes;                      // as seen beside the called target
  std::map<std::string, TimePoint> m_inner_routes;  // of the local target's calls: until when they are known
  TimePoint m_next_host_count_at;
  EvidenceTable m_evidence;
  TimePoint m_inner_run_at;  // when the local target was last sent an inner call of another target
  std::uint32_t m_inner_slots = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_CHAIN_CONTROL_P_H_
