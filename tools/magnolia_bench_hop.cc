// Compares requests through two nodes in one process with requests sent directly to the target, over loopback.

#include <gflags/gflags.h>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "data_plane_p.h"

DEFINE_uint32(connections, 32, "caller connections, each with one request in progress");
DEFINE_uint32(seconds, 3, "duration of each measurement");
DEFINE_uint32(body, 0, "bytes of the request's and the answer's body");
DEFINE_uint32(rounds, 3, "rounds of straight, local and one-hop measurements");

namespace magnoliaarch {
namespace {

using Clock = std::chrono::steady_clock;
using Socket = asio::ip::tcp::socket;

// Returns the length of a message, head and body, or nullopt if the head is incomplete.
std::optional<std::size_t> MessageBytes(const std::string& buffer) {
  const std::size_t head = buffer.find("\r\n\r\n");
  if (head == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t at = buffer.find("Content-Length: ");
  return head + 4 + (at < head ? std::stoul(buffer.substr(at + 16)) : 0);
}

// Connection of the target. Answers every request with the same bytes.
class TargetSession : public std::enable_shared_from_this<TargetSession> {
 public:
  TargetSession(Socket socket, std::shared_ptr<const std::string> answer)
      : m_socket(std::move(socket)), m_answer(std::move(answer)) {
    m_socket.set_option(asio::ip::tcp::no_delay(true));
  }
  void Read() {
    m_socket.async_read_some(asio::buffer(m_part), [self = shared_from_this()](asio::error_code error, std::size_t n) {
      if (error) {
        return;
      }
      self->m_buffer.append(self->m_part.data(), n);
      const std::optional<std::size_t> bytes = MessageBytes(self->m_buffer);
      if (!bytes.has_value() || self->m_buffer.size() < *bytes) {
        self->Read();
        return;
      }
      self->m_buffer.erase(0, *bytes);
      asio::async_write(self->m_socket, asio::buffer(*self->m_answer), [self](asio::error_code failed, std::size_t) {
        if (!failed) {
          self->Read();
        }
      });
    });
  }

 private:
  Socket m_socket;
  std::shared_ptr<const std::string> m_answer;
  std::array<char, 65536> m_part{};
  std::string m_buffer;
};

class BenchTarget {
 public:
  BenchTarget()
      : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
        m_answer(std::make_shared<const std::string>(
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", FLAGS_body, std::string(FLAGS_body, 'x')))) {
    Accept();
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~BenchTarget() {
    m_context.stop();
    m_thread.join();
  }
  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

 private:
  void Accept() {
    m_acceptor.async_accept([this](asio::error_code error, Socket socket) {
      if (!error) {
        std::make_shared<TargetSession>(std::move(socket), m_answer)->Read();
        Accept();
      }
    });
  }
  asio::io_context m_context{1};
  asio::ip::tcp::acceptor m_acceptor;
  std::shared_ptr<const std::string> m_answer;
  std::thread m_thread;
};

// Closed-loop caller: sends a request when the previous one is answered, until the end time.
class BenchCaller {
 public:
  BenchCaller(asio::io_context& context, std::uint16_t port, const std::string& request, Clock::time_point end)
      : m_socket(context), m_request(request), m_end(end) {
    m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
    m_socket.set_option(asio::ip::tcp::no_delay(true));
    Send();
  }
  std::vector<double> latencies_us;
  std::size_t failed = 0;
  std::string last_failure;

 private:
  void Send() {
    m_started = Clock::now();
    if (m_started >= m_end) {
      return;
    }
    asio::async_write(m_socket, asio::buffer(m_request), [this](asio::error_code error, std::size_t) {
      if (!error) {
        Read();
      }
    });
  }
  void Read() {
    m_socket.async_read_some(asio::buffer(m_part), [this](asio::error_code error, std::size_t n) {
      if (error) {
        ++failed;
        return;
      }
      m_buffer.append(m_part.data(), n);
      const std::optional<std::size_t> bytes = MessageBytes(m_buffer);
      if (!bytes.has_value() || m_buffer.size() < *bytes) {
        Read();
        return;
      }
      if (!m_buffer.starts_with("HTTP/1.1 200")) {
        ++failed;
        const std::size_t kind = m_buffer.find("X-Error-Kind: ");
        last_failure = kind == std::string::npos ? m_buffer.substr(0, m_buffer.find('\r'))
                                                 : m_buffer.substr(kind, m_buffer.find('\r', kind) - kind);
      }
      m_buffer.erase(0, *bytes);
      latencies_us.push_back(std::chrono::duration<double, std::micro>(Clock::now() - m_started).count());
      Send();
    });
  }
  Socket m_socket;
  const std::string& m_request;
  const Clock::time_point m_end;
  Clock::time_point m_started;
  std::array<char, 65536> m_part{};
  std::string m_buffer;
};

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void Measure(const char* name, std::uint16_t port) {
  const std::string request =
      fmt::format("{} /bench/path HTTP/1.1\r\nHost: bench\r\nX-Routing-Key: key\r\nContent-Length: {}\r\n\r\n{}",
                  FLAGS_body == 0 ? "GET" : "POST", FLAGS_body, std::string(FLAGS_body, 'y'));
  asio::io_context context{1};
  const double cpu = CpuSeconds();
  const Clock::time_point start = Clock::now();
  std::vector<std::unique_ptr<BenchCaller>> callers;
  for (std::uint32_t i = 0; i < FLAGS_connections; ++i) {
    callers.push_back(
        std::make_unique<BenchCaller>(context, port, request, start + std::chrono::seconds(FLAGS_seconds)));
  }
  context.run();
  const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
  std::vector<double> all;
  std::size_t failed = 0;
  std::string last_failure;
  for (const auto& caller : callers) {
    all.insert(all.end(), caller->latencies_us.begin(), caller->latencies_us.end());
    failed += caller->failed;
    last_failure = caller->last_failure.empty() ? last_failure : caller->last_failure;
  }
  std::sort(all.begin(), all.end());
  const auto quantile = [&all](double q) {
    return all.empty() ? 0 : all[static_cast<std::size_t>(q * static_cast<double>(all.size() - 1))];
  };
  std::cout << fmt::format(
      "{:9} {:8.0f} requests/s  p50 {:7.0f} us  p99 {:7.0f} us  {:6.1f} us CPU/request  {} failed {}\n", name,
      static_cast<double>(all.size()) / seconds, quantile(0.5), quantile(0.99),
      (CpuSeconds() - cpu) * 1e6 / static_cast<double>(std::max<std::size_t>(1, all.size())), failed, last_failure);
}

std::unique_ptr<DataPlane> StartNode(const std::string& name,
                                     std::uint64_t incarnation,
                                     std::uint16_t target_port,
                                     const std::shared_ptr<std::shared_ptr<const View>>& view) {
  DataPlaneOptions options;
  options.self = IncarnationId{name, incarnation};
  options.entry = name == "owner" ? "bench" : "";
  options.peer_server.secret = options.peer_client.secret = "bench";
  options.peer_server.self = options.peer_client.self = options.self;
  options.target.port = target_port;
  DataPlaneHooks hooks;
  hooks.view = [view] { return std::atomic_load(view.get()); };
  hooks.admit = [](const Request&, const std::function<void(std::optional<ErrorKind>)>& done) { done(std::nullopt); };
  hooks.check_ownership = [](const Request&, TimePoint) { return std::optional<ErrorKind>(); };
  hooks.begin_send = hooks.check_ownership;
  hooks.end_send = [](RequestId) {};
  hooks.lease_generation = [] { return 1; };
  hooks.refresh_view = [](const std::string&, SliceHandle) {};
  auto node = std::make_unique<DataPlane>(options, hooks);
  if (const absl::Status status = node->Start(); !status.ok()) {
    std::cerr << status << "\n";
    std::exit(1);
  }
  return node;
}

int Run() {
  constexpr std::uint32_t kLimit = 256;
  BenchTarget target;
  auto view = std::make_shared<std::shared_ptr<const View>>(std::make_shared<const View>());
  const auto ingress = StartNode("ingress", 1, target.Port(), view);
  const auto owner = StartNode("owner", 2, target.Port(), view);
  ViewBuilder builder;
  std::int64_t revision = 0;
  const auto put = [&](const std::string& key, const auto& record) {
    proto::ViewRecord change;
    change.set_key(key);
    change.set_revision(++revision);
    change.set_value(record.SerializeAsString());
    builder.Apply(change);
  };
  proto::EntryRecord entry;
  entry.set_name("bench");
  entry.set_keyed(true);
  entry.set_slices(1);
  entry.set_open_to_all(true);
  entry.set_cold_limit(kLimit);
  entry.set_warm_limit(kLimit);
  put(std::string(kEntryPrefix) + "bench", entry);
  proto::MemberRecord member;
  member.set_node("owner");
  member.set_incarnation(2);
  member.set_ip("127.0.0.1");
  member.set_peer_port(owner->PeerPort());
  member.set_entry("bench");
  put(std::string(kMemberPrefix) + "owner", member);
  proto::SlicePack pack;
  pack.set_entry("bench");
  proto::SliceRecord& slice = *pack.add_slices();
  slice.set_owner("owner");
  slice.set_owner_incarnation(2);
  slice.set_epoch(1);
  slice.set_state(proto::SLICE_STATE_OWNED);
  put(SlicePackKey("bench", 0), pack);
  std::atomic_store(view.get(), builder.Snapshot());
  Measure("warm-up", ingress->IngressPort());
  for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
    Measure("straight", target.Port());
    Measure("local", owner->IngressPort());
    Measure("one hop", ingress->IngressPort());
  }
  return 0;
}

}  // namespace
}  // namespace magnoliaarch

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return magnoliaarch::Run();
}
