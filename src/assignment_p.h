// Helpers shared by the parts of the assigner.

#ifndef MAGNOLIAARCH_SRC_ASSIGNMENT_P_H_
#define MAGNOLIAARCH_SRC_ASSIGNMENT_P_H_

#include <chrono>
#include <type_traits>
#include <utility>

#include "magnoliaarch/assignment.h"

namespace magnoliaarch {

inline constexpr Duration kStoreRetryInterval = std::chrono::milliseconds(50);

// Calls `function` with the id and record of every slice and isolated key of the pack.
template <typename Pack, typename Function>
void ForEachSlot(Pack* pack, std::uint32_t entry_slices, Function&& function) {
  for (int i = 0; i < pack->slices_size(); ++i) {
    const std::pair id(pack->first_slice() + static_cast<std::uint32_t>(i), std::uint64_t{0});
    if constexpr (std::is_const_v<Pack>) {
      function(id, &pack->slices(i));
    } else {
      function(id, pack->mutable_slices(i));
    }
  }
  for (int i = 0; i < pack->hot_keys_size(); ++i) {
    const std::uint64_t hash = pack->hot_keys(i).key_hash();
    const std::pair id(SliceOf(hash, entry_slices).index, hash);
    if constexpr (std::is_const_v<Pack>) {
      function(id, &pack->hot_keys(i).slice());
    } else {
      function(id, pack->mutable_hot_keys(i)->mutable_slice());
    }
  }
}

inline IncarnationId OwnerOf(const proto::SliceRecord& slice) {
  return IncarnationId{slice.owner(), slice.owner_incarnation()};
}

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_ASSIGNMENT_P_H_
