/** @file random_type.h The random engine that is handed into the core. */

#ifndef CUMINVANE_BASE_RANDOM_TYPE_H_
#define CUMINVANE_BASE_RANDOM_TYPE_H_

#include <cstdint>
#include <random>

namespace cuminvane {

using RandomEngine = std::mt19937_64;

/**
 * @param random Engine to draw from.
 * @param size Number of choices, at least 1.
 * @return An index below `size`, each as likely.
 */
inline size_t DrawIndex(RandomEngine& random, size_t size) {
  return std::uniform_int_distribution<size_t>(0, size - 1)(random);
}

/**
 * @param random Engine to draw from.
 * @return A number that is not 0, since 0 means none.
 */
inline uint64_t DrawId(RandomEngine& random) {
  return std::uniform_int_distribution<uint64_t>(1)(random);
}

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_RANDOM_TYPE_H_
