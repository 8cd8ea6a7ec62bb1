#include "mesh_choice_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

// Weight of the newest sample in the mean time of a route, and in the slowness of a target.
constexpr double kRouteWeight = 0.05;
constexpr double kSlownessWeight = 0.12;
// A target without samples is taken as an average one again after a few of these.
constexpr double kSlownessDecayS = 10;
constexpr double kLeastSlowness = 0.2;
constexpr double kMostSlowness = 8;
// Share of a cold target's capacity that counts.
constexpr double kColdFactor = 4;
// Requests that a target's slots can take before new ones queue.
constexpr double kFullLoad = 0.999;
// Work beside other work is a little slower.
constexpr double kLoadCost = 0.3;
// Requests of this node since the load was reported count a slot each; the number of slots is small.
constexpr double kSlotShare = 0.125;
// Equal targets are chosen in turn.
constexpr double kSpread = 0.05;

// A target that starts again, or whose node does, is back within about this time.
constexpr Duration kReturn = std::chrono::milliseconds(1500);

}  // namespace

TargetChooser::TargetChooser(std::string domain, double domain_preference, std::uint64_t seed)
    : m_domain(std::move(domain)), m_domain_preference(domain_preference), m_random(seed) {}

double TargetChooser::NextRandom() {
  return std::uniform_real_distribution<>(0, 1)(m_random);
}

void TargetChooser::OnServed(const std::string& node, const std::string& route, Duration service, TimePoint now) {
  const double service_s = Seconds(service);
  double& mean = m_route_s.try_emplace(route, service_s).first->second;
  TargetHint& hint = m_hints[node];
  const double ratio = std::clamp(service_s / std::max(mean, 1e-4), kLeastSlowness, kMostSlowness);
  hint.slowness += (ratio - hint.slowness) * kSlownessWeight;
  hint.slowness_at = now;
  mean += (service_s - mean) * kRouteWeight;
}

std::string TargetChooser::Pick(const MeshView& view,
                                const std::string& service,
                                const std::string& route,
                                Duration objective,
                                const std::set<std::string>& excluded,
                                TimePoint now) {
  const auto known = m_route_s.find(route);
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
    const double load = std::max(0.0, hint.load + (hint.in_flight - hint.in_flight_at_report) * kSlotShare);
    // The target's mean depends on the routes that it happens to serve, so it tells only how long others queue there.
    const double fade = std::exp(-Seconds(now - hint.slowness_at) / kSlownessDecayS);
    const double slowness = 1 + (hint.slowness - 1) * fade;
    const double cold = hint.cold ? kColdFactor : 1;
    const double own_s = (known != m_route_s.end() ? known->second : hint.service_s) * slowness * cold;
    double cost = own_s * (1 + kLoadCost * load) + hint.service_s * cold * std::max(0.0, load - kFullLoad);
    if (member.domain() != m_domain) {
      cost += m_domain_preference * Seconds(objective);
    }
    cost *= 1 + kSpread * NextRandom();
    if (best.empty() || cost < best_cost) {
      best = node;
      best_cost = cost;
    }
  }
  if (!best.empty()) {
    m_without_since.erase(service);
  } else if (excluded.empty()) {
    m_without_since.try_emplace(service, now);
  }
  return best;
}

bool TargetChooser::IsWithoutTarget(const std::string& service, TimePoint now) const {
  const auto since = m_without_since.find(service);
  return since != m_without_since.end() && now - since->second > kReturn;
}

}  // namespace magnoliaarch
