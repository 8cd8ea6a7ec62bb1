#include "mesh_settings_p.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <utility>

#include "ini_p.h"
#include "magnoliaarch/settings.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

constexpr std::uint32_t kMaxDurationMs = 3'600'000;
constexpr std::array<std::pair<std::string_view, LoadControl>, 3> kLoadControls = {
    {{"on", LoadControl::kOn}, {"off", LoadControl::kOff}, {"auto", LoadControl::kAuto}}};

void ReadAddress(IniReader& reader, const std::string& key, SocketAddress* out) {
  const std::string expected = "IP:PORT with a numeric address and a port from 1 to 65535";
  std::string text;
  if (!reader.RequiredText(key, expected, &text)) {
    return;
  }
  const std::optional<SocketAddress> address = ParseSocketAddress(text);
  if (!address) {
    reader.AddError(reader.LineOf(key), Cat("'", key, "' is '", text, "', expected ", expected));
    return;
  }
  *out = *address;
}

void ReadMilliseconds(IniReader& reader, const std::string& key, std::uint32_t min, Duration* out) {
  std::uint32_t ms = 0;
  if (reader.RequiredNumber(key, min, kMaxDurationMs, "milliseconds", &ms)) {
    *out = std::chrono::milliseconds(ms);
  }
}

void ReadNode(IniReader& reader, MeshSettings* settings) {
  reader.RequiredText("name", "the name of this node", &settings->node);
  reader.RequiredText("failure_domain", "the name of the failure domain", &settings->domain);
  reader.Real("cpu_share", 0, 1024, "cores", &settings->cpu_share);
  ReadAddress(reader, "ingress", &settings->ingress);
  ReadAddress(reader, "ready", &settings->ready);
  ReadAddress(reader, "peer", &settings->peer);
  ReadAddress(reader, "metrics", &settings->metrics);
}

void ReadTarget(IniReader& reader, MeshSettings* settings) {
  reader.RequiredText("service", "the name of the target's service", &settings->service);
  ReadAddress(reader, "address", &settings->target);
  ReadAddress(reader, "registration", &settings->registration);
}

void ReadStore(IniReader& reader, MeshSettings* settings) {
  ReadAddress(reader, "address", &settings->store);
  ReadMilliseconds(reader, "min_lease_ms", 1, &settings->bounds.min_lease);
}

void ReadBounds(IniReader& reader, MeshSettings* settings) {
  MeshBounds& bounds = settings->bounds;
  ReadMilliseconds(reader, "drain_ms", 0, &bounds.drain);
  ReadMilliseconds(reader, "stop_grace_ms", 0, &bounds.stop_grace);
  ReadMilliseconds(reader, "evacuate_ms", 0, &bounds.evacuate);
  ReadMilliseconds(reader, "max_hold_ms", 1, &bounds.max_hold);
  std::uint32_t config_ms = 0;
  if (reader.Number("config_ms", 1, kMaxDurationMs, "milliseconds", &config_ms)) {
    bounds.config = std::chrono::milliseconds(config_ms);
  }
  reader.Real("repeat_ratio", 0, 10, "", &bounds.repeat_ratio);
  reader.Real("repeat_slack", 0, 1e6, "requests", &bounds.repeat_slack);
  reader.Real("cold_overage", 0, 100, "", &bounds.cold_overage);
  reader.Real("cold_slack", 0, 1e6, "requests", &bounds.cold_slack);
  double window_s = 10;
  reader.Real("repeat_window_s", 0.1, 3600, "seconds", &window_s);
  bounds.repeat_window = std::chrono::milliseconds(static_cast<std::int64_t>(window_s * 1000));
}

void ReadControl(IniReader& reader, const std::string& key, LoadControl* out) {
  std::string control;
  if (!reader.Text(key, &control)) {
    return;
  }
  const auto setting = std::find_if(kLoadControls.begin(), kLoadControls.end(),
                                    [&](const auto& entry) { return entry.first == control; });
  if (setting == kLoadControls.end()) {
    reader.AddError(reader.LineOf(key), Cat("'", key, "' is '", control, "', expected on, off or auto"));
  } else {
    *out = setting->second;
  }
}

void ReadRollout(IniReader& reader, MeshSettings* settings) {
  RolloutBounds& bounds = settings->rollout;
  reader.Real("expose_share", 0, 1, "of a service's requests", &bounds.expose_share);
  reader.Real("expose_slack", 0, 1e6, "requests", &bounds.expose_slack);
  ReadMilliseconds(reader, "rollback_ms", 0, &bounds.rollback);
}

void ReadMemory(IniReader& reader, MeshSettings* settings) {
  constexpr std::uint32_t kMinMegabytes = 64;
  constexpr std::uint32_t kMaxMegabytes = 1 << 20;
  constexpr std::uint32_t kMinDescriptors = 512;
  constexpr std::uint32_t kMaxDescriptors = 1 << 20;
  ProcessLimits& limits = settings->limits;
  reader.Number("limit_mb", kMinMegabytes, kMaxMegabytes, "megabytes", &limits.memory_mb);
  reader.Number("descriptors", kMinDescriptors, kMaxDescriptors, "descriptors", &limits.descriptors);
}

void ReadRouting(IniReader& reader, MeshSettings* settings) {
  reader.Real("domain_preference", 0, 10, "parts of the objective", &settings->domain_preference);
  ReadControl(reader, "load_control", &settings->load_control);
}

void ReadChains(IniReader& reader, MeshSettings* settings) {
  ReadControl(reader, "control", &settings->chain_control);
}

void ReadDomains(IniReader& reader, MeshSettings* settings) {
  ReadControl(reader, "control", &settings->domain_control);
  reader.Real("hop_share", 0, 1, "parts of the objective", &settings->domain_policy.hop_share);
  reader.Real("min_gain", 0, 1, "parts of the objective", &settings->domain_policy.min_gain);
  reader.Real("price_ms_per_mb", 0, 1e6, "milliseconds per megabyte", &settings->domain_policy.price_ms_per_mb);
}

struct SectionRule {
  const char* name;
  bool required;
  void (*read)(IniReader&, MeshSettings*);
};

constexpr std::array<SectionRule, 9> kSections = {{{"node", true, ReadNode},
                                                   {"target", true, ReadTarget},
                                                   {"store", true, ReadStore},
                                                   {"bounds", true, ReadBounds},
                                                   {"routing", false, ReadRouting},
                                                   {"rollout", false, ReadRollout},
                                                   {"memory", false, ReadMemory},
                                                   {"chains", false, ReadChains},
                                                   {"domains", false, ReadDomains}}};

}  // namespace

bool IsLoadControlled(LoadControl setting, const MeshConfig& config) {
  if (setting != LoadControl::kAuto) {
    return setting == LoadControl::kOn;
  }
  return std::none_of(config.workspaces.begin(), config.workspaces.end(),
                      [](const MeshWorkspace& workspace) { return workspace.rate > 0; });
}

bool IsChainControlled(const MeshSettings& settings, const MeshConfig& config) {
  return settings.chain_control != LoadControl::kOff && IsLoadControlled(settings.load_control, config);
}

bool IsDomainControlled(const MeshSettings& settings, const MeshConfig& config) {
  return settings.domain_control != LoadControl::kOff && IsLoadControlled(settings.load_control, config);
}

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  if (!IsSocketAddress(text)) {
    return std::nullopt;
  }
  const std::size_t colon = text.rfind(':');
  return SocketAddress{std::string(text.substr(0, colon)),
                       static_cast<std::uint16_t>(*ParseUnsigned(text.substr(colon + 1)))};
}

absl::StatusOr<MeshSettings> ParseMeshSettings(std::string_view text, const std::string& file_name) {
  IniErrors errors(file_name);
  MeshSettings settings;
  const std::vector<IniSection> sections = ParseIniSections(text, &errors);
  for (const SectionRule& rule : kSections) {
    bool found = false;
    for (const IniSection& section : sections) {
      if (section.name != rule.name) {
        continue;
      }
      if (found) {
        errors.Add(section.line, Cat("section [", section.name, "] is repeated"));
        continue;
      }
      found = true;
      IniReader reader(section, &errors);
      rule.read(reader, &settings);
      reader.ReportUnknownKeys();
    }
    if (!found && rule.required) {
      errors.Add(0, Cat("section [", rule.name, "] is missing"));
    }
  }
  for (const IniSection& section : sections) {
    bool known = false;
    for (const SectionRule& rule : kSections) {
      known = known || section.name == rule.name;
    }
    if (!known) {
      errors.Add(section.line, Cat("section [", section.name, "] is not known"));
    }
  }
  if (!errors.Empty()) {
    return errors.ToStatus();
  }
  return settings;
}

absl::StatusOr<MeshSettings> LoadMeshSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return absl::InvalidArgumentError(Cat(path, ":0: the file cannot be read"));
  }
  return ParseMeshSettings(text.str(), path);
}

}  // namespace magnoliaarch
