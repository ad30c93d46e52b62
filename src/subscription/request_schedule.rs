//! When the decision module asks for a subscription to discovery, where lists are requested.

use oorandom::Rand64;

use crate::api::{DiscoveryUpdate, Millis};

/// Initial backoff as a fraction of the time in which a subscription is required.
const INITIAL_BACKOFF_FRACTION: f64 = 0.25;
/// Two backoffs and calls that hang must fit in the 6 s after which an update counts as missed.
const MAX_BACKOFF: Millis = 1_500.0;
/// The wait after a start and a call of up to 5.5 s must fit in the same time.
const MAX_FIRST_WAIT: Millis = 400.0;

/// The backoff of the requests, and whether one is scheduled.
#[derive(Debug, Default)]
pub(crate) struct RequestSchedule {
    /// Upper bound of the random wait before the next request.
    backoff: Millis,
    /// Whether a timer for a request is set.
    scheduled: bool,
}

impl RequestSchedule {
    /// Records an update. Returns the wait before the next request if one has to be scheduled: after a start and after
    /// a call that failed.
    pub fn wait_after(
        &mut self,
        update: &DiscoveryUpdate,
        subscribe_within: Millis,
        rng: &mut Rand64,
    ) -> Option<Millis> {
        let backoff = match update {
            DiscoveryUpdate::Unavailable => 2.0 * self.backoff,
            _ => INITIAL_BACKOFF_FRACTION * subscribe_within,
        };
        self.backoff = backoff.min(subscribe_within.min(MAX_BACKOFF));
        let longest = match update {
            DiscoveryUpdate::Unavailable => self.backoff,
            DiscoveryUpdate::Restored(_) => self.backoff.min(MAX_FIRST_WAIT),
            DiscoveryUpdate::Snapshot(_) | DiscoveryUpdate::Delta(_) => return None,
        };
        if std::mem::replace(&mut self.scheduled, true) {
            return None;
        }
        // Full jitter: many sidecars may lose discovery at once, and it serves few calls at a time.
        Some(longest * rng.rand_float())
    }

    /// The timer has expired. Returns whether a request was scheduled.
    pub fn take_scheduled(&mut self) -> bool {
        std::mem::take(&mut self.scheduled)
    }
}
