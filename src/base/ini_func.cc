/** @file ini_func.cc INI parsing with the library inih. inih reads the text
 * line by line through a callback, which provides the line number of each
 * entry. */

#include "base/ini_func.h"

#include <ini.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace cuminvane {
namespace {

/** State that inih's two callbacks share while one document is parsed. */
struct ParseState {
  std::string_view rest;  ///< Text that has not been read yet.
  IniDocument& document;  ///< Receives the sections and entries.
  IniProblems& problems;  ///< Receives the problems found.
  int line = 0;           ///< Number of the current line, from 1.
  std::map<std::string, int>
      section_lines;  ///< Line of the first header of each section.
};

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos)
    return {};
  const size_t last = text.find_last_not_of(" \t\r\n");
  return text.substr(first, last - first + 1);
}

void BeginSection(ParseState& state, std::string_view name) {
  const auto [earlier, is_new] =
      state.section_lines.emplace(std::string(name), state.line);
  if (!is_new) {
    state.problems.push_back({state.document.file, state.line,
                              std::string(name), "",
                              "a duplicate section (first on line " +
                                  std::to_string(earlier->second) + ")",
                              "each section once"});
  }
  state.document.sections.push_back({std::string(name), state.line, {}});
}

/** Begins a section if the line is a header. inih doesn't report sections
 * without entries, so headers are detected here. */
void DetectSectionHeader(ParseState& state, std::string_view line) {
  const std::string_view trimmed = Trim(line);
  if (trimmed.empty() || trimmed.front() != '[')
    return;
  const size_t end = trimmed.find(']');
  if (end != std::string_view::npos)
    BeginSection(state, trimmed.substr(1, end - 1));
}

/** inih's reader callback: returns the next line with the interface of fgets.
 */
char* NextLine(char* buffer, int size, void* stream) {
  auto& state = *static_cast<ParseState*>(stream);
  if (state.rest.empty())
    return nullptr;
  const size_t newline = state.rest.find('\n');
  const size_t length =
      newline == std::string_view::npos ? state.rest.size() : newline + 1;
  std::string line(state.rest.substr(0, length));
  state.rest.remove_prefix(length);
  ++state.line;
  const size_t max_length = static_cast<size_t>(size) - 1;
  if (line.size() > max_length) {
    state.problems.push_back(
        {state.document.file, state.line, "", "",
         std::to_string(line.size()) + " characters",
         "lines of at most " + std::to_string(max_length)});
    line = "\n";
  }
  // inih would append an indented line to the value of the preceding line.
  // These documents have no multi-line values, so the indentation is removed.
  line.erase(0, std::min(line.find_first_not_of(" \t"), line.size() - 1));
  DetectSectionHeader(state, line);
  line.copy(buffer, line.size());
  buffer[line.size()] = '\0';
  return buffer;
}

/** inih's handler callback: adds one entry to the current section. */
int OnEntry(void* user,
            const char* section,
            const char* name,
            const char* value) {
  auto& state = *static_cast<ParseState*>(user);
  auto& sections = state.document.sections;
  if (sections.empty()) {
    state.problems.push_back({state.document.file, state.line, section, name,
                              "a key before any section",
                              "keys below a [section]"});
    return 1;
  }
  auto& entries = sections.back().entries;
  const auto earlier = std::ranges::find(entries, name, &IniEntry::key);
  if (earlier != entries.end()) {
    state.problems.push_back({state.document.file, state.line, section, name,
                              "a duplicate key (first on line " +
                                  std::to_string(earlier->line) + ")",
                              "each key once"});
    return 1;
  }
  entries.push_back({name, value, state.line});
  return 1;
}

/** Reports every line with a syntax error. inih itself reports only the first.
 */
void ReportSyntaxErrors(const IniDocument& document,
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
  ParseState state{text, document, problems, 0, {}};
  ini_parse_stream(NextLine, &state, OnEntry, &state);
  ReportSyntaxErrors(document, text, problems);
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
