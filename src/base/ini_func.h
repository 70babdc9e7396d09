/** @file ini_func.h Parses INI text and formats problem reports. */

#ifndef CUMINVANE_BASE_INI_FUNC_H_
#define CUMINVANE_BASE_INI_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"

namespace cuminvane {

/**
 * Parses INI text: `[section]` and `key = value` or `key: value` lines of any
 * length. A line that begins with `;` or `#` is a comment, and so is the rest
 * of a value from a `;` after white space. Syntax errors are problems.
 * @param file File name for problem reports.
 * @param text Content of the file.
 * @param problems The problems found are appended.
 * @return The document, without the invalid lines.
 */
IniDocument ReadIni(const std::string& file,
                    std::string_view text,
                    IniProblems& problems);

/** @return The document as text; ReadIni reads it back if each name, key and
 * value is one that a schema allows. */
std::string FormatIni(const IniDocument& document);

/** @return The text without quotation marks and line ends, cut if it is long,
 * for a log line. */
std::string FormatOneLine(std::string_view text);

/** @return Key, found and allowed text of a problem. */
std::string FormatProblem(const IniProblem& problem);

/**
 * @param problems Problems of one or more documents.
 * @return One line per problem with file, line, section, key, found, allowed.
 * Texts from the document are cut to a reportable length.
 */
std::string FormatProblems(const IniProblems& problems);

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_INI_FUNC_H_
