#include "mesh_target_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "http_headers_p.h"

namespace magnoliaarch {
namespace {

// A sharded target that leaves serves its keys on until the successors have them, but no longer than the bound of a
// leave less this margin.
constexpr Duration kLeaveMargin = std::chrono::milliseconds(500);
// An evacuation is seen some time after it was acknowledged.
constexpr Duration kEvacuateMargin = std::chrono::milliseconds(2500);
// Without any sign of life for this long after a failure the target is taken as silent.
constexpr Duration kSilence = std::chrono::milliseconds(1200);
constexpr int kFailuresOfSilence = 2;
// A cold target is sent this part of what the stated overage allows above its rate: the overage is a bound, not an aim.
constexpr double kColdOverageShare = 0.5;
// The target answers at its deadline itself; its answer may take this long to arrive.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(120);
// Shorter work is not worth a send.
constexpr Duration kLeastTime = std::chrono::milliseconds(5);
// The target closes connections beyond its bound; some are left to health checks and grants.
constexpr std::size_t kMaxConnections = 96;
// Grants and releases that are under way at once.
constexpr std::size_t kMaxKeyConnections = 24;
// A target that refuses work says so at once, this often.
constexpr Duration kOverloadReport = std::chrono::milliseconds(200);
constexpr double kOfferedDecayS = 1.5;
// Of a life's first call. An earlier run of this node cannot have heard of such a life, nor granted it keys.
constexpr std::uint64_t kFirstSequence = 1;
// The target does not hold the request's key, or is another one.
constexpr int kMisdirected = 421;

// A target may refuse a request before it has read the id, and it may write an earlier refusal once more. A refusal
// without an id is certainly the request's only where nothing else went over the connection.
AnswerMatch OwnerOf(const TargetAnswerMeaning& meaning, bool only_request) {
  if (meaning.own) {
    return AnswerMatch::kThisRequest;
  }
  if (meaning.named || !meaning.not_run) {
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
      m_client(context, HttpClientOptions{m_options.ip, m_options.port, kMaxConnections}),
      m_key_client(context, HttpClientOptions{m_options.ip, m_options.port, kMaxKeyConnections}),
      m_grants(m_key_client, m_wire, m_log, m_address, GrantHooks()) {}

KeyGrantsHooks MeshTarget::GrantHooks() {
  KeyGrantsHooks hooks;
  hooks.authority_end = m_hooks.authority_end;
  hooks.on_contact = [this] {
    OnContact();
    m_failures = 0;
  };
  hooks.on_refused = [this] { OnRefused(); };
  hooks.on_silence = [this] { ++m_failures; };
  hooks.on_granted = [this] { RetryHeld(); };
  hooks.on_settled = [this] { Reconcile(BootClock::now()); };
  hooks.on_released = m_hooks.on_released;
  hooks.on_fences_refused = m_hooks.on_fences_refused;
  return hooks;
}

// Lives as long as the configuration of the view.
const MeshService* MeshTarget::Service() const {
  const auto config = m_hooks.view().Config();
  return config != nullptr && m_life ? config->FindService(m_life->service) : nullptr;
}

bool MeshTarget::IsSharded() const {
  const MeshService* service = Service();
  return service != nullptr && service->sharded;
}

void MeshTarget::ApplyCold() {
  const MeshService* service = Service();
  const double rate = service != nullptr ? service->cold_rate : 0;
  const MeshBounds& bounds = *m_options.bounds;
  const double aim = rate * (1 + (bounds.cold_overage - 1) * kColdOverageShare);
  const double limit = std::min(aim, rate * bounds.cold_overage + bounds.cold_slack);
  m_gate.SetCold(m_cold_until, rate > 0 ? static_cast<std::uint32_t>(std::max(1.0, limit)) : 0);
}

bool MeshTarget::IsLeaving() const {
  return m_leaving_since.has_value() || m_evacuated_since.has_value() || m_stopping;
}

TimePoint MeshTarget::ServeEnd() const {
  TimePoint end = TimePoint::max();
  if (m_leaving_since) {
    end = std::min(end, *m_leaving_since + m_options.bounds->drain - kLeaveMargin);
  }
  if (m_evacuated_since) {
    end = std::min(end, *m_evacuated_since + m_options.bounds->evacuate - kEvacuateMargin);
  }
  return end;
}

std::optional<proto::MeshReason> MeshTarget::RefusalNow(TimePoint now) const {
  // Without the configuration nothing is known of the target's limits.
  if (!m_life || m_ended || m_suspect || m_unconfirmed || Service() == nullptr) {
    return proto::MESH_TARGET_DOWN;
  }
  if (m_refuses_new) {
    return proto::MESH_DRAINING;
  }
  const bool balanced_leave = (m_leaving_since || m_evacuated_since) && !IsSharded();
  if (balanced_leave || now >= ServeEnd()) {
    return proto::MESH_DRAINING;
  }
  return std::nullopt;
}

bool MeshTarget::MayServe(TimePoint now) const {
  return !RefusalNow(now).has_value();
}

// ---- Requests ----

KeyGrants::KeyState MeshTarget::StateOfKey(std::uint32_t key, TimePoint now, std::string* owner) const {
  const TableState* table = m_hooks.view().Table(m_life->service);
  return m_grants.StateOf(table != nullptr ? table->Find(key) : nullptr, key, now, owner);
}

void MeshTarget::Handle(GateTicket ticket, proto::MeshRequest request, std::string body, Reply reply) {
  const TimePoint now = BootClock::now();
  m_offered_since += 1;
  Work work;
  work.arrived = now;
  work.expires = now + std::chrono::milliseconds(request.time_left_ms());
  work.request = std::move(request);
  work.body = std::move(body);
  work.reply = std::move(reply);
  const bool keyed = work.request.has_key();
  const std::uint32_t key = work.request.key();
  m_work.emplace(ticket, std::move(work));
  if (keyed && IsSharded()) {
    m_meter.OnRequest(now, key);
  }
  Offer(ticket);
}

void MeshTarget::Offer(GateTicket ticket) {
  const TimePoint now = BootClock::now();
  Work& work = m_work.at(ticket);
  const proto::MeshRequest& request = work.request;
  if (const auto reason = RefusalNow(now)) {
    Refuse(ticket, *reason, Duration(0), "");
    return;
  }
  if (request.service() != m_life->service) {
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
      work.held = true;
      return;
    }
  }
  work.held = false;
  GateWork offer;
  offer.ticket = ticket;
  offer.route = request.route();
  offer.priority = request.priority();
  offer.objective = work.arrived + std::chrono::milliseconds(request.objective_left_ms());
  offer.expires = work.expires;
  const GateVerdict verdict = m_gate.Offer(now, offer);
  switch (verdict.kind) {
    case GateVerdict::Kind::kSend:
      Send(ticket);
      break;
    case GateVerdict::Kind::kQueued:
      ArmGate();
      break;
    case GateVerdict::Kind::kRefused:
      if (now - m_overload_told > kOverloadReport) {
        m_overload_told = now;
        m_hooks.on_changed();
      }
      Refuse(ticket, m_gate.IsCold(now) ? proto::MESH_COLD : proto::MESH_BUSY, verdict.retry_after, "");
      break;
  }
}

void MeshTarget::RetryHeld() {
  std::vector<GateTicket> held;
  for (const auto& [ticket, work] : m_work) {
    if (work.held) {
      held.push_back(ticket);
    }
  }
  const TimePoint now = BootClock::now();
  for (const GateTicket ticket : held) {
    const auto it = m_work.find(ticket);
    if (it == m_work.end()) {
      continue;
    }
    const Duration objective = std::chrono::milliseconds(std::max(it->second.request.objective_left_ms(), 100));
    if (now - it->second.arrived > objective || now + kLeastTime >= it->second.expires) {
      Refuse(ticket, proto::MESH_NOT_OWNER, Duration(0), "");
    } else {
      Offer(ticket);
    }
  }
}

// The gate has chosen this request; everything that may have changed while it waited is checked again.
void MeshTarget::Send(GateTicket ticket) {
  const TimePoint now = BootClock::now();
  Work& work = m_work.at(ticket);
  const auto give_back = [&](proto::MeshReason reason, const std::string& owner) {
    m_gate.OnEnded(now, ticket, false);
    Refuse(ticket, reason, Duration(0), owner);
  };
  if (const auto reason = RefusalNow(now)) {
    give_back(*reason, "");
    return;
  }
  if (work.request.has_key() && IsSharded()) {
    std::string owner;
    if (StateOfKey(work.request.key(), now, &owner) != KeyGrants::KeyState::kGranted) {
      give_back(proto::MESH_NOT_OWNER, owner);
      return;
    }
  }
  const Duration left = work.expires - now;
  if (left < kLeastTime) {
    give_back(proto::MESH_EXPIRED, "");
    return;
  }
  work.running = true;
  work.sent_at = now;
  const std::string id = work.request.id();
  HttpMessage message = m_wire.TargetRequest(work.request, std::move(work.body), m_life->id, m_address, left);
  work.call = m_client.Send(
      std::move(message), left + kAnswerGrace,
      [this, id](const HttpMessage& answer, bool only_request) {
        return OwnerOf(m_wire.ReadTargetAnswer(answer, id), only_request);
      },
      [this, ticket](HttpResult result) { OnResult(ticket, std::move(result)); }, ConnectionConstraint{id});
}

void MeshTarget::OnResult(GateTicket ticket, HttpResult result) {
  const auto it = m_work.find(ticket);
  if (it == m_work.end()) {
    return;
  }
  const TimePoint now = BootClock::now();
  proto::MeshAnswer answer;
  bool worked = false;
  switch (result.outcome) {
    case HttpOutcome::kAnswered: {
      OnContact();
      m_failures = 0;
      m_suspect = false;
      const TargetAnswerMeaning meaning = m_wire.ReadTargetAnswer(result.answer, it->second.request.id());
      if (meaning.other_life) {
        m_unconfirmed = true;
        m_log.Write(LogRank::kState, "target_unconfirmed", {{"id", m_life ? m_life->id : ""}});
        m_hooks.on_changed();
      }
      if (meaning.not_run) {
        answer.set_outcome(proto::MESH_REJECTED);
        answer.set_reason(proto::MESH_BUSY);
        if (result.answer.status == kMisdirected && it->second.request.has_key()) {
          answer.set_reason(proto::MESH_NOT_OWNER);
          m_grants.OnNotHeld(it->second.request.key(), now);
        }
      } else {
        answer.set_outcome(proto::MESH_ANSWERED);
        worked = true;
      }
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
      OnRefused();
      break;
    case HttpOutcome::kNotConnected:
      answer.set_outcome(proto::MESH_NOT_RUN);
      answer.set_reason(proto::MESH_TARGET_DOWN);
      ++m_failures;
      break;
    case HttpOutcome::kBroken:
    case HttpOutcome::kTimedOut:
      answer.set_outcome(proto::MESH_UNKNOWN);
      answer.set_reason(proto::MESH_BROKEN);
      m_failures += result.outcome == HttpOutcome::kTimedOut ? 1 : 0;
      break;
  }
  if (answer.outcome() != proto::MESH_ANSWERED) {
    m_log.Write(LogRank::kFailure, "target_failed",
                {{"id", it->second.request.id()},
                 {"route", it->second.request.route()},
                 {"reason", proto::MeshReason_Name(answer.reason())},
                 {"detail", result.detail},
                 {"status", answer.status()},
                 {"running", m_gate.Running()}});
  }
  if (worked) {
    answer.set_service_us(static_cast<std::uint32_t>((now - it->second.sent_at).count()));
  }
  m_gate.OnEnded(now, ticket, worked);
  Finish(ticket, std::move(answer), std::move(result.answer.body));
  RunGate();
}

void MeshTarget::Finish(GateTicket ticket, proto::MeshAnswer answer, std::string body) {
  const auto it = m_work.find(ticket);
  Reply reply = std::move(it->second.reply);
  m_work.erase(it);
  answer.set_load_permille(m_gate.LoadPermille());
  if (reply) {
    reply(std::move(answer), std::move(body));
  }
}

void MeshTarget::Refuse(GateTicket ticket, proto::MeshReason reason, Duration retry_after, const std::string& owner) {
  proto::MeshAnswer answer;
  answer.set_outcome(proto::MESH_NOT_RUN);
  answer.set_reason(reason);
  answer.set_retry_after_ms(
      static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(retry_after).count()));
  answer.set_owner_node(owner);
  Finish(ticket, std::move(answer), "");
}

void MeshTarget::Abandon(GateTicket ticket) {
  const auto it = m_work.find(ticket);
  if (it == m_work.end()) {
    return;
  }
  Work& work = it->second;
  work.reply = nullptr;
  const TimePoint now = BootClock::now();
  m_log.Write(LogRank::kFailure, "work_abandoned",
              {{"id", work.request.id()},
               {"route", work.request.route()},
               {"running", work.running},
               {"broken_off", work.running && work.request.idempotent()},
               {"arrived_ms_ago", now - work.arrived},
               {"sent_ms_ago", work.running ? now - work.sent_at : Duration(0)}});
  if (!work.running) {
    m_gate.Withdraw(ticket);
    m_work.erase(it);
    return;
  }
  // Work that may run only once is not broken off; nobody could tell whether it took effect.
  if (work.request.idempotent()) {
    m_client.Cancel(work.call);
    m_gate.OnEnded(now, ticket, false);
    m_work.erase(it);
    RunGate();
  }
}

void MeshTarget::RunGate() {
  const TimePoint now = BootClock::now();
  const GateStep step = m_gate.Next(now);
  for (const GateRefusal& refusal : step.refuse) {
    if (m_work.contains(refusal.ticket)) {
      Refuse(refusal.ticket, proto::MESH_BUSY, refusal.retry_after, "");
    }
  }
  for (const GateTicket ticket : step.send) {
    if (m_work.contains(ticket)) {
      Send(ticket);
    } else {
      m_gate.OnEnded(now, ticket, false);
    }
  }
  ArmGate();
}

void MeshTarget::ArmGate() {
  const TimePoint now = BootClock::now();
  const std::optional<TimePoint> wake = m_gate.WakeAt(now);
  if (!wake) {
    return;
  }
  const TimePoint at = std::max(*wake, now + std::chrono::milliseconds(2));
  if (m_gate_timer != 0 && m_gate_timer_at <= at && m_gate_timer_at > now) {
    return;
  }
  m_timers.Cancel(m_gate_timer);
  m_gate_timer_at = at;
  m_gate_timer = m_timers.At(at, [this] {
    m_gate_timer = 0;
    RunGate();
  });
}

// ---- Registration ----

absl::Status MeshTarget::OnCall(const TargetCall& call) {
  if (call.kind == TargetCall::Kind::kLeave) {
    if (m_next_life && m_next_life->id == call.id) {
      m_next_life->beat.draining = true;
    }
    if (m_life && m_life->id == call.id && !m_leaving_since) {
      m_leaving_since = BootClock::now();
      m_log.Write(LogRank::kState, "target_leaves", {{"id", call.id}, {"how", "left"}});
      OnViewChanged();
      m_hooks.on_changed();
    }
    return absl::OkStatus();
  }
  const TargetBeat& beat = call.beat;
  const bool same = m_life && m_life->id == beat.id && m_life->start_ms == beat.start_ms;
  if (m_life && !same && beat.start_ms < m_life->start_ms) {
    // Held up on its way: a later life has the address.
    m_log.Write(LogRank::kState, "beat_ignored", {{"id", beat.id}, {"start_ms", beat.start_ms}});
    return absl::OkStatus();
  }
  if (same && beat.sequence <= m_life->sequence) {
    return absl::OkStatus();
  }
  if (!same && MayHoldEarlierGrants(BootClock::now())) {
    if (!m_next_life) {
      m_log.Write(LogRank::kState, "target_start_waits", {{"id", beat.id}, {"start_ms", beat.start_ms}});
      m_hooks.on_changed();
    }
    m_next_life = call;
    m_unconfirmed = true;
    return absl::OkStatus();
  }
  m_next_life.reset();
  if (!same) {
    BeginLife(beat);
  }
  const bool was_down = m_ended || m_suspect || m_unconfirmed;
  m_life = beat;
  m_last_beat = BootClock::now();
  m_ended = false;
  m_suspect = false;
  m_unconfirmed = false;
  m_failures = 0;
  OnContact();
  m_gate.SetSlots(beat.slots);
  const TimePoint now = BootClock::now();
  m_cold_until = beat.cold_left > Duration(0) ? now + beat.cold_left : TimePoint();
  ApplyCold();
  if (beat.draining && !m_leaving_since) {
    m_leaving_since = now;
    m_log.Write(LogRank::kState, "target_leaves", {{"id", beat.id}, {"how", "drains"}});
    m_hooks.on_changed();
  }
  if (!same || was_down) {
    m_hooks.on_changed();
  }
  OnViewChanged();
  RunGate();
  return absl::OkStatus();
}

bool MeshTarget::MayHoldEarlierGrants(TimePoint now) const {
  return m_life && !m_ended && m_grants.LastSent() > m_last_beat && HoldsKeys(now);
}

void MeshTarget::BeginLife(const TargetBeat& beat) {
  m_log.Write(LogRank::kState, "target_started",
              {{"id", beat.id},
               {"start_ms", beat.start_ms},
               {"sequence", beat.sequence},
               {"service", beat.service},
               {"slots", beat.slots},
               {"cold_left_ms", beat.cold_left}});
  proto::TargetLife life;
  life.set_node(m_options.node);
  life.set_id(beat.id);
  life.set_start_ms(beat.start_ms);
  m_grants.BeginLife(life, m_life.has_value() || beat.sequence <= kFirstSequence);
  m_leaving_since.reset();
  m_client.CloseIdle(TimePoint::max());
  m_key_client.CloseIdle(TimePoint::max());
}

void MeshTarget::OnContact() {
  m_last_contact = BootClock::now();
  m_refused = false;
}

void MeshTarget::OnRefused() {
  if (m_leaving_since || Connected() > 0) {
    if (!m_refused) {
      m_log.Write(
          LogRank::kState, "target_refuses_connections",
          {{"id", m_life ? m_life->id : ""}, {"leaving", m_leaving_since.has_value()}, {"connections", Connected()}});
    }
    m_refused = true;
    return;
  }
  OnEnded("its address refuses connections");
}

void MeshTarget::OnEnded(std::string_view why) {
  if (m_ended || !m_life) {
    return;
  }
  m_ended = true;
  m_grants.Clear();
  m_log.Write(LogRank::kState, "target_ended", {{"id", m_life->id}, {"why", why}});
  m_hooks.on_changed();
}

// ---- Keys ----

bool MeshTarget::HoldsKeys(TimePoint now) const {
  return IsSharded() && m_grants.MayHold(now);
}

void MeshTarget::OnViewChanged() {
  const TimePoint now = BootClock::now();
  const bool evacuated = m_hooks.view().IsEvacuated(m_options.domain);
  if (evacuated != m_evacuated_since.has_value()) {
    if (evacuated) {
      m_evacuated_since = now;
    } else {
      m_evacuated_since.reset();
      // The target may have become cold meanwhile; its next beat tells.
      const MeshService* service = Service();
      m_cold_until = std::max(m_cold_until, now + (service != nullptr ? service->warm_up : Duration(0)));
    }
    m_log.Write(LogRank::kState, evacuated ? "domain_evacuated" : "domain_back", {{"domain", m_options.domain}});
    m_hooks.on_changed();
  }
  ApplyCold();
  Reconcile(now);
  RetryHeld();
}

void MeshTarget::Reconcile(TimePoint now) {
  if (!m_life || m_ended || !IsSharded()) {
    return;
  }
  const TableState* table = m_hooks.view().Table(m_life->service);
  if (table == nullptr) {
    return;
  }
  const bool renew = now < ServeEnd() && !m_suspect && !m_unconfirmed;
  m_grants.Reconcile(table->table, renew, m_options.bounds->max_hold, now);
}

// ---- State ----

void MeshTarget::SetStopping() {
  m_stopping = true;
  m_hooks.on_changed();
}

void MeshTarget::OnTick(TimePoint now) {
  if (m_next_life && !MayHoldEarlierGrants(now)) {
    const TargetCall call = *std::exchange(m_next_life, std::nullopt);
    const absl::Status taken = OnCall(call);
    if (!taken.ok()) {
      m_log.Write(LogRank::kFailure, "registration_unreadable", {{"why", std::string(taken.message())}});
    }
  }
  if (m_refused && !m_leaving_since && Connected() == 0) {
    OnEnded("its address refuses connections, and none is left");
  }
  if (m_life && !m_ended && !m_suspect && m_failures >= kFailuresOfSilence && now - m_last_contact > kSilence) {
    m_suspect = true;
    m_log.Write(LogRank::kState, "target_silent", {{"id", m_life->id}, {"since_ms", now - m_last_contact}});
    for (const GateTicket ticket : m_gate.TakeQueued()) {
      if (m_work.contains(ticket)) {
        Refuse(ticket, proto::MESH_TARGET_DOWN, Duration(0), "");
      }
    }
    m_hooks.on_changed();
  }
  const double passed = std::chrono::duration<double>(now - m_offered_at).count();
  if (passed > 0.2) {
    const double factor = std::exp(-passed / kOfferedDecayS);
    m_offered = m_offered * factor + m_offered_since / passed * (1 - factor);
    m_offered_since = 0;
    m_offered_at = now;
  }
  Reconcile(now);
  RetryHeld();
  m_client.CloseIdle(now);
  m_key_client.CloseIdle(now);
  if (m_gate.Queued() > 0) {
    RunGate();
  }
}

proto::TargetReport MeshTarget::Report(TimePoint now) {
  proto::TargetReport report;
  if (!m_life) {
    return report;
  }
  report.set_id(m_life->id);
  report.set_start_ms(m_life->start_ms);
  report.set_accepts(MayServe(now) && !IsLeaving());
  report.set_leaving(IsLeaving());
  // After the grants have lapsed a silent or departed target owns nothing, whatever it does.
  report.set_gone(m_ended || ((m_suspect || m_unconfirmed || now >= ServeEnd()) && !HoldsKeys(now)));
  report.set_cold(m_gate.IsCold(now));
  report.set_slots(m_life->slots);
  report.set_load_permille(m_gate.LoadPermille());
  report.set_service_us(static_cast<std::uint32_t>(m_gate.MeanService().count()));
  report.set_offered_milli(static_cast<std::uint32_t>(m_offered * 1000));
  if (IsSharded()) {
    // Only the keys that the target has now: those that it gave away arrive elsewhere.
    std::uint32_t offered = 0;
    for (const auto& [first, last] : m_grants.Ranges()) {
      *report.add_ranges() = m_meter.Measure(now, first, last);
      offered += report.ranges(report.ranges_size() - 1).rate_milli();
    }
    report.set_offered_milli(offered);
  }
  return report;
}

std::string MeshTarget::DescribeState(TimePoint now) const {
  if (!m_life) {
    return "unknown";
  }
  if (m_ended) {
    return "ended";
  }
  if (m_suspect) {
    return "silent";
  }
  if (m_unconfirmed) {
    return "unconfirmed";
  }
  if (IsLeaving()) {
    return "leaving";
  }
  return m_gate.IsCold(now) ? "cold" : "ready";
}

}  // namespace magnoliaarch
