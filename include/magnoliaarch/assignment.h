// Assignment of slices to owners: the assigner of a slice pack, and the owner's check before each send. A slot is a
// slice, or a hot key that is isolated from its slice and granted separately.

#ifndef MAGNOLIAARCH_ASSIGNMENT_H_
#define MAGNOLIAARCH_ASSIGNMENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "magnolia.pb.h"
#include "magnoliaarch/lease.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"

namespace magnoliaarch {

// ---- Assigner ----

// Reads the assigner's slice pack; completes with PackReadDone.
struct ReadPack {
  std::string key;
};

// Compare-and-swap write of the slice pack, in one transaction that succeeds only if the pack's modification revision
// still equals `expected_revision` (0: absent) and every listed member record still has the listed revision. Completes
// with WriteDone. The member conditions prevent a grant to an incarnation that has been fenced or replaced.
struct WritePack {
  std::string key;
  proto::SlicePack pack;
  std::int64_t expected_revision = 0;
  std::vector<std::pair<std::string, std::int64_t>> member_revisions;
  std::string write_id;
};

// One change for the audit log, emitted after the store confirmed it.
struct AssignmentChange {
  std::string action;  // "member.fence", "slice.grant", "slice.release", "slice.isolate", "slice.merge"
  std::string subject;
  std::uint64_t old_epoch = 0;
  std::uint64_t new_epoch = 0;
};

using AssignerAction = std::variant<SendDatagram, ReadMember, WriteMember, ReadPack, WritePack, AssignmentChange>;
using AssignerActions = std::vector<AssignerAction>;

struct PackReadDone {
  bool ok = false;                                  // false: the read failed
  std::optional<Versioned<proto::SlicePack>> pack;  // empty: no such record
};

// An operator's declaration that a node's host is permanently lost. The node's slices are granted to other members
// without replies from its witnesses, so a wrong declaration can produce two owners.
struct HostLostDeclared {
  std::string node;
};

struct AssignerSettings {
  std::string entry;
  std::uint32_t first_slice = 0;
  std::uint32_t slices = 0;          // number of slices of the whole entry
  IncarnationId self;                // incarnation that holds the assigner role
  std::uint64_t term = 0;            // term of the assigner role, part of write ids
  int balance_moves_per_minute = 8;  // moves that only even out the slot counts
  int max_moves_in_progress = 64;    // slots of the pack that may be in state `releasing` at the same time
  int max_hot_keys = 32;
  double isolation_threshold_rps = 500;  // a key at or above this rate is isolated in a slot of its own
  double merge_threshold_rps = 125;      // an isolated key below this rate for `merge_delay` returns to its slice
  Duration merge_delay = std::chrono::seconds(30);
  LeaseRules rules;
};

struct AssignerCounters {
  std::uint64_t lapse_reports = 0;
  std::uint64_t false_suspicions = 0;  // suspicions that the witnesses did not confirm
  std::uint64_t fences = 0;
  std::uint64_t takeovers = 0;   // slots granted after their owner was lost
  std::uint64_t placements = 0;  // unassigned slots granted
  std::uint64_t moves = 0;       // planned moves completed
  std::uint64_t write_conflicts = 0;
  std::uint64_t write_readbacks = 0;
};

// Progress of the takeover of one owner's slots, shown on the status page.
struct TakeoverStatus {
  IncarnationId owner;
  std::string phase;  // "checking", "fencing", "stopping", "expired"
  int witnesses = 0;
  int replies = 0;
  int needed = 0;
};

// Assigns the slices of one pack of an entry. Exists while the node holds the assigner role; each new holder creates
// its own object. Safety does not depend on the role: every grant is a compare-and-swap on the pack, so two holders
// cannot both succeed from the same state.
class Assigner {
 public:
  explicit Assigner(AssignerSettings settings);

  AssignerActions Handle(const ViewChanged& event, TimePoint now);
  // Handles lapse reports, stop replies, release replies and hot key reports; other messages are ignored.
  AssignerActions Handle(const DatagramReceived& event, TimePoint now);
  AssignerActions Handle(const MemberReadDone& event, TimePoint now);
  AssignerActions Handle(const PackReadDone& event, TimePoint now);
  AssignerActions Handle(const WriteDone& event, TimePoint now);
  AssignerActions Handle(const HostLostDeclared& event, TimePoint now);
  // Call at least every 20 ms.
  AssignerActions Tick(TimePoint now);

  std::vector<TakeoverStatus> Takeovers() const;
  const AssignerCounters& Counters() const { return m_counters; }
  const proto::SlicePack& Pack() const { return m_pack; }
  std::int64_t PackRevision() const { return m_pack_revision; }

 private:
  enum class Phase { kChecking, kReading, kFencing, kStopping, kExpired };
  struct WitnessReply {
    Duration age{};
    TimePoint received;
  };
  // Progress of taking over the slots of one lost owner incarnation.
  struct Takeover {
    Phase phase = Phase::kChecking;
    bool routine_check = false;  // periodic check of an owner that is not suspected
    bool confirmed = false;      // the view (owner fenced, replaced or gone) or an operator confirmed the loss
    bool host_lost = false;      // declared by an operator
    bool replaced = false;       // a newer incarnation of the node has registered
    std::vector<proto::Incarnation> witnesses;
    std::map<std::string, WitnessReply> replies;  // by witness node
    TimePoint started;
    TimePoint next_send;
    TimePoint retry_at;
    std::optional<TimePoint> fenced_at;
    bool call_pending = false;
    proto::MemberRecord fence_record;
    std::string write_id;
  };
  struct KeyRate {
    double requests_per_second = 0;
    TimePoint reported_at;
    TimePoint last_hot_at;  // last report at or above `merge_threshold_rps`
  };
  using SlotId = std::pair<std::uint32_t, std::uint64_t>;         // slice index, and the hash of an isolated key or 0
  using SlotCounts = std::map<std::string, std::pair<int, int>>;  // node -> number of slices and of isolated keys

  void UpdatePool();
  std::set<IncarnationId> Owners() const;
  bool IsServing(const std::string& node, std::uint64_t incarnation) const;
  bool IsReplacedOrGone(const IncarnationId& owner) const;
  bool IsExpired(const proto::SliceRecord& slice) const;
  bool IsSuspected(const proto::SliceRecord& slice) const;
  bool IsReleased(const SlotId& id, const proto::SliceRecord& slice) const;
  void Suspect(const IncarnationId& owner, bool confirmed, TimePoint now);
  void AdvanceTakeover(const IncarnationId& owner, Takeover* takeover, TimePoint now, AssignerActions* out);
  void QueryWitnesses(const IncarnationId& owner, Takeover* takeover, TimePoint now, AssignerActions* out);
  // Returns false when the record shows that the suspicion was unfounded.
  bool HandleOwnerRecord(const IncarnationId& owner,
                         Takeover* takeover,
                         const MemberReadDone& event,
                         TimePoint now,
                         AssignerActions* out);
  int CountRepliesOlderThan(const Takeover& takeover, Duration age, TimePoint now) const;
  bool HasExpired(const Takeover& takeover, TimePoint now) const;
  void CheckOwners(TimePoint now);
  void AdvanceTakeovers(TimePoint now, AssignerActions* out);
  void PlanPack(TimePoint now, AssignerActions* out);
  void CreatePack(proto::SlicePack* pack) const;
  void PlanGrants(proto::SlicePack* next, std::set<std::string>* granted) const;
  void PlanSlot(const SlotId& id,
                proto::SliceRecord* slice,
                SlotCounts* slot_counts,
                std::set<std::string>* granted) const;
  void PlanHotKeys(proto::SlicePack* next, TimePoint now) const;
  void PlanDrains(proto::SlicePack* next) const;
  void PlanBalance(proto::SlicePack* next, TimePoint now);
  bool IsCold(std::uint64_t key_hash, TimePoint now) const;
  SlotCounts CountSlots(const proto::SlicePack& pack) const;
  std::string PickMember(const SlotCounts& slot_counts, bool hot, const std::string& exclude) const;
  void ApplyConfirmedPack(const proto::SlicePack& pack, std::int64_t revision, AssignerActions* out);
  void ReportChanges(const proto::SlicePack& pack, AssignerActions* out);
  void SendReleaseRequests(TimePoint now, AssignerActions* out);
  std::string NextWriteId();

  AssignerSettings m_settings;
  std::string m_key;
  std::shared_ptr<const View> m_view;
  std::shared_ptr<const View> m_pool_view;                   // view from which the pool was computed
  std::int64_t m_pool_revision = 0;                          // highest revision of a member or failure domain in it
  std::map<std::string, const proto::MemberRecord*> m_pool;  // members that serve this pack
  proto::SlicePack m_pack;                                   // last state confirmed by the store
  std::int64_t m_pack_revision = 0;
  bool m_pack_known = false;
  bool m_pack_call_pending = false;
  TimePoint m_pack_retry_at;
  proto::SlicePack m_pending_pack;
  bool m_write_conflict = false;  // a condition of the last write did not hold
  bool m_plan_due = true;
  TimePoint m_next_plan;
  std::map<IncarnationId, Takeover> m_takeovers;
  std::map<SlotId, std::uint64_t> m_released_epochs;  // epoch that the owner reported released
  std::map<SlotId, TimePoint> m_release_sent_at;
  std::map<std::uint64_t, KeyRate> m_key_rates;
  std::deque<TimePoint> m_balance_moves;  // times of the balance moves of the last minute
  std::optional<TimePoint> m_started;
  TimePoint m_next_routine_check;
  std::size_t m_routine_check_index = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_write_number = 0;
  AssignerCounters m_counters;
};

// ---- Owner's side ----

enum class SendDecision {
  kAllowed,
  // Refused with `wrong-owner`: the incarnation does not own the key according to its view, or has released the key.
  kNotOwner,
  // Refused with `wrong-owner`: the slot is being moved. The destination may serve the key after the next grant.
  kReleasing,
  // Refused with `lease-lapsed`: the lease is not valid.
  kLeaseLapsed,
  // Refused with `lease-lapsed`: the deadline is later than the guaranteed end of the lease.
  kDeadlineOutsideLease,
};

// Permission to send one request to the local target; returned with EndSend.
struct SendPermit {
  SendDecision decision = SendDecision::kNotOwner;
  std::uint32_t slice = 0;
  std::uint64_t key_hash = 0;
  bool hot = false;         // sent under the grant of an isolated key
  std::uint64_t epoch = 0;  // for X-Fence-Epoch
};

// Decides which slots one incarnation of a node may serve: those that its view grants to it and that it has not
// released since, while its lease is valid. Not thread-safe; callers serialize access.
class SliceOwner {
 public:
  SliceOwner(IncarnationId self, std::string entry);

  void Handle(const ViewChanged& event);

  // Handles a release request from an assigner. After this call no request is sent for the slot under the epoch of the
  // release request or an older one. The reply has `released` set once no request sent under these epochs is in flight;
  // until then the assigner repeats the release request. Returns nothing when the release request names another
  // incarnation or entry.
  std::optional<proto::ReleaseReply> Handle(const proto::ReleaseRequest& request);

  // Decides whether a request for the key may be sent now, and counts the request as in flight if the decision is
  // kAllowed. Call immediately before the bytes are sent. `guaranteed_until` is the value of
  // LeaseOwner::GuaranteedUntil. `ends_by` is the time by which the request has certainly ended; a request is refused
  // if this time is after `guaranteed_until`. Omit `ends_by` if the targets honour deadlines or check fences.
  SendPermit TryBeginSend(std::uint64_t key_hash,
                          TimePoint guaranteed_until,
                          TimePoint now,
                          std::optional<TimePoint> ends_by = std::nullopt);
  // Call when the request has ended or its deadline has passed.
  void EndSend(const SendPermit& permit);

  // Makes the same decision as TryBeginSend, without counting the request.
  SendPermit Check(std::uint64_t key_hash,
                   TimePoint guaranteed_until,
                   TimePoint now,
                   std::optional<TimePoint> ends_by = std::nullopt) const;

  // Number of slots that the view grants to this incarnation and that it has not released.
  std::size_t OwnedSlots() const;
  std::size_t InFlight() const { return m_in_flight; }
  // Whether a planned stop may end the process: no slot is granted to this incarnation, no request is in flight, and
  // the view is complete up to the revision at which the member record became `draining`. No grant to this incarnation
  // succeeds after that revision.
  bool IsDrained(std::int64_t draining_revision) const;

 private:
  struct Grant {
    std::uint64_t epoch = 0;
    bool releasing = false;
    bool is_own = false;
  };

  IncarnationId m_self;
  std::string m_entry;
  std::uint32_t m_slices = 0;
  std::int64_t m_view_revision = 0;
  std::map<std::string, std::int64_t> m_pack_revisions;
  std::unordered_map<std::uint32_t, Grant> m_slice_grants;             // slices of this incarnation
  std::unordered_map<std::uint64_t, Grant> m_hot_grants;               // isolated keys of all owners
  std::unordered_map<std::uint32_t, std::uint64_t> m_released_slices;  // highest released epoch
  std::unordered_map<std::uint64_t, std::uint64_t> m_released_keys;
  std::map<std::pair<std::uint32_t, std::uint64_t>, std::size_t>
      m_slice_in_flight;                                                           // by slice, epoch; no isolated keys
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t> m_key_in_flight;  // by key and epoch; under any grant
  std::size_t m_in_flight = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_ASSIGNMENT_H_
