//! The servers that are listed, and what is kept over all of them. It is kept as each of them changes: worked out
//! anew, a request would cost as much as there are servers. Part of the decision module of `src/brain.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;

use crate::api::*;
use crate::state::*;

/// A report older than this says nothing any more: the mean of the known servers stands in, and a probe goes
/// out when its server is drawn. Servers make reports anew about this often: asking earlier tells nothing.
pub(crate) const STALE: Millis = 1_000.0;
/// A server's failure rate fades over this time while nothing is sent there.
const FAILURES_FADE: Millis = 5_000.0;
/// Sums of what others have at the servers are kept in these parts: whole numbers add up to the same in any order.
const PARTS: f64 = (1 << 20) as f64;
/// No more is at one server in earnest; sums over hundreds of thousands of them hold it.
const MOST: f64 = 1e6;

/// The serving servers of a zone, with their cells, in the order that all sidecars share.
pub(crate) type Ring = Vec<(u64, UpstreamId, CellId)>;

/// Sums over the serving servers.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Sums {
    pub serving: i64,
    /// Those that are ejected.
    pub ejected: i64,
    /// What others have at those heard from since then, in parts, and how many these are.
    pub since: Millis,
    pub others: i64,
    pub heard: i64,
    /// Failure rates, as of then.
    pub failures: f64,
    pub at: Millis,
}

/// All servers that are not forgotten.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// What a sum is kept of changes by `change` alone.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    pub zones: BTreeMap<ZoneId, Ring>,
    sums: Sums,
    /// Reports as they came: the first to grow stale comes first. A later one of the same server takes its place.
    reports: VecDeque<(Millis, UpstreamId)>,
    /// Servers that do not serve any more, on which something may be out.
    leaving: BTreeSet<UpstreamId>,
    /// Counts changes of the rings and of who is ejected.
    pub version: u64,
}

impl Upstream {
    /// The share of its attempts that failed of late; it fades while nothing is sent there.
    pub fn failures(&self, now: Millis) -> f64 {
        self.failure_rate * (-(now - self.judged_at) / FAILURES_FADE).exp()
    }

    /// What others have there, in whole parts.
    pub fn parts(&self) -> i64 {
        (self.others.clamp(-MOST, MOST) * PARTS) as i64
    }
}

impl Sums {
    /// Counts a serving server in or, `by` -1, out.
    fn count(&mut self, upstream: &Upstream, now: Millis, by: i64) {
        if !upstream.serving {
            return;
        }
        self.serving += by;
        self.ejected += by * i64::from(upstream.health != Health::Ready);
        if upstream.reported_at >= self.since {
            self.others += by * upstream.parts();
            self.heard += by;
        }
        self.failures = self.failures_at(now) + by as f64 * upstream.failures(now);
        self.at = now;
    }

    fn failures_at(&self, now: Millis) -> f64 {
        self.failures * (-(now - self.at) / FAILURES_FADE).exp()
    }

    /// The failure rate of the mean server.
    pub fn usual_failures(&self, now: Millis) -> f64 {
        self.failures_at(now).max(0.0) / self.serving.max(1) as f64
    }

    /// What others have at the mean server that was heard from.
    pub fn usual_others(&self) -> f64 {
        (self.others as f64 / PARTS / self.heard.max(1) as f64).max(0.0)
    }
}

impl Roster {
    /// The rings of the zones, this one's first.
    pub fn zones_from(&self, first: ZoneId) -> impl Iterator<Item = (&ZoneId, &Ring)> {
        let others = self.zones.iter().filter(move |(zone, _)| **zone != first);
        self.zones.get_key_value(&first).into_iter().chain(others)
    }

    /// As of now.
    pub fn sums(&mut self, now: Millis) -> &Sums {
        self.sums.since = now - STALE;
        while let Some(&(at, id)) = self.reports.front().filter(|(at, _)| *at < self.sums.since) {
            self.reports.pop_front();
            let last = |upstream: &&Upstream| upstream.serving && upstream.reported_at == at;
            if let Some(upstream) = self.upstreams.get(&id).filter(last) {
                self.sums.others -= upstream.parts();
                self.sums.heard -= 1;
            }
        }
        &self.sums
    }

    /// Changes what is known of a server, but not what the list says of it.
    pub fn change(&mut self, id: UpstreamId, now: Millis, change: impl FnOnce(&mut Upstream)) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let (reported_at, health) = (upstream.reported_at, upstream.health);
        self.sums.count(upstream, now, -1);
        change(upstream);
        self.sums.count(upstream, now, 1);
        // One that lives anew may report again in the same instant.
        let this = (upstream.reported_at, id);
        let mut same = self.reports.iter().rev().take_while(|(at, _)| *at == this.0);
        if this.0 > reported_at && !same.any(|report| *report == this) {
            self.reports.push_back(this);
        }
        self.version += u64::from(upstream.health != health);
    }

    /// Takes over what discovery says. Who is missing from a whole list is gone; who does not serve any more is
    /// forgotten once nothing is out there.
    pub fn relist(&mut self, list: &[UpstreamRecord], whole: bool, now: Millis, rng: &mut Rand64) {
        if whole {
            self.upstreams.values_mut().for_each(|upstream| upstream.serving = false);
            self.zones.clear();
            self.sums = Sums { since: self.sums.since, at: now, ..Sums::default() };
        }
        for entry in list {
            if !whole {
                self.place(entry.upstream, now, false);
            }
            let upstream = self.upstreams.entry(entry.upstream).or_insert_with(|| Upstream::new(entry));
            upstream.relist(entry);
            if upstream.started.is_some() && upstream.allowed_at == f64::NEG_INFINITY {
                // Many sidecars hear of a start at once: their first sends to it must not fall together.
                (upstream.allowance, upstream.allowed_at) = (rng.rand_float(), now);
            }
            if !whole {
                self.place(entry.upstream, now, true);
            }
        }
        if whole {
            // In the order of the rings each goes to their ends.
            let mut all: Vec<_> =
                self.upstreams.iter().map(|(id, upstream)| (upstream.ring_position, *id)).collect();
            all.sort_unstable();
            all.iter().for_each(|(_, id)| self.place(*id, now, true));
        }
        let upstreams = &mut self.upstreams;
        self.leaving.retain(|id| {
            let Some(upstream) = upstreams.get(id).filter(|upstream| !upstream.serving) else { return false };
            let out = !upstream.outstanding.is_empty();
            if !out {
                upstreams.remove(id);
            }
            out
        });
        self.version += 1;
    }

    /// Puts a server in its place on the ring of its zone and counts it, or takes it out.
    fn place(&mut self, id: UpstreamId, now: Millis, there: bool) {
        let Some(upstream) = self.upstreams.get(&id) else { return };
        if !upstream.serving {
            self.leaving.insert(id);
            return;
        }
        self.sums.count(upstream, now, if there { 1 } else { -1 });
        let ring_position = (upstream.ring_position, id, upstream.cell);
        let ring = self.zones.entry(upstream.zone).or_default();
        match ring.binary_search(&ring_position) {
            Err(at) if there => ring.insert(at, ring_position),
            Ok(at) if !there && ring.len() > 1 => drop(ring.remove(at)),
            Ok(_) if !there => drop(self.zones.remove(&upstream.zone)),
            _ => {}
        }
    }
}
