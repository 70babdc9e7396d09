/** @file server_load_func.h Estimates of the load of a backend server: samples,
 * merging of reports, weights for placement. */

#ifndef CUMINVANE_PACKET_SERVER_LOAD_FUNC_H_
#define CUMINVANE_PACKET_SERVER_LOAD_FUNC_H_

#include <cstdint>

#include "base/random_type.h"
#include "packet/server_load_type.h"

namespace cuminvane {

/** Answers in less than this share of the class's mean are refusals of a full
 * server or errors and say nothing about its speed. */
inline constexpr double kMinAnswerRatio = 0.2;
/** Longer answers count as this many means, so that one outlier can't outweigh
 * the other answers. */
inline constexpr double kMaxAnswerRatio = 8;
/** Bounds of the factor by which capacity is weighted. Beyond a factor of 3 the
 * estimate is more likely wrong than the server that different. */
inline constexpr double kMinSpeed = 1.0 / 3;
inline constexpr double kMaxSpeed = 3;
/** Servers whose speed is within this factor of the mean count as equal. */
inline constexpr double kEqualSpeedFactor = 1.25;

/** @return The weight of the mean at `now`.
 * @param half_life Time in which the weight halves. */
double WeightAt(const DecayingMean& mean,
                Milliseconds half_life,
                TimePoint now);

/**
 * Adds an answer that this balancer has seen.
 * @param ratio Answer time relative to the mean of its class.
 * @return The estimate with the answer.
 */
ServerLoad AddAnswer(const ServerLoad& load, double ratio, TimePoint now);

/**
 * @param random Rounds the values at random, so that rounding has no bias.
 * @return The load in one byte: 4 bits slowness, 2 bits delay, 2 bits weight of
 * the slowness. 0 means unknown.
 */
uint8_t EncodeServerLoad(const ServerLoad& load,
                         TimePoint now,
                         RandomEngine& random);

/**
 * Merges what another balancer reported. The weight of the slowness never
 * exceeds the larger of both, so that merging creates no evidence and echoes
 * fade at the rate of their age.
 * @param byte See EncodeServerLoad.
 */
ServerLoad MergeServerLoad(const ServerLoad& load, uint8_t byte, TimePoint now);

/** @return Whether the slowness rests on enough recent answers to be used. */
bool IsSlownessKnown(const ServerLoad& load, TimePoint now);

/** @return Factor of the mean capacity that the server has free: 1 if nothing
 * is known or it is within the dead band, between kMinSpeed and kMaxSpeed.
 * @param mean_speed Mean of 1 / slowness of all candidates; 0 if unknown.
 * @param mean_delay Mean delay of all candidates; 0 if unknown. */
double CapacityFactorOf(const ServerLoad& load,
                        double mean_speed,
                        double mean_delay,
                        TimePoint now);

/** @return The speed relative to an average server of the classes it serves;
 * 1 if unknown. */
double SpeedOf(const ServerLoad& load, TimePoint now);

/** @return The delay; 1 if nothing recent is known. */
double DelayOf(const ServerLoad& load, TimePoint now);

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_SERVER_LOAD_FUNC_H_
