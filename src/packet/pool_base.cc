/** @file pool_base.cc The backend servers of opaque flows. */

#include "packet/pool_base.h"

#include <algorithm>
#include <array>

#include "document/config_func.h"
#include "member/member_type.h"
#include "packet/packet_func.h"

namespace cuminvane {
namespace {

/** Connections tried in one check: a lost datagram is no proof. */
constexpr int kCheckAttempts = 3;
/** Checks begun at once where a whole data centre is suspected. */
constexpr int kDataCentreChecks = 32;
/** Losses further apart than this are not one story. */
constexpr Seconds kFlapMemory{20};
constexpr int kMostDoublings = 3;
/** A start that left the list is kept for its flows: PoolMember::gone_at. */
constexpr Seconds kGoneMemory{60};
/** A tick this late means that this process was held up itself, and that what
 * it finds silent may have answered. */
constexpr Milliseconds kHeldUp{60};
/** Weight of the newest answer in the moving average. */
constexpr double kAnswerWeight = 0.1;
/** Answers slower than this many times the usual ones make a server slow. */
constexpr double kSlowFactor = 2.0;
/** A cold backend server's share of new flows. */
constexpr double kColdShare = 0.5;
/** Busy share of the near slots up to which flows stay near, and from which on
 * nearness does not count; between them the chance falls evenly. */
constexpr double kStayNear = 0.5;
constexpr double kSpreadAll = 0.8;
constexpr Milliseconds kUseInterval{100};
/** Weight of the newest sample of the busy share; a second's memory. */
constexpr double kUseWeight = 0.1;
/** Silent backend servers, of those that have flows, that make an isolation. */
constexpr double kIsolatedShare = 0.8;
constexpr int kIsolatedLeast = 3;

constexpr std::array<const char*, 4> kReachWords = {"reachable", "suspect",
                                                    "unreachable", "refusing"};
constexpr std::array<const char*, 6> kEvidenceWords = {
    "repeat", "late_answer", "late_open", "peer", "data_centre", "recheck"};

/** How old the last sign of life was when the suspicion began. */
Microseconds AgeOf(const Liveness& liveness) {
  return liveness.alive_at == TimePoint{}
             ? Microseconds(0)
             : std::max(Microseconds(0),
                        liveness.suspected_at - liveness.alive_at);
}

bool IsOut(const PoolMember& member) {
  return member.liveness.reach == Reach::kUnreachable ||
         member.liveness.reach == Reach::kRefusing;
}

}  // namespace

const char* ToString(Reach reach) {
  return kReachWords.at(static_cast<size_t>(reach));
}

const char* ToString(Evidence evidence) {
  return kEvidenceWords.at(static_cast<size_t>(evidence));
}

BackendPool::BackendPool(std::string_view data_centre, const FlowLimits& limits)
    : data_centre(DataCentreIdOf(data_centre)), limits(limits) {}

std::vector<VmId> BackendPool::Sync(const VmList& list,
                                    const Config& config,
                                    TimePoint now) {
  std::vector<VmId> restarted;
  for (auto& [vm, member] : this->members) {
    if (member.gone_at == kNever)
      member.gone_at = now;
  }
  for (const Vm& vm : list.vms) {
    if (vm.role != VmRole::kBackend)
      continue;
    const auto [place, is_new] = this->members.try_emplace(vm.id);
    PoolMember& member = place->second;
    if (!is_new && member.incarnation != vm.incarnation)
      restarted.push_back(vm.id);
    if (member.incarnation != vm.incarnation)
      member.warm_at = now + vm.cold;
    member.tag = TagOf(vm.id);
    member.vm = vm.id;
    member.incarnation = vm.incarnation;
    member.address = vm.address;
    member.service = vm.service;
    member.data_centre = DataCentreIdOf(vm.data_centre);
    member.near = member.data_centre == this->data_centre;
    member.leaving = vm.leaving || FindChange(config, vm, now) != nullptr;
    member.slots = std::max<int64_t>(1, vm.slots);
    member.gone_at = kNever;
  }
  this->Index();
  return restarted;
}

void BackendPool::Index() {
  this->by_tag.clear();
  // Of starts with one tag the oldest has flows already, so it keeps the tag.
  for (auto& [vm, member] : this->members) {
    member.shadowed = false;
    const auto [place, is_new] = this->by_tag.emplace(member.tag.value, vm);
    if (is_new)
      continue;
    PoolMember& other = this->members.at(place->second);
    const auto age = [](const PoolMember& one) {
      return std::pair(one.incarnation, one.vm);
    };
    PoolMember& younger = age(member) < age(other) ? other : member;
    younger.shadowed = true;
    if (&younger == &other)
      place->second = vm;
  }
}

PoolMember* BackendPool::Find(VmId vm) {
  const auto member = this->members.find(vm);
  return member == this->members.end() ? nullptr : &member->second;
}

PoolMember* BackendPool::FindTag(FlowTag tag) {
  const auto vm = this->by_tag.find(tag.value);
  return vm == this->by_tag.end() ? nullptr : this->Find(vm->second);
}

bool BackendPool::TakesFlows(const PoolMember& member, TimePoint now) const {
  if (member.leaving || member.shadowed)
    return false;
  // An entry that lapses while the platform is away is back soon, if the
  // backend server lives; its flows tell that.
  return member.gone_at == kNever ||
         (member.gone_at + this->limits.vanish_grace > now &&
          member.liveness.alive_at > member.gone_at);
}

bool BackendPool::IsTrusted(const PoolMember& member, TimePoint now) const {
  return member.liveness.reach == Reach::kReachable &&
         member.liveness.trusted_at <= now;
}

std::vector<PoolMember*> BackendPool::Candidates(ServiceId service,
                                                 VmId avoided,
                                                 TimePoint now) {
  std::vector<PoolMember*> trusted;
  std::vector<PoolMember*> suspects;
  std::vector<PoolMember*> others;
  for (auto& [vm, member] : this->members) {
    if (member.service != service || !this->TakesFlows(member, now))
      continue;
    if (vm != avoided && this->IsTrusted(member, now))
      trusted.push_back(&member);
    else if (!IsOut(member))
      suspects.push_back(&member);
    else
      others.push_back(&member);
  }
  if (!trusted.empty())
    return trusted;
  return suspects.empty() ? others : suspects;
}

double BackendPool::Load(const PoolMember& member,
                         double usual_ms,
                         TimePoint now) const {
  double room = static_cast<double>(member.slots);
  if (member.warm_at > now)
    room *= kColdShare;
  if (usual_ms > 0 && member.answer_ms > kSlowFactor * usual_ms)
    room *= usual_ms / member.answer_ms;
  return (member.flows + member.waiting + 1) / room;
}

PoolMember* BackendPool::LeastLoaded(const std::vector<PoolMember*>& candidates,
                                     TimePoint now,
                                     RandomEngine& random) const {
  double sum_ms = 0;
  int measured = 0;
  for (const PoolMember* const member : candidates) {
    sum_ms += member->answer_ms;
    measured += member->answer_ms > 0 ? 1 : 0;
  }
  const double usual_ms = measured == 0 ? 0 : sum_ms / measured;
  // Starting anywhere spreads ties over the balancers.
  const size_t start = DrawIndex(random, candidates.size());
  PoolMember* best = nullptr;
  double best_load = 0;
  for (size_t step = 0; step < candidates.size(); ++step) {
    PoolMember* const member = candidates[(start + step) % candidates.size()];
    const double load = this->Load(*member, usual_ms, now);
    if (best != nullptr && load >= best_load)
      continue;
    best = member;
    best_load = load;
  }
  return best;
}

bool BackendPool::StaysNear(ServiceId service, RandomEngine& random) const {
  const auto use = this->near_use.find(service);
  const double busy = use == this->near_use.end() ? 0 : use->second;
  const double chance = (kSpreadAll - busy) / (kSpreadAll - kStayNear);
  return std::uniform_real_distribution<double>(0, 1)(random) < chance;
}

PoolChoice BackendPool::Choose(ServiceId service,
                               VmId avoided,
                               int64_t depth,
                               TimePoint now,
                               RandomEngine& random) {
  const std::vector<PoolMember*> all = this->Candidates(service, avoided, now);
  if (all.empty())
    return {};
  std::vector<PoolMember*> near;
  std::ranges::copy_if(all, std::back_inserter(near),
                       [](const PoolMember* one) { return one->near; });
  if (!near.empty() && this->StaysNear(service, random)) {
    PoolMember* const best = this->LeastLoaded(near, now, random);
    if (!IsFull(*best, depth))
      return {best, "near"};
  }
  return {this->LeastLoaded(all, now, random), "least_loaded"};
}

void BackendPool::OnAlive(PoolMember& member,
                          TimePoint now,
                          PacketOutput& out) {
  member.liveness.alive_at = now;
  if (member.liveness.reach == Reach::kSuspect)
    this->SetReach(member, Reach::kReachable, "flow_answered", out);
}

void BackendPool::OnHandshake(PoolMember& member,
                              TimePoint placed_at,
                              TimePoint now,
                              PacketOutput& out) {
  this->OnAlive(member, now, out);
  if (IsOut(member) && placed_at > member.liveness.lost_at)
    this->ComeBack(member, "flow_opened", now, out);
}

void BackendPool::ComeBack(PoolMember& member,
                           const char* reason,
                           TimePoint now,
                           PacketOutput& out) {
  Liveness& liveness = member.liveness;
  if (IsOut(member)) {
    const int doublings = std::min(liveness.losses - 1, kMostDoublings);
    liveness.trusted_at =
        now + this->limits.distrust * (1 << std::max(0, doublings));
  }
  this->SetReach(member, Reach::kReachable, reason, out);
}

bool BackendPool::IsFull(const PoolMember& member, int64_t depth) {
  return depth > 0 && !IsOut(member) && member.waiting >= depth * member.slots;
}

void BackendPool::OnAnswer(PoolMember& member, Microseconds time) {
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  member.answer_ms =
      member.answer_ms == 0
          ? ms
          : member.answer_ms + kAnswerWeight * (ms - member.answer_ms);
}

void BackendPool::OnEvidence(PoolMember& member,
                             Evidence evidence,
                             TimePoint since,
                             TimePoint now,
                             PacketOutput& out) {
  const Liveness& liveness = member.liveness;
  if (liveness.reach != Reach::kReachable || liveness.alive_at > since ||
      liveness.next_check_at > now || member.gone_at != kNever)
    return;
  this->SetReach(member, Reach::kSuspect, ToString(evidence), out);
  this->BeginCheck(member, evidence, now, out);
}

void BackendPool::BeginCheck(PoolMember& member,
                             Evidence evidence,
                             TimePoint now,
                             PacketOutput& out) {
  member.liveness.checking = true;
  member.liveness.evidence = evidence;
  member.liveness.suspected_at = now;
  member.liveness.next_check_at = now + this->limits.check_pause;
  out.checks.push_back({member.vm, member.address,
                        evidence == Evidence::kRecheck ? 1 : kCheckAttempts,
                        now + this->limits.check_wait});
}

bool BackendPool::OnCheck(VmId vm,
                          CheckResult result,
                          TimePoint now,
                          PacketOutput& out) {
  PoolMember* const member = this->Find(vm);
  if (member == nullptr || !member->liveness.checking)
    return false;
  Liveness& liveness = member->liveness;
  liveness.checking = false;
  if (result == CheckResult::kAnswered) {
    liveness.alive_at = now;
    if (liveness.reach == Reach::kReachable)
      return false;
    this->ComeBack(*member, "check_answered", now, out);
    return false;
  }
  if (IsOut(*member)) {
    liveness.next_check_at = now + this->limits.recheck;
    return false;
  }
  if (liveness.reach == Reach::kReachable)
    return false;  // An answer on one of its flows came first.
  const bool contradicted = liveness.alive_at > liveness.suspected_at;
  const bool doubtful =
      result == CheckResult::kSilent && this->late_at >= liveness.suspected_at;
  if (contradicted || doubtful) {
    this->SetReach(*member, Reach::kReachable,
                   contradicted ? "flow_answered" : "held_up", out);
    return false;
  }
  liveness.losses =
      liveness.lost_at + kFlapMemory > now ? liveness.losses + 1 : 1;
  liveness.lost_at = now;
  liveness.next_check_at = now + this->limits.recheck;
  const bool silent = result == CheckResult::kSilent;
  this->SetReach(*member, silent ? Reach::kUnreachable : Reach::kRefusing,
                 silent ? "check_silent" : "check_refused", out);
  if (silent)
    this->SuspectDataCentre(*member, now, out);
  return true;
}

void BackendPool::SuspectDataCentre(const PoolMember& lost,
                                    TimePoint now,
                                    PacketOutput& out) {
  int begun = 0;
  for (auto& [vm, member] : this->members) {
    const bool quiet = member.data_centre == lost.data_centre &&
                       member.flows > 0 &&
                       member.liveness.reach == Reach::kReachable &&
                       member.liveness.alive_at < lost.liveness.suspected_at;
    if (!quiet || begun == kDataCentreChecks)
      continue;
    this->OnEvidence(member, Evidence::kDataCentre, now, now, out);
    ++begun;
  }
}

void BackendPool::SetReach(PoolMember& member,
                           Reach reach,
                           const char* reason,
                           PacketOutput& out) {
  member.liveness.reach = reach;
  Decision decision;
  decision.topic = Topic::kReach;
  decision.severity = reach == Reach::kUnreachable || reach == Reach::kRefusing
                          ? Severity::kWarning
                          : Severity::kInfo;
  decision.event = ToString(reach);
  decision.reason = reason;
  decision.vm = member.vm;
  decision.count = member.flows;
  decision.age = AgeOf(member.liveness);
  out.common.decisions.push_back(decision);
}

void BackendPool::Tick(TimePoint now, int near_balancers, PacketOutput& out) {
  if (this->ticked_at != TimePoint{} && now - this->ticked_at > kHeldUp)
    this->late_at = now;
  this->ticked_at = now;
  if (now < this->next_use_at)
    return;
  this->next_use_at = now + kUseInterval;
  this->UpdateUse(now, near_balancers);
  this->UpdateIsolation();
  for (auto& [vm, member] : this->members) {
    const bool due = IsOut(member) && !member.liveness.checking &&
                     member.liveness.next_check_at <= now &&
                     member.gone_at == kNever;
    if (due)
      this->BeginCheck(member, Evidence::kRecheck, now, out);
  }
  const size_t erased = std::erase_if(this->members, [now](const auto& item) {
    return item.second.gone_at != kNever &&
           item.second.gone_at + kGoneMemory <= now;
  });
  if (erased != 0)
    this->Index();
}

void BackendPool::UpdateUse(TimePoint now, int near_balancers) {
  struct Use {
    double waiting = 0;
    double slots = 0;
  };
  std::map<ServiceId, Use> uses;
  for (const auto& [vm, member] : this->members) {
    if (!member.near || IsOut(member) || !this->TakesFlows(member, now))
      continue;
    uses[member.service].waiting += member.waiting;
    uses[member.service].slots += static_cast<double>(member.slots);
  }
  for (const auto& [service, use] : uses) {
    double& known = this->near_use[service];
    // Balancers of one data centre see alike parts of its flows.
    const double busy = use.waiting * near_balancers / use.slots;
    known += kUseWeight * (busy - known);
  }
}

void BackendPool::UpdateIsolation() {
  int silent = 0;
  int concerned = 0;
  for (const auto& [vm, member] : this->members) {
    if (member.gone_at != kNever || (member.flows == 0 && !IsOut(member)))
      continue;
    ++concerned;
    const bool lost = member.liveness.reach == Reach::kUnreachable;
    const bool quiet = member.liveness.reach == Reach::kSuspect;
    silent += lost || quiet ? 1 : 0;
  }
  this->isolated =
      silent >= kIsolatedLeast && silent > kIsolatedShare * concerned;
}

}  // namespace cuminvane
