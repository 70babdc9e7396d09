/** @file preview_func.cc Preview of a change of the configuration. */

#include "document/preview_func.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

#include "document/config_func.h"

namespace cuminvane {
namespace {

/** Printed instead of a data centre's name in the totals over all data centres.
 */
constexpr const char* kAllDataCentres = "all";
/** Maximum utilisation of the slots, as a fraction; above it, requests queue
 * for longer than they run. */
constexpr double kMaxUtilisation = 0.8;

std::string ServiceNameOf(const Config& config, ServiceId id) {
  const Service* const service = FindService(config, id);
  return service == nullptr ? "" : service->name;
}

/** @return The service of the class, or the services of its split with their
 * weights; empty if `work` is null. */
std::string FormatDestination(const Config& config, const WorkClass* work) {
  if (work == nullptr)
    return "";
  if (work->split.empty())
    return ServiceNameOf(config, work->service);
  std::string text;
  for (const SplitShare& share : work->split)
    text += (text.empty() ? "" : ",") + ServiceNameOf(config, share.service) +
            ":" + std::to_string(share.weight);
  return text;
}

std::vector<ClassMove> FindClassMoves(const Config& before,
                                      const Config& after) {
  std::set<std::string> names;
  for (const Config* const config : {&before, &after}) {
    for (const WorkClass& work : config->classes)
      names.insert(work.name);
  }
  std::vector<ClassMove> moves;
  for (const std::string& name : names) {
    const ClassId id = ClassIdOf(name);
    ClassMove move{name, FormatDestination(before, FindClass(before, id)),
                   FormatDestination(after, FindClass(after, id))};
    if (move.from != move.to)
      moves.push_back(std::move(move));
  }
  return moves;
}

/** @return Whether any planned change, active or not, drains or stops the VM.
 */
bool IsRemovedByChange(const Config& config, const Vm& vm) {
  return std::ranges::any_of(config.changes, [&vm](const PlannedChange& one) {
    return one.vm == VmId{} ? one.data_centre == vm.data_centre
                            : one.vm == vm.id;
  });
}

}  // namespace

std::optional<double> ServiceCapacity::RequiredUtilisation() const {
  if (!this->busy)
    return std::nullopt;
  // With 0 slots left the divisor is 1, and one more slot is counted as needed,
  // so that the utilisation is at least 100 %.
  return static_cast<double>(*this->busy + (this->slots_left == 0 ? 1 : 0)) /
         static_cast<double>(std::max<int64_t>(1, this->slots_left));
}

Preview PreviewChange(const Config& before,
                      const Config& after,
                      const VmList& vms,
                      const std::map<VmId, int64_t>& busy) {
  std::map<std::pair<std::string, std::string>, ServiceCapacity> capacity;
  for (const Vm& vm : vms.vms) {
    const std::string service = ServiceNameOf(after, vm.service);
    if (vm.role != VmRole::kBackend || service.empty())
      continue;
    const bool accepts_flows_now =
        !vm.leaving && !IsRemovedByChange(before, vm);
    const bool accepts_flows_after =
        !vm.leaving && !IsRemovedByChange(after, vm);
    const auto known = busy.find(vm.id);
    for (const std::string& data_centre :
         {std::string(kAllDataCentres), vm.data_centre}) {
      ServiceCapacity& service_capacity = capacity[{service, data_centre}];
      service_capacity.service = service;
      service_capacity.data_centre = data_centre;
      service_capacity.slots += accepts_flows_now ? vm.slots : 0;
      service_capacity.slots_left += accepts_flows_after ? vm.slots : 0;
      if (!busy.empty())
        service_capacity.busy = service_capacity.busy.value_or(0) +
                                (known == busy.end() ? 0 : known->second);
    }
  }
  Preview preview;
  preview.moves = FindClassMoves(before, after);
  for (auto& [key, service_capacity] : capacity)
    preview.capacity.push_back(std::move(service_capacity));
  return preview;
}

std::string FormatPreview(const Preview& preview) {
  std::ostringstream out;
  for (const ClassMove& move : preview.moves)
    out << "class=" << move.work_class << " from=" << move.from
        << " to=" << move.to << "\n";
  for (const ServiceCapacity& service_capacity : preview.capacity) {
    out << "service=" << service_capacity.service
        << " data_centre=" << service_capacity.data_centre
        << " slots=" << service_capacity.slots
        << " slots_left=" << service_capacity.slots_left;
    const std::optional<double> needed = service_capacity.RequiredUtilisation();
    if (needed)
      out << " busy=" << *service_capacity.busy
          << " needed_percent=" << *needed * 100
          << " enough=" << (*needed <= kMaxUtilisation ? "yes" : "no");
    out << "\n";
  }
  return out.str();
}

bool HasEnoughCapacity(const Preview& preview) {
  return std::ranges::all_of(
      preview.capacity, [](const ServiceCapacity& service_capacity) {
        return service_capacity.RequiredUtilisation().value_or(0) <=
               kMaxUtilisation;
      });
}

}  // namespace cuminvane
