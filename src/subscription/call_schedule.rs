//! The waits between calls to discovery.

use oorandom::Rand64;

use crate::api::Millis;

/// Range of the wait for a second call beside the first one. The first call may be lost, and the second one still has to
/// be answered within [`UPDATE_DEADLINE`] by a discovery that needs 5.5 s for a call.
const FIRST_WAIT: [Millis; 2] = [210.0, 300.0];
/// Range of the waits for further calls while earlier ones are pending: not more than one call a second in the mean.
const LATER_WAIT: [Millis; 2] = [1_100.0, 1_500.0];
/// Time within which a change must be applied once discovery has it.
const UPDATE_DEADLINE: Millis = 6_000.0;
/// The part of [`UPDATE_DEADLINE`] that is left for reopening a watch and for delays of the process.
const DEADLINE_MARGIN: Millis = 500.0;
/// How long a second call waits for the answer to the first, relative to the time that the last answer took.
const WAIT_PER_ANSWER_TIME: f64 = 1.25;
/// The shortest wait for a second call relative to the longest, where it follows the last answer.
const MIN_WAIT_FRACTION: f64 = 0.85;
/// Backoff cap as a fraction of the drain grace: once discovery is reachable again, a drain that it announces must be
/// known well before the grace ends.
const BACKOFF_CAP_PER_DRAIN_GRACE: f64 = 0.25;
/// Bounds of the backoff cap: they limit the cost of retries, and leave time for several calls within 6 s.
const BACKOFF_CAP_BOUNDS: [Millis; 2] = [50.0, 500.0];
/// The longest wait before a watch that has ended or fallen silent is reopened, where lists are pushed and where they
/// are requested. Where they are requested all sidecars share one service, so their calls are spread over a longer time.
const PUSHED_REOPEN_WAIT: Millis = 50.0;
const REQUESTED_REOPEN_WAIT: Millis = 200.0;
/// Number of reloads in quick succession after which a new address is called at once.
const MAX_PROMPT_RELOADS: f64 = 3.0;
/// Time in which one more such call is allowed.
const PROMPT_RELOAD_INTERVAL: Millis = 1_000.0;

/// Draws the waits between calls to discovery.
#[derive(Debug)]
pub(super) struct CallSchedule {
    rng: Rand64,
    backoff_cap: Millis,
    initial_reopen_wait: Millis,
    /// The longest wait before the next watch that ends is reopened.
    reopen_wait: Millis,
    /// Number of calls since discovery was last heard.
    calls: u32,
    /// How long the last call that was answered took.
    answer_time: Millis,
    /// How many reloads may call a new address at once, as of `prompt_reloads_at`.
    prompt_reloads: f64,
    prompt_reloads_at: Millis,
}

impl CallSchedule {
    /// Creates a schedule for a drain grace. `pushed` tells whether discovery pushes its lists.
    pub fn new(drain_grace: Millis, pushed: bool, seed: u64) -> CallSchedule {
        let [min_cap, max_cap] = BACKOFF_CAP_BOUNDS;
        let initial_reopen_wait = if pushed { PUSHED_REOPEN_WAIT } else { REQUESTED_REOPEN_WAIT };
        CallSchedule {
            rng: Rand64::new(u128::from(seed)),
            backoff_cap: (drain_grace * BACKOFF_CAP_PER_DRAIN_GRACE).clamp(min_cap, max_cap),
            initial_reopen_wait,
            reopen_wait: initial_reopen_wait,
            calls: 0,
            answer_time: 0.0,
            prompt_reloads: MAX_PROMPT_RELOADS,
            prompt_reloads_at: 0.0,
        }
    }

    /// The wait after a call, while it is pending.
    pub fn wait_beside_call(&mut self) -> Millis {
        self.calls += 1;
        if self.calls > 1 {
            return self.draw(LATER_WAIT);
        }
        let longest_in_time = UPDATE_DEADLINE - DEADLINE_MARGIN - self.answer_time;
        let longest = longest_in_time.min(self.answer_time * WAIT_PER_ANSWER_TIME);
        if longest <= FIRST_WAIT[1] {
            return self.draw(FIRST_WAIT);
        }
        self.draw([longest * MIN_WAIT_FRACTION, longest])
    }

    /// The wait after a call that failed. Full jitter: sidecars that lose discovery at the same time do not call it
    /// again at the same time.
    pub fn wait_after_failure(&mut self) -> Millis {
        self.draw([0.0, self.backoff_cap])
    }

    /// The wait after a watch that ended. It grows while watches end before they deliver anything new (`useful`).
    pub fn wait_after_watch(&mut self, useful: bool) -> Millis {
        let longest_wait = self.backoff_cap.max(self.initial_reopen_wait);
        self.reopen_wait =
            if useful { self.initial_reopen_wait } else { (self.reopen_wait * 2.0).min(longest_wait) };
        self.draw([0.0, self.reopen_wait])
    }

    /// The wait before the address of a reload is called. It limits the calls of a series of reloads whose addresses
    /// differ.
    pub fn wait_after_reload(&mut self, now: Millis) -> Millis {
        let refilled = (now - self.prompt_reloads_at) / PROMPT_RELOAD_INTERVAL;
        self.prompt_reloads = (self.prompt_reloads + refilled).min(MAX_PROMPT_RELOADS);
        self.prompt_reloads_at = now;
        if self.prompt_reloads >= 1.0 {
            self.prompt_reloads -= 1.0;
            return 0.0;
        }
        (1.0 - self.prompt_reloads) * PROMPT_RELOAD_INTERVAL
    }

    /// The wait after a watch has fallen silent. Full jitter: the watches of many sidecars fall silent together.
    pub fn wait_after_silence(&mut self) -> Millis {
        self.draw([0.0, self.initial_reopen_wait])
    }

    /// Records how long a call took until the head of its response came.
    pub fn record_answer(&mut self, answer_time: Millis) {
        self.answer_time = answer_time;
    }

    /// Begins a new series of calls, after discovery was heard or its address has changed.
    pub fn restart(&mut self) {
        self.calls = 0;
    }

    fn draw(&mut self, [shortest, longest]: [Millis; 2]) -> Millis {
        shortest + (longest - shortest) * self.rng.rand_float()
    }
}
