/** @file server_load_base.h A balancer's part in sharing the load of backend
 * servers: class means, schedule and ranges of reports. */

#ifndef CUMINVANE_PACKET_SERVER_LOAD_BASE_H_
#define CUMINVANE_PACKET_SERVER_LOAD_BASE_H_

#include <map>
#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/random_type.h"
#include "packet/pool_type.h"
#include "packet/server_load_type.h"

namespace cuminvane {

/** Decides when this balancer reports which backend servers, and applies the
 * reports of others. The estimates themselves are in PoolMember::load. */
class ServerLoadExchange {
 public:
  /** Adopts the listed backend servers, in order of VM ids. */
  void SetServers(const std::map<VmId, PoolMember>& members);

  /**
   * Records an answer of a backend server.
   * @param service Address of the flow's class of work.
   * @param time Time that the answer took.
   */
  void OnAnswer(PoolMember& member,
                const Endpoint& service,
                Microseconds time,
                TimePoint now);

  /** @return The datagram of a report that is due; empty if none is. */
  std::string NextReport(const std::map<VmId, PoolMember>& members,
                         TimePoint now,
                         RandomEngine& random);

  /** Merges a report. @return Whether it was applied: it names the same list
   * and an existing range. */
  bool OnReport(const ServerLoadReport& report,
                std::map<VmId, PoolMember>& members,
                TimePoint now);

  const ServerLoadCounters& Counters() const { return this->counters; }

 private:
  /** Estimate of a class of work at this balancer. */
  struct ClassMean {
    double answer_ms = 0;
    int answers = 0;  ///< Answers so far, up to kClassAnswers.
  };

  std::map<Endpoint, ClassMean> classes;  ///< By service address.
  std::vector<VmId> servers;              ///< Listed backend servers, sorted.
  uint32_t list_digest = 0;  ///< See ServerLoadReport::list_digest.
  size_t next_first = 0;     ///< Position of the next range.
  TimePoint next_report_at;  ///< When the next report is due.
  DecayingMean recent;       ///< Recent delay of all servers together.
  double fast_reports = 0;   ///< Reports that may be sent early.
  TimePoint credited_at;     ///< Last update of `fast_reports`.
  ServerLoadCounters counters;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_SERVER_LOAD_BASE_H_
