// Writes a node's changes to its service's key table: completed releases and raised fences. Each change is a
// conditional write, which applies to the newest table or not at all.

#ifndef MAGNOLIAARCH_SRC_MESH_TABLE_WRITER_P_H_
#define MAGNOLIAARCH_SRC_MESH_TABLE_WRITER_P_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mesh.pb.h"
#include "mesh_log_p.h"
#include "mesh_session_p.h"
#include "mesh_timer_p.h"

namespace magnoliaarch {

class TableWriter {
 public:
  TableWriter(TimerQueue& timers, MeshSession& session, MeshLog& log, std::string service);

  // Records that the target has released the range. Releases that end within a few milliseconds share one write.
  void CompleteRelease(const proto::KeyRange& range, const std::string& handover);
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
  std::vector<std::pair<proto::KeyRange, std::string>> m_unwritten_releases;
  TimerId m_release_timer = 0;
  bool m_writing_releases = false;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TABLE_WRITER_P_H_
