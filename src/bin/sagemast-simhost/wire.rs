//! Messages of the simulator's wire protocol, and their conversion to the types of the decision module. Fields and
//! variants have the module's names; `serde(rename)` gives the name on the wire.

use sagemast::api::*;
use sagemast::settings::{SettingsObject, ring_position};
use serde::{Deserialize, Serialize};

/// A line of input: events at one point in time, grouped by sidecar.
#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "wall")]
    pub now: f64,
    /// Identifies the batch; the reply returns it.
    pub turn: u64,
    pub parts: Vec<Inbox>,
}

/// The events of one sidecar.
#[derive(Deserialize)]
pub struct Inbox {
    pub sidecar: String,
    #[serde(rename = "inbox")]
    pub events: Vec<WireEvent>,
}

/// An event of one sidecar, or an instruction to the adapter.
#[derive(Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum WireEvent {
    /// The sidecar starts, with an empty server list.
    #[serde(rename = "hello")]
    Start {
        #[serde(rename = "salt")]
        seed: u64,
        config: Box<SettingsObject>,
    },
    /// Defines a server list that sync events of all sidecars refer to by its number.
    DefineList {
        #[serde(rename = "list")]
        list_number: u64,
        #[serde(rename = "rows_in")]
        rows: Vec<UpstreamRow>,
    },
    /// Discovery updates the server list of the sidecar.
    Sync {
        mode: SyncMode,
        #[serde(rename = "list")]
        list_number: Option<u64>,
    },
    #[serde(rename = "arrival")]
    RequestArrived {
        #[serde(rename = "xid")]
        request: WireRequestId,
        #[serde(default, rename = "owner")]
        tenant: usize,
        time_left: f64,
        #[serde(rename = "category")]
        class: usize,
        /// Bits such as [`FLAG_COST_VALID`].
        #[serde(default, rename = "state_bits")]
        flags: u64,
        #[serde(rename = "cost_guess")]
        cost: Option<f64>,
    },
    /// The sidecar is killed and loses its state.
    Killed,
    #[serde(rename = "pong")]
    ProbeFinished {
        upstream: u64,
        #[serde(rename = "disposition")]
        outcome: WireOutcome,
        #[serde(rename = "server_stats")]
        report: Option<Vec<f64>>,
    },
    #[serde(rename = "ring")]
    TimerFired {
        #[serde(rename = "ref")]
        token: u64,
    },
    #[serde(rename = "lapsed")]
    RequestAbandoned {
        #[serde(rename = "xid")]
        request: WireRequestId,
    },
    /// A message from another sidecar; not used.
    #[serde(rename = "heard")]
    PeerMessage {},
    #[serde(rename = "returned")]
    AttemptFinished {
        #[serde(rename = "xid")]
        request: WireRequestId,
        #[serde(default, rename = "ended")]
        request_completed: bool,
        upstream: u64,
        #[serde(rename = "shot")]
        attempt: u32,
        latency: f64,
        #[serde(rename = "disposition")]
        outcome: WireOutcome,
        #[serde(rename = "server_stats")]
        report: Option<Vec<f64>>,
    },
    /// An attempt was started; not used.
    #[serde(rename = "under_way")]
    AttemptStarted {},
}

/// Bit of [`WireEvent::RequestArrived::flags`]: the cost estimate is valid.
pub const FLAG_COST_VALID: u64 = 1;

/// The kind of a server list update, as in [`DiscoveryUpdate`].
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum SyncMode {
    #[serde(rename = "update")]
    Delta,
    #[serde(rename = "replace")]
    Snapshot,
    Restored,
    Unavailable,
}

/// A request id, 16 hexadecimal digits on the wire.
#[derive(Clone, Copy)]
pub struct WireRequestId(pub u64);

impl<'de> Deserialize<'de> for WireRequestId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        // `from_str_radix` also accepts a leading sign.
        let is_valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = u64::from_str_radix(&text, 16).ok().filter(|_| is_valid);
        value
            .map(WireRequestId)
            .ok_or_else(|| serde::de::Error::custom("a request id must be 16 hexadecimal digits"))
    }
}

impl Serialize for WireRequestId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:016x}", self.0))
    }
}

/// How an attempt or a probe ended.
#[derive(Deserialize, Clone, Copy)]
pub enum WireOutcome {
    #[serde(rename = "pass")]
    Ok,
    #[serde(rename = "fault")]
    Error,
    #[serde(rename = "no_room")]
    Rejected,
    #[serde(rename = "too_slow")]
    TimedOut,
    #[serde(rename = "no_route")]
    Unreachable,
    #[serde(rename = "cut")]
    Reset,
    #[serde(rename = "undone")]
    Cancelled,
    #[serde(rename = "stale_send")]
    NotSent,
}

impl From<WireOutcome> for Outcome {
    fn from(outcome: WireOutcome) -> Outcome {
        match outcome {
            WireOutcome::Ok => Outcome::Ok,
            WireOutcome::Error => Outcome::Error,
            WireOutcome::Rejected => Outcome::Rejected,
            WireOutcome::TimedOut => Outcome::TimedOut,
            WireOutcome::Unreachable => Outcome::Unreachable,
            WireOutcome::Reset => Outcome::Reset,
            WireOutcome::Cancelled => Outcome::Cancelled,
            WireOutcome::NotSent => Outcome::NotSent,
        }
    }
}

/// An entry of a server list.
#[derive(Deserialize, Clone)]
pub struct UpstreamRow {
    upstream: u64,
    #[serde(default, rename = "hall")]
    zone: u64,
    #[serde(default, rename = "shape")]
    machine_type: u64,
    #[serde(default, rename = "stripe")]
    cell: u64,
    lifecycle: WireLifecycle,
    #[serde(default = "default_weight", rename = "capacity_hint")]
    weight: f64,
    #[serde(default, rename = "launched")]
    started_at: f64,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Deserialize, Clone, Copy)]
enum WireLifecycle {
    #[serde(rename = "in_service")]
    Serving,
    #[serde(rename = "terminating")]
    Draining,
    #[serde(rename = "terminated")]
    Terminated,
}

impl From<&UpstreamRow> for UpstreamRecord {
    fn from(row: &UpstreamRow) -> UpstreamRecord {
        UpstreamRecord {
            upstream: UpstreamId(row.upstream),
            zone: ZoneId(row.zone),
            cell: CellId(row.cell),
            ring_position: ring_position(&row.upstream.to_be_bytes()),
            machine_type: MachineTypeId(row.machine_type),
            lifecycle: match row.lifecycle {
                WireLifecycle::Serving => Lifecycle::Serving,
                WireLifecycle::Draining | WireLifecycle::Terminated => Lifecycle::Draining,
            },
            weight: row.weight,
            started_at: (row.started_at > 0.0).then_some(row.started_at),
        }
    }
}

/// A line of output: the actions that a batch led to, grouped by sidecar.
#[derive(Serialize)]
pub struct Reply {
    pub turn: u64,
    pub parts: Vec<Outbox>,
}

/// The actions of one sidecar.
#[derive(Serialize)]
pub struct Outbox {
    pub sidecar: String,
    pub actions: Vec<WireAction>,
}

/// An [`Action`] as written on the wire.
#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum WireAction {
    #[serde(rename = "relay")]
    Send {
        #[serde(rename = "xid")]
        request: WireRequestId,
        upstream: u64,
        #[serde(rename = "patience")]
        timeout: f64,
    },
    #[serde(rename = "revoke")]
    Cancel {
        #[serde(rename = "xid")]
        request: WireRequestId,
        #[serde(rename = "shot")]
        attempt: u32,
    },
    #[serde(rename = "push_back")]
    Refuse {
        #[serde(rename = "xid")]
        request: WireRequestId,
        #[serde(rename = "come_back")]
        retry_after: f64,
    },
    Fail {
        #[serde(rename = "xid")]
        request: WireRequestId,
    },
    #[serde(rename = "ask_load")]
    Probe { upstream: u64 },
    #[serde(rename = "set_alarm")]
    SetTimer {
        #[serde(rename = "time")]
        at: f64,
        #[serde(rename = "ref")]
        token: u64,
    },
    #[serde(rename = "follow")]
    Subscribe {
        #[serde(rename = "want")]
        subscribe: bool,
    },
    #[serde(rename = "note_down")]
    Log { text: String },
}

impl From<Action> for WireAction {
    fn from(action: Action) -> WireAction {
        match action {
            Action::Send { request, upstream, timeout } => {
                WireAction::Send { request: WireRequestId(request.0), upstream: upstream.0, timeout }
            }
            Action::Cancel { request, attempt } => {
                WireAction::Cancel { request: WireRequestId(request.0), attempt: attempt.0 }
            }
            Action::Refuse { request, retry_after } => {
                WireAction::Refuse { request: WireRequestId(request.0), retry_after }
            }
            Action::Fail(request) => WireAction::Fail { request: WireRequestId(request.0) },
            Action::Probe(upstream) => WireAction::Probe { upstream: upstream.0 },
            Action::SetTimer { at, token } => WireAction::SetTimer { at, token },
            Action::Subscribe => WireAction::Subscribe { subscribe: true },
            Action::Log(text) => WireAction::Log { text },
        }
    }
}
