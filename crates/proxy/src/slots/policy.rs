//! Scheduling policy of an owner: the queue discipline and the slots reserved for each class.

use std::time::Duration;

/// Order in which waiting work starts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QueueDiscipline {
    /// First in, first out across both classes.
    Fifo,
    /// Short work before long work.
    ShortFirst,
    /// Short work first, and a fixed number of slots that long work never takes.
    FixedReserve(u32),
    /// Short work first, and a reserve that follows the short fraction of the offered work.
    AdaptiveReserve,
}

/// Scheduling parameters of an owner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Order in which waiting work starts.
    pub discipline: QueueDiscipline,
    /// Time in which a cold target reaches its full share.
    pub ramp_time: Duration,
    /// Maximum percentage of targets that may be ejected at a time.
    pub eject_share: u8,
    /// Wait after which long work takes precedence over short work on some slots.
    pub aging_time: Duration,
    /// The owner's share of the service's slots.
    pub share: SlotShare,
}

/// Position of an owner's slots among all slots of a service, in a fixed order of owners.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotShare {
    /// Number of slots of the owners before this one.
    pub offset: u32,
    /// Number of slots of all owners.
    pub total: u32,
}

/// One slot in this many may run long work at any time.
const LONG_FLOOR_DIVISOR: u32 = 8;

/// One slot in this many may run long work that has waited longer than `Policy::aging_time`.
const AGED_FLOOR_DIVISOR: u32 = 3;

impl Policy {
    /// Default policy of a service.
    pub const DEFAULT: Self = Self {
        discipline: QueueDiscipline::AdaptiveReserve,
        ramp_time: Duration::from_secs(10),
        eject_share: 30,
        aging_time: Duration::from_secs(1),
        share: SlotShare {
            offset: 0,
            total: 0,
        },
    };

    /// Sets the queue discipline.
    pub fn with_discipline(mut self, discipline: QueueDiscipline) -> Self {
        self.discipline = discipline;
        self
    }

    /// Sets the owner's share.
    pub fn with_share(mut self, share: SlotShare) -> Self {
        self.share = share;
        self
    }

    /// Returns how many of `slots` are reserved for short work, where `short_fraction` is the
    /// fraction of the offered work that is short.
    pub fn reserve(&self, slots: u32, short_fraction: f64) -> u32 {
        let reserve = match self.discipline {
            QueueDiscipline::Fifo | QueueDiscipline::ShortFirst => 0,
            QueueDiscipline::FixedReserve(reserve) => self.share.of(f64::from(reserve), slots),
            // Dividing the slots in proportion to the work gives both classes the same utilisation.
            QueueDiscipline::AdaptiveReserve => self.share.of_fraction(short_fraction, slots),
        };
        reserve.min(slots.saturating_sub(self.long_floor(slots)))
    }

    /// Returns how many of `slots` may run long work even while short work waits.
    pub fn long_floor(&self, slots: u32) -> u32 {
        self.share
            .of_fraction(1.0 / f64::from(LONG_FLOOR_DIVISOR), slots)
    }

    /// Same as [`Self::long_floor`], for long work that has waited for `waited`.
    pub fn floor_after(&self, waited: Duration, slots: u32) -> u32 {
        if waited <= self.aging_time {
            return self.long_floor(slots);
        }
        self.share
            .of_fraction(1.0 / f64::from(AGED_FLOOR_DIVISOR), slots)
    }
}

impl SlotShare {
    /// Returns this owner's share of `count` slots that are set for the whole service.
    fn of(self, count: f64, slots: u32) -> u32 {
        self.of_fraction(count / f64::from(self.total.max(slots).max(1)), slots)
    }

    /// Returns this owner's number of slots for a fraction of the service's slots.
    ///
    /// Rounding is cumulative along the order of owners, so that small owners together reserve as
    /// many slots as one large owner would.
    fn of_fraction(self, fraction: f64, slots: u32) -> u32 {
        let cumulative = |count: u32| (fraction * f64::from(count)).round() as u32;
        cumulative(self.offset + slots) - cumulative(self.offset)
    }
}
