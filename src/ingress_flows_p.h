// Caller requests in progress at this node, with their attempts.

#ifndef MAGNOLIAARCH_SRC_INGRESS_FLOWS_P_H_
#define MAGNOLIAARCH_SRC_INGRESS_FLOWS_P_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "http_ingress_p.h"
#include "magnoliaarch/balance.h"
#include "magnoliaarch/retry.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"

namespace magnoliaarch {

// Result of an attempt or a query, reported on the ingress thread.
struct AttemptResult {
  bool answered = false;
  Response response;  // answered only
};

// Callbacks of IngressFlows. They are called on the ingress thread, and their results must be reported on it.
struct IngressFlowHooks {
  std::function<std::shared_ptr<const View>()> view;
  // Sends one attempt to the node of the route. `sent` is set when its bytes may have left this node.
  std::function<void(std::shared_ptr<const Request> request,
                     std::uint32_t attempt,
                     const Route& route,
                     std::shared_ptr<std::atomic<bool>> sent,
                     std::function<void(AttemptResult)> done)>
      send;
  std::function<
      void(RequestId id, std::uint32_t attempt, const IncarnationId& node, std::function<void(AttemptResult)> done)>
      query;
  // Stops sending an attempt. It ends without an answer unless it was already sent completely.
  std::function<void(RequestId id, std::uint32_t attempt)> withdraw;
  std::function<void(RequestId id, std::uint32_t attempt, const IncarnationId& node)> cancel;
  std::function<void(const std::string& entry, SliceHandle slice)> refresh_view;
  // Requests a call of OnTick at this time.
  std::function<void(TimePoint at)> schedule_tick;
  std::function<void(const Request&, const Response&, Duration)> on_answered;
};

// Runs one RequestFlow per request. Must be used on the ingress thread only.
class IngressFlows {
 public:
  IngressFlows(std::uint64_t seed, IngressFlowHooks hooks) : m_seed(seed), m_hooks(std::move(hooks)) {}

  void Start(std::shared_ptr<const Request> request, TimePoint received, Responder respond);
  void OnTick();
  void OnViewChanged();
  std::size_t Size() const { return m_flows.size(); }

 private:
  struct Attempt {
    IncarnationId node;
    std::shared_ptr<std::atomic<bool>> sent;
    bool sent_reported = false;
    bool ended = false;
    TimePoint started;
  };
  struct Flow {
    std::shared_ptr<const Request> request;
    Responder respond;
    TimePoint received;
    std::unique_ptr<RequestFlow> machine;
    std::map<std::uint32_t, Attempt> attempts;
    std::optional<TimePoint> tick_at;
    std::optional<IncarnationId> refused_by;
  };
  // Shared by the flows of one entry.
  struct EntryState {
    explicit EntryState(std::uint64_t seed) : balancer(BalanceOptions{}, seed) {}
    RetryBudget retry_budget;
    HedgePolicy hedge;
    FlowCounters counters;
    Balancer balancer;
    std::shared_ptr<const View> balanced_view;
  };
  struct IdHash {
    std::size_t operator()(const RequestId& id) const { return static_cast<std::size_t>(id.high ^ id.low); }
  };

  EntryState& StateOf(const std::string& entry);
  Route PickRoute(const Request& request, const std::vector<IncarnationId>& excluded, TimePoint now);
  static bool IsLost(const View& view, const IncarnationId& node);
  // Reports the attempts sent since the last event to the state machine, then handles the event and executes its
  // actions.
  void HandleEvent(RequestId id, const std::function<void(RequestFlow&, TimePoint, FlowActions&)>& event);
  void Execute(Flow& flow, const FlowAction& action, TimePoint now);
  void OnAttemptEnded(RequestId id, std::uint32_t number, AttemptResult result);
  void ClearRefusal(Flow& flow);
  void EndAttempt(const Request& request, Attempt& attempt, BalanceOutcome outcome, TimePoint now);

  const std::uint64_t m_seed;
  const IngressFlowHooks m_hooks;
  std::unordered_map<RequestId, Flow, IdHash> m_flows;
  std::map<std::string, std::unique_ptr<EntryState>> m_entries;
  std::set<std::pair<TimePoint, RequestId>> m_scheduled_ticks;
  // Requests with a refused or failed attempt, by the node of that attempt. When the target of a node answers any
  // request, the flows of that node's requests are notified that their owner is available again.
  std::map<IncarnationId, std::set<RequestId>> m_refused_by_node;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_INGRESS_FLOWS_P_H_
