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

Duration AdmissionQueue::EstimateWait(TimePoint now, std::uint32_t priority, TimePoint objective) const {
  std::size_t ahead = 0;
  for (const auto& [position, request] : m_queue) {
    if (position.priority > priority || (position.priority == priority && position.objective > objective)) {
      break;
    }
    ++ahead;
  }
  Duration wait(0);
  if (m_running.size() + ahead >= m_slots) {
    const double turns = static_cast<double>(m_running.size() + ahead + 1 - m_slots) / m_slots;
    wait = Scaled(MeanServiceTime(), turns);
  }
  if (IsCold(now)) {
    const Duration cold = ColdLimitWait(now) + Scaled(kSecond, static_cast<double>(ahead) / m_cold_sends_per_second);
    wait = std::max(wait, cold);
  }
  return wait;
}

AdmissionResult AdmissionQueue::Submit(TimePoint now, const AdmissionRequest& request) {
  if (m_queue.empty() && m_running.size() < m_slots && ColdLimitWait(now) <= Duration(0)) {
    MarkSent(now, request);
    return AdmissionResult{AdmissionResult::Kind::kSend, {}};
  }
  const bool late = request.objective <= now;
  const std::uint32_t priority = request.priority + (late ? kLatePriorityOffset : 0);
  const Duration wait = EstimateWait(now, priority, request.objective);
  const Duration service_end = wait + Scaled(ServiceTime(request.route), kRequiredServiceShare);
  const TimePoint latest_end =
      late ? now + Scaled(request.expires - now, kLateWaitShare) + ServiceTime(request.route) : request.objective;
  if (now + service_end > latest_end) {
    const Duration excess = now + service_end - latest_end;
    return AdmissionResult{AdmissionResult::Kind::kRefused, std::clamp(excess, kMinRetryAfter, kMaxRetryAfter)};
  }
  const QueuePosition position{priority, request.objective, request.ticket};
  m_queue.emplace(position, request);
  m_positions.emplace(request.ticket, position);
  return AdmissionResult{AdmissionResult::Kind::kQueued, {}};
}

void AdmissionQueue::MarkSent(TimePoint now, const AdmissionRequest& request) {
  while (!m_recent_sends.empty() && now - m_recent_sends.front() > kColdLimitWindow) {
    m_recent_sends.pop_front();
  }
  m_recent_sends.push_back(now);
  m_running.emplace(request.ticket, RunningRequest{request.route, now});
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

AdmissionBatch AdmissionQueue::TakeReady(TimePoint now) {
  AdmissionBatch batch;
  const auto erase_queued = [this](std::map<QueuePosition, AdmissionRequest>::iterator it) {
    m_positions.erase(it->second.ticket);
    return m_queue.erase(it);
  };
  for (auto it = m_queue.begin(); it != m_queue.end();) {
    const bool late = it->first.priority >= kLatePriorityOffset;
    const TimePoint latest_start = (late ? it->second.expires : it->second.objective) -
                                   Scaled(ServiceTime(it->second.route), kMinServiceShareAtHead);
    if (now > latest_start && (late || m_queue.size() > 1 || now >= it->second.objective)) {
      batch.refuse.push_back(AdmissionRefusal{it->second.ticket, kMinRetryAfter});
      it = erase_queued(it);
    } else {
      ++it;
    }
  }
  while (!m_queue.empty() && m_running.size() < m_slots && ColdLimitWait(now) <= Duration(0)) {
    const auto first = m_queue.begin();
    MarkSent(now, first->second);
    batch.send.push_back(first->second.ticket);
    erase_queued(first);
  }
  return batch;
}

std::optional<TimePoint> AdmissionQueue::NextWakeup(TimePoint now) const {
  if (m_queue.empty()) {
    return std::nullopt;
  }
  TimePoint wakeup = TimePoint::max();
  for (const auto& [position, request] : m_queue) {
    wakeup = std::min(wakeup, position.priority >= kLatePriorityOffset ? request.expires : request.objective);
  }
  if (m_running.size() < m_slots) {
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
