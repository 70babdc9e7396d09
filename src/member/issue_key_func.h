/** @file issue_key_func.h Which token key new tokens are sealed with. */

#ifndef CUMINVANE_MEMBER_ISSUE_KEY_FUNC_H_
#define CUMINVANE_MEMBER_ISSUE_KEY_FUNC_H_

#include "document/config_type.h"
#include "member/member_type.h"

namespace cuminvane {

/** @return The newest token key of the configuration; 0 if it has none. */
KeyNumber NewestKey(const Config& config);

/** @return The newest token key that all members not dead or stopped have, or
 * the newest key of the configuration if they have none in common. Members that
 * have not reported a key yet are ignored. */
KeyNumber IssueKey(const Config& config, const MemberView& members);

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_ISSUE_KEY_FUNC_H_
