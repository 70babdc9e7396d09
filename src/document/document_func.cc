/** @file document_func.cc Canonical text of documents and deltas between
 * versions. */

#include "document/document_func.h"

#include <xxhash.h>

#include "document/compress_func.h"

namespace cuminvane {
namespace {

/** Nesting of a delta: the delta, its list of sections, a section. */
constexpr size_t kMaxDeltaNesting = 4;

}  // namespace

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

std::string PackDelta(const DocumentDelta& delta) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, delta);
  return Compress({buffer.data(), buffer.size()});
}

Result<DocumentDelta> UnpackDelta(std::string_view packed) {
  BOOST_OUTCOME_TRY(bytes, Decompress(packed));
  // One byte of a message is at least one item, so this bounds the memory.
  const size_t limit = bytes.size();
  try {
    const msgpack::object_handle object = msgpack::unpack(
        bytes.data(), bytes.size(), nullptr, nullptr,
        msgpack::unpack_limit(limit, 0, limit, 0, 0, kMaxDeltaNesting));
    return object->as<DocumentDelta>();
  } catch (const msgpack::unpack_error&) {
    return Error{ResultCode::kGarbage, "a delta is not MessagePack"};
  } catch (const msgpack::type_error&) {
    return Error{ResultCode::kGarbage, "a delta has a field of a wrong type"};
  }
}

}  // namespace cuminvane
