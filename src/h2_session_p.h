// One HTTP/2 connection between nodes: streams that each carry one whole message in each direction.

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

namespace magnoliaarch {

// A whole message: metadata and body.
struct H2Message {
  std::string path;  // requests only
  int status = 0;    // answers only
  std::string head;  // serialized envelope
  std::string body;
  std::vector<std::string> fields;  // strings that the envelope leaves out
};

// How a client's stream ended without an answer.
enum class H2Failure {
  kNotProcessed,  // the server certainly did not process the message
  kBroken,
};

// What the other side's kernel acknowledged, whether or not its process reads.
struct H2Acknowledgement {
  bool outstanding = false;  // bytes that were sent and not acknowledged; those that wait for a window do not count
  Duration age{};            // of the last acknowledgement
};

// Called on the context's thread, never from within a call into the session.
struct H2SessionHooks {
  std::function<void(std::int32_t stream, H2Message message)> on_message;
  // Client: a stream ended without an answer.
  std::function<void(std::int32_t stream, H2Failure failure, const std::string& detail)> on_failed;
  // Server: the client gave a stream up before it was answered.
  std::function<void(std::int32_t stream)> on_cancelled;
  // Client: the server takes no more streams on this connection.
  std::function<void()> on_goaway;
  // Called once; every stream has ended before.
  std::function<void(const std::string& reason)> on_closed;
};

struct H2SessionOptions {
  bool server = false;
  std::uint32_t max_streams = 1024;
  std::size_t read_bytes = 256 << 10;  // buffer of one read
  std::size_t max_message_bytes = 64 << 20;
  std::size_t max_buffered_bytes = 256 << 20;  // of all incomplete messages of the connection
  bool keep_alive = false;                     // ends a quiet connection without a path
  std::shared_ptr<ByteCount> bytes;            // counts what the connection carries, if given
};

// Not thread-safe: all calls on the context's thread. Keeps itself alive while the connection is open.
class H2Session : public std::enable_shared_from_this<H2Session> {
 public:
  H2Session(asio::ip::tcp::socket socket, H2SessionOptions options);
  ~H2Session();
  H2Session(const H2Session&) = delete;
  H2Session& operator=(const H2Session&) = delete;

  void Start(H2SessionHooks hooks);

  // Client: opens a stream. `sent`, if given, is set when the last bytes are handed to the socket. Negative when the
  // connection takes no more streams.
  std::int32_t Send(std::string_view path,
                    std::string head,
                    std::shared_ptr<const std::string> body,
                    std::shared_ptr<std::atomic<bool>> sent,
                    const std::vector<std::string>& fields = {});

  // Server: answers a stream; ignored when the stream is gone.
  void Respond(std::int32_t stream,
               int status,
               std::string head,
               std::string body,
               const std::vector<std::string>& fields = {});

  // Client: whether the last bytes of a stream's message were handed to the socket, or the stream is gone.
  bool IsSent(std::int32_t stream) const;

  // Client: ends a stream without a call of the hooks. Returns whether its message was not sent completely.
  bool CancelStream(std::int32_t stream);

  // Messages above the limit end their stream. Low until the peer is authenticated.
  void SetMessageLimit(std::size_t bytes) { m_message_limit = bytes; }

  // Server: announces that streams not yet opened will not be processed.
  void GoAway();

  // Ends every stream and the connection, after the output so far was written if `flush` is set.
  void Close(const std::string& reason, bool flush = false);

  // Asks the other side for a sign of life; LastReceived tells whether one came.
  void Ping();

  bool IsOpen() const { return m_open; }
  TimePoint LastReceived() const { return m_last_received; }
  H2Acknowledgement Acknowledgement();
  std::size_t Streams() const { return m_streams.size(); }
  TimePoint LastUse() const { return m_last_use; }

 private:
  struct Stream {
    // Incoming.
    H2Message message;
    std::string length_prefix;  // length of the head, big-endian, 4 bytes
    std::size_t head_bytes = 0;
    std::size_t buffered_bytes = 0;
    bool complete = false;
    // Outgoing.
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
  void Read();
  // Takes what was read and what else has arrived. Negative after an error of the protocol.
  ssize_t ProcessInput(std::size_t bytes);
  void ScheduleFlush();
  void Flush();
  // Ends the sending side and reads on until the other side closes, so that unread input does not make the kernel
  // discard the last answers.
  void ShutDownSend();
  void DispatchEvents();
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
