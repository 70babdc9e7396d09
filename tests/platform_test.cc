/** @file platform_test.cc The platform's packet and store formats are read and
 * written as published, and malformed input is rejected. */

#include <random>

#include "base/ini_func.h"
#include "base/schema_func.h"
#include "document/config_func.h"
#include "document/settings_func.h"
#include "document/vmlist_func.h"
#include "platform/packet_func.h"
#include "platform/record_func.h"
#include "platform/store_base.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/** Converts hexadecimal digits, which may be separated by spaces. */
std::vector<std::byte> BytesFromHex(const std::string& hex) {
  std::string digits;
  for (const char c : hex) {
    if (c != ' ')
      digits += c;
  }
  const std::string raw = ParseHex(digits).value();
  std::vector<std::byte> bytes(raw.size());
  for (size_t index = 0; index < raw.size(); ++index)
    bytes[index] = static_cast<std::byte>(raw[index]);
  return bytes;
}

/** An opening packet from 100.64.0.7:40001 to 198.18.0.1:443. */
const char* const kOpeningPacketHex =
    "11 22 33 44 00 00 00 00 00 00 00 00 a1 b2 c3 d5 00 00 08 00 64 40 00 07 "
    "9c 41 01 bb c6 12 00 01";

/**
 * A backend server's entry in the platform's store, as JSON.
 *
 * @param changed_field Field with another value; empty if none.
 * @param value JSON text of that field; empty means that the field is missing.
 */
std::string RegistryEntry(const std::string& changed_field = "",
                          const std::string& value = "") {
  std::map<std::string, std::string> fields = {
      {"service", "\"desk\""},
      {"address", "\"10.128.0.9:8080\""},
      {"zone", "\"zone-a\""},
      {"version", "\"v1\""},
      {"slots", "3"},
      {"state", "\"ready\""},
      {"cold_remaining_ms", "0"},
      {"seq", "4"},
      {"born", "1700000000000"}};
  if (!changed_field.empty())
    fields[changed_field] = value;
  std::string json;
  for (const auto& [name, text] : fields) {
    if (!text.empty())
      json += (json.empty() ? "{\"" : ",\"") + name + "\":" + text;
  }
  return json + "}";
}

/** An operator's configuration with one plain and one split route. */
const char* const kOperatorConfig =
    R"({"version":7,"routes":[
    {"name":"r-1","hostname":"198.18.0.1","prefix":"/8080/","route_type":"unsafe",
     "timeout_ms":4000,"target_latency_ms":250,"priority":0,"service":"desk"},
    {"name":"r-2","hostname":"198.18.0.1","prefix":"/8443/","route_type":"safe",
     "timeout_ms":3000,"target_latency_ms":200,"priority":2,
     "traffic_split":[{"service":"desk","weight":90},{"service":"proof","weight":10}]}],
    "services":[{"name":"desk"},{"name":"proof"}],
    "limits":{"idle_timeout_ms":12000}})";

}  // namespace

TEST_GROUP(Platform){};

TEST(Platform, OpeningPacketIsParsed) {
  const Result<OpaquePacket> packet =
      platform::ParsePacket(BytesFromHex(kOpeningPacketHex));
  CHECK(packet.has_value());
  STRCMP_EQUAL("100.64.0.7:40001", ToString(packet.value().key.caller).c_str());
  STRCMP_EQUAL("198.18.0.1:443", ToString(packet.value().key.service).c_str());
  LONGS_EQUAL(0x11223344, packet.value().sequence);
  CHECK(packet.value().opens);
  LONGS_EQUAL(0, packet.value().length);
}

TEST(Platform, ResetIsWrittenInThePublishedFormat) {
  const FlowReset reset{
      {*ParseEndpoint("100.64.0.7:40001"), *ParseEndpoint("198.18.0.1:443")},
      0};
  const auto written = platform::WriteReset(reset);
  const std::vector<std::byte> expected = BytesFromHex(
      "00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 02 00 c6 12 00 "
      "01 01 bb 9c 41 64 40 00 07");
  CHECK(std::ranges::equal(written, expected));
}

/** The balancer forwards a caller's packet in place; it must not alter the
 * payload or the other header fields. */
TEST(Platform, WritingTheTargetChangesOnlyTargetAndTag) {
  std::vector<std::byte> datagram(platform::kTargetPrefixBytes);
  const std::vector<std::byte> packet = BytesFromHex(kOpeningPacketHex);
  datagram.insert(datagram.end(), packet.begin(), packet.end());
  PacketAction action;
  action.backend = VmId{0x7f3a91c2};
  action.tag = FlowTag{0x01020304};
  platform::WritePacketTarget(datagram, action);
  const std::vector<std::byte> expected = BytesFromHex(
      "00 00 00 00 7f 3a 91 c2 11 22 33 44 00 00 00 00 01 02 03 04 a1 b2 c3 "
      "d5 00 00 08 00 64 40 00 07 9c 41 01 bb c6 12 00 01");
  CHECK(datagram == expected);
}

/** Too short, too long, with a wrong payload length, or with flags that no
 * caller sends. */
TEST(Platform, MalformedPacketsAreRejected) {
  std::vector<std::byte> packet = BytesFromHex(kOpeningPacketHex);
  CHECK_CODE(ResultCode::kTruncated,
             platform::ParsePacket(std::span(packet).first(31)).error().code);
  packet.resize(platform::kMaxPacketBytes + 1);
  CHECK_CODE(ResultCode::kOversized,
             platform::ParsePacket(packet).error().code);
  packet = BytesFromHex(kOpeningPacketHex);
  packet.push_back(std::byte{1});
  CHECK_CODE(ResultCode::kGarbage, platform::ParsePacket(packet).error().code);
  // An opening packet that acknowledges another one comes from a backend
  // server, not from a caller.
  packet = BytesFromHex(kOpeningPacketHex);
  packet[18] = std::byte{9};
  CHECK_CODE(ResultCode::kGarbage, platform::ParsePacket(packet).error().code);
}

/** The parser must return a packet or an error for any input, and the payload
 * length of a packet must match its size. */
TEST(Platform, RandomBytesNeverParseWithWrongLength) {
  std::mt19937_64 random(11);
  for (int round = 0; round < 20000; ++round) {
    std::vector<std::byte> bytes(random() % 80);
    for (std::byte& byte : bytes)
      byte = static_cast<std::byte>(random());
    const Result<OpaquePacket> packet = platform::ParsePacket(bytes);
    CHECK(!packet ||
          bytes.size() == platform::kPacketHeaderBytes + packet.value().length);
  }
}

TEST(Platform, StorePageAndWatchAreParsed) {
  const Result<platform::StoreAnswer> page = platform::ParseStoreAnswer(
      R"({"items":[{"key":"a","value":"bm9kZS0x","revision":412,"create_revision":4,"lease":0}],"has_more":true,"current_rev":530})");
  CHECK(page.has_value());
  CHECK(page.value().has_more);
  LONGS_EQUAL(530, page.value().position.revision);
  STRCMP_EQUAL("node-1", page.value().items.front().value.c_str());
  const Result<platform::StoreAnswer> changes = platform::ParseStoreAnswer(
      R"({"events":[{"key":"b","revision":413,"removed":true}],"current_rev":413})");
  CHECK(changes.has_value());
  CHECK(changes.value().items.front().removed);
}

/** A restore takes revisions back and gives them out again. */
TEST(Platform, ListReadAfterARestoreIsNewerThanAnyBefore) {
  CHECK(platform::VmListVersion({2, 1}) >
        platform::VmListVersion({1, 9'999'999'999}));
  CHECK(platform::VmListVersion({2, 35}) > platform::VmListVersion({2, 34}));
}

/** Balancers of the version before, which know no eras, may be in the fleet. */
TEST(Platform, ListVersionIsTheRevisionBeforeTheFirstRestore) {
  LONGLONGS_EQUAL(217, platform::VmListVersion({0, 217}));
  LONGLONGS_EQUAL(217, platform::VmListVersion({1, 217}));
}

/** The pace of reads must follow the shorter of both bounds. */
TEST(Platform, ChangesAreInForceWithinTheShorterBound) {
  const auto within = [](const std::string& lines) {
    const SettingsCheck check = CheckSettings(
        "s",
        "[vm]\nid = 1\ndata_centre = a\n[listen]\npeer = 10.0.0.1:1\n"
        "control = 10.0.0.1:2\npackets = 10.0.0.1:3\nready = "
        "10.0.0.1:4\n[platform]\naddress = 10.0.0.9:1\n" +
            lines);
    STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
    return check.settings.platform_timing.in_force_within.count();
  };
  LONGS_EQUAL(6000, within("in_force_ms = 6000\n"));
  LONGS_EQUAL(6000, within("in_force_ms = 6000\nevacuated_within_ms = 0\n"));
  LONGS_EQUAL(5000, within("in_force_ms = 6000\nevacuated_within_ms = 5000\n"));
  LONGS_EQUAL(3000, within("in_force_ms = 3000\nevacuated_within_ms = 5000\n"));
}

TEST(Platform, MalformedStoreAnswersAreRejected) {
  for (const char* const body :
       {"", "[]", "{}", R"({"items":[]})", R"({"current_rev":1})",
        R"({"items":[{"key":"a","value":"%%","revision":1}],"current_rev":1})",
        R"({"items":[{"value":"","revision":1}],"current_rev":1})",
        R"({"events":{},"current_rev":1})", R"({"items":[1],"current_rev":1})"})
    CHECK_CODE(ResultCode::kGarbage,
               platform::ParseStoreAnswer(body).error().code);
}

TEST(Platform, OperatorConfigurationIsTranslatedToADocument) {
  const platform::Translation translation =
      platform::TranslateConfig({{"op/config", kOperatorConfig}});
  LONGS_EQUAL(0, translation.problems.size());
  const ConfigCheck check = CheckConfig("c", translation.text);
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  LONGS_EQUAL(7, check.config.version.value);
  LONGS_EQUAL(12000, check.config.flow_idle_timeout.count());
  const WorkClass* const unsafe_class =
      FindClass(check.config, ClassIdOf("r-1"));
  CHECK(!unsafe_class->idempotent);
  LONGS_EQUAL(1, unsafe_class->rank);
  LONGS_EQUAL(250, unsafe_class->target.answered_within_ms);
  STRCMP_EQUAL("198.18.0.1:8080",
               ToString(unsafe_class->addresses.front()).c_str());
  const WorkClass* const split_class =
      FindClass(check.config, ClassIdOf("r-2"));
  CHECK(split_class->idempotent);
  LONGS_EQUAL(2, split_class->split.size());
  LONGS_EQUAL(10, split_class->split[1].weight);
}

/** An empty text stands for "no document"; the active configuration stays. */
TEST(Platform, MalformedConfigurationYieldsNoDocument) {
  for (const char* const json :
       {"", "7", "{}", R"({"version":"7"})",
        R"({"version":7,"routes":{},"services":[]})"}) {
    const platform::Translation translation =
        platform::TranslateConfig({{"op/config", json}});
    STRCMP_EQUAL("", translation.text.c_str());
    LONGS_EQUAL(1, translation.problems.size());
  }
}

/** Found by fuzzing: the JSON library throws on texts that are nested too
 * deeply and on values of another type than requested. Uncaught, that would
 * end the balancer. */
TEST(Platform, JsonLibraryExceptionsAreReportedAsProblems) {
  const std::string deeply_nested(3000, '[');
  LONGS_EQUAL(1, platform::TranslateVmList({{"servers/i-1", deeply_nested}}, 1)
                     .problems.size());
  STRCMP_EQUAL(
      "",
      platform::TranslateConfig({{"op/config", deeply_nested}}).text.c_str());
  CHECK_CODE(ResultCode::kGarbage,
             platform::ParseStoreAnswer(deeply_nested).error().code);
  for (
      const char* const route :
      {R"({"name":"r","hostname":"198.18.0.1","prefix":"/1/","service":"s","traffic_split":{"a":1}})",
       R"({"name":"r","hostname":"198.18.0.1","prefix":"/1/","service":"s","traffic_split":[7]})",
       R"({"name":"r","hostname":"198.18.0.1","prefix":"/1/","service":"s","timeout_ms":"x"})",
       "7"}) {
    const platform::Translation translation = platform::TranslateConfig(
        {{"op/config",
          std::string(R"({"version":1,"services":[{"name":"s"}],)") +
              R"("limits":[1],"routes":[)" + route + "]}"}});
    LONGS_EQUAL(1, translation.problems.size());
  }
}

TEST(Platform, RegistryEntriesAreTranslatedToAVmList) {
  const platform::Translation translation = platform::TranslateVmList(
      {{"op/config", "{}"},
       {"servers/i-7f3a91c2", RegistryEntry()},
       {"servers/i-0b", RegistryEntry("state", "\"draining\"")}},
      530);
  LONGS_EQUAL(0, translation.problems.size());
  const VmListCheck check = CheckVmList("v", translation.text);
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  LONGS_EQUAL(530, check.list.version.value);
  const Vm* const vm = FindVm(check.list, VmId{0x7f3a91c2});
  CHECK(vm != nullptr);
  CHECK(!vm->leaving);
  LONGS_EQUAL(3, vm->slots);
  CHECK(vm->incarnation == Incarnation{1700000000000});
  CHECK(FindVm(check.list, VmId{0x0b})->leaving);
}

/** The entries come from other programs. One malformed entry must be reported
 * and must not hide the valid ones. */
TEST(Platform, MalformedRegistryEntryIsLeftOutOfTheVmList) {
  const std::vector<std::pair<std::string, std::string>> invalid_fields = {
      {"service", ""},
      {"service", "7"},
      {"address", "\"here\""},
      {"zone", "null"},
      {"version", "1"},
      {"slots", "0"},
      {"slots", "\"3\""},
      {"slots", "-3"},
      {"slots", "1000001"},
      {"state", "\"asleep\""},
      {"cold_remaining_ms", "\"\""},
      {"cold_remaining_ms", "3600001"},
      {"seq", ""},
      {"born", "\"now\""},
      {"born", "9007199254740992"},
      {"born", "1.5"}};
  for (const auto& [field, value] : invalid_fields) {
    const platform::Translation translation = platform::TranslateVmList(
        {{"servers/i-1", RegistryEntry()},
         {"servers/i-2", RegistryEntry(field, value)}},
        1);
    LONGS_EQUAL(1, translation.problems.size());
    const VmListCheck check = CheckVmList("v", translation.text);
    LONGS_EQUAL(0, check.problems.size());
    LONGS_EQUAL(1, check.list.vms.size());
  }
  const platform::Translation unreadable = platform::TranslateVmList(
      {{"servers/xyz", RegistryEntry()}, {"servers/i-3", "\xff\xfe"}}, 1);
  LONGS_EQUAL(2, unreadable.problems.size());
}

/** A store that has documents in this project's own formats needs no
 * translation. */
TEST(Platform, NativeDocumentsPassThroughUnchanged) {
  const platform::StoreItems items = {{"config", "[document]\n"},
                                      {"vms", "[list]\n"}};
  STRCMP_EQUAL("[document]\n", platform::TranslateConfig(items).text.c_str());
  STRCMP_EQUAL("[list]\n", platform::TranslateVmList(items, 5).text.c_str());
}
