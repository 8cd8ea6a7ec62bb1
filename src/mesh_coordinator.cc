#include "mesh_coordinator_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duration_p.h"
#include "mesh_duties_p.h"
#include "mesh_rollout_p.h"

namespace magnoliaarch {
namespace {

// Candidates delay their attempt by the hash of their name, within this time, so that they do not all write at once.
constexpr Duration kElectionSpread = std::chrono::milliseconds(300);
constexpr Duration kHolderReturnTime = std::chrono::seconds(6);
constexpr Duration kElectionRetryDelay = std::chrono::milliseconds(400);
constexpr Duration kPlanPeriod = std::chrono::milliseconds(200);
// Older reports are ignored as stale; in large deployments, where nodes report less often, reports that are older than
// this many periods.
constexpr Duration kMinStaleReportAge = std::chrono::milliseconds(1500);
constexpr int kStaleReportPeriods = 2;
// Load hints are the same for all nodes, and are collected at most this often.
constexpr Duration kHintPeriod = std::chrono::milliseconds(100);
// Candidates on weak hosts leave this much time to others.
constexpr Duration kWeakHostElectionDelay = std::chrono::milliseconds(700);
// A longer gap between ticks means that this process was stalled.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(200);
// A new coordinator waits kSettleTime before it plans if all nodes and owners have reported, else kMaxSettleTime.
constexpr Duration kSettleTime = std::chrono::milliseconds(250);
constexpr Duration kMaxSettleTime = std::chrono::milliseconds(1500);
// Settle time before the first assignment of keys, when nodes may still be starting.
constexpr Duration kFirstAssignmentSettleTime = std::chrono::milliseconds(1000);
// Member records that expired while the store was unreachable are restored within this time if their nodes are alive.
constexpr Duration kMemberReturnGrace = std::chrono::milliseconds(2300);
constexpr Duration kStoreRecoveryTime = std::chrono::seconds(4);
// A coordinator that has not reached the store for this long resigns in favour of a node that can reach it.
constexpr Duration kResignDelay = std::chrono::milliseconds(1200);
constexpr Duration kRecentRenewalAge = std::chrono::milliseconds(1000);
constexpr Duration kResignRetryDelay = std::chrono::milliseconds(1000);
// Delay after a write that the store did not accept.
constexpr Duration kFailedWriteRetryDelay = std::chrono::milliseconds(800);
constexpr Duration kPushRetryDelay = std::chrono::milliseconds(200);
// Time constant in seconds of the service time that plans use. The speed of a target's host varies several times a
// second, so single reports are too noisy.
constexpr double kServiceDecayS = 2;
constexpr double kMilliPerUnit = 1000;
constexpr std::uint32_t kHintAccepts = 1;
constexpr std::uint32_t kHintCold = 2;

}  // namespace

CoordinatorRole::CoordinatorRole(MeshSession& session,
                                 MeshLog& log,
                                 std::string node,
                                 std::uint64_t incarnation,
                                 CoordinatorRoleHooks hooks)
    : m_session(session), m_log(log), m_node(std::move(node)), m_incarnation(incarnation), m_hooks(std::move(hooks)) {}

bool CoordinatorRole::IsCoordinator() const {
  const auto& coordinator = m_session.View().Coordinator();
  return coordinator.has_value() && coordinator->node() == m_node && coordinator->incarnation() == m_incarnation;
}

void CoordinatorRole::OnTick(TimePoint now, bool store_reachable, bool stopping) {
  const TimePoint last_tick = std::exchange(m_last_tick_at, now);
  if (last_tick != TimePoint() && now - last_tick > kMaxTickGap) {
    // Newer reports have not been read yet, so the stall must not count towards the age of the known ones.
    for (auto& [node, known] : m_reports) {
      known.received_at = std::min(known.received_at + (now - last_tick), now);
    }
  }
  if (!store_reachable) {
    m_store_last_unreachable_at = now;
  }
  if (store_reachable) {
    m_store_unreachable = false;
  } else if (!m_store_unreachable) {
    m_store_unreachable = true;
    m_store_unreachable_since = now;
  }
  NoteEra();
  const bool is_coordinator = IsCoordinator();
  if (is_coordinator != m_was_coordinator) {
    m_was_coordinator = is_coordinator;
    m_log.Write(LogCategory::kState, is_coordinator ? "coordinator_began" : "coordinator_ended",
                {{"revision", m_session.View().Revision()}});
    if (is_coordinator) {
      m_coordinator_since = now;
      m_peers.clear();
      m_sent_tables.Clear();
      m_reports.clear();
      m_planners.clear();
      m_hints_collected_at = TimePoint();
    }
  }
  if (!is_coordinator) {
    if (!stopping) {
      TryAcquireRole(now);
    }
    return;
  }
  if (EraOf(m_session.View().CoordinatorRevision()) != m_session.Era() && !stopping) {
    // The store has lost the record of this node's role, or has not been read in this era yet.
    TryAcquireRole(now);
  }
  // Resigning helps only if other nodes reach the store. Recent lease renewals that they relayed show that they do.
  const bool others_reach_store = now - m_session.LeaseRenewedAt() < kRecentRenewalAge;
  if (m_store_unreachable && now - m_store_unreachable_since > kResignDelay && others_reach_store &&
      now > m_next_resign_at) {
    m_next_resign_at = now + kResignRetryDelay;
    Resign();
    return;
  }
  for (const auto& [node, member] : m_session.View().Members()) {
    PushTo(member, now);
  }
  const auto config = m_session.View().Config();
  if (config == nullptr || now - m_last_plan_at < kPlanPeriod || stopping) {
    return;
  }
  m_last_plan_at = now;
  for (const auto& [name, service] : config->services) {
    if (service.sharded && !m_pending_plan_writes.contains(name)) {
      PlanService(service, now);
    }
  }
}

// Whether the record names a node that has had no member record for longer than a lease lasts. Such a record was left
// by another writer, or its lease was.
bool CoordinatorRole::HasNoHolder(TimePoint now) {
  const auto& coordinator = m_session.View().Coordinator();
  if (!coordinator.has_value() || m_session.View().FindMember(coordinator->node()) != nullptr) {
    m_holder_absent_since = TimePoint();
    return false;
  }
  if (m_holder_absent_since == TimePoint()) {
    m_holder_absent_since = now;
  }
  return now - m_holder_absent_since > kHolderReturnTime;
}

void CoordinatorRole::TryAcquireRole(TimePoint now) {
  const auto& coordinator = m_session.View().Coordinator();
  // A record that an earlier run of a node has left behind may be replaced at once.
  const proto::MeshMember* holder =
      coordinator.has_value() ? m_session.View().FindMember(coordinator->node()) : nullptr;
  const bool role_vacant = !coordinator.has_value() || coordinator->node() == m_node ||
                           (holder != nullptr && holder->incarnation() != coordinator->incarnation()) ||
                           HasNoHolder(now);
  if (!role_vacant || !m_session.IsRegistered() || m_session.AuthorityEnd() <= now || m_role_write_pending) {
    m_next_election_at = TimePoint();
    return;
  }
  if (m_next_election_at == TimePoint()) {
    m_next_election_at = now + kElectionSpread * (NodeHash(m_node) % 64) / 64 +
                         (HasStrongerHost(m_session.View(), m_session.Self()) ? kWeakHostElectionDelay : Duration(0));
  }
  if (now < m_next_election_at) {
    return;
  }
  m_next_election_at = now + kElectionRetryDelay;
  m_role_write_pending = true;
  proto::MeshCoordinator record;
  record.set_node(m_node);
  record.set_incarnation(m_incarnation);
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{CoordinatorKey(), m_session.View().CoordinatorRevision()});
  txn.puts.push_back(StorePut{CoordinatorKey(), record.SerializeAsString(), m_session.Lease()});
  m_session.Write(std::move(txn), [this](const absl::StatusOr<StoreWrite>& written) {
    m_role_write_pending = false;
    if (!written.ok()) {
      m_next_election_at = BootClock::now() + kFailedWriteRetryDelay;
    }
  });
}

void CoordinatorRole::Resign() {
  if (!IsCoordinator() || m_role_write_pending) {
    return;
  }
  m_role_write_pending = true;
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{CoordinatorKey(), m_session.View().CoordinatorRevision()});
  txn.deletes.push_back(CoordinatorKey());
  m_log.Write(LogCategory::kState, "coordinator_resigns", {{"store_down", m_store_unreachable}});
  m_session.Write(std::move(txn),
                  [this](const absl::StatusOr<StoreWrite>& /*written*/) { m_role_write_pending = false; });
}

// ---- Replicas ----

void CoordinatorRole::OnViewChanged() {
  // Also pushed once after this node has lost the role, so that another node can take it at once.
  if (!IsCoordinator() && !m_was_coordinator) {
    return;
  }
  const TimePoint now = BootClock::now();
  for (const auto& [node, member] : m_session.View().Members()) {
    PushTo(member, now);
  }
}

void CoordinatorRole::PushTo(const proto::MeshMember& member, TimePoint now) {
  if (member.node() == m_node) {
    return;
  }
  PeerReplica& peer = m_peers[member.node()];
  if (peer.incarnation != member.incarnation()) {
    peer = PeerReplica{};
    peer.incarnation = member.incarnation();
  }
  const std::uint64_t sequence = m_session.View().Sequence();
  if (peer.push_in_flight || peer.acknowledged_sequence >= sequence || now < peer.next_push_at) {
    return;
  }
  proto::MeshPush push;
  push.set_node(m_node);
  push.set_revision(m_session.View().Revision());
  push.set_store_age_ms(m_session.ReplicaAgeMs(now));
  std::map<std::string, std::int64_t> table_revisions;
  for (proto::ViewItem& item : m_session.View().ItemsAfterSequence(peer.acknowledged_sequence)) {
    if (!item.key().starts_with(kMeshPrefix)) {
      continue;
    }
    if (item.key().starts_with(kTablePrefix) && !item.deleted()) {
      table_revisions[item.key()] = item.revision();
      const auto known_revision = peer.table_revisions.find(item.key());
      m_sent_tables.ReplaceWithPatch(known_revision != peer.table_revisions.end() ? known_revision->second : 0, &item);
    }
    *push.add_items() = std::move(item);
  }
  if (push.items().empty()) {
    peer.acknowledged_sequence = sequence;
    return;
  }
  peer.push_in_flight = true;
  peer.next_push_at = now + MinPushInterval(m_session.View().Members().size());
  m_hooks.push(
      member, push,
      [this, node = member.node(), incarnation = member.incarnation(), sequence, table_revisions](PushOutcome outcome) {
        PeerReplica& pushed_replica = m_peers[node];
        if (pushed_replica.incarnation != incarnation) {
          return;
        }
        pushed_replica.push_in_flight = false;
        switch (outcome) {
          case PushOutcome::kApplied:
            pushed_replica.acknowledged_sequence = std::max(pushed_replica.acknowledged_sequence, sequence);
            for (const auto& [key, revision] : table_revisions) {
              pushed_replica.table_revisions[key] = revision;
            }
            break;
          case PushOutcome::kNeedsFullTable:
            if (pushed_replica.table_revisions.empty()) {
              // The rejected push already contained full tables.
              pushed_replica.next_push_at = BootClock::now() + kPushRetryDelay;
              return;
            }
            pushed_replica.table_revisions.clear();
            pushed_replica.next_push_at = TimePoint();
            break;
          case PushOutcome::kUnconfirmed:
            // The node may or may not have applied the push.
            pushed_replica.table_revisions.clear();
            pushed_replica.next_push_at = BootClock::now() + kPushRetryDelay;
            return;
        }
        const proto::MeshMember* current_member = m_session.View().FindMember(node);
        if (current_member != nullptr && IsCoordinator()) {
          PushTo(*current_member, BootClock::now());
        }
      });
}

void CoordinatorRole::StoreReport(TimePoint now, const proto::MeshReport& report) {
  const proto::TargetReport& target = report.target();
  const double service_s = std::max<std::uint32_t>(target.service_us(), 1000) / 1e6;
  ReportedState& known = m_reports[report.node()];
  const bool same_life =
      known.report.target().id() == target.id() && known.report.target().start_ms() == target.start_ms();
  const double elapsed_s = Seconds(now - known.received_at);
  known.service_s += (service_s - known.service_s) * (same_life ? 1 - std::exp(-elapsed_s / kServiceDecayS) : 1);
  known.received_at = now;
  known.report = report;
}

void CoordinatorRole::OnReport(TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply) {
  reply->set_coordinator(IsCoordinator());
  if (!IsCoordinator()) {
    return;
  }
  StoreReport(now, report);
  if (m_hints_collected_at == TimePoint() || now - m_hints_collected_at >= kHintPeriod) {
    m_hints_collected_at = now;
    CollectHints(now);
  }
  *reply->mutable_hints() = m_hints;
}

Duration CoordinatorRole::MaxReportAge() const {
  return std::max(kMinStaleReportAge, ReportPeriod(m_session.View().Members().size()) * kStaleReportPeriods);
}

void CoordinatorRole::CollectHints(TimePoint now) {
  m_hints.Clear();
  const auto config = m_session.View().Config();
  if (config == nullptr) {
    return;
  }
  for (const auto& [node, known] : m_reports) {
    const proto::MeshMember* member = m_session.View().FindMember(node);
    const MeshService* service = member != nullptr ? config->FindService(member->service()) : nullptr;
    const bool is_hinted =
        service != nullptr && (!service->sharded || (m_hooks.hints_sharded && m_hooks.hints_sharded(service->name)));
    if (!is_hinted) {
      continue;
    }
    const proto::TargetReport& target = known.report.target();
    proto::LoadHint* hint = m_hints.Add();
    hint->set_node(NodeHash(node));
    hint->set_load_permille(target.load_permille());
    hint->set_service_us(target.service_us());
    hint->set_good_permille(target.good_permille());
    hint->set_slots(target.slots());
    const bool accepts = target.accepts() && !known.report.stopping() && now - known.received_at < MaxReportAge();
    hint->set_flags((accepts ? kHintAccepts : 0) | (target.cold() ? kHintCold : 0));
    hint->set_version(VersionHash(target.version().version()));
  }
}

// ---- Keys ----

void CoordinatorRole::NoteEra() {
  const std::int64_t era = m_session.Era();
  if (era == m_era) {
    return;
  }
  // Without interruption: in an era between, or before an unsettled one, another node may have had the role.
  const bool was_settled = m_session.EraSeenAt() > m_era_settled_at || m_kept_role_in_era;
  const bool had_lease = m_session.EarlierAuthorityEnd() > m_session.EraSeenAt();
  m_kept_role_in_era = m_era_known && era == m_era + 1 && was_settled && had_lease && m_was_coordinator;
  m_era = era;
  m_era_known = true;
  m_era_settled_at = m_session.EraSettledAt();
}

bool CoordinatorRole::AdoptTable(const std::string& service, proto::KeyTable* table, TimePoint now) {
  if (m_session.Era() == 0) {
    return true;
  }
  if (EraOf(m_session.View().Revision()) != m_session.Era()) {
    return false;
  }
  EraSettlement state;
  state.era = m_session.Era();
  state.is_first = !m_session.HasSeenEarlierEra();
  state.had_role = m_kept_role_in_era;
  state.grants_lapsed = now > m_session.EraSettledAt();
  state.nodes = m_session.EarlierMembers();
  state.last_fence = m_session.EarlierFence(service);
  for (const auto& [node, known] : m_reports) {
    const proto::MeshMember* member = m_session.View().FindMember(node);
    if (member != nullptr && member->incarnation() == known.report.incarnation()) {
      proto::EraReport& report = state.reports[node] = known.report.era();
      // Nodes of other services know nothing of this table that could hold up its use.
      report.set_last_fence(member->service() == service ? report.last_fence() : 0);
    }
  }
  const EraStep step = NextEraStep(state, *table);
  if (step == EraStep::kAdopt) {
    RaiseToEra(table, m_session.Era());
  }
  return step != EraStep::kWait;
}

KeyPlanInput CoordinatorRole::BuildPlanInput(const std::string& service, const proto::KeyTable& table, TimePoint now) {
  KeyPlanInput input;
  input.now = now;
  const MeshView& view = m_session.View();
  for (const auto& [node, member] : view.Members()) {
    m_absent_since.erase(node);
    const auto known = m_reports.find(node);
    if (member.service() != service || known == m_reports.end() || known->second.report.target().id().empty()) {
      continue;
    }
    const proto::MeshReport& report = known->second.report;
    const proto::TargetReport& state = report.target();
    const bool fresh = now - known->second.received_at < MaxReportAge() && report.incarnation() == member.incarnation();
    KeyTarget target;
    target.life.set_node(node);
    target.life.set_id(state.id());
    target.life.set_start_ms(state.start_ms());
    target.leaving = state.leaving() || report.stopping() || view.IsEvacuated(member.domain());
    target.accepts = fresh && state.accepts() && !target.leaving;
    target.cold = state.cold();
    target.slots = std::max<std::uint32_t>(state.slots(), 1);
    target.service_s = known->second.service_s;
    target.offered = state.offered_milli() / kMilliPerUnit;
    target.window_s = state.load_window_ms() / kMilliPerUnit;
    target.loads.assign(state.ranges().begin(), state.ranges().end());
    if (fresh && state.gone()) {
      input.ended_targets.insert(node);
    }
    input.targets.emplace(node, std::move(target));
  }
  const bool store_recovering = now - m_store_last_unreachable_at < kStoreRecoveryTime;
  for (const proto::KeyRange& range : table.ranges()) {
    const std::string& node = range.owner().node();
    // A lease that ends early in an era may have lost its last renewals with the copy, so that grants behind it are in
    // force until the leases of the earlier era have ended.
    if (view.FindMember(node) == nullptr && (m_session.Era() == 0 || now > m_session.EraSettledAt())) {
      const TimePoint absent_since = m_absent_since.try_emplace(node, now).first->second;
      if (!store_recovering || now - absent_since > kMemberReturnGrace) {
        input.lost_nodes.insert(node);
      }
    }
  }
  return input;
}

void CoordinatorRole::PlanService(const MeshService& service, TimePoint now) {
  const TableState* state = m_session.View().Table(service.name);
  proto::KeyTable table = state != nullptr ? state->table : proto::KeyTable();
  const std::uint64_t stored_fence = table.last_fence();
  if (!AdoptTable(service.name, &table, now)) {
    return;
  }
  if (table.last_fence() != stored_fence && !table.ranges().empty()) {
    WritePlan(service.name, KeyPlan{true, table, {}, "the store's era has changed"});
    return;
  }
  KeyPlanInput input = BuildPlanInput(service.name, table, now);
  if (m_hooks.restrict_plan) {
    m_hooks.restrict_plan(service.name, &input);
  }
  const auto expected_targets = static_cast<std::size_t>(
      std::count_if(m_session.View().Members().begin(), m_session.View().Members().end(),
                    [&](const auto& member) { return member.second.service() == service.name; }));
  const bool owners_known =
      std::all_of(table.ranges().begin(), table.ranges().end(),
                  [&](const proto::KeyRange& range) { return input.targets.contains(range.owner().node()); });
  const bool all_reported = input.targets.size() >= expected_targets && owners_known;
  const Duration settle_time = !all_reported            ? kMaxSettleTime
                               : table.ranges().empty() ? kFirstAssignmentSettleTime
                                                        : kSettleTime;
  if (input.targets.empty() || now - m_coordinator_since < settle_time) {
    return;
  }
  KeyPlan plan = m_planners[service.name].Plan(input, table);
  if (!plan.changed && !(state != nullptr && state->unreadable)) {
    return;
  }
  WritePlan(service.name, plan);
}

void CoordinatorRole::WritePlan(const std::string& service, const KeyPlan& plan) {
  const TableState* state = m_session.View().Table(service);
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{TableKey(service), state != nullptr ? state->revision : 0});
  for (const std::string& node : plan.required_absent) {
    txn.compares.push_back(StoreCompare{MemberKey(node), 0});
  }
  txn.puts.push_back(StorePut{TableKey(service), PackTable(plan.table), 0});
  m_pending_plan_writes.insert(service);
  m_session.Write(std::move(txn), [this, name = service, reason = plan.reason, ranges = plan.table.ranges_size(),
                                   fence = plan.table.last_fence()](const absl::StatusOr<StoreWrite>& written) {
    m_pending_plan_writes.erase(name);
    if (!written.ok()) {
      m_last_plan_at = BootClock::now() + kFailedWriteRetryDelay;
    }
    const bool is_written = written.ok() && written->succeeded;
    m_log.Write(
        LogCategory::kState, "keys_planned",
        {{"service", name}, {"reason", reason}, {"ranges", ranges}, {"last_fence", fence}, {"written", is_written}});
  });
}

}  // namespace magnoliaarch
