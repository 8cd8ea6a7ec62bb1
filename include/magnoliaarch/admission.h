// Rate and burst of a workspace over all ingress nodes: token bucket, share holder and share allocator.

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
  // Takes up to this many tokens and says how many.
  double TakeUpTo(TimePoint now, double tokens);
  double Tokens(TimePoint now);
  // Time until a request of this cost could be admitted; nothing when never.
  std::optional<Duration> WaitFor(TimePoint now, double cost = 1);
  const ShareAmount& Amount() const { return m_amount; }

 private:
  void Refill(TimePoint now);

  ShareAmount m_amount;
  double m_tokens = 0;
  TimePoint m_refilled_at;
};

enum class Admission { kAdmitted, kRefused, kWait };

// Rules that a test can switch off, to prove that its observer notices.
struct ShareFaults {
  bool count_from_receipt = false;         // holder: validity starts when the grant arrives
  bool accept_old_grants = false;          // holder: takes reordered and repeated grants
  bool accept_lower_terms = false;         // holder
  bool keep_expired_share = false;         // holder
  bool fill_new_bucket = false;            // holder: a larger burst comes filled
  bool reassign_unreturned_share = false;  // allocator: an unreturned share is given away at once
  bool skip_restart_wait = false;          // allocator: a new one assumes that nothing is outstanding
  bool grant_after_role_lost = false;      // allocator: continues after its role lapsed
  bool credit_twice = false;               // both: tokens once returned are reported and credited again
};

// A share and the end of its validity.
struct TimedShare {
  ShareAmount amount;
  TimePoint until;
};

struct ShareHolderOptions {
  Duration report_interval = std::chrono::milliseconds(750);
  Duration min_report_interval = std::chrono::milliseconds(100);  // between reports sent because of a change
  // Between reports of a holder that cannot serve the requests that wait; it doubles while they bring no token. Several
  // fit into max_wait.
  Duration starved_interval = std::chrono::milliseconds(15);
  Duration answer_timeout = std::chrono::milliseconds(200);        // a report not answered by then is repeated
  Duration max_wait = std::chrono::milliseconds(100);              // a request waits this long for a share or a token
  Duration idle_after = std::chrono::seconds(10);                  // without requests the share is allowed to lapse
  Duration demand_time_constant = std::chrono::milliseconds(200);  // time constant of the measured demand
  double demand_headroom = 1.25;                                   // demand reported over the measured rate
  int min_waiting_capacity = 32;                                   // requests that may wait even with a small share
  ShareFaults faults;                                              // tests only
};

// Holds a share of one workspace's limit, on an ingress node or for an inner allocator.
class ShareHolder {
 public:
  ShareHolder(ShareHolderOptions options, std::string workspace, IncarnationId self);

  // Decides on one request now. kWait: ask again when a grant arrives or a few milliseconds later, until the answer is
  // another one. `waited` is how long this request has waited so far.
  Admission Admit(TimePoint now, Duration waited = Duration::zero());
  // A request that was told kWait is gone.
  void OnWaiterGone();

  // Demand of an inner allocator's holders, in place of the measured one, and what they may still use.
  void SetInner(double demand, ShareAmount in_use);

  // The view shows an allocator with this term; grants with lower terms are ignored from now on.
  void OnTerm(std::uint64_t term);
  // A report to send to the allocator, when one is due.
  std::optional<proto::ShareReport> Report(TimePoint now);
  // An allocator answered. Late, repeated and reordered grants and lower terms are ignored; returns whether it took
  // effect.
  bool OnGrant(TimePoint now, const proto::ShareGrant& grant);
  // When the next report is due as things are. Requests and grants may make it due earlier, so that a busy holder calls
  // Report every min_report_interval.
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

  // Ends expired shares and forgets older ones that are no longer in use.
  void Refresh(TimePoint now);
  void CountArrival(TimePoint now);
  double Demand(TimePoint now) const;
  // Tokens missing for the requests that wait, beyond those that accrue while they may wait.
  double MissingTokens(TimePoint now);
  // Whether demand differs from the last report by more than noise.
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
  bool m_report_answered = true;  // the last report
  Duration m_retry_interval;
  Duration m_starved_interval;
  bool m_starved = false;        // a request waits that the share alone cannot serve in time
  double m_returned_tokens = 0;  // tokens destroyed by the acceptance of the newest grant
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
  double drift = 0.01;             // clock drift allowed for
  double floor_fraction = 0.2;     // part of the limit divided equally among the holders whatever their demand
  double reserve_fraction = 0.05;  // part of the limit kept for the first grants of new holders
  // Of a workspace whose rate is less than small_rate for each of small_holders holders, or for each actual one, part
  // of the burst stays in the pool and a holder gets at most small_burst, or what its waiting requests need: at such a
  // rate a request cannot wait for the share's next token, and any holder gets the pool's.
  double small_rate = 10;
  double small_holders = 8;
  double small_reserve_fraction = 0.5;
  double small_burst = 4;
  bool has_predecessor = true;   // false for the first allocator that the workspace ever had: nothing is outstanding
  Duration predecessor_grace{};  // after the start of this allocator, its predecessor may go on for this long
  bool root = true;              // inner allocators are bounded by their own share and need no wait after a start
  Duration silent_holder_timeout = std::chrono::seconds(15);  // a silent holder without a share is dropped
  ShareFaults faults;                                         // tests only
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
  // Until when the allocator certainly holds its role, counted from when the renewal was sent. It grants nothing after
  // that.
  void SetRoleValidUntil(TimePoint valid_until) { m_role_until = valid_until; }

  // A holder reported; the grant to send back, if any.
  std::optional<proto::ShareGrant> OnReport(TimePoint now, const proto::ShareReport& report);

  // What holders may hold now, counted at its most.
  ShareAmount Outstanding(TimePoint now) const;
  // Demand of the holders that reported lately, for the report of an inner allocator.
  double Demand(TimePoint now) const;
  std::size_t Holders() const { return m_holders.size(); }
  // A report with a higher term was seen; this allocator grants nothing more.
  bool IsSuperseded() const { return m_superseded; }

 private:
  struct OutstandingGrant {
    std::uint64_t sequence = 0;
    TimedShare share;
    double extra_tokens = 0;  // tokens on their way for which the bursts given to the holder have no room
    bool confirmed = false;   // the holder reported that it took this grant
  };
  struct HolderState {
    std::uint64_t sequence = 0;  // newest report
    double demand = 0;
    double starved = 0;  // tokens missing for waiting requests
    TimePoint seen;
    std::vector<OutstandingGrant> grants;  // grants that may still be held
  };

  Duration WithDrift(Duration duration) const;
  // What is divided now.
  ShareAmount Limit(TimePoint now) const;
  // The most that may be outstanding at a time.
  ShareAmount CapAt(TimePoint at) const;
  static ShareAmount HeldAt(const HolderState& holder, TimePoint at, bool newest_only);
  bool IsLive(const HolderState& holder, TimePoint now) const { return now - holder.seen <= m_options.validity; }
  void Expire(TimePoint now);
  // Share wanted for a holder: floor, max-min by demand, and an equal part of what is left.
  ShareAmount DesiredShare(const IncarnationId& id, TimePoint now) const;
  // The most that can be granted to a holder now without exceeding the limit at any later time.
  ShareAmount AvailableTo(const IncarnationId& id, TimePoint now) const;
  void UpdatePool(TimePoint now);
  // Forgets the grants that this report shows to be out of use, and takes back the tokens that it returns.
  void Confirm(TimePoint now, const proto::ShareReport& report, HolderState& holder);

  ShareAllocatorOptions m_options;
  std::string m_workspace;
  std::uint64_t m_term = 0;
  TimePoint m_recovery_until;        // until then shares of the predecessor may be out
  ShareAmount m_recovered;           // shares that holders reported until then; only these are divided
  std::vector<TimedShare> m_limits;  // newest last
  TimePoint m_role_until = TimePoint::max();
  std::map<IncarnationId, HolderState> m_holders;
  TokenBucket m_pool;  // tokens of the part that nobody holds
  bool m_superseded = false;
};

// An allocator below another one: keeps its two sides consistent.
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
