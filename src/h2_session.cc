#include "h2_session_p.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

#include <fmt/format.h>

namespace magnoliaarch {
namespace {

constexpr std::size_t kLengthPrefixBytes = 4;
// Header field that carries the strings sent outside the envelope. HPACK encodes a string that recurs on a connection
// as one byte.
constexpr std::string_view kExtraFieldName = "f";
// Output is collected up to this size for one socket write.
constexpr std::size_t kMaxWriteBytes = 256 << 10;
// HTTP/2 flow control windows: bytes in flight of one stream and of the whole connection.
constexpr std::int32_t kStreamWindowBytes = 1 << 20;
constexpr std::int32_t kConnectionWindowBytes = 16 << 20;
constexpr std::uint32_t kMaxFrameBytes = 64 << 10;
// Smaller outgoing messages are not charged to the memory budget.
constexpr std::size_t kMinChargedBytes = 16 << 10;
// Limits the reads per event loop turn, so that a busy connection does not starve the others.
constexpr int kMaxReadsPerTurn = 64;

// TCP keep-alive: an idle connection is probed after this time and closed after this many unanswered probes.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;

std::string LengthPrefix(std::size_t bytes) {
  std::string prefix(kLengthPrefixBytes, '\0');
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    prefix[i] = static_cast<char>(bytes >> (8 * (kLengthPrefixBytes - 1 - i)));
  }
  return prefix;
}

nghttp2_nv MakeHeader(std::string_view name, std::string_view value) {
  return nghttp2_nv{reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
                    reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
                    NGHTTP2_NV_FLAG_NO_COPY_NAME};
}

void AddExtraFields(const std::vector<std::string>& fields, std::vector<nghttp2_nv>* headers) {
  for (const std::string& field : fields) {
    headers->push_back(MakeHeader(kExtraFieldName, field));
  }
}

H2Session* FromUserData(void* user_data) {
  return static_cast<H2Session*>(user_data);
}

}  // namespace

H2Session::H2Session(asio::ip::tcp::socket socket, H2SessionOptions options)
    : m_socket(std::move(socket)),
      m_options(options),
      m_read_buffer(options.read_bytes),
      m_message_limit(options.max_message_bytes),
      m_last_use(BootClock::now()),
      m_last_received(m_last_use) {}

H2Session::~H2Session() {
  nghttp2_session_del(m_session);
}

void H2Session::Start(H2SessionHooks hooks) {
  m_hooks = std::move(hooks);
  m_open = true;
  asio::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
  if (m_options.keep_alive) {
    // The peer's kernel answers these probes even if its process does not read.
    using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    m_socket.set_option(Idle(kProbeAfterSeconds), ignored);
    m_socket.set_option(Interval(kProbeIntervalSeconds), ignored);
    m_socket.set_option(Count(kMaxUnansweredProbes), ignored);
  }

  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrameReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &OnStreamClosed);
  if (m_options.server) {
    nghttp2_session_server_new(&m_session, callbacks, this);
  } else {
    nghttp2_session_client_new(&m_session, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);

  const std::array<nghttp2_settings_entry, 3> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_options.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(kStreamWindowBytes)},
      {NGHTTP2_SETTINGS_MAX_FRAME_SIZE, kMaxFrameBytes},
  }};
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
  Read();
  ScheduleFlush();
}

void H2Session::SetOutgoingMessage(Stream& stream, std::string head, std::shared_ptr<const std::string> body) {
  stream.out_head = LengthPrefix(head.size()) + head;
  stream.out_body = std::move(body);
  stream.out_offset = 0;
}

std::int32_t H2Session::Send(std::string_view path,
                             std::string head,
                             std::shared_ptr<const std::string> body,
                             std::shared_ptr<std::atomic<bool>> sent,
                             const std::vector<std::string>& fields) {
  if (!m_open || m_goaway_received || m_close_after_flush || nghttp2_session_check_request_allowed(m_session) == 0) {
    return -1;
  }
  Stream stream;
  SetOutgoingMessage(stream, std::move(head), std::move(body));
  stream.sent = std::move(sent);
  const std::string length = std::to_string(stream.out_head.size() + stream.out_body->size());
  std::vector<nghttp2_nv> headers = {MakeHeader(":method", "POST"), MakeHeader(":scheme", "http"),
                                     MakeHeader(":authority", "peer"), MakeHeader(":path", path),
                                     MakeHeader("content-length", length)};
  AddExtraFields(fields, &headers);
  nghttp2_data_provider provider{};
  provider.read_callback = &OnReadOutgoing;
  const std::int32_t id =
      nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id < 0) {
    return -1;
  }
  m_streams.emplace(id, std::move(stream));
  m_last_use = BootClock::now();
  ScheduleFlush();
  return id;
}

void H2Session::Respond(std::int32_t stream,
                        int status,
                        std::string head,
                        std::string body,
                        const std::vector<std::string>& fields) {
  const auto it = m_streams.find(stream);
  if (!m_open || it == m_streams.end()) {
    return;
  }
  std::shared_ptr<MemoryCharge> charge;
  if (m_options.budget != nullptr && body.size() > kMinChargedBytes) {
    charge = std::make_shared<MemoryCharge>(m_options.budget);
    charge->Transfer(body.capacity());
  }
  SetOutgoingMessage(it->second, std::move(head), ShareBody(std::move(body), std::move(charge)));
  const std::string code = std::to_string(status);
  const std::string length = std::to_string(it->second.out_head.size() + it->second.out_body->size());
  std::vector<nghttp2_nv> headers = {MakeHeader(":status", code), MakeHeader("content-length", length)};
  AddExtraFields(fields, &headers);
  nghttp2_data_provider provider{};
  provider.read_callback = &OnReadOutgoing;
  nghttp2_submit_response(m_session, stream, headers.data(), headers.size(), &provider);
  m_last_use = BootClock::now();
  ScheduleFlush();
}

bool H2Session::IsSent(std::int32_t stream) const {
  const auto it = m_streams.find(stream);
  return it == m_streams.end() || it->second.out_complete;
}

bool H2Session::CancelStream(std::int32_t stream) {
  const auto it = m_streams.find(stream);
  if (it == m_streams.end()) {
    return false;
  }
  const bool incomplete = !it->second.out_complete;
  m_buffered_bytes -= it->second.buffered_bytes;
  m_streams.erase(it);
  if (m_open) {
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    ScheduleFlush();
  }
  return incomplete;
}

void H2Session::GoAway() {
  if (m_open) {
    nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_session),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    ScheduleFlush();
  }
}

void H2Session::Ping() {
  if (m_open) {
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    ScheduleFlush();
  }
}

TcpAcknowledgement H2Session::Acknowledgement() {
  return m_open ? AcknowledgementOf(m_socket) : TcpAcknowledgement{};
}

void H2Session::Close(const std::string& reason, bool flush) {
  if (!m_open) {
    return;
  }
  if (flush && !m_send_shut_down) {
    m_close_after_flush = true;
    ScheduleFlush();
    return;
  }
  const std::shared_ptr<H2Session> keep = shared_from_this();
  m_open = false;
  asio::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
  // Delivers messages that are already complete; all other streams fail.
  DispatchEvents();
  auto streams = std::exchange(m_streams, {});
  m_buffered_bytes = 0;
  if (!m_options.server && m_hooks.on_failed) {
    for (const auto& [id, stream] : streams) {
      if (!stream.complete) {
        m_hooks.on_failed(id, stream.out_complete ? H2Failure::kBroken : H2Failure::kNotProcessed, reason);
      }
    }
  }
  const H2SessionHooks hooks = std::exchange(m_hooks, {});
  if (hooks.on_closed) {
    hooks.on_closed(reason);
  }
}

int H2Session::OnBeginHeaders(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user_data) {
  if (FromUserData(user_data)->m_options.server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    FromUserData(user_data)->m_streams.try_emplace(frame->hd.stream_id);
  }
  return 0;
}

int H2Session::OnHeader(nghttp2_session* /*session*/,
                        const nghttp2_frame* frame,
                        const std::uint8_t* name,
                        std::size_t name_bytes,
                        const std::uint8_t* value,
                        std::size_t value_bytes,
                        std::uint8_t /*flags*/,
                        void* user_data) {
  const auto it = FromUserData(user_data)->m_streams.find(frame->hd.stream_id);
  if (it == FromUserData(user_data)->m_streams.end()) {
    return 0;
  }
  const std::string_view field(reinterpret_cast<const char*>(name), name_bytes);
  const std::string_view text(reinterpret_cast<const char*>(value), value_bytes);
  if (field == ":path") {
    it->second.message.path = std::string(text);
  } else if (field == ":status") {
    std::from_chars(text.data(), text.data() + text.size(), it->second.message.status);
  } else if (field == kExtraFieldName) {
    it->second.message.fields.emplace_back(text);
  }
  return 0;
}

bool H2Session::AppendData(Stream& stream, const std::uint8_t* data, std::size_t bytes) {
  stream.buffered_bytes += bytes;
  m_buffered_bytes += bytes;
  if (stream.buffered_bytes > m_message_limit || m_buffered_bytes > m_options.max_buffered_bytes) {
    return false;
  }
  const char* next = reinterpret_cast<const char*>(data);
  if (stream.length_prefix.size() < kLengthPrefixBytes) {
    const std::size_t part = std::min(bytes, kLengthPrefixBytes - stream.length_prefix.size());
    stream.length_prefix.append(next, part);
    next += part;
    bytes -= part;
    if (stream.length_prefix.size() < kLengthPrefixBytes) {
      return true;
    }
    for (const char c : stream.length_prefix) {
      stream.head_bytes = stream.head_bytes << 8U | static_cast<unsigned char>(c);
    }
    if (stream.head_bytes > m_message_limit) {
      return false;
    }
  }
  const std::size_t part = std::min(bytes, stream.head_bytes - stream.message.head.size());
  stream.message.head.append(next, part);
  std::string& body = stream.message.body;
  const std::size_t capacity = GrownCapacity(body.capacity(), body.size() + bytes - part, m_message_limit);
  if (capacity > body.capacity()) {
    body.reserve(capacity);
  }
  body.append(next + part, bytes - part);
  return true;
}

bool H2Session::ReserveData(std::int32_t stream, std::size_t bytes) {
  if (m_options.budget == nullptr) {
    return true;
  }
  Stream& incoming = m_streams.at(stream);
  const TimePoint now = BootClock::now();
  H2Message& message = incoming.message;
  if (message.charge == nullptr) {
    message.charge = std::make_shared<MemoryCharge>(m_options.budget);
  }
  message.charge->NoteProgress(bytes, now);
  const std::size_t capacity = message.body.capacity();
  const std::size_t grown = GrownCapacity(capacity, message.body.size() + bytes, m_message_limit);
  const std::size_t held = message.head.capacity() + capacity + bytes;
  if (grown == capacity && held <= message.charge->Bytes()) {
    return true;
  }
  // The eviction of another holder may end this stream.
  const std::shared_ptr<MemoryCharge> charge = message.charge;
  if (!charge->Resize(held + (grown > capacity ? grown : 0), now) || !m_streams.contains(stream)) {
    return false;
  }
  charge->Transfer(message.head.capacity() + grown + bytes);
  charge->SetEvict([this, stream] { RefuseStream(stream); }, now);
  return true;
}

void H2Session::RefuseStream(std::int32_t stream) {
  const auto it = m_streams.find(stream);
  if (!m_open || it == m_streams.end() || it->second.complete || it->second.refused) {
    return;
  }
  it->second.refused = true;
  m_buffered_bytes -= std::exchange(it->second.buffered_bytes, 0);
  // Assigning an empty string would keep the buffer.
  std::exchange(it->second.message, H2Message());
  // A server resets with REFUSED_STREAM because it has processed nothing. A client must not: the response that it
  // rejects was sent after its request was processed.
  const std::uint32_t error = m_options.server ? NGHTTP2_REFUSED_STREAM : NGHTTP2_CANCEL;
  nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, error);
  ScheduleFlush();
}

int H2Session::OnData(nghttp2_session* /*session*/,
                      std::uint8_t /*flags*/,
                      std::int32_t stream,
                      const std::uint8_t* data,
                      std::size_t bytes,
                      void* user_data) {
  H2Session& self = *FromUserData(user_data);
  const auto it = self.m_streams.find(stream);
  if (it == self.m_streams.end() || it->second.refused) {
    return 0;
  }
  if (!self.ReserveData(stream, bytes) || !self.AppendData(self.m_streams.at(stream), data, bytes)) {
    self.RefuseStream(stream);
  }
  return 0;
}

int H2Session::OnFrameReceived(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user_data) {
  H2Session& self = *FromUserData(user_data);
  if (frame->hd.type == NGHTTP2_GOAWAY && !self.m_options.server) {
    self.m_goaway_received = true;
    self.m_events.push_back(Event{Event::Kind::kGoAway, 0, {}, H2Failure::kBroken, {}});
    return 0;
  }
  if ((frame->hd.type != NGHTTP2_DATA && frame->hd.type != NGHTTP2_HEADERS) ||
      (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
    return 0;
  }
  const auto it = self.m_streams.find(frame->hd.stream_id);
  if (it == self.m_streams.end() || it->second.complete || it->second.refused) {
    return 0;
  }
  Stream& stream = it->second;
  const bool whole =
      stream.length_prefix.size() == kLengthPrefixBytes && stream.message.head.size() == stream.head_bytes;
  if (!whole) {
    nghttp2_submit_rst_stream(self.m_session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_PROTOCOL_ERROR);
    return 0;
  }
  stream.complete = true;
  if (stream.message.charge != nullptr) {
    stream.message.charge->SetEvict(nullptr, self.m_last_received);
  }
  self.m_buffered_bytes -= std::exchange(stream.buffered_bytes, 0);
  self.m_events.push_back(
      Event{Event::Kind::kMessage, frame->hd.stream_id, std::move(stream.message), H2Failure::kBroken, {}});
  return 0;
}

int H2Session::OnStreamClosed(nghttp2_session* /*session*/, std::int32_t stream, std::uint32_t error, void* user_data) {
  H2Session& self = *FromUserData(user_data);
  const auto it = self.m_streams.find(stream);
  if (it == self.m_streams.end()) {
    return 0;
  }
  self.m_buffered_bytes -= it->second.buffered_bytes;
  if (!self.m_options.server && !it->second.complete) {
    const bool not_processed = error == NGHTTP2_REFUSED_STREAM || !it->second.out_complete;
    self.m_events.push_back(Event{Event::Kind::kFailed,
                                  stream,
                                  {},
                                  not_processed ? H2Failure::kNotProcessed : H2Failure::kBroken,
                                  fmt::format("the stream was reset: {}", nghttp2_http2_strerror(error))});
  }
  if (self.m_options.server && it->second.complete && it->second.out_body == nullptr) {
    const auto unhandled = std::find_if(self.m_events.begin(), self.m_events.end(), [stream](const Event& event) {
      return event.kind == Event::Kind::kMessage && event.stream == stream;
    });
    if (unhandled != self.m_events.end()) {
      self.m_events.erase(unhandled);
    } else {
      self.m_events.push_back(Event{Event::Kind::kCancelled, stream, {}, H2Failure::kBroken, {}});
    }
  }
  self.m_streams.erase(it);
  return 0;
}

ssize_t H2Session::OnReadOutgoing(nghttp2_session* /*session*/,
                                  std::int32_t stream,
                                  std::uint8_t* buffer,
                                  std::size_t bytes,
                                  std::uint32_t* flags,
                                  nghttp2_data_source* /*source*/,
                                  void* user_data) {
  const auto it = FromUserData(user_data)->m_streams.find(stream);
  if (it == FromUserData(user_data)->m_streams.end()) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  Stream& out = it->second;
  std::size_t done = 0;
  const std::size_t total = out.out_head.size() + out.out_body->size();
  while (done < bytes && out.out_offset < total) {
    const bool in_head = out.out_offset < out.out_head.size();
    const std::string_view from = in_head
                                      ? std::string_view(out.out_head).substr(out.out_offset)
                                      : std::string_view(*out.out_body).substr(out.out_offset - out.out_head.size());
    const std::size_t part = std::min(bytes - done, from.size());
    std::memcpy(buffer + done, from.data(), part);
    done += part;
    out.out_offset += part;
  }
  if (out.out_offset == total) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    out.out_complete = true;
    if (out.sent) {
      *out.sent = true;
    }
  }
  return static_cast<ssize_t>(done);
}

void H2Session::Read() {
  m_socket.async_read_some(
      asio::buffer(m_read_buffer), [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
        if (!self->m_open) {
          return;
        }
        if (error) {
          self->Close(error == asio::error::eof ? "the peer closed the connection" : error.message());
          return;
        }
        if (self->m_send_shut_down) {
          self->Read();
          return;
        }
        const ssize_t consumed = self->ProcessInput(bytes);
        self->DispatchEvents();
        if (consumed < 0) {
          self->Close(fmt::format("protocol error: {}", nghttp2_strerror(static_cast<int>(consumed))));
          return;
        }
        if (self->m_open) {
          self->Flush();
        }
        if (self->m_open) {
          self->Read();
        }
      });
}

ssize_t H2Session::ProcessInput(std::size_t bytes) {
  const auto process = [this, &bytes] {
    m_last_received = BootClock::now();
    if (m_options.bytes) {
      m_options.bytes->received += bytes;
    }
    return nghttp2_session_mem_recv(m_session, m_read_buffer.data(), bytes);
  };
  ssize_t consumed = process();
  // The reset of a stream may follow its message, so all readable input is read before messages are dispatched.
  for (int reads = 1; consumed >= 0 && bytes == m_read_buffer.size() && reads < kMaxReadsPerTurn; ++reads) {
    asio::error_code error;
    bytes = m_socket.read_some(asio::buffer(m_read_buffer), error);
    if (error) {
      break;  // no data, or an end of the connection that the next read reports
    }
    consumed = process();
  }
  return consumed;
}

void H2Session::DispatchEvents() {
  bool failed = false;
  while (!m_events.empty()) {
    auto events = std::exchange(m_events, {});
    for (Event& event : events) {
      try {
        Dispatch(event);
      } catch (const std::exception& error) {
        failed = true;
        if (m_hooks.on_error) {
          m_hooks.on_error(error.what());
        }
      }
    }
  }
  if (failed) {
    Close("a message could not be handled");
  }
}

void H2Session::Dispatch(Event& event) {
  switch (event.kind) {
    case Event::Kind::kMessage:
      m_last_use = BootClock::now();
      if (m_hooks.on_message) {
        m_hooks.on_message(event.stream, std::move(event.message));
      }
      break;
    case Event::Kind::kFailed:
      if (m_hooks.on_failed) {
        m_hooks.on_failed(event.stream, event.failure, event.detail);
      }
      break;
    case Event::Kind::kCancelled:
      if (m_hooks.on_cancelled) {
        m_hooks.on_cancelled(event.stream);
      }
      break;
    case Event::Kind::kGoAway:
      if (m_hooks.on_goaway) {
        m_hooks.on_goaway();
      }
      break;
  }
}

void H2Session::ShutDownSend() {
  if (!m_options.server) {
    Close("the session ended");
    return;
  }
  m_send_shut_down = true;
  asio::error_code error;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  if (error) {
    Close(error.message());
  }
}

void H2Session::ScheduleFlush() {
  if (m_flush_scheduled || m_writing || m_send_shut_down) {
    return;
  }
  m_flush_scheduled = true;
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    self->m_flush_scheduled = false;
    if (self->m_open) {
      self->Flush();
    }
  });
}

void H2Session::Flush() {
  if (m_writing || m_send_shut_down) {
    return;
  }
  m_write_buffer.clear();
  while (m_write_buffer.size() < kMaxWriteBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t bytes = nghttp2_session_mem_send(m_session, &data);
    if (bytes < 0) {
      Close(fmt::format("protocol error: {}", nghttp2_strerror(static_cast<int>(bytes))));
      return;
    }
    if (bytes == 0) {
      break;
    }
    m_write_buffer.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(bytes));
  }
  // nghttp2_session_mem_send may have closed streams and queued events.
  if (!m_events.empty()) {
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->DispatchEvents(); });
  }
  if (m_write_buffer.empty()) {
    if (m_close_after_flush) {
      Close("closed");
    } else if (nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0) {
      ShutDownSend();
    }
    return;
  }
  m_writing = true;
  if (m_options.bytes) {
    m_options.bytes->sent += m_write_buffer.size();
  }
  asio::async_write(m_socket, asio::buffer(m_write_buffer),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t /*bytes*/) {
                      self->m_writing = false;
                      if (!self->m_open) {
                        return;
                      }
                      if (error) {
                        self->Close(error.message());
                        return;
                      }
                      self->Flush();
                    });
}

}  // namespace magnoliaarch
