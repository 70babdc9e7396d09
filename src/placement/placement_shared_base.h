/** @file placement_shared_base.h Thread-safe placement, shared by all shards of
 * a balancer. */

#ifndef CUMINVANE_PLACEMENT_PLACEMENT_SHARED_BASE_H_
#define CUMINVANE_PLACEMENT_PLACEMENT_SHARED_BASE_H_

#include <map>

#include "base/guarded_type.h"
#include "placement/placement_base.h"

namespace cuminvane {

/**
 * Placement behind one lock. Each function calls the function of the same name
 * of the table while it holds the lock.
 * @tparam Table A PlacementTable.
 * @tparam Mutex Type of the lock.
 */
template <class Table, Lockable Mutex>
class SharedPlacement {
 public:
  void Sync(const VmList& list, const Config& config, TimePoint now) {
    this->table.WithLock([&](Table& table) { table.Sync(list, config, now); });
  }
  Result<BackendChoice> ChooseForFlow(ServiceId service,
                                      TimePoint now,
                                      RandomEngine& random) {
    return this->table.WithLock([&](Table& table) {
      return table.ChooseForFlow(service, now, random);
    });
  }
  Result<BackendChoice> ChooseForRequest(ServiceId service,
                                         const VmInstance& preferred,
                                         FlowId flow,
                                         TimePoint now) {
    return this->table.WithLock([&](Table& table) {
      return table.ChooseForRequest(service, preferred, flow, now);
    });
  }
  Result<BackendChoice> ChooseForFeed(ServiceId service,
                                      const VmInstance& preferred,
                                      FlowId flow,
                                      uint32_t attempt,
                                      TimePoint now) {
    return this->table.WithLock([&](Table& table) {
      return table.ChooseForFeed(service, preferred, flow, attempt, now);
    });
  }
  Result<BackendChoice> ChooseForRetry(ServiceId service,
                                       VmId last,
                                       bool may_return,
                                       TimePoint now,
                                       RandomEngine& random) {
    return this->table.WithLock([&](Table& table) {
      return table.ChooseForRetry(service, last, may_return, now, random);
    });
  }
  Endpoint AddressOf(VmId vm) const {
    return this->table.WithLock(
        [&](const Table& table) { return table.AddressOf(vm); });
  }
  void OnRunSent(VmId vm) {
    this->table.WithLock([&](Table& table) { table.OnRunSent(vm); });
  }
  void OnRunEnded(TimePoint now, VmId vm, RunOutcome outcome) {
    this->table.WithLock(
        [&](Table& table) { table.OnRunEnded(now, vm, outcome); });
  }
  void OnLoadReport(TimePoint now, VmId vm, const LoadReport& report) {
    this->table.WithLock(
        [&](Table& table) { table.OnLoadReport(now, vm, report); });
  }
  /** @return A copy of the state of all backend servers, keyed by VM. */
  std::map<VmId, BackendState> Backends() const {
    return this->table.WithLock(
        [](const Table& table) { return table.Backends(); });
  }

 private:
  Guarded<Table, Mutex> table;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PLACEMENT_PLACEMENT_SHARED_BASE_H_
