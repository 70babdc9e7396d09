/** @file vmlist_type.h The platform's list of VMs as values. */

#ifndef CUMINVANE_DOCUMENT_VMLIST_TYPE_H_
#define CUMINVANE_DOCUMENT_VMLIST_TYPE_H_

#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

namespace cuminvane {

enum class VmRole : uint8_t { kBalancer, kBackend };

/** One VM; what the platform says of it may lag. */
struct Vm {
  VmId id;
  Incarnation incarnation;
  VmRole role = VmRole::kBackend;
  ServiceId service;  ///< For backend servers.
  std::string data_centre;
  Endpoint address;
  Endpoint peer_address;     ///< For balancers.
  Endpoint control_address;  ///< For balancers.
  bool leaving = false;
  int64_t slots = 1;  ///< Requests that a backend server runs at once.
  Milliseconds warm_up_left{
      0};  ///< How much longer it was slow when it was listed.

  bool operator==(const Vm&) const = default;
};

/** The whole list. */
struct VmList {
  ConfigVersion version;
  std::vector<Vm> vms;  ///< In ascending order of id.

  bool operator==(const VmList&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_VMLIST_TYPE_H_
