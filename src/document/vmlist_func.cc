/** @file vmlist_func.cc Parsing of the platform's list of VMs. */

#include "document/vmlist_func.h"

#include <algorithm>

#include "base/ini_func.h"
#include "base/schema_func.h"
#include "document/config_func.h"
#include "table/vmlist_table.h"

namespace cuminvane {
namespace {

VmId ParseVmId(const std::string& name) {
  return VmId{ParseNumber<uint64_t>(name).value_or(0)};
}

Vm ReadVm(const SectionReader& section) {
  Vm vm;
  vm.id = ParseVmId(section.Name());
  vm.incarnation =
      Incarnation{static_cast<uint64_t>(section.Integer("incarnation"))};
  vm.role =
      section.Text("role") == "balancer" ? VmRole::kBalancer : VmRole::kBackend;
  vm.service = ServiceIdOf(section.Text("service"));
  vm.data_centre = section.Text("data_centre");
  vm.address = section.Address("address");
  vm.peer_address = section.Address("peer_address");
  vm.control_address = section.Address("control_address");
  vm.leaving = section.Text("state") == "leaving";
  vm.slots = section.Integer("slots");
  vm.warm_up_left = Milliseconds(section.Integer("cold_ms"));
  return vm;
}

void CheckVm(const std::string& file,
             const IniSection& raw,
             const SectionReader& section,
             IniProblems& problems) {
  if (ParseVmId(section.Name()) == VmId{})
    problems.push_back({file, raw.line, raw.name, "", section.Name(),
                        "integer 1 to 18446744073709551615"});
  const bool balancer = section.Text("role") == "balancer";
  if (!balancer && section.Text("service").empty())
    problems.push_back({file, raw.line, raw.name, "service", "nothing",
                        "the service of the backend server"});
  if (balancer && section.Text("peer_address").empty())
    problems.push_back(
        {file, raw.line, raw.name, "peer_address", "nothing", "A.B.C.D:PORT"});
}

}  // namespace

VmListCheck CheckVmList(const std::string& file, std::string_view text) {
  IniProblems problems;
  VmListCheck check = CheckVmList(ReadIni(file, text, problems));
  check.problems.insert(check.problems.begin(), problems.begin(),
                        problems.end());
  return check;
}

VmListCheck CheckVmList(const IniDocument& document) {
  VmListCheck check;
  CheckSchema(document, kVmListSchema, check.problems);
  for (const IniSection& raw : document.sections) {
    const SectionReader section(raw, kVmListSchema);
    if (raw.name == "list")
      check.list.version =
          ConfigVersion{static_cast<uint64_t>(section.Integer("version"))};
    if (SectionKind(raw.name) == "evacuation")
      check.list.evacuated.push_back(section.Name());
    if (SectionKind(raw.name) != "vm")
      continue;
    CheckVm(document.file, raw, section, check.problems);
    check.list.vms.push_back(ReadVm(section));
  }
  std::ranges::sort(check.list.vms, {}, &Vm::id);
  std::ranges::sort(check.list.evacuated);
  return check;
}

const Vm* FindVm(const VmList& list, VmId id) {
  const auto vm = std::ranges::lower_bound(list.vms, id, {}, &Vm::id);
  return vm != list.vms.end() && vm->id == id ? &*vm : nullptr;
}

}  // namespace cuminvane
