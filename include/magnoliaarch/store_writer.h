// Store writes that stay correct when the response to a transaction is lost.

#ifndef MAGNOLIAARCH_STORE_WRITER_H_
#define MAGNOLIAARCH_STORE_WRITER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "magnoliaarch/store.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// Exponential backoff between the attempts of one write. The delay doubles from `initial_backoff` to `max_backoff`;
// each is drawn uniformly from its upper half, so that many writers do not retry in step after an outage.
struct StoreWriterOptions {
  int max_attempts = 6;
  Duration initial_backoff = std::chrono::milliseconds(20);
  Duration max_backoff = std::chrono::seconds(1);
  std::uint64_t seed = 0;
};

// Result of a write whose effect is known.
struct StoreWriteOutcome {
  bool applied = false;
  // Revision of the applied write; after a conflict, the store revision at which the conflict was read.
  std::int64_t revision = 0;
  // Set on a conflict after a lost response: the write may have been applied and then overwritten by `current`.
  bool may_have_been_replaced = false;
  // After a conflict: the record now in the store; empty if the key does not exist.
  std::optional<StoreKv> current;
};

// A transaction with the write id by which a later read recognizes it in the store.
struct StoreWrite {
  // Must compare the modification revision of `id_key`, so that a retried transaction is applied at most once.
  StoreTxn txn;
  // Key of the put in the transaction whose value contains the write id.
  std::string id_key;
  std::string write_id;
  // Extracts the write id from a stored value; returns an empty string if there is none.
  std::function<std::string(const std::string& value)> read_id;
};

// Compare-and-swap writer. After a lost response it reads the key back and compares the write id to find out whether
// the write was applied. Not thread-safe.
//
// Errors: kUnavailable if the write definitely had no effect, kUnknown if it may have been applied and no attempts are
// left, otherwise the store's own error (kInvalidArgument, kNotFound).
class StoreWriter {
 public:
  // `sleep` waits between attempts; by default it blocks the thread.
  StoreWriter(Store* store, const StoreWriterOptions& options, std::function<void(Duration)> sleep = nullptr);

  absl::StatusOr<StoreWriteOutcome> Write(const StoreWrite& write);

  // Writes a record that has a `write_id` field if the key still has the given modification revision (0: the key does
  // not exist). Stores a new write id in the record.
  template <typename Record>
  absl::StatusOr<StoreWriteOutcome> WriteRecord(const std::string& key,
                                                Record record,
                                                std::int64_t mod_revision,
                                                std::int64_t lease = 0) {
    StoreWrite write;
    write.write_id = NewWriteId();
    record.set_write_id(write.write_id);
    write.txn.compares.push_back(StoreCompare{key, mod_revision});
    write.txn.puts.push_back(StorePut{key, record.SerializeAsString(), lease});
    write.id_key = key;
    write.read_id = &ReadWriteId<Record>;
    return Write(write);
  }

  // Read-modify-write: reads the record, passes it to `change` and writes it back; starts over when another writer
  // changed the record first. If the key does not exist, `change` gets a default record and `exists` is false. If
  // `change` returns false, nothing is written; the outcome then has `applied` set to false and contains the record
  // that was read. `change` may be called several times.
  template <typename Record>
  absl::StatusOr<StoreWriteOutcome> Update(const std::string& key,
                                           const std::function<bool(Record* record, bool exists)>& change) {
    return UpdateLoop(key, [&](const StoreKv* kv) -> std::optional<StoreWrite> {
      Record record;
      if (kv != nullptr && !record.ParseFromString(kv->value)) {
        return std::nullopt;
      }
      if (!change(&record, kv != nullptr)) {
        return std::nullopt;
      }
      StoreWrite write;
      write.write_id = NewWriteId();
      record.set_write_id(write.write_id);
      write.txn.compares.push_back(StoreCompare{key, kv == nullptr ? 0 : kv->mod_revision});
      write.txn.puts.push_back(StorePut{key, record.SerializeAsString(), kv == nullptr ? 0 : kv->lease});
      write.id_key = key;
      write.read_id = &ReadWriteId<Record>;
      return write;
    });
  }

  // Like Update, for writes that span several records: `prepare` gets the current record of the key, or null, and
  // returns the write to attempt, or nullopt to write nothing.
  absl::StatusOr<StoreWriteOutcome> UpdateLoop(
      const std::string& key,
      const std::function<std::optional<StoreWrite>(const StoreKv* current)>& prepare);

  // Returns a random write id of 32 hexadecimal digits.
  static std::string NewWriteId();

  // Returns the write id of a serialized record; empty if the record cannot be parsed.
  template <typename Record>
  static std::string ReadWriteId(const std::string& value) {
    Record record;
    return record.ParseFromString(value) ? record.write_id() : std::string();
  }

 private:
  // Reads one key, with retries while attempts are left. `*attempt` counts the attempts of the whole write.
  absl::StatusOr<StoreRange> ReadBack(const std::string& key, int* attempt);
  // Waits for the backoff delay before the next attempt; returns false if no attempts are left.
  bool WaitBeforeRetry(int* attempt);

  Store* m_store;
  StoreWriterOptions m_options;
  std::function<void(Duration)> m_sleep;
  std::mt19937_64 m_random;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_STORE_WRITER_H_
