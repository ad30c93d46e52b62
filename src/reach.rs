//! What one sidecar of many may do: which servers it draws from, what a cold one may be sent, how often it may
//! probe. Part of the decision module of `src/brain.rs`.

use crate::api::*;
use crate::brain::Balancer;
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
/// So large a part of the whole allowance may be used by chance before a margin is saved up: further attempts
/// come on top, and the chances of all together have to stay below the whole.
const COLD_CHANCE: f64 = 0.6;
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
}

impl Balancer {
    /// The servers that a request may go to now, and how many of them, the first ones, are near.
    pub(crate) fn reachable(&mut self, held: &Held) -> (Vec<UpstreamId>, usize) {
        self.renew_reach();
        let Some(first) = held.tries.iter().find(|t| t.out || t.may_have_run) else {
            return (self.reach.members.clone(), self.reach.near);
        };
        let (own, tick) = (self.settings.zone, self.settings.limits.min_event_interval);
        let scope = match self.settings.classes[held.class.0].idempotency {
            Idempotency::Idempotent => DedupScope::All,
            // The window counts from the first send that may have run; one event interval is kept in hand.
            Idempotency::Keyed { scope, window } if self.now + tick < first.sent + window => scope,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => return (Vec::new(), 0),
        };
        // What may go to few servers only may go to any of them.
        let zone = if scope == DedupScope::All { own } else { first.zone };
        let in_scope = |cell: &CellId| scope != DedupScope::Cell || *cell == first.cell;
        let ring = self.roster.zones.get(&zone).map_or(&[][..], Vec::as_slice);
        let mut ids: Vec<UpstreamId> = ring.iter().filter(|r| in_scope(&r.2)).map(|r| r.1).collect();
        let near = if zone == own { ids.len() } else { 0 };
        if scope == DedupScope::All {
            let others = self.roster.zones.iter().filter(|(zone, _)| **zone != own);
            ids.extend(others.flat_map(|(_, ring)| ring).map(|(_, id, _)| *id));
        }
        (ids, near)
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
        let serving = self.roster.sums(self.now).serving as f64;
        let covered = COVERED_BY * serving / f64::from(self.settings.sidecar_count.max(1));
        let wanted = self.seen.arrivals.at(self.now, RATE_OVER) * HEARD_EACH / 1_000.0;
        // Who is not told its number draws from all.
        let share = self.settings.sidecar_index.map_or(1.0, |_| wanted.max(covered).max(FEWEST) / serving);
        let rank = f64::from(self.settings.sidecar_index.unwrap_or(0));
        let (mut members, mut near) = (std::mem::take(&mut self.reach.members), 0);
        members.clear();
        for (zone, ring) in self.roster.zones_from(own) {
            // The golden section once more, so that neighbours in one zone are none in the next.
            let start = ((rank + 1.0) * GOLDEN + zone.0 as f64 * GOLDEN * GOLDEN).fract();
            let (before, from) = ring.split_at((start * ring.len() as f64) as usize);
            let mut wanted = share * ring.len() as f64;
            for (_, id, _) in from.iter().chain(before) {
                let Some(upstream) = self.roster.upstreams.get(id).filter(|_| wanted > 0.0) else { break };
                members.push(*id);
                if upstream.health == Health::Ready {
                    wanted -= upstream.warmth(self.now, &self.settings.cold_start);
                }
            }
            near = if *zone == own { members.len() } else { near };
        }
        self.reach = Reach { members, near, of: Some((version, self.now)) };
    }

    /// The first two that are taken in random order, near ones first; the one there is, twice, where there is only one.
    pub(crate) fn first_two(&mut self, held: &Held, view: &mut View) -> Pair {
        for (all, near) in [(view.near, true), (view.ids.len(), false)] {
            view.met.clear();
            let mut first = None;
            for at in 0..all {
                view.ids.swap(at, self.rng.rand_range(at as u64..all as u64) as usize);
                let Some(this) = self.candidate(view.ids[at], held, view) else { continue };
                view.met.push(this);
                let open = view.is_open(&this) && (!near || view.is_near(&this));
                let taken = open && self.admits(&this, held, view);
                if taken && let Some(first) = first.replace(this) {
                    return Some([first, this]);
                }
            }
            if let Some(only) = first {
                return Some([only, only]);
            }
        }
        None
    }

    /// What a server may be sent a second. While it is cold all sidecars together must stay within a multiple of
    /// what it can do, so this one within its share. What it is answered is its part of what servers do, and their
    /// reports tell which part that is of all they could. Without any they are taken to do all they can.
    pub(crate) fn allowed_per_s(&self, kind: MachineTypeId, warmth: f64) -> f64 {
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let (seen, now) = (&self.seen, self.now);
        let told = seen.load > 0.0 && seen.load_at.is_some_and(|at| now - at <= RATE_OVER);
        let taken = seen.arrivals.at(now, RATE_OVER) * (1.0 - seen.refused);
        let all = if told { seen.served.at(now, RATE_OVER) / seen.load.max(LOAD_FLOOR) } else { taken };
        // A kind of machine that is slower than the mean can do less; a faster one is held for no more.
        let pace = seen.kinds.get(&kind).map_or(1.0, |kind| (kind.pace / seen.fleet.pace).max(1.0));
        let share = all / self.reach.members.len().max(1) as f64 / pace;
        COLD_MARGIN * self.settings.cold_start.overload_multiple * warmth * share
    }

    /// Whether a server may be sent this request. A cold one's share far below one call in a warm-up becomes a
    /// chance of one: who waited until a whole one is saved up would send none before the server is warm. So one
    /// may be borrowed, and who would be picked more often than the settings allow takes part in so much fewer
    /// draws; the margin is kept by what is saved. A further attempt that is bound to few servers comes in no
    /// such steady stream and needs a whole call.
    pub(crate) fn admits(&self, to: &Candidate, held: &Held, view: &mut View) -> bool {
        if to.warmth >= 1.0 || held.bound() || to.allowance < 0.0 {
            return to.warmth >= 1.0 || to.allowance >= 1.0;
        }
        let near = usize::from(view.is_near(to));
        let open = view.open.take().unwrap_or_else(|| {
            let all = view.ids.iter().filter_map(|id| self.candidate(*id, held, view));
            let mut open = [Vec::new(), Vec::new()];
            all.filter(|c| view.is_open(c))
                .for_each(|c| open[usize::from(view.is_near(&c))].push(c.projected));
            open.iter_mut().for_each(|projected| projected.sort_unstable_by(f64::total_cmp));
            open
        });
        let peers = open[near].len() as f64;
        let worse = peers - 1.0 - open[near].partition_point(|other| *other < to.projected) as f64;
        view.open = Some(open);
        // It is one of a random pair of them, and the better one.
        let picked = if peers > 1.0 { 2.0 / peers * worse / (peers - 1.0) } else { 1.0 };
        let often = picked * self.seen.arrivals.at(self.now, RATE_OVER);
        view.lot * often * COLD_MARGIN < COLD_CHANCE * to.allowed_per_s
    }

    /// Probes that may be sent for each request. Each sidecar pays for its own, the fleet for all of them.
    pub(crate) fn probe_share(&self) -> f64 {
        if self.settings.reports_in_responses && self.settings.probe_cost > 0.0 {
            PROBE_COST / self.settings.probe_cost
        } else {
            PROBE_BURST
        }
    }
}
