// Measures the cost of the dissemination of store records per node: bytes, messages and CPU time. Runs the real state
// machines and codec in simulated time.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include "absl/strings/str_split.h"
#include "dissemination_sim_p.h"

DEFINE_string(members, "100,1000,11000", "Fleet sizes to measure, separated by commas.");
DEFINE_uint32(domains, 18, "Failure domains.");
DEFINE_uint32(seconds, 30, "Simulated length of each phase.");
DEFINE_uint32(whole_up_to,
              1000,
              "Up to this size every member runs. Above it one whole failure domain and all watchers run, because each "
              "member holds a view of its own.");
DEFINE_uint64(seed, 1, "Seed of the simulation.");

namespace magnoliaarch {
namespace {

using sim::DisseminationSim;

constexpr Duration kStep = std::chrono::milliseconds(50);
// Change rates from docs/CAPACITY.md.
constexpr double kCatalogueChangesPerSecond = 0.13;
constexpr double kMemberChangesPerSecond = 0.10;
constexpr double kPackChangesPerSecond = 0.25;

struct PhaseResult {
  Duration oldest_view{0};
  Duration slowest_change{0};  // from the write until all running nodes have received it
  int refused = 0;             // steps in which a node did not accept workspace keys, summed over the nodes
  std::uint64_t store_reads = 0;
};

proto::SlicePack NewPack() {
  proto::SlicePack pack;
  pack.set_entry("storefront");
  for (std::uint32_t i = 0; i < kSlicesPerPack; ++i) {
    proto::SliceRecord* slice = pack.add_slices();
    slice->set_owner(fmt::format("node-00-{:03}", i));
    slice->set_owner_incarnation(RandomNumber());
    slice->set_epoch(1);
    slice->set_state(proto::SLICE_STATE_OWNED);
  }
  return pack;
}

std::string EntryValue() {
  proto::EntryRecord entry;
  entry.set_name("storefront");
  entry.set_owner(std::string(200, 'o'));
  return entry.SerializeAsString();
}

// Runs one phase of the simulation and samples all nodes after each step.
PhaseResult RunPhase(DisseminationSim* sim, bool changes, std::vector<proto::SlicePack>* packs = nullptr) {
  for (auto& [name, node] : sim->Nodes()) {
    node.traffic = sim::Traffic();
  }
  PhaseResult result;
  const std::uint64_t reads_before = sim->StoreReads();
  std::vector<std::pair<TimePoint, std::int64_t>> outstanding;
  std::mt19937_64 random(FLAGS_seed);
  const auto happens = [&](double rate) {
    return std::uniform_real_distribution<double>(0, 1)(random) < rate * std::chrono::duration<double>(kStep).count();
  };
  const std::string entry = EntryValue();
  const std::string member = sim->Nodes().begin()->first;
  const int steps = static_cast<int>(std::chrono::seconds(FLAGS_seconds) / kStep);
  for (int step = 0; step < steps; ++step) {
    const std::int64_t before = sim->StoreRevision();
    if (changes && happens(kCatalogueChangesPerSecond)) {
      sim->Put(std::string(kEntryPrefix) + "storefront", entry);
    }
    if (changes && happens(kMemberChangesPerSecond)) {
      proto::MemberRecord record = *sim->Nodes().begin()->second.machine->Snapshot()->FindMember(member);
      record.set_write_id(fmt::format("{:032x}", step));
      sim->Put(std::string(kMemberPrefix) + member, record.SerializeAsString());
    }
    if (changes && packs != nullptr && happens(kPackChangesPerSecond)) {
      // Moves one slice to a new owner.
      const std::size_t index = random() % packs->size();
      proto::SlicePack& pack = (*packs)[index];
      proto::SliceRecord* slice = pack.mutable_slices(static_cast<int>(random() % kSlicesPerPack));
      slice->set_owner(fmt::format("node-01-{:03}", random() % 100));
      slice->set_owner_incarnation(random());
      slice->set_epoch(slice->epoch() + 1);
      pack.set_write_id(fmt::format("{:032x}", random()));
      sim->Put(SlicePackKey("storefront", static_cast<std::uint32_t>(index) * kSlicesPerPack),
               pack.SerializeAsString());
    }
    if (sim->StoreRevision() != before) {
      outstanding.emplace_back(sim->Now(), sim->StoreRevision());
    }
    sim->RunFor(kStep);
    std::int64_t reached = INT64_MAX;
    for (const auto& [name, node] : sim->Nodes()) {
      reached = std::min(reached, node.machine->Revision());
      result.oldest_view = std::max(result.oldest_view, node.machine->Age(sim->Now()).value_or(Duration::max()));
      result.refused += node.machine->AcceptsWorkspaceKeys(sim->Now()) ? 0 : 1;
    }
    std::erase_if(outstanding, [&](const auto& change) {
      if (change.second <= reached) {
        result.slowest_change = std::max<Duration>(result.slowest_change, sim->Now() - change.first);
      }
      return change.second <= reached;
    });
  }
  for (const auto& change : outstanding) {
    result.slowest_change = std::max<Duration>(result.slowest_change, sim->Now() - change.first);
  }
  result.store_reads = sim->StoreReads() - reads_before;
  return result;
}

// Mean and maximum of a rate per second over the nodes.
struct MeanAndMax {
  double mean = 0;
  double highest = 0;
};

MeanAndMax MeanAndMaxOf(const std::vector<const DisseminationSim::Node*>& nodes,
                        const std::function<std::uint64_t(const sim::Traffic&)>& figure) {
  MeanAndMax spread;
  for (const DisseminationSim::Node* node : nodes) {
    const double value = static_cast<double>(figure(node->traffic)) / FLAGS_seconds;
    spread.mean += value / static_cast<double>(nodes.size());
    spread.highest = std::max(spread.highest, value);
  }
  return spread;
}

void PrintRow(const std::string& phase,
              const std::string& part,
              const std::vector<const DisseminationSim::Node*>& nodes) {
  const MeanAndMax out = MeanAndMaxOf(nodes, [](const sim::Traffic& t) { return t.bytes_out; });
  const MeanAndMax in = MeanAndMaxOf(nodes, [](const sim::Traffic& t) { return t.bytes_in; });
  const MeanAndMax messages = MeanAndMaxOf(nodes, [](const sim::Traffic& t) { return t.messages_out; });
  const MeanAndMax cpu = MeanAndMaxOf(nodes, [](const sim::Traffic& t) { return t.cpu_ns; });
  fmt::print("  {:<20} {:<9} {:>5} {:>8.0f} {:>8.0f} {:>8.0f} {:>8.0f} {:>7.1f} {:>7.1f} {:>8.4f} {:>8.4f}\n", phase,
             part, nodes.size(), out.mean, out.highest, in.mean, in.highest, messages.mean, messages.highest,
             cpu.mean / 1e7, cpu.highest / 1e7);
}

void ReportPhase(const DisseminationSim::Node* first,
                 DisseminationSim* sim,
                 const std::string& phase,
                 PhaseResult result) {
  std::map<std::string, std::vector<const DisseminationSim::Node*>> parts;
  for (const auto& [name, node] : sim->Nodes()) {
    if (node.machine->IsWatcher()) {
      parts["watchers"].push_back(&node);
    }
    // The domain that runs completely is a sample of all domains.
    if (node.domain == first->domain) {
      parts["a domain"].push_back(&node);
    }
  }
  for (const auto& [part, nodes] : parts) {
    PrintRow(phase, part, nodes);
  }
  fmt::print("  {:<20} oldest view {} ms, slowest change {} ms, refusals {}, store reads {:.1f}/s, watches {}\n", phase,
             result.oldest_view.count() / 1000, result.slowest_change.count() / 1000, result.refused,
             static_cast<double>(result.store_reads) / FLAGS_seconds, sim->Watches());
}

void Measure(int members) {
  const int domains = static_cast<int>(FLAGS_domains);
  const int per_domain = std::max(1, (members + domains - 1) / domains);
  std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> watchers_by_domain;
  DisseminationSim names(FLAGS_seed);
  names.AddNodes(domains, per_domain);
  for (const auto& [name, node] : names.Nodes()) {
    watchers_by_domain[node.domain].emplace_back(HashKey(name), name);
  }
  for (auto& [domain, candidates] : watchers_by_domain) {
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(std::min<std::size_t>(candidates.size(), 2));
  }
  const bool whole = members <= static_cast<int>(FLAGS_whole_up_to);
  DisseminationSim sim(FLAGS_seed);
  sim.AddNodes(domains, per_domain, [&](const DisseminationSim::Node& node) {
    const auto& candidates = watchers_by_domain[node.domain];
    return whole || node.domain == watchers_by_domain.begin()->first ||
           std::any_of(candidates.begin(), candidates.end(),
                       [&](const auto& candidate) { return candidate.second == node.name; });
  });
  sim.Start();
  sim.RunFor(std::chrono::seconds(10));
  fmt::print("{} members in {} failure domains, {} of them run\n", domains * per_domain, domains, sim.Nodes().size());
  fmt::print("  {:<20} {:<9} {:>5} {:>17} {:>17} {:>15} {:>17}\n", "", "", "nodes", "bytes out/s", "bytes in/s",
             "messages out/s", "% of a core");
  fmt::print("  {:<20} {:<9} {:>5} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>8} {:>8}\n", "phase", "part", "", "mean",
             "most", "mean", "most", "mean", "most", "mean", "most");
  const DisseminationSim::Node* first = &sim.Nodes().begin()->second;
  ReportPhase(first, &sim, "at rest", RunPhase(&sim, false));
  ReportPhase(first, &sim, "small changes", RunPhase(&sim, true));
  std::vector<proto::SlicePack> packs(8, NewPack());
  for (std::size_t i = 0; i < packs.size(); ++i) {
    sim.Put(SlicePackKey("storefront", static_cast<std::uint32_t>(i) * kSlicesPerPack), packs[i].SerializeAsString());
  }
  sim.RunFor(std::chrono::seconds(5));
  ReportPhase(first, &sim, "with 9 KB packs", RunPhase(&sim, true, &packs));
  sim.SetStoreDown(true, /*silent=*/true);
  ReportPhase(first, &sim, "store outage", RunPhase(&sim, false));
}

}  // namespace
}  // namespace magnoliaarch

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures bytes, messages and processor time of dissemination");
  gflags::SetVersionString(MAGNOLIAARCH_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  for (const auto text : absl::StrSplit(FLAGS_members, ',')) {
    magnoliaarch::Measure(std::atoi(std::string(text).c_str()));
  }
  return 0;
}
