// Store access for the control thread. Each call runs on the store thread and posts its result to the control thread.

#ifndef MAGNOLIAARCH_SRC_STORE_CALLS_P_H_
#define MAGNOLIAARCH_SRC_STORE_CALLS_P_H_

#include <asio.hpp>

#include <functional>
#include <string>
#include <utility>

#include "magnoliaarch/assignment.h"
#include "magnoliaarch/lease.h"
#include "magnoliaarch/metrics.h"
#include "magnoliaarch/store.h"
#include "store_thread_p.h"

namespace magnoliaarch {

class StoreCalls {
 public:
  StoreCalls(asio::io_context& context, StoreThread* thread, MetricsRegistry* metrics);

  // Runs `work` on the store thread, then `done` with its result on the control thread. If the ring is full, `done`
  // gets `refused` instead: the call definitely had no effect.
  template <typename Result>
  void Call(std::function<Result(Store&)> work, std::function<void(const Result&)> done, Result refused) {
    m_calls.Add();
    const bool queued = m_thread->Submit([this, work = std::move(work), done](Store& store) {
      Result result = work(store);
      asio::post(m_context, [done, result = std::move(result)] { done(result); });
    });
    if (!queued) {
      m_refused.Add();
      asio::post(m_context, [done = std::move(done), refused = std::move(refused)] { done(refused); });
    }
  }

  void Read(const ReadMember& read, std::function<void(const MemberReadDone&)> done);
  void Read(const ReadPack& read, std::function<void(const PackReadDone&)> done);
  void Write(const WriteMember& write, std::function<void(const WriteDone&)> done);
  void Write(const WritePack& write, std::function<void(const WriteDone&)> done);
  // Writes an audit record of a confirmed assignment change. A failed write is not retried, so the record may be lost.
  void WriteAuditRecord(const std::string& author, const AssignmentChange& change);

 private:
  void RunTxn(const std::string& write_id, StoreTxn txn, std::function<void(const WriteDone&)> done);

  asio::io_context& m_context;
  StoreThread* const m_thread;
  Counter& m_calls;
  Counter& m_refused;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_STORE_CALLS_P_H_
