// Requests workspace tokens from the nodes that hand them out.

#ifndef MAGNOLIAARCH_SRC_MESH_TOKEN_CLIENT_P_H_
#define MAGNOLIAARCH_SRC_MESH_TOKEN_CLIENT_P_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "mesh_log_p.h"
#include "mesh_peers_p.h"
#include "mesh_session_p.h"
#include "mesh_token_holder_p.h"
#include "mesh_token_service_p.h"

namespace magnoliaarch {

// Path of token requests between nodes.
inline constexpr std::string_view kTokenPath = "/tokens";

class TokenClient {
 public:
  // `on_tokens` is called when the holder has received tokens or learned that there are none.
  TokenClient(asio::io_context& context,
              MeshPeers& peers,
              MeshSession& session,
              TokenService& service,
              MeshLog& log,
              TokenHolder& holder,
              std::function<void()> on_tokens);

  // Requests missing tokens if the request period has passed, and adds those of this node's parts of the limits, which
  // it keeps until `authority_end`.
  void OnTick(TimePoint now, TimePoint authority_end);
  // Requests missing tokens without waiting for the period, because a caller's request waits for those of `workspace`.
  // Returns false if nobody hands out tokens of this workspace, so that waiting is pointless.
  bool RequestNow(std::size_t workspace);

 private:
  // A node that hands out tokens, as seen by this node.
  struct Source {
    bool call_in_flight = false;
    TimePoint failing_since;  // when the first call since its last answer was sent; zero: the last call was answered
    TimePoint not_before;
    Duration backoff{};
  };

  void Request(TimePoint now);
  // Tells the holder of workspaces whose tokens another node hands out now.
  void FollowSources();
  void LogUse(TimePoint now);
  void Send(const std::string& node, const proto::TokenCall& call, TimePoint now);
  void OnReply(const std::string& node, const proto::TokenCall& call, const proto::TokenReply& reply, TimePoint sent);
  void OnFailure(const std::string& node, TimePoint sent, std::string_view detail);
  // Whether tokens of the workspace can be had from the node that hands them out.
  bool IsServed(std::size_t workspace, TimePoint now) const;
  static bool IsFailing(const Source& source, TimePoint now);

  asio::io_context& m_context;
  MeshPeers& m_peers;
  MeshSession& m_session;
  TokenService& m_service;
  MeshLog& m_log;
  TokenHolder& m_holder;
  std::function<void()> m_on_tokens;
  const std::shared_ptr<const std::string> m_no_body = std::make_shared<const std::string>();
  std::map<std::string, Source> m_sources;         // by node
  std::map<std::string, std::string> m_source_of;  // node by workspace
  std::uint64_t m_last_sequence = 0;
  TimePoint m_next_request_at;
  TimePoint m_next_use_log_at;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TOKEN_CLIENT_P_H_
