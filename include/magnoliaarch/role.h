// Acquires and holds a role (assigner, allocator) through a store lease.

#ifndef MAGNOLIAARCH_ROLE_H_
#define MAGNOLIAARCH_ROLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "magnoliaarch/store.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"

namespace magnoliaarch {

// Keys `/magnolia/term/KIND/NAME` hold the RoleRecord of the last holder. They are not bound to a lease, so that terms
// keep growing after the role record has expired. The compare on them also prevents two candidates from using the same
// term.
inline constexpr std::string_view kRoleTermPrefix = "/magnolia/term/";

struct RoleOptions {
  std::int64_t lease_ttl_seconds = 3;
  Duration keep_alive_period = std::chrono::milliseconds(900);
  // The holder stops this long, plus 1% of the lease for clock drift, before the end of the lease, so that its work has
  // ended by then.
  Duration stop_margin = std::chrono::milliseconds(100);
  // Timeout of a store call, after which it counts as lost; a later answer to a keep-alive is still used.
  Duration call_timeout = std::chrono::milliseconds(1400);
  // A keep-alive without an answer is repeated after this time.
  Duration keep_alive_retry = std::chrono::milliseconds(600);
  // Number of members that try first. While the role stays vacant the number doubles every widen_period, so that a role
  // does not stay vacant because its first candidates are dead.
  std::uint32_t candidates = 3;
  // Upper bound of the number of members that try: nodes with an outdated view take a held role for vacant, and each
  // attempt costs store reads.
  std::uint32_t max_candidates = 24;
  Duration widen_period = std::chrono::seconds(2);
  // Delay of each candidate after the one that ranks before it.
  Duration rank_delay = std::chrono::milliseconds(150);
  Duration initial_backoff = std::chrono::milliseconds(200);
  Duration max_backoff = std::chrono::seconds(5);
  std::uint64_t seed = 0;
};

// A store call requested by the state machine. Its result is a RoleCallResult with the same id.
struct RoleCall {
  enum class Kind { kRead, kGrantLease, kTxn, kKeepAlive, kRevoke };
  Kind kind = Kind::kRead;
  std::uint64_t id = 0;
  std::int64_t lease = 0;        // for kKeepAlive and kRevoke
  std::int64_t ttl_seconds = 0;  // for kGrantLease
  StoreTxn txn;                  // for kTxn
  std::string role_key;          // for kRead
  std::string term_key;          // for kRead
};

struct RoleCallResult {
  std::uint64_t id = 0;
  absl::Status status;
  std::int64_t lease = 0;       // granted lease, after kGrantLease
  bool txn_succeeded = false;   // after kTxn
  std::optional<StoreKv> role;  // after kRead
  std::optional<StoreKv> term;  // after kRead
};

// Runs one call on the store. Blocks; to be called on the store thread.
RoleCallResult RunRoleCall(Store* store, const RoleCall& call);

// Actions that the owner of the state machine has to carry out after an event.
struct RoleActions {
  std::vector<RoleCall> calls;
  bool acquired = false;  // the role is held from now on, with Term()
  bool lost = false;      // the role is no longer held
};

// State machine of one node for one role. Deterministic: takes events and the current time, returns actions. The holder
// counts its lease from when it sent the keep-alive, so it stops before the store can give the role to another node.
class RoleHolder {
 public:
  RoleHolder(const IncarnationId& self, std::string kind, std::string name, const RoleOptions& options);

  // The view changed: members, and whether the role is held.
  RoleActions OnView(const View& view, TimePoint now);
  // Call at least every 100 ms.
  RoleActions OnTick(TimePoint now);
  RoleActions OnCallResult(const RoleCallResult& result, TimePoint now);
  // Planned stop: gives the role up and is no longer a candidate.
  RoleActions Resign(TimePoint now);

  // Gives the role up and lets other candidates try first, because this node is not among the first candidates.
  RoleActions HandOver(TimePoint now);

  // Whether the role is held at this time. Must be checked before each action that needs the role.
  bool Holds(TimePoint now) const;
  // Term of the current or last tenure; 0 before the first one.
  std::uint64_t Term() const { return m_term; }
  // End of the guaranteed tenure if the lease is not renewed.
  TimePoint HeldUntil() const { return m_held_until; }

  // The candidate that ranks first for a role when one node is excluded, for example its lost holder. Empty if there is
  // no candidate.
  static std::string FirstCandidate(const View& view,
                                    std::string_view kind,
                                    std::string_view name,
                                    std::string_view excluded);

  // Position of a node among the candidates for a role, capped at `limit`; nullopt when the node is not a candidate.
  static std::optional<std::size_t> Rank(const View& view,
                                         std::string_view kind,
                                         std::string_view name,
                                         const IncarnationId& node,
                                         std::size_t limit = SIZE_MAX);

 private:
  enum class State { kWaiting, kReading, kGranting, kWriting, kConfirming, kHolding };

  // Issues the call and makes it the pending call.
  void Call(RoleCall call, TimePoint now, RoleActions* actions);
  void CallRead(TimePoint now, RoleActions* actions);
  void CallTxn(TimePoint now, RoleActions* actions);
  // Ends an attempt or a tenure, revokes its lease and schedules the next attempt.
  void Release(TimePoint now, RoleActions* actions);
  // Starts the tenure unless the lease has already ended.
  void StartTenure(TimePoint now, RoleActions* actions);
  void OnRead(const RoleCallResult& result, TimePoint now, RoleActions* actions);
  void SendKeepAlive(TimePoint now, RoleActions* actions);
  void OnKeepAlive(const RoleCallResult& result, TimePoint sent, TimePoint now, RoleActions* actions);
  // The pending call timed out.
  void OnCallTimeout(TimePoint now, RoleActions* actions);
  bool MayAttempt(TimePoint now) const;
  Duration NextBackoff();
  TimePoint LeaseEnd(TimePoint sent) const;

  const IncarnationId m_self;
  const std::string m_kind;
  const std::string m_name;
  const std::string m_role_key;
  const std::string m_term_key;
  const RoleOptions m_options;
  std::mt19937_64 m_random;

  State m_state = State::kWaiting;
  bool m_resigned = false;
  std::optional<std::size_t> m_rank;
  std::optional<TimePoint> m_vacant_since;  // as seen in the view
  TimePoint m_not_before;                   // no attempt starts before this time
  int m_failures = 0;

  std::uint64_t m_last_call_id = 0;
  std::uint64_t m_pending_call = 0;  // 0: none
  TimePoint m_pending_sent;
  TimePoint m_next_keep_alive;
  std::map<std::uint64_t, TimePoint> m_keep_alives;  // unanswered, with the time of sending

  // The lease of the attempt or tenure (0: none) and the end of its guaranteed time.
  std::int64_t m_lease = 0;
  TimePoint m_held_until;
  std::uint64_t m_term = 0;
  // Revision of the term key at the last read, and the term stored in it.
  std::int64_t m_term_revision = 0;
  std::uint64_t m_last_term = 0;
  std::string m_write_id;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_ROLE_H_
