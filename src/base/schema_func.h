/** @file schema_func.h Checks a document against a schema and reads values that
 * have passed the check. */

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

/** @return Whether the text is letters, digits, `-`, `_` and `.`, at least one
 * of them. */
bool IsWord(std::string_view text);

/**
 * Adds a problem for every section, key and value the schema does not allow,
 * and for each that is missing.
 * @param document The document as read.
 * @param schema What is allowed.
 * @param problems Problems are added at the end.
 */
void CheckSchema(const IniDocument& document,
                 const Schema& schema,
                 IniProblems& problems);

/** One section seen through the schema: a key that is absent reads as its
 * default. */
class SectionReader {
 public:
  /**
   * @param section A section that has passed CheckSchema; must outlive this.
   * @param schema The schema it passed; must outlive this.
   */
  SectionReader(const IniSection& section, const Schema& schema);

  /** @return The second word of the section's name, empty where there is none.
   */
  std::string Name() const;
  /** @return The value as text. */
  std::string Text(std::string_view key) const;
  /** @return The value of a kInteger key. */
  int64_t Integer(std::string_view key) const;
  /** @return The value of a kInteger key that counts milliseconds. */
  Milliseconds Millis(std::string_view key) const {
    return Milliseconds(this->Integer(key));
  }
  /** @return The value of a kDecimal key. */
  double Decimal(std::string_view key) const;
  /** @return The value of a kBoolean key. */
  bool Boolean(std::string_view key) const;
  /** @return The value of a kEndpoint key, 0.0.0.0:0 where the default is
   * empty. */
  Endpoint Address(std::string_view key) const;
  /** @return The items of a list key. */
  std::vector<std::string> List(std::string_view key) const;
  /** @return The value of a kTime key, or nothing where the default is empty.
   */
  std::optional<TimePoint> Time(std::string_view key) const;
  /** @return Line of the key, or of the section's header where the key is
   * absent. */
  int Line(std::string_view key) const;

 private:
  const IniSection& section;
  const Schema& schema;
};

/**
 * @param name A section's name, for example `class edits`.
 * @return Its first word.
 */
std::string_view SectionKind(std::string_view name);

/**
 * @param schema Any schema.
 * @return Its reference as Markdown tables, as docs/CONFIGURATION.md holds it.
 */
std::string FormatSchema(const Schema& schema);

/**
 * @param text `YYYY-MM-DDTHH:MM:SSZ`.
 * @return The time, or nothing where the text is not one.
 */
std::optional<TimePoint> ParseTime(std::string_view text);

/**
 * @param text Hexadecimal digits, an even number of them.
 * @return The bytes, or nothing where the text is something else.
 */
std::optional<std::string> ParseHex(std::string_view text);

/**
 * @param text Decimal digits, with nothing before or after them.
 * @return The number, or nothing where the text is something else.
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
