//! Starts the processes of the demonstration, each with its own log file, and stops them by pid.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use tokio::process::{Child, Command};
use tokio::time::timeout;

/// Time in which all processes must stop at the end. It is short because no VM remains that could
/// take over flows.
const STOP_TIME: Duration = Duration::from_secs(3);

/// All processes that were started and have not been stopped.
#[derive(Debug)]
pub struct Processes {
    binaries: PathBuf,
    logs: PathBuf,
    running: Vec<Process>,
}

#[derive(Debug)]
struct Process {
    name: String,
    child: Child,
}

impl Processes {
    /// Creates an empty set; programs are started from `binaries`, and logs are written to `logs`.
    pub fn new(binaries: &Path, logs: &Path) -> Self {
        Self {
            binaries: binaries.into(),
            logs: logs.into(),
            running: Vec::new(),
        }
    }

    /// Starts `program` under a unique name.
    ///
    /// # Errors
    ///
    /// Returns an error when the program can't be started or the log can't be created.
    pub fn start(&mut self, name: &str, program: &str, args: &[&str]) -> io::Result<()> {
        let log = File::create(self.log_file(name))?;
        let path = self.binaries.join(program);
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| {
                io::Error::new(error.kind(), format!("{}: {error}", path.display()))
            })?;
        self.running.push(Process {
            name: name.into(),
            child,
        });
        Ok(())
    }

    /// Returns the names of processes that ended unexpectedly.
    pub fn ended_early(&mut self) -> Vec<String> {
        let mut ended_early = Vec::new();
        for process in &mut self.running {
            if matches!(process.child.try_wait(), Ok(None)) {
                continue;
            }
            ended_early.push(process.name.clone());
        }
        ended_early
    }

    /// Returns the last line of a process's log; empty when there is none.
    pub fn last_line(&self, name: &str) -> String {
        let text = std::fs::read_to_string(self.log_file(name)).unwrap_or_default();
        text.lines().next_back().unwrap_or_default().to_owned()
    }

    /// Stops a process with SIGTERM and waits for its end.
    ///
    /// Kills the process and returns `None` when it has not ended within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such process, or when signalling or waiting fails.
    pub async fn terminate(
        &mut self,
        name: &str,
        limit: Duration,
    ) -> io::Result<Option<ExitStatus>> {
        let mut process = self.take(name)?;
        send_terminate(&process).await?;
        match timeout(limit, process.child.wait()).await {
            Ok(status) => status.map(Some),
            Err(_) => {
                process.child.kill().await?;
                Ok(None)
            }
        }
    }

    /// Kills a process with SIGKILL.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such process or killing it fails.
    pub async fn kill(&mut self, name: &str) -> io::Result<()> {
        self.take(name)?.child.kill().await
    }

    /// Stops all processes with SIGTERM, and with SIGKILL when they have not ended in time.
    pub async fn stop_all(&mut self) {
        for process in &self.running {
            if let Err(error) = send_terminate(process).await {
                eprintln!("event=stop_failed process={} cause={error:?}", process.name);
            }
        }
        let wait_all = async {
            for process in &mut self.running {
                let _ended = process.child.wait().await;
            }
        };
        if timeout(STOP_TIME, wait_all).await.is_err() {
            for process in &mut self.running {
                let _ended = process.child.kill().await;
            }
        }
        self.running.clear();
    }

    fn log_file(&self, name: &str) -> PathBuf {
        self.logs.join(format!("{name}.log"))
    }

    fn take(&mut self, name: &str) -> io::Result<Process> {
        let found = self.running.iter().position(|process| process.name == name);
        let at =
            found.ok_or_else(|| io::Error::other(format!("no running process is named {name}")))?;
        Ok(self.running.remove(at))
    }
}

/// Sends SIGTERM to one process by its pid.
async fn send_terminate(process: &Process) -> io::Result<()> {
    let Some(pid) = process.child.id() else {
        return Ok(());
    };
    let mut kill = Command::new("kill");
    kill.args(["-TERM", &pid.to_string()]);
    kill.status().await?;
    Ok(())
}
