// A node's view of the store: catalogue, members and slice assignment as one immutable snapshot.

#ifndef MAGNOLIAARCH_VIEW_H_
#define MAGNOLIAARCH_VIEW_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "magnolia.pb.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// Prefixes and keys in the store.
inline constexpr std::string_view kRootPrefix = "/magnolia/";
inline constexpr std::string_view kCatalogueVersionKey = "/magnolia/catalogue/version";
inline constexpr std::string_view kEntryPrefix = "/magnolia/catalogue/entry/";
inline constexpr std::string_view kWorkspacePrefix = "/magnolia/catalogue/workspace/";
inline constexpr std::string_view kDomainPrefix = "/magnolia/catalogue/domain/";
inline constexpr std::string_view kMemberPrefix = "/magnolia/member/";
inline constexpr std::string_view kSlicesPrefix = "/magnolia/slices/";
inline constexpr std::string_view kRolePrefix = "/magnolia/role/";
inline constexpr std::string_view kAuditPrefix = "/magnolia/audit/";

// Slices held by one SlicePack record.
inline constexpr std::uint32_t kSlicesPerPack = 256;

// Store key of the pack that holds a slice, for example "/magnolia/slices/storefront/000".
std::string SlicePackKey(std::string_view entry, std::uint32_t slice);

// A record with the store revision of its last change. Copies share the record, which makes copying a view cheap.
template <typename Record>
class Versioned {
 public:
  Versioned() : Versioned(Record(), 0) {}
  Versioned(Record record, std::int64_t revision)
      : m_record(std::make_shared<const Record>(std::move(record))), m_revision(revision) {}

  const Record& record() const { return *m_record; }
  std::int64_t revision() const { return m_revision; }

 private:
  std::shared_ptr<const Record> m_record;
  std::int64_t m_revision;
};

// Records by name or store key. Lookups by string_view do not allocate.
template <typename Record>
using RecordMap = std::map<std::string, Versioned<Record>, std::less<>>;

// Immutable snapshot of everything that nodes learn from the store. Shared between threads by pointer.
class View {
 public:
  // Store revision up to which the snapshot is complete.
  std::int64_t Revision() const { return m_revision; }

  const RecordMap<proto::EntryRecord>& Entries() const { return m_entries; }
  const RecordMap<proto::WorkspaceRecord>& Workspaces() const { return m_workspaces; }
  const RecordMap<proto::DomainRecord>& Domains() const { return m_domains; }
  const RecordMap<proto::MemberRecord>& Members() const { return m_members; }
  // Keyed by store key.
  const RecordMap<proto::SlicePack>& Packs() const { return m_packs; }
  // Keyed by store key.
  const RecordMap<proto::RoleRecord>& Roles() const { return m_roles; }

  // Null when there is no such record.
  const proto::EntryRecord* FindEntry(std::string_view name) const;
  const proto::WorkspaceRecord* FindWorkspace(std::string_view name) const;
  const proto::MemberRecord* FindMember(std::string_view node) const;
  const proto::RoleRecord* FindRole(std::string_view kind, std::string_view name) const;

  // The grant for a key hash: that of the isolated hot key if there is one, otherwise that of the slice. Null when the
  // entry has no such slice yet.
  const proto::SliceRecord* FindSlice(const proto::EntryRecord& entry, std::uint64_t key_hash) const;

  // Whether an operator has taken the failure domain out of service.
  bool IsDomainOut(std::string_view domain) const;

  // Whether a member may receive new work: it is active and not fenced, and its failure domain is in service.
  bool AcceptsWork(const proto::MemberRecord& member) const;

  // Members that serve the entry and accept new work.
  std::vector<const proto::MemberRecord*> ServingMembers(std::string_view entry) const;

 private:
  friend class ViewBuilder;

  std::int64_t m_revision = 0;
  RecordMap<proto::EntryRecord> m_entries;
  RecordMap<proto::WorkspaceRecord> m_workspaces;
  RecordMap<proto::DomainRecord> m_domains;
  RecordMap<proto::MemberRecord> m_members;
  RecordMap<proto::SlicePack> m_packs;
  RecordMap<proto::RoleRecord> m_roles;
};

// Applies records to a view. A record older than the one held is ignored, so a view never reverts to older data.
class ViewBuilder {
 public:
  ViewBuilder() = default;

  // Applies one record with its store revision; `deleted` marks a tombstone. Returns false for a record that is not
  // newer than the one held, has a key under no known prefix, or cannot be parsed.
  bool Apply(const proto::ViewRecord& record);

  // Raises the revision up to which the view is complete.
  void Advance(std::int64_t revision);

  // Every record held, tombstones included, with revisions above the given one.
  std::vector<proto::ViewRecord> RecordsAfter(std::int64_t revision) const;

  // The record or tombstone held for a store key; null when there is none.
  const proto::ViewRecord* FindRecord(const std::string& key) const;

  std::int64_t Revision() const { return m_view.m_revision; }

  // The current state as an immutable snapshot.
  std::shared_ptr<const View> Snapshot() const;

 private:
  View m_view;
  // Serialized records by store key, for forwarding to other nodes.
  std::unordered_map<std::string, proto::ViewRecord> m_records;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_VIEW_H_
