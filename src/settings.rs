//! Parsing of the settings object and of load reports. The settings object is the same in the simulator's first
//! message and in the sidecar's configuration file.

use std::collections::HashMap;

use serde::Deserialize;

use crate::api::*;

/// The settings object as serialized. Unknown keys are ignored.
#[derive(Deserialize)]
pub struct SettingsObject {
    classes: Vec<WireClass>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    zone: u64,
    #[serde(default)]
    azs: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    peers_total: u32,
    #[serde(default)]
    rank: Option<u32>,
    #[serde(default)]
    fees: HashMap<String, f64>,
    allowed: Allowed,
    invariants: Invariants,
    #[serde(default)]
    period: Millis,
    membership_mode: MembershipMode,
    telemetry: Telemetry,
}

#[derive(Deserialize)]
struct WireClass {
    #[serde(default)]
    name: String,
    #[serde(default)]
    hard_limit: Millis,
    aim: Millis,
    importance: f64,
    #[serde(default)]
    late_worth: f64,
    effect: WireIdempotency,
    #[serde(default)]
    dedup_scope: WireDedupScope,
    #[serde(default)]
    window: Millis,
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

#[derive(Deserialize)]
struct Allowed {
    max_attempts: u32,
    #[serde(default)]
    may_duplicate: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: Millis,
    #[serde(default = "default_keepalive_ms")]
    keepalive: Millis,
    #[serde(default = "default_connect_timeout_ms")]
    connect_timeout: Millis,
}

fn default_keepalive_ms() -> Millis {
    15_000.0
}

fn default_connect_timeout_ms() -> Millis {
    250.0
}

#[derive(Deserialize)]
struct Invariants {
    cold_share: f64,
    warm_up: Millis,
    fall_multiple: f64,
    fall: Millis,
    #[serde(default)]
    must_ask_in: Millis,
    #[serde(default = "default_drain_grace_ms")]
    drain_grace: Millis,
}

fn default_drain_grace_ms() -> Millis {
    1_000.0
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
enum MembershipMode {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct Telemetry {
    #[serde(default)]
    how: String,
    #[serde(default)]
    columns: Vec<String>,
}

impl SettingsObject {
    /// Converts to the settings of the decision module.
    pub fn to_settings(&self) -> Settings {
        Settings {
            classes: self.classes.iter().map(WireClass::to_class).collect(),
            tenants: self.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
            over_quota_value_fraction: self.over_share_worth,
            zone: ZoneId(self.zone),
            sidecar_count: self.peers_total,
            sidecar_index: self.rank,
            zone_crossing_cost: self.fees.get("cross_zone").copied().unwrap_or(0.0),
            probe_cost: self.fees.get("probe").copied().unwrap_or(0.0),
            reports_in_responses: self.reports_in_responses(),
            limits: Limits {
                max_attempts: self.allowed.max_attempts,
                allow_concurrent_attempts: self.allowed.may_duplicate,
                allow_probes: self.allowed.probes,
                allow_cancellation: self.allowed.cancel,
                max_retry_after: if self.allowed.retry_after { self.allowed.max_retry_after } else { 0.0 },
                min_event_interval: self.period,
            },
            cold_start: ColdStartLimits {
                initial_capacity_fraction: self.invariants.cold_share,
                warm_up: self.invariants.warm_up,
                overload_multiple: self.invariants.fall_multiple,
                overload_duration: self.invariants.fall,
            },
            discovery: match self.membership_mode {
                MembershipMode::Automatic => DiscoveryMode::Push,
                MembershipMode::Subscribe => {
                    DiscoveryMode::Subscribe { subscribe_within: self.invariants.must_ask_in }
                }
            },
        }
    }

    /// Checks that the settings are usable and describes the first invalid value.
    pub fn validate(&self) -> Result<(), String> {
        let positive = |name: &str, value: f64| {
            let valid = value.is_finite() && value > 0.0 && value < 1e9;
            if valid { Ok(()) } else { Err(format!("{name} must be positive and below 1e9: got {value}")) }
        };
        if self.classes.is_empty() {
            return Err("classes must not be empty".to_owned());
        }
        for class in &self.classes {
            if class.name.is_empty() {
                return Err("class name must not be empty".to_owned());
            }
            positive("aim", class.aim)?;
            positive("hard_limit", class.hard_limit)?;
            positive("importance", class.importance)?;
        }
        if self.allowed.max_attempts == 0 {
            return Err("max_attempts must be at least 1: got 0".to_owned());
        }
        positive("keepalive", self.allowed.keepalive)?;
        positive("connect_timeout", self.allowed.connect_timeout)?;
        positive("cold_share", self.invariants.cold_share)?;
        positive("warm_up", self.invariants.warm_up)?;
        positive("fall_multiple", self.invariants.fall_multiple)
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
        index_or_hash(&self.azs, name)
    }

    /// The number of a machine type: its index in the settings, or a hash of its name if they do not list it.
    pub fn machine_type_number(&self, name: &str) -> u64 {
        index_or_hash(&self.kinds, name)
    }

    /// The longest deadline of any class, including the client's own retries.
    pub fn longest_deadline_ms(&self) -> Millis {
        self.classes.iter().map(|class| class.hard_limit).fold(0.0, f64::max)
    }

    /// The shortest latency target of any class.
    pub fn shortest_latency_target_ms(&self) -> Millis {
        self.classes.iter().map(|class| class.aim).fold(f64::INFINITY, f64::min)
    }

    /// Idle time after which upstreams close a connection.
    pub fn keepalive_ms(&self) -> Millis {
        self.allowed.keepalive
    }

    /// Grace period after notice that a server is draining; no request may be sent to it afterwards.
    pub fn drain_grace_ms(&self) -> Millis {
        self.invariants.drain_grace.clamp(0.0, 1e9)
    }

    /// Timeout for establishing a connection to an upstream.
    pub fn connect_timeout_ms(&self) -> Millis {
        self.allowed.connect_timeout
    }

    /// Whether responses to requests carry load reports.
    pub fn reports_in_responses(&self) -> bool {
        self.telemetry.how == "piggyback"
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
            latency_target: self.aim,
            value: self.importance,
            late_value_fraction: self.late_worth,
            idempotency: match self.effect {
                WireIdempotency::Idempotent => Idempotency::Idempotent,
                WireIdempotency::Keyed => Idempotency::Keyed { scope, window: self.window },
                WireIdempotency::NonIdempotent => Idempotency::NonIdempotent,
            },
        }
    }
}

/// A column of a load report.
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

/// The position of a server on the hash ring: the FNV-1a hash of its name, mixed. It is the same in every sidecar.
pub fn ring_position(name: &[u8]) -> u64 {
    let hash = name.iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    // FNV-1a barely spreads the last bytes, in which names differ, to the upper bits: mix them in.
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The index of a name in a list; for an unknown name, a hash of the name offset past the list.
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

/// Larger values in a load report are discarded as invalid.
const MAX_REPORT_VALUE: f64 = 1e6;
