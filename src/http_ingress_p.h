// HTTP/1.1 server for callers.

#ifndef MAGNOLIAARCH_SRC_HTTP_INGRESS_P_H_
#define MAGNOLIAARCH_SRC_HTTP_INGRESS_P_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

// A caller's request as received, headers and body unchanged.
struct HttpRequest {
  RequestId id;  // chosen by the ingress
  std::string method;
  std::string target;  // path and query
  std::vector<Header> headers;
  std::string body;
  std::string caller_ip;
  TimePoint received;

  // Value of the first header with this name, compared without case; null when absent.
  const std::string* FindHeader(std::string_view name) const;
};

// Sends the answer. May be called from any thread, exactly once.
using Responder = std::function<void(Response)>;

struct HttpIngressOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;  // 0: any free port
  std::size_t max_header_bytes = 32 << 10;
  std::size_t max_body_bytes = 8 << 20;
  std::size_t max_connections = 1024;
  Duration idle_timeout = std::chrono::seconds(60);
};

// Runs on a thread of its own. Every request that can be parsed reaches the hook; the others are refused with their
// error kind.
class HttpIngress {
 public:
  // The hook runs on the ingress thread and must not block.
  using OnRequest = std::function<void(HttpRequest, Responder)>;

  HttpIngress(HttpIngressOptions options, OnRequest on_request);
  ~HttpIngress();
  HttpIngress(const HttpIngress&) = delete;
  HttpIngress& operator=(const HttpIngress&) = delete;

  // Binds the port and starts the thread.
  absl::Status Start();

  // The bound port, once started.
  std::uint16_t Port() const;

  // Runs a task on the ingress thread, from any thread.
  void Post(std::function<void()> task);

  // Runs a task on the ingress thread after a delay, from the ingress thread only.
  void PostAfter(Duration delay, std::function<void()> task);

  // Stops accepting connections; from now on every answer closes its connection. Requests on connections that are
  // already open are still served.
  void Drain();

  // Requests handed to the hook and not answered yet.
  std::size_t InProgress() const;

  // Drains, waits until every request is answered and written or the grace is over, then closes all connections and
  // ends the thread. Returns whether everything was answered.
  bool Stop(Duration grace);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_HTTP_INGRESS_P_H_
