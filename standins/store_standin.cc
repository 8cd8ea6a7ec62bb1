// Test program: a key-value store with compare-and-swap, leases, watches and fault injection. It serves two APIs: a
// subset of the etcd v3 HTTP/JSON API, and the key-value API that the backend in platform/ uses (/api/kv-*).

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>

#include <gflags/gflags.h>
#include "absl/strings/escaping.h"
#include "standin_http_p.h"

DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_int64(era, 0, "era that the answers of the key-value API state; 0: none. Others allow the fault roll_back_ms");
DEFINE_uint32(progress_ms, 500, "time between progress notifications of a quiet watch");

namespace magnoliaarch::standin {
namespace {

// gRPC status codes in etcd's error responses.
constexpr int kGrpcInvalidArgument = 3;
constexpr int kGrpcNotFound = 5;
constexpr int kGrpcUnimplemented = 12;
constexpr auto kPeriodicTaskInterval = std::chrono::milliseconds(20);

// Error response to a call.
struct ApiError : std::runtime_error {
  ApiError(int http_status, int code, const std::string& message)
      : std::runtime_error(message), status(http_status), grpc_code(code) {}
  int status;
  int grpc_code;
};

std::string EncodeBase64(const std::string& raw) {
  return absl::Base64Escape(raw);
}

// Returns the decoded bytes of a base64 field; empty if it is absent.
std::string DecodeBase64Field(const Json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end()) {
    return {};
  }
  std::string raw;
  if (!it->is_string() || !absl::Base64Unescape(it->get<std::string>(), &raw)) {
    throw ApiError(400, kGrpcInvalidArgument, std::string("field is not base64: ") + field);
  }
  return raw;
}

// Returns an integer field, which JSON clients may send as a string; 0 if it is absent.
std::int64_t IntegerField(const Json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end()) {
    return 0;
  }
  return it->is_string() ? std::stoll(it->get<std::string>()) : it->get<std::int64_t>();
}

struct StoredValue {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

struct Event {
  std::int64_t revision = 0;
  bool deleted = false;
  std::string key;
  StoredValue value;
};

struct Lease {
  std::chrono::milliseconds ttl{0};
  std::chrono::steady_clock::time_point expires;
  std::set<std::string> keys;
};

// A long-poll watch of the key-value API: one response at the first change or when the wait time ends.
struct LongPoll {
  RequestHandle request;
  std::string prefix;
  std::int64_t after = 0;
  std::chrono::steady_clock::time_point until;
};

// Content of the store at a point in time, from which it can come back.
struct Snapshot {
  std::chrono::steady_clock::time_point taken_at;
  std::int64_t revision = 0;
  std::int64_t last_lease = 0;
  std::map<std::string, StoredValue> keys;
  std::map<std::int64_t, Lease> leases;
};

// A write of the operator, which it makes again if the store loses it.
struct OperatorWrite {
  std::chrono::steady_clock::time_point at;
  std::string key;
  std::optional<std::string> value;
};

struct Watcher {
  std::string key;
  std::string range_end;
  std::int64_t next_revision = 0;
  std::optional<restinio::response_builder_t<restinio::chunked_output_t>> response;
  std::chrono::steady_clock::time_point last_sent;
  bool broken = false;
};

// Whether the key is in [first, range_end); an empty range_end stands for the single key `first`.
bool InRange(const std::string& key, const std::string& first, const std::string& range_end) {
  return range_end.empty() ? key == first : key >= first && (range_end == std::string(1, '\0') || key < range_end);
}

Json ToJson(const std::string& key, const StoredValue& value) {
  Json kv = {{"key", EncodeBase64(key)},
             {"value", EncodeBase64(value.value)},
             {"create_revision", std::to_string(value.create_revision)},
             {"mod_revision", std::to_string(value.mod_revision)},
             {"version", std::to_string(value.version)}};
  if (value.lease != 0) {
    kv["lease"] = std::to_string(value.lease);
  }
  return kv;
}

class StoreStandin {
 public:
  explicit StoreStandin(asio::io_context& io) : m_io(io), m_timer(io) { RunPeriodicTasks(); }

  void Handle(const RequestHandle& request) {
    const std::string path(request->header().path());
    try {
      if (path == "/-/put") {
        // Lets a test write a key directly, as an operator would.
        const Json put = Json::parse(request->body());
        OperatorWrite write{std::chrono::steady_clock::now(), put.at("key").get<std::string>(), std::nullopt};
        if (put.contains("value")) {
          write.value = put.at("value").get<std::string>();
        }
        WriteAsOperator(write);
        SendJson(request, 200, Json{{"revision", m_revision}});
      } else if (path == "/-/fault") {
        SetFault(Json::parse(request->body()));
        SendJson(request, 200, Json::object());
      } else if (path == "/-/stats") {
        Json stats = m_calls;
        stats["open_watches"] = m_watchers.size();
        stats["revision"] = m_revision;
        stats["keys"] = m_keys.size();
        SendJson(request, 200, stats);
      } else {
        RunAfter(m_io, m_delay + TakeHold(path), [this, request, path] { Serve(request, path); });
      }
    } catch (const std::exception& e) {
      SendJson(request, 400, Json{{"error", e.what()}, {"code", kGrpcInvalidArgument}, {"message", e.what()}});
    }
  }

 private:
  void WriteAsOperator(const OperatorWrite& write) {
    ++m_revision;
    if (write.value) {
      Put(write.key, *write.value, 0);
    } else {
      Delete(write.key);
    }
    m_operator_writes.push_back(write);
    NotifyWatchers();
  }

  // Time for which the next transactions stay under way, so that they arrive in a later era.
  std::chrono::milliseconds TakeHold(const std::string& path) {
    if (m_held_txns == 0 || path != "/api/kv-txn") {
      return std::chrono::milliseconds(0);
    }
    --m_held_txns;
    return m_hold;
  }

  // Comes back from the newest copy that is at least this old. Leases have paused since the copy was made. The operator
  // writes again what was lost, after `rewrite_after`.
  void RollBack(std::chrono::milliseconds age, std::chrono::milliseconds rewrite_after) {
    const auto now = std::chrono::steady_clock::now();
    while (m_snapshots.size() > 1 && m_snapshots.back().taken_at > now - age) {
      m_snapshots.pop_back();
    }
    if (m_snapshots.empty()) {
      return;
    }
    const Snapshot& copy = m_snapshots.back();
    ++m_era;
    m_revision = copy.revision;
    m_last_lease = copy.last_lease;
    m_keys = copy.keys;
    m_leases = copy.leases;
    for (auto& [id, lease] : m_leases) {
      lease.expires += now - copy.taken_at;
    }
    while (!m_events.empty() && m_events.back().revision > m_revision) {
      m_events.pop_back();
    }
    for (LongPoll& poll : m_long_polls) {
      DropConnection(poll.request);
    }
    m_long_polls.clear();
    std::vector<OperatorWrite> lost;
    for (const OperatorWrite& write : m_operator_writes) {
      if (write.at > copy.taken_at) {
        lost.push_back(write);
      }
    }
    RunAfter(m_io, rewrite_after, [this, lost, now] {
      for (OperatorWrite write : lost) {
        const bool is_replaced =
            std::any_of(m_operator_writes.begin(), m_operator_writes.end(),
                        [&](const OperatorWrite& later) { return later.key == write.key && later.at > now; });
        if (!is_replaced) {
          write.at = now;
          WriteAsOperator(write);
        }
      }
    });
  }

  void TakeSnapshot(std::chrono::steady_clock::time_point now) {
    constexpr auto kSnapshotInterval = std::chrono::milliseconds(100);
    constexpr std::size_t kMaxSnapshots = 300;
    if (m_era == 0 || (!m_snapshots.empty() && now - m_snapshots.back().taken_at < kSnapshotInterval)) {
      return;
    }
    m_snapshots.push_back(Snapshot{now, m_revision, m_last_lease, m_keys, m_leases});
    if (m_snapshots.size() > kMaxSnapshots) {
      m_snapshots.pop_front();
    }
  }

  // Answers a call of the key-value API.
  void SendKvAnswer(const RequestHandle& request, int status, const Json& body) const {
    SendJson(request, status, body,
             m_era > 0 ? std::pair<std::string, std::string>("Store-Era", std::to_string(m_era))
                       : std::pair<std::string, std::string>());
  }

  void SetFault(const Json& fault) {
    if (fault.contains("hold_txns")) {
      m_held_txns = fault["hold_txns"].get<int>();
      m_hold = std::chrono::milliseconds(fault["hold_ms"].get<std::int64_t>());
    }
    if (fault.contains("roll_back_ms")) {
      RollBack(std::chrono::milliseconds(fault["roll_back_ms"].get<std::int64_t>()),
               std::chrono::milliseconds(fault.value("rewrite_after_ms", std::int64_t{300})));
    }
    if (fault.contains("delay_ms")) {
      m_delay = std::chrono::milliseconds(fault["delay_ms"].get<std::int64_t>());
    }
    if (fault.contains("lose_answers")) {
      m_lose_answers = fault["lose_answers"].get<int>();
    }
    if (fault.value("compact", false)) {
      m_events.clear();
      m_compacted = m_revision;
    }
    if (fault.contains("silent")) {
      m_silent = fault["silent"].get<bool>();
      for (LongPoll& poll : m_long_polls) {
        m_unanswered.push_back(poll.request);
      }
      m_long_polls.clear();
    }
    if (fault.contains("down")) {
      m_down = fault["down"].get<bool>();
      if (m_down) {
        for (Watcher& watcher : m_watchers) {
          watcher.response->done();
        }
        m_watchers.clear();
        for (LongPoll& poll : m_long_polls) {
          DropConnection(poll.request);
        }
        m_long_polls.clear();
      }
    }
  }

  void Serve(const RequestHandle& request, const std::string& path) {
    if (m_silent) {
      // The request is never answered, even after the fault ends, as on a connection that delivers nothing any more.
      m_unanswered.push_back(request);
      return;
    }
    if (m_down) {
      DropConnection(request);
      return;
    }
    try {
      const Json body = request->body().empty() ? Json::object() : Json::parse(request->body());
      if (path.starts_with("/api/kv-")) {
        ServeKvApi(request, path, body);
        return;
      }
      if (path == "/v3/watch") {
        Count("watch");
        StartWatch(request, body.at("create_request"));
        return;
      }
      bool writes = false;
      const Json answer = Call(path, body, &writes);
      if (writes) {
        NotifyWatchers();
        if (m_lose_answers > 0) {
          --m_lose_answers;
          DropConnection(request);
          return;
        }
      }
      SendJson(request, 200, answer);
    } catch (const ApiError& error) {
      SendJson(request, error.status,
               Json{{"error", error.what()}, {"code", error.grpc_code}, {"message", error.what()}});
    } catch (const std::exception& e) {
      SendJson(request, 400, Json{{"error", e.what()}, {"code", kGrpcInvalidArgument}, {"message", e.what()}});
    }
  }

  // ---- Key-value API of the platform backend ----

  void ServeKvApi(const RequestHandle& request, const std::string& path, const Json& body) {
    const auto query = restinio::parse_query<restinio::parse_query_traits::relaxed>(request->header().query());
    const auto number = [&query](const char* name) {
      return query.has(name) ? std::stoll(std::string(query[name])) : 0;
    };
    const std::string prefix = query.has("path_prefix") ? std::string(query["path_prefix"]) : std::string();
    constexpr std::string_view kKeepAlivePath = "/api/kv-keep/";
    constexpr std::string_view kLeaseEndPath = "/api/kv-lease-end/";
    if (path == "/api/kv-watch") {
      Count("watch");
      StartLongPoll(LongPoll{request, prefix, number("after"),
                             std::chrono::steady_clock::now() + std::chrono::milliseconds(number("wait_ms"))});
    } else if (path == "/api/kv-range") {
      Count("range");
      Json items = Json::array();
      for (auto it = m_keys.lower_bound(prefix); it != m_keys.end() && it->first.starts_with(prefix); ++it) {
        items.push_back(KvApiItem(it->first, it->second));
      }
      SendKvAnswer(request, 200, Json{{"items", std::move(items)}, {"more_pages", false}, {"current_rev", m_revision}});
    } else if (path == "/api/kv-txn") {
      Count("txn");
      KvApiTxn(request, body);
    } else if (path == "/api/kv-lease") {
      Count("lease_grant");
      const std::chrono::milliseconds ttl(body.at("ttl_ms").get<std::int64_t>());
      m_leases[++m_last_lease] = Lease{ttl, std::chrono::steady_clock::now() + ttl, {}};
      SendKvAnswer(request, 200, Json{{"lease", m_last_lease}, {"ttl_ms", ttl.count()}});
    } else if (path.starts_with(kKeepAlivePath) || path.starts_with(kLeaseEndPath)) {
      const bool keep = path.starts_with(kKeepAlivePath);
      Count(keep ? "lease_keepalive" : "lease_revoke");
      const auto lease = m_leases.find(std::stoll(path.substr(keep ? kKeepAlivePath.size() : kLeaseEndPath.size())));
      if (lease == m_leases.end()) {
        SendKvAnswer(request, 404, Json::object());
        return;
      }
      if (keep) {
        lease->second.expires = std::chrono::steady_clock::now() + lease->second.ttl;
      } else {
        EndLease(lease->first);
        NotifyWatchers();
      }
      SendKvAnswer(request, 200, Json::object());
    } else {
      SendKvAnswer(request, 404, Json::object());
    }
  }

  static Json KvApiItem(const std::string& key, const StoredValue& value) {
    return Json{{"key", key},
                {"value", EncodeBase64(value.value)},
                {"revision", value.mod_revision},
                {"created", value.create_revision},
                {"lease", value.lease}};
  }

  void KvApiTxn(const RequestHandle& request, const Json& body) {
    Json found = Json::array();
    bool conditions_hold = true;
    for (const Json& row : body.at("precondition")) {
      const auto it = m_keys.find(row.at("key").get<std::string>());
      conditions_hold = conditions_hold &&
                        row.at("revision").get<std::int64_t>() == (it == m_keys.end() ? 0 : it->second.mod_revision);
      if (it != m_keys.end()) {
        found.push_back(KvApiItem(it->first, it->second));
      }
    }
    if (!conditions_hold) {
      SendKvAnswer(request, 412, Json{{"items", found}, {"current_rev", m_revision}});
      return;
    }
    for (const Json& write : body.at("writes")) {
      const auto lease = write.value("lease", std::int64_t{0});
      if (lease != 0 && !m_leases.contains(lease)) {
        SendKvAnswer(request, 404, Json::object());
        return;
      }
    }
    ++m_revision;
    for (const Json& write : body.at("writes")) {
      Put(write.at("key").get<std::string>(), DecodeBase64Field(write, "value"), write.value("lease", std::int64_t{0}));
    }
    for (const Json& key : body.at("remove")) {
      if (m_keys.contains(key.get<std::string>())) {
        Delete(key.get<std::string>());
      }
    }
    NotifyWatchers();
    if (m_lose_answers > 0) {
      --m_lose_answers;
      DropConnection(request);
      return;
    }
    SendKvAnswer(request, 200, Json{{"revision", m_revision}});
  }

  void StartLongPoll(LongPoll poll) {
    if (poll.after < m_compacted || poll.after > m_revision) {
      SendKvAnswer(poll.request, 410, Json::object());
      return;
    }
    m_long_polls.push_back(std::move(poll));
    AnswerLongPolls();
  }

  void AnswerLongPolls() {
    const auto now = std::chrono::steady_clock::now();
    m_long_polls.remove_if([&](const LongPoll& poll) {
      Json events = Json::array();
      for (const Event& event : m_events) {
        if (event.revision <= poll.after || !event.key.starts_with(poll.prefix)) {
          continue;
        }
        events.push_back(event.deleted ? Json{{"key", event.key}, {"revision", event.revision}, {"removed", true}}
                                       : KvApiItem(event.key, event.value));
      }
      if (events.empty() && now < poll.until) {
        return false;
      }
      SendKvAnswer(poll.request, 200, Json{{"events", std::move(events)}, {"current_rev", m_revision}});
      return true;
    });
  }

  // ---- etcd API ----

  Json Call(const std::string& path, const Json& body, bool* writes) {
    if (path == "/v3/kv/range") {
      Count("range");
      return Range(body);
    }
    if (path == "/v3/kv/txn") {
      Count("txn");
      *writes = true;
      return Txn(body);
    }
    if (path == "/v3/kv/put") {
      Count("put");
      *writes = true;
      CheckLeases(Json::array({Json{{"request_put", body}}}));
      return Apply(Json::array({Json{{"request_put", body}}}))[0]["response_put"];
    }
    if (path == "/v3/kv/deleterange") {
      Count("delete");
      *writes = true;
      return Apply(Json::array({Json{{"request_delete_range", body}}}))[0]["response_delete_range"];
    }
    if (path == "/v3/lease/grant") {
      Count("lease_grant");
      return GrantLease(body);
    }
    if (path == "/v3/lease/keepalive") {
      Count("lease_keepalive");
      return KeepAlive(body);
    }
    if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
      Count("lease_revoke");
      *writes = true;
      const std::int64_t id = IntegerField(body, "ID");
      if (!m_leases.contains(id)) {
        throw ApiError(404, kGrpcNotFound, "etcdserver: requested lease not found");
      }
      EndLease(id);
      return Json{{"header", Header()}};
    }
    throw ApiError(404, kGrpcUnimplemented, "not served by the stand-in: " + path);
  }

  void Count(const char* kind) { m_calls[kind] = m_calls.value(kind, 0) + 1; }

  Json Header() const { return Json{{"revision", std::to_string(m_revision)}}; }

  Json Range(const Json& body) const {
    const std::string first = DecodeBase64Field(body, "key");
    const std::string range_end = DecodeBase64Field(body, "range_end");
    Json kvs = Json::array();
    for (auto it = m_keys.lower_bound(first); it != m_keys.end() && InRange(it->first, first, range_end); ++it) {
      kvs.push_back(ToJson(it->first, it->second));
    }
    Json answer = {{"header", Header()}, {"count", std::to_string(kvs.size())}};
    if (!kvs.empty()) {
      answer["kvs"] = std::move(kvs);
    }
    return answer;
  }

  Json Txn(const Json& body) {
    bool conditions_hold = true;
    for (const Json& compare : body.value("compare", Json::array())) {
      if (compare.value("target", "VERSION") != "MOD" || compare.value("result", "EQUAL") != "EQUAL") {
        throw ApiError(400, kGrpcInvalidArgument, "the stand-in compares modification revisions for equality only");
      }
      const auto it = m_keys.find(DecodeBase64Field(compare, "key"));
      conditions_hold = conditions_hold &&
                        IntegerField(compare, "mod_revision") == (it == m_keys.end() ? 0 : it->second.mod_revision);
    }
    const Json operations = body.value(conditions_hold ? "success" : "failure", Json::array());
    CheckLeases(operations);
    Json answer = {{"responses", Apply(operations)}, {"header", Header()}};
    if (conditions_hold) {
      answer["succeeded"] = true;
    }
    return answer;
  }

  // Rejects the whole transaction if one of its leases has expired.
  void CheckLeases(const Json& operations) const {
    for (const Json& operation : operations) {
      if (operation.contains("request_put")) {
        const std::int64_t lease = IntegerField(operation["request_put"], "lease");
        if (lease != 0 && !m_leases.contains(lease)) {
          throw ApiError(404, kGrpcNotFound, "etcdserver: requested lease not found");
        }
      }
    }
  }

  // Applies all operations at one new revision.
  Json Apply(const Json& operations) {
    const std::int64_t revision = m_revision + 1;
    Json responses = Json::array();
    for (const Json& operation : operations) {
      if (operation.contains("request_put")) {
        const Json& put = operation["request_put"];
        m_revision = revision;
        Put(DecodeBase64Field(put, "key"), DecodeBase64Field(put, "value"), IntegerField(put, "lease"));
        responses.push_back(Json{{"response_put", {{"header", Header()}}}});
      } else if (operation.contains("request_delete_range")) {
        const Json& range = operation["request_delete_range"];
        const std::string first = DecodeBase64Field(range, "key");
        const std::string range_end = DecodeBase64Field(range, "range_end");
        int deleted = 0;
        for (auto it = m_keys.lower_bound(first); it != m_keys.end() && InRange(it->first, first, range_end);) {
          m_revision = revision;
          const std::string key = (it++)->first;
          Delete(key);
          ++deleted;
        }
        responses.push_back(
            Json{{"response_delete_range", {{"header", Header()}, {"deleted", std::to_string(deleted)}}}});
      } else if (operation.contains("request_range")) {
        responses.push_back(Json{{"response_range", Range(operation["request_range"])}});
      } else {
        throw ApiError(400, kGrpcInvalidArgument, "operation not served by the stand-in");
      }
    }
    return responses;
  }

  void Put(const std::string& key, const std::string& value, std::int64_t lease) {
    StoredValue& stored = m_keys[key];
    if (stored.lease != 0 && stored.lease != lease) {
      m_leases[stored.lease].keys.erase(key);
    }
    if (stored.create_revision == 0) {
      stored.create_revision = m_revision;
    }
    stored.value = value;
    stored.mod_revision = m_revision;
    stored.version += 1;
    stored.lease = lease;
    if (lease != 0) {
      m_leases[lease].keys.insert(key);
    }
    m_events.push_back(Event{m_revision, false, key, stored});
  }

  void Delete(const std::string& key) {
    const auto it = m_keys.find(key);
    if (it == m_keys.end()) {
      return;  // deleting a missing key has no effect
    }
    if (it->second.lease != 0) {
      m_leases[it->second.lease].keys.erase(key);
    }
    m_keys.erase(it);
    Event event;
    event.revision = m_revision;
    event.deleted = true;
    event.key = key;
    event.value.mod_revision = m_revision;
    m_events.push_back(event);
  }

  Json GrantLease(const Json& body) {
    const std::int64_t ttl = IntegerField(body, "TTL");
    if (ttl <= 0) {
      throw ApiError(400, kGrpcInvalidArgument, "etcdserver: lease TTL must be positive");
    }
    const std::int64_t id = IntegerField(body, "ID") != 0 ? IntegerField(body, "ID") : ++m_last_lease;
    m_leases[id] = Lease{std::chrono::seconds(ttl), std::chrono::steady_clock::now() + std::chrono::seconds(ttl), {}};
    return Json{{"header", Header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}};
  }

  Json KeepAlive(const Json& body) {
    const std::int64_t id = IntegerField(body, "ID");
    Json result = {{"header", Header()}, {"ID", std::to_string(id)}};
    const auto it = m_leases.find(id);
    if (it != m_leases.end()) {
      it->second.expires = std::chrono::steady_clock::now() + it->second.ttl;
      result["TTL"] = std::to_string(std::chrono::duration_cast<std::chrono::seconds>(it->second.ttl).count());
    }
    return Json{{"result", result}};
  }

  void EndLease(std::int64_t id) {
    const std::set<std::string> keys = m_leases[id].keys;
    if (!keys.empty()) {
      ++m_revision;
    }
    for (const std::string& key : keys) {
      Delete(key);
    }
    m_leases.erase(id);
  }

  void StartWatch(const RequestHandle& request, const Json& create) {
    Watcher watcher;
    watcher.key = DecodeBase64Field(create, "key");
    watcher.range_end = DecodeBase64Field(create, "range_end");
    const std::int64_t start = IntegerField(create, "start_revision");
    watcher.next_revision = start == 0 ? m_revision + 1 : start;
    watcher.response.emplace(request->create_response<restinio::chunked_output_t>());
    watcher.response->append_header("Content-Type", "application/json");
    if (watcher.next_revision <= m_compacted) {
      Send(&watcher, Json{{"header", Header()}, {"canceled", true}, {"compact_revision", std::to_string(m_compacted)}});
      watcher.response->done();
      return;
    }
    Send(&watcher, Json{{"header", Header()}, {"created", true}});
    m_watchers.push_back(std::move(watcher));
    NotifyWatchers();
  }

  void Send(Watcher* watcher, const Json& result) {
    watcher->last_sent = std::chrono::steady_clock::now();
    watcher->response->append_chunk(Json{{"result", result}}.dump() + "\n");
    watcher->response->flush([watcher](const asio::error_code& error) { watcher->broken = error.value() != 0; });
  }

  // Sends each watcher its pending events, one message per revision.
  void NotifyWatchers() {
    AnswerLongPolls();
    for (Watcher& watcher : m_watchers) {
      auto it = std::lower_bound(m_events.begin(), m_events.end(), watcher.next_revision,
                                 [](const Event& event, std::int64_t revision) { return event.revision < revision; });
      while (it != m_events.end()) {
        const std::int64_t revision = it->revision;
        Json events = Json::array();
        for (; it != m_events.end() && it->revision == revision; ++it) {
          if (InRange(it->key, watcher.key, watcher.range_end)) {
            Json event = {{"kv", ToJson(it->key, it->value)}};
            if (it->deleted) {
              event["type"] = "DELETE";
            }
            events.push_back(std::move(event));
          }
        }
        if (!events.empty()) {
          Send(&watcher, Json{{"header", Header()}, {"events", std::move(events)}});
        }
      }
      watcher.next_revision = std::max(watcher.next_revision, m_revision + 1);
    }
  }

  // Ends expired leases, sends progress notifications and removes closed watches.
  void RunPeriodicTasks() {
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : m_leases) {
      if (lease.expires <= now) {
        expired.push_back(id);
      }
    }
    for (const std::int64_t id : expired) {
      EndLease(id);
    }
    TakeSnapshot(now);
    NotifyWatchers();
    m_watchers.remove_if([](const Watcher& watcher) { return watcher.broken; });
    for (Watcher& watcher : m_watchers) {
      if (now - watcher.last_sent >= std::chrono::milliseconds(FLAGS_progress_ms)) {
        Send(&watcher, Json{{"header", Header()}});
      }
    }
    m_timer.expires_after(kPeriodicTaskInterval);
    m_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        RunPeriodicTasks();
      }
    });
  }

  asio::io_context& m_io;
  asio::steady_timer m_timer;
  std::int64_t m_revision = 1;
  std::int64_t m_compacted = 0;
  std::int64_t m_last_lease = 1000;
  std::map<std::string, StoredValue> m_keys;
  std::deque<Event> m_events;
  std::map<std::int64_t, Lease> m_leases;
  std::list<Watcher> m_watchers;
  std::list<LongPoll> m_long_polls;
  Json m_calls = Json::object();
  std::chrono::milliseconds m_delay{0};
  int m_lose_answers = 0;
  std::int64_t m_era = FLAGS_era;  // 0: not stated
  std::deque<Snapshot> m_snapshots;
  std::vector<OperatorWrite> m_operator_writes;
  int m_held_txns = 0;
  std::chrono::milliseconds m_hold{0};
  bool m_down = false;
  bool m_silent = false;
  std::vector<RequestHandle> m_unanswered;
};

}  // namespace
}  // namespace magnoliaarch::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context io;
  magnoliaarch::standin::StoreStandin store(io);
  const auto server = magnoliaarch::standin::StartServer(io, FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port),
                                                         [&store](const auto& request) { store.Handle(request); });
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const asio::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}
