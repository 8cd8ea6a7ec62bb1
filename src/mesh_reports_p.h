// Reports of a node to the coordinator, the replica that comes back, and what a node without one learns from others.

#ifndef MAGNOLIAARCH_SRC_MESH_REPORTS_P_H_
#define MAGNOLIAARCH_SRC_MESH_REPORTS_P_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mesh.pb.h"
#include "mesh_coordinator_p.h"
#include "mesh_ingress_p.h"
#include "mesh_log_p.h"
#include "mesh_peers_p.h"
#include "mesh_session_p.h"
#include "mesh_timer_p.h"

namespace magnoliaarch {

// Paths of reports and of pushed replicas between nodes.
inline constexpr std::string_view kReportPath = "/report";
inline constexpr std::string_view kPushPath = "/push";

class ReportExchange {
 public:
  // `own_report`: this node as it is now.
  ReportExchange(TimerQueue& timers,
                 MeshPeers& peers,
                 MeshSession& session,
                 MeshCoordinatorDuty& coordinator,
                 MeshIngress& ingress,
                 MeshLog& log,
                 std::function<proto::MeshReport()> own_report);

  // Reports when it is time to, and asks another node when the replica is old.
  void OnTick(TimePoint now);
  // Something changed that the coordinator acts on.
  void ReportSoon();
  void ReportNow(TimePoint now);

  // Messages of other nodes; unreadable ones are logged. The answers are returned serialized.
  std::string OnReport(const std::string& message);
  std::string OnPush(const std::string& message);
  // Sends the coordinator's replica to a node.
  void Push(const proto::MeshMember& to, const proto::MeshPush& push, std::function<void(PushOutcome)> done);

  bool HasCoordinator(TimePoint now) const;
  // Any other node that may be reachable, null if there is none.
  const proto::MeshMember* RandomMember();

 private:
  void OnReply(const proto::MeshReply& reply, TimePoint requested_at);
  void SyncFromRandomMember(TimePoint now);

  TimerQueue& m_timers;
  MeshPeers& m_peers;
  MeshSession& m_session;
  MeshCoordinatorDuty& m_coordinator;
  MeshIngress& m_ingress;
  MeshLog& m_log;
  const std::function<proto::MeshReport()> m_own_report;
  const std::shared_ptr<const std::string> m_no_body = std::make_shared<const std::string>();
  TimePoint m_next_report_at;
  TimePoint m_last_report_at;
  TimerId m_report_timer = 0;
  TimePoint m_coordinator_heard_at;
  TimePoint m_next_sync_at;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_REPORTS_P_H_
