//! An entry VM of a simulated site: a process with its own settings file and store server.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use super::StoreServer;
use super::settings::render;

/// Port for datagrams, at VMs and at callers.
pub(super) const DATAGRAM_PORT: u16 = 8172;
pub(super) const READY_PORT: u16 = 8167;
pub(super) const CONTROL_PORT: u16 = 8166;

/// Port of the admin endpoint, as the template sets it.
const ADMIN_PORT: u16 = 7735;

/// Template of the settings file, from the `platform` directory of the repository.
const TEMPLATE: &str = include_str!("../../../../platform/settings.ini");

/// Maximum time that a killed program takes to end.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry VM and its process.
#[derive(Debug)]
pub struct Vm {
    /// Name of the VM.
    pub id: String,
    /// Zone of the VM.
    pub zone: String,
    /// Server through which the VM reads the store.
    pub store_server: Arc<StoreServer>,
    pub(super) address: Ipv4Addr,
    pub(super) settings: Value,
    pub(super) program: PathBuf,
    pub(super) directory: PathBuf,
    pub(super) child: Option<Child>,
}

impl Vm {
    /// Returns the address at which the VM receives packets.
    pub fn datagrams(&self) -> SocketAddr {
        (self.address, DATAGRAM_PORT).into()
    }

    /// Returns the address of the readiness probe.
    pub fn ready(&self) -> SocketAddr {
        (self.address, READY_PORT).into()
    }

    /// Returns the address at which the VM's peers reach it.
    pub fn control(&self) -> SocketAddr {
        (self.address, CONTROL_PORT).into()
    }

    /// Returns the address of the admin endpoint.
    pub fn admin(&self) -> SocketAddr {
        (self.address, ADMIN_PORT).into()
    }

    /// Sets the program that the next start runs.
    pub fn set_program(&mut self, program: PathBuf) {
        self.program = program;
    }

    /// Starts the program, with its output in the log file.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_file())?;
        let errors = log.try_clone()?;
        self.start_with(log.into(), errors.into())
    }

    /// Starts the program with standard output connected to a pipe that is never read.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_with_unread_output(&mut self) -> io::Result<()> {
        self.start_with(Stdio::piped(), Stdio::null())
    }

    fn start_with(&mut self, output: Stdio, errors: Stdio) -> io::Result<()> {
        self.write_settings()?;
        let child = Command::new(&self.program)
            .env("BAMBOOSEAM_CONFIG", self.settings_file())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal by its name without `SIG`, for example `TERM`, if the program was started.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub async fn signal(&self, name: &str) -> io::Result<()> {
        let Some(pid) = self.child.as_ref().and_then(Child::id) else {
            return Ok(());
        };
        let mut kill = Command::new("kill");
        kill.args([format!("-{name}"), pid.to_string()])
            .status()
            .await?;
        Ok(())
    }

    /// Waits for the end of the program; `None` if it still runs after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let status = timeout(limit, child.wait()).await.ok()?.ok();
        self.child = None;
        status
    }

    /// Kills the program.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A program that has already ended needs no kill.
            let _ = child.kill().await;
        }
    }

    /// Returns whether the program is running.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the peak memory of the program in KiB; `None` if the program does not run.
    pub fn peak_memory(&self) -> Option<u64> {
        let pid = self.child.as_ref().and_then(Child::id)?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the log of the program.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_file()).unwrap_or_default()
    }

    /// Writes `text` as the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn write_raw_settings(&self, text: &str) -> io::Result<()> {
        std::fs::write(self.settings_file(), text)
    }

    /// Writes the settings file from the template.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn restore_settings(&self) -> io::Result<()> {
        self.write_settings()
    }

    pub(super) fn write_settings(&self) -> io::Result<()> {
        self.write_raw_settings(&render(TEMPLATE, &self.settings))
    }

    fn settings_file(&self) -> PathBuf {
        self.directory.join(format!("{}.ini", self.id))
    }

    fn log_file(&self) -> PathBuf {
        self.directory.join(format!("{}.log", self.id))
    }
}

impl Drop for Vm {
    /// Kills the program and waits until its addresses are free for the next site.
    fn drop(&mut self) {
        let Some(child) = &mut self.child else {
            return;
        };
        // A program that has already ended needs no kill.
        let _ = child.start_kill();
        let deadline = Instant::now() + EXIT_TIMEOUT;
        while matches!(child.try_wait(), Ok(None)) && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}
