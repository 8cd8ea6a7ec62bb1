#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "lease_p.h"
#include "magnoliaarch/lease.h"
#include "magnoliaarch/role.h"

namespace magnoliaarch {
namespace {

using std::chrono::milliseconds;

// Maximum number of witness candidates. Candidates after the first three replace witnesses that do not reply.
constexpr std::size_t kMaxCandidates = 16;
constexpr Duration kSlowReportAge = std::chrono::seconds(5);
constexpr Duration kNoAssignerRetryInterval = std::chrono::seconds(10);

bool ListsWitness(const proto::MemberRecord& member, const std::string& node) {
  return std::any_of(member.witnesses().begin(), member.witnesses().end(),
                     [&node](const proto::Incarnation& witness) { return witness.node() == node; });
}

}  // namespace

std::string AssignerRoleName(std::string_view entry, std::uint32_t first_slice) {
  return fmt::format("{}/{:03}", entry, first_slice / kSlicesPerPack);
}

std::set<std::string> AssignersOf(const View& view, const IncarnationId& owner) {
  std::set<std::string> result;
  for (const auto& [key, pack] : view.Packs()) {
    if (!HasOwner(pack.record(), owner)) {
      continue;
    }
    const proto::RoleRecord* role =
        view.FindRole(kAssignerRole, AssignerRoleName(pack.record().entry(), pack.record().first_slice()));
    if (role == nullptr) {
      continue;
    }
    // The owner itself may hold the role. In that case the first candidate after the owner acts without waiting for the
    // role's lease to expire, which takes longer than the whole takeover.
    result.insert(role->node() != owner.node
                      ? role->node()
                      : RoleHolder::FirstCandidate(view, role->kind(), role->name(), owner.node));
  }
  result.erase(std::string());
  return result;
}

WitnessChoice ChooseWitnesses(const View& view,
                              const proto::MemberRecord& owner,
                              const std::set<std::string>& excluded) {
  struct Candidate {
    const proto::MemberRecord* member;
    std::uint64_t hash;
  };
  const std::uint64_t seed = HashKey(owner.node());
  std::vector<Candidate> candidates;
  for (const auto& [node, member] : view.Members()) {
    const proto::MemberRecord& record = member.record();
    if (node != owner.node() && !record.fenced() && record.state() == proto::MEMBER_STATE_ACTIVE &&
        !excluded.contains(node)) {
      candidates.push_back({&record, RendezvousHash(seed, node)});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.hash > b.hash; });

  std::vector<const proto::MemberRecord*> chosen;
  const auto choose = [&](std::size_t limit, auto&& is_eligible) {
    for (const Candidate& candidate : candidates) {
      if (chosen.size() >= limit) {
        return;
      }
      const bool already_chosen = std::find(chosen.begin(), chosen.end(), candidate.member) != chosen.end();
      if (!already_chosen && is_eligible(*candidate.member)) {
        chosen.push_back(candidate.member);
      }
    }
  };
  const auto in_region = [&](const proto::MemberRecord& member) { return member.region() == owner.region(); };
  const auto new_domain = [&](const proto::MemberRecord& member) {
    return member.domain() != owner.domain() &&
           std::none_of(chosen.begin(), chosen.end(),
                        [&member](const proto::MemberRecord* other) { return other->domain() == member.domain(); });
  };
  const auto new_host = [&](const proto::MemberRecord& member) {
    return member.ip() != owner.ip() &&
           std::none_of(chosen.begin(), chosen.end(),
                        [&member](const proto::MemberRecord* other) { return other->ip() == member.ip(); });
  };
  choose(kWitnessCount, [&](const auto& m) { return in_region(m) && new_domain(m); });
  // The lease needs two renewals, so two witnesses in the owner's region keep it while the region is partitioned.
  choose(LeaseQuorum(kWitnessCount),
         [&](const auto& m) { return in_region(m) && m.domain() != owner.domain() && new_host(m); });
  choose(kWitnessCount, new_domain);
  choose(kWitnessCount, [&](const auto& m) { return m.domain() != owner.domain() && new_host(m); });
  choose(kWitnessCount, new_host);
  std::set<std::string> domains{owner.domain()};
  for (std::size_t i = 0; i < chosen.size() && i < kWitnessCount; ++i) {
    domains.insert(chosen[i]->domain());
  }
  WitnessChoice choice;
  choice.lacks_domain_spread = domains.size() < kWitnessCount + 1;
  choose(kMaxCandidates, [](const auto&) { return true; });
  for (const proto::MemberRecord* member : chosen) {
    SetIncarnation(&choice.candidates.emplace_back(), IncarnationId{member->node(), member->incarnation()});
  }
  return choice;
}

bool IsWitnessInUse(const View& view, const IncarnationId& witness) {
  return std::any_of(view.Members().begin(), view.Members().end(), [&witness](const auto& item) {
    const proto::MemberRecord& member = item.second.record();
    return !member.fenced() && member.state() != proto::MEMBER_STATE_GONE &&
           std::any_of(member.witnesses().begin(), member.witnesses().end(),
                       [&witness](const proto::Incarnation& listed) { return ToIncarnationId(listed) == witness; });
  });
}

// ---- Witness ----

Witness::Witness(IncarnationId self, TimePoint started, LeaseRules rules)
    : m_self(std::move(self)), m_started(started), m_rules(rules) {}

LeaseActions Witness::Handle(const ViewChanged& event, TimePoint) {
  m_view = event.view;
  return {};
}

LeaseActions Witness::Handle(const DatagramReceived& event, TimePoint now) {
  LeaseActions out;
  proto::PeerMessage response;
  std::string requester = event.message.sender().node();
  const auto age_ms = [this, now](const IncarnationId& owner) {
    return static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(RenewalAge(owner, now)).count());
  };
  if (event.message.has_renew_request()) {
    const proto::RenewRequest& request = event.message.renew_request();
    requester = request.owner().node();
    Owner& owner = m_owners[ToIncarnationId(request.owner())];
    const bool incarnation_matches =
        request.witness_incarnation() == m_self.number || !m_rules.require_recorded_witnesses;
    proto::RenewReply* reply = response.mutable_renew_reply();
    SetIncarnation(reply->mutable_witness(), m_self);
    reply->set_sequence(request.sequence());
    reply->set_stopped(owner.stopped);
    reply->set_granted(incarnation_matches && !owner.stopped);
    if (reply->granted()) {
      owner.last_grant = now;
      ++m_counters.grants;
    } else {
      ++m_counters.refusals;
    }
  } else if (event.message.has_stop_request()) {
    const proto::StopRequest& request = event.message.stop_request();
    const IncarnationId owner = ToIncarnationId(request.owner());
    m_owners[owner].stopped = true;
    ++m_counters.stops;
    proto::StopReply* reply = response.mutable_stop_reply();
    SetIncarnation(reply->mutable_witness(), m_self);
    SetIncarnation(reply->mutable_owner(), owner);
    reply->set_sequence(request.sequence());
    reply->set_renewal_age_ms(age_ms(owner));
  } else if (event.message.has_lapse_query()) {
    const proto::LapseQuery& query = event.message.lapse_query();
    proto::LapseReport* report = response.mutable_lapse_report();
    SetIncarnation(report->mutable_witness(), m_self);
    SetIncarnation(report->mutable_owner(), ToIncarnationId(query.owner()));
    report->set_sequence(query.sequence());
    report->set_renewal_age_ms(age_ms(ToIncarnationId(query.owner())));
  } else {
    return out;
  }
  if (!response.has_renew_reply()) {
    SetIncarnation(response.mutable_sender(), m_self);
  }
  out.push_back(SendDatagram{std::move(requester), std::move(response)});
  return out;
}

LeaseActions Witness::Tick(TimePoint now) {
  LeaseActions out;
  if (m_view == nullptr) {
    return out;
  }
  for (auto& [id, owner] : m_owners) {
    if (!owner.last_grant || owner.stopped || now < owner.next_report || now - *owner.last_grant < kLapseReportAge) {
      continue;
    }
    const proto::MemberRecord* member = m_view->FindMember(id.node);
    if (member == nullptr || member->incarnation() != id.number || !ListsWitness(*member, m_self.node)) {
      continue;
    }
    const Duration age = RenewalAge(id, now);
    const std::set<std::string> assigners = AssignersOf(*m_view, id);
    if (assigners.empty()) {
      owner.next_report = now + (age < kSlowReportAge ? kLapseReportInterval : kNoAssignerRetryInterval);
      continue;
    }
    owner.next_report = now + (age < kSlowReportAge ? kLapseReportInterval : kLapseReportSlowInterval);
    for (const std::string& assigner : assigners) {
      proto::PeerMessage message = MessageFrom(m_self);
      proto::LapseReport* report = message.mutable_lapse_report();
      SetIncarnation(report->mutable_witness(), m_self);
      SetIncarnation(report->mutable_owner(), id);
      report->set_renewal_age_ms(static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(age).count()));
      ++m_counters.lapse_reports;
      out.push_back(SendDatagram{assigner, std::move(message)});
    }
  }
  return out;
}

std::size_t Witness::ActiveOwners(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(m_owners.begin(), m_owners.end(), [now](const auto& item) {
    return item.second.last_grant && now - *item.second.last_grant <= kLeaseTime;
  }));
}

Duration Witness::RenewalAge(const IncarnationId& owner, TimePoint now) const {
  const auto it = m_owners.find(owner);
  const TimePoint last_renewal =
      it == m_owners.end() ? m_started : std::max(it->second.last_grant.value_or(m_started), m_started);
  return std::max(now - last_renewal, Duration::zero());
}

}  // namespace magnoliaarch
