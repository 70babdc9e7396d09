/** @file placement_base.h Placement of flows and requests on backend servers,
 * by the balancer's own observations first, then by the reports of the backend
 * servers. */

#ifndef CUMINVANE_PLACEMENT_PLACEMENT_BASE_H_
#define CUMINVANE_PLACEMENT_PLACEMENT_BASE_H_

#include <map>
#include <vector>

#include "base/rendezvous_func.h"
#include "base/result_type.h"
#include "document/config_func.h"
#include "document/evacuation_base.h"
#include "document/vmlist_func.h"
#include "placement/placement_type.h"

namespace cuminvane {

/**
 * The backend servers of all services, and the choice among them.
 * @tparam Policy Chooses the backend server of a new flow.
 */
template <PlacementPolicy Policy>
class PlacementTable {
 public:
  /**
   * Updates the backend servers from the platform's list and the configuration.
   * @param now The current time, by which planned changes are active.
   */
  void Sync(const VmList& list, const Config& config, TimePoint now) {
    const bool first = this->backends.empty();
    this->evacuations.Sync(list, now);
    std::map<VmId, BackendState> next;
    for (const Vm& vm : list.vms) {
      if (vm.role != VmRole::kBackend)
        continue;
      const auto known = this->backends.find(vm.id);
      // The list lags: the backend server may have reported a later incarnation
      // itself.
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
      state.evacuated_until = this->evacuations.Until(vm.data_centre);
      next.emplace(vm.id, state);
    }
    this->backends = std::move(next);
  }

  /** @return A backend server for a new flow, or kNoBackend if no backend
   * server of the service accepts work. */
  Result<BackendChoice> ChooseForFlow(ServiceId service,
                                      TimePoint now,
                                      RandomEngine& random) {
    std::vector<BackendState*> candidates =
        this->FindCandidates(service, VmId{}, now);
    if (candidates.empty())
      return Error{ResultCode::kNoBackend,
                   "no backend server of the service accepts new flows"};
    BackendState& chosen = *candidates[Policy::Pick(candidates, random)];
    chosen.placed_flows += 1 / WarmUpShare(chosen, now);
    return MakeChoice(chosen, "least_placed");
  }

  /**
   * @param service The service of the flow.
   * @param preferred The backend server chosen when the flow opened.
   * @param flow The flow; rendezvous hashing by it keeps its requests together
   * if `preferred` is not usable.
   * @param now The current time.
   * @return A backend server for a request, or kNoBackend if no backend server
   * of the service accepts work.
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
   * @param service The service of the feed.
   * @param preferred The backend server chosen when the flow opened.
   * @param flow The flow, by which a replacement is chosen.
   * @param attempt Number of consecutive subscriptions that the backend server
   * did not answer.
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
   * @param may_return Whether `last` may be chosen again if there is no other,
   * because it did not refuse the run but never received it.
   * @return A backend server for a retry of a request that has not been run, or
   * kNoBackend.
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
                   "no other backend server of the service accepts requests"};
    return MakeChoice(*candidates[PowerOfTwoChoices::Pick(candidates, random)],
                      "retry");
  }

  /** @return The address of a backend server, Endpoint{} if it is unknown. */
  Endpoint AddressOf(VmId vm) const {
    const auto known = this->backends.find(vm);
    return known == this->backends.end() ? Endpoint{} : known->second.address;
  }

  /** Counts a run that was sent to the backend server. */
  void OnRunSent(VmId vm) {
    if (BackendState* const state = this->Find(vm))
      ++state->outstanding;
  }

  /** Records the outcome of a run. Repeated time-outs eject the backend server
   * for a time that doubles with each further time-out. */
  void OnRunEnded(TimePoint now, VmId vm, RunOutcome outcome) {
    BackendState* const state = this->Find(vm);
    if (state == nullptr)
      return;
    state->outstanding = std::max(0, state->outstanding - 1);
    if (outcome != RunOutcome::kTimedOut)
      return;
    ++state->consecutive_timeouts;
    if (state->consecutive_timeouts >= kTimeoutsToEject) {
      const int doublings =
          std::min(state->consecutive_timeouts - kTimeoutsToEject,
                   kMaxEjectionDoublings);
      state->ejected_until = now + kBaseEjectionTime * (1 << doublings);
    }
  }

  /** Records a load report. Any report ends an ejection and resets the count of
   * time-outs. */
  void OnLoadReport(TimePoint now, VmId vm, const LoadReport& report) {
    BackendState* const state = this->Find(vm);
    if (state == nullptr)
      return;
    if (report.incarnation > state->incarnation) {
      state->incarnation = report.incarnation;
      state->outstanding = 0;
      state->warm_up_ends_at = now + kWarmUpTime;
    }
    state->consecutive_timeouts = 0;
    state->ejected_until = {};
    state->report = report;
    state->draining_until =
        report.draining ? now + kDrainingReportLifetime : TimePoint{};
  }

  /** @return All backend servers, keyed by VM. */
  const std::map<VmId, BackendState>& Backends() const {
    return this->backends;
  }

 private:
  /** Duration of the warm-up, in which a backend server's share of new flows
   * grows from kMinWarmUpShare to 1. */
  static constexpr Seconds kWarmUpTime{10};
  /** Share of new flows at the start of the warm-up, relative to the
   * share of a backend server that is warmed up. */
  static constexpr double kMinWarmUpShare = 0.1;
  /** Consecutive unanswered subscriptions after which a feed moves to another
   * backend server. */
  static constexpr uint32_t kMaxFeedAttempts = 2;
  /** Consecutive time-outs that eject a backend server. */
  static constexpr int kTimeoutsToEject = 2;
  /** Maximum number of times that the ejection time doubles. */
  static constexpr int kMaxEjectionDoublings = 4;
  /** Duration of the first ejection. */
  static constexpr Milliseconds kBaseEjectionTime{500};
  /** Time after which a report of draining expires. A draining backend server
   * gets no work and so cannot report that draining has ended; after this time
   * it is tried again. */
  static constexpr Seconds kDrainingReportLifetime{10};

  /** @return Whether the configuration has the VM's service, and lets it be
   * served from the VM's data centre. */
  static bool IsAllowedDataCentre(const Config& config, const Vm& vm) {
    const Service* const service = FindService(config, vm.service);
    return service != nullptr &&
           (service->data_centres.empty() ||
            std::ranges::find(service->data_centres, vm.data_centre) !=
                service->data_centres.end());
  }

  /** @return Whether the backend server may get requests of its flows; an
   * ejected one may. */
  static bool AcceptsWork(const BackendState& state, TimePoint now) {
    return !state.leaving && state.draining_until <= now;
  }

  /** @return Share of new flows, from kMinWarmUpShare to 1. */
  static double WarmUpShare(const BackendState& state, TimePoint now) {
    if (state.warm_up_ends_at <= now)
      return 1;
    const double remaining =
        std::chrono::duration<double>(state.warm_up_ends_at - now) /
        std::chrono::duration<double>(kWarmUpTime);
    return std::max(kMinWarmUpShare, 1 - remaining);
  }

  static BackendChoice MakeChoice(const BackendState& state,
                                  const char* reason) {
    return {state.vm, state.incarnation, state.address, reason};
  }

  /** @return A new backend server with the average flow count of its service.
   * With a count of 0 it would get every new flow. */
  BackendState MakeNewBackend(const Vm& vm, TimePoint warm_up_ends_at) const {
    BackendState state;
    state.vm = vm.id;
    state.incarnation = vm.incarnation;
    state.warm_up_ends_at = warm_up_ends_at;
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

  /** @return The backend servers of the service, without `excluded`, that
   * accept work, are not in an evacuated data centre and are not ejected. If
   * all of these are ejected, returns them. `excluded` is VmId{} if none is
   * excluded. */
  std::vector<BackendState*> FindCandidates(ServiceId service,
                                            VmId excluded,
                                            TimePoint now) {
    std::vector<BackendState*> active;
    std::vector<BackendState*> ejected;
    for (auto& [vm, state] : this->backends) {
      if (state.service != service || vm == excluded ||
          !AcceptsWork(state, now) || state.evacuated_until > now)
        continue;
      (state.ejected_until <= now ? active : ejected).push_back(&state);
    }
    return active.empty() ? ejected : active;
  }

  /** @return The candidate with the highest rendezvous score for the flow. */
  Result<BackendChoice> ChooseByRendezvous(ServiceId service,
                                           VmId excluded,
                                           FlowId flow,
                                           TimePoint now) {
    const std::vector<BackendState*> candidates =
        this->FindCandidates(service, excluded, now);
    if (candidates.empty())
      return Error{ResultCode::kNoBackend,
                   "no backend server of the service accepts requests"};
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

  std::map<VmId, BackendState> backends;  ///< Keyed by VM.
  EvacuationTable evacuations;  ///< Data centres that get no new flows.
};

}  // namespace cuminvane

#endif  // CUMINVANE_PLACEMENT_PLACEMENT_BASE_H_
