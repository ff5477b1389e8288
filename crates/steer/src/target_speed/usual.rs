//! Usual response times of a service's targets, by route and by load.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::ServiceName;

/// Number of load levels.
pub const LEVELS: usize = 3;

/// Responses after which a mean counts, and the largest weight of a mean against a response.
const MIN_RESPONSES: u32 = 16;
const MEAN_WEIGHT: u32 = 64;

/// Number of responses that the mean of all levels counts as in the mean of one level.
const PRIOR_WEIGHT: f32 = 8.0;

/// Response times relative to the mean beyond which they count as this bound, so that refusals and
/// single long requests move the mean little.
const MIN_STEP: f32 = 0.5;
const MAX_STEP: f32 = 4.0;

/// Time and length relative to the mean below which a response may be a refusal. At a target twice
/// as fast as usual, one response of forty is as fast.
const SHORT_TIME: f32 = 0.2;
const SHORT_LENGTH: f32 = 0.25;

/// Load of a target when a request begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Level {
    /// At most half of the slots are in use, including the request.
    Half,
    /// At most all slots are in use.
    Full,
    /// More requests than slots; the value is their ratio.
    Queued(f32),
}

/// Usual response times of one kind of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UsualTimes {
    /// Mean time in microseconds, divided by the queue of its level.
    all: Mean,
    levels: [Mean; LEVELS],
    /// Bytes that the first acknowledgement of a response covers.
    length: Mean,
}

/// How a response compares with usual ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plausibility {
    /// The response may be that of a request that was processed.
    Usual,
    /// The response is much faster or much shorter than usual.
    Doubtful,
    /// The response is much faster and much shorter than usual.
    Refusal,
}

/// Usual response times of all routes and services.
#[derive(Debug, Default)]
pub struct UsualTable {
    /// Sorted by frontend and service.
    routes: Vec<((SocketAddrV4, ServiceName), UsualTimes)>,
    /// Sorted by service.
    services: Vec<(ServiceName, UsualTimes)>,
}

/// Moving average.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Mean {
    value: f32,
    count: u32,
}

impl Level {
    /// One value of each level.
    pub const ALL: [Self; LEVELS] = [Self::Half, Self::Full, Self::Queued(1.0)];

    /// Level of a request that begins while `in_progress` others are in progress.
    pub fn of(in_progress: u32, capacity: u32) -> Self {
        let busy = in_progress.saturating_add(1);
        let capacity = capacity.max(1);
        if busy > capacity {
            Self::Queued(busy as f32 / capacity as f32)
        } else if busy <= capacity / 2 {
            Self::Half
        } else {
            Self::Full
        }
    }

    /// Index of the level in arrays.
    pub const fn index(self) -> usize {
        match self {
            Self::Half => 0,
            Self::Full => 1,
            Self::Queued(_) => 2,
        }
    }

    /// Factor by which a request takes longer because others are ahead of it.
    pub const fn queue(self) -> f32 {
        match self {
            Self::Half | Self::Full => 1.0,
            Self::Queued(ratio) => ratio,
        }
    }
}

impl UsualTimes {
    /// Records a response time, and the bytes that its first acknowledgement covers.
    pub fn record(&mut self, time: Duration, length: u32, level: Level) {
        let mut micros = time.as_secs_f32() * 1e6 / level.queue();
        if self.all.count >= MIN_RESPONSES {
            let mean = self.all.value;
            micros = micros.clamp(mean * MIN_STEP, mean * MAX_STEP);
        }
        self.all.record(micros);
        self.levels[level.index()].record(micros);
        self.length.record(length as f32);
    }

    /// Expected response time at a load; `None` before enough responses were seen.
    pub fn expected(&self, level: Level) -> Option<Duration> {
        if self.all.count < MIN_RESPONSES {
            return None;
        }
        let micros = self.by_level()[level.index()] * level.queue();
        Some(Duration::from_secs_f32(micros / 1e6))
    }

    /// Expected response times in microseconds by level, divided by the queue of the level.
    pub fn by_level(&self) -> [f32; LEVELS] {
        self.levels.map(|level| {
            let weight = level.count as f32;
            (PRIOR_WEIGHT * self.all.value + weight * level.value) / (PRIOR_WEIGHT + weight)
        })
    }

    /// Whether a response may be a refusal: a target that refuses is not fast.
    pub fn plausibility(&self, time: Duration, length: u32, level: Level) -> Plausibility {
        let Some(expected) = self.expected(level) else {
            return Plausibility::Usual;
        };
        let is_fast = time.as_secs_f32() < expected.as_secs_f32() * SHORT_TIME;
        let is_short = (length as f32) < self.length.value * SHORT_LENGTH;
        match (is_fast, is_short) {
            (false, false) => Plausibility::Usual,
            (true, true) => Plausibility::Refusal,
            _ => Plausibility::Doubtful,
        }
    }
}

impl UsualTable {
    /// Usual times of a service's requests on a route.
    pub fn of_route(&self, frontend: SocketAddrV4, service: &ServiceName) -> Option<&UsualTimes> {
        let at = self.find_route(frontend, service).ok()?;
        Some(&self.routes[at].1)
    }

    /// Usual times of all requests of a service.
    pub fn of_service(&self, service: &ServiceName) -> Option<&UsualTimes> {
        let at = self.find_service(service).ok()?;
        Some(&self.services[at].1)
    }

    /// Records a response on a route.
    pub fn record(
        &mut self,
        (frontend, service): (SocketAddrV4, &ServiceName),
        time: Duration,
        length: u32,
        level: Level,
    ) {
        let at = self.find_route(frontend, service).unwrap_or_else(|at| {
            let key = (frontend, service.clone());
            self.routes.insert(at, (key, UsualTimes::default()));
            at
        });
        self.routes[at].1.record(time, length, level);
        let at = self.find_service(service).unwrap_or_else(|at| {
            self.services
                .insert(at, (service.clone(), UsualTimes::default()));
            at
        });
        self.services[at].1.record(time, length, level);
    }

    /// Removes the routes and services for which `is_kept` is false.
    pub fn retain(
        &mut self,
        mut has_route: impl FnMut(SocketAddrV4) -> bool,
        mut has_service: impl FnMut(&ServiceName) -> bool,
    ) {
        self.routes
            .retain(|((frontend, service), _)| has_route(*frontend) && has_service(service));
        self.services.retain(|(service, _)| has_service(service));
    }

    fn find_route(&self, frontend: SocketAddrV4, service: &ServiceName) -> Result<usize, usize> {
        self.routes.binary_search_by(|((other, name), _)| {
            other.cmp(&frontend).then_with(|| name.cmp(service))
        })
    }

    fn find_service(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services
            .binary_search_by(|(other, _)| other.cmp(service))
    }
}

impl Mean {
    fn record(&mut self, value: f32) {
        self.count = (self.count + 1).min(MEAN_WEIGHT);
        self.value += (value - self.value) / self.count as f32;
    }
}
