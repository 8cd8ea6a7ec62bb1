// Packed key tables as differences to an earlier version. A plan changes a few of many ranges, and every node gets each
// change.

#ifndef MAGNOLIAARCH_SRC_MESH_TABLE_PATCH_P_H_
#define MAGNOLIAARCH_SRC_MESH_TABLE_PATCH_P_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "mesh.pb.h"

namespace magnoliaarch {

// The difference between two packed tables; nothing when one of them cannot be read. Without its base revision.
std::optional<proto::TablePatch> MakeTablePatch(std::string_view earlier, std::string_view later);

// The later packed table; nothing when the patch does not fit the earlier one.
std::optional<std::string> ApplyTablePatch(std::string_view earlier, const proto::TablePatch& patch);

// The versions of key tables that were sent lately, from which patches for their receivers are made.
class SentTables {
 public:
  // Puts a patch in place of the item's value, if the version that the receiver has is known and the patch is shorter.
  void ReplaceWithPatch(std::int64_t receiver_revision, proto::ViewItem* item);
  void Clear() { m_versions.clear(); }

 private:
  struct Version {
    std::int64_t revision = 0;
    std::string value;
    std::optional<proto::TablePatch> patch_to_newest;  // made for the first receiver that needs it
  };
  std::map<std::string, std::deque<Version>> m_versions;  // by key, oldest first
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TABLE_PATCH_P_H_
