//! Retry budget that bounds retries to a small fraction of the load.

use std::sync::{Mutex, PoisonError};

/// Maximum balance, in retries.
const MAX_BALANCE: f64 = 10.0;

/// A budget to which first attempts deposit and from which retries withdraw.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Deposits for a first attempt; `share` is the number of allowed retries in percent of first
    /// attempts.
    pub fn deposit(&self, share: u8) {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        *balance = (*balance + f64::from(share) / 100.0).min(MAX_BALANCE);
    }

    /// Withdraws one retry. Returns false if the balance is too low.
    pub fn withdraw(&self) -> bool {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        // The tolerance covers rounding: ten deposits of 0.1 sum to slightly less than 1.
        if *balance < 1.0 - 1e-6 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
