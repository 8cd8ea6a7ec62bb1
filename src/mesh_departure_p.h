// The node's record in the store of the target that has left. A heartbeat from before the leave may arrive after a
// restart of the node, which then tells by this record that the target is not to be used again.

#ifndef MAGNOLIAARCH_SRC_MESH_DEPARTURE_P_H_
#define MAGNOLIAARCH_SRC_MESH_DEPARTURE_P_H_

#include <cstdint>
#include <functional>
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

// Key of a node's record. Outside of the prefix that all nodes replicate, since only the node itself reads it.
std::string DepartureKey(std::string_view node);

// Whether the leave that `departed` records binds this life. A record of a target whose start was not known names the
// time of the leave instead.
bool CoversLife(const proto::TargetLife& departed, const std::string& id, std::int64_t start_ms);

class DepartureRecord {
 public:
  // Called with OK when the store holds the record, or with kUnavailable after a failed write. The write is repeated
  // until the store holds the record, so that also a leave that was never acknowledged outlasts a restart.
  using Done = std::function<void(const absl::Status&)>;

  // `on_known`: the record has been read.
  DepartureRecord(TimerQueue& timers, MeshStore& store, MeshLog& log, std::string node, std::function<void()> on_known);

  // Reads the record, unless it is known or being read. A failed read is repeated after a delay, or with the next call.
  void Read();
  void OnTick();

  // Whether this life of the target has left, or nullopt until the record has been read.
  std::optional<bool> HasLeft(const std::string& id, std::int64_t start_ms) const;
  // Records that the life has left.
  void Record(const proto::TargetLife& life, Done done);

 private:
  void OnRead(const StoreRange& range);
  void RetryLater(const absl::Status& status, std::string_view what);
  void Write();
  void WriteUnder(std::int64_t lease);
  // The store holds this record now; null: none.
  void SetStored(const StoreKv* kv);
  // Answers those who wait if the store holds the record, and writes it otherwise.
  void FinishWrite();
  bool IsStored() const;

  TimerQueue& m_timers;
  MeshStore& m_store;
  MeshLog& m_log;
  const std::string m_node;
  const std::function<void()> m_on_known;
  std::optional<proto::TargetLife> m_departed;  // the last life that has left
  std::optional<proto::TargetLife> m_stored;    // the one that the store's record names
  std::int64_t m_revision = 0;                  // of the store's record; 0: there is none
  bool m_known = false;
  bool m_call_pending = false;
  TimerId m_retry_timer = 0;
  Duration m_retry_delay{};
  std::vector<Done> m_waiting;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_DEPARTURE_P_H_
