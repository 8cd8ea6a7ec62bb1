#include "mesh_choice_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

// Weights of the newest sample in the moving averages of a route's service time and of a target's latency ratio.
constexpr double kRouteSampleWeight = 0.05;
constexpr double kLatencyRatioSampleWeight = 0.12;
// Time constant in seconds: without new samples, a target's latency ratio decays back to 1 (an average target).
constexpr double kLatencyRatioDecayS = 10;
constexpr double kMinLatencyRatio = 0.2;
constexpr double kMaxLatencyRatio = 8;
// Factor by which a cold target's expected service time is multiplied.
constexpr double kColdCostFactor = 4;
// Load per slot above which new requests have to queue at the target.
constexpr double kSaturatedLoad = 0.999;
// Concurrent requests slow each other down: relative increase of the service time at full load.
constexpr double kLoadPenalty = 0.3;
// Load per request that this node has sent since the target last reported its load. The value corresponds to a target
// with 8 slots.
constexpr double kInFlightSlotShare = 0.125;
// Relative random cost increase that spreads requests over equally good targets.
constexpr double kCostJitter = 0.05;

// Number of targets that are compared in a group of more than kSmallGroup, and draws to find them. Small groups are
// compared whole, because a draw there often finds the same target again. A node with few requests knows a target's
// load from the hints rather than from its own requests, so a small service is compared whole too: with two targets
// drawn of six, requests met hung and full targets that a comparison avoids.
constexpr std::size_t kSampleSize = 4;
constexpr std::size_t kMaxDraws = 8;
constexpr std::size_t kSmallGroup = 8;
constexpr std::size_t kSmallService = 32;
// A target's room falls with its load, from a quarter of its slots on; a full one keeps a small part, because its load
// is known only from its last report.
constexpr double kFullLoad = 1.25;
constexpr double kMinFreeShare = 0.1;

// Typical time in which a target is available again after it or its node restarts.
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

std::optional<TargetChooser::Candidate> TargetChooser::Compare(const std::string& node, const PickRequest& request) {
  const TimePoint now = request.now;
  const TargetHint& hint = m_hints[node];
  if (!hint.accepts || hint.avoid_until > now || (request.admits && !request.admits(node))) {
    return std::nullopt;
  }
  ++m_compared;
  const auto route_mean = m_route_mean_s.find(request.route);
  const double slot_share = m_sampling && hint.slots > 0 ? 1.0 / hint.slots : kInFlightSlotShare;
  const double load = std::max(0.0, hint.load + (hint.in_flight - hint.in_flight_at_report) * slot_share);
  // hint.service_s depends on the mix of routes at the target, so for a known route it only estimates the queueing.
  const double decay = std::exp(-Seconds(now - hint.latency_ratio_at) / kLatencyRatioDecayS);
  const double latency_ratio = 1 + (hint.latency_ratio - 1) * decay;
  const double cold_factor = hint.cold ? kColdCostFactor : 1;
  const double expected_s =
      (route_mean != m_route_mean_s.end() ? route_mean->second : hint.service_s) * latency_ratio * cold_factor;
  const double cost =
      expected_s * (1 + kLoadPenalty * load) + hint.service_s * cold_factor * std::max(0.0, load - kSaturatedLoad);
  return Candidate{node, cost, load};
}

std::string TargetChooser::Pick(const MeshView& view, const PickRequest& request) {
  std::string best = m_sampling ? PickFromSample(view, request) : PickFromAll(view, request);
  if (!best.empty()) {
    m_no_target_since.erase(request.service);
  } else if (request.excluded.empty()) {
    m_no_target_since.try_emplace(request.service, request.now);
  }
  return best;
}

std::string TargetChooser::PickFromAll(const MeshView& view, const PickRequest& request) {
  std::string best;
  double best_cost = 0;
  for (const auto& [node, member] : view.Members()) {
    if (member.service() != request.service || request.excluded.contains(node) || view.IsEvacuated(member.domain())) {
      continue;
    }
    const std::optional<Candidate> candidate = Compare(node, request);
    if (!candidate) {
      continue;
    }
    double cost = candidate->cost;
    if (member.domain() != m_domain) {
      cost += m_domain_preference * Seconds(request.objective);
    }
    if (request.cost_factor) {
      cost *= request.cost_factor(node);
    }
    cost *= 1 + kCostJitter * NextRandom();
    if (best.empty() || cost < best_cost) {
      best = node;
      best_cost = cost;
    }
  }
  return best;
}

// ---- Choice among a sample ----

void TargetChooser::SetSampling(bool on, std::optional<DomainPolicy> policy) {
  m_sampling = on;
  m_policy = policy;
  m_index_current = false;
}

void TargetChooser::SetShares(std::map<std::string, DomainShares> by_service,
                              std::map<std::string, double> hops,
                              TimePoint end) {
  m_shares = std::move(by_service);
  m_hops = std::move(hops);
  m_shares_end = end;
}

void TargetChooser::RefreshIndex(const MeshView& view) {
  if (m_index_current && m_indexed_membership == view.MembershipSequence()) {
    return;
  }
  m_index_current = true;
  m_indexed_membership = view.MembershipSequence();
  m_index.Clear();
  for (const auto& [node, member] : view.Members()) {
    const auto hint = m_hints.find(node);
    if (hint == m_hints.end() || !hint->second.accepts) {
      continue;
    }
    const double slots = hint->second.slots > 0 ? hint->second.slots : 1 / kInFlightSlotShare;
    const double capacity = slots / hint->second.service_s / (hint->second.cold ? kColdCostFactor : 1);
    const double free = std::clamp(kFullLoad - hint->second.load, kMinFreeShare, 1.0);
    m_index.Add(member.service(), member.domain(), node, capacity * free);
  }
}

TargetChooser::Candidate TargetChooser::BestOf(const TargetGroup& group, const PickRequest& request) {
  Candidate best;
  std::size_t compared = 0;
  const bool compares_all = group.nodes.size() <= kSmallGroup;
  const std::size_t draws = compares_all ? group.nodes.size() : kMaxDraws;
  const std::string* last = nullptr;
  for (std::size_t i = 0; i < draws && (compares_all || compared < kSampleSize); ++i) {
    const std::string& node = compares_all ? group.nodes[i] : group.Draw(NextRandom());
    if (request.excluded.contains(node) || &node == last) {
      continue;
    }
    last = &node;
    std::optional<Candidate> candidate = Compare(node, request);
    if (!candidate) {
      continue;
    }
    ++compared;
    candidate->cost *= (request.cost_factor ? request.cost_factor(node) : 1) * (1 + kCostJitter * NextRandom());
    if (best.node.empty() || candidate->cost < best.cost) {
      best = std::move(*candidate);
    }
  }
  return best;
}

const TargetGroup* TargetChooser::DrawByShares(const std::vector<const TargetGroup*>& groups,
                                               const PickRequest& request) {
  std::string domain = m_domain;
  const auto shares = m_shares.find(request.service);
  if (m_policy && request.now < m_shares_end && shares != m_shares.end()) {
    double random = NextRandom();
    for (const auto& [other, share] : shares->second) {
      if (random < share) {
        domain = other;
        break;
      }
      random -= share;
    }
  }
  const auto group =
      std::find_if(groups.begin(), groups.end(), [&](const TargetGroup* other) { return other->domain == domain; });
  return group != groups.end() ? *group : nullptr;
}

const TargetGroup* TargetChooser::DrawByRoom(const std::vector<const TargetGroup*>& groups, const TargetGroup* except) {
  double total = 0;
  for (const TargetGroup* group : groups) {
    total += group != except ? group->Room() : 0;
  }
  double random = NextRandom() * total;
  const TargetGroup* drawn = nullptr;
  for (const TargetGroup* group : groups) {
    if (group == except) {
      continue;
    }
    drawn = group;
    random -= group->Room();
    if (random < 0) {
      break;
    }
  }
  return drawn;
}

bool TargetChooser::LeavingPays(const Candidate& here,
                                const Candidate& away,
                                const std::string& domain,
                                const PickRequest& request) {
  const double objective_s = Seconds(request.objective);
  if (domain == m_domain) {
    // The plan sends this request elsewhere; small differences must not bring it back.
    return away.cost + (m_policy ? m_policy->min_gain : 0) * objective_s < here.cost;
  }
  if (away.cost + m_domain_preference * objective_s < here.cost) {
    return true;
  }
  if (!m_policy || here.load <= kSaturatedLoad || away.load > kMaxGuestUtilization) {
    return false;
  }
  const auto hop = m_hops.find(domain);
  const double hop_s = hop != m_hops.end() ? hop->second : kDefaultHopS;
  return hop_s <= m_policy->hop_share * objective_s &&
         away.cost + LeaveCost(*m_policy, hop_s, 0) + m_policy->min_gain * objective_s < here.cost;
}

std::string TargetChooser::PickFromSample(const MeshView& view, const PickRequest& request) {
  RefreshIndex(view);
  const std::vector<TargetGroup>* indexed = m_index.Find(request.service);
  if (indexed == nullptr) {
    return "";
  }
  std::vector<const TargetGroup*> groups;
  for (const TargetGroup& group : *indexed) {
    if (!view.IsEvacuated(group.domain)) {
      groups.push_back(&group);
    }
  }
  const TargetGroup* planned = DrawByShares(groups, request);
  Candidate best = planned != nullptr ? BestOf(*planned, request) : Candidate{};
  // The best of the other domains, or of one of them that is drawn if comparing all would take too long.
  const std::size_t targets =
      std::accumulate(groups.begin(), groups.end(), std::size_t{0},
                      [](std::size_t sum, const TargetGroup* group) { return sum + group->nodes.size(); });
  const TargetGroup* drawn = targets > kSmallService ? DrawByRoom(groups, planned) : nullptr;
  Candidate away;
  const TargetGroup* away_group = nullptr;
  for (const TargetGroup* group : groups) {
    if (group == planned || (drawn != nullptr && group != drawn)) {
      continue;
    }
    Candidate candidate = BestOf(*group, request);
    if (!candidate.node.empty() && (away.node.empty() || candidate.cost < away.cost)) {
      away = std::move(candidate);
      away_group = group;
    }
  }
  if (away_group != nullptr && (best.node.empty() || LeavingPays(best, away, away_group->domain, request))) {
    best = std::move(away);
  }
  // The drawn targets are excluded or unreachable. This takes longer, but happens only while most targets are.
  for (auto group = groups.begin(); best.node.empty() && group != groups.end(); ++group) {
    for (auto node = (*group)->nodes.begin(); best.node.empty() && node != (*group)->nodes.end(); ++node) {
      if (!request.excluded.contains(*node)) {
        best = Compare(*node, request).value_or(Candidate{});
      }
    }
  }
  return best.node;
}

bool TargetChooser::HasNoTarget(const std::string& service, TimePoint now) const {
  const auto since = m_no_target_since.find(service);
  return since != m_no_target_since.end() && now - since->second > kTargetReturnTime;
}

}  // namespace magnoliaarch
