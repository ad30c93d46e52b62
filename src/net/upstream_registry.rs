//! The registry of upstreams listed by discovery: their ids in the decision module and their idle connections.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use sagemast::api::*;
use sagemast::settings::{SettingsObject, ring_position};

use super::host_list::{Health, Host, HostList};
use super::upstream_connection::ConnectionPool;

/// An upstream listed by discovery.
pub struct RegisteredUpstream {
    /// Its name in the host list.
    pub name: String,
    /// Its entry as passed to the decision module.
    pub record: UpstreamRecord,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Incremented when its address or its start time changes: connections are not reused across incarnations.
    pub incarnation: u64,
    /// Its idle connections.
    pub pool: ConnectionPool,
    /// When it last started, in Unix milliseconds.
    start_unix_ms: f64,
    /// Whether discovery reports it as gone or no longer lists it. It is removed once it has no attempt in flight.
    gone: bool,
}

impl RegisteredUpstream {
    /// Marks the upstream as gone and closes its idle connections. Connections that are returned later are closed as
    /// well, since the upstream is no longer serving.
    fn mark_gone(&mut self) {
        self.record.lifecycle = Lifecycle::Draining;
        self.gone = true;
        self.pool.clear();
    }
}

/// All known upstreams, by id and by name.
pub struct UpstreamRegistry {
    /// The ids by name in the host list.
    ids: HashMap<String, UpstreamId>,
    by_id: BTreeMap<UpstreamId, RegisteredUpstream>,
    /// The id that was assigned last; ids are not reused.
    last_id: u64,
    /// Unix time at the origin of the module's clock, in milliseconds.
    epoch_unix_ms: f64,
}

impl UpstreamRegistry {
    /// Creates an empty registry. `epoch_unix_ms` is the Unix time at which the module's clock starts.
    pub fn new(epoch_unix_ms: f64) -> UpstreamRegistry {
        UpstreamRegistry { ids: HashMap::new(), by_id: BTreeMap::new(), last_id: 1, epoch_unix_ms }
    }

    /// The number of upstreams, including those that are gone and have an attempt in flight.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns an upstream.
    pub fn get(&self, id: UpstreamId) -> Option<&RegisteredUpstream> {
        self.by_id.get(&id)
    }

    /// Returns an upstream for modification.
    pub fn get_mut(&mut self, id: UpstreamId) -> Option<&mut RegisteredUpstream> {
        self.by_id.get_mut(&id)
    }

    /// The connection pools of all upstreams.
    pub fn pools(&mut self) -> impl Iterator<Item = &mut ConnectionPool> {
        self.by_id.values_mut().map(|server| &mut server.pool)
    }

    /// Applies a host list and returns its entries in the form of the decision module. If it `is_complete`, upstreams
    /// that are missing from it are gone.
    pub fn apply_list(
        &mut self,
        list: &HostList,
        is_complete: bool,
        settings: &SettingsObject,
        now: Millis,
    ) -> Vec<UpstreamRecord> {
        let mut records: Vec<UpstreamRecord> =
            list.hosts.valid().iter().map(|host| self.apply_host(host, settings, now)).collect();
        if is_complete {
            // An upstream with an invalid entry is not missing from the list: its last record stays in use.
            let invalid = list.hosts.invalid_names().filter_map(|name| self.ids.get(name));
            records.extend(invalid.filter_map(|id| self.by_id.get(id)).map(|server| server.record.clone()));
            let listed: HashSet<UpstreamId> = records.iter().map(|record| record.upstream).collect();
            let missing = self.by_id.iter_mut().filter(|(id, _)| !listed.contains(id));
            missing.for_each(|(_, server)| server.mark_gone());
        }
        records
    }

    /// Applies one entry of a host list.
    fn apply_host(&mut self, host: &Host, settings: &SettingsObject, now: Millis) -> UpstreamRecord {
        let id = *self.ids.entry(host.name.clone()).or_insert_with(|| {
            self.last_id += 1;
            UpstreamId(self.last_id)
        });
        let lifecycle = if host.health == Health::Ready { Lifecycle::Serving } else { Lifecycle::Draining };
        let same_start = self.by_id.get(&id).filter(|server| server.start_unix_ms == host.start_unix_ms);
        // A start time in the future, caused by clock skew between machines, counts as now.
        let started_at = match same_start {
            Some(server) => server.record.started_at,
            None => (host.start_unix_ms > 0.0).then(|| (host.start_unix_ms - self.epoch_unix_ms).min(now)),
        };
        let record = UpstreamRecord {
            upstream: id,
            zone: ZoneId(settings.zone_number(&host.zone)),
            cell: CellId(host.cell),
            ring_position: ring_position(host.name.as_bytes()),
            machine_type: MachineTypeId(settings.machine_type_number(&host.machine_type)),
            lifecycle,
            weight: host.weight,
            started_at,
        };
        let server = self.by_id.entry(id).or_insert_with(|| RegisteredUpstream {
            name: host.name.clone(),
            record: record.clone(),
            address: host.address,
            incarnation: 0,
            pool: ConnectionPool::default(),
            start_unix_ms: host.start_unix_ms,
            gone: false,
        });
        // After a restart or a change of address, connections are broken or lead to another process.
        if server.address != host.address || server.start_unix_ms != host.start_unix_ms {
            server.incarnation += 1;
            server.pool.clear();
        }
        (server.address, server.start_unix_ms, server.record) =
            (host.address, host.start_unix_ms, record.clone());
        server.gone = false;
        if lifecycle == Lifecycle::Draining {
            server.pool.clear();
        }
        if host.health == Health::Gone {
            server.mark_gone();
        }
        record
    }

    /// Removes upstreams that are gone and not in `in_use`, so that the registry does not grow as upstreams are
    /// replaced under new names. A name that is listed again later is treated as a new upstream.
    pub fn remove_gone(&mut self, in_use: impl Iterator<Item = UpstreamId>) {
        if self.by_id.values().any(|server| server.gone) {
            let in_use: HashSet<UpstreamId> = in_use.collect();
            self.by_id.retain(|id, server| !server.gone || in_use.contains(id));
            self.ids.retain(|_, id| self.by_id.contains_key(id));
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net_upstream_registry.rs"]
mod tests;
