// Finds and removes HTTP header fields.

#ifndef MAGNOLIAARCH_SRC_HTTP_HEADERS_P_H_
#define MAGNOLIAARCH_SRC_HTTP_HEADERS_P_H_

#include <string>
#include <string_view>
#include <vector>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

// Compares two ASCII strings without regard to case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// Returns the value of the first field with this name (case-insensitive); null if absent.
const std::string* FindHeader(const std::vector<Header>& headers, std::string_view name);

// Removes the hop-by-hop fields (RFC 9110, section 7.6.1), including those that `Connection` lists, and the framing
// fields, which each hop sets itself.
void RemoveHopByHop(std::vector<Header>* headers);

// Removes all fields with this name (case-insensitive).
void RemoveHeader(std::vector<Header>* headers, std::string_view name);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_HTTP_HEADERS_P_H_
