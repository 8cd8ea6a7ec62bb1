#include "memory_budget_p.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace magnoliaarch {
namespace {

// Share of the process memory for what is held for others. The rest is for the program, its replica of the store and
// the fixed cost of connections.
constexpr std::size_t kBudgetPercent = 70;
constexpr std::size_t kReservedPart = 8;
constexpr std::size_t kSharePart = 16;
// Covers the head and the body of an ordinary request, and the buffers in which they are read.
constexpr std::size_t kSmallBytes = 128 << 10;
constexpr std::size_t kFirstCapacity = 4 << 10;

}  // namespace

MemoryLimits MemoryLimitsFor(std::size_t process_bytes) {
  MemoryLimits limits;
  limits.total = process_bytes / 100 * kBudgetPercent;
  limits.reserved = limits.total / kReservedPart;
  limits.small = kSmallBytes;
  limits.share = limits.total / kSharePart;
  return limits;
}

bool FitsAlone(const MemoryLimits& limits, std::size_t body_bytes) {
  std::size_t last_copy = 0;
  for (std::size_t capacity = kFirstCapacity; capacity < body_bytes; capacity *= 2) {
    last_copy = capacity;
  }
  return last_copy + body_bytes + limits.small <= limits.total - limits.reserved;
}

// ---- Budget ----

MemoryBudget::Stats MemoryBudget::CurrentStats() const {
  Stats stats = m_stats;
  stats.holders = m_evictable.size();
  return stats;
}

bool MemoryBudget::Admits(std::size_t held, std::size_t wanted) const {
  const std::size_t others = m_stats.used - held;
  const bool small = wanted <= m_limits.small;
  const std::size_t limit = small ? m_limits.total : m_limits.total - m_limits.reserved;
  if (others > limit || wanted > limit - others) {
    return false;
  }
  return small || wanted <= m_limits.share || others < m_limits.total / 2;
}

bool MemoryBudget::MakeRoom(const MemoryCharge* for_holder, std::size_t wanted, TimePoint now) {
  while (!Admits(for_holder->Bytes(), wanted)) {
    if (now < m_next_stall_at) {
      return false;
    }
    // Many small holders fill the budget as well as a few large ones, so the largest goes whatever its size.
    MemoryCharge* largest = nullptr;
    TimePoint next_stall = now + m_limits.stall;
    for (MemoryCharge* holder : m_evictable) {
      const bool stalled = now - holder->m_progress_at >= m_limits.stall;
      if (holder != for_holder && stalled && holder->m_bytes > kProgressBytes &&
          (largest == nullptr || holder->m_bytes > largest->m_bytes)) {
        largest = holder;
      }
      if (!stalled) {
        next_stall = std::min(next_stall, holder->m_progress_at + m_limits.stall);
      }
    }
    if (largest == nullptr) {
      m_next_stall_at = next_stall;
      return false;
    }
    const std::size_t bytes = largest->m_bytes;
    m_evictable.erase(largest);
    ++m_stats.evicted;
    // The callback may destroy the holder.
    const std::function<void()> evict = std::exchange(largest->m_evict, nullptr);
    evict();
    if (on_evicted) {
      on_evicted(bytes);
    }
  }
  return true;
}

void MemoryBudget::OnStall(TimePoint now) {
  for (MemoryCharge* holder : m_evictable) {
    holder->m_progress_at = now;
  }
}

// ---- Charge ----

MemoryCharge::~MemoryCharge() {
  if (m_budget != nullptr) {
    m_budget->m_evictable.erase(this);
    m_budget->m_stats.used -= m_bytes;
  }
}

bool MemoryCharge::Resize(std::size_t bytes, TimePoint now) {
  if (m_budget != nullptr && bytes > m_bytes && !m_budget->MakeRoom(this, bytes, now)) {
    ++m_budget->m_stats.refused;
    return false;
  }
  Transfer(bytes);
  return true;
}

void MemoryCharge::NoteProgress(std::size_t bytes, TimePoint now) {
  m_progress_bytes += bytes;
  if (m_progress_bytes >= kProgressBytes) {
    m_progress_bytes = 0;
    m_progress_at = now;
  }
}

void MemoryCharge::Transfer(std::size_t bytes) {
  if (m_budget != nullptr) {
    m_budget->m_stats.used = m_budget->m_stats.used - m_bytes + bytes;
    m_budget->m_stats.peak = std::max(m_budget->m_stats.peak, m_budget->m_stats.used);
  }
  m_bytes = bytes;
}

void MemoryCharge::SetEvict(std::function<void()> evict, TimePoint now) {
  m_evict = std::move(evict);
  m_progress_at = now;
  if (m_budget == nullptr) {
    return;
  }
  if (m_evict) {
    m_budget->m_evictable.insert(this);
  } else {
    m_budget->m_evictable.erase(this);
  }
}

// ---- Buffers ----

std::shared_ptr<const std::string> ShareBody(std::string body, std::shared_ptr<MemoryCharge> charge) {
  struct ChargedBody {
    std::string bytes;
    std::shared_ptr<MemoryCharge> charge;
  };
  const auto shared = std::make_shared<const ChargedBody>(ChargedBody{std::move(body), std::move(charge)});
  return {shared, &shared->bytes};
}

std::size_t GrownCapacity(std::size_t capacity, std::size_t bytes, std::size_t limit) {
  if (bytes <= capacity) {
    return capacity;
  }
  // Powers of two, whatever the size of the first piece, so that the last copy before the limit is small.
  return std::max(bytes, std::min(std::bit_ceil(std::max(bytes, kFirstCapacity)), limit));
}

}  // namespace magnoliaarch
