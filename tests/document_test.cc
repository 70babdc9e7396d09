/** @file document_test.cc Settings, configurations and VM lists: which
 * documents are accepted, how every problem is reported, and how document
 * stores distribute versions. */

#include <fstream>
#include <sstream>

#include "base/ini_func.h"
#include "base/result_table.h"
#include "base/schema_func.h"
#include "document/config_func.h"
#include "document/document_base.h"
#include "document/settings_func.h"
#include "document/vmlist_func.h"
#include "table/config_table.h"
#include "table/settings_table.h"
#include "table/vmlist_table.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

std::string ReadSource(const std::string& path) {
  std::ifstream file(std::string(CUMINVANE_SOURCE_DIR) + "/" + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

const char* const kValidConfig =
    "[document]\nversion = 3\n"
    "[service desk]\naddresses = 10.0.0.1:80, 10.0.0.2:80\ndata_centres = a, "
    "b\n"
    "[class edits]\nservice = desk\nidempotent = no\nrank = "
    "1\nanswered_within_ms = 500\nanswered_percent = 99.5\n"
    "[change x]\nkind = stop\nvm = 7\nbegins_at = 2026-12-04T10:00:00Z\n"
    "[token-key 2]\nsecret = 000102030405060708090a0b0c0d0e0f\n";

std::string ConfigProblems(const std::string& text) {
  return FormatProblems(CheckConfig("c.ini", text).problems);
}

std::string ReplaceFirst(std::string text,
                         const std::string& from,
                         const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_GROUP(Documents){};

TEST(Documents, ValidConfigurationIsAccepted) {
  const ConfigCheck check = CheckConfig("c.ini", kValidConfig);
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  LONGS_EQUAL(3, check.config.version.value);
  LONGS_EQUAL(2, check.config.services[0].addresses.size());
  CHECK(FindClass(check.config, ClassIdOf("edits"))->idempotent == false);
  DOUBLES_EQUAL(99.5, check.config.classes[0].target.answered_percent, 1e-9);
  CHECK(check.config.changes[0].kind == ChangeKind::kStop);
  LONGS_EQUAL(1, check.config.keys.size());
}

TEST(Documents, EachProblemNamesLineSectionKeyFoundAndAllowed) {
  struct FaultyEdit {
    const char* from;  ///< Text of the valid configuration to replace.
    const char* to;    ///< Its replacement.
    const char* expected_problem;  ///< Part of the reported problem.
  };
  const FaultyEdit faulty_edits[] = {
      {"rank = 1", "rank = one",
       "c.ini:9: section=[class edits] key=rank found=\"one\" "
       "allowed=\"integer 1 to 100\""},
      {"rank = 1", "rank = 101", "found=\"101\" allowed=\"integer 1 to 100\""},
      {"rank = 1", "rnak = 1", "key=rnak found=\"an unknown key\""},
      {"rank = 1\n", "", "key=rank found=\"nothing\""},
      {"rank = 1", "rank = 1\nrank = 2",
       "found=\"a duplicate key (first on line 9)\""},
      {"[change x]", "[chance x]",
       "section=[chance x] key=- found=\"an unknown section\""},
      {"[change x]", "[class edits]",
       "found=\"a duplicate section (first on line 6)\""},
      {"service = desk", "service = dusk",
       "key=service found=\"dusk\" allowed=\"a service of this document: "
       "desk\""},
      {"vm = 7", "data_centre = nowhere",
       "found=\"nowhere\" allowed=\"a data centre of a service: a b\""},
      {"vm = 7", "vm = 7\ndata_centre = a", "found=\"vm and data_centre\""},
      {"vm = 7\n", "", "found=\"neither\""},
      {"10.0.0.2:80", "10.0.0.1:80", "found=\"10.0.0.1:80 again\""},
      {"10.0.0.2:80", "10.0.0:80",
       "allowed=\"A.B.C.D:PORT separated by commas\""},
      {"2026-12-04T10:00:00Z", "tomorrow", "allowed=\"YYYY-MM-DDTHH:MM:SSZ\""},
      {"2026-12-04T10:00:00Z", "2026-02-30T10:00:00Z",
       "allowed=\"YYYY-MM-DDTHH:MM:SSZ\""},
      {"0d0e0f", "0d0e0", "allowed=\"32 hexadecimal digits\""},
      {"idempotent = no", "idempotent = maybe", "allowed=\"yes or no\""},
      {"[token-key 2]", "[token-key two]", "section=[token-key two]"},
      {"[document]", "[document", "allowed=\"[section]\""},
      {"rank = 1", "rank", "found=\"rank\" allowed=\"key = value\""},
  };
  for (const FaultyEdit& edit : faulty_edits)
    CHECK_CONTAINS(
        edit.expected_problem,
        ConfigProblems(ReplaceFirst(kValidConfig, edit.from, edit.to)));
}

/** An operator should not have to correct a document once for each problem. */
TEST(Documents, AllProblemsAreReportedTogether) {
  std::string text = ReplaceFirst(kValidConfig, "rank = 1", "rank = 0");
  text = ReplaceFirst(text, "kind = stop", "kind = halt");
  text = ReplaceFirst(text, "version = 3", "version = 0");
  LONGS_EQUAL(3, CheckConfig("c.ini", text).problems.size());
}

TEST(Documents, ExampleDocumentsAreValid) {
  for (const char* path :
       {"etc/telon-norte/config.ini", "etc/kotenymuhely/config.ini"})
    STRCMP_EQUAL(
        "",
        FormatProblems(CheckConfig(path, ReadSource(path)).problems).c_str());
  for (const char* path :
       {"etc/telon-norte/cuminvaned.ini", "etc/kotenymuhely/cuminvaned.ini"})
    STRCMP_EQUAL(
        "",
        FormatProblems(CheckSettings(path, ReadSource(path)).problems).c_str());
  for (const char* path :
       {"etc/telon-norte/vms.ini", "etc/kotenymuhely/vms.ini"})
    STRCMP_EQUAL(
        "",
        FormatProblems(CheckVmList(path, ReadSource(path)).problems).c_str());
}

/** Defaults are written in the settings table and in the Settings type; they
 * must not drift apart. */
TEST(Documents, SettingsTableDefaultsEqualCodeDefaults) {
  const SettingsCheck check =
      CheckSettings("s.ini",
                    "[vm]\nid = 1\ndata_centre = a\n[listen]\nfabric = "
                    "1.1.1.1:1\nbackend = 1.1.1.1:2\npeer = 1.1.1.1:3\n"
                    "control_port = 4\n[platform]\naddress = 1.1.1.1:5\n");
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  const Settings defaults;
  CHECK(check.settings.requests == defaults.requests);
  CHECK(check.settings.membership == defaults.membership);
  CHECK(check.settings.log_levels == defaults.log_levels);
  CHECK(check.settings.stop_grace == defaults.stop_grace);
  CHECK(check.settings.stop_linger == defaults.stop_linger);
}

TEST(Documents, VmListRequiresTheKeysOfEachRole) {
  const std::string head =
      "[list]\nversion = 1\n[vm 5]\nincarnation = 1\ndata_centre = a\naddress "
      "= 1.1.1.1:1\n";
  CHECK_CONTAINS(
      "key=service",
      FormatProblems(CheckVmList("v", head + "role = backend\n").problems));
  CHECK_CONTAINS(
      "key=peer_address",
      FormatProblems(CheckVmList("v", head + "role = balancer\n").problems));
  LONGS_EQUAL(0, CheckVmList("v", head + "role = backend\nservice = desk\n")
                     .problems.size());
}

/** The pages are generated from the tables in the code and have to be
 * regenerated after a change. */
TEST(Documents, DocumentationPagesContainTheSchemaAndResultCodeTables) {
  const std::string page = ReadSource("docs/CONFIGURATION.md");
  for (const Schema& schema : {kConfigSchema, kSettingsSchema, kVmListSchema})
    CHECK_TEXT(page.find(FormatSchema(schema)) != std::string::npos,
               "docs/CONFIGURATION.md differs from cuminvanectl reference");
  const std::string codes = ReadSource("docs/RESULT-CODES.md");
  for (const ResultCodeRow& row : kResultCodes) {
    const std::string begin = "| " +
                              std::to_string(static_cast<int>(row.code)) +
                              " | `" + row.name + "` | ";
    CHECK_CONTAINS(begin, codes);
    CHECK_CONTAINS(std::string(row.meaning) + " | " + row.action, codes);
  }
}

TEST(Documents, ResultCodesAreSortedAndUniquelyNamed) {
  for (size_t row = 1; row < kResultCodes.size(); ++row) {
    CHECK(kResultCodes[row - 1].code < kResultCodes[row].code);
    for (size_t other = 0; other < row; ++other)
      CHECK(std::string(kResultCodes[row].name) != kResultCodes[other].name);
  }
}

TEST_GROUP(DocumentStores) {
  RandomEngine random{7};
  Output out;
  DocumentStore<ConfigDocument> first;
  DocumentStore<ConfigDocument> second;
  const std::vector<Endpoint> peers{{1, 1}};

  /** @return The valid configuration with this version and further lines. */
  static std::string ConfigOfVersion(int version,
                                     const std::string& extra = "") {
    return ReplaceFirst(kValidConfig, "version = 3",
                        "version = " + std::to_string(version)) +
           extra;
  }

  /** Decodes the first datagram of the output, clears the output and calls the
   * handler with the message. */
  template <class Message, class Handler>
  void DeliverFirstDatagram(Handler handler) {
    CHECK(!this->out.datagrams.empty());
    const std::string bytes = this->out.datagrams.front().bytes;
    this->out.Clear();
    const Result<Message> message =
        Decode<Message>(bytes, DecodeHeader(bytes).value());
    CHECK(message.has_value());
    handler(message.value());
  }
};

/** An older version that arrives late must not replace a newer one. */
TEST(DocumentStores, HighestVersionStaysActive) {
  CHECK(first.Offer(TimePoint{}, ConfigOfVersion(5), {}, random, out)
            .has_value());
  CHECK_CODE(ResultCode::kStaleDocument,
             first.Offer(TimePoint{}, ConfigOfVersion(4), {}, random, out)
                 .error()
                 .code);
  LONGS_EQUAL(5, first.Stamp().version.value);
  CHECK(first.Offer(TimePoint{}, ConfigOfVersion(6), {}, random, out)
            .has_value());
  LONGS_EQUAL(6, first.Stamp().version.value);
}

/** The valid parts of an invalid document must not become active. */
TEST(DocumentStores, InvalidDocumentIsRejectedAsAWhole) {
  CHECK(first.Offer(TimePoint{}, ConfigOfVersion(5), {}, random, out)
            .has_value());
  CHECK_CODE(
      ResultCode::kInvalidDocument,
      first
          .Offer(TimePoint{}, ConfigOfVersion(6, "[class late]\nrank = 1\n"),
                 {}, random, out)
          .error()
          .code);
  LONGS_EQUAL(5, first.Current()->version.value);
}

/** An operator can publish two documents under one version by mistake.
 * Balancers that get them in different order must not stay on different
 * documents. */
TEST(DocumentStores, ConflictingDocumentsOfOneVersionConverge) {
  const std::string config_one =
      ConfigOfVersion(5,
                      "[class one]\nservice = desk\nidempotent = no\nrank = "
                      "1\nanswered_within_ms = 1\nanswered_percent = 1\n");
  const std::string config_two =
      ConfigOfVersion(5,
                      "[class two]\nservice = desk\nidempotent = no\nrank = "
                      "1\nanswered_within_ms = 1\nanswered_percent = 1\n");
  // The same document is active after both were seen, in either order.
  static_cast<void>(first.Offer(TimePoint{}, config_one, {}, random, out));
  static_cast<void>(first.Offer(TimePoint{}, config_two, {}, random, out));
  static_cast<void>(second.Offer(TimePoint{}, config_two, {}, random, out));
  static_cast<void>(second.Offer(TimePoint{}, config_one, {}, random, out));
  CHECK(first.Stamp() == second.Stamp());
}

TEST(DocumentStores, DeltaBringsPeerUpToDate) {
  static_cast<void>(
      first.Offer(TimePoint{}, ConfigOfVersion(5), {}, random, out));
  static_cast<void>(
      second.Offer(TimePoint{}, ConfigOfVersion(5), {}, random, out));
  out.Clear();
  static_cast<void>(first.Offer(
      TimePoint{},
      ConfigOfVersion(
          6, "[token-key 3]\nsecret = 000102030405060708090a0b0c0d0e00\n"),
      peers, random, out));
  const size_t delta_bytes = out.datagrams.front().bytes.size();
  CHECK(delta_bytes < 300);
  DeliverFirstDatagram<DocumentPush>([&](const DocumentPush& push) {
    second.OnPush(TimePoint{}, push, {}, random, out);
  });
  CHECK(first.Stamp() == second.Stamp());
  CHECK(*first.Current() == *second.Current());
}

/** The result of an altered delta differs from the document that its sender
 * has. */
TEST(DocumentStores, AlteredDeltaIsRejected) {
  static_cast<void>(
      first.Offer(TimePoint{}, ConfigOfVersion(5), {}, random, out));
  static_cast<void>(
      second.Offer(TimePoint{}, ConfigOfVersion(5), {}, random, out));
  out.Clear();
  static_cast<void>(
      first.Offer(TimePoint{}, ConfigOfVersion(6), peers, random, out));
  DeliverFirstDatagram<DocumentPush>([&](DocumentPush push) {
    DocumentDelta delta = UnpackDelta(AsStringView(push.packed_delta)).value();
    delta.changed.front().body += "x = y\n";
    const std::string altered = PackDelta(delta);
    push.packed_delta = MakeBlob(altered);
    second.OnPush(TimePoint{}, push, {}, random, out);
  });
  LONGS_EQUAL(5, second.Stamp().version.value);
}
