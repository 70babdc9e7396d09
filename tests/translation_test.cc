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

std::string Route(const std::string& name,
                  const std::string& address,
                  const Fields& changed = {}) {
  Fields fields = changed;
  fields.merge(Fields{{"name", Quoted(name)},
                      {"hostname", Quoted(address)},
                      {"prefix", "\"/8080/\""},
                      {"route_type", "\"unsafe\""},
                      {"timeout_ms", "4000"},
                      {"target_latency_ms", "250"},
                      {"priority", "0"},
                      {"service", "\"desk\""}});
  return Object(fields);
}

/** Parts of a configuration that are unlike the others. */
struct OddParts {
  std::string route = {};    ///< JSON of a further route; empty if none.
  std::string service = {};  ///< JSON of the name of a further service.
  std::string idle_timeout_ms = {};  ///< JSON of the limit; empty if none.
};

std::string OperatorConfig(const OddParts& odd) {
  std::string json = R"({"version":7,"routes":[)" + Route("r-1", "198.18.0.1");
  json += (odd.route.empty() ? "" : "," + odd.route) + "," +
          Route("r-2", "198.18.0.2") +
          R"(],"services":[{"name":"desk"},{"name":"proof"})";
  if (!odd.service.empty())
    json += R"(,{"name":)" + odd.service + "}";
  json += R"(],"limits":)" + Object({{"idle_timeout_ms", odd.idle_timeout_ms}});
  return json + "}";
}

/** @return The configuration translated from two regular routes and the odd
 * parts; fails if the check of documents refuses it. */
Config ConfigWith(const OddParts& odd) {
  const platform::Translation translation =
      platform::TranslateConfig({{"op/config", OperatorConfig(odd)}});
  const ConfigCheck check = CheckConfig("c", translation.text);
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  LONGS_EQUAL(7, check.config.version.value);
  CHECK(FindClass(check.config, ClassIdOf("r-1")) != nullptr);
  CHECK(FindClass(check.config, ClassIdOf("r-2")) != nullptr);
  return check.config;
}

}  // namespace

TEST_GROUP(Translation){};

/** One such entry froze the list of every balancer: servers that left went on
 * taking flows, and no balancer became ready after a restart. */
TEST(Translation, OddEntryDoesNotKeepTheListOutOfForce) {
  for (const auto& [field, value] : kOddFields)
    ListWith("servers/i-2", Entry({{field, value}}));
}

/** An address with a zero byte was read up to it. */
TEST(Translation, EntryWithAZeroByteInItsAddressIsLeftOut) {
  const std::string address = Quoted("10.0.0.1\\u0000:80");
  const VmList list = ListWith("servers/i-2", Entry({{"address", address}}));
  CHECK(FindVm(list, VmId{2}) == nullptr);
}

/** Reading an array of 400,000 numbers with each change of the list would take
 * the processor away from packets. */
TEST(Translation, EntryOfAMegabyteIsLeftOut) {
  std::string numbers = "[1";
  for (int index = 1; index < 400'000; ++index)
    numbers += ",1";
  const VmList list =
      ListWith("servers/i-2", Entry({{"further", numbers + "]"}}));
  CHECK(FindVm(list, VmId{2}) == nullptr);
}

/** The report names the item, the field, and what is expected. */
TEST(Translation, WhatIsLeftOutIsReported) {
  const platform::Translation list =
      platform::TranslateVmList({{"servers/i-2", Entry({{"slots", "0"}})}}, 5);
  STRCMP_EQUAL(
      "item=\"servers/i-2\" action=left_out key=slots found=\"0\" "
      "allowed=\"integer 1 to 1000000\"",
      list.problems.front().c_str());
  const platform::Translation config = platform::TranslateConfig(
      {{"op/config",
        OperatorConfig({.route = Route("r-3", "198.18.0.9",
                                       {{"service", "\"unlisted\""}})})}});
  LONGS_EQUAL(1, config.problems.size());
  CHECK_CONTAINS(
      "item=\"route r-3 of op/config\" action=left_out key=service "
      "found=\"unlisted\"",
      config.problems.front());
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

/** A request whose value is damaged must not keep flows in the data centre. */
TEST(Translation, EvacuationIsListedWhateverItsValue) {
  for (const std::string& value :
       {std::string("{}"), std::string(), std::string("7"), std::string("{"),
        std::string("\xff"), std::string(200'000, '[')}) {
    const platform::Translation translation = platform::TranslateVmList(
        {{"op/evacuate/zone-b", value}, {"op/evacuate/zone-a", value}}, 5);
    const VmListCheck check = CheckVmList("v", translation.text);
    CHECK(check.problems.empty());
    CHECK(check.list.evacuated ==
          (std::vector<std::string>{"zone-a", "zone-b"}));
    CHECK(translation.problems.empty());
  }
}

/** An odd name must neither freeze the list nor hide a valid request. */
TEST(Translation, EvacuationWithAnOddNameIsIgnored) {
  for (const std::string& name :
       {std::string(), std::string(" "), std::string("zone b"),
        std::string("zone-b/"), std::string("zone-b/x"),
        std::string("zone-b]\n[vm 3"), std::string("\xff"),
        std::string("z\0b", 3), std::string(2000, 'z'),
        std::string(1'000'000, 'z')}) {
    const platform::Translation translation =
        platform::TranslateVmList({{"op/evacuate/" + name, "{}"},
                                   {"op/evacuate/zone-a", "{}"},
                                   {"servers/i-1", Entry()}},
                                  5);
    const VmListCheck check = CheckVmList("v", translation.text);
    STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
    CHECK(check.list.evacuated == std::vector<std::string>{"zone-a"});
    LONGS_EQUAL(1, check.list.vms.size());
    LONGS_EQUAL(1, translation.problems.size());
    CHECK_CONTAINS("action=left_out", translation.problems.front());
    CHECK_CONTAINS("item=\"op/evacuate/", translation.problems.front());
    CHECK(translation.problems.front().size() < 2000);
  }
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

/** Each of these kept the version with all its other routes out of force, and
 * balancers that started then never became ready. */
TEST(Translation, OddRouteDoesNotKeepTheConfigurationOutOfForce) {
  const std::string split = R"([{"service":"desk","weight":)";
  const std::vector<Fields> odd_routes = {
      {{"name", Quoted(std::string(240, 'r'))}},
      {{"name", Quoted(std::string(70'000, 'r'))}},
      {{"name", Quoted("r 3")}},
      {{"target_latency_ms", "0"}},
      {{"target_latency_ms", "100000000"}},
      {{"target_latency_ms", "1e308"}},
      {{"target_latency_ms", ""}, {"timeout_ms", "100000000"}},
      {{"target_latency_ms", ""}, {"timeout_ms", "-5"}},
      {{"service", "\"unlisted\""}},
      {{"service", Quoted(std::string(300, 's'))}},
      {{"traffic_split", split + "8589934592}]"}},
      {{"traffic_split", split + "1e308}]"}},
      {{"traffic_split", split + "0.4}]"}},
      {{"traffic_split", split + "0}]"}},
      {{"traffic_split", split + "-1}]"}},
      {{"traffic_split", R"([{"service":"unlisted","weight":1}])"}},
      {{"hostname", Quoted("198.18.0.9\\u0000")}},
      {{"hostname", Quoted("198.18.0.8:80, 198.18.0.9")}},
      {{"prefix", Quoted("/70000/")}},
      {{"prefix", Quoted("/" + std::string(250, '0') + "80/")}},
      {{"priority", "1e308"}},
      {{"name", "\"r-1\""}},
      {{"hostname", "\"198.18.0.1\""}},
  };
  for (const Fields& odd : odd_routes)
    ConfigWith({.route = Route("r-3", "198.18.0.9", odd)});
  ConfigWith({.service = "\"desk\""});
  ConfigWith({.service = Quoted(std::string(240, 's'))});
  ConfigWith({.service = Quoted(std::string(70'000, 's'))});
  for (const char* const idle : {"50", "2000000000", "1e308", "-1", "\"x\""})
    ConfigWith({.idle_timeout_ms = idle});
}

/** @return The configuration translated while `in_force` is in force. */
Config ConfigAfter(const std::string& in_force, const std::string& json) {
  IniProblems problems;
  const SectionTexts sections = Canonicalize(ReadIni("c", in_force, problems));
  const platform::Translation translation = platform::TranslateConfig(
      {{"op/config", json}}, [&] { return sections; });
  const ConfigCheck check = CheckConfig("c", translation.text);
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  return check.config;
}

/** Leaving a class out ends its open flows. */
TEST(Translation, InvalidRouteStaysAsItWasInForce) {
  const std::string in_force =
      platform::TranslateConfig(
          {{"op/config",
            OperatorConfig(
                {.route = Route("r-3", "198.18.0.9", {{"service", "\"gone\""}}),
                 .service = "\"gone\""})}})
          .text;
  const Config config = ConfigAfter(
      in_force,
      OperatorConfig({.route = Route("r-3", "198.18.0.9",
                                     {{"service", "\"unlisted\""}})}));
  const WorkClass* const kept = FindClass(config, ClassIdOf("r-3"));
  CHECK(kept != nullptr);
  CHECK(kept->service == ServiceIdOf("gone"));
  CHECK(FindService(config, ServiceIdOf("gone")) != nullptr);
  // So does one with a field of another type.
  CHECK(FindClass(
            ConfigAfter(in_force,
                        OperatorConfig({.route = Route("r-3", "198.18.0.9",
                                                       {{"service", "7"}})})),
            ClassIdOf("r-3")) != nullptr);
  // A route that the operators have dropped is not kept.
  CHECK(FindClass(ConfigAfter(in_force, OperatorConfig({})),
                  ClassIdOf("r-3")) == nullptr);
}

/** A valid route takes the address of one that is invalid now. */
TEST(Translation, ValidRouteIsPreferredToOneThatIsKept) {
  const std::string in_force =
      platform::TranslateConfig(
          {{"op/config",
            OperatorConfig({.route = Route("r-3", "198.18.0.9")})}})
          .text;
  const std::string routes =
      Route("r-3", "198.18.0.7", {{"service", "\"unlisted\""}}) + "," +
      Route("r-4", "198.18.0.9");
  const Config config =
      ConfigAfter(in_force, OperatorConfig({.route = routes}));
  CHECK(FindClass(config, ClassIdOf("r-3")) == nullptr);
  CHECK(FindClass(config, ClassIdOf("r-4")) != nullptr);
}

/** Operators may drop all routes, and the last valid route may be left out. */
TEST(Translation, ConfigurationWithoutRoutesIsInForce) {
  for (const char* const routes : {"", "7"}) {
    const Config config = ConfigAfter(
        platform::TranslateConfig({{"op/config", OperatorConfig({})}}).text,
        std::string(R"({"version":8,"routes":[)") + routes +
            R"(],"services":[]})");
    LONGS_EQUAL(8, config.version.value);
    LONGS_EQUAL(0, config.classes.size());
  }
  CHECK_CONTAINS(
      "at least one such section",
      FormatProblems(CheckConfig("c", "[document]\nversion = 1\n").problems));
}

/** A list in a field that names one thing. */
TEST(Translation, RouteWithAListInsteadOfANameIsLeftOut) {
  for (const Fields& odd :
       std::vector<Fields>{{{"hostname", Quoted("198.18.0.8:80, 198.18.0.9")}},
                           {{"traffic_split",
                             R"([{"service":"desk 1, proof","weight":1}])"}}}) {
    const Config config =
        ConfigWith({.route = Route("r-3", "198.18.0.9", odd)});
    CHECK(FindClass(config, ClassIdOf("r-3")) == nullptr);
  }
}

/** The service that a kept class needs is not valid without its token key. */
TEST(Translation, RouteWhoseServiceCannotBeKeptIsLeftOut) {
  const std::string in_force =
      "[document]\nversion = 1\n[token-key 1]\nsecret = "
      "000102030405060708090a0b0c0d0e0f\n[service gone]\naddresses = "
      "10.0.0.1:80\n[class r-3]\nservice = gone\nidempotent = yes\nrank = "
      "1\nanswered_within_ms = 100\n";
  const Config config = ConfigAfter(
      in_force,
      OperatorConfig({.route = Route("r-3", "198.18.0.9",
                                     {{"service", "\"unlisted\""}})}));
  CHECK(FindClass(config, ClassIdOf("r-3")) == nullptr);
  LONGS_EQUAL(2, config.classes.size());
}

TEST(Translation, RouteWithLongNamesIsInForce) {
  const std::string name(240, 'n');
  const Config config = ConfigWith(
      {.route = Route(name, "198.18.0.9", {{"service", Quoted(name)}}),
       .service = Quoted(name)});
  CHECK(FindClass(config, ClassIdOf(name)) != nullptr);
}

/** Only the ratio of weights matters. */
TEST(Translation, WeightsOfAnySizeKeepTheirRatio) {
  for (const auto& [first, second] :
       {std::pair("0.3", "0.1"), std::pair("3e18", "1e18"),
        std::pair("25769803776", "8589934592"), std::pair("3", "1")}) {
    const Config config = ConfigWith(
        {.route = Route(
             "r-3", "198.18.0.9",
             {{"traffic_split",
               std::string(R"([{"service":"desk","weight":)") + first +
                   R"(},{"service":"proof","weight":)" + second + "}]"}})});
    const WorkClass* const split = FindClass(config, ClassIdOf("r-3"));
    CHECK(split != nullptr);
    LONGS_EQUAL(2, split->split.size());
    DOUBLES_EQUAL(3.0,
                  static_cast<double>(split->split[0].weight) /
                      static_cast<double>(split->split[1].weight),
                  1e-5);
  }
}

/** Values beyond what the balancer supports are replaced by the nearest one. */
TEST(Translation, TimesOutOfRangeAreLimited) {
  LONGS_EQUAL(
      86'400'000,
      ConfigWith({.idle_timeout_ms = "2000000000"}).flow_idle_timeout.count());
  LONGS_EQUAL(100,
              ConfigWith({.idle_timeout_ms = "50"}).flow_idle_timeout.count());
  const Config config =
      ConfigWith({.route = Route("r-3", "198.18.0.9",
                                 {{"target_latency_ms", "100000000"}})});
  const WorkClass* const slow = FindClass(config, ClassIdOf("r-3"));
  CHECK(slow != nullptr);
  LONGS_EQUAL(3'600'000, slow->target.answered_within_ms);
}

/** Guards against a limit that is lost or made up in the translation, and
 * against keys that earlier versions of the balancer refuse where no limit is
 * stated. */
TEST(Translation, RateLimitOfAColdServer) {
  struct Case {
    const char* fields;
    int64_t cold_ms;
    double per_s;
    size_t problems;
  };
  const std::vector<Case> cases = {
      {R"("cold_start_s":2.5,"cold_per_s":7.5)", 2500, 7.5, 0},
      {R"("cold_per_s":3)", 0, 3, 0},
      {R"("cold_start_s":10)", 0, 0, 0},
      {R"("cold_start_s":10,"cold_per_s":0)", 0, 0, 0},
      {R"("cold_start_s":10,"cold_per_s":-1)", 0, 0, 1},
      {R"("cold_start_s":10,"cold_per_s":"4")", 0, 0, 1},
      {R"("cold_start_s":[],"cold_per_s":{})", 0, 0, 2},
      {R"("cold_start_s":-1,"cold_per_s":4)", 0, 4, 1},
      {R"("cold_start_s":null,"cold_per_s":1e-9)", 0, 1e-6, 0},
      {R"("cold_start_s":1e308,"cold_per_s":1e308)", 86'400'000, 1e6, 0},
  };
  for (const Case& one : cases) {
    const platform::Translation translation = platform::TranslateConfig(
        {{"op/config",
          R"({"version":7,"routes":[)" + Route("r-1", "198.18.0.1") +
              R"(],"services":[{"name":"desk",)" + one.fields + "}]}"}},
        [] { return SectionTexts{}; });
    const ConfigCheck check = CheckConfig("c", translation.text);
    STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
    LONGS_EQUAL(1, check.config.services.size());
    LONGS_EQUAL(one.cold_ms, check.config.services[0].cold_time.count());
    DOUBLES_EQUAL(one.per_s, check.config.services[0].cold_per_s, 1e-9);
    LONGS_EQUAL(one.problems, translation.problems.size());
    CHECK_EQUAL(one.per_s > 0,
                translation.text.find("cold_") != std::string::npos);
  }
}
