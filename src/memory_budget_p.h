// Account of the memory that a node holds for others: bodies, answers and messages between nodes. Every buffer that can
// become large is charged before it grows.

#ifndef MAGNOLIAARCH_SRC_MEMORY_BUDGET_P_H_
#define MAGNOLIAARCH_SRC_MEMORY_BUDGET_P_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// Limits in bytes of what is held for others.
struct MemoryLimits {
  std::size_t total = SIZE_MAX;
  // Part of the total that only small holders may use, so that ordinary requests are served beside large ones.
  std::size_t reserved = 0;
  // A holder up to this size is small.
  std::size_t small = SIZE_MAX;
  // A holder may exceed this size only while all others together hold less than half of the total.
  std::size_t share = SIZE_MAX;
  // A holder that makes no progress for this long is stalled.
  Duration stall = std::chrono::seconds(1);
  auto operator<=>(const MemoryLimits&) const = default;
};

// Derives the limits from the memory that the process may use in total.
MemoryLimits MemoryLimitsFor(std::size_t process_bytes);

// Whether a node with these limits can receive a body of this size if it holds nothing else. A buffer that grows is
// copied, so that its old and its new allocation exist at the same time.
bool FitsAlone(const MemoryLimits& limits, std::size_t body_bytes);

// A holder that receives or sends less than this in the stall time makes no progress.
inline constexpr std::size_t kProgressBytes = 16 << 10;

class MemoryCharge;

// Not thread-safe.
class MemoryBudget {
 public:
  struct Stats {
    std::size_t used = 0;
    std::size_t peak = 0;
    std::size_t holders = 0;    // holders that can be evicted
    std::uint64_t refused = 0;  // growths that found no room
    std::uint64_t evicted = 0;
    auto operator<=>(const Stats&) const = default;
  };

  explicit MemoryBudget(MemoryLimits limits) : m_limits(limits) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  const MemoryLimits& Limits() const { return m_limits; }
  Stats CurrentStats() const;
  // The event loop has stood still, so that no holder could make progress: their stall time begins anew.
  void OnStall(TimePoint now);
  // Called after a holder was evicted, with the bytes that it held. May be null.
  std::function<void(std::size_t bytes)> on_evicted;

 private:
  friend class MemoryCharge;
  bool Admits(std::size_t held, std::size_t wanted) const;
  // Evicts holders without progress, largest first, until the growth fits. Returns whether it does.
  bool MakeRoom(const MemoryCharge* for_holder, std::size_t wanted, TimePoint now);

  MemoryLimits m_limits;
  Stats m_stats;
  std::unordered_set<MemoryCharge*> m_evictable;
  TimePoint m_next_stall_at;  // before this time no holder is stalled
};

// What one holder is charged with. The charge ends with this object.
class MemoryCharge {
 public:
  // Without a budget every growth is allowed.
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> budget = nullptr) : m_budget(std::move(budget)) {}
  ~MemoryCharge();
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  // Sets what the holder is charged with. Returns false, and changes nothing, if the budget has no room for a growth,
  // also after the eviction of others.
  bool Resize(std::size_t bytes, TimePoint now);
  // Reports bytes that were received or sent for the holder. Less than kProgressBytes in the stall time count as none.
  void NoteProgress(std::size_t bytes, TimePoint now);
  // Sets the charge regardless of the limits, for bytes that were admitted under another charge which ends now.
  void Transfer(std::size_t bytes);
  // Lets the budget evict the holder while it makes no progress. `evict` must release what is held. Null: never.
  void SetEvict(std::function<void()> evict, TimePoint now);
  std::size_t Bytes() const { return m_bytes; }

 private:
  friend class MemoryBudget;
  std::shared_ptr<MemoryBudget> m_budget;
  std::function<void()> m_evict;
  std::size_t m_bytes = 0;
  TimePoint m_progress_at;
  std::size_t m_progress_bytes = 0;  // since m_progress_at
};

// Shares a body together with its charge, which ends with the last owner of the body.
std::shared_ptr<const std::string> ShareBody(std::string body, std::shared_ptr<MemoryCharge> charge);

// Capacity to which a buffer of `capacity` bytes grows to hold `bytes`: a power of two, but at most `limit` unless
// `bytes` is more.
std::size_t GrownCapacity(std::size_t capacity, std::size_t bytes, std::size_t limit);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MEMORY_BUDGET_P_H_
