//! Processes under test and the signals that are sent to them.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::Context;

use crate::log_reader::LogReader;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Signal {
    Stop,
    Continue,
    Terminate,
    Kill,
    Reload,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Self::Stop => "STOP",
            Self::Continue => "CONT",
            Self::Terminate => "TERM",
            Self::Kill => "KILL",
            Self::Reload => "HUP",
        }
    }
}

/// Balancer or agent process; it is killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: String,
    binary: PathBuf,
    role: &'static str,
    settings: PathBuf,
    log: LogReader,
    child: Option<Child>,
    is_terminated: bool,
}

impl Process {
    /// Writes the settings file and starts the process.
    pub(crate) fn spawn(
        binary: &Path,
        directory: &Path,
        role: &'static str,
        name: &str,
        settings: &serde_json::Value,
    ) -> anyhow::Result<Self> {
        let path = directory.join(format!("{name}.jsonc"));
        std::fs::write(&path, serde_json::to_string_pretty(settings)?)?;
        let mut process = Self {
            name: name.to_owned(),
            binary: binary.to_owned(),
            role,
            settings: path,
            log: LogReader::spawn(&directory.join(format!("{name}.log")))?,
            child: None,
            is_terminated: false,
        };
        process.start()?;
        Ok(process)
    }

    /// Lets the reader of the log pause or go on.
    pub(crate) fn set_log_paused(&self, is_paused: bool) {
        self.log.set_paused(is_paused);
    }

    /// Starts the process unless it is running; appends to its log.
    pub(crate) fn start(&mut self) -> anyhow::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let child = Command::new(&self.binary)
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(self.log.writer()?)
            .stderr(self.log.writer()?)
            .spawn()
            .with_context(|| format!("cannot start {}", self.binary.display()))?;
        self.child = Some(child);
        self.is_terminated = false;
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    pub(crate) fn signal(&mut self, signal: Signal) -> anyhow::Result<()> {
        if !self.is_running() {
            return Ok(());
        }
        let Some(child) = &self.child else {
            return Ok(());
        };
        let status = Command::new("kill")
            .arg(format!("-{}", signal.name()))
            .arg(child.id().to_string())
            .status()?;
        anyhow::ensure!(status.success(), "kill -{} {}", signal.name(), child.id());
        self.is_terminated |= matches!(signal, Signal::Terminate);
        Ok(())
    }

    /// Returns the id of the process, unless it is known to have exited.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process got a signal to terminate and is still running.
    pub(crate) fn is_terminating(&mut self) -> bool {
        self.is_terminated && self.is_running()
    }

    /// Returns whether the process is running; reaps it if it has exited.
    pub(crate) fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        if matches!(child.try_wait(), Ok(None)) {
            return true;
        }
        self.child = None;
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
