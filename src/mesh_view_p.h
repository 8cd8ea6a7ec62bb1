// A node's replica of the store keys that it shares with the operator and the other nodes, and their decoded values.

#ifndef MAGNOLIAARCH_SRC_MESH_VIEW_P_H_
#define MAGNOLIAARCH_SRC_MESH_VIEW_P_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "magnoliaarch/store.h"
#include "mesh.pb.h"
#include "mesh_wire_p.h"

namespace magnoliaarch {

inline constexpr std::string_view kMeshPrefix = "magnolia/";
// Prefix of the key tables; the service name follows.
inline constexpr std::string_view kTablePrefix = "magnolia/keys/";
std::string MemberKey(std::string_view node);
std::string CoordinatorKey();
std::string TableKey(std::string_view service);

// A key table with the store revision that a conditional write must compare.
struct TableState {
  proto::KeyTable table;
  std::int64_t revision = 0;  // 0: there is no record yet
  bool unreadable = false;    // the record at this revision is not valid; `table` is the last valid one

  // Returns the range of a key; null if the key has never been assigned.
  const proto::KeyRange* Find(std::uint32_t key) const;
};

// Prefix of the records of roll-outs; the service name follows.
inline constexpr std::string_view kRolloutRecordPrefix = "magnolia/rollout/";
std::string RolloutKey(std::string_view service);

// The operator's order of a roll-out, as last read.
struct RolloutOrderState {
  RolloutOrder order;
  std::int64_t revision = 0;
};

// A roll-out's record with the revision that a conditional write must compare.
struct RolloutRecordState {
  proto::RolloutRecord record;
  std::int64_t revision = 0;
};

bool SameLife(const proto::TargetLife& a, const proto::TargetLife& b);

// Merges versions of keys from the store and from other nodes in any order; the highest revision of a key wins. When a
// new era of the store begins, the store may have older values or none of keys that this replica knows:
// - A newer configuration or key table stays in use under the revision of the store's older one, for later writes.
// - Keys that the store no longer has stay until DropEarlierEras, because their writers may write them again.
class MeshView {
 public:
  MeshView(const MeshWire& wire, std::function<void(const std::string& key, const absl::Status&)> on_unreadable);

  // Returns whether anything changed.
  bool Apply(const proto::ViewItem& item);
  bool Apply(const StoreEvent& event);
  // Applies a complete read of a prefix at a revision; keys that are missing in it have been deleted. Returns whether
  // anything changed.
  bool ApplyRange(std::string_view prefix, const StoreRange& range);

  // Deletes the keys with the prefix that were last seen in an era before this one, except configurations and key
  // tables. Returns whether anything changed.
  bool DropEarlierEras(std::string_view prefix, std::int64_t era);

  // Records that the store no longer has this key. Returns whether that is a change.
  bool ApplyAbsence(const std::string& key);

  // The replica contains all changes up to this revision.
  std::int64_t Revision() const { return m_revision; }
  void Advance(std::int64_t revision);

  // Returns the latest version of a key, which may be a deletion; null if the key has never been seen.
  const proto::ViewItem* FindItem(const std::string& key) const;
  // Returns the items with a higher store revision.
  std::vector<proto::ViewItem> ItemsAfterRevision(std::int64_t revision) const;

  // Number of changes that this replica has applied; independent of the order in which revisions arrive.
  std::uint64_t Sequence() const { return m_sequence; }
  std::vector<proto::ViewItem> ItemsAfterSequence(std::uint64_t sequence) const;
  // Number of changes of the members and of the coordinator that this replica has applied.
  std::uint64_t MembershipSequence() const { return m_membership_sequence; }
  // Store revision of the latest change of the operator's records that this replica has applied. Deletions count only
  // if the replica knows their revision.
  std::int64_t OperatorRevision() const { return m_operator_revision; }

  std::shared_ptr<const MeshConfig> Config() const { return m_config; }
  bool IsEvacuated(const std::string& domain) const { return m_evacuated.contains(domain); }
  const std::set<std::string>& Evacuated() const { return m_evacuated; }
  const std::map<std::string, proto::MeshMember>& Members() const { return m_members; }
  const proto::MeshMember* FindMember(const std::string& node) const;
  // Returns the revision of a member's record; 0 if there is none.
  std::int64_t MemberRevision(const std::string& node) const;
  const std::optional<proto::MeshCoordinator>& Coordinator() const { return m_coordinator; }
  std::int64_t CoordinatorRevision() const;
  const TableState* Table(const std::string& service) const;
  // By service.
  const std::map<std::string, RolloutOrderState>& RolloutOrders() const { return m_rollout_orders; }
  const std::map<std::string, RolloutRecordState>& RolloutRecords() const { return m_rollout_records; }
  const std::map<std::string, TableState>& Tables() const { return m_tables; }

 private:
  void NoteOperatorChange(const std::string& key, std::int64_t revision);
  bool ApplyVersion(const std::string& key, std::string value, std::int64_t revision, bool deleted, std::int64_t lease);
  // Whether the known value stays in use although the store shows another one at this later revision.
  bool OutlivesEra(const proto::ViewItem& known, const std::string& shown, std::int64_t revision) const;
  // Whether the value is a newer configuration or key table than the other one.
  bool IsNewerContent(const std::string& key, const std::string& value, const std::string& other) const;
  void Decode(const std::string& key, const proto::ViewItem& item);
  void DecodeRolloutOrder(const std::string& service, const proto::ViewItem& item);
  void DecodeRolloutRecord(const std::string& service, const proto::ViewItem& item);

  const MeshWire& m_wire;
  const std::string m_operator_prefix;
  std::function<void(const std::string&, const absl::Status&)> m_on_unreadable;
  std::map<std::string, proto::ViewItem> m_items;
  std::map<std::string, std::uint64_t> m_change_sequences;  // sequence number of each key's last change
  std::uint64_t m_sequence = 0;
  std::uint64_t m_membership_sequence = 0;
  std::int64_t m_operator_revision = 0;
  std::int64_t m_revision = 0;
  std::shared_ptr<const MeshConfig> m_config;
  std::set<std::string> m_evacuated;
  std::map<std::string, proto::MeshMember> m_members;
  std::optional<proto::MeshCoordinator> m_coordinator;
  std::map<std::string, TableState> m_tables;
  std::map<std::string, RolloutOrderState> m_rollout_orders;
  std::map<std::string, RolloutRecordState> m_rollout_records;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_VIEW_P_H_
