#include "ctl_commands_p.h"

#include <asio.hpp>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ctl_results_p.h"
#include "http1_p.h"
#include "mesh_settings_p.h"
#include "text_p.h"

namespace magnoliaarch {
namespace {

constexpr int kHttpOk = 200;
constexpr const char* kStatusPath = "/status";

struct StatusMember {
  std::string service;
  bool evacuated = false;
};

struct MeshProblem {
  std::string service;
  std::string keys;  // "-" for the whole service
  std::string reason;
};

// Formats a status page as text. A missing field raises nlohmann::json::exception.
class MeshStatusPage {
 public:
  explicit MeshStatusPage(const nlohmann::json& page) : m_page(page) {
    for (const auto& member : page.at("members")) {
      m_members[member.at("node")] = StatusMember{member.at("service"), member.value("evacuated", false)};
    }
  }

  std::string Format() {
    const std::string coordinator = m_page.at("coordinator");
    AppendLine("node:          {}, {}, target {}", Field("node"),
               m_page.at("ready").get<bool>() ? "ready" : "not ready", Field("target"));
    AppendLine("configuration: version {}, replica {} ms old at revision {}", Number("config"), Number("view_age_ms"),
               Number("revision"));
    AppendLine("coordinator:   {}", coordinator.empty() ? "none" : coordinator);
    std::string calls;
    for (const auto& [kind, count] : m_page.at("store_calls").items()) {
      AppendText(&calls, calls.empty() ? "" : ", ", kind, " ", count.get<std::uint64_t>());
    }
    AppendLine("store:         {}, lease left {} ms, {} calls through other nodes; calls: {}",
               m_page.at("store_reachable").get<bool>() ? "reachable" : "not reachable", Number("lease_left_ms"),
               Number("store_relayed"), calls.empty() ? "none" : calls);
    AppendMembers();
    AppendKeys();
    AppendRollouts();
    AppendProblems();
    return std::move(m_out);
  }

 private:
  template <typename... Values>
  void AppendLine(fmt::string_view format, const Values&... values) {
    fmt::vformat_to(std::back_inserter(m_out), format, fmt::make_format_args(values...));
    m_out += '\n';
  }
  std::string Field(const char* name) const { return m_page.at(name).get<std::string>(); }
  std::int64_t Number(const char* name) const { return m_page.at(name).get<std::int64_t>(); }
  nlohmann::json RangesOf(const std::string& service) const {
    return m_page.contains("keys") ? m_page["keys"].value(service, nlohmann::json::array()) : nlohmann::json::array();
  }

  void AppendMembers() {
    std::map<std::string, std::size_t> ranges;
    for (const auto& service : m_page.at("services")) {
      for (const auto& range : RangesOf(service.at("service"))) {
        ++ranges[range.at("owner")];
      }
    }
    AppendLine("\n{:<28} {:<16} {:<20} {:>6}  {}", "MEMBER", "DOMAIN", "SERVICE", "RANGES", "STATE");
    for (const auto& member : m_page.at("members")) {
      const std::string node = member.at("node");
      const std::string domain = member.at("domain");
      const auto owned = ranges.find(node);
      AppendLine("{:<28} {:<16} {:<20} {:>6}  {}", node, domain, m_members.at(node).service,
                 owned != ranges.end() ? owned->second : 0, m_members.at(node).evacuated ? "evacuated" : "in");
    }
  }

  void AppendKeys() {
    AppendLine("\n{:<20} {:>6} {:>6} {:>7}  {:<28} {}", "SERVICE", "FIRST", "LAST", "FENCE", "OWNER", "MOVES TO");
    for (const auto& service : m_page.at("services")) {
      for (const auto& range : RangesOf(service.at("service"))) {
        const std::string successor = range.at("successor");
        AppendLine("{:<20} {:>6} {:>6} {:>7}  {:<28} {}", service.at("service").get<std::string>(),
                   range.at("first").get<std::uint32_t>(), range.at("last").get<std::uint32_t>(),
                   range.at("fence").get<std::uint64_t>(), range.at("owner").get<std::string>(),
                   successor.empty() ? "-" : successor);
      }
    }
  }

  // The page of a node from before roll-outs has no such field.
  void AppendRollouts() {
    for (const auto& rollout : m_page.value("rollouts", nlohmann::json::array())) {
      AppendLine("\nroll-out of {} to {}: {}, step {}, share {:.3f} to {} canaries; {}",
                 rollout.at("service").get<std::string>(), rollout.at("to").get<std::string>(),
                 rollout.at("phase").get<std::string>(), rollout.at("step").get<int>(),
                 rollout.at("share").get<double>(), rollout.at("canaries").get<int>(),
                 rollout.at("reason").get<std::string>());
      const auto& evidence = rollout.at("evidence");
      if (evidence.empty()) {
        continue;  // only the coordinator has it
      }
      AppendLine("{:<28} {:<16} {:>8} {:>9} {:>8}", "ROUTE", "VERSION", "ANSWERS", "FAILURES", "MEAN MS");
      for (const auto& row : evidence) {
        AppendLine("{:<28} {:<16} {:>8} {:>9} {:>8.0f}", row.at("route").get<std::string>(),
                   row.at("version").get<std::string>(), row.at("answers").get<std::uint64_t>(),
                   row.at("failures").get<std::uint64_t>(), row.at("mean_ms").get<double>());
      }
    }
  }

  // Returns the reason why no member can serve the service, or an empty text if some member can.
  std::string NoServingMemberReason(const std::string& service) const {
    std::size_t members = 0;
    std::size_t evacuated = 0;
    for (const auto& [node, member] : m_members) {
      members += member.service == service ? 1 : 0;
      evacuated += member.service == service && member.evacuated ? 1 : 0;
    }
    if (members == 0) {
      return "no member serves it";
    }
    return evacuated == members ? fmt::format("the domains of its {} members are evacuated", members) : "";
  }

  void AppendProblems() {
    std::vector<MeshProblem> problems;
    const std::string coordinator_state =
        Field("coordinator").empty() ? "no node coordinates" : "waits for the coordinator";
    for (const auto& service : m_page.at("services")) {
      const std::string name = service.at("service");
      std::string reason = NoServingMemberReason(name);
      if (reason.empty() && service.at("keyed").get<bool>() && RangesOf(name).empty()) {
        reason = fmt::format("its keys have no owners yet; {}", coordinator_state);
      }
      if (!reason.empty()) {
        problems.push_back({name, "-", reason});
        continue;
      }
      for (const auto& range : RangesOf(name)) {
        const std::string owner = range.at("owner");
        if (!m_members.contains(owner)) {
          problems.push_back({name,
                              Cat(range.at("first").get<std::uint32_t>(), "-", range.at("last").get<std::uint32_t>()),
                              fmt::format("owner {} is not registered; {}", owner, coordinator_state)});
        }
      }
    }
    if (problems.empty()) {
      AppendLine("\nevery service has targets, and every key an owner that is registered");
      return;
    }
    AppendLine("\n{:<20} {:<14} {}", "NOT SERVED", "KEYS", "REASON");
    for (const MeshProblem& problem : problems) {
      AppendLine("{:<20} {:<14} {}", problem.service, problem.keys, problem.reason);
    }
  }

  const nlohmann::json& m_page;
  std::map<std::string, StatusMember> m_members;
  std::string m_out;
};

}  // namespace

absl::StatusOr<std::string> FetchMeshStatus(const std::string& address, Duration timeout) {
  const std::optional<SocketAddress> node = ParseSocketAddress(address);
  if (!node) {
    return absl::InvalidArgumentError("the address is no IP:PORT");
  }
  asio::io_context context;
  HttpClientOptions options;
  options.ip = node->ip;
  options.port = node->port;
  HttpClient client(context, options);
  HttpMessage request;
  request.method = "GET";
  request.target = kStatusPath;
  request.headers.push_back(Header{"Host", address});
  HttpResult result;
  client.Send(std::move(request), timeout, nullptr, [&](HttpResult answer) {
    result = std::move(answer);
    client.CloseAll();
  });
  context.run();
  if (result.outcome != HttpOutcome::kAnswered) {
    return absl::UnavailableError(result.detail);
  }
  if (result.answer.status != kHttpOk) {
    return absl::UnavailableError(Cat("the node answered ", result.answer.status));
  }
  return std::move(result.answer.body);
}

CtlResult CtlMeshStatus(const std::string& page) {
  try {
    const nlohmann::json parsed = nlohmann::json::parse(page);
    return {kCtlSuccess, MeshStatusPage(parsed).Format(), ""};
  } catch (const nlohmann::json::exception& error) {
    return {kCtlRefused, "", Cat("the status page cannot be read: ", std::string(error.what()), "\n")};
  }
}

}  // namespace magnoliaarch
