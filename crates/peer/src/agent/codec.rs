//! Conversion of typed messages to and from their capnp form.

use bambooseam_types::{Incarnation, Revision, VmId};

use super::{
    ConfigUpdate, DocumentVersion, Heartbeat, ListUpdate, Observation, Patch, Step, Summary, Update,
};
use crate::PeerError;
use crate::agent_capnp::{patch, rumour, summary, update, version};

/// Most observations in one summary.
const OBSERVATION_LIMIT: u32 = 64;

/// Writes a summary.
pub(super) fn write_summary(value: &Summary, mut builder: summary::Builder<'_>) {
    builder.set_vm(value.vm.as_str());
    builder.set_incarnation(value.heartbeat.incarnation.get());
    builder.set_beat(value.heartbeat.uptime_s);
    builder.set_known(value.known_incarnation.get());
    builder.set_revision(value.config.generation.get());
    builder.set_mark(value.config.prefix);
    builder.set_era(value.era.get());
    builder.set_index(value.index);
    builder.set_wants(value.may_receive);
    builder.set_keeps(value.has_preset);
    write_version(value.vms, builder.reborrow().init_vms());
    write_version(value.targets, builder.reborrow().init_targets());
    let count = OBSERVATION_LIMIT.min(value.observations.len() as u32);
    let mut observations = builder.init_rumours(count);
    for (index, observation) in (0..count).zip(&value.observations) {
        write_observation(observation, observations.reborrow().get(index));
    }
}

/// Reads a summary.
pub(super) fn read_summary(reader: summary::Reader<'_>) -> Result<Summary, PeerError> {
    let mut observations = Vec::new();
    for observation in reader
        .get_rumours()?
        .iter()
        .take(OBSERVATION_LIMIT as usize)
    {
        observations.push(read_observation(observation)?);
    }
    Ok(Summary {
        vm: read_vm(reader.get_vm()?)?,
        heartbeat: Heartbeat {
            incarnation: Incarnation::from(reader.get_incarnation()),
            uptime_s: reader.get_beat(),
        },
        known_incarnation: Incarnation::from(reader.get_known()),
        config: DocumentVersion {
            generation: Revision::from(reader.get_revision()),
            index: 0,
            prefix: reader.get_mark(),
        },
        era: Revision::from(reader.get_era()),
        index: reader.get_index(),
        vms: read_version(reader.get_vms()?),
        targets: read_version(reader.get_targets()?),
        observations,
        may_receive: reader.get_wants(),
        has_preset: reader.get_keeps(),
    })
}

/// Writes an update.
pub(super) fn write_update(value: &Update, mut builder: update::Builder<'_>) {
    if let Some(config) = &value.config {
        builder.set_pointer(&config.pointer);
        builder.set_era(config.era.get());
        builder.set_index(config.index);
        write_patch(&config.preset, builder.reborrow().init_preset());
    }
    if let Some(list) = &value.vms {
        write_version(list.version, builder.reborrow().init_vms_version());
        write_patch(&list.patch, builder.reborrow().init_vms());
    }
    if let Some(list) = &value.targets {
        write_version(list.version, builder.reborrow().init_targets_version());
        write_patch(&list.patch, builder.reborrow().init_targets());
    }
}

/// Reads an update.
pub(super) fn read_update(reader: update::Reader<'_>) -> Result<Update, PeerError> {
    let mut value = Update::default();
    if reader.has_pointer() {
        value.config = Some(ConfigUpdate {
            pointer: read_text(reader.get_pointer()?)?,
            era: Revision::from(reader.get_era()),
            index: reader.get_index(),
            preset: read_patch(reader.get_preset()?)?,
        });
    }
    if reader.has_vms() {
        value.vms = Some(ListUpdate {
            version: read_version(reader.get_vms_version()?),
            patch: read_patch(reader.get_vms()?)?,
        });
    }
    if reader.has_targets() {
        value.targets = Some(ListUpdate {
            version: read_version(reader.get_targets_version()?),
            patch: read_patch(reader.get_targets()?)?,
        });
    }
    Ok(value)
}

/// Reads the identifier of a VM.
pub(super) fn read_vm(reader: capnp::text::Reader<'_>) -> Result<VmId, PeerError> {
    let text = reader.to_str().map_err(capnp::Error::from)?;
    let id = text.parse();
    id.map_err(|_| {
        capnp::Error::failed(
            "invalid VM identifier, expected 1 to 63 letters, digits, '-', '_' or '.'".into(),
        )
        .into()
    })
}

fn read_text(reader: capnp::text::Reader<'_>) -> Result<String, PeerError> {
    Ok(reader.to_str().map_err(capnp::Error::from)?.to_owned())
}

fn write_version(value: DocumentVersion, mut builder: version::Builder<'_>) {
    builder.set_rank(value.generation.get());
    builder.set_index(value.index);
    builder.set_mark(value.prefix);
}

fn read_version(reader: version::Reader<'_>) -> DocumentVersion {
    DocumentVersion {
        generation: Revision::from(reader.get_rank()),
        index: reader.get_index(),
        prefix: reader.get_mark(),
    }
}

fn write_observation(value: &Observation, mut builder: rumour::Builder<'_>) {
    builder.set_vm(value.vm.as_str());
    builder.set_incarnation(value.heartbeat.incarnation.get());
    builder.set_beat(value.heartbeat.uptime_s);
    if let Some(observer) = &value.observer {
        builder.set_observer(observer.as_str());
    }
}

fn read_observation(reader: rumour::Reader<'_>) -> Result<Observation, PeerError> {
    let observer = match reader.has_observer() {
        true => Some(read_vm(reader.get_observer()?)?),
        false => None,
    };
    Ok(Observation {
        vm: read_vm(reader.get_vm()?)?,
        heartbeat: Heartbeat {
            incarnation: Incarnation::from(reader.get_incarnation()),
            uptime_s: reader.get_beat(),
        },
        observer,
    })
}

fn write_patch(value: &Patch, mut builder: patch::Builder<'_>) {
    builder.set_base(value.base);
    // Documents are at most 1 MiB, so the number of steps in a patch fits into 32 bits.
    let count = value.steps.len() as u32;
    let mut steps = builder.init_steps(count);
    for (index, step) in (0..count).zip(&value.steps) {
        let mut builder = steps.reborrow().get(index);
        builder.set_start(step.start);
        builder.set_count(step.count);
        if !step.text.is_empty() {
            builder.set_text(&step.text);
        }
    }
}

fn read_patch(reader: patch::Reader<'_>) -> Result<Patch, PeerError> {
    let mut steps = Vec::new();
    for step in reader.get_steps()? {
        steps.push(Step {
            start: step.get_start(),
            count: step.get_count(),
            text: read_text(step.get_text()?)?,
        });
    }
    Ok(Patch {
        base: reader.get_base(),
        steps,
    })
}
