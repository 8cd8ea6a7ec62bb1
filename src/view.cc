#include "magnoliaarch/view.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace magnoliaarch {
namespace {

// Removes the prefix from the text. Returns false and leaves the text unchanged when it does not start with the prefix.
bool ConsumePrefix(std::string_view* text, std::string_view prefix) {
  if (!text->starts_with(prefix)) {
    return false;
  }
  text->remove_prefix(prefix.size());
  return true;
}

// Returns the record of that name; null when absent.
template <typename Record>
const Record* Find(const RecordMap<Record>& records, std::string_view name) {
  const auto it = records.find(name);
  return it == records.end() ? nullptr : &it->second.record();
}

// Stores or erases one record in its map; false when the value cannot be parsed.
template <typename Record>
bool ApplyTo(RecordMap<Record>* records, std::string_view name, const proto::ViewRecord& source) {
  if (source.deleted()) {
    const auto existing = records->find(name);
    if (existing != records->end()) {
      records->erase(existing);
    }
    return true;
  }
  Record record;
  if (!record.ParseFromString(source.value())) {
    return false;
  }
  (*records)[std::string(name)] = Versioned<Record>(std::move(record), source.revision());
  return true;
}

}  // namespace

std::string SlicePackKey(std::string_view entry, std::uint32_t slice) {
  return fmt::format("{}{}/{:03}", kSlicesPrefix, entry, slice / kSlicesPerPack);
}

const proto::EntryRecord* View::FindEntry(std::string_view name) const {
  return Find(m_entries, name);
}

const proto::WorkspaceRecord* View::FindWorkspace(std::string_view name) const {
  return Find(m_workspaces, name);
}

const proto::MemberRecord* View::FindMember(std::string_view node) const {
  return Find(m_members, node);
}

const proto::RoleRecord* View::FindRole(std::string_view kind, std::string_view name) const {
  return Find(m_roles, fmt::format("{}{}/{}", kRolePrefix, kind, name));
}

const proto::SliceRecord* View::FindSlice(const proto::EntryRecord& entry, std::uint64_t key_hash) const {
  const SliceHandle slice = SliceOf(key_hash, entry.slices());
  const proto::SlicePack* pack = Find(m_packs, SlicePackKey(entry.name(), slice.index));
  if (pack == nullptr) {
    return nullptr;
  }
  for (const proto::HotKeyRecord& hot : pack->hot_keys()) {
    if (hot.key_hash() == key_hash) {
      return &hot.slice();
    }
  }
  const std::uint32_t offset = slice.index - pack->first_slice();
  if (offset >= static_cast<std::uint32_t>(pack->slices_size())) {
    return nullptr;
  }
  return &pack->slices(static_cast<int>(offset));
}

bool View::IsDomainOut(std::string_view domain) const {
  const proto::DomainRecord* record = Find(m_domains, domain);
  return record != nullptr && record->out();
}

bool View::AcceptsWork(const proto::MemberRecord& member) const {
  return member.state() == proto::MEMBER_STATE_ACTIVE && !member.fenced() && !IsDomainOut(member.domain());
}

std::vector<const proto::MemberRecord*> View::ServingMembers(std::string_view entry) const {
  std::vector<const proto::MemberRecord*> result;
  for (const auto& [node, member] : m_members) {
    if (member.record().entry() == entry && AcceptsWork(member.record())) {
      result.push_back(&member.record());
    }
  }
  return result;
}

bool ViewBuilder::Apply(const proto::ViewRecord& record) {
  const auto existing = m_records.find(record.key());
  if (existing != m_records.end() && existing->second.revision() >= record.revision()) {
    return false;
  }
  std::string_view name = record.key();
  bool applied = false;
  if (ConsumePrefix(&name, kEntryPrefix)) {
    applied = ApplyTo(&m_view.m_entries, name, record);
  } else if (ConsumePrefix(&name, kWorkspacePrefix)) {
    applied = ApplyTo(&m_view.m_workspaces, name, record);
  } else if (ConsumePrefix(&name, kDomainPrefix)) {
    applied = ApplyTo(&m_view.m_domains, name, record);
  } else if (ConsumePrefix(&name, kMemberPrefix)) {
    applied = ApplyTo(&m_view.m_members, name, record);
  } else if (name.starts_with(kSlicesPrefix)) {
    applied = ApplyTo(&m_view.m_packs, name, record);
  } else if (name.starts_with(kRolePrefix)) {
    applied = ApplyTo(&m_view.m_roles, name, record);
  }
  if (applied) {
    m_records[record.key()] = record;
  }
  return applied;
}

void ViewBuilder::Advance(std::int64_t revision) {
  m_view.m_revision = std::max(m_view.m_revision, revision);
}

const proto::ViewRecord* ViewBuilder::FindRecord(const std::string& key) const {
  const auto found = m_records.find(key);
  return found == m_records.end() ? nullptr : &found->second;
}

std::vector<proto::ViewRecord> ViewBuilder::RecordsAfter(std::int64_t revision) const {
  std::vector<proto::ViewRecord> result;
  for (const auto& [key, record] : m_records) {
    if (record.revision() > revision) {
      result.push_back(record);
    }
  }
  std::sort(result.begin(), result.end(),
            [](const proto::ViewRecord& a, const proto::ViewRecord& b) { return a.revision() < b.revision(); });
  return result;
}

std::shared_ptr<const View> ViewBuilder::Snapshot() const {
  return std::make_shared<const View>(m_view);
}

}  // namespace magnoliaarch
