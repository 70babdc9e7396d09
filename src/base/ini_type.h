/** @file ini_type.h An INI document as read: sections of entries, each with its
 * line. */

#ifndef CUMINVANE_BASE_INI_TYPE_H_
#define CUMINVANE_BASE_INI_TYPE_H_

#include <string>
#include <vector>

namespace cuminvane {

/** One `key = value` line. */
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;  ///< Counts from 1.

  bool operator==(const IniEntry&) const = default;
};

/** One `[section]` with its entries in file order. */
struct IniSection {
  std::string name;  ///< As written, for example `class edits`.
  int line = 0;      ///< Line of its header.
  std::vector<IniEntry> entries;

  bool operator==(const IniSection&) const = default;
};

/** A whole document. */
struct IniDocument {
  std::string file;  ///< Name used in messages.
  std::vector<IniSection> sections;

  bool operator==(const IniDocument&) const = default;
};

/** One thing wrong in a document, complete enough to correct it without looking
 * elsewhere. */
struct IniProblem {
  std::string file;
  int line = 0;
  std::string section;
  std::string key;      ///< Empty where the section itself is wrong.
  std::string found;    ///< What stands there.
  std::string allowed;  ///< What may stand there.

  bool operator==(const IniProblem&) const = default;
};

/** All problems of a document; empty means accepted. */
using IniProblems = std::vector<IniProblem>;

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_INI_TYPE_H_
