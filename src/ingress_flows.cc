#include "ingress_flows_p.h"

#include <vector>

#include "magnoliaarch/error.h"

namespace magnoliaarch {

IngressFlows::EntryState& IngressFlows::StateOf(const std::string& entry) {
  std::unique_ptr<EntryState>& state = m_entries[entry];
  if (!state) {
    state = std::make_unique<EntryState>(m_seed ^ HashKey(entry));
  }
  return *state;
}

Route IngressFlows::PickRoute(const Request& request, const std::vector<IncarnationId>& excluded, TimePoint now) {
  const std::shared_ptr<const View> view = m_hooks.view();
  const proto::EntryRecord* entry = view->FindEntry(request.entry);
  if (entry == nullptr) {
    return {};
  }
  if (request.keyed) {
    const proto::SliceRecord* slice = view->FindSlice(*entry, request.key_hash);
    if (slice == nullptr || slice->state() != proto::SLICE_STATE_OWNED) {
      return {};
    }
    const IncarnationId owner{slice->owner(), slice->owner_incarnation()};
    return IsLost(*view, owner) ? Route{} : Route{owner, slice->epoch()};
  }
  EntryState& state = StateOf(request.entry);
  if (state.balanced_view != view) {
    state.balanced_view = view;
    std::vector<IncarnationId> targets;
    for (const proto::MemberRecord* member : view->ServingMembers(request.entry)) {
      targets.push_back(IncarnationId{member->node(), member->incarnation()});
    }
    state.balancer.SetTargets(now, targets);
  }
  const std::optional<IncarnationId> target = state.balancer.Pick(now, excluded);
  return target.has_value() ? Route{*target, 0} : Route{};
}

bool IngressFlows::IsLost(const View& view, const IncarnationId& node) {
  const proto::MemberRecord* member = view.FindMember(node.node);
  return member == nullptr || member->incarnation() != node.number || member->fenced() ||
         member->state() == proto::MEMBER_STATE_GONE;
}

void IngressFlows::Start(std::shared_ptr<const Request> request, TimePoint received, Responder respond) {
  EntryState& state = StateOf(request->entry);
  FlowContext context;
  context.pick = [this](const Request& routed, const std::vector<IncarnationId>& excluded, TimePoint now) {
    return PickRoute(routed, excluded, now);
  };
  context.retry_budget = &state.retry_budget;
  context.hedge = &state.hedge;
  context.counters = &state.counters;
  Flow flow;
  flow.request = request;
  flow.respond = std::move(respond);
  flow.received = received;
  flow.machine = std::make_unique<RequestFlow>(FlowOptions{}, std::move(context), request);
  m_flows.emplace(request->id, std::move(flow));
  HandleEvent(request->id,
              [](RequestFlow& machine, TimePoint now, FlowActions& actions) { machine.Start(now, actions); });
}

void IngressFlows::HandleEvent(RequestId id, const std::function<void(RequestFlow&, TimePoint, FlowActions&)>& event) {
  const auto it = m_flows.find(id);
  if (it == m_flows.end()) {
    return;
  }
  Flow& flow = it->second;
  const TimePoint now = BootClock::now();
  for (auto& [number, attempt] : flow.attempts) {
    if (!attempt.sent_reported && *attempt.sent) {
      attempt.sent_reported = true;
      flow.machine->OnAttemptSent(now, number);
    }
  }
  FlowActions actions;
  event(*flow.machine, now, actions);
  for (const FlowAction& action : actions) {
    Execute(flow, action, now);
  }
  if (!flow.machine->IsAnswered()) {
    return;
  }
  if (flow.tick_at.has_value()) {
    m_scheduled_ticks.erase({*flow.tick_at, id});
  }
  ClearRefusal(flow);
  for (auto& [number, attempt] : flow.attempts) {
    EndAttempt(*flow.request, attempt, BalanceOutcome::kCancelled, now);
  }
  m_flows.erase(it);
}

void IngressFlows::Execute(Flow& flow, const FlowAction& action, TimePoint now) {
  const RequestId id = flow.request->id;
  if (const auto* send = std::get_if<FlowSend>(&action)) {
    Attempt attempt;
    attempt.node = send->route.node;
    attempt.sent = std::make_shared<std::atomic<bool>>(false);
    attempt.started = now;
    if (!flow.request->keyed) {
      StateOf(flow.request->entry).balancer.OnSent(now, attempt.node);
    }
    flow.attempts.emplace(send->attempt, attempt);
    m_hooks.send(
        flow.request, send->attempt, send->route, attempt.sent,
        [this, id, number = send->attempt](AttemptResult result) { OnAttemptEnded(id, number, std::move(result)); });
  } else if (const auto* query = std::get_if<FlowQuery>(&action)) {
    m_hooks.query(id, query->attempt, query->node, [this, id, number = query->attempt](AttemptResult result) {
      HandleEvent(id, [&](RequestFlow& machine, TimePoint at, FlowActions& actions) {
        if (result.answered) {
          machine.OnQueryAnswer(at, number, std::move(result.response), actions);
        } else {
          machine.OnQueryFailed(at, number, actions);
        }
      });
    });
  } else if (const auto* withdraw = std::get_if<FlowWithdraw>(&action)) {
    m_hooks.withdraw(id, withdraw->attempt);
  } else if (const auto* cancel = std::get_if<FlowCancel>(&action)) {
    m_hooks.cancel(id, cancel->attempt, cancel->node);
  } else if (std::holds_alternative<FlowFetchPack>(action)) {
    m_hooks.refresh_view(flow.request->entry, flow.request->slice);
  } else if (const auto* answer = std::get_if<FlowAnswer>(&action)) {
    if (m_hooks.on_answered) {
      m_hooks.on_answered(*flow.request, answer->response, now - flow.received);
    }
    flow.respond(answer->response);
  } else if (const auto* wake = std::get_if<FlowWake>(&action)) {
    if (flow.tick_at.has_value()) {
      m_scheduled_ticks.erase({*flow.tick_at, id});
    }
    flow.tick_at = wake->at;
    m_scheduled_ticks.emplace(wake->at, id);
    m_hooks.schedule_tick(wake->at);
  }
}

void IngressFlows::EndAttempt(const Request& request, Attempt& attempt, BalanceOutcome outcome, TimePoint now) {
  if (!std::exchange(attempt.ended, true) && !request.keyed) {
    StateOf(request.entry).balancer.OnEnded(now, attempt.node, outcome, now - attempt.started);
  }
}

void IngressFlows::ClearRefusal(Flow& flow) {
  if (flow.refused_by.has_value()) {
    const auto it = m_refused_by_node.find(*flow.refused_by);
    if (it != m_refused_by_node.end() && it->second.erase(flow.request->id) != 0 && it->second.empty()) {
      m_refused_by_node.erase(it);
    }
    flow.refused_by.reset();
  }
}

void IngressFlows::OnAttemptEnded(RequestId id, std::uint32_t number, AttemptResult result) {
  const auto it = m_flows.find(id);
  if (it == m_flows.end()) {
    return;
  }
  Flow& flow = it->second;
  Attempt& attempt = flow.attempts.at(number);
  const IncarnationId node = attempt.node;
  const bool was_accepted = result.answered && result.response.error_kind.empty();
  EndAttempt(*flow.request, attempt, was_accepted ? BalanceOutcome::kAnswered : BalanceOutcome::kFailed,
             BootClock::now());
  if (!was_accepted) {
    ClearRefusal(flow);
    flow.refused_by = node;
    m_refused_by_node[node].insert(id);
  }
  HandleEvent(id, [&](RequestFlow& machine, TimePoint now, FlowActions& actions) {
    if (result.answered) {
      machine.OnAnswer(now, number, std::move(result.response), actions);
      return;
    }
    machine.OnStreamBroken(now, number, actions);
    if (IsLost(*m_hooks.view(), node)) {
      machine.OnNodeLost(now, node, actions);
    }
  });
  if (was_accepted) {
    if (const auto refused_requests = m_refused_by_node.extract(node); !refused_requests.empty()) {
      for (const RequestId& other : refused_requests.mapped()) {
        const auto waiting_flow = m_flows.find(other);
        if (waiting_flow != m_flows.end()) {
          waiting_flow->second.refused_by.reset();
          HandleEvent(other, [](RequestFlow& machine, TimePoint now, FlowActions& actions) {
            machine.OnOwnerAvailable(now, actions);
          });
        }
      }
    }
  }
}

void IngressFlows::OnTick() {
  const TimePoint now = BootClock::now();
  while (!m_scheduled_ticks.empty() && m_scheduled_ticks.begin()->first <= now) {
    const RequestId id = m_scheduled_ticks.begin()->second;
    m_scheduled_ticks.erase(m_scheduled_ticks.begin());
    m_flows.at(id).tick_at.reset();
    HandleEvent(id, [](RequestFlow& machine, TimePoint at, FlowActions& actions) { machine.OnTick(at, actions); });
  }
  if (!m_scheduled_ticks.empty()) {
    m_hooks.schedule_tick(m_scheduled_ticks.begin()->first);
  }
}

void IngressFlows::OnViewChanged() {
  const std::shared_ptr<const View> view = m_hooks.view();
  std::vector<RequestId> ids;
  ids.reserve(m_flows.size());
  for (const auto& [id, flow] : m_flows) {
    ids.push_back(id);
  }
  for (const RequestId& id : ids) {
    const auto it = m_flows.find(id);
    if (it == m_flows.end()) {
      continue;
    }
    std::set<IncarnationId> lost;
    for (const auto& [number, attempt] : it->second.attempts) {
      if (IsLost(*view, attempt.node)) {
        lost.insert(attempt.node);
      }
    }
    HandleEvent(id, [&lost](RequestFlow& machine, TimePoint now, FlowActions& actions) {
      for (const IncarnationId& node : lost) {
        machine.OnNodeLost(now, node, actions);
      }
      machine.OnRouteChanged(now, actions);
    });
  }
}

}  // namespace magnoliaarch
