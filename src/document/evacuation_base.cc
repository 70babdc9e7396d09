/** @file evacuation_base.cc Implementation of the table of evacuations. */

#include "document/evacuation_base.h"

#include <algorithm>
#include <utility>

namespace cuminvane {

void EvacuationTable::Sync(const VmList& list, TimePoint now) {
  const uint64_t list_era = list.version.value / kVersionsPerEra;
  const bool is_restored = std::exchange(this->era, list_era) < list_era;
  if (is_restored) {
    for (auto& [data_centre, evacuation] : this->evacuations)
      evacuation.until = std::min(evacuation.until, now + kRestoredRetention);
  }
  std::erase_if(this->evacuations, [&](const auto& item) {
    const TimePoint until = item.second.until;
    return until <= now || (until == kNever && !std::ranges::binary_search(
                                                   list.evacuated, item.first));
  });
  for (const std::string& data_centre : list.evacuated)
    this->evacuations.try_emplace(data_centre, Evacuation{now})
        .first->second.until = kNever;
}

std::vector<std::string> EvacuationTable::Expire(TimePoint now) {
  std::vector<std::string> expired;
  std::erase_if(this->evacuations, [&](const auto& item) {
    if (item.second.until > now)
      return false;
    expired.push_back(item.first);
    return true;
  });
  return expired;
}

TimePoint EvacuationTable::Until(std::string_view data_centre) const {
  const auto found = this->evacuations.find(data_centre);
  return found == this->evacuations.end() ? TimePoint{} : found->second.until;
}

}  // namespace cuminvane
