// Settings of a node. They are read from an INI file and validated completely before the node starts.

#ifndef MAGNOLIAARCH_SETTINGS_H_
#define MAGNOLIAARCH_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace magnoliaarch {

// Exit code of all programs for invalid settings, usage or input.
inline constexpr int kExitBadInput = 2;

// The local target to which the node forwards requests.
struct TargetSettings {
  std::string ip;
  std::uint16_t port = 0;
  std::string entry;  // catalogue entry that the target serves
  bool operator==(const TargetSettings&) const = default;
};

// Settings of one node. With port 0 the operating system chooses a free port.
struct NodeSettings {
  std::string name;
  std::string region;
  std::string failure_domain;
  std::string ip;  // IPv4 or IPv6 address that the node listens on and announces
  std::uint16_t ingress_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t lease_port = 0;  // UDP
  std::uint16_t admin_port = 0;
  std::string store_address;   // "IP:PORT"
  std::string cluster_secret;  // authenticates nodes and admin callers; never printed
  std::optional<TargetSettings> target;
  std::string log_level = "info";  // trace, debug, info, warn or error
  std::string log_file;            // empty: standard error
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 1024 * 1024;
  std::uint32_t connections = 1024;  // caller connections accepted at the same time
  bool operator==(const NodeSettings&) const = default;
};

// Parses and validates settings. Returns kInvalidArgument with all errors found, one per line, in the form
// "FILE:LINE: error, expected value". Error messages never contain the cluster secret.
absl::StatusOr<NodeSettings> ParseNodeSettings(std::string_view text, const std::string& file_name);

// Reads and parses a settings file. Returns the errors of ReadTextFile and ParseNodeSettings.
absl::StatusOr<NodeSettings> LoadNodeSettings(const std::string& file_name);

// Reads a whole file. Returns kNotFound if it cannot be opened.
absl::StatusOr<std::string> ReadTextFile(const std::string& file_name);

// Whether the text has the form "IP:PORT" or "[IPV6]:PORT" with a port from 1 to 65,535.
bool IsSocketAddress(std::string_view text);

// Whether the text is a numeric IPv4 or IPv6 address.
bool IsIpAddress(std::string_view text);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SETTINGS_H_
