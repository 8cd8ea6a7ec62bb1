// Ingress side of one request: attempts, queries after a lost answer, waiting for a route, and hedging.

#ifndef MAGNOLIAARCH_RETRY_H_
#define MAGNOLIAARCH_RETRY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "magnoliaarch/balance.h"
#include "magnoliaarch/error.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// Where a request is sent now. The node is empty while the key has no owner or a planned move or takeover is in
// progress.
struct Route {
  IncarnationId node;
  std::uint64_t epoch = 0;

  bool IsValid() const { return node.IsValid(); }
  bool operator==(const Route&) const = default;
};

// Picks the route of the next attempt. For keyed entries the current owner; for balanced entries a target that is not
// in the excluded list, or an invalid route when there is none.
using RoutePicker =
    std::function<Route(const Request& request, const std::vector<IncarnationId>& excluded, TimePoint now)>;

// Opens a stream to the node and sends the request with this epoch and attempt number.
struct FlowSend {
  std::uint32_t attempt = 0;
  Route route;
  bool hedge = false;
};

// Asks the same incarnation for the outcome of the request's attempts up to this one.
struct FlowQuery {
  std::uint32_t attempt = 0;
  IncarnationId node;
};

// Stops sending an attempt. Its stream ends, unless the attempt was already sent completely.
struct FlowWithdraw {
  std::uint32_t attempt = 0;
};

// Cancels an attempt whose answer is no longer needed.
struct FlowCancel {
  std::uint32_t attempt = 0;
  IncarnationId node;
};

// Asks for the slice pack of the request's key, after a wrong-owner refusal.
struct FlowFetchPack {};

// The answer to the caller. Exactly one is produced for each request, whatever events follow.
struct FlowAnswer {
  Response response;
};

// Requests a call of OnTick at this time. A later action replaces an earlier one.
struct FlowWake {
  TimePoint at;
};

using FlowAction = std::variant<FlowSend, FlowQuery, FlowWithdraw, FlowCancel, FlowFetchPack, FlowAnswer, FlowWake>;
using FlowActions = std::vector<FlowAction>;

// Limits retries to a share of first attempts, so that retries cannot multiply the load in an outage. One for each
// entry on a node.
class RetryBudget {
 public:
  explicit RetryBudget(double ratio = 0.1, double max_tokens = 20)
      : m_ratio(ratio), m_max_tokens(max_tokens), m_tokens(max_tokens) {}

  void OnFirstAttempt();
  bool TakeRetry();
  double Tokens() const { return m_tokens; }

 private:
  double m_ratio;
  double m_max_tokens;
  double m_tokens;
};

// Switches off single rules, so that a test can verify that its invariant checker reports the violation.
struct FlowFaults {
  bool retry_after_send = false;          // a non-idempotent request is retried after a break
  bool accept_mismatched_answer = false;  // an answer with another request id is accepted
  bool forget_unknown = false;            // a later not-run refusal hides an attempt with unknown outcome
  bool answer_twice = false;              // late answers also go to the caller
  bool not_run_without_query = false;     // a lost stream is answered not-run without a query
  bool unlimited_retries = false;
};

struct FlowOptions {
  int max_attempts = 4;         // maximum attempts that may load a target
  int max_route_attempts = 16;  // maximum attempts including those refused before a target was involved
  Duration initial_backoff = std::chrono::milliseconds(20);  // before the same route is tried again; doubles
  Duration max_backoff = std::chrono::milliseconds(500);
  Duration query_interval = std::chrono::milliseconds(50);  // between repeated queries
  Duration answer_grace =
      std::chrono::milliseconds(20);  // time after the deadline for the egress node's own deadline answer to arrive
  FlowFaults faults;                  // tests only
};

struct FlowCounters {
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t hedge_wins = 0;
  std::uint64_t queries = 0;
  std::uint64_t held = 0;
  std::uint64_t mismatched_answers = 0;  // dropped: they carry another request id
  std::uint64_t late_answers = 0;        // dropped: the caller has its answer
};

// Shared by the flows of one entry on one node. Each pointer may be null, which disables the retries that need budget,
// hedging or the counters.
struct FlowContext {
  RoutePicker pick;
  RetryBudget* retry_budget = nullptr;
  HedgePolicy* hedge = nullptr;
  FlowCounters* counters = nullptr;
};

// State machine of one request, from admission to its answer.
class RequestFlow {
 public:
  RequestFlow(FlowOptions options, FlowContext context, std::shared_ptr<const Request> request);

  // ---- Events ----
  void Start(TimePoint now, FlowActions& actions);
  // Bytes of the attempt may have left this node. An attempt that breaks before this event certainly did not arrive.
  void OnAttemptSent(TimePoint now, std::uint32_t attempt);
  // An answer or refusal arrived on the attempt's stream.
  void OnAnswer(TimePoint now, std::uint32_t attempt, Response response, FlowActions& actions);
  // The attempt's stream or connection ended without an answer.
  void OnStreamBroken(TimePoint now, std::uint32_t attempt, FlowActions& actions);
  // The queried node answered, with the target's answer or with a refusal that states the known outcome.
  void OnQueryAnswer(TimePoint now, std::uint32_t attempt, Response response, FlowActions& actions);
  // The query did not reach the node; the flow repeats the query until the deadline.
  void OnQueryFailed(TimePoint now, std::uint32_t attempt, FlowActions& actions);
  // This incarnation gets no new work and answers no queries: it was fenced, replaced or left the view. Its process may
  // merely be slow, so a request that it may be running ends when the answer arrives, when the stream ends or at the
  // deadline.
  void OnNodeLost(TimePoint now, const IncarnationId& node, FlowActions& actions);
  // The view changed; a request that waits for a route tries again.
  void OnRouteChanged(TimePoint now, FlowActions& actions);
  // The owner that refused this request has answered another request, for example after it regained its lease.
  void OnOwnerAvailable(TimePoint now, FlowActions& actions);
  void OnCallerGone(TimePoint now, FlowActions& actions);
  void OnTick(TimePoint now, FlowActions& actions);

  // The caller has its answer or has disconnected; nothing more will be sent or awaited.
  bool IsAnswered() const { return m_answered; }
  const Request& GetRequest() const { return *m_request; }

 private:
  enum class AttemptState { kOpen, kQuerying, kDone };
  struct Attempt {
    std::uint32_t number = 0;
    Route route;
    AttemptState state = AttemptState::kOpen;
    bool sent = false;
    bool hedge = false;
    bool lost = false;  // its node is lost; another attempt may run in parallel
    TimePoint started;
    TimePoint query_at;  // kQuerying: when to ask again
  };

  Attempt* FindAttempt(std::uint32_t number);
  // Whether any attempt may still bring an answer.
  bool AnyUnfinished() const;
  // Whether any attempt is unfinished at a node that is not lost, which rules out another attempt.
  bool AnyAwaited() const;
  void OnAttemptLost(TimePoint now, Attempt& attempt, FlowActions& actions);
  // Retries or refuses after a failed attempt, unless another attempt is still awaited.
  void AfterFailure(TimePoint now, const Route& route, ErrorKind kind, FlowActions& actions);
  // Picks a route and sends the next attempt, or lets the request wait for a route.
  void TryRoute(TimePoint now, FlowActions& actions);
  void SendAttempt(TimePoint now, const Route& route, bool hedge, FlowActions& actions);
  void SendQuery(TimePoint now, Attempt& attempt, FlowActions& actions);
  void OnAttemptBroken(TimePoint now, Attempt& attempt, FlowActions& actions);
  // Handles a refusal by the attempt's node, or a failure of the attempt as a refusal of the given kind.
  void OnRefusal(TimePoint now, Attempt& attempt, ErrorKind kind, FlowActions& actions);
  void RetryAfterRefusal(TimePoint now, const Route& route, ErrorKind kind, FlowActions& actions);
  bool MayRetry(ErrorKind kind) const;
  bool TakeRetry();
  void Answer(TimePoint now, Response response, FlowActions& actions);
  // Answers the caller with a refusal, unless a lost node may still answer. Never says not-run when an attempt may have
  // run.
  void AnswerRefusal(TimePoint now, ErrorKind kind, FlowActions& actions);
  void OnDeadline(TimePoint now, FlowActions& actions);
  void CancelUnfinished(FlowActions& actions);
  void ScheduleWake(TimePoint now, FlowActions& actions);

  FlowOptions m_options;
  FlowContext m_context;
  std::shared_ptr<const Request> m_request;
  std::vector<Attempt> m_attempts;
  std::vector<IncarnationId> m_excluded;  // balanced entries: nodes that refused, failed or are being tried
  std::optional<Route> m_refused_route;   // keyed entries: waits for another route or for m_retry_at
  std::optional<TimePoint> m_retry_at;
  std::optional<TimePoint> m_hedge_at;
  std::optional<TimePoint> m_wake;
  std::optional<ErrorKind> m_last_refusal;
  // Refusal to answer with if no attempt at a lost node brings an answer.
  std::optional<ErrorKind> m_deferred_refusal;
  bool m_outcome_unknown = false;  // a finished attempt may have run
  bool m_answered = false;
  int m_target_attempts = 0;  // attempts that may have loaded a target
  int m_backoffs = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_RETRY_H_
