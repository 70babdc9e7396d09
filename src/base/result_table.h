/** @file result_table.h The table of result codes: name, outcome, meaning and
 * the operator's action. */

#ifndef CUMINVANE_BASE_RESULT_TABLE_H_
#define CUMINVANE_BASE_RESULT_TABLE_H_

#include <array>

#include "base/result_type.h"

namespace cuminvane {

/** One result code, as docs/RESULT-CODES.md prints it. */
struct ResultCodeRow {
  ResultCode code;
  const char* name;     ///< Name in logs and in the status output.
  Outcome outcome;      ///< What a caller may conclude about its request.
  const char* meaning;  ///< What has happened, in one sentence.
  const char* action;   ///< What an operator should do.
};

/** All result codes in ascending order, which the look-up relies on. */
inline constexpr std::array kResultCodes = {
    ResultCodeRow{ResultCode::kOk, "ok", Outcome::kAnswered,
                  "The request was run and its whole answer has arrived.",
                  "Nothing."},
    // Settings, configuration and command line. Codes below 100 also serve as
    // exit codes.
    ResultCodeRow{ResultCode::kUsage, "usage", Outcome::kNone,
                  "The command line is invalid.",
                  "Run the command with --help."},
    ResultCodeRow{ResultCode::kFileUnreadable, "file_unreadable",
                  Outcome::kNone,
                  "A file named on the command line can't be read.",
                  "Check the path and its permissions."},
    ResultCodeRow{ResultCode::kInvalidDocument, "invalid_document",
                  Outcome::kNone,
                  "A settings file, configuration or VM list failed validation "
                  "and was rejected as a whole.",
                  "Correct each listed line and publish again; the previous "
                  "document stays active."},
    ResultCodeRow{ResultCode::kStaleDocument, "stale_document", Outcome::kNone,
                  "The version of the offered document is not higher than that "
                  "of the active one.",
                  "Publish under a higher version. No action is needed if the "
                  "platform was reset to an old version."},
    ResultCodeRow{
        ResultCode::kSocketFailure, "socket_failure", Outcome::kNone,
        "A socket could not be opened, bound or used.",
        "Check that the address belongs to this VM and that the port is free."},
    ResultCodeRow{
        ResultCode::kPlatformUnreachable, "platform_unreachable",
        Outcome::kNone, "The configuration service did not answer.",
        "Check the platform; the last documents stay active meanwhile."},
    ResultCodeRow{ResultCode::kBalancerUnreachable, "balancer_unreachable",
                  Outcome::kNone, "A balancer did not answer a control call.",
                  "Check the VM list and whether the balancer is running."},
    ResultCodeRow{
        ResultCode::kTargetsNotMet, "targets_not_met", Outcome::kNone,
        "At least one figure is out of its bound or one target was missed.",
        "Read the lines with held=no."},
    ResultCodeRow{ResultCode::kUnknownFlow, "unknown_flow", Outcome::kNone,
                  "No log line contains the flow or caller.",
                  "Pass the logs of all balancers for the time in question."},
    // Datagrams that are dropped.
    ResultCodeRow{
        ResultCode::kTruncated, "truncated", Outcome::kNone,
        "A datagram ends before its message is complete.",
        "If the count grows, look for a network path with a smaller MTU."},
    ResultCodeRow{ResultCode::kOversized, "oversized", Outcome::kNone,
                  "A datagram is larger than the protocol allows.",
                  "Correct the sender."},
    ResultCodeRow{ResultCode::kGarbage, "garbage", Outcome::kNone,
                  "A datagram does not contain a message of this protocol.",
                  "Nothing, unless the sender is known."},
    ResultCodeRow{
        ResultCode::kUnknownVersion, "unknown_version", Outcome::kNone,
        "A datagram has a protocol version that this process does not support.",
        "Upgrade the older side."},
    ResultCodeRow{
        ResultCode::kUnexpectedType, "unexpected_type", Outcome::kNone,
        "A message arrived on a socket that does not accept its type.",
        "Correct the sender."},
    ResultCodeRow{ResultCode::kBadMac, "bad_mac", Outcome::kNone,
                  "The token's MAC is wrong: the token was altered or forged.",
                  "Look for an attack or a faulty caller if one caller causes "
                  "a steady count."},
    ResultCodeRow{
        ResultCode::kUnknownKey, "unknown_key", Outcome::kNone,
        "The token was made with a key that this balancer does not have.",
        "Keep each old key configured until no token made with it is in use."},
    ResultCodeRow{ResultCode::kWrongService, "wrong_service", Outcome::kNone,
                  "The token belongs to a different service than the address "
                  "that received the packet.",
                  "Correct the caller."},
    ResultCodeRow{
        ResultCode::kWrongFlow, "wrong_flow", Outcome::kNone,
        "The packet contains the id of one flow and the token of another.",
        "Correct the caller."},
    ResultCodeRow{ResultCode::kUnknownService, "unknown_service",
                  Outcome::kNone,
                  "No service in the active configuration has the address that "
                  "received the packet.",
                  "Check the addresses of the services."},
    ResultCodeRow{
        ResultCode::kUnknownRun, "unknown_run", Outcome::kNone,
        "A backend server answered a run that this balancer has no record of.",
        "Nothing: the answer arrived after the record had expired."},
    ResultCodeRow{ResultCode::kReplyTooLarge, "reply_too_large", Outcome::kNone,
                  "An unverified sender was not answered because the reply "
                  "would be larger than its packet.",
                  "Correct the sender: callers must pad their open message."},
    ResultCodeRow{ResultCode::kNotServing, "not_serving", Outcome::kNone,
                  "The balancer has just started and has not yet compared its "
                  "documents with those of a peer.",
                  "Nothing: this lasts at most one second once the balancer "
                  "has documents."},
    // Outcomes that are reported to callers.
    ResultCodeRow{ResultCode::kUnknownClass, "unknown_class", Outcome::kNotRun,
                  "The service has no such class.",
                  "Check the classes of the active configuration and the "
                  "caller's class name."},
    ResultCodeRow{ResultCode::kDeadlinePassed, "deadline_passed",
                  Outcome::kNotRun,
                  "The deadline had passed before the request was dispatched.",
                  "Check the load and the callers' deadlines."},
    ResultCodeRow{
        ResultCode::kDeadlineTooFar, "deadline_too_far", Outcome::kNone,
        "The deadline is further in the future than this balancer keeps "
        "records.",
        "Raise requests.deadline_limit_ms or shorten the caller's deadline."},
    ResultCodeRow{ResultCode::kNoBackend, "no_backend", Outcome::kNotRun,
                  "No backend server of the service is available.",
                  "Check the VM list, planned drains and the health of the "
                  "backend servers."},
    ResultCodeRow{ResultCode::kOverloaded, "overloaded", Outcome::kNotRun,
                  "The backend servers refused the work and the retry budget "
                  "or the deadline allowed no further attempt.",
                  "Add capacity or lower the load."},
    ResultCodeRow{
        ResultCode::kBackendDraining, "backend_draining", Outcome::kNotRun,
        "The backend server is draining and refused new work.",
        "Nothing: the request is dispatched to another backend server."},
    ResultCodeRow{ResultCode::kCancelled, "cancelled", Outcome::kNotRun,
                  "The request was cancelled before it started.", "Nothing."},
    ResultCodeRow{
        ResultCode::kNumberReused, "number_reused", Outcome::kNotRun,
        "The request number was already used for another request of the flow.",
        "Correct the caller: each number may be used only once."},
    ResultCodeRow{
        ResultCode::kTooManyRequests, "too_many_requests", Outcome::kNotRun,
        "The flow or the shard has reached its limit of request records.",
        "Raise the limits under [requests] if memory allows."},
    ResultCodeRow{
        ResultCode::kMoved, "moved", Outcome::kNotRun,
        "This balancer is stopping; the new token names the flow's next owner.",
        "Nothing: the caller sends the request again with the new token."},
    ResultCodeRow{
        ResultCode::kOwnerLost, "owner_lost", Outcome::kUnknown,
        "The balancer that owns the flow is gone; the caller reopens the flow.",
        "If the count grows, look for balancers that failed."},
    ResultCodeRow{
        ResultCode::kOutcomeUnknown, "outcome_unknown", Outcome::kUnknown,
        "The request may or may not have been run and is not dispatched again.",
        "Look for balancers or backend servers that failed at that time."},
    ResultCodeRow{ResultCode::kAnswerTooLarge, "answer_too_large",
                  Outcome::kUnknown,
                  "The answer is larger than the limit for one request.",
                  "Raise requests.answer_limit_bytes if memory allows."},
    ResultCodeRow{ResultCode::kUnavailable, "unavailable", Outcome::kUnknown,
                  "This balancer could not answer the idempotent request; "
                  "another balancer may have run a duplicate of it.",
                  "Add capacity or lower the load; the caller may send the "
                  "request again under a new number."},
    ResultCodeRow{ResultCode::kPending, "pending", Outcome::kNone,
                  "The request is recorded and in progress.", "Nothing."},
};

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_RESULT_TABLE_H_
