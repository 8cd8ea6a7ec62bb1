// Audit records in the store: who changed what, and when.

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

// Deletes in one pruning transaction. etcd accepts 128 operations in one transaction by default.
inline constexpr std::size_t kAuditPruneBatchSize = 100;

// Longest text of one audit field; longer text is cut.
inline constexpr std::size_t kAuditMaxFieldBytes = 4096;

// What one change is recorded as. No field may hold a secret; text that looks like a workspace key is masked.
struct AuditEvent {
  std::uint64_t unix_ms = 0;
  std::string author;
  std::string action;  // for example "entry.put", "key.withdraw", "slice.grant"
  std::string subject;
  std::string old_version;
  std::string new_version;
};

// Store key of a record: newest first in key order. The id makes it unique and is the write id of the change.
std::string AuditKey(std::uint64_t unix_ms, std::string_view id);

// Adds the record to the transaction that makes the change, so that both are stored or neither is.
void AddAuditRecord(const AuditEvent& event, std::string_view id, StoreTxn* txn);

// Replaces the secret part of everything in the text that looks like a workspace key.
std::string RedactWorkspaceKeys(std::string_view text);

// Records from the given time on, newest first, at most `limit`. Reads the store in windows of about 4.7 hours, from
// `now_ms` back to `since_ms`, because a range read has no limit of its own.
absl::StatusOr<std::vector<proto::AuditRecord>> ReadAudit(Store& store,
                                                          std::uint64_t since_ms,
                                                          std::uint64_t now_ms,
                                                          std::size_t limit);

// One pruning step: deletes up to kAuditPruneBatch records older than `older_than_ms`, at most about 4.7 hours late.
// Returns the number deleted; less than kAuditPruneBatch means that nothing is left to prune. A repeat after a lost
// answer is harmless.
absl::StatusOr<std::size_t> PruneAuditBatch(Store& store, std::uint64_t older_than_ms);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_AUDIT_H_
