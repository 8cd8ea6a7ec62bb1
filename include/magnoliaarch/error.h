// The error kinds that callers can receive, with the HTTP status and run state of each.

#ifndef MAGNOLIAARCH_ERROR_H_
#define MAGNOLIAARCH_ERROR_H_

#include <optional>
#include <string>
#include <string_view>

#include "magnoliaarch/types.h"

namespace magnoliaarch {

enum class ErrorKind {
  kMalformedRequest,
  kMissingRoutingKey,
  kUnauthenticated,
  kKeyWithdrawn,
  kForbidden,
  kUnknownRoute,
  kBodyTooLarge,
  kHeaderTooLarge,
  kRateExceeded,
  kOverloaded,
  kNoOwner,
  kWrongOwner,
  kLeaseLapsed,
  kStaleView,
  kDraining,
  kBarred,
  kDeadlineBeforeSend,
  kDeadlineAfterSend,
  kTargetConnectFailed,
  kTargetBroken,
  kPeerLost,
  kInternal,
};

// How an error kind is reported to the caller.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;  // value of X-Error-Kind
  int status;             // HTTP status
  RunState run_state;
};

// Returns the name, HTTP status and run state of an error kind.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// Returns the error kind with this value of X-Error-Kind, or nothing if there is none.
std::optional<ErrorKind> ParseErrorKind(std::string_view name);

// Returns a refusal with the HTTP status and run state of the kind. `detail` is an explanation for the caller.
Response MakeRefusal(RequestId id, ErrorKind kind, std::string detail);

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_ERROR_H_
