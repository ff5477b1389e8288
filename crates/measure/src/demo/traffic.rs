//! Small load on the whole system: feeds through the fabric and requests of both services.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_standin::caller::{Call, Callers, Load};
use bambooseam_standin::deployment::{DOWNLOADS_PORT, FEED_PORT, ORDERS_PORT};
use bambooseam_standin::feed::FeedReport;
use bambooseam_standin::{Fabric, Feed};

use super::stage::Stage;

/// Time between two datagrams of a feed.
const FEED_PERIOD: Duration = Duration::from_millis(250);
/// Mean pause between the requests of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(40);
/// Share of long work among downloads.
const LONG_SHARE: f64 = 0.05;
/// Share of orders among the requests of the first service.
const ORDER_SHARE: f64 = 0.5;
/// Number of the fabric's own address among the callers' addresses.
const FABRIC_ADDRESS: u8 = 0;
/// Number of the feeds' address among the callers' addresses.
const FEED_ADDRESS: u8 = 1;

/// How much load.
#[derive(Debug, Clone, Copy)]
pub struct TrafficPlan {
    /// Open feeds.
    pub feeds: usize,
    /// Callers of orders; downloads have half as many.
    pub callers: usize,
    /// Seed of all choices.
    pub seed: u64,
}

/// Running load.
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
    /// An error when an address can't be bound.
    pub async fn start(stage: &Stage, plan: TrafficPlan) -> io::Result<Self> {
        let any_port = |number| SocketAddr::new(stage.caller_address(number), 0);
        let fabric = Fabric::open(any_port(FABRIC_ADDRESS), stage.forwarders(), plan.seed).await?;
        let load = |name: &str, port, callers, long_share, order_share, salt| Load {
            name: name.into(),
            vms: stage.entries(port),
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
            ORDER_SHARE,
            1 << 32,
        );
        let downloads = load("file", DOWNLOADS_PORT, half, LONG_SHARE, 0.0, 1 << 33);
        let mut traffic = Self {
            fabric: Arc::new(fabric),
            service: SocketAddr::new(stage.plan().service_address(0), FEED_PORT),
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
    /// An error when an address can't be bound.
    pub async fn renew_feeds(&mut self, count: usize) -> io::Result<()> {
        let count = count.min(self.feeds.len());
        let old = self.feeds.drain(..count);
        self.ended.extend(old.map(|feed| feed.report()));
        self.open_feeds(count).await
    }

    /// Ends all feeds on a target, as at the end of a shift.
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

    /// Sends new packets and connections only to VMs that the fabric has live.
    pub fn follow(&self, stage: &Stage) {
        self.fabric.set_forwarders(stage.forwarders());
        self.orders.set_vms(stage.entries(ORDERS_PORT));
        self.downloads.set_vms(stage.entries(DOWNLOADS_PORT));
    }

    /// Reports of all open feeds.
    pub fn open_reports(&self) -> Vec<FeedReport> {
        self.feeds.iter().map(Feed::report).collect()
    }

    /// Reports of all feeds, ended ones included.
    pub fn reports(&self) -> Vec<FeedReport> {
        let mut reports = self.ended.clone();
        reports.extend(self.open_reports());
        reports
    }

    /// Calls that ended since they were last taken.
    pub fn take_calls(&self) -> Vec<Call> {
        let mut calls = self.orders.take_calls();
        calls.extend(self.downloads.take_calls());
        calls
    }

    /// Lets callers finish their requests.
    pub async fn finish(&self) {
        self.orders.finish().await;
        self.downloads.finish().await;
    }

    async fn open_feeds(&mut self, count: usize) -> io::Result<()> {
        for _ in 0..count {
            let fabric = Arc::clone(&self.fabric);
            let feed = Feed::open(fabric, self.feed_address, self.service, FEED_PERIOD);
            self.feeds.push(feed.await?);
        }
        Ok(())
    }
}
