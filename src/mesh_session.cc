#include "mesh_session_p.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "mesh_duties_p.h"
#include "mesh_eras_p.h"
#include "mesh_table_patch_p.h"

namespace magnoliaarch {
namespace {

// Long enough to keep serving through store outages of some seconds, short enough to reassign the keys of a lost host
// soon.
constexpr Duration kLeaseTtl = std::chrono::milliseconds(5000);
constexpr Duration kRenewPeriod = std::chrono::milliseconds(1000);
constexpr Duration kRenewRetryDelay = std::chrono::milliseconds(300);
// Assumed relative difference in clock rate between this node and the store.
constexpr double kMaxClockDrift = 0.02;
constexpr Duration kLeaseMargin = std::chrono::milliseconds(50);
// All nodes may start at the same time; their first calls are spread over this time.
constexpr Duration kStartJitter = std::chrono::milliseconds(150);
// Failed registrations are retried with exponential backoff and jitter: when all nodes start at the same time, their
// calls can exceed the store's rate limit, and retries at a fixed interval would keep exceeding it.
constexpr Duration kMinRegisterRetryDelay = std::chrono::milliseconds(150);
constexpr Duration kMemberRetryDelay = std::chrono::milliseconds(20);
constexpr Duration kMaxRegisterRetryDelay = std::chrono::milliseconds(1500);
// A node that is not asked to watch the mesh's records does so when its replica is older than this.
constexpr Duration kMaxUnwatchedAge = std::chrono::milliseconds(3500);
// Time that a watch waits for a change. A dead connection is detected only by the timeout, so the wait is long only
// while the coordinator confirms that there was no change.
constexpr Duration kWatchWait = std::chrono::seconds(3);
constexpr Duration kConfirmedWatchWait = std::chrono::seconds(15);
// The coordinator confirms the replicas of the others, so its own must not be old.
constexpr Duration kCoordinatorWatchWait = std::chrono::milliseconds(1500);
// A change that the coordinator knows has arrived here within this time, unless the watch is dead. Long enough for a
// large configuration on a slow link; restarts have a growing distance, so that they cannot cut off each answer.
constexpr Duration kOperatorChangeDelay = std::chrono::milliseconds(1000);
// After this time the change is also fetched from another node. Longer than a configuration of thousands of routes
// takes on a slow link, so that a node whose watch works does not transfer it twice.
constexpr Duration kOperatorFetchDelay = std::chrono::milliseconds(600);
constexpr Duration kMinWatchRestartInterval = std::chrono::milliseconds(2000);
constexpr Duration kMaxWatchRestartInterval = std::chrono::milliseconds(8000);
constexpr Duration kMaxCoordinatorAge = std::chrono::milliseconds(4500);
// The watch of the operator's records returns at least this often, also without changes.
constexpr Duration kOperatorWatchTimeout = std::chrono::milliseconds(4000);
// When an era begins, all nodes read all records, and those that the store has lost register again with two writes.
// This many nodes do so in a second, so that they stay below the 400 writes a second of the platform's store.
constexpr int kEraReturnsPerSecond = 150;
// The operator writes again what the store has lost. An evacuation stays in force for this long without its record.
constexpr Duration kOperatorRewriteTime = std::chrono::seconds(30);
constexpr Duration kMinWatchBackoff = std::chrono::milliseconds(150);
constexpr Duration kMaxWatchBackoff = std::chrono::milliseconds(1500);

std::uint32_t AgeInMessage(Duration age) {
  const std::int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, INT32_MAX));
}

}  // namespace

MeshSession::MeshSession(TimerQueue& timers,
                         MeshStore& store,
                         const MeshWire& wire,
                         MeshLog& log,
                         proto::MeshMember self,
                         Duration min_lease,
                         MeshSessionHooks hooks)
    : m_timers(timers),
      m_store(store),
      m_log(log),
      m_self(std::move(self)),
      m_hooks(std::move(hooks)),
      m_view(wire,
             [&log](const std::string& key, const absl::Status& status) {
               log.Write(LogCategory::kFailure, "record_unreadable",
                         {{"key", key}, {"why", std::string(status.message())}});
             }),
      m_ttl(std::max(kLeaseTtl, min_lease)) {
  m_watch_loops[0].prefix = wire.OperatorPrefix();
  m_watch_loops[1].prefix = std::string(kMeshPrefix);
  m_store.SetEraHook([this](std::int64_t era) { OnEra(era); });
}

void MeshSession::Start() {
  const TimePoint now = BootClock::now();
  m_synced_at = now - std::chrono::hours(1);
  m_register_at = now + kStartJitter * (NodeHash(m_self.node()) % 100) / 100;
}

TimePoint MeshSession::AuthorityEnd() const {
  // A replica older than this node's member record may lack an ownership change that preceded the record.
  if (!IsRegistered() || m_view.Revision() < m_member_revision) {
    return TimePoint();
  }
  const auto certain_ttl =
      Duration(static_cast<Duration::rep>(static_cast<double>(m_ttl.count()) * (1 - kMaxClockDrift)));
  return m_lease_renewed_at + certain_ttl - kLeaseMargin;
}

void MeshSession::OnEra(std::int64_t era) {
  const TimePoint now = BootClock::now();
  const bool first = m_lease == 0 && m_view.Sequence() == 0;
  m_log.Write(LogCategory::kState, "store_era", {{"era", era}, {"before", m_era}, {"lease", m_lease}});
  m_earlier_authority_end = std::max(m_earlier_authority_end, AuthorityEnd());
  for (const auto& [service, state] : m_view.Tables()) {
    // A table that was not adopted in the era that ends may come from a late write.
    if (IsOfEra(state.table, m_era)) {
      m_earlier_fences[service] = state.table.last_fence();
    }
  }
  m_era = era;
  m_era_seen_at = now;
  if (first) {
    return;
  }
  m_has_seen_earlier_era = true;
  for (const auto& [node, member] : m_view.Members()) {
    m_earlier_members.insert(node);
  }
  // The store has lost the renewals, and perhaps the lease and the record.
  m_lease_renewed_at = TimePoint();
  m_member_revision = 0;
  m_earlier_mesh_kept = true;
  m_earlier_operator_kept = true;
  // The coordinator needs the records before it can plan again.
  const Duration spread =
      m_must_watch ? Duration(0)
                   : std::chrono::seconds(1) * static_cast<int>(m_view.Members().size()) / kEraReturnsPerSecond;
  const TimePoint read_at = now + spread * (NodeHash(m_self.node()) % 128) / 128;
  for (WatchLoop& loop : m_watch_loops) {
    RestartWatch(loop);
    loop.after_revision = 0;
    loop.not_before = read_at;
  }
  if (m_registering) {
    // The registration's calls belong to the earlier era.
    DropLease("the store's era has changed");
  }
  m_member_unchecked = m_lease != 0;
  m_renew_at = read_at;
}

std::uint64_t MeshSession::EarlierFence(const std::string& service) const {
  const auto it = m_earlier_fences.find(service);
  return it == m_earlier_fences.end() ? 0 : it->second;
}

void MeshSession::CheckMemberRecord() {
  const proto::ViewItem* item = m_view.FindItem(MemberKey(m_self.node()));
  m_member_unchecked = false;
  if (item != nullptr && !item->deleted() && EraOf(item->revision()) == m_era && item->lease() == m_lease &&
      item->value() == m_self.SerializeAsString()) {
    m_member_revision = item->revision();
    m_log.Write(LogCategory::kState, "member_kept", {{"lease", m_lease}, {"revision", m_member_revision}});
  } else {
    DropLease("the store has lost the member record");
  }
}

void MeshSession::DropEarlierEras(TimePoint now) {
  // Only once this era's records have been read: before that, all of them are of earlier eras.
  if (EraOf(m_view.Revision()) != m_era) {
    return;
  }
  bool changed = false;
  if (m_earlier_mesh_kept && now > EraSettledAt()) {
    m_earlier_mesh_kept = false;
    m_earlier_members.clear();
    changed = m_view.DropEarlierEras(kMeshPrefix, m_era);
  }
  if (m_earlier_operator_kept && now - m_era_seen_at > kOperatorRewriteTime) {
    m_earlier_operator_kept = false;
    changed = m_view.DropEarlierEras(m_watch_loops[0].prefix, m_era) || changed;
  }
  if (changed) {
    m_hooks.on_view();
  }
}

void MeshSession::OnTick(TimePoint now) {
  if (m_stopped) {
    return;
  }
  if (m_store.IsReachable() && !m_store_was_reachable) {
    for (WatchLoop& loop : m_watch_loops) {
      if (loop.watch_id != 0) {
        RestartWatch(loop);
      }
    }
  }
  m_store_was_reachable = m_store.IsReachable();
  if (m_lease == 0 && !m_registering && now >= m_register_at) {
    Register();
  }
  if (IsRegistered() && m_view.Revision() >= m_member_revision &&
      m_view.MemberRevision(m_self.node()) != m_member_revision) {
    DropLease("the member record is gone or another's");
  }
  if (m_lease != 0 && !m_renewing && now >= m_renew_at) {
    Renew(now);
  }
  if (m_earlier_mesh_kept || m_earlier_operator_kept) {
    DropEarlierEras(now);
  }
  const bool watches = m_must_watch || (!IsKeptByCoordinator(now) &&
                                        (!IsRegistered() || WatchesForDomain(m_view, m_self) ||
                                         std::min(ReplicaAge(now), now - m_coordinator_synced_at) > kMaxUnwatchedAge));
  if (m_watches_mesh_keys != watches) {
    m_watches_mesh_keys = watches;
    m_log.Write(LogCategory::kState, m_watches_mesh_keys ? "watch_started" : "watch_ended",
                {{"revision", m_view.Revision()}});
  }
  CheckOperatorWatch(now);
  if (m_lease != 0) {
    // Every node watches the operator's records itself: changes to them must take effect quickly, and store traffic
    // does not cross failure domains.
    RunWatch(m_watch_loops[0], now);
    if (m_watches_mesh_keys || m_member_unchecked) {
      RunWatch(m_watch_loops[1], now);
    }
  }
}

void MeshSession::Register() {
  m_registering = true;
  const TimePoint sent = BootClock::now();
  m_store.GrantLease(m_ttl, [this, sent](const absl::StatusOr<std::int64_t>& lease) {
    if (!lease.ok()) {
      m_registering = false;
      m_register_at = BootClock::now() + NextRegisterDelay();
      return;
    }
    m_lease = *lease;
    m_lease_renewed_at = sent;
    m_renew_at = sent + kRenewPeriod;
    WriteMember();
  });
}

// The write is conditional, so that a write which the store executes late cannot attach the record to an ended lease.
void MeshSession::WriteMember() {
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{MemberKey(m_self.node()), m_view.MemberRevision(m_self.node())});
  txn.puts.push_back(StorePut{MemberKey(m_self.node()), m_self.SerializeAsString(), m_lease});
  Write(std::move(txn), [this, lease = m_lease](const absl::StatusOr<StoreWrite>& written) {
    if (lease != m_lease) {
      m_registering = false;
      return;
    }
    if (!written.ok() && !absl::IsNotFound(written.status())) {
      // The lease is still valid; only the write is retried.
      m_timers.At(BootClock::now() + NextRegisterDelay(), [this, lease] {
        if (lease != m_lease) {
          m_registering = false;
        } else if (!m_stopped) {
          WriteMember();
        }
      });
      return;
    }
    if (!written.ok()) {
      m_registering = false;
      DropLease("the lease ended before the member record was written");
      return;
    }
    if (!written->succeeded) {
      // The next write's condition uses the revision that this one found. The delay limits the rate of calls if the
      // conditions keep failing.
      m_timers.At(BootClock::now() + kMemberRetryDelay, [this, lease] {
        if (lease != m_lease) {
          m_registering = false;
        } else if (!m_stopped) {
          WriteMember();
        }
      });
      return;
    }
    m_member_revision = written->revision;
    m_register_delay = Duration(0);
    m_log.Write(LogCategory::kState, "registered", {{"lease", m_lease}, {"revision", m_member_revision}});
    ReadAllPrefixes();
  });
}

Duration MeshSession::NextRegisterDelay() {
  m_register_delay = std::clamp(m_register_delay * 2, kMinRegisterRetryDelay, kMaxRegisterRetryDelay);
  return m_register_delay / 2 + m_register_delay * (RandomNumber() % 64) / 64;
}

void MeshSession::ReadAllPrefixes() {
  for (WatchLoop& loop : m_watch_loops) {
    RestartWatch(loop);
    loop.after_revision = 0;
    ReadPrefix(loop);
  }
  m_registering = false;
  m_hooks.on_registered();
}

void MeshSession::Renew(TimePoint now) {
  m_renewing = true;
  m_renew_at = now + kRenewPeriod;
  m_store.RenewLease(m_lease, [this, now, lease = m_lease](const absl::Status& status) {
    m_renewing = false;
    if (lease != m_lease) {
      return;
    }
    if (status.ok()) {
      m_lease_renewed_at = std::max(m_lease_renewed_at, now);
    } else if (absl::IsNotFound(status)) {
      DropLease("the lease has ended");
    } else {
      m_renew_at = std::min(m_renew_at, BootClock::now() + kRenewRetryDelay);
    }
  });
}

void MeshSession::DropLease(std::string_view why) {
  m_log.Write(LogCategory::kState, "lease_lost", {{"lease", m_lease}, {"why", why}});
  m_lease = 0;
  m_member_revision = 0;
  m_register_at = BootClock::now();
}

void MeshSession::RestartWatch(WatchLoop& loop) {
  if (loop.watch_id != 0) {
    m_store.CancelWatch(std::exchange(loop.watch_id, 0));
  }
  ++loop.generation;
  loop.call_pending = false;
  loop.backoff = Duration(0);
  loop.not_before = TimePoint();
}

void MeshSession::ReadPrefix(WatchLoop& loop) {
  loop.call_pending = true;
  m_store.Range(loop.prefix, [this, &loop, generation = loop.generation](const absl::StatusOr<StoreRange>& range) {
    if (generation != loop.generation) {
      return;
    }
    loop.call_pending = false;
    if (!range.ok()) {
      OnWatchFailed(loop, range.status());
      return;
    }
    loop.after_revision = range->revision;
    loop.backoff = Duration(0);
    if (&loop == m_watch_loops) {
      m_operator_heard_at = BootClock::now();
    }
    LogUnreadable(loop, range->unreadable);
    const bool changed = m_view.ApplyRange(loop.prefix, *range);
    if (m_member_unchecked && &loop != m_watch_loops) {
      CheckMemberRecord();
    }
    OnWatchProgress(BootClock::now());
    if (changed) {
      m_hooks.on_view();
    }
  });
}

Duration MeshSession::WatchWait(const WatchLoop& loop, TimePoint now) const {
  if (m_must_watch) {
    return kCoordinatorWatchWait;
  }
  return &loop == m_watch_loops && IsKeptByCoordinator(now) ? kConfirmedWatchWait : kWatchWait;
}

void MeshSession::RunWatch(WatchLoop& loop, TimePoint now) {
  if (loop.call_pending || now < loop.not_before) {
    return;
  }
  if (loop.after_revision == 0) {
    ReadPrefix(loop);
    return;
  }
  loop.call_pending = true;
  loop.opened_at = now;
  loop.watch_id =
      m_store.Watch(loop.prefix, loop.after_revision, WatchWait(loop, now),
                    [this, &loop, generation = loop.generation](const absl::StatusOr<StoreWatchBatch>& batch) {
                      if (generation != loop.generation) {
                        return;
                      }
                      loop.watch_id = 0;
                      loop.call_pending = false;
                      if (!batch.ok()) {
                        if (absl::IsOutOfRange(batch.status())) {
                          loop.after_revision = 0;
                          m_log.Write(LogCategory::kState, "watch_history_gone", {{"prefix", loop.prefix}});
                          ReadPrefix(loop);
                        } else {
                          OnWatchFailed(loop, batch.status());
                        }
                        return;
                      }
                      loop.after_revision = std::max(loop.after_revision, batch->revision);
                      loop.backoff = Duration(0);
                      LogUnreadable(loop, batch->unreadable);
                      bool changed = false;
                      for (const StoreEvent& event : batch->events) {
                        changed = m_view.Apply(event) || changed;
                      }
                      const TimePoint at = BootClock::now();
                      OnWatchProgress(at);
                      if (&loop == m_watch_loops) {
                        m_operator_heard_at = at;
                      }
                      if (changed) {
                        m_hooks.on_view();
                      }
                      if ((m_watches_mesh_keys || &loop == m_watch_loops) && !m_stopped) {
                        RunWatch(loop, at);
                      }
                    });
}

void MeshSession::OnWatchProgress(TimePoint now) {
  if (m_watch_loops[0].after_revision != 0 && m_watch_loops[1].after_revision != 0) {
    m_view.Advance(std::min(m_watch_loops[0].after_revision, m_watch_loops[1].after_revision));
    m_synced_at = now;
  }
}

std::uint32_t MeshSession::ReplicaAgeMs(TimePoint now) const {
  return AgeInMessage(ReplicaAge(now));
}

std::uint32_t MeshSession::OperatorAgeMs(TimePoint now) const {
  return AgeInMessage(OperatorAge(now));
}

bool MeshSession::IsOperatorWatchLive(TimePoint now) const {
  return m_watch_loops[0].after_revision != 0 && m_watch_loops[0].backoff == Duration(0) &&
         now - m_operator_heard_at < kOperatorWatchTimeout && m_store.IsReachable();
}

void MeshSession::LogUnreadable(const WatchLoop& loop, std::size_t entries) {
  if (entries > 0) {
    m_log.Write(LogCategory::kFailure, "entries_unreadable", {{"prefix", loop.prefix}, {"entries", entries}});
  }
}

void MeshSession::OnWatchFailed(WatchLoop& loop, const absl::Status& status) {
  loop.backoff = std::clamp(loop.backoff * 2, kMinWatchBackoff, kMaxWatchBackoff);
  loop.not_before = BootClock::now() + loop.backoff;
  m_log.Write(LogCategory::kFailure, "watch_failed", {{"prefix", loop.prefix}, {"why", std::string(status.message())}});
}

bool MeshSession::IsKeptByCoordinator(TimePoint now) const {
  return now - m_coordinator_synced_at < CoordinatorTimeout(m_view.Members().size());
}

void MeshSession::OnSyncedByCoordinator(TimePoint now,
                                        Duration coordinator_age,
                                        std::int64_t operator_revision,
                                        Duration operator_age) {
  // A coordinator of an earlier era confirms nothing.
  if (coordinator_age >= kMaxCoordinatorAge || EraOf(operator_revision) < m_era) {
    return;
  }
  m_coordinator_synced_at = now;
  if (operator_revision <= std::max(m_view.OperatorRevision(), m_watch_loops[0].after_revision)) {
    m_operator_heard_at = std::max(m_operator_heard_at, now - operator_age);
    m_operator_behind_since = TimePoint();
    m_watch_restart_interval = Duration(0);
  } else if (m_operator_behind_since == TimePoint()) {
    m_operator_behind_since = now;
  }
}

bool MeshSession::LacksOperatorChange(TimePoint now) const {
  return m_operator_behind_since != TimePoint() && now - m_operator_behind_since > kOperatorFetchDelay;
}

void MeshSession::CheckOperatorWatch(TimePoint now) {
  WatchLoop& loop = m_watch_loops[0];
  if (loop.watch_id == 0 || now - loop.opened_at < m_watch_restart_interval) {
    return;
  }
  const bool behind = m_operator_behind_since != TimePoint() && now - m_operator_behind_since > kOperatorChangeDelay;
  const bool unconfirmed =
      now - loop.opened_at > kOperatorWatchTimeout && now - m_operator_heard_at > kOperatorWatchTimeout;
  if (behind || unconfirmed) {
    m_operator_behind_since = TimePoint();
    m_watch_restart_interval =
        std::clamp(m_watch_restart_interval * 2, kMinWatchRestartInterval, kMaxWatchRestartInterval);
    m_log.Write(LogCategory::kState, "watch_restarted", {{"prefix", loop.prefix}, {"behind", behind}});
    RestartWatch(loop);
  }
}

bool MeshSession::Merge(const google::protobuf::RepeatedPtrField<proto::ViewItem>& items,
                        std::int64_t revision,
                        Duration age) {
  m_store.NoteEra(EraOf(revision));
  std::vector<proto::ViewItem> resolved(items.begin(), items.end());
  for (proto::ViewItem& item : resolved) {
    const proto::ViewItem* known = m_view.FindItem(item.key());
    // The view ignores items that are not newer, so the patches of such items need not match.
    if (!item.has_patch() || (known != nullptr && known->revision() >= item.revision())) {
      continue;
    }
    if (known == nullptr || known->deleted() || known->revision() != item.patch().base_revision()) {
      return false;
    }
    std::optional<std::string> value = ApplyTablePatch(known->value(), item.patch());
    if (!value) {
      return false;
    }
    item.set_value(*std::move(value));
    item.clear_patch();
  }
  bool changed = false;
  for (const proto::ViewItem& item : resolved) {
    changed = m_view.Apply(item) || changed;
    const bool is_earlier = EraOf(item.revision()) < m_era;
    m_earlier_mesh_kept = m_earlier_mesh_kept || is_earlier;
    m_earlier_operator_kept = m_earlier_operator_kept || is_earlier;
  }
  // The replica of a node that has not read this era's records does not make this one complete.
  const bool is_of_era = EraOf(revision) == m_era;
  if (is_of_era) {
    m_view.Advance(revision);
    m_synced_at = std::max(m_synced_at, BootClock::now() - age);
  }
  if (is_of_era && !m_watches_mesh_keys && !m_member_unchecked) {
    // If this node starts its own watch later, the watch continues from this revision.
    m_watch_loops[1].after_revision = std::max(m_watch_loops[1].after_revision, revision);
  }
  if (changed) {
    m_hooks.on_view();
  }
  return true;
}

void MeshSession::Write(StoreTxn txn, std::function<void(absl::StatusOr<StoreWrite>)> done) {
  for (StoreCompare& compare : txn.compares) {
    // A record that this era has not shown yet is absent, or the condition fails and returns it.
    compare.mod_revision = EraOf(compare.mod_revision) == m_era ? compare.mod_revision : 0;
  }
  if (m_era > 0) {
    const proto::ViewItem* record = m_view.FindItem(EraKey(m_era));
    BindToEra(m_era, record != nullptr && EraOf(record->revision()) == m_era, &txn);
  }
  m_store.Txn(txn, [this, txn, done = std::move(done)](const absl::StatusOr<StoreWrite>& written) {
    bool changed = false;
    if (written.ok()) {
      const auto apply = [&](const std::string& key, const std::string& value, std::int64_t revision, bool deleted,
                             std::int64_t lease) {
        proto::ViewItem item;
        item.set_key(key);
        item.set_value(value);
        item.set_revision(revision);
        item.set_deleted(deleted);
        item.set_lease(lease);
        changed = m_view.Apply(item) || changed;
      };
      if (written->succeeded) {
        for (const StorePut& put : txn.puts) {
          apply(put.key, put.value, written->revision, false, put.lease);
        }
        for (const std::string& key : txn.deletes) {
          apply(key, "", written->revision, true, 0);
        }
      } else {
        for (const StoreCompare& compare : txn.compares) {
          const auto kv = std::find_if(written->found.begin(), written->found.end(),
                                       [&](const StoreKv& found) { return found.key == compare.key; });
          if (kv != written->found.end() && kv->mod_revision != 0) {
            apply(kv->key, kv->value, kv->mod_revision, false, kv->lease);
          } else {
            changed = m_view.ApplyAbsence(compare.key) || changed;
          }
        }
      }
    }
    done(written);
    if (changed) {
      m_hooks.on_view();
    }
  });
}

void MeshSession::Leave(std::function<void()> done) {
  m_stopped = true;
  // After a change of the era the lease's number may belong to another node until the record has been found.
  if (m_lease == 0 || m_member_unchecked) {
    done();
    return;
  }
  m_store.RevokeLease(m_lease, [this, done = std::move(done)](const absl::Status& status) {
    if (!status.ok()) {
      m_log.Write(LogCategory::kFailure, "lease_not_ended", {{"why", std::string(status.message())}});
    }
    done();
  });
}

}  // namespace magnoliaarch
