// Commands of magnolia-ctl, independent of the command line.

#ifndef MAGNOLIAARCH_CTL_COMMANDS_P_H_
#define MAGNOLIAARCH_CTL_COMMANDS_P_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "magnoliaarch/store.h"

namespace magnoliaarch {

inline constexpr int kCtlSuccess = 0;
inline constexpr int kCtlRefused = 1;           // refused, or lost the race against another operator
inline constexpr int kCtlBadInput = 2;          // bad usage or bad input; nothing was changed
inline constexpr int kCtlStoreUnavailable = 3;  // the store cannot be reached, or the outcome could not be read back

// Records changed by one apply. The store accepts 128 operations in one transaction; two are the catalogue version and
// the audit record.
inline constexpr std::size_t kMaxChangesPerApply = 126;

// What a command prints and its exit code.
struct CtlResult {
  int exit_code = kCtlSuccess;
  std::string out;
  std::string err;
};

// What commands need from their surroundings.
struct CtlContext {
  Store* store = nullptr;
  std::string author;
  std::uint64_t now_ms = 0;
  std::function<std::string()> make_write_id;  // unique for each write
  std::function<void(Duration)> sleep;         // waits between attempts to learn an outcome
};

struct CtlReadOptions {
  std::uint32_t days = 1;
  std::size_t limit = 100;
};

// Checks a catalogue file without a store.
CtlResult CtlCheck(std::string_view text, const std::string& file_name);

// Makes the stored catalogue equal to the file in one transaction. With an expected version, refuses if the stored
// catalogue has another one.
CtlResult CtlApply(const CtlContext& context,
                   std::string_view text,
                   const std::string& file_name,
                   std::optional<std::uint64_t> expected_version);

// Shows what applying the file would change.
CtlResult CtlDiff(const CtlContext& context, std::string_view text, const std::string& file_name);

// Prints the stored catalogue as an INI file.
CtlResult CtlGet(const CtlContext& context);

// Lists accepted catalogue versions, newest first.
CtlResult CtlHistory(const CtlContext& context, const CtlReadOptions& options);

// Lists audit records, newest first.
CtlResult CtlAudit(const CtlContext& context, const CtlReadOptions& options);

// Takes a failure domain out of service or returns it.
CtlResult CtlDomain(const CtlContext& context, const std::string& name, bool out);

// Issues a key to a workspace and prints it; it cannot be shown again.
CtlResult CtlKeyIssue(const CtlContext& context, const std::string& workspace);

CtlResult CtlKeyWithdraw(const CtlContext& context, const std::string& workspace, const std::string& key_id);

// Records the operator's statement that a host will never run again: its member record becomes fenced and gone, which
// lets the assigner grant its slices elsewhere without its witnesses.
CtlResult CtlHostLost(const CtlContext& context, const std::string& node);

// Prints members, slices by owner, roles, domains, and why slices are unavailable.
CtlResult CtlStatus(const CtlContext& context, bool json);

// Reads the status page of a mesh node, address IP:PORT. Errors: kInvalidArgument, kUnavailable.
absl::StatusOr<std::string> FetchMeshStatus(const std::string& address, Duration timeout);

// Prints a mesh node's status page: members, owners of keys, and what is not served and why.
CtlResult CtlMeshStatus(const std::string& page);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_CTL_COMMANDS_P_H_
