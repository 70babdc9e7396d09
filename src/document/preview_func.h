/** @file preview_func.h Preview of a change of the configuration: classes that
 * move to other services, and the capacity that is left. */

#ifndef CUMINVANE_DOCUMENT_PREVIEW_FUNC_H_
#define CUMINVANE_DOCUMENT_PREVIEW_FUNC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "document/config_type.h"
#include "document/vmlist_type.h"

namespace cuminvane {

/** Destinations of the new flows of a class before and after the change. */
struct ClassMove {
  std::string work_class;
  std::string from;  ///< Service, or split as SERVICE:WEIGHT; empty if the
                     ///< class is new.
  /** Service, or split as SERVICE:WEIGHT; empty if the class is removed, which
   * also ends its open opaque flows. */
  std::string to;

  bool operator==(const ClassMove&) const = default;
};

/** Capacity of a service in one data centre or in all data centres. */
struct ServiceCapacity {
  std::string service;
  std::string data_centre;  ///< `all` for the total over all data centres.
  /** Slots of the backend servers that are not about to be removed by the
   * platform and have no planned change, begun or not, in the active
   * configuration. */
  int64_t slots = 0;
  /** Slots that are left once all planned changes of the configuration to
   * publish have begun. */
  int64_t slots_left = 0;
  std::optional<int64_t> busy;  ///< Requests in progress now; empty if unknown.

  /** @return Requests in progress divided by `slots_left` (1 means all slots
   * are needed); empty if `busy` is unknown. */
  std::optional<double> RequiredUtilisation() const;

  bool operator==(const ServiceCapacity&) const = default;
};

/** Effect of a change of the configuration. */
struct Preview {
  std::vector<ClassMove> moves;
  std::vector<ServiceCapacity> capacity;

  bool operator==(const Preview&) const = default;
};

/**
 * @param before The active configuration.
 * @param after The configuration to publish.
 * @param vms The platform's list.
 * @param busy Requests in progress by backend server; empty if unknown.
 * @return The moved classes, and the capacity of each service by data centre.
 */
Preview PreviewChange(const Config& before,
                      const Config& after,
                      const VmList& vms,
                      const std::map<VmId, int64_t>& busy);

/** @return The preview as lines of `key=value` pairs. */
std::string FormatPreview(const Preview& preview);

/** @return Whether the requests in progress need at most 80 % of the slots
 * left, for every service and data centre; services whose requests in
 * progress are unknown count as sufficient. */
bool HasEnoughCapacity(const Preview& preview);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_PREVIEW_FUNC_H_
