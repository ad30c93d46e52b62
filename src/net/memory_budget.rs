//! The memory budget of the process. Bytes are charged to it before a buffer is allocated and given back when the buffer
//! is dropped, so that open requests and responses stay within the configured memory limit.
//!
//! Requests and responses have a budget each: responses that wait for memory are never held up by requests that wait for
//! their responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hyper::header::HeaderMap;
use tokio::sync::Notify;

use super::body::MAX_BODY_BYTES;

/// Memory of the process without connections and upstreams.
const PROCESS_BYTES: usize = 1 << 20;
/// Memory of a client connection and an upstream connection with a message head of the greatest length in each read
/// buffer. Read buffers are not charged to a budget.
const CONNECTION_PAIR_BYTES: usize = 80 << 10;
/// Memory of a listed upstream, in the registry and in the decision module.
const LISTED_UPSTREAM_BYTES: usize = 1_536;
/// The part of the remaining memory that may be charged, in percent. The allocator keeps some freed memory.
const CHARGEABLE_PERCENT: usize = 90;
/// The longest message that counts as short.
const MAX_SHORT_MESSAGE_BYTES: usize = 8 << 10;
/// The part of a budget that only short messages may use, in percent: they fit while long ones take up the rest.
const SHORT_MESSAGE_PERCENT: usize = 12;
/// Minimum capacity of a budget: several messages of the greatest length.
const MIN_CAPACITY_BYTES: usize = 16 * MAX_BODY_BYTES;
/// Memory of a field in a header map: its entry, its share of the index and its part of a name that is not well known.
/// Values are slices of the read buffer.
const HEADER_FIELD_BYTES: usize = 160;

/// A number of bytes that buffers may take up together.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity: AtomicUsize,
    charged: AtomicUsize,
    /// Notified when bytes are given back or the capacity changes.
    released: Notify,
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            capacity: AtomicUsize::new(capacity),
            charged: AtomicUsize::new(0),
            released: Notify::new(),
        })
    }

    /// Changes the capacity. Bytes that are charged already stay charged.
    fn set_capacity(&self, capacity: usize) {
        self.capacity.store(capacity, Ordering::Relaxed);
        self.released.notify_waiters();
    }

    /// The number of bytes that are charged.
    #[cfg(test)]
    pub fn charged(&self) -> usize {
        self.charged.load(Ordering::Relaxed)
    }

    /// The number of bytes that may be charged with a message of this length.
    fn limit(&self, message_bytes: usize) -> usize {
        let capacity = self.capacity.load(Ordering::Relaxed);
        let reserved_percent =
            if message_bytes > MAX_SHORT_MESSAGE_BYTES { SHORT_MESSAGE_PERCENT } else { 0 };
        capacity - capacity / 100 * reserved_percent
    }

    /// A charge of no bytes.
    pub fn empty_charge(self: &Arc<Self>) -> Charge {
        Charge { budget: self.clone(), bytes: 0 }
    }

    /// Charges bytes, unless they exceed what is left.
    pub fn try_charge(self: &Arc<Self>, bytes: usize) -> Option<Charge> {
        let mut charge = self.empty_charge();
        charge.try_grow(bytes).then_some(charge)
    }

    /// Waits until the bytes are left and charges them. More than the capacity never are.
    pub async fn charge(self: &Arc<Self>, bytes: usize) -> Charge {
        loop {
            let mut released = std::pin::pin!(self.released.notified());
            // Bytes that are given back between the check and the wait end the wait.
            released.as_mut().enable();
            if let Some(charge) = self.try_charge(bytes) {
                return charge;
            }
            released.await;
        }
    }
}

/// Bytes that are charged to a budget until this is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Charge {
    /// Charges more bytes, unless they exceed what is left. Returns whether they were charged.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit(self.bytes.saturating_add(bytes));
        let grow = |charged: usize| charged.checked_add(bytes).filter(|total| *total <= limit);
        let grown = self.budget.charged.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow).is_ok();
        self.bytes += if grown { bytes } else { 0 };
        grown
    }

    /// Gives back all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        if released > 0 {
            self.bytes -= released;
            self.budget.charged.fetch_sub(released, Ordering::Relaxed);
            self.budget.released.notify_waiters();
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// The budgets of a process.
#[derive(Debug)]
pub struct MessageMemory {
    /// Bytes that may be charged while no upstream is listed.
    chargeable_bytes: usize,
    /// Memory of client requests: copies of their heads, their bodies, and pipelined bytes behind them.
    pub requests: Arc<MemoryBudget>,
    /// Memory of upstream responses, until they are written to their clients.
    pub responses: Arc<MemoryBudget>,
}

impl MessageMemory {
    /// Creates the budgets of a process with this memory limit and this limit on connections on each side.
    pub fn new(memory_limit_bytes: usize, connections_per_side: usize) -> MessageMemory {
        let uncharged_bytes = PROCESS_BYTES + connections_per_side * CONNECTION_PAIR_BYTES;
        let chargeable_bytes = memory_limit_bytes.saturating_sub(uncharged_bytes);
        let capacity = budget_capacity(chargeable_bytes);
        MessageMemory {
            chargeable_bytes,
            requests: MemoryBudget::new(capacity),
            responses: MemoryBudget::new(capacity),
        }
    }

    /// Adapts the budgets to the memory that this number of listed upstreams takes up.
    pub fn set_listed_upstreams(&self, count: usize) {
        let list_bytes = count.saturating_mul(LISTED_UPSTREAM_BYTES);
        let capacity = budget_capacity(self.chargeable_bytes.saturating_sub(list_bytes));
        self.requests.set_capacity(capacity);
        self.responses.set_capacity(capacity);
    }
}

/// The capacity of each of the two budgets.
fn budget_capacity(chargeable_bytes: usize) -> usize {
    (chargeable_bytes / 100 * CHARGEABLE_PERCENT / 2).max(MIN_CAPACITY_BYTES)
}

/// The approximate memory of a header map. Its values are in the read buffer, which is not charged.
pub fn header_map_bytes(headers: &HeaderMap) -> usize {
    headers.len() * HEADER_FIELD_BYTES
}

#[cfg(test)]
#[path = "../../tests/unit/net_memory_budget.rs"]
mod tests;
