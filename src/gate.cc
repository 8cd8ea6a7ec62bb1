#include "magnoliaarch/gate.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";

bool EqualsIgnoringCase(std::string_view text, std::string_view lower) {
  return std::equal(text.begin(), text.end(), lower.begin(), lower.end(),
                    [](char a, char b) { return (a >= 'A' && a <= 'Z' ? a - 'A' + 'a' : a) == b; });
}

// The caller's Idempotency-Key, scoped by workspace, entry and lease generation; empty if there is none.
std::string ScopedKey(const Request& request, std::uint64_t generation, const GateFaults& faults) {
  for (const Header& header : request.headers) {
    if (EqualsIgnoringCase(header.name, kIdempotencyKeyHeader) && !header.value.empty()) {
      const std::string scope = faults.shared_idempotency_keys ? "" : request.workspace + '\n' + request.entry;
      const std::string lease = faults.idempotency_across_lapse ? "" : std::to_string(generation);
      return scope + '\n' + lease + '\n' + header.value;
    }
  }
  return {};
}

}  // namespace

Gate::Gate(GateOptions options, LeaseCheck lease_check)
    : m_options(std::move(options)),
      m_lease_check(std::move(lease_check)),
      m_table(m_options.table, m_options.faults),
      m_limit(std::max(1, m_options.cold_limit)) {}

void Gate::SetWeight(const std::string& workspace, std::uint32_t weight) {
  m_weights[workspace] = std::max(1u, weight);
}

void Gate::SetLimits(int cold_limit, int warm_limit, Duration warm_up) {
  m_options.warm_up = warm_up;
  m_options.cold_limit = std::max(1, cold_limit);
  m_options.warm_limit = std::max(m_options.cold_limit, warm_limit);
  // Until the first raise, the limit is at most the cold limit, whatever was assumed before the catalogue was known.
  m_limit = std::min(m_limit, m_counters.limit_raises == 0 ? m_options.cold_limit : m_options.warm_limit);
}

// ---- Arrival ----

void Gate::OnRequest(TimePoint now, GateRequest event, GateActions& actions) {
  m_table.Expire(now);
  const RequestId id = event.request->id;
  const auto refuse = [&](ErrorKind kind) {
    ++m_counters.refused;
    actions.push_back(GateRefuse{event.ticket, id, kind});
    ProcessPending(now, actions);
  };
  Record* record = FindRecord(id);
  if (record != nullptr && AnswerFromRecord(id, *record, event.attempt, event.ticket, actions)) {
    ProcessPending(now, actions);
    return;
  }
  if (record != nullptr && m_table.IsDuplicate(id)) {
    // The request whose Idempotency-Key this attempt repeats was refused, so the attempt is handled as a new request.
    m_table.Erase(id);
    record = nullptr;
  }
  if (m_draining) {
    return refuse(ErrorKind::kDraining);
  }
  if (event.request->deadline <= now) {
    return refuse(ErrorKind::kDeadlineBeforeSend);
  }
  const LeaseVerdict verdict = CheckLease(*event.request, now);
  if (verdict.refusal.has_value()) {
    return refuse(*verdict.refusal);
  }

  const std::string key =
      event.request->idempotent ? std::string() : ScopedKey(*event.request, verdict.generation, m_options.faults);
  const std::optional<RequestId> first = key.empty() ? std::nullopt : m_table.FindKey(key);
  Record* original = first.has_value() ? FindRecord(*first) : nullptr;
  if (original != nullptr && original->state != State::kRefused) {
    // The new id gets a record too; otherwise a query for it would say that the request did not run.
    Record* repeat = record != nullptr ? record : m_table.Insert(id, false);
    if (repeat == nullptr) {
      return refuse(ErrorKind::kOverloaded);
    }
    repeat->duplicate_of = *first;
    repeat->state = State::kFinished;
    m_table.Retain(id, *repeat, now);
    AnswerFromRecord(id, *m_table.Find(id), event.attempt, event.ticket, actions);
    ProcessPending(now, actions);
    return;
  }

  const bool is_new = record == nullptr;
  if (is_new) {
    record = m_table.Insert(id, false);
    if (record == nullptr) {
      return refuse(ErrorKind::kOverloaded);
    }
  } else if (record->is_tombstone) {
    if (m_table.IsFull()) {
      return refuse(ErrorKind::kOverloaded);
    }
    m_table.ClearTombstone(*record);
  }
  record->attempt = event.attempt;
  record->request = std::move(event.request);
  record->deadline = record->request->deadline;
  record->response.reset();
  record->waiters = {{event.ticket, id}};
  record->idempotency_key = key;
  if (!Admit(now, id, *record, actions)) {
    record->state = State::kRefused;
    record->refusal = ErrorKind::kOverloaded;
    if (is_new) {
      m_table.Erase(id);
    } else {
      m_table.Retain(id, *record, now);
    }
    return refuse(ErrorKind::kOverloaded);
  }
  if (!key.empty()) {
    m_table.AddKey(key, id);
  }
  ProcessPending(now, actions);
}

Gate::Record* Gate::FindRecord(RequestId id) {
  Record* record = m_table.Find(id);
  if (m_options.faults.forget_finished && record != nullptr && record->state == State::kFinished) {
    m_table.Erase(id);
    return nullptr;
  }
  return record;
}

bool Gate::AnswerFromRecord(RequestId id,
                            Record& record,
                            std::uint32_t attempt,
                            ReplyTicket ticket,
                            GateActions& actions) {
  switch (record.state) {
    case State::kQueued:
    case State::kSent:
      ++m_counters.repeated;
      record.attempt = std::max(record.attempt, attempt);
      record.waiters.push_back({ticket, id});
      return true;
    case State::kFinished:
      ++m_counters.repeated;
      if (record.response != nullptr) {
        actions.push_back(GateAnswer{ticket, id, record.response});
      } else {
        actions.push_back(GateRefuse{ticket, id, ErrorKind::kPeerLost});
      }
      return true;
    case State::kRefused:
    case State::kBarred:
      if (attempt > record.attempt) {
        return false;
      }
      ++m_counters.refused;
      actions.push_back(GateRefuse{ticket, id, record.refusal});
      return true;
  }
  return false;
}

void Gate::OnQuery(TimePoint now, RequestId id, std::uint32_t attempt, ReplyTicket ticket, GateActions& actions) {
  m_table.Expire(now);
  Record* record = FindRecord(id);
  if (record == nullptr) {
    if (m_options.faults.skip_tombstone) {
      actions.push_back(GateRefuse{ticket, id, ErrorKind::kBarred});
      return;
    }
    record = m_table.Insert(id, true);
    if (record == nullptr) {
      // Without a tombstone a late attempt could still run, so the answer must not say not-run.
      actions.push_back(GateRefuse{ticket, id, ErrorKind::kInternal});
      return;
    }
    ++m_counters.barred;
    record->state = State::kBarred;
    record->refusal = ErrorKind::kBarred;
    record->attempt = attempt;
    m_table.Retain(id, *record, now);
  } else if (record->state == State::kRefused || record->state == State::kBarred) {
    record->attempt = std::max(record->attempt, attempt);
  }
  AnswerFromRecord(id, *record, attempt, ticket, actions);
  ProcessPending(now, actions);
}

void Gate::OnCancel(TimePoint now, RequestId id, ReplyTicket ticket, GateActions& actions) {
  Record* record = m_table.Find(id);
  if (record == nullptr || (record->state != State::kQueued && record->state != State::kSent)) {
    return;
  }
  std::erase_if(record->waiters, [&](const RequestTable::Waiter& waiter) { return waiter.ticket == ticket; });
  if (!record->waiters.empty()) {
    return;
  }
  const RequestId original = record->request->id;
  if (record->state == State::kQueued) {
    Dequeue(*record);
    Refuse(now, original, ErrorKind::kBarred, actions);
  } else if (record->request->idempotent) {
    const auto open = m_sends.find(record->send);
    if (open != m_sends.end()) {
      open->second.abandoned = true;
      actions.push_back(GateCancelAtTarget{record->send});
    }
    m_deadlines.erase({record->deadline, original});
    m_table.Erase(original);
  }
  ProcessPending(now, actions);
}

// ---- Queues ----

std::uint32_t Gate::WeightOf(const std::string& workspace) const {
  const auto it = m_weights.find(workspace);
  return it == m_weights.end() ? 1 : it->second;
}

bool Gate::Admit(TimePoint now, RequestId id, Record& record, GateActions& actions) {
  ClassQueue& queue = QueueOf(*record.request);
  const std::string& workspace = record.request->workspace;
  const std::size_t own = queue.workspaces[workspace].ids.size();
  if (own >= m_options.queue_per_workspace) {
    return false;
  }
  if (queue.size >= m_options.queue_per_class) {
    WorkspaceQueue* longest = nullptr;
    double length = static_cast<double>(own + 1) / WeightOf(workspace);
    for (auto& [name, candidate] : queue.workspaces) {
      const double candidate_length = static_cast<double>(candidate.ids.size()) / WeightOf(name);
      if (candidate_length > length) {
        longest = &candidate;
        length = candidate_length;
      }
    }
    if (longest == nullptr) {
      return false;
    }
    const RequestId victim = longest->ids.back();
    Dequeue(*m_table.Find(victim));
    Refuse(now, victim, ErrorKind::kOverloaded, actions);
  }
  m_deadlines.emplace(record.deadline, id);
  Enqueue(id, record, false);
  return true;
}

void Gate::Enqueue(RequestId id, Record& record, bool front) {
  ClassQueue& queue = QueueOf(*record.request);
  WorkspaceQueue& workspace = queue.workspaces[record.request->workspace];
  record.state = State::kQueued;
  record.queue_position = workspace.ids.insert(front ? workspace.ids.begin() : workspace.ids.end(), id);
  ++queue.size;
  if (!workspace.active) {
    workspace.active = true;
    workspace.deficit = 0;
    queue.active.push_back(record.request->workspace);
  }
}

void Gate::Dequeue(Record& record) {
  ClassQueue& queue = QueueOf(*record.request);
  queue.workspaces[record.request->workspace].ids.erase(record.queue_position);
  --queue.size;
}

// Deficit round robin with a cost of 1 per request.
std::optional<RequestId> Gate::PopFrom(ClassQueue& queue) {
  while (!queue.active.empty()) {
    const std::string& name = queue.active.front();
    WorkspaceQueue& workspace = queue.workspaces[name];
    if (workspace.ids.empty()) {
      workspace.active = false;
      queue.active.pop_front();
      continue;
    }
    if (workspace.deficit == 0) {
      workspace.deficit = WeightOf(name);
    }
    const RequestId id = workspace.ids.front();
    workspace.ids.pop_front();
    --queue.size;
    if (--workspace.deficit == 0) {
      queue.active.push_back(std::move(queue.active.front()));
      queue.active.pop_front();
    }
    return id;
  }
  return std::nullopt;
}

std::optional<RequestId> Gate::NextQueued() {
  ClassQueue& bulk = m_queues[static_cast<std::size_t>(RequestClass::kBulk)];
  if (bulk.size > 0 && m_bulk_credit >= 1) {
    m_bulk_credit -= 1;
    return PopFrom(bulk);
  }
  for (ClassQueue& queue : m_queues) {
    if (queue.size == 0) {
      continue;
    }
    if (&queue != &bulk && bulk.size > 0) {
      m_bulk_credit += m_options.bulk_min_share / (1 - m_options.bulk_min_share);
    }
    return PopFrom(queue);
  }
  return std::nullopt;
}

std::size_t Gate::Queued() const {
  std::size_t size = 0;
  for (const ClassQueue& queue : m_queues) {
    size += queue.size;
  }
  return size;
}

// ---- Sending ----

LeaseVerdict Gate::CheckLease(const Request& request, TimePoint now) {
  LeaseVerdict verdict = m_lease_check ? m_lease_check(request, now) : LeaseVerdict{};
  if (m_options.faults.skip_lease_check) {
    verdict.refusal.reset();
  }
  return verdict;
}

void Gate::Dispatch(TimePoint now, GateActions& actions) {
  while (InFlight() < Limit()) {
    const std::optional<RequestId> id = NextQueued();
    if (!id.has_value()) {
      return;
    }
    Record& record = *m_table.Find(*id);
    if (record.deadline <= now && !m_options.faults.queue_past_deadline) {
      Refuse(now, *id, ErrorKind::kDeadlineBeforeSend, actions);
      continue;
    }
    if (const LeaseVerdict verdict = CheckLease(*record.request, now); verdict.refusal.has_value()) {
      Refuse(now, *id, *verdict.refusal, actions);
      continue;
    }
    record.state = State::kSent;
    record.send = ++m_last_send;
    m_sends.emplace(record.send, OpenSend{*id, false, m_generation, now, false});
    m_limit_reached = m_limit_reached || InFlight() >= Limit();
    ++m_counters.sent;
    actions.push_back(GateSend{record.send, m_generation, record.request});
  }
}

void Gate::OnSendStarted(TimePoint /*now*/, SendId send) {
  const auto it = m_sends.find(send);
  if (it != m_sends.end()) {
    it->second.started = true;
  } else {
    ++m_counters.unexpected_events;
  }
}

std::optional<Gate::OpenSend> Gate::EndSend(SendId send) {
  const auto it = m_sends.find(send);
  if (it == m_sends.end()) {
    ++m_counters.unexpected_events;
    return std::nullopt;
  }
  const OpenSend open = it->second;
  m_sends.erase(it);
  return open;
}

void Gate::OnAnswered(TimePoint now, SendId send, Response response, GateActions& actions) {
  const std::optional<OpenSend> open = EndSend(send);
  if (!open.has_value()) {
    return;
  }
  Record* record = m_table.Find(open->id);
  const bool mismatched = response.id.IsValid() && response.id != open->id;
  if (mismatched) {
    ++m_counters.unexpected_events;
    if (!open->abandoned && record != nullptr) {
      FailAfterSend(now, open->id, *record, ErrorKind::kTargetBroken, actions);
    }
    ProcessPending(now, actions);
    return;
  }
  CountSuccess(now, *open);
  response.id = open->id;
  response.run_state = RunState::kRan;
  response.error_kind.clear();
  if (!open->abandoned && record != nullptr) {
    Finish(now, open->id, *record, std::move(response), actions);
  } else if (record != nullptr && record->state == State::kFinished) {
    // The deadline passed first and the caller's answer said `unknown`; a later query gets the target's answer.
    m_table.StoreAnswer(*record, std::make_shared<const Response>(std::move(response)));
  }
  ProcessPending(now, actions);
}

void Gate::OnConnectFailed(TimePoint now, SendId send, GateActions& actions) {
  const std::optional<OpenSend> open = EndSend(send);
  if (!open.has_value()) {
    return;
  }
  if (open->generation == m_generation) {
    StartGeneration(now);
  }
  if (!open->abandoned) {
    Refuse(now, open->id, ErrorKind::kTargetConnectFailed, actions);
  }
  ProcessPending(now, actions);
}

void Gate::OnBroken(TimePoint now, SendId send, GateActions& actions) {
  const std::optional<OpenSend> open = EndSend(send);
  if (!open.has_value()) {
    return;
  }
  if (open->generation == m_generation) {
    StartGeneration(now);
  }
  if (Record* record = m_table.Find(open->id); !open->abandoned && record != nullptr) {
    if (m_options.faults.resend_after_break) {
      Enqueue(open->id, *record, true);
    } else {
      FailAfterSend(now, open->id, *record, ErrorKind::kTargetBroken, actions);
    }
  }
  ProcessPending(now, actions);
}

void Gate::OnTimedOut(TimePoint now, SendId send, GateActions& actions) {
  const auto it = m_sends.find(send);
  if (it == m_sends.end()) {
    ++m_counters.unexpected_events;
    return;
  }
  if (!it->second.abandoned) {
    TimeOut(now, it->second.id, *m_table.Find(it->second.id), actions);
  }
  ProcessPending(now, actions);
}

void Gate::OnShed(TimePoint now, SendId send, GateActions& actions) {
  const std::optional<OpenSend> open = EndSend(send);
  if (!open.has_value()) {
    return;
  }
  m_last_answer = now;
  m_frozen = false;
  // Requests sent before the last change of the limit are no evidence about the current limit.
  if (open->sent_at >= m_limit_changed) {
    DropLimit(now, m_limit > m_options.cold_limit ? m_options.cold_limit : m_limit / 2);
  }
  if (!open->abandoned) {
    Refuse(now, open->id, ErrorKind::kOverloaded, actions);
  }
  ProcessPending(now, actions);
}

void Gate::OnSendReturned(TimePoint now, SendId send, GateActions& actions) {
  const std::optional<OpenSend> open = EndSend(send);
  if (!open.has_value()) {
    return;
  }
  if (Record* record = m_table.Find(open->id); !open->abandoned && record != nullptr) {
    record->send = 0;
    Enqueue(open->id, *record, true);
  }
  ProcessPending(now, actions);
}

void Gate::OnSendRefused(TimePoint now, SendId send, ErrorKind kind, GateActions& actions) {
  const std::optional<OpenSend> open = EndSend(send);
  if (open.has_value() && !open->abandoned) {
    Refuse(now, open->id, kind, actions);
  }
  ProcessPending(now, actions);
}

void Gate::OnCancelled(TimePoint now, SendId send, GateActions& actions) {
  const std::optional<OpenSend> open = EndSend(send);
  if (open.has_value() && !open->abandoned) {
    FailAfterSend(now, open->id, *m_table.Find(open->id), ErrorKind::kTargetBroken, actions);
  }
  ProcessPending(now, actions);
}

// ---- Outcomes ----

void Gate::Finish(TimePoint now, RequestId id, Record& record, Response response, GateActions& actions) {
  ++m_counters.answered;
  m_deadlines.erase({record.deadline, id});
  const auto shared = std::make_shared<const Response>(std::move(response));
  for (const RequestTable::Waiter& waiter : record.waiters) {
    actions.push_back(GateAnswer{waiter.ticket, waiter.id, shared});
  }
  if (record.request->idempotent) {
    m_table.Erase(id);
    return;
  }
  record.state = State::kFinished;
  m_table.StoreAnswer(record, shared);
  m_table.Retain(id, record, now);
}

void Gate::Refuse(TimePoint now, RequestId id, ErrorKind kind, GateActions& actions) {
  Record& record = *m_table.Find(id);
  m_deadlines.erase({record.deadline, id});
  for (const RequestTable::Waiter& waiter : record.waiters) {
    ++m_counters.refused;
    actions.push_back(GateRefuse{waiter.ticket, waiter.id, kind});
  }
  if (record.request->idempotent) {
    m_table.Erase(id);
    return;
  }
  record.state = State::kRefused;
  record.refusal = kind;
  m_table.Retain(id, record, now);
}

void Gate::FailAfterSend(TimePoint now, RequestId id, Record& record, ErrorKind kind, GateActions& actions) {
  Finish(now, id, record, MakeRefusal(id, kind, {}), actions);
}

void Gate::TimeOut(TimePoint now, RequestId id, Record& record, GateActions& actions) {
  ++m_counters.timed_out;
  OpenSend& open = m_sends.at(record.send);
  open.abandoned = true;
  actions.push_back(GateCancelAtTarget{record.send});
  // A caller may set a deadline that is too short for a healthy target; such a timeout is no evidence about the target.
  if (open.started && now - open.sent_at >= m_options.freeze_after) {
    m_frozen = m_frozen || m_last_answer <= open.sent_at;
    if (open.sent_at >= m_limit_changed) {
      DropLimit(now, m_options.cold_limit);
    }
  }
  FailAfterSend(now, id, record, ErrorKind::kDeadlineAfterSend, actions);
}

// ---- Limit ----

void Gate::StartGeneration(TimePoint now) {
  if (m_options.faults.keep_limit_on_reconnect) {
    return;
  }
  ++m_generation;
  DropLimit(now, m_options.cold_limit);
}

void Gate::DropLimit(TimePoint now, int limit) {
  ++m_counters.limit_drops;
  m_limit = std::max(1, std::min(m_limit, limit));
  m_limit_changed = now;
  m_cold_since = now;
  m_successes = 0;
  m_limit_reached = false;
}

void Gate::RaiseLimit(TimePoint now) {
  ++m_counters.limit_raises;
  m_limit = std::min(m_options.warm_limit, m_limit + std::max(1, m_limit / 4));
  m_limit_changed = now;
  m_successes = 0;
  m_limit_reached = InFlight() >= m_limit;
}

void Gate::CountSuccess(TimePoint now, const OpenSend& send) {
  m_last_answer = now;
  if (m_frozen || !m_cold_since.has_value()) {
    // A target that was frozen, or has not answered before, may be cold; its warm-up starts with the first answer.
    m_cold_since = now;
  }
  m_frozen = false;
  if (send.generation != m_generation || send.sent_at < m_limit_changed) {
    return;
  }
  ++m_successes;
  // The limit may rise after it was used in full and as many requests as it allows have succeeded.
  if (m_limit < m_options.warm_limit && m_limit_reached && m_successes >= m_limit &&
      now - m_limit_changed >= m_options.raise_interval && now - *m_cold_since >= m_options.warm_up) {
    RaiseLimit(now);
  }
}

// ---- Target, drain and time ----

void Gate::OnReconnect(TimePoint now, GateActions& actions) {
  StartGeneration(now);
  ProcessPending(now, actions);
}

void Gate::OnDrain(TimePoint now, GateActions& actions) {
  m_draining = true;
  if (m_options.faults.refuse_queued_on_drain) {
    while (const std::optional<RequestId> id = NextQueued()) {
      Refuse(now, *id, ErrorKind::kDraining, actions);
    }
  }
  ProcessPending(now, actions);
}

void Gate::OnResume(TimePoint now, GateActions& actions) {
  m_draining = false;
  ProcessPending(now, actions);
}

void Gate::OnTick(TimePoint now, GateActions& actions) {
  m_table.Expire(now);
  m_wake.reset();
  ProcessPending(now, actions);
}

void Gate::ProcessPending(TimePoint now, GateActions& actions) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const RequestId id = m_deadlines.begin()->second;
    Record& record = *m_table.Find(id);
    if (record.state == State::kSent) {
      TimeOut(now, id, record, actions);
    } else if (m_options.faults.queue_past_deadline) {
      m_deadlines.erase(m_deadlines.begin());
    } else {
      Dequeue(record);
      Refuse(now, id, ErrorKind::kDeadlineBeforeSend, actions);
    }
  }
  if (m_options.faults.raise_limit_over_time && m_limit < m_options.warm_limit &&
      now - m_limit_changed >= m_options.raise_interval) {
    RaiseLimit(now);
  }
  Dispatch(now, actions);
  if (!m_deadlines.empty() && (!m_wake.has_value() || m_deadlines.begin()->first < *m_wake)) {
    m_wake = m_deadlines.begin()->first;
    actions.push_back(GateWake{*m_wake});
  }
}

bool Gate::HasUnfinished(const std::function<bool(const Request&)>& matches) const {
  return std::any_of(m_deadlines.begin(), m_deadlines.end(), [&](const std::pair<TimePoint, RequestId>& unfinished) {
    const auto record = m_table.Find(unfinished.second);
    return record != nullptr && matches(*record->request);
  });
}

}  // namespace magnoliaarch
