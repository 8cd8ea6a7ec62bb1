#include "magnoliaarch/retry.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

// Whether the refusal comes from the ownership check, before the target was involved.
bool IsOwnershipRefusal(ErrorKind kind) {
  return kind == ErrorKind::kWrongOwner || kind == ErrorKind::kNoOwner || kind == ErrorKind::kLeaseLapsed ||
         kind == ErrorKind::kDraining;
}

}  // namespace

void RetryBudget::OnFirstAttempt() {
  m_tokens = std::min(m_max_tokens, m_tokens + m_ratio);
}

bool RetryBudget::TakeRetry() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

RequestFlow::RequestFlow(FlowOptions options, FlowContext context, std::shared_ptr<const Request> request)
    : m_options(options), m_context(std::move(context)), m_request(std::move(request)) {}

void RequestFlow::Start(TimePoint now, FlowActions& actions) {
  if (m_context.retry_budget != nullptr) {
    m_context.retry_budget->OnFirstAttempt();
  }
  TryRoute(now, actions);
  ScheduleWake(now, actions);
}

// ---- Routes and attempts ----

RequestFlow::Attempt* RequestFlow::FindAttempt(std::uint32_t number) {
  return number >= 1 && number <= m_attempts.size() ? &m_attempts[number - 1] : nullptr;
}

bool RequestFlow::AnyUnfinished() const {
  return std::any_of(m_attempts.begin(), m_attempts.end(),
                     [](const Attempt& attempt) { return attempt.state != AttemptState::kDone; });
}

bool RequestFlow::AnyAwaited() const {
  return std::any_of(m_attempts.begin(), m_attempts.end(),
                     [](const Attempt& attempt) { return attempt.state != AttemptState::kDone && !attempt.lost; });
}

bool RequestFlow::TakeRetry() {
  return m_options.faults.unlimited_retries ||
         (m_context.retry_budget != nullptr && m_context.retry_budget->TakeRetry());
}

void RequestFlow::TryRoute(TimePoint now, FlowActions& actions) {
  if (m_answered || m_deferred_refusal.has_value() || AnyAwaited()) {
    return;
  }
  if (now >= m_request->deadline) {
    return OnDeadline(now, actions);
  }
  const Route route = m_context.pick(*m_request, m_excluded, now);
  if (!route.IsValid()) {
    if (!m_request->keyed) {
      return AnswerRefusal(now, m_last_refusal.value_or(ErrorKind::kNoOwner), actions);
    }
    if (m_attempts.empty() && m_context.counters != nullptr) {
      ++m_context.counters->held;
    }
    m_retry_at.reset();  // wait for a change of the view
    return;
  }
  if (m_refused_route == route) {
    if (m_retry_at.has_value() && now < *m_retry_at) {
      return;
    }
    if (!TakeRetry()) {
      if (!IsOwnershipRefusal(*m_last_refusal)) {
        return AnswerRefusal(now, *m_last_refusal, actions);
      }
      m_retry_at = now + std::min(m_options.initial_backoff * (1 << std::min(m_backoffs++, 10)), m_options.max_backoff);
      return;
    }
  }
  SendAttempt(now, route, false, actions);
}

void RequestFlow::SendAttempt(TimePoint now, const Route& route, bool hedge, FlowActions& actions) {
  Attempt attempt;
  attempt.number = static_cast<std::uint32_t>(m_attempts.size() + 1);
  attempt.route = route;
  attempt.hedge = hedge;
  attempt.started = now;
  m_refused_route.reset();
  m_retry_at.reset();
  m_hedge_at.reset();
  if (FlowCounters* counters = m_context.counters; counters != nullptr) {
    ++counters->attempts;
    counters->retries += m_attempts.empty() || hedge ? 0 : 1;
    counters->hedges += hedge ? 1 : 0;
  }
  if (m_attempts.empty() && m_context.hedge != nullptr && m_request->idempotent && !m_request->keyed &&
      m_request->request_class == RequestClass::kPrompt) {
    m_context.hedge->OnRequest();
    if (const std::optional<Duration> delay = m_context.hedge->Delay(); delay.has_value()) {
      m_hedge_at = now + *delay;
    }
  }
  m_attempts.push_back(attempt);
  actions.push_back(FlowSend{attempt.number, route, hedge});
}

void RequestFlow::OnAttemptSent(TimePoint /*now*/, std::uint32_t number) {
  if (Attempt* attempt = FindAttempt(number); attempt != nullptr) {
    attempt->sent = true;
  }
}

// ---- Outcomes ----

void RequestFlow::OnAnswer(TimePoint now, std::uint32_t number, Response response, FlowActions& actions) {
  Attempt* attempt = FindAttempt(number);
  if (attempt == nullptr) {
    return;
  }
  const bool late = m_answered || attempt->state == AttemptState::kDone;
  if (response.id != m_request->id && !m_options.faults.accept_mismatched_answer) {
    if (m_context.counters != nullptr) {
      ++m_context.counters->mismatched_answers;
    }
    // No other answer can arrive on this stream, so the outcome of the caller's request is unknown.
    if (!late && attempt->state == AttemptState::kOpen) {
      attempt->sent = true;
      OnAttemptBroken(now, *attempt, actions);
    }
    ScheduleWake(now, actions);
    return;
  }
  if (late && !m_options.faults.answer_twice) {
    if (m_context.counters != nullptr) {
      ++m_context.counters->late_answers;
    }
    return;
  }
  response.id = m_request->id;
  if (response.error_kind.empty()) {
    attempt->state = AttemptState::kDone;
    if (HedgePolicy* hedge = m_context.hedge; hedge != nullptr && !m_request->keyed) {
      // When the hedge won, the first attempt's latency is at least the time since it started.
      hedge->OnLatency(now - (attempt->hedge ? m_attempts.front().started : attempt->started));
    }
    if (attempt->hedge && m_context.counters != nullptr) {
      ++m_context.counters->hedge_wins;
    }
    response.run_state = RunState::kRan;
    Answer(now, std::move(response), actions);
  } else if (attempt->state == AttemptState::kOpen) {
    OnRefusal(now, *attempt, ParseErrorKind(response.error_kind).value_or(ErrorKind::kInternal), actions);
  }
  ScheduleWake(now, actions);
}

void RequestFlow::OnStreamBroken(TimePoint now, std::uint32_t number, FlowActions& actions) {
  Attempt* attempt = FindAttempt(number);
  if (attempt != nullptr && attempt->state == AttemptState::kOpen && !m_answered) {
    OnAttemptBroken(now, *attempt, actions);
    ScheduleWake(now, actions);
  }
}

void RequestFlow::OnAttemptBroken(TimePoint now, Attempt& attempt, FlowActions& actions) {
  if (!attempt.sent) {
    return OnRefusal(now, attempt, ErrorKind::kNoOwner, actions);
  }
  if (m_options.faults.not_run_without_query) {
    attempt.state = AttemptState::kDone;
    return AnswerRefusal(now, ErrorKind::kBarred, actions);
  }
  if (m_request->idempotent || m_options.faults.retry_after_send) {
    return OnRefusal(now, attempt, ErrorKind::kPeerLost, actions);
  }
  SendQuery(now, attempt, actions);
}

void RequestFlow::SendQuery(TimePoint now, Attempt& attempt, FlowActions& actions) {
  attempt.state = AttemptState::kQuerying;
  // An unanswered query is repeated, so that a lost one does not use up the whole deadline.
  attempt.query_at = now + 4 * m_options.query_interval;
  if (m_context.counters != nullptr) {
    ++m_context.counters->queries;
  }
  actions.push_back(FlowQuery{attempt.number, attempt.route.node});
}

void RequestFlow::OnQueryAnswer(TimePoint now, std::uint32_t number, Response response, FlowActions& actions) {
  Attempt* attempt = FindAttempt(number);
  if (attempt == nullptr) {
    return;
  }
  if (response.id != m_request->id && !m_options.faults.accept_mismatched_answer) {
    if (m_context.counters != nullptr) {
      ++m_context.counters->mismatched_answers;
    }
    return;
  }
  if (m_answered || attempt->state != AttemptState::kQuerying) {
    if (m_context.counters != nullptr) {
      ++m_context.counters->late_answers;
    }
    return;
  }
  response.id = m_request->id;
  if (response.error_kind.empty()) {
    attempt->state = AttemptState::kDone;
    response.run_state = RunState::kRan;
    Answer(now, std::move(response), actions);
  } else {
    OnRefusal(now, *attempt, ParseErrorKind(response.error_kind).value_or(ErrorKind::kInternal), actions);
  }
  ScheduleWake(now, actions);
}

void RequestFlow::OnQueryFailed(TimePoint now, std::uint32_t number, FlowActions& actions) {
  Attempt* attempt = FindAttempt(number);
  if (attempt != nullptr && attempt->state == AttemptState::kQuerying) {
    attempt->query_at = now + m_options.query_interval;
    ScheduleWake(now, actions);
  }
}

void RequestFlow::OnNodeLost(TimePoint now, const IncarnationId& node, FlowActions& actions) {
  if (m_answered) {
    return;
  }
  // Iterates by index, because a retry appends to the vector.
  const std::size_t attempts = m_attempts.size();
  for (std::size_t i = 0; i < attempts && !m_answered; ++i) {
    if (m_attempts[i].route.node == node) {
      OnAttemptLost(now, m_attempts[i], actions);
    }
  }
  ScheduleWake(now, actions);
}

void RequestFlow::OnAttemptLost(TimePoint now, Attempt& attempt, FlowActions& actions) {
  if (attempt.state == AttemptState::kQuerying) {
    return OnRefusal(now, attempt, ErrorKind::kPeerLost, actions);
  }
  if (attempt.state == AttemptState::kDone || attempt.lost) {
    return;
  }
  if (!attempt.sent) {
    // The I/O layer may still send the last bytes of the request before it handles the withdrawal. Whether it did is
    // known when the stream has ended.
    actions.push_back(FlowWithdraw{attempt.number});
  } else if (m_request->idempotent) {
    attempt.lost = true;
    m_outcome_unknown = true;
    const Route route = attempt.route;
    AfterFailure(now, route, ErrorKind::kPeerLost, actions);
  }
}

bool RequestFlow::MayRetry(ErrorKind kind) const {
  if (m_attempts.size() >= static_cast<std::size_t>(m_options.max_route_attempts)) {
    return false;
  }
  if (IsOwnershipRefusal(kind)) {
    return true;
  }
  if (m_target_attempts >= m_options.max_attempts && !m_options.faults.unlimited_retries) {
    return false;
  }
  switch (kind) {
    case ErrorKind::kTargetConnectFailed:
    case ErrorKind::kBarred:
      return true;
    case ErrorKind::kOverloaded:
      // The owner of the key is overloaded and no other node may serve it; a retry would only add to the overload.
      return !m_request->keyed || m_options.faults.unlimited_retries;
    case ErrorKind::kTargetBroken:
    case ErrorKind::kPeerLost:
    case ErrorKind::kInternal:
      return m_request->idempotent || m_options.faults.retry_after_send;
    default:
      return false;
  }
}

void RequestFlow::OnRefusal(TimePoint now, Attempt& attempt, ErrorKind kind, FlowActions& actions) {
  attempt.state = AttemptState::kDone;
  const Route route = attempt.route;
  if (AnswerFor(kind).run_state != RunState::kNotRun) {
    m_outcome_unknown = true;
  }
  if (attempt.lost) {
    // OnAttemptLost already decided on a retry when the attempt's node was lost.
    if (m_deferred_refusal.has_value()) {
      AnswerRefusal(now, *m_deferred_refusal, actions);
    }
    return;
  }
  AfterFailure(now, route, kind, actions);
}

void RequestFlow::AfterFailure(TimePoint now, const Route& route, ErrorKind kind, FlowActions& actions) {
  m_last_refusal = kind;
  m_target_attempts += IsOwnershipRefusal(kind) ? 0 : 1;
  if (!m_request->keyed) {
    m_excluded.push_back(route.node);
  }
  if (AnyAwaited()) {
    return;  // another attempt, such as a hedge, may still answer
  }
  if (!MayRetry(kind)) {
    return AnswerRefusal(now, kind, actions);
  }
  RetryAfterRefusal(now, route, kind, actions);
}

void RequestFlow::RetryAfterRefusal(TimePoint now, const Route& route, ErrorKind kind, FlowActions& actions) {
  if (!m_request->keyed) {
    // A draining node or one without a lease refuses before its target does any work, and each node is tried once.
    if (!IsOwnershipRefusal(kind) && !TakeRetry()) {
      return AnswerRefusal(now, kind, actions);
    }
    return TryRoute(now, actions);
  }
  // A keyed request has only one possible owner. It either waits for a newer grant, which costs no retry budget because
  // each grant is tried once, or retries the same owner after a backoff, which costs retry budget.
  m_refused_route = route;
  m_retry_at = now + std::min(m_options.initial_backoff * (1 << std::min(m_backoffs++, 10)), m_options.max_backoff);
  if (kind == ErrorKind::kWrongOwner || kind == ErrorKind::kNoOwner || kind == ErrorKind::kPeerLost) {
    actions.push_back(FlowFetchPack{});
  }
  if (m_context.counters != nullptr) {
    ++m_context.counters->held;
  }
  TryRoute(now, actions);
}

// ---- View, caller and time ----

void RequestFlow::OnRouteChanged(TimePoint now, FlowActions& actions) {
  TryRoute(now, actions);
  ScheduleWake(now, actions);
}

void RequestFlow::OnOwnerAvailable(TimePoint now, FlowActions& actions) {
  m_refused_route.reset();
  TryRoute(now, actions);
  ScheduleWake(now, actions);
}

void RequestFlow::OnCallerGone(TimePoint /*now*/, FlowActions& actions) {
  if (!m_answered) {
    m_answered = true;
    CancelUnfinished(actions);
  }
}

void RequestFlow::OnTick(TimePoint now, FlowActions& actions) {
  m_wake.reset();
  if (m_answered) {
    return;
  }
  const bool unfinished = AnyAwaited();
  if (now >= m_request->deadline + (AnyUnfinished() ? m_options.answer_grace : Duration::zero())) {
    OnDeadline(now, actions);
    return;
  }
  for (Attempt& attempt : m_attempts) {
    if (attempt.state == AttemptState::kQuerying && attempt.query_at <= now) {
      SendQuery(now, attempt, actions);
    }
  }
  if (m_hedge_at.has_value() && now >= *m_hedge_at) {
    m_hedge_at.reset();
    if (unfinished && now < m_request->deadline) {
      std::vector<IncarnationId> excluded = m_excluded;
      excluded.push_back(m_attempts.front().route.node);
      const Route route = m_context.pick(*m_request, excluded, now);
      if (route.IsValid() && m_context.hedge->TryTakeHedge()) {
        SendAttempt(now, route, true, actions);
      }
    }
  }
  if (!unfinished && (!m_retry_at.has_value() || now >= *m_retry_at)) {
    TryRoute(now, actions);
  }
  ScheduleWake(now, actions);
}

void RequestFlow::OnDeadline(TimePoint now, FlowActions& actions) {
  const bool querying = std::any_of(m_attempts.begin(), m_attempts.end(),
                                    [](const Attempt& attempt) { return attempt.state == AttemptState::kQuerying; });
  if (querying) {
    AnswerRefusal(now, ErrorKind::kPeerLost, actions);
  } else if (AnyUnfinished()) {
    AnswerRefusal(now, ErrorKind::kDeadlineAfterSend, actions);
  } else {
    AnswerRefusal(now, m_last_refusal.value_or(m_request->keyed ? ErrorKind::kNoOwner : ErrorKind::kDeadlineBeforeSend),
                  actions);
  }
}

void RequestFlow::AnswerRefusal(TimePoint now, ErrorKind kind, FlowActions& actions) {
  const bool lost_unfinished = std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt& attempt) {
    return attempt.lost && attempt.state != AttemptState::kDone;
  });
  if (lost_unfinished && now < m_request->deadline) {
    m_deferred_refusal = kind;
    m_retry_at.reset();
    return;
  }
  if (AnswerFor(kind).run_state == RunState::kNotRun && (m_outcome_unknown || AnyUnfinished()) &&
      !m_options.faults.forget_unknown) {
    kind = ErrorKind::kPeerLost;
  }
  Answer(now, MakeRefusal(m_request->id, kind, {}), actions);
}

void RequestFlow::Answer(TimePoint /*now*/, Response response, FlowActions& actions) {
  m_answered = true;
  CancelUnfinished(actions);
  actions.push_back(FlowAnswer{std::move(response)});
}

void RequestFlow::CancelUnfinished(FlowActions& actions) {
  for (Attempt& attempt : m_attempts) {
    if (attempt.state != AttemptState::kDone) {
      attempt.state = AttemptState::kDone;
      actions.push_back(FlowCancel{attempt.number, attempt.route.node});
    }
  }
}

void RequestFlow::ScheduleWake(TimePoint /*now*/, FlowActions& actions) {
  if (m_answered) {
    return;
  }
  TimePoint next = m_request->deadline + (AnyUnfinished() ? m_options.answer_grace : Duration::zero());
  for (const Attempt& attempt : m_attempts) {
    if (attempt.state == AttemptState::kQuerying) {
      next = std::min(next, attempt.query_at);
    }
  }
  if (m_retry_at.has_value()) {
    next = std::min(next, *m_retry_at);
  }
  if (m_hedge_at.has_value()) {
    next = std::min(next, *m_hedge_at);
  }
  if (!m_wake.has_value() || *m_wake != next) {
    m_wake = next;
    actions.push_back(FlowWake{next});
  }
}

}  // namespace magnoliaarch
