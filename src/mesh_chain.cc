#include "mesh_chain_p.h"

#include <algorithm>
#include <cmath>

namespace magnoliaarch {
namespace {

// Runs after which the calls of a route count as known.
constexpr double kMinKnownRuns = 20;
// Runs after which the counts of a route are halved, so that a new version of a service is learnt again.
constexpr double kMaxCountedRuns = 512;
// Assumed calls per run of a route without history. Only the ratio between routes matters.
constexpr double kInitialCallsPerRun = 0.1;
// A route with fewer calls per run counts as calling nothing, which absorbs calls that were attributed wrongly.
constexpr double kMinCallsPerRun = 0.05;

// The share of new work is adjusted after each interval with enough calls. One interval is longer than a call may take
// to be refused, so that an adjustment shows its effect before the next one.
constexpr Duration kAdjustInterval = std::chrono::milliseconds(250);
constexpr std::uint32_t kMinCallsInInterval = 6;
// Calls without room that are tolerated in an interval, as a share and as a number. Each such call costs its whole run,
// but single ones are chance: the choice of a target acts on loads that are some hundred milliseconds old.
constexpr double kToleratedNoRoom = 0.05;
constexpr std::uint32_t kToleratedCalls = 2;
// Decrease of the share for each refused call per call.
constexpr double kDecrease = 0.5;
// Increase of the share in an interval without refusals. Back to full admission takes five seconds.
constexpr double kIncrease = 0.05;
// Some new work always enters, because its calls are the only evidence that the called service has returned.
constexpr double kMinShare = 0.1;
// Callers that are refused return within this span, at different times.
constexpr std::int64_t kMinRetryAfterMs = 100;
constexpr std::int64_t kRetrySpreadMs = 200;
constexpr std::int64_t kRetryStepMs = 67;  // prime to the spread, so that successive callers get distant times

// Requests after which the counts of a route are halved.
constexpr double kMaxCountedRequests = 256;
// A route is an inner one if chance puts its callers on hosts of one service with less than this probability. Small,
// because callers may be spread less evenly than the hosts.
const double kMaxChance = std::exp(-20);
// Share of requests that may come from elsewhere, such as from operators' tests.
constexpr double kToleratedOthers = 0.02;

}  // namespace

// ---- InnerRoutes ----

void InnerRoutes::OnRequest(const std::string& route, const std::string& caller_service) {
  Route& entry = m_routes[route];
  entry.callers[caller_service] += 1;
  if (++entry.total > kMaxCountedRequests) {
    entry.total /= 2;
    for (auto& [service, count] : entry.callers) {
      count /= 2;
    }
  }
}

bool InnerRoutes::IsInner(const std::string& route) const {
  const auto it = m_routes.find(route);
  if (it == m_routes.end()) {
    return false;
  }
  const auto most = std::max_element(it->second.callers.begin(), it->second.callers.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  const auto share = m_host_shares.find(most->first);
  return share != m_host_shares.end() && most->second >= it->second.total * (1 - kToleratedOthers) &&
         std::pow(share->second, most->second) < kMaxChance;
}

// ---- CallGraph ----

void CallGraph::OnRunStarted(const std::string& route) {
  Route& entry = m_routes[route];
  ++entry.running;
  if (++entry.runs > kMaxCountedRuns) {
    entry.runs /= 2;
    for (auto& [service, calls] : entry.calls) {
      calls /= 2;
    }
  }
}

void CallGraph::OnRunEnded(const std::string& route) {
  const auto it = m_routes.find(route);
  if (it != m_routes.end() && it->second.running > 0) {
    --it->second.running;
  }
}

void CallGraph::OnCall(const std::string& service) {
  const auto weight_of = [&](const Route& route) {
    return route.running * (route.runs < kMinKnownRuns ? kInitialCallsPerRun : CallsPerRun(route, service));
  };
  double total = 0;
  for (const auto& [name, route] : m_routes) {
    total += weight_of(route);
  }
  if (total <= 0) {
    return;
  }
  for (auto& [name, route] : m_routes) {
    const double weight = weight_of(route);
    if (weight > 0) {
      route.calls[service] += weight / total;
    }
  }
}

double CallGraph::CallsPerRun(const Route& route, const std::string& service) {
  const auto calls = route.calls.find(service);
  // Never 0, so that a route that begins to call a service can be learnt.
  return ((calls != route.calls.end() ? calls->second : 0) + kInitialCallsPerRun) / (route.runs + 1);
}

double CallGraph::CallsPerRun(const std::string& route, const std::string& service) const {
  const auto it = m_routes.find(route);
  if (it == m_routes.end() || it->second.runs < kMinKnownRuns || !it->second.calls.contains(service)) {
    return 0;
  }
  const double calls = CallsPerRun(it->second, service);
  return calls < kMinCallsPerRun ? 0 : calls;
}

bool CallGraph::MakesCalls() const {
  return std::any_of(m_routes.begin(), m_routes.end(), [this](const auto& route) {
    return std::any_of(route.second.calls.begin(), route.second.calls.end(),
                       [&](const auto& called) { return CallsPerRun(route.first, called.first) > 0; });
  });
}

void CallGraph::VisitCalled(const std::string& route,
                            const std::function<void(const std::string& service, double calls_per_run)>& visit) const {
  const auto it = m_routes.find(route);
  if (it == m_routes.end()) {
    return;
  }
  for (const auto& [service, calls] : it->second.calls) {
    const double per_run = CallsPerRun(route, service);
    if (per_run > 0) {
      visit(service, per_run);
    }
  }
}

// ---- ChainAdmission ----

ChainAdmission::ChainAdmission(std::uint64_t seed, OnShareChanged on_share_changed)
    : m_on_share_changed(std::move(on_share_changed)), m_retry_spread(seed) {}

void ChainAdmission::OnCallEnded(const std::string& service, CallEnd end, TimePoint now) {
  CloseInterval(service, now);
  Interval& interval = m_intervals[service];
  ++interval.ended;
  interval.no_room += end == CallEnd::kNoRoom ? 1 : 0;
  ++m_states[service].calls_ended;
}

void ChainAdmission::CloseInterval(const std::string& service, TimePoint now) {
  Interval& interval = m_intervals.try_emplace(service, Interval{now}).first->second;
  const Duration elapsed = now - interval.start;
  if (elapsed < kAdjustInterval) {
    return;
  }
  CalledServiceState& state = m_states[service];
  const bool was_limited = state.share < 1;
  if (interval.ended >= kMinCallsInInterval) {
    state.no_room_share = static_cast<double>(interval.no_room) / interval.ended;
    state.share = state.no_room_share > kToleratedNoRoom && interval.no_room > kToleratedCalls
                      ? std::max(kMinShare, state.share * (1 - kDecrease * state.no_room_share))
                      : std::min(1.0, state.share + kIncrease);
    interval = Interval{now};
  } else if (interval.no_room == 0) {
    // Too few calls are evidence of nothing; the limit ends by time.
    state.share = std::min(1.0, state.share + kIncrease * static_cast<double>(elapsed / kAdjustInterval));
    interval = Interval{now};
  } else if (elapsed > kAdjustInterval * 4) {
    interval = Interval{now};
  }
  if (m_on_share_changed && was_limited != (state.share < 1)) {
    m_on_share_changed(service, state);
  }
}

double ChainAdmission::ShareOf(const std::string& route, TimePoint now) {
  double share = 1;
  m_graph.VisitCalled(route, [&](const std::string& service, double /*calls_per_run*/) {
    CloseInterval(service, now);
    share = std::min(share, m_states[service].share);
  });
  return share;
}

std::optional<Duration> ChainAdmission::RefuseNew(const std::string& route, TimePoint now) {
  const double share = ShareOf(route, now);
  if (share >= 1) {
    m_credits.erase(route);
    return std::nullopt;
  }
  double& credit = m_credits[route];
  credit += share;
  if (credit >= 1) {
    credit -= 1;
    return std::nullopt;
  }
  ++m_refused;
  return RetryAfter();
}

Duration ChainAdmission::RetryAfter() {
  m_retry_spread += kRetryStepMs;
  return std::chrono::milliseconds(kMinRetryAfterMs + static_cast<std::int64_t>(m_retry_spread % kRetrySpreadMs));
}

}  // namespace magnoliaarch
