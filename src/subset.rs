//! The share of the fleet's capacity that this sidecar uses: the subset of servers it draws from, the rate at
//! which it may send to cold servers, and its probe budget. Part of the decision module in `src/balancer.rs`.

use crate::api::*;
use crate::balancer::Balancer;
use crate::model::*;

/// The subset has at least this many servers, which bounds the effect of a single server failure.
const MIN_SUBSET_SIZE: f64 = 12.0;
/// Each server is in the subsets of at least this many sidecars: their unequal request rates average out.
const MIN_SIDECARS_PER_SERVER: f64 = 10.0;
/// The subset is sized so that each of its servers receives one request per this interval: load reports then
/// arrive about as often as they go stale, and few sidecars have more in flight at a server than their share.
const REQUEST_INTERVAL_PER_SERVER: Millis = 1_000.0;
/// The subset is recomputed after this time, or at once when the server list or the health of a server
/// changes. The arrival rate and the capacity of cold servers change little meanwhile.
const SUBSET_REFRESH_INTERVAL: Millis = 100.0;
/// Time constant of the arrival and success rates. It is long, so that a burst does not enlarge the subset
/// and with it the number of connections.
pub(crate) const RATE_TIME_CONSTANT: Millis = 5_000.0;
/// The shortest time over which the rate of completed requests is taken after the start of this sidecar.
const MIN_RATE_DURATION: Millis = 1_000.0;
/// Lower bound on the service time of a class when the least capacity of a server is derived from it.
const MIN_SERVICE_TIME: Millis = 1.0;
/// Lower bound on the fleet utilisation when capacity is derived from throughput: below it, throughput does not
/// show what the servers could do.
const MIN_FLEET_UTILISATION: f64 = 0.2;
/// Fraction of a cold server's limit that is used, since its capacity and the cost of requests are estimates.
const COLD_START_SAFETY_FACTOR: f64 = 0.5;
/// Random admission to a cold server may use this fraction of its limit before the safety factor; the rest is
/// left for retries and for random variation.
const COLD_START_RANDOM_FRACTION: f64 = 0.6;
/// Probes may cost this fraction of the value of the requests if responses carry load reports as well. Requests
/// bring reports by themselves, and most of what a probe reports is stale before it is used.
const PROBE_COST_FRACTION: f64 = 0.001;
/// Capacity of the probe budget's token bucket.
pub(crate) const MAX_PROBE_TOKENS: f64 = 2.0;
/// The fractional parts of its first n multiples are spread evenly between 0 and 1, whatever n is.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_9;

/// The servers that this sidecar draws from.
#[derive(Debug, Default)]
pub(crate) struct Subset {
    /// The servers in this sidecar's zone come first.
    pub members: Vec<UpstreamId>,
    /// Number of members in this sidecar's zone.
    pub local_count: usize,
    /// What the subset was computed from; `None` forces a refresh.
    pub basis: Option<SubsetBasis>,
}

/// When and from which version of the server list a subset was computed.
#[derive(Debug)]
pub(crate) struct SubsetBasis {
    /// [`ServerList::version`](crate::server_list::ServerList::version) at that time.
    pub list_version: u64,
    pub computed_at: Millis,
}

/// The servers that a request may be sent to.
pub(crate) struct ReachableUpstreams {
    /// The servers in this sidecar's zone come first.
    pub ids: Vec<UpstreamId>,
    /// Number of servers in this sidecar's zone.
    pub local_count: usize,
}

impl Balancer {
    /// The servers that a request may be sent to now. After an attempt that may have run, they are determined
    /// by the deduplication scope of the request's class.
    pub(crate) fn reachable_upstreams(&mut self, pending: &PendingRequest) -> ReachableUpstreams {
        self.refresh_subset();
        let may_have_run = |attempt: &&Attempt| attempt.in_flight || attempt.may_have_run;
        let Some(first) = pending.attempts.iter().find(may_have_run) else {
            return ReachableUpstreams {
                ids: self.subset.members.clone(),
                local_count: self.subset.local_count,
            };
        };
        let (own_zone, margin) = (self.settings.zone, self.settings.limits.max_send_delay);
        let scope = match self.settings.classes[pending.class.0].idempotency {
            Idempotency::Idempotent => DedupScope::All,
            // The margin covers the delay until the attempt is sent.
            Idempotency::Keyed { scope, window } if self.now + margin < first.sent_at + window => scope,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => {
                return ReachableUpstreams { ids: Vec::new(), local_count: 0 };
            }
        };
        // A retry uses all servers in scope instead of the subset: there may be few of them.
        let zone = if scope == DedupScope::All { own_zone } else { first.zone };
        let in_scope = |cell: &CellId| scope != DedupScope::Cell || *cell == first.cell;
        let ring = self.server_list.rings.get(&zone).map_or(&[][..], Vec::as_slice);
        let mut ids: Vec<UpstreamId> =
            ring.iter().filter(|entry| in_scope(&entry.cell)).map(|entry| entry.upstream).collect();
        let local_count = if zone == own_zone { ids.len() } else { 0 };
        if scope == DedupScope::All {
            let other_zones = self.server_list.rings.iter().filter(|(zone, _)| **zone != own_zone);
            ids.extend(other_zones.flat_map(|(_, ring)| ring).map(|entry| entry.upstream));
        }
        ReachableUpstreams { ids, local_count }
    }

    /// Recomputes the subset if it is outdated. Per zone, it is a section of the ring whose starting point
    /// depends on the sidecar's index, so that the sections of all sidecars overlap and cover the ring.
    /// Ejected servers do not count towards its size and cold ones count as their current capacity fraction;
    /// the next servers on the ring make up for them. With all servers in its subset, a sidecar would keep
    /// connections to all of them and hear from each too seldom to estimate its capacity.
    fn refresh_subset(&mut self) {
        let (list_version, own_zone) = (self.server_list.version, self.settings.zone);
        let is_current = |basis: &SubsetBasis| {
            basis.list_version == list_version && self.now < basis.computed_at + SUBSET_REFRESH_INTERVAL
        };
        if self.subset.basis.as_ref().is_some_and(is_current) {
            return;
        }
        let serving = self.server_list.totals(self.now).serving as f64;
        let sidecar_count = f64::from(self.settings.sidecar_count.max(1));
        let size_for_coverage = MIN_SIDECARS_PER_SERVER * serving / sidecar_count;
        let arrivals_per_s = self.state.arrivals.per_s_at(self.now, RATE_TIME_CONSTANT);
        let size_for_rate = arrivals_per_s * REQUEST_INTERVAL_PER_SERVER / 1_000.0;
        // Without an index, the sidecar uses all servers.
        let fraction = self
            .settings
            .sidecar_index
            .map_or(1.0, |_| size_for_rate.max(size_for_coverage).max(MIN_SUBSET_SIZE) / serving);
        let sidecar_index = f64::from(self.settings.sidecar_index.unwrap_or(0));
        let (mut members, mut local_count) = (std::mem::take(&mut self.subset.members), 0);
        members.clear();
        for (zone, ring) in self.server_list.rings_from(own_zone) {
            // The offset varies the starting point of a sidecar from zone to zone.
            let zone_offset = zone.0 as f64 * GOLDEN_RATIO_CONJUGATE * GOLDEN_RATIO_CONJUGATE;
            let start = ((sidecar_index + 1.0) * GOLDEN_RATIO_CONJUGATE + zone_offset).fract();
            let (before_start, from_start) = ring.split_at((start * ring.len() as f64) as usize);
            let mut remaining_size = fraction * ring.len() as f64;
            for entry in from_start.iter().chain(before_start) {
                let upstream = self.server_list.upstreams.get(&entry.upstream);
                let Some(upstream) = upstream.filter(|_| remaining_size > 0.0) else { break };
                members.push(entry.upstream);
                if upstream.health == Health::Ready {
                    remaining_size -= upstream.capacity_fraction(self.now, &self.settings.cold_start);
                }
            }
            local_count = if *zone == own_zone { members.len() } else { local_count };
        }
        let basis = Some(SubsetBasis { list_version, computed_at: self.now });
        self.subset = Subset { members, local_count, basis };
    }

    /// Examines servers in random order, preferred ones first, until two are admitted. If only one is
    /// admitted, the pair consists of that server twice.
    pub(crate) fn draw_pair(
        &mut self,
        pending: &PendingRequest,
        context: &mut SelectionContext,
    ) -> CandidatePair {
        for (count, preferred_only) in [(context.local_count, true), (context.ids.len(), false)] {
            context.examined.clear();
            let mut first = None;
            for index in 0..count {
                let random_index = self.rng.rand_range(index as u64..count as u64) as usize;
                context.ids.swap(index, random_index);
                let Some(candidate) = self.candidate(context.ids[index], pending, context) else { continue };
                context.examined.push(candidate);
                let acceptable =
                    context.has_room(&candidate) && (!preferred_only || context.is_preferred(&candidate));
                let admitted = acceptable && self.admits(&candidate, pending, context);
                if admitted && let Some(first) = first.replace(candidate) {
                    return Some([first, candidate]);
                }
            }
            if let Some(only) = first {
                return Some([only, only]);
            }
        }
        None
    }

    /// The rate at which this sidecar may send to a server. A cold server's limit is a multiple of its
    /// current capacity and holds for all sidecars together, so this one uses its share. Without a recent report, the
    /// servers are assumed to be fully utilised.
    pub(crate) fn cold_start_rate_per_s(&self, machine_type: MachineTypeId, capacity_fraction: f64) -> f64 {
        if capacity_fraction >= 1.0 {
            return f64::INFINITY;
        }
        // A machine type slower than the mean lowers the limit; a faster one does not raise it.
        let state = &self.state;
        let service_time_ratio = state.machine_types.get(&machine_type).map_or(1.0, |machine_type| {
            (machine_type.service_time_ratio / state.fleet.service_time_ratio).max(1.0)
        });
        COLD_START_SAFETY_FACTOR
            * self.settings.cold_start.overload_multiple
            * capacity_fraction
            * self.server_capacity_share_per_s()
            / service_time_ratio
    }

    /// This sidecar's share of the rate that a warm server of its subset can complete.
    fn server_capacity_share_per_s(&self) -> f64 {
        let (state, now) = (&self.state, self.now);
        let report_is_recent = |updated_at: Millis| now - updated_at <= RATE_TIME_CONSTANT;
        let has_utilisation =
            state.fleet_utilisation > 0.0 && state.fleet_utilisation_updated_at.is_some_and(report_is_recent);
        if has_utilisation {
            let successes_per_s = state.successes.per_s_at(now, RATE_TIME_CONSTANT);
            let capacity_per_s = successes_per_s / state.fleet_utilisation.max(MIN_FLEET_UTILISATION);
            return capacity_per_s / self.subset_size();
        }
        // Accepted requests are no evidence of capacity: they may time out or wait in a queue, and since each of many
        // sidecars refuses few, the sum of what they accept can be several times the capacity.
        let accepted_per_s = state.arrivals.per_s_at(now, RATE_TIME_CONSTANT) * (1.0 - state.refusal_rate);
        self.completed_share_per_s().min(accepted_per_s / self.subset_size())
    }

    /// This sidecar's share of the rate that a warm server of its subset has been seen to complete.
    fn completed_share_per_s(&self) -> f64 {
        let since = self.state.first_arrival_at.unwrap_or(self.now);
        let completed = &self.state.completed_when_warm;
        let completed_per_s = completed.per_s_since(since, MIN_RATE_DURATION, self.now, RATE_TIME_CONSTANT);
        (completed_per_s / self.subset_size()).max(self.min_server_capacity_share_per_s())
    }

    /// The number of servers in the subset, at least 1.
    fn subset_size(&self) -> f64 {
        self.subset.members.len().max(1) as f64
    }

    /// This sidecar's share of the least that a warm server can complete: one request at a time of the class that takes
    /// longest. Without it, a sidecar that has not completed any request would never send to a cold server.
    fn min_server_capacity_share_per_s(&self) -> f64 {
        let service_times = self.state.classes.iter().map(|class| class.service_time);
        let longest_service_time = service_times.fold(MIN_SERVICE_TIME, f64::max);
        1_000.0 / longest_service_time / f64::from(self.settings.sidecar_count.max(1))
    }

    /// Whether the cold-start limit of a server allows sending it this request.
    ///
    /// A sidecar's share of the limit can be far below one request per warm-up, so that a whole token would
    /// never accumulate. A first attempt may therefore overdraw the bucket by one request, and a cold server
    /// takes part only in a random fraction of the selections, which keeps the expected rate within the
    /// limit. A retry after an attempt that may have run needs a whole token, because the deduplication scope
    /// concentrates such retries on few servers.
    pub(crate) fn admits(
        &self,
        candidate: &Candidate,
        pending: &PendingRequest,
        context: &mut SelectionContext,
    ) -> bool {
        if candidate.capacity_fraction >= 1.0 || pending.may_have_run() || candidate.cold_start_tokens < 0.0 {
            return candidate.capacity_fraction >= 1.0 || candidate.cold_start_tokens >= 1.0;
        }
        let preferred = usize::from(context.is_preferred(candidate));
        let utilisations = context.utilisations_with_room.take().unwrap_or_else(|| {
            let candidates = context.ids.iter().filter_map(|id| self.candidate(*id, pending, context));
            let mut utilisations = [Vec::new(), Vec::new()];
            candidates.filter(|other| context.has_room(other)).for_each(|other| {
                utilisations[usize::from(context.is_preferred(&other))].push(other.projected_utilisation);
            });
            utilisations.iter_mut().for_each(|group| group.sort_unstable_by(f64::total_cmp));
            utilisations
        });
        let group = &utilisations[preferred];
        let group_size = group.len() as f64;
        let better_count = group.partition_point(|other| *other < candidate.projected_utilisation) as f64;
        let worse_count = group_size - 1.0 - better_count;
        context.utilisations_with_room = Some(utilisations);
        // The probability that a random pair consists of this candidate and a worse one.
        let pick_probability =
            if group_size > 1.0 { 2.0 / group_size * worse_count / (group_size - 1.0) } else { 1.0 };
        let picks_per_s = pick_probability * self.state.arrivals.per_s_at(self.now, RATE_TIME_CONSTANT);
        context.cold_start_draw * picks_per_s * COLD_START_SAFETY_FACTOR
            < COLD_START_RANDOM_FRACTION * candidate.cold_start_rate_per_s
    }

    /// Tokens that each request adds to the probe budget. They limit the cost of probes if responses carry
    /// load reports as well; otherwise each request fills the bucket.
    pub(crate) fn probe_refill(&self) -> f64 {
        if self.settings.reports_in_responses && self.settings.probe_cost > 0.0 {
            PROBE_COST_FRACTION / self.settings.probe_cost
        } else {
            MAX_PROBE_TOKENS
        }
    }
}
