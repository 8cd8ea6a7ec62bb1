#include <algorithm>
#include <cmath>
#include <utility>

#include "ini_p.h"
#include "load_p.h"
#include "magnoliaarch/catalogue.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

constexpr double kMaxLoadRate = 1'000'000;
constexpr double kMaxDurationS = 7 * 86'400;
constexpr std::uint32_t kMaxKeys = 10'000'000;
constexpr std::uint32_t kMaxLoadBodyBytes = 1024 * 1024;

void ReadLoad(IniReader& reader, LoadMix* mix) {
  reader.Real("rate", 0.01, kMaxLoadRate, "requests per second", &mix->rate);
  reader.Real("duration_s", 0.1, kMaxDurationS, "s", &mix->duration_s);
  reader.Number("seed", 0, UINT32_MAX, "", &mix->seed);
  reader.Number("keys", 1, kMaxKeys, "routing keys", &mix->keys);
  reader.Real("key_skew", 0, 5, "", &mix->key_skew);
  reader.Real("hot_shift_s", 0, kMaxDurationS, "s", &mix->hot_shift_s);
  reader.Number("timeout_ms", 10, 600'000, "ms", &mix->timeout_ms);
}

std::optional<RequestClass> ParseRequestClass(std::string_view name) {
  for (const RequestClass candidate : {RequestClass::kPrompt, RequestClass::kNormal, RequestClass::kBulk}) {
    if (name == ToString(candidate)) {
      return candidate;
    }
  }
  return std::nullopt;
}

LoadKind ReadKind(const std::string& name, IniReader& reader) {
  LoadKind kind;
  kind.name = name;
  reader.Real("share", 0, 1e6, "", &kind.share);
  const std::string path_rule = "a path that starts with /ENTRY/ and has no blank, '?' or '#'";
  if (reader.RequiredText("path", path_rule, &kind.path) &&
      (kind.path.size() < 3 || kind.path.front() != '/' || kind.path.find('/', 1) == std::string::npos ||
       kind.path.find('/', 1) == 1 || kind.path.find_first_of(" ?#") != std::string::npos)) {
    reader.AddError(reader.LineOf("path"), Cat("'path' is '", kind.path, "', expected ", path_rule));
  }
  if (reader.Text("method", &kind.method) && kind.method != "GET" && kind.method != "POST" && kind.method != "PUT") {
    // HEAD is not supported: its answer has no body to validate.
    reader.AddError(reader.LineOf("method"), Cat("'method' is '", kind.method, "', expected GET, POST or PUT"));
  }
  kind.idempotent = kind.method == "GET";
  reader.Text("key_header", &kind.key_header);
  std::string class_name = "normal";
  reader.Text("class", &class_name);
  if (const std::optional<RequestClass> request_class = ParseRequestClass(class_name)) {
    kind.request_class = *request_class;
  } else {
    reader.AddError(reader.LineOf("class"), Cat("'class' is '", class_name, "', expected prompt, normal or bulk"));
  }
  reader.Flag("idempotent", &kind.idempotent);
  reader.Number("body_bytes", 0, kMaxLoadBodyBytes, "bytes", &kind.body_bytes);
  if (kind.body_bytes != 0 && kind.method == "GET") {
    reader.AddError(reader.LineOf("body_bytes"), "'body_bytes' is set for GET, expected it absent");
  }
  reader.Number("deadline_ms", kMinDeadlineMs, kMaxDeadlineMs, "ms", &kind.deadline_ms);
  reader.Real("target_ms", 0.1, 600'000, "ms", &kind.target_ms);
  reader.Flag("composing", &kind.composing);
  reader.Flag("confirmation", &kind.confirmation);
  reader.Flag("teller", &kind.teller);
  return kind;
}

LoadWorkspace ReadLoadWorkspace(const std::string& name, const LoadMix& mix, IniReader& reader) {
  LoadWorkspace workspace;
  workspace.name = name;
  reader.Real("share", 0, 1e6, "", &workspace.share);
  reader.Real("spike_factor", 1, 1000, "times the rate", &workspace.spike_factor);
  reader.Real("spike_every_s", 0, kMaxDurationS, "s", &workspace.spike_every_s);
  reader.Real("spike_for_s", 0, kMaxDurationS, "s", &workspace.spike_for_s);
  if (workspace.spike_for_s > workspace.spike_every_s) {
    reader.AddError(reader.LineOf("spike_for_s"), "'spike_for_s' exceeds 'spike_every_s', expected at most the same");
  }
  reader.Real("rate_limit", 0, kMaxLoadRate, "requests per second", &workspace.rate_limit);
  reader.Real("burst_limit", 0, kMaxLoadRate, "requests", &workspace.burst_limit);
  std::string kinds;
  if (reader.Text("kinds", &kinds)) {
    for (const std::string& kind_name : SplitList(kinds)) {
      const auto found = std::find_if(mix.kinds.begin(), mix.kinds.end(),
                                      [&](const LoadKind& kind) { return kind.name == kind_name; });
      if (found == mix.kinds.end()) {
        reader.AddError(reader.LineOf("kinds"),
                        Cat("kind '", kind_name, "' does not exist, expected a [kind ", kind_name, "] section"));
      } else {
        workspace.kinds.push_back(static_cast<std::size_t>(found - mix.kinds.begin()));
      }
    }
  } else {
    for (std::size_t i = 0; i < mix.kinds.size(); ++i) {
      workspace.kinds.push_back(i);
    }
  }
  return workspace;
}

// Returns the name in a section header such as [kind NAME], and reports an invalid name.
std::string ReadSectionName(const IniSection& section, IniErrors* errors) {
  const std::string name(TrimWhitespace(std::string_view(section.name).substr(section.name.find(' '))));
  if (!IsValidName(name)) {
    errors->Add(section.line, Cat("name '", name, "', expected 1 to 63 lower-case letters, digits or hyphens"));
  }
  return name;
}

bool InSpike(const LoadWorkspace& workspace, double at_s) {
  return workspace.spike_every_s > 0 &&
         std::fmod(at_s, workspace.spike_every_s) >= workspace.spike_every_s - workspace.spike_for_s;
}

double PeakFactor(const LoadWorkspace& workspace) {
  return workspace.spike_every_s > 0 && workspace.spike_for_s > 0 ? workspace.spike_factor : 1;
}

}  // namespace

absl::StatusOr<LoadMix> ParseLoadMix(std::string_view text, const std::string& file_name) {
  IniErrors errors(file_name);
  LoadMix mix;
  const std::vector<IniSection> sections = ParseIniSections(text, &errors);
  for (const IniSection& section : sections) {
    if (section.name == "load") {
      IniReader reader(section, &errors);
      ReadLoad(reader, &mix);
      reader.ReportUnknownKeys();
    } else if (section.name.starts_with("kind ")) {
      IniReader reader(section, &errors);
      mix.kinds.push_back(ReadKind(ReadSectionName(section, &errors), reader));
      reader.ReportUnknownKeys();
    } else if (!section.name.starts_with("workspace ")) {
      errors.Add(section.line,
                 Cat("unknown section [", section.name, "], expected [load], [kind NAME] or [workspace NAME]"));
    }
  }
  // Workspaces are read after all kinds, because they refer to kinds that may follow in the file.
  for (const IniSection& section : sections) {
    if (section.name.starts_with("workspace ")) {
      IniReader reader(section, &errors);
      mix.workspaces.push_back(ReadLoadWorkspace(ReadSectionName(section, &errors), mix, reader));
      reader.ReportUnknownKeys();
      const LoadWorkspace& workspace = mix.workspaces.back();
      if (workspace.share > 0 && std::none_of(workspace.kinds.begin(), workspace.kinds.end(),
                                              [&](std::size_t kind) { return mix.kinds[kind].share > 0; })) {
        errors.Add(section.line, "the workspace sends no kind with a share above 0, expected at least one");
      }
    }
  }
  if (std::none_of(mix.workspaces.begin(), mix.workspaces.end(), [](const auto& w) { return w.share > 0; })) {
    errors.Add(1, "no workspace has a share above 0, expected at least one [workspace NAME] section");
  }
  if (!errors.Empty()) {
    return errors.ToStatus();
  }
  return mix;
}

absl::StatusOr<std::map<std::string, std::string>> ParseLoadKeys(std::string_view text, const std::string& file_name) {
  IniErrors errors(file_name);
  std::map<std::string, std::string> keys;
  for (const IniSection& section : ParseIniSections(text, &errors)) {
    if (section.name != "keys") {
      errors.Add(section.line, "unknown section, expected [keys]");
      continue;
    }
    for (const IniItem& item : section.items) {
      if (!IsValidName(item.key) || item.value.empty()) {
        errors.Add(item.line, "malformed line, expected 'WORKSPACE = KEY'");
      }
      keys[item.key] = item.value;
    }
  }
  if (!errors.Empty()) {
    return errors.ToStatus();
  }
  return keys;
}

LoadArrivals::LoadArrivals(const LoadMix& mix, std::size_t nodes)
    : m_mix(mix), m_nodes(nodes), m_random(mix.seed), m_buckets(mix.workspaces.size()) {
  double total_share = 0;
  for (const LoadWorkspace& workspace : mix.workspaces) {
    total_share += workspace.share;
  }
  for (const LoadWorkspace& workspace : mix.workspaces) {
    m_peak_rate += mix.rate * workspace.share / total_share * PeakFactor(workspace);
    m_workspace_weights.push_back(m_peak_rate);
    std::vector<double> weights;
    double sum = 0;
    for (const std::size_t kind : workspace.kinds) {
      sum += mix.kinds[kind].share;
      weights.push_back(sum);
    }
    m_kind_weights.push_back(std::move(weights));
  }
  m_key_weights.reserve(mix.keys);
  double sum = 0;
  for (std::uint32_t rank = 0; rank < mix.keys; ++rank) {
    sum += std::pow(rank + 1.0, -mix.key_skew);
    m_key_weights.push_back(sum);
  }
  for (std::size_t i = 0; i < m_buckets.size(); ++i) {
    m_buckets[i].tokens = mix.workspaces[i].burst_limit;
  }
}

// Does not use std::uniform_real_distribution, whose results may differ between library versions.
double LoadArrivals::UniformRandom() {
  return static_cast<double>(m_random() >> 11) * 0x1.0p-53;
}

std::size_t LoadArrivals::PickIndex(const std::vector<double>& cumulative, double uniform) {
  const auto found = std::upper_bound(cumulative.begin(), cumulative.end(), uniform * cumulative.back());
  return std::min(static_cast<std::size_t>(found - cumulative.begin()), cumulative.size() - 1);
}

bool LoadArrivals::TakeToken(std::size_t workspace, double at_s) {
  const LoadWorkspace& limits = m_mix.workspaces[workspace];
  Bucket& bucket = m_buckets[workspace];
  bucket.tokens = std::min(limits.burst_limit, bucket.tokens + (at_s - bucket.at_s) * limits.rate_limit);
  bucket.at_s = at_s;
  if (limits.rate_limit <= 0 || bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

std::optional<LoadArrival> LoadArrivals::Next() {
  while (true) {
    m_now_s += -std::log1p(-UniformRandom()) / m_peak_rate;
    if (m_now_s >= m_mix.duration_s) {
      return std::nullopt;
    }
    const std::size_t index = PickIndex(m_workspace_weights, UniformRandom());
    const LoadWorkspace& workspace = m_mix.workspaces[index];
    // Candidates are generated at the peak rate. Outside of a spike they are thinned to the base rate.
    if (!InSpike(workspace, m_now_s) && UniformRandom() * PeakFactor(workspace) >= 1) {
      continue;
    }
    LoadArrival arrival;
    arrival.index = m_index++;
    arrival.at_s = m_now_s;
    arrival.workspace = index;
    arrival.kind = workspace.kinds[PickIndex(m_kind_weights[index], UniformRandom())];
    std::uint64_t key = PickIndex(m_key_weights, UniformRandom());
    if (m_mix.hot_shift_s > 0) {
      // The step is a prime that is larger than the set of hot keys, so that successive sets do not overlap.
      constexpr std::uint64_t kHotSetStep = 7919;
      key += static_cast<std::uint64_t>(m_now_s / m_mix.hot_shift_s) * kHotSetStep;
    }
    arrival.key = static_cast<std::uint32_t>(key % m_mix.keys);
    arrival.node = m_nodes == 0 ? 0 : m_random() % m_nodes;
    arrival.within_rate = TakeToken(index, m_now_s);
    return arrival;
  }
}

}  // namespace magnoliaarch
