// HTTP/1.1 on an event loop: a server that answers pipelined requests in order and sees when a caller leaves, and a
// client that never sends a request twice.

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

namespace magnoliaarch {

// One whole message in either direction.
struct HttpMessage {
  std::string method;  // requests only
  std::string target;  // requests only: path and query
  int status = 0;      // answers only
  std::vector<Header> headers;
  std::string body;
  bool keep_alive = true;
  bool has_body = false;  // the message was framed with a body, which may be empty

  const std::string* Find(std::string_view name) const;
};

// Incremental parser of a sequence of messages.
class Http1Parser {
 public:
  struct Limits {
    std::size_t header_bytes = 64 << 10;
    std::size_t body_bytes = 64 << 20;
    // Short fields take more memory than their bytes.
    std::size_t header_fields = 16 << 10;
  };
  enum class Error { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

  // `on_message` is called for each whole message; false stops the parser.
  Http1Parser(http_parser_type type, Limits limits, std::function<bool(HttpMessage)> on_message);
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  // Returns false after an error or when on_message stopped the parser; no more bytes are taken then.
  bool Feed(const char* data, std::size_t bytes);

  // The connection ended cleanly. Completes an answer that is framed by the end of its connection.
  bool FinishAtEof();

  Error GetError() const { return m_error; }
  // Memory that an unfinished message takes.
  std::size_t BufferedBytes() const { return m_in_message ? m_message.body.size() + m_header_bytes : 0; }
  // Some bytes of an unfinished message have been read.
  bool InMessage() const { return m_in_message; }
  void SetLimits(Limits limits) { m_limits = limits; }
  // The next answer has no body (HEAD).
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

  http_parser m_parser;
  Limits m_limits;
  std::function<bool(HttpMessage)> m_on_message;
  HttpMessage m_message;
  std::size_t m_header_bytes = 0;
  Error m_error = Error::kNone;
  bool m_stopped = false;
  bool m_in_message = false;
  bool m_in_header_value = false;
  bool m_expect_no_body = false;
};

// The bytes of a message. `close` adds "Connection: close".
std::string SerializeRequest(const HttpMessage& request);
std::string SerializeAnswer(const HttpMessage& answer, bool close, bool to_head_request);

class Http1Connection;

// One request of a caller that waits for its answer.
class HttpExchange {
 public:
  HttpMessage request;
  TimePoint received;
  // Called at most once, when the caller left before it was answered.
  std::function<void()> on_disconnect;

  // Answers the request. Later calls are ignored.
  void Respond(HttpMessage answer);
  bool IsOpen() const { return !m_answered && !m_disconnected; }

 private:
  friend class Http1Connection;
  std::weak_ptr<Http1Connection> m_connection;
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
  std::size_t max_connections = 2000;
};

// Serves on one thread: the context's.
class Http1Server {
 public:
  using OnRequest = std::function<void(const std::shared_ptr<HttpExchange>&)>;
  // Builds the answer to a message that cannot be read.
  using OnParseError = std::function<HttpMessage(Http1Parser::Error)>;

  Http1Server(asio::io_context& context, Http1ServerOptions options, OnRequest on_request, OnParseError on_parse_error);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  absl::Status Start();
  std::uint16_t Port() const;
  // New limits apply to requests that start later.
  void SetLimits(Http1Parser::Limits limits, Duration header_timeout, Duration idle_timeout);
  // Ends kept connections after their answers and closes idle ones; new connections are still taken.
  void Drain();
  // Closes the port. Callers that have connected before are served.
  void StopAccepting();
  // Closes connections past their time-outs. Called periodically.
  void OnTick(TimePoint now);
  // Requests without an answer, and connections on which bytes wait to be read.
  std::size_t InProgress() const;
  std::size_t Connections() const { return m_connections.size(); }

 private:
  friend class Http1Connection;
  void Accept();
  void Serve(asio::ip::tcp::socket socket);

  Http1ServerOptions m_options;
  OnRequest m_on_request;
  OnParseError m_on_parse_error;
  asio::ip::tcp::acceptor m_acceptor;
  std::unordered_map<Http1Connection*, std::shared_ptr<Http1Connection>> m_connections;
  bool m_draining = false;
};

enum class HttpOutcome {
  kAnswered,
  kRefused,       // the address refused the connection; nothing was sent
  kNotConnected,  // no connection in time; nothing was sent
  kBroken,        // sent, and the connection ended or its bytes were no answer
  kTimedOut,      // sent, and no answer in time
};

struct HttpResult {
  HttpOutcome outcome = HttpOutcome::kNotConnected;
  HttpMessage answer;  // kAnswered only
  std::string detail;  // why there is no answer
  bool new_connection = false;
  bool extra_bytes = false;  // more came behind the answer, which may be an earlier request's
};

struct HttpClientOptions {
  std::string ip;
  std::uint16_t port = 0;
  std::size_t max_connections = 64;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Kept connections unused for this long are closed, when the server states no time.
  Duration max_idle = std::chrono::seconds(4);
  // Most bytes of one answer with its head, its framing and all that is skipped before it. A server may write without
  // end.
  std::size_t max_answer_bytes = 8 << 20;
  // Most memory of all unfinished answers together. Above it the greatest one is given up. Strings grow by doubling, so
  // that the process takes up to twice as much, and a node may have 160 MB in all.
  std::size_t max_buffered_bytes = 24 << 20;
};

// Whose answer a server has written.
enum class AnswerMatch {
  kThisRequest,
  kOtherRequest,  // another request's: it is skipped
  kAmbiguous,     // perhaps another request's: the connection is closed, and the outcome of the request is unknown
};

// Which connections may carry a request.
struct ConnectionConstraint {
  // Requests with the same key never share a connection, whose server could write the answer to the first one again.
  // Empty: any connection will do.
  std::string key;
};

// Keeps connections to one address. Each request is written to one connection once.
class HttpClient {
 public:
  using Done = std::function<void(HttpResult)>;
  // Called for each answer; null: every answer is the request's. `only_request`: the connection has carried no other
  // request and no other answer, so that the answer cannot belong to an earlier one.
  using MatchAnswer = std::function<AnswerMatch(const HttpMessage& answer, bool only_request)>;

  HttpClient(asio::io_context& context, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `done` is called exactly once, never from within Send, and not after Cancel. `timeout` covers connecting and the
  // answer.
  std::uint64_t Send(HttpMessage request,
                     Duration timeout,
                     MatchAnswer match_answer,
                     Done done,
                     const ConnectionConstraint& constraint = {});

  // Closes the request's connection.
  void Cancel(std::uint64_t call);

  void CloseIdle(TimePoint now);
  void CloseAll();
  // Established connections, idle or in use. A server that ended has none.
  std::size_t Connected() const;
  // Memory that unfinished answers take.
  std::size_t BufferedBytes() const;
  // What all connections so far carried.
  const ByteCount& Bytes() const { return m_bytes; }

 private:
  class Connection;
  // An idle connection that has carried no request with this hash.
  std::shared_ptr<Connection> AcquireIdle(TimePoint now, std::optional<std::size_t> key_hash);
  void ReturnToIdle(const std::shared_ptr<Connection>& connection);
  // Gives the greatest unfinished answer up when all together take too much memory.
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

// Bounds how long a connection may go unacknowledged by the other side.
void SetUserTimeout(asio::ip::tcp::socket& socket, Duration timeout);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_HTTP1_P_H_
