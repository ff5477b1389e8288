//! Whether a VM follows a change, as a caller sees it.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use bambooseam_standin::site::CallerHost;
use tokio::time::timeout;

/// Longest time that a caller tries to open a flow.
pub(crate) const OPEN_TIME: Duration = Duration::from_millis(1_500);

/// Whether a VM lets flows in at an entrance.
pub(crate) struct ChangeCheck {
    /// Who opens flows.
    pub caller: Arc<CallerHost>,
    /// Where the VM receives.
    pub vm: SocketAddr,
    /// The entrance.
    pub entrance: SocketAddrV4,
    /// Whether it has a route.
    pub is_there: bool,
}

impl ChangeCheck {
    /// What is wrong, if anything.
    pub async fn run(self) -> Option<String> {
        let opened = timeout(OPEN_TIME, self.caller.open(self.entrance, Some(self.vm))).await;
        match (opened, self.is_there) {
            (Ok(Ok(flow)), true) => {
                flow.close().await;
                None
            }
            (Ok(Err(error)), true) => Some(format!("{} does not open: {error:?}", self.entrance)),
            (Err(_), true) => Some(format!("{} does not open", self.entrance)),
            (Ok(Ok(_)), false) => Some(format!("{} still opens", self.entrance)),
            (_, false) => None,
        }
    }
}
