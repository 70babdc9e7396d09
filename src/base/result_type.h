/** @file result_type.h Numbered result codes, and results that carry a value or
 * an error. */

#ifndef CUMINVANE_BASE_RESULT_TYPE_H_
#define CUMINVANE_BASE_RESULT_TYPE_H_

#include <boost/outcome.hpp>
#include <cstdint>
#include <string>

namespace cuminvane {

/** Every way something can end; numbers never change meaning. The table is in
 * base/result_table.h. */
enum class ResultCode : uint16_t {
  kOk = 0,
  kUsage = 2,
  kFileUnreadable = 3,
  kInvalidDocument = 4,
  kStaleDocument = 5,
  kSocketFailure = 6,
  kPlatformUnreachable = 7,
  kBalancerUnreachable = 8,
  kTargetsNotMet = 9,
  kUnknownFlow = 10,
  kTruncated = 100,
  kOversized = 101,
  kGarbage = 102,
  kUnknownVersion = 103,
  kUnexpectedType = 104,
  kBadMac = 105,
  kUnknownKey = 106,
  kWrongService = 107,
  kWrongFlow = 108,
  kUnknownService = 109,
  kUnknownRun = 110,
  kReplyTooLarge = 111,
  kNotServing = 112,
  kUnknownClass = 200,
  kDeadlinePassed = 201,
  kDeadlineTooFar = 202,
  kNoBackend = 203,
  kOverloaded = 204,
  kBackendDraining = 205,
  kCancelled = 207,
  kNumberReused = 208,
  kTooManyRequests = 209,
  kMoved = 210,
  kOwnerLost = 300,
  kOutcomeUnknown = 301,
  kAnswerTooLarge = 302,
  kUnavailable = 303,
  kPending = 400,
};

/** What a result code lets a caller conclude about its request. */
enum class Outcome : uint8_t {
  kNone,      ///< Says nothing about a request.
  kAnswered,  ///< Run, and the answer is complete.
  kNotRun,    ///< Not run, and it will not be run later under this number.
  kUnknown,   ///< May have been run; never sent again.
};

/** What went wrong, for a person and for a program. */
struct Error {
  ResultCode code = ResultCode::kOk;
  std::string message;

  bool operator==(const Error&) const = default;
};

/** A value or an Error; reading the wrong one throws. */
template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, Error>;

/**
 * @param code Any result code.
 * @return Its name in logs, `unlisted` for a number from a newer version.
 */
const char* ToString(ResultCode code);

/**
 * @param code Any result code.
 * @return What a caller may conclude from it.
 */
Outcome OutcomeOf(ResultCode code);

/**
 * @param code Any result code.
 * @return The exit code of a process that ends with it, 0 to 255.
 */
int ExitCodeOf(ResultCode code);

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_RESULT_TYPE_H_
