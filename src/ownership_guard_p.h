// Before each send, the egress gate checks here that this node still owns the key.

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

// Shares the slice ownership of this node between the control thread, which receives grants, releases and lease
// renewals, and the egress thread, which sends. Both threads use one lock, because a release must not be acknowledged
// between the check and the send of a request.
class OwnershipGuard {
 public:
  OwnershipGuard(IncarnationId self, std::string entry);

  // ---- Control thread ----
  void SetView(const std::shared_ptr<const View>& view);
  void SetLease(TimePoint guaranteed_until, TimePoint now);
  std::optional<proto::ReleaseReply> Release(const proto::ReleaseRequest& request);
  // Returns the keys that were sent to the target most often since the last call, with their request rates, and resets
  // the counts. Keys with fewer than `min_rps` requests per second are omitted.
  std::vector<proto::KeyLoad> TakeKeyLoads(Duration period, double min_rps);

  // Returns why the request may not be sent now, or nothing when it may. Does not count the request.
  std::optional<ErrorKind> Check(const Request& request, TimePoint now) const;
  // Same as Check, called immediately before the bytes are sent; counts the request as in flight until EndSend.
  std::optional<ErrorKind> BeginSend(const Request& request, TimePoint now);
  void EndSend(RequestId id);
  TimePoint GuaranteedUntil() const;
  // Increases each time the lease has lapsed, so that the gate can detect an interruption.
  std::uint64_t LeaseGeneration() const;

  // Whether no request is in flight and no slot is granted to this incarnation, according to a view that is complete up
  // to `draining_revision`.
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
