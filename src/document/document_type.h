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
  std::vector<std::string> removed;  ///< Names of removed sections.
  std::vector<SectionText> changed;  ///< New and changed sections.

  bool operator==(const DocumentDelta&) const = default;
  MSGPACK_DEFINE_ARRAY(removed, changed)
};

/** Sends a new version to a peer as a delta that fits into one datagram. */
struct DocumentPush {
  static constexpr MessageType kType = MessageType::kDocumentPush;
  uint8_t kind = 0;    ///< A DocumentKind.
  DocumentStamp from;  ///< Version that the delta was made from.
  DocumentStamp to;    ///< Version after the delta.
  Blob packed_delta;   ///< The DocumentDelta, as PackDelta() returns it.

  bool operator==(const DocumentPush&) const = default;
  MSGPACK_DEFINE_ARRAY(kind, from, to, packed_delta)
};

/** Asks a peer, over a connection, for a newer version of a document. */
struct DocumentFetch {
  static constexpr MessageType kType = MessageType::kDocumentFetch;
  uint8_t kind = 0;    ///< A DocumentKind.
  DocumentStamp have;  ///< Active version of the sender.

  bool operator==(const DocumentFetch&) const = default;
  MSGPACK_DEFINE_ARRAY(kind, have)
};

/** Starts the answer to a DocumentFetch; the compressed content follows it. */
struct DocumentAnswer {
  static constexpr MessageType kType = MessageType::kDocumentAnswer;
  uint8_t kind = 0;  ///< A DocumentKind.
  /** Version that the content is a delta from; DocumentStamp{} if the content
   * is the whole text. */
  DocumentStamp from;
  DocumentStamp to;  ///< Version that the content leads to.

  bool operator==(const DocumentAnswer&) const = default;
  MSGPACK_DEFINE_ARRAY(kind, from, to)
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_DOCUMENT_TYPE_H_
