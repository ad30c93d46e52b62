//! Cold servers fall under the sum of what all sidecars send, each knowing nothing of the others. Beyond their budget
//! of N requests only 2 roots of N and 2 more are put down to chance.

mod common;
mod fleet_simulation;

use common::{BalancerHarness, KEYED_PER_CELL, listing, sent_to, settings};
use fleet_simulation::*;
use sagemast::api::*;

/// Plays a plan; no cold server may be sent more than it bears in any window.
fn holds(name: &str, plan: &Scenario) -> BudgetUse {
    let played = simulate(plan);
    let used = played.budget_use(plan);
    println!(
        "{name:20} {:3} modules, {:2} of {} cold: most {:.2}, brink {:.2}, mean {:.2}, first {:.2} of the budget; \
         sent {:?} in the first seconds, {} further attempts; refused {:.2}%, in time {:.1}%",
        plan.modules,
        plan.cold_servers,
        plan.servers,
        used.max_share,
        used.max_share_of_limit,
        used.mean_share,
        used.first_window_share,
        played.sends_by_second(),
        played.further_attempts,
        100.0 * played.refused_share(),
        100.0 * played.answered_in_time as f64 / played.arrived as f64,
    );
    assert!(used.max_share_of_limit < 1.0, "{name}, {} modules: {used:?}", plan.modules);
    used
}

/// However many share the work, the first window and the whole warm-up get about as much of the budget. A few
/// sidecars hear more of each server and send cold ones more for that alone.
fn evenly(name: &str, plans: impl Fn(usize) -> Scenario) {
    let [few, some] = [4, 30].map(|modules| holds(name, &plans(modules)));
    for modules in [20, 100, 300] {
        let many = holds(name, &plans(modules));
        for (many, some, few) in [
            (many.first_window_share, some.first_window_share, few.first_window_share),
            (many.mean_share, some.mean_share, few.mean_share),
        ] {
            assert!(
                many > 0.8 * some && many > 0.6 * few,
                "{name}, {modules} modules: {many:.2} and {some:.2} of 30, {few:.2} of 4"
            );
        }
    }
}

#[test]
fn a_fleet_of_any_size_uses_a_like_share_of_the_budget() {
    evenly("ranked", |modules| Scenario::new(modules, 60, 18, 1));
}

#[test]
fn so_does_one_whose_sidecars_are_not_told_their_number() {
    evenly("not ranked", |modules| Scenario { rank_known: false, ..Scenario::new(modules, 60, 18, 2) });
}

#[test]
fn three_hundred_on_two_hundred_servers_stay_within_the_budget() {
    let used = holds("large", &Scenario::new(300, 200, 60, 3));
    assert!(used.first_window_share > 0.18, "{used:?}");
}

#[test]
fn one_alone_and_one_cold_server_alone_stay_within_the_budget() {
    for seed in 1..=5 {
        holds("one sidecar", &Scenario::new(1, 12, 4, seed));
        holds(
            "one sidecar, restart",
            &Scenario { restart_span: Some(2_000.0), ..Scenario::new(1, 12, 4, seed) },
        );
    }
    for modules in [1, 4, 20, 30, 100, 300] {
        holds("one cold", &Scenario::new(modules, 20, 1, 6));
        holds("one server", &Scenario { load: 1.5, ..Scenario::new(modules, 1, 1, 7) });
    }
}

/// What a server did warm counted as done cold, five seconds long: a few requests for each of many sidecars, and much
/// more than it can do.
#[test]
fn a_flood_at_one_that_has_just_come_back_stays_within_the_budget() {
    for modules in [30, 100, 300] {
        for seed in 1..=4 {
            let plan =
                Scenario { load: 5.0, end: REPLACEMENT_TIME + 6_000.0, ..Scenario::new(modules, 1, 1, seed) };
            holds("flood", &plan);
        }
    }
}

/// Nothing but the budget keeps work from cold servers: there are no others, or not enough.
#[test]
fn overload_stays_within_the_budget() {
    for modules in [4, 30, 300] {
        holds("overload", &Scenario { load: 1.3, ..Scenario::new(modules, 60, 18, 8) });
        holds("all cold", &Scenario { load: 0.9, ..Scenario::new(modules, 30, 30, 9) });
        let unequal = Scenario { speed_ratio: 1.4, rank_known: false, ..Scenario::new(modules, 30, 30, 10) };
        holds("all cold, unequal", &Scenario { load: 1.3, ..unequal });
        holds("others failing", &Scenario { error_share: 0.9, ..Scenario::new(modules, 30, 3, 11) });
    }
}

/// All have come back cold, and a third of them can do half as much as another third.
#[test]
fn slower_machines_stay_within_their_own_budget() {
    for (load, rank_known, seed) in [(0.9, true, 12), (0.9, false, 11), (2.0, true, 10), (2.0, false, 12)] {
        let plan = Scenario { load, rank_known, speed_ratio: 1.4, ..Scenario::new(300, 30, 30, seed) };
        holds("slower", &Scenario { end: REPLACEMENT_TIME + 5_000.0, ..plan });
    }
}

/// A new process knows nothing of what the one before it has sent.
#[test]
fn restarts_in_the_middle_stay_within_the_budget() {
    for modules in [4, 30, 300] {
        for (rank_known, load, span) in [(true, 0.65, 3_000.0), (false, 1.3, 2_000.0), (false, 1.3, 1.0)] {
            let plan =
                Scenario { rank_known, load, restart_span: Some(span), ..Scenario::new(modules, 30, 10, 12) };
            holds("restarts", &plan);
            holds("restarts, all cold", &Scenario { cold_servers: 30, ..plan });
        }
    }
}

/// Three in four servers of each cell are new, and half of the answers of the others are errors: requests are sent
/// on within the cell.
#[test]
fn further_attempts_within_a_cell_stay_within_the_budget() {
    for modules in [4, 30, 300] {
        for (rank_known, restart_span) in [(true, None), (false, None), (false, Some(3_000.0))] {
            let plan = Scenario { rank_known, restart_span, ..Scenario::new(modules, 36, 27, 13) };
            holds("cells", &Scenario { keyed_only: true, error_share: 0.5, cell_size: 4, load: 0.5, ..plan });
        }
    }
}

/// The allowance of a cold server was taken from the few that a bound attempt may go to, as if they did all the work.
#[test]
fn an_attempt_bound_to_one_cell_measures_a_cold_server_by_all_that_are_drawn_from() {
    const SECONDS: f64 = 10.0;
    const PER_S: f64 = 200.0;
    let mut settings = settings();
    settings.cold_start =
        ColdStartLimits { initial_capacity_fraction: 0.05, warm_up: 1e9, ..settings.cold_start };
    let allowed_per_s =
        settings.cold_start.overload_multiple * settings.cold_start.initial_capacity_fraction * PER_S / 20.0;
    // Two servers of one cell, one of them cold, and eighteen that have a cell each.
    let cold = UpstreamRecord { started_at: Some(1_000.0), ..listing(2) };
    let others = (1..=18).map(|cell| listing(10 * cell));
    let mut stage = BalancerHarness::new(settings, [listing(1), cold].into_iter().chain(others).collect());
    let (mut unanswered, mut to_cold) = (0, 0);
    for _ in 0..(SECONDS * PER_S) as usize {
        stage.now += 1_000.0 / PER_S;
        let (request, actions) = stage.arrive(KEYED_PER_CELL);
        let Some(first) = sent_to(&actions) else { continue };
        to_cold += usize::from(first.0 == 2);
        // The warm one of the two never gets to answer: it may have run.
        unanswered += usize::from(first.0 == 1);
        let outcome = if first.0 == 1 { Outcome::Cancelled } else { Outcome::Ok };
        let actions = stage.finish(request, 0, first, outcome, 2.0);
        let Some(next) = sent_to(&actions) else { continue };
        to_cold += usize::from(next.0 == 2);
        stage.finish(request, 1, next, Outcome::Ok, 2.0);
    }
    assert!(unanswered > 20, "only {unanswered} to be sent on within the cell");
    let allowed = allowed_per_s * SECONDS;
    assert!(
        (1.0..=allowed).contains(&f64::from(to_cold as u32)),
        "{to_cold} to the cold one, {allowed} allowed"
    );
}
