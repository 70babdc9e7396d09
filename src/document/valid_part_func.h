/** @file valid_part_func.h Reduces a document that was translated from items of
 * other programs to its valid sections, so that one invalid item does not keep
 * the others out of force. */

#ifndef CUMINVANE_DOCUMENT_VALID_PART_FUNC_H_
#define CUMINVANE_DOCUMENT_VALID_PART_FUNC_H_

#include <functional>
#include <vector>

#include "base/ini_type.h"
#include "document/document_func.h"

namespace cuminvane {

/** Why a section is not used as it stands. */
struct SectionProblem {
  IniProblem problem;  ///< Its line is that of the section.
  bool kept = false;   ///< Whether the section stays as it is in force; if not,
                       ///< it is left out.

  bool operator==(const SectionProblem&) const = default;
};

/** The valid part of a document. */
struct ValidPart {
  IniDocument document;  ///< Passes the check; no sections if `refused` has
                         ///< problems.
  std::vector<SectionProblem> invalid;  ///< One for each invalid section.
  IniProblems refused;  ///< Problems of the document as a whole.

  bool operator==(const ValidPart&) const = default;
};

/** @return Sections of the document in force. */
using ReadSections = std::function<SectionTexts()>;

/**
 * Leaves out invalid VMs.
 * @param document A list; its first section has the version. Lines of sections
 * increase, and the entries of a section have the section's line.
 */
ValidPart FindValidVmList(IniDocument document);

/**
 * Leaves out invalid sections. A class that is in force stays as it is, with
 * its services, since leaving it out would end its open flows.
 * @param document A configuration; as for FindValidVmList.
 * @param read_in_force Called only if a section is invalid; may be null.
 */
ValidPart FindValidConfig(IniDocument document,
                          const ReadSections& read_in_force);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_VALID_PART_FUNC_H_
