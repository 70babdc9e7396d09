/** @file settings_func.h Parses a balancer's settings file. */

#ifndef CUMINVANE_DOCUMENT_SETTINGS_FUNC_H_
#define CUMINVANE_DOCUMENT_SETTINGS_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"
#include "base/schema_func.h"
#include "document/settings_type.h"

namespace cuminvane {

/** Parsed settings with the problems found in them. */
struct SettingsCheck {
  Settings settings;
  /** If empty, the file is valid and `settings` is complete. */
  IniProblems problems;
};

/** @return The limits that the keys of FlowLimitKeys() set in a checked
 * section; `shards` and `max_flows` keep their defaults. */
FlowLimits ReadFlowLimits(const SectionReader& section);

/**
 * @param file File name for the problem texts.
 * @param text The whole file.
 * @return The settings, or all problems at once.
 */
SettingsCheck CheckSettings(const std::string& file, std::string_view text);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_SETTINGS_FUNC_H_
