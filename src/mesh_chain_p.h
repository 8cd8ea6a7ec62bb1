// Admission along call chains: learns which routes of a target call which services, and limits new work to what the
// called services can finish. Does no I/O; the caller passes in the time.

#ifndef MAGNOLIAARCH_SRC_MESH_CHAIN_P_H_
#define MAGNOLIAARCH_SRC_MESH_CHAIN_P_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// How an inner call, which a run at the local target has made, ended.
enum class CallEnd {
  kServed,
  kNoRoom,  // refused before it ran, because no target of the service had room in time
  kFailed,  // any other failure. Less new work would not have prevented it.
};

// Learns how often a run of each route calls each service. An inner call does not name the run that makes it, so it is
// attributed to the routes that run at the time, in proportion to their runs and to what is known of them so far.
class CallGraph {
 public:
  void OnRunStarted(const std::string& route);
  void OnRunEnded(const std::string& route);
  void OnCall(const std::string& service);

  // Mean number of calls of one run; 0 until enough runs have been seen.
  double CallsPerRun(const std::string& route, const std::string& service) const;
  // Whether any route is known to call a service.
  bool MakesCalls() const;
  // Calls `visit` for each service that runs of the route call.
  void VisitCalled(const std::string& route,
                   const std::function<void(const std::string& service, double calls_per_run)>& visit) const;

 private:
  struct Route {
    int running = 0;
    double runs = 0;                      // older runs count less
    std::map<std::string, double> calls;  // by service; attributed calls of these runs
  };
  static double CallsPerRun(const Route& route, const std::string& service);

  std::map<std::string, Route> m_routes;
};

// Tells at a called service which routes are inner calls. An inner call does not differ from other requests, but all
// calls of a route come from hosts whose targets belong to the calling service, while callers are on hosts of all
// services.
class InnerRoutes {
 public:
  // Sets the share of each service in all hosts, from 0 to 1.
  void SetHostShares(std::map<std::string, double> shares) { m_host_shares = std::move(shares); }
  void OnRequest(const std::string& route, const std::string& caller_service);
  // Whether it is certain that the requests of the route are inner calls.
  bool IsInner(const std::string& route) const;

 private:
  struct Route {
    double total = 0;                       // older requests count less
    std::map<std::string, double> callers;  // by the service of the host
  };
  std::map<std::string, double> m_host_shares;
  std::map<std::string, Route> m_routes;
};

// State of a called service, for logs and metrics.
struct CalledServiceState {
  double share = 1;          // of the new work that may enter
  double no_room_share = 0;  // of the calls in the last interval
  std::uint64_t calls_ended = 0;
  bool operator==(const CalledServiceState&) const = default;
};

// Decides which new work a target may start. Answers loads at which a called service cannot even run the inner calls of
// the work that is in progress: the share of new work that may enter falls while calls are refused for want of room,
// and rises again while they are not. A called service that fails for another reason limits nothing, because less new
// work would not help it.
class ChainAdmission {
 public:
  using OnShareChanged = std::function<void(const std::string& service, const CalledServiceState& state)>;

  // `on_share_changed` is called when a service starts or stops limiting new work. May be null.
  explicit ChainAdmission(std::uint64_t seed, OnShareChanged on_share_changed = nullptr);

  CallGraph& Graph() { return m_graph; }
  const CallGraph& Graph() const { return m_graph; }
  void OnCallEnded(const std::string& service, CallEnd end, TimePoint now);
  // Returns nullopt if a new run of the route may start, and otherwise the time after which a retry is sensible. Runs
  // of routes that call nothing are never refused.
  std::optional<Duration> RefuseNew(const std::string& route, TimePoint now);
  // The share of new runs of the route that may start now, from 0 to 1.
  double ShareOf(const std::string& route, TimePoint now);
  const std::map<std::string, CalledServiceState>& Services() const { return m_states; }
  std::uint64_t Refused() const { return m_refused; }

 private:
  struct Interval {
    TimePoint start;
    std::uint32_t ended = 0;
    std::uint32_t no_room = 0;
  };
  void CloseInterval(const std::string& service, TimePoint now);
  Duration RetryAfter();

  CallGraph m_graph;
  OnShareChanged m_on_share_changed;
  std::map<std::string, CalledServiceState> m_states;
  std::map<std::string, Interval> m_intervals;
  std::map<std::string, double> m_credits;  // by route; a run starts when its route's credit reaches 1
  std::uint64_t m_refused = 0;
  std::uint64_t m_retry_spread;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_CHAIN_P_H_
