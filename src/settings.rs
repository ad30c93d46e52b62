//! Parsing of the settings object and of load reports. The settings object is the same in the simulator's first
//! message and in the sidecar's configuration file.

use std::collections::HashMap;

use serde::Deserialize;

use crate::api::*;

/// Times and factors in the settings must be below this.
const MAX_SETTING_VALUE: f64 = 1e9;
/// Larger values in the text of a load report are discarded as invalid.
const MAX_REPORT_VALUE: f64 = 1e6;

/// The settings object as serialized. Fields have the names of [`Settings`] where they have the same meaning;
/// `serde(rename)` gives the key. Unknown keys are ignored.
#[derive(Deserialize)]
pub struct SettingsObject {
    classes: Vec<WireClass>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    #[serde(default, rename = "over_share_worth")]
    over_quota_value_fraction: f64,
    #[serde(default)]
    zone: u64,
    #[serde(default, rename = "azs")]
    zone_names: Vec<String>,
    #[serde(default, rename = "kinds")]
    machine_type_names: Vec<String>,
    #[serde(rename = "peers_total")]
    sidecar_count: u32,
    #[serde(default, rename = "rank")]
    sidecar_index: Option<u32>,
    /// Costs by name: `cross_zone` and `probe`.
    #[serde(default, rename = "fees")]
    costs: HashMap<String, f64>,
    allowed: Allowed,
    invariants: Invariants,
    /// The shortest time between two batches of events; used as the longest delay until an attempt is sent.
    #[serde(default, rename = "period")]
    min_event_interval: Millis,
    #[serde(rename = "membership_mode")]
    discovery_mode: WireDiscoveryMode,
    telemetry: Telemetry,
}

#[derive(Deserialize)]
struct WireClass {
    #[serde(default)]
    name: String,
    /// Time after which the client gives up, its own retries included.
    #[serde(default, rename = "hard_limit")]
    deadline: Millis,
    #[serde(rename = "aim")]
    latency_target: Millis,
    #[serde(rename = "importance")]
    value: f64,
    #[serde(default, rename = "late_worth")]
    late_value_fraction: f64,
    #[serde(rename = "effect")]
    idempotency: WireIdempotency,
    #[serde(default)]
    dedup_scope: WireDedupScope,
    #[serde(default, rename = "window")]
    dedup_window: Millis,
}

#[derive(Deserialize)]
enum WireIdempotency {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "by_key")]
    Keyed,
    #[serde(rename = "once")]
    NonIdempotent,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireDedupScope {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Deserialize)]
struct WireTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

/// What the sidecar may do, and the connection timeouts that it has to keep to.
#[derive(Deserialize)]
struct Allowed {
    max_attempts: u32,
    #[serde(default, rename = "may_duplicate")]
    allow_concurrent_attempts: bool,
    #[serde(default, rename = "probes")]
    allow_probes: bool,
    #[serde(default, rename = "cancel")]
    allow_cancellation: bool,
    /// Whether clients honour a retry delay after a refusal.
    #[serde(default, rename = "retry_after")]
    retry_after_honoured: bool,
    #[serde(default)]
    max_retry_after: Millis,
    /// Idle time after which upstreams close a connection.
    #[serde(default = "default_keepalive")]
    keepalive: Millis,
    #[serde(default = "default_connect_timeout")]
    connect_timeout: Millis,
}

fn default_keepalive() -> Millis {
    15_000.0
}

fn default_connect_timeout() -> Millis {
    250.0
}

/// Properties of the servers and of discovery that the sidecar has to respect.
#[derive(Deserialize)]
struct Invariants {
    #[serde(rename = "cold_share")]
    initial_capacity_fraction: f64,
    warm_up: Millis,
    #[serde(rename = "fall_multiple")]
    overload_multiple: f64,
    #[serde(rename = "fall")]
    overload_duration: Millis,
    #[serde(default, rename = "must_ask_in")]
    subscribe_within: Millis,
    #[serde(default = "default_drain_grace")]
    drain_grace: Millis,
}

fn default_drain_grace() -> Millis {
    1_000.0
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
enum WireDiscoveryMode {
    #[serde(rename = "automatic")]
    Push,
    #[serde(rename = "subscribe")]
    Subscribe,
}

/// How load reports arrive, and what they contain.
#[derive(Deserialize)]
struct Telemetry {
    /// `piggyback` if responses to requests carry load reports; with any other value only probes do.
    #[serde(default, rename = "how")]
    delivery: String,
    /// Names of the columns of a positional load report, in order.
    #[serde(default)]
    columns: Vec<String>,
}

impl SettingsObject {
    /// Converts to the settings of the decision module.
    pub fn to_settings(&self) -> Settings {
        Settings {
            classes: self.classes.iter().map(WireClass::to_class).collect(),
            tenants: self.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
            over_quota_value_fraction: self.over_quota_value_fraction,
            zone: ZoneId(self.zone),
            sidecar_count: self.sidecar_count,
            sidecar_index: self.sidecar_index,
            zone_crossing_cost: self.costs.get("cross_zone").copied().unwrap_or(0.0),
            probe_cost: self.costs.get("probe").copied().unwrap_or(0.0),
            reports_in_responses: self.reports_in_responses(),
            limits: Limits {
                max_attempts: self.allowed.max_attempts,
                allow_concurrent_attempts: self.allowed.allow_concurrent_attempts,
                allow_probes: self.allowed.allow_probes,
                allow_cancellation: self.allowed.allow_cancellation,
                max_retry_after: if self.allowed.retry_after_honoured {
                    self.allowed.max_retry_after
                } else {
                    0.0
                },
                max_send_delay: self.min_event_interval,
            },
            cold_start: ColdStartLimits {
                initial_capacity_fraction: self.invariants.initial_capacity_fraction,
                warm_up: self.invariants.warm_up,
                overload_multiple: self.invariants.overload_multiple,
                overload_duration: self.invariants.overload_duration,
            },
            discovery: match self.discovery_mode {
                WireDiscoveryMode::Push => DiscoveryMode::Push,
                WireDiscoveryMode::Subscribe => {
                    DiscoveryMode::Subscribe { subscribe_within: self.invariants.subscribe_within }
                }
            },
        }
    }

    /// Checks that the settings are usable; the error names the key of the first invalid value.
    pub fn validate(&self) -> Result<(), String> {
        let positive = |name: &str, value: f64| {
            let valid = value.is_finite() && value > 0.0 && value < MAX_SETTING_VALUE;
            if valid {
                Ok(())
            } else {
                Err(format!("{name} must be positive and below {MAX_SETTING_VALUE:e}: got {value}"))
            }
        };
        if self.classes.is_empty() {
            return Err("classes must not be empty".to_owned());
        }
        for class in &self.classes {
            if class.name.is_empty() {
                return Err("class name must not be empty".to_owned());
            }
            positive("aim", class.latency_target)?;
            positive("hard_limit", class.deadline)?;
            positive("importance", class.value)?;
        }
        if self.allowed.max_attempts == 0 {
            return Err("max_attempts must be at least 1: got 0".to_owned());
        }
        positive("keepalive", self.allowed.keepalive)?;
        positive("connect_timeout", self.allowed.connect_timeout)?;
        positive("cold_share", self.invariants.initial_capacity_fraction)?;
        positive("warm_up", self.invariants.warm_up)?;
        positive("fall_multiple", self.invariants.overload_multiple)
    }

    /// Names and idempotency of the classes, indexed by class id.
    pub fn classes(&self) -> Vec<(String, Idempotency)> {
        self.classes.iter().map(|class| (class.name.clone(), class.to_class().idempotency)).collect()
    }

    /// Names of the classes, indexed by class id.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|class| class.name.as_str())
    }

    /// Names of the tenants, indexed by tenant id.
    pub fn tenant_names(&self) -> Vec<String> {
        self.tenants.iter().map(|tenant| tenant.name.clone()).collect()
    }

    /// The number of a zone: its index in the settings, or a hash of its name if the settings do not list it.
    pub fn zone_number(&self, name: &str) -> u64 {
        index_or_hash(&self.zone_names, name)
    }

    /// The number of a machine type: its index in the settings, or a hash of its name if they do not list it.
    pub fn machine_type_number(&self, name: &str) -> u64 {
        index_or_hash(&self.machine_type_names, name)
    }

    /// The longest deadline of any class, including the client's own retries.
    pub fn longest_deadline_ms(&self) -> Millis {
        self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max)
    }

    /// The shortest latency target of any class.
    pub fn shortest_latency_target_ms(&self) -> Millis {
        self.classes.iter().map(|class| class.latency_target).fold(f64::INFINITY, f64::min)
    }

    /// Idle time after which upstreams close a connection.
    pub fn keepalive_ms(&self) -> Millis {
        self.allowed.keepalive
    }

    /// Grace period after notice that a server is draining; no request may be sent to it afterwards.
    pub fn drain_grace_ms(&self) -> Millis {
        self.invariants.drain_grace.clamp(0.0, MAX_SETTING_VALUE)
    }

    /// Timeout for establishing a connection to an upstream.
    pub fn connect_timeout_ms(&self) -> Millis {
        self.allowed.connect_timeout
    }

    /// Whether responses to requests carry load reports.
    pub fn reports_in_responses(&self) -> bool {
        self.telemetry.delivery == "piggyback"
    }

    /// The columns of a positional load report, in order.
    pub fn columns(&self) -> Vec<ReportColumn> {
        self.telemetry.columns.iter().map(|name| ReportColumn::from_name(name)).collect()
    }
}

impl WireClass {
    fn to_class(&self) -> Class {
        let scope = match self.dedup_scope {
            WireDedupScope::All => DedupScope::All,
            WireDedupScope::Zone => DedupScope::Zone,
            WireDedupScope::Cell => DedupScope::Cell,
        };
        Class {
            latency_target: self.latency_target,
            value: self.value,
            late_value_fraction: self.late_value_fraction,
            idempotency: match self.idempotency {
                WireIdempotency::Idempotent => Idempotency::Idempotent,
                WireIdempotency::Keyed => Idempotency::Keyed { scope, window: self.dedup_window },
                WireIdempotency::NonIdempotent => Idempotency::NonIdempotent,
            },
        }
    }
}

/// The meaning of a column of a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReportColumn {
    /// Requests in flight.
    InFlight,
    /// CPU utilisation.
    Utilisation,
    /// Requests served per second.
    RequestsPerS,
    /// Errors per second.
    ErrorsPerS,
    /// A column that the module does not use.
    Unused,
}

impl ReportColumn {
    fn from_name(name: &str) -> ReportColumn {
        match name {
            "inflight" => ReportColumn::InFlight,
            "util" => ReportColumn::Utilisation,
            "qps" => ReportColumn::RequestsPerS,
            "eps" => ReportColumn::ErrorsPerS,
            _ => ReportColumn::Unused,
        }
    }
}

/// Builds a load report from positional values; `columns` names the column of each value.
pub fn report_from_values(columns: &[ReportColumn], values: &[f64]) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, value) in columns.iter().zip(values) {
        match column {
            ReportColumn::InFlight => report.in_flight = Some(*value),
            ReportColumn::Utilisation => report.utilisation = Some(*value),
            ReportColumn::RequestsPerS => report.requests_per_s = Some(*value),
            ReportColumn::ErrorsPerS => report.errors_per_s = Some(*value),
            ReportColumn::Unused => {}
        }
    }
    report
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// 2^64 divided by the golden ratio.
const FIBONACCI_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The position of a server on the hash ring: the FNV-1a hash of its name, mixed. It is the same in every sidecar.
pub fn ring_position(name: &[u8]) -> u64 {
    let hash = name
        .iter()
        .fold(FNV_OFFSET_BASIS, |hash: u64, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    // FNV-1a barely spreads the last bytes, in which names differ, to the upper bits: mix them in.
    (hash ^ (hash >> 32)).wrapping_mul(FIBONACCI_HASH_MULTIPLIER)
}

/// The index of a name in a list; for an unknown name, a hash that starts at 2^32, so that in practice it equals
/// no index.
fn index_or_hash(names: &[String], name: &str) -> u64 {
    let hash = || name.bytes().fold(1 << 32, |sum: u64, byte| sum.wrapping_mul(257) + u64::from(byte));
    names.iter().position(|known| known == name).map_or_else(hash, |index| index as u64)
}

/// Parses a load report of the form `TEXT inflight=7, util=0.61` and keeps the values of `columns`. Returns `None`
/// if no such value is valid.
pub fn report_from_text(columns: &[ReportColumn], text: &str) -> Option<LoadReport> {
    let fields = text.trim().strip_prefix("TEXT")?;
    let (mut used_columns, mut values) = (Vec::new(), Vec::new());
    for field in fields.split(',') {
        let Some((name, value)) = field.split_once('=') else { continue };
        let column = ReportColumn::from_name(name.trim());
        let value = value.trim().parse().ok().filter(|v: &f64| (0.0..=MAX_REPORT_VALUE).contains(v));
        if let (true, Some(value)) = (columns.contains(&column), value) {
            used_columns.push(column);
            values.push(value);
        }
    }
    (!used_columns.is_empty()).then(|| report_from_values(&used_columns, &values))
}
