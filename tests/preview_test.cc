/** @file preview_test.cc Preview of the effects of a configuration change:
 * classes that move and capacity that remains. */

#include "base/ini_func.h"
#include "document/config_func.h"
#include "document/preview_func.h"
#include "document/vmlist_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

const char* const kClassSettings =
    "idempotent = yes\nrank = 1\nanswered_within_ms = 200\n";

Config ConfigWith(const std::string& classes, const std::string& changes = "") {
  const ConfigCheck check =
      CheckConfig("c",
                  "[document]\nversion = 1\n[service desk]\n[service "
                  "files]\n" +
                      classes + changes);
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  return check.config;
}

std::string ClassSection(const std::string& name, const std::string& service) {
  return "[class " + name + "]\nservice = " + service +
         "\naddresses = 198.18.0.1:443\n" + kClassSettings;
}

/** Four VMs with three slots each in data centres `a` (1, 2) and `b` (3, 4); VM
 * 4 is leaving. */
VmList FourVms() {
  std::string text = "[list]\nversion = 1\n";
  for (int id = 1; id <= 4; ++id)
    text += "[vm " + std::to_string(id) +
            "]\nincarnation = 1\nrole = backend\nservice = desk\n"
            "data_centre = " +
            (id <= 2 ? "a" : "b") + "\naddress = 10.0.0." + std::to_string(id) +
            ":80\nslots = 3\nstate = " + (id == 4 ? "leaving" : "live") + "\n";
  const VmListCheck check = CheckVmList("v", text);
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  return check.list;
}

const char* const kDrainOfVm2 =
    "[change x]\nkind = drain\nvm = 2\nbegins_at = 2026-12-04T10:00:00Z\n";

}  // namespace

TEST_GROUP(Previews){};

TEST(Previews, PreviewListsMovedAddedAndRemovedClasses) {
  const Preview preview =
      PreviewChange(ConfigWith(ClassSection("feed", "desk")),
                    ConfigWith(ClassSection("feed", "files")), FourVms(), {});
  CHECK(preview.moves == std::vector<ClassMove>({{"feed", "desk", "files"}}));
  CHECK(PreviewChange(ConfigWith(ClassSection("feed", "desk")),
                      ConfigWith(ClassSection("edits", "desk")), FourVms(), {})
            .moves ==
        std::vector<ClassMove>({{"edits", "", "desk"}, {"feed", "desk", ""}}));
}

/** VM 4 is leaving already, so its slots count neither before nor after the
 * change. */
TEST(Previews, PreviewReportsRemainingCapacity) {
  const Config before = ConfigWith(ClassSection("feed", "desk"));
  const Config after = ConfigWith(ClassSection("feed", "desk"), kDrainOfVm2);
  const Preview preview = PreviewChange(before, after, FourVms(), {});
  CHECK(preview.capacity ==
        std::vector<ServiceCapacity>({{"desk", "a", 6, 3, std::nullopt},
                                      {"desk", "all", 9, 6, std::nullopt},
                                      {"desk", "b", 3, 3, std::nullopt}}));
  CHECK(HasEnoughCapacity(preview));
}

/** Four requests run in data centre `a`, and three slots remain there after the
 * drain of VM 2. */
TEST(Previews, PreviewReportsInsufficientCapacityForCurrentLoad) {
  const Preview preview =
      PreviewChange(ConfigWith(ClassSection("feed", "desk")),
                    ConfigWith(ClassSection("feed", "desk"), kDrainOfVm2),
                    FourVms(), {{VmId{1}, 2}, {VmId{2}, 2}});
  CHECK_FALSE(HasEnoughCapacity(preview));
  CHECK_CONTAINS(
      "service=desk data_centre=a slots=6 slots_left=3 busy=4 "
      "needed_percent=133.333 enough=no",
      FormatPreview(preview));
  CHECK_CONTAINS("data_centre=all slots=9 slots_left=6 busy=4",
                 FormatPreview(preview));
}
