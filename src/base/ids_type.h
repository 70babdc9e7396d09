/** @file ids_type.h Strong types for identifiers: the compiler rejects an
 * identifier of one kind where another kind is expected. */

#ifndef CUMINVANE_BASE_IDS_TYPE_H_
#define CUMINVANE_BASE_IDS_TYPE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace cuminvane {

/**
 * An identifier that doesn't convert to an identifier of another kind.
 * @tparam Tag An incomplete type that names the kind.
 * @tparam Rep The unsigned integer type of the value.
 */
template <class Tag, class Rep>
struct StrongId {
  using Representation = Rep;

  Rep value = 0;

  constexpr auto operator<=>(const StrongId&) const = default;
};

/** Id of a VM in the platform's list; 0 means none. */
using VmId = StrongId<struct VmIdTag, uint64_t>;
/** Number of an instance (one start) of the process on a VM. A later instance
 * has a higher number and replaces the earlier ones. */
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
/** Id of one flow of one caller, drawn at random when the flow opens; 0 means
 * none. */
using FlowId = StrongId<struct FlowIdTag, uint64_t>;
/** Number of a request or feed inside a flow, from 1; 0 means none. */
using RequestNumber = StrongId<struct RequestNumberTag, uint64_t>;
/** Id of a run: one dispatch of a request to a backend server; 0 means none. */
using RunId = StrongId<struct RunIdTag, uint64_t>;
/** Hash of a service's name. */
using ServiceId = StrongId<struct ServiceIdTag, uint64_t>;
/** Hash of the name of a class of work. */
using ClassId = StrongId<struct ClassIdTag, uint64_t>;
/** Version of a configuration document. */
using ConfigVersion = StrongId<struct ConfigVersionTag, uint64_t>;
/** Number of a token key; new tokens are made with the highest. */
using KeyNumber = StrongId<struct KeyNumberTag, uint32_t>;

/** @return The identifier's value in decimal. */
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
