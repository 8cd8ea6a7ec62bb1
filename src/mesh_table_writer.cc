#include "mesh_table_writer_p.h"

#include <algorithm>
#include <utility>

#include "mesh_eras_p.h"
#include "mesh_keys_p.h"

namespace magnoliaarch {
namespace {

// Releases that end within this time share one write.
constexpr Duration kReleaseBatchDelay = std::chrono::milliseconds(8);
// Delay before the next write after one that the store did not accept.
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(600);

}  // namespace

bool CompleteMoves(proto::KeyTable* table,
                   const std::vector<CompletedRelease>& releases,
                   const ReleaseCheck& is_in_force) {
  bool changed = false;
  for (const CompletedRelease& release : releases) {
    const proto::KeyRange& range = release.range;
    changed = (is_in_force(release.number) &&
               CompleteMove(table, range.owner(), range.first(), range.last(), range.fence(), release.handover)) ||
              changed;
  }
  return changed;
}

TableWriter::TableWriter(TimerQueue& timers,
                         MeshSession& session,
                         MeshLog& log,
                         std::string service,
                         ReleaseCheck is_in_force)
    : m_timers(timers),
      m_session(session),
      m_log(log),
      m_service(std::move(service)),
      m_is_in_force(std::move(is_in_force)) {}

void TableWriter::UpdateTable(const std::function<bool(proto::KeyTable*)>& update,
                              std::string_view operation,
                              std::function<void()> done) {
  const TableState* state = m_session.View().Table(m_service);
  // The coordinator adopts a table of an earlier era first. Releases are reported again under its new fences.
  if (state == nullptr || m_session.AuthorityEnd() <= BootClock::now() || !IsOfEra(state->table, m_session.Era())) {
    done();
    return;
  }
  proto::KeyTable table = state->table;
  if (!update(&table)) {
    done();
    return;
  }
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{TableKey(m_service), state->revision});
  txn.puts.push_back(StorePut{TableKey(m_service), PackTable(table), 0});
  m_session.Write(std::move(txn), [this, update, operation = std::string(operation), done = std::move(done),
                                   revision = state->revision](const absl::StatusOr<StoreWrite>& written) {
    const TableState* now = m_session.View().Table(m_service);
    if (written.ok() && !written->succeeded && now != nullptr && now->revision != revision) {
      // Another write came first: apply the update to the newer table.
      UpdateTable(update, operation, done);
      return;
    }
    if (!written.ok()) {
      m_log.Write(LogCategory::kFailure, "table_not_written",
                  {{"what", operation}, {"why", std::string(written.status().message())}});
      m_timers.At(BootClock::now() + kWriteRetryDelay, done);
      return;
    }
    done();
  });
}

void TableWriter::CompleteRelease(const CompletedRelease& release) {
  const bool is_queued = std::any_of(m_unwritten_releases.begin(), m_unwritten_releases.end(),
                                     [&](const auto& queued) { return queued.number == release.number; });
  if (!is_queued) {
    m_unwritten_releases.push_back(release);
  }
  if (m_release_timer != 0 || m_writing_releases) {
    return;
  }
  m_release_timer = m_timers.At(BootClock::now() + kReleaseBatchDelay, [this] {
    m_release_timer = 0;
    WriteReleases();
  });
}

void TableWriter::WriteReleases() {
  m_writing_releases = true;
  UpdateTable([this, releases = std::exchange(m_unwritten_releases, {})](
                  proto::KeyTable* table) { return CompleteMoves(table, releases, m_is_in_force); },
              "release",
              [this] {
                m_writing_releases = false;
                if (!m_unwritten_releases.empty()) {
                  WriteReleases();
                }
              });
}

void TableWriter::RaiseRefusedFences(const proto::TargetLife& life, const std::set<std::uint64_t>& fences) {
  UpdateTable([life, fences](proto::KeyTable* table) { return RaiseFences(table, life, fences); }, "fence", [] {});
}

}  // namespace magnoliaarch
