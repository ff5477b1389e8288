//! Encoding of changes.
//!
//! Published entries differ from each other in a few values only, so a compressed list takes a
//! fraction of the bytes of its entries. A copy then fills a narrow link for a shorter time.

use std::io::{Read, Write};
use std::sync::Arc;

use bambooseam_replica::{Change, Changes, Gap, KeptDocument};
use bambooseam_types::{Era, Revision};
use capnp::message::Builder;
use capnp::serialize::{read_message, write_message_to_words};
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

use crate::connect::read_limits;
use crate::replica_capnp::{change, changes};

/// Size of the keys and documents of a list in bytes from which the list is compressed.
const MIN_PACKED_BYTES: usize = 4 << 10;

/// Largest size of a list in bytes before compression: four documents of 1 MiB and their framing.
const MAX_UNPACKED_BYTES: u64 = 5 << 20;

/// The list that was compressed last. When a fleet starts, the same list goes to several VMs.
#[derive(Debug, Default)]
pub(crate) struct PackedList {
    list: Vec<Change>,
    packed: Vec<u8>,
}

/// Writes changes into a message. A large list is compressed if the requester accepts it, and then
/// `packed` is given.
pub(crate) fn write_changes(
    value: &Changes,
    packed: Option<&mut PackedList>,
    mut builder: changes::Builder<'_>,
) -> Result<(), capnp::Error> {
    builder.set_is_whole(value.after.is_none());
    builder.set_after(value.after.unwrap_or_default().get());
    builder.set_upto(value.upto.get());
    builder.set_has_era(value.era.is_some());
    builder.set_era(value.era.unwrap_or_default().get());
    if let Some(gap) = value.gap {
        builder.set_has_gap(true);
        builder.set_gap_after(gap.after.get());
        builder.set_gap_before(gap.before.get());
    }
    match packed.filter(|_| value.size() >= MIN_PACKED_BYTES) {
        Some(packed) => builder.set_packed(packed.of(&value.list)?),
        None => write_list(&value.list, builder.reborrow()),
    }
    let mut kept = builder.init_kept(value.kept.len() as u32);
    for (index, document) in (0..).zip(&value.kept) {
        let change = Change {
            key: Arc::clone(&document.key),
            revision: document.upto,
            value: document.content.clone(),
        };
        write_change(&change, kept.reborrow().get(index));
    }
    Ok(())
}

fn write_list(list: &[Change], builder: changes::Builder<'_>) {
    let mut entries = builder.init_list(list.len() as u32);
    for (index, change) in (0..).zip(list) {
        write_change(change, entries.reborrow().get(index));
    }
}

fn write_change(value: &Change, mut builder: change::Builder<'_>) {
    builder.set_key(value.key.as_ref());
    builder.set_revision(value.revision.get());
    builder.set_is_removed(value.value.is_none());
    if let Some(value) = &value.value {
        builder.set_value(value);
    }
}

/// Reads changes from a message.
pub(crate) fn read_changes(reader: changes::Reader<'_>) -> Result<Changes, capnp::Error> {
    let after = Revision::from(reader.get_after());
    let list = match reader.has_packed() {
        true => unpack(reader.get_packed()?)?,
        false => read_list(reader)?,
    };
    let mut kept = Vec::new();
    for change in reader.get_kept()? {
        let change = read_change(change)?;
        kept.push(KeptDocument {
            key: change.key,
            upto: change.revision,
            content: change.value,
        });
    }
    let gap = Gap {
        after: Revision::from(reader.get_gap_after()),
        before: Revision::from(reader.get_gap_before()),
    };
    Ok(Changes {
        era: reader.get_has_era().then(|| Era::from(reader.get_era())),
        after: (!reader.get_is_whole()).then_some(after),
        upto: Revision::from(reader.get_upto()),
        list,
        kept,
        gap: reader.get_has_gap().then_some(gap),
    })
}

fn read_list(reader: changes::Reader<'_>) -> Result<Vec<Change>, capnp::Error> {
    reader.get_list()?.iter().map(read_change).collect()
}

fn read_change(reader: change::Reader<'_>) -> Result<Change, capnp::Error> {
    let value = match reader.get_is_removed() {
        true => None,
        false => Some(Arc::from(reader.get_value()?)),
    };
    Ok(Change {
        key: reader.get_key()?.to_str()?.into(),
        revision: Revision::from(reader.get_revision()),
        value,
    })
}

/// Compresses a list.
fn pack(list: &[Change]) -> Result<Vec<u8>, capnp::Error> {
    let mut message = Builder::new_default();
    write_list(list, message.init_root());
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&write_message_to_words(&message))?;
    Ok(encoder.finish()?)
}

/// Restores a compressed list.
fn unpack(bytes: &[u8]) -> Result<Vec<Change>, capnp::Error> {
    let mut words = Vec::new();
    let decoder = ZlibDecoder::new(bytes);
    decoder
        .take(MAX_UNPACKED_BYTES + 1)
        .read_to_end(&mut words)?;
    if words.len() as u64 > MAX_UNPACKED_BYTES {
        return Err(capnp::Error::failed(format!(
            "packed list has more than {MAX_UNPACKED_BYTES} bytes"
        )));
    }
    let message = read_message(words.as_slice(), read_limits())?;
    read_list(message.get_root()?)
}

impl PackedList {
    /// Returns the compressed form of `list`, which is kept for the next requester.
    fn of(&mut self, list: &[Change]) -> Result<&[u8], capnp::Error> {
        if self.list != list {
            self.packed = pack(list)?;
            self.list = list.to_vec();
        }
        Ok(&self.packed)
    }
}
