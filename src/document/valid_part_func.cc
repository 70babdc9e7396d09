/** @file valid_part_func.cc Implementation of the reduction to valid sections.
 */

#include "document/valid_part_func.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/ini_func.h"
#include "base/schema_func.h"
#include "document/config_func.h"
#include "document/vmlist_func.h"
#include "table/config_table.h"

namespace cuminvane {
namespace {

using Sections = std::vector<IniSection>;

/** @return Names of the service sections that a class refers to. */
std::vector<std::string> ServiceSections(const IniSection& raw) {
  const SectionReader section(raw, kConfigSchema);
  std::vector<std::string> names = {"service " + section.Text("service")};
  for (const std::string& share : section.List("split"))
    names.push_back("service " + share.substr(0, share.find(' ')));
  return names;
}

/** Reduces one document. */
class Reducer {
 public:
  /** @param check Returns the problems of a document. */
  template <class Check>
  ValidPart Reduce(IniDocument document,
                   const ReadSections& read_in_force,
                   Check check) {
    this->last_line = document.sections.back().line;
    for (;;) {
      const IniProblems problems = check(std::as_const(document));
      if (problems.empty())
        return {std::move(document), this->Invalid(), {}};
      std::map<int, IniProblem> first_problems;
      for (const IniProblem& problem : problems)
        first_problems.emplace(problem.line, problem);
      // The first section has the version; a problem with it, or one that is
      // in no section, concerns the whole document.
      if (first_problems.begin()->first <= document.sections.front().line)
        return {{document.file, {}}, this->Invalid(), problems};
      if (!this->in_force && read_in_force)
        this->in_force = read_in_force();
      std::vector<std::string> names;
      std::erase_if(document.sections, [&](const IniSection& section) {
        if (!first_problems.contains(section.line))
          return false;
        names.push_back(section.name);
        return true;
      });
      auto name = names.begin();
      for (const auto& [line, problem] : first_problems)
        this->Replace(document.sections, *name++, problem);
    }
  }

 private:
  /** Replaces a section that was taken out for the problem, if it is a class,
   * by its section in force, if there is one and it has not been tried yet. */
  void Replace(Sections& sections,
               const std::string& name,
               const IniProblem& problem) {
    const auto replaced = this->replacements.find(problem.line);
    if (replaced != this->replacements.end()) {
      this->invalid.at(replaced->second).kept = false;
      return;
    }
    const bool is_kept =
        SectionKind(name) == "class" && this->Append(sections, name);
    this->invalid.emplace(problem.line, SectionProblem{problem, is_kept});
    if (!is_kept)
      return;
    this->replacements.emplace(sections.back().line, problem.line);
    for (const std::string& service : ServiceSections(sections.back())) {
      if (std::ranges::find(sections, service, &IniSection::name) ==
          sections.end())
        this->Append(sections, service);
    }
  }

  /** Appends a section in force, so that sections of the new document are
   * preferred where both have the same name or address.
   * @return Whether there is such a section. */
  bool Append(Sections& sections, const std::string& name) {
    if (!this->in_force)
      return false;
    const auto text = this->in_force->find(name);
    if (text == this->in_force->end())
      return false;
    IniProblems none;  // What is in force has passed its check.
    IniDocument document = ReadIni("in force", JoinSections({*text}), none);
    IniSection& section = document.sections.front();
    section.line = ++this->last_line;
    for (IniEntry& entry : section.entries)
      entry.line = section.line;
    sections.push_back(std::move(section));
    return true;
  }

  std::vector<SectionProblem> Invalid() const {
    std::vector<SectionProblem> all;
    for (const auto& [line, section] : this->invalid)
      all.push_back(section);
    return all;
  }

  std::optional<SectionTexts> in_force;
  std::map<int, SectionProblem> invalid;  ///< By the line of the section.
  /** Lines of the invalid sections by the lines of what replaced them. */
  std::map<int, int> replacements;
  int last_line = 0;  ///< Highest line of a section.
};

}  // namespace

ValidPart FindValidVmList(IniDocument document) {
  return Reducer().Reduce(
      std::move(document), nullptr,
      [](const IniDocument& list) { return CheckVmList(list).problems; });
}

ValidPart FindValidConfig(IniDocument document,
                          const ReadSections& read_in_force) {
  return Reducer().Reduce(
      std::move(document), read_in_force,
      [](const IniDocument& config) { return CheckConfig(config).problems; });
}

}  // namespace cuminvane
