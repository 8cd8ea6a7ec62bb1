// HTTP/2 connection between nodes. Each stream carries one request message and one response message.

#ifndef MAGNOLIAARCH_SRC_H2_SESSION_P_H_
#define MAGNOLIAARCH_SRC_H2_SESSION_P_H_

#include <nghttp2/nghttp2.h>

#include <asio.hpp>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "byte_count_p.h"
#include "magnoliaarch/types.h"
#include "memory_budget_p.h"
#include "tcp_path_p.h"

namespace magnoliaarch {

// One complete message of a stream.
struct H2Message {
  std::string path;  // requests only
  int status = 0;    // responses only
  std::string head;  // serialized envelope
  std::string body;
  std::vector<std::string> fields;       // repeated strings sent as header fields instead of in the envelope
  std::shared_ptr<MemoryCharge> charge;  // for the message's bytes; may be null
};

// Why a client's stream ended without a response.
enum class H2Failure {
  kNotProcessed,  // the server definitely did not process the message
  kBroken,        // the server may have processed the message
};

// Callbacks run on the io_context's thread, never from within a call into the session, except from Close.
struct H2SessionHooks {
  std::function<void(std::int32_t stream, H2Message message)> on_message;
  // Client: a stream ended without a response.
  std::function<void(std::int32_t stream, H2Failure failure, const std::string& detail)> on_failed;
  // Server: the client cancelled a stream before its response was sent.
  std::function<void(std::int32_t stream)> on_cancelled;
  // Client: the server accepts no more streams on this connection (GOAWAY).
  std::function<void()> on_goaway;
  // Another hook has thrown; the connection is closed next.
  std::function<void(std::string_view what)> on_error;
  // Called once, after every stream has ended.
  std::function<void(const std::string& reason)> on_closed;
};

struct H2SessionOptions {
  bool server = false;
  std::uint32_t max_streams = 1024;
  std::size_t read_bytes = 256 << 10;  // size of the read buffer
  std::size_t max_message_bytes = 64 << 20;
  std::size_t max_buffered_bytes = 256 << 20;  // total of the connection's incomplete messages
  bool keep_alive = false;                     // enables TCP keep-alive to detect a dead peer on an idle connection
  std::shared_ptr<ByteCount> bytes;            // counts sent and received bytes; may be null
  std::shared_ptr<MemoryBudget> budget;        // null: unlimited
};

// Not thread-safe: call only on the io_context's thread. Keeps itself alive while the connection is open.
class H2Session : public std::enable_shared_from_this<H2Session> {
 public:
  H2Session(asio::ip::tcp::socket socket, H2SessionOptions options);
  ~H2Session();
  H2Session(const H2Session&) = delete;
  H2Session& operator=(const H2Session&) = delete;

  void Start(H2SessionHooks hooks);

  // Client: opens a stream and returns its id; negative if the connection accepts no more streams. `sent`, if not null,
  // is set when the last bytes of the message are passed to the socket.
  std::int32_t Send(std::string_view path,
                    std::string head,
                    std::shared_ptr<const std::string> body,
                    std::shared_ptr<std::atomic<bool>> sent,
                    const std::vector<std::string>& fields = {});

  // Server: sends the response of a stream; ignored if the stream has ended.
  void Respond(std::int32_t stream,
               int status,
               std::string head,
               std::string body,
               const std::vector<std::string>& fields = {});

  // Client: whether the last bytes of the stream's message were passed to the socket, or the stream has ended.
  bool IsSent(std::int32_t stream) const;

  // Client: resets a stream without calling the hooks. Returns true if its message was not sent completely.
  bool CancelStream(std::int32_t stream);

  // Sets the maximum size of a message; a larger message resets its stream. The limit is low until the peer has
  // authenticated.
  void SetMessageLimit(std::size_t bytes) { m_message_limit = bytes; }

  // Server: sends GOAWAY; streams that are not yet open will not be processed.
  void GoAway();

  // Ends all streams and closes the connection; with `flush`, only after the pending output is written.
  void Close(const std::string& reason, bool flush = false);

  // Sends an HTTP/2 PING; the reply updates LastReceived.
  void Ping();

  bool IsOpen() const { return m_open; }
  TimePoint LastReceived() const { return m_last_received; }
  TcpAcknowledgement Acknowledgement();
  std::size_t Streams() const { return m_streams.size(); }
  TimePoint LastUse() const { return m_last_use; }

 private:
  struct Stream {
    // Incoming message.
    H2Message message;
    std::string length_prefix;  // length of the head: 4 bytes, big-endian
    std::size_t head_bytes = 0;
    std::size_t buffered_bytes = 0;
    bool complete = false;
    bool refused = false;  // its reset is being sent; further data is ignored
    // Outgoing message.
    std::string out_head;
    std::shared_ptr<const std::string> out_body;
    std::size_t out_offset = 0;
    bool out_complete = false;
    std::shared_ptr<std::atomic<bool>> sent;
  };
  struct Event {
    enum class Kind { kMessage, kFailed, kGoAway, kCancelled } kind = Kind::kMessage;
    std::int32_t stream = 0;
    H2Message message;
    H2Failure failure = H2Failure::kBroken;
    std::string detail;
  };

  static int OnBeginHeaders(nghttp2_session* session, const nghttp2_frame* frame, void* user_data);
  static int OnHeader(nghttp2_session* session,
                      const nghttp2_frame* frame,
                      const std::uint8_t* name,
                      std::size_t name_bytes,
                      const std::uint8_t* value,
                      std::size_t value_bytes,
                      std::uint8_t flags,
                      void* user_data);
  static int OnData(nghttp2_session* session,
                    std::uint8_t flags,
                    std::int32_t stream,
                    const std::uint8_t* data,
                    std::size_t bytes,
                    void* user_data);
  static int OnFrameReceived(nghttp2_session* session, const nghttp2_frame* frame, void* user_data);
  static int OnStreamClosed(nghttp2_session* session, std::int32_t stream, std::uint32_t error, void* user_data);
  static ssize_t OnReadOutgoing(nghttp2_session* session,
                                std::int32_t stream,
                                std::uint8_t* buffer,
                                std::size_t bytes,
                                std::uint32_t* flags,
                                nghttp2_data_source* source,
                                void* user_data);

  bool AppendData(Stream& stream, const std::uint8_t* data, std::size_t bytes);
  // Charges a stream for data that follows. Returns false if there is no memory for it.
  bool ReserveData(std::int32_t stream, std::size_t bytes);
  // Frees the incoming message of a stream and resets the stream.
  void RefuseStream(std::int32_t stream);
  void Read();
  // Passes `bytes` of the read buffer, and further data that is already readable, to nghttp2. Returns a negative
  // nghttp2 error code after a protocol error.
  ssize_t ProcessInput(std::size_t bytes);
  void ScheduleFlush();
  void Flush();
  // Server: shuts down the send direction and reads until the peer closes, because closing with unread input would make
  // the kernel reset the connection and discard the last responses. Client: closes the connection.
  void ShutDownSend();
  void DispatchEvents();
  void Dispatch(Event& event);
  void SetOutgoingMessage(Stream& stream, std::string head, std::shared_ptr<const std::string> body);

  asio::ip::tcp::socket m_socket;
  H2SessionOptions m_options;
  H2SessionHooks m_hooks;
  nghttp2_session* m_session = nullptr;
  std::unordered_map<std::int32_t, Stream> m_streams;
  std::vector<Event> m_events;
  std::vector<std::uint8_t> m_read_buffer;
  std::string m_write_buffer;
  std::size_t m_message_limit;
  std::size_t m_buffered_bytes = 0;
  bool m_open = false;
  bool m_writing = false;
  bool m_flush_scheduled = false;
  bool m_close_after_flush = false;
  bool m_goaway_received = false;
  bool m_send_shut_down = false;
  TimePoint m_last_use;
  TimePoint m_last_received;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_H2_SESSION_P_H_
