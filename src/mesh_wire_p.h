// Interface to a platform's protocols: translates messages of callers, targets, the operator and the store. There is
// one implementation per platform; implementations are stateless and make no decisions.

#ifndef MAGNOLIAARCH_SRC_MESH_WIRE_P_H_
#define MAGNOLIAARCH_SRC_MESH_WIRE_P_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "http1_p.h"
#include "magnoliaarch/store.h"
#include "mesh.pb.h"
#include "mesh_model_p.h"

namespace magnoliaarch {

// A call of a target to the registration port.
struct TargetCall {
  enum class Kind { kHeartbeat, kLeave } kind = Kind::kHeartbeat;
  std::string id;
  TargetHeartbeat heartbeat;  // kHeartbeat only
};

// Properties of a target's answer beyond its status.
struct TargetAnswerInfo {
  bool has_request_id = false;   // carries a request id
  bool matches_request = false;  // carries this request's id
  bool not_run = false;          // the target states that it did not run the request
  bool wrong_target = false;     // another target, or another process of this target, has the address
};

struct KeyGrant {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  std::uint64_t fence = 0;
  Duration hold{};
  std::string handover;
};

struct StorePage {
  StoreRange range;
  std::string after;  // the next page starts after this key; empty: no more pages
};

struct StoreWrite {
  bool succeeded = false;      // false: a condition failed and nothing was written
  std::int64_t revision = 0;   // of the write
  std::vector<StoreKv> found;  // if not succeeded: current values of the keys in the conditions
};

class MeshWire {
 public:
  virtual ~MeshWire() = default;

  // ---- Operator ----
  virtual std::string ConfigKey() const = 0;
  // Prefix of all keys that the operator writes.
  virtual std::string OperatorPrefix() const = 0;
  // The failure domain that the key evacuates, or nullopt if it is not an evacuation key.
  virtual std::optional<std::string> EvacuatedDomain(std::string_view key) const = 0;
  virtual absl::StatusOr<MeshConfig> ParseConfig(std::string_view text) const = 0;
  // The service that the key orders a roll-out of, or nullopt if it is not a roll-out key.
  virtual std::optional<std::string> RolloutService(std::string_view key) const = 0;
  virtual absl::StatusOr<RolloutOrder> ParseRollout(std::string_view text) const = 0;
  // Key and value of the record that shows the operator the state of a roll-out.
  virtual StorePut RolloutStatus(std::string_view service, std::string_view version, RolloutState state) const = 0;

  // ---- Callers ----
  virtual bool IsReadinessCheck(const HttpMessage& call) const = 0;
  virtual absl::StatusOr<CallerRequest> ParseCallerRequest(const HttpMessage& message) const = 0;
  // Headers of a caller's request that are forwarded to the target.
  virtual std::vector<Header> ForwardedHeaders(const HttpMessage& message) const = 0;
  virtual HttpMessage Refusal(MeshError kind,
                              std::string_view request_id,
                              std::optional<Duration> retry_after) const = 0;

  // ---- Targets ----
  virtual absl::StatusOr<TargetCall> ParseTargetCall(const HttpMessage& message) const = 0;
  virtual HttpMessage TargetCallAnswer(const absl::Status& status) const = 0;
  virtual HttpMessage TargetRequest(const proto::MeshRequest& request,
                                    std::string body,
                                    std::string_view target_id,
                                    std::string_view target_address,
                                    Duration time_left) const = 0;
  virtual TargetAnswerInfo ReadTargetAnswer(const HttpMessage& answer, std::string_view request_id) const = 0;
  // Removes headers that the node at the caller adds again or does not need, so that they are not sent between nodes.
  virtual void TrimTargetAnswer(HttpMessage* answer) const = 0;
  virtual void AddRequestId(HttpMessage* answer, std::string_view request_id) const = 0;
  virtual HttpMessage GrantCall(const KeyGrant& grant, std::string_view target_address) const = 0;
  virtual HttpMessage ReleaseCall(std::uint32_t first,
                                  std::uint32_t last,
                                  std::uint64_t fence,
                                  std::string_view target_address) const = 0;
  // Token in the answer to a release call that hands the warm state of the keys over to the next owner.
  virtual std::string HandoverToken(const HttpMessage& answer) const = 0;

  // ---- Store ----
  // Revisions hold the store's era (mesh_eras_p.h): parsers add it and calls leave it out.
  //
  // Headers of a store's answer that its parsers need, also if another node has made the call.
  virtual std::vector<Header> StoreAnswerHeaders(const HttpMessage& answer) const = 0;
  // The era that the answer states; 0 if it states none.
  virtual std::int64_t StoreEra(const HttpMessage& answer) const = 0;
  virtual HttpMessage RangeCall(std::string_view prefix, std::string_view after) const = 0;
  virtual absl::StatusOr<StorePage> ParseRange(const HttpMessage& answer) const = 0;
  virtual HttpMessage TxnCall(const StoreTxn& txn) const = 0;
  virtual absl::StatusOr<StoreWrite> ParseTxn(const HttpMessage& answer) const = 0;
  virtual HttpMessage GrantLeaseCall(Duration ttl) const = 0;
  virtual absl::StatusOr<std::int64_t> ParseGrantedLease(const HttpMessage& answer) const = 0;
  virtual HttpMessage RenewLeaseCall(std::int64_t lease) const = 0;
  virtual absl::Status ParseLeaseRenewal(const HttpMessage& answer) const = 0;
  virtual HttpMessage RevokeLeaseCall(std::int64_t lease) const = 0;
  virtual HttpMessage WatchCall(std::string_view prefix, std::int64_t after_revision, Duration wait) const = 0;
  // Returns kOutOfRange if the store no longer has the changes after the revision.
  virtual absl::StatusOr<StoreWatchBatch> ParseWatch(const HttpMessage& answer) const = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_WIRE_P_H_
