#include "mesh_gate_p.h"

#include <algorithm>

namespace magnoliaarch {
namespace {

// Weight of the newest service time in its average.
constexpr double kServiceWeight = 0.08;
// Assumed before the first answer.
constexpr double kFirstServiceUs = 60'000;
// A request fits when its objective leaves this share of the mean service time after the wait; most requests take less
// than the mean.
constexpr double kServiceShare = 0.85;
// At the head of the queue a request with less than this share left is no longer worth a slot that another could use.
constexpr double kHopelessShare = 0.6;
// Longest time that a request waits whose answer is late in any case, of the time that is left to it.
constexpr double kLateWaitShare = 0.15;
// Late requests are served after all others.
constexpr std::uint32_t kLatePriority = 1000;
constexpr Duration kSecond = std::chrono::seconds(1);
// The target may count a second a little differently.
constexpr Duration kColdWindow = kSecond + std::chrono::milliseconds(60);
// A request that comes back is placed by its objective, ahead of newer ones, so it is asked back soon.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(25);
constexpr Duration kMostRetryAfter = std::chrono::milliseconds(150);

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void MeshGate::SetCold(TimePoint until, std::uint32_t sends_per_second) {
  m_cold_until = until;
  m_cold_rate = sends_per_second;
}

Duration MeshGate::ServiceOf(const std::string& route) const {
  const auto it = m_service_us.find(route);
  const double us = it != m_service_us.end() ? it->second : m_mean_service_us > 0 ? m_mean_service_us : kFirstServiceUs;
  return Duration(static_cast<Duration::rep>(us));
}

Duration MeshGate::MeanService() const {
  return Duration(static_cast<Duration::rep>(m_mean_service_us > 0 ? m_mean_service_us : kFirstServiceUs));
}

std::uint32_t MeshGate::LoadPermille() const {
  return static_cast<std::uint32_t>((m_running.size() + m_queue.size()) * 1000 / m_slots);
}

Duration MeshGate::ColdWait(TimePoint now) const {
  if (!IsCold(now)) {
    return Duration(0);
  }
  const auto in_window = static_cast<std::size_t>(std::count_if(m_recent_sends.begin(), m_recent_sends.end(),
                                                                [&](TimePoint at) { return now - at < kColdWindow; }));
  if (in_window < m_cold_rate) {
    return Duration(0);
  }
  const TimePoint oldest = m_recent_sends[m_recent_sends.size() - m_cold_rate];
  return std::min(oldest + kColdWindow, m_cold_until) - now;
}

Duration MeshGate::WaitFor(TimePoint now, std::uint32_t priority, TimePoint objective) const {
  std::size_t ahead = 0;
  for (const auto& [key, work] : m_queue) {
    if (key.priority > priority || (key.priority == priority && key.objective > objective)) {
      break;
    }
    ++ahead;
  }
  Duration wait(0);
  if (m_running.size() + ahead >= m_slots) {
    const double turns = static_cast<double>(m_running.size() + ahead + 1 - m_slots) / m_slots;
    wait = Scaled(MeanService(), turns);
  }
  if (IsCold(now)) {
    const Duration cold = ColdWait(now) + Scaled(kSecond, static_cast<double>(ahead) / m_cold_rate);
    wait = std::max(wait, cold);
  }
  return wait;
}

GateVerdict MeshGate::Offer(TimePoint now, const GateWork& work) {
  if (m_queue.empty() && m_running.size() < m_slots && ColdWait(now) <= Duration(0)) {
    Send(now, work);
    return GateVerdict{GateVerdict::Kind::kSend, {}};
  }
  const bool late = work.objective <= now;
  const std::uint32_t priority = work.priority + (late ? kLatePriority : 0);
  const Duration wait = WaitFor(now, priority, work.objective);
  const Duration finish = wait + Scaled(ServiceOf(work.route), kServiceShare);
  const TimePoint bound =
      late ? now + Scaled(work.expires - now, kLateWaitShare) + ServiceOf(work.route) : work.objective;
  if (now + finish > bound) {
    const Duration excess = now + finish - bound;
    return GateVerdict{GateVerdict::Kind::kRefused, std::clamp(excess, kLeastRetryAfter, kMostRetryAfter)};
  }
  const Key key{priority, work.objective, work.ticket};
  m_queue.emplace(key, work);
  m_keys.emplace(work.ticket, key);
  return GateVerdict{GateVerdict::Kind::kQueued, {}};
}

void MeshGate::Send(TimePoint now, const GateWork& work) {
  while (!m_recent_sends.empty() && now - m_recent_sends.front() > kColdWindow) {
    m_recent_sends.pop_front();
  }
  m_recent_sends.push_back(now);
  m_running.emplace(work.ticket, RunningWork{work.route, now});
}

void MeshGate::OnEnded(TimePoint now, GateTicket ticket, bool worked) {
  const auto it = m_running.find(ticket);
  if (it == m_running.end()) {
    return;
  }
  if (worked) {
    const auto us = static_cast<double>((now - it->second.since).count());
    double& average = m_service_us.try_emplace(it->second.route, us).first->second;
    // The first answers weigh more: nothing is known before them.
    const double weight = std::max(kServiceWeight, 1.0 / ++m_answers);
    average += (us - average) * weight;
    m_mean_service_us = m_mean_service_us > 0 ? m_mean_service_us + (us - m_mean_service_us) * weight : us;
  }
  m_running.erase(it);
}

bool MeshGate::Withdraw(GateTicket ticket) {
  const auto it = m_keys.find(ticket);
  if (it == m_keys.end()) {
    return false;
  }
  m_queue.erase(it->second);
  m_keys.erase(it);
  return true;
}

GateStep MeshGate::Next(TimePoint now) {
  GateStep step;
  const auto remove = [this](std::map<Key, GateWork>::iterator it) {
    m_keys.erase(it->second.ticket);
    return m_queue.erase(it);
  };
  for (auto it = m_queue.begin(); it != m_queue.end();) {
    const bool late = it->first.priority >= kLatePriority;
    const TimePoint worthwhile =
        (late ? it->second.expires : it->second.objective) - Scaled(ServiceOf(it->second.route), kHopelessShare);
    if (now > worthwhile && (late || m_queue.size() > 1 || now >= it->second.objective)) {
      step.refuse.push_back(GateRefusal{it->second.ticket, kLeastRetryAfter});
      it = remove(it);
    } else {
      ++it;
    }
  }
  while (!m_queue.empty() && m_running.size() < m_slots && ColdWait(now) <= Duration(0)) {
    const auto first = m_queue.begin();
    Send(now, first->second);
    step.send.push_back(first->second.ticket);
    remove(first);
  }
  return step;
}

std::optional<TimePoint> MeshGate::WakeAt(TimePoint now) const {
  if (m_queue.empty()) {
    return std::nullopt;
  }
  TimePoint first = TimePoint::max();
  for (const auto& [key, work] : m_queue) {
    first = std::min(first, key.priority >= kLatePriority ? work.expires : work.objective);
  }
  if (m_running.size() < m_slots) {
    first = std::min(first, now + ColdWait(now));
  }
  return first;
}

std::vector<GateTicket> MeshGate::TakeQueued() {
  std::vector<GateTicket> tickets;
  for (const auto& [key, work] : m_queue) {
    tickets.push_back(work.ticket);
  }
  m_queue.clear();
  m_keys.clear();
  return tickets;
}

}  // namespace magnoliaarch
