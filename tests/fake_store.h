// In-memory store for tests.

#ifndef MAGNOLIAARCH_TESTS_FAKE_STORE_H_
#define MAGNOLIAARCH_TESTS_FAKE_STORE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "magnoliaarch/store.h"

namespace magnoliaarch {

// Supports compare-and-swap, watches, leases on a manually set clock, and fault injection.
class FakeStore : public Store {
 public:
  // While set, every call fails without effect.
  void SetDown(bool down) { m_down = down; }

  // The next `count` transactions are applied but their responses are lost.
  void LoseAnswers(int count) { m_lost_answers = count; }

  // The next `count` transactions are not applied and fail with kDeadlineExceeded, an unknown outcome.
  void LoseRequests(int count) { m_lost_requests = count; }

  // While set, reads fail but writes succeed.
  void SetReadsDown(bool down) { m_reads_down = down; }

  // Runs once before the next transaction, without the store's lock, to simulate a concurrent writer.
  void BeforeNextTxn(std::function<void()> hook) { m_before_txn = std::move(hook); }

  // Sets the store's clock and ends the leases that have expired.
  void SetTime(std::int64_t seconds) {
    std::lock_guard lock(m_mutex);
    m_now = seconds;
    for (auto it = m_leases.begin(); it != m_leases.end();) {
      it = it->second.expires <= m_now ? EndLease(it) : std::next(it);
    }
  }

  // Number of transactions that reached the store.
  int TxnCount() const { return m_txns; }

  absl::StatusOr<StoreRange> Range(const std::string& prefix, bool exact) override {
    std::lock_guard lock(m_mutex);
    if (m_down || m_reads_down) {
      return absl::UnavailableError("fake store is down");
    }
    StoreRange range{m_revision, {}};
    for (auto it = m_kvs.lower_bound(prefix); it != m_kvs.end(); ++it) {
      if (exact ? it->first != prefix : !it->first.starts_with(prefix)) {
        break;
      }
      range.kvs.push_back(it->second);
    }
    return range;
  }

  absl::StatusOr<StoreTxnResult> Txn(const StoreTxn& txn) override {
    if (auto hook = std::exchange(m_before_txn, nullptr)) {
      hook();
    }
    std::lock_guard lock(m_mutex);
    if (m_down) {
      return absl::UnavailableError("fake store is down");
    }
    if (m_lost_requests > 0) {
      --m_lost_requests;
      return absl::DeadlineExceededError("request lost");
    }
    ++m_txns;
    const bool succeeded = Apply(txn);
    if (m_lost_answers > 0) {
      --m_lost_answers;
      return absl::DeadlineExceededError("response lost");
    }
    return StoreTxnResult{succeeded, m_revision};
  }

  absl::StatusOr<std::int64_t> GrantLease(std::int64_t ttl_seconds) override {
    std::lock_guard lock(m_mutex);
    if (m_down) {
      return absl::UnavailableError("fake store is down");
    }
    m_leases[++m_last_lease] = {ttl_seconds, m_now + ttl_seconds};
    return m_last_lease;
  }

  absl::Status KeepLeaseAlive(std::int64_t lease) override {
    std::lock_guard lock(m_mutex);
    if (m_down) {
      return absl::UnavailableError("fake store is down");
    }
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
      return absl::NotFoundError("lease has expired");
    }
    found->second.expires = m_now + found->second.ttl;
    return absl::OkStatus();
  }

  absl::Status RevokeLease(std::int64_t lease) override {
    std::lock_guard lock(m_mutex);
    if (m_down) {
      return absl::UnavailableError("fake store is down");
    }
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
      return absl::NotFoundError("lease has expired");
    }
    EndLease(found);
    return absl::OkStatus();
  }

  absl::Status Watch(const std::string& prefix,
                     std::int64_t after_revision,
                     const std::atomic<bool>& stop,
                     const std::function<void(const StoreWatchBatch&)>& on_batch) override {
    while (!stop) {
      StoreWatchBatch batch;
      {
        std::lock_guard lock(m_mutex);
        if (m_down) {
          return absl::UnavailableError("fake store is down");
        }
        batch.revision = m_revision;
        for (const StoreEvent& event : m_history) {
          if (event.kv.mod_revision > after_revision && event.kv.key.starts_with(prefix)) {
            batch.events.push_back(event);
          }
        }
      }
      after_revision = batch.revision;
      on_batch(batch);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return absl::OkStatus();
  }

 private:
  struct Lease {
    std::int64_t ttl = 0;
    std::int64_t expires = 0;
  };

  bool Apply(const StoreTxn& txn) {
    for (const StoreCompare& compare : txn.compares) {
      const auto found = m_kvs.find(compare.key);
      if ((found == m_kvs.end() ? 0 : found->second.mod_revision) != compare.mod_revision) {
        return false;
      }
    }
    ++m_revision;
    for (const StorePut& put : txn.puts) {
      m_kvs[put.key] = {put.key, put.value, m_revision, put.lease};
      m_history.push_back({false, m_kvs[put.key]});
    }
    for (const std::string& key : txn.deletes) {
      Delete(key);
    }
    return true;
  }

  void Delete(const std::string& key) {
    if (m_kvs.erase(key) > 0) {
      m_history.push_back({true, {key, "", m_revision, 0}});
    }
  }

  std::map<std::int64_t, Lease>::iterator EndLease(std::map<std::int64_t, Lease>::iterator lease) {
    ++m_revision;
    std::vector<std::string> bound_keys;
    for (const auto& [key, kv] : m_kvs) {
      if (kv.lease == lease->first) {
        bound_keys.push_back(key);
      }
    }
    for (const std::string& key : bound_keys) {
      Delete(key);
    }
    return m_leases.erase(lease);
  }

  std::mutex m_mutex;
  std::map<std::string, StoreKv> m_kvs;
  std::vector<StoreEvent> m_history;
  std::map<std::int64_t, Lease> m_leases;
  std::int64_t m_last_lease = 0;
  std::int64_t m_revision = 1;
  std::int64_t m_now = 0;
  std::atomic<bool> m_down{false};
  std::atomic<bool> m_reads_down{false};
  std::atomic<int> m_lost_answers{0};
  std::atomic<int> m_lost_requests{0};
  std::atomic<int> m_txns{0};
  std::function<void()> m_before_txn;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_TESTS_FAKE_STORE_H_
