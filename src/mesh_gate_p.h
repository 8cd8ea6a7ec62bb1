// Admission control for one target: concurrency slots, cold-start rate limit, priorities and early refusals. Does no
// I/O; the caller passes in the time.

#ifndef MAGNOLIAARCH_SRC_MESH_GATE_P_H_
#define MAGNOLIAARCH_SRC_MESH_GATE_P_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

using AdmissionTicket = std::uint64_t;

// A request that is to be sent to the target.
struct AdmissionRequest {
  AdmissionTicket ticket = 0;
  std::string route;
  std::uint32_t priority = 0;  // 0 is the highest
  TimePoint objective;         // latency objective; a later answer counts as late
  TimePoint expires;           // deadline; a later answer is useless
  // Made by a run that is in progress elsewhere and holds a slot there until this call ends.
  bool inner = false;
};

struct AdmissionResult {
  enum class Kind { kSend, kQueued, kRefused } kind = Kind::kSend;
  Duration retry_after{};  // kRefused: delay after which the request is expected to be admitted
};

struct AdmissionRefusal {
  AdmissionTicket ticket = 0;
  Duration retry_after{};
};

struct AdmissionBatch {
  std::vector<AdmissionTicket> send;
  std::vector<AdmissionRefusal> refuse;
};

class AdmissionQueue {
 public:
  void SetSlots(std::uint32_t slots) { m_slots = std::max<std::uint32_t>(slots, 1); }
  // Limits the sends in any one second until the given time. 0: no limit.
  void SetColdLimit(TimePoint until, std::uint32_t max_sends_per_second);
  // Slots that only inner calls may take. Needed where services call in a circle: otherwise runs that wait for inner
  // calls could hold all slots that these calls need.
  void SetInnerSlots(std::uint32_t slots) { m_inner_slots = slots; }
  bool IsCold(TimePoint now) const { return now < m_cold_until && m_cold_sends_per_second != 0; }

  // Submits a new request. If it is queued, a later TakeReady returns it.
  AdmissionResult Submit(TimePoint now, const AdmissionRequest& request);
  // Frees the slot of a sent request. Its service time is sampled only if the target executed it.
  void OnFinished(TimePoint now, AdmissionTicket ticket, bool executed);
  // Removes a request from the queue. Returns false if it is not queued.
  bool CancelQueued(AdmissionTicket ticket);
  // Removes from the queue the requests that can be sent now and those that can no longer finish in time.
  AdmissionBatch TakeReady(TimePoint now);
  // Latest time for the next call of TakeReady; nullopt if the queue is empty.
  std::optional<TimePoint> NextWakeup(TimePoint now) const;
  // Removes all queued requests and returns their tickets.
  std::vector<AdmissionTicket> TakeQueued();

  std::size_t Running() const { return m_running.size(); }
  std::size_t Queued() const { return m_queue.size(); }
  // Running and queued requests per slot, in thousandths.
  std::uint32_t LoadPermille() const;
  Duration MeanServiceTime() const;
  Duration ServiceTime(const std::string& route) const;

 private:
  struct RunningRequest {
    std::string route;
    TimePoint sent_at;
    bool inner = false;
  };
  // Inner calls are ahead of all new work: their runs have already taken slots elsewhere.
  struct QueuePosition {
    bool new_work = true;
    std::uint32_t priority = 0;
    TimePoint objective;
    AdmissionTicket ticket = 0;
    auto operator<=>(const QueuePosition&) const = default;
  };

  QueuePosition PositionOf(TimePoint now, const AdmissionRequest& request) const;
  // Latest time at which a request may end to be admitted.
  TimePoint LatestEnd(TimePoint now, const AdmissionRequest& request) const;
  // Estimated wait of a request that would be queued at the position.
  Duration EstimateWait(TimePoint now, const QueuePosition& position) const;
  // Whether a slot is free for an inner call, or for new work.
  bool HasSlot(bool new_work) const;
  // The queued request that takes the next slot; the end if none may be sent.
  std::map<QueuePosition, AdmissionRequest>::iterator NextToSend();
  // Time until the cold limit admits one more send.
  Duration ColdLimitWait(TimePoint now) const;
  void MarkSent(TimePoint now, const AdmissionRequest& request);

  std::uint32_t m_slots = 1;
  std::uint32_t m_inner_slots = 0;
  std::uint32_t m_running_new = 0;         // running requests that are not inner calls
  std::uint32_t m_inner_ahead_of_new = 0;  // inner calls sent in a row while new work waited
  std::uint32_t m_cold_sends_per_second = 0;
  TimePoint m_cold_until;
  std::deque<TimePoint> m_recent_sends;
  std::unordered_map<AdmissionTicket, RunningRequest> m_running;
  std::map<QueuePosition, AdmissionRequest> m_queue;
  std::unordered_map<AdmissionTicket, QueuePosition> m_positions;
  std::unordered_map<std::string, double> m_service_us;  // by route
  double m_mean_service_us = 0;
  int m_finished_samples = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_GATE_P_H_
