/** @file document_type.h Order of published documents, and the messages that
 * spread them between balancers. */

#ifndef CUMINVANE_DOCUMENT_DOCUMENT_TYPE_H_
#define CUMINVANE_DOCUMENT_DOCUMENT_TYPE_H_

#include <msgpack.hpp>
#include <string>
#include <vector>

#include "message/message_type.h"

namespace cuminvane {

/** Kind of the document to which a message refers. */
enum class DocumentKind : uint8_t { kConfig = 0, kVmList = 1 };

/** @return Name of the document at the platform and in logs. */
const char* ToString(DocumentKind kind);

/** Identifies and orders versions of a document. If two texts are published
 * with one version, the digest breaks the tie, so that all balancers choose the
 * same one. */
struct DocumentStamp {
  ConfigVersion version;
  uint64_t digest = 0;  ///< Hash of the canonical text.

  auto operator<=>(const DocumentStamp&) const = default;
  MSGPACK_DEFINE_ARRAY(version.value, digest)
};

/** One section in canonical text. */
struct SectionText {
  std::string name;
  std::string body;  ///< Its `key = value` lines in canonical form.

  auto operator<=>(const SectionText&) const = default;
  MSGPACK_DEFINE_ARRAY(name, body)
};

/** Difference between two versions of a document. */
struct DocumentDelta {
  static constexpr MessageType kType = MessageType::kDocumentDelta;
  uint8_t kind = 0;                  ///< A DocumentKind.
  DocumentStamp from;                ///< Version to which the delta applies.
  DocumentStamp to;                  ///< Version after the delta.
  std::vector<std::string> removed;  ///< Names of removed sections.
  std::vector<SectionText> changed;  ///< New and changed sections.

  bool operator==(const DocumentDelta&) const = default;
  MSGPACK_DEFINE_ARRAY(kind, from, to, removed, changed)
};

/** Asks a peer for a newer version of a document, or for one chunk of it. */
struct DocumentPull {
  static constexpr MessageType kType = MessageType::kDocumentPull;
  uint8_t kind = 0;    ///< A DocumentKind.
  DocumentStamp have;  ///< Active version of the sender.
  /** Document whose chunk `index` is requested; DocumentStamp{} asks for deltas
   * since `have`, or for the first chunk if there are none. */
  DocumentStamp want;
  uint32_t index = 0;  ///< Index of the requested chunk, from 0.

  bool operator==(const DocumentPull&) const = default;
  MSGPACK_DEFINE_ARRAY(kind, have, want, index)
};

/** One chunk of the canonical text of a document. */
struct DocumentChunk {
  static constexpr MessageType kType = MessageType::kDocumentChunk;
  uint8_t kind = 0;     ///< A DocumentKind.
  DocumentStamp stamp;  ///< Version of the document.
  uint32_t index = 0;   ///< Index of the chunk, from 0.
  uint32_t count = 0;   ///< Number of chunks of the document.
  Blob payload;         ///< Bytes of the chunk.

  bool operator==(const DocumentChunk&) const = default;
  MSGPACK_DEFINE_ARRAY(kind, stamp, index, count, payload)
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_DOCUMENT_TYPE_H_
