/** @file settings_func.h Parses a balancer's settings file. */

#ifndef CUMINVANE_DOCUMENT_SETTINGS_FUNC_H_
#define CUMINVANE_DOCUMENT_SETTINGS_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"
#include "base/schema_func.h"
#include "document/settings_type.h"

namespace cuminvane {

/** Parsed settings, or everything that is wrong with them. */
struct SettingsCheck {
  Settings settings;
  IniProblems problems;  ///< Empty means that settings holds the file.
};

/** @return What the keys of FlowLimitKeys say in a checked section; everything
 * else is at its default. */
FlowLimits ReadFlowLimits(const SectionReader& section);

/**
 * @param file Name used in messages.
 * @param text The whole file.
 * @return The settings, or every problem in one go.
 */
SettingsCheck CheckSettings(const std::string& file, std::string_view text);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_SETTINGS_FUNC_H_
