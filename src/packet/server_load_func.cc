/** @file server_load_func.cc Estimates of the load of a backend server. */

#include "packet/server_load_func.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cuminvane {
namespace {

/** Half-life of the slowness. A balancer among 81 sees an answer of a server
 * every 7 s, so its own weight settles at about 13 answers. */
constexpr Milliseconds kSlownessHalfLife{60000};
/** Half-life of the delay. A queue of 8 requests with 2 slots empties in about
 * 0.3 s; reports take a few seconds to spread. */
constexpr Milliseconds kDelayHalfLife{2000};
/** Upper bound of the weight of the slowness, so that an estimate follows a
 * server that changes within some twenty answers. */
constexpr double kMaxSlownessWeight = 16;
/** Upper bound of the weight of the delay; with kDelayHalfLife it is forgotten
 * 7 s after the last answer. */
constexpr double kMaxDelayWeight = 4;
/** Weight from which on the slowness is used. */
constexpr double kMinSlownessWeight = 1.5;
/** Weight from which on the delay is used. */
constexpr double kMinDelayWeight = 0.4;
/** Share of its weight that a reported delay keeps. With the age of at least
 * one report interval a round of gossip loses more weight than it adds. */
constexpr double kReportedDelayShare = 0.4;
/** A report counts as at most this many times the known slowness or its
 * inverse, so that a balancer that reports nonsense moves it little. */
constexpr double kMaxReportedChange = 1.5;
/** Weight that a report adds while the slowness is unknown: with two reports it
 * is used. One wrong report can't spread alone over a fleet that has just
 * started. */
constexpr double kFirstReportWeight = 0.75;
/** Bound, and its inverse, of the slowness that a first report is taken for. */
constexpr double kMaxFirstSlowness = 2.5;
/** Delays of less than this many times the mean are ordinary queueing. */
constexpr double kBusyDelay = 1.5;

/** Reported values by code; 0 means unknown. The slowness spans 1/4 to 4. */
constexpr int kSlownessCodes = 15;
constexpr double kSlownessSpan = 16;
constexpr std::array<double, 4> kDelays = {0, 1, 2, 4};
constexpr std::array<double, 4> kWeights = {1, 2, 4, 8};

double SlownessOf(int code) {
  return std::pow(kSlownessSpan,
                  static_cast<double>(code - 1) / (kSlownessCodes - 1) - 0.5);
}

DecayingMean AddSample(const DecayingMean& before,
                       double sample,
                       double sample_weight,
                       double max_weight,
                       Milliseconds half_life,
                       TimePoint now) {
  const double old_weight = std::min(WeightAt(before, half_life, now),
                                     std::max(0.0, max_weight - sample_weight));
  const double weight = old_weight + sample_weight;
  return {(before.mean * old_weight + sample * sample_weight) / weight, weight,
          now};
}

}  // namespace

double WeightAt(const DecayingMean& mean,
                Milliseconds half_life,
                TimePoint now) {
  if (mean.weight == 0 || now <= mean.at)
    return mean.weight;
  return mean.weight * std::exp2(-std::chrono::duration<double>(now - mean.at) /
                                 std::chrono::duration<double>(half_life));
}

ServerLoad AddAnswer(const ServerLoad& load, double ratio, TimePoint now) {
  if (ratio < kMinAnswerRatio)
    return load;
  const double sample = std::min(ratio, kMaxAnswerRatio);
  ServerLoad after = load;
  after.slowness = AddSample(load.slowness, sample, 1, kMaxSlownessWeight,
                             kSlownessHalfLife, now);
  if (IsSlownessKnown(load, now))
    after.delay = AddSample(load.delay, sample / load.slowness.mean, 1,
                            kMaxDelayWeight, kDelayHalfLife, now);
  return after;
}

bool IsSlownessKnown(const ServerLoad& load, TimePoint now) {
  return WeightAt(load.slowness, kSlownessHalfLife, now) >= kMinSlownessWeight;
}

double SpeedOf(const ServerLoad& load, TimePoint now) {
  return IsSlownessKnown(load, now) ? 1 / load.slowness.mean : 1;
}

double DelayOf(const ServerLoad& load, TimePoint now) {
  return WeightAt(load.delay, kDelayHalfLife, now) >= kMinDelayWeight
             ? load.delay.mean
             : 1;
}

uint8_t EncodeServerLoad(const ServerLoad& load,
                         TimePoint now,
                         RandomEngine& random) {
  const double weight = WeightAt(load.slowness, kSlownessHalfLife, now);
  if (weight < kWeights.front())
    return 0;
  std::uniform_real_distribution<double> uniform(0, 1);
  const double position =
      (std::log(load.slowness.mean) / std::log(kSlownessSpan) + 0.5) *
          (kSlownessCodes - 1) +
      1;
  const int slowness =
      std::clamp(static_cast<int>(std::floor(position + uniform(random))), 1,
                 kSlownessCodes);
  int delay = 0;
  if (WeightAt(load.delay, kDelayHalfLife, now) >= kMinDelayWeight)
    delay = load.delay.mean < kBusyDelay ? 1 : load.delay.mean < 3 ? 2 : 3;
  int weight_code = 0;
  while (weight_code + 1 < static_cast<int>(kWeights.size()) &&
         kWeights.at(static_cast<size_t>(weight_code) + 1) <= weight)
    ++weight_code;
  return static_cast<uint8_t>(slowness << 4 | delay << 2 | weight_code);
}

ServerLoad MergeServerLoad(const ServerLoad& load,
                           uint8_t byte,
                           TimePoint now) {
  const int slowness_code = byte >> 4;
  if (slowness_code == 0)
    return load;
  ServerLoad merged = load;
  const double own = WeightAt(load.slowness, kSlownessHalfLife, now);
  // The weight never exceeds what was reported, so echoes have no evidence.
  double reported = kWeights.at(byte & 3U);
  double slowness = SlownessOf(slowness_code);
  if (IsSlownessKnown(load, now)) {
    slowness = std::clamp(slowness, load.slowness.mean / kMaxReportedChange,
                          load.slowness.mean * kMaxReportedChange);
    merged.slowness.weight = std::max(own, reported);
  } else {
    slowness = std::clamp(slowness, 1 / kMaxFirstSlowness, kMaxFirstSlowness);
    merged.slowness.weight =
        std::max(own, std::min(reported, own + kFirstReportWeight));
    reported = std::min(reported, kFirstReportWeight);
  }
  merged.slowness.mean =
      (load.slowness.mean * own + slowness * reported) / (own + reported);
  merged.slowness.at = now;
  const size_t delay_code = (byte >> 2) & 3U;
  if (delay_code != 0)
    merged.delay =
        AddSample(load.delay, kDelays.at(delay_code), kReportedDelayShare,
                  kMaxDelayWeight, kDelayHalfLife, now);
  return merged;
}

double CapacityFactorOf(const ServerLoad& load,
                        double mean_speed,
                        double mean_delay,
                        TimePoint now) {
  double factor = 1;
  if (mean_speed > 0 && IsSlownessKnown(load, now)) {
    const double speed = 1 / load.slowness.mean / mean_speed;
    if (speed > kEqualSpeedFactor || speed < 1 / kEqualSpeedFactor)
      factor = speed;
  }
  const double delay = DelayOf(load, now);
  if (mean_delay > 0 && delay > kBusyDelay * mean_delay)
    factor *= mean_delay / delay;
  return std::clamp(factor, kMinSpeed, kMaxSpeed);
}

}  // namespace cuminvane
