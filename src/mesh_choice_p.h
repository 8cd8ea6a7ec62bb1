// Choice among the targets of a service that is not divided by key. Pure decisions: time and members are passed in.

#ifndef MAGNOLIAARCH_SRC_MESH_CHOICE_P_H_
#define MAGNOLIAARCH_SRC_MESH_CHOICE_P_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "magnoliaarch/types.h"
#include "mesh_view_p.h"

namespace magnoliaarch {

// What a node knows of another node's target.
struct TargetHint {
  bool accepts = false;
  bool cold = false;
  double load = 0;              // running and queued requests by slot
  double service_s = 0.05;      // mean time of the requests that run there, of whatever routes
  int in_flight = 0;            // of this node's requests
  int in_flight_at_report = 0;  // when the load was reported
  TimePoint avoid_until;        // after a failure to reach it
  double latency_ratio = 1;     // time of a route's requests there, by the route's mean over all targets
  TimePoint latency_ratio_at;   // of the last sample
};

class TargetChooser {
 public:
  // `domain_preference`: part of a request's objective that staying in the failure domain may cost.
  TargetChooser(std::string domain, double domain_preference, std::uint64_t seed);

  std::map<std::string, TargetHint>& Hints() { return m_hints; }
  TargetHint& HintOf(const std::string& node) { return m_hints[node]; }

  // A target worked this long on a request of the route.
  void OnServed(const std::string& node, const std::string& route, Duration service, TimePoint now);

  // The node beside the target that is expected to answer first; empty: none takes requests now.
  std::string Pick(const MeshView& view,
                   const std::string& service,
                   const std::string& route,
                   Duration objective,
                   const std::set<std::string>& excluded,
                   TimePoint now);

  // Whether the service has been without a target for so long that one is not expected within a request's time.
  bool HasNoTarget(const std::string& service, TimePoint now) const;

 private:
  double NextRandom();

  const std::string m_domain;
  const double m_domain_preference;
  std::map<std::string, TargetHint> m_hints;
  std::unordered_map<std::string, double> m_route_mean_s;        // mean time of a route's requests at any target
  std::unordered_map<std::string, TimePoint> m_no_target_since;  // services for which none was found
  std::minstd_rand m_random;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_CHOICE_P_H_
