/** @file server_load_test.cc The load of backend servers that balancers share:
 * estimates, reports, schedule and placement. Runs in virtual time. */

#include <cmath>

#include "emulate/experiment_func.h"
#include "emulate/report_func.h"
#include "message/message_func.h"
#include "packet/placement_credit_func.h"
#include "packet/server_load_base.h"
#include "packet/server_load_func.h"
#include "shell/program_func.h"
#include "tests/packet_fake.h"

using namespace cuminvane;
using namespace cuminvane::test;

namespace {

constexpr TimePoint kStart{Seconds(1000)};
const Endpoint kClass = *ParseEndpoint("198.18.0.1:443");

/** One balancer's exchange with its view of the servers. */
struct LoadNode {
  explicit LoadNode(size_t servers, uint64_t incarnation = 1) {
    for (uint64_t id = 1; id <= servers; ++id) {
      PoolMember& member = this->members[VmId{id}];
      member.vm = VmId{id};
      member.incarnation = Incarnation{incarnation};
    }
    this->exchange.SetServers(this->members);
  }

  void Answer(uint64_t id, double ms, TimePoint now) {
    this->exchange.OnAnswer(this->members.at(VmId{id}), kClass,
                            Microseconds(static_cast<int64_t>(ms * 1000)), now);
  }

  /** @return Whether the datagram was applied. */
  bool Receive(const std::string& bytes, TimePoint now) {
    const ServerLoadReport report =
        Decode<ServerLoadReport>(bytes, DecodeHeader(bytes).value()).value();
    return this->exchange.OnReport(report, this->members, now);
  }

  ServerLoadExchange exchange;
  std::map<VmId, PoolMember> members;
};

ServerLoad KnownLoad(double slowness, TimePoint now) {
  return {{slowness, 8, now}, {}};
}

/** Sends due reports of all nodes to random other ones; a datagram is lost with
 * the given chance. @return Bytes sent. */
size_t Gossip(std::vector<LoadNode>& nodes,
              TimePoint now,
              RandomEngine& random,
              double loss = 0) {
  size_t bytes = 0;
  for (size_t index = 0; index < nodes.size(); ++index) {
    const std::string report =
        nodes[index].exchange.NextReport(nodes[index].members, now, random);
    bytes += report.size();
    const size_t peer =
        (index + 1 + DrawIndex(random, nodes.size() - 1)) % nodes.size();
    if (!report.empty() &&
        std::uniform_real_distribution<double>(0, 1)(random) >= loss)
      nodes[peer].Receive(report, now);
  }
  return bytes;
}

/** Runs 81 balancers with 18 answers a second each over 150 servers; every
 * third server is fast. @return Bytes per balancer and second of the last
 * `measured` seconds. */
double RunFleet(std::vector<LoadNode>& nodes,
                int seconds,
                int measured,
                double loss,
                RandomEngine& random) {
  std::uniform_real_distribution<double> work(27, 81);
  size_t bytes = 0;
  for (int step = 0; step < seconds * 18; ++step) {
    const TimePoint now = kStart + Microseconds(1'000'000 / 18 * step);
    for (LoadNode& node : nodes) {
      const uint64_t id = 1 + DrawIndex(random, 150);
      node.Answer(id, work(random) / (id % 3 == 0 ? 1.7 : 0.7), now);
    }
    const size_t sent = Gossip(nodes, now, random, loss);
    bytes += step >= (seconds - measured) * 18 ? sent : 0;
  }
  return static_cast<double>(bytes) / static_cast<double>(nodes.size()) /
         measured;
}

/** @return Share of estimates that tell fast servers from slow ones. */
double ShareKnown(const std::vector<LoadNode>& nodes, TimePoint now) {
  int right = 0;
  int all = 0;
  for (const LoadNode& node : nodes) {
    for (const auto& [vm, member] : node.members) {
      ++all;
      right += IsSlownessKnown(member.load, now) &&
                       (member.load.slowness.mean < 0.8) == (vm.value % 3 == 0)
                   ? 1
                   : 0;
    }
  }
  return static_cast<double>(right) / all;
}

/** @return Share of new flows that go to the first half of 40 servers,
 * which have slowness `first`; the others have `second`. */
double ShareOfFirst(bool shares, double first, double second) {
  FlowLimits limits;
  limits.share_load = shares;
  BackendPool pool("a", limits);
  VmList list;
  for (uint64_t id = 1; id <= 40; ++id) {
    Vm vm;
    vm.id = VmId{id};
    vm.incarnation = Incarnation{1};
    list.vms.push_back(vm);
  }
  pool.Sync(list, {}, kStart);
  for (uint64_t id = 1; id <= 40; ++id)
    pool.Find(VmId{id})->load = KnownLoad(id <= 20 ? first : second, kStart);
  RandomEngine random(1);
  int chosen = 0;
  for (int flow = 0; flow < 4000; ++flow)
    chosen += pool.Choose(ServiceId{}, VmId{}, 0, kStart, random).member->vm <=
                      VmId{20}
                  ? 1
                  : 0;
  return chosen / 4000.0;
}

emulate::RunReport RunUnequalServers(bool shares, bool has_burst) {
  const std::string path = "etc/experiments/unequal-servers.ini";
  const Result<std::string> text =
      ReadFile(std::string(CUMINVANE_SOURCE_DIR) + "/" + path);
  emulate::Experiment experiment =
      emulate::ParseExperiment(path, text.value()).experiment;
  if (!has_burst)
    experiment.faults.clear();
  emulate::Variant variant;
  variant.flows.share_load = shares;
  return emulate::Summarize(experiment, variant,
                            emulate::World(experiment, variant).Run());
}

}  // namespace

TEST_GROUP(ServerLoad){};

TEST(ServerLoad, MergingCreatesNoEvidenceAndEchoesFade) {
  ServerLoad one = KnownLoad(2, kStart);
  ServerLoad other;
  RandomEngine random(1);
  TimePoint now = kStart;
  for (int round = 0; round < 200; ++round) {
    now += Seconds(1);
    other = MergeServerLoad(other, EncodeServerLoad(one, now, random), now);
    one = MergeServerLoad(one, EncodeServerLoad(other, now, random), now);
  }
  CHECK(!IsSlownessKnown(one, now));
  DOUBLES_EQUAL(1, SpeedOf(one, now), 0);
}

/** A duplicated datagram must not weigh like new evidence. */
TEST(ServerLoad, DuplicateReportsStayBounded) {
  RandomEngine random(1);
  ServerLoad load = KnownLoad(1, kStart);
  const uint8_t byte = EncodeServerLoad(KnownLoad(4, kStart), kStart, random);
  for (int copy = 0; copy < 3; ++copy)
    load = MergeServerLoad(load, byte, kStart);
  CHECK(load.slowness.weight <= 8);
  CHECK(load.slowness.mean < 4);
}

/** A full server refuses at once; those refusals must not make it look fast. */
TEST(ServerLoad, RefusalsDoNotCountAsFastAnswers) {
  LoadNode node(2);
  for (int step = 0; step < 20; ++step) {
    node.Answer(1, 50, kStart);
    node.Answer(2, 1, kStart);
  }
  CHECK(!IsSlownessKnown(node.members.at(VmId{2}).load, kStart));
}

TEST(ServerLoad, ReportsForOtherListsAndInvalidRangesAreIgnored) {
  LoadNode sender(3);
  LoadNode restarted(3, 2);
  LoadNode shorter(2);
  RandomEngine random(1);
  for (int step = 0; step < 5; ++step)
    sender.Answer(1, 50, kStart);
  const std::string bytes =
      sender.exchange.NextReport(sender.members, kStart, random);
  CHECK(!bytes.empty());
  CHECK(!restarted.Receive(bytes, kStart));
  CHECK(!shorter.Receive(bytes, kStart));
  ServerLoadReport report =
      Decode<ServerLoadReport>(bytes, DecodeHeader(bytes).value()).value();
  for (const uint32_t first : {1U, 3U, 4U, 0xffffffffU}) {
    report.first = first;
    CHECK(!restarted.exchange.OnReport(report, restarted.members, kStart));
    CHECK(!sender.exchange.OnReport(report, sender.members, kStart));
  }
  LONGS_EQUAL(4, sender.exchange.Counters().ignored);
}

/** One balancer that always reports a server as slow and full must not take it
 * out of service, and must not outweigh 80 that measure it. */
TEST(ServerLoad, WrongReporterIsOutweighed) {
  std::vector<LoadNode> nodes(81, LoadNode(150));
  RandomEngine random(1);
  nodes[0].members.at(VmId{1}).load = {{8, 8, kStart}, {8, 4, kStart}};
  std::uniform_real_distribution<double> work(27, 81);
  TimePoint now = kStart;
  for (int step = 0; step < 60 * 18; ++step) {
    now = kStart + Microseconds(1'000'000 / 18 * step);
    nodes[0].members.at(VmId{1}).load = {{8, 8, now}, {8, 4, now}};
    for (LoadNode& node : nodes)
      node.Answer(1 + DrawIndex(random, 150), work(random), now);
    Gossip(nodes, now, random);
  }
  double sum = 0;
  for (size_t index = 1; index < nodes.size(); ++index) {
    const ServerLoad& load = nodes[index].members.at(VmId{1}).load;
    sum += CapacityFactorOf(load, 1, 1, now);
    CHECK(CapacityFactorOf(load, 1, 1, now) >= kMinSpeed);
  }
  CHECK(sum / 80 > 0.6);
}

/** Budget: a tenth of the heartbeats' 600 B/s in a steady state, also with lost
 * datagrams; and the fleet agrees within 30 s. */
TEST(ServerLoad, EightyOneBalancersConvergeWithinBudget) {
  std::vector<LoadNode> nodes(81, LoadNode(150));
  RandomEngine random(1);
  const double start = RunFleet(nodes, 15, 15, 0.05, random);
  CHECK(start < 300);
  std::vector<LoadNode> steady(81, LoadNode(150));
  const double bytes = RunFleet(steady, 60, 30, 0.05, random);
  CHECK(bytes <= 60);
  CHECK(ShareKnown(steady, kStart + Seconds(60)) > 0.97);
}

/** 98,000 servers: the heartbeats' 600 B/s and the reports of a balancer under
 * permanent overload stay under 4 KB/s. */
TEST(ServerLoad, LargeFleetStaysWithinBudget) {
  LoadNode node(98000);
  RandomEngine random(1);
  size_t bytes = 0;
  size_t largest = 0;
  for (int step = 0; step < 12 * 50; ++step) {
    const TimePoint now = kStart + Milliseconds(20 * step);
    for (uint64_t id = 1; id <= 98000; id += 500)
      node.Answer(id, 50 + step, now);
    const std::string report =
        node.exchange.NextReport(node.members, now, random);
    bytes += report.size();
    largest = std::max(largest, report.size());
  }
  CHECK(bytes > 0);
  CHECK(static_cast<double>(bytes) / 12 + 600 < 4000);
  CHECK(largest <= kMaxDatagramBytes);
}

TEST(ServerLoad, RestartForgetsTheLoadOfTheOldInstance) {
  FlowLimits limits;
  limits.share_load = true;
  BackendPool pool("a", limits);
  VmList list;
  Vm vm;
  vm.id = VmId{7};
  vm.incarnation = Incarnation{1};
  list.vms = {vm};
  pool.Sync(list, {}, kStart);
  pool.Find(VmId{7})->load = KnownLoad(3, kStart);
  pool.Sync(list, {}, kStart);
  CHECK(IsSlownessKnown(pool.Find(VmId{7})->load, kStart));
  list.vms[0].incarnation = Incarnation{2};
  pool.Sync(list, {}, kStart);
  CHECK(pool.Find(VmId{7})->load == ServerLoad{});
}

TEST(ServerLoad, PlacementFollowsSpeedOnlyWhereEnabledAndOutsideTheBand) {
  DOUBLES_EQUAL(0.5, ShareOfFirst(false, 0.5, 1.2), 0.05);
  DOUBLES_EQUAL(0.5, ShareOfFirst(true, 1.0, 1.2), 0.05);
  DOUBLES_EQUAL(2.4 / 3.4, ShareOfFirst(true, 0.5, 1.2), 0.05);
}

/** With less than one flow per server, the fast servers of a balancer must not
 * be left with one flow each as the slow ones. Flows live a fixed number of
 * choices; the mean number of open flows is compared. */
TEST(ServerLoad, FewFlowsPerServerFollowSpeed) {
  for (const size_t open_flows : {3U, 30U}) {
    std::vector<PoolMember> members(40);
    std::vector<PoolMember*> candidates;
    std::vector<double> capacities;
    for (PoolMember& member : members) {
      candidates.push_back(&member);
      capacities.push_back(candidates.size() <= 26 ? 0.7 : 1.7);
    }
    RandomEngine random(1);
    std::vector<PoolMember*> open;
    double slow = 0;
    double fast = 0;
    for (int step = 0; step < 4000; ++step) {
      PoolMember* const chosen = ChooseByCredit(
          candidates, capacities, kStart + Milliseconds(500 * step), random);
      ++chosen->flows;
      open.push_back(chosen);
      if (open.size() > open_flows) {
        const auto closed = open.begin() + static_cast<std::ptrdiff_t>(
                                               DrawIndex(random, open.size()));
        --(*closed)->flows;
        open.erase(closed);
      }
      for (size_t index = 0; index < members.size(); ++index)
        (index < 26 ? slow : fast) += members[index].flows;
    }
    DOUBLES_EQUAL(1.7 / 0.7, fast / 14 / (slow / 26), 0.25);
  }
}

/** One report must not make a server known; two must, also for servers that a
 * balancer has no answers of, and not with an extreme value. */
TEST(ServerLoad, TwoReportsMakeAServerKnownWithinBounds) {
  RandomEngine random(1);
  const uint8_t byte = EncodeServerLoad(KnownLoad(8, kStart), kStart, random);
  const ServerLoad once = MergeServerLoad({}, byte, kStart);
  CHECK(!IsSlownessKnown(once, kStart));
  const ServerLoad twice = MergeServerLoad(once, byte, kStart);
  CHECK(IsSlownessKnown(twice, kStart));
  CHECK(twice.slowness.mean <= 2.5);
}

TEST(ServerLoad, FullServerGetsFewerFlowsUntilTheReportAges) {
  const ServerLoad full{{1, 8, kStart}, {4, 4, kStart}};
  CHECK(CapacityFactorOf(full, 1, 1.2, kStart) < 0.5);
  DOUBLES_EQUAL(1, CapacityFactorOf(full, 1, 1.2, kStart + Seconds(10)), 0);
}

/** Servers whose speeds differ by 2.4 times are used equally, and full servers
 * shed a fifth of the tries of before in a burst. */
TEST(ServerLoad, UnequalServersAreUsedEquallyUnderLongFlows) {
  CHECK(RunUnequalServers(true, false).imbalance.at("desk") <= 1.15);
}

TEST(ServerLoad, UnequalServersAreUsedEquallyInABurst) {
  const emulate::RunReport shared = RunUnequalServers(true, true);
  CHECK(shared.imbalance.at("desk") <= 1.15);
  CHECK(shared.sheds * 5 <= RunUnequalServers(false, true).sheds);
}
