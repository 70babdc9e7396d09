/** @file ini_func.cc INI reading through inih, which is fed line by line so
 * that each entry knows its line. */

#include "base/ini_func.h"

#include <ini.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace cuminvane {
namespace {

/** What inih's two callbacks share during one read. */
struct Reading {
  std::string_view rest;
  IniDocument& document;
  IniProblems& problems;
  int line = 0;
  std::map<std::string, int> section_lines;  ///< Lines of the headers so far.
};

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos)
    return {};
  const size_t last = text.find_last_not_of(" \t\r\n");
  return text.substr(first, last - first + 1);
}

void OpenSection(Reading& reading, std::string_view name) {
  const auto [earlier, is_new] =
      reading.section_lines.emplace(std::string(name), reading.line);
  if (!is_new) {
    reading.problems.push_back({reading.document.file, reading.line,
                                std::string(name), "",
                                "the section again (first on line " +
                                    std::to_string(earlier->second) + ")",
                                "each section once"});
  }
  reading.document.sections.push_back({std::string(name), reading.line, {}});
}

/** inih reports no empty sections, so headers are noticed here as lines go by.
 */
void NoticeHeader(Reading& reading, std::string_view line) {
  const std::string_view trimmed = Trim(line);
  if (trimmed.empty() || trimmed.front() != '[')
    return;
  const size_t end = trimmed.find(']');
  if (end != std::string_view::npos)
    OpenSection(reading, trimmed.substr(1, end - 1));
}

/** inih's reader: hands over the next line, as fgets would. */
char* NextLine(char* buffer, int size, void* stream) {
  auto& reading = *static_cast<Reading*>(stream);
  if (reading.rest.empty())
    return nullptr;
  const size_t newline = reading.rest.find('\n');
  const size_t length =
      newline == std::string_view::npos ? reading.rest.size() : newline + 1;
  std::string line(reading.rest.substr(0, length));
  reading.rest.remove_prefix(length);
  ++reading.line;
  const size_t room = static_cast<size_t>(size) - 1;
  if (line.size() > room) {
    reading.problems.push_back({reading.document.file, reading.line, "", "",
                                std::to_string(line.size()) + " characters",
                                "lines of at most " + std::to_string(room)});
    line = "\n";
  }
  // inih would join an indented line to the value above it; here each line
  // stands for itself.
  line.erase(0, std::min(line.find_first_not_of(" \t"), line.size() - 1));
  NoticeHeader(reading, line);
  line.copy(buffer, line.size());
  buffer[line.size()] = '\0';
  return buffer;
}

/** inih's handler: takes one entry. */
int TakeEntry(void* user,
              const char* section,
              const char* name,
              const char* value) {
  auto& reading = *static_cast<Reading*>(user);
  auto& sections = reading.document.sections;
  if (sections.empty()) {
    reading.problems.push_back({reading.document.file, reading.line, section,
                                name, "a key before any section",
                                "keys below a [section]"});
    return 1;
  }
  auto& entries = sections.back().entries;
  const auto earlier = std::ranges::find(entries, name, &IniEntry::key);
  if (earlier != entries.end()) {
    reading.problems.push_back(
        {reading.document.file, reading.line, section, name,
         "the key again (first on line " + std::to_string(earlier->line) + ")",
         "each key once"});
    return 1;
  }
  entries.push_back({name, value, reading.line});
  return 1;
}

/** Lines inih can't read, found by reading each alone: inih itself reports only
 * the first. */
void FindUnreadable(const IniDocument& document,
                    std::string_view text,
                    IniProblems& problems) {
  std::istringstream lines{std::string(text)};
  std::string line;
  std::string section;
  for (int number = 1; std::getline(lines, line); ++number) {
    const std::string_view trimmed = Trim(line);
    if (trimmed.empty() || trimmed.front() == ';' || trimmed.front() == '#')
      continue;
    if (trimmed.front() == '[') {
      if (trimmed.find(']') == std::string_view::npos) {
        problems.push_back({document.file, number, section, "",
                            std::string(trimmed), "[section]"});
      } else {
        section = trimmed.substr(1, trimmed.find(']') - 1);
      }
      continue;
    }
    if (trimmed.find_first_of("=:") == std::string_view::npos) {
      problems.push_back({document.file, number, section, "",
                          std::string(trimmed), "key = value"});
    }
  }
}

}  // namespace

IniDocument ReadIni(const std::string& file,
                    std::string_view text,
                    IniProblems& problems) {
  IniDocument document{file, {}};
  Reading reading{text, document, problems, 0, {}};
  ini_parse_stream(NextLine, &reading, TakeEntry, &reading);
  FindUnreadable(document, text, problems);
  return document;
}

std::string FormatProblems(const IniProblems& problems) {
  std::ostringstream out;
  for (const IniProblem& problem : problems) {
    out << problem.file << ":" << problem.line << ": section=["
        << problem.section
        << "] key=" << (problem.key.empty() ? "-" : problem.key) << " found=\""
        << problem.found << "\" allowed=\"" << problem.allowed << "\"\n";
  }
  return out.str();
}

}  // namespace cuminvane
