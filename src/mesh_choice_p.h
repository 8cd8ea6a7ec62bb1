// Load balancing among the targets of a service that is not sharded. Does no I/O; the caller passes in the time and the
// members.

#ifndef MAGNOLIAARCH_SRC_MESH_CHOICE_P_H_
#define MAGNOLIAARCH_SRC_MESH_CHOICE_P_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "magnoliaarch/types.h"
#include "mesh_domains_p.h"
#include "mesh_target_index_p.h"
#include "mesh_view_p.h"

namespace magnoliaarch {

// A node's knowledge of the target of another node.
struct TargetHint {
  bool accepts = false;
  bool cold = false;
  double load = 0;              // running and queued requests per slot
  double service_s = 0.05;      // mean service time over all routes
  int in_flight = 0;            // requests of this node
  int in_flight_at_report = 0;  // value of in_flight when the load was reported
  TimePoint avoid_until;        // set after a failure to reach the target
  double latency_ratio = 1;     // service time relative to the route's mean over all targets
  TimePoint latency_ratio_at;   // time of the last sample
  std::uint32_t version = 0;    // hash of the version of its software; 0: not known
  int slots = 0;                // 0: not known
};

// A choice among the targets of a service.
struct PickRequest {
  std::string service;
  std::string route;
  Duration objective{};
  std::set<std::string> excluded;  // nodes that must not be chosen
  TimePoint now;
  // Whether the target of a node may be chosen. Null: every target may.
  std::function<bool(const std::string& node)> admits{};
  // Factor of a target's expected response time; 1 is neutral. Null: 1 for every target.
  std::function<double(const std::string& node)> cost_factor{};
};

class TargetChooser {
 public:
  // `domain_preference`: cost of leaving the failure domain, as a share of the request's latency objective.
  TargetChooser(std::string domain, double domain_preference, std::uint64_t seed);

  std::map<std::string, TargetHint>& Hints() { return m_hints; }
  TargetHint& HintOf(const std::string& node) { return m_hints[node]; }

  // Records that the target of `node` took `service` for a request of the route.
  void OnServed(const std::string& node, const std::string& route, Duration service, TimePoint now);

  // Chooses among a few targets that are drawn by their measured room, instead of among all members. Without a policy,
  // leaving the failure domain costs the domain preference; with one, the measured cost, and planned shares of the
  // requests leave. Off at first.
  void SetSampling(bool on, std::optional<DomainPolicy> policy);
  // Must be called after the hints of several targets have changed.
  void OnHintsChanged() { m_index_current = false; }
  // Shares of the requests for a service that other failure domains serve, and the hops to them in seconds. In force
  // until `end`; without new ones, the choice is left to the measured cost.
  void SetShares(std::map<std::string, DomainShares> by_service, std::map<std::string, double> hops, TimePoint end);

  // Returns the node whose target has the lowest expected response time; empty if no target accepts requests.
  std::string Pick(const MeshView& view, const PickRequest& request);

  // Number of targets that were compared in all choices so far.
  std::uint64_t Compared() const { return m_compared; }

  // Whether the service has had no target for so long that waiting for one within a request's objective is pointless.
  bool HasNoTarget(const std::string& service, TimePoint now) const;

 private:
  struct Candidate {
    std::string node;  // empty: none
    double cost = 0;   // seconds, without the cost of leaving the failure domain
    double load = 0;
  };

  double NextRandom();
  // Compares a target. Returns nullopt if it must not be chosen. Evacuated domains are left to the caller.
  std::optional<Candidate> Compare(const std::string& node, const PickRequest& request);
  std::string PickFromAll(const MeshView& view, const PickRequest& request);
  std::string PickFromSample(const MeshView& view, const PickRequest& request);
  Candidate BestOf(const TargetGroup& group, const PickRequest& request);
  void RefreshIndex(const MeshView& view);
  // Returns the group that planned shares name for a request; the own domain's if they name none; null if it is empty.
  const TargetGroup* DrawByShares(const std::vector<const TargetGroup*>& groups, const PickRequest& request);
  // Returns a group other than `except` by its room; null if there is none.
  const TargetGroup* DrawByRoom(const std::vector<const TargetGroup*>& groups, const TargetGroup* except);
  bool LeavingPays(const Candidate& here, const Candidate& away, const std::string& domain, const PickRequest& request);

  const std::string m_domain;
  const double m_domain_preference;
  std::map<std::string, TargetHint> m_hints;
  std::unordered_map<std::string, double> m_route_mean_s;        // mean service time of each route over all targets
  std::unordered_map<std::string, TimePoint> m_no_target_since;  // by service: since when Pick has found no target
  std::minstd_rand m_random;

  bool m_sampling = false;
  std::optional<DomainPolicy> m_policy;
  TargetIndex m_index;
  bool m_index_current = false;
  std::uint64_t m_indexed_membership = 0;
  std::map<std::string, DomainShares> m_shares;  // by service
  std::map<std::string, double> m_hops;          // seconds, by domain
  TimePoint m_shares_end;
  std::uint64_t m_compared = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_CHOICE_P_H_
