/** @file control_base.h Coordination of the balancers without a central
 * coordinator: membership, documents, choice of the token key. */

#ifndef CUMINVANE_MEMBER_CONTROL_BASE_H_
#define CUMINVANE_MEMBER_CONTROL_BASE_H_

#include <atomic>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/drop_func.h"
#include "document/document_base.h"
#include "member/blackboard_base.h"
#include "member/decode_func.h"
#include "member/document_group_func.h"
#include "member/document_peers_base.h"
#include "member/evidence_type.h"
#include "member/issue_key_func.h"
#include "member/member_base.h"
#include "member/startup_func.h"
#include "message/message_func.h"

namespace cuminvane {

/**
 * Maintains the blackboard: documents, members and the state of this balancer.
 * Thread-safe, except that Tick must always be called by the same thread.
 * Membership and each document have their own lock; a change is written to the
 * blackboard while that lock is held, so that an older state never overwrites a
 * newer one.
 * @tparam Mutex Type of all locks.
 */
template <Lockable Mutex>
class ControlPlane {
 public:
  /** @param settings Settings with the incarnation filled in; must outlive this
   * object. */
  explicit ControlPlane(const Settings& settings)
      : settings(settings),
        members(MakeMember(SelfInstance(settings),
                           settings.peer,
                           settings.data_centre),
                settings.membership),
        data_centre(DataCentreIdOf(settings.data_centre)),
        seed_peers(settings.seed_peers),
        peers(this->data_centre) {
    SelfState self;
    self.id = SelfInstance(settings);
    this->blackboard.Write(&BlackboardView::self,
                           std::make_shared<const SelfState>(self),
                           BlackboardSource::kOperator, TimePoint{});
  }

  /** @return The current snapshot of the blackboard. */
  std::shared_ptr<const BlackboardView> ReadBlackboard() const {
    return this->blackboard.Read();
  }

  /** @return Whether a document has changed since the last call. */
  bool ConsumeDocumentsChanged() {
    return this->documents_changed.exchange(false);
  }

  /**
   * Offers a document that was read from the platform.
   * @return The result of DocumentStore::Offer.
   */
  Result<void> OfferDocument(TimePoint now,
                             DocumentKind kind,
                             std::string_view text,
                             RandomEngine& random,
                             Output& out) {
    const std::vector<Endpoint> peers = this->DocumentPeerEndpoints();
    Result<void> result = BOOST_OUTCOME_V2_NAMESPACE::success();
    this->WithDocumentStore(static_cast<uint8_t>(kind), [&](auto& store) {
      result = store.Offer(now, text, peers, random, out);
    });
    this->PublishDocuments(now);
    return result;
  }

  /** @return Stamp of the active document; DocumentStamp{} if there is none. */
  DocumentStamp ActiveStamp(DocumentKind kind) const {
    return kind == DocumentKind::kConfig ? this->Versions().config
                                         : this->Versions().vms;
  }

  /** @return The result of `read`, which is called with the DocumentStore. */
  template <class Read>
  auto ReadDocument(DocumentKind kind, Read read) const {
    return kind == DocumentKind::kConfig ? this->config.WithLock(read)
                                         : this->vms.WithLock(read);
  }

  /** Runs timers: probes, fetches of documents, and the start of serving. */
  void Tick(TimePoint now, RandomEngine& random, Output& out) {
    this->members.WithLock(
        [&](MemberTable& table) { table.Tick(now, random, out); });
    this->PublishMembers(now);
    this->config.WithLock([&](auto& store) { store.Tick(now, random, out); });
    this->vms.WithLock([&](auto& store) { store.Tick(now, random, out); });
    this->AdvanceStartup(now, out);
  }

  /** Handles a membership message (ping, acknowledgement or request for an
   * indirect probe) of the type in the header. */
  void OnMembershipMessage(TimePoint now,
                           const Endpoint& from,
                           std::string_view bytes,
                           const DatagramHeader& header,
                           RandomEngine& random,
                           Output& out) {
    if (header.type == MessageType::kPing) {
      const auto ping = DecodePeerMessage<Ping>(bytes, header, out);
      if (!ping)
        return;
      this->members.WithLock(
          [&](MemberTable& table) { table.OnPing(now, from, *ping, out); });
      this->OnPeerVersions(now, from, *ping, random);
    } else if (header.type == MessageType::kAck) {
      const auto ack = DecodePeerMessage<Ack>(bytes, header, out);
      if (!ack)
        return;
      this->members.WithLock(
          [&](MemberTable& table) { table.OnAck(now, *ack, out); });
      this->OnPeerVersions(now, from, *ack, random);
    } else {
      const auto request = DecodePeerMessage<PingRequest>(bytes, header, out);
      if (!request)
        return;
      this->members.WithLock([&](MemberTable& table) {
        table.OnPingRequest(now, from, *request, out);
      });
    }
    this->PublishMembers(now);
  }

  /** Handles a pushed delta of a document. */
  void OnDocumentPush(TimePoint now,
                      std::string_view bytes,
                      const DatagramHeader& header,
                      RandomEngine& random,
                      Output& out) {
    const auto push = DecodePeerMessage<DocumentPush>(bytes, header, out);
    if (!push)
      return;
    const std::vector<Endpoint> peers = this->DocumentPeerEndpoints();
    this->WithDocumentStore(push->kind, [&](auto& store) {
      store.OnPush(now, *push, peers, random, out);
    });
    this->PublishDocuments(now);
  }

  /** @param request Message of a peer that fetches a document.
   * @return The answer; no value if the request is invalid or there is nothing
   * newer than the peer has. */
  std::optional<FetchAnswer> AnswerFetch(std::string_view request) {
    const auto fetch = DecodeWhole<DocumentFetch>(request);
    if (!fetch)
      return std::nullopt;
    std::optional<FetchAnswer> answer;
    this->WithDocumentStore(fetch.value().kind, [&](auto& store) {
      answer = store.AnswerFetch(fetch.value().have);
    });
    return answer;
  }

  /**
   * Handles the end of a fetch.
   * @param kind PeerFetch::kind of the fetch.
   * @param header The encoded DocumentAnswer; empty if the fetch failed.
   * @param content Content that followed the header.
   */
  void OnFetchEnded(TimePoint now,
                    uint8_t kind,
                    std::string_view header,
                    std::string_view content,
                    RandomEngine& random,
                    Output& out) {
    const auto answer = DecodeWhole<DocumentAnswer>(header);
    if (!answer || answer.value().kind != kind) {
      if (!header.empty())
        ReportDrop(ResultCode::kGarbage, "peer", out);
      this->WithDocumentStore(
          kind, [&](auto& store) { store.OnFetchFailed(now, random); });
      return;
    }
    const std::vector<Endpoint> peers = this->DocumentPeerEndpoints();
    this->WithDocumentStore(kind, [&](auto& store) {
      store.OnFetched(now, answer.value(), content, peers, random, out);
    });
    this->PublishDocuments(now);
  }

  /** Begins the graceful shutdown: refuses new non-idempotent requests and
   * announces the stop to the peers. */
  void BeginStop(TimePoint now, Output& out) {
    this->blackboard.Update(
        &BlackboardView::self,
        [](const BlackboardView&, SelfState& self) { self.stopping = true; },
        BlackboardSource::kOperator, now);
    this->members.WithLock(
        [&](MemberTable& table) { table.AnnounceLeaving(out); });
  }

  /** Ends the graceful shutdown: this balancer stops accepting packets.
   * @param no_unfinished_requests Whether no caller waits for an answer; if so,
   * a clean exit is announced to the peers. */
  void EndStop(TimePoint now, bool no_unfinished_requests, Output& out) {
    this->blackboard.Update(
        &BlackboardView::self,
        [](const BlackboardView&, SelfState& self) { self.serving = false; },
        BlackboardSource::kOperator, now);
    if (no_unfinished_requests)
      this->members.WithLock(
          [&](MemberTable& table) { table.AnnounceLeft(out); });
  }

  /** @return Whether an active planned change stops this balancer. */
  bool IsStopPlanned(TimePoint now) const {
    const auto view = this->blackboard.Read();
    const Vm* const vm = FindVm(*view->vms.value, view->self.value->id.vm);
    const PlannedChange* const change =
        vm == nullptr ? nullptr
                      : FindActiveChange(*view->config.value, *vm, now);
    return change != nullptr && change->kind == ChangeKind::kStop;
  }

  /** Replaces the seed peers, which are pinged while no live peer is known. */
  void SetSeedPeers(std::vector<Endpoint> peers) {
    this->seed_peers.WithLock(
        [&](std::vector<Endpoint>& known) { known = std::move(peers); });
  }

  /** Records that this balancer's documents were the newest ones at `at`. */
  void ConfirmDocuments(TimePoint at) {
    this->members.WithLock(
        [at](MemberTable& table) { table.SetDocumentsConfirmedAt(at); });
  }

  /** @return What this balancer knows about its own state, for decisions that
   * need proof. */
  SelfEvidence ReadSelfEvidence(TimePoint now) const {
    SelfEvidence evidence;
    this->members.WithLock([&](const MemberTable& table) {
      evidence.documents_confirmed_at = table.DocumentsConfirmedAt();
    });
    evidence.documents_fresh =
        evidence.documents_confirmed_at +
            this->settings.platform_timing.in_force_within >=
        now;
    return evidence;
  }

  /** @return Whether this balancer should watch the platform: it is one of the
   * watchers of its document group, or its documents have not been confirmed
   * for too long, as in a network partition without a watcher. */
  bool ShouldWatchPlatform(TimePoint now) const {
    const TimePoint confirmed = this->members.WithLock(
        [](const MemberTable& table) { return table.DocumentsConfirmedAt(); });
    if (!this->IsReady() ||
        confirmed + this->settings.platform_timing.in_force_within *
                        kMaxConfirmationAgePercent / 100 <
            now)
      return true;
    return IsWatcher(*this->blackboard.Read()->members.value, this->data_centre,
                     this->settings.id,
                     this->settings.platform_timing.watchers);
  }

  /** @return Whether both documents are active, which serving requires. */
  bool IsReady() const {
    const auto view = this->blackboard.Read();
    return view->config.source != BlackboardSource::kNone &&
           view->vms.source != BlackboardSource::kNone;
  }

 private:
  /** Maximum age of the last confirmation, in percent of
   * PlatformTiming::in_force_within. The rest of that time is for reading the
   * platform itself. */
  static constexpr int kMaxConfirmationAgePercent = 70;
  /** Time between pings of the seed peers before this balancer serves. */
  static constexpr Milliseconds kSeedPingInterval{200};
  /** Time between pings of the seed peers while this balancer serves alone. */
  static constexpr Milliseconds kIsolatedPingInterval{1000};
  static VmInstance SelfInstance(const Settings& settings) {
    return {settings.id, settings.incarnation};
  }

  /** Handles the document stamps in a membership message. */
  template <class Message>
  void OnPeerVersions(TimePoint now,
                      const Endpoint& from,
                      const Message& message,
                      RandomEngine& random) {
    const DocumentSource source = this->SourceOf(from, message.from);
    const DocumentVersions& versions = message.versions;
    this->ApplyPeerConfirmation(now, versions,
                                message.confirmed_age_ms_plus_one);
    this->config.WithLock([&](auto& store) {
      store.OnPeerStamp(now, source, versions.config, random);
    });
    this->vms.WithLock([&](auto& store) {
      store.OnPeerStamp(now, source, versions.vms, random);
    });
  }

  /** Confirms this balancer's documents if a peer with the same documents has
   * had its documents confirmed as the newest ones. */
  void ApplyPeerConfirmation(TimePoint now,
                             const DocumentVersions& versions,
                             uint32_t confirmed_age_ms_plus_one) {
    if (confirmed_age_ms_plus_one == 0 || versions != this->Versions())
      return;
    this->members.WithLock([&](MemberTable& table) {
      table.SetDocumentsConfirmedAt(
          now - Milliseconds(confirmed_age_ms_plus_one - 1));
    });
  }

  DocumentVersions Versions() const {
    const auto stamp = [](const auto& store) { return store.Stamp(); };
    return {this->config.WithLock(stamp), this->vms.WithLock(stamp)};
  }

  template <class Function>
  void WithDocumentStore(uint8_t kind, Function function) {
    if (kind == static_cast<uint8_t>(DocumentKind::kConfig))
      this->config.WithLock(function);
    else if (kind == static_cast<uint8_t>(DocumentKind::kVmList))
      this->vms.WithLock(function);
  }

  std::vector<Endpoint> DocumentPeerEndpoints() const {
    return this->peers.Endpoints(this->blackboard.Read()->members.value);
  }

  DocumentSource SourceOf(const Endpoint& from,
                          const MemberInfo& sender) const {
    return this->peers.SourceOf(this->blackboard.Read()->members.value, from,
                                sender);
  }

  /** Writes a document to the blackboard if it has changed. The caller holds
   * the lock of the store, so that an older document never overwrites a newer
   * one. */
  template <class Store, class Value>
  void PublishDocument(Store& store,
                       BlackboardEntry<Value> BlackboardView::*entry,
                       TimePoint now) {
    const std::shared_ptr<const Value> current = store.Current();
    if (current == nullptr ||
        current == ((*this->blackboard.Read()).*entry).value)
      return;
    this->blackboard.Write(entry, current, BlackboardSource::kDocuments, now);
    this->documents_changed = true;
  }

  /** Writes the documents to the blackboard and passes their stamps to the
   * membership gossip. */
  void PublishDocuments(TimePoint now) {
    DocumentVersions versions;
    this->config.WithLock([&](auto& store) {
      this->PublishDocument(store, &BlackboardView::config, now);
      versions.config = store.Stamp();
    });
    this->vms.WithLock([&](auto& store) {
      this->PublishDocument(store, &BlackboardView::vms, now);
      versions.vms = store.Stamp();
    });
    const auto view = this->blackboard.Read();
    this->members.WithLock([&](MemberTable& table) {
      if (this->last_applied_vm_list != view->vms.value)
        table.AddFromVmList(*view->vms.value, now);
      this->last_applied_vm_list = view->vms.value;
      table.SetVersions(versions, NewestKey(*view->config.value));
    });
    this->PublishMembers(now);
    this->RefreshIssueKey(now);
  }

  /** Writes the members to the blackboard if they have changed. */
  void PublishMembers(TimePoint now) {
    const bool changed = this->members.WithLock([&](const MemberTable& table) {
      if (table.ViewRevision() == this->published_view_revision)
        return false;
      this->published_view_revision = table.ViewRevision();
      this->blackboard.Write(&BlackboardView::members,
                             std::make_shared<const MemberView>(table.View()),
                             BlackboardSource::kMembership, now);
      const Incarnation last_clean_exit = table.Self().last_clean_exit;
      const Incarnation incarnation = table.Self().id.incarnation;
      this->blackboard.Update(
          &BlackboardView::self,
          [last_clean_exit, incarnation](const BlackboardView&,
                                         SelfState& self) {
            self.last_clean_exit = last_clean_exit;
            self.id.incarnation = incarnation;
          },
          BlackboardSource::kMembership, now);
      return true;
    });
    if (changed)
      this->RefreshIssueKey(now);
  }

  /** Chooses the key of new tokens after a change of keys or members. */
  void RefreshIssueKey(TimePoint now) {
    this->blackboard.Update(
        &BlackboardView::self,
        [](const BlackboardView& view, SelfState& self) {
          self.issue_key = IssueKey(*view.config.value, *view.members.value);
        },
        BlackboardSource::kMembership, now);
  }

  std::vector<Endpoint> SeedPeers() const {
    return this->seed_peers.WithLock([](const auto& peers) { return peers; });
  }

  /** @return Time from readiness until this balancer serves. */
  Milliseconds DelayBeforeServing(const BlackboardView& view) const {
    StartupProgress progress;
    progress.knows_peers =
        !view.members.value->members.empty() || !this->SeedPeers().empty();
    const auto is_behind = [](const auto& store) {
      return store.HasNewerPeerDocument();
    };
    progress.is_behind =
        this->config.WithLock(is_behind) || this->vms.WithLock(is_behind);
    progress.heard_all = this->members.WithLock([](const MemberTable& table) {
      return table.HasHeardFromAllMembers();
    });
    return StartupDelay(progress);
  }

  /** Until this balancer serves, pings the seed peers, so that their answers
   * report their document stamps; then starts serving. */
  void AdvanceStartup(TimePoint now, Output& out) {
    const auto view = this->blackboard.Read();
    if (view->self.value->stopping)
      return;
    // If all seed peers were down at the start, the balancer serves alone and
    // keeps pinging them.
    const bool is_isolated = std::ranges::none_of(
        view->members.value->members, [](const MemberInfo& member) {
          return member.State() <= MemberState::kLeaving;
        });
    if (view->self.value->serving && !is_isolated)
      return;
    if (this->next_seed_ping_at <= now) {
      this->next_seed_ping_at =
          now + (view->self.value->serving ? kIsolatedPingInterval
                                           : kSeedPingInterval);
      this->members.WithLock([&](MemberTable& table) {
        table.PingSeedPeers(this->SeedPeers(), out);
      });
    }
    if (view->self.value->serving || !this->IsReady())
      return;
    this->ready_since = std::min(this->ready_since, now);
    if (now < this->ready_since + this->DelayBeforeServing(*view))
      return;
    this->blackboard.Update(
        &BlackboardView::self,
        [](const BlackboardView&, SelfState& self) { self.serving = true; },
        BlackboardSource::kOperator, now);
  }

  const Settings& settings;
  Blackboard<Mutex> blackboard;
  Guarded<MemberTable, Mutex> members;
  const uint64_t data_centre;  ///< Hash of this balancer's data centre.
  Guarded<std::vector<Endpoint>, Mutex> seed_peers;
  DocumentPeers<Mutex> peers;  ///< Members that share documents.
  Guarded<DocumentStore<ConfigDocument>, Mutex> config;
  Guarded<DocumentStore<VmListDocument>, Mutex> vms;
  /** View revision last written to the blackboard; guarded by the lock of
   * `members`. */
  uint64_t published_view_revision = 0;
  /** Last list of VMs passed to `members`, null before the first; guarded by
   * the lock of `members`. */
  std::shared_ptr<const VmList> last_applied_vm_list;
  /** Whether a document has changed since ConsumeDocumentsChanged(). */
  std::atomic<bool> documents_changed = true;
  /** Time of the next pings to seed peers; accessed only by the thread that
   * calls Tick. */
  TimePoint next_seed_ping_at;
  /** Time at which both documents were first seen active, kNever before;
   * accessed only by the thread that calls Tick. */
  TimePoint ready_since = kNever;
};

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_CONTROL_BASE_H_
