// Requests workspace tokens from the coordinator.

#ifndef MAGNOLIAARCH_SRC_MESH_TOKEN_CLIENT_P_H_
#define MAGNOLIAARCH_SRC_MESH_TOKEN_CLIENT_P_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio.hpp>

#include "mesh_coordinator_p.h"
#include "mesh_limits_p.h"
#include "mesh_log_p.h"
#include "mesh_peers_p.h"
#include "mesh_session_p.h"

namespace magnoliaarch {

// Path of token requests between nodes.
inline constexpr std::string_view kTokenPath = "/tokens";

class TokenClient {
 public:
  // `on_tokens` is called when the holder has received tokens or learned that there are none.
  TokenClient(asio::io_context& context,
              MeshPeers& peers,
              MeshSession& session,
              CoordinatorRole& coordinator,
              MeshLog& log,
              TokenHolder& holder,
              std::function<void()> on_tokens);

  // Requests missing tokens if the request period has passed.
  void OnTick(TimePoint now);
  // Requests missing tokens without waiting for the period, because a caller's request waits for them.
  void RequestNow();

 private:
  void OnReply(const proto::TokenCall& call, const proto::TokenReply& reply);

  asio::io_context& m_context;
  MeshPeers& m_peers;
  MeshSession& m_session;
  CoordinatorRole& m_coordinator;
  MeshLog& m_log;
  TokenHolder& m_holder;
  std::function<void()> m_on_tokens;
  const std::shared_ptr<const std::string> m_no_body = std::make_shared<const std::string>();
  TimePoint m_next_request_at;
  bool m_request_in_flight = false;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_TOKEN_CLIENT_P_H_
