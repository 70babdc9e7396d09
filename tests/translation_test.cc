/** @file translation_test.cc One item of the platform's store with unexpected
 * content must not keep the rest of a document out of force. */

#include <string>
#include <utility>
#include <vector>

#include "base/ini_func.h"
#include "document/config_func.h"
#include "document/vmlist_func.h"
#include "platform/record_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

using Fields = std::map<std::string, std::string>;

/** @return A JSON object of these fields; fields without a text are left out.
 */
std::string Object(const Fields& fields) {
  std::string json;
  for (const auto& [name, text] : fields) {
    if (!text.empty())
      json += (json.empty() ? "\"" : ",\"") + name + "\":" + text;
  }
  return "{" + json + "}";
}

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

/** @return The entry of a backend server with changed fields. */
std::string Entry(const Fields& changed = {}) {
  Fields fields = changed;
  fields.merge(Fields{{"service", "\"desk\""},
                      {"address", "\"10.128.0.9:8080\""},
                      {"zone", "\"zone-a\""},
                      {"version", "\"v1\""},
                      {"slots", "3"},
                      {"state", "\"ready\""},
                      {"cold_remaining_ms", "0"},
                      {"seq", "4"},
                      {"born", "1700000000000"}});
  return Object(fields);
}

/** Fields of a backend server's entry that another program may have written,
 * with the JSON text of the value. */
const std::vector<std::pair<std::string, std::string>> kOddFields = {
    {"service", Quoted(std::string(300, 's'))},
    {"service", Quoted(std::string(70'000, 's'))},
    {"service", Quoted("desk\\nstate = leaving")},
    {"service", Quoted("desk ; x")},
    {"service", Quoted("d\\u0000k")},
    {"zone", Quoted(std::string(300, 'z'))},
    {"zone", Quoted(std::string(70'000, 'z'))},
    {"zone", Quoted("zone a")},
    {"zone", "[]"},
    {"address", Quoted("10.0.0.1\\u0000:80")},
    {"address", Quoted("10.0.0.1:80\\u0000")},
    {"address", Quoted("10.0.0.1:" + std::string(250, '0') + "80")},
    {"address", Quoted("10.0.0.1:0")},
    {"address", Quoted("10.0.0.1:-1")},
    {"address", Quoted("10.0.0.1:70000")},
    {"address", Quoted("10.0.0.1:18446744073709551616")},
    {"address", Quoted("10.0.0.1:80\\n")},
    {"address", Quoted(std::string(300, '1') + ":80")},
    {"slots", "1e308"},
    {"slots", "18446744073709551615"},
    {"slots", "18446744073709551616"},
    {"slots", std::string(900'000, '9')},
    {"slots", "2.5"},
    {"cold_remaining_ms", "1e308"},
    {"cold_remaining_ms", "1e400"},
    {"cold_remaining_ms", "-1"},
    {"born", "18446744073709551615"},
    {"born", "1e308"},
    {"born", "-1"},
    {"seq", "{}"},
    {"further", std::string(200'000, '[')},
    {"further", std::string(900, '[') + std::string(900, ']')},
};

/** @return The list translated from a regular entry and another item; fails if
 * the check of documents refuses it. */
VmList ListWith(const std::string& key, const std::string& value) {
  const platform::Translation translation =
      platform::TranslateVmList({{"servers/i-1", Entry()}, {key, value}}, 5);
  const VmListCheck check = CheckVmList("v", translation.text);
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  CHECK(FindVm(check.list, VmId{1}) != nullptr);
  // What is left out is reported.
  LONGS_EQUAL(2, check.list.vms.size() + translation.problems.size());
  return check.list;
}

}  // namespace

TEST_GROUP(Translation){};

/** One such entry froze the list of every balancer: servers that left went on
 * taking flows, and no balancer became ready after a restart. */
TEST(Translation, OddEntryDoesNotKeepTheListOutOfForce) {
  for (const auto& [field, value] : kOddFields)
    ListWith("servers/i-2", Entry({{field, value}}));
}

TEST(Translation, OddKeyOrValueDoesNotKeepTheListOutOfForce) {
  for (const std::string& key :
       {std::string("servers/"), std::string("servers/xyz"),
        std::string("servers/i-0"), "servers/i-" + std::string(180, 'f'),
        std::string("servers/i-2\n[vm 3]"), std::string("servers/i-1/i")})
    ListWith(key, Entry());
  for (const std::string& value :
       {std::string(200'000, '['), std::string(200'000, '{'),
        std::string("\xff\xfe"), std::string(1'000'000, 'x'), std::string("7"),
        std::string("null"), std::string()})
    ListWith("servers/i-2", value);
}

/** Leading zeros of a port are a matter of notation. */
TEST(Translation, PortWithLeadingZerosIsThePort) {
  const std::string port = std::string(250, '0') + "80";
  const VmList list =
      ListWith("servers/i-2", Entry({{"address", Quoted("10.0.0.1:" + port)}}));
  LONGS_EQUAL(80, FindVm(list, VmId{2})->address.port);
}

/** The service of a server may have any DNS name. */
TEST(Translation, ServerOfAServiceWithALongNameIsListed) {
  const std::string service(238, 's');
  const VmList list =
      ListWith("servers/i-2", Entry({{"service", Quoted(service)}}));
  CHECK(FindVm(list, VmId{2})->service == ServiceIdOf(service));
}
