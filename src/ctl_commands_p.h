// Commands of magnolia-ctl, without the command-line parsing.

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
inline constexpr int kCtlRefused = 1;           // refused, or in conflict with the change of another operator
inline constexpr int kCtlBadInput = 2;          // invalid usage or input; nothing was changed
inline constexpr int kCtlStoreUnavailable = 3;  // the store is unreachable, or the outcome of the change is unknown

// Maximum number of records that one apply changes. The store accepts 128 operations in a transaction; two of them
// write the catalogue version and the audit record.
inline constexpr std::size_t kMaxChangesPerApply = 126;

// Output and exit code of a command.
struct CtlResult {
  int exit_code = kCtlSuccess;
  std::string out;
  std::string err;
};

// Dependencies and parameters of a command.
struct CtlContext {
  Store* store = nullptr;
  std::string author;
  std::uint64_t now_ms = 0;
  std::function<std::string()> make_write_id;  // returns a new id for each write
  std::function<void(Duration)> sleep;         // called between attempts to commit a change
};

struct CtlReadOptions {
  std::uint32_t days = 1;
  std::size_t limit = 100;
};

// Validates a catalogue file. Needs no store.
CtlResult CtlCheck(std::string_view text, const std::string& file_name);

// Replaces the stored catalogue by the file in one transaction. With an expected version, refuses the change if the
// stored catalogue has a different version.
CtlResult CtlApply(const CtlContext& context,
                   std::string_view text,
                   const std::string& file_name,
                   std::optional<std::uint64_t> expected_version);

// Prints the changes that applying the file would make.
CtlResult CtlDiff(const CtlContext& context, std::string_view text, const std::string& file_name);

// Prints the stored catalogue as an INI file.
CtlResult CtlGet(const CtlContext& context);

// Lists committed catalogue changes, newest first.
CtlResult CtlHistory(const CtlContext& context, const CtlReadOptions& options);

// Lists audit records, newest first.
CtlResult CtlAudit(const CtlContext& context, const CtlReadOptions& options);

// Takes a failure domain out of service (`out`) or returns it to service.
CtlResult CtlDomain(const CtlContext& context, const std::string& name, bool out);

// Creates a key for a workspace and prints it. The key cannot be printed again.
CtlResult CtlKeyIssue(const CtlContext& context, const std::string& workspace);

CtlResult CtlKeyWithdraw(const CtlContext& context, const std::string& workspace, const std::string& key_id);

// Declares that a host will never run again. Its member record is marked as fenced and gone, so that the assigner can
// grant its slices to other nodes without asking its witnesses.
CtlResult CtlHostLost(const CtlContext& context, const std::string& node);

// Prints members, slices by owner, roles, domains, and unavailable slices with the reason.
CtlResult CtlStatus(const CtlContext& context, bool json);

// Fetches the status page of the mesh node at IP:PORT. Returns kInvalidArgument for a malformed address and
// kUnavailable if the node does not answer with status 200 within the timeout.
absl::StatusOr<std::string> FetchMeshStatus(const std::string& address, Duration timeout);

// Prints the status page of a mesh node: members, owners of keys, and unserved services and keys with the reason.
CtlResult CtlMeshStatus(const std::string& page);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_CTL_COMMANDS_P_H_
