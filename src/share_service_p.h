// Admits requests against the share of the workspace's rate limit that this node holds.

#ifndef MAGNOLIAARCH_SRC_SHARE_SERVICE_P_H_
#define MAGNOLIAARCH_SRC_SHARE_SERVICE_P_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "magnoliaarch/admission.h"
#include "magnoliaarch/error.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"

namespace magnoliaarch {

// Name of an entry's rate limit, which the requests of all workspaces share. Workspace names contain no colon, so this
// name differs from all of them.
inline std::string EntryShareName(const std::string& entry) {
  return "entry:" + entry;
}

// Holds one ShareHolder for each workspace that sends requests to this node. The ingress thread admits requests; the
// control thread sends the reports and delivers the grants. A mutex guards the state that both threads use.
class ShareService {
 public:
  using Done = std::function<void(std::optional<ErrorKind>)>;

  explicit ShareService(IncarnationId self) : m_self(std::move(self)) {}

  // Decides on one request of the workspace. `done` runs at once, or later on the control thread while the request
  // waits for a share or a token.
  void Admit(const std::string& workspace, TimePoint now, Done done);

  // ---- Control thread ----
  // The view shows an allocator of the workspace with this term.
  void OnTerm(const std::string& workspace, std::uint64_t term);
  void OnGrant(const proto::ShareGrant& grant, TimePoint now);
  // Decides on waiting requests, drops idle holders and returns the reports that are due.
  std::vector<proto::ShareReport> Tick(TimePoint now);

  // Number of requests that wait for a share or a token.
  std::size_t Waiting() const;

 private:
  struct WaitingRequest {
    TimePoint since;
    Done done;
  };
  struct Entry {
    std::unique_ptr<ShareHolder> holder;
    std::deque<WaitingRequest> waiting;
  };
  using Decisions = std::vector<std::pair<Done, std::optional<ErrorKind>>>;

  // Decides on the workspace's waiting requests in order of arrival.
  void DecideWaiting(Entry* entry, TimePoint now, Decisions* decisions);

  const IncarnationId m_self;
  mutable std::mutex m_mutex;
  std::map<std::string, Entry> m_entries;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_SHARE_SERVICE_P_H_
