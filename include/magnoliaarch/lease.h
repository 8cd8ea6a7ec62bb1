// Ownership leases: the owner's side and the witness's side.

#ifndef MAGNOLIAARCH_LEASE_H_
#define MAGNOLIAARCH_LEASE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "magnolia.pb.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"

namespace magnoliaarch {

// Time for which one renewal keeps a lease valid.
inline constexpr Duration kLeaseTime = std::chrono::milliseconds(900);
inline constexpr Duration kRenewInterval = std::chrono::milliseconds(300);
// A witness that has not replied for this long is replaced. Longer than two renew intervals, so that a single lost
// reply does not cause a replacement.
inline constexpr Duration kWitnessSilenceTimeout = std::chrono::milliseconds(700);
// A witness reports an owner that has not renewed for this long. Shorter than the lease time, so that fencing and
// stopping overlap with the rest of the lease; longer than two renew intervals, so that a single lost renewal causes no
// report.
inline constexpr Duration kLapseReportAge = std::chrono::milliseconds(750);
inline constexpr Duration kLapseReportInterval = std::chrono::milliseconds(150);
// Report interval once the owner has been silent for five seconds.
inline constexpr Duration kLapseReportSlowInterval = std::chrono::seconds(1);
// Maximum relative difference between the clock rates of two hosts.
inline constexpr double kDriftMargin = 0.01;
// kGuaranteedTime is the time after sending a renewal request during which the owner may rely on the renewal (R1).
// kExpiryAge is the age at which an assigner considers the last renewal at a witness expired (R4). Either clock may
// drift, so each side applies the margin.
inline constexpr Duration kGuaranteedTime = std::chrono::duration_cast<Duration>(kLeaseTime * (1.0 - kDriftMargin));
inline constexpr Duration kExpiryAge = std::chrono::duration_cast<Duration>(kLeaseTime * (1.0 + kDriftMargin));
inline constexpr int kWitnessCount = 3;
// Maximum number of earlier incarnations of a node that still own slices. A further restart does not register until
// enough of them have been taken over.
inline constexpr int kMaxPredecessors = 8;

// Safety rules R1 to R4 of the lease protocol, one check of planned moves and one of the gate. Tests disable single
// rules to verify that the ownership observer detects the resulting violation.
struct LeaseRules {
  bool count_from_send = true;  // R1: a renewal counts from the send time of its request, less the drift margin
  bool require_recorded_witnesses = true;    // R2: only witnesses confirmed in the member record count
  bool fence_owner_first = true;             // R3: a takeover fences the owner before anything else
  bool stop_witnesses = true;                // R3: a takeover stops two of three witnesses
  bool wait_for_renewal_expiry = true;       // R4: the grant waits until the renewals at stopped witnesses have expired
  bool release_before_grant = true;          // planned move: the destination is granted only after `released`
  bool recheck_lease_after_queueing = true;  // the gate checks the lease again after a request has waited
};

// Renewals needed to hold a lease with this many witnesses: a majority.
constexpr int LeaseQuorum(int witnesses) {
  return witnesses / 2 + 1;
}

// Number of stopped witnesses after which the others cannot renew the lease.
constexpr int StopQuorum(int witnesses) {
  return witnesses - LeaseQuorum(witnesses) + 1;
}

// ---- Actions ----

// Sends a message to a node's lease port. Loss, delay and duplication are tolerated.
struct SendDatagram {
  std::string node;
  proto::PeerMessage message;
};

// Reads a member record; completes with MemberReadDone.
struct ReadMember {
  std::string node;
};

// Compare-and-swap write of a member record: succeeds only if its modification revision still equals
// `expected_revision` (0: absent). Completes with WriteDone.
struct WriteMember {
  proto::MemberRecord record;
  std::int64_t expected_revision = 0;
  std::string write_id;
};

// The lease became valid, for the first time or again. The epochs of grants do not change.
struct LeaseHeld {};

enum class LeaseLoss {
  kLapsed,  // recovers when enough witnesses grant renewals again
  kFenced,  // permanent: the node has to register with a new incarnation
};
struct LeaseLost {
  LeaseLoss reason = LeaseLoss::kLapsed;
};

using LeaseAction = std::variant<SendDatagram, ReadMember, WriteMember, LeaseHeld, LeaseLost>;
using LeaseActions = std::vector<LeaseAction>;

// ---- Events ----

struct ViewChanged {
  std::shared_ptr<const View> view;
};

struct DatagramReceived {
  proto::PeerMessage message;
};

// Outcome of a compare-and-swap.
enum class WriteOutcome {
  kSucceeded,
  kConditionFailed,  // a condition did not hold, nothing was written
  kNoEffect,         // the call failed and certainly had no effect
  kUnknown,          // the call failed and may have taken effect, or may do so later
};

struct WriteDone {
  std::string write_id;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  std::int64_t revision = 0;  // modification revision of the written record, when it succeeded
};

struct MemberReadDone {
  std::string node;
  bool ok = false;                                       // false: the read failed
  std::optional<Versioned<proto::MemberRecord>> member;  // empty: no such record
};

// Requests a state for this node's member record: active, draining, or gone after a planned stop.
struct MemberStateRequested {
  proto::MemberState state = proto::MEMBER_STATE_ACTIVE;
};

// ---- Witness selection ----

// Candidates for an owner's witnesses, in order of preference, by rendezvous hash over the members of the view. The
// first three are in failure domains different from the owner's and from each other, and two of them are in the owner's
// region where it has enough hosts, so that a region partitioned from the others keeps its leases. With fewer than
// three other failure domains, different hosts follow, then other nodes on the same host. Nodes in `excluded` are left
// out.
struct WitnessChoice {
  std::vector<proto::Incarnation> candidates;
  bool lacks_domain_spread = false;  // the first three are not in three other failure domains
};
WitnessChoice ChooseWitnesses(const View& view,
                              const proto::MemberRecord& owner,
                              const std::set<std::string>& excluded);

// ---- Owner ----

struct LeaseCounters {
  std::uint64_t renewals_sent = 0;
  std::uint64_t renewals_granted = 0;
  std::uint64_t lapses = 0;
  std::uint64_t witness_changes = 0;    // confirmed writes of a new witness set
  std::uint64_t witness_fallbacks = 0;  // confirmed witness sets without three other failure domains
  std::uint64_t write_readbacks = 0;    // writes without a clear outcome that were resolved by reading
};

// Keeps the lease of one node incarnation. LeaseOwner and an assigner that fences the incarnation are the only writers
// of the member record. LeaseOwner registers the member, renews the lease with the recorded witnesses and replaces
// witnesses that do not reply, have restarted or are about to stop.
//
// The lease always needs a majority of the recorded witnesses. Sets of fewer than three occur in small deployments or
// when faults leave no other candidate: at least two witnesses are recorded if the view shows three other nodes, one if
// it shows two, and none if it shows at most one. A lease without witnesses extends itself, and its slices cannot be
// taken over until a new incarnation of the same node has registered or an operator has declared the host lost.
//
// While the write of a new witness set is not confirmed, the lease is valid only if it is valid under both the old and
// the new set, because a takeover may find either of them in the record. A new set is written only if its guarantee
// ends no earlier than that of the old set.
//
// A caller that shares the guarantee with other threads must publish it before it performs the returned actions.
class LeaseOwner {
 public:
  // `self` carries the node's addresses, region, failure domain, entry and new incarnation; its witnesses and write id
  // are ignored.
  explicit LeaseOwner(proto::MemberRecord self, LeaseRules rules = {});

  LeaseActions Handle(const ViewChanged& event, TimePoint now);
  // Handles renew replies; other messages are ignored.
  LeaseActions Handle(const DatagramReceived& event, TimePoint now);
  LeaseActions Handle(const MemberReadDone& event, TimePoint now);
  LeaseActions Handle(const WriteDone& event, TimePoint now);
  LeaseActions Handle(const MemberStateRequested& event, TimePoint now);
  // Sends what is due. Call every few milliseconds, at most 50 ms apart. The first view passed to Handle must be
  // complete.
  LeaseActions Tick(TimePoint now);

  // The time on the owner's clock before which no other node can be granted the owner's slices. This time does not move
  // back unless the owner is fenced, so work that ends before it may be sent.
  TimePoint GuaranteedUntil() const { return m_guaranteed_until; }
  bool IsHeld(TimePoint now) const { return now < GuaranteedUntil(); }
  // Remaining time of the guarantee; zero when the lease is not held.
  Duration TimeLeft(TimePoint now) const;
  // Whether this incarnation can never hold the lease again.
  bool IsFenced() const { return m_fenced; }
  // Whether the member record is confirmed in the store.
  bool IsRegistered() const { return m_revision != 0; }
  // The record last confirmed by the store, and its revision.
  const proto::MemberRecord& Record() const { return m_record; }
  std::int64_t RecordRevision() const { return m_revision; }
  const LeaseCounters& Counters() const { return m_counters; }
  IncarnationId Self() const { return IncarnationId{m_record.node(), m_record.incarnation()}; }

 private:
  struct Peer {
    std::uint64_t incarnation = 0;              // as last reported by the node; 0: not known yet
    std::optional<TimePoint> grant_valid_from;  // send time of the latest renewal granted by this incarnation
    std::optional<TimePoint> last_reply_at;
    TimePoint asked_since;
    TimePoint next_send;
    std::map<std::uint64_t, TimePoint> outstanding_requests;  // sequence number -> send time
  };
  enum class Phase { kReading, kIdle, kWriting, kReadingBack };
  using WitnessSet = std::vector<proto::Incarnation>;

  void EnsureStarted(TimePoint now);
  void SendRenewals(TimePoint now, LeaseActions* out);
  void ReadRecord(TimePoint now, Phase phase, LeaseActions* out);
  void PlanWrite(TimePoint now, LeaseActions* out);
  void SendWrite(LeaseActions* out);
  void ApplyConfirmedRecord(const proto::MemberRecord& record, std::int64_t revision);
  void RebaseOn(const proto::MemberRecord& record, std::int64_t revision);
  TimePoint ComputeGuarantee() const;
  const WitnessChoice& CurrentWitnessChoice();
  void MarkFenced(LeaseActions* out);
  void UpdateLeaseState(TimePoint now, LeaseActions* out);
  bool OwnsSlots(std::uint64_t incarnation) const;
  void PrunePredecessors(proto::MemberRecord* record) const;
  bool IsSilent(const std::string& node, TimePoint now, Duration limit = kWitnessSilenceTimeout) const;
  bool IsLeaving(const std::string& node) const;
  bool HasRepliedRecently(const std::string& node, TimePoint now) const;
  std::size_t OtherNodes() const;
  std::size_t MinWitnesses() const;
  bool CanRegister(const WitnessSet& desired, TimePoint now) const;
  bool NeedsCandidates(TimePoint now);
  WitnessSet DesiredWitnesses(TimePoint now);
  bool IsSpreadOverDomains(const WitnessSet& witnesses) const;
  TimePoint ValidUntil(const WitnessSet& witnesses) const;

  LeaseRules m_rules;
  proto::MemberRecord m_record;  // confirmed, or the record to register
  std::int64_t m_revision = 0;   // of the confirmed record; 0: not registered
  std::int64_t m_registered_revision = 0;
  std::int64_t m_base_revision = 0;  // of the record that the next write replaces
  proto::MemberRecord m_pending_record;
  bool m_write_pending = false;  // the pending write may still take effect
  bool m_write_unknown = false;  // an attempt of the pending write had no clear outcome
  Phase m_phase = Phase::kReading;
  bool m_call_pending = false;
  TimePoint m_retry_at;
  TimePoint m_next_spread_improvement;
  std::optional<TimePoint> m_started;
  TimePoint m_last_tick;
  TimePoint m_guaranteed_until = TimePoint::min();
  TimePoint m_no_witness_until = TimePoint::min();  // guarantee while no witness is recorded
  bool m_no_witness_extension_stopped = false;      // a witness set is about to replace the self-extension
  bool m_fenced = false;
  bool m_reported_held = false;
  bool m_must_reread_record = false;  // a witness replied `stopped`: read this node's record again
  proto::MemberState m_requested_state;
  std::shared_ptr<const View> m_view;
  std::map<std::string, Peer> m_peers;
  std::map<std::string, TimePoint> m_excluded_until;  // candidates that did not reply, with the end of their exclusion
  std::optional<WitnessChoice> m_witness_choice;      // for the current view; computed when needed
  std::uint64_t m_sequence = 0;
  std::uint64_t m_write_number = 0;
  LeaseCounters m_counters;
};

// ---- Witness ----

struct WitnessCounters {
  std::uint64_t grants = 0;
  std::uint64_t refusals = 0;
  std::uint64_t stops = 0;
  std::uint64_t lapse_reports = 0;
};

// Grants lease renewals to other nodes and reports the age of each owner's last renewal. Keeps no state across a
// restart: a restarted witness has a new incarnation, which an owner does not count until its member record lists it,
// and the ages that the witness reports do not exceed its uptime.
class Witness {
 public:
  Witness(IncarnationId self, TimePoint started, LeaseRules rules = {});

  LeaseActions Handle(const ViewChanged& event, TimePoint now);
  // Handles renew requests, stop requests and lapse queries; other messages are ignored.
  LeaseActions Handle(const DatagramReceived& event, TimePoint now);
  // Call at least every 50 ms; reports owners that stopped renewing to the assigners of their slices.
  LeaseActions Tick(TimePoint now);

  const WitnessCounters& Counters() const { return m_counters; }
  // Number of owners whose last renewal is not older than the lease time.
  std::size_t ActiveOwners(TimePoint now) const;

 private:
  struct Owner {
    std::optional<TimePoint> last_grant;
    TimePoint next_report;
    bool stopped = false;
  };
  Duration RenewalAge(const IncarnationId& owner, TimePoint now) const;

  IncarnationId m_self;
  TimePoint m_started;
  LeaseRules m_rules;
  std::shared_ptr<const View> m_view;
  std::map<IncarnationId, Owner> m_owners;
  WitnessCounters m_counters;
};

// Whether any member record of the view lists the incarnation as a witness. A planned stop waits until no record lists
// it, at most for kWitnessDrainTimeout, because a takeover needs replies from the recorded witnesses.
inline constexpr Duration kWitnessDrainTimeout = std::chrono::seconds(5);
bool IsWitnessInUse(const View& view, const IncarnationId& witness);

// Role kind and name of the assigner of a slice pack; the name is "ENTRY/NNN".
inline constexpr std::string_view kAssignerRole = "assigner";
std::string AssignerRoleName(std::string_view entry, std::uint32_t first_slice);

// Nodes that assign the packs in which this incarnation owns slices: the holders of the assigner roles or, where the
// incarnation holds the role itself, the first candidate after it.
std::set<std::string> AssignersOf(const View& view, const IncarnationId& owner);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_LEASE_H_
