//! The bench's fleet, small: what must hold in every play of `benches/hollow`.

#[path = "../benches/hollow/figures.rs"]
mod figures;
#[path = "../benches/hollow/stage.rs"]
mod stage;

use figures::Report;
use sagemast::api::{ColdStartLimits, DiscoveryMode};
use stage::{Plan, Stage, Trouble};

const ASKED: DiscoveryMode = DiscoveryMode::Subscribe { subscribe_within: 2_000.0 };

/// Forty sidecars on forty servers of four services, of which each lists two.
fn plan(discovery: DiscoveryMode, trouble: Trouble) -> Plan {
    Plan {
        name: "small".to_owned(),
        seed: 11,
        servers: 40,
        sidecars: 40,
        services: 4,
        calls: 2,
        zones: 5,
        regions: 5,
        requests_per_s: 800.0,
        load: 0.6,
        span: 30_000,
        during: [2_000, 20_000],
        changes: 12,
        discovery,
        shared_versions: true,
        history: 1_024,
        cold_start: ColdStartLimits {
            initial_capacity_fraction: 0.16,
            warm_up: 21_000.0,
            overload_multiple: 2.5,
            overload_duration: 1_500.0,
        },
        starts_told: true,
        drain_grace: 2_000.0,
        trouble,
    }
}

const TROUBLES: [Trouble; 5] = [
    Trouble::None,
    Trouble::Zone { at: 4_000, back: 14_000 },
    Trouble::Machine { at: 8_000, silent: false },
    Trouble::Machine { at: 8_000, silent: true },
    Trouble::Cut { at: 4_000, heal: 14_000 },
];

fn play(plan: Plan) -> Report {
    Stage::new(plan).play()
}

#[test]
fn a_seed_makes_a_report() {
    for trouble in TROUBLES {
        let text = |seed| play(Plan { seed, ..plan(ASKED, trouble) }).json().to_string();
        assert_eq!(text(5), text(5), "{trouble:?}");
        assert_ne!(text(5), text(6), "{trouble:?}");
    }
}

#[test]
fn every_request_gets_one_answer_and_every_change_is_in_force_in_the_end() {
    for discovery in [DiscoveryMode::Push, ASKED] {
        for trouble in TROUBLES {
            let report = play(plan(discovery, trouble));
            check(&report, &format!("{discovery:?}, {trouble:?}"));
            assert!(report.get("changes") >= 18.0, "six drains, ends and starts");
        }
    }
}

#[test]
fn every_request_gets_one_answer_where_servers_cannot_do_them_all() {
    let crowded = Plan {
        requests_per_s: 8_000.0,
        load: 1.5,
        during: [2_000, 7_000],
        span: 12_000,
        ..plan(ASKED, TROUBLES[0])
    };
    let report = play(crowded);
    check(&report, "crowded");
    assert!(report.get("refused") > 1_000.0 && report.get("failed") > 0.0, "both ends are met");
}

/// What must hold in every play.
fn check(report: &Report, play: &str) {
    let zero = |name: &str| assert_eq!(report.get(name), 0.0, "{name}: {play}");
    zero("with no final answer");
    zero("second final answers");
    zero("ended by their time");
    zero("sends to the gone after the grace");
    zero("changes lacking at a sidecar at the end");
    let ends = ["served", "refused", "failed", "lost with their sidecar"].map(|name| report.get(name));
    let (requests, ends) = (report.get("requests"), ends.iter().sum::<f64>());
    assert!(requests > 10_000.0 && requests == ends, "{requests} requests, {ends} ends: {play}");
}

#[test]
fn a_cold_server_keeps_within_its_budget_where_its_start_is_told() {
    let plan = |starts_told| Plan {
        requests_per_s: 3_480.0,
        changes: 0,
        starts_told,
        ..plan(DiscoveryMode::Push, Trouble::Zone { at: 2_500, back: 12_000 })
    };
    let name = "the same, of what makes it fall: last";
    let (told, untold) = (play(plan(true)).get(name), play(plan(false)).get(name));
    assert!(told < 1.0, "{told} of what makes it fall");
    assert!(
        2.0 * told < untold,
        "{told} against {untold} where nobody is told: the play must be able to tell"
    );
}
