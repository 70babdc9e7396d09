/** @file result_table.h The table of numbered result codes: what each means and
 * what to do. */

#ifndef CUMINVANE_BASE_RESULT_TABLE_H_
#define CUMINVANE_BASE_RESULT_TABLE_H_

#include <array>

#include "base/result_type.h"

namespace cuminvane {

/** One row of docs/RESULT-CODES.md. */
struct ResultCodeRow {
  ResultCode code;
  const char* name;     ///< As logs and status print it.
  Outcome outcome;      ///< What a caller may conclude about its request.
  const char* meaning;  ///< One sentence.
  const char* action;   ///< What an operator does, one sentence.
};

/** Every code, in ascending order. */
inline constexpr std::array kResultCodes = {
    ResultCodeRow{ResultCode::kOk, "ok", Outcome::kAnswered,
                  "The request was run and the whole answer is here.",
                  "Nothing."},
    // Settings, configuration and command line; also the exit codes.
    ResultCodeRow{ResultCode::kUsage, "usage", Outcome::kNone,
                  "The command line is wrong.", "Read --help."},
    ResultCodeRow{ResultCode::kFileUnreadable, "file_unreadable",
                  Outcome::kNone,
                  "A file named on the command line can't be read.",
                  "Check the path and its permissions."},
    ResultCodeRow{ResultCode::kInvalidDocument, "invalid_document",
                  Outcome::kNone,
                  "A settings file, configuration or VM list failed its check "
                  "and was refused whole.",
                  "Correct each listed line and publish again; the document in "
                  "force stays."},
    ResultCodeRow{ResultCode::kStaleDocument, "stale_document", Outcome::kNone,
                  "A document with a version no higher than the one in force "
                  "was offered.",
                  "Publish under a higher version; a platform that went back "
                  "to an old version is harmless."},
    ResultCodeRow{
        ResultCode::kSocketFailure, "socket_failure", Outcome::kNone,
        "A socket could not be opened, bound or used.",
        "Check that the address is this VM's and that the port is free."},
    ResultCodeRow{
        ResultCode::kPlatformUnreachable, "platform_unreachable",
        Outcome::kNone, "The configuration service did not answer.",
        "None at once: the last documents stay in force. Check the platform."},
    ResultCodeRow{ResultCode::kBalancerUnreachable, "balancer_unreachable",
                  Outcome::kNone,
                  "A balancer did not answer an operator's call.",
                  "Check the VM list and the balancer's process."},
    ResultCodeRow{ResultCode::kTargetsNotMet, "targets_not_met", Outcome::kNone,
                  "At least one figure or target does not hold.",
                  "Read the lines that say held=no."},
    // Datagrams that are not acted on.
    ResultCodeRow{ResultCode::kUnknownFlow, "unknown_flow", Outcome::kNone,
                  "No log line names the flow or caller.",
                  "Give the logs of all balancers, of the time in question."},
    ResultCodeRow{ResultCode::kTruncated, "truncated", Outcome::kNone,
                  "A datagram ended before its message did.",
                  "Look for a path with a smaller MTU if the count grows."},
    ResultCodeRow{ResultCode::kOversized, "oversized", Outcome::kNone,
                  "A datagram is larger than the largest one allowed.",
                  "Correct the sender."},
    ResultCodeRow{ResultCode::kGarbage, "garbage", Outcome::kNone,
                  "A datagram is not a message of this protocol.",
                  "Nothing, unless the sender is known."},
    ResultCodeRow{
        ResultCode::kUnknownVersion, "unknown_version", Outcome::kNone,
        "A datagram names a protocol version this process does not speak.",
        "Upgrade the older side."},
    ResultCodeRow{
        ResultCode::kUnexpectedType, "unexpected_type", Outcome::kNone,
        "A message came in by a socket where that kind is not accepted.",
        "Correct the sender."},
    ResultCodeRow{
        ResultCode::kBadMac, "bad_mac", Outcome::kNone,
        "The token's MAC is wrong: the token was altered or made up.",
        "A steady count from one caller is an attack or a broken caller."},
    ResultCodeRow{ResultCode::kUnknownKey, "unknown_key", Outcome::kNone,
                  "The token was made with a key this balancer does not hold.",
                  "Keep old keys until their tokens are gone."},
    ResultCodeRow{
        ResultCode::kWrongService, "wrong_service", Outcome::kNone,
        "The token belongs to another service than the address it came in by.",
        "Correct the caller."},
    ResultCodeRow{ResultCode::kWrongFlow, "wrong_flow", Outcome::kNone,
                  "The packet names one flow and carries the token of another.",
                  "Correct the caller."},
    ResultCodeRow{ResultCode::kUnknownService, "unknown_service",
                  Outcome::kNone,
                  "No service in force has the address the packet came in by.",
                  "Check the service's addresses."},
    ResultCodeRow{
        ResultCode::kUnknownRun, "unknown_run", Outcome::kNone,
        "A backend server answered a dispatch this balancer does not know.",
        "Nothing: the answer came after its record had expired."},
    ResultCodeRow{ResultCode::kReplyTooLarge, "reply_too_large", Outcome::kNone,
                  "An unverified sender was not answered because the reply is "
                  "larger than what it sent.",
                  "Callers pad their open message; correct the sender."},
    ResultCodeRow{ResultCode::kNotServing, "not_serving", Outcome::kNone,
                  "The balancer has just started and has not compared its "
                  "documents with a peer's yet.",
                  "Nothing: it lasts a second at most once it has documents."},
    // What a caller is told about its request.
    ResultCodeRow{ResultCode::kUnknownClass, "unknown_class", Outcome::kNotRun,
                  "The service has no such class.",
                  "Check the classes in force and the caller's class name."},
    ResultCodeRow{ResultCode::kDeadlinePassed, "deadline_passed",
                  Outcome::kNotRun,
                  "The deadline had passed before the request was sent on.",
                  "Look at load and at the callers' deadlines."},
    ResultCodeRow{
        ResultCode::kDeadlineTooFar, "deadline_too_far", Outcome::kNone,
        "The deadline is further ahead than this balancer keeps records.",
        "Raise requests.deadline_limit_ms or shorten the caller's deadline."},
    ResultCodeRow{ResultCode::kNoBackend, "no_backend", Outcome::kNotRun,
                  "No backend server of the service can take work.",
                  "Check the VM list, drains and health."},
    ResultCodeRow{ResultCode::kOverloaded, "overloaded", Outcome::kNotRun,
                  "The backend servers refused the work and the retry budget "
                  "or the deadline left no other try.",
                  "Add capacity or lower the load."},
    ResultCodeRow{ResultCode::kBackendDraining, "backend_draining",
                  Outcome::kNotRun,
                  "The backend server is draining and took no new work.",
                  "Nothing: the request goes to another."},
    ResultCodeRow{ResultCode::kCancelled, "cancelled", Outcome::kNotRun,
                  "The request was cancelled before it started.", "Nothing."},
    ResultCodeRow{ResultCode::kNumberReused, "number_reused", Outcome::kNotRun,
                  "The number was used before for another request of the flow.",
                  "Correct the caller: a number is used once."},
    ResultCodeRow{
        ResultCode::kTooManyRequests, "too_many_requests", Outcome::kNotRun,
        "The flow or the shard holds as many open requests as it may.",
        "Raise the limits under [requests] if memory allows."},
    ResultCodeRow{
        ResultCode::kMoved, "moved", Outcome::kNotRun,
        "This balancer is stopping; the new token names the flow's next owner.",
        "Nothing: the caller sends the request again with the new token."},
    ResultCodeRow{
        ResultCode::kOwnerLost, "owner_lost", Outcome::kUnknown,
        "The balancer that owns the flow is gone; the caller reopens the flow.",
        "Look at the membership if the count grows."},
    ResultCodeRow{
        ResultCode::kOutcomeUnknown, "outcome_unknown", Outcome::kUnknown,
        "The request may or may not have been run and is never sent again.",
        "Look for lost balancers or backend servers at that time."},
    ResultCodeRow{ResultCode::kAnswerTooLarge, "answer_too_large",
                  Outcome::kUnknown,
                  "The answer is larger than one record may hold.",
                  "Raise requests.answer_limit_bytes if memory allows."},
    ResultCodeRow{
        ResultCode::kUnavailable, "unavailable", Outcome::kUnknown,
        "Idempotent work could not be answered here; another balancer may have "
        "run a duplicate of it.",
        "As for overloaded; the caller may ask again under a new number."},
    ResultCodeRow{ResultCode::kPending, "pending", Outcome::kNone,
                  "The request is recorded and in progress.", "Nothing."},
};

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_RESULT_TABLE_H_
