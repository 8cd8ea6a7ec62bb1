#include "mesh_rollout_role_p.h"

#include <algorithm>
#include <utility>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

constexpr Duration kDecisionPeriod = std::chrono::milliseconds(100);
constexpr Duration kFailedWriteRetryDelay = std::chrono::milliseconds(400);
// Reports that were sent just before a phase began may not show its effect.
constexpr Duration kPhaseSettleTime = std::chrono::milliseconds(200);
// A target's report that is older says nothing about whether it accepts requests.
constexpr Duration kMaxReportAge = std::chrono::seconds(2);
// A canary at this load has a request on each of its slots, so that another one would wait.
constexpr double kFullLoad = 1;
// Requests of a sharded service that the plan gives to an unproven version, as a share of what the credits allow: the
// rate of the moved keys may rise.
constexpr double kPlannedKeyShare = 0.5;
constexpr double kMillion = 1e6;
constexpr std::uint32_t kFirstServerErrorStatus = 500;

VersionSendEnd EndOf(const SendResult& result) {
  if (result.outcome != SendOutcome::kAnswered) {
    return result.outcome == SendOutcome::kNotSent ? VersionSendEnd::kNotReached : VersionSendEnd::kFailed;
  }
  switch (result.answer.outcome()) {
    case proto::MESH_ANSWERED:
      return result.answer.status() >= kFirstServerErrorStatus ? VersionSendEnd::kFailed : VersionSendEnd::kServed;
    case proto::MESH_REJECTED:
      return VersionSendEnd::kRejected;
    case proto::MESH_UNKNOWN:
      return VersionSendEnd::kFailed;
    default:
      return VersionSendEnd::kNotReached;
  }
}

const char* NameOf(VersionSendEnd end) {
  switch (end) {
    case VersionSendEnd::kNotReached:
      return "not-reached";
    case VersionSendEnd::kRejected:
      return "rejected";
    case VersionSendEnd::kServed:
      return "served";
    case VersionSendEnd::kFailed:
      break;
  }
  return "failed";
}

template <typename State>
const State* Find(const std::map<std::string, State>& states, const std::string& service) {
  const auto it = states.find(service);
  return it != states.end() ? &it->second : nullptr;
}

const proto::RolloutRecord* RecordOf(const MeshView& view, const std::string& service) {
  const RolloutRecordState* state = Find(view.RolloutRecords(), service);
  // A record that could never be read has no service.
  return state != nullptr && !state->record.service().empty() ? &state->record : nullptr;
}

const RolloutOrder* OrderOf(const MeshView& view, const std::string& service) {
  const RolloutOrderState* state = Find(view.RolloutOrders(), service);
  return state != nullptr ? &state->order : nullptr;
}

}  // namespace

RolloutRole::RolloutRole(const MeshWire& wire,
                         MeshLog& log,
                         MetricsRegistry& metrics,
                         const RolloutBounds& bounds,
                         RolloutRoleHooks hooks)
    : m_wire(wire),
      m_log(log),
      m_metrics(metrics),
      m_bounds(bounds),
      m_hooks(std::move(hooks)),
      m_random(RandomNumber()) {}

ReportExtension RolloutRole::Reports() {
  ReportExtension extension;
  extension.on_report = [this](TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply) {
    OnReport(now, report, reply);
  };
  extension.on_reply = [this](TimePoint now, const proto::MeshReply& reply) { OnReply(now, reply); };
  return extension;
}

void RolloutRole::OnTick(TimePoint now) {
  if (!IsOn()) {
    return;
  }
  if (now < m_next_decision_at) {
    return;
  }
  m_next_decision_at = now + kDecisionPeriod;
  UpdateTargets();
  if (!m_hooks.is_coordinator()) {
    return;
  }
  // Evidence outlives the role, which a coordinator without a path to the store may lose and regain every second.
  std::erase_if(m_targets, [&](const auto& entry) { return m_hooks.view().FindMember(entry.first) == nullptr; });
  for (const auto& [service, exposure] : m_exposures) {
    Decide(service, now);
  }
}

void RolloutRole::OnViewChanged() {
  if (IsOn()) {
    UpdateExposures();
  }
}

// ---- Exposure ----

void RolloutRole::UpdateExposures() {
  const MeshView& view = m_hooks.view();
  std::set<std::string> services;
  for (const auto& [service, order] : view.RolloutOrders()) {
    services.insert(service);
  }
  for (const auto& [service, record] : view.RolloutRecords()) {
    services.insert(service);
  }
  std::erase_if(m_exposures, [&](const auto& entry) { return !services.contains(entry.first); });
  for (const std::string& service : services) {
    m_exposures[service].Update(OrderOf(view, service), RecordOf(view, service), FirstCredit());
  }
  UpdateTargets();
}

// Sums up to half of the slack over all nodes on average; the rest is for nodes that learn the order late.
double RolloutRole::FirstCredit() {
  const auto nodes = static_cast<double>(std::max<std::size_t>(m_hooks.view().Members().size(), 1));
  const double portion = std::min(1.0, m_bounds.expose_slack / nodes);
  return std::uniform_real_distribution<>(0, 1)(m_random) < portion ? std::uniform_real_distribution<>(0, 1)(m_random)
                                                                    : 0;
}

void RolloutRole::UpdateTargets() {
  if (m_exposures.empty()) {
    return;
  }
  std::map<std::string, std::vector<ExposureTarget>> targets;
  const std::map<std::string, TargetHint>& hints = m_hooks.hints();
  for (const auto& [node, member] : m_hooks.view().Members()) {
    const auto hint = hints.find(node);
    if (hint != hints.end() && m_exposures.contains(member.service())) {
      targets[member.service()].push_back(ExposureTarget{node, hint->second.version, hint->second.accepts});
    }
  }
  for (auto& [service, exposure] : m_exposures) {
    exposure.SetTargets(std::move(targets[service]));
  }
}

std::uint32_t RolloutRole::VersionOf(const std::string& node) const {
  const std::map<std::string, TargetHint>& hints = m_hooks.hints();
  const auto hint = hints.find(node);
  return hint != hints.end() ? hint->second.version : 0;
}

bool RolloutRole::AdmitsTarget(const proto::MeshRequest& request, const std::string& node) const {
  const RolloutExposure* exposure = Find(m_exposures, request.service());
  if (exposure == nullptr) {
    return true;
  }
  const std::map<std::string, TargetHint>& hints = m_hooks.hints();
  const auto hint = hints.find(node);
  const std::uint32_t version = hint != hints.end() ? hint->second.version : 0;
  const bool keyed = request.has_key();
  const MeshService* service =
      m_hooks.view().Config() != nullptr ? m_hooks.view().Config()->FindService(request.service()) : nullptr;
  const bool only_target = keyed && service != nullptr && service->sharded;
  if (!exposure->Admits(BootClock::now(), version, node, only_target)) {
    return false;
  }
  const bool is_exposed = exposure->IsCandidate(version) && exposure->CostFactor(version) < 1;
  return only_target || !is_exposed || hint->second.load < kFullLoad;
}

double RolloutRole::CostFactor(const proto::MeshRequest& request, const std::string& node) const {
  const RolloutExposure* exposure = Find(m_exposures, request.service());
  return exposure != nullptr ? exposure->CostFactor(VersionOf(node)) : 1;
}

void RolloutRole::OnSend(const proto::MeshRequest& request, const std::string& node) {
  const auto exposure = m_exposures.find(request.service());
  if (exposure != m_exposures.end()) {
    exposure->second.OnSend(VersionOf(node));
  }
}

void RolloutRole::OnSendEnded(const EndedSend& send) {
  const auto exposure = m_exposures.find(send.request.service());
  if (exposure == m_exposures.end()) {
    return;
  }
  const std::uint32_t version = VersionOf(send.node);
  const VersionSendEnd end = EndOf(send.result);
  exposure->second.OnSendEnded(version, end);
  m_metrics
      .GetCounter("magnolia_mesh_rollout_sends_total", "Sends to targets of services with a roll-out, by version.",
                  {{"service", send.request.service()},
                   {"version", exposure->second.IsCandidate(version) ? "new" : "other"},
                   {"end", NameOf(end)}})
      .Add();
}

bool RolloutRole::LocalTargetMayServe(const std::string& service, const std::string& version) const {
  const RolloutExposure* exposure = Find(m_exposures, service);
  return exposure == nullptr || exposure->MayServe(VersionHash(version));
}

// ---- Exchange with the coordinator ----

void RolloutRole::OnReport(TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply) {
  if (!IsOn()) {
    return;
  }
  const proto::MeshMember* member = m_hooks.view().FindMember(report.node());
  if (member != nullptr && IsSteered(member->service())) {
    const proto::VersionEvidence& counts = report.target().version();
    ReportedTarget& target = m_targets[report.node()];
    if (target.version != counts.version()) {
      target = ReportedTarget();
    }
    target.service = member->service();
    target.version = counts.version();
    target.report = report.target();
    target.stopping = report.stopping();
    target.received_at = now;
    const proto::RolloutRecord* record = RecordOf(m_hooks.view(), target.service);
    const bool candidate = record != nullptr && record->to() == counts.version();
    target.evidence.Update(now, counts, report.target().cold(), candidate);
  }
  for (const auto& [service, exposure] : m_exposures) {
    const proto::RolloutRecord* record = RecordOf(m_hooks.view(), service);
    const Decider* decider = Find(m_deciders, service);
    const bool rolled_back = record != nullptr && record->phase() == proto::ROLLOUT_ROLLED_BACK;
    if (rolled_back || (decider != nullptr && decider->verdict)) {
      reply->add_stopped_rollouts(service);
    }
  }
}

void RolloutRole::OnReply(TimePoint now, const proto::MeshReply& reply) {
  const std::set<std::string> stopped(reply.stopped_rollouts().begin(), reply.stopped_rollouts().end());
  for (auto& [service, exposure] : m_exposures) {
    exposure.OnDecider(now, stopped.contains(service));
  }
}

// ---- Decisions ----

RolloutInput RolloutRole::BuildInput(const std::string& service,
                                     const proto::RolloutRecord& record,
                                     TimePoint now) const {
  RolloutInput input;
  input.bounds = m_bounds;
  input.elapsed = std::chrono::milliseconds(m_hooks.unix_ms() - record.started_ms());
  const Decider* decider = Find(m_deciders, service);
  const TimePoint phase_since = decider != nullptr ? decider->phase_since : now;
  input.in_phase = now - phase_since;
  const MeshView& view = m_hooks.view();
  const Duration window = EvidenceWindowOf(record.phase());
  std::set<std::string> candidates;
  for (const auto& [node, member] : view.Members()) {
    if (member.service() != service) {
      continue;
    }
    const ReportedTarget* known = Find(m_targets, node);
    if (known == nullptr || known->received_at < phase_since + kPhaseSettleTime) {
      input.targets_known = false;
    }
    if (known == nullptr || known->version.empty()) {
      continue;
    }
    VersionTargetEvidence target;
    target.node = node;
    target.candidate = known->version == record.to();
    target.accepts = known->report.accepts() && !known->stopping && now - known->received_at < kMaxReportAge &&
                     !view.IsEvacuated(member.domain());
    target.cold = known->report.cold();
    target.slots = known->report.slots();
    target.running = known->report.version().running();
    target.recent = known->evidence.Recent(now, window);
    target.slices = known->evidence.RecentSlices(now);
    target.total = known->evidence.Total();
    if (target.candidate) {
      candidates.insert(node);
    }
    input.targets.push_back(std::move(target));
  }
  const MeshService* config = view.Config() != nullptr ? view.Config()->FindService(service) : nullptr;
  const TableState* table = view.Table(service);
  if (config != nullptr && config->sharded && table != nullptr) {
    for (const proto::KeyRange& range : table->table.ranges()) {
      input.foreign_ranges += candidates.contains(range.owner().node()) && !range.has_successor() ? 0 : 1;
    }
  }
  return input;
}

bool RolloutRole::FollowOrder(const std::string& service, Decider& decider, TimePoint now) {
  const RolloutOrder* order = OrderOf(m_hooks.view(), service);
  const proto::RolloutRecord* record = RecordOf(m_hooks.view(), service);
  if (order != nullptr) {
    decider.order_missing_since = TimePoint();
  } else if (decider.order_missing_since == TimePoint()) {
    decider.order_missing_since = now;
  }
  const Duration missing_for = order == nullptr ? now - decider.order_missing_since : Duration(0);
  proto::RolloutRecord next = record != nullptr ? *record : proto::RolloutRecord();
  switch (EffectOfOrder(order, record, missing_for)) {
    case OrderEffect::kNone:
      return false;
    case OrderEffect::kBegin:
      next = BeginRollout(*order, record, m_bounds, m_hooks.unix_ms());
      break;
    case OrderEffect::kAbandon:
      decider.verdict = RolloutStep{proto::ROLLOUT_ROLLED_BACK, record->step(), record->canaries(),
                                    order == nullptr ? "the order was withdrawn" : "another version was ordered"};
      ApplyStep(*decider.verdict, m_bounds, &next);
      break;
    case OrderEffect::kExtend:
      next.set_duration_ms(BeginRollout(*order, record, m_bounds, 0).duration_ms());
      next.set_reason("ordered again with another duration");
      break;
    case OrderEffect::kWithdraw:
      next.set_withdrawn(true);
      break;
  }
  WriteRecord(service, next, now);
  return true;
}

void RolloutRole::Decide(const std::string& service, TimePoint now) {
  Decider& decider = m_deciders[service];
  const proto::RolloutRecord* record = RecordOf(m_hooks.view(), service);
  if (record != nullptr && (decider.phase_since == TimePoint() || decider.phase != record->phase())) {
    decider.phase = record->phase();
    decider.phase_since = now;
  }
  if (decider.write_pending) {
    return;
  }
  if (record == nullptr || IsFinal(record->phase())) {
    decider.verdict.reset();
  }
  // A verdict is obeyed before the store has it, and stays although the evidence may be gone when the store is back.
  std::optional<RolloutStep> step = decider.verdict;
  if (record != nullptr && !step) {
    step = DecideRollout(*record, BuildInput(service, *record, now));
    if (step && step->phase == proto::ROLLOUT_ROLLED_BACK) {
      decider.verdict = step;
    }
  }
  if (now < decider.next_write_at || FollowOrder(service, decider, now) || !step) {
    return;
  }
  proto::RolloutRecord next = *record;
  ApplyStep(*step, m_bounds, &next);
  WriteRecord(service, next, now);
}

void RolloutRole::WriteRecord(const std::string& service, const proto::RolloutRecord& record, TimePoint now) {
  Decider& decider = m_deciders[service];
  decider.write_pending = true;
  decider.next_write_at = now + kFailedWriteRetryDelay;
  const MeshView& view = m_hooks.view();
  const RolloutRecordState* state = Find(view.RolloutRecords(), service);
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{RolloutKey(service), state != nullptr ? state->revision : 0});
  txn.compares.push_back(StoreCompare{CoordinatorKey(), view.CoordinatorRevision()});
  txn.puts.push_back(StorePut{RolloutKey(service), record.SerializeAsString(), 0});
  txn.puts.push_back(m_wire.RolloutStatus(service, record.to(), StateOf(record.phase())));
  RolloutTally candidate;
  RolloutTally others;
  for (const RolloutEvidenceRow& row : EvidenceOf(service)) {
    (row.candidate ? candidate : others) += row.tally;
  }
  m_hooks.write(std::move(txn), [this, service, record, candidate, others](const absl::StatusOr<StoreWrite>& written) {
    Decider& written_decider = m_deciders[service];
    written_decider.write_pending = false;
    const bool is_written = written.ok() && written->succeeded;
    if (is_written) {
      written_decider.next_write_at = TimePoint();
    }
    m_log.Write(LogCategory::kState, "rollout_changed",
                {{"service", service},
                 {"to", record.to()},
                 {"phase", NameOf(record.phase())},
                 {"step", record.step()},
                 {"share_ppm", record.share_ppm()},
                 {"canaries", record.canaries()},
                 {"reason", record.reason()},
                 {"answers", candidate.answers},
                 {"failures", candidate.failures},
                 {"other_answers", others.answers},
                 {"other_failures", others.failures},
                 {"elapsed_ms", m_hooks.unix_ms() - record.started_ms()},
                 {"written", is_written}});
  });
}

// ---- Keys ----

void RolloutRole::RestrictPlan(const std::string& service, KeyPlanInput* input) const {
  const RolloutExposure* exposure = Find(m_exposures, service);
  if (exposure == nullptr) {
    return;
  }
  const proto::RolloutRecord* record = RecordOf(m_hooks.view(), service);
  const Decider* decider = Find(m_deciders, service);
  const bool stopped = decider != nullptr && decider->verdict;
  const bool exposing = record == nullptr || record->phase() == proto::ROLLOUT_EXPOSING;
  double offered = 0;
  for (const auto& [node, target] : input->targets) {
    offered += target.offered;
  }
  std::uint32_t canaries = 0;
  for (auto& [node, target] : input->targets) {
    const std::uint32_t version = VersionOf(node);
    if (!exposure->MayServe(version) || (exposure->IsCandidate(version) && stopped)) {
      target.leaving = true;
      target.accepts = false;
    } else if (exposure->IsCandidate(version) && exposing) {
      const bool is_canary = record != nullptr && canaries < record->canaries();
      canaries += is_canary ? 1 : 0;
      target.accepts = target.accepts && is_canary;
      if (is_canary) {
        const double rate = offered * record->share_ppm() / kMillion * kPlannedKeyShare / record->canaries();
        target.slots = std::min(target.slots, std::max(rate * target.service_s, 1e-3));
      }
    } else if (!exposure->IsCandidate(version) && record != nullptr && record->phase() == proto::ROLLOUT_FINISHING) {
      target.leaving = true;
      target.accepts = false;
    }
  }
}

std::vector<RolloutEvidenceRow> RolloutRole::EvidenceOf(const std::string& service) const {
  std::map<std::pair<std::string, bool>, RolloutTally> sums;
  const proto::RolloutRecord* record = RecordOf(m_hooks.view(), service);
  for (const auto& [node, target] : m_targets) {
    if (target.service == service && record != nullptr) {
      for (const auto& [route, tally] : target.evidence.Total()) {
        sums[{route, target.version == record->to()}] += tally;
      }
    }
  }
  std::vector<RolloutEvidenceRow> rows;
  rows.reserve(sums.size());
  for (const auto& [key, tally] : sums) {
    rows.push_back(RolloutEvidenceRow{key.first, key.second, tally});
  }
  return rows;
}

}  // namespace magnoliaarch
