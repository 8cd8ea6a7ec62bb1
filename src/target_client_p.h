// HTTP/1.1 client towards the local target.

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
  kConnectFailed,       // not sent
  kRefused,             // not sent: may_send returned false
  kTimedOutBeforeSend,  // not sent
  kBrokenAfterSend,
  kTimedOutAfterSend,
  kCancelled,  // see `sent`
};

struct TargetResult {
  TargetOutcome outcome = TargetOutcome::kConnectFailed;
  bool sent = false;   // the request may have reached the target
  Response response;   // kAnswered only
  std::string detail;  // why there is no answer
  Duration latency{};  // from the send, kAnswered only
};

// Answer of the target's health and load endpoints.
struct TargetProbe {
  int health_status = 0;  // 0: no answer
  std::string health;
  int load_status = 0;  // 0: no answer
  std::string load;
  Duration latency{};  // of the health answer
};

// Whether the target says that it refused the request before running it.
bool IsShed(const Response& response);

struct TargetClientOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t max_connections = 128;
  std::size_t max_outstanding = 4096;  // requests started and not ended
  std::size_t max_answer_bytes = 64 << 20;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Kept connections unused for this long are not used again. Shorter than common keep-alive limits of servers, so that
  // requests seldom meet a connection that the target is closing.
  Duration max_idle = std::chrono::seconds(4);
  std::size_t task_capacity = 16384;  // capacity of the task ring
};

struct TargetClientHooks {
  // Last check, after the connection is up and immediately before the bytes are sent. False: the request is not sent.
  std::function<bool(std::uint64_t send_id, const Request&)> may_send;
  // A new connection to the target is being opened. `reconnect`: there were connections before and the target has
  // closed all of them.
  std::function<void(bool reconnect)> on_new_connection;
  // Runs at each turn of the loop, at the latest after the returned time.
  std::function<Duration()> on_loop_iteration;
};

// Runs on a thread of its own; all hooks and results are called there. The hooks may_send and on_new_connection run
// within the library and must not call Send, Cancel or Probe.
class TargetClient {
 public:
  TargetClient(TargetClientOptions options, TargetClientHooks hooks);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  absl::Status Start();

  // Ends the thread; requests in progress end as cancelled.
  void Stop();

  // Runs a task on the client's thread, from any thread. False when the task ring is full.
  bool Post(std::function<void()> task);

  // The following are called on the client's thread only.

  // Starts a request; the number names it until its result. False, with no call of `done`, when the bound of
  // outstanding requests is reached.
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
