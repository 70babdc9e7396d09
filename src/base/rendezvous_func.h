/** @file rendezvous_func.h Rendezvous hashing: every process ranks the same
 * candidates in the same order. */

#ifndef CUMINVANE_BASE_RENDEZVOUS_FUNC_H_
#define CUMINVANE_BASE_RENDEZVOUS_FUNC_H_

#include <xxhash.h>

#include <array>
#include <cstdint>

namespace cuminvane {

/**
 * @param key What is to be placed.
 * @param candidate Where it might go.
 * @return The candidate's score for the key; the highest score wins.
 */
inline uint64_t RendezvousScore(uint64_t key, uint64_t candidate) {
  const std::array<uint64_t, 2> pair{key, candidate};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_RENDEZVOUS_FUNC_H_
