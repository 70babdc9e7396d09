/** @file experiment_table.h Schema of an experiment file for cuminvane-emulate.
 */

#ifndef CUMINVANE_TABLE_EXPERIMENT_TABLE_H_
#define CUMINVANE_TABLE_EXPERIMENT_TABLE_H_

#include <array>

#include "table/config_table.h"
#include "table/flow_limit_table.h"

namespace cuminvane {

inline constexpr std::array kExperimentSections = {
    SectionRow{"fleet", false, true, "Balancers, data centres and delays."},
    SectionRow{"service", true, true, "A service and its backend servers."},
    SectionRow{"work", true, true, "A kind of request and its load."},
    SectionRow{"fault", true, false, "A fault to inject."},
    SectionRow{"variant", true, false,
               "A set of decision parameters; all variants are run under the "
               "same load."},
};

/** All keys but the limits of opaque flows, which FlowLimitKeys() gives. */
inline constexpr std::array kExperimentSpecificKeys = {
    KeyRow{"fleet", "seed", ValueKind::kInteger, "1", 0, kMaxExactInteger, "",
           "Seed of the random numbers; --seed overrides it."},
    KeyRow{"fleet", "length_ms", ValueKind::kInteger, "30000", 1000, 3600000,
           "", "Duration of the load, in milliseconds."},
    KeyRow{"fleet", "measured_from_ms", ValueKind::kInteger, "0", 0, 3600000,
           "",
           "Time from the start of the load from which the busy time of slots "
           "and the tries shed by full servers are reported, in milliseconds."},
    KeyRow{"fleet", "data_centres", ValueKind::kWordList, "a,b,c", 0, 0, "",
           "Names of the data centres."},
    KeyRow{"fleet", "balancers", ValueKind::kInteger, "1", 1, 1000, "",
           "Number of balancers in each data centre."},
    KeyRow{"fleet", "near_us", ValueKind::kInteger, "100", 0, 1000000, "",
           "One-way delay inside a data centre, in microseconds."},
    KeyRow{"fleet", "far_us", ValueKind::kInteger, "500", 0, 1000000, "",
           "One-way delay between data centres, in microseconds."},
    KeyRow{"fleet", "caller_us", ValueKind::kInteger, "2000", 0, 1000000, "",
           "One-way delay between callers and balancers, in microseconds."},
    KeyRow{"fleet", "news_ms", ValueKind::kInteger, "400", 0, 60000, "",
           "Longest time until a balancer receives a change, in milliseconds."},
    KeyRow{"fleet", "loss_percent", ValueKind::kDecimal, "0", 0, 100, "",
           "Share of packets lost, in percent."},
    KeyRow{"service", "backends", ValueKind::kInteger, "4", 1, 10000, "",
           "Number of backend servers in each data centre."},
    KeyRow{"service", "slots", ValueKind::kInteger, "2", 1, 1000, "",
           "Requests that one backend server runs concurrently."},
    KeyRow{"service", "queue", ValueKind::kInteger, "8", 0, 100000, "",
           "Requests that one backend server queues; further ones are shed."},
    KeyRow{"service", "cold_ms", ValueKind::kInteger, "2000", 0, 600000, "",
           "Slow-start time of a backend server after its start, in "
           "milliseconds."},
    KeyRow{"service", "speeds", ValueKind::kWordList, "1", 0, 0, "",
           "Speeds of the backend servers, given to them in turn; a server of "
           "speed 2 runs a request in half of the time."},
    KeyRow{"work", "service", ValueKind::kWord, nullptr, 0, 0, "",
           "Service that runs the requests."},
    KeyRow{"work", "idempotent", ValueKind::kBoolean, "yes", 0, 0, "",
           "Whether a request may be run twice."},
    KeyRow{"work", "fresh", ValueKind::kBoolean, "no", 0, 0, "",
           "Whether each request opens a flow of its own."},
    KeyRow{"work", "flow_life_ms", ValueKind::kInteger, "0", 0, 3600000, "",
           "Longest life of a kept flow, in milliseconds; lives are uniformly "
           "distributed up to it. 0: a flow is kept until it is lost."},
    KeyRow{"work", "per_s", ValueKind::kDecimal, "50", 0.01, 1000000, "",
           "Requests per second in each data centre."},
    KeyRow{"work", "users", ValueKind::kInteger, "40", 1, 100000, "",
           "Number of users in each data centre."},
    KeyRow{"work", "work_ms", ValueKind::kDecimal, "30", 0, 60000, "",
           "Mean duration of a run, in milliseconds."},
    KeyRow{"work", "answer_bytes", ValueKind::kInteger, "1000", 0, 10000000, "",
           "Size of an answer, in bytes."},
    KeyRow{"work", "target_ms", ValueKind::kInteger, "200", 1, 600000, "",
           "Target: time to the whole answer, in milliseconds."},
    KeyRow{"work", "deadline_ms", ValueKind::kInteger, "3000", 1, 600000, "",
           "Time after which the caller gives up, in milliseconds."},
    KeyRow{"work", "worth", ValueKind::kDecimal, "1", 0, 1000, "",
           "Value of an answer within target_ms."},
    KeyRow{"work", "late_worth", ValueKind::kDecimal, "0.3", 0, 1000, "",
           "Value of an answer after target_ms."},
    KeyRow{"work", "retries", ValueKind::kInteger, "2", 0, 100, "",
           "Retries by the caller."},
    KeyRow{"fault", "kind", ValueKind::kChoice, nullptr, 0, 0,
           "balancer_kill|balancer_stop|balancer_pause|power_off|backend_crash|"
           "backend_dark|backend_slow|backend_fail|release|centre_cut|list_"
           "lapse|burst|route_move|route_drop|store_restored",
           "Kind of the fault."},
    KeyRow{"fault", "at_ms", ValueKind::kInteger, nullptr, 0, 3600000, "",
           "Start of the fault, in milliseconds after the start of the load."},
    KeyRow{"fault", "for_ms", ValueKind::kInteger, "3000", 0, 3600000, "",
           "Duration of the fault, in milliseconds."},
    KeyRow{"fault", "count", ValueKind::kInteger, "1", 1, 10000, "",
           "Number of balancers or backend servers that the fault affects."},
    KeyRow{"fault", "factor", ValueKind::kDecimal, "1", 0, 1000, "",
           "Strength of the fault: slowdown factor, share of requests that "
           "fail, load factor, or age of the store's copy in seconds."},
    KeyRow{"fault", "service", ValueKind::kWord, "", 0, 0, "",
           "Service of the affected backend servers, or service that a route "
           "is moved to."},
    KeyRow{"fault", "work", ValueKind::kWord, "", 0, 0, "",
           "Kind of request whose route is moved or removed."},
    KeyRow{"fault", "data_centre", ValueKind::kWord, "", 0, 0, "",
           "Data centre that the fault affects. Empty: drawn from the seed."},
};

inline constexpr auto kExperimentKeys =
    ConcatenateKeys(kExperimentSpecificKeys, FlowLimitKeys("variant"));

inline constexpr Schema kExperimentSchema{kExperimentSections, kExperimentKeys};

}  // namespace cuminvane

#endif  // CUMINVANE_TABLE_EXPERIMENT_TABLE_H_
