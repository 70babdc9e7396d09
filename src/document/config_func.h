/** @file config_func.h Parses the operators' configuration and answers
 * questions about it. */

#ifndef CUMINVANE_DOCUMENT_CONFIG_FUNC_H_
#define CUMINVANE_DOCUMENT_CONFIG_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"
#include "base/result_type.h"
#include "document/config_type.h"
#include "document/vmlist_type.h"

namespace cuminvane {

/** A parsed document, or everything that is wrong with it. */
struct ConfigCheck {
  Config config;
  IniProblems problems;  ///< Empty means that config holds the document.
};

/**
 * Checks and parses a whole document.
 * @param file Name used in messages.
 * @param text The document.
 * @return The configuration, or every problem in one go.
 */
ConfigCheck CheckConfig(const std::string& file, std::string_view text);

/**
 * @param name A service's name.
 * @return Its identifier, the same in every process.
 */
ServiceId ServiceIdOf(std::string_view name);

/**
 * @param name A class's name.
 * @return Its identifier, the same in every process.
 */
ClassId ClassIdOf(std::string_view name);

/** @return The service callers reach by the address, null where there is none.
 */
const Service* FindService(const Config& config, const Endpoint& address);
/** @return The service, null where there is none. */
const Service* FindService(const Config& config, ServiceId id);
/** @return The class, null where there is none. */
const WorkClass* FindClass(const Config& config, ClassId id);

/**
 * @param config The configuration in force.
 * @param vm A VM of the platform's list.
 * @param now The present time.
 * @return The planned change that holds for the VM now, null where there is
 * none.
 */
const PlannedChange* FindActiveChange(const Config& config,
                                      const Vm& vm,
                                      TimePoint now);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_CONFIG_FUNC_H_
