/** @file vmlist_func.h Parses the platform's list of VMs and looks VMs up. */

#ifndef CUMINVANE_DOCUMENT_VMLIST_FUNC_H_
#define CUMINVANE_DOCUMENT_VMLIST_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"
#include "document/vmlist_type.h"

namespace cuminvane {

/** A parsed list, or everything that is wrong with it. */
struct VmListCheck {
  VmList list;
  IniProblems problems;  ///< Empty means that list holds the document.
};

/**
 * Checks and parses a whole list.
 * @param file Name used in messages.
 * @param text The list.
 * @return The list, or every problem in one go.
 */
VmListCheck CheckVmList(const std::string& file, std::string_view text);

/** @return The VM, null where the list does not have it. */
const Vm* FindVm(const VmList& list, VmId id);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_VMLIST_FUNC_H_
