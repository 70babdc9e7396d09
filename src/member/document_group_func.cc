/** @file document_group_func.cc Forms groups of data centres by their size. */

#include "member/document_group_func.h"

#include <map>

#include "base/rendezvous_func.h"

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

bool IsWatcher(const MemberView& view,
               uint64_t own_data_centre,
               VmId own,
               size_t watchers) {
  const DocumentGroup group = FindDocumentGroup(view, own_data_centre);
  const uint64_t own_score = RendezvousScore(0, own.value);
  size_t higher_ranked = 0;
  bool has_other_groups = false;
  for (const MemberInfo& member : view.members) {
    if (!group.Contains(member.data_centre))
      has_other_groups = true;
    else if (member.State() == MemberState::kAlive &&
             RendezvousScore(0, member.id.vm.value) > own_score)
      ++higher_ranked;
  }
  // The document stamps of other groups show when this one is behind, so one
  // watcher is enough then.
  return higher_ranked < (has_other_groups ? 1 : watchers);
}

}  // namespace cuminvane
