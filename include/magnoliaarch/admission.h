// Distributed rate limiting of a workspace across all ingress nodes: token bucket, share holder and share allocator.

#ifndef MAGNOLIAARCH_ADMISSION_H_
#define MAGNOLIAARCH_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "magnolia.pb.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// A rate in requests per second and a burst in requests.
struct ShareAmount {
  double rate = 0;
  double burst = 0;
  bool operator==(const ShareAmount&) const = default;
};

// Token bucket that starts empty. Changing rate or burst never creates tokens.
class TokenBucket {
 public:
  TokenBucket() = default;
  TokenBucket(ShareAmount amount, TimePoint now) : m_amount(amount), m_refilled_at(now) {}

  // Changes rate and burst from now on. Tokens above the new burst are lost.
  void Set(TimePoint now, ShareAmount amount);
  // Adds tokens, up to the burst.
  void Add(TimePoint now, double tokens);
  bool Take(TimePoint now, double cost = 1);
  // Takes at most `tokens` tokens and returns the number taken.
  double TakeUpTo(TimePoint now, double tokens);
  double Tokens(TimePoint now);
  // Time until a request of this cost could be admitted; nullopt if rate and burst never allow it.
  std::optional<Duration> WaitFor(TimePoint now, double cost = 1);
  const ShareAmount& Amount() const { return m_amount; }

 private:
  void Refill(TimePoint now);

  ShareAmount m_amount;
  double m_tokens = 0;
  TimePoint m_refilled_at;
};

enum class Admission { kAdmitted, kRefused, kWait };

// Switches off single rules, so that a test can verify that its invariant checker reports the violation.
struct ShareFaults {
  bool count_from_receipt = false;         // holder: validity starts when the grant arrives
  bool accept_old_grants = false;          // holder: accepts reordered and duplicate grants
  bool accept_lower_terms = false;         // holder: accepts grants with a lower term
  bool keep_expired_share = false;         // holder: uses a share after its expiry
  bool fill_new_bucket = false;            // holder: a larger burst is filled at once
  bool reassign_unreturned_share = false;  // allocator: grants a share to others before it was returned
  bool skip_restart_wait = false;          // allocator: a new allocator assumes that no shares are outstanding
  bool grant_after_role_lost = false;      // allocator: grants after its role lease expired
  bool credit_twice = false;               // both: returned tokens are reported and credited again
};

// A share and the end of its validity.
struct TimedShare {
  ShareAmount amount;
  TimePoint until;
};

struct ShareHolderOptions {
  Duration report_interval = std::chrono::milliseconds(750);
  Duration min_report_interval = std::chrono::milliseconds(100);  // minimum time between reports that a change triggers
  // Report interval of a holder that lacks tokens for its waiting requests. It doubles while grants bring no token.
  // Several reports fit into max_wait.
  Duration starved_interval = std::chrono::milliseconds(15);
  Duration answer_timeout = std::chrono::milliseconds(200);  // an unanswered report is repeated after this time
  Duration max_wait = std::chrono::milliseconds(100);        // longest wait of a request for a share or a token
  Duration idle_after = std::chrono::seconds(10);            // after this time without requests the share may expire
  Duration demand_time_constant = std::chrono::milliseconds(200);  // of the exponential decay of the measured demand
  double demand_headroom = 1.25;                                   // reported demand as a multiple of the measured rate
  int min_waiting_capacity = 32;  // requests that may wait at any time, however small the burst
  ShareFaults faults;             // tests only
};

// Holds a share of one workspace's limit, on an ingress node or for an inner allocator.
class ShareHolder {
 public:
  ShareHolder(ShareHolderOptions options, std::string workspace, IncarnationId self);

  // Decides on one request. After kWait, call again when a grant arrives or a few milliseconds later, until the result
  // is no longer kWait. `waited` is the time that this request has waited so far; zero means a new request.
  Admission Admit(TimePoint now, Duration waited = Duration::zero());
  // A request that got kWait was cancelled.
  void OnWaiterGone();

  // For an inner allocator: the demand of its own holders, which replaces the measured demand, and the shares that they
  // may still use.
  void SetInner(double demand, ShareAmount in_use);

  // The view shows an allocator with this term; grants with lower terms are ignored from now on.
  void OnTerm(std::uint64_t term);
  // A report to send to the allocator, when one is due.
  std::optional<proto::ShareReport> Report(TimePoint now);
  // Handles an allocator's answer. Late, duplicate and reordered grants and grants with a lower term are ignored.
  // Returns whether the grant took effect.
  bool OnGrant(TimePoint now, const proto::ShareGrant& grant);
  // Time at which the next report is due. Requests and grants may make it earlier, so Report must be called every
  // min_report_interval for a busy holder.
  TimePoint NextReport(TimePoint now) const;

  // Share that is valid now.
  ShareAmount Current(TimePoint now) const;
  // Every share that may still be in use, newest last. More than one only for an inner allocator.
  std::vector<TimedShare> Shares(TimePoint now) const;
  std::uint64_t Term() const { return m_term; }
  bool IsIdle(TimePoint now) const { return now - m_last_arrival > m_options.idle_after; }

 private:
  struct AcceptedGrant {
    std::uint64_t sequence = 0;
    std::uint64_t term = 0;
    TimedShare share;
  };

  // Drops expired shares, and older shares that are no longer in use.
  void Refresh(TimePoint now);
  void CountArrival(TimePoint now);
  double Demand(TimePoint now) const;
  // Tokens that the waiting requests need beyond those in the bucket; 0 while the share can serve them in time.
  double MissingTokens(TimePoint now);
  // Whether demand differs from the last report by more than statistical noise.
  bool DemandChanged(TimePoint now) const;

  ShareHolderOptions m_options;
  std::string m_workspace;
  IncarnationId m_self;
  TokenBucket m_bucket;
  std::deque<std::pair<std::uint64_t, TimePoint>> m_sent_reports;  // recent reports: sequence and time
  std::deque<AcceptedGrant> m_accepted;                            // newest last
  std::uint64_t m_term = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_applied_sequence = 0;  // sequence of the newest grant
  TimePoint m_last_report;
  bool m_report_soon = false;     // the share shrank, or there is none
  bool m_unsatisfied = false;     // a request found no token since the last report
  bool m_report_answered = true;  // whether the last report was answered
  Duration m_retry_interval;
  Duration m_starved_interval;
  bool m_starved = false;        // a request is waiting that the share alone cannot serve in time
  double m_returned_tokens = 0;  // tokens that did not fit the burst of the newest grant
  double m_reported_demand = 0;  // demand in the last report
  bool m_inner = false;
  double m_request_rate = 0;  // decaying count of requests, per second
  TimePoint m_last_arrival;
  int m_waiting = 0;
  double m_inner_demand = 0;
  ShareAmount m_inner_in_use;
};

struct ShareAllocatorOptions {
  Duration validity = std::chrono::seconds(4);
  double drift = 0.01;             // allowed clock drift, as a fraction
  double floor_fraction = 0.2;     // fraction of the limit divided equally among the holders regardless of demand
  double reserve_fraction = 0.05;  // fraction of the limit kept for the first grants of new holders
  // A workspace is small if its rate is below small_rate times the number of its holders, counted as at least
  // small_holders. A part of its burst, small_reserve_fraction of the limit, stays in the pool, and a holder gets at
  // most small_burst or what its waiting requests need: at such a rate a request cannot wait for the next token of its
  // share, while tokens of the pool can go to any holder.
  double small_rate = 10;
  double small_holders = 8;
  double small_reserve_fraction = 0.5;
  double small_burst = 4;
  bool has_predecessor = true;   // false for the first allocator of a workspace: no shares are outstanding
  Duration predecessor_grace{};  // how long the predecessor may still grant after this allocator has started
  bool root = true;              // inner allocators are bounded by their own share and need no wait after a start
  Duration silent_holder_timeout =
      std::chrono::seconds(15);  // a holder without a share is dropped after this time without reports
  ShareFaults faults;            // tests only
};

// Divides one workspace's limit among holders. A root takes its limit from the catalogue, an inner allocator from its
// own ShareHolder. Each new object has a new term.
class ShareAllocator {
 public:
  ShareAllocator(ShareAllocatorOptions options, std::string workspace, std::uint64_t term, TimePoint now);

  // The limit at the root. After a decrease the holders' old shares remain counted against the old limit until they
  // have been returned or have expired.
  void SetLimit(TimePoint now, ShareAmount limit);
  // The shares that an inner allocator holds, newest last.
  void SetLimits(TimePoint now, std::vector<TimedShare> limits);
  // End of the time for which the allocator is guaranteed to hold its role, counted from when the renewal was sent. The
  // allocator grants nothing after that.
  void SetRoleValidUntil(TimePoint valid_until) { m_role_until = valid_until; }

  // Handles a holder's report and returns the grant to send back, if any.
  std::optional<proto::ShareGrant> OnReport(TimePoint now, const proto::ShareReport& report);

  // Upper bound of the shares that holders may hold now.
  ShareAmount Outstanding(TimePoint now) const;
  // Total demand of the holders that reported within the validity, for the report of an inner allocator.
  double Demand(TimePoint now) const;
  std::size_t Holders() const { return m_holders.size(); }
  // A report with a higher term was seen; this allocator grants nothing more.
  bool IsSuperseded() const { return m_superseded; }

 private:
  struct OutstandingGrant {
    std::uint64_t sequence = 0;
    TimedShare share;
    double extra_tokens = 0;  // tokens in transit beyond the burst granted to the holder
    bool confirmed = false;   // the holder reported that it accepted this grant
  };
  struct HolderState {
    std::uint64_t sequence = 0;  // newest report
    double demand = 0;
    double starved = 0;  // tokens missing for waiting requests
    TimePoint seen;
    std::vector<OutstandingGrant> grants;  // grants that may still be in use
  };

  Duration WithDrift(Duration duration) const;
  // The limit that is divided among the holders now.
  ShareAmount Limit(TimePoint now) const;
  // Upper bound of the shares that may be outstanding at this time.
  ShareAmount CapAt(TimePoint at) const;
  static ShareAmount HeldAt(const HolderState& holder, TimePoint at, bool newest_only);
  bool IsLive(const HolderState& holder, TimePoint now) const { return now - holder.seen <= m_options.validity; }
  void Expire(TimePoint now);
  // Share that a holder should get: its floor, a max-min fair part by demand, and an equal part of the remainder.
  ShareAmount DesiredShare(const IncarnationId& id, TimePoint now) const;
  // Largest share that can be granted to a holder now without exceeding the limit at any later time.
  ShareAmount AvailableTo(const IncarnationId& id, TimePoint now) const;
  void UpdatePool(TimePoint now);
  // Drops the grants that this report shows to be unused, and adds the tokens that it returns to the pool.
  void Confirm(TimePoint now, const proto::ShareReport& report, HolderState& holder);

  ShareAllocatorOptions m_options;
  std::string m_workspace;
  std::uint64_t m_term = 0;
  TimePoint m_recovery_until;        // until then, shares granted by the predecessor may be in use
  ShareAmount m_recovered;           // predecessor's shares that holders reported until then; only these are divided
  std::vector<TimedShare> m_limits;  // newest last
  TimePoint m_role_until = TimePoint::max();
  std::map<IncarnationId, HolderState> m_holders;
  TokenBucket m_pool;  // tokens of the part of the limit that no holder has
  bool m_superseded = false;
};

// Inner allocator: holds a share granted by its parent and divides it among its own holders.
class InnerAllocator {
 public:
  InnerAllocator(ShareHolderOptions holder_options,
                 ShareAllocatorOptions allocator_options,
                 std::string workspace,
                 IncarnationId self,
                 std::uint64_t term,
                 TimePoint now);

  std::optional<proto::ShareGrant> OnReport(TimePoint now, const proto::ShareReport& report);
  std::optional<proto::ShareReport> Report(TimePoint now);
  bool OnGrant(TimePoint now, const proto::ShareGrant& grant);
  ShareHolder& Holder() { return m_holder; }
  ShareAllocator& Allocator() { return m_allocator; }

 private:
  void Sync(TimePoint now);

  ShareHolder m_holder;
  ShareAllocator m_allocator;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_ADMISSION_H_
