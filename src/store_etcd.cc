// Store backend for the etcd v3 HTTP/JSON API, using libcurl.

#include <cstdint>
#include <mutex>
#include <utility>

#include <curl/curl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "magnoliaarch/store.h"

namespace magnoliaarch {
namespace {

using Json = nlohmann::json;

// gRPC status codes in etcd's error responses.
constexpr int kGrpcInvalidArgument = 3;
constexpr int kGrpcDeadlineExceeded = 4;
constexpr int kGrpcNotFound = 5;
constexpr int kGrpcFailedPrecondition = 9;
constexpr int kGrpcOutOfRange = 11;
constexpr int kGrpcUnimplemented = 12;

constexpr std::size_t kMaxAnswerBytes = 256 * 1024 * 1024;
constexpr int kWatchPollMs = 100;
// Progress notifications arrive at least once a second; a watch that receives nothing for this long is broken.
constexpr Duration kWatchIdleTimeout = std::chrono::seconds(4);

std::string EncodeBase64(const std::string& raw) {
  return absl::Base64Escape(raw);
}

std::string DecodeBase64Field(const Json& object, const char* field) {
  std::string raw;
  const auto it = object.find(field);
  if (it != object.end() && it->is_string()) {
    absl::Base64Unescape(it->get<std::string>(), &raw);
  }
  return raw;
}

// Returns an integer field, which the API encodes as a string; 0 if it is absent or invalid.
std::int64_t IntegerField(const Json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end()) {
    return 0;
  }
  std::int64_t value = 0;
  if (it->is_string()) {
    return absl::SimpleAtoi(it->get<std::string>(), &value) ? value : 0;
  }
  return it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

// Returns a member of an object, or a null value if the member is absent.
const Json& MemberOrNull(const Json& object, const char* field) {
  static const Json null_value;
  const auto it = object.find(field);
  return it == object.end() ? null_value : *it;
}

bool IsTrue(const Json& object, const char* field) {
  return MemberOrNull(object, field) == Json(true);
}

std::int64_t HeaderRevision(const Json& answer) {
  return IntegerField(MemberOrNull(answer, "header"), "revision");
}

StoreKv ToKv(const Json& kv) {
  return StoreKv{DecodeBase64Field(kv, "key"), DecodeBase64Field(kv, "value"), IntegerField(kv, "mod_revision"),
                 IntegerField(kv, "lease")};
}

// Exclusive end of the range of all keys with the prefix: the prefix with its last byte incremented. An empty prefix
// covers all keys.
std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty()) {
    if (static_cast<unsigned char>(prefix.back()) < 0xff) {
      ++prefix.back();
      return prefix;
    }
    prefix.pop_back();
  }
  return std::string(1, '\0');
}

// Converts an HTTP error response to a status.
absl::Status ErrorAnswerStatus(long http_status, const std::string& body) {
  const Json answer = Json::parse(body, nullptr, false);
  const int code = answer.is_object() && answer.contains("code") && answer["code"].is_number_integer()
                       ? answer["code"].get<int>()
                       : 0;
  const std::string message = fmt::format("store answered {}: {}", http_status, body.substr(0, 200));
  switch (code) {
    case kGrpcNotFound:
      return absl::NotFoundError(message);
    case kGrpcOutOfRange:
      return absl::OutOfRangeError(message);
    case kGrpcDeadlineExceeded:
      return absl::DeadlineExceededError(message);
    case kGrpcInvalidArgument:
    case kGrpcFailedPrecondition:
    case kGrpcUnimplemented:
      return absl::InvalidArgumentError(message);
    default:
      return absl::UnknownError(message);
  }
}

// Response body of a call, and how often libcurl sent its request.
struct Transfer {
  std::string body;
  bool idempotent = false;
  int send_count = 0;
};

std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* user) {
  Transfer* transfer = static_cast<Transfer*>(user);
  if (transfer->body.size() + size * count > kMaxAnswerBytes) {
    return 0;
  }
  transfer->body.append(data, size * count);
  return size * count;
}

// libcurl resends a request by itself when a reused connection closes before the first byte of the response. A write
// may already have been applied, so a second send of it is aborted and the call ends with kUnknown.
int BeforeSend(void* user, char*, char*, int, int) {
  Transfer* transfer = static_cast<Transfer*>(user);
  ++transfer->send_count;
  return transfer->send_count > 1 && !transfer->idempotent ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

// Received data of a watch stream that is not yet parsed.
struct WatchStream {
  std::string buffer;
  TimePoint last_data;
};

std::size_t OnWatchData(char* data, std::size_t size, std::size_t count, void* user) {
  WatchStream* stream = static_cast<WatchStream*>(user);
  if (stream->buffer.size() + size * count > kMaxAnswerBytes) {
    return 0;
  }
  stream->buffer.append(data, size * count);
  stream->last_data = BootClock::now();
  return size * count;
}

class EtcdStore : public Store {
 public:
  EtcdStore(const std::string& address, Duration timeout) : m_base_url("http://" + address), m_timeout(timeout) {
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
    m_headers = curl_slist_append(m_headers, "Content-Type: application/json");
    // Otherwise libcurl waits for "100 Continue" before it sends a large body.
    m_headers = curl_slist_append(m_headers, "Expect:");
    m_curl = curl_easy_init();
  }

  ~EtcdStore() override {
    curl_easy_cleanup(m_curl);
    curl_slist_free_all(m_headers);
  }

  EtcdStore(const EtcdStore&) = delete;
  EtcdStore& operator=(const EtcdStore&) = delete;

  absl::StatusOr<StoreRange> Range(const std::string& prefix, bool exact) override {
    Json body = {{"key", EncodeBase64(prefix)}};
    if (!exact) {
      body["range_end"] = EncodeBase64(PrefixEnd(prefix));
    }
    const absl::StatusOr<Json> answer = Post("/v3/kv/range", body, /*idempotent=*/true);
    if (!answer.ok()) {
      return answer.status();
    }
    StoreRange range;
    range.revision = HeaderRevision(*answer);
    for (const Json& kv : MemberOrNull(*answer, "kvs")) {
      range.kvs.push_back(ToKv(kv));
    }
    return range;
  }

  absl::StatusOr<StoreTxnResult> Txn(const StoreTxn& txn) override {
    Json compares = Json::array();
    for (const StoreCompare& compare : txn.compares) {
      compares.push_back(Json{{"target", "MOD"},
                              {"result", "EQUAL"},
                              {"key", EncodeBase64(compare.key)},
                              {"mod_revision", std::to_string(compare.mod_revision)}});
    }
    Json operations = Json::array();
    for (const StorePut& put : txn.puts) {
      Json request = {{"key", EncodeBase64(put.key)}, {"value", EncodeBase64(put.value)}};
      if (put.lease != 0) {
        request["lease"] = std::to_string(put.lease);
      }
      operations.push_back(Json{{"request_put", std::move(request)}});
    }
    for (const std::string& key : txn.deletes) {
      operations.push_back(Json{{"request_delete_range", {{"key", EncodeBase64(key)}}}});
    }
    const absl::StatusOr<Json> answer =
        Post("/v3/kv/txn", Json{{"compare", std::move(compares)}, {"success", std::move(operations)}}, false);
    if (!answer.ok()) {
      return answer.status();
    }
    return StoreTxnResult{IsTrue(*answer, "succeeded"), HeaderRevision(*answer)};
  }

  absl::StatusOr<std::int64_t> GrantLease(std::int64_t ttl_seconds) override {
    const absl::StatusOr<Json> answer = Post("/v3/lease/grant", Json{{"TTL", std::to_string(ttl_seconds)}}, false);
    if (!answer.ok()) {
      return answer.status();
    }
    const std::int64_t id = IntegerField(*answer, "ID");
    return id != 0 ? absl::StatusOr<std::int64_t>(id) : absl::UnknownError("the store granted a lease without an id");
  }

  absl::Status KeepLeaseAlive(std::int64_t lease) override {
    const absl::StatusOr<Json> answer = Post("/v3/lease/keepalive", Json{{"ID", std::to_string(lease)}}, true);
    if (!answer.ok()) {
      return answer.status();
    }
    return IntegerField(MemberOrNull(*answer, "result"), "TTL") > 0
               ? absl::OkStatus()
               : absl::NotFoundError(absl::StrCat("lease ", lease, " has expired"));
  }

  absl::Status RevokeLease(std::int64_t lease) override {
    return Post("/v3/lease/revoke", Json{{"ID", std::to_string(lease)}}, false).status();
  }

  absl::Status Watch(const std::string& prefix,
                     std::int64_t after_revision,
                     const std::atomic<bool>& stop,
                     const std::function<void(const StoreWatchBatch&)>& on_batch) override {
    const std::string body = Json{{"create_request",
                                   {{"key", EncodeBase64(prefix)},
                                    {"range_end", EncodeBase64(PrefixEnd(prefix))},
                                    {"start_revision", std::to_string(after_revision + 1)},
                                    {"progress_notify", true}}}}
                                 .dump();
    WatchStream stream;
    stream.last_data = BootClock::now();
    CURL* curl = curl_easy_init();
    CURLM* multi = curl_multi_init();
    Prepare(curl, "/v3/watch", body);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &OnWatchData);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &stream);
    curl_multi_add_handle(multi, curl);
    const absl::Status status = RunWatch(multi, curl, &stream, stop, on_batch);
    curl_multi_remove_handle(multi, curl);
    curl_easy_cleanup(curl);
    curl_multi_cleanup(multi);
    return status;
  }

 private:
  void Prepare(CURL* curl, const char* path, const std::string& body) {
    curl_easy_setopt(curl, CURLOPT_URL, (m_base_url + path).c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body.c_str());
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_timeout.count() / 1000));
  }

  // Converts the error of a transfer without a complete response to a status.
  static absl::Status TransferErrorStatus(CURL* curl, CURLcode code) {
    const std::string message = absl::StrCat("store: ", curl_easy_strerror(code));
    long request_bytes = 0;
    curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &request_bytes);
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
        (code == CURLE_OPERATION_TIMEDOUT && request_bytes == 0)) {
      return absl::UnavailableError(message);
    }
    return code == CURLE_OPERATION_TIMEDOUT ? absl::DeadlineExceededError(message) : absl::UnknownError(message);
  }

  absl::StatusOr<Json> Post(const char* path, const Json& request, bool idempotent) {
    Transfer transfer;
    transfer.idempotent = idempotent;
    curl_easy_reset(m_curl);
    Prepare(m_curl, path, request.dump());
    curl_easy_setopt(m_curl, CURLOPT_TIMEOUT_MS, static_cast<long>(m_timeout.count() / 1000));
    curl_easy_setopt(m_curl, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(m_curl, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(m_curl, CURLOPT_PREREQFUNCTION, &BeforeSend);
    curl_easy_setopt(m_curl, CURLOPT_PREREQDATA, &transfer);
    const CURLcode code = curl_easy_perform(m_curl);
    if (code != CURLE_OK) {
      return transfer.send_count > 1 ? absl::UnknownError("store: connection closed without a response")
                                     : TransferErrorStatus(m_curl, code);
    }
    long http_status = 0;
    curl_easy_getinfo(m_curl, CURLINFO_RESPONSE_CODE, &http_status);
    if (http_status != 200) {
      return ErrorAnswerStatus(http_status, transfer.body);
    }
    Json answer = Json::parse(transfer.body, nullptr, false);
    if (!answer.is_object()) {
      return absl::UnknownError("store: response is not a JSON object");
    }
    return answer;
  }

  static absl::Status RunWatch(CURLM* multi,
                               CURL* curl,
                               WatchStream* stream,
                               const std::atomic<bool>& stop,
                               const std::function<void(const StoreWatchBatch&)>& on_batch) {
    while (!stop.load()) {
      int running = 0;
      curl_multi_perform(multi, &running);
      std::size_t start = 0;
      for (std::size_t end = stream->buffer.find('\n'); end != std::string::npos;
           end = stream->buffer.find('\n', start)) {
        const absl::Status status = OnWatchLine(stream->buffer.substr(start, end - start), on_batch);
        if (!status.ok()) {
          return status;
        }
        start = end + 1;
      }
      stream->buffer.erase(0, start);
      if (running == 0) {
        int messages_left = 0;
        const CURLMsg* message = curl_multi_info_read(multi, &messages_left);
        if (message != nullptr && message->data.result != CURLE_OK) {
          return TransferErrorStatus(curl, message->data.result);
        }
        long http_status = 0;
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &http_status);
        return http_status == 200 ? absl::UnknownError("the store ended the watch")
                                  : ErrorAnswerStatus(http_status, stream->buffer);
      }
      if (BootClock::now() - stream->last_data > kWatchIdleTimeout) {
        return absl::DeadlineExceededError("the watch received no data in time");
      }
      curl_multi_poll(multi, nullptr, 0, kWatchPollMs, nullptr);
    }
    return absl::OkStatus();
  }

  static absl::Status OnWatchLine(const std::string& line,
                                  const std::function<void(const StoreWatchBatch&)>& on_batch) {
    const Json message = Json::parse(line, nullptr, false);
    if (!message.is_object() || !message.contains("result")) {
      return absl::UnknownError(absl::StrCat("the watch failed: ", line.substr(0, 200)));
    }
    const Json& result = message["result"];
    if (IsTrue(result, "canceled")) {
      return IntegerField(result, "compact_revision") > 0 ? absl::OutOfRangeError("the start revision is compacted")
                                                          : absl::UnknownError("the store cancelled the watch");
    }
    // The revision in the first response does not mean that all earlier changes were delivered.
    if (IsTrue(result, "created")) {
      return absl::OkStatus();
    }
    StoreWatchBatch batch;
    for (const Json& event : MemberOrNull(result, "events")) {
      batch.events.push_back(
          StoreEvent{MemberOrNull(event, "type") == Json("DELETE"), ToKv(MemberOrNull(event, "kv"))});
      // All changes of a revision arrive in one message, but the header may have a later revision.
      batch.revision = std::max(batch.revision, batch.events.back().kv.mod_revision);
    }
    if (batch.events.empty()) {
      batch.revision = HeaderRevision(result);
    }
    on_batch(batch);
    return absl::OkStatus();
  }

  const std::string m_base_url;
  const Duration m_timeout;
  CURL* m_curl = nullptr;
  curl_slist* m_headers = nullptr;
};

}  // namespace

std::unique_ptr<Store> CreateEtcdStore(const std::string& address, Duration timeout) {
  return std::make_unique<EtcdStore>(address, timeout);
}

}  // namespace magnoliaarch
