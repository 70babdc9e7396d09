/** @file ini_type.h An INI document as parsed, with line numbers, and problems
 * found in it. */

#ifndef CUMINVANE_BASE_INI_TYPE_H_
#define CUMINVANE_BASE_INI_TYPE_H_

#include <string>
#include <vector>

namespace cuminvane {

/** One `key = value` line. */
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;  ///< Line number, from 1.

  bool operator==(const IniEntry&) const = default;
};

/** One `[section]`. */
struct IniSection {
  std::string name;  ///< Text between the brackets, such as `class edits`.
  int line = 0;      ///< Line number of the header, from 1.
  std::vector<IniEntry> entries;  ///< In file order.

  bool operator==(const IniSection&) const = default;
};

/** A parsed INI document. */
struct IniDocument {
  std::string file;                  ///< File name for problem reports.
  std::vector<IniSection> sections;  ///< In file order.

  bool operator==(const IniDocument&) const = default;
};

/** One error in a document, with all that an operator needs to correct it. */
struct IniProblem {
  std::string file;
  int line = 0;         ///< Line number, from 1; 0 if the problem has no line.
  std::string section;  ///< Name of the section; empty if there is none.
  std::string
      key;  ///< Name of the key; empty if the problem is not about a key.
  std::string found;    ///< The text or condition found.
  std::string allowed;  ///< The text or condition expected.

  bool operator==(const IniProblem&) const = default;
};

/** All problems of a document; empty means that it is valid. */
using IniProblems = std::vector<IniProblem>;

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_INI_TYPE_H_
