//! The pointer: the published document that selects the preset in force.

use bambooseam_types::{Digest, Finding, Findings, PresetName, Revision};
use sha2::{Digest as _, Sha256};

use crate::Document;

/// Pointer to the preset in force; a preset document is accepted only if its digest matches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresetPointer {
    /// Revision of the configuration, which only increases.
    pub revision: Revision,
    /// Name of the preset.
    pub name: PresetName,
    /// Digest of the preset document's text.
    pub digest: Digest,
}

/// SHA-256 digest of a document's text.
pub fn digest_of(text: &str) -> Digest {
    let bytes: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    Digest::from(bytes)
}

impl PresetPointer {
    /// Section of the pointer document.
    pub const SECTION: &str = "in-force";

    /// Formats the pointer as a published document.
    pub fn to_text(&self) -> String {
        let Self {
            revision,
            name,
            digest,
        } = self;
        format!(
            "[{}]\nrevision = {revision}\nname = {name}\ndigest = {digest}\n",
            Self::SECTION
        )
    }
}

impl TryFrom<&Document> for PresetPointer {
    type Error = Findings;

    fn try_from(document: &Document) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        document.check_sections(&[Self::SECTION], &[], &mut findings);
        let pointer = document
            .required_section(Self::SECTION, &mut findings)
            .and_then(|mut s| {
                let revision: Option<Revision> = s.required("revision", &mut findings);
                if revision == Some(Revision::default()) {
                    let location = s.location("revision");
                    findings.push(Finding::new(location, "0", "a whole number from 1"));
                }
                let name = s.required("name", &mut findings);
                let digest = s.required("digest", &mut findings);
                s.report_unknown_keys(&mut findings);
                Some(Self {
                    revision: revision?,
                    name: name?,
                    digest: digest?,
                })
            });
        match pointer {
            Some(pointer) => findings.into_result(pointer),
            None => Err(findings.sorted()),
        }
    }
}
