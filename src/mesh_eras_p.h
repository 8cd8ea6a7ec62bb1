// Eras of the store. A store that comes back from an older copy starts a new era and gives out revisions again. A
// revision therefore holds the era in its high bits and the store's number in the low ones, and a fence the era of its
// table. Era 0 belongs to stores that do not count eras; its revisions and fences are the plain numbers.

#ifndef MAGNOLIAARCH_SRC_MESH_ERAS_P_H_
#define MAGNOLIAARCH_SRC_MESH_ERAS_P_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "magnoliaarch/store.h"
#include "mesh.pb.h"

namespace magnoliaarch {

// Returns nullopt if the era or the number is negative or has too many bits (13 and 44).
std::optional<std::int64_t> MakeRevision(std::int64_t era, std::int64_t number);
std::int64_t EraOf(std::int64_t revision);
std::int64_t NumberOf(std::int64_t revision);

// Fences stay below 2^53, so that readers that hold numbers as doubles read them exactly.
std::int64_t EraOfFence(std::uint64_t fence);
// Whether the fences of the table were given out in this era.
bool IsOfEra(const proto::KeyTable& table, std::int64_t era);
// Gives all ranges new fences of the era, which are above all fences of earlier ones. The owners stay.
void RaiseToEra(proto::KeyTable* table, std::int64_t era);

// Key that exists from the first write of the mesh in an era on. It is never removed.
std::string EraKey(std::int64_t era);
// Makes the write fail if the store executes it in a later era in which the mesh has already written: its revisions may
// mean other records there. `is_recorded`: the era's key exists; otherwise the write also creates the keys of this and
// of earlier eras. `era` must be above 0.
void BindToEra(std::int64_t era, bool is_recorded, StoreTxn* txn);

// What a coordinator knows of the nodes that may hold grants of an earlier era.
struct EraSettlement {
  std::int64_t era = 0;
  bool is_first = false;                            // this node has seen no earlier era
  bool had_role = false;                            // held the role, with its lease in force, until the era began
  bool grants_lapsed = false;                       // every lease of the earlier eras has ended
  std::set<std::string> nodes;                      // nodes that were present in the earlier eras
  std::map<std::string, proto::EraReport> reports;  // last reports of the nodes
  std::uint64_t last_fence = 0;                     // highest fence of the table that this node knew when the era began
};

enum class EraStep {
  kWait,     // a grant that this table does not show may be in force
  kAdopt,    // no such grant is possible: the table can get fences of this era
  kSettled,  // the table belongs to this era
};

// Decides whether a table that was written in an earlier era may be used in this one.
EraStep NextEraStep(const EraSettlement& state, const proto::KeyTable& table);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_ERAS_P_H_
