/** @file ini_func.h Parses INI text and formats problem reports. */

#ifndef CUMINVANE_BASE_INI_FUNC_H_
#define CUMINVANE_BASE_INI_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"

namespace cuminvane {

/**
 * Parses INI text. Syntax errors and duplicate sections or keys are problems.
 * @param file File name for problem reports.
 * @param text Content of the file.
 * @param problems The problems found are appended.
 * @return The document, without the invalid lines.
 */
IniDocument ReadIni(const std::string& file,
                    std::string_view text,
                    IniProblems& problems);

/**
 * @param problems Problems of one or more documents.
 * @return One line per problem with file, line, section, key, found, allowed.
 */
std::string FormatProblems(const IniProblems& problems);

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_INI_FUNC_H_
