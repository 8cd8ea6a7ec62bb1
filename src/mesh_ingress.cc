#include "mesh_ingress_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

// Maximum sends of one request to nodes, including those refused without involving a target.
constexpr int kMaxNodeSends = 6;
// Maximum sends of one request to a service that is not sharded while its targets are busy.
constexpr int kMaxBusyNodeSends = 3;
// A request waits for tokens for at most this part of its objective, within the two limits.
constexpr int kTokenWaitPart = 4;
constexpr Duration kMinTokenWait = std::chrono::milliseconds(60);
constexpr Duration kMaxTokenWait = std::chrono::milliseconds(250);
// Interval at which a waiting request looks for an owner or target if no view change is reported.
constexpr Duration kWaitPollInterval = std::chrono::milliseconds(40);
// Delay before an owner that does not hold the key is tried again while the fence is unchanged.
constexpr Duration kOwnerRetryDelay = std::chrono::milliseconds(150);
// Maximum wait for an owner or target of a request that is already late.
constexpr Duration kLateRequestMaxWait = std::chrono::milliseconds(150);
// An unreachable node is not chosen again for this time.
constexpr Duration kUnreachableNodeAvoidTime = std::chrono::milliseconds(700);
// Delay before a rejected request is sent to the same target again.
constexpr Duration kSameTargetRetryDelay = std::chrono::milliseconds(25);
// A send is started only if this much time is left.
constexpr Duration kMinTimeForSend = std::chrono::milliseconds(30);
// Cost of one retry in the budget. More than 1, because the retried request may call other services again.
constexpr double kRetryCost = 1.3;
constexpr Duration kQuotaRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kNoOwnerRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kMaxDeadline = std::chrono::minutes(10);
// HTTP statuses from this one on are server errors.
constexpr std::uint32_t kFirstServerErrorStatus = 500;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

MeshIngress::MeshIngress(TimerQueue& timers,
                         const MeshWire& wire,
                         MeshLog& log,
                         MetricsRegistry& metrics,
                         MeshIngressOptions options,
                         MeshIngressHooks hooks)
    : m_timers(timers),
      m_wire(wire),
      m_log(log),
      m_metrics(metrics),
      m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_chooser(m_options.domain, m_options.domain_preference, m_options.seed),
      m_random(m_options.seed) {}

// ---- Admission ----

void MeshIngress::RefuseExchange(const std::shared_ptr<HttpExchange>& exchange,
                                 MeshError kind,
                                 const std::string& request_id,
                                 std::string_view route) {
  const MeshErrorAnswer& answer = AnswerFor(kind);
  std::optional<Duration> retry_after;
  if (answer.status == 503) {
    retry_after = kNotReadyRetryAfter;
  }
  m_log.Write(LogCategory::kFailure, "request_refused",
              {{"id", request_id}, {"route", route}, {"reason", answer.name}, {"status", answer.status}});
  exchange->Respond(m_wire.Refusal(kind, request_id, retry_after));
}

void MeshIngress::OnRequest(const std::shared_ptr<HttpExchange>& exchange) {
  const TimePoint now = exchange->received;
  absl::StatusOr<CallerRequest> caller = m_wire.ParseCallerRequest(exchange->request);
  if (!caller.ok()) {
    RefuseExchange(exchange, MeshError::kMalformed, "", "");
    return;
  }
  if (m_refuse_all) {
    RefuseExchange(exchange, MeshError::kStopping, caller->id, "");
    return;
  }
  const std::shared_ptr<const MeshConfig> config = m_hooks.view().Config();
  if (config == nullptr) {
    RefuseExchange(exchange, MeshError::kNotConfigured, caller->id, "");
    return;
  }
  FollowLimits(now, *config);
  const MeshRoute* route = config->FindRoute(caller->host, exchange->request.target);
  if (route == nullptr || route->weighted_services.empty()) {
    RefuseExchange(exchange, FinalUnlessUnconfirmed(MeshError::kUnknownRoute), caller->id, "");
    return;
  }
  std::optional<std::size_t> workspace;
  if (!route->open && !config->workspaces.empty()) {
    const auto found = config->keys.find(caller->workspace_key);
    if (found == config->keys.end()) {
      RefuseExchange(exchange, FinalUnlessUnconfirmed(MeshError::kUnauthenticated), caller->id, route->name);
      return;
    }
    workspace = found->second;
  }
  const PendingId id = ++m_last_pending_id;
  PendingRequest& pending = m_pending[id];
  pending.exchange = exchange;
  pending.config = config;
  pending.route = route;
  pending.workspace = workspace;
  pending.received = now;
  const Duration time_left = std::min(caller->time_left.value_or(kMaxDeadline), kMaxDeadline);
  // When a caller retries, it sends less remaining time than with its first attempt. The objective counts from the
  // first attempt.
  Duration elapsed(0);
  RouteStats& stats = m_route_stats[route->name];
  if (!route->open && caller->time_left.has_value()) {
    elapsed = stats.longest_wait.Update(now, time_left) - time_left;
  }
  pending.expires = now + std::min(time_left, route->timeout);
  pending.objective = now + route->objective - elapsed;
  proto::MeshRequest& request = pending.request;
  request.set_id(caller->id);
  request.set_service(PickService(*route).service);
  request.set_method(exchange->request.method);
  request.set_path(exchange->request.target);
  for (Header& header : m_wire.ForwardedHeaders(exchange->request)) {
    proto::MeshHeader* field = request.add_headers();
    field->set_name(std::move(header.name));
    field->set_value(std::move(header.value));
  }
  request.set_idempotent(route->idempotent);
  request.set_priority(route->priority);
  request.set_route(route->name);
  request.set_caller_service(m_options.service);
  request.set_inner(m_hooks.is_inner_route && m_hooks.is_inner_route(route->name, now));
  if (workspace) {
    const MeshWorkspace& assigned_workspace = config->workspaces[*workspace];
    request.set_workspace(assigned_workspace.name);
    request.set_priority(assigned_workspace.priority.value_or(route->priority));
  }
  if (caller->key) {
    request.set_key(*caller->key);
  }
  const MeshService* service = config->FindService(request.service());
  pending.sharded = service != nullptr && service->sharded;
  pending.body = ShareBody(std::move(exchange->request.body), std::move(exchange->request.charge));
  pending.expiry_timer = m_timers.At(pending.expires, [this, id] { OnTimeout(id); });
  exchange->on_disconnect = [this, id] { OnCallerGone(id); };
  if (request.inner() && m_hooks.on_inner_call) {
    m_hooks.on_inner_call(request);
  }
  Admit(id);
}

void MeshIngress::FollowLimits(TimePoint now, const MeshConfig& config) {
  if (config.version != m_token_config_version) {
    m_token_config_version = config.version;
    m_tokens.SetLimits(now, config);
  }
}

// Callers do not repeat a request after 401 or 404, so a node that may lack the configuration which allows the request
// must not answer so.
MeshError MeshIngress::FinalUnlessUnconfirmed(MeshError kind) const {
  return m_hooks.may_lack_configuration && m_hooks.may_lack_configuration() ? MeshError::kConfigUnconfirmed : kind;
}

const WeightedService& MeshIngress::PickService(const MeshRoute& route) {
  if (route.weighted_services.size() == 1) {
    return route.weighted_services.front();
  }
  // Smooth weighted round robin: any series of requests is split according to the weights.
  std::vector<double>& credit = m_route_stats[route.name].service_credit;
  if (credit.size() != route.weighted_services.size()) {
    credit.assign(route.weighted_services.size(), 0);
    double total = 0;
    for (const WeightedService& candidate : route.weighted_services) {
      total += candidate.weight;
    }
    // Random initial credits, so that the first requests of all nodes do not go to the same service.
    for (std::size_t i = 0; i < credit.size(); ++i) {
      credit[i] = std::uniform_real_distribution<>(0, total / 2)(m_random);
    }
  }
  double total = 0;
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < credit.size(); ++i) {
    credit[i] += route.weighted_services[i].weight;
    total += route.weighted_services[i].weight;
    if (credit[i] > credit[chosen]) {
      chosen = i;
    }
  }
  credit[chosen] -= total;
  return route.weighted_services[chosen];
}

void MeshIngress::Admit(PendingId id) {
  PendingRequest& pending = m_pending.at(id);
  const TimePoint now = BootClock::now();
  if (pending.workspace && !m_tokens.Take(now, *pending.workspace)) {
    const TimePoint wait_end =
        pending.received + std::clamp(pending.route->objective / kTokenWaitPart, kMinTokenWait, kMaxTokenWait);
    const bool waited = pending.waits_for_tokens;
    SetWaitsForTokens(id, true);
    if (now >= wait_end || m_tokens.IsAtLimit(now, *pending.workspace) || !m_hooks.request_tokens(*pending.workspace)) {
      Refuse(id, MeshError::kRateExceeded, kQuotaRetryAfter);
    } else if (!waited) {
      pending.wait_timer = m_timers.At(wait_end, [this, id] {
        if (m_pending.contains(id)) {
          SetWaitsForTokens(id, false);
          Admit(id);
        }
      });
    }
    return;
  }
  pending.has_token = pending.workspace.has_value();
  pending.token_taken_at = now;
  SetWaitsForTokens(id, false);
  m_timers.Cancel(std::exchange(pending.wait_timer, 0));
  RetryBudgetFor(pending.request.service()).OnRequest(now);
  // The run that makes an inner call is in progress already; refusing the call would waste its work.
  if (m_hooks.refuse_new && !pending.request.inner()) {
    if (const std::optional<IngressRefusal> refusal = m_hooks.refuse_new(pending.request, pending.objective, now)) {
      Refuse(id, refusal->kind, refusal->retry_after);
      return;
    }
  }
  if (m_hooks.on_admitted) {
    m_hooks.on_admitted(pending.request, now);
  }
  TrySend(id);
}

void MeshIngress::SetWaitsForTokens(PendingId id, bool waits) {
  PendingRequest& pending = m_pending.at(id);
  if (std::exchange(pending.waits_for_tokens, waits) == waits) {
    return;
  }
  waits ? static_cast<void>(m_token_waiters.insert(id)) : static_cast<void>(m_token_waiters.erase(id));
  // The holder counts from zero again after a change of the configuration.
  if (pending.config->version == m_token_config_version) {
    m_tokens.AddWaiting(*pending.workspace, waits ? 1 : -1);
  }
}

void MeshIngress::OnTokens() {
  const std::set<PendingId> waiters = m_token_waiters;
  for (const PendingId id : waiters) {
    if (m_pending.contains(id)) {
      Admit(id);
    }
  }
}

MeshRetryBudget& MeshIngress::RetryBudgetFor(const std::string& service) {
  const MeshBounds& bounds = *m_options.bounds;
  return m_retry_budgets.try_emplace(service, bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window)
      .first->second;
}

// ---- Routing ----

std::string MeshIngress::PickNode(PendingRequest& pending, TimePoint now) {
  if (!pending.sharded || !pending.request.has_key()) {
    return PickBalanced(pending, now);
  }
  std::string owner = PickOwner(pending, now);
  if (!owner.empty() && m_hooks.admits_target && !m_hooks.admits_target(pending.request, owner)) {
    // Only the owner may run the request, so that it waits until the owner is admitted or the key has moved.
    owner.clear();
  }
  return owner;
}

std::string MeshIngress::PickOwner(PendingRequest& pending, TimePoint now) {
  if (!pending.hinted_owner.empty()) {
    return std::exchange(pending.hinted_owner, {});
  }
  const TableState* table = m_hooks.view().Table(pending.request.service());
  const proto::KeyRange* range = table != nullptr ? table->Find(pending.request.key()) : nullptr;
  if (range == nullptr) {
    return "";
  }
  const std::string& owner = range->owner().node();
  if (m_hooks.view().FindMember(owner) == nullptr || m_chooser.HintOf(owner).avoid_until > now) {
    return "";
  }
  // The owner has already refused under this fence; the next version of the table names the new owner.
  if (range->fence() == pending.refused_fence && now < pending.owner_retry_at) {
    return "";
  }
  pending.asked_fence = range->fence();
  return owner;
}

std::string MeshIngress::PickBalanced(const PendingRequest& pending, TimePoint now) {
  PickRequest pick{pending.request.service(), pending.route->name, pending.route->objective, pending.excluded, now};
  if (m_hooks.admits_target) {
    pick.admits = [&](const std::string& node) { return m_hooks.admits_target(pending.request, node); };
  }
  if (m_hooks.target_cost_factor) {
    pick.cost_factor = [&](const std::string& node) { return m_hooks.target_cost_factor(pending.request, node); };
  }
  return m_chooser.Pick(m_hooks.view(), pick);
}

void MeshIngress::TrySend(PendingId id) {
  PendingRequest& pending = m_pending.at(id);
  const TimePoint now = BootClock::now();
  if (pending.send_id != 0) {
    return;
  }
  if (now + kMinTimeForSend / 4 >= pending.expires) {
    OnTimeout(id);
    return;
  }
  const std::string node = PickNode(pending, now);
  if (node.empty()) {
    WaitForTarget(id);
    return;
  }
  m_target_waiters.erase(id);
  pending.waits_for_target = false;
  m_timers.Cancel(std::exchange(pending.wait_timer, 0));
  ++pending.node_sends;
  pending.node = node;
  pending.sent_at = now;
  pending.request.set_time_left_ms(static_cast<std::uint32_t>(Milliseconds(pending.expires - now)));
  pending.request.set_objective_left_ms(static_cast<std::int32_t>(Milliseconds(pending.objective - now)));
  ++m_chooser.HintOf(node).in_flight;
  SendHooks hooks;
  hooks.done = [this, id, send_number = pending.node_sends](SendResult result) {
    OnSendEnded(id, send_number, std::move(result));
  };
  hooks.silent = [this, id, send_number = pending.node_sends] { OnSilent(id, send_number); };
  pending.send_id = m_hooks.send(node, pending.request, pending.body, std::move(hooks));
}

// Waits for an owner or a target within the objective, or ends the request if waiting is pointless.
void MeshIngress::WaitForTarget(PendingId id) {
  PendingRequest& pending = m_pending.at(id);
  const TimePoint now = BootClock::now();
  const TimePoint end = std::min(std::max(pending.objective, pending.received + kLateRequestMaxWait), pending.expires);
  // A call that waits without a chance of success would block the slot of the request that makes it.
  const bool no_target = !pending.sharded && m_chooser.HasNoTarget(pending.request.service(), now);
  if (no_target || now + kMinTimeForSend >= end || pending.node_sends >= kMaxNodeSends) {
    if (pending.fallback_answer) {
      Deliver(id, std::move(*pending.fallback_answer), "target-failed");
    } else {
      Refuse(id, pending.sharded ? MeshError::kNoOwner : MeshError::kNoTarget, kNoOwnerRetryAfter);
    }
    return;
  }
  pending.waits_for_target = true;
  m_target_waiters.insert(id);
  if (!pending.sharded) {
    // All targets have been tried or are unavailable; consider all of them again.
    pending.excluded.clear();
  }
  m_timers.Cancel(pending.wait_timer);
  pending.wait_timer = m_timers.At(std::min(now + kWaitPollInterval, end), [this, id] {
    if (m_pending.contains(id)) {
      m_pending.at(id).wait_timer = 0;
      TrySend(id);
    }
  });
}

void MeshIngress::OnViewChanged() {
  if (const auto config = m_hooks.view().Config(); config != nullptr) {
    FollowLimits(BootClock::now(), *config);
  }
  const std::set<PendingId> waiters = m_target_waiters;
  for (const PendingId id : waiters) {
    if (m_pending.contains(id)) {
      TrySend(id);
    }
  }
}

// ---- Answers ----

void MeshIngress::OnSilent(PendingId id, int send_number) {
  const auto it = m_pending.find(id);
  if (it == m_pending.end() || it->second.send_id == 0 || it->second.node_sends != send_number) {
    return;
  }
  PendingRequest& pending = it->second;
  const TimePoint now = BootClock::now();
  m_chooser.HintOf(pending.node).avoid_until = now + kUnreachableNodeAvoidTime;
  pending.excluded.insert(pending.node);
  m_log.Write(LogCategory::kFailure, "send_silent",
              {{"id", pending.request.id()}, {"to", pending.node}, {"after_ms", now - pending.received}});
  // Only the owner of a key may execute its requests, and requests that are not idempotent must not be sent twice.
  if (pending.sharded || !pending.route->idempotent) {
    return;
  }
  const bool may_have_run = std::exchange(pending.may_have_run, true);
  ++pending.target_sends;
  pending.silent.push_back(SilentSend{send_number, std::exchange(pending.send_id, 0), pending.node});
  if (!Retry(id, false, Duration(0))) {
    pending.may_have_run = may_have_run;
    --pending.target_sends;
    pending.send_id = pending.silent.back().send_id;
    pending.silent.pop_back();
  }
}

void MeshIngress::ReportSend(const std::string& node,
                             const PendingRequest& pending,
                             const SendResult& result,
                             TimePoint now,
                             Duration elapsed) {
  if (m_hooks.on_send_ended) {
    m_hooks.on_send_ended(EndedSend{node, pending.request, result, elapsed, now, pending.body->size()});
  }
}

void MeshIngress::OnSilentSendEnded(PendingId id, const SilentSend& ended, SendResult result) {
  PendingRequest& pending = m_pending.at(id);
  ReportSend(ended.node, pending, result, BootClock::now(), Duration(0));
  --m_chooser.HintOf(ended.node).in_flight;
  const bool answered = result.outcome == SendOutcome::kAnswered && result.answer.outcome() == proto::MESH_ANSWERED;
  const bool last = pending.send_id == 0 && pending.silent.empty();
  if (answered && (last || result.answer.status() < kFirstServerErrorStatus)) {
    // Takes the first success, or the last error answer if no send is left.
    if (pending.send_id != 0) {
      --m_chooser.HintOf(pending.node).in_flight;
      m_hooks.cancel(std::exchange(pending.send_id, 0));
    }
    pending.node = ended.node;
    pending.refusal.reset();
    // This send was already counted when its node became silent.
    --pending.target_sends;
    OnAnswer(id, std::move(result.answer), std::move(result.body));
  } else if (pending.silent.empty() && pending.refusal) {
    Refuse(id, *pending.refusal, std::nullopt);
  }
}

void MeshIngress::OnSendEnded(PendingId id, int send_number, SendResult result) {
  const auto it = m_pending.find(id);
  if (it == m_pending.end()) {
    return;
  }
  PendingRequest& pending = it->second;
  const TimePoint now = BootClock::now();
  const auto silent = std::find_if(pending.silent.begin(), pending.silent.end(),
                                   [send_number](const SilentSend& send) { return send.send_number == send_number; });
  if (silent != pending.silent.end()) {
    const SilentSend ended = std::move(*silent);
    pending.silent.erase(silent);
    OnSilentSendEnded(id, ended, std::move(result));
    return;
  }
  pending.send_id = 0;
  ReportSend(pending.node, pending, result, now, now - pending.sent_at);
  TargetHint& hint = m_chooser.HintOf(pending.node);
  --hint.in_flight;
  if (result.outcome == SendOutcome::kAnswered) {
    hint.load = result.answer.load_permille() / 1000.0;
    hint.in_flight_at_report = hint.in_flight;
    OnAnswer(id, std::move(result.answer), std::move(result.body));
    return;
  }
  pending.last_failure = result.detail;
  m_log.Write(LogCategory::kFailure, "send_failed",
              {{"id", pending.request.id()},
               {"to", pending.node},
               {"sent", result.outcome == SendOutcome::kBroken},
               {"detail", result.detail},
               {"after_ms", now - pending.received}});
  hint.avoid_until = now + kUnreachableNodeAvoidTime;
  pending.excluded.insert(pending.node);
  if (result.outcome == SendOutcome::kNotSent) {
    TrySend(id);
    return;
  }
  ++pending.target_sends;
  pending.may_have_run = true;
  if (!Retry(id, false, Duration(0))) {
    Refuse(id, MeshError::kTargetBroken, std::nullopt);
  }
}

void MeshIngress::OnAnswer(PendingId id, proto::MeshAnswer answer, std::string body) {
  PendingRequest& pending = m_pending.at(id);
  const TimePoint now = BootClock::now();
  switch (answer.outcome()) {
    case proto::MESH_NOT_RUN:
      OnNotRun(id, answer);
      return;
    case proto::MESH_REJECTED: {
      ++pending.target_sends;
      const bool wrong_owner = answer.reason() == proto::MESH_NOT_OWNER;
      pending.last_failure = "rejected by the target";
      if (!pending.sharded) {
        pending.excluded.insert(pending.node);
      }
      if (Retry(id, pending.sharded, wrong_owner ? kWaitPollInterval : kSameTargetRetryDelay)) {
        return;
      }
      Refuse(id, MeshError::kBusy, kNoOwnerRetryAfter);
      return;
    }
    case proto::MESH_UNKNOWN:
      ++pending.target_sends;
      pending.may_have_run = true;
      pending.last_failure = "no usable answer";
      if (!pending.sharded) {
        pending.excluded.insert(pending.node);
      }
      if (!Retry(id, pending.sharded, Duration(0))) {
        Refuse(id, now + kMinTimeForSend >= pending.expires ? MeshError::kTimedOut : MeshError::kTargetBroken,
               std::nullopt);
      }
      return;
    default:
      break;
  }
  ++pending.target_sends;
  pending.may_have_run = true;
  m_chooser.OnServed(pending.node, pending.route->name, std::chrono::microseconds(answer.service_us()), now);
  HttpMessage message;
  message.status = static_cast<int>(answer.status());
  for (proto::MeshHeader& field : *answer.mutable_headers()) {
    message.headers.push_back(Header{std::move(*field.mutable_name()), std::move(*field.mutable_value())});
  }
  m_wire.AddRequestId(&message, pending.request.id());
  message.body = std::move(body);
  const bool failed = message.status >= static_cast<int>(kFirstServerErrorStatus);
  if (failed) {
    // The target answered with a server error; a retry of an idempotent request may succeed.
    if (!pending.sharded) {
      pending.excluded.insert(pending.node);
    }
    pending.fallback_answer = message;
    if (message.status != 504 && Retry(id, pending.sharded, Duration(0))) {
      return;
    }
  }
  Deliver(id, std::move(message), failed ? "target-failed" : "answered");
}

void MeshIngress::OnNotRun(PendingId id, const proto::MeshAnswer& answer) {
  PendingRequest& pending = m_pending.at(id);
  const TimePoint now = BootClock::now();
  pending.last_failure = proto::MeshReason_Name(answer.reason());
  const auto retry_after = std::chrono::milliseconds(answer.retry_after_ms());
  switch (answer.reason()) {
    case proto::MESH_NOT_OWNER:
      if (!answer.owner_node().empty() && answer.owner_node() != pending.node && pending.node_sends < kMaxNodeSends) {
        pending.hinted_owner = answer.owner_node();
        TrySend(id);
        return;
      }
      pending.refused_fence = pending.asked_fence;
      pending.owner_retry_at = now + kOwnerRetryDelay;
      WaitForTarget(id);
      return;
    case proto::MESH_BUSY:
    case proto::MESH_COLD: {
      const bool inner = pending.request.inner();
      const int max_sends = inner ? kMaxNodeSends : kMaxBusyNodeSends;
      const TimePoint latest_send = inner ? pending.expires : pending.objective;
      if (pending.sharded || pending.node_sends >= max_sends || now + kMinTimeForSend >= latest_send) {
        if (pending.fallback_answer) {
          Deliver(id, std::move(*pending.fallback_answer), "target-failed");
        } else {
          Refuse(id, MeshError::kBusy, retry_after);
        }
        return;
      }
      pending.excluded.insert(pending.node);
      {
        // Without another target the refusal is final; waiting would only delay the caller.
        const std::string other = PickBalanced(pending, now);
        if (other.empty()) {
          Refuse(id, MeshError::kBusy, retry_after);
          return;
        }
      }
      TrySend(id);
      return;
    }
    default:
      // The target is down or draining.
      pending.excluded.insert(pending.node);
      if (!pending.sharded) {
        m_chooser.HintOf(pending.node).accepts = false;
      }
      if (pending.node_sends >= kMaxNodeSends) {
        Refuse(id, pending.sharded ? MeshError::kNoOwner : MeshError::kNoTarget, kNoOwnerRetryAfter);
      } else if (pending.sharded) {
        WaitForTarget(id);
      } else {
        TrySend(id);
      }
      return;
  }
}

bool MeshIngress::Retry(PendingId id, bool same_target, Duration delay) {
  PendingRequest& pending = m_pending.at(id);
  const TimePoint now = BootClock::now();
  if (pending.may_have_run && !pending.route->idempotent) {
    return false;
  }
  if (pending.target_sends >= pending.route->attempts || now + delay + kMinTimeForSend >= pending.expires ||
      !pending.exchange->IsOpen()) {
    return false;
  }
  if (!same_target && !pending.sharded && PickBalanced(pending, now).empty()) {
    return false;
  }
  if (!RetryBudgetFor(pending.request.service()).Take(now, kRetryCost, m_hooks.live_nodes())) {
    pending.last_failure += "; the retry budget is exhausted";
    return false;
  }
  if (delay <= Duration(0)) {
    TrySend(id);
    return true;
  }
  m_timers.Cancel(pending.wait_timer);
  pending.wait_timer = m_timers.At(now + delay, [this, id] {
    if (m_pending.contains(id)) {
      m_pending.at(id).wait_timer = 0;
      TrySend(id);
    }
  });
  return true;
}

void MeshIngress::Refuse(PendingId id, MeshError kind, std::optional<Duration> retry_after) {
  PendingRequest& pending = m_pending.at(id);
  const TimePoint now = BootClock::now();
  if (!pending.silent.empty() && now < pending.expires) {
    // The target of the silent node may be executing the request; its answer is better than an error from this node.
    pending.refusal = kind;
    pending.waits_for_target = false;
    m_target_waiters.erase(id);
    m_timers.Cancel(std::exchange(pending.wait_timer, 0));
    return;
  }
  if (pending.may_have_run && !AnswerFor(kind).may_have_run) {
    kind = MeshError::kTargetBroken;
    retry_after.reset();
  }
  const MeshErrorAnswer& answer = AnswerFor(kind);
  // A request that has not run does not count towards its workspace's rate.
  if (pending.has_token && !pending.may_have_run && !answer.may_have_run &&
      pending.config->version == m_token_config_version) {
    m_tokens.Refund(now, *pending.workspace, pending.token_taken_at);
  }
  m_log.Write(LogCategory::kFailure, "request_failed",
              {{"id", pending.request.id()},
               {"route", pending.request.route()},
               {"workspace", pending.request.workspace()},
               {"reason", answer.name},
               {"status", answer.status},
               {"cause", pending.last_failure},
               {"at", pending.node},
               {"key", pending.request.has_key() ? static_cast<std::int64_t>(pending.request.key()) : -1},
               {"inner", pending.request.inner()},
               {"tries", pending.node_sends},
               {"arrivals", pending.target_sends},
               {"after_ms", now - pending.received},
               {"objective_left_ms", pending.objective - now},
               {"retry_after_ms", retry_after.value_or(Duration(0))},
               {"config", pending.config->version},
               {"view", m_hooks.view().Revision()}});
  CountOutcome(pending, answer.name, now);
  ReportEnd(pending, kind, answer.status, now);
  const std::shared_ptr<HttpExchange> exchange = pending.exchange;
  const std::string request_id = pending.request.id();
  Remove(id);
  exchange->Respond(m_wire.Refusal(kind, request_id, retry_after));
}

void MeshIngress::Deliver(PendingId id, HttpMessage answer, std::string_view outcome) {
  const PendingRequest& pending = m_pending.at(id);
  const TimePoint now = BootClock::now();
  m_log.Write(LogCategory::kSuccess, "request_ended",
              {{"id", pending.request.id()},
               {"route", pending.request.route()},
               {"outcome", outcome},
               {"status", answer.status},
               {"at", pending.node},
               {"inner", pending.request.inner()},
               {"tries", pending.node_sends},
               {"after_ms", now - pending.received},
               {"late", now > pending.objective}});
  ReportEnd(pending, std::nullopt, answer.status, now);
  CountOutcome(pending, now > pending.objective && outcome == "answered" ? "late" : outcome, now);
  const std::shared_ptr<HttpExchange> exchange = pending.exchange;
  Remove(id);
  exchange->Respond(std::move(answer));
}

void MeshIngress::OnTimeout(PendingId id) {
  const auto it = m_pending.find(id);
  if (it == m_pending.end()) {
    return;
  }
  PendingRequest& pending = it->second;
  if (pending.send_id != 0) {
    ReportSend(pending.node, pending, SendResult{SendOutcome::kBroken, {}, {}, "no answer until the deadline"},
               BootClock::now(), Duration(0));
  }
  if (pending.fallback_answer && pending.send_id == 0) {
    Deliver(id, std::move(*pending.fallback_answer), "target-failed");
    return;
  }
  // A send that has no answer yet may have reached the target.
  Refuse(id, pending.send_id != 0 || pending.may_have_run ? MeshError::kTimedOut : MeshError::kExpired, std::nullopt);
}

void MeshIngress::OnCallerGone(PendingId id) {
  const auto it = m_pending.find(id);
  if (it != m_pending.end()) {
    CountOutcome(it->second, "caller-gone", BootClock::now());
    ReportEnd(it->second, std::nullopt, 0, BootClock::now());
    Remove(id);
  }
}

void MeshIngress::ReportEnd(const PendingRequest& pending,
                            std::optional<MeshError> refusal,
                            int status,
                            TimePoint now) {
  if (pending.request.inner() && m_hooks.on_inner_call_ended) {
    m_hooks.on_inner_call_ended(EndedRequest{pending.request, refusal, status, pending.target_sends > 0, now});
  }
}

void MeshIngress::Remove(PendingId id) {
  SetWaitsForTokens(id, false);
  const auto it = m_pending.find(id);
  PendingRequest pending = std::move(it->second);
  m_pending.erase(it);
  m_timers.Cancel(pending.expiry_timer);
  m_timers.Cancel(pending.wait_timer);
  m_target_waiters.erase(id);
  pending.exchange->on_disconnect = nullptr;
  if (pending.send_id != 0) {
    --m_chooser.HintOf(pending.node).in_flight;
    m_hooks.cancel(pending.send_id);
  }
  for (const SilentSend& silent : pending.silent) {
    --m_chooser.HintOf(silent.node).in_flight;
    m_hooks.cancel(silent.send_id);
  }
}

void MeshIngress::CountOutcome(const PendingRequest& pending, std::string_view outcome, TimePoint now) {
  auto& entry = m_counters[{pending.request.route(), std::string(outcome)}];
  if (entry.first == nullptr) {
    const std::string& route = pending.request.route();
    entry.first = &m_metrics.GetCounter("magnolia_mesh_requests_total", "Requests of callers by their end.",
                                        {{"route", route}, {"outcome", std::string(outcome)}});
    entry.second =
        &m_metrics.GetHistogram("magnolia_mesh_request_seconds", "Time from a request to its end.", {{"route", route}});
  }
  entry.first->Add();
  entry.second->Observe(std::chrono::duration<double>(now - pending.received).count());
}

}  // namespace magnoliaarch
