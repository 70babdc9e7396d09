/** @file placement_base.h Chooses backend servers from what this balancer saw
 * itself, then from what they report. */

#ifndef CUMINVANE_PLACEMENT_PLACEMENT_BASE_H_
#define CUMINVANE_PLACEMENT_PLACEMENT_BASE_H_

#include <map>
#include <vector>

#include "base/rendezvous_func.h"
#include "base/result_type.h"
#include "document/config_func.h"
#include "document/vmlist_func.h"
#include "placement/placement_type.h"

namespace cuminvane {

/**
 * The backend servers of all services and the choice among them.
 * @tparam Policy How new flows are spread.
 */
template <PlacementPolicy Policy>
class PlacementTable {
 public:
  /** Takes over the platform's list and the planned changes that hold now. */
  void Sync(const VmList& list, const Config& config, TimePoint now) {
    const bool first = this->backends.empty();
    std::map<VmId, BackendState> next;
    for (const Vm& vm : list.vms) {
      if (vm.role != VmRole::kBackend)
        continue;
      const auto known = this->backends.find(vm.id);
      // The list lags: the backend server itself may have told a later
      // incarnation.
      const bool same = known != this->backends.end() &&
                        known->second.incarnation >= vm.incarnation;
      BackendState state =
          same ? known->second
               : this->MakeNewBackend(vm, first ? now : now + kWarmUpTime);
      state.address = vm.address;
      state.service = vm.service;
      state.leaving = vm.leaving ||
                      FindActiveChange(config, vm, now) != nullptr ||
                      !IsAllowedDataCentre(config, vm);
      next.emplace(vm.id, state);
    }
    this->backends = std::move(next);
  }

  /** @return A backend server for a new flow, or kNoBackend. */
  Result<BackendChoice> ChooseForFlow(ServiceId service,
                                      TimePoint now,
                                      RandomEngine& random) {
    std::vector<BackendState*> candidates =
        this->FindCandidates(service, VmId{}, now);
    if (candidates.empty())
      return Error{ResultCode::kNoBackend, "no backend server takes flows"};
    BackendState& chosen = *candidates[Policy::Pick(candidates, random)];
    chosen.placed_flows += 1 / WarmUpShare(chosen, now);
    return MakeChoice(chosen, "least_placed");
  }

  /**
   * @param service The service of the flow.
   * @param preferred The backend server chosen when the flow opened.
   * @param flow The flow; its requests stay together when the preferred one is
   * gone.
   * @param now The present time.
   * @return A backend server for a request, or kNoBackend.
   */
  Result<BackendChoice> ChooseForRequest(ServiceId service,
                                         const VmInstance& preferred,
                                         FlowId flow,
                                         TimePoint now) {
    const auto known = this->backends.find(preferred.vm);
    const bool usable =
        known != this->backends.end() && known->second.service == service &&
        AcceptsWork(known->second, now) && known->second.ejected_until <= now;
    if (usable)
      return MakeChoice(known->second, "flow");
    return this->ChooseByRendezvous(service, VmId{}, flow, now);
  }

  /**
   * @param attempt Subscriptions in a row that the backend server did not
   * answer.
   * @return A backend server for a feed, the same at every balancer, or
   * kNoBackend.
   */
  Result<BackendChoice> ChooseForFeed(ServiceId service,
                                      const VmInstance& preferred,
                                      FlowId flow,
                                      uint32_t attempt,
                                      TimePoint now) {
    if (attempt < kMaxFeedAttempts)
      return this->ChooseForRequest(service, preferred, flow, now);
    return this->ChooseByRendezvous(service, preferred.vm, flow, now);
  }

  /**
   * @param last The backend server tried last.
   * @param may_return Whether that one may be tried again where there is no
   * other: it did not refuse, it never heard.
   * @return A backend server for a request that was not run, or kNoBackend.
   */
  Result<BackendChoice> ChooseForRetry(ServiceId service,
                                       VmId last,
                                       bool may_return,
                                       TimePoint now,
                                       RandomEngine& random) {
    std::vector<BackendState*> candidates =
        this->FindCandidates(service, last, now);
    if (candidates.empty() && may_return)
      candidates = this->FindCandidates(service, VmId{}, now);
    if (candidates.empty())
      return Error{ResultCode::kNoBackend,
                   "no other backend server takes requests"};
    return MakeChoice(*candidates[PowerOfTwoChoices::Pick(candidates, random)],
                      "retry");
  }

  /** @return The address of a backend server, none where it is not known any
   * more. */
  Endpoint AddressOf(VmId vm) const {
    const auto known = this->backends.find(vm);
    return known == this->backends.end() ? Endpoint{} : known->second.address;
  }

  /** Counts a run that was sent. */
  void OnRunSent(VmId vm) {
    if (BackendState* const state = this->Find(vm))
      ++state->outstanding;
  }

  /** Takes note of how a run ended. */
  void OnEnded(TimePoint now, VmId vm, RunOutcome end) {
    BackendState* const state = this->Find(vm);
    if (state == nullptr)
      return;
    state->outstanding = std::max(0, state->outstanding - 1);
    if (end != RunOutcome::kTimedOut)
      return;
    ++state->consecutive_timeouts;
    if (state->consecutive_timeouts >= kTimeoutsToEject) {
      const int doublings =
          std::min(state->consecutive_timeouts - kTimeoutsToEject,
                   kMaxEjectionDoublings);
      state->ejected_until = now + kBaseEjectionTime * (1 << doublings);
    }
  }

  /** Takes note of what a backend server says of itself; that it speaks at all
   * clears its silences. */
  void OnLoadReport(TimePoint now, VmId vm, const LoadReport& report) {
    BackendState* const state = this->Find(vm);
    if (state == nullptr)
      return;
    if (report.incarnation > state->incarnation) {
      state->incarnation = report.incarnation;
      state->outstanding = 0;
      state->warm_at = now + kWarmUpTime;
    }
    state->consecutive_timeouts = 0;
    state->ejected_until = {};
    state->report = report;
    state->draining_until =
        report.draining ? now + kDrainingReportLifetime : TimePoint{};
  }

  /** @return All backend servers by VM. */
  const std::map<VmId, BackendState>& Backends() const {
    return this->backends;
  }

 private:
  /** Time in which a cold backend server's share grows to a full one. */
  static constexpr Seconds kWarmUpTime{10};
  static constexpr double kMinWarmUpShare = 0.1;
  /** Unanswered subscriptions after which a feed goes to another. */
  static constexpr uint32_t kMaxFeedAttempts = 2;
  static constexpr int kTimeoutsToEject = 2;
  static constexpr int kMaxEjectionDoublings = 4;
  static constexpr Milliseconds kBaseEjectionTime{500};
  /** A draining backend server gets no work and so can't tell that it has
   * stopped draining; then it is tried again. */
  static constexpr Seconds kDrainingReportLifetime{10};

  static bool IsAllowedDataCentre(const Config& config, const Vm& vm) {
    const Service* const service = FindService(config, vm.service);
    return service != nullptr &&
           (service->data_centres.empty() ||
            std::ranges::find(service->data_centres, vm.data_centre) !=
                service->data_centres.end());
  }

  static bool AcceptsWork(const BackendState& state, TimePoint now) {
    return !state.leaving && state.draining_until <= now;
  }

  static double WarmUpShare(const BackendState& state, TimePoint now) {
    if (state.warm_at <= now)
      return 1;
    const double left = std::chrono::duration<double>(state.warm_at - now) /
                        std::chrono::duration<double>(kWarmUpTime);
    return std::max(kMinWarmUpShare, 1 - left);
  }

  static BackendChoice MakeChoice(const BackendState& state,
                                  const char* reason) {
    return {state.vm, state.incarnation, state.address, reason};
  }

  /** A newcomer starts level with the others: counted from zero it would get
   * every new flow. */
  BackendState MakeNewBackend(const Vm& vm, TimePoint warm_at) const {
    BackendState state;
    state.vm = vm.id;
    state.incarnation = vm.incarnation;
    state.warm_at = warm_at;
    double sum = 0;
    int peers = 0;
    for (const auto& [id, other] : this->backends) {
      if (other.service != vm.service || other.leaving)
        continue;
      sum += other.placed_flows;
      ++peers;
    }
    state.placed_flows = peers == 0 ? 0 : sum / peers;
    return state;
  }

  /** Those that take work and answer; where none answers, those that take work.
   */
  std::vector<BackendState*> FindCandidates(ServiceId service,
                                            VmId excluded,
                                            TimePoint now) {
    std::vector<BackendState*> answering;
    std::vector<BackendState*> silent;
    for (auto& [vm, state] : this->backends) {
      if (state.service != service || vm == excluded ||
          !AcceptsWork(state, now))
        continue;
      (state.ejected_until <= now ? answering : silent).push_back(&state);
    }
    return answering.empty() ? silent : answering;
  }

  Result<BackendChoice> ChooseByRendezvous(ServiceId service,
                                           VmId excluded,
                                           FlowId flow,
                                           TimePoint now) {
    const std::vector<BackendState*> candidates =
        this->FindCandidates(service, excluded, now);
    if (candidates.empty())
      return Error{ResultCode::kNoBackend, "no backend server takes requests"};
    const auto score = [flow](const BackendState* state) {
      return RendezvousScore(flow.value, state->vm.value);
    };
    return MakeChoice(**std::ranges::max_element(candidates, {}, score),
                      "flow_moved");
  }

  BackendState* Find(VmId vm) {
    const auto known = this->backends.find(vm);
    return known == this->backends.end() ? nullptr : &known->second;
  }

  std::map<VmId, BackendState> backends;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PLACEMENT_PLACEMENT_BASE_H_
