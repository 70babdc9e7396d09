/** @file preview_func.cc What a change of the configuration will do. */

#include "document/preview_func.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

#include "document/config_func.h"

namespace cuminvane {
namespace {

constexpr const char* kEverywhere = "all";
/** Above this share of busy slots requests queue for longer than they run. */
constexpr double kMostNeeded = 0.8;

std::string NameOf(const Config& config, ServiceId id) {
  const Service* const service = FindService(config, id);
  return service == nullptr ? "" : service->name;
}

/** @return The service, or the parts of a split with their weights. */
std::string Destination(const Config& config, const WorkClass* work) {
  if (work == nullptr)
    return "";
  if (work->split.empty())
    return NameOf(config, work->service);
  std::string text;
  for (const SplitPart& part : work->split)
    text += (text.empty() ? "" : ",") + NameOf(config, part.service) + ":" +
            std::to_string(part.weight);
  return text;
}

std::vector<ClassMove> FindMoves(const Config& before, const Config& after) {
  std::set<std::string> names;
  for (const Config* const config : {&before, &after}) {
    for (const WorkClass& work : config->classes)
      names.insert(work.name);
  }
  std::vector<ClassMove> moves;
  for (const std::string& name : names) {
    const ClassId id = ClassIdOf(name);
    ClassMove move{name, Destination(before, FindClass(before, id)),
                   Destination(after, FindClass(after, id))};
    if (move.from != move.to)
      moves.push_back(std::move(move));
  }
  return moves;
}

/** @return Whether a planned change takes the VM out. */
bool IsTakenOut(const Config& config, const Vm& vm) {
  return std::ranges::any_of(config.changes, [&vm](const PlannedChange& one) {
    return one.vm == VmId{} ? one.data_centre == vm.data_centre
                            : one.vm == vm.id;
  });
}

}  // namespace

std::optional<double> CapacityLeft::ShareNeeded() const {
  if (!this->busy)
    return std::nullopt;
  // Where no slot is left, one more than all of it is needed.
  return static_cast<double>(*this->busy + (this->slots_left == 0 ? 1 : 0)) /
         static_cast<double>(std::max<int64_t>(1, this->slots_left));
}

Preview PreviewChange(const Config& before,
                      const Config& after,
                      const VmList& vms,
                      const std::map<VmId, int64_t>& busy) {
  std::map<std::pair<std::string, std::string>, CapacityLeft> capacity;
  for (const Vm& vm : vms.vms) {
    const std::string service = NameOf(after, vm.service);
    if (vm.role != VmRole::kBackend || service.empty())
      continue;
    const bool takes_flows = !vm.leaving && !IsTakenOut(before, vm);
    const bool stays = !vm.leaving && !IsTakenOut(after, vm);
    const auto known = busy.find(vm.id);
    for (const std::string& place :
         {std::string(kEverywhere), vm.data_centre}) {
      CapacityLeft& left = capacity[{service, place}];
      left.service = service;
      left.data_centre = place;
      left.slots += takes_flows ? vm.slots : 0;
      left.slots_left += stays ? vm.slots : 0;
      if (!busy.empty())
        left.busy =
            left.busy.value_or(0) + (known == busy.end() ? 0 : known->second);
    }
  }
  Preview preview;
  preview.moves = FindMoves(before, after);
  for (auto& [key, left] : capacity)
    preview.capacity.push_back(std::move(left));
  return preview;
}

std::string FormatPreview(const Preview& preview) {
  std::ostringstream out;
  for (const ClassMove& move : preview.moves)
    out << "class=" << move.work_class << " from=" << move.from
        << " to=" << move.to << "\n";
  for (const CapacityLeft& left : preview.capacity) {
    out << "service=" << left.service << " data_centre=" << left.data_centre
        << " slots=" << left.slots << " slots_left=" << left.slots_left;
    const std::optional<double> needed = left.ShareNeeded();
    if (needed)
      out << " busy=" << *left.busy << " needed_percent=" << *needed * 100
          << " enough=" << (*needed <= kMostNeeded ? "yes" : "no");
    out << "\n";
  }
  return out.str();
}

bool IsEnough(const Preview& preview) {
  return std::ranges::all_of(preview.capacity, [](const CapacityLeft& left) {
    return left.ShareNeeded().value_or(0) <= kMostNeeded;
  });
}

}  // namespace cuminvane
