/** @file document_func.cc Canonical text of documents and deltas between
 * versions. */

#include "document/document_func.h"

#include <xxhash.h>

namespace cuminvane {

const char* ToString(DocumentKind kind) {
  return kind == DocumentKind::kConfig ? "config" : "vms";
}

SectionTexts Canonicalize(const IniDocument& document) {
  SectionTexts sections;
  for (const IniSection& section : document.sections) {
    std::string& body = sections[section.name];
    for (const IniEntry& entry : section.entries)
      body += entry.key + " = " + entry.value + "\n";
  }
  return sections;
}

std::string JoinSections(const SectionTexts& sections) {
  std::string text;
  for (const auto& [name, body] : sections)
    text.append("[").append(name).append("]\n").append(body).append("\n");
  return text;
}

uint64_t DigestOf(std::string_view canonical_text) {
  return XXH3_64bits(canonical_text.data(), canonical_text.size());
}

DocumentDelta MakeDelta(const SectionTexts& old_sections,
                        const SectionTexts& new_sections) {
  DocumentDelta delta;
  for (const auto& [name, body] : old_sections) {
    if (!new_sections.contains(name))
      delta.removed.push_back(name);
  }
  for (const auto& [name, body] : new_sections) {
    const auto old_section = old_sections.find(name);
    if (old_section == old_sections.end() || old_section->second != body)
      delta.changed.push_back({name, body});
  }
  return delta;
}

SectionTexts ApplyDelta(const SectionTexts& sections,
                        const DocumentDelta& delta) {
  SectionTexts result = sections;
  for (const std::string& name : delta.removed)
    result.erase(name);
  for (const SectionText& section : delta.changed)
    result[section.name] = section.body;
  return result;
}

}  // namespace cuminvane
