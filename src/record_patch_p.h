// Encodes records as a patch of an earlier value.

#ifndef MAGNOLIAARCH_RECORD_PATCH_P_H_
#define MAGNOLIAARCH_RECORD_PATCH_P_H_

#include <optional>

#include "magnolia.pb.h"

namespace magnoliaarch {

// The record as a patch of the earlier one, or the record itself when a patch is not possible or saves less than half
// of the bytes.
proto::ViewRecord PatchRecord(const proto::ViewRecord* earlier, const proto::ViewRecord& record);

// Applies a patch and returns the whole record; nullopt when the patch was made from another record or is malformed.
std::optional<proto::ViewRecord> ResolvePatch(const proto::ViewRecord* earlier, const proto::ViewRecord& patch);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_RECORD_PATCH_P_H_
