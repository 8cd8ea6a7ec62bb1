#include "magnoliaarch/assignment.h"

#include <algorithm>

#include <fmt/format.h>

#include "assignment_p.h"
#include "lease_p.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

// Interval of routine checks. Each check queries the witnesses of one owner, to detect owners that were lost together
// with the witnesses that would have reported the loss.
constexpr Duration kRoutineCheckInterval = std::chrono::seconds(1);
// If there are at least this many members for each pack, a pack uses only the members that a hash assigns to it.
constexpr std::size_t kMinMembersPerPack = 16;

}  // namespace

Assigner::Assigner(AssignerSettings settings)
    : m_settings(std::move(settings)), m_key(SlicePackKey(m_settings.entry, m_settings.first_slice)) {}

AssignerActions Assigner::Handle(const ViewChanged& event, TimePoint now) {
  AssignerActions out;
  m_view = event.view;
  m_plan_due = true;
  // A previous holder of the assigner role may have changed the pack after this assigner read it.
  const auto pack = m_view->Packs().find(m_key);
  if (pack != m_view->Packs().end() && m_pack_known && !m_pack_call_pending) {
    ApplyConfirmedPack(pack->second.record(), pack->second.revision(), &out);
  }
  UpdatePool();
  CheckOwners(now);
  AdvanceTakeovers(now, &out);
  PlanPack(now, &out);
  return out;
}

void Assigner::UpdatePool() {
  std::int64_t revision = 0;
  for (const auto& [node, member] : m_view->Members()) {
    revision = std::max(revision, member.revision());
  }
  for (const auto& [name, domain] : m_view->Domains()) {
    revision = std::max(revision, domain.revision());
  }
  if (m_pool_view != nullptr && revision == m_pool_revision &&
      m_pool_view->Members().size() == m_view->Members().size()) {
    return;
  }
  m_pool_view = m_view;
  m_pool_revision = revision;
  std::vector<const proto::MemberRecord*> serving = m_view->ServingMembers(m_settings.entry);
  const std::size_t packs = std::max<std::size_t>(1, m_settings.slices / kSlicesPerPack);
  const auto fill_pool = [&](bool include_all) {
    m_pool.clear();
    for (const proto::MemberRecord* member : serving) {
      if (include_all || HashKey(member->node()) % packs == m_settings.first_slice / kSlicesPerPack) {
        m_pool[member->node()] = member;
      }
    }
  };
  fill_pool(serving.size() < packs * kMinMembersPerPack);
  if (m_pool.empty()) {
    fill_pool(true);
  }
}

AssignerActions Assigner::Handle(const DatagramReceived& event, TimePoint now) {
  AssignerActions out;
  const proto::PeerMessage& message = event.message;
  const auto record_reply = [&](const proto::Incarnation& owner, const proto::Incarnation& witness,
                                std::uint64_t age_ms, Phase phase) {
    const auto it = m_takeovers.find(ToIncarnationId(owner));
    if (it == m_takeovers.end() || it->second.phase != phase) {
      return;
    }
    // While checking, the latest reply counts. After a stop the first reply counts: the age only grows from then on,
    // and a witness that restarts later cannot grant renewals any more.
    if (phase == Phase::kChecking) {
      it->second.replies[witness.node()] = WitnessReply{milliseconds(age_ms), now};
    } else {
      it->second.replies.try_emplace(witness.node(), WitnessReply{milliseconds(age_ms), now});
    }
  };
  if (message.has_lapse_report()) {
    const proto::LapseReport& report = message.lapse_report();
    if (report.sequence() == 0) {
      ++m_counters.lapse_reports;
      Suspect(ToIncarnationId(report.owner()), false, now);
    } else {
      record_reply(report.owner(), report.witness(), report.renewal_age_ms(), Phase::kChecking);
      if (!m_settings.rules.stop_witnesses) {
        record_reply(report.owner(), report.witness(), report.renewal_age_ms(), Phase::kStopping);
      }
    }
  } else if (message.has_stop_reply()) {
    const proto::StopReply& reply = message.stop_reply();
    record_reply(reply.owner(), reply.witness(), reply.renewal_age_ms(), Phase::kStopping);
  } else if (message.has_release_reply()) {
    const proto::ReleaseReply& reply = message.release_reply();
    const SlotId id{reply.slice(), reply.key_hash()};
    if (reply.entry() == m_settings.entry && reply.released()) {
      ForEachSlot(&m_pack, m_settings.slices, [&](const SlotId& slot, const proto::SliceRecord* slice) {
        if (slot == id && slice->epoch() == reply.epoch() && slice->owner_incarnation() == reply.owner_incarnation()) {
          m_released_epochs[id] = reply.epoch();
          m_plan_due = true;
        }
      });
    }
  } else if (message.has_hot_key_report() && message.hot_key_report().entry() == m_settings.entry) {
    for (const proto::KeyLoad& key : message.hot_key_report().keys()) {
      KeyRate& rate = m_key_rates[key.key_hash()];
      rate.requests_per_second = key.requests_per_second();
      rate.reported_at = now;
      if (key.requests_per_second() >= m_settings.merge_threshold_rps) {
        rate.last_hot_at = now;
      }
      m_plan_due = m_plan_due || key.requests_per_second() >= m_settings.isolation_threshold_rps;
    }
  }
  AdvanceTakeovers(now, &out);
  PlanPack(now, &out);
  return out;
}

AssignerActions Assigner::Handle(const MemberReadDone& event, TimePoint now) {
  AssignerActions out;
  for (auto it = m_takeovers.begin(); it != m_takeovers.end();) {
    Takeover& takeover = it->second;
    if (it->first.node == event.node && takeover.phase == Phase::kReading && takeover.call_pending) {
      takeover.call_pending = false;
      if (!HandleOwnerRecord(it->first, &takeover, event, now, &out)) {
        ++m_counters.false_suspicions;
        it = m_takeovers.erase(it);
        continue;
      }
    }
    ++it;
  }
  AdvanceTakeovers(now, &out);
  PlanPack(now, &out);
  return out;
}

AssignerActions Assigner::Handle(const PackReadDone& event, TimePoint now) {
  AssignerActions out;
  if (!m_pack_call_pending) {
    return out;
  }
  m_pack_call_pending = false;
  m_pack_retry_at = now + kStoreRetryInterval;
  if (!event.ok) {
    return out;
  }
  m_pack_known = true;
  m_plan_due = true;
  const std::int64_t revision_before = m_pack_revision;
  if (event.pack) {
    ApplyConfirmedPack(event.pack->record(), event.pack->revision(), &out);
  }
  // An unchanged pack after a failed condition means that a member record is newer than the view; wait for the view.
  m_pack_retry_at = m_write_conflict && m_pack_revision == revision_before ? now + kStoreRetryInterval : now;
  m_write_conflict = false;
  CheckOwners(now);
  AdvanceTakeovers(now, &out);
  PlanPack(now, &out);
  return out;
}

AssignerActions Assigner::Handle(const WriteDone& event, TimePoint now) {
  AssignerActions out;
  if (m_pack_call_pending && event.write_id == m_pending_pack.write_id()) {
    m_pack_call_pending = false;
    if (event.outcome == WriteOutcome::kSucceeded) {
      ApplyConfirmedPack(m_pending_pack, event.revision, &out);
    } else if (event.outcome == WriteOutcome::kNoEffect) {
      m_pack_retry_at = now + kStoreRetryInterval;
      m_plan_due = true;
    } else {
      // The pack or a member changed, or the response was lost: read the store before planning again.
      m_write_conflict = event.outcome == WriteOutcome::kConditionFailed;
      ++(m_write_conflict ? m_counters.write_conflicts : m_counters.write_readbacks);
      m_pack_known = false;
      m_pack_retry_at = now;
    }
  }
  for (auto& [owner, takeover] : m_takeovers) {
    if (takeover.phase == Phase::kFencing && takeover.call_pending && event.write_id == takeover.write_id) {
      takeover.call_pending = false;
      if (event.outcome == WriteOutcome::kSucceeded) {
        takeover.phase = Phase::kStopping;
        takeover.fenced_at = now;
        takeover.next_send = now;
        ++m_counters.fences;
        out.push_back(AssignmentChange{"member.fence", fmt::format("{}#{:x}", owner.node, owner.number)});
      } else {
        takeover.phase = Phase::kReading;
        takeover.retry_at = event.outcome == WriteOutcome::kNoEffect ? now + kStoreRetryInterval : now;
      }
    }
  }
  AdvanceTakeovers(now, &out);
  PlanPack(now, &out);
  return out;
}

AssignerActions Assigner::Handle(const HostLostDeclared& event, TimePoint now) {
  AssignerActions out;
  for (const IncarnationId& owner : Owners()) {
    if (owner.node == event.node) {
      Suspect(owner, true, now);
      m_takeovers[owner].host_lost = true;
    }
  }
  AdvanceTakeovers(now, &out);
  return out;
}

AssignerActions Assigner::Tick(TimePoint now) {
  AssignerActions out;
  if (!m_started) {
    m_started = now;
    m_next_routine_check = now + kRoutineCheckInterval;
  }
  if (now >= m_next_routine_check) {
    m_next_routine_check = now + kRoutineCheckInterval;
    const std::set<IncarnationId> owners = Owners();
    if (!owners.empty()) {
      const IncarnationId& owner =
          *std::next(owners.begin(), static_cast<long>(m_routine_check_index++ % owners.size()));
      if (!m_takeovers.contains(owner)) {
        Suspect(owner, false, now);
        m_takeovers[owner].routine_check = true;
      }
    }
  }
  AdvanceTakeovers(now, &out);
  PlanPack(now, &out);
  SendReleaseRequests(now, &out);
  return out;
}

std::vector<TakeoverStatus> Assigner::Takeovers() const {
  constexpr const char* kPhaseNames[] = {"checking", "fencing", "fencing", "stopping", "expired"};
  std::vector<TakeoverStatus> result;
  for (const auto& [owner, takeover] : m_takeovers) {
    if (!takeover.routine_check || takeover.phase != Phase::kChecking) {
      const int witnesses = static_cast<int>(takeover.witnesses.size());
      result.push_back(TakeoverStatus{owner, kPhaseNames[static_cast<int>(takeover.phase)], witnesses,
                                      static_cast<int>(takeover.replies.size()), StopQuorum(witnesses)});
    }
  }
  return result;
}

}  // namespace magnoliaarch
