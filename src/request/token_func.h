/** @file token_func.h Signs and checks flow tokens. */

#ifndef CUMINVANE_REQUEST_TOKEN_FUNC_H_
#define CUMINVANE_REQUEST_TOKEN_FUNC_H_

#include <string>
#include <string_view>

#include "base/result_type.h"
#include "document/config_type.h"
#include "request/token_type.h"

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

#endif  // CUMINVANE_REQUEST_TOKEN_FUNC_H_
