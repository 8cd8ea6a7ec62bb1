// The node's records in the store of targets that have left. A heartbeat from before a leave may arrive after a restart
// of the node, which then tells by these records that the target is not to be used again.

#ifndef MAGNOLIAARCH_SRC_MESH_DEPARTURE_P_H_
#define MAGNOLIAARCH_SRC_MESH_DEPARTURE_P_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "mesh.pb.h"
#include "mesh_log_p.h"
#include "mesh_store_p.h"
#include "mesh_timer_p.h"

namespace magnoliaarch {

// Key of the record of a target's leave at a node. Outside of the prefix that all nodes replicate, since only the node
// itself reads it.
std::string DepartureKey(std::string_view node, std::string_view target_id);

class DepartureRecords {
 public:
  // Called with OK when the store holds the record, or with kUnavailable after a failed write. The write is repeated
  // until the store holds the record, so that also a leave that was never acknowledged outlasts a restart. Called with
  // kInvalidArgument if the target's id cannot be part of a key.
  using Done = std::function<void(const absl::Status&)>;

  // `on_known`: the records have been read.
  DepartureRecords(TimerQueue& timers,
                   MeshStore& store,
                   MeshLog& log,
                   std::string node,
                   std::function<void()> on_known);

  // Reads the records, unless they are known or being read. A failed read is repeated after a delay, or with the next
  // call.
  void Read();
  void OnTick();

  // Whether this life of the target has left, or nullopt until the records have been read.
  std::optional<bool> HasLeft(const std::string& id, std::int64_t start_ms) const;
  // Records that this life, and each earlier one of the same id, has left.
  void Record(const proto::TargetLife& life, Done done);

 private:
  struct Departure {
    std::int64_t start_ms = 0;                    // Unix time; lives that started until then have left
    std::optional<std::int64_t> stored_start_ms;  // the same according to the store's record
    std::int64_t revision = 0;                    // of the store's record; 0: there is none
    TimePoint recorded_at;
    bool Stores(std::int64_t start) const { return stored_start_ms && *stored_start_ms >= start; }
    bool IsStored() const { return Stores(start_ms); }
  };
  struct Waiter {
    std::string id;
    std::int64_t start_ms = 0;
    Done done;
  };
  void OnRead(const StoreRange& range);
  void RetryLater(const absl::Status& status, std::string_view what);
  // Answers those whose records the store holds, and writes what it lacks.
  void Advance();
  void Write();
  void WriteUnder(std::int64_t lease);
  void OnWritten(const StoreTxn& txn, const StoreWrite& written);
  // The store holds this record.
  void SetStored(const StoreKv& kv);
  // Forgets records whose leases have ended.
  void DropEnded(TimePoint now);

  TimerQueue& m_timers;
  MeshStore& m_store;
  MeshLog& m_log;
  const std::string m_node;
  const std::function<void()> m_on_known;
  std::map<std::string, Departure> m_departures;  // by target id
  std::vector<Waiter> m_waiting;
  bool m_known = false;
  bool m_call_pending = false;
  TimerId m_retry_timer = 0;
  Duration m_retry_delay{};
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_DEPARTURE_P_H_
