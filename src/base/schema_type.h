/** @file schema_type.h Tables that describe the sections and keys of an INI
 * document. */

#ifndef CUMINVANE_BASE_SCHEMA_TYPE_H_
#define CUMINVANE_BASE_SCHEMA_TYPE_H_

#include <cstdint>
#include <limits>
#include <span>

namespace cuminvane {

/** Type of a key's value. */
enum class ValueKind : uint8_t {
  kInteger,       ///< Decimal integer from min to max.
  kDecimal,       ///< Decimal number from min to max, fractions allowed.
  kBoolean,       ///< `yes` or `no`.
  kWord,          ///< Letters, digits, `-`, `_` and `.`; not empty.
  kWordList,      ///< Words separated by commas.
  kEndpoint,      ///< `A.B.C.D:PORT`.
  kEndpointList,  ///< Endpoints separated by commas.
  kWeightList,    ///< `WORD WEIGHT` separated by commas; weights are integers.
  kHex,           ///< Exactly `max` hexadecimal digits.
  kTime,          ///< UTC, `YYYY-MM-DDTHH:MM:SSZ`.
  kChoice,        ///< One of the words in `choices`.
};

/** One key of a section. */
struct KeyRow {
  const char* section;  ///< Kind of the section, the first word of its name.
  const char* key;      ///< Name of the key.
  ValueKind kind;
  const char* default_text;  ///< Default value as text; null if the key is
                             ///< required.
  double min;                ///< Lowest value of kInteger and kDecimal.
  double max;           ///< Highest value of kInteger and kDecimal; number of
                        ///< digits of kHex.
  const char* choices;  ///< Words of kChoice, separated by `|`; else empty.
  const char* meaning;  ///< Description with the unit, for the documentation.
};

/** One kind of section. */
struct SectionRow {
  const char* section;  ///< Kind of the section, the first word of its name.
  bool named;           ///< Whether the section's name has a second word, as in
                        ///< `[class edits]`.
  bool required;  ///< Whether the document needs at least one section of this
                  ///< kind.
  const char* meaning;  ///< Description for the documentation.
};

/** The sections and keys of one type of document. */
struct Schema {
  std::span<const SectionRow> sections;
  std::span<const KeyRow> keys;
};

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_SCHEMA_TYPE_H_
