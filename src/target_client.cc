#include "target_client_p.h"

#include <curl/curl.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "http_headers_p.h"
#include "magnoliaarch/ring.h"
#include "status_line_p.h"

namespace magnoliaarch {
namespace {

constexpr Duration kMaxPollWait = std::chrono::milliseconds(100);
constexpr std::size_t kMaxPooledHandles = 256;
// Limit for the heads and trailers of one answer, including interim answers. A longer answer is treated as endless and
// aborted.
constexpr std::size_t kMaxHeadBytes = 64 << 10;
// Range of the status codes of final answers.
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kServiceUnavailable = 503;
// Headers that only this node may set. They are removed from the caller's request.
constexpr std::array<std::string_view, 6> kReservedHeaders = {"authorization", "x-request-id",  "x-deadline-ms",
                                                              "x-workspace",   "x-fence-epoch", "x-fence-slice"};
// Width, in characters, of the remaining time in the deadline header. The value is written into the header line
// immediately before the send.
constexpr int kDeadlineWidth = 12;
constexpr std::string_view kRequestIdName = "X-Request-Id";
constexpr std::string_view kDeadlineName = "X-Deadline-Ms: ";

long ToMilliseconds(Duration duration) {
  return std::max<long>(1, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string_view TrimLine(std::string_view line) {
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n' || line.back() == ' ' || line.back() == '\t')) {
    line.remove_suffix(1);
  }
  while (!line.empty() && (line.front() == ' ' || line.front() == '\t')) {
    line.remove_prefix(1);
  }
  return line;
}

bool IsSafeField(const Header& header) {
  constexpr std::string_view kForbiddenCharacters("\r\n\0", 3);
  return !header.name.empty() && header.name.find_first_of(kForbiddenCharacters) == std::string::npos &&
         header.value.find_first_of(kForbiddenCharacters) == std::string::npos;
}

// Whether the target has closed this connection.
bool IsClosedByPeer(int fd) {
  char byte = 0;
  const ssize_t bytes = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}  // namespace

bool IsShed(const Response& response) {
  return response.status == kServiceUnavailable &&
         (FindHeader(response.headers, "X-Shed") != nullptr || FindHeader(response.headers, "X-Draining") != nullptr);
}

class TargetClient::Impl {
 public:
  Impl(TargetClientOptions options, TargetClientHooks hooks)
      : m_options(std::move(options)), m_hooks(std::move(hooks)), m_tasks(m_options.task_capacity) {}

  ~Impl() {
    Stop();
    for (CURL* easy : m_pool) {
      curl_easy_cleanup(easy);
    }
    if (m_multi != nullptr) {
      curl_multi_cleanup(m_multi);
    }
  }

  absl::Status Start() {
    static const CURLcode global = curl_global_init(CURL_GLOBAL_DEFAULT);
    m_multi = global == CURLE_OK ? curl_multi_init() : nullptr;
    if (m_multi == nullptr) {
      return absl::InternalError("the HTTP client library cannot be initialised");
    }
    const long connections = static_cast<long>(m_options.max_connections);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, connections);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, connections);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    m_url = fmt::format("http://{}:{}/", m_options.ip, m_options.port);
    m_tasks.SetWake([this] { curl_multi_wakeup(m_multi); });
    m_thread = std::thread([this] {
      pthread_setname_np(pthread_self(), "egress");
      Run();
    });
    return absl::OkStatus();
  }

  void Stop() {
    m_stop = true;
    m_tasks.Close();
    if (m_thread.joinable()) {
      curl_multi_wakeup(m_multi);
      m_thread.join();
    }
  }

  bool Post(std::function<void()> task) { return m_tasks.TryPush(std::move(task)); }

  bool Send(std::uint64_t send_id, std::shared_ptr<const Request> request, std::function<void(TargetResult)> done) {
    if (m_transfers_by_send.size() >= m_options.max_outstanding || m_transfers_by_send.contains(send_id)) {
      return false;
    }
    auto transfer = std::make_unique<Transfer>();
    transfer->client = this;
    transfer->send_id = send_id;
    transfer->request = std::move(request);
    transfer->done = std::move(done);
    transfer->easy = AcquireHandle();
    SetRequestOptions(*transfer);
    m_transfers_by_send.emplace(send_id, transfer.get());
    Add(std::move(transfer));
    return true;
  }

  void Cancel(std::uint64_t send_id) {
    const auto it = m_transfers_by_send.find(send_id);
    if (it != m_transfers_by_send.end()) {
      Transfer& transfer = *it->second;
      curl_multi_remove_handle(m_multi, transfer.easy);
      TargetResult result;
      result.outcome = TargetOutcome::kCancelled;
      result.sent = transfer.sent;
      result.detail = "cancelled";
      Finish(transfer, std::move(result));
    }
  }

  void Probe(Duration timeout, std::function<void(TargetProbe)> done) {
    auto state = std::make_shared<ProbeState>();
    state->done = std::move(done);
    state->started = BootClock::now();
    StartProbe("/-/health", timeout, [state](const Transfer& transfer) {
      state->probe.health_status = transfer.response.status;
      state->probe.health = transfer.response.body;
      state->probe.latency = BootClock::now() - state->started;
    });
    StartProbe("/-/load", timeout, [state](const Transfer& transfer) {
      state->probe.load_status = transfer.response.status;
      state->probe.load = transfer.response.body;
    });
  }

  std::size_t Outstanding() const { return m_transfers_by_send.size(); }

 private:
  // Part of an answer's head that is parsed next.
  enum class HeadState { kStatusLine, kFields, kComplete };

  struct Transfer {
    Impl* client = nullptr;
    std::uint64_t send_id = 0;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    char* deadline_text = nullptr;  // points into `headers`
    std::shared_ptr<const Request> request;
    std::function<void(TargetResult)> done;
    std::function<void(const Transfer&)> probe_done;
    Response response;
    int prereq_calls = 0;
    bool sent = false;
    bool refused = false;
    bool unsafe_resend = false;  // libcurl tried to resend a request that is not idempotent
    bool too_large = false;
    bool unmatched = false;  // the answer belongs or may belong to another request
    HeadState head = HeadState::kStatusLine;
    std::size_t head_bytes = 0;
    TimePoint sent_at;
  };

  struct ProbeState {
    ~ProbeState() { done(probe); }
    TargetProbe probe;
    TimePoint started;
    std::function<void(TargetProbe)> done;
  };

  void Run() {
    while (!m_stop) {
      // Tasks added by a task wait for the next iteration, so that transfers are never starved.
      for (std::size_t left = m_tasks.Size(); left > 0; --left) {
        std::optional<std::function<void()>> task = m_tasks.TryPop();
        if (task.has_value()) {
          (*task)();
        }
      }
      const Duration wait = m_hooks.on_loop_iteration ? m_hooks.on_loop_iteration() : kMaxPollWait;
      int running = 0;
      curl_multi_perform(m_multi, &running);
      if (ProcessCompleted()) {
        continue;
      }
      if (m_tasks.Size() != 0) {
        continue;
      }
      const Duration bounded = std::clamp(wait, Duration::zero(), kMaxPollWait);
      curl_multi_poll(m_multi, nullptr, 0,
                      static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(bounded).count()), nullptr);
    }
    while (!m_transfers_by_send.empty()) {
      Cancel(m_transfers_by_send.begin()->first);
    }
    while (!m_transfers.empty()) {
      Transfer& transfer = *m_transfers.begin()->second;
      curl_multi_remove_handle(m_multi, transfer.easy);
      Release(transfer);
    }
  }

  // Handles the finished transfers. Returns whether there were any.
  bool ProcessCompleted() {
    bool any = false;
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      any = true;
      const CURLcode code = message->data.result;
      char* private_data = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &private_data);
      Transfer& transfer = *reinterpret_cast<Transfer*>(private_data);
      curl_multi_remove_handle(m_multi, transfer.easy);
      if (transfer.probe_done) {
        if (code == CURLE_OK && IsComplete(transfer)) {
          transfer.probe_done(transfer);
        }
        Release(transfer);
      } else {
        Finish(transfer, ToResult(transfer, code));
      }
    }
    return any;
  }

  // libcurl also reports success if the connection was closed within the head.
  static bool IsComplete(const Transfer& transfer) {
    return transfer.head == HeadState::kComplete && transfer.response.status <= kLastStatus;
  }

  TargetResult ToResult(Transfer& transfer, CURLcode code) {
    TargetResult result;
    result.sent = transfer.sent;
    if (code == CURLE_OK && transfer.sent && IsComplete(transfer)) {
      result.outcome = TargetOutcome::kAnswered;
      result.latency = BootClock::now() - transfer.sent_at;
      result.response = std::move(transfer.response);
      result.response.id = transfer.request->id;
      result.response.run_state = RunState::kRan;
      return result;
    }
    result.detail = code == CURLE_OK ? "the answer has no complete head or no valid status" : curl_easy_strerror(code);
    if (transfer.too_large) {
      result.detail = "the answer is too large";
    } else if (transfer.unmatched) {
      result.detail = "the answer is not known to belong to the request";
    } else if (transfer.unsafe_resend) {
      result.detail = "the connection ended under a request that may run only once";
    }
    if (transfer.sent) {
      result.outcome =
          code == CURLE_OPERATION_TIMEDOUT ? TargetOutcome::kTimedOutAfterSend : TargetOutcome::kBrokenAfterSend;
    } else if (transfer.refused) {
      result.outcome = TargetOutcome::kRefused;
      result.detail = "refused before the send";
    } else if (BootClock::now() >= transfer.request->deadline) {
      result.outcome = TargetOutcome::kTimedOutBeforeSend;
    } else {
      result.outcome = TargetOutcome::kConnectFailed;
    }
    return result;
  }

  void Finish(Transfer& transfer, TargetResult result) {
    const auto done = std::move(transfer.done);
    m_transfers_by_send.erase(transfer.send_id);
    Release(transfer);
    done(std::move(result));
  }

  void Add(std::unique_ptr<Transfer> transfer) {
    CURL* easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    m_transfers.emplace(easy, std::move(transfer));
    curl_multi_add_handle(m_multi, easy);
  }

  void Release(Transfer& transfer) {
    CURL* easy = transfer.easy;
    curl_slist_free_all(transfer.headers);
    m_transfers.erase(easy);
    if (m_pool.size() < kMaxPooledHandles) {
      m_pool.push_back(easy);
    } else {
      curl_easy_cleanup(easy);
    }
  }

  // Returns a pooled or new handle with the settings that all requests share.
  CURL* AcquireHandle() {
    if (!m_pool.empty()) {
      CURL* easy = m_pool.back();
      m_pool.pop_back();
      return easy;
    }
    CURL* easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, m_url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(std::chrono::duration_cast<std::chrono::seconds>(m_options.max_idle).count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ToMilliseconds(m_options.connect_timeout));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnPrereq);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &OnOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    return easy;
  }

  void StartProbe(const char* path, Duration timeout, std::function<void(const Transfer&)> done) {
    auto transfer = std::make_unique<Transfer>();
    transfer->client = this;
    transfer->probe_done = std::move(done);
    transfer->easy = AcquireHandle();
    CURL* easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, nullptr);
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, path);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToMilliseconds(timeout));
    Add(std::move(transfer));
  }

  void SetRequestOptions(Transfer& transfer) {
    const Request& request = *transfer.request;
    CURL* easy = transfer.easy;
    const bool head = request.method == "HEAD";
    const bool body =
        !request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request.path.c_str());
    curl_easy_setopt(easy, CURLOPT_NOBODY, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    if (head) {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, nullptr);
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else {
      if (body) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
      }
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToMilliseconds(request.deadline - BootClock::now()));
    SetHeaders(transfer, body);
  }

  void SetHeaders(Transfer& transfer, bool body) {
    const Request& request = *transfer.request;
    curl_slist* list = nullptr;
    const auto append = [&list](const std::string& line) { list = curl_slist_append(list, line.c_str()); };
    std::vector<Header> headers = request.headers;
    RemoveHopByHop(&headers);
    for (const std::string_view reserved : kReservedHeaders) {
      RemoveHeader(&headers, reserved);
    }
    for (const Header& header : headers) {
      if (IsSafeField(header)) {
        // For a line that ends in a semicolon, libcurl sends a header field without a value.
        append(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
      }
    }
    // Suppresses the header fields that libcurl adds by default.
    append("Expect:");
    if (FindHeader(headers, "accept") == nullptr) {
      append("Accept:");
    }
    if (body && FindHeader(headers, "content-type") == nullptr) {
      append("Content-Type:");
    }
    append(std::string(kRequestIdName) + ": " + request.id.ToString());
    if (!request.workspace.empty()) {
      append("X-Workspace: " + request.workspace);
    }
    if (request.keyed) {
      append("X-Fence-Epoch: " + std::to_string(request.epoch));
      append("X-Fence-Slice: " + std::to_string(request.slice.index));
    }
    append(std::string(kDeadlineName) + std::string(kDeadlineWidth, '0'));
    curl_slist* last = list;
    while (last->next != nullptr) {
      last = last->next;
    }
    transfer.deadline_text = last->data + kDeadlineName.size();
    transfer.headers = list;
  }

  static int OnPrereq(void* data, char* /*ip*/, char* /*local_ip*/, int /*port*/, int /*local_port*/) {
    Transfer& transfer = *static_cast<Transfer*>(data);
    if (transfer.probe_done) {
      return CURL_PREREQFUNC_OK;
    }
    // libcurl resends a request by itself if a keep-alive connection turns out to be closed, but the target may already
    // have received the first copy.
    if (transfer.prereq_calls++ > 0 && !transfer.request->idempotent) {
      transfer.unsafe_resend = true;
      return CURL_PREREQFUNC_ABORT;
    }
    const TimePoint now = BootClock::now();
    const long left = std::chrono::duration_cast<std::chrono::milliseconds>(transfer.request->deadline - now).count();
    const auto& may_send = transfer.client->m_hooks.may_send;
    if (left <= 0 || (may_send && !may_send(transfer.send_id, *transfer.request))) {
      transfer.refused = left > 0;
      return CURL_PREREQFUNC_ABORT;
    }
    std::array<char, kDeadlineWidth + 1> text{};
    std::snprintf(text.data(), text.size(), "%*ld", kDeadlineWidth, std::min(left, 99999999999L));
    std::memcpy(transfer.deadline_text, text.data(), kDeadlineWidth);
    transfer.sent = true;
    transfer.sent_at = now;
    transfer.head = HeadState::kStatusLine;
    transfer.head_bytes = 0;
    return CURL_PREREQFUNC_OK;
  }

  // A target may repeat an earlier answer on a keep-alive connection. The request id reveals this. A refusal without an
  // id must not be taken as proof that this request was not executed.
  static bool MatchesRequest(const Transfer& transfer) {
    const std::string* id = FindHeader(transfer.response.headers, kRequestIdName);
    if (id != nullptr) {
      return transfer.request != nullptr && *id == transfer.request->id.ToString();
    }
    long connects = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_NUM_CONNECTS, &connects);
    return connects != 0 || !IsShed(transfer.response);
  }

  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* user) {
    Transfer& transfer = *static_cast<Transfer*>(user);
    transfer.head_bytes += size * count;
    if (transfer.head_bytes > kMaxHeadBytes) {
      transfer.too_large = true;
      return 0;  // closes the connection
    }
    const std::string_view line = TrimLine(std::string_view(data, size * count));
    switch (transfer.head) {
      case HeadState::kStatusLine: {
        const std::size_t space = line.find(' ');
        bool valid = true;
        StatusLineCheck().Take(line.data(), line.size(), &valid);
        transfer.response.status = !valid || space == std::string_view::npos ? 0 : std::atoi(line.data() + space + 1);
        transfer.response.headers.clear();
        transfer.head = HeadState::kFields;
        break;
      }
      case HeadState::kFields:
        if (line.empty()) {
          // An interim answer is followed by another head.
          transfer.head = transfer.response.status >= kFirstFinalStatus ? HeadState::kComplete : HeadState::kStatusLine;
          transfer.unmatched = transfer.head == HeadState::kComplete && !MatchesRequest(transfer);
          if (transfer.unmatched) {
            return 0;  // closes the connection
          }
        } else if (const std::size_t colon = line.find(':'); colon != std::string_view::npos) {
          transfer.response.headers.push_back(
              Header{std::string(line.substr(0, colon)), std::string(TrimLine(line.substr(colon + 1)))});
        }
        break;
      case HeadState::kComplete:
        break;  // trailers
    }
    return size * count;
  }

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* user) {
    Transfer& transfer = *static_cast<Transfer*>(user);
    if (transfer.response.body.size() + size * count > transfer.client->m_options.max_answer_bytes) {
      transfer.too_large = true;
      return 0;
    }
    transfer.response.body.append(data, size * count);
    return size * count;
  }

  static curl_socket_t OnOpenSocket(void* user, curlsocktype /*purpose*/, curl_sockaddr* address) {
    Impl& self = *static_cast<Impl*>(user);
    const bool any_open =
        std::any_of(self.m_sockets.begin(), self.m_sockets.end(), [](int fd) { return !IsClosedByPeer(fd); });
    const bool reconnect = self.m_connected_before && !any_open;
    self.m_connected_before = true;
    const int fd = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (fd < 0) {
      return CURL_SOCKET_BAD;
    }
    if (self.m_hooks.on_new_connection) {
      self.m_hooks.on_new_connection(reconnect);
    }
    self.m_sockets.insert(fd);
    return fd;
  }

  static int OnCloseSocket(void* user, curl_socket_t fd) {
    static_cast<Impl*>(user)->m_sockets.erase(fd);
    return close(fd);
  }

  const TargetClientOptions m_options;
  const TargetClientHooks m_hooks;
  BoundedRing<std::function<void()>> m_tasks;
  std::atomic<bool> m_stop{false};
  CURLM* m_multi = nullptr;
  std::string m_url;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_transfers;
  std::unordered_map<std::uint64_t, Transfer*> m_transfers_by_send;
  std::vector<CURL*> m_pool;
  std::unordered_set<int> m_sockets;
  bool m_connected_before = false;
  std::thread m_thread;
};

TargetClient::TargetClient(TargetClientOptions options, TargetClientHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

TargetClient::~TargetClient() = default;

absl::Status TargetClient::Start() {
  return m_impl->Start();
}

void TargetClient::Stop() {
  m_impl->Stop();
}

bool TargetClient::Post(std::function<void()> task) {
  return m_impl->Post(std::move(task));
}

bool TargetClient::Send(std::uint64_t send_id,
                        std::shared_ptr<const Request> request,
                        std::function<void(TargetResult)> done) {
  return m_impl->Send(send_id, std::move(request), std::move(done));
}

void TargetClient::Cancel(std::uint64_t send_id) {
  m_impl->Cancel(send_id);
}

void TargetClient::Probe(Duration timeout, std::function<void(TargetProbe)> done) {
  m_impl->Probe(timeout, std::move(done));
}

std::size_t TargetClient::Outstanding() const {
  return m_impl->Outstanding();
}

}  // namespace magnoliaarch
