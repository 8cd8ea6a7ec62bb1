// Connects roll-outs to a node: at the coordinator, decides about them and writes their records; at every node, applies
// the exposure that the records allow to the choice of targets.

#ifndef MAGNOLIAARCH_SRC_MESH_ROLLOUT_ROLE_P_H_
#define MAGNOLIAARCH_SRC_MESH_ROLLOUT_ROLE_P_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "magnoliaarch/metrics.h"
#include "mesh.pb.h"
#include "mesh_choice_p.h"
#include "mesh_ingress_p.h"
#include "mesh_keys_p.h"
#include "mesh_log_p.h"
#include "mesh_reports_p.h"
#include "mesh_rollout_exposure_p.h"
#include "mesh_rollout_p.h"
#include "mesh_view_p.h"
#include "mesh_wire_p.h"

namespace magnoliaarch {

struct RolloutRoleHooks {
  std::function<const MeshView&()> view;
  std::function<bool()> is_coordinator;
  std::function<void(StoreTxn txn, std::function<void(const absl::StatusOr<StoreWrite>&)> done)> write;
  // What this node knows of the targets of the others, by node.
  std::function<const std::map<std::string, TargetHint>&()> hints;
  // Unix time in milliseconds.
  std::function<std::int64_t()> unix_ms;
};

class RolloutRole {
 public:
  // `bounds` must outlive this object; updated when the settings are reloaded.
  RolloutRole(const MeshWire& wire,
              MeshLog& log,
              MetricsRegistry& metrics,
              const RolloutBounds& bounds,
              RolloutRoleHooks hooks);

  void OnTick(TimePoint now);
  void OnViewChanged();
  ReportExtension Reports();

  // ---- At every node ----
  // Whether a service has an order or a record of a roll-out.
  bool IsSteered(const std::string& service) const { return m_exposures.contains(service); }
  bool AdmitsTarget(const proto::MeshRequest& request, const std::string& node) const;
  double CostFactor(const proto::MeshRequest& request, const std::string& node) const;
  void OnSend(const proto::MeshRequest& request, const std::string& node);
  void OnSendEnded(const EndedSend& send);
  // Whether the local target may serve requests in its version.
  bool LocalTargetMayServe(const std::string& service, const std::string& version) const;

  // ---- At the coordinator ----
  // Bounds the keys that the plan gives to targets of a version in roll-out.
  void RestrictPlan(const std::string& service, KeyPlanInput* input) const;
  std::vector<RolloutEvidenceRow> EvidenceOf(const std::string& service) const;

 private:
  struct ReportedTarget {
    std::string service;
    std::string version;
    proto::TargetReport report;
    bool stopping = false;
    TimePoint received_at;
    EvidenceWindow evidence;
  };
  struct Decider {
    bool write_pending = false;
    TimePoint next_write_at;
    TimePoint order_missing_since;
    proto::RolloutPhase phase = proto::ROLLOUT_EXPOSING;
    TimePoint phase_since;
    std::optional<RolloutStep> verdict;  // against the version, not in the record yet
  };

  bool IsOn() const { return m_bounds.expose_share > 0; }
  std::uint32_t VersionOf(const std::string& node) const;
  void OnReport(TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply);
  void OnReply(TimePoint now, const proto::MeshReply& reply);
  void UpdateExposures();
  double FirstCredit();
  void UpdateTargets();
  void Decide(const std::string& service, TimePoint now);
  // Handles a change of the order. Returns whether the roll-out was changed by it.
  bool FollowOrder(const std::string& service, Decider& decider, TimePoint now);
  RolloutInput BuildInput(const std::string& service, const proto::RolloutRecord& record, TimePoint now) const;
  void WriteRecord(const std::string& service, const proto::RolloutRecord& record, TimePoint now);

  const MeshWire& m_wire;
  MeshLog& m_log;
  MetricsRegistry& m_metrics;
  const RolloutBounds& m_bounds;
  RolloutRoleHooks m_hooks;
  std::map<std::string, RolloutExposure> m_exposures;  // by service
  std::map<std::string, ReportedTarget> m_targets;     // by node
  std::map<std::string, Decider> m_deciders;           // by service
  std::minstd_rand m_random;
  TimePoint m_next_decision_at;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_ROLLOUT_ROLE_P_H_
