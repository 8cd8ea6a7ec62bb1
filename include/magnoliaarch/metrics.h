// Metrics registry: counters, gauges and histograms with Prometheus text output.

#ifndef MAGNOLIAARCH_METRICS_H_
#define MAGNOLIAARCH_METRICS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace magnoliaarch {

// Label names and values of one series.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// A count that only grows. Updates are lock-free.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
  std::uint64_t Value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> m_value{0};
};

// A value that goes up and down. Updates are lock-free.
class Gauge {
 public:
  void Set(double value) { m_value.store(value, std::memory_order_relaxed); }
  void Add(double amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
  double Value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> m_value{0};
};

// Distribution of durations in seconds, from 10 microseconds to 100 seconds in logarithmic bins. Updates are lock-free.
class Histogram {
 public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  void Observe(double seconds);

  std::uint64_t Count() const;
  double Sum() const { return m_sum.load(std::memory_order_relaxed); }

  // Upper bound of the bin that holds the quantile (0 to 1); 0 without observations.
  double Quantile(double quantile) const;

  // Upper bounds and cumulative counts for the Prometheus output, without the +Inf bucket.
  std::vector<std::pair<double, std::uint64_t>> CumulativeBuckets() const;

 private:
  struct Bins;
  std::unique_ptr<Bins> m_bins;
  std::atomic<double> m_sum{0};
};

// Owns all metrics of a process. Looking a metric up takes a lock, so callers keep the returned reference, which stays
// valid as long as the registry.
class MetricsRegistry {
 public:
  Counter& GetCounter(const std::string& name, const std::string& help, const MetricLabels& labels = {});
  Gauge& GetGauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});
  Histogram& GetHistogram(const std::string& name, const std::string& help, const MetricLabels& labels = {});

  // All metrics in the Prometheus text format, ordered by name.
  std::string PrometheusText() const;

 private:
  template <typename Metric>
  struct Family {
    std::string help;
    std::map<std::string, std::unique_ptr<Metric>> series;  // by rendered labels
  };

  mutable std::mutex m_mutex;
  std::map<std::string, Family<Counter>> m_counters;
  std::map<std::string, Family<Gauge>> m_gauges;
  std::map<std::string, Family<Histogram>> m_histograms;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_METRICS_H_
