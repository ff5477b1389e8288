//! Settings and documents as files, before publication.
//!
//! A directory holds one file per published key: `preset-in-force`, `presets/NAME`, `vms` and
//! `targets`, each with or without the extension `.ini`.

use std::fs;
use std::path::{Path, PathBuf};

use bambooseam_config::{Document, Preset, PresetPointer, Settings, TargetList, VmList};
use bambooseam_types::{Finding, Findings, Location, PresetName, VmId};
use bambooseam_view::{ViewNumber, ViewSource};
use derive_more::{Display, FromStr};

use crate::check::check_configuration;

/// Largest document that the platform stores, in bytes.
const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Kind of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr)]
pub enum FileKind {
    /// Settings of a VM.
    #[display("settings")]
    Settings,
    /// The pointer to the preset in force.
    #[display("pointer")]
    Pointer,
    /// A preset.
    #[display("preset")]
    Preset,
    /// The list of VMs.
    #[display("vms")]
    Vms,
    /// The list of targets.
    #[display("targets")]
    Targets,
    /// The configuration of the users' platform, in the format of the platform's store.
    #[display("configuration")]
    Configuration,
}

/// A file with its kind and text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InputFile {
    /// File name, shown in findings.
    pub name: String,
    /// Kind of the file.
    pub kind: FileKind,
    /// Content of the file.
    pub text: String,
}

/// All documents of a directory, as they would be published together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// The pointer to the preset in force.
    pub pointer: InputFile,
    /// All presets.
    pub presets: Vec<InputFile>,
    /// The list of VMs.
    pub vms: InputFile,
    /// The list of targets.
    pub targets: InputFile,
}

impl FileKind {
    /// Allowed values, for messages.
    pub const ALLOWED: &'static str = "settings, preset, pointer, vms, targets or platform-config";

    /// Parses the value of `--kind`. `configuration` is the earlier name of `platform-config`.
    pub fn from_argument(text: &str) -> Result<Self, &'static str> {
        match text {
            "platform-config" => Ok(Self::Configuration),
            _ => text.parse().map_err(|_| Self::ALLOWED),
        }
    }

    /// Detects the kind from the file name, or from the section names if the file name is unknown.
    pub fn detect(path: &Path, text: &str) -> Option<Self> {
        Self::from_name(path).or_else(|| Self::from_sections(text))
    }

    fn from_name(path: &Path) -> Option<Self> {
        let parent = path.parent().and_then(Path::file_name);
        if parent.is_some_and(|parent| parent == "presets") {
            return Some(Self::Preset);
        }
        match path.file_stem()?.to_str()? {
            "settings" => Some(Self::Settings),
            "preset-in-force" => Some(Self::Pointer),
            "vms" => Some(Self::Vms),
            "targets" => Some(Self::Targets),
            "configuration" | "platform-config" => Some(Self::Configuration),
            _ => None,
        }
    }

    fn from_sections(text: &str) -> Option<Self> {
        let document = Document::parse("", text).ok()?;
        for name in document.section_names() {
            match name.split(' ').next() {
                Some("platform") => return Some(Self::Settings),
                Some("preset") => return Some(Self::Preset),
                Some(PresetPointer::SECTION) => return Some(Self::Pointer),
                Some("vm") if name != "vm" => return Some(Self::Vms),
                Some("target") => return Some(Self::Targets),
                _ => continue,
            }
        }
        None
    }
}

impl InputFile {
    /// Reads a file; without `kind`, the kind is detected from file name and sections.
    ///
    /// # Errors
    ///
    /// Returns a finding when the file can't be read or its kind can't be detected.
    pub fn read(path: &Path, kind: Option<FileKind>) -> Result<Self, Findings> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|error| single_finding(&name, error.to_string(), "a readable file", ""))?;
        let kind = kind
            .or_else(|| FileKind::detect(path, &text))
            .ok_or_else(|| {
                let found = "a file of unknown kind";
                single_finding(
                    &name,
                    found,
                    FileKind::ALLOWED,
                    "specify the kind with --kind",
                )
            })?;
        Ok(Self { name, kind, text })
    }

    /// Runs the same checks as the programs that read this kind of file.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::new();
        if self.kind != FileKind::Settings && self.text.len() > MAX_DOCUMENT_BYTES {
            let found = format!("{} bytes", self.text.len());
            let allowed = format!("at most {MAX_DOCUMENT_BYTES} bytes");
            findings.append(single_finding(&self.name, found, allowed, ""));
        }
        let checked = match self.kind {
            FileKind::Settings => self.parse::<Settings>().err(),
            FileKind::Pointer => self.parse::<PresetPointer>().err(),
            FileKind::Preset => self.parse::<Preset>().err(),
            FileKind::Vms => self.parse::<VmList>().err(),
            FileKind::Targets => self.parse::<TargetList>().err(),
            FileKind::Configuration => Some(check_configuration(&self.name, &self.text)),
        };
        findings.append(checked.unwrap_or_default());
        findings
    }

    /// Parses the file as `T`.
    ///
    /// # Errors
    ///
    /// Returns all findings in the file.
    pub fn parse<T>(&self) -> Result<T, Findings>
    where
        T: for<'a> TryFrom<&'a Document, Error = Findings>,
    {
        T::try_from(&Document::parse(&self.name, &self.text)?)
    }
}

impl Published {
    /// Reads all documents of a directory.
    ///
    /// # Errors
    ///
    /// Returns findings for each file that is missing or can't be read.
    pub fn read(directory: &Path) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let pointer = read_key(
            directory,
            "preset-in-force",
            FileKind::Pointer,
            &mut findings,
        );
        let vms = read_key(directory, "vms", FileKind::Vms, &mut findings);
        let targets = read_key(directory, "targets", FileKind::Targets, &mut findings);
        let presets = read_presets(&directory.join("presets"), &mut findings);
        match (pointer, vms, targets) {
            (Some(pointer), Some(vms), Some(targets)) => findings.into_result(Self {
                pointer,
                presets,
                vms,
                targets,
            }),
            _ => Err(findings),
        }
    }

    /// Iterates over all files: pointer, VMs, targets and presets.
    pub fn files(&self) -> impl Iterator<Item = &InputFile> {
        let single_files = [&self.pointer, &self.vms, &self.targets];
        single_files.into_iter().chain(&self.presets)
    }

    /// Returns the file that contains the preset `name`.
    pub fn preset(&self, name: &PresetName) -> Option<&InputFile> {
        let is_named = |file: &&InputFile| {
            let preset = file.parse::<Preset>();
            preset.is_ok_and(|preset| preset.name == *name)
        };
        self.presets.iter().find(is_named)
    }

    /// Returns the view source that an agent would serve after it has read all documents, if the
    /// agent suspects the VMs of `suspects`.
    ///
    /// # Errors
    ///
    /// Returns findings when the pointer is invalid or its preset is not in the directory.
    pub fn source(&self, suspects: &[VmId]) -> Result<ViewSource, Findings> {
        let pointer: PresetPointer = self.pointer.parse()?;
        let preset = self.preset(&pointer.name).ok_or_else(|| {
            let found = format!("preset {}, which is in no file", pointer.name);
            single_finding(&self.pointer.name, found, "a preset under presets/", "")
        })?;
        let mut suspects = suspects.to_vec();
        suspects.sort();
        Ok(ViewSource {
            number: ViewNumber::default(),
            pointer: self.pointer.text.clone(),
            preset: preset.text.clone(),
            vms: self.vms.text.clone(),
            targets: self.targets.text.clone(),
            suspects,
        })
    }
}

/// Reads the file of a published key, with or without the extension `.ini`.
fn read_key(
    directory: &Path,
    key: &str,
    kind: FileKind,
    findings: &mut Findings,
) -> Option<InputFile> {
    let plain = directory.join(key);
    let path = match plain.is_file() {
        true => plain,
        false => directory.join(format!("{key}.ini")),
    };
    match InputFile::read(&path, Some(kind)) {
        Ok(file) => Some(file),
        Err(read_findings) => {
            findings.append(read_findings);
            None
        }
    }
}

/// Reads all presets, sorted by file name.
fn read_presets(directory: &Path, findings: &mut Findings) -> Vec<InputFile> {
    let Ok(entries) = fs::read_dir(directory) else {
        let name = directory.display().to_string();
        findings.append(single_finding(
            &name,
            "no readable directory",
            "a directory with a file per preset",
            "",
        ));
        return Vec::new();
    };
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.sort();
    let mut presets = Vec::new();
    for path in paths {
        match InputFile::read(&path, Some(FileKind::Preset)) {
            Ok(file) => presets.push(file),
            Err(read_findings) => findings.append(read_findings),
        }
    }
    presets
}

/// Returns findings with a single entry that concerns a file as a whole.
pub fn single_finding(
    file: &str,
    found: impl Into<String>,
    allowed: impl Into<String>,
    hint: &str,
) -> Findings {
    let mut findings = Findings::new();
    let finding = Finding::new(Location::new(file, 0, ""), found, allowed);
    findings.push(finding.with_hint(hint));
    findings
}
