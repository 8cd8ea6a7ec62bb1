#include "peer_server_p.h"

#include <algorithm>
#include <atomic>
#include <unordered_set>
#include <utility>

#include <fmt/format.h>

#include "h2_session_p.h"
#include "hmac_p.h"
#include "magnoliaarch/error.h"
#include "peer_wire_p.h"

namespace magnoliaarch {
namespace {

constexpr int kOk = 200;
constexpr int kForbidden = 403;
constexpr int kBadRequest = 400;
// Delay before accepting again after an error, such as running out of file descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

class PeerServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, PeerServerOptions options, PeerServerHooks hooks)
      : m_context(context),
        m_acceptor(context),
        m_accept_timer(context),
        m_options(std::move(options)),
        m_hooks(std::move(hooks)) {}

  absl::Status Start() {
    if (m_options.secret.empty()) {
      return absl::InvalidArgumentError("the shared secret of the nodes is empty");
    }
    asio::error_code error;
    const asio::ip::address address = asio::ip::make_address(m_options.ip, error);
    if (!error) {
      const asio::ip::tcp::endpoint endpoint(address, m_options.port);
      m_acceptor.open(endpoint.protocol(), error);
      if (!error) {
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(endpoint, error);
      }
      if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
      }
    }
    if (error) {
      return absl::UnavailableError(
          fmt::format("cannot listen on {}:{}: {}", m_options.ip, m_options.port, error.message()));
    }
    m_port = m_acceptor.local_endpoint().port();
    Accept();
    return absl::OkStatus();
  }

  std::uint16_t Port() const { return m_port; }
  std::size_t InProgress() const { return m_in_progress; }
  std::size_t Connections() const { return m_connections_open; }

  void Drain() {
    asio::post(m_context, [self = shared_from_this()] {
      asio::error_code ignored;
      self->m_acceptor.close(ignored);
      self->m_draining = true;
      for (const auto& connection : self->m_connections) {
        connection->session->GoAway();
      }
    });
  }

  void Close() {
    asio::error_code ignored;
    m_acceptor.close(ignored);
    m_accept_timer.cancel(ignored);
    for (const auto& connection : std::exchange(m_connections, {})) {
      connection->session->Close("the server stops");
    }
    m_connections_open = 0;
    m_hooks = {};
  }

 private:
  struct Connection {
    std::shared_ptr<H2Session> session;
    std::unique_ptr<asio::steady_timer> handshake_timer;
    bool authenticated = false;
    bool challenged = false;
    std::string client_nonce;
    std::string server_nonce;
    proto::Incarnation client;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  // Sends the response of one stream at most once. Thread-safe.
  class Reply {
   public:
    Reply(std::shared_ptr<Impl> server, const ConnectionPtr& connection, std::int32_t stream)
        : m_server(std::move(server)), m_connection(connection), m_stream(stream) {
      ++m_server->m_in_progress;
    }
    ~Reply() {
      if (!m_done) {
        --m_server->m_in_progress;
      }
    }
    Reply(const Reply&) = delete;
    Reply& operator=(const Reply&) = delete;

    void Send(int status, std::string head, std::string body) {
      if (m_done.exchange(true)) {
        return;
      }
      asio::dispatch(m_server->m_context, [server = m_server, connection = m_connection, stream = m_stream, status,
                                           head = std::move(head), body = std::move(body)]() mutable {
        if (const ConnectionPtr open = connection.lock()) {
          open->session->Respond(stream, status, std::move(head), std::move(body));
        }
        --server->m_in_progress;
      });
    }

   private:
    std::shared_ptr<Impl> m_server;
    std::weak_ptr<Connection> m_connection;
    std::int32_t m_stream;
    std::atomic<bool> m_done{false};
  };

  void Accept() {
    m_acceptor.async_accept([self = shared_from_this()](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (!self->m_acceptor.is_open()) {
        return;
      }
      if (error) {
        self->m_accept_timer.expires_after(kAcceptRetryDelay);
        self->m_accept_timer.async_wait([self](const asio::error_code& cancelled) {
          if (!cancelled && self->m_acceptor.is_open()) {
            self->Accept();
          }
        });
        return;
      }
      if (self->m_connections.size() < self->m_options.max_connections) {
        self->AddConnection(std::move(socket));
      }
      self->Accept();
    });
  }

  void AddConnection(asio::ip::tcp::socket socket) {
    auto connection = std::make_shared<Connection>();
    H2SessionOptions options;
    options.server = true;
    options.max_streams = m_options.max_streams;
    options.max_message_bytes = m_options.max_message_bytes;
    options.keep_alive = true;
    connection->session = std::make_shared<H2Session>(std::move(socket), options);
    connection->session->SetMessageLimit(kMaxHandshakeMessageBytes);
    connection->handshake_timer = std::make_unique<asio::steady_timer>(m_context, m_options.handshake_timeout);
    connection->handshake_timer->async_wait([weak = std::weak_ptr(connection)](const asio::error_code& error) {
      const ConnectionPtr open = weak.lock();
      if (!error && open && !open->authenticated) {
        open->session->Close("the peer did not authenticate in time");
      }
    });
    m_connections.insert(connection);
    m_connections_open = m_connections.size();
    H2SessionHooks hooks;
    hooks.on_message = [self = shared_from_this(), weak = std::weak_ptr(connection)](std::int32_t stream,
                                                                                     H2Message message) {
      if (const ConnectionPtr open = weak.lock()) {
        self->OnMessage(open, stream, std::move(message));
      }
    };
    hooks.on_closed = [self = shared_from_this(), weak = std::weak_ptr(connection)](const std::string& /*reason*/) {
      if (const ConnectionPtr open = weak.lock()) {
        asio::error_code ignored;
        open->handshake_timer->cancel(ignored);
        self->m_connections.erase(open);
        self->m_connections_open = self->m_connections.size();
      }
    };
    connection->session->Start(std::move(hooks));
    if (m_draining) {
      connection->session->GoAway();
    }
  }

  void OnMessage(const ConnectionPtr& connection, std::int32_t stream, H2Message message) {
    if (!connection->authenticated) {
      Authenticate(connection, stream, message);
      return;
    }
    auto reply = std::make_shared<Reply>(shared_from_this(), connection, stream);
    bool valid = false;
    if (message.path == kRequestPath) {
      valid = OnRequest(reply, message);
    } else if (message.path == kQueryPath) {
      valid = OnQuery(reply, message);
    } else if (message.path == kCancelPath) {
      valid = OnCancel(reply, message);
    } else if (message.path == kMessagePath) {
      valid = OnControlMessage(reply, message);
    }
    if (!valid) {
      reply->Send(kBadRequest, {}, {});
    }
  }

  // Handles the two handshake steps. Any other message before authentication closes the connection.
  void Authenticate(const ConnectionPtr& connection, std::int32_t stream, const H2Message& message) {
    if (!connection->challenged && message.path == kHelloPath) {
      proto::AuthHello hello;
      if (hello.ParseFromString(message.head) && hello.client_nonce().size() == kNonceBytes) {
        connection->challenged = true;
        connection->client_nonce = hello.client_nonce();
        connection->server_nonce = RandomNonce();
        connection->client = hello.client();
        proto::AuthChallenge challenge;
        challenge.set_server_nonce(connection->server_nonce);
        *challenge.mutable_server() = ToProto(m_options.self);
        challenge.set_proof(
            ServerProof(m_options.secret, connection->client_nonce, connection->server_nonce, challenge.server()));
        connection->session->Respond(stream, kOk, challenge.SerializeAsString(), {});
        return;
      }
    } else if (connection->challenged && message.path == kProofPath) {
      proto::AuthProof proof;
      const std::string expected = ClientProof(m_options.secret, connection->client_nonce, connection->server_nonce,
                                               connection->client, ToProto(m_options.self));
      if (proof.ParseFromString(message.head) && ConstantTimeEquals(proof.proof(), expected)) {
        connection->authenticated = true;
        connection->session->SetMessageLimit(m_options.max_message_bytes);
        asio::error_code ignored;
        connection->handshake_timer->cancel(ignored);
        connection->session->Respond(stream, kOk, {}, {});
        return;
      }
    }
    connection->session->Respond(stream, kForbidden, {}, {});
    connection->session->Close("authentication failed", true);
  }

  bool OnRequest(const std::shared_ptr<Reply>& reply, H2Message& message) {
    std::optional<ReceivedRequest> received = ParseRequest(message.head, BootClock::now());
    if (!received.has_value()) {
      return false;
    }
    const auto answer = [reply](Response response) {
      std::string head = SerializeResponse(response);
      reply->Send(kOk, std::move(head), std::move(response.body));
    };
    if (received->target != m_options.self) {
      answer(MakeRefusal(received->request.id, ErrorKind::kWrongOwner, "the request is for another incarnation"));
      return true;
    }
    if (!m_hooks.on_request) {
      answer(MakeRefusal(received->request.id, ErrorKind::kDraining, "the node serves no target"));
      return true;
    }
    received->request.body = std::move(message.body);
    m_hooks.on_request(std::move(received->request), received->attempt, answer);
    return true;
  }

  bool OnQuery(const std::shared_ptr<Reply>& reply, const H2Message& message) {
    proto::QueryRequest query;
    if (!query.ParseFromString(message.head)) {
      return false;
    }
    const RequestId id{query.id_high(), query.id_low()};
    // Another incarnation does not know the request and must not report that it was not executed.
    if (!id.IsValid() || FromProto(query.target()) != m_options.self || !m_hooks.on_query) {
      return false;
    }
    m_hooks.on_query(id, query.attempt(), [reply](Response response) {
      std::string head = SerializeResponse(response);
      reply->Send(kOk, std::move(head), std::move(response.body));
    });
    return true;
  }

  bool OnCancel(const std::shared_ptr<Reply>& reply, const H2Message& message) {
    proto::CancelRequest cancel;
    if (!cancel.ParseFromString(message.head)) {
      return false;
    }
    if (FromProto(cancel.target()) == m_options.self && m_hooks.on_cancel) {
      m_hooks.on_cancel(RequestId{cancel.id_high(), cancel.id_low()}, cancel.attempt());
    }
    reply->Send(kOk, {}, {});
    return true;
  }

  bool OnControlMessage(const std::shared_ptr<Reply>& reply, const H2Message& message) {
    proto::PeerMessage control;
    if (!control.ParseFromString(message.body) || !m_hooks.on_message) {
      return false;
    }
    m_hooks.on_message(control, [reply](const std::optional<proto::PeerMessage>& answer) {
      reply->Send(kOk, {}, answer.has_value() ? answer->SerializeAsString() : std::string());
    });
    return true;
  }

  asio::io_context& m_context;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  const PeerServerOptions m_options;
  PeerServerHooks m_hooks;
  std::unordered_set<ConnectionPtr> m_connections;
  std::atomic<std::size_t> m_in_progress{0};
  std::atomic<std::size_t> m_connections_open{0};
  std::atomic<std::uint16_t> m_port{0};
  bool m_draining = false;
};

PeerServer::PeerServer(asio::io_context& context, PeerServerOptions options, PeerServerHooks hooks)
    : m_impl(std::make_shared<Impl>(context, std::move(options), std::move(hooks))) {}

PeerServer::~PeerServer() = default;

absl::Status PeerServer::Start() {
  return m_impl->Start();
}

std::uint16_t PeerServer::Port() const {
  return m_impl->Port();
}

void PeerServer::Drain() {
  m_impl->Drain();
}

std::size_t PeerServer::InProgress() const {
  return m_impl->InProgress();
}

std::size_t PeerServer::Connections() const {
  return m_impl->Connections();
}

void PeerServer::Close() {
  m_impl->Close();
}

}  // namespace magnoliaarch
