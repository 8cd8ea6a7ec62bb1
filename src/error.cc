#include "magnoliaarch/error.h"

#include <array>
#include <cstddef>
#include <utility>

namespace magnoliaarch {
namespace {

constexpr std::array kErrorAnswers = {
    ErrorAnswer{ErrorKind::kMalformedRequest, "malformed-request", 400, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kMissingRoutingKey, "missing-routing-key", 400, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kUnauthenticated, "unauthenticated", 401, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kKeyWithdrawn, "key-withdrawn", 401, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kForbidden, "forbidden", 403, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kUnknownRoute, "unknown-route", 404, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kBodyTooLarge, "body-too-large", 413, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kHeaderTooLarge, "header-too-large", 431, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kRateExceeded, "rate-exceeded", 429, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kOverloaded, "overloaded", 503, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kNoOwner, "no-owner", 503, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kWrongOwner, "wrong-owner", 503, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kLeaseLapsed, "lease-lapsed", 503, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kStaleView, "stale-view", 503, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kDraining, "draining", 503, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kBarred, "barred", 503, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kDeadlineBeforeSend, "deadline-before-send", 504, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kDeadlineAfterSend, "deadline-after-send", 504, RunState::kUnknown},
    ErrorAnswer{ErrorKind::kTargetConnectFailed, "target-connect-failed", 502, RunState::kNotRun},
    ErrorAnswer{ErrorKind::kTargetBroken, "target-broken", 502, RunState::kUnknown},
    ErrorAnswer{ErrorKind::kPeerLost, "peer-lost", 502, RunState::kUnknown},
    ErrorAnswer{ErrorKind::kInternal, "internal", 500, RunState::kUnknown},
};

constexpr bool TableMatchesEnum() {
  for (std::size_t i = 0; i < kErrorAnswers.size(); ++i) {
    if (kErrorAnswers[i].kind != static_cast<ErrorKind>(i)) {
      return false;
    }
  }
  return kErrorAnswers.size() == static_cast<std::size_t>(ErrorKind::kInternal) + 1;
}
static_assert(TableMatchesEnum());

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  return kErrorAnswers[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> ParseErrorKind(std::string_view name) {
  for (const ErrorAnswer& answer : kErrorAnswers) {
    if (answer.name == name) {
      return answer.kind;
    }
  }
  return std::nullopt;
}

Response MakeRefusal(RequestId id, ErrorKind kind, std::string detail) {
  const ErrorAnswer& answer = AnswerFor(kind);
  Response response;
  response.id = id;
  response.status = answer.status;
  response.run_state = answer.run_state;
  response.error_kind = std::string(answer.name);
  response.detail = std::move(detail);
  return response;
}

}  // namespace magnoliaarch
