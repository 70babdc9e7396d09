/** @file document_type.h How published documents are ordered and passed from
 * balancer to balancer. */

#ifndef CUMINVANE_DOCUMENT_DOCUMENT_TYPE_H_
#define CUMINVANE_DOCUMENT_DOCUMENT_TYPE_H_

#include <msgpack.hpp>
#include <string>
#include <vector>

#include "message/message_type.h"

namespace cuminvane {

/** Which document a message is about. */
enum class DocumentKind : uint8_t { kConfig = 0, kVmList = 1 };

/** @return The kind's name at the platform and in logs. */
const char* ToString(DocumentKind kind);

/** Orders documents; the digest decides where two were published under one
 * version, so that all agree. */
struct DocumentStamp {
  ConfigVersion version;
  uint64_t digest = 0;  ///< Of the canonical text.

  auto operator<=>(const DocumentStamp&) const = default;
  MSGPACK_DEFINE_ARRAY(version.value, digest)
};

/** One section in canonical text. */
struct SectionText {
  std::string name;
  std::string body;  ///< Its `key = value` lines.

  auto operator<=>(const SectionText&) const = default;
  MSGPACK_DEFINE_ARRAY(name, body)
};

/** What turns one version of a document into a later one. */
struct DocumentDelta {
  static constexpr MessageType kType = MessageType::kDocumentDelta;
  uint8_t kind = 0;
  DocumentStamp from;
  DocumentStamp to;
  std::vector<std::string> removed;
  std::vector<SectionText> changed;

  bool operator==(const DocumentDelta&) const = default;
  MSGPACK_DEFINE_ARRAY(kind, from, to, removed, changed)
};

/** Asks a peer for what it has that is newer; `index` asks for that chunk of
 * the whole text. */
struct DocumentPull {
  static constexpr MessageType kType = MessageType::kDocumentPull;
  uint8_t kind = 0;
  DocumentStamp have;
  DocumentStamp want;  ///< Document the chunk belongs to; none: whatever brings
                       ///< `have` up to date.
  uint32_t index = 0;

  bool operator==(const DocumentPull&) const = default;
  MSGPACK_DEFINE_ARRAY(kind, have, want, index)
};

/** One chunk of a whole document. */
struct DocumentChunk {
  static constexpr MessageType kType = MessageType::kDocumentChunk;
  uint8_t kind = 0;
  DocumentStamp stamp;
  uint32_t index = 0;
  uint32_t count = 0;
  Blob payload;

  bool operator==(const DocumentChunk&) const = default;
  MSGPACK_DEFINE_ARRAY(kind, stamp, index, count, payload)
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_DOCUMENT_TYPE_H_
