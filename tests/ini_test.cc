/** @file ini_test.cc INI text is read completely, whatever the length of its
 * lines and words. */

#include "base/ini_func.h"
#include "document/config_func.h"
#include "document/vmlist_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/** Length of the longest DNS name. */
constexpr size_t kDnsNameLength = 253;

std::string ConfigWith(const std::string& class_lines) {
  return "[document]\nversion = 1\n[service desk]\n[class edits]\nservice = "
         "desk\nidempotent = no\nanswered_within_ms = 500\n" +
         class_lines;
}

std::string ProblemsOf(const std::string& class_lines) {
  return FormatProblems(CheckConfig("c.ini", ConfigWith(class_lines)).problems);
}

/** @return The value of the only entry in the text. */
std::string OnlyValue(const std::string& line) {
  IniProblems problems;
  const IniDocument document = ReadIni("i", "[s]\n" + line, problems);
  STRCMP_EQUAL("", FormatProblems(problems).c_str());
  return document.sections.front().entries.front().value;
}

}  // namespace

TEST_GROUP(Ini){};

/** Lines of more than 199 characters kept a configuration out of force. */
TEST(Ini, SplitOverManyServicesIsValid) {
  std::string text = "[document]\nversion = 1\n";
  std::string split;
  for (int index = 0; index < 100; ++index) {
    const std::string service =
        "print-archive-of-the-night-batch-" + std::to_string(index);
    text += "[service " + service + "]\n";
    split += (split.empty() ? "" : ", ") + service + " 1";
  }
  text +=
      "[class edits]\nservice = print-archive-of-the-night-batch-0\n"
      "idempotent = no\nrank = 1\nanswered_within_ms = 500\nsplit = " +
      split + "\n";
  const ConfigCheck check = CheckConfig("c.ini", text);
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  LONGS_EQUAL(100, check.config.classes.front().split.size());
}

/** One backend server with a long service name froze the list of VMs. */
TEST(Ini, NamesAsLongAsDnsNamesAreValid) {
  const std::string name(kDnsNameLength, 'n');
  const VmListCheck check =
      CheckVmList("v",
                  "[list]\nversion = 1\n[vm 1]\nincarnation = 1\nrole = "
                  "backend\naddress = 10.0.0.1:80\nservice = " +
                      name + "\ndata_centre = " + name + "\n");
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  STRCMP_EQUAL(name.c_str(), check.list.vms.front().data_centre.c_str());
}

/** A truncated line could still be a valid one with another value. */
TEST(Ini, LongLineIsNotTruncated) {
  CHECK_CONTAINS("key=rank found=\"1   ",
                 ProblemsOf("rank = 1" + std::string(5000, ' ') + "7\n"));
  STRCMP_EQUAL(
      "", ProblemsOf("rank = 1 ;" + std::string(5000, 'x') + "\n").c_str());
  const std::string value(100'000, 'v');
  STRCMP_EQUAL(value.c_str(), OnlyValue("key = " + value).c_str());
}

/** A name of a megabyte would be sent to every balancer. */
TEST(Ini, NameLongerThanTheLimitIsReported) {
  const std::string problems =
      FormatProblems(CheckVmList("v",
                                 "[list]\nversion = 1\n[vm 1]\nincarnation = "
                                 "1\nrole = backend\naddress = "
                                 "10.0.0.1:80\ndata_centre = d\nservice = " +
                                     std::string(1'000'000, 'n') + "\n")
                         .problems);
  CHECK_CONTAINS("key=service found=\"nnn", problems);
  CHECK_CONTAINS("(1000000 characters)\" allowed=\"a word of up to", problems);
  CHECK(problems.size() < 1000);
}

TEST(Ini, CommentsSpacesAndSeparators) {
  STRCMP_EQUAL("a;b", OnlyValue("  key=a;b ; a comment").c_str());
  STRCMP_EQUAL("10.0.0.1:80", OnlyValue("key: 10.0.0.1:80\r").c_str());
  STRCMP_EQUAL("", OnlyValue("key = ; nothing").c_str());
  STRCMP_EQUAL("v", OnlyValue("; comment\n# comment\n\nkey = v").c_str());
}

/** A problem text must stay one line of a log. */
TEST(Ini, ProblemTextsAreOneLineWithoutQuotationMarks) {
  const std::string text =
      FormatProblems({{"f", 1, "s", "k", "a\nb\"c", "nothing"}});
  STRCMP_EQUAL("f:1: section=[s] key=k found=\"a?b?c\" allowed=\"nothing\"\n",
               text.c_str());
}
