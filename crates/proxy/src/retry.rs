//! Budget that keeps retries a small part of the load.

use std::sync::{Mutex, PoisonError};

/// Most retries that may be saved up.
const MAX_BALANCE: f64 = 10.0;

/// Retries that first tries have paid for.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a first try; `share` is the retries allowed, in percent of first tries.
    pub fn deposit(&self, share: u8) {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        *balance = (*balance + f64::from(share) / 100.0).min(MAX_BALANCE);
    }

    /// Takes one retry out; false when none is left.
    pub fn withdraw(&self) -> bool {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        // Sums of a tenth fall just short of a whole one.
        if *balance < 1.0 - 1e-6 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
