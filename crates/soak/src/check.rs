//! Whether a VM follows a change, as a caller sees it.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use bambooseam_standin::site::CallerHost;
use tokio::time::timeout;

/// Longest time that a caller tries to open a flow.
pub(crate) const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether a VM lets flows in at an entrance.
pub(crate) struct ChangeCheck {
    /// Who opens flows.
    pub caller: Arc<CallerHost>,
    /// Where the VM receives.
    pub vm: SocketAddr,
    /// The entrance.
    pub frontend: SocketAddrV4,
    /// Whether it has a route.
    pub has_route: bool,
}

impl ChangeCheck {
    /// What is wrong, if anything.
    pub async fn run(self) -> Option<String> {
        let opened = timeout(OPEN_TIMEOUT, self.caller.open(self.frontend, Some(self.vm))).await;
        match (opened, self.has_route) {
            (Ok(Ok(flow)), true) => {
                flow.close().await;
                None
            }
            (Ok(Err(error)), true) => Some(format!("{} does not open: {error:?}", self.frontend)),
            (Err(_), true) => Some(format!("{} does not open", self.frontend)),
            (Ok(Ok(_)), false) => Some(format!("{} still opens", self.frontend)),
            (_, false) => None,
        }
    }
}
