/** @file document_peers_base.h The members of a balancer's document group. */

#ifndef CUMINVANE_MEMBER_DOCUMENT_PEERS_BASE_H_
#define CUMINVANE_MEMBER_DOCUMENT_PEERS_BASE_H_

#include <memory>
#include <vector>

#include "base/guarded_type.h"
#include "document/fetch_plan_base.h"
#include "member/document_group_func.h"

namespace cuminvane {

/**
 * Answers which members share documents with a balancer. Keeps the answer until
 * the membership changes.
 * @tparam Mutex Type of the lock; callers may be in several threads.
 */
template <Lockable Mutex>
class DocumentPeers {
 public:
  using Members = std::shared_ptr<const MemberView>;

  /** @param own Data centre of the balancer. */
  explicit DocumentPeers(uint64_t own) : own(own) {}

  /** @return Addresses of the members of the group that are alive or stopping.
   */
  std::vector<Endpoint> Endpoints(const Members& members) const {
    return this->state.WithLock([&](State& known) {
      this->Update(known, members);
      return known.endpoints;
    });
  }

  /**
   * @param from Address that a message came from.
   * @param sender State of the member that the message is about; a relayed
   * message comes from another address.
   * @return The balancer to fetch documents from.
   */
  DocumentSource SourceOf(const Members& members,
                          const Endpoint& from,
                          const MemberInfo& sender) const {
    const bool in_group = this->state.WithLock([&](State& known) {
      this->Update(known, members);
      return known.group.Contains(sender.data_centre);
    });
    return {sender.peer == Endpoint{} ? from : sender.peer, in_group};
  }

 private:
  /** What was found for one membership. */
  struct State {
    Members members;
    DocumentGroup group;
    std::vector<Endpoint> endpoints;
  };

  void Update(State& known, const Members& members) const {
    if (known.members == members)
      return;
    known = {members, FindDocumentGroup(*members, this->own), {}};
    for (const MemberInfo& member : members->members) {
      if (member.State() <= MemberState::kLeaving &&
          known.group.Contains(member.data_centre))
        known.endpoints.push_back(member.peer);
    }
  }

  const uint64_t own;  ///< Data centre of the balancer.
  mutable Guarded<State, Mutex> state;
};

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_DOCUMENT_PEERS_BASE_H_
