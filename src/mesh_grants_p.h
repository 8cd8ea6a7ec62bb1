// Key grants of this node to its local target: sends grants, renewals and releases according to the key table.

#ifndef MAGNOLIAARCH_SRC_MESH_GRANTS_P_H_
#define MAGNOLIAARCH_SRC_MESH_GRANTS_P_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "http1_p.h"
#include "mesh_log_p.h"
#include "mesh_model_p.h"
#include "mesh_view_p.h"
#include "mesh_wire_p.h"

namespace magnoliaarch {

// A release that is complete: the target has answered it, or its grants have lapsed without an answer.
struct CompletedRelease {
  // Identifies the release among all that this process has begun. Keys, owner and fence do not: they stay the same if
  // the owner gets its keys back and they move again.
  std::uint64_t number = 0;
  proto::KeyRange range;
  std::string handover;  // empty if there is none
};

struct KeyGrantsHooks {
  // Time until which this node's lease allows it to guarantee its grants.
  std::function<TimePoint()> authority_end;
  // Whether the fence belongs to an earlier era of the store than the present one. Under such a fence a grant may only
  // be renewed while it is in force: the table may have been written before the keys' last move. Null: never.
  std::function<bool(std::uint64_t fence)> is_earlier_fence;
  // Report the outcome of a call to the target: the target answered, refused the connection, or did not answer. After a
  // refused connection the third callback is called as well.
  std::function<void()> on_contact;
  std::function<void()> on_connection_refused;
  std::function<void()> on_no_answer;
  // The target has accepted a grant; requests that wait for its keys can proceed.
  std::function<void()> on_granted;
  // A grant call has ended whose range changed while the call was in flight. A release may have waited for this end.
  std::function<void()> on_call_settled;
  // The target no longer holds a range that has a planned successor. Called again until the table shows the move.
  std::function<void(const CompletedRelease& release)> on_released;
  // Grants under these fences are no longer possible: the target has seen higher ones for their keys, or the keys were
  // forfeited. Called again until the table has other fences.
  std::function<void(const std::set<std::uint64_t>& fences)> on_fences_refused;
};

class KeyGrants {
 public:
  enum class KeyState {
    kGranted,  // the target holds the key under a grant
    kPending,  // the target owns the key, but the grant is still missing
    kElsewhere,
  };

  // `address`: sent to the target in each call. When the object is created, grants that this node sent before it
  // restarted may still be valid.
  KeyGrants(HttpClient& client, const MeshWire& wire, MeshLog& log, std::string address, KeyGrantsHooks hooks);

  // A new life (one run of the target process) has begun, and the target holds no keys that this run of the node has
  // granted. `none_of_earlier_run`: nor any that an earlier run of the node has granted.
  void BeginLife(const proto::TargetLife& life, bool none_of_earlier_run);
  // Forgets all grants, because the target process has ended.
  void Clear();
  // The target's keys have been reported as free, so other nodes may take them at any time. They are granted again only
  // under new fences: the write that raises them and the one that gives the keys away exclude each other.
  void Forfeit(const proto::KeyTable& table);

  // State of the key under this table range. If another node owns the key, sets `owner` to its name.
  KeyState KeyStateOf(const proto::KeyRange* range, std::uint32_t key, TimePoint now, std::string* owner) const;
  // The target has reported that it does not hold the key: the grant is sent again.
  void OnKeyNotHeld(std::uint32_t key, TimePoint now);

  // Sends the grants and releases that the table requires. If `renew` is false, no grants are sent. `max_hold`: longest
  // grant duration that the target accepts.
  void Reconcile(const proto::KeyTable& table, bool renew, Duration max_hold, TimePoint now);

  // Whether the release goes on or is complete, and the target has been granted none of its keys since. Only then may
  // the keys be given to their successor.
  bool IsInForce(std::uint64_t release_number) const;

  // Whether the target may still hold keys under grants of this node or of an earlier run of it.
  bool MayHoldKeys(TimePoint now) const;
  // First and last key of each granted range.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> GrantedRanges() const;

 private:
  struct Grant {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    std::string handover;
    TimePoint valid_until;  // the target holds the keys at least until then
    TimePoint lapses_at;    // the target does not hold the keys after this
    TimePoint next_renewal_at;
    bool call_pending = false;      // a grant call is in flight
    bool release_deferred = false;  // the release waits until an unanswered grant has lapsed
  };
  struct Release {
    std::uint64_t number = 0;
    proto::KeyRange range;
    TimePoint sent_at;
    int send_count = 0;
    bool done = false;
    std::string handover;
    TimePoint lapses_at;
    TimePoint next_report_at;
  };
  // A grant call without an answer. The target may still execute it; the grant duration counts from the arrival of the
  // call.
  struct UnansweredGrant {
    std::uint64_t number = 0;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    TimePoint lapses_at;  // the call has no effect after this
  };

  // Keys that the target may hold under a grant, independent of the table ranges that they belong to now.
  struct PossibleHold {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    TimePoint lapses_at;
  };

  static bool IsSameRange(const Release& release, const proto::KeyRange& range);
  // Time after which all grants for any of these keys have lapsed.
  TimePoint LatestLapse(std::uint32_t first, std::uint32_t last) const;
  void AddPossibleHold(std::uint32_t first, std::uint32_t last, TimePoint lapses_at, TimePoint now);
  // The target has released these keys.
  void RemovePossibleHolds(std::uint32_t first, std::uint32_t last);
  // Whether an unanswered grant for any of these keys may still take effect.
  bool HasUnansweredGrant(std::uint32_t first, std::uint32_t last, TimePoint now) const;
  Grant CarryOverGrant(const proto::KeyRange& range) const;
  void SendGrant(Grant& grant, Duration max_hold, TimePoint now);
  void ReportForfeits(TimePoint now);
  void OnGrantResult(std::uint32_t first, std::uint64_t fence, TimePoint sent, Duration hold, const HttpResult& result);
  void AdvanceRelease(const proto::KeyRange& range, TimePoint now);
  void StartRelease(const proto::KeyRange& range, TimePoint now);
  void SendRelease(Release& release, TimePoint now);
  void DropEndedReleases(const std::vector<proto::KeyRange>& released_ranges, TimePoint now);

  HttpClient& m_client;
  const MeshWire& m_wire;
  MeshLog& m_log;
  const std::string m_address;
  KeyGrantsHooks m_hooks;
  proto::TargetLife m_life;
  std::uint64_t m_life_number = 0;
  // Time at which all grants of an earlier run of this node have lapsed. This run does not know those grants.
  TimePoint m_earlier_run_grants_lapse_at;
  std::vector<Grant> m_grants;
  std::vector<Release> m_releases;
  std::vector<UnansweredGrant> m_unanswered_grants;
  std::vector<PossibleHold> m_possible_holds;
  std::set<std::uint64_t> m_forfeited_fences;
  TimePoint m_forfeits_reported_at;
  std::uint64_t m_last_grant_number = 0;
  std::uint64_t m_last_release_number = 0;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_GRANTS_P_H_
