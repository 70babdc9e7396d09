/** @file schema_func.cc Validates documents against schemas and parses values.
 */

#include "base/schema_func.h"

#include <sodium.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>

namespace cuminvane {
namespace {

/** Longest word. Names of services and data centres are often DNS names, which
 * have at most 253 characters. */
constexpr size_t kMaxWordLength = 1024;

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream{std::string(text)};
  std::string part;
  while (std::getline(stream, part, separator)) {
    const size_t first = part.find_first_not_of(" \t");
    if (first == std::string::npos) {
      parts.emplace_back();
      continue;
    }
    parts.push_back(
        part.substr(first, part.find_last_not_of(" \t") - first + 1));
  }
  return parts;
}

bool IsListOf(std::string_view text, bool (*is_item)(std::string_view)) {
  const std::vector<std::string> items = Split(text, ',');
  return !items.empty() && std::ranges::all_of(items, is_item);
}

bool IsEndpoint(std::string_view text) {
  return ParseEndpoint(text).has_value();
}

bool IsWeightedWord(std::string_view text) {
  const std::vector<std::string> words = Split(text, ' ');
  return words.size() == 2 && IsWord(words[0]) &&
         ParseNumber<uint32_t>(words[1]).has_value();
}

bool IsWithin(const std::optional<double>& number, const KeyRow& row) {
  return number && *number >= row.min && *number <= row.max;
}

bool IsValid(std::string_view text, const KeyRow& row) {
  // An empty value is the same as an absent key if the default is empty.
  if (text.empty() && row.default_text != nullptr && *row.default_text == '\0')
    return true;
  switch (row.kind) {
    case ValueKind::kInteger:
      return ParseNumber<int64_t>(text) &&
             IsWithin(ParseNumber<double>(text), row);
    case ValueKind::kDecimal:
      return IsWithin(ParseNumber<double>(text), row);
    case ValueKind::kBoolean:
      return text == "yes" || text == "no";
    case ValueKind::kWord:
      return IsWord(text);
    case ValueKind::kWordList:
      return IsListOf(text, IsWord);
    case ValueKind::kEndpoint:
      return IsEndpoint(text);
    case ValueKind::kEndpointList:
      return IsListOf(text, IsEndpoint);
    case ValueKind::kWeightList:
      return IsListOf(text, IsWeightedWord);
    case ValueKind::kHex:
      return text.size() == static_cast<size_t>(row.max) && ParseHex(text);
    case ValueKind::kTime:
      return ParseTime(text).has_value();
    case ValueKind::kChoice:
      return std::ranges::count(Split(row.choices, '|'), text) != 0;
  }
  return false;
}

std::string FormatNumber(double number) {
  std::ostringstream out;
  out << std::setprecision(15) << number;
  return out.str();
}

std::string FormatAllowed(const KeyRow& row) {
  const std::string range =
      FormatNumber(row.min) + " to " + FormatNumber(row.max);
  switch (row.kind) {
    case ValueKind::kInteger:
      return "integer " + range;
    case ValueKind::kDecimal:
      return "number " + range;
    case ValueKind::kBoolean:
      return "yes or no";
    case ValueKind::kWord:
      return "a word of up to " + std::to_string(kMaxWordLength) +
             " letters, digits, - _ .";
    case ValueKind::kWordList:
      return "words separated by commas";
    case ValueKind::kEndpoint:
      return "A.B.C.D:PORT";
    case ValueKind::kEndpointList:
      return "A.B.C.D:PORT separated by commas";
    case ValueKind::kWeightList:
      return "WORD WEIGHT separated by commas";
    case ValueKind::kHex:
      return FormatNumber(row.max) + " hexadecimal digits";
    case ValueKind::kTime:
      return "YYYY-MM-DDTHH:MM:SSZ";
    case ValueKind::kChoice:
      return row.choices;
  }
  return "";
}

/** Validates one document and collects its problems. */
class SchemaValidator {
 public:
  SchemaValidator(const IniDocument& document,
                  const Schema& schema,
                  IniProblems& problems)
      : document(document), schema(schema), problems(problems) {}

  void Validate() {
    for (const IniSection& section : this->document.sections)
      this->ValidateSection(section);
    for (const SectionRow& row : this->schema.sections) {
      if (row.required && !this->HasSection(row))
        this->AddProblem(0, row.section, "", "nothing",
                         "at least one such section");
    }
  }

 private:
  void AddProblem(int line,
                  std::string section,
                  std::string key,
                  std::string found,
                  std::string allowed) {
    this->problems.push_back({this->document.file, line, std::move(section),
                              std::move(key), std::move(found),
                              std::move(allowed)});
  }

  bool HasSection(const SectionRow& row) const {
    return std::ranges::any_of(
        this->document.sections, [&row](const IniSection& section) {
          return SectionKind(section.name) == row.section;
        });
  }

  std::string AllowedSections() const {
    std::string allowed;
    for (const SectionRow& row : this->schema.sections) {
      allowed += std::string(allowed.empty() ? "" : " ") + "[" + row.section +
                 (row.named ? " NAME]" : "]");
    }
    return allowed;
  }

  void ValidateSection(const IniSection& section) {
    const std::string_view kind = SectionKind(section.name);
    const auto [earlier, is_new] =
        this->section_lines.emplace(section.name, section.line);
    if (!is_new)
      this->AddProblem(section.line, section.name, "",
                       "a duplicate section (first on line " +
                           std::to_string(earlier->second) + ")",
                       "each section once");
    const auto row =
        std::ranges::find(this->schema.sections, kind, &SectionRow::section);
    if (row == this->schema.sections.end()) {
      this->AddProblem(section.line, section.name, "", "an unknown section",
                       this->AllowedSections());
      return;
    }
    const std::string_view name =
        std::string_view(section.name)
            .substr(std::min(section.name.size(), kind.size() + 1));
    if (row->named != IsWord(name) || (!row->named && kind != section.name)) {
      this->AddProblem(section.line, section.name, "", "[" + section.name + "]",
                       row->named ? "[" + std::string(kind) + " NAME]"
                                  : "[" + std::string(kind) + "]");
    }
    for (const IniEntry& entry : section.entries) {
      const auto first =
          std::ranges::find(section.entries, entry.key, &IniEntry::key);
      if (&*first == &entry)
        this->ValidateEntry(section, kind, entry);
      else
        this->AddProblem(entry.line, section.name, entry.key,
                         "a duplicate key (first on line " +
                             std::to_string(first->line) + ")",
                         "each key once");
    }
    this->ReportMissingKeys(section, kind);
  }

  void ValidateEntry(const IniSection& section,
                     std::string_view kind,
                     const IniEntry& entry) {
    const KeyRow* const row = FindKey(this->schema, kind, entry.key);
    if (row == nullptr) {
      this->AddProblem(entry.line, section.name, entry.key, "an unknown key",
                       this->AllowedKeys(kind));
      return;
    }
    if (!IsValid(entry.value, *row))
      this->AddProblem(entry.line, section.name, entry.key, entry.value,
                       FormatAllowed(*row));
  }

  void ReportMissingKeys(const IniSection& section, std::string_view kind) {
    for (const KeyRow& row : this->schema.keys) {
      const bool missing =
          row.section == kind && row.default_text == nullptr &&
          std::ranges::find(section.entries, row.key, &IniEntry::key) ==
              section.entries.end();
      if (missing)
        this->AddProblem(section.line, section.name, row.key, "nothing",
                         FormatAllowed(row));
    }
  }

  std::string AllowedKeys(std::string_view kind) const {
    std::string allowed;
    for (const KeyRow& row : this->schema.keys) {
      if (row.section == kind)
        allowed += std::string(allowed.empty() ? "" : " ") + row.key;
    }
    return allowed;
  }

  const IniDocument& document;
  const Schema& schema;
  IniProblems& problems;
  /** Line of the first header of each section. */
  std::map<std::string_view, int> section_lines;
};

}  // namespace

bool IsWord(std::string_view text) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !text.empty() && text.size() <= kMaxWordLength &&
         text.find_first_not_of(kAllowed) == std::string_view::npos;
}

const KeyRow* FindKey(const Schema& schema,
                      std::string_view section,
                      std::string_view key) {
  for (const KeyRow& row : schema.keys) {
    if (row.section == section && row.key == key)
      return &row;
  }
  return nullptr;
}

void CheckSchema(const IniDocument& document,
                 const Schema& schema,
                 IniProblems& problems) {
  SchemaValidator(document, schema, problems).Validate();
}

SectionReader::SectionReader(const IniSection& section, const Schema& schema)
    : section(section), schema(schema) {}

std::string SectionReader::Name() const {
  const size_t space = this->section.name.find(' ');
  return space == std::string::npos ? "" : this->section.name.substr(space + 1);
}

std::string SectionReader::Text(std::string_view key) const {
  const auto entry =
      std::ranges::find(this->section.entries, key, &IniEntry::key);
  if (entry != this->section.entries.end())
    return entry->value;
  const KeyRow* const row =
      FindKey(this->schema, SectionKind(this->section.name), key);
  return row != nullptr && row->default_text != nullptr ? row->default_text
                                                        : "";
}

int64_t SectionReader::Integer(std::string_view key) const {
  return ParseNumber<int64_t>(this->Text(key)).value_or(0);
}

double SectionReader::Decimal(std::string_view key) const {
  return ParseNumber<double>(this->Text(key)).value_or(0);
}

bool SectionReader::Boolean(std::string_view key) const {
  return this->Text(key) == "yes";
}

Endpoint SectionReader::Address(std::string_view key) const {
  return ParseEndpoint(this->Text(key)).value_or(Endpoint{});
}

std::vector<std::string> SectionReader::List(std::string_view key) const {
  return Split(this->Text(key), ',');
}

std::optional<TimePoint> SectionReader::Time(std::string_view key) const {
  return ParseTime(this->Text(key));
}

int SectionReader::Line(std::string_view key) const {
  const auto entry =
      std::ranges::find(this->section.entries, key, &IniEntry::key);
  return entry == this->section.entries.end() ? this->section.line
                                              : entry->line;
}

std::string_view SectionKind(std::string_view name) {
  return name.substr(0, name.find(' '));
}

std::string FormatSchema(const Schema& schema) {
  std::ostringstream out;
  for (const SectionRow& section : schema.sections) {
    out << "### `[" << section.section << (section.named ? " NAME" : "")
        << "]`\n\n"
        << section.meaning << (section.required ? " Required." : "") << "\n\n"
        << "| key | allowed | default | meaning |\n| --- | --- | --- | --- |\n";
    for (const KeyRow& row : schema.keys) {
      if (std::string_view(row.section) != section.section)
        continue;
      std::string allowed = FormatAllowed(row);
      std::ranges::replace(allowed, '|', '/');
      const std::string default_text =
          row.default_text == nullptr ? "(required)"
          : *row.default_text == '\0' ? "(none)"
                                      : row.default_text;
      out << "| `" << row.key << "` | " << allowed << " | " << default_text
          << " | " << row.meaning << " |\n";
    }
    out << "\n";
  }
  return out.str();
}

std::optional<TimePoint> ParseTime(std::string_view text) {
  constexpr size_t kLength = 20;  // YYYY-MM-DDTHH:MM:SSZ
  if (text.size() != kLength || text[4] != '-' || text[7] != '-' ||
      text[10] != 'T' || text[13] != ':' || text[16] != ':' || text[19] != 'Z')
    return std::nullopt;
  const auto year = ParseNumber<int>(text.substr(0, 4));
  const auto month = ParseNumber<unsigned>(text.substr(5, 2));
  const auto day = ParseNumber<unsigned>(text.substr(8, 2));
  const auto hour = ParseNumber<unsigned>(text.substr(11, 2));
  const auto minute = ParseNumber<unsigned>(text.substr(14, 2));
  const auto second = ParseNumber<unsigned>(text.substr(17, 2));
  if (!year || !month || !day || !hour || !minute || !second)
    return std::nullopt;
  const std::chrono::year_month_day date{std::chrono::year(*year),
                                         std::chrono::month(*month),
                                         std::chrono::day(*day)};
  if (!date.ok() || *hour > 23 || *minute > 59 || *second > 59)
    return std::nullopt;
  return TimePoint(std::chrono::sys_days(date)) + std::chrono::hours(*hour) +
         std::chrono::minutes(*minute) + Seconds(*second);
}

std::optional<std::string> ParseHex(std::string_view text) {
  std::string bytes(text.size() / 2, '\0');
  size_t length = 0;
  const int failed = sodium_hex2bin(
      reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
      text.size(), nullptr, &length, nullptr);
  if (failed != 0 || length * 2 != text.size())
    return std::nullopt;
  return bytes;
}

}  // namespace cuminvane
