/** @file document_group_func.h Which balancers pass documents on to each other.
 */

#ifndef CUMINVANE_MEMBER_DOCUMENT_GROUP_FUNC_H_
#define CUMINVANE_MEMBER_DOCUMENT_GROUP_FUNC_H_

#include <set>

#include "member/member_type.h"

namespace cuminvane {

/**
 * The data centres whose balancers share watchers of the platform and pass
 * documents on to each other.
 *
 * A data centre with many balancers is a group of its own, so that documents do
 * not cross its border and it needs no other data centre. The small ones form
 * one group, since each watcher costs the platform calls.
 */
struct DocumentGroup {
  std::set<uint64_t> data_centres;  ///< Hashes of the data centres' names.

  bool operator==(const DocumentGroup&) const = default;

  /** @return Whether balancers of the data centre belong to the group. */
  bool Contains(uint64_t data_centre) const {
    return this->data_centres.contains(data_centre);
  }
};

/** @return The group of a balancer in data centre `own`. */
DocumentGroup FindDocumentGroup(const MemberView& view, uint64_t own);

/**
 * @param own_data_centre Data centre of the balancer.
 * @param own VM of the balancer.
 * @param watchers Number of watchers of a group.
 * @return Whether the balancer is one of the watchers of its group, which are
 * chosen by rendezvous hashing among the live members.
 */
bool IsWatcher(const MemberView& view,
               uint64_t own_data_centre,
               VmId own,
               size_t watchers);

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_DOCUMENT_GROUP_FUNC_H_
