/** @file vmlist_func.h Parsing of the platform's list of VMs, and look-up in
 * it. */

#ifndef CUMINVANE_DOCUMENT_VMLIST_FUNC_H_
#define CUMINVANE_DOCUMENT_VMLIST_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"
#include "document/vmlist_type.h"

namespace cuminvane {

/** A parsed list with the problems found in it. */
struct VmListCheck {
  VmList list;
  /** If empty, the document is valid and `list` is complete. */
  IniProblems problems;
};

/**
 * Validates and parses a whole list.
 * @param file File name for the problem texts.
 * @param text The list.
 * @return The list, or all problems at once.
 */
VmListCheck CheckVmList(const std::string& file, std::string_view text);
/** The same for a list that is parsed already. */
VmListCheck CheckVmList(const IniDocument& document);

/** @return The VM, null if it is not in the list. */
const Vm* FindVm(const VmList& list, VmId id);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_VMLIST_FUNC_H_
