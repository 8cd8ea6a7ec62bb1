#include "mesh_chain_control_p.h"

#include <utility>

namespace magnoliaarch {
namespace {

// A target keeps a slot for inner calls for this long after the last one.
constexpr Duration kInnerSlotTime = std::chrono::seconds(2);
constexpr std::uint32_t kInnerSlots = 1;
// A node counts a route as an inner one for this long after a called target's node has said so.
constexpr Duration kInnerRouteTime = std::chrono::seconds(5);
constexpr Duration kHostCountPeriod = std::chrono::seconds(1);
// HTTP statuses from this one on are server errors.
constexpr int kFirstServerErrorStatus = 500;

// Returns nullopt if the send says nothing about the target.
std::optional<SendEnd> EndOf(const SendResult& result) {
  if (result.outcome != SendOutcome::kAnswered) {
    // A send that was not made says nothing. One without an answer may have been lost before it reached the target, but
    // to the caller the target is out of reach.
    return result.outcome == SendOutcome::kBroken ? std::optional(SendEnd::kHung) : std::nullopt;
  }
  switch (result.answer.outcome()) {
    case proto::MESH_ANSWERED:
      return result.answer.status() < kFirstServerErrorStatus ? SendEnd::kServed : SendEnd::kFailed;
    case proto::MESH_REJECTED:
      return result.answer.reason() == proto::MESH_NOT_OWNER ? std::nullopt : std::optional(SendEnd::kShed);
    case proto::MESH_UNKNOWN:
      return SendEnd::kFailed;
    default:
      return std::nullopt;
  }
}

CallEnd EndOf(const EndedRequest& ended) {
  if (!ended.refusal) {
    return ended.status != 0 && ended.status < kFirstServerErrorStatus ? CallEnd::kServed : CallEnd::kFailed;
  }
  // A service without any target fails all calls, however few there are.
  return *ended.refusal == MeshError::kBusy && !ended.reached_target ? CallEnd::kNoRoom : CallEnd::kFailed;
}

std::string_view NameOf(CallEnd end) {
  switch (end) {
    case CallEnd::kServed:
      return "served";
    case CallEnd::kNoRoom:
      return "no-room";
    default:
      return "failed";
  }
}

}  // namespace

ChainControl::ChainControl(MeshLog& log, MetricsRegistry& metrics, std::uint64_t seed, ChainControlHooks hooks)
    : m_log(log),
      m_metrics(metrics),
      m_hooks(std::move(hooks)),
      m_chains(seed, [this](const std::string& service, const CalledServiceState& state) {
        OnShareChanged(service, state);
      }) {}

void ChainControl::Connect(MeshIngressHooks* ingress) {
  ingress->is_inner_route = [this](const std::string& route, TimePoint now) {
    const auto known = m_inner_routes.find(route);
    return known != m_inner_routes.end() && now < known->second && m_hooks.in_force();
  };
  ingress->on_inner_call = [this](const proto::MeshRequest& request) { m_chains.Graph().OnCall(request.service()); };
  ingress->on_inner_call_ended = [this](const EndedRequest& ended) { OnInnerCallEnded(ended); };
  ingress->on_send_ended = [this](const EndedSend& send) { OnSendEnded(send); };
  ingress->target_cost_factor = [this](const proto::MeshRequest& /*request*/, const std::string& node) {
    return m_hooks.in_force() ? m_evidence.CostFactor(node, BootClock::now()) : 1.0;
  };
}

void ChainControl::Connect(MeshTargetHooks* target) {
  target->shares_evidence = m_hooks.in_force;
  target->is_inner = [this](const proto::MeshRequest& request) { return IsInner(request); };
  target->refuse_new = [this](const proto::MeshRequest& request, TimePoint now) { return RefuseNew(request, now); };
  target->on_run_started = [this](const proto::MeshRequest& request) {
    m_chains.Graph().OnRunStarted(request.route());
    if (request.inner()) {
      m_inner_run_at = BootClock::now();
    }
  };
  target->on_run_ended = [this](const proto::MeshRequest& request) { m_chains.Graph().OnRunEnded(request.route()); };
}

ReportExtension ChainControl::Extension() {
  ReportExtension extension;
  extension.on_reply = [this](TimePoint now, const proto::MeshReply& reply) {
    if (!m_hooks.in_force()) {
      return;
    }
    std::map<std::uint32_t, const std::string*> names;
    for (const auto& [node, member] : m_hooks.view().Members()) {
      names.emplace(NodeHash(node), &node);
    }
    for (const proto::LoadHint& hint : reply.hints()) {
      const auto name = names.find(hint.node());
      if (name != names.end()) {
        m_evidence.OnReported(*name->second, hint.good_permille(), now);
      }
    }
  };
  return extension;
}

bool ChainControl::IsInner(const proto::MeshRequest& request) {
  if (!m_hooks.in_force()) {
    return false;
  }
  m_called_routes.OnRequest(request.route(), request.caller_service());
  return m_called_routes.IsInner(request.route());
}

void ChainControl::CountHosts(TimePoint now) {
  if (now < m_next_host_count_at) {
    return;
  }
  m_next_host_count_at = now + kHostCountPeriod;
  std::map<std::string, double> shares;
  const auto& members = m_hooks.view().Members();
  for (const auto& [node, member] : members) {
    shares[member.service()] += 1.0 / static_cast<double>(members.size());
  }
  m_called_routes.SetHostShares(std::move(shares));
}

void ChainControl::OnTick(TimePoint now) {
  if (m_hooks.in_force()) {
    CountHosts(now);
  }
  // Runs of a service that both calls and is called may wait for each other in a circle.
  const bool in_chain = m_inner_run_at != TimePoint() && now - m_inner_run_at < kInnerSlotTime;
  const std::uint32_t slots = m_hooks.in_force() && in_chain && m_chains.Graph().MakesCalls() ? kInnerSlots : 0;
  if (slots != m_inner_slots) {
    m_inner_slots = slots;
    m_hooks.set_inner_slots(slots);
    m_log.Write(LogCategory::kState, "inner_slots", {{"slots", slots}});
  }
}

void ChainControl::OnSendEnded(const EndedSend& send) {
  if (!m_hooks.in_force()) {
    return;
  }
  if (send.result.answer.inner_route()) {
    TimePoint& until = m_inner_routes[send.request.route()];
    if (until < send.now) {
      m_log.Write(LogCategory::kState, "inner_route",
                  {{"route", send.request.route()}, {"service", send.request.service()}, {"by", send.node}});
    }
    until = send.now + kInnerRouteTime;
  }
  if (const std::optional<SendEnd> end = EndOf(send.result)) {
    m_evidence.OnEnd(send.node, *end, send.now);
    if (*end == SendEnd::kServed && send.elapsed > Duration(0)) {
      m_evidence.OnTimes(send.node, send.elapsed, std::chrono::microseconds(send.result.answer.service_us()), send.now);
    }
    if (send.result.outcome == SendOutcome::kAnswered) {
      m_evidence.OnReported(send.node, send.result.answer.good_permille(), send.now);
    }
  }
}

void ChainControl::OnInnerCallEnded(const EndedRequest& ended) {
  const CallEnd end = EndOf(ended);
  m_chains.OnCallEnded(ended.request.service(), end, ended.now);
  m_metrics
      .GetCounter("magnolia_mesh_inner_calls_total", "Calls that runs at the local target have made, by their end.",
                  {{"service", ended.request.service()}, {"end", std::string(NameOf(end))}})
      .Add();
}

void ChainControl::OnShareChanged(const std::string& service, const CalledServiceState& state) {
  m_log.Write(LogCategory::kState, state.share < 1 ? "chain_limited" : "chain_unlimited",
              {{"service", service},
               {"share_permille", static_cast<std::int64_t>(state.share * 1000)},
               {"no_room_permille", static_cast<std::int64_t>(state.no_room_share * 1000)},
               {"calls", state.calls_ended}});
}

std::optional<Duration> ChainControl::RefuseNew(const proto::MeshRequest& request, TimePoint now) {
  if (!m_hooks.in_force()) {
    return std::nullopt;
  }
  const std::optional<Duration> retry_after = m_chains.RefuseNew(request.route(), now);
  if (retry_after) {
    m_metrics
        .GetCounter("magnolia_mesh_chain_refused_total", "New requests refused because a called service has no room.",
                    {{"route", request.route()}})
        .Add();
  }
  return retry_after;
}

}  // namespace magnoliaarch
