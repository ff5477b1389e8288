//! Checks from a caller's side whether a VM has applied a change of configuration.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use bambooseam_standin::site::CallerHost;
use tokio::time::timeout;

/// Timeout for opening a flow.
pub(crate) const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Check of whether a VM accepts flows at a frontend.
pub(crate) struct ChangeCheck {
    /// Caller that opens the flow.
    pub caller: Arc<CallerHost>,
    /// Address at which the VM receives packets.
    pub vm: SocketAddr,
    /// Frontend of the flow.
    pub frontend: SocketAddrV4,
    /// Whether the frontend should have a route.
    pub has_route: bool,
}

impl ChangeCheck {
    /// Runs the check; returns what is wrong, or `None`.
    pub async fn run(self) -> Option<String> {
        let opened = timeout(OPEN_TIMEOUT, self.caller.open(self.frontend, Some(self.vm))).await;
        match (opened, self.has_route) {
            (Ok(Ok(flow)), true) => {
                flow.close().await;
                None
            }
            (Ok(Err(error)), true) => Some(format!(
                "flow to {} does not open: {error:?}",
                self.frontend
            )),
            (Err(_), true) => Some(format!(
                "flow to {} does not open within the timeout",
                self.frontend
            )),
            (Ok(Ok(_)), false) => Some(format!("flow to {} opens without a route", self.frontend)),
            (_, false) => None,
        }
    }
}
