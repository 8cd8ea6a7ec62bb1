// Open-loop load generator for a running deployment.

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "flags_p.h"
#include "ini_p.h"
#include "load_p.h"
#include "magnoliaarch/settings.h"
#include "text_p.h"

DECLARE_bool(help);
DECLARE_bool(version);
DEFINE_string(nodes, "", "ingress addresses, IP:PORT, separated by commas");
DEFINE_string(keys, "", "INI file of workspace keys");
DEFINE_string(targets, "", "target addresses whose statistics are compared with the answers");
DEFINE_string(out, "", "prefix of the report files");
DEFINE_double(rate, 0, "requests per second instead of the mix's rate");
DEFINE_double(duration_s, 0, "duration instead of the mix's");
DEFINE_int64(seed, -1, "seed instead of the mix's");
DEFINE_uint32(threads, 2, "sending threads");
DEFINE_uint32(max_in_flight, 2000, "requests in flight in each thread");

namespace magnoliaarch {
namespace {

constexpr const char* kUsage = R"(usage: magnolia-load --nodes IP:PORT,... [FLAGS] MIX

Sends the requests of a mix file at their intended times, whether or not earlier answers have arrived, and checks that
each answer matches its request. Latency is measured from the intended send time.

flags:
  --nodes LIST         ingress addresses, IP:PORT, separated by commas
  --keys FILE          workspace keys: section [keys] with lines WORKSPACE = KEY
  --targets LIST       target addresses; their statistics reveal requests executed twice or despite a not-run answer
  --out PREFIX         write PREFIX.csv, PREFIX-time.csv and PREFIX.html
  --rate R, --duration_s S, --seed N    instead of the mix's values
  --threads N          sending threads (default 2)
  --max_in_flight N    requests in flight in each thread (default 2000); more are counted as unsent
  --help, --version

exit codes: 0 success; 1 an answer was wrong or crossed, a request id was repeated, or a request was executed twice or
despite a not-run answer; 2 invalid usage or input
)";

int BadInput(std::string_view message) {
  std::cerr << message << "\nrun 'magnolia-load --help' for usage\n";
  return kExitBadInput;
}

bool CheckAddresses(const std::vector<std::string>& addresses, const char* flag) {
  for (const std::string& address : addresses) {
    if (!IsSocketAddress(address)) {
      BadInput(Cat("--", flag, " holds '", address, "', expected IP:PORT"));
      return false;
    }
  }
  return true;
}

bool WriteFile(const std::string& name, const std::string& text) {
  std::ofstream file(name, std::ios::binary);
  file << text;
  file.close();
  if (!file) {
    std::cerr << name << ": cannot be written\n";
    return false;
  }
  return true;
}

// Reads and parses a file. Returns the error of the read or of the parser.
template <typename Parse>
auto ReadAndParse(const std::string& file_name, Parse parse) -> decltype(parse("", file_name)) {
  const absl::StatusOr<std::string> text = ReadTextFile(file_name);
  if (!text.ok()) {
    return text.status();
  }
  return parse(*text, file_name);
}

int RunProgram(const std::vector<std::string>& arguments) {
  if (arguments.size() != 1) {
    return BadInput("expected one mix file");
  }
  absl::StatusOr<LoadMix> mix = ReadAndParse(arguments[0], ParseLoadMix);
  if (!mix.ok()) {
    return BadInput(std::string(mix.status().message()));
  }
  LoadOptions options;
  options.nodes = SplitList(FLAGS_nodes);
  const std::vector<std::string> targets = SplitList(FLAGS_targets);
  if (options.nodes.empty()) {
    return BadInput("--nodes is missing");
  }
  if (!CheckAddresses(options.nodes, "nodes") || !CheckAddresses(targets, "targets")) {
    return kExitBadInput;
  }
  if (FLAGS_rate < 0 || FLAGS_duration_s < 0 || FLAGS_seed < -1 || FLAGS_seed > UINT32_MAX || FLAGS_threads == 0 ||
      FLAGS_threads > 64 || FLAGS_max_in_flight == 0) {
    return BadInput("--rate, --duration_s, --seed, --threads or --max_in_flight is out of range");
  }
  if (!FLAGS_keys.empty()) {
    absl::StatusOr<std::map<std::string, std::string>> keys = ReadAndParse(FLAGS_keys, ParseLoadKeys);
    if (!keys.ok()) {
      return BadInput(std::string(keys.status().message()));
    }
    options.keys = *std::move(keys);
  }
  mix->rate = FLAGS_rate > 0 ? FLAGS_rate : mix->rate;
  mix->duration_s = FLAGS_duration_s > 0 ? FLAGS_duration_s : mix->duration_s;
  mix->seed = FLAGS_seed >= 0 ? static_cast<std::uint32_t>(FLAGS_seed) : mix->seed;
  options.threads = FLAGS_threads;
  options.max_in_flight = FLAGS_max_in_flight;
  options.run_id = fmt::format("{:016x}", RandomNumber());
  options.keep_records = !targets.empty();

  LoadResults results(*mix);
  options.on_progress = [&](double elapsed_s) {
    const LoadSeries& all = results.All();
    std::cerr << fmt::format(
        "{:.0f} s: asked {}, correct {}, refused {}, wrong {}, crossed {}, missing {}, p99 {:.1f} ms\n", elapsed_s,
        all.requests.Value(), all.Count(LoadOutcome::kCorrect), all.Count(LoadOutcome::kRefused),
        all.Count(LoadOutcome::kWrong), all.Count(LoadOutcome::kCrossed), all.Count(LoadOutcome::kMissing),
        all.latency.Quantile(0.99) * 1000);
  };
  RunLoad(*mix, options, &results);

  bool complete = true;
  if (!targets.empty()) {
    LoadExecutions executions;
    for (const std::string& target : targets) {
      const absl::StatusOr<std::string> stats = FetchTargetStats(target);
      const absl::Status status = stats.ok() ? AddTargetStats(*stats, &executions) : stats.status();
      if (!status.ok()) {
        std::cerr << status.message() << "; its executions are not checked\n";
        complete = false;
      }
    }
    results.CheckExecutions(executions);
  }
  std::cout << LoadSummary(results) << std::flush;
  if (!FLAGS_out.empty()) {
    complete = WriteFile(FLAGS_out + ".csv", LoadCsv(results)) && complete;
    complete = WriteFile(FLAGS_out + "-time.csv", LoadTimeCsv(results)) && complete;
    complete = WriteFile(FLAGS_out + ".html", LoadHtml(results, Cat("magnolia-load ", arguments[0]))) && complete;
  }
  return results.HasNoViolations() && complete ? 0 : 1;
}

}  // namespace
}  // namespace magnoliaarch

int main(int argc, char** argv) {
  const absl::StatusOr<std::vector<std::string>> arguments = magnoliaarch::ParseFlags(argc, argv);
  if (!arguments.ok()) {
    return magnoliaarch::BadInput(std::string(arguments.status().message()));
  }
  if (FLAGS_help) {
    std::cout << magnoliaarch::kUsage;
    return 0;
  }
  if (FLAGS_version) {
    std::cout << "magnolia-load " MAGNOLIAARCH_VERSION "\n";
    return 0;
  }
  return magnoliaarch::RunProgram(*arguments);
}
