//! Light load on the whole system: feeds through the fabric, and requests to both services.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_standin::caller::{Call, Callers, Load};
use bambooseam_standin::deployment::{DOWNLOADS_PORT, FEED_PORT, ORDERS_PORT};
use bambooseam_standin::feed::FeedReport;
use bambooseam_standin::{Fabric, Feed};

use super::system::System;

/// Interval between two datagrams of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(250);
/// Mean pause between the requests of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(40);
/// Fraction of long work among downloads.
const LONG_FRACTION: f64 = 0.05;
/// Fraction of orders among the requests to the orders service.
const ORDER_FRACTION: f64 = 0.5;
/// Number of the fabric's address among the callers' addresses.
const FABRIC_ADDRESS: u8 = 0;
/// Number of the feeds' address among the callers' addresses.
const FEED_ADDRESS: u8 = 1;

/// Amount of load.
#[derive(Debug, Clone, Copy)]
pub struct TrafficPlan {
    /// Number of open feeds.
    pub feeds: usize,
    /// Number of callers of orders; downloads have half as many.
    pub callers: usize,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// The running load.
#[derive(Debug)]
pub struct Traffic {
    fabric: Arc<Fabric>,
    service: SocketAddr,
    feed_address: SocketAddr,
    feeds: Vec<Feed>,
    ended: Vec<FeedReport>,
    orders: Callers,
    downloads: Callers,
}

impl Traffic {
    /// Starts all feeds and callers.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn start(system: &System, plan: TrafficPlan) -> io::Result<Self> {
        let any_port = |number| SocketAddr::new(system.caller_address(number), 0);
        let fabric = Fabric::open(any_port(FABRIC_ADDRESS), system.forwarders(), plan.seed).await?;
        let load = |name: &str, port, callers, long_share, order_share, salt| Load {
            name: name.into(),
            vms: system.request_addresses(port),
            callers,
            pause: CALL_PAUSE,
            long_share,
            order_share,
            seed: plan.seed ^ salt,
        };
        let half = plan.callers.div_ceil(2);
        let orders = load(
            "order",
            ORDERS_PORT,
            plan.callers,
            0.0,
            ORDER_FRACTION,
            1 << 32,
        );
        let downloads = load("file", DOWNLOADS_PORT, half, LONG_FRACTION, 0.0, 1 << 33);
        let mut traffic = Self {
            fabric: Arc::new(fabric),
            service: SocketAddr::new(system.plan().service_address(0), FEED_PORT),
            feed_address: any_port(FEED_ADDRESS),
            feeds: Vec::new(),
            ended: Vec::new(),
            orders: Callers::start(orders),
            downloads: Callers::start(downloads),
        };
        traffic.open_feeds(plan.feeds).await?;
        Ok(traffic)
    }

    /// Ends the `count` oldest feeds and opens as many new ones.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn renew_feeds(&mut self, count: usize) -> io::Result<()> {
        let count = count.min(self.feeds.len());
        let old = self.feeds.drain(..count);
        self.ended.extend(old.map(|feed| feed.report()));
        self.open_feeds(count).await
    }

    /// Ends all feeds on a target, as callers do at the end of a shift.
    pub fn end_feeds_of(&mut self, target: &str) {
        let ended = &mut self.ended;
        self.feeds.retain(|feed| {
            let report = feed.report();
            let is_kept = report.target.as_deref() != Some(target);
            if !is_kept {
                ended.push(report);
            }
            is_kept
        });
    }

    /// Sends new packets and connections only to the VMs that the fabric currently uses.
    pub fn update_vms(&self, system: &System) {
        self.fabric.set_forwarders(system.forwarders());
        self.orders.set_vms(system.request_addresses(ORDERS_PORT));
        self.downloads
            .set_vms(system.request_addresses(DOWNLOADS_PORT));
    }

    /// Returns reports of all open feeds.
    pub fn open_reports(&self) -> Vec<FeedReport> {
        self.feeds.iter().map(Feed::report).collect()
    }

    /// Returns reports of all feeds, including ended ones.
    pub fn reports(&self) -> Vec<FeedReport> {
        let mut reports = self.ended.clone();
        reports.extend(self.open_reports());
        reports
    }

    /// Returns the calls that ended since the previous invocation.
    pub fn take_calls(&self) -> Vec<Call> {
        let mut calls = self.orders.take_calls();
        calls.extend(self.downloads.take_calls());
        calls
    }

    /// Stops new requests and waits for the callers' open requests.
    pub async fn finish(&self) {
        self.orders.finish().await;
        self.downloads.finish().await;
    }

    async fn open_feeds(&mut self, count: usize) -> io::Result<()> {
        for _ in 0..count {
            let fabric = Arc::clone(&self.fabric);
            let feed = Feed::open(fabric, self.feed_address, self.service, FEED_INTERVAL);
            self.feeds.push(feed.await?);
        }
        Ok(())
    }
}
