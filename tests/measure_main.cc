/** @file measure_main.cc Measures steering in virtual time, and the cost per
 * member and per class that docs/CAPACITY.md reports. */

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
/** Maximum control traffic of a balancer. The brief requires a few kilobytes a
 * second; letter 1 sets 4 KB. */
constexpr double kMaxControlBytesPerS = 4096;
/** Maximum time until a configuration is active everywhere, in seconds. */
constexpr double kMaxConfigDelayS = 4;
/** Maximum time that a leaving backend server gets new work, in seconds. */
constexpr double kMaxDrainDelayS = 3;

/** Whether every figure printed so far is within its bound. */
bool all_bounds_met = true;

void PrintWithUpperBound(const std::string& name,
                         double value,
                         const std::string& unit,
                         double bound) {
  const bool held = value <= bound;
  all_bounds_met = all_bounds_met && held;
  std::cout << "figure=" << name << " value=" << value << " unit=" << unit
            << " bound=" << bound << " held=" << (held ? "yes" : "no") << "\n";
}

void PrintWithoutBound(const std::string& name,
                       double value,
                       const std::string& unit) {
  std::cout << "figure=" << name << " value=" << value << " unit=" << unit
            << " bound=none held=yes\n";
}

/** Outcomes of the requests and flows of a load. */
struct LoadResult {
  double asked = 0;    ///< Requests sent.
  double unknown = 0;  ///< Requests with an unknown outcome.
  double doubled = 0;  ///< Requests that were started more than once.
  double false_not_run =
      0;  ///< Requests reported as not run that were started.
  double broken =
      0;  ///< Flows that answered neither of two requests at the end.
};

/** Sends edits at a constant rate over many flows of a fleet. */
class SteadyLoad {
 public:
  SteadyLoad(const FleetOptions& options, int flows) : fleet(options) {
    for (int flow = 0; flow < flows; ++flow)
      this->flows.push_back(this->fleet.OpenFlow());
  }

  /** Sends a request every `step`, on the flows in turn. */
  void RunFor(Milliseconds time, Milliseconds step) {
    for (Milliseconds passed{0}; passed < time; passed += step) {
      const WorkOrder order = this->fleet.MakeOrder();
      const FlowHandle flow = this->flows[this->asked++ % this->flows.size()];
      this->orders[this->fleet.SendRequest(flow, "edits", order)] = order;
      this->fleet.RunFor(step);
    }
  }

  /** Waits until all requests have ended, then sends up to two requests on each
   * flow, and counts. */
  LoadResult FinishAndCount() {
    this->fleet.RunFor(Seconds(8));
    LoadResult result;
    for (const auto& [key, order] : this->orders) {
      const Outcome outcome =
          OutcomeOf(this->fleet.finished_requests[key].code);
      const int starts = this->fleet.StartCount(order.tag);
      ++result.asked;
      result.unknown += outcome == Outcome::kUnknown ? 1 : 0;
      result.doubled += starts > 1 ? 1 : 0;
      result.false_not_run += outcome == Outcome::kNotRun && starts > 0 ? 1 : 0;
    }
    for (const FlowHandle flow : this->flows) {
      const bool answered =
          this->fleet.SendRequestAndWait(flow, "edits", this->fleet.MakeOrder())
                  .code == ResultCode::kOk ||
          this->fleet.SendRequestAndWait(flow, "edits", this->fleet.MakeOrder())
                  .code == ResultCode::kOk;
      result.broken += answered ? 0 : 1;
    }
    return result;
  }

  FakeFleet fleet;

 private:
  std::vector<FlowHandle> flows;
  std::map<RequestKey, WorkOrder> orders;
  size_t asked = 0;
};

/** @return A fleet of the present size: 5 balancers and 14 backend servers. */
FleetOptions CurrentFleetOptions(uint64_t seed, bool witnessed) {
  FleetOptions options;
  options.seed = seed;
  options.balancers = 5;
  options.backends = 14;
  options.witnessed = witnessed;
  return options;
}

constexpr int kFlowCount = 200;
/** Gives 200 edits a second over the whole fleet. */
constexpr Milliseconds kRequestInterval{5};

/** Restarts all balancers but one, one after another, while a backend server
 * drains. */
LoadResult MeasurePlanned(uint64_t seed) {
  SteadyLoad load(CurrentFleetOptions(seed, true), kFlowCount);
  load.RunFor(Seconds(2), kRequestInterval);
  load.fleet.PublishConfig(
      2,
      "[change d]\nkind = drain\nvm = 103\nbegins_at = 1970-01-01T00:00:00Z\n");
  const TimePoint drained_at = load.fleet.now;
  for (int balancer = 1; balancer <= 4; ++balancer) {
    load.fleet.BeginBalancerStop(balancer);
    load.fleet.SprayOverAllBut(balancer);
    load.RunFor(Seconds(8), kRequestInterval);
    load.fleet.EndBalancerStop(balancer);
    load.RunFor(Seconds(1), kRequestInterval);
    load.fleet.RestartBalancer(balancer);
    load.RunFor(Seconds(2), kRequestInterval);
  }
  const LoadResult result = load.FinishAndCount();
  const double last_accepted_s =
      std::chrono::duration<double>(load.fleet.LastAcceptedAt(3) - drained_at)
          .count();
  PrintWithUpperBound("broken_flows_planned_token", result.broken, "flows", 0);
  PrintWithoutBound("outcome_unknown_planned", result.unknown, "requests");
  PrintWithUpperBound("new_work_after_leave_s", std::max(0.0, last_accepted_s),
                      "s", kMaxDrainDelayS);
  return result;
}

/** Kills one balancer under load without notifying any other process; the
 * fabric stops using it after 2 s. */
LoadResult MeasureDeath(uint64_t seed, bool witnessed) {
  SteadyLoad load(CurrentFleetOptions(seed, witnessed), kFlowCount);
  load.RunFor(Seconds(2), kRequestInterval);
  load.fleet.KillBalancer(2);
  load.RunFor(Seconds(2), kRequestInterval);
  load.fleet.SprayOverAllBut(2);
  load.RunFor(Seconds(6), kRequestInterval);
  return load.FinishAndCount();
}

/** Measures control bytes and relayed packets under a steady load. */
void MeasureControl(uint64_t seed) {
  SteadyLoad load(CurrentFleetOptions(seed, true), kFlowCount);
  FakeFleet& fleet = load.fleet;
  const uint64_t bytes_before = fleet.peer_bytes - fleet.relayed_payload_bytes;
  const uint64_t relays_before = fleet.relayed_packets;
  const uint64_t packets_before = fleet.sent_caller_packets;
  constexpr Seconds kTime{20};
  load.RunFor(kTime, kRequestInterval);
  const double balancer_seconds = 5.0 * static_cast<double>(kTime.count());
  const double bytes = static_cast<double>(
      fleet.peer_bytes - fleet.relayed_payload_bytes - bytes_before);
  PrintWithUpperBound("control_bytes_per_s", bytes / balancer_seconds,
                      "B/s/balancer", kMaxControlBytesPerS);
  PrintWithoutBound(
      "relayed_packets_percent",
      kPercent * static_cast<double>(fleet.relayed_packets - relays_before) /
          static_cast<double>(fleet.sent_caller_packets - packets_before),
      "percent");
}

/** Measures how long a configuration that one balancer reads takes to become
 * active at all, with 2% packet loss. */
void MeasureConfig(uint64_t seed) {
  double worst = 0;
  double reverts = 0;
  FleetOptions options = CurrentFleetOptions(seed, true);
  options.loss = 0.02;
  FakeFleet fleet(options);
  constexpr int kVersions = 50;
  for (uint64_t version = 2; version < 2 + kVersions; ++version) {
    const TimePoint published_at = fleet.now;
    const int first = 1 + static_cast<int>(version % 5);
    static_cast<void>(fleet.OfferConfig(first, fleet.ConfigText(version)));
    const auto is_active_everywhere = [&] {
      for (int balancer = 1; balancer <= 5; ++balancer) {
        const uint64_t active_version = fleet.TokenPlaneOf(balancer)
                                            .ReadBlackboard()
                                            ->config.value->version.value;
        reverts += active_version + 1 < version ? 1 : 0;
        if (active_version != version)
          return false;
      }
      return true;
    };
    fleet.RunUntil(is_active_everywhere, Seconds(10));
    worst = std::max(
        worst, std::chrono::duration<double>(fleet.now - published_at).count());
  }
  PrintWithUpperBound("config_in_force_s", worst, "s", kMaxConfigDelayS);
  PrintWithUpperBound("config_reverts", reverts, "reverts", 0);
}

/** Measures the flows and records that balancers hold, and the memory per
 * record. */
void MeasureState(uint64_t seed) {
  FleetOptions options = CurrentFleetOptions(seed, true);
  options.balancers = 2;
  constexpr int kOpenFlows = 2000;
  SteadyLoad load(options, kOpenFlows);
  const auto held = [&load] {
    TokenPlaneLoad sum = load.fleet.TokenPlaneOf(1).Load();
    sum.flows += load.fleet.TokenPlaneOf(2).Load().flows;
    sum.records += load.fleet.TokenPlaneOf(2).Load().records;
    return sum;
  };
  PrintWithoutBound("flows_held_per_idle_open_flow",
                    static_cast<double>(held().flows) / kOpenFlows, "flows");
  const auto used = [&load] {
    std::vector<Decision>().swap(load.fleet.decisions);
    return static_cast<double>(mallinfo2().uordblks);
  };
  const double before = used();
  load.RunFor(Milliseconds(2000), Milliseconds(1));
  // This is an upper limit, because the memory of the caller and the backend
  // servers is included.
  PrintWithoutBound("state_bytes_per_recent_request",
                    (used() - before) / static_cast<double>(held().records),
                    "B/record");
}

int MeasureSteering(uint64_t seed) {
  const LoadResult planned = MeasurePlanned(seed);
  const LoadResult death = MeasureDeath(seed, true);
  const LoadResult fence_only = MeasureDeath(seed, false);
  PrintWithUpperBound("broken_flows_balancer_death_token", death.broken,
                      "flows", 0);
  PrintWithUpperBound("doubled_requests",
                      planned.doubled + death.doubled + fence_only.doubled,
                      "requests", 0);
  PrintWithUpperBound(
      "false_not_run",
      planned.false_not_run + death.false_not_run + fence_only.false_not_run,
      "requests", 0);
  PrintWithoutBound("outcome_unknown_per_million_of_requests_in_a_death",
                    kMillion * death.unknown / death.asked, "ppm");
  PrintWithoutBound(
      "fence_only_outcome_unknown_per_million_of_requests_in_a_death",
      kMillion * fence_only.unknown / fence_only.asked, "ppm");
  MeasureConfig(seed);
  MeasureControl(seed);
  MeasureState(seed);
  return all_bounds_met ? 0 : 9;
}

/** Measures the heartbeats of one balancer among `count` members: bytes a
 * second, share of a processor core, and memory. */
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
  const auto started_at = std::chrono::steady_clock::now();
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
      // The member that was pinged acknowledges, with an update on a random
      // member.
      Ack ack{
          ping.value().sequence,
          MakeMember({VmId{datagram.to.ip}, Incarnation{1}}, datagram.to, "a"),
          {},
          {}};
      MemberInfo third_member_update = ack.from;
      third_member_update.id.vm = VmId{static_cast<uint32_t>(
          1 + DrawIndex(random, static_cast<size_t>(count)))};
      third_member_update.state_version =
          static_cast<uint32_t>(ping.value().sequence);
      ack.updates.push_back(third_member_update);
      Output ignored;
      table.OnAck(now, ack, ignored);
      bytes += Encode(ack).size();
    }
  }
  const double seconds = static_cast<double>(kTime.count());
  const double elapsed_s = std::chrono::duration<double>(
                               std::chrono::steady_clock::now() - started_at)
                               .count();
  const std::string suffix = "_at_" + std::to_string(count);
  PrintWithUpperBound("membership_bytes_per_s" + suffix,
                      static_cast<double>(bytes) / seconds, "B/s",
                      kMaxControlBytesPerS);
  PrintWithUpperBound("membership_core_percent" + suffix,
                      kPercent * elapsed_s / seconds, "percent", 3.7);
  PrintWithoutBound("membership_bytes_of_memory_per_member" + suffix,
                    static_cast<double>(memory) / count, "B");
}

/** Measures a configuration with many classes: its size, the time to accept a
 * change, and the size of the delta. */
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
  static_cast<void>(store.Offer(TimePoint{}, text, {}, random, out));
  text.replace(text.find("version = 1"), 11, "version = 2");
  out.Clear();
  const auto started_at = std::chrono::steady_clock::now();
  const bool accepted =
      store.Offer(TimePoint{}, text, {{1, 1}}, random, out).has_value();
  const double elapsed_s = std::chrono::duration<double>(
                               std::chrono::steady_clock::now() - started_at)
                               .count();
  constexpr double kMsPerS = 1000;
  const std::string suffix = "_at_" + std::to_string(text.size()) + "_bytes";
  PrintWithoutBound("config_change_ms" + suffix,
                    accepted ? elapsed_s * kMsPerS : -1, "ms");
  PrintWithoutBound("config_delta_bytes" + suffix,
                    static_cast<double>(out.datagrams.empty()
                                            ? 0
                                            : out.datagrams[0].bytes.size()),
                    "B");
}

int MeasureCapacity(uint64_t seed) {
  for (const int members : {5, 100, 875, 14000})
    MeasureMembership(seed, members);
  for (const int classes : {10, 100, 1000, 8000})
    MeasureDocument(seed, classes);
  return all_bounds_met ? 0 : 9;
}

}  // namespace
}  // namespace cuminvane

int main(int argc, char** argv) {
  if (sodium_init() < 0)
    return 1;
  cxxopts::Options options(
      "cuminvane_measure",
      "Measures steering, and the costs in docs/CAPACITY.md");
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
