// Audit log in the store: author, time, subject and versions of each change.

#ifndef MAGNOLIAARCH_AUDIT_H_
#define MAGNOLIAARCH_AUDIT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "magnolia.pb.h"
#include "magnoliaarch/store.h"

namespace magnoliaarch {

// Maximum deletions in one pruning transaction. etcd accepts 128 operations in a transaction by default.
inline constexpr std::size_t kAuditPruneBatchSize = 100;

// Maximum length of an audit field in bytes; longer text is truncated.
inline constexpr std::size_t kAuditMaxFieldBytes = 4096;

// Contents of the audit record of one change. No field may contain a secret; text that looks like a workspace key is
// redacted.
struct AuditEvent {
  std::uint64_t unix_ms = 0;
  std::string author;
  std::string action;  // for example "entry.put", "key.withdraw", "slice.grant"
  std::string subject;
  std::string old_version;
  std::string new_version;
};

// Store key of an audit record. Keys sort newest first. The id is the write id of the change and makes the key unique.
std::string AuditKey(std::uint64_t unix_ms, std::string_view id);

// Adds the audit record to the transaction of the change, so that both are committed atomically.
void AddAuditRecord(const AuditEvent& event, std::string_view id, StoreTxn* txn);

// Replaces the secret part of each workspace key (mk_<id>_<secret>) in the text with "***".
std::string RedactWorkspaceKeys(std::string_view text);

// Returns at most `limit` audit records that are not older than `since_ms` (Unix time in milliseconds), newest first.
// Store range reads have no result limit, so the store is read in windows of about 4.7 hours, from `now_ms` back to
// `since_ms`. Returns the error of the store if a read fails.
absl::StatusOr<std::vector<proto::AuditRecord>> ReadAudit(Store& store,
                                                          std::uint64_t since_ms,
                                                          std::uint64_t now_ms,
                                                          std::size_t limit);

// Deletes up to kAuditPruneBatchSize records that are older than `older_than_ms` (Unix time in milliseconds). A record
// can outlive this time by about 4.7 hours, the length of a read window. Returns the number of deleted records; less
// than kAuditPruneBatchSize means that nothing is left to prune. Safe to repeat after a lost answer. Returns the error
// of the store if a call fails.
absl::StatusOr<std::size_t> PruneAuditBatch(Store& store, std::uint64_t older_than_ms);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_AUDIT_H_
