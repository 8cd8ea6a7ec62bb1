#include "mesh_reports_p.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace magnoliaarch {
namespace {

// Minimum time between two reports, for those sent ahead of the period.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(15);
constexpr Duration kReportTimeout = std::chrono::milliseconds(500);
constexpr Duration kPushTimeout = std::chrono::milliseconds(600);
// A replica older than this is synchronized from a random node.
constexpr Duration kStaleReplica = std::chrono::milliseconds(1500);
constexpr Duration kSyncPeriod = std::chrono::milliseconds(500);

}  // namespace

ReportExchange::ReportExchange(TimerQueue& timers,
                               MeshPeers& peers,
                               MeshSession& session,
                               CoordinatorRole& coordinator,
                               MeshIngress& ingress,
                               MeshLog& log,
                               std::function<proto::MeshReport()> own_report)
    : m_timers(timers),
      m_peers(peers),
      m_session(session),
      m_coordinator(coordinator),
      m_ingress(ingress),
      m_log(log),
      m_own_report(std::move(own_report)) {}

void ReportExchange::OnTick(TimePoint now) {
  if (now >= m_next_report_at) {
    ReportNow(now);
  }
  const Duration stale_after = std::max(kStaleReplica, CoordinatorTimeout(m_session.View().Members().size()));
  const bool stale = m_session.ReplicaAge(now) > stale_after && now - m_coordinator_heard_at > stale_after;
  if (stale || !m_session.IsOperatorWatchLive(now) || m_session.LacksOperatorChange(now)) {
    SyncFromRandomMember(now);
  }
}

void ReportExchange::ReportSoon() {
  if (m_report_timer != 0) {
    return;
  }
  const TimePoint at = std::max(BootClock::now(), m_last_report_at + kMinReportInterval);
  m_report_timer = m_timers.At(at, [this] {
    m_report_timer = 0;
    ReportNow(BootClock::now());
  });
}

void ReportExchange::ReportNow(TimePoint now) {
  const auto& coordinator = m_session.View().Coordinator();
  if (!coordinator.has_value()) {
    return;
  }
  m_last_report_at = now;
  m_next_report_at = now + ReportPeriod(m_session.View().Members().size());
  proto::MeshReport report = m_own_report();
  if (m_session.Era() > 0) {
    // The era is reported once this node can grant under its fences, so that no owner has to wait for its new grants.
    report.mutable_era()->set_era(m_session.AuthorityEnd() > now ? m_session.Era() : 0);
    report.mutable_era()->set_last_fence(m_session.EarlierFence(m_session.Self().service()));
  }
  for (const ReportExtension& extension : m_extensions) {
    if (extension.fill_report) {
      extension.fill_report(now, &report);
    }
  }
  if (m_coordinator.IsCoordinator()) {
    proto::MeshReply reply;
    HandleReport(now, report, &reply);
    OnReply(reply, now);
    return;
  }
  const proto::MeshMember* member = m_session.View().FindMember(coordinator->node());
  if (member == nullptr || member->node() == m_session.Self().node()) {
    return;
  }
  m_peers.Call(AddressOf(*member), kReportPath, report.SerializeAsString(), m_no_body, kReportTimeout,
               [this, now](const MeshCallResult& result) {
                 proto::MeshReply reply;
                 if (result.outcome == MeshCallOutcome::kAnswered && reply.ParseFromString(result.answer.head)) {
                   OnReply(reply, now);
                 } else {
                   m_log.Write(LogCategory::kFailure, "report_failed", {{"detail", result.detail}});
                 }
               });
}

void ReportExchange::HandleReport(TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply) {
  m_coordinator.OnReport(now, report, reply);
  if (!m_coordinator.IsCoordinator()) {
    return;
  }
  for (const ReportExtension& extension : m_extensions) {
    if (extension.on_report) {
      extension.on_report(now, report, reply);
    }
  }
}

void ReportExchange::OnReply(const proto::MeshReply& reply, TimePoint requested_at) {
  if (!reply.coordinator()) {
    return;
  }
  for (const ReportExtension& extension : m_extensions) {
    if (extension.on_reply) {
      extension.on_reply(BootClock::now(), reply);
    }
  }
  m_coordinator_heard_at = BootClock::now();
  if (!m_coordinator.IsCoordinator()) {
    m_session.OnSyncedByCoordinator(requested_at, std::chrono::milliseconds(reply.store_age_ms()),
                                    reply.operator_revision(), std::chrono::milliseconds(reply.operator_age_ms()));
  }
  std::map<std::uint32_t, std::string> names;
  for (const auto& [node, member] : m_session.View().Members()) {
    names.emplace(NodeHash(node), node);
  }
  for (const proto::LoadHint& update : reply.hints()) {
    const auto name = names.find(update.node());
    if (name == names.end()) {
      continue;
    }
    TargetHint& hint = m_ingress.Hints()[name->second];
    hint.accepts = (update.flags() & 1U) != 0;
    hint.cold = (update.flags() & 2U) != 0;
    hint.load = update.load_permille() / 1000.0;
    hint.service_s = std::max<std::uint32_t>(update.service_us(), 1000) / 1e6;
    hint.in_flight_at_report = hint.in_flight;
    hint.version = update.version();
    hint.slots = static_cast<int>(update.slots());
  }
  m_ingress.Chooser().OnHintsChanged();
  m_ingress.OnViewChanged();
}

// Fetches the changes that this node has missed from a random other node.
void ReportExchange::SyncFromRandomMember(TimePoint now) {
  if (now < m_next_sync_at) {
    return;
  }
  m_next_sync_at = now + kSyncPeriod;
  const proto::MeshMember* member = RandomWatcher();
  if (member == nullptr) {
    return;
  }
  proto::MeshReport report;
  report.set_node(m_session.Self().node());
  report.set_incarnation(m_session.Self().incarnation());
  report.set_revision(std::max<std::int64_t>(m_session.View().Revision(), 1));
  m_peers.Call(AddressOf(*member), kReportPath, report.SerializeAsString(), m_no_body, kReportTimeout,
               [this](const MeshCallResult& result) {
                 proto::MeshReply reply;
                 if (result.outcome == MeshCallOutcome::kAnswered && reply.ParseFromString(result.answer.head) &&
                     reply.revision() != 0) {
                   m_session.Merge(reply.items(), reply.revision(), std::chrono::milliseconds(reply.store_age_ms()));
                 }
               });
}

std::string ReportExchange::OnReport(const std::string& message) {
  proto::MeshReport report;
  proto::MeshReply reply;
  if (!report.ParseFromString(message)) {
    m_log.Write(LogCategory::kFailure, "peer_message_unreadable", {{"path", kReportPath}});
    return "";
  }
  const TimePoint now = BootClock::now();
  reply.set_store_age_ms(m_session.ReplicaAgeMs(now));
  reply.set_operator_revision(m_session.View().OperatorRevision());
  reply.set_operator_age_ms(m_session.OperatorAgeMs(now));
  if (report.revision() > 0) {
    // A synchronization request: the sender lacks changes after its revision. It does not describe its target.
    reply.set_revision(m_session.View().Revision());
    for (proto::ViewItem& item : m_session.View().ItemsAfterRevision(report.revision() - 1)) {
      *reply.add_items() = std::move(item);
    }
  } else {
    HandleReport(now, report, &reply);
  }
  return reply.SerializeAsString();
}

std::string ReportExchange::OnPush(const std::string& message) {
  proto::MeshPush push;
  proto::MeshPushReply reply;
  if (!push.ParseFromString(message)) {
    m_log.Write(LogCategory::kFailure, "peer_message_unreadable", {{"path", kPushPath}});
    reply.set_needs_whole(true);
  } else if (!m_session.Merge(push.items(), push.revision(), std::chrono::milliseconds(push.store_age_ms()))) {
    reply.set_needs_whole(true);
  }
  return reply.SerializeAsString();
}

void ReportExchange::Push(const proto::MeshMember& to,
                          const proto::MeshPush& push,
                          std::function<void(PushOutcome)> done) {
  m_peers.Call(AddressOf(to), kPushPath, push.SerializeAsString(), m_no_body, kPushTimeout,
               [done = std::move(done)](const MeshCallResult& result) {
                 proto::MeshPushReply reply;
                 if (result.outcome != MeshCallOutcome::kAnswered || !reply.ParseFromString(result.answer.head)) {
                   done(PushOutcome::kUnconfirmed);
                 } else {
                   done(reply.needs_whole() ? PushOutcome::kNeedsFullTable : PushOutcome::kApplied);
                 }
               });
}

const proto::MeshMember* ReportExchange::RandomMember(const std::function<bool(const proto::MeshMember&)>& selects) {
  const TimePoint now = BootClock::now();
  std::vector<const proto::MeshMember*> others;
  for (const auto& [node, member] : m_session.View().Members()) {
    if (node != m_session.Self().node() && m_ingress.Hints()[node].avoid_until < now && selects(member)) {
      others.push_back(&member);
    }
  }
  return others.empty() ? nullptr : others[RandomNumber() % others.size()];
}

const proto::MeshMember* ReportExchange::RandomWatcher() {
  const MeshView& view = m_session.View();
  // Every other time any node is asked, since all watchers of the domain may be cut off from the store.
  m_sync_within_domain = !m_sync_within_domain;
  const proto::MeshMember* watcher = !m_sync_within_domain ? nullptr : RandomMember([&](const auto& member) {
    return member.domain() == m_session.Self().domain() && WatchesForDomain(view, member);
  });
  return watcher != nullptr ? watcher : RandomMember();
}

}  // namespace magnoliaarch
