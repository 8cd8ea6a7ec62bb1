// Detects from the acknowledgements of the peer's kernel that the network path of a TCP connection is lost.

#ifndef MAGNOLIAARCH_SRC_TCP_PATH_P_H_
#define MAGNOLIAARCH_SRC_TCP_PATH_P_H_

#include <asio.hpp>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// TCP acknowledgement state. The peer's kernel acknowledges data even if its process does not read.
struct TcpAcknowledgement {
  bool outstanding = false;  // sent bytes are unacknowledged; bytes waiting for the send window do not count
  Duration age{};            // time since the last acknowledgement
};

// Returns the state of a connected socket; an unconnected one has nothing outstanding.
TcpAcknowledgement AcknowledgementOf(asio::ip::tcp::socket& socket);

// Detects that the peer's kernel acknowledges none of the bytes sent. A peer process that is slow or reads late is not
// affected, because its kernel still acknowledges. TCP_USER_TIMEOUT does not make this difference: it also ends
// connections whose receive window is full.
class PathLossDetector {
 public:
  explicit PathLossDetector(Duration timeout) : m_timeout(timeout) {}

  // Whether the path is lost. Called at each tick while the connection receives nothing. After a gap between the calls
  // the wait for an acknowledgement starts again.
  bool IsPathLost(TimePoint now, const TcpAcknowledgement& acknowledgement);

 private:
  Duration m_timeout;
  TimePoint m_last_check_at;
  TimePoint m_acknowledged_at;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_TCP_PATH_P_H_
