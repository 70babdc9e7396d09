/** @file ini_func.h Reads INI text into a document and formats what is wrong
 * with one. */

#ifndef CUMINVANE_BASE_INI_FUNC_H_
#define CUMINVANE_BASE_INI_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"

namespace cuminvane {

/**
 * Reads INI text; lines that are no INI and duplicate sections or keys are
 * problems.
 * @param file Name used in messages.
 * @param text The whole text.
 * @param problems Problems are added at the end.
 * @return The document, without the lines that are problems.
 */
IniDocument ReadIni(const std::string& file,
                    std::string_view text,
                    IniProblems& problems);

/**
 * @param problems Any problems.
 * @return One line for each: file, line, section, key, found, allowed.
 */
std::string FormatProblems(const IniProblems& problems);

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_INI_FUNC_H_
