#include "mesh_target_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "http_headers_p.h"

namespace magnoliaarch {
namespace {

// A leaving sharded target serves its keys until the successors hold them, but at the latest until this long before the
// drain limit.
constexpr Duration kDrainMargin = std::chrono::milliseconds(500);
// The same margin for an evacuation. Longer, because a node learns of an evacuation some time after its
// acknowledgement.
constexpr Duration kEvacuateMargin = std::chrono::milliseconds(2500);
// A target with at least kMinFailuresForSilence failures and no contact for this long counts as silent.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1200);
constexpr int kMinFailuresForSilence = 2;
// Share of the configured overage above the cold rate that is used. Below 1 because the overage is a limit, not a goal.
constexpr double kColdOverageShare = 0.5;
// Time after the deadline within which the answer may arrive, because the target may answer as late as the deadline.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(120);
// A request with less time left is not sent.
constexpr Duration kMinTimeForSend = std::chrono::milliseconds(5);
// Maximum number of connections for requests. The target closes connections above its own limit, which is higher and
// so leaves some for health checks and grants.
constexpr std::size_t kMaxConnections = 96;
// Maximum number of connections for grants and releases.
constexpr std::size_t kMaxKeyConnections = 24;
// Minimum time between immediate reports of an overloaded target.
constexpr Duration kOverloadReportInterval = std::chrono::milliseconds(200);
constexpr double kOfferedDecayS = 1.5;
// Sequence of the first heartbeat of a life (one run of the target process).
constexpr std::uint64_t kFirstSequence = 1;
// HTTP status of a target that does not hold the request's key or is not the addressed one.
constexpr int kMisdirected = 421;
// HTTP statuses from this one on are server errors.
constexpr int kServerError = 500;
// A target with a higher share of good ends is not worth a field in each answer.
constexpr double kSoundGoodShare = 0.95;

// A target may refuse a request before it has read its id, and may send a duplicate of an earlier refusal. A refusal
// without an id certainly belongs to the request only if no other request has used the connection.
AnswerMatch OwnerOf(const TargetAnswerInfo& info, bool only_request) {
  if (info.matches_request) {
    return AnswerMatch::kThisRequest;
  }
  if (info.has_request_id || !info.not_run) {
    return AnswerMatch::kOtherRequest;
  }
  return only_request ? AnswerMatch::kThisRequest : AnswerMatch::kAmbiguous;
}

}  // namespace

MeshTarget::MeshTarget(asio::io_context& context,
                       TimerQueue& timers,
                       const MeshWire& wire,
                       MeshLog& log,
                       MeshTargetOptions options,
                       MeshTargetHooks hooks)
    : m_timers(timers),
      m_wire(wire),
      m_log(log),
      m_options(std::move(options)),
      m_address(fmt::format("{}:{}", m_options.ip, m_options.port)),
      m_hooks(std::move(hooks)),
      m_client(context, ClientOptions()),
      m_key_client(context, HttpClientOptions{m_options.ip, m_options.port, kMaxKeyConnections}),
      m_grants(m_key_client, m_wire, m_log, m_address, GrantHooks()) {}

HttpClientOptions MeshTarget::ClientOptions() const {
  HttpClientOptions options{m_options.ip, m_options.port, kMaxConnections};
  options.budget = m_options.budget;
  return options;
}

KeyGrantsHooks MeshTarget::GrantHooks() {
  KeyGrantsHooks hooks;
  hooks.authority_end = m_hooks.authority_end;
  hooks.is_earlier_fence = m_hooks.is_earlier_fence;
  hooks.on_contact = [this] {
    OnContact();
    m_consecutive_failures = 0;
  };
  hooks.on_connection_refused = [this] { OnConnectionRefused(); };
  hooks.on_no_answer = [this] { ++m_consecutive_failures; };
  hooks.on_granted = [this] { RetryHeldRequests(); };
  hooks.on_call_settled = [this] { Reconcile(BootClock::now()); };
  hooks.on_released = m_hooks.on_released;
  hooks.on_fences_refused = m_hooks.on_fences_refused;
  return hooks;
}

// The returned pointer is valid until the view gets another configuration.
const MeshService* MeshTarget::Service() const {
  const auto config = m_hooks.view().Config();
  return config != nullptr && m_heartbeat ? config->FindService(m_heartbeat->service) : nullptr;
}

bool MeshTarget::IsSharded() const {
  const MeshService* service = Service();
  return service != nullptr && service->sharded;
}

void MeshTarget::ApplyColdLimit() {
  const MeshService* service = Service();
  const double rate = service != nullptr ? service->cold_rate : 0;
  const MeshBounds& bounds = *m_options.bounds;
  const double aim = rate * (1 + (bounds.cold_overage - 1) * kColdOverageShare);
  const double limit = std::min(aim, rate * bounds.cold_overage + bounds.cold_slack);
  m_admission_queue.SetColdLimit(m_cold_until, rate > 0 ? static_cast<std::uint32_t>(std::max(1.0, limit)) : 0);
}

bool MeshTarget::IsLeaving() const {
  return m_leaving_since.has_value() || m_evacuated_since.has_value() || m_stopping;
}

TimePoint MeshTarget::ServeDeadline() const {
  TimePoint end = TimePoint::max();
  if (m_leaving_since) {
    end = std::min(end, *m_leaving_since + m_options.bounds->drain - kDrainMargin);
  }
  if (m_evacuated_since) {
    end = std::min(end, *m_evacuated_since + m_options.bounds->evacuate - kEvacuateMargin);
  }
  return end;
}

std::optional<proto::MeshReason> MeshTarget::CurrentRefusal(TimePoint now) const {
  // Without a configuration the target's limits are unknown.
  if (!m_heartbeat || m_ended || m_silent || m_unconfirmed || Service() == nullptr) {
    return proto::MESH_TARGET_DOWN;
  }
  if (m_refuses_new) {
    return proto::MESH_DRAINING;
  }
  // The keys of a sharded service move first, so that they stay served.
  if (!IsSharded() && m_hooks.admits_version && !m_hooks.admits_version(m_heartbeat->version)) {
    return proto::MESH_DRAINING;
  }
  const bool balanced_leave = (m_leaving_since || m_evacuated_since) && !IsSharded();
  if (balanced_leave || now >= ServeDeadline()) {
    return proto::MESH_DRAINING;
  }
  return std::nullopt;
}

bool MeshTarget::MayServe(TimePoint now) const {
  return !CurrentRefusal(now).has_value();
}

// ---- Requests ----

KeyGrants::KeyState MeshTarget::StateOfKey(std::uint32_t key, TimePoint now, std::string* owner) const {
  const TableState* table = m_hooks.view().Table(m_heartbeat->service);
  return m_grants.KeyStateOf(table != nullptr ? table->Find(key) : nullptr, key, now, owner);
}

void MeshTarget::Handle(AdmissionTicket ticket,
                        proto::MeshRequest request,
                        std::shared_ptr<const std::string> body,
                        Reply reply) {
  const TimePoint now = BootClock::now();
  m_offered_count += 1;
  ActiveRequest active;
  active.arrived = now;
  active.expires = now + std::chrono::milliseconds(request.time_left_ms());
  active.request = std::move(request);
  active.inner_route = m_hooks.is_inner && m_hooks.is_inner(active.request);
  active.request.set_inner(active.request.inner() || active.inner_route);
  active.body = std::move(body);
  active.reply = std::move(reply);
  const bool keyed = active.request.has_key();
  const std::uint32_t key = active.request.key();
  m_requests.emplace(ticket, std::move(active));
  if (keyed && IsSharded()) {
    m_load_meter.OnRequest(now, key);
  }
  Admit(ticket);
}

void MeshTarget::Admit(AdmissionTicket ticket) {
  const TimePoint now = BootClock::now();
  ActiveRequest& active = m_requests.at(ticket);
  const proto::MeshRequest& request = active.request;
  if (const auto reason = CurrentRefusal(now)) {
    Refuse(ticket, *reason, Duration(0), "");
    return;
  }
  if (request.service() != m_heartbeat->service) {
    Refuse(ticket, proto::MESH_TARGET_DOWN, Duration(0), "");
    return;
  }
  if (request.has_key() && IsSharded()) {
    std::string owner;
    const KeyGrants::KeyState state = StateOfKey(request.key(), now, &owner);
    if (state == KeyGrants::KeyState::kElsewhere) {
      Refuse(ticket, proto::MESH_NOT_OWNER, Duration(0), owner);
      return;
    }
    if (state == KeyGrants::KeyState::kPending) {
      active.held = true;
      return;
    }
  }
  active.held = false;
  if (m_hooks.refuse_new && !request.inner()) {
    if (const std::optional<Duration> retry_after = m_hooks.refuse_new(request, now)) {
      Refuse(ticket, proto::MESH_BUSY, *retry_after, "");
      return;
    }
  }
  AdmissionRequest admission;
  admission.inner = request.inner();
  admission.ticket = ticket;
  admission.route = request.route();
  admission.priority = request.priority();
  admission.objective = active.arrived + std::chrono::milliseconds(request.objective_left_ms());
  admission.expires = active.expires;
  const AdmissionResult result = m_admission_queue.Submit(now, admission);
  switch (result.kind) {
    case AdmissionResult::Kind::kSend:
      SendToTarget(ticket);
      break;
    case AdmissionResult::Kind::kQueued:
      ArmQueueTimer();
      break;
    case AdmissionResult::Kind::kRefused:
      if (now - m_overload_reported_at > kOverloadReportInterval) {
        m_overload_reported_at = now;
        m_hooks.on_changed();
      }
      Refuse(ticket, m_admission_queue.IsCold(now) ? proto::MESH_COLD : proto::MESH_BUSY, result.retry_after, "");
      break;
  }
}

void MeshTarget::RetryHeldRequests() {
  std::vector<AdmissionTicket> held;
  for (const auto& [ticket, active] : m_requests) {
    if (active.held) {
      held.push_back(ticket);
    }
  }
  const TimePoint now = BootClock::now();
  for (const AdmissionTicket ticket : held) {
    const auto it = m_requests.find(ticket);
    if (it == m_requests.end()) {
      continue;
    }
    const Duration objective = std::chrono::milliseconds(std::max(it->second.request.objective_left_ms(), 100));
    if (now - it->second.arrived > objective || now + kMinTimeForSend >= it->second.expires) {
      Refuse(ticket, proto::MESH_NOT_OWNER, Duration(0), "");
    } else {
      Admit(ticket);
    }
  }
}

// Sends a request that has been admitted. Repeats all checks whose result may have changed while it was queued.
void MeshTarget::SendToTarget(AdmissionTicket ticket) {
  const TimePoint now = BootClock::now();
  ActiveRequest& active = m_requests.at(ticket);
  const auto reject = [&](proto::MeshReason reason, const std::string& owner) {
    m_admission_queue.OnFinished(now, ticket, false);
    Refuse(ticket, reason, Duration(0), owner);
  };
  if (const auto reason = CurrentRefusal(now)) {
    reject(*reason, "");
    return;
  }
  if (active.request.has_key() && IsSharded()) {
    std::string owner;
    if (StateOfKey(active.request.key(), now, &owner) != KeyGrants::KeyState::kGranted) {
      reject(proto::MESH_NOT_OWNER, owner);
      return;
    }
  }
  const Duration time_left = active.expires - now;
  if (time_left < kMinTimeForSend) {
    reject(proto::MESH_EXPIRED, "");
    return;
  }
  active.running = true;
  active.sent_at = now;
  if (m_hooks.on_run_started) {
    m_hooks.on_run_started(active.request);
  }
  const std::string id = active.request.id();
  HttpMessage message = m_wire.TargetRequest(active.request, "", m_heartbeat->id, m_address, time_left);
  message.has_body = message.has_body || !active.body->empty();
  message.shared_body = std::move(active.body);
  active.call = m_client.Send(
      std::move(message), time_left + kAnswerGrace,
      [this, id](const HttpMessage& answer, bool only_request) {
        return OwnerOf(m_wire.ReadTargetAnswer(answer, id), only_request);
      },
      [this, ticket](HttpResult result) { OnResult(ticket, std::move(result)); }, ConnectionConstraint{id});
}

void MeshTarget::OnResult(AdmissionTicket ticket, HttpResult result) {
  const auto it = m_requests.find(ticket);
  if (it == m_requests.end()) {
    return;
  }
  const TimePoint now = BootClock::now();
  proto::MeshAnswer answer;
  bool executed = false;
  SendEnd end = SendEnd::kFailed;
  switch (result.outcome) {
    case HttpOutcome::kAnswered: {
      OnContact();
      m_consecutive_failures = 0;
      if (std::exchange(m_silent, false)) {
        m_hooks.on_changed();
      }
      const TargetAnswerInfo info = m_wire.ReadTargetAnswer(result.answer, it->second.request.id());
      if (info.wrong_target) {
        m_unconfirmed = true;
        m_log.Write(LogCategory::kState, "target_unconfirmed", {{"id", m_heartbeat ? m_heartbeat->id : ""}});
        m_hooks.on_changed();
      }
      if (info.not_run) {
        answer.set_outcome(proto::MESH_REJECTED);
        answer.set_reason(proto::MESH_BUSY);
        if (result.answer.status == kMisdirected && it->second.request.has_key()) {
          answer.set_reason(proto::MESH_NOT_OWNER);
          m_grants.OnKeyNotHeld(it->second.request.key(), now);
        }
      } else {
        answer.set_outcome(proto::MESH_ANSWERED);
        executed = true;
      }
      end = info.not_run ? SendEnd::kShed : result.answer.status < kServerError ? SendEnd::kServed : SendEnd::kFailed;
      answer.set_status(static_cast<std::uint32_t>(result.answer.status));
      RemoveHopByHop(&result.answer.headers);
      m_wire.TrimTargetAnswer(&result.answer);
      for (Header& header : result.answer.headers) {
        proto::MeshHeader* field = answer.add_headers();
        field->set_name(std::move(header.name));
        field->set_value(std::move(header.value));
      }
      break;
    }
    case HttpOutcome::kRefused:
      answer.set_outcome(proto::MESH_NOT_RUN);
      answer.set_reason(proto::MESH_TARGET_DOWN);
      OnConnectionRefused();
      break;
    case HttpOutcome::kNotConnected:
      answer.set_outcome(proto::MESH_NOT_RUN);
      answer.set_reason(proto::MESH_TARGET_DOWN);
      ++m_consecutive_failures;
      break;
    case HttpOutcome::kBroken:
    case HttpOutcome::kTimedOut:
      answer.set_outcome(proto::MESH_UNKNOWN);
      answer.set_reason(proto::MESH_BROKEN);
      m_consecutive_failures += result.outcome == HttpOutcome::kTimedOut ? 1 : 0;
      end = result.outcome == HttpOutcome::kTimedOut ? SendEnd::kHung : SendEnd::kFailed;
      break;
  }
  m_evidence.OnEnd(end, now);
  if (answer.outcome() != proto::MESH_ANSWERED) {
    m_log.Write(LogCategory::kFailure, "target_failed",
                {{"id", it->second.request.id()},
                 {"route", it->second.request.route()},
                 {"reason", proto::MeshReason_Name(answer.reason())},
                 {"detail", result.detail},
                 {"status", answer.status()},
                 {"running", m_admission_queue.Running()}});
  }
  if (answer.outcome() == proto::MESH_ANSWERED || answer.outcome() == proto::MESH_UNKNOWN) {
    const bool failed = !executed || static_cast<int>(answer.status()) >= kServerError;
    m_version_evidence.OnAnswer(it->second.request.route(), failed, now - it->second.sent_at);
  }
  if (executed) {
    answer.set_service_us(static_cast<std::uint32_t>((now - it->second.sent_at).count()));
  }
  EndRun(now, ticket, executed);
  Finish(ticket, std::move(answer), std::move(result.answer.body));
  RunQueue();
}

void MeshTarget::EndRun(TimePoint now, AdmissionTicket ticket, bool executed) {
  m_admission_queue.OnFinished(now, ticket, executed);
  if (m_hooks.on_run_ended) {
    m_hooks.on_run_ended(m_requests.at(ticket).request);
  }
}

std::uint32_t MeshTarget::GoodPermille(TimePoint now) const {
  const double share = m_evidence.GoodShare(now);
  if (share > kSoundGoodShare || !m_hooks.shares_evidence || !m_hooks.shares_evidence()) {
    return 0;
  }
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(share * 1000));
}

void MeshTarget::Finish(AdmissionTicket ticket, proto::MeshAnswer answer, std::string body) {
  const auto it = m_requests.find(ticket);
  Reply reply = std::move(it->second.reply);
  answer.set_inner_route(it->second.inner_route);
  m_requests.erase(it);
  answer.set_load_permille(m_admission_queue.LoadPermille());
  answer.set_good_permille(GoodPermille(BootClock::now()));
  if (reply) {
    reply(std::move(answer), std::move(body));
  }
}

void MeshTarget::Refuse(AdmissionTicket ticket,
                        proto::MeshReason reason,
                        Duration retry_after,
                        const std::string& owner) {
  proto::MeshAnswer answer;
  answer.set_outcome(proto::MESH_NOT_RUN);
  answer.set_reason(reason);
  answer.set_retry_after_ms(
      static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(retry_after).count()));
  answer.set_owner_node(owner);
  Finish(ticket, std::move(answer), "");
}

void MeshTarget::Abandon(AdmissionTicket ticket) {
  const auto it = m_requests.find(ticket);
  if (it == m_requests.end()) {
    return;
  }
  ActiveRequest& active = it->second;
  active.reply = nullptr;
  const TimePoint now = BootClock::now();
  m_log.Write(LogCategory::kFailure, "work_abandoned",
              {{"id", active.request.id()},
               {"route", active.request.route()},
               {"running", active.running},
               {"broken_off", active.running && active.request.idempotent()},
               {"arrived_ms_ago", now - active.arrived},
               {"sent_ms_ago", active.running ? now - active.sent_at : Duration(0)}});
  if (!active.running) {
    m_admission_queue.CancelQueued(ticket);
    m_requests.erase(it);
    return;
  }
  // A request that is not idempotent is not cancelled, because its outcome would be unknown.
  if (active.request.idempotent()) {
    m_client.Cancel(active.call);
    EndRun(now, ticket, false);
    m_requests.erase(it);
    RunQueue();
  }
}

void MeshTarget::RunQueue() {
  const TimePoint now = BootClock::now();
  const AdmissionBatch batch = m_admission_queue.TakeReady(now);
  for (const AdmissionRefusal& refusal : batch.refuse) {
    if (m_requests.contains(refusal.ticket)) {
      Refuse(refusal.ticket, proto::MESH_BUSY, refusal.retry_after, "");
    }
  }
  for (const AdmissionTicket ticket : batch.send) {
    if (m_requests.contains(ticket)) {
      SendToTarget(ticket);
    } else {
      m_admission_queue.OnFinished(now, ticket, false);
    }
  }
  ArmQueueTimer();
}

void MeshTarget::ArmQueueTimer() {
  const TimePoint now = BootClock::now();
  const std::optional<TimePoint> wake = m_admission_queue.NextWakeup(now);
  if (!wake) {
    return;
  }
  const TimePoint at = std::max(*wake, now + std::chrono::milliseconds(2));
  if (m_queue_timer != 0 && m_queue_timer_at <= at && m_queue_timer_at > now) {
    return;
  }
  m_timers.Cancel(m_queue_timer);
  m_queue_timer_at = at;
  m_queue_timer = m_timers.At(at, [this] {
    m_queue_timer = 0;
    RunQueue();
  });
}

// ---- Registration ----

absl::Status MeshTarget::OnCall(const TargetCall& call) {
  if (call.kind == TargetCall::Kind::kLeave) {
    if (m_deferred_start && m_deferred_start->id == call.id) {
      m_deferred_start->heartbeat.draining = true;
    }
    if (m_heartbeat && m_heartbeat->id == call.id && !m_leaving_since) {
      m_leaving_since = BootClock::now();
      m_log.Write(LogCategory::kState, "target_leaves", {{"id", call.id}, {"how", "left"}});
      OnViewChanged();
      m_hooks.on_changed();
    }
    return absl::OkStatus();
  }
  TargetHeartbeat heartbeat = call.heartbeat;
  if (heartbeat.service != m_options.service || heartbeat.address != m_address) {
    m_log.Write(LogCategory::kFailure, "heartbeat_of_another_target",
                {{"id", heartbeat.id}, {"service", heartbeat.service}, {"address", heartbeat.address}});
    return absl::InvalidArgumentError("not a heartbeat of this node's target");
  }
  const bool same_life = m_heartbeat && m_heartbeat->id == heartbeat.id && m_heartbeat->start_ms == heartbeat.start_ms;
  const bool before_deferred = m_deferred_start && heartbeat.start_ms < m_deferred_start->heartbeat.start_ms;
  if (before_deferred || (m_heartbeat && !same_life && heartbeat.start_ms < m_heartbeat->start_ms)) {
    // A delayed heartbeat: a later life already has the address.
    m_log.Write(LogCategory::kState, "beat_ignored", {{"id", heartbeat.id}, {"start_ms", heartbeat.start_ms}});
    return absl::OkStatus();
  }
  if (same_life && heartbeat.sequence <= m_heartbeat->sequence) {
    return absl::OkStatus();
  }
  if (m_deferred_start && m_deferred_start->id == heartbeat.id &&
      m_deferred_start->heartbeat.start_ms == heartbeat.start_ms) {
    if (heartbeat.sequence <= m_deferred_start->heartbeat.sequence) {
      return absl::OkStatus();
    }
    // A life that leaves while it waits is known to leave by its deferred call only.
    heartbeat.draining = heartbeat.draining || m_deferred_start->heartbeat.draining;
  }
  if (!same_life && MustWait(heartbeat, BootClock::now())) {
    if (!m_deferred_start) {
      m_log.Write(LogCategory::kState, "target_start_waits", {{"id", heartbeat.id}, {"start_ms", heartbeat.start_ms}});
      m_hooks.on_changed();
    }
    m_deferred_start = TargetCall{call.kind, call.id, heartbeat};
    m_unconfirmed = true;
    return absl::OkStatus();
  }
  m_deferred_start.reset();
  if (!same_life) {
    BeginLife(heartbeat);
  }
  const bool was_down = m_ended || m_silent || m_unconfirmed;
  m_heartbeat = heartbeat;
  m_ended = false;
  m_silent = false;
  m_unconfirmed = false;
  m_consecutive_failures = 0;
  OnContact();
  m_admission_queue.SetSlots(heartbeat.slots);
  const TimePoint now = BootClock::now();
  m_cold_until = heartbeat.cold_left > Duration(0) ? now + heartbeat.cold_left : TimePoint();
  ApplyColdLimit();
  if (heartbeat.draining && !m_leaving_since) {
    m_leaving_since = now;
    m_log.Write(LogCategory::kState, "target_leaves", {{"id", heartbeat.id}, {"how", "drains"}});
    m_hooks.on_changed();
  }
  if (!same_life || was_down) {
    m_hooks.on_changed();
  }
  OnViewChanged();
  RunQueue();
  return absl::OkStatus();
}

std::optional<proto::TargetLife> MeshTarget::DepartureOf(const TargetCall& call, std::int64_t unix_ms) const {
  const bool leaves = call.kind == TargetCall::Kind::kLeave;
  if (!leaves && !call.heartbeat.draining) {
    return std::nullopt;
  }
  const auto is_meant = [&](const TargetHeartbeat& life) {
    return life.id == call.id && (leaves || life.start_ms == call.heartbeat.start_ms);
  };
  const TargetHeartbeat* known = m_deferred_start && is_meant(m_deferred_start->heartbeat)
                                     ? &m_deferred_start->heartbeat
                                 : m_heartbeat && is_meant(*m_heartbeat) ? &*m_heartbeat
                                                                         : nullptr;
  if (known == nullptr && !leaves) {
    return std::nullopt;
  }
  // A leave names no life. If that of the known one is recorded already, this may be the next one's.
  const bool known_leaves = known != nullptr && !(leaves && HasLeft(*known));
  proto::TargetLife life;
  life.set_node(m_options.node);
  life.set_id(call.id);
  life.set_start_ms(known_leaves ? known->start_ms : unix_ms);
  return life;
}

bool MeshTarget::HasLeft(const TargetHeartbeat& heartbeat) const {
  return m_hooks.has_left && m_hooks.has_left(heartbeat.id, heartbeat.start_ms).value_or(false);
}

bool MeshTarget::MustWait(const TargetHeartbeat& heartbeat, TimePoint now) const {
  const bool record_known = !m_hooks.has_left || m_hooks.has_left(heartbeat.id, heartbeat.start_ms).has_value();
  return !record_known || MayHoldKeysOfAnotherLife(heartbeat, now);
}

// A grant takes effect at the life that has the address when it arrives. Heartbeats may arrive late, so they do not
// tell which life that was.
bool MeshTarget::MayHoldKeysOfAnotherLife(const TargetHeartbeat& heartbeat, TimePoint now) const {
  if (m_heartbeat) {
    return !m_ended && MayHoldKeys(now);
  }
  // Grants that an earlier run of this node sent before the life of this heartbeat was known.
  const auto config = m_hooks.view().Config();
  const MeshService* service = config != nullptr ? config->FindService(m_options.service) : nullptr;
  if (service != nullptr && !service->sharded) {
    return false;
  }
  return m_grants.MayHoldKeys(now) && MayOwnKeys(now, &heartbeat);
}

// Whether the key table may name this node as an owner, other than in the life `except` if that is not null. Until the
// replica is known to be recent, it may.
bool MeshTarget::MayOwnKeys(TimePoint now, const TargetHeartbeat* except) const {
  if (m_hooks.authority_end() <= now) {
    return true;
  }
  const TableState* table = m_hooks.view().Table(m_options.service);
  return table != nullptr &&
         std::any_of(table->table.ranges().begin(), table->table.ranges().end(), [&](const proto::KeyRange& range) {
           const proto::TargetLife& owner = range.owner();
           return owner.node() == m_options.node &&
                  (except == nullptr || owner.id() != except->id || owner.start_ms() != except->start_ms);
         });
}

void MeshTarget::AcceptDeferredStart(TimePoint now) {
  if (!m_deferred_start || MustWait(m_deferred_start->heartbeat, now)) {
    return;
  }
  const TargetCall call = *std::exchange(m_deferred_start, std::nullopt);
  const absl::Status taken = OnCall(call);
  if (!taken.ok()) {
    m_log.Write(LogCategory::kFailure, "registration_unreadable", {{"why", std::string(taken.message())}});
  }
}

void MeshTarget::BeginLife(const TargetHeartbeat& heartbeat) {
  m_log.Write(LogCategory::kState, "target_started",
              {{"id", heartbeat.id},
               {"start_ms", heartbeat.start_ms},
               {"sequence", heartbeat.sequence},
               {"service", heartbeat.service},
               {"slots", heartbeat.slots},
               {"cold_left_ms", heartbeat.cold_left}});
  proto::TargetLife life;
  life.set_node(m_options.node);
  life.set_id(heartbeat.id);
  life.set_start_ms(heartbeat.start_ms);
  const bool granted_nothing = heartbeat.sequence <= kFirstSequence && !MayOwnKeys(BootClock::now(), nullptr);
  m_grants.BeginLife(life, m_heartbeat.has_value() || granted_nothing);
  m_version_evidence.Reset();
  m_evidence = TargetEvidence();
  m_leaving_since.reset();
  if (HasLeft(heartbeat)) {
    // The time of the leave is not known, so no time to serve is left.
    m_leaving_since = BootClock::now() - m_options.bounds->drain;
    m_log.Write(LogCategory::kState, "target_leaves", {{"id", heartbeat.id}, {"how", "had_left"}});
  }
  m_client.CloseIdle(TimePoint::max());
  m_key_client.CloseIdle(TimePoint::max());
}

void MeshTarget::OnContact() {
  m_last_contact_at = BootClock::now();
  m_connection_refused = false;
}

void MeshTarget::OnConnectionRefused() {
  if (m_leaving_since || Connected() > 0) {
    if (!m_connection_refused) {
      m_log.Write(LogCategory::kState, "target_refuses_connections",
                  {{"id", m_heartbeat ? m_heartbeat->id : ""},
                   {"leaving", m_leaving_since.has_value()},
                   {"connections", Connected()}});
    }
    m_connection_refused = true;
    return;
  }
  OnTargetEnded("its address refuses connections");
}

void MeshTarget::OnTargetEnded(std::string_view why) {
  if (m_ended || !m_heartbeat) {
    return;
  }
  m_ended = true;
  m_grants.Clear();
  m_log.Write(LogCategory::kState, "target_ended", {{"id", m_heartbeat->id}, {"why", why}});
  m_hooks.on_changed();
}

// ---- Keys ----

bool MeshTarget::MayHoldKeys(TimePoint now) const {
  return IsSharded() && m_grants.MayHoldKeys(now);
}

void MeshTarget::OnViewChanged() {
  const TimePoint now = BootClock::now();
  const bool evacuated = m_hooks.view().IsEvacuated(m_options.domain);
  if (evacuated != m_evacuated_since.has_value()) {
    if (evacuated) {
      // A node that starts does not know for how long, so no time to serve is left.
      m_evacuated_since = m_operator_seen ? now : now - m_options.bounds->evacuate;
    } else {
      m_evacuated_since.reset();
      // The target may have become cold meanwhile; its next heartbeat gives the actual state.
      const MeshService* service = Service();
      m_cold_until = std::max(m_cold_until, now + (service != nullptr ? service->warm_up : Duration(0)));
    }
    m_log.Write(LogCategory::kState, evacuated ? "domain_evacuated" : "domain_back", {{"domain", m_options.domain}});
    m_hooks.on_changed();
  }
  m_operator_seen = m_operator_seen || m_hooks.view().Config() != nullptr;
  ApplyColdLimit();
  AcceptDeferredStart(now);
  Reconcile(now);
  RetryHeldRequests();
}

void MeshTarget::Reconcile(TimePoint now) {
  if (!m_heartbeat || m_ended || !IsSharded()) {
    return;
  }
  const TableState* table = m_hooks.view().Table(m_heartbeat->service);
  if (table == nullptr) {
    return;
  }
  const bool renew = now < ServeDeadline() && !m_silent && !m_unconfirmed;
  m_grants.Reconcile(table->table, renew, m_options.bounds->max_hold, now);
}

// ---- State ----

void MeshTarget::SetStopping() {
  m_stopping = true;
  m_hooks.on_changed();
}

void MeshTarget::OnTick(TimePoint now) {
  AcceptDeferredStart(now);
  if (m_connection_refused && !m_leaving_since && Connected() == 0) {
    OnTargetEnded("its address refuses connections, and none is left");
  }
  if (m_heartbeat && !m_ended && !m_silent && m_consecutive_failures >= kMinFailuresForSilence &&
      now - m_last_contact_at > kSilenceTimeout) {
    m_silent = true;
    m_log.Write(LogCategory::kState, "target_silent", {{"id", m_heartbeat->id}, {"since_ms", now - m_last_contact_at}});
    for (const AdmissionTicket ticket : m_admission_queue.TakeQueued()) {
      if (m_requests.contains(ticket)) {
        Refuse(ticket, proto::MESH_TARGET_DOWN, Duration(0), "");
      }
    }
    m_hooks.on_changed();
  }
  const double elapsed_s = std::chrono::duration<double>(now - m_offered_updated_at).count();
  if (elapsed_s > 0.2) {
    const double factor = std::exp(-elapsed_s / kOfferedDecayS);
    m_offered_rate = m_offered_rate * factor + m_offered_count / elapsed_s * (1 - factor);
    m_offered_count = 0;
    m_offered_updated_at = now;
  }
  Reconcile(now);
  RetryHeldRequests();
  m_client.OnTick(now);
  m_key_client.OnTick(now);
  if (m_admission_queue.Queued() > 0) {
    RunQueue();
  }
}

proto::TargetReport MeshTarget::ReportOfDeparted(TimePoint now) const {
  proto::TargetReport report;
  const TableState* table = m_hooks.view().Table(m_options.service);
  if (!m_hooks.has_left || table == nullptr || m_grants.MayHoldKeys(now)) {
    return report;
  }
  for (const proto::KeyRange& range : table->table.ranges()) {
    const proto::TargetLife& owner = range.owner();
    if (owner.node() == m_options.node && m_hooks.has_left(owner.id(), owner.start_ms()) == true) {
      report.set_id(owner.id());
      report.set_start_ms(owner.start_ms());
      report.set_leaving(true);
      report.set_gone(true);
      break;
    }
  }
  return report;
}

proto::TargetReport MeshTarget::Report(TimePoint now) {
  if (!m_heartbeat) {
    return ReportOfDeparted(now);
  }
  proto::TargetReport report;
  report.set_id(m_heartbeat->id);
  report.set_start_ms(m_heartbeat->start_ms);
  report.set_accepts(MayServe(now) && !IsLeaving());
  report.set_leaving(IsLeaving());
  // Once all grants have lapsed, a target that is silent, unconfirmed or past its serve deadline holds no keys, even if
  // its process still runs.
  report.set_gone(m_ended || ((m_silent || m_unconfirmed || now >= ServeDeadline()) && !MayHoldKeys(now)));
  const TableState* table = m_hooks.view().Table(m_heartbeat->service);
  if (report.gone() && table != nullptr) {
    m_grants.Forfeit(table->table);
  }
  report.set_cold(m_admission_queue.IsCold(now));
  report.set_slots(m_heartbeat->slots);
  report.set_load_permille(m_admission_queue.LoadPermille());
  report.set_service_us(static_cast<std::uint32_t>(m_admission_queue.MeanServiceTime().count()));
  report.set_offered_milli(static_cast<std::uint32_t>(m_offered_rate * 1000));
  report.mutable_version()->set_version(m_heartbeat->version);
  report.mutable_version()->set_running(static_cast<std::uint32_t>(m_requests.size()));
  if (m_hooks.reports_evidence && m_hooks.reports_evidence()) {
    m_version_evidence.Fill(report.mutable_version());
  }
  report.set_good_permille(GoodPermille(now));
  if (IsSharded()) {
    // Counts only granted keys: requests for released keys go to other targets.
    std::uint32_t offered = 0;
    const auto config = m_hooks.view().Config();
    m_load_meter.CorrectStart(config != nullptr && IsLoadControlled(m_options.load_control, *config));
    report.set_load_window_ms(static_cast<std::uint32_t>(m_load_meter.WindowS(now) * 1000));
    for (const auto& [first, last] : m_grants.GrantedRanges()) {
      *report.add_ranges() = m_load_meter.Measure(now, first, last);
      offered += report.ranges(report.ranges_size() - 1).rate_milli();
    }
    report.set_offered_milli(offered);
  }
  return report;
}

std::string MeshTarget::DescribeState(TimePoint now) const {
  if (!m_heartbeat) {
    return "unknown";
  }
  if (m_ended) {
    return "ended";
  }
  if (m_silent) {
    return "silent";
  }
  if (m_unconfirmed) {
    return "unconfirmed";
  }
  if (IsLeaving()) {
    return "leaving";
  }
  return m_admission_queue.IsCold(now) ? "cold" : "ready";
}

}  // namespace magnoliaarch
