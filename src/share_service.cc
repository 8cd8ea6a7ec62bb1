#include "share_service_p.h"

#include <algorithm>
#include <utility>

namespace magnoliaarch {
namespace {

// Maximum waiting requests of one workspace on a node; further ones would only exceed their admission wait.
constexpr std::size_t kMaxWaitingPerWorkspace = 1024;

}  // namespace

void ShareService::Admit(const std::string& workspace, TimePoint now, Done done) {
  std::optional<ErrorKind> refusal;
  {
    std::lock_guard lock(m_mutex);
    Entry& entry = m_entries[workspace];
    if (entry.holder == nullptr) {
      entry.holder = std::make_unique<ShareHolder>(ShareHolderOptions{}, workspace, m_self);
    }
    const Admission admission = entry.holder->Admit(now);
    if (admission == Admission::kWait && entry.waiting.size() < kMaxWaitingPerWorkspace) {
      entry.waiting.push_back(WaitingRequest{now, std::move(done)});
      return;
    }
    if (admission == Admission::kWait) {
      entry.holder->OnWaiterGone();
    }
    if (admission != Admission::kAdmitted) {
      refusal = ErrorKind::kRateExceeded;
    }
  }
  done(refusal);
}

void ShareService::OnTerm(const std::string& workspace, std::uint64_t term) {
  std::lock_guard lock(m_mutex);
  const auto entry = m_entries.find(workspace);
  if (entry != m_entries.end()) {
    entry->second.holder->OnTerm(term);
  }
}

void ShareService::OnGrant(const proto::ShareGrant& grant, TimePoint now) {
  Decisions decisions;
  {
    std::lock_guard lock(m_mutex);
    const auto entry = m_entries.find(grant.workspace());
    if (entry == m_entries.end() || !entry->second.holder->OnGrant(now, grant)) {
      return;
    }
    DecideWaiting(&entry->second, now, &decisions);
  }
  for (auto& [done, refusal] : decisions) {
    done(refusal);
  }
}

std::vector<proto::ShareReport> ShareService::Tick(TimePoint now) {
  std::vector<proto::ShareReport> reports;
  Decisions decisions;
  {
    std::lock_guard lock(m_mutex);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
      Entry& entry = it->second;
      DecideWaiting(&entry, now, &decisions);
      if (std::optional<proto::ShareReport> report = entry.holder->Report(now)) {
        reports.push_back(*std::move(report));
      }
      it = entry.waiting.empty() && entry.holder->IsIdle(now) ? m_entries.erase(it) : std::next(it);
    }
  }
  for (auto& [done, refusal] : decisions) {
    done(refusal);
  }
  return reports;
}

std::size_t ShareService::Waiting() const {
  std::lock_guard lock(m_mutex);
  std::size_t waiting = 0;
  for (const auto& [workspace, entry] : m_entries) {
    waiting += entry.waiting.size();
  }
  return waiting;
}

void ShareService::DecideWaiting(Entry* entry, TimePoint now, Decisions* decisions) {
  while (!entry->waiting.empty()) {
    WaitingRequest& front = entry->waiting.front();
    // A wait of zero would count the request as a new one.
    const Duration waited = std::max(now - front.since, Duration(1));
    const Admission admission = entry->holder->Admit(now, waited);
    if (admission == Admission::kWait) {
      return;
    }
    std::optional<ErrorKind> refusal;
    if (admission == Admission::kRefused) {
      refusal = ErrorKind::kRateExceeded;
    }
    decisions->emplace_back(std::move(front.done), refusal);
    entry->waiting.pop_front();
  }
}

}  // namespace magnoliaarch
