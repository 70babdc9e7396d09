/** @file document_base.h Store of one published document: accepts newer
 * versions from the platform and from peers, and spreads them. */

#ifndef CUMINVANE_DOCUMENT_DOCUMENT_BASE_H_
#define CUMINVANE_DOCUMENT_DOCUMENT_BASE_H_

#include <algorithm>
#include <concepts>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/ini_func.h"
#include "base/random_type.h"
#include "base/result_type.h"
#include "base/time_type.h"
#include "decision/output_type.h"
#include "document/config_func.h"
#include "document/document_func.h"
#include "document/document_type.h"
#include "document/vmlist_func.h"
#include "message/message_func.h"

namespace cuminvane {

/** Traits of the operators' configuration. */
struct ConfigDocument {
  using Value = Config;
  static constexpr DocumentKind kKind = DocumentKind::kConfig;

  /** @return The parsed text; it is valid if `problems` is empty. */
  static Value Check(std::string_view text, IniProblems& problems) {
    ConfigCheck check = CheckConfig("config", text);
    problems = std::move(check.problems);
    return std::move(check.config);
  }
};

/** Traits of the platform's list of VMs. */
struct VmListDocument {
  using Value = VmList;
  static constexpr DocumentKind kKind = DocumentKind::kVmList;

  /** @return The parsed text; it is valid if `problems` is empty. */
  static Value Check(std::string_view text, IniProblems& problems) {
    VmListCheck check = CheckVmList("vms", text);
    problems = std::move(check.problems);
    return std::move(check.list);
  }
};

/** Parser and kind of a document. */
template <class Traits>
concept DocumentTraits = requires(std::string_view text,
                                  IniProblems& problems) {
  { Traits::Check(text, problems) } -> std::same_as<typename Traits::Value>;
  { Traits::kKind } -> std::convertible_to<DocumentKind>;
};

/**
 * Holds the newest valid version of one document; the active version never goes
 * back.
 *
 * A new version spreads by pushed deltas. A balancer that missed a delta
 * detects this by the stamps in membership messages and pulls the deltas, or
 * the whole text in chunks if the deltas are no longer kept.
 */
template <DocumentTraits Traits>
class DocumentStore {
 public:
  using Value = typename Traits::Value;

  /** @return The value of the active document, null if there is none yet. */
  std::shared_ptr<const Value> Current() const { return this->current; }
  /** @return Whether a peer has reported a newer document than the active one.
   */
  bool HasNewerPeerDocument() const {
    return this->stamp < this->newest_peer_stamp;
  }
  /** @return The stamp of the active document. */
  const DocumentStamp& Stamp() const { return this->stamp; }

  /**
   * Activates a document if it is valid and newer.
   * @param text The document.
   * @param peers Peers to which the delta may be pushed.
   * @param random Chooses among the peers.
   * @param out Receives the messages and the log entry.
   * @return kOk if it was activated or is active already; kInvalidDocument with
   * all problems; kStaleDocument if it is not newer.
   */
  Result<void> Offer(std::string_view text,
                     const std::vector<Endpoint>& peers,
                     RandomEngine& random,
                     Output& out) {
    IniProblems problems;
    const IniDocument document =
        ReadIni(ToString(Traits::kKind), text, problems);
    return this->AcceptIfNewer(Canonicalize(document), text, peers, random,
                               out);
  }

  /** Compares the stamp in a membership message with the stamp of the active
   * document, and pulls if the peer has a newer document. */
  void OnPeerStamp(TimePoint now,
                   const Endpoint& peer,
                   const DocumentStamp& peer_stamp,
                   Output& out) {
    this->newest_peer_stamp = std::max(this->newest_peer_stamp, peer_stamp);
    if (peer_stamp <= this->stamp || now < this->next_pull_at)
      return;
    this->next_pull_at = now + kPullInterval;
    this->SendPull(peer, out);
  }

  /** Applies a pushed or pulled delta. Pulls if the delta starts at another
   * version. */
  void OnDelta(const Endpoint& peer,
               const DocumentDelta& delta,
               const std::vector<Endpoint>& peers,
               RandomEngine& random,
               Output& out) {
    if (delta.to <= this->stamp)
      return;
    if (delta.from != this->stamp) {
      this->SendPull(peer, out);
      return;
    }
    SectionTexts result = ApplyDelta(this->sections, delta);
    const std::string text = JoinSections(result);
    if (DigestOf(text) != delta.to.digest) {
      this->LogEvent("delta_refused", "digest", ResultCode::kInvalidDocument,
                     out);
      return;
    }
    // AcceptIfNewer logs a refusal; the sender is not notified.
    static_cast<void>(
        this->AcceptIfNewer(std::move(result), text, peers, random, out));
  }

  /** Answers a pull with the requested chunk, with deltas, or with the first
   * chunk if the kept deltas do not start at the peer's version or are too
   * large. */
  void OnPull(const Endpoint& peer,
              const DocumentPull& pull,
              Output& out) const {
    if (this->current == nullptr || pull.have >= this->stamp)
      return;
    if (pull.want == this->stamp) {
      this->SendChunk(peer, pull.index, out);
      return;
    }
    const size_t first = this->FirstDeltaFrom(pull.have);
    if (first == this->deltas.size()) {
      this->SendChunk(peer, 0, out);
      return;
    }
    for (size_t index = first; index < this->deltas.size(); ++index)
      out.datagrams.push_back(
          {Channel::kPeer, peer, Encode(this->deltas[index])});
  }

  /** Stores a chunk of a whole document; requests further chunks, and offers
   * the text when it is complete. */
  void OnChunk(TimePoint now,
               const Endpoint& peer,
               const DocumentChunk& chunk,
               const std::vector<Endpoint>& peers,
               RandomEngine& random,
               Output& out) {
    if (chunk.stamp <= this->stamp || chunk.count == 0 ||
        chunk.count > kMaxChunks)
      return;
    if (chunk.stamp < this->download.stamp)
      return;
    if (chunk.stamp != this->download.stamp)
      this->download = {
          chunk.stamp, peer, std::vector<std::string>(chunk.count),
          0,           0,    kNever};
    if (chunk.index >= this->download.chunks.size())
      return;
    std::string& stored_chunk = this->download.chunks[chunk.index];
    if (stored_chunk.empty())
      ++this->download.arrived;
    stored_chunk = AsStringView(chunk.payload);
    this->download.peer = peer;
    if (this->download.arrived < this->download.chunks.size()) {
      if (this->download.arrived >= this->download.window_end)
        this->RequestMissingChunks(now, out);
      return;
    }
    std::string text;
    for (const std::string& piece : this->download.chunks)
      text += piece;
    this->download = {};
    // AcceptIfNewer logs a refusal; the sender is not notified.
    static_cast<void>(this->Offer(text, peers, random, out));
  }

  /** Requests missing chunks again after kChunkRetryInterval. */
  void Tick(TimePoint now, Output& out) {
    if (this->download.chunks.empty() || now < this->download.retry_at)
      return;
    this->RequestMissingChunks(now, out);
  }

 private:
  /** Minimum time between two pulls caused by stamps of peers. */
  static constexpr Milliseconds kPullInterval{150};
  /** Time after which missing chunks are requested again. */
  static constexpr Milliseconds kChunkRetryInterval{100};
  /** Size of a chunk in bytes; a chunk fits into one datagram. */
  static constexpr size_t kChunkBytes = 1200;
  /** Maximum number of chunks of a document; chunks of larger documents are
   * ignored. */
  static constexpr size_t kMaxChunks = 2048;
  /** Maximum number of chunks requested at once. */
  static constexpr size_t kChunkWindow = 8;
  /** Number of deltas kept for peers that have an older version. */
  static constexpr size_t kMaxDeltas = 64;
  /** Maximum size of encoded deltas in bytes; larger changes are sent as
   * chunks. */
  static constexpr size_t kMaxDeltaBytes = 4096;
  /** Number of random peers to which a new delta is pushed. */
  static constexpr size_t kPushFanout = 3;

  /** Download of a whole document in chunks. */
  struct ChunkDownload {
    DocumentStamp stamp;  ///< Version being downloaded.
    Endpoint peer;        ///< Peer that sent the last chunk; the next ones are
                          ///< requested from it.
    std::vector<std::string> chunks;  ///< By index; empty means missing.
    size_t arrived = 0;               ///< Number of chunks that have arrived.
    /** Number of arrived chunks at which the next window is requested. */
    size_t window_end = 0;
    TimePoint retry_at = kNever;  ///< Time to request missing chunks again.
  };

  /** Validates a document, and activates it and pushes its delta if it is
   * newer. Results as for Offer().
   * @param new_sections Canonical sections of the document.
   * @param published Text to validate. */
  Result<void> AcceptIfNewer(SectionTexts new_sections,
                             std::string_view published,
                             const std::vector<Endpoint>& peers,
                             RandomEngine& random,
                             Output& out) {
    const std::string text = JoinSections(new_sections);
    const uint64_t digest = DigestOf(text);
    if (digest == this->stamp.digest)
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    IniProblems problems;
    Value value = Traits::Check(published, problems);
    if (!problems.empty()) {
      if (digest != this->refused_digest)
        this->LogEvent("document_refused", "invalid",
                       ResultCode::kInvalidDocument, out);
      this->refused_digest = digest;
      return Error{ResultCode::kInvalidDocument, FormatProblems(problems)};
    }
    const DocumentStamp offered{value.version, digest};
    if (offered <= this->stamp) {
      this->LogEvent("document_refused", "stale", ResultCode::kStaleDocument,
                     out);
      return Error{ResultCode::kStaleDocument,
                   "version " + ToString(offered.version) +
                       " is not newer than version " +
                       ToString(this->stamp.version) + ", which is active"};
    }
    this->Activate(std::move(new_sections), std::move(value), offered, out);
    this->PushDelta(peers, random, out);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void Activate(SectionTexts new_sections,
                Value value,
                const DocumentStamp& offered,
                Output& out) {
    DocumentDelta delta = MakeDelta(this->sections, new_sections);
    delta.kind = static_cast<uint8_t>(Traits::kKind);
    delta.from = this->stamp;
    delta.to = offered;
    this->deltas.push_back(std::move(delta));
    if (this->deltas.size() > kMaxDeltas)
      this->deltas.pop_front();
    this->sections = std::move(new_sections);
    this->text = JoinSections(this->sections);
    this->current = std::make_shared<const Value>(std::move(value));
    this->stamp = offered;
    this->LogEvent("document_in_force", ToString(Traits::kKind),
                   ResultCode::kOk, out);
  }

  void PushDelta(const std::vector<Endpoint>& peers,
                 RandomEngine& random,
                 Output& out) const {
    const std::string delta = Encode(this->deltas.back());
    if (delta.size() > kMaxDeltaBytes)
      return;  // The peers learn of the new version by the stamps in
               // membership messages, and pull it.
    std::vector<Endpoint> chosen;
    std::ranges::sample(peers, std::back_inserter(chosen), kPushFanout, random);
    for (const Endpoint& peer : chosen)
      out.datagrams.push_back({Channel::kPeer, peer, delta});
  }

  void SendPull(const Endpoint& peer, Output& out) const {
    const DocumentPull pull{
        static_cast<uint8_t>(Traits::kKind), this->stamp, {}, 0};
    out.datagrams.push_back({Channel::kPeer, peer, Encode(pull)});
  }

  /** @return Index of the delta that starts at `have`; the number of deltas if
   * there is none, or if the deltas from there exceed kMaxDeltaBytes. */
  size_t FirstDeltaFrom(const DocumentStamp& have) const {
    const auto first =
        std::ranges::find(this->deltas, have, &DocumentDelta::from);
    size_t bytes = 0;
    for (auto delta = first; delta != this->deltas.end(); ++delta)
      bytes += Encode(*delta).size();
    const bool use_deltas = have != DocumentStamp{} && bytes <= kMaxDeltaBytes;
    return use_deltas ? static_cast<size_t>(first - this->deltas.begin())
                      : this->deltas.size();
  }

  void SendChunk(const Endpoint& peer, uint32_t index, Output& out) const {
    const size_t count = (this->text.size() + kChunkBytes - 1) / kChunkBytes;
    if (index >= count)
      return;
    const std::string_view piece =
        std::string_view(this->text).substr(index * kChunkBytes, kChunkBytes);
    const DocumentChunk chunk{static_cast<uint8_t>(Traits::kKind), this->stamp,
                              index, static_cast<uint32_t>(count),
                              MakeBlob(piece)};
    out.datagrams.push_back({Channel::kPeer, peer, Encode(chunk)});
  }

  void RequestMissingChunks(TimePoint now, Output& out) {
    size_t requested = 0;
    for (uint32_t index = 0;
         index < this->download.chunks.size() && requested < kChunkWindow;
         ++index) {
      if (!this->download.chunks[index].empty())
        continue;
      const DocumentPull pull{static_cast<uint8_t>(Traits::kKind), this->stamp,
                              this->download.stamp, index};
      out.datagrams.push_back(
          {Channel::kPeer, this->download.peer, Encode(pull)});
      ++requested;
    }
    this->download.window_end = this->download.arrived + requested;
    this->download.retry_at = now + kChunkRetryInterval;
  }

  void LogEvent(const char* event,
                const char* reason,
                ResultCode code,
                Output& out) const {
    Decision decision;
    decision.topic = Topic::kConfig;
    decision.severity = code == ResultCode::kInvalidDocument ? Severity::kError
                                                             : Severity::kInfo;
    decision.event = event;
    decision.reason = reason;
    decision.version = this->stamp.version;
    decision.code = code;
    out.decisions.push_back(decision);
  }

  std::shared_ptr<const Value> current;  ///< Active value; null if none.
  DocumentStamp stamp;                   ///< Stamp of the active document.
  DocumentStamp newest_peer_stamp;       ///< Newest stamp reported by any peer.
  SectionTexts sections;                 ///< Sections of the active document.
  std::string text;                  ///< Canonical text of the active document.
  std::deque<DocumentDelta> deltas;  ///< Latest deltas, oldest first.
  ChunkDownload download;  ///< Has no chunks if no download is running.
  /** Earliest time of the next pull caused by a stamp. */
  TimePoint next_pull_at;
  /** Digest of the last invalid document, so that it is logged once; 0 if
   * none. */
  uint64_t refused_digest = 0;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_DOCUMENT_BASE_H_
