/** @file document_base.h Store of one published document: accepts newer
 * versions from the platform and from peers, and spreads them. */

#ifndef CUMINVANE_DOCUMENT_DOCUMENT_BASE_H_
#define CUMINVANE_DOCUMENT_DOCUMENT_BASE_H_

#include <algorithm>
#include <concepts>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ini_func.h"
#include "base/random_type.h"
#include "base/result_type.h"
#include "base/time_type.h"
#include "decision/output_type.h"
#include "document/compress_func.h"
#include "document/config_func.h"
#include "document/document_func.h"
#include "document/document_type.h"
#include "document/fetch_plan_base.h"
#include "document/vmlist_func.h"
#include "message/message_func.h"

namespace cuminvane {

/** Traits of the operators' configuration. */
struct ConfigDocument {
  using Value = Config;
  static constexpr DocumentKind kKind = DocumentKind::kConfig;
  /** Section that has the version and nothing else. */
  static constexpr const char* kVersionSection = "document";

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
  /** Section that has the version and nothing else. */
  static constexpr const char* kVersionSection = "list";

  /** @return The parsed text; it is valid if `problems` is empty. */
  static Value Check(std::string_view text, IniProblems& problems) {
    VmListCheck check = CheckVmList("vms", text);
    problems = std::move(check.problems);
    return std::move(check.list);
  }
};

/** Answer to a fetch: two parts that are sent one after the other. */
struct FetchAnswer {
  std::string header;                          ///< An encoded DocumentAnswer.
  std::shared_ptr<const std::string> content;  ///< Compressed delta or text.
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
 * detects this by the stamps in membership messages and fetches the difference
 * over a connection, or the whole text if its own version is too old.
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
  /** @return Sections of the active document; none if there is none. */
  SectionTexts Sections() const { return this->sections; }
  /** @return Whether the active document has the content of the text, whatever
   * its version. */
  bool HasContent(std::string_view content) const {
    IniProblems problems;
    SectionTexts wanted =
        Canonicalize(ReadIni(ToString(Traits::kKind), content, problems));
    const auto version = this->sections.find(Traits::kVersionSection);
    if (!problems.empty() || version == this->sections.end())
      return false;
    wanted[version->first] = version->second;
    return wanted == this->sections;
  }

  /**
   * Activates a document if it is valid and newer.
   * @param text The document.
   * @param now The current time.
   * @param peers Peers to which the delta may be pushed.
   * @param random Chooses among the peers.
   * @param out Receives the messages and the log entry.
   * @return kOk if it was activated or is active already; kInvalidDocument with
   * all problems; kStaleDocument if it is not newer.
   */
  Result<void> Offer(TimePoint now,
                     std::string_view text,
                     const std::vector<Endpoint>& peers,
                     RandomEngine& random,
                     Output& out) {
    IniProblems problems;
    const IniDocument document =
        ReadIni(ToString(Traits::kKind), text, problems);
    return this->AcceptIfNewer(now, Canonicalize(document), text, peers, random,
                               out);
  }

  /** Compares the stamp in a membership message with the stamp of the active
   * document; a newer one will be fetched. */
  void OnPeerStamp(TimePoint now,
                   const DocumentSource& source,
                   const DocumentStamp& peer_stamp,
                   RandomEngine& random) {
    this->newest_peer_stamp = std::max(this->newest_peer_stamp, peer_stamp);
    if (peer_stamp > this->stamp)
      this->plan.OnNewerVersion(source, peer_stamp, this->current != nullptr,
                                now, random);
  }

  /** Applies a pushed delta if it leads from the active version, or an older
   * one, to a newer one. */
  void OnPush(TimePoint now,
              const DocumentPush& push,
              const std::vector<Endpoint>& peers,
              RandomEngine& random,
              Output& out) {
    if (push.to <= this->stamp || !this->CanApplyFrom(push.from))
      return;  // The stamps in membership messages make up for it.
    this->ApplyPackedDelta(now, AsStringView(push.packed_delta), push.to, peers,
                           random, out);
  }

  /** @return The answer to a fetch of a peer; no value if there is nothing
   * newer than the peer has. */
  std::optional<FetchAnswer> AnswerFetch(const DocumentStamp& have) {
    if (this->current == nullptr || have >= this->stamp)
      return std::nullopt;
    const std::optional<DocumentDelta> delta = this->DeltaSince(have);
    const DocumentStamp from = delta ? have : DocumentStamp{};
    std::shared_ptr<const std::string>& content = this->packed[from];
    if (content == nullptr)
      content = std::make_shared<const std::string>(
          delta ? PackDelta(*delta) : Compress(this->text));
    const DocumentAnswer answer{static_cast<uint8_t>(Traits::kKind), from,
                                this->stamp};
    return FetchAnswer{Encode(answer), content};
  }

  /**
   * Handles the answer to a fetch.
   * @param content Whole content that followed the answer.
   */
  void OnFetched(TimePoint now,
                 const DocumentAnswer& answer,
                 std::string_view content,
                 const std::vector<Endpoint>& peers,
                 RandomEngine& random,
                 Output& out) {
    const DocumentStamp before = this->stamp;
    const bool is_newer = answer.to > before;
    const bool is_delta = answer.from != DocumentStamp{};
    if (is_newer && !is_delta)
      this->ApplyPackedText(now, content, peers, random, out);
    else if (is_newer && this->CanApplyFrom(answer.from))
      this->ApplyPackedDelta(now, content, answer.to, peers, random, out);
    const bool succeeded = this->stamp > before;
    this->fetch_whole_text = is_newer && is_delta && !succeeded;
    this->plan.OnEnded(succeeded, now, random);
  }

  /** A fetch has failed: the peer was unreachable, broke off or had nothing
   * newer. */
  void OnFetchFailed(TimePoint now, RandomEngine& random) {
    this->plan.OnEnded(false, now, random);
  }

  /** Starts a fetch if one is due. */
  void Tick(TimePoint now, RandomEngine& random, Output& out) {
    const std::optional<Endpoint> peer = this->plan.StartDue(now, random);
    if (!peer)
      return;
    const DocumentFetch fetch{
        static_cast<uint8_t>(Traits::kKind),
        this->fetch_whole_text ? DocumentStamp{} : this->stamp};
    out.fetches.push_back({fetch.kind, *peer, Encode(fetch)});
  }

 private:
  /** Number of changes that are remembered for peers with an older version. */
  static constexpr size_t kMaxChanges = 64;
  /** Maximum size of a pushed delta in bytes; larger ones are fetched. */
  static constexpr size_t kMaxPushBytes = 4096;
  /** Number of random peers to which a new delta is pushed. */
  static constexpr size_t kPushFanout = 3;

  /** Which sections changed from one version to the next one. */
  struct Change {
    DocumentStamp from;
    DocumentStamp to;
    std::vector<std::string> sections;  ///< Changed, new and removed sections.
  };

  /** @return Whether a delta from that version can be applied. Versions of the
   * platform are one sequence, so a delta that starts earlier contains every
   * section that has changed since the active version, unless a change was
   * taken back meanwhile; the digest shows whether the result is right. */
  bool CanApplyFrom(const DocumentStamp& from) const {
    return this->current != nullptr && from.version <= this->stamp.version;
  }

  void ApplyPackedDelta(TimePoint now,
                        std::string_view packed_delta,
                        const DocumentStamp& to,
                        const std::vector<Endpoint>& peers,
                        RandomEngine& random,
                        Output& out) {
    const Result<DocumentDelta> delta = UnpackDelta(packed_delta);
    if (!delta) {
      this->LogEvent("delta_refused", "garbage", delta.error().code, out);
      return;
    }
    SectionTexts result = ApplyDelta(this->sections, delta.value());
    const std::string result_text = JoinSections(result);
    if (DigestOf(result_text) != to.digest) {
      this->LogEvent("delta_refused", "digest", ResultCode::kInvalidDocument,
                     out);
      return;
    }
    // AcceptIfNewer logs a refusal; the sender is not notified.
    static_cast<void>(this->AcceptIfNewer(now, std::move(result), result_text,
                                          peers, random, out));
  }

  void ApplyPackedText(TimePoint now,
                       std::string_view packed_text,
                       const std::vector<Endpoint>& peers,
                       RandomEngine& random,
                       Output& out) {
    const Result<std::string> whole_text = Decompress(packed_text);
    if (!whole_text) {
      this->LogEvent("document_refused", "garbage", whole_text.error().code,
                     out);
      return;
    }
    // Offer logs a refusal; the sender is not notified.
    static_cast<void>(this->Offer(now, whole_text.value(), peers, random, out));
  }

  /** Validates a document, and activates it and pushes its delta if it is
   * newer. Results as for Offer().
   * @param new_sections Canonical sections of the document.
   * @param published Text to validate. */
  Result<void> AcceptIfNewer(TimePoint now,
                             SectionTexts new_sections,
                             std::string_view published,
                             const std::vector<Endpoint>& peers,
                             RandomEngine& random,
                             Output& out) {
    std::string new_text = JoinSections(new_sections);
    const uint64_t digest = DigestOf(new_text);
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
    const DocumentDelta delta = MakeDelta(this->sections, new_sections);
    const DocumentStamp before = this->stamp;
    this->Activate(std::move(new_sections), std::move(new_text),
                   std::move(value), offered, out);
    this->RecordChange(before, delta);
    this->plan.OnProgress(offered, now, random);
    if (before != DocumentStamp{})
      this->PushDelta(before, delta, peers, random, out);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void Activate(SectionTexts&& new_sections,
                std::string&& new_text,
                Value&& value,
                const DocumentStamp& offered,
                Output& out) {
    this->sections = std::move(new_sections);
    this->text = std::move(new_text);
    this->current = std::make_shared<const Value>(std::move(value));
    this->stamp = offered;
    this->packed.clear();
    this->LogEvent("document_in_force", ToString(Traits::kKind),
                   ResultCode::kOk, out);
  }

  void RecordChange(const DocumentStamp& before, const DocumentDelta& delta) {
    Change change{before, this->stamp, delta.removed};
    for (const SectionText& section : delta.changed)
      change.sections.push_back(section.name);
    this->changes.push_back(std::move(change));
    if (this->changes.size() > kMaxChanges)
      this->changes.pop_front();
  }

  void PushDelta(const DocumentStamp& before,
                 const DocumentDelta& delta,
                 const std::vector<Endpoint>& peers,
                 RandomEngine& random,
                 Output& out) const {
    const std::string packed_delta = PackDelta(delta);
    if (packed_delta.size() > kMaxPushBytes)
      return;  // The peers learn of the new version by the stamps in
               // membership messages, and fetch it.
    const std::string push =
        Encode(DocumentPush{static_cast<uint8_t>(Traits::kKind), before,
                            this->stamp, MakeBlob(packed_delta)});
    std::vector<Endpoint> chosen;
    std::ranges::sample(peers, std::back_inserter(chosen), kPushFanout, random);
    for (const Endpoint& peer : chosen)
      out.datagrams.push_back({Channel::kPeer, peer, push});
  }

  /** @return The delta from `have` to the active version; no value if the
   * changes since then are not remembered. */
  std::optional<DocumentDelta> DeltaSince(const DocumentStamp& have) const {
    // The first change from no document to the first version is the whole text.
    const auto first =
        std::ranges::find_if(this->changes, [&](const Change& change) {
          return change.from != DocumentStamp{} &&
                 change.from.version <= have.version &&
                 have.version < change.to.version;
        });
    if (have == DocumentStamp{} || first == this->changes.end())
      return std::nullopt;
    std::set<std::string> names;
    for (auto change = first; change != this->changes.end(); ++change)
      names.insert(change->sections.begin(), change->sections.end());
    DocumentDelta delta;
    for (const std::string& name : names) {
      const auto section = this->sections.find(name);
      if (section == this->sections.end())
        delta.removed.push_back(name);
      else
        delta.changed.push_back({name, section->second});
    }
    return delta;
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
  std::string text;            ///< Canonical text of the active document.
  std::deque<Change> changes;  ///< Latest changes, oldest first.
  FetchPlan plan;              ///< When and where to fetch from.
  /** Contents of answers to fetches of the active version, by the version that
   * they start from, so that they are compressed once. */
  std::map<DocumentStamp, std::shared_ptr<const std::string>> packed;
  /** The last fetched delta led to another text, so the next fetch asks for the
   * whole text. */
  bool fetch_whole_text = false;
  /** Digest of the last invalid document, so that it is logged once; 0 if
   * none. */
  uint64_t refused_digest = 0;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_DOCUMENT_BASE_H_
