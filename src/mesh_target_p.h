// The node's side of its local target: registration, key grants, admission and the requests that run there.

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
#include "mesh_gate_p.h"
#include "mesh_grants_p.h"
#include "mesh_keys_p.h"
#include "mesh_log_p.h"
#include "mesh_model_p.h"
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
  const MeshBounds* bounds = nullptr;  // outlives the object; changes when the settings are read again
};

struct MeshTargetHooks {
  // Until when this node may vouch for its grants.
  std::function<TimePoint()> authority_end;
  std::function<const MeshView&()> view;
  // The target has given a range up whose successor is planned.
  std::function<void(const proto::KeyRange& range, const std::string& handover)> on_released;
  // The target has seen higher fences on keys that it is to own.
  std::function<void(const std::set<std::uint64_t>& fences)> on_fences_refused;
  // The report has changed in a way that others wait for.
  std::function<void()> on_changed;
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

  // Runs a request for the ticket, or says why not. The reply is given once unless the request is abandoned.
  void Handle(AdmissionTicket ticket, proto::MeshRequest request, std::string body, Reply reply);
  // Nobody waits for the answer any more.
  void Abandon(AdmissionTicket ticket);

  absl::Status OnCall(const TargetCall& call);
  void OnViewChanged();
  void OnTick(TimePoint now);
  // The node stops: keys move away, requests in progress end.
  void SetStopping();
  // The node ends soon: nothing new is sent to the target, requests in progress end.
  void RefuseNew() { m_refuses_new = true; }

  proto::TargetReport Report(TimePoint now);
  // Whether the target may still hold keys by grants of this node.
  bool MayHoldKeys(TimePoint now) const;
  std::size_t InProgress() const { return m_requests.size(); }
  const AdmissionQueue& Queue() const { return m_admission_queue; }
  std::string DescribeState(TimePoint now) const;

 private:
  struct ActiveRequest {
    proto::MeshRequest request;
    std::string body;
    Reply reply;
    TimePoint arrived;
    TimePoint expires;
    bool held = false;  // waits for a grant
    bool running = false;
    TimePoint sent_at;  // to the target
    std::uint64_t call = 0;
  };
  const MeshService* Service() const;
  bool IsSharded() const;
  bool MayServe(TimePoint now) const;
  std::optional<proto::MeshReason> CurrentRefusal(TimePoint now) const;
  bool IsLeaving() const;
  // End of the time in which a leaving target still serves the keys that it has.
  TimePoint ServeDeadline() const;
  KeyGrantsHooks GrantHooks();
  KeyGrants::KeyState StateOfKey(std::uint32_t key, TimePoint now, std::string* owner) const;
  void Admit(AdmissionTicket ticket);
  void SendToTarget(AdmissionTicket ticket);
  void OnResult(AdmissionTicket ticket, HttpResult result);
  void Finish(AdmissionTicket ticket, proto::MeshAnswer answer, std::string body);
  void Refuse(AdmissionTicket ticket, proto::MeshReason reason, Duration retry_after, const std::string& owner);
  void RunQueue();
  void ArmQueueTimer();
  void RetryHeldRequests();
  void Reconcile(TimePoint now);
  void OnContact();
  // Its address takes no new connection. That proves its end only if no established connection is left, and never for a
  // target that leaves, which may close its port first.
  void OnConnectionRefused();
  void OnTargetEnded(std::string_view why);
  // Grants that were sent after the last beat of the known life may have reached its successor under the old fence.
  bool MayHoldKeysOfEarlierLife(TimePoint now) const;
  void BeginLife(const TargetHeartbeat& heartbeat);
  // The cold limit by the present configuration.
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
  // Of grants and releases. An answer to a request, written late or once more, cannot come where theirs is expected.
  HttpClient m_key_client;
  KeyGrants m_grants;
  AdmissionQueue m_admission_queue;
  KeyLoadMeter m_load_meter;
  std::optional<TargetHeartbeat> m_heartbeat;
  bool m_ended = false;        // the present life has certainly ended
  bool m_silent = false;       // nothing was heard of it for a while
  bool m_unconfirmed = false;  // another life may have the address; the next beat tells
  bool m_stopping = false;
  bool m_refuses_new = false;
  bool m_connection_refused = false;  // a connection was refused since the last contact
  std::optional<TimePoint> m_leaving_since;
  std::optional<TimePoint> m_evacuated_since;
  TimePoint m_cold_until;  // as the target said, or as may be
  TimePoint m_last_contact_at;
  TimePoint m_last_heartbeat_at;
  std::optional<TargetCall> m_deferred_start;  // the first beat of a life that may hold keys by earlier grants
  int m_consecutive_failures = 0;              // in a row, without contact
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
