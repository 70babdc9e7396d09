/** @file packet_func.cc Hashes of flow addresses and VM ids. */

#include "packet/packet_func.h"

#include <xxhash.h>

#include <array>

namespace cuminvane {

FlowId FlowIdOf(const FlowKey& key) {
  const std::array<uint64_t, 2> packed{
      uint64_t{key.caller.ip} << 32 | key.service.ip,
      uint64_t{key.caller.port} << 16 | key.service.port};
  return FlowId{XXH3_64bits(packed.data(), sizeof(packed))};
}

FlowTag TagOf(VmId backend) {
  const auto tag =
      static_cast<uint32_t>(XXH3_64bits(&backend.value, sizeof(backend.value)));
  return FlowTag{tag == 0 ? 1 : tag};
}

}  // namespace cuminvane

std::size_t std::hash<cuminvane::FlowKey>::operator()(
    const cuminvane::FlowKey& key) const noexcept {
  return cuminvane::FlowIdOf(key).value;
}
