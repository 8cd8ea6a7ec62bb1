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

// Time that a renewal keeps a lease valid.
inline constexpr Duration kLeaseTime = std::chrono::milliseconds(900);
inline constexpr Duration kRenewInterval = std::chrono::milliseconds(300);
// A witness silent for this long is replaced; two missed answers in a row stay below it.
inline constexpr Duration kWitnessSilenceTimeout = std::chrono::milliseconds(700);
// A witness reports an owner that has not renewed for this long. Below the lease time, so that fencing and stopping
// overlap with the rest of the lapse; above two renewals lost in a row, so that single losses cause no report.
inline constexpr Duration kLapseReportAge = std::chrono::milliseconds(750);
inline constexpr Duration kLapseReportInterval = std::chrono::milliseconds(150);
// Reports repeat at this slower rate once the owner has been silent for five seconds.
inline constexpr Duration kLapseReportSlowInterval = std::chrono::seconds(1);
// Clocks of two hosts differ by at most this much in rate.
inline constexpr double kDriftMargin = 0.01;
// Time after sending a renewal during which the owner may use it (R1), and the age at which a witness's renewal has
// expired for an assigner (R4). Either clock may drift, so each side takes the margin.
inline constexpr Duration kGuaranteedTime = std::chrono::duration_cast<Duration>(kLeaseTime * (1.0 - kDriftMargin));
inline constexpr Duration kExpiryAge = std::chrono::duration_cast<Duration>(kLeaseTime * (1.0 + kDriftMargin));
inline constexpr int kWitnessCount = 3;
// Restarts of one node whose earlier incarnations still own slices. A further restart waits for their takeover.
inline constexpr int kMaxPredecessors = 8;

// Safety rules of section 5. Tests switch single rules off to show that the observer catches the fault.
struct LeaseRules {
  bool count_from_send = true;             // R1: a renewal counts from when its request was sent, less the drift margin
  bool require_recorded_witnesses = true;  // R2: only witnesses confirmed in the member record count
  bool fence_owner_first = true;           // R3: takeover fences the owner before anything else
  bool stop_witnesses = true;              // R3: takeover stops two of three witnesses
  bool wait_for_renewal_expiry = true;     // R4: the grant waits until the stopped renewals have expired
  bool release_before_grant = true;        // planned move: the destination is granted only after `released`
  bool recheck_lease_after_queueing = true;  // the gate checks the lease again after a wait
};

// Renewals needed for a lease with this number of witnesses: a majority.
constexpr int LeaseQuorum(int witnesses) {
  return witnesses / 2 + 1;
}

// Stopped witnesses after which the rest cannot renew the lease any more.
constexpr int StopQuorum(int witnesses) {
  return witnesses - LeaseQuorum(witnesses) + 1;
}

// ---- Actions ----

// Sends a message to a node's lease port. Loss, delay and duplication are tolerated.
struct SendDatagram {
  std::string node;
  proto::PeerMessage message;
};

// Reads a member record; answered by MemberReadDone.
struct ReadMember {
  std::string node;
};

// Writes a member record if its modification revision still is the expected one (0: absent); answered by WriteDone.
struct WriteMember {
  proto::MemberRecord record;
  std::int64_t expected_revision = 0;
  std::string write_id;
};

// The lease became valid, or valid again. The epoch of a grant never changes by this.
struct LeaseHeld {};

enum class LeaseLoss {
  kLapsed,  // resumes by itself when enough witnesses renew again
  kFenced,  // final: the node has to register with a new incarnation
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

// How a compare-and-swap ended.
enum class WriteOutcome {
  kSucceeded,
  kConditionFailed,  // a condition did not hold, nothing was written
  kNoEffect,         // the call failed and certainly had no effect
  kUnknown,          // the call failed and may have taken effect, also later
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

// The node's own state for its member record: active, draining, or gone after a planned stop.
struct MemberStateRequested {
  proto::MemberState state = proto::MEMBER_STATE_ACTIVE;
};

// ---- Witness selection ----

// Candidates for an owner's witnesses, best first, by rendezvous hash over the members of the view. The first three are
// in failure domains different from the owner's and from each other, two of them in the owner's region where it has the
// hosts, so that a region cut off from the others keeps its leases. With fewer than three other failure domains
// different hosts follow, then other nodes on the same host. Nodes in `avoid` are left out.
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
  std::uint64_t write_readbacks = 0;    // lost answers that were resolved by reading
};

// The lease of one node incarnation, and the only writer of its member record besides a fencing assigner. Registers the
// member, renews with the recorded witnesses and replaces witnesses that are silent, restarted or about to stop.
//
// The lease always needs a majority of the recorded set. Sets of fewer than three come from small deployments, or from
// faults that leave no other candidate: two witnesses are recorded at least where the view shows three other nodes, one
// where it shows two, and none where it shows at most one. A lease without witnesses extends itself, and nobody can
// take its slices over until a new incarnation of the same node has registered or an operator declared the host lost.
//
// While a write of a new witness set is not confirmed, the lease is valid only if it is valid by the old and by the new
// set, so a takeover may meet either of them in the record. A set is written only when its guarantee is not shorter.
//
// A caller that shares the guarantee with other threads publishes it before it performs the returned actions.
class LeaseOwner {
 public:
  // The record carries the node's addresses, region, failure domain, entry and a new incarnation; witnesses and write
  // id are ignored.
  explicit LeaseOwner(proto::MemberRecord self, LeaseRules rules = {});

  LeaseActions Handle(const ViewChanged& event, TimePoint now);
  // Answers to renewals; other messages are ignored.
  LeaseActions Handle(const DatagramReceived& event, TimePoint now);
  LeaseActions Handle(const MemberReadDone& event, TimePoint now);
  LeaseActions Handle(const WriteDone& event, TimePoint now);
  LeaseActions Handle(const MemberStateRequested& event, TimePoint now);
  // Call every few milliseconds, at most 50 apart; sends what is due. The first view passed in must be complete.
  LeaseActions Tick(TimePoint now);

  // The time on the owner's clock before which no other node can be granted its slices. Until the lease is fenced it
  // does not move back, so work that must end by it may be sent.
  TimePoint GuaranteedUntil() const { return m_guaranteed_until; }
  bool IsHeld(TimePoint now) const { return now < GuaranteedUntil(); }
  // Time left of the guarantee, zero when the lease is not held.
  Duration TimeLeft(TimePoint now) const;
  // Whether this incarnation can never hold the lease again.
  bool IsFenced() const { return m_fenced; }
  // Whether the member record is confirmed in the store.
  bool IsRegistered() const { return m_revision != 0; }
  // The record as confirmed last, and its revision.
  const proto::MemberRecord& Record() const { return m_record; }
  std::int64_t RecordRevision() const { return m_revision; }
  const LeaseCounters& Counters() const { return m_counters; }
  IncarnationId Self() const { return IncarnationId{m_record.node(), m_record.incarnation()}; }

 private:
  struct Peer {
    std::uint64_t incarnation = 0;              // as told by the node last; 0: not known yet
    std::optional<TimePoint> grant_valid_from;  // send time of the latest renewal granted by this incarnation
    std::optional<TimePoint> last_reply_at;
    TimePoint asked_since;
    TimePoint next_send;
    std::map<std::uint64_t, TimePoint> outstanding_requests;  // open sequences
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
  bool m_write_unknown = false;  // an attempt of the pending write got no clear answer
  Phase m_phase = Phase::kReading;
  bool m_call_pending = false;
  TimePoint m_retry_at;
  TimePoint m_next_spread_improvement;
  std::optional<TimePoint> m_started;
  TimePoint m_last_tick;
  TimePoint m_guaranteed_until = TimePoint::min();
  TimePoint m_no_witness_until = TimePoint::min();  // guarantee while no witness is recorded
  bool m_no_witness_extension_stopped = false;      // a set of witnesses is about to replace it
  bool m_fenced = false;
  bool m_reported_held = false;
  bool m_must_reread_record = false;  // a witness said `stopped`: read the own record
  proto::MemberState m_requested_state;
  std::shared_ptr<const View> m_view;
  std::map<std::string, Peer> m_peers;
  std::map<std::string, TimePoint> m_excluded_until;  // candidates that did not answer, with the end of their exclusion
  std::optional<WitnessChoice> m_witness_choice;      // for the current view; made when candidates are wanted
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

// Attests to time for other nodes' leases. Keeps nothing across a restart: a restarted witness has a new incarnation,
// which no owner counts before it recorded it, and reports ages no greater than its own running time.
class Witness {
 public:
  Witness(IncarnationId self, TimePoint started, LeaseRules rules = {});

  LeaseActions Handle(const ViewChanged& event, TimePoint now);
  // Renewals, stop requests and lapse queries; other messages are ignored.
  LeaseActions Handle(const DatagramReceived& event, TimePoint now);
  // Call at least every 50 ms; reports owners that stopped renewing to the assigners of their slices.
  LeaseActions Tick(TimePoint now);

  const WitnessCounters& Counters() const { return m_counters; }
  // Owners with a renewal not older than the lease time.
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

// Whether a member record of the view lists the incarnation as a witness. A planned stop waits until it does not, at
// most for the given time, because a takeover needs the answers of recorded witnesses.
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
