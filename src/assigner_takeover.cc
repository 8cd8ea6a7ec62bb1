#include <algorithm>

#include "assignment_p.h"
#include "lease_p.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

constexpr Duration kQueryInterval = milliseconds(100);
// Query interval once the takeover has lasted five seconds.
constexpr Duration kSlowQueryInterval = std::chrono::seconds(1);
constexpr Duration kSlowQueryAfter = std::chrono::seconds(5);
// Witnesses confirm a suspicion if the owner's last renewal that they granted is at least this old. Less than
// kLapseReportAge, because the witnesses do not all receive the last renewal at the same time; long enough to tolerate
// one lost renewal.
constexpr Duration kSuspicionConfirmAge = milliseconds(600);
// Interval at which a member record without usable witnesses is read again while the takeover waits for an operator.
constexpr Duration kRecordRereadInterval = std::chrono::seconds(1);
// A suspicion that the witnesses neither confirmed nor refuted is dropped after this time; new reports raise it again.
constexpr Duration kSuspicionCheckTimeout = std::chrono::seconds(3);

}  // namespace

std::set<IncarnationId> Assigner::Owners() const {
  std::set<IncarnationId> owners;
  ForEachSlot(&m_pack, m_settings.slices, [&owners](const SlotId&, const proto::SliceRecord* slice) {
    if (slice->owner_incarnation() != 0) {
      owners.insert(OwnerOf(*slice));
    }
  });
  return owners;
}

bool Assigner::IsReplacedOrGone(const IncarnationId& owner) const {
  const proto::MemberRecord* member = m_view->FindMember(owner.node);
  return member == nullptr || member->incarnation() != owner.number || member->fenced() ||
         member->state() == proto::MEMBER_STATE_GONE;
}

void Assigner::CheckOwners(TimePoint now) {
  // A view older than the pack may not contain the owners' registrations yet.
  if (m_view == nullptr || !m_pack_known || m_view->Revision() < m_pack_revision) {
    return;
  }
  for (const IncarnationId& owner : Owners()) {
    if (IsReplacedOrGone(owner)) {
      Suspect(owner, true, now);
    }
  }
}

void Assigner::Suspect(const IncarnationId& owner, bool confirmed, TimePoint now) {
  if (!Owners().contains(owner)) {
    return;
  }
  const auto [it, added] = m_takeovers.try_emplace(owner);
  Takeover& takeover = it->second;
  if (added) {
    takeover.started = now;
    takeover.next_send = now;
  }
  takeover.routine_check = false;
  takeover.confirmed = takeover.confirmed || confirmed;
  if (confirmed && takeover.phase == Phase::kChecking) {
    takeover.phase = Phase::kReading;
    takeover.replies.clear();
  }
}

void Assigner::AdvanceTakeovers(TimePoint now, AssignerActions* out) {
  if (m_takeovers.empty()) {
    return;
  }
  const std::set<IncarnationId> owners = Owners();
  for (auto it = m_takeovers.begin(); it != m_takeovers.end();) {
    Takeover& takeover = it->second;
    if (m_pack_known && !owners.contains(it->first)) {
      it = m_takeovers.erase(it);
      continue;
    }
    if (takeover.phase == Phase::kChecking) {
      const int needed = StopQuorum(static_cast<int>(takeover.witnesses.size()));
      const int stale_count = CountRepliesOlderThan(takeover, kSuspicionConfirmAge, now);
      const int fresh_count = static_cast<int>(takeover.replies.size()) - stale_count;
      if (!takeover.witnesses.empty() && stale_count >= needed) {
        takeover.phase = Phase::kReading;
        takeover.replies.clear();
      } else if (fresh_count > static_cast<int>(takeover.witnesses.size()) - needed ||
                 (now - takeover.started > kSuspicionCheckTimeout && (fresh_count > 0 || takeover.witnesses.empty()))) {
        m_plan_due = true;
        m_counters.false_suspicions += takeover.routine_check ? 0 : 1;
        it = m_takeovers.erase(it);
        continue;
      } else if (now - takeover.started > kSuspicionCheckTimeout) {
        takeover.routine_check = false;  // no witness replies: treat the owner as suspected until one replies
      }
    }
    AdvanceTakeover(it->first, &takeover, now, out);
    ++it;
  }
}

void Assigner::AdvanceTakeover(const IncarnationId& owner, Takeover* takeover, TimePoint now, AssignerActions* out) {
  switch (takeover->phase) {
    case Phase::kChecking:
      if (now >= takeover->next_send && m_view != nullptr) {
        const proto::MemberRecord* member = m_view->FindMember(owner.node);
        if (member != nullptr && member->incarnation() == owner.number) {
          takeover->witnesses.assign(member->witnesses().begin(), member->witnesses().end());
        }
        QueryWitnesses(owner, takeover, now, out);
      }
      break;
    case Phase::kReading:
      if (!takeover->call_pending && now >= takeover->retry_at) {
        takeover->call_pending = true;
        out->push_back(ReadMember{owner.node});
      }
      break;
    case Phase::kFencing:
      break;
    case Phase::kStopping:
      if (now >= takeover->next_send) {
        QueryWitnesses(owner, takeover, now, out);
      }
      if (HasExpired(*takeover, now)) {
        takeover->phase = Phase::kExpired;
        m_plan_due = true;
      }
      break;
    case Phase::kExpired:
      break;
  }
}

void Assigner::QueryWitnesses(const IncarnationId& owner, Takeover* takeover, TimePoint now, AssignerActions* out) {
  takeover->next_send = now + (now - takeover->started < kSlowQueryAfter ? kQueryInterval : kSlowQueryInterval);
  const bool stop = takeover->phase == Phase::kStopping && m_settings.rules.stop_witnesses;
  for (const proto::Incarnation& witness : takeover->witnesses) {
    if (takeover->phase == Phase::kStopping && takeover->replies.contains(witness.node())) {
      continue;
    }
    SendDatagram datagram{witness.node(), {}};
    SetIncarnation(datagram.message.mutable_sender(), m_settings.self);
    if (stop) {
      proto::StopRequest* request = datagram.message.mutable_stop_request();
      SetIncarnation(request->mutable_owner(), owner);
      request->set_requester(m_settings.self.node);
      request->set_sequence(++m_sequence);
    } else {
      proto::LapseQuery* query = datagram.message.mutable_lapse_query();
      SetIncarnation(query->mutable_owner(), owner);
      query->set_sequence(++m_sequence);
    }
    out->push_back(std::move(datagram));
  }
}

bool Assigner::HandleOwnerRecord(const IncarnationId& owner,
                                 Takeover* takeover,
                                 const MemberReadDone& event,
                                 TimePoint now,
                                 AssignerActions* out) {
  takeover->retry_at = now + (event.ok ? kRecordRereadInterval : kStoreRetryInterval);
  if (!event.ok) {
    return true;
  }
  const auto start_stopping = [&](const auto& witnesses) {
    takeover->witnesses.assign(witnesses.begin(), witnesses.end());
    takeover->phase = Phase::kStopping;
    takeover->fenced_at = now;
    takeover->next_send = now;
  };
  const proto::MemberRecord* record = event.member ? &event.member->record() : nullptr;
  if (record == nullptr || record->incarnation() != owner.number) {
    // A newer incarnation has registered; its record lists the witnesses of its predecessors. If the record does not
    // list this owner, the takeover waits for an operator to declare the host lost.
    if (record != nullptr) {
      for (const proto::PredecessorRecord& predecessor : record->predecessors()) {
        if (predecessor.incarnation() == owner.number) {
          takeover->replaced = true;
          start_stopping(predecessor.witnesses());
          return true;
        }
      }
    }
    if (takeover->host_lost) {
      start_stopping(std::vector<proto::Incarnation>());
    }
    return true;
  }
  if (record->fenced() || !m_settings.rules.fence_owner_first) {
    start_stopping(record->witnesses());
    return true;
  }
  if (takeover->confirmed && record->state() != proto::MEMBER_STATE_GONE && !takeover->host_lost) {
    return false;  // the view was stale
  }
  takeover->fence_record = *record;
  takeover->fence_record.set_fenced(true);
  takeover->write_id = NextWriteId();
  takeover->fence_record.set_write_id(takeover->write_id);
  takeover->witnesses.assign(record->witnesses().begin(), record->witnesses().end());
  takeover->phase = Phase::kFencing;
  takeover->call_pending = true;
  out->push_back(WriteMember{takeover->fence_record, event.member->revision(), takeover->write_id});
  return true;
}

int Assigner::CountRepliesOlderThan(const Takeover& takeover, Duration age, TimePoint now) const {
  int count = 0;
  for (const proto::Incarnation& witness : takeover.witnesses) {
    const auto it = takeover.replies.find(witness.node());
    if (it == takeover.replies.end()) {
      continue;
    }
    const Duration elapsed =
        takeover.phase == Phase::kChecking
            ? Duration::zero()
            : std::chrono::duration_cast<Duration>((now - it->second.received) * (1.0 - kDriftMargin));
    count += it->second.age + elapsed > age ? 1 : 0;
  }
  return count;
}

bool Assigner::HasExpired(const Takeover& takeover, TimePoint now) const {
  const int witnesses = static_cast<int>(takeover.witnesses.size());
  if (takeover.host_lost || (takeover.replaced && witnesses == 0)) {
    return takeover.fenced_at && now - *takeover.fenced_at > kExpiryAge;
  }
  if (witnesses == 0) {
    return false;  // a lease without witnesses never expires
  }
  const Duration age = m_settings.rules.wait_for_renewal_expiry ? kExpiryAge : Duration(-1);
  return CountRepliesOlderThan(takeover, age, now) >= StopQuorum(witnesses);
}

bool Assigner::IsExpired(const proto::SliceRecord& slice) const {
  const auto it = m_takeovers.find(OwnerOf(slice));
  return it != m_takeovers.end() && it->second.phase == Phase::kExpired;
}

bool Assigner::IsSuspected(const proto::SliceRecord& slice) const {
  const auto it = m_takeovers.find(OwnerOf(slice));
  return it != m_takeovers.end() && !it->second.routine_check;
}

}  // namespace magnoliaarch
