/** @file ids_type.h Strong types for every identifier, so that none is passed
 * for another. */

#ifndef CUMINVANE_BASE_IDS_TYPE_H_
#define CUMINVANE_BASE_IDS_TYPE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace cuminvane {

/**
 * An integer that can't be mixed up with an integer of another kind.
 * @tparam Tag An incomplete type that names the kind.
 * @tparam Rep The unsigned integer that holds the value.
 */
template <class Tag, class Rep>
struct StrongId {
  using Representation = Rep;

  Rep value = 0;

  constexpr auto operator<=>(const StrongId&) const = default;
};

/** A VM of the platform's list; 0 means none. */
using VmId = StrongId<struct VmIdTag, uint64_t>;
/** Counts the starts of one VM; a higher one replaces a lower one. */
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
/** One flow of one caller, chosen at random when it opens. */
using FlowId = StrongId<struct FlowIdTag, uint64_t>;
/** A request inside a flow; counts from 1. */
using RequestNumber = StrongId<struct RequestNumberTag, uint64_t>;
/** One dispatch of one request to one backend server. */
using RunId = StrongId<struct RunIdTag, uint64_t>;
/** Hash of a service's name. */
using ServiceId = StrongId<struct ServiceIdTag, uint64_t>;
/** Hash of a class's name. */
using ClassId = StrongId<struct ClassIdTag, uint64_t>;
/** Version of a configuration document. */
using ConfigVersion = StrongId<struct ConfigVersionTag, uint64_t>;
/** Number of a token key. */
using KeyNumber = StrongId<struct KeyNumberTag, uint32_t>;

/**
 * @param id Any strong identifier.
 * @return Its value in decimal.
 */
template <class Tag, class Rep>
std::string ToString(StrongId<Tag, Rep> id) {
  return std::to_string(id.value);
}

}  // namespace cuminvane

template <class Tag, class Rep>
struct std::hash<cuminvane::StrongId<Tag, Rep>> {
  std::size_t operator()(cuminvane::StrongId<Tag, Rep> id) const noexcept {
    return std::hash<Rep>{}(id.value);
  }
};

#endif  // CUMINVANE_BASE_IDS_TYPE_H_
