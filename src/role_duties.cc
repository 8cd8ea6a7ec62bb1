#include "role_duties_p.h"

#include <set>
#include <utility>
#include <variant>

#include <fmt/format.h>
#include <log4cplus/loggingmacros.h>

#include "overloaded_p.h"
#include "share_service_p.h"

namespace magnoliaarch {
namespace {

constexpr Duration kMinActingTime = std::chrono::seconds(2);
// The first nodes of a cluster acquire every role. They hand the roles over one at a time to the nodes that rank first,
// so that no node keeps more than its share of the control work.
constexpr Duration kHandOverPeriod = std::chrono::seconds(1);
constexpr Duration kMinTenure = std::chrono::seconds(10);
// Validity of an allocator's role during a store outage, when its lease cannot be renewed; extended at each tick.
constexpr Duration kOutageTenure = std::chrono::milliseconds(100);
// An outage report is valid for 4 s, so a predecessor may act on an outage for that long after its end.
constexpr Duration kOutageGrace = std::chrono::seconds(5);

}  // namespace

RoleDuties::RoleDuties(IncarnationId self,
                       std::uint64_t seed,
                       StoreCalls* calls,
                       SendMessage send,
                       log4cplus::Logger logger)
    : m_self(std::move(self)), m_seed(seed), m_calls(calls), m_send(std::move(send)), m_logger(std::move(logger)) {}

void RoleDuties::OnView(const std::shared_ptr<const View>& view, TimePoint now) {
  m_view = view;
  SyncWithCatalogue(now);
  for (auto& [name, duty] : m_duties) {
    Run(name, &duty, duty.role->OnView(*m_view, now), now);
    StopActing(&duty, now);
    if (duty.assigner != nullptr) {
      Run(duty.assigner, duty.assigner->Handle(ViewChanged{m_view}, now));
      DeclareLostHosts(&duty, now);
    }
    ApplyLimit(&duty, now);
  }
}

void RoleDuties::Tick(TimePoint now) {
  HandOverOneRole(now);
  for (auto& [name, duty] : m_duties) {
    Run(name, &duty, duty.role->OnTick(now), now);
    if (!duty.role->Holds(now) && duty.allocator != nullptr) {
      ExtendDuringOutage(&duty, now);
      continue;
    }
    if (!duty.role->Holds(now) && !duty.acting_for.has_value()) {
      continue;
    }
    if (duty.assigner != nullptr) {
      Run(duty.assigner, duty.assigner->Tick(now));
    }
    if (duty.allocator != nullptr) {
      duty.allocator->SetRoleValidUntil(duty.role->HeldUntil());
    }
  }
}

void RoleDuties::SetStoreOutage(bool outage, TimePoint now) {
  m_outage = outage;
  if (outage) {
    m_last_outage = now;
  }
}

void RoleDuties::ExtendDuringOutage(Duty* duty, TimePoint now) {
  const proto::RoleRecord* role = m_view->FindRole(kAllocatorRole, duty->workspace);
  const bool superseded = role != nullptr && role->incarnation() != m_self.number;
  if (!m_outage || superseded) {
    duty->allocator.reset();
    return;
  }
  duty->allocator->SetRoleValidUntil(now + kOutageTenure);
}

void RoleDuties::HandOverOneRole(TimePoint now) {
  if (m_view == nullptr || now < m_next_handover) {
    return;
  }
  m_next_handover = now + kHandOverPeriod;
  const std::uint32_t candidates = RoleOptions().candidates;
  for (auto& [name, duty] : m_duties) {
    // A new allocator grants little until its predecessor's shares have expired, so only an idle allocator is handed
    // over.
    const bool busy = duty.assigner != nullptr ? !duty.assigner->Takeovers().empty()
                                               : duty.allocator != nullptr && duty.allocator->Outstanding(now).rate > 0;
    if (!duty.role->Holds(now) || busy || now - duty.held_since < kMinTenure) {
      continue;
    }
    const bool is_allocator = !duty.workspace.empty();
    const std::string role_name = is_allocator ? duty.workspace : AssignerRoleName(duty.entry, duty.first_slice);
    const std::optional<std::size_t> rank =
        RoleHolder::Rank(*m_view, is_allocator ? kAllocatorRole : kAssignerRole, role_name, m_self, candidates);
    if (rank.has_value() && *rank >= candidates) {
      LOG4CPLUS_INFO(m_logger, "handing over role " << name);
      Run(name, &duty, duty.role->HandOver(now), now);
      return;
    }
  }
}

void RoleDuties::OnAssignerMessage(const proto::PeerMessage& message, TimePoint now) {
  if (message.has_lapse_report() && m_view != nullptr) {
    StartActing(message.lapse_report().owner(), now);
  }
  for (auto& [name, duty] : m_duties) {
    if (duty.assigner != nullptr) {
      Run(duty.assigner, duty.assigner->Handle(DatagramReceived{message}, now));
    }
  }
}

void RoleDuties::OnShareReport(const proto::PeerMessage& message, TimePoint now) {
  const auto duty = m_duties.find(fmt::format("{}/{}", kAllocatorRole, message.share_report().workspace()));
  if (duty == m_duties.end() || duty->second.allocator == nullptr) {
    return;
  }
  std::optional<proto::ShareGrant> grant = duty->second.allocator->OnReport(now, message.share_report());
  if (grant.has_value()) {
    proto::PeerMessage answer;
    *answer.mutable_share_grant() = *std::move(grant);
    m_send(message.sender().node(), std::move(answer));
  }
}

void RoleDuties::Resign(TimePoint now) {
  for (auto& [name, duty] : m_duties) {
    RunCalls(name, duty.role->Resign(now));
    duty.assigner.reset();
    duty.allocator.reset();
  }
}

std::vector<std::string> RoleDuties::Held(TimePoint now) const {
  std::vector<std::string> held;
  for (const auto& [name, duty] : m_duties) {
    if (duty.role->Holds(now)) {
      held.push_back(name);
    }
  }
  return held;
}

std::vector<std::string> RoleDuties::Takeovers() const {
  std::vector<std::string> lines;
  for (const auto& [name, duty] : m_duties) {
    if (duty.assigner == nullptr) {
      continue;
    }
    for (const TakeoverStatus& takeover : duty.assigner->Takeovers()) {
      lines.push_back(fmt::format("{}: {} {}, {} of {} witnesses answered, {} needed", name, takeover.owner.node,
                                  takeover.phase, takeover.replies, takeover.witnesses, takeover.needed));
    }
  }
  return lines;
}

void RoleDuties::Add(std::string_view kind, const std::string& name, Duty duty) {
  const std::string full_name = fmt::format("{}/{}", kind, name);
  RoleOptions options;
  options.seed = m_seed + HashKey(full_name);
  duty.role = std::make_unique<RoleHolder>(m_self, std::string(kind), name, options);
  m_duties.emplace(full_name, std::move(duty));
}

void RoleDuties::SyncWithCatalogue(TimePoint now) {
  std::set<std::string> wanted;
  for (const auto& [name, entry] : m_view->Entries()) {
    for (std::uint32_t first = 0; entry.record().keyed() && first < entry.record().slices(); first += kSlicesPerPack) {
      const std::string role_name = AssignerRoleName(name, first);
      if (wanted.insert(fmt::format("{}/{}", kAssignerRole, role_name)).second &&
          !m_duties.contains(fmt::format("{}/{}", kAssignerRole, role_name))) {
        Duty duty;
        duty.entry = name;
        duty.first_slice = first;
        Add(kAssignerRole, role_name, std::move(duty));
      }
    }
  }
  std::set<std::string> limited;
  for (const auto& [name, workspace] : m_view->Workspaces()) {
    limited.insert(name);
  }
  for (const auto& [name, entry] : m_view->Entries()) {
    if (entry.record().rate() != 0) {
      limited.insert(EntryShareName(name));
    }
  }
  for (const std::string& name : limited) {
    wanted.insert(fmt::format("{}/{}", kAllocatorRole, name));
    if (!m_duties.contains(fmt::format("{}/{}", kAllocatorRole, name))) {
      Duty duty;
      duty.workspace = name;
      Add(kAllocatorRole, name, std::move(duty));
    }
  }
  for (auto it = m_duties.begin(); it != m_duties.end();) {
    if (wanted.contains(it->first)) {
      ++it;
      continue;
    }
    RunCalls(it->first, it->second.role->Resign(now));
    it = m_duties.erase(it);
  }
}

void RoleDuties::RunCalls(const std::string& name, const RoleActions& actions) {
  for (const RoleCall& call : actions.calls) {
    RoleCallResult refused;
    refused.id = call.id;
    refused.status = absl::UnavailableError("the ring to the store thread is full");
    m_calls->Call<RoleCallResult>([call](Store& store) { return RunRoleCall(&store, call); },
                                  [this, name](const RoleCallResult& result) {
                                    const auto duty = m_duties.find(name);
                                    if (duty != m_duties.end()) {
                                      const TimePoint now = BootClock::now();
                                      Run(name, &duty->second, duty->second.role->OnCallResult(result, now), now);
                                    }
                                  },
                                  refused);
  }
}

void RoleDuties::Run(const std::string& name, Duty* duty, const RoleActions& actions, TimePoint now) {
  RunCalls(name, actions);
  if (actions.lost) {
    LOG4CPLUS_INFO(m_logger, "role lost: " << name);
    duty->assigner.reset();
    duty->acting_for.reset();
    if (!m_outage) {
      duty->allocator.reset();
    }
  }
  if (actions.acquired) {
    LOG4CPLUS_INFO(m_logger, "role held: " << name << " term " << duty->role->Term());
    StartDuty(duty, now);
  }
}

void RoleDuties::Run(const AssignerPtr& assigner, const AssignerActions& actions) {
  const std::weak_ptr<Assigner> weak = assigner;
  // Results that arrive after the role was lost are dropped.
  const auto deliver = [this, weak](const auto& event) {
    if (const AssignerPtr alive = weak.lock()) {
      Run(alive, alive->Handle(event, BootClock::now()));
    }
  };
  for (const AssignerAction& action : actions) {
    std::visit(Overloaded{
                   [this](const SendDatagram& send) { m_send(send.node, send.message); },
                   [&](const ReadMember& read) { m_calls->Read(read, deliver); },
                   [&](const ReadPack& read) { m_calls->Read(read, deliver); },
                   [&](const WriteMember& write) { m_calls->Write(write, deliver); },
                   [&](const WritePack& write) { m_calls->Write(write, deliver); },
                   [this](const AssignmentChange& change) {
                     LOG4CPLUS_INFO(m_logger, change.action << " " << change.subject << " epoch " << change.old_epoch
                                                            << " -> " << change.new_epoch);
                     m_calls->WriteAuditRecord(m_self.node, change);
                   },
               },
               action);
  }
}

void RoleDuties::StartDuty(Duty* duty, TimePoint now) {
  duty->held_since = now;
  if (duty->workspace.empty()) {
    // An assigner that already acts for the lost holder continues with its takeovers.
    if (!duty->acting_for.has_value()) {
      StartAssigner(duty, duty->role->Term(), now);
    }
    duty->acting_for.reset();
    return;
  }
  ShareAllocatorOptions options;
  options.has_predecessor = duty->role->Term() > 1;
  if (m_last_outage.has_value() && now - *m_last_outage < kOutageGrace) {
    // The predecessor continued until it noticed the end of the outage.
    options.predecessor_grace = kOutageGrace;
  }
  duty->allocator = std::make_unique<ShareAllocator>(options, duty->workspace, duty->role->Term(), now);
  duty->allocator->SetRoleValidUntil(duty->role->HeldUntil());
  ApplyLimit(duty, now);
}

void RoleDuties::StartAssigner(Duty* duty, std::uint64_t term, TimePoint now) {
  const proto::EntryRecord* entry = m_view->FindEntry(duty->entry);
  AssignerSettings settings;
  settings.entry = duty->entry;
  settings.first_slice = duty->first_slice;
  settings.slices = entry == nullptr ? 0 : entry->slices();
  settings.self = m_self;
  settings.term = term;
  duty->assigner = std::make_shared<Assigner>(std::move(settings));
  duty->lost_hosts.clear();
  duty->assigner_since = now;
  Run(duty->assigner, duty->assigner->Handle(ViewChanged{m_view}, now));
}

void RoleDuties::StartActing(const proto::Incarnation& lapsed, TimePoint now) {
  for (auto& [name, duty] : m_duties) {
    if (!duty.workspace.empty() || duty.assigner != nullptr) {
      continue;
    }
    const std::string role_name = AssignerRoleName(duty.entry, duty.first_slice);
    const proto::RoleRecord* role = m_view->FindRole(kAssignerRole, role_name);
    const bool is_holder = role != nullptr && role->node() == lapsed.node() && role->incarnation() == lapsed.number();
    if (!is_holder || RoleHolder::FirstCandidate(*m_view, kAssignerRole, role_name, lapsed.node()) != m_self.node) {
      continue;
    }
    LOG4CPLUS_INFO(m_logger, "acting for the lapsed assigner " << lapsed.node() << " of " << role_name);
    duty.acting_for = IncarnationId{lapsed.node(), lapsed.number()};
    StartAssigner(&duty, role->term(), now);
  }
}

void RoleDuties::StopActing(Duty* duty, TimePoint now) {
  if (!duty->acting_for.has_value() || duty->role->Holds(now)) {
    return;
  }
  const proto::RoleRecord* role = m_view->FindRole(kAssignerRole, AssignerRoleName(duty->entry, duty->first_slice));
  const proto::MemberRecord* holder = m_view->FindMember(duty->acting_for->node);
  const bool taken = role != nullptr && role->incarnation() != duty->acting_for->number;
  // The takeover starts a short time after the report.
  const bool idle = duty->assigner->Takeovers().empty() && now - duty->assigner_since > kMinActingTime;
  const bool holder_lives = holder != nullptr && holder->incarnation() == duty->acting_for->number && !holder->fenced();
  if (taken || (idle && holder_lives)) {
    LOG4CPLUS_INFO(m_logger, "no longer acting for " << duty->acting_for->node);
    duty->assigner.reset();
    duty->acting_for.reset();
  }
}

void RoleDuties::DeclareLostHosts(Duty* duty, TimePoint now) {
  std::set<std::string> owners;
  for (const proto::SliceRecord& slice : duty->assigner->Pack().slices()) {
    const proto::MemberRecord* member = m_view->FindMember(slice.owner());
    if (member != nullptr && member->incarnation() == slice.owner_incarnation() && member->fenced() &&
        member->state() == proto::MEMBER_STATE_GONE) {
      owners.insert(slice.owner());
    }
  }
  for (const std::string& node : owners) {
    if (duty->lost_hosts.insert(node).second) {
      LOG4CPLUS_WARN(m_logger, "host of " << node << " is gone: granting its slices without its witnesses");
      Run(duty->assigner, duty->assigner->Handle(HostLostDeclared{node}, now));
    }
  }
}

void RoleDuties::ApplyLimit(Duty* duty, TimePoint now) {
  if (duty->allocator == nullptr) {
    return;
  }
  if (const proto::WorkspaceRecord* workspace = m_view->FindWorkspace(duty->workspace)) {
    duty->allocator->SetLimit(
        now, ShareAmount{static_cast<double>(workspace->rate()), static_cast<double>(workspace->burst())});
    return;
  }
  for (const auto& [name, entry] : m_view->Entries()) {
    if (EntryShareName(name) == duty->workspace) {
      duty->allocator->SetLimit(
          now, ShareAmount{static_cast<double>(entry.record().rate()), static_cast<double>(entry.record().burst())});
    }
  }
}

}  // namespace magnoliaarch
