// Handles requests of callers: authentication, rate limits, routing, retries and exactly one answer.

#ifndef MAGNOLIAARCH_SRC_MESH_INGRESS_P_H_
#define MAGNOLIAARCH_SRC_MESH_INGRESS_P_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "http1_p.h"
#include "magnoliaarch/metrics.h"
#include "mesh.pb.h"
#include "mesh_choice_p.h"
#include "mesh_limits_p.h"
#include "mesh_log_p.h"
#include "mesh_model_p.h"
#include "mesh_timer_p.h"
#include "mesh_token_holder_p.h"
#include "mesh_view_p.h"
#include "mesh_wire_p.h"
#include "recent_max_p.h"

namespace magnoliaarch {

enum class SendOutcome { kAnswered, kNotSent, kBroken };

struct SendResult {
  SendOutcome outcome = SendOutcome::kNotSent;
  proto::MeshAnswer answer;  // kAnswered only
  std::string body;
  std::string detail;
};

struct MeshIngressOptions {
  std::string node;
  std::string domain;
  std::string service;                 // service of the target and of the callers on this host
  const MeshBounds* bounds = nullptr;  // must outlive this object; updated when the settings are reloaded
  // Cost of leaving the failure domain, as a share of a request's latency objective.
  double domain_preference = 0.4;
  std::uint64_t seed = 1;
};

// Callbacks of a send. Never called from within the call that starts the send, nor after its cancellation.
struct SendHooks {
  // Called once.
  std::function<void(SendResult)> done;
  // The node is silent: it did not answer a ping in time. The send goes on. Called at most once, before `done`.
  std::function<void()> silent;
};

// Why a new request is refused before it is sent anywhere.
struct IngressRefusal {
  MeshError kind = MeshError::kBusy;  // must be one that states that the request has not run
  Duration retry_after{};
};

// How a send to the node next to a target has ended. Valid only during the call that reports it.
struct EndedSend {
  const std::string& node;
  const proto::MeshRequest& request;
  const SendResult& result;
  Duration elapsed;  // time of the send; zero if it is not known
  TimePoint now;
  std::size_t request_bytes = 0;
};

// How a request has ended. Valid only during the call that reports it.
struct EndedRequest {
  const proto::MeshRequest& request;
  std::optional<MeshError> refusal;  // the error that the caller got; nullopt: an answer of a target
  int status = 0;                    // of the answer; 0: the caller has left
  bool reached_target = false;       // a target has run the request or rejected it, or may have
  TimePoint now;
  Duration elapsed{};             // since the send; zero if a node was silent meanwhile
  std::size_t request_bytes = 0;  // size of the request's body
};

struct MeshIngressHooks {
  std::function<const MeshView&()> view;
  std::function<std::size_t()> live_nodes;
  // Sends to the node next to a target. Returns an id for `cancel`.
  std::function<std::uint64_t(const std::string& node,
                              const proto::MeshRequest& request,
                              std::shared_ptr<const std::string> body,
                              SendHooks hooks)>
      send;
  std::function<void(std::uint64_t send)> cancel;
  // Requests tokens of a workspace without delay. Returns false if nobody hands them out.
  std::function<bool(std::size_t workspace)> request_tokens;
  // Whether the operator may have put a newer configuration into force that this node does not know. Null: never.
  std::function<bool()> may_lack_configuration;
  // Decides whether a new request is refused at once. Called once for each request, after its workspace's token was
  // taken. Null: no request is refused.
  std::function<std::optional<IngressRefusal>(const proto::MeshRequest& request, TimePoint objective, TimePoint now)>
      refuse_new;
  // Called once for each request that is not refused at once, before it is sent. May be null.
  std::function<void(const proto::MeshRequest& request, TimePoint now)> on_admitted;
  // Restrict and weigh the choice among the targets of a service. The owner of a key is only admitted or not. May be
  // null.
  std::function<bool(const proto::MeshRequest& request, const std::string& node)> admits_target;
  std::function<double(const proto::MeshRequest& request, const std::string& node)> target_cost_factor;
  // Reports each send that has ended, before the request goes on, and each that has no answer at the deadline. May be
  // null.
  std::function<void(const EndedSend& send)> on_send_ended;
  // Whether requests of a route are inner calls of the local target. Null: none are.
  std::function<bool(const std::string& route, TimePoint now)> is_inner_route;
  // Report inner calls of the local target: their start and their end. May be null.
  std::function<void(const proto::MeshRequest& request)> on_inner_call;
  std::function<void(const EndedRequest& ended)> on_inner_call_ended;
};

class MeshIngress {
 public:
  MeshIngress(TimerQueue& timers,
              const MeshWire& wire,
              MeshLog& log,
              MetricsRegistry& metrics,
              MeshIngressOptions options,
              MeshIngressHooks hooks);

  void OnRequest(const std::shared_ptr<HttpExchange>& exchange);
  void OnViewChanged();
  void OnTokens();
  TokenHolder& Tokens() { return m_tokens; }
  std::map<std::string, TargetHint>& Hints() { return m_chooser.Hints(); }
  TargetChooser& Chooser() { return m_chooser; }
  std::size_t InProgress() const { return m_pending.size(); }
  // Refuses all new requests, because the node is about to exit and could not finish them.
  void RefuseAll() { m_refuse_all = true; }

 private:
  using PendingId = std::uint64_t;
  // A send to a node that has become silent. Its target may still be executing the request.
  struct SilentSend {
    int send_number = 0;
    std::uint64_t send_id = 0;
    std::string node;
  };
  struct PendingRequest {
    std::shared_ptr<HttpExchange> exchange;
    std::shared_ptr<const MeshConfig> config;  // keeps the route alive
    const MeshRoute* route = nullptr;
    proto::MeshRequest request;
    std::shared_ptr<const std::string> body;
    std::optional<std::size_t> workspace;
    bool sharded = false;
    TimePoint received;
    TimePoint objective;
    TimePoint expires;
    int target_sends = 0;  // sends that have reached a target, or may have
    int node_sends = 0;    // sends to nodes
    bool may_have_run = false;
    bool counted = false;  // the retry budget of its service includes this request
    std::uint64_t send_id = 0;
    std::string node;   // destination of the current send
    TimePoint sent_at;  // start of the current send
    std::vector<SilentSend> silent;
    // The refusal that is returned if none of the silent sends brings a better answer.
    std::optional<MeshError> refusal;
    std::set<std::string> excluded;
    std::string hinted_owner;
    std::uint64_t asked_fence = 0;    // fence of the range at the last send to its owner
    std::uint64_t refused_fence = 0;  // fence of the range whose owner has reported that it does not hold the key
    TimePoint owner_retry_at;         // earliest next send to the owner with the refused fence
    TimerId expiry_timer = 0;
    TimerId wait_timer = 0;
    bool has_token = false;  // a workspace token was taken for this request
    TimePoint token_taken_at;
    bool waits_for_tokens = false;
    bool waits_for_target = false;
    std::optional<HttpMessage> fallback_answer;  // error answer of a target, kept while the request is retried
    std::string last_failure;
  };
  // Callers change the time that they give. A single long one must not make all others count as late for good.
  static constexpr Duration kLongestWaitWindow = std::chrono::seconds(10);
  struct RouteStats {
    RecentMax longest_wait{kLongestWaitWindow};  // longest time until the deadline that callers of the route give
    std::vector<double> service_credit;
  };

  // Ends the request with an error, unless a silent node may still answer it. A request that may have been executed
  // never gets an error that promises that it has not been.
  void Refuse(PendingId id, MeshError kind, std::optional<Duration> retry_after);
  void RefuseExchange(const std::shared_ptr<HttpExchange>& exchange,
                      MeshError kind,
                      const std::string& request_id,
                      std::string_view route);
  void FollowLimits(TimePoint now, const MeshConfig& config);
  MeshError FinalUnlessUnconfirmed(MeshError kind) const;
  void Admit(PendingId id);
  void SetWaitsForTokens(PendingId id, bool waits);
  void TrySend(PendingId id);
  // Returns the destination node of the next send; empty if there is none now.
  std::string PickNode(PendingRequest& pending, TimePoint now);
  std::string PickOwner(PendingRequest& pending, TimePoint now);
  std::string PickBalanced(const PendingRequest& pending, TimePoint now);
  void WaitForTarget(PendingId id);
  void OnSendEnded(PendingId id, int send_number, SendResult result);
  void ReportSend(const std::string& node,
                  const PendingRequest& pending,
                  const SendResult& result,
                  TimePoint now,
                  Duration elapsed);
  // The destination node of a send has become silent.
  void OnSilent(PendingId id, int send_number);
  // A send that became silent has ended.
  void OnSilentSendEnded(PendingId id, const SilentSend& ended, SendResult result);
  void OnAnswer(PendingId id, proto::MeshAnswer answer, std::string body);
  void OnNotRun(PendingId id, const proto::MeshAnswer& answer);
  // Sends again after a send that has reached a target. Returns false if no retry is possible.
  bool Retry(PendingId id, bool same_target, Duration delay);
  void Deliver(PendingId id, HttpMessage answer, std::string_view outcome);
  void OnTimeout(PendingId id);
  void OnCallerGone(PendingId id);
  void Remove(PendingId id);
  // Reports the end of an inner call.
  void ReportEnd(const PendingRequest& pending, std::optional<MeshError> refusal, int status, TimePoint now);
  const WeightedService& PickService(const MeshRoute& route);
  MeshRetryBudget& RetryBudgetFor(const std::string& service);
  void CountOutcome(const PendingRequest& pending, std::string_view outcome, TimePoint now);

  TimerQueue& m_timers;
  const MeshWire& m_wire;
  MeshLog& m_log;
  MetricsRegistry& m_metrics;
  const MeshIngressOptions m_options;
  MeshIngressHooks m_hooks;
  std::unordered_map<PendingId, PendingRequest> m_pending;
  PendingId m_last_pending_id = 0;
  std::set<PendingId> m_token_waiters;
  std::set<PendingId> m_target_waiters;
  TargetChooser m_chooser;
  std::map<std::string, MeshRetryBudget> m_retry_budgets;
  std::unordered_map<std::string, RouteStats> m_route_stats;
  std::map<std::pair<std::string, std::string>, std::pair<Counter*, Histogram*>> m_counters;
  TokenHolder m_tokens;
  std::uint64_t m_token_config_version = 0;
  std::minstd_rand m_random;
  bool m_refuse_all = false;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_INGRESS_P_H_
