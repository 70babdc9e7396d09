/** @file evacuation_base.h The data centres that get no new flows, from
 * successive lists of VMs. */

#ifndef CUMINVANE_DOCUMENT_EVACUATION_BASE_H_
#define CUMINVANE_DOCUMENT_EVACUATION_BASE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_type.h"
#include "document/vmlist_type.h"

namespace cuminvane {

/** The evacuation of one data centre. */
struct Evacuation {
  TimePoint since;  ///< When this balancer first saw it in a list.
  /** kNever while it is requested. If the platform's store was restored without
   * the request, the end of the time for which it remains in force. */
  TimePoint until = kNever;

  bool operator==(const Evacuation&) const = default;
};

/** Evacuations by the name of the data centre. */
using Evacuations = std::map<std::string, Evacuation, std::less<>>;

/** The evacuations in force. */
class EvacuationTable {
 public:
  /** Time for which an evacuation remains in force if the platform's store was
   * restored without the request: the operator has to write it again. */
  static constexpr Seconds kRestoredRetention{30};

  /** Applies a list of VMs; the same list may be applied repeatedly. A request
   * that is missing has been removed, unless the list is the first one of a new
   * era of the store (see kVersionsPerEra). */
  void Sync(const VmList& list, TimePoint now);

  /** Removes the evacuations whose retention has ended.
   * @return Their data centres. */
  std::vector<std::string> Expire(TimePoint now);

  /** @return Evacuation::until; TimePoint{} if it is not evacuated. */
  TimePoint Until(std::string_view data_centre) const;

  /** @return All evacuations that have not expired or been removed. */
  const Evacuations& All() const { return this->evacuations; }

 private:
  Evacuations evacuations;
  uint64_t era = 0;  ///< Era of the last list; see kVersionsPerEra.
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_EVACUATION_BASE_H_
