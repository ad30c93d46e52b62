//! Invariants of the fleet simulation in `benches/hollow`, checked on a small fleet.

#[path = "../benches/hollow/report.rs"]
mod report;
#[path = "../benches/hollow/simulation.rs"]
mod simulation;

use report::Report;
use sagemast::api::{ColdStartLimits, DiscoveryMode};
use simulation::{Fault, Scenario, Simulation};

const SUBSCRIBE: DiscoveryMode = DiscoveryMode::Subscribe { subscribe_within: 2_000.0 };

/// Forty sidecars and forty servers of four services; each sidecar lists two of the services.
fn scenario(discovery: DiscoveryMode, fault: Fault) -> Scenario {
    Scenario {
        name: "small".to_owned(),
        seed: 11,
        servers: 40,
        sidecars: 40,
        services: 4,
        services_per_sidecar: 2,
        zones: 5,
        regions: 5,
        requests_per_s: 800.0,
        offered_load: 0.6,
        duration_ms: 30_000,
        activity_start_ms: 2_000,
        activity_end_ms: 20_000,
        changes: 12,
        discovery,
        shared_versions: true,
        delta_history: 1_024,
        cold_start: ColdStartLimits {
            initial_capacity_fraction: 0.16,
            warm_up: 21_000.0,
            overload_multiple: 2.5,
            overload_duration: 1_500.0,
        },
        list_start_times: true,
        drain_grace_ms: 2_000.0,
        fault,
    }
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::ZoneOutage { start_ms: 4_000, end_ms: 14_000 },
    Fault::DiscoveryNodeLoss { start_ms: 8_000, silent: false },
    Fault::DiscoveryNodeLoss { start_ms: 8_000, silent: true },
    Fault::RegionPartition { start_ms: 4_000, end_ms: 14_000 },
    Fault::SlowDiscovery { start_ms: 8_000, delay_ms: 3_000 },
    Fault::CrowdedDiscovery { start_ms: 8_000, calls_per_s: 4 },
];

fn run(scenario: Scenario) -> Report {
    Simulation::new(scenario).run()
}

#[test]
fn reports_are_determined_by_the_seed() {
    for fault in FAULTS {
        let json = |seed| run(Scenario { seed, ..scenario(SUBSCRIBE, fault) }).to_json().to_string();
        assert_eq!(json(5), json(5), "reports of the same seed differ: {fault:?}");
        assert_ne!(json(5), json(6), "reports of different seeds are equal: {fault:?}");
    }
}

#[test]
fn each_request_gets_one_response_and_all_changes_are_applied() {
    for discovery in [DiscoveryMode::Push, SUBSCRIBE] {
        for fault in FAULTS {
            let report = run(scenario(discovery, fault));
            check_invariants(&report, &format!("{discovery:?}, {fault:?}"));
            assert!(
                report.value("changes") >= 18.0,
                "expected at least a drain, a termination and a start for each of 6 servers"
            );
        }
    }
}

#[test]
fn each_request_gets_one_response_under_overload() {
    let overload = Scenario {
        requests_per_s: 8_000.0,
        offered_load: 1.5,
        activity_start_ms: 2_000,
        activity_end_ms: 7_000,
        duration_ms: 12_000,
        ..scenario(SUBSCRIBE, Fault::None)
    };
    let report = run(overload);
    check_invariants(&report, "overload");
    assert!(
        report.value("refused") > 1_000.0 && report.value("failed") > 0.0,
        "the overload must cause both refusals and failures"
    );
}

/// Checks what must hold in every scenario. `description` names the scenario in messages.
fn check_invariants(report: &Report, description: &str) {
    let assert_zero = |name: &str| assert_eq!(report.value(name), 0.0, "{name}: {description}");
    assert_zero("with no final answer");
    assert_zero("second final answers");
    assert_zero("ended by their time");
    assert_zero("sends to the gone after the grace");
    assert_zero("changes lacking at a sidecar at the end");
    let outcomes = ["served", "refused", "failed", "lost with their sidecar"].map(|name| report.value(name));
    let (requests, completed) = (report.value("requests"), outcomes.iter().sum::<f64>());
    assert!(
        requests > 10_000.0 && requests == completed,
        "{requests} requests, {completed} completed: {description}"
    );
}

#[test]
fn cold_servers_are_not_overloaded_if_their_start_times_are_listed() {
    let scenario = |list_start_times| Scenario {
        requests_per_s: 3_480.0,
        changes: 0,
        list_start_times,
        ..scenario(DiscoveryMode::Push, Fault::ZoneOutage { start_ms: 2_500, end_ms: 12_000 })
    };
    // The maximum over all cold servers.
    let name = "the same, of what makes it fall: last";
    let (listed, unlisted) = (run(scenario(true)).value(name), run(scenario(false)).value(name));
    assert!(listed < 1.0, "peak load of a cold server is {listed} times its failure threshold");
    assert!(
        2.0 * listed < unlisted,
        "peak load with start times is {listed} and without {unlisted}: the scenario must show a clear difference"
    );
}
