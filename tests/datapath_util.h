// Helpers for data path tests: a blocking TCP client, a scripted target and a wait for conditions.

#ifndef MAGNOLIAARCH_TESTS_DATAPATH_UTIL_H_
#define MAGNOLIAARCH_TESTS_DATAPATH_UTIL_H_

#include <poll.h>

#include <array>
#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace magnoliaarch::datapath_test {

// Waits until the condition holds. Returns false if it does not hold within the limit.
inline bool Eventually(const std::function<bool()>& condition,
                       std::chrono::milliseconds limit = std::chrono::seconds(10)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

// Returns binary data that depends on the position, so that bytes shifted by a framing error are detected.
inline std::string BinaryBody(std::size_t bytes) {
  std::string body(bytes, '\0');
  for (std::size_t i = 0; i < bytes; ++i) {
    body[i] = static_cast<char>((i * 2654435761U) >> 13U);
  }
  return body;
}

struct HttpAnswer {
  int status = 0;  // 0: the connection ended without a complete answer
  std::string head;
  std::string body;

  std::string Field(const std::string& name) const {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }
};

// Blocking HTTP client on one connection.
class Caller {
 public:
  explicit Caller(std::uint16_t port) : m_socket(m_context) {
    asio::error_code error;
    m_socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
    m_connected = !error;
  }

  bool IsConnected() const { return m_connected; }

  // Sends raw bytes. Returns false if the connection is closed.
  bool Send(const std::string& bytes) {
    asio::error_code error;
    asio::write(m_socket, asio::buffer(bytes), error);
    return !error;
  }

  HttpAnswer Read(bool head_only = false) {
    HttpAnswer answer;
    std::size_t head = std::string::npos;
    while ((head = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore()) {
        return answer;
      }
    }
    answer.head = m_buffer.substr(0, head + 4);
    m_buffer.erase(0, head + 4);
    const std::string length = answer.Field("Content-Length");
    const std::size_t bytes = length.empty() || head_only ? 0 : std::stoul(length);
    while (m_buffer.size() < bytes) {
      if (!ReadMore()) {
        return answer;
      }
    }
    answer.body = m_buffer.substr(0, bytes);
    m_buffer.erase(0, bytes);
    answer.status = std::stoi(answer.head.substr(9));
    return answer;
  }

  HttpAnswer Call(const std::string& bytes) {
    Send(bytes);
    return Read();
  }

  void Close() { m_socket.close(); }

 private:
  // Reads more bytes. Returns false after a timeout, so that a lost answer fails the test instead of blocking it.
  bool ReadMore() {
    constexpr int kReadTimeoutMs = 20000;
    pollfd ready{m_socket.native_handle(), POLLIN, 0};
    if (poll(&ready, 1, kReadTimeoutMs) <= 0) {
      return false;
    }
    std::array<char, 65536> part{};
    asio::error_code error;
    const std::size_t bytes = m_socket.read_some(asio::buffer(part), error);
    m_buffer.append(part.data(), bytes);
    return !error;
  }

  asio::io_context m_context;
  asio::ip::tcp::socket m_socket;
  std::string m_buffer;
  bool m_connected = false;
};

inline std::string PostRequest(const std::string& path, const std::string& fields, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: test\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A target that reads complete requests and sends the script's answers. Uses one thread per connection.
class ScriptedTarget {
 public:
  // Returns the bytes to send back; an empty string closes the connection instead. `number` counts the requests of a
  // connection from 0.
  using Script = std::function<std::string(int number, const std::string& head, const std::string& body)>;

  explicit ScriptedTarget(Script script)
      : m_script(std::move(script)), m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}) {
    m_port = m_acceptor.local_endpoint().port();
    m_thread = std::thread([this] { Accept(); });
  }

  ~ScriptedTarget() {
    m_stop = true;
    { Caller wake(Port()); }
    m_thread.join();
    {
      std::lock_guard lock(m_mutex);
      for (const auto& socket : m_sockets) {
        asio::error_code ignored;
        socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
      }
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  std::uint16_t Port() const { return m_port; }
  int Requests() const { return m_requests; }
  int Connections() const { return m_connections; }
  // Request lines and header fields of all requests so far.
  std::string Heads() const {
    std::lock_guard lock(m_mutex);
    return m_heads;
  }

  static std::string Answer(const std::string& body, const std::string& fields = "") {
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  void Accept() {
    while (!m_stop) {
      auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
      asio::error_code error;
      m_acceptor.accept(*socket, error);
      if (error || m_stop) {
        continue;
      }
      ++m_connections;
      std::lock_guard lock(m_mutex);
      m_sockets.push_back(socket);
      m_threads.emplace_back([this, socket] { Serve(*socket); });
    }
  }

  void Serve(asio::ip::tcp::socket& socket) {
    std::string buffer;
    for (int number = 0;; ++number) {
      asio::error_code error;
      const std::size_t bytes = asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
      if (error) {
        return;
      }
      HttpAnswer request;
      request.head = buffer.substr(0, bytes);
      buffer.erase(0, bytes);
      const std::string length = request.Field("Content-Length");
      const std::size_t body = length.empty() ? 0 : std::stoul(length);
      if (buffer.size() < body) {
        asio::read(socket, asio::dynamic_buffer(buffer), asio::transfer_exactly(body - buffer.size()), error);
      }
      if (error) {
        return;
      }
      if (request.head.find(" /-/") != std::string::npos) {
        // Probes are answered but not counted.
        asio::write(socket, asio::buffer(Answer("{}")), error);
        continue;
      }
      ++m_requests;
      {
        std::lock_guard lock(m_mutex);
        m_heads += request.head;
      }
      const std::string answer = m_script(number, request.head, buffer.substr(0, body));
      buffer.erase(0, body);
      if (answer.empty()) {
        socket.shutdown(asio::ip::tcp::socket::shutdown_both, error);
        socket.close(error);
        return;
      }
      asio::write(socket, asio::buffer(answer), error);
    }
  }

  const Script m_script;
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_stop{false};
  std::atomic<int> m_requests{0};
  std::atomic<int> m_connections{0};
  mutable std::mutex m_mutex;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;
  std::string m_heads;
  std::vector<std::thread> m_threads;
  std::thread m_thread;
};

}  // namespace magnoliaarch::datapath_test

#endif  // MAGNOLIAARCH_TESTS_DATAPATH_UTIL_H_
