// Turns a caller's HTTP request into a request for a catalogue entry.

#ifndef MAGNOLIAARCH_SRC_CLASSIFY_P_H_
#define MAGNOLIAARCH_SRC_CLASSIFY_P_H_

#include <optional>
#include <string>

#include "http_ingress_p.h"
#include "magnoliaarch/catalogue.h"
#include "magnoliaarch/error.h"
#include "magnoliaarch/types.h"
#include "magnoliaarch/view.h"

namespace magnoliaarch {

// Upper bound of every request's deadline, whatever its entry states; shorter than the retention of the egress request
// table.
inline constexpr Duration kMaxDeadline = std::chrono::seconds(20);
// Deadline of entries that state none.
inline constexpr Duration kDefaultDeadline = std::chrono::milliseconds(kDefaultDeadlineMs);

struct ClassifiedRequest {
  std::optional<ErrorKind> refusal;
  std::string detail;                         // of a refusal
  const proto::EntryRecord* entry = nullptr;  // valid as long as the view
  std::string workspace_key;                  // empty: none was given
  Request request;                            // without workspace and workspace key
};

// Finds the entry, class, routing key and deadline. Headers and body are moved out of the HTTP request.
ClassifiedRequest Classify(const View& view, HttpRequest http);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_CLASSIFY_P_H_
