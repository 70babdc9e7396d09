/** @file document_func.h Canonical text of documents, and the differences
 * between two versions. */

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

/** A document as sections in order of name; two texts that mean the same have
 * the same sections. */
using SectionTexts = std::map<std::string, std::string>;

/** @return The document's sections in canonical form, without comments. */
SectionTexts Canonicalize(const IniDocument& document);

/** @return The canonical text. */
std::string JoinSections(const SectionTexts& sections);

/** @return The digest of a canonical text. */
uint64_t DigestOf(std::string_view canonical_text);

/** @return What turns `old_sections` into `new_sections`; the stamps and kind
 * are left to the caller. */
DocumentDelta MakeDelta(const SectionTexts& old_sections,
                        const SectionTexts& new_sections);

/** @return The sections after the delta. */
SectionTexts ApplyDelta(const SectionTexts& sections,
                        const DocumentDelta& delta);

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_DOCUMENT_FUNC_H_
