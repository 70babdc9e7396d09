/** @file schema_type.h How a table describes the sections and keys that a
 * document may have. */

#ifndef CUMINVANE_BASE_SCHEMA_TYPE_H_
#define CUMINVANE_BASE_SCHEMA_TYPE_H_

#include <cstdint>
#include <limits>
#include <span>

namespace cuminvane {

/** Type of a key's value. */
enum class ValueKind : uint8_t {
  kInteger,       ///< Decimal, within min and max.
  kDecimal,       ///< Decimal with a fraction, within min and max.
  kBoolean,       ///< `yes` or `no`.
  kWord,          ///< Letters, digits, `-`, `_` and `.`, at least one.
  kWordList,      ///< Words parted by commas.
  kEndpoint,      ///< `A.B.C.D:PORT`.
  kEndpointList,  ///< Endpoints parted by commas.
  kWeightList,    ///< `WORD NUMBER` parted by commas, numbers up to max.
  kHex,           ///< Exactly `max` hexadecimal digits.
  kTime,          ///< `YYYY-MM-DDTHH:MM:SSZ`.
  kChoice,        ///< One of the words in `choices`.
};

/** One key of a section. */
struct KeyRow {
  const char* section;  ///< First word of the section's name.
  const char* key;
  ValueKind kind;
  const char* default_text;  ///< Default; null means the key must be there.
  double min;
  double max;
  const char* choices;  ///< For kChoice: words parted by `|`.
  const char* meaning;  ///< One sentence with the unit.
};

/** One kind of section. */
struct SectionRow {
  const char* section;  ///< First word of its name.
  bool named;           ///< Has a second word: `[class edits]`.
  bool required;        ///< At least one must be there.
  const char* meaning;  ///< One sentence.
};

/** Everything a document of one sort may have. */
struct Schema {
  std::span<const SectionRow> sections;
  std::span<const KeyRow> keys;
};

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_SCHEMA_TYPE_H_
