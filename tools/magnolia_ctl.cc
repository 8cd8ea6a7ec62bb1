// Command-line tool for operators.

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_split.h"
#include "ctl_commands_p.h"
#include "flags_p.h"
#include "magnoliaarch/settings.h"
#include "magnoliaarch/store.h"
#include "magnoliaarch/types.h"
#include "text_p.h"

DECLARE_bool(help);
DECLARE_bool(version);
DEFINE_string(store, "127.0.0.1:2379", "address of the store, IP:PORT");
DEFINE_string(node, "", "metrics address of a mesh node, IP:PORT; several are tried in order, separated by commas");
DEFINE_string(author, "", "author of the change; default: the environment variable USER");
DEFINE_bool(json, false, "status as JSON");
DEFINE_uint32(timeout_ms, 5000, "time limit of one store call");
DEFINE_uint32(days, 7, "days that history and audit look back");
DEFINE_uint32(limit, 100, "lines that history and audit print at most");
DEFINE_int64(at_version, -1, "apply only if the stored catalogue has this version");

namespace magnoliaarch {
namespace {

constexpr const char* kUsage = R"(usage: magnolia-ctl [FLAGS] COMMAND

  check FILE                       check a catalogue file; needs no store
  diff FILE                        show what applying the file would change
  apply FILE                       make the stored catalogue equal to the file
  get                              print the stored catalogue
  history                          list catalogue changes, newest first
  domain out NAME                  take a failure domain out of service
  domain in NAME                   return it to service
  key issue WORKSPACE              issue a workspace key; standard output holds the key only
  key withdraw WORKSPACE KEY_ID    withdraw a workspace key
  host lost NODE                   declare that a host will never run again; if it still runs, its keys may get two
                                   owners
  status                           members, slices by owner, roles, domains, unavailable slices and why
  mesh status                      members, owners of keys, and unserved services and keys of a mesh; needs --node
  audit                            list audit records, newest first

flags:
  --store IP:PORT     address of the store (default 127.0.0.1:2379)
  --node IP:PORT,...  mesh status: metrics addresses of mesh nodes; the first that answers is shown
  --author NAME       author of the change (default: the environment variable USER)
  --at_version N      apply: refuse if the stored catalogue has another version
  --json              status, mesh status: print JSON
  --days N            history, audit: days to look back (default 7)
  --limit N           history, audit: lines to print (default 100)
  --timeout_ms N      time limit of one store call (default 5000)
  --help, --version

exit codes: 0 success, 1 refused or in conflict with another change, 2 invalid usage or input, 3 store unreachable
)";

CtlResult BadUsage(const std::string& message) {
  return {kCtlBadInput, "", Cat(message, "\nrun 'magnolia-ctl --help' for usage\n")};
}

CtlResult RunWithFile(const std::string& file_name, const std::function<CtlResult(const std::string&)>& run) {
  const absl::StatusOr<std::string> text = ReadTextFile(file_name);
  if (!text.ok()) {
    return {kCtlBadInput, "", Cat(std::string(text.status().message()), "\n")};
  }
  return run(*text);
}

CtlResult RunMeshStatus() {
  const std::vector<std::string> nodes = absl::StrSplit(FLAGS_node, ',');
  if (FLAGS_node.empty() || !std::all_of(nodes.begin(), nodes.end(), IsSocketAddress)) {
    return BadUsage(Cat("--node is '", FLAGS_node, "', expected IP:PORT, or several separated by commas"));
  }
  std::string failures;
  for (const std::string& node : nodes) {
    const absl::StatusOr<std::string> page = FetchMeshStatus(node, std::chrono::milliseconds(FLAGS_timeout_ms));
    if (page.ok()) {
      return FLAGS_json ? CtlResult{kCtlSuccess, *page, failures} : CtlMeshStatus(*page);
    }
    AppendText(&failures, node, ": ", std::string(page.status().message()), "\n");
  }
  return {kCtlStoreUnavailable, "", failures};
}

CtlResult RunCommand(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    return BadUsage("a command is missing");
  }
  if (arguments[0] == "check" && arguments.size() == 2) {
    return RunWithFile(arguments[1], [&](const std::string& text) { return CtlCheck(text, arguments[1]); });
  }
  if (arguments.size() == 2 && arguments[0] == "mesh" && arguments[1] == "status") {
    return RunMeshStatus();
  }
  if (!IsSocketAddress(FLAGS_store)) {
    return BadUsage(Cat("--store is '", FLAGS_store, "', expected IP:PORT"));
  }
  if (FLAGS_timeout_ms == 0 || FLAGS_days == 0 || FLAGS_days > 3650 || FLAGS_at_version < -1) {
    return BadUsage("expected --timeout_ms of at least 1, --days from 1 to 3650 and --at_version of at least 0");
  }
  const char* const user = std::getenv("USER");
  const std::string author = !FLAGS_author.empty() ? FLAGS_author : user != nullptr ? user : "";
  const std::unique_ptr<Store> store = CreateEtcdStore(FLAGS_store, std::chrono::milliseconds(FLAGS_timeout_ms));
  CtlContext context;
  context.store = store.get();
  context.author = author;
  context.now_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
  context.make_write_id = [] { return RequestId::Random().ToString(); };
  context.sleep = [](Duration pause) { std::this_thread::sleep_for(pause); };
  const CtlReadOptions options{FLAGS_days, FLAGS_limit};

  // Commands by their one-word or two-word name, with the number of operands.
  struct Command {
    std::size_t operands;
    bool changes_store;
    std::function<CtlResult(const std::vector<std::string>&)> run;
  };
  using Operands = std::vector<std::string>;
  const std::map<std::string, Command> commands = {
      {"diff",
       {1, false,
        [&](const Operands& operands) {
          return RunWithFile(operands[0], [&](const std::string& text) { return CtlDiff(context, text, operands[0]); });
        }}},
      {"apply",
       {1, true,
        [&](const Operands& operands) {
          return RunWithFile(operands[0], [&](const std::string& text) {
            const auto expected = FLAGS_at_version < 0
                                      ? std::nullopt
                                      : std::optional<std::uint64_t>(static_cast<std::uint64_t>(FLAGS_at_version));
            return CtlApply(context, text, operands[0], expected);
          });
        }}},
      {"get", {0, false, [&](const Operands&) { return CtlGet(context); }}},
      {"history", {0, false, [&](const Operands&) { return CtlHistory(context, options); }}},
      {"audit", {0, false, [&](const Operands&) { return CtlAudit(context, options); }}},
      {"status", {0, false, [&](const Operands&) { return CtlStatus(context, FLAGS_json); }}},
      {"domain out", {1, true, [&](const Operands& operands) { return CtlDomain(context, operands[0], true); }}},
      {"domain in", {1, true, [&](const Operands& operands) { return CtlDomain(context, operands[0], false); }}},
      {"key issue", {1, true, [&](const Operands& operands) { return CtlKeyIssue(context, operands[0]); }}},
      {"key withdraw",
       {2, true, [&](const Operands& operands) { return CtlKeyWithdraw(context, operands[0], operands[1]); }}},
      {"host lost", {1, true, [&](const Operands& operands) { return CtlHostLost(context, operands[0]); }}},
  };
  for (const std::size_t word_count : {std::size_t{1}, std::size_t{2}}) {
    if (arguments.size() < word_count) {
      break;
    }
    const std::string name = word_count == 1 ? arguments[0] : Cat(arguments[0], " ", arguments[1]);
    const auto found = commands.find(name);
    if (found != commands.end()) {
      const Operands operands(arguments.begin() + static_cast<std::ptrdiff_t>(word_count), arguments.end());
      if (operands.size() != found->second.operands) {
        return BadUsage(
            Cat("'", name, "' takes ", found->second.operands, " operands, but ", operands.size(), " were given"));
      }
      if (found->second.changes_store && author.empty()) {
        return BadUsage("the author of the change is unknown, expected --author NAME");
      }
      return found->second.run(operands);
    }
  }
  return BadUsage(Cat("unknown command '", arguments[0], "'"));
}

}  // namespace
}  // namespace magnoliaarch

int main(int argc, char** argv) {
  const absl::StatusOr<std::vector<std::string>> arguments = magnoliaarch::ParseFlags(argc, argv);
  if (!arguments.ok()) {
    std::cerr << arguments.status().message() << '\n';
    return magnoliaarch::kCtlBadInput;
  }
  if (FLAGS_help) {
    std::cout << magnoliaarch::kUsage;
    return 0;
  }
  if (FLAGS_version) {
    std::cout << "magnolia-ctl " MAGNOLIAARCH_VERSION "\n";
    return 0;
  }
  const magnoliaarch::CtlResult result = magnoliaarch::RunCommand(*arguments);
  std::cout << result.out << std::flush;
  std::cerr << result.err << std::flush;
  return result.exit_code;
}
