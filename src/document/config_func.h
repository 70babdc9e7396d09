/** @file config_func.h Parsing of the operators' configuration, and look-ups in
 * it. */

#ifndef CUMINVANE_DOCUMENT_CONFIG_FUNC_H_
#define CUMINVANE_DOCUMENT_CONFIG_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"
#include "base/result_type.h"
#include "document/config_type.h"
#include "document/vmlist_type.h"

namespace cuminvane {

/** A parsed document with the problems found in it. */
struct ConfigCheck {
  Config config;
  /** If empty, the document is valid and `config` is complete. */
  IniProblems problems;
};

/**
 * Validates and parses a whole document.
 * @param file File name for the problem texts.
 * @param text The document.
 * @return The configuration, or all problems at once.
 */
ConfigCheck CheckConfig(const std::string& file, std::string_view text);
/** The same for a document that is parsed already. */
ConfigCheck CheckConfig(const IniDocument& document);

/**
 * @param name Name of a service.
 * @return Hash of the name, the same in every process.
 */
ServiceId ServiceIdOf(std::string_view name);

/**
 * @param name Name of a class.
 * @return Hash of the name, the same in every process.
 */
ClassId ClassIdOf(std::string_view name);

/** @return The service that callers reach at the address, null if there is
 * none. */
const Service* FindService(const Config& config, const Endpoint& address);
/** @return The service with the id, null if there is none. */
const Service* FindService(const Config& config, ServiceId id);
/** @return The class with the id, null if there is none. */
const WorkClass* FindClass(const Config& config, ClassId id);

/**
 * @param config The active configuration.
 * @param vm A VM of the platform's list.
 * @param now The current time.
 * @return The first planned change that has begun for the VM or its data
 * centre, null if there is none.
 */
const PlannedChange* FindActiveChange(const Config& config,
                                      const Vm& vm,
                                      TimePoint now);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_CONFIG_FUNC_H_
