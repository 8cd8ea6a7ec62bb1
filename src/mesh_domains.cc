#include "mesh_domains_p.h"

#include <algorithm>
#include <cmath>

#include "duration_p.h"

namespace magnoliaarch {
namespace {

// Time constants in seconds of the averages. A loss of capacity counts at once: the requests cannot wait for an
// average.
constexpr double kDemandDecayS = 2;
constexpr double kCapacityRiseS = 2;
// Part of a domain's demand that the search moves in one step. All domains move one step in turn, so that those that
// want the same room get equal parts of what they need.
constexpr int kStepsPerDemand = 50;
// Utilization up to which the waiting time follows the queueing formula. Beyond it, the wait grows by the objective for
// each tenth of the capacity, up to the cost of a request that is not served: the time of its caller, and of the retry.
constexpr double kMaxModelUtilization = 0.95;
constexpr double kObjectivesPerOverload = 10;
constexpr double kObjectivesOfLostRequest = 2;
// Once requests leave, they do so until the gain falls below this part of the gain that is needed to begin.
constexpr double kStayAwayGain = 0.5;
// Largest changes of a share from one plan to the next, unless the domain's own capacity does not suffice, and changes
// that are too small to act on.
constexpr double kMaxShareRise = 0.1;
constexpr double kMaxShareFall = 0.05;
constexpr double kShareDeadband = 0.05;
// A rise is not slowed down if the domain's demand is above this part of its own capacity.
constexpr double kShortOfCapacity = 0.95;

constexpr double kRateDecayS = 1;
constexpr double kBytesWeight = 0.05;
constexpr double kMinTrackedCount = 0.05;
constexpr Duration kMinDecayInterval = std::chrono::milliseconds(50);
constexpr Duration kHopWindow = std::chrono::seconds(5);

// Mean wait for a slot in seconds at a utilization, by Sakasegawa's approximation of a queue with several servers.
double MeanWait(const DomainLoad& load, double utilization, double objective_s) {
  const double slots = std::max(load.slots, 1.0);
  const double bounded = std::clamp(utilization, 0.0, kMaxModelUtilization);
  const double wait = load.service_s * std::pow(bounded, std::sqrt(2 * (slots + 1)) - 1) / (slots * (1 - bounded));
  const double overload = std::max(0.0, utilization - kMaxModelUtilization) * kObjectivesPerOverload;
  return std::min(wait + overload * objective_s, kObjectivesOfLostRequest * objective_s);
}

// A search for the shares by small steps, each of which moves a part of one domain's demand to where it waits least.
class ShareSearch {
 public:
  ShareSearch(const DomainPlanInput& input,
              const DomainPolicy& policy,
              const std::map<std::string, DomainLoad>& loads,
              const DomainPlan& last)
      : m_input(input), m_policy(policy), m_loads(loads), m_last(last) {}

  DomainPlan Run() {
    for (const auto& [domain, load] : m_loads) {
      m_served[domain] = load.demand;
    }
    DomainPlan goal;
    for (int step = 0; step < kStepsPerDemand; ++step) {
      bool moved = false;
      for (const auto& [domain, load] : m_loads) {
        moved = MoveOneStep(domain, load, &goal[domain]) || moved;
      }
      if (!moved) {
        break;
      }
    }
    return goal;
  }

 private:
  double Wait(const DomainLoad& load, double served) const {
    return MeanWait(load, served / load.capacity, m_input.objective_s);
  }

  bool MoveOneStep(const std::string& domain, const DomainLoad& load, DomainShares* shares) {
    const double rate = load.demand / kStepsPerDemand;
    const bool has_targets = load.capacity > 0;
    const auto last = m_last.find(domain);
    const bool leaves = last != m_last.end() && !last->second.empty();
    const double threshold = m_policy.min_gain * m_input.objective_s * (leaves ? kStayAwayGain : 1);
    const std::string* best = nullptr;
    double best_cost = has_targets ? Wait(load, m_served[domain]) + load.service_s - threshold : 0;
    for (const auto& [other, host] : m_loads) {
      const auto measured = m_input.hop_s.find({domain, other});
      const double hop_s = measured != m_input.hop_s.end() ? measured->second : kDefaultHopS;
      const double served = m_served[other] + rate;
      // Without targets of its own the domain has no choice, so neither the limit nor the hop keeps its requests.
      if (other == domain || host.capacity <= 0 || rate <= 0 ||
          (has_targets &&
           (served > kMaxGuestUtilization * host.capacity || hop_s > m_policy.hop_share * m_input.objective_s))) {
        continue;
      }
      const double cost = Wait(host, served) + host.service_s + LeaveCost(m_policy, hop_s, m_input.bytes);
      if ((best == nullptr && !has_targets) || cost < best_cost) {
        best = &other;
        best_cost = cost;
      }
    }
    if (best == nullptr) {
      return false;
    }
    m_served[domain] -= rate;
    m_served[*best] += rate;
    (*shares)[*best] += 1.0 / kStepsPerDemand;
    return true;
  }

  const DomainPlanInput& m_input;
  const DomainPolicy& m_policy;
  const std::map<std::string, DomainLoad>& m_loads;
  const DomainPlan& m_last;
  std::map<std::string, double> m_served;  // requests per second by the domain that serves them
};

}  // namespace

double LeaveCost(const DomainPolicy& policy, double hop_s, double bytes) {
  return hop_s + policy.price_ms_per_mb / 1000 * bytes / 1e6;
}

std::map<std::string, DomainLoad> DomainPlanner::Smooth(const DomainPlanInput& input) {
  const double elapsed_s = m_last_plan_at == TimePoint() ? 1e9 : Seconds(input.now - m_last_plan_at);
  m_last_plan_at = input.now;
  std::map<std::string, DomainLoad> loads = input.domains;
  std::erase_if(m_averages, [&](const auto& entry) { return !loads.contains(entry.first); });
  for (auto& [domain, load] : loads) {
    Average& average = m_averages.try_emplace(domain, Average{load.demand, load.capacity}).first->second;
    average.demand += (load.demand - average.demand) * (1 - std::exp(-elapsed_s / kDemandDecayS));
    average.capacity =
        load.capacity < average.capacity
            ? load.capacity
            : average.capacity + (load.capacity - average.capacity) * (1 - std::exp(-elapsed_s / kCapacityRiseS));
    load.demand = average.demand;
    load.capacity = average.capacity;
  }
  return loads;
}

void DomainPlanner::Approach(const DomainPlan& goal, const std::map<std::string, DomainLoad>& loads) {
  DomainPlan next;
  for (const auto& [domain, load] : loads) {
    const bool short_of_capacity = load.demand > kShortOfCapacity * load.capacity;
    const DomainShares& wanted = goal.at(domain);
    const DomainShares& last = m_plan[domain];
    DomainShares& shares = next[domain];
    for (const auto& [other, host] : loads) {
      const auto before = last.find(other);
      const auto after = wanted.find(other);
      const double from = before != last.end() ? before->second : 0;
      const double to = after != wanted.end() ? after->second : 0;
      double share = to;
      if (host.capacity <= 0) {
        share = 0;
      } else if (std::abs(to - from) < kShareDeadband && to > 0) {
        share = from;
      } else if (!(to > from && short_of_capacity)) {
        share = std::clamp(to, from - kMaxShareFall, from + kMaxShareRise);
      }
      if (share > 0) {
        shares[other] = share;
      }
    }
    // Shares that fall slowly beside others that rise at once must not add up to more than the whole.
    double total = 0;
    for (const auto& [other, share] : shares) {
      total += share;
    }
    for (auto& [other, share] : shares) {
      share /= std::max(total, 1.0);
    }
  }
  m_plan = std::move(next);
}

const DomainPlan& DomainPlanner::Plan(const DomainPlanInput& input, const DomainPolicy& policy) {
  const std::map<std::string, DomainLoad> loads = Smooth(input);
  const DomainPlan goal = ShareSearch(input, policy, loads, m_plan).Run();
  Approach(goal, loads);
  return m_plan;
}

void DemandMeter::Decay(TimePoint now) {
  if (m_decayed_at == TimePoint()) {
    m_started_at = m_decayed_at = now;
  }
  const Duration passed = now - m_decayed_at;
  if (passed < kMinDecayInterval) {
    return;
  }
  m_decayed_at = now;
  const double factor = std::exp(-Seconds(passed) / kRateDecayS);
  for (auto it = m_rates.begin(); it != m_rates.end();) {
    it->second.count *= factor;
    it = it->second.count < kMinTrackedCount ? m_rates.erase(it) : std::next(it);
  }
}

void DemandMeter::OnRequest(TimePoint now, const std::string& service) {
  Decay(now);
  m_rates[service].count += 1;
}

void DemandMeter::OnAnswer(TimePoint now,
                           const std::string& service,
                           const std::string& domain,
                           Duration hop,
                           double bytes) {
  const auto rate = m_rates.find(service);
  if (rate != m_rates.end()) {
    rate->second.bytes += (bytes - rate->second.bytes) * (rate->second.bytes > 0 ? kBytesWeight : 1);
  }
  const double hop_s = std::max(Seconds(hop), 0.0);
  Hop& known = m_hops.try_emplace(domain, Hop{hop_s, hop_s, now}).first->second;
  if (now - known.window_start > kHopWindow) {
    known = Hop{hop_s, known.shortest_s, now};
  }
  // Queueing and scheduling only add to the delay, so the shortest time is the link's.
  known.shortest_s = std::min(known.shortest_s, hop_s);
}

std::map<std::string, DemandMeter::Demand> DemandMeter::Demands(TimePoint now) {
  Decay(now);
  // The average of a meter that started a moment ago covers less than its time constant.
  const double covered = 1 - std::exp(-std::max(Seconds(now - m_started_at), 0.1) / kRateDecayS);
  std::map<std::string, Demand> demands;
  for (const auto& [service, rate] : m_rates) {
    demands.emplace(service, Demand{rate.count / (kRateDecayS * covered), rate.bytes});
  }
  return demands;
}

std::map<std::string, double> DemandMeter::Hops(TimePoint now) {
  std::erase_if(m_hops, [&](const auto& entry) { return now - entry.second.window_start > 2 * kHopWindow; });
  std::map<std::string, double> hops;
  for (const auto& [domain, hop] : m_hops) {
    hops.emplace(domain, std::min(hop.shortest_s, hop.previous_s));
  }
  return hops;
}

}  // namespace magnoliaarch
