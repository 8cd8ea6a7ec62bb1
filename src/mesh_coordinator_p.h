// The coordinator role: replicates the view to all nodes and plans key ownership. Any node can hold the role through a
// lease; every decision takes effect by a conditional write in the store.

#ifndef MAGNOLIAARCH_SRC_MESH_COORDINATOR_P_H_
#define MAGNOLIAARCH_SRC_MESH_COORDINATOR_P_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "mesh.pb.h"
#include "mesh_eras_p.h"
#include "mesh_keys_p.h"
#include "mesh_log_p.h"
#include "mesh_session_p.h"
#include "mesh_table_patch_p.h"

namespace magnoliaarch {

enum class PushOutcome {
  kApplied,
  kNeedsFullTable,  // a table patch does not match the node's base revision
  kUnconfirmed,     // no reply; the push may have been applied
};

struct CoordinatorRoleHooks {
  // Sends the view items in `push` to the node `to`. Calls `done` when the node has replied or the call has failed.
  std::function<void(const proto::MeshMember& to, const proto::MeshPush& push, std::function<void(PushOutcome)> done)>
      push;
  // Changes what the plan of a sharded service knows of its targets. May be null.
  std::function<void(const std::string& service, KeyPlanInput* input)> restrict_plan;
  // Whether load hints name the targets of a sharded service, too. Null: they do not.
  std::function<bool(const std::string& service)> hints_sharded;
};

class CoordinatorRole {
 public:
  CoordinatorRole(MeshSession& session,
                  MeshLog& log,
                  std::string node,
                  std::uint64_t incarnation,
                  CoordinatorRoleHooks hooks);

  bool IsCoordinator() const;
  // If no node is coordinator, tries to acquire the role. If this node is the coordinator, pushes the view to the other
  // nodes, plans key ownership, and resigns if this node cannot reach the store.
  void OnTick(TimePoint now, bool store_reachable, bool stopping);
  void OnViewChanged();
  // Handles a report of any node, including this one.
  void OnReport(TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply);
  // Deletes the coordinator record, so that another node can take the role at once.
  void Resign();

 private:
  struct ReportedState {
    proto::MeshReport report;
    TimePoint received_at;
    double service_s = 0;  // moving average of the target's service time
  };
  struct PeerReplica {
    std::uint64_t incarnation = 0;
    std::uint64_t acknowledged_sequence = 0;  // last view sequence that the peer has applied
    bool push_in_flight = false;
    TimePoint next_push_at;
    std::map<std::string, std::int64_t> table_revisions;  // by key: key table revisions that the peer has applied
  };

  void StoreReport(TimePoint now, const proto::MeshReport& report);
  bool HasNoHolder(TimePoint now);
  void TryAcquireRole(TimePoint now);
  void NoteEra();
  // Whether the table can be planned now. Gives a table of an earlier era fences of this one once no grant that it
  // does not show can be in force.
  bool AdoptTable(const std::string& service, proto::KeyTable* table, TimePoint now);
  void PlanService(const MeshService& service, TimePoint now);
  void WritePlan(const std::string& service, const KeyPlan& plan);
  KeyPlanInput BuildPlanInput(const std::string& service, const proto::KeyTable& table, TimePoint now);
  void PushTo(const proto::MeshMember& member, TimePoint now);
  // Fills m_hints from the last reports.
  void CollectHints(TimePoint now);
  // Older reports are ignored as stale.
  Duration MaxReportAge() const;

  MeshSession& m_session;
  MeshLog& m_log;
  const std::string m_node;
  const std::uint64_t m_incarnation;
  CoordinatorRoleHooks m_hooks;
  std::map<std::string, ReportedState> m_reports;
  google::protobuf::RepeatedPtrField<proto::LoadHint> m_hints;
  TimePoint m_hints_collected_at;
  TimePoint m_last_tick_at;
  std::map<std::string, PeerReplica> m_peers;
  SentTables m_sent_tables;
  std::map<std::string, KeyPlanner> m_planners;
  std::set<std::string> m_pending_plan_writes;  // services whose table write is in flight
  std::map<std::string, TimePoint> m_absent_since;
  std::int64_t m_era = 0;
  bool m_era_known = false;
  bool m_kept_role_in_era = false;  // held the role, with its lease in force, until this era began
  TimePoint m_era_settled_at;       // when every lease of earlier eras has ended
  bool m_was_coordinator = false;
  bool m_role_write_pending = false;
  TimePoint m_coordinator_since;
  TimePoint m_next_election_at;
  TimePoint m_holder_absent_since;
  TimePoint m_next_resign_at;
  TimePoint m_last_plan_at;
  TimePoint m_store_last_unreachable_at;
  TimePoint m_store_unreachable_since;
  bool m_store_unreachable = false;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_COORDINATOR_P_H_
