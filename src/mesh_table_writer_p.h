// Changes that a node makes to its service's key table: releases of its target and raised fences. Each is a
// conditional write that applies to the newest table or not at all.

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

  // The target has given the range up. Releases that end together are one write.
  void CompleteRelease(const proto::KeyRange& range, const std::string& handover);
  // The target's life has seen higher fences than these on keys that it is to own.
  void RaiseRefusedFences(const proto::TargetLife& life, const std::set<std::uint64_t>& fences);

 private:
  // `change` returns false when the table needs none; it is called again on a newer table when another write came
  // first.
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
