#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <variant>

#include "magnoliaarch/admission.h"

namespace magnoliaarch {
namespace {

enum class Fault {
  kNone,
  kLost,
  kLate,
  kRepeated,
  kHolderPaused,
  kHolderReplaced,
  kAllocatorPaused,
  kAllocatorLost,
  kAll
};
constexpr int kFaults = 9;
enum class Step { kReportSent, kReportTaken, kGrantSent, kGrantTaken, kNewAllocator, kTokensReturned, kStarved };
constexpr int kSteps = 7;

enum class Load {
  kLarge,  // more than the limit
  kSmall,  // a small workspace whose requests wait for tokens
};

struct Options {
  std::uint64_t seed = 1;
  Fault fault = Fault::kNone;
  Step step = Step::kReportSent;
  bool tree = false;  // whether two inner allocators are between root and holders
  Load load = Load::kLarge;
  bool announce_term_at_once = false;  // holders learn a new term at once, but not yet which root to report to
  ShareFaults faults;
};

constexpr ShareAmount kLimit{200, 20};
constexpr ShareAmount kSmallLimit{40, 40};
constexpr int kHolders = 4;
constexpr int kTickUs = 5000;
constexpr int kRunTicks = 4000;

// Simulates ingress nodes and inner and root allocators in virtual time, with clock drift and faults injected at chosen
// steps. An ideal token bucket with the workspace's rate and burst checks the limit: it sees only the times of the
// admitted requests.
class ShareSim {
 public:
  explicit ShareSim(const Options& options)
      : m_options(options), m_random(options.seed), m_limit(options.load == Load::kSmall ? kSmallLimit : kLimit) {
    for (int i = 0; i < kHolders; ++i) {
      m_holders.push_back({NewClock(-0.004), {}, {}});
      ReplaceHolder(i);
    }
    if (options.tree) {
      for (int i = 0; i < 2; ++i) {
        m_inners.push_back({NewClock(0), {}, {}});
        ReplaceInner(i);
      }
    }
    m_countdown = Random(1, 30);
  }

  // Runs the simulation and returns the number of admissions beyond the limit.
  int Run() {
    StartRoot();
    for (int tick = 0; tick < kRunTicks; ++tick) {
      m_now_us = static_cast<std::int64_t>(tick) * kTickUs;
      RunRoleLease();
      Deliver();
      for (int i = 0; i < kHolders; ++i) {
        RunHolder(i, tick);
      }
      for (std::size_t i = 0; i < m_inners.size(); ++i) {
        RunInner(static_cast<int>(i));
      }
    }
    return m_violations;
  }
  int Injections() const { return m_injections; }
  int Admitted() const { return m_admitted; }
  bool Reached(Step step) const { return m_reached[static_cast<std::size_t>(step)]; }

 private:
  struct Clock {
    std::int64_t offset = 0;
    double drift = 0;
    std::int64_t paused_until = 0;
  };
  struct Holder {
    Clock clock;
    std::unique_ptr<ShareHolder> holder;
    std::uint64_t incarnation = 0;
    std::vector<TimePoint> waiting = {};  // arrival times of waiting requests
  };
  struct Inner {
    Clock clock;
    std::unique_ptr<InnerAllocator> inner;
    std::uint64_t incarnation = 0;
  };
  struct Root {
    Clock clock;
    std::unique_ptr<ShareAllocator> allocator;
    std::int64_t last_renewal = 0;
  };
  // A report on the way to an allocator, or its grant on the way back. `target` and `source` are indices of holders,
  // inner allocators or roots.
  struct Message {
    std::int64_t at = 0;
    bool to_holder = false, to_inner = false;  // neither: to a root
    std::size_t target = 0;
    bool from_inner = false;
    std::size_t source = 0;
    std::variant<proto::ShareReport, proto::ShareGrant> body;
  };

  std::int64_t Random(std::int64_t least, std::int64_t most) {
    return least + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(most - least + 1));
  }
  Clock NewClock(double drift) { return {Random(3600000000, 7200000000), drift, 0}; }
  TimePoint Now(const Clock& clock) const {
    return TimePoint(
        Duration(clock.offset + static_cast<std::int64_t>(static_cast<double>(m_now_us) * (1 + clock.drift))));
  }
  bool Paused(const Clock& clock) const { return m_now_us < clock.paused_until; }

  void ReplaceHolder(int i) {
    Holder& holder = m_holders[static_cast<std::size_t>(i)];
    ShareHolderOptions options;
    options.faults = m_options.faults;
    holder.waiting.clear();
    holder.holder = std::make_unique<ShareHolder>(options, "temple", IncarnationId{std::to_string(i), ++m_incarnation});
  }
  void ReplaceInner(int i) {
    Inner& inner = m_inners[static_cast<std::size_t>(i)];
    ShareHolderOptions holder_options;
    ShareAllocatorOptions allocator_options;
    holder_options.faults = m_options.faults;
    allocator_options.faults = m_options.faults;
    ++m_incarnation;
    inner.inner = std::make_unique<InnerAllocator>(holder_options, allocator_options, "temple",
                                                   IncarnationId{"i" + std::to_string(i), m_incarnation}, m_incarnation,
                                                   Now(inner.clock));
  }
  void StartRoot() {
    Root root{NewClock(0.004), nullptr, m_now_us};
    ShareAllocatorOptions options;
    options.faults = m_options.faults;
    root.allocator = std::make_unique<ShareAllocator>(options, "temple", m_roots.size() + 1, Now(root.clock));
    root.allocator->SetLimit(Now(root.clock), m_limit);
    m_roots.push_back(std::move(root));
    Renew(m_roots.back());
    for (std::int64_t& updated_at : m_view_updated_at) {
      updated_at = m_now_us + Random(0, 8000000);
    }
    for (Holder& holder : m_holders) {
      if (m_options.announce_term_at_once && !m_options.tree) {
        holder.holder->OnTerm(m_roots.size());
      }
    }
    ReachStep(Step::kNewAllocator, 0);
  }
  static constexpr std::int64_t kRoleUs = 1500000;
  void Renew(Root& root) {
    root.last_renewal = m_now_us;
    root.allocator->SetRoleValidUntil(Now(root.clock) + Duration(kRoleUs * 99 / 100));
  }
  // Simulates the role lease in the store: another root starts when the last one has not renewed it in time.
  void RunRoleLease() {
    Root& root = m_roots.back();
    if (!Paused(root.clock) && m_now_us - root.last_renewal >= 500000 && m_now_us - root.last_renewal < kRoleUs) {
      Renew(root);
    }
    if (m_now_us - root.last_renewal >= kRoleUs) {
      StartRoot();
    }
  }
  // Index of the root that this holder's view shows.
  std::size_t SeenRoot(std::size_t holder) const {
    return m_now_us >= m_view_updated_at[holder] || m_roots.size() < 2 ? m_roots.size() - 1 : m_roots.size() - 2;
  }

  void Send(Message message, Step step) {
    ReachStep(step, message.to_holder ? message.target : message.source);
    message.at = m_now_us + Random(500, 20000);
    const Fault fault = m_faulty_messages > 0 ? m_next_fault : Fault::kNone;
    --m_faulty_messages;
    // For steps that depend on the content of reports, the holder's reports are lost or late as well.
    const bool reports_too = m_options.step == Step::kTokensReturned || m_options.step == Step::kStarved;
    const bool of_window = message.to_holder ? message.target == m_window_holder
                                             : reports_too && !message.from_inner && !message.to_inner &&
                                                   message.source == m_window_holder;
    if (m_now_us < m_window_until && of_window) {
      if (m_delay == 0) {
        return;
      }
      message.at += m_delay;
    }
    if (fault == Fault::kRepeated) {
      Message copy = message;
      copy.at += Random(0, 5000000);
      m_messages.push_back(std::move(copy));
    }
    m_messages.push_back(std::move(message));
  }

  void Deliver() {
    std::vector<Message> due;
    for (std::size_t i = 0; i < m_messages.size();) {
      const Message& message = m_messages[i];
      const Clock& clock = message.to_holder  ? m_holders[message.target].clock
                           : message.to_inner ? m_inners[message.target].clock
                                              : m_roots[message.target].clock;
      if (message.at <= m_now_us && !Paused(clock)) {
        due.push_back(std::move(m_messages[i]));
        m_messages[i] = std::move(m_messages.back());
        m_messages.pop_back();
      } else {
        ++i;
      }
    }
    for (const Message& message : due) {
      Receive(message);
    }
  }

  void Receive(const Message& message) {
    if (const auto* report = std::get_if<proto::ShareReport>(&message.body); report != nullptr) {
      std::optional<proto::ShareGrant> grant;
      if (message.to_inner) {
        Inner& inner = m_inners[message.target];
        grant = inner.inner->OnReport(Now(inner.clock), *report);
      } else {
        Root& root = m_roots[message.target];
        grant = root.allocator->OnReport(Now(root.clock), *report);
      }
      ReachStep(Step::kReportTaken, message.source);
      if (grant.has_value()) {
        Send({0, !message.from_inner, message.from_inner, message.source, false, message.source, *grant},
             Step::kGrantSent);
      }
      return;
    }
    const auto& grant = std::get<proto::ShareGrant>(message.body);
    if (message.to_inner) {
      Inner& inner = m_inners[message.target];
      inner.inner->OnGrant(Now(inner.clock), grant);
    } else {
      Holder& holder = m_holders[message.target];
      holder.holder->OnGrant(Now(holder.clock), grant);
    }
    ReachStep(Step::kGrantTaken, message.target);
  }

  void RunHolder(int i, int tick) {
    Holder& holder = m_holders[static_cast<std::size_t>(i)];
    if (Paused(holder.clock)) {
      return;
    }
    if (m_options.load == Load::kSmall) {
      RunSmallLoad(holder, i, tick);
    } else {
      RunLargeLoad(holder, i, tick);
    }
    if (const auto report = holder.holder->Report(Now(holder.clock)); report.has_value()) {
      const std::size_t source = static_cast<std::size_t>(i);
      const std::size_t target = m_options.tree ? source % 2 : SeenRoot(source);
      if (report->returned() > 0) {
        ReachStep(Step::kTokensReturned, source);
      }
      if (report->starved() > 0) {
        ReachStep(Step::kStarved, source);
      }
      Send({0, false, m_options.tree, target, false, source, *report}, Step::kReportSent);
    }
  }

  // A time of low load fills every bucket. Then either all nodes but one, which takes turns, send more than the limit
  // together, or each node in turn sends many requests. Bursts shrink while they contain tokens and other nodes have
  // none.
  void RunSmallLoad(Holder& holder, int i, int tick) {
    const TimePoint now = Now(holder.clock);
    std::erase_if(holder.waiting, [&](TimePoint since) {
      const Admission admission = holder.holder->Admit(now, std::max(now - since, Duration(1)));
      if (admission == Admission::kAdmitted) {
        CountAdmission();
      }
      return admission != Admission::kWait;
    });
    const int phase = tick / 60 % 8;
    const double pulse = phase == 2 * i ? 150 : phase == 2 * i + 1 ? 5 : 1;
    const double steady = tick / 200 % kHolders == i ? 1 : 20;
    const double rate = tick % 800 < 300 ? 0.5 : tick / 800 % 3 == 2 ? pulse : steady;
    const int arrivals = std::poisson_distribution<int>(std::max(1e-9, rate * kTickUs / 1e6))(m_random);
    for (int n = 0; n < arrivals; ++n) {
      const Admission admission = holder.holder->Admit(now);
      if (admission == Admission::kAdmitted) {
        CountAdmission();
      } else if (admission == Admission::kWait) {
        holder.waiting.push_back(now);
      }
    }
  }

  void RunLargeLoad(Holder& holder, int i, int tick) {
    // Callers send more than the limit, alternating between one node and all nodes.
    const int hot = static_cast<int>((m_options.seed + static_cast<std::uint64_t>(tick / 800)) % kHolders);
    const double wanted = (i == hot || tick / 400 % 2 == 1 ? 400 : 10) * (kTickUs / 1e6);
    const int arrivals = std::poisson_distribution<int>(std::max(1e-9, wanted))(m_random);
    for (int n = 0; n < arrivals; ++n) {
      if (holder.holder->Admit(Now(holder.clock)) == Admission::kAdmitted) {
        CountAdmission();
      } else {
        holder.holder->OnWaiterGone();
      }
    }
  }

  void RunInner(int i) {
    Inner& inner = m_inners[static_cast<std::size_t>(i)];
    if (Paused(inner.clock)) {
      return;
    }
    if (const auto report = inner.inner->Report(Now(inner.clock)); report.has_value()) {
      Send({0, false, false, SeenRoot(static_cast<std::size_t>(i)), true, static_cast<std::size_t>(i), *report},
           Step::kReportSent);
    }
  }

  void CountAdmission() {
    m_tokens =
        std::min(m_limit.burst, m_tokens + m_limit.rate * static_cast<double>(m_now_us - m_last_admission_us) / 1e6);
    m_last_admission_us = m_now_us;
    m_tokens -= 1;
    ++m_admitted;
    m_violations += m_tokens < -1e-6 ? 1 : 0;
  }

  void ReachStep(Step step, std::size_t source) {
    m_reached[static_cast<std::size_t>(step)] = true;
    if (step != m_options.step || m_options.fault == Fault::kNone || m_injections >= 8 || m_now_us < m_window_until ||
        --m_countdown > 0) {
      return;
    }
    m_countdown = m_options.step == Step::kNewAllocator ? 1 : Random(1, 30);
    ++m_injections;
    const Fault fault = m_options.fault == Fault::kAll
                            ? static_cast<Fault>(Random(1, static_cast<int>(Fault::kAllocatorLost)))
                            : m_options.fault;
    const std::int64_t pause = Random(200000, 6000000);
    switch (fault) {
      case Fault::kHolderPaused:
        m_holders[source].clock.paused_until = m_now_us + pause;
        break;
      case Fault::kHolderReplaced:
        ReplaceHolder(static_cast<int>(source));
        break;
      case Fault::kAllocatorPaused:
      case Fault::kAllocatorLost:
        if (m_options.tree && Random(0, 1) == 0) {
          Inner& inner = m_inners[source % 2];
          inner.clock.paused_until = m_now_us + pause;
          if (fault == Fault::kAllocatorLost) {
            ReplaceInner(static_cast<int>(source % 2));
          }
        } else {
          m_roots.back().clock.paused_until = fault == Fault::kAllocatorLost ? INT64_MAX : m_now_us + pause;
        }
        break;
      case Fault::kLost:
      case Fault::kLate:
        m_window_holder = source;
        m_window_until = m_now_us + Random(0, 10000000);
        m_delay = fault == Fault::kLost ? 0 : Random(100000, 6000000);
        break;
      default:
        m_next_fault = fault;
        m_faulty_messages = Random(1, 40);
    }
  }

  Options m_options;
  std::mt19937_64 m_random;
  std::vector<Holder> m_holders;
  std::vector<Inner> m_inners;
  std::vector<Root> m_roots;
  std::vector<Message> m_messages;
  std::int64_t m_now_us = 0;
  std::array<std::int64_t, kHolders> m_view_updated_at{};
  std::int64_t m_last_admission_us = 0;
  std::int64_t m_countdown = 0;
  std::uint64_t m_incarnation = 0;
  ShareAmount m_limit;
  double m_tokens = m_limit.burst;
  int m_violations = 0;
  int m_admitted = 0;
  int m_injections = 0;
  std::array<bool, kSteps> m_reached{};
  Fault m_next_fault = Fault::kNone;  // applies to the next m_faulty_messages messages
  std::int64_t m_faulty_messages = 0;
  // Until m_window_until, all grants to this holder are late by m_delay, or lost when it is 0.
  std::size_t m_window_holder = 0;
  std::int64_t m_window_until = 0;
  std::int64_t m_delay = 0;
};

std::uint64_t Seeds() {
  const char* text = std::getenv("MAGNOLIAARCH_MATRIX_SEEDS");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : 4;
}

// Guards against a workspace that exceeds its rate and burst over all hosts (I6) under lost, late and duplicate
// messages, paused and replaced holders, lost and paused allocators, and two allocators at once.
TEST_CASE("a workspace stays within its limit under every fault at every step") {
  int runs = 0;
  int injected = 0;
  std::int64_t admitted = 0;
  int returned = 0;
  int starved = 0;
  for (int fault = 0; fault < kFaults; ++fault) {
    for (int step = 0; step < kSteps; ++step) {
      for (const int kind : {0, 1, 2, 3}) {
        const bool tree = kind % 2 == 1;
        const Load load = static_cast<Load>(kind / 2);
        for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
          ShareSim sim({seed, static_cast<Fault>(fault), static_cast<Step>(step), tree, load, false, {}});
          const int violations = sim.Run();
          ++runs;
          injected += sim.Injections() > 0 ? 1 : 0;
          admitted += sim.Admitted();
          returned += sim.Reached(Step::kTokensReturned) ? 1 : 0;
          starved += sim.Reached(Step::kStarved) ? 1 : 0;
          if (violations > 0) {
            FAIL_CHECK("I6: " << violations << " admissions beyond the limit, fault " << fault << " step " << step
                              << " tree " << tree << " load " << kind / 2 << " seed " << seed);
          }
        }
      }
    }
  }
  std::cout << "share matrix: " << runs << " runs, a fault injected in " << injected << ", " << admitted / runs
            << " requests admitted a run, " << returned << " runs with returned tokens, " << starved
            << " with a starved holder\n";
}

// Runs seeds until the observer reports admissions beyond the limit. Runs with all rules enabled must report none.
void ExpectViolation(Options options) {
  Options without_faults = options;
  without_faults.faults = {};
  for (without_faults.seed = 1; without_faults.seed <= 20; ++without_faults.seed) {
    CHECK(ShareSim(without_faults).Run() == 0);
  }
  for (options.seed = 1; options.seed <= 400; ++options.seed) {
    if (const int violations = ShareSim(options).Run(); violations > 0) {
      std::cout << "caught: I6, " << violations << " admissions beyond the limit, seed " << options.seed << "\n";
      return;
    }
  }
  FAIL_CHECK("the observer never reported I6");
}

// Guards against an observer that never fails.
TEST_CASE("the observer reports each disabled rule of the share protocol") {
  Options options;
  SECTION("validity is counted from the receipt of the grant") {
    options.fault = Fault::kLate;
    options.step = Step::kGrantSent;
    options.faults.count_from_receipt = true;
    ExpectViolation(options);
  }
  SECTION("reordered and duplicate grants are accepted") {
    options.fault = Fault::kRepeated;
    options.step = Step::kGrantSent;
    options.faults.accept_old_grants = true;
    ExpectViolation(options);
  }
  SECTION("an expired share is used") {
    options.fault = Fault::kLost;
    options.faults.keep_expired_share = true;
    ExpectViolation(options);
  }
  SECTION("a larger burst is filled at once") {
    options.faults.fill_new_bucket = true;
    ExpectViolation(options);
  }
  SECTION("returned tokens are credited twice") {
    options.load = Load::kSmall;
    options.faults.credit_twice = true;
    ExpectViolation(options);
  }
  SECTION("a share is granted to others before it is returned") {
    options.fault = Fault::kLost;
    options.step = Step::kGrantSent;
    options.faults.reassign_unreturned_share = true;
    ExpectViolation(options);
  }
  SECTION("a new allocator assumes that no shares are outstanding") {
    options.fault = Fault::kAllocatorLost;
    options.faults.skip_restart_wait = true;
    ExpectViolation(options);
  }
  SECTION("an allocator grants after its role lease expired") {
    options.fault = Fault::kAllocatorPaused;
    options.faults.grant_after_role_lost = true;
    ExpectViolation(options);
  }
  SECTION("grants with lower terms are accepted while two allocators grant at once") {
    // Holders that know the new term ignore an old allocator that grants after its role lease expired.
    options.fault = Fault::kAllocatorPaused;
    options.announce_term_at_once = true;
    options.faults.grant_after_role_lost = true;
    for (options.seed = 1; options.seed <= 400; ++options.seed) {
      CHECK(ShareSim(options).Run() == 0);
    }
    options.faults.accept_lower_terms = true;
    ExpectViolation(options);
  }
}

}  // namespace
}  // namespace magnoliaarch
