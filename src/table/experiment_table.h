/** @file experiment_table.h The sections and keys of an experiment file. */

#ifndef CUMINVANE_TABLE_EXPERIMENT_TABLE_H_
#define CUMINVANE_TABLE_EXPERIMENT_TABLE_H_

#include <array>

#include "table/config_table.h"
#include "table/flow_limit_table.h"

namespace cuminvane {

inline constexpr std::array kExperimentSections = {
    SectionRow{"fleet", false, true, "Balancers, data centres, delays."},
    SectionRow{"service", true, true, "A service and its backend servers."},
    SectionRow{"work", true, true, "A kind of request."},
    SectionRow{"fault", true, false, "Something that goes wrong."},
    SectionRow{"variant", true, false,
               "A way of deciding; each is run under the same load."},
};

/** All but the limits of opaque flows. */
inline constexpr std::array kExperimentOwnKeys = {
    KeyRow{"fleet", "seed", ValueKind::kInteger, "1", 0, kMaxExactInteger, "",
           "Seed of everything drawn; --seed goes before it."},
    KeyRow{"fleet", "length_ms", ValueKind::kInteger, "30000", 1000, 3600000,
           "", "Length of the load, in milliseconds."},
    KeyRow{"fleet", "data_centres", ValueKind::kWordList, "a,b,c", 0, 0, "",
           "Names of the data centres."},
    KeyRow{"fleet", "balancers", ValueKind::kInteger, "1", 1, 1000, "",
           "Balancers in each data centre."},
    KeyRow{"fleet", "near_us", ValueKind::kInteger, "100", 0, 1000000, "",
           "Delay one way in a data centre, in microseconds."},
    KeyRow{"fleet", "far_us", ValueKind::kInteger, "500", 0, 1000000, "",
           "Delay one way between data centres, in microseconds."},
    KeyRow{"fleet", "caller_us", ValueKind::kInteger, "2000", 0, 1000000, "",
           "Delay one way to callers, in microseconds."},
    KeyRow{"fleet", "news_ms", ValueKind::kInteger, "400", 0, 60000, "",
           "Longest time until a balancer reads a change, in milliseconds."},
    KeyRow{"fleet", "loss_percent", ValueKind::kDecimal, "0", 0, 100, "",
           "Share of packets lost, in percent."},
    KeyRow{"service", "backends", ValueKind::kInteger, "4", 1, 10000, "",
           "Backend servers in each data centre."},
    KeyRow{"service", "slots", ValueKind::kInteger, "2", 1, 1000, "",
           "Requests that one runs at the same time."},
    KeyRow{"service", "queue", ValueKind::kInteger, "8", 0, 100000, "",
           "Requests that wait at one; more are shed."},
    KeyRow{"service", "cold_ms", ValueKind::kInteger, "2000", 0, 600000, "",
           "Time for which one is slow after its start, in milliseconds."},
    KeyRow{"work", "service", ValueKind::kWord, nullptr, 0, 0, "",
           "Service that takes it."},
    KeyRow{"work", "idempotent", ValueKind::kBoolean, "yes", 0, 0, "",
           "Whether it may run twice."},
    KeyRow{"work", "fresh", ValueKind::kBoolean, "no", 0, 0, "",
           "Whether each request opens a flow of its own."},
    KeyRow{"work", "per_s", ValueKind::kDecimal, "50", 0.01, 1000000, "",
           "Requests a second in each data centre."},
    KeyRow{"work", "users", ValueKind::kInteger, "40", 1, 100000, "",
           "Users in each data centre."},
    KeyRow{"work", "work_ms", ValueKind::kDecimal, "30", 0, 60000, "",
           "Mean time of a run, in milliseconds."},
    KeyRow{"work", "answer_bytes", ValueKind::kInteger, "1000", 0, 10000000, "",
           "Bytes of an answer."},
    KeyRow{"work", "target_ms", ValueKind::kInteger, "200", 1, 600000, "",
           "Target: time to the whole answer, in milliseconds."},
    KeyRow{"work", "deadline_ms", ValueKind::kInteger, "3000", 1, 600000, "",
           "Time after which the caller gives up, in milliseconds."},
    KeyRow{"work", "worth", ValueKind::kDecimal, "1", 0, 1000, "",
           "Worth of an answer within the target."},
    KeyRow{"work", "late_worth", ValueKind::kDecimal, "0.3", 0, 1000, "",
           "Worth of a later answer."},
    KeyRow{"work", "retries", ValueKind::kInteger, "2", 0, 100, "",
           "Further tries of a caller."},
    KeyRow{"fault", "kind", ValueKind::kChoice, nullptr, 0, 0,
           "balancer_kill|balancer_stop|balancer_pause|power_off|backend_crash|"
           "backend_dark|backend_slow|backend_fail|release|centre_cut|"
           "list_lapse|burst|route_move|route_drop",
           "What happens."},
    KeyRow{"fault", "at_ms", ValueKind::kInteger, nullptr, 0, 3600000, "",
           "When, in milliseconds from the start of the load."},
    KeyRow{"fault", "for_ms", ValueKind::kInteger, "3000", 0, 3600000, "",
           "For how long, in milliseconds."},
    KeyRow{"fault", "count", ValueKind::kInteger, "1", 1, 10000, "",
           "Balancers or backend servers concerned."},
    KeyRow{"fault", "factor", ValueKind::kDecimal, "1", 0, 1000, "",
           "How strong: times as slow, share that fails, times the load."},
    KeyRow{"fault", "service", ValueKind::kWord, "", 0, 0, "",
           "Service of the backend servers concerned, or that a route moves "
           "to."},
    KeyRow{"fault", "work", ValueKind::kWord, "", 0, 0, "",
           "Kind of work whose route moves or goes."},
    KeyRow{"fault", "data_centre", ValueKind::kWord, "", 0, 0, "",
           "Data centre concerned; none: drawn from the seed."},
};

inline constexpr auto kExperimentKeys =
    ConcatenateKeys(kExperimentOwnKeys, FlowLimitKeys("variant"));

inline constexpr Schema kExperimentSchema{kExperimentSections, kExperimentKeys};

}  // namespace cuminvane

#endif  // CUMINVANE_TABLE_EXPERIMENT_TABLE_H_
