// Client interface to the key-value store: compare-and-swap transactions, leases and watches.

#ifndef MAGNOLIAARCH_STORE_H_
#define MAGNOLIAARCH_STORE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// One key with its value and version. Every write gives its key a new, higher modification revision.
struct StoreKv {
  std::string key;
  std::string value;
  std::int64_t mod_revision = 0;
  std::int64_t lease = 0;  // 0: not bound to a lease
};

// Result of a range read: the keys found and the store revision of the snapshot.
struct StoreRange {
  std::int64_t revision = 0;
  std::vector<StoreKv> kvs;
  std::size_t unreadable = 0;  // entries that could not be parsed and were left out
};

// Condition of a transaction: the key has this modification revision; 0 means that the key does not exist.
struct StoreCompare {
  std::string key;
  std::int64_t mod_revision = 0;
};

struct StorePut {
  std::string key;
  std::string value;
  std::int64_t lease = 0;
};

// Writes that are applied atomically if every condition holds.
struct StoreTxn {
  std::vector<StoreCompare> compares;
  std::vector<StorePut> puts;
  std::vector<std::string> deletes;
};

struct StoreTxnResult {
  bool succeeded = false;     // false: a condition failed and nothing was written
  std::int64_t revision = 0;  // store revision after the transaction
};

// One change delivered by a watch.
struct StoreEvent {
  bool deleted = false;
  StoreKv kv;
};

// Every change up to and including the revision since the previous batch. An empty batch is a progress notification.
struct StoreWatchBatch {
  std::int64_t revision = 0;
  std::vector<StoreEvent> events;
  std::size_t unreadable = 0;  // entries that could not be parsed and were left out
};

// Key-value store client. Calls block; an object must not be shared between threads. Errors: kUnavailable if the call
// definitely had no effect, kDeadlineExceeded or kUnknown if a write may have been applied, kInvalidArgument if the
// store rejected the call, kOutOfRange if a watch starts at a compacted revision, kNotFound if the lease has expired.
class Store {
 public:
  virtual ~Store() = default;

  // Reads all keys with the prefix, or only the key equal to `prefix` if `exact` is set.
  virtual absl::StatusOr<StoreRange> Range(const std::string& prefix, bool exact) = 0;

  virtual absl::StatusOr<StoreTxnResult> Txn(const StoreTxn& txn) = 0;

  // Creates a lease with this time to live, in seconds, and returns its id.
  virtual absl::StatusOr<std::int64_t> GrantLease(std::int64_t ttl_seconds) = 0;

  virtual absl::Status KeepLeaseAlive(std::int64_t lease) = 0;

  // Revokes the lease and deletes the keys bound to it.
  virtual absl::Status RevokeLease(std::int64_t lease) = 0;

  // Calls `on_batch` in revision order with every batch of changes to keys with the prefix after `after_revision`.
  // Returns OK once `stop` is set, or an error if the watch fails. Progress notifications arrive at least once a
  // second.
  virtual absl::Status Watch(const std::string& prefix,
                             std::int64_t after_revision,
                             const std::atomic<bool>& stop,
                             const std::function<void(const StoreWatchBatch&)>& on_batch) = 0;
};

// Creates the etcd v3 HTTP/JSON backend. `address` is "IP:PORT"; `timeout` applies to every call except Watch.
std::unique_ptr<Store> CreateEtcdStore(const std::string& address, Duration timeout);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_STORE_H_
