// The roles that a node may hold, and the state machines that it runs while it holds them.

#ifndef MAGNOLIAARCH_SRC_ROLE_DUTIES_P_H_
#define MAGNOLIAARCH_SRC_ROLE_DUTIES_P_H_

#include <log4cplus/logger.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "magnoliaarch/admission.h"
#include "magnoliaarch/assignment.h"
#include "magnoliaarch/role.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"
#include "store_calls_p.h"

namespace magnoliaarch {

inline constexpr std::string_view kAllocatorRole = "allocator";

// Creates roles from the catalogue: an assigner role for each slice pack of a keyed entry, and an allocator role for
// each workspace and each entry with a rate limit. Used on the control thread only.
class RoleDuties {
 public:
  using SendMessage = std::function<void(const std::string& node, proto::PeerMessage message)>;

  RoleDuties(IncarnationId self, std::uint64_t seed, StoreCalls* calls, SendMessage send, log4cplus::Logger logger);

  // Whether more than half of the failure domains report that the store does not answer. While they do, no node can
  // take over a role, so an allocator whose role lease could not be renewed continues; otherwise every workspace would
  // be refused as soon as its shares expired.
  void SetStoreOutage(bool outage, TimePoint now);

  void OnView(const std::shared_ptr<const View>& view, TimePoint now);
  void Tick(TimePoint now);

  // Handles lapse reports, stop and release replies and hot key reports for the assigners that this node runs.
  void OnAssignerMessage(const proto::PeerMessage& message, TimePoint now);
  // Handles a share report for the allocator of its workspace.
  void OnShareReport(const proto::PeerMessage& message, TimePoint now);

  // Planned stop: gives up every role.
  void Resign(TimePoint now);

  // Names of the roles held, and a readable line for each takeover in progress.
  std::vector<std::string> Held(TimePoint now) const;
  std::vector<std::string> Takeovers() const;

 private:
  using AssignerPtr = std::shared_ptr<Assigner>;

  // A role that this node may hold, with the state machine that the node runs while it holds the role.
  struct Duty {
    std::unique_ptr<RoleHolder> role;
    AssignerPtr assigner;                       // assigner role, while held or acting
    std::optional<IncarnationId> acting_for;    // assigner role: the lost holder that this node acts for
    std::unique_ptr<ShareAllocator> allocator;  // allocator role, while held
    TimePoint held_since;                       // start of the tenure
    TimePoint assigner_since;                   // start of the assigner
    std::set<std::string> lost_hosts;           // assigner role: nodes already declared lost to it
    std::string entry;                          // assigner role
    std::uint32_t first_slice = 0;              // assigner role
    std::string workspace;                      // allocator role
  };

  void Add(std::string_view kind, const std::string& name, Duty duty);
  void SyncWithCatalogue(TimePoint now);
  void RunCalls(const std::string& name, const RoleActions& actions);
  void Run(const std::string& name, Duty* duty, const RoleActions& actions, TimePoint now);
  void Run(const AssignerPtr& assigner, const AssignerActions& actions);
  void StartDuty(Duty* duty, TimePoint now);
  // Gives up one role for which this node is not among the first candidates.
  void HandOverOneRole(TimePoint now);
  void StartAssigner(Duty* duty, std::uint64_t term, TimePoint now);
  // Acts as assigner in place of a holder that its witnesses report as lapsed, if this node is the first candidate
  // after it. Safe without the role: every grant is a compare-and-swap.
  void StartActing(const proto::Incarnation& lapsed, TimePoint now);
  // Stops acting once another node holds the role, or once no takeover is running and the holder was neither replaced
  // nor fenced.
  void StopActing(Duty* duty, TimePoint now);
  // Tells the assigner about owners that are fenced and gone: an operator declared their host lost, or they recorded
  // this themselves after their last request had ended.
  void DeclareLostHosts(Duty* duty, TimePoint now);
  // Extends an allocator without a role lease while the store outage lasts, and ends it once the store answers again or
  // another node holds the role.
  void ExtendDuringOutage(Duty* duty, TimePoint now);
  void ApplyLimit(Duty* duty, TimePoint now);

  const IncarnationId m_self;
  const std::uint64_t m_seed;
  StoreCalls* const m_calls;
  const SendMessage m_send;
  log4cplus::Logger m_logger;
  std::shared_ptr<const View> m_view;
  TimePoint m_next_handover;
  bool m_outage = false;
  std::optional<TimePoint> m_last_outage;
  std::map<std::string, Duty> m_duties;  // by "KIND/NAME"
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_ROLE_DUTIES_P_H_
