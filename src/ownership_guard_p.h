// What the egress gate asks before it sends: does this node still own the key.

#ifndef MAGNOLIAARCH_SRC_OWNERSHIP_GUARD_P_H_
#define MAGNOLIAARCH_SRC_OWNERSHIP_GUARD_P_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "magnoliaarch/assignment.h"
#include "magnoliaarch/error.h"
#include "magnoliaarch/lease.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"

namespace magnoliaarch {

// Shares the owner's side of assignment between the control thread, which learns of grants, releases and lease
// renewals, and the egress thread, which sends. A lock holds them together, because a release must not be answered
// between the check and the send of one request.
class OwnershipGuard {
 public:
  OwnershipGuard(IncarnationId self, std::string entry);

  // ---- Control thread ----
  void SetView(const std::shared_ptr<const View>& view);
  void SetLease(TimePoint guaranteed_until, TimePoint now);
  std::optional<proto::ReleaseReply> Release(const proto::ReleaseRequest& request);
  // Requests per second of the hottest keys sent to the target since the last call; resets the counts.
  std::vector<proto::KeyLoad> TakeKeyLoads(Duration period, double min_rps);

  // ---- Egress thread ----
  // Why the request may not be sent now; nothing when it may. Does not count the request.
  std::optional<ErrorKind> Check(const Request& request, TimePoint now) const;
  // As Check, immediately before the bytes are sent; counts the request as in flight until EndSend.
  std::optional<ErrorKind> BeginSend(const Request& request, TimePoint now);
  void EndSend(RequestId id);
  TimePoint GuaranteedUntil() const;
  // Grows each time the lease lapsed, so that the gate knows that it was broken.
  std::uint64_t LeaseGeneration() const;

  // Whether no slot names this incarnation and no request is in flight, by a view that is complete up to the revision.
  bool IsDrained(std::int64_t draining_revision) const;
  std::size_t OwnedSlots() const;
  std::size_t InFlight() const;

 private:
  std::optional<TimePoint> EndsBy(const Request& request) const;
  static std::optional<ErrorKind> ErrorFor(SendDecision decision);

  const std::string m_entry;
  mutable std::mutex m_mutex;
  SliceOwner m_slice_owner;
  TimePoint m_guaranteed_until;
  bool m_targets_bound_work = false;  // targets check fences or honour deadlines
  std::uint64_t m_lease_generation = 1;
  std::map<RequestId, SendPermit> m_permits;
  std::map<std::uint64_t, std::uint64_t> m_key_counts;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_OWNERSHIP_GUARD_P_H_
