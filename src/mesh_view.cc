#include "mesh_view_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "magnoliaarch/settings.h"
#include "mesh_eras_p.h"
#include "mesh_keys_p.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

constexpr std::string_view kMemberPrefix = "magnolia/member/";
constexpr std::string_view kCoordinatorKey = "magnolia/coordinator";

// Whether others can use the record: other writers may have left anything under the key.
bool IsUsable(const proto::MeshMember& member, std::string_view node) {
  const bool has_address = !member.ip().empty() || member.peer_port() != 0;
  return member.node() == node && (!has_address || IsSocketAddress(Cat(member.ip(), ":", member.peer_port())));
}

// Of two records of one service, the later roll-out and the later step compare as greater.
std::tuple<std::int64_t, int, std::uint32_t> RolloutProgress(const proto::RolloutRecord& record) {
  return {record.started_ms(), static_cast<int>(record.phase()), record.step()};
}

}  // namespace

std::string RolloutKey(std::string_view service) {
  return std::string(kRolloutRecordPrefix) + std::string(service);
}

std::string MemberKey(std::string_view node) {
  return std::string(kMemberPrefix) + std::string(node);
}

std::string CoordinatorKey() {
  return std::string(kCoordinatorKey);
}

std::string TableKey(std::string_view service) {
  return std::string(kTablePrefix) + std::string(service);
}

bool SameLife(const proto::TargetLife& a, const proto::TargetLife& b) {
  return a.node() == b.node() && a.id() == b.id() && a.start_ms() == b.start_ms();
}

const proto::KeyRange* TableState::Find(std::uint32_t key) const {
  const auto& ranges = table.ranges();
  const auto it = std::partition_point(ranges.begin(), ranges.end(),
                                       [key](const proto::KeyRange& range) { return range.last() < key; });
  return it != ranges.end() && it->first() <= key ? &*it : nullptr;
}

MeshView::MeshView(const MeshWire& wire, std::function<void(const std::string&, const absl::Status&)> on_unreadable)
    : m_wire(wire), m_operator_prefix(wire.OperatorPrefix()), m_on_unreadable(std::move(on_unreadable)) {}

void MeshView::NoteOperatorChange(const std::string& key, std::int64_t revision) {
  if (key.starts_with(m_operator_prefix)) {
    m_operator_revision = std::max(m_operator_revision, revision);
  }
}

bool MeshView::Apply(const proto::ViewItem& item) {
  if (!item.deleted()) {
    NoteOperatorChange(item.key(), item.revision());
  }
  return ApplyVersion(item.key(), item.value(), item.revision(), item.deleted(), item.lease());
}

bool MeshView::Apply(const StoreEvent& event) {
  NoteOperatorChange(event.kv.key, event.kv.mod_revision);
  return ApplyVersion(event.kv.key, event.kv.value, event.kv.mod_revision, event.deleted, event.kv.lease);
}

bool MeshView::ApplyRange(std::string_view prefix, const StoreRange& range) {
  bool changed = false;
  std::set<std::string> seen;
  for (const StoreKv& kv : range.kvs) {
    seen.insert(kv.key);
    NoteOperatorChange(kv.key, kv.mod_revision);
    changed = ApplyVersion(kv.key, kv.value, kv.mod_revision, false, kv.lease) || changed;
  }
  std::vector<std::string> missing;
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(prefix) && !item.deleted() && !seen.contains(key) && item.revision() <= range.revision &&
        EraOf(item.revision()) == EraOf(range.revision)) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    changed = ApplyVersion(key, {}, range.revision, true, 0) || changed;
  }
  return changed;
}

bool MeshView::DropEarlierEras(std::string_view prefix, std::int64_t era) {
  std::vector<std::string> dropped;
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(prefix) && !item.deleted() && EraOf(item.revision()) < era && key != m_wire.ConfigKey() &&
        !key.starts_with(kTablePrefix) && !key.starts_with(kRolloutRecordPrefix)) {
      dropped.push_back(key);
    }
  }
  for (const std::string& key : dropped) {
    // Lower than the revision of any write in this era.
    ApplyVersion(key, {}, MakeRevision(era, 0).value_or(0), true, 0);
  }
  return !dropped.empty();
}

bool MeshView::IsNewerContent(const std::string& key, const std::string& value, const std::string& other) const {
  if (value == other) {
    return false;
  }
  if (key == m_wire.ConfigKey()) {
    const absl::StatusOr<MeshConfig> config = m_wire.ParseConfig(value);
    const absl::StatusOr<MeshConfig> other_config = m_wire.ParseConfig(other);
    return config.ok() && (!other_config.ok() || config->version > other_config->version);
  }
  if (key.starts_with(kRolloutRecordPrefix)) {
    // A version that was rolled back must not be exposed again because the copy does not have the verdict.
    proto::RolloutRecord record;
    proto::RolloutRecord other_record;
    return record.ParseFromString(value) &&
           (!other_record.ParseFromString(other) || RolloutProgress(record) > RolloutProgress(other_record));
  }
  proto::KeyTable table;
  proto::KeyTable other_table;
  return key.starts_with(kTablePrefix) && UnpackTable(value, &table) &&
         (!UnpackTable(other, &other_table) || table.last_fence() > other_table.last_fence());
}

bool MeshView::OutlivesEra(const proto::ViewItem& known, const std::string& shown, std::int64_t revision) const {
  if (!known.key().starts_with(kTablePrefix)) {
    return EraOf(known.revision()) != EraOf(revision) && IsNewerContent(known.key(), known.value(), shown);
  }
  // Until it is adopted, a table of an earlier era is the copy's, or late writes have changed it meanwhile. Of two with
  // the same highest fence, the known one was written before the store went back.
  proto::KeyTable known_table;
  proto::KeyTable shown_table;
  return UnpackTable(known.value(), &known_table) && UnpackTable(shown, &shown_table) &&
         !IsOfEra(shown_table, EraOf(revision)) && known_table.last_fence() >= shown_table.last_fence();
}

bool MeshView::ApplyAbsence(const std::string& key) {
  const auto it = m_items.find(key);
  return it != m_items.end() && !it->second.deleted() && ApplyVersion(key, {}, it->second.revision(), true, 0);
}

void MeshView::Advance(std::int64_t revision) {
  m_revision = std::max(m_revision, revision);
}

bool MeshView::ApplyVersion(const std::string& key,
                            std::string value,
                            std::int64_t revision,
                            bool deleted,
                            std::int64_t lease) {
  proto::ViewItem& item = m_items[key];
  // A deletion may be known only by the revision of the read that did not find the key.
  const bool is_newer = revision > item.revision() || (revision == item.revision() && deleted && !item.deleted());
  const bool other_eras = EraOf(item.revision()) != EraOf(revision);
  const bool is_known = item.revision() != 0 && !item.deleted() && !deleted;
  if (!is_newer) {
    if (!is_known || !(other_eras || item.revision() == revision) || !IsNewerContent(key, value, item.value())) {
      return false;
    }
    // Another node has seen a newer value in an earlier era.
    revision = item.revision();
    lease = item.lease();
  } else if (is_known && OutlivesEra(item, value, revision)) {
    value = item.value();
  }
  item.set_key(key);
  item.set_value(std::move(value));
  item.set_revision(revision);
  item.set_deleted(deleted);
  item.set_lease(lease);
  m_change_sequences[key] = ++m_sequence;
  Decode(key, item);
  return true;
}

void MeshView::Decode(const std::string& key, const proto::ViewItem& item) {
  if (key == m_wire.ConfigKey()) {
    if (item.deleted()) {
      return;
    }
    absl::StatusOr<MeshConfig> config = m_wire.ParseConfig(item.value());
    if (!config.ok()) {
      m_on_unreadable(key, config.status());
    } else if (m_config == nullptr || config->version > m_config->version) {
      m_config = std::make_shared<const MeshConfig>(*std::move(config));
    }
    return;
  }
  if (const std::optional<std::string> domain = m_wire.EvacuatedDomain(key)) {
    if (item.deleted()) {
      m_evacuated.erase(*domain);
    } else {
      m_evacuated.insert(*domain);
    }
    return;
  }
  if (const std::optional<std::string> service = m_wire.RolloutService(key)) {
    DecodeRolloutOrder(*service, item);
    return;
  }
  if (key.starts_with(kRolloutRecordPrefix)) {
    DecodeRolloutRecord(key.substr(kRolloutRecordPrefix.size()), item);
    return;
  }
  if (key.starts_with(kMemberPrefix)) {
    const std::string node = key.substr(kMemberPrefix.size());
    proto::MeshMember member;
    ++m_membership_sequence;
    if (item.deleted()) {
      m_members.erase(node);
    } else if (member.ParseFromString(item.value()) && IsUsable(member, node)) {
      m_members[node] = std::move(member);
    } else {
      m_members.erase(node);
      m_on_unreadable(key, absl::InvalidArgumentError("the value is not a valid member record"));
    }
  } else if (key == kCoordinatorKey) {
    proto::MeshCoordinator coordinator;
    ++m_membership_sequence;
    if (item.deleted()) {
      m_coordinator.reset();
    } else if (coordinator.ParseFromString(item.value())) {
      m_coordinator = std::move(coordinator);
    } else {
      m_on_unreadable(key, absl::InvalidArgumentError("the value is not a valid coordinator record"));
    }
  } else if (key.starts_with(kTablePrefix)) {
    const std::string service = key.substr(kTablePrefix.size());
    TableState state;
    state.revision = item.revision();
    if (item.deleted()) {
      m_tables.erase(service);
    } else if (UnpackTable(item.value(), &state.table)) {
      m_tables[service] = std::move(state);
    } else {
      // The last readable table stays in use, under the new revision, so that a plan can replace the record.
      m_tables[service].revision = item.revision();
      m_tables[service].unreadable = true;
      m_on_unreadable(key, absl::InvalidArgumentError("the value is not a valid key table"));
    }
  }
}

void MeshView::DecodeRolloutOrder(const std::string& service, const proto::ViewItem& item) {
  if (item.deleted()) {
    m_rollout_orders.erase(service);
    return;
  }
  absl::StatusOr<RolloutOrder> order = m_wire.ParseRollout(item.value());
  if (!order.ok()) {
    // An order that cannot be read changes nothing.
    m_on_unreadable(item.key(), order.status());
    return;
  }
  order->service = service;
  m_rollout_orders[service] = RolloutOrderState{*std::move(order), item.revision()};
}

void MeshView::DecodeRolloutRecord(const std::string& service, const proto::ViewItem& item) {
  RolloutRecordState state;
  state.revision = item.revision();
  if (item.deleted()) {
    m_rollout_records.erase(service);
  } else if (state.record.ParseFromString(item.value()) && state.record.service() == service) {
    m_rollout_records[service] = std::move(state);
  } else {
    // The last readable record stays in use, under the new revision, so that it can be replaced.
    m_rollout_records[service].revision = item.revision();
    m_on_unreadable(item.key(), absl::InvalidArgumentError("the value is not a valid roll-out record"));
  }
}

const proto::ViewItem* MeshView::FindItem(const std::string& key) const {
  const auto it = m_items.find(key);
  return it == m_items.end() ? nullptr : &it->second;
}

std::vector<proto::ViewItem> MeshView::ItemsAfterRevision(std::int64_t revision) const {
  std::vector<proto::ViewItem> items;
  for (const auto& [key, item] : m_items) {
    if (item.revision() > revision) {
      items.push_back(item);
    }
  }
  return items;
}

std::vector<proto::ViewItem> MeshView::ItemsAfterSequence(std::uint64_t sequence) const {
  std::vector<proto::ViewItem> items;
  for (const auto& [key, change_sequence] : m_change_sequences) {
    if (change_sequence > sequence) {
      items.push_back(m_items.at(key));
    }
  }
  return items;
}

const proto::MeshMember* MeshView::FindMember(const std::string& node) const {
  const auto it = m_members.find(node);
  return it == m_members.end() ? nullptr : &it->second;
}

std::int64_t MeshView::MemberRevision(const std::string& node) const {
  const auto it = m_items.find(MemberKey(node));
  return it == m_items.end() || it->second.deleted() ? 0 : it->second.revision();
}

std::int64_t MeshView::CoordinatorRevision() const {
  const auto it = m_items.find(CoordinatorKey());
  return it == m_items.end() || it->second.deleted() ? 0 : it->second.revision();
}

const TableState* MeshView::Table(const std::string& service) const {
  const auto it = m_tables.find(service);
  return it == m_tables.end() ? nullptr : &it->second;
}

}  // namespace magnoliaarch
