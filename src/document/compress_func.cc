/** @file compress_func.cc Compression with zstd. */

#include "document/compress_func.h"

#include <zstd.h>

namespace cuminvane {
namespace {

/** A fast level; documents are repetitive and higher levels save little. */
constexpr int kLevel = 3;

}  // namespace

std::string Compress(std::string_view bytes) {
  std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
  // With a buffer of this size compression does not fail.
  compressed.resize(ZSTD_compress(compressed.data(), compressed.size(),
                                  bytes.data(), bytes.size(), kLevel));
  return compressed;
}

Result<std::string> Decompress(std::string_view compressed) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    return Error{ResultCode::kGarbage, "content is not a zstd frame"};
  if (size > kMaxContentBytes)
    return Error{ResultCode::kGarbage,
                 "content has " + std::to_string(size) + " bytes, at most " +
                     std::to_string(kMaxContentBytes) + " are accepted"};
  std::string bytes(size, '\0');
  const size_t written = ZSTD_decompress(bytes.data(), bytes.size(),
                                         compressed.data(), compressed.size());
  if (ZSTD_isError(written) != 0 || written != size)
    return Error{ResultCode::kGarbage, "content is a damaged zstd frame"};
  return bytes;
}

}  // namespace cuminvane
