// Network, store and nodes of the simulated cluster; included by simulated_cluster.h.

#ifndef MAGNOLIAARCH_TESTS_SIMULATED_CLUSTER_RUN_H_
#define MAGNOLIAARCH_TESTS_SIMULATED_CLUSTER_RUN_H_

#include "simulated_cluster.h"

namespace magnoliaarch {

// ---- Network ----

// Runs the callback at the node once the node is not paused; drops it if the process has ended.
inline void SimulatedCluster::RunOnNode(const std::string& name, std::uint64_t incarnation, NodeCallback callback) {
  SimulatedNode& node = *Find(name);
  if (!node.alive || (incarnation != 0 && node.incarnation != incarnation)) {
    return;
  }
  if (IsPaused(node)) {
    ScheduleAt(node.paused_until, [this, name, incarnation, callback] { RunOnNode(name, incarnation, callback); });
    return;
  }
  callback(node, LocalTime(node));
}

inline void SimulatedCluster::Send(SimulatedNode& from, const SendDatagram& datagram) {
  if (datagram.message.has_stop_request()) {
    SignalStep(Step::kStopRequest);
  } else if (datagram.message.has_release_request()) {
    SignalStep(Step::kReleaseRequest);
  } else if (datagram.message.has_lapse_report() && datagram.message.lapse_report().sequence() == 0) {
    SignalStep(Step::kLapseReport);
  }
  const int copies = IsFaultActive(FaultKind::kMessageDuplicate) ? 3 : 1;
  for (int i = 0; i < copies; ++i) {
    if (IsLinkBlocked(from.name, datagram.node) || (IsFaultActive(FaultKind::kMessageLoss) && RandomBool(0.4)) ||
        Find(datagram.node) == nullptr) {
      continue;
    }
    const Duration delay =
        IsFaultActive(FaultKind::kMessageDelay) ? RandomDuration(200, 500'000) : RandomDuration(200, 1'000);
    ScheduleAt(m_now + delay, [this, to = datagram.node, message = datagram.message] {
      RunOnNode(to, 0, [this, message](SimulatedNode& node, TimePoint local) { Receive(node, message, local); });
    });
  }
}

inline void SimulatedCluster::Receive(SimulatedNode& node, const proto::PeerMessage& message, TimePoint local) {
  const DatagramReceived event{message};
  Perform(node, node.lease->Handle(event, local), false);
  Perform(node, node.witness->Handle(event, local), false);
  if (message.has_release_request()) {
    if (const auto reply = node.slices->Handle(message.release_request())) {
      SendDatagram datagram{message.sender().node(), {}};
      datagram.message.mutable_sender()->set_node(node.name);
      *datagram.message.mutable_release_reply() = *reply;
      Send(node, datagram);
    }
  }
  if (node.assigner != nullptr) {
    Perform(node, node.assigner->Handle(event, local), true);
    if (message.has_stop_reply()) {
      SignalStep(Step::kWaitForExpiry);
    }
  }
}

// ---- Store ----

template <typename Actions>
void SimulatedCluster::Perform(SimulatedNode& node, const Actions& actions, bool by_assigner) {
  const auto handle = [by_assigner](SimulatedCluster* cluster, const auto& event) {
    return [cluster, event, by_assigner](SimulatedNode& receiver, TimePoint local) {
      if (!by_assigner) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(event)>, PackReadDone>) {
          cluster->Perform(receiver, receiver.lease->Handle(event, local), false);
        }
      } else if (receiver.assigner != nullptr) {
        cluster->Perform(receiver, receiver.assigner->Handle(event, local), true);
      }
    };
  };
  const auto write_done = [this, handle](const std::string& id) {
    return [this, handle, id](SimulatedNode& receiver, TimePoint local, WriteOutcome outcome, std::int64_t revision) {
      handle(this, WriteDone{id, outcome, revision})(receiver, local);
    };
  };
  for (const auto& any_action : actions) {
    std::visit(
        [&](const auto& action) {
          using Action = std::decay_t<decltype(action)>;
          if constexpr (std::is_same_v<Action, SendDatagram>) {
            Send(node, action);
          } else if constexpr (std::is_same_v<Action, ReadMember>) {
            auto event = std::make_shared<MemberReadDone>(MemberReadDone{action.node, false, std::nullopt});
            StoreCall(
                node, false,
                [this, event, name = action.node] {
                  if (m_members.contains(name)) {
                    event->member = m_members[name];
                  }
                  return 0;
                },
                [this, event, handle](SimulatedNode& receiver, TimePoint local, WriteOutcome outcome, std::int64_t) {
                  event->ok = outcome == WriteOutcome::kSucceeded;
                  handle(this, *event)(receiver, local);
                });
          } else if constexpr (std::is_same_v<Action, WriteMember>) {
            SignalStep(by_assigner ? Step::kFence : Step::kReplaceWitness);
            StoreCall(
                node, true,
                [this, action]() -> std::int64_t {
                  auto& held = m_members[action.record.node()];
                  if (held.revision() != action.expected_revision) {
                    return 0;
                  }
                  held = Versioned<proto::MemberRecord>(action.record, m_revision + 1);
                  Commit(std::string(kMemberPrefix) + action.record.node(), action.record.SerializeAsString());
                  m_observer.OnMember(action.record, m_domains_out[action.record.domain()], m_now);
                  return held.revision();
                },
                write_done(action.write_id));
          } else if constexpr (std::is_same_v<Action, ReadPack>) {
            auto event = std::make_shared<PackReadDone>();
            StoreCall(
                node, false,
                [this, event] {
                  if (m_pack_revision != 0) {
                    event->pack = Versioned<proto::SlicePack>{m_pack, m_pack_revision};
                  }
                  return 0;
                },
                [this, event, handle](SimulatedNode& receiver, TimePoint local, WriteOutcome outcome, std::int64_t) {
                  event->ok = outcome == WriteOutcome::kSucceeded;
                  handle(this, *event)(receiver, local);
                });
          } else if constexpr (std::is_same_v<Action, WritePack>) {
            SignalPackSteps(action);
            StoreCall(
                node, true,
                [this, action]() -> std::int64_t {
                  bool holds = m_pack_revision == action.expected_revision;
                  for (const auto& [name, revision] : action.member_revisions) {
                    holds = holds && m_members[name].revision() == revision;
                  }
                  if (!holds) {
                    return 0;
                  }
                  m_pack = action.pack;
                  m_pack_revision = m_revision + 1;
                  Commit(action.key, action.pack.SerializeAsString());
                  m_observer.OnPack(m_pack, kSlices, m_keys, m_now);
                  return m_pack_revision;
                },
                write_done(action.write_id));
          }
        },
        any_action);
  }
}

// Runs the effect at the store and the response at the node. The effect returns the new revision, or 0 when a condition
// did not hold.
inline void SimulatedCluster::StoreCall(
    SimulatedNode& node,
    bool write,
    std::function<std::int64_t()> effect,
    std::function<void(SimulatedNode&, TimePoint, WriteOutcome, std::int64_t)> done) {
  const auto respond = [this, name = node.name, incarnation = node.incarnation, done](
                           TimePoint time, WriteOutcome outcome, std::int64_t revision) {
    ScheduleAt(time, [this, name, incarnation, done, outcome, revision] {
      RunOnNode(name, incarnation, [done, outcome, revision](SimulatedNode& receiver, TimePoint local) {
        done(receiver, local, outcome, revision);
      });
    });
  };
  if (IsFaultActive(FaultKind::kStoreDown)) {
    return respond(m_now + std::chrono::milliseconds(5), WriteOutcome::kNoEffect, 0);
  }
  if (m_now < node.store_blocked_until) {
    return respond(m_now + std::chrono::milliseconds(100), WriteOutcome::kUnknown, 0);
  }
  if (write && IsFaultActive(FaultKind::kStoreWriteDelayed) && RandomBool(0.5)) {
    ScheduleAt(m_now + RandomDuration(100'000, 600'000), [effect] { effect(); });
    return respond(m_now + std::chrono::milliseconds(60), WriteOutcome::kUnknown, 0);
  }
  const int slowest = IsFaultActive(FaultKind::kStoreSlow) ? 300'000 : 2'000;
  ScheduleAt(m_now + RandomDuration(300, slowest), [this, write, effect, respond, slowest] {
    const std::int64_t revision = effect();
    if (write && IsFaultActive(FaultKind::kStoreResponseLost) && RandomBool(0.6)) {
      return respond(m_now + std::chrono::milliseconds(60), WriteOutcome::kUnknown, 0);
    }
    const bool failed = write && revision == 0;
    respond(m_now + RandomDuration(300, slowest), failed ? WriteOutcome::kConditionFailed : WriteOutcome::kSucceeded,
            revision);
  });
}

inline void SimulatedCluster::SignalPackSteps(const WritePack& write) {
  for (int i = 0; i < std::min(m_pack.slices_size(), write.pack.slices_size()); ++i) {
    const proto::SliceRecord& before = m_pack.slices(i);
    const proto::SliceRecord& after = write.pack.slices(i);
    if (after.epoch() > before.epoch() && before.state() != proto::SLICE_STATE_UNASSIGNED) {
      SignalStep(before.state() == proto::SLICE_STATE_RELEASING ? Step::kMoveGrant : Step::kTakeoverGrant);
    } else if (after.state() == proto::SLICE_STATE_RELEASING && before.state() == proto::SLICE_STATE_OWNED) {
      SignalStep(Step::kMarkReleasing);
    }
  }
}

inline void SimulatedCluster::Commit(const std::string& key, const std::string& value) {
  proto::ViewRecord record;
  record.set_key(key);
  record.set_revision(++m_revision);
  record.set_value(value);
  m_builder.Apply(record);
  m_builder.Advance(m_revision);
  m_snapshot = m_builder.Snapshot();
  DistributeView();
}

inline void SimulatedCluster::DistributeView() {
  for (SimulatedNode& node : m_nodes) {
    ScheduleAt(m_now + RandomDuration(1'000, 20'000), [this, &node, snapshot = m_snapshot] {
      if (node.alive && snapshot->Revision() > node.view_revision) {
        RunOnNode(node.name, node.incarnation,
                  [this, snapshot](SimulatedNode& receiver, TimePoint) { DeliverView(receiver); });
      }
    });
  }
}

// Delivers the newest view to the node, now or as soon as its views are no longer blocked.
inline void SimulatedCluster::DeliverView(SimulatedNode& node) {
  const TimePoint blocked_until = std::max(node.view_blocked_until, node.store_blocked_until);
  if (m_now < blocked_until) {
    ScheduleAt(blocked_until, [this, &node] {
      if (node.alive) {
        DeliverView(node);
      }
    });
    return;
  }
  if (m_snapshot->Revision() <= node.view_revision) {
    return;
  }
  node.view = m_snapshot;
  node.view_revision = m_snapshot->Revision();
  const ViewChanged event{m_snapshot};
  const TimePoint local = LocalTime(node);
  node.witness->Handle(event, local);
  node.slices->Handle(event);
  Perform(node, node.lease->Handle(event, local), false);
  if (node.assigner != nullptr) {
    const proto::RoleRecord* role = node.view->FindRole(m_role.kind(), m_role.name());
    if (role != nullptr && role->node() != node.name) {
      node.assigner.reset();
    } else {
      Perform(node, node.assigner->Handle(event, local), true);
    }
  }
}

// ---- Node ----

inline void SimulatedCluster::Tick(SimulatedNode& node) {
  ScheduleAt(std::max(m_now + kTickInterval, node.paused_until), [this, &node] { Tick(node); });
  if (!node.alive || IsPaused(node)) {
    return;
  }
  const TimePoint local = LocalTime(node);
  // The gate runs before the control work, so that a node that resumes from a pause acts on its old state.
  OfferRequests(node, local);
  Perform(node, node.lease->Tick(local), false);
  Perform(node, node.witness->Tick(local), false);
  if (node.assigner != nullptr) {
    Perform(node, node.assigner->Tick(local), true);
  }
  if (node.lease->IsFenced()) {
    // Register again with a new incarnation.
    Kill(node);
    Start(node);
  } else if (node.planned_stop && node.lease->IsRegistered()) {
    const proto::MemberState state = node.lease->Record().state();
    if (state == proto::MEMBER_STATE_ACTIVE) {
      node.witness_drain_deadline = m_now + kWitnessDrainTimeout;
      Perform(node, node.lease->Handle(MemberStateRequested{proto::MEMBER_STATE_DRAINING}, local), false);
    } else if (state == proto::MEMBER_STATE_DRAINING && node.slices->IsDrained(node.lease->RecordRevision()) &&
               (!IsWitnessInUse(*node.view, node.lease->Self()) || m_now > node.witness_drain_deadline)) {
      Perform(node, node.lease->Handle(MemberStateRequested{proto::MEMBER_STATE_GONE}, local), false);
    } else if (state == proto::MEMBER_STATE_GONE) {
      Kill(node);
    }
  }
}

// Offers a request for every key to the node; some requests wait in its queue between the check and the send.
inline void SimulatedCluster::OfferRequests(SimulatedNode& node, TimePoint local) {
  for (const std::uint64_t key : m_keys) {
    const SendPermit checked = node.slices->Check(key, node.lease->GuaranteedUntil(), local, local + kRequestDeadline);
    if (checked.decision != SendDecision::kAllowed) {
      continue;
    }
    if (RandomBool(0.2)) {
      ScheduleAt(m_now + RandomDuration(0, 25'000), [this, name = node.name, number = node.incarnation, key, checked] {
        RunOnNode(name, number, [this, key, number, checked](SimulatedNode& receiver, TimePoint) {
          StartWork(receiver, key, number, checked);
        });
      });
    } else {
      StartWork(node, key, node.incarnation, checked);
    }
  }
}

inline void SimulatedCluster::StartWork(SimulatedNode& node,
                                        std::uint64_t key,
                                        std::uint64_t incarnation,
                                        const SendPermit& checked) {
  const TimePoint local = LocalTime(node);
  const IncarnationId owner{node.name, incarnation};
  SendPermit permit = node.slices->TryBeginSend(key, node.lease->GuaranteedUntil(), local, local + kRequestDeadline);
  if (permit.decision != SendDecision::kAllowed) {
    if (m_rules.recheck_lease_after_queueing) {
      return;
    }
    permit = checked;  // broken rule: the gate relies on the check before the wait
    permit.decision = SendDecision::kNotOwner;
  }
  m_observer.OnWorkStarted(owner, key, permit.epoch, m_now);
  m_work_starts[key].emplace_back(m_now, node.name);
  const Duration deadline = std::chrono::duration_cast<Duration>(kRequestDeadline / node.clock_rate);
  const TimePoint last = m_now + deadline;
  const auto end = [this, owner, key, permit] {
    m_observer.OnWorkEnded(owner, key, m_now);
    RunOnNode(owner.node, owner.number,
              [permit](SimulatedNode& receiver, TimePoint) { receiver.slices->EndSend(permit); });
  };
  ScheduleAt(m_now + RandomDuration(500, 20'000), [this, &node, last, end] {
    // A frozen target, which honours deadlines, ends the work at its deadline.
    if (node.target_frozen) {
      ScheduleAt(std::max(last, m_now), end);
    } else {
      end();
    }
  });
}

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_TESTS_SIMULATED_CLUSTER_RUN_H_
