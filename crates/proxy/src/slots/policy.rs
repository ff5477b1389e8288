//! Rules by which an owner orders work.

use std::time::Duration;

/// Order in which waiting work starts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QueueDiscipline {
    /// In order of arrival.
    Fifo,
    /// Short work before long work.
    ShortFirst,
    /// Short work first, and a fixed number of slots that long work never takes.
    FixedReserve(u32),
    /// Short work first, and a reserve that follows the measured load.
    AdaptiveReserve,
}

/// What an owner does with its slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Order of work.
    pub discipline: QueueDiscipline,
    /// Time over which a cold target reaches its full share.
    pub ramp_time: Duration,
    /// Targets that may be ejected, in percent.
    pub eject_share: u8,
    /// Wait after which long work goes before short work on some slots.
    pub aging_time: Duration,
    /// The owner's part of the service's slots.
    pub share: SlotShare,
}

/// Where an owner's slots lie among all slots of a service, in a fixed order of owners.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotShare {
    /// Slots of the owners before this one.
    pub offset: u32,
    /// Slots of all owners.
    pub total: u32,
}

/// One slot in this many may always run long work.
const LONG_FLOOR_DIVISOR: u32 = 8;

/// One slot in this many may run long work that has waited out its aging_time.
const AGED_FLOOR_DIVISOR: u32 = 3;

impl Policy {
    /// The usual policy of a service.
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

    /// Sets the rule.
    pub fn with_discipline(mut self, discipline: QueueDiscipline) -> Self {
        self.discipline = discipline;
        self
    }

    /// Sets the owner's share.
    pub fn with_share(mut self, share: SlotShare) -> Self {
        self.share = share;
        self
    }

    /// Slots that long work leaves free, of `slots`, when a part `short` of the work is short.
    pub fn reserve(&self, slots: u32, short: f64) -> u32 {
        let reserve = match self.discipline {
            QueueDiscipline::Fifo | QueueDiscipline::ShortFirst => 0,
            QueueDiscipline::FixedReserve(reserve) => self.share.of(f64::from(reserve), slots),
            // Divided in proportion to the work, both classes see the same utilisation.
            QueueDiscipline::AdaptiveReserve => self.share.of_fraction(short, slots),
        };
        reserve.min(slots.saturating_sub(self.long_floor(slots)))
    }

    /// Slots of `slots` that long work may hold although short work waits.
    pub fn long_floor(&self, slots: u32) -> u32 {
        self.share
            .of_fraction(1.0 / f64::from(LONG_FLOOR_DIVISOR), slots)
    }

    /// The same for long work that has waited for `waited`.
    pub fn floor_after(&self, waited: Duration, slots: u32) -> u32 {
        if waited <= self.aging_time {
            return self.long_floor(slots);
        }
        self.share
            .of_fraction(1.0 / f64::from(AGED_FLOOR_DIVISOR), slots)
    }
}

impl SlotShare {
    /// This owner's part of a number of slots that is given for the whole service.
    fn of(self, count: f64, slots: u32) -> u32 {
        self.of_fraction(count / f64::from(self.total.max(slots).max(1)), slots)
    }

    /// Slots that a part of the service's slots gives this owner.
    ///
    /// Parts are rounded along the order of owners, so that small owners together reserve as many
    /// as one large owner would.
    fn of_fraction(self, fraction: f64, slots: u32) -> u32 {
        let cumulative = |count: u32| (fraction * f64::from(count)).round() as u32;
        cumulative(self.offset + slots) - cumulative(self.offset)
    }
}
