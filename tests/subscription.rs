//! The subscription to discovery on a virtual clock: a change is applied within its deadline however long discovery
//! takes for a call, and the calls of a sidecar stay few.

mod subscription_simulation;

use std::cell::RefCell;
use std::rc::Rc;

use sagemast::api::Millis;
use sagemast::subscription::{
    Action, ConnectionId, MAX_CONNECTIONS, Subscription, SubscriptionSettings, UpdateInfo, UpdateVerdict,
};
use subscription_simulation::{CallOutcome, SAVED_VERSION, World, address};

/// A change must be applied this long after discovery had it and could be reached.
const UPDATE_DEADLINE: Millis = 6_000.0;
/// How long discovery takes for a call.
const DELAYS: [Millis; 8] = [200.0, 1_200.0, 2_400.0, 2_600.0, 3_200.0, 4_000.0, 4_800.0, 5_500.0];
/// The longest wait of the decision module before it asks for the first list.
const FIRST_REQUEST: Millis = 400.0;
/// The longest wait before a watch that has ended or fallen silent is reopened.
const LONGEST_REOPEN_WAIT: Millis = 200.0;
const SEEDS: u64 = 40;
/// The period over which calls are counted, and the most calls in it.
const COUNTED_PERIOD: Millis = 20_000.0;
const MAX_CALLS: usize = 20;
const NEW_VERSION: u64 = SAVED_VERSION + 1;

/// Whether lists are pushed, for both modes.
const MODES: [bool; 2] = [true, false];

/// Asserts that the first change, published at this time, is applied in time.
fn assert_applied_in_time(world: &World, published_at: Millis, case: &str) {
    let applied_at = world.applied_at(NEW_VERSION).unwrap_or(f64::INFINITY);
    assert!(
        applied_at - published_at < UPDATE_DEADLINE,
        "{case}: applied {} ms after the change",
        applied_at - published_at
    );
}

fn assert_few_calls(world: &World, start: Millis, case: &str) {
    let calls = world.calls_between(start, start + COUNTED_PERIOD);
    assert!(calls <= MAX_CALLS, "{case}: {calls} calls in {COUNTED_PERIOD} ms");
    assert!(world.most_connections <= MAX_CONNECTIONS, "{case}: {} connections", world.most_connections);
}

/// Runs a check for each delay, mode and seed.
fn for_each_case(mut check: impl FnMut(Millis, bool, u64, &str)) {
    for delay in DELAYS {
        for pushed in MODES {
            for seed in 0..SEEDS {
                check(delay, pushed, seed, &format!("delay {delay} ms, pushed {pushed}, seed {seed}"));
            }
        }
    }
}

#[test]
fn discovery_that_is_slow_from_the_start_is_heard() {
    for_each_case(|delay, pushed, seed, case| {
        for published_at in [0.0, 700.0, 4_000.0] {
            let mut world =
                World::new(pushed, FIRST_REQUEST, seed, move |_, _, _| CallOutcome::Answer(delay));
            world.publish_at(published_at);
            world.run_until(COUNTED_PERIOD);
            assert_applied_in_time(&world, published_at, case);
            assert_few_calls(&world, 0.0, case);
        }
    });
}

/// The head of the response says nothing about when the list follows.
#[test]
fn list_that_comes_long_after_the_head_of_the_response_is_heard() {
    for_each_case(|delay, pushed, seed, case| {
        let outcome = CallOutcome::AcceptThenAnswer(delay);
        let mut world = World::new(pushed, FIRST_REQUEST, seed, move |_, _, _| outcome);
        world.publish_at(0.0);
        world.run_until(COUNTED_PERIOD);
        assert_applied_in_time(&world, 0.0, case);
        assert_few_calls(&world, 0.0, case);
    });
}

/// A discovery that is fast for ten seconds, and slow from then on.
fn slow_after_ten_seconds(pushed: bool, seed: u64, delay: Millis) -> World {
    World::new(pushed, FIRST_REQUEST, seed, move |_, at, _| {
        CallOutcome::Answer(if at < 10_000.0 { 1.0 } else { delay })
    })
}

#[test]
fn discovery_that_becomes_slow_as_its_watches_end_is_heard() {
    for_each_case(|delay, pushed, seed, case| {
        let mut world = slow_after_ten_seconds(pushed, seed, delay);
        world.end_watches_at(10_000.0);
        world.publish_at(10_000.0);
        world.run_until(10_000.0 + COUNTED_PERIOD);
        assert_applied_in_time(&world, 10_000.0, case);
        assert_few_calls(&world, 10_000.0, case);
    });
}

/// The silence is noticed 2.5 s after the last line, which leaves 3.5 s for the call.
#[test]
fn discovery_that_becomes_slow_as_its_watches_fall_silent_is_heard() {
    for_each_case(|delay, pushed, seed, case| {
        let mut world = slow_after_ten_seconds(pushed, seed, delay);
        let silent_at = 10_000.0 + 50.0 * seed as f64;
        world.silence_watches_at(silent_at);
        world.publish_at(silent_at);
        world.run_until(silent_at + COUNTED_PERIOD);
        let applied_at = world.applied_at(NEW_VERSION).unwrap_or(f64::INFINITY);
        let longest = UPDATE_DEADLINE.max(2_500.0 + LONGEST_REOPEN_WAIT + delay + 1.0);
        assert!(applied_at - silent_at < longest, "{case}: {} ms", applied_at - silent_at);
        assert_few_calls(&world, silent_at, case);
    });
}

/// Guards against a reload that ends pending calls, and against one that adds calls although nothing has changed.
#[test]
fn reloads_in_quick_succession_neither_end_calls_nor_add_any() {
    for_each_case(|delay, pushed, seed, case| {
        let run = |reload_interval: Option<Millis>| {
            let mut world =
                World::new(pushed, FIRST_REQUEST, seed, move |_, _, _| CallOutcome::Answer(delay));
            let interval = reload_interval.unwrap_or(f64::INFINITY);
            let mut reload_at = 500.0;
            while reload_at < COUNTED_PERIOD {
                world.reload_at(reload_at, address(0));
                reload_at += interval;
            }
            world.publish_at(600.0);
            world.run_until(COUNTED_PERIOD);
            assert_applied_in_time(&world, 600.0, case);
            assert_few_calls(&world, 0.0, case);
            world.calls.len()
        };
        let calls_without_reloads = run(None);
        for interval in [100.0, 400.0, 700.0, 1_000.0] {
            let calls = run(Some(interval));
            assert!(calls <= calls_without_reloads + 1, "{case}: {calls}, {calls_without_reloads} without");
        }
    });
}

/// Guards against a new address that ends the calls to the former one: in a series of reloads none would be answered.
#[test]
fn reloads_that_alternate_between_two_addresses_do_not_end_calls() {
    for_each_case(|delay, pushed, seed, case| {
        for interval in [100.0, 400.0, 700.0, 1_000.0] {
            let mut world =
                World::new(pushed, FIRST_REQUEST, seed, move |_, _, _| CallOutcome::Answer(delay));
            let mut reload_at = 500.0;
            for number in 1.. {
                world.reload_at(reload_at, address(number % 2));
                reload_at += interval;
                if reload_at >= COUNTED_PERIOD {
                    break;
                }
            }
            world.publish_at(600.0);
            world.run_until(COUNTED_PERIOD);
            assert_applied_in_time(&world, 600.0, case);
            // Both addresses are called as often as one that does not change.
            let calls = world.calls.len();
            assert!(calls <= 2 * MAX_CALLS, "{case}, reloads every {interval} ms: {calls} calls");
            assert!(world.most_connections <= MAX_CONNECTIONS, "{case}");
        }
    });
}

/// A call that is lost, as on a machine that was cut off, must not keep the place of a call that is answered.
#[test]
fn lost_call_does_not_keep_others_from_being_answered() {
    for_each_case(|delay, pushed, seed, case| {
        for first_request in [0.0, 150.0] {
            let mut world = World::new(pushed, first_request, seed, move |call, _, _| {
                if call == 0 { CallOutcome::Lost } else { CallOutcome::Answer(delay) }
            });
            world.publish_at(0.0);
            world.run_until(COUNTED_PERIOD);
            assert_applied_in_time(&world, 0.0, case);
            assert_few_calls(&world, 0.0, case);
        }
    });
}

/// While the head of a response promises a list no calls are made. Guards against waiting on after its connection fails.
#[test]
fn call_that_fails_after_the_head_of_its_response_is_repeated_soon() {
    for pushed in MODES {
        for failure in [400.0, 1_000.0, 2_400.0] {
            for seed in 0..SEEDS {
                let mut world = World::new(pushed, 0.0, seed, move |call, _, _| {
                    if call == 0 { CallOutcome::AcceptThenFail(failure) } else { CallOutcome::Answer(1.0) }
                });
                world.publish_at(0.0);
                world.run_until(COUNTED_PERIOD);
                let applied_at = world.applied_at(NEW_VERSION).unwrap_or(f64::INFINITY);
                // Where lists are requested, the decision module decides when a failed call is repeated.
                let longest = if pushed { 510.0 } else { 1_510.0 };
                assert!(applied_at < failure + longest, "pushed {pushed}, seed {seed}: {applied_at} ms");
            }
        }
    }
}

/// Many lost calls fill all places: calls made once discovery answers are still heard.
#[test]
fn slow_answers_are_heard_after_many_lost_calls() {
    for_each_case(|delay, pushed, seed, case| {
        let outage_end = 15_000.0 + 100.0 * seed as f64;
        let mut world = World::new(pushed, 0.0, seed, move |_, at, _| {
            if at < outage_end { CallOutcome::Lost } else { CallOutcome::Answer(delay) }
        });
        world.publish_at(outage_end);
        world.run_until(40_000.0);
        let longest_wait_between_calls = 1_500.0;
        let applied_after = world.applied_at(NEW_VERSION).unwrap_or(f64::INFINITY) - outage_end;
        assert!(applied_after <= longest_wait_between_calls + delay + 1.0, "{case}: {applied_after} ms");
        assert!(world.most_connections <= MAX_CONNECTIONS, "{case}");
        let calls = world.calls_between(0.0, 15_000.0);
        assert!(calls <= 15, "{case}: {calls} calls in 15 s");
    });
}

/// The oldest call keeps its place, so that even a discovery that needs longer than the others are kept is heard.
#[test]
fn call_of_twenty_seconds_is_answered() {
    for seed in 0..SEEDS {
        let mut world = World::new(true, 0.0, seed, |_, _, _| CallOutcome::Answer(20_000.0));
        world.publish_at(0.0);
        world.run_until(25_000.0);
        assert_eq!(world.applied_at(NEW_VERSION), Some(20_000.0), "seed {seed}");
    }
}

/// The answers come in another order than the calls, with lists that were read when the calls arrived.
#[test]
fn older_list_never_replaces_a_newer_one() {
    for pushed in MODES {
        for seed in 0..400 {
            let random = Rc::new(RefCell::new(oorandom::Rand64::new(u128::from(seed))));
            let mut world = World::new(pushed, 0.0, seed, move |_, _, _| {
                let delay = 5_500.0 * random.borrow_mut().rand_float();
                match random.borrow_mut().rand_range(0..4) {
                    0 => CallOutcome::Answer(delay),
                    1 => CallOutcome::Lost,
                    _ => CallOutcome::AnswerFromArrival(delay),
                }
            });
            for number in 0..40_u16 {
                world.publish_at(f64::from(number) * 450.0);
                world.reload_at(f64::from(number) * 390.0, address(number / 4 % 3));
            }
            world.end_watches_at(6_000.0);
            world.silence_watches_at(9_000.0);
            world.end_watches_at(14_000.0);
            world.run_until(40_000.0);
            let versions: Vec<u64> = world.applied.iter().map(|(_, version)| *version).collect();
            assert!(versions.is_sorted(), "seed {seed}: {versions:?}");
            assert_eq!(versions.last(), Some(&(SAVED_VERSION + 40)), "pushed {pushed}, seed {seed}");
            assert!(world.most_connections <= MAX_CONNECTIONS);
        }
    }
}

/// Refused calls are repeated soon, so that the time until a change is applied after an outage does not depend on its
/// length.
#[test]
fn change_is_applied_soon_after_an_outage() {
    for pushed in MODES {
        for outage in [1_000.0, 6_000.0, 30_000.0] {
            for seed in 0..SEEDS {
                let end = 10_000.0 + outage;
                let mut world = World::new(pushed, 0.0, seed, move |_, at, _| {
                    if (10_000.0..end).contains(&at) {
                        CallOutcome::Refused
                    } else {
                        CallOutcome::Answer(1.0)
                    }
                });
                world.end_watches_at(10_000.0);
                world.publish_at(end);
                world.run_until(end + 10_000.0);
                let applied_after = world.applied_at(NEW_VERSION).unwrap_or(f64::INFINITY) - end;
                // Where lists are requested, the decision module decides when a failed call is repeated.
                let longest = if pushed { 510.0 } else { 1_510.0 };
                assert!(
                    applied_after < longest,
                    "pushed {pushed}, {outage} ms, seed {seed}: {applied_after} ms"
                );
                assert_eq!(world.failures_reported > 0, !pushed, "only the module's own calls are reported");
            }
        }
    }
}

/// A call that is late is not a failure: the decision module is not told.
#[test]
fn decision_module_does_not_hear_of_late_calls() {
    for_each_case(|delay, pushed, seed, case| {
        let mut world = slow_after_ten_seconds(pushed, seed, delay);
        world.end_watches_at(10_000.0);
        world.run_until(30_000.0);
        assert_eq!(world.failures_reported, 0, "{case}");
    });
}

/// Discovery fails calls that have waited too long, as a service of fixed capacity does.
#[test]
fn calls_that_fail_after_a_wait_are_repeated_at_a_bounded_rate() {
    for pushed in MODES {
        for wait in [500.0, 1_000.0, 2_000.0, 4_000.0] {
            for seed in 0..SEEDS {
                let mut world = World::new(pushed, 0.0, seed, move |_, _, _| CallOutcome::FailAfter(wait));
                world.run_until(COUNTED_PERIOD);
                let calls = world.calls.len();
                assert!(calls <= MAX_CALLS, "pushed {pushed}, wait {wait} ms, seed {seed}: {calls} calls");
            }
        }
    }
}

/// A discovery that has nothing to tell sends no update after the head of its response. Guards against taking the time
/// until its first empty line for the time of the call: a second call beside a lost one would come much later.
#[test]
fn second_call_does_not_wait_longer_because_the_last_watch_had_nothing_to_tell() {
    let (mut subscription, watch) = delivering_subscription();
    let mut actions = Vec::new();
    subscription.on_keep_alive(watch, 4_000.0, &mut actions);
    subscription.on_ended(watch, "closed", false, 4_100.0, &mut actions);
    let mut opened_at = Vec::new();
    while opened_at.len() < 2 {
        let now = subscription.next_wakeup().expect("a call is due");
        actions.clear();
        subscription.on_wakeup(now, &mut actions);
        opened_at.extend(actions.iter().filter(|action| matches!(action, Action::Open { .. })).map(|_| now));
    }
    assert!(opened_at[1] - opened_at[0] <= 300.0, "{opened_at:?}");
}

/// The watches of many sidecars fall silent together. Guards against calls that are all made in the same moment.
#[test]
fn calls_after_a_silence_are_jittered() {
    for pushed in MODES {
        let mut times = Vec::new();
        for seed in 0..200 {
            let mut world = World::new(pushed, 0.0, seed, |_, _, _| CallOutcome::Answer(1.0));
            world.publish_at(9_000.0);
            world.silence_watches_at(9_500.0);
            world.run_until(15_000.0);
            times.extend(world.calls.iter().filter(|at| **at > 9_500.0).take(1).copied());
        }
        assert_eq!(times.len(), 200);
        let (first, last) =
            (times.iter().copied().fold(f64::MAX, f64::min), times.iter().copied().fold(0.0, f64::max));
        let longest = if pushed { 50.0 } else { LONGEST_REOPEN_WAIT };
        assert!(
            (0.8 * longest..=longest + 1.0).contains(&(last - first)),
            "pushed {pushed}: {first} to {last} ms"
        );
    }
}

/// Calls are jittered, so that sidecars that lose discovery together do not keep calling it together.
#[test]
fn waits_between_calls_are_jittered() {
    let mut world = World::new(true, 0.0, 7, |_, _, _| CallOutcome::Lost);
    world.run_until(60_000.0);
    let gaps: Vec<Millis> = world.calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let short = gaps[1..].iter().filter(|gap| **gap < 1_300.0).count();
    assert!(short > gaps.len() / 4 && short < 3 * gaps.len() / 4, "{gaps:?}");
    let mut world = World::new(true, 0.0, 7, |_, _, _| CallOutcome::Refused);
    world.run_until(60_000.0);
    let gaps: Vec<Millis> = world.calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let short = gaps.iter().filter(|gap| **gap < 250.0).count();
    assert!(short > gaps.len() / 4 && short < 3 * gaps.len() / 4, "{gaps:?}");
}

/// A subscription whose watch delivers, and the id of that watch.
fn delivering_subscription() -> (Subscription, ConnectionId) {
    let settings = SubscriptionSettings { pushed: true, drain_grace: 2_000.0 };
    let mut subscription = Subscription::new(settings, address(0), SAVED_VERSION, 1);
    let mut actions = Vec::new();
    subscription.on_wakeup(0.0, &mut actions);
    let [Action::Open { connection, from_version: SAVED_VERSION, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    subscription.on_accepted(connection, 1.0);
    subscription.on_keep_alive(connection, 2_000.0, &mut actions);
    (subscription, connection)
}

/// Guards against a reload that forgets that a snapshot has to be requested.
#[test]
fn reload_does_not_forget_that_a_snapshot_is_needed() {
    let (mut subscription, watch) = delivering_subscription();
    let mut actions = Vec::new();
    let invalid = UpdateInfo { version: 6, is_snapshot: true, has_invalid_entries: true };
    assert_eq!(subscription.on_update(watch, invalid, 2_010.0, &mut actions), UpdateVerdict::Apply);
    actions.clear();
    subscription.on_reload(address(1), 2_020.0, &mut actions);
    assert!(matches!(actions[..], [Action::Open { from_version: 0, .. }]), "{actions:?}");
}

/// A new address that is behind does not end the watch of the former one, which may tell of further changes.
#[test]
fn former_watch_is_kept_until_the_new_address_is_up_to_date() {
    let (mut subscription, watch) = delivering_subscription();
    let mut actions = Vec::new();
    let update = |version| UpdateInfo { version, is_snapshot: true, has_invalid_entries: false };
    assert_eq!(subscription.on_update(watch, update(6), 2_010.0, &mut actions), UpdateVerdict::Apply);
    subscription.on_reload(address(1), 2_020.0, &mut actions);
    let [Action::Open { connection, .. }] = actions[..] else { panic!("{actions:?}") };
    actions.clear();
    assert_eq!(subscription.on_update(connection, update(5), 2_030.0, &mut actions), UpdateVerdict::Ignore);
    subscription.on_keep_alive(connection, 2_040.0, &mut actions);
    assert_eq!(subscription.on_update(watch, update(7), 2_050.0, &mut actions), UpdateVerdict::Apply);
    assert!(!actions.contains(&Action::Close(watch)), "{actions:?}");
    assert_eq!(subscription.on_update(connection, update(7), 2_060.0, &mut actions), UpdateVerdict::Apply);
    assert!(actions.contains(&Action::Close(watch)), "{actions:?}");
}

#[test]
fn connections_that_were_closed_are_ignored() {
    let (mut subscription, watch) = delivering_subscription();
    let mut actions = Vec::new();
    subscription.on_reload(address(1), 2_020.0, &mut actions);
    let [Action::Open { connection, .. }] = actions[..] else { panic!("{actions:?}") };
    let update = |version| UpdateInfo { version, is_snapshot: true, has_invalid_entries: false };
    // The former address counts until the new one is heard.
    assert_eq!(subscription.on_update(watch, update(6), 2_030.0, &mut actions), UpdateVerdict::Apply);
    assert_eq!(subscription.on_update(connection, update(7), 2_040.0, &mut actions), UpdateVerdict::Apply);
    assert!(actions.contains(&Action::Close(watch)), "{actions:?}");
    assert_eq!(subscription.on_update(watch, update(90), 2_050.0, &mut actions), UpdateVerdict::Ignore);
}
