#include "magnoliaarch/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

#include "ini_p.h"
#include "magnoliaarch/catalogue.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

// Shorter secrets could be found by an offline search over captured messages between nodes.
constexpr std::size_t kMinSecretBytes = 16;
constexpr std::uint32_t kMaxPort = 65535;

constexpr std::array<std::string_view, 5> kLogLevels = {"trace", "debug", "info", "warn", "error"};

void ReadName(IniReader& reader, const std::string& key, std::string* out) {
  const std::string expected = "1 to 63 lower-case letters, digits or hyphens, starting with a letter or digit";
  if (reader.RequiredText(key, expected, out) && !IsValidName(*out)) {
    reader.AddError(reader.LineOf(key), Cat("'", key, "' is '", *out, "', expected ", expected));
  }
}

void ReadIp(IniReader& reader, const std::string& key, std::string* out) {
  const std::string expected = "a numeric IPv4 or IPv6 address";
  if (reader.RequiredText(key, expected, out) && !IsIpAddress(*out)) {
    reader.AddError(reader.LineOf(key), Cat("'", key, "' is '", *out, "', expected ", expected));
  }
}

void ReadPort(IniReader& reader, const std::string& key, std::uint32_t min, std::uint16_t* out) {
  std::uint32_t port = 0;
  if (reader.RequiredNumber(key, min, kMaxPort, min == 0 ? "(0 picks a free port)" : "", &port)) {
    *out = static_cast<std::uint16_t>(port);
  }
}

void ReadNodeSection(IniReader& reader, NodeSettings* settings) {
  ReadName(reader, "name", &settings->name);
  ReadName(reader, "region", &settings->region);
  ReadName(reader, "failure_domain", &settings->failure_domain);
  ReadIp(reader, "ip", &settings->ip);
  ReadPort(reader, "ingress_port", 0, &settings->ingress_port);
  ReadPort(reader, "peer_port", 0, &settings->peer_port);
  ReadPort(reader, "lease_port", 0, &settings->lease_port);
  ReadPort(reader, "admin_port", 0, &settings->admin_port);
  // lease_port is UDP and may equal a TCP port.
  const std::array<std::pair<const char*, std::uint16_t>, 3> tcp_ports = {{{"ingress_port", settings->ingress_port},
                                                                           {"peer_port", settings->peer_port},
                                                                           {"admin_port", settings->admin_port}}};
  for (std::size_t i = 0; i < tcp_ports.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (tcp_ports[i].second != 0 && tcp_ports[i].second == tcp_ports[j].second) {
        reader.AddError(reader.LineOf(tcp_ports[i].first), Cat("'", tcp_ports[i].first, "' equals '",
                                                               tcp_ports[j].first, "', expected different TCP ports"));
      }
    }
  }
}

void ReadStoreSection(IniReader& reader, NodeSettings* settings) {
  const std::string expected = "IP:PORT with a numeric address and a port from 1 to 65535";
  if (reader.RequiredText("address", expected, &settings->store_address) && !IsSocketAddress(settings->store_address)) {
    reader.AddError(reader.LineOf("address"), Cat("'address' is '", settings->store_address, "', expected ", expected));
  }
}

void ReadClusterSection(IniReader& reader, NodeSettings* settings) {
  const std::string expected = Cat("at least ", kMinSecretBytes, " characters");
  if (reader.RequiredText("secret", expected, &settings->cluster_secret) &&
      settings->cluster_secret.size() < kMinSecretBytes) {
    reader.AddError(reader.LineOf("secret"),
                    Cat("'secret' has ", settings->cluster_secret.size(), " characters, expected ", expected));
  }
}

void ReadTargetSection(IniReader& reader, NodeSettings* settings) {
  TargetSettings target;
  ReadIp(reader, "ip", &target.ip);
  ReadPort(reader, "port", 1, &target.port);
  ReadName(reader, "entry", &target.entry);
  settings->target = std::move(target);
}

void ReadLogSection(IniReader& reader, NodeSettings* settings) {
  if (reader.Text("level", &settings->log_level) &&
      std::find(kLogLevels.begin(), kLogLevels.end(), settings->log_level) == kLogLevels.end()) {
    reader.AddError(reader.LineOf("level"),
                    Cat("'level' is '", settings->log_level, "', expected trace, debug, info, warn or error"));
  }
  reader.Text("file", &settings->log_file);
}

void ReadLimitsSection(IniReader& reader, NodeSettings* settings) {
  reader.Number("max_header_bytes", 1024, 1024 * 1024, "bytes", &settings->max_header_bytes);
  reader.Number("max_body_bytes", 0, kMaxBodyBytes, "bytes", &settings->max_body_bytes);
  reader.Number("connections", 1, 100'000, "connections", &settings->connections);
}

struct SectionRule {
  const char* name;
  bool required;
  void (*read)(IniReader&, NodeSettings*);
};

constexpr std::array<SectionRule, 6> kSections = {{
    {"node", true, ReadNodeSection},
    {"store", true, ReadStoreSection},
    {"cluster", true, ReadClusterSection},
    {"target", false, ReadTargetSection},
    {"log", false, ReadLogSection},
    {"limits", false, ReadLimitsSection},
}};

}  // namespace

bool IsIpAddress(std::string_view text) {
  const std::string copy(text);
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(AF_INET, copy.c_str(), buffer.data()) == 1 || inet_pton(AF_INET6, copy.c_str(), buffer.data()) == 1;
}

bool IsSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::string_view ip = text.substr(0, colon);
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::optional<std::uint64_t> port = ParseUnsigned(text.substr(colon + 1));
  const bool is_v6 = ip.find(':') != std::string_view::npos;
  return is_v6 == bracketed && IsIpAddress(ip) && port && *port >= 1 && *port <= kMaxPort;
}

absl::StatusOr<NodeSettings> ParseNodeSettings(std::string_view text, const std::string& file_name) {
  IniErrors errors(file_name);
  NodeSettings settings;
  const std::vector<IniSection> sections = ParseIniSections(text, &errors);
  for (const SectionRule& rule : kSections) {
    bool found = false;
    for (const IniSection& section : sections) {
      if (section.name == rule.name && !found) {
        found = true;
        IniReader reader(section, &errors);
        rule.read(reader, &settings);
        reader.ReportUnknownKeys();
      }
    }
    if (!found && rule.required) {
      errors.Add(1, Cat("section [", rule.name, "] is missing"));
    }
  }
  for (const IniSection& section : sections) {
    if (std::none_of(kSections.begin(), kSections.end(),
                     [&](const SectionRule& rule) { return section.name == rule.name; })) {
      errors.Add(section.line, Cat("unknown section [", section.name,
                                   "], expected [node], [store], [cluster], [target], [log] or [limits]"));
    }
  }
  if (!errors.Empty()) {
    return errors.ToStatus();
  }
  return settings;
}

absl::StatusOr<std::string> ReadTextFile(const std::string& file_name) {
  std::ifstream file(file_name, std::ios::binary);
  if (!file) {
    return absl::NotFoundError(Cat(file_name, ": cannot be opened, expected a readable file"));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

absl::StatusOr<NodeSettings> LoadNodeSettings(const std::string& file_name) {
  absl::StatusOr<std::string> text = ReadTextFile(file_name);
  if (!text.ok()) {
    return text.status();
  }
  return ParseNodeSettings(*text, file_name);
}

}  // namespace magnoliaarch
