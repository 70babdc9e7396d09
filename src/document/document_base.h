/** @file document_base.h One published document in a balancer: takes newer
 * versions from anywhere and passes them on. */

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

/** The operators' configuration as a document. */
struct ConfigDocument {
  using Value = Config;
  static constexpr DocumentKind kKind = DocumentKind::kConfig;

  /** Checks a text; the version of an accepted one goes into `version`. */
  static Value Check(std::string_view text, IniProblems& problems) {
    ConfigCheck check = CheckConfig("config", text);
    problems = std::move(check.problems);
    return std::move(check.config);
  }
};

/** The platform's list of VMs as a document. */
struct VmListDocument {
  using Value = VmList;
  static constexpr DocumentKind kKind = DocumentKind::kVmList;

  /** Checks a text. */
  static Value Check(std::string_view text, IniProblems& problems) {
    VmListCheck check = CheckVmList("vms", text);
    problems = std::move(check.problems);
    return std::move(check.list);
  }
};

template <class Kind>
concept DocumentTraits = requires(std::string_view text,
                                  IniProblems& problems) {
  { Kind::Check(text, problems) } -> std::same_as<typename Kind::Value>;
  { Kind::kKind } -> std::convertible_to<DocumentKind>;
};

/**
 * One document: the highest version seen is in force for good.
 *
 * A new version reaches the fleet by pushed deltas; whoever misses one notices
 * by the stamps in heartbeats and pulls deltas, or the whole text in chunks
 * where the deltas are gone.
 */
template <DocumentTraits Kind>
class DocumentStore {
 public:
  using Value = typename Kind::Value;

  /** @return The value in force, null before the first. */
  std::shared_ptr<const Value> Current() const { return this->current; }
  /** @return Whether a peer has told of a newer document than the one in force.
   */
  bool IsBehind() const { return this->stamp < this->newest_heard; }
  /** @return The stamp of the document in force. */
  const DocumentStamp& Stamp() const { return this->stamp; }

  /**
   * Takes a document if it is valid and newer.
   * @param text The document.
   * @param peers Where to pass it on.
   * @param random Chooses the peers.
   * @param out Receives the messages and the log line.
   * @return kOk; kInvalidDocument with every problem, kStaleDocument, or kOk
   * again for the one in force.
   */
  Result<void> Offer(std::string_view text,
                     const std::vector<Endpoint>& peers,
                     RandomEngine& random,
                     Output& out) {
    IniProblems problems;
    const IniDocument document = ReadIni(ToString(Kind::kKind), text, problems);
    return this->Take(Canonicalize(document), text, peers, random, out);
  }

  /** Notices by a heartbeat that a peer has a newer document. */
  void OnPeerStamp(TimePoint now,
                   const Endpoint& peer,
                   const DocumentStamp& theirs,
                   Output& out) {
    this->newest_heard = std::max(this->newest_heard, theirs);
    if (theirs <= this->stamp || now < this->next_pull_at)
      return;
    this->next_pull_at = now + kPullInterval;
    this->Pull(peer, out);
  }

  /** Handles a pushed or pulled delta. */
  void OnDelta(const Endpoint& peer,
               const DocumentDelta& delta,
               const std::vector<Endpoint>& peers,
               RandomEngine& random,
               Output& out) {
    if (delta.to <= this->stamp)
      return;
    if (delta.from != this->stamp) {
      this->Pull(peer, out);
      return;
    }
    SectionTexts result = ApplyDelta(this->sections, delta);
    const std::string text = JoinSections(result);
    if (DigestOf(text) != delta.to.digest) {
      this->Log("delta_refused", "digest", ResultCode::kInvalidDocument, out);
      return;
    }
    // A refusal is logged by Take itself; there is nobody to tell.
    static_cast<void>(this->Take(std::move(result), text, peers, random, out));
  }

  /** Answers a peer that lacks something. */
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
      out.datagrams.push_back({Lane::kPeer, peer, Encode(this->deltas[index])});
  }

  /** Handles a chunk of a whole document; asks for the next ones. */
  void OnChunk(TimePoint now,
               const Endpoint& peer,
               const DocumentChunk& chunk,
               const std::vector<Endpoint>& peers,
               RandomEngine& random,
               Output& out) {
    if (chunk.stamp <= this->stamp || chunk.count == 0 ||
        chunk.count > kMostChunks)
      return;
    if (chunk.stamp < this->fetch.stamp)
      return;
    if (chunk.stamp != this->fetch.stamp)
      this->fetch = {chunk.stamp, peer, std::vector<std::string>(chunk.count),
                     0,           0,    kNever};
    if (chunk.index >= this->fetch.chunks.size())
      return;
    std::string& place = this->fetch.chunks[chunk.index];
    if (place.empty())
      ++this->fetch.arrived;
    place = View(chunk.payload);
    this->fetch.peer = peer;
    if (this->fetch.arrived < this->fetch.chunks.size()) {
      if (this->fetch.arrived >= this->fetch.window_end)
        this->AskForChunks(now, out);
      return;
    }
    std::string text;
    for (const std::string& piece : this->fetch.chunks)
      text += piece;
    this->fetch = {};
    // As for a delta: a refusal is logged by Take.
    static_cast<void>(this->Offer(text, peers, random, out));
  }

  /** Asks again for chunks that did not come. */
  void Tick(TimePoint now, Output& out) {
    if (this->fetch.chunks.empty() || now < this->fetch.retry_at)
      return;
    this->AskForChunks(now, out);
  }

 private:
  static constexpr Milliseconds kPullInterval{150};
  static constexpr Milliseconds kChunkRetry{100};
  static constexpr size_t kChunkBytes = 1200;
  static constexpr size_t kMostChunks = 2048;
  static constexpr size_t kChunkWindow = 8;
  static constexpr size_t kDeltasKept = 64;
  static constexpr size_t kDeltaLimit =
      4096;  ///< Larger changes travel as chunks.
  static constexpr size_t kPushFanout = 3;

  /** A whole document on its way in. */
  struct Fetch {
    DocumentStamp stamp;
    Endpoint peer;
    std::vector<std::string> chunks;
    size_t arrived = 0;
    size_t window_end = 0;  ///< Arrivals that complete what was asked for.
    TimePoint retry_at = kNever;
  };

  Result<void> Take(SectionTexts new_sections,
                    std::string_view published,
                    const std::vector<Endpoint>& peers,
                    RandomEngine& random,
                    Output& out) {
    const std::string text = JoinSections(new_sections);
    const uint64_t digest = DigestOf(text);
    if (digest == this->stamp.digest)
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    IniProblems problems;
    Value value = Kind::Check(published, problems);
    if (!problems.empty()) {
      if (digest != this->refused_digest)
        this->Log("document_refused", "invalid", ResultCode::kInvalidDocument,
                  out);
      this->refused_digest = digest;
      return Error{ResultCode::kInvalidDocument, FormatProblems(problems)};
    }
    const DocumentStamp offered{value.version, digest};
    if (offered <= this->stamp) {
      this->Log("document_refused", "stale", ResultCode::kStaleDocument, out);
      return Error{ResultCode::kStaleDocument,
                   "version " + ToString(offered.version) +
                       " is not above version " +
                       ToString(this->stamp.version) + " in force"};
    }
    this->Adopt(std::move(new_sections), std::move(value), offered, out);
    this->Push(peers, random, out);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void Adopt(SectionTexts new_sections,
             Value value,
             const DocumentStamp& offered,
             Output& out) {
    DocumentDelta delta = MakeDelta(this->sections, new_sections);
    delta.kind = static_cast<uint8_t>(Kind::kKind);
    delta.from = this->stamp;
    delta.to = offered;
    this->deltas.push_back(std::move(delta));
    if (this->deltas.size() > kDeltasKept)
      this->deltas.pop_front();
    this->sections = std::move(new_sections);
    this->text = JoinSections(this->sections);
    this->current = std::make_shared<const Value>(std::move(value));
    this->stamp = offered;
    this->Log("document_in_force", ToString(Kind::kKind), ResultCode::kOk, out);
  }

  void Push(const std::vector<Endpoint>& peers,
            RandomEngine& random,
            Output& out) const {
    const std::string delta = Encode(this->deltas.back());
    if (delta.size() > kDeltaLimit)
      return;  // Peers notice by the stamps in heartbeats and pull.
    std::vector<Endpoint> chosen;
    std::ranges::sample(peers, std::back_inserter(chosen), kPushFanout, random);
    for (const Endpoint& peer : chosen)
      out.datagrams.push_back({Lane::kPeer, peer, delta});
  }

  void Pull(const Endpoint& peer, Output& out) const {
    const DocumentPull pull{
        static_cast<uint8_t>(Kind::kKind), this->stamp, {}, 0};
    out.datagrams.push_back({Lane::kPeer, peer, Encode(pull)});
  }

  /** @return Index of the oldest delta that starts at `have`, the number of
   * deltas where there is none. */
  size_t FirstDeltaFrom(const DocumentStamp& have) const {
    const auto first =
        std::ranges::find(this->deltas, have, &DocumentDelta::from);
    size_t bytes = 0;
    for (auto delta = first; delta != this->deltas.end(); ++delta)
      bytes += Encode(*delta).size();
    const bool worthwhile = have != DocumentStamp{} && bytes <= kDeltaLimit;
    return worthwhile ? static_cast<size_t>(first - this->deltas.begin())
                      : this->deltas.size();
  }

  void SendChunk(const Endpoint& peer, uint32_t index, Output& out) const {
    const size_t count = (this->text.size() + kChunkBytes - 1) / kChunkBytes;
    if (index >= count)
      return;
    const std::string_view piece =
        std::string_view(this->text).substr(index * kChunkBytes, kChunkBytes);
    const DocumentChunk chunk{static_cast<uint8_t>(Kind::kKind), this->stamp,
                              index, static_cast<uint32_t>(count),
                              MakeBlob(piece)};
    out.datagrams.push_back({Lane::kPeer, peer, Encode(chunk)});
  }

  void AskForChunks(TimePoint now, Output& out) {
    size_t asked = 0;
    for (uint32_t index = 0;
         index < this->fetch.chunks.size() && asked < kChunkWindow; ++index) {
      if (!this->fetch.chunks[index].empty())
        continue;
      const DocumentPull pull{static_cast<uint8_t>(Kind::kKind), this->stamp,
                              this->fetch.stamp, index};
      out.datagrams.push_back({Lane::kPeer, this->fetch.peer, Encode(pull)});
      ++asked;
    }
    this->fetch.window_end = this->fetch.arrived + asked;
    this->fetch.retry_at = now + kChunkRetry;
  }

  void Log(const char* event,
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

  std::shared_ptr<const Value> current;
  DocumentStamp stamp;
  DocumentStamp newest_heard;  ///< From any peer.
  SectionTexts sections;
  std::string text;
  std::deque<DocumentDelta> deltas;
  Fetch fetch;
  TimePoint next_pull_at;
  uint64_t refused_digest = 0;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_DOCUMENT_BASE_H_
