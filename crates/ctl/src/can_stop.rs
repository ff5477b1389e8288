//! `can-stop`: whether stopping a VM or target now would break something.
//!
//! The answer is yes only when everybody who had to be asked says so. Somebody who can't be
//! reached, or does not tell, makes it unknown.

mod counts;

use std::fmt::{self, Display, Formatter};

use bambooseam_config::{TargetState, VmState};
use bambooseam_types::{TargetId, VmId};
use bambooseam_view::{Target, View, Vm, VmHealth};
use clap::ArgMatches;
use serde_json::{Value, json};

use crate::Outcome;
use crate::documents::single_finding;
use crate::explain::{NamedView, read_views};
use crate::fleet::{VmResponse, fetch_all, read_fleet};
use crate::report::{BadInput, Report, print};
use crate::status::response_timeout;

/// Whether something may be stopped, and why not.
#[derive(Debug)]
pub struct StopReport {
    /// VM or target.
    pub subject: String,
    /// What speaks against it; empty for yes.
    pub reasons: Vec<Reason>,
}

/// What speaks against a stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// Something would break.
    Breaks(String),
    /// Somebody could not be asked or does not tell.
    Unknown(String),
}

/// Runs the subcommand.
pub async fn run(matches: &ArgMatches) -> Outcome {
    match matches.subcommand() {
        Some(("vm", matches)) => {
            let id = matches.get_one::<VmId>("stop-vm");
            answer(matches, |view, fleet| can_stop_vm(view, fleet, id?)).await
        }
        Some(("target", matches)) => {
            let id = matches.get_one::<TargetId>("stop-target");
            answer(matches, |view, fleet| can_stop_target(view, fleet, id?)).await
        }
        _ => Outcome::BadInput,
    }
}

/// Reads view and fleet, and prints the answer.
async fn answer(
    matches: &ArgMatches,
    ask: impl Fn(&View, &[VmResponse]) -> Option<StopReport>,
) -> Outcome {
    let views = match read_views(matches).await {
        Ok(views) => views,
        Err(findings) => return print(matches, &BadInput(findings)),
    };
    let fleet = match read_fleet(matches) {
        Ok(vms) => fetch_all(&vms, response_timeout(matches)).await,
        Err(findings) => return print(matches, &BadInput(findings)),
    };
    let Some(NamedView::Known { view, .. }) = views.first() else {
        return Outcome::BadInput;
    };
    match ask(view, &fleet) {
        Some(report) => print(matches, &report),
        None => {
            let unknown = single_finding("command line", "an unknown name", "one of the list", "");
            print(matches, &BadInput(unknown))
        }
    }
}

/// Whether a VM may be stopped; `None` when the view does not list it.
pub fn can_stop_vm(view: &View, fleet: &[VmResponse], id: &VmId) -> Option<StopReport> {
    let vm = view.vm(id)?;
    let mut report = StopReport::new(id.to_string());
    if vm.entry.state == VmState::Live {
        report.breaks("it is announced as live: publish it as leaving first");
    }
    report.check_remaining(view, vm);
    report.check_agents(fleet, id);
    let own = fleet.iter().find(|response| response.vm() == id.as_str());
    match own {
        Some(response) => report.check_work(response),
        None => report.unknown("its programs were not asked about work in progress"),
    }
    Some(report)
}

/// Whether a target may be stopped; `None` when the view does not list it.
pub fn can_stop_target(view: &View, fleet: &[VmResponse], id: &TargetId) -> Option<StopReport> {
    let target = view.targets.iter().find(|held| held.entry.id == *id)?;
    let mut report = StopReport::new(id.to_string());
    if target.entry.state == TargetState::Live {
        report.breaks("it is announced as live: publish it as leaving first");
    }
    let others = view.targets_of(target.service);
    if !others
        .iter()
        .any(|other| other.entry.id != *id && other.is_open())
    {
        let service = &target.entry.service;
        report.breaks(format!("no other target of {service} takes new work"));
    }
    if fleet.is_empty() {
        report.unknown("no VM was asked about work in progress");
    }
    for response in fleet {
        report.check_target(view, response, target);
    }
    Some(report)
}

impl StopReport {
    fn new(subject: String) -> Self {
        Self {
            subject,
            reasons: Vec::new(),
        }
    }

    fn breaks(&mut self, why: impl Into<String>) {
        self.reasons.push(Reason::Breaks(why.into()));
    }

    fn unknown(&mut self, why: impl Into<String>) {
        self.reasons.push(Reason::Unknown(why.into()));
    }

    /// Checks that somebody remains who serves the VM's zone.
    fn check_remaining(&mut self, view: &View, vm: &Vm) {
        let others = view
            .vms
            .iter()
            .filter(|other| other.entry.id != vm.entry.id);
        let mut live = others
            .filter(|other| other.health == VmHealth::Live)
            .peekable();
        if live.peek().is_none() {
            return self.breaks("no other VM is live");
        }
        if live.any(|other| other.entry.zone == vm.entry.zone) {
            return;
        }
        let zone = &vm.entry.zone;
        self.breaks(format!(
            "no other VM of zone {zone} is live: cut off, the zone would serve nothing"
        ));
    }

    /// Checks that every other agent has taken the VM out of service.
    fn check_agents(&mut self, fleet: &[VmResponse], id: &VmId) {
        if fleet.iter().all(|response| response.vm() == id.as_str()) {
            self.unknown("no other VM was asked whether it still sends work there");
        }
        for response in fleet {
            let name = response.vm();
            if name == id.as_str() {
                continue;
            }
            let Some(agent) = response.agent.status() else {
                self.unknown(format!(
                    "{name} can't be reached: it may still send work there"
                ));
                continue;
            };
            let held = agent.health.iter().find(|held| held.vm == id.as_str());
            if held.is_some_and(|held| held.health == "live") {
                self.breaks(format!("{name} still takes it for live"));
            }
        }
    }

    /// Checks what the VM's own programs have in progress.
    fn check_work(&mut self, response: &VmResponse) {
        match response.proxy.status().and_then(counts::open_feeds) {
            Some(0) => {}
            Some(count) => self.breaks(format!("its proxy has {count} upgraded connections")),
            None => self.unknown("its proxy does not tell of upgraded connections"),
        }
        let left = response.forwarder.status().and_then(counts::handover_left);
        match left {
            Some(0) => {}
            Some(count) => self.breaks(format!("its forwarder has {count} flows to hand over")),
            None => self.unknown("its forwarder does not tell of flows to hand over"),
        }
    }

    /// Checks what one VM has in progress on a target.
    fn check_target(&mut self, view: &View, response: &VmResponse, target: &Target) {
        let name = response.vm();
        let flows = response.forwarder.status();
        match flows.and_then(|status| counts::flows_of(status, target)) {
            Some(0) => {}
            Some(count) => self.breaks(format!("{name} has {count} flows to it")),
            None => self.unknown(format!(
                "the forwarder of {name} does not tell that it is leaving"
            )),
        }
        if view.service(target.service).request_port.is_none() {
            return;
        }
        let requests = response.proxy.status();
        match requests.and_then(|status| counts::requests_beside(status, target)) {
            Some(0) => {}
            Some(count) => {
                let (service, zone) = (&target.entry.service, &target.entry.zone);
                self.unknown(format!(
                    "{name} runs {count} requests on targets of {service} in {zone}, maybe on it"
                ));
            }
            None => self.unknown(format!("the proxy of {name} does not tell of its requests")),
        }
    }
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Breaks(why) => write!(f, "no: {why}"),
            Self::Unknown(why) => write!(f, "unknown: {why}"),
        }
    }
}

impl Display for StopReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for reason in &self.reasons {
            writeln!(f, "{reason}")?;
        }
        let answer = self.answer();
        write!(
            f,
            "subject={} can_stop={answer} result={}",
            self.subject,
            self.outcome()
        )
    }
}

impl StopReport {
    /// The answer in one word.
    fn answer(&self) -> &'static str {
        match self.outcome() {
            Outcome::Good => "yes",
            Outcome::Failed => "no",
            _ => "unknown",
        }
    }
}

impl Report for StopReport {
    fn to_json(&self) -> Value {
        json!({
            "subject": self.subject,
            "can_stop": self.answer(),
            "reasons": self.reasons.iter().map(Reason::to_string).collect::<Vec<_>>(),
        })
    }

    fn outcome(&self) -> Outcome {
        if self
            .reasons
            .iter()
            .any(|reason| matches!(reason, Reason::Breaks(_)))
        {
            return Outcome::Failed;
        }
        match self.reasons.is_empty() {
            true => Outcome::Good,
            false => Outcome::Unknown,
        }
    }
}
