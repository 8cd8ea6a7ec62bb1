// Decides which part of a failure domain's requests for a service is served in other domains, and where. Answers the
// load of a domain whose own targets are too few, or become so, while others have room. Does no I/O; the caller passes
// in the time and the measurements.

#ifndef MAGNOLIAARCH_SRC_MESH_DOMAINS_P_H_
#define MAGNOLIAARCH_SRC_MESH_DOMAINS_P_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// What leaving the failure domain may cost.
struct DomainPolicy {
  double hop_share = 0.1;      // longest hop between domains, as a share of the request's latency objective
  double min_gain = 0.1;       // time that leaving has to save, as a share of the objective
  double price_ms_per_mb = 0;  // response time in milliseconds that is worth as much as 1 MB sent between domains
  bool operator==(const DomainPolicy&) const = default;
};

// Above this share of its capacity, a domain takes no requests of other domains: the rest is room for the swings of its
// own callers' demand.
inline constexpr double kMaxGuestUtilization = 0.85;

// Cost in seconds of serving a request in another domain.
double LeaveCost(const DomainPolicy& policy, double hop_s, double bytes);

// State of a service in one failure domain.
struct DomainLoad {
  double demand = 0;        // requests per second that the domain's callers make
  double capacity = 0;      // requests per second that the domain's accepting targets can end
  double service_s = 0.05;  // mean service time
  double slots = 1;         // mean slots of a target
  bool operator==(const DomainLoad&) const = default;
};

struct DomainPlanInput {
  TimePoint now;
  std::map<std::string, DomainLoad> domains;
  // Delay in seconds from the first domain to the second and back; kDefaultHopS where it is not measured.
  std::map<std::pair<std::string, std::string>, double> hop_s;
  double bytes = 0;  // mean size of a request with its answer
  double objective_s = 1;
};

// Hop that is assumed where none is measured, in seconds.
inline constexpr double kDefaultHopS = 0.005;

// Shares of a domain's requests that other domains serve; the rest stays.
using DomainShares = std::map<std::string, double>;
using DomainPlan = std::map<std::string, DomainShares>;  // by the domain whose callers make the requests

// Plans the shares of one service. Keeps averages and the last plan.
class DomainPlanner {
 public:
  const DomainPlan& Plan(const DomainPlanInput& input, const DomainPolicy& policy);

 private:
  struct Average {
    double demand = 0;
    double capacity = 0;
  };

  // Updates the averages. Returns the smoothed loads.
  std::map<std::string, DomainLoad> Smooth(const DomainPlanInput& input);
  // Moves the last plan towards `goal`.
  void Approach(const DomainPlan& goal, const std::map<std::string, DomainLoad>& loads);

  std::map<std::string, Average> m_averages;
  TimePoint m_last_plan_at;
  DomainPlan m_plan;
};

// Measures what the callers of one node ask for, and the delay of the hops to other failure domains.
class DemandMeter {
 public:
  struct Demand {
    double rate = 0;   // requests per second
    double bytes = 0;  // mean size of a request with its answer
  };

  void OnRequest(TimePoint now, const std::string& service);
  // An answer came from a target in `domain`; `hop` is the time that it took, without the time at the target.
  void OnAnswer(TimePoint now, const std::string& service, const std::string& domain, Duration hop, double bytes);
  // Services without recent requests are left out.
  std::map<std::string, Demand> Demands(TimePoint now);
  // The shortest recent hop to each domain, in seconds.
  std::map<std::string, double> Hops(TimePoint now);

 private:
  struct Rate {
    double count = 0;
    double bytes = 0;
  };
  struct Hop {
    double shortest_s = 0;
    double previous_s = 0;  // of the window before
    TimePoint window_start;
  };

  void Decay(TimePoint now);

  std::map<std::string, Rate> m_rates;
  std::map<std::string, Hop> m_hops;
  TimePoint m_started_at;
  TimePoint m_decayed_at;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_DOMAINS_P_H_
