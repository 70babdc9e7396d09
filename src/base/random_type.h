/** @file random_type.h The random engine, which callers pass in so that a seed
 * makes every decision reproducible. */

#ifndef CUMINVANE_BASE_RANDOM_TYPE_H_
#define CUMINVANE_BASE_RANDOM_TYPE_H_

#include <cstdint>
#include <random>

namespace cuminvane {

using RandomEngine = std::mt19937_64;

/**
 * @param random Engine to draw from.
 * @param size Number of indexes, at least 1.
 * @return A uniformly distributed index from 0 to `size` - 1.
 */
inline size_t DrawIndex(RandomEngine& random, size_t size) {
  return std::uniform_int_distribution<size_t>(0, size - 1)(random);
}

/**
 * @param random Engine to draw from.
 * @return A uniformly distributed id other than 0, because 0 means none.
 */
inline uint64_t DrawId(RandomEngine& random) {
  return std::uniform_int_distribution<uint64_t>(1)(random);
}

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_RANDOM_TYPE_H_
