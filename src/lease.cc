#include "magnoliaarch/lease.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "lease_p.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStoreRetryInterval = milliseconds(50);
// Registration waits this long for three witnesses before it proceeds with fewer.
constexpr Duration kRegistrationWait = milliseconds(500);
// A candidate that did not reply is excluded for this long.
constexpr Duration kCandidateExclusionTime = std::chrono::seconds(2);
// Minimum time between changes of a working witness set that only improve its spread over failure domains.
constexpr Duration kSpreadImprovementInterval = std::chrono::seconds(10);
// A longer gap between ticks means that this process was paused; missing replies then do not indicate a fault of a
// peer.
constexpr Duration kPauseThreshold = milliseconds(200);
// A witness set shrinks only if some witnesses have been silent for kShrinkMinSilence while the others replied within
// kShrinkMaxReplyAge. A fault of this node silences all witnesses at about the same time and does not shrink the set.
constexpr Duration kShrinkMinSilence = milliseconds(1100);
constexpr Duration kShrinkMaxReplyAge = milliseconds(400);
// Candidates queried at the same time in addition to the recorded witnesses.
constexpr std::size_t kMaxProbedCandidates = 4;

bool Contains(const std::vector<proto::Incarnation>& witnesses, const std::string& node) {
  return std::any_of(witnesses.begin(), witnesses.end(),
                     [&node](const proto::Incarnation& witness) { return witness.node() == node; });
}

std::vector<proto::Incarnation> WitnessesOf(const proto::MemberRecord& record) {
  return {record.witnesses().begin(), record.witnesses().end()};
}

bool SameWitnesses(const std::vector<proto::Incarnation>& a, const std::vector<proto::Incarnation>& b) {
  return a.size() == b.size() && std::all_of(a.begin(), a.end(), [&b](const proto::Incarnation& witness) {
           return std::any_of(b.begin(), b.end(), [&witness](const proto::Incarnation& other) {
             return other.node() == witness.node() && other.number() == witness.number();
           });
         });
}

}  // namespace

// ---- LeaseOwner ----

LeaseOwner::LeaseOwner(proto::MemberRecord self, LeaseRules rules)
    : m_rules(rules), m_record(std::move(self)), m_requested_state(m_record.state()) {
  m_record.clear_witnesses();
  m_record.clear_predecessors();
  m_record.clear_fenced();
}

void LeaseOwner::EnsureStarted(TimePoint now) {
  if (!m_started) {
    m_started = now;
    m_last_tick = now;
    m_next_spread_improvement = now + kSpreadImprovementInterval;
  }
}

LeaseActions LeaseOwner::Handle(const ViewChanged& event, TimePoint now) {
  LeaseActions out;
  EnsureStarted(now);
  m_view = event.view;
  const auto it = m_view->Members().find(m_record.node());
  if (it != m_view->Members().end() && IsRegistered() && it->second.revision() > m_revision) {
    const proto::MemberRecord& record = it->second.record();
    if (record.incarnation() != m_record.incarnation() || record.fenced()) {
      MarkFenced(&out);
    }
  }
  m_witness_choice.reset();
  UpdateLeaseState(now, &out);
  return out;
}

LeaseActions LeaseOwner::Handle(const DatagramReceived& event, TimePoint now) {
  LeaseActions out;
  if (!event.message.has_renew_reply() || m_fenced) {
    return out;
  }
  const proto::RenewReply& reply = event.message.renew_reply();
  const auto it = m_peers.find(reply.witness().node());
  if (it == m_peers.end()) {
    return out;
  }
  Peer& peer = it->second;
  const auto request = peer.outstanding_requests.find(reply.sequence());
  if (request == peer.outstanding_requests.end()) {
    return out;
  }
  const TimePoint sent_at = request->second;
  peer.outstanding_requests.erase(request);
  peer.last_reply_at = now;
  if (peer.incarnation != reply.witness().number()) {
    peer.incarnation = reply.witness().number();
    if (m_rules.require_recorded_witnesses) {
      peer.grant_valid_from.reset();
    }
    peer.next_send = now;
  }
  if (reply.stopped()) {
    m_must_reread_record = true;
  } else if (reply.granted()) {
    ++m_counters.renewals_granted;
    const TimePoint counted_from = m_rules.count_from_send ? sent_at : now;
    peer.grant_valid_from = std::max(peer.grant_valid_from.value_or(counted_from), counted_from);
  }
  PlanWrite(now, &out);
  UpdateLeaseState(now, &out);
  return out;
}

LeaseActions LeaseOwner::Handle(const MemberReadDone& event, TimePoint now) {
  LeaseActions out;
  if (!m_call_pending || event.node != m_record.node()) {
    return out;
  }
  m_call_pending = false;
  m_retry_at = now + kStoreRetryInterval;
  if (!event.ok) {
    return out;
  }
  m_must_reread_record = false;
  const proto::MemberRecord found = event.member ? event.member->record() : proto::MemberRecord();
  const std::int64_t revision = event.member ? event.member->revision() : 0;
  const bool same_incarnation = event.member && found.incarnation() == m_record.incarnation();
  const bool superseded = std::any_of(found.predecessors().begin(), found.predecessors().end(),
                                      [this](const proto::PredecessorRecord& predecessor) {
                                        return predecessor.incarnation() == m_record.incarnation();
                                      });
  if ((same_incarnation && found.fenced()) || superseded || (!same_incarnation && IsRegistered())) {
    MarkFenced(&out);
  } else if (same_incarnation) {
    // The record is either the pending one or the one before the write; in the second case the write is sent again.
    if (m_write_pending && (found.write_id() == m_pending_record.write_id() || revision != m_base_revision)) {
      m_write_pending = false;
    }
    if (revision != m_revision) {
      ApplyConfirmedRecord(found, revision);
    }
    m_phase = Phase::kIdle;
  } else {
    if (!m_write_pending || revision != m_base_revision) {
      RebaseOn(found, revision);
    }
    m_phase = Phase::kIdle;
  }
  m_retry_at = now;
  PlanWrite(now, &out);
  UpdateLeaseState(now, &out);
  return out;
}

LeaseActions LeaseOwner::Handle(const WriteDone& event, TimePoint now) {
  LeaseActions out;
  if (m_phase != Phase::kWriting || event.write_id != m_pending_record.write_id()) {
    return out;
  }
  m_call_pending = false;
  switch (event.outcome) {
    case WriteOutcome::kSucceeded:
      m_write_pending = false;
      m_phase = Phase::kIdle;
      ApplyConfirmedRecord(m_pending_record, event.revision);
      break;
    case WriteOutcome::kNoEffect:
      m_write_pending = m_write_unknown;
      m_no_witness_extension_stopped = m_write_pending;
      m_phase = Phase::kIdle;
      m_retry_at = now + kStoreRetryInterval;
      break;
    case WriteOutcome::kConditionFailed:
    case WriteOutcome::kUnknown:
      m_write_unknown = true;
      ++m_counters.write_readbacks;
      ReadRecord(now, Phase::kReadingBack, &out);
      break;
  }
  PlanWrite(now, &out);
  UpdateLeaseState(now, &out);
  return out;
}

LeaseActions LeaseOwner::Handle(const MemberStateRequested& event, TimePoint now) {
  LeaseActions out;
  EnsureStarted(now);
  m_requested_state = event.state;
  PlanWrite(now, &out);
  UpdateLeaseState(now, &out);
  return out;
}

LeaseActions LeaseOwner::Tick(TimePoint now) {
  LeaseActions out;
  EnsureStarted(now);
  if (m_fenced) {
    return out;
  }
  if (now - m_last_tick > kPauseThreshold) {
    for (auto& [node, peer] : m_peers) {
      peer.asked_since = now;
    }
  }
  m_last_tick = now;
  if (std::erase_if(m_excluded_until, [now](const auto& item) { return item.second <= now; }) > 0) {
    m_witness_choice.reset();
  }
  if (!m_call_pending && now >= m_retry_at) {
    if (m_phase == Phase::kReading || m_phase == Phase::kReadingBack) {
      ReadRecord(now, m_phase, &out);
    } else if (m_phase == Phase::kIdle && m_must_reread_record) {
      ReadRecord(now, Phase::kReadingBack, &out);
    }
  }
  SendRenewals(now, &out);
  PlanWrite(now, &out);
  UpdateLeaseState(now, &out);
  return out;
}

void LeaseOwner::SendRenewals(TimePoint now, LeaseActions* out) {
  if (m_view == nullptr) {
    return;
  }
  std::map<std::string, std::uint64_t> nodes_to_ask;  // node -> incarnation
  for (const proto::Incarnation& witness : m_record.witnesses()) {
    nodes_to_ask[witness.node()] = witness.number();
  }
  if (m_write_pending) {
    for (const proto::Incarnation& witness : m_pending_record.witnesses()) {
      nodes_to_ask[witness.node()] = witness.number();
    }
  }
  if (NeedsCandidates(now)) {
    std::size_t probe_count = 0;
    for (const proto::Incarnation& candidate : CurrentWitnessChoice().candidates) {
      if (probe_count == kMaxProbedCandidates) {
        break;
      }
      if (m_excluded_until.contains(candidate.node())) {
        continue;
      }
      if (m_peers.contains(candidate.node()) && IsSilent(candidate.node(), now) &&
          !nodes_to_ask.contains(candidate.node())) {
        m_excluded_until[candidate.node()] = now + kCandidateExclusionTime;
        m_peers.erase(candidate.node());
        continue;
      }
      nodes_to_ask.try_emplace(candidate.node(), candidate.number());
      ++probe_count;
    }
    if (probe_count == 0 && !m_excluded_until.empty()) {
      // No candidate replied, so the fault is probably at this node; query all candidates again.
      m_excluded_until.clear();
      m_witness_choice.reset();
    }
  }
  std::erase_if(m_peers, [&nodes_to_ask](const auto& item) { return !nodes_to_ask.contains(item.first); });
  for (const auto& [node, number] : nodes_to_ask) {
    const auto [it, added] = m_peers.try_emplace(node);
    Peer& peer = it->second;
    if (added) {
      peer.asked_since = now;
      peer.next_send = now;
    }
    if (now < peer.next_send) {
      continue;
    }
    peer.next_send = now + kRenewInterval;
    std::erase_if(peer.outstanding_requests, [now](const auto& item) { return now - item.second > kLeaseTime; });
    peer.outstanding_requests[++m_sequence] = now;
    proto::PeerMessage message;
    proto::RenewRequest* request = message.mutable_renew_request();
    SetIncarnation(request->mutable_owner(), Self());
    request->set_sequence(m_sequence);
    request->set_witness_incarnation(peer.incarnation != 0 ? peer.incarnation : number);
    ++m_counters.renewals_sent;
    out->push_back(SendDatagram{node, std::move(message)});
  }
}

void LeaseOwner::ReadRecord(TimePoint now, Phase phase, LeaseActions* out) {
  m_phase = phase;
  m_call_pending = true;
  m_retry_at = now + kStoreRetryInterval;
  out->push_back(ReadMember{m_record.node()});
}

void LeaseOwner::PlanWrite(TimePoint now, LeaseActions* out) {
  if (m_fenced || m_phase != Phase::kIdle || m_call_pending || now < m_retry_at || m_view == nullptr ||
      m_must_reread_record) {
    return;
  }
  if (m_write_pending) {
    // An earlier attempt may still take effect, so only the same content may be written.
    SendWrite(out);
    return;
  }
  if (m_requested_state == m_record.state() && m_record.predecessors_size() == 0 && !NeedsCandidates(now)) {
    return;
  }
  m_no_witness_extension_stopped = false;
  const WitnessSet desired = DesiredWitnesses(now);
  const WitnessSet recorded = WitnessesOf(m_record);
  proto::MemberRecord next = m_record;
  PrunePredecessors(&next);
  const bool has_changes = !SameWitnesses(desired, recorded) || m_requested_state != m_record.state() ||
                           next.predecessors_size() != m_record.predecessors_size();
  if (IsRegistered() ? !has_changes : !CanRegister(desired, now)) {
    return;
  }
  if (IsRegistered() && !SameWitnesses(desired, recorded) && !desired.empty()) {
    // A takeover that finds the new set does not know of older renewals, so a change must not shorten the guarantee
    // under which work has already been sent. A lease without witnesses stops extending itself until the new
    // set guarantees the lease for at least as long.
    m_no_witness_extension_stopped = true;
    if (m_guaranteed_until > now && ValidUntil(desired) < m_guaranteed_until) {
      return;
    }
  }
  next.set_state(m_requested_state);
  next.clear_witnesses();
  for (const proto::Incarnation& witness : desired) {
    *next.add_witnesses() = witness;
  }
  next.set_write_id(fmt::format("{}#{:x}#m{}", next.node(), next.incarnation(), ++m_write_number));
  m_pending_record = std::move(next);
  m_write_pending = true;
  m_write_unknown = false;
  m_next_spread_improvement = now + kSpreadImprovementInterval;
  SendWrite(out);
}

void LeaseOwner::SendWrite(LeaseActions* out) {
  m_phase = Phase::kWriting;
  m_call_pending = true;
  out->push_back(WriteMember{m_pending_record, m_base_revision, m_pending_record.write_id()});
}

void LeaseOwner::ApplyConfirmedRecord(const proto::MemberRecord& record, std::int64_t revision) {
  if (!SameWitnesses(WitnessesOf(record), WitnessesOf(m_record))) {
    ++m_counters.witness_changes;
    m_counters.witness_fallbacks += IsSpreadOverDomains(WitnessesOf(record)) ? 0 : 1;
  }
  if (m_registered_revision == 0) {
    m_registered_revision = revision;
  }
  m_record = record;
  m_revision = revision;
  m_base_revision = revision;
}

void LeaseOwner::RebaseOn(const proto::MemberRecord& record, std::int64_t revision) {
  m_write_pending = false;
  m_base_revision = revision;
  m_record.clear_predecessors();
  if (revision == 0) {
    return;
  }
  *m_record.mutable_predecessors() = record.predecessors();
  proto::PredecessorRecord* predecessor = m_record.add_predecessors();
  predecessor->set_incarnation(record.incarnation());
  *predecessor->mutable_witnesses() = record.witnesses();
}

void LeaseOwner::MarkFenced(LeaseActions* out) {
  if (!m_fenced) {
    m_fenced = true;
    m_guaranteed_until = TimePoint::min();
    m_reported_held = false;
    out->push_back(LeaseLost{LeaseLoss::kFenced});
  }
}

void LeaseOwner::UpdateLeaseState(TimePoint now, LeaseActions* out) {
  if (IsRegistered() && m_record.witnesses_size() == 0 && !m_no_witness_extension_stopped) {
    m_no_witness_until = now + kGuaranteedTime;
  }
  m_guaranteed_until = ComputeGuarantee();
  const bool held = IsHeld(now);
  if (m_fenced || held == m_reported_held) {
    return;
  }
  m_reported_held = held;
  if (held) {
    out->push_back(LeaseHeld{});
  } else {
    ++m_counters.lapses;
    out->push_back(LeaseLost{LeaseLoss::kLapsed});
  }
}

const WitnessChoice& LeaseOwner::CurrentWitnessChoice() {
  if (!m_witness_choice) {
    std::set<std::string> excluded;
    for (const auto& [node, until] : m_excluded_until) {
      excluded.insert(node);
    }
    m_witness_choice = ChooseWitnesses(*m_view, m_record, excluded);
  }
  return *m_witness_choice;
}

bool LeaseOwner::OwnsSlots(std::uint64_t incarnation) const {
  const IncarnationId id{m_record.node(), incarnation};
  return std::any_of(m_view->Packs().begin(), m_view->Packs().end(),
                     [&id](const auto& item) { return HasOwner(item.second.record(), id); });
}

void LeaseOwner::PrunePredecessors(proto::MemberRecord* record) const {
  // No grant reaches an incarnation after its record was replaced, so a view that is complete up to that revision is
  // conclusive. Before registration this holds for all predecessors but the last.
  const std::int64_t replaced_revision = IsRegistered() ? m_registered_revision : m_base_revision;
  if (record->predecessors_size() == 0 || m_view->Revision() < replaced_revision) {
    return;
  }
  google::protobuf::RepeatedPtrField<proto::PredecessorRecord> kept;
  for (int i = 0; i < record->predecessors_size(); ++i) {
    const bool is_last = i == record->predecessors_size() - 1;
    if ((is_last && !IsRegistered()) || OwnsSlots(record->predecessors(i).incarnation())) {
      *kept.Add() = record->predecessors(i);
    }
  }
  *record->mutable_predecessors() = std::move(kept);
}

bool LeaseOwner::IsSilent(const std::string& node, TimePoint now, Duration limit) const {
  const auto it = m_peers.find(node);
  if (it == m_peers.end()) {
    return false;
  }
  const TimePoint last_heard_at =
      std::max(it->second.asked_since, it->second.last_reply_at.value_or(it->second.asked_since));
  return now - last_heard_at > limit;
}

bool LeaseOwner::IsLeaving(const std::string& node) const {
  const proto::MemberRecord* member = m_view->FindMember(node);
  return member != nullptr && member->state() != proto::MEMBER_STATE_ACTIVE;
}

bool LeaseOwner::HasRepliedRecently(const std::string& node, TimePoint now) const {
  const auto it = m_peers.find(node);
  return it != m_peers.end() && it->second.last_reply_at && now - *it->second.last_reply_at <= kWitnessSilenceTimeout;
}

std::size_t LeaseOwner::OtherNodes() const {
  return static_cast<std::size_t>(
      std::count_if(m_view->Members().begin(), m_view->Members().end(), [this](const auto& item) {
        const proto::MemberRecord& member = item.second.record();
        return item.first != m_record.node() && !member.fenced() && member.state() != proto::MEMBER_STATE_GONE;
      }));
}

std::size_t LeaseOwner::MinWitnesses() const {
  // A node that reaches fewer witnesses is probably partitioned itself, and a takeover of its slices would depend on
  // too few replies.
  const std::size_t others = OtherNodes();
  return others <= 1 ? 0 : std::min<std::size_t>(others - 1, 2);
}

bool LeaseOwner::CanRegister(const WitnessSet& desired, TimePoint now) const {
  if (m_record.predecessors_size() > kMaxPredecessors) {
    proto::MemberRecord pruned = m_record;
    PrunePredecessors(&pruned);
    if (pruned.predecessors_size() > kMaxPredecessors) {
      return false;
    }
  }
  if (desired.size() >= std::min<std::size_t>(kWitnessCount, OtherNodes())) {
    return true;
  }
  return now - *m_started >= kRegistrationWait && desired.size() >= MinWitnesses();
}

bool LeaseOwner::NeedsCandidates(TimePoint now) {
  const WitnessSet recorded = WitnessesOf(m_record);
  if (!IsRegistered() || recorded.size() < kWitnessCount) {
    return true;
  }
  for (const proto::Incarnation& witness : recorded) {
    const auto it = m_peers.find(witness.node());
    if (it != m_peers.end() && (IsSilent(witness.node(), now) || IsLeaving(witness.node()) ||
                                (it->second.incarnation != 0 && it->second.incarnation != witness.number()))) {
      return true;
    }
  }
  return now >= m_next_spread_improvement && !IsSpreadOverDomains(recorded) &&
         !CurrentWitnessChoice().lacks_domain_spread;
}

LeaseOwner::WitnessSet LeaseOwner::DesiredWitnesses(TimePoint now) {
  const WitnessSet recorded = WitnessesOf(m_record);
  WitnessSet result;
  const auto domain_of = [this](const std::string& node) {
    const proto::MemberRecord* member = m_view->FindMember(node);
    return member == nullptr ? std::string() : member->domain();
  };
  const auto add_responsive = [&](auto&& is_eligible) {
    for (const proto::Incarnation& candidate : CurrentWitnessChoice().candidates) {
      if (result.size() < kWitnessCount && !Contains(result, candidate.node()) &&
          HasRepliedRecently(candidate.node(), now) && is_eligible(candidate.node())) {
        SetIncarnation(&result.emplace_back(),
                       IncarnationId{candidate.node(), m_peers.at(candidate.node()).incarnation});
      }
    }
  };
  const auto any_node = [](const std::string&) { return true; };
  if (IsRegistered() && now >= m_next_spread_improvement && !IsSpreadOverDomains(recorded) &&
      !CurrentWitnessChoice().lacks_domain_spread) {
    add_responsive(any_node);
    if (result.size() == kWitnessCount && IsSpreadOverDomains(result)) {
      return result;
    }
    result.clear();
  }
  const auto keep_witness = [&](const proto::Incarnation& witness) {
    const std::uint64_t reported_incarnation = m_peers.at(witness.node()).incarnation;
    SetIncarnation(&result.emplace_back(),
                   IncarnationId{witness.node(), reported_incarnation != 0 ? reported_incarnation : witness.number()});
  };
  std::size_t live_count = 0;
  for (const proto::Incarnation& witness : recorded) {
    if (m_peers.contains(witness.node()) && !IsSilent(witness.node(), now)) {
      ++live_count;
      if (!IsLeaving(witness.node())) {
        keep_witness(witness);
      }
    }
  }
  if (result.size() == kWitnessCount) {
    return result;
  }
  add_responsive([&](const std::string& node) {
    const std::string domain = domain_of(node);
    return domain != m_record.domain() &&
           std::none_of(result.begin(), result.end(),
                        [&](const proto::Incarnation& other) { return domain_of(other.node()) == domain; });
  });
  add_responsive(any_node);
  for (const proto::Incarnation& witness : recorded) {
    // A witness in a planned stop stays in the set until there is a replacement.
    if (result.size() < kWitnessCount && !Contains(result, witness.node()) && m_peers.contains(witness.node()) &&
        !IsSilent(witness.node(), now)) {
      keep_witness(witness);
    }
  }
  if (result.size() >= recorded.size()) {
    return result;
  }
  // Fewer live nodes than witnesses: the set shrinks only if the lease can no longer be renewed with it.
  const bool renewable = static_cast<int>(live_count) >= LeaseQuorum(static_cast<int>(recorded.size()));
  if (renewable || result.size() < MinWitnesses()) {
    return recorded;
  }
  for (const proto::Incarnation& witness : result) {
    const auto& last_reply_at = m_peers.at(witness.node()).last_reply_at;
    if (IsLeaving(witness.node()) || !last_reply_at || now - *last_reply_at > kShrinkMaxReplyAge) {
      return recorded;
    }
  }
  const bool all_silent = std::all_of(recorded.begin(), recorded.end(), [&](const proto::Incarnation& witness) {
    return Contains(result, witness.node()) || IsSilent(witness.node(), now, kShrinkMinSilence);
  });
  return all_silent ? result : recorded;
}

bool LeaseOwner::IsSpreadOverDomains(const WitnessSet& witnesses) const {
  std::set<std::string> domains{m_record.domain()};
  for (const proto::Incarnation& witness : witnesses) {
    const proto::MemberRecord* member = m_view == nullptr ? nullptr : m_view->FindMember(witness.node());
    if (member != nullptr) {
      domains.insert(member->domain());
    }
  }
  return domains.size() == kWitnessCount + 1;
}

TimePoint LeaseOwner::ValidUntil(const WitnessSet& witnesses) const {
  std::vector<TimePoint> granted;
  for (const proto::Incarnation& witness : witnesses) {
    const auto it = m_peers.find(witness.node());
    if (it == m_peers.end() || !it->second.grant_valid_from) {
      continue;
    }
    if (it->second.incarnation == witness.number() || !m_rules.require_recorded_witnesses) {
      granted.push_back(*it->second.grant_valid_from);
    }
  }
  const auto quorum = static_cast<std::size_t>(LeaseQuorum(static_cast<int>(witnesses.size())));
  if (granted.size() < quorum) {
    return TimePoint::min();
  }
  std::sort(granted.begin(), granted.end(), std::greater<>());
  return granted[quorum - 1] + (m_rules.count_from_send ? kGuaranteedTime : kLeaseTime);
}

TimePoint LeaseOwner::ComputeGuarantee() const {
  if (m_fenced || !IsRegistered()) {
    return TimePoint::min();
  }
  if (!m_rules.require_recorded_witnesses && m_record.witnesses_size() > 0) {
    return ValidUntil(WitnessesOf(m_write_pending ? m_pending_record : m_record));
  }
  const TimePoint recorded_guarantee =
      m_record.witnesses_size() == 0 ? m_no_witness_until : ValidUntil(WitnessesOf(m_record));
  if (!m_write_pending || m_pending_record.witnesses_size() == 0) {
    return recorded_guarantee;
  }
  return std::min(recorded_guarantee, ValidUntil(WitnessesOf(m_pending_record)));
}

Duration LeaseOwner::TimeLeft(TimePoint now) const {
  const TimePoint until = GuaranteedUntil();
  return until <= now ? Duration::zero() : until - now;
}

}  // namespace magnoliaarch
