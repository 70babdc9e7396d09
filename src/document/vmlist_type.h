/** @file vmlist_type.h The platform's list of VMs as values. */

#ifndef CUMINVANE_DOCUMENT_VMLIST_TYPE_H_
#define CUMINVANE_DOCUMENT_VMLIST_TYPE_H_

#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** What a VM runs: a balancer or a backend server. */
enum class VmRole : uint8_t { kBalancer, kBackend };

/** One VM, as the platform describes it; the description may lag behind the VM.
 */
struct Vm {
  VmId id;
  Incarnation incarnation;
  VmRole role = VmRole::kBackend;
  /** Service that a backend server runs; unset for balancers. */
  ServiceId service;
  std::string data_centre;
  Endpoint address;       ///< Address for packets and messages.
  Endpoint peer_address;  ///< Address for other balancers; unset for backend
                          ///< servers.
  /** Address for operators; unset for backend servers. */
  Endpoint control_address;
  bool leaving = false;  ///< Whether the platform is about to remove it.
  /** Number of requests that a backend server runs at once. */
  int64_t slots = 1;
  Milliseconds warm_up_left{0};  ///< Time that was left of its warm-up (slow
                                 ///< start) when it was listed; 0 means none.

  bool operator==(const Vm&) const = default;
};

/** The version of a list read from the platform's store is the store's revision
 * plus this number for each time that the store was restored from an older
 * copy, so that a list read after a restore is newer than any read before. */
inline constexpr uint64_t kVersionsPerEra = 10'000'000'000;

/** The platform's list of VMs. */
struct VmList {
  ConfigVersion version;
  std::vector<Vm> vms;  ///< Sorted by id.
  /** Data centres that get no new flows because the operator evacuates them;
   * sorted. */
  std::vector<std::string> evacuated;

  bool operator==(const VmList&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_VMLIST_TYPE_H_
