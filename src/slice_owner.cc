#include <algorithm>

#include "magnoliaarch/assignment.h"

namespace magnoliaarch {
namespace {

// Whether the slot has been released under the given epoch or a newer one.
template <typename Id>
bool IsReleased(const std::unordered_map<Id, std::uint64_t>& released, Id id, std::uint64_t epoch) {
  const auto it = released.find(id);
  return it != released.end() && epoch <= it->second;
}

// Whether requests sent under the given epoch or an older one are in flight.
template <typename Id>
bool HasInFlight(const std::map<std::pair<Id, std::uint64_t>, std::size_t>& in_flight, Id id, std::uint64_t epoch) {
  const auto it = in_flight.lower_bound({id, 0});
  return it != in_flight.end() && it->first.first == id && it->first.second <= epoch;
}

template <typename Key>
void Decrement(std::map<Key, std::size_t>* counts, const Key& key) {
  const auto it = counts->find(key);
  if (it != counts->end() && --it->second == 0) {
    counts->erase(it);
  }
}

}  // namespace

SliceOwner::SliceOwner(IncarnationId self, std::string entry) : m_self(std::move(self)), m_entry(std::move(entry)) {}

void SliceOwner::Handle(const ViewChanged& event) {
  const View& view = *event.view;
  m_view_revision = std::max(m_view_revision, view.Revision());
  const proto::EntryRecord* entry = view.FindEntry(m_entry);
  if (entry == nullptr || !entry->keyed()) {
    m_slice_grants.clear();
    m_hot_grants.clear();
    m_pack_revisions.clear();
    m_slices = 0;
    return;
  }
  m_slices = entry->slices();
  const std::string prefix = std::string(kSlicesPrefix) + m_entry + "/";
  bool changed = false;
  for (auto it = view.Packs().lower_bound(prefix); it != view.Packs().end() && it->first.starts_with(prefix); ++it) {
    std::int64_t& known = m_pack_revisions[it->first];
    changed = changed || it->second.revision() > known;
    known = std::max(known, it->second.revision());
  }
  if (!changed) {
    return;
  }
  m_slice_grants.clear();
  m_hot_grants.clear();
  const auto grant_of = [this](const proto::SliceRecord& slice) {
    return Grant{slice.epoch(), slice.state() != proto::SLICE_STATE_OWNED,
                 slice.owner_incarnation() == m_self.number && slice.owner() == m_self.node};
  };
  for (auto it = view.Packs().lower_bound(prefix); it != view.Packs().end() && it->first.starts_with(prefix); ++it) {
    const proto::SlicePack& pack = it->second.record();
    for (int i = 0; i < pack.slices_size(); ++i) {
      const Grant grant = grant_of(pack.slices(i));
      if (grant.is_own) {
        m_slice_grants[pack.first_slice() + static_cast<std::uint32_t>(i)] = grant;
      }
    }
    for (const proto::HotKeyRecord& hot : pack.hot_keys()) {
      m_hot_grants[hot.key_hash()] = grant_of(hot.slice());
    }
  }
}

std::optional<proto::ReleaseReply> SliceOwner::Handle(const proto::ReleaseRequest& request) {
  if (request.owner_incarnation() != m_self.number || request.entry() != m_entry) {
    return std::nullopt;
  }
  bool in_flight = false;
  if (request.key_hash() != 0) {
    std::uint64_t& released = m_released_keys[request.key_hash()];
    released = std::max(released, request.epoch());
    in_flight = HasInFlight(m_key_in_flight, request.key_hash(), request.epoch());
  } else {
    std::uint64_t& released = m_released_slices[request.slice()];
    released = std::max(released, request.epoch());
    in_flight = HasInFlight(m_slice_in_flight, request.slice(), request.epoch());
  }
  proto::ReleaseReply reply;
  reply.set_entry(request.entry());
  reply.set_slice(request.slice());
  reply.set_key_hash(request.key_hash());
  reply.set_epoch(request.epoch());
  reply.set_owner_incarnation(request.owner_incarnation());
  reply.set_released(!in_flight);
  return reply;
}

SendPermit SliceOwner::Check(std::uint64_t key_hash,
                             TimePoint guaranteed_until,
                             TimePoint now,
                             std::optional<TimePoint> ends_by) const {
  SendPermit permit;
  permit.key_hash = key_hash;
  permit.slice = SliceOf(key_hash, m_slices).index;
  Grant grant;
  if (const auto hot = m_hot_grants.find(key_hash); hot != m_hot_grants.end()) {
    grant = hot->second;
    permit.hot = true;
  } else if (const auto slice = m_slice_grants.find(permit.slice); slice != m_slice_grants.end()) {
    grant = slice->second;
  }
  permit.epoch = grant.epoch;
  if (!grant.is_own || IsReleased(m_released_keys, key_hash, grant.epoch) ||
      (!permit.hot && IsReleased(m_released_slices, permit.slice, grant.epoch))) {
    permit.decision = SendDecision::kNotOwner;
  } else if (grant.releasing) {
    permit.decision = SendDecision::kReleasing;
  } else if (now >= guaranteed_until) {
    permit.decision = SendDecision::kLeaseLapsed;
  } else if (ends_by && *ends_by > guaranteed_until) {
    permit.decision = SendDecision::kDeadlineOutsideLease;
  } else {
    permit.decision = SendDecision::kAllowed;
  }
  return permit;
}

SendPermit SliceOwner::TryBeginSend(std::uint64_t key_hash,
                                    TimePoint guaranteed_until,
                                    TimePoint now,
                                    std::optional<TimePoint> ends_by) {
  const SendPermit permit = Check(key_hash, guaranteed_until, now, ends_by);
  if (permit.decision == SendDecision::kAllowed) {
    if (!permit.hot) {
      ++m_slice_in_flight[{permit.slice, permit.epoch}];
    }
    ++m_key_in_flight[{key_hash, permit.epoch}];
    ++m_in_flight;
  }
  return permit;
}

void SliceOwner::EndSend(const SendPermit& permit) {
  if (permit.decision != SendDecision::kAllowed) {
    return;
  }
  if (!permit.hot) {
    Decrement(&m_slice_in_flight, {permit.slice, permit.epoch});
  }
  Decrement(&m_key_in_flight, {permit.key_hash, permit.epoch});
  --m_in_flight;
}

bool SliceOwner::IsDrained(std::int64_t draining_revision) const {
  return m_view_revision >= draining_revision && m_in_flight == 0 && m_slice_grants.empty() &&
         std::none_of(m_hot_grants.begin(), m_hot_grants.end(), [](const auto& item) { return item.second.is_own; });
}

std::size_t SliceOwner::OwnedSlots() const {
  const auto slices = std::count_if(m_slice_grants.begin(), m_slice_grants.end(), [this](const auto& item) {
    return !IsReleased(m_released_slices, item.first, item.second.epoch);
  });
  const auto keys = std::count_if(m_hot_grants.begin(), m_hot_grants.end(), [this](const auto& item) {
    return item.second.is_own && !IsReleased(m_released_keys, item.first, item.second.epoch);
  });
  return static_cast<std::size_t>(slices + keys);
}

}  // namespace magnoliaarch
