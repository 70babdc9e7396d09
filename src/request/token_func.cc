/** @file token_func.cc A token consists of its content in MessagePack, followed
 * by the 128-bit SipHash-2-4 MAC of the encoded content. */

#include "request/token_func.h"

#include <sodium.h>

#include <array>

namespace cuminvane {
namespace {

/** Size of the MAC at the end of a token. */
constexpr size_t kMacBytes = crypto_shorthash_siphashx24_BYTES;
static_assert(kTokenKeyBytes == crypto_shorthash_siphashx24_KEYBYTES);
using Mac = std::array<unsigned char, kMacBytes>;

/** @return MAC of a token's encoded content. */
Mac ComputeMac(std::string_view content, const TokenKey& key) {
  Mac mac{};
  crypto_shorthash_siphashx24(
      mac.data(), reinterpret_cast<const unsigned char*>(content.data()),
      content.size(), key.data());
  return mac;
}

/** @return Content of a token decoded from MessagePack; kGarbage if the
 * encoding is invalid. */
Result<FlowToken> DecodeContent(std::string_view content) {
  try {
    msgpack::zone zone;
    const msgpack::object object =
        msgpack::unpack(zone, content.data(), content.size());
    return object.as<FlowToken>();
  } catch (const msgpack::unpack_error&) {
    return Error{ResultCode::kGarbage, "token is not valid MessagePack"};
  } catch (const msgpack::type_error&) {
    return Error{ResultCode::kGarbage,
                 "token has a field of an unexpected type"};
  }
}

}  // namespace

Result<std::string> SealToken(const FlowToken& token,
                              const std::map<KeyNumber, TokenKey>& keys) {
  const auto key = keys.find(token.key);
  if (key == keys.end())
    return Error{ResultCode::kUnknownKey,
                 "unknown token key " + ToString(token.key)};
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, token);
  std::string bytes(buffer.data(), buffer.size());
  const Mac mac = ComputeMac(bytes, key->second);
  bytes.append(mac.begin(), mac.end());
  return bytes;
}

Result<FlowToken> OpenToken(std::string_view bytes,
                            const std::map<KeyNumber, TokenKey>& keys) {
  if (bytes.size() <= kMacBytes)
    return Error{ResultCode::kTruncated, "token is not longer than its MAC"};
  const std::string_view content = bytes.substr(0, bytes.size() - kMacBytes);
  BOOST_OUTCOME_TRY(token, DecodeContent(content));
  const auto key = keys.find(token.key);
  if (key == keys.end())
    return Error{ResultCode::kUnknownKey,
                 "unknown token key " + ToString(token.key)};
  const Mac mac = ComputeMac(content, key->second);
  if (sodium_memcmp(mac.data(), bytes.data() + content.size(), kMacBytes) != 0)
    return Error{ResultCode::kBadMac, "token does not match its MAC"};
  return token;
}

}  // namespace cuminvane
