/** @file result_type.h Result codes and the type of functions that return a
 * value or an error. */

#ifndef CUMINVANE_BASE_RESULT_TYPE_H_
#define CUMINVANE_BASE_RESULT_TYPE_H_

#include <boost/outcome.hpp>
#include <cstdint>
#include <string>

namespace cuminvane {

/** Result of a request, a datagram's check, a document's check or a command. A
 * number is never reused with another meaning. base/result_table.h describes
 * each code. */
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

/** What a caller may conclude about its request from a result code. */
enum class Outcome : uint8_t {
  kNone,      ///< The code doesn't determine whether the request was run.
  kAnswered,  ///< The request was run and the answer is complete.
  kNotRun,    ///< The request was not run and never will be under its number.
  kUnknown,   ///< The request may have been run and is never sent again.
};

/** Description of a failure. */
struct Error {
  ResultCode code = ResultCode::kOk;
  std::string message;  ///< Details for a person.

  bool operator==(const Error&) const = default;
};

/** A value or an Error. Reading the value of a failure or the error of a
 * success throws. */
template <class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, Error>;

/**
 * @param code Any result code.
 * @return The code's name in logs; `unlisted` for an unknown number, which a
 * newer version may have sent.
 */
const char* ToString(ResultCode code);

/**
 * @param code Any result code.
 * @return What a caller may conclude about its request; kNone for an unknown
 * number.
 */
Outcome OutcomeOf(ResultCode code);

/**
 * @param code Any result code.
 * @return The exit code of a process that ends with this result: the code
 * itself if it is below 100, otherwise 1.
 */
int ExitCodeOf(ResultCode code);

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_RESULT_TYPE_H_
