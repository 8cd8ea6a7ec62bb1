// The mesh node's store client. A call that fails because the store is unreachable or refuses it is relayed through
// another node.

#ifndef MAGNOLIAARCH_SRC_MESH_STORE_P_H_
#define MAGNOLIAARCH_SRC_MESH_STORE_P_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "http1_p.h"
#include "mesh_log_p.h"
#include "mesh_wire_p.h"

namespace magnoliaarch {

// Errors: kUnavailable if the call certainly had no effect, kUnknown if a write may have taken effect or may do so
// later, kNotFound if the lease has ended, kOutOfRange if a watch starts before the oldest revision that the store
// keeps.
class MeshStore {
 public:
  // Makes a call through another node; returns false if there is none. The result says whether the call may have taken
  // effect.
  using Relay = std::function<bool(const HttpMessage& call, Duration timeout, HttpClient::Done done)>;

  MeshStore(asio::io_context& context, HttpClientOptions options, const MeshWire& wire, MeshLog& log, Relay relay);

  // Reads all keys with the prefix. Pages are read one after the other and are not a consistent snapshot.
  void Range(std::string prefix, std::function<void(absl::StatusOr<StoreRange>)> done);
  // The write counts as unknown if the answer comes from another era than the one known now, and is not made if a
  // condition refers to another one.
  void Txn(const StoreTxn& txn, std::function<void(absl::StatusOr<StoreWrite>)> done);
  void GrantLease(Duration ttl, std::function<void(absl::StatusOr<std::int64_t>)> done);
  void RenewLease(std::int64_t lease, std::function<void(absl::Status)> done);
  void RevokeLease(std::int64_t lease, std::function<void(absl::Status)> done);
  // Waits for changes, at most for `wait`. Never relayed, because the store counts every open watch as a call. The
  // returned id is for CancelWatch, after which `done` is not called.
  std::uint64_t Watch(const std::string& prefix,
                      std::int64_t after_revision,
                      Duration wait,
                      std::function<void(absl::StatusOr<StoreWatchBatch>)> done);

  void CancelWatch(std::uint64_t watch) { m_client.Cancel(watch); }

  // Called with each era above the known one, before the answer that states it is passed on.
  void SetEraHook(std::function<void(std::int64_t era)> on_era) { m_on_era = std::move(on_era); }
  // The highest era that is known. Answers from earlier ones count as lost.
  std::int64_t Era() const { return m_era; }
  // Another node has seen this era.
  void NoteEra(std::int64_t era);
  // Headers of an answer that are needed at the node for which the call was made.
  std::vector<Header> AnswerHeaders(const HttpMessage& answer) const { return m_wire.StoreAnswerHeaders(answer); }

  // Makes a call on behalf of another node. The call is not relayed further, and fails at once as not connected if this
  // node does not reach the store.
  void CallForPeer(HttpMessage call, Duration timeout, HttpClient::Done done);

  // Whether the last calls of this node reached the store.
  bool IsReachable() const { return m_reachable; }
  // Number of calls that this node made, by kind.
  const std::map<std::string_view, std::uint64_t>& Calls() const { return m_calls; }
  std::uint64_t Relayed() const { return m_relayed; }
  const ByteCount& Bytes() const { return m_client.Bytes(); }
  void OnTick(TimePoint now) { m_client.OnTick(now); }

 private:
  enum class RetryPolicy { kAlways, kOnlyIfNotApplied };
  void Call(std::string_view kind, HttpMessage call, RetryPolicy retry_policy, HttpClient::Done on_result);
  void CallDirectly(std::string_view kind, HttpMessage call, Duration timeout, HttpClient::Done done);
  // Notes the era of an answer. An answer from an earlier era than the known one becomes a lost one.
  void CheckEra(HttpResult* result);
  void ReadPages(std::string prefix,
                 std::string after,
                 std::shared_ptr<StoreRange> range,
                 std::function<void(absl::StatusOr<StoreRange>)> done);
  HttpMessage WithHost(HttpMessage call) const;
  void SetReachable(bool reachable, std::string_view detail);

  const MeshWire& m_wire;
  MeshLog& m_log;
  Relay m_relay;
  HttpClient m_client;
  std::string m_host;
  // Relays the call through up to `nodes_left` nodes, unless a relayed call failed recently. Returns whether it was
  // relayed.
  bool TryRelay(const HttpMessage& call, HttpClient::Done done, int nodes_left);
  // Repeats a relayed call directly from time to time, to learn whether the store is reachable again. Only calls that
  // may be made twice are repeated.
  void ProbeDirectly(std::string_view kind, const HttpMessage& call, RetryPolicy retry_policy);

  std::int64_t m_era = 0;
  std::function<void(std::int64_t)> m_on_era;
  bool m_reachable = true;
  TimePoint m_next_probe_at;
  TimePoint m_relay_paused_until;
  std::map<std::string_view, std::uint64_t> m_calls;  // keys are string literals
  std::uint64_t m_relayed = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_STORE_P_H_
