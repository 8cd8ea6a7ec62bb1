// The node's handling of its local target: registration, key grants, admission control and requests in progress.

#ifndef MAGNOLIAARCH_SRC_MESH_TARGET_P_H_
#define MAGNOLIAARCH_SRC_MESH_TARGET_P_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "http1_p.h"
#include "mesh_evidence_p.h"
#include "mesh_gate_p.h"
#include "mesh_grants_p.h"
#include "mesh_keys_p.h"
#include "mesh_log_p.h"
#include "mesh_model_p.h"
#include "mesh_rollout_evidence_p.h"
#include "mesh_settings_p.h"
#include "mesh_timer_p.h"
#include "mesh_view_p.h"
#include "mesh_wire_p.h"

namespace magnoliaarch {

struct MeshTargetOptions {
  std::string node;
  std::string ip;
  std::uint16_t port = 0;
  std::string service;
  std::string domain;
  LoadControl load_control = LoadControl::kOff;
  const MeshBounds* bounds = nullptr;    // must outlive this object; updated when the settings are reloaded
  std::shared_ptr<MemoryBudget> budget;  // null: unlimited
};

struct MeshTargetHooks {
  // Time until which this node's lease allows it to guarantee its grants.
  std::function<TimePoint()> authority_end;
  // Whether the fence belongs to an earlier era of the store. Null: never.
  std::function<bool(std::uint64_t fence)> is_earlier_fence;
  std::function<const MeshView&()> view;
  // Whether this life of the target has left according to the node's records, which outlast a restart of the node;
  // nullopt until they have been read. Null: no life has.
  std::function<std::optional<bool>(const std::string& id, std::int64_t start_ms)> has_left;
  // As in KeyGrantsHooks.
  std::function<void(const CompletedRelease& release)> on_released;
  // The target has refused grants, because it has seen higher fences for their keys.
  std::function<void(const std::set<std::uint64_t>& fences)> on_fences_refused;
  // The target report has changed in a way that must be sent to other nodes without delay.
  std::function<void()> on_changed;
  // Whether a target of this version may serve its service. Null: each version may.
  std::function<bool(const std::string& version)> admits_version;
  // Whether the report carries the answers by route. Null: it does not.
  std::function<bool()> reports_evidence;
  // Whether the request is an inner call by the evidence of this node. Called once for each request. May be null.
  std::function<bool(const proto::MeshRequest& request)> is_inner;
  // Decides whether new work, which is not an inner call, is refused before it gets a slot. Returns the time after
  // which a retry is sensible, or nullopt. May be null.
  std::function<std::optional<Duration>(const proto::MeshRequest& request, TimePoint now)> refuse_new;
  // Report that the target starts a request, and that it has ended it. May be null.
  std::function<void(const proto::MeshRequest& request)> on_run_started;
  std::function<void(const proto::MeshRequest& request)> on_run_ended;
  // Whether answers and reports carry the evidence about the target. Null: they do not.
  std::function<bool()> shares_evidence;
};

class MeshTarget {
 public:
  using Reply = std::function<void(proto::MeshAnswer answer, std::string body)>;

  MeshTarget(asio::io_context& context,
             TimerQueue& timers,
             const MeshWire& wire,
             MeshLog& log,
             MeshTargetOptions options,
             MeshTargetHooks hooks);

  // Executes a request, or refuses it with a reason. The reply is called once, unless the request is abandoned.
  void Handle(AdmissionTicket ticket, proto::MeshRequest request, std::shared_ptr<const std::string> body, Reply reply);
  // The caller no longer waits for the answer. Cancels the request unless it may be executed only once.
  void Abandon(AdmissionTicket ticket);

  absl::Status OnCall(const TargetCall& call);
  // The life that leaves or drains according to a call that OnCall has accepted; nullopt if none does. A leave may come
  // from a life that this node has not heard of; `unix_ms`, the time, then stands for its start.
  std::optional<proto::TargetLife> DepartureOf(const TargetCall& call, std::int64_t unix_ms) const;
  void OnViewChanged();
  void OnTick(TimePoint now);
  // The node is stopping: reports the target as leaving, so that its keys move away. Requests in progress go on.
  void SetStopping();
  // The node is about to exit: nothing new is sent to the target. Requests in progress go on.
  void RefuseNew() { m_refuses_new = true; }

  proto::TargetReport Report(TimePoint now);
  // As in KeyGrants.
  bool IsReleaseInForce(std::uint64_t release_number) const { return m_grants.IsInForce(release_number); }
  // Whether the target may still hold keys under grants of this node.
  bool MayHoldKeys(TimePoint now) const;
  std::size_t InProgress() const { return m_requests.size(); }
  const AdmissionQueue& Queue() const { return m_admission_queue; }
  // Slots that only inner calls may take.
  void SetInnerSlots(std::uint32_t slots) { m_admission_queue.SetInnerSlots(slots); }
  const TargetEvidence& Evidence() const { return m_evidence; }
  std::string DescribeState(TimePoint now) const;

 private:
  struct ActiveRequest {
    proto::MeshRequest request;
    std::shared_ptr<const std::string> body;
    Reply reply;
    TimePoint arrived;
    TimePoint expires;
    bool held = false;         // waits for a key grant
    bool inner_route = false;  // by the evidence of this node
    bool running = false;
    TimePoint sent_at;  // when it was sent to the target
    std::uint64_t call = 0;
  };
  const MeshService* Service() const;
  bool IsSharded() const;
  bool MayServe(TimePoint now) const;
  std::optional<proto::MeshReason> CurrentRefusal(TimePoint now) const;
  bool IsLeaving() const;
  // Time until which a leaving target may still be sent requests for the keys that it holds.
  TimePoint ServeDeadline() const;
  KeyGrantsHooks GrantHooks();
  HttpClientOptions ClientOptions() const;
  KeyGrants::KeyState StateOfKey(std::uint32_t key, TimePoint now, std::string* owner) const;
  void Admit(AdmissionTicket ticket);
  void SendToTarget(AdmissionTicket ticket);
  void OnResult(AdmissionTicket ticket, HttpResult result);
  void Finish(AdmissionTicket ticket, proto::MeshAnswer answer, std::string body);
  void Refuse(AdmissionTicket ticket, proto::MeshReason reason, Duration retry_after, const std::string& owner);
  // Removes a request that was sent to the target from the admission queue's running ones.
  void EndRun(TimePoint now, AdmissionTicket ticket, bool executed);
  // Share of recent sends that ended well, in thousandths; 0 if the target is sound or evidence is not shared.
  std::uint32_t GoodPermille(TimePoint now) const;
  void RunQueue();
  void ArmQueueTimer();
  void RetryHeldRequests();
  void Reconcile(TimePoint now);
  void OnContact();
  // The target's address has refused a connection. The refusal proves that the target has ended only if no established
  // connection is left. For a leaving target it proves nothing, because the target may close its port before it ends.
  void OnConnectionRefused();
  void OnTargetEnded(std::string_view why);
  // Whether the target may hold keys under grants that were meant for another life (run of the target process) than
  // that of the heartbeat.
  bool MayHoldKeysOfAnotherLife(const TargetHeartbeat& heartbeat, TimePoint now) const;
  bool MayOwnKeys(TimePoint now, const TargetHeartbeat* except) const;
  // Whether a new life must wait for its registration: it may have left before this node restarted, or it may hold keys
  // of another life.
  bool MustWait(const TargetHeartbeat& heartbeat, TimePoint now) const;
  bool HasLeft(const TargetHeartbeat& heartbeat) const;
  // Report while no life is registered. A life that left before this node restarted may not be heard of again, so the
  // keys that the table still gives it are reported as free once no grant for it can be in force.
  proto::TargetReport ReportOfDeparted(TimePoint now) const;
  // Registers the life that waits, once it need not wait any more.
  void AcceptDeferredStart(TimePoint now);
  void BeginLife(const TargetHeartbeat& heartbeat);
  // Sets the cold limit according to the current configuration.
  void ApplyColdLimit();
  // Established connections to the target.
  std::size_t Connected() const { return m_client.Connected() + m_key_client.Connected(); }

  TimerQueue& m_timers;
  const MeshWire& m_wire;
  MeshLog& m_log;
  const MeshTargetOptions m_options;
  const std::string m_address;
  MeshTargetHooks m_hooks;
  HttpClient m_client;
  // Used for grants and releases only, so that a late or duplicate answer to a request cannot be taken for theirs.
  HttpClient m_key_client;
  KeyGrants m_grants;
  AdmissionQueue m_admission_queue;
  TargetEvidence m_evidence;
  KeyLoadMeter m_load_meter;
  EvidenceCounter m_version_evidence;
  std::optional<TargetHeartbeat> m_heartbeat;
  bool m_ended = false;        // the current life has ended
  bool m_silent = false;       // no contact for kSilenceTimeout after failed requests
  bool m_unconfirmed = false;  // another life may have the address; the next heartbeat decides
  bool m_stopping = false;
  bool m_refuses_new = false;
  bool m_connection_refused = false;  // a connection has been refused since the last contact
  std::optional<TimePoint> m_leaving_since;
  std::optional<TimePoint> m_evacuated_since;
  bool m_operator_seen = false;  // the replica has had the operator's records before
  TimePoint m_cold_until;        // as reported by the target, or assumed after an evacuation
  TimePoint m_last_contact_at;
  std::optional<TargetCall> m_deferred_start;  // latest heartbeat of a new life that may hold keys under earlier grants
  int m_consecutive_failures = 0;              // since the last contact
  std::unordered_map<AdmissionTicket, ActiveRequest> m_requests;
  TimerId m_queue_timer = 0;
  TimePoint m_queue_timer_at;
  double m_offered_rate = 0;
  double m_offered_count = 0;
  TimePoint m_offered_updated_at;
  TimePoint m_overload_reported_at;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TARGET_P_H_
