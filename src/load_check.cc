#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "load_p.h"
#include "magnoliaarch/error.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

using Json = nlohmann::json;

// Maximum number of request ids kept to detect repeated ids; 5 million take about 500 MB.
constexpr std::size_t kMaxTrackedIds = 5'000'000;
// Maximum number of intervals in the plots.
constexpr double kMaxIntervals = 600;

std::size_t RunStateIndex(std::string_view run_state) {
  for (const RunState state : {RunState::kRan, RunState::kNotRun, RunState::kUnknown}) {
    if (run_state == ToString(state)) {
      return static_cast<std::size_t>(state);
    }
  }
  return kLoadRunStateCount - 1;
}

std::string TextField(const Json& object, const char* field) {
  const auto found = object.find(field);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Whether the text contains a request token ("load=TOKEN") other than `token`, as the answer to another request does.
bool ContainsOtherToken(std::string_view text, std::string_view token) {
  constexpr std::string_view kTokenPrefix = "load=";
  for (std::size_t at = text.find(kTokenPrefix); at != std::string_view::npos; at = text.find(kTokenPrefix, at + 1)) {
    const std::string_view rest = text.substr(at + kTokenPrefix.size());
    if (rest.substr(0, rest.find_first_of(" \"&")) != token) {
      return true;
    }
  }
  return false;
}

void UpdateMax(std::atomic<double>* highest, double value) {
  double seen = highest->load(std::memory_order_relaxed);
  while (value > seen && !highest->compare_exchange_weak(seen, value, std::memory_order_relaxed)) {
  }
}

}  // namespace

std::string_view ToString(LoadOutcome outcome) {
  constexpr std::array<std::string_view, kLoadOutcomeCount> kNames = {"correct", "refused", "target-error", "wrong",
                                                                      "crossed", "missing", "unsent"};
  return kNames[static_cast<std::size_t>(outcome)];
}

LoadRequest MakeLoadRequest(const LoadMix& mix, const LoadArrival& arrival, std::string_view run_id) {
  const LoadKind& kind = mix.kinds[arrival.kind];
  const std::string key = Cat("key-", arrival.key);
  LoadRequest request;
  request.token = Cat(run_id, "-", arrival.index);
  request.method = kind.method;
  request.path = kind.path;
  for (std::size_t at = request.path.find("{key}"); at != std::string::npos; at = request.path.find("{key}", at)) {
    request.path.replace(at, 5, key);
    at += key.size();
  }
  request.path += Cat("?load=", request.token);
  request.target_path = request.path.substr(request.path.find('/', 1));
  if (kind.method != "GET") {
    request.body = Cat("load=", request.token, " ");
    if (request.body.size() < kind.body_bytes) {
      request.body.append(kind.body_bytes - request.body.size(), 'x');
    }
    request.headers.push_back({"Content-Type", "text/plain"});
  }
  request.headers.push_back({"X-Request-Kind", kind.name});
  if (!kind.key_header.empty()) {
    request.headers.push_back({kind.key_header, key});
  }
  if (kind.deadline_ms != 0) {
    request.headers.push_back({"X-Deadline-Ms", Cat(kind.deadline_ms)});
  }
  if (!kind.idempotent) {
    request.headers.push_back({"Idempotency-Key", request.token});
  }
  return request;
}

LoadOutcome ClassifyAnswer(const LoadRequest& request, const LoadAnswer& answer) {
  if (!answer.received) {
    return LoadOutcome::kMissing;
  }
  if (ContainsOtherToken(answer.body, request.token)) {
    return LoadOutcome::kCrossed;
  }
  if (!answer.error_kind.empty()) {
    const std::optional<ErrorKind> kind = ParseErrorKind(answer.error_kind);
    const bool consistent =
        kind && AnswerFor(*kind).status == answer.status && ToString(AnswerFor(*kind).run_state) == answer.run_state;
    return consistent ? LoadOutcome::kRefused : LoadOutcome::kWrong;
  }
  if (answer.status != 200) {
    return LoadOutcome::kTargetError;
  }
  const Json echo = Json::parse(answer.body, nullptr, false);
  if (!echo.is_object() || TextField(echo, "method") != request.method ||
      TextField(echo, "path") != request.target_path || TextField(echo, "body") != request.body ||
      answer.run_state != ToString(RunState::kRan) || answer.request_id.empty() ||
      TextField(echo, "request_id") != answer.request_id) {
    return LoadOutcome::kWrong;
  }
  return LoadOutcome::kCorrect;
}

absl::Status AddTargetStats(std::string_view json, LoadExecutions* executions) {
  const Json stats = Json::parse(json, nullptr, false);
  const std::pair<const char*, std::unordered_map<std::string, std::uint64_t>*> fields[] = {
      {"executions_by_request", &executions->by_request},
      {"executions_by_idempotency_key", &executions->by_idempotency_key}};
  for (const auto& [field, counts] : fields) {
    if (!stats.is_object() || !stats.contains(field) || !(stats[field].is_object() || stats[field].is_null())) {
      return absl::InvalidArgumentError(Cat("target statistics lack the object ", field));
    }
    for (const auto& [id, count] : stats[field].items()) {
      if (!count.is_number_unsigned()) {
        return absl::InvalidArgumentError(Cat("target statistics hold a malformed count in ", field));
      }
      (*counts)[id] += count.get<std::uint64_t>();
    }
  }
  return absl::OkStatus();
}

LoadResults::LoadResults(const LoadMix& mix) : m_mix(mix) {
  for (std::size_t i = 0; i < mix.kinds.size(); ++i) {
    m_kinds.push_back(std::make_unique<LoadSeries>());
  }
  for (std::size_t i = 0; i < mix.workspaces.size(); ++i) {
    m_workspaces.push_back(std::make_unique<LoadSeries>());
  }
  for (auto& series : m_classes) {
    series = std::make_unique<LoadSeries>();
  }
  m_interval_s = std::max(1.0, mix.duration_s / kMaxIntervals);
  const auto intervals = static_cast<std::size_t>(std::ceil(mix.duration_s / m_interval_s));
  for (std::size_t i = 0; i < intervals; ++i) {
    m_intervals.push_back(std::make_unique<Interval>());
  }
}

void LoadResults::ForSeries(const LoadArrival& arrival, const std::function<void(LoadSeries&)>& update) {
  update(m_all);
  update(*m_kinds[arrival.kind]);
  update(*m_workspaces[arrival.workspace]);
  update(*m_classes[static_cast<std::size_t>(m_mix.kinds[arrival.kind].request_class)]);
}

void LoadResults::Add(const LoadRecord& record, bool keep) {
  const bool correct = record.outcome == LoadOutcome::kCorrect;
  const bool refused = record.outcome == LoadOutcome::kRefused;
  ForSeries(record.arrival, [&](LoadSeries& series) {
    series.requests.Add();
    series.outcomes[static_cast<std::size_t>(record.outcome)].Add();
    series.run_states[RunStateIndex(record.run_state)].Add();
    if (refused && record.arrival.within_rate && record.error_kind == AnswerFor(ErrorKind::kRateExceeded).name) {
      series.refused_within_rate.Add();
    }
    if (correct) {
      series.latency.Observe(record.latency_s);
      UpdateMax(&series.max_latency_s, record.latency_s);
    }
  });
  const auto at = static_cast<std::size_t>(record.arrival.at_s / m_interval_s);
  Interval& interval = *m_intervals[std::min(at, m_intervals.size() - 1)];
  interval.requests.Add();
  (correct ? interval.correct : refused ? interval.refused : interval.failed).Add();
  if (correct) {
    interval.latency.Observe(record.latency_s);
  }
  std::lock_guard lock(m_mutex);
  if (!record.error_kind.empty()) {
    ++m_refusals[record.error_kind];
  }
  if (!record.request_id.empty()) {
    if (const auto found = m_request_ids.find(record.request_id); found != m_request_ids.end()) {
      ++found->second;
      ++m_repeated_ids;
    } else if (m_request_ids.size() < kMaxTrackedIds) {
      m_request_ids.emplace(record.request_id, 1);
    }
  }
  if (keep && record.outcome != LoadOutcome::kUnsent) {
    m_records.push_back(record);
  }
}

void LoadResults::CheckExecutions(const LoadExecutions& executions) {
  const auto count_in = [](const std::unordered_map<std::string, std::uint64_t>& counts, const std::string& id) {
    const auto found = counts.find(id);
    return found == counts.end() ? std::uint64_t{0} : found->second;
  };
  std::vector<LoadRecord> records;
  {
    std::lock_guard lock(m_mutex);
    records.swap(m_records);
  }
  for (const LoadRecord& record : records) {
    const bool idempotent = m_mix.kinds[record.arrival.kind].idempotent;
    const std::uint64_t executed =
        std::max(record.request_id.empty() ? 0 : count_in(executions.by_request, record.request_id),
                 idempotent ? 0 : count_in(executions.by_idempotency_key, record.token));
    ForSeries(record.arrival, [&](LoadSeries& series) {
      if (!idempotent && executed > 1) {
        series.executed_twice.Add();
      }
      if (executed > 0 && record.run_state == ToString(RunState::kNotRun)) {
        series.false_not_run.Add();
      }
    });
  }
}

std::map<std::string, std::uint64_t> LoadResults::Refusals() const {
  std::lock_guard lock(m_mutex);
  return m_refusals;
}

std::uint64_t LoadResults::RepeatedIds() const {
  std::lock_guard lock(m_mutex);
  return m_repeated_ids;
}

bool LoadResults::HasNoViolations() const {
  return m_all.Count(LoadOutcome::kWrong) == 0 && m_all.Count(LoadOutcome::kCrossed) == 0 &&
         m_all.executed_twice.Value() == 0 && m_all.false_not_run.Value() == 0 && RepeatedIds() == 0;
}

}  // namespace magnoliaarch
