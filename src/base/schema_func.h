/** @file schema_func.h Validates INI documents against schemas, and reads and
 * parses values. */

#ifndef CUMINVANE_BASE_SCHEMA_FUNC_H_
#define CUMINVANE_BASE_SCHEMA_FUNC_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ini_type.h"
#include "base/schema_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** @return Whether the text isn't empty, isn't too long for a name, and
 * consists of letters, digits, `-`, `_` and `.`. */
bool IsWord(std::string_view text);

/**
 * Validates a document: reports each section, key and value that the schema
 * doesn't allow, each section and key that occurs twice and each required one
 * that is missing.
 * @param document The parsed document.
 * @param schema The schema for this type of document.
 * @param problems The problems found are appended.
 */
void CheckSchema(const IniDocument& document,
                 const Schema& schema,
                 IniProblems& problems);

/** @return The row of a key, null if there is none. */
const KeyRow* FindKey(const Schema& schema,
                      std::string_view section,
                      std::string_view key);

/** Reads the values of one section. A key that is absent has its default value.
 */
class SectionReader {
 public:
  /**
   * @param section A section that has passed CheckSchema; must outlive the
   * reader.
   * @param schema The schema that it was checked against; must outlive the
   * reader.
   */
  SectionReader(const IniSection& section, const Schema& schema);

  /** @return The second word of the section's name, empty if there is none. */
  std::string Name() const;
  /** @return The value of a key of any kind, as text. */
  std::string Text(std::string_view key) const;
  /** @return The value of a kInteger key, 0 if the value is empty. */
  int64_t Integer(std::string_view key) const;
  /** @return The value of a kInteger key whose unit is milliseconds. */
  Milliseconds Millis(std::string_view key) const {
    return Milliseconds(this->Integer(key));
  }
  /** @return The value of a kDecimal key, 0 if the value is empty. */
  double Decimal(std::string_view key) const;
  /** @return The value of a kBoolean key. */
  bool Boolean(std::string_view key) const;
  /** @return The value of a kEndpoint key, 0.0.0.0:0 if the value is empty. */
  Endpoint Address(std::string_view key) const;
  /** @return The items of a kWordList, kEndpointList or kWeightList key; none
   * if the value is empty. */
  std::vector<std::string> List(std::string_view key) const;
  /** @return The value of a kTime key, or nothing if the value is empty. */
  std::optional<TimePoint> Time(std::string_view key) const;
  /** @return Line number of the key, or of the section's header if the key is
   * absent. */
  int Line(std::string_view key) const;

 private:
  const IniSection& section;
  const Schema& schema;
};

/**
 * @param name Name of a section, for example `class edits`.
 * @return The kind of the section: the first word of its name.
 */
std::string_view SectionKind(std::string_view name);

/**
 * @param schema Any schema.
 * @return The schema as Markdown tables for docs/CONFIGURATION.md.
 */
std::string FormatSchema(const Schema& schema);

/**
 * @param text `YYYY-MM-DDTHH:MM:SSZ`.
 * @return The time, or nothing if the text isn't a valid time.
 */
std::optional<TimePoint> ParseTime(std::string_view text);

/**
 * @param text An even number of hexadecimal digits.
 * @return The bytes, or nothing if the text is invalid.
 */
std::optional<std::string> ParseHex(std::string_view text);

/**
 * @param text A decimal number without surrounding characters.
 * @return The number, or nothing if the text is invalid or out of range.
 */
template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (error != std::errc{} || end != last)
    return std::nullopt;
  return number;
}

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_SCHEMA_FUNC_H_
