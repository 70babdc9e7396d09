/** @file pool_health.cc Failure detection of the backend servers of opaque
 * flows. */

#include <algorithm>
#include <array>

#include "packet/pool_base.h"

namespace cuminvane {
namespace {

/** Maximum number of connections tried in one health check, since a single
 * packet may be lost. A recheck tries only one. */
constexpr int kCheckAttempts = 3;
/** Maximum number of health checks started at once if a whole data centre is
 * suspected. */
constexpr int kMaxDataCentreChecks = 32;
/** Time until a health check without a result is repeated. */
constexpr Milliseconds kInconclusiveRecheck{100};
/** A backend server that is lost again within this time after its last loss is
 * flapping; each such loss doubles the time until it is trusted again. */
constexpr Seconds kFlapWindow{20};
/** Maximum number of doublings of the time until a recovered backend server is
 * trusted again. */
constexpr int kMaxReinstatementDoublings = 3;
/** Weight of the newest answer in the moving average of answer times. */
constexpr double kAnswerWeight = 0.1;
/** This balancer is isolated if more than this share of the backend servers
 * that have flows or are unavailable are suspected or unreachable. */
constexpr double kIsolatedShare = 0.8;
/** With fewer suspected or unreachable backend servers than this the balancer
 * is not isolated. */
constexpr int kMinIsolatedBackends = 3;

/** If this many backend servers fail at about the same time, the cause may be
 * this balancer's own link, so each needs two checks that time out until
 * kLinkProofChecks show that the link works. */
constexpr int kManyFailures = 8;
/** Failures within this time count as simultaneous. */
constexpr Milliseconds kFailureWindow{1000};
/** This many conclusive checks in a row show that the own link works: if half
 * of the connections were lost, one in two checks would be inconclusive. */
constexpr int kLinkProofChecks = 4;
/** Time after an inconclusive check in which the own link is in doubt. */
constexpr Milliseconds kLinkDoubt{1000};
/** A backend server whose flows were answered within this time before a check
 * makes progress, so one check that times out is no proof. */
constexpr Milliseconds kRecentProgress{500};
/** A full backend server answers the requests in its queue within this time, so
 * one that refuses connections and answers none of its flows for longer has
 * crashed. */
constexpr Milliseconds kSilenceOfCrash{600};
/** Time between the first refusal and one that is proof, if the backend server
 * may be full; below the interval of rechecks. */
constexpr Milliseconds kRefusalSpan{400};
/** The same if its service is not busy, so that a queue can't be the reason why
 * an answer is overdue. */
constexpr Milliseconds kIdleRefusalSpan{80};
/** If this many backend servers of another data centre refuse connections and
 * none answers, the path to it is cut. */
constexpr int kCutRefusals = 3;
/** Share of busy slots from which a backend server of the service may be full;
 * slow ones are full before the mean is. */
constexpr double kBusyUtilisation = 0.5;
/** Retransmissions without an answer that prove a crash together with
 * refusals; a single one may be due to a lost packet. */
constexpr int kRetransmissionsOfCrash = 2;

/** Names in logs, by the value of Reachability. */
constexpr std::array<const char*, 4> kReachabilityNames = {
    "reachable", "suspect", "unreachable", "refusing"};
/** Names in logs, by the value of FailureSignal. */
constexpr std::array<const char*, 6> kFailureSignalNames = {
    "repeat", "late_answer", "late_open", "peer", "data_centre", "recheck"};

/** @return Age of the last answer when the last health check started; 0 if
 * there was no answer. */
Microseconds LastAliveAgeOf(const Liveness& liveness) {
  return liveness.last_alive_at == TimePoint{}
             ? Microseconds(0)
             : std::max(Microseconds(0),
                        liveness.suspected_at - liveness.last_alive_at);
}

/** Discards evidence of a failure, because the backend server has answered. */
void ForgetFailures(Liveness& liveness) {
  liveness.unanswered_signals = 0;
  liveness.unanswered_retransmissions = 0;
  liveness.silent_checks = 0;
  liveness.refused_since = kNever;
}

}  // namespace

const char* ToString(Reachability reachability) {
  return kReachabilityNames.at(static_cast<size_t>(reachability));
}

const char* ToString(FailureSignal failure_signal) {
  return kFailureSignalNames.at(static_cast<size_t>(failure_signal));
}

void BackendPool::ForgetInstance(PoolMember& member, TimePoint now) const {
  Liveness& liveness = member.liveness;
  if (IsUnavailable(member))
    liveness.trusted_from = this->ReinstatedFrom(liveness, now);
  liveness.reachability = Reachability::kReachable;
  liveness.flows_kept = false;
  ForgetFailures(liveness);
  // A check that is still running ends before the next one starts, and its
  // result is ignored.
  liveness.check_pending = false;
  liveness.next_check_at = now + this->limits.check_timeout;
}

bool BackendPool::IsTrusted(const PoolMember& member, TimePoint now) const {
  return member.liveness.reachability == Reachability::kReachable &&
         member.liveness.trusted_from <= now;
}

void BackendPool::OnAlive(PoolMember& member,
                          TimePoint now,
                          PacketOutput& out) {
  Liveness& liveness = member.liveness;
  liveness.last_alive_at = now;
  liveness.unanswered_signals = 0;
  liveness.unanswered_retransmissions = 0;
  liveness.silent_checks = 0;
  if (liveness.reachability == Reachability::kRefusing && liveness.flows_kept)
    liveness.is_full = true;
  if (liveness.reachability == Reachability::kSuspect)
    this->SetReachability(member, Reachability::kReachable, "flow_answered",
                          out);
}

void BackendPool::OnHandshake(PoolMember& member,
                              TimePoint placed_at,
                              TimePoint now,
                              PacketOutput& out) {
  this->OnAlive(member, now, out);
  if (IsUnavailable(member) && placed_at > member.liveness.last_loss_at)
    this->MarkRecovered(member, "flow_opened", now, out);
}

void BackendPool::MarkRecovered(PoolMember& member,
                                const char* reason,
                                TimePoint now,
                                PacketOutput& out) {
  Liveness& liveness = member.liveness;
  if (liveness.is_full)  // Its refusal was no loss.
    liveness.recent_losses = std::max(0, liveness.recent_losses - 1);
  else if (IsUnavailable(member))
    liveness.trusted_from = this->ReinstatedFrom(liveness, now);
  ForgetFailures(liveness);
  this->SetReachability(member, Reachability::kReachable, reason, out);
}

TimePoint BackendPool::ReinstatedFrom(const Liveness& liveness,
                                      TimePoint now) const {
  const int doublings =
      std::min(liveness.recent_losses - 1, kMaxReinstatementDoublings);
  return now + this->limits.reinstatement_delay * (1 << std::max(0, doublings));
}

void BackendPool::OnAnswer(PoolMember& member, Microseconds time) {
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  member.answer_ms =
      member.answer_ms == 0
          ? ms
          : member.answer_ms + kAnswerWeight * (ms - member.answer_ms);
}

void BackendPool::OnFailureSignal(PoolMember& member,
                                  FailureSignal failure_signal,
                                  TimePoint since,
                                  TimePoint now,
                                  PacketOutput& out) {
  this->CountSignal(member, failure_signal, since, now);
  const Liveness& liveness = member.liveness;
  if (liveness.reachability != Reachability::kReachable ||
      liveness.last_alive_at > since || liveness.next_check_at > now ||
      member.delisted_at != kNever)
    return;
  this->SetReachability(member, Reachability::kSuspect,
                        ToString(failure_signal), out);
  this->StartHealthCheck(member, failure_signal, now, out);
}

void BackendPool::CountSignal(PoolMember& member,
                              FailureSignal failure_signal,
                              TimePoint since,
                              TimePoint now) const {
  Liveness& liveness = member.liveness;
  const bool is_own = failure_signal == FailureSignal::kRetransmission ||
                      failure_signal == FailureSignal::kLateAnswer ||
                      failure_signal == FailureSignal::kLateOpeningAnswer;
  if (!is_own || liveness.last_alive_at > since)
    return;
  ++liveness.unanswered_signals;
  if (failure_signal != FailureSignal::kRetransmission)
    return;
  ++liveness.unanswered_retransmissions;
  if (liveness.flows_kept && this->HasCrashed(member, now))
    liveness.next_check_at = now;
}

void BackendPool::StartHealthCheck(PoolMember& member,
                                   FailureSignal failure_signal,
                                   TimePoint now,
                                   PacketOutput& out) {
  member.liveness.check_pending = true;
  member.liveness.failure_signal = failure_signal;
  member.liveness.suspected_at = now;
  member.liveness.next_check_at = now + this->limits.min_check_interval;
  out.checks.push_back(
      {member.vm, member.address, this->NextControl(),
       failure_signal == FailureSignal::kRecheck && !member.liveness.flows_kept
           ? 1
           : kCheckAttempts,
       now + this->limits.check_timeout});
}

Endpoint BackendPool::NextControl() {
  if (this->controls == nullptr || this->controls->empty())
    return {};
  return (*this->controls)[this->control_index++ % this->controls->size()];
}

bool BackendPool::OnHealthCheckResult(VmId vm,
                                      HealthCheckResult result,
                                      TimePoint now,
                                      PacketOutput& out) {
  PoolMember* const member = this->Find(vm);
  if (member == nullptr || !member->liveness.check_pending)
    return false;
  Liveness& liveness = member->liveness;
  liveness.check_pending = false;
  if (result != HealthCheckResult::kRefused)
    liveness.refused_since = kNever;
  if (result == HealthCheckResult::kAnswered) {
    liveness.last_alive_at = now;
    if (liveness.reachability == Reachability::kReachable)
      return false;
    this->MarkRecovered(*member, "check_answered", now, out);
    return false;
  }
  const bool is_silent = result == HealthCheckResult::kTimedOut;
  this->OnLinkEvidence(result != HealthCheckResult::kInconclusive, now);
  const bool is_confirmed =
      !is_silent || !this->NeedsSecondCheck(liveness, now);
  liveness.silent_checks +=
      is_silent || result == HealthCheckResult::kInconclusive ? 1 : 0;
  if ((result == HealthCheckResult::kInconclusive || !is_confirmed) &&
      liveness.reachability != Reachability::kReachable) {
    // The backend server gets no new flows while it is suspected, but its open
    // ones are kept. The next check has another control.
    this->SetReachability(*member, Reachability::kSuspect,
                          is_silent ? "unconfirmed" : "own_link_silent", out);
    if (is_silent)
      this->StartHealthCheck(*member, liveness.failure_signal, now, out);
    else
      liveness.next_check_at = now + kInconclusiveRecheck;
    return false;
  }
  const bool stalled_meanwhile =
      is_silent && this->last_stall_at >= liveness.suspected_at;
  if (IsUnavailable(*member)) {
    liveness.next_check_at = now + this->limits.recheck_interval;
    const bool serves_flows =
        is_silent &&
        liveness.last_alive_at + this->limits.recheck_interval > now;
    return liveness.flows_kept && !serves_flows && !stalled_meanwhile &&
           this->LosesFlows(*member, result, now, out);
  }
  if (liveness.reachability == Reachability::kReachable)
    return false;  // One of its flows was answered before the check ended.
  const bool answered_meanwhile =
      liveness.last_alive_at > liveness.suspected_at;
  if (answered_meanwhile || stalled_meanwhile) {
    this->SetReachability(*member, Reachability::kReachable,
                          answered_meanwhile ? "flow_answered" : "held_up",
                          out);
    return false;
  }
  liveness.recent_losses = liveness.last_loss_at + kFlapWindow > now
                               ? liveness.recent_losses + 1
                               : 1;
  liveness.last_loss_at = now;
  liveness.next_check_at = now + this->limits.recheck_interval;
  return this->LosesFlows(*member, result, now, out);
}

void BackendPool::OnLinkEvidence(bool is_conclusive, TimePoint now) {
  if (!is_conclusive) {
    this->last_inconclusive_at = now;
    this->conclusive_checks = 0;
    return;
  }
  if (this->last_conclusive_at + kFailureWindow <= now)
    this->conclusive_checks = 0;
  ++this->conclusive_checks;
  this->last_conclusive_at = now;
}

bool BackendPool::NeedsSecondCheck(const Liveness& liveness,
                                   TimePoint now) const {
  if (liveness.silent_checks > 0)
    return false;
  const bool link_doubtful = (this->last_inconclusive_at != TimePoint{} &&
                              this->last_inconclusive_at + kLinkDoubt > now) ||
                             (this->recent_failures >= kManyFailures &&
                              this->conclusive_checks <= kLinkProofChecks);
  const bool makes_progress =
      liveness.unanswered_signals == 0 &&
      liveness.last_alive_at + kRecentProgress > liveness.suspected_at;
  return link_doubtful || makes_progress;
}

bool BackendPool::MayBeFull(const PoolMember& member) const {
  const auto found = this->local_utilisation.find(member.service);
  return found == this->local_utilisation.end() ||
         found->second >= kBusyUtilisation;
}

bool BackendPool::IsDataCentreCut(const PoolMember& member,
                                  TimePoint now) const {
  if (member.local)
    return false;
  int refusals = 0;
  TimePoint first_refusal = kNever;
  TimePoint last_answer;
  for (const auto& [vm, other] : this->members) {
    if (other.data_centre != member.data_centre)
      continue;
    const Liveness& liveness = other.liveness;
    last_answer = std::max(last_answer, liveness.last_alive_at);
    if (liveness.refused_since == kNever || MayBeStopping(other, now))
      continue;
    ++refusals;
    first_refusal = std::min(first_refusal, liveness.refused_since);
  }
  return refusals >= kCutRefusals && first_refusal + kIdleRefusalSpan <= now &&
         last_answer < first_refusal;
}

bool BackendPool::HasCrashed(const PoolMember& member, TimePoint now) const {
  const Liveness& liveness = member.liveness;
  // A stopping process closes its listener first and then finishes its
  // requests.
  if (MayBeStopping(member, now) || this->isolated ||
      !this->guard.DocumentsShowStops(now))
    return false;
  if (this->IsDataCentreCut(member, now))
    return true;
  if (!this->MayBeFull(member))
    return liveness.refused_since + kIdleRefusalSpan <= now &&
           liveness.last_alive_at + kIdleRefusalSpan <= now &&
           liveness.unanswered_signals > 0;
  return liveness.refused_since + kRefusalSpan <= now &&
         liveness.last_alive_at + kSilenceOfCrash <= now &&
         liveness.unanswered_retransmissions >= kRetransmissionsOfCrash;
}

bool BackendPool::LosesFlows(PoolMember& member,
                             HealthCheckResult result,
                             TimePoint now,
                             PacketOutput& out) {
  Liveness& liveness = member.liveness;
  const bool refused = result == HealthCheckResult::kRefused;
  const bool was_unavailable = IsUnavailable(member);
  if (refused && liveness.refused_since == kNever) {
    liveness.refused_since = now;
    liveness.next_check_at = now + kIdleRefusalSpan;
  }
  if (!refused || liveness.reachability != Reachability::kRefusing)
    this->SetReachability(
        member, refused ? Reachability::kRefusing : Reachability::kUnreachable,
        refused ? "check_refused" : "check_silent", out);
  const bool lost = !refused || this->HasCrashed(member, now);
  if (!lost && !was_unavailable)
    this->LogReachability(member, Severity::kInfo, "flows_kept",
                          MayBeStopping(member, now) ? "leaving"
                          : this->isolated           ? "isolated"
                                                     : "no_proof",
                          out);
  liveness.flows_kept = !lost;
  if (lost && !refused && !MayBeStopping(member, now))
    this->SuspectDataCentre(member, now, out);
  return lost;
}

void BackendPool::SuspectDataCentre(const PoolMember& unreachable,
                                    TimePoint now,
                                    PacketOutput& out) {
  int started_checks = 0;
  for (auto& [vm, member] : this->members) {
    const bool unanswered =
        member.data_centre == unreachable.data_centre && member.flows > 0 &&
        member.liveness.reachability == Reachability::kReachable &&
        member.liveness.last_alive_at < unreachable.liveness.suspected_at;
    if (!unanswered || started_checks == kMaxDataCentreChecks)
      continue;
    this->OnFailureSignal(member, FailureSignal::kDataCentre, now, now, out);
    ++started_checks;
  }
}

void BackendPool::SetReachability(PoolMember& member,
                                  Reachability reachability,
                                  const char* reason,
                                  PacketOutput& out) {
  member.liveness.reachability = reachability;
  if (reachability == Reachability::kReachable) {
    member.liveness.flows_kept = false;
    member.liveness.is_full = false;
  }
  LogReachability(member,
                  IsUnavailable(member) ? Severity::kWarning : Severity::kInfo,
                  ToString(reachability), reason, out);
}

void BackendPool::LogReachability(const PoolMember& member,
                                  Severity severity,
                                  const char* event,
                                  const char* reason,
                                  PacketOutput& out) {
  Decision decision;
  decision.topic = Topic::kReachability;
  decision.severity = severity;
  decision.event = event;
  decision.reason = reason;
  decision.vm = member.vm;
  decision.count = member.flows;
  decision.age = LastAliveAgeOf(member.liveness);
  out.common.decisions.push_back(decision);
}

void BackendPool::UpdateIsolation(TimePoint now) {
  this->recent_failures = 0;
  int failing = 0;
  int observed = 0;
  for (const auto& [vm, member] : this->members) {
    if (member.delisted_at != kNever ||
        (member.flows == 0 && !IsUnavailable(member)))
      continue;
    ++observed;
    const bool unreachable =
        member.liveness.reachability == Reachability::kUnreachable;
    const bool suspect = member.liveness.reachability == Reachability::kSuspect;
    failing += unreachable || suspect ? 1 : 0;
    const bool is_recent = member.liveness.suspected_at + kFailureWindow > now;
    this->recent_failures += (unreachable || suspect) && is_recent ? 1 : 0;
  }
  this->isolated =
      failing >= kMinIsolatedBackends && failing > kIsolatedShare * observed;
}

}  // namespace cuminvane
