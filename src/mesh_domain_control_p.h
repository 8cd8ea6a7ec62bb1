// Connects the planning of shares between failure domains to a node: reports the demand of the node's callers to the
// coordinator, plans there, and hands the shares of the reply to the node's choice of targets.

#ifndef MAGNOLIAARCH_SRC_MESH_DOMAIN_CONTROL_P_H_
#define MAGNOLIAARCH_SRC_MESH_DOMAIN_CONTROL_P_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "magnoliaarch/metrics.h"
#include "mesh.pb.h"
#include "mesh_choice_p.h"
#include "mesh_domains_p.h"
#include "mesh_log_p.h"
#include "mesh_view_p.h"

namespace magnoliaarch {

struct DomainControlHooks {
  std::function<const MeshView&()> view;
  std::function<TargetChooser&()> chooser;
};

class DomainControl {
 public:
  DomainControl(std::string domain, MeshLog& log, MetricsRegistry& metrics, DomainControlHooks hooks)
      : m_domain(std::move(domain)), m_log(log), m_metrics(metrics), m_hooks(std::move(hooks)) {}

  // Nullopt: domains are not controlled, and nothing is measured or planned.
  void SetPolicy(const std::optional<DomainPolicy>& policy);
  bool IsOn() const { return m_policy.has_value(); }

  // Evidence of this node. Demand for sharded services is ignored by the coordinator: their keys decide where they go.
  void OnAdmitted(const proto::MeshRequest& request, TimePoint now);
  // `domain` is that of the node to which the request was sent.
  void OnAnswer(const proto::MeshRequest& request,
                const std::string& domain,
                Duration hop,
                double bytes,
                TimePoint now);

  // See ReportExtension.
  void FillReport(TimePoint now, proto::MeshReport* report);
  void OnReport(TimePoint now, const proto::MeshReport& report, proto::MeshReply* reply);
  void OnReply(TimePoint now, const proto::MeshReply& reply);

 private:
  struct Known {
    proto::MeshReport report;
    TimePoint received_at;
  };
  struct ServicePlan {
    DomainPlanner planner;
    DomainPlan plan;
  };

  void PlanAll(TimePoint now);
  // Sums the known reports of the members up by service.
  std::map<std::string, DomainPlanInput> Collect(TimePoint now);
  void LogPlan(const std::string& service,
               const DomainPlanInput& input,
               const DomainPlan& last,
               const DomainPlan& plan);

  const std::string m_domain;
  MeshLog& m_log;
  MetricsRegistry& m_metrics;
  DomainControlHooks m_hooks;
  std::optional<DomainPolicy> m_policy;
  DemandMeter m_meter;

  // At the coordinator only; lost with it and collected anew by the next one.
  std::map<std::string, Known> m_reports;  // by node
  std::map<std::string, ServicePlan> m_plans;
  TimePoint m_first_report_at;
  TimePoint m_last_report_at;
  TimePoint m_last_plan_at;
  bool m_has_plan = false;
};

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_MESH_DOMAIN_CONTROL_P_H_
