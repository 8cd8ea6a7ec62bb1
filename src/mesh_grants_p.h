// The keys that the local target holds by grants of this node: grants, renewals and releases as the key table says.

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

struct KeyGrantsHooks {
  // Until when this node may vouch for its grants.
  std::function<TimePoint()> authority_end;
  // The target has answered, without a grant if its connection was refused or it said nothing.
  std::function<void()> on_contact;
  std::function<void()> on_connection_refused;
  std::function<void()> on_no_answer;
  // Keys have come under a grant; requests may wait for them.
  std::function<void()> on_granted;
  // A call that held a release back has ended.
  std::function<void()> on_call_settled;
  // The target has given a range up whose successor is planned.
  std::function<void(const proto::KeyRange& range, const std::string& handover)> on_released;
  // The target has seen a higher fence on keys that it is to own.
  std::function<void(const std::set<std::uint64_t>& fences)> on_fences_refused;
};

class KeyGrants {
 public:
  enum class KeyState {
    kGranted,  // the target holds the key
    kPending,  // it is to hold the key, a grant is to come
    kElsewhere,
  };

  // `address` names the target in its requests. An earlier run of this node may have granted keys until just now.
  KeyGrants(HttpClient& client, const MeshWire& wire, MeshLog& log, std::string address, KeyGrantsHooks hooks);

  // Another life of the target has begun: it holds nothing. `started_in_this_run`: its whole life is after the start of
  // this node.
  void BeginLife(const proto::TargetLife& life, bool started_in_this_run);
  // The target's life has certainly ended.
  void Clear();

  // What is known of the key under this table. `owner` gets the node that has it, when it is another one.
  KeyState KeyStateOf(const proto::KeyRange* range, std::uint32_t key, TimePoint now, std::string* owner) const;
  // The target says that it does not hold the key: it is granted again.
  void OnKeyNotHeld(std::uint32_t key, TimePoint now);

  // Makes grants and releases follow the table. Without `renew` nothing is granted. `max_hold`: longest time of a
  // grant that the target takes.
  void Reconcile(const proto::KeyTable& table, bool renew, Duration max_hold, TimePoint now);

  // Whether the target may still hold keys by grants of this node or an earlier run of it.
  bool MayHoldKeys(TimePoint now) const;
  // When the last grant was sent.
  TimePoint LastGrantSentAt() const { return m_last_grant_sent_at; }
  // First and last key of each range under grant.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> GrantedRanges() const;

 private:
  struct Grant {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    std::string handover;
    TimePoint valid_until;  // the target certainly holds the keys until then
    TimePoint lapses_at;    // the target certainly does not hold them after
    TimePoint next_renewal_at;
    bool call_pending = false;      // a grant call is on its way
    bool release_deferred = false;  // has a successor that waits for an open grant to lapse
  };
  struct Release {
    proto::KeyRange range;
    TimePoint sent_at;
    int send_count = 0;
    bool done = false;
    std::string handover;
    TimePoint lapses_at;
    TimePoint next_report_at;
  };
  // A grant whose answer is missing: the target may still carry it out, but its time counts from its arrival.
  struct UnansweredGrant {
    std::uint64_t number = 0;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    TimePoint lapses_at;  // after this it has no effect any more
  };

  // Keys that the target may hold by a grant, whichever range of the table they belong to meanwhile.
  struct PossibleHold {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    TimePoint lapses_at;
  };

  static bool IsSameRange(const Release& release, const proto::KeyRange& range);
  // When the last grant of any of these keys has certainly lapsed.
  TimePoint LatestLapse(std::uint32_t first, std::uint32_t last) const;
  void AddPossibleHold(std::uint32_t first, std::uint32_t last, TimePoint lapses_at, TimePoint now);
  // The target has given these keys up.
  void RemovePossibleHolds(std::uint32_t first, std::uint32_t last);
  // Whether a grant of some of these keys may still take effect.
  bool HasUnansweredGrant(std::uint32_t first, std::uint32_t last, TimePoint now) const;
  Grant CarryOverGrant(const proto::KeyRange& range) const;
  void SendGrant(Grant& grant, Duration max_hold, TimePoint now);
  void OnGrantResult(std::uint32_t first, std::uint64_t fence, TimePoint sent, Duration hold, const HttpResult& result);
  void AdvanceRelease(const proto::KeyRange& range, TimePoint now);
  void StartRelease(const proto::KeyRange& range, TimePoint now);
  void SendRelease(Release& release, TimePoint now);

  HttpClient& m_client;
  const MeshWire& m_wire;
  MeshLog& m_log;
  const std::string m_address;
  KeyGrantsHooks m_hooks;
  proto::TargetLife m_life;
  std::uint64_t m_life_number = 0;
  // Grants of an earlier run of this node, which this run knows nothing of, have lapsed by then.
  TimePoint m_earlier_run_grants_lapse_at;
  std::vector<Grant> m_grants;
  std::vector<Release> m_releases;
  std::vector<UnansweredGrant> m_unanswered_grants;
  std::vector<PossibleHold> m_possible_holds;
  std::uint64_t m_last_grant_number = 0;
  TimePoint m_last_grant_sent_at;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_GRANTS_P_H_
