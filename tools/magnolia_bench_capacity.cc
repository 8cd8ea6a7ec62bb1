// Measures the values in docs/CAPACITY.md: memory and CPU time of the view of a node at several fleet sizes.

#include <malloc.h>

#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "absl/strings/str_split.h"
#include "hmac_p.h"
#include "magnoliaarch/assignment.h"
#include "magnoliaarch/lease.h"
#include "magnoliaarch/role.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"
#include "magnoliaarch/workspace_keys.h"

DEFINE_string(nodes, "100,1000,11000", "Fleet sizes to measure, separated by commas.");
DEFINE_uint32(slices_per_node, 6, "Slices owned by each node.");

namespace magnoliaarch {
namespace {

constexpr std::uint32_t kDomains = 18;
constexpr std::uint32_t kRegions = 7;
constexpr int kUpdates = 50;
constexpr int kLookups = 200000;
constexpr const char* kEntryName = "storefront";

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double MicrosSince(TimePoint start) {
  return static_cast<double>((BootClock::now() - start).count());
}

std::string NodeName(std::uint32_t node) {
  return fmt::format("node-{:05}", node);
}

proto::ViewRecord MemberAt(std::uint32_t node, std::int64_t revision) {
  proto::MemberRecord member;
  member.set_node(NodeName(node));
  member.set_incarnation(RandomNumber());
  member.set_region(fmt::format("region-{}", node % kRegions));
  member.set_domain(fmt::format("domain-{:02}", node % kDomains));
  member.set_ip(fmt::format("10.{}.{}.{}", node >> 16, (node >> 8) & 255, node & 255));
  member.set_ingress_port(8080);
  member.set_peer_port(8081);
  member.set_lease_port(8082);
  member.set_admin_port(8083);
  member.set_entry(kEntryName);
  for (std::uint32_t i = 1; i <= 3; ++i) {
    proto::Incarnation* witness = member.add_witnesses();
    witness->set_node(NodeName(node + i));
    witness->set_number(RandomNumber());
  }
  member.set_write_id(RequestId::Random().ToString());
  proto::ViewRecord record;
  record.set_key(std::string(kMemberPrefix) + member.node());
  record.set_revision(revision);
  record.set_value(member.SerializeAsString());
  return record;
}

proto::ViewRecord PackAt(std::uint32_t first_slice, std::uint32_t nodes, std::int64_t revision) {
  proto::SlicePack pack;
  pack.set_entry(kEntryName);
  pack.set_first_slice(first_slice);
  for (std::uint32_t i = 0; i < kSlicesPerPack; ++i) {
    proto::SliceRecord* slice = pack.add_slices();
    slice->set_owner(NodeName((first_slice + i) % nodes));
    slice->set_owner_incarnation(RandomNumber());
    slice->set_epoch(1);
    slice->set_state(proto::SLICE_STATE_OWNED);
  }
  pack.set_write_id(RequestId::Random().ToString());
  proto::ViewRecord record;
  record.set_key(SlicePackKey(kEntryName, first_slice));
  record.set_revision(revision);
  record.set_value(pack.SerializeAsString());
  return record;
}

std::uint32_t SlicesFor(std::uint32_t nodes) {
  std::uint32_t slices = kSlicesPerPack;
  while (slices < nodes * FLAGS_slices_per_node) {
    slices *= 2;
  }
  return slices;
}

// Returns all records of a fleet with one keyed entry.
std::vector<proto::ViewRecord> FleetRecords(std::uint32_t nodes) {
  std::vector<proto::ViewRecord> records;
  std::int64_t revision = 0;
  for (std::uint32_t node = 0; node < nodes; ++node) {
    records.push_back(MemberAt(node, ++revision));
  }
  for (std::uint32_t slice = 0; slice < SlicesFor(nodes); slice += kSlicesPerPack) {
    records.push_back(PackAt(slice, nodes, ++revision));
  }
  return records;
}

void MeasureView(std::uint32_t nodes) {
  const std::uint32_t slices = SlicesFor(nodes);
  const std::vector<proto::ViewRecord> records = FleetRecords(nodes);
  std::int64_t revision = records.back().revision();
  std::size_t wire_bytes = 0;
  for (const proto::ViewRecord& record : records) {
    wire_bytes += record.ByteSizeLong();
  }

  const std::size_t heap_before = HeapBytes();
  ViewBuilder builder;
  const TimePoint load_start = BootClock::now();
  for (const proto::ViewRecord& record : records) {
    builder.Apply(record);
  }
  std::shared_ptr<const View> view = builder.Snapshot();
  const double load_us = MicrosSince(load_start);
  const std::size_t view_bytes = HeapBytes() - heap_before;

  const TimePoint update_start = BootClock::now();
  for (int i = 0; i < kUpdates; ++i) {
    builder.Apply(MemberAt(static_cast<std::uint32_t>(i) % nodes, ++revision));
    builder.Advance(revision);
    view = builder.Snapshot();
  }
  const double update_us = MicrosSince(update_start) / kUpdates;

  proto::EntryRecord entry;
  entry.set_name(kEntryName);
  entry.set_slices(slices);
  std::uint64_t found = 0;
  const TimePoint lookup_start = BootClock::now();
  for (int i = 0; i < kLookups; ++i) {
    const proto::SliceRecord* slice = view->FindSlice(entry, static_cast<std::uint64_t>(i) * 0x9E3779B97F4A7C15ULL);
    found += slice != nullptr && view->FindMember(slice->owner()) != nullptr ? 1 : 0;
  }
  const double lookup_ns = MicrosSince(lookup_start) * 1000 / kLookups;

  fmt::print("{:>7} {:>8} {:>11.2f} {:>12.2f} {:>10.1f} {:>14.1f} {:>12.0f} {:>7.1f}%\n", nodes, slices,
             static_cast<double>(wire_bytes) / 1e6, static_cast<double>(view_bytes) / 1e6, load_us / 1000, update_us,
             lookup_ns, 100.0 * static_cast<double>(found) / kLookups);
}

// Returns the mean time of a call in microseconds.
template <typename Call>
double MeanMicros(int repeats, const Call& call) {
  const TimePoint start = BootClock::now();
  for (int i = 0; i < repeats; ++i) {
    call();
  }
  return MicrosSince(start) / repeats;
}

// Measures the CPU time of the state machines of one node for one change of the view.
void MeasureViewChange(std::uint32_t nodes) {
  ViewBuilder builder;
  for (const proto::ViewRecord& record : FleetRecords(nodes)) {
    builder.Apply(record);
  }
  std::int64_t revision = builder.Revision() + 1000000;
  const TimePoint now = BootClock::now();
  const proto::MemberRecord self = builder.Snapshot()->Members().begin()->second.record();
  const IncarnationId self_id{self.node(), self.incarnation()};

  LeaseOwner owner(self);
  Witness witness(self_id, now);
  SliceOwner slice_owner(self_id, kEntryName);
  AssignerSettings settings;
  settings.entry = kEntryName;
  settings.slices = SlicesFor(nodes);
  settings.self = self_id;
  Assigner assigner(settings);
  std::vector<std::unique_ptr<RoleHolder>> roles;
  for (std::uint32_t first = 0; first < SlicesFor(nodes); first += kSlicesPerPack) {
    roles.push_back(std::make_unique<RoleHolder>(self_id, std::string(kAssignerRole),
                                                 AssignerRoleName(kEntryName, first), RoleOptions{}));
  }
  std::shared_ptr<const WorkspaceKeyIndex> keys;
  std::map<std::string, double> micros;
  constexpr int kChanges = 5;
  for (int i = 0; i < kChanges; ++i) {
    builder.Apply(MemberAt(static_cast<std::uint32_t>(i + 1) % nodes, ++revision));
    builder.Advance(revision);
    const std::shared_ptr<const View> view = builder.Snapshot();
    const ViewChanged event{view};
    micros["lease owner"] += MeanMicros(1, [&] { owner.Handle(event, now); }) / kChanges;
    micros["witness"] += MeanMicros(1, [&] { witness.Handle(event, now); }) / kChanges;
    micros["slice owner"] += MeanMicros(1, [&] { slice_owner.Handle(event); }) / kChanges;
    micros["assigner"] += MeanMicros(1, [&] { assigner.Handle(event, now); }) / kChanges;
    micros["workspace keys"] += MeanMicros(1, [&] { keys = WorkspaceKeyIndex::Build(*view, keys); }) / kChanges;
    micros["roles"] += MeanMicros(1,
                                  [&] {
                                    for (const std::unique_ptr<RoleHolder>& role : roles) {
                                      role->OnView(*view, now);
                                    }
                                  }) /
                       kChanges;
  }
  for (const auto& [part, us] : micros) {
    fmt::print("{:>7} {:<16} {:>12.1f} us per view change\n", nodes, part, us);
  }
}

// Measures the datagram sizes and the CPU time of one lease renewal: seal and open the request, grant it, seal and open
// the answer.
void MeasureRenewal() {
  constexpr int kRenewals = 20000;
  const std::string secret = "a secret that all nodes of the bench share";
  const TimePoint now = BootClock::now();
  Witness witness(IncarnationId{NodeName(1), RandomNumber()}, now);
  proto::PeerMessage request;
  // A renewal contains its sender in the body, not in the envelope.
  request.mutable_renew_request()->mutable_owner()->set_node(NodeName(2));
  request.mutable_renew_request()->mutable_owner()->set_number(RandomNumber());
  std::size_t request_bytes = 0;
  std::size_t answer_bytes = 0;
  std::uint64_t sequence = 0;
  const double micros = MeanMicros(kRenewals, [&] {
    request.mutable_renew_request()->set_sequence(++sequence);
    const std::string datagram = SealDatagram(secret, request.SerializeAsString());
    request_bytes = datagram.size();
    proto::PeerMessage received;
    received.ParseFromString(*OpenDatagram(secret, datagram));
    for (const LeaseAction& action : witness.Handle(DatagramReceived{received}, now)) {
      if (const SendDatagram* send = std::get_if<SendDatagram>(&action)) {
        const std::string answer = SealDatagram(secret, send->message.SerializeAsString());
        answer_bytes = answer.size();
        received.ParseFromString(*OpenDatagram(secret, answer));
      }
    }
  });
  fmt::print("renewal: request {} bytes, answer {} bytes, {:.1f} us for both ends\n", request_bytes, answer_bytes,
             micros);
}

}  // namespace
}  // namespace magnoliaarch

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the view's memory and processor time at several fleet sizes");
  gflags::SetVersionString(MAGNOLIAARCH_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  fmt::print("{:>7} {:>8} {:>11} {:>12} {:>10} {:>14} {:>12} {:>8}\n", "nodes", "slices", "wire MB", "memory MB",
             "load ms", "us per update", "ns per look", "found");
  std::vector<std::uint32_t> sizes;
  for (const auto text : absl::StrSplit(FLAGS_nodes, ',')) {
    sizes.push_back(static_cast<std::uint32_t>(std::strtoul(std::string(text).c_str(), nullptr, 10)));
  }
  for (const std::uint32_t nodes : sizes) {
    magnoliaarch::MeasureView(nodes);
  }
  for (const std::uint32_t nodes : sizes) {
    magnoliaarch::MeasureViewChange(nodes);
  }
  magnoliaarch::MeasureRenewal();
  return 0;
}
