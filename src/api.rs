//! The interface of the decision module: settings, input events and output actions.
//!
//! Times are milliseconds on the caller's monotonic clock. The module never reads a clock and does no I/O: the
//! sidecar reports what happens as [`Event`]s and carries out the [`Action`]s that the module returns.

/// Milliseconds: either a point on the caller's clock or a duration.
pub type Millis = f64;

/// Identifies one client request in this sidecar. A client's retry is a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a server that requests can be sent to. The id stays the same across restarts of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);

/// The number of an attempt within its request, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// Index of a request class in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`]; ignored if no tenants are configured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// An availability zone. Traffic within a zone is cheap; traffic between zones has a cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u64);

/// A group of servers within one zone that share a store of deduplication keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// A machine type as listed by discovery. Servers of one type are assumed to have equal capacity until they
/// report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineTypeId(pub u64);

/// The servers among which repeats of a keyed request are detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers in the zone of the first attempt that may have run.
    Zone,
    /// The servers in the cell of the first attempt that may have run.
    Cell,
}

/// Whether and where a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// Repeated execution is harmless on any server.
    Idempotent,
    /// Servers discard repeats by an idempotency key.
    Keyed {
        /// The servers that detect a repeat.
        scope: DedupScope,
        /// How long a repeat is detected, counted from the first attempt that may have run.
        window: Millis,
    },
    /// The request must never be executed twice.
    NonIdempotent,
}

/// A class of requests with common latency, value and retry properties.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// A response within this time earns the full value.
    pub latency_target: Millis,
    /// The relative value of a response within the latency target.
    pub value: f64,
    /// The fraction of the value that a later response still earns.
    pub late_value_fraction: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
}

/// A customer with a request quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// The quota in requests per second, summed over all sidecars.
    pub quota_per_s: f64,
}

/// Limits that the environment places on the module's actions.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub allow_concurrent_attempts: bool,
    /// Whether probes may be sent.
    pub allow_probes: bool,
    /// Whether attempts may be cancelled.
    pub allow_cancellation: bool,
    /// The longest retry delay that clients honour after a refusal; 0 if they honour none.
    pub max_retry_after: Millis,
    /// The longest time from an [`Action::Send`] until the attempt is sent.
    pub max_send_delay: Millis,
}

/// How the capacity of a newly started server grows, and how much load it withstands meanwhile.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdStartLimits {
    /// The minimum fraction of its full capacity that a server has when it starts.
    pub initial_capacity_fraction: f64,
    /// The time after its start at which a server has its full capacity.
    pub warm_up: Millis,
    /// A cold server fails if its load exceeds this multiple of its current capacity for `overload_duration`.
    pub overload_multiple: f64,
    /// The duration of an overload that makes a cold server fail.
    pub overload_duration: Millis,
}

/// How the module receives updates of the server list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DiscoveryMode {
    /// Updates arrive without a subscription.
    Push,
    /// Updates arrive only after [`Action::Subscribe`].
    Subscribe {
        /// A sidecar without a subscription must request one at least this often.
        subscribe_within: Millis,
    },
}

/// The settings of the decision module. They hold ids only; names stay with the caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Request classes, indexed by [`ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its value that a request above its tenant's quota keeps.
    pub over_quota_value_fraction: f64,
    /// The zone of this sidecar.
    pub zone: ZoneId,
    /// The number of sidecars in the fleet, this one included.
    pub sidecar_count: u32,
    /// The index of this sidecar in the fleet, counted from 0; `None` if unknown.
    pub sidecar_index: Option<u32>,
    /// The cost of sending one request to another zone, as a fraction of the mean request value.
    pub zone_crossing_cost: f64,
    /// The cost of one probe, as a fraction of the mean request value.
    pub probe_cost: f64,
    /// Whether responses to requests carry load reports; if not, only probes do.
    pub reports_in_responses: bool,
    /// Limits on attempts, probes and cancellation.
    pub limits: Limits,
    /// Load limits for newly started servers.
    pub cold_start: ColdStartLimits,
    /// How updates of the server list arrive.
    pub discovery: DiscoveryMode,
}

/// Whether a server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// The server accepts new requests.
    Serving,
    /// The server only completes requests in flight or has terminated; no new request may be sent to it.
    Draining,
}

/// A server as listed by discovery.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamRecord {
    /// The id of the server.
    pub upstream: UpstreamId,
    /// The zone of the server.
    pub zone: ZoneId,
    /// The deduplication cell of the server.
    pub cell: CellId,
    /// The server's position on the hash ring, which is the same in every sidecar.
    pub ring_position: u64,
    /// The machine type of the server.
    pub machine_type: MachineTypeId,
    /// Whether the server accepts new requests.
    pub lifecycle: Lifecycle,
    /// The capacity of the server relative to others; 1 if unknown.
    pub weight: f64,
    /// The time of the last start; `None` if unknown, in which case the server counts as warm.
    pub started_at: Option<Millis>,
}

/// An update of the server list.
#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryUpdate {
    /// The complete list as saved before a restart of the sidecar, which may be out of date.
    Restored(Vec<UpstreamRecord>),
    /// The complete current list; servers missing from it are gone.
    Snapshot(Vec<UpstreamRecord>),
    /// Only the servers that changed.
    Delta(Vec<UpstreamRecord>),
    /// A call to discovery failed or the subscription broke; the current list stays in use.
    Unavailable,
}

/// A load report from a server. Values may be missing or out of range.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Number of requests in flight at the server.
    pub in_flight: Option<f64>,
    /// CPU utilisation, from 0 to 1.
    pub utilisation: Option<f64>,
    /// Requests served per second.
    pub requests_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server returned a successful response.
    Ok,
    /// The server returned an error or an invalid response; the request may have run.
    Error,
    /// The server rejected the request without processing it.
    Rejected,
    /// No response arrived in time; the request may have run or may still run.
    TimedOut,
    /// No connection could be established, or the request was not sent completely; it did not run.
    Unreachable,
    /// The connection broke; the request may have run.
    Reset,
    /// The sidecar cancelled the attempt; the request may have run.
    Cancelled,
    /// The sidecar did not send the request.
    NotSent,
}

impl Outcome {
    /// Whether the server may have executed the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent)
    }
}

/// The result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptFinished {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNo,
    /// The server that the attempt was sent to.
    pub upstream: UpstreamId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the start of the attempt to its end.
    pub latency: Millis,
    /// Whether the request has ended: it has its final response or needs none any more.
    pub request_completed: bool,
    /// The load report that came with the response.
    pub report: Option<LoadReport>,
}

/// An input to the module. Events of the same time are passed in the order in which they happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A client request arrived; the module must end it with exactly one final response.
    RequestArrived {
        /// The id of the request; ids are never reused.
        request: RequestId,
        /// The class of the request.
        class: ClassId,
        /// The tenant that sent the request.
        tenant: TenantId,
        /// Time until the client stops waiting.
        time_left: Millis,
        /// The client's estimate of the work, comparable only within the class.
        cost: Option<f64>,
    },
    /// An attempt ended; sent exactly once for each [`Action::Send`].
    AttemptFinished(AttemptFinished),
    /// The client disconnected, or the sidecar ended the request at its deadline; no response is needed any more.
    RequestAbandoned(RequestId),
    /// A probe ended.
    ProbeFinished {
        /// The server that was probed.
        upstream: UpstreamId,
        /// Whether the server responded.
        answered: bool,
        /// The load report in the response.
        report: Option<LoadReport>,
    },
    /// Discovery updated the server list.
    DiscoveryUpdated(DiscoveryUpdate),
    /// A timer set with [`Action::SetTimer`] expired; carries the token of that timer.
    TimerFired(u64),
}

/// An output of the module, to be carried out immediately and in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request to send.
        request: RequestId,
        /// The server to send it to.
        upstream: UpstreamId,
        /// Time after which the attempt is abandoned.
        timeout: Millis,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt.
        attempt: AttemptNo,
    },
    /// End the request with a refusal: the client may safely retry it.
    Refuse {
        /// The request to refuse.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Millis,
    },
    /// End the request with a failure: a server may have executed it, so a retry may be unsafe.
    Fail(RequestId),
    /// Ask a server for a load report.
    Probe(UpstreamId),
    /// Set a timer that returns [`Event::TimerFired`] at the given time or soon after.
    SetTimer {
        /// The expiry time.
        at: Millis,
        /// The token to return.
        token: u64,
    },
    /// Subscribe to discovery updates from the current list version on.
    Subscribe,
    /// Write a line to the operator log.
    Log(String),
}
