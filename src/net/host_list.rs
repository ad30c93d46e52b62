//! Host lists in discovery's JSON format, as snapshots, deltas and in the configuration file.

use std::collections::BTreeSet;
use std::fmt::{self, Formatter};
use std::net::SocketAddr;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// A snapshot or delta of the host list.
#[derive(Deserialize)]
pub struct HostList {
    /// Version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether this is a snapshot; otherwise it is a delta.
    #[serde(default, rename = "whole")]
    pub is_snapshot: bool,
    /// Entries of the snapshot, or the changed ones of a delta.
    pub hosts: HostEntries,
}

/// The entries of a host list. Each is decoded from its own text, without an intermediate tree that could be many times
/// larger, and separately, so that an invalid one does not affect the others.
#[derive(Default)]
pub struct HostEntries {
    valid: Vec<Host>,
    /// Names of the hosts whose entries are invalid, where they could be decoded.
    invalid_names: BTreeSet<String>,
    invalid_count: usize,
    /// Why the first invalid entry could not be decoded.
    first_error: Option<EntryError>,
}

/// Why an entry of a host list is invalid.
#[derive(Debug)]
enum EntryError {
    /// It does not have the format of an entry.
    Format(serde_json::Error),
    /// Its share or start time is not a finite number.
    NotFinite,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            EntryError::Format(error) => write!(f, "{error}"),
            EntryError::NotFinite => write!(f, "share or born_ms is not a finite number"),
        }
    }
}

/// A saved host list without a usable array of entries.
#[derive(Debug)]
pub struct SavedListError(serde_json::Error);

impl fmt::Display for SavedListError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "\"hosts\" is missing or not an array: {}", self.0)
    }
}

/// A saved host list before its version is decoded.
#[derive(Deserialize)]
struct SavedList<'a> {
    #[serde(borrow, default)]
    seq: Option<&'a RawValue>,
    hosts: HostEntries,
}

/// The part of an entry that identifies its host.
#[derive(Deserialize)]
struct HostName {
    host: String,
}

/// An upstream as listed by discovery.
#[derive(Deserialize, Clone)]
pub struct Host {
    /// Name of the upstream, the same at every sidecar.
    #[serde(rename = "host")]
    pub name: String,
    /// Address that it listens on.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Zone of the upstream.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Machine type.
    #[serde(default, rename = "class")]
    pub machine_type: String,
    /// Cell of the upstream.
    #[serde(default, rename = "block")]
    pub cell: u64,
    /// Whether it accepts new requests.
    pub health: Health,
    /// Capacity relative to other upstreams.
    #[serde(default = "default_weight", rename = "share")]
    pub weight: f64,
    /// Time of its last start, in Unix milliseconds; 0 if that was long ago.
    #[serde(default, rename = "born_ms")]
    pub start_unix_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Whether an upstream accepts new requests.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Accepts new requests.
    Ready,
    /// Completes the requests that it has and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

impl HostList {
    /// A snapshot without hosts, from which a watch requests a snapshot.
    pub fn empty() -> HostList {
        HostList { version: 0, is_snapshot: true, hosts: HostEntries::default() }
    }

    /// Decodes a saved snapshot leniently. If its version or an entry is invalid, it has version 0, from which a watch
    /// requests a snapshot: later deltas need not contain the invalid entries.
    pub fn from_saved(json: &str) -> Result<HostList, SavedListError> {
        let SavedList { seq, hosts } = serde_json::from_str(json).map_err(SavedListError)?;
        let version = seq.and_then(|seq| serde_json::from_str(seq.get()).ok()).unwrap_or(0);
        let version = if hosts.has_invalid() { 0 } else { version };
        Ok(HostList { version, is_snapshot: true, hosts })
    }
}

impl HostEntries {
    /// The hosts of the valid entries.
    pub fn valid(&self) -> &[Host] {
        &self.valid
    }

    /// Whether an entry could not be decoded.
    pub fn has_invalid(&self) -> bool {
        self.invalid_count > 0
    }

    /// The host names of the invalid entries, where they could be decoded.
    pub fn invalid_names(&self) -> impl Iterator<Item = &str> {
        self.invalid_names.iter().map(String::as_str)
    }

    /// How many entries are invalid, and why the first of them is; `None` if all are valid.
    pub fn describe_invalid(&self) -> Option<String> {
        let first_error = self.first_error.as_ref()?;
        Some(format!(
            "{} of {} entries of the host list cannot be read, the first one because of: {first_error}",
            self.invalid_count,
            self.valid.len() + self.invalid_count
        ))
    }

    /// Decodes and adds an entry.
    fn add(&mut self, json: &str) {
        match decode_host(json) {
            Ok(host) => self.valid.push(host),
            Err(error) => {
                let name = serde_json::from_str::<HostName>(json).ok();
                self.invalid_names.extend(name.map(|name| name.host));
                self.invalid_count += 1;
                self.first_error.get_or_insert(error);
            }
        }
    }
}

impl<'de> Deserialize<'de> for HostEntries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<HostEntries, D::Error> {
        deserializer.deserialize_seq(HostEntriesVisitor)
    }
}

/// Decodes the entries one by one.
struct HostEntriesVisitor;

impl<'de> Visitor<'de> for HostEntriesVisitor {
    type Value = HostEntries;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "an array of hosts")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<HostEntries, A::Error> {
        let mut decoded = HostEntries::default();
        while let Some(entry) = entries.next_element::<&RawValue>()? {
            decoded.add(entry.get());
        }
        Ok(decoded)
    }
}

/// Decodes and checks one entry.
fn decode_host(json: &str) -> Result<Host, EntryError> {
    let host: Host = serde_json::from_str(json).map_err(EntryError::Format)?;
    if !host.weight.is_finite() || !host.start_unix_ms.is_finite() {
        return Err(EntryError::NotFinite);
    }
    Ok(host)
}

#[cfg(test)]
#[path = "../../tests/unit/net_host_list.rs"]
mod tests;
