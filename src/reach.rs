//! What one sidecar of many may do: which servers it draws from, what a cold one may be sent, how often it may
//! probe. Part of the decision module of `src/brain.rs`.

use std::collections::{BTreeMap, BTreeSet};

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
/// The rate of arrivals is averaged over this time: a burst must not open connections to everyone.
pub(crate) const RATE_OVER: Millis = 5_000.0;
/// Below this load in their reports, what servers could do cannot be told from what they do.
const LOAD_FLOOR: f64 = 0.2;
/// The share of a cold server's allowance that is used: speeds and costs are estimates.
const COLD_MARGIN: f64 = 0.5;
/// So large a part of the whole allowance may be used by chance before a margin is saved up: further attempts come on
/// top, and the chances of all together have to stay below the whole.
const COLD_CHANCE: f64 = 0.6;
/// So many sends to a cold server may be saved up: many sidecars may spend theirs at once.
const COLD_BURST: f64 = 2.0;
/// Probes, where answers carry reports as well, may cost this part of what is earned, and so many may be
/// saved up. Who sends to a server hears of it; most of what a probe tells is old before it is used.
const PROBE_COST: f64 = 0.001;
pub(crate) const PROBE_BURST: f64 = 2.0;
/// Starting points that are multiples of the golden section lie evenly, however many of them there are.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

impl Balancer {
    /// The servers that this sidecar draws from; `None` for all. Of many sidecars each takes a stretch of the
    /// ring of every zone that begins at a place of its own: drawing over all, each would keep connections to
    /// all and hear from each too seldom to know it. Who is ejected does not count, and a cold one counts as
    /// what it can do: the next on the ring steps in. The stretches of all overlap and cover the ring.
    pub(crate) fn members(&self) -> Option<BTreeSet<UpstreamId>> {
        let rank = f64::from(self.settings.rank?);
        let serving = self.upstreams.values().filter(|upstream| upstream.serving).count() as f64;
        let covered = COVERED_BY * serving / f64::from(self.settings.sidecars.max(1));
        let share =
            (self.seen.arrivals.at(self.now, RATE_OVER) * HEARD_EACH / 1_000.0).max(covered).max(FEWEST)
                / serving;
        if share >= 1.0 {
            return None;
        }
        let mut members = BTreeSet::new();
        for (zone, ring) in &self.rings {
            // The golden section once more, so that neighbours in one zone are none in the next.
            let start = ((rank + 1.0) * GOLDEN + zone.0 as f64 * GOLDEN * GOLDEN).fract();
            let start = (start * ring.len() as f64) as usize;
            let mut wanted = share * ring.len() as f64;
            for id in ring[start..].iter().chain(&ring[..start]) {
                let Some(upstream) = self.upstreams.get(id).filter(|_| wanted > 0.0) else { break };
                members.insert(*id);
                if upstream.health == Health::Ready {
                    wanted -= upstream.warmth(self.now, &self.settings.safety);
                }
            }
        }
        Some(members)
    }

    /// Whether a further send may go to a server, by what may have run already.
    pub(crate) fn may_reach(&self, held: &Held, upstream: &Upstream) -> bool {
        let Some(first) = held.tries.iter().find(|t| t.out || t.may_have_run) else { return true };
        match self.settings.classes[held.class.0].effect {
            Effect::Repeatable => true,
            Effect::Once => false,
            // The window counts from the first send that may have run; a tick is kept in hand.
            Effect::ByKey { scope, window } => {
                let in_scope = match scope {
                    Scope::All => true,
                    Scope::Zone => upstream.zone == first.zone,
                    Scope::Cell => upstream.cell == first.cell,
                };
                in_scope && self.now + self.settings.limits.tick < first.sent + window
            }
        }
    }

    /// Puts the serving servers of every zone in the order that all sidecars share.
    pub(crate) fn arrange(&mut self) {
        let mut rings: BTreeMap<ZoneId, Vec<UpstreamId>> = BTreeMap::new();
        for (&id, upstream) in self.upstreams.iter().filter(|(_, upstream)| upstream.serving) {
            rings.entry(upstream.zone).or_default().push(id);
        }
        for ring in rings.values_mut() {
            ring.sort_by_key(|id| (self.upstreams.get(id).map(|upstream| upstream.spot), *id));
        }
        self.rings = rings;
    }

    /// The share of a warm server's capacity that falls to this sidecar, in requests a second: what it is answered
    /// is its part of what they do, and their reports tell which part that is of all they could. Without any they
    /// are taken to do all they can. The few that a request is bound to do no more of it than others.
    pub(crate) fn capacity_share(&self, held: &Held, candidates: usize) -> f64 {
        let all = || self.members().map_or(self.rings.values().map(Vec::len).sum(), |members| members.len());
        let count = if held.bound() { all() } else { candidates }.max(1) as f64;
        if self.seen.load <= 0.0 || self.seen.load_at.is_none_or(|at| self.now - at > RATE_OVER) {
            return self.seen.arrivals.at(self.now, RATE_OVER) * (1.0 - self.seen.refused) / count;
        }
        self.seen.served.at(self.now, RATE_OVER) / self.seen.load.max(LOAD_FLOOR) / count
    }

    /// Averages in how much of what it can do warm a server does, over the same time as what is answered and from
    /// nothing like it: by the load of this moment alone, what a server did warm would tell what it can do cold.
    pub(crate) fn loaded(&mut self, id: UpstreamId, utilisation: f64) {
        let Some(upstream) = self.upstreams.get(&id) else { return };
        let used = utilisation * upstream.warmth(self.now, &self.settings.safety);
        let told = 1.0 - (-(self.now - self.seen.load_at.unwrap_or(self.now)) / RATE_OVER).exp();
        self.seen.load += told * (used - self.seen.load);
        self.seen.load_at = Some(self.now);
    }

    /// Fills in what a server may be sent. While it is cold all sidecars together must stay within a multiple of
    /// what it can do: each saves up its share.
    pub(crate) fn allow(&self, to: &mut Candidate, capacity_share: f64) {
        let Some(upstream) = self.upstreams.get(&to.id).filter(|_| to.warmth < 1.0) else { return };
        // A kind of machine that is slower than the mean can do less; a faster one is held for no more.
        let pace = self.seen.kinds.get(&upstream.kind).map_or(1.0, |kind| kind.pace / self.seen.fleet.pace);
        let warm_per_s = capacity_share / pace.max(1.0);
        to.allowed_per_s = COLD_MARGIN * self.settings.safety.fall_multiple * to.warmth * warm_per_s;
        let saved = to.allowed_per_s * (self.now - upstream.allowed_at).max(0.0) / 1_000.0;
        to.allowance = (upstream.allowance + saved).min(COLD_BURST);
    }

    /// Leaves out cold servers that may not be sent this request. A share far below one call in a warm-up becomes
    /// a chance of one: who waited until a whole one is saved up would send none before the server is warm. So
    /// one call may be borrowed, and who would be picked more often than its share grows takes part in so much
    /// fewer draws. A further attempt that is bound to few servers
    /// comes in no such steady stream and needs a whole call.
    pub(crate) fn admit(
        &mut self,
        open: &mut Vec<Candidate>,
        held: &Held,
        near: impl Fn(&Candidate) -> bool,
    ) {
        if open.iter().all(|c| c.warmth >= 1.0) {
            return;
        }
        let bound = held.bound();
        open.retain(|c| c.allowance >= f64::from(u8::from(bound)));
        if bound {
            return;
        }
        // One lot for all: with one for each, some would be in at any time and be picked so much more often.
        let (lot, arrivals) = (self.rng.rand_float(), self.seen.arrivals.at(self.now, RATE_OVER));
        let all = open.clone();
        open.retain(|c| {
            if c.warmth >= 1.0 {
                return true;
            }
            let (mut peers, mut worse) = (1.0, 0.0);
            for other in all.iter().filter(|other| other.id != c.id && near(other) == near(c)) {
                peers += 1.0;
                worse += f64::from(u8::from(other.projected >= c.projected));
            }
            // It is one of a random pair of them, and the better one.
            let picked = if peers > 1.0 { 2.0 / peers * worse / (peers - 1.0) } else { 1.0 };
            lot * picked * arrivals * COLD_MARGIN < COLD_CHANCE * c.allowed_per_s
        });
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
