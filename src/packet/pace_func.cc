/** @file pace_func.cc Rules of the adaptive slow start of a backend server. */

#include "packet/pace_func.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cuminvane {
namespace {

/** Capacity weight at the begin; with two slots, one request at a time is sent
 * for half of the time. */
constexpr double kInitialWeight = 0.25;
/** Lowest capacity weight; a backend server that gets no requests could not
 * show that it has become faster. */
constexpr double kMinWeight = 0.1;
/** Factor of the weight per answered round, and its inverse for a slow answer.
 */
constexpr double kWeightFactor = 2.0;
/** An answer that takes up to this many times the mean of the service is as
 * fast as the mean; answer times vary by about that much between requests. */
constexpr double kNormalFactor = 1.5;
/** An answer that takes more than this many times the mean is much slower;
 * servers whose speeds differ by a factor of 2.4 stay below it. */
constexpr double kSlowFactor = 3.0;
/** Time in which the weight rises to 1 again after a slow answer, if no further
 * answers come. */
constexpr Seconds kRegainTime{3};
/** A slow start with slow answers is limited to this time after the time at
 * which it would have been complete without answers. */
constexpr Seconds kMaxDelay{30};
/** A balancer without new flows makes up for at most this many answer times,
 * since many balancers may get new flows at the same time. */
constexpr double kMaxAccruedAnswerTimes = 8;

/** Names in logs, by the value of PaceEnd. */
constexpr std::array<const char*, 3> kEndNames = {"time", "answered", "limit"};

double SecondsOf(Microseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

double WeightAt(const Pace& pace, TimePoint now) {
  if (!IsPaced(pace) || now >= pace.full_at || now >= pace.limited_until)
    return 1;
  const double total = SecondsOf(pace.full_at - pace.changed_at);
  const double elapsed =
      std::max(0.0, SecondsOf(now - pace.changed_at)) / total;
  // With 300 balancers most of them see no answer in time, so the weight rises
  // slowly at first, while a backend server is most likely to be slow.
  return pace.weight + (1 - pace.weight) * elapsed * elapsed;
}

Pace BeginPace(const Pace& before, TimePoint now, TimePoint full_at) {
  Pace pace = before;
  pace.began_at = now;
  pace.weight = kInitialWeight;
  pace.changed_at = now;
  pace.full_at = full_at;
  pace.limited_until = full_at + kMaxDelay;
  pace.reduced_at = TimePoint{};
  pace.drawn_at = now;
  pace.logged = false;
  return pace;
}

AnswerSpeed SpeedOf(Microseconds time, double mean_answer_ms) {
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  if (mean_answer_ms <= 0)
    return AnswerSpeed::kUnclear;
  if (ms <= kNormalFactor * mean_answer_ms)
    return AnswerSpeed::kNormal;
  return ms <= kSlowFactor * mean_answer_ms ? AnswerSpeed::kUnclear
                                            : AnswerSpeed::kSlow;
}

Pace AfterAnswer(const Pace& pace,
                 AnswerSpeed speed,
                 const PaceShare& share,
                 TimePoint now) {
  Pace next = pace;
  if (!IsPaced(pace) || speed == AnswerSpeed::kUnclear)
    return next;
  const double weight = WeightAt(pace, now);
  if (speed == AnswerSpeed::kNormal) {
    const double round = weight * share.slots / share.balancers;
    next.weight = std::min(
        1.0, weight * std::pow(kWeightFactor, 1 / std::max(1.0, round)));
    if (next.weight >= 1 && weight < 1)
      next.full_at = now;
    next.changed_at = now;
    return next;
  }
  // The answers of one round are slow for one reason, so only the first of them
  // counts.
  if (pace.reduced_at + share.answer_time > now)
    return next;
  next.weight = std::max(kMinWeight, weight / kWeightFactor);
  next.changed_at = now;
  next.reduced_at = now;
  next.full_at = std::max(pace.full_at, now + kRegainTime);
  return next;
}

double PlacementChance(const Pace& pace,
                       const PaceShare& share,
                       TimePoint now) {
  const double answer_times =
      std::min(kMaxAccruedAnswerTimes,
               SecondsOf(now - pace.drawn_at) / SecondsOf(share.answer_time));
  return std::clamp(share.utilisation * WeightAt(pace, now) * share.slots /
                        share.balancers * answer_times,
                    0.0, 1.0);
}

int UnansweredLimit(const Pace& pace, const PaceShare& share, TimePoint now) {
  return std::max(
      1, static_cast<int>(WeightAt(pace, now) * share.slots / share.balancers));
}

PaceEnd EndOf(const Pace& pace, TimePoint now) {
  if (now >= pace.limited_until)
    return PaceEnd::kLimit;
  return pace.weight >= 1 ? PaceEnd::kAnswered : PaceEnd::kTime;
}

const char* ToString(PaceEnd end) {
  return kEndNames.at(static_cast<size_t>(end));
}

}  // namespace cuminvane
