// Distribution of store records to all nodes: store watchers, push tree, repair by digests, and view age.

#ifndef MAGNOLIAARCH_DISSEMINATION_H_
#define MAGNOLIAARCH_DISSEMINATION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "magnolia.pb.h"
#include "magnoliaarch/store.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"

namespace magnoliaarch {

// Largest message that is sent as a datagram, in bytes.
inline constexpr std::size_t kDatagramBytes = 1200;

struct DisseminationOptions {
  int fan_out = 8;
  int watchers_per_domain = 2;
  // Watchers: interval of the reads (probes) that check whether the store answers.
  Duration probe_period = std::chrono::milliseconds(500);
  Duration probe_timeout = std::chrono::milliseconds(500);
  // Time between a node's digests to its parent in the tree while the view is fresh.
  Duration digest_period = std::chrono::seconds(1);
  // Time between digests while the view is not fresh, and between a watcher's digests to other failure domains.
  Duration repair_period = std::chrono::milliseconds(500);
  // Minimum time between two heartbeats, which are pushes to the children without records.
  Duration heartbeat_period = std::chrono::milliseconds(500);
  // A view older than this is repaired from nodes other than the parent.
  Duration fresh_age = std::chrono::milliseconds(1500);
  // View age from which a watcher whose probe fails reports a store outage. Other watchers may keep it younger than
  // this.
  Duration outage_age = std::chrono::milliseconds(1200);
  // Stale view rule: a node accepts workspace keys while its view is at most this old, or during a store outage.
  // Outage reports older than this are not counted.
  Duration stale_age = std::chrono::seconds(4);
  // Number of other failure domains to which a watcher sends digests in each repair period while its view is not fresh.
  int repair_domains = 3;
  // Replaces repair_domains during a store outage, when only the outage reports need to be refreshed.
  int outage_domains = 2;
  // Rate limit of the records sent to all other nodes together. Records beyond the burst are left for the receivers'
  // digests to request. Snapshots have a separate budget, so that a snapshot does not delay changes.
  std::size_t record_bytes_per_second = 64 * 1024;
  std::size_t record_burst_bytes = 512 * 1024;
  // Chunk size of messages that do not fit a datagram.
  std::size_t stream_chunk_bytes = 64 * 1024;
  std::uint64_t seed = 0;
};

// A message to another node. Lost datagrams and broken streams are repaired by later digests.
struct DisseminationMessage {
  std::string to;       // node name; its address is in its member record
  bool stream = false;  // too large for a datagram
  proto::PeerMessage message;
};

// A store read: the revision only (a probe), or every record of the view.
struct DisseminationRead {
  std::uint64_t id = 0;
  bool full_read = false;
};

struct DisseminationReadResult {
  std::uint64_t id = 0;
  absl::Status status;
  StoreRange range;  // a probe needs only the revision
};

// Runs one read on the store. Blocks; to be called on the store thread.
DisseminationReadResult RunDisseminationRead(Store* store, const DisseminationRead& read);

// Actions that the owner of the state machine has to carry out after an event.
struct DisseminationActions {
  std::vector<DisseminationMessage> messages;
  std::vector<DisseminationRead> reads;
  // Start the store watch on kRootPrefix after this revision; a running watch is replaced.
  std::optional<std::int64_t> start_watch;
  bool stop_watch = false;
  bool view_changed = false;  // records were applied: publish Snapshot()
};

// State machine of one node. Deterministic: takes events and the current time, returns actions.
//
// View age: a watcher measures it from the time at which it sent a probe, once its view has reached the revision that
// the probe returned. Every other node uses messages that echo one of its digests: the time since it sent that digest,
// less the time for which the sender of the message held the digest, is an upper bound of the message's delay. The node
// adds this bound to the sender's view age. A message without an echo carries records but does not make the view
// fresher. The computed age is therefore never below the true age, whichever messages are delayed, and clocks need not
// be synchronized.
class Dissemination {
 public:
  Dissemination(const IncarnationId& self, std::string domain, const DisseminationOptions& options);

  // Reads the view from the store once; after that, other nodes keep it up to date.
  DisseminationActions Start(TimePoint now);
  // Call at least every 100 ms.
  DisseminationActions OnTick(TimePoint now);
  DisseminationActions OnMessage(const proto::PeerMessage& message, TimePoint now);
  DisseminationActions OnReadResult(const DisseminationReadResult& result, TimePoint now);
  // The running watch delivered a batch.
  DisseminationActions OnWatchBatch(const StoreWatchBatch& batch, TimePoint now);
  // The running watch ended with this status.
  DisseminationActions OnWatchEnded(const absl::Status& status, TimePoint now);
  // This node's own member record was confirmed in the store. Nodes that have just registered are in no other node's
  // view, so the first ones must become watchers on their own.
  DisseminationActions OnOwnRecord(const proto::MemberRecord& record, std::int64_t revision, TimePoint now);
  // Asks a node for newer records now, for example after its `wrong-owner` refusal.
  DisseminationActions RequestUpdate(const std::string& node, TimePoint now);

  // Stale view rule: workspace keys are accepted while the view is at most stale_age old, or while more than half of
  // the failure domains report a store outage. Without a view they are refused.
  bool AcceptsWorkspaceKeys(TimePoint now) const;
  // Upper bound of the view's age; nullopt before the first view.
  std::optional<Duration> Age(TimePoint now) const;
  // Whether more than half of the failure domains report that the store does not answer.
  bool IsOutage(TimePoint now) const;
  // Number of failure domains with an outage report that is at most stale_age old; Domains() counts all domains.
  int DomainsReportingOutage(TimePoint now) const;
  int Domains() const { return static_cast<int>(m_member_order.size()); }

  bool IsWatcher() const { return m_is_watcher; }
  std::int64_t Revision() const { return m_builder.Revision(); }
  std::shared_ptr<const View> Snapshot() const { return m_builder.Snapshot(); }

  // Members of a failure domain in the order of the rendezvous hash: first the watchers, then the tree.
  std::vector<std::string> DomainOrder(std::string_view domain) const;

 private:
  // The last digest received from a node, to be echoed.
  struct Echo {
    std::uint64_t sequence = 0;
    TimePoint received;
    TimePoint answered;
  };
  // Once the view has reached the revision, its age is counted from fresh_at.
  struct Freshness {
    std::int64_t revision = 0;
    TimePoint fresh_at;
  };
  struct Outage {
    std::string watcher;
    TimePoint reported_at;
  };
  // Chunks received so far of a snapshot from one node. The chunks must arrive in order.
  struct SnapshotAssembly {
    std::string from;
    std::int64_t next_from = 0;
    std::set<std::string> keys;
    std::vector<proto::ViewRecord> records;
    std::size_t bytes = 0;
  };
  // Token bucket whose balance one message may make negative.
  struct Budget {
    double bytes = 0;
    TimePoint filled_at;
  };
  // Members of one failure domain by hash.
  using MemberOrder = std::vector<std::pair<std::uint64_t, std::string>>;

  void OnDelta(const std::string& from, const proto::ViewDelta& delta, TimePoint now, DisseminationActions* actions);
  void OnDigest(const std::string& from, const proto::ViewDigest& digest, TimePoint now, DisseminationActions* actions);
  void OnFullRead(const StoreRange& range, TimePoint sent, DisseminationActions* actions);
  // Collects one chunk of a snapshot; true once the snapshot is complete.
  bool OnSnapshotChunk(const std::string& from, const proto::ViewDelta& delta, DisseminationActions* actions);
  // Applies the sender's age and outage reports if the message's delay is bounded; true if anything changed.
  bool ApplyFreshness(const proto::ViewDelta& delta, TimePoint now);

  // Applies a record and updates the member order. Returns false if the record is not newer than the one in the view.
  bool ApplyRecord(const proto::ViewRecord& record, DisseminationActions* actions);
  // Completes a full read at the revision: deletes the records that the read did not return.
  void DeleteMissing(const std::set<std::string>& keys, std::int64_t revision, DisseminationActions* actions);
  // Marks all changes in (from, to] as applied.
  void AddInterval(std::int64_t from, std::int64_t to, bool has_records);
  bool UpdateFreshness(std::int64_t revision, TimePoint fresh_at);
  // Applies the pending freshness whose revision the view has reached; true when the view became fresher.
  bool ApplyPendingFreshness();
  void UpdateMember(const proto::ViewRecord& record);
  void UpdateTree(TimePoint now, DisseminationActions* actions);

  void TickReads(TimePoint now, DisseminationActions* actions);
  // Whether the parent missed more than two heartbeats.
  bool IsParentSilent(TimePoint now) const;
  void TickDigests(TimePoint now, DisseminationActions* actions);
  void StartRead(bool full_read, TimePoint now, DisseminationActions* actions);
  void OnReadFailed(TimePoint now, DisseminationActions* actions);
  void SendDigest(const std::string& to, TimePoint now, DisseminationActions* actions);
  void SendDelta(const std::string& to, proto::ViewDelta delta, TimePoint now, DisseminationActions* actions);
  // Sends the records that the node with this revision lacks.
  void SendRepair(const std::string& to, std::int64_t revision, TimePoint now, DisseminationActions* actions);
  void PushToChildren(const proto::ViewDelta& delta, TimePoint now, DisseminationActions* actions);
  // Sends heartbeats at most once in each heartbeat period, unless `immediately` is set.
  void SendHeartbeats(TimePoint now, DisseminationActions* actions, bool immediately = false);
  // A delta without records, which carries the revision and the age.
  proto::ViewDelta EmptyDelta() const;
  void FillOutages(TimePoint now, proto::ViewDelta* delta) const;
  bool HasBudget(Budget* budget, double rate, double burst, TimePoint now) const;
  std::uint64_t SequenceAt(TimePoint now) const;
  std::optional<TimePoint> SentAt(std::uint64_t sequence, TimePoint now) const;
  std::string RandomRemoteWatcher();
  bool IsFresh(TimePoint now) const;
  // Number of failure domains whose outage report is at most `oldest` old.
  int CountOutages(TimePoint now, Duration oldest) const;
  bool IsChild(const std::string& node) const;

  const IncarnationId m_self;
  const std::string m_domain;
  const DisseminationOptions m_options;
  std::mt19937_64 m_random;
  const std::uint64_t m_sequence_tag;
  TimePoint m_started;

  ViewBuilder m_builder;
  // This node cannot send deltas that start below this revision, because it does not know the deletions before it.
  std::int64_t m_base_revision = 0;
  // No record changed after this revision and up to the view's revision.
  std::int64_t m_last_change_revision = 0;
  std::map<std::int64_t, std::int64_t> m_intervals;  // applied changes beyond the view's revision, as (from, to]
  std::optional<TimePoint> m_fresh_at;
  std::deque<Freshness> m_pending_freshness;
  std::map<std::string, Outage> m_outages;  // by failure domain
  std::unique_ptr<SnapshotAssembly> m_assembly;

  std::map<std::string, MemberOrder> m_member_order;         // by failure domain
  std::unordered_map<std::string, std::string> m_domain_of;  // by member
  bool m_tree_outdated = true;
  bool m_is_watcher = false;
  std::string m_parent;        // empty: a watcher, or none is known
  TimePoint m_parent_heard{};  // time of the parent's last message, or of becoming the parent
  TimePoint m_last_digest{};
  std::string m_alternate_parent;  // node at the same position in another watcher's tree
  std::vector<std::string> m_children;
  std::unordered_map<std::string, Echo> m_echoes;
  TimePoint m_next_prune;

  std::uint64_t m_last_read_id = 0;
  std::uint64_t m_pending_read = 0;  // 0: none
  bool m_pending_is_full_read = false;
  bool m_needs_full_read = false;
  TimePoint m_read_sent;
  TimePoint m_next_read;
  int m_read_failures = 0;
  int m_fallback_reads = 0;  // full reads since the last answer of a node with a fresh view
  bool m_probe_failed = false;

  bool m_watching = false;
  std::int64_t m_watch_revision = 0;
  TimePoint m_next_watch;

  TimePoint m_next_digest;
  TimePoint m_next_gap_digest;
  TimePoint m_last_heartbeat;
  std::size_t m_digest_round = 0;
  Budget m_record_budget;
  Budget m_snapshot_budget;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_DISSEMINATION_H_
