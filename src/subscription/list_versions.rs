//! The order of host lists: an older one never replaces a newer one.

/// What the subscription has to know of a snapshot or a delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpdateInfo {
    /// Version of the list.
    pub version: u64,
    /// Whether this is a snapshot; otherwise it is a delta.
    pub is_snapshot: bool,
    /// Whether some of its entries could not be decoded.
    pub has_invalid_entries: bool,
}

/// The version of the list that is in force, and whether a part of it is missing.
#[derive(Debug)]
pub(super) struct ListVersions {
    applied: u64,
    snapshot_needed: bool,
}

impl ListVersions {
    /// Starts from a list that was saved; version 0 stands for none.
    pub fn new(saved_version: u64) -> ListVersions {
        ListVersions { applied: saved_version, snapshot_needed: false }
    }

    /// The version that is in force.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The version after which the next call asks for changes; 0 requests a snapshot.
    pub fn resume_from(&self) -> u64 {
        if self.snapshot_needed { 0 } else { self.applied }
    }

    /// Whether an update was lost, which later deltas do not repeat.
    pub fn snapshot_needed(&self) -> bool {
        self.snapshot_needed
    }

    /// Records that an update was lost.
    pub fn request_snapshot(&mut self) {
        self.snapshot_needed = true;
    }

    /// Accepts an update unless it is older than the list in force. Returns whether it is to be applied.
    pub fn accept(&mut self, update: UpdateInfo) -> bool {
        if update.version < self.applied {
            return false;
        }
        self.applied = update.version;
        self.snapshot_needed = update.has_invalid_entries || (self.snapshot_needed && !update.is_snapshot);
        true
    }
}
