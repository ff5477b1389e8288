//! Validation of published documents against one another.
//!
//! The agent does not reject documents for these findings, since lists and presets are published
//! independently of one another. Operators see the findings before they publish.

use bambooseam_types::{Finding, Findings, Location, PresetName};

use crate::{Preset, TargetList, TargetState, VmList, VmState};

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
    for target in &targets.0 {
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

/// Reports services of the preset in force without a live target.
fn check_capacity(preset: &Preset, targets: &TargetList, findings: &mut Findings) {
    for service in &preset.services {
        let mut service_targets = targets
            .0
            .iter()
            .filter(|target| target.service == service.name);
        if service_targets
            .any(|target| target.state == TargetState::Live && target.weight.get() > 0)
        {
            continue;
        }
        let location = Location::new("targets", 0, format!("service {}", service.name));
        let found = "no live target with a weight above 0";
        findings.push(Finding::new(location, found, "at least one live target"));
    }
}
