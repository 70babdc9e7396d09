/** @file config_func.cc Validation and parsing of the operators' configuration.
 */

#include "document/config_func.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

#include "base/ini_func.h"
#include "base/schema_func.h"
#include "table/config_table.h"

namespace cuminvane {
namespace {

KeyNumber ParseKeyNumber(const std::string& name) {
  return KeyNumber{ParseNumber<uint32_t>(name).value_or(0)};
}

template <class Item, class Id>
const Item* FindById(const std::vector<Item>& sorted, Id id) {
  const auto found = std::ranges::lower_bound(sorted, id, {}, &Item::id);
  return found != sorted.end() && found->id == id ? &*found : nullptr;
}

/** Parses one document and collects all problems; a problem does not stop
 * parsing. */
class ConfigParser {
 public:
  ConfigParser(const IniDocument& document, ConfigCheck& check)
      : document(document), check(check) {}

  void ParseAll() {
    for (const IniSection& raw : this->document.sections)
      this->ParseSection(raw);
    // Services and classes are sorted by id, since they are looked up for every
    // packet.
    std::ranges::sort(this->check.config.services, {}, &Service::id);
    std::ranges::sort(this->check.config.classes, {}, &WorkClass::id);
    for (const IniSection& raw : this->document.sections)
      this->CheckReferences(raw);
    if (!this->allow_empty)
      this->CheckNotEmpty();
  }

 private:
  /** Adds a problem of a section.
   * @param line Line of the document.
   * @param key Key in the section; empty if the problem is in its name.
   * @param found What the document has.
   * @param allowed What is allowed instead. */
  void AddProblem(const IniSection& raw,
                  int line,
                  std::string key,
                  std::string found,
                  std::string allowed) {
    this->check.problems.push_back({this->document.file, line, raw.name,
                                    std::move(key), std::move(found),
                                    std::move(allowed)});
  }

  void ParseSection(const IniSection& raw) {
    const std::string_view kind = SectionKind(raw.name);
    const SectionReader section(raw, kConfigSchema);
    if (kind == "document") {
      this->check.config.version =
          ConfigVersion{static_cast<uint64_t>(section.Integer("version"))};
      this->allow_empty = section.Boolean("allow_empty");
    }
    if (kind == "service")
      this->ParseService(raw, section);
    if (kind == "class")
      this->ParseClass(raw, section);
    if (kind == "change")
      this->ParseChange(raw, section);
    if (kind == "flows")
      this->check.config.flow_idle_timeout =
          Milliseconds(section.Integer("idle_ms"));
    if (kind == "token-key")
      this->ParseKey(raw, section);
  }

  /** Parses a list of addresses for callers. Reports an address that occurs
   * twice in the document. */
  std::vector<Endpoint> ParseAddresses(const IniSection& raw,
                                       const SectionReader& section) {
    std::vector<Endpoint> parsed;
    for (const std::string& text : section.List("addresses")) {
      const Endpoint address = ParseEndpoint(text).value_or(Endpoint{});
      if (!this->addresses.insert(address).second)
        this->AddProblem(raw, section.Line("addresses"), "addresses",
                         text + " again",
                         "each address once, for one service or class");
      parsed.push_back(address);
    }
    return parsed;
  }

  void ParseService(const IniSection& raw, const SectionReader& section) {
    Service service;
    service.name = section.Name();
    service.id = ServiceIdOf(service.name);
    service.data_centres = section.List("data_centres");
    service.addresses = this->ParseAddresses(raw, section);
    service.cold_time = section.Millis("cold_ms");
    service.cold_per_s = section.Decimal("cold_per_s");
    this->data_centres.insert(service.data_centres.begin(),
                              service.data_centres.end());
    this->check.config.services.push_back(std::move(service));
  }

  void ParseClass(const IniSection& raw, const SectionReader& section) {
    WorkClass work;
    work.name = section.Name();
    work.id = ClassIdOf(work.name);
    work.service = ServiceIdOf(section.Text("service"));
    work.idempotent = section.Boolean("idempotent");
    work.rank = section.Integer("rank");
    work.target = {section.Integer("answered_within_ms"),
                   section.Decimal("answered_percent"),
                   section.Decimal("broken_flows_per_million"),
                   section.Decimal("imbalance_percent")};
    work.addresses = this->ParseAddresses(raw, section);
    for (const std::string& share : section.List("split")) {
      const size_t space = share.find(' ');
      work.split.push_back(
          {ServiceIdOf(share.substr(0, space)),
           ParseNumber<int64_t>(share.substr(share.rfind(' ') + 1))
               .value_or(0)});
    }
    this->check.config.classes.push_back(std::move(work));
  }

  void ParseChange(const IniSection& raw, const SectionReader& section) {
    PlannedChange change;
    change.name = section.Name();
    change.kind =
        section.Text("kind") == "stop" ? ChangeKind::kStop : ChangeKind::kDrain;
    change.vm = VmId{static_cast<uint32_t>(section.Integer("vm"))};
    change.data_centre = section.Text("data_centre");
    change.begins_at = section.Time("begins_at").value_or(kNever);
    const bool has_vm = change.vm != VmId{};
    if (has_vm != change.data_centre.empty())
      this->AddProblem(raw, raw.line, "vm",
                       has_vm ? "vm and data_centre" : "neither",
                       "either vm or data_centre");
    this->check.config.changes.push_back(std::move(change));
  }

  void ParseKey(const IniSection& raw, const SectionReader& section) {
    const KeyNumber number = ParseKeyNumber(section.Name());
    if (number == KeyNumber{})
      this->AddProblem(raw, raw.line, "", section.Name(),
                       "integer 1 to 4294967295");
    const std::string secret =
        ParseHex(section.Text("secret")).value_or(std::string());
    TokenKey key{};
    std::copy_n(secret.begin(), std::min(secret.size(), key.size()),
                key.begin());
    if (!this->check.config.keys.emplace(number, key).second)
      this->AddProblem(raw, raw.line, "", section.Name() + " again",
                       "each number once");
  }

  /** Checks references between sections. This runs after all sections are
   * parsed, since a section may refer to a later one. */
  void CheckReferences(const IniSection& raw) {
    const std::string_view kind = SectionKind(raw.name);
    const SectionReader section(raw, kConfigSchema);
    if (kind == "class" && !section.Text("service").empty() &&
        FindService(this->check.config, ServiceIdOf(section.Text("service"))) ==
            nullptr)
      this->AddProblem(raw, section.Line("service"), "service",
                       section.Text("service"),
                       "a service of this document: " + this->ServiceNames());
    if (kind == "class")
      this->CheckSplit(raw, section);
    if (kind == "service" && !section.Text("addresses").empty() &&
        this->check.config.keys.empty())
      this->AddProblem(raw, section.Line("addresses"), "addresses",
                       "no [token-key NAME]",
                       "a token key where a service has addresses");
    const std::string centre = section.Text("data_centre");
    if (kind == "change" && !centre.empty() &&
        !this->data_centres.contains(centre))
      this->AddProblem(
          raw, section.Line("data_centre"), "data_centre", centre,
          "a data centre of a service: " + this->DataCentreNames());
  }

  void CheckNotEmpty() {
    for (const auto& [kind, count] :
         {std::pair("service", this->check.config.services.size()),
          std::pair("class", this->check.config.classes.size())}) {
      if (count == 0)
        this->check.problems.push_back({this->document.file, 0, kind, "",
                                        "nothing",
                                        "at least one such section"});
    }
  }

  /** Checks that a split names known services and has a positive total. */
  void CheckSplit(const IniSection& raw, const SectionReader& section) {
    const WorkClass* const work =
        FindClass(this->check.config, ClassIdOf(section.Name()));
    if (work == nullptr || work->split.empty())
      return;
    int64_t total = 0;
    for (const SplitShare& share : work->split) {
      total += share.weight;
      if (FindService(this->check.config, share.service) == nullptr)
        this->AddProblem(raw, section.Line("split"), "split",
                         section.Text("split"),
                         "services of this document: " + this->ServiceNames());
    }
    if (total <= 0)
      this->AddProblem(raw, section.Line("split"), "split",
                       section.Text("split"), "at least one weight above 0");
  }

  std::string ServiceNames() const {
    std::string names;
    for (const Service& service : this->check.config.services)
      names += (names.empty() ? "" : " ") + service.name;
    return names;
  }

  std::string DataCentreNames() const {
    std::string names;
    for (const std::string& name : this->data_centres)
      names += (names.empty() ? "" : " ") + name;
    return names;
  }

  const IniDocument& document;
  bool allow_empty = false;  ///< document.allow_empty.
  ConfigCheck& check;        ///< Receives the configuration and the problems.
  std::set<Endpoint> addresses;        ///< Addresses parsed so far.
  std::set<std::string> data_centres;  ///< Data centres of all services.
};

}  // namespace

ConfigCheck CheckConfig(const std::string& file, std::string_view text) {
  IniProblems problems;
  ConfigCheck check = CheckConfig(ReadIni(file, text, problems));
  check.problems.insert(check.problems.begin(), problems.begin(),
                        problems.end());
  return check;
}

ConfigCheck CheckConfig(const IniDocument& document) {
  ConfigCheck check;
  CheckSchema(document, kConfigSchema, check.problems);
  ConfigParser(document, check).ParseAll();
  return check;
}

ServiceId ServiceIdOf(std::string_view name) {
  return ServiceId{XXH3_64bits(name.data(), name.size())};
}

ClassId ClassIdOf(std::string_view name) {
  return ClassId{XXH3_64bits(name.data(), name.size())};
}

const Service* FindService(const Config& config, const Endpoint& address) {
  for (const Service& service : config.services) {
    if (std::ranges::find(service.addresses, address) !=
        service.addresses.end())
      return &service;
  }
  return nullptr;
}

const Service* FindService(const Config& config, ServiceId id) {
  return FindById(config.services, id);
}

const WorkClass* FindClass(const Config& config, ClassId id) {
  return FindById(config.classes, id);
}

const PlannedChange* FindActiveChange(const Config& config,
                                      const Vm& vm,
                                      TimePoint now) {
  for (const PlannedChange& change : config.changes) {
    const bool matches =
        change.vm == vm.id ||
        (change.vm == VmId{} && change.data_centre == vm.data_centre);
    if (matches && change.begins_at <= now)
      return &change;
  }
  return nullptr;
}

}  // namespace cuminvane
