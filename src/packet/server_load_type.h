/** @file server_load_type.h What balancers measure of a backend server's load
 * and report to each other. */

#ifndef CUMINVANE_PACKET_SERVER_LOAD_TYPE_H_
#define CUMINVANE_PACKET_SERVER_LOAD_TYPE_H_

#include <cstdint>
#include <msgpack.hpp>

#include "base/time_type.h"
#include "message/message_type.h"

namespace cuminvane {

/** A mean whose weight decays with age. */
struct DecayingMean {
  double mean = 0;    ///< Meaningless while the weight is 0.
  double weight = 0;  ///< Evidence at `at`, in answers.
  TimePoint at;       ///< Time of the last sample or merge.

  bool operator==(const DecayingMean&) const = default;
};

/** Load of one instance of a backend server, as this balancer and the reports
 * of others have it. Answer times are relative to the mean of the flow's class
 * at the balancer that measured them. */
struct ServerLoad {
  DecayingMean slowness;  ///< Relative answer time over the last minute.
  DecayingMean delay;     ///< Relative answer time of the last seconds, divided
                          ///< by `slowness`; above 1 while requests queue.

  bool operator==(const ServerLoad&) const = default;
};

/** Message by which a balancer reports the load of a range of backend servers
 * to another one. */
struct ServerLoadReport {
  static constexpr MessageType kType = MessageType::kServerLoadReport;
  /** Digest of the listed backend servers and their incarnations; receivers
   * with another digest ignore the report. */
  uint32_t list_digest = 0;
  uint32_t first = 0;  ///< Position of the first server, in order of VM ids.
  /** One byte for each backend server; see EncodeServerLoad. */
  Blob loads;

  bool operator==(const ServerLoadReport&) const = default;
  MSGPACK_DEFINE_ARRAY(list_digest, first, loads)
};

/** Counters of load reports since the process started. */
struct ServerLoadCounters {
  uint64_t sent = 0;
  uint64_t received = 0;  ///< Includes the ignored ones.
  uint64_t ignored = 0;   ///< From balancers with another list, or invalid.

  bool operator==(const ServerLoadCounters&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_SERVER_LOAD_TYPE_H_
