// HTTP/1.1 client of the local target.

#ifndef MAGNOLIAARCH_SRC_TARGET_CLIENT_P_H_
#define MAGNOLIAARCH_SRC_TARGET_CLIENT_P_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "magnoliaarch/types.h"

namespace magnoliaarch {

enum class TargetOutcome {
  kAnswered,
  kConnectFailed,  // failed before the send
  kRefused,        // may_send returned false; nothing was sent
  kTimedOutBeforeSend,
  kBrokenAfterSend,
  kTimedOutAfterSend,
  kCancelled,  // TargetResult::sent tells whether it may have been sent
};

struct TargetResult {
  TargetOutcome outcome = TargetOutcome::kConnectFailed;
  bool sent = false;   // the request may have reached the target
  Response response;   // kAnswered only
  std::string detail;  // why there is no answer
  Duration latency{};  // since the send, kAnswered only
};

// Answers of the target's health and load endpoints.
struct TargetProbe {
  int health_status = 0;  // 0: no answer
  std::string health;
  int load_status = 0;  // 0: no answer
  std::string load;
  Duration latency{};  // of the health answer
};

// Whether the target reports that it refused the request before executing it: status 503 with X-Shed or X-Draining.
bool IsShed(const Response& response);

struct TargetClientOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t max_connections = 128;
  std::size_t max_outstanding = 4096;  // requests in progress
  std::size_t max_answer_bytes = 64 << 20;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Keep-alive connections that were idle for longer are not reused. Shorter than common keep-alive timeouts of
  // servers, so that requests are rarely sent on a connection that the target is closing.
  Duration max_idle = std::chrono::seconds(4);
  std::size_t task_capacity = 16384;  // capacity of the task ring
};

struct TargetClientHooks {
  // Final check, after the connection is established and immediately before the bytes are sent. If it returns false,
  // the request is not sent.
  std::function<bool(std::uint64_t send_id, const Request&)> may_send;
  // Called when a new connection to the target is opened. `reconnect` is true if there were connections before and the
  // target has closed all of them.
  std::function<void(bool reconnect)> on_new_connection;
  // Called in each iteration of the event loop. The next call follows at the latest after the returned time.
  std::function<Duration()> on_loop_iteration;
};

// Client with its own thread, on which all hooks and result callbacks run. The hooks may_send and on_new_connection are
// called from within libcurl and must not call Send, Cancel or Probe.
class TargetClient {
 public:
  TargetClient(TargetClientOptions options, TargetClientHooks hooks);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  absl::Status Start();

  // Stops the thread. Requests in progress end with kCancelled.
  void Stop();

  // Runs a task on the client's thread. Returns false if the task ring is full or the client was stopped. Any thread.
  bool Post(std::function<void()> task);

  // The following functions must be called on the client's thread.

  // Starts a request; the id identifies it until its result. Returns false without calling `done` if the id is in use
  // or `max_outstanding` requests are in progress.
  bool Send(std::uint64_t send_id, std::shared_ptr<const Request> request, std::function<void(TargetResult)> done);

  // Cancels a request; its result is kCancelled.
  void Cancel(std::uint64_t send_id);

  void Probe(Duration timeout, std::function<void(TargetProbe)> done);

  std::size_t Outstanding() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_TARGET_CLIENT_P_H_
