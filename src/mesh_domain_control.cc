#include "mesh_domain_control_p.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "duration_p.h"
#include "mesh_duties_p.h"

namespace magnoliaarch {
namespace {

// A loss of targets has to take effect within a second; more plans than this would follow the noise of the reports.
constexpr Duration kPlanPeriod = std::chrono::milliseconds(400);
// Time without a plan, after which a node falls back to comparing targets alone.
constexpr Duration kMinShareLife = std::chrono::milliseconds(2500);
constexpr int kShareLifePeriods = 4;
// The demand of a node that does not report counts this many report periods longer: callers do not go away with a lost
// message. Its target's capacity ends with the age at which reports are stale.
constexpr int kDemandLifePeriods = 6;
constexpr Duration kMinDemandLife = std::chrono::seconds(3);
constexpr int kCapacityLifePeriods = 2;
constexpr Duration kMinCapacityLife = std::chrono::milliseconds(1500);
// A coordinator that has just begun plans when this part of the members has reported. With fewer reports, domains that
// have not been heard yet would look empty.
constexpr double kMinReported = 0.9;
constexpr Duration kMaxSettleTime = std::chrono::milliseconds(2500);
// Bounds of the messages: a node reports its services with the most demand and the nearest domains.
constexpr std::size_t kMaxDemands = 16;
constexpr std::size_t kMaxDelays = 16;
constexpr int kMaxShares = 64;
// Changes of a share that are worth a line in the log.
constexpr double kLoggedChange = 0.1;
constexpr double kMilli = 1000;

double ShareOf(const DomainPlan& plan, const std::string& from, const std::string& to) {
  const auto shares = plan.find(from);
  if (shares == plan.end()) {
    return 0;
  }
  const auto share = shares->second.find(to);
  return share != shares->second.end() ? share->second : 0;
}

}  // namespace

void DomainControl::SetPolicy(const std::optional<DomainPolicy>& policy) {
  if (policy == m_policy) {
    return;
  }
  m_policy = policy;
  m_reports.clear();
  m_plans.clear();
  m_has_plan = false;
  m_first_report_at = TimePoint();
}

void DomainControl::OnAdmitted(const proto::MeshRequest& request, TimePoint now) {
  if (IsOn()) {
    m_meter.OnRequest(now, request.service());
  }
}

void DomainControl::OnAnswer(const proto::MeshRequest& request,
                             const std::string& domain,
                             Duration hop,
                             double bytes,
                             TimePoint now) {
  if (IsOn()) {
    m_meter.OnAnswer(now, request.service(), domain, hop, bytes);
  }
}

void DomainControl::FillReport(TimePoint now, proto::MeshReport* report) {
  if (!IsOn()) {
    return;
  }
  std::vector<std::pair<double, std::string>> order;
  const std::map<std::string, DemandMeter::Demand> demands = m_meter.Demands(now);
  order.reserve(demands.size());
  for (const auto& [service, demand] : demands) {
    order.emplace_back(-demand.rate, service);
  }
  std::sort(order.begin(), order.end());
  order.resize(std::min(order.size(), kMaxDemands));
  for (const auto& [rate, service] : order) {
    proto::ServiceDemand* demand = report->add_demands();
    demand->set_service(service);
    demand->set_rate_milli(static_cast<std::uint32_t>(-rate * kMilli));
    demand->set_bytes(static_cast<std::uint32_t>(demands.at(service).bytes));
  }
  std::vector<std::pair<double, std::string>> hops;
  const std::map<std::string, double> measured = m_meter.Hops(now);
  hops.reserve(measured.size());
  for (const auto& [domain, hop_s] : measured) {
    hops.emplace_back(hop_s, domain);
  }
  std::sort(hops.begin(), hops.end());
  hops.resize(std::min(hops.size(), kMaxDelays));
  for (const auto& [hop_s, domain] : hops) {
    proto::DomainDelay* delay = report->add_delays();
    delay->set_domain(domain);
    delay->set_delay_us(static_cast<std::uint32_t>(hop_s * 1e6));
  }
}

void DomainControl::OnReport(TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply) {
  const proto::MeshMember* member = m_hooks.view().FindMember(report.node());
  if (!IsOn() || member == nullptr) {
    return;
  }
  // A gap means that another node was coordinator meanwhile, or that this process was stalled.
  if (now - m_last_report_at > kMinDemandLife) {
    m_reports.clear();
    m_plans.clear();
    m_has_plan = false;
    m_first_report_at = now;
  }
  m_last_report_at = now;
  m_reports[report.node()] = Known{report, now};
  if (now - m_last_plan_at >= kPlanPeriod) {
    m_last_plan_at = now;
    PlanAll(now);
  }
  if (!m_has_plan) {
    return;
  }
  reply->set_has_domain_plan(true);
  for (const auto& [service, planned] : m_plans) {
    const auto shares = planned.plan.find(member->domain());
    if (shares == planned.plan.end()) {
      continue;
    }
    for (const auto& [domain, share] : shares->second) {
      if (reply->domain_shares_size() >= kMaxShares) {
        return;
      }
      proto::DomainShare* entry = reply->add_domain_shares();
      entry->set_service(service);
      entry->set_domain(domain);
      entry->set_permille(static_cast<std::uint32_t>(share * kMilli));
    }
  }
}

std::map<std::string, DomainPlanInput> DomainControl::Collect(TimePoint now) {
  const MeshView& view = m_hooks.view();
  const auto config = view.Config();
  const Duration period = ReportPeriod(view.Members().size());
  const Duration demand_life = std::max<Duration>(kMinDemandLife, period * kDemandLifePeriods);
  const Duration capacity_life = std::max<Duration>(kMinCapacityLife, period * kCapacityLifePeriods);
  std::map<std::string, DomainPlanInput> inputs;
  std::map<std::string, double> bytes;
  std::map<std::pair<std::string, std::string>, double> hops;
  std::map<std::pair<std::string, std::string>, int> targets;
  for (const auto& [node, known] : m_reports) {
    const proto::MeshMember* member = view.FindMember(node);
    if (member == nullptr || now - known.received_at > demand_life) {
      continue;
    }
    for (const proto::ServiceDemand& demand : known.report.demands()) {
      inputs[demand.service()].domains[member->domain()].demand += demand.rate_milli() / kMilli;
      bytes[demand.service()] += demand.rate_milli() / kMilli * demand.bytes();
    }
    for (const proto::DomainDelay& delay : known.report.delays()) {
      const double hop_s = delay.delay_us() / 1e6;
      const auto hop = hops.try_emplace({member->domain(), delay.domain()}, hop_s).first;
      hop->second = std::min(hop->second, hop_s);
    }
    const proto::TargetReport& target = known.report.target();
    const MeshService* service = config->FindService(member->service());
    if (service == nullptr || service->sharded) {
      continue;
    }
    DomainLoad& load = inputs[member->service()].domains[member->domain()];
    if (target.accepts() && !known.report.stopping() && !target.cold() && !view.IsEvacuated(member->domain()) &&
        now - known.received_at < capacity_life) {
      const double service_s = std::max<std::uint32_t>(target.service_us(), 1000) / 1e6;
      const double slots = std::max<std::uint32_t>(target.slots(), 1);
      const int count = ++targets[{member->service(), member->domain()}];
      load.capacity += slots / service_s;
      load.service_s += (service_s - load.service_s) / count;
      load.slots += (slots - load.slots) / count;
    }
  }
  std::erase_if(inputs, [&](const auto& entry) {
    const MeshService* service = config->FindService(entry.first);
    return service == nullptr || service->sharded;
  });
  for (auto& [service, input] : inputs) {
    double demand = 0;
    for (const auto& [domain, load] : input.domains) {
      demand += load.demand;
    }
    input.now = now;
    input.hop_s = hops;
    input.bytes = demand > 0 ? bytes[service] / demand : 0;
    input.objective_s = std::max(Seconds(config->LongestObjective(service)), 0.01);
  }
  return inputs;
}

void DomainControl::PlanAll(TimePoint now) {
  const MeshView& view = m_hooks.view();
  std::erase_if(m_reports, [&](const auto& entry) { return view.FindMember(entry.first) == nullptr; });
  const double reported = static_cast<double>(m_reports.size()) / static_cast<double>(view.Members().size());
  if (view.Config() == nullptr ||
      (!m_has_plan && reported < kMinReported && now - m_first_report_at < kMaxSettleTime)) {
    return;
  }
  m_has_plan = true;
  const std::map<std::string, DomainPlanInput> inputs = Collect(now);
  std::erase_if(m_plans, [&](const auto& entry) { return !inputs.contains(entry.first); });
  for (const auto& [service, input] : inputs) {
    ServicePlan& planned = m_plans[service];
    const DomainPlan last = std::move(planned.plan);
    planned.plan = planned.planner.Plan(input, *m_policy);
    LogPlan(service, input, last, planned.plan);
  }
}

void DomainControl::LogPlan(const std::string& service,
                            const DomainPlanInput& input,
                            const DomainPlan& last,
                            const DomainPlan& plan) {
  for (const auto& [from, load] : input.domains) {
    for (const auto& [to, host] : input.domains) {
      const double before = ShareOf(last, from, to);
      const double after = ShareOf(plan, from, to);
      if (before != after) {
        m_metrics
            .GetGauge("magnolia_mesh_domain_share", "Planned share of a domain's requests that another domain serves.",
                      {{"service", service}, {"from", from}, {"to", to}})
            .Set(after);
      }
      if (std::abs(after - before) < kLoggedChange && (before > 0) == (after > 0)) {
        continue;
      }
      m_log.Write(LogCategory::kState, "domain_share",
                  {{"service", service},
                   {"from", from},
                   {"to", to},
                   {"permille", static_cast<std::int64_t>(after * kMilli)},
                   {"before_permille", static_cast<std::int64_t>(before * kMilli)},
                   {"demand", fmt::format("{:.1f}", load.demand)},
                   {"capacity", fmt::format("{:.1f}", load.capacity)},
                   {"to_demand", fmt::format("{:.1f}", host.demand)},
                   {"to_capacity", fmt::format("{:.1f}", host.capacity)},
                   {"bytes", static_cast<std::int64_t>(input.bytes)}});
    }
  }
}

void DomainControl::OnReply(TimePoint now, const proto::MeshReply& reply) {
  if (!IsOn() || !reply.has_domain_plan()) {
    return;
  }
  std::map<std::string, DomainShares> by_service;
  for (const proto::DomainShare& share : reply.domain_shares()) {
    by_service[share.service()][share.domain()] = std::min(share.permille() / kMilli, 1.0);
  }
  const Duration life =
      std::max<Duration>(kMinShareLife, ReportPeriod(m_hooks.view().Members().size()) * kShareLifePeriods);
  m_hooks.chooser().SetShares(std::move(by_service), m_meter.Hops(now), now + life);
}

}  // namespace magnoliaarch
