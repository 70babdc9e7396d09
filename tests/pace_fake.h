/** @file pace_fake.h Model of many balancers that share backend servers: pools
 * as objects, servers with slots and a queue, no sockets, virtual time. */

#ifndef CUMINVANE_TESTS_PACE_FAKE_H_
#define CUMINVANE_TESTS_PACE_FAKE_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/rendezvous_func.h"
#include "document/config_func.h"
#include "packet/pace_func.h"
#include "packet/pool_base.h"

namespace cuminvane::test {

/** Load and size of the model. */
struct PaceLoad {
  int balancers = 5;
  double per_s = 75;          ///< New flows per second in all.
  int requests_per_flow = 1;  ///< Requests before a flow closes.
  Milliseconds pause{0};      ///< Time between two requests of a flow.
  Milliseconds cold{10000};   ///< Warm-up that the list states.
  bool adaptive = true;       ///< flows.adaptive_slow_start.
  uint64_t seed = 1;
};

/** Balancers in three data centres and 30 servers with two slots each, whose
 * requests take 400 ms on average. */
class PaceWorld {
 public:
  static constexpr int kServers = 30;
  static constexpr int kSlots = 2;
  static constexpr double kMeanWorkMs = 400;
  static constexpr Milliseconds kStep{10};
  /** When a balancer reports an unanswered request as late. */
  static constexpr Milliseconds kLateAfter{1300};

  explicit PaceWorld(const PaceLoad& load) : load(load), random(load.seed) {
    FlowLimits limits;
    limits.adaptive_slow_start = load.adaptive;
    for (int index = 0; index < load.balancers; ++index)
      this->pools.push_back(
          std::make_unique<BackendPool>(DataCentre(index), limits));
    for (uint64_t id = 1; id <= kServers; ++id)
      this->AddServer(id, Milliseconds(0));
    this->Publish();
  }

  /** Lists a server, cold if it is not one of the first. */
  void AddServer(uint64_t id, Milliseconds warm_up) {
    Vm vm;
    vm.id = VmId{id};
    vm.incarnation = Incarnation{1};
    vm.service = ServiceIdOf("desk");
    vm.data_centre = DataCentre(static_cast<int>(id));
    vm.slots = kSlots;
    vm.warm_up_left = warm_up;
    this->list.vms.push_back(vm);
    this->servers[id];
  }
  void Publish() {
    ++this->list.version.value;
    for (auto& pool : this->pools)
      pool->Sync(this->list, this->config, this->now);
  }

  /** Ends the server's flows without an answer and marks it as unreachable at
   * all balancers. */
  void Lose(uint64_t id) {
    std::erase_if(this->flows,
                  [id](const Flow& flow) { return flow.server == id; });
    this->servers[id].work.clear();
    for (auto& pool : this->pools) {
      PoolMember& member = *pool->Find(VmId{id});
      member.flows = member.waiting = 0;
      pool->OnFailureSignal(member, FailureSignal::kPeer, this->now, this->now,
                            this->out);
      // The second result confirms the first one at balancers whose flows the
      // server has just answered; elsewhere it is ignored.
      for (int check = 0; check < 2; ++check)
        pool->OnHealthCheckResult(VmId{id}, HealthCheckResult::kTimedOut,
                                  this->now, this->out);
    }
  }
  /** Lets a health check of each balancer succeed. */
  void Recover(uint64_t id) {
    this->RunFor(Milliseconds(600));
    for (auto& pool : this->pools)
      pool->OnHealthCheckResult(VmId{id}, HealthCheckResult::kAnswered,
                                this->now, this->out);
  }

  /** @return Unanswered requests at the server. */
  int Unanswered(uint64_t id) const {
    return static_cast<int>(this->servers.at(id).work.size());
  }
  /** @return Balancers at which the server is still in slow start. */
  int PacedAt(uint64_t id) const {
    return static_cast<int>(
        std::ranges::count_if(this->pools, [id](const auto& pool) {
          return IsPaced(pool->Members().at(VmId{id}).pace);
        }));
  }
  /** @return Mean of the balancers' capacity weights of the server. */
  double MeanWeight(uint64_t id) const {
    double sum = 0;
    for (const auto& pool : this->pools)
      sum += WeightAt(pool->Members().at(VmId{id}).pace, this->now);
    return sum / this->load.balancers;
  }

  template <class Observe>
  void RunFor(Milliseconds time, Observe observe) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kStep;
      if (this->now.time_since_epoch() % Milliseconds(50) == Microseconds(0))
        this->TickAll();
      this->RunServers();
      this->SendRequests();
      this->OpenFlows();
      observe();
    }
  }
  void RunFor(Milliseconds time) {
    this->RunFor(time, [] {});
  }

  struct Server {
    double slowness = 1;        ///< Factor of the work's duration.
    std::deque<uint64_t> work;  ///< Flows with a request here, oldest first.
    int64_t answered = 0;
  };

  std::map<uint64_t, Server> servers;
  uint64_t choices = 0;  ///< Hash of all choices of servers, in order.
  int64_t refused = 0;   ///< Flows not placed although retransmitted twice.
  int64_t answers = 0;   ///< Answers in all.
  int64_t late = 0;      ///< Answers after three times the mean of the work.
  TimePoint now = TimePoint(Seconds(1000));
  VmList list;
  PacketOutput out;
  std::vector<std::unique_ptr<BackendPool>> pools;

 private:
  struct Flow {
    uint64_t id = 0;
    size_t balancer = 0;
    uint64_t server = 0;
    int requests_left = 0;
    TimePoint sent_at;
    TimePoint done_at = kNever;  ///< End of its run; kNever while queued.
    TimePoint next_at = kNever;  ///< Next request; kNever while unanswered.
    bool late_reported = false;
  };

  static std::string DataCentre(int index) {
    return std::string(1, static_cast<char>('a' + index % 3));
  }

  void TickAll() {
    this->out.Clear();
    SelfEvidence evidence;
    evidence.live_balancers = this->load.balancers;
    for (size_t index = 0; index < this->pools.size(); ++index) {
      const int local =
          (this->load.balancers + 2 - static_cast<int>(index % 3)) / 3;
      this->pools[index]->Tick(this->now, local, evidence, this->out);
    }
    for (Flow& flow : this->flows) {
      if (flow.next_at != kNever || flow.late_reported ||
          flow.sent_at + kLateAfter > this->now)
        continue;
      flow.late_reported = true;
      BackendPool& pool = *this->pools[flow.balancer];
      pool.OnPacedLate(*pool.Find(VmId{flow.server}), flow.sent_at, this->now);
    }
  }

  Flow& FlowOf(uint64_t id) {
    return *std::ranges::lower_bound(this->flows, id, {}, &Flow::id);
  }

  void RunServers() {
    for (auto& [id, server] : this->servers) {
      std::vector<uint64_t> done;
      for (size_t place = 0; place < server.work.size() && place < kSlots;
           ++place) {
        Flow& flow = this->FlowOf(server.work[place]);
        if (flow.done_at == kNever)
          flow.done_at =
              this->now +
              Microseconds(std::llround(1000 * kMeanWorkMs * server.slowness *
                                        std::uniform_real_distribution<double>(
                                            0.5, 1.5)(this->random)));
        if (flow.done_at <= this->now)
          done.push_back(flow.id);
      }
      for (const uint64_t flow : done) {
        std::erase(server.work, flow);
        ++server.answered;
        this->Answer(this->FlowOf(flow));
      }
    }
    std::erase_if(this->flows,
                  [](const Flow& flow) { return flow.requests_left == 0; });
  }

  void Answer(Flow& flow) {
    BackendPool& pool = *this->pools[flow.balancer];
    PoolMember& member = *pool.Find(VmId{flow.server});
    const Microseconds time = this->now - flow.sent_at;
    pool.OnAlive(member, this->now, this->out);
    BackendPool::OnAnswer(member, time);
    pool.OnPacedAnswer(member, time, this->now);
    member.waiting = std::max(0, member.waiting - 1);
    ++this->answers;
    if (time > Microseconds(std::llround(3000 * kMeanWorkMs)))
      ++this->late;
    flow.done_at = kNever;
    flow.next_at = this->now + this->load.pause;
    if (--flow.requests_left == 0)
      member.flows = std::max(0, member.flows - 1);
  }

  void Send(Flow& flow) {
    flow.sent_at = this->now;
    flow.next_at = kNever;
    flow.late_reported = false;
    ++this->pools[flow.balancer]->Find(VmId{flow.server})->waiting;
    this->servers[flow.server].work.push_back(flow.id);
  }

  void SendRequests() {
    for (Flow& flow : this->flows) {
      if (flow.next_at <= this->now)
        this->Send(flow);
    }
  }

  void OpenFlows() {
    const double mean =
        this->load.per_s * std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> arrivals(mean);
    for (int left = arrivals(this->random); left > 0; --left)
      this->waiting.push_back(
          {DrawIndex(this->random, this->pools.size()), 0, this->now});
    const std::vector<Opening> due = std::exchange(this->waiting, {});
    for (Opening opening : due) {
      if (opening.at > this->now) {
        this->waiting.push_back(opening);
        continue;
      }
      this->Place(opening);
    }
  }

  /** An opening packet and when it is sent next. */
  struct Opening {
    size_t balancer = 0;
    uint32_t retransmission = 0;
    TimePoint at;
  };

  void Place(Opening opening) {
    BackendPool& pool = *this->pools[opening.balancer];
    const int64_t limit = pool.QueueDepthLimitFor(opening.retransmission);
    const PoolChoice choice = pool.Choose(ServiceIdOf("desk"), VmId{}, limit,
                                          this->now, this->random);
    if (choice.member == nullptr ||
        BackendPool::IsFull(*choice.member, limit)) {
      if (opening.retransmission == 2) {
        ++this->refused;
        return;
      }
      opening.at += Milliseconds(opening.retransmission == 0 ? 200 : 400);
      ++opening.retransmission;
      this->waiting.push_back(opening);
      return;
    }
    this->choices = RendezvousScore(this->choices, choice.member->vm.value);
    ++choice.member->flows;
    this->flows.push_back({++this->last_flow, opening.balancer,
                           choice.member->vm.value,
                           this->load.requests_per_flow, this->now});
    this->Send(this->flows.back());
  }

  PaceLoad load;
  RandomEngine random;
  Config config;
  std::vector<Flow> flows;  ///< Sorted by id.
  std::vector<Opening> waiting;
  uint64_t last_flow = 0;
};

}  // namespace cuminvane::test

#endif  // CUMINVANE_TESTS_PACE_FAKE_H_
