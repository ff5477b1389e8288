//! Generates the settings files of the entry VMs of a deployment.

use std::net::SocketAddr;

use bambooseam_config::VmEntry;

use crate::Plan;
use crate::deployment::Deployment;

/// Port at which an agent serves views to the other programs of the VM.
pub const VIEW_PORT: u16 = 7101;
/// Admin port of an agent.
pub const AGENT_ADMIN_PORT: u16 = 7110;
/// Admin port of a forwarder.
pub const FORWARDER_ADMIN_PORT: u16 = 7111;
/// Admin port of a proxy.
pub const PROXY_ADMIN_PORT: u16 = 7112;

impl Deployment {
    /// Returns the settings file of a VM.
    ///
    /// All ports are bound to the VM's own address, so that several VMs can share one machine.
    pub fn settings(&self, vm: &VmEntry, platform: SocketAddr) -> String {
        let address = vm.agent.ip();
        let peers: Vec<String> = self
            .vms
            .0
            .iter()
            .filter(|peer| peer.id != vm.id)
            .map(|peer| peer.agent.to_string())
            .collect();
        format!(
            "[vm]\nid = {}\nzone = {}\naddress = {address}\n\n\
             [platform]\naddresses = {platform}\nprefix = {}\n\n\
             [agent]\nlisten = {}\nviews = {}\nadmin = {}\npeers = {}\n\n\
             [forwarder]\nlisten = {}\nadmin = {}\n\n\
             [proxy]\naddress = {address}\nlisten = {}\nadmin = {}\n",
            vm.id,
            vm.zone,
            Plan::PREFIX,
            vm.agent,
            SocketAddr::new(address, VIEW_PORT),
            SocketAddr::new(address, AGENT_ADMIN_PORT),
            peers.join(", "),
            vm.forwarder,
            SocketAddr::new(address, FORWARDER_ADMIN_PORT),
            vm.proxy,
            SocketAddr::new(address, PROXY_ADMIN_PORT),
        )
    }
}
