/** @file evacuation_base.h Evacuated data centres in the packet plane: which
 * backend servers get no new flows, log events, and figures for operators. */

#ifndef CUMINVANE_PACKET_EVACUATION_BASE_H_
#define CUMINVANE_PACKET_EVACUATION_BASE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "decision/output_type.h"
#include "document/evacuation_base.h"
#include "document/vmlist_type.h"
#include "packet/pool_type.h"

namespace cuminvane {

/** An evacuated data centre, for metrics and status. */
struct EvacuatedDataCentre {
  std::string name;
  Evacuation evacuation;
  int64_t flows = 0;  ///< Open flows there that this balancer counts.

  bool operator==(const EvacuatedDataCentre&) const = default;
};

/** The evacuations as the pool of backend servers applies them. */
class PoolEvacuations {
 public:
  /** @param own_data_centre Name of this balancer's data centre, which is known
   * even if no listed VM is there. */
  explicit PoolEvacuations(std::string_view own_data_centre)
      : own_data_centre(own_data_centre) {}

  /** Applies a list of VMs and sets PoolMember::evacuated_until of all backend
   * servers, also of those that are no longer listed. */
  void Sync(const VmList& list,
            TimePoint now,
            std::map<VmId, PoolMember>& members);

  /** Ends the evacuations whose retention after a restore has passed, and logs
   * what has begun or ended since the last call. */
  void Tick(TimePoint now,
            const std::map<VmId, PoolMember>& members,
            Output& out);

  /** @return The evacuated data centres, sorted by name. */
  std::vector<EvacuatedDataCentre> Report(
      const std::map<VmId, PoolMember>& members) const;

 private:
  /** Ends the evacuations whose retention after a restore has passed. */
  void EndExpired(TimePoint now);
  /** Adds a log line that the next Tick writes. */
  void AddEvent(const char* event,
                const char* reason,
                Severity severity,
                const std::string& data_centre);

  std::string own_data_centre;
  EvacuationTable table;
  /** Evacuated data centres that were logged; true if a VM was there. */
  std::map<std::string, bool> logged;
  std::vector<Decision> events;  ///< Not written yet.
};

/**
 * @param members All known backend servers.
 * @return Why no backend server accepts a new flow of the service, as logged:
 * `evacuated` if some would but for an evacuation, else `no_backend`.
 */
const char* ReasonForNone(const std::map<VmId, PoolMember>& members,
                          ServiceId service,
                          TimePoint now);

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_EVACUATION_BASE_H_
