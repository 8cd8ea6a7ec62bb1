// Load generator: request mix, arrivals, answer validation, results, scores and reports.

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

// ---- Mix ----

// One kind of request.
struct LoadKind {
  std::string name;
  double share = 1;  // relative frequency among the kinds
  std::string path;  // starts with the entry name; "{key}" is replaced by the routing key
  std::string method = "GET";
  std::string key_header;  // empty: no routing key header
  RequestClass request_class = RequestClass::kNormal;
  bool idempotent = false;
  std::uint32_t body_bytes = 0;
  std::uint32_t deadline_ms = 0;  // 0: the entry's deadline
  double target_ms = 100;         // 99th percentile latency up to which the tail factor of the score is 1
  bool composing = false;         // highest weight in Kamuiwappen's score
  bool confirmation = false;      // must run exactly once
  bool teller = false;            // Vitosha's score includes their tail latency
};

// One workspace that sends requests. Its rate is multiplied by `spike_factor` during the last `spike_for_s` of each
// period of `spike_every_s`.
struct LoadWorkspace {
  std::string name;
  double share = 1;
  std::vector<std::size_t> kinds;  // indices into LoadMix::kinds
  double spike_factor = 1;
  double spike_every_s = 0;  // 0: no spikes
  double spike_for_s = 0;
  double rate_limit = 0;  // rate and burst of the catalogue, to count refusals within the rate; 0: not counted
  double burst_limit = 0;
};

struct LoadMix {
  double rate = 100;  // requests per second outside of spikes
  double duration_s = 10;
  std::uint32_t seed = 1;
  std::uint32_t keys = 10'000;  // distinct routing keys
  double key_skew = 0.9;        // exponent of the Zipf distribution over keys
  double hot_shift_s = 0;       // period after which a different set of keys is hot; 0: never
  std::uint32_t timeout_ms = 15'000;
  std::vector<LoadKind> kinds;
  std::vector<LoadWorkspace> workspaces;
};

// Parses and validates a mix file. Returns kInvalidArgument with all errors, one "FILE:LINE: message" per line.
absl::StatusOr<LoadMix> ParseLoadMix(std::string_view text, const std::string& file_name);

// Parses a file of workspace keys: section [keys] with `WORKSPACE = KEY` lines. Error messages never contain a key.
absl::StatusOr<std::map<std::string, std::string>> ParseLoadKeys(std::string_view text, const std::string& file_name);

// ---- Arrivals ----

// A scheduled request.
struct LoadArrival {
  std::uint64_t index = 0;
  double at_s = 0;  // intended send time, in seconds after the start
  std::size_t kind = 0;
  std::size_t workspace = 0;
  std::uint32_t key = 0;
  std::size_t node = 0;
  bool within_rate = false;  // the rate and burst limits of the workspace, if set, allow the request
};

// Generates the Poisson arrivals of a mix. The sequence is determined by the mix, its seed and the number of nodes.
class LoadArrivals {
 public:
  LoadArrivals(const LoadMix& mix, std::size_t nodes);

  // Returns the next arrival, or nullopt after the duration of the mix.
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

// ---- Requests and answers ----

// The request that is sent for an arrival. The target has to echo its method, path and body.
struct LoadRequest {
  std::string token;  // unique for each request; part of the path and of the body
  std::string method;
  std::string path;         // as sent to the node
  std::string target_path;  // as forwarded to the target
  std::string body;
  std::vector<Header> headers;  // without Authorization
};

LoadRequest MakeLoadRequest(const LoadMix& mix, const LoadArrival& arrival, std::string_view run_id);

// The answer to a request.
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
  kRefused,      // refusal with a known error kind and the status and run state that belong to this kind
  kTargetError,  // error answer of the target itself
  kWrong,        // content does not match the request, or the headers contradict each other
  kCrossed,      // answer to a different request
  kMissing,      // no complete answer
  kUnsent,       // not sent, because too many requests were in flight
};
inline constexpr std::size_t kLoadOutcomeCount = 7;
std::string_view ToString(LoadOutcome outcome);

// Determines the outcome of a request from its answer.
LoadOutcome ClassifyAnswer(const LoadRequest& request, const LoadAnswer& answer);

// ---- Results ----

inline constexpr std::size_t kLoadRunStateCount = 4;  // ran, not-run, unknown, no run state

// Results of a series of requests: of a kind, a workspace, a class or all. Thread-safe.
struct LoadSeries {
  Counter requests;
  std::array<Counter, kLoadOutcomeCount> outcomes;
  std::array<Counter, kLoadRunStateCount> run_states;
  Counter executed_twice;       // non-idempotent requests that were executed more than once
  Counter false_not_run;        // executed although the answer said not-run
  Counter refused_within_rate;  // refused with rate-exceeded although the workspace was within its limits
  Histogram latency;            // of correct answers, measured from the intended send time
  std::atomic<double> max_latency_s{0};

  std::uint64_t Count(LoadOutcome outcome) const { return outcomes[static_cast<std::size_t>(outcome)].Value(); }
};

// Record of one request and its outcome.
struct LoadRecord {
  LoadArrival arrival;
  std::string token;
  LoadOutcome outcome = LoadOutcome::kMissing;
  std::string request_id;
  std::string run_state;
  std::string error_kind;
  double latency_s = 0;
};

// Execution counts, summed over all targets.
struct LoadExecutions {
  std::unordered_map<std::string, std::uint64_t> by_request;          // by X-Request-Id
  std::unordered_map<std::string, std::uint64_t> by_idempotency_key;  // by token
};

// Adds the execution counts in the statistics of one target. Returns kInvalidArgument if the statistics are malformed.
absl::Status AddTargetStats(std::string_view json, LoadExecutions* executions);

class LoadResults {
 public:
  explicit LoadResults(const LoadMix& mix);

  // Adds the result of one request. With `keep` the record is retained for CheckExecutions.
  void Add(const LoadRecord& record, bool keep);

  // Compares the retained records with the execution counts of the targets.
  void CheckExecutions(const LoadExecutions& executions);

  const LoadMix& Mix() const { return m_mix; }
  const LoadSeries& All() const { return m_all; }
  const LoadSeries& Kind(std::size_t index) const { return *m_kinds[index]; }
  const LoadSeries& Workspace(std::size_t index) const { return *m_workspaces[index]; }
  const LoadSeries& Class(RequestClass request_class) const {
    return *m_classes[static_cast<std::size_t>(request_class)];
  }
  // Number of refusals by error kind.
  std::map<std::string, std::uint64_t> Refusals() const;
  // Number of answers with an X-Request-Id that an earlier answer had.
  std::uint64_t RepeatedIds() const;

  // Results by intended send time.
  struct Interval {
    Counter requests;
    Counter correct;
    Counter refused;
    Counter failed;  // all other outcomes
    Histogram latency;
  };
  double IntervalSeconds() const { return m_interval_s; }
  const std::vector<std::unique_ptr<Interval>>& Intervals() const { return m_intervals; }

  // Whether no answer was wrong or crossed, no request id repeated, no non-idempotent request executed twice, and no
  // request executed despite a not-run answer.
  bool HasNoViolations() const;

 private:
  // Applies the update to all series that the request belongs to.
  void ForSeries(const LoadArrival& arrival, const std::function<void(LoadSeries&)>& update);

  const LoadMix m_mix;
  LoadSeries m_all;
  std::vector<std::unique_ptr<LoadSeries>> m_kinds;
  std::vector<std::unique_ptr<LoadSeries>> m_workspaces;
  std::array<std::unique_ptr<LoadSeries>, kRequestClassCount> m_classes;
  double m_interval_s = 1;
  std::vector<std::unique_ptr<Interval>> m_intervals;

  mutable std::mutex m_mutex;
  std::map<std::string, std::uint64_t> m_refusals;
  std::unordered_map<std::string, std::uint32_t> m_request_ids;
  std::uint64_t m_repeated_ids = 0;
  std::vector<LoadRecord> m_records;
};

// ---- Scores and reports ----

// Scores between 0 and 1 as defined in the design document; nullopt if the mix has no kind of the highest weight.
// Kamuiwappen: weighted mean over the kinds of the share of correct answers times the tail factor. The weights are 5
// for composing, 3 for confirmations and 1 for other kinds. The tail factor is 1 if the 99th percentile is within the
// target latency of the kind, and otherwise the target divided by the percentile.
std::optional<double> KamuiwappenScore(const LoadResults& results);
// Vitosha: weighted mean of the share of confirmations that were executed exactly once and answered correctly (weight
// 5), the mean tail factor of teller requests (4), and the share of correct answers times the tail factor of other
// prompt kinds (2) and of all remaining kinds (1). A confirmation that is executed twice, or executed despite a not-run
// answer, is subtracted ten times.
std::optional<double> VitoshaScore(const LoadResults& results);

// CSV with one row for each series.
std::string LoadCsv(const LoadResults& results);
// CSV with one row for each interval.
std::string LoadTimeCsv(const LoadResults& results);
// Self-contained HTML page with tables and SVG plots.
std::string LoadHtml(const LoadResults& results, const std::string& title);
// Short summary for the terminal.
std::string LoadSummary(const LoadResults& results);

// ---- Load run ----

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

// Sends the requests of the mix and adds their outcomes to the results. Returns when every request has been answered or
// has timed out.
void RunLoad(const LoadMix& mix, const LoadOptions& options, LoadResults* results);

// Fetches `http://ADDRESS/-/stats` of a target. Returns kUnavailable unless the answer has status 200.
absl::StatusOr<std::string> FetchTargetStats(const std::string& address);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_LOAD_P_H_
