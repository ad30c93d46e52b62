//! The listed servers and totals over them. The totals are updated with each change of a server, so that the
//! cost of a request does not grow with the number of servers. Part of the decision module in `src/balancer.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;

use crate::api::*;
use crate::model::*;

/// Age at which a load report goes stale. It is about the servers' own report interval, so an earlier probe
/// would not return anything new.
pub(crate) const REPORT_MAX_AGE: Millis = 1_000.0;
/// Time constant with which the failure rate of a server without requests decays.
const FAILURE_RATE_TIME_CONSTANT: Millis = 5_000.0;
/// Fixed-point scale of in-flight totals; integer sums do not depend on the order of addition.
const FIXED_POINT_SCALE: f64 = (1 << 20) as f64;
/// In-flight counts are clamped to this, so that the totals of very large fleets do not overflow.
const MAX_OTHERS_IN_FLIGHT: f64 = 1e6;

/// A serving server on the ring of its zone. The derived order is the same in all sidecars.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RingEntry {
    pub ring_position: u64,
    pub upstream: UpstreamId,
    pub cell: CellId,
}

/// The serving servers of a zone in ring order.
pub(crate) type Ring = Vec<RingEntry>;

/// Totals over the serving servers.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ServingTotals {
    /// Number of serving servers.
    pub serving: i64,
    /// Number of serving servers that are ejected.
    pub ejected: i64,
    /// Reports from before this time are stale.
    pub fresh_since: Millis,
    /// In-flight requests of other sidecars at the servers with a fresh report, in fixed point.
    pub others_in_flight: i64,
    /// Number of servers with a fresh report.
    pub fresh_reports: i64,
    /// Sum of the failure rates as of `failure_rate_sum_updated_at`.
    pub failure_rate_sum: f64,
    pub failure_rate_sum_updated_at: Millis,
}

/// The listed servers, including those that no longer serve but have outstanding attempts.
#[derive(Debug, Default)]
pub(crate) struct ServerList {
    /// Fields that the totals depend on may be changed only through [`ServerList::update`] and
    /// [`ServerList::apply`].
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// The ring of each zone that has serving servers.
    pub rings: BTreeMap<ZoneId, Ring>,
    totals: ServingTotals,
    /// Times of reports, oldest first. An entry is obsolete once its server has reported again.
    report_times: VecDeque<(Millis, UpstreamId)>,
    /// Servers that no longer serve; removed once they have no outstanding attempts.
    draining: BTreeSet<UpstreamId>,
    /// Incremented when the list or the health of a server changes.
    pub version: u64,
}

impl Upstream {
    /// Failure rate as of `now`.
    pub fn failure_rate_at(&self, now: Millis) -> f64 {
        self.failure_rate * (-(now - self.failure_rate_updated_at) / FAILURE_RATE_TIME_CONSTANT).exp()
    }

    /// In-flight requests of other sidecars at this server, in fixed point.
    pub fn fixed_point_others_in_flight(&self) -> i64 {
        let clamped = self.others_in_flight.clamp(-MAX_OTHERS_IN_FLIGHT, MAX_OTHERS_IN_FLIGHT);
        (clamped * FIXED_POINT_SCALE) as i64
    }
}

impl ServingTotals {
    /// Adds a server to the totals with `sign` 1, or removes it with `sign` -1.
    fn count(&mut self, upstream: &Upstream, now: Millis, sign: i64) {
        if !upstream.serving {
            return;
        }
        self.serving += sign;
        self.ejected += sign * i64::from(upstream.health != Health::Ready);
        if upstream.last_report_at >= self.fresh_since {
            self.others_in_flight += sign * upstream.fixed_point_others_in_flight();
            self.fresh_reports += sign;
        }
        self.failure_rate_sum = self.failure_rate_sum_at(now) + sign as f64 * upstream.failure_rate_at(now);
        self.failure_rate_sum_updated_at = now;
    }

    fn failure_rate_sum_at(&self, now: Millis) -> f64 {
        let elapsed = now - self.failure_rate_sum_updated_at;
        self.failure_rate_sum * (-elapsed / FAILURE_RATE_TIME_CONSTANT).exp()
    }

    /// Mean failure rate of the serving servers.
    pub fn mean_failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate_sum_at(now).max(0.0) / self.serving.max(1) as f64
    }

    /// Mean in-flight count from other sidecars at the servers with a fresh report.
    pub fn mean_others_in_flight(&self) -> f64 {
        let others_in_flight = self.others_in_flight as f64 / FIXED_POINT_SCALE;
        (others_in_flight / self.fresh_reports.max(1) as f64).max(0.0)
    }
}

impl ServerList {
    /// The rings of all zones, starting with the given zone.
    pub fn rings_from(&self, first: ZoneId) -> impl Iterator<Item = (&ZoneId, &Ring)> {
        let others = self.rings.iter().filter(move |(zone, _)| **zone != first);
        self.rings.get_key_value(&first).into_iter().chain(others)
    }

    /// The totals as of `now`, without reports that have gone stale.
    pub fn totals(&mut self, now: Millis) -> &ServingTotals {
        self.totals.fresh_since = now - REPORT_MAX_AGE;
        while let Some(&(at, id)) = self.report_times.front().filter(|(at, _)| *at < self.totals.fresh_since)
        {
            self.report_times.pop_front();
            let is_last_report = |upstream: &&Upstream| upstream.serving && upstream.last_report_at == at;
            if let Some(upstream) = self.upstreams.get(&id).filter(is_last_report) {
                self.totals.others_in_flight -= upstream.fixed_point_others_in_flight();
                self.totals.fresh_reports -= 1;
            }
        }
        &self.totals
    }

    /// Changes the estimates or the health of a server and keeps the totals consistent. Fields that come from
    /// discovery are changed by [`ServerList::apply`] only.
    pub fn update(&mut self, id: UpstreamId, now: Millis, change: impl FnOnce(&mut Upstream)) {
        let Some(upstream) = self.upstreams.get_mut(&id) else { return };
        let (previous_report_at, previous_health) = (upstream.last_report_at, upstream.health);
        self.totals.count(upstream, now, -1);
        change(upstream);
        self.totals.count(upstream, now, 1);
        // A restarted server may report twice at the same time, but must be queued once.
        let report = (upstream.last_report_at, id);
        let mut same_time = self.report_times.iter().rev().take_while(|(at, _)| *at == report.0);
        if report.0 > previous_report_at && !same_time.any(|other| *other == report) {
            self.report_times.push_back(report);
        }
        self.version += u64::from(upstream.health != previous_health);
    }

    /// Applies records from discovery. If they are the `complete` list, servers missing from it no longer serve.
    /// A server that no longer serves is removed once it has no outstanding attempts.
    pub fn apply(&mut self, records: &[UpstreamRecord], complete: bool, now: Millis, rng: &mut Rand64) {
        if complete {
            self.upstreams.values_mut().for_each(|upstream| upstream.serving = false);
            self.rings.clear();
            self.totals = ServingTotals {
                fresh_since: self.totals.fresh_since,
                failure_rate_sum_updated_at: now,
                ..ServingTotals::default()
            };
        }
        for record in records {
            if !complete {
                self.set_ring_membership(record.upstream, now, false);
            }
            let upstream = self.upstreams.entry(record.upstream).or_insert_with(|| Upstream::new(record));
            upstream.apply_record(record);
            if upstream.started_at.is_some() && upstream.cold_start_tokens_updated_at == f64::NEG_INFINITY {
                // All sidecars learn of a start at the same time: random tokens spread their first requests.
                (upstream.cold_start_tokens, upstream.cold_start_tokens_updated_at) = (rng.rand_float(), now);
            }
            if !complete {
                self.set_ring_membership(record.upstream, now, true);
            }
        }
        if complete {
            // In ring order, each insertion appends to its ring.
            let mut ring_order: Vec<_> =
                self.upstreams.iter().map(|(id, upstream)| (upstream.ring_position, *id)).collect();
            ring_order.sort_unstable();
            ring_order.iter().for_each(|(_, id)| self.set_ring_membership(*id, now, true));
        }
        let upstreams = &mut self.upstreams;
        self.draining.retain(|id| {
            let Some(upstream) = upstreams.get(id).filter(|upstream| !upstream.serving) else { return false };
            let has_outstanding = !upstream.outstanding.is_empty();
            if !has_outstanding {
                upstreams.remove(id);
            }
            has_outstanding
        });
        self.version += 1;
    }

    /// Adds a serving server to its ring and the totals, or removes it from them. A server that no longer serves
    /// is marked for removal instead.
    fn set_ring_membership(&mut self, id: UpstreamId, now: Millis, member: bool) {
        let Some(upstream) = self.upstreams.get(&id) else { return };
        if !upstream.serving {
            self.draining.insert(id);
            return;
        }
        self.totals.count(upstream, now, if member { 1 } else { -1 });
        let entry = RingEntry { ring_position: upstream.ring_position, upstream: id, cell: upstream.cell };
        let ring = self.rings.entry(upstream.zone).or_default();
        match ring.binary_search(&entry) {
            Err(index) if member => ring.insert(index, entry),
            Ok(index) if !member && ring.len() > 1 => drop(ring.remove(index)),
            Ok(_) if !member => drop(self.rings.remove(&upstream.zone)),
            _ => {}
        }
    }
}
