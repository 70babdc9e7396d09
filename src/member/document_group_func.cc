/** @file document_group_func.cc Forms groups of data centres by their size. */

#include "member/document_group_func.h"

#include <map>

namespace cuminvane {
namespace {

/** Number of balancers from which on a data centre is a group of its own. */
constexpr size_t kMinOwnGroup = 8;

}  // namespace

DocumentGroup FindDocumentGroup(const MemberView& view, uint64_t own) {
  std::map<uint64_t, size_t> balancers{{own, 1}};
  for (const MemberInfo& member : view.members) {
    // A dead member counts, so that a partition does not change the groups.
    if (member.State() != MemberState::kLeft)
      ++balancers[member.data_centre];
  }
  if (balancers[own] >= kMinOwnGroup)
    return {{own}};
  DocumentGroup small_ones;
  for (const auto& [data_centre, count] : balancers) {
    if (count < kMinOwnGroup)
      small_ones.data_centres.insert(data_centre);
  }
  return small_ones;
}

}  // namespace cuminvane
