// Load generator: mix, arrivals, answer checks, results, scores and reports.

#ifndef MAGNOLIAARCH_LOAD_P_H_
#define MAGNOLIAARCH_LOAD_P_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "magnoliaarch/metrics.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// ---- mix ----

// One kind of request.
struct LoadKind {
  std::string name;
  double share = 1;  // relative frequency
  std::string path;  // starts with the entry name; "{key}" is replaced by the routing key
  std::string method = "GET";
  std::string key_header;  // empty: no routing key header
  RequestClass request_class = RequestClass::kNormal;
  bool idempotent = false;
  std::uint32_t body_bytes = 0;
  std::uint32_t deadline_ms = 0;  // 0: the entry's deadline
  double target_ms = 100;         // 99th percentile at which the tail counts in full
  bool composing = false;         // Kamuiwappen's score weights these most
  bool confirmation = false;      // must run exactly once
  bool teller = false;            // Vitosha's score weights their tail
};

// One workspace that sends requests. Its rate is multiplied by the spike factor for `spike_for_s` at the end of each
// period of `spike_every_s`.
struct LoadWorkspace {
  std::string name;
  double share = 1;
  std::vector<std::size_t> kinds;  // indices of the kinds that it sends
  double spike_factor = 1;
  double spike_every_s = 0;  // 0: no spikes
  double spike_for_s = 0;
  double rate_limit = 0;  // the catalogue's rate and burst, to count refusals within the rate; 0: not counted
  double burst_limit = 0;
};

struct LoadMix {
  double rate = 100;  // requests per second, spikes not counted
  double duration_s = 10;
  std::uint32_t seed = 1;
  std::uint32_t keys = 10'000;  // distinct routing keys
  double key_skew = 0.9;        // exponent of the Zipf distribution over keys
  double hot_shift_s = 0;       // time after which other keys become the hot ones; 0: never
  std::uint32_t timeout_ms = 15'000;
  std::vector<LoadKind> kinds;
  std::vector<LoadWorkspace> workspaces;
};

// Parses and checks a mix file. The error lists every fault with file and line.
absl::StatusOr<LoadMix> ParseLoadMix(std::string_view text, const std::string& file_name);

// Parses a file of workspace keys: section [keys] with `WORKSPACE = KEY` lines. No error message contains a key.
absl::StatusOr<std::map<std::string, std::string>> ParseLoadKeys(std::string_view text, const std::string& file_name);

// ---- arrivals ----

// One request to be sent.
struct LoadArrival {
  std::uint64_t index = 0;
  double at_s = 0;  // intended send time after the start
  std::size_t kind = 0;
  std::size_t workspace = 0;
  std::uint32_t key = 0;
  std::size_t node = 0;
  bool within_rate = false;  // the workspace's rate and burst, if given, allow the request
};

// Poisson arrivals of a mix. The same mix and number of nodes give the same sequence.
class LoadArrivals {
 public:
  LoadArrivals(const LoadMix& mix, std::size_t nodes);

  // The next arrival; nothing after the end of the mix's duration.
  std::optional<LoadArrival> Next();

 private:
  double UniformRandom();
  static std::size_t PickIndex(const std::vector<double>& cumulative, double uniform);
  bool TakeToken(std::size_t workspace, double at_s);

  struct Bucket {
    double tokens = 0;
    double at_s = 0;
  };

  const LoadMix m_mix;
  const std::size_t m_nodes;
  std::mt19937_64 m_random;
  double m_peak_rate = 0;
  double m_now_s = 0;
  std::uint64_t m_index = 0;
  std::vector<double> m_workspace_weights;          // cumulative, at peak rate
  std::vector<std::vector<double>> m_kind_weights;  // cumulative, by workspace
  std::vector<double> m_key_weights;                // cumulative, by rank
  std::vector<Bucket> m_buckets;                    // by workspace
};

// ---- one exchange ----

// What is sent for an arrival, and what the target must echo.
struct LoadRequest {
  std::string token;  // unique to the request, part of the path and of the body
  std::string method;
  std::string path;         // towards the node
  std::string target_path;  // towards the target
  std::string body;
  std::vector<Header> headers;  // without Authorization
};

LoadRequest MakeLoadRequest(const LoadMix& mix, const LoadArrival& arrival, std::string_view run_id);

// What came back.
struct LoadAnswer {
  bool received = false;  // false: no complete answer
  int status = 0;
  std::string request_id;  // X-Request-Id
  std::string run_state;   // X-Run-State
  std::string error_kind;  // X-Error-Kind
  std::string body;
};

enum class LoadOutcome {
  kCorrect,
  kRefused,      // a refusal with a known error kind, and the status and run state of its table row
  kTargetError,  // the target's own error answer
  kWrong,        // content differs from what was asked, or the answer contradicts itself
  kCrossed,      // the answer to another request
  kMissing,      // no complete answer
  kUnsent,       // the generator had too many requests in flight
};
inline constexpr std::size_t kLoadOutcomeCount = 7;
std::string_view ToString(LoadOutcome outcome);

// Judges an answer by its content.
LoadOutcome ClassifyAnswer(const LoadRequest& request, const LoadAnswer& answer);

// ---- results ----

inline constexpr std::size_t kLoadRunStateCount = 4;  // ran, not-run, unknown, none given

// Results of one series of requests: a kind, a workspace, a class or all. Safe to update from several threads.
struct LoadSeries {
  Counter requests;
  std::array<Counter, kLoadOutcomeCount> outcomes;
  std::array<Counter, kLoadRunStateCount> run_states;
  Counter executed_twice;       // non-idempotent requests that ran more than once
  Counter false_not_run;        // ran although the answer said not-run
  Counter refused_within_rate;  // refused with rate-exceeded although the workspace kept its limits
  Histogram latency;            // correct answers, from the intended send time
  std::atomic<double> max_latency_s{0};

  std::uint64_t Count(LoadOutcome outcome) const { return outcomes[static_cast<std::size_t>(outcome)].Value(); }
};

// One exchange as it is recorded.
struct LoadRecord {
  LoadArrival arrival;
  std::string token;
  LoadOutcome outcome = LoadOutcome::kMissing;
  std::string request_id;
  std::string run_state;
  std::string error_kind;
  double latency_s = 0;
};

// Executions that the targets counted, added up over all targets.
struct LoadExecutions {
  std::unordered_map<std::string, std::uint64_t> by_request;          // by X-Request-Id
  std::unordered_map<std::string, std::uint64_t> by_idempotency_key;  // by token
};

// Reads the executions of one target's statistics and adds them. The error says what was malformed.
absl::Status AddTargetStats(std::string_view json, LoadExecutions* executions);

class LoadResults {
 public:
  explicit LoadResults(const LoadMix& mix);

  // Adds one exchange. `keep` retains what CheckExecutions needs.
  void Add(const LoadRecord& record, bool keep);

  // Compares the kept exchanges with what the targets counted.
  void CheckExecutions(const LoadExecutions& executions);

  const LoadMix& Mix() const { return m_mix; }
  const LoadSeries& All() const { return m_all; }
  const LoadSeries& Kind(std::size_t index) const { return *m_kinds[index]; }
  const LoadSeries& Workspace(std::size_t index) const { return *m_workspaces[index]; }
  const LoadSeries& Class(RequestClass request_class) const {
    return *m_classes[static_cast<std::size_t>(request_class)];
  }
  // Refusals by error kind.
  std::map<std::string, std::uint64_t> Refusals() const;
  // Answers whose X-Request-Id had been seen before.
  std::uint64_t RepeatedIds() const;

  // Results by time of sending.
  struct Interval {
    Counter requests;
    Counter correct;
    Counter refused;
    Counter failed;  // every other outcome
    Histogram latency;
  };
  double IntervalSeconds() const { return m_interval_s; }
  const std::vector<std::unique_ptr<Interval>>& Intervals() const { return m_intervals; }

  // Whether no answer was wrong, crossed or repeated, nothing ran twice and every not-run was true.
  bool HasNoViolations() const;

 private:
  // Applies the update to every series that the exchange belongs to.
  void ForSeries(const LoadArrival& arrival, const std::function<void(LoadSeries&)>& update);

  const LoadMix m_mix;
  LoadSeries m_all;
  std::vector<std::unique_ptr<LoadSeries>> m_kinds;
  std::vector<std::unique_ptr<LoadSeries>> m_workspaces;
  std::array<std::unique_ptr<LoadSeries>, kRequestClasses> m_classes;
  double m_interval_s = 1;
  std::vector<std::unique_ptr<Interval>> m_intervals;

  mutable std::mutex m_mutex;
  std::map<std::string, std::uint64_t> m_refusals;
  std::unordered_map<std::string, std::uint32_t> m_request_ids;
  std::uint64_t m_repeated_ids = 0;
  std::vector<LoadRecord> m_records;
};

// ---- scores and reports ----

// The two scores of the design page, between 0 and 1; nothing when the mix has no kind that the score weights most.
// Kamuiwappen: mean over kinds of the share answered correctly times the tail factor, weights 5 for composing, 3 for
// confirmations, 1 for others. The tail factor is 1 while the 99th percentile keeps the kind's target, then the target
// divided by the percentile.
std::optional<double> KamuiwappenScore(const LoadResults& results);
// Vitosha: weighted mean of the share of confirmations that ran exactly once and were answered correctly (weight 5),
// the mean tail factor of teller requests (4), and the share answered correctly times the tail factor of prompt kinds
// that are neither (2) and of the rest (1). Confirmations that ran twice, or ran although called not-run, count against
// it ten times.
std::optional<double> VitoshaScore(const LoadResults& results);

// One row for each series.
std::string LoadCsv(const LoadResults& results);
// One row for each interval.
std::string LoadTimeCsv(const LoadResults& results);
// A page with tables and SVG plots that needs no other file.
std::string LoadHtml(const LoadResults& results, const std::string& title);
// A few lines for the terminal.
std::string LoadSummary(const LoadResults& results);

// ---- running ----

struct LoadOptions {
  std::vector<std::string> nodes;           // "IP:PORT"
  std::map<std::string, std::string> keys;  // by workspace
  std::size_t threads = 2;
  std::size_t max_in_flight = 2000;  // in each thread
  std::string run_id;
  bool keep_records = false;
  std::function<void(double elapsed_s)> on_progress;  // called every `progress_s` on the calling thread
  double progress_s = 5;
};

// Sends the mix and adds every exchange to the results; returns when all answers are in or have timed out.
void RunLoad(const LoadMix& mix, const LoadOptions& options, LoadResults* results);

// Fetches `http://ADDRESS/-/stats` of a target.
absl::StatusOr<std::string> FetchTargetStats(const std::string& address);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_LOAD_P_H_
