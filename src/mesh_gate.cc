#include "mesh_gate_p.h"

#include <algorithm>

namespace magnoliaarch {
namespace {

// Weight of the newest service time in its moving average.
constexpr double kServiceSampleWeight = 0.08;
// Service time in microseconds that is assumed before the first answer.
constexpr double kInitialServiceUs = 60'000;
// A request is admitted if its objective leaves at least this share of the mean service time after the wait. Less than
// 1 because most requests take less than the mean.
constexpr double kRequiredServiceShare = 0.85;
// A queued request with less than this share of the mean service time left is refused, so that a request which can
// still meet its objective gets the slot.
constexpr double kMinServiceShareAtHead = 0.6;
// Maximum wait of a request that has already missed its objective, as a share of the time until its deadline.
constexpr double kLateWaitShare = 0.15;
// An inner call may be expected to end late by this share of the time between its objective and its deadline. Small,
// because a slow target takes longer than estimated, and another target may be free.
constexpr double kInnerLateShare = 0.2;
// Inner calls sent in a row while new work waits; then new work gets a slot. The floor keeps a service alive for its
// own callers when another service calls it without bound.
constexpr std::uint32_t kMaxInnerAheadOfNew = 3;
// Added to the priority of late requests, so that they are served after all others.
constexpr std::uint32_t kLatePriorityOffset = 1000;
constexpr Duration kSecond = std::chrono::seconds(1);
// Slightly more than a second, because the target's clock may measure the second differently.
constexpr Duration kColdLimitWindow = kSecond + std::chrono::milliseconds(60);
// Short, because a retried request is queued by its original objective, ahead of newer ones.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(25);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(150);

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void AdmissionQueue::SetColdLimit(TimePoint until, std::uint32_t max_sends_per_second) {
  m_cold_until = until;
  m_cold_sends_per_second = max_sends_per_second;
}

Duration AdmissionQueue::ServiceTime(const std::string& route) const {
  const auto it = m_service_us.find(route);
  const double us = it != m_service_us.end() ? it->second
                    : m_mean_service_us > 0  ? m_mean_service_us
                                             : kInitialServiceUs;
  return Duration(static_cast<Duration::rep>(us));
}

Duration AdmissionQueue::MeanServiceTime() const {
  return Duration(static_cast<Duration::rep>(m_mean_service_us > 0 ? m_mean_service_us : kInitialServiceUs));
}

std::uint32_t AdmissionQueue::LoadPermille() const {
  return static_cast<std::uint32_t>((m_running.size() + m_queue.size()) * 1000 / m_slots);
}

Duration AdmissionQueue::ColdLimitWait(TimePoint now) const {
  if (!IsCold(now)) {
    return Duration(0);
  }
  const auto in_window = static_cast<std::size_t>(std::count_if(
      m_recent_sends.begin(), m_recent_sends.end(), [&](TimePoint at) { return now - at < kColdLimitWindow; }));
  if (in_window < m_cold_sends_per_second) {
    return Duration(0);
  }
  const TimePoint oldest = m_recent_sends[m_recent_sends.size() - m_cold_sends_per_second];
  return std::min(oldest + kColdLimitWindow, m_cold_until) - now;
}

AdmissionQueue::QueuePosition AdmissionQueue::PositionOf(TimePoint now, const AdmissionRequest& request) const {
  if (request.inner) {
    return QueuePosition{false, request.priority, request.expires, request.ticket};
  }
  const bool late = request.objective <= now;
  return QueuePosition{true, request.priority + (late ? kLatePriorityOffset : 0), request.objective, request.ticket};
}

TimePoint AdmissionQueue::LatestEnd(TimePoint now, const AdmissionRequest& request) const {
  if (request.inner) {
    // A late inner call still saves its run, but while it waits the run holds a slot that others could use.
    const TimePoint objective = std::max(now, request.objective);
    return objective + Scaled(request.expires - objective, kInnerLateShare);
  }
  if (request.objective <= now) {
    return now + Scaled(request.expires - now, kLateWaitShare) + ServiceTime(request.route);
  }
  return request.objective;
}

bool AdmissionQueue::HasSlot(bool new_work) const {
  const std::uint32_t inner_slots = std::min(m_inner_slots, m_slots - 1);
  return m_running.size() < m_slots && (!new_work || m_running_new < m_slots - inner_slots);
}

Duration AdmissionQueue::EstimateWait(TimePoint now, const QueuePosition& position) const {
  std::size_t ahead = 0;
  const QueuePosition last{position.new_work, position.priority, position.objective, ~AdmissionTicket{0}};
  for (const auto& [queued, request] : m_queue) {
    if (queued > last) {
      break;
    }
    ++ahead;
  }
  Duration wait(0);
  if (m_running.size() + ahead >= m_slots || !HasSlot(position.new_work)) {
    const std::size_t occupied = std::max<std::size_t>(m_running.size() + ahead, m_slots);
    const double turns = static_cast<double>(occupied + 1 - m_slots) / m_slots;
    wait = Scaled(MeanServiceTime(), turns);
  }
  if (IsCold(now)) {
    const Duration cold = ColdLimitWait(now) + Scaled(kSecond, static_cast<double>(ahead) / m_cold_sends_per_second);
    wait = std::max(wait, cold);
  }
  return wait;
}

AdmissionResult AdmissionQueue::Submit(TimePoint now, const AdmissionRequest& request) {
  const QueuePosition position = PositionOf(now, request);
  const bool first = m_queue.empty() || position < m_queue.begin()->first;
  if (first && (m_queue.empty() || request.inner) && HasSlot(position.new_work) && ColdLimitWait(now) <= Duration(0)) {
    MarkSent(now, request);
    return AdmissionResult{AdmissionResult::Kind::kSend, {}};
  }
  const Duration wait = EstimateWait(now, position);
  const Duration service_end = wait + Scaled(ServiceTime(request.route), kRequiredServiceShare);
  const TimePoint latest_end = LatestEnd(now, request);
  if (now + service_end > latest_end) {
    const Duration excess = now + service_end - latest_end;
    return AdmissionResult{AdmissionResult::Kind::kRefused, std::clamp(excess, kMinRetryAfter, kMaxRetryAfter)};
  }
  m_queue.emplace(position, request);
  m_positions.emplace(request.ticket, position);
  return AdmissionResult{AdmissionResult::Kind::kQueued, {}};
}

void AdmissionQueue::MarkSent(TimePoint now, const AdmissionRequest& request) {
  while (!m_recent_sends.empty() && now - m_recent_sends.front() > kColdLimitWindow) {
    m_recent_sends.pop_front();
  }
  m_recent_sends.push_back(now);
  m_running.emplace(request.ticket, RunningRequest{request.route, now, request.inner});
  m_running_new += request.inner ? 0 : 1;
}

void AdmissionQueue::OnFinished(TimePoint now, AdmissionTicket ticket, bool executed) {
  const auto it = m_running.find(ticket);
  if (it == m_running.end()) {
    return;
  }
  if (executed) {
    const auto us = static_cast<double>((now - it->second.sent_at).count());
    double& average = m_service_us.try_emplace(it->second.route, us).first->second;
    // The first samples get a higher weight, because there is no history before them.
    const double weight = std::max(kServiceSampleWeight, 1.0 / ++m_finished_samples);
    average += (us - average) * weight;
    m_mean_service_us = m_mean_service_us > 0 ? m_mean_service_us + (us - m_mean_service_us) * weight : us;
  }
  m_running_new -= it->second.inner ? 0 : 1;
  m_running.erase(it);
}

bool AdmissionQueue::CancelQueued(AdmissionTicket ticket) {
  const auto it = m_positions.find(ticket);
  if (it == m_positions.end()) {
    return false;
  }
  m_queue.erase(it->second);
  m_positions.erase(it);
  return true;
}

std::map<AdmissionQueue::QueuePosition, AdmissionRequest>::iterator AdmissionQueue::NextToSend() {
  const auto first = m_queue.begin();
  if (first == m_queue.end()) {
    return first;
  }
  const auto first_new = m_queue.lower_bound(QueuePosition{true, 0, TimePoint::min(), 0});
  const bool new_may_start = first_new != m_queue.end() && HasSlot(true);
  if (first == first_new) {
    return new_may_start ? first_new : m_queue.end();
  }
  if (new_may_start && m_inner_ahead_of_new >= kMaxInnerAheadOfNew) {
    return first_new;
  }
  return HasSlot(false) ? first : m_queue.end();
}

AdmissionBatch AdmissionQueue::TakeReady(TimePoint now) {
  AdmissionBatch batch;
  const auto erase_queued = [this](std::map<QueuePosition, AdmissionRequest>::iterator it) {
    m_positions.erase(it->second.ticket);
    return m_queue.erase(it);
  };
  for (auto it = m_queue.begin(); it != m_queue.end();) {
    const bool late = it->first.priority >= kLatePriorityOffset || it->second.inner;
    const TimePoint latest_start = (late ? it->second.expires : it->second.objective) -
                                   Scaled(ServiceTime(it->second.route), kMinServiceShareAtHead);
    if (now > latest_start && (late || m_queue.size() > 1 || now >= it->second.objective)) {
      batch.refuse.push_back(AdmissionRefusal{it->second.ticket, kMinRetryAfter});
      it = erase_queued(it);
    } else {
      ++it;
    }
  }
  while (ColdLimitWait(now) <= Duration(0)) {
    const auto next = NextToSend();
    if (next == m_queue.end()) {
      break;
    }
    const bool new_waits = m_queue.rbegin()->first.new_work;
    m_inner_ahead_of_new = next->second.inner && new_waits ? m_inner_ahead_of_new + 1 : 0;
    MarkSent(now, next->second);
    batch.send.push_back(next->second.ticket);
    erase_queued(next);
  }
  return batch;
}

std::optional<TimePoint> AdmissionQueue::NextWakeup(TimePoint now) const {
  if (m_queue.empty()) {
    return std::nullopt;
  }
  TimePoint wakeup = TimePoint::max();
  for (const auto& [position, request] : m_queue) {
    const bool until_deadline = request.inner || position.priority >= kLatePriorityOffset;
    wakeup = std::min(wakeup, until_deadline ? request.expires : request.objective);
  }
  // A slot that is kept for inner calls starts no new work, so that it needs no wakeup while only such work waits.
  if (HasSlot(m_queue.begin()->first.new_work) || HasSlot(m_queue.rbegin()->first.new_work)) {
    wakeup = std::min(wakeup, now + ColdLimitWait(now));
  }
  return wakeup;
}

std::vector<AdmissionTicket> AdmissionQueue::TakeQueued() {
  std::vector<AdmissionTicket> tickets;
  for (const auto& [position, request] : m_queue) {
    tickets.push_back(request.ticket);
  }
  m_queue.clear();
  m_positions.clear();
  return tickets;
}

}  // namespace magnoliaarch
