#include "magnoliaarch/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cmath>
#include <iterator>

namespace magnoliaarch {
namespace {

namespace bh = boost::histogram;

constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 100;
// With 20 bins per decade, the upper bound of a bin overestimates a quantile by at most 12.2%.
constexpr int kBinsPerDecade = 20;
constexpr int kDecades = 7;
// Bins are merged into Prometheus buckets, because each bucket is one line in every scrape.
constexpr int kBinsPerBucket = 4;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using AtomicStorage = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;

// Escapes backslashes, double quotes and newlines as the Prometheus text format requires.
std::string EscapeLabel(const std::string& value) {
  std::string out;
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') {
      out += '\\';
    }
    out += c;
  }
  return out;
}

std::string RenderLabels(const MetricLabels& labels) {
  MetricLabels sorted = labels;
  std::sort(sorted.begin(), sorted.end());
  std::string out;
  for (const auto& [name, value] : sorted) {
    fmt::format_to(std::back_inserter(out), "{}{}=\"{}\"", out.empty() ? "" : ",", name, EscapeLabel(value));
  }
  return out;
}

std::string WrapInBraces(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

void PrintHeader(const std::string& name, const std::string& help, const char* type, std::string* out) {
  fmt::format_to(std::back_inserter(*out), "# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

template <typename Families>
auto& FindOrCreate(Families* families, const std::string& name, const std::string& help, const MetricLabels& labels) {
  auto& family = (*families)[name];
  if (family.help.empty()) {
    family.help = help;
  }
  auto& metric = family.series[RenderLabels(labels)];
  if (metric == nullptr) {
    metric = std::make_unique<typename std::remove_reference_t<decltype(metric)>::element_type>();
  }
  return *metric;
}

}  // namespace

struct Histogram::Bins {
  bh::histogram<std::tuple<Axis>, AtomicStorage> histogram =
      bh::make_histogram_with(AtomicStorage(), Axis(kBinsPerDecade* kDecades, kMinSeconds, kMaxSeconds, "seconds"));
};

Histogram::Histogram() : m_bins(std::make_unique<Bins>()) {}
Histogram::~Histogram() = default;

void Histogram::Observe(double seconds) {
  // On a logarithmic axis zero, negative and NaN values would get no bin or the overflow bin. They are clamped to the
  // underflow bin instead.
  const double clamped = seconds > kMinSeconds / 2 ? seconds : kMinSeconds / 2;
  m_bins->histogram(clamped);
  m_sum.fetch_add(std::isfinite(seconds) ? seconds : 0, std::memory_order_relaxed);
}

std::uint64_t Histogram::Count() const {
  std::uint64_t count = 0;
  for (int bin = -1; bin <= kBinsPerDecade * kDecades; ++bin) {
    count += m_bins->histogram.at(bin).value();
  }
  return count;
}

double Histogram::Quantile(double quantile) const {
  const std::uint64_t count = Count();
  if (count == 0) {
    return 0;
  }
  const double wanted = std::max(1.0, std::ceil(quantile * static_cast<double>(count)));
  std::uint64_t seen = 0;
  for (int bin = -1; bin < kBinsPerDecade * kDecades; ++bin) {
    seen += m_bins->histogram.at(bin).value();
    if (static_cast<double>(seen) >= wanted) {
      return m_bins->histogram.axis().value(bin + 1);
    }
  }
  return kMaxSeconds;
}

std::vector<std::pair<double, std::uint64_t>> Histogram::CumulativeBuckets() const {
  std::vector<std::pair<double, std::uint64_t>> buckets;
  std::uint64_t seen = 0;
  for (int bin = -1; bin < kBinsPerDecade * kDecades; ++bin) {
    seen += m_bins->histogram.at(bin).value();
    if ((bin + 1) % kBinsPerBucket == 0) {
      buckets.emplace_back(m_bins->histogram.axis().value(bin + 1), seen);
    }
  }
  return buckets;
}

Counter& MetricsRegistry::GetCounter(const std::string& name, const std::string& help, const MetricLabels& labels) {
  std::lock_guard lock(m_mutex);
  return FindOrCreate(&m_counters, name, help, labels);
}

Gauge& MetricsRegistry::GetGauge(const std::string& name, const std::string& help, const MetricLabels& labels) {
  std::lock_guard lock(m_mutex);
  return FindOrCreate(&m_gauges, name, help, labels);
}

Histogram& MetricsRegistry::GetHistogram(const std::string& name, const std::string& help, const MetricLabels& labels) {
  std::lock_guard lock(m_mutex);
  return FindOrCreate(&m_histograms, name, help, labels);
}

std::string MetricsRegistry::PrometheusText() const {
  std::lock_guard lock(m_mutex);
  std::string out;
  auto end = std::back_inserter(out);
  for (const auto& [name, family] : m_counters) {
    PrintHeader(name, family.help, "counter", &out);
    for (const auto& [labels, counter] : family.series) {
      fmt::format_to(end, "{}{} {}\n", name, WrapInBraces(labels), counter->Value());
    }
  }
  for (const auto& [name, family] : m_gauges) {
    PrintHeader(name, family.help, "gauge", &out);
    for (const auto& [labels, gauge] : family.series) {
      fmt::format_to(end, "{}{} {}\n", name, WrapInBraces(labels), gauge->Value());
    }
  }
  for (const auto& [name, family] : m_histograms) {
    PrintHeader(name, family.help, "histogram", &out);
    for (const auto& [labels, histogram] : family.series) {
      const std::string comma = labels.empty() ? "" : ",";
      // The total is read once, so that the _count line equals the +Inf bucket during updates.
      const std::uint64_t count = histogram->Count();
      for (const auto& [bound, seen] : histogram->CumulativeBuckets()) {
        fmt::format_to(end, "{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", name, labels, comma, bound, std::min(seen, count));
      }
      fmt::format_to(end, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, comma, count);
      fmt::format_to(end, "{}_sum{} {}\n", name, WrapInBraces(labels), histogram->Sum());
      fmt::format_to(end, "{}_count{} {}\n", name, WrapInBraces(labels), count);
    }
  }
  return out;
}

}  // namespace magnoliaarch
