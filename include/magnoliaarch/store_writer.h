// Store writes that survive lost answers.

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

// Back-off between the attempts of one write. The waits double from the first to the longest; each is drawn evenly from
// the upper half, so that many writers do not retry together after an outage.
struct StoreWriterOptions {
  int max_attempts = 6;
  Duration initial_backoff = std::chrono::milliseconds(20);
  Duration max_backoff = std::chrono::seconds(1);
  std::uint64_t seed = 0;
};

// What became of a write that was decided.
struct StoreWriteOutcome {
  bool applied = false;
  // Of the applied write; with a conflict, the store's revision at which the conflict was read.
  std::int64_t revision = 0;
  // With a conflict after a lost answer: this write may have taken effect and then been replaced by the current record.
  bool may_have_been_replaced = false;
  // With a conflict: the record now in the store, or nothing when it is absent.
  std::optional<StoreKv> current;
};

// A transaction and the means to recognize it in the store afterwards.
struct StoreWrite {
  // Must compare the modification revision of `id_key`, so that a repeat of the transaction takes effect at most once.
  StoreTxn txn;
  // Key of a put in the transaction that carries the write id.
  std::string id_key;
  std::string write_id;
  // Reads the write id from a stored value; empty when there is none.
  std::function<std::string(const std::string& value)> read_id;
};

// Writes with compare-and-swap. After a lost answer it reads back and compares the write id before it decides. One
// object is used by one thread.
//
// Errors: kUnavailable when the write certainly had no effect, kUnknown when it may have taken effect and the attempts
// ran out, otherwise the store's refusal (kInvalidArgument, kNotFound).
class StoreWriter {
 public:
  // The sleep hook waits between attempts; by default it blocks the thread.
  StoreWriter(Store* store, const StoreWriterOptions& options, std::function<void(Duration)> sleep = nullptr);

  absl::StatusOr<StoreWriteOutcome> Write(const StoreWrite& write);

  // Writes one record that has a `write_id` field, if the key's modification revision is still the given one (0: the
  // key is absent). Sets a new write id in the record.
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

  // Reads the record, lets the hook change it and writes it back, again from the start when another writer was first.
  // The hook gets a default record and `exists` false when the key is absent; it returns false to leave the store as it
  // is, and the outcome is then not applied and holds the record read. It may be called several times.
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

  // As Update, for writes that span several records: the hook gets the current record of the key, or null, and returns
  // the write to attempt, or nothing to leave the store as it is.
  absl::StatusOr<StoreWriteOutcome> UpdateLoop(
      const std::string& key,
      const std::function<std::optional<StoreWrite>(const StoreKv* current)>& prepare);

  // A new unique write id.
  static std::string NewWriteId();

  // The write id of a serialized record; empty when it cannot be parsed.
  template <typename Record>
  static std::string ReadWriteId(const std::string& value) {
    Record record;
    return record.ParseFromString(value) ? record.write_id() : std::string();
  }

 private:
  // Reads one key, with retries while attempts remain. `*attempt` counts over the whole write.
  absl::StatusOr<StoreRange> ReadBack(const std::string& key, int* attempt);
  // Waits before the next attempt; false when there is none left.
  bool WaitBeforeRetry(int* attempt);

  Store* m_store;
  StoreWriterOptions m_options;
  std::function<void(Duration)> m_sleep;
  std::mt19937_64 m_random;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_STORE_WRITER_H_
