// Patches between versions of packed key tables. A plan changes few of many ranges, and each change is sent to every
// node.

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

// Returns the difference between two packed tables, without its base revision; nullopt if one of them cannot be parsed.
std::optional<proto::TablePatch> MakeTablePatch(std::string_view earlier, std::string_view later);

// Returns the later packed table; nullopt if the patch does not match the earlier one.
std::optional<std::string> ApplyTablePatch(std::string_view earlier, const proto::TablePatch& patch);

// Keeps recently sent versions of key tables and makes patches from them for the receivers.
class SentTables {
 public:
  // Replaces the item's value by a patch if the receiver's version is known and the patch is shorter.
  void ReplaceWithPatch(std::int64_t receiver_revision, proto::ViewItem* item);
  void Clear() { m_versions.clear(); }

 private:
  struct Version {
    std::int64_t revision = 0;
    std::string value;
    std::optional<proto::TablePatch> patch_to_newest;  // created for the first receiver that needs it
  };
  std::map<std::string, std::deque<Version>> m_versions;  // by key, oldest first
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TABLE_PATCH_P_H_
