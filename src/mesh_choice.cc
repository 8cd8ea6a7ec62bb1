#include "mesh_choice_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

// Weight of the newest sample in the mean time of a route, and in the slowness of a target.
constexpr double kRouteSampleWeight = 0.05;
constexpr double kLatencyRatioSampleWeight = 0.12;
// A target without samples is taken as an average one again after a few of these.
constexpr double kLatencyRatioDecayS = 10;
constexpr double kMinLatencyRatio = 0.2;
constexpr double kMaxLatencyRatio = 8;
// Share of a cold target's capacity that counts.
constexpr double kColdCostFactor = 4;
// Requests that a target's slots can take before new ones queue.
constexpr double kSaturatedLoad = 0.999;
// Work beside other work is a little slower.
constexpr double kLoadPenalty = 0.3;
// Requests of this node since the load was reported count a slot each; the number of slots is small.
constexpr double kInFlightSlotShare = 0.125;
// Equal targets are chosen in turn.
constexpr double kCostJitter = 0.05;

// A target that starts again, or whose node does, is back within about this time.
constexpr Duration kTargetReturnTime = std::chrono::milliseconds(1500);

}  // namespace

TargetChooser::TargetChooser(std::string domain, double domain_preference, std::uint64_t seed)
    : m_domain(std::move(domain)), m_domain_preference(domain_preference), m_random(seed) {}

double TargetChooser::NextRandom() {
  return std::uniform_real_distribution<>(0, 1)(m_random);
}

void TargetChooser::OnServed(const std::string& node, const std::string& route, Duration service, TimePoint now) {
  const double service_s = Seconds(service);
  double& mean = m_route_mean_s.try_emplace(route, service_s).first->second;
  TargetHint& hint = m_hints[node];
  const double sample_ratio = std::clamp(service_s / std::max(mean, 1e-4), kMinLatencyRatio, kMaxLatencyRatio);
  hint.latency_ratio += (sample_ratio - hint.latency_ratio) * kLatencyRatioSampleWeight;
  hint.latency_ratio_at = now;
  mean += (service_s - mean) * kRouteSampleWeight;
}

std::string TargetChooser::Pick(const MeshView& view,
                                const std::string& service,
                                const std::string& route,
                                Duration objective,
                                const std::set<std::string>& excluded,
                                TimePoint now) {
  const auto route_mean = m_route_mean_s.find(route);
  std::string best;
  double best_cost = 0;
  for (const auto& [node, member] : view.Members()) {
    if (member.service() != service || excluded.contains(node)) {
      continue;
    }
    const TargetHint& hint = m_hints[node];
    if (!hint.accepts || hint.avoid_until > now || view.IsEvacuated(member.domain())) {
      continue;
    }
    const double load = std::max(0.0, hint.load + (hint.in_flight - hint.in_flight_at_report) * kInFlightSlotShare);
    // The target's mean depends on the routes that it happens to serve, so it tells only how long others queue there.
    const double decay = std::exp(-Seconds(now - hint.latency_ratio_at) / kLatencyRatioDecayS);
    const double latency_ratio = 1 + (hint.latency_ratio - 1) * decay;
    const double cold_factor = hint.cold ? kColdCostFactor : 1;
    const double expected_s =
        (route_mean != m_route_mean_s.end() ? route_mean->second : hint.service_s) * latency_ratio * cold_factor;
    double cost =
        expected_s * (1 + kLoadPenalty * load) + hint.service_s * cold_factor * std::max(0.0, load - kSaturatedLoad);
    if (member.domain() != m_domain) {
      cost += m_domain_preference * Seconds(objective);
    }
    cost *= 1 + kCostJitter * NextRandom();
    if (best.empty() || cost < best_cost) {
      best = node;
      best_cost = cost;
    }
  }
  if (!best.empty()) {
    m_no_target_since.erase(service);
  } else if (excluded.empty()) {
    m_no_target_since.try_emplace(service, now);
  }
  return best;
}

bool TargetChooser::HasNoTarget(const std::string& service, TimePoint now) const {
  const auto since = m_no_target_since.find(service);
  return since != m_no_target_since.end() && now - since->second > kTargetReturnTime;
}

}  // namespace magnoliaarch
