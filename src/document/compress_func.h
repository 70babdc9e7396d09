/** @file compress_func.h Compression of documents that balancers send to each
 * other. */

#ifndef CUMINVANE_DOCUMENT_COMPRESS_FUNC_H_
#define CUMINVANE_DOCUMENT_COMPRESS_FUNC_H_

#include <string>
#include <string_view>

#include "base/result_type.h"

namespace cuminvane {

/** Maximum size of decompressed content in bytes. */
inline constexpr size_t kMaxContentBytes = 64 << 20;

/** @return The compressed bytes. */
std::string Compress(std::string_view bytes);

/** @return The decompressed bytes, or kGarbage if the input is damaged or its
 * content is larger than kMaxContentBytes. */
Result<std::string> Decompress(std::string_view compressed);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_COMPRESS_FUNC_H_
