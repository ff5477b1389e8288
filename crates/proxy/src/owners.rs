//! Owners of slots that run in this process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bambooseam_view::View;

use crate::routes::{TargetGroup, group_slots};
use crate::slots::{Health, OwnerStatus, Policy, SlotOwner};

/// Owners by group, created on first use.
///
/// Any proxy acts as owner when it is asked, because ownership is advisory: if a group has two
/// owners, a target sheds the work that exceeds its capacity.
#[derive(Debug, Default)]
pub struct Owners {
    owners: Mutex<Vec<(TargetGroup, Arc<SlotOwner>)>>,
}

impl Owners {
    /// Returns the owner of a group under `view`, or `None` if the view lacks the service.
    pub fn get(&self, group: &TargetGroup, view: &View) -> Option<Arc<SlotOwner>> {
        let mut owners = self.lock();
        match owners.binary_search_by(|(key, _)| key.cmp(group)) {
            Ok(index) => Some(Arc::clone(&owners[index].1)),
            Err(index) => {
                let (policy, targets) = group_slots(view, group)?;
                let owner = SlotOwner::new(policy);
                // A new owner can't tell how long the targets have run, so they count as warm.
                owner.update(policy, targets, Health::warm);
                owners.insert(index, (group.clone(), Arc::clone(&owner)));
                Some(owner)
            }
        }
    }

    /// Applies a new view to all owners.
    pub fn update(&self, view: &View) {
        for (group, owner) in self.lock().iter() {
            let (policy, targets) =
                group_slots(view, group).unwrap_or((Policy::DEFAULT, Vec::new()));
            let ramp_time = policy.ramp_time;
            owner.update(policy, targets, || Health::cold(ramp_time));
        }
    }

    /// Starts work on targets that have become usable as time passed.
    pub fn tick(&self) {
        for (_, owner) in self.lock().iter() {
            owner.tick();
        }
    }

    /// Returns the counts of all owners.
    pub fn status(&self) -> Vec<(TargetGroup, OwnerStatus)> {
        let owners = self.lock();
        let statuses = owners
            .iter()
            .map(|(group, owner)| (group.clone(), owner.status()));
        statuses.collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(TargetGroup, Arc<SlotOwner>)>> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
