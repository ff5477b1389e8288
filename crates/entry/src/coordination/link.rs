//! Connection between the task of packets and the task of coordination, which share a thread.

use std::cell::RefCell;

use bambooseam_steer::Released;
use tokio::sync::Notify;

/// Connection between the task of packets and this task.
#[derive(Debug, Default)]
pub struct CoordinationLink {
    /// Notified when there are questions to send, or decisions for other VMs.
    wake: Notify,
    /// Notified when held openings may have been decided.
    released: Notify,
    /// Decisions about openings of other VMs that waited.
    decided: RefCell<Vec<Released>>,
}

impl CoordinationLink {
    /// Reports that questions wait to be sent.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits until held openings may have been decided.
    pub async fn released(&self) {
        self.released.notified().await;
    }

    /// Reports that held openings may have been decided.
    pub fn release(&self) {
        self.released.notify_one();
    }

    /// Waits until there are questions to send, or decisions for other VMs.
    pub async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Removes and returns the decisions for other VMs.
    pub fn take_decided(&self) -> Vec<Released> {
        std::mem::take(&mut *self.decided.borrow_mut())
    }

    /// Passes on the decision about an opening that another VM holds.
    pub fn pass_on(&self, released: Released) {
        self.decided.borrow_mut().push(released);
        self.wake.notify_one();
    }
}
