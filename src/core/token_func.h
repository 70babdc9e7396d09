/** @file token_func.h Signs and checks flow tokens. */

#ifndef CUMINVANE_CORE_TOKEN_FUNC_H_
#define CUMINVANE_CORE_TOKEN_FUNC_H_

#include <string>
#include <string_view>

#include "core/config_type.h"
#include "core/result_type.h"
#include "core/token_type.h"

namespace cuminvane {

/**
 * @param token The content; its key number must be one of `keys`.
 * @param keys The keys in force.
 * @return The token's bytes, or kUnknownKey.
 */
Result<std::string> SealToken(const FlowToken& token,
                              const std::map<KeyNumber, TokenKey>& keys);

/**
 * @param bytes A token as a caller sent it.
 * @param keys The keys in force.
 * @return Its content; kTruncated, kGarbage, kUnknownKey or kBadMac.
 */
Result<FlowToken> OpenToken(std::string_view bytes,
                            const std::map<KeyNumber, TokenKey>& keys);

}  // namespace cuminvane

#endif  // CUMINVANE_CORE_TOKEN_FUNC_H_
