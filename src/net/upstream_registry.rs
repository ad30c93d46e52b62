//! The upstreams that discovery names: their ids for the module, their connections, and when they are forgotten.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use sagemast::api::*;
use sagemast::settings::{SettingsObject, ring_position};

use super::discovery::{Health, Host, HostList};
use super::upstream_connection::ConnectionPool;

/// An upstream listed by discovery.
pub struct RegisteredUpstream {
    /// Its name.
    pub host: String,
    /// Its entry as given to the decision module.
    pub listing: UpstreamRecord,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Incremented when its address or its start time changes: connections are not reused across incarnations.
    pub incarnation: u64,
    /// Its idle connections.
    pub pool: ConnectionPool,
    born_ms: f64,
    /// Whether it is no more: it is forgotten as soon as nothing is out on it.
    gone: bool,
}

impl RegisteredUpstream {
    /// Marks it as gone and closes its idle connections. Connections that are returned later are closed as well.
    fn mark_gone(&mut self) {
        self.listing.lifecycle = Lifecycle::Draining;
        self.gone = true;
        self.pool.clear();
    }
}

/// All known upstreams, by id and by name.
pub struct UpstreamRegistry {
    ids: HashMap<String, UpstreamId>,
    by_id: BTreeMap<UpstreamId, RegisteredUpstream>,
    last_id: u64,
    /// Unix time at the driver's epoch, in milliseconds.
    epoch_unix_ms: f64,
}

impl UpstreamRegistry {
    /// Creates an empty registry. `epoch_unix_ms` is the Unix time at which the module's clock starts.
    pub fn new(epoch_unix_ms: f64) -> UpstreamRegistry {
        UpstreamRegistry { ids: HashMap::new(), by_id: BTreeMap::new(), last_id: 1, epoch_unix_ms }
    }

    /// One of them.
    pub fn get(&self, id: UpstreamId) -> Option<&RegisteredUpstream> {
        self.by_id.get(&id)
    }

    /// The same, to change it.
    pub fn get_mut(&mut self, id: UpstreamId) -> Option<&mut RegisteredUpstream> {
        self.by_id.get_mut(&id)
    }

    /// The idle connections to each.
    pub fn pools(&mut self) -> impl Iterator<Item = &mut ConnectionPool> {
        self.by_id.values_mut().map(|server| &mut server.pool)
    }

    /// Applies a whole list, or a change of it, and returns the module's form of its entries.
    pub fn apply_list(
        &mut self,
        list: &HostList,
        whole: bool,
        settings: &SettingsObject,
        now: Millis,
    ) -> Vec<UpstreamRecord> {
        let mut listings: Vec<UpstreamRecord> =
            list.valid_hosts().map(|host| self.update(host, settings, now)).collect();
        if whole {
            // An entry that cannot be read is not missing: what was known of its host stands.
            let unread = list.invalid_host_names().filter_map(|name| self.ids.get(name));
            listings.extend(unread.filter_map(|id| self.by_id.get(id)).map(|server| server.listing.clone()));
            let named: HashSet<UpstreamId> = listings.iter().map(|listing| listing.upstream).collect();
            let missing = self.by_id.iter_mut().filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, server)| server.mark_gone());
        }
        listings
    }

    /// Takes in what discovery says of one host.
    fn update(&mut self, host: &Host, settings: &SettingsObject, now: Millis) -> UpstreamRecord {
        let id = *self.ids.entry(host.host.clone()).or_insert_with(|| {
            self.last_id += 1;
            UpstreamId(self.last_id)
        });
        let lifecycle = if host.health == Health::Ready { Lifecycle::Serving } else { Lifecycle::Draining };
        let known = self.by_id.get(&id).filter(|server| server.born_ms == host.born_ms);
        // A start in the future, by another machine's clock, is one just now.
        let started_at = match known {
            Some(server) => server.listing.started_at,
            None => (host.born_ms > 0.0).then(|| (host.born_ms - self.epoch_unix_ms).min(now)),
        };
        let listing = UpstreamRecord {
            upstream: id,
            zone: ZoneId(settings.zone_number(&host.site)),
            cell: CellId(host.block),
            ring_position: ring_position(host.host.as_bytes()),
            machine_type: MachineTypeId(settings.machine_type_number(&host.class)),
            lifecycle,
            weight: host.share,
            started_at,
        };
        let server = self.by_id.entry(id).or_insert_with(|| RegisteredUpstream {
            host: host.host.clone(),
            listing: listing.clone(),
            address: host.dial,
            incarnation: 0,
            pool: ConnectionPool::default(),
            born_ms: host.born_ms,
            gone: false,
        });
        // Connections to another address or another life lead nowhere, or to the wrong process.
        if server.address != host.dial || server.born_ms != host.born_ms {
            server.incarnation += 1;
            server.pool.clear();
        }
        (server.address, server.born_ms, server.listing) = (host.dial, host.born_ms, listing.clone());
        server.gone = false;
        if lifecycle == Lifecycle::Draining {
            server.pool.clear();
        }
        if host.health == Health::Gone {
            server.mark_gone();
        }
        listing
    }

    /// Removes upstreams that are gone and have no attempt in flight: replacements keep coming under new names.
    /// A name that is listed again later is treated as a new upstream.
    pub fn remove_gone(&mut self, busy: impl Iterator<Item = UpstreamId>) {
        if self.by_id.values().any(|server| server.gone) {
            let busy: HashSet<UpstreamId> = busy.collect();
            self.by_id.retain(|id, server| !server.gone || busy.contains(id));
            self.ids.retain(|_, id| self.by_id.contains_key(id));
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net_upstream_registry.rs"]
mod tests;
