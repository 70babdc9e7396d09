/** @file control_base.h What balancers agree on without a coordinator:
 * membership, documents, the key in use. */

#ifndef CUMINVANE_MEMBER_CONTROL_BASE_H_
#define CUMINVANE_MEMBER_CONTROL_BASE_H_

#include <atomic>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "base/rendezvous_func.h"
#include "decision/drop_func.h"
#include "document/document_base.h"
#include "member/blackboard_base.h"
#include "member/member_base.h"
#include "message/message_func.h"

namespace cuminvane {

/**
 * Keeps the blackboard: documents, members and how this process stands.
 *
 * Any thread may call in. Membership and each document are behind their own
 * lock; what changes is written to the board while that lock is held, so that
 * no older state comes after a newer one.
 *
 * @tparam Mutex Lock of every part.
 */
template <Lockable Mutex>
class ControlPlane {
 public:
  /** @param settings Must outlive this; its incarnation must be set. */
  explicit ControlPlane(const Settings& settings)
      : settings(settings),
        members(MakeSelf(settings), settings.membership),
        seed_peers(settings.seed_peers) {
    SelfState self;
    self.id = SelfHolder(settings);
    this->blackboard.Write(&BlackboardView::self,
                           std::make_shared<const SelfState>(self),
                           BlackboardSource::kOperator, TimePoint{});
  }

  /** @return Every belief of this balancer. */
  std::shared_ptr<const BlackboardView> ReadBlackboard() const {
    return this->blackboard.Read();
  }

  /** @return Whether a document has changed since the last call. */
  bool ConsumeDocumentsChanged() {
    return this->documents_changed.exchange(false);
  }

  /**
   * Takes a document that was read from the platform.
   * @return As DocumentStore::Offer.
   */
  Result<void> OfferDocument(TimePoint now,
                             DocumentKind kind,
                             std::string_view text,
                             RandomEngine& random,
                             Output& out) {
    const std::vector<Endpoint> peers = this->PeerEndpoints();
    Result<void> result = kind == DocumentKind::kConfig
                              ? this->config.WithLock([&](auto& store) {
                                  return store.Offer(text, peers, random, out);
                                })
                              : this->vms.WithLock([&](auto& store) {
                                  return store.Offer(text, peers, random, out);
                                });
    this->PublishDocuments(now);
    return result;
  }

  /** Sends due probes, asks again for what did not come, begins to serve. */
  void Tick(TimePoint now, RandomEngine& random, Output& out) {
    this->members.WithLock(
        [&](MemberTable& table) { table.Tick(now, random, out); });
    this->PublishMembers(now);
    this->config.WithLock([&](auto& store) { store.Tick(now, out); });
    this->vms.WithLock([&](auto& store) { store.Tick(now, out); });
    this->AdvanceStartup(now, out);
  }

  /** Handles a heartbeat message; the header tells which. */
  void OnMembershipMessage(TimePoint now,
                           const Endpoint& from,
                           std::string_view bytes,
                           const DatagramHeader& header,
                           Output& out) {
    if (header.type == MessageType::kPing) {
      const Result<Ping> ping = Decode<Ping>(bytes, header);
      if (!ping) {
        ReportDrop(ping.error().code, "peer", out);
        return;
      }
      this->members.WithLock([&](MemberTable& table) {
        table.OnPing(now, from, ping.value(), out);
      });
      this->OnPeerVersions(now, from, ping.value().versions,
                           ping.value().confirmed_age_ms_plus_one, out);
    } else if (header.type == MessageType::kAck) {
      const Result<Ack> ack = Decode<Ack>(bytes, header);
      if (!ack) {
        ReportDrop(ack.error().code, "peer", out);
        return;
      }
      this->members.WithLock(
          [&](MemberTable& table) { table.OnAck(now, ack.value(), out); });
      this->OnPeerVersions(now, from, ack.value().versions,
                           ack.value().confirmed_age_ms_plus_one, out);
    } else {
      const Result<PingRequest> request = Decode<PingRequest>(bytes, header);
      if (!request) {
        ReportDrop(request.error().code, "peer", out);
        return;
      }
      this->members.WithLock([&](MemberTable& table) {
        table.OnPingRequest(now, from, request.value(), out);
      });
    }
    this->PublishMembers(now);
  }

  /** Handles a message that brings or asks for a document; the header tells
   * which. */
  void OnDocumentMessage(TimePoint now,
                         const Endpoint& from,
                         std::string_view bytes,
                         const DatagramHeader& header,
                         RandomEngine& random,
                         Output& out) {
    const std::vector<Endpoint> peers = this->PeerEndpoints();
    bool decoded = false;
    if (header.type == MessageType::kDocumentDelta) {
      const Result<DocumentDelta> delta = Decode<DocumentDelta>(bytes, header);
      decoded = delta.has_value();
      if (decoded)
        this->WithDocumentStore(delta.value().kind, [&](auto& store) {
          store.OnDelta(from, delta.value(), peers, random, out);
        });
    } else if (header.type == MessageType::kDocumentPull) {
      const Result<DocumentPull> pull = Decode<DocumentPull>(bytes, header);
      decoded = pull.has_value();
      if (decoded)
        this->WithDocumentStore(pull.value().kind, [&](auto& store) {
          store.OnPull(from, pull.value(), out);
        });
    } else {
      const Result<DocumentChunk> chunk = Decode<DocumentChunk>(bytes, header);
      decoded = chunk.has_value();
      if (decoded)
        this->WithDocumentStore(chunk.value().kind, [&](auto& store) {
          store.OnChunk(now, from, chunk.value(), peers, random, out);
        });
    }
    if (!decoded)
      ReportDrop(ResultCode::kGarbage, "peer", out);
    this->PublishDocuments(now);
  }

  /** Begins the graceful shutdown: takes no new non-idempotent work, tells the
   * peers. */
  void BeginStop(TimePoint now, Output& out) {
    this->blackboard.Update(
        &BlackboardView::self,
        [](const BlackboardView&, SelfState& self) { self.stopping = true; },
        BlackboardSource::kOperator, now);
    this->members.WithLock(
        [&](MemberTable& table) { table.AnnounceLeaving(out); });
  }

  /** Takes nothing more; tells the peers, where nothing is owed to any caller.
   */
  void EndStop(TimePoint now, bool owes_nothing, Output& out) {
    this->blackboard.Update(
        &BlackboardView::self,
        [](const BlackboardView&, SelfState& self) { self.serving = false; },
        BlackboardSource::kOperator, now);
    if (owes_nothing)
      this->members.WithLock(
          [&](MemberTable& table) { table.AnnounceLeft(out); });
  }

  /** @return Whether a planned change in force asks this balancer to stop. */
  bool IsStopPlanned(TimePoint now) const {
    const auto view = this->blackboard.Read();
    const Vm* const vm = FindVm(*view->vms.value, view->self.value->id.vm);
    if (vm == nullptr)
      return false;
    const PlannedChange* const change =
        FindActiveChange(*view->config.value, *vm, now);
    return change != nullptr && change->kind == ChangeKind::kStop;
  }

  /** Replaces the peers that are asked while no other is known. */
  void SetSeedPeers(std::vector<Endpoint> peers) {
    this->seed_peers.WithLock(
        [&](std::vector<Endpoint>& known) { known = std::move(peers); });
  }

  /** Notes that the documents here were the newest ones at that time. */
  void ConfirmDocuments(TimePoint at) {
    this->members.WithLock(
        [at](MemberTable& table) { table.SetDocumentsConfirmedAt(at); });
  }

  /**
   * @return Whether this balancer should watch the platform: it is one of the
   * few, or the few have not been heard of for too long, as behind a cut.
   */
  bool ShouldWatchPlatform(TimePoint now) const {
    const TimePoint confirmed = this->members.WithLock(
        [](const MemberTable& table) { return table.DocumentsConfirmedAt(); });
    if (!this->IsReady() ||
        confirmed + this->settings.platform_timing.in_force_within *
                        kMaxConfirmationAgePercent / 100 <
            now)
      return true;
    const auto view = this->blackboard.Read();
    const uint64_t own = RendezvousScore(0, this->settings.id.value);
    size_t higher_ranked = 0;
    for (const MemberInfo& member : view->members.value->members) {
      if (member.State() == MemberState::kAlive &&
          RendezvousScore(0, member.id.vm.value) > own)
        ++higher_ranked;
    }
    return higher_ranked < this->settings.platform_timing.watchers;
  }

  /** @return Whether both documents are in force, so that callers can be
   * served. */
  bool IsReady() const {
    const auto view = this->blackboard.Read();
    return view->config.source != BlackboardSource::kNone &&
           view->vms.source != BlackboardSource::kNone;
  }

 private:
  /** Of the time to be in force; the rest is for a read of one's own. */
  static constexpr int kMaxConfirmationAgePercent = 70;
  static constexpr Milliseconds kSeedPingInterval{200};
  static constexpr Milliseconds kIsolatedPingInterval{1000};
  static constexpr Milliseconds kWaitAfterAllMembersHeard{300};
  static constexpr Milliseconds kMaxWaitForPeers{1000};
  /** After this a peer that told of a newer document is taken to be out of
   * reach. */
  static constexpr Milliseconds kMaxWaitForNewerDocuments{10000};

  static VmInstance SelfHolder(const Settings& settings) {
    return {settings.id, settings.incarnation};
  }

  static MemberInfo MakeSelf(const Settings& settings) {
    return MakeMember(SelfHolder(settings), settings.peer,
                      settings.data_centre);
  }

  void OnPeerVersions(TimePoint now,
                      const Endpoint& from,
                      const DocumentVersions& versions,
                      uint32_t confirmed_age_ms_plus_one,
                      Output& out) {
    this->ApplyPeerConfirmation(now, versions, confirmed_age_ms_plus_one);
    this->config.WithLock([&](auto& store) {
      store.OnPeerStamp(now, from, versions.config, out);
    });
    this->vms.WithLock(
        [&](auto& store) { store.OnPeerStamp(now, from, versions.vms, out); });
  }

  /** What a peer knows to be the newest is so here too, where it is the same.
   */
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
    DocumentVersions versions;
    this->config.WithLock(
        [&](const auto& store) { versions.config = store.Stamp(); });
    this->vms.WithLock(
        [&](const auto& store) { versions.vms = store.Stamp(); });
    return versions;
  }

  template <class Function>
  void WithDocumentStore(uint8_t kind, Function function) {
    if (kind == static_cast<uint8_t>(DocumentKind::kConfig))
      this->config.WithLock(function);
    else if (kind == static_cast<uint8_t>(DocumentKind::kVmList))
      this->vms.WithLock(function);
  }

  std::vector<Endpoint> PeerEndpoints() const {
    std::vector<Endpoint> endpoints;
    for (const MemberInfo& member :
         this->blackboard.Read()->members.value->members) {
      if (member.State() <= MemberState::kLeaving)
        endpoints.push_back(member.peer);
    }
    return endpoints;
  }

  /** Writes a document to the board where it has changed; under its lock, so
   * that no older one comes after. */
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

  /** Writes the documents to the board and tells the membership of them. */
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

  static KeyNumber NewestKey(const Config& config) {
    return config.keys.empty() ? KeyNumber{} : config.keys.rbegin()->first;
  }

  /** Writes the members to the board where they have changed. */
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

  void RefreshIssueKey(TimePoint now) {
    this->blackboard.Update(
        &BlackboardView::self,
        [](const BlackboardView& view, SelfState& self) {
          self.issue_key = IssueKey(*view.config.value, *view.members.value);
        },
        BlackboardSource::kMembership, now);
  }

  /** The newest key that every member not known to be gone holds; one that
   * never told is not waited for. */
  static KeyNumber IssueKey(const Config& config, const MemberView& members) {
    KeyNumber limit = NewestKey(config);
    for (const MemberInfo& member : members.members) {
      if (member.State() <= MemberState::kSuspect && member.newest_key != 0)
        limit = std::min(limit, KeyNumber{member.newest_key});
    }
    const auto above = config.keys.upper_bound(limit);
    return above == config.keys.begin() ? NewestKey(config)
                                        : std::prev(above)->first;
  }

  std::vector<Endpoint> SeedPeers() const {
    return this->seed_peers.WithLock([](const auto& peers) { return peers; });
  }

  /** How long after its own documents a starter waits for what peers may have.
   */
  Milliseconds DelayBeforeServing(const BlackboardView& view) const {
    if (view.members.value->members.empty() && this->SeedPeers().empty())
      return Milliseconds(0);
    const bool is_behind = this->config.WithLock([](const auto& store) {
      return store.HasNewerPeerDocument();
    }) || this->vms.WithLock([](const auto& store) {
      return store.HasNewerPeerDocument();
    });
    // Serving with an older document would take back what is in force.
    if (is_behind)
      return kMaxWaitForNewerDocuments;
    // The one peer that has the newest document may be the one whose answer
    // was lost, so a single answer is not enough.
    const bool heard_all = this->members.WithLock([](const MemberTable& table) {
      return table.HasHeardFromAllMembers();
    });
    return heard_all ? kWaitAfterAllMembersHeard : kMaxWaitForPeers;
  }

  /** Until it serves, it asks the first peers, and compares documents with
   * whoever answers. */
  void AdvanceStartup(TimePoint now, Output& out) {
    const auto view = this->blackboard.Read();
    if (view->self.value->stopping)
      return;
    // One whose first peers were all down goes on asking after it serves.
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
  Guarded<std::vector<Endpoint>, Mutex> seed_peers;
  Guarded<DocumentStore<ConfigDocument>, Mutex> config;
  Guarded<DocumentStore<VmListDocument>, Mutex> vms;
  uint64_t published_view_revision = 0;  ///< Under the lock of `members`.
  std::shared_ptr<const VmList>
      last_applied_vm_list;  ///< Under the lock of `members`.
  std::atomic<bool> documents_changed = true;
  TimePoint
      next_seed_ping_at;  ///< Only the thread that calls Tick touches these.
  TimePoint ready_since = kNever;
};

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_CONTROL_BASE_H_
