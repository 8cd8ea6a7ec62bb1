#include "ownership_guard_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

// Maximum number of distinct keys counted between two reports, to bound the memory. A hot key that first occurs after
// this many others is not reported.
constexpr std::size_t kMaxCountedKeys = 4096;
constexpr std::size_t kMaxReportedKeys = 16;

}  // namespace

OwnershipGuard::OwnershipGuard(IncarnationId self, std::string entry)
    : m_entry(entry), m_slice_owner(std::move(self), std::move(entry)) {}

void OwnershipGuard::SetView(const std::shared_ptr<const View>& view) {
  std::lock_guard lock(m_mutex);
  m_slice_owner.Handle(ViewChanged{view});
  const proto::EntryRecord* entry = view->FindEntry(m_entry);
  m_targets_bound_work = entry != nullptr && (entry->checks_fences() || entry->honours_deadline());
}

void OwnershipGuard::SetLease(TimePoint guaranteed_until, TimePoint now) {
  std::lock_guard lock(m_mutex);
  if (now >= m_guaranteed_until) {
    ++m_lease_generation;
  }
  m_guaranteed_until = guaranteed_until;
}

std::optional<proto::ReleaseReply> OwnershipGuard::Release(const proto::ReleaseRequest& request) {
  std::lock_guard lock(m_mutex);
  return m_slice_owner.Handle(request);
}

std::vector<proto::KeyLoad> OwnershipGuard::TakeKeyLoads(Duration period, double min_rps) {
  std::map<std::uint64_t, std::uint64_t> counts;
  {
    std::lock_guard lock(m_mutex);
    counts.swap(m_key_counts);
  }
  const double seconds = std::chrono::duration<double>(period).count();
  std::vector<proto::KeyLoad> loads;
  for (const auto& [key_hash, count] : counts) {
    const double rate = static_cast<double>(count) / seconds;
    if (rate < min_rps) {
      continue;
    }
    proto::KeyLoad load;
    load.set_key_hash(key_hash);
    load.set_requests_per_second(rate);
    loads.push_back(load);
  }
  std::sort(loads.begin(), loads.end(), [](const proto::KeyLoad& a, const proto::KeyLoad& b) {
    return a.requests_per_second() > b.requests_per_second();
  });
  loads.resize(std::min(loads.size(), kMaxReportedKeys));
  return loads;
}

std::optional<ErrorKind> OwnershipGuard::Check(const Request& request, TimePoint now) const {
  if (!request.keyed) {
    return std::nullopt;
  }
  std::lock_guard lock(m_mutex);
  const SendPermit permit = m_slice_owner.Check(request.key_hash, m_guaranteed_until, now, EndsBy(request));
  return ErrorFor(permit.decision);
}

std::optional<ErrorKind> OwnershipGuard::BeginSend(const Request& request, TimePoint now) {
  if (!request.keyed) {
    return std::nullopt;
  }
  std::lock_guard lock(m_mutex);
  if (m_permits.contains(request.id)) {
    return std::nullopt;
  }
  const SendPermit permit = m_slice_owner.TryBeginSend(request.key_hash, m_guaranteed_until, now, EndsBy(request));
  if (permit.decision != SendDecision::kAllowed) {
    return ErrorFor(permit.decision);
  }
  m_permits.emplace(request.id, permit);
  const auto counted = m_key_counts.find(request.key_hash);
  if (counted != m_key_counts.end()) {
    ++counted->second;
  } else if (m_key_counts.size() < kMaxCountedKeys) {
    m_key_counts.emplace(request.key_hash, 1);
  }
  return std::nullopt;
}

void OwnershipGuard::EndSend(RequestId id) {
  std::lock_guard lock(m_mutex);
  const auto permit = m_permits.find(id);
  if (permit == m_permits.end()) {
    return;
  }
  m_slice_owner.EndSend(permit->second);
  m_permits.erase(permit);
}

TimePoint OwnershipGuard::GuaranteedUntil() const {
  std::lock_guard lock(m_mutex);
  return m_guaranteed_until;
}

std::uint64_t OwnershipGuard::LeaseGeneration() const {
  std::lock_guard lock(m_mutex);
  return m_lease_generation;
}

bool OwnershipGuard::IsDrained(std::int64_t draining_revision) const {
  std::lock_guard lock(m_mutex);
  return m_slice_owner.IsDrained(draining_revision);
}

std::size_t OwnershipGuard::OwnedSlots() const {
  std::lock_guard lock(m_mutex);
  return m_slice_owner.OwnedSlots();
}

std::size_t OwnershipGuard::InFlight() const {
  std::lock_guard lock(m_mutex);
  return m_slice_owner.InFlight();
}

// Returns nothing for targets that honour deadlines or check fences. The work of all other targets must have ended
// before the lease can lapse.
std::optional<TimePoint> OwnershipGuard::EndsBy(const Request& request) const {
  return m_targets_bound_work ? std::nullopt : std::optional<TimePoint>(request.deadline);
}

std::optional<ErrorKind> OwnershipGuard::ErrorFor(SendDecision decision) {
  switch (decision) {
    case SendDecision::kAllowed:
      return std::nullopt;
    case SendDecision::kNotOwner:
    case SendDecision::kReleasing:
      return ErrorKind::kWrongOwner;
    case SendDecision::kLeaseLapsed:
    case SendDecision::kDeadlineOutsideLease:
      return ErrorKind::kLeaseLapsed;
  }
  return ErrorKind::kInternal;
}

}  // namespace magnoliaarch
