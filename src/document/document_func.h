/** @file document_func.h Canonical text of documents, and deltas between
 * versions. */

#ifndef CUMINVANE_DOCUMENT_DOCUMENT_FUNC_H_
#define CUMINVANE_DOCUMENT_DOCUMENT_FUNC_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/ini_type.h"
#include "base/result_type.h"
#include "document/document_type.h"

namespace cuminvane {

/** Bodies of the sections of a document, keyed by section name. Two texts with
 * the same meaning have the same sections. */
using SectionTexts = std::map<std::string, std::string>;

/** @return The sections in canonical form, without comments. */
SectionTexts Canonicalize(const IniDocument& document);

/** @return The canonical text of the sections. */
std::string JoinSections(const SectionTexts& sections);

/** @return Hash of a canonical text. */
uint64_t DigestOf(std::string_view canonical_text);

/** @return The delta from `old_sections` to `new_sections`. */
DocumentDelta MakeDelta(const SectionTexts& old_sections,
                        const SectionTexts& new_sections);

/** @return The sections after applying the delta. */
SectionTexts ApplyDelta(const SectionTexts& sections,
                        const DocumentDelta& delta);

/** @return The encoded and compressed delta. */
std::string PackDelta(const DocumentDelta& delta);

/** @return The delta, or kGarbage if the bytes are not a packed delta. */
Result<DocumentDelta> UnpackDelta(std::string_view packed);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_DOCUMENT_FUNC_H_
