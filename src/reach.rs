//! What one sidecar of many may do: which servers it draws from, what a cold one may be sent, how often it may
//! probe. Part of the decision module of `src/brain.rs`.

use crate::api::*;
use crate::brain::Balancer;
use crate::roster::Ring;
use crate::state::*;

/// A sidecar draws from no fewer servers than this, so that none has many eggs in a basket that breaks.
const FEWEST: f64 = 12.0;
/// Every server is drawn from by about this many sidecars: their unequal rates even out over them.
const COVERED_BY: f64 = 10.0;
/// A sidecar draws from so many servers that it sends each of them one request in this time: what it hears of
/// them lasts about as long, and few have more at one server than their share.
const HEARD_EACH: Millis = 1_000.0;
/// Which servers these are is looked at again after this long, or when the list or who is ejected changes: the rate
/// of arrivals and the warmth of servers change little meanwhile.
const RENEWED_AFTER: Millis = 100.0;
/// The rate of arrivals is averaged over this time: a burst must not open connections to everyone.
pub(crate) const RATE_OVER: Millis = 5_000.0;
/// Below this load in their reports, what servers could do cannot be told from what they do.
const LOAD_FLOOR: f64 = 0.2;
/// The share of a cold server's allowance that is used: speeds and costs are estimates.
const COLD_MARGIN: f64 = 0.5;
/// So many sends to a cold server may be saved up: many sidecars may spend theirs at once.
const COLD_BURST: f64 = 2.0;
/// Probes, where answers carry reports as well, may cost this part of what is earned, and so many may be
/// saved up. Who sends to a server hears of it; most of what a probe tells is old before it is used.
const PROBE_COST: f64 = 0.001;
pub(crate) const PROBE_BURST: f64 = 2.0;
/// Starting points that are multiples of the golden section lie evenly, however many of them there are.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// The servers that this sidecar draws from.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    pub members: Vec<UpstreamId>,
    /// So many of them, the first ones, are near.
    pub near: usize,
    /// Of which version of the roster, and since when.
    pub of: Option<(u64, Millis)>,
    /// What falls to this sidecar of a warm one's capacity, once that was asked for.
    capacity_share: Option<f64>,
}

impl Balancer {
    /// The servers that a request may go to now, and how many of them, the first ones, are near.
    pub(crate) fn reachable(&mut self, held: &Held) -> (Vec<UpstreamId>, usize) {
        self.renew_reach();
        let Some(first) = held.tries.iter().find(|t| t.out || t.may_have_run) else {
            return (self.reach.members.clone(), self.reach.near);
        };
        let (own, tick) = (self.settings.zone, self.settings.limits.tick);
        let scope = match self.settings.classes[held.class.0].effect {
            Effect::Repeatable => Scope::All,
            // The window counts from the first send that may have run; a tick is kept in hand.
            Effect::ByKey { scope, window } if self.now + tick < first.sent + window => scope,
            Effect::ByKey { .. } | Effect::Once => return (Vec::new(), 0),
        };
        // What may go to few servers only may go to any of them.
        let ids = |ring: &Ring| ring.iter().map(|(_, id)| *id).collect::<Vec<_>>();
        let (ids, zone) = match scope {
            Scope::All => (self.roster.zones_from(own).flat_map(|(_, ring)| ids(ring)).collect(), own),
            Scope::Zone => (self.roster.zones.get(&first.zone).map(ids).unwrap_or_default(), first.zone),
            Scope::Cell => (self.roster.cells.get(&first.cell).map(ids).unwrap_or_default(), first.zone),
        };
        let of_zone = self.roster.zones.get(&own).map_or(0, Ring::len).min(ids.len());
        (ids, if zone == own { of_zone } else { 0 })
    }

    /// Of many sidecars each draws from a stretch of the ring of every zone that begins at a place of its own:
    /// drawing over all, each would keep connections to all and hear from each too seldom to know it. Who is
    /// ejected does not count, and a cold one counts as what it can do: the next on the ring steps in. The
    /// stretches of all overlap and cover the ring.
    fn renew_reach(&mut self) {
        let (version, own) = (self.roster.version, self.settings.zone);
        if self.reach.of.is_some_and(|(of, at)| of == version && self.now < at + RENEWED_AFTER) {
            return;
        }
        let (share, rank) = self.share().unwrap_or((1.0, 0.0));
        let (mut members, mut near) = (std::mem::take(&mut self.reach.members), 0);
        members.clear();
        for (zone, ring) in self.roster.zones_from(own) {
            // The golden section once more, so that neighbours in one zone are none in the next.
            let start = ((rank + 1.0) * GOLDEN + zone.0 as f64 * GOLDEN * GOLDEN).fract();
            let (before, from) = ring.split_at((start * ring.len() as f64) as usize);
            let mut wanted = share * ring.len() as f64;
            for (_, id) in from.iter().chain(before) {
                let Some(upstream) = self.roster.upstreams.get(id).filter(|_| wanted > 0.0) else { break };
                members.push(*id);
                if upstream.health == Health::Ready {
                    wanted -= upstream.warmth(self.now, &self.settings.safety);
                }
            }
            near = if *zone == own { members.len() } else { near };
        }
        self.reach = Reach { members, near, of: Some((version, self.now)), capacity_share: None };
    }

    /// The share of all servers that this sidecar draws from, and its number; `None` for all.
    fn share(&mut self) -> Option<(f64, f64)> {
        let rank = f64::from(self.settings.rank?);
        let serving = self.roster.sums(self.now).serving as f64;
        let covered = COVERED_BY * serving / f64::from(self.settings.sidecars.max(1));
        let wanted = self.seen.arrivals.at(self.now, RATE_OVER) * HEARD_EACH / 1_000.0;
        Some((wanted.max(covered).max(FEWEST) / serving, rank)).filter(|(share, _)| *share < 1.0)
    }

    /// The first two that are taken of these, in random order; the one there is, twice, where there is only one.
    pub(crate) fn first_two(
        &mut self,
        ids: &mut [UpstreamId],
        held: &Held,
        view: &mut View,
        near: bool,
    ) -> Pair {
        view.met.clear();
        let mut first = None;
        for at in 0..ids.len() {
            ids.swap(at, self.rng.rand_range(at as u64..ids.len() as u64) as usize);
            let Some(candidate) = self.candidate(ids[at], held, view) else { continue };
            view.met.push(candidate);
            let takes = view.takes(&candidate) && (!near || view.is_near(&candidate));
            if takes && let Some(first) = first.replace(candidate) {
                return Some([first, candidate]);
            }
        }
        first.map(|only| [only, only])
    }

    /// A random pair of distinct members; the one there is, twice, where there is only one.
    pub(crate) fn pair(&mut self, open: &[Candidate]) -> Pair {
        let count = (open.len() as u64).checked_sub(1)? + 1;
        let first = self.rng.rand_range(0..count);
        let step = if count > 1 { self.rng.rand_range(1..count) } else { 0 };
        Some([first, (first + step) % count].map(|at| open[at as usize]))
    }

    /// The share of a warm server's capacity that falls to this sidecar, in requests a second: what it is
    /// answered by a server is its part of what they do, and their reports tell which part that is of all they
    /// could. Without any, and before them, they are taken to do all they can.
    fn capacity_share(&self) -> f64 {
        let members = self.reach.members.iter();
        let heard: Vec<f64> = members
            .filter_map(|id| self.roster.upstreams.get(id))
            .filter(|upstream| self.now - upstream.reported_at <= RATE_OVER)
            .map(|upstream| upstream.utilisation * upstream.warmth(self.now, &self.settings.safety))
            .collect();
        let count = self.reach.members.len().max(1) as f64;
        if heard.is_empty() {
            return self.seen.arrivals.at(self.now, RATE_OVER) * (1.0 - self.seen.refused) / count;
        }
        let load = (heard.iter().sum::<f64>() / heard.len() as f64).max(LOAD_FLOOR);
        self.seen.served.at(self.now, RATE_OVER) / load / count
    }

    /// Sends that a server may be given now. While it is cold all sidecars together must stay within a multiple of
    /// what it can do: each saves up its share, and those without any left look elsewhere.
    pub(crate) fn allowance(&mut self, to: &Candidate) -> f64 {
        let share = self.reach.capacity_share.unwrap_or_else(|| self.capacity_share());
        self.reach.capacity_share = Some(share);
        let Some(upstream) = self.roster.upstreams.get(&to.id) else { return 0.0 };
        let per_s = COLD_MARGIN * self.settings.safety.fall_multiple * to.warmth * share;
        let saved = per_s * (self.now - upstream.allowed_at).max(0.0) / 1_000.0;
        (upstream.allowance + saved).min(COLD_BURST)
    }

    /// Probes that may be sent for each request. Each sidecar pays for its own, the fleet for all of them.
    pub(crate) fn probe_share(&self) -> f64 {
        if self.settings.reports_in_answers && self.settings.probe_fee > 0.0 {
            PROBE_COST / self.settings.probe_fee
        } else {
            PROBE_BURST
        }
    }
}
