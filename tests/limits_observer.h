// Checks the invariants of the request path, numbered as on the design page. The observer sees only the requests that
// targets received and the answers that callers got.

#ifndef TESTS_LIMITS_OBSERVER_H_
#define TESTS_LIMITS_OBSERVER_H_

#include <map>
#include <string>
#include <vector>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

class LimitsObserver {
 public:
  struct IssuedRequest {
    std::string workspace;
    std::string key;  // Idempotency-Key
    bool idempotent = false;
    TimePoint issued;
    TimePoint deadline;
    std::uint64_t lease = 0;  // lease generation of the owner when the caller sent the request
    int answers = 0;
    RunState state = RunState::kUnknown;
    int runs = 0;
  };
  struct TargetState {
    int running = 0;
    int successes = 0;  // successful requests since the target's last start
  };

  explicit LimitsObserver(int cold_limit) : m_cold_limit(cold_limit) {}

  void OnIssued(RequestId id, IssuedRequest record) { m_records[id] = std::move(record); }

  // The target started a request; `lease` is 0 while the target's node holds no lease.
  void OnStarted(int target, const Request& request, std::uint64_t lease, TimePoint now) {
    IssuedRequest& record = m_records[request.id];
    TargetState& state = m_targets[target];
    ++state.running;
    ++record.runs;
    Check(state.running <= m_cold_limit + state.successes, "I3", request.id);
    Check(request.workspace == record.workspace, "I5", request.id);
    Check(record.idempotent || record.runs <= 1, "I9", request.id);
    // A request sent just before its deadline may take a millisecond to arrive.
    Check(now <= record.deadline + std::chrono::milliseconds(1), "work after the deadline", request.id);
    Check(lease != 0, "work without a lease", request.id);
    if (!record.key.empty()) {
      Check(++m_key_runs[{record.workspace + '|' + record.key, lease}] <= 1, "I9 by Idempotency-Key", request.id);
    }
    m_run_lease[request.id] = lease;
  }
  // The target received a request, which it runs or sheds.
  void OnReceived() { ++m_received; }
  void OnEnded(int target, bool success) {
    --m_targets[target].running;
    m_targets[target].successes += success ? 1 : 0;
  }
  void OnTargetRestarted(int target) { m_targets[target] = {}; }

  void OnCallerAnswered(RequestId id, const Response& response, TimePoint now) {
    IssuedRequest& record = m_records[id];
    Check(++record.answers == 1, "I7: two answers", id);
    Check(now <= record.deadline + std::chrono::milliseconds(50), "I7: late answer", id);
    record.state = response.run_state;
    if (!response.error_kind.empty()) {
      return;
    }
    // The body of a target's answer is the id of the request that it belongs to.
    const RequestId from = RequestId::Parse(response.body);
    const IssuedRequest& source = m_records[from];
    Check(source.workspace == record.workspace, "I5: another workspace's answer", id);
    Check(from == id || (!record.key.empty() && source.key == record.key), "I7: another request's answer", id);
    Check(from == id || m_run_lease[from] >= record.lease, "answer from memory after a broken lease", id);
  }

  // Checks the invariants after the run. Requests issued before `planned_before` met no fault other than planned stops,
  // so they must have run.
  void Finish(TimePoint planned_before) {
    for (const auto& [id, record] : m_records) {
      Check(record.answers == 1, "I7: no answer", id);
      Check(record.state != RunState::kNotRun || record.runs == 0, "I8", id);
      Check(record.issued >= planned_before || record.state == RunState::kRan, "I11", id);
    }
  }
  // Load during an outage of all targets: retries add at most 10%, the accumulated retry budget and the hedges.
  void CheckRetryLoad() {
    Check(m_received <= 1.2 * static_cast<double>(m_records.size()) + 25, "retries multiply load", {});
  }

  const std::vector<std::string>& Violations() const { return m_violations; }
  double ReceivedCount() const { return m_received; }

  void Check(bool holds, const char* rule, RequestId id) {
    if (!holds) {
      m_violations.push_back(std::string(rule) + " request " + std::to_string(id.low));
    }
  }

 private:
  int m_cold_limit;
  double m_received = 0;
  std::map<RequestId, IssuedRequest> m_records;
  std::map<int, TargetState> m_targets;
  std::map<RequestId, std::uint64_t> m_run_lease;
  std::map<std::pair<std::string, std::uint64_t>, int> m_key_runs;
  std::vector<std::string> m_violations;
};

}  // namespace magnoliaarch

#endif  // TESTS_LIMITS_OBSERVER_H_
