//! Unit tests of `src/net/memory_budget.rs`, which includes this file as its `tests` module.

use super::*;

#[test]
fn bytes_beyond_the_capacity_are_not_charged() {
    let budget = MemoryBudget::new(100);
    let mut first = budget.try_charge(60).expect("room for 60 bytes");
    assert!(budget.try_charge(41).is_none());
    assert!(!first.try_grow(41));
    assert!(first.try_grow(40));
    assert_eq!(budget.charged(), 100);
    first.shrink_to(10);
    assert_eq!(budget.charged(), 10);
    drop(first);
    assert_eq!(budget.charged(), 0);
}

#[tokio::test]
async fn a_charge_waits_for_bytes_that_are_given_back() {
    let budget = MemoryBudget::new(100);
    let first = budget.try_charge(60).expect("room for 60 bytes");
    let waiting = tokio::spawn({
        let budget = budget.clone();
        async move { budget.charge(50).await }
    });
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished());
    drop(first);
    let charge = waiting.await.expect("the charge");
    assert_eq!(budget.charged(), 50);
    drop(charge);
}

/// Guards against refusing short requests because long ones, or peers that declare long ones, take up all memory.
#[test]
fn long_messages_leave_room_for_short_ones() {
    let budget = MemoryBudget::new(16 * MAX_BODY_BYTES);
    let long: Vec<Charge> = std::iter::from_fn(|| budget.try_charge(MAX_BODY_BYTES)).collect();
    assert_eq!(long.len(), 14);
    let mut short: Vec<Charge> = std::iter::from_fn(|| budget.try_charge(MAX_SHORT_MESSAGE_BYTES)).collect();
    assert_eq!(short.len(), 16);
    short.truncate(8);
    assert!(!short[0].try_grow(1), "a message that has become long");
}

/// Guards against a host list that takes the memory which the budgets count as free.
#[test]
fn listed_upstreams_reduce_the_budgets() {
    let memory = MessageMemory::new(32 << 20, 128);
    let all = memory.requests.capacity.load(Ordering::Relaxed);
    assert!(all >= 100 * MAX_BODY_BYTES, "{all} bytes");
    memory.set_listed_upstreams(4_600);
    let left = memory.responses.capacity.load(Ordering::Relaxed);
    assert!(left < all && left >= MIN_CAPACITY_BYTES, "{left} bytes");
    memory.set_listed_upstreams(14);
    assert!(memory.requests.capacity.load(Ordering::Relaxed) > left);
    memory.set_listed_upstreams(usize::MAX);
    assert_eq!(memory.requests.capacity.load(Ordering::Relaxed), MIN_CAPACITY_BYTES);
}
