// The tokens of workspaces at the node that hands them out, and its ledger of what other nodes hold. Does no I/O.

#ifndef MAGNOLIAARCH_SRC_MESH_TOKEN_POOL_P_H_
#define MAGNOLIAARCH_SRC_MESH_TOKEN_POOL_P_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "magnoliaarch/types.h"
#include "mesh.pb.h"
#include "mesh_model_p.h"

namespace magnoliaarch {

// Tokens of a workspace that passed through a node or a pool since the last report, for the log.
struct TokenUse {
  std::string workspace;
  double admitted = 0;  // requests that took a token
  double refunded = 0;  // of these, refused without having run
  double denied = 0;    // requests that found no token
  double received = 0;  // from the node that hands them out
  double refilled = 0;  // added by this node itself, at its part of the rate
  double given = 0;     // by the pool
  double returned = 0;  // to the pool
  double tokens = 0;    // held now
  double out = 0;       // tokens that other places may hold, for a pool
  double part = 0;      // part of the limit that this node refills itself, or that the pool refills
};

// A node's process, as the members' records name it.
struct TokenNode {
  std::string node;
  std::uint64_t incarnation = 0;

  auto operator<=>(const TokenNode&) const = default;
};

// One rule holds for each workspace: the parts of the rate that the pool and the nodes refill at add up to 1 at most,
// and the tokens that they hold to the burst. Each node has a part, which the pool uses while the node has promised not
// to. A node that does not reach the pool refills at its part when its promise has ended, for as long as it is a
// member. A pool that takes a workspace over knows no parts: it uses only what members have reported to it, until all
// have.
class TokenPool {
 public:
  using Members = std::set<TokenNode>;

  // A workspace that is new here starts with its burst, as one whose tokens nobody has handed out.
  void SetLimits(TimePoint now, const MeshConfig& config);
  // Takes a workspace over from another pool, which may have left parts and tokens with any of the members.
  void BeginDuty(TimePoint now, std::size_t workspace, const Members& members);
  // Frees what nodes held that are not members any more. Their authority has ended.
  void OnMembers(TimePoint now, const Members& members);
  // Books what the node reports of a workspace, and answers its demand. None if a later call of the node was answered
  // before. `nodes`: number of nodes that share the limit.
  std::optional<proto::TokenGrant> Answer(TimePoint now,
                                          const TokenNode& node,
                                          std::uint64_t sequence,
                                          const proto::TenantDemand& demand,
                                          std::size_t nodes);
  // Returns and clears what was counted for the workspaces whose tokens moved.
  std::vector<TokenUse> CollectUse();

 private:
  struct Holding {
    std::uint64_t sequence = 0;  // of the last call that was answered
    TimePoint answered_at{};
    TimePoint called_after{};  // the node has sent its last call after this time
    TimePoint promised_until{};
    bool in_touch = false;  // the promise holds, and the pool uses the part
    double part = 0;        // most that the node may refill at, as a part of the rate
    double wish = 0;        // the part that the node wishes
    double tokens = 0;      // most tokens that the node may hold while it is in touch
  };
  struct Bucket {
    std::string name;
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    TimePoint updated_at;
    double known_part = 1;  // of the limit; the rest may be with members that have not reported yet
    Members unheard;
    std::map<TokenNode, Holding> holdings;
    std::set<std::pair<TimePoint, TokenNode>> promises;  // of the holdings in touch
    // Sums over the holdings.
    double parts = 0;
    double wishes = 0;
    double parts_in_use = 0;  // of nodes out of touch
    double held = 0;
    TokenUse use;
  };

  static void Refill(TimePoint now, Bucket* bucket);
  static void RefillUntil(TimePoint time, Bucket* bucket);
  // Adds a holding to the sums, or takes it from them.
  static void Count(Bucket* bucket, const TokenNode& node, const Holding& holding, int sign);
  static double Held(const Bucket& bucket, const Holding& holding);
  static double PartFor(const Bucket& bucket, const Holding& holding);
  static void OnAllHeard(Bucket* bucket);
  // Books the node's report.
  static Holding Report(TimePoint now,
                        const Holding& before,
                        std::uint64_t sequence,
                        const proto::TenantDemand& demand);

  std::vector<Bucket> m_buckets;  // by position in the configuration
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TOKEN_POOL_P_H_
