//! The subscription to discovery as a state machine without I/O and without a clock: when a sidecar calls discovery,
//! which of its connections it keeps, and which lists it applies. The network code opens and closes the connections and
//! reports what arrives on them.
//!
//! A call is not given up because it is late: further calls are made beside it, and the first answer ends the others.
//! The same holds for a watch that has fallen silent and, after a change of the address, for the connections to the
//! former one. This serves both modes of membership and reloads of the configuration.

mod call_schedule;
mod connections;
mod list_versions;
mod request_schedule;
mod state;

pub use connections::{ConnectionId, MAX_CONNECTIONS, WATCH_IDLE_TIMEOUT};
pub use list_versions::UpdateInfo;
pub(crate) use request_schedule::RequestSchedule;
pub use state::{Action, Subscription, SubscriptionSettings, UpdateVerdict};
