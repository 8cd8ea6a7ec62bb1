// Exchange of reports and replica changes between nodes: periodic reports to the coordinator, its pushes of replica
// changes, and synchronization from another node when the replica is stale.

#ifndef MAGNOLIAARCH_SRC_MESH_REPORTS_P_H_
#define MAGNOLIAARCH_SRC_MESH_REPORTS_P_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mesh.pb.h"
#include "mesh_coordinator_p.h"
#include "mesh_duties_p.h"
#include "mesh_ingress_p.h"
#include "mesh_log_p.h"
#include "mesh_peers_p.h"
#include "mesh_session_p.h"
#include "mesh_timer_p.h"

namespace magnoliaarch {

// Paths of reports and of pushed replica changes between nodes.
inline constexpr std::string_view kReportPath = "/report";
inline constexpr std::string_view kPushPath = "/push";

// A module that sends its state with the reports of the nodes and gets decisions back with the coordinator's replies.
// Each hook may be null.
struct ReportExtension {
  // At every node: adds the module's fields to the node's own report.
  std::function<void(TimePoint now, proto::MeshReport* report)> fill_report;
  // At the coordinator: takes a report of any node, including its own, and adds to the reply.
  std::function<void(TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply)> on_report;
  // At every node: takes the coordinator's reply to the node's own report.
  std::function<void(TimePoint now, const proto::MeshReply& reply)> on_reply;
};

class ReportExchange {
 public:
  // `own_report` returns the current report of this node.
  ReportExchange(TimerQueue& timers,
                 MeshPeers& peers,
                 MeshSession& session,
                 CoordinatorRole& coordinator,
                 MeshIngress& ingress,
                 MeshLog& log,
                 std::function<proto::MeshReport()> own_report);

  // Must be called before the first tick.
  void AddExtension(ReportExtension extension) { m_extensions.push_back(std::move(extension)); }

  // Sends the periodic report, and synchronizes from another node if the replica is stale.
  void OnTick(TimePoint now);
  // Schedules a report before the next period, after a change that the coordinator acts on.
  void ReportSoon();
  void ReportNow(TimePoint now);

  // Handle a message of another node and return the serialized reply. Messages that cannot be parsed are logged.
  std::string OnReport(const std::string& message);
  std::string OnPush(const std::string& message);
  // Sends changes of the coordinator's replica to a node.
  void Push(const proto::MeshMember& to, const proto::MeshPush& push, std::function<void(PushOutcome)> done);

  // A random other node that is selected and not known to be unreachable; null if there is none.
  const proto::MeshMember* RandomMember(const std::function<bool(const proto::MeshMember&)>& selects =
                                            [](const proto::MeshMember&) { return true; });

 private:
  // Handles a report at the coordinator.
  void HandleReport(TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply);
  void OnReply(const proto::MeshReply& reply, TimePoint requested_at);
  void SyncFromRandomMember(TimePoint now);
  // A random node to synchronize from.
  const proto::MeshMember* RandomWatcher();

  TimerQueue& m_timers;
  MeshPeers& m_peers;
  MeshSession& m_session;
  CoordinatorRole& m_coordinator;
  MeshIngress& m_ingress;
  MeshLog& m_log;
  const std::function<proto::MeshReport()> m_own_report;
  std::vector<ReportExtension> m_extensions;
  const std::shared_ptr<const std::string> m_no_body = std::make_shared<const std::string>();
  TimePoint m_next_report_at;
  TimePoint m_last_report_at;
  TimerId m_report_timer = 0;
  TimePoint m_coordinator_heard_at;
  TimePoint m_next_sync_at;
  bool m_sync_within_domain = false;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_REPORTS_P_H_
