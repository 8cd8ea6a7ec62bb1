// Test program: a target that echoes requests, counts executions and injects faults on request.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string_view>

#include <gflags/gflags.h>
#include "magnoliaarch/types.h"
#include "standin_http_p.h"

DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_uint32(slots, 6, "requests served at the same time; four times as many may be in progress");
DEFINE_uint32(cold_limit, 2, "concurrent requests that a cold target can serve at normal speed");
DEFINE_uint32(cold_ms, 0, "time from the start until the target is warm");
DEFINE_uint32(service_ms, 2, "service time of a request");
DEFINE_bool(checks_fences, true, "refuse a request whose fence epoch is lower than one seen for its slice");
DEFINE_bool(honours_deadline, true, "stop work at X-Deadline-Ms");

namespace magnoliaarch::standin {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::uint32_t kInProgressPerSlot = 4;
// A cold target serves requests beyond its cold limit slower by this factor.
constexpr int kColdSlowdownFactor = 10;
constexpr auto kLoadSamplePeriod = std::chrono::milliseconds(10);
constexpr std::size_t kMaxLoadSamples = 6000;

// Requests of one routing key at one fence epoch.
struct KeyUse {
  std::uint64_t requests = 0;
  std::int64_t first_us = 0;  // microseconds of BootClock, comparable between targets on one host
  std::int64_t last_us = 0;
};

struct LoadSample {
  SteadyTime at;
  std::size_t in_progress = 0;
};

// A request that was accepted and has no response yet.
struct Work {
  RequestHandle request;
  SteadyTime deadline = SteadyTime::max();
  bool running = false;
  bool answered = false;
};
using WorkHandle = std::shared_ptr<Work>;

std::string HeaderValue(const RequestHandle& request, const char* name) {
  return request->header().get_field_or(name, "");
}

class TargetStandin {
 public:
  explicit TargetStandin(asio::io_context& io) : m_io(io), m_sample_timer(io) {
    m_warm_at = std::chrono::steady_clock::now() + std::chrono::milliseconds(FLAGS_cold_ms);
    SampleLoad();
  }

  void Handle(const RequestHandle& request) {
    const std::string path(request->header().path());
    if (path == "/-/fault") {
      const Json fault = Json::parse(request->body(), nullptr, false);
      if (!fault.is_object()) {
        SendJson(request, 400, Json{{"error", "body is not a JSON object"}});
        return;
      }
      SetFault(fault);
      SendJson(request, 200, Json::object());
    } else if (path == "/-/stats") {
      SendJson(request, 200, Stats());
    } else if (path == "/-/health") {
      AnswerHealth(request);
    } else if (path == "/-/load") {
      AnswerLoad(request);
    } else {
      RunAfter(m_io, m_delay, [this, request] { Accept(request); });
    }
  }

  // Stops accepting requests; `stopped` runs once every accepted request has its response.
  void Stop(std::function<void()> stopped) {
    m_draining = true;
    m_stopped = std::move(stopped);
    CheckStopped();
  }

 private:
  void SetFault(const Json& fault) {
    m_delay = std::chrono::milliseconds(fault.value("delay_ms", static_cast<std::int64_t>(m_delay.count())));
    m_health = fault.value("health", m_health);
    m_load_lag = std::chrono::milliseconds(fault.value("load_lag_ms", static_cast<std::int64_t>(m_load_lag.count())));
    m_draining = fault.value("drain", m_draining);
    if (fault.value("cold", false)) {
      m_warm_at = std::chrono::steady_clock::now() + std::chrono::milliseconds(FLAGS_cold_ms);
      ++m_cold_starts;
    }
    const bool was_frozen = m_frozen;
    m_frozen = fault.value("freeze", m_frozen);
    if (was_frozen && !m_frozen) {
      std::list<std::function<void()>> deferred;
      deferred.swap(m_deferred);
      for (const auto& function : deferred) {
        function();
      }
    }
  }

  bool IsCold() const { return std::chrono::steady_clock::now() < m_warm_at; }

  // Runs the function now, or when the target is unfrozen.
  void WhenNotFrozen(std::function<void()> function) {
    if (m_frozen) {
      m_deferred.push_back(std::move(function));
    } else {
      function();
    }
  }

  void AnswerHealth(const RequestHandle& request) {
    if (m_health == "lie-ok") {
      SendJson(request, 200, Json{{"status", "ok"}});
    } else if (m_health == "lie-bad") {
      SendJson(request, 503, Json{{"status", "bad"}});
    } else {
      WhenNotFrozen([this, request] {
        SendJson(request, m_draining ? 503 : 200, Json{{"status", m_draining ? "draining" : IsCold() ? "cold" : "ok"}});
      });
    }
  }

  void AnswerLoad(const RequestHandle& request) {
    WhenNotFrozen([this, request] {
      const SteadyTime as_of = std::chrono::steady_clock::now() - m_load_lag;
      std::size_t in_progress = m_load_lag.count() == 0 ? m_work.size() : 0;
      for (const LoadSample& sample : m_load_samples) {
        if (m_load_lag.count() > 0 && sample.at <= as_of) {
          in_progress = sample.in_progress;
        }
      }
      SendJson(request, 200, Json{{"slots", FLAGS_slots}, {"in_progress", in_progress}});
    });
  }

  void Accept(const RequestHandle& request) {
    ++m_received;
    if (!HeaderValue(request, "Authorization").empty()) {
      ++m_authorization_seen;
    }
    if (m_draining) {
      ++m_refused_draining;
      Refuse(request, 503, "X-Draining", "draining");
      return;
    }
    if (m_work.size() >= FLAGS_slots * kInProgressPerSlot) {
      ++m_shed;
      Refuse(request, 503, "X-Shed", "overloaded");
      return;
    }
    auto work = std::make_shared<Work>();
    work->request = request;
    const std::string deadline_ms = HeaderValue(request, "X-Deadline-Ms");
    if (FLAGS_honours_deadline && !deadline_ms.empty()) {
      const std::chrono::milliseconds time_left(std::strtoll(deadline_ms.c_str(), nullptr, 10));
      work->deadline = std::chrono::steady_clock::now() + time_left;
      RunAfter(m_io, std::max(time_left, std::chrono::milliseconds(1)),
               [this, work] { WhenNotFrozen([this, work] { StopAtDeadline(work); }); });
    }
    m_work.push_back(work);
    m_highest_in_progress = std::max(m_highest_in_progress, m_work.size());
    if (IsCold()) {
      m_highest_while_cold = std::max(m_highest_while_cold, m_work.size());
    }
    WhenNotFrozen([this] { StartWork(); });
  }

  // Starts accepted requests while slots are free.
  void StartWork() {
    for (const WorkHandle& work : std::list<WorkHandle>(m_work)) {
      if (m_running >= FLAGS_slots) {
        return;
      }
      if (!work->running && !work->answered) {
        Run(work);
      }
    }
  }

  void Run(const WorkHandle& work) {
    const RequestHandle& request = work->request;
    if (std::chrono::steady_clock::now() >= work->deadline) {
      StopAtDeadline(work);
      return;
    }
    const std::string slice = HeaderValue(request, "X-Fence-Slice");
    const std::string epoch_text = HeaderValue(request, "X-Fence-Epoch");
    const std::uint64_t epoch = std::strtoull(epoch_text.c_str(), nullptr, 10);
    if (!slice.empty() && !epoch_text.empty()) {
      std::uint64_t& highest = m_highest_epochs[slice];
      if (epoch < highest) {
        ++m_lower_epochs;
        if (FLAGS_checks_fences) {
          ++m_refused_fence;
          Finish(work, [](const RequestHandle& r) { SendJson(r, 412, Json{{"error", "fence epoch is too low"}}); });
          return;
        }
      }
      highest = std::max(highest, epoch);
    }
    work->running = true;
    ++m_running;
    ++m_executions;
    CountExecution(request, slice, epoch);
    std::chrono::milliseconds service(FLAGS_service_ms);
    if (IsCold() && m_running > FLAGS_cold_limit) {
      ++m_over_cold_limit;
      service *= kColdSlowdownFactor;
    }
    RunAfter(m_io, service, [this, work] { WhenNotFrozen([this, work] { Complete(work); }); });
  }

  void CountExecution(const RequestHandle& request, const std::string& slice, std::uint64_t epoch) {
    const std::string id = HeaderValue(request, "X-Request-Id");
    if (!id.empty()) {
      ++m_executions_by_request[id];
    }
    const std::string idempotency_key = HeaderValue(request, "Idempotency-Key");
    if (!idempotency_key.empty()) {
      ++m_executions_by_idempotency_key[idempotency_key];
    }
    std::string key = HeaderValue(request, "X-Routing-Key");
    if (key.empty() && !slice.empty()) {
      key = "slice " + slice;
    }
    if (!key.empty()) {
      KeyUse& use = m_key_uses[key][epoch];
      const std::int64_t now = BootClock::now().time_since_epoch().count();
      if (use.requests++ == 0) {
        use.first_us = now;
      }
      use.last_us = now;
    }
  }

  void Complete(const WorkHandle& work) {
    if (work->answered) {
      return;
    }
    ++m_completed;
    Finish(work, [this](const RequestHandle& request) {
      const std::string id = HeaderValue(request, "X-Request-Id");
      SendJson(request, 200,
               Json{{"method", request->header().method().c_str()},
                    {"path", request->header().request_target()},
                    {"body", request->body()},
                    {"request_id", id},
                    {"workspace", HeaderValue(request, "X-Workspace")},
                    {"fence_epoch", HeaderValue(request, "X-Fence-Epoch")},
                    {"fence_slice", HeaderValue(request, "X-Fence-Slice")},
                    {"idempotency_key", HeaderValue(request, "Idempotency-Key")},
                    {"authorization_seen", !HeaderValue(request, "Authorization").empty()},
                    {"execution", id.empty() ? 0 : m_executions_by_request[id]}});
    });
  }

  void StopAtDeadline(const WorkHandle& work) {
    if (work->answered) {
      return;
    }
    ++m_stopped_at_deadline;
    Finish(work, [](const RequestHandle& r) { SendJson(r, 504, Json{{"error", "deadline passed"}}); });
  }

  // Sends the response and frees the slot.
  void Finish(const WorkHandle& work, const std::function<void(const RequestHandle&)>& answer) {
    work->answered = true;
    if (work->running) {
      --m_running;
    }
    m_work.remove(work);
    answer(work->request);
    // Posted, because StartWork may call Finish again and a long series would recurse deeply.
    asio::post(m_io, [this] { WhenNotFrozen([this] { StartWork(); }); });
    CheckStopped();
  }

  static void Refuse(const RequestHandle& request, int status, const char* header, const char* reason) {
    request
        ->create_response(
            restinio::http_status_line_t{restinio::http_status_code_t(static_cast<std::uint16_t>(status)), "Refused"})
        .append_header(header, "1")
        .append_header("X-Request-Id", HeaderValue(request, "X-Request-Id"))
        .append_header("Content-Type", "application/json")
        .set_body(Json{{"error", reason}}.dump())
        .done();
  }

  void CheckStopped() {
    if (m_stopped && m_work.empty()) {
      // Leaves time for the last response to be sent.
      RunAfter(m_io, std::chrono::milliseconds(50), m_stopped);
      m_stopped = nullptr;
    }
  }

  void SampleLoad() {
    m_load_samples.push_back(LoadSample{std::chrono::steady_clock::now(), m_work.size()});
    if (m_load_samples.size() > kMaxLoadSamples) {
      m_load_samples.pop_front();
    }
    m_sample_timer.expires_after(kLoadSamplePeriod);
    m_sample_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        SampleLoad();
      }
    });
  }

  Json Stats() const {
    Json keys = Json::object();
    for (const auto& [key, epochs] : m_key_uses) {
      for (const auto& [epoch, use] : epochs) {
        keys[key][std::to_string(epoch)] =
            Json{{"requests", use.requests}, {"first_us", use.first_us}, {"last_us", use.last_us}};
      }
    }
    return Json{{"received", m_received},
                {"executions", m_executions},
                {"completed", m_completed},
                {"in_progress", m_work.size()},
                {"highest_in_progress", m_highest_in_progress},
                {"highest_while_cold", m_highest_while_cold},
                {"over_cold_limit", m_over_cold_limit},
                {"cold_starts", m_cold_starts},
                {"shed", m_shed},
                {"refused_draining", m_refused_draining},
                {"refused_fence", m_refused_fence},
                {"lower_epochs", m_lower_epochs},
                {"stopped_at_deadline", m_stopped_at_deadline},
                {"authorization_seen", m_authorization_seen},
                {"executions_by_request", m_executions_by_request},
                {"executions_by_idempotency_key", m_executions_by_idempotency_key},
                {"owners_by_key", keys}};
  }

  asio::io_context& m_io;
  asio::steady_timer m_sample_timer;
  std::list<WorkHandle> m_work;
  std::list<std::function<void()>> m_deferred;  // functions to run when the target is unfrozen
  std::size_t m_running = 0;
  std::deque<LoadSample> m_load_samples;
  std::map<std::string, std::uint64_t> m_highest_epochs;
  std::map<std::string, std::uint64_t> m_executions_by_request;
  std::map<std::string, std::uint64_t> m_executions_by_idempotency_key;
  std::map<std::string, std::map<std::uint64_t, KeyUse>> m_key_uses;

  SteadyTime m_warm_at;
  std::chrono::milliseconds m_delay{0};
  std::chrono::milliseconds m_load_lag{0};
  std::string m_health = "true";
  bool m_frozen = false;
  bool m_draining = false;
  std::function<void()> m_stopped;

  std::uint64_t m_received = 0;
  std::uint64_t m_executions = 0;
  std::uint64_t m_completed = 0;
  std::size_t m_highest_in_progress = 0;
  std::size_t m_highest_while_cold = 0;
  std::uint64_t m_over_cold_limit = 0;
  std::uint64_t m_cold_starts = 0;
  std::uint64_t m_shed = 0;
  std::uint64_t m_refused_draining = 0;
  std::uint64_t m_refused_fence = 0;
  std::uint64_t m_lower_epochs = 0;
  std::uint64_t m_stopped_at_deadline = 0;
  std::uint64_t m_authorization_seen = 0;
};

}  // namespace
}  // namespace magnoliaarch::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context io;
  magnoliaarch::standin::TargetStandin target(io);
  const auto server = magnoliaarch::standin::StartServer(io, FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port),
                                                         [&target](const auto& request) { target.Handle(request); });
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code&, int) { target.Stop([&io] { io.stop(); }); });
  io.run();
  return 0;
}
