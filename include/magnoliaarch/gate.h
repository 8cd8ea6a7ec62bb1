// Egress gate of one target: class queues, concurrency limit and request table.

#ifndef MAGNOLIAARCH_GATE_H_
#define MAGNOLIAARCH_GATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "magnoliaarch/error.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// Identifies the stream or local caller that waits for an answer. Chosen by the I/O layer, unique while it waits.
using ReplyTicket = std::uint64_t;

// Identifies one send to the target. 0 is invalid.
using SendId = std::uint64_t;

// A request that reaches the egress node. An ingress numbers the attempts of one request id from 1 and opens at most
// one stream for each attempt.
struct GateRequest {
  std::shared_ptr<const Request> request;
  std::uint32_t attempt = 1;
  ReplyTicket ticket = 0;
};

// Sends the request to the target. The I/O layer checks the lease once more before the first byte, then reports
// OnSendStarted. If the I/O layer would have to use a connection of a newer target generation, it sends nothing,
// reports OnReconnect and returns the send with OnSendReturned. Each send ends with exactly one of OnAnswered,
// OnConnectFailed, OnBroken, OnShed, OnSendReturned, OnSendRefused and OnCancelled.
struct GateSend {
  SendId send = 0;
  std::uint64_t target_generation = 0;
  std::shared_ptr<const Request> request;
};

// Sends a waiting stream the target's answer, or the refusal of a request that may have run.
struct GateAnswer {
  ReplyTicket ticket = 0;
  // Id of the stream's request. The stream gets this id instead of response->id; the two differ for a repeated
  // Idempotency-Key.
  RequestId id;
  std::shared_ptr<const Response> response;
};

// Refuses a waiting stream.
struct GateRefuse {
  ReplyTicket ticket = 0;
  RequestId id;
  ErrorKind kind = ErrorKind::kInternal;
};

// Closes the connection of a send or cancels it; the I/O layer confirms with OnCancelled. The send keeps its slot under
// the concurrency limit until then.
struct GateCancelAtTarget {
  SendId send = 0;
};

// Requests a call of OnTick at this time. A later action replaces an earlier one.
struct GateWake {
  TimePoint at;
};

using GateAction = std::variant<GateSend, GateAnswer, GateRefuse, GateCancelAtTarget, GateWake>;
using GateActions = std::vector<GateAction>;

// Result of the ownership check of a request.
struct LeaseVerdict {
  std::optional<ErrorKind> refusal;  // empty: the request may be sent now
  // Changes whenever ownership of the request's key was interrupted: after a lapse of the lease and with each new
  // grant. A repeated Idempotency-Key is answered from the request table within one generation only.
  std::uint64_t generation = 0;
};

// Checks lease, slice ownership and epoch. For targets that do not check fences, also checks that the deadline is
// within the guaranteed time of the lease.
using LeaseCheck = std::function<LeaseVerdict(const Request& request, TimePoint now)>;

// Switches off single rules, so that a test can verify that its invariant checker reports the violation. Never set in
// production.
struct GateFaults {
  bool forget_finished = false;        // a finished request runs again when it arrives again
  bool evict_early = false;            // a full table drops its oldest record
  bool skip_tombstone = false;         // a query for an unknown id leaves no tombstone
  bool raise_limit_over_time = false;  // the limit rises with time, without successful requests
  bool keep_limit_on_reconnect = false;
  bool skip_lease_check = false;
  bool queue_past_deadline = false;
  bool resend_after_break = false;  // a request whose connection broke after the send is sent again
  bool idempotency_across_lapse = false;
  bool shared_idempotency_keys = false;  // Idempotency-Key is not scoped by workspace
  bool refuse_queued_on_drain = false;   // drain refuses queued requests
};

struct RequestTableOptions {
  std::size_t capacity = 32768;           // records of running and retained requests
  std::size_t tombstone_capacity = 8192;  // tombstones, counted separately so that a full table can still add some
  std::size_t answer_bytes = 24u << 20u;  // size of the retained answers
  Duration retention = std::chrono::seconds(30);  // exceeds every deadline
};

// Records requests by id, so that a non-idempotent request runs at most once. Idempotent requests are recorded only
// while they are queued or running: 7,818 requests a second retained for 30 s would take more than the memory of a
// node, and running one again does no harm. A query for an unknown id leaves a tombstone, which refuses the attempts
// that it covers if they arrive later.
class RequestTable {
 public:
  enum class State {
    kQueued,    // waits at the gate
    kSent,      // given to the I/O layer
    kFinished,  // answered or failed after the send
    kRefused,   // did not run; attempts up to `attempt` stay refused
    kBarred,    // tombstone of a request queried before it arrived; attempts up to `attempt` are refused
  };

  struct Waiter {
    ReplyTicket ticket = 0;
    RequestId id;
  };

  struct Record {
    State state = State::kQueued;
    std::uint32_t attempt = 0;
    ErrorKind refusal = ErrorKind::kBarred;         // kRefused, kBarred
    bool is_tombstone = false;                      // counted as a tombstone
    std::shared_ptr<const Request> request;         // kQueued, kSent
    std::shared_ptr<const Response> response;       // kFinished
    std::vector<Waiter> waiters;                    // kQueued, kSent
    SendId send = 0;                                // kSent
    std::list<RequestId>::iterator queue_position;  // kQueued: position in the workspace's queue
    TimePoint deadline;
    TimePoint expires;            // end of retention
    std::string idempotency_key;  // scoped key, empty: none
    RequestId duplicate_of;       // if valid: the request whose Idempotency-Key this one repeats
    std::size_t bytes = 0;        // of the retained answer
  };

  RequestTable(RequestTableOptions options, GateFaults faults) : m_options(options), m_faults(faults) {}

  // The record of an id, or of the request that it repeats by Idempotency-Key. Null when there is none.
  Record* Find(RequestId id);
  const Record* Find(RequestId id) const { return const_cast<RequestTable*>(this)->Find(id); }

  // A new record; null when the table is full. Records with an outcome are never evicted before their retention ends.
  Record* Insert(RequestId id, bool is_tombstone);

  // Starts the retention of a record that has an outcome.
  void Retain(RequestId id, Record& record, TimePoint now);

  // Id of the record with this scoped idempotency key, if there is one.
  std::optional<RequestId> FindKey(const std::string& scoped_key) const;
  void AddKey(const std::string& scoped_key, RequestId id);

  // Drops records whose retention has ended.
  void Expire(TimePoint now);
  // Removes a record at once, without waiting for its retention to end.
  void Erase(RequestId id);
  // Retains the answer of a finished request in its record and counts the answer's size toward answer_bytes.
  void StoreAnswer(Record& record, std::shared_ptr<const Response> response);

  // Whether new requests are refused because the table is full.
  bool IsFull() const;
  // Turns a tombstone into the record of a later attempt.
  void ClearTombstone(Record& record);
  // Whether the request with this id repeats the Idempotency-Key of another request.
  bool IsDuplicate(RequestId id) const;

  std::size_t Size() const { return m_records.size(); }

 private:
  struct IdHash {
    std::size_t operator()(const RequestId& id) const { return static_cast<std::size_t>(id.high ^ (id.low * 31u)); }
  };

  RequestTableOptions m_options;
  GateFaults m_faults;
  std::unordered_map<RequestId, Record, IdHash> m_records;
  std::unordered_map<std::string, RequestId> m_keys;
  std::deque<std::pair<TimePoint, RequestId>> m_expiry;  // in order: the retention is the same for all
  std::size_t m_tombstones = 0;
  std::size_t m_bytes = 0;
};

struct GateOptions {
  int cold_limit = 4;                                        // concurrent requests a cold target may receive
  int warm_limit = 32;                                       // concurrent requests a warm target may receive
  Duration warm_up{};                                        // minimum time at the cold limit after a cold start
  Duration raise_interval = std::chrono::milliseconds(250);  // minimum time between two raises of the limit
  Duration freeze_after =
      std::chrono::milliseconds(100);     // timeouts shorter than this are no evidence about the target
  double bulk_min_share = 0.1;            // minimum share of sends for bulk while other classes are queued
  std::size_t queue_per_class = 512;      // queued requests of one class
  std::size_t queue_per_workspace = 256;  // queued requests of one workspace in one class
  RequestTableOptions table;
  GateFaults faults;  // tests only
};

struct GateCounters {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t repeated = 0;  // arrivals answered from an earlier or running attempt
  std::uint64_t barred = 0;
  std::uint64_t timed_out = 0;  // after the send
  std::uint64_t limit_drops = 0;
  std::uint64_t limit_raises = 0;
  std::uint64_t unexpected_events = 0;  // events for sends that are not open
};

// Limits the load on one target; all of the target's requests pass through it. The limit follows only the target's own
// answers, refusals and connections, not health or load reports.
class Gate {
 public:
  Gate(GateOptions options, LeaseCheck lease_check);

  // Share of a workspace within its class; 1 when not set.
  void SetWeight(const std::string& workspace, std::uint32_t weight);
  // Limits from the catalogue entry. A lower warm limit takes effect as running requests end.
  void SetLimits(int cold_limit, int warm_limit, Duration warm_up = {});

  // ---- Events ----
  void OnRequest(TimePoint now, GateRequest event, GateActions& actions);
  // The ingress lost the stream and asks for the outcome of the attempts up to this one. The outcome goes to the
  // ticket; a request that this gate has not seen gets a tombstone. Only non-idempotent requests are queried.
  void OnQuery(TimePoint now, RequestId id, std::uint32_t attempt, ReplyTicket ticket, GateActions& actions);
  // The stream no longer waits. A queued request is dropped and a running idempotent one cancelled when no other stream
  // waits for it; a running non-idempotent one continues.
  void OnCancel(TimePoint now, RequestId id, ReplyTicket ticket, GateActions& actions);

  void OnSendStarted(TimePoint now, SendId send);
  void OnAnswered(TimePoint now, SendId send, Response response, GateActions& actions);
  // The connection failed before any byte of the request was sent.
  void OnConnectFailed(TimePoint now, SendId send, GateActions& actions);
  // The connection broke when bytes of the request may already have been sent.
  void OnBroken(TimePoint now, SendId send, GateActions& actions);
  // The target did not answer in time. The gate also detects this itself in OnTick.
  void OnTimedOut(TimePoint now, SendId send, GateActions& actions);
  // 503 with X-Shed: the target refused before running the request.
  void OnShed(TimePoint now, SendId send, GateActions& actions);
  // Nothing was sent because the connection belongs to a newer target generation; the request is queued again.
  void OnSendReturned(TimePoint now, SendId send, GateActions& actions);
  // The second lease check, in the I/O layer, failed; nothing was sent.
  void OnSendRefused(TimePoint now, SendId send, ErrorKind kind, GateActions& actions);
  // A GateCancelAtTarget was carried out.
  void OnCancelled(TimePoint now, SendId send, GateActions& actions);

  // The target closed its connections, was connected to again, or shows a new incarnation. Opening one more connection
  // while others are open is no reconnect.
  void OnReconnect(TimePoint now, GateActions& actions);
  // Refuses new requests; queued and running ones are finished.
  void OnDrain(TimePoint now, GateActions& actions);
  // Ends a drain.
  void OnResume(TimePoint now, GateActions& actions);
  void OnTick(TimePoint now, GateActions& actions);

  // ---- State ----
  int Limit() const { return m_frozen ? 1 : m_limit; }
  int InFlight() const { return static_cast<int>(m_sends.size()); }
  std::size_t Queued() const;
  bool IsDraining() const { return m_draining; }
  // A request timed out and the target has not answered since; one request at a time is sent until the target answers.
  bool IsFrozen() const { return m_frozen; }
  std::uint64_t TargetGeneration() const { return m_generation; }
  // Whether any request that matches is queued or running, for planned moves and drains.
  bool HasUnfinished(const std::function<bool(const Request&)>& matches) const;
  const GateCounters& Counters() const { return m_counters; }

 private:
  using Record = RequestTable::Record;
  using State = RequestTable::State;

  // One workspace's queue within a class.
  struct WorkspaceQueue {
    std::list<RequestId> ids;
    std::uint32_t deficit = 0;  // requests left in this turn
    bool active = false;
  };
  struct ClassQueue {
    std::unordered_map<std::string, WorkspaceQueue> workspaces;
    std::deque<std::string> active;  // workspaces with queued requests, in round-robin order
    std::size_t size = 0;
  };
  // A send that holds a slot under the concurrency limit.
  struct OpenSend {
    RequestId id;
    bool abandoned = false;  // the request already has an outcome; the send only holds its slot
    std::uint64_t generation = 0;
    TimePoint sent_at;  // when the gate decided to send
    bool started = false;
  };

  ClassQueue& QueueOf(const Request& request) { return m_queues[static_cast<std::size_t>(request.request_class)]; }
  // Queues a new request. In a full class it replaces the newest request of the longest queue. Returns false if there
  // is no room.
  bool Admit(TimePoint now, RequestId id, Record& record, GateActions& actions);
  void Enqueue(RequestId id, Record& record, bool front);
  void Dequeue(Record& record);
  std::optional<RequestId> NextQueued();
  std::optional<RequestId> PopFrom(ClassQueue& queue);
  void Dispatch(TimePoint now, GateActions& actions);
  // The record of an id; null if this gate has not seen the request.
  Record* FindRecord(RequestId id);
  // Answers from an existing record; false when the request may run again.
  bool AnswerFromRecord(RequestId id, Record& record, std::uint32_t attempt, ReplyTicket ticket, GateActions& actions);
  void Finish(TimePoint now, RequestId id, Record& record, Response response, GateActions& actions);
  // Ends a request that did not run.
  void Refuse(TimePoint now, RequestId id, ErrorKind kind, GateActions& actions);
  // Ends a request that may have run.
  void FailAfterSend(TimePoint now, RequestId id, Record& record, ErrorKind kind, GateActions& actions);
  // Ends a send and frees its slot. Empty when the send is not open.
  std::optional<OpenSend> EndSend(SendId send);
  void TimeOut(TimePoint now, RequestId id, Record& record, GateActions& actions);
  void StartGeneration(TimePoint now);
  void DropLimit(TimePoint now, int limit);
  void RaiseLimit(TimePoint now);
  void CountSuccess(TimePoint now, const OpenSend& send);
  LeaseVerdict CheckLease(const Request& request, TimePoint now);
  std::uint32_t WeightOf(const std::string& workspace) const;
  // Runs after every event: ends requests past their deadline, sends queued ones and schedules the next wake-up.
  void ProcessPending(TimePoint now, GateActions& actions);

  GateOptions m_options;
  LeaseCheck m_lease_check;
  RequestTable m_table;
  std::array<ClassQueue, kRequestClassCount> m_queues;
  std::unordered_map<std::string, std::uint32_t> m_weights;
  std::unordered_map<SendId, OpenSend> m_sends;
  std::set<std::pair<TimePoint, RequestId>> m_deadlines;  // of queued and sent requests
  SendId m_last_send = 0;
  std::uint64_t m_generation = 1;
  int m_limit = 0;
  int m_successes = 0;           // since the last change of the limit
  bool m_limit_reached = false;  // since the last change of the limit
  TimePoint m_limit_changed;
  std::optional<TimePoint> m_cold_since;  // start of the time in which the target may be cold; empty: no answer yet
  TimePoint m_last_answer;
  bool m_frozen = false;
  bool m_draining = false;
  double m_bulk_credit = 0;
  std::optional<TimePoint> m_wake;
  GateCounters m_counters;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_GATE_H_
