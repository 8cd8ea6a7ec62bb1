// Writes a node's changes to its service's key table: completed releases and raised fences. Each change is a
// conditional write, which applies to the newest table or not at all.

#ifndef MAGNOLIAARCH_SRC_MESH_TABLE_WRITER_P_H_
#define MAGNOLIAARCH_SRC_MESH_TABLE_WRITER_P_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "mesh.pb.h"
#include "mesh_grants_p.h"
#include "mesh_log_p.h"
#include "mesh_session_p.h"
#include "mesh_timer_p.h"

namespace magnoliaarch {

using ReleaseCheck = std::function<bool(std::uint64_t release_number)>;

// Gives the keys of these releases to their successors. Skips releases that are no longer in force: their owner may
// have been granted the keys again, and a range that moves once more looks the same as before. Returns whether the
// table has changed.
bool CompleteMoves(proto::KeyTable* table,
                   const std::vector<CompletedRelease>& releases,
                   const ReleaseCheck& is_in_force);

class TableWriter {
 public:
  TableWriter(TimerQueue& timers, MeshSession& session, MeshLog& log, std::string service, ReleaseCheck is_in_force);

  // Records that the target has released the range. Releases that end within a few milliseconds share one write.
  void CompleteRelease(const CompletedRelease& release);
  // Raises these fences, which the target has refused because it has seen higher ones for their keys.
  void RaiseRefusedFences(const proto::TargetLife& life, const std::set<std::uint64_t>& fences);

 private:
  // `update` returns false if the table needs no change. If another write came first, `update` is called again with the
  // newer table. `done` is called when the operation has ended; after a failed write, only after the retry delay.
  void UpdateTable(const std::function<bool(proto::KeyTable*)>& update,
                   std::string_view operation,
                   std::function<void()> done);
  void WriteReleases();

  TimerQueue& m_timers;
  MeshSession& m_session;
  MeshLog& m_log;
  const std::string m_service;
  const ReleaseCheck m_is_in_force;
  std::vector<CompletedRelease> m_unwritten_releases;
  TimerId m_release_timer = 0;
  bool m_writing_releases = false;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TABLE_WRITER_P_H_
