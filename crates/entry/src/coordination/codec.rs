//! Datagrams between VMs: little-endian, with a magic number and a version.
//!
//! | message | bytes |
//! | --- | --- |
//! | report | 16, and 5 for each target with requests in progress |
//! | report answer | 13, and 6 for each service with requests in progress |
//! | question | 41, and 5 for each target with requests in progress |
//! | answer | 13 |
//!
//! Each message begins with 4 bytes: magic number, version, kind. Decoding accepts exactly what
//! encoding produces.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_steer::zone_load::demand::MAX_SERVICES;
use bambooseam_steer::zone_load::questions::Answer;
use bambooseam_steer::zone_load::{
    Group, LoadReport, MAX_COUNTS, MAX_GROUPS, ServiceKey, ServiceLoad,
};
use bambooseam_steer::{FlowId, PacketFlags, PacketHeader};
use bambooseam_types::Token;
use derive_more::{Display, Error};

/// Length of the longest message in bytes: a question with all counts.
pub const MAX_MESSAGE_BYTES: usize = 41 + 5 * MAX_COUNTS;

/// First two bytes of each message.
const MAGIC: u16 = 0xc05d;

/// Version of the format; messages of other versions are rejected.
const VERSION: u8 = 1;

// Kinds of messages.
const REPORT: u8 = 1;
const REPORT_ANSWER: u8 = 2;
const QUESTION: u8 = 3;
const ANSWER: u8 = 4;

// Kinds of answers.
const PLACE: u8 = 1;
const WAIT: u8 = 2;
const REJECT: u8 = 3;
const DECIDE: u8 = 4;

/// Sender of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportScope {
    /// A VM of the zone, which wants no report answer.
    Zone,
    /// A VM of the zone, which wants a report answer.
    ZoneAnswered,
    /// The coordinator of another zone, which wants a report answer.
    OtherZone,
}

/// A message between two VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Requests in progress of the sender.
    Report {
        /// Group of targets that the report covers.
        group: Group,
        /// Who sends the report, and whether a report answer is wanted.
        scope: ReportScope,
        /// The report.
        report: LoadReport,
    },
    /// Answer to a report.
    ReportAnswer {
        /// Number of the report.
        sequence: u32,
        /// A coordinator with a lower address, if the sender knows one.
        better: Option<Ipv4Addr>,
        /// Load of the zone.
        loads: Vec<ServiceLoad>,
    },
    /// Question about an opening, with a report.
    Question {
        /// Number of the question.
        number: u32,
        /// Group that the target is to be selected from.
        group: Group,
        /// Header of the opening packet.
        header: PacketHeader,
        /// Requests in progress of the sender.
        report: LoadReport,
    },
    /// Answer to a question.
    Answer {
        /// Number of the question.
        number: u32,
        /// The answer.
        answer: Answer,
    },
}

/// Reason why a datagram is not a valid message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum MessageError {
    /// The datagram is shorter than its fields.
    #[display("message truncated")]
    Truncated,
    /// The datagram is longer than its fields.
    #[display("{_0} bytes after the message")]
    #[error(ignore)]
    Trailing(usize),
    /// The datagram does not begin with the magic number and the version.
    #[display("magic number or version differs")]
    Format,
    /// A field has a value that is not allowed.
    #[display("field {_0} out of range")]
    #[error(ignore)]
    Field(&'static str),
}

impl Message {
    /// Encodes the message. Lists are cut to their maximum length.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(64);
        put_u16(&mut bytes, MAGIC);
        bytes.push(VERSION);
        match self {
            Self::Report {
                group,
                scope,
                report,
            } => {
                bytes.push(REPORT);
                bytes.push(match scope {
                    ReportScope::Zone => 0,
                    ReportScope::ZoneAnswered => 1,
                    ReportScope::OtherZone => 2,
                });
                put_report(&mut bytes, *group, report);
            }
            Self::ReportAnswer {
                sequence,
                better,
                loads,
            } => {
                bytes.push(REPORT_ANSWER);
                put_u32(&mut bytes, *sequence);
                put_u32(&mut bytes, better.map_or(0, u32::from));
                let loads = &loads[..loads.len().min(MAX_SERVICES)];
                bytes.push(loads.len() as u8);
                for load in loads {
                    put_u32(&mut bytes, load.service.0);
                    put_u16(&mut bytes, load.percent);
                }
            }
            Self::Question {
                number,
                group,
                header,
                report,
            } => {
                bytes.push(QUESTION);
                put_u32(&mut bytes, *number);
                put_endpoint(&mut bytes, header.flow.caller);
                put_endpoint(&mut bytes, header.flow.frontend);
                put_u32(&mut bytes, header.seq);
                put_u32(&mut bytes, header.ack);
                put_u16(&mut bytes, header.len);
                put_report(&mut bytes, *group, report);
            }
            Self::Answer { number, answer } => {
                bytes.push(ANSWER);
                put_u32(&mut bytes, *number);
                let (kind, value) = match answer {
                    Answer::Place(token) => (PLACE, token.get()),
                    Answer::Wait(time) => (WAIT, time.as_millis().min(u16::MAX.into()) as u32),
                    Answer::Reject => (REJECT, 0),
                    Answer::Decide => (DECIDE, 0),
                };
                bytes.push(kind);
                put_u32(&mut bytes, value);
            }
        }
        bytes
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`MessageError`] for every input that [`Self::encode`] does not produce.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let mut fields = Fields(bytes);
        if fields.u16()? != MAGIC || fields.u8()? != VERSION {
            return Err(MessageError::Format);
        }
        let message = match fields.u8()? {
            REPORT => {
                let scope = match fields.u8()? {
                    0 => ReportScope::Zone,
                    1 => ReportScope::ZoneAnswered,
                    2 => ReportScope::OtherZone,
                    _ => return Err(MessageError::Field("scope")),
                };
                let (group, report) = fields.report()?;
                Self::Report {
                    group,
                    scope,
                    report,
                }
            }
            REPORT_ANSWER => Self::ReportAnswer {
                sequence: fields.u32()?,
                better: Some(fields.u32()?)
                    .filter(|address| *address != 0)
                    .map(Ipv4Addr::from),
                loads: fields.loads()?,
            },
            QUESTION => {
                let number = fields.u32()?;
                let header = fields.header()?;
                let (group, report) = fields.report()?;
                Self::Question {
                    number,
                    group,
                    header,
                    report,
                }
            }
            ANSWER => Self::Answer {
                number: fields.u32()?,
                answer: fields.answer()?,
            },
            _ => return Err(MessageError::Field("kind")),
        };
        match fields.0.len() {
            0 => Ok(message),
            len => Err(MessageError::Trailing(len)),
        }
    }
}

fn put_u16(bytes: &mut Vec<u8>, value: u16) {
    bytes.extend(value.to_le_bytes());
}

fn put_u32(bytes: &mut Vec<u8>, value: u32) {
    bytes.extend(value.to_le_bytes());
}

fn put_endpoint(bytes: &mut Vec<u8>, endpoint: SocketAddrV4) {
    put_u32(bytes, u32::from(*endpoint.ip()));
    put_u16(bytes, endpoint.port());
}

fn put_report(bytes: &mut Vec<u8>, group: Group, report: &LoadReport) {
    bytes.extend([group.index, group.count]);
    put_u32(bytes, report.sequence);
    put_u32(bytes, report.applied);
    let counts = &report.counts[..report.counts.len().min(MAX_COUNTS)];
    bytes.push(counts.len() as u8);
    for (token, count) in counts {
        put_u32(bytes, token.get());
        bytes.push(*count);
    }
}

/// The fields that have not been read yet.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], MessageError> {
        let (field, rest) = self
            .0
            .split_first_chunk::<N>()
            .ok_or(MessageError::Truncated)?;
        self.0 = rest;
        Ok(*field)
    }

    fn u8(&mut self) -> Result<u8, MessageError> {
        Ok(self.take::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, MessageError> {
        Ok(u16::from_le_bytes(self.take()?))
    }

    fn u32(&mut self) -> Result<u32, MessageError> {
        Ok(u32::from_le_bytes(self.take()?))
    }

    fn endpoint(&mut self) -> Result<SocketAddrV4, MessageError> {
        Ok(SocketAddrV4::new(Ipv4Addr::from(self.u32()?), self.u16()?))
    }

    fn token(&mut self) -> Result<Token, MessageError> {
        Token::from_wire(self.u32()?).ok_or(MessageError::Field("token"))
    }

    /// The fields of an opening packet.
    fn header(&mut self) -> Result<PacketHeader, MessageError> {
        Ok(PacketHeader {
            flow: FlowId {
                caller: self.endpoint()?,
                frontend: self.endpoint()?,
            },
            flags: PacketFlags {
                syn: true,
                ..PacketFlags::default()
            },
            token: None,
            seq: self.u32()?,
            ack: self.u32()?,
            len: self.u16()?,
        })
    }

    fn report(&mut self) -> Result<(Group, LoadReport), MessageError> {
        let (index, count) = (self.u8()?, self.u8()?);
        if count == 0 || count > MAX_GROUPS || index >= count {
            return Err(MessageError::Field("group"));
        }
        let (sequence, applied) = (self.u32()?, self.u32()?);
        let len = usize::from(self.u8()?);
        if len > MAX_COUNTS {
            return Err(MessageError::Field("counts"));
        }
        let mut counts = Vec::with_capacity(len);
        for _ in 0..len {
            let (token, count) = (self.token()?, self.u8()?);
            if count == 0 {
                return Err(MessageError::Field("count"));
            }
            counts.push((token, count));
        }
        let report = LoadReport {
            sequence,
            applied,
            counts,
        };
        Ok((Group { index, count }, report))
    }

    fn loads(&mut self) -> Result<Vec<ServiceLoad>, MessageError> {
        let len = usize::from(self.u8()?);
        if len > MAX_SERVICES {
            return Err(MessageError::Field("loads"));
        }
        let mut loads = Vec::with_capacity(len);
        for _ in 0..len {
            loads.push(ServiceLoad {
                service: ServiceKey(self.u32()?),
                percent: self.u16()?,
            });
        }
        Ok(loads)
    }

    fn answer(&mut self) -> Result<Answer, MessageError> {
        match (self.u8()?, self.u32()?) {
            (PLACE, token) => Token::from_wire(token)
                .map(Answer::Place)
                .ok_or(MessageError::Field("token")),
            (WAIT, millis) if millis <= u16::MAX.into() => {
                Ok(Answer::Wait(Duration::from_millis(millis.into())))
            }
            (REJECT, 0) => Ok(Answer::Reject),
            (DECIDE, 0) => Ok(Answer::Decide),
            _ => Err(MessageError::Field("answer")),
        }
    }
}
