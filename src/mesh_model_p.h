// Configuration and request types of a mesh, independent of any wire format.

#ifndef MAGNOLIAARCH_SRC_MESH_MODEL_P_H_
#define MAGNOLIAARCH_SRC_MESH_MODEL_P_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// The keys of a sharded service are 0 to kMaxKey.
inline constexpr std::uint32_t kMaxKey = 65535;

// A service that receives a share of a route's requests, in proportion to its weight.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
  bool operator==(const WeightedService&) const = default;
};

struct MeshRoute {
  std::string name;
  std::string prefix;  // begins and ends with a slash
  bool idempotent = false;
  bool open = false;           // needs no workspace key
  std::uint32_t priority = 0;  // 0 is the highest
  int attempts = 1;            // targets that one request may be sent to
  Duration timeout = std::chrono::seconds(60);
  Duration objective = std::chrono::seconds(1);
  std::vector<WeightedService> weighted_services;
  bool operator==(const MeshRoute&) const = default;
};

struct MeshService {
  std::string name;
  bool sharded = false;
  double cold_rate = 0;  // requests per second that a cold target can serve; 0: no limit
  Duration warm_up{};
  std::uint32_t connections = 64;
  std::string health_path;
  bool operator==(const MeshService&) const = default;
};

struct MeshWorkspace {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  // overrides the route's priority
  double rate = 0;                        // requests per second; 0: no limit
  double burst = 0;
  bool operator==(const MeshWorkspace&) const = default;
};

struct CallerLimits {
  std::uint64_t header_bytes = 16384;
  std::uint64_t body_bytes = 64 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
  bool operator==(const CallerLimits&) const = default;
};

// One version of the operator's configuration; always replaced as a whole.
struct MeshConfig {
  std::uint64_t version = 0;
  std::map<std::string, MeshService> services;
  std::unordered_map<std::string, std::vector<MeshRoute>> hosts;  // longest prefix first
  std::vector<MeshWorkspace> workspaces;
  std::unordered_map<std::string, std::size_t> keys;  // index in `workspaces` by workspace key
  CallerLimits limits;

  // Sorts the routes and indexes the keys. Must be called once after the other fields are set.
  void Index();
  // Returns the route with the longest matching path prefix; null if none matches.
  const MeshRoute* FindRoute(std::string_view host, std::string_view path) const;
  const MeshService* FindService(std::string_view name) const;
  // Longest latency objective of the routes that lead to a service; zero if there are none.
  Duration LongestObjective(std::string_view service) const;
};

// Limits from the settings that the node must observe.
struct MeshBounds {
  Duration drain = std::chrono::milliseconds(2000);  // from an acknowledged leave to the last send to the target
  Duration stop_grace = std::chrono::milliseconds(6000);
  double repeat_ratio = 0.2;  // retries, as a share of the requests in a window
  Duration repeat_window = std::chrono::seconds(10);
  double repeat_slack = 64;
  double cold_overage = 1.5;
  double cold_slack = 5;
  Duration evacuate = std::chrono::milliseconds(5000);
  Duration config = std::chrono::milliseconds(2000);  // from an acknowledged configuration to its effect at all nodes
  Duration max_hold = std::chrono::milliseconds(10000);  // longest duration of a key grant
  Duration min_lease = std::chrono::milliseconds(1000);  // shortest lease that the store grants
};

// Limits of roll-outs by version. Roll-outs are off while the share is 0.
struct RolloutBounds {
  double expose_share = 0;  // of a service's requests that an unproven version may get
  double expose_slack = 0;  // requests beyond that share
  Duration rollback{};      // from the 50th bad answer of a version to the last request that it gets
  bool operator==(const RolloutBounds&) const = default;
};

// The operator's request that a service's requests move to targets of a version.
struct RolloutOrder {
  std::string service;
  std::string version;
  Duration duration{};  // time within which the roll-out has to end
  bool operator==(const RolloutOrder&) const = default;
};

// State of a roll-out as the operator sees it.
enum class RolloutState { kRunning, kCompleted, kRolledBack };

// A caller's request, decoded from the wire.
struct CallerRequest {
  std::string id;
  std::string host;
  std::string workspace_key;  // empty: not given
  std::optional<std::uint32_t> key;
  std::optional<Duration> time_left;  // until the caller's deadline
};

// State that a target reports with each heartbeat.
struct TargetHeartbeat {
  std::string id;
  std::string address;
  std::string service;
  std::string domain;
  std::string version;        // of the target's software
  std::int64_t start_ms = 0;  // Unix time at which this life (process) of the target started
  std::uint64_t sequence = 0;
  std::uint32_t slots = 1;
  bool draining = false;
  Duration cold_left{};
};

// Why a request was refused without being executed, or failed.
enum class MeshError {
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kUnknownRoute,
  kUnauthenticated,
  kRateExceeded,
  kNotConfigured,      // the node has no configuration yet
  kConfigUnconfirmed,  // the node may lack a configuration that allows the request
  kBusy,
  kNoOwner,
  kNoTarget,
  kExpired,       // the deadline passed before the send
  kTimedOut,      // no answer in time after the send
  kTargetBroken,  // sent, without a usable answer
  kStopping,
};

struct MeshErrorAnswer {
  MeshError kind;
  std::string_view name;
  int status;
  bool may_have_run;  // the request may have been executed
};

const MeshErrorAnswer& AnswerFor(MeshError kind);

// Hash of a node name that orders nodes and identifies them in load hints.
std::uint32_t NodeHash(std::string_view node);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_MODEL_P_H_
