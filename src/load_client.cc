#include <curl/curl.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <ctime>
#include <thread>
#include <utility>

#include "load_p.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

using Clock = std::chrono::steady_clock;

// Larger answers are truncated and counted as wrong.
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;

double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

// One request in flight.
struct Exchange {
  CURL* curl = nullptr;
  curl_slist* headers = nullptr;
  LoadArrival arrival;
  LoadRequest request;
  LoadAnswer answer;
  std::size_t body_sent = 0;
};

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* user) {
  auto* exchange = static_cast<Exchange*>(user);
  std::string_view line(data, size * count);
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(colon + 1);
    const std::size_t first = value.find_first_not_of(" \t");
    value = first == std::string_view::npos ? std::string_view() : value.substr(first);
    value = value.substr(0, value.find_last_not_of(" \t\r\n") + 1);
    if (EqualsIgnoringCase(name, "X-Request-Id")) {
      exchange->answer.request_id = value;
    } else if (EqualsIgnoringCase(name, "X-Run-State")) {
      exchange->answer.run_state = value;
    } else if (EqualsIgnoringCase(name, "X-Error-Kind")) {
      exchange->answer.error_kind = value;
    }
  }
  return size * count;
}

std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* user) {
  auto* exchange = static_cast<Exchange*>(user);
  if (exchange->answer.body.size() < kMaxAnswerBytes) {
    exchange->answer.body.append(data, size * count);
  }
  return size * count;
}

std::size_t OnSend(char* buffer, std::size_t size, std::size_t count, void* user) {
  auto* exchange = static_cast<Exchange*>(user);
  const std::string& body = exchange->request.body;
  const std::size_t sent = std::min(size * count, body.size() - exchange->body_sent);
  std::memcpy(buffer, body.data() + exchange->body_sent, sent);
  exchange->body_sent += sent;
  return sent;
}

// Sends the share of one thread: the arrivals whose index modulo the number of threads is the index of the worker.
class LoadWorker {
 public:
  LoadWorker(const LoadMix& mix,
             const LoadOptions& options,
             std::size_t worker,
             Clock::time_point start,
             LoadResults* results)
      : m_mix(mix),
        m_options(options),
        m_worker(worker),
        m_start(start),
        m_results(results),
        m_arrivals(mix, options.nodes.size()),
        m_multi(curl_multi_init()),
        m_timer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(options.max_in_flight));
  }

  ~LoadWorker() {
    for (CURL* curl : m_idle) {
      curl_easy_cleanup(curl);
    }
    curl_multi_cleanup(m_multi);
    close(m_timer);
  }

  LoadWorker(const LoadWorker&) = delete;
  LoadWorker& operator=(const LoadWorker&) = delete;

  void Run() {
    std::optional<LoadArrival> next = NextArrival();
    while (next || m_in_flight > 0) {
      while (next && next->at_s <= SecondsSince(m_start)) {
        Send(*next);
        next = NextArrival();
      }
      int running = 0;
      curl_multi_perform(m_multi, &running);
      CollectAnswers();
      if (next || m_in_flight > 0) {
        Wait(next);
      }
    }
  }

 private:
  std::optional<LoadArrival> NextArrival() {
    while (std::optional<LoadArrival> arrival = m_arrivals.Next()) {
      if (arrival->index % m_options.threads == m_worker) {
        return arrival;
      }
    }
    return std::nullopt;
  }

  // Waits for answers or the next send time. Uses a timer descriptor, because the timeout of curl_multi_poll has a
  // resolution of one millisecond only.
  void Wait(const std::optional<LoadArrival>& next) {
    curl_waitfd timer{m_timer, CURL_WAIT_POLLIN, 0};
    if (next) {
      const double left_s = std::max(1e-6, next->at_s - SecondsSince(m_start));
      itimerspec when{};
      when.it_value.tv_sec = static_cast<std::time_t>(left_s);
      when.it_value.tv_nsec = static_cast<long>((left_s - static_cast<double>(when.it_value.tv_sec)) * 1e9);
      timerfd_settime(m_timer, 0, &when, nullptr);
    }
    curl_multi_poll(m_multi, &timer, next ? 1 : 0, 1000, nullptr);
  }

  void Send(const LoadArrival& arrival) {
    auto exchange = std::make_unique<Exchange>();
    exchange->arrival = arrival;
    exchange->request = MakeLoadRequest(m_mix, arrival, m_options.run_id);
    if (m_in_flight >= m_options.max_in_flight) {
      Record(*exchange, LoadOutcome::kUnsent);
      return;
    }
    if (m_idle.empty()) {
      m_idle.push_back(curl_easy_init());
    }
    exchange->curl = m_idle.back();
    m_idle.pop_back();
    Prepare(exchange.get());
    ++m_in_flight;
    curl_multi_add_handle(m_multi, exchange->curl);
    // libcurl holds the pointer to the exchange until CollectAnswers takes ownership again.
    exchange.release();
  }

  void Prepare(Exchange* exchange) {
    CURL* const curl = exchange->curl;
    const LoadRequest& request = exchange->request;
    curl_easy_reset(curl);
    const auto add_header = [exchange](const std::string& line) {
      exchange->headers = curl_slist_append(exchange->headers, line.c_str());
    };
    for (const Header& header : request.headers) {
      add_header(Cat(header.name, ": ", header.value));
    }
    const std::string& workspace = m_mix.workspaces[exchange->arrival.workspace].name;
    if (const auto key = m_options.keys.find(workspace); key != m_options.keys.end()) {
      add_header(Cat("Authorization: Bearer ", key->second));
    }
    add_header("Expect:");
    if (request.method != "GET") {
      // libcurl silently resends a request if a reused connection closes before the answer, but not if the body
      // comes from a read callback that cannot be rewound, so each request is sent at most once.
      curl_easy_setopt(curl, CURLOPT_POST, 1L);
      curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
      curl_easy_setopt(curl, CURLOPT_READFUNCTION, OnSend);
      curl_easy_setopt(curl, CURLOPT_READDATA, exchange);
      curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    curl_easy_setopt(curl, CURLOPT_URL, Cat("http://", m_options.nodes[exchange->arrival.node], request.path).c_str());
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(m_mix.timeout_ms));
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, exchange->headers);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, exchange);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, exchange);
    curl_easy_setopt(curl, CURLOPT_PRIVATE, exchange);
  }

  void CollectAnswers() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* const curl = message->easy_handle;
      const CURLcode code = message->data.result;
      Exchange* raw = nullptr;
      curl_easy_getinfo(curl, CURLINFO_PRIVATE, &raw);
      const std::unique_ptr<Exchange> exchange(raw);
      long status = 0;
      curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
      curl_multi_remove_handle(m_multi, curl);
      curl_slist_free_all(exchange->headers);
      m_idle.push_back(curl);
      --m_in_flight;
      exchange->answer.received = code == CURLE_OK;
      exchange->answer.status = static_cast<int>(status);
      Record(*exchange, ClassifyAnswer(exchange->request, exchange->answer));
    }
  }

  void Record(const Exchange& exchange, LoadOutcome outcome) {
    LoadRecord record;
    record.arrival = exchange.arrival;
    record.token = exchange.request.token;
    record.outcome = outcome;
    record.request_id = exchange.answer.request_id;
    record.run_state = exchange.answer.run_state;
    record.error_kind = exchange.answer.error_kind;
    record.latency_s = SecondsSince(m_start) - exchange.arrival.at_s;
    m_results->Add(record, m_options.keep_records);
  }

  const LoadMix& m_mix;
  const LoadOptions& m_options;
  const std::size_t m_worker;
  const Clock::time_point m_start;
  LoadResults* const m_results;
  LoadArrivals m_arrivals;
  CURLM* const m_multi;
  const int m_timer;
  std::vector<CURL*> m_idle;
  std::size_t m_in_flight = 0;
};

}  // namespace

void RunLoad(const LoadMix& mix, const LoadOptions& options, LoadResults* results) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  // Leaves the threads time to build their key tables before the first request is due.
  const Clock::time_point start =
      Clock::now() + std::chrono::milliseconds(100) + std::chrono::microseconds(mix.keys / 4);
  std::mutex mutex;
  std::condition_variable finished;
  std::size_t running = options.threads;
  std::vector<std::thread> threads;
  threads.reserve(options.threads);
  for (std::size_t worker = 0; worker < options.threads; ++worker) {
    threads.emplace_back([&, worker] {
      LoadWorker(mix, options, worker, start, results).Run();
      std::lock_guard lock(mutex);
      --running;
      finished.notify_one();
    });
  }
  {
    std::unique_lock lock(mutex);
    while (!finished.wait_for(lock, std::chrono::duration<double>(options.progress_s), [&] { return running == 0; })) {
      lock.unlock();
      if (options.on_progress) {
        options.on_progress(SecondsSince(start));
      }
      lock.lock();
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

absl::StatusOr<std::string> FetchTargetStats(const std::string& address) {
  constexpr long kTimeoutMs = 30'000;
  Exchange exchange;
  exchange.curl = curl_easy_init();
  curl_easy_setopt(exchange.curl, CURLOPT_URL, Cat("http://", address, "/-/stats").c_str());
  curl_easy_setopt(exchange.curl, CURLOPT_PROXY, "");
  curl_easy_setopt(exchange.curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(exchange.curl, CURLOPT_TIMEOUT_MS, kTimeoutMs);
  std::string body;
  curl_easy_setopt(
      exchange.curl, CURLOPT_WRITEFUNCTION, +[](char* data, std::size_t size, std::size_t count, void* user) {
        static_cast<std::string*>(user)->append(data, size * count);
        return size * count;
      });
  curl_easy_setopt(exchange.curl, CURLOPT_WRITEDATA, &body);
  const CURLcode code = curl_easy_perform(exchange.curl);
  long status = 0;
  curl_easy_getinfo(exchange.curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup(exchange.curl);
  if (code != CURLE_OK || status != 200) {
    return absl::UnavailableError(Cat("statistics of target ", address, ": ",
                                      code != CURLE_OK ? std::string(curl_easy_strerror(code)) : Cat("HTTP ", status)));
  }
  return body;
}

}  // namespace magnoliaarch
