//! `can-stop`: checks whether stopping a VM or target now would interrupt service or work in
//! progress.
//!
//! The answer is yes only if every program that had to be queried confirms it. If a program can't
//! be reached or does not report the required status, the answer is unknown.

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

/// Whether a VM or target may be stopped, with the reasons against it.
#[derive(Debug)]
pub struct StopReport {
    /// Identifier of the VM or target.
    pub subject: String,
    /// Reasons against the stop; empty if it may be stopped.
    pub reasons: Vec<Reason>,
}

/// Reason against a stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// The stop would interrupt service or work in progress.
    Breaks(String),
    /// A program could not be queried or does not report the required status.
    Unknown(String),
}

/// Runs the subcommand.
pub async fn run(matches: &ArgMatches) -> Outcome {
    match matches.subcommand() {
        Some(("vm", matches)) => {
            let id = matches.get_one::<VmId>("stop-vm");
            print_answer(matches, |view, fleet| can_stop_vm(view, fleet, id?)).await
        }
        Some(("target", matches)) => {
            let id = matches.get_one::<TargetId>("stop-target");
            print_answer(matches, |view, fleet| can_stop_target(view, fleet, id?)).await
        }
        _ => Outcome::BadInput,
    }
}

/// Reads the view and the status of the fleet, and prints the answer.
async fn print_answer(
    matches: &ArgMatches,
    check: impl Fn(&View, &[VmResponse]) -> Option<StopReport>,
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
    match check(view, &fleet) {
        Some(report) => print(matches, &report),
        None => {
            let unknown = single_finding(
                "command line",
                "a name that the view does not list",
                "a VM or target of the view",
                "",
            );
            print(matches, &BadInput(unknown))
        }
    }
}

/// Checks whether a VM may be stopped; `None` if the view does not list the VM.
pub fn can_stop_vm(view: &View, fleet: &[VmResponse], id: &VmId) -> Option<StopReport> {
    let vm = view.vm(id)?;
    let mut report = StopReport::new(id.to_string());
    if vm.entry.state == VmState::Live {
        report.add_breaks("the VM is published as live: publish it as leaving first");
    }
    report.check_remaining(view, vm);
    report.check_agents(fleet, id);
    let own_response = fleet.iter().find(|response| response.vm() == id.as_str());
    match own_response {
        Some(response) => report.check_work(response),
        None => report.add_unknown("the VM's programs were not queried for work in progress"),
    }
    Some(report)
}

/// Checks whether a target may be stopped; `None` if the view does not list the target.
pub fn can_stop_target(view: &View, fleet: &[VmResponse], id: &TargetId) -> Option<StopReport> {
    let target = view.targets.iter().find(|target| target.entry.id == *id)?;
    let mut report = StopReport::new(id.to_string());
    if target.entry.state == TargetState::Live {
        report.add_breaks("the target is published as live: publish it as leaving first");
    }
    let service_targets = view.targets_of(target.service);
    if !service_targets
        .iter()
        .any(|other| other.entry.id != *id && other.is_open())
    {
        let service = &target.entry.service;
        report.add_breaks(format!("no other target of {service} accepts new work"));
    }
    if fleet.is_empty() {
        report.add_unknown("no VM was queried for work in progress");
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

    fn add_breaks(&mut self, why: impl Into<String>) {
        self.reasons.push(Reason::Breaks(why.into()));
    }

    fn add_unknown(&mut self, why: impl Into<String>) {
        self.reasons.push(Reason::Unknown(why.into()));
    }

    /// Checks that another VM of the zone is live, so that the zone has service when partitioned.
    fn check_remaining(&mut self, view: &View, vm: &Vm) {
        let others = view
            .vms
            .iter()
            .filter(|other| other.entry.id != vm.entry.id);
        let mut live = others
            .filter(|other| other.health == VmHealth::Live)
            .peekable();
        if live.peek().is_none() {
            return self.add_breaks("no other VM is live");
        }
        if live.any(|other| other.entry.zone == vm.entry.zone) {
            return;
        }
        let zone = &vm.entry.zone;
        self.add_breaks(format!(
            "no other VM of zone {zone} is live: if partitioned, the zone would have no service"
        ));
    }

    /// Checks that no other agent reports the VM as live.
    fn check_agents(&mut self, fleet: &[VmResponse], id: &VmId) {
        if fleet.iter().all(|response| response.vm() == id.as_str()) {
            self.add_unknown(
                "no other VM was queried, so any other VM may still send work to this VM",
            );
        }
        for response in fleet {
            let name = response.vm();
            if name == id.as_str() {
                continue;
            }
            let Some(agent) = response.agent.status() else {
                self.add_unknown(format!(
                    "{name} can't be reached: it may still send work to this VM"
                ));
                continue;
            };
            let health = agent.health.iter().find(|health| health.vm == id.as_str());
            if health.is_some_and(|health| health.health == "live") {
                self.add_breaks(format!("{name} still reports the VM as live"));
            }
        }
    }

    /// Checks the work in progress in the programs of the VM itself.
    fn check_work(&mut self, response: &VmResponse) {
        match response
            .proxy
            .status()
            .and_then(counts::upgraded_connections)
        {
            Some(0) => {}
            Some(count) => {
                self.add_breaks(format!("the VM's proxy has {count} upgraded connections"))
            }
            None => self.add_unknown("the VM's proxy does not report upgraded connections"),
        }
        let remaining = response
            .forwarder
            .status()
            .and_then(counts::handover_remaining);
        match remaining {
            Some(0) => {}
            Some(count) => {
                self.add_breaks(format!("the VM's forwarder has {count} flows to hand over"))
            }
            None => self.add_unknown("the VM's forwarder does not report flows to hand over"),
        }
    }

    /// Checks the work in progress of one VM on a target.
    fn check_target(&mut self, view: &View, response: &VmResponse, target: &Target) {
        let name = response.vm();
        let flows = response.forwarder.status();
        match flows.and_then(|status| counts::flows_of(status, target)) {
            Some(0) => {}
            Some(count) => self.add_breaks(format!("{name} has {count} flows to the target")),
            None => self.add_unknown(format!(
                "the forwarder of {name} does not report the target as leaving"
            )),
        }
        if view.service(target.service).request_port.is_none() {
            return;
        }
        let requests = response.proxy.status();
        match requests.and_then(|status| counts::requests_of_group(status, target)) {
            Some(0) => {}
            Some(count) => {
                let (service, zone) = (&target.entry.service, &target.entry.zone);
                self.add_unknown(format!(
                    "{name} has {count} requests on {service} in {zone}, possibly on this target"
                ));
            }
            None => self.add_unknown(format!("the proxy of {name} does not report its requests")),
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
    /// Returns the answer: `yes`, `no` or `unknown`.
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
