//! The ids of recent requests that may have run. Every request has an id of its own, so a request that repeats one of them
//! would make an upstream run the earlier request again.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;
use std::time::Duration;

use tokio::time::Instant;

/// How long an id is remembered.
const RETENTION: Duration = Duration::from_secs(300);
/// Limit on the number of ids: together they take less than 1 MiB. Above it, the oldest ones are forgotten.
const MAX_IDS: usize = 16 << 10;

/// An id and when it was remembered.
struct Entry {
    remembered_at: Instant,
    id_hash: u64,
}

/// Hashes of the ids, with a key that is random in each process. Two ids with the same hash are taken for one; among
/// [`MAX_IDS`] that happens to one request in 10^15.
#[derive(Default)]
pub struct RecentRequestIds {
    hash_key: RandomState,
    id_hashes: HashSet<u64>,
    /// The same hashes, oldest first.
    entries: VecDeque<Entry>,
}

impl RecentRequestIds {
    /// Remembers an id.
    pub fn remember(&mut self, id: &str, now: Instant) {
        self.forget_expired(now);
        let id_hash = self.hash_key.hash_one(id);
        if !self.id_hashes.insert(id_hash) {
            return;
        }
        if self.entries.len() == MAX_IDS {
            self.forget_oldest();
        }
        self.entries.push_back(Entry { remembered_at: now, id_hash });
    }

    /// Whether an id is remembered.
    pub fn contains(&mut self, id: &str, now: Instant) -> bool {
        self.forget_expired(now);
        self.id_hashes.contains(&self.hash_key.hash_one(id))
    }

    fn forget_expired(&mut self, now: Instant) {
        while self.entries.front().is_some_and(|oldest| now.duration_since(oldest.remembered_at) >= RETENTION)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.entries.pop_front() {
            self.id_hashes.remove(&oldest.id_hash);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net_recent_request_ids.rs"]
mod tests;
