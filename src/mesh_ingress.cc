#include "mesh_ingress_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

// Tries on other nodes that refused without involving their target.
constexpr int kMostTries = 6;
// A busy balanced target is left for another one this often.
constexpr int kMostBusyTries = 3;
// A request whose workspace is out of tokens waits this long for the coordinator.
constexpr Duration kTokenWait = std::chrono::milliseconds(60);
// How often a held request looks for an owner without being told of a change.
constexpr Duration kHoldStep = std::chrono::milliseconds(40);
// An owner that does not hold a key is asked again under the same fence after this time.
constexpr Duration kAskOwnerAgain = std::chrono::milliseconds(150);
// A request that is late already is held for an owner at most this long.
constexpr Duration kLateHold = std::chrono::milliseconds(150);
// A node that could not be reached is left out for this long.
constexpr Duration kAvoid = std::chrono::milliseconds(700);
// A rejected request is sent to the same target again after this time.
constexpr Duration kSameTargetDelay = std::chrono::milliseconds(25);
// Another try needs this much time.
constexpr Duration kLeastTryTime = std::chrono::milliseconds(30);
// A repeat may make the target call others again.
constexpr double kRepeatCost = 1.3;
constexpr Duration kQuotaRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kNoOwnerRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kNotReadyRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kMaxDeadline = std::chrono::minutes(10);
// Statuses from here on are failures of the target.
constexpr std::uint32_t kFirstFailure = 500;

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
  m_log.Write(LogRank::kFailure, "request_refused",
              {{"id", request_id}, {"route", route}, {"reason", answer.name}, {"status", answer.status}});
  exchange->Respond(m_wire.Refusal(kind, request_id, retry_after));
}

void MeshIngress::OnRequest(const std::shared_ptr<HttpExchange>& exchange) {
  const TimePoint now = exchange->received;
  absl::StatusOr<CallerRequest> caller = m_wire.ParseCaller(exchange->request);
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
  if (config->version != m_token_version) {
    m_token_version = config->version;
    m_tokens.SetLimits(now, *config, m_hooks.live_nodes());
  }
  const MeshRoute* route = config->FindRoute(caller->host, exchange->request.target);
  if (route == nullptr || route->parts.empty()) {
    RefuseExchange(exchange, MeshError::kUnknownRoute, caller->id, "");
    return;
  }
  std::optional<std::size_t> workspace;
  if (!route->open && !config->workspaces.empty()) {
    const auto found = config->keys.find(caller->workspace_key);
    if (found == config->keys.end()) {
      RefuseExchange(exchange, MeshError::kUnauthenticated, caller->id, route->name);
      return;
    }
    workspace = found->second;
  }
  const FlowId id = ++m_last_flow;
  Flow& flow = m_flows[id];
  flow.exchange = exchange;
  flow.config = config;
  flow.route = route;
  flow.workspace = workspace;
  flow.received = now;
  const Duration time_left = std::min(caller->time_left.value_or(kMaxDeadline), kMaxDeadline);
  // A caller that asks again has less time than it gave at first; the objective counts from the first time.
  Duration elapsed(0);
  RouteStats& stats = m_routes[route->name];
  if (!route->open && caller->time_left.has_value()) {
    stats.longest_wait = std::max(stats.longest_wait, time_left);
    elapsed = stats.longest_wait - time_left;
  }
  flow.expires = now + std::min(time_left, route->timeout);
  flow.objective = now + route->objective - elapsed;
  proto::MeshRequest& request = flow.request;
  request.set_id(caller->id);
  request.set_service(PickPart(*route).service);
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
  if (workspace) {
    const MeshWorkspace& holder = config->workspaces[*workspace];
    request.set_workspace(holder.name);
    request.set_priority(holder.priority.value_or(route->priority));
  }
  if (caller->key) {
    request.set_key(*caller->key);
  }
  const MeshService* service = config->FindService(request.service());
  flow.sharded = service != nullptr && service->sharded;
  flow.body = std::make_shared<const std::string>(std::move(exchange->request.body));
  flow.timer = m_timers.At(flow.expires, [this, id] { OnTimeout(id); });
  exchange->on_disconnect = [this, id] { OnGone(id); };
  Admit(id);
}

const RoutePart& MeshIngress::PickPart(const MeshRoute& route) {
  if (route.parts.size() == 1) {
    return route.parts.front();
  }
  // Smooth weighted round robin: every run of requests has the weights' shares.
  std::vector<double>& credit = m_routes[route.name].part_credit;
  if (credit.size() != route.parts.size()) {
    credit.assign(route.parts.size(), 0);
    double total = 0;
    for (const RoutePart& part : route.parts) {
      total += part.weight;
    }
    // Nodes start at different places, so that their first requests do not all go to one part.
    for (std::size_t i = 0; i < credit.size(); ++i) {
      credit[i] = std::uniform_real_distribution<>(0, total / 2)(m_random);
    }
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < credit.size(); ++i) {
    credit[i] += route.parts[i].weight;
    total += route.parts[i].weight;
    if (credit[i] > credit[best]) {
      best = i;
    }
  }
  credit[best] -= total;
  return route.parts[best];
}

void MeshIngress::Admit(FlowId id) {
  Flow& flow = m_flows.at(id);
  const TimePoint now = BootClock::now();
  if (flow.workspace && !m_tokens.Take(now, *flow.workspace)) {
    if (now - flow.received > kTokenWait || m_tokens.IsAtLimit(now, *flow.workspace)) {
      Refuse(id, MeshError::kRateExceeded, kQuotaRetryAfter);
      return;
    }
    if (!flow.waits_for_tokens) {
      flow.waits_for_tokens = true;
      m_token_waiters.insert(id);
      flow.hold_timer = m_timers.At(flow.received + kTokenWait + std::chrono::milliseconds(1), [this, id] {
        if (m_flows.contains(id)) {
          m_flows.at(id).waits_for_tokens = false;
          m_token_waiters.erase(id);
          Admit(id);
        }
      });
      m_hooks.want_tokens();
    }
    return;
  }
  flow.waits_for_tokens = false;
  m_token_waiters.erase(id);
  m_timers.Cancel(std::exchange(flow.hold_timer, 0));
  BudgetOf(flow.request.service()).OnRequest(now);
  Try(id);
}

void MeshIngress::OnTokens() {
  const std::set<FlowId> waiters = m_token_waiters;
  for (const FlowId id : waiters) {
    if (m_flows.contains(id)) {
      Admit(id);
    }
  }
  if (!m_token_waiters.empty()) {
    m_hooks.want_tokens();
  }
}

RepeatBudget& MeshIngress::BudgetOf(const std::string& service) {
  const MeshBounds& bounds = *m_options.bounds;
  return m_budgets.try_emplace(service, bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window).first->second;
}

// ---- Routing ----

std::string MeshIngress::PickNode(Flow& flow, TimePoint now) {
  return flow.sharded && flow.request.has_key() ? PickOwner(flow, now) : PickBalanced(flow, now);
}

std::string MeshIngress::PickOwner(Flow& flow, TimePoint now) {
  if (!flow.hinted_owner.empty()) {
    return std::exchange(flow.hinted_owner, {});
  }
  const TableState* table = m_hooks.view().Table(flow.request.service());
  const proto::KeyRange* range = table != nullptr ? table->Find(flow.request.key()) : nullptr;
  if (range == nullptr) {
    return "";
  }
  const std::string& owner = range->owner().node();
  if (m_hooks.view().FindMember(owner) == nullptr || m_chooser.HintOf(owner).avoid_until > now) {
    return "";
  }
  // An owner that gives the key away says so once; the change of the table tells where it went.
  if (range->fence() == flow.refused_fence && now < flow.ask_again_at) {
    return "";
  }
  flow.asked_fence = range->fence();
  return owner;
}

std::string MeshIngress::PickBalanced(const Flow& flow, TimePoint now) {
  return m_chooser.Pick(m_hooks.view(), flow.request.service(), flow.route->name, flow.route->objective, flow.excluded,
                        now);
}

void MeshIngress::Try(FlowId id) {
  Flow& flow = m_flows.at(id);
  const TimePoint now = BootClock::now();
  if (flow.send != 0) {
    return;
  }
  if (now + kLeastTryTime / 4 >= flow.expires) {
    OnTimeout(id);
    return;
  }
  const std::string node = PickNode(flow, now);
  if (node.empty()) {
    Hold(id);
    return;
  }
  m_owner_waiters.erase(id);
  flow.waits_for_owner = false;
  m_timers.Cancel(std::exchange(flow.hold_timer, 0));
  ++flow.tries;
  flow.node = node;
  flow.request.set_time_left_ms(static_cast<std::uint32_t>(Milliseconds(flow.expires - now)));
  flow.request.set_objective_left_ms(static_cast<std::int32_t>(Milliseconds(flow.objective - now)));
  ++m_chooser.HintOf(node).in_flight;
  SendHooks hooks;
  hooks.done = [this, id, number = flow.tries](SendResult result) { OnSent(id, number, std::move(result)); };
  hooks.silent = [this, id, number = flow.tries] { OnSilent(id, number); };
  flow.send = m_hooks.send(node, flow.request, flow.body, std::move(hooks));
}

// Waits for an owner or a target, within reason.
void MeshIngress::Hold(FlowId id) {
  Flow& flow = m_flows.at(id);
  const TimePoint now = BootClock::now();
  const TimePoint end = std::min(std::max(flow.objective, flow.received + kLateHold), flow.expires);
  // A call that waits in vain also holds the slot of the request that makes it.
  const bool in_vain = !flow.sharded && m_chooser.IsWithoutTarget(flow.request.service(), now);
  if (in_vain || now + kLeastTryTime >= end || flow.tries >= kMostTries) {
    if (flow.fallback) {
      Deliver(id, std::move(*flow.fallback), "target-failed");
    } else {
      Refuse(id, flow.sharded ? MeshError::kNoOwner : MeshError::kNoTarget, kNoOwnerRetryAfter);
    }
    return;
  }
  flow.waits_for_owner = true;
  m_owner_waiters.insert(id);
  if (!flow.sharded) {
    // Every target was tried or is out; all of them are looked at again.
    flow.excluded.clear();
  }
  m_timers.Cancel(flow.hold_timer);
  flow.hold_timer = m_timers.At(std::min(now + kHoldStep, end), [this, id] {
    if (m_flows.contains(id)) {
      m_flows.at(id).hold_timer = 0;
      Try(id);
    }
  });
}

void MeshIngress::OnViewChanged() {
  const std::set<FlowId> waiters = m_owner_waiters;
  for (const FlowId id : waiters) {
    if (m_flows.contains(id)) {
      Try(id);
    }
  }
}

// ---- Answers ----

void MeshIngress::OnSilent(FlowId id, int number) {
  const auto it = m_flows.find(id);
  if (it == m_flows.end() || it->second.send == 0 || it->second.tries != number) {
    return;
  }
  Flow& flow = it->second;
  const TimePoint now = BootClock::now();
  m_chooser.HintOf(flow.node).avoid_until = now + kAvoid;
  flow.excluded.insert(flow.node);
  m_log.Write(LogRank::kFailure, "send_silent",
              {{"id", flow.request.id()}, {"to", flow.node}, {"after_ms", now - flow.received}});
  // The owner of a key is the only one that may run it. What may run once is not sent a second time.
  if (flow.sharded || !flow.route->idempotent) {
    return;
  }
  const bool may_have_run = std::exchange(flow.may_have_run, true);
  ++flow.arrivals;
  flow.silent.push_back(SilentSend{number, std::exchange(flow.send, 0), flow.node});
  if (!Repeat(id, false, Duration(0))) {
    flow.may_have_run = may_have_run;
    --flow.arrivals;
    flow.send = flow.silent.back().send;
    flow.silent.pop_back();
  }
}

void MeshIngress::OnSilentSent(FlowId id, const SilentSend& ended, SendResult result) {
  Flow& flow = m_flows.at(id);
  --m_chooser.HintOf(ended.node).in_flight;
  const bool answered = result.outcome == SendOutcome::kAnswered && result.answer.outcome() == proto::MESH_ANSWERED;
  const bool last = flow.send == 0 && flow.silent.empty();
  if (answered && (last || result.answer.status() < kFirstFailure)) {
    // The first success counts, or the last failure of a target.
    if (flow.send != 0) {
      --m_chooser.HintOf(flow.node).in_flight;
      m_hooks.cancel(std::exchange(flow.send, 0));
    }
    flow.node = ended.node;
    flow.refusal.reset();
    // It was counted when the node became silent.
    --flow.arrivals;
    OnAnswer(id, std::move(result.answer), std::move(result.body));
  } else if (flow.silent.empty() && flow.refusal) {
    Refuse(id, *flow.refusal, std::nullopt);
  }
}

void MeshIngress::OnSent(FlowId id, int number, SendResult result) {
  const auto it = m_flows.find(id);
  if (it == m_flows.end()) {
    return;
  }
  Flow& flow = it->second;
  const TimePoint now = BootClock::now();
  const auto silent = std::find_if(flow.silent.begin(), flow.silent.end(),
                                   [number](const SilentSend& send) { return send.number == number; });
  if (silent != flow.silent.end()) {
    const SilentSend ended = std::move(*silent);
    flow.silent.erase(silent);
    OnSilentSent(id, ended, std::move(result));
    return;
  }
  flow.send = 0;
  TargetHint& hint = m_chooser.HintOf(flow.node);
  --hint.in_flight;
  if (result.outcome == SendOutcome::kAnswered) {
    hint.load = result.answer.load_permille() / 1000.0;
    hint.in_flight_at_report = hint.in_flight;
    OnAnswer(id, std::move(result.answer), std::move(result.body));
    return;
  }
  flow.last_reason = result.detail;
  m_log.Write(LogRank::kFailure, "send_failed",
              {{"id", flow.request.id()},
               {"to", flow.node},
               {"sent", result.outcome == SendOutcome::kBroken},
               {"detail", result.detail},
               {"after_ms", now - flow.received}});
  hint.avoid_until = now + kAvoid;
  flow.excluded.insert(flow.node);
  if (result.outcome == SendOutcome::kNotSent) {
    Try(id);
    return;
  }
  ++flow.arrivals;
  flow.may_have_run = true;
  if (!Repeat(id, false, Duration(0))) {
    Refuse(id, MeshError::kTargetBroken, std::nullopt);
  }
}

void MeshIngress::OnAnswer(FlowId id, proto::MeshAnswer answer, std::string body) {
  Flow& flow = m_flows.at(id);
  const TimePoint now = BootClock::now();
  switch (answer.outcome()) {
    case proto::MESH_NOT_RUN:
      OnNotRun(id, answer);
      return;
    case proto::MESH_REJECTED: {
      ++flow.arrivals;
      const bool wrong_owner = answer.reason() == proto::MESH_NOT_OWNER;
      flow.last_reason = "rejected by the target";
      if (!flow.sharded) {
        flow.excluded.insert(flow.node);
      }
      if (Repeat(id, flow.sharded, wrong_owner ? kHoldStep : kSameTargetDelay)) {
        return;
      }
      Refuse(id, MeshError::kBusy, kNoOwnerRetryAfter);
      return;
    }
    case proto::MESH_UNKNOWN:
      ++flow.arrivals;
      flow.may_have_run = true;
      flow.last_reason = "no usable answer";
      if (!flow.sharded) {
        flow.excluded.insert(flow.node);
      }
      if (!Repeat(id, flow.sharded, Duration(0))) {
        Refuse(id, now + kLeastTryTime >= flow.expires ? MeshError::kTimedOut : MeshError::kTargetBroken, std::nullopt);
      }
      return;
    default:
      break;
  }
  ++flow.arrivals;
  flow.may_have_run = true;
  m_chooser.OnServed(flow.node, flow.route->name, std::chrono::microseconds(answer.service_us()), now);
  HttpMessage message;
  message.status = static_cast<int>(answer.status());
  for (proto::MeshHeader& field : *answer.mutable_headers()) {
    message.headers.push_back(Header{std::move(*field.mutable_name()), std::move(*field.mutable_value())});
  }
  m_wire.CompleteAnswer(&message, flow.request.id());
  message.body = std::move(body);
  const bool failed = message.status >= static_cast<int>(kFirstFailure);
  if (failed) {
    // The target's own failure: another run of an idempotent request may succeed.
    if (!flow.sharded) {
      flow.excluded.insert(flow.node);
    }
    flow.fallback = message;
    if (message.status != 504 && Repeat(id, flow.sharded, Duration(0))) {
      return;
    }
  }
  Deliver(id, std::move(message), failed ? "target-failed" : "answered");
}

void MeshIngress::OnNotRun(FlowId id, const proto::MeshAnswer& answer) {
  Flow& flow = m_flows.at(id);
  const TimePoint now = BootClock::now();
  flow.last_reason = proto::MeshReason_Name(answer.reason());
  const auto retry_after = std::chrono::milliseconds(answer.retry_after_ms());
  switch (answer.reason()) {
    case proto::MESH_NOT_OWNER:
      if (!answer.owner_node().empty() && answer.owner_node() != flow.node && flow.tries < kMostTries) {
        flow.hinted_owner = answer.owner_node();
        Try(id);
        return;
      }
      flow.refused_fence = flow.asked_fence;
      flow.ask_again_at = now + kAskOwnerAgain;
      Hold(id);
      return;
    case proto::MESH_BUSY:
    case proto::MESH_COLD:
      if (flow.sharded || flow.tries >= kMostBusyTries || now + kLeastTryTime >= flow.objective) {
        if (flow.fallback) {
          Deliver(id, std::move(*flow.fallback), "target-failed");
        } else {
          Refuse(id, MeshError::kBusy, retry_after);
        }
        return;
      }
      flow.excluded.insert(flow.node);
      {
        // Without another target the refusal stands; waiting would only hold the caller.
        const std::string other = PickBalanced(flow, now);
        if (other.empty()) {
          Refuse(id, MeshError::kBusy, retry_after);
          return;
        }
      }
      Try(id);
      return;
    default:
      // The target is down or leaves.
      flow.excluded.insert(flow.node);
      if (!flow.sharded) {
        m_chooser.HintOf(flow.node).accepts = false;
      }
      if (flow.tries >= kMostTries) {
        Refuse(id, flow.sharded ? MeshError::kNoOwner : MeshError::kNoTarget, kNoOwnerRetryAfter);
      } else if (flow.sharded) {
        Hold(id);
      } else {
        Try(id);
      }
      return;
  }
}

bool MeshIngress::Repeat(FlowId id, bool same_target, Duration delay) {
  Flow& flow = m_flows.at(id);
  const TimePoint now = BootClock::now();
  if (flow.may_have_run && !flow.route->idempotent) {
    return false;
  }
  if (flow.arrivals >= flow.route->attempts || now + delay + kLeastTryTime >= flow.expires ||
      !flow.exchange->IsOpen()) {
    return false;
  }
  if (!same_target && !flow.sharded && PickBalanced(flow, now).empty()) {
    return false;
  }
  if (!BudgetOf(flow.request.service()).Take(now, kRepeatCost, m_hooks.live_nodes())) {
    flow.last_reason += "; no budget for a repeat";
    return false;
  }
  if (delay <= Duration(0)) {
    Try(id);
    return true;
  }
  m_timers.Cancel(flow.hold_timer);
  flow.hold_timer = m_timers.At(now + delay, [this, id] {
    if (m_flows.contains(id)) {
      m_flows.at(id).hold_timer = 0;
      Try(id);
    }
  });
  return true;
}

void MeshIngress::Refuse(FlowId id, MeshError kind, std::optional<Duration> retry_after) {
  Flow& flow = m_flows.at(id);
  const TimePoint now = BootClock::now();
  if (!flow.silent.empty() && now < flow.expires) {
    // The silent node may be at work on the request: its answer is better than a failure of this node.
    flow.refusal = kind;
    flow.waits_for_owner = false;
    m_owner_waiters.erase(id);
    m_timers.Cancel(std::exchange(flow.hold_timer, 0));
    return;
  }
  if (flow.may_have_run && !AnswerFor(kind).ran_unknown) {
    kind = MeshError::kTargetBroken;
    retry_after.reset();
  }
  const MeshErrorAnswer& answer = AnswerFor(kind);
  m_log.Write(LogRank::kFailure, "request_failed",
              {{"id", flow.request.id()},
               {"route", flow.request.route()},
               {"workspace", flow.request.workspace()},
               {"reason", answer.name},
               {"status", answer.status},
               {"cause", flow.last_reason},
               {"at", flow.node},
               {"key", flow.request.has_key() ? static_cast<std::int64_t>(flow.request.key()) : -1},
               {"tries", flow.tries},
               {"arrivals", flow.arrivals},
               {"after_ms", now - flow.received},
               {"objective_left_ms", flow.objective - now},
               {"retry_after_ms", retry_after.value_or(Duration(0))},
               {"config", flow.config->version},
               {"view", m_hooks.view().Revision()}});
  Count(flow, answer.name, now);
  const std::shared_ptr<HttpExchange> exchange = flow.exchange;
  const std::string request_id = flow.request.id();
  End(id);
  exchange->Respond(m_wire.Refusal(kind, request_id, retry_after));
}

void MeshIngress::Deliver(FlowId id, HttpMessage answer, std::string_view outcome) {
  const Flow& flow = m_flows.at(id);
  const TimePoint now = BootClock::now();
  m_log.Write(LogRank::kSuccess, "request_ended",
              {{"id", flow.request.id()},
               {"route", flow.request.route()},
               {"outcome", outcome},
               {"status", answer.status},
               {"at", flow.node},
               {"tries", flow.tries},
               {"after_ms", now - flow.received},
               {"late", now > flow.objective}});
  Count(flow, now > flow.objective && outcome == "answered" ? "late" : outcome, now);
  const std::shared_ptr<HttpExchange> exchange = flow.exchange;
  End(id);
  exchange->Respond(std::move(answer));
}

void MeshIngress::OnTimeout(FlowId id) {
  const auto it = m_flows.find(id);
  if (it == m_flows.end()) {
    return;
  }
  Flow& flow = it->second;
  if (flow.fallback && flow.send == 0) {
    Deliver(id, std::move(*flow.fallback), "target-failed");
    return;
  }
  // A send without an answer may have reached the target.
  Refuse(id, flow.send != 0 || flow.may_have_run ? MeshError::kTimedOut : MeshError::kExpired, std::nullopt);
}

void MeshIngress::OnGone(FlowId id) {
  const auto it = m_flows.find(id);
  if (it != m_flows.end()) {
    Count(it->second, "caller-gone", BootClock::now());
    End(id);
  }
}

void MeshIngress::End(FlowId id) {
  const auto it = m_flows.find(id);
  Flow flow = std::move(it->second);
  m_flows.erase(it);
  m_timers.Cancel(flow.timer);
  m_timers.Cancel(flow.hold_timer);
  m_token_waiters.erase(id);
  m_owner_waiters.erase(id);
  flow.exchange->on_disconnect = nullptr;
  if (flow.send != 0) {
    --m_chooser.HintOf(flow.node).in_flight;
    m_hooks.cancel(flow.send);
  }
  for (const SilentSend& silent : flow.silent) {
    --m_chooser.HintOf(silent.node).in_flight;
    m_hooks.cancel(silent.send);
  }
}

void MeshIngress::Count(const Flow& flow, std::string_view outcome, TimePoint now) {
  auto& entry = m_counters[{flow.request.route(), std::string(outcome)}];
  if (entry.first == nullptr) {
    const std::string& route = flow.request.route();
    entry.first = &m_metrics.GetCounter("magnolia_mesh_requests_total", "Requests of callers by their end.",
                                        {{"route", route}, {"outcome", std::string(outcome)}});
    entry.second =
        &m_metrics.GetHistogram("magnolia_mesh_request_seconds", "Time from a request to its end.", {{"route", route}});
  }
  entry.first->Add();
  entry.second->Observe(std::chrono::duration<double>(now - flow.received).count());
}

}  // namespace magnoliaarch
