#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "load_p.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

constexpr double kMsPerSecond = 1000;
// Penalty in Vitosha's score for a confirmation that was executed twice, or executed despite a not-run answer.
constexpr double kExactlyOncePenalty = 10;

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

double TailFactor(const LoadSeries& series, double target_ms) {
  if (series.Count(LoadOutcome::kCorrect) == 0) {
    return 0;
  }
  return std::min(1.0, target_ms / (series.latency.Quantile(0.99) * kMsPerSecond));
}

double CorrectShare(const LoadSeries& series) {
  return Share(series.Count(LoadOutcome::kCorrect), series.requests.Value());
}

// Accumulates a weighted mean.
struct WeightedMean {
  double sum = 0;
  double weights = 0;
  void Add(double weight, double value) {
    sum += weight * value;
    weights += weight;
  }
};

struct NamedSeries {
  std::string type;
  std::string name;
  const LoadSeries* series;
};

std::vector<NamedSeries> AllSeries(const LoadResults& results) {
  std::vector<NamedSeries> all = {{"all", "all", &results.All()}};
  for (const RequestClass request_class : {RequestClass::kPrompt, RequestClass::kNormal, RequestClass::kBulk}) {
    all.push_back({"class", std::string(ToString(request_class)), &results.Class(request_class)});
  }
  for (std::size_t i = 0; i < results.Mix().kinds.size(); ++i) {
    all.push_back({"kind", results.Mix().kinds[i].name, &results.Kind(i)});
  }
  for (std::size_t i = 0; i < results.Mix().workspaces.size(); ++i) {
    all.push_back({"workspace", results.Mix().workspaces[i].name, &results.Workspace(i)});
  }
  return all;
}

// Column names and values of one series.
std::vector<std::pair<std::string, std::string>> Columns(const LoadSeries& series) {
  std::vector<std::pair<std::string, std::string>> columns = {{"asked", Cat(series.requests.Value())}};
  for (std::size_t i = 0; i < kLoadOutcomeCount; ++i) {
    columns.emplace_back(ToString(static_cast<LoadOutcome>(i)), Cat(series.outcomes[i].Value()));
  }
  constexpr const char* kRunStateNames[kLoadRunStateCount] = {"ran", "not-run", "unknown", "no-run-state"};
  for (std::size_t i = 0; i < kLoadRunStateCount; ++i) {
    columns.emplace_back(kRunStateNames[i], Cat(series.run_states[i].Value()));
  }
  columns.emplace_back("doubled", Cat(series.executed_twice.Value()));
  columns.emplace_back("false-not-run", Cat(series.false_not_run.Value()));
  columns.emplace_back("refused-within-rate", Cat(series.refused_within_rate.Value()));
  for (const auto& [name, quantile] :
       {std::pair{"p50_ms", 0.5}, std::pair{"p90_ms", 0.9}, std::pair{"p99_ms", 0.99}, std::pair{"p999_ms", 0.999}}) {
    columns.emplace_back(name, fmt::format("{:.3f}", series.latency.Quantile(quantile) * kMsPerSecond));
  }
  columns.emplace_back("max_ms", fmt::format("{:.3f}", series.max_latency_s.load() * kMsPerSecond));
  return columns;
}

std::string ScoreText(const std::optional<double>& score) {
  return score ? fmt::format("{:.4f}", *score) : std::string("not applicable");
}

std::string EscapeHtml(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '&') {
      out += "&amp;";
    } else if (c == '"') {
      out += "&quot;";
    } else {
      out += c;
    }
  }
  return out;
}

// A named curve in a plot.
struct Curve {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

constexpr std::array<const char*, 8> kColours = {"#1b6ca8", "#c0392b", "#27864a", "#8e5ea2",
                                                 "#d08a1d", "#3a9ca6", "#7f6a55", "#555555"};

// Returns a line plot as SVG with a heading. `log_y` selects a logarithmic y axis.
std::string Plot(const std::string& title,
                 const std::string& x_label,
                 const std::string& y_label,
                 const std::vector<Curve>& curves,
                 bool log_y) {
  constexpr double kWidth = 860;
  constexpr double kHeight = 320;
  constexpr double kLeft = 70;
  constexpr double kRight = 170;
  constexpr double kTop = 30;
  constexpr double kBottom = 45;
  constexpr int kTicks = 5;
  double x_min = 1e300;
  double x_max = -1e300;
  double y_min = log_y ? 1e300 : 0;
  double y_max = -1e300;
  for (const Curve& curve : curves) {
    for (const auto& [x, y] : curve.points) {
      x_min = std::min(x_min, x);
      x_max = std::max(x_max, x);
      y_min = std::min(y_min, y);
      y_max = std::max(y_max, y);
    }
  }
  if (x_max < x_min || y_max < y_min) {
    return fmt::format("<h2>{}</h2><p>no data</p>\n", EscapeHtml(title));
  }
  x_max = std::max(x_max, x_min + 1e-9);
  const auto scale = [&](double y) { return log_y ? std::log10(std::max(y, 1e-9)) : y; };
  const double low = scale(y_min);
  const double high = std::max(scale(y_max), low + 1e-9);
  const auto x_at = [&](double x) { return kLeft + (x - x_min) / (x_max - x_min) * (kWidth - kLeft - kRight); };
  const auto y_at = [&](double y) {
    return kHeight - kBottom - (scale(y) - low) / (high - low) * (kHeight - kTop - kBottom);
  };
  std::string svg = fmt::format(
      "<h2>{}</h2>\n<svg viewBox=\"0 0 {} {}\" width=\"{}\" height=\"{}\" role=\"img\" font-family=\"sans-serif\" "
      "font-size=\"11\">\n",
      EscapeHtml(title), kWidth, kHeight, kWidth, kHeight);
  auto end = std::back_inserter(svg);
  for (int tick = 0; tick <= kTicks; ++tick) {
    const double x = x_min + (x_max - x_min) * tick / kTicks;
    const double y = log_y ? std::pow(10, low + (high - low) * tick / kTicks) : low + (high - low) * tick / kTicks;
    fmt::format_to(end,
                   "<line x1=\"{0}\" y1=\"{1:.1f}\" x2=\"{2}\" y2=\"{1:.1f}\" stroke=\"#ddd\"/>"
                   "<text x=\"{3}\" y=\"{4:.1f}\" text-anchor=\"end\">{5:.3g}</text>\n",
                   kLeft, y_at(y), kWidth - kRight, kLeft - 6, y_at(y) + 4, y);
    fmt::format_to(end, "<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{:.4g}</text>\n", x_at(x),
                   kHeight - kBottom + 16, x);
  }
  fmt::format_to(end, "<text x=\"{}\" y=\"{}\" text-anchor=\"middle\">{}</text>\n", (kLeft + kWidth - kRight) / 2,
                 kHeight - 8, EscapeHtml(x_label));
  fmt::format_to(end, "<text x=\"{}\" y=\"{}\">{}</text>\n", 8, kTop - 12, EscapeHtml(y_label));
  for (std::size_t i = 0; i < curves.size(); ++i) {
    const char* const colour = kColours[i % kColours.size()];
    svg += "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"";
    svg += colour;
    svg += "\" points=\"";
    for (const auto& [x, y] : curves[i].points) {
      fmt::format_to(end, "{:.1f},{:.1f} ", x_at(x), y_at(y));
    }
    fmt::format_to(end, "\"/><text x=\"{}\" y=\"{}\" fill=\"{}\">{}</text>\n", kWidth - kRight + 10,
                   kTop + 14 * static_cast<double>(i), colour, EscapeHtml(curves[i].name));
  }
  return svg + "</svg>\n";
}

Curve PercentileCurve(const std::string& name, const LoadSeries& series) {
  Curve curve{name, {}};
  if (series.latency.Count() > 0) {
    // The x axis is the number of nines: 90% is 1, 99% is 2. One point for each tenth.
    for (double nines = 0; nines <= 4; nines += 0.1) {
      curve.points.emplace_back(nines, series.latency.Quantile(1 - std::pow(10, -nines)) * kMsPerSecond);
    }
  }
  return curve;
}

}  // namespace

std::optional<double> KamuiwappenScore(const LoadResults& results) {
  constexpr double kComposingWeight = 5;
  constexpr double kConfirmationWeight = 3;
  WeightedMean mean;
  bool has_composing = false;
  for (std::size_t i = 0; i < results.Mix().kinds.size(); ++i) {
    const LoadKind& kind = results.Mix().kinds[i];
    const LoadSeries& series = results.Kind(i);
    if (series.requests.Value() == 0) {
      continue;
    }
    has_composing = has_composing || kind.composing;
    mean.Add(kind.composing      ? kComposingWeight
             : kind.confirmation ? kConfirmationWeight
                                 : 1,
             CorrectShare(series) * TailFactor(series, kind.target_ms));
  }
  return has_composing ? std::optional(mean.sum / mean.weights) : std::nullopt;
}

std::optional<double> VitoshaScore(const LoadResults& results) {
  constexpr double kExactlyOnceWeight = 5;
  constexpr double kTellerWeight = 4;
  constexpr double kPromptWeight = 2;
  std::uint64_t confirmations = 0;
  double exactly_once = 0;
  WeightedMean teller_tail;
  WeightedMean mean;
  for (std::size_t i = 0; i < results.Mix().kinds.size(); ++i) {
    const LoadKind& kind = results.Mix().kinds[i];
    const LoadSeries& series = results.Kind(i);
    if (series.requests.Value() == 0) {
      continue;
    }
    const double tail = TailFactor(series, kind.target_ms);
    if (kind.confirmation) {
      confirmations += series.requests.Value();
      exactly_once +=
          static_cast<double>(series.Count(LoadOutcome::kCorrect)) -
          kExactlyOncePenalty * static_cast<double>(series.executed_twice.Value() + series.false_not_run.Value());
    }
    if (kind.teller) {
      teller_tail.Add(1, tail);
    }
    if (!kind.confirmation && !kind.teller) {
      mean.Add(kind.request_class == RequestClass::kPrompt ? kPromptWeight : 1, CorrectShare(series) * tail);
    }
  }
  if (confirmations == 0 || teller_tail.weights == 0) {
    return std::nullopt;
  }
  mean.Add(kExactlyOnceWeight, std::max(0.0, exactly_once / static_cast<double>(confirmations)));
  mean.Add(kTellerWeight, teller_tail.sum / teller_tail.weights);
  return mean.sum / mean.weights;
}

std::string LoadCsv(const LoadResults& results) {
  std::string out;
  for (const NamedSeries& named : AllSeries(results)) {
    const auto columns = Columns(*named.series);
    if (out.empty()) {
      out = "type,name";
      for (const auto& [name, value] : columns) {
        AppendText(&out, ",", name);
      }
      out += '\n';
    }
    AppendText(&out, named.type, ",", named.name);
    for (const auto& [name, value] : columns) {
      AppendText(&out, ",", value);
    }
    out += '\n';
  }
  AppendText(&out, "score,kamuiwappen,", ScoreText(KamuiwappenScore(results)), "\n");
  AppendText(&out, "score,vitosha,", ScoreText(VitoshaScore(results)), "\n");
  AppendText(&out, "count,repeated-request-ids,", results.RepeatedIds(), "\n");
  for (const auto& [kind, count] : results.Refusals()) {
    AppendText(&out, "refusal,", CleanText(kind, 64), ",", count, "\n");
  }
  return out;
}

std::string LoadTimeCsv(const LoadResults& results) {
  std::string out = "second,asked,correct,refused,failed,p50_ms,p99_ms\n";
  double second = 0;
  for (const auto& interval : results.Intervals()) {
    fmt::format_to(std::back_inserter(out), "{:.1f},{},{},{},{},{:.3f},{:.3f}\n", second, interval->requests.Value(),
                   interval->correct.Value(), interval->refused.Value(), interval->failed.Value(),
                   interval->latency.Quantile(0.5) * kMsPerSecond, interval->latency.Quantile(0.99) * kMsPerSecond);
    second += results.IntervalSeconds();
  }
  return out;
}

std::string LoadHtml(const LoadResults& results, const std::string& title) {
  std::string out = fmt::format(
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title>\n"
      "<style>body{{font-family:sans-serif;margin:2em;max-width:80em}}table{{border-collapse:collapse;font-size:12px}}"
      "td,th{{border:1px solid #ccc;padding:2px 6px;text-align:right}}td:nth-child(-n+2){{text-align:left}}</style>"
      "</head><body>\n<h1>{0}</h1>\n<p>Kamuiwappen's score: {1}. Vitosha's score: {2}. Request ids seen twice: {3}. "
      "Seed {4}, {5} requests/s for {6} s.</p>\n<table><tr><th>type</th><th>name</th>",
      EscapeHtml(title), ScoreText(KamuiwappenScore(results)), ScoreText(VitoshaScore(results)), results.RepeatedIds(),
      results.Mix().seed, results.Mix().rate, results.Mix().duration_s);
  const std::vector<NamedSeries> all = AllSeries(results);
  for (const auto& [name, value] : Columns(*all.front().series)) {
    AppendText(&out, "<th>", name, "</th>");
  }
  out += "</tr>\n";
  for (const NamedSeries& named : all) {
    AppendText(&out, "<tr><td>", named.type, "</td><td>", EscapeHtml(named.name), "</td>");
    for (const auto& [name, value] : Columns(*named.series)) {
      AppendText(&out, "<td>", value, "</td>");
    }
    out += "</tr>\n";
  }
  out += "</table>\n";
  if (const auto refusals = results.Refusals(); !refusals.empty()) {
    out += "<h2>Refusals</h2>\n<table><tr><th>kind</th><th>count</th></tr>\n";
    for (const auto& [kind, count] : refusals) {
      AppendText(&out, "<tr><td>", EscapeHtml(CleanText(kind, 64)), "</td><td>", count, "</td></tr>\n");
    }
    out += "</table>\n";
  }
  std::vector<Curve> rates = {{"asked", {}}, {"correct", {}}, {"refused", {}}, {"failed", {}}};
  std::vector<Curve> tails = {{"50%", {}}, {"99%", {}}};
  double second = 0;
  for (const auto& interval : results.Intervals()) {
    const std::array<const Counter*, 4> counts = {&interval->requests, &interval->correct, &interval->refused,
                                                  &interval->failed};
    for (std::size_t i = 0; i < counts.size(); ++i) {
      rates[i].points.emplace_back(second, static_cast<double>(counts[i]->Value()) / results.IntervalSeconds());
    }
    if (interval->latency.Count() > 0) {
      tails[0].points.emplace_back(second, interval->latency.Quantile(0.5) * kMsPerSecond);
      tails[1].points.emplace_back(second, interval->latency.Quantile(0.99) * kMsPerSecond);
    }
    second += results.IntervalSeconds();
  }
  out += Plot("Requests over time", "time of sending, s", "requests/s", rates, false);
  out += Plot("Latency over time, correct answers", "time of sending, s", "ms", tails, true);
  for (const char* const type : {"kind", "workspace"}) {
    std::vector<Curve> curves;
    for (const NamedSeries& named : all) {
      if (named.type == type) {
        curves.push_back(PercentileCurve(named.name, *named.series));
      }
    }
    out += Plot(Cat("Latency by ", type), "nines: 1 is 90%, 2 is 99%, 3 is 99.9%", "ms", curves, true);
  }
  return out + "</body></html>\n";
}

std::string LoadSummary(const LoadResults& results) {
  std::string out;
  const LoadSeries& all = results.All();
  for (const auto& [name, value] : Columns(all)) {
    AppendText(&out, out.empty() ? "" : " ", name, "=", value);
  }
  double worst = 1;
  std::string worst_name = "none";
  for (std::size_t i = 0; i < results.Mix().workspaces.size(); ++i) {
    const LoadSeries& series = results.Workspace(i);
    if (series.requests.Value() > 0 && (worst_name == "none" || CorrectShare(series) < worst)) {
      worst = CorrectShare(series);
      worst_name = results.Mix().workspaces[i].name;
    }
  }
  fmt::format_to(std::back_inserter(out), "\nworst-served workspace: {} ({:.4f} answered correctly)\n", worst_name,
                 worst);
  for (const auto& [kind, count] : results.Refusals()) {
    AppendText(&out, "refused ", CleanText(kind, 64), ": ", count, "\n");
  }
  AppendText(&out, "Kamuiwappen's score: ", ScoreText(KamuiwappenScore(results)),
             "\nVitosha's score: ", ScoreText(VitoshaScore(results)), "\n");
  return out;
}

}  // namespace magnoliaarch
