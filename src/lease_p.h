// Helpers shared by the lease and assignment state machines.

#ifndef MAGNOLIAARCH_SRC_LEASE_P_H_
#define MAGNOLIAARCH_SRC_LEASE_P_H_

#include <algorithm>

#include "magnoliaarch/lease.h"

namespace magnoliaarch {

inline IncarnationId ToIncarnationId(const proto::Incarnation& incarnation) {
  return IncarnationId{incarnation.node(), incarnation.number()};
}

inline void SetIncarnation(proto::Incarnation* target, const IncarnationId& id) {
  target->set_node(id.node);
  target->set_number(id.number);
}

inline proto::PeerMessage MessageFrom(const IncarnationId& self) {
  proto::PeerMessage message;
  SetIncarnation(message.mutable_sender(), self);
  return message;
}

inline bool IsOwnedBy(const proto::SliceRecord& slice, const IncarnationId& owner) {
  return slice.owner_incarnation() == owner.number && slice.owner() == owner.node;
}

// Whether the incarnation owns a slice or an isolated key of the pack.
inline bool HasOwner(const proto::SlicePack& pack, const IncarnationId& owner) {
  return std::any_of(pack.slices().begin(), pack.slices().end(),
                     [&owner](const proto::SliceRecord& slice) { return IsOwnedBy(slice, owner); }) ||
         std::any_of(pack.hot_keys().begin(), pack.hot_keys().end(),
                     [&owner](const proto::HotKeyRecord& hot) { return IsOwnedBy(hot.slice(), owner); });
}

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_LEASE_P_H_
