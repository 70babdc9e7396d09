/** @file token_func.h Authentication of flow tokens with a MAC. */

#ifndef CUMINVANE_REQUEST_TOKEN_FUNC_H_
#define CUMINVANE_REQUEST_TOKEN_FUNC_H_

#include <string>
#include <string_view>

#include "base/result_type.h"
#include "document/config_type.h"
#include "request/token_type.h"

namespace cuminvane {

/**
 * Encodes a token and appends its MAC.
 * @param token Content of the token, including the number of the key.
 * @param keys Active keys.
 * @return The token's bytes; kUnknownKey if `keys` lacks the token's key.
 */
Result<std::string> SealToken(const FlowToken& token,
                              const std::map<KeyNumber, TokenKey>& keys);

/**
 * Decodes a token and verifies its MAC.
 * @param bytes The token as a caller sent it.
 * @param keys Active keys.
 * @return Content of the token; kTruncated, kGarbage, kUnknownKey or kBadMac.
 */
Result<FlowToken> OpenToken(std::string_view bytes,
                            const std::map<KeyNumber, TokenKey>& keys);

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_TOKEN_FUNC_H_
