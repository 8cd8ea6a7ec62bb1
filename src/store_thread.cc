#include "store_thread_p.h"

#include <pthread.h>

#include <optional>
#include <utility>

namespace magnoliaarch {
namespace {

constexpr Duration kPollPeriod = std::chrono::seconds(1);

}  // namespace

StoreThread::StoreThread(std::unique_ptr<Store> store, std::size_t capacity)
    : m_store(std::move(store)), m_jobs(capacity), m_thread([this] { Run(); }) {}

StoreThread::~StoreThread() {
  Stop();
}

bool StoreThread::Submit(Job job) {
  return m_jobs.TryPush(std::move(job));
}

void StoreThread::Stop() {
  m_jobs.Close();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void StoreThread::Run() {
  pthread_setname_np(pthread_self(), "store");
  while (true) {
    std::optional<Job> job = m_jobs.PopFor(kPollPeriod);
    if (job.has_value()) {
      (*job)(*m_store);
    } else if (m_jobs.IsClosed()) {
      return;
    }
  }
}

}  // namespace magnoliaarch
