// Admission in front of one target: slots, cold limit, priorities and early refusals. Pure decisions, time passed in.

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

// One request that wants to be sent to the target.
struct AdmissionRequest {
  AdmissionTicket ticket = 0;
  std::string route;
  std::uint32_t priority = 0;  // 0 is the highest
  TimePoint objective;         // an answer after it is late
  TimePoint expires;           // an answer after it is of no use
};

struct AdmissionResult {
  enum class Kind { kSend, kQueued, kRefused } kind = Kind::kSend;
  Duration retry_after{};  // kRefused: when the request would fit
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
  // Until this time the target bears only so many sends in any second. 0: no limit.
  void SetColdLimit(TimePoint until, std::uint32_t max_sends_per_second);
  bool IsCold(TimePoint now) const { return now < m_cold_until && m_cold_sends_per_second != 0; }

  // A new request. A queued one is returned by Next later.
  AdmissionResult Submit(TimePoint now, const AdmissionRequest& request);
  // A sent request ended. The service time counts when the target worked on it.
  void OnFinished(TimePoint now, AdmissionTicket ticket, bool executed);
  // A queued request is no longer wanted. False when it is not queued.
  bool CancelQueued(AdmissionTicket ticket);
  // What can be sent now and what cannot be in time any more.
  AdmissionBatch TakeReady(TimePoint now);
  // When Next has to be called at the latest, if anything waits.
  std::optional<TimePoint> NextWakeup(TimePoint now) const;
  // Takes everything out of the queue.
  std::vector<AdmissionTicket> TakeQueued();

  std::size_t Running() const { return m_running.size(); }
  std::size_t Queued() const { return m_queue.size(); }
  // Running and queued requests by slot, in thousandths.
  std::uint32_t LoadPermille() const;
  Duration MeanServiceTime() const;
  Duration ServiceTime(const std::string& route) const;

 private:
  struct RunningRequest {
    std::string route;
    TimePoint sent_at;
  };
  struct QueuePosition {
    std::uint32_t priority = 0;
    TimePoint objective;
    AdmissionTicket ticket = 0;
    auto operator<=>(const QueuePosition&) const = default;
  };

  // Time until the target could begin with work that is placed here in the queue.
  Duration EstimateWait(TimePoint now, std::uint32_t priority, TimePoint objective) const;
  // Time until the cold limit lets one more request through.
  Duration ColdLimitWait(TimePoint now) const;
  void MarkSent(TimePoint now, const AdmissionRequest& request);

  std::uint32_t m_slots = 1;
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
