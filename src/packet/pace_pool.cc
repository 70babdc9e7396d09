/** @file pace_pool.cc Adaptive slow start of the backend servers of a pool. */

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <utility>

#include "packet/pace_func.h"
#include "packet/pool_base.h"

namespace cuminvane {
namespace {

/** Share of its slots that is assumed as the capacity of a backend server in
 * slow start if slow start is not adaptive. */
constexpr double kFixedSlowStartShare = 0.5;
/** Time in which the weight rises to 1 after a first recovery, if no answers
 * come. */
constexpr Seconds kRecoveryTime{3};
/** After several losses the weight rises for this many times as long as the
 * backend server would not be trusted; with the default delay that is
 * kRecoveryTime after the first loss. */
constexpr int kDistrustFactor = 6;
/** The list of VMs reaches the balancers with different delays. Ends of the
 * warm-up that differ by less than this are the same warm-up. */
constexpr Seconds kSameWarmUp{2};
/** Shares of a backend server's weighted slots that the balancers of its data
 * centre and all balancers take: in sum less than 1, since arrivals at random
 * would form a queue at full utilisation. */
constexpr double kLocalUtilisation = 0.6;
constexpr double kTotalUtilisation = 0.3;
/** Answer time if none has been measured yet. */
constexpr double kAssumedAnswerMs = 500;
/** Shortest answer time that is assumed: the clock of the tests and of loaded
 * balancers is not finer. */
constexpr double kMinAnswerMs = 10;
/** A backend server has caught up if it has this share of the mean number of
 * flows per slot; numbers of flows vary by that much. */
constexpr double kCaughtUpShare = 0.8;

/** Flows and slots of backend servers that are not in slow start. */
struct FlowLoad {
  double flows = 0;
  double slots = 0;
};

}  // namespace

bool BackendPool::RefreshPace(PoolMember& member, TimePoint now) const {
  if (!this->limits.adaptive_slow_start)
    return false;
  Pace& pace = member.pace;
  const Liveness& liveness = member.liveness;
  if (IsUnavailable(member))
    return false;
  if (liveness.last_loss_at > pace.loss_seen) {
    pace.loss_seen = liveness.last_loss_at;
    pace =
        BeginPace(pace, now,
                  now + std::max<Microseconds>(
                            kRecoveryTime,
                            kDistrustFactor * (liveness.trusted_from - now)));
    member.answer_ms = 0;
  }
  if (member.warm_up_ends_at > now &&
      member.warm_up_ends_at > pace.warm_up_seen + kSameWarmUp) {
    pace.warm_up_seen = member.warm_up_ends_at;
    pace = BeginPace(pace, now, member.warm_up_ends_at);
    member.answer_ms = 0;
  }
  return IsPaced(pace);
}

double BackendPool::CapacityWeight(const PoolMember& member,
                                   TimePoint now) const {
  if (this->limits.adaptive_slow_start)
    return WeightAt(member.pace, now);
  return member.warm_up_ends_at > now ? kFixedSlowStartShare : 1;
}

double BackendPool::MeanAnswerMs(ServiceId service) const {
  double sum_ms = 0;
  int measured = 0;
  for (const auto& [vm, member] : this->members) {
    if (member.service != service || member.answer_ms == 0 ||
        IsPaced(member.pace) || IsUnavailable(member))
      continue;
    sum_ms += member.answer_ms;
    ++measured;
  }
  return measured == 0 ? 0 : sum_ms / measured;
}

PaceShare BackendPool::PaceShareOf(const PoolMember& member,
                                   double mean_answer_ms) const {
  const double answer_ms =
      std::max({mean_answer_ms, member.answer_ms, kMinAnswerMs});
  const bool measured = mean_answer_ms > 0 || member.answer_ms > 0;
  PaceShare share;
  share.slots = static_cast<double>(member.slots);
  share.balancers = member.local ? this->local_balancers : this->live_balancers;
  // Without balancers in other data centres the whole share is local.
  const bool is_only_data_centre =
      this->local_balancers == this->live_balancers;
  share.utilisation = is_only_data_centre
                          ? kLocalUtilisation + kTotalUtilisation
                      : member.local ? kLocalUtilisation
                                     : kTotalUtilisation;
  share.answer_time = Microseconds(
      std::llround(1000 * (measured ? answer_ms : kAssumedAnswerMs)));
  return share;
}

PoolMember* BackendPool::DrawPaced(const std::vector<PoolMember*>& paced,
                                   TimePoint now,
                                   RandomEngine& random) const {
  if (this->settled_at > now)
    return nullptr;
  const double mean_answer_ms = this->MeanAnswerMs(paced.front()->service);
  std::uniform_real_distribution<double> draw(0, 1);
  const size_t start = DrawIndex(random, paced.size());
  for (size_t step = 0; step < paced.size(); ++step) {
    PoolMember& member = *paced[(start + step) % paced.size()];
    const PaceShare share = this->PaceShareOf(member, mean_answer_ms);
    if (member.waiting >= UnansweredLimit(member.pace, share, now))
      continue;
    const double chance = PlacementChance(member.pace, share, now);
    member.pace.drawn_at = now;
    if (draw(random) < chance)
      return &member;
  }
  return nullptr;
}

void BackendPool::OnPacedAnswer(PoolMember& member,
                                Microseconds time,
                                TimePoint now) {
  if (!IsPaced(member.pace))
    return;
  const double mean_answer_ms = this->MeanAnswerMs(member.service);
  member.pace = AfterAnswer(member.pace, SpeedOf(time, mean_answer_ms),
                            this->PaceShareOf(member, mean_answer_ms), now);
}

void BackendPool::OnPacedLate(PoolMember& member,
                              TimePoint since,
                              TimePoint now) {
  if (!IsPaced(member.pace))
    return;
  const double mean_answer_ms = this->MeanAnswerMs(member.service);
  if (SpeedOf(now - since, mean_answer_ms) == AnswerSpeed::kSlow)
    member.pace = AfterAnswer(member.pace, AnswerSpeed::kSlow,
                              this->PaceShareOf(member, mean_answer_ms), now);
}

void BackendPool::UpdatePaces(TimePoint now, PacketOutput& out) {
  if (!this->limits.adaptive_slow_start)
    return;
  std::map<ServiceId, FlowLoad> loads;
  bool any_paced = false;
  for (auto& [vm, member] : this->members) {
    any_paced |= this->RefreshPace(member, now) || IsPaced(member.pace);
    if (IsPaced(member.pace) || IsUnavailable(member) ||
        !this->AcceptsFlows(member, now))
      continue;
    loads[member.service].flows += member.flows;
    loads[member.service].slots += static_cast<double>(member.slots);
  }
  if (!any_paced)
    return;
  for (auto& [vm, member] : this->members) {
    if (!IsPaced(member.pace))
      continue;
    if (!std::exchange(member.pace.logged, true))
      LogReachability(member, Severity::kInfo, "slow_start_began",
                      member.warm_up_ends_at > now ? "started" : "recovered",
                      out);
    const FlowLoad& load = loads[member.service];
    const bool caught_up =
        load.slots == 0 ||
        (member.flows + 1) * load.slots >=
            kCaughtUpShare * load.flows * static_cast<double>(member.slots);
    const bool is_lost = IsUnavailable(member);
    if (!is_lost && (WeightAt(member.pace, now) < 1 || !caught_up))
      continue;
    LogReachability(member, Severity::kInfo, "slow_start_ended",
                    is_lost ? "lost" : ToString(EndOf(member.pace, now)), out);
    member.pace.began_at = TimePoint{};
  }
}

}  // namespace cuminvane
