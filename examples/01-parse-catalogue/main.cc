// Parses two versions of a catalogue and prints their differences, then prints the errors of an invalid catalogue.

#include <iostream>
#include <string>

#include "magnoliaarch/catalogue.h"

namespace {

constexpr const char* kStoredText = R"([entry storefront]
owner = storefront team
routing = keyed
slices = 32
cold_limit = 1
warm_limit = 6
kind.compose-check = prompt, idempotent

[workspace sapporo-guild]
owner = sapporo guild
rate = 600
burst = 1200
)";

constexpr const char* kInvalidText = R"([entry storefront]
owner = storefront team
routing = keyed
slices = 33
cold_limit = 9
warm_limit = 6
workspaces = otaru-heralds
)";

}  // namespace

int main() {
  const auto before = magnoliaarch::ParseCatalogue(kStoredText, "before.ini");
  std::string text = kStoredText;
  text.replace(text.find("warm_limit = 6"), 14, "warm_limit = 8");
  const auto after = magnoliaarch::ParseCatalogue(text + "\n[domain ishikari-a]\nstate = out\n", "after.ini");
  if (!before.ok() || !after.ok()) {
    std::cerr << before.status() << '\n' << after.status() << '\n';
    return 1;
  }
  std::cout << "changes:\n" << magnoliaarch::FormatChanges(magnoliaarch::DiffCatalogues(*before, *after));

  const auto faulty = magnoliaarch::ParseCatalogue(kInvalidText, "faulty.ini");
  std::cout << "\nerrors of a faulty catalogue:\n" << faulty.status().message() << '\n';
  return faulty.ok() ? 1 : 0;
}
