// HTTP/1.1 on an event loop: a server that answers pipelined requests in order and detects callers that disconnect, and
// a client that sends each request at most once.

#ifndef MAGNOLIAARCH_SRC_HTTP1_P_H_
#define MAGNOLIAARCH_SRC_HTTP1_P_H_

#include <http_parser.h>

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "byte_count_p.h"
#include "magnoliaarch/types.h"
#include "memory_budget_p.h"
#include "status_line_p.h"

namespace magnoliaarch {

// A complete request or response.
struct HttpMessage {
  std::string method;  // requests only
  std::string target;  // requests only: path and query
  int status = 0;      // responses only
  std::vector<Header> headers;
  std::string body;
  // Sent instead of `body` if not null, so that a body that is kept for a second send need not be copied.
  std::shared_ptr<const std::string> shared_body;
  std::shared_ptr<MemoryCharge> charge;  // for the message's bytes; may be null
  bool keep_alive = true;
  bool has_body = false;  // the message has Content-Length or chunked framing; the body may be empty

  const std::string* Find(std::string_view name) const;
};

// Incremental parser for the messages of one connection.
class Http1Parser {
 public:
  struct Limits {
    std::size_t header_bytes = 64 << 10;
    std::size_t body_bytes = 64 << 20;
    // Limited separately because a short field takes much more memory than its bytes.
    std::size_t header_fields = 16 << 10;
  };
  // kNoMemory is never set by the parser, but by a server that has no memory for the rest of a request.
  enum class Error { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge, kNoMemory };

  // `on_message` is called for each complete message; it returns false to stop the parser.
  Http1Parser(http_parser_type type, Limits limits, std::function<bool(HttpMessage)> on_message);
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  // Returns false after an error or after `on_message` stopped the parser; further bytes are then ignored.
  bool Feed(const char* data, std::size_t bytes);

  // Signals a clean end of the connection, which completes a response that is delimited by it.
  bool FinishAtEof();

  Error GetError() const { return m_error; }
  // Bytes buffered for the incomplete message.
  std::size_t BufferedBytes() const { return m_in_message ? m_message.body.size() + m_header_bytes : 0; }
  // Memory that the incomplete message takes.
  std::size_t HeldBytes() const;
  // Most memory that the message may take while the next `input_bytes` are read. Includes the copy of a body that
  // grows.
  std::size_t HeldBytesDuring(std::size_t input_bytes) const;
  // Frees the incomplete message; the parser must not be fed any more.
  void Discard();
  // Whether a message has been read in part.
  bool InMessage() const { return m_in_message; }
  void SetLimits(Limits limits) { m_limits = limits; }
  // Sets whether the next response has no body, as after HEAD.
  void ExpectNoBody(bool no_body) { m_expect_no_body = no_body; }

 private:
  static int OnBegin(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* at, std::size_t length);
  static int OnHeaderField(http_parser* parser, const char* at, std::size_t length);
  static int OnHeaderValue(http_parser* parser, const char* at, std::size_t length);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t length);
  static int OnComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();
  bool CountHeaderBytes(std::size_t bytes);
  // Passes bytes that belong to one message or status line to the parser. Returns how many it has taken; fewer than
  // given if a message has ended or an error has occurred.
  std::size_t Execute(const char* data, std::size_t bytes);

  http_parser m_parser;
  StatusLineCheck m_status_line;  // responses only
  Limits m_limits;
  std::function<bool(HttpMessage)> m_on_message;
  HttpMessage m_message;
  std::size_t m_header_bytes = 0;
  std::size_t m_body_limit = 0;  // of this message
  Error m_error = Error::kNone;
  bool m_stopped = false;
  bool m_in_message = false;
  bool m_in_header_value = false;
  bool m_expect_no_body = false;
};

// Serialize a message. `close` adds "Connection: close"; `to_head_request` leaves out the body.
std::string SerializeRequest(const HttpMessage& request);
// Serialize only the part before the body.
std::string SerializeRequestHead(const HttpMessage& request);
std::string SerializeAnswerHead(const HttpMessage& answer, bool close, bool to_head_request);
// Whether the serialized answer has a body.
bool SendsBody(const HttpMessage& answer, bool to_head_request);
std::string SerializeAnswer(const HttpMessage& answer, bool close, bool to_head_request);

class Http1Connection;

// A caller's request and its pending response.
class HttpExchange {
 public:
  HttpMessage request;
  TimePoint received;
  // Called at most once, if the caller disconnects before the response.
  std::function<void()> on_disconnect;

  // Sends the response. Only the first call has an effect.
  void Respond(HttpMessage answer);
  bool IsOpen() const { return !m_answered && !m_disconnected; }

 private:
  friend class Http1Connection;
  std::weak_ptr<Http1Connection> m_connection;
  std::shared_ptr<MemoryBudget> m_budget;
  HttpMessage m_answer;
  bool m_answered = false;
  bool m_disconnected = false;
};

struct Http1ServerOptions {
  std::string ip;
  std::uint16_t port = 0;
  Http1Parser::Limits limits{};
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(60);
  // Beyond these the connection that has been idle for longest is closed, or else the new one.
  std::size_t max_connections = 2000;
  std::shared_ptr<MemoryBudget> budget{};  // null: unlimited
  // The request handler has thrown; the caller's connection is closed. May be null.
  std::function<void(std::string_view what)> on_error{};
};

// Not thread-safe: runs on the io_context's thread.
class Http1Server {
 public:
  using OnRequest = std::function<void(const std::shared_ptr<HttpExchange>&)>;
  // Builds the response to a request that cannot be parsed.
  using OnParseError = std::function<HttpMessage(Http1Parser::Error)>;

  Http1Server(asio::io_context& context, Http1ServerOptions options, OnRequest on_request, OnParseError on_parse_error);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  absl::Status Start();
  std::uint16_t Port() const;
  // The limits apply to requests that start later.
  void SetLimits(Http1Parser::Limits limits, Duration header_timeout, Duration idle_timeout);
  // Closes idle connections now and the others after their pending responses; still accepts new connections.
  void Drain();
  // Closes the listening port. Connections in the accept queue are still served.
  void StopAccepting();
  // Closes connections whose timeouts have expired. Must be called periodically.
  void OnTick(TimePoint now);
  // Lets connections that wait for memory go on, or refuses their requests after kMemoryWait. Must be called at least
  // every 100 ms.
  void OnMemoryTick(TimePoint now);
  // Number of requests in progress, plus otherwise idle connections with unread input.
  std::size_t InProgress() const;
  std::size_t Connections() const { return m_connections.size(); }

 private:
  friend class Http1Connection;
  void Accept();
  void Serve(asio::ip::tcp::socket socket);
  // Closes the connection that has been idle for longest. Returns false if none is idle for long enough.
  bool CloseIdlest(TimePoint now);
  // Passes a request to its handler. Returns false if the handler has thrown.
  bool Handle(const std::shared_ptr<HttpExchange>& exchange);

  Http1ServerOptions m_options;
  OnRequest m_on_request;
  OnParseError m_on_parse_error;
  asio::ip::tcp::acceptor m_acceptor;
  std::unordered_map<Http1Connection*, std::shared_ptr<Http1Connection>> m_connections;
  std::vector<std::weak_ptr<Http1Connection>> m_waiting;  // for memory
  std::vector<char> m_read_buffer;                        // shared, since input is parsed at once
  bool m_accept_paused = false;                           // no descriptor was left
  bool m_draining = false;
};

// A message whose next bytes find no room in the memory budget waits for this long; its connection is not read
// meanwhile.
inline constexpr Duration kMemoryWait = std::chrono::seconds(1);

enum class HttpOutcome {
  kAnswered,
  kRefused,       // the address refused the connection; nothing was sent
  kNotConnected,  // not connected in time or no connection available; nothing was sent
  kBroken,        // sent, but the connection ended or the response was invalid
  kTimedOut,      // sent, but no response in time
};

struct HttpResult {
  HttpOutcome outcome = HttpOutcome::kNotConnected;
  HttpMessage answer;  // kAnswered only
  std::string detail;  // why there is no response
  bool new_connection = false;
  bool extra_bytes = false;  // data followed the response, which may thus belong to an earlier request
};

struct HttpClientOptions {
  std::string ip;
  std::uint16_t port = 0;
  std::size_t max_connections = 64;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Idle connections are closed after this time, unless the server states one in Keep-Alive.
  Duration max_idle = std::chrono::seconds(4);
  // Limit for one response, including its header, framing and all responses skipped before it, because a server may
  // never stop sending.
  std::size_t max_answer_bytes = 8 << 20;
  // Limit for all incomplete responses together; above it the largest one is aborted. Strings grow by doubling, so the
  // process may use up to twice as much, and a node is limited to 160 MB in total.
  std::size_t max_buffered_bytes = 24 << 20;
  std::shared_ptr<MemoryBudget> budget{};  // null: unlimited
};

// Which request a response on the connection belongs to.
enum class AnswerMatch {
  kThisRequest,
  kOtherRequest,  // another request; the response is skipped
  kAmbiguous,     // unknown: the connection is closed and the outcome of the request is unknown
};

// Restricts which connections may carry a request.
struct ConnectionConstraint {
  // Requests with the same key never share a connection, because the server could send the response to the first one
  // again. Empty: no restriction.
  std::string key;
};

// Connection pool for one address. Each request is written once, to one connection. Not thread-safe.
class HttpClient {
 public:
  using Done = std::function<void(HttpResult)>;
  // Called for each response to decide whether it belongs to the request; if null, every response does. `only_request`:
  // the connection has carried no other request or response, so the response cannot belong to an earlier request.
  using MatchAnswer = std::function<AnswerMatch(const HttpMessage& answer, bool only_request)>;

  HttpClient(asio::io_context& context, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Returns the id for Cancel. `done` is called exactly once, never from within Send, and not after Cancel. `timeout`
  // covers connecting and the response.
  std::uint64_t Send(HttpMessage request,
                     Duration timeout,
                     MatchAnswer match_answer,
                     Done done,
                     const ConnectionConstraint& constraint = {});

  // Cancels a request and closes its connection.
  void Cancel(std::uint64_t call);

  // Closes idle connections that must not be reused, and ends the requests of connections whose network path is lost.
  // Must be called at least every 200 ms, or lost paths are not detected.
  void OnTick(TimePoint now);
  void CloseIdle(TimePoint now);
  void CloseAll();
  // Number of established connections, idle or in use; 0 if the server process has ended.
  std::size_t Connected() const;
  // Bytes buffered for incomplete responses.
  std::size_t BufferedBytes() const;
  // Bytes sent and received on all connections so far.
  const ByteCount& Bytes() const { return m_bytes; }

 private:
  class Connection;
  // Removes and returns an idle connection that has carried no request with this key hash; null if there is none.
  std::shared_ptr<Connection> AcquireIdle(TimePoint now, std::optional<std::size_t> key_hash);
  void ReturnToIdle(const std::shared_ptr<Connection>& connection);
  // Aborts the largest incomplete response if all together exceed max_buffered_bytes.
  void EnforceBufferLimit();

  asio::io_context& m_context;
  HttpClientOptions m_options;
  std::vector<std::shared_ptr<Connection>> m_idle;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> m_busy;
  std::uint64_t m_last_call = 0;
  ByteCount m_bytes;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// Binds the address and listens on it.
absl::Status Listen(asio::ip::tcp::acceptor& acceptor, const std::string& ip, std::uint16_t port);

// Sets TCP_NODELAY, and TCP_USER_TIMEOUT, which limits how long sent data may stay unacknowledged.
void SetUserTimeout(asio::ip::tcp::socket& socket, Duration timeout);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_HTTP1_P_H_
