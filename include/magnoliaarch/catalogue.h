// The operators' catalogue: INI files, records, checks and differences.

#ifndef MAGNOLIAARCH_CATALOGUE_H_
#define MAGNOLIAARCH_CATALOGUE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "magnolia.pb.h"

namespace magnoliaarch {

inline constexpr std::uint32_t kMaxSlices = 65536;
// The request table keeps finished requests longer than every deadline, so the deadline is bounded.
inline constexpr std::uint32_t kMinDeadlineMs = 10;
inline constexpr std::uint32_t kMaxWarmUpMs = 600'000;
// Requests are remembered for 30 s at their target's node, which has to exceed every deadline.
inline constexpr std::uint32_t kMaxDeadlineMs = 20'000;
inline constexpr std::uint32_t kDefaultDeadlineMs = 5'000;
inline constexpr std::uint32_t kMaxBodyBytes = 64 * 1024 * 1024;
inline constexpr std::uint32_t kDefaultMaxBodyBytes = 1024 * 1024;
inline constexpr std::uint32_t kMaxRate = 100'000'000;
inline constexpr std::uint32_t kMaxConcurrentRequests = 100'000;
inline constexpr std::uint32_t kMaxWeight = 1'000;
inline constexpr std::string_view kDefaultKeyHeader = "X-Routing-Key";

// All catalogue records, by name.
struct Catalogue {
  std::map<std::string, proto::EntryRecord> entries;
  std::map<std::string, proto::WorkspaceRecord> workspaces;
  std::map<std::string, proto::DomainRecord> domains;
  // Domains that a file names without a state. Applying the file leaves their state as it is.
  std::set<std::string> domains_without_state;
};

// Parses and checks a catalogue file. The error lists every fault found, one per line, as "FILE:LINE: what is wrong,
// what was expected".
absl::StatusOr<Catalogue> ParseCatalogue(std::string_view text, const std::string& file_name);

// The catalogue that results from applying a file to the stored one. Entries and workspaces are replaced by those of
// the file. Workspace keys are issued and withdrawn separately and stay. A domain that the file does not name, or names
// without a state, stays as it is, so that applying a file never returns a domain to service by accident.
Catalogue MergeWithStored(const Catalogue& file, const Catalogue& stored);

enum class RecordKind { kEntry, kWorkspace, kDomain };
enum class ChangeType { kAdded, kRemoved, kChanged };

// "entry", "workspace" or "domain".
std::string_view ToString(RecordKind kind);

// One field of a record before and after a change; an empty text stands for an absent field.
struct FieldChange {
  std::string field;
  std::string old_value;
  std::string new_value;
  bool operator==(const FieldChange&) const = default;
};

// One record that differs between two catalogues. The fields are listed for kChanged only.
struct CatalogueChange {
  ChangeType type = ChangeType::kChanged;
  RecordKind kind = RecordKind::kEntry;
  std::string name;
  std::vector<FieldChange> fields;
  bool operator==(const CatalogueChange&) const = default;
};

// The changes that turn one catalogue into the other, ordered by record kind and name.
std::vector<CatalogueChange> DiffCatalogues(const Catalogue& before, const Catalogue& after);

// One line for each change and changed field, for operators.
std::string FormatChanges(const std::vector<CatalogueChange>& changes);

// The catalogue as an INI file that ParseCatalogue accepts. Workspace keys appear as comments with their ids only.
std::string FormatCatalogue(const Catalogue& catalogue);

// Whether the text may name an entry, workspace, domain or node: 1 to 63 characters, lower-case letters, digits and
// hyphens, starting with a letter or digit.
bool IsValidName(std::string_view text);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_CATALOGUE_H_
