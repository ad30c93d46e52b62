//! Which servers one sidecar of many draws from. Part of the decision module of `src/brain.rs`.

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
const RATE_OVER: Millis = 5_000.0;
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
        let share = (self.seen.rate * HEARD_EACH / 1_000.0).max(covered).max(FEWEST) / serving;
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

    /// Counts an arrival in the rate.
    pub(crate) fn count_arrival(&mut self) {
        let passed = (-(self.now - self.seen.arrived_at) / RATE_OVER).exp();
        self.seen.rate = self.seen.rate * passed + 1_000.0 / RATE_OVER;
        self.seen.arrived_at = self.now;
    }
}
