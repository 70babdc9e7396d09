/** @file rendezvous_func.h Rendezvous (highest random weight) hashing: every
 * process ranks the same candidates for a key in the same order, without
 * communication. */

#ifndef CUMINVANE_BASE_RENDEZVOUS_FUNC_H_
#define CUMINVANE_BASE_RENDEZVOUS_FUNC_H_

#include <xxhash.h>

#include <array>
#include <cstdint>

namespace cuminvane {

/**
 * @param key Key to place, for example a flow id.
 * @param candidate Candidate to place it on, for example a VM id.
 * @return The candidate's score; the key belongs to the candidate with the
 * highest score.
 */
inline uint64_t RendezvousScore(uint64_t key, uint64_t candidate) {
  const std::array<uint64_t, 2> pair{key, candidate};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_RENDEZVOUS_FUNC_H_
