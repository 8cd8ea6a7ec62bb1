// A node's membership: its lease and record in the store, and its replica of the shared records. Without a coordinator
// the node watches the store itself; without the store it synchronizes from other nodes.

#ifndef MAGNOLIAARCH_SRC_MESH_SESSION_P_H_
#define MAGNOLIAARCH_SRC_MESH_SESSION_P_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "mesh.pb.h"
#include "mesh_log_p.h"
#include "mesh_store_p.h"
#include "mesh_timer_p.h"
#include "mesh_view_p.h"

namespace magnoliaarch {

struct MeshSessionHooks {
  std::function<void()> on_view;
  // The node has a lease and a member record, and has started to read all records.
  std::function<void()> on_registered;
};

class MeshSession {
 public:
  MeshSession(TimerQueue& timers,
              MeshStore& store,
              const MeshWire& wire,
              MeshLog& log,
              proto::MeshMember self,
              Duration min_lease,
              MeshSessionHooks hooks);

  void Start();
  void OnTick(TimePoint now);

  const MeshView& View() const { return m_view; }
  const proto::MeshMember& Self() const { return m_self; }
  bool IsRegistered() const { return m_lease != 0 && m_member_revision != 0; }
  std::int64_t Lease() const { return m_lease; }
  // Time until which the store certainly keeps this node's lease. Zero while the node is not registered or its replica
  // is older than its member record.
  TimePoint AuthorityEnd() const;
  // The same for the lease that this node had when the store's era began. Other nodes wait for its end, so grants of
  // that era may be renewed until then.
  TimePoint EarlierAuthorityEnd() const { return m_earlier_authority_end; }
  // Era of the store, and when this node learned of it.
  std::int64_t Era() const { return m_era; }
  TimePoint EraSeenAt() const { return m_era_seen_at; }
  // Whether this node has seen an earlier era, and the nodes that it knew then.
  bool HasSeenEarlierEra() const { return m_has_seen_earlier_era; }
  const std::set<std::string>& EarlierMembers() const { return m_earlier_members; }
  // Highest fence of the service's key table that this node knew when the era began; 0 if it knew none.
  std::uint64_t EarlierFence(const std::string& service) const;
  // When every lease of earlier eras has ended.
  TimePoint EraSettledAt() const { return m_era_seen_at + m_ttl; }

  // When the last successful renewal of the lease was sent, directly or through another node.
  TimePoint LeaseRenewedAt() const { return m_lease_renewed_at; }

  // Age of the replica: time since it was last known to be complete.
  Duration ReplicaAge(TimePoint now) const { return now - m_synced_at; }
  // Time since the replica was last known to be complete, or the coordinator last answered that it keeps it so.
  Duration ConfirmedAge(TimePoint now) const { return std::min(ReplicaAge(now), now - m_coordinator_synced_at); }
  // ReplicaAge in milliseconds as sent in messages, clamped to the range of int32. Start initializes the age to one
  // hour, so the result is at least that until the replica is complete for the first time.
  std::uint32_t ReplicaAgeMs(TimePoint now) const;
  // OperatorAge as sent in messages, clamped likewise.
  std::uint32_t OperatorAgeMs(TimePoint now) const;
  // The coordinator keeps this replica up to date, so this node does not need to watch the mesh's records.
  // `operator_revision`: latest change of the operator's records that the coordinator knows. `operator_age`: time since
  // its operator's records were last known to be complete.
  void OnSyncedByCoordinator(TimePoint now,
                             Duration coordinator_age,
                             std::int64_t operator_revision,
                             Duration operator_age);
  // Time since the operator's records of this replica were last known to be complete.
  Duration OperatorAge(TimePoint now) const { return now - m_operator_heard_at; }
  // Whether the coordinator has known a change of the operator's records for a while that this replica lacks.
  bool LacksOperatorChange(TimePoint now) const;
  // Applies changes from another node. If `revision` is not 0, the changes make the replica complete up to this
  // revision. Returns false and applies nothing if a patch does not match this replica's base.
  bool Merge(const google::protobuf::RepeatedPtrField<proto::ViewItem>& items, std::int64_t revision, Duration age);
  // Makes this node watch the mesh's records even while a coordinator keeps its replica up to date.
  void SetMustWatch(bool must_watch) { m_must_watch = must_watch; }
  // Whether this node's watch of the operator's records works.
  bool IsOperatorWatchLive(TimePoint now) const;

  // A conditional write. The written values, or the current ones if a condition failed, are merged into the replica.
  void Write(StoreTxn txn, std::function<void(absl::StatusOr<StoreWrite>)> done);

  // Revokes the lease. Must only be called when no key grant of this node is in force.
  void Leave(std::function<void()> done);
  // Stops renewing the lease, for a node that shuts down.
  void StopRenewing() { m_stopped = true; }

 private:
  struct WatchLoop {
    std::string prefix;
    std::int64_t after_revision = 0;  // 0: the prefix must be read first
    bool call_pending = false;
    std::uint64_t watch_id = 0;    // id of the open watch; 0: none
    std::uint64_t generation = 0;  // answers to calls of earlier generations are ignored
    TimePoint not_before;
    TimePoint opened_at;  // of the open watch
    Duration backoff{};
  };

  void OnEra(std::int64_t era);
  // Keeps the lease in a new era if the store still has the member record that is bound to it.
  void CheckMemberRecord();
  // Forgets what only earlier eras had and nobody has written again.
  void DropEarlierEras(TimePoint now);
  void Register();
  void WriteMember();
  Duration NextRegisterDelay();
  void Renew(TimePoint now);
  void DropLease(std::string_view why);
  void ReadAllPrefixes();
  void RunWatch(WatchLoop& loop, TimePoint now);
  void ReadPrefix(WatchLoop& loop);
  // Cancels the pending call, whose connection may have become dead while the store was unreachable.
  void RestartWatch(WatchLoop& loop);
  // Restarts the watch of the operator's records if it is likely dead.
  void CheckOperatorWatch(TimePoint now);
  // Time for which a watch that is opened now may wait for a change.
  Duration WatchWait(const WatchLoop& loop, TimePoint now) const;
  bool IsKeptByCoordinator(TimePoint now) const;
  void OnWatchProgress(TimePoint now);
  void LogUnreadable(const WatchLoop& loop, std::size_t entries);
  void OnWatchFailed(WatchLoop& loop, const absl::Status& status);

  TimerQueue& m_timers;
  MeshStore& m_store;
  MeshLog& m_log;
  proto::MeshMember m_self;
  MeshSessionHooks m_hooks;
  MeshView m_view;
  Duration m_ttl;
  std::int64_t m_lease = 0;
  std::int64_t m_member_revision = 0;
  TimePoint m_lease_renewed_at;  // when the last successful renewal was sent
  TimePoint m_renew_at;
  bool m_registering = false;
  bool m_renewing = false;
  bool m_stopped = false;
  TimePoint m_register_at;
  Duration m_register_delay{};
  WatchLoop m_watch_loops[2];
  bool m_must_watch = true;
  bool m_watches_mesh_keys = false;
  std::int64_t m_era = 0;
  TimePoint m_era_seen_at;
  TimePoint m_earlier_authority_end;
  bool m_has_seen_earlier_era = false;
  std::set<std::string> m_earlier_members;
  std::map<std::string, std::uint64_t> m_earlier_fences;  // by service
  bool m_member_unchecked = false;   // the era has begun, and the store may have lost the lease or the member record
  bool m_earlier_mesh_kept = false;  // the replica may hold keys of the mesh, or of the operator, that only earlier
  bool m_earlier_operator_kept = false;  // eras had
  TimePoint m_synced_at;
  TimePoint m_coordinator_synced_at;
  // When the operator's records of this replica were last known to be complete.
  TimePoint m_operator_heard_at;
  // Since when the coordinator has known a change of them that this node has not received; zero: it has received all.
  TimePoint m_operator_behind_since;
  Duration m_watch_restart_interval{};  // minimum time from the opening of the operator's watch to its restart
  bool m_store_was_reachable = true;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_SESSION_P_H_
