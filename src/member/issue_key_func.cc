/** @file issue_key_func.cc Choice of the token key. */

#include "member/issue_key_func.h"

#include <algorithm>

namespace cuminvane {

KeyNumber NewestKey(const Config& config) {
  return config.keys.empty() ? KeyNumber{} : config.keys.rbegin()->first;
}

KeyNumber IssueKey(const Config& config, const MemberView& members) {
  KeyNumber limit = NewestKey(config);
  for (const MemberInfo& member : members.members) {
    if (member.State() <= MemberState::kSuspect && member.newest_key != 0)
      limit = std::min(limit, KeyNumber{member.newest_key});
  }
  const auto above = config.keys.upper_bound(limit);
  return above == config.keys.begin() ? NewestKey(config)
                                      : std::prev(above)->first;
}

}  // namespace cuminvane
