//! The configuration file named by `ROUTER_CONFIG`, validated before the sidecar uses it.

use std::collections::HashSet;
use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use sagemast::settings::SettingsObject;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use super::descriptors::RESERVED_DESCRIPTORS;
use super::host_list::HostList;
use super::log;

/// The configuration file.
#[derive(Deserialize)]
pub struct Config {
    /// Address that the sidecar listens on for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random number generator, in hexadecimal digits.
    #[serde(default)]
    pub seed: String,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// The host list saved before a restart, used until discovery answers. Invalid parts are ignored.
    #[serde(default, rename = "known", deserialize_with = "deserialize_saved_list")]
    pub saved_list: Option<HostList>,
    /// Settings of the decision module, in the format that the simulator uses as well.
    pub settings: SettingsObject,
}

/// Start value and multiplier of the polynomial hash of a seed that is not hexadecimal.
const HASH_START: u64 = 7;
const HASH_MULTIPLIER: u64 = 31;

/// Memory of a client connection and an upstream connection under load, in KiB: their read buffers, and a body in each
/// direction within the [memory budget](super::memory_budget).
const CONNECTION_KIB: usize = 256;
/// Bytes in a MiB.
const MIB: usize = 1 << 20;
/// Minimum number of file descriptors; fewer leave too few for connections on both sides.
const MIN_SOCKETS: usize = 64;

/// Resource limits of the process.
#[derive(Deserialize)]
pub struct Limits {
    /// Memory in MiB.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// Number of file descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: default_memory(), sockets: default_sockets() }
    }
}

impl Limits {
    /// Memory in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(MIB)
    }

    /// Maximum number of connections on each side within the descriptors and the memory.
    pub fn connections_per_side(&self) -> usize {
        let memory_limit = self.memory_mb.saturating_mul(1024) / CONNECTION_KIB;
        (self.sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2).min(memory_limit).max(1)
    }
}

/// Memory limit of the smallest deployments, in MiB.
fn default_memory() -> usize {
    192
}

/// Descriptor limit of the smallest deployments.
fn default_sockets() -> usize {
    1024
}

/// Decodes the saved list leniently: without a valid list the sidecar starts and waits for discovery.
fn deserialize_saved_list<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<HostList>, D::Error> {
    let Some(json) = <Option<&RawValue>>::deserialize(deserializer)? else { return Ok(None) };
    let list = HostList::from_saved(json.get());
    match &list {
        Err(error) => log::line(format!("the saved host list in \"known\" cannot be read: {error}")),
        Ok(list) if list.version == 0 && !list.hosts.valid().is_empty() => {
            log::line(
                "the saved host list in \"known\" has no valid version or invalid entries: requesting a snapshot",
            );
        }
        Ok(_) => {}
    }
    Ok(list.ok())
}

impl Config {
    /// Reads and validates the file that `ROUTER_CONFIG` names.
    pub fn from_env() -> Result<Config> {
        let path = std::env::var_os("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?;
        let display_path = path.to_string_lossy().into_owned();
        let text = std::fs::read(&path).with_context(|| format!("cannot read {display_path}"))?;
        Config::parse(&text).with_context(|| format!("invalid configuration in {display_path}"))
    }

    /// Parses and validates the text of a configuration file.
    pub fn parse(text: &[u8]) -> Result<Config> {
        let config: Config = serde_json::from_slice(text)?;
        config.settings.validate().map_err(anyhow::Error::msg)?;
        let mut seen_names = HashSet::new();
        if let Some(duplicate) = config.settings.class_names().find(|name| !seen_names.insert(*name)) {
            bail!("duplicate class name {duplicate:?}");
        }
        if config.limits.sockets < MIN_SOCKETS {
            bail!("limits.sockets is {}; at least {MIN_SOCKETS} are required", config.limits.sockets);
        }
        Ok(config)
    }

    /// The seed as a number. Text that is not hexadecimal is hashed.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| {
            self.seed
                .bytes()
                .fold(HASH_START, |hash, byte| hash.wrapping_mul(HASH_MULTIPLIER) + u64::from(byte))
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net_config.rs"]
mod tests;
