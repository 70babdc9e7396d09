/** @file ini_func.cc Parsing of INI text line by line. */

#include "base/ini_func.h"

#include <algorithm>
#include <sstream>

namespace cuminvane {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";
/** Some editors put it at the start of a file. */
constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
/** Characters that a text in a problem report is cut to. */
constexpr size_t kMaxReportedLength = 200;

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos)
    return {};
  const size_t last = text.find_last_not_of(kWhitespace);
  return text.substr(first, last - first + 1);
}

/** @return The value without a comment, which begins with a `;` after white
 * space. */
std::string_view StripComment(std::string_view value) {
  for (size_t at = value.find(';'); at != std::string_view::npos;
       at = value.find(';', at + 1)) {
    if (at > 0 && kWhitespace.find(value[at - 1]) != std::string_view::npos)
      return value.substr(0, at);
  }
  return value;
}

/** Parses one document. */
class IniParser {
 public:
  IniParser(IniDocument& document, IniProblems& problems)
      : document(document), problems(problems) {}

  /** @param number Line number, from 1. */
  void ParseLine(int number, std::string_view line) {
    const std::string_view text = Trim(line);
    if (text.empty() || text.front() == ';' || text.front() == '#')
      return;
    if (text.front() == '[')
      this->ParseHeader(number, text);
    else
      this->ParseEntry(number, text);
  }

 private:
  void ParseHeader(int number, std::string_view text) {
    const size_t end = text.find(']');
    if (end == std::string_view::npos) {
      this->AddProblem(number, "", text, "[section]");
      return;
    }
    const std::string_view name = text.substr(1, end - 1);
    this->document.sections.push_back({std::string(name), number, {}});
  }

  void ParseEntry(int number, std::string_view text) {
    const size_t separator = text.find_first_of("=:");
    if (separator == std::string_view::npos) {
      this->AddProblem(number, "", text, "key = value");
      return;
    }
    const std::string_view key = Trim(text.substr(0, separator));
    if (this->document.sections.empty()) {
      this->AddProblem(number, key, "a key before any section",
                       "keys below a [section]");
      return;
    }
    const std::string_view value =
        Trim(StripComment(text.substr(separator + 1)));
    this->document.sections.back().entries.push_back(
        {std::string(key), std::string(value), number});
  }

  void AddProblem(int number,
                  std::string_view key,
                  std::string_view found,
                  std::string_view allowed) {
    const auto& sections = this->document.sections;
    this->problems.push_back({this->document.file, number,
                              sections.empty() ? "" : sections.back().name,
                              std::string(key), std::string(found),
                              std::string(allowed)});
  }

  IniDocument& document;
  IniProblems& problems;
};

}  // namespace

IniDocument ReadIni(const std::string& file,
                    std::string_view text,
                    IniProblems& problems) {
  IniDocument document{file, {}};
  IniParser parser(document, problems);
  if (text.starts_with(kByteOrderMark))
    text.remove_prefix(kByteOrderMark.size());
  for (int number = 1; !text.empty(); ++number) {
    const size_t length = std::min(text.find('\n'), text.size());
    parser.ParseLine(number, text.substr(0, length));
    text.remove_prefix(std::min(length + 1, text.size()));
  }
  return document;
}

std::string FormatIni(const IniDocument& document) {
  std::string text;
  for (const IniSection& section : document.sections) {
    text.append("[").append(section.name).append("]\n");
    for (const IniEntry& entry : section.entries)
      text.append(entry.key).append(" = ").append(entry.value).append("\n");
  }
  return text;
}

std::string FormatOneLine(std::string_view text) {
  std::string line(text.substr(0, kMaxReportedLength));
  const auto is_unprintable = [](unsigned char c) {
    return c < ' ' || c == '"' || c == 0x7f;
  };
  std::ranges::replace_if(line, is_unprintable, '?');
  if (text.size() > kMaxReportedLength)
    line += "... (" + std::to_string(text.size()) + " characters)";
  return line;
}

std::string FormatProblem(const IniProblem& problem) {
  return "key=" + (problem.key.empty() ? "-" : FormatOneLine(problem.key)) +
         " found=\"" + FormatOneLine(problem.found) + "\" allowed=\"" +
         problem.allowed + "\"";
}

std::string FormatProblems(const IniProblems& problems) {
  std::ostringstream out;
  for (const IniProblem& problem : problems) {
    out << problem.file << ":" << problem.line << ": section=["
        << FormatOneLine(problem.section) << "] " << FormatProblem(problem)
        << "\n";
  }
  return out.str();
}

}  // namespace cuminvane
