#include "tcp_path_p.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace magnoliaarch {
namespace {

// A gap between checks above this means that the process was not scheduled in between.
constexpr Duration kMaxCheckGap = std::chrono::milliseconds(200);

}  // namespace

TcpAcknowledgement AcknowledgementOf(asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t bytes = sizeof(info);
  if (!socket.is_open() || getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &bytes) != 0) {
    return {};
  }
  return {info.tcpi_unacked != 0, std::chrono::milliseconds(info.tcpi_last_ack_recv)};
}

bool PathLossDetector::IsPathLost(TimePoint now, const TcpAcknowledgement& acknowledgement) {
  const bool paused = now - m_last_check_at > kMaxCheckGap;
  m_last_check_at = now;
  if (paused || !acknowledgement.outstanding) {
    m_acknowledged_at = now;
  }
  m_acknowledged_at = std::max(m_acknowledged_at, now - acknowledgement.age);
  return now - m_acknowledged_at > m_timeout;
}

}  // namespace magnoliaarch
