//! Validation of published documents against one another.
//!
//! The agent does not reject documents for these findings, since lists and presets are published
//! independently of one another. Operators see the findings before they publish.

use bambooseam_types::{Finding, Findings, Location, PresetName};

use crate::{EvacuatedZone, Preset, TargetList, TargetState, VmList, VmState};

/// Validates documents, each valid by itself, against one another.
pub fn check_published(
    in_force: &PresetName,
    presets: &[Preset],
    vms: &VmList,
    targets: &TargetList,
) -> Findings {
    let mut findings = Findings::new();
    check_names(presets, &mut findings);
    check_vms(vms, &mut findings);
    check_services(presets, targets, &mut findings);
    check_evacuated(vms, targets, &mut findings);
    for preset in presets {
        if preset.name == *in_force {
            check_capacity(preset, targets, &mut findings);
        }
    }
    findings
}

/// Reports presets that share a name.
fn check_names(presets: &[Preset], findings: &mut Findings) {
    for (index, preset) in presets.iter().enumerate() {
        if presets[..index]
            .iter()
            .all(|other| other.name != preset.name)
        {
            continue;
        }
        let location = Location::new(format!("presets/{}", preset.name), 0, "preset.name");
        let found = format!("{}, which another preset has too", preset.name);
        findings.push(Finding::new(location, found, "a name of its own"));
    }
}

/// Reports a list without a live VM.
fn check_vms(vms: &VmList, findings: &mut Findings) {
    if vms.0.iter().any(|vm| vm.state == VmState::Live) {
        return;
    }
    let location = Location::new("vms", 0, "");
    findings.push(Finding::new(location, "no live VM", "at least one live VM"));
}

/// Reports targets whose service is in no preset.
fn check_services(presets: &[Preset], targets: &TargetList, findings: &mut Findings) {
    for target in &targets.targets {
        if presets
            .iter()
            .any(|preset| preset.service(&target.service).is_some())
        {
            continue;
        }
        let location = Location::new("targets", 0, format!("target {}.service", target.id));
        let found = format!("{}, which no preset describes", target.service);
        findings.push(Finding::new(location, found, "a service of a preset"));
    }
}

/// Reports evacuated zones without VMs and targets, whose names are probably mistyped.
fn check_evacuated(vms: &VmList, targets: &TargetList, findings: &mut Findings) {
    for EvacuatedZone { zone, .. } in &targets.evacuated {
        let has_target = targets.targets.iter().any(|target| target.zone == *zone);
        if has_target || vms.0.iter().any(|vm| vm.zone == *zone) {
            continue;
        }
        let location = Location::new("targets", 0, format!("zone {zone}"));
        let found = "no VM and no target in the zone";
        findings.push(Finding::new(location, found, "a zone of the lists"));
    }
}

/// Reports services of the preset in force without a live target outside evacuated zones.
fn check_capacity(preset: &Preset, targets: &TargetList, findings: &mut Findings) {
    for service in &preset.services {
        let mut live_targets = targets
            .targets
            .iter()
            .filter(|target| target.service == service.name)
            .filter(|target| target.state == TargetState::Live && target.weight.get() > 0)
            .peekable();
        let is_empty = live_targets.peek().is_none();
        if live_targets.any(|target| !targets.is_evacuated(&target.zone)) {
            continue;
        }
        let found = match is_empty {
            true => "no live target with a weight above 0",
            false => "live targets in evacuated zones only",
        };
        let location = Location::new("targets", 0, format!("service {}", service.name));
        findings.push(Finding::new(location, found, "at least one live target"));
    }
}
