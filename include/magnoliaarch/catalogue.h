// The catalogue of entries, workspaces and failure domains: INI parsing, validation and differences.

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
// The deadline is bounded because the request table has to keep finished requests for longer than any deadline.
inline constexpr std::uint32_t kMinDeadlineMs = 10;
inline constexpr std::uint32_t kMaxWarmUpMs = 600'000;
// The request table of the target's node keeps requests for 30 s, which has to exceed every deadline.
inline constexpr std::uint32_t kMaxDeadlineMs = 20'000;
inline constexpr std::uint32_t kDefaultDeadlineMs = 5'000;
inline constexpr std::uint32_t kMaxBodyBytes = 64 * 1024 * 1024;
inline constexpr std::uint32_t kDefaultMaxBodyBytes = 1024 * 1024;
inline constexpr std::uint32_t kMaxRate = 100'000'000;
inline constexpr std::uint32_t kMaxConcurrentRequests = 100'000;
inline constexpr std::uint32_t kMaxWeight = 1'000;
inline constexpr std::string_view kDefaultKeyHeader = "X-Routing-Key";

// Catalogue records by name.
struct Catalogue {
  std::map<std::string, proto::EntryRecord> entries;
  std::map<std::string, proto::WorkspaceRecord> workspaces;
  std::map<std::string, proto::DomainRecord> domains;
  // Domains that a catalogue file lists without a state. Applying the file keeps their stored state.
  std::set<std::string> domains_without_state;
};

// Parses and validates a catalogue file. Returns kInvalidArgument with all errors found, one per line, in the form
// "FILE:LINE: error, expected value".
absl::StatusOr<Catalogue> ParseCatalogue(std::string_view text, const std::string& file_name);

// Returns the catalogue that results from applying a file to the stored catalogue. The entries and workspaces of the
// file replace the stored ones. Workspace keys are kept, because they are issued and withdrawn separately. A domain
// that the file omits or lists without a state keeps its stored state, so that applying a file never returns a drained
// domain to service by accident.
Catalogue MergeWithStored(const Catalogue& file, const Catalogue& stored);

enum class RecordKind { kEntry, kWorkspace, kDomain };
enum class ChangeType { kAdded, kRemoved, kChanged };

// Returns "entry", "workspace" or "domain".
std::string_view ToString(RecordKind kind);

// Old and new value of one field of a record. An empty value means that the field is absent.
struct FieldChange {
  std::string field;
  std::string old_value;
  std::string new_value;
  bool operator==(const FieldChange&) const = default;
};

// A record that differs between two catalogues. `fields` is set for kChanged only.
struct CatalogueChange {
  ChangeType type = ChangeType::kChanged;
  RecordKind kind = RecordKind::kEntry;
  std::string name;
  std::vector<FieldChange> fields;
  bool operator==(const CatalogueChange&) const = default;
};

// Returns the changes from `before` to `after`, ordered by record kind and name.
std::vector<CatalogueChange> DiffCatalogues(const Catalogue& before, const Catalogue& after);

// Formats the changes for operators, with one line for each record and one for each changed field.
std::string FormatChanges(const std::vector<CatalogueChange>& changes);

// Formats the catalogue as an INI file that ParseCatalogue accepts. The ids of workspace keys appear in comments; their
// hashes are not printed.
std::string FormatCatalogue(const Catalogue& catalogue);

// Whether the text is a valid name of an entry, workspace, domain or node: 1 to 63 lower-case letters, digits or
// hyphens, starting with a letter or digit.
bool IsValidName(std::string_view text);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_CATALOGUE_H_
