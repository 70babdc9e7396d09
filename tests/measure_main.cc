/** @file measure_main.cc Measures steering in virtual time, and the slopes of
 * docs/CAPACITY.md. */

#include <malloc.h>
#include <sodium.h>

#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "member/member_base.h"
#include "tests/fleet_fake.h"

namespace cuminvane {
namespace {

constexpr double kMillion = 1e6;
constexpr double kPercent = 100;
/** The brief: a few kilobytes a second for control; letter 1: 4 KB. */
constexpr double kControlBytes = 4096;
constexpr double kInForceSeconds = 4;
constexpr double kFewSeconds = 3;

bool all_held = true;

void PrintAtMost(const std::string& name,
                 double value,
                 const std::string& unit,
                 double bound) {
  const bool held = value <= bound;
  all_held = all_held && held;
  std::cout << "figure=" << name << " value=" << value << " unit=" << unit
            << " bound=" << bound << " held=" << (held ? "yes" : "no") << "\n";
}

void PrintFree(const std::string& name, double value, const std::string& unit) {
  std::cout << "figure=" << name << " value=" << value << " unit=" << unit
            << " bound=none held=yes\n";
}

/** What a load over many flows came to. */
struct LoadTally {
  double asked = 0;
  double unknown = 0;
  double doubled = 0;
  double false_not_run = 0;
  double broken = 0;
};

/** A fleet under a steady load of edits on many flows. */
class SteadyLoad {
 public:
  SteadyLoad(const FleetOptions& options, int flows) : fleet(options) {
    for (int flow = 0; flow < flows; ++flow)
      this->flows.push_back(this->fleet.OpenFlow());
  }

  /** Asks once a step for the time; a flow's turn comes round and round. */
  void RunFor(Milliseconds time, Milliseconds step) {
    for (Milliseconds passed{0}; passed < time; passed += step) {
      const WorkOrder order = this->fleet.MakeOrder();
      const FlowHandle flow = this->flows[this->asked++ % this->flows.size()];
      this->orders[this->fleet.SendRequest(flow, "edits", order)] = order;
      this->fleet.RunFor(step);
    }
  }

  /** Lets everything end, asks every flow once more and counts. */
  LoadTally Finish() {
    this->fleet.RunFor(Seconds(8));
    LoadTally tally;
    for (const auto& [key, order] : this->orders) {
      const Outcome outcome =
          OutcomeOf(this->fleet.finished_requests[key].code);
      const int starts = this->fleet.StartCount(order.tag);
      ++tally.asked;
      tally.unknown += outcome == Outcome::kUnknown ? 1 : 0;
      tally.doubled += starts > 1 ? 1 : 0;
      tally.false_not_run += outcome == Outcome::kNotRun && starts > 0 ? 1 : 0;
    }
    for (const FlowHandle flow : this->flows) {
      const bool sound =
          this->fleet.SendRequestAndWait(flow, "edits", this->fleet.MakeOrder())
                  .code == ResultCode::kOk ||
          this->fleet.SendRequestAndWait(flow, "edits", this->fleet.MakeOrder())
                  .code == ResultCode::kOk;
      tally.broken += sound ? 0 : 1;
    }
    return tally;
  }

  FakeFleet fleet;

 private:
  std::vector<FlowHandle> flows;
  std::map<RequestKey, WorkOrder> orders;
  size_t asked = 0;
};

FleetOptions TodaysFleet(uint64_t seed, bool witnessed) {
  FleetOptions options;
  options.seed = seed;
  options.balancers = 5;
  options.backends = 14;
  options.witnessed = witnessed;
  return options;
}

constexpr int kFlows = 200;
constexpr Milliseconds kStep{5};  ///< 200 edits a second over the fleet.

/** Each balancer but one is replaced, one after the other, and a backend server
 * drains. */
LoadTally MeasurePlanned(uint64_t seed) {
  SteadyLoad load(TodaysFleet(seed, true), kFlows);
  load.RunFor(Seconds(2), kStep);
  load.fleet.PublishConfig(
      2,
      "[change d]\nkind = drain\nvm = 103\nbegins_at = 1970-01-01T00:00:00Z\n");
  const TimePoint drained_at = load.fleet.now;
  for (int balancer = 1; balancer <= 4; ++balancer) {
    load.fleet.BeginBalancerStop(balancer);
    load.fleet.SprayOverAllBut(balancer);
    load.RunFor(Seconds(8), kStep);
    load.fleet.EndBalancerStop(balancer);
    load.RunFor(Seconds(1), kStep);
    load.fleet.RestartBalancer(balancer);
    load.RunFor(Seconds(2), kStep);
  }
  const LoadTally tally = load.Finish();
  const double after =
      std::chrono::duration<double>(load.fleet.LastAcceptedAt(3) - drained_at)
          .count();
  PrintAtMost("broken_flows_planned_token", tally.broken, "flows", 0);
  PrintFree("outcome_unknown_planned", tally.unknown, "requests");
  PrintAtMost("new_work_after_leave_s", std::max(0.0, after), "s", kFewSeconds);
  return tally;
}

/** One balancer dies under load and nobody is told. */
LoadTally MeasureDeath(uint64_t seed, bool witnessed) {
  SteadyLoad load(TodaysFleet(seed, witnessed), kFlows);
  load.RunFor(Seconds(2), kStep);
  load.fleet.KillBalancer(2);
  load.RunFor(Seconds(2), kStep);
  load.fleet.SprayOverAllBut(2);
  load.RunFor(Seconds(6), kStep);
  return load.Finish();
}

/** Control bytes at a steady load, and relays. */
void MeasureControl(uint64_t seed) {
  SteadyLoad load(TodaysFleet(seed, true), kFlows);
  FakeFleet& fleet = load.fleet;
  const uint64_t bytes_before = fleet.peer_bytes - fleet.relayed_payload_bytes;
  const uint64_t relays_before = fleet.relayed_packets;
  const uint64_t packets_before = fleet.caller_packets;
  constexpr Seconds kTime{20};
  load.RunFor(kTime, kStep);
  const double balancer_seconds = 5.0 * static_cast<double>(kTime.count());
  const double bytes = static_cast<double>(
      fleet.peer_bytes - fleet.relayed_payload_bytes - bytes_before);
  PrintAtMost("control_bytes_per_s", bytes / balancer_seconds, "B/s/balancer",
              kControlBytes);
  PrintFree("relayed_packets_percent",
            kPercent *
                static_cast<double>(fleet.relayed_packets - relays_before) /
                static_cast<double>(fleet.caller_packets - packets_before),
            "percent");
}

void MeasureConfig(uint64_t seed) {
  double worst = 0;
  double reverts = 0;
  FleetOptions options = TodaysFleet(seed, true);
  options.loss = 0.02;
  FakeFleet fleet(options);
  constexpr int kVersions = 50;
  for (uint64_t version = 2; version < 2 + kVersions; ++version) {
    const TimePoint published_at = fleet.now;
    const int first = 1 + static_cast<int>(version % 5);
    static_cast<void>(fleet.OfferConfig(first, fleet.ConfigText(version)));
    const auto in_force = [&] {
      for (int balancer = 1; balancer <= 5; ++balancer) {
        const uint64_t has = fleet.TokenPlaneOf(balancer)
                                 .ReadBlackboard()
                                 ->config.value->version.value;
        reverts += has + 1 < version ? 1 : 0;
        if (has != version)
          return false;
      }
      return true;
    };
    fleet.RunUntil(in_force, Seconds(10));
    worst = std::max(
        worst, std::chrono::duration<double>(fleet.now - published_at).count());
  }
  PrintAtMost("config_in_force_s", worst, "s", kInForceSeconds);
  PrintAtMost("config_reverts", reverts, "reverts", 0);
}

/** Records and flows that balancers hold, and the memory of a record. */
void MeasureState(uint64_t seed) {
  FleetOptions options = TodaysFleet(seed, true);
  options.balancers = 2;
  constexpr int kOpenFlows = 2000;
  SteadyLoad load(options, kOpenFlows);
  const auto held = [&load] {
    TokenPlaneLoad sum = load.fleet.TokenPlaneOf(1).Load();
    sum.flows += load.fleet.TokenPlaneOf(2).Load().flows;
    sum.records += load.fleet.TokenPlaneOf(2).Load().records;
    return sum;
  };
  PrintFree("flows_held_per_idle_open_flow",
            static_cast<double>(held().flows) / kOpenFlows, "flows");
  const auto used = [&load] {
    std::vector<Decision>().swap(load.fleet.decisions);
    return static_cast<double>(mallinfo2().uordblks);
  };
  const double before = used();
  load.RunFor(Milliseconds(2000), Milliseconds(1));
  // The callers' and backend servers' own state is in this figure as well: an
  // upper limit.
  PrintFree("state_bytes_per_recent_request",
            (used() - before) / static_cast<double>(held().records),
            "B/record");
}

int MeasureSteering(uint64_t seed) {
  const LoadTally planned = MeasurePlanned(seed);
  const LoadTally death = MeasureDeath(seed, true);
  const LoadTally fence_only = MeasureDeath(seed, false);
  PrintAtMost("broken_flows_balancer_death_token", death.broken, "flows", 0);
  PrintAtMost("doubled_requests",
              planned.doubled + death.doubled + fence_only.doubled, "requests",
              0);
  PrintAtMost(
      "false_not_run",
      planned.false_not_run + death.false_not_run + fence_only.false_not_run,
      "requests", 0);
  PrintFree("outcome_unknown_per_million_of_requests_in_a_death",
            kMillion * death.unknown / death.asked, "ppm");
  PrintFree("fence_only_outcome_unknown_per_million_of_requests_in_a_death",
            kMillion * fence_only.unknown / fence_only.asked, "ppm");
  MeasureConfig(seed);
  MeasureControl(seed);
  MeasureState(seed);
  return all_held ? 0 : 9;
}

/** Heartbeats of one member beside `count` others: bytes a second and processor
 * time. */
void MeasureMembership(uint64_t seed, int count) {
  VmList list;
  for (int number = 1; number <= count; ++number) {
    Vm vm;
    vm.id = VmId{static_cast<uint32_t>(number)};
    vm.incarnation = Incarnation{1};
    vm.role = VmRole::kBalancer;
    vm.data_centre = "a";
    vm.peer_address = {static_cast<uint32_t>(number), 1};
    list.vms.push_back(vm);
  }
  RandomEngine random(seed);
  const size_t memory_before = mallinfo2().uordblks;
  MemberTable table(MakeMember({VmId{1}, Incarnation{1}}, {1, 1}, "a"),
                    MembershipTiming{});
  TimePoint now = TimePoint(Seconds(1000));
  table.AddFromVmList(list, now);
  const size_t memory = mallinfo2().uordblks - memory_before;
  uint64_t bytes = 0;
  constexpr Seconds kTime{60};
  const auto began = std::chrono::steady_clock::now();
  for (const TimePoint until = now + kTime; now < until;
       now += Milliseconds(5)) {
    Output out;
    table.Tick(now, random, out);
    for (const Datagram& datagram : out.datagrams) {
      bytes += datagram.bytes.size();
      const DatagramHeader header = DecodeHeader(datagram.bytes).value();
      const Result<Ping> ping = Decode<Ping>(datagram.bytes, header);
      if (!ping)
        continue;
      // Every other member answers, and now and then has news of a third one.
      Ack ack{
          ping.value().sequence,
          MakeMember({VmId{datagram.to.ip}, Incarnation{1}}, datagram.to, "a"),
          {},
          {}};
      MemberInfo news = ack.from;
      news.id.vm = VmId{static_cast<uint32_t>(
          1 + DrawIndex(random, static_cast<size_t>(count)))};
      news.state_version = static_cast<uint32_t>(ping.value().sequence);
      ack.updates.push_back(news);
      Output ignored;
      table.OnAck(now, ack, ignored);
      bytes += Encode(ack).size();
    }
  }
  const double seconds = static_cast<double>(kTime.count());
  const double busy =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - began)
          .count();
  const std::string suffix = "_at_" + std::to_string(count);
  PrintAtMost("membership_bytes_per_s" + suffix,
              static_cast<double>(bytes) / seconds, "B/s", kControlBytes);
  PrintAtMost("membership_core_percent" + suffix, kPercent * busy / seconds,
              "percent", 3.7);
  PrintFree("membership_bytes_of_memory_per_member" + suffix,
            static_cast<double>(memory) / count, "B");
}

/** A configuration with many classes: size, time to take a change, and the size
 * of its delta. */
void MeasureDocument(uint64_t seed, int classes) {
  std::string text =
      "[document]\nversion = 1\n[service desk]\naddresses = "
      "10.0.0.1:80\ndata_centres = a\n"
      "[token-key 1]\nsecret = 000102030405060708090a0b0c0d0e0f\n";
  for (int number = 0; number < classes; ++number) {
    text += "[class c" + std::to_string(number) +
            "]\nservice = desk\nidempotent = no\nrank = 1\nanswered_within_ms "
            "= 1000\nanswered_percent = 99\n";
  }
  RandomEngine random(seed);
  DocumentStore<ConfigDocument> store;
  Output out;
  static_cast<void>(store.Offer(text, {}, random, out));
  text.replace(text.find("version = 1"), 11, "version = 2");
  out.Clear();
  const auto began = std::chrono::steady_clock::now();
  const bool taken = store.Offer(text, {{1, 1}}, random, out).has_value();
  const double busy =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - began)
          .count();
  constexpr double kMsPerS = 1000;
  const std::string suffix = "_at_" + std::to_string(text.size()) + "_bytes";
  PrintFree("config_change_ms" + suffix, taken ? busy * kMsPerS : -1, "ms");
  PrintFree("config_delta_bytes" + suffix,
            static_cast<double>(
                out.datagrams.empty() ? 0 : out.datagrams[0].bytes.size()),
            "B");
}

int MeasureCapacity(uint64_t seed) {
  for (const int members : {5, 100, 875, 14000})
    MeasureMembership(seed, members);
  for (const int classes : {10, 100, 1000, 8000})
    MeasureDocument(seed, classes);
  return all_held ? 0 : 9;
}

}  // namespace
}  // namespace cuminvane

int main(int argc, char** argv) {
  if (sodium_init() < 0)
    return 1;
  cxxopts::Options options(
      "cuminvane_measure",
      "Measures steering, and the slopes of docs/CAPACITY.md");
  options.add_options()(
      "what", "steering or capacity",
      cxxopts::value<std::string>()->default_value("steering"))(
      "seed", "Seed", cxxopts::value<uint64_t>()->default_value("1"));
  options.parse_positional({"what"});
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  const auto seed = parsed["seed"].as<uint64_t>();
  return parsed["what"].as<std::string>() == "capacity"
             ? cuminvane::MeasureCapacity(seed)
             : cuminvane::MeasureSteering(seed);
}
