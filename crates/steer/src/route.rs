//! Which service a new flow belongs to.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::ServiceName;
use bambooseam_view::FlowKey;

/// Part of a route's new flows that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other shares; 0 takes no new flow.
    pub weight: u32,
}

/// Where callers reach services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Address and port that callers send to.
    pub frontend: SocketAddrV4,
    /// Services that take its flows.
    pub shares: Vec<Share>,
    /// Longest time that a request may take.
    pub timeout: Duration,
}

/// Routes of one configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Routes {
    sorted: Vec<Route>,
    /// Silence after which either end may forget a flow.
    pub idle_time: Option<Duration>,
}

impl Routes {
    /// Creates routes; of two with one entrance the first counts.
    pub fn new(mut routes: Vec<Route>, idle_time: Option<Duration>) -> Self {
        routes.sort_by_key(|route| route.frontend);
        routes.dedup_by_key(|route| route.frontend);
        Self {
            sorted: routes,
            idle_time,
        }
    }

    /// The route of an entrance.
    pub fn find(&self, frontend: SocketAddrV4) -> Option<&Route> {
        let at = self.sorted.binary_search_by_key(&frontend, |r| r.frontend);
        at.ok().map(|at| &self.sorted[at])
    }

    /// All routes by entrance.
    pub fn iter(&self) -> std::slice::Iter<'_, Route> {
        self.sorted.iter()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }
}

impl Route {
    /// The service of a new flow: the flow's hash decides, so that each copy of an opening packet
    /// gets the same one on every VM.
    pub fn service_of(&self, key: FlowKey) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut left = key.get() % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }

    /// Whether a service takes flows of this route.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.shares.iter().any(|share| share.service == *service)
    }
}
