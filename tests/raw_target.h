// Loopback server whose response bytes, response order and connections are controlled by the test.

#ifndef MAGNOLIAARCH_TESTS_RAW_TARGET_H_
#define MAGNOLIAARCH_TESTS_RAW_TARGET_H_

#include <algorithm>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliaarch {

class RawTarget {
 public:
  struct Request {
    std::size_t connection = 0;  // index in the order of opening
    std::string head;
  };

  explicit RawTarget(asio::io_context& context) : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }
  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

  // Returns the bytes to send for a request; an empty string sends nothing.
  std::function<std::string(const Request& request)> on_request;
  std::vector<Request> requests;

  std::size_t Connections() const { return m_peers.size(); }
  bool HasEnded(std::size_t connection) const { return m_peers.at(connection)->ended; }

  void Write(std::size_t connection, std::string bytes) {
    Peer& peer = *m_peers.at(connection);
    peer.out += bytes;
    Flush(m_peers.at(connection));
  }
  // Writes `head`, then `repeated` again and again until the connection ends.
  void WriteRepeatedly(std::size_t connection, std::string head, const std::string& repeated) {
    constexpr std::size_t kChunkBytes = 32 << 10;
    Peer& peer = *m_peers.at(connection);
    while (peer.repeated_bytes.size() < kChunkBytes) {
      peer.repeated_bytes += repeated;
    }
    Write(connection, std::move(head) + peer.repeated_bytes);
  }
  std::size_t Written(std::size_t connection) const { return m_peers.at(connection)->written; }
  void Close(std::size_t connection, bool reset) {
    Peer& peer = *m_peers.at(connection);
    peer.close = true;
    peer.reset = reset;
    Flush(m_peers.at(connection));
  }

 private:
  struct Peer {
    explicit Peer(asio::ip::tcp::socket s) : socket(std::move(s)) {}
    asio::ip::tcp::socket socket;
    std::string in;
    std::string out;
    std::string writing;
    std::string repeated_bytes;
    std::size_t written = 0;
    bool close = false;
    bool reset = false;
    bool ended = false;
  };

  void Accept() {
    m_acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      m_peers.push_back(std::make_shared<Peer>(std::move(socket)));
      Read(m_peers.size() - 1);
      Accept();
    });
  }

  void Read(std::size_t index) {
    const std::shared_ptr<Peer> peer = m_peers[index];
    asio::async_read_until(peer->socket, asio::dynamic_buffer(peer->in), "\r\n\r\n",
                           [this, peer, index](const asio::error_code& error, std::size_t bytes) {
                             if (error) {
                               peer->ended = true;
                               return;
                             }
                             Request request{index, peer->in.substr(0, bytes)};
                             peer->in.erase(0, bytes);
                             ReadBody(index, std::move(request));
                           });
  }

  void ReadBody(std::size_t index, Request request) {
    const std::shared_ptr<Peer> peer = m_peers[index];
    const std::string field = "Content-Length: ";
    const std::size_t at = request.head.find(field);
    const std::size_t length = at == std::string::npos ? 0 : std::stoul(request.head.substr(at + field.size()));
    const std::size_t missing = length - std::min(length, peer->in.size());
    asio::async_read(
        peer->socket, asio::dynamic_buffer(peer->in), asio::transfer_exactly(missing),
        [this, peer, index, length, request = std::move(request)](const asio::error_code& error, std::size_t) {
          if (error) {
            peer->ended = true;
            return;
          }
          peer->in.erase(0, length);
          requests.push_back(request);
          if (on_request) {
            Write(index, on_request(request));
          }
          Read(index);
        });
  }

  void Flush(const std::shared_ptr<Peer>& peer) {
    if (!peer->writing.empty() || !peer->socket.is_open()) {
      return;
    }
    if (peer->out.empty()) {
      if (peer->close) {
        if (peer->reset) {
          peer->socket.set_option(asio::socket_base::linger(true, 0));
        }
        asio::error_code ignored;
        peer->socket.close(ignored);
      }
      return;
    }
    peer->writing = std::exchange(peer->out, {});
    asio::async_write(peer->socket, asio::buffer(peer->writing),
                      [this, peer](const asio::error_code& error, std::size_t bytes) {
                        peer->written += bytes;
                        peer->writing.clear();
                        if (error) {
                          peer->ended = true;
                          return;
                        }
                        peer->out += peer->repeated_bytes;
                        Flush(peer);
                      });
  }

  asio::ip::tcp::acceptor m_acceptor;
  std::vector<std::shared_ptr<Peer>> m_peers;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_TESTS_RAW_TARGET_H_
