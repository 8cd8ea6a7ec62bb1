// Thread that runs the node's blocking store calls.

#ifndef MAGNOLIAARCH_SRC_STORE_THREAD_P_H_
#define MAGNOLIAARCH_SRC_STORE_THREAD_P_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <thread>

#include "magnoliaarch/ring.h"
#include "magnoliaarch/store.h"

namespace magnoliaarch {

// Runs store calls one at a time, so that a slow store delays later store calls but no other thread.
class StoreThread {
 public:
  using Job = std::function<void(Store&)>;

  StoreThread(std::unique_ptr<Store> store, std::size_t capacity);
  ~StoreThread();
  StoreThread(const StoreThread&) = delete;
  StoreThread& operator=(const StoreThread&) = delete;

  // Queues a job. Returns false if the ring is full or the thread is stopping; the job then never runs.
  bool Submit(Job job);

  // Runs the queued jobs, then joins the thread.
  void Stop();

 private:
  void Run();

  std::unique_ptr<Store> m_store;
  BoundedRing<Job> m_jobs;
  std::thread m_thread;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_STORE_THREAD_P_H_
