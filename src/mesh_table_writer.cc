#include "mesh_table_writer_p.h"

#include <algorithm>

#include "mesh_keys_p.h"

namespace magnoliaarch {
namespace {

// Releases that end within this time are written together.
constexpr Duration kReleaseBatch = std::chrono::milliseconds(8);
// Writes that the store did not take are repeated after this time.
constexpr Duration kWriteRetry = std::chrono::milliseconds(600);

}  // namespace

TableWriter::TableWriter(TimerQueue& timers, MeshSession& session, MeshLog& log, std::string service)
    : m_timers(timers), m_session(session), m_log(log), m_service(std::move(service)) {}

void TableWriter::Change(const std::function<bool(proto::KeyTable*)>& change,
                         std::string_view what,
                         std::function<void()> done) {
  const TableState* state = m_session.View().Table(m_service);
  if (state == nullptr || m_session.AuthorityEnd() <= BootClock::now()) {
    done();
    return;
  }
  proto::KeyTable table = state->table;
  if (!change(&table)) {
    done();
    return;
  }
  StoreTxn txn;
  txn.compares.push_back(StoreCompare{TableKey(m_service), state->revision});
  txn.puts.push_back(StorePut{TableKey(m_service), PackTable(table), 0});
  m_session.Write(std::move(txn), [this, change, what = std::string(what), done = std::move(done),
                                   revision = state->revision](const absl::StatusOr<StoreWrite>& written) {
    const TableState* now = m_session.View().Table(m_service);
    if (written.ok() && !written->succeeded && now != nullptr && now->revision != revision) {
      // Another change came first; this one applies to its result.
      Change(change, what, done);
      return;
    }
    if (!written.ok()) {
      m_log.Write(LogCategory::kFailure, "table_not_written",
                  {{"what", what}, {"why", std::string(written.status().message())}});
      m_timers.At(BootClock::now() + kWriteRetry, done);
      return;
    }
    done();
  });
}

void TableWriter::CompleteRelease(const proto::KeyRange& range, const std::string& handover) {
  const bool known = std::any_of(m_released.begin(), m_released.end(), [&](const auto& waiting) {
    return waiting.first.first() == range.first() && waiting.first.fence() == range.fence();
  });
  if (!known) {
    m_released.emplace_back(range, handover);
  }
  if (m_release_timer != 0 || m_writing_releases) {
    return;
  }
  m_release_timer = m_timers.At(BootClock::now() + kReleaseBatch, [this] {
    m_release_timer = 0;
    WriteReleases();
  });
}

void TableWriter::WriteReleases() {
  m_writing_releases = true;
  Change(
      [released = std::exchange(m_released, {})](proto::KeyTable* table) {
        bool changed = false;
        for (const auto& [range, handover] : released) {
          changed = CompleteMove(table, range.owner(), range.first(), range.last(), range.fence(), handover) || changed;
        }
        return changed;
      },
      "release",
      [this] {
        m_writing_releases = false;
        if (!m_released.empty()) {
          WriteReleases();
        }
      });
}

void TableWriter::RenewFences(const proto::TargetLife& life, const std::set<std::uint64_t>& fences) {
  Change([life, fences](proto::KeyTable* table) { return RaiseFences(table, life, fences); }, "fence", [] {});
}

}  // namespace magnoliaarch
