#include <algorithm>

#include <fmt/format.h>

#include "assignment_p.h"
#include "lease_p.h"

namespace magnoliaarch {
namespace {

constexpr Duration kReleaseResendInterval = std::chrono::milliseconds(50);
// Plans also run at this interval without an event, to notice keys that turned cold and to use the balance budget.
constexpr Duration kPlanInterval = std::chrono::seconds(1);
constexpr Duration kBalanceWindow = std::chrono::minutes(1);
// Reported rates older than this count as zero.
constexpr Duration kKeyRateMaxAge = std::chrono::seconds(10);

void Grant(proto::SliceRecord* slice, const std::string& node, std::uint64_t incarnation) {
  slice->set_owner(node);
  slice->set_owner_incarnation(incarnation);
  slice->set_epoch(slice->epoch() + 1);
  slice->set_state(node.empty() ? proto::SLICE_STATE_UNASSIGNED : proto::SLICE_STATE_OWNED);
  slice->clear_destination();
  slice->clear_destination_incarnation();
}

void MarkReleasing(proto::SliceRecord* slice, const std::string& node, std::uint64_t incarnation) {
  slice->set_state(proto::SLICE_STATE_RELEASING);
  slice->set_destination(node);
  slice->set_destination_incarnation(incarnation);
}

}  // namespace

bool Assigner::IsServing(const std::string& node, std::uint64_t incarnation) const {
  const proto::MemberRecord* member = m_view->FindMember(node);
  return member != nullptr && member->incarnation() == incarnation && member->entry() == m_settings.entry &&
         m_view->AcceptsWork(*member);
}

bool Assigner::IsReleased(const SlotId& id, const proto::SliceRecord& slice) const {
  if (slice.state() != proto::SLICE_STATE_RELEASING) {
    return false;
  }
  const auto it = m_released_epochs.find(id);
  return (it != m_released_epochs.end() && it->second == slice.epoch()) || !m_settings.rules.release_before_grant;
}

void Assigner::PlanPack(TimePoint now, AssignerActions* out) {
  if (m_pack_call_pending || now < m_pack_retry_at || m_view == nullptr) {
    return;
  }
  if (!m_pack_known) {
    m_pack_call_pending = true;
    out->push_back(ReadPack{m_key});
    return;
  }
  if (!m_plan_due && now < m_next_plan) {
    return;
  }
  m_plan_due = false;
  m_next_plan = now + kPlanInterval;
  const proto::EntryRecord* entry = m_view->FindEntry(m_settings.entry);
  if (entry == nullptr || !entry->keyed() || entry->slices() != m_settings.slices) {
    return;
  }
  proto::SlicePack next = m_pack;
  if (m_pack_revision == 0) {
    CreatePack(&next);
  }
  std::set<std::string> granted;
  PlanGrants(&next, &granted);
  PlanHotKeys(&next, now);
  PlanDrains(&next);
  PlanBalance(&next, now);
  if (m_pack_revision != 0 && next.SerializeAsString() == m_pack.SerializeAsString()) {
    return;
  }
  WritePack write{m_key, {}, m_pack_revision, {}, NextWriteId()};
  next.set_write_id(write.write_id);
  write.pack = next;
  for (const std::string& node : granted) {
    write.member_revisions.emplace_back(node, m_view->Members().at(node).revision());
  }
  m_pending_pack = std::move(next);
  m_pack_call_pending = true;
  out->push_back(std::move(write));
}

void Assigner::CreatePack(proto::SlicePack* pack) const {
  pack->set_entry(m_settings.entry);
  pack->set_first_slice(m_settings.first_slice);
  const std::uint32_t count = std::min(kSlicesPerPack, m_settings.slices - m_settings.first_slice);
  for (std::uint32_t i = 0; i < count; ++i) {
    pack->add_slices();
  }
}

void Assigner::PlanGrants(proto::SlicePack* next, std::set<std::string>* granted) const {
  SlotCounts slot_counts = CountSlots(*next);
  // Isolated keys that turned cold and were released return to their slice. The slice's epoch rises above the key's, so
  // that the epochs under which the key is served keep growing.
  google::protobuf::RepeatedPtrField<proto::HotKeyRecord> kept;
  for (proto::HotKeyRecord& hot : *next->mutable_hot_keys()) {
    const SlotId id{SliceOf(hot.key_hash(), m_settings.slices).index, hot.key_hash()};
    proto::SliceRecord* slice = next->mutable_slices(static_cast<int>(id.first - m_settings.first_slice));
    const bool rejoins_slice = IsReleased(id, hot.slice()) && hot.slice().destination().empty() &&
                               slice->state() == proto::SLICE_STATE_OWNED && !IsSuspected(*slice);
    if (rejoins_slice) {
      slice->set_epoch(std::max(slice->epoch(), hot.slice().epoch()) + 1);
    } else {
      *kept.Add() = hot;
    }
  }
  *next->mutable_hot_keys() = std::move(kept);
  ForEachSlot(next, m_settings.slices,
              [&](const SlotId& id, proto::SliceRecord* slice) { PlanSlot(id, slice, &slot_counts, granted); });
}

void Assigner::PlanSlot(const SlotId& id,
                        proto::SliceRecord* slice,
                        SlotCounts* slot_counts,
                        std::set<std::string>* granted) const {
  const bool hot = id.second != 0;
  const bool lost = slice->state() != proto::SLICE_STATE_UNASSIGNED && IsExpired(*slice);
  const bool released = IsReleased(id, *slice);
  if (slice->state() != proto::SLICE_STATE_UNASSIGNED && !lost && !released) {
    return;
  }
  std::string node;
  if (released && m_pool.contains(slice->destination()) &&
      IsServing(slice->destination(), slice->destination_incarnation())) {
    node = slice->destination();
  } else {
    node = PickMember(*slot_counts, hot, "");
    if (!node.empty()) {
      ++(hot ? (*slot_counts)[node].second : (*slot_counts)[node].first);
    }
  }
  if (node.empty()) {
    if (slice->state() != proto::SLICE_STATE_UNASSIGNED) {
      Grant(slice, "", 0);
    }
    return;
  }
  Grant(slice, node, m_pool.at(node)->incarnation());
  granted->insert(node);
}

bool Assigner::IsCold(std::uint64_t key_hash, TimePoint now) const {
  const auto it = m_key_rates.find(key_hash);
  const TimePoint last_hot_at = it == m_key_rates.end() ? *m_started : std::max(it->second.last_hot_at, *m_started);
  return now - last_hot_at > m_settings.merge_delay;
}

void Assigner::PlanHotKeys(proto::SlicePack* next, TimePoint now) const {
  if (!m_started) {
    return;
  }
  std::set<std::uint64_t> isolated;
  for (proto::HotKeyRecord& hot : *next->mutable_hot_keys()) {
    isolated.insert(hot.key_hash());
    if (hot.slice().state() == proto::SLICE_STATE_OWNED && IsCold(hot.key_hash(), now) && !IsSuspected(hot.slice())) {
      MarkReleasing(hot.mutable_slice(), "", 0);
    }
  }
  std::vector<std::pair<double, std::uint64_t>> isolation_candidates;
  for (const auto& [key_hash, rate] : m_key_rates) {
    const std::uint32_t slice = SliceOf(key_hash, m_settings.slices).index;
    if (rate.requests_per_second >= m_settings.isolation_threshold_rps && now - rate.reported_at < kKeyRateMaxAge &&
        !isolated.contains(key_hash) && !IsCold(key_hash, now) && slice >= m_settings.first_slice &&
        slice - m_settings.first_slice < static_cast<std::uint32_t>(next->slices_size())) {
      isolation_candidates.emplace_back(rate.requests_per_second, key_hash);
    }
  }
  std::sort(isolation_candidates.rbegin(), isolation_candidates.rend());
  for (const auto& [rate, key_hash] : isolation_candidates) {
    const proto::SliceRecord& slice =
        next->slices(static_cast<int>(SliceOf(key_hash, m_settings.slices).index - m_settings.first_slice));
    if (next->hot_keys_size() >= m_settings.max_hot_keys || slice.state() != proto::SLICE_STATE_OWNED ||
        IsSuspected(slice)) {
      continue;
    }
    // The key keeps its owner and epoch, so the owner has nothing to release. A later plan may move the key.
    proto::HotKeyRecord* hot = next->add_hot_keys();
    hot->set_key_hash(key_hash);
    *hot->mutable_slice() = slice;
  }
}

void Assigner::PlanDrains(proto::SlicePack* next) const {
  SlotCounts slot_counts = CountSlots(*next);
  int moves_in_progress = 0;
  ForEachSlot(next, m_settings.slices, [&](const SlotId&, const proto::SliceRecord* slice) {
    moves_in_progress += slice->state() == proto::SLICE_STATE_RELEASING ? 1 : 0;
  });
  ForEachSlot(next, m_settings.slices, [&](const SlotId& id, proto::SliceRecord* slice) {
    if (moves_in_progress >= m_settings.max_moves_in_progress || slice->state() != proto::SLICE_STATE_OWNED ||
        IsSuspected(*slice) || IsServing(slice->owner(), slice->owner_incarnation()) ||
        m_view->Revision() < m_pack_revision) {
      return;
    }
    const std::string node = PickMember(slot_counts, id.second != 0, slice->owner());
    MarkReleasing(slice, node, node.empty() ? 0 : m_pool.at(node)->incarnation());
    if (!node.empty()) {
      ++(id.second != 0 ? slot_counts[node].second : slot_counts[node].first);
    }
    ++moves_in_progress;
  });
}

void Assigner::PlanBalance(proto::SlicePack* next, TimePoint now) {
  while (!m_balance_moves.empty() && now - m_balance_moves.front() > kBalanceWindow) {
    m_balance_moves.pop_front();
  }
  while (static_cast<int>(m_balance_moves.size()) < m_settings.balance_moves_per_minute && !m_pool.empty()) {
    const SlotCounts slot_counts = CountSlots(*next);
    bool moved = false;
    for (const bool hot : {true, false}) {
      const auto count = [&slot_counts, hot](const std::string& node) {
        return hot ? slot_counts.at(node).second : slot_counts.at(node).first;
      };
      const std::string least_loaded = PickMember(slot_counts, hot, "");
      ForEachSlot(next, m_settings.slices, [&](const SlotId& id, proto::SliceRecord* slice) {
        if (!moved && (id.second != 0) == hot && slice->state() == proto::SLICE_STATE_OWNED && !IsSuspected(*slice) &&
            m_pool.contains(slice->owner()) && count(slice->owner()) >= count(least_loaded) + 2) {
          // Only the most loaded owners give slots away, so that every move reduces the imbalance.
          const bool is_most_loaded = std::all_of(m_pool.begin(), m_pool.end(), [&](const auto& member) {
            return count(member.first) <= count(slice->owner());
          });
          if (is_most_loaded) {
            MarkReleasing(slice, least_loaded, m_pool.at(least_loaded)->incarnation());
            moved = true;
          }
        }
      });
    }
    if (!moved) {
      return;
    }
    m_balance_moves.push_back(now);
  }
}

Assigner::SlotCounts Assigner::CountSlots(const proto::SlicePack& pack) const {
  SlotCounts slot_counts;
  for (const auto& [node, member] : m_pool) {
    slot_counts[node] = {0, 0};
  }
  ForEachSlot(&pack, m_settings.slices, [&](const SlotId& id, const proto::SliceRecord* slice) {
    const auto it =
        slot_counts.find(slice->state() == proto::SLICE_STATE_RELEASING ? slice->destination() : slice->owner());
    if (it != slot_counts.end() && (slice->state() == proto::SLICE_STATE_RELEASING || !IsExpired(*slice))) {
      ++(id.second != 0 ? it->second.second : it->second.first);
    }
  });
  return slot_counts;
}

std::string Assigner::PickMember(const SlotCounts& slot_counts, bool hot, const std::string& exclude) const {
  std::string best;
  std::tuple<int, int, std::uint64_t> best_rank;
  for (const auto& [node, counts] : slot_counts) {
    if (node == exclude || !m_pool.contains(node)) {
      continue;
    }
    // Ties are broken by a hash of pack and node, so that the packs do not all prefer the same members.
    const std::tuple<int, int, std::uint64_t> member_rank{
        hot ? counts.second : counts.first, hot ? counts.first : counts.second, HashKey(m_key + '\n' + node)};
    if (best.empty() || member_rank < best_rank) {
      best = node;
      best_rank = member_rank;
    }
  }
  return best;
}

void Assigner::ApplyConfirmedPack(const proto::SlicePack& pack, std::int64_t revision, AssignerActions* out) {
  if (revision <= m_pack_revision) {
    return;
  }
  m_plan_due = true;
  if (!m_pending_pack.write_id().empty() && pack.write_id() == m_pending_pack.write_id()) {
    ReportChanges(pack, out);
  }
  m_pack = pack;
  m_pack_revision = revision;
  std::set<SlotId> releasing;
  ForEachSlot(&m_pack, m_settings.slices, [&](const SlotId& id, const proto::SliceRecord* slice) {
    if (slice->state() == proto::SLICE_STATE_RELEASING) {
      releasing.insert(id);
    }
  });
  std::erase_if(m_released_epochs, [&releasing](const auto& item) { return !releasing.contains(item.first); });
  std::erase_if(m_release_sent_at, [&releasing](const auto& item) { return !releasing.contains(item.first); });
}

void Assigner::ReportChanges(const proto::SlicePack& pack, AssignerActions* out) {
  std::map<SlotId, proto::SliceRecord> before;
  ForEachSlot(&m_pack, m_settings.slices,
              [&before](const SlotId& id, const proto::SliceRecord* slice) { before[id] = *slice; });
  const auto report = [&](const char* action, const SlotId& id, std::uint64_t old_epoch, std::uint64_t new_epoch) {
    out->push_back(AssignmentChange{action, fmt::format("{}/{}/{:x}", m_settings.entry, id.first, id.second), old_epoch,
                                    new_epoch});
  };
  ForEachSlot(&pack, m_settings.slices, [&](const SlotId& id, const proto::SliceRecord* slice) {
    if (id.second != 0 && !before.contains(id)) {
      report("slice.isolate", id, 0, slice->epoch());
      return;
    }
    const proto::SliceRecord old = before[id];
    before.erase(id);
    if (slice->epoch() != old.epoch()) {
      if (old.state() == proto::SLICE_STATE_UNASSIGNED) {
        ++m_counters.placements;
      } else if (IsExpired(old)) {
        ++m_counters.takeovers;
      } else if (old.state() == proto::SLICE_STATE_RELEASING) {
        ++m_counters.moves;
      }
      report("slice.grant", id, old.epoch(), slice->epoch());
    } else if (slice->state() != old.state()) {
      report("slice.release", id, old.epoch(), slice->epoch());
    }
  });
  for (const auto& [id, old] : before) {
    if (id.second != 0) {
      report("slice.merge", id, old.epoch(), 0);
    }
  }
}

void Assigner::SendReleaseRequests(TimePoint now, AssignerActions* out) {
  ForEachSlot(&m_pack, m_settings.slices, [&](const SlotId& id, const proto::SliceRecord* slice) {
    if (slice->state() != proto::SLICE_STATE_RELEASING || IsReleased(id, *slice) || IsExpired(*slice)) {
      return;
    }
    const auto [sent, added] = m_release_sent_at.try_emplace(id, now);
    if (!added && now - sent->second < kReleaseResendInterval) {
      return;
    }
    sent->second = now;
    SendDatagram datagram{slice->owner(), {}};
    SetIncarnation(datagram.message.mutable_sender(), m_settings.self);
    proto::ReleaseRequest* request = datagram.message.mutable_release_request();
    request->set_entry(m_settings.entry);
    request->set_slice(id.first);
    request->set_key_hash(id.second);
    request->set_epoch(slice->epoch());
    request->set_owner_incarnation(slice->owner_incarnation());
    out->push_back(std::move(datagram));
  });
}

std::string Assigner::NextWriteId() {
  return fmt::format("{}#{:x}#a{}/{}/{}", m_settings.self.node, m_settings.self.number, m_settings.term, m_key,
                     ++m_write_number);
}

}  // namespace magnoliaarch
