//! Routes, which map each frontend to the services that take its flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use bambooseam_types::ServiceName;
use bambooseam_view::FlowKey;

/// Priority of a route that has none in its configuration.
pub const LOWEST_PRIORITY: u32 = u32::MAX;

/// Share of a route's new flows that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route; a service with weight 0 takes no new
    /// flows.
    pub weight: u32,
}

/// A frontend and the services that take its flows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Address and port that callers send to.
    pub frontend: SocketAddrV4,
    /// Services that take the flows of the route.
    pub shares: Vec<Share>,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Priority under overload; 0 is the most urgent.
    pub priority: u32,
    /// Time within which callers want a response. Openings of a route without a goal are placed even
    /// if the service is full.
    pub latency_goal: Option<Duration>,
}

/// Limits of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLimits {
    /// The service.
    pub service: ServiceName,
    /// Openings per second that a cold target can take; `None` if no rate is given.
    pub cold_rate: Option<f64>,
}

/// Routes of one configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routes {
    sorted: Vec<Route>,
    /// Sorted by service.
    services: Vec<ServiceLimits>,
    /// Idle time after which either end may drop a flow.
    pub idle_time: Option<Duration>,
}

impl Routes {
    /// Creates a set of routes. Of several routes with the same frontend, the first is used.
    pub fn new(mut routes: Vec<Route>, idle_time: Option<Duration>) -> Self {
        routes.sort_by_key(|route| route.frontend);
        routes.dedup_by_key(|route| route.frontend);
        Self {
            sorted: routes,
            services: Vec::new(),
            idle_time,
        }
    }

    /// Adds the limits of services. Of several entries for one service, the first is used.
    pub fn with_services(mut self, mut services: Vec<ServiceLimits>) -> Self {
        services.sort_by(|a, b| a.service.cmp(&b.service));
        services.dedup_by(|a, b| a.service == b.service);
        self.services = services;
        self
    }

    /// Limits of the services, sorted by service.
    pub fn services(&self) -> &[ServiceLimits] {
        &self.services
    }

    /// Route of a frontend.
    pub fn find(&self, frontend: SocketAddrV4) -> Option<&Route> {
        let at = self.sorted.binary_search_by_key(&frontend, |r| r.frontend);
        at.ok().map(|at| &self.sorted[at])
    }

    /// Whether a service is among the shares of a route.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.sorted.iter().any(|route| route.has_service(service))
    }

    /// All routes, sorted by frontend.
    pub fn iter(&self) -> std::slice::Iter<'_, Route> {
        self.sorted.iter()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }
}

impl Route {
    /// Service of a new flow; `None` if all weights are 0. The service is selected by the hash of
    /// the flow, so that every transmission of an opening packet gets the same service on every VM.
    pub fn service_of(&self, key: FlowKey) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut remaining = key.get() % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.service);
            }
            remaining -= weight;
        }
        None
    }

    /// Whether a service is among the shares of the route.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.shares.iter().any(|share| share.service == *service)
    }
}
