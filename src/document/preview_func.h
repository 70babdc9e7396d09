/** @file preview_func.h What a change of the configuration will do: which
 * classes move, and how much capacity is left. */

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

/** Where the new flows of a class go before and after. */
struct ClassMove {
  std::string work_class;
  std::string from;  ///< Empty: the class is new.
  std::string to;    ///< Empty: the class ends, its open opaque flows too.

  bool operator==(const ClassMove&) const = default;
};

/** What a service can run at once in one data centre, or in all. */
struct ServiceCapacity {
  std::string service;
  std::string data_centre;
  int64_t slots = 0;            ///< That take new flows now.
  int64_t slots_left = 0;       ///< Once all planned changes have begun.
  std::optional<int64_t> busy;  ///< Requests in progress now, where known.

  /** @return Share of the capacity left that today's requests need; nothing
   * where these are not known. */
  std::optional<double> RequiredUtilisation() const;

  bool operator==(const ServiceCapacity&) const = default;
};

/** What changes. */
struct Preview {
  std::vector<ClassMove> moves;
  std::vector<ServiceCapacity> capacity;

  bool operator==(const Preview&) const = default;
};

/**
 * @param before The configuration in force.
 * @param after The one to publish.
 * @param vms The platform's list.
 * @param busy Requests in progress at backend servers; empty: not known.
 */
Preview PreviewChange(const Config& before,
                      const Config& after,
                      const VmList& vms,
                      const std::map<VmId, int64_t>& busy);

/** @return The preview as key=value lines. */
std::string FormatPreview(const Preview& preview);

/** @return Whether today's requests fit into the capacity left everywhere, as
 * far as known. */
bool HasEnoughCapacity(const Preview& preview);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_PREVIEW_FUNC_H_
